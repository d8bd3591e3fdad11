"""Parsers for the header values of callers and servers."""

from __future__ import annotations

import math
import re

from hoistmoor.core.relay.course import identifiers
from hoistmoor.core.relay.course import requests

# Largest absolute value; numbers beyond count as this one. In milliseconds it
# is 31 years. Sums and products of such numbers can be sent to other hosts.
MAX_NUMBER = 10**12
_MAX_DIGITS = 13
_NUMBER = re.compile(r"\s*([+-]?)(\d+)\s*", re.ASCII)
# Printable characters except those that separate parts, here or in keys.
_PART = re.compile(r"\s*([!-+\--9;-~]+):(\d+)\s*", re.ASCII)


def parse_confidence(text: str | None) -> float | None:
    """Returns a confidence, or None if it is missing or malformed."""
    try:
        confidence = float(text) if text else math.nan
    except ValueError:
        return None
    return confidence if math.isfinite(confidence) else None


def parse_prompt(
    model: str | None, tokens: str | None, parts: str | None
) -> requests.Prompt | None:
    """Returns the description of a prompt, or None without a model."""
    if model is None:
        return None
    numbers = parse_numbers(tokens)
    if len(numbers) != 2:
        numbers = (0, 0)
    return requests.Prompt(
        identifiers.bound(model), numbers[0], numbers[1], _parse_parts(parts)
    )


def parse_number(text: str | None) -> int | None:
    """Returns an integer, or None if it is missing or malformed."""
    numbers = parse_numbers(text)
    return numbers[0] if len(numbers) == 1 else None


def parse_event_id(text: str | None) -> int | None:
    """Returns the id of an event, or None if it is no plausible one."""
    number = parse_number(text)
    return None if number == MAX_NUMBER else number


def parse_numbers(text: str | None) -> tuple[int, ...]:
    """Returns comma-separated integers; empty if missing or malformed."""
    numbers = []
    for word in (text or "").split(","):
        match = _NUMBER.fullmatch(word)
        if match is None:
            return ()
        size = _to_bounded(match[2])
        numbers.append(-size if match[1] == "-" else size)
    return tuple(numbers)


def _to_bounded(digits: str) -> int:
    """Returns a number without a sign, at most ``MAX_NUMBER``."""
    significant = digits.lstrip("0")
    if len(significant) > _MAX_DIGITS:
        return MAX_NUMBER
    return min(MAX_NUMBER, int(significant or "0"))


def _parse_parts(text: str | None) -> tuple[requests.PromptPart, ...]:
    parts = []
    for word in (text or "").split(","):
        match = _PART.fullmatch(word)
        if match is None:
            return ()
        name = identifiers.bound(match[1])
        parts.append(requests.PromptPart(name, _to_bounded(match[2])))
    return tuple(parts)
