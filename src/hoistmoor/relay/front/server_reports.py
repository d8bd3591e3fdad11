"""Reads what a backend server tells of itself with an answer.

A word that cannot be read counts as none, and is told apart from none, so
that it can be logged.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from hoistmoor.core.relay.servers import reports
from hoistmoor.relay.front import header_values

if TYPE_CHECKING:
    from multidict import MultiMapping

    from hoistmoor.relay.front import header_names

# Digits, with a fraction or none; no sign, no exponent, no word for infinity.
_DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}", re.ASCII)
_YES = re.compile("1")
RETRY_AFTER = "Retry-After"  # RFC 9110, 10.2.3; here in seconds, no date.
TURNED_AWAY = 503  # The status with which it asks for rest.
LONGEST_SHOWN = 40  # Characters of an unreadable value that are kept.


def parse_report(
    status: int, headers: MultiMapping[str], names: header_names.HeaderNames
) -> reports.ServerReport:
    """Returns what a server tells of itself with an answer.

    Args:
        status: HTTP status code of the answer.
        headers: Its headers.
        names: What headers are called.
    """
    unreadable: dict[reports.Word, str] = {}
    limit = _value_of(headers, names.limit)
    leaving = _value_of(headers, names.leaving)
    rest = _value_of(headers, RETRY_AFTER) if status == TURNED_AWAY else None
    for word, text, form in (
        (reports.Word.LIMIT, limit, _DECIMAL),
        (reports.Word.LEAVING, leaving, _YES),
        (reports.Word.REST, rest, _DECIMAL),
    ):
        if text is not None and form.fullmatch(text) is None:
            unreadable[word] = text[:LONGEST_SHOWN] or "nothing"
    return reports.ServerReport(
        parse_load(headers.get(names.load)),
        _number(limit, reports.Word.LIMIT in unreadable),
        leaving is not None and reports.Word.LEAVING not in unreadable,
        _number(rest, reports.Word.REST in unreadable),
        unreadable,
        tuple(name for name in headers if names.is_unread(name)),
    )


def _value_of(headers: MultiMapping[str], name: str) -> str | None:
    """Returns a header's value; of several that differ, all."""
    values = dict.fromkeys(headers.getall(name, ()))
    return ", ".join(values) if values else None


def _number(text: str | None, is_unreadable: bool) -> float | None:
    return None if text is None or is_unreadable else float(text)


def parse_load(text: str | None) -> reports.LoadReport | None:
    """Returns a load report, or None if there is none that can be read."""
    numbers = header_values.parse_numbers(text)
    if len(numbers) != 3:
        return None
    running, waiting, slots = numbers
    return reports.LoadReport(running, waiting, slots)
