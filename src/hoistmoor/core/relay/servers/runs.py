"""This host's requests at a backend server and how far each has progressed.

When a server crashes, its current runs are the possible causes. A run that this
host has abandoned may continue on the server for a moment and is therefore
counted a little longer.
"""

from __future__ import annotations

import collections
import enum

import attrs

# Seconds for which an abandoned or cut run still counts as being at the server.
# Telling a cut connection from a crashed server takes up to the connection
# timeout.
RECENT_SECONDS = 1.0
MAX_RECENT = 64  # Abandoned or cut runs that are stored for each server.


class Stage(enum.StrEnum):
    """Progress of a run, as observed by this host."""

    WAITING = "waiting"  # No byte of a response has arrived.
    BEGUN = "begun"  # The response has begun, but no part has arrived.
    GIVING = "giving"  # At least one part of the response has arrived.


@attrs.define(eq=False)
class Run:
    """Execution of one attempt at a backend server.

    Attributes:
        fingerprint: Fingerprint of the request.
        parts: Prompt parts that it may share with other requests.
        stage: Its progress.
        response_started_at: Monotonic time at which the response began; None
            before.
        is_finished: Whether it is known to have finished at the server.
        is_cut: Whether the server closed the connection.
        ended_at: Monotonic time at which it ended for this host; None before.
    """

    fingerprint: str = ""
    parts: tuple[str, ...] = attrs.field(default=(), kw_only=True)
    stage: Stage = Stage.WAITING
    response_started_at: float | None = None
    is_finished: bool = False
    is_cut: bool = False
    ended_at: float | None = None

    def record_response_started(self, now: float) -> None:
        """Records that the response has begun."""
        self.stage = Stage.BEGUN
        self.response_started_at = now

    def record_part(self) -> None:
        """Records that a part of the response has arrived."""
        self.stage = Stage.GIVING

    @property
    def was_abandoned(self) -> bool:
        """Whether this host abandoned it before the server closed it."""
        return self.ended_at is not None and not self.is_cut

    def response_duration(self, now: float) -> float:
        """Returns the seconds from the start of the response to its end."""
        if self.response_started_at is None:
            return 0.0
        end = now if self.ended_at is None else self.ended_at
        return end - self.response_started_at


@attrs.define(eq=False)
class RunList:
    """Current and recently ended runs of one server."""

    _active: set[Run] = attrs.field(factory=set)
    _recent: collections.deque[Run] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT)
    )

    def add(self, run: Run) -> None:
        """Adds a run that begins."""
        self._active.add(run)

    def end(self, run: Run, now: float) -> None:
        """Records that a run has ended for this host."""
        self._active.discard(run)
        run.ended_at = now
        self._drop_expired(now)
        if not run.is_finished:
            self._recent.append(run)

    def possibly_active(self, now: float) -> list[Run]:
        """Returns the runs that may still be at the server."""
        self._drop_expired(now)
        return [*self._active, *self._recent]

    def _drop_expired(self, now: float) -> None:
        while (
            self._recent
            and now - (self._recent[0].ended_at or 0.0) > RECENT_SECONDS
        ):
            self._recent.popleft()
