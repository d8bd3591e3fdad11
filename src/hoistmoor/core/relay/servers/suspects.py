"""Which requests end the servers that run them.

The load that it answers: one request ends each server that begins to run it,
and comes again, at any host. Unless the hosts tell one another, it ends all
servers of its service again and again, and each end costs all that ran beside
it.

When a server ends, each request that it had is a suspect, with a strike that
says how far its run had come. Most of them merely ran beside the one that is
to blame, or the server ended by itself, so a strike says little by itself:

- A run that had begun and given nothing, the only such one there, is what a
  crash at the begin of a run looks like. Two of them, at two servers, convict.
  Of 375 requests that were cut beside such a one, 80 of them three times or
  more, none was ever cut so (log of a played day, 7 hosts and 6 servers).
- Other strikes count where the request is the likeliest cause of that end, once
  the other hosts have had time to tell of theirs. Four of them convict.
- A whole answer clears: what was held against the request until then is void,
  and nothing is held against it for a minute. Many callers may ask for the same
  in the same words, and some server or other ends under them by itself.

A convicted request is refused. What is known of a suspect only grows, so hosts
merge what they are told in any order, and need not agree on who tells first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.servers import cases as cases_lib

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoistmoor.core.relay.servers import runs as runs_lib

# Servers that it may have ended in any other way. Four, as a request that runs
# beside it may be cut at three of them in a row by chance.
CONVICTING_ENDS = 4
# Seconds after which the other hosts' strikes for the same end are known, two
# hosts between.
SETTLED = 1.0
# Seconds after a whole answer for which nothing is held against a request. A
# request that all callers send alike would else be refused once two servers
# ended by themselves, and then nobody could clear it.
VOUCHED = 60.0
MOST_VOUCHED = 4096  # Answered requests that are remembered: 0.6 MB.
MOST_SUSPECTS = 256  # Requests with strikes, at most; a server has 64 at once.
MOST_CONVICTED = 256  # Requests that are refused, at most.
DROPPED_AT_ONCE = 8  # An eighth of them, where there are too many.
MOST_TOLD = 32  # Suspects in one message: 4 KB.
# Seconds for which a convicted request is refused; the servers' software may
# be mended by then.
CONVICTION = 3600.0


class SuspectBook:
    """What is held against requests, by this host and those that told it.

    Attributes:
        serial: Number of the newest change.
        verdicts: Fingerprints that were convicted and are to be logged.
    """

    def __init__(self) -> None:
        self.serial = 0
        self.verdicts: list[str] = []
        self._cases: dict[str, cases_lib.Case] = {}
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
        touched = []
        for run in runs:
            stage = cases_lib.strike_of(run, now)
            if not run.fingerprint or stage is None:
                continue
            if self._is_vouched(run.fingerprint, now):
                continue
            case = self._case(run.fingerprint, now)
            if case.add(server, stage, now):
                case.newest = now
                touched.append(case)
        self._judge(touched, now)

    def note_answered(self, fingerprint: str, now: float) -> None:
        """Notes that a server answered a request whole, and lived."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        if len(self._answered) > MOST_VOUCHED:
            del self._answered[next(iter(self._answered))]
        case = self._cases.get(fingerprint)
        if case is None or not case.counted:
            return
        case.clear(set(case.strikes))
        self._touch(case)

    def take(self, told: Iterable[cases_lib.Suspect], now: float) -> list[str]:
        """Takes what another host holds against requests.

        Returns:
            Identities of servers whose ends were not known here.
        """
        touched = []
        servers: dict[str, None] = {}
        for suspect in told:
            if suspect.age > CONVICTION:
                continue
            case = self._case(suspect.fingerprint, now - suspect.age)
            new = [
                server
                for server, stage in suspect.strikes.items()
                if case.add(server, stage, now)
            ]
            servers.update(dict.fromkeys(new))
            void = case.strikes.keys() & set(suspect.void) - case.void
            if self._is_vouched(suspect.fingerprint, now):
                void = case.strikes.keys() - case.void
            case.clear(void)
            is_refused = not case.is_refused and case.confirms(suspect)
            if is_refused:
                self._convict(case)
            if not (new or void or is_refused):
                continue
            case.newest = max(case.newest, now - suspect.age)
            touched.append(case)
        self._judge(touched, now)
        return list(servers)

    def is_convicted(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is to be refused."""
        case = self._cases.get(fingerprint)
        if case is None:
            return False
        if now - case.newest > CONVICTION:
            del self._cases[fingerprint]
            return False
        if not case.is_refused and self._is_guilty(case, now):
            self._convict(case)
            self._touch(case)
        return case.is_refused

    def left_for(self, fingerprint: str, now: float) -> float:
        """Returns the seconds until a convicted request may be tried again."""
        case = self._cases.get(fingerprint)
        return 0.0 if case is None else case.newest + CONVICTION - now

    def is_bystander(self, fingerprint: str) -> bool:
        """Returns whether a request seems not to blame for its servers' ends.

        Whoever merely ran there is not to lose an attempt by it.
        """
        case = self._cases.get(fingerprint)
        if case is None or len(case.counted) < cases_lib.CONVICTING_STARTS:
            return True
        return len(self._likely(case)) < cases_lib.CONVICTING_STARTS

    def convicted(self, now: float) -> dict[str, cases_lib.Suspect]:
        """Returns the requests that are refused."""
        return {
            fingerprint: self._cases[fingerprint].told(now)
            for fingerprint in tuple(self._cases)
            if self.is_convicted(fingerprint, now)
        }

    def reasons(self, fingerprint: str) -> dict[str, object]:
        """Returns what convicted a request, for the log."""
        case = self._cases.get(fingerprint)
        if case is None:
            return {"fingerprint": fingerprint}
        return {
            "fingerprint": fingerprint,
            "ended": [
                f"{server} {case.strikes[server]}" for server in case.counted
            ],
            "likely": self._likely(case),
        }

    def forget(self, fingerprint: str) -> None:
        """Forgets what is held against a request."""
        self._cases.pop(fingerprint, None)

    def news(
        self, after: int, now: float
    ) -> tuple[tuple[cases_lib.Suspect, ...], int]:
        """Returns what has changed, oldest first, and up to which serial.

        Args:
            after: Serial up to which it was told already.
            now: Steady time.
        """
        if after >= self.serial:
            return (), self.serial
        new = sorted(
            (each for each in self._cases.values() if each.serial > after),
            key=lambda each: each.serial,
        )
        is_all = len(new) <= MOST_TOLD
        new = new[:MOST_TOLD]
        until = self.serial if is_all else new[-1].serial
        return tuple(each.told(now) for each in new), until

    def _is_vouched(self, fingerprint: str, now: float) -> bool:
        """Returns whether the request was answered here a short time ago."""
        answered_at = self._answered.get(fingerprint)
        return answered_at is not None and now - answered_at <= VOUCHED

    def _case(self, fingerprint: str, newest: float) -> cases_lib.Case:
        known = self._cases.get(fingerprint)
        if known is None:
            known = self._cases[fingerprint] = cases_lib.Case(
                fingerprint, newest
            )
            self._make_room()
        return known

    def _make_room(self) -> None:
        """Drops the least of the suspects, and of those that are refused.

        Some at once: a mass of servers that end brings thousands of suspects.
        """
        for is_refused, most in (
            (False, MOST_SUSPECTS),
            (True, MOST_CONVICTED),
        ):
            cases = [
                each
                for each in self._cases.values()
                if each.is_refused is is_refused
            ]
            if len(cases) <= most:
                continue
            # The newest has no strike yet, and is to stay.
            old = sorted(
                cases[:-1], key=lambda each: (len(each.counted), each.newest)
            )
            for case in old[: most // DROPPED_AT_ONCE]:
                del self._cases[case.fingerprint]

    def _touch(self, case: cases_lib.Case) -> None:
        self.serial += 1
        case.serial = self.serial

    def _judge(self, cases: list[cases_lib.Case], now: float) -> None:
        for case in cases:
            self._touch(case)
        for case in cases:
            self.is_convicted(case.fingerprint, now)

    def _convict(self, case: cases_lib.Case) -> None:
        case.is_refused = True
        self.verdicts.append(case.fingerprint)

    def _is_guilty(self, case: cases_lib.Case, now: float) -> bool:
        # Most suspects have one strike, and a mass of servers that end makes
        # thousands of them: the others at each end are looked at for few.
        if len(case.starts) >= cases_lib.CONVICTING_STARTS:
            only = [
                each for each in case.starts if self._is_only_start(case, each)
            ]
            if len(only) >= cases_lib.CONVICTING_STARTS:
                return True
        if len(case.counted) < CONVICTING_ENDS:
            return False
        settled = [
            server
            for server in self._likeliest(case)
            if now - case.learnt[server] >= SETTLED
        ]
        return len(settled) >= CONVICTING_ENDS

    def _likely(self, case: cases_lib.Case) -> list[str]:
        """Returns the ends of which no other request is the likelier cause."""
        return [
            server
            for server in case.counted
            if case.weight(server) >= self._heaviest_other(case, server)
        ]

    def _likeliest(self, case: cases_lib.Case) -> list[str]:
        """Returns the ends of which it is the likeliest cause, alone.

        Of two requests that were always together, one is innocent: which one,
        the next end tells.
        """
        return [
            server
            for server in case.counted
            if case.weight(server) > self._heaviest_other(case, server)
        ]

    def _heaviest_other(
        self, case: cases_lib.Case, server: str
    ) -> cases_lib.Weight:
        return max(
            (each.weight(server) for each in self._others_at(case, server)),
            default=cases_lib.NO_WEIGHT,
        )

    def _is_only_start(self, case: cases_lib.Case, server: str) -> bool:
        return not any(
            server in other.starts for other in self._others_at(case, server)
        )

    def _others_at(
        self, case: cases_lib.Case, server: str
    ) -> list[cases_lib.Case]:
        return [
            other
            for other in self._cases.values()
            if other is not case
            and server in other.strikes
            and server not in other.void
        ]
