"""A simulated backend server: a batching model engine or a plain server.

The calls in a batch slow one another down. Cached blocks of a prompt need no
prefill. Load reports are out of date when they are read.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import heapq
import itertools

import attrs

from hoistmoor.core.routing import messages
from hoistmoor.load.experiment import clock

DOUBLING_BATCH_SIZE = 16.0  # Batch size that doubles the duration of a call.
# Seconds per prompt token that is not cached.
PREFILL_SECONDS_PER_TOKEN = 0.0004
BLOCK_TOKENS = 64
MAX_CACHE_BLOCKS = 400
MAX_QUEUE_FRACTION = 1.0  # Maximum queue length, as a multiple of the capacity.


@attrs.define(eq=False)
class Job:
    """An attempt on a server.

    Attributes:
        version: Key of the version; empty for a plain service.
        prompt_tokens: Length of the prompt.
        work_seconds: Seconds of generation without batching.
        tokens: Number of tokens to generate.
        prefix: Hashes of the prompt's blocks of tokens.
        urgent: Whether it is queued ahead of other jobs.
        on_done: Called with (job, ok) at the end.
        first_token_at: Time of the first token.
        finished_at: Time of the end.
        state: Phase that it is in.
        start_progress: Progress of the batch when the job joined it.
    """

    version: str
    prompt_tokens: int
    work_seconds: float
    tokens: int
    prefix: tuple[int, ...]
    urgent: bool
    on_done: Callable[[Job, bool], None]
    first_token_at: float = 0.0
    finished_at: float = 0.0
    state: str = "queued"
    start_progress: float = 0.0


@attrs.define(eq=False)
class SimulatedEngine:
    """A simulated backend server.

    Attributes:
        name: Name of the server.
        clock: The virtual clock.
        capacity: Maximum number of concurrent calls.
        versions: Keys of the loaded versions.
        slowness: Factor on all durations; 1 is healthy.
        is_call_failing: Returns whether the call that ends now fails.
        is_up: Whether it accepts calls.
        is_batching: Whether the calls in the batch slow one another down.
        incarnation: Number of the current incarnation.
        progress: Cumulative seconds of work, per call in the batch.
        progress_at: Time at which ``progress`` was updated.
        batch_size: Number of calls in the batch.
        prefilling: Number of calls in prefill.
        batch_ends: Heap of the progress at which each job in the batch ends.
        queue: Jobs that wait for capacity.
        cache: Hashes of the cached blocks, least recently used first.
        timer_generation: Generation of the timer; earlier timers are ignored.
        serial: Breaks ties between ends.
        cache_events: Changes of the prefix cache so far.
    """

    name: str
    clock: clock.VirtualClock
    capacity: int
    versions: tuple[str, ...]
    slowness: float = 1.0
    is_call_failing: Callable[[], bool] = lambda: False
    is_up: bool = True
    is_batching: bool = True
    incarnation: int = 1
    progress: float = 0.0
    progress_at: float = 0.0
    batch_size: int = 0
    prefilling: int = 0
    batch_ends: list[tuple[float, int, Job]] = attrs.field(factory=list)
    queue: collections.deque[Job] = attrs.field(factory=collections.deque)
    cache: dict[int, None] = attrs.field(factory=dict)
    timer_generation: int = 0
    serial: itertools.count[int] = attrs.field(factory=itertools.count)
    cache_events: list[messages.CacheEvent] = attrs.field(factory=list)

    @property
    def running(self) -> int:
        """Number of calls in service."""
        return self.batch_size + self.prefilling

    def submit(self, job: Job) -> bool:
        """Accepts a call, or returns False to decline it."""
        if not self.is_up:
            return False
        if job.version and job.version not in self.versions:
            return False
        if self.running < self.capacity:
            self._start(job)
            return True
        if len(self.queue) >= MAX_QUEUE_FRACTION * self.capacity:
            return False
        if job.urgent:
            self.queue.appendleft(job)
        else:
            self.queue.append(job)
        return True

    def cancel(self, job: Job) -> int:
        """Cancels a call and returns the number of tokens already generated."""
        if job.state == "queued" and job in self.queue:
            self.queue.remove(job)
        if job.state != "decoding":
            job.state = "cancelled"
            return 0
        self._update_progress()
        done = (self.progress - job.start_progress) / max(
            1e-9, job.work_seconds
        )
        self._remove_from_batch(job, "cancelled")
        return int(min(1.0, done) * job.tokens)

    def _start(self, job: Job) -> None:
        job.state = "prefilling"
        self.prefilling += 1
        uncached = job.prompt_tokens - self._cached_tokens(job)
        wait = PREFILL_SECONDS_PER_TOKEN * max(0, uncached) * self.slowness
        self.clock.schedule_after(wait, self._start_decoding, job)

    def _cached_tokens(self, job: Job) -> int:
        cached_blocks = 0
        for block in job.prefix:
            if block not in self.cache:
                break
            cached_blocks += 1
        for block in job.prefix:
            self.cache.pop(block, None)
            self.cache[block] = None
        evicted = []
        while len(self.cache) > MAX_CACHE_BLOCKS:
            evicted.append(next(iter(self.cache)))
            del self.cache[evicted[-1]]
        stored = job.prefix[cached_blocks:]
        if stored or evicted:
            self.cache_events.append(
                messages.CacheEvent(
                    self.name, len(self.cache_events), stored, tuple(evicted)
                )
            )
        return cached_blocks * BLOCK_TOKENS

    def _start_decoding(self, job: Job) -> None:
        self.prefilling -= 1
        if job.state == "cancelled":
            self._start_queued()
            return
        self._update_progress()
        self.batch_size += 1
        job.state = "decoding"
        job.first_token_at = self.clock.now
        job.start_progress = self.progress
        heapq.heappush(
            self.batch_ends,
            (self.progress + job.work_seconds, next(self.serial), job),
        )
        self._set_timer()

    def _seconds_per_work(self) -> float:
        """Returns the seconds per second of work at the current batch size."""
        slowdown = (
            self.batch_size / DOUBLING_BATCH_SIZE if self.is_batching else 0.0
        )
        return self.slowness * (1.0 + slowdown)

    def _update_progress(self) -> None:
        elapsed = self.clock.now - self.progress_at
        self.progress += elapsed / self._seconds_per_work()
        self.progress_at = self.clock.now

    def _set_timer(self) -> None:
        self.timer_generation += 1
        if self.batch_ends:
            left = max(0.0, self.batch_ends[0][0] - self.progress)
            self.clock.schedule_after(
                left * self._seconds_per_work(),
                self._on_timer,
                self.timer_generation,
            )

    def _on_timer(self, timer: int) -> None:
        if timer != self.timer_generation:
            return
        self._update_progress()
        while self.batch_ends and self.batch_ends[0][0] <= self.progress + 1e-9:
            job = self.batch_ends[0][2]
            self._remove_from_batch(job, "ended")
            job.on_done(job, not self.is_call_failing())
        self._set_timer()

    def _remove_from_batch(self, job: Job, state: str) -> None:
        self.batch_ends = [
            entry for entry in self.batch_ends if entry[2] is not job
        ]
        heapq.heapify(self.batch_ends)
        job.state = state
        job.finished_at = self.clock.now
        self.batch_size -= 1
        self._set_timer()
        self._start_queued()

    def _start_queued(self) -> None:
        while self.queue and self.running < self.capacity:
            self._start(self.queue.popleft())

    def take_down(self) -> None:
        """Fails decoding and queued calls, and declines new ones.

        The server accepts calls again once ``is_up`` is set.
        """
        self._update_progress()
        self.is_up = False
        failed_jobs = [entry[2] for entry in self.batch_ends] + list(self.queue)
        self.queue.clear()
        for job in failed_jobs:
            if job.state == "decoding":
                self._remove_from_batch(job, "ended")
            job.state = "ended"
            job.on_done(job, False)

    def set_slowness(self, factor: float) -> None:
        """Sets the factor on all durations from now on."""
        self._update_progress()
        self.slowness = factor
        self._set_timer()

    def report(self) -> messages.LoadReport:
        """Returns the current load; readers receive it with a delay."""
        return messages.LoadReport(
            server=self.name,
            incarnation=self.incarnation,
            state="live" if self.is_up else "leaving",
            running=self.running,
            queued=len(self.queue),
            capacity=self.capacity,
            versions=self.versions,
            at=self.clock.now,
        )
