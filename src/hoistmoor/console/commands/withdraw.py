"""``hoistmoor withdraw``: takes a version out of service immediately.

A withdrawal is a table edit and not a record on the stream ``steward``:
operators see the stage in the sheet, the history shows the edit with its
author, and entry hosts apply it within seconds even if no steward is running.
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
from hoistmoor.console.commands.table import propagation_report
from hoistmoor.console.commands.table import publisher
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core import errors
from hoistmoor.core.table import fold
from hoistmoor.core.table import model

_MAX_ATTEMPTS = 5  # Other operators may edit the same row concurrently.


@cappa.command(name="withdraw", help="Stop all new work for a version.")
@attrs.frozen(kw_only=True)
class Withdraw:
    """Sets the stage of a version to withdrawn.

    Attributes:
        version: ``MODEL@VERSION``.
        author: Name of the operator.
        log_url: Base URL of the platform's log.
        hosts_url: Base URL of the host list; empty to use ``log_url``.
        wait: Seconds to wait until the edit is active on every entry host.
    """

    version: str
    author: propagation_report.Author
    log_url: table_reader.LogUrl
    hosts_url: table_reader.HostsUrl = ""
    wait: propagation_report.Wait = propagation_report.WAIT_SECONDS

    def __call__(self) -> exit_codes.ExitCode:
        """Publishes the edit and reports on which hosts it is active."""
        return asyncio.run(self._run())

    async def _run(self) -> exit_codes.ExitCode:
        async with sessions.make_session() as session:
            verdict = await self._publish(log.LogClient(session, self.log_url))
            if isinstance(verdict, fold.Accepted):
                revision = verdict.offset
                outcome = f"withdrawn at revision {revision}"
            elif isinstance(verdict, int):
                revision = verdict
                outcome = "already withdrawn"
            else:
                for line in describe.verdict(verdict):
                    sys.stderr.write(f"{line}\n")
                return exit_codes.ExitCode.REJECTED
            sys.stdout.write(f"{self.version}: {outcome}\n")
            return await propagation_report.wait_and_report(
                session, self.hosts_url or self.log_url, revision, self.wait
            )

    async def _publish(self, client: log.LogClient) -> fold.Verdict | int:
        """Publishes the edit unless the version is already withdrawn.

        Returns:
            The verdict on the edit, or the active revision if no edit is
            needed.
        """
        table = table_reader.TableReader(client)
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            current = (await table.read()).fold
            wanted = self._with_withdrawn_version(current.active.table)
            planned = publisher.plan_edit(
                current, wanted, None, self.author, time.time()
            )
            if planned is None:
                return current.active.revision
            verdict = planned.expected_verdict
            if isinstance(verdict, fold.Accepted):
                verdict = await publisher.Publisher(client, table).publish(
                    planned.edit
                )
            if attempt == _MAX_ATTEMPTS or not _is_row_conflict(verdict):
                return verdict
        raise AssertionError("unreachable")

    def _with_withdrawn_version(self, table: model.Table) -> model.Table:
        row = table.versions.get(self.version)
        if row is None:
            raise errors.ConfigurationError(
                f"version {self.version!r} is not in the table",
                "Use MODEL@VERSION as shown by `hoistmoor table show`.",
            )
        row = attrs.evolve(row, stage=model.Stage.WITHDRAWN)
        return attrs.evolve(
            table, versions={**table.versions, self.version: row}
        )


def _is_row_conflict(verdict: fold.Verdict) -> bool:
    return (
        isinstance(verdict, fold.Rejected)
        and verdict.reason is fold.Reason.ROW_CHANGED
    )


COMMANDS = (Withdraw,)
