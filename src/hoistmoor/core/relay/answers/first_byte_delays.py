"""Expected time to the first byte of a response, by class of work."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.placement import partition

# Weight of the newest response in the moving average: a load spike shows within
# ten responses.
SMOOTHING_FACTOR = 0.15
HALF_LIFE = 4.0  # Seconds in which the average decays to half.


@attrs.define
class _ClassState:
    mean: float = 0.0
    updated_at: float = 0.0
    waiting: dict[int, float] = attrs.field(factory=dict)


@attrs.define
class FirstByteDelays:
    """Times to first byte of one service.

    Pending requests count with the time that they have waited so far, so that
    a class of work whose responses have stopped is detected at once.
    """

    classes: dict[partition.WorkClass, _ClassState] = attrs.field(factory=dict)
    _serial: int = 0

    def begin(self, work_class: partition.WorkClass, now: float) -> int:
        """Registers a pending request and returns its serial number."""
        self._serial += 1
        state = self.classes.setdefault(work_class, _ClassState())
        state.waiting[self._serial] = now
        return self._serial

    def end(
        self,
        work_class: partition.WorkClass,
        serial: int,
        now: float,
        *,
        answered: bool,
    ) -> None:
        """Removes a pending request.

        Args:
            work_class: Class of work of the request.
            serial: Value returned by ``begin``; unknown values are ignored.
            now: Monotonic time.
            answered: Whether a response started; if not, the average does not
                change.
        """
        state = self.classes[work_class]
        started_at = state.waiting.pop(serial, None)
        if started_at is None or not answered:
            return
        state.mean = self._decayed(state, now)
        state.mean += SMOOTHING_FACTOR * (now - started_at - state.mean)
        state.updated_at = now

    def expected(self, work_class: partition.WorkClass, now: float) -> float:
        """Returns the expected seconds to first byte for a class of work."""
        state = self.classes.get(work_class)
        if state is None:
            return 0.0
        mean = self._decayed(state, now)
        if not state.waiting:
            return mean
        ages = [now - started_at for started_at in state.waiting.values()]
        return max(mean, sum(ages) / len(ages))

    def _decayed(self, state: _ClassState, now: float) -> float:
        elapsed = max(0.0, now - state.updated_at)
        return float(state.mean * 0.5 ** (elapsed / HALF_LIFE))
