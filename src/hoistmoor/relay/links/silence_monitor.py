"""Requests the health path of servers that owe responses and are quiet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from hoistmoor.clients import service_client
from hoistmoor.core.relay.servers import silence
from hoistmoor.relay.front import backend_connector
from hoistmoor.relay.front import server_reports

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import state as state_lib

CHECK_INTERVAL = 0.05  # Seconds between checks of which servers are quiet.
# Seconds for which one request stays open. A server that goes on responds to
# it, so that no other is needed to find out.
PROBE_TIMEOUT = 10.0


class SilenceMonitor:
    """Tells servers that stand still from those that are slow."""

    def __init__(
        self,
        state: state_lib.RelayState,
        connector: backend_connector.BackendConnector,
    ) -> None:
        """Creates the task.

        Args:
            state: Shared state of the relay.
            connector: Sends requests to servers.
        """
        self._state = state
        self._connector = connector
        self._probes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probes until cancelled."""
        try:
            while True:
                await asyncio.sleep(CHECK_INTERVAL)
                self._start_probes()
        finally:
            for probe in self._probes:
                probe.cancel()

    def _start_probes(self) -> None:
        silences = self._state.router.silences
        for server in silences.due_probes(self._state.clock()):
            probe = asyncio.create_task(self._probe(server))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    async def _probe(self, server: server_lib.ServerState) -> None:
        asking = asyncio.create_task(self._ask(server))
        try:
            done, _ = await asyncio.wait(
                {asking}, timeout=silence.CONFIRMATION_SECONDS
            )
            if not done and server.silence.probed_at is not None:
                self._log_silent(server)
            has_responded = await asking
        finally:
            asking.cancel()
        if has_responded:
            self._state.record_heard(server)
        else:
            self._state.router.silences.record_probe_failed(
                server, self._state.clock()
            )

    async def _ask(self, server: server_lib.ServerState) -> bool:
        """Returns whether a server responds, whatever it says."""
        path = self._health_path(server)
        if not path:
            return False
        timeout = aiohttp.ClientTimeout(
            total=PROBE_TIMEOUT, connect=backend_connector.CONNECT_TIMEOUT
        )
        url = f"http://{server.entry.address}{path}"
        session = self._connector.sessions.fresh
        sent_at = self._state.clock()
        try:
            async with session.get(url, timeout=timeout) as response:
                self._apply_report(server, response, sent_at)
                return True
        except service_client.TRANSPORT_ERRORS:
            return False

    def _apply_report(
        self,
        server: server_lib.ServerState,
        response: aiohttp.ClientResponse,
        sent_at: float,
    ) -> None:
        """Applies what a server says of itself, such as a rest."""
        report = server_reports.parse_report(
            response.status, response.headers, self._connector.names
        )
        self._state.report_tracker.apply_report(
            server, report, sent_at, is_success=False
        )

    def _health_path(self, server: server_lib.ServerState) -> str:
        configuration = self._state.configuration
        if configuration is None:
            return ""
        service = configuration.services.get(server.entry.service)
        return service.health_path if service else ""

    def _log_silent(self, server: server_lib.ServerState) -> None:
        since = server.silence.quiet_since
        if since is None:
            return
        self._state.log_change(
            "server_silent",
            server=server.entry.server_id,
            service=server.entry.service,
            quiet=round(self._state.clock() - since, 3),
            patience=round(server.silence.patience, 3),
            outstanding=server.silence.outstanding,
        )
