"""The tasks that carry spend shares to the log and read the stream back."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core.limits import ledger as ledger_lib
from hoistmoor.core.limits import records
from hoistmoor.entry import share_peers
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.clients import log as log_client
    from hoistmoor.core import identity
    from hoistmoor.core.limits import rates
    from hoistmoor.core.table import model
    from hoistmoor.entry import log_port

TICK = 1.0  # Seconds between plans when nobody waits.
_NEED_TICK = 0.02  # Seconds between plans while a request waits.
_POLL = 10.0  # Seconds of one long poll.
_RETRY = 0.5  # Seconds between attempts while the log is down.
LOG_PATIENCE = 0.3  # Seconds that a request waits for the log before peers.

_log = logs.PartLogger("limits")


class ShareKeeper:
    """Keeps one process's book of shares in step with the log.

    Attributes:
        book: The decisions.
        shares: This host's part of the rates.
        peers: Other hosts, which may help out.
        bad_records: Records of the stream that do not decode.
    """

    def __init__(
        self,
        log: log_port.Log,
        incarnation: identity.Incarnation,
        shares: rates.RateShares,
        clock: Callable[[], float] = time.time,
        neighbours: share_peers.Neighbours | None = None,
    ) -> None:
        self.book = ledger_lib.ShareLedger(incarnation)
        self.shares = shares
        self.peers = share_peers.SharePeers(
            self.book, neighbours or share_peers.NoNeighbours(), clock
        )
        self.bad_records = 0
        self._log = log
        self._clock = clock
        self._needs: dict[str, int] = {}
        self._work = asyncio.Event()
        self._changed = asyncio.Condition()
        self._tasks: list[asyncio.Task[None]] = []
        self._begun = False
        self._draining = False

    @property
    def log_is_up(self) -> bool:
        """Whether the last call to the log succeeded."""
        return self.book.log_is_up

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Takes a new table; a first share is asked for at once."""
        self.book.in_force = in_force
        self._work.set()

    def start(self) -> None:
        """Starts the reader and the writer."""
        self._tasks = [
            asyncio.create_task(self._read_on(), name="limits-reader"),
            asyncio.create_task(self._write_on(), name="limits-writer"),
        ]

    async def stop(self) -> None:
        """Ends both tasks at once; see ``drain``."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def drain(self) -> None:
        """Gives back what this process will not spend; the log may be down.

        No share is asked for from then on.
        """
        self._draining = True
        for request in self.book.release_all(self._clock()):
            await self._append(request)
        if not self.log_is_up:
            await self.peers.leave_shares()

    async def reserve(
        self,
        account: str,
        cost: int,
        day: int,
        deadline: float,
        urgent: bool = True,
    ) -> ledger_lib.ReserveResult:
        """Sets a cost aside; asks for a share and waits if it must.

        The log is asked first. Where it is down, slow, or does not tell what
        the day's shares are, peers are.

        Args:
            account: Client account.
            cost: Micros.
            day: UTC day that the request came on.
            deadline: Seconds since the epoch until which to wait at most.
            urgent: Whether the request is urgent.

        Returns:
            WAIT where the share did not come in time.
        """
        now = self._clock()
        verdict = self.book.reserve(account, cost, day, now, urgent)
        if self._may_change(verdict):
            patience = min(deadline, now + LOG_PATIENCE)
            verdict = await self._ask_log(account, cost, day, patience, urgent)
        if verdict in share_peers.DECIDED or self._draining:
            return verdict
        try:
            async with asyncio.timeout(deadline - self._clock()):
                return await self.peers.reserve(account, cost, day, urgent)
        except TimeoutError:
            return verdict

    async def _ask_log(
        self, account: str, cost: int, day: int, until: float, urgent: bool
    ) -> ledger_lib.ReserveResult:
        self._needs[account] = self._needs.get(account, 0) + cost
        self._work.set()
        try:
            async with asyncio.timeout(until - self._clock()):
                return await self._wait(account, cost, day, urgent)
        except TimeoutError:
            return ledger_lib.ReserveResult.WAIT
        finally:
            self._needs[account] -= cost

    async def _wait(
        self, account: str, cost: int, day: int, urgent: bool
    ) -> ledger_lib.ReserveResult:
        async with self._changed:
            while True:
                now = self._clock()
                verdict = self.book.reserve(account, cost, day, now, urgent)
                if not self._may_change(verdict):
                    return verdict
                await self._changed.wait()

    def _may_change(self, verdict: ledger_lib.ReserveResult) -> bool:
        """Returns whether it is worth waiting for another verdict."""
        if not self.log_is_up or self._draining:
            return False
        if verdict is ledger_lib.ReserveResult.UNKNOWN:
            return not self._begun
        return verdict is ledger_lib.ReserveResult.WAIT

    async def _write_on(self) -> None:
        while True:
            self._work.clear()
            await self._write()
            pause = TICK if self.log_is_up else _RETRY
            # While somebody waits, an ask may come due before the tick.
            if any(self._needs.values()):
                pause = min(pause, _NEED_TICK)
            try:
                async with asyncio.timeout(pause):
                    await self._work.wait()
            except TimeoutError:
                pass

    async def _write(self) -> None:
        if self._draining:
            return
        now = self._clock()
        needs = {name: cost for name, cost in self._needs.items() if cost}
        for request in self.book.plan(now, needs):
            await self._append(request)
        accounts = self.book.in_force.table.accounts
        limits = {row.account: row.rate_limit for row in accounts.values()}
        report = self.shares.report_due(limits, now)
        if report and not await self._append(report):
            self.shares.on_append_failed()
        if self.log_is_up and self.book.is_snapshot_due(now):
            await self._append(self.book.fold.snapshot())

    async def _append(self, record: object) -> bool:
        try:
            await self._log.append(records.STREAM, codec.encode(record))
        except errors.LogUnavailableError:
            if isinstance(record, records.ShareRequest):
                self.book.revert(record)
            await self._note(log_is_up=False)
            return False
        except errors.PlatformError as error:
            # The record may be stored. What it gives back is gone from here,
            # and what it asks for counts once it is read back.
            _log.warning("An append has an unknown outcome: %s", error)
            await self._note(log_is_up=False)
            return False
        return True

    async def _read_on(self) -> None:
        while True:
            try:
                await self._read()
            except errors.LogOffsetExpiredError as error:
                _log.warning("Records expired unread: %s", error)
                self._begun = False
            except errors.PlatformError:
                await self._note(log_is_up=False)
                await asyncio.sleep(_RETRY)

    async def _read(self) -> None:
        if not self._begun:
            await self._begin()
        page = await self._log.read(
            records.STREAM, self.book.fold.next_offset, wait=_POLL
        )
        now = self._clock()
        changed = [self._apply(item, now) for item in page.records]
        if any(changed) or not self.log_is_up:
            await self._note(log_is_up=True)

    async def _begin(self) -> None:
        """Starts at the oldest record that can be read."""
        bounds = await self._log.bounds(records.STREAM)
        self.book.fold.restart(bounds.first)
        self._begun = True
        self._work.set()
        if bounds.first == bounds.next and bounds.first > 0:
            # Any record dates the stream, so that later days are whole.
            await self._append(self._empty_report())
        await self._note(log_is_up=True)

    def _apply(self, item: log_client.LogRecord, now: float) -> bool:
        record: object = None
        try:
            record = codec.decode(item.payload)
        except errors.CodecError as error:
            self.bad_records += 1
            _log.warning("Record %d is skipped: %s", item.offset, error)
        if isinstance(record, records.DemandReport):
            self.shares.on_report(record, now)
        return self.book.apply(item.offset, item.at, record, now)

    async def _note(self, log_is_up: bool) -> None:
        """Tells whoever waits that something changed."""
        if log_is_up != self.log_is_up:
            _log.info("The log is %s.", "up" if log_is_up else "down")
        self.book.log_is_up = log_is_up
        async with self._changed:
            self._changed.notify_all()

    def _empty_report(self) -> records.DemandReport:
        owner = self.book.incarnation
        return records.DemandReport(owner.host, owner.number, ())
