"""Parsers for the header values of callers and servers."""

from __future__ import annotations

from hoistmoor.core.relay.course import requests


def parse_confidence(text: str | None) -> float | None:
    """Returns a confidence, or None if it is missing or malformed."""
    try:
        return float(text) if text else None
    except ValueError:
        return None


def parse_prompt(
    model: str | None, tokens: str | None, parts: str | None
) -> requests.Prompt | None:
    """Returns the description of a prompt, or None without a model."""
    if model is None:
        return None
    numbers = parse_numbers(tokens)
    if len(numbers) != 2:
        numbers = (0, 0)
    return requests.Prompt(model, numbers[0], numbers[1], _parse_parts(parts))


def parse_number(text: str | None) -> int | None:
    """Returns an integer, or None if it is missing or malformed."""
    numbers = parse_numbers(text)
    return numbers[0] if len(numbers) == 1 else None


def parse_numbers(text: str | None) -> tuple[int, ...]:
    """Returns comma-separated integers; empty if missing or malformed."""
    try:
        return tuple(int(word) for word in (text or "").split(","))
    except ValueError:
        return ()


def _parse_parts(text: str | None) -> tuple[requests.PromptPart, ...]:
    parts = []
    for word in (text or "").split(","):
        name, _, size = word.strip().partition(":")
        if not name or not size.isdigit():
            return ()
        parts.append(requests.PromptPart(name, int(size)))
    return tuple(parts)
