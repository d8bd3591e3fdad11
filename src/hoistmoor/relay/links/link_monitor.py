"""Probes servers, and asks other hosts about those that do not respond."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoistmoor.core.relay.links import forwarders
from hoistmoor.core.relay.links import link as link_lib
from hoistmoor.relay.links import prober

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from hoistmoor.core.relay.beliefs import replication
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.peers import peer_client

CHECK_INTERVAL = 0.1  # Seconds between checks of what is due.
MAX_QUESTIONS = 1  # Questions to other hosts at each check.
# Seconds for which a failed connection answers questions about a server. Many
# hosts ask at once about one that has failed.
KNOWN_SECONDS = 0.25
# Other servers that are probed to tell a failed server from a lost link.
SAMPLE_SIZE = 3

_Result = forwarders.ForwardResult


class LinkMonitor:
    """Tells servers that have failed from links that this host has lost."""

    def __init__(
        self, state: state_lib.RelayState, client: peer_client.PeerClient
    ) -> None:
        """Creates the task.

        Args:
            state: Shared state of the relay.
            client: Sends requests to other hosts.
        """
        self._state = state
        self._client = client
        self._probes: dict[str, asyncio.Task[link_lib.ProbeResult]] = {}
        self._questions: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probes and asks until cancelled."""
        while True:
            await self._pause()
            now = self._state.clock()
            links = self._state.router.fleet.links
            self._state.links.check()
            for server in links.due_probes(now):
                self._start_probe(server)
            for server in links.due_questions(now, MAX_QUESTIONS):
                self._start_question(self._ask_about(server))
            if links.lost_since is not None:
                self._recheck_forwarders(now)

    async def _pause(self) -> None:
        """Waits until the next check, or until a link closes."""
        has_closed = self._state.links.has_closed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL):
                await has_closed.wait()
        has_closed.clear()

    def _recheck_forwarders(self, now: float) -> None:
        """Asks hosts that had lost their links whether they have them again."""
        fleet = self._state.router.fleet
        server = next(iter(fleet), None)
        if server is None or self._questions:
            return
        for host in fleet.forwarders.due_hosts(now):
            self._start_question(self._recheck(host, server))

    async def _recheck(
        self, host: replication.Host, server: server_lib.ServerState
    ) -> None:
        await self._ask(host, server)

    async def probe(
        self, server: server_lib.ServerState
    ) -> link_lib.ProbeResult:
        """Probes a server; all callers of one moment share a connection."""
        # The shield keeps the probe running for the others when one of them is
        # cancelled.
        return await asyncio.shield(self._start_probe(server))

    def _start_probe(
        self, server: server_lib.ServerState
    ) -> asyncio.Task[link_lib.ProbeResult]:
        identity = server.entry.identity
        running = self._probes.get(identity)
        if running is not None:
            return running
        started = asyncio.create_task(self._probe(server))
        self._probes[identity] = started
        started.add_done_callback(lambda _: self._probes.pop(identity, None))
        return started

    async def _probe(
        self, server: server_lib.ServerState
    ) -> link_lib.ProbeResult:
        result = await prober.probe(server.entry.address)
        self._state.links.record_probe(server, result)
        return result

    def _start_question(self, question: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(question)
        self._questions.add(task)
        task.add_done_callback(self._questions.discard)

    async def _ask_about(self, server: server_lib.ServerState) -> None:
        await self.ask_others(server)

    async def ask_others(
        self, server: server_lib.ServerState
    ) -> forwarders.ForwardResult | None:
        """Asks some other hosts at once whether they reach a server.

        Several hosts may have lost the same link, so that one which reaches the
        server counts for more than all that do not.

        Returns:
            ``REACHABLE`` or ``UNREACHABLE``; None if no host could tell.
        """
        hosts = self._state.router.fleet.forwarders.usable(self._state.clock())
        results = await asyncio.gather(
            *(self._ask(host, server) for host in hosts)
        )
        for result in (_Result.REACHABLE, _Result.UNREACHABLE):
            if result in results:
                return result
        return None

    async def _ask(
        self, host: replication.Host, server: server_lib.ServerState
    ) -> forwarders.ForwardResult:
        result = await self._client.ask_whether_reachable(
            host, server.entry.identity
        )
        self._state.links.record_answer(server, host.name, result)
        return result

    async def diagnose(
        self, server: server_lib.ServerState
    ) -> forwarders.ForwardResult:
        """Returns why a server cannot be reached, or that it can be.

        Only a host that reaches another server at that moment may call this
        one unreachable: hosts lose their links together.
        """
        began = self._state.clock()
        if self._is_known_unreachable(server, began):
            return _Result.UNREACHABLE
        others = self._sample_others(server)
        results = await asyncio.gather(
            self.probe(server), *(self.probe(other) for other in others)
        )
        if results[0] is link_lib.ProbeResult.CONNECTED:
            return _Result.REACHABLE
        if self._state.router.fleet.links.connected_at >= began:
            return _Result.UNREACHABLE
        return _Result.LINKS_LOST

    def _is_known_unreachable(
        self, server: server_lib.ServerState, now: float
    ) -> bool:
        """Returns whether recent connections show that only this one fails.

        An earlier connection to the server proves nothing, as it may have
        crashed since.
        """
        failed_at = server.link.failed_at
        is_recent = now - failed_at < KNOWN_SECONDS
        links = self._state.router.fleet.links
        return is_recent and (
            links.connected_at > failed_at > server.link.connected_at
        )

    def _sample_others(
        self, server: server_lib.ServerState
    ) -> list[server_lib.ServerState]:
        """Returns other servers, those with open links first."""
        others = [
            each for each in self._state.router.fleet if each is not server
        ]
        others.sort(
            key=lambda each: (
                each.link.failures > 0,
                each.entry.zone == server.entry.zone,
                -each.link.connected_at,
            )
        )
        return others[:SAMPLE_SIZE]

    async def has_ended(self, server: server_lib.ServerState) -> bool | None:
        """Returns whether a server has terminated; None if nobody can tell.

        The address of a terminated server refuses connections, but so does a
        link that was lost. What a host finds that reaches other servers
        decides, be it this host or another one. Both are asked at once, as
        requests wait for the result.
        """
        others = asyncio.create_task(self.ask_others(server))
        own = asyncio.create_task(self.diagnose(server))
        try:
            if await self.probe(server) is not link_lib.ProbeResult.REFUSED:
                return False
            self._state.record_refused(server)
            told = await others
            if told is not None:
                return told is _Result.UNREACHABLE
            found = await own
        finally:
            others.cancel()
            own.cancel()
        is_alone = not self._state.router.fleet.forwarders.hosts
        if found is _Result.LINKS_LOST and not is_alone:
            return None
        return found is not _Result.REACHABLE
