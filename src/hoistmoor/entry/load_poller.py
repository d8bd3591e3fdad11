"""Polls backend servers for load reports at a rate that follows demand."""

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

# A poll costs about 1.4 ms of CPU time and 500 bytes. The rates bound the cost
# per host: with more backend servers, the reports get older instead of the
# polling more expensive.
IDLE_POLLS_PER_SECOND = 1.0  # While no request is dispatched.
MAX_POLLS_PER_SECOND = 6.0  # Except while servers are still unpolled.
INITIAL_POLLS_PER_SECOND = 25.0  # While servers are still unpolled.
MAX_STARTUP_SECONDS = 3.0  # Longest wait of a start for first reports.
PROBE_TIMEOUT_SECONDS = 0.03  # Longest wait of a request for a probe.
POLLS_PER_DISPATCH = 2
MAX_PENDING_POLLS = 12  # Excess polls requested by a burst are dropped.
LEAVING = "leaving"


class ServerStateListener(Protocol):
    """Receives the state that backend servers report about themselves."""

    def report_leaving(self, address: str, incarnation: int) -> None:
        """Handles a report that the server is leaving."""

    def report_live(self, address: str, incarnation: int) -> None:
        """Handles a report that the server is live."""


class LoadPoller:
    """Polls the backend servers of the services that are in use.

    Each dispatch requests two polls of its service. Otherwise all backend
    servers are polled in turn at the idle rate. A server that declined a
    request is polled at once. Servers new in the table come first, because
    only a report tells which versions a server has.

    Attributes:
        initial_polls_done: Whether each backend server of the first table was
            polled, or the start timed out.
        polls: Number of polls made.
        failures: Number of polls that returned no report.
    """

    def __init__(
        self,
        client: engines.EngineClient,
        router: router_lib.Router,
        listener: ServerStateListener,
        clock: Callable[[], float],
    ) -> None:
        self.initial_polls_done = False
        self._first_poll_at = 0.0
        self.polls = 0
        self.failures = 0
        self._client = client
        self._router = router
        self._listener = listener
        self._clock = clock
        self._table = model.Table()
        self._unpolled: deque[str] = deque()
        self._round_robin = itertools.count()
        self._service_round_robins: dict[str, itertools.count[int]] = {}
        self._pending_services: deque[str] = deque(maxlen=MAX_PENDING_POLLS)
        self._wake_up = asyncio.Event()
        self._poll_tasks: set[asyncio.Task[None]] = set()

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Applies a new table."""
        old = self._table.servers
        self._table = in_force.table
        self._unpolled.extend(
            name
            for name, row in self._table.servers.items()
            if name not in old or old[name].address != row.address
        )
        self._wake_up.set()

    def on_dispatch(self, server: str) -> None:
        """Requests polls of the service that a request was dispatched to."""
        row = self._table.servers.get(server)
        if row is not None:
            self.request_polls(row.service)

    def request_polls(self, service: str) -> None:
        """Requests polls of a service that is, or would be, in use."""
        self._pending_services.extend([service] * POLLS_PER_DISPATCH)
        self._wake_up.set()

    async def probe(self, names: Iterable[str]) -> None:
        """Polls these backend servers and waits briefly for their reports."""
        servers = self._table.servers
        rows = [servers[name] for name in names if name in servers]
        tasks = {self._start_poll(row) for row in rows}
        if tasks:
            await asyncio.wait(tasks, timeout=PROBE_TIMEOUT_SECONDS)

    def on_declined(self, server: str) -> None:
        """Polls a backend server that declined a request: it may be leaving."""
        row = self._table.servers.get(server)
        if row is not None:
            self._start_poll(row)

    async def run(self) -> None:
        """Polls until the task is cancelled."""
        while True:
            server = self._next_server()
            if server is not None:
                self._start_poll(server)
            await self._update_started()
            rate = (
                INITIAL_POLLS_PER_SECOND
                if self._unpolled
                else MAX_POLLS_PER_SECOND
            )
            await asyncio.sleep(1.0 / rate)
            await self._wait_for_next_poll()

    async def _update_started(self) -> None:
        """Sets ``started`` once the initial polls are done or time is up."""
        if self.initial_polls_done or not self._table.servers:
            return
        self._first_poll_at = self._first_poll_at or self._clock()
        is_late = self._clock() - self._first_poll_at > MAX_STARTUP_SECONDS
        if self._unpolled and not is_late:
            return
        await asyncio.gather(*self._poll_tasks)
        self.initial_polls_done = True

    async def _wait_for_next_poll(self) -> None:
        """Waits until a poll is requested or the idle interval has passed."""
        if self._pending_services or self._unpolled:
            return
        self._wake_up.clear()
        try:
            async with asyncio.timeout(
                1.0 / IDLE_POLLS_PER_SECOND - 1.0 / MAX_POLLS_PER_SECOND
            ):
                await self._wake_up.wait()
        except TimeoutError:
            return

    def _next_server(self) -> model.Server | None:
        if self._unpolled:
            return self._table.servers.get(self._unpolled.popleft())
        if self._pending_services:
            return self._next_server_of(self._pending_services.popleft())
        servers = tuple(self._table.servers.values())
        if not servers:
            return None
        return servers[next(self._round_robin) % len(servers)]

    def _next_server_of(self, service: str) -> model.Server | None:
        servers = self._table.servers_by_service.get(service, ())
        if not servers:
            return None
        round_robin = self._service_round_robins.setdefault(
            service, itertools.count()
        )
        return servers[next(round_robin) % len(servers)]

    def _start_poll(self, server: model.Server) -> asyncio.Task[None]:
        self.polls += 1
        task = asyncio.create_task(self._poll(server))
        self._poll_tasks.add(task)
        task.add_done_callback(self._poll_tasks.discard)
        return task

    async def _poll(self, server: model.Server) -> None:
        try:
            report = await self._client.fetch_load(server.address)
        except errors.PlatformError:
            self.failures += 1
            return
        self._publish(server, attrs.evolve(report, server=server.server))

    def _publish(
        self, server: model.Server, report: routing.LoadReport
    ) -> None:
        self._router.on_load(report, self._clock())
        if report.state == LEAVING:
            self._listener.report_leaving(server.address, report.incarnation)
        else:
            self._listener.report_live(server.address, report.incarnation)
