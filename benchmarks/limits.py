"""Measures admission, the queue under overload, and the records of shares.

Run ``python benchmarks/limits.py`` for all parts, or name some of ``gate``,
``queue``, ``overload``, ``declines``, ``shares``, ``start``, ``outage``. Only
``gate`` and ``queue`` depend on the machine; the others run on a virtual clock
with fixed seeds.
"""

from __future__ import annotations

import asyncio
import collections
import heapq
import itertools
import random
import statistics
import sys
import time

import attrs

from hoistmoor.clients import log as log_client
from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core.limits import adaptive
from hoistmoor.core.limits import ledger as ledger_lib
from hoistmoor.core.limits import queue
from hoistmoor.core.limits import records
from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.table import model
from hoistmoor.entry import admission_control
from hoistmoor.entry import share_exchange

DAY = 20_000
DAY_START = float(DAY * records.SECONDS_PER_DAY)
SEEDS = range(5)
ACCOUNT_COUNT = 10
TOTAL_DEMAND = 425_000.0  # Micros a second in total: 850 requests of 500 each.
STEP_SECONDS = 10.0  # Between two plans of a host.
REQUESTS_PER_STEP = 4  # Per host and account, in an outage.
URGENT, NORMAL, DEFERRABLE = queue.PRIORITY_ORDER


def print_line(text: str) -> None:
    """Prints one line of the report at once."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def percentile(values: list[float], quantile: float) -> float:
    """Returns the given quantile of ``values``."""
    return sorted(values)[int(quantile * (len(values) - 1))]


def make_table(accounts: int, spend_limit: int) -> model.ActiveTable:
    """Returns a table of accounts with the same spend limit."""
    rows = [
        model.Account(f"a{n}", (), spend_limit, 1e6, 1_000_000)
        for n in range(accounts)
    ]
    return model.ActiveTable(
        1, model.Table(accounts={row.account: row for row in rows})
    )


class InMemoryLog:
    """An in-memory log without delay."""

    def __init__(self) -> None:
        self.records: list[log_client.LogRecord] = []
        self.grown = asyncio.Event()

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset."""
        offset = len(self.records)
        self.records.append(log_client.LogRecord(offset, time.time(), payload))
        self.grown.set()
        return offset

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Returns records from ``start`` on, waiting for the first."""
        while len(self.records) <= start:
            self.grown.clear()
            await self.grown.wait()
        result = tuple(self.records[start : start + limit])
        return log_client.LogPage(0, start + len(result), result)

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns the bounds of the log."""
        return log_client.LogBounds(0, len(self.records))


async def measure_admission(hosts: int, rounds: int = 10_000) -> None:
    """Times admission and release of requests that local shares cover."""
    controller = admission_control.AdmissionController(
        InMemoryLog(), identity.Incarnation("h0", 1)
    )
    controller.on_table(make_table(10, 10**12))
    controller.on_hosts(
        [rendezvous.HomeHost(f"h{n}", "d") for n in range(hosts)]
    )
    controller.start()
    samples = []
    for n in range(rounds + 500):
        begin = time.perf_counter()
        admitted = await controller.admit(
            f"a{n % 10}", URGENT, time.time() + 30.0, 100, "llm"
        )
        if not isinstance(admitted, admission_control.AdmittedRequest):
            raise TypeError(f"not admitted: {admitted}")
        controller.release(admitted, 100)
        samples.append((time.perf_counter() - begin) * 1e6)
    await controller.stop()
    samples = samples[500:]
    print_line(
        f"gate: {hosts} hosts, admit+release"
        f" median {statistics.median(samples):.1f} us,"
        f" p99 {percentile(samples, 0.99):.1f} us"
    )


def measure_queue(waiting: int) -> None:
    """Times offered and finished requests while ``waiting`` requests wait."""
    pool = queue.AdmissionQueue(64, max_waiting=waiting + 1_000)
    serials = itertools.count()
    rng = random.Random(1)

    def offer() -> None:
        priority = rng.choice(queue.PRIORITY_ORDER)
        deadline = 1e6 + rng.random()
        pool.offer(queue.Entry(next(serials), priority, deadline), 0.0)

    while len(pool.waiting) < waiting:
        offer()
    rounds = 5_000
    begin = time.perf_counter()
    for _ in range(rounds):
        offer()
        priority_to_finish = max(
            queue.PRIORITY_ORDER, key=lambda priority: pool.running[priority]
        )
        pool.finish(priority_to_finish, 0.01, 0.0)
    each = (time.perf_counter() - begin) / rounds * 1e6
    remaining = len(pool.waiting)
    begin = time.perf_counter()
    pool.tick(2e6)
    expiry = (time.perf_counter() - begin) * 1e3
    print_line(
        f"queue: {waiting} waiting, offer+finish {each:.1f} us;"
        f" {remaining} expire at once in {expiry:.1f} ms"
    )


class FirstInFirstOut(queue.AdmissionQueue):
    """The baseline: one priority, no headroom, no deadlines."""

    def offer(self, entry: queue.Entry, now: float) -> tuple[queue.Effect, ...]:
        """Queues every request with the same priority."""
        entry = attrs.evolve(entry, priority=URGENT, deadline=1e18)
        return super().offer(entry, now)

    def finish(
        self, priority: model.Priority, seconds: float | None, now: float
    ) -> tuple[queue.Effect, ...]:
        """Frees a slot."""
        return super().finish(URGENT, seconds, now)


@attrs.frozen
class Workload:
    """Requests that one pool gets; values by priority, the highest first.

    Attributes:
        name: Label in the report.
        load_fractions: Fraction of the load.
        service_seconds: Mean service time.
        deadline_seconds: Time from arrival to the deadline.
    """

    name: str
    load_fractions: tuple[float, float, float]
    service_seconds: tuple[float, float, float]
    deadline_seconds: tuple[float, float, float]


WORKLOADS = (
    Workload("alike", (0.3, 0.3, 0.4), (0.05, 0.05, 0.05), (2.0, 2.0, 5.0)),
    Workload(
        "long others", (0.3, 0.3, 0.4), (0.2, 1.0, 4.0), (5.0, 10.0, 60.0)
    ),
)


@attrs.define
class Outcome:
    """Results of one simulation.

    Attributes:
        latencies: Seconds from arrival to completion of each completed urgent
            request.
        waits: The part of the latencies spent in the queue.
        offered: Requests by priority.
        done: Requests completed within their deadline, by priority.
    """

    latencies: list[float] = attrs.field(factory=list)
    waits: list[float] = attrs.field(factory=list)
    offered: collections.Counter[str] = attrs.field(factory=collections.Counter)
    done: collections.Counter[str] = attrs.field(factory=collections.Counter)


class PoolSimulation:
    """Simulates Poisson arrivals and exponential service times at a queue."""

    def __init__(
        self,
        pool: queue.AdmissionQueue,
        workload: Workload,
        load: float,
        seed: int,
    ) -> None:
        self.pool = pool
        self.workload = workload
        self.rates = [
            load * fraction * pool.slots / seconds
            for fraction, seconds in zip(
                workload.load_fractions, workload.service_seconds, strict=True
            )
        ]
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.events: list[tuple[float, int, bool, int]] = []
        self.order = itertools.count()
        self.arrivals: dict[int, tuple[float, int]] = {}
        self.service_starts: dict[int, float] = {}

    def run(self, horizon: float) -> Outcome:
        """Simulates ``horizon`` seconds and returns the results."""
        for index in range(len(queue.PRIORITY_ORDER)):
            self.plan_arrival(index, 0.0)
        while self.events[0][0] < horizon:
            now, serial, is_arrival, value = heapq.heappop(self.events)
            self.expire(now)
            if is_arrival:
                self.arrive(serial, value, now)
            else:
                self.finish(value, now)
        return self.outcome

    def plan_arrival(self, index: int, now: float) -> None:
        """Schedules the next arrival of a priority."""
        at = now + self.rng.expovariate(self.rates[index])
        heapq.heappush(self.events, (at, next(self.order), True, index))

    def expire(self, now: float) -> None:
        """Runs the expiries of the queue that are due by ``now``."""
        while (expiry := self.pool.next_expiry()) is not None:
            if expiry > now:
                return
            self.apply_effects(self.pool.tick(expiry), expiry)

    def arrive(self, serial: int, index: int, now: float) -> None:
        """Offers a request to the queue and schedules the next one."""
        priority = queue.PRIORITY_ORDER[index]
        deadline = now + self.workload.deadline_seconds[index]
        self.arrivals[serial] = (now, index)
        self.outcome.offered[priority] += 1
        entry = queue.Entry(serial, priority, deadline)
        self.apply_effects(self.pool.offer(entry, now), now)
        self.plan_arrival(index, now)

    def finish(self, serial: int, now: float) -> None:
        """Completes a request and frees its slot."""
        at, index = self.arrivals.pop(serial)
        begin = self.service_starts.pop(serial)
        priority = queue.PRIORITY_ORDER[index]
        if now - at <= self.workload.deadline_seconds[index]:
            self.outcome.done[priority] += 1
        if priority is URGENT:
            self.outcome.latencies.append(now - at)
            self.outcome.waits.append(begin - at)
        self.apply_effects(self.pool.finish(priority, now - begin, now), now)

    def apply_effects(
        self, effects: tuple[queue.Effect, ...], now: float
    ) -> None:
        """Starts the requests that the queue admitted."""
        for effect in effects:
            if isinstance(effect, queue.Refuse):
                del self.arrivals[effect.serial]
                continue
            index = self.arrivals[effect.serial][1]
            seconds = self.rng.expovariate(
                1 / self.workload.service_seconds[index]
            )
            self.service_starts[effect.serial] = now
            end = (now + seconds, next(self.order), False, effect.serial)
            heapq.heappush(self.events, end)


def measure_overload() -> None:
    """Compares urgent requests at loads of 0.5 and 2.0 of the capacity."""
    policies = {"priority": queue.AdmissionQueue, "fifo": FirstInFirstOut}
    for workload, (name, make_queue) in itertools.product(
        WORKLOADS, policies.items()
    ):
        ratios = []
        for seed in SEEDS:
            horizon = 1_000 * max(workload.service_seconds)
            half_loaded, overloaded = (
                PoolSimulation(make_queue(20), workload, load, seed).run(
                    horizon
                )
                for load in (0.5, 2.0)
            )
            ratio = percentile(overloaded.latencies, 0.99) / percentile(
                half_loaded.latencies, 0.99
            )
            ratios.append(ratio)
        completed_fractions = {
            str(priority): round(
                overloaded.done[priority] / overloaded.offered[priority], 2
            )
            for priority in queue.PRIORITY_ORDER
        }
        print_line(
            f"overload: {workload.name}, {name}:"
            " urgent p99 at 2.0 over 0.5 load"
            f" {min(ratios):.2f}..{max(ratios):.2f} (5 seeds);"
            f" wait p99 {percentile(overloaded.waits, 0.99) * 1e3:.0f} ms,"
            f" p50 {percentile(overloaded.waits, 0.5) * 1e3:.0f} ms;"
            f" in time at 2.0 {completed_fractions}"
        )


def measure_declines(adapt: bool) -> None:
    """Counts declined requests at a pool that lost half of its servers."""
    declined = done = 0
    for seed in SEEDS:
        rng = random.Random(seed)
        slots = adaptive.AdaptiveSlots(2, 20, 20.0)
        running: list[float] = []
        now = 0.0
        while now < 300.0:
            # Closed loop: callers keep every slot of this host busy.
            while len(running) < slots.slots:
                if len(running) < 10:
                    end = now + rng.expovariate(2.0)
                    heapq.heappush(running, end)
                    continue
                declined += 1
                if adapt:
                    slots.on_decline(now)
                break
            now = heapq.heappop(running)
            done += 1
            if adapt:
                slots.on_success(len(running) + 1)
    print_line(
        f"declines: adaptive {adapt}: {declined / (declined + done):.3f}"
        f" of attempts declined, {done / 300 / len(SEEDS):.1f} done a second"
        " (10 of 20 slots are real, 0.5 s each: 20 a second at most)"
    )


class ShareSimulation:
    """Simulates the share ledgers of many hosts that use one log.

    Demand is constant and differs between hosts and accounts.

    Args:
        hosts: Entry hosts.
        limit_days: Spend limit of each account, in days of its demand.
    """

    def __init__(self, hosts: int, limit_days: float) -> None:
        weights = [1 / (n + 1) for n in range(ACCOUNT_COUNT)]
        self.demand = {
            f"a{n}": TOTAL_DEMAND * weight / sum(weights)
            for n, weight in enumerate(weights)
        }
        day = records.SECONDS_PER_DAY * limit_days
        rows = {
            name: model.Account(name, (), int(rate * day), 1e6, 10**6)
            for name, rate in self.demand.items()
        }
        self.limits = {name: row.spend_limit for name, row in rows.items()}
        self.in_force = model.ActiveTable(1, model.Table(accounts=rows))
        rng = random.Random(1)
        host_weights = [rng.uniform(0.2, 1.8) for _ in range(hosts)]
        self.demand_fractions = [
            weight / sum(host_weights) for weight in host_weights
        ]
        self.ledgers = [self.make_ledger(n, hosts) for n in range(hosts)]
        self.log: list[tuple[float, object]] = []
        self.spent: collections.Counter[str] = collections.Counter()
        self.requested: collections.Counter[str] = collections.Counter()

    def make_ledger(self, number: int, hosts: int) -> ledger_lib.ShareLedger:
        """Returns the ledger of one host."""
        ledger = ledger_lib.ShareLedger(identity.Incarnation(f"h{number}", 1))
        ledger.hosts = hosts
        ledger.in_force = self.in_force
        ledger.fold.restart(0)
        return ledger

    def step(self, now: float) -> None:
        """Simulates one step of all hosts."""
        for ledger, fraction in zip(
            self.ledgers, self.demand_fractions, strict=True
        ):
            shortfalls = self.spend(ledger, fraction, now)
            self.log.extend(
                (now, item) for item in ledger.plan(now, shortfalls)
            )
        self.read(now)

    def read(self, now: float) -> None:
        """Lets all hosts read the log to its end."""
        for ledger in self.ledgers:
            for offset in range(ledger.fold.next_offset, len(self.log)):
                at, record = self.log[offset]
                ledger.apply(offset, at, record, now)

    def begin_outage(self) -> None:
        """Makes the log unavailable and replaces one host in ten."""
        for number in range(0, len(self.ledgers), 10):
            ledger = ledger_lib.ShareLedger(
                identity.Incarnation(f"h{number}", 2)
            )
            ledger.hosts = len(self.ledgers)
            ledger.in_force = self.in_force
            self.ledgers[number] = ledger
        for ledger in self.ledgers:
            ledger.log_is_up = False
        self.rng = random.Random(2)
        self.transfer_requests = self.transferred_bytes = 0
        self.backoff_until: dict[tuple[int, str], tuple[float, int]] = {}
        self.outage_costs = {False: [0, 0], True: [0, 0]}

    def step_outage(self, now: float) -> None:
        """Simulates one step of all hosts while the log is unavailable."""
        for number, fraction in enumerate(self.demand_fractions):
            for account, rate in self.demand.items():
                # The urgent requests of a host and account run one by one.
                cost = max(
                    1, int(rate * fraction * STEP_SECONDS / REQUESTS_PER_STEP)
                )
                tally = self.outage_costs[number % 10 == 0]
                for _ in range(REQUESTS_PER_STEP):
                    tally[1] += cost
                    self.requested[account] += cost
                    if self.try_spend(number, account, cost, now):
                        tally[0] += cost
                        self.spent[account] += cost

    def try_spend(
        self, number: int, account: str, cost: int, now: float
    ) -> bool:
        """Spends a cost, with transfers from peers if needed.

        Follows the same rules as ``ShareExchange``.
        """
        ledger = self.ledgers[number]
        retry_at, failures = self.backoff_until.get((number, account), (0.0, 0))
        result = ledger.reserve(account, cost, DAY, now)
        others = [n for n in range(len(self.ledgers)) if n != number]
        if result is not ledger_lib.ReserveResult.RESERVED and now >= retry_at:
            for peer in self.rng.sample(others, share_exchange.MAX_PEERS_ASKED):
                self.request_transfer(ledger, peer, account, cost, now)
                result = ledger.reserve(account, cost, DAY, now)
                if result is ledger_lib.ReserveResult.RESERVED:
                    break
            is_covered = result is ledger_lib.ReserveResult.RESERVED
            backoff = share_exchange.BACKOFF_SECONDS * 2.0 ** min(failures, 10)
            backoff = min(backoff, share_exchange.MAX_BACKOFF_SECONDS)
            self.backoff_until[number, account] = (
                (0.0, 0) if is_covered else (now + backoff, failures + 1)
            )
        if result is not ledger_lib.ReserveResult.RESERVED:
            return False
        ledger.local_shares.settle(account, DAY, cost, cost)
        return True

    def request_transfer(
        self,
        ledger: ledger_lib.ShareLedger,
        peer: int,
        account: str,
        cost: int,
        now: float,
    ) -> None:
        """Requests a transfer from a peer and accepts its response."""
        request = ledger.request_transfer(
            f"h{peer}", account, cost, DAY, urgent=True
        )
        response = self.ledgers[peer].grant_transfer(request, now)
        ledger.transfers.accept(response)
        self.transfer_requests += 1
        self.transferred_bytes += len(codec.encode(request)) + len(
            codec.encode(response)
        )

    def spend(
        self, ledger: ledger_lib.ShareLedger, fraction: float, now: float
    ) -> dict[str, int]:
        """Spends the demand of one step; returns the uncovered costs."""
        shortfalls: dict[str, int] = {}
        for account, rate in self.demand.items():
            cost = int(rate * fraction * STEP_SECONDS)
            self.requested[account] += cost
            result = ledger.reserve(account, cost, DAY, now)
            if result is ledger_lib.ReserveResult.RESERVED:
                ledger.local_shares.settle(account, DAY, cost, cost)
                self.spent[account] += cost
            elif result is ledger_lib.ReserveResult.WAIT:
                shortfalls[account] = cost
        return shortfalls

    def check_limits(self) -> None:
        """Raises an error if an account exceeded its spend limit."""
        for account, limit in self.limits.items():
            if self.spent[account] > limit:
                raise AssertionError(
                    f"account {account} exceeded its spend limit"
                )


def measure_shares(hosts: int, limit_days: float, seconds: int) -> None:
    """Counts the appended records of a simulation."""
    run = ShareSimulation(hosts, limit_days)
    for tick in range(int(seconds / STEP_SECONDS)):
        run.step(DAY_START + 1.0 + tick * STEP_SECONDS)
    run.check_limits()
    allowed = sum(
        min(limit, run.requested[name]) for name, limit in run.limits.items()
    )
    late_count = sum(at > DAY_START + seconds / 2 for at, _ in run.log)
    minutes = collections.Counter(at // 60 for at, _ in run.log)
    size = sum(len(codec.encode(record)) for _, record in run.log)
    print_line(
        f"shares: {hosts} hosts, {ACCOUNT_COUNT} accounts, limits of"
        f" {limit_days:g} days of demand, {seconds} s:"
        f" {len(run.log)} appends of {size / len(run.log):.0f} bytes,"
        f" {late_count / (seconds / 2) * 3600:.0f} an hour in the second half,"
        f" busiest minute {max(minutes.values()) / 60:.2f} a second;"
        f" {run.spent.total() / allowed:.4f} of what the limits allow spent"
    )


def measure_start(hosts: int, known: bool) -> None:
    """Counts the records of hosts that all start within one second.

    Args:
        hosts: Entry hosts.
        known: Whether they know each other from the start, or only after 3 s.
    """
    run = ShareSimulation(hosts, 1.25)
    rng = random.Random(1)
    start_times = [DAY_START + 36_000.0 + rng.random() for _ in run.ledgers]
    if not known:
        for ledger in run.ledgers:
            ledger.hosts = 1
    for tick in range(300):
        now = DAY_START + 36_000.0 + tick * 0.1
        if tick == 30:
            for ledger in run.ledgers:
                ledger.hosts = hosts
        for ledger, begin in zip(run.ledgers, start_times, strict=True):
            # Each host plans once a second.
            if now >= begin and (now - begin) % 1.0 < 0.1:
                run.log.extend((now, item) for item in ledger.plan(now, {}))
        run.read(now)
    seconds = collections.Counter(int(at) for at, _ in run.log)
    sizes = [len(codec.encode(record)) for _, record in run.log]
    sums = run.ledgers[0].fold.sums.values()
    highest_fraction = max(item.granted / item.limit for item in sums)
    early_records = [item for at, item in run.log if at < DAY_START + 36_004.0]
    first_count = collections.Counter(
        item.asks[0].account for item in early_records
    ).total()
    print_line(
        f"start: {hosts} hosts at once, {ACCOUNT_COUNT} accounts, others known"
        f" {'with the table' if known else 'after 3 s'}:"
        f" {first_count} appends in"
        f" 4 s, {len(run.log)} in 30 s, most in one second"
        f" {max(seconds.values())}, {sum(sizes) / len(sizes):.0f} bytes each,"
        f" {sum(sizes)} bytes read by each host;"
        f" {highest_fraction:.4f} of a limit held"
    )


def measure_outage(hosts: int, load: float, seconds: int) -> None:
    """Counts transfer requests and refused requests in an outage of the log.

    The hosts have run for ten minutes when the log becomes unavailable and
    one host in ten is replaced by a new process without shares.

    Args:
        hosts: Entry hosts.
        load: Demand of each account divided by its limit, both per day.
        seconds: Length of the outage.
    """
    run = ShareSimulation(hosts, 1 / load)
    for tick in range(60):
        run.step(DAY_START + 36_000.0 + tick * STEP_SECONDS)
    run.begin_outage()
    begin = DAY_START + 36_600.0
    for tick in range(int(seconds / STEP_SECONDS)):
        run.step_outage(begin + tick * STEP_SECONDS)
    run.check_limits()
    for text, is_new in (("hosts that ran", False), ("new hosts", True)):
        served_cost, requested_cost = run.outage_costs[is_new]
        print_line(
            f"outage: {hosts} hosts, demand {load:g} of the limits,"
            f" {seconds} s: {text} served"
            f" {served_cost / max(1, requested_cost):.4f}"
        )
    size = run.transferred_bytes / max(1, run.transfer_requests)
    rate = run.transferred_bytes / seconds / hosts
    print_line(
        f"outage: {run.transfer_requests} asks between peers,"
        f" {size:.0f} bytes each with the"
        f" answer, {rate:.1f} bytes a second for each host"
    )


def _measure_admission() -> None:
    for hosts in (9, 360):
        asyncio.run(measure_admission(hosts))


def _measure_queues() -> None:
    for waiting in (100, 1_000, 10_000):
        measure_queue(waiting)


def _measure_declines() -> None:
    for adapt in (False, True):
        measure_declines(adapt)


def _measure_shares() -> None:
    for hosts in (9, 45, 90, 360):
        measure_shares(hosts, 1.25, 4 * 3_600)
    for hosts in (9, 90, 360):
        measure_shares(hosts, 0.02, 3_600)


def _measure_starts() -> None:
    for hosts in (9, 45, 90, 360):
        for known in (True, False):
            measure_start(hosts, known)


def _measure_outages() -> None:
    for hosts in (9, 45, 90, 360):
        measure_outage(hosts, 0.8, 3_600)
    for hosts in (9, 90):
        measure_outage(hosts, 0.8, 6 * 3_600)


PARTS = {
    "gate": _measure_admission,
    "queue": _measure_queues,
    "overload": measure_overload,
    "declines": _measure_declines,
    "shares": _measure_shares,
    "start": _measure_starts,
    "outage": _measure_outages,
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()


if __name__ == "__main__":
    main()
