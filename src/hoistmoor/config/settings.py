"""Settings of the programs, as classes populated from the command line.

Each attribute has a flag and an environment variable of the same name:
``log_url`` is ``--log-url`` and ``HOISTMOOR_LOG_URL``. A flag takes precedence
over its variable. ``checks`` validates all settings together.
"""

from __future__ import annotations

import enum
from typing import Annotated

import attrs
import cappa

from hoistmoor.config import environment


class LogFormat(enum.StrEnum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(enum.StrEnum):
    """Minimum severity of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen(kw_only=True)
class CommonSettings:
    """Settings of every long-running program.

    Attributes:
        log_format: Format of log lines.
        log_level: Minimum severity of log lines.
        statsd: ``ip:port`` that metrics are sent to; empty for none.
    """

    log_format: Annotated[
        LogFormat,
        environment.setting("log_format", "Format of log lines.", "text"),
    ] = LogFormat.TEXT
    log_level: Annotated[
        LogLevel, environment.setting("log_level", "Minimum severity.", "info")
    ] = LogLevel.INFO
    statsd: Annotated[
        str, environment.setting("statsd", "ip:port of statsd, or empty.", "")
    ] = ""


@attrs.frozen(kw_only=True)
class HostSettings(CommonSettings):
    """Settings of programs that run on entry hosts.

    Attributes:
        host: Name of the host, without a ``.``.
        failure_domain: Failure domain of the host.
        region: Region of the failure domain.
        listen: ``ip:port`` for HTTP.
        advertise: ``ip:port`` at which others reach ``listen``; empty if it
            is the same.
        log_url: Base URL of the platform's log.
        hosts_url: Base URL of the host list; empty if it is ``log_url``.
        ratings_url: Base URL of the ratings; empty if it is ``log_url``.
        weights_url: Base URL of the weights; empty if it is ``log_url``.
        secret: Keys for tickets and session tokens, separated by commas and
            the same on every host of a deployment. The first one signs, and
            all are accepted.
        stop_timeout: Maximum seconds of a graceful stop.
    """

    host: Annotated[str, environment.setting("host", "Name of this host.")]
    failure_domain: Annotated[
        str,
        environment.setting("failure_domain", "Failure domain of this host."),
    ]
    region: Annotated[
        str, environment.setting("region", "Region of this host.", "local")
    ] = "local"
    listen: Annotated[str, environment.setting("listen", "ip:port for HTTP.")]
    advertise: Annotated[
        str,
        environment.setting("advertise", "ip:port that others connect to.", ""),
    ] = ""
    log_url: Annotated[str, environment.setting("log_url", "URL of the log.")]
    hosts_url: Annotated[
        str, environment.setting("hosts_url", "URL of the host list.", "")
    ] = ""
    ratings_url: Annotated[
        str, environment.setting("ratings_url", "URL of the ratings.", "")
    ] = ""
    weights_url: Annotated[
        str, environment.setting("weights_url", "URL of the weights.", "")
    ] = ""
    secret: Annotated[str, environment.secret_setting()] = attrs.field(
        default="", repr=False
    )
    stop_timeout: Annotated[
        float,
        environment.setting(
            "stop_timeout", "Maximum seconds of a graceful stop.", 30.0
        ),
    ] = 30.0

    @property
    def secrets(self) -> tuple[str, ...]:
        """The keys of ``secret``; the first one signs."""
        return tuple(self.secret.split(","))

    @property
    def hosts_base(self) -> str:
        """Base URL of the host list."""
        return self.hosts_url or self.log_url

    @property
    def ratings_base(self) -> str:
        """Base URL of the ratings."""
        return self.ratings_url or self.log_url

    @property
    def weights_base(self) -> str:
        """Base URL of the weights."""
        return self.weights_url or self.log_url


@cappa.command(
    name="hoistmoor-entry",
    help="Serves requests of callers.",
    description="Runs on each entry host.",
)
@attrs.frozen(kw_only=True)
class EntrySettings(HostSettings):
    """Settings of ``hoistmoor-entry``.

    Attributes:
        peer_listen: ``ip:port`` for other entries.
        peer_advertise: ``ip:port`` at which others reach ``peer_listen``;
            empty if it is the same.
        operator_keys: SHA-256 in hexadecimal of each operator's key, separated
            by commas; empty allows everyone to read ``/status`` and
            ``/explain``.
        tls_certificate: PEM file of this host's certificate; empty for
            connections without TLS. Either all hosts use TLS or none.
        tls_key: PEM file of the certificate's key.
        tls_ca: PEM file of the authority that signed all hosts' certificates.
        claim_shards: Number of streams that claims are distributed over. Must
            be the same on every host, and must not change while idempotency
            keys are remembered.
        claim_window: Seconds for which a caller's idempotency key is
            remembered.
    """

    peer_listen: Annotated[
        str, environment.setting("peer_listen", "ip:port for other entries.")
    ]
    peer_advertise: Annotated[
        str,
        environment.setting(
            "peer_advertise", "ip:port that other entries connect to.", ""
        ),
    ] = ""
    operator_keys: Annotated[
        str,
        environment.setting(
            "operator_keys", "SHA-256 of operators' keys, or empty.", ""
        ),
    ] = ""
    tls_certificate: Annotated[
        str,
        environment.setting(
            "tls_certificate", "PEM file of the certificate, or empty.", ""
        ),
    ] = ""
    tls_key: Annotated[
        str,
        environment.setting(
            "tls_key", "PEM file of the certificate's key.", ""
        ),
    ] = ""
    tls_ca: Annotated[
        str, environment.setting("tls_ca", "PEM file of the authority.", "")
    ] = ""
    claim_shards: Annotated[
        int,
        environment.setting("claim_shards", "Number of streams for claims.", 1),
    ] = 1
    claim_window: Annotated[
        float,
        environment.setting(
            "claim_window", "Seconds to remember idempotency keys.", 1800.0
        ),
    ] = 1800.0

    @property
    def operator_hashes(self) -> tuple[str, ...]:
        """SHA-256 of each operator's key."""
        return tuple(filter(None, self.operator_keys.split(",")))


@cappa.command(
    name="hoistmoor-steward",
    help="Carries out rollouts.",
    description="Runs on each entry host.",
)
@attrs.frozen(kw_only=True)
class StewardSettings(HostSettings):
    """Settings of ``hoistmoor-steward``."""
