"""Headers between callers, the relay and backend servers."""

from __future__ import annotations

import attrs

# Of one connection only (RFC 9110, 7.6.1), or set anew for each.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen
class HeaderNames:
    """Names of the headers that the relay reads or sets.

    Attributes:
        request_id: The caller's id of its attempt; echoed by servers.
        deadline_ms: Milliseconds left, told by callers and to servers.
        key_scheme: Word before the key in ``Authorization``.
        account: Name of the client account, told to servers.
        expected_server: Id of the server that may run the request.
        signature: Proof that an answer is a server's own.
        not_run: Says that the server did not run the request.
        load: A server's running and waiting requests, and its slots.
        limit: Requests a second that a server takes from all hosts together.
        leaving: Says that a server is about to end.
        model: Model asked for.
        tokens: Tokens of the prompt, and new tokens at most.
        prefix: Parts of the prompt, as ``name:tokens`` with commas.
        confidence: A model's opinion of its answer, 0 to 100.
        urgency: Rank at a server, 0 to 9; 0 is first.
        session: The caller's name for a session.
        last_event: Newest event of a stream that the caller has.
        stripped: Further headers that callers may not set, in lower case.
        word_prefixes: Begin the names of what servers say, in lower case.
        needless: Names of these, in lower case, that need not be read.
        read: Names of these, in lower case, that are read or need not be.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    key_scheme: str = "Bearer"
    account: str = "X-Account"
    expected_server: str = "X-Expected-Server"
    signature: str = "X-Answer-Signature"
    not_run: str = "X-Not-Run"
    load: str = "X-Load"
    limit: str = "X-Server-Limit"
    leaving: str = "X-Server-Leaving"
    model: str = "X-Model"
    tokens: str = "X-Tokens"
    prefix: str = "X-Prompt-Parts"
    confidence: str = "X-Confidence"
    urgency: str = "X-Urgency"
    session: str = "X-Session"
    last_event: str = "Last-Event-Id"
    stripped: frozenset[str] = frozenset()
    word_prefixes: tuple[str, ...] = ("x-server-",)
    needless: frozenset[str] = frozenset()
    read: frozenset[str] = attrs.field(init=False)

    @read.default
    def _(self) -> frozenset[str]:
        """Returns names that are read or need not be, in lower case."""
        names = (
            self.request_id,
            self.signature,
            self.not_run,
            self.load,
            self.limit,
            self.leaving,
            self.confidence,
        )
        return frozenset(name.lower() for name in names) | self.needless

    def is_unread(self, name: str) -> bool:
        """Returns whether a header of an answer is a word nobody reads."""
        lower = name.lower()
        return lower.startswith(self.word_prefixes) and lower not in self.read

    @property
    def set_here(self) -> frozenset[str]:
        """Names, in lower case, that a caller's request loses."""
        own = (self.account, self.expected_server, self.urgency)
        return frozenset(
            {"authorization", *(name.lower() for name in own)}
            | self.stripped
            | HOP_BY_HOP
        )
