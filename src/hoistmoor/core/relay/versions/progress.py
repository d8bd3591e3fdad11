"""How far one service's roll-out has come at this host."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases


@attrs.define
class Progress:
    """One service's newest roll-out at this host.

    Attributes:
        order: The operator's order.
        seen_at: Steady time at which this host read it.
        phase: Reached, as the store says.
        counts: What this host counted, by the route's name.
        sent: Requests of this host to the service since the order.
        sent_target: Those among them that went to the target.
        is_doubted: Whether the counts of some hosts together say that the
            target is bad. Hosts tell one another, so that none has to wait
            for the record of it on the store.
    """

    order: phases.Order
    seen_at: float
    phase: phases.Phase = phases.Phase.TRIAL
    counts: dict[str, evidence_lib.RouteEvidence] = attrs.field(factory=dict)
    sent: int = 0
    sent_target: int = 0
    is_doubted: bool = False

    def take_age(self, age: float, now: float) -> None:
        """Takes another host's word of how long ago the order was seen.

        A host that starts in the middle of a roll-out counts from its start
        otherwise, and puts sessions back on the old version.
        """
        self.seen_at = min(self.seen_at, now - age)

    def elapsed(self, now: float) -> float:
        """Returns the part of the time allowed that is over."""
        return (now - self.seen_at) / max(self.order.duration, 1e-3)

    def note_answer(
        self, route: str, version: str, failed: bool, slow: bool
    ) -> None:
        """Counts what an attempt showed."""
        evidence = self.counts.setdefault(route, evidence_lib.RouteEvidence())
        is_target = version == self.order.target
        tally = evidence.target if is_target else evidence.others
        tally.answers += 1
        tally.failures += failed
        tally.slow += slow

    def is_stopped(self) -> bool:
        """Returns whether the target gets nothing for now."""
        return self.is_doubted or evidence_lib.is_bad(self.counts)
