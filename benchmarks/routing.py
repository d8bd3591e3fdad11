"""Cost of one routing decision, against a full scan and a body's parse.

Run with ``python benchmarks/routing.py``. Each figure is the median of
several rounds in one process; the three are measured in turns, so that a busy
machine slows all of them alike.
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

VERSIONS = 12
SIZES = (10, 100, 300, 1000)
ROUNDS = 15
CALLS = 2000
SCANS = 20
BODY_BYTES = 4096
DOMAINS = 7
ACCOUNTS = 10
KINDS = ("answer", "summary", "receipt")
PLANNED_S = 120  # Virtual seconds over which plans are kept up.
WARM_RATINGS = 2000


def make_table(runners: int) -> model.Table:
    """Returns a table with 12 versions of 4 models over ``runners``."""
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
        for i in range(VERSIONS)
    ]
    servers = [
        model.Server(
            f"runner-{i}",
            "llm",
            f"10.0.{i // 250}.{i % 250}:80",
            f"domain-{i % DOMAINS}",
            16,
            checks_fencing=True,
        )
        for i in range(runners)
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
    """Returns a router with a load report of each runner."""
    router = router_lib.Router("domain-0", 1, "host-0")
    router.on_table(model.ActiveTable(1, table))
    for i, name in enumerate(table.servers):
        report = messages.LoadReport(
            name, 1, "live", i % 9, 0, 16, tuple(table.versions), 1.0
        )
        router.on_load(report, 1.0)
    return router


def scan(
    router: router_lib.Router, table: model.Table, account: str
) -> tuple[float, str, str]:
    """Chooses as a full scan does: every version on every runner."""
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


def time_per_call(act: Callable[[], object], calls: int) -> float:
    """Returns the mean microseconds of one call."""
    start = time.perf_counter()
    for _ in range(calls):
        act()
    return (time.perf_counter() - start) / calls * 1e6


def measure(runners: int, model_name: str) -> tuple[float, float, float]:
    """Returns the median microseconds of a decision, a scan and a parse."""
    table = make_table(runners)
    router = make_router(table)
    queries = [
        messages.RouteQuery(
            f"host-0.18f.{i:x}", "big", model_name, "answer", prompt_tokens=900
        )
        for i in range(256)
    ]
    body = make_body()
    nobody: frozenset[str] = frozenset()
    turn = iter(range(10**9))

    def decide() -> object:
        return router.choose(queries[next(turn) & 255], nobody, 2.0)

    rounds = [
        (
            time_per_call(decide, CALLS),
            time_per_call(lambda: scan(router, table, "big"), SCANS),
            time_per_call(lambda: orjson.loads(body), CALLS),
        )
        for _ in range(ROUNDS)
    ]
    decision, full, parse = zip(*rounds, strict=True)
    return (
        statistics.median(decision),
        statistics.median(full),
        statistics.median(parse),
    )


def measure_news(runners: int) -> dict[str, float]:
    """Returns the mean microseconds of each kind of news, and of a plan."""
    table = make_table(runners)
    router = make_router(table)
    names = list(table.servers)
    turn = iter(range(10**9))

    def report() -> None:
        number = next(turn)
        router.on_load(
            messages.LoadReport(
                names[number % runners],
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

    def rate() -> None:
        number = next(turn)
        tag = quality_estimates.make_answer_id(
            f"a{number}", 0.9, escalated=False
        )
        router.on_rating(
            messages.Rating(
                tag, "model-1", "v1", "answer", number % 10 > 0, float(number)
            ),
            float(number),
        )

    def plan_anew() -> None:
        router.catalog.policies.entries.clear()
        router.catalog.auto_options("big", "answer", 0.0)

    in_force = model.ActiveTable(2, table)
    return {
        "load report": time_per_call(report, CALLS),
        "rating": time_per_call(rate, CALLS),
        "plan": time_per_call(plan_anew, SCANS),
        "plan of a shared menu": time_per_call(
            lambda: router.catalog.auto_options("big", "answer", 0.0), SCANS
        ),
        "table edit": time_per_call(lambda: router.on_table(in_force), 5),
    }


def measure_planning(grant_sets: int, ratings: int) -> float:
    """Returns the share of a core that keeping up all plans takes.

    Ten accounts with three kinds of request each are asked about twice a
    second, while ratings come in; their own cost is left out.

    Args:
        grant_sets: Sets of granted versions that differ between accounts.
        ratings: Ratings per second.
    """
    table = make_table(10)
    grants = [
        model.Grant(f"account-{i}", f"model-{m}", "*", 0.85 + 0.01 * i)
        for i in range(ACCOUNTS)
        for m in range(4)
        if m == 0 or m != i % grant_sets
    ]
    table = attrs.evolve(table, grants={row.key: row for row in grants})
    router = make_router(table)
    for number in range(WARM_RATINGS):
        rate(router, number, float(number))
    start = float(WARM_RATINGS)
    spent = 0.0
    for second in range(PLANNED_S):
        for number in range(ratings):
            rate(router, second * ratings + number, start + second)
        for half in (0.0, 0.5):
            began = time.process_time()
            for account in range(ACCOUNTS):
                for kind in KINDS:
                    router.options_for(
                        f"account-{account}",
                        model.AUTO_MODEL,
                        kind,
                        start + second + half,
                    )
            spent += time.process_time() - began
    return spent / PLANNED_S


def rate(router: router_lib.Router, number: int, now: float) -> None:
    """Hands the router a rating of one version and kind in turn."""
    tag = quality_estimates.make_answer_id(f"a{number}", 0.9, escalated=False)
    router.on_rating(
        messages.Rating(
            tag,
            f"model-{number % 4}",
            f"v{number // 4 % 3}",
            KINDS[number // 12 % 3],
            number % 10 > 0,
            now,
        ),
        now,
    )


def main() -> None:
    """Prints the tables."""
    write = sys.stdout.write
    write(f"{VERSIONS} versions; microseconds; body {len(make_body())} bytes\n")
    write("runners model     decision  full scan  scan/decision  parse\n")
    for runners in SIZES:
        for name in ("auto", "model-1"):
            decision, full, parse = measure(runners, name)
            write(
                f"{runners:7} {name:8} {decision:9.2f} {full:10.1f} "
                f"{full / decision:14.1f} {parse:6.2f}\n"
            )
    for runners in SIZES:
        news = measure_news(runners)
        shown = ", ".join(f"{name} {us:.1f}" for name, us in news.items())
        write(f"{runners:7} {shown}\n")
    for grant_sets in (1, 4):
        for ratings in (1, 85):
            share = measure_planning(grant_sets, ratings)
            write(
                f"{ACCOUNTS} accounts, {len(KINDS)} kinds, "
                f"{grant_sets} sets of grants, {ratings} ratings/s: "
                f"plans take {share:.2%} of a core\n"
            )


if __name__ == "__main__":
    main()
