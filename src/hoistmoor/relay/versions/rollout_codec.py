"""Rollout records on the relay's own topics, encoded as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay import records

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# Bytes of one record of counts, far below what a store accepts. The counts of
# 360 hosts for ten routes have about 440 KB.
MAX_REPORT_BYTES = 65_536


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


def split_report(
    run_name: str, counts: Sequence[evidence_lib.Evidence]
) -> Iterator[bytes]:
    """Yields the records of a report that together hold all counts.

    Args:
        run_name: Name of the run of the host that writes them.
        counts: Counts of this host and of the hosts that copy from it.
    """
    report = encode(EvidenceReport(run_name, tuple(counts)))
    if len(report) <= MAX_REPORT_BYTES or len(counts) < 2:
        yield report
        return
    middle = len(counts) // 2
    yield from split_report(run_name, counts[:middle])
    yield from split_report(run_name, counts[middle:])


def decode_phase(data: bytes) -> phases.PhaseRecord:
    """Decodes a phase; raises ``ValueError`` if ``data`` is malformed."""
    return records.decode(data, phases.PhaseRecord)


def decode_report(data: bytes) -> EvidenceReport:
    """Decodes a report; raises ``ValueError`` if ``data`` is malformed."""
    return records.decode(data, EvidenceReport)
