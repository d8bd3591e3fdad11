"""Lists the quarantines of a deployment, or ends one.

python -m hoistmoor.platform.quarantines [--lift KEY]
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from hoistmoor.clients import sessions
from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import store_era
from hoistmoor.platform import main
from hoistmoor.platform import settings as settings_lib
from hoistmoor.platform import store

EXIT_FAILED = 1
_TOMBSTONE = b""


@cappa.command(
    name="quarantines",
    help="List quarantined requests and prompt parts, or lift one quarantine.",
    description=" ",
)
@attrs.frozen(kw_only=True)
class Quarantines:
    """Reads and edits the list of quarantines in the platform's store.

    Attributes:
        lift: Key of the quarantine to lift; empty to list all of them.
        settings: Settings file of any host.
    """

    lift: Annotated[
        str,
        cappa.Arg(long=True, help="Key of the quarantine to lift.", default=""),
    ]
    settings: Annotated[
        pathlib.Path,
        cappa.Arg(
            long=True,
            help="Settings file of any host.",
            default=cappa.Env(main.SETTINGS_VARIABLE),
        ),
    ]

    def __call__(self) -> int:
        """Runs the command and returns the process exit code."""
        try:
            found = settings_lib.read(self.settings.read_bytes())
            lines = asyncio.run(run(found.store, self.lift))
        except (OSError, errors.HoistmoorError) as error:
            print(f"failed: {error}", file=sys.stderr)  # noqa: T201
            return EXIT_FAILED
        print("\n".join(lines))  # noqa: T201
        return os.EX_OK


async def run(address: str, lift: str) -> list[str]:
    """Lifts a quarantine if a key is given; returns the lines to print.

    Args:
        address: ``ip:port`` of the platform's store.
        lift: Key of the quarantine to lift; empty to list all of them.

    Raises:
        HoistmoorError: The store is unavailable, or has no such quarantine.
    """
    async with sessions.make_session() as session:
        topic = store.open_topics(
            session, address, store_era.StoreEra()
        ).quarantine
        batch = await topic.newest()
        listed = {
            each.key: each.value.decode(errors="backslashreplace")
            for each in batch.records
            if each.value
        }
        if not lift:
            return [f"{key}\t{value}" for key, value in sorted(listed.items())]
        if lift not in listed:
            raise errors.ConfigurationError(
                f"no quarantine has the key {lift!r}",
                "List the keys by running the command without --lift.",
            )
        await topic.put(lift, _TOMBSTONE)
    return [f"lifted {lift}"]


if __name__ == "__main__":
    sys.exit(cappa.invoke(Quarantines))
