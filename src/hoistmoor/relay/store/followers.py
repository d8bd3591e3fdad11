"""Creates the followers of all topics, with the intervals of their reads."""

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

# Longest long poll of the operators' topic, and the pause after it, in seconds.
# Their sum is the maximum age of a configuration that is known to be current.
OPERATOR_WAIT = 0.5
SHORT_PAUSE = 0.05
# Server entries change many times a second; the pause collects several changes
# in one read. A leaving server is known everywhere within two seconds, even
# after two copies from host to host.
SERVERS_WAIT = 0.5
SERVERS_PAUSE = 0.3
# For topics that seldom change, and whose changes may arrive late.
SLOW_WAIT = 5.0
HOSTS_PAUSE = 1.0


@attrs.frozen
class _ReadOptions:
    """How one topic is read.

    Attributes:
        topic: The topic to read.
        listener: Called with each batch.
        wait: Longest duration of a long poll, in seconds.
        pause: Seconds between two reads.
        is_probe: Whether the topic is read during an outage of the store to
            detect its end.
        waits_for_store: Whether the first read waits until the store has
            answered another call.
    """

    topic: ports.KeyedTopic
    listener: follower.Listener
    wait: float
    pause: float
    is_probe: bool = False
    waits_for_store: bool = True


@attrs.frozen
class RelayListeners:
    """Listeners of the topics that relays write themselves.

    They also track which of these records the store has.

    Attributes:
        phases: Phases of rollouts.
        hosts: The list of hosts.
        quarantine: Requests in quarantine.
    """

    phases: rollout_listeners.PhaseListener
    hosts: listing.HostListener
    quarantine: quarantine.QuarantineListener


def make_followers(
    state: state_lib.RelayState,
    platform: ports.Platform,
    gate: store_gate.StoreGate,
    own_listeners: RelayListeners,
    *,
    may_use_peers: bool,
) -> dict[str, follower.TopicFollower]:
    """Returns the followers of all topics that a relay needs, by topic name.

    Args:
        state: Shared state of the relay.
        platform: Provides the topics and their codec.
        gate: Blocks reads during an outage of the store.
        own_listeners: Listeners of the topics that relays write themselves.
        may_use_peers: Whether other hosts may read for this one.
    """
    topics, codec = platform.topics, platform.codec
    options = {
        "operator": _ReadOptions(
            topics.operator,
            operator_listener.OperatorListener(state, codec),
            wait=OPERATOR_WAIT,
            pause=SHORT_PAUSE,
            is_probe=True,
        ),
        "servers": _ReadOptions(
            topics.servers,
            server_listener.ServerListener(state, codec),
            wait=SERVERS_WAIT,
            pause=SERVERS_PAUSE,
        ),
        "phases": _ReadOptions(
            topics.phases,
            own_listeners.phases,
            wait=SLOW_WAIT,
            pause=SHORT_PAUSE,
        ),
        "hosts": _ReadOptions(
            topics.hosts,
            own_listeners.hosts,
            wait=SLOW_WAIT,
            pause=HOSTS_PAUSE,
            waits_for_store=not may_use_peers,
        ),
        "quarantine": _ReadOptions(
            topics.quarantine,
            own_listeners.quarantine,
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
            waits_for_store=each.waits_for_store,
            may_use_peers=may_use_peers,
        )
        for name, each in options.items()
    }
