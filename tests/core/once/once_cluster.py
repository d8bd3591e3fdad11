"""Cluster of claimants on one log, with all faults controlled by the test.

Nothing happens by itself: appends are stored, replies arrive, records are read
and runs start only in explicit steps. A paused process is one without steps.
A step that violates an invariant raises AssertionError.
"""

from __future__ import annotations

import attrs

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.once import claimant as claimant_lib
from hoistmoor.core.once import messages
from hoistmoor.core.once import permits
from hoistmoor.core.once import records

WINDOW = 1000.0  # Seconds.
ACCOUNT = "acme"


@attrs.define(eq=False)
class Host:
    """One process, with its waiting requests, permits and append."""

    claimant: claimant_lib.Claimant
    waiting: dict[str, tuple[messages.KeyedRequest, messages.Wait]] = (
        attrs.field(factory=dict)
    )
    permits: list[tuple[str, permits.Permit]] = attrs.field(factory=list)
    append: records.ClaimBatch | None = None  # In flight.
    stored: bool = False  # Whether the log stored that append.


@attrs.define(eq=False)
class Cluster:
    """Hosts, the log, and a record of what actually ran."""

    make_claimant: type[claimant_lib.Claimant] = claimant_lib.Claimant
    retention: float = 2.5 * WINDOW
    now: float = 5000.0
    log: list[tuple[float, records.ClaimBatch]] = attrs.field(factory=list)
    first: int = 0
    hosts: list[Host] = attrs.field(factory=list)
    suspected_dead: set[identity.Incarnation] = attrs.field(factory=set)
    delayed: list[records.ClaimBatch] = attrs.field(factory=list)
    runs: dict[str, list[float]] = attrs.field(factory=dict)
    bodies: dict[str, list[bytes]] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    lost_keys: set[str] = attrs.field(factory=set)
    serial: int = 0

    def start(self, index: int) -> None:
        """Starts a host, or restarts it as a new incarnation."""
        self.serial += 1
        incarnation = identity.Incarnation(f"e{index}", self.serial)
        host = Host(
            self.make_claimant(
                incarnation,
                f"127.0.0.{index + 1}:80",
                lambda who: who not in self.suspected_dead,
                WINDOW,
            )
        )
        self._restart_reading(host)
        if index == len(self.hosts):
            self.hosts.append(host)
            return
        self._crash(self.hosts[index])
        self.hosts[index] = host

    def _crash(self, host: Host) -> None:
        self.suspected_dead.add(host.claimant.incarnation)
        if host.append is not None and not host.stored:
            self.delayed.append(host.append)
        # The outcome of everything in progress is lost with the process.
        self.lost_keys |= {r.key for r, _ in host.waiting.values()}
        self.lost_keys |= {permit.key for _, permit in host.permits}
        if host.claimant.outbox:
            self.lost_keys |= set(self.runs) | {"a", "b"}

    def begin(self, host: Host, key: str, forwarded: bool) -> None:
        """Sends a request from a caller to a host."""
        self.serial += 1
        request = messages.KeyedRequest(
            ACCOUNT, key, "f", f"r{self.serial}", forwarded
        )
        self._ask(host, request)

    def _ask(self, host: Host, request: messages.KeyedRequest) -> None:
        result = host.claimant.begin(request, self.now)
        host.waiting.pop(request.request_id, None)
        if isinstance(result, messages.Wait):
            host.waiting[request.request_id] = (request, result)
        elif isinstance(result, permits.Permit):
            assert request.request_id not in self.refused
            host.permits.append((request.request_id, result))
        elif isinstance(result, refusals.Refusal):
            self._check_refusal(request, result)
        elif isinstance(result, permits.StoredAnswer):
            assert result.body in self.bodies[request.key]

    def _check_refusal(
        self, request: messages.KeyedRequest, refusal: refusals.Refusal
    ) -> None:
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        self.refused.add(request.request_id)
        ran = self._ran_lately(request.key)
        assert not (refusal.key_outcome is outcomes.Outcome.NOT_RUN and ran)
        done = refusal.key_outcome is outcomes.Outcome.DONE
        assert not done or self.runs[request.key]

    def _ran_lately(self, key: str) -> bool:
        return any(at > self.now - WINDOW / 2 for at in self.runs.get(key, ()))

    def give_up(self, host: Host) -> None:
        """Lets the deadline of the longest waiting caller expire."""
        for request_id, (_, wait) in tuple(host.waiting.items())[:1]:
            del host.waiting[request_id]
            host.claimant.stop_waiting(wait, request_id)
            self.refused.add(request_id)
        self._wake(host)

    def _wake(self, host: Host) -> None:
        changed = host.claimant.pop_changes()
        for request, wait in tuple(host.waiting.values()):
            change = changed.get(wait.claim_id)
            if change is messages.Change.GIVEN_UP:
                del host.waiting[request.request_id]
                self.refused.add(request.request_id)
            elif change is not None:
                self._ask(host, request)

    def start_append(self, host: Host) -> None:
        """Starts the host's next append."""
        if host.append is None:
            host.append = host.claimant.next_batch()
            host.stored = False

    def land(self, host: Host) -> None:
        """Stores the host's append on the log, without a reply."""
        if host.append is not None and not host.stored:
            self._store(host.append)
            host.stored = True

    def _store(self, batch: records.ClaimBatch) -> None:
        self.log.append((self.now, batch))

    def reply(self, host: Host) -> None:
        """Delivers the reply of the log: stored, or not stored."""
        batch, host.append = host.append, None
        if batch is None:
            return
        if host.stored:
            host.claimant.on_append_stored(batch)
        else:
            host.claimant.on_append_refused(batch, self.now)
        self._wake(host)

    def lose_reply(self, host: Host) -> None:
        """Loses the reply; an unstored batch may still be stored later."""
        batch, host.append = host.append, None
        if batch is None:
            return
        if not host.stored:
            self.delayed.append(batch)
        host.claimant.on_append_lost(batch, self.now)

    def land_late(self, index: int) -> None:
        """Stores a delayed batch that its sender no longer waits for."""
        if self.delayed:
            self._store(self.delayed.pop(index % len(self.delayed)))

    def read(self, host: Host, count: int) -> None:
        """Reads up to ``count`` records at a host."""
        for _ in range(count):
            offset = host.claimant.view.next_offset
            if offset < self.first:
                self._restart_reading(host)
            elif offset < len(self.log):
                at, batch = self.log[offset]
                host.claimant.on_record(offset, at, batch)
                self._wake(host)

    def _restart_reading(self, host: Host) -> None:
        host.claimant.restart_reading(self.first)

    def read_all(self, host: Host) -> None:
        """Reads all remaining records at a host."""
        self.read(host, len(self.log) + 1)

    def run(
        self, host: Host, outcome: outcomes.Outcome = outcomes.Outcome.DONE
    ) -> None:
        """Runs the oldest permit of a host to its end."""
        if not host.permits:
            return
        request_id, permit = host.permits.pop(0)
        answer = None
        if outcome is not outcomes.Outcome.NOT_RUN:
            self._execute(request_id, permit)
        if outcome is outcomes.Outcome.DONE:
            answer = permits.StoredAnswer(200, "", request_id.encode(), "")
            self.bodies.setdefault(permit.key, []).append(answer.body)
        host.claimant.finish(permit, outcome, answer)
        self._wake(host)

    def run_and_crash(self, index: int) -> None:
        """Runs a permit, and crashes the host before it records the run."""
        host = self.hosts[index]
        if host.permits:
            self._execute(*host.permits[0])
        self.start(index)

    def _execute(self, request_id: str, permit: permits.Permit) -> None:
        assert request_id not in self.refused, "ran after it was refused"
        assert not self._ran_lately(permit.key), f"{permit.key} ran twice"
        self.runs.setdefault(permit.key, []).append(self.now)

    def wait_long(self, seconds: float) -> None:
        """Advances the clock past deadlines and expires old records."""
        for host in self.hosts:
            while host.waiting:
                self.give_up(host)
            while host.permits:
                self.run(host, outcomes.Outcome.NOT_RUN)
        self.delayed.clear()
        self.now += seconds
        for at, _ in self.log[self.first :]:
            if at >= self.now - self.retention:
                break
            self.first += 1

    def settle(self) -> None:
        """Ends all runs and completes everything in progress."""
        while self.delayed:
            self.land_late(0)
        for _ in range(6):
            for host in self.hosts:
                self.start_append(host)
                self.land(host)
                self.reply(host)
            for host in self.hosts:
                self.read_all(host)
            for host in self.hosts:
                while host.permits:
                    self.run(host, outcomes.Outcome.NOT_RUN)
            self.now += 2.0

    def check_usable(self, key: str) -> None:
        """Checks that a key can run, unless it ran or was lost in a crash."""
        self.settle()
        if key in self.lost_keys or self.runs.get(key):
            return
        if self.first:
            return  # A host that fell behind cannot recognize a free key.
        for host in self.hosts:
            while host.waiting:
                self.give_up(host)
        self.settle()
        host = self.hosts[0]
        self.begin(host, key, False)
        for _ in range(2):
            self.start_append(host)
            self.land(host)
            self.reply(host)
            self.read_all(host)
        assert host.permits, f"key {key} can never be run"
