"""Header names used between callers, the relay and backend servers."""

from __future__ import annotations

import attrs

# Connection-specific headers (RFC 9110, section 7.6.1), and headers that are
# generated for each connection.
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
        request_id: Id of the request attempt, chosen by the caller and echoed
            by servers.
        deadline_ms: Remaining time in milliseconds, from callers and to
            servers.
        key_scheme: Authentication scheme in ``Authorization``.
        account: Name of the client account, sent to servers.
        expected_server: Id of the server that may run the request.
        signature: Proof that a response was made by the server itself.
        not_run: Marks a response whose server did not run the request.
        load: A server's running and waiting requests, and its slots.
        limit: Requests per second that a server accepts from all hosts
            together.
        brittle: Requests that a server may turn away in a second before it
            falls over.
        leaving: Announces that a server is about to terminate.
        model: Requested model.
        tokens: Tokens of the prompt, and the maximum of new tokens.
        prefix: Parts of the prompt, as comma-separated ``name:tokens``.
        confidence: A model's confidence in its answer, 0 to 100.
        urgency: Scheduling rank at a server, 0 (first) to 9.
        session: Session id chosen by the caller.
        last_event: Id of the last stream event that the caller has received.
        stripped: Further headers that callers may not set, in lower case.
        report_prefixes: Prefixes of the headers in which servers report about
            themselves, in lower case.
        ignored: Such headers that are ignored on purpose, in lower case.
        read: Such headers that are read or ignored on purpose, in lower case.
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
    brittle: str = "X-Server-Brittle"
    model: str = "X-Model"
    tokens: str = "X-Tokens"
    prefix: str = "X-Prompt-Parts"
    confidence: str = "X-Confidence"
    urgency: str = "X-Urgency"
    session: str = "X-Session"
    last_event: str = "Last-Event-Id"
    stripped: frozenset[str] = frozenset()
    report_prefixes: tuple[str, ...] = ("x-server-",)
    ignored: frozenset[str] = frozenset()
    read: frozenset[str] = attrs.field(init=False)

    @read.default
    def _(self) -> frozenset[str]:
        """Returns the names that are read or ignored, in lower case."""
        names = (
            self.request_id,
            self.signature,
            self.not_run,
            self.load,
            self.limit,
            self.leaving,
            self.brittle,
            self.confidence,
        )
        return frozenset(name.lower() for name in names) | self.ignored

    def is_unsupported(self, name: str) -> bool:
        """Returns whether a response header is an unrecognized report."""
        lower = name.lower()
        return lower.startswith(self.report_prefixes) and lower not in self.read

    @property
    def removed_from_requests(self) -> frozenset[str]:
        """Headers removed from a caller's request, in lower case."""
        own = (self.account, self.expected_server, self.urgency)
        return frozenset(
            {"authorization", *(name.lower() for name in own)}
            | self.stripped
            | HOP_BY_HOP
        )
