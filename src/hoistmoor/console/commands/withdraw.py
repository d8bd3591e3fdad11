"""``hoistmoor withdraw``: takes a version out of service at once.

A table edit, not a record of the steward's: the stage stands in the sheet
that operators read, the edit shows in the history with its author, and entry
hosts have it in force within seconds with no steward at work.
"""

from __future__ import annotations

import asyncio
import sys
import time

import attrs
import cappa

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import describe
from hoistmoor.console.commands.table import log_table
from hoistmoor.console.commands.table import publisher
from hoistmoor.console.commands.table import spread_report
from hoistmoor.core import errors
from hoistmoor.core.table import fold
from hoistmoor.core.table import model

_TRIES = 5  # Other operators may change the same row meanwhile.


@cappa.command(name="withdraw", help="Give a version no new work at all.")
@attrs.frozen(kw_only=True)
class Withdraw:
    """Sets a version's stage to withdrawn.

    Attributes:
        version: ``MODEL@VERSION``.
        author: Who does it.
        log_url: Base URL of the platform's log.
        hosts_url: Base URL of the host list; empty where it is ``log_url``.
        wait: Seconds to wait until it is in force everywhere.
    """

    version: str
    author: spread_report.Author
    log_url: log_table.LogUrl
    hosts_url: log_table.HostsUrl = ""
    wait: spread_report.Wait = spread_report.WAIT_SECONDS

    def __call__(self) -> exit_codes.ExitCode:
        """Publishes the edit, and tells where it is in force."""
        return asyncio.run(self._run())

    async def _run(self) -> exit_codes.ExitCode:
        async with sessions.make_session() as session:
            verdict = await self._publish(log.LogClient(session, self.log_url))
            if isinstance(verdict, fold.Accepted):
                revision = verdict.offset
                told = f"withdrawn at revision {revision}"
            elif isinstance(verdict, int):
                revision = verdict
                told = "withdrawn already"
            else:
                for line in describe.verdict(verdict):
                    sys.stderr.write(f"{line}\n")
                return exit_codes.ExitCode.REJECTED
            sys.stdout.write(f"{self.version}: {told}\n")
            return await spread_report.wait_and_tell(
                session, self.hosts_url or self.log_url, revision, self.wait
            )

    async def _publish(self, client: log.LogClient) -> fold.Verdict | int:
        """Returns what became of the edit, or the revision if none is due."""
        table = log_table.LogTable(client)
        for tried in range(1, _TRIES + 1):
            current = (await table.read()).fold
            wanted = self._withdrawn(current.active.table)
            plan = publisher.plan(
                current, wanted, None, self.author, time.time()
            )
            if plan is None:
                return current.active.revision
            verdict = plan.expected
            if isinstance(verdict, fold.Accepted):
                verdict = await publisher.Publisher(client, table).publish(
                    plan.edit
                )
            if tried == _TRIES or not _lost_race(verdict):
                return verdict
        raise AssertionError("unreachable")

    def _withdrawn(self, table: model.Table) -> model.Table:
        row = table.versions.get(self.version)
        if row is None:
            raise errors.ConfigurationError(
                f"there is no version {self.version!r} in the table",
                "Write MODEL@VERSION; see `hoistmoor table show`.",
            )
        row = attrs.evolve(row, stage=model.Stage.WITHDRAWN)
        return attrs.evolve(
            table, versions={**table.versions, self.version: row}
        )


def _lost_race(verdict: fold.Verdict) -> bool:
    return (
        isinstance(verdict, fold.Rejected)
        and verdict.reason is fold.Reason.ROW_CHANGED
    )


COMMANDS = (Withdraw,)
