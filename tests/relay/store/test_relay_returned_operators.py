"""Tests of operators' records after the store was restored from a copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import relay_platform
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import store_era
from hoistmoor.relay.store import operator_listener

if TYPE_CHECKING:
    from conftest import Rig


async def test_evacuation_outlasts_restore_of_store(
    rig: Rig, platform: relay_platform.MemoryPlatform
) -> None:
    operator = rig.follow(
        "operator",
        relay_platform.HostTopic(platform.operator, rig.state.store_era),
        operator_listener.OperatorListener(rig.state, platform.codec),
    )

    async def evacuated() -> set[str]:
        await operator.read_once()
        return set(rig.state.router.fleet.evacuated)

    copy = platform.backup()
    await platform.operator.put("empty-north", b"{}")
    await platform.operator.put("empty-south", b"{}")
    assertions.assert_that(
        await evacuated(), matchers.Equals({"north", "south"})
    )
    platform.restore(copy)
    rig.state.store_era.record_era(platform.operator.era, "h2")
    assertions.assert_that(
        await evacuated(), matchers.Equals({"north", "south"})
    )
    # An evacuation that is not written again was revoked.
    await platform.operator.put("empty-south", b"{}")
    rig.clock.now += store_era.RESTORE_GRACE_PERIOD
    assertions.assert_that(await evacuated(), matchers.Equals({"south"}))
