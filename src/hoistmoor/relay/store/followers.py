"""The followers of all topics, and how often each topic is read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.relay.peers import listing
from hoistmoor.relay.store import follower
from hoistmoor.relay.store import operator_listener
from hoistmoor.relay.store import ports
from hoistmoor.relay.store import quarantine
from hoistmoor.relay.store import server_listener
from hoistmoor.relay.versions import rollout_listeners

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import store_gate

# Seconds that a read of the operators' topic may be held back, and the pause
# after it: together they are the age of a configuration known to be current.
OPERATOR_WAIT = 0.5
SHORT_PAUSE = 0.05
# Entries change many times a second; a pause reads several at once. With two
# copies from host to host, a server that leaves is known well in two seconds.
SERVERS_WAIT = 0.5
SERVERS_PAUSE = 0.3
# Topics that seldom change, and of whose change nobody need hear at once.
SLOW_WAIT = 5.0
HOSTS_PAUSE = 1.0


@attrs.frozen
class _Reading:
    """How one topic is read.

    Attributes:
        topic: What to read.
        listener: Told of each batch.
        wait: Seconds for which the store may hold a read back.
        pause: Seconds between two reads.
        is_probe: Whether this topic shows that the store is back.
        is_held: Whether it is read only once the store was heard.
    """

    topic: ports.KeyedTopic
    listener: follower.Listener
    wait: float
    pause: float
    is_probe: bool = False
    is_held: bool = True


@attrs.frozen
class OwnListeners:
    """Take what relays write themselves, and know what the store has of it.

    Attributes:
        phases: Of roll-outs.
        hosts: The list of hosts.
        quarantine: Requests that are refused.
    """

    phases: rollout_listeners.PhaseListener
    hosts: listing.HostListener
    quarantine: quarantine.QuarantineListener


def make_followers(
    state: state_lib.RelayState,
    platform: ports.Platform,
    gate: store_gate.StoreGate,
    heard: OwnListeners,
    *,
    yields: bool,
) -> dict[str, follower.TopicFollower]:
    """Returns the followers of what a relay must know, by topic.

    Args:
        state: What the relay knows.
        platform: Where it learns it.
        gate: Holds reads back while the store is away.
        heard: Take what relays have written.
        yields: Whether other hosts may read for this one.
    """
    topics, codec = platform.topics, platform.codec
    readings = {
        "operator": _Reading(
            topics.operator,
            operator_listener.OperatorListener(state, codec),
            wait=OPERATOR_WAIT,
            pause=SHORT_PAUSE,
            is_probe=True,
        ),
        "servers": _Reading(
            topics.servers,
            server_listener.ServerListener(state, codec),
            wait=SERVERS_WAIT,
            pause=SERVERS_PAUSE,
        ),
        "phases": _Reading(
            topics.phases,
            heard.phases,
            wait=SLOW_WAIT,
            pause=SHORT_PAUSE,
        ),
        "hosts": _Reading(
            topics.hosts,
            heard.hosts,
            wait=SLOW_WAIT,
            pause=HOSTS_PAUSE,
            is_held=not yields,
        ),
        "quarantine": _Reading(
            topics.quarantine,
            heard.quarantine,
            wait=SLOW_WAIT,
            pause=HOSTS_PAUSE,
        ),
    }
    return {
        name: follower.TopicFollower(
            state,
            name,
            each.topic,
            each.listener,
            wait=each.wait,
            pause=each.pause,
            gate=gate,
            is_probe=each.is_probe,
            is_held=each.is_held,
            yields=yields,
        )
        for name, each in readings.items()
    }
