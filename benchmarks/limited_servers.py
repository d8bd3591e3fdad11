"""Compares ways for many hosts to keep to the limit that one server names.

    python benchmarks/limited_servers.py

All hosts want the server all the time, as often as 850 requests a second
before 90 engines do, or as often as a host has a caller at all. Printed are,
for each way and trouble, the most requests in any four seconds over all seeds
and what is allowed then, and the mean and least part of the limit that is used.
"""

from __future__ import annotations

from collections.abc import Callable
import random
import statistics

import attrs

from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import shares

DEMAND = 2.4  # Requests a second of one host.
PLAYED = 40.0  # Seconds.
WINDOW = 4.0  # Seconds in which requests are counted.
HOSTS = (7, 84, 360)
RATES = (0.3, 1.7, 30.0)
SEEDS = range(10)
STEP = 0.1  # Seconds between two looks at who is silent.


@attrs.frozen
class Trouble:
    """What the hosts do not know.

    Attributes:
        name: Of the trouble.
        unlisted: Part of the other hosts that a host does not know of.
        down: Part of the hosts that are down and still listed.
        lull: Seconds for which nobody calls before all do.
    """

    name: str
    unlisted: float = 0.0
    down: float = 0.0
    lull: float = 0.0


TROUBLES = (
    Trouble("none"),
    Trouble("lists differ by a fifth", unlisted=0.2),
    Trouble("a third down", down=1 / 3),
    Trouble("all call after a lull", lull=20.0),
)


@attrs.define
class Host:
    """One host and what it has sent.

    Attributes:
        name: Its name.
        parts: Its parts.
        known: How many hosts it knows of.
        sends: What it sent.
        begin: When its first turn is, where turns are its own.
    """

    name: str
    parts: shares.HostShares
    known: int
    begin: float
    sends: shares.RecentSends = attrs.field(factory=shares.RecentSends)


# Returns whether a host may send: the rate, the time, and the server's turn.
May = Callable[[Host, float, float, int], bool]


def alone(host: Host, rate: float, now: float, turn: int) -> bool:
    """Each host keeps to the whole limit."""
    return not host.sends.wait(1, 1.0 / rate, now)


def by_number(host: Host, rate: float, now: float, turn: int) -> bool:
    """Each host gets the rate divided by the number of hosts."""
    gap = host.known / (limits.USED_FRACTION * rate)
    return now >= host.begin * gap and not host.sends.wait(1, gap, now)


def _by_hosts(host: Host, rate: float, now: float, turn: int) -> bool:
    part = host.parts.quota_for(f"s {turn}", limits.max_burst(rate))
    if not part.own:
        return False
    return not host.sends.wait(part.own, limits.quota_window(rate, part), now)


def chosen_once(host: Host, rate: float, now: float, turn: int) -> bool:
    """A few hosts share it, always the same."""
    return _by_hosts(host, rate, now, 0)


def chosen_in_turns(host: Host, rate: float, now: float, turn: int) -> bool:
    """A few hosts share it, others where the server is not heard of."""
    return _by_hosts(host, rate, now, turn)


def one_host(host: Host, rate: float, now: float, turn: int) -> bool:
    """One host sends all of it."""
    part = host.parts.quota_for(f"s {turn}", 1)
    gap = 1.0 / (limits.USED_FRACTION * rate)
    return bool(part.own) and not host.sends.wait(1, gap, now)


def play(
    may: May, count: int, rate: float, trouble: Trouble, seed: int
) -> list[float]:
    """Returns when requests arrive at the server."""
    draws = random.Random(f"{count} {trouble.name} {seed}")
    names = [f"h{number}" for number in range(count)]
    hosts = []
    for name in names:
        listed = [
            other
            for other in names
            if other == name or draws.random() >= trouble.unlisted
        ]
        parts = shares.HostShares(name)
        parts.set_hosts(listed)
        hosts.append(Host(name, parts, len(listed), draws.random()))
    up = [host for host in hosts if draws.random() >= trouble.down]
    belief = limits.LimitState()
    belief.record_limit(rate, 0.0)
    arrivals = []
    now = trouble.lull
    while now < trouble.lull + PLAYED:
        now += draws.expovariate(DEMAND * len(up))
        host = draws.choice(up)
        if may(host, rate, now, belief.generation_at(now)):
            host.sends.note(now)
            belief.record_limit(rate, now)
            arrivals.append(now)
    return arrivals


def most_in_a_window(arrivals: list[float]) -> int:
    """Returns the most arrivals that lie within one window."""
    first = most = 0
    for last, at in enumerate(arrivals):
        while at - arrivals[first] > WINDOW:
            first += 1
        most = max(most, last - first + 1)
    return most


def main() -> None:
    """Prints a line for each trouble, number of hosts, rate and way."""
    ways = (alone, by_number, chosen_once, chosen_in_turns, one_host)
    for trouble in TROUBLES:
        for count in HOSTS:
            for rate in RATES:
                for may in ways:
                    plays = [
                        play(may, count, rate, trouble, seed) for seed in SEEDS
                    ]
                    most = max(map(most_in_a_window, plays))
                    used = [len(each) / PLAYED / rate for each in plays]
                    print(  # noqa: T201
                        f"{trouble.name:24} {count:4} hosts {rate:4} a second"
                        f" {may.__name__:16} most {most:4} of"
                        f" {1.5 * rate * WINDOW + 5:5.1f}"
                        f" used {statistics.fmean(used):5.2f}"
                        f" least {min(used):5.2f}"
                    )


if __name__ == "__main__":
    main()
