"""Roll-outs of a service's version: trial, spread, and what it is judged by.

No host holds a lease on a roll-out. Each phase is a record on the store,
written on the condition that nothing was written there since the writer read
it, so the first record has won for everyone. Any host may write the next one;
they take turns only to save calls.
"""

from __future__ import annotations

import enum

import attrs
import xxhash

from hoistmoor.core.relay.versions import evidence as evidence_lib

TRIAL_SHARE = 0.1  # Part of a service's requests that a trial gets, at most.
SPREAD_AT = 0.6  # Part of the time allowed after which all requests move.
COMPLETE_AT = 0.85  # Part of it after which the old version is given up.
# Part of the time allowed after which sessions may join a trial. In the first
# half none may leave the old version, and this host does not know what one ran
# on before: of 195 hosts, hardly two of its requests meet the same.
SESSIONS_AT = 0.52
# Part of the sessions, by a hash that all hosts share, that then may. Few
# requests without one come where most carry one: a deployment with 15 model
# requests a second had 20 answers of the target at 0.96 of the time allowed
# with a fifth of the sessions, and has 12 of them at 0.65 with this share.
SESSION_SHARE = 0.35
MIN_PROOF = 12  # Answers of the target, of all hosts, before all requests move.
SLOW_PACE = 3.5  # Times the usual duration that make an answer slow.
# Seconds after its last record of counts that a host has its turn.
ACTOR_LIFE = 8.0
TURN = 0.6  # Seconds that each host waits for those before it.


class Phase(enum.StrEnum):
    """How far a roll-out has come."""

    TRIAL = "trial"
    SPREAD = "spread"
    COMPLETE = "complete"
    REVERTED = "reverted"

    @property
    def is_final(self) -> bool:
        """Whether nothing may follow it."""
        return self in (Phase.COMPLETE, Phase.REVERTED)


@attrs.frozen
class Order:
    """An operator's order to move a service to a version.

    Attributes:
        service: The service.
        target: The version that all requests are to go to.
        duration: Seconds allowed.
        number: Offset of the order's record; rises with each order.
    """

    service: str
    target: str
    duration: float
    number: int


@attrs.frozen
class PhaseRecord:
    """A phase that a roll-out has reached, as the store keeps it.

    Attributes:
        service: The service.
        target: The version that is rolled out.
        number: Number of the order.
        phase: How far it has come.
    """

    service: str
    target: str
    number: int
    phase: Phase


def next_phase(
    phase: Phase,
    pooled: dict[str, evidence_lib.RouteEvidence],
    elapsed: float,
    *,
    is_doubted: bool = False,
) -> Phase | None:
    """Returns the phase that should follow now, or None to wait.

    Args:
        phase: The one that was reached.
        pooled: Counts of all hosts, by route.
        elapsed: Part of the time allowed that is over, from 0.
        is_doubted: Whether the target was found bad before. It gets no more
            work since then, so nothing can speak for it.
    """
    if phase.is_final:
        return None
    if is_doubted or evidence_lib.is_bad(pooled):
        return Phase.REVERTED
    if evidence_lib.is_doubtful(pooled):
        return None
    proved = sum(route.target.answers for route in pooled.values())
    if phase is Phase.TRIAL and elapsed >= SPREAD_AT and proved >= MIN_PROOF:
        return Phase.SPREAD
    if phase is Phase.SPREAD and elapsed >= COMPLETE_AT:
        return Phase.COMPLETE
    return None


def turn_of(host: str, hosts: list[str], number: int) -> float:
    """Returns the seconds that ``host`` waits before it writes a phase."""
    return rank_of(host, hosts, number) * TURN


def rank_of(host: str, hosts: list[str], number: int) -> int:
    """Returns the place of ``host`` in the order of turns, from 0."""

    def digest(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{number} {name}".encode())

    return sorted({*hosts, host}, key=digest).index(host)


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

    order: Order
    seen_at: float
    phase: Phase = Phase.TRIAL
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


def _is_drawn(session: str, number: int) -> bool:
    """Returns whether a session may join the trial of an order."""
    drawn = xxhash.xxh64_intdigest(f"{number} {session}".encode())
    return drawn < SESSION_SHARE * (1 << 64)


class SessionVersions:
    """Versions of the sessions that this host has served lately.

    Attributes:
        life: Seconds after its last request that a session lives.
    """

    def __init__(self, life: float) -> None:
        self.life = life
        self._known: dict[str, tuple[str, float]] = {}

    def note(self, session: str, version: str, now: float) -> None:
        """Notes that a session's request runs, or ran until now."""
        self._known.pop(session, None)
        self._known[session] = (version, now)
        oldest = next(iter(self._known))
        if now - self._known[oldest][1] > self.life:
            del self._known[oldest]

    def version_of(self, session: str, now: float) -> str | None:
        """Returns the version that a live session has, if it is known."""
        version, at = self._known.get(session, ("", float("-inf")))
        return version if now - at <= self.life else None


class RolloutBook:
    """All roll-outs, and which versions of a service may get a request.

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
        self.sessions = SessionVersions(session_life)
        self.progress: dict[str, Progress] = {}
        self.withdrawn: dict[str, set[str]] = {}
        self._phases: dict[tuple[str, str], PhaseRecord] = {}

    def take_order(self, order: Order, now: float) -> bool:
        """Takes an order; returns whether it is news."""
        known = self.progress.get(order.service)
        if known is not None and known.order.number >= order.number:
            return False
        self.progress[order.service] = Progress(order, now)
        record = self._phases.get((order.service, order.target))
        if record is not None:
            self.take_phase(record)
        return True

    def take_phase(self, record: PhaseRecord) -> bool:
        """Takes a phase from the store; returns whether it is news."""
        key = (record.service, record.target)
        known = self._phases.get(key)
        self._phases[key] = record
        self._note_withdrawn(record)
        progress = self.progress.get(record.service)
        if progress is not None and progress.order.number == record.number:
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

    def doubt(self, number: int) -> Progress | None:
        """Takes a doubt; returns the roll-out if that is news."""
        for each in self.progress.values():
            if each.order.number == number and not each.is_doubted:
                each.is_doubted = True
                return each
        return None

    def _note_withdrawn(self, record: PhaseRecord) -> None:
        withdrawn = self.withdrawn.setdefault(record.service, set())
        if record.phase is Phase.REVERTED:
            withdrawn.add(record.target)
        else:
            withdrawn.discard(record.target)

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
        if progress.phase is Phase.REVERTED:
            return open_to - target
        if progress.phase is Phase.SPREAD and progress.is_stopped():
            return open_to - target or open_to
        if progress.phase is Phase.TRIAL:
            has_failed = progress.order.target in failed
            if not has_failed and self._joins_trial(
                progress, versions, session, now
            ):
                return target
            return open_to - target
        return target & versions or open_to

    def _joins_trial(
        self,
        progress: Progress,
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
            return progress.elapsed(now) >= SESSIONS_AT and _is_drawn(
                session, progress.order.number
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
