"""How long answers usually take, by route and model."""

from __future__ import annotations

import enum

import attrs

STEP = 0.05  # Weight of the newest answer in the usual duration.
MIN_ANSWERS = 5  # Answers before a usual duration is believed.


class AttemptOutcome(enum.Enum):
    """How an attempt went, as far as its server is concerned."""

    WELL = enum.auto()
    FAILED = enum.auto()
    FULL = enum.auto()  # The server declined for want of room.
    UNREACHABLE = enum.auto()  # It took no connection.
    REPLACED = enum.auto()  # Another server answered at its address.
    LEFT = enum.auto()  # Given up here: it tells nothing of the server.


@attrs.frozen
class Measured:
    """Durations of one answer.

    Attributes:
        model: Model that answered, or empty.
        first: Seconds to the head of the answer, or to the first event.
        total: Seconds to its end.
        events: Events of the stream; 0 for a plain answer.
        failed: Whether the answer says that the server failed.
        is_whole: Whether it came to its end; if not, ``total`` is the time at
            which it was given up.
        is_silent: Whether it never began.
    """

    model: str
    first: float
    total: float
    events: int = 0
    failed: bool = False
    is_whole: bool = True
    is_silent: bool = False


@attrs.define
class _Usual:
    answers: int = 0
    first: float = 0.0
    pause: float = 0.0


class Paces:
    """Usual durations, as moving averages."""

    def __init__(self) -> None:
        self._usual: dict[tuple[str, str], _Usual] = {}

    def note(self, key: tuple[str, str], measured: Measured) -> None:
        """Takes an answer into the averages."""
        usual = self._usual.setdefault(key, _Usual())
        usual.answers += 1
        step = max(STEP, 1.0 / usual.answers)
        usual.first += step * (measured.first - usual.first)
        if not measured.is_whole:
            return
        pause = (measured.total - measured.first) / max(1, measured.events)
        usual.pause += step * (pause - usual.pause)

    def is_slow(
        self, key: tuple[str, str], measured: Measured, factor: float
    ) -> bool:
        """Returns whether an answer took ``factor`` times what is usual."""
        if measured.is_silent:
            return True
        usual = self._usual.get(key)
        if usual is None or usual.answers < MIN_ANSWERS:
            return False
        expected = usual.first + usual.pause * measured.events
        return measured.total > factor * expected
