"""Interfaces that a platform implements for the relay: topics and a codec."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core.relay.beliefs import store_era as store_era_lib
from hoistmoor.relay.front import header_names

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.core.relay.versions import phases as phases_lib


class KeyedTopic(Protocol):
    """A compacted topic: the newest record of each key is never removed.

    Calls raise subclasses of ``errors.PlatformError``.
    """

    async def newest(self) -> topics.Batch:
        """Returns the newest record of each key."""

    async def changes(self, place: topics.Place, wait: float) -> topics.Batch:
        """Returns the records from ``place`` on.

        Args:
            place: Position of the first record.
            wait: Seconds to wait for a record if there is none yet.

        Raises:
            LogOffsetExpiredError: The records are no longer retained, or the
                offset is beyond the end of the topic.
            LogEraChangedError: The store was restored from an older copy,
                so the position belongs to an older era.
        """

    async def put(
        self, key: str, value: bytes, expected: topics.Place | None = None
    ) -> topics.Place | None:
        """Appends a record.

        Args:
            key: Key of the record.
            value: Content of the record; empty to remove the key.
            expected: Append only if the topic ends at this position.

        Returns:
            The position after the record; None if the topic does not end at
            ``expected``, or if that position belongs to an older era.

        Raises:
            RecordLimitError: The record does not fit the store's format. It
                was not written, and cannot be written later either.
        """

    async def put_all(self, records: dict[str, bytes]) -> None:
        """Appends a record for each key.

        Raises:
            RecordLimitError: A record does not fit the store's format. None
                was written.
        """


@attrs.frozen
class Topics:
    """The topics that the relay uses.

    Attributes:
        operator: Configurations, rollout orders and evacuations, written by
            operators.
        servers: Entries of backend servers, written by the servers.
        status: Status of rollouts, read by operators.
        phases: Phases of rollouts, written by relays.
        evidence: Counts of answers in rollouts, written by relays.
        hosts: Entries of the relays, written by themselves.
        quarantine: Requests that are refused because servers crash when they
            run them, by fingerprint; written by relays.
    """

    operator: KeyedTopic
    servers: KeyedTopic
    status: KeyedTopic
    phases: KeyedTopic
    evidence: KeyedTopic
    hosts: KeyedTopic
    quarantine: KeyedTopic


class Codec(Protocol):
    """Decodes and encodes the records of a platform.

    Decoders raise ``errors.CodecError`` for records that they cannot decode.
    """

    def configuration(
        self, record: topics.Record
    ) -> configuration.Configuration | None:
        """Returns the configuration in an operator's record, if it has one."""

    def order(self, record: topics.Record) -> phases_lib.Order | None:
        """Returns the rollout order in an operator's record, if it has one."""

    def evacuated_zone(self, record: topics.Record) -> str | None:
        """Returns the failure domain that an operator's record evacuates.

        It is evacuated as long as the record has a value. None for records of
        other kinds.
        """

    def server(self, record: topics.Record) -> server_lib.ServerEntry:
        """Returns the entry of a backend server."""

    def status(self, record: phases_lib.PhaseRecord) -> tuple[str, bytes]:
        """Returns key and value of the status record of a rollout."""


@attrs.frozen
class Platform:
    """One relay's connection to a platform.

    Attributes:
        topics: Topics of the platform's store.
        codec: Decodes and encodes their records.
        headers: Names of the platform's HTTP headers.
        not_run_statuses: HTTP statuses by which servers report that they did
            not run a request.
        store_era: Era of the store, as reported by its responses to this relay.
    """

    topics: Topics
    codec: Codec
    headers: header_names.HeaderNames
    not_run_statuses: frozenset[int]
    store_era: store_era_lib.StoreEra = attrs.field(
        factory=store_era_lib.StoreEra
    )
