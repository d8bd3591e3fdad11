"""The lease that makes one steward active.

The holder is determined by the order of the records and by *log time* alone:
the append times that the log assigns, made non-decreasing. The clocks of the
hosts do not affect who holds the lease.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import xxhash

from hoistmoor.core import identity

if TYPE_CHECKING:
    from hoistmoor.core.steward import records

LEASE_SECONDS = 15.0
RENEWALS_PER_LEASE = 3
TAKEOVER_SECONDS = 4.0
# Number of hosts up to which few request the lease at once. It is an order of
# magnitude; the exact number of hosts is not needed.
GROUP_SIZE = 1000
_HASH_RANGE = float(1 << 64)


@attrs.frozen
class Lease:
    """The last granted lease.

    Attributes:
        fencing: Fencing token: the offset of the granted request.
        holder: Steward that requested the lease.
        expires_at: Log time from which other requests are granted.
        released: Whether the holder released it.
    """

    fencing: int
    holder: identity.Incarnation
    expires_at: float
    released: bool = False


def apply_request(
    lease: Lease | None,
    request: records.LeaseRequest,
    offset: int,
    log_time: float,
) -> Lease | None:
    """Returns the granted lease, or None while another lease is valid."""
    if lease and not lease.released and log_time < lease.expires_at:
        return None
    return Lease(offset, request.holder, log_time + request.duration)


def apply_renewal(
    lease: Lease | None, renewal: records.LeaseRenewal, log_time: float
) -> Lease | None:
    """Returns the renewed lease, or None if it is no longer current.

    A renewal after expiry is accepted if no other steward was granted the
    lease in between: by the order of the log there is no second holder then.
    """
    if not is_current(lease, renewal.fencing):
        return None
    assert lease
    return attrs.evolve(lease, expires_at=log_time + renewal.duration)


def apply_release(
    lease: Lease | None, release: records.LeaseRelease
) -> Lease | None:
    """Returns the released lease, or None if it is no longer current."""
    if not is_current(lease, release.fencing):
        return None
    assert lease
    return attrs.evolve(lease, released=True)


def is_current(lease: Lease | None, fencing: int) -> bool:
    """Returns whether ``fencing`` is the token of the current lease."""
    return lease is not None and lease.fencing == fencing and not lease.released


def takeover_delay(host: str, fencing: int) -> float:
    """Returns the delay after expiry before a host requests the lease.

    The delays, in seconds, follow the truncated exponential distribution of
    the timer of RFC 5401, in which small values are rare. The number of hosts
    that send a request before they read the first one therefore does not grow
    with the number of hosts.

    Args:
        host: Name of the waiting host.
        fencing: Fencing token of the expired lease. It is part of the hash so
            that the order of the hosts differs between takeovers.
    """
    seed = f"{host}/{fencing}"
    fraction = xxhash.xxh64_intdigest(seed.encode()) / _HASH_RANGE
    scale = math.log(GROUP_SIZE) + 1.0
    spread = math.exp(scale) - 1.0
    return TAKEOVER_SECONDS / scale * math.log1p(fraction * spread)


@attrs.frozen
class ObservedLease:
    """A lease as observed by one host.

    Attributes:
        lease: The lease; None if none was granted yet.
        observed_at: Local time at which the last change of it was read.
    """

    lease: Lease | None
    observed_at: float

    def next_request_at(
        self, host: str, duration: float = LEASE_SECONDS
    ) -> float:
        """Returns the local time at which the host should request the lease.

        The change was appended before it was read, so once ``duration`` has
        passed locally it has also passed in log time.
        """
        if self.lease is None or self.lease.released:
            fencing = self.lease.fencing if self.lease else -1
            return self.observed_at + takeover_delay(host, fencing)
        delay = takeover_delay(host, self.lease.fencing)
        return self.observed_at + duration + delay

    def next_renewal_at(self, duration: float = LEASE_SECONDS) -> float:
        """Returns the local time at which the holder should renew the lease."""
        return self.observed_at + duration / RENEWALS_PER_LEASE
