"""Which client accounts are above their share of a service.

Addresses one account that sends many times its usual requests, so that the
requests of all others wait. Service is counted by account, as by virtual token
counters (Sheng et al., OSDI 2024), over all hosts, when requests arrive. It
decays: neither debts nor unused shares are kept for long. Requests that compete
for room are ordered by the service above their accounts' shares, so that unused
shares go to whoever asks, as in weighted fair queueing (Demers et al., SIGCOMM
1989).

A host sees few requests of an account: with 60 hosts one in some seconds. It
therefore decides by the sum of what all hosts tell while room is short, which
is a sample where there are many accounts.
"""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.accounts import policy as policy_lib
from hoistmoor.core.relay.accounts import service_usage
from hoistmoor.core.routing import hashing

# Room is short if requests wait for more than this fraction of their target
# latency. Waits vary, so that some then miss it.
SHORTAGE_FRACTION = 0.5
# Seconds for which the requests of an account get the same draw. They seldom
# arrive more often at one host.
DRAW_SECONDS = 0.01
# Separates the service from the account in a key. Neither contains it, as
# accounts are forwarded in a header.
_SEPARATOR = "\n"
_PRECISION = 3  # Digits of told seconds.


@attrs.frozen
class ShareChange:
    """An account went above its share, or is within it again.

    Attributes:
        usage: Its usage and share.
        is_above: Whether it is above its share.
        age: Seconds since other hosts' totals arrived; None without any.
    """

    usage: service_usage.AccountUsage
    is_above: bool
    age: float | None


class AccountShares:
    """Shares of client accounts in each service.

    Attributes:
        host: Name of this host.
        is_enabled: Whether service is recorded; without it no account has any.
        policy: Weights of the accounts.
    """

    def __init__(self, host: str = "") -> None:
        """Creates shares without any service.

        Args:
            host: Name of this host.
        """
        self.host = host
        self.is_enabled = True
        self.policy = policy_lib.AccountPolicy()
        self._services: dict[str, service_usage.ServiceUsage] = {}
        # Accounts above their shares, by service, of which a change was told.
        self._above: dict[str, set[str]] = {}
        self._others_at: float | None = None

    def record(
        self, account: str, service: str, seconds: float, now: float
    ) -> None:
        """Records service of an account.

        Args:
            account: Name of the account; empty for anonymous requests. Their
                callers are not one account, so they are not counted.
            service: Name of the service.
            seconds: Service in seconds of a usual server.
            now: Monotonic time.
        """
        if not self.is_enabled or not account:
            return
        usage = self.service(service)
        usage.own.record(account, seconds, now)
        usage.update(self.policy, now)

    def record_wait(
        self, service: str, wait: float, target: float, now: float
    ) -> bool:
        """Records how long requests to a service wait.

        What accounts use while room is short does not count as usual.

        Args:
            service: Name of the service.
            wait: Expected or observed seconds until a request is served.
            target: Target latency of the request in seconds.
            now: Monotonic time.

        Returns:
            Whether room is short.
        """
        is_short = wait > SHORTAGE_FRACTION * target
        if is_short and self.is_enabled:
            self.service(service).shortage_at = now
        return is_short

    def excess(self, account: str, service: str, now: float) -> float:
        """Returns the seconds of service above the share; 0.0 within it.

        Of an account above its share, some requests count as within it, chosen
        at random as in core-stateless fair queueing (Stoica et al., SIGCOMM
        1998), so that the account is never starved.

        Args:
            account: Name of the account.
            service: Name of the service.
            now: Monotonic time at which the request arrived; the same whenever
                the request is considered. The latest totals decide.
        """
        usage = self.usage(account, service, now)
        key = f"{self.host} {service} {account}"
        draw = hashing.uniform(key, int(now / DRAW_SECONDS))
        return usage.excess if draw >= usage.part_within else 0.0

    def doublings(self, account: str, service: str, now: float) -> int:
        """Returns how often the share can be doubled within the usage.

        See ``excess`` for the arguments.
        """
        if self.excess(account, service, now) <= 0.0:
            return 0
        return self.usage(account, service, now).doublings

    def usage(
        self, account: str, service: str, now: float
    ) -> service_usage.AccountUsage:
        """Returns the recent service and the share of an account."""
        found = self._services.get(service)
        if found is None:
            return service_usage.AccountUsage(service, account)
        return found.usage_of(account, self.policy, now)

    def own_totals(self, now: float) -> dict[str, float]:
        """Returns this host's service to tell others, by service and account.

        Contains a sample of the accounts, and one entry for the remaining
        service, which may be negative, of each service whose room is short.
        """
        totals = {}
        for name, usage in self._services.items():
            if not usage.is_short(now):
                continue
            told = usage.told(self.host, now)
            totals[name] = usage.own.total.current(now) - sum(told.values())
            for account, seconds in told.items():
                totals[f"{name}{_SEPARATOR}{account}"] = seconds
        rounded = {key: round(each, _PRECISION) for key, each in totals.items()}
        return {key: each for key, each in rounded.items() if each}

    def set_others(self, totals: dict[str, float], now: float) -> None:
        """Replaces the service that other hosts told.

        Args:
            totals: Sum of what all other hosts' ``own_totals`` returned; empty
                if none of them has told anything of late.
            now: Monotonic time.
        """
        if not self.is_enabled:
            return
        self._others_at = now if totals else self._others_at
        for usage in self._services.values():
            usage.others = {}
            usage.others_total = 0.0
        for key, seconds in totals.items():
            service, separator, account = key.partition(_SEPARATOR)
            usage = self.service(service)
            usage.others_total += seconds
            if separator:
                usage.others[account] = seconds
        for usage in self._services.values():
            usage.update(self.policy, now)

    def changes(self, now: float) -> list[ShareChange]:
        """Returns the accounts whose state has changed since the last call.

        Accounts count as above from twice their share while room is short, and
        as within it once they have no excess or room is left again.
        """
        age = None if self._others_at is None else now - self._others_at
        found = []
        for name, service in self._services.items():
            above = self._above.setdefault(name, set())
            for account in above | service.crowds.keys():
                usage = service.usage_of(account, self.policy, now)
                limit = usage.excess if account in above else usage.doublings
                is_above = service.is_short(now) and limit > 0
                if is_above == (account in above):
                    continue
                above.symmetric_difference_update({account})
                found.append(ShareChange(usage, is_above, age))
        return found

    def counts_above(self) -> dict[str, int]:
        """Returns the number of accounts above their shares, by service."""
        return {name: len(above) for name, above in self._above.items()}

    def clear(self) -> None:
        """Forgets all service."""
        self._services.clear()
        self._above.clear()

    def service(self, service: str) -> service_usage.ServiceUsage:
        """Returns the usage of a service."""
        return self._services.setdefault(
            service, service_usage.ServiceUsage(service)
        )
