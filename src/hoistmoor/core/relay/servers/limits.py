"""Rate limits that overloaded backend servers impose on all hosts together.

A server names its limit in its responses for as long as the limit applies. Only
a few hosts then send to it, each a fixed number of requests per window (see
``shares``), so that the total stays within the limit without coordination
between the hosts. Every limit seen in a response is gossiped to all hosts, so
that hosts which send nothing also learn when a limit begins or ends.

Sized for two of six engines that each name a limit of about two requests a
second, while 7, 84 or 360 hosts have 35 to 850 requests a second for all six.
Without coordination, such an engine got 55 to 80 requests in four seconds where
15 are allowed.

Responses may arrive out of order. A response that names no limit therefore only
proves that there was none when its request was sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import shares

# Fraction of the limit that the hosts' quotas add up to. Hosts whose host lists
# lack a fifth of the others send a quarter more. Of a limit of 1.7 requests a
# second 0.83 are used, and 0.6 with a third of the hosts down (mean of ten
# simulated runs of 40 s).
USED_FRACTION = 0.95
# Number of hosts that share a limit: this many per request a second, plus
# EXTRA_HOSTS. All of them may send at the same moment after a lull: with host
# lists that lack a fifth, 12 and 137 requests arrived within four seconds at
# limits of 1.7 and 30 a second. Fewer hosts would each wait long for their next
# caller while nothing is sent, and all of them may be down.
HOSTS_PER_RATE = 1.5
EXTRA_HOSTS = 2
# Lower bound of a limit, in requests a second. A server that accepts nothing is
# still probed now and then, because the end of its limit would go unnoticed.
MIN_RATE = 0.05
# Other hosts are selected if no response has arrived for SILENCE_SECONDS plus
# this many mean intervals between the requests of all hosts. The current ones
# may be down.
SILENCE_INTERVALS = 2.0
SILENCE_SECONDS = 3.0
# Seconds for which the end of a limit is gossiped. Other hosts learn of it
# within two seconds; the limit they still gossip meanwhile is older.
END_GOSSIP_SECONDS = 10.0
# Seconds by which a message with an unchanged limit must be newer to be
# accepted. A message that is echoed by its receiver appears newer by the
# network delay.
ECHO_MARGIN_SECONDS = 0.25


@attrs.frozen
class GossipedLimit:
    """A server's rate limit as hosts send it to one another.

    Attributes:
        rate: Requests a second; None if the server no longer has a limit.
        turn: How often the set of sending hosts has changed.
        age: Seconds since the response that named the limit.
    """

    rate: float | None
    turn: int
    age: float


@attrs.define
class LimitState:
    """Rate limit of one server, as known to this host.

    Attributes:
        rate: Requests a second from all hosts together; None for no limit.
        at: Monotonic time of the underlying response, to any host.
        generation: How often the set of sending hosts had changed by then.
        gossip_end_until: Monotonic time until which the end of a limit is
            gossiped.
    """

    rate: float | None = None
    at: float = float("-inf")
    generation: int = 0
    gossip_end_until: float = float("-inf")

    def record_limit(self, rate: float, now: float) -> bool:
        """Records a limit named in a response; returns whether it changed."""
        is_news = rate != self.rate
        self.generation = self.generation_at(now)
        self.rate = rate
        self.at = now
        return is_news

    def record_no_limit(self, sent_at: float, now: float) -> bool:
        """Records a response without a limit; returns whether a limit ended.

        Args:
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time.
        """
        if sent_at <= self.at:
            return False
        was_limited = self.rate is not None
        self._clear(sent_at)
        if was_limited:
            self.gossip_end_until = now + END_GOSSIP_SECONDS
        return was_limited

    def _clear(self, at: float) -> None:
        self.rate = None
        self.generation = 0
        self.at = at

    def merge(self, gossiped: GossipedLimit, now: float) -> bool:
        """Merges a limit sent by another host; returns whether it changed.

        Args:
            gossiped: The limit.
            now: Monotonic time to which its age refers.
        """
        at = now - gossiped.age
        margin = ECHO_MARGIN_SECONDS if gossiped.rate == self.rate else 0.0
        if at <= self.at + margin:
            if self.rate is None and gossiped.rate is not None:
                self.gossip_end_until = now + END_GOSSIP_SECONDS
            return False
        is_news = gossiped.rate != self.rate
        if gossiped.rate is None:
            self._clear(at)
        else:
            self.rate = gossiped.rate
            self.generation = gossiped.turn
            self.at = at
        if is_news and gossiped.rate is None:
            self.gossip_end_until = now + END_GOSSIP_SECONDS
        return is_news

    def to_gossip(self, now: float) -> GossipedLimit | None:
        """Returns the limit to send to other hosts; None if there is none."""
        if self.rate is None and now >= self.gossip_end_until:
            return None
        return GossipedLimit(self.rate, self.generation, now - self.at)

    def generation_at(self, now: float) -> int:
        """Returns how often the set of sending hosts has changed by now."""
        if self.rate is None:
            return 0
        silence = SILENCE_SECONDS + SILENCE_INTERVALS / _used_rate(self.rate)
        return self.generation + int((now - self.at) / silence)


def max_burst(rate: float) -> int:
    """Returns how many requests all hosts together may send at one moment."""
    return int(HOSTS_PER_RATE * rate + EXTRA_HOSTS)


def quota_window(rate: float, quota: shares.Quota) -> float:
    """Returns the length in seconds of the window that quotas apply to."""
    return quota.total / _used_rate(rate)


def mean_interval(rate: float) -> float:
    """Returns the mean seconds between two requests of all hosts."""
    return 1.0 / _used_rate(rate)


def _used_rate(rate: float) -> float:
    return USED_FRACTION * max(rate, MIN_RATE)
