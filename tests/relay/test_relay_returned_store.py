"""Real relays with a store that is restored from an older backup."""

from __future__ import annotations

import asyncio

import pytest
import relay_cluster
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import configuration

HOSTS = 7
LOST = 3  # Accepted configurations that are lost by the restore.
NEW_ACCOUNT = configuration.ClientAccount("farm", frozenset({"key3"}))


async def publish(
    cluster: relay_cluster.Cluster, revision: int, **fields: object
) -> None:
    config = relay_parts.make_configuration(revision, **fields)
    operator = cluster.platform.operator
    await cluster.platform.publish(operator, "config", config)


async def wait_for_revision(
    cluster: relay_cluster.Cluster, revision: int
) -> None:
    def is_in_force() -> bool:
        configs = [each.state.configuration for each in cluster.relays]
        return all(each and each.revision == revision for each in configs)

    await relay_cluster.until(is_in_force)


@pytest.mark.parametrize("written_again", [1, LOST])
async def test_a_key_revoked_after_a_restore_is_refused(
    monkeypatch: pytest.MonkeyPatch, written_again: int
) -> None:
    # After the new writes, the topic ends before or exactly at the position up
    # to which the hosts had read.
    async with relay_cluster.open_cluster(monkeypatch, HOSTS, 2) as cluster:
        copy = cluster.platform.backup()
        for revision in range(2, 2 + LOST):
            await publish(cluster, revision)
        await wait_for_revision(cluster, 1 + LOST)
        cluster.platform.restore(copy)
        newest = 1 + LOST + written_again
        for revision in range(2 + LOST, newest):
            await publish(cluster, revision)
        await publish(cluster, newest, accounts=(NEW_ACCOUNT,))
        await wait_for_revision(cluster, newest)
        for number in range(HOSTS):
            answer = await cluster.call(number, b"old key")
            assertions.assert_that(answer.status, matchers.Equals(401))


async def test_no_request_is_refused_while_the_store_is_restored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_cluster.open_cluster(monkeypatch, HOSTS, 2) as cluster:
        copy = cluster.platform.backup()
        await publish(cluster, 2)
        await wait_for_revision(cluster, 2)
        statuses: list[int] = []

        async def call_repeatedly(number: int) -> None:
            while True:
                answer = await cluster.call(number, b"meanwhile")
                statuses.append(answer.status)

        calls = [
            asyncio.create_task(call_repeatedly(each)) for each in range(HOSTS)
        ]
        for revision in (3, 4):
            cluster.platform.restore(copy)
            await publish(cluster, revision)
            await wait_for_revision(cluster, revision)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        assertions.assert_that(set(statuses), matchers.Equals({200}))
