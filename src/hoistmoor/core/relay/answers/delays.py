"""How long a request now waits for the first part of its answer, by class."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.placement import partition

STEP = 0.15  # Weight of the newest answer; a burst shows within ten.
HALF_LIFE = 4.0  # Seconds after which an old delay counts half.


@attrs.define
class _Class:
    mean: float = 0.0
    at: float = 0.0
    waiting: dict[int, float] = attrs.field(factory=dict)


@attrs.define
class FirstDelays:
    """Delays of one service's first parts.

    Requests that still wait count with the time that they have waited, so
    that a class which stopped answering shows at once.
    """

    classes: dict[partition.WorkClass, _Class] = attrs.field(factory=dict)
    _serial: int = 0

    def begin(self, work_class: partition.WorkClass, now: float) -> int:
        """Notes a request that waits from now on; returns its serial."""
        self._serial += 1
        known = self.classes.setdefault(work_class, _Class())
        known.waiting[self._serial] = now
        return self._serial

    def end(
        self,
        work_class: partition.WorkClass,
        serial: int,
        now: float,
        *,
        answered: bool,
    ) -> None:
        """Notes that a request waits no more.

        Args:
            work_class: Its class.
            serial: As ``begin`` returned it; one that is unknown is ignored.
            now: Steady time.
            answered: Whether an answer began; if not, nothing is learned.
        """
        known = self.classes[work_class]
        began = known.waiting.pop(serial, None)
        if began is None or not answered:
            return
        known.mean = self._decayed(known, now)
        known.mean += STEP * (now - began - known.mean)
        known.at = now

    def expected(self, work_class: partition.WorkClass, now: float) -> float:
        """Returns the seconds that a request of a class must expect."""
        known = self.classes.get(work_class)
        if known is None:
            return 0.0
        mean = self._decayed(known, now)
        if not known.waiting:
            return mean
        ages = [now - began for began in known.waiting.values()]
        return max(mean, sum(ages) / len(ages))

    def _decayed(self, known: _Class, now: float) -> float:
        passed = max(0.0, now - known.at)
        return float(known.mean * 0.5 ** (passed / HALF_LIFE))
