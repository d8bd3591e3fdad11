"""``hoistmoor rollout``: shows, pauses and resumes rollouts."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated, TYPE_CHECKING

import attrs
import cappa

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core import errors
from hoistmoor.core.steward import fold as fold_lib
from hoistmoor.core.steward import records
from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import state as state_lib
from hoistmoor.steward import operator_records

if TYPE_CHECKING:
    from collections.abc import Iterator

_Author = Annotated[str, cappa.Arg(long="--author", help="Your name.")]


@cappa.command(name="status", help="Show the progress of each rollout.")
@attrs.frozen(kw_only=True)
class Status:
    """Shows the active steward and every rollout.

    Attributes:
        log_url: Base URL of the platform's log.
    """

    log_url: table_reader.LogUrl

    def __call__(self) -> exit_codes.ExitCode:
        """Prints one line for each of them."""
        for line in describe(asyncio.run(self._read())):
            sys.stdout.write(f"{line}\n")
        return exit_codes.ExitCode.DONE

    async def _read(self) -> fold_lib.StewardFold:
        async with sessions.make_session() as session:
            client = log.LogClient(session, self.log_url)
            return (await operator_records.read_stream(client)).fold


@attrs.frozen(kw_only=True)
class _HoldCommand:
    """Base class of the pause and resume commands.

    Attributes:
        version: ``MODEL@VERSION``.
        author: Name of the operator.
        log_url: Base URL of the platform's log.
    """

    version: str
    author: _Author
    log_url: table_reader.LogUrl

    def set_paused(self, paused: bool) -> exit_codes.ExitCode:
        """Appends the record to the log and confirms that it took effect."""
        asyncio.run(self._append(paused))
        state = "paused" if paused else "resumed"
        sys.stdout.write(f"{self.version}: {state}\n")
        return exit_codes.ExitCode.DONE

    async def _append(self, paused: bool) -> None:
        record = records.RolloutHold(self.version, paused, self.author)

        def is_applied(view: rollouts.RolloutView) -> bool:
            rollout = view.state.rollouts.get(self.version)
            return rollout is not None and rollout.paused is paused

        async with sessions.make_session() as session:
            client = log.LogClient(session, self.log_url)
            fold = (await operator_records.read_stream(client)).fold
            if self.version not in fold.state.rollouts:
                raise errors.ConfigurationError(
                    f"there is no rollout of {self.version!r}",
                    "Use MODEL@VERSION as shown by `hoistmoor rollout status`.",
                )
            await operator_records.append_and_confirm(
                client, record, is_applied
            )


@cappa.command(name="pause", help="Keep a rollout at its current stage.")
@attrs.frozen(kw_only=True)
class Pause(_HoldCommand):
    """Pauses a rollout."""

    def __call__(self) -> exit_codes.ExitCode:
        """Pauses the rollout."""
        return self.set_paused(paused=True)


@cappa.command(name="resume", help="Resume a paused rollout.")
@attrs.frozen(kw_only=True)
class Resume(_HoldCommand):
    """Resumes a rollout."""

    def __call__(self) -> exit_codes.ExitCode:
        """Resumes the rollout."""
        return self.set_paused(paused=False)


@cappa.command(name="reset", help="Start over after the stream was lost.")
@attrs.frozen(kw_only=True)
class Reset:
    """Discards rollouts, drains and the withdrawals of bad versions.

    Needed when retention has deleted the last snapshot of the stream, which
    happens if no steward ran for longer than the log keeps records. Withdraw
    bad versions in the table first, with `hoistmoor withdraw`.

    Attributes:
        author: Name of the operator.
        log_url: Base URL of the platform's log.
    """

    author: _Author
    log_url: table_reader.LogUrl

    def __call__(self) -> exit_codes.ExitCode:
        """Appends the record to the log."""
        asyncio.run(self._append())
        sys.stdout.write("the state of the stream was reset\n")
        return exit_codes.ExitCode.DONE

    async def _append(self) -> None:
        record = records.HistoryReset(self.author)
        async with sessions.make_session() as session:
            client = log.LogClient(session, self.log_url)
            await operator_records.append_and_confirm(
                client, record, lambda view: view.complete
            )


@cappa.command(name="rollout", help="Show and control rollouts.")
@attrs.frozen
class RolloutCommand:
    """Group of the commands on rollouts."""

    command: cappa.Subcommands[Status | Pause | Resume | Reset]


def describe(fold: fold_lib.StewardFold) -> Iterator[str]:
    """Yields the lines that describe the state of the stream."""
    if not fold.complete:
        yield "the start of the stream is lost; no candidate gets work"
    lease = fold.state.lease
    if lease is None or lease.released:
        yield "no steward is active"
    else:
        yield f"steward: {lease.holder} (fencing number {lease.fencing})"
    for version in sorted(fold.state.rollouts):
        yield _describe_rollout(version, fold.state)
    for version, withdrawal in sorted(fold.state.withdrawn.items()):
        yield f"{version}: withdrawn by {withdrawal.by}: {withdrawal.reason}"
    for server, author in sorted(fold.state.draining.items()):
        yield f"{server}: draining, by {author}"


def _describe_rollout(version: str, state: state_lib.StewardState) -> str:
    rollout = state.rollouts[version]
    count = state.counts.get(version, records.RatedCount())
    stage = f"stage {rollout.stage_index + 1}/{len(state_lib.STAGE_SHARES)}"
    parts = [
        "proved" if rollout.done else stage,
        f"share {rollout.share:g}",
        f"rated {count.good} good, {count.bad} bad",
    ]
    if rollout.paused:
        parts.append("paused")
    return f"{version}: {', '.join(parts)}"


COMMANDS = (RolloutCommand,)
