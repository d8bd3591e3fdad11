"""What hosts tell one another of the work that they have under way."""

from __future__ import annotations

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.course import requests
from hoistmoor.core.relay.placement import partition
from hoistmoor.core.relay.placement import placement
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import outstanding as outstanding_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.routing import hashing

NOW = 100.0


def works(**numbers: float) -> outstanding_lib.WorkByServer:
    """Returns work by server; of each there is a request for a unit."""
    return {
        name: outstanding_lib.ServerWork(number, int(number))
        for name, number in numbers.items()
    }


OWN = works(a=1.0)


@pytest.fixture
def known() -> outstanding_lib.OutstandingWork:
    """What two hosts that ask this one told, and what its source told."""
    made = outstanding_lib.OutstandingWork()
    made.take("n2", works(a=2.0, b=4.0), NOW)
    made.take("n3", works(b=8.0), NOW)
    made.take_rest(works(c=16.0), NOW)
    return made


def test_a_host_is_told_the_work_of_all_others(
    known: outstanding_lib.OutstandingWork,
) -> None:
    told = known.told_to("n2", OWN, NOW)
    assertions.assert_that(told, matchers.Equals(works(a=1.0, b=8.0, c=16.0)))
    assertions.assert_that(
        known.of_others(NOW), matchers.Equals(works(a=2.0, b=12.0, c=16.0))
    )


def test_a_source_is_told_what_it_does_not_tell_itself(
    known: outstanding_lib.OutstandingWork,
) -> None:
    assertions.assert_that(
        known.told_to_source(OWN, NOW), matchers.Equals(works(a=3.0, b=12.0))
    )


def test_a_host_that_falls_silent_counts_no_more(
    known: outstanding_lib.OutstandingWork,
) -> None:
    later = NOW + outstanding_lib.REPORT_LIFE + 0.1
    assertions.assert_that(known.of_others(later), matchers.Is(None))
    known.take("n3", works(b=1.0), later)
    assertions.assert_that(
        known.of_others(later), matchers.Equals(works(b=1.0))
    )


def test_many_hosts_with_the_same_news_do_not_all_choose_the_same_engine() -> (
    None
):
    ready = [
        server_lib.ServerState(
            relay_parts.entry(f"e{number}", service="llm", slots=64)
        )
        for number in range(40)
    ]
    work_class = partition.WorkClass(0, 3, False)
    # Nothing of it is shared, so no engine has any of it cached.
    own_prompt = requests.Prompt(
        "*", 1000, 50, (requests.PromptPart("own", 1000),)
    )
    chosen = set()
    for host in range(40):
        found = placement.pick_engine(
            ready,
            relay_parts.request(relay_parts.CHAT, prompt=own_prompt),
            "small",
            "",
            partition.distances(work_class, ready),
            1000.0,
            hashing.Draws.seeded(host),
            NOW,
        )
        assert found is not None
        chosen.add(found.entry.server_id)
    assertions.assert_that(len(chosen), matchers.GreaterThan(4))


def test_work_that_others_told_counts_until_it_is_old() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.entry("a"))
    state = fleet.servers["a"]
    state.load.others, state.load.at = 3, NOW
    fleet.take_others_work(works(a=500.0), NOW)
    state.work = 20.0
    assertions.assert_that(
        state.waiting_work(100.0, NOW + 0.1), matchers.Equals(520.0)
    )
    # Without news, what the server last told of its load is all there is.
    assertions.assert_that(
        state.waiting_work(100.0, NOW + fleet_lib.WORK_LIFE),
        matchers.Equals(320.0),
    )
