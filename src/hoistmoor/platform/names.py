"""HTTP header names of the platform."""

from __future__ import annotations

from hoistmoor.relay.front import header_names

# 421 Misdirected Request: the address now belongs to another server than the
# one that the request names.
NOT_RUN_STATUSES = frozenset({421})

HEADERS = header_names.HeaderNames(
    request_id="Hoistmoor-Request-Id",
    deadline_ms="Hoistmoor-Deadline-Ms",
    key_scheme="Token",
    account="Hoistmoor-Tenant",
    expected_server="Hoistmoor-Expected-Instance",
    signature="Hoistmoor-Response-Signature",
    not_run="Hoistmoor-Not-Executed",
    load="Hoistmoor-Instance-Load",
    limit="Server-Limit",
    leaving="Server-Leaving",
    brittle="Server-Brittle",
    model="Hoistmoor-Model",
    tokens="Hoistmoor-Token-Usage",
    prefix="Hoistmoor-Prefix-Hash",
    confidence="Hoistmoor-Confidence",
    urgency="Hoistmoor-Request-Urgency",
    session="Session",
    last_event="Last-Event-Id",
    report_prefixes=("hoistmoor-", "server-"),
    # The id in a response is verified separately, and weight versions are read
    # from the store.
    ignored=frozenset({"hoistmoor-instance-id", "hoistmoor-weight-versions"}),
    # Engine directives; values set by callers must not reach an engine.
    stripped=frozenset(
        {
            "hoistmoor-retention",
            "hoistmoor-pin-ms",
            "hoistmoor-kv-replica",
            "hoistmoor-expected-version",
            "kv-from",
            "kv-fetch",
        }
    ),
)
