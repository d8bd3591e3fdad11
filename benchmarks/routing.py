"""Measures a routing decision against a full scan and parsing a body.

Run with ``python benchmarks/routing.py``. Each figure is the median of
several rounds in one process. Rounds of the three alternate, so that a busy
machine slows all of them equally.
"""

from __future__ import annotations

import statistics
import sys
import time
from typing import TYPE_CHECKING

import attrs
import orjson

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import router as router_lib
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Callable

VERSION_COUNT = 12
ENGINE_COUNTS = (10, 100, 300, 1000)
ROUNDS = 15
CALLS_PER_ROUND = 2000
SCANS_PER_ROUND = 20
BODY_BYTES = 4096
DOMAIN_COUNT = 7
ACCOUNT_COUNT = 10
KINDS = ("answer", "summary", "receipt")
PLANNING_SECONDS = 120  # Virtual seconds of ``measure_planning``.
WARM_UP_RATINGS = 2000


def make_table(engine_count: int) -> model.Table:
    """Returns a table of 12 versions of 4 models on some engines."""
    versions = [
        model.Version(
            model=f"model-{i % 4}",
            version=f"v{i // 4}",
            service="llm",
            stage=model.Stage.ACTIVE,
            weight=1.0 + i // 4,
            input_price=100 * (1 + i % 4) ** 2,
            output_price=400 * (1 + i % 4) ** 2,
            prior_quality=0.75 + 0.06 * (i % 4),
            exposure_cap=0,
            replicas=2,
        )
        for i in range(VERSION_COUNT)
    ]
    servers = [
        model.Server(
            f"runner-{i}",
            "llm",
            f"10.0.{i // 250}.{i % 250}:80",
            f"domain-{i % DOMAIN_COUNT}",
            16,
            checks_fencing=True,
        )
        for i in range(engine_count)
    ]
    grants = [model.Grant("big", f"model-{i}", "*", 0.9) for i in range(4)]
    return model.Table(
        versions={row.key: row for row in versions},
        servers={row.server: row for row in servers},
        grants={row.key: row for row in grants},
        services={
            "llm": model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())
        },
    )


def make_router(table: model.Table) -> router_lib.Router:
    """Returns a router with a load report of each engine."""
    router = router_lib.Router("domain-0", 1, "host-0")
    router.on_table(model.ActiveTable(1, table))
    for i, name in enumerate(table.servers):
        report = messages.LoadReport(
            name, 1, "live", i % 9, 0, 16, tuple(table.versions), 1.0
        )
        router.on_load(report, 1.0)
    return router


def full_scan(
    router: router_lib.Router, table: model.Table, account: str
) -> tuple[float, str, str]:
    """Chooses by comparing every version on every engine."""
    best = (float("inf"), "", "")
    for key, row in table.versions.items():
        if row.stage is not model.Stage.ACTIVE:
            continue
        if table.grant_for(account, row) is None:
            continue
        price = row.input_price + row.output_price
        for name, server in router.fleet.by_name.items():
            if not server.is_ready or not server.can_serve(key):
                continue
            load = (server.load + 1) / server.row.concurrency
            found = (price * (1.0 + load), key, name)
            if found < best:
                best = found
    return best


def make_body() -> bytes:
    """Returns a chat request of about 4 KB, as callers send it."""
    turns = [
        {
            "role": "user" if i % 2 else "assistant",
            "content": f"Line {i}: agent 4{i}7 topped up 120.50 baht for meter "
            f"88{i}1; the receipt says 12{i}.50. Is that right?",
        }
        for i in range(24)
    ]
    body = {
        "model": "auto",
        "stream": True,
        "temperature": 0.2,
        "max_tokens": 512,
        "messages": turns,
    }
    text = orjson.dumps(body)
    filler = "x" * max(0, BODY_BYTES - len(text))
    return orjson.dumps({**body, "user": filler})


def time_per_call(call: Callable[[], object], calls: int) -> float:
    """Returns the mean time of one call, in microseconds."""
    start = time.perf_counter()
    for _ in range(calls):
        call()
    return (time.perf_counter() - start) / calls * 1e6


def measure(engine_count: int, model_name: str) -> tuple[float, float, float]:
    """Returns the median times of a decision, a scan and a parse.

    All are in microseconds.
    """
    table = make_table(engine_count)
    router = make_router(table)
    queries = [
        messages.RouteQuery(
            f"host-0.18f.{i:x}", "big", model_name, "answer", prompt_tokens=900
        )
        for i in range(256)
    ]
    body = make_body()
    excluded: frozenset[str] = frozenset()
    serial = iter(range(10**9))

    def decide() -> object:
        return router.choose(queries[next(serial) & 255], excluded, 2.0)

    rounds = [
        (
            time_per_call(decide, CALLS_PER_ROUND),
            time_per_call(
                lambda: full_scan(router, table, "big"), SCANS_PER_ROUND
            ),
            time_per_call(lambda: orjson.loads(body), CALLS_PER_ROUND),
        )
        for _ in range(ROUNDS)
    ]
    decision, scan_time, parse = zip(*rounds, strict=True)
    return (
        statistics.median(decision),
        statistics.median(scan_time),
        statistics.median(parse),
    )


def measure_updates(engine_count: int) -> dict[str, float]:
    """Returns the mean times of each kind of update and of a plan.

    All are in microseconds.
    """
    table = make_table(engine_count)
    router = make_router(table)
    names = list(table.servers)
    serial = iter(range(10**9))

    def update_load() -> None:
        number = next(serial)
        router.on_load(
            messages.LoadReport(
                names[number % engine_count],
                1,
                "live",
                3,
                0,
                16,
                tuple(table.versions),
                2.0 + number,
            ),
            2.0 + number,
        )

    def update_rating() -> None:
        number = next(serial)
        answer_id = quality_estimates.make_answer_id(
            f"a{number}", 0.9, escalated=False
        )
        router.on_rating(
            messages.Rating(
                answer_id,
                "model-1",
                "v1",
                "answer",
                number % 10 > 0,
                float(number),
            ),
            float(number),
        )

    def replan() -> None:
        router.catalog.policies.entries.clear()
        router.catalog.auto_options("big", "answer", 0.0)

    in_force = model.ActiveTable(2, table)
    return {
        "load report": time_per_call(update_load, CALLS_PER_ROUND),
        "rating": time_per_call(update_rating, CALLS_PER_ROUND),
        "plan": time_per_call(replan, SCANS_PER_ROUND),
        "plan of a shared menu": time_per_call(
            lambda: router.catalog.auto_options("big", "answer", 0.0),
            SCANS_PER_ROUND,
        ),
        "table edit": time_per_call(lambda: router.on_table(in_force), 5),
    }


def measure_planning(grant_sets: int, ratings: int) -> float:
    """Returns the fraction of a core that keeping all plans current takes.

    Twice a second the router plans for ten accounts with three kinds of
    request each, while ratings arrive; the cost of the ratings themselves is
    not counted.

    Args:
        grant_sets: Number of different sets of granted versions.
        ratings: Ratings per second.
    """
    table = make_table(10)
    grants = [
        model.Grant(f"account-{i}", f"model-{m}", "*", 0.85 + 0.01 * i)
        for i in range(ACCOUNT_COUNT)
        for m in range(4)
        if m == 0 or m != i % grant_sets
    ]
    table = attrs.evolve(table, grants={row.key: row for row in grants})
    router = make_router(table)
    for number in range(WARM_UP_RATINGS):
        apply_rating(router, number, float(number))
    start = float(WARM_UP_RATINGS)
    spent = 0.0
    for second in range(PLANNING_SECONDS):
        for number in range(ratings):
            apply_rating(router, second * ratings + number, start + second)
        for offset in (0.0, 0.5):
            began = time.process_time()
            for account in range(ACCOUNT_COUNT):
                for kind in KINDS:
                    router.options_for(
                        f"account-{account}",
                        model.AUTO_MODEL,
                        kind,
                        start + second + offset,
                    )
            spent += time.process_time() - began
    return spent / PLANNING_SECONDS


def apply_rating(router: router_lib.Router, number: int, now: float) -> None:
    """Applies a rating, of each version and kind in turn."""
    answer_id = quality_estimates.make_answer_id(
        f"a{number}", 0.9, escalated=False
    )
    router.on_rating(
        messages.Rating(
            answer_id,
            f"model-{number % 4}",
            f"v{number // 4 % 3}",
            KINDS[number // 12 % 3],
            number % 10 > 0,
            now,
        ),
        now,
    )


def main() -> None:
    """Prints the report."""
    write = sys.stdout.write
    write(
        f"{VERSION_COUNT} versions; microseconds; "
        f"body {len(make_body())} bytes\n"
    )
    write("runners model     decision  full scan  scan/decision  parse\n")
    for engine_count in ENGINE_COUNTS:
        for name in ("auto", "model-1"):
            decision, scan_time, parse = measure(engine_count, name)
            write(
                f"{engine_count:7} {name:8} {decision:9.2f} {scan_time:10.1f} "
                f"{scan_time / decision:14.1f} {parse:6.2f}\n"
            )
    for engine_count in ENGINE_COUNTS:
        updates = measure_updates(engine_count)
        text = ", ".join(f"{name} {us:.1f}" for name, us in updates.items())
        write(f"{engine_count:7} {text}\n")
    for grant_sets in (1, 4):
        for ratings in (1, 85):
            fraction = measure_planning(grant_sets, ratings)
            write(
                f"{ACCOUNT_COUNT} accounts, {len(KINDS)} kinds, "
                f"{grant_sets} sets of grants, {ratings} ratings/s: "
                f"plans take {fraction:.2%} of a core\n"
            )


if __name__ == "__main__":
    main()
