"""Tests the clients for the host list, ratings, weights and engines."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import engines
from hoistmoor.clients import hosts
from hoistmoor.clients import ratings
from hoistmoor.clients import service_client
from hoistmoor.clients import weights
from hoistmoor.standins import engine as engine_standin
from hoistmoor.standins import fault_injection
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import flags as flags_module
from hoistmoor.standins import programs
from hoistmoor.standins import quality_marks
from hoistmoor.standins import runner

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

HOST = "entry-1,10.0.0.1:80,bangna,entry"


@attrs.frozen
class StandIn:
    """A running stand-in service and its faults."""

    url: str
    address: str
    book: fault_registry.FaultRegistry


async def _serve(program: runner.Program) -> AsyncIterator[StandIn]:
    async with runner.serve_program(program) as address:
        book = program.application[fault_injection.FAULTS]
        yield StandIn(f"http://{address}", address, book)


@pytest.fixture
async def platform() -> AsyncIterator[StandIn]:
    flags = flags_module.PlatformFlags(host=(HOST,), weights_rate=2.0)
    async for stand_in in _serve(programs.platform(flags)):
        yield stand_in


@pytest.fixture
async def engine() -> AsyncIterator[StandIn]:
    settings = engine_standin.EngineSettings(
        name="engine-1",
        incarnation=7,
        quality={"fast@1": 0.8},
        loaded=frozenset({"fast@1"}),
        report_interval=0.0,
        event_lag=0.0,
        load_time=0.0,
    )
    async for stand_in in _serve(programs.engine(settings)):
        yield stand_in


async def test_host_list(
    platform: StandIn, session: aiohttp.ClientSession
) -> None:
    client = hosts.HostListClient(session, platform.url)
    expected = hosts.ListedHost(
        "entry-1",
        "10.0.0.1:80",
        "bangna",
        hosts.Role.ENTRY,
        hosts.ListedState.LIVE,
        1,
    )
    assertions.assert_that(await client.fetch(), matchers.Equals((expected,)))
    leaving = {**attrs.asdict(expected), "state": "leaving"}
    put = f"{platform.url}/hosts/entry-1"
    platform.book.add(faults.Lag(match="/hosts", seconds=60.0))
    async with session.put(put, json=leaving) as response:
        assertions.assert_that(response.status, matchers.Equals(200))
    # The list is delayed and still shows the state before the change.
    assertions.assert_that(await client.fetch(), matchers.Equals((expected,)))
    platform.book.clear()
    (row,) = await client.fetch()
    assertions.assert_that(row.state, matchers.Is(hosts.ListedState.LEAVING))


async def test_ratings(
    platform: StandIn, session: aiohttp.ClientSession
) -> None:
    client = ratings.RatingsClient(session, platform.url)
    good = ratings.ModelResponse(
        "1", "fast", "1", "chat", quality_marks.make_mark(True, "a")
    )
    bad = ratings.ModelResponse(
        "2", "fast", "1", "chat", quality_marks.make_mark(False, "b")
    )
    unmarked = ratings.ModelResponse("3", "fast", "1", "chat", "no mark")
    await client.submit(good, bad, unmarked)
    await client.submit(good)
    page = await client.poll(0)
    found = [(row.answer_id, row.good) for row in page.ratings]
    assertions.assert_that(found, matchers.Equals([("1", True), ("2", False)]))
    again = await client.poll(page.next)
    assertions.assert_that(again.ratings, matchers.HasLength(0))


async def test_weights_are_rate_limited(
    platform: StandIn, session: aiohttp.ClientSession
) -> None:
    client = weights.WeightStoreClient(session, platform.url)
    info = await client.fetch_info("fast", "1")
    assertions.assert_that(info.version, matchers.Equals("1"))
    with pytest.raises(service_client.RateLimitedError) as raised:
        for _ in range(50):
            await client.fetch_info("fast", "1")
    assertions.assert_that(raised.value.retry_after, matchers.Equals(1.0))


async def test_load_report(
    engine: StandIn, session: aiohttp.ClientSession
) -> None:
    client = engines.EngineClient(session)
    report = await client.fetch_load(engine.address)
    assertions.assert_that(
        (report.server, report.incarnation, report.state, report.versions),
        matchers.Equals(("engine-1", 7, "live", ("fast@1",))),
    )
    engine.book.add(faults.Leaving())
    report = await client.fetch_load(engine.address)
    assertions.assert_that(report.state, matchers.Equals("leaving"))


async def test_stale_orders_are_rejected_while_fencing_is_honoured(
    engine: StandIn, session: aiohttp.ClientSession
) -> None:
    client = engines.EngineClient(session)
    new = engines.Order(9, ("fast@1", "fast@2"))
    old = engines.Order(8, ("fast@1",))
    assertions.assert_that(
        (await client.send_order(engine.address, new)).fencing,
        matchers.Equals(9),
    )
    await client.send_order(engine.address, new)
    with pytest.raises(engines.StaleOrderError) as raised:
        await client.send_order(engine.address, old)
    assertions.assert_that(raised.value.highest_fencing, matchers.Equals(9))
    engine.book.add(faults.Fencing(honoured=False))
    state = await client.send_order(engine.address, old)
    assertions.assert_that(state.wanted, matchers.Equals(("fast@1",)))
    assertions.assert_that(state.fencing, matchers.Equals(9))


async def test_the_state_shows_an_order_whose_response_was_lost(
    engine: StandIn, session: aiohttp.ClientSession
) -> None:
    client = engines.EngineClient(session)
    engine.book.add(faults.ApplyButLoseReply(match="/orders", count=1))
    with pytest.raises(service_client.ServiceUnavailableError):
        await client.send_order(engine.address, engines.Order(3, ("fast@2",)))
    state = await client.fetch_state(engine.address)
    assertions.assert_that(
        (state.fencing, state.wanted), matchers.Equals((3, ("fast@2",)))
    )


async def test_cache_events_may_have_gaps(
    engine: StandIn, session: aiohttp.ClientSession
) -> None:
    client = engines.EngineClient(session)
    for text in "abcd":
        await _complete(session, engine, text * 1100)
    page = await client.fetch_cache_events(engine.address, 0)
    sequences = [event.sequence for event in page.events]
    assertions.assert_that(sequences, matchers.Equals([0, 1, 2, 3]))
    assertions.assert_that(page.events[0].stored, matchers.HasLength(2))
    engine.book.add(faults.Gap(every=2))
    page = await client.fetch_cache_events(engine.address, 0)
    sequences = [event.sequence for event in page.events]
    assertions.assert_that(sequences, matchers.Equals([0, 2]))


async def _complete(
    session: aiohttp.ClientSession, engine: StandIn, text: str
) -> None:
    body: dict[str, Any] = {
        "model": "fast@1",
        "max_tokens": 1,
        "messages": [{"role": "user", "content": text}],
    }
    url = f"{engine.url}/v1/chat/completions"
    async with session.post(url, json=body) as response:
        await response.read()


@pytest.mark.parametrize(
    "fault",
    [
        faults.Outage(),
        faults.CutBeforeAnswer(),
        faults.CutAfterBytes(bytes=1),
        faults.Freeze(),
    ],
)
async def test_failed_reads_time_out_with_typed_errors(
    platform: StandIn, session: aiohttp.ClientSession, fault: faults.Fault
) -> None:
    platform.book.add(fault)
    with pytest.raises(service_client.ServiceUnavailableError):
        await hosts.HostListClient(session, platform.url, 0.2).fetch()
    with pytest.raises(service_client.ServiceUnavailableError):
        await ratings.RatingsClient(session, platform.url, 0.2).poll(0)
    with pytest.raises(service_client.ServiceUnavailableError):
        await weights.WeightStoreClient(session, platform.url, 0.2).fetch_info(
            "fast", "1"
        )
