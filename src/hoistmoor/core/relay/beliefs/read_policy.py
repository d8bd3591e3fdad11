"""Decides whether a host reads the store itself or relies on other hosts.

Designed for a simultaneous start of all hosts, a configuration of 90 KB for 195
hosts, and outages of the store for some or all hosts. In these cases, both the
number of calls and the time until the last host is current matter.

A copy is as old as the read of the store that it originates from, so a host
knows the age of its data. It reads the store if that age is too high and no
other host is likely to provide newer data soon.
"""

from __future__ import annotations

import attrs

# Seconds between two requests to other hosts.
REQUEST_INTERVAL = 0.3
# Topics on which routing depends: an outdated copy lists stopped servers or
# revoked keys.
TIME_CRITICAL_TOPICS = frozenset({"operator", "servers"})
# Maximum age in seconds of a copy of these topics, from a host that reads the
# store itself; there the age stays below 0.8 s. Every intermediate host adds
# the interval between two requests.
MAX_COPY_AGE = 0.9
# Number of intermediate hosts for which a higher age is accepted. Without this
# limit, hosts that ask one another in a cycle would never detect that all of
# them are stale.
MAX_DEPTH = 2
# Age in seconds above which a host reads the store itself, regardless of other
# hosts: operators allow two seconds until a change takes effect or a server
# gets no more requests.
MAX_OWN_AGE = 1.4
# Seconds for which a starting host waits for another one that is about to be
# current.
MAX_START_WAIT = 0.6
# Number of times that a starting host without sources asks a few other hosts: a
# third of all hosts may be starting at the same time.
START_ROUNDS = 4
# Minimum ratio of link bandwidths for which a starting host waits for another
# one, except at the first start of the cluster, when there are no callers yet.
# 1,400 routes are 700 KB from the store, which takes 0.3 s at 20 Mbit/s, or
# 0.1 s from a host with 200 Mbit/s.
MIN_LINK_RATIO = 4.0
# Seconds before a host that starts to read the store also reads the slow
# topics: usually another source is found earlier.
SLOW_TOPICS_DELAY = 1.0
SLOW_TOPICS = frozenset({"phases", "hosts", "quarantine"})
# Topics that a host reads while it knows no other hosts: the store may be
# unavailable, and these suffice to detect when it is available again.
ALONE_TOPICS = frozenset({"operator", "hosts"})


@attrs.frozen
class Backoff:
    """Exponential backoff for calls to an unavailable store.

    Attributes:
        first: Delay in seconds after the first failure.
        longest: Maximum delay in seconds.
    """

    first: float
    longest: float


# For hosts that others read from: short, as the configuration lease is short.
EAGER = Backoff(first=0.1, longest=0.5)
# For hosts that know no other hosts yet: the first host of each failure domain
# already retries twice per second, so these may be slower.
ALONE = Backoff(first=0.1, longest=1.0)
# For hosts that learn from others when the store is back: they only check
# whether they can reach the store while the others cannot.
RELAXED = Backoff(first=2.0, longest=4.0)


def backoff_of(
    *, knows_hosts: bool, is_answered: bool, is_first: bool
) -> Backoff:
    """Returns the backoff of a host for an unavailable store.

    Args:
        knows_hosts: Whether it knows the other hosts.
        is_answered: Whether one of them has replied recently.
        is_first: Whether it is the first host of its failure domain.
    """
    if not knows_hosts:
        return ALONE
    return RELAXED if is_answered and not is_first else EAGER


def is_current(age: float, depth: int) -> bool:
    """Returns whether a copy is recent enough.

    Args:
        age: Seconds since the oldest of its time-critical topics was current.
        depth: Number of hosts between its source and the store.
    """
    return age <= MAX_COPY_AGE + min(depth, MAX_DEPTH) * REQUEST_INTERVAL


def is_worth_waiting_for(
    link: float, other_link: float, *, is_first_start: bool
) -> bool:
    """Returns whether to wait for another host that is starting as well.

    Args:
        link: Link bandwidth of this host in Mbit/s; 0 if unknown.
        other_link: Link bandwidth of the other host.
        is_first_start: Whether this is the first start of the cluster.
    """
    return is_first_start or other_link >= MIN_LINK_RATIO * link > 0.0


@attrs.frozen
class Situation:
    """State of a host without a current source.

    Attributes:
        has_all: Whether every topic was read at least once, from the store or
            from another host.
        is_promising: Whether one of the hosts asked is worth waiting for.
        waited: Seconds since this host started to ask others.
        age: Seconds since the oldest of its time-critical topics was current.
        reads_early: Whether it is one of the hosts that read the store without
            waiting for others.
    """

    has_all: bool
    is_promising: bool
    waited: float
    age: float
    reads_early: bool

    def should_wait(self) -> bool:
        """Returns whether another host is likely to be current soon."""
        if not self.has_all:
            return self.is_promising and self.waited < MAX_START_WAIT
        return self.age <= MAX_OWN_AGE and not self.reads_early


def reads_from_store(
    name: str, *, knows_hosts: bool, was_read: bool, alone_for: float
) -> bool:
    """Returns whether a host without a source reads a topic from the store.

    Args:
        name: Name of the topic.
        knows_hosts: Whether it knows the other hosts.
        was_read: Whether the topic was read before.
        alone_for: Seconds since it last had a source.
    """
    if not knows_hosts:
        return name in ALONE_TOPICS
    if name in SLOW_TOPICS and was_read:
        return alone_for >= SLOW_TOPICS_DELAY
    return True
