"""Keys of records that are built from names of any length."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import record_keys
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.core.relay.servers import part_states

FITS = "s" * record_keys.MAX_BYTES
TOO_LONG = {
    "ascii": "s" * (record_keys.MAX_BYTES + 1),
    "two_bytes_a_character": "é" * 128,
    "four_bytes_a_character": "x" + "𝄞" * 64,
    "header": "5c1e07a2 " * 1800,
}


def test_a_key_that_fits_is_kept() -> None:
    assertions.assert_that(record_keys.bound(FITS), matchers.Equals(FITS))


@pytest.mark.parametrize("text", TOO_LONG.values(), ids=TOO_LONG)
def test_a_long_key_fits_and_identifies_its_text(text: str) -> None:
    key = record_keys.bound(text)
    size = len(key.encode())
    assertions.assert_that(size, matchers.LessThan(record_keys.MAX_BYTES + 1))
    assertions.assert_that(key, matchers.StartsWith(text[:20]))
    assertions.assert_that(record_keys.bound(text), matchers.Equals(key))
    other = record_keys.bound(text + "s")
    assertions.assert_that(other, matchers.Not(matchers.Equals(key)))


def test_a_quarantine_of_any_parts_has_a_key_of_parts() -> None:
    # Also with a service whose name alone is longer than a key.
    for service, parts in ((FITS, ("a",)), ("llm", (FITS,)), (FITS, (FITS,))):
        quarantine = part_evidence.PartQuarantine(service, parts)
        key = part_states.QuarantineState(quarantine, 0.0, 0.0).key
        assertions.assert_that(
            key, matchers.Contains(part_states.KEY_SEPARATOR)
        )
        size = len(key.encode())
        limit = record_keys.MAX_BYTES + 1
        assertions.assert_that(size, matchers.LessThan(limit))
