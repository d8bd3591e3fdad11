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
from hoistmoor.entry import share_keeper
from hoistmoor.entry import share_peers
from hoistmoor.entry import slots

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hoistmoor.core import identity
    from hoistmoor.core.sessions import rendezvous
    from hoistmoor.entry import log_port

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
class Admitted:
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


class Gate:
    """Admits requests at this host within all limits.

    Attributes:
        accounts: Rate and concurrency limits per client account.
        keeper: Spend limits per client account.
        slots: Queue and retry budget per service.
        present: Number of requests admitted or waiting.
    """

    def __init__(
        self,
        log: log_port.Log,
        incarnation: identity.Incarnation,
        clock: Callable[[], float] = time.time,
        neighbours: share_peers.Neighbours | None = None,
    ) -> None:
        self.in_force = model.ActiveTable(-1, model.Table())
        self.accounts = accounts.AccountLimiter(incarnation)
        self.keeper = share_keeper.ShareKeeper(
            log, incarnation, self.accounts.shares, clock, neighbours
        )
        self.slots = slots.Slots(clock, self.in_force.table)
        self.present = 0
        self._clock = clock
        self._serial_numbers = itertools.count(1)

    def now(self) -> float:
        """Returns the current time in seconds since the epoch."""
        return self._clock()

    def start(self) -> None:
        """Starts the tasks that synchronize the spend shares with the log."""
        self.keeper.start()

    async def stop(self) -> None:
        """Stops the tasks; call ``drain`` first for a graceful stop."""
        await self.keeper.stop()
        self.slots.stop()

    async def answer_peer(self, message: bytes) -> bytes:
        """Handles a peer's message about spend shares; returns the reply."""
        return await self.keeper.peers.answer(message)

    async def drain(self) -> None:
        """Returns unused spend shares; call it once admission has stopped."""
        await self.keeper.drain()

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Applies a new table."""
        self.in_force = in_force
        self.keeper.on_table(in_force)
        self.slots.resize(in_force.table, self.slots.hosts)

    def on_hosts(self, hosts: Iterable[rendezvous.EntryHost]) -> None:
        """Updates the live entry hosts, this one included."""
        now = self._clock()
        shares = self.accounts.shares
        shares.on_hosts([host.name for host in hosts], now)
        count = shares.host_count(now)
        self.keeper.book.hosts = count
        self.slots.resize(self.in_force.table, count)

    async def admit(
        self,
        account: str,
        priority: model.Priority,
        deadline: float,
        est_cost: int,
        pool: str = "",
    ) -> Admitted | refusals.Refusal:
        """Waits until the request may run, or returns why it is refused.

        Args:
            account: Client account.
            priority: Priority in the admission queue.
            deadline: Deadline for the response, in seconds since the epoch.
            est_cost: Upper bound of its cost, in micros.
            pool: Name of the service that handles the request.
        """
        refusal = self._check_limits(account, priority)
        if refusal:
            return refusal
        now = self._clock()
        serial = next(self._serial_numbers)
        day = records.day_of(now)
        admitted = Admitted(serial, account, pool, priority, day)
        try:
            refusal = await self._reserve(admitted, est_cost, deadline)
            if refusal is None:
                entry = queue.Entry(serial, priority, deadline)
                refusal = await self.slots.take(pool, entry)
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
        admitted: Admitted,
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
        self.present -= 1
        self.accounts.release(admitted.account)
        self._settle(admitted, actual_cost)
        seconds = self._clock() - admitted.started_at
        self.slots.free(admitted.pool, admitted.priority, seconds, result)

    def retry_allowed(self, pool: str = "") -> bool:
        """Takes a retry from the pool's budget; returns whether it had one."""
        return self.slots.pool(pool).budget.try_take(self._clock())

    def _check_limits(
        self, account: str, priority: model.Priority
    ) -> refusals.Refusal | None:
        row = self.in_force.table.accounts.get(account)
        if row is None:
            return _refusal(refusals.Reason.NOT_GRANTED, "No such account.")
        if self.present >= self._max_requests(priority):
            wait = retries.jittered_wait(1.0, next(self._serial_numbers))
            return _refusal(
                refusals.Reason.OVERLOADED,
                "This host is full.",
                wait,
            )
        refusal = self.accounts.admit(row, self._clock())
        if refusal is None:
            self.present += 1
        return refusal

    def _max_requests(self, priority: model.Priority) -> float:
        max_requests = limits.value(self.in_force.table, "entry_concurrency")
        if priority is model.Priority.URGENT:
            return max_requests
        return max(1.0, max_requests * (1 - _URGENT_RESERVE_FRACTION))

    async def _reserve(
        self, admitted: Admitted, cost: int, deadline: float
    ) -> refusals.Refusal | None:
        if cost <= 0:
            return None
        share_deadline = min(deadline, self._clock() + SHARE_WAIT_SECONDS)
        verdict = await self.keeper.reserve(
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

    def _settle(self, admitted: Admitted, cost: int) -> None:
        if admitted.reserved or cost:
            self.keeper.book.local_shares.settle(
                admitted.account, admitted.day, admitted.reserved, cost
            )

    def _revert(self, admitted: Admitted) -> None:
        self.present -= 1
        self.accounts.revert(admitted.account)
        self._settle(admitted, 0)


def _refusal(
    reason: refusals.Reason, detail: str, wait: int | None = None
) -> refusals.Refusal:
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail, wait)
