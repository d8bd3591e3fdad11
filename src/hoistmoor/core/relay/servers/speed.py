"""How fast a backend server is now, relative to the usual one of its service.

Servers of one service differ in speed, and share their machines with others, so
that each is several times slower for parts of a second. The first is learned
from responses, the second is reported by the server with each response.

A report is outdated within a fraction of a second. It therefore counts as
evidence that decays to the mean of the server's reports, which may include the
server's own speed. What is learned from responses is what reports do not tell.

A learned speed is an empirical Bayes estimate: the response times of a server,
compared with those of like work at other servers, are weighed against the prior
of its version by how much servers differ and how much single responses do. With
few responses, or servers that differ by less than the noise, the estimate stays
at the prior.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.answers import response_times

# Seconds in which a reported factor loses 63% of its weight. It changes many
# times a second; a slow spell lasts about as long.
REPORT_DECAY = 0.5
# Reports of a server that weigh as much as the mean of its service.
PRIOR_REPORTS = 1.0
MAX_REPORTS = 50.0  # Reports that a mean covers.
# Reported factors are kept within 1 / MAX_FACTOR and MAX_FACTOR.
MAX_FACTOR = 20.0
# Speeds measured in a response are kept within 1 / MAX_SPEED and MAX_SPEED, so
# that no server is left without the requests that could correct the estimate.
MAX_SPEED = 4.0
MAX_RESPONSES = 20.0  # Responses that a server's learned speed covers.
# Seconds in which the evidence of a server's responses loses half its weight: a
# server that gets no requests returns to the prior.
LEARNED_HALF_LIFE = 60.0
MIN_LIKE_RESPONSES = 5.0  # Like responses needed to compare another with.
MAX_LIKE_RESPONSES = 50.0  # Responses that a mean of like work covers.
# Comparisons with earlier responses of the same server that are needed before
# the noise is known.
MIN_COMPARISONS = 8.0
MAX_COMPARISONS = 200.0
# Comparisons of a version that are needed for a prior, and standard errors by
# which it must differ from the service's mean.
MIN_VERSION_RESPONSES = 20.0
SIGNIFICANCE = 2.0
MIN_EVENTS = 4  # Events needed to measure the pace of a stream.
# Occupancies that separate the loads at which responses are compared.
LOAD_BANDS = (0.25, 0.5, 1.0, 2.0)
COST_RESPONSES = 20.0  # Responses that the seconds per unit of work cover.
# Relative change of a learned speed that is logged.
LOGGED_CHANGE = 1.25


@attrs.define
class _Mean:
    """Mean of recent values.

    Attributes:
        limit: Number of values after which it becomes a moving average.
        value: The mean; 0 before the first value.
        count: Number of values that it covers.
    """

    limit: float
    value: float = 0.0
    count: float = 0.0

    def record(self, value: float) -> None:
        """Adds a value."""
        self.count = min(self.limit, self.count + 1.0)
        self.value += (value - self.value) / self.count


@attrs.frozen
class LikeWork:
    """Work that takes servers of equal speed about equally long.

    Attributes:
        kind: Requested model, or else the route.
        load_band: Index of an engine's occupancy in ``LOAD_BANDS``.
    """

    kind: str
    load_band: int = 0


@attrs.frozen
class Sample:
    """Duration of one unit of like work.

    Attributes:
        like: The work.
        seconds: How long it took.
        measured_over: Seconds over which it was measured.
    """

    like: LikeWork
    seconds: float
    measured_over: float


@attrs.frozen
class SpeedChange:
    """A notable change of a learned speed.

    Attributes:
        speed: The new speed.
        before: The speed that was logged before.
        responses: Responses that it rests on; old ones count less.
        difference: Standard deviation of the logarithms of speeds.
        noise: Standard deviation of the logarithm of one response.
    """

    speed: float
    before: float
    responses: float
    difference: float
    noise: float


@attrs.define
class ServerSpeed:
    """Evidence of the speed of one incarnation of a server.

    Attributes:
        reported: Latest reported duration factor.
        reported_at: Monotonic time of that report.
        usual_factor: Mean of its reports.
        ratio: Mean logarithm of its speed in responses, relative to like work.
        learned_at: Monotonic time of its latest measured response.
        logged: The learned speed that was logged last.
    """

    reported: float = 1.0
    reported_at: float = float("-inf")
    usual_factor: _Mean = attrs.field(factory=lambda: _Mean(MAX_REPORTS))
    ratio: _Mean = attrs.field(factory=lambda: _Mean(MAX_RESPONSES))
    learned_at: float = float("-inf")
    logged: float = 1.0

    def record_report(self, factor: float, now: float) -> None:
        """Records a duration factor that the server has reported."""
        self.reported = min(MAX_FACTOR, max(1.0 / MAX_FACTOR, factor))
        self.reported_at = now
        self.usual_factor.record(self.reported)

    def responses(self, now: float) -> float:
        """Returns the number of responses; old ones count less."""
        age = max(0.0, now - self.learned_at)
        return self.ratio.count * math.exp2(-age / LEARNED_HALF_LIFE)


@attrs.define
class ServiceSpeeds:
    """Speeds of the servers of one service.

    Attributes:
        reports: Mean of the reported duration factors of all servers.
        difference: Variance of the logarithms of speeds; 0 if it may be noise.
    """

    reports: _Mean = attrs.field(factory=lambda: _Mean(MAX_COMPARISONS))
    difference: float = 0.0
    _like: dict[LikeWork, _Mean] = attrs.field(factory=dict)
    _versions: dict[str, _Mean] = attrs.field(factory=dict)
    # Variances of the logarithm of a response's speed: in total, and around the
    # mean of its server.
    _total: _Mean = attrs.field(factory=lambda: _Mean(MAX_COMPARISONS))
    _noise: _Mean = attrs.field(factory=lambda: _Mean(MAX_COMPARISONS))
    _seconds: _Mean = attrs.field(factory=lambda: _Mean(COST_RESPONSES))
    _work: _Mean = attrs.field(factory=lambda: _Mean(COST_RESPONSES))

    def slowdown(
        self, server: ServerSpeed, version: str, seconds: float, now: float
    ) -> float:
        """Returns how long work takes, relative to a usual server.

        Args:
            server: Evidence of the server's speed.
            version: Its version.
            seconds: How long the work takes on a usual server; 0 if unknown.
            now: Monotonic time.
        """
        factor = self._expected_factor(server, seconds, now)
        return factor / self.learned_speed(server, version, now)

    def learned_speed(
        self, server: ServerSpeed, version: str, now: float
    ) -> float:
        """Returns a server's speed without what it reports; usually 1."""
        difference = self.difference
        prior = self._prior(version)
        responses = server.responses(now)
        if not difference or not responses:
            return math.exp(prior)
        prior_weight = self._noise.value / difference
        ratio = (prior * prior_weight + server.ratio.value * responses) / (
            prior_weight + responses
        )
        return math.exp(ratio)

    def seconds_of(self, work: float) -> float:
        """Returns the seconds that work takes a usual server.

        It is the time in which a server with this outstanding work in total
        completes it, as measured at the loads of recent responses. Under full
        load, it is thus the part of a server's capacity that the work takes.

        Args:
            work: Work in prompt tokens for an engine, else in requests relative
                to the slots of a server.

        Returns:
            The seconds; 0 before the first response.
        """
        if not self._work.value:
            return 0.0
        return work * self._seconds.value / self._work.value

    def record_response(
        self,
        server: ServerSpeed,
        version: str,
        sample: Sample,
        now: float,
    ) -> SpeedChange | None:
        """Learns from a whole response.

        Args:
            server: Evidence of the speed of the server that responded.
            version: Its version.
            sample: Duration of the response.
            now: Monotonic time.

        Returns:
            A change to log, or None.
        """
        if server.usual_factor.count:
            self.reports.record(server.reported)
        factor = self._expected_factor(
            server, sample.measured_over, now - sample.measured_over
        )
        pace = math.log(sample.seconds / factor)
        like = self._like.setdefault(sample.like, _Mean(MAX_LIKE_RESPONSES))
        usual, is_known = like.value, like.count >= MIN_LIKE_RESPONSES
        like.record(pace)
        if not is_known:
            return None
        limit = math.log(MAX_SPEED)
        ratio = min(limit, max(-limit, usual - pace))
        self._record_ratio(server, ratio, now)
        self._versions.setdefault(version, _Mean(MAX_COMPARISONS)).record(ratio)
        return self._logged_change(server, version, now)

    def record_work(
        self,
        server: ServerSpeed,
        version: str,
        seconds: float,
        work: float,
        now: float,
    ) -> None:
        """Learns how long work takes from a whole response.

        Args:
            server: Evidence of the speed of the server that responded.
            version: Its version.
            seconds: Duration of the response.
            work: Outstanding work of the server when the request was sent, its
                own included; 0 if unknown.
            now: Monotonic time.
        """
        if not work:
            return
        slowdown = self.slowdown(server, version, seconds, now - seconds)
        self._seconds.record(seconds / slowdown)
        self._work.record(work)

    def _record_ratio(
        self, server: ServerSpeed, ratio: float, now: float
    ) -> None:
        """Adds to the variances and to the evidence of a server."""
        before = server.ratio
        if before.count:
            spread = (ratio - before.value) ** 2
            self._noise.record(spread * before.count / (before.count + 1.0))
        self._total.record(ratio**2)
        before.count = server.responses(now)
        before.record(ratio)
        server.learned_at = now
        self.difference = self._significant_difference()

    def _significant_difference(self) -> float:
        comparisons = self._noise.count
        if comparisons < MIN_COMPARISONS:
            return 0.0
        # The standard error of a variance of normally distributed values.
        margin = math.sqrt(2.0 / comparisons)
        return max(0.0, self._total.value * (1.0 - margin) - self._noise.value)

    def _prior(self, version: str) -> float:
        """Returns the logarithm of a version's speed; 0 if it may be noise."""
        mean = self._versions.get(version)
        if (
            mean is None
            or mean.count < MIN_VERSION_RESPONSES
            or len(self._versions) == 1
        ):
            return 0.0
        error = math.sqrt(self._total.value / mean.count)
        return mean.value if abs(mean.value) > SIGNIFICANCE * error else 0.0

    def _expected_factor(
        self, server: ServerSpeed, seconds: float, now: float
    ) -> float:
        """Returns the mean duration factor over a number of seconds."""
        reports = server.usual_factor
        usual = self.reports.value or 1.0
        if not reports.count:
            return usual
        usual = (reports.value * reports.count + usual * PRIOR_REPORTS) / (
            reports.count + PRIOR_REPORTS
        )
        age = max(0.0, now - server.reported_at)
        weight = math.exp(-age / REPORT_DECAY)
        periods = seconds / REPORT_DECAY
        if periods > 0.0:
            weight *= -math.expm1(-periods) / periods
        return usual + (server.reported - usual) * weight

    def _logged_change(
        self, server: ServerSpeed, version: str, now: float
    ) -> SpeedChange | None:
        speed = self.learned_speed(server, version, now)
        before = server.logged
        if max(speed / before, before / speed) < LOGGED_CHANGE:
            return None
        server.logged = speed
        return SpeedChange(
            speed,
            before,
            server.responses(now),
            math.sqrt(self.difference),
            math.sqrt(self._noise.value),
        )


def sample_of(
    route: str,
    measured: response_times.ResponseTiming,
    occupancy: float,
    ahead: float,
) -> Sample | None:
    """Returns the duration of a unit of like work, or None.

    Events of a stream come at the pace of the engine, whatever the length of
    the prompt, so that only the time between them is compared. A plain request
    waits while all slots are taken.

    Args:
        route: Name of the route.
        measured: Timing of the response.
        occupancy: Requests at the server, relative to its slots.
        ahead: For a plain request, the same when it was sent.
    """
    if measured.failed or measured.is_silent or not measured.is_whole:
        return None
    if not measured.events:
        if measured.total <= 0.0:
            return None
        seconds = measured.total / max(1.0, ahead)
        return Sample(LikeWork(route), seconds, measured.total)
    streamed = measured.total - measured.first
    if measured.events < MIN_EVENTS or streamed <= 0.0:
        return None
    band = sum(occupancy >= each for each in LOAD_BANDS)
    like = LikeWork(measured.model, band)
    return Sample(like, streamed / (measured.events - 1), streamed)
