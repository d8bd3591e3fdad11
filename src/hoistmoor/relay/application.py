"""Assembles a relay from its state, background tasks and connections."""

from __future__ import annotations

import contextlib
import functools
import os
from typing import TYPE_CHECKING

from hoistmoor.clients import dialect as dialect_lib
from hoistmoor.clients import sessions
from hoistmoor.core.relay.beliefs import configuration_lease
from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.memory import budget as budget_lib
from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.relay.servers import warmup
from hoistmoor.core.relay.versions import exposure
from hoistmoor.core.routing import hashing
from hoistmoor.relay import event_log
from hoistmoor.relay import library_log
from hoistmoor.relay import metrics
from hoistmoor.relay import relay_server
from hoistmoor.relay import settings_reloader
from hoistmoor.relay import state as state_lib
from hoistmoor.relay import suspension
from hoistmoor.relay.front import admission
from hoistmoor.relay.front import backend_connector as backend_connector_lib
from hoistmoor.relay.front import http_handlers as http_handlers_lib
from hoistmoor.relay.front import server_end_detector
from hoistmoor.relay.links import forward_handler
from hoistmoor.relay.links import link_monitor
from hoistmoor.relay.links import silence_monitor
from hoistmoor.relay.peers import listing as listing_lib
from hoistmoor.relay.peers import peer_client
from hoistmoor.relay.peers import reader as reader_lib
from hoistmoor.relay.store import era_monitor
from hoistmoor.relay.store import followers as followers_lib
from hoistmoor.relay.store import lease_monitor
from hoistmoor.relay.store import quarantine
from hoistmoor.relay.store import store_gate
from hoistmoor.relay.versions import rollout_listeners
from hoistmoor.relay.versions import rollout_task
from hoistmoor.utils import clocks
from hoistmoor.utils import signals

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    import aiohttp

    from hoistmoor.relay import settings as settings_lib
    from hoistmoor.relay.store import ports

# Seconds for which an idle connection to a backend server is kept open.
BACKEND_IDLE_TIMEOUT = 4.0
# Seconds for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
UNACKNOWLEDGED_TIMEOUT = 2.0
LOG_DESCRIPTOR = 1  # Standard output.


class Relay:
    """A relay and its background tasks.

    Attributes:
        settings: Settings in force.
        settings_task: Reloads the settings.
        suspension: Detects that the machine was suspended.
        state: State shared by the tasks.
        link_monitor: Tells failed servers from lost links.
        front: Handles callers' requests.
        followers: Topic followers by topic name.
        background_tasks: Background tasks by name, run while the relay serves.
    """

    def __init__(
        self,
        settings: settings_lib.RelaySettings,
        platform: ports.Platform,
        backends: backend_connector_lib.BackendSessions,
        peer_session: aiohttp.ClientSession,
        read_settings: Callable[[], settings_lib.RelaySettings],
        clock: Callable[[], float] = clocks.monotonic,
    ) -> None:
        """Initializes a relay without starting its tasks.

        Args:
            settings: Initial settings.
            platform: Source of configuration, servers and rollouts.
            backends: HTTP sessions for backend servers.
            peer_session: HTTP session for other relays.
            read_settings: Reads the current settings.
            clock: Monotonic time in seconds, including time in suspend.
        """
        self.settings = settings
        seed = int.from_bytes(os.urandom(8), "big")
        draws = hashing.RandomGenerator.from_seed(seed)
        self.state = state_lib.RelayState(
            clock=clock,
            log=event_log.EventLog(settings.host, clock, LOG_DESCRIPTOR),
            counters=metrics.RelayMetrics(),
            router=router_lib.Router(
                settings.zone, _bounds(settings), draws, settings.host
            ),
            lease=configuration_lease.ConfigurationLease(
                settings.revocation, settings.is_revocation_strict
            ),
            run_name=f"{settings.host}-{seed:016x}",
            store_era=platform.store_era,
        )
        self.state.memory.limit = _memory_limit(settings)
        self.state.router.waiting.is_enabled = settings.shares_by_account
        dialect = dialect_lib.Dialect(
            attempt_header=platform.headers.request_id,
            not_run_header=platform.headers.not_run,
            not_run_statuses=platform.not_run_statuses,
            has_end_marker=False,
        )
        deadlines = suspension.SuspensionAwareTimeouts()
        self.suspension = suspension.SuspensionMonitor(self.state, deadlines)
        self._peer_client = peer_client.PeerClient(self.state, peer_session)
        self.link_monitor = link_monitor.LinkMonitor(
            self.state, self._peer_client
        )
        connector = backend_connector_lib.BackendConnector(
            backends,
            platform.headers,
            dialect,
            server_end_detector.ServerEndDetector(
                self.state, self.link_monitor
            ),
            deadlines,
        )
        self.front = http_handlers_lib.RequestHandler(
            self.state,
            admission.Admission(self.state, platform.headers, draws),
            connector,
            draws,
        )
        self.settings_task = settings_reloader.SettingsReloader(
            self.state, settings, read_settings, self.apply_settings
        )
        self._sources = replication.SourceSelector(settings.host, settings.zone)
        self._gate = store_gate.StoreGate()
        self._heard = followers_lib.RelayListeners(
            rollout_listeners.PhaseListener(self.state),
            listing_lib.HostListener(self.state, self._sources),
            quarantine.QuarantineListener(self.state),
        )
        self.followers = followers_lib.make_followers(
            self.state,
            platform,
            self._gate,
            self._heard,
            # With peers, wait until it is known which host reads the store.
            may_use_peers=bool(settings.peer_listen),
        )
        era_monitor.EraMonitor(self.state, self.followers).attach()
        self._make_tasks(platform, connector)
        self._serving = relay_server.RelayServer(
            self.state,
            self.front,
            self.followers,
            self.background_tasks,
            lambda: self.settings,
            forward_handler.ForwardHandler(
                self.state, connector, self.link_monitor, self.front.held
            ),
        )

    @property
    def addresses(self) -> list[str]:
        """``ip:port`` of each listener.

        The order is: callers, load balancer, metrics, other relays.
        """
        return self._serving.addresses

    def apply_settings(self, settings: settings_lib.RelaySettings) -> None:
        """Applies changed settings; listen addresses need a restart."""
        self.settings = settings
        self.state.lease.bound = settings.revocation
        self.state.lease.is_strict = settings.is_revocation_strict
        self.state.router.set_bounds(_bounds(settings))
        self.state.memory.limit = _memory_limit(settings)
        self.state.router.waiting.is_enabled = settings.shares_by_account

    def _make_tasks(
        self,
        platform: ports.Platform,
        connector: backend_connector_lib.BackendConnector,
    ) -> None:
        settings = self.settings
        self.background_tasks = {
            name: each.run for name, each in self.followers.items()
        }
        self.background_tasks["settings"] = self.settings_task.run
        self.background_tasks["suspension"] = self.suspension.run
        self.background_tasks["links"] = self.link_monitor.run
        self.background_tasks["silences"] = silence_monitor.SilenceMonitor(
            self.state, connector
        ).run
        self.background_tasks["lease"] = lease_monitor.LeaseMonitor(
            self.state
        ).run
        self.background_tasks["rollouts"] = rollout_task.RolloutTask(
            self.state,
            platform.topics,
            platform.codec,
            self.followers["phases"],
            self._heard.phases,
            self._gate,
        ).run
        self.background_tasks["quarantine_writes"] = (
            quarantine.QuarantineWriter(
                self.state,
                platform.topics.quarantine,
                self._heard.quarantine,
                self._gate,
            ).run
        )
        if not settings.peer_listen:
            self.state.router.fleet.shares.set_hosts([settings.host])
            return
        own_host = replication.Host(
            settings.host,
            settings.zone,
            settings.peer_listen,
            settings.link,
            forwards=True,
        )
        listing = listing_lib.SelfListing(
            self.state,
            platform.topics.hosts,
            own_host,
            self._sources,
            self._heard.hosts,
            is_first_start=settings.is_first_start,
        )
        self.background_tasks["listing"] = listing.run
        reader = reader_lib.PeerReader(
            self.state,
            self._sources,
            self.followers,
            self._peer_client,
            self._gate,
            listing,
        )
        self.background_tasks["peers"] = reader.run

    async def serve(self, stop: asyncio.Event) -> None:
        """Serves until ``stop`` is set, then shuts down gracefully."""
        await self._serving.serve(stop)


def _memory_limit(settings: settings_lib.RelaySettings) -> int | None:
    """Returns the bytes that requests may hold; None for no limit."""
    if not settings.has_slow_peers or not settings.memory:
        return None
    return budget_lib.usable_bytes(settings.memory)


def _bounds(settings: settings_lib.RelaySettings) -> bounds_lib.Bounds:
    return bounds_lib.Bounds(
        repeat_ratio=settings.repeat_ratio,
        repeat_window=settings.repeat_window,
        repeat_spare=settings.repeat_spare,
        repeat_slack=settings.repeat_slack,
        session_life=settings.session_life,
        exposure_limit=exposure.ExposureLimit(
            settings.exposure_share, settings.exposure_tolerance
        ),
        rate_tolerance=warmup.RateTolerance(
            settings.warmup_factor, settings.warmup_spare
        ),
        longest_rest=settings.longest_rest,
        shares_by_account=settings.shares_by_account,
    )


async def serve(
    read_settings: Callable[[], settings_lib.RelaySettings],
    connect: Callable[[aiohttp.ClientSession], ports.Platform],
) -> None:
    """Runs a relay until SIGTERM or SIGINT.

    Args:
        read_settings: Reads the settings, at startup and on each reload.
        connect: Creates the platform adapter on an HTTP session.
    """
    stop = signals.stop_event()
    async with contextlib.AsyncExitStack() as stack:
        platform_session = await stack.enter_async_context(
            sessions.make_session(unacknowledged_timeout=UNACKNOWLEDGED_TIMEOUT)
        )
        platform = connect(platform_session)
        make_backend_session = functools.partial(
            sessions.make_session,
            connect_timeout=backend_connector_lib.CONNECT_TIMEOUT,
            total_timeout=None,
            idle_timeout=BACKEND_IDLE_TIMEOUT,
            attempt_header=platform.headers.request_id,
            unacknowledged_timeout=UNACKNOWLEDGED_TIMEOUT,
        )
        backends = backend_connector_lib.BackendSessions(
            await stack.enter_async_context(make_backend_session()),
            await stack.enter_async_context(
                make_backend_session(reuse_connections=False)
            ),
        )
        relay = Relay(
            read_settings(), platform, backends, platform_session, read_settings
        )
        library_log.attach(relay.state.log)
        signals.on_reload(relay.settings_task.reload_requested.set)
        await relay.serve(stop)
