"""Runs a relay's tasks and listeners, and shuts them down gracefully."""

from __future__ import annotations

import asyncio
import gc
from typing import Any, TYPE_CHECKING

from aiohttp import web

from hoistmoor.core.relay.course import host_stop
from hoistmoor.relay import background_tasks
from hoistmoor.relay.front import host_end
from hoistmoor.relay.front import http_handlers as http_handlers_lib
from hoistmoor.relay.peers import request_handler as request_handler_lib
from hoistmoor.utils import http_limits
from hoistmoor.utils import listening

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from hoistmoor.relay import settings as settings_lib
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.links import forward_handler
    from hoistmoor.relay.store import follower as follower_lib

# Seconds after the stop signal during which requests are still accepted: the
# load balancer probes once a second and needs two failed probes.
DRAIN_SECONDS = 2.5
# Seconds between checks of the clock while requests finish: unlike timers, the
# clock advances while the machine is suspended.
STOP_POLL_INTERVAL = 0.5
# Seconds before the forced stop at which remaining requests are ended.
STOP_MARGIN = 0.8


class RelayServer:
    """Lifecycle of a relay's background tasks and listeners.

    Attributes:
        addresses: ``ip:port`` of each listener: callers, load balancer,
            metrics, other relays.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        front: http_handlers_lib.RequestHandler,
        followers: dict[str, follower_lib.TopicFollower],
        loops: Mapping[str, Callable[[], Coroutine[Any, Any, None]]],
        settings: Callable[[], settings_lib.RelaySettings],
        forwarding: forward_handler.ForwardHandler,
    ) -> None:
        """Initializes the relay's lifecycle without starting anything.

        Args:
            state: State of the relay.
            front: Handles callers' requests.
            followers: Topic followers by topic name.
            loops: Background tasks by name.
            settings: Returns the settings in force.
            forwarding: Forwards requests of other hosts.
        """
        self.addresses: list[str] = []
        self._state = state
        self._front = front
        self._followers = followers
        self._loops = loops
        self._settings = settings
        self._forwarding = forwarding

    async def serve(self, stop: asyncio.Event) -> None:
        """Serves until ``stop`` is set, then shuts down gracefully."""
        runners = await self._listen()
        tasks = background_tasks.BackgroundTasks(self._state, self._loops)
        tasks.start()
        self._state.log.write("start", listen=self._settings().listen)
        gc.collect()
        # Objects from startup live as long as the process, so the garbage
        # collector need not scan them.
        gc.freeze()
        try:
            await stop.wait()
            await self._stop()
        finally:
            await tasks.cancel()
            for runner in runners:
                await runner.cleanup()

    async def _listen(self) -> list[web.ServerRunner]:
        settings = self._settings()
        readiness = http_handlers_lib.ReadinessHandler(self._state)
        handlers = [
            (settings.listen, self._front.handle),
            (settings.ready_listen, readiness.handle),
        ]
        if settings.metrics_listen:
            metrics = http_handlers_lib.MetricsHandler(self._state)
            handlers.append((settings.metrics_listen, metrics.handle))
        if settings.peer_listen:
            answers = request_handler_lib.PeerRequestHandler(
                self._state, self._followers, self._forwarding.handle
            )
            handlers.append((settings.peer_listen, answers.handle))
        runners = []
        for address, handler in handlers:
            server = web.Server(
                handler,
                handler_cancellation=True,
                access_log=None,
                auto_decompress=False,
                max_line_size=http_limits.MAX_REQUEST_LINE,
                max_field_size=http_limits.MAX_REQUEST_LINE,
                max_headers=(
                    http_limits.MAX_CALLER_LINES
                    if address == settings.listen
                    else http_limits.MAX_LINES
                ),
                keepalive_timeout=3600.0,
            )
            runner = web.ServerRunner(server, shutdown_timeout=0.1)
            await runner.setup()
            listener = listening.bind(address)
            await web.SockSite(runner, listener).start()
            self.addresses.append(listening.address_of(listener))
            runners.append(runner)
        return runners

    async def _stop(self) -> None:
        """Drains the relay: lets running requests finish until the timeout."""
        state = self._state
        began = state.clock()
        state.log.write("stopping", running=len(self._running()))
        state.draining = True
        end = began + self._settings().stop_timeout - STOP_MARGIN
        state.stop = host_stop.HostStop(end)
        await asyncio.sleep(DRAIN_SECONDS)
        state.stopping = True
        while self._running() and state.clock() < end:
            await asyncio.wait(
                self._running(),
                timeout=min(STOP_POLL_INTERVAL, end - state.clock()),
            )
        state.log.write("stop", left=len(self._running()))
        await host_end.end_requests(state, self._front.running)

    def _running(self) -> set[asyncio.Task[Any]]:
        """Returns the requests in progress, also those of other hosts."""
        return self._front.running | self._forwarding.running
