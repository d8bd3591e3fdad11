"""When a refused caller should come back.

The load that it answers: all hosts were killed or cut off while the store is
away, and all callers are refused. A host that alone cannot serve is asked once
and then another one is: its callers should come back at once. But where a host
is still asked after seconds, the others cannot serve either, and a caller that
comes back at once is only refused again. How long an outage still lasts is not
known; it is expected to last as long as it has lasted.
"""

from __future__ import annotations

from hoistmoor.core import refusals

# Seconds after which another host is asked, where this one alone cannot serve.
ELSEWHERE = 0.05
FOR_ROOM = 0.5  # Seconds until a server that had no room may have some.
# Seconds, at most: callers should find service soon after an outage ends.
LONGEST = 3.0
# Part of the wait by which callers are spread, so that those who were refused
# together do not come back together.
SPREAD = 0.5

_ANY_HOST = frozenset(
    {
        refusals.Reason.STOPPING,
        refusals.Reason.BACKEND_UNREACHABLE,
    }
)
_THIS_HOST = frozenset(
    {
        refusals.Reason.NO_TABLE,
        refusals.Reason.TABLE_STALE,
    }
)


def wait_for(reason: refusals.Reason, unable_for: float, draw: float) -> float:
    """Returns the seconds until a refused caller should come back.

    Args:
        reason: Why it was refused.
        unable_for: Seconds for which this host has had no configuration that
            it may use.
        draw: Random number, 0 to 1.
    """
    if reason in _ANY_HOST:
        return ELSEWHERE
    if reason not in _THIS_HOST:
        return FOR_ROOM
    return _spread(min(LONGEST, max(ELSEWHERE, unable_for)), draw)


def for_rest(left: float, draw: float) -> float:
    """Returns the seconds where servers rest, never less than is left.

    Args:
        left: Seconds until the first rest ends.
        draw: Random number, 0 to 1.
    """
    return left * (1.0 + SPREAD * draw)


def for_lack(lasted: float, draw: float) -> float:
    """Returns the seconds where no server is known that will take a request.

    Args:
        lasted: Seconds for which there has been none.
        draw: Random number, 0 to 1.
    """
    return _spread(min(LONGEST, max(FOR_ROOM, lasted)), draw)


def _spread(wait: float, draw: float) -> float:
    return wait * (1.0 - SPREAD / 2.0 + SPREAD * draw)
