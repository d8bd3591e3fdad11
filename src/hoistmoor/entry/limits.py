"""Admits requests at this host within the limits of the table."""

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

SHARE_WAIT = 1.0  # Seconds that a request waits for a spend share at most.
_URGENT_HEADROOM = 0.1  # Share of the host's requests kept for urgent ones.
_MAX_WAIT = 3_600  # Seconds.

Result = pools.Result

_SPEND_DETAILS = {
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
    """A request that may run; it must be released exactly once.

    Attributes:
        serial: Counts this process's requests.
        account: Client account.
        pool: Name of the service that it runs on.
        priority: How long it could wait.
        day: UTC day that its spend counts for.
        reserved: Micros set aside for it.
        started_at: When it was let in, in seconds since the epoch.
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
    """What this host lets in.

    Attributes:
        accounts: Rate and concurrency per client account.
        keeper: Spend per client account.
        slots: Queue and retry budget per service.
        present: Requests admitted or waiting.
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
        self._serials = itertools.count(1)

    def now(self) -> float:
        """Returns the seconds since the epoch."""
        return self._clock()

    def start(self) -> None:
        """Starts the tasks that keep the spend shares."""
        self.keeper.start()

    async def stop(self) -> None:
        """Ends the tasks; call ``drain`` first on a graceful stop."""
        await self.keeper.stop()
        self.slots.stop()

    async def answer_peer(self, message: bytes) -> bytes:
        """Answers a peer that asks for a part of a spend share."""
        return await self.keeper.peers.answer(message)

    async def drain(self) -> None:
        """Gives spend shares back, once no more requests are admitted."""
        await self.keeper.drain()

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Takes a new table in force."""
        self.in_force = in_force
        self.keeper.on_table(in_force)
        self.slots.resize(in_force.table, self.slots.hosts)

    def on_hosts(self, hosts: Iterable[rendezvous.EntryHost]) -> None:
        """Takes the live entry hosts, this one included."""
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
        """Returns once the request may run, or why it may not.

        Args:
            account: Client account.
            priority: How long the request can wait.
            deadline: Seconds since the epoch by which it must be answered.
            est_cost: Micros that it may cost at most.
            pool: Name of the service that it runs on.
        """
        refusal = self._enter(account, priority)
        if refusal:
            return refusal
        now = self._clock()
        serial = next(self._serials)
        day = records.day_of(now)
        admitted = Admitted(serial, account, pool, priority, day)
        try:
            refusal = await self._reserve(admitted, est_cost, deadline)
            if refusal is None:
                entry = queue.Entry(serial, priority, deadline)
                refusal = await self.slots.take(pool, entry)
        except BaseException:
            self._undo(admitted)
            raise
        if refusal:
            self._undo(admitted)
            return refusal
        admitted.started_at = self._clock()
        return admitted

    def release(
        self,
        admitted: Admitted,
        actual_cost: int,
        result: Result = Result.DONE,
    ) -> None:
        """Frees what an admitted request held; a repeat does nothing.

        Args:
            admitted: The request.
            actual_cost: Micros that it cost.
            result: How it ended.
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
        """Returns whether another attempt is within the pool's budget."""
        return self.slots.pool(pool).budget.try_take(self._clock())

    def _enter(
        self, account: str, priority: model.Priority
    ) -> refusals.Refusal | None:
        row = self.in_force.table.accounts.get(account)
        if row is None:
            return _refuse(refusals.Reason.NOT_GRANTED, "No such account.")
        if self.present >= self._room(priority):
            wait = retries.jittered_wait(1.0, next(self._serials))
            return _refuse(
                refusals.Reason.OVERLOADED, "This host is full.", wait
            )
        refusal = self.accounts.admit(row, self._clock())
        if refusal is None:
            self.present += 1
        return refusal

    def _room(self, priority: model.Priority) -> float:
        most = limits.value(self.in_force.table, "entry_concurrency")
        if priority is model.Priority.URGENT:
            return most
        return max(1.0, most * (1 - _URGENT_HEADROOM))

    async def _reserve(
        self, admitted: Admitted, cost: int, deadline: float
    ) -> refusals.Refusal | None:
        if cost <= 0:
            return None
        until = min(deadline, self._clock() + SHARE_WAIT)
        verdict = await self.keeper.reserve(
            admitted.account,
            cost,
            admitted.day,
            until,
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
            # Other hosts may give shares back before the day is over.
            left = -self._clock() % records.SECONDS_PER_DAY
            wait = min(_MAX_WAIT, int(left) + wait)
        detail = _SPEND_DETAILS[verdict]
        return _refuse(refusals.Reason.SPEND_LIMITED, detail, wait)

    def _settle(self, admitted: Admitted, cost: int) -> None:
        if admitted.reserved or cost:
            self.keeper.book.local_shares.settle(
                admitted.account, admitted.day, admitted.reserved, cost
            )

    def _undo(self, admitted: Admitted) -> None:
        self.present -= 1
        self.accounts.revert(admitted.account)
        self._settle(admitted, 0)


def _refuse(
    reason: refusals.Reason, detail: str, wait: int | None = None
) -> refusals.Refusal:
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail, wait)
