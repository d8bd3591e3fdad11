"""Numbers for what hosts tell one another once each."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable


class Numbered(Protocol):
    """What bears the number of its newest change."""

    serial: int


_Change = TypeVar("_Change", bound=Numbered)


@attrs.define
class Serials:
    """Numbers the changes of all that is told so, in one order.

    Attributes:
        newest: Number of the newest change; 0 before the first.
    """

    newest: int = 0

    def take(self) -> int:
        """Returns the number of the next change."""
        self.newest += 1
        return self.newest

    def batch(
        self, changes: Iterable[_Change], after: int, most: int
    ) -> tuple[list[_Change], int]:
        """Returns what is new, oldest first, and up to which number.

        Args:
            changes: All that is known.
            after: Number up to which it was told already.
            most: How many may be told at once; the rest follows.
        """
        if after >= self.newest:
            return [], self.newest
        new = sorted(
            (each for each in changes if each.serial > after),
            key=lambda each: each.serial,
        )
        if len(new) <= most:
            return new, self.newest
        return new[:most], new[most - 1].serial
