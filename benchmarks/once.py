"""Measures claims, tickets and bills: time, memory, bytes and appends.

    python benchmarks/once.py             all parts
    python benchmarks/once.py latency     one part

Parts: fold, memory, bytes, appends, latency. All but the last use an in-memory
log; the last runs the log stand-in inside this process, over TCP on loopback.
"""

from __future__ import annotations

import asyncio
import gc
import random
import resource
import statistics
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import uvloop

from hoistmoor.clients import log as log_client
from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import streams
from hoistmoor.core.billing import bills
from hoistmoor.core.once import permits
from hoistmoor.core.once import records
from hoistmoor.core.once import view as view_lib
from hoistmoor.entry import bill_holders
from hoistmoor.entry import biller as biller_lib
from hoistmoor.entry import once as once_lib
from hoistmoor.standins import fault_registry
from hoistmoor.standins import log as log_standin

if TYPE_CHECKING:
    from collections.abc import Callable

_FINGERPRINT = "0123456789abcdef0123456789abcdef"
_BODY = b'{"confirmed": true, "receipt": "TX-0123456789"}'
_KEY_COUNTS = (10_000, 20_000, 40_000, 80_000)


def _print_line(text: str) -> None:
    sys.stdout.write(f"{text}\n")


def _make_stored_response(request_id: str) -> permits.StoredAnswer:
    return permits.StoredAnswer(200, "application/json", _BODY, request_id)


def _claim_batches(keys: int) -> list[records.ClaimBatch]:
    """Returns a batch with a claim and a batch with its end for each key."""
    batches = []
    for serial in range(1, keys + 1):
        key = records.key_digest("shop", f"order-{serial}")
        host = f"entry-{serial % 9}"
        claim = records.Claim(key, serial, _FINGERPRINT)
        ended = records.Ended(
            key,
            serial,
            outcomes.Outcome.DONE,
            _make_stored_response(f"{host}.1.{serial:x}"),
        )
        for ends, claims in (((), (claim,)), ((ended,), ())):
            batches.append(
                records.ClaimBatch(host, 7, "10.0.0.1:8080", ends, claims)
            )
    return batches


def measure_fold() -> None:
    """Measures the time to fold and to decode a claim and its end."""
    for keys in _KEY_COUNTS:
        batches = _claim_batches(keys)
        payloads = [codec.encode(batch) for batch in batches]
        view = view_lib.KeyView()
        began = time.perf_counter()
        for offset, batch in enumerate(batches):
            view.apply(offset, 0.0, batch)
        fold_seconds = time.perf_counter() - began
        began = time.perf_counter()
        for payload in payloads:
            codec.decode(payload)
        decode_seconds = time.perf_counter() - began
        _print_line(
            f"fold: {keys} keys: "
            f"{fold_seconds / keys * 1e6:.2f} us a key to fold, "
            f"{decode_seconds / keys * 1e6:.2f} us to decode"
        )


def measure_memory() -> None:
    """Measures the memory of a completed key in the view."""
    for keys in _KEY_COUNTS:
        payloads = [codec.encode(batch) for batch in _claim_batches(keys)]
        gc.collect()
        tracemalloc.start()
        view = view_lib.KeyView()
        for offset, payload in enumerate(payloads):
            view.apply(offset, 0.0, codec.decode(payload))
        allocated, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        _print_line(f"memory: {keys} keys: {allocated / keys:.0f} bytes a key")


def measure_sizes() -> None:
    """Measures the encoded size of claims, ends and bills."""
    for count in (1, 10, 100):
        batches = _claim_batches(count)
        claims = tuple(claim for b in batches for claim in b.claims)
        ends = tuple(ended for b in batches for ended in b.ended)
        for name, batch in (
            ("claims", records.ClaimBatch("entry-1", 7, "a:1", (), claims)),
            ("ends", records.ClaimBatch("entry-1", 7, "a:1", ends, ())),
        ):
            size = len(codec.encode(batch))
            _print_line(f"bytes: {count} {name}: {size / count:.0f} bytes each")
        batch = bills.BillBatch(
            "entry-1", 7, "e", tuple(_make_bill(n) for n in range(count))
        )
        size = len(codec.encode(batch))
        _print_line(f"bytes: {count} bills: {size / count:.0f} bytes each")


def _make_bill(serial: int, host: str = "entry-1") -> bills.Bill:
    request_id = f"{host}.18c1f2a3b4c.{serial:x}"
    return bills.Bill(
        "shop", request_id, "moor-large@2", 812, 230, 4521, 1, time.time(), 17
    )


class InMemoryLog:
    """An in-memory log with a short delay for appends."""

    def __init__(self, delay: float = 0.002) -> None:
        self.delay = delay
        self.records: dict[str, list[log_client.LogRecord]] = {}
        self.appended: dict[str, asyncio.Event] = {}

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset."""
        await asyncio.sleep(self.delay)
        stored = self.records.setdefault(stream, [])
        record = log_client.LogRecord(len(stored), time.time(), payload)
        stored.append(record)
        self.appended.pop(stream, asyncio.Event()).set()
        return record.offset

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Returns records from ``start`` on; waits for the first if asked."""
        stored = self.records.setdefault(stream, [])
        if start >= len(stored) and wait:
            event = self.appended.setdefault(stream, asyncio.Event())
            await event.wait()
        page = tuple(stored[start : start + limit])
        return log_client.LogPage(0, start + len(page), page)

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns the bounds of a stream."""
        return log_client.LogBounds(0, len(self.records.get(stream, ())))


class _InstantHolders:
    """Peers that hold bills without delay."""

    def __init__(self, hosts: int) -> None:
        self.hosts = hosts

    def host_count(self) -> int:
        return self.hosts

    def holders(self) -> tuple[bill_holders.Holder, ...]:
        return (bill_holders.Holder(identity.Incarnation("peer", 1), self),)

    def is_alive(self, incarnation: identity.Incarnation) -> bool:
        return bool(incarnation)

    async def hold_bills(self, batch_id: str, batch: bytes) -> None:
        """Accepts the batch without storing it."""

    async def release_bills(self, batch_ids: tuple[str, ...]) -> None:
        """Accepts the release."""


async def _run_open_loop(
    seconds: float, rate: float, serve: Callable[[int], object]
) -> int:
    """Calls ``serve`` with open-loop arrivals; returns how many."""
    random.seed(1)
    tasks = []
    began = time.perf_counter()
    due, serial = 0.0, 0
    while due < seconds:
        due += random.expovariate(rate)
        await asyncio.sleep(max(began + due - time.perf_counter(), 0))
        serial += 1
        tasks.append(asyncio.ensure_future(serve(serial)))  # type: ignore
    await asyncio.gather(*tasks)
    return serial


async def _measure_appends(
    hosts: int, rate: float, seconds: float, shards: int = 1
) -> None:
    log = InMemoryLog()
    guards, billers = [], []
    addresses = {f"entry-{number}": str(number) for number in range(hosts)}
    for number in range(hosts):
        incarnation = identity.Incarnation(f"entry-{number}", 7)
        guards.append(
            once_lib.AtMostOnceGuard(
                log,
                incarnation,
                str(number),
                [b"s"],
                lambda _: True,
                shard_count=shards,
                live_hosts=lambda: addresses,
            )
        )
        billers.append(
            biller_lib.Biller(log, incarnation, _InstantHolders(hosts))
        )
        guards[-1].start()
        billers[-1].start()

    async def serve(serial: int) -> None:
        number = serial % hosts
        guard = guards[number]
        permit = await _begin(guard, serial)
        if isinstance(permit, permits.ForwardTo):
            guard = guards[int(permit.address)]
            permit = await _begin(guard, serial, forwarded=True)
        assert isinstance(permit, permits.Permit), permit
        await guard.finish(
            permit, outcomes.Outcome.DONE, _make_stored_response("r")
        )
        await billers[number].secure(_make_bill(serial, f"entry-{number}"))

    cpu_seconds = time.process_time()
    served = await _run_open_loop(seconds, rate, serve)
    cpu_seconds = time.process_time() - cpu_seconds
    for component in (*guards, *billers):
        await component.drain(10)
    for component in (*guards, *billers):
        await component.stop()
    claims = sum(
        len(stored)
        for stream, stored in log.records.items()
        if stream.startswith(streams.CLAIMS)
    )
    bill_appends = len(log.records[streams.BILLS])
    _print_line(
        f"appends: {hosts} hosts, {shards} shards, "
        f"{served / seconds:.0f} keyed requests/s: "
        f"{claims / seconds:.0f} appends/s of claims, "
        f"{bill_appends / seconds:.0f} of bills; "
        f"{claims / served:.2f} and {bill_appends / served:.2f} a "
        f"request; {cpu_seconds / served * 1e6:.0f} us of processor time "
        "a request, "
        "all hosts and the log together"
    )


async def _begin(
    guard: once_lib.AtMostOnceGuard, serial: int, forwarded: bool = False
) -> permits.BeginResult:
    return await guard.begin(
        "shop",
        f"k{serial}",
        "f",
        f"r{serial}",
        time.time() + 30,
        forwarded=forwarded,
    )


def measure_appends() -> None:
    """Measures appends by rate, number of hosts and number of shards."""
    for hosts, rate in (
        (1, 50),
        (1, 200),
        (1, 800),
        (9, 50),
        (9, 200),
        (36, 100),
    ):
        uvloop.run(_measure_appends(hosts, float(rate), 4.0))
    for shards in (1, 2, 4, 8):
        uvloop.run(_measure_appends(36, 200.0, 4.0, shards))


async def _measure_latency() -> None:
    application = web.Application()
    log_standin.LogStandin(fault_registry.FaultRegistry()).add_routes(
        application
    )
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        log = log_client.LogClient(session, f"http://127.0.0.1:{port}")
        guard = once_lib.AtMostOnceGuard(
            log,
            identity.Incarnation("entry-1", 7),
            "a:1",
            [b"s"],
            lambda _: True,
        )
        guard.start()
        samples: dict[str, list[float]] = {
            "none": [],
            "ticket": [],
            "claim": [],
        }
        for serial in range(600):
            for kind, times in samples.items():
                key = _make_key(guard, kind, serial)
                began = time.perf_counter()
                permit = await guard.begin(
                    "shop", key, "f", f"r{serial}", time.time() + 30
                )
                assert isinstance(permit, permits.Permit), permit
                await guard.finish(
                    permit, outcomes.Outcome.DONE, _make_stored_response("r")
                )
                times.append((time.perf_counter() - began) * 1000)
        await guard.drain(10)
        await guard.stop()
    await runner.cleanup()
    for kind, times in samples.items():
        percentiles = statistics.quantiles(times, n=100)
        _print_line(
            f"latency: {kind}: median {percentiles[49]:.3f} ms, "
            f"99th {percentiles[98]:.3f} ms"
        )


def _make_key(
    guard: once_lib.AtMostOnceGuard, kind: str, serial: int
) -> str | None:
    if kind == "ticket":
        return guard.issue_ticket("shop")
    return f"k{serial}" if kind == "claim" else None


def measure_latency() -> None:
    """Measures ``begin`` and ``finish`` against the log stand-in."""
    uvloop.run(_measure_latency())


_PARTS = {
    "fold": measure_fold,
    "memory": measure_memory,
    "bytes": measure_sizes,
    "appends": measure_appends,
    "latency": measure_latency,
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    for name in sys.argv[1:] or _PARTS:
        _PARTS[name]()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    _print_line(f"peak memory {peak // 1024} MB")


if __name__ == "__main__":
    main()
