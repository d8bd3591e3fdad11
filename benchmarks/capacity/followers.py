"""Measures what following a stream of the log costs an idle entry host.

    python -m benchmarks.capacity.followers          all streams
    python -m benchmarks.capacity.followers claims   one stream

Streams: ``claims``, ``evidence``, ``limits``, ``ratings``. This process appends
records at several rates, as many other hosts would, and two real entry hosts
read them through a forwarder that counts bytes. Figures are for one host;
``together`` is the cost per record above that of an idle stream.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import statistics
import sys
import time

import attrs
import uvloop

from benchmarks.capacity import deployment as deployment_lib
from benchmarks.capacity import processes
from hoistmoor.clients import ratings as ratings_client
from hoistmoor.core import codec
from hoistmoor.core import outcomes
from hoistmoor.core import streams
from hoistmoor.core.limits import records as limit_records
from hoistmoor.core.once import permits
from hoistmoor.core.once import records as claim_records
from hoistmoor.core.routing import messages as routing
from hoistmoor.standins import quality_marks

RATES = (0, 5, 20, 80, 160)  # Records a second.
ROUNDS = 3
ROUND_SECONDS = 6.0
_SETTLE_SECONDS = 5.0
_BODY = b'{"confirmed": true, "receipt": "TX-0123456789"}'
print_line = processes.print_line


@attrs.frozen
class RecordSource:
    """Appends records to one stream.

    Attributes:
        traffic_class: Class of the traffic at the meter.
        append: Appends the record with the given number.
    """

    traffic_class: str
    append: Callable[[deployment_lib.Deployment, int], Awaitable[None]]


async def add_claim(deployment: deployment_lib.Deployment, number: int) -> None:
    """Appends a claim or its end, as a host with few requests does."""
    serial = number // 2 + 1
    host = f"far-{serial % 360}"
    key = claim_records.key_digest("account-0", f"{time.time()}-{serial}")
    claims: tuple[claim_records.Claim, ...] = ()
    ends: tuple[claim_records.Ended, ...] = ()
    if number % 2:
        response = permits.StoredAnswer(
            200, "application/json", _BODY, f"{host}.1.{serial:x}"
        )
        ends = (
            claim_records.Ended(key, serial, outcomes.Outcome.DONE, response),
        )
    else:
        claims = (claim_records.Claim(key, serial, "f" * 32),)
    batch = claim_records.ClaimBatch(host, 7, "10.0.0.1:8080", ends, claims)
    await deployment.client.append(streams.CLAIMS, codec.encode(batch))


async def add_exposure(
    deployment: deployment_lib.Deployment, number: int
) -> None:
    """Appends an exposure claim on a candidate version."""
    claim = routing.ExposureClaim(
        f"far-{number % 360}.18f/{time.time()}",
        "bench-model@1",
        "0123456789abcdef",
        f"far-{number % 360}.18f",
        3,
        10**9,
    )
    await deployment.client.append(streams.EVIDENCE, codec.encode(claim))


async def add_demand(
    deployment: deployment_lib.Deployment, number: int
) -> None:
    """Appends a host's report of its demand for five accounts."""
    weights = tuple(
        limit_records.DemandWeight(f"account-{n}", 2.0) for n in range(5)
    )
    report = limit_records.DemandReport(f"far-{number % 360}", 7, weights)
    await deployment.client.append(limit_records.STREAM, codec.encode(report))


async def add_rating(
    deployment: deployment_lib.Deployment, number: int
) -> None:
    """Submits a response that the rating service rates at once."""
    client = ratings_client.RatingsClient(
        deployment.session, f"http://{deployment.platform.address}"
    )
    response = ratings_client.ModelResponse(
        f"far-{number % 360}.18c1f2a3b4c.{number:x}-{time.time()}",
        "bench-model",
        "1",
        "answer",
        quality_marks.make_mark(True, str(number)),
    )
    await client.submit(response)


SOURCES = {
    "claims": RecordSource(f"log {streams.CLAIMS}", add_claim),
    "evidence": RecordSource(f"log {streams.EVIDENCE}", add_exposure),
    "limits": RecordSource(f"log {limit_records.STREAM}", add_demand),
    "ratings": RecordSource("/ratings", add_rating),
}


async def append_records(
    deployment: deployment_lib.Deployment,
    source: RecordSource,
    rate: int,
    first_number: int,
) -> int:
    """Appends records at a constant rate for a round; returns how many."""
    count = round(rate * ROUND_SECONDS)
    began = time.perf_counter()
    tasks = []
    for number in range(count):
        delay = began + number / rate - time.perf_counter()
        await asyncio.sleep(max(delay, 0))
        tasks.append(
            asyncio.ensure_future(
                source.append(deployment, first_number + number)
            )
        )
    await asyncio.gather(*tasks)
    await asyncio.sleep(max(began + ROUND_SECONDS - time.perf_counter(), 0))
    return count


async def follow(name: str) -> None:
    """Prints the costs of following one stream, by its rate."""
    source = SOURCES[name]
    platform_words = ("--rating-share", "1", "--rating-delay", "0.1")
    async with deployment_lib.run_deployment(
        2, platform_words=platform_words
    ) as deployment:
        await asyncio.sleep(_SETTLE_SECONDS)
        idle_bytes = 0.0
        first_number = 0
        for rate in RATES:
            deployment.reset_meters()
            core_parts, count = [], 0
            for _ in range(ROUNDS):
                cpu_before = [
                    entry.usage().seconds for entry in deployment.entries
                ]
                count += await append_records(
                    deployment, source, rate, first_number + count
                )
                cpu_seconds = [
                    entry.usage().seconds - start
                    for entry, start in zip(
                        deployment.entries, cpu_before, strict=True
                    )
                ]
                core_parts.append(statistics.mean(cpu_seconds) / ROUND_SECONDS)
            first_number += count
            seconds = ROUNDS * ROUND_SECONDS * len(deployment.entries)
            traffic = deployment.traffic()[source.traffic_class]
            bytes_per_second = (traffic.sent + traffic.received) / seconds
            if not rate:
                idle_bytes, idle_core_fraction = (
                    bytes_per_second,
                    statistics.mean(core_parts),
                )
            line = (
                f"{name}: {rate}/s: "
                f"{deployment_lib.format_range([c * 100 for c in core_parts])}%"
                " of a core,"
                f" {traffic.requests / seconds:.1f} reads/s,"
                f" {bytes_per_second / 1000:.2f} KB/s"
            )
            if rate:
                micros_per_record = [
                    (c - idle_core_fraction) / rate * 1e6 for c in core_parts
                ]
                line += (
                    "; together "
                    f"{deployment_lib.format_range(micros_per_record)} us"
                    f" and {(bytes_per_second - idle_bytes) / rate:.0f}"
                    " bytes a record"
                )
            print_line(line)


def main() -> None:
    """Measures the streams named on the command line, or all."""
    for name in sys.argv[1:] or SOURCES:
        uvloop.run(follow(name))


if __name__ == "__main__":
    main()
