"""Retry delays for refused requests.

If only one host is unable to serve, its callers should retry immediately, as
they will reach another host. If a host still receives requests after several
seconds, however, the other hosts cannot serve either, and an immediate retry
would only be refused again. This happens if all hosts were killed or
disconnected during a store outage. The remaining duration of an outage is
unknown and estimated as its duration so far.
"""

from __future__ import annotations

from hoistmoor.core import refusals

# Seconds before a retry at another host, if only this one cannot serve.
OTHER_HOST_DELAY = 0.05
CAPACITY_DELAY = 0.5  # Seconds until a server may have capacity again.
# Maximum delay in seconds: callers should be served soon after an outage ends.
MAX_DELAY = 3.0
# Jitter as a fraction of the delay, so that callers refused at the same time do
# not retry at the same time.
JITTER = 0.5

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


def delay_for_reason(
    reason: refusals.Reason, unavailable_duration: float, draw: float
) -> float:
    """Returns the seconds after which a refused caller should retry.

    Args:
        reason: Reason for the refusal.
        unavailable_duration: Seconds for which this host has had no usable
            configuration.
        draw: Random number from 0 to 1.
    """
    if reason in _ANY_HOST:
        return OTHER_HOST_DELAY
    if reason not in _THIS_HOST:
        return CAPACITY_DELAY
    return delay_at_other_host(unavailable_duration, draw)


def delay_at_other_host(lasted: float, draw: float) -> float:
    """Returns the retry delay if this host cannot serve, but others may.

    Args:
        lasted: Seconds for which this host has not been able to serve.
        draw: Random number from 0 to 1.
    """
    return _add_jitter(min(MAX_DELAY, max(OTHER_HOST_DELAY, lasted)), draw)


def delay_during_rest(left: float, draw: float) -> float:
    """Returns the retry delay if all servers have asked for a rest.

    The delay is never shorter than the remaining rest.

    Args:
        left: Seconds until the first rest ends.
        draw: Random number from 0 to 1.
    """
    return left * (1.0 + JITTER * draw)


def delay_until_free(expected: float | None, draw: float) -> float:
    """Returns the retry delay if this host lacks memory for a body.

    Args:
        expected: Expected seconds until it fits; None if not known.
        draw: Random number from 0 to 1.
    """
    known = CAPACITY_DELAY if expected is None else expected
    return _add_jitter(min(MAX_DELAY, max(OTHER_HOST_DELAY, known)), draw)


def delay_without_servers(lasted: float, draw: float) -> float:
    """Returns the retry delay if no server is expected to accept requests.

    Args:
        lasted: Seconds for which there has been no such server.
        draw: Random number from 0 to 1.
    """
    return _add_jitter(min(MAX_DELAY, max(CAPACITY_DELAY, lasted)), draw)


def _add_jitter(wait: float, draw: float) -> float:
    return wait * (1.0 - JITTER / 2.0 + JITTER * draw)
