"""Faults that leave the hosts of a swarm with incomplete information."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import relay_swarm


def make_store_unavailable(swarm: relay_swarm.Swarm) -> None:
    """Makes the store unreachable for all hosts."""
    swarm.store.fault[""] = "silent"


def give_stale_host_lists(swarm: relay_swarm.Swarm) -> None:
    """Gives each host a stale list of the others.

    Each list lacks a fifth of the hosts and contains some that do not exist.
    """
    draws = random.Random(1)
    listed = [each.name for each in swarm.members]
    departed = [f"gone{number}" for number in range(len(listed) // 10 + 1)]
    for member in swarm.members:
        assert member.relay is not None
        known = [
            name
            for name in listed + departed
            if name == member.name or draws.random() > 0.2
        ]
        member.relay.state.router.fleet.shares.set_hosts(known)


def sample_third(swarm: relay_swarm.Swarm) -> list[relay_swarm.Member]:
    draws = random.Random(2)
    return draws.sample(swarm.members, len(swarm.members) // 3)


def partition_third(swarm: relay_swarm.Swarm) -> None:
    """Partitions a third from the store and the others; it keeps serving."""
    partitioned = sample_third(swarm)
    swarm.cut_off = frozenset(member.name for member in partitioned)
    for member in partitioned:
        swarm.store.fault[member.name] = "silent"


def stop_third(swarm: relay_swarm.Swarm) -> None:
    """Stops a third of the hosts, which stay on the lists of the others."""
    for member in sample_third(swarm):
        member.stop()


def restart_all(swarm: relay_swarm.Swarm) -> None:
    """Restarts all hosts at once, which loses their knowledge of limits."""
    for member in swarm.members:
        member.stop()
    for member in swarm.members:
        member.start()
