"""Rollout records on the relay's own topics, encoded as JSON."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay import records


@attrs.frozen
class EvidenceReport:
    """Answer counts that a host reading the store shares with the others.

    Attributes:
        run_name: Name of the run of the host that wrote the report.
        evidence: Counts of this host and of the hosts that copy from it.
    """

    run_name: str
    evidence: tuple[evidence_lib.Evidence, ...]


def encode(record: phases.PhaseRecord | EvidenceReport) -> bytes:
    """Encodes a record."""
    return records.encode(record)


def decode_phase(data: bytes) -> phases.PhaseRecord:
    """Decodes a phase; raises ``ValueError`` if ``data`` is malformed."""
    return records.decode(data, phases.PhaseRecord)


def decode_report(data: bytes) -> EvidenceReport:
    """Decodes a report; raises ``ValueError`` if ``data`` is malformed."""
    return records.decode(data, EvidenceReport)
