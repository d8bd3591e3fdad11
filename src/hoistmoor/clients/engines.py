"""Client of the control interface of backend servers.

Requests themselves go through ``exchange``; this is for load reports, orders
and cache events.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import replies
from hoistmoor.core import errors
from hoistmoor.core.routing import messages

if TYPE_CHECKING:
    import aiohttp


@attrs.frozen
class Order:
    """The condition that an engine should be in; a repeat does no harm.

    Attributes:
        fencing: Fencing number of whoever gives the order.
        versions: Keys of the versions to have loaded, and no others.
        role: What the engine serves, for example ``mixed``.
    """

    fencing: int
    versions: tuple[str, ...]
    role: str = "mixed"


@attrs.frozen
class EngineState:
    """What an engine says of its orders.

    Attributes:
        fencing: Highest fencing number seen; -1 before the first order.
        wanted: Versions of the newest order taken.
        role: Role of the newest order taken.
        loaded: Versions that serve requests now.
        loading: Versions on their way.
    """

    fencing: int
    wanted: tuple[str, ...]
    role: str
    loaded: tuple[str, ...]
    loading: tuple[str, ...]


@attrs.frozen
class CacheEventPage:
    """Cache events read at once.

    Attributes:
        incarnation: Of the engine; a new one starts with an empty cache.
        next: Where to read on.
        events: In the order of their sequence numbers, with gaps.
    """

    incarnation: int
    next: int
    events: tuple[messages.CacheEvent, ...]


class OrderRefusedError(errors.PlatformError):
    """An engine refused an order: its fencing number is old.

    Attributes:
        highest: Highest fencing number that the engine has seen.
    """

    def __init__(self, address: str, fencing: int, highest: int) -> None:
        super().__init__(
            f"{address} refused an order with fencing number {fencing}, "
            f"it has seen {highest}",
            "Stop acting as steward until the lease is held again.",
        )
        self.highest = highest


@attrs.frozen
class _Refused:
    fencing: int


class EngineClient:
    """Talks to the control interface of any backend server, by address."""

    def __init__(
        self, session: aiohttp.ClientSession, timeout: float = 2.0
    ) -> None:
        """Makes a client; ``timeout`` is in seconds."""
        self.session = session
        self.timeout = timeout

    async def load(self, address: str) -> messages.LoadReport:
        """Returns the load report of the backend server at ``ip:port``.

        Raises:
            ServiceUnavailableError: No usable answer in time.
        """
        return await self._fetch(address, "/load", messages.LoadReport)

    async def state(self, address: str) -> EngineState:
        """Reads back which orders an engine follows.

        Raises:
            ServiceUnavailableError: No usable answer in time.
        """
        return await self._fetch(address, "/orders", EngineState)

    async def cache_events(self, address: str, since: int) -> CacheEventPage:
        """Returns cache events from ``since`` on; start at 0.

        Raises:
            ServiceUnavailableError: No usable answer in time.
        """
        path = f"/cache-events?since={since}"
        return await self._fetch(address, path, CacheEventPage)

    async def order(self, address: str, order: Order) -> EngineState:
        """Gives an order, sent once.

        Returns:
            The engine's state after it took the order.

        Raises:
            StaleOrderError: The engine has seen a higher fencing number.
            ServiceUnavailableError: No answer; read the state back.
        """
        url = f"http://{address}/orders"
        content = {
            "fencing": order.fencing,
            "wanted": {"versions": list(order.versions), "role": order.role},
        }
        status, body = await replies.send(
            self.session, "POST", url, content, self.timeout
        )
        if status == 409:
            seen = replies.parse(body, _Refused, address).fencing
            raise OrderRefusedError(address, order.fencing, seen)
        if status != 200:
            raise replies.ServiceUnavailableError(
                f"{address} answered an order with {status}",
                "Read the state back, then order again.",
            )
        return replies.parse(body, EngineState, address)

    async def cancel(self, address: str, attempt_id: str) -> bool:
        """Cancels an attempt.

        Returns:
            Whether the engine knew it and it had not ended.

        Raises:
            ServiceUnavailableError: No answer in time.
        """
        url = f"http://{address}/v1/attempts/{attempt_id}"
        status, _ = await replies.send(
            self.session, "DELETE", url, {}, self.timeout
        )
        return status == 200

    async def _fetch(
        self, address: str, path: str, cls: type[replies._T]
    ) -> replies._T:
        url = f"http://{address}{path}"
        return await replies.fetch(self.session, url, cls, self.timeout)
