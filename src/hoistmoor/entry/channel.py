"""Passes the response from a request's task to the caller's HTTP handler."""

from __future__ import annotations

import asyncio

import attrs

from hoistmoor.core import refusals
from hoistmoor.core.requests import messages


@attrs.frozen
class Frame:
    """A frame of the response.

    Attributes:
        data: The bytes to send.
    """

    data: bytes


@attrs.frozen
class Completed:
    """The response is complete: send the end marker.

    Attributes:
        metadata: Metadata of the response.
    """

    metadata: messages.ResponseMetadata


@attrs.frozen
class Refused:
    """The response cannot be completed.

    Attributes:
        refusal: The refusal to send to the caller.
        response_started: Whether frames were sent before.
    """

    refusal: refusals.Refusal
    response_started: bool


Item = Frame | Completed | Refused

# Frames read from a backend server ahead of the caller.
MAX_BUFFERED_FRAMES = 64


class Channel:
    """An ordered queue from a request's task to its handler.

    Credits limit how many frames are buffered for a slow caller: the reader of
    the backend server acquires one for each frame, and the handler releases it
    once the frame is written.
    """

    def __init__(self) -> None:
        self._items: asyncio.Queue[Item] = asyncio.Queue()
        self._credits = asyncio.Semaphore(MAX_BUFFERED_FRAMES)

    async def acquire_credit(self) -> None:
        """Waits until another frame may be read."""
        await self._credits.acquire()

    def release_credit(self) -> None:
        """Allows another frame to be read."""
        self._credits.release()

    def put(self, item: Item) -> None:
        """Adds an item without waiting."""
        self._items.put_nowait(item)

    async def get(self) -> Item:
        """Waits for the next item and returns it."""
        return await self._items.get()
