"""JSON encoding of the relays' stored records and peer messages."""

from __future__ import annotations

import base64
import functools
from typing import Any, TypeVar
import zlib

import attrs
import cattrs
import orjson

from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.versions import durations

# Compressed values to cache: a host sends the same few values to every peer.
# A configuration of 50 routes has about 20 KB, and links carry 0.6 to 1.2 MB/s.
COMPRESSION_CACHE_SIZE = 64

_T = TypeVar("_T")


@functools.lru_cache(maxsize=COMPRESSION_CACHE_SIZE)
def _compress(value: bytes) -> str:
    return base64.b64encode(zlib.compress(value, level=1)).decode()


def _decompress(text: str, _: object) -> bytes:
    return zlib.decompress(base64.b64decode(text))


def _structure_work(
    numbers: tuple[float, int], _: object
) -> outstanding.ServerWork:
    work, requests = numbers
    return outstanding.ServerWork(float(work), int(requests))


def _structure_limit(
    fields: tuple[float | None, int, float], _: object
) -> limits.GossipedLimit:
    rate, turn, age = fields
    known = None if rate is None else float(rate)
    return limits.GossipedLimit(known, int(turn), float(age))


def _structure_durations(
    counts: tuple[dict[int, int], dict[int, int]], _: object
) -> durations.Durations:
    reached, unreached = (
        {int(bucket): int(count) for bucket, count in each.items()}
        for each in counts
    )
    return durations.Durations(reached, unreached)


def _structure_place(numbers: tuple[int, int], _: object) -> topics.Place:
    era, offset = numbers
    return topics.Place(int(era), int(offset))


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    # Encoded as arrays to save bandwidth: hosts exchange a thousand servers'
    # entries, or the durations of hundreds of hosts, three times a second.
    converter.register_unstructure_hook(outstanding.ServerWork, attrs.astuple)
    converter.register_structure_hook(outstanding.ServerWork, _structure_work)
    converter.register_unstructure_hook(limits.GossipedLimit, attrs.astuple)
    converter.register_structure_hook(limits.GossipedLimit, _structure_limit)
    converter.register_unstructure_hook(
        durations.Durations, lambda each: (each.reached, each.unreached)
    )
    converter.register_structure_hook(durations.Durations, _structure_durations)
    converter.register_unstructure_hook(topics.Place, tuple)
    converter.register_structure_hook(topics.Place, _structure_place)
    converter.register_unstructure_hook(bytes, _compress)
    converter.register_structure_hook(bytes, _decompress)
    return converter


_CONVERTER = _make_converter()


def encode(record: Any) -> bytes:
    """Serializes an ``attrs`` object."""
    return orjson.dumps(
        _CONVERTER.unstructure(record), option=orjson.OPT_NON_STR_KEYS
    )


def decode(data: bytes, kind: type[_T]) -> _T:
    """Deserializes an object of class ``kind``.

    Raises:
        ValueError: The bytes do not encode such an object.
    """
    try:
        return _CONVERTER.structure(orjson.loads(data), kind)
    except (
        cattrs.BaseValidationError,
        TypeError,
        KeyError,
        zlib.error,
    ) as error:
        raise ValueError(f"not a {kind.__name__}: {error!r}") from error
