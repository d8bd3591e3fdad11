"""Takes what hosts write of roll-outs: phases, and counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay.versions import rollout_codec

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower


class PhaseListener:
    """Takes the phases of roll-outs.

    Attributes:
        stored: As the store's newest history has them, by service and target.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.stored: dict[tuple[str, str], phases.PhaseRecord] = {}
        self._state = state

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Takes one update."""
        if update.batch.is_snapshot:
            self.stored = {}
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                phase = rollout_codec.decode_phase(record.value)
            except ValueError as error:
                self._state.note_unreadable("phase", record, error)
                continue
            self.stored[phase.service, phase.target] = phase
            if self._state.router.rollouts.take_phase(phase):
                self._state.believe(
                    "rollout_phase",
                    service=phase.service,
                    target=phase.target,
                    number=phase.number,
                    phase=phase.phase.value,
                    place=record.place.text,
                )
        return update.batch.records


class EvidenceListener:
    """Takes the counts that hosts which read the store have written.

    Attributes:
        book: Counts of all hosts.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.book = evidence_lib.EvidenceBook()
        self._state = state
        self._heard: dict[str, float] = {}

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Takes one update."""
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                report = rollout_codec.decode_report(record.value)
            except ValueError as error:
                self._state.note_unreadable("evidence", record, error)
                continue
            self._heard[report.run_name] = self._state.clock()
            for evidence in report.evidence:
                self.book.take(evidence)
        return ()

    def live_writers(self) -> list[str]:
        """Returns the runs of hosts that have lately written counts."""
        now = self._state.clock()
        return [
            run_name
            for run_name, at in self._heard.items()
            if now - at < phases.ACTOR_LIFE
        ]
