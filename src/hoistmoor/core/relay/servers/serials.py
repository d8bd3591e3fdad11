"""Serial numbers of the changes that hosts send to one another once each."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable


class Numbered(Protocol):
    """An object that carries the serial of its latest change."""

    serial: int


_Change = TypeVar("_Change", bound=Numbered)


@attrs.define
class Serials:
    """Numbers changes of different kinds in one common order.

    Attributes:
        newest: Serial of the latest change; 0 before the first.
    """

    newest: int = 0

    def allocate(self) -> int:
        """Allocates the serial of the next change."""
        self.newest += 1
        return self.newest

    def batch(
        self, changes: Iterable[_Change], after: int, limit: int
    ) -> tuple[list[_Change], int]:
        """Returns unsent changes, oldest first, and the last serial covered.

        Args:
            changes: All known changes.
            after: Serial up to which the receiver is up to date.
            limit: Maximum number of changes in the batch.
        """
        if after >= self.newest:
            return [], self.newest
        unsent = sorted(
            (change for change in changes if change.serial > after),
            key=lambda change: change.serial,
        )
        if len(unsent) <= limit:
            return unsent, self.newest
        return unsent[:limit], unsent[limit - 1].serial
