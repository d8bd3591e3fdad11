"""Background tasks that synchronize spend shares with the log."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core.limits import ledger as ledger_lib
from hoistmoor.core.limits import records
from hoistmoor.entry import share_exchange
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.clients import log as log_client
    from hoistmoor.core import identity
    from hoistmoor.core.limits import rates
    from hoistmoor.core.table import model
    from hoistmoor.entry import log_interface

PLAN_INTERVAL_SECONDS = 1.0  # While no request waits for a share.
_WAITING_PLAN_INTERVAL_SECONDS = 0.02  # While a request waits for a share.
_LONG_POLL_SECONDS = 10.0
_LOG_RETRY_SECONDS = 0.5  # While the log is down.
LOG_TIMEOUT_SECONDS = 0.3  # A request then asks peers instead of the log.

_LOG = logs.PartLogger("limits")


class ShareSync:
    """Synchronizes the spend shares of one process with the log.

    Attributes:
        ledger: Spend shares and the decisions on them, without I/O.
        shares: This host's fraction of each account's rate limit.
        exchange: Exchange of shares with other hosts.
        bad_records: Number of records that could not be decoded.
    """

    def __init__(
        self,
        log: log_interface.Log,
        incarnation: identity.Incarnation,
        shares: rates.RateShares,
        clock: Callable[[], float] = time.time,
        share_directory: share_exchange.ShareDirectory | None = None,
    ) -> None:
        self.ledger = ledger_lib.ShareLedger(incarnation)
        self.shares = shares
        self.exchange = share_exchange.ShareExchange(
            self.ledger,
            share_directory or share_exchange.EmptyShareDirectory(),
            clock,
        )
        self.bad_records = 0
        self._log = log
        self._clock = clock
        self._waiting_costs: dict[str, int] = {}
        self._writer_wakeup = asyncio.Event()
        self._changed = asyncio.Condition()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_reading = False
        self._draining = False

    @property
    def log_is_up(self) -> bool:
        """Whether the last call to the log succeeded."""
        return self.ledger.log_is_up

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Applies a new table and requests the first shares at once."""
        self.ledger.in_force = in_force
        self._writer_wakeup.set()

    def start(self) -> None:
        """Starts the reader and the writer task."""
        self._tasks = [
            asyncio.create_task(self._read_loop(), name="limits-reader"),
            asyncio.create_task(self._write_loop(), name="limits-writer"),
        ]

    async def stop(self) -> None:
        """Cancels both tasks; call ``drain`` first for a graceful stop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def drain(self) -> None:
        """Returns the unused shares to the log, or to peers if it is down.

        No share is requested afterwards.
        """
        self._draining = True
        for request in self.ledger.release_all(self._clock()):
            await self._append(request)
        if not self.log_is_up:
            await self.exchange.hand_off_shares()

    async def reserve(
        self,
        account: str,
        cost: int,
        day: int,
        deadline: float,
        urgent: bool = True,
    ) -> ledger_lib.ReserveResult:
        """Reserves a cost; requests a share and waits for it if necessary.

        Shares are requested from the log first, and from peers if the log is
        down, slow, or incomplete for the day.

        Args:
            account: Client account.
            cost: Cost to reserve, in micros.
            day: UTC day on which the request arrived.
            deadline: End of the wait, in seconds since the epoch.
            urgent: Whether the request is urgent.

        Returns:
            The result; WAIT if no share was obtained in time.
        """
        now = self._clock()
        verdict = self.ledger.reserve(account, cost, day, now, urgent)
        if self._may_change(verdict):
            log_deadline = min(deadline, now + LOG_TIMEOUT_SECONDS)
            verdict = await self._reserve_from_log(
                account, cost, day, log_deadline, urgent
            )
        if verdict in share_exchange.FINAL_RESULTS or self._draining:
            return verdict
        try:
            async with asyncio.timeout(deadline - self._clock()):
                return await self.exchange.reserve(account, cost, day, urgent)
        except TimeoutError:
            return verdict

    async def _reserve_from_log(
        self, account: str, cost: int, day: int, deadline: float, urgent: bool
    ) -> ledger_lib.ReserveResult:
        self._waiting_costs[account] = (
            self._waiting_costs.get(account, 0) + cost
        )
        self._writer_wakeup.set()
        try:
            async with asyncio.timeout(deadline - self._clock()):
                return await self._wait_for_share(account, cost, day, urgent)
        except TimeoutError:
            return ledger_lib.ReserveResult.WAIT
        finally:
            self._waiting_costs[account] -= cost

    async def _wait_for_share(
        self, account: str, cost: int, day: int, urgent: bool
    ) -> ledger_lib.ReserveResult:
        async with self._changed:
            while True:
                now = self._clock()
                verdict = self.ledger.reserve(account, cost, day, now, urgent)
                if not self._may_change(verdict):
                    return verdict
                await self._changed.wait()

    def _may_change(self, verdict: ledger_lib.ReserveResult) -> bool:
        """Returns whether the log may still provide a different result."""
        if not self.log_is_up or self._draining:
            return False
        if verdict is ledger_lib.ReserveResult.UNKNOWN:
            return not self._is_reading
        return verdict is ledger_lib.ReserveResult.WAIT

    async def _write_loop(self) -> None:
        while True:
            self._writer_wakeup.clear()
            await self._write_due()
            pause = (
                PLAN_INTERVAL_SECONDS if self.log_is_up else _LOG_RETRY_SECONDS
            )
            # While a request waits, a share request may be due earlier.
            if any(self._waiting_costs.values()):
                pause = min(pause, _WAITING_PLAN_INTERVAL_SECONDS)
            try:
                async with asyncio.timeout(pause):
                    await self._writer_wakeup.wait()
            except TimeoutError:
                pass

    async def _write_due(self) -> None:
        if self._draining:
            return
        now = self._clock()
        waiting_costs = {
            name: cost for name, cost in self._waiting_costs.items() if cost
        }
        for request in self.ledger.plan(now, waiting_costs):
            await self._append(request)
        accounts = self.ledger.in_force.table.accounts
        limits = {row.account: row.rate_limit for row in accounts.values()}
        report = self.shares.report_due(limits, now)
        if report and not await self._append(report):
            self.shares.on_append_failed()
        if self.log_is_up and self.ledger.is_snapshot_due(now):
            await self._append(self.ledger.fold.snapshot())

    async def _append(self, record: object) -> bool:
        try:
            await self._log.append(records.STREAM, codec.encode(record))
        except errors.LogUnavailableError:
            if isinstance(record, records.ShareRequest):
                self.ledger.revert(record)
            await self._set_log_state(log_is_up=False)
            return False
        except errors.PlatformError as error:
            # The record may have been stored. Shares that it returns are no
            # longer used here; a share that it requests counts once the record
            # is read back.
            _LOG.warning("The outcome of an append is unknown: %s", error)
            await self._set_log_state(log_is_up=False)
            return False
        return True

    async def _read_loop(self) -> None:
        while True:
            try:
                await self._read_page()
            except errors.LogOffsetExpiredError as error:
                _LOG.warning("Records expired before they were read: %s", error)
                self._is_reading = False
            except errors.PlatformError:
                await self._set_log_state(log_is_up=False)
                await asyncio.sleep(_LOG_RETRY_SECONDS)

    async def _read_page(self) -> None:
        if not self._is_reading:
            await self._start_reading()
        page = await self._log.read(
            records.STREAM,
            self.ledger.fold.next_offset,
            wait=_LONG_POLL_SECONDS,
        )
        now = self._clock()
        changed = [self._apply(item, now) for item in page.records]
        if any(changed) or not self.log_is_up:
            await self._set_log_state(log_is_up=True)

    async def _start_reading(self) -> None:
        """Starts reading at the oldest available record."""
        bounds = await self._log.bounds(records.STREAM)
        self.ledger.fold.restart(bounds.first)
        self._is_reading = True
        self._writer_wakeup.set()
        if bounds.first == bounds.next and bounds.first > 0:
            # Any record dates the stream, which makes later days complete.
            await self._append(self._empty_demand_report())
        await self._set_log_state(log_is_up=True)

    def _apply(self, item: log_client.LogRecord, now: float) -> bool:
        record: object = None
        try:
            record = codec.decode(item.payload)
        except errors.CodecError as error:
            self.bad_records += 1
            _LOG.warning("Skipped record %d: %s", item.offset, error)
        if isinstance(record, records.DemandReport):
            self.shares.on_report(record, now)
        return self.ledger.apply(item.offset, item.at, record, now)

    async def _set_log_state(self, log_is_up: bool) -> None:
        """Sets whether the log is up and wakes up the waiting requests."""
        if log_is_up != self.log_is_up:
            _LOG.info("The log is %s", "up" if log_is_up else "down")
        self.ledger.log_is_up = log_is_up
        async with self._changed:
            self._changed.notify_all()

    def _empty_demand_report(self) -> records.DemandReport:
        owner = self.ledger.incarnation
        return records.DemandReport(owner.host, owner.number, ())
