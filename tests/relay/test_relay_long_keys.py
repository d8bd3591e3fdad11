"""Records whose keys are built from what callers and operators send.

Guards against relays that end because a key does not fit the store's format.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import relay_process
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.relay import records
from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

HOSTS = "keyed.relay-hosts"
QUARANTINES = "keyed.relay-quarantine"
PHASES = "keyed.rollout-phases"
STATUS = "keyed.status"
ROLLOUT = "rollout/desk"
# A conversation of 32 turns, and four ids of 64 digits.
LONG_PARTS = {
    "many_parts": tuple(f"{0xC0DE0000 + turn:08x}" for turn in range(32)),
    "long_parts": tuple(f"{number:064x}" for number in range(4)),
}


@pytest.fixture
async def relay(
    tmp_path: pathlib.Path,
) -> AsyncIterator[relay_process.RelayProcess]:
    """A relay's process, which reads and writes the store itself."""
    async with relay_process.open_relay(tmp_path) as opened:
        yield opened


def quarantine(*parts: str) -> crashing_parts.PartChanges:
    """Returns what another host tells of quarantined parts."""
    return crashing_parts.PartChanges(
        quarantines=(
            part_evidence.PartQuarantine("llm", parts, ("s1",), ("v1",)),
        )
    )


async def test_a_quarantine_that_an_earlier_version_wrote_keeps_its_record(
    relay: relay_process.RelayProcess,
) -> None:
    # Earlier versions name parts of any length in full.
    part = "f" * 200
    told = part_evidence.PartQuarantine("llm", (part,), ("s1",), ("v1",))
    relay.write(QUARANTINES, f"llm {part}", records.encode(told))
    await relay.until(lambda: bool(relay.lines("part_quarantined")))
    await relay.send_parts(quarantine("short"))
    await relay.until(lambda: "llm short" in relay.newest(QUARANTINES))
    assertions.assert_that(
        relay.newest(QUARANTINES).keys(),
        matchers.Equals({f"llm {part}", "llm short"}),
    )
    # Removing the record lifts it.
    relay.write(QUARANTINES, f"llm {part}", b"")
    await relay.until(lambda: bool(relay.lines("part_lifted")))


def failing_version(number: int) -> evidence_lib.Evidence:
    """Returns the counts of a host where a new version always fails."""
    return evidence_lib.Evidence(
        "desk",
        number,
        "other-run",
        {
            "once": evidence_lib.RouteEvidence(
                evidence_lib.Tally(30, 30), evidence_lib.Tally(300)
            )
        },
    )


@pytest.mark.parametrize("parts", LONG_PARTS.values(), ids=LONG_PARTS)
async def test_a_quarantine_of_long_parts_does_not_end_the_relay(
    relay: relay_process.RelayProcess, parts: tuple[str, ...]
) -> None:
    await relay.send_parts(quarantine(*parts))
    await relay.until(lambda: bool(relay.newest(QUARANTINES)))
    # A later round of writes leaves the first record as it is.
    await relay.send_parts(quarantine("short"))
    await relay.until(lambda: len(relay.newest(QUARANTINES)) == 2)
    assertions.assert_that(
        relay.store.topic(QUARANTINES).records, matchers.HasLength(2)
    )
    await relay.kill()
    await relay.start()
    answer = await relay.send_parts(crashing_parts.PartChanges())
    told = {each.parts for each in answer.news.parts.quarantines}
    assertions.assert_that(told, matchers.Equals({parts, ("short",)}))


@pytest.mark.parametrize("target", ["v2" * 128, "\u00e9" * 250])
async def test_a_roll_out_to_a_version_with_a_long_name_does_not_end_the_relay(
    relay: relay_process.RelayProcess, target: str
) -> None:
    relay.order("desk", target, duration=60.0)
    await relay.until(lambda: bool(relay.lines("rollout_ordered")))
    (ordered,) = relay.lines("rollout_ordered")
    await relay.send_evidence(failing_version(ordered["number"]))
    await relay.until(lambda: bool(relay.newest(PHASES)))
    (key,) = relay.newest(PHASES)
    assertions.assert_that(key, matchers.StartsWith("desk/"))
    await relay.until(
        lambda: b"reverted" in relay.newest(STATUS).get(ROLLOUT, b"")
    )


async def test_a_host_with_a_long_name_does_not_keep_others_from_the_list(
    relay: relay_process.RelayProcess,
) -> None:
    await relay.until(lambda: "relay-0" in relay.newest(HOSTS))
    junk = replication.Host("x" * 300, "a", "127.0.0.1:1")
    relay.write(HOSTS, "junk", peer_codec.encode(junk))
    await relay.until(lambda: bool(relay.lines("host_unreadable")))
    relay.store.rewind(3600.0)
    await relay.until(lambda: bool(relay.lines("hosts_listed_again")))
    assertions.assert_that(
        list(relay.newest(HOSTS)), matchers.Equals(["relay-0"])
    )
