"""Records of roll-outs on the relay's own topics, as JSON."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay import records


@attrs.frozen
class EvidenceReport:
    """What a host that reads the store tells the others.

    Attributes:
        run_name: Name of the run of the host that wrote it.
        evidence: Its counts and those of the hosts that ask it.
    """

    run_name: str
    evidence: tuple[evidence_lib.Evidence, ...]


def encode(record: phases.PhaseRecord | EvidenceReport) -> bytes:
    """Returns a record's bytes."""
    return records.encode(record)


def decode_phase(data: bytes) -> phases.PhaseRecord:
    """Returns the phase that ``data`` holds; raises ``ValueError``."""
    return records.decode(data, phases.PhaseRecord)


def decode_report(data: bytes) -> EvidenceReport:
    """Returns the counts that ``data`` holds; raises ``ValueError``."""
    return records.decode(data, EvidenceReport)
