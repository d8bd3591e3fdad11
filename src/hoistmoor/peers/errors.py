"""Errors of calls to peers."""

from __future__ import annotations

from hoistmoor.core import errors


class PeerError(errors.HoistmoorError):
    """A call to a peer failed."""


class PeerUnreachableError(PeerError):
    """No connection, or it failed; the call may or may not have arrived."""


class PeerTimeoutError(PeerError):
    """No reply in time; the call may or may not have taken effect."""


class PeerRefusedError(PeerError):
    """The peer replied that it did not execute the call."""


class PeerUnverifiedError(PeerUnreachableError):
    """A reply has no valid signature of a host of this deployment."""


class PeerAuthenticationError(PeerRefusedError):
    """The peer could not authenticate this host and did nothing."""
