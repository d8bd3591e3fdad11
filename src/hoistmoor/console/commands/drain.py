"""``hoistmoor drain``: takes a backend server out of use.

A drain is a record on the stream ``steward`` and not a table edit: it is a
temporary condition of a server, cannot conflict with edits of a table row, and
must not be reverted when older sheets are published later.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated

import attrs
import cappa

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core import errors
from hoistmoor.core.steward import records
from hoistmoor.core.steward import rollouts
from hoistmoor.steward import operator_records

_Author = Annotated[str, cappa.Arg(long="--author", help="Your name.")]
_Undo = Annotated[
    bool, cappa.Arg(long="--undo", help="Put the server back into use.")
]


@cappa.command(name="drain", help="Take a backend server out of use.")
@attrs.frozen(kw_only=True)
class Drain:
    """Stops new work on a backend server; running work may complete.

    Attributes:
        server: Name of the backend server, as in the table.
        author: Name of the operator.
        log_url: Base URL of the platform's log.
        undo: Whether to end the drain instead.
    """

    server: str
    author: _Author
    log_url: table_reader.LogUrl
    undo: _Undo = False

    def __call__(self) -> exit_codes.ExitCode:
        """Appends the record to the log and confirms that it took effect."""
        asyncio.run(self._run())
        state = "back in use" if self.undo else "draining"
        sys.stdout.write(f"{self.server}: {state}\n")
        return exit_codes.ExitCode.DONE

    async def _run(self) -> None:
        async with sessions.make_session() as session:
            client = log.LogClient(session, self.log_url)
            await self._check_server(client)
            record = records.ServerDrain(
                self.server, not self.undo, self.author
            )
            await operator_records.append_and_confirm(
                client, record, self._is_applied
            )

    async def _check_server(self, client: log.LogClient) -> None:
        current = (await table_reader.TableReader(client).read()).fold
        if self.server not in current.active.table.servers and not self.undo:
            raise errors.ConfigurationError(
                f"backend server {self.server!r} is not in the table",
                "Run `hoistmoor table show --sheet servers` to list them.",
            )

    def _is_applied(self, view: rollouts.RolloutView) -> bool:
        return view.is_draining(self.server) is not self.undo


COMMANDS = (Drain,)
