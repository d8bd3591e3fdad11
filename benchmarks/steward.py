"""Measures the steward: records on the log, takeovers, and reconcile passes.

Run ``python benchmarks/steward.py``. Leases run on a virtual clock with the
real decisions; plans and read-backs are timed in processor time of this
process, the latter against one engine stand-in in a process of its own.
"""

from __future__ import annotations

import asyncio
import pathlib
import subprocess
import sys
import time

import attrs

from hoistmoor.clients import engines as engine_clients
from hoistmoor.clients import sessions
from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core.steward import actor as actor_lib
from hoistmoor.core.steward import lease as lease_lib
from hoistmoor.core.steward import placement
from hoistmoor.core.steward import planner as planner_lib
from hoistmoor.core.steward import rollouts
from hoistmoor.core.table import model
from hoistmoor.steward import background_tasks
from hoistmoor.steward import engines

HOSTS = (4, 9, 36, 100, 360)
RUNNERS = (10, 100, 300, 1000)
VERSIONS = 12
HOUR = 3600.0
READ_LAG = 0.02  # Seconds until others have read a record.
KILL_EVERY = 300.0  # Seconds between deaths of the acting steward.
DOMAINS = 7


def write_line(line: str) -> None:
    """Prints one line of the report."""
    sys.stdout.write(f"{line}\n")


@attrs.define
class Hour:
    """One virtual hour of stewards that only keep the lease.

    Attributes:
        hosts: How many there are.
        kills: Whether the acting one ends every ``KILL_EVERY`` seconds.
    """

    hosts: int
    kills: bool
    actors: list[actor_lib.Actor] = attrs.field(factory=list)
    records: list[tuple[float, bytes]] = attrs.field(factory=list)
    outages: list[float] = attrs.field(factory=list)

    def run(self) -> None:
        """Plays the hour."""
        for number in range(self.hosts):
            self.start(f"host{number}", 0.0)
        next_kill = KILL_EVERY
        killed_at: float | None = None
        for tick in range(int(HOUR / background_tasks.LEASE_CHECK_INTERVAL)):
            for index, actor in enumerate(self.actors):
                phase = (
                    background_tasks.LEASE_CHECK_INTERVAL * index / self.hosts
                )
                now = tick * background_tasks.LEASE_CHECK_INTERVAL + phase
                self.look(actor, now)
                if actor.active_fencing_token(now) is None:
                    continue
                if killed_at is not None:
                    self.outages.append(now - killed_at)
                    killed_at = None
                if self.kills and now >= next_kill:
                    self.kill(index, now)
                    killed_at = now
                    next_kill += KILL_EVERY

    def start(self, host: str, now: float) -> actor_lib.Actor:
        """Starts one steward process."""
        me = identity.Incarnation(host, int(now * 1000))
        actor = actor_lib.Actor(me)
        actor.begin(0, now)
        self.actors.append(actor)
        return actor

    def kill(self, index: int, now: float) -> None:
        """Ends one steward and starts another at the same host."""
        self.start(self.actors[index].incarnation.host, now)
        self.actors[index] = self.actors.pop()

    def look(self, actor: actor_lib.Actor, now: float) -> None:
        """Lets one steward read, and append if it should."""
        for offset in range(actor.fold.next_offset, len(self.records)):
            at, payload = self.records[offset]
            if at + READ_LAG > now:
                break
            actor.on_record(offset, at, codec.decode(payload), now)
        record = actor.next_lease_record(now)
        if record is not None:
            self.records.append((now, codec.encode(record)))


def measure_leases() -> None:
    """Prints records an hour and the time until another steward acts."""
    write_line(
        "hosts  appends/h  bytes/h  |  with kills: appends/h  "
        "requests/kill  until another acts: median, worst (lease periods)"
    )
    for hosts in HOSTS:
        quiet, killed = Hour(hosts, False), Hour(hosts, True)
        quiet.run()
        killed.run()
        size = sum(len(payload) for _, payload in quiet.records)
        requests = sum(b"lease_request" in row for _, row in killed.records)
        waits = sorted(
            wait / lease_lib.LEASE_SECONDS for wait in killed.outages
        )
        write_line(
            f"{hosts:5}  {len(quiet.records):9}  {size:7}  |  "
            f"{len(killed.records):24}  {requests / len(waits):13.2f}  "
            f"{waits[len(waits) // 2]:.2f}, {waits[-1]:.2f}"
        )


def make_table(runners: int, address: str) -> model.Table:
    """Returns a pool of that many engines with ``VERSIONS`` versions."""
    versions = [
        model.Version(
            "m",
            str(n),
            "llm",
            model.Stage.ACTIVE,
            1,
            1,
            1,
            0.8,
            0,
            max(1, runners // 4),
        )
        for n in range(VERSIONS)
    ]
    rows = [
        model.Server(f"s{n}", "llm", address, f"d{n % DOMAINS}", 8, True)
        for n in range(runners)
    ]
    service = model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())
    return model.Table(
        versions={row.key: row for row in versions},
        services={service.key: service},
        servers={row.key: row for row in rows},
    )


def settle(table: model.Table) -> dict[str, placement.EngineCondition]:
    """Returns the conditions in which no order is due."""
    conditions = {
        name: placement.EngineCondition(fencing=0) for name in table.servers
    }
    planner = planner_lib.Planner(unload_delay=0.0)
    while orders := planner.plan(
        table, rollouts.RolloutView(), conditions, 0, 0.0
    ):
        for order in orders:
            conditions[order.server.server] = placement.EngineCondition(
                0, order.wanted, order.wanted
            )
    return conditions


def time_plan(table: model.Table, passes: int = 5) -> float:
    """Returns seconds of processor time for one plan with nothing to do."""
    conditions = settle(table)
    planner = planner_lib.Planner()
    view = rollouts.RolloutView()
    began = time.process_time()
    for _ in range(passes):
        planner.plan(table, view, conditions, 0, 0.0)
    return (time.process_time() - began) / passes


async def time_reads(table: model.Table) -> float:
    """Returns seconds of processor time for reading each engine once."""
    async with sessions.make_session() as session:
        monitor = engines.EngineMonitor(engine_clients.EngineClient(session))
        rows = engines.listed_engines(table)
        await monitor.read_all(rows[:10], frozenset())
        began = time.process_time()
        await monitor.read_all(rows, frozenset())
        return time.process_time() - began


def measure_passes(address: str) -> None:
    """Prints what one reconcile pass costs, and its share of a core."""
    write_line("runners  plan ms  read-back ms  pass every s  share of a core")
    for runners in RUNNERS:
        table = make_table(runners, address)
        plan = time_plan(table)
        reads = asyncio.run(time_reads(table))
        period = engines.pass_interval(runners)
        write_line(
            f"{runners:7}  {plan * 1e3:7.2f}  {reads * 1e3:12.1f}  "
            f"{period:12.0f}  {(plan + reads) / period:14.2%}"
        )


def main() -> None:
    """Measures everything."""
    measure_leases()
    standin = pathlib.Path(sys.executable).parent / "hoistmoor-standin"
    with subprocess.Popen(
        [str(standin), "engine"], stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout
        try:
            measure_passes(process.stdout.readline().split()[1])
        finally:
            process.terminate()


if __name__ == "__main__":
    main()
