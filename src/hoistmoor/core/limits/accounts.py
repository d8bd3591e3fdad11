"""Enforces per-account rate and concurrency limits at this host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.limits import buckets
from hoistmoor.core.limits import rates
from hoistmoor.core.limits import retries

if TYPE_CHECKING:
    from hoistmoor.core import identity
    from hoistmoor.core.table import model

# Burst size of the token bucket, in seconds of the host's fraction of a rate.
BURST_SECONDS = 1.0


@attrs.define
class AccountUsage:
    """Current use of this host's fraction of one account's limits.

    Attributes:
        bucket: Token bucket that enforces the account's rate.
        in_flight: Number of admitted requests that have not finished.
    """

    bucket: buckets.TokenBucket
    in_flight: int = 0


class AccountLimiter:
    """Admits requests within this host's fraction of the account limits.

    Attributes:
        shares: This host's fraction of each account's limits.
        usage: Current use, by account name.
    """

    def __init__(self, incarnation: identity.Incarnation) -> None:
        self.shares = rates.RateShares(incarnation)
        self.usage: dict[str, AccountUsage] = {}
        self._arrivals = 0

    def admit(self, row: model.Account, now: float) -> refusals.Refusal | None:
        """Admits a request, or returns the refusal."""
        self._arrivals += 1
        self.shares.record_request(row.account, now)
        fraction = self.shares.fraction(row.account, now)
        use = self._use(row, fraction, now)
        if use.in_flight >= _host_concurrency(row.concurrency, fraction):
            return self._refuse(refusals.Reason.CONCURRENCY_LIMITED, 0.0)
        if not use.bucket.try_take(now):
            wait = use.bucket.time_until_token(now)
            return self._refuse(refusals.Reason.RATE_LIMITED, wait)
        use.in_flight += 1
        return None

    def release(self, account: str) -> None:
        """Releases the concurrency slot of a finished request."""
        self.usage[account].in_flight -= 1

    def revert(self, account: str) -> None:
        """Reverts the admission of a request that a later check refused.

        Unlike ``release``, this also refunds the rate token.
        """
        self.release(account)
        self.usage[account].bucket.refund()

    def _use(
        self, row: model.Account, fraction: float, now: float
    ) -> AccountUsage:
        rate = row.rate_limit * fraction
        burst = max(1.0, rate * BURST_SECONDS) if rate > 0 else 0.0
        use = self.usage.get(row.account)
        if use is None:
            bucket = buckets.TokenBucket(rate, burst, burst, now)
            use = self.usage[row.account] = AccountUsage(bucket)
        if use.bucket.rate != rate:
            use.bucket.set_rate(rate, burst, now)
        return use

    def _refuse(
        self, reason: refusals.Reason, seconds: float
    ) -> refusals.Refusal:
        wait = retries.jittered_wait(seconds, self._arrivals)
        detail = "This host's part of the account's limit is in use."
        return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail, wait)


def _host_concurrency(concurrency: int, fraction: float) -> int:
    """Returns this host's concurrency limit.

    It is at least 1 unless the account's limit is 0.
    """
    return min(concurrency, max(1, math.floor(concurrency * fraction)))
