"""Messages between relays, sent as JSON over HTTP."""

from __future__ import annotations

import math

import attrs

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.beliefs import topics as topics_lib
from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import demand_totals
from hoistmoor.core.relay.servers import limits as limits_lib
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.relay import records
from hoistmoor.utils import addresses

MAX_NAME = 256  # Characters of the name of a host or a failure domain.


@attrs.frozen
class TopicCopy:
    """The copy of one topic in a response.

    Attributes:
        batch: Records that the requesting host lacks.
        after_outage: Seconds since the store became available again to the
            responding host.
        age: Seconds since the topic was known to be current there.
    """

    batch: topics_lib.Batch
    after_outage: float
    age: float


@attrs.frozen
class StateChanges:
    """State changes that one host has not sent to another yet.

    Attributes:
        run_name: Incarnation of the sending host, to which the serials belong.
        suspects: Requests that are suspected of crashing servers, oldest
            change first; may be limited to a part.
        departures: Seconds since each leaving server announced it, by the
            identity of the server's incarnation; may be limited to a part.
        parts: Evidence about prompt parts; may be limited to a part.
        until: Serial of the newest change that is included.
        heard: Serial of the receiving host's incarnation up to which the
            sender has all changes.
    """

    run_name: str = ""
    suspects: tuple[suspect_state.Suspect, ...] = ()
    departures: dict[str, float] = attrs.field(factory=dict)
    parts: crashing_parts.PartChanges = attrs.field(
        factory=crashing_parts.PartChanges
    )
    until: int = 0
    heard: int = 0


@attrs.frozen
class CopyRequest:
    """A request for changed records, with the state of the requesting host.

    Attributes:
        places: Position of the first record to return, by topic; None for all
            records.
        host: Name of the requesting host.
        work: Outstanding work by server, of the requesting host and of those
            that copy from it.
        evidence: Answer counts of these hosts in the active rollouts.
        doubts: Numbers of rollout orders whose targets are considered faulty.
        order_ages: Seconds since each rollout order was first seen, by its
            number.
        news: State changes that the other host lacks.
        limits: Limits that servers last reported.
        era: Newest era of the store that the requesting host knows.
        revision: Revision of its configuration; -1 for none.
        configuration: The record of that configuration, if the other host
            last had an older one.
        demand: Other demand of the requesting host and of those that copy
            from it.
    """

    places: dict[str, topics_lib.Place | None]
    host: str = ""
    work: outstanding.WorkByServer = attrs.field(factory=dict)
    evidence: tuple[evidence_lib.Evidence, ...] = ()
    doubts: tuple[int, ...] = ()
    order_ages: dict[int, float] = attrs.field(factory=dict)
    news: StateChanges = attrs.field(factory=StateChanges)
    limits: dict[str, limits_lib.GossipedLimit] = attrs.field(factory=dict)
    era: int = 0
    revision: int = -1
    configuration: topics_lib.Record | None = None
    demand: demand_totals.DemandTotals = attrs.field(
        factory=demand_totals.DemandTotals
    )


@attrs.frozen
class CopyAnswer:
    """A response with changed records and the state of the responding host.

    Attributes:
        depth: Number of hosts between the responding host and the store.
        topics: Copies by topic name; topics that were never read are left out.
        work: Outstanding work by server, of all other hosts known there.
        doubts: Numbers of rollout orders whose targets are considered faulty.
        order_ages: Seconds since each rollout order was first seen, by its
            number.
        news: State changes that the requesting host lacks.
        limits: Limits that servers last reported.
        era: Newest era of the store that the responding host knows.
        revision: Revision of its configuration; -1 for none.
        configuration: The record of that configuration, if the requesting
            host has an older one and no topic copy includes it.
        demand: Other demand of all other hosts known there.
    """

    depth: int
    topics: dict[str, TopicCopy]
    work: outstanding.WorkByServer = attrs.field(factory=dict)
    doubts: tuple[int, ...] = ()
    order_ages: dict[int, float] = attrs.field(factory=dict)
    news: StateChanges = attrs.field(factory=StateChanges)
    limits: dict[str, limits_lib.GossipedLimit] = attrs.field(factory=dict)
    era: int = 0
    revision: int = -1
    configuration: topics_lib.Record | None = None
    demand: demand_totals.DemandTotals = attrs.field(
        factory=demand_totals.DemandTotals
    )

    def age_of(self, name: str) -> float:
        """Returns the age of a topic in seconds; infinite if it is missing."""
        return self.topics[name].age if name in self.topics else math.inf


def encode(message: CopyRequest | CopyAnswer | replication.Host) -> bytes:
    """Encodes a message."""
    return records.encode(message)


def decode_request(data: bytes) -> CopyRequest:
    """Decodes a request; raises ``ValueError`` if it is malformed."""
    return records.decode(data, CopyRequest)


def decode_answer(data: bytes) -> CopyAnswer:
    """Decodes a response; raises ``ValueError`` if it is malformed."""
    return records.decode(data, CopyAnswer)


def decode_host(key: str, data: bytes) -> replication.Host:
    """Decodes a host's entry; raises ``ValueError`` if it is malformed.

    Args:
        key: Key of the entry, which is the host's name.
        data: Value of the entry.
    """
    host = records.decode(data, replication.Host)
    if host.name != key:
        raise ValueError(f"not a Host: it names {host.name[:MAX_NAME]!r}")
    if len(host.zone) > MAX_NAME:
        raise ValueError("not a Host: the name of its failure domain is long")
    try:
        addresses.parse(host.address)
    except errors.ConfigurationError as error:
        raise ValueError(f"not a Host: {error}") from error
    return host
