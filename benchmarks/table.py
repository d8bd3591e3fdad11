"""Measures what the table costs a host, by the size of the table.

Run ``python benchmarks/table.py``. Prints for four sizes: the processor time to
decode, validate and apply an edit of one row, the part of it that the check of
the whole table takes, the bytes of the edit and of a snapshot, the time to make
and to read a snapshot, and the memory of a host's state; then the slope of each
per 1,000 rows, and the fraction of one core that 2,200 edits a day take.
"""

from __future__ import annotations

import statistics
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

import attrs
import numpy as np

from hoistmoor.core import codec
from hoistmoor.core.table import check
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import snapshots

if TYPE_CHECKING:
    from collections.abc import Callable

ROW_COUNTS = (100, 300, 1000, 2000)  # Rows in all sheets together.
EDITS_PER_SIZE = 200
REPEATS_PER_SIZE = 15  # For everything but edits.
EDITS_PER_DAY = 2200
SECONDS_PER_DAY = 86_400


@attrs.frozen
class Cost:
    """Costs of a table of one size; times are in milliseconds."""

    rows: int
    edit_ms: float
    edit_worst_ms: float
    check_ms: float
    edit_bytes: int
    snapshot_bytes: int
    snapshot_make_ms: float
    snapshot_read_ms: float
    state_bytes: int


def make_table(rows: int) -> model.Table:
    """Returns a valid table: half servers, the rest accounts and grants."""
    servers, accounts = rows // 2, rows // 8
    grants = rows - servers - accounts - 13
    versions = [
        model.Version(
            f"m{n}", "1", "llm", model.Stage.ACTIVE, 1.0, 9, 9, 0.9, 0, 4
        )
        for n in range(12)
    ]
    return model.Table(
        accounts=_by_key(
            model.Account(f"account-{n}", (f"{n:064x}",), 10**9, 50.0, 100)
            for n in range(accounts)
        ),
        versions=_by_key(versions),
        grants=_by_key(
            model.Grant(
                f"account-{n % accounts}", f"m{n // accounts}", "*", 0.9
            )
            for n in range(grants)
        ),
        services=_by_key(
            [model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())]
        ),
        servers=_by_key(
            model.Server(
                f"runner-{n}",
                "llm",
                f"10.0.{n // 250}.{n % 250}:8000",
                f"domain-{n % 7}",
                16,
                True,
            )
            for n in range(servers)
        ),
    )


def measure(rows: int) -> Cost:
    """Measures the costs of a table with ``rows`` rows."""
    table = make_table(rows)
    current = fold.TableFold()
    initial_rows = edits.diff(model.Table(), table)
    initial_edit = edits.TableEdit("first", -1, "bench", 0.0, initial_rows)
    if not isinstance(current.apply(0, initial_edit), fold.Accepted):
        sys.exit("the initial table of the benchmark was rejected")
    payloads = [_make_edit(table, n) for n in range(EDITS_PER_SIZE)]
    times = [
        _time_call(lambda n=n, p=p: current.apply(n + 1, fold.decode_record(p)))
        for n, p in enumerate(payloads)
    ]
    if current.active.revision != EDITS_PER_SIZE:
        sys.exit("an edit of the benchmark was rejected")
    snapshot = snapshots.encode_snapshot(current)
    return Cost(
        rows=rows,
        edit_ms=statistics.median(times),
        edit_worst_ms=max(times),
        check_ms=_median_time(
            lambda: check.check_table(_copy_without_indexes(table))
        ),
        edit_bytes=len(payloads[0]),
        snapshot_bytes=len(snapshot),
        snapshot_make_ms=_median_time(
            lambda: snapshots.encode_snapshot(current)
        ),
        snapshot_read_ms=_median_time(lambda: codec.decode(snapshot)),
        state_bytes=_state_bytes(snapshot),
    )


def main() -> None:
    """Prints the costs and their slopes."""
    costs = [measure(rows) for rows in ROW_COUNTS]
    columns = [field.name for field in attrs.fields(Cost)]
    _print_row(columns)
    for cost in costs:
        _print_row(
            [_format_number(getattr(cost, column)) for column in columns]
        )
    sizes = np.array(ROW_COUNTS) / 1000
    slopes = [
        np.polyfit(sizes, [getattr(cost, column) for cost in costs], 1)[0]
        for column in columns[1:]
    ]
    _print_row(
        ["slope/1000", *(_format_number(float(slope)) for slope in slopes)]
    )
    core_fraction = costs[-1].edit_ms / 1000 * EDITS_PER_DAY / SECONDS_PER_DAY
    sys.stdout.write(
        f"{EDITS_PER_DAY} edits a day at {ROW_COUNTS[-1]} rows:"
        f" {core_fraction:.6%} of one core\n"
    )


def _state_bytes(snapshot: bytes) -> int:
    """Returns the memory of a host's table fold, in bytes."""
    tracemalloc.start()
    allocated_before, _ = tracemalloc.get_traced_memory()
    restored = fold.TableFold.from_snapshot(codec.decode(snapshot))
    allocated_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_after - allocated_before if restored else 0


def _make_edit(table: model.Table, n: int) -> bytes:
    key = f"runner-{n % len(table.servers)}"
    row = attrs.evolve(table.servers[key], concurrency=20 + n)
    change = edits.RowSet("servers", key, row)
    edit_id = f"{n:032x}"
    return codec.encode(edits.TableEdit(edit_id, n, "bench", 1.5e9, (change,)))


def _by_key(rows):  # noqa: ANN001, ANN202
    return {row.key: row for row in rows}


def _copy_without_indexes(table: model.Table) -> model.Table:
    """Returns a copy without cached indexes, as after each edit."""
    return attrs.evolve(table)


def _time_call(call: Callable[[], object]) -> float:
    start = time.process_time_ns()
    call()
    return (time.process_time_ns() - start) / 1e6


def _median_time(call: Callable[[], object]) -> float:
    return statistics.median(_time_call(call) for _ in range(REPEATS_PER_SIZE))


def _format_number(number: float) -> str:
    return str(number) if isinstance(number, int) else f"{number:.3f}"


def _print_row(cells: list[str]) -> None:
    sys.stdout.write(" ".join(f"{cell:>16}" for cell in cells) + "\n")


if __name__ == "__main__":
    main()
