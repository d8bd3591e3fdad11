"""Serial numbers of the changes that hosts send to one another once each."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


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
        self,
        changes: Iterable[_Change],
        after: int,
        limit: int,
        size_of: Callable[[_Change], int] = lambda _: 0,
        max_bytes: int = 0,
    ) -> tuple[list[_Change], int]:
        """Returns unsent changes, oldest first, and the last serial covered.

        Args:
            changes: All known changes.
            after: Serial up to which the receiver is up to date.
            limit: Maximum number of changes in the batch.
            size_of: Returns the bytes of a change.
            max_bytes: Bytes of all changes in the batch; a larger one is alone.
        """
        if after >= self.newest:
            return [], self.newest
        unsent = sorted(
            (change for change in changes if change.serial > after),
            key=lambda change: change.serial,
        )
        count = _count_fitting(unsent[:limit], size_of, max_bytes)
        if len(unsent) <= count:
            return unsent, self.newest
        return unsent[:count], unsent[count - 1].serial


def _count_fitting(
    changes: list[_Change], size_of: Callable[[_Change], int], max_bytes: int
) -> int:
    """Returns how many of the first changes fit, at least one."""
    size = 0
    for number, change in enumerate(changes):
        size += size_of(change)
        if size > max_bytes and number > 0:
            return number
    return len(changes)
