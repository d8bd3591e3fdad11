"""Copies of topics, and the choice of hosts to read them from."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.beliefs import topics

NAMES = [f"h{number}" for number in range(6)]


def change(key: str, offset: int, value: bytes | None = b"v") -> topics.Record:
    return topics.Record(key, value, relay_parts.make_place(offset))


@given(
    keys=st.lists(
        st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30
    ),
    asked=st.integers(0, 30),
    split=st.integers(0, 30),
)
def test_copy_brings_any_host_to_the_same_state(
    keys: list[tuple[str, bool]], asked: int, split: int
) -> None:
    changes = [
        change(key, at, b"%d" % at if kept else None)
        for at, (key, kept) in enumerate(keys)
    ]
    source = replication.TopicReplica()
    first = tuple(changes[:split])
    source.apply(topics.Batch(first, relay_parts.make_place(len(first))))
    end = relay_parts.make_place(len(changes))
    source.apply(topics.Batch(tuple(changes[split:]), end))
    asked = min(asked, len(changes))
    state = {each.key: each.value for each in changes[:asked]}
    copy = source.changes_since(relay_parts.make_place(asked))
    assert copy is not None
    if copy.is_snapshot:
        state = {}
    state.update({each.key: each.value for each in copy.records})
    expected = {each.key: each.value for each in changes}
    kept = {key: value for key, value in state.items() if value is not None}
    due = {key: value for key, value in expected.items() if value is not None}
    assertions.assert_that(kept, matchers.Equals(due))
    assertions.assert_that(copy.end, matchers.Equals(end))


def test_host_far_behind_gets_a_snapshot() -> None:
    source = replication.TopicReplica()
    assertions.assert_that(source.changes_since(None), matchers.Is(None))
    source.apply(
        topics.Batch(
            (change("a", 3),), relay_parts.make_place(10), is_snapshot=True
        )
    )
    end = 10 + 2 * replication.MAX_RECENT_CHANGES
    many = tuple(change(f"k{at}", at) for at in range(10, end))
    source.apply(topics.Batch(many, relay_parts.make_place(end)))
    for asked in (None, 0, 9, 20):
        place = None if asked is None else relay_parts.make_place(asked)
        copy = source.changes_since(place)
        assert copy is not None
        assertions.assert_that(copy.is_snapshot, matchers.Is(True))
        assertions.assert_that(
            copy.records,
            matchers.HasLength(2 * replication.MAX_RECENT_CHANGES + 1),
        )
    copy = source.changes_since(relay_parts.make_place(end - 5))
    assert copy is not None
    assertions.assert_that(copy.is_snapshot, matchers.Is(False))
    assertions.assert_that(copy.records, matchers.HasLength(5))


def test_only_newest_change_of_a_key_is_copied() -> None:
    source = replication.TopicReplica()
    changes = tuple(change("config", at, b"%d" % at) for at in range(5))
    source.apply(topics.Batch(changes, relay_parts.make_place(5)))
    copy = source.changes_since(relay_parts.make_place(1))
    assert copy is not None
    assertions.assert_that(copy.records, matchers.Equals((changes[4],)))
    assertions.assert_that(copy.end, matchers.Equals(relay_parts.make_place(5)))


@pytest.fixture
def all_sources() -> dict[str, replication.SourceSelector]:
    """The sources of six hosts of one failure domain."""
    made = {name: replication.SourceSelector(name, "z") for name in NAMES}
    for sources in made.values():
        for name in NAMES:
            sources.put(replication.Host(name, "z", f"127.0.0.1:{name[1:]}"))
        sources.put(replication.Host("far", "other", "127.0.0.1:99"))
    return made


def test_one_host_reads_the_store_and_there_are_no_cycles(
    all_sources: dict[str, replication.SourceSelector],
) -> None:
    asked = {
        name: [host.name for host in sources.candidates(0.0)]
        for name, sources in all_sources.items()
    }
    readers = [name for name, hosts in asked.items() if not hosts]
    assertions.assert_that(readers, matchers.HasLength(1))
    for name in NAMES:
        path = [name]
        while asked[path[-1]]:
            path.append(asked[path[-1]][0])
        assertions.assert_that(set(path), matchers.HasLength(len(path)))
        assertions.assert_that(path[-1], matchers.Equals(readers[0]))


def test_first_host_of_a_failure_domain_asks_first_host_of_another() -> None:
    hosts = [
        replication.Host(f"{zone}{number}", zone, f"127.0.0.1:{number}")
        for zone in "abcd"
        for number in range(3)
    ]
    asked: dict[str, list[replication.Host]] = {}
    for host in hosts:
        sources = replication.SourceSelector(host.name, host.zone)
        for each in hosts:
            sources.put(each)
        asked[host.name] = sources.candidates(0.0)
    readers = [name for name, found in asked.items() if not found]
    assertions.assert_that(readers, matchers.HasLength(1))
    steps = dict.fromkeys(readers, 0)
    for _ in hosts:
        for name, found in asked.items():
            if name not in steps and found[0].name in steps:
                steps[name] = steps[found[0].name] + 1
    # All hosts reach the reader through at most one intermediate host.
    assertions.assert_that(steps, matchers.HasLength(len(hosts)))
    assertions.assert_that(max(steps.values()), matchers.Equals(2))
    far = [
        name
        for name, found in asked.items()
        if found and found[0].zone != name[0]
    ]
    assertions.assert_that(far, matchers.HasLength(3))


def test_backoff_of_a_failing_host_grows(
    all_sources: dict[str, replication.SourceSelector],
) -> None:
    sources = next(
        each for each in all_sources.values() if len(each.candidates(0.0)) > 1
    )
    first, second = sources.candidates(0.0)[:2]
    sources.record_failure(first.name, 0.0)
    left = [host.name for host in sources.candidates(1.0)]
    assertions.assert_that(left[0], matchers.Equals(second.name))
    back = [host.name for host in sources.candidates(2.1)]
    assertions.assert_that(back[0], matchers.Equals(first.name))
    sources.record_failure(first.name, 2.1)
    left = [host.name for host in sources.candidates(5.0)]
    assertions.assert_that(first.name in left, matchers.Is(False))
    # A changed entry, as after a restart, resets the backoff.
    sources.put(replication.Host(first.name, "z", "127.0.0.1:777"))
    back = [host.name for host in sources.candidates(5.0)]
    assertions.assert_that(back[0], matchers.Equals(first.name))


def test_unlisted_host_reads_the_store() -> None:
    # Guards against a deadlock: the first of three hosts that started one after
    # another had read an empty host list. As it read the store itself, no other
    # host sent it a newer list, but it waited for one. No host ever knew all
    # three.
    sources = replication.SourceSelector("h1", "north")
    assertions.assert_that(sources.reads_early(), matchers.Is(True))
    sources.put(replication.Host("h2", "north", "10.0.0.2:1"))
    assertions.assert_that(sources.reads_early(), matchers.Is(True))
