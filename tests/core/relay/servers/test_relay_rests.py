"""What one host believes of the rest that servers ask for."""

from __future__ import annotations

import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import access
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import rests

NOW = 100.0


def test_of_several_rests_the_one_that_ends_last_holds() -> None:
    belief = rests.RestBelief()
    assertions.assert_that(belief.note(3.0, NOW), matchers.Is(True))
    assertions.assert_that(belief.note(0.5, NOW + 1.0), matchers.Is(False))
    assertions.assert_that(belief.left(NOW + 1.0), matchers.Equals(2.0))
    assertions.assert_that(belief.note(3.0, NOW + 1.0), matchers.Is(False))
    assertions.assert_that(belief.left(NOW + 1.0), matchers.Equals(3.0))
    assertions.assert_that(belief.left(NOW + 4.0), matchers.Equals(0.0))
    assertions.assert_that(belief.note(1.0, NOW + 4.0), matchers.Is(True))


def test_a_resting_server_is_no_last_resort() -> None:
    made = fleet_lib.Fleet()
    made.put(relay_parts.entry("a"))
    made.put(relay_parts.entry("b"))
    for server in made:
        server.rest.note(3.0, NOW)
    ready = relay_parts.ready(made, "desk", {"v1"}, (), NOW + 2.9)
    assertions.assert_that(ready, matchers.Equals([]))
    made.servers["b"].rest.note(9.0, NOW)
    assertions.assert_that(
        made.outlook("desk", NOW + 1.0),
        matchers.Equals(access.Outlook(access.Bar.RESTING, 2.0)),
    )
    assertions.assert_that(made.outlook("desk", NOW + 3.0), matchers.Is(None))


def test_a_session_keeps_its_version_while_its_servers_rest() -> None:
    made = fleet_lib.Fleet()
    made.put(relay_parts.entry("a"))
    made.put(relay_parts.entry("b", version="v2"))
    made.servers["a"].rest.note(3.0, NOW)
    assertions.assert_that(made.versions("desk", NOW), matchers.Equals({"v2"}))
    assertions.assert_that(
        made.versions("desk", NOW, access.SHORT), matchers.Equals({"v1", "v2"})
    )


def test_another_start_need_not_rest() -> None:
    made = fleet_lib.Fleet()
    made.put(relay_parts.entry("a", born=1000))
    made.servers["a"].rest.note(9.0, NOW)
    made.put(relay_parts.entry("a", born=2000))
    assertions.assert_that(made.outlook("desk", NOW), matchers.Is(None))


def test_the_first_request_after_a_rest_tells_of_its_end() -> None:
    belief = rests.RestBelief()
    assertions.assert_that(belief.note_send(NOW), matchers.Is(False))
    belief.note(3.0, NOW)
    assertions.assert_that(belief.note_send(NOW + 2.9), matchers.Is(False))
    assertions.assert_that(belief.note_send(NOW + 3.0), matchers.Is(True))
    assertions.assert_that(belief.note_send(NOW + 3.1), matchers.Is(False))


def test_requests_come_back_to_a_rested_server_step_by_step() -> None:
    made = fleet_lib.Fleet()
    made.put(relay_parts.entry("a"))
    made.put(relay_parts.entry("b"))
    made.servers["a"].rest.note(3.0, NOW)
    for later, part in ((3.0, 0.0), (3.5, 0.25), (4.0, 0.5), (5.0, 1.0)):
        now = NOW + later
        found = [
            len(relay_parts.ready(made, "desk", {"v1"}, (), now, draw / 100))
            == 2
            for draw in range(1, 101)
        ]
        assertions.assert_that(sum(found) / 100, matchers.Equals(part))
    # Where no other is left, all requests come back at once.
    made.remove("b")
    ready = relay_parts.ready(made, "desk", {"v1"}, (), NOW + 3.0, 0.9)
    assertions.assert_that(len(ready), matchers.Equals(1))


def test_a_rest_holds_on_while_the_entry_comes_and_goes() -> None:
    made = fleet_lib.Fleet()
    made.put(relay_parts.entry("a"))
    made.servers["a"].rest.note(9.0, NOW)
    made.remove("a")
    made.put(relay_parts.entry("a"), NOW + 1.0)
    ready = relay_parts.ready(made, "desk", {"v1"}, (), NOW + 1.0)
    assertions.assert_that(ready, matchers.Equals([]))
