# ruff: noqa: D102
"""Tests the stream reader with an in-memory log and a simulated clock."""

from __future__ import annotations

import asyncio
import collections
from typing import Any, TYPE_CHECKING

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import log as log_client
from hoistmoor.clients import stream_reader
from hoistmoor.core import errors
from hoistmoor.core import polling

if TYPE_CHECKING:
    from collections.abc import Callable

PACE = polling.PollPolicy(
    period=1.0, long_poll_timeout=10.0, page=100, retry=1.0, max_retry=4.0
)


class _EndOfTestError(Exception):
    """The maximum number of polls is reached."""


@attrs.define
class SimulatedLog:
    """An in-memory log with a simulated clock.

    Attributes:
        arrivals: Records that arrive during each poll that finds none.
        rate: Records per second that arrive while the reader waits.
        max_polls: Number of polls after which the reader is stopped.
        first: Offset of the oldest record that has not expired.
        failing: Number of reads that fail before the log is available again.
        polls: Number of records that each poll returned.
        delays: Delays that the reader requested, in seconds.
        payloads: Payloads of all records, also of expired ones.
        now: Simulated time in seconds.
    """

    arrivals: int = 1
    rate: float = 100.0
    max_polls: int = 20
    first: int = 0
    failing: int = 0
    polls: list[int] = attrs.field(factory=list)
    delays: list[float] = attrs.field(factory=list)
    payloads: list[bytes] = attrs.field(factory=list)
    now: float = 0.0

    def grow(self, count: int) -> None:
        self.payloads += [b"good"] * count

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        if len(self.polls) == self.max_polls:
            raise _EndOfTestError
        if self.failing:
            self.failing -= 1
            raise errors.LogUnavailableError("unavailable", "Retry.")
        if start < self.first:
            raise errors.LogOffsetExpiredError(stream, start, self.first)
        if start == len(self.payloads) and wait:
            self.now += self.arrivals / self.rate
            self.grow(self.arrivals)
        payloads = self.payloads[start : start + limit]
        self.polls.append(len(payloads))
        return log_client.LogPage(
            self.first,
            start + len(payloads),
            tuple(
                log_client.LogRecord(start + number, 0.0, payload)
                for number, payload in enumerate(payloads)
            ),
        )

    async def bounds(self, stream: str) -> log_client.LogBounds:
        del stream
        return log_client.LogBounds(self.first, len(self.payloads))

    async def wait(self, seconds: float, hurried: asyncio.Event) -> None:
        self.delays.append(seconds)
        await asyncio.sleep(0)  # Lets other tasks run.
        if not hurried.is_set():
            self.now += seconds
            self.grow(round(seconds * self.rate))


class Consumer(stream_reader.Consumer):
    """Records the calls of the reader."""

    def __init__(self) -> None:
        self.offset = 0
        self.needed_until = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.gaps: list[int] = []
        self.on_offset: Callable[[int], None] = lambda _: None

    @property
    def next_offset(self) -> int:
        return self.offset

    @property
    def is_needed(self) -> bool:
        return self.offset < self.needed_until

    def on_start(self, bounds: log_client.LogBounds) -> None:
        self.offset = bounds.first

    def on_gap(self, first: int) -> None:
        self.gaps.append(first)
        self.offset = first

    def on_record(self, record: log_client.LogRecord, decoded: Any) -> None:
        self.offset = record.offset + 1
        self.counts[decoded] += 1
        self.on_offset(record.offset)

    def on_bad_record(self, record: log_client.LogRecord) -> None:
        self.offset = record.offset + 1
        self.counts["bad"] += 1

    def on_failure(self, error: errors.HoistmoorError) -> None:
        self.counts["failures"] += 1


def decode(payload: bytes) -> str:
    if payload == b"bad":
        raise errors.CodecError("invalid record", "Check its writer.")
    return payload.decode()


def make_reader(
    log: SimulatedLog, consumer: Consumer
) -> stream_reader.StreamReader:
    return stream_reader.StreamReader(
        log, "s", consumer, PACE, decode, lambda: log.now, log.wait
    )


async def run_to_end(
    log: SimulatedLog, consumer: Consumer | None = None
) -> tuple[Consumer, stream_reader.StreamReader]:
    consumer = consumer or Consumer()
    reader = make_reader(log, consumer)
    with pytest.raises(_EndOfTestError):
        await reader.run()
    return consumer, reader


async def test_records_accumulate_without_waiters() -> None:
    log = SimulatedLog(max_polls=52, rate=50)
    consumer, _ = await run_to_end(log)
    # There is one poll per period, not one per record.
    assertions.assert_that(log.now, matchers.GreaterThan(50.0))
    assertions.assert_that(
        consumer.counts["good"], matchers.GreaterThan(49 * 49)
    )


async def test_a_single_record_is_not_delayed() -> None:
    log = SimulatedLog(rate=0.25, max_polls=10)
    await run_to_end(log)
    # Each poll takes longer than the period, so the next one starts at once.
    assertions.assert_that(log.delays, matchers.Equals([1.0]))


async def test_full_pages_are_read_without_a_delay() -> None:
    log = SimulatedLog(max_polls=5)
    log.grow(450)
    await run_to_end(log)
    assertions.assert_that(log.polls, matchers.Equals([100, 100, 100, 100, 50]))
    assertions.assert_that(len(log.delays), matchers.Equals(1))


async def test_polls_are_not_delayed_with_waiters() -> None:
    log = SimulatedLog(max_polls=31)
    consumer = Consumer()
    consumer.needed_until = 30
    await run_to_end(log, consumer)
    assertions.assert_that(log.polls, matchers.Equals([0] + [1] * 30))
    assertions.assert_that(len(log.delays), matchers.Equals(1))


async def test_hurry_ends_only_one_delay() -> None:
    log = SimulatedLog(max_polls=4, rate=1)
    consumer = Consumer()
    reader = make_reader(log, consumer)
    log.payloads = [b"good"] * 2
    consumer.on_offset = lambda offset: (
        reader.poll_now() if offset == 1 else None
    )
    with pytest.raises(_EndOfTestError):
        await reader.run()
    # No record arrives during the delay; the poll itself waits for one.
    assertions.assert_that(log.polls[:2], matchers.Equals([2, 1]))
    assertions.assert_that(log.delays[0], matchers.Equals(1.0))
    assertions.assert_that(log.now, matchers.LessThan(4.0))


async def test_hurry_ends_a_delay_in_progress() -> None:
    log = SimulatedLog(max_polls=2)
    reader = stream_reader.StreamReader(
        log,
        "s",
        Consumer(),
        attrs.evolve(PACE, period=3600.0),
        decode,
    )
    task = asyncio.create_task(reader.run())
    while reader.polls < 1:
        await asyncio.sleep(0)
    for _ in range(20):
        await asyncio.sleep(0)
    assertions.assert_that(reader.polls, matchers.Equals(1))
    reader.poll_now()
    while reader.polls < 2:
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_gap_is_reported_and_skipped() -> None:
    log = SimulatedLog(max_polls=4)
    log.grow(5)
    consumer = Consumer()

    def expire(offset: int) -> None:
        if offset == 4:
            log.grow(200)
            log.first = 90

    consumer.on_offset = expire
    await run_to_end(log, consumer)
    assertions.assert_that(consumer.gaps, matchers.Equals([90]))
    assertions.assert_that(consumer.offset, matchers.GreaterThan(204))


async def test_the_backoff_grows_up_to_a_maximum() -> None:
    log = SimulatedLog(max_polls=2, failing=8)
    consumer, reader = await run_to_end(log)
    assertions.assert_that(consumer.counts["failures"], matchers.Equals(8))
    for number, delay in enumerate(log.delays[:8]):
        max_delay = min(2.0**number, PACE.max_retry)
        assert 0.75 * max_delay <= delay <= max_delay
    assertions.assert_that(reader.failures, matchers.Equals(0))


async def test_waiters_do_not_shorten_the_backoff() -> None:
    log = SimulatedLog(failing=10**6)
    consumer = Consumer()
    consumer.needed_until = 10**6
    reader = make_reader(log, consumer)
    reader.poll_now()
    task = asyncio.create_task(reader.run())
    while reader.failures < 50:
        await asyncio.sleep(0)
        reader.poll_now()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assertions.assert_that(
        min(log.delays), matchers.GreaterThan(0.74 * PACE.retry)
    )


async def test_undecodable_records_are_counted_and_skipped() -> None:
    log = SimulatedLog(max_polls=2)
    log.payloads = [b"good", b"bad", b"bad", b"good"]
    consumer, reader = await run_to_end(log)
    assertions.assert_that(reader.bad_records, matchers.Equals(2))
    assertions.assert_that(consumer.counts["bad"], matchers.Equals(2))
    assertions.assert_that(consumer.counts["good"], matchers.GreaterThan(2))


@pytest.mark.parametrize("failing", [0, 1])
async def test_catching_up_waits_for_one_poll_or_its_failure(
    failing: int,
) -> None:
    log = SimulatedLog()
    pace = attrs.evolve(PACE, period=3600.0)
    reader = stream_reader.StreamReader(log, "s", Consumer(), pace, decode)
    task = asyncio.create_task(reader.run())
    for _ in range(20):
        await asyncio.sleep(0)
    log.failing = failing
    log.payloads = [b"good"] * 3
    await reader.catch_up(3600.0)
    # The poll does not wait for a record, so neither does the caller.
    expected = [0] if failing else [0, 3]
    assertions.assert_that(log.polls, matchers.Equals(expected))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
