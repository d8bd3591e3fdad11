# ruff: noqa: D102
"""The reader of streams on a log and a clock in memory."""

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


class _OverError(Exception):
    """The script of a test is played."""


@attrs.define
class World:
    """A log that grows while a reader pauses, and the reader's consumer.

    Attributes:
        arrivals: Records that come with each poll that finds none.
        rate: Records a second that come while the reader pauses.
        most_polls: The reader is stopped then.
        pauses: Seconds of each pause that was asked for.
        failing: Reads that fail before the log answers again.
    """

    arrivals: int = 1
    rate: float = 100.0
    most_polls: int = 20
    first: int = 0
    failing: int = 0
    polls: list[int] = attrs.field(factory=list)
    pauses: list[float] = attrs.field(factory=list)
    payloads: list[bytes] = attrs.field(factory=list)
    now: float = 0.0

    def grow(self, count: int) -> None:
        self.payloads += [b"good"] * count

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        if len(self.polls) == self.most_polls:
            raise _OverError
        if self.failing:
            self.failing -= 1
            raise errors.LogUnavailableError("down", "Wait.")
        if start < self.first:
            raise errors.LogOffsetExpiredError(stream, start, self.first)
        if start == len(self.payloads) and wait:
            self.now += self.arrivals / self.rate
            self.grow(self.arrivals)
        rows = self.payloads[start : start + limit]
        self.polls.append(len(rows))
        return log_client.LogPage(
            self.first,
            start + len(rows),
            tuple(
                log_client.LogRecord(start + number, 0.0, payload)
                for number, payload in enumerate(rows)
            ),
        )

    async def bounds(self, stream: str) -> log_client.LogBounds:
        del stream
        return log_client.LogBounds(self.first, len(self.payloads))

    async def wait(self, seconds: float, hurried: asyncio.Event) -> None:
        self.pauses.append(seconds)
        await asyncio.sleep(0)  # Other tasks run meanwhile.
        if not hurried.is_set():
            self.now += seconds
            self.grow(round(seconds * self.rate))


class Consumer(stream_reader.Consumer):
    """Notes what it is told."""

    def __init__(self) -> None:
        self.offset = 0
        self.needed_until = 0
        self.noted: collections.Counter[str] = collections.Counter()
        self.gaps: list[int] = []
        self.on_each: Callable[[int], None] = lambda _: None

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
        self.noted[decoded] += 1
        self.on_each(record.offset)

    def on_bad_record(self, record: log_client.LogRecord) -> None:
        self.offset = record.offset + 1
        self.noted["bad"] += 1

    def on_failure(self, error: errors.HoistmoorError) -> None:
        self.noted["failures"] += 1


def decode(payload: bytes) -> str:
    if payload == b"bad":
        raise errors.CodecError("no record", "Look who wrote it.")
    return payload.decode()


def make(world: World, consumer: Consumer) -> stream_reader.StreamReader:
    return stream_reader.StreamReader(
        world, "s", consumer, PACE, decode, lambda: world.now, world.wait
    )


async def play(
    world: World, consumer: Consumer | None = None
) -> tuple[Consumer, stream_reader.StreamReader]:
    consumer = consumer or Consumer()
    reader = make(world, consumer)
    with pytest.raises(_OverError):
        await reader.run()
    return consumer, reader


async def test_records_gather_while_nobody_waits() -> None:
    world = World(most_polls=52, rate=50)
    consumer, _ = await play(world)
    # One poll a period, not one a record.
    assertions.assert_that(world.now, matchers.GreaterThan(50.0))
    assertions.assert_that(
        consumer.noted["good"], matchers.GreaterThan(49 * 49)
    )


async def test_a_lone_record_is_not_kept_waiting() -> None:
    world = World(rate=0.25, most_polls=10)
    await play(world)
    # Each poll outlasts the period, so that the next begins at once.
    assertions.assert_that(world.pauses, matchers.Equals([1.0]))


async def test_full_pages_are_read_without_a_pause() -> None:
    world = World(most_polls=5)
    world.grow(450)
    await play(world)
    assertions.assert_that(
        world.polls, matchers.Equals([100, 100, 100, 100, 50])
    )
    assertions.assert_that(len(world.pauses), matchers.Equals(1))


async def test_who_waits_for_a_record_has_no_pause() -> None:
    world = World(most_polls=31)
    consumer = Consumer()
    consumer.needed_until = 30
    await play(world, consumer)
    assertions.assert_that(world.polls, matchers.Equals([0] + [1] * 30))
    assertions.assert_that(len(world.pauses), matchers.Equals(1))


async def test_hurry_ends_a_pause_and_one_only() -> None:
    world = World(most_polls=4, rate=1)
    consumer = Consumer()
    reader = make(world, consumer)
    world.payloads = [b"good"] * 2
    consumer.on_each = lambda offset: reader.hurry() if offset == 1 else None
    with pytest.raises(_OverError):
        await reader.run()
    # The hurried pause lets no record gather; the poll finds one by itself.
    assertions.assert_that(world.polls[:2], matchers.Equals([2, 1]))
    assertions.assert_that(world.pauses[0], matchers.Equals(1.0))
    assertions.assert_that(world.now, matchers.LessThan(4.0))


async def test_hurry_wakes_a_pause_under_way() -> None:
    world = World(most_polls=2)
    reader = stream_reader.StreamReader(
        world,
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
    reader.hurry()
    while reader.polls < 2:
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_gap_is_told_and_read_over() -> None:
    world = World(most_polls=4)
    world.grow(5)
    consumer = Consumer()

    def expire(offset: int) -> None:
        if offset == 4:
            world.grow(200)
            world.first = 90

    consumer.on_each = expire
    await play(world, consumer)
    assertions.assert_that(consumer.gaps, matchers.Equals([90]))
    assertions.assert_that(consumer.offset, matchers.GreaterThan(204))


async def test_an_outage_backs_off_further_up_to_a_bound() -> None:
    world = World(most_polls=2, failing=8)
    consumer, reader = await play(world)
    assertions.assert_that(consumer.noted["failures"], matchers.Equals(8))
    for number, pause in enumerate(world.pauses[:8]):
        longest = min(2.0**number, PACE.max_retry)
        assert 0.75 * longest <= pause <= longest
    assertions.assert_that(reader.failures, matchers.Equals(0))


async def test_a_need_does_not_hammer_a_log_that_is_down() -> None:
    world = World(failing=10**6)
    consumer = Consumer()
    consumer.needed_until = 10**6
    reader = make(world, consumer)
    reader.hurry()
    task = asyncio.create_task(reader.run())
    while reader.failures < 50:
        await asyncio.sleep(0)
        reader.hurry()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assertions.assert_that(
        min(world.pauses), matchers.GreaterThan(0.74 * PACE.retry)
    )


async def test_records_that_do_not_decode_are_counted_and_passed() -> None:
    world = World(most_polls=2)
    world.payloads = [b"good", b"bad", b"bad", b"good"]
    consumer, reader = await play(world)
    assertions.assert_that(reader.bad_records, matchers.Equals(2))
    assertions.assert_that(consumer.noted["bad"], matchers.Equals(2))
    assertions.assert_that(consumer.noted["good"], matchers.GreaterThan(2))


@pytest.mark.parametrize("failing", [0, 1])
async def test_who_catches_up_waits_for_one_poll_or_its_failure(
    failing: int,
) -> None:
    world = World()
    pace = attrs.evolve(PACE, period=3600.0)
    reader = stream_reader.StreamReader(world, "s", Consumer(), pace, decode)
    task = asyncio.create_task(reader.run())
    for _ in range(20):
        await asyncio.sleep(0)
    world.failing = failing
    world.payloads = [b"good"] * 3
    await reader.catch_up(3600.0)
    # The poll does not wait for a record, so the caller does not either.
    wanted = [0] if failing else [0, 3]
    assertions.assert_that(world.polls, matchers.Equals(wanted))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
