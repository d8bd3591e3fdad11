"""Command line flags of the stand-ins.

Each flag has an environment variable: ``--append-rate`` is also
``HOISTMOOR_STANDIN_APPEND_RATE``. A flag takes precedence over its variable.
"""

from __future__ import annotations

import time
from typing import Annotated

import attrs

from hoistmoor.standins import engine
from hoistmoor.standins import options
from hoistmoor.standins import service


@attrs.frozen(kw_only=True, slots=False)
class ListenFlags:
    """Flags of all stand-ins."""

    listen: Annotated[
        str,
        options.flag(
            "listen", "ip:port to listen on; port 0 for any.", "127.0.0.1:0"
        ),
    ] = "127.0.0.1:0"


@attrs.frozen(kw_only=True, slots=False)
class LogFlags(ListenFlags):
    """Flags of the log service."""

    max_age: Annotated[
        float,
        options.flag("max-age", "Seconds that a record is retained.", 3600.0),
    ] = 3600.0
    max_records: Annotated[
        int,
        options.flag("max-records", "Records that a stream retains.", 100_000),
    ] = 100_000
    append_rate: Annotated[
        float,
        options.flag("append-rate", "Appends per second; 0 for no limit.", 0.0),
    ] = 0.0


@attrs.frozen(kw_only=True, slots=False)
class HostsFlags(ListenFlags):
    """Flags of the host list."""

    hosts_lag: Annotated[
        float, options.flag("hosts-lag", "Seconds that the list lags.", 0.0)
    ] = 0.0
    host: Annotated[
        tuple[str, ...],
        options.repeatable_flag(
            "host", "name,ip:port,domain,role; repeatable.", ()
        ),
    ] = ()


@attrs.frozen(kw_only=True, slots=False)
class RatingsFlags(ListenFlags):
    """Flags of the rating service."""

    rating_share: Annotated[
        float, options.flag("rating-share", "Fraction of responses rated.", 1.0)
    ] = 1.0
    rating_delay: Annotated[
        float, options.flag("rating-delay", "Seconds until a rating.", 0.0)
    ] = 0.0


@attrs.frozen(kw_only=True, slots=False)
class WeightsFlags(ListenFlags):
    """Flags of the weight store."""

    weights_rate: Annotated[
        float, options.flag("weights-rate", "Calls per second.", 5.0)
    ] = 5.0


@attrs.frozen(kw_only=True, slots=False)
class PlatformFlags(LogFlags, HostsFlags, RatingsFlags, WeightsFlags):
    """Flags of all platform services on one port."""


@attrs.frozen(kw_only=True, slots=False)
class BackendFlags(ListenFlags):
    """Flags of both kinds of backend server."""

    name: Annotated[
        str, options.flag("name", "Name of the backend server.", "backend-1")
    ] = "backend-1"
    incarnation: Annotated[
        int,
        options.flag("incarnation", "Incarnation; 0 for the start time.", 0),
    ] = 0
    capacity: Annotated[
        int,
        options.flag("capacity", "Maximum number of requests in service.", 8),
    ] = 8
    queue_limit: Annotated[
        int,
        options.flag("queue-limit", "Maximum number of waiting requests.", 64),
    ] = 64
    report_interval: Annotated[
        float, options.flag("report-interval", "Seconds between reports.", 0.25)
    ] = 0.25

    @property
    def reported_incarnation(self) -> int:
        """The incarnation to report."""
        return self.incarnation or int(time.time() * 1000)


@attrs.frozen(kw_only=True, slots=False)
class EngineFlags(BackendFlags):
    """Flags of a model engine."""

    serve: Annotated[
        tuple[str, ...],
        options.repeatable_flag(
            "serve", "model@version[=quality] loaded at the start.", ("demo@1",)
        ),
    ] = ("demo@1",)
    quality: Annotated[
        tuple[str, ...],
        options.repeatable_flag(
            "quality", "model@version=quality of a version not loaded.", ()
        ),
    ] = ()
    token_time: Annotated[
        float, options.flag("token-time", "Seconds per token.", 0.005)
    ] = 0.005
    prefill_time: Annotated[
        float,
        options.flag("prefill-time", "Seconds per 1000 prompt tokens.", 0.1),
    ] = 0.1
    slowdown: Annotated[
        float,
        options.flag(
            "slowdown", "Fraction by which a full batch is slower.", 0.0
        ),
    ] = 0.0
    answer_tokens: Annotated[
        int, options.flag("answer-tokens", "Mean tokens of a response.", 32)
    ] = 32
    load_time: Annotated[
        float, options.flag("load-time", "Seconds to load a version.", 1.0)
    ] = 1.0
    cache_blocks: Annotated[
        int, options.flag("cache-blocks", "Blocks in the prefix cache.", 4096)
    ] = 4096
    event_lag: Annotated[
        float, options.flag("event-lag", "Seconds that cache events lag.", 0.5)
    ] = 0.5
    ignore_fencing: Annotated[
        bool,
        options.flag(
            "ignore-fencing", "Accept orders with any fencing token.", False
        ),
    ] = False
    seed: Annotated[
        int,
        options.flag("seed", "Seed that determines which prompts are hard.", 0),
    ] = 0

    def settings(self) -> engine.EngineSettings:
        """Returns the validated settings.

        Raises:
            ConfigurationError: A version or a quality is invalid.
        """
        served = options.parse_qualities("--serve", self.serve)
        known = options.parse_qualities("--quality", self.quality)
        return engine.EngineSettings(
            name=self.name,
            incarnation=self.reported_incarnation,
            quality={**known, **served},
            loaded=frozenset(served),
            capacity=self.capacity,
            queue_limit=self.queue_limit,
            token_time=self.token_time,
            prefill_time=self.prefill_time,
            slowdown=self.slowdown,
            answer_tokens=self.answer_tokens,
            load_time=self.load_time,
            cache_blocks=self.cache_blocks,
            event_lag=self.event_lag,
            report_interval=self.report_interval,
            honours_fencing=not self.ignore_fencing,
            seed=self.seed,
        )


@attrs.frozen(kw_only=True, slots=False)
class ServiceFlags(BackendFlags):
    """Flags of a plain service."""

    service_time: Annotated[
        float,
        options.flag("service-time", "Duration of a call in seconds.", 0.003),
    ] = 0.003

    def settings(self) -> service.ServiceSettings:
        """Returns the settings."""
        return service.ServiceSettings(
            name=self.name,
            incarnation=self.reported_incarnation,
            capacity=self.capacity,
            queue_limit=self.queue_limit,
            service_time=self.service_time,
            report_interval=self.report_interval,
        )
