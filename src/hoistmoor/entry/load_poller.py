"""Reads the backend servers' load reports, as often as requests need them."""

from __future__ import annotations

import asyncio
from collections import deque
import itertools
from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core import errors
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hoistmoor.clients import engines
    from hoistmoor.core.routing import messages as routing
    from hoistmoor.core.routing import router as router_lib

# A poll costs about 1.4 ms of processor time and 500 bytes. The rates bound
# what a host spends, so that a report's age grows with the number of backend
# servers instead of the host's spending.
IDLE_RATE = 1.0  # Polls a second while nothing is dispatched.
BUSY_RATE = 6.0  # Polls a second at most, but for servers never heard.
FIRST_RATE = 25.0  # Polls a second while some were never heard.
STARTING_SECONDS = 3.0  # A start waits no longer for first reports.
PROBE_SECONDS = 0.03  # A request waits no longer for news of its pool.
POLLS_PER_DISPATCH = 2
MOST_OWED = 12  # Polls; what a burst asks for beyond them is forgotten.
LEAVING = "leaving"


class ServerNews(Protocol):
    """Where a backend server's own word goes."""

    def report_leaving(self, address: str, incarnation: int) -> None:
        """Takes in that it leaves."""

    def report_live(self, address: str, incarnation: int) -> None:
        """Takes in that it is live."""


class LoadPoller:
    """Polls the backend servers of the services that are in use.

    Each dispatch asks for two polls of its service; in between, all backend
    servers take turns slowly. One that declined is polled at once, and those
    new in the table come first: only a report says which versions one has.

    Attributes:
        started: Whether each backend server of the first table was asked.
        polls: Polls made.
        failures: Polls that brought no report.
    """

    def __init__(
        self,
        client: engines.EngineClient,
        router: router_lib.Router,
        news: ServerNews,
        clock: Callable[[], float],
    ) -> None:
        self.started = False
        self._first_poll = 0.0
        self.polls = 0
        self.failures = 0
        self._client = client
        self._router = router
        self._news = news
        self._clock = clock
        self._table = model.Table()
        self._new: deque[str] = deque()
        self._turns = itertools.count()
        self._turns_of: dict[str, itertools.count[int]] = {}
        self._owed: deque[str] = deque(maxlen=MOST_OWED)
        self._is_owed = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Takes a new table in force."""
        old = self._table.servers
        self._table = in_force.table
        self._new.extend(
            name
            for name, row in self._table.servers.items()
            if name not in old or old[name].address != row.address
        )
        self._is_owed.set()

    def on_dispatch(self, server: str) -> None:
        """Notes that a backend server's service is in use."""
        row = self._table.servers.get(server)
        if row is not None:
            self.on_wanted(row.service)

    def on_wanted(self, service: str) -> None:
        """Asks for news of a service that is in use, or would be."""
        self._owed.extend([service] * POLLS_PER_DISPATCH)
        self._is_owed.set()

    async def probe(self, names: Iterable[str]) -> None:
        """Polls these backend servers; those that dally are not waited for."""
        servers = self._table.servers
        rows = [servers[name] for name in names if name in servers]
        calls = {self._start(row) for row in rows}
        if calls:
            await asyncio.wait(calls, timeout=PROBE_SECONDS)

    def on_declined(self, server: str) -> None:
        """Polls a backend server that declined: it may be leaving."""
        row = self._table.servers.get(server)
        if row is not None:
            self._start(row)

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            server = self._next()
            if server is not None:
                self._start(server)
            await self._note_start()
            rate = FIRST_RATE if self._new else BUSY_RATE
            await asyncio.sleep(1.0 / rate)
            await self._rest()

    async def _note_start(self) -> None:
        """Ends the start once the first polls have their answers."""
        if self.started or not self._table.servers:
            return
        self._first_poll = self._first_poll or self._clock()
        is_late = self._clock() - self._first_poll > STARTING_SECONDS
        if self._new and not is_late:
            return
        await asyncio.gather(*self._calls)
        self.started = True

    async def _rest(self) -> None:
        """Waits until a poll is owed, or for the slow turn."""
        if self._owed or self._new:
            return
        self._is_owed.clear()
        try:
            async with asyncio.timeout(1.0 / IDLE_RATE - 1.0 / BUSY_RATE):
                await self._is_owed.wait()
        except TimeoutError:
            return

    def _next(self) -> model.Server | None:
        if self._new:
            return self._table.servers.get(self._new.popleft())
        if self._owed:
            return self._next_of(self._owed.popleft())
        servers = tuple(self._table.servers.values())
        if not servers:
            return None
        return servers[next(self._turns) % len(servers)]

    def _next_of(self, service: str) -> model.Server | None:
        servers = self._table.servers_by_service.get(service, ())
        if not servers:
            return None
        turns = self._turns_of.setdefault(service, itertools.count())
        return servers[next(turns) % len(servers)]

    def _start(self, server: model.Server) -> asyncio.Task[None]:
        self.polls += 1
        call = asyncio.create_task(self._poll(server))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        return call

    async def _poll(self, server: model.Server) -> None:
        try:
            report = await self._client.load(server.address)
        except errors.PlatformError:
            self.failures += 1
            return
        self._tell(server, attrs.evolve(report, server=server.server))

    def _tell(self, server: model.Server, report: routing.LoadReport) -> None:
        self._router.on_load(report, self._clock())
        if report.state == LEAVING:
            self._news.report_leaving(server.address, report.incarnation)
        else:
            self._news.report_live(server.address, report.incarnation)
