"""Parses the report about itself that a backend server adds to a response.

A malformed value is treated as missing, but recorded so that it can be logged.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from hoistmoor.core.relay.links import notices
from hoistmoor.core.relay.servers import reports

if TYPE_CHECKING:
    from multidict import MultiMapping

    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay.front import header_names

# Digits with an optional fraction; no sign, exponent, infinity or NaN.
_DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}", re.ASCII)
_YES = re.compile("1")
# Running and waiting requests, slots, and, from some servers, the percentage of
# the usual time that work takes at the moment.
_LOAD = re.compile(r"\d{1,9}( *, *\d{1,9}){2,3}", re.ASCII)
_PERCENT = 100.0
# RFC 9110, section 10.2.3; only seconds are supported, not dates.
RETRY_AFTER = "Retry-After"
BACKOFF_STATUS = 503  # Status with which a server requests a back-off.
MAX_LOGGED_CHARACTERS = 40  # Characters of a malformed value that are kept.


def parse_report(
    status: int, headers: MultiMapping[str], names: header_names.HeaderNames
) -> reports.ServerReport:
    """Returns the report in a response.

    Args:
        status: HTTP status code of the response.
        headers: Headers of the response.
        names: Header names of the platform.
    """
    unreadable: dict[reports.ReportField, str] = {}
    load = _value_of(headers, names.load)
    limit = _value_of(headers, names.limit)
    leaving = _value_of(headers, names.leaving)
    brittle = _value_of(headers, names.brittle)
    rest = _value_of(headers, RETRY_AFTER) if status == BACKOFF_STATUS else None
    for word, text, form in (
        (reports.ReportField.LOAD, load, _LOAD),
        (reports.ReportField.LIMIT, limit, _DECIMAL),
        (reports.ReportField.LEAVING, leaving, _YES),
        (reports.ReportField.REST, rest, _DECIMAL),
        (reports.ReportField.BRITTLE, brittle, _DECIMAL),
    ):
        if text is not None and form.fullmatch(text) is None:
            unreadable[word] = text[:MAX_LOGGED_CHARACTERS] or "nothing"
    return reports.ServerReport(
        parse_load(load),
        _to_number(limit, reports.ReportField.LIMIT in unreadable),
        leaving is not None and reports.ReportField.LEAVING not in unreadable,
        _to_number(rest, reports.ReportField.REST in unreadable),
        _to_number(brittle, reports.ReportField.BRITTLE in unreadable),
        unreadable,
        tuple(name for name in headers if names.is_unsupported(name)),
    )


def announcement_headers(
    server: server_lib.ServerState, names: header_names.HeaderNames, now: float
) -> dict[str, str]:
    """Returns the headers in which a server has announced what holds now.

    Args:
        server: The server.
        names: Header names of the platform.
        now: Monotonic time.
    """
    known = notices.active(server, now)
    values = {
        notices.Notice.REST: (RETRY_AFTER, server.rest.remaining(now)),
        notices.Notice.LEAVING: (names.leaving, 1),
        notices.Notice.LIMIT: (names.limit, server.limit.rate),
        notices.Notice.BRITTLE: (names.brittle, server.brittle.tolerance),
    }
    return {
        name: format(value, "d" if isinstance(value, int) else ".6f")
        for notice, (name, value) in values.items()
        if notice in known and value is not None
    }


def _value_of(headers: MultiMapping[str], name: str) -> str | None:
    """Returns a header's value; joins repeated values that differ."""
    values = dict.fromkeys(headers.getall(name, ()))
    return ", ".join(values) if values else None


def _to_number(text: str | None, is_unreadable: bool) -> float | None:
    return None if text is None or is_unreadable else float(text)


def parse_load(text: str | None) -> reports.LoadReport | None:
    """Returns a load report, or None if it is missing or malformed."""
    if text is None or _LOAD.fullmatch(text) is None:
        return None
    running, waiting, slots, *rest = map(int, text.split(","))
    # No work takes no time: a factor of 0 says nothing.
    factor = rest[0] / _PERCENT if rest and rest[0] else None
    return reports.LoadReport(running, waiting, slots, factor)
