"""Admission control: limits, queueing and spend shares on a faulty log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import limits_rows
import orjson
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import log as log_client
from hoistmoor.console import account_usage
from hoistmoor.console import host_queries
from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.limits import records
from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.table import model
from hoistmoor.entry import admission_control
from hoistmoor.entry import limits_status
from hoistmoor.entry import responses

if TYPE_CHECKING:
    import limits_log

NORMAL = model.Priority.NORMAL
URGENT = model.Priority.URGENT
REASON = refusals.Reason


async def admit(
    controller: admission_control.AdmissionController,
    cost: int = 0,
    priority: model.Priority = NORMAL,
    timeout: float = 30.0,
) -> admission_control.AdmittedRequest | refusals.Refusal:
    deadline = limits_rows.clock() + timeout
    return await controller.admit(
        limits_rows.ACCOUNT, priority, deadline, cost, "llm"
    )


def assert_refused(found: object, reason: refusals.Reason) -> None:
    assertions.assert_that(found, matchers.IsInstance(refusals.Refusal))
    assertions.assert_that(found.reason, matchers.Equals(reason))
    assertions.assert_that(
        found.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )
    assertions.assert_that(found.wait, matchers.GreaterThan(0))


async def test_cost_is_reserved_once_its_share_is_read_back(
    idle_controller: admission_control.AdmissionController,
    log: limits_log.FakeLog,
) -> None:
    log.hold.clear()
    idle_controller.start()
    waiting = asyncio.create_task(admit(idle_controller, cost=500))
    while not log.records:
        await asyncio.sleep(0)
    assertions.assert_that(waiting.done(), matchers.Equals(False))
    log.hold.set()
    admitted = await waiting
    idle_controller.release(admitted, 200)
    idle_controller.release(admitted, 200)
    share = idle_controller.share_sync.ledger.local_shares.share(
        limits_rows.ACCOUNT, admitted.day
    )
    assertions.assert_that(
        (share.spent, share.reserved, idle_controller.request_count),
        matchers.Equals((200, 0, 0)),
    )


async def test_share_counts_although_the_reply_to_its_append_is_lost(
    idle_controller: admission_control.AdmissionController,
    log: limits_log.FakeLog,
) -> None:
    log.lose_replies = 1
    log.hold.clear()
    idle_controller.start()
    assert_refused(await admit(idle_controller, cost=500), REASON.SPEND_LIMITED)
    assertions.assert_that(log.lose_replies, matchers.Equals(0))
    log.hold.set()
    while not idle_controller.share_sync.log_is_up:
        await asyncio.sleep(0)
    found = await admit(idle_controller, cost=500)
    assertions.assert_that(
        found, matchers.IsInstance(admission_control.AdmittedRequest)
    )
    assertions.assert_that(log.records, matchers.HasLength(1))


async def test_outage_refuses_only_costs_beyond_the_held_share(
    controller: admission_control.AdmissionController, log: limits_log.FakeLog
) -> None:
    controller.release(await admit(controller, cost=500), 500)
    log.set_down(True)
    while controller.share_sync.log_is_up:
        await asyncio.sleep(0)
    held = await admit(controller, cost=50_000)
    assertions.assert_that(
        held, matchers.IsInstance(admission_control.AdmittedRequest)
    )
    assert_refused(await admit(controller, cost=900_000), REASON.SPEND_LIMITED)


async def spend_until_refused(
    controllers: list[admission_control.AdmissionController], cost: int
) -> int:
    spent = 0
    for _ in range(40):
        for controller in controllers:
            found = await admit(controller, cost)
            if isinstance(found, admission_control.AdmittedRequest):
                controller.release(found, cost)
                spent += cost
    return spent


async def test_spend_limit_holds_across_two_hosts(
    log: limits_log.FakeLog,
) -> None:
    hosts = [rendezvous.HomeHost("h1", "d1"), rendezvous.HomeHost("h2", "d2")]
    controllers = [
        admission_control.AdmissionController(
            log, identity.Incarnation(host.name, 1), limits_rows.clock
        )
        for host in hosts
    ]
    for controller in controllers:
        controller.on_table(limits_rows.table_of(spend_limit=10_000))
        controller.on_hosts(hosts)
        controller.start()
    spent = await spend_until_refused(controllers, 400)
    for controller in controllers:
        await controller.stop()
    assertions.assert_that(spent, matchers.LessThan(10_001))
    assertions.assert_that(spent, matchers.GreaterThan(8_000))


async def test_lowered_limit_applies_to_shares_already_held(
    controller: admission_control.AdmissionController,
) -> None:
    controller.release(await admit(controller, cost=100), 100)
    cut = limits_rows.table_of(spend_limit=1_000)
    controller.on_table(model.ActiveTable(2, cut.table))
    spent = await spend_until_refused([controller], 200)
    assertions.assert_that(spent, matchers.Equals(800))


async def test_graceful_stop_returns_shares(
    controller: admission_control.AdmissionController, log: limits_log.FakeLog
) -> None:
    admitted = await admit(controller, cost=500)
    controller.release(admitted, 500)
    await controller.drain()
    assert_refused(await admit(controller, cost=500), REASON.SPEND_LIMITED)
    fold = controller.share_sync.ledger.fold
    while fold.next_offset < len(log.records):
        await asyncio.sleep(0)
    known = fold.sum_for(limits_rows.ACCOUNT, admitted.day)
    assertions.assert_that(known.granted, matchers.Equals(500))


async def test_spend_limit_of_zero_refuses_any_cost(
    controller: admission_control.AdmissionController,
) -> None:
    controller.on_table(limits_rows.table_of(spend_limit=0))
    assert_refused(await admit(controller, cost=1), REASON.SPEND_LIMITED)
    free = await admit(controller, cost=0)
    assertions.assert_that(
        free, matchers.IsInstance(admission_control.AdmittedRequest)
    )


async def test_rate_and_concurrency_refusals_include_a_wait(
    controller: admission_control.AdmissionController,
) -> None:
    controller.on_table(limits_rows.table_of(rate_limit=2.0, concurrency=1))
    first = await admit(controller)
    assert_refused(await admit(controller), REASON.CONCURRENCY_LIMITED)
    controller.release(first, 0)
    controller.release(await admit(controller), 0)
    assert_refused(await admit(controller), REASON.RATE_LIMITED)


async def test_urgent_request_starts_before_waiting_ones(
    controller: admission_control.AdmissionController,
) -> None:
    first = await admit(controller, priority=URGENT)
    second = await admit(controller, priority=URGENT)
    order: list[model.Priority] = []

    async def wait(priority: model.Priority) -> None:
        admitted = await admit(controller, priority=priority)
        order.append(priority)
        controller.release(admitted, 0)

    tasks = []
    for priority in (model.Priority.DEFERRABLE, NORMAL, URGENT):
        tasks.append(asyncio.create_task(wait(priority)))
        await asyncio.sleep(0)
    controller.release(first, 0)
    controller.release(second, 0)
    await asyncio.gather(*tasks)
    assertions.assert_that(
        order,
        matchers.Equals([URGENT, NORMAL, model.Priority.DEFERRABLE]),
    )


async def test_waiting_request_is_refused_at_its_deadline(
    controller: admission_control.AdmissionController,
) -> None:
    for _ in range(2):
        await admit(controller, priority=URGENT)
    assert_refused(
        await admit(controller, timeout=0.05), REASON.DEADLINE_EXCEEDED
    )
    assertions.assert_that(controller.request_count, matchers.Equals(2))


async def test_cancelled_request_releases_everything(
    controller: admission_control.AdmissionController,
) -> None:
    held = [await admit(controller, priority=URGENT) for _ in range(2)]
    cancelled = [
        asyncio.create_task(admit(controller, cost=100)) for _ in range(2)
    ]
    pool = controller.pool_queues.pool("llm")
    while len(pool.admission.waiting) < 2:
        await asyncio.sleep(0)
    cancelled[0].cancel()
    # The second is cancelled and gets a slot in the same loop iteration.
    cancelled[1].cancel()
    for admitted in held:
        controller.release(admitted, 0)
    await asyncio.gather(*cancelled, return_exceptions=True)
    use = controller.accounts.usage[limits_rows.ACCOUNT]
    assertions.assert_that(
        (controller.request_count, pool.admission.in_use, use.in_flight),
        matchers.Equals((0, 0, 0)),
    )
    day = held[0].day
    share = controller.share_sync.ledger.local_shares.share(
        limits_rows.ACCOUNT, day
    )
    assertions.assert_that(share.reserved, matchers.Equals(0))


async def test_status_shows_reserved_and_spent_amounts(
    controller: admission_control.AdmissionController,
) -> None:
    admitted = await admit(controller, cost=500)
    held = limits_status.status_of(controller, limits_rows.clock())
    controller.release(admitted, 300)
    done = limits_status.status_of(controller, limits_rows.clock())
    assertions.assert_that(
        (held.accounts[0].reserved, held.pools[0].running, held.present),
        matchers.Equals((500, 1, 1)),
    )
    assertions.assert_that(
        (done.accounts[0].spent, done.pools[0].running, done.present),
        matchers.Equals((300, 0, 0)),
    )


async def test_no_spend_while_the_records_of_the_day_are_incomplete(
    idle_controller: admission_control.AdmissionController,
    log: limits_log.FakeLog,
) -> None:
    expired = log_client.LogRecord(0, limits_rows.clock(), b"gone")
    log.records.append(expired)
    log.first = 1
    idle_controller.start()
    assert_refused(await admit(idle_controller, cost=1), REASON.SPEND_LIMITED)
    free = await admit(idle_controller, cost=0)
    assertions.assert_that(
        free, matchers.IsInstance(admission_control.AdmittedRequest)
    )
    # One record dates the stream; no share is requested.
    kinds = [codec.decode(item.payload) for item in log.records[1:]]
    assertions.assert_that(
        kinds,
        matchers.MatchesListwise([matchers.IsInstance(records.DemandReport)]),
    )
    fold = idle_controller.share_sync.ledger.fold
    while fold.complete_from is None:
        await asyncio.sleep(0)
    tomorrow = records.day_of(limits_rows.clock()) + 2
    assertions.assert_that(fold.is_complete(tomorrow), matchers.Equals(True))


async def test_host_paused_past_retention_spends_only_its_held_share(
    controller: admission_control.AdmissionController, log: limits_log.FakeLog
) -> None:
    controller.release(await admit(controller, cost=500), 500)
    keeper = controller.share_sync
    while keeper.ledger.fold.next_offset < len(log.records):
        await asyncio.sleep(0)
    await keeper.stop()
    expired = log_client.LogRecord(
        len(log.records), limits_rows.clock(), b"gone"
    )
    log.records.append(expired)
    log.first = len(log.records)
    keeper.start()
    while keeper.ledger.fold.next_offset < log.first:
        await asyncio.sleep(0)
    held = await admit(controller, cost=1_000)
    assertions.assert_that(
        held, matchers.IsInstance(admission_control.AdmittedRequest)
    )
    assert_refused(await admit(controller, cost=900_000), REASON.SPEND_LIMITED)


async def test_console_sums_the_limits_of_all_hosts(
    controller: admission_control.AdmissionController,
) -> None:
    controller.release(await admit(controller, cost=300), 200)
    await admit(controller, cost=500)
    status = limits_status.status_of(controller, controller.now())
    body = orjson.loads(responses.json_response({"limits": status}).body)
    host_responses = [
        host_queries.HostResponse(host=None, status=200, body=body)
        for _ in range(2)
    ]
    _, line = account_usage.describe_limits(host_responses)
    assertions.assert_that(
        line.split()[:4],
        matchers.Equals([limits_rows.ACCOUNT, "1000000", "400", "1000"]),
    )
