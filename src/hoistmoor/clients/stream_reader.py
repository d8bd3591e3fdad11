"""Reads a stream of the log on behalf of a consumer.

The reader handles the start, long polling, polling intervals, gaps, outages
and records that cannot be decoded. The consumer interprets the records and
keeps the offset at which to continue.
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


class ReadableLog(Protocol):
    """The methods of ``log.LogClient`` that a reader needs."""

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Reads records from ``start`` on."""

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns the oldest and the next offset of a stream."""


class Consumer(abc.ABC):
    """Processes the records of a stream."""

    @property
    @abc.abstractmethod
    def next_offset(self) -> int:
        """Offset of the next record to read."""

    @property
    def is_needed(self) -> bool:
        """Whether something is waiting for a record that is not yet read."""
        return False

    @abc.abstractmethod
    def on_start(self, bounds: log_client.LogBounds) -> None:
        """Sets the start offset before the first read."""

    @abc.abstractmethod
    def on_gap(self, first: int) -> None:
        """Continues at ``first``; the unread records before it have expired."""

    @abc.abstractmethod
    def on_record(self, record: log_client.LogRecord, decoded: Any) -> None:
        """Processes the next record.

        Raises:
            CodecError: The record does not belong on this stream.
        """

    @abc.abstractmethod
    def on_bad_record(self, record: log_client.LogRecord) -> None:
        """Skips a record that cannot be decoded."""

    async def on_page(self, page: log_client.LogPage) -> bool:
        """Called after each page; returns whether to read on at once."""
        del page
        return False

    def on_failure(self, error: errors.HoistmoorError) -> None:
        """Called when the stream could not be read."""
        del error


class StreamReader:
    """Polls a stream for a consumer.

    Attributes:
        bad_records: Number of records that could not be decoded.
        failures: Consecutive failed reads; 0 while the log is available.
        polls: Number of successful reads.
    """

    def __init__(
        self,
        log: ReadableLog,
        stream: str,
        consumer: Consumer,
        pace: polling.PollPolicy,
        decode: Callable[[bytes], Any] = codec.decode,
        clock: Callable[[], float] = time.monotonic,
        wait: Wait | None = None,
    ) -> None:
        """Creates a reader; ``run`` starts reading.

        Args:
            log: The log service.
            stream: Name of the stream.
            consumer: Processes the records.
            pace: Limits how often to poll.
            decode: Decodes a payload, or raises ``CodecError``.
            clock: Returns monotonic time in seconds.
            wait: Waits for that many seconds or until the event is set.
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
        self._wait = wait or _wait_for_event
        self._wake_event = asyncio.Event()
        self._extra_reads: set[asyncio.Task[None]] = set()
        self._is_started = False
        self._may_long_poll = False
        self._polled_at = clock()

    def poll_now(self) -> None:
        """Ends the delay before the next poll."""
        self._wake_event.set()

    async def catch_up(self, timeout: float) -> None:
        """Reads a page at once, concurrently with any poll in progress.

        The consumer must skip records that it has already processed.

        Args:
            timeout: Seconds to wait for the log; a failed read ends the wait.
        """
        task = asyncio.create_task(self._read_once())
        self._extra_reads.add(task)
        task.add_done_callback(self._extra_reads.discard)
        # The read is not cancelled after the timeout, since others may wait for
        # its page.
        await asyncio.wait({task}, timeout=timeout)

    async def run(self) -> None:
        """Reads until cancelled, retrying after failures."""
        while True:
            self._wake_event.clear()  # This poll serves pending wake-ups.
            try:
                has_more = await self.poll(self._pace.long_poll_timeout)
            except errors.HoistmoorError as error:
                await self._wait_after_failure(error)
                continue
            if not has_more:
                await self._wait_for_next_poll()

    async def poll(self, long_poll_timeout: float) -> bool:
        """Reads one page; may run concurrently if the consumer allows it.

        Args:
            long_poll_timeout: Seconds that the log may wait for a record; the
                first read after a start or a gap does not wait.

        Returns:
            Whether more records may be available at once.

        Raises:
            PlatformError: The log could not be read.
        """
        if not self._is_started:
            bounds = await self._log.bounds(self._stream)
            if not self._is_started:
                self._is_started = True
                self._consumer.on_start(bounds)
        page = await self._read(
            long_poll_timeout if self._may_long_poll else 0.0
        )
        if page is None:
            return True
        await self._process(page)
        has_more = await self._consumer.on_page(page)
        self.failures = 0
        return has_more or len(page.records) == self._pace.page

    async def _read(
        self, long_poll_timeout: float
    ) -> log_client.LogPage | None:
        """Returns a page, or None if the offset has expired."""
        self._polled_at = self._clock()
        try:
            page = await self._log.read(
                self._stream,
                self._consumer.next_offset,
                self._pace.page,
                long_poll_timeout,
            )
        except errors.LogOffsetExpiredError as error:
            self._may_long_poll = False
            self._consumer.on_gap(error.first_offset)
            return None
        self.polls += 1
        self._may_long_poll = True
        return page

    async def _process(self, page: log_client.LogPage) -> None:
        for number, record in enumerate(page.records, start=1):
            self._process_record(record)
            if number % self._pace.burst == 0:
                await asyncio.sleep(0)  # Requests run meanwhile.

    def _process_record(self, record: log_client.LogRecord) -> None:
        try:
            self._consumer.on_record(record, self._decode(record.payload))
        except errors.CodecError as error:
            self.bad_records += 1
            self._consumer.on_bad_record(record)
            if _is_power_of_two(self.bad_records):
                _LOG.warning(
                    "skipped malformed record %d of stream %s (%d so far): %s",
                    record.offset,
                    self._stream,
                    self.bad_records,
                    error,
                )

    async def _read_once(self) -> None:
        with contextlib.suppress(errors.PlatformError):
            await self.poll(0.0)

    async def _wait_for_next_poll(self) -> None:
        since_poll = self._clock() - self._polled_at
        delay = self._pace.pause(since_poll, self._consumer.is_needed)
        if delay > 0:
            await self._wait(delay, self._wake_event)

    async def _wait_after_failure(self, error: errors.HoistmoorError) -> None:
        self.failures += 1
        self._consumer.on_failure(error)
        if _is_power_of_two(self.failures):
            _LOG.warning("cannot read stream %s: %s", self._stream, error)
        delay = self._pace.retry_delay(self.failures, random.random())
        # Nothing shortens this delay, since frequent retries would overload a
        # log that is recovering.
        await self._wait(delay, asyncio.Event())


async def _wait_for_event(seconds: float, event: asyncio.Event) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


def _is_power_of_two(count: int) -> bool:
    return count & (count - 1) == 0
