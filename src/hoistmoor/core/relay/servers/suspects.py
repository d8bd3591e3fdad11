"""Which requests end the servers that run them.

The load that it answers: one request ends each server that begins to run it,
and comes again, at any host. Unless the hosts tell one another, it ends all
servers of its service again and again, and each end costs all that ran beside
it.

When a server ends, each request that it had is a suspect, and the end is noted
against it with how far its run had come. Most of them merely ran beside the one
that is the cause, or the server ended by itself, so one end says little:

- A run that had begun and given nothing, the only such one there, is what a
  crash at the begin of a run looks like. Two of these, at two servers, and the
  request is quarantined. Of 375 requests that were cut beside such a one, 80 of
  them three times or more, none was ever cut so (log of a played day, 7 hosts
  and 6 servers).
- Any other end counts where the request is its likeliest cause, once the other
  hosts have had time to tell what else was there. It takes four of them.
- A whole answer clears the request of all ends until then, and for a minute
  none is noted against it. Many callers may ask for the same in the same words,
  and some server or other ends under them by itself.

A request in quarantine is refused. What is known of a suspect only grows, so
hosts merge what they are told in any order, and need not agree on who tells
first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.servers import serials as serials_lib
from hoistmoor.core.relay.servers import suspect_state

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoistmoor.core.relay.servers import runs as runs_lib

# Servers that it may have ended in any other way. Four, as a request that runs
# beside it may be cut at three of them in a row by chance.
ENDS_TO_QUARANTINE = 4
# Seconds after which it is known what other hosts had at a server that ended,
# with two hosts between.
SETTLED = 1.0
# Seconds after a whole answer for which nothing is held against a request. A
# request that all callers send alike would else be refused once two servers
# ended by themselves, and then nobody could clear it.
ANSWERED_LIFE = 60.0
MOST_ANSWERED = 4096  # Answered requests that are remembered: 0.6 MB.
MOST_SUSPECTS = 256  # A server has 64 requests at once.
MOST_QUARANTINED = 256  # Requests in quarantine, at most.
DROPPED_AT_ONCE = 8  # An eighth of them, where there are too many.
MOST_TOLD = 32  # Suspects in one message: 4 KB.
# Seconds after its newest end for which a request is refused; the servers'
# software may be mended by then.
QUARANTINE = 3600.0


class SuspectTable:
    """What is held against requests, by this host and those that told it.

    Attributes:
        serials: Number its changes.
        newly_quarantined: Fingerprints that are to be logged.
    """

    def __init__(self, serials: serials_lib.Serials | None = None) -> None:
        """Makes a table that holds nothing.

        Args:
            serials: Number its changes; None for its own.
        """
        self.serials = serials or serials_lib.Serials()
        self.newly_quarantined: list[str] = []
        self._states: dict[str, suspect_state.SuspectState] = {}
        # Steady times of the newest whole answers here, oldest first.
        self._answered: dict[str, float] = {}

    def note_end(
        self, server: str, runs: Iterable[runs_lib.Run], now: float
    ) -> None:
        """Takes the runs that a server had when it ended.

        Args:
            server: Its identity.
            runs: Those of this host.
            now: Steady time.
        """
        changed = []
        for run in runs:
            stage = suspect_state.stage_of(run, now)
            if not run.fingerprint or stage is None:
                continue
            if self._was_answered(run.fingerprint, now):
                continue
            state = self._state_of(run.fingerprint, now)
            if state.add(server, stage, now):
                state.newest = now
                changed.append(state)
        self._evaluate(changed, now)

    def note_answered(self, fingerprint: str, now: float) -> None:
        """Notes that a server answered a request whole, and lived."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        if len(self._answered) > MOST_ANSWERED:
            del self._answered[next(iter(self._answered))]
        state = self._states.get(fingerprint)
        if state is None or not state.counted:
            return
        state.clear(set(state.ends))
        self._mark_changed(state)

    def take(
        self, told: Iterable[suspect_state.Suspect], now: float
    ) -> list[str]:
        """Takes what another host holds against requests.

        Returns:
            Identities of servers whose ends were not known here.
        """
        changed = []
        servers: dict[str, None] = {}
        for suspect in told:
            if suspect.age > QUARANTINE:
                continue
            state = self._state_of(suspect.fingerprint, now - suspect.age)
            known = set(state.ends)
            if self._merge(state, suspect, now):
                changed.append(state)
            new = [each for each in state.ends if each not in known]
            servers.update(dict.fromkeys(new))
        self._evaluate(changed, now)
        return list(servers)

    def _merge(
        self,
        state: suspect_state.SuspectState,
        suspect: suspect_state.Suspect,
        now: float,
    ) -> bool:
        """Returns whether what another host tells is new here."""
        new = [
            server
            for server, stage in suspect.ends.items()
            if state.add(server, stage, now)
        ]
        cleared = state.ends.keys() & set(suspect.cleared) - state.cleared
        if self._was_answered(suspect.fingerprint, now):
            cleared = state.ends.keys() - state.cleared
        state.clear(cleared)
        is_quarantined = not state.is_quarantined and state.confirms(suspect)
        if is_quarantined:
            self._quarantine(state)
        if not (new or cleared or is_quarantined):
            return False
        state.newest = max(state.newest, now - suspect.age)
        return True

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is to be refused."""
        state = self._states.get(fingerprint)
        if state is None:
            return False
        if now - state.newest > QUARANTINE:
            del self._states[fingerprint]
            return False
        if not state.is_quarantined and self._is_cause(state, now):
            self._quarantine(state)
            self._mark_changed(state)
        return state.is_quarantined

    def left_for(self, fingerprint: str, now: float) -> float:
        """Returns the seconds until a refused request may be tried again."""
        state = self._states.get(fingerprint)
        return 0.0 if state is None else state.newest + QUARANTINE - now

    def is_likely_cause(self, fingerprint: str) -> bool:
        """Returns whether a request seems to blame for its servers' ends.

        Whoever merely ran there is not to lose an attempt by it.
        """
        state = self._states.get(fingerprint)
        least = suspect_state.STARTS_TO_QUARANTINE
        if state is None or len(state.counted) < least:
            return False
        return len(self._likely(state)) >= least

    def quarantined(self, now: float) -> dict[str, suspect_state.Suspect]:
        """Returns the requests that are refused."""
        return {
            fingerprint: self._states[fingerprint].told(now)
            for fingerprint in tuple(self._states)
            if self.is_quarantined(fingerprint, now)
        }

    def reasons(self, fingerprint: str) -> dict[str, object]:
        """Returns what quarantined a request, for the log."""
        state = self._states.get(fingerprint)
        if state is None:
            return {"fingerprint": fingerprint}
        return {
            "fingerprint": fingerprint,
            "ended": [
                f"{server} {state.ends[server]}" for server in state.counted
            ],
            "likely": self._likely(state),
        }

    def forget(self, fingerprint: str) -> None:
        """Forgets what is held against a request."""
        self._states.pop(fingerprint, None)

    def news(
        self, after: int, now: float
    ) -> tuple[tuple[suspect_state.Suspect, ...], int]:
        """Returns what has changed, oldest first, and up to which serial.

        Args:
            after: Serial up to which it was told already.
            now: Steady time.
        """
        new, until = self.serials.batch(self._states.values(), after, MOST_TOLD)
        return tuple(each.told(now) for each in new), until

    def _was_answered(self, fingerprint: str, now: float) -> bool:
        """Returns whether the request was answered here a short time ago."""
        answered_at = self._answered.get(fingerprint)
        return answered_at is not None and now - answered_at <= ANSWERED_LIFE

    def _state_of(
        self, fingerprint: str, newest: float
    ) -> suspect_state.SuspectState:
        known = self._states.get(fingerprint)
        if known is None:
            known = self._states[fingerprint] = suspect_state.SuspectState(
                fingerprint, newest
            )
            self._make_room()
        return known

    def _make_room(self) -> None:
        """Drops the least of the suspects, and of those that are refused.

        Some at once: a mass of servers that end brings thousands of suspects.
        """
        for is_quarantined, most in (
            (False, MOST_SUSPECTS),
            (True, MOST_QUARANTINED),
        ):
            states = [
                each
                for each in self._states.values()
                if each.is_quarantined is is_quarantined
            ]
            if len(states) <= most:
                continue
            # The newest has no end yet, and is to stay.
            old = sorted(
                states[:-1], key=lambda each: (len(each.counted), each.newest)
            )
            for state in old[: most // DROPPED_AT_ONCE]:
                del self._states[state.fingerprint]

    def _mark_changed(self, state: suspect_state.SuspectState) -> None:
        state.serial = self.serials.take()

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
        # Most suspects have one end, and a mass of servers that end makes
        # thousands of them: the others at each end are looked at for few.
        if len(state.starts) >= suspect_state.STARTS_TO_QUARANTINE:
            only = [
                each
                for each in state.starts
                if self._is_only_start(state, each)
            ]
            if len(only) >= suspect_state.STARTS_TO_QUARANTINE:
                return True
        if len(state.counted) < ENDS_TO_QUARANTINE:
            return False
        settled = [
            server
            for server in self._likeliest(state)
            if now - state.learnt[server] >= SETTLED
        ]
        return len(settled) >= ENDS_TO_QUARANTINE

    def _likely(self, state: suspect_state.SuspectState) -> list[str]:
        """Returns the ends of which no other request is the likelier cause."""
        return [
            server
            for server in state.counted
            if state.weight(server) >= self._heaviest_other(state, server)
        ]

    def _likeliest(self, state: suspect_state.SuspectState) -> list[str]:
        """Returns the ends of which it is the likeliest cause, alone.

        Of two requests that were always together, one is innocent: which one,
        the next end tells.
        """
        return [
            server
            for server in state.counted
            if state.weight(server) > self._heaviest_other(state, server)
        ]

    def _heaviest_other(
        self, state: suspect_state.SuspectState, server: str
    ) -> suspect_state.Weight:
        return max(
            (each.weight(server) for each in self._others_at(state, server)),
            default=suspect_state.NO_WEIGHT,
        )

    def _is_only_start(
        self, state: suspect_state.SuspectState, server: str
    ) -> bool:
        return not any(
            server in other.starts for other in self._others_at(state, server)
        )

    def _others_at(
        self, state: suspect_state.SuspectState, server: str
    ) -> list[suspect_state.SuspectState]:
        return [
            other
            for other in self._states.values()
            if other is not state
            and server in other.ends
            and server not in other.cleared
        ]
