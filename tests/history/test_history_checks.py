"""Tests that each check reports violations of its own invariant only."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.history import checker
from hoistmoor.history import events
from hoistmoor.history import files
from hoistmoor.history.checks import at_most_once
from hoistmoor.history.checks import billing
from hoistmoor.history.checks import complete_responses
from hoistmoor.history.checks import configuration
from hoistmoor.history.checks import grants
from hoistmoor.history.checks import not_run
from hoistmoor.history.checks import sessions
from hoistmoor.history.checks import stops
from hoistmoor.history.checks import withdrawals
from hoistmoor.load import main

if TYPE_CHECKING:
    import pathlib

CONFIRM = "POST /confirm"
TERMS = files.Terms((CONFIRM,))
DONE = outcomes.Outcome.DONE
NOT_RUN = outcomes.Outcome.NOT_RUN

CONFIRM_REQUEST = events.Asked(1, 1.0, "a", "agents", CONFIRM, "k", "m1")
CONFIRM_RUN = events.Ran(1.5, "counter", CONFIRM, "a.1.1", "k", "m1")
CONFIRM_RESPONSE = events.Told(
    1, 2.0, DONE, request_id="a.1", version=CONFIRM, whole=True, mark="m1"
)
CHAT_REQUEST = events.Asked(2, 3.0, "b", "agents", "khao", "", "m2", "s")
CHAT_RUN = events.Ran(3.5, "engine", "khao@1", "b.1.1")
CHAT_RESPONSE = events.Told(
    2, 4.0, DONE, request_id="b.1", version="khao@1", whole=True
)
CONFIRM_BILL = events.Billed(0, "agents", "a.1", 5)
CHAT_BILL = events.Billed(1, "agents", "b.1", 7)

CLEAN_EVENTS = (
    events.Allowed(0.0, 0, "agents", CONFIRM, True),
    events.Allowed(0.0, 0, "agents", "khao@1", True),
    CONFIRM_REQUEST,
    CONFIRM_RUN,
    CONFIRM_RESPONSE,
    CONFIRM_BILL,
    CHAT_REQUEST,
    CHAT_RUN,
    CHAT_RESPONSE,
    CHAT_BILL,
    # Events that the invariants permit: a duplicate bill, a reported session
    # move, a cut connection without a stop, and a host that is up to date in
    # time.
    attrs.evolve(CHAT_BILL, offset=2),
    events.Withdrawn(4.5, "khao@1"),
    events.Allowed(0.0, 0, "agents", "khao@2", True),
    events.Asked(3, 5.0, "b", "agents", "khao", "", "m3", "s"),
    events.Ran(5.1, "engine", "khao@2", "b.2.1"),
    events.Told(
        3, 5.5, DONE, request_id="b.2", version="khao@2", whole=True,
        moved=True,
    ),
    events.Billed(3, "agents", "b.2", 9),
    events.Asked(4, 6.0, "c", "agents", "khao", "", "m4"),
    events.Cut(4, 6.5),
    events.Accepted(7.0, 3, 3.0),
    events.Revision(8.0, "a", 1, 0),
    events.Revision(9.9, "a", 1, 3),
    events.Revision(10.5, "a", 2, 3),
    events.Revision(10.6, "d", 1, -1),  # It is starting, without a table.
)  # fmt: skip

REPEATED_REQUEST = events.Asked(9, 20.0, "a", "agents", CONFIRM, "k", "m1")

VIOLATIONS = (
    (
        at_most_once.INVARIANT,
        (),
        (events.Ran(1.7, "other", CONFIRM, "c.1.1", "k", "m1"),),
    ),
    (
        not_run.INVARIANT,
        (CONFIRM_RESPONSE, CONFIRM_BILL),
        (attrs.evolve(CONFIRM_RESPONSE, outcome=NOT_RUN, reason="stopping"),),
    ),
    (
        not_run.INVARIANT,
        (),
        (
            REPEATED_REQUEST,
            events.Told(9, 21.0, NOT_RUN, key_outcome=NOT_RUN, reason="x"),
        ),
    ),
    (billing.INVARIANT, (CHAT_BILL, attrs.evolve(CHAT_BILL, offset=2)), ()),
    (billing.INVARIANT, (), (attrs.evolve(CHAT_BILL, offset=9, amount=8),)),
    (billing.INVARIANT, (), (attrs.evolve(CHAT_BILL, account="others"),)),
    (billing.INVARIANT, (), (events.Billed(9, "agents", "z.1", 1),)),
    (
        complete_responses.INVARIANT,
        (CHAT_RESPONSE,),
        (attrs.evolve(CHAT_RESPONSE, whole=False),),
    ),
    (
        complete_responses.INVARIANT,
        (CONFIRM_RESPONSE,),
        (attrs.evolve(CONFIRM_RESPONSE, mark="m2"),),
    ),
    (
        complete_responses.INVARIANT,
        (CHAT_RESPONSE,),
        (attrs.evolve(CHAT_RESPONSE, own=False),),
    ),
    (complete_responses.INVARIANT, (), (attrs.evolve(CHAT_RESPONSE, at=4.1),)),
    (
        grants.INVARIANT,
        (),
        (events.Allowed(3.2, 2, "agents", "khao@1", False),),
    ),
    (
        grants.INVARIANT,
        (CHAT_RUN,),
        (attrs.evolve(CHAT_RUN, item="khao@3"),),
    ),
    (
        withdrawals.WITHDRAWN,
        (),
        (events.Ran(4.6, "engine", "khao@1", "b.1.2"),),
    ),
    (withdrawals.LEAVING, (), (events.ServerLeft(3.0, "engine"),)),
    (
        sessions.INVARIANT,
        (events.Withdrawn(4.5, "khao@1"),),
        (),
    ),
    (stops.INVARIANT, (), (events.StopAsked(6.2, "c"),)),
    (
        configuration.IN_FORCE,
        (),
        (events.Revision(10.1, "b", 1, 2),),
    ),
    (
        configuration.NEVER_REVERTS,
        (),
        (events.Revision(9.95, "a", 1, 0),),
    ),
    (
        configuration.NEVER_REVERTS,
        (),
        (events.Revision(10.7, "a", 2, -1),),
    ),
)


def _violated(history: events.History) -> set[str]:
    return {v.promise for v in checker.check(history, TERMS.once_items)}


def test_clean_history_has_no_violations() -> None:
    violated = _violated(events.History(CLEAN_EVENTS))
    assertions.assert_that(violated, matchers.Equals(set()))


@pytest.mark.parametrize(("promise", "removed", "added"), VIOLATIONS)
def test_history_violates_one_invariant(
    promise: str,
    removed: tuple[events.Event, ...],
    added: tuple[events.Event, ...],
) -> None:
    kept = tuple(event for event in CLEAN_EVENTS if event not in removed)
    violated = _violated(events.History(kept + added))
    assertions.assert_that(violated, matchers.Equals({promise}))


def test_killed_hosts_may_cut_connections() -> None:
    history = events.History((*CLEAN_EVENTS, events.StopAsked(6.2, "c")))
    violations = checker.check(history, TERMS.once_items, frozenset({"c"}))
    assertions.assert_that(violations, matchers.Equals(()))


def test_history_file_round_trip(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "run.jsonl"
    history = events.History(CLEAN_EVENTS)
    files.write_history(path, TERMS, history)
    read = files.read_history(path)
    assertions.assert_that(
        read, matchers.Equals(files.RecordedHistory(TERMS, history))
    )


@pytest.mark.parametrize(
    ("recorded", "code", "output"),
    [
        (CLEAN_EVENTS, 0, f"{len(CLEAN_EVENTS)} events, 0 violations\n"),
        (
            (*CLEAN_EVENTS, events.Billed(9, "agents", "z.1", 1)),
            1,
            "billed once: z.1 is billed and ran nowhere\n",
        ),
    ],
)
def test_check_command_prints_violations(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    recorded: tuple[events.Event, ...],
    code: int,
    output: str,
) -> None:
    path = tmp_path / "run.jsonl"
    files.write_history(path, TERMS, events.History(recorded))
    assertions.assert_that(
        main.main(["check", str(path)]), matchers.Equals(code)
    )
    assertions.assert_that(capsys.readouterr().out, matchers.Contains(output))


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "not JSON\n",
        '{"type": "history.cut", "call_id": 1, "at": 2.0}\n',
        '{"type": "history.terms", "once_items": []}\n'
        '{"type": "history.cut", "call_id": 1, "at": 2.0}\n',
        '{"type": "history.terms", "once_items": []}\n'
        '{"type": "history.terms", "once_items": []}\n',
    ],
)
def test_invalid_history_file_is_rejected(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    text: str | None,
) -> None:
    path = tmp_path / "run.jsonl"
    if text is not None:
        path.write_text(text)
    code = main.main(["check", str(path)])
    assertions.assert_that(code, matchers.Equals(2))
    assertions.assert_that(
        capsys.readouterr().err, matchers.StartsWith("hoistmoor-load: ")
    )
