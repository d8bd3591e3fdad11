"""Checks of settings as a whole; each fault names its flag and remedy."""

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
            f"{value!r} is not a name", "Use letters, digits, - and _ only."
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
            f"{value or ''!r} is not a URL", "Write http://ip:port."
        )


def _check_optional_url(value: str) -> None:
    if value:
        _check_url(value)


def _check_positive(value: float) -> None:
    if not value > 0:
        raise errors.ConfigurationError(
            f"{value} is not above 0", "Give a number of seconds above 0."
        )


def _check_secret(value: str) -> None:
    if any(len(key) < _SECRET_MIN_LENGTH for key in value.split(",")):
        raise errors.ConfigurationError(
            f"a key is shorter than {_SECRET_MIN_LENGTH} characters",
            "Set it alike at every host; commas part an old key from a new.",
        )


def _check_operator_keys(value: str) -> None:
    for part in filter(None, value.split(",")):
        if not operators.is_key_hash(part):
            raise errors.ConfigurationError(
                "a part is not a SHA-256 in hex",
                "Give hashes, not keys, parted by commas; see "
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

# A wildcard to listen on says nothing about where others find the host.
_ADVERTISED = {"listen": "advertise", "peer_listen": "peer_advertise"}


def find_faults(settings: settings_lib.CommonSettings) -> tuple[str, ...]:
    """Returns a sentence for each fault, all at once."""
    values = attrs.asdict(settings, recurse=False)
    faults = []
    for field, value in values.items():
        try:
            _CHECKS.get(field, lambda _: None)(value)
        except errors.ConfigurationError as error:
            faults.append(f"{_spell(field)}: {error}")
    return (*faults, *_find_wildcards(values), *_find_missing_tls(values))


def _find_wildcards(values: dict[str, Any]) -> tuple[str, ...]:
    return tuple(
        f"{_spell(advertised)}: no value, and {environment.flag_of(field)} "
        "is a wildcard. Give the ip:port that others use."
        for field, advertised in _ADVERTISED.items()
        if not values.get(advertised) and _is_wildcard(values.get(field))
    )


def _find_missing_tls(values: dict[str, Any]) -> tuple[str, ...]:
    if not any(values.get(field) for field in _TLS_FIELDS):
        return ()
    return tuple(
        f"{_spell(field)}: no value, and TLS needs all three files. "
        "Give it, or none of them."
        for field in _TLS_FIELDS
        if not values.get(field)
    )


def _is_wildcard(value: str | None) -> bool:
    try:
        return addresses.parse(value or "").is_wildcard
    except errors.ConfigurationError:
        return False


def _spell(field: str) -> str:
    if field == "secret":
        return environment.SECRET_VARIABLE
    flag = environment.flag_of(field)
    return f"{flag} ({environment.variable_of(field)})"


def check(settings: settings_lib.CommonSettings) -> None:
    """Raises one error that names every fault.

    Raises:
        ConfigurationError: At least one setting is wrong.
    """
    faults = find_faults(settings)
    if faults:
        raise errors.ConfigurationError(
            "wrong settings:\n  " + "\n  ".join(faults) + "\nNothing started",
            "Correct them and start again; --help lists all.",
        )
