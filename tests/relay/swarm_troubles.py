"""What may leave the hosts of a swarm with little knowledge."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import relay_swarm


def store_away(swarm: relay_swarm.Swarm) -> None:
    """No host hears the store."""
    swarm.store.fault[""] = "silent"


def hosts_with_old_lists(swarm: relay_swarm.Swarm) -> None:
    """Each host lacks a fifth of the others, and lists some that have gone."""
    draws = random.Random(1)
    listed = [each.name for each in swarm.members]
    gone = [f"gone{number}" for number in range(len(listed) // 10 + 1)]
    for member in swarm.members:
        assert member.relay is not None
        known = [
            name
            for name in listed + gone
            if name == member.name or draws.random() > 0.2
        ]
        member.relay.state.router.fleet.shares.take_hosts(known)


def third_of(swarm: relay_swarm.Swarm) -> list[relay_swarm.Member]:
    draws = random.Random(2)
    return draws.sample(swarm.members, len(swarm.members) // 3)


def third_cut_off(swarm: relay_swarm.Swarm) -> None:
    """A third hears neither the store nor others, and serves on."""
    cut = third_of(swarm)
    swarm.cut_off = frozenset(member.name for member in cut)
    for member in cut:
        swarm.store.fault[member.name] = "silent"


def third_down(swarm: relay_swarm.Swarm) -> None:
    """A third has ended, and stays on the lists of the others."""
    for member in third_of(swarm):
        member.stop()


def all_restarted(swarm: relay_swarm.Swarm) -> None:
    """All start anew at once and know nothing of limits."""
    for member in swarm.members:
        member.stop()
    for member in swarm.members:
        member.start()
