"""Measures memory: bytes per thing kept, and of a real entry as it serves.

    python -m benchmarks.capacity.memory            all parts
    python -m benchmarks.capacity.memory things     one part

Parts: ``things`` (allocations of this process, traced), ``growth`` (resident
memory of a real entry by requests served).
"""

from __future__ import annotations

import asyncio
import functools
import gc
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

import uvloop

from benchmarks.capacity import deployment as deployment_lib
from benchmarks.capacity import parts
from benchmarks.capacity import processes
from benchmarks.capacity import serve
from hoistmoor.core.routing import affinity
from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import messages as routing
from hoistmoor.core.routing import router as router_lib
from hoistmoor.core.sessions import pins
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (1000, 2000, 4000, 8000)
FEW = (100, 300, 600, 1000)
REQUESTS = 6000  # A round of ``growth``.
GROWTH_ROUNDS = 5
_AT_ONCE = 16
_NOW = 1_700_000_000.0
_MIB = 1 << 20
say = processes.say


def make_pins(count: int) -> object:
    """Keeps session pins."""
    kept = pins.PinMap()
    for n in range(count):
        kept.put(
            pins.Pin(f"a{n}", f"session-{n:016x}", "auto", f"m@{n}", n, 0, True)
        )
    return kept


def make_members(count: int) -> object:
    """Keeps views of entry hosts."""
    return parts.make_members(parts.make_views(count))


def make_router(count: int) -> object:
    """Keeps backend servers with a load report each."""
    table = parts.big_table(count)
    router = router_lib.Router("d0", 1, "entry-0")
    router.on_table(model.ActiveTable(1, table))
    for name in table.servers:
        report = routing.LoadReport(
            name, 1, "live", 1, 0, 16, tuple(table.versions), _NOW
        )
        router.on_load(report, _NOW)
    return router


def make_blocks(count: int) -> object:
    """Keeps blocks of prompts, each at one server."""
    index = affinity.PrefixIndex()
    for n in range(count):
        index.store("engine-1", (n * 2**40,), _NOW)
    return index


def make_claims(count: int) -> object:
    """Keeps exposure claims that were settled."""
    fold = exposure.ExposureLedger()
    for n in range(count):
        fold.on_claim(
            n,
            routing.ExposureClaim(
                f"entry-{n}.18f0/{n}", "m@1", "0" * 16, f"entry-{n}.18f0", 1, 9
            ),
        )
    return fold


def make_kinds(count: int) -> object:
    """Serves and rates one request of each kind that callers name."""
    router = router_lib.Router("d0", 1, "entry-0")
    table = parts.big_table(10)
    router.on_table(model.ActiveTable(1, table))
    for n in range(count):
        kind = f"kind-{n}"
        query = routing.RouteQuery(f"e.1.{n:x}", "account-0", "auto", kind)
        router.choose(query, frozenset(), _NOW)
        result = routing.AttemptResult(
            True, kind=kind, tokens=9, confidence=0.9
        )
        router.on_finished("engine-0", "bench-model@1", result, _NOW)
        rating = routing.Rating("e.1.1~5", "bench-model", "1", kind, True, _NOW)
        router.on_rating(rating, _NOW)
    return router


THINGS: dict[str, tuple[Callable[[int], object], tuple[int, ...]]] = {
    "session pin": (make_pins, SIZES),
    "entry host known": (make_members, FEW),
    "backend server, its row and report": (make_router, FEW),
    "block of a prompt": (make_blocks, SIZES),
    "exposure claim": (make_claims, SIZES),
    "kind of request named by callers": (make_kinds, FEW),
}


def things() -> None:
    """Bytes per thing kept."""
    for name, (make, sizes) in THINGS.items():
        make(10)
        each = []
        for count in sizes:
            gc.collect()
            tracemalloc.start()
            kept = make(count)
            gc.collect()
            used, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            del kept
            each.append(used / count)
        figures = ", ".join(f"{value:.0f}" for value in each)
        counts = ", ".join(map(str, sizes))
        say(f"things: {name}: {figures} bytes each, of {counts}")


async def _serve_round(
    made: deployment_lib.Deployment, way: str, first: int
) -> None:
    entry = made.entries[0].address
    act = functools.partial(serve.call, made.session, entry, way)

    async def work(start: int) -> None:
        for number in range(start, first + REQUESTS, _AT_ONCE):
            await act(number)

    await asyncio.gather(*(work(first + n) for n in range(_AT_ONCE)))


async def growth() -> None:
    """Resident memory by requests served."""
    for way in ("balance", "confirm-key"):
        async with deployment_lib.deployed(2, direct=True) as made:
            began = time.perf_counter()
            for number in range(GROWTH_ROUNDS + 1):
                sizes = [
                    f"{entry.use().resident / _MIB:.1f}"
                    for entry in made.entries
                ]
                say(
                    f"growth: {way}, {number * REQUESTS} served: MiB at the "
                    f"host that serves and at the other: {', '.join(sizes)}"
                )
                if number < GROWTH_ROUNDS:
                    await _serve_round(made, way, number * REQUESTS)
            say(f"growth: {time.perf_counter() - began:.0f} s")


def main() -> None:
    """Runs the named parts, or all."""
    names = sys.argv[1:] or ["things", "growth"]
    if "things" in names:
        things()
    if "growth" in names:
        uvloop.run(growth())


if __name__ == "__main__":
    main()
