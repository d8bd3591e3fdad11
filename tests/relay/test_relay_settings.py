"""Reloading of settings while a relay is running."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import TYPE_CHECKING

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.relay import settings_reloader
from hoistmoor.utils import signals

if TYPE_CHECKING:
    from conftest import Harness

    from hoistmoor.relay import settings as settings_lib


@pytest.fixture
def stored_settings(harness: Harness) -> list[settings_lib.RelaySettings]:
    """Settings that the next reload reads; empty to make it fail."""
    return [harness.relay.settings]


@pytest.fixture
def task(
    harness: Harness, stored_settings: list[settings_lib.RelaySettings]
) -> settings_reloader.SettingsReloader:
    """A task that reloads from ``stored_settings``."""

    def read() -> settings_lib.RelaySettings:
        if not stored_settings:
            raise errors.ConfigurationError("broken", "Fix the settings.")
        return stored_settings[0]

    relay = harness.relay
    return settings_reloader.SettingsReloader(
        relay.state, relay.settings, read, relay.apply_settings
    )


async def test_changed_settings_apply_immediately(
    harness: Harness,
    stored_settings: list[settings_lib.RelaySettings],
    task: settings_reloader.SettingsReloader,
) -> None:
    stored_settings[0] = attrs.evolve(
        stored_settings[0], revocation=2.0, session_life=9.0
    )
    task.reload(signalled=False)
    state = harness.state
    assertions.assert_that(state.lease.bound, matchers.Equals(2.0))
    assertions.assert_that(
        state.router.rollouts.sessions.life, matchers.Equals(9.0)
    )


async def test_invalid_settings_are_ignored(
    harness: Harness,
    stored_settings: list[settings_lib.RelaySettings],
    task: settings_reloader.SettingsReloader,
) -> None:
    before = harness.relay.settings
    stored_settings.clear()
    task.reload(signalled=True)
    assertions.assert_that(harness.relay.settings, matchers.Is(before))


async def test_sighup_triggers_a_reload(
    task: settings_reloader.SettingsReloader,
) -> None:
    signals.on_reload(task.reload_requested.set)
    os.kill(os.getpid(), signal.SIGHUP)
    async with asyncio.timeout(20.0):
        await task.reload_requested.wait()
