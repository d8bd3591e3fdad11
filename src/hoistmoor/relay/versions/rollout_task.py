"""Writes answer counts and phases of rollouts.

Only hosts that read the store themselves do so, taking turns. Other hosts send
their counts to the host that they copy from, which writes them with its own.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import record_keys
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import exposure as exposure_lib
from hoistmoor.core.relay.versions import phases as phases_lib
from hoistmoor.core.relay.versions import progress as progress_lib
from hoistmoor.core.relay.versions import verdicts
from hoistmoor.relay.store import follower as follower_lib
from hoistmoor.relay.versions import rollout_codec
from hoistmoor.relay.versions import rollout_listeners

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import ports
    from hoistmoor.relay.store import store_gate

_Counts = dict[str, evidence_lib.RouteEvidence]

# Seconds between two checks; a rollback may take five seconds.
POLL_INTERVAL = 1.0


class RolloutTask:
    """Takes part in the rollouts of all services."""

    def __init__(
        self,
        state: state_lib.RelayState,
        topics: ports.Topics,
        codec: ports.Codec,
        phases: follower_lib.TopicFollower,
        listener: rollout_listeners.PhaseListener,
        gate: store_gate.StoreGate,
    ) -> None:
        """Creates the task.

        Args:
            state: Shared state of the relay.
            topics: The topics to read and write.
            codec: Encodes the status records.
            phases: Follower of the phases topic, which knows its end.
            listener: Tracks which phases the store has.
            gate: Blocks calls during an outage of the store.
        """
        self._state = state
        self._topics = topics
        self._codec = codec
        self._phases = phases
        self._listener = listener
        self._gate = gate
        self._evidence_listener = rollout_listeners.EvidenceListener(state)
        self._evidence = follower_lib.TopicFollower(
            state,
            "evidence",
            topics.evidence,
            self._evidence_listener,
            wait=0.0,
            pause=0.0,
            gate=gate,
        )
        self._due_since: dict[phases_lib.PhaseRecord, float] = {}
        # Counts in the last report on each order.
        self._reported: dict[phases_lib.Order, list[_Counts]] = {}
        # Latest logged verdict on each order.
        self._verdicts: dict[phases_lib.Order, verdicts.Verdict] = {}
        self._status_written: dict[str, phases_lib.PhaseRecord] = {}
        # Orders with records that do not fit the store's format.
        self._unwritable: set[phases_lib.Order] = set()

    async def run(self) -> None:
        """Advances all rollouts until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            if self._state.source:
                continue
            active = [
                progress
                for progress in self._state.router.rollouts.progress.values()
                if not self._is_settled(progress)
            ]
            for progress in active:
                self._doubt(progress)
            # During an outage, every host would otherwise call the store once
            # a second.
            if not active or not self._gate.is_available:
                continue
            try:
                await self._process(active)
            except errors.LogOffsetExpiredError:
                self._evidence.place = None
            except errors.HoistmoorError as error:
                self._state.log.write("rollout_waits", detail=error.problem)

    def _doubt(self, progress: progress_lib.Progress) -> None:
        """Stops requests to a target that the counts of all hosts show bad.

        This does not wait for the store, which may be slow or away.
        """
        if progress.phase.is_final:
            return
        for evidence in self._state.collect_evidence():
            self._evidence_listener.book.merge(evidence)
        pooled = self._pool(progress)
        if verdicts.judge(pooled) is verdicts.Verdict.BAD:
            self._state.doubt_order(progress.order.number, pooled)

    def _pool(self, progress: progress_lib.Progress) -> _Counts:
        """Returns the counts of all hosts."""
        order = progress.order
        return evidence_lib.pool_evidence(
            self._evidence_listener.book.for_order(order.service, order.number)
        )

    def _is_settled(self, progress: progress_lib.Progress) -> bool:
        written = self._status_written.get(progress.order.service)
        return (
            progress.phase.is_final
            and self._has_phase(progress)
            and written is not None
            and written == self._record(progress, progress.phase)
        )

    def _record(
        self, progress: progress_lib.Progress, phase: phases_lib.Phase
    ) -> phases_lib.PhaseRecord:
        order = progress.order
        return phases_lib.PhaseRecord(
            order.service, order.target, order.number, phase
        )

    async def _process(self, active: list[progress_lib.Progress]) -> None:
        for progress in active:
            await self._write_each(progress, self._report)
        await self._evidence.read_once()
        for progress in active:
            for step in (self._advance, self._restore, self._write_status):
                await self._write_each(progress, step)

    async def _write_each(
        self,
        progress: progress_lib.Progress,
        step: Callable[[progress_lib.Progress], Awaitable[None]],
    ) -> None:
        """Takes a step of one rollout, whose records may not be writable.

        The other steps, and other rollouts, go on without such a record.
        """
        try:
            await step(progress)
        except errors.RecordLimitError as error:
            order = progress.order
            if order not in self._unwritable:
                self._unwritable.add(order)
                self._state.log_change(
                    "rollout_unwritable",
                    service=order.service,
                    number=order.number,
                    detail=error.problem,
                )

    async def _report(self, progress: progress_lib.Progress) -> None:
        """Writes this host's counts if the target has answered since."""
        order, state = progress.order, self._state
        known = [
            evidence
            for evidence in state.collect_evidence()
            if evidence.service == order.service
        ]
        counts = [each.routes for each in known]
        if self._reported.get(order) == counts:
            return
        if not any(each.has_target for each in known):
            return
        for evidence in known:
            self._evidence_listener.book.merge(evidence)
        for number, report in enumerate(
            rollout_codec.split_report(state.run_name, known)
        ):
            name = f"{order.service}/{state.run_name}"
            key = f"{name}/{number}" if number else name
            await self._topics.evidence.put(record_keys.bound(key), report)
        self._reported[order] = counts

    def _has_order(self, progress: progress_lib.Progress) -> bool:
        """Returns whether the store's newest era has the order."""
        era = self._state.store_era.era
        place = self._phases.place
        is_read = place is not None and place.era == era
        return is_read and progress.order.place.era == era

    def _has_phase(self, progress: progress_lib.Progress) -> bool:
        """Returns whether the store's newest era has the phase."""
        if progress.phase is phases_lib.Phase.TRIAL:
            return True
        order = progress.order
        stored = self._listener.stored.get((order.service, order.target))
        if stored is None or not stored.belongs_to(order):
            return False
        return not stored.is_behind(self._record(progress, progress.phase))

    async def _restore(self, progress: progress_lib.Progress) -> None:
        """Writes a phase again if the store has lost it."""
        if self._has_phase(progress) or not self._has_order(progress):
            return
        record = self._record(progress, progress.phase)
        is_written = await self._write_phase(record)
        self._state.log_change(
            "rollout_phase_restored",
            service=record.service,
            target=record.target,
            number=record.number,
            phase=record.phase.value,
            written=is_written,
        )

    async def _write_phase(self, record: phases_lib.PhaseRecord) -> bool:
        """Writes a phase unless the topic has changed since the last read.

        Returns:
            Whether the phase was written.
        """
        put = await self._topics.phases.put(
            record_keys.bound(f"{record.service}/{record.target}"),
            rollout_codec.encode(record),
            self._phases.place,
        )
        if put is None:
            return False
        self._listener.stored[record.service, record.target] = record
        return True

    async def _advance(self, progress: progress_lib.Progress) -> None:
        order = progress.order
        pooled = self._pool(progress)
        elapsed = progress.elapsed(self._state.clock())
        self._log_verdict(progress, pooled, elapsed)
        exposure = exposure_lib.measure(
            pooled,
            self._state.router.rollouts.exposure_limit,
            elapsed * order.duration,
            order.duration,
        )
        phase = phases_lib.next_phase(
            progress.phase,
            pooled,
            elapsed,
            exposure,
            is_doubted=progress.is_doubted,
        )
        if phase is None or not self._is_my_turn(progress, phase):
            return
        record = self._record(progress, phase)
        is_written = await self._write_phase(record)
        self._state.log_change(
            "rollout_decided",
            service=order.service,
            target=order.target,
            number=order.number,
            phase=phase.value,
            elapsed=round(elapsed, 3),
            counts=evidence_lib.format_counts(pooled),
            findings=verdicts.format_findings(pooled),
            exposed=exposure.used,
            allowed=round(exposure.allowed, 1),
            written=is_written,
        )
        if is_written:
            self._state.router.rollouts.apply_phase(record)

    def _log_verdict(
        self,
        progress: progress_lib.Progress,
        pooled: _Counts,
        elapsed: float,
    ) -> None:
        """Logs a verdict that differs from the one before."""
        order = progress.order
        verdict = verdicts.judge(pooled)
        if self._verdicts.get(order) is verdict:
            return
        self._verdicts[order] = verdict
        self._state.log_change(
            "rollout_verdict",
            service=order.service,
            target=order.target,
            number=order.number,
            phase=progress.phase.value,
            elapsed=round(elapsed, 3),
            verdict=verdict.name.lower(),
            counts=evidence_lib.format_counts(pooled),
            findings=verdicts.format_findings(pooled),
        )

    def _is_my_turn(
        self, progress: progress_lib.Progress, phase: phases_lib.Phase
    ) -> bool:
        order = progress.order
        now = self._state.clock()
        record = self._record(progress, phase)
        since = self._due_since.setdefault(record, now)
        turn = phases_lib.turn_delay(
            self._state.run_name,
            self._evidence_listener.live_writers(),
            order.number,
        )
        return now - since >= turn

    async def _write_status(self, progress: progress_lib.Progress) -> None:
        record = self._record(progress, progress.phase)
        service = progress.order.service
        if self._status_written.get(service) == record:
            return
        if not self._is_my_turn(progress, progress.phase):
            return
        key, value = self._codec.status(record)
        batch = await self._topics.status.newest()
        known = {each.key: each.value for each in batch.records}
        if known.get(key) != value:
            put = await self._topics.status.put(key, value, batch.end)
            if put is None:
                return
            self._state.log.write(
                "rollout_status",
                service=service,
                target=record.target,
                phase=record.phase.value,
            )
        self._status_written[service] = record
