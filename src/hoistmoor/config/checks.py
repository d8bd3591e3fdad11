"""Validates settings; each fault names its flag and how to correct it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib import parse as url_parse

import attrs

from hoistmoor.config import environment
from hoistmoor.config import settings as settings_lib
from hoistmoor.core import errors
from hoistmoor.core.security import operators
from hoistmoor.utils import addresses

_SECRET_MIN_LENGTH = 16
_URL_SCHEMES = ("http", "https")
_Check = Callable[[Any], None]


def _check_name(value: str | None) -> None:
    if not value:
        raise errors.ConfigurationError("no value", "Give a name.")
    if not value.replace("-", "").replace("_", "").isalnum():
        raise errors.ConfigurationError(
            f"{value!r} is not a valid name",
            "Use only letters, digits, - and _.",
        )


def _check_address(value: str | None) -> None:
    if not value:
        raise errors.ConfigurationError("no value", "Give ip:port.")
    addresses.parse(value)


def _check_optional_address(value: str) -> None:
    if value:
        addresses.parse(value)


def _check_url(value: str | None) -> None:
    parts = url_parse.urlsplit(value or "")
    if parts.scheme not in _URL_SCHEMES or not parts.netloc:
        raise errors.ConfigurationError(
            f"{value or ''!r} is not a valid URL",
            "Give a URL such as http://ip:port.",
        )


def _check_optional_url(value: str) -> None:
    if value:
        _check_url(value)


def _check_positive(value: float) -> None:
    if not value > 0:
        raise errors.ConfigurationError(
            f"{value} is not greater than 0", "Give a number greater than 0."
        )


def _check_secret(value: str) -> None:
    if any(len(key) < _SECRET_MIN_LENGTH for key in value.split(",")):
        raise errors.ConfigurationError(
            f"a key is shorter than {_SECRET_MIN_LENGTH} characters",
            "Set the same value on every host; separate an old key from a new "
            "one by a comma.",
        )


def _check_operator_keys(value: str) -> None:
    for item in filter(None, value.split(",")):
        if not operators.is_key_hash(item):
            raise errors.ConfigurationError(
                "an item is not a SHA-256 hash in hexadecimal",
                "Give hashes rather than keys, separated by commas; see "
                "docs/operators/keys.md.",
            )


_CHECKS: dict[str, _Check] = {
    "host": _check_name,
    "failure_domain": _check_name,
    "region": _check_name,
    "listen": _check_address,
    "peer_listen": _check_address,
    "advertise": _check_optional_address,
    "peer_advertise": _check_optional_address,
    "statsd": _check_optional_address,
    "log_url": _check_url,
    "hosts_url": _check_optional_url,
    "ratings_url": _check_optional_url,
    "weights_url": _check_optional_url,
    "stop_timeout": _check_positive,
    "claim_shards": _check_positive,
    "claim_window": _check_positive,
    "secret": _check_secret,
    "operator_keys": _check_operator_keys,
}

_TLS_FIELDS = ("tls_certificate", "tls_key", "tls_ca")

# Others cannot connect to a wildcard address, so it needs an advertised one.
_ADVERTISED_FIELDS = {"listen": "advertise", "peer_listen": "peer_advertise"}


def find_faults(settings: settings_lib.CommonSettings) -> tuple[str, ...]:
    """Returns a description of every fault."""
    values = attrs.asdict(settings, recurse=False)
    faults = []
    for field, value in values.items():
        try:
            _CHECKS.get(field, lambda _: None)(value)
        except errors.ConfigurationError as error:
            faults.append(f"{_describe_field(field)}: {error}")
    return (
        *faults,
        *_find_missing_advertised(values),
        *_find_missing_tls(values),
    )


def _find_missing_advertised(values: dict[str, Any]) -> tuple[str, ...]:
    return tuple(
        f"{_describe_field(advertised)}: no value, and "
        f"{environment.flag_of(field)} is a wildcard. Give the ip:port that "
        "others connect to."
        for field, advertised in _ADVERTISED_FIELDS.items()
        if not values.get(advertised) and _is_wildcard(values.get(field))
    )


def _find_missing_tls(values: dict[str, Any]) -> tuple[str, ...]:
    if not any(values.get(field) for field in _TLS_FIELDS):
        return ()
    return tuple(
        f"{_describe_field(field)}: no value, and TLS needs all three files. "
        "Set all of them or none."
        for field in _TLS_FIELDS
        if not values.get(field)
    )


def _is_wildcard(value: str | None) -> bool:
    try:
        return addresses.parse(value or "").is_wildcard
    except errors.ConfigurationError:
        return False


def _describe_field(field: str) -> str:
    if field == "secret":
        return environment.SECRET_VARIABLE
    flag = environment.flag_of(field)
    return f"{flag} ({environment.variable_of(field)})"


def check(settings: settings_lib.CommonSettings) -> None:
    """Raises a single error that names every fault.

    Raises:
        ConfigurationError: At least one setting is invalid.
    """
    faults = find_faults(settings)
    if faults:
        raise errors.ConfigurationError(
            "invalid settings:\n  "
            + "\n  ".join(faults)
            + "\nThe program was not started",
            "Correct them and start it again; --help lists all settings.",
        )
