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
    from collections.abc import Mapping

    from hoistmoor.relay.front import header_names

# Digits, with a fraction or none; no sign, no exponent, no word for infinity.
_DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}")
LONGEST_SHOWN = 40  # Characters of an unreadable value that are kept.


def parse_report(
    headers: Mapping[str, str], names: header_names.HeaderNames
) -> reports.ServerReport:
    """Returns what a server tells of itself with an answer."""
    load = parse_load(headers.get(names.load))
    text = headers.get(names.limit)
    if text is None:
        return reports.ServerReport(load)
    if _DECIMAL.fullmatch(text) is None:
        shown = text[:LONGEST_SHOWN] or "nothing"
        return reports.ServerReport(
            load, unreadable={reports.Word.LIMIT: shown}
        )
    return reports.ServerReport(load, float(text))


def parse_load(text: str | None) -> reports.LoadReport | None:
    """Returns a load report, or None if there is none that can be read."""
    numbers = header_values.parse_numbers(text)
    if len(numbers) != 3:
        return None
    running, waiting, slots = numbers
    return reports.LoadReport(running, waiting, slots)
