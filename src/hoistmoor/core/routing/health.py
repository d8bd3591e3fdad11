"""Outlier ejection: slow and half-dead backend servers rest for a while."""

from __future__ import annotations

import attrs

FAILURES_IN_A_ROW = 3
FAILURE_RATE = 0.5
FAILURE_STEP = 0.15  # Weight of the newest attempt in the failure rate.
PACE_STEP = 0.1  # Weight of the newest attempt in the pace.
SLOW_FACTOR = 3.0  # Times the usual duration.
MIN_ATTEMPTS = 8  # Before a rate or a pace is believed.
FIRST_REST_S = 5.0
LONGEST_REST_S = 60.0


@attrs.define
class Health:
    """How one backend server's attempts have gone lately.

    Attributes:
        failures: Failed attempts in a row.
        failure_rate: Moving average of failures, 0 to 1.
        pace: Moving average of durations, each as a multiple of what is
            usual for its version and length; 0 before the first.
        attempts: Attempts since it was last put back.
        ejections: Ejections in a row; each rests it twice as long.
        ejected_until: When it is put back; 0 while it is in.
        full_until: Until when it gets nothing because it declined for want
            of room; 0 if it did not.
    """

    failures: int = 0
    failure_rate: float = 0.0
    pace: float = 0.0
    attempts: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    full_until: float = 0.0

    @property
    def is_ejected(self) -> bool:
        """Whether it rests as an outlier."""
        return self.ejected_until > 0.0

    @property
    def is_resting(self) -> bool:
        """Whether it gets no new work, as an outlier or because it is full."""
        return self.ejected_until > 0.0 or self.full_until > 0.0

    def note(self, ok: bool, pace: float) -> None:
        """Counts one attempt.

        Args:
            ok: Whether a whole answer came.
            pace: Duration as a multiple of the usual; ignored if it failed.
        """
        self.attempts += 1
        self.failures = 0 if ok else self.failures + 1
        self.failure_rate += FAILURE_STEP * ((not ok) - self.failure_rate)
        if not ok:
            return
        step = PACE_STEP if self.pace else 1.0
        self.pace += step * (pace - self.pace)
        if self.attempts >= MIN_ATTEMPTS:
            self.ejections = 0

    def is_outlier(self) -> bool:
        """Returns whether it should rest."""
        if self.failures >= FAILURES_IN_A_ROW:
            return True
        if self.attempts < MIN_ATTEMPTS:
            return False
        if self.failure_rate >= FAILURE_RATE:
            return True
        return self.pace > SLOW_FACTOR

    def eject(self, now: float) -> None:
        """Starts a rest, twice as long as the last."""
        self._rest(now, FIRST_REST_S, LONGEST_REST_S)

    def rest_unreachable(
        self, now: float, first: float, longest: float
    ) -> None:
        """Starts a rest after a connection that was not taken.

        Attempts that were under way together count once.

        Args:
            now: Steady time.
            first: Seconds of the first rest.
            longest: Seconds of any rest; each is twice as long as the last.
        """
        if now >= self.ejected_until:
            self._rest(now, first, longest)

    def _rest(self, now: float, first: float, longest: float) -> None:
        rest = first * 2.0 ** min(self.ejections, 10)
        self.ejected_until = now + min(rest, longest)
        self.ejections += 1

    def wake(self, now: float) -> None:
        """Ends what is over by ``now``."""
        if self.full_until <= now:
            self.full_until = 0.0
        if self.is_ejected and self.ejected_until <= now:
            self.put_back()

    def put_back(self) -> None:
        """Ends the rest; the past no longer counts, but for its number."""
        self.ejected_until = 0.0
        self.failures = FAILURES_IN_A_ROW - 1  # One more failure ejects.
        self.failure_rate = 0.0
        self.pace = 0.0
        self.attempts = 0
