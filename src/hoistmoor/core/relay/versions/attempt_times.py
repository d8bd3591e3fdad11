"""Times of the attempts made during a rollout, at one host.

Each attempt passes through stages, which are compared separately: the time to
the first event of a stream depends on its prompt and on what the server has
cached, the pace of its events only on the server.
"""

from __future__ import annotations

import enum

import attrs

from hoistmoor.core.relay.versions import durations as durations_lib

# Events of a stream, after the first, that show its pace: enough to even out
# pauses, and long before most streams end.
PACE_EVENTS = 15
# Fraction of the duration from which attempts at other versions are compared
# with those at the target. It includes some time before sessions join a trial:
# in a trial, each version has only a part of the load that the target gets when
# it spreads. Before it, the load may have been another one.
BASELINE_FROM = 0.25


class Stage(enum.StrEnum):
    """What an attempt waits for."""

    RESPONSE = "response"  # The end of a response that is no stream.
    FIRST = "first"  # The first event of a stream.
    PACE = "pace"  # ``PACE_EVENTS`` more events.


# Stages in which attempts begin.
FIRST_STAGES = (Stage.RESPONSE, Stage.FIRST)


@attrs.define(eq=False)
class TimedAttempt:
    """One attempt, until it has passed its stages or ended.

    Attributes:
        started: Monotonic time at which its stage began.
        stage: What it waits for; None once it has passed all stages or ended.
        durations: Durations of its route and version, by stage.
    """

    started: float
    stage: Stage | None
    durations: dict[str, durations_lib.Durations]

    def record_events(self, count: int, now: float) -> None:
        """Records the number of events that the attempt has delivered."""
        if self.stage is Stage.FIRST and count:
            self._durations().record_reached(now - self.started)
            self.stage = Stage.PACE
            self.started = now
        elif self.stage is Stage.PACE and count > PACE_EVENTS:
            self._durations().record_reached(now - self.started)
            self.stage = None

    def record_end(self, now: float, *, is_served: bool) -> None:
        """Records the end of the attempt.

        Args:
            now: Monotonic time.
            is_served: Whether its response is complete and no failure. If not,
                it only shows that the stage did not end earlier; neither does
                a stream that is too short to show its pace.
        """
        if self.stage is None:
            return
        if is_served and self.stage in FIRST_STAGES:
            self._durations().record_reached(now - self.started)
        else:
            self._durations().record_unreached(now - self.started)
        self.stage = None

    def _durations(self) -> durations_lib.Durations:
        assert self.stage is not None
        return self.durations.setdefault(
            self.stage.value, durations_lib.Durations()
        )


@attrs.define
class _Attempts:
    """Attempts on one route at one of both versions.

    Attributes:
        ended: Durations of the stages that ended, by stage.
        running: Attempts that may not have passed all stages.
    """

    ended: dict[str, durations_lib.Durations] = attrs.field(factory=dict)
    running: list[TimedAttempt] = attrs.field(factory=list)


class AttemptTimes:
    """Times of all attempts of one rollout, by route and version."""

    def __init__(self) -> None:
        self._attempts: dict[tuple[str, bool], _Attempts] = {}

    def begin(
        self, route: str, now: float, *, is_target: bool, is_stream: bool
    ) -> TimedAttempt:
        """Returns a new attempt.

        Args:
            route: Name of its route.
            now: Monotonic time.
            is_target: Whether it goes to the target version.
            is_stream: Whether its response is a stream of events.
        """
        known = self._attempts.setdefault((route, is_target), _Attempts())
        stage = Stage.FIRST if is_stream else Stage.RESPONSE
        attempt = TimedAttempt(now, stage, known.ended)
        known.running.append(attempt)
        return attempt

    def durations(
        self, now: float
    ) -> dict[tuple[str, bool], dict[str, durations_lib.Durations]]:
        """Returns the durations of all attempts, running ones included.

        Args:
            now: Monotonic time.

        Returns:
            Durations by stage, by route and whether they are of the target
            version.
        """
        found = {}
        for key, known in self._attempts.items():
            by_stage: dict[str, durations_lib.Durations] = {}
            durations_lib.add_all(by_stage, known.ended)
            known.running = [each for each in known.running if each.stage]
            for attempt in known.running:
                assert attempt.stage is not None
                by_stage.setdefault(
                    attempt.stage.value, durations_lib.Durations()
                ).record_unreached(now - attempt.started)
            found[key] = by_stage
        return found
