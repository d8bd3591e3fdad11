"""Chat completion responses of the engine stand-in."""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web
import attrs
import orjson

from hoistmoor.standins import batch
from hoistmoor.standins import executions
from hoistmoor.standins import fault_injection
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import prompts
from hoistmoor.standins import quality_marks
from hoistmoor.standins import responses

_END_MARK = b"data: [DONE]\n\n"
_EVENT_STREAM = "text/event-stream"


def should_degrade(
    book: fault_registry.FaultRegistry, version: str, prompt: prompts.Prompt
) -> bool:
    """Returns whether a fault degrades this response of a version."""
    fault = book.find(faults.BadVersion)
    if fault is None or fault.version != version:
        return False
    if fault.contains.encode() not in prompt.text or not fault.count_request():
        return False
    return quality_marks.uniform_hash("bad", version, fault.seen) < fault.share


@attrs.define
class Completion:
    """A chat completion that is being generated and sent.

    Attributes:
        body: Body of the request.
        prompt: Prompt of the request.
        script: Predetermined text of the response.
        sequence: Sequence of the response in the batch.
        execution: Execution record for history checks.
    """

    body: dict[str, Any]
    prompt: prompts.Prompt
    script: prompts.ScriptedResponse
    sequence: batch.Sequence
    execution: executions.Execution

    async def send(self, request: web.Request) -> web.StreamResponse:
        """Sends the completion, streamed if the request asks for it."""
        if self.body.get("stream"):
            return await self._send_stream(request)
        return await self._send_whole(request)

    async def _send_whole(self, request: web.Request) -> web.Response:
        while not self.sequence.is_ended:
            await self._wait_for_tokens()
            if request.transport is None:
                self.execution.state = "cut"
                return web.Response()
        self.execution.state = (
            "cancelled" if self.sequence.cancelled else "done"
        )
        if self.sequence.cancelled:
            response = responses.json_response(
                {"error": {"type": "cancelled"}}, 499
            )
        else:
            response = responses.json_response(self._completion())
        responses.echo_attempt_id(request, response)
        return response

    async def _send_stream(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": _EVENT_STREAM})
        responses.echo_attempt_id(request, response)
        writer = fault_injection.ResponseWriter(request, response)
        try:
            if fault_injection.find_fault(request, faults.CrossedHead):
                response.headers[responses.ATTEMPT_HEADER] = (
                    fault_injection.OTHER_ATTEMPT_ID
                )
            await writer.prepare()
            await self._send_frames(request, writer)
        except ConnectionError:
            self.execution.state = "cut"
        return response

    async def _send_frames(
        self, request: web.Request, writer: fault_injection.ResponseWriter
    ) -> None:
        crossed = fault_injection.find_fault(request, faults.CrossedFrames)
        sent = 0
        while not self.sequence.is_ended or sent < self.sequence.generated:
            if sent == self.sequence.generated:
                await self._wait_for_tokens()
            # Sends all tokens generated since the last write at once.
            made = self.sequence.generated
            frames = [
                self._frame(word) for word in self.script.words[sent:made]
            ]
            if crossed and sent <= crossed.frame < made:
                frames.insert(crossed.frame - sent, _foreign_frame())
            if frames:
                await writer.write(b"".join(frames))
            sent = made
        await self._send_last_frame(writer)

    async def _send_last_frame(
        self, writer: fault_injection.ResponseWriter
    ) -> None:
        if self.sequence.cancelled:
            self.execution.state = "cancelled"
            await writer.write(
                self._encode_frame({"error": {"type": "cancelled"}})
            )
            return
        # Set before the write, which fails if the caller has disconnected.
        self.execution.state = "done"
        await writer.write(self._last_frame() + _END_MARK)

    async def _wait_for_tokens(self) -> None:
        await self.sequence.progress.wait()
        self.sequence.progress.clear()

    def _usage(self) -> dict[str, int]:
        count = len(self.script.words)
        return {
            "prompt_tokens": self.prompt.tokens,
            "completion_tokens": count,
            "total_tokens": self.prompt.tokens + count,
        }

    def _completion(self) -> dict[str, Any]:
        message = {"role": "assistant", "content": self._text()}
        return {
            "id": f"chatcmpl-{self.execution.serial}",
            "object": "chat.completion",
            "created": int(self.execution.at),
            "model": self.body["model"],
            "attempt_id": self.sequence.attempt_id,
            "choices": [
                {
                    "index": 0,
                    "message": message,
                    "finish_reason": self.script.finish_reason,
                }
            ],
            "usage": self._usage(),
            "confidence": self.script.confidence,
        }

    def _text(self) -> str:
        return " ".join(self.script.words)

    def _frame(self, word: str) -> bytes:
        content = word if word is self.script.words[0] else f" {word}"
        return self._encode_frame(
            {
                "choices": [
                    {
                        "index": 0,
                        "delta": {"content": content},
                        "finish_reason": None,
                    }
                ]
            }
        )

    def _last_frame(self) -> bytes:
        return self._encode_frame(
            {
                "choices": [
                    {
                        "index": 0,
                        "delta": {},
                        "finish_reason": self.script.finish_reason,
                    }
                ],
                "usage": self._usage(),
                "confidence": self.script.confidence,
            }
        )

    def _encode_frame(self, fields: dict[str, Any]) -> bytes:
        frame = {
            "id": f"chatcmpl-{self.execution.serial}",
            "object": "chat.completion.chunk",
            "created": int(self.execution.at),
            "model": self.body["model"],
            "attempt_id": self.sequence.attempt_id,
            **fields,
        }
        return b"data: %b\n\n" % orjson.dumps(frame)


def _foreign_frame() -> bytes:
    frame = {
        "id": "chatcmpl-other",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "attempt_id": fault_injection.OTHER_ATTEMPT_ID,
        "choices": [
            {
                "index": 0,
                "delta": {"content": " CROSSED"},
                "finish_reason": None,
            }
        ],
    }
    return b"data: %b\n\n" % orjson.dumps(frame)
