"""Refuses requests with prompt parts that crash the backend servers.

Designed for one part of a prompt that crashes each server which begins to
respond to it, in four of 37 requests a second that are otherwise unlike each
other, at any host. The memory of single requests (``suspects``) starts anew
with each of them.

Each host records the crashes that it sees, with the parts of the requests that
had delivered nothing there, and which parts were served. Hosts send each other
the crashes, and of the served parts those that are suspected. Each host infers
the causes (``crash_causes``); the first one that is certain tells all.

A part counts as served by one version of the servers only, as another version
may crash on it, or no longer.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.servers import crash_causes
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.core.relay.servers import serials as serials_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core.relay.servers import runs as runs_lib
    from hoistmoor.core.relay.servers import server as server_lib

# Seconds for which a served part is no candidate. A crash may occur while a
# service has little traffic.
SERVED_TTL = 60.0
# Served parts that are remembered for each version of a service: 2 MB. 10,000
# new ones a minute pass all hosts.
MAX_SERVED = 8192
# Requests of any kind that must have been served lately, as without them there
# is nothing to tell the parts of sound requests from a crashing one.
MIN_SERVED = 3
CRASH_TTL = 300.0  # Seconds for which a crash is stored.
MAX_CRASHES = 64  # Crashes that are stored.
MAX_QUARANTINES = 64
# Separates a service and parts in the key of a quarantine. Headers do not allow
# it in parts.
KEY_SEPARATOR = " "
# Changes in one message, 64 KB at most. While many servers crash, those that
# tell which parts were served must arrive before others settle on a cause.
MAX_PER_MESSAGE = 64
# Seconds after the latest crash for which requests are refused.
QUARANTINE_SECONDS = 3600.0
# Seconds by which the ages that hosts tell of the same crash may differ.
AGE_TOLERANCE = 2.0
# Seconds from a crash to the first request that is sent as a test, and the
# factor by which the next pause is longer.
FIRST_PROBE_DELAY = 30.0
PROBE_DELAY_FACTOR = 4.0
# Seconds for which one host may send the test; then it is another one's turn.
PROBE_TURN_SECONDS = 5.0


@attrs.define(eq=False)
class CrashState:
    """A crash, as known to this host.

    Attributes:
        crash: What all hosts have reported.
        at: Monotonic time of the crash.
        learned_at: Monotonic time at which this host learned of it.
        serial: Serial of its latest change.
    """

    crash: part_evidence.ServerCrash
    at: float
    learned_at: float
    serial: int = 0

    def to_message(self, now: float) -> part_evidence.ServerCrash:
        """Returns the crash to send to other hosts."""
        return attrs.evolve(self.crash, age=now - self.at)


@attrs.define(eq=False)
class ServedState:
    """A suspected part that was served, to be sent to other hosts.

    Attributes:
        served: The part.
        at: Monotonic time at which it was served.
        serial: Serial of its latest change.
    """

    served: part_evidence.ServedPart
    at: float
    serial: int = 0

    def to_message(self, now: float) -> part_evidence.ServedPart:
        """Returns the part to send to other hosts."""
        return attrs.evolve(self.served, age=now - self.at)


@attrs.define(eq=False)
class QuarantineState:
    """A quarantine, as known to this host.

    Attributes:
        quarantine: What all hosts know of it.
        at: Monotonic time of the latest crash.
        probed_at: Monotonic time of the latest probe, or of that crash.
        serial: Serial of its latest change.
    """

    quarantine: part_evidence.PartQuarantine
    at: float
    probed_at: float
    serial: int = 0

    def to_message(self, now: float) -> part_evidence.PartQuarantine:
        """Returns the quarantine to send to other hosts."""
        return attrs.evolve(
            self.quarantine, age=now - self.at, probe_age=now - self.probed_at
        )

    def is_active(self, now: float) -> bool:
        """Returns whether requests are refused."""
        is_over = now - self.at > QUARANTINE_SECONDS
        return not self.quarantine.is_lifted and not is_over

    def remaining(self, now: float) -> float:
        """Returns the seconds for which requests will be refused."""
        return max(0.0, self.at + QUARANTINE_SECONDS - now)

    @property
    def key(self) -> str:
        """Identifies the quarantine among all services."""
        quarantine = self.quarantine
        return KEY_SEPARATOR.join((quarantine.service, *quarantine.parts))

    @property
    def probe_due_at(self) -> float:
        """Monotonic time of the next probe."""
        factor = PROBE_DELAY_FACTOR**self.quarantine.probes
        return self.probed_at + FIRST_PROBE_DELAY * factor


@attrs.frozen
class PartChanges:
    """Changes that another host lacks.

    Attributes:
        crashes: Crashes of servers.
        served: Suspected parts that were served.
        quarantines: Quarantined parts.
    """

    crashes: tuple[part_evidence.ServerCrash, ...] = ()
    served: tuple[part_evidence.ServedPart, ...] = ()
    quarantines: tuple[part_evidence.PartQuarantine, ...] = ()


@attrs.frozen
class PartNews:
    """A change of what this host believes, to be logged.

    Attributes:
        kind: ``suspected``, ``quarantined``, ``probed`` or ``lifted``.
        service: Service of the requests.
        parts: The parts.
        servers: Servers that crashed.
        age: Seconds since the latest crash.
        probes: Probes so far.
    """

    kind: str
    service: str
    parts: tuple[str, ...]
    servers: tuple[str, ...]
    age: float
    probes: int = 0


_SETTLE_SECONDS = (
    crash_causes.MAIN_SETTLE_SECONDS,
    crash_causes.SETTLE_SECONDS,
)
_State = CrashState | ServedState | QuarantineState


class CrashingParts:
    """Evidence against prompt parts, from this host and from others.

    Attributes:
        serials: Source of change serials.
        news: Changes that are yet to be logged.
    """

    def __init__(self, serials: serials_lib.Serials | None = None) -> None:
        """Creates an empty table.

        Args:
            serials: Source of change serials; None to use a private one.
        """
        self.serials = serials or serials_lib.Serials()
        self.news: list[PartNews] = []
        self._crashes: dict[str, CrashState] = {}
        # Monotonic time at which each part was last served, by service and
        # version; the latest is last.
        self._served: dict[tuple[str, str], dict[str, float]] = {}
        self._latest_served: dict[tuple[str, str], collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=MIN_SERVED)
            )
        )
        self._told: dict[tuple[str, str, str], ServedState] = {}
        self._quarantines: dict[str, QuarantineState] = {}
        self._suspected: set[tuple[str, frozenset[str]]] = set()
        # Monotonic times at which crashes have been known for long enough.
        self._settles_at: list[float] = []  # A heap.

    def record_crash(
        self,
        server: server_lib.ServerState,
        present: list[runs_lib.Run],
        now: float,
    ) -> bool:
        """Records a crash seen by this host.

        Args:
            server: The server.
            present: Runs of this host that may have been there.
            now: Monotonic time.

        Returns:
            Whether any of the runs may be the cause.
        """
        crash = part_evidence.ServerCrash(
            server.entry.identity,
            server.entry.service,
            server.entry.version,
            part_evidence.crashed_runs(present, now),
        )
        if not crash.runs:
            return False
        self._merge_crash(crash, now)
        self._evaluate(crash.service, now)
        return True

    def record_reached(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        """Records that some host reached a server that seemed to have crashed.

        Args:
            server: The server.
            now: Monotonic time.
        """
        state = self._crashes.get(server.entry.identity)
        if state is None or state.crash.is_disproved:
            return
        state.crash = attrs.evolve(state.crash, is_disproved=True)
        self._mark_changed(state)
        self._evaluate(state.crash.service, now)

    def record_served(
        self, service: str, version: str, parts: tuple[str, ...], now: float
    ) -> None:
        """Records that a server responded to a request without crashing."""
        if not parts:
            return
        self._latest_served[service, version].append(now)
        served = self._served.setdefault((service, version), {})
        for part in parts:
            served.pop(part, None)
            served[part] = now
            if len(served) > MAX_SERVED:
                del served[next(iter(served))]
        self._lift_served(service, version, parts, now)
        if any(
            service == suspected and not cause.isdisjoint(parts)
            for suspected, cause in self._suspected
        ):
            self._tell_served(service, now)
            self._evaluate(service, now)

    def merge(self, changes: PartChanges, now: float) -> list[str]:
        """Merges the changes sent by another host.

        Returns:
            Identities of the servers whose crashes were unknown to this host.
        """
        unknown = [
            each.server
            for each in changes.crashes
            if each.server not in self._crashes and each.age <= CRASH_TTL
        ]
        services = set()
        for crash in changes.crashes:
            if crash.age <= CRASH_TTL:
                self._merge_crash(crash, now)
                services.add(crash.service)
        for served in changes.served:
            self._merge_served(served, now)
            services.add(served.service)
        for quarantine in changes.quarantines:
            self._merge_quarantine(quarantine, now)
        for service in services:
            self._tell_served(service, now)
            self._evaluate(service, now)
        return [each for each in unknown if each in self._crashes]

    def quarantine_of(
        self,
        service: str,
        parts: tuple[str, ...],
        listed_versions: Callable[[str], frozenset[str]],
        now: float,
    ) -> QuarantineState | None:
        """Returns the quarantine that refuses a request, or None.

        It ends with the last server of the versions that crashed.

        Args:
            service: Service of the request.
            parts: Prompt parts that it may share with others.
            listed_versions: Returns the versions of a service's servers; empty
                if none is known.
            now: Monotonic time.
        """
        self._evaluate_settled(now)
        for state in self._quarantines.values():
            quarantine = state.quarantine
            if (
                quarantine.service != service
                or not state.is_active(now)
                or not set(quarantine.parts) <= set(parts)
            ):
                continue
            versions = listed_versions(service)
            if not versions or versions.intersection(quarantine.versions):
                return state
        return None

    def claim_probe(
        self,
        state: QuarantineState,
        is_own_turn: Callable[[str], bool],
        now: float,
    ) -> bool:
        """Returns whether this host sends the next refused request as a test.

        Args:
            state: The quarantine.
            is_own_turn: Whether the hosts' common order selects this host for
                a key.
            now: Monotonic time.
        """
        overdue = now - state.probe_due_at
        if overdue < 0.0:
            return False
        turn = int(overdue // PROBE_TURN_SECONDS)
        if not is_own_turn(f"{state.key} {state.quarantine.probes} {turn}"):
            return False
        state.probed_at = now
        state.quarantine = attrs.evolve(
            state.quarantine, probes=state.quarantine.probes + 1
        )
        self._mark_changed(state)
        self._report("probed", state, now)
        return True

    def is_suspected(self, service: str, parts: tuple[str, ...]) -> bool:
        """Returns whether a request probably caused the crash of its server."""
        own = frozenset(parts)
        return any(
            service == suspected and cause <= own
            for suspected, cause in self._suspected
        )

    def quarantined(
        self, now: float
    ) -> dict[str, part_evidence.PartQuarantine]:
        """Returns the active quarantines by their keys."""
        self._evaluate_settled(now)
        return {
            key: state.to_message(now)
            for key, state in self._quarantines.items()
            if state.is_active(now)
        }

    def lift(self, key: str, now: float) -> None:
        """Ends a quarantine, and clears its parts of all crashes so far."""
        state = self._quarantines.get(key)
        if state is None or state.quarantine.is_lifted:
            return
        service = state.quarantine.service
        for version in state.quarantine.versions:
            served = self._served.setdefault((service, version), {})
            served.update(dict.fromkeys(state.quarantine.parts, now))
        self._lift(state, now)
        self._tell_served(service, now)

    def changes_since(self, after: int, now: float) -> tuple[PartChanges, int]:
        """Returns unsent changes, oldest first, and the last serial covered.

        Args:
            after: Serial up to which the receiver is up to date.
            now: Monotonic time.
        """
        states: list[_State] = [
            *self._crashes.values(),
            *self._told.values(),
            *self._quarantines.values(),
        ]
        new, until = self.serials.batch(states, after, MAX_PER_MESSAGE)
        return PartChanges(
            tuple(
                each.to_message(now)
                for each in new
                if isinstance(each, CrashState)
            ),
            tuple(
                each.to_message(now)
                for each in new
                if isinstance(each, ServedState)
            ),
            tuple(
                each.to_message(now)
                for each in new
                if isinstance(each, QuarantineState)
            ),
        ), until

    def _evaluate_settled(self, now: float) -> None:
        """Infers causes again, once other hosts have had time to report."""
        is_due = False
        while self._settles_at and self._settles_at[0] <= now:
            heapq.heappop(self._settles_at)
            is_due = True
        if not is_due:
            return
        for service in {each.crash.service for each in self._crashes.values()}:
            self._evaluate(service, now)

    def _mark_changed(self, state: _State) -> None:
        state.serial = self.serials.allocate()

    def _merge_crash(
        self, crash: part_evidence.ServerCrash, now: float
    ) -> None:
        state = self._crashes.get(crash.server)
        if state is None:
            state = CrashState(
                attrs.evolve(crash, age=0.0), now - crash.age, now
            )
            self._crashes[crash.server] = state
            for seconds in _SETTLE_SECONDS:
                heapq.heappush(self._settles_at, now + seconds)
            self._mark_changed(state)
            self._drop_old_crashes(now)
            return
        known = state.crash
        merged = attrs.evolve(
            known,
            runs=part_evidence.select_runs([*known.runs, *crash.runs]),
            is_disproved=known.is_disproved or crash.is_disproved,
        )
        if set(merged.runs) == set(known.runs):
            merged = attrs.evolve(merged, runs=known.runs)
        if merged != known:
            state.crash = merged
            self._mark_changed(state)

    def _drop_old_crashes(self, now: float) -> None:
        for server, state in tuple(self._crashes.items()):
            is_old = now - state.at > CRASH_TTL
            if is_old or len(self._crashes) > MAX_CRASHES:
                del self._crashes[server]

    def _merge_served(
        self, served: part_evidence.ServedPart, now: float
    ) -> None:
        at = now - served.age
        key = (served.service, served.version, served.part)
        known = self._told.get(key)
        if known is not None and at - known.at < SERVED_TTL / 2:
            return
        self._told[key] = ServedState(attrs.evolve(served, age=0.0), at)
        self._mark_changed(self._told[key])
        by_part = self._served.setdefault(key[:2], {})
        by_part[served.part] = max(at, by_part.get(served.part, at))
        self._lift_served(served.service, served.version, (served.part,), now)

    def _tell_served(self, service: str, now: float) -> None:
        """Prepares the suspected parts that were served for other hosts."""
        for state in self._crashes.values():
            crash = state.crash
            if crash.service != service:
                continue
            served = self._served.get((service, crash.version), {})
            for run in crash.runs:
                for part in run.parts:
                    at = served.get(part)
                    if at is not None and now - at <= SERVED_TTL:
                        self._tell(service, crash.version, part, at)
        self._drop_old_served(now)

    def _tell(self, service: str, version: str, part: str, at: float) -> None:
        known = self._told.get((service, version, part))
        if known is not None and at - known.at < SERVED_TTL / 2:
            return
        state = ServedState(
            part_evidence.ServedPart(service, version, part), at
        )
        self._told[service, version, part] = state
        self._mark_changed(state)

    def _drop_old_served(self, now: float) -> None:
        for key, state in tuple(self._told.items()):
            if now - state.at > CRASH_TTL or len(self._told) > MAX_SERVED:
                del self._told[key]

    def _merge_quarantine(
        self, told: part_evidence.PartQuarantine, now: float
    ) -> None:
        if told.age > QUARANTINE_SECONDS:
            return
        at, probed_at = now - told.age, now - told.probe_age
        state = QuarantineState(told, at, probed_at)
        known = self._quarantines.get(state.key)
        if known is None:
            self._add(state, now)
            return
        is_newer = at > known.at + AGE_TOLERANCE
        is_outdated = at < known.at - AGE_TOLERANCE
        if is_outdated or (known.quarantine.is_lifted and not is_newer):
            return
        was_active = known.is_active(now)
        merged = attrs.evolve(
            known.quarantine,
            probes=max(known.quarantine.probes, told.probes),
            is_lifted=told.is_lifted,
        )
        is_probe = probed_at > known.probed_at + AGE_TOLERANCE
        if merged == known.quarantine and not is_newer and not is_probe:
            return
        known.quarantine = merged
        known.at = max(known.at, at)
        known.probed_at = max(known.probed_at, probed_at)
        self._mark_changed(known)
        if was_active != known.is_active(now):
            kind = "lifted" if was_active else "quarantined"
            self._report(kind, known, now)

    def _add(self, state: QuarantineState, now: float) -> None:
        if len(self._quarantines) >= MAX_QUARANTINES:
            oldest = min(self._quarantines.values(), key=lambda each: each.at)
            del self._quarantines[oldest.key]
        self._quarantines[state.key] = state
        self._mark_changed(state)
        if state.is_active(now):
            self._report("quarantined", state, now)

    def _lift_served(
        self, service: str, version: str, parts: tuple[str, ...], now: float
    ) -> None:
        state = self.quarantine_of(
            service, parts, lambda _: frozenset({version}), now
        )
        if state is not None:
            self._lift(state, now)

    def _lift(self, state: QuarantineState, now: float) -> None:
        state.quarantine = attrs.evolve(state.quarantine, is_lifted=True)
        self._mark_changed(state)
        self._report("lifted", state, now)

    def _report(self, kind: str, state: QuarantineState, now: float) -> None:
        quarantine = state.quarantine
        self.news.append(
            PartNews(
                kind,
                quarantine.service,
                quarantine.parts,
                quarantine.servers,
                now - state.at,
                quarantine.probes,
            )
        )

    def _versions_at(self, cause: crash_causes.Cause) -> tuple[str, ...]:
        versions = {
            self._crashes[each.server].crash.version for each in cause.crashes
        }
        return tuple(sorted(versions))

    def _evaluate(self, service: str, now: float) -> None:
        """Infers which parts crash a service's servers."""
        causes = crash_causes.find_causes(
            self._candidates(state, now)
            for state in self._crashes.values()
            if state.crash.service == service
            and not state.crash.is_disproved
            and now - state.at <= CRASH_TTL
        )
        self._suspected = {
            each for each in self._suspected if each[0] != service
        }
        for cause in causes:
            self._suspected.add((service, cause.parts))
            if cause.is_certain and self._has_served(service, cause, now):
                self._quarantine(service, cause, now)

    def _has_served(
        self, service: str, cause: crash_causes.Cause, now: float
    ) -> bool:
        """Returns whether sound requests were served recently."""
        return any(
            len(self._latest_served[service, version]) == MIN_SERVED
            and now - self._latest_served[service, version][0] <= SERVED_TTL
            for version in self._versions_at(cause)
        )

    def _candidates(self, state: CrashState, now: float) -> crash_causes.Crash:
        """Returns a crash without the parts that were served."""
        crash = state.crash
        served = self._served.get((crash.service, crash.version), {})
        runs = {}
        for run in crash.runs:
            parts = frozenset(
                part
                for part in run.parts
                if state.at - served.get(part, float("-inf")) > SERVED_TTL
            )
            if parts:
                runs[run.fingerprint] = parts
        return crash_causes.Crash(
            crash.server,
            state.at,
            now - state.learned_at,
            runs,
            frozenset(
                run.fingerprint
                for run in crash.runs
                if run.has_begun and run.fingerprint in runs
            ),
        )

    def _quarantine(
        self, service: str, cause: crash_causes.Cause, now: float
    ) -> None:
        at = max(crash.at for crash in cause.crashes)
        for state in self._quarantines.values():
            quarantine = state.quarantine
            if quarantine.service != service or not state.is_active(now):
                continue
            if set(quarantine.parts) <= cause.parts:
                self._renew(state, cause, at)
                return
        servers = tuple(crash.server for crash in cause.crashes)
        self._add(
            QuarantineState(
                part_evidence.PartQuarantine(
                    service,
                    tuple(sorted(cause.parts)),
                    servers,
                    self._versions_at(cause),
                ),
                at,
                at,
            ),
            now,
        )

    def _renew(
        self, state: QuarantineState, cause: crash_causes.Cause, at: float
    ) -> None:
        """Records further crashes of quarantined parts."""
        if at <= state.at:
            return
        state.at = state.probed_at = at
        state.quarantine = attrs.evolve(
            state.quarantine,
            servers=tuple(crash.server for crash in cause.crashes),
            versions=self._versions_at(cause),
        )
        self._mark_changed(state)
