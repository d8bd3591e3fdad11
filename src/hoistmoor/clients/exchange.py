"""One exchange of one attempt with one backend server.

The state says at any time what may be told of the request, see
``core.outcomes``. It errs on the safe side: a state that makes a request
``not_run`` needs proof, an answer counts as whole only with its end mark.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from typing import Self, TYPE_CHECKING

import aiohttp
import attrs
from multidict import CIMultiDict
from multidict import MultiMapping
import yarl

from hoistmoor.clients import answer_body
from hoistmoor.clients import dialect as dialect_lib
from hoistmoor.clients import exchange_errors
from hoistmoor.clients import frames
from hoistmoor.clients import replies
from hoistmoor.clients import sessions
from hoistmoor.core import errors
from hoistmoor.core import outcomes

if TYPE_CHECKING:
    from types import TracebackType

_State = outcomes.ExchangeState

# A state only moves on; the last two are final.
_RANKS = {
    _State.UNSENT: 0,
    _State.SENDING: 1,
    _State.SENT: 2,
    _State.ANSWERING: 3,
    _State.ANSWERED: 4,
    _State.DECLINED: 5,
}


@attrs.frozen
class Timeouts:
    """Bounds on one exchange, in seconds.

    Attributes:
        total: From the start to the end mark; None for no bound.
        connect: To get a connection.
        silence: Between two arrivals of bytes; None for no bound.
    """

    total: float | None = 60.0
    connect: float = 1.0
    silence: float | None = None


@attrs.frozen
class BackendRequest:
    """What to ask of a backend server.

    Attributes:
        method: HTTP method.
        url: Whole URL; its path and query go out as written.
        attempt_id: Names this attempt; goes out in the dialect's header.
        headers: Further headers; names may stand several times.
        body: The body, whole.
    """

    method: str
    url: str
    attempt_id: str
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""


@attrs.frozen
class Head:
    """The head of the answer.

    Attributes:
        status: HTTP status code.
        headers: As received.
    """

    status: int
    headers: MultiMapping[str]


@attrs.frozen
class Frame:
    """A part of the answer's body: one event of a stream, or some bytes.

    Attributes:
        data: As received, the blank line after an event included.
    """

    data: bytes


@attrs.frozen
class End:
    """The answer is whole."""


Part = Head | Frame | End


class Exchange:
    """Sends one request once and yields the parts of its answer.

    Use it as an asynchronous context manager and iterate over it:

        async with Exchange(session, request) as exchange:
            async for part in exchange: ...

    Leaving the block before ``End``, and cancelling the task, close the
    connection, so that nothing of this attempt can reach a later one.

    Attributes:
        request: What is asked.
        state: How far the exchange has come; still valid after the end.
        not_run_reason: The server's reason, in state ``DECLINED``.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        request: BackendRequest,
        timeouts: Timeouts | None = None,
        dialect: dialect_lib.Dialect = dialect_lib.OWN,
    ) -> None:
        """Makes an exchange; nothing is sent yet.

        Raises:
            ConfigurationError: The session is not from ``make_session``, so
                that the state could not be known.
        """
        if sessions.TRACE not in session.trace_configs:
            raise errors.ConfigurationError(
                "this session does not tell when bytes leave",
                "Open it with sessions.make_session.",
            )
        self.request = request
        self.state = _State.UNSENT
        self.not_run_reason = ""
        self._session = session
        self._dialect = dialect
        self._timeouts = timeouts or Timeouts()
        self._response: aiohttp.ClientResponse | None = None
        self._body: answer_body.AnswerBody | None = None
        self._heads_dropped = 0
        self._reused = False
        self._unsent_bytes = len(request.body)

    async def __aenter__(self) -> Self:
        """Sends nothing yet; the iteration does."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the connection unless the answer is whole."""
        self.cancel()

    @property
    def dropped(self) -> int:
        """Heads and frames dropped because they belong to other attempts."""
        frames_dropped = self._body.dropped if self._body else 0
        return self._heads_dropped + frames_dropped

    def cancel(self) -> None:
        """Closes the connection unless the answer is whole."""
        if self._response is not None:
            self._response.close()

    def on_connection(self, reused: bool) -> None:
        """A connection is there; bytes may leave from now on."""
        self._reused = reused
        self._advance(_State.SENDING)

    def on_headers(self) -> None:
        """The head is being sent."""
        if not self._unsent_bytes:
            self._advance(_State.SENT)

    def on_body(self, size: int) -> None:
        """``size`` more bytes of the body are being sent."""
        self._unsent_bytes -= size
        if self._unsent_bytes <= 0:
            self._advance(_State.SENT)

    async def __aiter__(self) -> AsyncIterator[Part]:
        """Yields the head, the frames and the end of the answer.

        Raises:
            ExchangeError: The answer is not whole; a subclass says why and
                ``state`` what may be said of the request.
        """
        try:
            response = await self._open()
            yield self._take_head(response)
            if self.state is _State.DECLINED:
                yield End()
                return
            async for part in self._read(response):
                yield part
        except replies.TRANSPORT_ERRORS as error:
            raise exchange_errors.of_transport(
                self.state, self.request.url, error
            ) from error
        except frames.EventTooLargeError as error:
            raise exchange_errors.of_large_event(self.state, error) from error
        finally:
            # After a whole answer this leaves the connection reusable.
            self.cancel()

    async def _open(self) -> aiohttp.ClientResponse:
        request = self.request
        self._response = await self._session.request(
            request.method,
            yarl.URL(request.url, encoded=True),
            data=request.body or None,
            headers=_headers_of(request, self._dialect.attempt_header),
            timeout=aiohttp.ClientTimeout(
                total=self._timeouts.total,
                connect=self._timeouts.connect,
                sock_read=self._timeouts.silence,
            ),
            trace_request_ctx=self,
        )
        return self._response

    def _take_head(self, response: aiohttp.ClientResponse) -> Head:
        echoed = response.headers.get(self._dialect.attempt_header)
        # On a new connection nothing else was asked, so that an answer
        # without an id can only be this attempt's.
        is_ours = echoed == self.request.attempt_id or (
            echoed is None and not self._reused
        )
        if not is_ours:
            self._heads_dropped += 1
            raise exchange_errors.of_other_attempt(self.state, self.request.url)
        if self._dialect.says_not_run(response.status, response.headers):
            self.not_run_reason = response.headers.get(
                self._dialect.not_run_reason_header, ""
            )
            self._advance(_State.DECLINED)
        self._advance(_State.ANSWERING)
        return Head(response.status, response.headers)

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[Part]:
        body = answer_body.AnswerBody(
            response,
            self.request.method,
            self.request.attempt_id,
            has_end_mark=self._dialect.has_end_mark,
        )
        self._body = body
        async for data in body.read():
            if body.is_whole:
                self._advance(_State.ANSWERED)
            yield Frame(data)
        if not body.is_whole:
            raise exchange_errors.without_end_mark(self.state, self.request.url)
        self._advance(_State.ANSWERED)
        yield End()
        await body.settle()

    def _advance(self, state: outcomes.ExchangeState) -> None:
        if _RANKS[state] > _RANKS[self.state]:
            self.state = state


def _headers_of(
    request: BackendRequest, attempt_header: str
) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    headers[attempt_header] = request.attempt_id
    headers["Accept-Encoding"] = "identity"
    return headers
