"""Records that relays write and messages that they send, as JSON."""

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

# Values kept compressed: a host sends the same few to all that ask it. A
# configuration of 50 routes has some 20 KB, and links carry 0.6 to 1.2 MB/s.
PACKED_VALUES = 64

_T = TypeVar("_T")


@functools.lru_cache(maxsize=PACKED_VALUES)
def _pack(value: bytes) -> str:
    return base64.b64encode(zlib.compress(value, level=1)).decode()


def _unpack(text: str, _: object) -> bytes:
    return zlib.decompress(base64.b64decode(text))


def _read_work(numbers: tuple[float, int], _: object) -> outstanding.ServerWork:
    work, requests = numbers
    return outstanding.ServerWork(float(work), int(requests))


def _read_limit(
    fields: tuple[float | None, int, float], _: object
) -> limits.LimitWord:
    rate, turn, age = fields
    known = None if rate is None else float(rate)
    return limits.LimitWord(known, int(turn), float(age))


def _read_place(numbers: tuple[int, int], _: object) -> topics.Place:
    era, offset = numbers
    return topics.Place(int(era), int(offset))


def _make_converter() -> cattrs.Converter:
    made = cattrs.Converter()
    # Two numbers a server: a thousand of them are told three times a second.
    made.register_unstructure_hook(outstanding.ServerWork, attrs.astuple)
    made.register_structure_hook(outstanding.ServerWork, _read_work)
    made.register_unstructure_hook(limits.LimitWord, attrs.astuple)
    made.register_structure_hook(limits.LimitWord, _read_limit)
    made.register_unstructure_hook(topics.Place, tuple)
    made.register_structure_hook(topics.Place, _read_place)
    made.register_unstructure_hook(bytes, _pack)
    made.register_structure_hook(bytes, _unpack)
    return made


_CONVERTER = _make_converter()


def encode(record: Any) -> bytes:
    """Returns the bytes of an ``attrs`` object."""
    return orjson.dumps(
        _CONVERTER.unstructure(record), option=orjson.OPT_NON_STR_KEYS
    )


def decode(data: bytes, kind: type[_T]) -> _T:
    """Returns the object that ``data`` holds.

    Raises:
        ValueError: The bytes hold no such object.
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
