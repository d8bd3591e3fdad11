"""Golden file test of a session with a cascade.

To update the golden file, delete it, run the test and review the change.
"""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import attrs
import routing_rows
from testtools import assertions
from testtools import matchers

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from conftest import MakeRouter
    from conftest import MakeTable

    from hoistmoor.core import refusals
    from hoistmoor.core.routing import router as router_lib

GOLDEN = pathlib.Path(__file__).parent / "golden" / "cascade.txt"
NO_SERVERS: frozenset[str] = frozenset()
SMALL, MEDIUM, LARGE = routing_rows.DEFAULT_VERSIONS


def _train(router: router_lib.Router) -> None:
    """Trains the estimates.

    The confidence of the small version then predicts its quality, and the
    large version is worth its price.
    """
    for number in range(400):
        is_confident = number % 4 > 0
        confidence = 0.97 if is_confident else 0.2
        done = messages.AttemptResult(
            ok=True,
            seconds=2.0,
            tokens=100,
            kind="answer",
            confidence=confidence,
            prompt_tokens=100,
        )
        router.on_finished("llm-0", SMALL.key, done, 1.0)
        answer = quality_estimates.make_answer_id(
            f"r{number}", confidence, False
        )
        good = is_confident or number % 8 == 0
        router.on_rating(routing_rows.rating(SMALL.key, good, answer), 1.0)
        confident = quality_estimates.make_answer_id(f"l{number}", 0.97, False)
        router.on_rating(
            routing_rows.rating(LARGE.key, number % 50 > 0, confident), 1.0
        )


class Session:
    """Routes requests, evaluates answers and records each step."""

    def __init__(self, router: router_lib.Router) -> None:
        self.router = router
        self.lines: list[str] = []
        self.now = 10.0

    def ask(
        self, number: int, pin: str | None = None
    ) -> tuple[messages.RouteQuery, messages.Choice | refusals.Refusal]:
        """Routes a request."""
        query = routing_rows.query(number, pin=pin)
        found = self.router.choose(query, NO_SERVERS, self.now)
        self.lines.append(f"ask {number} pin={pin}: {self._describe(found)}")
        return query, found

    def answer(
        self,
        query: messages.RouteQuery,
        choice: messages.Choice,
        confidence: float,
    ) -> messages.Choice:
        """Evaluates an answer; returns the choice that is then in effect."""
        facts = messages.AnswerFacts(confidence)
        verdict = self.router.judge(query, choice, facts, self.now)
        if isinstance(verdict, messages.Accept):
            self.lines.append(f"  {confidence}: accepted, {verdict.reason}")
            return choice
        description = self._describe(verdict.choice)
        self.lines.append(f"  {confidence}: {verdict.reason}; {description}")
        return verdict.choice

    def _describe(self, found: messages.Choice | refusals.Refusal) -> str:
        if not isinstance(found, messages.Choice):
            return f"refused, {found.reason}: {found.detail}"
        held = "held" if found.hold_answer else "streamed"
        return f"{found.version} at {found.server}, {held}: {found.reason}"


def _run_session(router: router_lib.Router, table: model.Table) -> list[str]:
    session = Session(router)
    first = next(
        number
        for number in range(100)
        if router.choose(
            routing_rows.query(number), NO_SERVERS, 10.0
        ).hold_answer
    )
    query, choice = session.ask(first)
    session.answer(query, choice, 0.97)
    last = session.answer(query, choice, 0.2)
    session.ask(first, pin=last.version)
    session.lines.append(f"the operators withdraw {last.version}")
    row = attrs.evolve(
        table.versions[last.version], stage=model.Stage.WITHDRAWN
    )
    edited = attrs.evolve(table, versions={**table.versions, row.key: row})
    router.on_table(model.ActiveTable(2, edited))
    session.answer(query, choice, 0.2)
    session.ask(first, pin=last.version)
    session.lines.append("all grants are removed")
    router.on_table(model.ActiveTable(3, attrs.evolve(edited, grants={})))
    session.answer(query, choice, 0.2)
    session.ask(first, pin=SMALL.key)
    return session.lines


def test_cascade_session_is_as_recorded(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    table = make_table(target=0.92)
    router = make_router(table)
    _train(router)
    actual = "\n".join(_run_session(router, table)) + "\n"
    if not GOLDEN.exists():
        GOLDEN.write_text(actual, encoding="utf-8")
    expected = GOLDEN.read_text(encoding="utf-8")
    assertions.assert_that(actual, matchers.Equals(expected))
