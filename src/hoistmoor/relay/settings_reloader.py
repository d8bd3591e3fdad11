"""Reloads changed settings while the relay is running."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoistmoor.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.relay import settings as settings_lib
    from hoistmoor.relay import state as state_lib

# Seconds between checks of the settings, which may change without a signal.
POLL_INTERVAL = 2.0


class SettingsReloader:
    """Reloads the settings periodically and on a signal.

    Attributes:
        settings: Settings in force.
        reload_requested: Set by a signal to request an immediate reload.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        settings: settings_lib.RelaySettings,
        read: Callable[[], settings_lib.RelaySettings],
        apply: Callable[[settings_lib.RelaySettings], None],
    ) -> None:
        """Initializes the task without starting it.

        Args:
            state: State of the relay.
            settings: Settings in force.
            read: Reads the current settings.
            apply: Applies changed settings.
        """
        self.settings = settings
        self.reload_requested = asyncio.Event()
        self._state = state
        self._read = read
        self._apply = apply

    async def run(self) -> None:
        """Reloads the settings until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL):
                    await self.reload_requested.wait()
            self.reload(signalled=self.reload_requested.is_set())
            self.reload_requested.clear()

    def reload(self, *, signalled: bool) -> None:
        """Reloads the settings once; keeps the old ones if they are invalid."""
        try:
            loaded = self._read()
        except (OSError, errors.ConfigurationError) as error:
            self._state.log.write("settings_unreadable", detail=str(error))
            return
        is_changed = loaded != self.settings
        if is_changed:
            self.settings = loaded
            self._apply(loaded)
        if is_changed or signalled:
            self._state.log_change(
                "settings", signalled=signalled, changed=is_changed
            )
