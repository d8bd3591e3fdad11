"""Composition root: creates an entry host's components and connects them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from aiohttp import web
import attrs
import xxhash

from hoistmoor.clients import engines
from hoistmoor.clients import hosts
from hoistmoor.clients import log
from hoistmoor.clients import ratings
from hoistmoor.core import identity
from hoistmoor.core.membership import view
from hoistmoor.core.routing import router as router_lib
from hoistmoor.entry import admin
from hoistmoor.entry import admission_control
from hoistmoor.entry import biller as biller_lib
from hoistmoor.entry import components as components_lib
from hoistmoor.entry import connection_drainer as connection_drainer_lib
from hoistmoor.entry import decision_log as decision_log_lib
from hoistmoor.entry import evidence_task
from hoistmoor.entry import explanations as explanations_lib
from hoistmoor.entry import forwarding
from hoistmoor.entry import handlers
from hoistmoor.entry import load_poller
from hoistmoor.entry import membership
from hoistmoor.entry import once as once_lib
from hoistmoor.entry import operator_guard
from hoistmoor.entry import peer_auth
from hoistmoor.entry import peer_directory as peer_directory_lib
from hoistmoor.entry import pin_store
from hoistmoor.entry import rating_queue
from hoistmoor.entry import readiness as readiness_lib
from hoistmoor.entry import request_reader as request_reader_lib
from hoistmoor.entry import request_receiver as request_receiver_lib
from hoistmoor.entry import session_affinity
from hoistmoor.entry import table_follower
from hoistmoor.entry import table_listeners
from hoistmoor.peers import handlers as peer_handlers
from hoistmoor.peers import server as peer_server
from hoistmoor.steward import feed
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from hoistmoor.config import settings as settings_lib
    from hoistmoor.core.table import model

_MS_PER_SECOND = 1000


@attrs.frozen
class Entry:
    """The connected components of one entry host.

    Attributes:
        parts: Components that requests use.
        follower: Follows the table.
        members: Tracks the other hosts.
        readiness: Decides whether new requests are accepted.
        reception: Tracks running requests.
        evidence: Collects evidence of quality.
        steering: Applies rollouts and drains to the router's table.
        connection_drainer: Closes callers' connections during a stop.
        web: The HTTP application for callers and operators.
        peers: The server for other entry hosts.
        auth: Authenticates this host and its peers to each other.
    """

    parts: components_lib.Components
    follower: table_follower.TableFollower
    members: membership.MembershipTask
    readiness: readiness_lib.Readiness
    reception: request_receiver_lib.RequestReceiver
    evidence: evidence_task.EvidenceTask
    steering: feed.SteeringFeed
    connection_drainer: connection_drainer_lib.ConnectionDrainer
    web: web.Application
    peers: peer_server.PeerServer
    auth: peer_auth.PeerAuth


class EntryFactory:
    """Creates an entry host's components from its settings."""

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        session: aiohttp.ClientSession,
        backend_session: aiohttp.ClientSession,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a factory.

        Args:
            settings: Validated settings.
            session: HTTP session for the platform and for other hosts.
            backend_session: HTTP session for backend servers.
            clock: Returns seconds since the epoch.
        """
        self._settings = settings
        self._session = session
        self._backend_session = backend_session
        self._clock = clock
        self._incarnation = identity.Incarnation(
            settings.host, int(clock() * _MS_PER_SECOND)
        )
        self._address = settings.advertise or settings.listen
        self._log = log.LogClient(session, settings.log_url)
        self._metrics = metrics_lib.Metrics(settings.statsd)
        self._auth = peer_auth.PeerAuth.make(
            settings, self._incarnation, clock, self._metrics
        )
        self._table_listeners = table_listeners.TableListeners()

    def make(self) -> Entry:
        """Returns the connected components, without starting any task."""
        follower = table_follower.TableFollower(
            self._log, on_table=self._table_listeners.notify, clock=self._clock
        )
        members = self._make_members(follower)
        neighbours = peer_directory_lib.PeerDirectory(members, self._clock)
        readiness = readiness_lib.Readiness(follower, neighbours, self._clock)
        parts = self._make_parts(members, neighbours, readiness)
        reception = request_receiver_lib.RequestReceiver(parts)
        evidence = evidence_task.EvidenceTask(
            self._log, parts.ratings.client, parts.router, self._clock
        )
        operators = admin.AdminHandlers(
            readiness,
            follower,
            members,
            reception,
            parts,
            operator_guard.OperatorGuard(
                self._settings.operator_hashes, self._metrics
            ),
        )
        closing = connection_drainer_lib.ConnectionDrainer(readiness)
        callers = self._make_web(parts, readiness, reception, operators)
        callers.on_response_prepare.append(closing.on_prepare)
        entry = Entry(
            parts=parts,
            follower=follower,
            members=members,
            readiness=readiness,
            reception=reception,
            evidence=evidence,
            steering=feed.SteeringFeed(
                self._log, parts.router.on_table, self._clock
            ),
            connection_drainer=closing,
            web=callers,
            peers=_make_peers(parts, members, operators, self._auth),
            auth=self._auth,
        )
        _connect(entry, self._table_listeners, neighbours)
        return entry

    def _make_members(
        self, follower: table_follower.TableFollower
    ) -> membership.MembershipTask:
        settings = self._settings
        own = view.HostView(
            name=settings.host,
            incarnation=self._incarnation.number,
            http_address=self._address,
            peer_address=settings.peer_advertise or settings.peer_listen,
            failure_domain=settings.failure_domain,
            region=settings.region,
        )
        return membership.MembershipTask(
            own,
            hosts.HostListClient(self._session, settings.hosts_base).fetch,
            peer_directory_lib.PeerAddressClient(
                self._session, self._auth.link
            ).find,
            follower,
            clients=self._auth.clients,
            clock=self._clock,
        )

    def _make_parts(
        self,
        members: membership.MembershipTask,
        neighbours: peer_directory_lib.PeerDirectory,
        readiness: readiness_lib.Readiness,
    ) -> components_lib.Components:
        settings = self._settings
        seed = xxhash.xxh3_64_intdigest(str(self._incarnation).encode())
        store = pin_store.PeerPinStore(members.clients, neighbours.peer_address)
        rating_client = ratings.RatingsClient(
            self._session, settings.ratings_base
        )
        router = router_lib.Router(
            settings.failure_domain, seed, str(self._incarnation)
        )
        return components_lib.Components(
            clock=self._clock,
            router=router,
            load_poller=load_poller.LoadPoller(
                engines.EngineClient(self._session),
                router,
                members,
                self._clock,
            ),
            admission=admission_control.AdmissionController(
                self._log, self._incarnation, self._clock, neighbours
            ),
            once=once_lib.AtMostOnceGuard(
                self._log,
                self._incarnation,
                self._address,
                [secret.encode() for secret in settings.secrets],
                neighbours.is_alive,
                self._metrics,
                self._clock,
                settings.claim_window,
                neighbours.longest_running_address,
                settings.claim_shards,
                neighbours.http_addresses,
            ),
            biller=biller_lib.Biller(
                self._log, self._incarnation, neighbours, self._metrics
            ),
            sessions=session_affinity.SessionAffinity(
                settings.host, settings.secrets, self._clock, store
            ),
            explanations=explanations_lib.Explanations(),
            decision_log=decision_log_lib.DecisionLog(
                self._log, self._incarnation, neighbours.host_count
            ),
            ratings=rating_queue.RatingQueue(rating_client),
            metrics=self._metrics,
            http=self._backend_session,
            readiness=readiness,
        )

    def _make_web(
        self,
        parts: components_lib.Components,
        readiness: readiness_lib.Readiness,
        reception: request_receiver_lib.RequestReceiver,
        operators: admin.AdminHandlers,
    ) -> web.Application:
        intake = request_reader_lib.RequestReader(
            self._incarnation, readiness, self._clock
        )
        forwarder = forwarding.Forwarder(
            self._session, self._settings.host, self._auth.link
        )
        callers = handlers.CallerHandlers(parts, intake, reception, forwarder)
        application = web.Application(middlewares=[handlers.error_middleware])
        callers.add_routes(application)
        operators.add_routes(application)
        return application


def _make_peers(
    parts: components_lib.Components,
    members: membership.MembershipTask,
    operators: admin.AdminHandlers,
    auth: peer_auth.PeerAuth,
) -> peer_server.PeerServer:
    return peer_server.PeerServer(
        peer_handlers.PeerHandlers(
            ping=members.ping,
            ping_for=members.ping_for,
            fetch_table=members.fetch_table,
            hold_bills=parts.biller.hold_bills,
            release_bills=parts.biller.release_bills,
            find_decision=operators.find_decision,
            find_session=parts.sessions.find_session,
            keep_session=parts.sessions.keep_session,
            shares=parts.admission.handle_share_message,
        ),
        auth.guard,
        auth.tls.peer_context if auth.tls else None,
    )


def _connect(
    entry: Entry,
    tables: table_listeners.TableListeners,
    neighbours: peer_directory_lib.PeerDirectory,
) -> None:
    """Subscribes components to changes of the table, hosts and servers."""
    parts = entry.parts

    def on_table(in_force: model.ActiveTable) -> None:
        entry.steering.on_table(in_force)
        parts.admission.on_table(in_force)
        parts.sessions.on_table(in_force)
        parts.load_poller.on_table(in_force)
        parts.metrics.gauge("table.revision", in_force.revision)

    def on_hosts(live: tuple[view.HostView, ...]) -> None:
        neighbours.on_hosts(live)
        parts.admission.on_hosts(live)
        parts.sessions.on_hosts(live)
        parts.router.set_host_count(max(1, len(live)))
        parts.metrics.gauge("peers.alive", len(live))

    tables.add(on_table)
    listeners = entry.members.listeners
    listeners.hosts_changed = on_hosts
    listeners.server_left = lambda address, _: parts.router.on_leaving(address)
    listeners.server_returned = lambda address, _: parts.router.on_returned(
        address
    )
