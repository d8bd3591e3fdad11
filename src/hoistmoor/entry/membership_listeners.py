"""Notifies other components of an entry host of membership changes."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

import attrs

from hoistmoor.core.membership import messages
from hoistmoor.core.membership import view
from hoistmoor.utils import logs

_LOG = logs.PartLogger("membership")


def _do_nothing(*_: object) -> None:
    """Default callback."""


@attrs.define(kw_only=True)
class MembershipListeners:
    """Callbacks for membership changes; they must not block.

    Attributes:
        server_left: Called with the address and incarnation of a backend
            server that is leaving and accepts no new work.
        server_returned: Called with the address and incarnation of a backend
            server that is back.
        hosts_changed: Called with the live entry hosts, this one included.
    """

    server_left: Callable[[str, int], None] = _do_nothing
    server_returned: Callable[[str, int], None] = _do_nothing
    hosts_changed: Callable[[tuple[view.HostView, ...]], None] = _do_nothing

    @singledispatchmethod
    def notify(
        self, change: messages.Effect, live: tuple[view.HostView, ...]
    ) -> None:
        """Logs a change and calls the callback for it.

        Args:
            change: The change.
            live: Live entry hosts after the change.
        """
        raise NotImplementedError(type(change).__name__)

    @notify.register
    def _host_changed(
        self, change: messages.HostChanged, live: tuple[view.HostView, ...]
    ) -> None:
        _LOG.info("Host %s is now %s", change.host.name, change.host.state.name)
        self.hosts_changed(live)

    @notify.register
    def _server_left(
        self, change: messages.ServerLeft, live: tuple[view.HostView, ...]
    ) -> None:
        del live
        _LOG.info("Backend server %s is leaving", change.address)
        self.server_left(change.address, change.incarnation)

    @notify.register
    def _server_returned(
        self, change: messages.ServerReturned, live: tuple[view.HostView, ...]
    ) -> None:
        del live
        _LOG.info("Backend server %s is back", change.address)
        self.server_returned(change.address, change.incarnation)
