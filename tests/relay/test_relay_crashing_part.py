"""A prompt part that crashes every server that answers a prompt with it.

Guards against servers crashing one after another under requests that differ
each time but share a part of their prompts. In an observed failure, evidence
was kept by request, so that each new one was sent to servers: 38 crashed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import relay_cluster
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RELAYS = 3
ENGINES = 6
CRASHING_PART = "bad"
# Prompts with a crashing part at any place but the last. The other shared parts
# are those of sound requests.
PROMPTS = {
    "first": "bad:9,system:100,account:50,own{0}:30",
    "between": "system:100,bad:9,new{0}:50,own{0}:30",
    "after_all_shared": "system:100,account:50,bad:9,own{0}:30",
}
SOUND_PROMPT = "system:100,account:50,own{0}:30"
KNOWN_CRASHES = 5  # Crashes after which the part has to be known.
# Requests that may still reach servers once it is known.
MAX_ATTEMPTS = 3


@pytest.fixture
async def cluster(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[relay_cluster.Cluster]:
    """Three relays with six engines that crash on a prompt part."""
    async with relay_cluster.open_cluster(
        monkeypatch, RELAYS, ENGINES
    ) as opened:
        for engine in opened.engines:
            engine.crashing_parts.add(CRASHING_PART.encode())
        yield opened


async def call_with_part(
    cluster: relay_cluster.Cluster, prompt: str, number: int
) -> bool:
    """Sends a request unlike all others; returns whether servers got it."""
    body = b"text %d" % number
    await cluster.call(
        number % RELAYS,
        body,
        f"p{number}",
        f"/chat/{number}",
        prompt.format(number),
    )
    has_arrived = cluster.count_attempts(body) > 0
    await cluster.restart_engines()
    return has_arrived


async def call_sound(cluster: relay_cluster.Cluster, number: int) -> bool:
    """Sends a request without the part; returns whether it was served."""
    answer = await cluster.call(
        number % RELAYS,
        b"sound %d" % number,
        f"s{number}",
        f"/chat/sound{number}",
        SOUND_PROMPT.format(f"s{number}"),
    )
    return answer.is_whole_stream


async def crash_until_known(cluster: relay_cluster.Cluster, prompt: str) -> int:
    """Sends requests until the part is known; returns how many."""
    sound = [await call_sound(cluster, each) for each in range(3 * RELAYS)]
    assertions.assert_that(all(sound), matchers.Is(True))
    number = 0
    while cluster.crash_count() < KNOWN_CRASHES and number < KNOWN_CRASHES:
        await call_with_part(cluster, prompt, number)
        number += 1
    await cluster.exchange_state()
    return number


async def until_stored(cluster: relay_cluster.Cluster) -> None:
    """Waits until the part's quarantine is in the store."""
    records = cluster.platform.quarantine.records
    key = f"llm {CRASHING_PART}"
    await relay_cluster.until(lambda: any(each.key == key for each in records))


@pytest.mark.parametrize("prompt", PROMPTS.values(), ids=PROMPTS)
async def test_a_prompt_part_that_crashes_servers_is_quarantined(
    cluster: relay_cluster.Cluster, prompt: str
) -> None:
    number = await crash_until_known(cluster, prompt)
    arrived = 0
    for later in range(number, number + 3 * RELAYS):
        arrived += await call_with_part(cluster, prompt, later)
    assertions.assert_that(arrived, matchers.LessThan(MAX_ATTEMPTS + 1))
    sound = [await call_sound(cluster, each) for each in range(3 * RELAYS)]
    assertions.assert_that(all(sound), matchers.Is(True))


async def test_quarantined_part_survives_restart_of_all_relays(
    cluster: relay_cluster.Cluster,
) -> None:
    prompt = PROMPTS["between"]
    number = await crash_until_known(cluster, prompt)
    await until_stored(cluster)
    arrived = 0
    for later in range(number, number + 3):
        await cluster.restart_relays()
        arrived += await call_with_part(cluster, prompt, later)
    assertions.assert_that(arrived, matchers.LessThan(MAX_ATTEMPTS + 1))


async def test_quarantine_ends_when_its_record_is_dropped(
    cluster: relay_cluster.Cluster,
) -> None:
    prompt = PROMPTS["first"]
    number = await crash_until_known(cluster, prompt)
    await until_stored(cluster)
    topic = cluster.platform.quarantine
    for engine in cluster.engines:
        engine.crashing_parts.clear()
    keys = {each.key for each in topic.records}
    for key in keys:
        await topic.put(key, None)
    await relay_cluster.until(
        lambda: all(
            not relay.state.router.parts.quarantined(relay.state.clock())
            for relay in cluster.relays
        )
    )
    answer = await cluster.call(
        0, b"later", "later", "/chat/later", prompt.format(number)
    )
    assertions.assert_that(answer.is_whole_stream, matchers.Is(True))
