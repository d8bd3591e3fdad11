"""What relays say to one another, as JSON over HTTP."""

from __future__ import annotations

import base64
import functools
import math
from typing import TypeVar
import zlib

import attrs
import cattrs
import orjson

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import mirror
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.utils import addresses

# Values kept compressed: a host sends the same few to all that ask it. A
# configuration of 50 routes has some 20 KB, and links carry 0.6 to 1.2 MB/s.
PACKED_VALUES = 64

_T = TypeVar("_T")


@attrs.frozen
class TopicCopy:
    """One topic in an answer.

    Attributes:
        batch: What is new.
        after_outage: Seconds since the store was heard again there.
        age: Seconds since the topic was known to be current there.
    """

    batch: topics.Batch
    after_outage: float
    age: float


@attrs.frozen
class CopyRequest:
    """Asks for what is new, and tells what the asking host has under way.

    Attributes:
        offsets: Where to read on, by topic; None for everything.
        host: Name of the asking host.
        work: Work by server, of it and of the hosts that ask it.
        evidence: What these have counted in the roll-outs under way.
        doubts: Numbers of roll-out orders whose targets are taken for bad.
        order_ages: Seconds since each roll-out order was seen, by its number.
    """

    offsets: dict[str, int | None]
    host: str = ""
    work: outstanding.WorkByServer = attrs.field(factory=dict)
    evidence: tuple[evidence_lib.Evidence, ...] = ()
    doubts: tuple[int, ...] = ()
    order_ages: dict[int, float] = attrs.field(factory=dict)


@attrs.frozen
class CopyAnswer:
    """What is new.

    Attributes:
        depth: Hosts between that one and the store.
        topics: By name; topics that were not read yet are left out.
        work: Work by server, of all other hosts that are known there.
        doubts: Numbers of roll-out orders whose targets are taken for bad.
        order_ages: Seconds since each roll-out order was seen, by its number.
    """

    depth: int
    topics: dict[str, TopicCopy]
    work: outstanding.WorkByServer = attrs.field(factory=dict)
    doubts: tuple[int, ...] = ()
    order_ages: dict[int, float] = attrs.field(factory=dict)

    def age(self, names: frozenset[str]) -> float:
        """Returns the age of the oldest of some topics, in seconds."""
        ages = [
            self.topics[name].age if name in self.topics else math.inf
            for name in names
        ]
        return max(ages)


@functools.lru_cache(maxsize=PACKED_VALUES)
def _pack(value: bytes) -> str:
    return base64.b64encode(zlib.compress(value, level=1)).decode()


def _unpack(text: str, _: object) -> bytes:
    return zlib.decompress(base64.b64decode(text))


def _read_work(numbers: tuple[float, int], _: object) -> outstanding.ServerWork:
    work, requests = numbers
    return outstanding.ServerWork(float(work), int(requests))


def _make_converter() -> cattrs.Converter:
    made = cattrs.Converter()
    # Two numbers a server: a thousand of them are told three times a second.
    made.register_unstructure_hook(outstanding.ServerWork, attrs.astuple)
    made.register_structure_hook(outstanding.ServerWork, _read_work)
    made.register_unstructure_hook(bytes, _pack)
    made.register_structure_hook(bytes, _unpack)
    return made


_CONVERTER = _make_converter()


def encode(message: CopyRequest | CopyAnswer | mirror.Host) -> bytes:
    """Returns a message's bytes."""
    return orjson.dumps(
        _CONVERTER.unstructure(message), option=orjson.OPT_NON_STR_KEYS
    )


def decode_request(data: bytes) -> CopyRequest:
    """Returns a request; raises ``ValueError`` for other bytes."""
    return _decode(data, CopyRequest)


def decode_answer(data: bytes) -> CopyAnswer:
    """Returns an answer; raises ``ValueError`` for other bytes."""
    return _decode(data, CopyAnswer)


def decode_host(data: bytes) -> mirror.Host:
    """Returns a host's entry; raises ``ValueError`` for other bytes."""
    host = _decode(data, mirror.Host)
    try:
        addresses.parse(host.address)
    except errors.ConfigurationError as error:
        raise ValueError(f"not a Host: {error}") from error
    return host


def _decode(data: bytes, kind: type[_T]) -> _T:
    try:
        return _CONVERTER.structure(orjson.loads(data), kind)
    except (
        cattrs.BaseValidationError,
        TypeError,
        KeyError,
        zlib.error,
    ) as error:
        raise ValueError(f"not a {kind.__name__}: {error!r}") from error
