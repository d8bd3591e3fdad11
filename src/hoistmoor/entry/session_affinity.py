"""Session affinity: keeps each session on one model version.

Pins are stored at a few home hosts per session, chosen by hashing.
"""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol, TYPE_CHECKING, TypeVar

from absl import logging
import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.sessions import pins
from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.sessions import tokens
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

DEFAULT_PEER_TIMEOUT_SECONDS = 0.25  # For one call to a home host.

_T = TypeVar("_T")


class PinStatus(enum.StrEnum):
    """How a request affects the version that its session is pinned to."""

    NEW = "new"  # First request of the session for this model.
    KEEP = "keep"  # The session stays on its version.
    MOVED = "moved"  # The version was withdrawn or is no longer granted.


@attrs.frozen
class SessionPin:
    """The version that a session's request must run on.

    Attributes:
        session: Name of the session.
        version: Key of the version; None if the router may choose one, in
            which case ``pin_version`` must be called with its choice.
        status: How the request affects the session's version.
        moved_from: Key of the previous version, if the session moved.
    """

    session: str
    version: str | None
    status: PinStatus
    moved_from: str | None = None


class PinStore(Protocol):
    """Access to the pins stored at other entry hosts.

    Both methods raise HoistmoorError or TimeoutError if the host cannot be
    reached.
    """

    async def find(self, host: str, key: pins.PinKey) -> pins.Pin | None:
        """Returns the pin that ``host`` stores for ``key``, if any."""
        ...

    async def keep(self, host: str, pin: pins.Pin) -> pins.Pin:
        """Offers ``pin`` to ``host`` and returns the pin that it stores."""
        ...


class SessionAffinity:
    """Session pins of this host, with access to those of other hosts.

    Attributes:
        host: Name of this host.
        secrets: Signing secrets; the first one signs, all of them verify.
        store: Access to other hosts; None if there are none.
        pins: Pins stored here, for this host's own use and as a home host.
        failed_calls: Number of failed calls to home hosts.
    """

    def __init__(
        self,
        host: str,
        secrets: Sequence[str],
        clock: Callable[[], float],
        store: PinStore | None = None,
        capacity: int = pins.DEFAULT_CAPACITY,
        peer_timeout: float = DEFAULT_PEER_TIMEOUT_SECONDS,
    ) -> None:
        self.host = host
        self.secrets = tuple(secrets)
        self.clock = clock
        self.store = store
        self.peer_timeout = peer_timeout
        self.pins = pins.PinMap(capacity)
        self.failed_calls = 0
        self.hosts: tuple[rendezvous.EntryHost, ...] = ()
        self.in_force = model.ActiveTable(-1, model.Table())

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Applies a new table.

        Pins to withdrawn versions are kept, so that the next response of such
        a session can report the move.
        """
        self.in_force = in_force

    def on_hosts(self, hosts: Iterable[rendezvous.EntryHost]) -> None:
        """Updates the live entry hosts, this one included."""
        self.hosts = tuple(hosts)

    async def find_session(self, account: str, session: str) -> bytes:
        """Handles a peer's ``find_session`` call; see ``pin_store``."""
        pin = self.pins.find(pins.PinKey.from_wire(account, session))
        return codec.encode(pin) if pin else b""

    async def keep_session(
        self, account: str, session: str, pin: bytes
    ) -> bytes:
        """Handles a peer's ``keep_session`` call; see ``pin_store``."""
        offered = codec.decode(pin)
        if offered.key != pins.PinKey.from_wire(account, session):
            return b""
        return codec.encode(self.pins.keep(offered))

    def make_token(
        self, account: str, session: str, model_name: str, version: str
    ) -> str:
        """Returns the signed session token to send in the response header."""
        token = tokens.SessionToken(
            account, session, model_name, version, self.clock()
        )
        return tokens.sign(token, self.secrets)

    async def resolve_pin(
        self,
        account: str,
        header_value: str | None,
        model_name: str,
        new_session: str,
    ) -> SessionPin | refusals.Refusal:
        """Returns the pin of a request, or a refusal of its session header.

        Args:
            account: The caller's client account.
            header_value: A session token, a plain session ID, or None.
            model_name: Requested model, which may be ``auto``.
            new_session: Session name to use if the caller sent none.
        """
        if not header_value:
            return SessionPin(new_session, None, PinStatus.NEW)
        if not tokens.is_token(header_value):
            return await self._resolve_id(account, header_value, model_name)
        try:
            token = tokens.verify(header_value, account, self.secrets)
        except errors.HoistmoorError as error:
            return _bad_header_refusal(str(error))
        return await self._resolve_token(token, model_name)

    async def pin_version(
        self, account: str, session: str, model_name: str, version: str
    ) -> str:
        """Pins a session to the version that the router chose.

        Returns:
            Key of the version that is pinned, which may differ if another
            host pinned the session first.
        """
        key = pins.PinKey(account, session, model_name)
        known = self.pins.find(key)
        if known and known.settled and self._is_usable(known):
            return known.version
        return (await self._offer_pin(key, version, moves=0)).version

    async def _resolve_token(
        self, token: tokens.SessionToken, model_name: str
    ) -> SessionPin:
        key = pins.PinKey(token.account, token.session, model_name)
        table = self.in_force.table
        if token.model != model_name:
            return await self._resolve_key(key, None)
        if rendezvous.is_usable(table, token.account, token.version):
            return SessionPin(token.session, token.version, PinStatus.KEEP)
        return await self._resolve_key(key, token.version)

    async def _resolve_id(
        self, account: str, session: str, model_name: str
    ) -> SessionPin | refusals.Refusal:
        if len(session) > pins.MAX_SESSION_CHARS or not session.isprintable():
            return _bad_header_refusal(
                f"a session id has at most {pins.MAX_SESSION_CHARS}"
                " printable characters."
            )
        key = pins.PinKey(account, session, model_name)
        return await self._resolve_key(key, None)

    async def _resolve_key(
        self, key: pins.PinKey, left_version: str | None
    ) -> SessionPin:
        known = self.pins.find(key)
        if known is None or not known.settled or not self._is_usable(known):
            known = await self._find_at_homes(key)
        if known and self._is_usable(known):
            return _as_session_pin(known, left_version, PinStatus.KEEP)
        left_version = left_version or (known.version if known else None)
        version = rendezvous.choose_version(
            self.in_force.table, key.account, key.session, key.model
        )
        verdict = PinStatus.MOVED if left_version else PinStatus.NEW
        if version is None:
            return SessionPin(key.session, None, verdict, left_version)
        moves = (known.moves if known else 0) + (1 if left_version else 0)
        pin = await self._offer_pin(key, version, moves)
        return _as_session_pin(pin, left_version, verdict)

    async def _find_at_homes(self, key: pins.PinKey) -> pins.Pin | None:
        """Returns the pin that the home hosts store, if any."""
        found = await self._call_homes(
            key, lambda host: self._find_at_host(host, key)
        )
        usable = [pin for pin in found.values() if self._is_usable(pin)]
        if not usable:
            return pins.preferred_pin(found.values())
        return await self._write_back(
            pins.preferred_pin(usable) or usable[0], found
        )

    async def _offer_pin(
        self, key: pins.PinKey, version: str, moves: int
    ) -> pins.Pin:
        """Offers a pin to the home hosts and returns the one that wins."""
        revision = self.in_force.revision
        offered = pins.Pin(
            key.account, key.session, key.model, version, revision, moves
        )
        stored = await self._call_homes(
            key, lambda host: self._keep_at_host(host, offered)
        )
        usable = [pin for pin in stored.values() if self._is_usable(pin)]
        return await self._write_back(
            pins.preferred_pin(usable) or offered, stored
        )

    async def _write_back(
        self, winner: pins.Pin, stored: dict[str, pins.Pin]
    ) -> pins.Pin:
        """Writes the winner to each home host that has another pin or none."""
        settled = attrs.evolve(winner, settled=True)
        outdated = [
            host
            for host in self._home_hosts(winner.key)
            if host not in stored or stored[host].version != winner.version
        ]
        calls = [
            self._call_with_timeout(self._keep_at_host(host, settled))
            for host in outdated
        ]
        await asyncio.gather(*calls)
        self.pins.put(settled)
        return settled

    async def _call_homes(
        self,
        key: pins.PinKey,
        operation: Callable[[str], Awaitable[pins.Pin | None]],
    ) -> dict[str, pins.Pin]:
        hosts = self._home_hosts(key)
        results = await asyncio.gather(
            *(self._call_with_timeout(operation(host)) for host in hosts)
        )
        found = dict(zip(hosts, results, strict=True))
        return {host: pin for host, pin in found.items() if pin}

    async def _find_at_host(
        self, host: str, key: pins.PinKey
    ) -> pins.Pin | None:
        if host == self.host or self.store is None:
            return self.pins.find(key)
        return await self.store.find(host, key)

    async def _keep_at_host(self, host: str, pin: pins.Pin) -> pins.Pin:
        if host == self.host or self.store is None:
            return self.pins.keep(pin)
        return await self.store.keep(host, pin)

    async def _call_with_timeout(self, call: Awaitable[_T]) -> _T | None:
        try:
            return await asyncio.wait_for(call, self.peer_timeout)
        except (errors.HoistmoorError, TimeoutError, OSError) as error:
            self.failed_calls += 1
            logging.debug("sessions: Call to a home host failed: %r.", error)
            return None

    def _home_hosts(self, key: pins.PinKey) -> tuple[str, ...]:
        return rendezvous.home_hosts(self.hosts, key.account, key.session)

    def _is_usable(self, pin: pins.Pin) -> bool:
        return rendezvous.is_usable(
            self.in_force.table, pin.account, pin.version
        )


def _as_session_pin(
    pin: pins.Pin, left_version: str | None, verdict: PinStatus
) -> SessionPin:
    moved = left_version is not None and left_version != pin.version
    return SessionPin(
        pin.session,
        pin.version,
        PinStatus.MOVED if moved else verdict,
        left_version if moved else None,
    )


def _bad_header_refusal(detail: str) -> refusals.Refusal:
    return refusals.Refusal(
        refusals.Reason.BAD_HEADER, outcomes.Outcome.NOT_RUN, detail
    )
