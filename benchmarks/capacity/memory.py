"""Measures memory per stored object, and of a real entry host under load.

    python -m benchmarks.capacity.memory            all parts
    python -m benchmarks.capacity.memory things     one part

Parts: ``things`` (traced allocations of this process), ``growth`` (resident
memory of a real entry host by requests served).
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
SMALL_SIZES = (100, 300, 600, 1000)
REQUESTS_PER_ROUND = 6000  # Of ``measure_growth``.
GROWTH_ROUNDS = 5
_CONCURRENCY = 16
_NOW = 1_700_000_000.0
_MIB = 1 << 20
print_line = processes.print_line


def make_pins(count: int) -> object:
    """Returns a map of session pins."""
    pin_map = pins.PinMap()
    for n in range(count):
        pin_map.put(
            pins.Pin(f"a{n}", f"session-{n:016x}", "auto", f"m@{n}", n, 0, True)
        )
    return pin_map


def make_members(count: int) -> object:
    """Returns a membership task that knows ``count`` hosts."""
    return parts.make_membership_task(parts.make_views(count))


def make_router(count: int) -> object:
    """Returns a router with a load report of each backend server."""
    table = parts.make_table(count)
    router = router_lib.Router("d0", 1, "entry-0")
    router.on_table(model.ActiveTable(1, table))
    for name in table.servers:
        report = routing.LoadReport(
            name, 1, "live", 1, 0, 16, tuple(table.versions), _NOW
        )
        router.on_load(report, _NOW)
    return router


def make_prefix_blocks(count: int) -> object:
    """Returns an index of prompt blocks, each at one server."""
    index = affinity.PrefixIndex()
    for n in range(count):
        index.store("engine-1", (n * 2**40,), _NOW)
    return index


def make_claims(count: int) -> object:
    """Returns a ledger of settled exposure claims."""
    exposure_ledger = exposure.ExposureLedger()
    for n in range(count):
        exposure_ledger.on_claim(
            n,
            routing.ExposureClaim(
                f"entry-{n}.18f0/{n}", "m@1", "0" * 16, f"entry-{n}.18f0", 1, 9
            ),
        )
    return exposure_ledger


def make_kinds(count: int) -> object:
    """Returns a router with a rated request of each of ``count`` kinds."""
    router = router_lib.Router("d0", 1, "entry-0")
    table = parts.make_table(10)
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


OBJECT_FACTORIES: dict[str, tuple[Callable[[int], object], tuple[int, ...]]] = {
    "session pin": (make_pins, SIZES),
    "entry host known": (make_members, SMALL_SIZES),
    "backend server, its row and report": (make_router, SMALL_SIZES),
    "block of a prompt": (make_prefix_blocks, SIZES),
    "exposure claim": (make_claims, SIZES),
    "kind of request named by callers": (make_kinds, SMALL_SIZES),
}


def measure_objects() -> None:
    """Measures the bytes of each type of object."""
    for name, (make, sizes) in OBJECT_FACTORIES.items():
        make(10)
        bytes_per_object = []
        for count in sizes:
            gc.collect()
            tracemalloc.start()
            objects = make(count)
            gc.collect()
            allocated, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            del objects
            bytes_per_object.append(allocated / count)
        figures = ", ".join(f"{value:.0f}" for value in bytes_per_object)
        counts = ", ".join(map(str, sizes))
        print_line(f"things: {name}: {figures} bytes each, of {counts}")


async def _serve_requests(
    deployment: deployment_lib.Deployment, call_kind: str, first: int
) -> None:
    entry = deployment.entries[0].address
    call = functools.partial(
        serve.send_plain_call, deployment.session, entry, call_kind
    )

    async def send_requests(start: int) -> None:
        for number in range(start, first + REQUESTS_PER_ROUND, _CONCURRENCY):
            await call(number)

    await asyncio.gather(
        *(send_requests(first + n) for n in range(_CONCURRENCY))
    )


async def measure_growth() -> None:
    """Measures the resident memory by requests served."""
    for call_kind in ("balance", "confirm-key"):
        async with deployment_lib.run_deployment(2, direct=True) as deployment:
            start_time = time.perf_counter()
            for number in range(GROWTH_ROUNDS + 1):
                sizes = [
                    f"{entry.usage().resident / _MIB:.1f}"
                    for entry in deployment.entries
                ]
                print_line(
                    f"growth: {call_kind}, {number * REQUESTS_PER_ROUND} "
                    "served: MiB at the "
                    f"host that serves and at the other: {', '.join(sizes)}"
                )
                if number < GROWTH_ROUNDS:
                    await _serve_requests(
                        deployment, call_kind, number * REQUESTS_PER_ROUND
                    )
            print_line(f"growth: {time.perf_counter() - start_time:.0f} s")


def main() -> None:
    """Runs the parts named on the command line, or all."""
    names = sys.argv[1:] or ["things", "growth"]
    if "things" in names:
        measure_objects()
    if "growth" in names:
        uvloop.run(measure_growth())


if __name__ == "__main__":
    main()
