"""State of a relay, shared by its tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, TYPE_CHECKING

import attrs

from hoistmoor.core.relay.beliefs import configuration as configuration_lib
from hoistmoor.core.relay.beliefs import configuration_lease
from hoistmoor.core.relay.beliefs import store_era as store_era_lib
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.beliefs import tree_totals
from hoistmoor.core.relay.course import host_stop
from hoistmoor.core.relay.memory import budget as budget_lib
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import demand_totals
from hoistmoor.core.relay.servers import outstanding as outstanding_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import verdicts
from hoistmoor.relay import event_log
from hoistmoor.relay import metrics as metrics_lib
from hoistmoor.relay import reading_monitor as reading_monitor_lib
from hoistmoor.relay import report_tracker as report_tracker_lib
from hoistmoor.relay.links import link_tracker

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import messages
    from hoistmoor.core.relay.course import requests


@attrs.define(eq=False)
class RelayState:
    """State of a relay.

    Attributes:
        clock: Monotonic time in seconds, including time in suspend.
        log: Event log of decisions.
        counters: Metrics.
        router: Backend servers, rollouts and budgets.
        lease: Whether the configuration may still be used.
        outstanding: Work of other hosts at the backend servers.
        demand: Other demand of other hosts.
        memory: Bytes held for requests in progress.
        run_name: Unique name of this run of the host's process.
        store_era: Era of the store, as known to this host.
        evidence: Rollout counts of the hosts that read through this one.
        configuration: Configuration in force; None before the first.
        configuration_record: Record that holds the configuration; the store
            may have lost it.
        topics_read: Topics whose newest records have been read.
        draining: Whether a stop signal was received; requests are still
            accepted.
        stopping: Whether new requests are refused.
        ending: Whether requests in progress are given their final response.
        stop: Times of the stop; None before the stop signal.
        delivering: Tasks of requests that send their final response.
        source: Name of the host from which this one reads the store's topics;
            empty while it reads the store directly.
        depth: Number of hosts between this one and the store.
        started_at: Monotonic time at which this process started.
        has_urgent_changes: Set when peers should be informed immediately.
        report_tracker: Applies servers' reports about themselves.
        reading_monitor: Reports the engines that read long prompts.
        links: Records which servers can be reached.
    """

    clock: Callable[[], float]
    log: event_log.EventLog
    counters: metrics_lib.RelayMetrics
    router: router_lib.Router
    lease: configuration_lease.ConfigurationLease
    run_name: str
    outstanding: tree_totals.TreeTotals[outstanding_lib.WorkByServer] = (
        attrs.field(
            factory=lambda: tree_totals.TreeTotals(outstanding_lib.sum_work)
        )
    )
    demand: tree_totals.TreeTotals[demand_totals.DemandTotals] = attrs.field(
        factory=lambda: tree_totals.TreeTotals(demand_totals.sum_demand)
    )
    memory: budget_lib.MemoryBudget = attrs.field(
        factory=budget_lib.MemoryBudget
    )
    store_era: store_era_lib.StoreEra = attrs.field(
        factory=store_era_lib.StoreEra
    )
    evidence: evidence_lib.EvidenceRegistry = attrs.field(
        factory=evidence_lib.EvidenceRegistry
    )
    configuration: configuration_lib.Configuration | None = None
    configuration_record: topics.Record | None = None
    topics_read: set[str] = attrs.field(factory=set)
    draining: bool = False
    stopping: bool = False
    ending: bool = False
    stop: host_stop.HostStop | None = None
    delivering: set[asyncio.Task[Any]] = attrs.field(factory=set)
    source: str = ""
    depth: int = 0
    started_at: float = attrs.field(init=False)
    has_urgent_changes: asyncio.Event = attrs.field(factory=asyncio.Event)
    report_tracker: report_tracker_lib.ServerReportTracker = attrs.field(
        init=False
    )
    reading_monitor: reading_monitor_lib.ReadingMonitor = attrs.field(
        init=False
    )
    links: link_tracker.LinkTracker = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Records the start time and connects the server reports."""
        self.started_at = self.clock()
        self.report_tracker = report_tracker_lib.ServerReportTracker(
            self.router.fleet,
            self.clock,
            self.log_change,
            self.has_urgent_changes,
        )
        self.links = link_tracker.LinkTracker(
            self.router.fleet, self.clock, self.log_change, self.counters
        )
        self.reading_monitor = reading_monitor_lib.ReadingMonitor(
            self.router, self.counters, self.log_change
        )

    def own_demand(self) -> demand_totals.DemandTotals:
        """Returns this host's demand to report to other hosts."""
        return attrs.evolve(
            self.router.own_demand(),
            waiting=self.router.waiting.own_waiting(self.clock()),
            usage=self.router.accounts.own_totals(self.clock()),
        )

    def merge_demand(self, now: float) -> None:
        """Applies the demand of other hosts to this host's decisions."""
        total = self.demand.total_of_others(now) or demand_totals.DemandTotals()
        self.router.merge_demand(total, now)
        self.router.waiting.others_waiting = total.waiting
        self.router.accounts.set_others(total.usage, now)
        self._log_share_changes(now)
        self.reading_monitor.update(now)

    def _log_share_changes(self, now: float) -> None:
        """Logs the client accounts that crossed their shares."""
        accounts = self.router.accounts
        for change in accounts.changes(now):
            usage = change.usage
            self.log_change(
                "account_above_share"
                if change.is_above
                else "account_within_share",
                account=usage.account,
                service=usage.service,
                usage=round(usage.usage, 3),
                share=round(usage.share, 3),
                age=None if change.age is None else round(change.age, 3),
            )
        for service, count in accounts.counts_above().items():
            self.counters.accounts_above_share.labels(service).set(count)

    def log_change(self, kind: str, **fields: object) -> None:
        """Logs and counts a state change."""
        self.log.write(kind, **fields)
        self.counters.state_changes.labels(kind).inc()

    @property
    def revision(self) -> int:
        """Revision of the configuration in force; -1 for none."""
        return self.configuration.revision if self.configuration else -1

    def log_unreadable_record(
        self, kind: str, record: topics.Record, error: Exception
    ) -> None:
        """Logs and counts a record that cannot be decoded."""
        self.log_change(
            f"{kind}_unreadable",
            key=record.key,
            place=record.place.text,
            detail=str(error),
        )

    def record_heard(self, server: server_lib.ServerState) -> None:
        """Records that bytes have arrived from a server."""
        now = self.clock()
        since = server.silence.quiet_since
        if self.router.silences.record_heard(server, now) and since is not None:
            self.log_change(
                "server_responds",
                server=server.entry.server_id,
                service=server.entry.service,
                quiet=round(now - since, 3),
            )

    def record_server_end(self, server: server_lib.ServerState) -> None:
        """Records that this host found a server incarnation terminated."""
        if server.has_ended:
            return
        self._log_server_end(server, told=False)
        self.router.record_server_end(server, self.clock())
        self.log_quarantines()

    def _log_server_end(
        self, server: server_lib.ServerState, *, told: bool
    ) -> None:
        now = self.clock()
        self.log_change(
            "server_ended",
            server=server.entry.server_id,
            service=server.entry.service,
            told=told,
            runs=[
                f"{run.fingerprint} {run.stage}"
                f" {run.response_duration(now):.3f}s {','.join(run.parts)}"
                for run in server.runs.possibly_active(now)
            ],
        )

    def record_refused(self, server: server_lib.ServerState) -> None:
        """Records that a server that cut a response refuses connections."""
        if self.router.record_crash(server, self.clock()):
            self.has_urgent_changes.set()
        self.log_quarantines()

    def record_running(self, server: server_lib.ServerState) -> None:
        """Records that a server that cut a response accepts connections."""
        self.router.parts.record_reached(server, self.clock())
        self.log_quarantines()

    def record_served(
        self, request: requests.RelayRequest, send: messages.Send
    ) -> None:
        """Records that a server did not crash as it responded."""
        self.router.record_served(request, send, self.clock())
        self.log_quarantines()

    def merge_parts(self, changes: crashing_parts.PartChanges) -> None:
        """Merges evidence against prompt parts received from another host."""
        self.router.merge_parts(changes, self.clock())
        self.log_quarantines()

    def merge_suspects(self, told: Iterable[suspect_state.Suspect]) -> None:
        """Merges the suspected requests received from another host."""
        for server in self.router.merge_suspects(told, self.clock()):
            self._log_server_end(server, told=True)
        self.log_quarantines()

    def log_quarantines(self) -> None:
        """Logs newly quarantined requests and informs peers immediately."""
        suspects = self.router.suspects
        if suspects.newly_quarantined:
            self.has_urgent_changes.set()
        for fingerprint in suspects.newly_quarantined:
            self.log_change(
                "request_quarantined",
                **suspects.quarantine_details(fingerprint),
            )
        suspects.newly_quarantined.clear()
        self._log_part_news()

    def _log_part_news(self) -> None:
        """Logs changes of quarantined parts and informs peers immediately."""
        news = self.router.parts.news
        if not news:
            return
        self.has_urgent_changes.set()
        for each in news:
            self.log_change(
                f"part_{each.kind}",
                service=each.service,
                parts=list(each.parts),
                servers=list(each.servers),
                age=round(each.age, 3),
                probes=each.probes,
            )
        news.clear()
        quarantined = self.router.parts.quarantined(self.clock())
        self.counters.quarantined_parts.set(len(quarantined))

    def collect_evidence(self) -> tuple[evidence_lib.Evidence, ...]:
        """Returns the counts of this host and of those that read through it.

        Covers only rollouts in progress.
        """
        rollouts = self.router.rollouts
        for evidence in rollouts.counted(self.run_name, self.clock()):
            self.evidence.merge(evidence)
        return tuple(
            evidence
            for progress in rollouts.progress.values()
            if not progress.phase.is_final
            for evidence in self.evidence.for_order(
                progress.order.service, progress.order.number
            )
        )

    def update_doubted_orders(
        self, told: tuple[int, ...] = ()
    ) -> tuple[int, ...]:
        """Marks failing rollouts as doubted.

        Whether a version is slow is decided on the counts of all hosts
        (``doubt_order``): those of a few hosts are of a few servers.

        Args:
            told: Order numbers that another host reported as doubted.

        Returns:
            Numbers of all orders whose target version is doubted.
        """
        rollouts = self.router.rollouts
        pooled = {
            number: evidence_lib.pool_evidence(each)
            for number, each in evidence_lib.group_by_order(
                self.collect_evidence()
            ).items()
        }
        found = [
            number
            for number, counts in pooled.items()
            if evidence_lib.is_bad(counts)
        ]
        for number in (*told, *found):
            self.doubt_order(
                number, pooled.get(number, {}), is_told=number in told
            )
        return rollouts.doubts()

    def doubt_order(
        self,
        number: int,
        counts: dict[str, evidence_lib.RouteEvidence],
        *,
        is_told: bool = False,
    ) -> None:
        """Marks a rollout as doubted, and informs peers of it.

        Args:
            number: Number of its order.
            counts: Counts that this host knows, by route name.
            is_told: Whether another host found the version bad.
        """
        doubted = self.router.rollouts.mark_doubted(number)
        if doubted is None:
            return
        self.has_urgent_changes.set()
        self.log_change(
            "rollout_doubted",
            service=doubted.order.service,
            target=doubted.order.target,
            number=number,
            told=is_told,
            counts=evidence_lib.format_counts(counts),
            findings=verdicts.format_findings(counts),
        )

    def unavailable_duration(self) -> float:
        """Returns the seconds for which requests with a key are not served.

        0 while they are served.
        """
        now = self.clock()
        if self.lease.is_valid(now):
            return 0.0
        return min(now - self.started_at, self.lease.expired_for(now))

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send callers here."""
        return (
            not self.draining
            and self.configuration is not None
            and {"servers", "phases"} <= self.topics_read
            and self.lease.is_valid(self.clock())
            and self._can_reach_servers()
        )

    def _can_reach_servers(self) -> bool:
        """Returns whether this host reaches servers, itself or through others.

        Callers are better off elsewhere if it does not. With another host's
        help it serves them as well as that host would.
        """
        fleet = self.router.fleet
        return fleet.links.lost_since is None or fleet.forwarders.has_any(
            self.clock()
        )
