"""Builds digests from the pending updates, within a byte budget."""

from __future__ import annotations

import collections

import attrs
import xxhash

from hoistmoor.core.membership import members as members_lib
from hoistmoor.core.membership import messages
from hoistmoor.core.membership import rumours
from hoistmoor.core.membership import servers as servers_lib
from hoistmoor.core.membership import sizes
from hoistmoor.core.membership import timing as timing_lib
from hoistmoor.core.membership import view
from hoistmoor.core.membership import view_hashes

_Update = messages.MemberNews | messages.ServerNews


def _shuffled_parts(indexes: frozenset[int], now: float) -> list[int]:
    return sorted(
        indexes,
        key=lambda part: xxhash.xxh32_intdigest(f"{part} {now}".encode()),
    )


class _UpdateBuffer:
    """Collects the updates of one digest, up to a byte budget."""

    def __init__(self, budget: int) -> None:
        self.remaining_bytes = budget
        self.members: dict[str, messages.MemberNews] = {}
        self.servers: dict[str, messages.ServerNews] = {}

    def add(self, update: _Update) -> bool:
        """Adds an update, if it fits the budget; returns whether it did."""
        size = sizes.update_size(update)
        if size > self.remaining_bytes:
            return False
        self.remaining_bytes -= size
        if isinstance(update, messages.MemberNews):
            self.members[update.name] = update
        else:
            self.servers[update.address] = update
        return True


@attrs.frozen
class DigestWriter:
    """Builds the digests that this host sends.

    Attributes:
        members: The known entry hosts.
        servers: The backend servers that are leaving.
        queue: Topics of the updates to send.
        hashes: Hashes of the view of hosts and leaving backend servers.
        timing: Byte budgets and the number of transmissions.
    """

    members: members_lib.Members
    servers: servers_lib.LeavingServers
    queue: rumours.RumourQueue
    hashes: view_hashes.PartHashes
    timing: timing_lib.Timing

    def write(
        self, recipient: str, now: float, *, asks_parts: bool = False
    ) -> messages.Digest:
        """Returns a digest for a host with the most urgent pending updates.

        Args:
            recipient: Name of the host that the digest is sent to.
            now: The time, in seconds since the epoch.
            asks_parts: Whether to request the updates in which the views
                differ.
        """
        buffer = _UpdateBuffer(self.timing.rumour_bytes)
        self._add_update_on_recipient(buffer, recipient, now)
        self._add_pending_updates(buffer, now)
        part_hashes = tuple(self.hashes.values) if asks_parts else ()
        return self._digest(buffer, part_hashes)

    def write_sync_reply(
        self, recipient: str, peer_hashes: tuple[int, ...], now: float
    ) -> messages.Digest:
        """Returns a digest that answers a sync.

        Args:
            recipient: Name of the host that requested the sync.
            peer_hashes: Hashes of the parts of its view. The digest holds the
                updates of the parts that differ, as far as they fit.
            now: The time, in seconds since the epoch.
        """
        buffer = _UpdateBuffer(self.timing.sync_bytes)
        self._add_update_on_recipient(buffer, recipient, now)
        updates_by_part = self._updates_by_part(now)
        # One part after the other, in an order that changes: each sync makes
        # some parts equal, even if the budget does not suffice for all.
        for part in _shuffled_parts(
            self.hashes.differing_parts(peer_hashes), now
        ):
            for update in updates_by_part[part]:
                buffer.add(update)
        return self._digest(buffer, ())

    def _updates_by_part(self, now: float) -> dict[int, list[_Update]]:
        updates_by_part = collections.defaultdict[int, list[_Update]](list)
        for leaving in self.servers:
            part = view_hashes.part_index(leaving.address)
            updates_by_part[part].append(servers_lib.to_update(leaving, now))
        for host in self.members:
            update = members_lib.to_update(host, now, is_full=True)
            updates_by_part[view_hashes.part_index(host.name)].append(update)
        return updates_by_part

    def mark_lost(self, digest: messages.Digest) -> None:
        """Puts the updates of an undelivered digest back into the queue.

        Otherwise, a host on the smaller side of a network partition would use
        up its transmissions on hosts that it cannot reach.
        """
        repeats = self.timing.repeats(len(self.members))
        for update in digest.members:
            topic = rumours.Topic(rumours.TopicKind.HOST, update.name)
            self.queue.mark_lost(topic, repeats)
        for server in digest.servers:
            topic = rumours.Topic(rumours.TopicKind.SERVER, server.address)
            self.queue.mark_lost(topic, repeats)

    def _add_update_on_recipient(
        self, buffer: _UpdateBuffer, recipient: str, now: float
    ) -> None:
        # A host that is suspected or believed dead must learn this first, so
        # that it can refute it.
        known = self.members.get(recipient)
        if known is not None and known.state is not view.MemberState.ALIVE:
            buffer.add(members_lib.to_update(known, now, is_full=False))

    def _add_pending_updates(self, buffer: _UpdateBuffer, now: float) -> None:
        repeats = self.timing.repeats(len(self.members))
        for topic in self.queue.candidates():
            update = self._update_on(topic, now)
            if update is None:
                self.queue.discard(topic)
            elif buffer.add(update):
                self.queue.mark_sent(topic, repeats)
            else:
                break

    def _update_on(self, topic: rumours.Topic, now: float) -> _Update | None:
        if topic.kind is rumours.TopicKind.SERVER:
            leaving = self.servers.get(topic.name)
            return servers_lib.to_update(leaving, now) if leaving else None
        host = self.members.get(topic.name)
        if host is None:
            return None
        # The recipient may not know a host that has just started.
        is_new = host.version == 0 and host.state is view.MemberState.ALIVE
        return members_lib.to_update(host, now, is_full=is_new)

    def _digest(
        self, buffer: _UpdateBuffer, part_hashes: tuple[int, ...]
    ) -> messages.Digest:
        own = self.members.own_view
        return messages.Digest(
            sender=own.name,
            incarnation=own.incarnation,
            version=own.version,
            state=own.state,
            table_revision=own.table_revision,
            view_hash=self.hashes.combined,
            members=tuple(buffer.members.values()),
            servers=tuple(buffer.servers.values()),
            part_hashes=part_hashes,
        )
