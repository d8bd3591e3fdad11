"""Measures the steward: records on the log, takeovers, and reconcile passes.

Run ``python benchmarks/steward.py``. Leases run on a virtual clock with the
real lease logic. Plans and read-backs are measured in processor time of this
process, the latter against one engine stand-in in a separate process.
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

HOST_COUNTS = (4, 9, 36, 100, 360)
ENGINE_COUNTS = (10, 100, 300, 1000)
VERSION_COUNT = 12
HOUR_SECONDS = 3600.0
READ_DELAY = 0.02  # From an append until other stewards have read it.
KILL_INTERVAL = 300.0  # Between kills of the acting steward.
DOMAIN_COUNT = 7


def print_line(line: str) -> None:
    """Prints one line of the report."""
    sys.stdout.write(f"{line}\n")


@attrs.define
class LeaseSimulation:
    """Simulates one hour of stewards that only maintain the lease.

    Attributes:
        hosts: Number of stewards, one per host.
        has_kills: Whether the acting steward is killed every
            ``KILL_INTERVAL`` seconds.
        actors: The running stewards.
        records: Time and payload of the records on the log.
        outages: Seconds from each kill until another steward acts.
    """

    hosts: int
    has_kills: bool
    actors: list[actor_lib.Actor] = attrs.field(factory=list)
    records: list[tuple[float, bytes]] = attrs.field(factory=list)
    outages: list[float] = attrs.field(factory=list)

    def run(self) -> None:
        """Simulates the hour."""
        for number in range(self.hosts):
            self.start(f"host{number}", 0.0)
        next_kill = KILL_INTERVAL
        killed_at: float | None = None
        for tick in range(
            int(HOUR_SECONDS / background_tasks.LEASE_CHECK_INTERVAL)
        ):
            for index, actor in enumerate(self.actors):
                phase = (
                    background_tasks.LEASE_CHECK_INTERVAL * index / self.hosts
                )
                now = tick * background_tasks.LEASE_CHECK_INTERVAL + phase
                self.poll(actor, now)
                if actor.active_fencing_token(now) is None:
                    continue
                if killed_at is not None:
                    self.outages.append(now - killed_at)
                    killed_at = None
                if self.has_kills and now >= next_kill:
                    self.kill(index, now)
                    killed_at = now
                    next_kill += KILL_INTERVAL

    def start(self, host: str, now: float) -> actor_lib.Actor:
        """Starts a steward at a host."""
        incarnation = identity.Incarnation(host, int(now * 1000))
        actor = actor_lib.Actor(incarnation)
        actor.begin(0, now)
        self.actors.append(actor)
        return actor

    def kill(self, index: int, now: float) -> None:
        """Kills a steward and starts another at the same host."""
        self.start(self.actors[index].incarnation.host, now)
        self.actors[index] = self.actors.pop()

    def poll(self, actor: actor_lib.Actor, now: float) -> None:
        """Lets a steward read the log and append a lease record if due."""
        for offset in range(actor.fold.next_offset, len(self.records)):
            at, payload = self.records[offset]
            if at + READ_DELAY > now:
                break
            actor.on_record(offset, at, codec.decode(payload), now)
        record = actor.next_lease_record(now)
        if record is not None:
            self.records.append((now, codec.encode(record)))


def measure_leases() -> None:
    """Prints records per hour and the time until another steward acts."""
    print_line(
        "hosts  appends/h  bytes/h  |  with kills: appends/h  "
        "requests/kill  until another acts: median, worst (lease periods)"
    )
    for hosts in HOST_COUNTS:
        undisturbed, disturbed = (
            LeaseSimulation(hosts, False),
            LeaseSimulation(hosts, True),
        )
        undisturbed.run()
        disturbed.run()
        size = sum(len(payload) for _, payload in undisturbed.records)
        requests = sum(b"lease_request" in row for _, row in disturbed.records)
        gaps = sorted(
            gap / lease_lib.LEASE_SECONDS for gap in disturbed.outages
        )
        print_line(
            f"{hosts:5}  {len(undisturbed.records):9}  {size:7}  |  "
            f"{len(disturbed.records):24}  {requests / len(gaps):13.2f}  "
            f"{gaps[len(gaps) // 2]:.2f}, {gaps[-1]:.2f}"
        )


def make_table(engine_count: int, address: str) -> model.Table:
    """Returns a table with a pool of engines."""
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
            max(1, engine_count // 4),
        )
        for n in range(VERSION_COUNT)
    ]
    rows = [
        model.Server(f"s{n}", "llm", address, f"d{n % DOMAIN_COUNT}", 8, True)
        for n in range(engine_count)
    ]
    service = model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())
    return model.Table(
        versions={row.key: row for row in versions},
        services={service.key: service},
        servers={row.key: row for row in rows},
    )


def make_settled_conditions(
    table: model.Table,
) -> dict[str, placement.EngineCondition]:
    """Returns engine conditions in which the planner has nothing to do."""
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
    """Returns the processor time of a plan without orders, in seconds."""
    conditions = make_settled_conditions(table)
    planner = planner_lib.Planner()
    view = rollouts.RolloutView()
    start = time.process_time()
    for _ in range(passes):
        planner.plan(table, view, conditions, 0, 0.0)
    return (time.process_time() - start) / passes


async def time_reads(table: model.Table) -> float:
    """Returns the processor time of reading each engine, in seconds."""
    async with sessions.make_session() as session:
        monitor = engines.EngineMonitor(engine_clients.EngineClient(session))
        rows = engines.listed_engines(table)
        await monitor.read_all(rows[:10], frozenset())
        start = time.process_time()
        await monitor.read_all(rows, frozenset())
        return time.process_time() - start


def measure_passes(address: str) -> None:
    """Prints the cost of a reconcile pass, and its fraction of a core."""
    print_line("runners  plan ms  read-back ms  pass every s  share of a core")
    for engine_count in ENGINE_COUNTS:
        table = make_table(engine_count, address)
        plan = time_plan(table)
        read_back = asyncio.run(time_reads(table))
        interval = engines.pass_interval(engine_count)
        print_line(
            f"{engine_count:7}  {plan * 1e3:7.2f}  {read_back * 1e3:12.1f}  "
            f"{interval:12.0f}  {(plan + read_back) / interval:14.2%}"
        )


def main() -> None:
    """Prints the report."""
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
