"""Runs a relay's tasks and listeners until it is to stop, then ends them."""

from __future__ import annotations

import asyncio
import gc
from typing import Any, TYPE_CHECKING

from aiohttp import web

from hoistmoor.relay.front import front as front_lib
from hoistmoor.relay.peers import answers as answers_lib
from hoistmoor.utils import listening

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from hoistmoor.relay import settings as settings_lib
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower as follower_lib

# Seconds from the stop signal in which requests are still taken: the balancer
# asks once a second and needs two refusals.
TAKE_ON = 2.5
# Seconds between two looks at the clock meanwhile: it goes on while the machine
# is suspended, and timers do not.
STOP_LOOK = 0.5
STOP_MARGIN = 0.8  # Seconds before the end by force at which requests are cut.
LARGEST_LINE = 16384  # Bytes of one line of a request's head.


class Serving:
    """One relay's tasks and listeners.

    Attributes:
        addresses: ``ip:port`` of each listener: callers, balancer, metrics,
            other relays.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        front: front_lib.Front,
        followers: dict[str, follower_lib.TopicFollower],
        loops: Mapping[str, Callable[[], Coroutine[Any, Any, None]]],
        settings: Callable[[], settings_lib.RelaySettings],
    ) -> None:
        """Makes it; nothing runs yet.

        Args:
            state: What the relay knows.
            front: Serves callers.
            followers: Read the topics, by name.
            loops: What runs while it serves, by name.
            settings: Returns the settings in force.
        """
        self.addresses: list[str] = []
        self._state = state
        self._front = front
        self._followers = followers
        self._loops = loops
        self._settings = settings

    async def serve(self, stop: asyncio.Event) -> None:
        """Serves until ``stop`` is set, then stops gracefully."""
        runners = await self._listen()
        tasks = [
            asyncio.create_task(loop(), name=name)
            for name, loop in self._loops.items()
        ]
        self._state.log.write("start", listen=self._settings().listen)
        gc.collect()
        gc.freeze()  # What a start makes is never garbage; do not scan it.
        try:
            stopping = asyncio.create_task(stop.wait())
            await asyncio.wait(
                {stopping, *tasks}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in tasks:
                if task.done():
                    task.result()
            await self._stop()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for runner in runners:
                await runner.cleanup()

    async def _listen(self) -> list[web.ServerRunner]:
        settings = self._settings()
        readiness = front_lib.Readiness(self._state)
        pages = [
            (settings.listen, self._front.handle),
            (settings.ready_listen, readiness.handle),
        ]
        if settings.metrics_listen:
            metrics = front_lib.MetricsPage(self._state)
            pages.append((settings.metrics_listen, metrics.handle))
        if settings.peer_listen:
            answers = answers_lib.PeerAnswers(self._state, self._followers)
            pages.append((settings.peer_listen, answers.handle))
        runners = []
        for address, handler in pages:
            server = web.Server(
                handler,
                handler_cancellation=True,
                access_log=None,
                auto_decompress=False,
                max_line_size=LARGEST_LINE,
                max_field_size=LARGEST_LINE,
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
        """Ends each request with its whole answer while there is time."""
        state = self._state
        began = state.clock()
        state.log.write("stopping", running=len(self._front.running))
        state.draining = True
        await asyncio.sleep(TAKE_ON)
        state.stopping = True
        end = began + self._settings().stop_timeout - STOP_MARGIN
        while self._front.running and state.clock() < end:
            await asyncio.wait(
                set(self._front.running),
                timeout=min(STOP_LOOK, end - state.clock()),
            )
        state.log.write("stop", left=len(self._front.running))
