"""Client for the control API of backend servers.

It covers load reports, orders and cache events. Inference requests go through
``exchange``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import service_client
from hoistmoor.core import errors
from hoistmoor.core.routing import messages

if TYPE_CHECKING:
    import aiohttp


@attrs.frozen
class Order:
    """The desired state of an engine; sending it again is idempotent.

    Attributes:
        fencing: Fencing token of the sender.
        versions: Keys of exactly those versions that should be loaded.
        role: Kind of work that the engine serves, for example ``mixed``.
    """

    fencing: int
    versions: tuple[str, ...]
    role: str = "mixed"


@attrs.frozen
class EngineState:
    """The desired and actual state that an engine reports.

    Attributes:
        fencing: Highest fencing token seen; -1 before the first order.
        wanted: Versions in the newest accepted order.
        role: Role in the newest accepted order.
        loaded: Versions that serve requests now.
        loading: Versions that are being loaded.
    """

    fencing: int
    wanted: tuple[str, ...]
    role: str
    loaded: tuple[str, ...]
    loading: tuple[str, ...]


@attrs.frozen
class CacheEventPage:
    """One page of cache events.

    Attributes:
        incarnation: Incarnation of the engine; a new one starts with an empty
            cache.
        next: Sequence number at which the next page starts.
        events: Events ordered by sequence number, possibly with gaps.
    """

    incarnation: int
    next: int
    events: tuple[messages.CacheEvent, ...]


class StaleOrderError(errors.PlatformError):
    """An engine rejected an order because of a stale fencing token.

    Attributes:
        highest_fencing: Highest fencing token that the engine has seen.
    """

    def __init__(
        self, address: str, fencing: int, highest_fencing: int
    ) -> None:
        super().__init__(
            f"{address} rejected an order with stale fencing token {fencing}; "
            f"the highest token seen is {highest_fencing}",
            "Stop acting as steward until the lease is held again.",
        )
        self.highest_fencing = highest_fencing


@attrs.frozen
class _StaleFencing:
    fencing: int


class EngineClient:
    """Calls the control API of backend servers, selected by address."""

    def __init__(
        self, session: aiohttp.ClientSession, timeout: float = 2.0
    ) -> None:
        """Creates a client; ``timeout`` is in seconds."""
        self.session = session
        self.timeout = timeout

    async def fetch_load(self, address: str) -> messages.LoadReport:
        """Returns the load report of the backend server at ``ip:port``.

        Raises:
            ServiceUnavailableError: No valid response in time.
        """
        return await self._fetch(address, "/load", messages.LoadReport)

    async def fetch_state(self, address: str) -> EngineState:
        """Returns the desired and actual state of an engine.

        Raises:
            ServiceUnavailableError: No valid response in time.
        """
        return await self._fetch(address, "/orders", EngineState)

    async def fetch_cache_events(
        self, address: str, since: int
    ) -> CacheEventPage:
        """Returns cache events from sequence number ``since`` on.

        The first event has number 0.

        Raises:
            ServiceUnavailableError: No valid response in time.
        """
        path = f"/cache-events?since={since}"
        return await self._fetch(address, path, CacheEventPage)

    async def send_order(self, address: str, order: Order) -> EngineState:
        """Sends an order once, without retries.

        Returns:
            The engine's state after it accepted the order.

        Raises:
            StaleOrderError: The engine has seen a higher fencing token.
            ServiceUnavailableError: No valid response in time; whether the
                order was accepted can be read with ``state``.
        """
        url = f"http://{address}/orders"
        content = {
            "fencing": order.fencing,
            "wanted": {"versions": list(order.versions), "role": order.role},
        }
        status, body = await service_client.send_json(
            self.session, "POST", url, content, self.timeout
        )
        if status == 409:
            highest = service_client.parse_json(
                body, _StaleFencing, address
            ).fencing
            raise StaleOrderError(address, order.fencing, highest)
        if status != 200:
            raise service_client.ServiceUnavailableError(
                f"{address} responded to an order with HTTP status {status}",
                "Read the engine's state, then send the order again.",
            )
        return service_client.parse_json(body, EngineState, address)

    async def cancel_attempt(self, address: str, attempt_id: str) -> bool:
        """Cancels an attempt.

        Returns:
            Whether the attempt was known to the engine and still running.

        Raises:
            ServiceUnavailableError: No response in time.
        """
        url = f"http://{address}/v1/attempts/{attempt_id}"
        status, _ = await service_client.send_json(
            self.session, "DELETE", url, {}, self.timeout
        )
        return status == 200

    async def _fetch(
        self, address: str, path: str, cls: type[service_client._T]
    ) -> service_client._T:
        url = f"http://{address}{path}"
        return await service_client.fetch_json(
            self.session, url, cls, self.timeout
        )
