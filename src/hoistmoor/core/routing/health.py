"""Outlier ejection of slow and failing backend servers.

An ejected server rests: it gets no new work for a while.
"""

from __future__ import annotations

import attrs

MAX_CONSECUTIVE_FAILURES = 3
MAX_FAILURE_RATE = 0.5
FAILURE_WEIGHT = 0.15  # Weight of the latest attempt in the failure rate.
DURATION_WEIGHT = 0.1  # Weight of the latest attempt in the relative duration.
# Relative duration above which a server is an outlier.
MAX_RELATIVE_DURATION = 3.0
MIN_ATTEMPTS = 8  # Attempts before rates and durations are evaluated.
FIRST_REST_S = 5.0
# First rest of a server that was silent and may go on after a second.
FIRST_SILENT_REST_S = 1.0
MAX_REST_S = 60.0


@attrs.define
class Health:
    """Health of one backend server by its recent attempts.

    Attributes:
        consecutive_failures: Consecutive failed attempts.
        failure_rate: Moving average of failures, 0 to 1.
        relative_duration: Moving average of durations, each as a multiple of
            the average one for its version and length; 0 before the first.
        attempts: Attempts since the server was last readmitted.
        ejections: Consecutive ejections; each one doubles the rest.
        ejected_until: End of the ejection; 0 if the server is not ejected.
        at_capacity_until: End of the rest after the server declined a call for
            lack of capacity; 0 if there is none.
    """

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    relative_duration: float = 0.0
    attempts: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    at_capacity_until: float = 0.0

    @property
    def is_ejected(self) -> bool:
        """Whether the server is ejected as an outlier."""
        return self.ejected_until > 0.0

    @property
    def is_resting(self) -> bool:
        """Whether the server is ejected or at capacity."""
        return self.ejected_until > 0.0 or self.at_capacity_until > 0.0

    def record(self, ok: bool, relative_duration: float) -> None:
        """Counts one attempt.

        Args:
            ok: Whether the attempt yielded a complete answer.
            relative_duration: Duration as a multiple of the average one;
                ignored for a failed attempt.
        """
        self.attempts += 1
        self.consecutive_failures = 0 if ok else self.consecutive_failures + 1
        self.failure_rate += FAILURE_WEIGHT * ((not ok) - self.failure_rate)
        if not ok:
            return
        weight = DURATION_WEIGHT if self.relative_duration else 1.0
        self.relative_duration += weight * (
            relative_duration - self.relative_duration
        )
        if self.attempts >= MIN_ATTEMPTS:
            self.ejections = 0

    def is_outlier(self) -> bool:
        """Returns whether the server should be ejected."""
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return True
        if self.attempts < MIN_ATTEMPTS:
            return False
        if self.failure_rate >= MAX_FAILURE_RATE:
            return True
        return self.relative_duration > MAX_RELATIVE_DURATION

    def eject(self, now: float) -> None:
        """Starts a rest twice as long as the previous one."""
        self._rest(now, FIRST_REST_S, MAX_REST_S)

    def eject_silent(self, now: float) -> None:
        """Starts a rest of a server that does not respond, but may soon."""
        self._rest(now, FIRST_SILENT_REST_S, MAX_REST_S)

    def rest_unreachable(
        self, now: float, first: float, max_rest: float
    ) -> bool:
        """Starts a rest after a failed connection attempt.

        Concurrent attempts count once. Each rest is twice as long as the
        previous one.

        Args:
            now: Monotonic time.
            first: Seconds of the first rest.
            max_rest: Maximum seconds of a rest.

        Returns:
            Whether a rest has begun.
        """
        if now < self.ejected_until:
            return False
        self._rest(now, first, max_rest)
        return True

    def end_unreachable_rest(self, until: float) -> None:
        """Ends a rest that a failed connection attempt started.

        Args:
            until: End of that rest; a rest with another end goes on.
        """
        if until and self.ejected_until == until:
            self.ejected_until = 0.0
            self.ejections = max(0, self.ejections - 1)

    def _rest(self, now: float, first: float, longest: float) -> None:
        rest = first * 2.0 ** min(self.ejections, 10)
        self.ejected_until = now + min(rest, longest)
        self.ejections += 1

    def end_rests(self, now: float) -> None:
        """Ends the rests that are over by ``now``."""
        if self.at_capacity_until <= now:
            self.at_capacity_until = 0.0
        if self.is_ejected and self.ejected_until <= now:
            self.readmit()

    def readmit(self) -> None:
        """Ends the ejection and resets the statistics.

        ``ejections`` is kept, and one more failure ejects the server again.
        """
        self.ejected_until = 0.0
        self.consecutive_failures = (
            MAX_CONSECUTIVE_FAILURES - 1
        )  # The next failure ejects again.
        self.failure_rate = 0.0
        self.relative_duration = 0.0
        self.attempts = 0
