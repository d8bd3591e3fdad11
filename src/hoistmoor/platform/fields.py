"""Validates the fields of records from untrusted writers.

A record with a missing required field or a field of the wrong type is rejected
as a whole. Unknown fields are ignored for forward compatibility.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
import math
from typing import Any

import attrs

from hoistmoor.core import errors
from hoistmoor.utils import addresses

# In characters; names on the platform are about a tenth as long.
MAX_TEXT_LENGTH = 256
# Far above the capacity of any server; larger values are invalid.
MAX_SLOTS = 1_000_000


@attrs.frozen
class Field:
    """Validation rule for one field of a record.

    Attributes:
        is_valid: Returns whether a value is acceptable.
        expected: Description of acceptable values, for error messages.
        is_required: Whether a record without the field is rejected.
    """

    is_valid: Callable[[Any], bool]
    expected: str
    is_required: bool = True


class FieldError(ValueError):
    """A required field is missing, or a field has an invalid value."""


def validate(fields: Mapping[str, Any], table: Mapping[str, Field]) -> None:
    """Validates the fields of a record.

    Args:
        fields: Decoded fields.
        table: Validation rules by field name.

    Raises:
        FieldError: A field is missing or invalid; the message names it.
    """
    for name, field in table.items():
        if name not in fields:
            if field.is_required:
                raise FieldError(f"{name} is missing")
        elif not field.is_valid(fields[name]):
            raise FieldError(f"{name} is not {field.expected}")


def is_text(value: Any) -> bool:
    """Returns whether a value is a non-empty printable string."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_TEXT_LENGTH
        and value.isprintable()
    )


def is_non_negative_int(value: Any) -> bool:
    """Returns whether a value is a non-negative integer; rejects booleans."""
    return type(value) is int and value >= 0


def is_non_negative_number(value: Any) -> bool:
    """Returns whether a value is a finite non-negative number."""
    return type(value) in (int, float) and 0 <= value < math.inf


def is_address(value: Any) -> bool:
    """Returns whether a value is a numeric IPv4 ``ip:port``."""
    if not isinstance(value, str) or "[" in value:
        return False
    try:
        address = addresses.parse(value)
    except errors.ConfigurationError:
        return False
    return ":" not in address.ip and address.port > 0


def _is_slot_count(value: Any) -> bool:
    return is_non_negative_int(value) and 0 < value <= MAX_SLOTS


def _is_model_list(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(each, dict) and is_text(each.get("name")) for each in value
    )


def _one_of(*choices: str) -> Field:
    return Field(
        lambda value: isinstance(value, str) and value in choices,
        " or ".join(choices),
    )


TEXT = Field(is_text, "a non-empty printable string")
WHOLE = Field(is_non_negative_int, "a non-negative integer")
AMOUNT = Field(is_non_negative_number, "a non-negative number")

SERVER = {
    "service": TEXT,
    "address": Field(is_address, "ip:port"),
    "zone": TEXT,
    "version": TEXT,
    "slots": Field(_is_slot_count, "a positive slot count"),
    "state": _one_of("ready", "draining"),
    "warmup_left_ms": AMOUNT,
    "sequence": WHOLE,
    # Start time in Unix milliseconds; optional, since the servers of some
    # deployments do not report it.
    "born": Field(
        is_non_negative_int, "a non-negative integer", is_required=False
    ),
    "models": Field(_is_model_list, "a list of models", is_required=False),
}
ORDER = {"service": TEXT, "target": TEXT, "duration_s": AMOUNT}
