"""When a host reads the store itself, and when it lets others read for it.

The loads that it answers: all hosts start at once, a configuration of 90 KB
for 195 hosts, a store that is away for all hosts or for some and comes back.
Each call counts then, and so does the time until the last host is current.

Copies are no fresher than the read of the store that they go back to, so a
host knows the age of what it has. It reads itself where that age is too high
and nobody is likely to bring something newer soon.
"""

from __future__ import annotations

import attrs

# Seconds between two questions to other hosts.
PERIOD = 0.3
# Topics on which a send rests: a copy that is too old has a server that left
# or a key that was taken away.
DATED = frozenset({"operator", "servers"})
# Age above which a copy of them is not current enough, from a host that reads
# the store itself; there they stay below 0.8 s. Each host between adds a
# PERIOD.
OLDEST = 0.9
# Hosts between, at most, that may make a copy older: hosts that ask one another
# in a circle would otherwise never find that all of them are stale.
MOST_DEPTH = 2
# Age from which a host reads the store itself, whatever others may still say:
# operators allow two seconds until a change is in force or a server is left
# alone.
OLDEST_OWN = 1.4
# Seconds for which a host that starts waits for one that is about to be
# current.
START_PATIENCE = 0.6
# Times that a host without sources asks a few others what they know, at its
# start: a third of all may start with it.
START_ROUNDS = 4
# Times as wide a link as its own that such a host must have, but at the first
# start of all, when no caller waits. 1,400 routes are 700 KB from the store:
# 0.3 s at 20 Mbit/s, and with one that has 200 as a source 0.1 s.
WIDER = 4.0
# Seconds until a host that begins to read the store reads the slow topics too:
# most often another host is found before.
SETTLED = 1.0
SLOW_TOPICS = frozenset({"phases", "hosts", "quarantine"})
# What a host reads while it does not know the others: the store may be away,
# and one topic shows its return.
ALONE_TOPICS = frozenset({"operator", "hosts"})


@attrs.frozen
class Backoff:
    """Pauses between two tries of a store that is away, each twice the last.

    Attributes:
        first: Seconds after the first failed try.
        longest: Seconds, at most.
    """

    first: float
    longest: float


# For hosts on which others count: short, as the lease on a configuration is.
EAGER = Backoff(first=0.1, longest=0.5)
# For hosts that know no others yet: with the first of each failure domain
# trying twice a second, they may come a little later.
ALONE = Backoff(first=0.1, longest=1.0)
# For hosts that learn of the store's return from others: they only look
# whether it is there for them while it is not for those.
RELAXED = Backoff(first=2.0, longest=4.0)


def backoff_of(
    *, knows_hosts: bool, is_answered: bool, is_first: bool
) -> Backoff:
    """Returns how often a host tries a store that is away.

    Args:
        knows_hosts: Whether it knows the other hosts.
        is_answered: Whether one of them has answered lately.
        is_first: Whether its failure domain counts on it.
    """
    if not knows_hosts:
        return ALONE
    return RELAXED if is_answered and not is_first else EAGER


def is_current(age: float, depth: int) -> bool:
    """Returns whether a copy is current enough.

    Args:
        age: Seconds since its oldest dated topic was known to be current.
        depth: Hosts between its source and the store.
    """
    return age <= OLDEST + min(depth, MOST_DEPTH) * PERIOD


def is_worth_a_wait(
    link: float, other_link: float, *, is_first_start: bool
) -> bool:
    """Returns whether a host that starts too is waited for.

    Args:
        link: Mbit/s of this host's link; 0 if it is not known.
        other_link: The same of the other host.
        is_first_start: Whether all hosts start for the first time.
    """
    return is_first_start or other_link >= WIDER * link > 0.0


@attrs.frozen
class Situation:
    """What a host without a current source knows.

    Attributes:
        has_all: Whether each topic was read once, here or by others.
        is_promising: Whether one that was asked is worth a wait.
        waited: Seconds since this host began to ask.
        age: Seconds since its oldest dated topic was known to be current.
        reads_early: Whether it stands among the first of its failure domain.
    """

    has_all: bool
    is_promising: bool
    waited: float
    age: float
    reads_early: bool

    def waits(self) -> bool:
        """Returns whether another host is likely to be current soon."""
        if not self.has_all:
            return self.is_promising and self.waited < START_PATIENCE
        return self.age <= OLDEST_OWN and not self.reads_early


def is_read(
    name: str, *, knows_hosts: bool, was_read: bool, alone_for: float
) -> bool:
    """Returns whether a host without a source reads a topic itself.

    Args:
        name: Of the topic.
        knows_hosts: Whether it knows the other hosts.
        was_read: Whether the topic was read once.
        alone_for: Seconds since it had a source.
    """
    if not knows_hosts:
        return name in ALONE_TOPICS
    if name in SLOW_TOPICS and was_read:
        return alone_for >= SETTLED
    return True
