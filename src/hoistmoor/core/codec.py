"""JSON encoding of the records that hosts append to the log and exchange.

A record is an attrs class registered under a short type name. It is encoded as
a JSON object with the fields of the record and a ``type`` member.
"""

from __future__ import annotations

from typing import Any, TypeVar

from cattrs.preconf import orjson as orjson_preconf
import orjson

from hoistmoor.core import errors

_TYPE_FIELD = "type"
_T = TypeVar("_T")

converter = orjson_preconf.make_converter(forbid_extra_keys=False)

_name_by_class: dict[type[Any], str] = {}
_class_by_name: dict[str, type[Any]] = {}


def register(name: str, cls: type[Any]) -> None:
    """Registers a record class under a type name.

    Args:
        name: Type name of the record on the wire. It must never change,
            because stored records refer to it.
        cls: An attrs class.
    """
    _name_by_class[cls] = name
    _class_by_name[name] = cls


def encode(record: object) -> bytes:
    """Returns the JSON encoding of a registered record."""
    fields = converter.unstructure(record)
    fields[_TYPE_FIELD] = _name_by_class[type(record)]
    return orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)


def decode(payload: bytes) -> Any:
    """Returns the record encoded in ``payload``.

    Raises:
        CodecError: The payload is not valid JSON, has no registered type or
            lacks a required field. Log readers skip and count such records.
    """
    try:
        fields = orjson.loads(payload)
        cls = _class_by_name[fields.pop(_TYPE_FIELD)]
        return converter.structure(fields, cls)
    except Exception as error:
        raise errors.CodecError(
            f"cannot decode {payload[:60]!r}: {error!r}",
            "Check which program and version wrote the record.",
        ) from error


def structure(fields: Any, cls: type[_T]) -> _T:
    """Converts ``fields`` to an instance of ``cls``."""
    return converter.structure(fields, cls)
