"""Measures what following a stream of the log costs an idle entry host.

    python -m benchmarks.capacity.followers          all streams
    python -m benchmarks.capacity.followers claims   one stream

Streams: ``claims``, ``evidence``, ``limits``, ``ratings``. Records come from
this process at several rates, as many other hosts would append them, and two
real entries read them behind a forwarder that counts bytes. Figures are for
one host; ``together`` is the difference to no records, per record.
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
SPELL = 6.0  # Seconds.
_SETTLE = 5.0  # Seconds.
_BODY = b'{"confirmed": true, "receipt": "TX-0123456789"}'
say = processes.say


@attrs.frozen
class Source:
    """Where records come from.

    Attributes:
        kind: Class of the traffic at the meter.
        make: Makes the record of a number and puts it there.
    """

    kind: str
    make: Callable[[deployment_lib.Deployment, int], Awaitable[None]]


async def add_claim(made: deployment_lib.Deployment, number: int) -> None:
    """Appends a claim, then its end, as a host with few requests does."""
    serial = number // 2 + 1
    host = f"far-{serial % 360}"
    key = claim_records.key_digest("account-0", f"{time.time()}-{serial}")
    claims: tuple[claim_records.Claim, ...] = ()
    ends: tuple[claim_records.Ended, ...] = ()
    if number % 2:
        answer = permits.StoredAnswer(
            200, "application/json", _BODY, f"{host}.1.{serial:x}"
        )
        ends = (
            claim_records.Ended(key, serial, outcomes.Outcome.DONE, answer),
        )
    else:
        claims = (claim_records.Claim(key, serial, "f" * 32),)
    batch = claim_records.ClaimBatch(host, 7, "10.0.0.1:8080", ends, claims)
    await made.client.append(streams.CLAIMS, codec.encode(batch))


async def add_exposure(made: deployment_lib.Deployment, number: int) -> None:
    """Appends a claim on a candidate's cap."""
    claim = routing.ExposureClaim(
        f"far-{number % 360}.18f/{time.time()}",
        "bench-model@1",
        "0123456789abcdef",
        f"far-{number % 360}.18f",
        3,
        10**9,
    )
    await made.client.append(streams.EVIDENCE, codec.encode(claim))


async def add_demand(made: deployment_lib.Deployment, number: int) -> None:
    """Appends a host's report of its demand for five accounts."""
    weights = tuple(
        limit_records.DemandWeight(f"account-{n}", 2.0) for n in range(5)
    )
    report = limit_records.DemandReport(f"far-{number % 360}", 7, weights)
    await made.client.append(limit_records.STREAM, codec.encode(report))


async def add_rating(made: deployment_lib.Deployment, number: int) -> None:
    """Hands in an answer that is rated at once."""
    client = ratings_client.RatingsClient(
        made.session, f"http://{made.platform.address}"
    )
    answer = ratings_client.ModelResponse(
        f"far-{number % 360}.18c1f2a3b4c.{number:x}-{time.time()}",
        "bench-model",
        "1",
        "answer",
        quality_marks.make_mark(True, str(number)),
    )
    await client.submit(answer)


SOURCES = {
    "claims": Source(f"log {streams.CLAIMS}", add_claim),
    "evidence": Source(f"log {streams.EVIDENCE}", add_exposure),
    "limits": Source(f"log {limit_records.STREAM}", add_demand),
    "ratings": Source("/ratings", add_rating),
}


async def feed(
    made: deployment_lib.Deployment, source: Source, rate: int, first: int
) -> int:
    """Makes records for a spell, evenly; returns how many."""
    count = round(rate * SPELL)
    began = time.perf_counter()
    tasks = []
    for number in range(count):
        due = began + number / rate - time.perf_counter()
        await asyncio.sleep(max(due, 0))
        tasks.append(asyncio.ensure_future(source.make(made, first + number)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(max(began + SPELL - time.perf_counter(), 0))
    return count


async def follow(name: str) -> None:
    """Prints what one stream costs, by its rate."""
    source = SOURCES[name]
    words = ("--rating-share", "1", "--rating-delay", "0.1")
    async with deployment_lib.deployed(2, platform_words=words) as made:
        await asyncio.sleep(_SETTLE)
        base = 0.0
        first = 0
        for rate in RATES:
            made.reset_meters()
            cores, count = [], 0
            for _ in range(ROUNDS):
                before = [entry.use().seconds for entry in made.entries]
                count += await feed(made, source, rate, first + count)
                used = [
                    entry.use().seconds - start
                    for entry, start in zip(made.entries, before, strict=True)
                ]
                cores.append(statistics.mean(used) / SPELL)
            first += count
            seconds = ROUNDS * SPELL * len(made.entries)
            traffic = made.traffic()[source.kind]
            total = (traffic.sent + traffic.received) / seconds
            if not rate:
                base, idle = total, statistics.mean(cores)
            line = (
                f"{name}: {rate}/s: "
                f"{deployment_lib.spread([c * 100 for c in cores])}% of a core,"
                f" {traffic.requests / seconds:.1f} reads/s,"
                f" {total / 1000:.2f} KB/s"
            )
            if rate:
                each = [(c - idle) / rate * 1e6 for c in cores]
                line += (
                    f"; together {deployment_lib.spread(each)} us and "
                    f"{(total - base) / rate:.0f} bytes a record"
                )
            say(line)


def main() -> None:
    """Follows the named streams, or all."""
    for name in sys.argv[1:] or SOURCES:
        uvloop.run(follow(name))


if __name__ == "__main__":
    main()
