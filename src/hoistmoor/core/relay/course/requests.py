"""Relayed requests: their destination, deadline and amount of work."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.beliefs import configuration

# A generated token takes an engine about as long as ten prompt tokens: prompt
# tokens are processed in batches, while every generated token needs its own
# step.
TOKENS_PER_NEW_TOKEN = 10


@attrs.frozen
class PromptPart:
    """Part of a prompt. Requests with a common prefix have common parts.

    Attributes:
        name: Identifier of the text; equal for equal texts.
        tokens: Length in tokens.
    """

    name: str
    tokens: int


@attrs.frozen
class Prompt:
    """Prompt properties of a model request.

    Attributes:
        model: Requested model, or ``*`` if the relay chooses the size.
        tokens: Length of the prompt in tokens.
        max_new_tokens: Maximum number of tokens to generate.
        parts: Parts of the prompt in order; the last one is specific to the
            request or session.
    """

    model: str
    tokens: int = 0
    max_new_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the parts shared with other requests."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def work(self) -> float:
        """Work for an engine with an empty cache, in prompt tokens."""
        return self.tokens + TOKENS_PER_NEW_TOKEN * self.max_new_tokens

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Names of the parts that other requests may share."""
        return tuple(part.name for part in self.parts[:-1])

    @property
    def subject(self) -> str:
        """Name of the last part shared with other requests, or empty."""
        return self.parts[-2].name if len(self.parts) > 1 else ""


@attrs.frozen
class RelayRequest:
    """A request that was read completely.

    Attributes:
        request_id: Id assigned by the caller; differs for each retry.
        route: Route that the request matched.
        service: Service selected for the request.
        account: Name of the client account; empty on an anonymous route.
        revision: Configuration revision under which it was admitted.
        arrived: Monotonic time in seconds at which its headers were read.
        deadline: Monotonic time at which its final response is due.
        prompt: Prompt of a model request; None for other requests.
        model_costs: Cost of the models of the service, by name.
        session: Session name given by the caller, or empty.
        last_event: Id of the last event that the caller received; None if
            there is none.
        priority: Priority of the client account, or else of the route; 0 is
            the most urgent.
        fingerprint: Equal for all retries of the same request; empty until the
            body is read.
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

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Names of the prompt parts that other requests may share."""
        return self.prompt.shared_parts if self.prompt else ()

    def work(self, model: str) -> float:
        """Returns the work for an engine with an empty cache.

        The unit is one prompt token of the smallest model. The work per token
        of a larger model is estimated from its cost.
        """
        if self.prompt is None:
            return 0.0
        return self.prompt.work * self.weight(model)

    def weight(self, model: str) -> float:
        """Returns the work per token, relative to the smallest model."""
        if not self.model_costs or model not in self.model_costs:
            return 1.0
        return self.model_costs[model] / min(self.model_costs.values())
