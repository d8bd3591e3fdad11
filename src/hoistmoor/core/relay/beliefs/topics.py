"""Places in keyed topics, and the records there, as read and passed on."""

from __future__ import annotations

from typing import NamedTuple

import attrs

OFFSET_BITS = 40  # Of a serial; a topic has fewer records.


# A tuple: places of all records that hosts pass on are compared.
class Place(NamedTuple):
    """A place in one history of a topic.

    An offset means nothing without its era: a store that came back from an
    older copy gives it out again. A place in a newer history comes after all
    places in an older one.

    Attributes:
        era: Number of the history.
        offset: Records before it there.
    """

    era: int
    offset: int

    @property
    def serial(self) -> int:
        """One number that orders places as they are ordered."""
        return self.era << OFFSET_BITS | self.offset

    @property
    def text(self) -> str:
        """Era and offset, as log lines have them."""
        return f"{self.era}:{self.offset}"

    def after(self, count: int) -> Place:
        """Returns the place so many records later."""
        return Place(self.era, self.offset + count)


def place_of(serial: int) -> Place:
    """Returns the place that has a serial."""
    return Place(serial >> OFFSET_BITS, serial & ((1 << OFFSET_BITS) - 1))


START = Place(0, 0)  # Of any topic.


@attrs.frozen
class Record:
    """One record of a keyed topic.

    Attributes:
        key: What it is about.
        value: Its content; None if the key was dropped.
        place: Where it stands.
    """

    key: str
    value: bytes | None
    place: Place


@attrs.frozen
class Batch:
    """Records that were read together.

    Attributes:
        records: In order.
        end: Where to read on.
        is_snapshot: Whether keys that are not in it do not exist.
    """

    records: tuple[Record, ...]
    end: Place
    is_snapshot: bool = False
