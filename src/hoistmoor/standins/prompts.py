"""Analysis of prompts and generation of responses in the engine stand-in."""

from __future__ import annotations

from typing import Any

import attrs
import orjson
import xxhash

from hoistmoor.standins import quality_marks

BLOCK_BYTES = 512  # Bytes of the JSON-encoded prompt per cache block.
MAX_BLOCKS = 16
_BYTES_PER_TOKEN = 4

_TEXT = (
    "the depot reports two skips at the gate ยอด คงเหลือ ตรงกัน กับ บัญชี "
    "ferill gámur sóttur á morgun and the ledger balances for this month"
)
_WORDS = tuple(_TEXT.split())


@attrs.frozen
class Prompt:
    """A measured prompt.

    Attributes:
        text: The messages in JSON.
        tokens: Length in tokens.
        blocks: Hashes of the prefixes that end with each complete block.
    """

    text: bytes
    tokens: int
    blocks: tuple[int, ...]


@attrs.frozen
class ScriptedResponse:
    """The predetermined response of a version to a prompt.

    Attributes:
        words: One word per token; the first is the hidden quality mark.
        finish_reason: ``stop`` or ``length``.
        confidence: Mean token probability, 0 to 1.
        good: Whether the response is good.
    """

    words: tuple[str, ...]
    finish_reason: str
    confidence: float
    good: bool


def parse_prompt(messages: Any) -> Prompt:
    """Returns the prompt in the ``messages`` of a request's body."""
    text = orjson.dumps(messages)
    return Prompt(text, max(1, len(text) // _BYTES_PER_TOKEN), _blocks(text))


def is_good_response(prompt: Prompt, quality: float, seed: int) -> bool:
    """Returns whether a version of the given quality responds well.

    The difficulty of a prompt is the same for all versions, so a version of
    higher quality responds well to every prompt that a lower one does.
    """
    return quality_marks.uniform_hash(seed, "difficulty", prompt.text) < quality


def script_response(
    prompt: Prompt, version: str, good: bool, length: int, max_tokens: int
) -> ScriptedResponse:
    """Returns the response of a version to a prompt.

    Args:
        prompt: Prompt to respond to.
        version: Key of the version.
        good: Whether the response is good.
        length: Mean length of responses in tokens.
        max_tokens: Maximum number of tokens that the caller allows.
    """
    chance = quality_marks.uniform_hash("length", version, prompt.text)
    wanted = max(1, round(length * (0.5 + chance)))
    count = min(wanted, max_tokens)
    start = int(chance * len(_WORDS))
    words = [_WORDS[(start + i) % len(_WORDS)] for i in range(count)]
    words[0] = quality_marks.make_mark(
        good, f"{version}/{xxhash.xxh3_64_hexdigest(prompt.text)}"
    )
    return ScriptedResponse(
        words=tuple(words),
        finish_reason="stop" if count == wanted else "length",
        confidence=_confidence(prompt, version, good),
        good=good,
    )


def _confidence(prompt: Prompt, version: str, good: bool) -> float:
    centre = 0.85 if good else 0.6
    noise = quality_marks.uniform_hash("confidence", version, prompt.text) - 0.5
    return round(min(0.99, centre + 0.3 * noise), 4)


def _blocks(text: bytes) -> tuple[int, ...]:
    count = min(len(text) // BLOCK_BYTES, MAX_BLOCKS)
    digest = xxhash.xxh3_64()
    hashes = []
    for block in range(count):
        digest.update(text[block * BLOCK_BYTES : (block + 1) * BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
