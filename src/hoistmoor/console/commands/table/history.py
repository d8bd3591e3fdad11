"""``hoistmoor table history``: lists the edits of the table."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated

import attrs
import cappa

from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import describe
from hoistmoor.console.commands.table import table_reader

_Last = Annotated[
    int, cappa.Arg(long="--last", help="Number of records to show.")
]


@cappa.command(
    name="history",
    help="Show who changed the table, and when.",
    description=" ",
)
@attrs.frozen(kw_only=True)
class History:
    """Shows the outcome of the records that the log still holds.

    Attributes:
        log_url: Base URL of the platform's log.
        last: Number of records to show, of which the newest comes last.
    """

    log_url: table_reader.LogUrl
    last: _Last = 50

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the outcome of the newest records."""
        reading = asyncio.run(self._read())
        for verdict in reading.verdicts[-self.last :]:
            for line in describe.verdict(verdict):
                sys.stdout.write(f"{line}\n")
        if reading.skipped_records:
            sys.stdout.write(
                f"{reading.skipped_records} records were skipped as invalid\n"
            )
        return exit_codes.ExitCode.DONE

    async def _read(self) -> table_reader.TableReading:
        async with sessions.make_session() as session:
            client = table_reader.make_log_client(session, self.log_url)
            return await table_reader.TableReader(client).read()
