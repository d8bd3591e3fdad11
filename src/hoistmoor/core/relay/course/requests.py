"""A request as the relay sees it: where it goes, and how long it may take."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.beliefs import configuration

# A generated token costs an engine about as much as ten tokens of a prompt:
# these are read many at a time, a generated one takes a step of its own.
TOKENS_PER_NEW_TOKEN = 10


@attrs.frozen
class PromptPart:
    """One part of a prompt; requests with the same start share parts.

    Attributes:
        name: The same for the same text.
        tokens: Its length.
    """

    name: str
    tokens: int


@attrs.frozen
class Prompt:
    """What a model request tells of its prompt.

    Attributes:
        model: Model asked for, or ``*`` where the relay chooses the size.
        tokens: Length of the prompt.
        max_new_tokens: Tokens that may be generated, at most.
        parts: Parts in order; the last belongs to this request or session.
    """

    model: str
    tokens: int = 0
    max_new_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def work(self) -> float:
        """Work for an engine that has nothing cached, in prompt tokens."""
        return self.tokens + TOKENS_PER_NEW_TOKEN * self.max_new_tokens

    @property
    def subject(self) -> str:
        """Name of the last part that other requests share, or empty."""
        return self.parts[-2].name if len(self.parts) > 1 else ""


@attrs.frozen
class RelayRequest:
    """A request that was read whole.

    Attributes:
        request_id: The caller's id of this attempt of its own.
        route: The route that it came by.
        service: The service chosen for it.
        account: Name of the client account; empty on an anonymous route.
        revision: Revision that it was admitted under.
        arrived: When its head was read, on the steady clock, in seconds.
        deadline: When its final answer is due, on the steady clock.
        prompt: For model requests.
        model_costs: Cost of the service's models, by name.
        session: The caller's name for the session, or empty.
        last_event: Newest event that the caller has; None for none.
        priority: Its client account's, or else its route's; 0 is the most
            urgent.
        fingerprint: The same for each try of the same request; empty until
            the body is read.
    """

    request_id: str
    route: configuration.Route
    service: str
    account: str
    revision: int
    arrived: float
    deadline: float
    prompt: Prompt | None = None
    model_costs: dict[str, float] = attrs.field(factory=dict)
    session: str = ""
    last_event: int | None = None
    priority: int = 0
    fingerprint: str = ""

    def work(self, model: str) -> float:
        """Returns the work for an engine that has nothing cached.

        The unit is a prompt token of the smallest model. How much more work
        a token of a larger model is, is taken from what it costs.
        """
        if self.prompt is None:
            return 0.0
        return self.prompt.work * self.weight(model)

    def weight(self, model: str) -> float:
        """Returns a token's work in tokens of the smallest model."""
        if not self.model_costs or model not in self.model_costs:
            return 1.0
        return self.model_costs[model] / min(self.model_costs.values())
