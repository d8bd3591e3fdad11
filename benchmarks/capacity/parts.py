"""Measures single parts of an entry host against hosts and servers.

    python -m benchmarks.capacity.parts            all parts
    python -m benchmarks.capacity.parts hosts      one part

Parts: ``hosts``, ``servers``, ``edit``, ``dispatch``. Processor time of this
process, the lowest and highest of ``ROUNDS`` rounds. No process is started.
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

HOSTS = (9, 36, 90, 180, 360)
SERVERS = (10, 100, 300, 1000)
ACCOUNTS = 100
VERSIONS = 12
ROUNDS = 3
_NOW = 1_700_000_000.0
_INCARNATION = 1_700_000_000_000
_US = 1e6
_NOBODY: frozenset[str] = frozenset()
say = processes.say


def time_call(act: Callable[[], object], calls: int = 100) -> str:
    """Returns the microseconds of processor time of one call."""
    each = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(calls):
            act()
        each.append((time.process_time() - began) / calls * _US)
    return deployment_lib.spread(each)


class _NoTable:
    """A follower with a table that is always fresh."""

    last_contact = time.time() + 3600
    revision = 1

    def snapshot(self) -> bytes | None:
        """Returns nothing."""
        return None

    def offer(self, payload: bytes) -> bool:
        """Takes nothing."""
        return False


def make_views(count: int) -> list[view.HostView]:
    """Returns the views of that many hosts."""
    return [
        view.HostView(
            name=f"entry-{n:03}",
            incarnation=_INCARNATION + n,
            http_address=f"10.{n % 7}.{n // 250}.{n % 250}:8080",
            peer_address=f"10.{n % 7}.{n // 250}.{n % 250}:8081",
            failure_domain=f"d{n % rows.DOMAINS}",
            region=f"region-{n % 3}",
        )
        for n in range(count)
    ]


def make_members(views: list[view.HostView]) -> membership.MembershipTask:
    """Returns the membership of the first host, which knows all others."""
    task = membership.MembershipTask(
        views[0],
        _fetch_nothing,
        _find_nothing,
        _NoTable(),
        clock=lambda: _NOW,
    )
    for host in views[1:]:
        news = messages.MemberNews(
            host.name,
            host.incarnation,
            0,
            view.MemberState.ALIVE,
            host.http_address,
            host.peer_address,
            host.failure_domain,
            host.region,
        )
        task._machine.members.apply(news, _NOW)
    return task


async def _fetch_nothing() -> tuple[()]:
    return ()


async def _find_nothing(_: object) -> str:
    return ""


async def hosts() -> None:
    """What grows with the number of entry hosts."""
    say("hosts: us of processor time a call")
    for count in HOSTS:
        views = make_views(count)
        members = make_members(views)
        near = peer_directory.PeerDirectory(members, lambda: _NOW)
        live = members.live_hosts()
        near.on_hosts(live)
        shares = _make_shares(count)
        figures = {
            "is the table fresh (each request)": time_call(members.freshness),
            "holders (each bill's batch)": time_call(near.holders, 20),
            "who prefers whom (each change of hosts)": time_call(
                functools.partial(near.on_hosts, live), 20
            ),
            "part of an account's rate (each second)": time_call(
                functools.partial(shares._compute_fraction, "account-0", _NOW)
            ),
            "homes of a session": time_call(
                functools.partial(
                    rendezvous.home_hosts, views, "account-0", "s1"
                )
            ),
        }
        members.clients.close()
        for name, figure in figures.items():
            say(f"    {count:4} hosts, {name}: {figure}")


def _make_shares(count: int) -> rates.RateShares:
    shares = rates.RateShares(identity.Incarnation("entry-000", 1))
    shares.on_hosts([f"entry-{n:03}" for n in range(count)], _NOW)
    for n in range(count):
        weights = (limit_records.DemandWeight("account-0", 1.0),)
        report = limit_records.DemandReport(f"entry-{n:03}", 1, weights)
        shares.on_report(report, _NOW)
    return shares


def big_table(servers: int) -> model.Table:
    """Returns a table of that many servers, most of them engines."""
    plain = max(1, servers // 10)
    engines = {f"engine-{n}": _address(n) for n in range(servers - plain)}
    plains = {f"plain-{n}": _address(5000 + n) for n in range(plain)}
    return rows.make_table(engines, plains, ACCOUNTS, VERSIONS)


def _address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}:80"


async def servers() -> None:
    """What grows with the number of backend servers."""
    say("servers: us of processor time a call")
    for count in SERVERS:
        table = big_table(count)
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
        figures = {
            "the router takes a table (each edit)": time_call(
                functools.partial(router.on_table, in_force), 5
            ),
            "the router takes a load report": time_call(
                functools.partial(router.on_load, reports[0], _NOW)
            ),
            "a choice": time_call(
                functools.partial(router.choose, query, _NOBODY, _NOW)
            ),
        }
        for name, figure in figures.items():
            say(f"    {count:4} servers, {name}: {figure}")


async def edit() -> None:
    """What one edit of one row costs each host that follows the table."""
    say(f"edit: one row, {ACCOUNTS} accounts, {VERSIONS} versions")
    for count in SERVERS:
        table = big_table(count)
        fold = fold_lib.TableFold()
        first = edits.TableEdit(
            "e0", -1, "bench", _NOW, edits.diff(model.Table(), table)
        )
        offset = 0
        began = time.process_time()
        fold.apply(offset, first)
        whole = time.process_time() - began
        each = []
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
            began = time.process_time()
            verdict = fold.apply(offset, codec.decode(payload))
            each.append((time.process_time() - began) * 1000)
            assert isinstance(verdict, fold_lib.Accepted), verdict
        began = time.process_time()
        snapshot = snapshots.encode_snapshot(fold)
        made = (time.process_time() - began) * 1000
        began = time.process_time()
        codec.decode(snapshot)
        read = (time.process_time() - began) * 1000
        say(
            f"    {count:4} servers: edit of {size} bytes, "
            f"{deployment_lib.spread(each)} ms to fold; the whole table "
            f"{whole * 1000:.1f} ms; snapshot {len(snapshot) / 1000:.1f} KB, "
            f"{made:.1f} ms to make, {read:.1f} ms to decode; "
            f"first edit {len(codec.encode(first)) / 1000:.1f} KB"
        )


class _Methods:
    """Behaviour that varies by the type of a message, as methods."""

    @functools.singledispatchmethod
    def take(self, message: object) -> object:
        """Takes a message."""
        raise NotImplementedError(type(message).__name__)

    @take.register
    def _(self, message: int) -> object:
        return message


@functools.singledispatch
def _take(message: object, owner: object) -> object:
    raise NotImplementedError(type(message).__name__)


@_take.register
def _(message: int, owner: object) -> object:
    return message


async def dispatch() -> None:
    """What it costs to choose behaviour by a message's type."""
    methods = _Methods()
    method = time_call(lambda: methods.take(1), 100_000)
    function = time_call(lambda: _take(1, methods), 100_000)
    say(f"dispatch: us a call: a method {method}, a function {function}")


_PARTS = {
    "hosts": hosts,
    "servers": servers,
    "edit": edit,
    "dispatch": dispatch,
}


def main() -> None:
    """Runs the named parts, or all."""
    for name in sys.argv[1:] or _PARTS:
        asyncio.run(_PARTS[name]())


if __name__ == "__main__":
    main()
