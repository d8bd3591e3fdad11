"""Stand-in for the platform's append-only log service."""

from __future__ import annotations

import asyncio
import base64
import time

from aiohttp import web
import attrs

from hoistmoor.standins import fault_registry
from hoistmoor.standins import responses
from hoistmoor.standins import token_bucket

MAX_RECORD_BYTES = 1024 * 1024
MAX_PAGE_RECORDS = 1000
MAX_WAIT = 30.0  # Seconds of a long poll.
_LAG_POLL_INTERVAL = 0.02  # Seconds between checks for lagging records.
_MAX_EXPIRED_RECORDS = 1024  # Expired records in memory before a trim.


@attrs.frozen
class StoredRecord:
    """A stored record and its encoding.

    Attributes:
        at: When the record was stored, in seconds since the epoch.
        encoded: JSON encoding of the record.
    """

    at: float
    encoded: bytes


class Stream:
    """The records of a stream, oldest first.

    Attributes:
        max_age: Seconds that a record is retained.
        max_records: Number of records that are retained.
        first_offset: Offset of the oldest retained record.
        records: Records in memory, which may include expired ones.
        memory_offset: Offset of ``records[0]``, at most ``first``.
        appended: Set at the next append, which replaces the event.
    """

    def __init__(self, max_age: float, max_records: int) -> None:
        self.max_age = max_age
        self.max_records = max_records
        self.first_offset = 0
        self.records: list[StoredRecord] = []
        self.memory_offset = 0
        self.appended = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to be appended."""
        return self.memory_offset + len(self.records)

    def append(self, payload: bytes, now: float) -> int:
        """Stores a record, wakes waiting readers and returns its offset."""
        offset = self.next_offset
        text = base64.b64encode(payload)
        wire = b'{"offset":%d,"at":%.6f,"payload":"%b"}' % (offset, now, text)
        self.records.append(StoredRecord(now, wire))
        self.expire(now)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def expire(self, now: float) -> None:
        """Expires records past their retention and trims the memory."""
        self.first_offset = max(
            self.first_offset, self.next_offset - self.max_records
        )
        while self.first_offset < self.next_offset:
            if (
                self.records[self.first_offset - self.memory_offset].at
                >= now - self.max_age
            ):
                break
            self.first_offset += 1
        expired = self.first_offset - self.memory_offset
        if expired > _MAX_EXPIRED_RECORDS:
            del self.records[:expired]
            self.memory_offset = self.first_offset

    def visible_end(self, now: float, lag: float) -> int:
        """Returns the end offset for readers that lag by ``lag`` seconds."""
        end = self.next_offset
        while lag and end > self.first_offset:
            if self.records[end - self.memory_offset - 1].at <= now - lag:
                break
            end -= 1
        return end

    def encode_page(self, start: int, end: int) -> bytes:
        """Returns the JSON page of the records from ``start`` to ``end``."""
        rows = self.records[
            start - self.memory_offset : end - self.memory_offset
        ]
        body = b",".join(row.encoded for row in rows)
        return b'{"first":%d,"next":%d,"records":[%b]}' % (
            self.first_offset,
            max(start, end),
            body,
        )


@attrs.define
class LogStandin:
    """The log service.

    Attributes:
        fault_registry: Registry of the active faults.
        max_age: Seconds that a record is retained.
        max_records: Number of records that a stream retains.
        appends_per_second: Limit on the appends to all streams; 0 for none.
        streams: Streams by name, each created on first use.
        append_limiter: Rate limiter of appends.
    """

    fault_registry: fault_registry.FaultRegistry
    max_age: float = 3600.0
    max_records: int = 100_000
    appends_per_second: float = 0.0
    streams: dict[str, Stream] = attrs.field(factory=dict)
    append_limiter: token_bucket.TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the rate limiter of appends."""
        self.append_limiter = token_bucket.TokenBucket(self.appends_per_second)

    def add_routes(self, application: web.Application) -> None:
        """Registers the routes of the log service."""
        path = "/streams/{stream}"
        application.router.add_post(path + "/records", self.handle_append)
        application.router.add_get(path + "/records", self.handle_read)
        application.router.add_get(path, self.handle_bounds)

    def stream(self, request: web.Request) -> Stream:
        """Returns the stream that a request names, without expired records."""
        name = request.match_info["stream"]
        if name not in self.streams:
            self.streams[name] = Stream(self.max_age, self.max_records)
        stream = self.streams[name]
        stream.expire(time.time())
        return stream

    async def handle_append(self, request: web.Request) -> web.Response:
        """Appends the body of a request as one record."""
        payload = await request.read()
        if len(payload) > MAX_RECORD_BYTES:
            return responses.json_response({"error": "record too large"}, 413)
        now = time.time()
        if not self.append_limiter.try_take(now):
            return responses.json_response({"error": "too many appends"}, 429)
        return responses.json_response(
            {"offset": self.stream(request).append(payload, now)}
        )

    async def handle_bounds(self, request: web.Request) -> web.Response:
        """Returns the first and the next offset of a stream."""
        stream = self.stream(request)
        return responses.json_response(
            {"first": stream.first_offset, "next": stream.next_offset}
        )

    async def handle_read(self, request: web.Request) -> web.Response:
        """Returns a page of records; waits if there is none to read."""
        query = _read_query(request)
        stream = self.stream(request)
        if query.start < stream.first_offset:
            return responses.json_response({"first": stream.first_offset}, 410)
        end = await self._wait_for_end(request.path, stream, query)
        if query.start < stream.first_offset:
            return responses.json_response({"first": stream.first_offset}, 410)
        end = min(end, query.start + query.limit)
        return web.Response(
            body=stream.encode_page(query.start, end),
            content_type="application/json",
        )

    async def _wait_for_end(
        self, path: str, stream: Stream, query: ReadQuery
    ) -> int:
        deadline = time.time() + query.wait
        while True:
            now = time.time()
            lag = self.fault_registry.extra_lag(path)
            end = stream.visible_end(now, lag)
            remaining = deadline - now
            if end > query.start or remaining <= 0:
                return end
            timeout = min(remaining, _LAG_POLL_INTERVAL) if lag else remaining
            await _wait_for(stream.appended, timeout)


@attrs.frozen
class ReadQuery:
    """Parameters of a read request.

    Attributes:
        start: First offset to read.
        limit: Maximum number of records.
        wait: Seconds to wait for a record.
    """

    start: int
    limit: int
    wait: float


def _read_query(request: web.Request) -> ReadQuery:
    query = request.query
    try:
        return ReadQuery(
            start=int(query.get("from", "0")),
            limit=min(MAX_PAGE_RECORDS, int(query.get("limit", "500"))),
            wait=min(MAX_WAIT, int(query.get("wait_ms", "0")) / 1000),
        )
    except ValueError as error:
        raise web.HTTPBadRequest(text="from, limit, wait_ms: integers") from (
            error
        )


async def _wait_for(event: asyncio.Event, timeout: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout)
    except TimeoutError:
        return
