"""Progress of a rollout, as seen by this host."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases


@attrs.define
class Progress:
    """Newest rollout of a service.

    Attributes:
        order: Rollout order.
        seen_at: Monotonic time at which the order was first read.
        phase: Current phase according to the store.
        counts: Counts of this host, by route name.
        sent: Requests that this host sent to the service since the order.
        sent_target: Requests among them that went to the target version.
        is_doubted: Whether the pooled counts of several hosts show that the
            target is bad. Hosts notify each other of this directly instead of
            waiting for the record in the store.
    """

    order: phases.Order
    seen_at: float
    phase: phases.Phase = phases.Phase.TRIAL
    counts: dict[str, evidence_lib.RouteEvidence] = attrs.field(factory=dict)
    sent: int = 0
    sent_target: int = 0
    is_doubted: bool = False

    def merge_age(self, age: float, now: float) -> None:
        """Adopts the age of the order reported by another host if it is higher.

        Otherwise a host that starts during a rollout would measure the elapsed
        time from its own start, and move sessions back to the old version.
        """
        self.seen_at = min(self.seen_at, now - age)

    def elapsed(self, now: float) -> float:
        """Returns the fraction of the duration that has passed."""
        return (now - self.seen_at) / max(self.order.duration, 1e-3)

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

    def is_stopped(self) -> bool:
        """Returns whether the target currently gets no requests."""
        return self.is_doubted or evidence_lib.is_bad(self.counts)
