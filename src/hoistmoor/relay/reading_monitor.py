"""Log lines and metrics of the engines that read long prompts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core.relay.placement import interference
    from hoistmoor.core.relay.placement import router as router_lib
    from hoistmoor.relay import metrics as metrics_lib

# Change of the fraction of engines that read long prompts from which another
# line is written.
LOGGED_CHANGE = 0.1


class ReadingMonitor:
    """Logs and counts which engines read long prompts, and their memory."""

    def __init__(
        self,
        router: router_lib.Router,
        counters: metrics_lib.RelayMetrics,
        log_change: Callable[..., None],
    ) -> None:
        """Creates the monitor.

        Args:
            router: The router that decides.
            counters: Metrics.
            log_change: Logs and counts a state change, given its kind and
                fields.
        """
        self._router = router
        self._counters = counters
        self._log_change = log_change
        self._logged: dict[str, float] = {}

    def update(self, now: float) -> None:
        """Updates the metrics; logs a service whose readers have changed."""
        for service, reading in self._router.readings():
            fullest = self._router.fullest_memory(service, now)
            fraction = reading.reader_fraction
            self._counters.reader_fraction.labels(service).set(fraction)
            self._counters.memory_used.labels(service).set(fullest)
            logged = self._logged.get(service, 0.0)
            is_switched = bool(fraction) != bool(logged)
            if is_switched or abs(fraction - logged) >= LOGGED_CHANGE:
                self._logged[service] = fraction
                self._log(service, reading, fullest, now)

    def _log(
        self,
        service: str,
        reading: interference.ServiceReading,
        fullest: float,
        now: float,
    ) -> None:
        age = self._router.reading.amounts.age(now)
        self._log_change(
            "long_prompt_engines",
            service=service,
            fraction=round(reading.reader_fraction, 3),
            long=round(reading.long_demand, 3),
            other=round(reading.other_demand, 3),
            ms_per_1000_tokens=round(reading.pace.per_token * 1e6, 3),
            longest_pause=reading.longest_pause,
            fullest_memory=round(fullest, 3),
            age=None if age is None else round(age, 3),
        )
