"""Converts between platform records and the product's types."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import orjson

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.platform import fields as fields_lib

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core.relay.beliefs import topics

_CONFIGURATION_KEY = "config"
_ROLLOUT_PREFIX = "rollout/"
_EVACUATION_PREFIX = "evacuate/"
_MS = 1000.0

_KINDS = {
    "idempotent": configuration.RouteKind.IDEMPOTENT,
    "non_idempotent": configuration.RouteKind.NON_IDEMPOTENT,
    "streaming": configuration.RouteKind.STREAM,
}

_STATES = {
    phases.Phase.TRIAL: "in_progress",
    phases.Phase.SPREAD: "in_progress",
    phases.Phase.COMPLETE: "complete",
    phases.Phase.REVERTED: "reverted",
}


class PlatformCodec:
    """Decodes operator and server records, and encodes rollout statuses."""

    def configuration(
        self, record: topics.Record
    ) -> configuration.Configuration | None:
        """Returns the configuration, or None for any other record."""
        if record.key != _CONFIGURATION_KEY:
            return None
        fields = _load(record)
        try:
            return _configuration(fields)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise _codec_error(record, error) from error

    def order(self, record: topics.Record) -> phases.Order | None:
        """Returns the rollout order, or None for any other record."""
        if not record.key.startswith(_ROLLOUT_PREFIX):
            return None
        fields = _load(record, fields_lib.ORDER)
        return phases.Order(
            service=fields["service"],
            target=fields["target"],  # A version, not a network address.
            duration=float(fields["duration_s"]),
            number=record.place.serial,
        )

    def evacuated_zone(self, record: topics.Record) -> str | None:
        """Returns the failure domain to evacuate, or None."""
        zone = record.key.removeprefix(_EVACUATION_PREFIX)
        return None if zone == record.key else zone

    def server(self, record: topics.Record) -> server_lib.ServerEntry:
        """Returns the registry entry of a backend server."""
        fields = _load(record, fields_lib.SERVER)
        if not fields_lib.is_text(record.key):
            # It becomes a header of requests to the server.
            raise _codec_error(
                record, fields_lib.FieldError("its key is not printable")
            )
        return server_lib.ServerEntry(
            server_id=record.key,
            service=fields["service"],
            address=fields["address"],
            zone=fields["zone"],
            version=fields["version"],
            slots=fields["slots"],
            is_leaving=fields["state"] == "draining",
            warm_in=fields["warmup_left_ms"] / _MS,
            models=tuple(model["name"] for model in fields.get("models") or ()),
            born=fields.get("born"),
            sequence=fields["sequence"],
        )

    def status(self, record: phases.PhaseRecord) -> tuple[str, bytes]:
        """Returns the key and value of a rollout status record."""
        fields = {
            "service": record.service,
            "state": _STATES[record.phase],
            "target": record.target,
        }
        return _ROLLOUT_PREFIX + record.service, orjson.dumps(fields)


def _load(
    record: topics.Record,
    schema: Mapping[str, fields_lib.Field] | None = None,
) -> dict[str, Any]:
    """Parses a record and validates its fields.

    Args:
        record: Record whose value is a JSON object.
        schema: Validators by field name; None to skip validation.

    Raises:
        CodecError: The value is not a JSON object, or a field is invalid.
    """
    try:
        fields = orjson.loads(record.value or b"")
        if not isinstance(fields, dict):
            raise fields_lib.FieldError("the record is not a JSON object")
        fields_lib.validate(fields, schema or {})
    except ValueError as error:  # JSONDecodeError or FieldError.
        raise _codec_error(record, error) from error
    return fields


def _codec_error(record: topics.Record, error: Exception) -> errors.CodecError:
    return errors.CodecError(
        f"record {record.place.text} of {record.key} is invalid: {error}",
        "Inspect the record in the store.",
    )


def _configuration(fields: dict[str, Any]) -> configuration.Configuration:
    return configuration.Configuration(
        revision=fields["version"],
        routes=tuple(_route(each) for each in fields["routes"]),
        services={each["name"]: _service(each) for each in fields["services"]},
        accounts=_accounts(fields),
        limits=_limits(fields.get("limits") or {}),
    )


def _route(fields: dict[str, Any]) -> configuration.Route:
    return configuration.Route(
        name=fields["name"],
        host=fields["host"].lower(),
        prefix=fields["path_prefix"],
        kind=_KINDS[fields["kind"]],
        timeout=fields["timeout_ms"] / _MS,
        target=fields["target_latency_ms"] / _MS,
        priority=fields.get("priority", 0),
        max_attempts=fields.get("max_attempts", 1),
        anonymous=fields.get("anonymous", False),
        resumable=fields.get("resumable", False),
        longest_pause=(fields.get("itl_target_ms") or 0) / _MS,
        sizes=tuple(fields.get("sizes") or ()),
        shares=_shares(fields),
    )


def _shares(fields: dict[str, Any]) -> tuple[configuration.ServiceShare, ...]:
    weighted = fields.get("weighted_services")
    if not weighted:
        return (configuration.ServiceShare(fields["service"], 1.0),)
    return tuple(
        configuration.ServiceShare(each["service"], float(each["weight"]))
        for each in weighted
    )


def _service(fields: dict[str, Any]) -> configuration.Service:
    engine = fields.get("engine")
    models = (engine or {}).get("models") or ()
    return configuration.Service(
        name=fields["name"],
        max_connections=fields.get("max_connections", 0),
        has_engine=bool(engine),
        model_costs={each["name"]: each["cost"] for each in models},
        warmup_duration=float(fields.get("warmup_s") or 0.0),
        warmup_rate=float(fields.get("warmup_per_s") or 0.0),
        memory_tokens=int((engine or {}).get("kv_capacity_tokens") or 0),
        health_path=fields.get("health_path") or "",
    )


def _accounts(
    fields: dict[str, Any],
) -> tuple[configuration.ClientAccount, ...] | None:
    """Returns the client accounts; None if the manifest has no such field."""
    if "tenants" not in fields:
        return None
    return tuple(_account(each) for each in fields["tenants"] or ())


def _account(fields: dict[str, Any]) -> configuration.ClientAccount:
    return configuration.ClientAccount(
        name=fields["name"],
        keys=frozenset(fields.get("api_keys") or ()),
        priority=fields.get("priority"),
    )


def _limits(fields: dict[str, Any]) -> configuration.Limits:
    default = configuration.Limits()
    return configuration.Limits(
        header_bytes=fields.get("max_header_bytes", default.header_bytes),
        body_bytes=fields.get("max_body_bytes", default.body_bytes),
        idle_timeout=fields.get("idle_timeout_ms", default.idle_timeout * _MS)
        / _MS,
    )
