"""The known entry hosts, and which updates about them take precedence."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.membership import messages
from hoistmoor.core.membership import view

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoistmoor.core.membership import view_hashes


class Members:
    """Views of all known entry hosts, including this one.

    Attributes:
        own_name: Name of this host.
        generation: Incremented when a host is added, dies, comes back or is
            forgotten.
        expected: Names of the hosts of which a majority is required: all known
            or listed hosts except those that are leaving or have left
            gracefully. A dead host counts until the host list no longer names
            it.
    """

    def __init__(
        self,
        own: view.HostView,
        hashes: view_hashes.PartHashes,
        forget_after: float,
    ) -> None:
        self.own_name = own.name
        self.generation = 0
        self.expected: set[str] = set()
        self._departed: set[str] = set()
        self._forget_after = forget_after
        self._hashes = hashes
        self._by_name: dict[str, view.HostView] = {}
        self._store(own)

    def __iter__(self) -> Iterator[view.HostView]:
        """Yields all known hosts, including dead ones."""
        return iter(tuple(self._by_name.values()))

    def __len__(self) -> int:
        """Returns the number of known hosts, including dead ones."""
        return len(self._by_name)

    def get(self, name: str) -> view.HostView | None:
        """Returns the view of a host, or None if it is unknown."""
        return self._by_name.get(name)

    @property
    def own_view(self) -> view.HostView:
        """This host's view of itself."""
        return self._by_name[self.own_name]

    def peers(self) -> list[view.HostView]:
        """Returns all other hosts that are not known to be dead."""
        return [
            host
            for host in self._by_name.values()
            if not _is_dead(host) and host.name != self.own_name
        ]

    def dead_hosts(self) -> list[view.HostView]:
        """Returns the hosts that are dead but not forgotten yet."""
        return [host for host in self._by_name.values() if _is_dead(host)]

    def apply(
        self, update: messages.MemberNews, now: float
    ) -> view.HostView | None:
        """Applies an update on another host.

        Returns:
            The new view, or None if the update is outdated or incomplete.
        """
        known = self._by_name.get(update.name)
        if known is None:
            return self._add(update, now)
        if update.precedence <= known.precedence:
            return None
        changed = _merge(known, update, now)
        self._store(changed)
        return changed

    def _add(
        self, update: messages.MemberNews, now: float
    ) -> view.HostView | None:
        # A short update cannot add a host: it has no addresses. The next sync
        # delivers the full update.
        if not update.peer_address or update.age > self._forget_after:
            return None
        added = view.HostView(
            name=update.name,
            incarnation=update.incarnation,
            http_address=update.http_address,
            peer_address=update.peer_address,
            failure_domain=update.failure_domain,
            region=update.region,
            version=update.version,
            state=update.state,
            since=now - update.age,
        )
        self._store(added)
        return added

    def set_own_view(self, own: view.HostView) -> None:
        """Replaces this host's view of itself."""
        self._store(own)

    def record_revision(self, name: str, revision: int) -> None:
        """Records the newest table revision that a host has reported."""
        known = self._by_name.get(name)
        if known is not None and revision > known.table_revision:
            self._by_name[name] = attrs.evolve(known, table_revision=revision)

    def forget_dead(self, now: float) -> None:
        """Removes the hosts that have been dead for ``forget_after`` seconds.

        They stay in ``expected`` until the host list no longer names them.
        """
        for host in self.dead_hosts():
            if now - host.since > self._forget_after:
                self._remove(host)

    def reconcile(self, listed: frozenset[str]) -> None:
        """Reconciles the members with the entry hosts on the host list.

        Removes the dead hosts that the list no longer names.
        """
        for host in self.dead_hosts():
            if host.name not in listed:
                self._remove(host)
        live = {host.name for host in self.peers()} | {self.own_name}
        self.expected = (live | listed) - self._departed
        self._departed &= listed

    def _remove(self, host: view.HostView) -> None:
        del self._by_name[host.name]
        self.generation += 1

    def _store(self, host: view.HostView) -> None:
        known = self._by_name.get(host.name)
        if known is not None:
            self._toggle_hash(known)
        self._toggle_hash(host)
        self._by_name[host.name] = host
        self._update_expected(host)
        if known is None or _is_dead(known) != _is_dead(host):
            self.generation += 1

    def _toggle_hash(self, host: view.HostView) -> None:
        # Suspicions are short-lived, and hosts forget a dead host at different
        # times. Neither difference justifies a sync, so neither is hashed.
        if _is_dead(host):
            return
        is_leaving = host.state is view.MemberState.LEAVING
        fact = f"{host.name} {host.incarnation} {host.version} {is_leaving}"
        self._hashes.toggle(host.name, fact)

    def _update_expected(self, host: view.HostView) -> None:
        if host.state is view.MemberState.LEAVING:
            self._departed.add(host.name)
        elif not _is_dead(host):
            self._departed.discard(host.name)
        if host.name in self._departed:
            self.expected.discard(host.name)
        else:
            self.expected.add(host.name)


def _is_dead(host: view.HostView) -> bool:
    return host.state is view.MemberState.DEAD


def _merge(
    known: view.HostView, update: messages.MemberNews, now: float
) -> view.HostView:
    return attrs.evolve(
        known,
        incarnation=update.incarnation,
        version=update.version,
        state=update.state,
        http_address=update.http_address or known.http_address,
        peer_address=update.peer_address or known.peer_address,
        failure_domain=update.failure_domain or known.failure_domain,
        region=update.region or known.region,
        since=now - update.age,
    )


def to_update(
    host: view.HostView, now: float, *, is_full: bool
) -> messages.MemberNews:
    """Returns the update on ``host``; only a full one has addresses."""
    age = max(0, int(now - host.since)) if _is_dead(host) else 0
    return messages.MemberNews(
        name=host.name,
        incarnation=host.incarnation,
        version=host.version,
        state=host.state,
        http_address=host.http_address if is_full else "",
        peer_address=host.peer_address if is_full else "",
        failure_domain=host.failure_domain if is_full else "",
        region=host.region if is_full else "",
        age=age,
    )
