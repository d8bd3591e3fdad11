"""Takes changed settings while the relay runs."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoistmoor.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.relay import settings as settings_lib
    from hoistmoor.relay import state as state_lib

# Seconds between two looks at the settings, which may change with no signal.
PERIOD = 2.0


class SettingsTask:
    """Reads the settings again, on a signal and now and then.

    Attributes:
        settings: In force.
        changed: Set by a signal, to look at once.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        settings: settings_lib.RelaySettings,
        read: Callable[[], settings_lib.RelaySettings],
        apply: Callable[[settings_lib.RelaySettings], None],
    ) -> None:
        """Makes the task.

        Args:
            state: What the relay knows.
            settings: In force now.
            read: Reads them again.
            apply: Puts them in force.
        """
        self.settings = settings
        self.changed = asyncio.Event()
        self._state = state
        self._read = read
        self._apply = apply

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PERIOD):
                    await self.changed.wait()
            self.look(signalled=self.changed.is_set())
            self.changed.clear()

    def look(self, *, signalled: bool) -> None:
        """Reads the settings once, and keeps the old ones if they are bad."""
        try:
            found = self._read()
        except (OSError, errors.ConfigurationError) as error:
            self._state.log.write("settings_unreadable", detail=str(error))
            return
        is_new = found != self.settings
        if is_new:
            self.settings = found
            self._apply(found)
        if is_new or signalled:
            self._state.believe("settings", signalled=signalled, changed=is_new)
