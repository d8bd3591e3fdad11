"""Tests of the encoding of messages between relays."""

from __future__ import annotations

import math

import attrs
import orjson
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import departure_gossip
from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.core.relay.servers import serials
from hoistmoor.relay.peers import peer_codec


def answer(value: bytes | None) -> peer_codec.CopyAnswer:
    batch = topics.Batch(
        (topics.Record("config", value, relay_parts.make_place(3, 7)),),
        relay_parts.make_place(4, 7),
    )
    copy = peer_codec.TopicCopy(batch, after_outage=1.0, age=0.2)
    return peer_codec.CopyAnswer(
        1, {"operator": copy}, {"s1": outstanding.ServerWork(5.0, 2)}
    )


@pytest.mark.parametrize("value", [None, b"", b"{}", bytes(range(256))])
def test_answer_round_trip(value: bytes | None) -> None:
    message = answer(value)
    decoded = peer_codec.decode_answer(peer_codec.encode(message))
    assertions.assert_that(decoded, matchers.Equals(message))


def test_limits_round_trip() -> None:
    reported = {
        "s1": limits.GossipedLimit(1.7, 2, 0.4),
        "s2": limits.GossipedLimit(None, 0, 3.0),
    }
    response = attrs.evolve(answer(None), limits=reported)
    decoded = peer_codec.decode_answer(peer_codec.encode(response))
    assertions.assert_that(decoded.limits, matchers.Equals(reported))
    request = peer_codec.CopyRequest({}, "h1", limits=reported)
    received = peer_codec.decode_request(peer_codec.encode(request))
    assertions.assert_that(received.limits, matchers.Equals(reported))


def test_evidence_about_prompt_parts_round_trip() -> None:
    run = part_evidence.CrashedRun("f", ("system", "bad"), has_begun=True)
    changes = crashing_parts.PartChanges(
        (part_evidence.ServerCrash("s0", "llm", "v1", (run,), age=0.5),),
        (part_evidence.ServedPart("llm", "v1", "system", 0.1),),
        (part_evidence.PartQuarantine("llm", ("bad",), ("s0",), ("v1",)),),
    )
    request = peer_codec.CopyRequest(
        {}, news=peer_codec.StateChanges(parts=changes)
    )
    decoded = peer_codec.decode_request(peer_codec.encode(request))
    assertions.assert_that(decoded.news.parts, matchers.Equals(changes))


def test_hosts_of_an_earlier_version_send_no_evidence_about_parts() -> None:
    encoded = orjson.loads(peer_codec.encode(peer_codec.CopyRequest({})))
    del encoded["news"]["parts"]
    decoded = peer_codec.decode_request(orjson.dumps(encoded))
    assertions.assert_that(
        decoded.news.parts, matchers.Equals(crashing_parts.PartChanges())
    )


def test_departures_are_sent_once_in_small_messages() -> None:
    departures = departure_gossip.DepartureGossip(serials.Serials())
    for number in range(100):
        departures.record(f"i-{number:010}@1796281099000", 50.0 + number)
    received: dict[str, float] = {}
    until = 0
    for size in (64, 36, 0):
        ages, until = departures.changes_since(until, 160.0)
        assertions.assert_that(len(ages), matchers.Equals(size))
        news = peer_codec.StateChanges("h1-1", departures=ages, until=until)
        data = peer_codec.encode(peer_codec.CopyRequest({}, "h2", news=news))
        assertions.assert_that(len(data), matchers.LessThan(4096))
        received |= peer_codec.decode_request(data).news.departures
    assertions.assert_that(len(received), matchers.Equals(100))
    assertions.assert_that(
        received["i-0000000010@1796281099000"], matchers.Equals(100.0)
    )


def test_configuration_is_compressed() -> None:
    value = b'{"name":"route","path_prefix":"/a/","kind":"stream"},' * 400
    assertions.assert_that(
        len(peer_codec.encode(answer(value))),
        matchers.LessThan(len(value) // 10),
    )


@pytest.mark.parametrize("missing", ["servers", "operator"])
def test_age_of_answer_is_age_of_oldest_topic(missing: str) -> None:
    base = answer(b"{}")
    copies = {
        name: attrs.evolve(base.topics["operator"], age=age)
        for name, age in {"operator": 0.2, "servers": 2.5}.items()
    }
    both = attrs.evolve(base, topics=copies)
    names = frozenset(copies)
    assertions.assert_that(max(map(both.age_of, names)), matchers.Equals(2.5))
    del copies[missing]
    assertions.assert_that(
        max(map(both.age_of, names)), matchers.Equals(math.inf)
    )


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b'{"depth": "x"}',
        b'{"depth":0,"topics":{"a":{"batch":{"records":[{"key":"a",'
        b'"value":"bm90IHppcHBlZA==","place":[1,1]}],"end":[1,2],'
        b'"is_snapshot":false},"after_outage":1,"age":1}},"work":{}}',
    ],
)
def test_malformed_answer_raises_value_error(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"\w"):
        peer_codec.decode_answer(data)


@pytest.mark.parametrize(
    "fields",
    [
        {"zone": "a", "address": "10.0.0.1:1"},
        {"name": "h1", "zone": "a", "address": "nowhere"},
        {"name": "h1", "zone": "a", "address": "10.0.0.1:1", "link": "wide"},
        [],
        7,
    ],
)
def test_malformed_host_entry_raises_value_error(fields: object) -> None:
    with pytest.raises(ValueError, match="not a Host"):
        peer_codec.decode_host("h1", orjson.dumps(fields))
