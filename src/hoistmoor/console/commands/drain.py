"""``hoistmoor drain``: takes a backend server out of use.

A record on the stream ``steward``, not a table edit: it says something of a
machine for a while, races with no row of the operators' sheets, and must not
be undone by a later publish of older sheets.
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
from hoistmoor.console.commands.table import log_table
from hoistmoor.core import errors
from hoistmoor.core.steward import records
from hoistmoor.core.steward import rollouts
from hoistmoor.steward import operator_records

_Author = Annotated[str, cappa.Arg(long="--author", help="Your name.")]
_Undo = Annotated[
    bool, cappa.Arg(long="--undo", help="Give the server back to use.")
]


@cappa.command(name="drain", help="Take a backend server out of use.")
@attrs.frozen(kw_only=True)
class Drain:
    """Gives a backend server no new work; what runs there may end.

    Attributes:
        server: Name of the backend server, as in the table.
        author: Who does it.
        log_url: Base URL of the platform's log.
        undo: Whether to give it back instead.
    """

    server: str
    author: _Author
    log_url: log_table.LogUrl
    undo: _Undo = False

    def __call__(self) -> exit_codes.ExitCode:
        """Puts the record on the log, and reads it back."""
        asyncio.run(self._run())
        state = "back in use" if self.undo else "draining"
        sys.stdout.write(f"{self.server}: {state}\n")
        return exit_codes.ExitCode.DONE

    async def _run(self) -> None:
        async with sessions.make_session() as session:
            client = log.LogClient(session, self.log_url)
            await self._check_name(client)
            record = records.ServerDrain(
                self.server, not self.undo, self.author
            )
            await operator_records.append_and_confirm(
                client, record, self._is_in_force
            )

    async def _check_name(self, client: log.LogClient) -> None:
        current = (await log_table.LogTable(client).read()).fold
        if self.server not in current.active.table.servers and not self.undo:
            raise errors.ConfigurationError(
                f"there is no backend server {self.server!r} in the table",
                "See `hoistmoor table show --sheet servers`.",
            )

    def _is_in_force(self, view: rollouts.RolloutView) -> bool:
        return view.is_draining(self.server) is not self.undo


COMMANDS = (Drain,)
