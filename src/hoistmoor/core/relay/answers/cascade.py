"""Which model size answers, and when a small one's answer is dropped.

A small model costs a fraction of a large one and tells how sure it is before
the first event goes out. Its answer is dropped for the largest model's where
that is worth more: a small answer may be wrong, a large one may be late. The
sizes between cost much and add little.
"""

from __future__ import annotations

import math

ANY_MODEL = "*"

# Chance that an answer is right, by the model's confidence in it: a logistic
# curve. Nobody rates the relay's answers, so the curve is an assumption. At a
# midpoint of 34 instead of 42, answers of large models that are late fall from
# 10 to 8 in 100 and one request in 200 more earns its worth; at 50 it is 1 in
# 100 less (means of 15 played days with disturbances each).
MIDPOINT = 34.0  # Confidence at which one answer in two is right.
SPREAD = 6.0
WRONG_WORTH = 0.05  # Worth of a wrong answer, as a share of a right one's.
LATE_WORTH = 0.1  # Worth of a right answer that is late.
LARGE_WORTH = 0.9  # Worth of a large model's answer, less its cost.
# Least gain for which a second run is made: it delays everybody else's.
LEAST_GAIN = 0.05
# Worth lost to other requests where a large answer takes all the time left,
# and with its square below that: a long wait shows that the large model's
# engines are behind, and each request more puts them further behind.
DELAY_COST = 0.5
# How sharply the chance to be late rises about the expected delay.
LATE_POWER = 3.0


def first_size(sizes: tuple[str, ...]) -> str:
    """Returns the model to begin with."""
    return sizes[0]


def is_right(confidence: float) -> float:
    """Returns the chance that an answer is right, 0 to 1."""
    return 1.0 / (1.0 + math.exp((MIDPOINT - confidence) / SPREAD))


def is_late(expected: float, left: float) -> float:
    """Returns the chance that an answer begins too late, 0 to 1.

    Args:
        expected: Seconds that its first part is expected to take.
        left: Seconds left for it.
    """
    if left <= 0.0:
        return 1.0
    if expected <= 0.0:
        return 0.0
    return float(1.0 / (1.0 + (left / expected) ** LATE_POWER))


def next_size(
    sizes: tuple[str, ...],
    model: str,
    confidence: float | None,
    expected: float,
    left: float,
) -> str | None:
    """Returns the model to ask instead, or None to keep the answer.

    Args:
        sizes: Models that may answer, smallest first.
        model: The one that answers.
        confidence: Its own opinion of the answer, 0 to 100; None if it told
            none.
        expected: Seconds that the largest model's first part is expected to
            take.
        left: Seconds left for it to be in time.
    """
    if confidence is None or not sizes or model == sizes[-1]:
        return None
    right = is_right(confidence)
    kept = right + (1.0 - right) * WRONG_WORTH
    late = is_late(expected, left)
    asked = LARGE_WORTH * (1.0 - late + late * LATE_WORTH)
    asked -= DELAY_COST * min(1.0, expected / max(left, 1e-3)) ** 2
    return sizes[-1] if asked > kept + LEAST_GAIN else None
