"""Client for the platform's append-only log service."""

from __future__ import annotations

import base64
from typing import TypeVar

import attrs
import orjson

from hoistmoor.clients import service_client
from hoistmoor.core import errors
from hoistmoor.utils import logs

_T = TypeVar("_T")

_LOG = logs.PartLogger("log")

READ_LIMIT = 500  # Records per page.

# Statuses with which the log guarantees that it stored nothing.
_NOT_STORED_STATUSES = frozenset({429, 503})


@attrs.frozen
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Offset in the stream, starting at 0.
        at: When the log stored the record, in seconds since the epoch on the
            clock of the log.
        payload: The appended bytes.
    """

    offset: int
    at: float
    payload: bytes


@attrs.frozen
class LogBounds:
    """The range of offsets of a stream.

    Attributes:
        first: The oldest offset that can still be read.
        next: The offset of the next append.
    """

    first: int
    next: int


@attrs.frozen
class LogPage:
    """One page of records.

    Attributes:
        first: The oldest offset that can still be read.
        next: Offset at which the next page starts.
        records: Records in order of offset, without gaps.
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
class _ExpiredOffset:
    first: int


@attrs.define(eq=False, slots=False)
class LogClient(service_client.ServiceClient):
    """Appends to and reads from the streams of the log service.

    A log that assigns an offset a second time has lost records. From then on,
    every append to and read from that stream fails until the process is
    restarted.
    """

    _end_offsets: dict[str, int] = attrs.field(factory=dict, init=False)
    _rewind_errors: dict[str, errors.LogRewoundError] = attrs.field(
        factory=dict, init=False
    )

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends one record, without retries.

        Returns:
            The offset of the record.

        Raises:
            LogUnavailableError: Nothing was stored.
            LogOutcomeUnknownError: No valid response; the record may be
                stored.
            LogRewoundError: The log has lost records of the stream.
            PlatformError: The log rejected the record itself.
        """
        self._check_not_rewound(stream)
        # Taken before sending: responses to concurrent appends may arrive in
        # any order.
        known_end = self._end_offsets.get(stream, 0)
        url = f"{self.base_url}/streams/{stream}/records"
        try:
            async with self.session.post(
                url,
                data=payload,
                timeout=service_client.make_timeout(self.timeout),
            ) as response:
                body = await response.read()
        except service_client.TRANSPORT_ERRORS as error:
            raise _transport_error(stream, error) from error
        if response.status == 200:
            offset = _stored_offset(stream, body)
            if offset < known_end:
                raise self._record_rewind(stream, known_end, offset)
            self._record_end(stream, offset + 1)
            return offset
        raise _status_error(stream, response.status)

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
            start: The first offset to read.
            limit: Maximum number of records.
            wait: Seconds to wait for a record if there is none yet.

        Raises:
            LogOffsetExpiredError: ``start`` is older than the retention.
            LogRewoundError: The log has lost records of the stream.
            LogUnavailableError: No valid response in time.
        """
        self._check_not_rewound(stream)
        url = f"{self.base_url}/streams/{stream}/records"
        query = {
            "from": str(start),
            "limit": str(limit),
            "wait_ms": str(int(wait * 1000)),
        }
        body = await self._get(stream, url, start, query, self.timeout + wait)
        page = _decode_page(_parse(body, _WirePage, stream), stream)
        if page.records:
            self._record_end(stream, page.records[-1].offset + 1)
        return page

    async def bounds(self, stream: str) -> LogBounds:
        """Returns the oldest and the next offset of a stream.

        Raises:
            LogUnavailableError: No valid response in time.
        """
        url = f"{self.base_url}/streams/{stream}"
        body = await self._get(stream, url, 0, {}, self.timeout)
        return _parse(body, LogBounds, stream)

    def _check_not_rewound(self, stream: str) -> None:
        if stream in self._rewind_errors:
            raise self._rewind_errors[stream]

    def _record_end(self, stream: str, end: int) -> None:
        self._end_offsets[stream] = max(end, self._end_offsets.get(stream, 0))

    def _record_rewind(
        self, stream: str, known_end: int, offset: int
    ) -> errors.LogRewoundError:
        error = errors.LogRewoundError(stream, known_end, offset)
        self._rewind_errors[stream] = error
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
                url, params=query, timeout=service_client.make_timeout(timeout)
            ) as response:
                body = await response.read()
        except service_client.TRANSPORT_ERRORS as error:
            raise errors.LogUnavailableError(
                f"reading stream {stream} failed: {error!r}",
                "Check the address of the log and that it is running, then "
                "retry.",
            ) from error
        if response.status == 410:
            first = _parse(body, _ExpiredOffset, stream).first
            raise errors.LogOffsetExpiredError(stream, start, first)
        if response.status != 200:
            raise errors.LogUnavailableError(
                f"reading stream {stream} failed with HTTP status "
                f"{response.status}",
                "Wait, then retry.",
            )
        return body


def _decode_page(wire: _WirePage, stream: str) -> LogPage:
    try:
        records = tuple(
            LogRecord(row.offset, row.at, base64.b64decode(row.payload))
            for row in wire.records
        )
    except ValueError as error:
        raise errors.LogUnavailableError(
            f"the log (stream {stream}) sent a record that is not valid base64",
            "Check that the address is that of the log service.",
        ) from error
    return LogPage(wire.first, wire.next, records)


def _parse(body: bytes, cls: type[_T], stream: str) -> _T:
    try:
        return service_client.parse_json(
            body, cls, f"the log (stream {stream})"
        )
    except service_client.ServiceUnavailableError as error:
        raise errors.LogUnavailableError(error.problem, error.remedy) from error


def _stored_offset(stream: str, body: bytes) -> int:
    try:
        return int(orjson.loads(body)["offset"])
    except (ValueError, KeyError, TypeError) as error:
        raise errors.LogOutcomeUnknownError(
            f"append to stream {stream} got a malformed response",
            "Search the stream for the record's id before appending again.",
        ) from error


def _transport_error(stream: str, error: Exception) -> errors.PlatformError:
    if service_client.is_unsent(error):
        return errors.LogUnavailableError(
            f"append to stream {stream} could not be sent: {error!r}",
            "Check the address of the log and that it is running, then retry.",
        )
    return errors.LogOutcomeUnknownError(
        f"append to stream {stream} got no response: {error!r}",
        "Search the stream for the record's id before appending again.",
    )


def _status_error(stream: str, status: int) -> errors.PlatformError:
    if status in _NOT_STORED_STATUSES:
        return errors.LogUnavailableError(
            f"append to stream {stream} was rejected with HTTP status {status}",
            "Wait, then retry.",
        )
    if status < 500:
        return errors.PlatformError(
            f"append to stream {stream} was rejected with HTTP status {status}",
            "Check the name of the stream and the size of the record.",
        )
    return errors.LogOutcomeUnknownError(
        f"append to stream {stream} failed with HTTP status {status}",
        "Search the stream for the record's id before appending again.",
    )
