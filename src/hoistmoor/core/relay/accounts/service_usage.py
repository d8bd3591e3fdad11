"""Recent usage of one service by all accounts, over all hosts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.accounts import recent_service
from hoistmoor.core.relay.accounts import usual_parts
from hoistmoor.core.routing import hashing

if TYPE_CHECKING:
    from hoistmoor.core.relay.accounts import policy as policy_lib

# An account is above its share from this multiple of it. Below, its service
# differs from the share by the chance of when requests arrive.
ALLOWANCE = 1.5
# Fraction of its share that an account above it has for certain. The rest goes
# to those that waited before the crowd was known, one or two exchanges.
PAYBACK = 0.5
# Accounts that a host tells of, on average at most.
MAX_TOLD = 32
# Accounts told by all hosts together from which each host tells fewer.
MAX_KNOWN = 100
# Seconds after a shortage until parts count as usual again.
SHORTAGE_HOLD = recent_service.MEMORY_SECONDS
# Seconds between two updates of what changes slowly.
UPDATE_INTERVAL = 0.3
# Seconds after which another sample is drawn.
SAMPLE_SECONDS = 0.1


@attrs.frozen
class AccountUsage:
    """Recent service of an account by one service, over all hosts.

    Attributes:
        service: Name of the service.
        account: Name of the account.
        usage: Its recent service in seconds of a usual server.
        share: Its share of the recent service of all accounts, likewise.
    """

    service: str
    account: str
    usage: float = 0.0
    share: float = 0.0

    @property
    def excess(self) -> float:
        """Seconds of service above the share; 0.0 within it."""
        return max(0.0, self.usage - ALLOWANCE * self.share)

    @property
    def part_within(self) -> float:
        """Part of the account's requests that its share has room for."""
        if self.excess <= 0.0:
            return 1.0
        return PAYBACK * self.share / self.usage

    @property
    def doublings(self) -> int:
        """How often the share can be doubled within the usage."""
        if self.excess <= 0.0 or self.share <= 0.0:
            return 0
        return int(math.log2(self.usage / self.share))


@attrs.define
class ServiceUsage:
    """Recent usage of one service by all accounts, over all hosts.

    Attributes:
        name: Name of the service.
        own: Recent service that this host was asked for.
        others: Recent service that other hosts told, by account.
        others_total: Recent service of all accounts that other hosts told.
        usual: Usual parts of the accounts in this host's own service.
        active_weight: Sum of the weights of the active accounts.
        crowds: Service above their shares, by account.
        shortage_at: Time of the last shortage of room.
        updated_at: Time of the last update.
    """

    name: str
    own: recent_service.RecentService = attrs.field(
        factory=recent_service.RecentService
    )
    others: dict[str, float] = attrs.field(factory=dict)
    others_total: float = 0.0
    usual: usual_parts.UsualParts = attrs.field(factory=usual_parts.UsualParts)
    active_weight: float = 0.0
    crowds: dict[str, float] = attrs.field(factory=dict)
    shortage_at: float = float("-inf")
    updated_at: float = float("-inf")

    def of(self, account: str, now: float) -> float:
        """Returns the recent service of an account."""
        return self.own.of(account, now) + self.others.get(account, 0.0)

    def total(self, now: float) -> float:
        """Returns the recent service of all accounts."""
        return self.own.total.current(now) + self.others_total

    def is_short(self, now: float) -> bool:
        """Returns whether room is or was just short."""
        return now - self.shortage_at < SHORTAGE_HOLD

    def share_of(
        self, account: str, policy: policy_lib.AccountPolicy, now: float
    ) -> float:
        """Returns the account's share of the recent service.

        Its part is what the weights of the active accounts give, or its usual
        part if that is more. The part refers to the service of the other
        accounts within their shares, so that no account raises a share by its
        requests.
        """
        weight = policy.weight_of(account)
        weights = max(weight, self.active_weight)
        part = max(weight / weights, self.usual.of(account))
        if part >= 1.0:
            return self.total(now)
        others = self.total(now) - self.of(account, now)
        crowds = sum(self.crowds.values()) - self.crowds.get(account, 0.0)
        return part / (1.0 - part) * max(0.0, others - crowds)

    def usage_of(
        self, account: str, policy: policy_lib.AccountPolicy, now: float
    ) -> AccountUsage:
        """Returns the recent service and the share of an account."""
        return AccountUsage(
            self.name,
            account,
            self.of(account, now),
            self.share_of(account, policy, now),
        )

    def told(self, host: str, now: float) -> dict[str, float]:
        """Returns a sample of this host's own service, by account.

        Small amounts are raised to a threshold, and told as seldom as makes up
        for it, so that sums over many hosts are right on average (threshold
        sampling; Duffield, Lund and Thorup, 2005).

        Args:
            host: Name of this host.
            now: Monotonic time.
        """
        crowding = max(1.0, len(self.others) / MAX_KNOWN)
        threshold = self.own.total.current(now) / MAX_TOLD * crowding
        current = {
            account: service.current(now)
            for account, service in self.own.accounts.items()
        }
        draw = int(now / SAMPLE_SECONDS)
        return {
            account: max(seconds, threshold)
            for account, seconds in current.items()
            if seconds > threshold * hashing.uniform(f"{host} {account}", draw)
        }

    def update(self, policy: policy_lib.AccountPolicy, now: float) -> None:
        """Updates active accounts, crowds and, with room left, usual parts."""
        if now - self.updated_at < UPDATE_INTERVAL:
            return
        self.updated_at = now
        self.own.drop_inactive(now)
        active = self.own.accounts.keys() | self.others.keys()
        self.active_weight = sum(map(policy.weight_of, active))
        self.crowds = {}
        usages = [self.usage_of(each, policy, now) for each in active]
        self.crowds = {
            usage.account: usage.excess for usage in usages if usage.excess
        }
        total = self.own.total.current(now)
        if total <= 0.0 or self.is_short(now):
            return
        parts = {
            account: service.current(now) / total
            for account, service in self.own.accounts.items()
        }
        self.usual.observe(parts, now)
