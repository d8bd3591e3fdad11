"""Rate-limited warnings, for events that remote parties can cause."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.utils import logs

MIN_INTERVAL = 10.0  # Seconds between two lines of the same kind.


class RateLimitedLog:
    """Limits the rate of warnings per kind and counts the suppressed ones.

    The set of kinds must be small and fixed by the program, as the state of
    each kind is kept.
    """

    def __init__(
        self, log: logs.PartLogger, clock: Callable[[], float]
    ) -> None:
        self._log = log
        self._clock = clock
        self._last_logged: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}

    def warning(self, kind: str, text: str, *values: object) -> None:
        """Logs a warning, unless one of its kind was logged recently."""
        now = self._clock()
        elapsed = now - self._last_logged.get(kind, float("-inf"))
        if 0 <= elapsed < MIN_INTERVAL:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
            return
        self._last_logged[kind] = now
        suppressed = self._suppressed.pop(kind, 0)
        suffix = (
            f" ({suppressed} similar warnings suppressed)" if suppressed else ""
        )
        self._log.warning(f"{text}%s", *values, suffix)
