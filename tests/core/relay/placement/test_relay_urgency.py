"""Ranks that order the requests queued at an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.placement import urgency

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests

PREFILL_TOKENS_PER_MS = 40.0  # For the smallest model.
WEIGHTS = {"small": 1.0, "large": 10.0}


def prompt(tokens: int) -> requests.Prompt:
    return attrs.evolve(relay_parts.PROMPT, tokens=tokens)


def request(tokens: int, priority: int = 0) -> requests.RelayRequest:
    return relay_parts.make_request(
        relay_parts.CHAT, prompt=prompt(tokens), priority=priority
    )


def prefill_times(ranked: list[tuple[int, int, str]]) -> dict[int, float]:
    """Returns when each of several queued prompts is prefilled, in ms.

    Args:
        ranked: Rank, tokens and model of each prompt.
    """
    now = 0.0
    finished = {}
    for _, tokens, model in sorted(ranked, key=lambda row: row[0]):
        now += tokens * WEIGHTS[model] / PREFILL_TOKENS_PER_MS
        finished[tokens] = now
    return finished


def test_short_prompts_do_not_wait_for_long_ones() -> None:
    # A burst of two long prompts for the large model, from urgent routes, and
    # one short prompt from the least urgent route.
    burst = [(20_000, "large", 0), (10_000, "large", 0), (1_500, "small", 2)]
    by_priority = prefill_times(
        [(priority, tokens, model) for tokens, model, priority in burst]
    )
    ranked = prefill_times(
        [
            (urgency.rank_of(request(tokens, priority), model), tokens, model)
            for tokens, model, priority in burst
        ]
    )
    assertions.assert_that(by_priority[1_500], matchers.GreaterThan(7000.0))
    assertions.assert_that(ranked[1_500], matchers.LessThan(100.0))
    # The long prompts are delayed by the duration of the short one at most.
    assertions.assert_that(
        max(ranked.values()), matchers.Equals(max(by_priority.values()))
    )


@pytest.mark.parametrize(
    ("tokens", "model", "priority", "expected"),
    [
        (50_000, "small", 0, 0),
        (900, "large", 0, 1),
        (9_000, "large", 0, 4),
        (9_000, "large", 2, 6),
        (9_000, "large", -7, urgency.FIRST),
        (400_000, "large", 3, urgency.LAST),
    ],
)
def test_rank_by_prompt_length_model_and_priority(
    tokens: int, model: str, priority: int, expected: int
) -> None:
    rank = urgency.rank_of(request(tokens, priority), model)
    assertions.assert_that(rank, matchers.Equals(expected))
