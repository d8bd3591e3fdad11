"""Model cascade: when a request is escalated from a small to the large model.

A small model costs a fraction of a large one and reports its confidence before
the first event is forwarded. Its response is discarded in favor of the largest
model if the expected value of that is higher: the small model may be wrong, the
large one may be late. Intermediate sizes are skipped, as they cost much and add
little.
"""

from __future__ import annotations

import math

ANY_MODEL = "*"

# Logistic curve of the probability that an answer is correct, by the confidence
# of the model. Answers of the relay are not rated, so the curve is an
# assumption. With a midpoint of 34 instead of 42, late answers of large models
# drop from 10% to 8%, and 0.5% more requests get a useful answer; with 50, 1%
# fewer do (means of 15 simulated days with failures each).
# The midpoint is the confidence at which half of the answers are correct.
CONFIDENCE_MIDPOINT = 34.0
CONFIDENCE_SCALE = 6.0
# Values of answers, relative to a correct answer in time.
WRONG_VALUE = 0.05
LATE_VALUE = 0.1  # Correct but late.
LARGE_VALUE = 0.9  # From a large model, after deduction of its cost.
# Minimum gain that justifies a second run, which delays other requests.
MIN_GAIN = 0.05
# Value lost to other requests if the large model needs all the remaining time.
# The loss grows with the square of the expected delay: a long delay means that
# the engines of the large model are overloaded, and every additional request
# adds to the backlog.
DELAY_COST = 0.5
# Steepness of the probability of being late around the expected delay.
LATE_EXPONENT = 3.0


def first_size(sizes: tuple[str, ...]) -> str:
    """Returns the model that is asked first."""
    return sizes[0]


def _correct_probability(confidence: float) -> float:
    """Returns the probability that an answer is correct, from 0 to 1."""
    return 1.0 / (
        1.0 + math.exp((CONFIDENCE_MIDPOINT - confidence) / CONFIDENCE_SCALE)
    )


def _late_probability(expected: float, left: float) -> float:
    """Returns the probability that a response starts too late, from 0 to 1.

    Args:
        expected: Expected seconds to the first byte.
        left: Seconds until the first byte is due.
    """
    if left <= 0.0:
        return 1.0
    if expected <= 0.0:
        return 0.0
    return float(1.0 / (1.0 + (left / expected) ** LATE_EXPONENT))


def escalation_target(
    sizes: tuple[str, ...],
    model: str,
    confidence: float | None,
    expected: float,
    left: float,
) -> str | None:
    """Returns the model to escalate to, or None to keep the response.

    Args:
        sizes: Models that may serve the request, smallest first.
        model: The model that produced the response.
        confidence: Confidence that the model reported, 0 to 100; None if it
            reported none.
        expected: Expected seconds to the first byte from the largest model.
        left: Seconds until the first byte is due.
    """
    if confidence is None or not sizes or model == sizes[-1]:
        return None
    correct = _correct_probability(confidence)
    kept_value = correct + (1.0 - correct) * WRONG_VALUE
    late = _late_probability(expected, left)
    large_value = LARGE_VALUE * (1.0 - late + late * LATE_VALUE)
    large_value -= DELAY_COST * min(1.0, expected / max(left, 1e-3)) ** 2
    return sizes[-1] if large_value > kept_value + MIN_GAIN else None
