"""Tests of at-most-once execution, with hosts that share an in-memory log."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any, TYPE_CHECKING

import attrs
import once_fake_log
import pytest
import pytest_asyncio
from testtools import assertions
from testtools import matchers

from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import polling
from hoistmoor.core import refusals
from hoistmoor.core.once import permits
from hoistmoor.core.once import records
from hoistmoor.entry import claim_reader
from hoistmoor.entry import claims
from hoistmoor.entry import once as once_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hoistmoor.clients import log as log_client

SECRETS = [b"test secret"]
ANSWER = permits.StoredAnswer(200, "application/json", b"{}", "e1.1.1")


@pytest_asyncio.fixture
async def hosts(
    log: once_fake_log.FakeLog,
) -> AsyncIterator[list[once_lib.AtMostOnceGuard]]:
    made = []
    dead: set[identity.Incarnation] = set()
    for number in (1, 2):
        incarnation = identity.Incarnation(f"e{number}", 7)
        host = once_lib.AtMostOnceGuard(
            log,
            incarnation,
            f"127.0.0.{number}:80",
            SECRETS,
            lambda who: who not in dead,
        )
        host.dead = dead  # type: ignore[attr-defined]
        host.start()
        made.append(host)
    yield made
    for host in made:
        await host.stop()


async def begin(
    host: once_lib.AtMostOnceGuard,
    key: str | None,
    fingerprint: str = "f",
    patience: float = 20.0,
    forwarded: bool = False,
    request_id: str = "e1.7.1",
) -> permits.BeginResult:
    return await host.begin(
        "acme",
        key,
        fingerprint,
        request_id,
        time.time() + patience,
        forwarded=forwarded,
    )


def assert_refused(
    result: permits.BeginResult,
    reason: refusals.Reason,
    key_outcome: outcomes.Outcome,
) -> None:
    assert isinstance(result, refusals.Refusal), result
    shown = (result.reason, result.outcome, result.key_outcome)
    wanted = (reason, outcomes.Outcome.NOT_RUN, key_outcome)
    assertions.assert_that(shown, matchers.Equals(wanted))


async def test_second_attempt_gets_the_stored_answer_at_any_host(
    hosts: list[once_lib.AtMostOnceGuard],
) -> None:
    permit = await begin(hosts[0], "k")
    assert isinstance(permit, permits.Permit)
    await hosts[0].finish(permit, outcomes.Outcome.DONE, ANSWER)
    await hosts[0].drain(5.0)
    for host in hosts:
        again = await begin(host, "k")
        if isinstance(again, permits.ForwardTo):
            again = await begin(hosts[0], "k", forwarded=True)
        assertions.assert_that(again, matchers.Equals(ANSWER))


async def test_duplicate_in_flight_joins_the_one_run(
    hosts: list[once_lib.AtMostOnceGuard],
) -> None:
    permit = await begin(hosts[0], "k")
    assert isinstance(permit, permits.Permit)
    joined = asyncio.create_task(begin(hosts[0], "k", request_id="e1.7.2"))
    await asyncio.sleep(0)
    await hosts[0].finish(permit, outcomes.Outcome.DONE, ANSWER)
    assertions.assert_that(await joined, matchers.Equals(ANSWER))


async def test_a_duplicate_at_another_host_is_forwarded_to_the_live_owner(
    hosts: list[once_lib.AtMostOnceGuard],
) -> None:
    await begin(hosts[0], "k")
    elsewhere = await begin(hosts[1], "k")
    wanted = permits.ForwardTo("127.0.0.1:80")
    assertions.assert_that(elsewhere, matchers.Equals(wanted))
    hosts[1].dead.add(identity.Incarnation("e1", 7))  # type: ignore
    assert_refused(
        await begin(hosts[1], "k"),
        refusals.Reason.KEY_OUTCOME_UNKNOWN,
        outcomes.Outcome.UNKNOWN,
    )


async def test_log_down_refuses_at_once_and_tickets_still_run(
    hosts: list[once_lib.AtMostOnceGuard], log: once_fake_log.FakeLog
) -> None:
    ticket = hosts[0].issue_ticket("acme")
    log.down = True
    for _ in range(2):
        assert_refused(
            await begin(hosts[0], "k"),
            refusals.Reason.CLAIM_UNAVAILABLE,
            outcomes.Outcome.UNKNOWN,
        )
    permit = await begin(hosts[0], ticket)
    assert isinstance(permit, permits.Permit)
    await hosts[0].finish(permit, outcomes.Outcome.DONE, ANSWER)
    again = await begin(hosts[0], ticket)
    assertions.assert_that(again, matchers.Equals(ANSWER))


async def test_lost_reply_is_settled_by_reading(
    hosts: list[once_lib.AtMostOnceGuard], log: once_fake_log.FakeLog
) -> None:
    log.lose_replies = 1
    permit = await begin(hosts[0], "k")
    assertions.assert_that(permit, matchers.IsInstance(permits.Permit))
    log.drop = 1
    permit = await begin(hosts[1], "other")
    assertions.assert_that(permit, matchers.IsInstance(permits.Permit))


async def test_abandoned_claim_is_released_and_the_key_runs_later(
    hosts: list[once_lib.AtMostOnceGuard], log: once_fake_log.FakeLog
) -> None:
    log.lose_replies = 1
    # This host ignores records, so it cannot learn which claim won.
    hosts[0].claims.followed[0].claimant.on_record = (  # type: ignore
        lambda *_: None
    )
    assert_refused(
        await begin(hosts[0], "k", patience=0.05),
        refusals.Reason.CLAIM_UNAVAILABLE,
        outcomes.Outcome.UNKNOWN,
    )
    await hosts[0].drain(5.0)
    permit = await begin(hosts[1], "k")
    assertions.assert_that(permit, matchers.IsInstance(permits.Permit))


async def test_another_request_under_the_key_is_refused(
    hosts: list[once_lib.AtMostOnceGuard],
) -> None:
    await begin(hosts[0], "k")
    for host in hosts:
        assert_refused(
            await begin(host, "k", fingerprint="other", patience=5.0),
            refusals.Reason.KEY_REUSED,
            outcomes.Outcome.UNKNOWN,
        )


async def test_ticket_of_another_host_or_incarnation(
    hosts: list[once_lib.AtMostOnceGuard],
) -> None:
    ticket = hosts[0].issue_ticket("acme")
    wanted = permits.ForwardTo("127.0.0.1:80")
    elsewhere = await begin(hosts[1], ticket)
    assertions.assert_that(elsewhere, matchers.Equals(wanted))
    assert_refused(
        await begin(hosts[1], ticket, forwarded=True),
        refusals.Reason.TICKET_ISSUER_GONE,
        outcomes.Outcome.UNKNOWN,
    )
    assert_refused(
        await begin(hosts[0], ticket[:-1] + "_"),
        refusals.Reason.TICKET_INVALID,
        outcomes.Outcome.UNKNOWN,
    )


async def test_declined_run_frees_ticket_and_key(
    hosts: list[once_lib.AtMostOnceGuard],
) -> None:
    for key in ("k", hosts[0].issue_ticket("acme")):
        for _ in range(3):
            permit = await begin(hosts[0], key)
            assert isinstance(permit, permits.Permit), permit
            await hosts[0].finish(permit, outcomes.Outcome.NOT_RUN, None)


async def test_watch_raises_the_error_of_a_failed_task(
    hosts: list[once_lib.AtMostOnceGuard], log: once_fake_log.FakeLog
) -> None:
    def fail(*_: object) -> None:
        raise ZeroDivisionError

    hosts[0].claims.followed[0].claimant.on_record = fail  # type: ignore
    watch = asyncio.create_task(hosts[0].watch())
    await begin(hosts[1], "k")
    with pytest.raises(ZeroDivisionError):
        async with asyncio.timeout(20):
            await watch


@pytest.mark.parametrize("skew", [-5000.0, 0.0, 5000.0])
async def test_a_late_host_forwards_keys_to_the_oldest_host(
    hosts: list[once_lib.AtMostOnceGuard],
    log: once_fake_log.FakeLog,
    skew: float,
) -> None:
    log.at = time.time() + skew
    for key in ("a", "b", "c"):
        await begin(hosts[0], key)
    log.first = 2
    eldest = [""]
    late = once_lib.AtMostOnceGuard(
        log,
        identity.Incarnation("e3", 7),
        "127.0.0.3:80",
        SECRETS,
        lambda _: True,
        eldest=lambda: eldest[0],
    )
    late.start()
    try:
        assert_refused(
            await begin(late, "a"),
            refusals.Reason.CLAIM_UNAVAILABLE,
            outcomes.Outcome.UNKNOWN,
        )
        stored = len(log.records["claims"])
        assertions.assert_that(stored, matchers.LessThan(6))
        eldest[0] = "127.0.0.1:80"
        sent = await begin(late, "a")
        wanted = permits.ForwardTo("127.0.0.1:80")
        assertions.assert_that(sent, matchers.Equals(wanted))
    finally:
        await late.stop()


async def test_a_reader_continues_after_falling_behind_the_retention(
    hosts: list[once_lib.AtMostOnceGuard], log: once_fake_log.FakeLog
) -> None:
    await begin(hosts[0], "a")
    reader = hosts[1].claims.followed[0].claimant
    log.down = True  # The reader's long poll fails.
    log.grown.set()
    async with asyncio.timeout(20):
        while not reader.outbox.is_suspended(time.time()):
            await begin(hosts[1], "b")
    log.first = len(log.records["claims"])
    log.down = False
    keys = (f"c{number}" for number in itertools.count())
    async with asyncio.timeout(20):
        while reader.view.next_offset < log.first + 1:
            # Use a new key each time, as a duplicate waits for the first run.
            await begin(hosts[0], next(keys))
            await asyncio.sleep(0.05)


class _CountingLog(once_fake_log.FakeLog):
    """A log that counts reads."""

    reads = 0

    async def read(self, *words: Any, **named: Any) -> log_client.LogPage:
        self.reads += 1
        return await super().read(*words, **named)


@pytest.mark.parametrize("polls_now", [True, False])
async def test_own_claim_ends_the_pause_between_polls(
    monkeypatch: pytest.MonkeyPatch, polls_now: bool
) -> None:
    """A claim is read back during the pause, but only due to ``poll_now``.

    The second case disables it, to show that the test detects its absence.
    """
    hourly = attrs.evolve(polling.CLAIMS, period=3600.0)
    monkeypatch.setattr(polling, "CLAIMS", hourly)
    if not polls_now:
        reader = claim_reader.ClaimReader
        monkeypatch.setattr(reader, "poll_now", lambda _: None)
    log = _CountingLog()
    host = make_host(log, 1)
    for _ in range(20):
        await asyncio.sleep(0)  # The first page is read; the pause begins.
    reads = log.reads
    waiting = asyncio.create_task(begin(host, "a"))
    while not log.records["claims"]:
        await asyncio.sleep(0)
    for _ in range(200):
        await asyncio.sleep(0)
    read_back = log.reads > reads and waiting.done()
    assertions.assert_that(read_back, matchers.Equals(polls_now))
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    await host.stop()


class _CrowdedLog(once_fake_log.FakeLog):
    """A log that stores another host's record before each append.

    The other record is read before the own one is stored.
    """

    async def append(self, stream: str, payload: bytes) -> int:
        other = records.ClaimBatch("far", 7, "f:1", (), ())
        await super().append(stream, codec.encode(other))
        for _ in range(50):
            await asyncio.sleep(0)
        return await super().append(stream, payload)


async def test_pauses_end_until_the_own_claim_is_read_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hourly = attrs.evolve(polling.CLAIMS, period=3600.0)
    monkeypatch.setattr(polling, "CLAIMS", hourly)
    host = make_host(_CrowdedLog(), 1)
    for _ in range(20):
        await asyncio.sleep(0)  # The first page is read; the pause begins.
    result = await begin(host, "a", patience=1e6)
    assertions.assert_that(result, matchers.IsInstance(permits.Permit))
    await host.stop()


async def test_an_end_on_the_log_is_read_before_a_held_key_is_judged(
    log: once_fake_log.FakeLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    hourly = attrs.evolve(polling.CLAIMS, period=3600.0)
    monkeypatch.setattr(polling, "CLAIMS", hourly)
    monkeypatch.setattr(claims, "_CATCH_UP_SECONDS", 20.0)
    owner, other = make_host(log, 1), make_host(log, 2)
    for _ in range(20):
        await asyncio.sleep(0)  # The first page is read; the pause begins.
    permit = await begin(owner, "a")
    assert isinstance(permit, permits.Permit)
    watcher = other.claims.followed[0]
    watcher._reader.poll_now()
    async with asyncio.timeout(20):
        while watcher.claimant.view.next_offset == 0:
            await asyncio.sleep(0)
    await owner.finish(permit, outcomes.Outcome.DONE, ANSWER)
    await owner.drain(20)
    for _ in range(20):
        await asyncio.sleep(0)  # The other host is between polls.
    assertions.assert_that(
        watcher.claimant.view.next_offset, matchers.Equals(1)
    )
    assertions.assert_that(await begin(other, "a"), matchers.Equals(ANSWER))
    await owner.stop()
    await other.stop()


def make_host(
    log: once_fake_log.FakeLog, number: int
) -> once_lib.AtMostOnceGuard:
    incarnation = identity.Incarnation(f"e{number}", 7)
    address = f"127.0.0.{number}:80"
    host = once_lib.AtMostOnceGuard(
        log, incarnation, address, SECRETS, lambda _: True
    )
    host.start()
    return host
