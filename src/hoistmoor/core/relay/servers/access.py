"""Whether a server may get a request of this host now, and if not, when.

One table of what may keep it from a server: each row asks one belief and
returns the seconds for which that still holds, if any. Whoever chooses a server
asks here, and so does whoever has to tell a refused caller when to come back.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from hoistmoor.core.relay.servers import room as room_lib
    from hoistmoor.core.relay.servers import server as server_lib

    _Wait = Callable[["server_lib.ServerState", float], float]

FOR_GOOD = math.inf  # Seconds for which it holds until something is read.


class Bar(enum.StrEnum):
    """What keeps requests from a server."""

    GONE = "gone"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    RESTING = "resting"
    COLD = "cold"
    LIMITED = "limited"


# These end soon and say nothing against the server's version: a session waits
# for it rather than change its version to and fro.
SHORT = frozenset({Bar.RESTING, Bar.LIMITED})


@attrs.frozen
class Outlook:
    """When a service whose servers may all get nothing may be tried again.

    Attributes:
        bar: What keeps requests from the server that may get one first.
        wait: Seconds until then; ``FOR_GOOD`` where nothing is known to end.
    """

    bar: Bar
    wait: float


class Access:
    """The table, for one host.

    It is asked for each server with each request, so its rows are cheap.

    Attributes:
        evacuated: Failure domains whose servers get no new work.
    """

    def __init__(self, room: room_lib.Room) -> None:
        self.evacuated: frozenset[str] = frozenset()
        # In this order: what is cheap to ask, and bars most, comes first.
        self._rows: tuple[tuple[Bar, _Wait], ...] = (
            (Bar.GONE, _wait_for_return),
            (Bar.LEAVING, _wait_for_departure),
            (Bar.EVACUATED, self._wait_for_evacuation),
            (Bar.RESTING, _wait_for_rest),
            (Bar.COLD, room.wait_for_cold),
            (Bar.LIMITED, room.wait_for_limit),
        )

    def may_get(
        self,
        state: server_lib.ServerState,
        now: float,
        besides: Container[Bar] = (),
    ) -> bool:
        """Returns whether a server may get a request now.

        Args:
            state: The server.
            now: Steady time.
            besides: What does not count.
        """
        for bar, wait in self._rows:
            if wait(state, now) > 0.0 and bar not in besides:
                return False
        return True

    def outlook(
        self, servers: Iterable[server_lib.ServerState], now: float
    ) -> Outlook | None:
        """Returns when the first of some servers may get a request.

        None where one may get it now, or where there is none.
        """
        found = None
        for each in servers:
            if self.may_get(each, now):
                return None
            longest = self._longest(each, now)
            if found is None or longest.wait < found.wait:
                found = longest
        return found

    def _longest(self, state: server_lib.ServerState, now: float) -> Outlook:
        waits = [Outlook(bar, wait(state, now)) for bar, wait in self._rows]
        return max(waits, key=lambda each: each.wait)

    def _wait_for_evacuation(
        self, state: server_lib.ServerState, now: float
    ) -> float:
        if not self.evacuated:
            return 0.0
        return FOR_GOOD if state.entry.zone in self.evacuated else 0.0


def _wait_for_return(state: server_lib.ServerState, now: float) -> float:
    return FOR_GOOD if state.is_gone(now) else 0.0


def _wait_for_departure(state: server_lib.ServerState, now: float) -> float:
    return FOR_GOOD if state.leaves(now) else 0.0


def _wait_for_rest(state: server_lib.ServerState, now: float) -> float:
    return state.rest.until - now
