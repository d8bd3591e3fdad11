"""Fixtures for tests of the relay decision logic."""

from __future__ import annotations

import pytest
import relay_parts

from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.routing import hashing


@pytest.fixture
def router() -> router_lib.Router:
    """A router with three servers of one service in three failure domains."""
    made = router_lib.Router(
        "north", bounds_lib.Bounds(), hashing.RandomGenerator.from_seed(1)
    )
    for number in range(3):
        made.fleet.put(relay_parts.make_entry(f"s{number}", zone=f"z{number}"))
    return made
