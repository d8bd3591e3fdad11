"""The gate: limits, the queue and the spend shares over a faulty log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import limits_rows
import orjson
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import log as log_client
from hoistmoor.console import host_answers
from hoistmoor.console import limits_lines
from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.limits import records
from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.table import model
from hoistmoor.entry import limits
from hoistmoor.entry import limits_status
from hoistmoor.entry import responses

if TYPE_CHECKING:
    import limits_log

NORMAL = model.Priority.NORMAL
URGENT = model.Priority.URGENT
REASON = refusals.Reason


async def admit(
    gate: limits.Gate,
    cost: int = 0,
    priority: model.Priority = NORMAL,
    patience: float = 30.0,
) -> limits.Admitted | refusals.Refusal:
    deadline = limits_rows.clock() + patience
    return await gate.admit(
        limits_rows.ACCOUNT, priority, deadline, cost, "llm"
    )


def is_refused(found: object, reason: refusals.Reason) -> None:
    assertions.assert_that(found, matchers.IsInstance(refusals.Refusal))
    assertions.assert_that(found.reason, matchers.Equals(reason))
    assertions.assert_that(
        found.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )
    assertions.assert_that(found.wait, matchers.GreaterThan(0))


async def test_cost_runs_once_its_share_is_read_back(
    idle_gate: limits.Gate, log: limits_log.FakeLog
) -> None:
    log.hold.clear()
    idle_gate.start()
    waiting = asyncio.create_task(admit(idle_gate, cost=500))
    while not log.records:
        await asyncio.sleep(0)
    assertions.assert_that(waiting.done(), matchers.Equals(False))
    log.hold.set()
    admitted = await waiting
    idle_gate.release(admitted, 200)
    idle_gate.release(admitted, 200)
    share = idle_gate.keeper.book.local_shares.share(
        limits_rows.ACCOUNT, admitted.day
    )
    assertions.assert_that(
        (share.spent, share.reserved, idle_gate.present),
        matchers.Equals((200, 0, 0)),
    )


async def test_reply_lost_after_the_append_took_effect(
    idle_gate: limits.Gate, log: limits_log.FakeLog
) -> None:
    log.lose_replies = 1
    log.hold.clear()
    idle_gate.start()
    is_refused(await admit(idle_gate, cost=500), REASON.SPEND_LIMITED)
    assertions.assert_that(log.lose_replies, matchers.Equals(0))
    log.hold.set()
    while not idle_gate.keeper.log_is_up:
        await asyncio.sleep(0)
    found = await admit(idle_gate, cost=500)
    assertions.assert_that(found, matchers.IsInstance(limits.Admitted))
    assertions.assert_that(log.records, matchers.HasLength(1))


async def test_outage_leaves_what_is_held_and_refuses_the_rest_at_once(
    gate: limits.Gate, log: limits_log.FakeLog
) -> None:
    gate.release(await admit(gate, cost=500), 500)
    log.set_down(True)
    while gate.keeper.log_is_up:
        await asyncio.sleep(0)
    held = await admit(gate, cost=50_000)
    assertions.assert_that(held, matchers.IsInstance(limits.Admitted))
    is_refused(await admit(gate, cost=900_000), REASON.SPEND_LIMITED)


async def spend_all(gates: list[limits.Gate], cost: int) -> int:
    spent = 0
    for _ in range(40):
        for gate in gates:
            found = await admit(gate, cost)
            if isinstance(found, limits.Admitted):
                gate.release(found, cost)
                spent += cost
    return spent


async def test_limit_holds_over_two_gates(log: limits_log.FakeLog) -> None:
    hosts = [rendezvous.HomeHost("h1", "d1"), rendezvous.HomeHost("h2", "d2")]
    gates = [
        limits.Gate(log, identity.Incarnation(host.name, 1), limits_rows.clock)
        for host in hosts
    ]
    for gate in gates:
        gate.on_table(limits_rows.table_of(spend_limit=10_000))
        gate.on_hosts(hosts)
        gate.start()
    spent = await spend_all(gates, 400)
    for gate in gates:
        await gate.stop()
    assertions.assert_that(spent, matchers.LessThan(10_001))
    assertions.assert_that(spent, matchers.GreaterThan(8_000))


async def test_cut_limit_holds_for_what_is_held_already(
    gate: limits.Gate,
) -> None:
    gate.release(await admit(gate, cost=100), 100)
    cut = limits_rows.table_of(spend_limit=1_000)
    gate.on_table(model.ActiveTable(2, cut.table))
    spent = await spend_all([gate], 200)
    assertions.assert_that(spent, matchers.Equals(800))


async def test_graceful_stop_gives_shares_back(
    gate: limits.Gate, log: limits_log.FakeLog
) -> None:
    admitted = await admit(gate, cost=500)
    gate.release(admitted, 500)
    await gate.drain()
    is_refused(await admit(gate, cost=500), REASON.SPEND_LIMITED)
    fold = gate.keeper.book.fold
    while fold.next_offset < len(log.records):
        await asyncio.sleep(0)
    known = fold.sum_for(limits_rows.ACCOUNT, admitted.day)
    assertions.assert_that(known.granted, matchers.Equals(500))


async def test_no_spend_at_all_under_a_limit_of_zero(
    gate: limits.Gate,
) -> None:
    gate.on_table(limits_rows.table_of(spend_limit=0))
    is_refused(await admit(gate, cost=1), REASON.SPEND_LIMITED)
    free = await admit(gate, cost=0)
    assertions.assert_that(free, matchers.IsInstance(limits.Admitted))


async def test_rate_and_concurrency_are_refused_with_a_wait(
    gate: limits.Gate,
) -> None:
    gate.on_table(limits_rows.table_of(rate_limit=2.0, concurrency=1))
    first = await admit(gate)
    is_refused(await admit(gate), REASON.CONCURRENCY_LIMITED)
    gate.release(first, 0)
    gate.release(await admit(gate), 0)
    is_refused(await admit(gate), REASON.RATE_LIMITED)


async def test_urgent_request_passes_those_that_wait(
    gate: limits.Gate,
) -> None:
    first = await admit(gate, priority=URGENT)
    second = await admit(gate, priority=URGENT)
    order: list[model.Priority] = []

    async def wait(priority: model.Priority) -> None:
        admitted = await admit(gate, priority=priority)
        order.append(priority)
        gate.release(admitted, 0)

    tasks = []
    for priority in (model.Priority.DEFERRABLE, NORMAL, URGENT):
        tasks.append(asyncio.create_task(wait(priority)))
        await asyncio.sleep(0)
    gate.release(first, 0)
    gate.release(second, 0)
    await asyncio.gather(*tasks)
    assertions.assert_that(
        order,
        matchers.Equals([URGENT, NORMAL, model.Priority.DEFERRABLE]),
    )


async def test_waiting_request_is_given_up_on_at_its_deadline(
    gate: limits.Gate,
) -> None:
    for _ in range(2):
        await admit(gate, priority=URGENT)
    is_refused(await admit(gate, patience=0.05), REASON.DEADLINE_EXCEEDED)
    assertions.assert_that(gate.present, matchers.Equals(2))


async def test_caller_who_goes_leaves_nothing_behind(
    gate: limits.Gate,
) -> None:
    held = [await admit(gate, priority=URGENT) for _ in range(2)]
    gone = [asyncio.create_task(admit(gate, cost=100)) for _ in range(2)]
    pool = gate.slots.pool("llm")
    while len(pool.admission.waiting) < 2:
        await asyncio.sleep(0)
    gone[0].cancel()
    # The second is cancelled and given a slot in one turn of the loop.
    gone[1].cancel()
    for admitted in held:
        gate.release(admitted, 0)
    await asyncio.gather(*gone, return_exceptions=True)
    use = gate.accounts.usage[limits_rows.ACCOUNT]
    assertions.assert_that(
        (gate.present, pool.admission.in_use, use.in_flight),
        matchers.Equals((0, 0, 0)),
    )
    day = held[0].day
    share = gate.keeper.book.local_shares.share(limits_rows.ACCOUNT, day)
    assertions.assert_that(share.reserved, matchers.Equals(0))


async def test_status_shows_what_is_held_and_spent(gate: limits.Gate) -> None:
    admitted = await admit(gate, cost=500)
    held = limits_status.status_of(gate, limits_rows.clock())
    gate.release(admitted, 300)
    done = limits_status.status_of(gate, limits_rows.clock())
    assertions.assert_that(
        (held.accounts[0].reserved, held.pools[0].running, held.present),
        matchers.Equals((500, 1, 1)),
    )
    assertions.assert_that(
        (done.accounts[0].spent, done.pools[0].running, done.present),
        matchers.Equals((300, 0, 0)),
    )


async def test_nothing_is_spent_where_the_day_cannot_be_known(
    idle_gate: limits.Gate, log: limits_log.FakeLog
) -> None:
    lost = log_client.LogRecord(0, limits_rows.clock(), b"gone")
    log.records.append(lost)
    log.first = 1
    idle_gate.start()
    is_refused(await admit(idle_gate, cost=1), REASON.SPEND_LIMITED)
    free = await admit(idle_gate, cost=0)
    assertions.assert_that(free, matchers.IsInstance(limits.Admitted))
    # One record dates the stream; no share is asked for.
    kinds = [codec.decode(item.payload) for item in log.records[1:]]
    assertions.assert_that(
        kinds,
        matchers.MatchesListwise([matchers.IsInstance(records.DemandReport)]),
    )
    fold = idle_gate.keeper.book.fold
    while fold.complete_from is None:
        await asyncio.sleep(0)
    tomorrow = records.day_of(limits_rows.clock()) + 2
    assertions.assert_that(fold.is_complete(tomorrow), matchers.Equals(True))


async def test_host_paused_past_retention_keeps_only_what_it_held(
    gate: limits.Gate, log: limits_log.FakeLog
) -> None:
    gate.release(await admit(gate, cost=500), 500)
    keeper = gate.keeper
    while keeper.book.fold.next_offset < len(log.records):
        await asyncio.sleep(0)
    await keeper.stop()
    gone = log_client.LogRecord(len(log.records), limits_rows.clock(), b"gone")
    log.records.append(gone)
    log.first = len(log.records)
    keeper.start()
    while keeper.book.fold.next_offset < log.first:
        await asyncio.sleep(0)
    held = await admit(gate, cost=1_000)
    assertions.assert_that(held, matchers.IsInstance(limits.Admitted))
    is_refused(await admit(gate, cost=900_000), REASON.SPEND_LIMITED)


async def test_operators_see_the_limits_of_all_hosts_together(
    gate: limits.Gate,
) -> None:
    gate.release(await admit(gate, cost=300), 200)
    await admit(gate, cost=500)
    told = limits_status.status_of(gate, gate.now())
    body = orjson.loads(responses.json_response({"limits": told}).body)
    answers = [
        host_answers.HostAnswer(host=None, status=200, body=body)
        for _ in range(2)
    ]
    _, line = limits_lines.describe_limits(answers)
    assertions.assert_that(
        line.split()[:4],
        matchers.Equals([limits_rows.ACCOUNT, "1000000", "400", "1000"]),
    )
