"""Session pins: the version each session is bound to.

A session's pin is replicated on its home hosts. A home host keeps the first
pin that it receives. If two home hosts hold different pins, every reader
resolves the conflict with ``preferred`` and writes the result back, so that the
pin survives the loss of either host.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import codec

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SESSION_CHARS = 256
_WIRE_SEPARATOR = "\n"  # Session ids are printable and never contain it.
DEFAULT_CAPACITY = 50_000  # A pin takes about 400 bytes.


@attrs.frozen
class PinKey:
    """Identifies a pin.

    Attributes:
        account: Client account that owns the session.
        session: Name of the session.
        model: Model name that the caller sent; may be ``auto``.
    """

    account: str
    session: str
    model: str

    @classmethod
    def from_wire(cls, account: str, name: str) -> PinKey:
        """Parses a key from its form in calls between hosts."""
        session, _, model = name.rpartition(_WIRE_SEPARATOR)
        return cls(account, session, model)

    @property
    def wire_name(self) -> str:
        """Session and model, joined for calls between hosts."""
        return f"{self.session}{_WIRE_SEPARATOR}{self.model}"


@attrs.frozen
class Pin:
    """Binds a session to a version.

    Attributes:
        account: Client account that owns the session.
        session: Name of the session.
        model: Model name that the caller sent.
        version: Key of the pinned version.
        revision: Table revision under which the version was chosen.
        moves: Number of times the session moved off a withdrawn version.
        settled: Whether a host has compared the copies on both home hosts.
            A home host with an unsettled pin asks the other one first.
    """

    account: str
    session: str
    model: str
    version: str
    revision: int
    moves: int = 0
    settled: bool = False

    @property
    def key(self) -> PinKey:
        """Returns the key that identifies this pin."""
        return PinKey(self.account, self.session, self.model)


codec.register("pin_key", PinKey)
codec.register("pin", Pin)


def preferred_pin(pins: Iterable[Pin]) -> Pin | None:
    """Resolves a conflict between copies of a pin.

    The result is the same on every host and in any order of the copies. The
    pin with the most moves wins; ties are broken by the lowest revision, then
    by the lowest version.
    """
    return min(pins, key=_precedence, default=None)


def _precedence(pin: Pin) -> tuple[int, int, str]:
    return -pin.moves, pin.revision, pin.version


class PinMap:
    """A bounded map of pins with least-recently-used eviction.

    Attributes:
        capacity: Maximum number of pins.
        evicted: Number of pins evicted so far.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.evicted = 0
        self.pins: collections.OrderedDict[PinKey, Pin] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of pins in the map."""
        return len(self.pins)

    def find(self, key: PinKey) -> Pin | None:
        """Returns the pin for ``key``, if any, and marks it as used."""
        pin = self.pins.get(key)
        if pin:
            self.pins.move_to_end(key)
        return pin

    def keep(self, offered: Pin) -> Pin:
        """Stores a pin unless the current one takes precedence.

        Returns:
            The pin that is stored under the key afterwards.
        """
        current = self.find(offered.key)
        if current and not _supersedes(offered, current):
            return current
        self.put(offered)
        return offered

    def put(self, pin: Pin) -> None:
        """Stores ``pin``, replacing any pin with the same key."""
        self.pins[pin.key] = pin
        self.pins.move_to_end(pin.key)
        if len(self.pins) > self.capacity:
            self.pins.popitem(last=False)
            self.evicted += 1


def _supersedes(offered: Pin, current: Pin) -> bool:
    if offered.moves != current.moves:
        return offered.moves > current.moves
    return offered.settled and _precedence(offered) < _precedence(current)
