"""What a request's task tells the handler that owns the caller's connection."""

from __future__ import annotations

import asyncio

import attrs

from hoistmoor.core import refusals
from hoistmoor.core.requests import messages


@attrs.frozen
class Piece:
    """A frame of the answer."""

    data: bytes


@attrs.frozen
class Whole:
    """The answer is whole: send the end mark."""

    facts: messages.ResponseMetadata


@attrs.frozen
class Refused:
    """No whole answer will come.

    Attributes:
        refusal: What the caller is told.
        began: Whether pieces went out before.
    """

    refusal: refusals.Refusal
    began: bool


Item = Piece | Whole | Refused

WINDOW = 64  # Frames read from a backend server ahead of the caller.


class Channel:
    """Carries items from a request's task to its handler, in order.

    The window bounds how many pieces wait for a slow caller: the reader of the
    backend server takes a credit for each, and the handler gives it back once
    the piece is written.
    """

    def __init__(self) -> None:
        self._items: asyncio.Queue[Item] = asyncio.Queue()
        self._credits = asyncio.Semaphore(WINDOW)

    async def take_credit(self) -> None:
        """Waits until one more piece may be read."""
        await self._credits.acquire()

    def give_credit(self) -> None:
        """Lets one more piece be read."""
        self._credits.release()

    def put(self, item: Item) -> None:
        """Adds an item without waiting."""
        self._items.put_nowait(item)

    async def get(self) -> Item:
        """Returns the next item."""
        return await self._items.get()
