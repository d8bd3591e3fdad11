"""Measures admission, the queue under overload, and appends for shares.

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
MIDNIGHT = float(DAY * records.SECONDS_PER_DAY)
SEEDS = range(5)
ACCOUNTS = 10
DEMAND = 425_000.0  # Micros a second in all: 850 requests of 500 each.
STEP = 10.0  # Seconds between two plans of a host.
PIECES = 4  # Requests of a host and account in one step of an outage.
URGENT, NORMAL, DEFERRABLE = queue.PRIORITY_ORDER


def say(text: str) -> None:
    """Writes one line of the report."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile of ``values``."""
    return sorted(values)[int(share * (len(values) - 1))]


def table_of(accounts: int, spend_limit: int) -> model.ActiveTable:
    """Returns a table with accounts of one limit."""
    rows = [
        model.Account(f"a{n}", (), spend_limit, 1e6, 1_000_000)
        for n in range(accounts)
    ]
    return model.ActiveTable(
        1, model.Table(accounts={row.account: row for row in rows})
    )


class MemoryLog:
    """A log that answers at once."""

    def __init__(self) -> None:
        self.records: list[log_client.LogRecord] = []
        self.grown = asyncio.Event()

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record."""
        offset = len(self.records)
        self.records.append(log_client.LogRecord(offset, time.time(), payload))
        self.grown.set()
        return offset

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Reads on."""
        while len(self.records) <= start:
            self.grown.clear()
            await self.grown.wait()
        found = tuple(self.records[start : start + limit])
        return log_client.LogPage(0, start + len(found), found)

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns what can be read."""
        return log_client.LogBounds(0, len(self.records))


async def measure_gate(hosts: int, rounds: int = 10_000) -> None:
    """Times admit and release of a request whose share is at hand."""
    gate = admission_control.AdmissionController(
        MemoryLog(), identity.Incarnation("h0", 1)
    )
    gate.on_table(table_of(10, 10**12))
    gate.on_hosts([rendezvous.HomeHost(f"h{n}", "d") for n in range(hosts)])
    gate.start()
    samples = []
    for n in range(rounds + 500):
        begin = time.perf_counter()
        admitted = await gate.admit(
            f"a{n % 10}", URGENT, time.time() + 30.0, 100, "llm"
        )
        if not isinstance(admitted, admission_control.AdmittedRequest):
            raise TypeError(f"not admitted: {admitted}")
        gate.release(admitted, 100)
        samples.append((time.perf_counter() - begin) * 1e6)
    await gate.stop()
    samples = samples[500:]
    say(
        f"gate: {hosts} hosts, admit+release"
        f" median {statistics.median(samples):.1f} us,"
        f" p99 {percentile(samples, 0.99):.1f} us"
    )


def measure_queue(waiting: int) -> None:
    """Times offers and ends while ``waiting`` requests wait."""
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
        held = max(queue.PRIORITY_ORDER, key=lambda known: pool.running[known])
        pool.finish(held, 0.01, 0.0)
    each = (time.perf_counter() - begin) / rounds * 1e6
    left = len(pool.waiting)
    begin = time.perf_counter()
    pool.tick(2e6)
    expiry = (time.perf_counter() - begin) * 1e3
    say(
        f"queue: {waiting} waiting, offer+finish {each:.1f} us;"
        f" {left} expire at once in {expiry:.1f} ms"
    )


class FirstInFirstOut(queue.AdmissionQueue):
    """The baseline: one class, no headroom, no deadlines."""

    def offer(self, entry: queue.Entry, now: float) -> tuple[queue.Effect, ...]:
        """Queues whatever comes."""
        entry = attrs.evolve(entry, priority=URGENT, deadline=1e18)
        return super().offer(entry, now)

    def finish(
        self, priority: model.Priority, seconds: float | None, now: float
    ) -> tuple[queue.Effect, ...]:
        """Frees a slot."""
        return super().finish(URGENT, seconds, now)


@attrs.frozen
class Mix:
    """Work of one pool.

    Attributes:
        name: Shown in the report.
        shares: Share of the work per class, in the order of the classes.
        seconds: Mean service time per class.
        patience: Seconds until the deadline per class.
    """

    name: str
    shares: tuple[float, float, float]
    seconds: tuple[float, float, float]
    patience: tuple[float, float, float]


MIXES = (
    Mix("alike", (0.3, 0.3, 0.4), (0.05, 0.05, 0.05), (2.0, 2.0, 5.0)),
    Mix("long others", (0.3, 0.3, 0.4), (0.2, 1.0, 4.0), (5.0, 10.0, 60.0)),
)


@attrs.define
class Outcome:
    """What became of the requests of one run.

    Attributes:
        latencies: Wait plus service of each urgent request done, in seconds.
        waits: The wait alone.
        offered: Requests per class.
        done: Requests done within their deadline, per class.
    """

    latencies: list[float] = attrs.field(factory=list)
    waits: list[float] = attrs.field(factory=list)
    offered: collections.Counter[str] = attrs.field(factory=collections.Counter)
    done: collections.Counter[str] = attrs.field(factory=collections.Counter)


class PoolRun:
    """Poisson arrivals with exponential service times through a queue."""

    def __init__(
        self, pool: queue.AdmissionQueue, mix: Mix, load: float, seed: int
    ) -> None:
        self.pool = pool
        self.mix = mix
        self.rates = [
            load * share * pool.slots / seconds
            for share, seconds in zip(mix.shares, mix.seconds, strict=True)
        ]
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.events: list[tuple[float, int, bool, int]] = []
        self.order = itertools.count()
        self.arrived: dict[int, tuple[float, int]] = {}
        self.started: dict[int, float] = {}

    def run(self, horizon: float) -> Outcome:
        """Runs for ``horizon`` seconds and returns what became of it."""
        for index in range(len(queue.PRIORITY_ORDER)):
            self.plan_arrival(index, 0.0)
        while self.events[0][0] < horizon:
            now, serial, is_arrival, value = heapq.heappop(self.events)
            self.expire(now)
            if is_arrival:
                self.arrive(serial, value, now)
            else:
                self.end(value, now)
        return self.outcome

    def plan_arrival(self, index: int, now: float) -> None:
        """Draws the next arrival of a class."""
        at = now + self.rng.expovariate(self.rates[index])
        heapq.heappush(self.events, (at, next(self.order), True, index))

    def expire(self, now: float) -> None:
        """Rings the timers due until ``now``."""
        while (expiry := self.pool.next_expiry()) is not None:
            if expiry > now:
                return
            self.heed(self.pool.tick(expiry), expiry)

    def arrive(self, serial: int, index: int, now: float) -> None:
        """Offers a request."""
        priority = queue.PRIORITY_ORDER[index]
        deadline = now + self.mix.patience[index]
        self.arrived[serial] = (now, index)
        self.outcome.offered[priority] += 1
        entry = queue.Entry(serial, priority, deadline)
        self.heed(self.pool.offer(entry, now), now)
        self.plan_arrival(index, now)

    def end(self, serial: int, now: float) -> None:
        """Ends a request that held a slot."""
        at, index = self.arrived.pop(serial)
        begin = self.started.pop(serial)
        priority = queue.PRIORITY_ORDER[index]
        if now - at <= self.mix.patience[index]:
            self.outcome.done[priority] += 1
        if priority is URGENT:
            self.outcome.latencies.append(now - at)
            self.outcome.waits.append(begin - at)
        self.heed(self.pool.finish(priority, now - begin, now), now)

    def heed(self, effects: tuple[queue.Effect, ...], now: float) -> None:
        """Starts what the queue let in."""
        for effect in effects:
            if isinstance(effect, queue.Refuse):
                del self.arrived[effect.serial]
                continue
            index = self.arrived[effect.serial][1]
            seconds = self.rng.expovariate(1 / self.mix.seconds[index])
            self.started[effect.serial] = now
            end = (now + seconds, next(self.order), False, effect.serial)
            heapq.heappush(self.events, end)


def measure_overload() -> None:
    """Compares urgent requests at half load and at twice overload."""
    policies = {"priority": queue.AdmissionQueue, "fifo": FirstInFirstOut}
    for mix, (name, make) in itertools.product(MIXES, policies.items()):
        ratios = []
        for seed in SEEDS:
            horizon = 1_000 * max(mix.seconds)
            half, over = (
                PoolRun(make(20), mix, load, seed).run(horizon)
                for load in (0.5, 2.0)
            )
            ratio = percentile(over.latencies, 0.99) / percentile(
                half.latencies, 0.99
            )
            ratios.append(ratio)
        kept = {
            str(known): round(over.done[known] / over.offered[known], 2)
            for known in queue.PRIORITY_ORDER
        }
        say(
            f"overload: {mix.name}, {name}: urgent p99 at 2.0 over 0.5 load"
            f" {min(ratios):.2f}..{max(ratios):.2f} (5 seeds);"
            f" wait p99 {percentile(over.waits, 0.99) * 1e3:.0f} ms,"
            f" p50 {percentile(over.waits, 0.5) * 1e3:.0f} ms;"
            f" in time at 2.0 {kept}"
        )


def measure_declines(adapt: bool) -> None:
    """Counts declines by a pool that lost half of its servers."""
    declined = done = 0
    for seed in SEEDS:
        rng = random.Random(seed)
        slots = adaptive.AdaptiveSlots(2, 20, 20.0)
        running: list[float] = []
        now = 0.0
        while now < 300.0:
            # A closed loop: callers keep every slot of this host in use.
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
    say(
        f"declines: adaptive {adapt}: {declined / (declined + done):.3f}"
        f" of attempts declined, {done / 300 / len(SEEDS):.1f} done a second"
        " (10 of 20 slots are real, 0.5 s each: 20 a second at most)"
    )


class ShareRun:
    """Books of many hosts on one log, with steady and uneven demand.

    Args:
        hosts: Entry hosts.
        limit_days: Spend limit of each account, in days of its demand.
    """

    def __init__(self, hosts: int, limit_days: float) -> None:
        weights = [1 / (n + 1) for n in range(ACCOUNTS)]
        self.demand = {
            f"a{n}": DEMAND * weight / sum(weights)
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
        pull = [rng.uniform(0.2, 1.8) for _ in range(hosts)]
        self.parts = [part / sum(pull) for part in pull]
        self.books = [self.make_book(n, hosts) for n in range(hosts)]
        self.log: list[tuple[float, object]] = []
        self.spent: collections.Counter[str] = collections.Counter()
        self.wanted: collections.Counter[str] = collections.Counter()

    def make_book(self, number: int, hosts: int) -> ledger_lib.ShareLedger:
        """Returns the book of one host."""
        book = ledger_lib.ShareLedger(identity.Incarnation(f"h{number}", 1))
        book.hosts = hosts
        book.in_force = self.in_force
        book.fold.restart(0)
        return book

    def step(self, now: float) -> None:
        """Runs all hosts for one step."""
        for book, part in zip(self.books, self.parts, strict=True):
            needs = self.spend(book, part, now)
            self.log.extend((now, item) for item in book.plan(now, needs))
        self.read(now)

    def read(self, now: float) -> None:
        """Has all hosts read the log to its end."""
        for book in self.books:
            for offset in range(book.fold.next_offset, len(self.log)):
                at, record = self.log[offset]
                book.apply(offset, at, record, now)

    def begin_outage(self) -> None:
        """Stops the log, and replaces one host of ten."""
        for number in range(0, len(self.books), 10):
            book = ledger_lib.ShareLedger(identity.Incarnation(f"h{number}", 2))
            book.hosts = len(self.books)
            book.in_force = self.in_force
            self.books[number] = book
        for book in self.books:
            book.log_is_up = False
        self.rng = random.Random(2)
        self.asks = self.octets = 0
        self.quiet: dict[tuple[int, str], tuple[float, int]] = {}
        self.outage = {False: [0, 0], True: [0, 0]}

    def step_outage(self, now: float) -> None:
        """Runs all hosts for one step without the log."""
        for number, part in enumerate(self.parts):
            for account, rate in self.demand.items():
                # One urgent request of a host and account after the other.
                cost = max(1, int(rate * part * STEP / PIECES))
                tally = self.outage[number % 10 == 0]
                for _ in range(PIECES):
                    tally[1] += cost
                    self.wanted[account] += cost
                    if self.serve(number, account, cost, now):
                        tally[0] += cost
                        self.spent[account] += cost

    def serve(self, number: int, account: str, cost: int, now: float) -> bool:
        """Spends a cost, with the help of peers; mirrors ``ShareExchange``."""
        book = self.books[number]
        quiet, failures = self.quiet.get((number, account), (0.0, 0))
        found = book.reserve(account, cost, DAY, now)
        others = [n for n in range(len(self.books)) if n != number]
        if found is not ledger_lib.ReserveResult.RESERVED and now >= quiet:
            for giver in self.rng.sample(
                others, share_exchange.MAX_PEERS_ASKED
            ):
                self.ask(book, giver, account, cost, now)
                found = book.reserve(account, cost, DAY, now)
                if found is ledger_lib.ReserveResult.RESERVED:
                    break
            ok = found is ledger_lib.ReserveResult.RESERVED
            pause = share_exchange.BACKOFF_SECONDS * 2.0 ** min(failures, 10)
            pause = min(pause, share_exchange.MAX_BACKOFF_SECONDS)
            self.quiet[number, account] = (
                (0.0, 0) if ok else (now + pause, failures + 1)
            )
        if found is not ledger_lib.ReserveResult.RESERVED:
            return False
        book.local_shares.settle(account, DAY, cost, cost)
        return True

    def ask(
        self,
        book: ledger_lib.ShareLedger,
        giver: int,
        account: str,
        cost: int,
        now: float,
    ) -> None:
        """Carries one ask to a peer and its answer back."""
        ask = book.request_transfer(
            f"h{giver}", account, cost, DAY, urgent=True
        )
        answer = self.books[giver].grant_transfer(ask, now)
        book.transfers.accept(answer)
        self.asks += 1
        self.octets += len(codec.encode(ask)) + len(codec.encode(answer))

    def spend(
        self, book: ledger_lib.ShareLedger, part: float, now: float
    ) -> dict[str, int]:
        """Spends one step's demand; returns what could not be covered."""
        needs: dict[str, int] = {}
        for account, rate in self.demand.items():
            cost = int(rate * part * STEP)
            self.wanted[account] += cost
            verdict = book.reserve(account, cost, DAY, now)
            if verdict is ledger_lib.ReserveResult.RESERVED:
                book.local_shares.settle(account, DAY, cost, cost)
                self.spent[account] += cost
            elif verdict is ledger_lib.ReserveResult.WAIT:
                needs[account] = cost
        return needs

    def check(self) -> None:
        """Raises an error if an account spent beyond its limit."""
        for account, limit in self.limits.items():
            if self.spent[account] > limit:
                raise AssertionError(f"{account} spent beyond its limit")


def measure_shares(hosts: int, limit_days: float, seconds: int) -> None:
    """Counts the appends of a run."""
    run = ShareRun(hosts, limit_days)
    for tick in range(int(seconds / STEP)):
        run.step(MIDNIGHT + 1.0 + tick * STEP)
    run.check()
    allowed = sum(
        min(limit, run.wanted[name]) for name, limit in run.limits.items()
    )
    late = sum(at > MIDNIGHT + seconds / 2 for at, _ in run.log)
    minutes = collections.Counter(at // 60 for at, _ in run.log)
    octets = sum(len(codec.encode(record)) for _, record in run.log)
    say(
        f"shares: {hosts} hosts, {ACCOUNTS} accounts, limits of"
        f" {limit_days:g} days of demand, {seconds} s:"
        f" {len(run.log)} appends of {octets / len(run.log):.0f} bytes,"
        f" {late / (seconds / 2) * 3600:.0f} an hour in the second half,"
        f" busiest minute {max(minutes.values()) / 60:.2f} a second;"
        f" {run.spent.total() / allowed:.4f} of what the limits allow spent"
    )


def measure_start(hosts: int, known: bool) -> None:
    """Counts the appends of hosts that all start within one second.

    Args:
        hosts: Entry hosts.
        known: Whether they know each other with the table, or only 3 s later.
    """
    run = ShareRun(hosts, 1.25)
    rng = random.Random(1)
    begins = [MIDNIGHT + 36_000.0 + rng.random() for _ in run.books]
    if not known:
        for book in run.books:
            book.hosts = 1
    for tick in range(300):
        now = MIDNIGHT + 36_000.0 + tick * 0.1
        if tick == 30:
            for book in run.books:
                book.hosts = hosts
        for book, begin in zip(run.books, begins, strict=True):
            # A host plans once a second.
            if now >= begin and (now - begin) % 1.0 < 0.1:
                run.log.extend((now, item) for item in book.plan(now, {}))
        run.read(now)
    seconds = collections.Counter(int(at) for at, _ in run.log)
    octets = [len(codec.encode(record)) for _, record in run.log]
    sums = run.books[0].fold.sums.values()
    held = max(item.granted / item.limit for item in sums)
    early = [item for at, item in run.log if at < MIDNIGHT + 36_004.0]
    first = collections.Counter(item.asks[0].account for item in early).total()
    say(
        f"start: {hosts} hosts at once, {ACCOUNTS} accounts, others known"
        f" {'with the table' if known else 'after 3 s'}: {first} appends in"
        f" 4 s, {len(run.log)} in 30 s, most in one second"
        f" {max(seconds.values())}, {sum(octets) / len(octets):.0f} bytes each,"
        f" {sum(octets)} bytes read by each host; {held:.4f} of a limit held"
    )


def measure_outage(hosts: int, share: float, seconds: int) -> None:
    """Counts asks between peers, and requests refused, in an outage.

    The hosts have run for ten minutes; then the log stops, and one host of
    ten is replaced by a new process that holds nothing.

    Args:
        hosts: Entry hosts.
        share: Demand of each account over its limit, both of a day.
        seconds: Length of the outage.
    """
    run = ShareRun(hosts, 1 / share)
    for tick in range(60):
        run.step(MIDNIGHT + 36_000.0 + tick * STEP)
    run.begin_outage()
    begin = MIDNIGHT + 36_600.0
    for tick in range(int(seconds / STEP)):
        run.step_outage(begin + tick * STEP)
    run.check()
    for text, each in (("hosts that ran", False), ("new hosts", True)):
        covered, wanted = run.outage[each]
        say(
            f"outage: {hosts} hosts, demand {share:g} of the limits,"
            f" {seconds} s: {text} served {covered / max(1, wanted):.4f}"
        )
    size = run.octets / max(1, run.asks)
    rate = run.octets / seconds / hosts
    say(
        f"outage: {run.asks} asks between peers, {size:.0f} bytes each with the"
        f" answer, {rate:.1f} bytes a second for each host"
    )


def _gates() -> None:
    for hosts in (9, 360):
        asyncio.run(measure_gate(hosts))


def _queues() -> None:
    for waiting in (100, 1_000, 10_000):
        measure_queue(waiting)


def _declines() -> None:
    for adapt in (False, True):
        measure_declines(adapt)


def _shares() -> None:
    for hosts in (9, 45, 90, 360):
        measure_shares(hosts, 1.25, 4 * 3_600)
    for hosts in (9, 90, 360):
        measure_shares(hosts, 0.02, 3_600)


def _starts() -> None:
    for hosts in (9, 45, 90, 360):
        for known in (True, False):
            measure_start(hosts, known)


def _outages() -> None:
    for hosts in (9, 45, 90, 360):
        measure_outage(hosts, 0.8, 3_600)
    for hosts in (9, 90):
        measure_outage(hosts, 0.8, 6 * 3_600)


PARTS = {
    "gate": _gates,
    "queue": _queues,
    "overload": measure_overload,
    "declines": _declines,
    "shares": _shares,
    "start": _starts,
    "outage": _outages,
}


def main() -> None:
    """Runs the parts that the command line names, or all."""
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()


if __name__ == "__main__":
    main()
