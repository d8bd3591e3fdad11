# ruff: noqa: D102
"""In-process model of the log and the hosts, with an invariant checker.

The checker is independent of the fold's rules. It compares the verdicts and
states of all hosts at each offset and raises if an invariant is violated.
"""

from __future__ import annotations

import attrs

from hoistmoor.core import codec
from hoistmoor.core.table import check
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import replay
from hoistmoor.core.table import sheets
from hoistmoor.core.table import snapshots


class InvariantViolationError(AssertionError):
    """An invariant of the table was violated."""


@attrs.define
class Log:
    """The table's stream. Records before ``first`` are deleted."""

    payloads: list[bytes] = attrs.field(factory=list)
    first: int = 0

    def append(self, payload: bytes) -> int:
        self.payloads.append(payload)
        return len(self.payloads) - 1


@attrs.define
class History:
    """Observations of all hosts, checked against the invariants."""

    verdict_by_offset: dict[int, fold.Verdict] = attrs.field(factory=dict)
    table_by_revision: dict[int, model.Table] = attrs.field(factory=dict)
    state_by_as_of: dict[int, bytes] = attrs.field(factory=dict)
    first_offset_by_edit_id: dict[str, int] = attrs.field(factory=dict)
    changed_at: dict[sheets.RowName, list[int]] = attrs.field(factory=dict)

    def record_verdict(self, verdict: fold.Verdict) -> None:
        """Checks a verdict.

        All hosts agree on it, only the first copy of an edit can be accepted,
        and an accepted edit overwrites no change that its author had not read.
        """
        known = self.verdict_by_offset.setdefault(verdict.offset, verdict)
        if known != verdict:
            raise InvariantViolationError(
                f"verdicts differ: {known} and {verdict}"
            )
        if known is not verdict or isinstance(verdict, fold.Ignored):
            return
        first = self.first_offset_by_edit_id.setdefault(
            verdict.edit.edit_id, verdict.offset
        )
        if isinstance(verdict, fold.Accepted):
            if first != verdict.offset:
                raise InvariantViolationError(
                    f"first processed at {first}, but {verdict}"
                )
            self._check_accepted(verdict)

    def _check_accepted(self, verdict: fold.Accepted) -> None:
        for change in verdict.edit.changes:
            previous = self.changed_at.setdefault(change.name, [])
            unread = [
                offset
                for offset in previous
                if offset > verdict.edit.base_revision
            ]
            if unread:
                raise InvariantViolationError(
                    f"{verdict} overwrites unread changes {unread}"
                )
            previous.append(verdict.offset)

    def record_state(self, before: int, current: fold.TableFold) -> None:
        """Checks the state of a host.

        The revision never decreases, the active table is valid, and all hosts
        at the same offset have the same state.
        """
        revision = current.active.revision
        if revision < before:
            raise InvariantViolationError(
                f"revision {before} was reverted to {revision}"
            )
        if revision not in self.table_by_revision:
            faults = check.check_table(current.active.table)
            if faults:
                raise InvariantViolationError(
                    f"the active table is invalid: {faults}"
                )
        table = self.table_by_revision.setdefault(
            revision, current.active.table
        )
        if table != current.active.table:
            raise InvariantViolationError(
                f"tables differ at revision {revision}"
            )
        state = codec.encode(current.snapshot())
        if self.state_by_as_of.setdefault(current.as_of, state) != state:
            raise InvariantViolationError(
                f"states differ at offset {current.as_of}"
            )


@attrs.define
class Host:
    """An entry host. A restart discards its state."""

    history: History
    replay: replay.TableReplay = attrs.field(factory=replay.TableReplay)
    begun: bool = False
    revision: int = -1

    def restart(self) -> None:
        self.replay = replay.TableReplay()
        self.begun = False
        self.revision = -1

    def read(self, log: Log, count: int) -> None:
        """Reads up to ``count`` records in the way of the table follower."""
        if not self.begun or self.replay.next_offset < log.first:
            self.replay.begin(log.first)
            self.begun = True
        is_starting = self.replay.fold is None
        start = self.replay.next_offset
        for offset in range(start, min(start + count, len(log.payloads))):
            payload = log.payloads[offset]
            for verdict in self.replay.feed(offset, payload):
                self.history.record_verdict(verdict)
            self._check_state()
        current = self.replay.fold
        if not is_starting or current is None:
            return
        if current.as_of + 1 < log.first:
            raise InvariantViolationError(
                "started from a snapshot that the log does not continue"
            )

    def take_from(self, peer: Host) -> None:
        """Receives a snapshot of the current table of another host."""
        if peer.replay.fold is None:
            return
        offer = codec.decode(snapshots.encode_snapshot(peer.replay.fold))
        self.take(offer)

    def take(self, offer: edits.TableSnapshot) -> None:
        self.replay.adopt_if_newer(offer)
        self._check_state()

    def _check_state(self) -> None:
        if self.replay.fold is not None:
            self.history.record_state(self.revision, self.replay.fold)
            self.revision = self.replay.fold.active.revision
