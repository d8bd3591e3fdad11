"""Known rollouts, and the selection of versions for requests."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.beliefs import store_era
from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import exposure as exposure_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.core.relay.versions import progress as progress_lib
from hoistmoor.core.relay.versions import sessions as sessions_lib

# Fraction of the requests without a session that a trial gets, at most.
TRIAL_FRACTION = 0.1
SLOW_FACTOR = 3.5  # Multiple of the average duration that counts as slow.

_OrderKey = tuple[str, float, int]


def _key_of(order: phases.Order) -> _OrderKey:
    """Returns a key of an order that does not depend on the era."""
    return order.target, order.duration, order.place.offset


def _was_kept_at(known: progress_lib.Progress, version: str) -> bool:
    """Returns whether an order takes back the one before it.

    Args:
        known: The rollout before.
        version: Target of the new order.
    """
    is_open = known.phase is not phases.Phase.COMPLETE
    return is_open and version in known.others


class RolloutRegistry:
    """All rollouts known to this host.

    Attributes:
        sessions: Versions used by sessions.
        progress: Newest rollout by service.
        withdrawn: Reverted versions by service.
        exposure_limit: Requests that a bad version may get.
    """

    def __init__(self, session_life: float) -> None:
        """Initializes an empty collection.

        Args:
            session_life: Seconds after its last request for which a session is
                kept.
        """
        self.sessions = sessions_lib.SessionVersions(session_life)
        self.progress: dict[str, progress_lib.Progress] = {}
        self.withdrawn: dict[str, set[str]] = {}
        self.exposure_limit = exposure_lib.ExposureLimit()
        self._phases: dict[tuple[str, str], phases.PhaseRecord] = {}
        # Newest completed rollout by service.
        self._complete: dict[str, phases.PhaseRecord] = {}
        # All orders ever applied, by service, regardless of their era.
        self._applied: dict[str, set[_OrderKey]] = {}
        self._restored_at = float("-inf")

    def record_restore(self, now: float) -> None:
        """Records that the store was restored from an older copy.

        Operators write their orders again after a restore, even those that the
        copy contains.
        """
        self._restored_at = now

    def apply_order(self, order: phases.Order, now: float) -> bool:
        """Applies an order; returns whether it starts a new rollout.

        If the current or an earlier order reappears in a newer era of the
        store, no rollout is started again.
        """
        known = self.progress.get(order.service)
        if known is not None:
            if known.order.number >= order.number:
                return False
            is_in_grace_period = (
                now - self._restored_at < store_era.RESTORE_GRACE_PERIOD
            )
            if is_in_grace_period and order.has_same_content(known.order):
                self._renumber(known, order)
                return False
            if self._was_applied(known, order):
                return False
        applied = self._applied.setdefault(order.service, set())
        applied.add(_key_of(order))
        progress = progress_lib.Progress(order, now)
        if known is not None and _was_kept_at(known, order.target):
            progress.phase = phases.Phase.COMPLETE
        self.progress[order.service] = progress
        record = self._phases.get((order.service, order.target))
        if record is not None:
            self.apply_phase(record)
        self._presume(progress)
        return True

    def _presume(self, progress: progress_lib.Progress) -> None:
        """Completes a rollout whose target has all requests already.

        There may be no other version left that could get the rest.
        """
        complete = self._complete.get(progress.order.service)
        is_established = (
            complete is not None and complete.target == progress.order.target
        )
        if is_established and progress.phase is phases.Phase.TRIAL:
            progress.phase = phases.Phase.COMPLETE
            progress.is_presumed = True
        elif progress.is_presumed and not is_established:
            progress.phase = phases.Phase.TRIAL
            progress.is_presumed = False

    def _renumber(
        self, known: progress_lib.Progress, order: phases.Order
    ) -> None:
        """Continues a rollout under the new number of its order."""
        key = (order.service, order.target)
        record = self._phases.get(key)
        if record is not None and record.belongs_to(known.order):
            self._phases[key] = attrs.evolve(record, number=order.number)
        known.order = order

    def _was_applied(
        self, known: progress_lib.Progress, order: phases.Order
    ) -> bool:
        """Returns whether an order from an older copy was already replaced."""
        is_from_newer_era = order.place.era > known.order.place.era
        applied = self._applied.get(order.service, set())
        return is_from_newer_era and _key_of(order) in applied

    def apply_phase(self, record: phases.PhaseRecord) -> bool:
        """Applies a phase record; returns whether it changed anything."""
        key = (record.service, record.target)
        known = self._phases.get(key)
        if known is not None and record.is_behind(known):
            return False
        self._phases[key] = record
        self._update_withdrawn(record)
        self._update_complete(record)
        progress = self.progress.get(record.service)
        if progress is not None and record.belongs_to(progress.order):
            progress.phase = record.phase
            progress.is_presumed = False
        elif progress is not None:
            self._presume(progress)
        return known != record

    def counted(
        self, run_name: str, now: float
    ) -> tuple[evidence_lib.Evidence, ...]:
        """Returns the counts of this host for all running rollouts.

        Args:
            run_name: Unique name of this process of this host.
            now: Monotonic time.
        """
        return tuple(
            evidence_lib.Evidence(
                each.order.service,
                each.order.number,
                run_name,
                each.current_counts(now),
                now - each.read_at,
            )
            for each in self.progress.values()
            if not each.phase.is_final
        )

    def ages(self, now: float) -> dict[int, float]:
        """Returns the age of each order in seconds, by order number."""
        return {
            each.order.number: now - each.seen_at
            for each in self.progress.values()
        }

    def merge_ages(self, ages: dict[int, float], now: float) -> None:
        """Adopts the order ages reported by another host."""
        for each in self.progress.values():
            if each.order.number in ages:
                each.merge_age(ages[each.order.number], now)

    def doubts(self) -> tuple[int, ...]:
        """Returns the numbers of the orders whose targets were found bad."""
        return tuple(
            each.order.number
            for each in self.progress.values()
            if each.is_doubted
        )

    def mark_doubted(self, number: int) -> progress_lib.Progress | None:
        """Marks the target of an order as bad; returns the rollout if new."""
        for each in self.progress.values():
            if each.order.number == number and not each.is_doubted:
                each.is_doubted = True
                return each
        return None

    def _update_withdrawn(self, record: phases.PhaseRecord) -> None:
        withdrawn = self.withdrawn.setdefault(record.service, set())
        if record.phase is phases.Phase.REVERTED:
            withdrawn.add(record.target)
        else:
            withdrawn.discard(record.target)

    def _update_complete(self, record: phases.PhaseRecord) -> None:
        known = self._complete.get(record.service)
        is_newest = known is None or record.number >= known.number
        if record.phase is phases.Phase.COMPLETE and is_newest:
            self._complete[record.service] = record

    def _established(self, service: str, versions: set[str]) -> set[str]:
        """Returns the version established by the last completed rollout.

        Servers with older versions may remain listed for some time. If no
        server has the established version, all versions are returned.
        """
        complete = self._complete.get(service)
        if complete is None:
            return versions
        return versions & {complete.target} or versions

    def allowed_versions(
        self,
        service: str,
        versions: set[str],
        session: str,
        failed: frozenset[str],
        now: float,
    ) -> set[str]:
        """Returns the versions that the next request to a service may use.

        Args:
            service: Requested service.
            versions: Versions available on its servers.
            session: Session of the request, or empty. A session keeps its
                version during a trial.
            failed: Versions that already failed this request; they are not
                selected for a trial again.
            now: Monotonic time.
        """
        allowed = versions - self.withdrawn.get(service, set())
        progress = self.progress.get(service)
        if progress is None:
            return allowed
        target = {progress.order.target}
        if progress.phase is phases.Phase.COMPLETE:
            return target & versions or allowed
        others = self._established(service, allowed - target)
        is_spread = progress.phase is phases.Phase.SPREAD
        if is_spread and not others:
            return allowed
        may_join = not progress.phase.is_final and (
            is_spread or progress.order.target not in failed
        )
        if may_join and self._may_use_target(progress, versions, session, now):
            return target
        progress.others |= others
        return others

    def _may_use_target(
        self,
        progress: progress_lib.Progress,
        versions: set[str],
        session: str,
        now: float,
    ) -> bool:
        target = progress.order.target
        if target not in versions or progress.is_stopped():
            return False
        if session:
            return self._may_session_use_target(progress, session, now)
        if progress.phase is phases.Phase.SPREAD:
            return progress.takes_next_request(
                phases.target_share(
                    progress.phase, TRIAL_FRACTION, progress.elapsed(now)
                )
            )
        return progress.sent_target < TRIAL_FRACTION * progress.sent

    def _may_session_use_target(
        self, progress: progress_lib.Progress, session: str, now: float
    ) -> bool:
        target = progress.order.target
        known = self.sessions.version_of(session, now)
        is_trial = progress.phase is phases.Phase.TRIAL
        if known is not None and (is_trial or known == target):
            return known == target
        # This must not depend on the counts of this host, because the next
        # request of the session may arrive at another host.
        elapsed = progress.elapsed(now)
        if not is_trial:
            # A host that has just started measures from its own start.
            elapsed = max(elapsed, phases.SPREAD_AT)
        share = phases.target_share(
            progress.phase,
            self.exposure_limit.share / (1.0 - sessions_lib.SESSIONS_JOIN_AT),
            elapsed,
        )
        return (
            elapsed >= sessions_lib.SESSIONS_JOIN_AT
            and sessions_lib.is_selected(
                session, progress.order.service, target, share
            )
        )

    def begin_attempt(
        self,
        service: str,
        route: str,
        version: str,
        now: float,
        *,
        is_stream: bool,
    ) -> attempt_times.TimedAttempt | None:
        """Returns a new attempt whose times a rollout compares, or None."""
        progress = self.progress.get(service)
        if progress is None or progress.phase.is_final:
            return None
        return progress.begin_attempt(route, version, now, is_stream=is_stream)

    def record_sent(
        self, service: str, version: str, session: str, now: float
    ) -> None:
        """Counts a request sent to a server with ``version``."""
        if session:
            self.sessions.record(session, version, now)
        progress = self.progress.get(service)
        if progress is None:
            return
        progress.record_sent(version)
