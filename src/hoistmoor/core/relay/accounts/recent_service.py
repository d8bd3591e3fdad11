"""Recent service of client accounts by one service, on one host."""

from __future__ import annotations

import math

import attrs

# Seconds after which a term of a sum counts 1/e. Requests have time limits of
# 6 to 25 s, so older service hardly competed with what waits now.
MEMORY_SECONDS = 5.0
# Seconds without a request after which an account is no longer active. Its sum
# has decayed to less than a hundredth by then.
ACTIVE_SECONDS = 5.0 * MEMORY_SECONDS
# Accounts tracked by one host for each service. Above this, the smaller half is
# no longer counted separately.
MAX_ACCOUNTS = 1000


@attrs.define
class DecayingSum:
    """Sum whose terms lose weight exponentially with age.

    Attributes:
        value: The sum at the time of the newest term.
        at: Monotonic time of the newest term.
    """

    value: float = 0.0
    at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds a term."""
        self.value = self.current(now) + amount
        self.at = now

    def current(self, now: float) -> float:
        """Returns the sum."""
        age = max(0.0, now - self.at)
        return self.value * math.exp(-age / MEMORY_SECONDS)


@attrs.define
class RecentService:
    """Recent service of a bounded number of accounts.

    Attributes:
        total: Service of all accounts, including those not tracked.
        accounts: Service of the active accounts.
    """

    total: DecayingSum = attrs.field(factory=DecayingSum)
    accounts: dict[str, DecayingSum] = attrs.field(factory=dict)

    def record(self, account: str, seconds: float, now: float) -> None:
        """Adds service of an account."""
        self.total.add(seconds, now)
        if account not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            self._drop_smaller_half(now)
        self.accounts.setdefault(account, DecayingSum()).add(seconds, now)

    def of(self, account: str, now: float) -> float:
        """Returns the recent service of an account."""
        found = self.accounts.get(account)
        return found.current(now) if found else 0.0

    def drop_inactive(self, now: float) -> None:
        """Removes the accounts that are no longer active."""
        self.accounts = {
            account: service
            for account, service in self.accounts.items()
            if now - service.at < ACTIVE_SECONDS
        }

    def _drop_smaller_half(self, now: float) -> None:
        by_service = sorted(
            self.accounts.items(),
            key=lambda item: item[1].current(now),
            reverse=True,
        )
        self.accounts = dict(by_service[: MAX_ACCOUNTS // 2])
