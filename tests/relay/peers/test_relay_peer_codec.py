"""What relays say to one another, as bytes."""

from __future__ import annotations

import math

import attrs
import orjson
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.servers import departure_words
from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import serials
from hoistmoor.relay.peers import peer_codec


def answer(value: bytes | None) -> peer_codec.CopyAnswer:
    batch = topics.Batch(
        (topics.Record("config", value, relay_parts.at(3, 7)),),
        relay_parts.at(4, 7),
    )
    copy = peer_codec.TopicCopy(batch, after_outage=1.0, age=0.2)
    return peer_codec.CopyAnswer(
        1, {"operator": copy}, {"s1": outstanding.ServerWork(5.0, 2)}
    )


@pytest.mark.parametrize("value", [None, b"", b"{}", bytes(range(256))])
def test_what_is_written_is_read(value: bytes | None) -> None:
    written = answer(value)
    read = peer_codec.decode_answer(peer_codec.encode(written))
    assertions.assert_that(read, matchers.Equals(written))


def test_words_of_limits_are_read_as_they_were_written() -> None:
    words = {
        "s1": limits.LimitWord(1.7, 2, 0.4),
        "s2": limits.LimitWord(None, 0, 3.0),
    }
    written = attrs.evolve(answer(None), limits=words)
    read = peer_codec.decode_answer(peer_codec.encode(written))
    assertions.assert_that(read.limits, matchers.Equals(words))
    asked = peer_codec.CopyRequest({}, "h1", limits=words)
    heard = peer_codec.decode_request(peer_codec.encode(asked))
    assertions.assert_that(heard.limits, matchers.Equals(words))


def test_words_of_departures_are_few_bytes_and_told_once() -> None:
    words = departure_words.DepartureWords(serials.Serials())
    for number in range(100):
        words.note(f"i-{number:010}@1796281099000", 50.0 + number)
    heard: dict[str, float] = {}
    until = 0
    for size in (64, 36, 0):
        ages, until = words.news(until, 160.0)
        assertions.assert_that(len(ages), matchers.Equals(size))
        news = peer_codec.News("h1-1", departures=ages, until=until)
        data = peer_codec.encode(peer_codec.CopyRequest({}, "h2", news=news))
        assertions.assert_that(len(data), matchers.LessThan(4096))
        heard |= peer_codec.decode_request(data).news.departures
    assertions.assert_that(len(heard), matchers.Equals(100))
    assertions.assert_that(
        heard["i-0000000010@1796281099000"], matchers.Equals(100.0)
    )


def test_a_configuration_takes_a_fraction_of_its_size() -> None:
    value = b'{"name":"route","path_prefix":"/a/","kind":"stream"},' * 400
    assertions.assert_that(
        len(peer_codec.encode(answer(value))),
        matchers.LessThan(len(value) // 10),
    )


@pytest.mark.parametrize("missing", ["servers", "operator"])
def test_an_answer_is_as_old_as_its_oldest_topic(missing: str) -> None:
    found = answer(b"{}")
    copies = {
        name: attrs.evolve(found.topics["operator"], age=age)
        for name, age in {"operator": 0.2, "servers": 2.5}.items()
    }
    both = attrs.evolve(found, topics=copies)
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
def test_other_bytes_are_a_value_error(data: bytes) -> None:
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
def test_a_host_s_entry_that_names_no_host(fields: object) -> None:
    with pytest.raises(ValueError, match="not a Host"):
        peer_codec.decode_host(orjson.dumps(fields))
