"""Parses the chunks of streamed chat responses and assembles full responses.

The format is that of the chat completions API: each event is a JSON object,
and the stream ends with the event ``[DONE]``.
"""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import attrs
import orjson

from hoistmoor.core.requests import messages
from hoistmoor.core.requests import request_types

if TYPE_CHECKING:
    from hoistmoor.core.requests import decisions

_DATA_PREFIX = b"data: "
_EVENT_END = b"\n\n"
DONE = b"[DONE]"
_OK = 200
_SSE = "text/event-stream"
_JSON = "application/json"


def encode_event(payload: bytes) -> bytes:
    """Encodes ``payload`` as a server-sent event."""
    return _DATA_PREFIX + payload + _EVENT_END


def event_payload(frame: bytes) -> bytes:
    """Returns the payload of a server-sent event."""
    return frame.removeprefix(_DATA_PREFIX).strip()


@attrs.define
class ChunkParser:
    """Collects the metadata of a streamed response.

    Attributes:
        prompt_tokens: Prompt tokens, as counted by the engine.
        output_tokens: Generated tokens, as counted by the engine.
        finish_reason: Empty until the engine reports one.
        confidence: Mean token probability; 1 if the engine reports none.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""
    confidence: float = 1.0

    def read(self, frame: bytes) -> None:
        """Parses one event; events that are not chunks are ignored."""
        chunk = _parse(event_payload(frame))
        self._read_usage(chunk.get("usage") or {})
        self.confidence = chunk.get("confidence", self.confidence)
        for choice in chunk.get("choices", ()):
            reason = choice.get("finish_reason")
            self.finish_reason = reason or self.finish_reason

    def _read_usage(self, usage: dict[str, Any]) -> None:
        self.prompt_tokens = usage.get("prompt_tokens", self.prompt_tokens)
        self.output_tokens = usage.get("completion_tokens", self.output_tokens)

    @property
    def is_complete(self) -> bool:
        """Whether the engine has reported a finish reason."""
        return bool(self.finish_reason)

    @property
    def metadata(self) -> messages.ResponseMetadata:
        """Metadata of the complete response."""
        return messages.ResponseMetadata(
            status=_OK,
            content_type=_SSE,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            finish_reason=self.finish_reason,
            confidence=self.confidence,
        )


def _parse(payload: bytes) -> dict[str, Any]:
    try:
        chunk = orjson.loads(payload)
    except orjson.JSONDecodeError:
        return {}
    return chunk if isinstance(chunk, dict) else {}


def join_text(frames: list[bytes]) -> str:
    """Returns the concatenated text of a response's chunks."""
    texts = []
    for frame in frames:
        for choice in _parse(event_payload(frame)).get("choices", ()):
            texts.append(choice.get("delta", {}).get("content") or "")
    return "".join(texts)


def assemble_response(
    request: request_types.Request,
    decision: decisions.Decision,
    frames: list[bytes],
    metadata: messages.ResponseMetadata,
) -> tuple[bytes, str]:
    """Returns the full response as sent to the caller, and its content type.

    Args:
        request: The request.
        decision: Explanation of the request, which has the version that ran it.
        frames: Frames of the response, in order.
        metadata: Metadata of the response.
    """
    if isinstance(request, request_types.CallRequest):
        return b"".join(frames), metadata.content_type
    if request.stream:
        return b"".join((*frames, encode_event(DONE))), _SSE
    return _make_completion(decision, frames, metadata), _JSON


def _make_completion(
    decision: decisions.Decision,
    frames: list[bytes],
    metadata: messages.ResponseMetadata,
) -> bytes:
    body = {
        "id": decision.request_id,
        "object": "chat.completion",
        "created": int(decision.arrived),
        "model": decision.version,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": join_text(frames)},
                "finish_reason": metadata.finish_reason,
            }
        ],
        "usage": {
            "prompt_tokens": metadata.prompt_tokens,
            "completion_tokens": metadata.output_tokens,
            "total_tokens": metadata.prompt_tokens + metadata.output_tokens,
        },
    }
    return orjson.dumps(body)
