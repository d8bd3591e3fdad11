"""The one reader of a stream of the log.

It owns the start, the long poll, the pace, gaps, outages and records that do
not decode. What records mean is for its consumer, which also knows where to
read on.
"""

from __future__ import annotations

import abc
import asyncio
import contextlib
import random
import time
from typing import Any, Protocol, TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hoistmoor.clients import log as log_client
    from hoistmoor.core import polling

    Wait = Callable[[float, asyncio.Event], Awaitable[None]]

_LOG = logs.PartLogger("log")


class Readable(Protocol):
    """The part of ``log.LogClient`` that a reader needs."""

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Reads records from ``start`` on."""

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns the oldest and the next offset of a stream."""


class Consumer(abc.ABC):
    """What a stream's records are read for."""

    @property
    @abc.abstractmethod
    def next_offset(self) -> int:
        """Where to read on."""

    @property
    def is_needed(self) -> bool:
        """Whether somebody waits for a record that is on its way."""
        return False

    @abc.abstractmethod
    def on_start(self, bounds: log_client.LogBounds) -> None:
        """Chooses where to start, before the first read."""

    @abc.abstractmethod
    def on_gap(self, first: int) -> None:
        """Reads on at ``first``: the records before it expired unread."""

    @abc.abstractmethod
    def on_record(self, record: log_client.LogRecord, decoded: Any) -> None:
        """Takes the next record.

        Raises:
            CodecError: No such record belongs on the stream.
        """

    @abc.abstractmethod
    def on_bad_record(self, record: log_client.LogRecord) -> None:
        """Passes over a record that does not decode."""

    async def on_page(self, page: log_client.LogPage) -> bool:
        """Notes that a page was taken; returns whether to read on at once."""
        del page
        return False

    def on_failure(self, error: errors.HoistmoorError) -> None:
        """Notes that the stream could not be read."""
        del error


class StreamReader:
    """Reads a stream for a consumer, at a pace.

    Attributes:
        bad_records: Records that do not decode.
        failures: Failed attempts in a row; 0 while the log answers.
        polls: Reads that were answered.
    """

    def __init__(
        self,
        log: Readable,
        stream: str,
        consumer: Consumer,
        pace: polling.PollPolicy,
        decode: Callable[[bytes], Any] = codec.decode,
        clock: Callable[[], float] = time.monotonic,
        wait: Wait | None = None,
    ) -> None:
        """Reads nothing yet; see ``run``.

        Args:
            log: The log service.
            stream: Name of the stream.
            consumer: Takes the records.
            pace: How often to read.
            decode: Makes a record of a payload, or raises ``CodecError``.
            clock: Returns seconds, from any start.
            wait: Waits for that many seconds, or until the event is set.
        """
        self.bad_records = 0
        self.failures = 0
        self.polls = 0
        self._log = log
        self._stream = stream
        self._consumer = consumer
        self._pace = pace
        self._decode = decode
        self._clock = clock
        self._wait = wait or _wait
        self._hurried = asyncio.Event()
        self._beside: set[asyncio.Task[None]] = set()
        self._is_started = False
        self._may_hold = False
        self._polled_at = clock()

    def hurry(self) -> None:
        """Ends the pause before the next poll, since it is needed now."""
        self._hurried.set()

    async def catch_up(self, patience: float) -> None:
        """Reads a page at once, beside a poll that may be under way.

        For a consumer that passes over records that it has taken.

        Args:
            patience: Seconds to wait for the log; its failure ends the wait.
        """
        task = asyncio.create_task(self._read_beside())
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)
        # Not cancelled when late: who waits for its page is woken at its end.
        await asyncio.wait({task}, timeout=patience)

    async def run(self) -> None:
        """Reads on for ever, also through outages."""
        while True:
            self._hurried.clear()  # This poll serves who set it.
            try:
                has_more = await self.step(self._pace.long_poll_timeout)
            except errors.HoistmoorError as error:
                await self._back_off(error)
                continue
            if not has_more:
                await self._rest()

    async def step(self, hold: float) -> bool:
        """Reads one page. Several may run at once, if the consumer lets them.

        Args:
            hold: Seconds that the log may wait for a record; the first read
                after a start or a gap does not wait.

        Returns:
            Whether there may be more to read at once.

        Raises:
            PlatformError: The log could not be read.
        """
        if not self._is_started:
            bounds = await self._log.bounds(self._stream)
            if not self._is_started:
                self._is_started = True
                self._consumer.on_start(bounds)
        page = await self._read(hold if self._may_hold else 0.0)
        if page is None:
            return True
        await self._take(page)
        reads_on = await self._consumer.on_page(page)
        self.failures = 0
        return reads_on or len(page.records) == self._pace.page

    async def _read(self, hold: float) -> log_client.LogPage | None:
        """Returns a page; None if there is a gap to read on after."""
        self._polled_at = self._clock()
        try:
            page = await self._log.read(
                self._stream,
                self._consumer.next_offset,
                self._pace.page,
                hold,
            )
        except errors.LogOffsetExpiredError as error:
            self._may_hold = False
            self._consumer.on_gap(error.first_offset)
            return None
        self.polls += 1
        self._may_hold = True
        return page

    async def _take(self, page: log_client.LogPage) -> None:
        for number, record in enumerate(page.records, start=1):
            self._take_record(record)
            if number % self._pace.burst == 0:
                await asyncio.sleep(0)  # A long page must not stall requests.

    def _take_record(self, record: log_client.LogRecord) -> None:
        try:
            self._consumer.on_record(record, self._decode(record.payload))
        except errors.CodecError as error:
            self.bad_records += 1
            self._consumer.on_bad_record(record)
            if _is_power_of_two(self.bad_records):
                _LOG.warning(
                    "record %d of stream %s skipped, %d so far. %s",
                    record.offset,
                    self._stream,
                    self.bad_records,
                    error,
                )

    async def _read_beside(self) -> None:
        with contextlib.suppress(errors.PlatformError):
            await self.step(0.0)

    async def _rest(self) -> None:
        since_poll = self._clock() - self._polled_at
        pause = self._pace.pause(since_poll, self._consumer.is_needed)
        if pause > 0:
            await self._wait(pause, self._hurried)

    async def _back_off(self, error: errors.HoistmoorError) -> None:
        self.failures += 1
        self._consumer.on_failure(error)
        if _is_power_of_two(self.failures):
            _LOG.warning("stream %s is not read. %s", self._stream, error)
        pause = self._pace.retry_delay(self.failures, random.random())
        # A need does not shorten this: it would hammer a log that is down.
        await self._wait(pause, asyncio.Event())


async def _wait(seconds: float, hurried: asyncio.Event) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await hurried.wait()


def _is_power_of_two(count: int) -> bool:
    return count & (count - 1) == 0
