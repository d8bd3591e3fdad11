"""Which hosts to ping next, and which ones answered recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.membership import ring

if TYPE_CHECKING:
    from hoistmoor.core.membership import members as members_lib
    from hoistmoor.core.membership import shuffling
    from hoistmoor.core.membership import view


class ProbeSchedule:
    """Cycles through this host's neighbours, in a new order in each round."""

    def __init__(
        self, members: members_lib.Members, shuffler: shuffling.Shuffler
    ) -> None:
        self._members = members
        self._shuffler = shuffler
        self._generation = -1
        self._neighbours: tuple[str, ...] = ()
        self._round: list[str] = []

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Names of the hosts that this host pings in turn."""
        if self._generation != self._members.generation:
            self._generation = self._members.generation
            self._neighbours = ring.neighbours(
                self._members.own_view, self._members.peers()
            )
        return self._neighbours

    def next_targets(self, count: int) -> list[view.HostView]:
        """Returns up to ``count`` different hosts to ping next."""
        target_count = min(count, len(self.neighbours))
        targets: dict[str, view.HostView] = {}
        while len(targets) < target_count:
            if not self._round:
                self._round = self._shuffler.shuffled(self.neighbours)
            name = self._round.pop()
            host = self._members.get(name)
            if host is not None and name in self._neighbours:
                targets[name] = host
        return list(targets.values())

    def next_dead_host(self) -> list[view.HostView]:
        """Returns one random dead host, if any.

        Pinging dead hosts lets the members find each other again after a
        network partition.
        """
        by_name = {host.name: host for host in self._members.dead_hosts()}
        return [by_name[name] for name in self._shuffler.shuffled(by_name)[:1]]


@attrs.frozen
class Probe:
    """Result of one direct ping.

    Attributes:
        target: Name of the pinged host.
        sent_at: When the ping was sent.
        is_answered: Whether the target itself answered.
    """

    target: str
    sent_at: float
    is_answered: bool


class RecentProbes:
    """Results of the direct pings sent within a sliding time window."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._probes: list[Probe] = []

    def add(self, probe: Probe) -> None:
        """Records a result."""
        self._probes.append(probe)

    def clear(self) -> None:
        """Discards all results."""
        self._probes.clear()

    def probed(self, now: float) -> frozenset[str]:
        """Returns the names of the hosts pinged within the window."""
        self._discard_expired(now)
        return frozenset(probe.target for probe in self._probes)

    def answered(self, now: float) -> frozenset[str]:
        """Returns the names of the hosts that answered within the window."""
        self._discard_expired(now)
        return frozenset(
            probe.target for probe in self._probes if probe.is_answered
        )

    def _discard_expired(self, now: float) -> None:
        self._probes = [
            probe
            for probe in self._probes
            if now - probe.sent_at <= self._window
        ]
