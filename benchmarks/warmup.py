"""Compares policies by which many hosts share the capacity of a cold server.

    python benchmarks/warmup.py

A server that looks idle restarts cold. Each host would send it its share of 43
requests a second (what an idle engine attracts from 84 hosts that serve 300
runs a second). For each policy and disturbance, prints the highest number of
requests in any second, as the mean and the worst case over the seeds, and the
mean rate over the three seconds for which the server is cold. 18.2 requests in
a second are allowed.
"""

from __future__ import annotations

from collections.abc import Callable
import random
import statistics

import attrs

from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.servers import shares
from hoistmoor.core.relay.servers import warmup

ALLOWED_RATE = 18.2
DEMAND = 43.0  # Requests a second of all hosts together.
COLD_SECONDS = 3.0  # How long the server is cold.
HOSTS = (9, 84, 360)
SEEDS = range(40)
MAX_ARRIVAL_DELAY = 0.05  # Seconds until a request arrives, at most.
LLM_SERVICE = configuration.Service(
    "llm", 10, warmup_duration=COLD_SECONDS, warmup_rate=8.8
)
SLOT_SECONDS = 0.1  # Length of a host's time slot in ``by_time``.


@attrs.frozen
class Disturbance:
    """Incomplete or wrong information at the hosts.

    Attributes:
        name: Label in the report.
        notification_delay: Seconds until a host knows that the server is cold,
            at most.
        unaware_fraction: Fraction of the hosts that never learn it.
        unlisted_fraction: Fraction of the other hosts that a host does not
            know of.
        clock_skew: Seconds by which the hosts' clocks differ, at most.
    """

    name: str
    notification_delay: float = 0.0
    unaware_fraction: float = 0.0
    unlisted_fraction: float = 0.0
    clock_skew: float = 0.01


DISTURBANCES = (
    Disturbance("none"),
    Disturbance("news within 1 s", notification_delay=1.0),
    Disturbance("lists differ by a fifth", unlisted_fraction=0.2),
    Disturbance("a third cut off", unaware_fraction=1 / 3),
    Disturbance("time of day differs by 1 s", clock_skew=1.0),
)

# Returns whether a host may send now. Arguments: the number of the host, the
# hosts that it knows, the time, its own clock, and the times of its sends.
SendPolicy = Callable[[int, list[str], float, float, list[float]], bool]


def by_number(
    host: int, known: list[str], now: float, clock: float, sent: list[float]
) -> bool:
    """Each host gets an equal share of the rate."""
    gap = len(known) / ALLOWED_RATE
    return not sent or now - sent[-1] >= gap


def by_rendezvous(
    host: int, known: list[str], now: float, clock: float, sent: list[float]
) -> bool:
    """A few hosts, chosen by rendezvous hashing, share the rate.

    This is the policy of ``hoistmoor.core.relay.servers``.
    """
    warmups = warmup.WarmupPolicies()
    warmups.set_services({"llm": LLM_SERVICE})
    warmups.tolerance = warmup.RateTolerance(1.5, 5.0)
    policy = warmups.policy_for("llm")
    assert policy is not None
    host_shares = shares.HostShares(f"h{host}")
    host_shares.set_hosts(known)
    recent_sends = sum(now - at < warmup.WINDOW_SECONDS for at in sent)
    return (
        recent_sends
        < host_shares.quota_for("server@1", policy.shared_requests).own
    )


def by_time(
    host: int, known: list[str], now: float, clock: float, sent: list[float]
) -> bool:
    """Hosts send in time slots by their clocks, as many at once as allowed."""
    slots = max(1, len(known) // max(1, int(ALLOWED_RATE * SLOT_SECONDS)))
    owns_slot = int(clock / SLOT_SECONDS) % slots == host % slots
    return owns_slot and (not sent or now - sent[-1] >= SLOT_SECONDS)


def unbound(
    host: int, known: list[str], now: float, clock: float, sent: list[float]
) -> bool:
    """Hosts send without a limit."""
    return True


def simulate(
    may_send: SendPolicy, hosts: int, disturbance: Disturbance, seed: int
) -> list[float]:
    """Returns the arrival times of the requests at the server."""
    rng = random.Random(f"{hosts} {disturbance.name} {seed}")
    names = [f"h{number}" for number in range(hosts)]
    arrivals = []
    for host in range(hosts):
        known = [
            name
            for name in names
            if name == names[host]
            or rng.random() >= disturbance.unlisted_fraction
        ]
        notified_at = rng.uniform(0.0, disturbance.notification_delay)
        if rng.random() < disturbance.unaware_fraction:
            notified_at = COLD_SECONDS
        offset = rng.uniform(0.0, disturbance.clock_skew)
        sent: list[float] = []
        now = rng.expovariate(DEMAND / hosts)
        while now < COLD_SECONDS:
            if now < notified_at or may_send(
                host, known, now, now + offset, sent
            ):
                sent.append(now)
                arrivals.append(now + rng.uniform(0.0, MAX_ARRIVAL_DELAY))
            now += rng.expovariate(DEMAND / hosts)
    return sorted(arrivals)


def max_requests_in_a_second(arrivals: list[float]) -> int:
    """Returns the highest number of arrivals within one second."""
    first = highest = 0
    for last, at in enumerate(arrivals):
        while at - arrivals[first] > 1.0:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def main() -> None:
    """Prints a line for each disturbance, number of hosts and policy."""
    for disturbance in DISTURBANCES:
        for hosts in HOSTS:
            for may_send in (unbound, by_number, by_rendezvous, by_time):
                runs = [
                    simulate(may_send, hosts, disturbance, seed)
                    for seed in SEEDS
                ]
                peaks = [
                    max_requests_in_a_second(arrivals) for arrivals in runs
                ]
                rate = (
                    statistics.fmean(len(arrivals) for arrivals in runs)
                    / COLD_SECONDS
                )
                print(  # noqa: T201
                    f"{disturbance.name:28} {hosts:4} hosts"
                    f" {may_send.__name__:14}"
                    f" most {statistics.fmean(peaks):6.1f} {max(peaks):4}"
                    f" rate {rate:5.1f}"
                )


if __name__ == "__main__":
    main()
