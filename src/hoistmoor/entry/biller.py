"""Carries each bill to the log, by way of a peer that holds it meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.billing import bills
from hoistmoor.core.billing import held as held_lib
from hoistmoor.core.billing import linger
from hoistmoor.core.billing import pending_bills as book_lib
from hoistmoor.entry import bill_holders
from hoistmoor.entry import peer_batches
from hoistmoor.entry import watched_tasks
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core import identity
    from hoistmoor.entry import log_port

SECURE_TIMEOUT = 2.0  # Seconds.
_RETRY = 0.5  # Seconds between attempts after a failure.
_CHECK = 1.0  # Seconds between looks at who is gone.

_log = logs.PartLogger("bills")


class BillUnsecuredError(errors.HoistmoorError):
    """A bill is only in this host's memory; it is sent on later."""


class Biller:
    """Secures bills, then brings them to the log in large batches.

    Attributes:
        book: This host's bills that are not on the log.
        for_peers: What is held for peers; ``hold_bills`` and
            ``release_bills`` take in their calls.
    """

    def __init__(
        self,
        log: log_port.Log,
        incarnation: identity.Incarnation,
        peers: bill_holders.BillPeers | None = None,
        metrics: metrics_lib.Metrics | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Starts nothing yet; see ``start``.

        Args:
            log: The log service.
            incarnation: This process.
            peers: The other hosts; None for a host on its own.
            metrics: Where counts go.
            clock: Seconds, for back-off only.
        """
        self.book = book_lib.PendingBills(incarnation)
        self._log = log
        self._peers = peers or bill_holders.NoPeers()
        self.for_peers = peer_batches.PeerBatches(log, self._peers.is_alive)
        self.hold_bills = self.for_peers.hold
        self.release_bills = self.for_peers.release
        self._metrics = metrics or metrics_lib.Metrics()
        self._clock = clock
        self._log_up = True
        self._hold_failed_until = 0.0
        self._draining = False
        self._to_hold = asyncio.Event()
        self._to_append = asyncio.Event()
        self._hurry = asyncio.Event()  # Bills wait that nobody holds.
        self._changed = asyncio.Condition()
        self._holders = bill_holders.BillHolders(self._peers)
        self._tasks = watched_tasks.WatchedTasks()

    def start(self) -> None:
        """Starts the tasks."""
        self._tasks.start(self._hold_on(), "bills to peers")
        self._tasks.start(self._append_on(), "bills to the log")
        self._tasks.start(self._check_on(), "bills of peers")

    async def stop(self) -> None:
        """Ends the tasks at once; call ``drain`` first."""
        await self._tasks.stop()

    async def watch(self) -> None:
        """Raises what a task raised, once one has; else never returns."""
        await self._tasks.watch()

    def can_secure(self) -> bool:
        """Returns whether the bill of a request begun now could be secured."""
        if self.book.is_full:
            return False
        return self._log_up or self._can_hold()

    async def secure(self, bill: bills.Bill) -> None:
        """Returns once a bill is on the log or held by a peer.

        Raises:
            BillUnsecuredError: Neither worked in time. The bill stays here
                and is sent on as soon as possible.
        """
        self.book.add(bill)
        self._to_hold.set()
        self._to_append.set()
        try:
            async with asyncio.timeout(SECURE_TIMEOUT), self._changed:
                await self._changed.wait_for(
                    lambda: self.book.is_secured(bill.request_id)
                )
        except TimeoutError as error:
            raise BillUnsecuredError(
                f"the bill of {bill.request_id} is only in memory",
                "Bring back the log or a peer in another failure domain.",
            ) from error

    async def drain(self, timeout: float = 10.0) -> int:
        """Hands over everything before a graceful stop.

        While the log is down, a bill that a peer holds counts as handed over:
        the peer appends it once this process is gone.

        Args:
            timeout: Seconds.

        Returns:
            How many bills could be handed to nobody.
        """
        self._draining = True
        self._to_hold.set()
        self._to_append.set()
        self._hurry.set()
        try:
            async with asyncio.timeout(timeout), self._changed:
                await self._changed.wait_for(self._is_handed_over)
        except TimeoutError:
            _log.error("%d bills handed to nobody", self.book.unsecured_count)
        await self.for_peers.pass_on(self.hand_over)
        return self.book.unsecured_count

    async def hand_over(self, batch: held_lib.Batch) -> bool:
        """Has a peer append a batch once its owner is gone.

        Returns:
            Whether a peer holds it.
        """
        return await self._holders.hand_over(
            batch.batch_id, codec.encode(batch)
        )

    def _can_hold(self) -> bool:
        if self._clock() < self._hold_failed_until:
            return False
        return bool(self._peers.holders())

    def _is_handed_over(self) -> bool:
        if not self.book:
            return True
        return not self._log_up and not self.book.unsecured_count

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _hold_on(self) -> None:
        while True:
            await self._to_hold.wait()
            # Bills that come during a call make up the next one's batch.
            self._to_hold.clear()
            batch = self.book.next_batch_to_hold()
            if batch is None:
                continue
            if await self._hold(batch):
                await self._notify()
            else:
                self._hold_failed_until = self._clock() + _RETRY
                self._hurry.set()
                await asyncio.sleep(_RETRY)
            if self.book.unsecured_count:
                self._to_hold.set()

    async def _hold(self, batch: bills.BillBatch) -> bool:
        holder = await self._holders.hold(batch.batch_id, codec.encode(batch))
        if holder is None:
            return False
        if not self.book.record_held(batch, holder):
            self._holders.release_later(holder, batch.batch_id)
        self._metrics.count("bill.held", len(batch.bills))
        return True

    async def _append_on(self) -> None:
        while True:
            if self._log_up:
                await self._to_append.wait()
                await self._linger()
            self._to_append.clear()
            await self._append_next()
            if self.book:
                self._to_append.set()

    async def _linger(self) -> None:
        """Waits for more bills, the longer the more hosts share the log."""
        await asyncio.sleep(linger.MIN_LINGER_SECONDS)
        if self._draining or not self._can_hold():
            return
        self._hurry.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                linger.linger_seconds(self._peers.host_count())
            ):
                await self._hurry.wait()

    async def _append_next(self) -> None:
        batch = self.book.next_batch_to_append()
        try:
            if batch is None:
                await self._log.bounds(streams.BILLS)  # Is the log back?
            else:
                await self._log.append(streams.BILLS, codec.encode(batch))
        except errors.PlatformError as error:
            await self._on_log_failure(error)
            return
        self._log_up = True
        if batch is None:
            return
        self._metrics.count("bill.written", len(batch.bills))
        for hold in self.book.record_appended(batch):
            self._holders.release_later(hold.holder, hold.batch_id)
        await self._notify()
        await self._holders.release()

    async def _on_log_failure(self, error: errors.PlatformError) -> None:
        if self._log_up:
            _log.warning("the log takes no bills for now. %s", error)
        self._log_up = False
        self._metrics.count("log.failed")
        await self._notify()
        await asyncio.sleep(_RETRY)

    async def _check_on(self) -> None:
        while True:
            await asyncio.sleep(_CHECK)
            for holder in self.book.holders:
                if not self._peers.is_alive(holder):
                    self.book.record_holder_failed(holder)
                    self._to_hold.set()
            self._holders.forget_gone()
            await self.for_peers.append_orphans()
