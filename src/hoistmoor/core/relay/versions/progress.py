"""Progress of a rollout, as seen by this host."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import durations as durations_lib
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases


@attrs.define
class Progress:
    """Newest rollout of a service.

    Attributes:
        order: Rollout order.
        seen_at: Monotonic time at which the order was first read.
        phase: Current phase according to the store.
        counts: Response counts of this host, by route name, without durations.
        times: Times of this host's attempts.
        read_at: Monotonic time at which this host read the order.
        sent: Requests that this host sent to the service since the order.
        sent_target: Requests among them that went to the target version.
        spread_sent: Requests sent while the target spread.
        spread_target: Requests among them that went to the target version.
        is_doubted: Whether the pooled counts of several hosts show that the
            target is bad. Hosts notify each other of this directly instead of
            waiting for the record in the store.
        others: Versions that requests were kept at while the target was not
            proved.
        is_presumed: Whether it counts as complete only because an earlier
            rollout of the target was.
    """

    order: phases.Order
    seen_at: float
    phase: phases.Phase = phases.Phase.TRIAL
    counts: dict[str, evidence_lib.RouteEvidence] = attrs.field(factory=dict)
    sent: int = 0
    sent_target: int = 0
    spread_sent: int = 0
    spread_target: int = 0
    is_doubted: bool = False
    others: set[str] = attrs.field(factory=set)
    is_presumed: bool = False
    times: attempt_times.AttemptTimes = attrs.field(
        factory=attempt_times.AttemptTimes
    )
    read_at: float = attrs.field(init=False)

    @read_at.default
    def _default_read_at(self) -> float:
        return self.seen_at

    def merge_age(self, age: float, now: float) -> None:
        """Adopts the age of the order reported by another host if it is higher.

        Otherwise a host that starts during a rollout would measure the elapsed
        time from its own start, and move sessions back to the old version.
        """
        self.seen_at = min(self.seen_at, now - age)

    def elapsed(self, now: float) -> float:
        """Returns the fraction of the duration that has passed."""
        return (now - self.seen_at) / max(self.order.duration, 1e-3)

    def record_sent(self, version: str) -> None:
        """Counts a request sent to a server with ``version``."""
        is_target = version == self.order.target
        self.sent += 1
        self.sent_target += is_target
        if self.phase is phases.Phase.SPREAD:
            self.spread_sent += 1
            self.spread_target += is_target

    def takes_next_request(self, share: float) -> bool:
        """Returns whether the next request keeps the target at its share.

        Args:
            share: Fraction of the requests that the target is to have while it
                spreads.
        """
        return self.spread_target <= share * self.spread_sent

    def record_response(
        self, route: str, version: str, failed: bool, slow: bool
    ) -> None:
        """Counts the result of an attempt."""
        evidence = self.counts.setdefault(route, evidence_lib.RouteEvidence())
        is_target = version == self.order.target
        tally = evidence.target if is_target else evidence.others
        tally.answers += 1
        tally.failures += failed
        tally.slow += slow

    def begin_attempt(
        self, route: str, version: str, now: float, *, is_stream: bool
    ) -> attempt_times.TimedAttempt | None:
        """Returns a new attempt if its times are to be compared."""
        is_target = version == self.order.target
        if not is_target and self.elapsed(now) < attempt_times.BASELINE_FROM:
            return None
        return self.times.begin(
            route, now, is_target=is_target, is_stream=is_stream
        )

    def current_counts(
        self, now: float
    ) -> dict[str, evidence_lib.RouteEvidence]:
        """Returns a copy of the counts of this host, with durations."""
        counts: dict[str, evidence_lib.RouteEvidence] = {}
        for route, known in self.counts.items():
            counts[route] = evidence_lib.RouteEvidence()
            counts[route].target.add(known.target)
            counts[route].others.add(known.others)
        for (route, is_target), durations in self.times.durations(now).items():
            evidence = counts.setdefault(route, evidence_lib.RouteEvidence())
            tally = evidence.target if is_target else evidence.others
            durations_lib.add_all(tally.durations, durations)
        return counts

    def is_stopped(self) -> bool:
        """Returns whether the target currently gets no requests."""
        return self.is_doubted or evidence_lib.is_bad(self.counts)
