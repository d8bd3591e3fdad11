"""Checks the fields of records that any program may have written.

A record is read whole or not at all: one that lacks a field, or has one of
another type, names nothing to be used. What is not listed here is ignored, so
that new fields may come.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
import math
from typing import Any

import attrs

from hoistmoor.core import errors
from hoistmoor.utils import addresses

LONGEST_TEXT = 256  # Characters; names on the platform have a tenth of them.
MOST_SLOTS = 1_000_000  # Far above any server; a larger number is no count.


@attrs.frozen
class Field:
    """One field of a record.

    Attributes:
        is_valid: Returns whether a value may stand there.
        expected: What may stand there, for people.
        is_required: Whether the record means nothing without it.
    """

    is_valid: Callable[[Any], bool]
    expected: str
    is_required: bool = True


class FieldError(ValueError):
    """A field is missing, or has a value that cannot stand there."""


def check(fields: Mapping[str, Any], table: Mapping[str, Field]) -> None:
    """Checks the fields of a record.

    Args:
        fields: As decoded.
        table: What may stand in each field, by its name.

    Raises:
        FieldError: One is missing or does not fit; names it.
    """
    for name, field in table.items():
        if name not in fields:
            if field.is_required:
                raise FieldError(f"{name} is missing")
        elif not field.is_valid(fields[name]):
            raise FieldError(f"{name} is not {field.expected}")


def is_text(value: Any) -> bool:
    """Returns whether a value is printable text and not empty."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= LONGEST_TEXT
        and value.isprintable()
    )


def is_whole(value: Any) -> bool:
    """Returns whether a value is a whole number, 0 or more."""
    return type(value) is int and value >= 0


def is_amount(value: Any) -> bool:
    """Returns whether a value is a finite number, 0 or more."""
    return type(value) in (int, float) and 0 <= value < math.inf


def is_address(value: Any) -> bool:
    """Returns whether a value is ``ip:port`` with a number for each."""
    if not isinstance(value, str) or "[" in value:
        return False
    try:
        address = addresses.parse(value)
    except errors.ConfigurationError:
        return False
    return ":" not in address.ip and address.port > 0


def _is_slots(value: Any) -> bool:
    return is_whole(value) and 0 < value <= MOST_SLOTS


def _is_models(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(each, dict) and is_text(each.get("name")) for each in value
    )


def _one_of(*words: str) -> Field:
    return Field(
        lambda value: isinstance(value, str) and value in words,
        " or ".join(words),
    )


TEXT = Field(is_text, "a text")
WHOLE = Field(is_whole, "a whole number")
AMOUNT = Field(is_amount, "a number")

SERVER = {
    "service": TEXT,
    "address": Field(is_address, "ip:port"),
    "zone": TEXT,
    "version": TEXT,
    "slots": Field(_is_slots, "a number of slots"),
    "state": _one_of("ready", "draining"),
    "warmup_left_ms": AMOUNT,
    "sequence": WHOLE,
    # Unix milliseconds. Deployments whose servers tell none are still served.
    "born": Field(is_whole, "a whole number", is_required=False),
    "models": Field(_is_models, "a list of models", is_required=False),
}
ORDER = {"service": TEXT, "target": TEXT, "duration_s": AMOUNT}
