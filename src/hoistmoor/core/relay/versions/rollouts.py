"""All roll-outs, and which versions of a service may get a request."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.beliefs import history
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.core.relay.versions import progress as progress_lib
from hoistmoor.core.relay.versions import sessions as sessions_lib

TRIAL_SHARE = 0.1  # Part of a service's requests that a trial gets, at most.
SLOW_PACE = 3.5  # Times the usual duration that make an answer slow.

_OrderName = tuple[str, float, int]


def _name_of(order: phases.Order) -> _OrderName:
    """Returns what an order is known by in any copy that has it."""
    return order.target, order.duration, order.place.offset


class RolloutBook:
    """All roll-outs that this host knows.

    Attributes:
        sessions: Versions that sessions keep.
        progress: Newest roll-out by service.
        withdrawn: Versions that were reverted, by service.
    """

    def __init__(self, session_life: float) -> None:
        """Makes an empty book.

        Args:
            session_life: Seconds after its last request that a session lives.
        """
        self.sessions = sessions_lib.SessionVersions(session_life)
        self.progress: dict[str, progress_lib.Progress] = {}
        self.withdrawn: dict[str, set[str]] = {}
        self._phases: dict[tuple[str, str], phases.PhaseRecord] = {}
        # Newest roll-out that is complete, by service.
        self._complete: dict[str, phases.PhaseRecord] = {}
        # All orders that were ever taken, by service; their eras do not count.
        self._taken: dict[str, set[_OrderName]] = {}
        self._returned_at = float("-inf")

    def note_return(self, now: float) -> None:
        """Notes that the store has come back from an older copy.

        Operators write again what it has lost, even if the copy has it.
        """
        self._returned_at = now

    def take_order(self, order: phases.Order, now: float) -> bool:
        """Takes an order; returns whether it is news.

        What a newer history of the store has again of the order that is under
        way, or of one before it, begins nothing anew.
        """
        known = self.progress.get(order.service)
        if known is not None:
            if known.order.number >= order.number:
                return False
            is_held = now - self._returned_at < history.HELD_FOR
            if is_held and order.says_as(known.order):
                self._renumber(known, order)
                return False
            if self._was_taken(known, order):
                return False
        taken = self._taken.setdefault(order.service, set())
        taken.add(_name_of(order))
        self.progress[order.service] = progress_lib.Progress(order, now)
        record = self._phases.get((order.service, order.target))
        if record is not None:
            self.take_phase(record)
        return True

    def _renumber(
        self, known: progress_lib.Progress, order: phases.Order
    ) -> None:
        """Has a roll-out go on under the number that its order has now."""
        key = (order.service, order.target)
        record = self._phases.get(key)
        if record is not None and record.is_of(known.order):
            self._phases[key] = attrs.evolve(record, number=order.number)
        known.order = order

    def _was_taken(
        self, known: progress_lib.Progress, order: phases.Order
    ) -> bool:
        """Returns whether an order of an older copy was replaced since."""
        is_returned = order.place.era > known.order.place.era
        taken = self._taken.get(order.service, set())
        return is_returned and _name_of(order) in taken

    def take_phase(self, record: phases.PhaseRecord) -> bool:
        """Takes a phase from the store; returns whether it is news."""
        key = (record.service, record.target)
        known = self._phases.get(key)
        if known is not None and record.is_behind(known):
            return False
        self._phases[key] = record
        self._note_withdrawn(record)
        self._note_complete(record)
        progress = self.progress.get(record.service)
        if progress is not None and record.is_of(progress.order):
            progress.phase = record.phase
        return known != record

    def counted(self, run_name: str) -> tuple[evidence_lib.Evidence, ...]:
        """Returns what this host counted in the roll-outs under way.

        Args:
            run_name: Name of this run of this host; no other has it.
        """
        return tuple(
            evidence_lib.Evidence(
                each.order.service, each.order.number, run_name, each.counts
            )
            for each in self.progress.values()
            if not each.phase.is_final
        )

    def ages(self, now: float) -> dict[int, float]:
        """Returns the seconds since each order was seen, by its number."""
        return {
            each.order.number: now - each.seen_at
            for each in self.progress.values()
        }

    def take_ages(self, ages: dict[int, float], now: float) -> None:
        """Takes another host's word of the same."""
        for each in self.progress.values():
            if each.order.number in ages:
                each.take_age(ages[each.order.number], now)

    def doubts(self) -> tuple[int, ...]:
        """Returns the numbers of the orders whose targets are doubted."""
        return tuple(
            each.order.number
            for each in self.progress.values()
            if each.is_doubted
        )

    def doubt(self, number: int) -> progress_lib.Progress | None:
        """Takes a doubt; returns the roll-out if that is news."""
        for each in self.progress.values():
            if each.order.number == number and not each.is_doubted:
                each.is_doubted = True
                return each
        return None

    def _note_withdrawn(self, record: phases.PhaseRecord) -> None:
        withdrawn = self.withdrawn.setdefault(record.service, set())
        if record.phase is phases.Phase.REVERTED:
            withdrawn.add(record.target)
        else:
            withdrawn.discard(record.target)

    def _note_complete(self, record: phases.PhaseRecord) -> None:
        known = self._complete.get(record.service)
        is_newest = known is None or record.number >= known.number
        if record.phase is phases.Phase.COMPLETE and is_newest:
            self._complete[record.service] = record

    def _settled(self, service: str, versions: set[str]) -> set[str]:
        """Returns the version that the last complete roll-out has left.

        Servers of older ones may be listed for some time. Where it has none,
        all versions are returned.
        """
        complete = self._complete.get(service)
        if complete is None:
            return versions
        return versions & {complete.target} or versions

    def choose(
        self,
        service: str,
        versions: set[str],
        session: str,
        failed: frozenset[str],
        now: float,
    ) -> set[str]:
        """Returns the versions that the next request for a service may use.

        Args:
            service: The service.
            versions: Versions that its servers have.
            session: Session that the request belongs to, or empty. It keeps
                its version while a trial runs.
            failed: Versions that already failed this request; a trial does
                not get it again.
            now: Steady time.
        """
        open_to = versions - self.withdrawn.get(service, set())
        progress = self.progress.get(service)
        if progress is None:
            return open_to
        target = {progress.order.target}
        is_spread = progress.phase is phases.Phase.SPREAD
        is_complete = progress.phase is phases.Phase.COMPLETE
        if is_complete or (is_spread and not progress.is_stopped()):
            return target & versions or open_to
        others = self._settled(service, open_to - target)
        if is_spread:
            return others or open_to
        is_trial = progress.phase is phases.Phase.TRIAL
        may_join = is_trial and progress.order.target not in failed
        if may_join and self._joins_trial(progress, versions, session, now):
            return target
        return others

    def _joins_trial(
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
            known = self.sessions.version_of(session, now)
            if known is not None:
                return known == target
            # No host may decide this by its own counts: a session's next
            # request may come to another host.
            return progress.elapsed(
                now
            ) >= sessions_lib.SESSIONS_AT and sessions_lib.is_drawn(
                session, progress.order.service, target
            )
        return progress.sent_target < TRIAL_SHARE * progress.sent

    def note_sent(
        self, service: str, version: str, session: str, now: float
    ) -> None:
        """Counts a request that goes to a server of ``version``."""
        if session:
            self.sessions.note(session, version, now)
        progress = self.progress.get(service)
        if progress is None:
            return
        progress.sent += 1
        progress.sent_target += version == progress.order.target
