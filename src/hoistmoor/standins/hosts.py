"""Stand-in for the platform's host list, which lags behind changes."""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web
import attrs

from hoistmoor.clients import hosts
from hoistmoor.core import codec
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import responses

_PATH = "/hosts"
_HISTORY_SECONDS = 600.0  # Age of the oldest state kept, which bounds the lag.


@attrs.frozen
class HostListSnapshot:
    """The complete list from a point in time on."""

    at: float
    rows: dict[str, hosts.ListedHost]


class HostListStandin:
    """The host list: PUT and DELETE change it, GET returns a lagging copy."""

    def __init__(
        self,
        book: fault_registry.FaultRegistry,
        lag: float = 0.0,
        rows: tuple[hosts.ListedHost, ...] = (),
    ) -> None:
        self.fault_registry = book
        self.lag = lag
        self.snapshots = [
            HostListSnapshot(0.0, {row.name: row for row in rows})
        ]

    def add_routes(self, application: web.Application) -> None:
        """Registers the routes of the host list."""
        application.router.add_get(_PATH, self.handle_list)
        application.router.add_put(_PATH + "/{name}", self.handle_put)
        application.router.add_delete(_PATH + "/{name}", self.handle_delete)

    @property
    def current_rows(self) -> dict[str, hosts.ListedHost]:
        """The current rows by host name."""
        return self.snapshots[-1].rows

    def replace_rows(
        self, rows: dict[str, hosts.ListedHost], now: float
    ) -> None:
        """Replaces the list by ``rows`` from ``now`` on."""
        self.snapshots.append(HostListSnapshot(now, rows))
        while (
            len(self.snapshots) > 1
            and self.snapshots[1].at < now - _HISTORY_SECONDS
        ):
            self.snapshots.pop(0)

    def visible_rows(self, now: float) -> list[hosts.ListedHost]:
        """Returns the rows that readers see at ``now``."""
        as_of = now - self.lag - self.fault_registry.extra_lag(_PATH)
        rows = next(
            listing.rows
            for listing in reversed(self.snapshots)
            if listing.at <= as_of or listing is self.snapshots[0]
        )
        gap = self.fault_registry.find(faults.Gap)
        omitted = gap.names if gap else ()
        return [row for name, row in rows.items() if name not in omitted]

    async def handle_list(self, request: web.Request) -> web.Response:
        """Returns the list as readers see it."""
        rows = [attrs.asdict(row) for row in self.visible_rows(time.time())]
        return responses.json_response({"hosts": rows})

    async def handle_put(self, request: web.Request) -> web.Response:
        """Adds or replaces the row of a host."""
        fields: dict[str, Any] = await responses.read_json(request)
        fields = {"state": "live", "incarnation": 1, **fields}
        fields["name"] = request.match_info["name"]
        try:
            row = codec.structure(fields, hosts.ListedHost)
        except Exception as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        self.replace_rows({**self.current_rows, row.name: row}, time.time())
        return responses.json_response({})

    async def handle_delete(self, request: web.Request) -> web.Response:
        """Removes a host from the list."""
        name = request.match_info["name"]
        rows = {
            key: row for key, row in self.current_rows.items() if key != name
        }
        self.replace_rows(rows, time.time())
        return responses.json_response({})
