"""Keeps sessions on their versions at this host and asks peers for pins."""

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

DEFAULT_PEER_TIMEOUT = 0.25  # Seconds for one call to a home host.

_T = TypeVar("_T")


class Verdict(enum.StrEnum):
    """What became of a session's version with this request."""

    NEW = "new"  # First request of the session for this model.
    KEEP = "keep"  # It stays where it was.
    MOVED = "moved"  # Its version was withdrawn or is no longer granted.


@attrs.frozen
class SessionPin:
    """Where a session's request must run.

    Attributes:
        session: Name of the session.
        version: Key of the version it must run on; None if the router may
            choose, after which ``remember`` must be called.
        verdict: What became of the session's version.
        moved_from: Key of the version that the session left, if it moved.
    """

    session: str
    version: str | None
    verdict: Verdict
    moved_from: str | None = None


class PinStore(Protocol):
    """Copies of pins at other entry hosts.

    Both calls raise a HoistmoorError or TimeoutError when the host cannot be
    reached.
    """

    async def find(self, host: str, key: pins.PinKey) -> pins.Pin | None:
        """Returns the pin that ``host`` keeps under ``key``, if any."""
        ...

    async def keep(self, host: str, pin: pins.Pin) -> pins.Pin:
        """Offers ``pin`` to ``host``, and returns the pin that stands."""
        ...


class Sessions:
    """The session pins that this host knows, and the way to the others.

    Attributes:
        host: Name of this host.
        secrets: Signing secrets; the first signs, all of them verify.
        store: The way to other hosts; None while there are none.
        pins: Pins kept here, for this host's own use and as a home host.
        unreachable: Calls to home hosts that failed.
    """

    def __init__(
        self,
        host: str,
        secrets: Sequence[str],
        clock: Callable[[], float],
        store: PinStore | None = None,
        capacity: int = pins.DEFAULT_CAPACITY,
        peer_timeout: float = DEFAULT_PEER_TIMEOUT,
    ) -> None:
        self.host = host
        self.secrets = tuple(secrets)
        self.clock = clock
        self.store = store
        self.peer_timeout = peer_timeout
        self.pins = pins.PinMap(capacity)
        self.unreachable = 0
        self.hosts: tuple[rendezvous.EntryHost, ...] = ()
        self.in_force = model.ActiveTable(-1, model.Table())

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Takes a new table in force.

        Pins on withdrawn versions are kept: they are how a session's next
        answer knows that it has moved.
        """
        self.in_force = in_force

    def on_hosts(self, hosts: Iterable[rendezvous.EntryHost]) -> None:
        """Takes the live entry hosts, this one included."""
        self.hosts = tuple(hosts)

    async def find_session(self, account: str, session: str) -> bytes:
        """Answers a peer's ``find_session``; see ``pin_store``."""
        pin = self.pins.find(pins.PinKey.from_wire(account, session))
        return codec.encode(pin) if pin else b""

    async def keep_session(
        self, account: str, session: str, pin: bytes
    ) -> bytes:
        """Answers a peer's ``keep_session``; see ``pin_store``."""
        offered = codec.decode(pin)
        if offered.key != pins.PinKey.from_wire(account, session):
            return b""
        return codec.encode(self.pins.keep(offered))

    def token_for(
        self, account: str, session: str, model_name: str, version: str
    ) -> str:
        """Returns the session header to send with an answer."""
        token = tokens.SessionToken(
            account, session, model_name, version, self.clock()
        )
        return tokens.sign(token, self.secrets)

    async def pin_for(
        self,
        account: str,
        header_value: str | None,
        model_name: str,
        new_session: str,
    ) -> SessionPin | refusals.Refusal:
        """Returns where a request must run, or why its header is no good.

        Args:
            account: The caller's client account.
            header_value: A session token, a plain id, or None.
            model_name: Model that the caller named; ``auto`` included.
            new_session: Name for the session if the caller sent none.
        """
        if not header_value:
            return SessionPin(new_session, None, Verdict.NEW)
        if not tokens.is_token(header_value):
            return await self._pin_by_id(account, header_value, model_name)
        try:
            token = tokens.verify(header_value, account, self.secrets)
        except errors.HoistmoorError as error:
            return _bad_header(str(error))
        return await self._pin_by_token(token, model_name)

    async def remember(
        self, account: str, session: str, model_name: str, version: str
    ) -> str:
        """Pins a session where the router put it.

        Returns:
            Key of the version that stands; another host may have been first.
        """
        key = pins.PinKey(account, session, model_name)
        known = self.pins.find(key)
        if known and known.settled and self._is_usable(known):
            return known.version
        return (await self._claim(key, version, moves=0)).version

    async def _pin_by_token(
        self, token: tokens.SessionToken, model_name: str
    ) -> SessionPin:
        key = pins.PinKey(token.account, token.session, model_name)
        table = self.in_force.table
        if token.model != model_name:
            return await self._pin_by_key(key, None)
        if rendezvous.is_usable(table, token.account, token.version):
            return SessionPin(token.session, token.version, Verdict.KEEP)
        return await self._pin_by_key(key, token.version)

    async def _pin_by_id(
        self, account: str, session: str, model_name: str
    ) -> SessionPin | refusals.Refusal:
        if len(session) > pins.MAX_SESSION_CHARS or not session.isprintable():
            return _bad_header(
                f"a session id has at most {pins.MAX_SESSION_CHARS}"
                " printable characters."
            )
        key = pins.PinKey(account, session, model_name)
        return await self._pin_by_key(key, None)

    async def _pin_by_key(
        self, key: pins.PinKey, left: str | None
    ) -> SessionPin:
        known = self.pins.find(key)
        if known is None or not known.settled or not self._is_usable(known):
            known = await self._look_up(key)
        if known and self._is_usable(known):
            return _as_session_pin(known, left, Verdict.KEEP)
        left = left or (known.version if known else None)
        version = rendezvous.choose_version(
            self.in_force.table, key.account, key.session, key.model
        )
        verdict = Verdict.MOVED if left else Verdict.NEW
        if version is None:
            return SessionPin(key.session, None, verdict, left)
        moves = (known.moves if known else 0) + (1 if left else 0)
        pin = await self._claim(key, version, moves)
        return _as_session_pin(pin, left, verdict)

    async def _look_up(self, key: pins.PinKey) -> pins.Pin | None:
        """Returns the pin that the home hosts keep, if any."""
        found = await self._ask_homes(
            key, lambda host: self._find_at(host, key)
        )
        usable = [pin for pin in found.values() if self._is_usable(pin)]
        if not usable:
            return pins.preferred_pin(found.values())
        return await self._settle(
            pins.preferred_pin(usable) or usable[0], found
        )

    async def _claim(
        self, key: pins.PinKey, version: str, moves: int
    ) -> pins.Pin:
        """Offers a pin to the home hosts and returns the one that stands."""
        revision = self.in_force.revision
        offered = pins.Pin(
            key.account, key.session, key.model, version, revision, moves
        )
        kept = await self._ask_homes(
            key, lambda host: self._keep_at(host, offered)
        )
        usable = [pin for pin in kept.values() if self._is_usable(pin)]
        return await self._settle(pins.preferred_pin(usable) or offered, kept)

    async def _settle(
        self, winner: pins.Pin, kept: dict[str, pins.Pin]
    ) -> pins.Pin:
        """Writes the winner to each home that keeps another pin or none."""
        settled = attrs.evolve(winner, settled=True)
        wrong = [
            host
            for host in self._homes(winner.key)
            if host not in kept or kept[host].version != winner.version
        ]
        calls = [self._call(self._keep_at(host, settled)) for host in wrong]
        await asyncio.gather(*calls)
        self.pins.put(settled)
        return settled

    async def _ask_homes(
        self,
        key: pins.PinKey,
        ask: Callable[[str], Awaitable[pins.Pin | None]],
    ) -> dict[str, pins.Pin]:
        hosts = self._homes(key)
        answers = await asyncio.gather(
            *(self._call(ask(host)) for host in hosts)
        )
        found = dict(zip(hosts, answers, strict=True))
        return {host: pin for host, pin in found.items() if pin}

    async def _find_at(self, host: str, key: pins.PinKey) -> pins.Pin | None:
        if host == self.host or self.store is None:
            return self.pins.find(key)
        return await self.store.find(host, key)

    async def _keep_at(self, host: str, pin: pins.Pin) -> pins.Pin:
        if host == self.host or self.store is None:
            return self.pins.keep(pin)
        return await self.store.keep(host, pin)

    async def _call(self, call: Awaitable[_T]) -> _T | None:
        try:
            return await asyncio.wait_for(call, self.peer_timeout)
        except (errors.HoistmoorError, TimeoutError, OSError) as error:
            self.unreachable += 1
            logging.debug("sessions: A home host did not answer: %r.", error)
            return None

    def _homes(self, key: pins.PinKey) -> tuple[str, ...]:
        return rendezvous.home_hosts(self.hosts, key.account, key.session)

    def _is_usable(self, pin: pins.Pin) -> bool:
        return rendezvous.is_usable(
            self.in_force.table, pin.account, pin.version
        )


def _as_session_pin(
    pin: pins.Pin, left: str | None, verdict: Verdict
) -> SessionPin:
    moved = left is not None and left != pin.version
    return SessionPin(
        pin.session,
        pin.version,
        Verdict.MOVED if moved else verdict,
        left if moved else None,
    )


def _bad_header(detail: str) -> refusals.Refusal:
    return refusals.Refusal(
        refusals.Reason.BAD_HEADER, outcomes.Outcome.NOT_RUN, detail
    )
