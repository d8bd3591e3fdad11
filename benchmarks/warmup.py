"""Compares ways for many hosts to share what one cold server bears.

    python benchmarks/warmup.py

A server that looks idle comes back cold. Each host would send it its part of
43 requests a second (what an idle engine draws on 84 hosts that take 300 runs
a second). Printed are, for each way and trouble, the most requests in any
second and the mean rate over the three seconds for which it is cold, both as
means and worst cases over seeds. 18.2 in a second are allowed.
"""

from __future__ import annotations

from collections.abc import Callable
import random
import statistics

import attrs

from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.servers import shares
from hoistmoor.core.relay.servers import warmup

ALLOWED = 18.2
DEMAND = 43.0  # Requests a second, of all hosts together.
COLD = 3.0  # Seconds.
HOSTS = (9, 84, 360)
SEEDS = range(40)
DELAY = 0.05  # Seconds that a request takes to arrive, at most.
LLM = configuration.Service("llm", 10, warmup_duration=COLD, warmup_rate=8.8)
SLOT = 0.1  # Seconds of a host's turn where turns are slots of time.


@attrs.frozen
class Trouble:
    """What the hosts do not know.

    Attributes:
        name: Of the trouble.
        news: Seconds until a host knows that the server is cold, at most.
        unaware: Part of the hosts that never learn it.
        unlisted: Part of the other hosts that a host does not know of.
        clock: Seconds by which hosts' times of day differ, at most.
    """

    name: str
    news: float = 0.0
    unaware: float = 0.0
    unlisted: float = 0.0
    clock: float = 0.01


TROUBLES = (
    Trouble("none"),
    Trouble("news within 1 s", news=1.0),
    Trouble("lists differ by a fifth", unlisted=0.2),
    Trouble("a third cut off", unaware=1 / 3),
    Trouble("time of day differs by 1 s", clock=1.0),
)

# Returns whether a host may send now: its number, the hosts that it knows,
# the time, its own time of day, and when it sent.
May = Callable[[int, list[str], float, float, list[float]], bool]


def by_number(
    host: int, known: list[str], now: float, clock: float, sent: list[float]
) -> bool:
    """Each host gets the rate divided by the number of hosts."""
    gap = len(known) / ALLOWED
    return not sent or now - sent[-1] >= gap


def by_rendezvous(
    host: int, known: list[str], now: float, clock: float, sent: list[float]
) -> bool:
    """A few hosts share it, chosen by rendezvous; see ``core``."""
    warmups = warmup.WarmupPolicies()
    warmups.set_services({"llm": LLM})
    warmups.tolerance = warmup.RateTolerance(1.5, 5.0)
    found = warmups.policy_for("llm")
    assert found is not None
    mine = shares.HostShares(f"h{host}")
    mine.set_hosts(known)
    lately = sum(now - at < warmup.WINDOW_SECONDS for at in sent)
    return lately < mine.quota_for("server@1", found.shared_requests).own


def by_time(
    host: int, known: list[str], now: float, clock: float, sent: list[float]
) -> bool:
    """Hosts take turns by the time of day, as many at once as are allowed."""
    turns = max(1, len(known) // max(1, int(ALLOWED * SLOT)))
    in_turn = int(clock / SLOT) % turns == host % turns
    return in_turn and (not sent or now - sent[-1] >= SLOT)


def unbound(
    host: int, known: list[str], now: float, clock: float, sent: list[float]
) -> bool:
    """Each host sends as it likes."""
    return True


def play(may: May, hosts: int, trouble: Trouble, seed: int) -> list[float]:
    """Returns when requests arrive at the server."""
    draws = random.Random(f"{hosts} {trouble.name} {seed}")
    names = [f"h{number}" for number in range(hosts)]
    arrivals = []
    for host in range(hosts):
        known = [
            name
            for name in names
            if name == names[host] or draws.random() >= trouble.unlisted
        ]
        learns = draws.uniform(0.0, trouble.news)
        if draws.random() < trouble.unaware:
            learns = COLD
        offset = draws.uniform(0.0, trouble.clock)
        sent: list[float] = []
        now = draws.expovariate(DEMAND / hosts)
        while now < COLD:
            if now < learns or may(host, known, now, now + offset, sent):
                sent.append(now)
                arrivals.append(now + draws.uniform(0.0, DELAY))
            now += draws.expovariate(DEMAND / hosts)
    return sorted(arrivals)


def most_in_a_second(arrivals: list[float]) -> int:
    """Returns the most arrivals that lie within one second."""
    first = most = 0
    for last, at in enumerate(arrivals):
        while at - arrivals[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def main() -> None:
    """Prints a line for each trouble, number of hosts and way."""
    for trouble in TROUBLES:
        for hosts in HOSTS:
            for may in (unbound, by_number, by_rendezvous, by_time):
                plays = [play(may, hosts, trouble, seed) for seed in SEEDS]
                most = [most_in_a_second(each) for each in plays]
                rate = statistics.fmean(len(each) for each in plays) / COLD
                print(  # noqa: T201
                    f"{trouble.name:28} {hosts:4} hosts {may.__name__:14}"
                    f" most {statistics.fmean(most):6.1f} {max(most):4}"
                    f" rate {rate:5.1f}"
                )


if __name__ == "__main__":
    main()
