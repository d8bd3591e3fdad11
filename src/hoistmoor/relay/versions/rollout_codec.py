"""Records of roll-outs on the relay's own topics, as JSON."""

from __future__ import annotations

from typing import TypeVar

import attrs
import cattrs
import orjson

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import rollouts

_T = TypeVar("_T")

_CONVERTER = cattrs.Converter()


@attrs.frozen
class EvidenceReport:
    """What a host that reads the store tells the others.

    Attributes:
        run_name: Name of the run of the host that wrote it.
        evidence: Its counts and those of the hosts that ask it.
    """

    run_name: str
    evidence: tuple[evidence_lib.Evidence, ...]


def encode(record: rollouts.PhaseRecord | EvidenceReport) -> bytes:
    """Returns a record's bytes."""
    return orjson.dumps(_CONVERTER.unstructure(record))


def decode_phase(data: bytes) -> rollouts.PhaseRecord:
    """Returns the phase that ``data`` holds; raises ``ValueError``."""
    return _decode(data, rollouts.PhaseRecord)


def decode_report(data: bytes) -> EvidenceReport:
    """Returns the counts that ``data`` holds; raises ``ValueError``."""
    return _decode(data, EvidenceReport)


def _decode(data: bytes, kind: type[_T]) -> _T:
    try:
        return _CONVERTER.structure(orjson.loads(data), kind)
    except (cattrs.BaseValidationError, TypeError, KeyError) as error:
        raise ValueError(f"not a {kind.__name__}: {error!r}") from error
