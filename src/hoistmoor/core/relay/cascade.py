"""Which model size answers, and when a small one's answer is dropped.

A small model costs a fraction of a large one and tells how sure it is before
the first event goes out. Where it is not sure enough, its answer is dropped
and the largest model is asked: the sizes between cost much and add little.
"""

from __future__ import annotations

ANY_MODEL = "*"
# Least confidence, 0 to 100, at which an answer of a small model is kept.
# Measured: docs/platform-results.md, round on cascades.
KEEP_FROM = 50.0


def first_size(sizes: tuple[str, ...]) -> str:
    """Returns the model to begin with."""
    return sizes[0]


def next_size(
    sizes: tuple[str, ...], model: str, confidence: float | None
) -> str | None:
    """Returns the model to ask instead, or None to keep the answer.

    Args:
        sizes: Models that may answer, smallest first.
        model: The one that answers.
        confidence: Its own opinion of the answer, 0 to 100; None if it told
            none.
    """
    if confidence is None or confidence >= KEEP_FROM:
        return None
    if model == sizes[-1]:
        return None
    return sizes[-1]
