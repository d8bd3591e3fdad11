"""Writes bills to the log, with copies at peers until the write succeeds."""

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
from hoistmoor.core.billing import pending_bills as pending_bills_lib
from hoistmoor.entry import bill_holders
from hoistmoor.entry import peer_batches
from hoistmoor.entry import supervised_tasks
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core import identity
    from hoistmoor.entry import log_interface

SECURE_TIMEOUT_SECONDS = 2.0
_RETRY_SECONDS = 0.5  # Delay after a failed call to the log or to peers.
_CHECK_SECONDS = 1.0  # Interval between checks for ended peers.

_log = logs.PartLogger("bills")


class BillUnsecuredError(errors.HoistmoorError):
    """A bill is neither on the log nor at a peer; it is retried later."""


class Biller:
    """Secures bills at a peer, then appends them to the log in large batches.

    A bill is secured once it is on the log or held by a peer.

    Attributes:
        pending_bills: Bills of this host that are not on the log.
        held_for_peers: Batches held for peers; ``hold_bills`` and
            ``release_bills`` handle the calls of peers.
    """

    def __init__(
        self,
        log: log_interface.Log,
        incarnation: identity.Incarnation,
        peers: bill_holders.BillPeers | None = None,
        metrics: metrics_lib.Metrics | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a biller; ``start`` starts its tasks.

        Args:
            log: The log service.
            incarnation: This process.
            peers: The other hosts; None for a host that runs alone.
            metrics: Receives the counters.
            clock: Returns monotonic time in seconds, for back-off only.
        """
        self.pending_bills = pending_bills_lib.PendingBills(incarnation)
        self._log = log
        self._peers = peers or bill_holders.NoPeers()
        self.held_for_peers = peer_batches.PeerBatches(
            log, self._peers.is_alive
        )
        self.hold_bills = self.held_for_peers.hold
        self.release_bills = self.held_for_peers.release
        self._metrics = metrics or metrics_lib.Metrics()
        self._clock = clock
        self._log_available = True
        self._hold_failed_until = 0.0
        self._draining = False
        self._hold_requested = asyncio.Event()
        self._append_requested = asyncio.Event()
        self._urgent = asyncio.Event()  # No peer holds the pending bills.
        self._changed = asyncio.Condition()
        self._holders = bill_holders.BillHolders(self._peers)
        self._tasks = supervised_tasks.SupervisedTasks()

    def start(self) -> None:
        """Starts the background tasks."""
        self._tasks.start(self._hold_loop(), "bills to peers")
        self._tasks.start(self._append_loop(), "bills to the log")
        self._tasks.start(self._check_loop(), "bills of peers")

    async def stop(self) -> None:
        """Cancels the background tasks; call ``drain`` first."""
        await self._tasks.stop()

    async def watch(self) -> None:
        """Waits until a task fails, and raises its exception."""
        await self._tasks.wait_for_failure()

    def can_secure(self) -> bool:
        """Returns whether the bill of a new request could be secured."""
        if self.pending_bills.is_full:
            return False
        return self._log_available or self._can_hold()

    async def secure(self, bill: bills.Bill) -> None:
        """Waits until a bill is on the log or held by a peer.

        Raises:
            BillUnsecuredError: Neither succeeded in time. The bill stays in
                memory and is retried until it is on the log.
        """
        self.pending_bills.add(bill)
        self._hold_requested.set()
        self._append_requested.set()
        try:
            async with asyncio.timeout(SECURE_TIMEOUT_SECONDS), self._changed:
                await self._changed.wait_for(
                    lambda: self.pending_bills.is_secured(bill.request_id)
                )
        except TimeoutError as error:
            raise BillUnsecuredError(
                f"the bill of {bill.request_id} is stored only in memory",
                "Restore the log or a peer in another failure domain.",
            ) from error

    async def drain(self, timeout: float = 10.0) -> int:
        """Writes or hands over all bills before a graceful stop.

        While the log is unavailable, a bill that a peer holds counts as handed
        over: the peer appends it after this process has ended.

        Args:
            timeout: Seconds to wait.

        Returns:
            The number of bills that are neither on the log nor at a peer.
        """
        self._draining = True
        self._hold_requested.set()
        self._append_requested.set()
        self._urgent.set()
        try:
            async with asyncio.timeout(timeout), self._changed:
                await self._changed.wait_for(self._is_handed_over)
        except TimeoutError:
            _log.error(
                "%d bills are neither on the log nor at a peer",
                self.pending_bills.unsecured_count,
            )
        await self.held_for_peers.hand_over_all(self.hand_over)
        return self.pending_bills.unsecured_count

    async def hand_over(self, batch: held_lib.Batch) -> bool:
        """Asks a peer to append a batch after its owner has stopped.

        Returns:
            Whether a peer holds the batch.
        """
        return await self._holders.hand_over(
            batch.batch_id, codec.encode(batch)
        )

    def _can_hold(self) -> bool:
        if self._clock() < self._hold_failed_until:
            return False
        return bool(self._peers.holders())

    def _is_handed_over(self) -> bool:
        if not self.pending_bills:
            return True
        return (
            not self._log_available and not self.pending_bills.unsecured_count
        )

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _hold_loop(self) -> None:
        while True:
            await self._hold_requested.wait()
            # Bills added during the call go into the next batch.
            self._hold_requested.clear()
            batch = self.pending_bills.next_batch_to_hold()
            if batch is None:
                continue
            if await self._hold(batch):
                await self._notify()
            else:
                self._hold_failed_until = self._clock() + _RETRY_SECONDS
                self._urgent.set()
                await asyncio.sleep(_RETRY_SECONDS)
            if self.pending_bills.unsecured_count:
                self._hold_requested.set()

    async def _hold(self, batch: bills.BillBatch) -> bool:
        holder = await self._holders.hold(batch.batch_id, codec.encode(batch))
        if holder is None:
            return False
        if not self.pending_bills.record_held(batch, holder):
            self._holders.schedule_release(holder, batch.batch_id)
        self._metrics.count("bill.held", len(batch.bills))
        return True

    async def _append_loop(self) -> None:
        while True:
            if self._log_available:
                await self._append_requested.wait()
                await self._linger()
            self._append_requested.clear()
            await self._append_next()
            if self.pending_bills:
                self._append_requested.set()

    async def _linger(self) -> None:
        """Waits for more bills; the delay grows with the number of hosts.

        All hosts share the log, so each appends less often. The delay is kept
        short if no peer can hold the bills meanwhile.
        """
        await asyncio.sleep(linger.MIN_LINGER_SECONDS)
        if self._draining or not self._can_hold():
            return
        self._urgent.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                linger.linger_seconds(self._peers.host_count())
            ):
                await self._urgent.wait()

    async def _append_next(self) -> None:
        batch = self.pending_bills.next_batch_to_append()
        try:
            if batch is None:
                # Nothing to append: only check whether the log is available.
                await self._log.bounds(streams.BILLS)
            else:
                await self._log.append(streams.BILLS, codec.encode(batch))
        except errors.PlatformError as error:
            await self._on_log_failure(error)
            return
        self._log_available = True
        if batch is None:
            return
        self._metrics.count("bill.written", len(batch.bills))
        for hold in self.pending_bills.record_appended(batch):
            self._holders.schedule_release(hold.holder, hold.batch_id)
        await self._notify()
        await self._holders.release()

    async def _on_log_failure(self, error: errors.PlatformError) -> None:
        if self._log_available:
            _log.warning("cannot append bills to the log; retrying. %s", error)
        self._log_available = False
        self._metrics.count("log.failed")
        await self._notify()
        await asyncio.sleep(_RETRY_SECONDS)

    async def _check_loop(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            for holder in self.pending_bills.holders:
                if not self._peers.is_alive(holder):
                    self.pending_bills.record_holder_failed(holder)
                    self._hold_requested.set()
            self._holders.discard_ended_peers()
            await self.held_for_peers.append_orphans()
