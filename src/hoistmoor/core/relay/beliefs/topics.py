"""Positions in keyed topics, and the records read from them."""

from __future__ import annotations

from typing import NamedTuple

import attrs

# Bits of the offset in a serial number; no topic has 2**40 records.
OFFSET_BITS = 40


# A tuple, so that comparisons are cheap: the positions of all records exchanged
# between hosts are compared.
class Place(NamedTuple):
    """Position in a topic.

    An offset is only meaningful within its era: a store that was restored from
    an older copy assigns offsets again. Every position in a newer era comes
    after all positions in an older one.

    Attributes:
        era: Era of the store.
        offset: Number of records before this position in that era.
    """

    era: int
    offset: int

    @property
    def serial(self) -> int:
        """Era and offset as a single integer with the same ordering."""
        return self.era << OFFSET_BITS | self.offset

    @property
    def text(self) -> str:
        """Era and offset in the format of log lines."""
        return f"{self.era}:{self.offset}"

    def after(self, count: int) -> Place:
        """Returns the position ``count`` records later."""
        return Place(self.era, self.offset + count)


def place_from_serial(serial: int) -> Place:
    """Returns the position encoded by a serial number."""
    return Place(serial >> OFFSET_BITS, serial & ((1 << OFFSET_BITS) - 1))


START = Place(0, 0)  # First position of any topic.


@attrs.frozen
class Record:
    """One record of a keyed topic.

    Attributes:
        key: Key of the record.
        value: Content; None if the key was deleted.
        place: Position of the record.
    """

    key: str
    value: bytes | None
    place: Place


@attrs.frozen
class Batch:
    """Records returned by one read.

    Attributes:
        records: Records in order.
        end: Position at which to continue reading.
        is_snapshot: Whether the records are the current values of all keys.
    """

    records: tuple[Record, ...]
    end: Place
    is_snapshot: bool = False
