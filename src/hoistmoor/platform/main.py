"""Entry point of a relay on the deployment platform."""

from __future__ import annotations

import os
import pathlib
import sys
from typing import TYPE_CHECKING

import uvloop

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import store_era as store_era_lib
from hoistmoor.platform import codec
from hoistmoor.platform import names
from hoistmoor.platform import settings as settings_lib
from hoistmoor.platform import store
from hoistmoor.relay import application
from hoistmoor.relay.store import ports

if TYPE_CHECKING:
    import aiohttp

    from hoistmoor.relay import settings as relay_settings

SETTINGS_VARIABLE = "HOISTMOOR_CONFIG"
EXIT_USAGE = 2


def main() -> int:
    """Runs the relay and returns the process exit code."""
    try:
        path = pathlib.Path(os.environ[SETTINGS_VARIABLE])
        settings = settings_lib.read(path.read_bytes())
    except (KeyError, OSError, errors.ConfigurationError) as error:
        print(f"cannot start: {error}", file=sys.stderr)  # noqa: T201
        return EXIT_USAGE

    def connect(session: aiohttp.ClientSession) -> ports.Platform:
        history = store_era_lib.StoreEra()
        return ports.Platform(
            topics=store.open_topics(
                session, settings.store, history, settings.store_limits
            ),
            codec=codec.PlatformCodec(),
            headers=names.HEADERS,
            not_run_statuses=names.NOT_RUN_STATUSES,
            store_era=history,
        )

    def reload_settings() -> relay_settings.RelaySettings:
        return settings_lib.read(path.read_bytes()).relay

    uvloop.run(application.serve(reload_settings, connect))
    return 0


if __name__ == "__main__":
    sys.exit(main())
