"""Claims callers' idempotency keys on the log, for the requests of one host."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.once import claimant as claimant_lib
from hoistmoor.core.once import messages
from hoistmoor.core.once import permits
from hoistmoor.core.once import records
from hoistmoor.core.once import replies
from hoistmoor.core.once import view
from hoistmoor.entry import claim_reader
from hoistmoor.entry import supervised_tasks
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from hoistmoor.core import identity
    from hoistmoor.core import outcomes
    from hoistmoor.entry import log_interface

    HandOver = Callable[[records.HeldClaims], Awaitable[bool]]

# A claim waits this long for others to share its append, unless the last
# append was at least IDLE_SECONDS ago.
CLAIM_LINGER_SECONDS = 0.002
IDLE_SECONDS = 0.005
# The end of a run waits this long for a claim to share its append.
END_LINGER_SECONDS = 0.25
CLAIM_TIMEOUT_SECONDS = 3.0  # Limit for a claim to be decided.
# Limit for reading the log to its end before judging a key held elsewhere.
_CATCH_UP_SECONDS = 0.5
_RETRY_SECONDS = 0.5  # Delay between attempts while the log is unavailable.

_log = logs.PartLogger("claims")


@attrs.define(eq=False)
class _Waiter:
    """Wakes the requests that wait for one claim.

    Attributes:
        event: Set once the state of the claim has changed.
        change: The change.
    """

    event: asyncio.Event = attrs.field(factory=asyncio.Event)
    change: messages.Change | None = None


class Claims:
    """Decides which keyed requests may run at one host.

    Attributes:
        claimant: The state machine that makes the decisions.
    """

    def __init__(
        self,
        log: log_interface.Log,
        incarnation: identity.Incarnation,
        address: str,
        is_alive: Callable[[identity.Incarnation], bool],
        metrics: metrics_lib.Metrics | None = None,
        clock: Callable[[], float] = time.time,
        window: float = view.DEFAULT_WINDOW_SECONDS,
        eldest: Callable[[], str] = lambda: "",
        serials: Iterator[int] | None = None,
        stream: str = streams.CLAIMS,
    ) -> None:
        self.claimant = claimant_lib.Claimant(
            incarnation, address, is_alive, window, eldest, serials
        )
        self._log = log
        self._metrics = metrics or metrics_lib.Metrics()
        self._clock = clock
        self._stream = stream
        self._work_available = asyncio.Event()
        self._urgent = asyncio.Event()
        self._appended_at = 0.0
        self._draining = False
        self._written = asyncio.Condition()
        self._waiters: dict[str, _Waiter] = {}
        self._reader = claim_reader.ClaimReader(
            log, stream, self.claimant, self._wake, clock
        )
        self._tasks = supervised_tasks.SupervisedTasks()

    def start(self) -> None:
        """Starts the tasks that read and write the stream."""
        self._tasks.start(self._reader.run(), f"reader of {self._stream}")
        self._tasks.start(self._write_loop(), f"writer of {self._stream}")

    async def stop(self) -> None:
        """Cancels both tasks; call ``drain`` first for a graceful stop."""
        await self._tasks.stop()

    async def watch(self) -> None:
        """Waits until a task fails, and raises its exception."""
        await self._tasks.wait_for_failure()

    async def drain(
        self, timeout: float, hand_over: HandOver | None = None
    ) -> int:
        """Waits until the end of every run is on the log or held by a peer.

        Args:
            timeout: Seconds to wait.
            hand_over: Asks a peer to append a batch after this process has
                ended; used if the log is unavailable. Pass it only when the
                process stops.

        Returns:
            The number of records that could not be handed over. Their keys
            stay held by this incarnation, so other hosts report their outcome
            as unknown.
        """
        self._draining = True
        self._urgent.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout), self._written:
                await self._written.wait_for(
                    lambda: (
                        not self.claimant.outbox
                        or (hand_over is not None and self._is_log_down())
                    )
                )
        if hand_over is not None and self.claimant.outbox:
            await self._hand_over(hand_over)
        if self.claimant.outbox:
            _log.warning(
                "%d claim records are neither on the log nor at a peer",
                len(self.claimant.outbox),
            )
        return len(self.claimant.outbox)

    def _is_log_down(self) -> bool:
        return self.claimant.outbox.is_suspended(self._clock())

    async def _hand_over(self, hand_over: HandOver) -> None:
        for batch in self.claimant.outbox.final_batches():
            name = f"{batch.owner}.{self._stream}.{batch.ended[0].serial:x}"
            held = records.HeldClaims(name, self._stream, batch)
            if await hand_over(held):
                self.claimant.on_append_stored(batch)

    async def begin(
        self, request: messages.KeyedRequest, deadline: float
    ) -> permits.BeginResult:
        """Returns whether a request may run here.

        Args:
            request: The request with the caller's idempotency key.
            deadline: Seconds since the epoch.
        """
        claim_deadline = min(deadline, self._clock() + CLAIM_TIMEOUT_SECONDS)
        while True:
            result = await self._evaluate(request)
            if isinstance(result, messages.ReadAnswer):
                return await self._reader.fetch_response(result)
            if not isinstance(result, messages.Wait):
                return result
            running = self.claimant.is_running(result)
            limit = deadline if running else claim_deadline
            change = await self._wait(result, request, limit)
            if change is None:
                return _timeout_refusal(running)
            if change is messages.Change.GIVEN_UP:
                return replies.claim_unavailable(
                    "the log took no claim, or keeps too little to judge it"
                )

    def finish(
        self,
        permit: permits.Permit,
        outcome: outcomes.Outcome,
        answer: permits.StoredAnswer | None,
    ) -> None:
        """Records the outcome of a run and wakes its duplicates."""
        self.claimant.finish(permit, outcome, answer)
        self._work_available.set()
        self._wake()

    async def _evaluate(
        self, request: messages.KeyedRequest
    ) -> messages.Result:
        """Returns the claimant's decision on a request.

        For a key held by another host, reads the stream to its end first.
        """
        if self.claimant.is_held_elsewhere(request):
            await self._reader.catch_up(_CATCH_UP_SECONDS)
        return self.claimant.begin(request, self._clock())

    async def _wait(
        self,
        wait: messages.Wait,
        request: messages.KeyedRequest,
        limit: float,
    ) -> messages.Change | None:
        """Waits for a change of the claim; returns None at the time limit."""
        waiter = self._waiters.setdefault(wait.claim_id, _Waiter())
        self._work_available.set()
        self._urgent.set()
        self._reader.poll_now()
        try:
            async with asyncio.timeout(max(limit - self._clock(), 0.0)):
                await waiter.event.wait()
        except TimeoutError:
            self._stop_waiting(wait, request)
            return None
        except asyncio.CancelledError:
            self._stop_waiting(wait, request)
            raise
        return waiter.change

    def _stop_waiting(
        self, wait: messages.Wait, request: messages.KeyedRequest
    ) -> None:
        self.claimant.stop_waiting(wait, request.request_id)
        self._work_available.set()
        self._wake()

    def _wake(self) -> None:
        for claim_id, change in self.claimant.pop_changes().items():
            waiter = self._waiters.pop(claim_id, None)
            if waiter is not None:
                waiter.change = change
                waiter.event.set()

    async def _write_loop(self) -> None:
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            await self._linger()
            batch = self.claimant.next_batch()
            if batch is None:
                continue
            await self._append(batch)
            if self.claimant.outbox:
                self._work_available.set()
            async with self._written:
                self._written.notify_all()

    async def _linger(self) -> None:
        """Waits for more records, longer if no caller waits for an append."""
        if not self.claimant.outbox.claims and not self._draining:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(END_LINGER_SECONDS):
                    await self._urgent.wait()
        if self._clock() - self._appended_at < IDLE_SECONDS:
            await asyncio.sleep(CLAIM_LINGER_SECONDS)
        self._urgent.clear()

    async def _append(self, batch: records.ClaimBatch) -> None:
        started_at = self._clock()
        self._appended_at = started_at
        try:
            await self._log.append(self._stream, codec.encode(batch))
        except errors.LogOutcomeUnknownError:
            self.claimant.on_append_lost(batch, self._clock())
        except errors.PlatformError:
            self.claimant.on_append_refused(batch, self._clock())
            self._wake()
        else:
            self.claimant.on_append_stored(batch)
            self._metrics.count("once.claim", len(batch.claims))
            self._metrics.timing(
                "log.append_time", (self._clock() - started_at) * 1000
            )
            return
        self._metrics.count("log.failed")
        await asyncio.sleep(_RETRY_SECONDS)


def _timeout_refusal(running: bool) -> permits.BeginResult:
    if running:
        return replies.in_progress("the run under this key goes on")
    return replies.claim_unavailable("the claim was not settled in time")
