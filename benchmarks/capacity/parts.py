"""Measures single parts of an entry host against hosts and servers.

    python -m benchmarks.capacity.parts            all parts
    python -m benchmarks.capacity.parts hosts      one part

Parts: ``hosts``, ``servers``, ``edit``, ``dispatch``. Prints the processor time
of this process, as the minimum and maximum of ``ROUNDS`` rounds. Starts no
other processes.
"""

from __future__ import annotations

import asyncio
import functools
import sys
import time
from typing import TYPE_CHECKING

import attrs

from benchmarks.capacity import deployment as deployment_lib
from benchmarks.capacity import processes
from benchmarks.capacity import rows
from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core.limits import rates
from hoistmoor.core.limits import records as limit_records
from hoistmoor.core.membership import messages
from hoistmoor.core.membership import view
from hoistmoor.core.routing import messages as routing
from hoistmoor.core.routing import router as router_lib
from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold as fold_lib
from hoistmoor.core.table import model
from hoistmoor.core.table import snapshots
from hoistmoor.entry import membership
from hoistmoor.entry import peer_directory

if TYPE_CHECKING:
    from collections.abc import Callable

HOST_COUNTS = (9, 36, 90, 180, 360)
SERVER_COUNTS = (10, 100, 300, 1000)
ACCOUNT_COUNT = 100
VERSION_COUNT = 12
ROUNDS = 3
_NOW = 1_700_000_000.0
_INCARNATION = 1_700_000_000_000
_MICROSECONDS_PER_SECOND = 1e6
_EXCLUDED_SERVERS: frozenset[str] = frozenset()
print_line = processes.print_line


def time_call(call: Callable[[], object], calls: int = 100) -> str:
    """Returns the range of the processor time of one call, in microseconds."""
    times = []
    for _ in range(ROUNDS):
        start = time.process_time()
        for _ in range(calls):
            call()
        times.append(
            (time.process_time() - start) / calls * _MICROSECONDS_PER_SECOND
        )
    return deployment_lib.format_range(times)


class _FreshTableReplica:
    """A table replica that is always fresh."""

    last_contact = time.time() + 3600
    revision = 1

    def snapshot(self) -> bytes | None:
        """Returns no snapshot."""
        return None

    def adopt_if_newer(self, payload: bytes) -> bool:
        """Rejects every snapshot."""
        return False


def make_views(count: int) -> list[view.HostView]:
    """Returns the views of ``count`` hosts."""
    return [
        view.HostView(
            name=f"entry-{n:03}",
            incarnation=_INCARNATION + n,
            http_address=f"10.{n % 7}.{n // 250}.{n % 250}:8080",
            peer_address=f"10.{n % 7}.{n // 250}.{n % 250}:8081",
            failure_domain=f"d{n % rows.DOMAIN_COUNT}",
            region=f"region-{n % 3}",
        )
        for n in range(count)
    ]


def make_membership_task(
    views: list[view.HostView],
) -> membership.MembershipTask:
    """Returns the membership task of the first host, which knows all."""
    task = membership.MembershipTask(
        views[0],
        _fetch_nothing,
        _find_nothing,
        _FreshTableReplica(),
        clock=lambda: _NOW,
    )
    for host in views[1:]:
        update = messages.MemberNews(
            host.name,
            host.incarnation,
            0,
            view.MemberState.ALIVE,
            host.http_address,
            host.peer_address,
            host.failure_domain,
            host.region,
        )
        task._machine.members.apply(update, _NOW)
    return task


async def _fetch_nothing() -> tuple[()]:
    return ()


async def _find_nothing(_: object) -> str:
    return ""


async def measure_hosts() -> None:
    """Measures what grows with the number of entry hosts."""
    print_line("hosts: us of processor time a call")
    for count in HOST_COUNTS:
        views = make_views(count)
        members = make_membership_task(views)
        directory = peer_directory.PeerDirectory(members, lambda: _NOW)
        live = members.live_hosts()
        directory.on_hosts(live)
        rate_shares = _make_rate_shares(count)
        times_by_label = {
            "is the table fresh (each request)": time_call(members.freshness),
            "holders (each bill's batch)": time_call(directory.holders, 20),
            "who prefers whom (each change of hosts)": time_call(
                functools.partial(directory.on_hosts, live), 20
            ),
            "part of an account's rate (each second)": time_call(
                functools.partial(
                    rate_shares._compute_fraction, "account-0", _NOW
                )
            ),
            "homes of a session": time_call(
                functools.partial(
                    rendezvous.home_hosts, views, "account-0", "s1"
                )
            ),
        }
        members.clients.close()
        for name, micros in times_by_label.items():
            print_line(f"    {count:4} hosts, {name}: {micros}")


def _make_rate_shares(count: int) -> rates.RateShares:
    rate_shares = rates.RateShares(identity.Incarnation("entry-000", 1))
    rate_shares.on_hosts([f"entry-{n:03}" for n in range(count)], _NOW)
    for n in range(count):
        weights = (limit_records.DemandWeight("account-0", 1.0),)
        report = limit_records.DemandReport(f"entry-{n:03}", 1, weights)
        rate_shares.on_report(report, _NOW)
    return rate_shares


def make_table(servers: int) -> model.Table:
    """Returns a table of ``servers`` servers, most of them engines."""
    plain = max(1, servers // 10)
    engines = {f"engine-{n}": _address(n) for n in range(servers - plain)}
    plains = {f"plain-{n}": _address(5000 + n) for n in range(plain)}
    return rows.make_table(engines, plains, ACCOUNT_COUNT, VERSION_COUNT)


def _address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}:80"


async def measure_servers() -> None:
    """Measures what grows with the number of backend servers."""
    print_line("servers: us of processor time a call")
    for count in SERVER_COUNTS:
        table = make_table(count)
        router = router_lib.Router("d0", 1, "entry-0")
        in_force = model.ActiveTable(1, table)
        router.on_table(in_force)
        reports = [
            routing.LoadReport(
                name, 1, "live", 1, 0, 16, tuple(table.versions), _NOW
            )
            for name in table.servers
        ]
        for report in reports:
            router.on_load(report, _NOW)
        query = routing.RouteQuery("e.1.1", "account-0", "bench-model")
        times_by_label = {
            "the router takes a table (each edit)": time_call(
                functools.partial(router.on_table, in_force), 5
            ),
            "the router takes a load report": time_call(
                functools.partial(router.on_load, reports[0], _NOW)
            ),
            "a choice": time_call(
                functools.partial(router.choose, query, _EXCLUDED_SERVERS, _NOW)
            ),
        }
        for name, micros in times_by_label.items():
            print_line(f"    {count:4} servers, {name}: {micros}")


async def measure_edit() -> None:
    """Measures the edit of one row at a host that follows the table."""
    print_line(
        f"edit: one row, {ACCOUNT_COUNT} accounts, {VERSION_COUNT} versions"
    )
    for count in SERVER_COUNTS:
        table = make_table(count)
        fold = fold_lib.TableFold()
        first = edits.TableEdit(
            "e0", -1, "bench", _NOW, edits.diff(model.Table(), table)
        )
        offset = 0
        start = time.process_time()
        fold.apply(offset, first)
        whole_table_seconds = time.process_time() - start
        times = []
        size = 0
        for number in range(10):
            row = attrs.evolve(
                table.servers["engine-0"], concurrency=number + 1
            )
            change = edits.RowSet("servers", row.key, row)
            payload = codec.encode(
                edits.TableEdit(
                    f"e{number + 1}", offset, "bench", _NOW, (change,)
                )
            )
            size = len(payload)
            offset += 1
            start = time.process_time()
            result = fold.apply(offset, codec.decode(payload))
            times.append((time.process_time() - start) * 1000)
            assert isinstance(result, fold_lib.Accepted), result
        start = time.process_time()
        snapshot = snapshots.encode_snapshot(fold)
        encode_millis = (time.process_time() - start) * 1000
        start = time.process_time()
        codec.decode(snapshot)
        decode_millis = (time.process_time() - start) * 1000
        print_line(
            f"    {count:4} servers: edit of {size} bytes, "
            f"{deployment_lib.format_range(times)} ms to fold; the whole table "
            f"{whole_table_seconds * 1000:.1f} ms; "
            f"snapshot {len(snapshot) / 1000:.1f} KB, "
            f"{encode_millis:.1f} ms to make, "
            f"{decode_millis:.1f} ms to decode; "
            f"first edit {len(codec.encode(first)) / 1000:.1f} KB"
        )


class _Dispatcher:
    """Dispatches on the type of a message with methods."""

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Handles a message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    def _(self, message: int) -> object:
        return message


@functools.singledispatch
def _handle(message: object, owner: object) -> object:
    raise NotImplementedError(type(message).__name__)


@_handle.register
def _(message: int, owner: object) -> object:
    return message


async def measure_dispatch() -> None:
    """Measures dispatch on the type of a message."""
    dispatcher = _Dispatcher()
    method_micros = time_call(lambda: dispatcher.handle(1), 100_000)
    function_micros = time_call(lambda: _handle(1, dispatcher), 100_000)
    print_line(
        f"dispatch: us a call: a method {method_micros},"
        f" a function {function_micros}"
    )


_PARTS = {
    "hosts": measure_hosts,
    "servers": measure_servers,
    "edit": measure_edit,
    "dispatch": measure_dispatch,
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    for name in sys.argv[1:] or _PARTS:
        asyncio.run(_PARTS[name]())


if __name__ == "__main__":
    main()
