"""Large messages of other hosts, over the real process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import pytest
import relay_process
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.relay.peers import request_handler

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

HOSTS = 51  # Hosts of one failure domain, which copy from its first one.
ROUTES = 200


@pytest.fixture
async def relay(
    tmp_path: pathlib.Path,
) -> AsyncIterator[relay_process.RelayProcess]:
    """A relay's process, from which other hosts copy."""
    async with relay_process.open_relay(tmp_path) as opened:
        yield opened


async def test_the_counts_of_a_failure_domain_arrive_in_one_message(
    relay: relay_process.RelayProcess,
) -> None:
    tally = evidence_lib.Tally(1234, 567, 89)
    routes = {
        f"route-{number}": evidence_lib.RouteEvidence(tally, tally)
        for number in range(ROUTES)
    }
    counts = [
        evidence_lib.Evidence("desk", 7, f"edge-bangna-{host:016x}", routes)
        for host in range(HOSTS)
    ]
    answer = await relay.send_evidence(*counts)
    assertions.assert_that(answer.depth, matchers.Equals(0))


async def test_a_message_beyond_all_is_refused_and_logged(
    relay: relay_process.RelayProcess,
) -> None:
    body = b"[" * (request_handler.MAX_MESSAGE_BYTES + 1)
    with pytest.raises(aiohttp.ClientError):
        await relay.send_message(body)
    await relay.until(lambda: bool(relay.lines("message_too_large")))
    assertions.assert_that(await relay.is_ready(), matchers.Is(True))
