"""Tasks that wait at this host for room at the backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.waiting import host_queue

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.relay import state as state_lib

# Maximum seconds between two looks at the demand of other hosts while any
# request waits.
UPDATE_INTERVAL = 0.05


@attrs.frozen
class Grant:
    """Answer to a request for room.

    Attributes:
        service: Service of the request.
        serial: Serial of the request at this host.
        event: Event for the request's state machine.
        summary: What happened, for the log; empty if it did not have to wait.
        at: Monotonic time.
    """

    service: str
    serial: int
    event: messages.RoomGranted | messages.RoomDenied
    summary: str
    at: float


@attrs.frozen
class _Waiter:
    service: str
    future: asyncio.Future[host_queue.Effect]


class WaitingTasks:
    """Lets tasks wait for room."""

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._rooms = state.router.waiting
        self._waiters: dict[int, _Waiter] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    async def acquire(
        self, request: requests.RelayRequest, model: str
    ) -> Grant:
        """Waits until a request has room, or is denied it."""
        began = self._state.clock()
        service = request.service
        serial, effects = self._rooms.offer(
            request, model, self._memory_tokens(service), began
        )
        future = asyncio.get_running_loop().create_future()
        self._waiters[serial] = _Waiter(service, future)
        self._apply(service, effects)
        has_waited = not future.done()
        try:
            effect = await future
        except asyncio.CancelledError:
            self._cancel(service, serial, future)
            raise
        finally:
            del self._waiters[serial]
        return self._to_grant(service, effect, began, has_waited=has_waited)

    def set_cost(
        self, grant: Grant, request: requests.RelayRequest, model: str
    ) -> None:
        """Applies the model of an attempt to the room that it holds."""
        self._rooms.set_cost(request, grant.serial, model)

    def release(self, grant: Grant, *, is_success: bool) -> None:
        """Frees the room of a request; does nothing if it was denied."""
        if isinstance(grant.event, messages.RoomDenied):
            return
        now = self._state.clock()
        seconds = now - grant.at if is_success else None
        self._apply(
            grant.service,
            self._rooms.finish(grant.service, grant.serial, seconds, now),
        )

    def _memory_tokens(self, service: str) -> int:
        config = self._state.configuration
        known = config.services.get(service) if config else None
        return known.memory_tokens if known else 0

    def _to_grant(
        self,
        service: str,
        effect: host_queue.Effect,
        began: float,
        *,
        has_waited: bool,
    ) -> Grant:
        now = self._state.clock()
        waited = now - began
        event: messages.RoomGranted | messages.RoomDenied
        if isinstance(effect, host_queue.Granted):
            event = messages.RoomGranted()
            result = "granted"
            summary = f"waited {waited:.3f}s for room" if has_waited else ""
        else:
            event = messages.RoomDenied(effect.retry_after, effect.detail)
            result = "denied"
            summary = (
                f"denied after {waited:.3f}s, retry after"
                f" {effect.retry_after:.3f}s: {effect.detail}"
            )
        self._state.counters.room_waits.labels(service, result).observe(waited)
        return Grant(service, effect.serial, event, summary, now)

    def _cancel(
        self,
        service: str,
        serial: int,
        future: asyncio.Future[host_queue.Effect],
    ) -> None:
        """Removes a request whose caller has left."""
        if self._rooms.cancel(service, serial) or future.cancelled():
            return
        # It may have been granted room just before.
        if isinstance(future.result(), host_queue.Granted):
            self._free(service, serial)

    def _free(self, service: str, serial: int) -> None:
        now = self._state.clock()
        self._apply(service, self._rooms.finish(service, serial, None, now))

    def _apply(
        self, service: str, effects: tuple[host_queue.Effect, ...]
    ) -> None:
        left: list[int] = []
        for effect in effects:
            future = self._waiters[effect.serial].future
            if not future.done():
                future.set_result(effect)
            elif isinstance(effect, host_queue.Granted):
                # The task was cancelled but has not run since.
                left.append(effect.serial)
        self._set_timer(service)
        for serial in left:
            self._free(service, serial)

    def _set_timer(self, service: str) -> None:
        expiry = self._rooms.next_expiry(service)
        timer = self._timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        if expiry is None:
            return
        delay = min(UPDATE_INTERVAL, max(0.0, expiry - self._state.clock()))
        self._timers[service] = asyncio.get_running_loop().call_later(
            delay, self._on_timer, service
        )

    def _on_timer(self, service: str) -> None:
        del self._timers[service]
        self._apply(service, self._rooms.update(service, self._state.clock()))
