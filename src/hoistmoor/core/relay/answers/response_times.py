"""Moving averages of response times, by route and model."""

from __future__ import annotations

import enum

import attrs

SMOOTHING_FACTOR = 0.05  # Weight of the newest response in the averages.
MIN_RESPONSES = 5  # Responses needed before the averages are used.


class AttemptOutcome(enum.Enum):
    """Result of an attempt, as it reflects on the backend server."""

    WELL = enum.auto()
    FAILED = enum.auto()
    SILENT = enum.auto()  # No byte of a response arrived in time.
    FULL = enum.auto()  # The server declined for lack of capacity.
    UNREACHABLE = enum.auto()  # The server accepted no connection.
    REPLACED = enum.auto()  # A different server answered at the address.
    # Another host was asked to forward the request, and did not send it.
    NOT_FORWARDED = enum.auto()
    LEFT = enum.auto()  # Cancelled by this host; says nothing about the server.


@attrs.frozen
class ResponseTiming:
    """Timing of one response.

    Attributes:
        model: Model that responded, or empty.
        first: Seconds to the response headers, or to the first event of a
            stream.
        total: Seconds to the end of the response.
        events: Number of events of the stream; 0 for a plain response.
        failed: Whether the response reports a failure of the server.
        is_whole: Whether the response is complete. If not, ``total`` is the
            time at which the attempt was cancelled.
        is_silent: Whether no part of the response arrived.
    """

    model: str
    first: float
    total: float
    events: int = 0
    failed: bool = False
    is_whole: bool = True
    is_silent: bool = False


@attrs.define
class _Averages:
    answers: int = 0
    first: float = 0.0
    event_interval: float = 0.0


class ResponseTimes:
    """Moving averages of response times."""

    def __init__(self) -> None:
        self._averages: dict[tuple[str, str], _Averages] = {}

    def record(self, key: tuple[str, str], measured: ResponseTiming) -> None:
        """Adds a response to the averages of its route and model."""
        averages = self._averages.setdefault(key, _Averages())
        averages.answers += 1
        step = max(SMOOTHING_FACTOR, 1.0 / averages.answers)
        averages.first += step * (measured.first - averages.first)
        if not measured.is_whole:
            return
        interval = (measured.total - measured.first) / max(1, measured.events)
        averages.event_interval += step * (interval - averages.event_interval)

    def usual_duration(self, key: tuple[str, str]) -> float | None:
        """Returns the average seconds of a plain response; None if unknown."""
        averages = self._averages.get(key)
        if averages is None or averages.answers < MIN_RESPONSES:
            return None
        return averages.first + averages.event_interval

    def is_slow(
        self, key: tuple[str, str], measured: ResponseTiming, factor: float
    ) -> bool:
        """Returns whether a response exceeded ``factor`` times the average."""
        if measured.is_silent:
            return True
        averages = self._averages.get(key)
        if averages is None or averages.answers < MIN_RESPONSES:
            return False
        expected = averages.first + averages.event_interval * measured.events
        return measured.total > factor * expected
