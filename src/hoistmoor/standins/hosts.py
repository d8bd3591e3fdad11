"""Stand-in for the platform's host list, which lags behind changes."""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web
import attrs

from hoistmoor.clients import hosts
from hoistmoor.core import codec
from hoistmoor.standins import answers
from hoistmoor.standins import fault_book
from hoistmoor.standins import faults

_PATH = "/hosts"
_HISTORY_SECONDS = 600.0  # Age of the oldest state kept, which bounds the lag.


@attrs.frozen
class Listing:
    """The complete list from a point in time on."""

    at: float
    rows: dict[str, hosts.ListedHost]


class HostListStandin:
    """The host list: PUT and DELETE change it, GET returns a lagging copy."""

    def __init__(
        self,
        book: fault_book.FaultBook,
        lag: float = 0.0,
        rows: tuple[hosts.ListedHost, ...] = (),
    ) -> None:
        self.book = book
        self.lag = lag
        self.past = [Listing(0.0, {row.name: row for row in rows})]

    def add_routes(self, application: web.Application) -> None:
        """Registers the routes of the host list."""
        application.router.add_get(_PATH, self.handle_list)
        application.router.add_put(_PATH + "/{name}", self.handle_put)
        application.router.add_delete(_PATH + "/{name}", self.handle_delete)

    @property
    def newest(self) -> dict[str, hosts.ListedHost]:
        """The current rows by host name."""
        return self.past[-1].rows

    def change(self, rows: dict[str, hosts.ListedHost], now: float) -> None:
        """Replaces the list by ``rows`` from ``now`` on."""
        self.past.append(Listing(now, rows))
        while len(self.past) > 1 and self.past[1].at < now - _HISTORY_SECONDS:
            self.past.pop(0)

    def shown(self, now: float) -> list[hosts.ListedHost]:
        """Returns the rows that readers see at ``now``."""
        as_of = now - self.lag - self.book.lag(_PATH)
        rows = next(
            listing.rows
            for listing in reversed(self.past)
            if listing.at <= as_of or listing is self.past[0]
        )
        gap = self.book.first(faults.Gap)
        omitted = gap.names if gap else ()
        return [row for name, row in rows.items() if name not in omitted]

    async def handle_list(self, request: web.Request) -> web.Response:
        """Returns the list as readers see it."""
        rows = [attrs.asdict(row) for row in self.shown(time.time())]
        return answers.reply({"hosts": rows})

    async def handle_put(self, request: web.Request) -> web.Response:
        """Adds or replaces the row of a host."""
        fields: dict[str, Any] = await answers.read_json(request)
        fields = {"state": "live", "incarnation": 1, **fields}
        fields["name"] = request.match_info["name"]
        try:
            row = codec.structure(fields, hosts.ListedHost)
        except Exception as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        self.change({**self.newest, row.name: row}, time.time())
        return answers.reply({})

    async def handle_delete(self, request: web.Request) -> web.Response:
        """Removes a host from the list."""
        name = request.match_info["name"]
        rows = {key: row for key, row in self.newest.items() if key != name}
        self.change(rows, time.time())
        return answers.reply({})
