"""``hoistmoor-load wait``: waits until each URL returns 200."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa
import uvloop

from hoistmoor.clients import sessions
from hoistmoor.load import demo
from hoistmoor.load.commands import flags


@cappa.command(
    name="wait",
    help="Waits until each URL returns status 200.",
    description=" ",
)
@attrs.frozen(kw_only=True)
class Wait:
    """Waits until programs are up; used in Procfiles.

    Attributes:
        urls: URLs that must return 200, checked in sequence.
    """

    urls: Annotated[
        list[str], cappa.Arg(required=True, help="URLs on loopback.")
    ]

    def __call__(self) -> int:
        """Waits, and returns 0 once each URL has returned 200."""
        for url in self.urls:
            flags.check_loopback("URL", url)
        uvloop.run(_wait(self.urls))
        return 0


async def _wait(urls: list[str]) -> None:
    async with sessions.make_session() as session:
        await demo.wait_until_up(session, urls)
