"""The membership protocol, as the state machine of one host.

It follows SWIM: a constant number of pings in each period, indirect pings
through helpers before a host is suspected, a timeout in which a suspect can
refute the suspicion before it is declared dead, and updates piggybacked on the
pings. Besides updates on entry hosts, the digests carry updates on leaving
backend servers and the revision of the sender's table.
"""

from __future__ import annotations

from functools import singledispatchmethod

from hoistmoor.core.membership import digests
from hoistmoor.core.membership import freshness
from hoistmoor.core.membership import gossip
from hoistmoor.core.membership import members as members_lib
from hoistmoor.core.membership import messages
from hoistmoor.core.membership import probes
from hoistmoor.core.membership import rumours
from hoistmoor.core.membership import servers as servers_lib
from hoistmoor.core.membership import shuffling
from hoistmoor.core.membership import table_tracker
from hoistmoor.core.membership import timing as timing_lib
from hoistmoor.core.membership import view
from hoistmoor.core.membership import view_hashes

_State = view.MemberState


class Membership:
    """One host's view of the entry hosts and of leaving backend servers.

    Attributes:
        timing: Rates and limits.
        members: The known entry hosts, including this one.
        servers: The backend servers that are leaving.
        tables: Comparison of this host's table with those of its peers.
    """

    def __init__(
        self,
        own: view.HostView,
        seed: int,
        now: float,
        timing: timing_lib.Timing | None = None,
    ) -> None:
        """Initializes a host that knows only itself.

        Args:
            own: This host; its state is alive and its version 0.
            seed: Determines the order in which hosts are pinged.
            now: The time, in seconds since the epoch.
            timing: Rates and limits; None for the defaults.
        """
        self.timing = timing or timing_lib.Timing()
        hashes = view_hashes.PartHashes()
        forget_after = self.timing.forget_after
        self.members = members_lib.Members(own, hashes, forget_after)
        self.servers = servers_lib.LeavingServers(hashes, forget_after)
        self.tables = table_tracker.TableTracker(self.timing)
        self._hashes = hashes
        queue = rumours.RumourQueue()
        self._gossip = gossip.Gossip(
            self.members, self.servers, queue, self.timing
        )
        self._writer = digests.DigestWriter(
            self.members, self.servers, queue, hashes, self.timing
        )
        self._shuffler = shuffling.Shuffler(seed)
        self._schedule = probes.ProbeSchedule(self.members, self._shuffler)
        self._recent_probes = probes.RecentProbes(self.timing.peer_silence)
        self._is_list_read = False
        self._log_contact_at = float("-inf")
        self._last_handled_at = now
        self._resumed_at = now
        self._majority_missing_at = now
        self._started_at = now
        self._ticks = 0
        # A new host requests a sync with its first ping.
        self._differing_replies = self.timing.sync_after
        # Peers whose latest reply had a different view.
        self._differing_peers: set[str] = set()
        self._last_sync_at = float("-inf")
        self._effects = self._gossip.effects
        self._gossip.announce()

    def handle(
        self, message: object, now: float
    ) -> tuple[messages.Effect, ...]:
        """Handles a message and returns the effects to perform, in order."""
        if now - self._last_handled_at > self.timing.pause_after:
            self._reset_after_pause(now)
        self._last_handled_at = now
        self._handle(message, now)
        effects = tuple(self._effects)
        self._effects.clear()
        return effects

    def digest_for(self, name: str, now: float) -> messages.Digest:
        """Returns a digest for a ping to ``name`` outside the schedule."""
        return self._writer.write(name, now)

    def assess_freshness(self, now: float) -> freshness.Freshness:
        """Returns whether this host's table may still be the newest."""
        return freshness.assess(self._evidence(now))

    def _evidence(self, now: float) -> freshness.Evidence:
        expected = self.members.expected - {self.members.own_name}
        others = [
            host for host in self.members.peers() if host.name in expected
        ]
        names = frozenset(host.name for host in others)
        return freshness.Evidence(
            log_silence=now - self._log_contact_at,
            log_bound=self.timing.log_silence,
            list_read=self._is_list_read,
            expected=len(expected),
            not_dead=len(others),
            alive=sum(host.state is _State.ALIVE for host in others),
            probed=len(names & self._recent_probes.probed(now)),
            answered=len(names & self._recent_probes.answered(now)),
            heard_for=now - self._majority_missing_at,
            heard_bound=self.timing.recovery,
            is_behind=self.tables.is_overdue(now),
        )

    @singledispatchmethod
    def _handle(self, message: object, now: float) -> None:
        raise NotImplementedError(type(message).__name__)

    # Periodic work.

    @_handle.register
    def _tick(self, message: messages.Tick, now: float) -> None:
        del message
        self._ticks += 1
        self._gossip.expire_suspicions(now)
        self.members.forget_dead(now)
        for host in self._schedule.next_targets(self.timing.fanout):
            self._ping(host, now)
        if self._ticks % self.timing.dead_probe_periods == 0:
            self._ping_dead(now)
        self._fetch_table(now)
        if not freshness.reaches_majority(self._evidence(now)):
            self._majority_missing_at = now

    def _ping_dead(self, now: float) -> None:
        # Otherwise, the two sides of a network partition, which consider each
        # other dead, would never reconnect after it heals.
        for host in self._schedule.next_dead_host():
            self._ping(host, now)

    def _fetch_table(self, now: float) -> None:
        is_silent = now - self._log_contact_at > self.timing.log_silence
        self._effects.extend(
            self.tables.due_fetch(self.members, is_silent, now)
        )

    def _reset_after_pause(self, now: float) -> None:
        # This process was paused: that it received no replies meanwhile says
        # nothing about the other hosts.
        self._resumed_at = now
        self._majority_missing_at = now
        self._recent_probes.clear()
        self._gossip.restart_suspicions(now)

    def _ping(self, host: view.HostView, now: float) -> None:
        digest = self._writer.write(
            host.name, now, asks_parts=self._sync_is_due(host.name, now)
        )
        if digest.part_hashes:
            self._last_sync_at = now
        self._effects.append(
            messages.Ping(host.name, host.peer_address, digest)
        )

    def _sync_is_due(self, target: str, now: float) -> bool:
        if self._differing_replies < self.timing.sync_after:
            return False
        if self._differing_peers and target not in self._differing_peers:
            return False
        is_joining = now - self._started_at < self.timing.join_seconds
        intervals = {
            True: self.timing.join_interval,
            False: self.timing.sync_interval,
        }
        return now - self._last_sync_at >= intervals[is_joining]

    # Pings and their results.

    @_handle.register
    def _digest_received(
        self, message: messages.DigestReceived, now: float
    ) -> None:
        digest = message.digest
        self._apply_digest(digest, now)
        if digest.part_hashes:
            reply = self._writer.write_sync_reply(
                digest.sender, digest.part_hashes, now
            )
        else:
            reply = self._writer.write(digest.sender, now)
        self._effects.append(messages.Reply(reply))

    @_handle.register
    def _ping_replied(self, message: messages.PingReplied, now: float) -> None:
        digest = message.digest
        self._apply_digest(digest, now)
        if message.sent_at >= self._resumed_at:
            is_target = digest.sender == message.target
            self._recent_probes.add(
                probes.Probe(message.target, message.sent_at, is_target)
            )
        self._compare_views(digest)

    def _compare_views(self, reply: messages.Digest) -> None:
        # An equal reply of one peer says nothing about the view of another:
        # the hosts that were on one side of a network partition agree with each
        # other.
        if reply.view_hash != self._hashes.combined:
            self._differing_peers.add(reply.sender)
            self._differing_replies += 1
            return
        self._differing_peers.discard(reply.sender)
        self._differing_peers.intersection_update(self._schedule.neighbours)
        if not self._differing_peers:
            self._differing_replies = 0

    @_handle.register
    def _ping_failed(self, message: messages.PingFailed, now: float) -> None:
        self._writer.mark_lost(message.digest)
        if message.sent_at < self._resumed_at:
            return
        host = self.members.get(message.target)
        if host is None or host.state is _State.DEAD:
            return
        self._recent_probes.add(probes.Probe(host.name, message.sent_at, False))
        helpers = self._choose_helpers(host, now)
        if helpers:
            self._effects.append(
                messages.IndirectPing(host.name, host.peer_address, helpers)
            )
        else:
            self._gossip.mark_unreachable(host.name, now)

    def _choose_helpers(
        self, target: view.HostView, now: float
    ) -> tuple[str, ...]:
        """Returns peer addresses of helpers, recently responsive ones first."""
        answered = self._recent_probes.answered(now)
        others = {
            host.name: host
            for host in self.members.peers()
            if host.name != target.name
        }
        order = self._shuffler.shuffled(others)
        order.sort(key=lambda name: name not in answered)
        chosen = order[: self.timing.helpers]
        return tuple(others[name].peer_address for name in chosen)

    @_handle.register
    def _relay_answered(
        self, message: messages.IndirectPingResult, now: float
    ) -> None:
        if message.sent_at < self._resumed_at or message.reached:
            return
        # If no helper responded either, this host may itself be disconnected.
        if message.helpers == 0:
            return
        self._gossip.mark_unreachable(message.target, now)

    def _apply_digest(self, digest: messages.Digest, now: float) -> None:
        self._gossip.apply_digest(digest, now)
        self.tables.record_peer_revision(
            digest.sender, digest.table_revision, now
        )
        self._fetch_table(now)

    # Backend servers.

    @_handle.register
    def _server_leaving(
        self, message: messages.ServerLeaving, now: float
    ) -> None:
        update = messages.ServerNews(message.address, message.incarnation)
        self._gossip.apply_server(update, now)

    @_handle.register
    def _server_seen(self, message: messages.ServerLive, now: float) -> None:
        del now
        self._gossip.record_server_live(message.address, message.incarnation)

    # The platform and this host.

    @_handle.register
    def _hosts_listed(self, message: messages.HostsListed, now: float) -> None:
        self._is_list_read = True
        self.members.reconcile(message.entries)
        for server in message.servers:
            if server.is_leaving:
                update = messages.ServerNews(server.address, server.incarnation)
                self._gossip.apply_server(update, now)
            else:
                self._gossip.record_server_live(
                    server.address, server.incarnation
                )
        addresses = frozenset(server.address for server in message.servers)
        self.servers.reconcile(addresses, now)
        for contact in message.contacts:
            digest = self._writer.write(contact.name, now, asks_parts=True)
            self._effects.append(
                messages.Ping(contact.name, contact.peer_address, digest)
            )

    @_handle.register
    def _table_in_force(
        self, message: messages.TableActivated, now: float
    ) -> None:
        del now
        own = self.members.own_view
        if message.revision > own.table_revision:
            self.members.record_revision(own.name, message.revision)
            self.tables.record_own_revision(message.revision)

    @_handle.register
    def _log_heard(self, message: messages.LogContacted, now: float) -> None:
        del now
        # A reply that was buffered in a socket while this process was paused is
        # outdated, but is read right after the pause.
        if message.at >= self._resumed_at + self.timing.settle:
            self._log_contact_at = max(self._log_contact_at, message.at)

    @_handle.register
    def _leave(self, message: messages.Leave, now: float) -> None:
        del message
        own = self.members.own_view
        if own.state is _State.LEAVING:
            return
        self._gossip.set_own_state(_State.LEAVING, own.version + 1)
        for host in self._schedule.next_targets(len(self._schedule.neighbours)):
            self._ping(host, now)
