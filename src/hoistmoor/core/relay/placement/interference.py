"""Keeps the reading of long prompts away from running streams.

Addresses engines whose streams pause because long prompts are read, in chunks,
between the tokens of the other requests there. Once many engines have more to
read than a stream may pause, long prompts go to the engines at one end of the
line on which all hosts order them (see ``partition``), and requests that mostly
generate go to the others. Their number is such that both sides are equally
busy, by the outstanding requests of all hosts, so the hosts agree on it up to
the age of what they told one another. Where they disagree, the expected pauses
decide: a choice costs the time by which streams of any host would pause beyond
the longest pause of the service's routes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.placement import engine_memory
from hoistmoor.core.relay.placement import partition
from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import server as server_lib

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests

# A prompt is long if an engine reads it for more than this fraction of the
# longest pause: a few of them in a row pause the streams beside them too long.
LONG_FRACTION = 0.25
# Fraction of engines with more to read than the longest pause from which long
# prompts are kept apart, and fraction that long prompts keep busy below which
# they no longer are.
STALLING_FRACTION = 0.1
LOADED_FRACTION = 0.1
# Seconds in which a smoothed value moves half of the way to the current one.
HALF_LIFE = 4.0
# Seconds in which the weight of a measured response decays to half.
PACE_HALF_LIFE = 60.0
# Responses from which the time per token is derived.
MIN_RESPONSES = 10
# Variance of their prompts' lengths from which it is, relative to the mean
# square.
MIN_SPREAD = 0.01
# Standard errors that the derived time must exceed to replace the last one.
MIN_ERRORS = 3.0


def _is_long(seconds: float, longest_pause: float) -> bool:
    """Returns whether prompts that are read for some time pause streams."""
    return seconds > LONG_FRACTION * longest_pause


@attrs.define
class ReadingPace:
    """Time that engines of a service need to read prompts, from responses.

    The time until the first event of a response is fitted, by least squares, as
    a fixed time plus a time per token. Without the fixed time, responses to
    short prompts would make the reading of long ones look many times as slow.

    Attributes:
        count: Number of recent responses, weighted by age.
        tokens: Sum of their prompt tokens.
        seconds: Sum of the times until their first events.
        squared_tokens: Sum of the squared tokens.
        squared_seconds: Sum of the squared times.
        product: Sum of the products of tokens and times.
        longest: Prompt tokens of the longest of the recent prompts.
        per_token: Seconds per prompt token; 0 while it is not known.
        updated_at: Monotonic time of the latest response.
    """

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squared_tokens: float = 0.0
    squared_seconds: float = 0.0
    product: float = 0.0
    longest: float = 1.0
    per_token: float = 0.0
    updated_at: float = 0.0

    def record(self, tokens: float, seconds: float, now: float) -> None:
        """Adds a response of an engine that had nothing else to read.

        Args:
            tokens: Tokens of its prompt.
            seconds: Time from the request to its first event.
            now: Monotonic time.
        """
        decay = 0.5 ** (max(0.0, now - self.updated_at) / PACE_HALF_LIFE)
        self.count = self.count * decay + 1.0
        self.tokens = self.tokens * decay + tokens
        self.seconds = self.seconds * decay + seconds
        self.squared_tokens = self.squared_tokens * decay + tokens**2
        self.squared_seconds = self.squared_seconds * decay + seconds**2
        self.product = self.product * decay + tokens * seconds
        self.longest = max(self.longest * decay, tokens)
        self.updated_at = now
        self._fit()

    def _fit(self) -> None:
        """Updates the time per token, unless the responses differ too much."""
        if self.count < MIN_RESPONSES:
            return
        spread = self.squared_tokens - self.tokens**2 / self.count
        if spread <= MIN_SPREAD * self.squared_tokens:
            return
        covariance = self.product - self.tokens * self.seconds / self.count
        slope = covariance / spread
        total = self.squared_seconds - self.seconds**2 / self.count
        residual = max(0.0, total - slope * covariance)
        error = math.sqrt(residual / self.count / spread)
        if slope > MIN_ERRORS * error:
            self.per_token = slope


@attrs.frozen
class _Demand:
    """How busy requests keep an engine. The unit is one engine.

    Attributes:
        long: How busy long prompts keep it.
        other: How busy all other requests keep it; more than 1 if they exceed
            its slots.
        is_stalling: Whether it has more to read than the longest pause.
    """

    long: float
    other: float
    is_stalling: bool


@attrs.define
class ServiceReading:
    """What this host knows about the reading of prompts in one service.

    Attributes:
        memory_tokens: Tokens that the memory of an engine holds; 0 if unknown,
            prompts are then not considered.
        longest_pause: Longest pause in seconds that streams should have, the
            shortest of all routes; 0 if none has a limit: prompts are then not
            considered either.
        pace: Time that engines need to read prompts.
        long_demand: Smoothed fraction of the engines that long prompts keep
            busy.
        other_demand: Smoothed fraction that all other requests need.
        stalling: Smoothed fraction that has more to read than the longest
            pause.
        reader_fraction: Fraction that reads long prompts; 0 if any engine may.
        updated_at: Monotonic time of their latest update; None before the
            first.
    """

    memory_tokens: int = 0
    longest_pause: float = 0.0
    pace: ReadingPace = attrs.field(factory=ReadingPace)
    long_demand: float = 0.0
    other_demand: float = 0.0
    stalling: float = 0.0
    reader_fraction: float = 0.0
    updated_at: float | None = None

    def readers(self, count: int) -> int:
        """Returns how many of a number of engines read long prompts."""
        if not self.reader_fraction or count < 2:
            return 0
        return min(count - 1, max(1, round(self.reader_fraction * count)))

    def update(self, demands: list[_Demand], now: float) -> None:
        """Moves the smoothed demand towards the current one.

        Args:
            demands: Current demand at each engine; at least one.
            now: Monotonic time.
        """
        weight = 1.0
        if self.updated_at is not None:
            elapsed = max(0.0, now - self.updated_at)
            weight -= 0.5 ** (elapsed / HALF_LIFE)
        count = len(demands)
        long = sum(demand.long for demand in demands) / count
        other = sum(demand.other for demand in demands) / count
        stalling = sum(demand.is_stalling for demand in demands) / count
        self.long_demand += weight * (long - self.long_demand)
        self.other_demand += weight * (other - self.other_demand)
        self.stalling += weight * (stalling - self.stalling)
        self.updated_at = now
        if self.long_demand < LOADED_FRACTION or not (
            self.reader_fraction or self.stalling > STALLING_FRACTION
        ):
            self.reader_fraction = 0.0
            return
        fraction = self.long_demand / (self.long_demand + self.other_demand)
        if abs(fraction - self.reader_fraction) * count > 1.0:
            self.reader_fraction = fraction


@attrs.frozen
class _Attempt:
    own: float
    ahead: float
    sent_at: float


@attrs.define
class Reading:
    """Prompts that engines have still to read.

    Attributes:
        amounts: Their tokens, by engine.
    """

    amounts: engine_memory.EngineAmounts = attrs.field(
        factory=engine_memory.EngineAmounts
    )
    _attempts: dict[runs.Run, _Attempt] = attrs.field(factory=dict)

    def begin(
        self, run: runs.Run, server: str, tokens: float, now: float
    ) -> None:
        """Records that a prompt is sent to an engine."""
        ahead = self.amounts.total(server, now)
        self._attempts[run] = _Attempt(tokens, ahead, now)
        self.amounts.add(run, server, tokens)

    def record_read(
        self, run: runs.Run, service: ServiceReading, now: float
    ) -> None:
        """Records that the response to an attempt has begun."""
        self.amounts.remove(run)
        attempt = self._attempts.pop(run, None)
        if attempt is not None and not attempt.ahead:
            service.pace.record(attempt.own, now - attempt.sent_at, now)

    def end(self, run: runs.Run) -> None:
        """Records that an attempt has ended."""
        self.amounts.remove(run)
        self._attempts.pop(run, None)


@attrs.frozen
class Choice:
    """What a choice of an engine for one request would do to streams.

    Attributes:
        longest_pause: Longest pause in seconds that streams should have.
        pace: Time that engines need to read prompts.
        own: Time in seconds in which an engine reads the request's prompt.
        is_stream: Whether the request takes longer to generate than to read.
        readers: Engines that read long prompts; empty if any engine may.
        reading: Prompt tokens to be read at each engine.
        now: Monotonic time.
    """

    longest_pause: float
    pace: ReadingPace
    own: float
    is_stream: bool
    readers: list[server_lib.ServerState]
    reading: engine_memory.EngineAmounts
    now: float

    @property
    def is_long(self) -> bool:
        """Whether the prompt is long enough to pause streams."""
        return _is_long(self.own, self.longest_pause)

    def narrow(
        self, ready: list[server_lib.ServerState], distances: dict[str, float]
    ) -> tuple[list[server_lib.ServerState], dict[str, float]]:
        """Returns the engines on the request's side of the line.

        Args:
            ready: Candidate engines.
            distances: Distance of each engine to the request's class.

        Returns:
            The engines, and their distances: readers differ only in load.
            Requests that neither pause streams nor are streams for long may go
            to any engine, and level the load of both sides.
        """
        if self.readers and self.is_long:
            return self.readers, dict.fromkeys(distances, 0.0)
        if not self.readers or not self.is_stream:
            return ready, distances
        readers = {server.entry.identity for server in self.readers}
        others = [each for each in ready if each.entry.identity not in readers]
        # A host with older totals may still send long prompts to some of them.
        clean = [each for each in others if not self._reads_long(each)]
        return clean or others, distances

    def _reads_long(self, server: server_lib.ServerState) -> bool:
        tokens = self.reading.total(server.entry.identity, self.now)
        return _is_long(tokens * self.pace.per_token, self.longest_pause)

    def pause_cost(
        self, server: server_lib.ServerState, slowdown: float = 1.0
    ) -> float:
        """Returns the cost of the pauses beyond the limit, in prompt tokens.

        Streams that run there pause while the prompt is read; the request's
        own stream pauses while the prompts are read that are there already.

        Args:
            server: The engine.
            slowdown: How long it takes, relative to a usual engine.
        """
        tokens = self.reading.total(server.entry.identity, self.now)
        before = tokens * self.pace.per_token * slowdown
        suffered = self._excess(before)
        caused = self._excess(before + self.own * slowdown) - suffered
        streams = _streams(server, tokens, self.pace, self.now)
        return (caused * streams + suffered) / self.pace.per_token

    def _excess(self, pause: float) -> float:
        """Returns a pause that is too long, 0 for others."""
        return pause if pause > self.longest_pause else 0.0


def choice_for(
    request: requests.RelayRequest,
    model: str,
    ready: list[server_lib.ServerState],
    service: ServiceReading,
    reading: engine_memory.EngineAmounts,
    now: float,
) -> Choice | None:
    """Returns what a request's placement has to consider; None for nothing.

    Args:
        request: The request.
        model: Model to request.
        ready: Candidate engines.
        service: State of the request's service.
        reading: Prompt tokens to be read at each engine.
        now: Monotonic time.
    """
    if not (service.memory_tokens and service.longest_pause):
        return None
    if not (service.pace.per_token and ready):
        return None
    ordered = sorted(ready, key=partition.order_key)
    first_reader = len(ordered) - service.readers(len(ordered))
    demands = [
        _demand(server, service, reading, index >= first_reader, now)
        for index, server in enumerate(ordered)
    ]
    service.update(demands, now)
    own = reading_tokens(request, model, service.memory_tokens)
    return Choice(
        service.longest_pause,
        service.pace,
        own * service.pace.per_token,
        _is_stream(request),
        ordered[len(ordered) - service.readers(len(ordered)) :],
        reading,
        now,
    )


def _demand(
    server: server_lib.ServerState,
    service: ServiceReading,
    reading: engine_memory.EngineAmounts,
    is_reader: bool,
    now: float,
) -> _Demand:
    """Returns the demand at an engine.

    Args:
        server: The engine.
        service: State of its service.
        reading: Prompt tokens to be read at each engine.
        is_reader: Whether long prompts are sent to it.
        now: Monotonic time.
    """
    tokens = reading.total(server.entry.identity, now)
    seconds = tokens * service.pace.per_token
    is_stalling = seconds > service.longest_pause
    busy = min(1.0, seconds / (LONG_FRACTION * service.longest_pause))
    if is_reader:
        return _Demand(busy, 0.0, is_stalling)
    slots = server.entry.slots
    occupancy = server.occupancy(now) - 1.0 / slots
    # At an engine without a free slot, prompts wait for one.
    if service.reader_fraction or busy < 1.0 or occupancy >= 1.0:
        return _Demand(0.0, max(occupancy, busy), is_stalling)
    streams = _streams(server, tokens, service.pace, now)
    return _Demand(busy, streams / slots, is_stalling)


def _streams(
    server: server_lib.ServerState, tokens: float, pace: ReadingPace, now: float
) -> float:
    """Returns the estimated number of streams that run at an engine."""
    requests = server.occupancy(now) * server.entry.slots - 1.0
    return max(0.0, requests - tokens / pace.longest)


def _is_stream(request: requests.RelayRequest) -> bool:
    prompt = request.prompt
    return prompt is not None and prompt.work > 2.0 * prompt.tokens


def reading_tokens(
    request: requests.RelayRequest, model: str, memory_tokens: int
) -> float:
    """Returns the prompt tokens to read, in those of the smallest model.

    Args:
        request: The request. Callers state the length of their prompts
            themselves; an engine declines what exceeds its memory.
        model: Model to request.
        memory_tokens: Tokens that the memory of an engine holds.
    """
    tokens = request.prompt.tokens if request.prompt else 0
    return min(tokens, memory_tokens) * request.weight(model)
