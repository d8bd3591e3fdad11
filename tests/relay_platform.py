"""In-memory platform with fault injection.

Its keyed topics can be unavailable, discard old records or lose responses. The
values of records are names by which the codec looks up the product's objects.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import attrs

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.beliefs import store_era as store_era_lib
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.versions import phases as phases_lib
from hoistmoor.relay.front import header_names
from hoistmoor.relay.store import ports

if TYPE_CHECKING:
    from collections.abc import Awaitable

_T = TypeVar("_T")

POLL = 0.005  # Seconds between checks of a long poll.


@attrs.define
class MemoryTopic:
    """An in-memory keyed topic.

    Attributes:
        records: All appended records in order.
        first_kept: First offset from which changes can be read.
        is_unavailable: Whether calls fail without any effect.
        loses_responses: Whether writes take effect but report a failure.
        era: Era of the topic; increases with each restore.
    """

    records: list[topics.Record] = attrs.field(factory=list)
    first_kept: int = 0
    era: int = 0
    is_unavailable: bool = False
    loses_responses: bool = False

    async def newest(self) -> topics.Batch:
        """Returns the newest record of each key."""
        self._check()
        newest = {each.key: each for each in self.records}
        kept = tuple(
            attrs.evolve(each, place=topics.Place(self.era, each.place.offset))
            for each in newest.values()
            if each.value is not None
        )
        return topics.Batch(kept, self._place(), is_snapshot=True)

    async def changes(self, place: topics.Place, wait: float) -> topics.Batch:
        """Returns the records from ``place`` on."""
        offset = place.offset
        end = asyncio.get_running_loop().time() + wait
        while True:
            self._check()
            if place.era != self.era:
                raise errors.LogEraChangedError("topic", place.era, self.era)
            if not self.first_kept <= offset <= len(self.records):
                raise errors.LogOffsetExpiredError(
                    "topic", offset, self.first_kept
                )
            found = tuple(self.records[offset:])
            if found or asyncio.get_running_loop().time() >= end:
                return topics.Batch(found, place.after(len(found)))
            await asyncio.sleep(POLL)

    async def put(
        self,
        key: str,
        value: bytes | None,
        expected: topics.Place | None = None,
    ) -> topics.Place | None:
        """Appends a record; without a value, it deletes the key."""
        self._check()
        if expected is not None and expected.offset != len(self.records):
            return None
        self.records.append(topics.Record(key, value or None, self._place()))
        if self.loses_responses:
            raise errors.LogOutcomeUnknownError("lost", "Read first.")
        return self._place()

    def _place(self) -> topics.Place:
        return topics.Place(self.era, len(self.records))

    async def put_all(self, records: dict[str, bytes]) -> None:
        """Appends a record for each key."""
        for key, value in records.items():
            await self.put(key, value)

    def restore(self, length: int) -> None:
        """Restores the topic from a backup of the given length."""
        del self.records[length:]
        self.first_kept = min(self.first_kept, length)
        self.era += 1

    def _check(self) -> None:
        if self.is_unavailable:
            raise errors.LogUnavailableError("away", "Wait.")


@attrs.define
class HostTopic:
    """One host's client for a topic, which learns the era from responses.

    Attributes:
        topic: The topic.
        store_era: Era of the store, as known to the host.
    """

    topic: MemoryTopic
    store_era: store_era_lib.StoreEra

    async def newest(self) -> topics.Batch:
        """Returns the newest record of each key."""
        return await self._call(self.topic.newest())

    async def changes(self, place: topics.Place, wait: float) -> topics.Batch:
        """Returns the records from ``place`` on."""
        return await self._call(self.topic.changes(place, wait))

    async def put(
        self,
        key: str,
        value: bytes | None,
        expected: topics.Place | None = None,
    ) -> topics.Place | None:
        """Appends a record; without a value, it deletes the key."""
        end = await self._call(self.topic.put(key, value, expected))
        if end and expected and end.era != expected.era:
            return None  # The offsets matched in another era.
        return end

    async def put_all(self, records: dict[str, bytes]) -> None:
        """Appends a record for each key."""
        await self._call(self.topic.put_all(records))

    async def _call(self, call: Awaitable[_T]) -> _T:
        known = self.store_era.era
        try:
            return await call
        finally:
            if not self.topic.is_unavailable:
                record_era(self.store_era, self.topic, known)


def record_era(
    history: store_era_lib.StoreEra, topic: MemoryTopic, known: int
) -> None:
    """Updates a host's knowledge of the era from a response."""
    word = store_era_lib.EraHeader(str(topic.era), topic.era)
    history.record_response(word, known)


@attrs.define
class NamedCodec:
    """Codec that looks up objects by the name in a record's value.

    Attributes:
        known: Objects by name.
    """

    known: dict[bytes, object] = attrs.field(factory=dict)

    def configuration(
        self, record: topics.Record
    ) -> configuration.Configuration | None:
        """Returns the named configuration, or None for another object."""
        found = self.known.get(record.value or b"")
        is_configuration = isinstance(found, configuration.Configuration)
        return found if is_configuration else None

    def order(self, record: topics.Record) -> phases_lib.Order | None:
        """Returns the named rollout order, or None for another object."""
        found = self.known.get(record.value or b"")
        if not isinstance(found, phases_lib.Order):
            return None
        if record.place.era == store_era_lib.UNKNOWN_ERA:
            return found  # Keeps the number that the test has assigned.
        return attrs.evolve(found, number=record.place.serial)

    def evacuated_zone(self, record: topics.Record) -> str | None:
        """Returns the failure domain of a key with the prefix ``empty-``."""
        zone = record.key.removeprefix("empty-")
        return None if zone == record.key else zone

    def server(self, record: topics.Record) -> server_lib.ServerEntry:
        """Returns the named server entry."""
        found = self.known.get(record.value or b"")
        if not isinstance(found, server_lib.ServerEntry):
            raise errors.CodecError("unreadable", "Check the record.")
        return found

    def status(self, record: phases_lib.PhaseRecord) -> tuple[str, bytes]:
        """Returns a status record with the target and the phase."""
        return record.service, f"{record.target} {record.phase}".encode()


@attrs.define
class MemoryPlatform:
    """All topics of the platform, and methods to publish to them."""

    operator: MemoryTopic = attrs.field(factory=MemoryTopic)
    servers: MemoryTopic = attrs.field(factory=MemoryTopic)
    status: MemoryTopic = attrs.field(factory=MemoryTopic)
    phases: MemoryTopic = attrs.field(factory=MemoryTopic)
    evidence: MemoryTopic = attrs.field(factory=MemoryTopic)
    hosts: MemoryTopic = attrs.field(factory=MemoryTopic)
    quarantine: MemoryTopic = attrs.field(factory=MemoryTopic)
    codec: NamedCodec = attrs.field(factory=NamedCodec)

    def as_port(self) -> ports.Platform:
        """Returns the platform adapter of one relay."""
        history = store_era_lib.StoreEra()
        topics = ports.Topics(
            *(HostTopic(each, history) for each in self.topics.values())
        )
        return ports.Platform(
            topics,
            self.codec,
            header_names.HeaderNames(),
            not_run_statuses=frozenset({421}),
            store_era=history,
        )

    @property
    def topics(self) -> dict[str, MemoryTopic]:
        """Topics by name, in the order of ``ports.Topics``."""
        names = [each.name for each in attrs.fields(ports.Topics)]
        return {name: getattr(self, name) for name in names}

    def backup(self) -> dict[str, int]:
        """Returns a backup for ``rewind``: the lengths of all topics."""
        return {name: len(each.records) for name, each in self.topics.items()}

    def restore(self, copy: dict[str, int]) -> None:
        """Restores all topics from an older backup."""
        for name, topic in self.topics.items():
            topic.restore(copy[name])

    async def publish(
        self, topic: MemoryTopic, key: str, value: object
    ) -> None:
        """Publishes an object under a key; None deletes the key."""
        if value is None:
            await topic.put(key, None)
            return
        name = f"{key}@{len(topic.records)}-{id(topic)}".encode()
        self.codec.known[name] = value
        await topic.put(key, name)
