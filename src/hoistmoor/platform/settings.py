"""Parses the platform's settings file into relay settings."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from hoistmoor.core import errors
from hoistmoor.core.relay.servers import rests
from hoistmoor.core.relay.versions import exposure
from hoistmoor.platform import store as store_lib
from hoistmoor.relay import settings as relay_settings

_MS = 1000.0
_MB = 1_000_000  # Bytes.


@attrs.frozen
class PlatformSettings:
    """Contents of the settings file.

    Attributes:
        relay: Settings of the relay.
        store: ``ip:port`` of the platform's store.
        store_limits: Sizes that the store accepts.
    """

    relay: relay_settings.RelaySettings
    store: str
    store_limits: store_lib.StoreLimits = store_lib.DEFAULT_LIMITS


def read(data: bytes) -> PlatformSettings:
    """Parses the contents of a settings file.

    Raises:
        ConfigurationError: A field is missing or has the wrong type.
    """
    try:
        return _decode(orjson.loads(data))
    except (KeyError, TypeError, ValueError) as error:
        raise errors.ConfigurationError(
            f"invalid settings file: {error!r}",
            "Compare it with deploy/settings.json.",
        ) from error


def _decode(fields: dict[str, Any]) -> PlatformSettings:
    bounds = fields["bounds"]
    contracts = frozenset(fields.get("invariants") or ())
    first_port, _ = fields["internal_port_range"]
    relay = relay_settings.RelaySettings(
        host=fields["node_name"],
        zone=fields["zone"],
        listen=fields["listen"]["frontend"],
        ready_listen=fields["listen"]["ready"],
        metrics_listen=f"{fields['ip']}:{first_port}",
        peer_listen=f"{fields['ip']}:{first_port + 1}",
        revocation=bounds["revoke_ms"] / _MS,
        is_revocation_strict=bounds.get("strict_revocation", True),
        stop_timeout=bounds["grace_s"],
        repeat_ratio=bounds["retry_budget_ratio"],
        repeat_slack=bounds.get("budget_slack"),
        repeat_window=bounds["retry_window_s"],
        session_life=bounds["session_s"],
        exposure_share=bounds.get("canary_share", exposure.DEFAULT_SHARE),
        exposure_tolerance=bounds.get("canary_tolerance", 0.0),
        warmup_factor=bounds.get("warmup_overshoot", 1.0),
        warmup_spare=bounds.get("warmup_tolerance", 0.0),
        longest_rest=float(
            fields.get("longest_rest_s", rests.MAX_REST_SECONDS)
        ),
        link=fields.get("limits", {}).get("link_mbps") or 0.0,
        memory=int(fields.get("limits", {}).get("memory_mb") or 0) * _MB,
        shares_by_account="tenants" in contracts,
        has_slow_peers="pressure" in contracts,
        is_first_start=fields.get("bootstrap", False),
    )
    platform = fields["platform"]
    limits = store_lib.StoreLimits(
        int(platform.get("record_bytes") or store_lib.MAX_RECORD_BYTES),
        int(platform.get("request_bytes") or store_lib.MAX_REQUEST_BYTES),
    )
    return PlatformSettings(relay, platform["address"], limits)
