"""Records that do not fit the store's format.

Guards against one such record that keeps others from being written, or ends the
relay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import relay_process
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.core.relay.versions import evidence as evidence_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

QUARANTINES = "keyed.relay-quarantine"
STATUS = "keyed.status"
RECORD_BYTES = 600  # A quarantine of one part has 150 bytes, of 60 over 600.
LONG_PARTS = tuple(f"{0xC0DE0000 + turn:08x}" for turn in range(60))
SHORT_PARTS = [(f"short{number}",) for number in range(3)]
LONG_ROUTE = "r" * RECORD_BYTES


@pytest.fixture
async def relay(
    tmp_path: pathlib.Path,
) -> AsyncIterator[relay_process.RelayProcess]:
    """A relay's process with a store that accepts small records only."""
    async with relay_process.open_relay(
        tmp_path, record_bytes=RECORD_BYTES
    ) as opened:
        yield opened


def failing_version(
    service: str, number: int, route: str
) -> evidence_lib.Evidence:
    """Returns the counts of a host where a new version always fails."""
    return evidence_lib.Evidence(
        service,
        number,
        "other-run",
        {
            route: evidence_lib.RouteEvidence(
                evidence_lib.Tally(30, 30), evidence_lib.Tally(300)
            )
        },
    )


async def test_a_quarantine_that_does_not_fit_leaves_others_written(
    relay: relay_process.RelayProcess,
) -> None:
    quarantines = tuple(
        part_evidence.PartQuarantine("llm", parts, ("s1",), ("v1",))
        for parts in (LONG_PARTS, *SHORT_PARTS)
    )
    changes = crashing_parts.PartChanges(quarantines=quarantines)
    await relay.send_parts(changes)
    await relay.until(lambda: len(relay.newest(QUARANTINES)) == 3)
    keys = {f"llm {part}" for (part,) in SHORT_PARTS}
    assertions.assert_that(
        relay.newest(QUARANTINES).keys(), matchers.Equals(keys)
    )
    # Later rounds neither write nor log it again.
    later = part_evidence.PartQuarantine("llm", ("later",), ("s1",), ("v1",))
    await relay.send_parts(crashing_parts.PartChanges(quarantines=(later,)))
    await relay.until(lambda: len(relay.newest(QUARANTINES)) == 4)
    assertions.assert_that(
        relay.lines("quarantine_unwritable"), matchers.HasLength(1)
    )


async def test_a_roll_out_whose_counts_do_not_fit_leaves_others_decided(
    relay: relay_process.RelayProcess,
) -> None:
    relay.order("desk", "v2", duration=60.0)
    relay.order("llm", "v2", duration=60.0)
    await relay.until(lambda: len(relay.lines("rollout_ordered")) == 2)
    numbers = {
        line["service"]: line["number"]
        for line in relay.lines("rollout_ordered")
    }
    await relay.send_evidence(
        failing_version("desk", numbers["desk"], LONG_ROUTE),
        failing_version("llm", numbers["llm"], "stream"),
    )
    await relay.until(
        lambda: b"reverted" in relay.newest(STATUS).get("rollout/llm", b"")
    )
    # The counts of this host decide alone.
    await relay.until(
        lambda: b"reverted" in relay.newest(STATUS).get("rollout/desk", b"")
    )
    (line,) = relay.lines("rollout_unwritable")
    assertions.assert_that(line["service"], matchers.Equals("desk"))
