"""The table as the log tells it, for commands that run once."""

from __future__ import annotations

from typing import Annotated, TYPE_CHECKING

import attrs

from hoistmoor.clients import log
from hoistmoor.config import environment
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.table import fold as folds
from hoistmoor.core.table import model
from hoistmoor.core.table import replay

if TYPE_CHECKING:
    import aiohttp

LogUrl = Annotated[str, environment.setting("log_url", "URL of the log.", "")]
HostsUrl = Annotated[
    str, environment.setting("hosts_url", "URL of the host list.", "")
]


def client_of(session: aiohttp.ClientSession, log_url: str) -> log.LogClient:
    """Returns a client of the log at ``log_url``.

    Raises:
        ConfigurationError: There is no usable URL.
    """
    if not log_url.startswith(("http://", "https://")):
        raise errors.ConfigurationError(
            f"--log-url is {log_url!r}, which is no URL",
            "Give --log-url or set HOISTMOOR_LOG_URL, such as http://ip:port.",
        )
    return log.LogClient(session, log_url)


@attrs.frozen
class Reading:
    """The table's stream, read to its end.

    Attributes:
        fold: The table after its last record.
        verdicts: What became of each record that was still there.
        unread: How many records could not be read.
    """

    fold: folds.TableFold
    verdicts: tuple[folds.Verdict, ...]
    unread: int


class LogTable:
    """Reads the table's stream, and reads on when asked again."""

    def __init__(self, client: log.LogClient, wanted: int = -1) -> None:
        """Makes a reader of ``client``'s table.

        Args:
            client: Reads the log.
            wanted: A revision to keep when reading passes it.
        """
        self.client = client
        self.wanted = wanted
        self.wanted_table: model.Table | None = None
        self._replay = replay.TableReplay()
        self._verdicts: list[folds.Verdict] = []
        self._begun = False

    async def read(self) -> Reading:
        """Reads up to the present end of the stream.

        Raises:
            PlatformError: The log could not be read.
            TableHistoryLostError: The log has no usable start.
        """
        bounds = await self.client.bounds(streams.TABLE)
        if not self._begun:
            self._begun = True
            self._replay.begin(bounds.first)
        while self._replay.next_offset < bounds.next:
            await self._read_page()
        if self._replay.problem is not None:
            raise self._replay.problem
        if self._replay.fold is None:
            raise replay.TableHistoryLostError(bounds.first)
        return Reading(
            self._replay.fold, tuple(self._verdicts), self._replay.skipped
        )

    async def _read_page(self) -> None:
        try:
            page = await self.client.read(
                streams.TABLE, self._replay.next_offset
            )
        except errors.LogOffsetExpiredError as error:
            self._replay.begin(error.first_offset)
            return
        for record in page.records:
            self._verdicts.extend(
                self._replay.feed(record.offset, record.payload)
            )
            self._keep_wanted()

    def _keep_wanted(self) -> None:
        table = self._replay.active
        if table is not None and table.revision == self.wanted:
            self.wanted_table = table.table
