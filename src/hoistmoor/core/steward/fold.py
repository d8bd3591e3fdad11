"""The fold of the stream ``steward``, deterministic on every host."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from hoistmoor.core.steward import records
from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import state as state_lib
from hoistmoor.core.steward import transitions


class ApplyResult(enum.StrEnum):
    """The outcome of applying a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"  # Stale token, duplicate, skipped step or early.
    SEEN = "seen"  # The offset was applied before.


@attrs.define
class StewardFold:
    """The state of the stream after the last offset read.

    A reader that starts after the first record of the stream is incomplete: it
    does not know the records before its start. It buffers the records it reads
    until it finds a snapshot that covers the gap.

    Attributes:
        start: First offset to apply.
        state: State of the stream; unreliable while incomplete.
        next_offset: Offset after the last applied record.
        complete: Whether the state is based on the whole history.
        snapshot_as_of: ``as_of`` of the newest snapshot read; -1 for none.
    """

    start: int = 0
    state: state_lib.StewardState = attrs.field(factory=state_lib.StewardState)
    next_offset: int = attrs.field(
        default=attrs.Factory(lambda self: self.start, takes_self=True)
    )
    complete: bool = attrs.field(
        default=attrs.Factory(lambda self: self.start == 0, takes_self=True)
    )
    snapshot_as_of: int = -1
    _buffered: list[tuple[int, float, Any]] = attrs.field(factory=list)

    def apply(self, offset: int, at: float, record: Any) -> ApplyResult:
        """Applies one record; offsets must be in ascending order.

        Args:
            offset: Offset of the record.
            at: Append time of the record.
            record: The decoded record; None if it is undecodable.
        """
        if offset < self.next_offset:
            return ApplyResult.SEEN
        self.next_offset = offset + 1
        if isinstance(record, state_lib.StewardSnapshot):
            return self._apply_snapshot(offset, record)
        if isinstance(record, records.HistoryReset):
            self._mark_complete()
        if not self.complete:
            self._buffered.append((offset, at, record))
        return self._apply_transition(offset, at, record)

    def view(self) -> rollouts.RolloutView:
        """Returns the view of the rollouts that entry hosts use."""
        return rollouts.RolloutView(self.state, self.complete)

    def snapshot(self) -> state_lib.StewardSnapshot:
        """Returns a snapshot of all records applied so far."""
        return state_lib.StewardSnapshot(self.next_offset - 1, self.state)

    def _apply_transition(
        self, offset: int, at: float, record: Any
    ) -> ApplyResult:
        log_time = max(at, self.state.log_time)
        context = transitions.TransitionContext(self.state, offset, log_time)
        changed = transitions.transition(record, context)
        self.state = attrs.evolve(changed or self.state, log_time=log_time)
        return ApplyResult.REJECTED if changed is None else ApplyResult.ACCEPTED

    def _apply_snapshot(
        self, offset: int, snapshot: state_lib.StewardSnapshot
    ) -> ApplyResult:
        if snapshot.as_of >= offset:
            return ApplyResult.REJECTED  # It claims to include later records.
        self.snapshot_as_of = max(self.snapshot_as_of, snapshot.as_of)
        if self.complete or snapshot.as_of < self.start - 1:
            return ApplyResult.REJECTED
        later = [entry for entry in self._buffered if entry[0] > snapshot.as_of]
        self.state = snapshot.state
        self._mark_complete()
        for offset, at, record in later:
            self._apply_transition(offset, at, record)
        return ApplyResult.ACCEPTED

    def _mark_complete(self) -> None:
        self.complete = True
        self._buffered = []
