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

import heapq
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.course import identifiers
from hoistmoor.core.relay.servers import crash_causes
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.core.relay.servers import part_states
from hoistmoor.core.relay.servers import serials as serials_lib
from hoistmoor.core.relay.servers import served_parts

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core.relay.servers import runs as runs_lib
    from hoistmoor.core.relay.servers import server as server_lib

CRASH_TTL = 300.0  # Seconds for which a crash is stored.
MAX_CRASHES = 64  # Crashes that are stored.
MAX_QUARANTINES = 64
# Changes in one message, and bytes of their names. While many servers crash,
# those that tell which parts were served must arrive before others settle on a
# cause.
MAX_PER_MESSAGE = 64
MAX_MESSAGE_BYTES = 65_536
# Seconds by which the ages that hosts tell of the same crash may differ.
AGE_TOLERANCE = 2.0
# Seconds for which one host may send the test; then it is another one's turn.
PROBE_TURN_SECONDS = 5.0


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


_SETTLE_SECONDS = (
    crash_causes.MAIN_SETTLE_SECONDS,
    crash_causes.SETTLE_SECONDS,
)
_State = (
    part_states.CrashState
    | part_states.ServedState
    | part_states.QuarantineState
)


def _with_bounded_names(changes: PartChanges) -> PartChanges:
    """Returns changes with parts as this version names them.

    Hosts of an earlier version name parts of any length, also in the store.
    """
    return PartChanges(
        tuple(map(part_evidence.with_bounded_parts, changes.crashes)),
        tuple(
            attrs.evolve(each, part=identifiers.bound(each.part))
            for each in changes.served
        ),
        tuple(
            attrs.evolve(
                each, parts=tuple(sorted(identifiers.bound_all(each.parts)))
            )
            for each in changes.quarantines
        ),
    )


def key_of(quarantine: part_evidence.PartQuarantine) -> str:
    """Returns the key by which this version knows a quarantine."""
    (bounded,) = _with_bounded_names(
        PartChanges(quarantines=(quarantine,))
    ).quarantines
    return part_states.QuarantineState(bounded, 0.0, 0.0).key


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
        self.news: list[part_states.PartNews] = []
        self._crashes: dict[str, part_states.CrashState] = {}
        self._served = served_parts.ServedParts()
        self._told: dict[tuple[str, str, str], part_states.ServedState] = {}
        self._quarantines: dict[str, part_states.QuarantineState] = {}
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
        self._served.record(service, version, parts, now)
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
        changes = _with_bounded_names(changes)
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
    ) -> part_states.QuarantineState | None:
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
        state: part_states.QuarantineState,
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
            for part in state.quarantine.parts:
                self._served.record_part(service, version, part, now)
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
        new, until = self.serials.batch(
            states,
            after,
            MAX_PER_MESSAGE,
            lambda each: each.message_bytes,
            MAX_MESSAGE_BYTES,
        )
        return PartChanges(
            tuple(
                each.to_message(now)
                for each in new
                if isinstance(each, part_states.CrashState)
            ),
            tuple(
                each.to_message(now)
                for each in new
                if isinstance(each, part_states.ServedState)
            ),
            tuple(
                each.to_message(now)
                for each in new
                if isinstance(each, part_states.QuarantineState)
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
            runs = part_evidence.select_runs([*crash.runs])
            state = part_states.CrashState(
                attrs.evolve(crash, runs=runs, age=0.0), now - crash.age, now
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
        if known is not None and at - known.at < served_parts.SERVED_TTL / 2:
            return
        self._told[key] = part_states.ServedState(
            attrs.evolve(served, age=0.0), at
        )
        self._mark_changed(self._told[key])
        self._served.record_part(*key, at)
        self._lift_served(served.service, served.version, (served.part,), now)

    def _tell_served(self, service: str, now: float) -> None:
        """Prepares the suspected parts that were served for other hosts."""
        for state in self._crashes.values():
            crash = state.crash
            if crash.service != service:
                continue
            for part in {part for run in crash.runs for part in run.parts}:
                at = self._served.served_at(service, crash.version, part)
                if now - at <= served_parts.SERVED_TTL:
                    self._tell(service, crash.version, part, at)
        self._drop_old_served(now)

    def _tell(self, service: str, version: str, part: str, at: float) -> None:
        known = self._told.get((service, version, part))
        if known is not None and at - known.at < served_parts.SERVED_TTL / 2:
            return
        state = part_states.ServedState(
            part_evidence.ServedPart(service, version, part), at
        )
        self._told[service, version, part] = state
        self._mark_changed(state)

    def _drop_old_served(self, now: float) -> None:
        for key, state in tuple(self._told.items()):
            if (
                now - state.at > CRASH_TTL
                or len(self._told) > served_parts.MAX_SERVED
            ):
                del self._told[key]

    def _merge_quarantine(
        self, told: part_evidence.PartQuarantine, now: float
    ) -> None:
        if told.age > part_states.QUARANTINE_SECONDS:
            return
        at, probed_at = now - told.age, now - told.probe_age
        state = part_states.QuarantineState(told, at, probed_at)
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

    def _add(self, state: part_states.QuarantineState, now: float) -> None:
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

    def _lift(self, state: part_states.QuarantineState, now: float) -> None:
        state.quarantine = attrs.evolve(state.quarantine, is_lifted=True)
        self._mark_changed(state)
        self._report("lifted", state, now)

    def _report(
        self, kind: str, state: part_states.QuarantineState, now: float
    ) -> None:
        quarantine = state.quarantine
        self.news.append(
            part_states.PartNews(
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
            self._served.has_recent(service, version, now)
            for version in self._versions_at(cause)
        )

    def _candidates(
        self, state: part_states.CrashState, now: float
    ) -> crash_causes.Crash:
        """Returns a crash without the parts that were served."""
        crash = state.crash
        runs = {}
        for run in crash.runs:
            parts = frozenset(
                part
                for part in run.parts
                if not self._served.was_served(
                    crash.service, crash.version, part, state.at
                )
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
            part_states.QuarantineState(
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
        self,
        state: part_states.QuarantineState,
        cause: crash_causes.Cause,
        at: float,
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
