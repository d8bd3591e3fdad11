"""Compares policies by which many hosts keep to the limit of one server.

    python benchmarks/limited_servers.py

All hosts request the server all the time: as often as with 850 requests a
second in front of 90 engines, or as often as a host has a caller at all. For
each policy and disturbance, prints the highest number of requests in any four
seconds over all seeds and the number that is allowed, then the mean and the
lowest fraction of the limit that is used.
"""

from __future__ import annotations

from collections.abc import Callable
import random
import statistics

import attrs

from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import shares

DEMAND = 2.4  # Requests a second of one host.
SIMULATED_SECONDS = 40.0
WINDOW_SECONDS = 4.0  # Requests are counted in windows of this length.
HOSTS = (7, 84, 360)
RATES = (0.3, 1.7, 30.0)
SEEDS = range(10)


@attrs.frozen
class Disturbance:
    """Incomplete information at the hosts, or an uneven load.

    Attributes:
        name: Label in the report.
        unlisted_fraction: Fraction of the other hosts that a host does not
            know of.
        down_fraction: Fraction of the hosts that are down and still listed.
        idle_seconds: Seconds without requests before all hosts get some.
    """

    name: str
    unlisted_fraction: float = 0.0
    down_fraction: float = 0.0
    idle_seconds: float = 0.0


DISTURBANCES = (
    Disturbance("none"),
    Disturbance("lists differ by a fifth", unlisted_fraction=0.2),
    Disturbance("a third down", down_fraction=1 / 3),
    Disturbance("all call after a lull", idle_seconds=20.0),
)


@attrs.define
class Host:
    """A simulated host and its recent sends.

    Attributes:
        name: Name of the host.
        host_shares: Computes its quotas.
        known_hosts: Number of hosts that it knows, itself included.
        start_offset: When it first sends under ``by_number``, as a fraction
            of its interval between two requests.
        sends: Its recent sends.
    """

    name: str
    host_shares: shares.HostShares
    known_hosts: int
    start_offset: float
    sends: shares.RecentSends = attrs.field(factory=shares.RecentSends)


# Returns whether a host may send. Arguments: the host, the limit in requests a
# second, the time, and the generation of the limit.
SendPolicy = Callable[[Host, float, float, int], bool]


def alone(host: Host, rate: float, now: float, generation: int) -> bool:
    """Each host uses the whole limit for itself."""
    return not host.sends.wait(1, 1.0 / rate, now)


def by_number(host: Host, rate: float, now: float, generation: int) -> bool:
    """Each host gets an equal share of the limit."""
    gap = host.known_hosts / (limits.USED_FRACTION * rate)
    return now >= host.start_offset * gap and not host.sends.wait(1, gap, now)


def _by_quota(host: Host, rate: float, now: float, generation: int) -> bool:
    quota = host.host_shares.quota_for(
        f"s {generation}", limits.max_burst(rate)
    )
    if not quota.own:
        return False
    return not host.sends.wait(quota.own, limits.quota_window(rate, quota), now)


def chosen_once(host: Host, rate: float, now: float, generation: int) -> bool:
    """A few hosts share the limit, always the same ones."""
    return _by_quota(host, rate, now, 0)


def chosen_in_turns(
    host: Host, rate: float, now: float, generation: int
) -> bool:
    """A few hosts share the limit; others take over after a silent period."""
    return _by_quota(host, rate, now, generation)


def one_host(host: Host, rate: float, now: float, generation: int) -> bool:
    """One host uses the whole limit, the others nothing."""
    quota = host.host_shares.quota_for(f"s {generation}", 1)
    gap = 1.0 / (limits.USED_FRACTION * rate)
    return bool(quota.own) and not host.sends.wait(1, gap, now)


def simulate(
    may_send: SendPolicy,
    count: int,
    rate: float,
    disturbance: Disturbance,
    seed: int,
) -> list[float]:
    """Returns the arrival times of the requests at the server."""
    rng = random.Random(f"{count} {disturbance.name} {seed}")
    names = [f"h{number}" for number in range(count)]
    hosts = []
    for name in names:
        listed = [
            other
            for other in names
            if other == name or rng.random() >= disturbance.unlisted_fraction
        ]
        host_shares = shares.HostShares(name)
        host_shares.set_hosts(listed)
        hosts.append(Host(name, host_shares, len(listed), rng.random()))
    running = [
        host for host in hosts if rng.random() >= disturbance.down_fraction
    ]
    limit_state = limits.LimitState()
    limit_state.record_limit(rate, 0.0)
    arrivals = []
    now = disturbance.idle_seconds
    while now < disturbance.idle_seconds + SIMULATED_SECONDS:
        now += rng.expovariate(DEMAND * len(running))
        host = rng.choice(running)
        if may_send(host, rate, now, limit_state.generation_at(now)):
            host.sends.record(now)
            limit_state.record_limit(rate, now)
            arrivals.append(now)
    return arrivals


def max_requests_in_a_window(arrivals: list[float]) -> int:
    """Returns the highest number of arrivals within one window."""
    first = highest = 0
    for last, at in enumerate(arrivals):
        while at - arrivals[first] > WINDOW_SECONDS:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def main() -> None:
    """Prints a line for each disturbance, number of hosts, rate and policy."""
    policies = (alone, by_number, chosen_once, chosen_in_turns, one_host)
    for disturbance in DISTURBANCES:
        for count in HOSTS:
            for rate in RATES:
                for may_send in policies:
                    runs = [
                        simulate(may_send, count, rate, disturbance, seed)
                        for seed in SEEDS
                    ]
                    peak = max(map(max_requests_in_a_window, runs))
                    used = [
                        len(arrivals) / SIMULATED_SECONDS / rate
                        for arrivals in runs
                    ]
                    print(  # noqa: T201
                        f"{disturbance.name:24} {count:4} hosts"
                        f" {rate:4} a second"
                        f" {may_send.__name__:16} most {peak:4} of"
                        f" {1.5 * rate * WINDOW_SECONDS + 5:5.1f}"
                        f" used {statistics.fmean(used):5.2f}"
                        f" least {min(used):5.2f}"
                    )


if __name__ == "__main__":
    main()
