"""Era of the store, which changes when the store is restored from a copy.

After such a restore, records written since the copy are lost and their offsets
are assigned again. Each response of the store names its era, a number that
increases with every restore.

This runs for every response of the store, and every message between hosts
carries the era.
"""

from __future__ import annotations

from collections.abc import Callable
import enum

import attrs

UNKNOWN_ERA = 0  # Era of a store that reports none.
STORE = "store"  # Source of an era that a response of the store reported.
# Grace period in seconds for state that a new era lacks. Operators and servers
# write lost records again within it; records still missing afterwards count as
# deleted.
RESTORE_GRACE_PERIOD = 10.0
# Number of eras that fit into a serial number; see ``topics.Place.serial``.
MAX_ERAS = 1 << 22


class EraProblem(enum.StrEnum):
    """Why the era in a response cannot be used."""

    ABSENT = "absent"  # The header is missing.
    JUNK = "junk"  # The header is not a valid era.
    FALLING = "falling"  # The era is lower than the known one.


@attrs.frozen
class EraHeader:
    """Era header of a response of the store.

    Attributes:
        text: Value of the header; None if it is missing.
        era: Parsed value; None if it is missing or invalid.
    """

    text: str | None = None
    era: int | None = None


Observer = Callable[[int, int, str], None]
UnusableObserver = Callable[[EraProblem, EraHeader], None]


def _ignore(kind: EraProblem, header: EraHeader) -> None:
    """Default observer of unusable eras; does nothing."""


@attrs.define(eq=False)
class StoreEra:
    """Newest era of the store known to this host.

    Attributes:
        era: Number of the era.
        observers: Called for each new era with the previous era, the new era
            and the source that reported it.
        on_unusable: Called for each response without a usable era.
    """

    era: int = UNKNOWN_ERA
    observers: list[Observer] = attrs.field(factory=list)
    on_unusable: UnusableObserver = _ignore

    @property
    def was_restored(self) -> bool:
        """Whether the store may lack records that hosts still have.

        Until its first restore, and if it reports no era, it has a single
        history, which has lost nothing.
        """
        return self.era > UNKNOWN_ERA

    def record_response(self, header: EraHeader, known: int) -> int:
        """Processes the era header of a response; returns its effective era.

        A response without an era, or with a lower era than was known when the
        request was sent, is attributed to the known era.

        Args:
            header: Era header of the response.
            known: Era that was known when the request was sent.
        """
        kind = _classify(header, known)
        if kind is not None:
            self.on_unusable(kind, header)
        if header.era is None or header.era < known:
            return known
        self.record_era(header.era, STORE)
        return header.era

    def record_era(self, era: int, source: str) -> None:
        """Records an era and notifies the observers if it is newer."""
        if era <= self.era:
            return
        previous, self.era = self.era, era
        for observer in self.observers:
            observer(previous, era, source)


def _classify(header: EraHeader, known: int) -> EraProblem | None:
    if header.era is not None:
        return EraProblem.FALLING if header.era < known else None
    if header.text is not None:
        return EraProblem.JUNK
    return EraProblem.ABSENT if known != UNKNOWN_ERA else None
