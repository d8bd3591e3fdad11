"""Prometheus metrics of the relay."""

from __future__ import annotations

import prometheus_client

_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0)


class RelayMetrics:
    """Metrics of one relay.

    Attributes:
        registry: Registry that holds all metrics.
        answers: Requests by reason and outcome.
        attempts: Attempts by the final state of their exchange.
        sends_despite_notice: Attempts sent to servers that had announced a rate
            limit, their departure or a back-off, by kind of notice.
        invalid_responses: Responses that were not valid HTTP, by fault.
        oversize_responses: Responses of which a part was too large, by part.
        state_changes: State changes on this host, by kind.
        task_failures: Unexpected errors of background tasks, by task.
        room_waits: Seconds for which requests waited for room, by service and
            result.
        durations: Seconds from a request to its final response.
        configuration_age: Seconds since the configuration was known current.
        speed_difference: How much the learned speeds of a service's servers
            differ, by service.
        store_era: Era of the store, as known to this host.
        unusable_eras: Store responses without a usable era, by kind.
        held_bytes: Bytes held for requests in progress, by purpose.
        accounts_above_share: Client accounts above their shares, by service.
        dropped_copies: Copies of topics from other hosts that were discarded
            as older than the local copy, by topic.
        reader_fraction: Fraction of a service's engines that read long prompts,
            by service.
        forwarded: Requests and questions that another host was asked to
            forward, and that this host forwarded for others, by result.
        links_lost: 1 while this host has lost its links to all servers.
        link_probes: Connections opened only to see whether a server can be
            reached, by result.
        memory_used: Largest fraction of an engine's memory that outstanding
            requests need, by service.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.answers = prometheus_client.Counter(
            "hoistmoor_relay_answers",
            "Requests by how they ended.",
            ["reason", "outcome"],
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            "hoistmoor_relay_attempts",
            "Attempts by the state in which they ended.",
            ["state"],
            registry=self.registry,
        )
        self.sends_despite_notice = prometheus_client.Counter(
            "hoistmoor_relay_sends_despite",
            "Attempts sent to servers that had named a limit, said that they"
            " leave, or asked for rest.",
            ["word"],
            registry=self.registry,
        )
        self.oversize_responses = prometheus_client.Counter(
            "hoistmoor_relay_oversize_responses",
            "Responses that ended because a part of them was too large.",
            ["place"],
            registry=self.registry,
        )
        self.invalid_responses = prometheus_client.Counter(
            "hoistmoor_relay_invalid_responses",
            "Responses that ended because they were not valid HTTP.",
            ["fault"],
            registry=self.registry,
        )
        self.state_changes = prometheus_client.Counter(
            "hoistmoor_relay_belief_changes",
            "Changes of what this host believes.",
            ["kind"],
            registry=self.registry,
        )
        self.task_failures = prometheus_client.Counter(
            "hoistmoor_relay_task_failures",
            "Unexpected errors of background tasks.",
            ["task"],
            registry=self.registry,
        )
        self.room_waits = prometheus_client.Histogram(
            "hoistmoor_relay_room_wait_seconds",
            "Seconds for which requests waited for room.",
            ["service", "result"],
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self.durations = prometheus_client.Histogram(
            "hoistmoor_relay_seconds",
            "Seconds from a request to its final answer.",
            ["route"],
            buckets=_BUCKETS,
            registry=self.registry,
        )

        self.configuration_age = prometheus_client.Gauge(
            "hoistmoor_relay_configuration_age_seconds",
            "Seconds since the configuration was known to be current.",
            registry=self.registry,
        )

        self.speed_difference = prometheus_client.Gauge(
            "hoistmoor_relay_speed_difference",
            "Standard deviation of the logarithms of servers' learned speeds; 0"
            " while they may be equal.",
            ["service"],
            registry=self.registry,
        )
        self.store_era = prometheus_client.Gauge(
            "hoistmoor_relay_store_era",
            "Number of the store's history; rises when it lost writes.",
            registry=self.registry,
        )
        self.unusable_eras = prometheus_client.Counter(
            "hoistmoor_relay_unusable_eras",
            "Answers of the store whose era says nothing.",
            ["kind"],
            registry=self.registry,
        )
        self.held_bytes = prometheus_client.Gauge(
            "hoistmoor_relay_held_bytes",
            "Bytes held for requests in progress.",
            ["purpose"],
            registry=self.registry,
        )
        self.dropped_copies = prometheus_client.Counter(
            "hoistmoor_relay_dropped_copies",
            "Copies of other hosts that were older than what is known here.",
            ["topic"],
            registry=self.registry,
        )
        self.accounts_above_share = prometheus_client.Gauge(
            "hoistmoor_relay_accounts_above_share",
            "Client accounts above their shares while room is short.",
            ["service"],
            registry=self.registry,
        )
        self.reader_fraction = prometheus_client.Gauge(
            "hoistmoor_relay_long_prompt_engines",
            "Fraction of the engines that read long prompts; 0 for any engine.",
            ["service"],
            registry=self.registry,
        )
        self.memory_used = prometheus_client.Gauge(
            "hoistmoor_relay_engine_memory_used",
            "Largest fraction of an engine's memory that requests need.",
            ["service"],
            registry=self.registry,
        )

        self.forwarded = prometheus_client.Counter(
            "hoistmoor_relay_forwarded",
            "Requests that other hosts forward for this one, or it for them.",
            ["side", "result"],
            registry=self.registry,
        )
        self.links_lost = prometheus_client.Gauge(
            "hoistmoor_relay_links_lost",
            "1 while this host reaches no server itself.",
            registry=self.registry,
        )
        self.quarantined_parts = prometheus_client.Gauge(
            "hoistmoor_relay_quarantined_parts",
            "Prompt parts whose requests are refused, as servers crash on"
            " them.",
            registry=self.registry,
        )
        self.link_probes = prometheus_client.Counter(
            "hoistmoor_relay_link_probes",
            "Connections that only show whether a server can be reached.",
            ["result"],
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
