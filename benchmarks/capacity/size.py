"""Computes what a host spends at the size given in docs/CAPACITY.md.

    python -m benchmarks.capacity.size
    python -m benchmarks.capacity.size 0.02 180   keyed fraction, shards

The slopes below are the measurements on that page, each with the command that
produces it; where a run gave a range, its upper end. This module measures
nothing itself.
"""

from __future__ import annotations

import sys

import attrs

from benchmarks.capacity import processes

HOST_COUNT = 360
SERVER_COUNT = 1000
REQUEST_RATE = 850.0  # A second.
TOKEN_RATE = 230_000.0  # A second.
EDITS_PER_DAY = 2200.0
KEYED_FRACTION = 0.1  # Of the requests; an assumption.
RATED_FRACTION = 0.05  # Of the requests; an assumption.
CORE_BUDGET = 2.0  # Percent.
BYTES_BUDGET = 11_000.0  # A second.
MEMORY_BUDGET = 256.0  # MB.

_SECONDS_PER_DAY = 86_400.0
_BASE64_OVERHEAD = 4 / 3
_PACKET_BYTES = 208.0  # TCP/IP headers of one call; an estimate.
_FOLLOWERS_PER_SHARD = 2  # Hosts that read a shard of the claims.

# Slopes: microseconds of processor time, and bytes in both directions.
IDLE_CORE = 2.10  # Percent, the maximum of 4 to 32 hosts (idle hosts).
IDLE_CALLS = 5.2  # HTTP calls a second without gossip (idle hosts).
IDLE_BYTES = 311.0  # A call, without rows of the host list (idle hosts).
GOSSIP_CALLS = 8.0  # A second, sent and received.
GOSSIP_BYTES = 2052.0  # Sent and received, at 32 hosts (idle hosts).
GOSSIP_CORE_GROWTH = 0.09  # Percent from 36 to 360 hosts (membership.py).
POLL_US = 1800.0  # On a separate connection (first idle servers).
POLL_BYTES = 405.0  # (idle servers)
LIST_ROW_BYTES = 116.0  # (idle hosts)
LIST_ROWS = 12.0  # Read a second at most (entry/host_list.py).
CLAIM_POLLS = 4.0  # A second at most (core/pacing.py).
CLAIM_POLL_US, CLAIM_POLL_BYTES = 1740.0, 310.0  # (followers claims)
CLAIM_US, CLAIM_BYTES = 24.0, 408.0  # Per record (followers claims).
# Servers probed before a long call when load reports are old (placement.py).
PROBES_PER_CALL = 3.0
LIMIT_US, LIMIT_BYTES = 1580.0, 722.0  # (followers limits)
RECORD_US = 820.0  # Of the steward and evidence streams (followers).
EDIT_MS = 17.0  # Fold and router at 1,000 servers (parts).
SNAPSHOT_BYTES = 230_600.0 * _BASE64_OVERHEAD  # At 1,000 servers (parts edit).
SNAPSHOT_SECONDS = 600.0
DECISION_BYTES = 2_000.0  # A second at most (core/requests/decision_batch).
RATING_BYTES = 146.0  # (followers ratings)
RATING_US = 23.0  # In pages, twice a second (followers ratings).
EVIDENCE_US = 35.5  # At 12 versions (routing.py).
BILL_BYTES = 275.0  # Alone in its batch (once.py bytes).
REQUEST_US, TOKEN_US = 4758.0, 110.4  # (serve tokens)
PLANS_CORE = 0.19  # Percent; 10 accounts, 85 ratings/s (routing.py).
STEWARD_CORE = 0.33  # Percent, mean of two (idle stewards).
STEWARD_BYTES = 930.0  # Without read-backs of engines (idle stewards).
STEWARD_CALLS = 2.7  # A second (idle stewards).
print_line = processes.print_line


@attrs.frozen
class CostItem:
    """Costs of one mechanism at a host.

    Attributes:
        name: Label in the report.
        core: Percent of a core.
        bytes_per_second: In both directions, packet headers included.
    """

    name: str
    core: float
    bytes_per_second: float


def core_percent(us: float, rate: float) -> float:
    """Returns the percentage of a core at ``rate`` operations a second."""
    return us * rate / 1e4


def call_bytes(payload: float, rate: float) -> float:
    """Returns the bytes a second of calls with the given payload."""
    return (payload + _PACKET_BYTES) * rate


def list_costs(
    keyed_rate: float, rated_rate: float, shards: int
) -> list[CostItem]:
    """Returns the costs of each mechanism at a host.

    Args:
        keyed_rate: Requests a second with idempotency keys, at all hosts.
        rated_rate: Ratings a second, at all hosts.
        shards: Number of streams that the claims are spread over.
    """
    followed_fraction = (
        1.0 if shards == 1 else _FOLLOWERS_PER_SHARD / HOST_COUNT
    )
    claim_rate = 2 * keyed_rate * followed_fraction
    claim_poll_rate = min(claim_rate, CLAIM_POLLS)
    probe_rate = PROBES_PER_CALL * REQUEST_RATE / HOST_COUNT
    poll_rate = min(6.0, 2 * REQUEST_RATE / HOST_COUNT) - 1.0
    bill_rate = REQUEST_RATE / HOST_COUNT
    return [
        CostItem(
            "all loops while idle",
            IDLE_CORE + GOSSIP_CORE_GROWTH,
            call_bytes(IDLE_BYTES, IDLE_CALLS)
            + GOSSIP_BYTES
            + GOSSIP_CALLS * _PACKET_BYTES,
        ),
        CostItem("host list", 0.0, LIST_ROWS * LIST_ROW_BYTES),
        CostItem(
            "load polls under load",
            core_percent(POLL_US, poll_rate),
            call_bytes(POLL_BYTES, poll_rate),
        ),
        CostItem(
            "probes, all calls long and all news old (worst)",
            core_percent(POLL_US, probe_rate),
            call_bytes(POLL_BYTES, probe_rate),
        ),
        CostItem(
            "edits and snapshots of the table",
            core_percent(EDIT_MS * 1e3, EDITS_PER_DAY / _SECONDS_PER_DAY),
            SNAPSHOT_BYTES / SNAPSHOT_SECONDS,
        ),
        CostItem("plans of cascades", PLANS_CORE, 0.0),
        CostItem(
            "the steward beside it",
            STEWARD_CORE,
            STEWARD_BYTES + STEWARD_CALLS * _PACKET_BYTES,
        ),
        CostItem(
            "steward's stream", core_percent(RECORD_US, 0.19), 0.19 * 900.0
        ),
        CostItem(
            f"claims, {shards} streams",
            core_percent(CLAIM_POLL_US, claim_poll_rate)
            + core_percent(CLAIM_US, claim_rate),
            call_bytes(CLAIM_POLL_BYTES, claim_poll_rate)
            + CLAIM_BYTES * claim_rate,
        ),
        CostItem(
            "ratings",
            core_percent(RATING_US + EVIDENCE_US, rated_rate),
            rated_rate * RATING_BYTES,
        ),
        CostItem(
            "limits, a report a host a minute (worst)",
            core_percent(LIMIT_US, HOST_COUNT / 60),
            call_bytes(LIMIT_BYTES, HOST_COUNT / 60),
        ),
        CostItem("decisions written", 0.0, DECISION_BYTES),
        CostItem(
            "bills, held, holding and appended", 0.0, 3 * bill_rate * BILL_BYTES
        ),
    ]


def main() -> None:
    """Prints the costs and their sums."""
    keyed_fraction = float(sys.argv[1]) if len(sys.argv) > 1 else KEYED_FRACTION
    shards = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    keyed_rate, rated_rate = (
        keyed_fraction * REQUEST_RATE,
        RATED_FRACTION * REQUEST_RATE,
    )
    costs = list_costs(keyed_rate, rated_rate, shards)
    print_line(f"control of a host, {keyed_rate:.0f} keyed requests/s in all:")
    for item in (
        *costs,
        CostItem(
            "together",
            sum(item.core for item in costs),
            sum(item.bytes_per_second for item in costs),
        ),
        CostItem("budget", CORE_BUDGET, BYTES_BUDGET),
    ):
        print_line(
            f"  {item.name:48} {item.core:6.2f}% of a core "
            f"{item.bytes_per_second / 1000:7.2f} KB/s"
        )
    cores = (REQUEST_RATE * REQUEST_US + TOKEN_RATE * TOKEN_US) / 1e6
    print_line(
        f"requests: {cores:.1f} cores in all, "
        f"{cores / HOST_COUNT * 100:.1f}% of a "
        f"core a host"
    )
    read_rate = HOST_COUNT * (IDLE_CALLS - 1.3 + STEWARD_CALLS)
    if shards > 1:
        read_rate += 2 * keyed_rate * _FOLLOWERS_PER_SHARD
    else:
        read_rate += HOST_COUNT * min(2 * keyed_rate, CLAIM_POLLS)
    print_line(
        f"log: {read_rate:.0f} reads/s, appends/s: bills 100, claims up to "
        f"{2 * keyed_rate:.0f}, decisions 20, "
        f"limits up to {HOST_COUNT / 60:.0f}, "
        f"steward 0.2, table {EDITS_PER_DAY / _SECONDS_PER_DAY:.2f}"
    )


if __name__ == "__main__":
    main()
