"""Client of the platform's append-only log service."""

from __future__ import annotations

import base64
from typing import TypeVar

import attrs
import orjson

from hoistmoor.clients import replies
from hoistmoor.core import errors
from hoistmoor.utils import logs

_T = TypeVar("_T")

_LOG = logs.PartLogger("log")

READ_LIMIT = 500  # Records a page.

_NOT_STORED = frozenset({429, 503})  # The log's own word: nothing stored.


@attrs.frozen
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Its place in the stream; the first is 0.
        at: When the log stored it, in seconds since the epoch, by its clock.
        payload: What was appended.
    """

    offset: int
    at: float
    payload: bytes


@attrs.frozen
class LogBounds:
    """What a stream holds.

    Attributes:
        first: The oldest offset that can still be read.
        next: The offset of the next append.
    """

    first: int
    next: int


@attrs.frozen
class LogPage:
    """Records read at once.

    Attributes:
        first: The oldest offset that can still be read.
        next: Where to read on.
        records: In the order of their offsets, without gaps.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


@attrs.frozen
class _WireRecord:
    offset: int
    at: float
    payload: str


@attrs.frozen
class _WirePage:
    first: int
    next: int
    records: list[_WireRecord]


@attrs.frozen
class _Expired:
    first: int


@attrs.define(eq=False, slots=False)
class LogClient(replies.ServiceClient):
    """Appends to and reads from the streams of the log service.

    A log that gives an offset out again has lost records. From then on every
    call on that stream fails until the process is restarted.
    """

    _ends: dict[str, int] = attrs.field(factory=dict, init=False)
    _rewound: dict[str, errors.LogRewoundError] = attrs.field(
        factory=dict, init=False
    )

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends one record, sent once.

        Returns:
            The offset of the record.

        Raises:
            LogUnavailableError: Nothing was stored.
            LogOutcomeUnknownError: No reply; the record may be stored.
            LogRewoundError: The log has lost records of the stream.
            PlatformError: The log refused the record itself.
        """
        self._check(stream)
        # Of appends under way at once, a later one may be answered first.
        known = self._ends.get(stream, 0)
        url = f"{self.base_url}/streams/{stream}/records"
        try:
            async with self.session.post(
                url,
                data=payload,
                timeout=replies.timeout_of(self.timeout),
            ) as reply:
                body = await reply.read()
        except replies.TRANSPORT_ERRORS as error:
            raise _append_error(stream, error) from error
        if reply.status == 200:
            offset = _stored_offset(stream, body)
            if offset < known:
                raise self._note_rewound(stream, known, offset)
            self._note_end(stream, offset + 1)
            return offset
        raise _append_refusal(stream, reply.status)

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: float = 0.0,
    ) -> LogPage:
        """Reads records from ``start`` on.

        Args:
            stream: Name of the stream.
            start: The first offset wanted.
            limit: Records at most.
            wait: Seconds to wait for a record if there is none yet.

        Raises:
            LogOffsetExpiredError: ``start`` is past the retention.
            LogRewoundError: The log has lost records of the stream.
            LogUnavailableError: No usable answer in time.
        """
        self._check(stream)
        url = f"{self.base_url}/streams/{stream}/records"
        query = {
            "from": str(start),
            "limit": str(limit),
            "wait_ms": str(int(wait * 1000)),
        }
        body = await self._get(stream, url, start, query, self.timeout + wait)
        page = _page(_parse(body, _WirePage, stream), stream)
        if page.records:
            self._note_end(stream, page.records[-1].offset + 1)
        return page

    async def bounds(self, stream: str) -> LogBounds:
        """Returns the oldest and the next offset of a stream.

        Raises:
            LogUnavailableError: No usable answer in time.
        """
        url = f"{self.base_url}/streams/{stream}"
        body = await self._get(stream, url, 0, {}, self.timeout)
        return _parse(body, LogBounds, stream)

    def _check(self, stream: str) -> None:
        if stream in self._rewound:
            raise self._rewound[stream]

    def _note_end(self, stream: str, end: int) -> None:
        self._ends[stream] = max(end, self._ends.get(stream, 0))

    def _note_rewound(
        self, stream: str, known: int, offset: int
    ) -> errors.LogRewoundError:
        error = errors.LogRewoundError(stream, known, offset)
        self._rewound[stream] = error
        _LOG.error("%s", error)
        return error

    async def _get(
        self,
        stream: str,
        url: str,
        start: int,
        query: dict[str, str],
        timeout: float,
    ) -> bytes:
        try:
            async with self.session.get(
                url, params=query, timeout=replies.timeout_of(timeout)
            ) as reply:
                body = await reply.read()
        except replies.TRANSPORT_ERRORS as error:
            raise errors.LogUnavailableError(
                f"reading stream {stream} failed: {error!r}",
                "Check the log's address and that it runs, then read again.",
            ) from error
        if reply.status == 410:
            first = _parse(body, _Expired, stream).first
            raise errors.LogOffsetExpiredError(stream, start, first)
        if reply.status != 200:
            raise errors.LogUnavailableError(
                f"reading stream {stream} was answered {reply.status}",
                "Wait, then read again.",
            )
        return body


def _page(wire: _WirePage, stream: str) -> LogPage:
    try:
        records = tuple(
            LogRecord(row.offset, row.at, base64.b64decode(row.payload))
            for row in wire.records
        )
    except ValueError as error:
        raise errors.LogUnavailableError(
            f"the log (stream {stream}) sent a record that is not base64",
            "Check that the address belongs to that service.",
        ) from error
    return LogPage(wire.first, wire.next, records)


def _parse(body: bytes, cls: type[_T], stream: str) -> _T:
    try:
        return replies.parse(body, cls, f"the log (stream {stream})")
    except replies.ServiceUnavailableError as error:
        raise errors.LogUnavailableError(error.problem, error.remedy) from error


def _stored_offset(stream: str, body: bytes) -> int:
    try:
        return int(orjson.loads(body)["offset"])
    except (ValueError, KeyError, TypeError) as error:
        raise errors.LogOutcomeUnknownError(
            f"append to stream {stream} got an unreadable reply",
            "Read the stream for the record's own id.",
        ) from error


def _append_error(stream: str, error: Exception) -> errors.PlatformError:
    if replies.was_unsent(error):
        return errors.LogUnavailableError(
            f"append to stream {stream} could not be sent: {error!r}",
            "Check the log's address and that it runs, then try again.",
        )
    return errors.LogOutcomeUnknownError(
        f"append to stream {stream} got no reply: {error!r}",
        "Read the stream for the record's own id before appending again.",
    )


def _append_refusal(stream: str, status: int) -> errors.PlatformError:
    if status in _NOT_STORED:
        return errors.LogUnavailableError(
            f"append to stream {stream} was refused with {status}",
            "Wait, then try again.",
        )
    if status < 500:
        return errors.PlatformError(
            f"append to stream {stream} was refused with {status}",
            "Check the stream's name and the record's size.",
        )
    return errors.LogOutcomeUnknownError(
        f"append to stream {stream} was answered {status}",
        "Read the stream for the record's own id before appending again.",
    )
