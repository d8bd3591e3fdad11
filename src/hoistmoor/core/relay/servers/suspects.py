"""Detects requests that crash the backend servers running them.

Designed for a request that ends every server that begins to run it and is sent
again, to any host. Unless the hosts exchange what they see, it ends all servers
of its service repeatedly, and each end aborts every request running beside it.

When a server ends, every request that it was running becomes a suspect, and the
end is recorded against it together with the stage that its run had reached.
Most of these requests merely ran beside the cause, or the server ended for
another reason, so a single end is weak evidence:

- A crash at the start of a run leaves exactly one run at the server whose
  response had begun without any part. Two such ends at two servers quarantine
  the request. Of 375 requests that were cut beside such a request, 80 of them
  three times or more, none was ever cut in this way (log of a test day, 7 hosts
  and 6 servers).
- Any other end counts only if the request is its likeliest cause, once other
  hosts have had time to report what else was running there. Four such ends
  quarantine the request.
- A complete response clears the request of all earlier ends, and no ends are
  recorded against it for a minute. Many callers may send identical requests,
  and some servers end during these for unrelated reasons.

A quarantined request is refused. Evidence against a suspect is only ever added,
so hosts can merge reports in any order and need not agree on who sends first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.servers import serials as serials_lib
from hoistmoor.core.relay.servers import suspect_state

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoistmoor.core.relay.servers import runs as runs_lib

# Ends of any other kind that quarantine a request. Four, because a request that
# runs beside the cause may be cut at three servers in a row by chance.
ENDS_TO_QUARANTINE = 4
# Seconds after which other hosts' runs at a server that ended are known, if
# their reports pass through two intermediate hosts.
SETTLE_SECONDS = 1.0
# Seconds after a complete response for which no ends are recorded against the
# request. Otherwise a request that all callers send alike would be refused once
# two servers ended for unrelated reasons, and no response could clear it.
COMPLETED_TTL = 60.0
MAX_COMPLETED = 4096  # Answered requests that are remembered: 0.6 MB.
MAX_SUSPECTS = 256  # Unquarantined ones; a server has 64 requests at once.
MAX_QUARANTINED = 256  # Quarantined requests that are stored.
# When there are too many of either kind, this fraction of the maximum is
# dropped: one in eight.
EVICTION_DIVISOR = 8
MAX_PER_MESSAGE = 32  # Suspects in one message: 4 KB.
# Seconds after the latest end for which a request is refused. The servers'
# software may have been fixed by then.
QUARANTINE_SECONDS = 3600.0


class SuspectTable:
    """Evidence against requests, from this host and from others.

    Attributes:
        serials: Source of change serials.
        newly_quarantined: Fingerprints whose quarantine is yet to be logged.
    """

    def __init__(self, serials: serials_lib.Serials | None = None) -> None:
        """Creates an empty table.

        Args:
            serials: Source of change serials; None to use a private one.
        """
        self.serials = serials or serials_lib.Serials()
        self.newly_quarantined: list[str] = []
        self._states: dict[str, suspect_state.SuspectState] = {}
        # Monotonic time of the latest complete response to each request at
        # this host, oldest first.
        self._completed: dict[str, float] = {}

    def record_end(
        self, server: str, runs: Iterable[runs_lib.Run], now: float
    ) -> None:
        """Records the end of a server against the requests it was running.

        Args:
            server: Identity of the server.
            runs: Runs of this host at the server.
            now: Monotonic time.
        """
        changed = []
        for run in runs:
            stage = suspect_state.stage_of(run, now)
            if not run.fingerprint or stage is None:
                continue
            if self._was_completed(run.fingerprint, now):
                continue
            state = self._state_of(run.fingerprint, now)
            if state.add(server, stage, now):
                state.latest_end_at = now
                changed.append(state)
        self._evaluate(changed, now)

    def record_completed(self, fingerprint: str, now: float) -> None:
        """Records that a server completed a request without ending."""
        self._completed.pop(fingerprint, None)
        self._completed[fingerprint] = now
        if len(self._completed) > MAX_COMPLETED:
            del self._completed[next(iter(self._completed))]
        state = self._states.get(fingerprint)
        if state is None or not state.counted_ends:
            return
        state.clear(set(state.ends))
        self._mark_changed(state)

    def merge(
        self, suspects: Iterable[suspect_state.Suspect], now: float
    ) -> list[str]:
        """Merges the evidence sent by another host.

        Returns:
            Identities of the servers whose ends were unknown to this host.
        """
        changed = []
        ended: dict[str, None] = {}
        for suspect in suspects:
            if suspect.age > QUARANTINE_SECONDS:
                continue
            state = self._state_of(suspect.fingerprint, now - suspect.age)
            known = set(state.ends)
            if self._merge(state, suspect, now):
                changed.append(state)
            new = [server for server in state.ends if server not in known]
            ended.update(dict.fromkeys(new))
        self._evaluate(changed, now)
        return list(ended)

    def _merge(
        self,
        state: suspect_state.SuspectState,
        suspect: suspect_state.Suspect,
        now: float,
    ) -> bool:
        """Merges one suspect; returns whether that changed anything."""
        new = [
            server
            for server, stage in suspect.ends.items()
            if state.add(server, stage, now)
        ]
        cleared = state.ends.keys() & set(suspect.cleared) - state.cleared
        if self._was_completed(suspect.fingerprint, now):
            cleared = state.ends.keys() - state.cleared
        state.clear(cleared)
        is_quarantined = not state.is_quarantined and state.confirms(suspect)
        if is_quarantined:
            self._quarantine(state)
        if not (new or cleared or is_quarantined):
            return False
        state.latest_end_at = max(state.latest_end_at, now - suspect.age)
        return True

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must be refused."""
        state = self._states.get(fingerprint)
        if state is None:
            return False
        if now - state.latest_end_at > QUARANTINE_SECONDS:
            del self._states[fingerprint]
            return False
        if not state.is_quarantined and self._is_cause(state, now):
            self._quarantine(state)
            self._mark_changed(state)
        return state.is_quarantined

    def remaining_quarantine(self, fingerprint: str, now: float) -> float:
        """Returns the seconds until a refused request may be retried."""
        state = self._states.get(fingerprint)
        return (
            0.0
            if state is None
            else state.latest_end_at + QUARANTINE_SECONDS - now
        )

    def is_likely_cause(self, fingerprint: str) -> bool:
        """Returns whether a request probably caused the ends of its servers.

        Requests that merely ran beside the cause must not lose an attempt.
        """
        state = self._states.get(fingerprint)
        threshold = suspect_state.STARTS_TO_QUARANTINE
        if state is None or len(state.counted_ends) < threshold:
            return False
        return len(self._likely_caused(state)) >= threshold

    def quarantined(self, now: float) -> dict[str, suspect_state.Suspect]:
        """Returns the requests that are refused, by fingerprint."""
        return {
            fingerprint: self._states[fingerprint].to_suspect(now)
            for fingerprint in tuple(self._states)
            if self.is_quarantined(fingerprint, now)
        }

    def quarantine_details(self, fingerprint: str) -> dict[str, object]:
        """Returns the reasons for a request's quarantine, as log fields."""
        state = self._states.get(fingerprint)
        if state is None:
            return {"fingerprint": fingerprint}
        return {
            "fingerprint": fingerprint,
            "ended": [
                f"{server} {state.ends[server]}"
                for server in state.counted_ends
            ],
            "likely": self._likely_caused(state),
        }

    def forget(self, fingerprint: str) -> None:
        """Drops all evidence against a request."""
        self._states.pop(fingerprint, None)

    def changes_since(
        self, after: int, now: float
    ) -> tuple[tuple[suspect_state.Suspect, ...], int]:
        """Returns unsent changes, oldest first, and the last serial covered.

        Args:
            after: Serial up to which the receiver is up to date.
            now: Monotonic time.
        """
        new, until = self.serials.batch(
            self._states.values(), after, MAX_PER_MESSAGE
        )
        return tuple(state.to_suspect(now) for state in new), until

    def _was_completed(self, fingerprint: str, now: float) -> bool:
        """Returns whether this host recently saw the request completed."""
        completed_at = self._completed.get(fingerprint)
        return completed_at is not None and now - completed_at <= COMPLETED_TTL

    def _state_of(
        self, fingerprint: str, newest: float
    ) -> suspect_state.SuspectState:
        known = self._states.get(fingerprint)
        if known is None:
            known = self._states[fingerprint] = suspect_state.SuspectState(
                fingerprint, newest
            )
            self._evict()
        return known

    def _evict(self) -> None:
        """Drops the weakest suspects and quarantined requests if too many.

        Several are dropped at once, because many servers that end together
        produce thousands of suspects.
        """
        for is_quarantined, maximum in (
            (False, MAX_SUSPECTS),
            (True, MAX_QUARANTINED),
        ):
            states = [
                suspect
                for suspect in self._states.values()
                if suspect.is_quarantined is is_quarantined
            ]
            if len(states) <= maximum:
                continue
            # The last one was just added and has no ends yet; it must stay.
            weakest = sorted(
                states[:-1],
                key=lambda suspect: (
                    len(suspect.counted_ends),
                    suspect.latest_end_at,
                ),
            )
            for state in weakest[: maximum // EVICTION_DIVISOR]:
                del self._states[state.fingerprint]

    def _mark_changed(self, state: suspect_state.SuspectState) -> None:
        state.serial = self.serials.allocate()

    def _evaluate(
        self, states: list[suspect_state.SuspectState], now: float
    ) -> None:
        for state in states:
            self._mark_changed(state)
        for state in states:
            self.is_quarantined(state.fingerprint, now)

    def _quarantine(self, state: suspect_state.SuspectState) -> None:
        state.is_quarantined = True
        self.newly_quarantined.append(state.fingerprint)

    def _is_cause(self, state: suspect_state.SuspectState, now: float) -> bool:
        # Many servers that end together produce thousands of suspects, most of
        # them with one end. The threshold is checked first, so that the search
        # for other suspects at each end runs for few of them.
        if len(state.ends_at_start) >= suspect_state.STARTS_TO_QUARANTINE:
            unique = [
                start
                for start in state.ends_at_start
                if self._is_only_start(state, start)
            ]
            if len(unique) >= suspect_state.STARTS_TO_QUARANTINE:
                return True
        if len(state.counted_ends) < ENDS_TO_QUARANTINE:
            return False
        settled = [
            server
            for server in self._clearly_caused(state)
            if now - state.learned_at[server] >= SETTLE_SECONDS
        ]
        return len(settled) >= ENDS_TO_QUARANTINE

    def _likely_caused(self, state: suspect_state.SuspectState) -> list[str]:
        """Returns the ends for which no other request is a likelier cause."""
        return [
            server
            for server in state.counted_ends
            if state.weight(server) >= self._heaviest_other(state, server)
        ]

    def _clearly_caused(self, state: suspect_state.SuspectState) -> list[str]:
        """Returns the ends for which it is the single likeliest cause.

        If two requests were always present together, one of them is innocent;
        only the next end shows which one.
        """
        return [
            server
            for server in state.counted_ends
            if state.weight(server) > self._heaviest_other(state, server)
        ]

    def _heaviest_other(
        self, state: suspect_state.SuspectState, server: str
    ) -> suspect_state.Weight:
        return max(
            (other.weight(server) for other in self._others_at(state, server)),
            default=suspect_state.NO_WEIGHT,
        )

    def _is_only_start(
        self, state: suspect_state.SuspectState, server: str
    ) -> bool:
        """Returns whether no other run had just begun at the server."""
        return not any(
            server in other.ends_at_start
            for other in self._others_at(state, server)
        )

    def _others_at(
        self, state: suspect_state.SuspectState, server: str
    ) -> list[suspect_state.SuspectState]:
        """Returns the other suspects against which a server's end counts."""
        return [
            other
            for other in self._states.values()
            if other is not state
            and server in other.ends
            and server not in other.cleared
        ]
