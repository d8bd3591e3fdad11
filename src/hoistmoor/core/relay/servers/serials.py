"""Numbers for what hosts tell one another once each."""

from __future__ import annotations

import attrs


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
