"""Which requests are quarantined of ending servers, and which are not.

One request ended each of six servers that began to run it, four times in a
minute; 214 other requests were cut with it, 80 of them three times or more.
Only the first is to be refused: it alone was cut each time after its answer
had begun and before a part of it came.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.servers import suspects

if TYPE_CHECKING:
    from hoistmoor.core.relay.placement import router as router_lib

NOW = 100.0
LATER = NOW + suspects.SETTLED
Stage = runs.Stage


def run_of(
    fingerprint: str, stage: Stage = Stage.WAITING, lasted: float = 0.1
) -> runs.Run:
    begun_at = None if stage is Stage.WAITING else NOW - lasted
    return runs.Run(fingerprint, stage, begun_at)


def begun(fingerprint: str = "bad") -> runs.Run:
    return run_of(fingerprint, Stage.BEGUN)


def giving(fingerprint: str) -> runs.Run:
    return run_of(fingerprint, Stage.GIVING)


def assert_quarantined(
    book: suspects.SuspectTable, fingerprint: str, now: float, expected: bool
) -> None:
    assertions.assert_that(
        book.is_quarantined(fingerprint, now), matchers.Is(expected)
    )


def book_with(*ends: list[runs.Run]) -> suspects.SuspectTable:
    """Returns a book that has seen one server end after the other."""
    book = suspects.SuspectTable()
    for number, present in enumerate(ends):
        book.note_end(f"s{number}", present, NOW)
    return book


def test_two_ends_as_a_run_begins_are_enough_at_once() -> None:
    book = book_with([begun()])
    assert_quarantined(book, "bad", LATER, False)
    book.note_end("s1", [begun()], NOW)
    assert_quarantined(book, "bad", NOW, True)
    assertions.assert_that(book.newly_quarantined, matchers.Equals(["bad"]))


def test_one_server_that_ends_counts_once() -> None:
    book = book_with([begun()])
    book.note_end("s0", [begun()], NOW)
    assert_quarantined(book, "bad", LATER, False)


def test_a_start_counts_only_where_no_other_run_began() -> None:
    both = [begun(), begun("other")]
    book = book_with(both, both)
    assert_quarantined(book, "bad", NOW, False)
    assert_quarantined(book, "other", NOW, False)


def test_four_other_ends_are_enough_once_they_are_settled() -> None:
    ends = [[run_of("bad")] for _ in range(suspects.ENDS_TO_QUARANTINE)]
    assert_quarantined(book_with(*ends), "bad", NOW, False)
    assert_quarantined(book_with(*ends), "bad", LATER, True)
    assert_quarantined(book_with(*ends[1:]), "bad", LATER, False)


@pytest.mark.parametrize("stage", [Stage.WAITING, Stage.GIVING])
def test_what_runs_beside_is_not_quarantined(stage: Stage) -> None:
    ends = [[begun(), run_of("beside", stage)] for _ in range(6)]
    book = book_with(*ends)
    assert_quarantined(book, "bad", LATER, True)
    assert_quarantined(book, "beside", LATER, False)
    assertions.assert_that(book.is_likely_cause("beside"), matchers.Is(False))


def test_what_runs_beside_is_not_quarantined_for_want_of_starts() -> None:
    ends = [[run_of("bad"), run_of("beside")] for _ in range(4)]
    book = book_with([run_of("bad")], *ends)
    assert_quarantined(book, "bad", LATER, True)
    assert_quarantined(book, "beside", LATER, False)


def test_a_run_that_lasted_is_no_suspect() -> None:
    lasted = suspect_state.AT_BEGIN + 0.1
    ends = [[run_of("long", Stage.GIVING, lasted)] for _ in range(6)]
    assert_quarantined(book_with(*ends), "long", LATER, False)
    # Its answer began long ago, so the end was not at its begin.
    slow = [[run_of("slow", Stage.BEGUN, lasted)] for _ in range(2)]
    assert_quarantined(book_with(*slow), "slow", LATER, False)


def test_an_answer_clears_but_not_for_ever() -> None:
    book = book_with([begun()], [begun()])
    book.note_answered("bad", NOW)
    assert_quarantined(book, "bad", LATER, False)
    later = NOW + suspects.ANSWERED_LIFE + 1.0
    run = runs.Run("bad", Stage.BEGUN, later)
    book.note_end("s2", [run], later)
    assert_quarantined(book, "bad", later, False)
    book.note_end("s3", [run], later)
    assert_quarantined(book, "bad", later, True)


def test_an_answer_elsewhere_clears() -> None:
    book, other = book_with([begun()], [begun()]), suspects.SuspectTable()
    other.take(book.news(0, NOW)[0], NOW)
    other.note_answered("bad", NOW)
    book.take(other.news(0, NOW)[0], NOW)
    assert_quarantined(book, "bad", LATER, False)


def test_a_quarantine_ends() -> None:
    book = book_with([begun()], [begun()])
    left = book.left_for("bad", NOW + 1.0)
    assertions.assert_that(left, matchers.Equals(suspects.QUARANTINE - 1.0))
    assert_quarantined(book, "bad", NOW + suspects.QUARANTINE + 1.0, False)
    assertions.assert_that(
        book.quarantined(NOW + suspects.QUARANTINE + 1.0), matchers.Equals({})
    )


def test_what_is_old_is_not_taken() -> None:
    book = book_with([begun()], [begun()])
    (told,), _ = book.news(0, NOW + suspects.QUARANTINE + 1.0)
    other = suspects.SuspectTable()
    other.take([told], NOW)
    assert_quarantined(other, "bad", NOW, False)


@pytest.mark.parametrize("hosts", [1, 7, 84, 360])
def test_hosts_agree_in_whatever_order_they_are_told(hosts: int) -> None:
    draw = random.Random(hosts)
    seen = [suspects.SuspectTable() for _ in range(hosts)]
    for number in range(suspects.ENDS_TO_QUARANTINE):
        for run in [run_of("bad"), giving(f"beside{number}"), giving("beside")]:
            present = [run] if run.fingerprint != "beside" or number else []
            draw.choice(seen).note_end(f"s{number}", present, NOW)
    told = list(
        itertools.chain.from_iterable(each.news(0, NOW)[0] for each in seen)
    )
    for _ in range(10):
        draw.shuffle(told)
        book = suspects.SuspectTable()
        book.take(told, NOW)
        assert_quarantined(book, "bad", LATER, True)
        assert_quarantined(book, "beside", LATER, False)


def test_memory_is_bounded_and_those_in_quarantine_stay() -> None:
    book = book_with([begun()], [begun()])
    for number in range(20):
        present = [run_of(f"r{number}.{each}") for each in range(50)]
        book.note_end(f"t{number}", present, NOW + 1.0)
    news, after, count = (), 0, 0
    while after < book.serials.newest:
        news, after = book.news(after, NOW)
        assertions.assert_that(
            len(news), matchers.LessThan(suspects.MOST_TOLD + 1)
        )
        count += len(news)
    assertions.assert_that(count, matchers.LessThan(suspects.MOST_SUSPECTS + 2))
    assert_quarantined(book, "bad", LATER, True)


def test_only_what_is_new_is_told() -> None:
    book = book_with([begun()])
    news, after = book.news(0, NOW)
    assertions.assert_that(news, matchers.HasLength(1))
    assertions.assert_that(book.news(after, NOW)[0], matchers.HasLength(0))
    # What another host tells again changes nothing.
    book.take(news, NOW)
    assertions.assert_that(book.news(after, NOW)[0], matchers.HasLength(0))
    book.note_end("s1", [begun()], NOW)
    assertions.assert_that(book.news(after, NOW)[0], matchers.HasLength(1))


def test_requests_without_a_name_are_no_suspects() -> None:
    book = book_with([runs.Run()], [runs.Run()])
    assertions.assert_that(book.serials.newest, matchers.Equals(0))


def test_what_all_callers_ask_alike_is_not_refused() -> None:
    """Servers end by themselves under a request that is answered all day."""
    book, other = suspects.SuspectTable(), suspects.SuspectTable()
    other.note_answered("common", NOW)
    for number in range(6):
        book.note_end(f"s{number}", [begun("common")], NOW)
        other.note_end(f"s{number}", [begun("common")], NOW)
    assertions.assert_that(other.serials.newest, matchers.Equals(0))
    assert_quarantined(book, "common", NOW, True)
    # Whoever has just seen it answered says so, and is believed.
    other.take(book.news(0, NOW)[0], NOW)
    assert_quarantined(other, "common", NOW, False)
    book.take(other.news(0, NOW)[0], NOW)
    assert_quarantined(book, "common", NOW, False)


def test_remembered_answers_are_bounded() -> None:
    book = suspects.SuspectTable()
    book.note_answered("first", NOW)
    for number in range(suspects.MOST_ANSWERED):
        book.note_answered(f"r{number}", NOW)
    book.note_end("s0", [begun("first"), begun("r9")], NOW)
    assertions.assert_that(
        [each.fingerprint for each in book.news(0, NOW)[0]],
        matchers.Equals(["first"]),
    )


def test_of_two_that_were_always_together_the_next_end_tells() -> None:
    both = [run_of("bad"), run_of("beside")]
    book = book_with(*[both for _ in range(suspects.ENDS_TO_QUARANTINE)])
    assert_quarantined(book, "bad", LATER, False)
    assert_quarantined(book, "beside", LATER, False)
    book.note_end("next", [run_of("bad")], LATER)
    assert_quarantined(book, "bad", LATER + suspects.SETTLED, True)
    assert_quarantined(book, "beside", LATER + suspects.SETTLED, False)


def test_a_run_that_was_given_up_says_little() -> None:
    dropped = [
        runs.Run("dropped", Stage.BEGUN, NOW - 0.1, left_at=NOW)
        for _ in range(2)
    ]
    cut = [
        runs.Run("cut", Stage.BEGUN, NOW - 0.1, is_cut=True, left_at=NOW)
        for _ in range(2)
    ]
    book = book_with([dropped[0]], [dropped[1]])
    assert_quarantined(book, "dropped", NOW, False)
    book = book_with([cut[0]], [cut[1]])
    assert_quarantined(book, "cut", NOW, True)


def test_a_run_that_its_caller_left_is_noted_when_others_tell_of_the_end(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.entry("s0"))
    server = router.fleet.servers["s0"]
    left = runs.Run("left")
    server.runs.add(left)
    server.runs.end(left, NOW)
    told = suspect_state.Suspect("beside", {"s0": Stage.GIVING})
    router.take_suspects([told], NOW + 0.5)
    news, _ = router.suspects.news(0, NOW)
    names = {each.fingerprint for each in news}
    assertions.assert_that(names, matchers.Equals({"beside", "left"}))
    # Nor is the server sent anything more.
    assertions.assert_that(server.is_gone(NOW + 0.5), matchers.Is(True))
