"""Loaded versions of an engine stand-in and orders that change them.

An order states the desired state. Depending on its settings, an engine
refuses orders whose fencing token is lower than the highest one received, or
accepts all orders.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, TYPE_CHECKING

import attrs

from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import responses

if TYPE_CHECKING:
    from aiohttp import web

_PATH = "/orders"


@attrs.frozen
class OrderRecord:
    """An order that was received, for checkers."""

    at: float
    fencing: int
    versions: tuple[str, ...]
    taken: bool


@attrs.define
class Loader:
    """Loads and unloads versions as ordered.

    Attributes:
        fault_registry: Registry of the active faults.
        loaded: Keys of the versions that serve requests.
        load_time: Seconds to load a version.
        honours_fencing: Whether orders with stale fencing tokens are refused.
        wanted: Keys of the versions in the desired state.
        role: Role in the desired state.
        highest_fencing_token: Highest fencing token accepted; -1 for none.
        history: All orders received.
        changed: Set when the desired state changes.
    """

    fault_registry: fault_registry.FaultRegistry
    loaded: set[str]
    load_time: float
    honours_fencing: bool
    wanted: tuple[str, ...] = ()
    role: str = "mixed"
    highest_fencing_token: int = -1
    history: list[OrderRecord] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Initializes the desired state from the loaded versions."""
        self.wanted = tuple(sorted(self.loaded))

    def add_routes(self, application: web.Application) -> None:
        """Registers the routes of orders and of the loader's state."""
        application.router.add_post(_PATH, self.handle_order)
        application.router.add_get(_PATH, self.handle_state)
        application.router.add_get("/_orders", self.handle_history)

    @property
    def loading(self) -> tuple[str, ...]:
        """Wanted versions that are not loaded yet."""
        return tuple(key for key in self.wanted if key not in self.loaded)

    def refuses_stale_orders(self) -> bool:
        """Returns whether orders with stale fencing tokens are refused now."""
        fault = self.fault_registry.find(faults.Fencing)
        return fault.honoured if fault else self.honours_fencing

    def state(self) -> dict[str, Any]:
        """Returns the desired state and the progress towards it."""
        return {
            "fencing": self.highest_fencing_token,
            "wanted": self.wanted,
            "role": self.role,
            "loaded": sorted(self.loaded),
            "loading": self.loading,
        }

    async def run(self) -> None:
        """Loads wanted versions one at a time until the task is cancelled."""
        while True:
            if not self.loading:
                self.changed.clear()
                await self.changed.wait()
                continue
            key = self.loading[0]
            await asyncio.sleep(self.load_time)
            if key in self.wanted:
                self.loaded.add(key)

    async def handle_order(self, request: web.Request) -> web.Response:
        """Accepts or refuses an order."""
        fields = await responses.read_json(request)
        fencing = int(fields["fencing"])
        versions = tuple(fields["wanted"]["versions"])
        taken = (
            fencing >= self.highest_fencing_token
            or not self.refuses_stale_orders()
        )
        self.history.append(OrderRecord(time.time(), fencing, versions, taken))
        if not taken:
            return responses.json_response(
                {"fencing": self.highest_fencing_token}, 409
            )
        self.highest_fencing_token = max(self.highest_fencing_token, fencing)
        self.wanted = versions
        self.role = fields["wanted"].get("role", self.role)
        self.loaded.intersection_update(versions)
        self.changed.set()
        return responses.json_response(self.state())

    async def handle_state(self, request: web.Request) -> web.Response:
        """Returns the state of the loader."""
        return responses.json_response(self.state())

    async def handle_history(self, request: web.Request) -> web.Response:
        """Returns all orders received, for checkers."""
        rows = [attrs.asdict(row) for row in self.history]
        return responses.json_response({"orders": rows})
