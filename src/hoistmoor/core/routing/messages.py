"""Inputs and outputs of the router."""

from __future__ import annotations

import attrs

from hoistmoor.core import codec


@attrs.frozen
class RouteQuery:
    """One request for a model.

    Attributes:
        request_id: Id of the request; also seeds its random draws.
        account: Name of the client account.
        model: A model, ``model@version``, or ``auto``.
        kind: The caller's label for this kind of request; may be empty.
        pin: Key of the version that the request's session is pinned to, if
            any.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Maximum number of tokens of the answer.
        prefix: Hashes of the prompt's blocks; each hash also covers all
            preceding blocks.
        urgent: Whether a user waits for the answer.
        session: Id of the session; concurrent first requests of a session
            are routed to the same version by it.
    """

    request_id: str
    account: str
    model: str
    kind: str = ""
    pin: str | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[int, ...] = ()
    urgent: bool = False
    session: str = ""


@attrs.frozen
class CandidateNote:
    """Why a version or backend server was chosen or not.

    Attributes:
        version: Key of the version; empty for a plain service.
        server: Name of the backend server; empty for the version as a whole.
        verdict: The decision and its reason.
        expected_cost: Expected micros per answer.
        load: Estimated calls on the server as a share of its capacity.
    """

    version: str
    server: str
    verdict: str
    expected_cost: float = 0.0
    load: float = 0.0


@attrs.frozen
class Choice:
    """The destination of one attempt.

    Attributes:
        version: Key of the version; empty for a plain service.
        server: Name of the backend server.
        address: ``ip:port`` of the backend server.
        hold_answer: Whether the answer is buffered until it is evaluated.
        reason: Short human-readable reason.
        version_notes: Why each version was chosen or not; shared by all
            requests with the same plan.
        server_notes: Backend servers considered and their estimated load.
        escalated: Whether this attempt follows an escalation.
        threshold: Confidence buckets below this one escalate.
        then: Key of the version to escalate to; empty if there is none.
    """

    version: str
    server: str
    address: str
    hold_answer: bool
    reason: str
    version_notes: tuple[CandidateNote, ...] = ()
    server_notes: tuple[tuple[str, float], ...] = ()
    escalated: bool = False
    threshold: int = 0
    then: str = ""

    @property
    def notes(self) -> tuple[CandidateNote, ...]:
        """All candidates considered, versions first."""
        return self.version_notes + tuple(
            CandidateNote(self.version, name, self._verdict(name), load=load)
            for name, load in self.server_notes
        )

    def _verdict(self, server: str) -> str:
        return "chosen" if server == self.server else "busier or farther"


@attrs.frozen
class AnswerFacts:
    """Properties of a complete answer that has not been forwarded yet.

    Attributes:
        confidence: Mean token probability; None if the engine reports none.
        finish_reason: Why generation ended, such as ``stop`` or ``length``.
        tokens: Number of tokens generated.
    """

    confidence: float | None
    finish_reason: str = "stop"
    tokens: int = 0


@attrs.frozen
class Accept:
    """Decision to forward the answer.

    Attributes:
        reason: Short human-readable reason.
    """

    reason: str


@attrs.frozen
class Escalate:
    """Decision to discard the answer and call another version.

    Attributes:
        choice: Destination of the next attempt.
        reason: Short human-readable reason.
    """

    choice: Choice
    reason: str


@attrs.frozen
class LoadReport:
    """The load that a backend server reported at some past time.

    Attributes:
        server: Name of the backend server.
        incarnation: Number of the server's start.
        state: ``live`` or ``leaving``.
        running: Number of calls being served.
        queued: Number of waiting calls.
        capacity: Maximum number of concurrent calls.
        versions: Keys of the loaded versions; empty for a plain service.
        at: When the server measured the load.
    """

    server: str
    incarnation: int
    state: str
    running: int
    queued: int
    capacity: int
    versions: tuple[str, ...]
    at: float


@attrs.frozen
class Rating:
    """A rating of one answer, received some time after the answer.

    Attributes:
        answer_id: Id of the answer; see ``quality_estimates.make_answer_id``.
        model: Name of the model.
        version: Name of the version.
        kind: Kind of the request.
        good: Whether the answer was good.
        at: When the answer was rated.
    """

    answer_id: str
    model: str
    version: str
    kind: str
    good: bool
    at: float


@attrs.frozen
class AttemptResult:
    """The outcome of one attempt.

    Attributes:
        ok: Whether the attempt yielded a complete answer.
        declined: Whether the server refused the call without running it.
        cancelled: Whether this host cancelled the attempt; such an attempt
            does not count for the server's health.
        seconds: Time from dispatch to the end.
        tokens: Number of tokens generated.
        kind: Kind of the request.
        confidence: Mean token probability; None if the engine reports none.
        prompt_tokens: Number of tokens of the prompt.
        escalated: Whether the attempt followed an escalation.
    """

    ok: bool
    declined: bool = False
    cancelled: bool = False
    seconds: float = 0.0
    tokens: int = 0
    kind: str = ""
    confidence: float | None = None
    prompt_tokens: int = 0
    escalated: bool = False


@attrs.frozen
class CacheEvent:
    """A change of a backend server's prefix cache, received with a delay.

    Attributes:
        server: Name of the backend server.
        sequence: Sequence number of the event; a gap means lost events.
        stored: Hashes of the blocks added to the cache.
        evicted: Hashes of the blocks removed from the cache.
    """

    server: str
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


@attrs.frozen
class Withdrawal:
    """Evidence record: withdraws a degraded version for one or all kinds.

    Attributes:
        version: Key of the version.
        kind: Kind of request; ``*`` for all.
        row_digest: Digest of the version's row at the decision. An operator's
            edit of the row's stage, prior quality or cap lifts the withdrawal.
        by: Host that decided.
        at: Time of the decision.
        evidence: Human-readable test statistic and threshold.
    """

    version: str
    kind: str
    row_digest: str
    by: str
    at: float
    evidence: str


@attrs.frozen
class ExposureClaim:
    """Evidence record: a host claims a slice of a version's exposure cap.

    Attributes:
        claim_id: Id of the claim; a repetition counts once.
        version: Key of the version.
        row_digest: Digest of the version's row at the time of the claim.
        holder: Incarnation that may use the slice.
        amount: Number of unproven answers claimed.
        cap: The version's cap at the time of the claim.
    """

    claim_id: str
    version: str
    row_digest: str
    holder: str
    amount: int
    cap: int


@attrs.frozen
class ExposureTally:
    """Evidence record: the sum of all granted slices.

    Hosts that start after the original claims were removed from the log
    initialize their state from it.

    Attributes:
        as_of: Offset after the last record included in the tally.
        granted: Sum of the granted slices by digest of the version's row.
    """

    as_of: int
    granted: dict[str, int]


codec.register("withdrawal", Withdrawal)
codec.register("exposure_claim", ExposureClaim)
codec.register("exposure_tally", ExposureTally)

Effect = Withdrawal | ExposureClaim | ExposureTally
