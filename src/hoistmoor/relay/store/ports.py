"""What the relay needs of a platform: keyed topics, and how to read them."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core.relay.beliefs import history as history_lib
from hoistmoor.relay.front import header_names

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.core.relay.versions import phases as phases_lib


class KeyedTopic(Protocol):
    """A topic whose newest record of each key is kept for ever.

    Calls raise subclasses of ``errors.PlatformError``.
    """

    async def newest(self) -> topics.Batch:
        """Returns the newest record of each key."""

    async def changes(self, place: topics.Place, wait: float) -> topics.Batch:
        """Returns the records from ``place`` on; waits for the first.

        Raises:
            LogOffsetExpiredError: They are not kept any more, or not there.
            LogHistoryChangedError: The store has come back from an older copy
                since that place was known.
        """

    async def put(
        self, key: str, value: bytes, expected: topics.Place | None = None
    ) -> topics.Place | None:
        """Adds a record.

        Args:
            key: What it is about.
            value: Its content; empty to drop the key.
            expected: Add it only if the topic ends there.

        Returns:
            The place after it, or None if the topic had gone on, or may have:
            a place of an older history says nothing.
        """

    async def put_all(self, records: dict[str, bytes]) -> None:
        """Adds a record for each key, all of a call or none."""


@attrs.frozen
class Topics:
    """The topics that the relay uses.

    Attributes:
        operator: Configuration and orders, written by operators.
        servers: Entries of backend servers, written by themselves.
        status: What operators read of roll-outs.
        phases: Phases of roll-outs; the relay's own.
        evidence: Counts of answers in roll-outs; the relay's own.
        hosts: Entries of the relays themselves.
        quarantine: Requests that are refused as servers end when they run
            them, by fingerprint; the relay's own.
    """

    operator: KeyedTopic
    servers: KeyedTopic
    status: KeyedTopic
    phases: KeyedTopic
    evidence: KeyedTopic
    hosts: KeyedTopic
    quarantine: KeyedTopic


class Codec(Protocol):
    """Translates what a platform writes and reads.

    Decoders raise ``errors.CodecError`` for what they cannot read.
    """

    def configuration(
        self, record: topics.Record
    ) -> configuration.Configuration | None:
        """Returns the configuration that an operator's record holds, if so."""

    def order(self, record: topics.Record) -> phases_lib.Order | None:
        """Returns the roll-out order that an operator's record holds."""

    def evacuated_zone(self, record: topics.Record) -> str | None:
        """Returns the failure domain that an operator's record is about.

        It is evacuated as long as the record has a value. None if the record
        is about something else.
        """

    def server(self, record: topics.Record) -> server_lib.ServerEntry:
        """Returns a backend server's entry."""

    def status(self, record: phases_lib.PhaseRecord) -> tuple[str, bytes]:
        """Returns key and value of a roll-out's status."""


@attrs.frozen
class Platform:
    """One platform, as one relay sees it.

    Attributes:
        topics: Of its store.
        codec: Translates their records.
        headers: Names of headers.
        not_run_statuses: Statuses of servers that did not run a request.
        history: The store's history, from the answers to this relay's calls.
    """

    topics: Topics
    codec: Codec
    headers: header_names.HeaderNames
    not_run_statuses: frozenset[int]
    history: history_lib.StoreHistory = attrs.field(
        factory=history_lib.StoreHistory
    )
