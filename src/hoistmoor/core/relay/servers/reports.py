"""State that a backend server reports about itself with each response.

All reported fields are collected in one type, which is parsed from the response
headers in ``relay/front/server_reports``. The state derived from each field is
kept in a module of its own: ``loads``, ``limits``, ``departures`` and
``rests``.
"""

from __future__ import annotations

import enum

import attrs


class ReportField(enum.StrEnum):
    """A reported field whose value may be malformed."""

    LOAD = "load"
    LIMIT = "limit"
    LEAVING = "leaving"
    REST = "rest"
    BRITTLE = "brittle"


@attrs.frozen
class LoadReport:
    """Load of a server, as reported with a response.

    Attributes:
        running: Requests being processed.
        waiting: Requests in the queue.
        slots: Requests that the server processes concurrently.
        duration_factor: How long work takes on the server's machine at the
            moment, relative to usual (1.0); None if not reported. It changes
            many times a second.
    """

    running: int
    waiting: int
    slots: int
    duration_factor: float | None = None


@attrs.frozen
class ServerReport:
    """Everything a server reported about itself with one response.

    Attributes:
        load: Its load; None if absent or malformed.
        limit: Requests a second that it accepts from all hosts together; None
            if absent or malformed.
        is_leaving: Whether it is about to exit.
        rest: Seconds for which the receiving host should send it nothing; None
            if absent or malformed.
        brittle: Requests that it may turn away in a second before it falls
            over; None if it is not brittle, or the value is malformed.
        unreadable: Malformed values, by field.
        unsupported: Names, as received, of reported fields that are not
            supported.
    """

    load: LoadReport | None = None
    limit: float | None = None
    is_leaving: bool = False
    rest: float | None = None
    brittle: float | None = None
    unreadable: dict[ReportField, str] = attrs.field(factory=dict)
    unsupported: tuple[str, ...] = ()
