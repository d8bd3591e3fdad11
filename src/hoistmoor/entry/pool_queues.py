"""Admission queues: requests that wait at this host for a pool's slot."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.limits import pools
from hoistmoor.core.limits import queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core.table import model

# Sent to callers. OVERLOADED means that the queue is full, or that the request
# is not expected to finish before its deadline.
_REFUSAL_DETAILS = {
    refusals.Reason.OVERLOADED: "It could not start before its deadline.",
    refusals.Reason.DEADLINE_EXCEEDED: "No slot came free in time.",
}


@attrs.frozen
class _Waiter:
    """A queued request and the future that its task waits on."""

    entry: queue.Entry
    future: asyncio.Future[queue.Effect]


class PoolQueues:
    """Queues of all pools, and the tasks that wait in them.

    Attributes:
        pools: Pool of each service.
        host_count: Number of live entry hosts, which share each pool.
        table: The table in force.
    """

    def __init__(self, clock: Callable[[], float], table: model.Table) -> None:
        self.pools: dict[str, pools.Pool] = {}
        self.host_count = 1
        self.table = table
        self._clock = clock
        self._waiters: dict[int, _Waiter] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def stop(self) -> None:
        """Cancels the timers."""
        for timer in self._timers.values():
            timer.cancel()

    def update(self, table: model.Table, hosts: int) -> None:
        """Applies a new table or a new number of live hosts."""
        self.table = table
        self.host_count = hosts
        now = self._clock()
        for name, pool in self.pools.items():
            self._apply_effects(name, pool.on_table(table, name, hosts, now))

    def pool(self, name: str) -> pools.Pool:
        """Returns the pool of a service; creates it on first use."""
        if name not in self.pools:
            now = self._clock()
            pool = self.pools[name] = pools.Pool.create(now)
            pool.on_table(self.table, name, self.host_count, now)
        return self.pools[name]

    async def acquire(
        self, name: str, entry: queue.Entry
    ) -> refusals.Refusal | None:
        """Waits until the request has a slot, or returns why it gets none."""
        pool = self.pool(name)
        future = asyncio.get_running_loop().create_future()
        self._waiters[entry.serial] = _Waiter(entry, future)
        self._apply_effects(name, pool.admission.offer(entry, self._clock()))
        try:
            effect = await future
        except asyncio.CancelledError:
            self._cancel_wait(name, entry, future)
            raise
        finally:
            del self._waiters[entry.serial]
        if isinstance(effect, queue.Refuse):
            return _to_refusal(effect)
        return None

    def release(
        self,
        name: str,
        priority: queue.PriorityClass,
        seconds: float,
        result: pools.Result,
    ) -> None:
        """Releases a slot that was held for ``seconds``."""
        pool = self.pool(name)
        effects = pool.finish(priority, seconds, result, self._clock())
        self._apply_effects(name, effects)

    def _cancel_wait(
        self,
        name: str,
        entry: queue.Entry,
        future: asyncio.Future[queue.Effect],
    ) -> None:
        """Removes a request whose task was cancelled."""
        if self.pool(name).admission.cancel(entry.serial):
            return
        # The request may have received its slot just before. It counts as
        # failed, so that its time does not affect the service time.
        if not future.cancelled() and isinstance(future.result(), queue.Start):
            self.release(name, entry.priority, 0.0, pools.Result.FAILED)

    def _apply_effects(
        self, name: str, effects: tuple[queue.Effect, ...]
    ) -> None:
        cancelled_entries: list[queue.Entry] = []
        for effect in effects:
            waiter = self._waiters[effect.serial]
            if not waiter.future.done():
                waiter.future.set_result(effect)
            elif isinstance(effect, queue.Start):
                # The task was cancelled but has not run since.
                cancelled_entries.append(waiter.entry)
        self._set_timer(name)
        for entry in cancelled_entries:
            self.release(name, entry.priority, 0.0, pools.Result.FAILED)

    def _set_timer(self, name: str) -> None:
        timer = self._timers.pop(name, None)
        if timer:
            timer.cancel()
        expiry = self.pool(name).admission.next_expiry()
        if expiry is None:
            return
        loop = asyncio.get_running_loop()
        delay = max(0.0, expiry - self._clock())
        self._timers[name] = loop.call_later(delay, self._on_timer, name)

    def _on_timer(self, name: str) -> None:
        del self._timers[name]
        effects = self.pool(name).admission.tick(self._clock())
        self._apply_effects(name, effects)


def _to_refusal(effect: queue.Refuse) -> refusals.Refusal:
    return refusals.Refusal(
        effect.reason,
        outcomes.Outcome.NOT_RUN,
        _REFUSAL_DETAILS[effect.reason],
        effect.retry_after,
    )
