"""Reads values of headers that callers and servers send."""

from __future__ import annotations

from hoistmoor.core.relay.course import requests


def parse_confidence(text: str | None) -> float | None:
    """Returns a confidence, or None if there is none that can be read."""
    try:
        return float(text) if text else None
    except ValueError:
        return None


def parse_prompt(
    model: str | None, tokens: str | None, parts: str | None
) -> requests.Prompt | None:
    """Returns what is told of a prompt; None for other requests."""
    if model is None:
        return None
    numbers = parse_numbers(tokens)
    if len(numbers) != 2:
        numbers = (0, 0)
    return requests.Prompt(model, numbers[0], numbers[1], _parts(parts))


def parse_number(text: str | None) -> int | None:
    """Returns a whole number, or None if there is none that can be read."""
    numbers = parse_numbers(text)
    return numbers[0] if len(numbers) == 1 else None


def parse_numbers(text: str | None) -> tuple[int, ...]:
    """Returns whole numbers with commas between them; none for other texts."""
    try:
        return tuple(int(word) for word in (text or "").split(","))
    except ValueError:
        return ()


def _parts(text: str | None) -> tuple[requests.PromptPart, ...]:
    parts = []
    for word in (text or "").split(","):
        name, _, size = word.strip().partition(":")
        if not name or not size.isdigit():
            return ()
        parts.append(requests.PromptPart(name, int(size)))
    return tuple(parts)
