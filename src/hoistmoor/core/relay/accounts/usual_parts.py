"""Usual parts of client accounts in the requests of one host for a service.

Accounts differ in size. A large account that sends what it always sends does
not crowd out the others, although it uses more than an equal share. Each host
learns the parts from its own requests, so that hosts need not tell one another
of accounts while there is room.
"""

from __future__ import annotations

import heapq
import math

import attrs

# Seconds after which an observation counts 1/e. One of 60 hosts sees a request
# of a large account in some seconds, so that it takes minutes to tell its part,
# and a burst of ten seconds hardly changes it.
LEARNING_SECONDS = 300.0
# Longest time that one observation stands for, in seconds.
MAX_STEP_SECONDS = 1.0
# Seconds of observation from which averages are used. Of a shorter time, they
# tell who sent the first requests.
MIN_OBSERVED_SECONDS = 5.0
# Accounts tracked for each service. Those with the smallest parts, far below an
# equal share, are left out.
MAX_ACCOUNTS = 200

_MIN_WEIGHT = 1.0 - math.exp(-MIN_OBSERVED_SECONDS / LEARNING_SECONDS)


@attrs.define
class UsualParts:
    """Averages of the parts that accounts had of a service.

    Attributes:
        sums: Weighted sums of the observed parts, by account.
        weight: Sum of the weights; 0 before the first observation.
        at: Monotonic time of the newest observation.
    """

    sums: dict[str, float] = attrs.field(factory=dict)
    weight: float = 0.0
    at: float = float("-inf")

    def observe(self, parts: dict[str, float], now: float) -> None:
        """Adds an observation, weighted by the time since the previous one.

        Args:
            parts: Observed part of each account, 0 to 1; others have none.
            now: Monotonic time.
        """
        elapsed = min(MAX_STEP_SECONDS, max(0.0, now - self.at))
        self.at = now
        kept = math.exp(-elapsed / LEARNING_SECONDS)
        self.weight = kept * self.weight + 1.0 - kept
        sums = {
            account: kept * self.sums.get(account, 0.0)
            + (1.0 - kept) * parts.get(account, 0.0)
            for account in self.sums.keys() | parts.keys()
        }
        if len(sums) > MAX_ACCOUNTS:
            largest = heapq.nlargest(MAX_ACCOUNTS, sums, key=sums.__getitem__)
            sums = {account: sums[account] for account in largest}
        self.sums = sums

    def of(self, account: str) -> float:
        """Returns the usual part of an account, 0 to 1."""
        if self.weight < _MIN_WEIGHT:
            return 0.0
        return self.sums.get(account, 0.0) / self.weight
