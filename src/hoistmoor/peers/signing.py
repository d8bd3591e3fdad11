"""Client-side signing of calls and verification of replies."""

from __future__ import annotations

from typing import Any, Protocol, TYPE_CHECKING

from hoistmoor.core.security import calls
from hoistmoor.peers import errors
from hoistmoor.utils import logs
from hoistmoor.utils import rate_limited_log

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


CALL_HEADER = "hm-call"
REPLY_HEADER = "hm-reply"
TIME_HEADER = "hm-time"

_UNVERIFIED_REPLY = "the signature of a reply is missing or invalid"
_REASONS = frozenset({*map(str, calls.RejectionReason), _UNVERIFIED_REPLY})

_LOG = logs.PartLogger("security")


class SignedCall(Protocol):
    """A signed call that is in progress.

    Attributes:
        metadata: The gRPC metadata to send with the call.
    """

    metadata: dict[str, str]

    def log_refusal(self, why: str) -> None:
        """Logs that authentication between this host and the peer failed."""

    def adopt_time(self, metadata: Any) -> bool:
        """Adopts the peer's time from a refusal; returns whether it has one."""

    def verify_reply(self, metadata: Any, body: bytes) -> None:
        """Raises PeerUnverifiedError unless the reply is authentic."""


class PeerSigning(Protocol):
    """Signs the calls to one peer."""

    def sign(self, method: str, body: bytes) -> SignedCall:
        """Signs a call that is to be sent now."""


class Signing(Protocol):
    """Creates the signers of calls to individual peers."""

    def for_peer(self, address: str) -> PeerSigning:
        """Returns the signer of calls to one peer."""


class CallSigning:
    """Signs calls with the shared secret of the deployment."""

    def __init__(
        self, signer: calls.Signer, clock: Callable[[], float]
    ) -> None:
        self.signer = signer
        self.clock = clock
        self.refusal_log = rate_limited_log.RateLimitedLog(_LOG, clock)

    def for_peer(self, address: str) -> PeerSigning:
        """Returns the signer of calls to one peer."""
        return _PeerSigner(self, address)


class _PeerSigner:
    """Signs the calls to one peer.

    Attributes:
        clock_offset: Known offset of the peer's clock from this host's, in
            seconds.
    """

    def __init__(self, signing: CallSigning, address: str) -> None:
        self.signer = signing.signer
        self.clock = signing.clock
        self.refusal_log = signing.refusal_log
        self.address = address
        self.clock_offset = 0.0

    def sign(self, method: str, body: bytes) -> _SignedPeerCall:
        now = self.clock() + self.clock_offset
        return _SignedPeerCall(
            self, self.signer.sign(method, self.address, body, now)
        )


class _SignedPeerCall:
    def __init__(self, peer: _PeerSigner, signed: calls.SignedCall) -> None:
        self._peer = peer
        self._signed = signed
        self.metadata = {CALL_HEADER: signed.header}

    def log_refusal(self, why: str) -> None:
        # An impostor may send arbitrary text, so only known reasons are logged.
        known_reason = why if why in _REASONS else "unknown reason"
        self._peer.refusal_log.warning(
            known_reason,
            "Authentication between this host and peer %s failed: %s. Check "
            "HOISTMOOR_SECRET",
            self._peer.address,
            known_reason,
        )

    def adopt_time(self, metadata: Mapping[str, str] | None) -> bool:
        header = metadata.get(TIME_HEADER) if metadata else None
        peer = self._peer
        time = peer.signer.read_time(self._signed, header)
        if time is None:
            return False
        peer.clock_offset = time - peer.clock()
        _LOG.info(
            "The clock of peer %s differs by %+.1f s from that of this host",
            peer.address,
            peer.clock_offset,
        )
        return True

    def verify_reply(
        self, metadata: Mapping[str, str] | None, body: bytes
    ) -> None:
        header = metadata.get(REPLY_HEADER) if metadata else None
        if not self._peer.signer.verify_reply(self._signed, header, body):
            self.log_refusal(_UNVERIFIED_REPLY)
            raise errors.PeerUnverifiedError(
                f"the reply of peer {self._peer.address} has no valid "
                "signature of a host of this deployment",
                "Check that HOISTMOOR_SECRET is the same on both hosts.",
            )


class _NoSigning:
    """Neither signs calls nor verifies replies; for tests only."""

    metadata: dict[str, str] = {}

    def for_peer(self, address: str) -> PeerSigning:
        return self

    def sign(self, method: str, body: bytes) -> SignedCall:
        return self

    def log_refusal(self, why: str) -> None:
        return None

    def adopt_time(self, metadata: Any) -> bool:
        return False

    def verify_reply(self, metadata: Any, body: bytes) -> None:
        return None


NO_SIGNING: Signing = _NoSigning()
