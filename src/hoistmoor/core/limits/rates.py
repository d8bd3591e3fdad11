"""This host's fraction of the accounts' rate and concurrency limits.

Each host's fraction is its weight divided by the sum of the weights of all
live hosts. A host with little demand has the minimum weight and need not report
it. A host with more demand reports its weight on the log at a low rate.

While hosts disagree, each uses the smaller fraction: it keeps counting a lost
host for a while, and for a weight that changed within the last seconds it uses
the lower value for itself and the higher value for other hosts.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.limits import records

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from hoistmoor.core import identity

    _Pick = Callable[[float, float], float]

MIN_WEIGHT = 0.25
MAX_WEIGHT = 8.0
SETTLE_SECONDS = 5.0  # Time until a changed weight fully applies.
LOST_HOST_SECONDS = 30.0  # A lost host is counted for this long.
REPORT_SECONDS = 60.0  # Minimum time between two reports of a host.
RENEWAL_SECONDS = 1_800.0  # Age at which an unchanged report is renewed.
_CACHE_SECONDS = 1.0  # Time for which a computed fraction is cached.
_HALF_LIFE = 60.0  # Half-life of the smoothed demand, in seconds.


@attrs.frozen
class _Weight:
    """A host's current weight, the previous one, and the time of the change."""

    value: float
    before: float
    since: float


@attrs.frozen
class _CachedFraction:
    """Cached fraction of an account's limits, and its expiry time."""

    value: float
    until: float


@attrs.define
class Demand:
    """Exponentially decaying request rate of one account at this host."""

    rate: float = 0.0
    at: float = 0.0

    def record(self, now: float) -> None:
        """Records a request."""
        self.decay(now)
        self.rate += math.log(2) / _HALF_LIFE

    def decay(self, now: float) -> None:
        """Decays the demand up to ``now``."""
        elapsed = max(0.0, now - self.at)
        self.rate *= 0.5 ** (elapsed / _HALF_LIFE)
        self.at = max(now, self.at)


class RateShares:
    """Divides the account limits among hosts by their demand.

    Attributes:
        incarnation: Incarnation of this process.
        demands: Demand at this host, by account.
    """

    def __init__(self, incarnation: identity.Incarnation) -> None:
        self.incarnation = incarnation
        self.demands: dict[str, Demand] = {}
        self._hosts = {incarnation.host}
        self._lost_at: dict[str, float] = {}
        self._fractions: dict[str, _CachedFraction] = {}
        self._weights: dict[tuple[str, str], _Weight] = {}
        self._reported: tuple[records.DemandWeight, ...] = ()
        self._reported_at = -math.inf

    def on_hosts(self, names: Iterable[str], now: float) -> None:
        """Updates the set of live hosts."""
        live = {*names, self.incarnation.host}
        for host in self._hosts - live:
            self._lost_at.setdefault(host, now)
        for host in live & set(self._lost_at):
            del self._lost_at[host]
        self._hosts |= live
        self._drop_lost_hosts(now)
        self._fractions.clear()

    def host_count(self, now: float) -> int:
        """Returns the number of hosts that share the limits."""
        self._drop_lost_hosts(now)
        return len(self._hosts)

    def on_report(self, report: records.DemandReport, now: float) -> None:
        """Applies a host's demand report, including this host's own."""
        reported = {item.account: item.weight for item in report.weights}
        previous = {
            account for host, account in self._weights if host == report.host
        }
        for account in previous | set(reported):
            value = reported.get(account, MIN_WEIGHT)
            self._set_weight((report.host, account), value, now)
        self._fractions.clear()

    def record_request(self, account: str, now: float) -> None:
        """Records a request that asks for admission."""
        self.demands.setdefault(account, Demand(at=now)).record(now)

    def fraction(self, account: str, now: float) -> float:
        """Returns this host's fraction of an account's limits, at most 1."""
        cached = self._fractions.get(account)
        if cached is None or now >= cached.until:
            value = self._compute_fraction(account, now)
            cached = _CachedFraction(value, now + _CACHE_SECONDS)
            self._fractions[account] = cached
        return cached.value

    def report_due(
        self, limits: Mapping[str, float], now: float
    ) -> records.DemandReport | None:
        """Returns the report to append now, if one is due.

        Args:
            limits: Requests per second allowed over all hosts, by account.
            now: Seconds since the epoch.
        """
        if now - self._reported_at < REPORT_SECONDS:
            return None
        weights = self._own_weights(limits, now)
        renew = weights and now - self._reported_at >= RENEWAL_SECONDS
        if weights == self._reported and not renew:
            return None
        self._reported = weights
        self._reported_at = now
        return records.DemandReport(
            self.incarnation.host, self.incarnation.number, weights
        )

    def on_append_failed(self) -> None:
        """Marks the last report as possibly not stored on the log."""
        self._reported = ()

    def _compute_fraction(self, account: str, now: float) -> float:
        self._drop_lost_hosts(now)
        own = self.incarnation.host
        own_weight = self._weight(own, account, now, min)
        other_weights = sum(
            self._weight(host, account, now, max)
            for host in self._hosts
            if host != own
        )
        return own_weight / (own_weight + other_weights)

    def _own_weights(
        self, limits: Mapping[str, float], now: float
    ) -> tuple[records.DemandWeight, ...]:
        hosts = self.host_count(now)
        weights: list[records.DemandWeight] = []
        for account, demand in sorted(self.demands.items()):
            demand.decay(now)
            limit = limits.get(account, 0.0)
            weight = _weight_of(demand.rate, limit / hosts)
            if weight > MIN_WEIGHT:
                weights.append(records.DemandWeight(account, weight))
        return tuple(weights)

    def _set_weight(
        self, key: tuple[str, str], value: float, now: float
    ) -> None:
        current = self._weights.get(key)
        if current and current.value == value:
            return
        before = current.value if current else MIN_WEIGHT
        self._weights[key] = _Weight(value, before, now)

    def _weight(
        self, host: str, account: str, now: float, pick: _Pick
    ) -> float:
        current = self._weights.get((host, account))
        if current is None:
            return MIN_WEIGHT
        if now - current.since < SETTLE_SECONDS:
            return pick(current.value, current.before)
        return current.value

    def _drop_lost_hosts(self, now: float) -> None:
        lost = {
            host
            for host, at in self._lost_at.items()
            if now - at > LOST_HOST_SECONDS
        }
        if not lost:
            return
        self._hosts -= lost
        for host in lost:
            del self._lost_at[host]
        self._weights = {
            key: weight
            for key, weight in self._weights.items()
            if key[0] not in lost
        }


def _weight_of(demand: float, equal_share: float) -> float:
    """Returns the demand relative to an equal share, as a power of two."""
    if demand <= 0 or equal_share <= 0:
        return MIN_WEIGHT
    power = round(math.log2(demand / equal_share))
    return min(MAX_WEIGHT, max(MIN_WEIGHT, 2.0**power))
