"""Outlier ejection of slow and failing backend servers.

An ejected server rests: it gets no new work for a while.
"""

from __future__ import annotations

import attrs

FAILURES_IN_A_ROW = 3
FAILURE_RATE = 0.5
FAILURE_STEP = 0.15  # Weight of the latest attempt in the failure rate.
PACE_STEP = 0.1  # Weight of the latest attempt in the relative duration.
SLOW_FACTOR = 3.0  # Relative duration above which a server is an outlier.
MIN_ATTEMPTS = 8  # Attempts before rates and durations are evaluated.
FIRST_REST_S = 5.0
LONGEST_REST_S = 60.0


@attrs.define
class Health:
    """Health of one backend server by its recent attempts.

    Attributes:
        failures: Consecutive failed attempts.
        failure_rate: Moving average of failures, 0 to 1.
        pace: Moving average of durations, each as a multiple of the usual one
            for its version and length; 0 before the first.
        attempts: Attempts since the server was last readmitted.
        ejections: Consecutive ejections; each one doubles the rest.
        ejected_until: End of the ejection; 0 if the server is not ejected.
        full_until: End of the rest after the server declined a call for lack
            of capacity; 0 if there is none.
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
        """Whether the server is ejected as an outlier."""
        return self.ejected_until > 0.0

    @property
    def is_resting(self) -> bool:
        """Whether the server is ejected or at capacity."""
        return self.ejected_until > 0.0 or self.full_until > 0.0

    def note(self, ok: bool, pace: float) -> None:
        """Counts one attempt.

        Args:
            ok: Whether the attempt yielded a complete answer.
            pace: Duration as a multiple of the usual one; ignored for a
                failed attempt.
        """
        self.attempts += 1
        self.failures = 0 if ok else self.failures + 1
        self.failure_rate += FAILURE_STEP * ((not ok) - self.failure_rate)
        if not ok:
            return
        weight = PACE_STEP if self.pace else 1.0
        self.pace += weight * (pace - self.pace)
        if self.attempts >= MIN_ATTEMPTS:
            self.ejections = 0

    def is_outlier(self) -> bool:
        """Returns whether the server should be ejected."""
        if self.failures >= FAILURES_IN_A_ROW:
            return True
        if self.attempts < MIN_ATTEMPTS:
            return False
        if self.failure_rate >= FAILURE_RATE:
            return True
        return self.pace > SLOW_FACTOR

    def eject(self, now: float) -> None:
        """Starts a rest twice as long as the previous one."""
        self._rest(now, FIRST_REST_S, LONGEST_REST_S)

    def rest_unreachable(
        self, now: float, first: float, longest: float
    ) -> None:
        """Starts a rest after a failed connection attempt.

        Concurrent attempts count once. Each rest is twice as long as the
        previous one.

        Args:
            now: Monotonic time.
            first: Seconds of the first rest.
            longest: Maximum seconds of a rest.
        """
        if now >= self.ejected_until:
            self._rest(now, first, longest)

    def _rest(self, now: float, first: float, longest: float) -> None:
        rest = first * 2.0 ** min(self.ejections, 10)
        self.ejected_until = now + min(rest, longest)
        self.ejections += 1

    def wake(self, now: float) -> None:
        """Ends the rests that are over by ``now``."""
        if self.full_until <= now:
            self.full_until = 0.0
        if self.is_ejected and self.ejected_until <= now:
            self.put_back()

    def put_back(self) -> None:
        """Ends the ejection and resets all statistics but ``ejections``."""
        self.ejected_until = 0.0
        self.failures = FAILURES_IN_A_ROW - 1  # The next failure ejects again.
        self.failure_rate = 0.0
        self.pace = 0.0
        self.attempts = 0
