"""Client for the platform's store: keyed, single-partition topics."""

from __future__ import annotations

import base64
import binascii
import functools
import struct
from typing import Any, TYPE_CHECKING

import attrs
import orjson

from hoistmoor.clients import service_client
from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import record_keys
from hoistmoor.core.relay.beliefs import store_era as store_era_lib
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.relay.store import ports

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    import aiohttp

# Seconds. The store usually responds in about 4 ms; a slow store has been
# observed to take a hundred times as long.
CALL_TIMEOUT = 1.0
# Records per append request; a host's entry has about 100 bytes.
APPEND_BATCH_SIZE = 400
# Attempts to read a snapshot when the store's era changes between pages.
SNAPSHOT_ATTEMPTS = 3
# Bytes of one record and of the records of one append request, if the settings
# do not say.
MAX_RECORD_BYTES = 262_144
MAX_REQUEST_BYTES = 2_097_152
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")  # End offset, and first retained offset.
_PARTITION = "0"
_ERA_HEADER = "Store-Era"  # Present in every response.


@attrs.frozen
class StoreLimits:
    """Sizes that the store accepts.

    Attributes:
        record: Bytes of one record without its length field.
        request: Bytes of all records of one append request.
    """

    record: int = MAX_RECORD_BYTES
    request: int = MAX_REQUEST_BYTES


DEFAULT_LIMITS = StoreLimits()


class StoreTopic:
    """Client for one keyed topic; holds no state besides the HTTP session.

    Attributes:
        topic: Name of the topic in the store.
        store_era: Store history, updated with the era of each response.
        limits: Sizes that the store accepts.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        topic: str,
        store_era: store_era_lib.StoreEra,
        limits: StoreLimits = DEFAULT_LIMITS,
    ) -> None:
        """Initializes the client without connecting.

        Args:
            session: Session from ``clients.sessions``; not closed here.
            address: ``ip:port`` of the store.
            topic: Name of the topic in the store.
            store_era: Store history to update with the era of each response.
            limits: Sizes that the store accepts.
        """
        self.limits = limits
        self.topic = topic
        self.store_era = store_era
        self._session = session
        self._base = f"http://{address}/hoistmoor/"

    async def newest(self) -> topics.Batch:
        """Returns the newest record of each key."""
        for _ in range(SNAPSHOT_ATTEMPTS):
            try:
                return await self._read_pages()
            except errors.LogEraChangedError:
                continue
        raise errors.LogUnavailableError(
            f"the store's era changed while reading {self.topic}",
            "Retry later.",
        )

    async def _read_pages(self) -> topics.Batch:
        records: list[topics.Record] = []
        end: topics.Place | None = None
        page: dict[str, Any] = {"has_more": True}
        while page["has_more"]:
            more = {"after": records[-1].key} if records else {}
            body, era = await self._read("log-newest", more)
            page = orjson.loads(body)
            # Pages are not a consistent snapshot: the batch ends at the end
            # offset of the first page, so later changes are read again.
            end = end or topics.Place(era, page["end_offset"])
            self._check_era(end.era, era)
            records += [_parse_entry(each, era) for each in page["entries"]]
        assert end is not None
        return topics.Batch(tuple(records), end, is_snapshot=True)

    async def changes(self, place: topics.Place, wait: float) -> topics.Batch:
        """Returns the records from ``place`` on; waits up to ``wait`` s."""
        offset = place.offset
        query = {"source": str(offset), "wait_ms": str(int(wait * 1000))}
        data, era = await self._read("log-read", query, wait)
        self._check_era(place.era, era)
        end, first = _OFFSETS.unpack_from(data)
        if end < offset:
            raise errors.LogOffsetExpiredError(self.topic, offset, first)
        records = tuple(_parse_records(data[_OFFSETS.size :], place))
        return topics.Batch(records, place.after(len(records)))

    async def put(
        self, key: str, value: bytes, expected: topics.Place | None = None
    ) -> topics.Place | None:
        """Appends a record; see ``ports.KeyedTopic``."""
        if expected is not None and expected.era != self.store_era.era:
            return None
        query = {}
        if expected is not None:
            query["expected_offset"] = str(expected.offset)
        status, body, era = await self._call(
            "POST",
            "log-append",
            query,
            self._frame(key, value),
        )
        if status == 412:
            return None
        if status != 200:
            raise self._unexpected_status("log-append", status)
        if expected is not None and expected.era != era:
            # The offsets matched by coincidence, in another era.
            return None
        return topics.Place(era, orjson.loads(body)["end_offset"])

    async def put_all(self, records: dict[str, bytes]) -> None:
        """Appends a record for each key; see ``ports.KeyedTopic``."""
        framed = [self._frame(key, value) for key, value in records.items()]
        for body in _join_records(framed, self.limits.request):
            status, _, _ = await self._call("POST", "log-append", {}, body)
            if status != 200:
                raise self._unexpected_status("log-append", status)

    def _frame(self, key: str, value: bytes) -> bytes:
        """Returns a record in the wire format of an append request.

        Raises:
            RecordLimitError: It does not fit that format.
        """
        name = key.encode()
        if len(name) > record_keys.MAX_BYTES:
            raise errors.RecordLimitError(
                key, "key", len(name), record_keys.MAX_BYTES
            )
        content = bytes([len(name)]) + name + value
        if len(content) > self.limits.record:
            raise errors.RecordLimitError(
                key, "content", len(content), self.limits.record
            )
        return _LENGTH.pack(len(content)) + content

    async def _read(
        self, call: str, query: dict[str, str], wait: float = 0.0
    ) -> tuple[bytes, int]:
        """Returns the body and era of a successful read."""
        status, body, era = await self._call("GET", call, query, b"", wait)
        if status == 410:
            first = orjson.loads(body)["start_offset"]
            wanted = int(query.get("source", 0))
            raise errors.LogOffsetExpiredError(self.topic, wanted, first)
        if status != 200:
            raise self._unexpected_status(call, status)
        return body, era

    def _check_era(self, expected: int, era: int) -> None:
        if era != expected:
            raise errors.LogEraChangedError(self.topic, expected, era)

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        body: bytes,
        wait: float = 0.0,
    ) -> tuple[int, bytes, int]:
        """Returns the status, body and era of a response."""
        known = self.store_era.era
        try:
            async with self._session.request(
                method,
                self._base + call,
                params={"topic": self.topic, "part": _PARTITION, **query},
                data=body or None,
                timeout=service_client.make_timeout(CALL_TIMEOUT + wait),
            ) as reply:
                era = self.store_era.record_response(
                    _parse_era(reply.headers), known
                )
                return reply.status, await reply.read(), era
        except service_client.TRANSPORT_ERRORS as error:
            raise errors.LogOutcomeUnknownError(
                f"no response from the store to {call}: {error!r}",
                "Read the topic before writing again.",
            ) from error

    def _unexpected_status(
        self, call: str, status: int
    ) -> errors.LogUnavailableError:
        return errors.LogUnavailableError(
            f"the store returned {status} to {call} of {self.topic}",
            "Retry later.",
        )


def _join_records(framed: list[bytes], limit: int) -> Iterator[bytes]:
    """Yields the bodies of append requests for some records.

    Args:
        framed: Records in the wire format, none of them larger than a request.
        limit: Bytes of one request.
    """
    body: list[bytes] = []
    size = 0
    for record in framed:
        if body and (
            size + len(record) > limit or len(body) == APPEND_BATCH_SIZE
        ):
            yield b"".join(body)
            body, size = [], 0
        body.append(record)
        size += len(record)
    if body:
        yield b"".join(body)


def _parse_era(headers: Mapping[str, str]) -> store_era_lib.EraHeader:
    text = headers.get(_ERA_HEADER)
    if text is None:
        return store_era_lib.EraHeader()
    is_number = text.isascii() and text.isdigit() and len(text) < 10
    era = int(text) if is_number else None
    if era is not None and era >= store_era_lib.MAX_ERAS:
        era = None
    return store_era_lib.EraHeader(text, era)


def _parse_entry(fields: dict[str, Any], era: int) -> topics.Record:
    value = fields.get("value")
    return topics.Record(
        fields["key"],
        _decode_base64(value) if value else None,
        topics.Place(era, fields["offset"]),
    )


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text)
    except binascii.Error:
        # Kept as is: decoding the record reports what is wrong with it.
        return text.encode()


def _parse_records(data: bytes, place: topics.Place) -> Iterator[topics.Record]:
    position = 0
    while position < len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        position += length
        key_end = 1 + (content[0] if content else 0)
        # Another writer's key may not be UTF-8; the records after it must
        # still be read.
        key = content[1:key_end].decode(errors="backslashreplace")
        yield topics.Record(key, content[key_end:] or None, place)
        place = place.after(1)


def open_topics(
    session: aiohttp.ClientSession,
    address: str,
    store_era: store_era_lib.StoreEra,
    limits: StoreLimits = DEFAULT_LIMITS,
) -> ports.Topics:
    """Returns clients for the relay's topics in the store at ``address``."""
    topic = functools.partial(
        StoreTopic, session, address, store_era=store_era, limits=limits
    )
    return ports.Topics(
        operator=topic("keyed.op"),
        servers=topic("keyed.servers"),
        status=topic("keyed.status"),
        phases=topic("keyed.rollout-phases"),
        evidence=topic("keyed.rollout-evidence"),
        hosts=topic("keyed.relay-hosts"),
        quarantine=topic("keyed.relay-quarantine"),
    )
