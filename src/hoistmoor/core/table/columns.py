"""Parsing and rendering of the cells of a sheet."""

from __future__ import annotations

from collections.abc import Callable
import enum
import functools
import math
from typing import Any, get_type_hints

import attrs

_BOOL_BY_TEXT = {"yes": True, "no": False}
_TEXT_BY_BOOL = {value: text for text, value in _BOOL_BY_TEXT.items()}


class CellError(ValueError):
    """The text of a cell is not valid for its column.

    Attributes:
        remedy: One sentence that says what the column accepts.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(problem)
        self.remedy = remedy


@attrs.frozen
class Column:
    """One column of a sheet.

    Attributes:
        name: Name in the header.
        parse: Converts the text of a cell to a value; raises CellError.
        render: Converts a value to the text of a cell.
        placeholder: Placeholder for a cell that fails to parse, so that the
            rest of the table can still be validated.
    """

    name: str
    parse: Callable[[str], Any]
    render: Callable[[Any], str]
    placeholder: Any


def columns_of(cls: type[attrs.AttrsInstance]) -> tuple[Column, ...]:
    """Returns the columns of a row class, in attribute order."""
    hints = get_type_hints(cls)
    return tuple(
        _make_column(field.name, hints[field.name])
        for field in attrs.fields(cls)
    )


def _make_column(name: str, hint: Any) -> Column:
    if isinstance(hint, type) and issubclass(hint, enum.StrEnum):
        parse_enum = functools.partial(_parse_enum, hint)
        return Column(name, parse_enum, str, next(iter(hint)))
    return Column(name, *_CODEC_BY_HINT[hint])


def _parse_str(text: str) -> str:
    if not text:
        raise CellError("the cell is empty", "Write a value.")
    return text


def _parse_int(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise CellError(
            f"{text!r} is not an integer", "Write an integer such as 250."
        ) from None


def _parse_float(text: str) -> float:
    remedy = "Write a number such as 0.95."
    try:
        number = float(text)
    except ValueError:
        raise CellError(f"{text!r} is not a number", remedy) from None
    if not math.isfinite(number):
        raise CellError(f"{text!r} is not a finite number", remedy)
    return number


def _parse_bool(text: str) -> bool:
    try:
        return _BOOL_BY_TEXT[text.lower()]
    except KeyError:
        raise CellError(
            f"{text!r} is neither yes nor no", "Write yes or no."
        ) from None


def _parse_enum(cls: type[enum.StrEnum], text: str) -> enum.StrEnum:
    try:
        return cls(text.lower())
    except ValueError:
        choices = ", ".join(cls)
        raise CellError(
            f"{text!r} is not a known value", f"Write one of: {choices}."
        ) from None


def _parse_words(text: str) -> tuple[str, ...]:
    return tuple(text.split())


_CODEC_BY_HINT: dict[Any, tuple[Any, Any, Any]] = {
    str: (_parse_str, str, ""),
    int: (_parse_int, str, 1),
    float: (_parse_float, repr, 1.0),
    bool: (_parse_bool, _TEXT_BY_BOOL.__getitem__, False),
    tuple[str, ...]: (_parse_words, " ".join, ()),
}
