"""Reads the table from the log, for one-shot commands."""

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


def make_log_client(
    session: aiohttp.ClientSession, log_url: str
) -> log.LogClient:
    """Returns a client of the log at ``log_url``.

    Raises:
        ConfigurationError: The URL is missing or invalid.
    """
    if not log_url.startswith(("http://", "https://")):
        raise errors.ConfigurationError(
            f"--log-url must be an HTTP URL, not {log_url!r}",
            "Pass --log-url or set HOISTMOOR_LOG_URL, such as http://ip:port.",
        )
    return log.LogClient(session, log_url)


@attrs.frozen
class TableReading:
    """Result of reading the table's stream to its end.

    Attributes:
        fold: State of the table after the last record.
        verdicts: Outcomes of the records that the log still holds.
        skipped_records: Number of records that were skipped as invalid.
    """

    fold: folds.TableFold
    verdicts: tuple[folds.Verdict, ...]
    skipped_records: int


class TableReader:
    """Reads the table's stream; repeated reads continue where it stopped."""

    def __init__(self, client: log.LogClient, kept_revision: int = -1) -> None:
        """Creates a reader of the table's stream.

        Args:
            client: Client of the log.
            kept_revision: Revision of which to keep the table in
                ``kept_table``; -1 for none.
        """
        self.client = client
        self.kept_revision = kept_revision
        self.kept_table: model.Table | None = None
        self._replay = replay.TableReplay()
        self._verdicts: list[folds.Verdict] = []
        self._started = False

    async def read(self) -> TableReading:
        """Reads up to the current end of the stream.

        Raises:
            PlatformError: The log could not be read.
            TableHistoryLostError: Retention has deleted the first records and
                the log holds no snapshot that covers them.
        """
        bounds = await self.client.bounds(streams.TABLE)
        if not self._started:
            self._started = True
            self._replay.begin(bounds.first)
        while self._replay.next_offset < bounds.next:
            await self._read_page()
        if self._replay.problem is not None:
            raise self._replay.problem
        if self._replay.fold is None:
            raise replay.TableHistoryLostError(bounds.first)
        return TableReading(
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
            self._keep_if_wanted()

    def _keep_if_wanted(self) -> None:
        table = self._replay.active
        if table is not None and table.revision == self.kept_revision:
            self.kept_table = table.table
