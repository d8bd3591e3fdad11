"""Records of roll-outs on the relay's own topics, as JSON."""

from __future__ import annotations

import cattrs
import orjson

from hoistmoor.core.relay import rollouts

_CONVERTER = cattrs.Converter()


def encode(record: rollouts.PhaseRecord | rollouts.Evidence) -> bytes:
    """Returns a record's bytes."""
    return orjson.dumps(_CONVERTER.unstructure(record))


def decode_phase(data: bytes) -> rollouts.PhaseRecord:
    """Returns the phase that ``data`` holds."""
    return _CONVERTER.structure(orjson.loads(data), rollouts.PhaseRecord)


def decode_evidence(data: bytes) -> rollouts.Evidence:
    """Returns the counts that ``data`` holds."""
    return _CONVERTER.structure(orjson.loads(data), rollouts.Evidence)
