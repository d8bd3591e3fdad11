"""Runs: what one backend server has of this host's requests, and how far.

When a server ends, its runs are what it may have ended of. A run that was
given up here may still go on there for a moment, so it counts a little longer.
"""

from __future__ import annotations

import collections
import enum

import attrs

# Seconds after which a run that was given up, or was cut, is no more taken to
# be at the server. A cut is told apart from an end of the server within the
# time for a connection.
RECENT = 1.0
KEPT = 64  # Runs of one server that were given up or cut.


class Stage(enum.StrEnum):
    """How far a run had come, as this host saw it."""

    WAITING = "waiting"  # No byte of an answer came.
    BEGUN = "begun"  # An answer began, and none of its parts came.
    GIVING = "giving"  # A part of the answer came.


@attrs.define(eq=False)
class Run:
    """One attempt's stay at a backend server.

    Attributes:
        fingerprint: Of its request.
        stage: How far it has come.
        begun_at: Steady time at which an answer began; None before.
        is_over: Whether it is known not to be at the server any more.
        is_cut: Whether the server ended its connection.
        left_at: Steady time at which it ended here; None before.
    """

    fingerprint: str = ""
    stage: Stage = Stage.WAITING
    begun_at: float | None = None
    is_over: bool = False
    is_cut: bool = False
    left_at: float | None = None

    def note_head(self, now: float) -> None:
        """Notes that an answer began."""
        self.stage = Stage.BEGUN
        self.begun_at = now

    def note_part(self) -> None:
        """Notes that a part of the answer came."""
        self.stage = Stage.GIVING

    @property
    def was_given_up(self) -> bool:
        """Whether it ended here before its server ended it."""
        return self.left_at is not None and not self.is_cut

    def lasted(self, now: float) -> float:
        """Returns the seconds from the begin of its answer to its end."""
        if self.begun_at is None:
            return 0.0
        end = now if self.left_at is None else self.left_at
        return end - self.begun_at


@attrs.define(eq=False)
class RunList:
    """The runs of one server."""

    _under_way: set[Run] = attrs.field(factory=set)
    _recent: collections.deque[Run] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT)
    )

    def add(self, run: Run) -> None:
        """Takes a run that begins."""
        self._under_way.add(run)

    def end(self, run: Run, now: float) -> None:
        """Notes that an attempt has ended here."""
        self._under_way.discard(run)
        run.left_at = now
        self._drop_old(now)
        if not run.is_over:
            self._recent.append(run)

    def present(self, now: float) -> list[Run]:
        """Returns the runs that the server may be at."""
        self._drop_old(now)
        return [*self._under_way, *self._recent]

    def _drop_old(self, now: float) -> None:
        while self._recent and now - (self._recent[0].left_at or 0.0) > RECENT:
            self._recent.popleft()
