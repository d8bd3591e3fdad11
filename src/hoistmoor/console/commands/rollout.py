"""``hoistmoor rollout``: looks at roll-outs, pauses and resumes them."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated, TYPE_CHECKING

import attrs
import cappa

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import log_table
from hoistmoor.core import errors
from hoistmoor.core.steward import fold as fold_lib
from hoistmoor.core.steward import records
from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import state as state_lib
from hoistmoor.steward import operator_records

if TYPE_CHECKING:
    from collections.abc import Iterator

_Author = Annotated[str, cappa.Arg(long="--author", help="Your name.")]


@cappa.command(name="status", help="Show how far each roll-out has come.")
@attrs.frozen(kw_only=True)
class Status:
    """Shows the acting steward and every roll-out.

    Attributes:
        log_url: Base URL of the platform's log.
    """

    log_url: log_table.LogUrl

    def __call__(self) -> exit_codes.ExitCode:
        """Prints a line for each."""
        for line in describe(asyncio.run(self._read())):
            sys.stdout.write(f"{line}\n")
        return exit_codes.ExitCode.DONE

    async def _read(self) -> fold_lib.StewardFold:
        async with sessions.make_session() as session:
            client = log.LogClient(session, self.log_url)
            return (await operator_records.read_stream(client)).fold


@attrs.frozen(kw_only=True)
class _Hold:
    """What pause and resume have in common.

    Attributes:
        version: ``MODEL@VERSION``.
        author: Who does it.
        log_url: Base URL of the platform's log.
    """

    version: str
    author: _Author
    log_url: log_table.LogUrl

    def put(self, paused: bool) -> exit_codes.ExitCode:
        """Puts the record on the log, and reads it back."""
        asyncio.run(self._put(paused))
        state = "paused" if paused else "resumed"
        sys.stdout.write(f"{self.version}: {state}\n")
        return exit_codes.ExitCode.DONE

    async def _put(self, paused: bool) -> None:
        record = records.RolloutHold(self.version, paused, self.author)

        def is_in_force(view: rollouts.RolloutView) -> bool:
            rollout = view.state.rollouts.get(self.version)
            return rollout is not None and rollout.paused is paused

        async with sessions.make_session() as session:
            client = log.LogClient(session, self.log_url)
            fold = (await operator_records.read_stream(client)).fold
            if self.version not in fold.state.rollouts:
                raise errors.ConfigurationError(
                    f"there is no roll-out of {self.version!r}",
                    "Write MODEL@VERSION; see `hoistmoor rollout status`.",
                )
            await operator_records.append_and_confirm(
                client, record, is_in_force
            )


@cappa.command(name="pause", help="Keep a roll-out at its present stage.")
@attrs.frozen(kw_only=True)
class Pause(_Hold):
    """Pauses a roll-out."""

    def __call__(self) -> exit_codes.ExitCode:
        """Pauses it."""
        return self.put(paused=True)


@cappa.command(name="resume", help="Let a paused roll-out go on.")
@attrs.frozen(kw_only=True)
class Resume(_Hold):
    """Resumes a roll-out."""

    def __call__(self) -> exit_codes.ExitCode:
        """Resumes it."""
        return self.put(paused=False)


@cappa.command(name="reset", help="Begin anew after the stream was lost.")
@attrs.frozen(kw_only=True)
class Reset:
    """Forgets roll-outs, withdrawals found in service, and drains.

    Needed where retention took the last snapshot of the stream, as after no
    steward ran for longer than the log keeps records. Withdraw bad versions
    in the table first.

    Attributes:
        author: Who does it.
        log_url: Base URL of the platform's log.
    """

    author: _Author
    log_url: log_table.LogUrl

    def __call__(self) -> exit_codes.ExitCode:
        """Puts the record on the log."""
        asyncio.run(self._put())
        sys.stdout.write("the stream begins anew\n")
        return exit_codes.ExitCode.DONE

    async def _put(self) -> None:
        record = records.HistoryReset(self.author)
        async with sessions.make_session() as session:
            client = log.LogClient(session, self.log_url)
            await operator_records.append_and_confirm(
                client, record, lambda view: view.complete
            )


@cappa.command(name="rollout", help="See and steer roll-outs.")
@attrs.frozen
class RolloutCommand:
    """The commands that deal with roll-outs."""

    command: cappa.Subcommands[Status | Pause | Resume | Reset]


def describe(fold: fold_lib.StewardFold) -> Iterator[str]:
    """Yields the lines that tell how the stream stands."""
    if not fold.complete:
        yield "the stream's beginning is lost; no candidate gets work"
    lease = fold.state.lease
    if lease is None or lease.released:
        yield "no steward acts"
    else:
        yield f"steward: {lease.holder} (fencing number {lease.fencing})"
    for version in sorted(fold.state.rollouts):
        yield _rollout_line(version, fold.state)
    for version, found in sorted(fold.state.withdrawn.items()):
        yield f"{version}: withdrawn by {found.by}: {found.reason}"
    for server, author in sorted(fold.state.draining.items()):
        yield f"{server}: draining, by {author}"


def _rollout_line(version: str, state: state_lib.StewardState) -> str:
    rollout = state.rollouts[version]
    count = state.counts.get(version, records.RatedCount())
    stage = f"stage {rollout.stage_index + 1}/{len(state_lib.STAGE_SHARES)}"
    words = [
        "proved" if rollout.done else stage,
        f"share {rollout.share:g}",
        f"rated {count.good} good, {count.bad} bad",
    ]
    if rollout.paused:
        words.append("paused")
    return f"{version}: {', '.join(words)}"


COMMANDS = (RolloutCommand,)
