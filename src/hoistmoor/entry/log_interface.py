"""Interface of the log client."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.clients import log as log_client


class Log(Protocol):
    """Subset of ``clients.log.LogClient``, so that tests can replace it."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset."""

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Reads records from offset ``start`` on."""

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns the oldest and the next offset of a stream."""
