"""Measures claims, tickets and bills: time, memory, bytes and appends.

    python benchmarks/once.py             all parts
    python benchmarks/once.py latency     one part

Parts: fold, memory, bytes, appends, latency. All but the last run on a log in
memory; the last starts the log stand-in inside this process, over TCP on
loopback.
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
_SIZES = (10_000, 20_000, 40_000, 80_000)


def _print(text: str) -> None:
    sys.stdout.write(f"{text}\n")


def _answer(request_id: str) -> permits.StoredAnswer:
    return permits.StoredAnswer(200, "application/json", _BODY, request_id)


def _claim_batches(keys: int) -> list[records.ClaimBatch]:
    """Returns a claim and an end, one a batch, for each key."""
    made = []
    for serial in range(1, keys + 1):
        key = records.key_digest("shop", f"order-{serial}")
        host = f"entry-{serial % 9}"
        claim = records.Claim(key, serial, _FINGERPRINT)
        ended = records.Ended(
            key, serial, outcomes.Outcome.DONE, _answer(f"{host}.1.{serial:x}")
        )
        for ends, claims in (((), (claim,)), ((ended,), ())):
            made.append(
                records.ClaimBatch(host, 7, "10.0.0.1:8080", ends, claims)
            )
    return made


def fold() -> None:
    """Time to fold a claim and its end, decoding included and not."""
    for keys in _SIZES:
        batches = _claim_batches(keys)
        payloads = [codec.encode(batch) for batch in batches]
        view = view_lib.KeyView()
        began = time.perf_counter()
        for offset, batch in enumerate(batches):
            view.apply(offset, 0.0, batch)
        folded = time.perf_counter() - began
        began = time.perf_counter()
        for payload in payloads:
            codec.decode(payload)
        decoded = time.perf_counter() - began
        _print(
            f"fold: {keys} keys: {folded / keys * 1e6:.2f} us a key to fold, "
            f"{decoded / keys * 1e6:.2f} us to decode"
        )


def memory() -> None:
    """Memory of a key that is done, in the view."""
    for keys in _SIZES:
        payloads = [codec.encode(batch) for batch in _claim_batches(keys)]
        gc.collect()
        tracemalloc.start()
        view = view_lib.KeyView()
        for offset, payload in enumerate(payloads):
            view.apply(offset, 0.0, codec.decode(payload))
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        _print(f"memory: {keys} keys: {used / keys:.0f} bytes a key")


def sizes() -> None:
    """Bytes on the log."""
    for count in (1, 10, 100):
        batches = _claim_batches(count)
        claims = tuple(claim for b in batches for claim in b.claims)
        ends = tuple(ended for b in batches for ended in b.ended)
        for name, batch in (
            ("claims", records.ClaimBatch("entry-1", 7, "a:1", (), claims)),
            ("ends", records.ClaimBatch("entry-1", 7, "a:1", ends, ())),
        ):
            size = len(codec.encode(batch))
            _print(f"bytes: {count} {name}: {size / count:.0f} bytes each")
        batch = bills.BillBatch(
            "entry-1", 7, "e", tuple(_bill(n) for n in range(count))
        )
        size = len(codec.encode(batch))
        _print(f"bytes: {count} bills: {size / count:.0f} bytes each")


def _bill(serial: int, host: str = "entry-1") -> bills.Bill:
    request_id = f"{host}.18c1f2a3b4c.{serial:x}"
    return bills.Bill(
        "shop", request_id, "moor-large@2", 812, 230, 4521, 1, time.time(), 17
    )


class MemoryLog:
    """A log in memory with a short delay, which counts appends."""

    def __init__(self, delay: float = 0.002) -> None:
        self.delay = delay
        self.records: dict[str, list[log_client.LogRecord]] = {}
        self.grown: dict[str, asyncio.Event] = {}

    async def append(self, stream: str, payload: bytes) -> int:
        """Stores a record."""
        await asyncio.sleep(self.delay)
        stored = self.records.setdefault(stream, [])
        record = log_client.LogRecord(len(stored), time.time(), payload)
        stored.append(record)
        self.grown.pop(stream, asyncio.Event()).set()
        return record.offset

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Returns records; waits for one."""
        stored = self.records.setdefault(stream, [])
        if start >= len(stored) and wait:
            event = self.grown.setdefault(stream, asyncio.Event())
            await event.wait()
        page = tuple(stored[start : start + limit])
        return log_client.LogPage(0, start + len(page), page)

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns the bounds of a stream."""
        return log_client.LogBounds(0, len(self.records.get(stream, ())))


class _AllHold:
    """Peers that hold everything at once."""

    def __init__(self, hosts: int) -> None:
        self.hosts = hosts

    def host_count(self) -> int:
        return self.hosts

    def holders(self) -> tuple[bill_holders.Holder, ...]:
        return (bill_holders.Holder(identity.Incarnation("peer", 1), self),)

    def is_alive(self, incarnation: identity.Incarnation) -> bool:
        return bool(incarnation)

    async def hold_bills(self, batch_id: str, batch: bytes) -> None:
        """Does as if it kept them."""

    async def release_bills(self, batch_ids: tuple[str, ...]) -> None:
        """Does as if it dropped them."""


async def _load(
    seconds: float, rate: float, serve: Callable[[int], object]
) -> int:
    """Starts ``serve`` with open-loop arrivals; returns how many."""
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


async def _appends(
    hosts: int, rate: float, seconds: float, shards: int = 1
) -> None:
    log = MemoryLog()
    onces, billers = [], []
    addresses = {f"entry-{number}": str(number) for number in range(hosts)}
    for number in range(hosts):
        incarnation = identity.Incarnation(f"entry-{number}", 7)
        onces.append(
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
        billers.append(biller_lib.Biller(log, incarnation, _AllHold(hosts)))
        onces[-1].start()
        billers[-1].start()

    async def serve(serial: int) -> None:
        number = serial % hosts
        once = onces[number]
        permit = await _begin(once, serial)
        if isinstance(permit, permits.ForwardTo):
            once = onces[int(permit.address)]
            permit = await _begin(once, serial, forwarded=True)
        assert isinstance(permit, permits.Permit), permit
        await once.finish(permit, outcomes.Outcome.DONE, _answer("r"))
        await billers[number].secure(_bill(serial, f"entry-{number}"))

    cpu = time.process_time()
    served = await _load(seconds, rate, serve)
    cpu = time.process_time() - cpu
    for each in (*onces, *billers):
        await each.drain(10)
    for each in (*onces, *billers):
        await each.stop()
    claims = sum(
        len(kept)
        for stream, kept in log.records.items()
        if stream.startswith(streams.CLAIMS)
    )
    written = len(log.records[streams.BILLS])
    _print(
        f"appends: {hosts} hosts, {shards} shards, "
        f"{served / seconds:.0f} keyed requests/s: "
        f"{claims / seconds:.0f} appends/s of claims, "
        f"{written / seconds:.0f} of bills; "
        f"{claims / served:.2f} and {written / served:.2f} a "
        f"request; {cpu / served * 1e6:.0f} us of processor time a request, "
        "all hosts and the log together"
    )


async def _begin(
    once: once_lib.AtMostOnceGuard, serial: int, forwarded: bool = False
) -> permits.BeginResult:
    return await once.begin(
        "shop",
        f"k{serial}",
        "f",
        f"r{serial}",
        time.time() + 30,
        forwarded=forwarded,
    )


def appends() -> None:
    """Appends as requests and hosts grow."""
    for hosts, rate in (
        (1, 50),
        (1, 200),
        (1, 800),
        (9, 50),
        (9, 200),
        (36, 100),
    ):
        uvloop.run(_appends(hosts, float(rate), 4.0))
    for shards in (1, 2, 4, 8):
        uvloop.run(_appends(36, 200.0, 4.0, shards))


async def _latency() -> None:
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
        once = once_lib.AtMostOnceGuard(
            log,
            identity.Incarnation("entry-1", 7),
            "a:1",
            [b"s"],
            lambda _: True,
        )
        once.start()
        samples: dict[str, list[float]] = {
            "none": [],
            "ticket": [],
            "claim": [],
        }
        for serial in range(600):
            for kind, times in samples.items():
                key = _key(once, kind, serial)
                began = time.perf_counter()
                permit = await once.begin(
                    "shop", key, "f", f"r{serial}", time.time() + 30
                )
                assert isinstance(permit, permits.Permit), permit
                await once.finish(permit, outcomes.Outcome.DONE, _answer("r"))
                times.append((time.perf_counter() - began) * 1000)
        await once.drain(10)
        await once.stop()
    await runner.cleanup()
    for kind, times in samples.items():
        cuts = statistics.quantiles(times, n=100)
        _print(
            f"latency: {kind}: median {cuts[49]:.3f} ms, 99th {cuts[98]:.3f} ms"
        )


def _key(once: once_lib.AtMostOnceGuard, kind: str, serial: int) -> str | None:
    if kind == "ticket":
        return once.issue_ticket("shop")
    return f"k{serial}" if kind == "claim" else None


def latency() -> None:
    """What ``begin`` and ``finish`` take, against the log stand-in."""
    uvloop.run(_latency())


_PARTS = {
    "fold": fold,
    "memory": memory,
    "bytes": sizes,
    "appends": appends,
    "latency": latency,
}


def main() -> None:
    """Runs the named parts, or all."""
    for name in sys.argv[1:] or _PARTS:
        _PARTS[name]()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    _print(f"peak memory {peak // 1024} MB")


if __name__ == "__main__":
    main()
