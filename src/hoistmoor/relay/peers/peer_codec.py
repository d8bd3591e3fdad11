"""What relays say to one another, as JSON over HTTP."""

from __future__ import annotations

import math

import attrs

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import mirror
from hoistmoor.core.relay.beliefs import topics as topics_lib
from hoistmoor.core.relay.servers import limits as limits_lib
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.relay import records
from hoistmoor.utils import addresses


@attrs.frozen
class TopicCopy:
    """One topic in an answer.

    Attributes:
        batch: What is new.
        after_outage: Seconds since the store was heard again there.
        age: Seconds since the topic was known to be current there.
    """

    batch: topics_lib.Batch
    after_outage: float
    age: float


@attrs.frozen
class News:
    """What one host has not told another yet; each change is told once.

    Attributes:
        run_name: Run of the host that tells; serials are its own.
        suspects: What is held against requests, oldest change first; some may
            be left for the next time.
        departures: Seconds since the word of each start of a server that
            leaves, by its identity, likewise.
        until: Serial up to which they go.
        heard: Serial of the other host's run up to which it was heard.
    """

    run_name: str = ""
    suspects: tuple[suspect_state.Suspect, ...] = ()
    departures: dict[str, float] = attrs.field(factory=dict)
    until: int = 0
    heard: int = 0


@attrs.frozen
class CopyRequest:
    """Asks for what is new, and tells what the asking host has under way.

    Attributes:
        places: Where to read on, by topic; None for everything.
        host: Name of the asking host.
        work: Work by server, of it and of the hosts that ask it.
        evidence: What these have counted in the roll-outs under way.
        doubts: Numbers of roll-out orders whose targets are taken for bad.
        order_ages: Seconds since each roll-out order was seen, by its number.
        news: What changed since that host was last told.
        limits: What servers last said of their limits.
        era: Newest history of the store that the host has heard of.
        revision: Of the configuration in force there; -1 for none.
        configuration: The record that holds it, where the asked host had an
            older one.
    """

    places: dict[str, topics_lib.Place | None]
    host: str = ""
    work: outstanding.WorkByServer = attrs.field(factory=dict)
    evidence: tuple[evidence_lib.Evidence, ...] = ()
    doubts: tuple[int, ...] = ()
    order_ages: dict[int, float] = attrs.field(factory=dict)
    news: News = attrs.field(factory=News)
    limits: dict[str, limits_lib.LimitWord] = attrs.field(factory=dict)
    era: int = 0
    revision: int = -1
    configuration: topics_lib.Record | None = None


@attrs.frozen
class CopyAnswer:
    """What is new.

    Attributes:
        depth: Hosts between that one and the store.
        topics: By name; topics that were not read yet are left out.
        work: Work by server, of all other hosts that are known there.
        doubts: Numbers of roll-out orders whose targets are taken for bad.
        order_ages: Seconds since each roll-out order was seen, by its number.
        news: What changed since that host was last told.
        limits: What servers last said of their limits.
        era: Newest history of the store that the host has heard of.
        revision: Of the configuration in force there; -1 for none.
        configuration: The record that holds it, where the asking host has an
            older one that no topic brings up to date.
    """

    depth: int
    topics: dict[str, TopicCopy]
    work: outstanding.WorkByServer = attrs.field(factory=dict)
    doubts: tuple[int, ...] = ()
    order_ages: dict[int, float] = attrs.field(factory=dict)
    news: News = attrs.field(factory=News)
    limits: dict[str, limits_lib.LimitWord] = attrs.field(factory=dict)
    era: int = 0
    revision: int = -1
    configuration: topics_lib.Record | None = None

    def age_of(self, name: str) -> float:
        """Returns the age of a topic in seconds; infinite without a copy."""
        return self.topics[name].age if name in self.topics else math.inf


def encode(message: CopyRequest | CopyAnswer | mirror.Host) -> bytes:
    """Returns a message's bytes."""
    return records.encode(message)


def decode_request(data: bytes) -> CopyRequest:
    """Returns a request; raises ``ValueError`` for other bytes."""
    return records.decode(data, CopyRequest)


def decode_answer(data: bytes) -> CopyAnswer:
    """Returns an answer; raises ``ValueError`` for other bytes."""
    return records.decode(data, CopyAnswer)


def decode_host(data: bytes) -> mirror.Host:
    """Returns a host's entry; raises ``ValueError`` for other bytes."""
    host = records.decode(data, mirror.Host)
    try:
        addresses.parse(host.address)
    except errors.ConfigurationError as error:
        raise ValueError(f"not a Host: {error}") from error
    return host
