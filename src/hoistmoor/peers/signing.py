"""Signs the calls of this host and checks the replies."""

from __future__ import annotations

from typing import Any, Protocol, TYPE_CHECKING

from hoistmoor.core.security import calls
from hoistmoor.peers import errors
from hoistmoor.utils import limited_log
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


CALL_HEADER = "hm-call"
REPLY_HEADER = "hm-reply"
TIME_HEADER = "hm-time"

_NOT_SIGNED = "its reply is not signed"
_REASONS = frozenset({*map(str, calls.RejectionReason), _NOT_SIGNED})

_LOG = logs.PartLogger("security")


class SignedCall(Protocol):
    """One call on its way.

    Attributes:
        metadata: What to send with it.
    """

    metadata: dict[str, str]

    def note_refusal(self, why: str) -> None:
        """Tells the operators that a peer distrusts this host."""

    def learn_time(self, metadata: Any) -> bool:
        """Returns whether a refusal told the peer's time, now taken over."""

    def check_reply(self, metadata: Any, body: bytes) -> None:
        """Raises PeerNotGenuineError where the reply may be forged."""


class PeerSigning(Protocol):
    """Signs the calls to one peer."""

    def sign(self, method: str, body: bytes) -> SignedCall:
        """Returns a call to be sent now."""


class Signing(Protocol):
    """Signs the calls to any peer."""

    def to(self, address: str) -> PeerSigning:
        """Returns what signs the calls to one peer."""


class CallSigning:
    """Signs with the deployment's secret."""

    def __init__(
        self, signer: calls.Signer, clock: Callable[[], float]
    ) -> None:
        self.signer = signer
        self.clock = clock
        self.distrust = limited_log.LimitedLog(_LOG, clock)

    def to(self, address: str) -> PeerSigning:
        """Returns what signs the calls to one peer."""
        return _Peer(self, address)


class _Peer:
    """Signs the calls to one peer.

    Attributes:
        ahead: Seconds that the peer's clock is known to be ahead.
    """

    def __init__(self, signing: CallSigning, address: str) -> None:
        self.signer = signing.signer
        self.clock = signing.clock
        self.distrust = signing.distrust
        self.address = address
        self.ahead = 0.0

    def sign(self, method: str, body: bytes) -> _Call:
        now = self.clock() + self.ahead
        return _Call(self, self.signer.sign(method, self.address, body, now))


class _Call:
    def __init__(self, peer: _Peer, signed: calls.SignedCall) -> None:
        self._peer = peer
        self._signed = signed
        self.metadata = {CALL_HEADER: signed.header}

    def note_refusal(self, why: str) -> None:
        # Anybody may answer in a peer's place: only known words are shown.
        known = why if why in _REASONS else "for no known reason"
        self._peer.distrust.warning(
            known,
            "Peer %s and this host do not trust each other: %s. Check "
            "HOISTMOOR_SECRET",
            self._peer.address,
            known,
        )

    def learn_time(self, metadata: Mapping[str, str] | None) -> bool:
        header = metadata.get(TIME_HEADER) if metadata else None
        peer = self._peer
        time = peer.signer.read_time(self._signed, header)
        if time is None:
            return False
        peer.ahead = time - peer.clock()
        _LOG.info(
            "The clock of peer %s is %+.1f s from here",
            peer.address,
            peer.ahead,
        )
        return True

    def check_reply(
        self, metadata: Mapping[str, str] | None, body: bytes
    ) -> None:
        header = metadata.get(REPLY_HEADER) if metadata else None
        if not self._peer.signer.verify_reply(self._signed, header, body):
            self.note_refusal(_NOT_SIGNED)
            raise errors.PeerNotGenuineError(
                f"the reply of {self._peer.address} is not signed by a host "
                "of this deployment",
                "Check that HOISTMOOR_SECRET is alike at both hosts.",
            )


class _NoSigning:
    """Neither signs nor checks; for tests."""

    metadata: dict[str, str] = {}

    def to(self, address: str) -> PeerSigning:
        return self

    def sign(self, method: str, body: bytes) -> SignedCall:
        return self

    def note_refusal(self, why: str) -> None:
        return None

    def learn_time(self, metadata: Any) -> bool:
        return False

    def check_reply(self, metadata: Any, body: bytes) -> None:
        return None


NO_SIGNING: Signing = _NoSigning()
