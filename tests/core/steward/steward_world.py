"""Simulates several stewards, a log and engines in one process.

Records and orders do not take effect when they are decided. They are added to
``in_flight`` and the test delivers them, late or never, so that a steward can
pause or end between a decision and its effect.
"""

from __future__ import annotations

from typing import Any

import attrs

from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core.routing import exposure
from hoistmoor.core.steward import actor as actor_lib
from hoistmoor.core.steward import evidence
from hoistmoor.core.steward import fold as fold_lib
from hoistmoor.core.steward import placement
from hoistmoor.core.steward import planner as planner_lib
from hoistmoor.core.steward import records
from hoistmoor.core.steward import state as state_lib
from hoistmoor.core.table import model

OLD = "m@1"
NEW = "m@2"
UNLOAD_DELAY = 5.0


def make_version(number: int, stage: model.Stage) -> model.Version:
    return model.Version("m", str(number), "llm", stage, 1.0, 1, 1, 0.8, 40, 2)


CANDIDATE = make_version(2, model.Stage.CANDIDATE)
DIGEST = exposure.row_digest(CANDIDATE)


def make_table(servers: int = 4, domains: int = 2) -> model.Table:
    versions = (
        make_version(1, model.Stage.ACTIVE),
        CANDIDATE,
    )
    rows = [
        model.Server(
            f"s{n}", "llm", f"10.0.0.{n}:1", f"d{n % domains}", 8, n % 2 == 0
        )
        for n in range(servers)
    ]
    return model.Table(
        versions={version.key: version for version in versions},
        services={
            "llm": model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())
        },
        servers={row.server: row for row in rows},
    )


@attrs.define
class Log:
    """The stream and a reference fold that has applied all its records."""

    entries: list[tuple[float, bytes]] = attrs.field(factory=list)
    is_up: bool = True
    reference: fold_lib.StewardFold = attrs.field(factory=fold_lib.StewardFold)
    states: list[state_lib.StewardState] = attrs.field(factory=list)
    accepted: list[Any] = attrs.field(factory=list)

    def append(self, record: Any, at: float) -> int:
        """Stores a record and applies it to the reference fold."""
        payload = codec.encode(record)
        offset = len(self.entries)
        self.entries.append((at, payload))
        result = self.reference.apply(offset, at, codec.decode(payload))
        if result is fold_lib.ApplyResult.ACCEPTED:
            self.accepted.append((offset, record))
        self.states.append(self.reference.state)
        return offset


@attrs.define
class Engine:
    """An engine; rejects stale fencing tokens if ``checks_fencing`` is set."""

    checks_fencing: bool
    condition: placement.EngineCondition = attrs.field(
        factory=lambda: placement.EngineCondition(
            wanted=frozenset({OLD}), loaded=frozenset({OLD})
        )
    )
    accepted_tokens: list[int] = attrs.field(factory=list)

    def order(self, fencing: int, wanted: frozenset[str]) -> bool:
        """Accepts or rejects an order and returns whether it was accepted."""
        if self.checks_fencing and fencing < self.condition.fencing:
            return False
        self.accepted_tokens.append(fencing)
        loaded = self.condition.loaded & wanted
        self.condition = placement.EngineCondition(
            max(fencing, self.condition.fencing),
            wanted,
            loaded,
            wanted - loaded,
        )
        return True

    def finish_loading(self) -> None:
        """Completes the loading of all wanted versions."""
        self.condition = attrs.evolve(
            self.condition, loaded=self.condition.wanted, loading=frozenset()
        )

    def restart(self) -> None:
        """Loses all state."""
        self.condition = placement.EngineCondition()
        self.accepted_tokens = []


@attrs.define
class Steward:
    """One steward process."""

    actor: actor_lib.Actor
    planner: planner_lib.Planner
    paused: bool = False


@attrs.define
class World:
    """The whole simulation; ``now`` is the current time in seconds."""

    table: model.Table = attrs.field(factory=make_table)
    log: Log = attrs.field(factory=Log)
    now: float = 1000.0
    stewards: list[Steward] = attrs.field(factory=list)
    engines: dict[str, Engine] = attrs.field(factory=dict)
    in_flight: list[Any] = attrs.field(factory=list)
    started: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates an engine for each backend server."""
        for name, row in self.table.servers.items():
            self.engines[name] = Engine(row.checks_fencing)

    def start(self, host: str) -> Steward:
        """Starts a steward process."""
        self.started += 1
        me = identity.Incarnation(host, self.started)
        steward = Steward(
            actor_lib.Actor(
                me, policy=evidence.EvidencePolicy(ratings_per_stage=2)
            ),
            planner_lib.Planner(UNLOAD_DELAY),
        )
        steward.actor.begin(0, self.now)
        self.stewards.append(steward)
        return steward

    def restart(self, index: int) -> None:
        """Replaces a process by a new incarnation."""
        host = self.stewards[index].actor.incarnation.host
        self.start(host)
        self.stewards[index] = self.stewards.pop()

    def read(self, steward: Steward) -> None:
        """Reads to the end of the stream, if the log is up."""
        if not self.log.is_up:
            return
        fold = steward.actor.fold
        for offset in range(fold.next_offset, len(self.log.entries)):
            at, payload = self.log.entries[offset]
            record = codec.decode(payload)
            steward.actor.on_record(offset, at, record, self.now)

    def decide_lease(self, steward: Steward) -> None:
        """Adds the due lease record to ``in_flight``."""
        record = steward.actor.next_lease_record(self.now)
        if record is not None:
            self.in_flight.append(record)

    def decide_rollouts(self, steward: Steward) -> None:
        """Adds the due rollout records to ``in_flight``."""
        self.in_flight += steward.actor.rollout_records(self.table, self.now)

    def plan(
        self, steward: Steward, fencing: int
    ) -> tuple[planner_lib.PlannedOrder, ...]:
        """Returns the due orders."""
        return steward.planner.plan(
            self.table,
            steward.actor.view(),
            {name: engine.condition for name, engine in self.engines.items()},
            fencing,
            self.now,
        )

    def decide_orders(self, steward: Steward) -> None:
        """Adds the due orders to ``in_flight``."""
        fencing = steward.actor.active_fencing_token(self.now)
        if fencing is not None:
            self.in_flight += [
                (fencing, order) for order in self.plan(steward, fencing)
            ]

    def deliver(self, index: int) -> None:
        """Delivers one record or order."""
        effect = self.in_flight.pop(index)
        if isinstance(effect, tuple):
            fencing, order = effect
            self.engines[order.server.server].order(fencing, order.wanted)
        elif self.log.is_up:
            self.log.append(effect, self.now)

    def deliver_all(self) -> None:
        """Delivers all records and orders."""
        while self.in_flight:
            self.deliver(0)

    def rate(self, good: int, bad: int) -> None:
        """Adds a record of the lease holder with ratings of the new version."""
        state = self.log.reference.state
        if state.lease is None or state.lease.released:
            return
        start = state.ratings_next
        count = {NEW: records.RatedCount(good, bad)}
        self.in_flight.append(
            records.EvidenceCounted(
                start, start + good + bad, count, state.lease.fencing
            )
        )

    def settle(self, rounds: int = 40) -> None:
        """Runs all stewards without faults until the state is stable."""
        self.log.is_up = True
        self.deliver_all()
        for _ in range(rounds):
            self.now += 3.0
            for steward in self.stewards:
                steward.paused = False
                self.run_duties(steward)
            for engine in self.engines.values():
                engine.finish_loading()

    def run_duties(self, steward: Steward) -> None:
        """Runs all duties of one steward without faults."""
        for decide in (
            self.decide_lease,
            self.decide_rollouts,
            self.decide_orders,
        ):
            self.read(steward)
            decide(steward)
            self.deliver_all()
        self.read(steward)
