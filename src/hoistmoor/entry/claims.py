"""Callers' own keys at one host: who waits, and the claims' way to the log."""

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
from hoistmoor.entry import watched_tasks
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from hoistmoor.core import identity
    from hoistmoor.core import outcomes
    from hoistmoor.entry import log_port

    HandOver = Callable[[records.HeldClaims], Awaitable[bool]]

CLAIM_LINGER = 0.002  # Seconds that a claim waits for more claims,
QUIET = 0.005  # unless the last append is this long ago.
END_LINGER = 0.25  # Seconds that the end of a run waits for a claim.
PATIENCE = 3.0  # Seconds that a claim may take.
_CATCH_UP = 0.5  # Seconds that a look at another's claim waits for the log.
_RETRY = 0.5  # Seconds between attempts while the log is down.

_log = logs.PartLogger("claims")


@attrs.define(eq=False)
class _Waking:
    """Wakes the requests that wait for one claim."""

    event: asyncio.Event = attrs.field(factory=asyncio.Event)
    change: messages.Change | None = None


class Claims:
    """Callers' own keys at one host.

    Attributes:
        claimant: The decisions.
    """

    def __init__(
        self,
        log: log_port.Log,
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
        self._work = asyncio.Event()
        self._urgent = asyncio.Event()
        self._appended_at = 0.0
        self._draining = False
        self._written = asyncio.Condition()
        self._wakings: dict[str, _Waking] = {}
        self._reader = claim_reader.ClaimReader(
            log, stream, self.claimant, self._wake, clock
        )
        self._tasks = watched_tasks.WatchedTasks()

    def start(self) -> None:
        """Starts the reader and the writer."""
        self._tasks.start(self._reader.run(), f"reader of {self._stream}")
        self._tasks.start(self._write_on(), f"writer of {self._stream}")

    async def stop(self) -> None:
        """Ends both tasks at once; see ``drain``."""
        await self._tasks.stop()

    async def watch(self) -> None:
        """Raises what a task raised, once one has; else never returns."""
        await self._tasks.watch()

    async def drain(
        self, timeout: float, hand_over: HandOver | None = None
    ) -> int:
        """Waits until every end of a run is on the log, or with a peer.

        Args:
            timeout: Seconds.
            hand_over: Has a peer append a batch once this process is gone;
                used if the log is down. Call it only for the final stop.

        Returns:
            How many records could not be handed over. Their keys stay held by
            this incarnation: other hosts will call them unknown.
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
                "%d claim records not written", len(self.claimant.outbox)
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
            request: The request under the caller's own key.
            deadline: Seconds since the epoch.
        """
        patience = min(deadline, self._clock() + PATIENCE)
        while True:
            result = await self._judge(request)
            if isinstance(result, messages.ReadAnswer):
                return await self._reader.fetch_answer(result)
            if not isinstance(result, messages.Wait):
                return result
            running = self.claimant.is_running(result)
            limit = deadline if running else patience
            change = await self._wait(result, request, limit)
            if change is None:
                return _too_late(running)
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
        """Records what became of a run and wakes its duplicates."""
        self.claimant.finish(permit, outcome, answer)
        self._work.set()
        self._wake()

    async def _judge(self, request: messages.KeyedRequest) -> messages.Result:
        """Asks the claimant; on a key held elsewhere, with all there is."""
        if self.claimant.is_held_elsewhere(request):
            await self._reader.catch_up(_CATCH_UP)
        return self.claimant.begin(request, self._clock())

    async def _wait(
        self,
        wait: messages.Wait,
        request: messages.KeyedRequest,
        limit: float,
    ) -> messages.Change | None:
        """Returns what happened to the claim, or None at the limit."""
        waking = self._wakings.setdefault(wait.claim_id, _Waking())
        self._work.set()
        self._urgent.set()
        self._reader.hurry()
        try:
            async with asyncio.timeout(max(limit - self._clock(), 0.0)):
                await waking.event.wait()
        except TimeoutError:
            self._leave(wait, request)
            return None
        except asyncio.CancelledError:
            self._leave(wait, request)
            raise
        return waking.change

    def _leave(
        self, wait: messages.Wait, request: messages.KeyedRequest
    ) -> None:
        self.claimant.stop_waiting(wait, request.request_id)
        self._work.set()
        self._wake()

    def _wake(self) -> None:
        for claim_id, change in self.claimant.pop_changes().items():
            waking = self._wakings.pop(claim_id, None)
            if waking is not None:
                waking.change = change
                waking.event.set()

    async def _write_on(self) -> None:
        while True:
            await self._work.wait()
            self._work.clear()
            await self._linger()
            batch = self.claimant.next_batch()
            if batch is None:
                continue
            await self._append(batch)
            if self.claimant.outbox:
                self._work.set()
            async with self._written:
                self._written.notify_all()

    async def _linger(self) -> None:
        """Waits for more records, longer while no caller waits for them."""
        if not self.claimant.outbox.claims and not self._draining:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(END_LINGER):
                    await self._urgent.wait()
        if self._clock() - self._appended_at < QUIET:
            await asyncio.sleep(CLAIM_LINGER)
        self._urgent.clear()

    async def _append(self, batch: records.ClaimBatch) -> None:
        began = self._clock()
        self._appended_at = began
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
                "log.append_time", (self._clock() - began) * 1000
            )
            return
        self._metrics.count("log.failed")
        await asyncio.sleep(_RETRY)


def _too_late(running: bool) -> permits.BeginResult:
    if running:
        return replies.in_progress("the run under this key goes on")
    return replies.claim_unavailable("the claim was not settled in time")
