"""Applies the rollout records that hosts write: phases and answer counts."""

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
    """Applies the phases of rollouts.

    Attributes:
        stored: Phases in the newest era of the store, by service and target.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.stored: dict[tuple[str, str], phases.PhaseRecord] = {}
        self._state = state

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Applies one update."""
        if update.batch.is_snapshot:
            self.stored = {}
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                phase = rollout_codec.decode_phase(record.value)
            except ValueError as error:
                self._state.log_unreadable_record("phase", record, error)
                continue
            self.stored[phase.service, phase.target] = phase
            if self._state.router.rollouts.apply_phase(phase):
                self._state.log_change(
                    "rollout_phase",
                    service=phase.service,
                    target=phase.target,
                    number=phase.number,
                    phase=phase.phase.value,
                    place=record.place.text,
                )
        return update.batch.records


class EvidenceListener:
    """Applies the answer counts written by hosts that read the store.

    Attributes:
        book: Counts of all hosts.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.book = evidence_lib.EvidenceRegistry()
        self._state = state
        self._last_report: dict[str, float] = {}

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Applies one update."""
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                report = rollout_codec.decode_report(record.value)
            except ValueError as error:
                self._state.log_unreadable_record("evidence", record, error)
                continue
            self._last_report[report.run_name] = self._state.clock()
            for evidence in report.evidence:
                self.book.merge(evidence)
        return ()

    def live_writers(self) -> list[str]:
        """Returns the runs of hosts that have recently written counts."""
        now = self._state.clock()
        return [
            run_name
            for run_name, written_at in self._last_report.items()
            if now - written_at < phases.ACTIVE_SECONDS
        ]
