"""Applies updates, queues them for peers, and expires suspicions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.membership import messages
from hoistmoor.core.membership import rumours
from hoistmoor.core.membership import view

if TYPE_CHECKING:
    from hoistmoor.core.membership import members as members_lib
    from hoistmoor.core.membership import servers as servers_lib
    from hoistmoor.core.membership import timing as timing_lib

_State = view.MemberState

_STATE_IF_UNREACHABLE = {
    _State.ALIVE: _State.SUSPECT,
    _State.LEAVING: _State.DEAD,  # It announced its shutdown.
}


class Gossip:
    """Applies the updates that this host receives or makes.

    Attributes:
        members: The known entry hosts.
        servers: The backend servers that are leaving.
        queue: Topics of the updates to send to peers.
        effects: Effects of the updates, in order.
    """

    def __init__(
        self,
        members: members_lib.Members,
        servers: servers_lib.LeavingServers,
        queue: rumours.RumourQueue,
        timing: timing_lib.Timing,
    ) -> None:
        self.members = members
        self.servers = servers
        self.queue = queue
        self.effects: list[messages.Effect] = []
        self._timing = timing
        # When each suspect is declared dead.
        self._suspicion_deadlines: dict[str, float] = {}

    def apply_digest(self, digest: messages.Digest, now: float) -> None:
        """Applies all updates of a digest, and its sender's own state."""
        sender = messages.MemberNews(
            digest.sender, digest.incarnation, digest.version, digest.state
        )
        for update in (*digest.members, sender):
            self.apply_member(update, now)
        for server in digest.servers:
            self.apply_server(server, now)
        self.members.record_revision(digest.sender, digest.table_revision)

    def apply_member(self, update: messages.MemberNews, now: float) -> None:
        """Applies an update on an entry host."""
        if update.name == self.members.own_name:
            self._refute(update)
            return
        changed = self.members.apply(update, now)
        if changed is None:
            return
        self._enqueue(update.name)
        self._suspicion_deadlines.pop(update.name, None)
        if changed.state is _State.SUSPECT:
            self._suspicion_deadlines[update.name] = (
                now + self._suspicion_timeout
            )
        self.effects.append(messages.HostChanged(changed))

    def _refute(self, update: messages.MemberNews) -> None:
        own = self.members.own_view
        if update.incarnation > own.incarnation:
            self.effects.append(messages.Superseded(update.incarnation))
        elif (
            update.incarnation == own.incarnation
            and update.precedence > own.precedence
        ):
            self.set_own_state(own.state, update.version + 1)

    def set_own_state(self, state: view.MemberState, version: int) -> None:
        """Changes this host's own state and version, and queues the update."""
        own = self.members.own_view
        self.members.set_own_view(
            attrs.evolve(own, state=state, version=version)
        )
        self._enqueue(own.name)

    def announce(self) -> None:
        """Queues the update on this host, so that peers learn of it."""
        self._enqueue(self.members.own_name)

    def _enqueue(self, name: str) -> None:
        self.queue.add(rumours.Topic(rumours.TopicKind.HOST, name))

    def apply_server(self, update: messages.ServerNews, now: float) -> None:
        """Applies an update on a backend server that is leaving."""
        if not self.servers.apply(update, now):
            return
        self.queue.add(rumours.Topic(rumours.TopicKind.SERVER, update.address))
        self.effects.append(
            messages.ServerLeft(update.address, update.incarnation)
        )

    def record_server_live(self, address: str, incarnation: int) -> None:
        """Records that an incarnation of a backend server is live."""
        if self.servers.record_live(address, incarnation):
            self.effects.append(messages.ServerReturned(address, incarnation))

    def mark_unreachable(self, name: str, now: float) -> None:
        """Records that a host answered neither this host nor the helpers."""
        host = self.members.get(name)
        if host is not None and host.state in _STATE_IF_UNREACHABLE:
            self._declare_state(host, _STATE_IF_UNREACHABLE[host.state], now)

    def expire_suspicions(self, now: float) -> None:
        """Declares dead the suspects that did not refute in time."""
        expired = [
            name
            for name, deadline in self._suspicion_deadlines.items()
            if now >= deadline
        ]
        for name in expired:
            del self._suspicion_deadlines[name]
            host = self.members.get(name)
            if host is not None:
                self._declare_state(host, _State.DEAD, now)

    def restart_suspicions(self, now: float) -> None:
        """Restarts the suspicion timeout of every suspect."""
        for name in self._suspicion_deadlines:
            self._suspicion_deadlines[name] = now + self._suspicion_timeout

    @property
    def _suspicion_timeout(self) -> float:
        return self._timing.suspicion_timeout(len(self.members))

    def _declare_state(
        self, host: view.HostView, state: view.MemberState, now: float
    ) -> None:
        update = messages.MemberNews(
            host.name, host.incarnation, host.version, state
        )
        self.apply_member(update, now)
