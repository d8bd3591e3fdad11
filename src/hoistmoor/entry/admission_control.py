"""Admission control: applies the table's limits to requests at this host."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.limits import accounts
from hoistmoor.core.limits import ledger
from hoistmoor.core.limits import pools
from hoistmoor.core.limits import queue
from hoistmoor.core.limits import records
from hoistmoor.core.limits import retries
from hoistmoor.core.table import limits
from hoistmoor.core.table import model
from hoistmoor.entry import pool_queues
from hoistmoor.entry import share_exchange
from hoistmoor.entry import share_sync

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hoistmoor.core import identity
    from hoistmoor.core.sessions import rendezvous
    from hoistmoor.entry import log_interface

SHARE_WAIT_SECONDS = 1.0  # Longest wait of a request for a spend share.
_URGENT_RESERVE_FRACTION = 0.1  # Of the host's concurrency.
_MAX_RETRY_AFTER_SECONDS = 3_600

Result = pools.Result

_SPEND_REFUSAL_DETAILS = {
    ledger.ReserveResult.EXHAUSTED: (
        "The account's spend limit of the day is used up."
    ),
    ledger.ReserveResult.WAIT: (
        "No share of the spend limit could be had in time."
    ),
    ledger.ReserveResult.UNKNOWN: (
        "The spend so far is not known to this host yet."
    ),
}


@attrs.define
class AdmittedRequest:
    """An admitted request; it must be released exactly once.

    Attributes:
        serial: Serial number of the request in this process.
        account: Client account.
        pool: Name of the service that handles the request.
        priority: Priority in the admission queue.
        day: UTC day to which its spend is charged.
        reserved: Micros reserved for it.
        started_at: Admission time, in seconds since the epoch.
        released: Whether it has been released.
    """

    serial: int
    account: str
    pool: str
    priority: model.Priority
    day: int
    reserved: int = 0
    started_at: float = 0.0
    released: bool = False


class AdmissionController:
    """Admits requests at this host within all limits.

    Attributes:
        accounts: Rate and concurrency limits per client account.
        share_sync: Spend limits per client account.
        pool_queues: Queue and retry budget per service.
        request_count: Number of requests admitted or waiting.
    """

    def __init__(
        self,
        log: log_interface.Log,
        incarnation: identity.Incarnation,
        clock: Callable[[], float] = time.time,
        share_directory: share_exchange.ShareDirectory | None = None,
    ) -> None:
        self.in_force = model.ActiveTable(-1, model.Table())
        self.accounts = accounts.AccountLimiter(incarnation)
        self.share_sync = share_sync.ShareSync(
            log, incarnation, self.accounts.shares, clock, share_directory
        )
        self.pool_queues = pool_queues.PoolQueues(clock, self.in_force.table)
        self.request_count = 0
        self._clock = clock
        self._serial_numbers = itertools.count(1)

    def now(self) -> float:
        """Returns the current time in seconds since the epoch."""
        return self._clock()

    def start(self) -> None:
        """Starts the tasks that synchronize the spend shares with the log."""
        self.share_sync.start()

    async def stop(self) -> None:
        """Stops the tasks; call ``drain`` first for a graceful stop."""
        await self.share_sync.stop()
        self.pool_queues.stop()

    async def handle_share_message(self, message: bytes) -> bytes:
        """Handles a peer's message about spend shares; returns the reply."""
        return await self.share_sync.exchange.handle_message(message)

    async def drain(self) -> None:
        """Returns unused spend shares; call it once admission has stopped."""
        await self.share_sync.drain()

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Applies a new table."""
        self.in_force = in_force
        self.share_sync.on_table(in_force)
        self.pool_queues.update(in_force.table, self.pool_queues.host_count)

    def on_hosts(self, hosts: Iterable[rendezvous.EntryHost]) -> None:
        """Updates the live entry hosts, this one included."""
        now = self._clock()
        shares = self.accounts.shares
        shares.on_hosts([host.name for host in hosts], now)
        count = shares.host_count(now)
        self.share_sync.ledger.hosts = count
        self.pool_queues.update(self.in_force.table, count)

    async def admit(
        self,
        account: str,
        priority: model.Priority,
        deadline: float,
        estimated_cost: int,
        pool: str = "",
    ) -> AdmittedRequest | refusals.Refusal:
        """Waits until the request may run, or returns why it is refused.

        Args:
            account: Client account.
            priority: Priority in the admission queue.
            deadline: Deadline for the response, in seconds since the epoch.
            estimated_cost: Upper bound of its cost, in micros.
            pool: Name of the service that handles the request.
        """
        refusal = self._check_limits(account, priority)
        if refusal:
            return refusal
        now = self._clock()
        serial = next(self._serial_numbers)
        day = records.day_of(now)
        admitted = AdmittedRequest(serial, account, pool, priority, day)
        try:
            refusal = await self._reserve(admitted, estimated_cost, deadline)
            if refusal is None:
                entry = queue.Entry(serial, priority, deadline)
                refusal = await self.pool_queues.acquire(pool, entry)
        except BaseException:
            self._revert(admitted)
            raise
        if refusal:
            self._revert(admitted)
            return refusal
        admitted.started_at = self._clock()
        return admitted

    def release(
        self,
        admitted: AdmittedRequest,
        actual_cost: int,
        result: Result = Result.DONE,
    ) -> None:
        """Releases everything an admitted request holds; idempotent.

        Args:
            admitted: The request.
            actual_cost: Its actual cost, in micros.
            result: How the request ended.
        """
        if admitted.released:
            return
        admitted.released = True
        self.request_count -= 1
        self.accounts.release(admitted.account)
        self._settle(admitted, actual_cost)
        seconds = self._clock() - admitted.started_at
        self.pool_queues.release(
            admitted.pool, admitted.priority, seconds, result
        )

    def take_retry(self, pool: str = "") -> bool:
        """Takes a retry from the pool's budget; returns whether it had one."""
        return self.pool_queues.pool(pool).budget.try_take(self._clock())

    def _check_limits(
        self, account: str, priority: model.Priority
    ) -> refusals.Refusal | None:
        row = self.in_force.table.accounts.get(account)
        if row is None:
            return _refusal(refusals.Reason.NOT_GRANTED, "No such account.")
        if self.request_count >= self._max_requests(priority):
            wait = retries.jittered_wait(1.0, next(self._serial_numbers))
            return _refusal(
                refusals.Reason.OVERLOADED,
                "This host is full.",
                wait,
            )
        refusal = self.accounts.admit(row, self._clock())
        if refusal is None:
            self.request_count += 1
        return refusal

    def _max_requests(self, priority: model.Priority) -> float:
        max_requests = limits.value(self.in_force.table, "entry_concurrency")
        if priority is model.Priority.URGENT:
            return max_requests
        return max(1.0, max_requests * (1 - _URGENT_RESERVE_FRACTION))

    async def _reserve(
        self, admitted: AdmittedRequest, cost: int, deadline: float
    ) -> refusals.Refusal | None:
        if cost <= 0:
            return None
        share_deadline = min(deadline, self._clock() + SHARE_WAIT_SECONDS)
        verdict = await self.share_sync.reserve(
            admitted.account,
            cost,
            admitted.day,
            share_deadline,
            admitted.priority is model.Priority.URGENT,
        )
        if verdict is not ledger.ReserveResult.RESERVED:
            return self._spend_refusal(verdict, admitted.serial)
        admitted.reserved = cost
        return None

    def _spend_refusal(
        self, verdict: ledger.ReserveResult, serial: int
    ) -> refusals.Refusal:
        wait = retries.jittered_wait(2.0, serial)
        if verdict is ledger.ReserveResult.EXHAUSTED:
            # Other hosts may return shares before the day ends.
            seconds_left = -self._clock() % records.SECONDS_PER_DAY
            wait = min(_MAX_RETRY_AFTER_SECONDS, int(seconds_left) + wait)
        detail = _SPEND_REFUSAL_DETAILS[verdict]
        return _refusal(refusals.Reason.SPEND_LIMITED, detail, wait)

    def _settle(self, admitted: AdmittedRequest, cost: int) -> None:
        if admitted.reserved or cost:
            self.share_sync.ledger.local_shares.settle(
                admitted.account, admitted.day, admitted.reserved, cost
            )

    def _revert(self, admitted: AdmittedRequest) -> None:
        self.request_count -= 1
        self.accounts.revert(admitted.account)
        self._settle(admitted, 0)


def _refusal(
    reason: refusals.Reason, detail: str, wait: int | None = None
) -> refusals.Refusal:
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail, wait)
