"""What a host knows of crashes on prompt parts and of their quarantines.

All times are monotonic, in seconds. Serials number changes for other hosts.
"""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.beliefs import record_keys
from hoistmoor.core.relay.servers import part_evidence

# Separates a service and parts in the key of a quarantine. It is not read as a
# character of a part.
KEY_SEPARATOR = " "
# Seconds after the latest crash for which requests are refused.
QUARANTINE_SECONDS = 3600.0
# Seconds from a crash to the first request that is sent as a test, and the
# factor by which the next pause is longer.
FIRST_PROBE_DELAY = 30.0
PROBE_DELAY_FACTOR = 4.0


@attrs.define(eq=False)
class CrashState:
    """A crash, as known to this host.

    Attributes:
        crash: What all hosts have reported.
        at: Monotonic time of the crash.
        learned_at: Monotonic time at which this host learned of it.
        serial: Serial of its latest change.
    """

    crash: part_evidence.ServerCrash
    at: float
    learned_at: float
    serial: int = 0

    @property
    def message_bytes(self) -> int:
        """Bytes of the names in the message."""
        return sum(run.name_bytes for run in self.crash.runs)

    def to_message(self, now: float) -> part_evidence.ServerCrash:
        """Returns the crash to send to other hosts."""
        return attrs.evolve(self.crash, age=now - self.at)


@attrs.define(eq=False)
class ServedState:
    """A suspected part that was served, to be sent to other hosts.

    Attributes:
        served: The part.
        at: Monotonic time at which it was served.
        serial: Serial of its latest change.
    """

    served: part_evidence.ServedPart
    at: float
    serial: int = 0

    @property
    def message_bytes(self) -> int:
        """Bytes of the names in the message."""
        return len(self.served.part)

    def to_message(self, now: float) -> part_evidence.ServedPart:
        """Returns the part to send to other hosts."""
        return attrs.evolve(self.served, age=now - self.at)


@attrs.define(eq=False)
class QuarantineState:
    """A quarantine, as known to this host.

    Attributes:
        quarantine: What all hosts know of it.
        at: Monotonic time of the latest crash.
        probed_at: Monotonic time of the latest probe, or of that crash.
        serial: Serial of its latest change.
    """

    quarantine: part_evidence.PartQuarantine
    at: float
    probed_at: float
    serial: int = 0

    @property
    def message_bytes(self) -> int:
        """Bytes of the names in the message."""
        return part_evidence.total_bytes(self.quarantine.parts)

    def to_message(self, now: float) -> part_evidence.PartQuarantine:
        """Returns the quarantine to send to other hosts."""
        return attrs.evolve(
            self.quarantine, age=now - self.at, probe_age=now - self.probed_at
        )

    def is_active(self, now: float) -> bool:
        """Returns whether requests are refused."""
        is_over = now - self.at > QUARANTINE_SECONDS
        return not self.quarantine.is_lifted and not is_over

    def remaining(self, now: float) -> float:
        """Returns the seconds for which requests will be refused."""
        return max(0.0, self.at + QUARANTINE_SECONDS - now)

    @property
    def key(self) -> str:
        """Key of its record, which identifies it among all services."""
        quarantine = self.quarantine
        names = (quarantine.service, *quarantine.parts)
        return record_keys.bound(KEY_SEPARATOR.join(names))

    @property
    def probe_due_at(self) -> float:
        """Monotonic time of the next probe."""
        factor = PROBE_DELAY_FACTOR**self.quarantine.probes
        return self.probed_at + FIRST_PROBE_DELAY * factor


@attrs.frozen
class PartNews:
    """A change of what this host believes, to be logged.

    Attributes:
        kind: ``suspected``, ``quarantined``, ``probed`` or ``lifted``.
        service: Service of the requests.
        parts: The parts.
        servers: Servers that crashed.
        age: Seconds since the latest crash.
        probes: Probes so far.
    """

    kind: str
    service: str
    parts: tuple[str, ...]
    servers: tuple[str, ...]
    age: float
    probes: int = 0
