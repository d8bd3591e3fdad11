"""Conversion between platform records and the product's types."""

from __future__ import annotations

import contextlib

import attrs
import hypothesis
from hypothesis import strategies
import orjson
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.versions import phases
from hoistmoor.platform import codec as codec_lib
from hoistmoor.platform import names
from hoistmoor.platform import settings
from hoistmoor.relay.front import header_values
from hoistmoor.relay.front import server_reports

ROUTE = {
    "name": "r-1",
    "host": "Shop.Example",
    "path_prefix": "/chat/",
    "kind": "streaming",
    "timeout_ms": 20000,
    "target_latency_ms": 1500,
    "priority": 2,
    "sizes": ["m0", "m1"],
    "weighted_services": [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ],
    "max_attempts": 3,
    "anonymous": False,
    "resumable": True,
    "itl_target_ms": 1200,
}
UNWEIGHTED_ROUTE = {
    "name": "r-2",
    "host": "shop.example",
    "path_prefix": "/confirm/",
    "kind": "non_idempotent",
    "timeout_ms": 800,
    "target_latency_ms": 100,
    "service": "b",
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE, UNWEIGHTED_ROUTE],
    "services": [
        {
            "name": "a",
            "max_connections": 370,
            "engine": {"models": [{"name": "m0", "cost": 0.02}]},
        },
        {"name": "b", "max_connections": 110},
    ],
    "limits": {"max_body_bytes": 100, "idle_timeout_ms": 15000},
    "tenants": [{"name": "farm", "api_keys": ["k1", "k2"], "priority": 1}],
}
SERVER = {
    "service": "a",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1_764_000_000_123,
    "models": [{"name": "m0", "version": 1}],
}
CODEC = codec_lib.PlatformCodec()


def record(key: str, fields: object, offset: int = 3) -> topics.Record:
    return topics.Record(
        key, orjson.dumps(fields), relay_parts.make_place(offset)
    )


def test_decodes_a_complete_configuration() -> None:
    found = CODEC.configuration(record("config", CONFIG))
    assert found is not None
    assertions.assert_that(found.revision, matchers.Equals(7))
    chat = found.find_route("shop.example", "/chat/x")
    assert chat is not None
    assertions.assert_that(
        chat.kind, matchers.Equals(configuration.RouteKind.STREAM)
    )
    assertions.assert_that(chat.timeout, matchers.Equals(20.0))
    assertions.assert_that(chat.longest_pause, matchers.Equals(1.2))
    assertions.assert_that(
        [share.service for share in chat.shares], matchers.Equals(["a", "b"])
    )
    confirm = found.find_route("shop.example", "/confirm/x")
    assert confirm is not None
    assertions.assert_that(confirm.may_run_again, matchers.Is(False))
    assertions.assert_that(confirm.max_attempts, matchers.Equals(1))
    assertions.assert_that(found.services["a"].has_engine, matchers.Is(True))
    assertions.assert_that(found.limits.body_bytes, matchers.Equals(100))
    account = found.find_account("k2")
    assert account is not None
    assertions.assert_that(account.name, matchers.Equals("farm"))


@pytest.mark.parametrize("tenants", [[], None])
def test_accounts_that_are_named_but_empty_make_no_key_valid(
    tenants: list[object] | None,
) -> None:
    found = CODEC.configuration(
        record("config", {**CONFIG, "tenants": tenants})
    )
    assert found is not None
    assertions.assert_that(found.accounts, matchers.Equals(()))


def test_a_manifest_without_accounts_asks_for_no_key() -> None:
    fields = {name: CONFIG[name] for name in CONFIG if name != "tenants"}
    found = CODEC.configuration(record("config", fields))
    assert found is not None
    assertions.assert_that(found.accounts, matchers.Is(None))


@pytest.mark.parametrize("path", ["/healthz", None])
def test_decodes_the_health_path_of_a_service(path: str | None) -> None:
    service = {"name": "a", "max_connections": 9, "health_path": path}
    found = CODEC.configuration(
        record("config", {**CONFIG, "services": [service]})
    )
    assert found is not None
    assertions.assert_that(
        found.services["a"].health_path, matchers.Equals(path or "")
    )


def test_records_with_other_keys_are_not_decoded() -> None:
    assertions.assert_that(
        CODEC.configuration(record("rollout/a", {})), matchers.Is(None)
    )
    assertions.assert_that(CODEC.order(record("config", {})), matchers.Is(None))


def test_order_number_is_the_record_offset() -> None:
    fields = {"service": "a", "target": "v2", "duration_s": 12}
    found = CODEC.order(record("rollout/a", fields, offset=9))
    assertions.assert_that(
        found, matchers.Equals(phases.Order("a", "v2", 12.0, 9))
    )


@pytest.mark.parametrize(
    ("state", "leaving"), [("ready", False), ("draining", True)]
)
def test_decodes_a_server_entry(state: str, leaving: bool) -> None:
    fields = {**SERVER, "state": state, "warmup_left_ms": 500}
    found = CODEC.server(record("i-1", fields))
    assertions.assert_that(found.server_id, matchers.Equals("i-1"))
    assertions.assert_that(found.is_leaving, matchers.Is(leaving))
    assertions.assert_that(found.warm_in, matchers.Equals(0.5))
    assertions.assert_that(found.models, matchers.Equals(("m0",)))
    assertions.assert_that(found.born, matchers.Equals(1_764_000_000_123))
    assertions.assert_that(found.sequence, matchers.Equals(4))


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"service":"a"}'])
def test_malformed_server_entry_raises_codec_error(value: bytes) -> None:
    with pytest.raises(errors.CodecError):
        CODEC.server(topics.Record("i-1", value, relay_parts.make_place(0)))


INVALID_FIELDS = (
    [("slots", value) for value in ("16", None, 0, -1, 1.5, True, 1e12, [16])]
    + [("version", value) for value in (["v1"], None, 3, "", "v\x00")]
    + [("service", value) for value in (["a"], None, {}, "")]
    + [("zone", value) for value in (7, None, "")]
    + [
        ("address", value)
        for value in (
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:8x",
            "shop.example:80",
            "10.0.0.256:80",
            ["10.0.0.1:80"],
            80,
        )
    ]
    + [("state", value) for value in ("up", "READY", None, ["ready"], True)]
    + [("warmup_left_ms", value) for value in ("5", None, -1, True, [])]
    + [("sequence", value) for value in ("4", None, -1, 4.5, True)]
    + [("born", value) for value in ("1", None, -1, 1.0, True, [])]
    + [("models", value) for value in ("m0", ["m0"], [{}], [{"name": 1}])]
)


@pytest.mark.parametrize(("name", "value"), INVALID_FIELDS)
def test_server_entry_with_an_invalid_field_raises_codec_error(
    name: str, value: object
) -> None:
    with pytest.raises(errors.CodecError, match=name):
        CODEC.server(record("i-1", {**SERVER, name: value}))


OPTIONAL = {"born", "models"}


@pytest.mark.parametrize("name", sorted(SERVER.keys() - OPTIONAL))
def test_server_entry_with_a_missing_field_raises_codec_error(
    name: str,
) -> None:
    fields = {key: value for key, value in SERVER.items() if key != name}
    with pytest.raises(errors.CodecError, match=name):
        CODEC.server(record("i-1", fields))


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**12), 10**12)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=6,
)


@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis.given(strategies.sampled_from(sorted(SERVER)), VALUES)
def test_a_mutated_entry_is_read_as_written_or_not_at_all(
    name: str, value: object
) -> None:
    try:
        found = CODEC.server(record("i-1", {**SERVER, name: value}))
    except errors.CodecError:
        return
    # An accepted entry has the types that server selection relies on.
    hash(found)
    kinds = (found.version, found.zone, found.service, found.address)
    assertions.assert_that(
        {type(each) for each in kinds}, matchers.Equals({str})
    )
    assertions.assert_that(type(found.slots), matchers.Is(int))
    assertions.assert_that(found.slots, matchers.GreaterThan(0))


@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis.given(strategies.binary(max_size=40), strategies.integers(0, 300))
def test_torn_bytes_are_the_typed_error_or_the_entry(
    noise: bytes, cut: int
) -> None:
    whole = orjson.dumps(SERVER)
    for data in (noise, whole[:cut], whole[:cut] + noise + whole[cut:]):
        for decode in (CODEC.server, CODEC.order, CODEC.configuration):
            for key in ("i-1", "config", "rollout/a"):
                with contextlib.suppress(errors.CodecError):
                    decode(topics.Record(key, data, relay_parts.make_place(0)))


@pytest.mark.parametrize(
    "change",
    [{"service": 3}, {"target": ["v2"]}, {"target": ""}, {"duration_s": "12"}],
)
def test_order_with_an_invalid_field_raises_codec_error(
    change: dict[str, object],
) -> None:
    fields = {"service": "a", "target": "v2", "duration_s": 12, **change}
    with pytest.raises(errors.CodecError):
        CODEC.order(record("rollout/a", fields))


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (phases.Phase.TRIAL, "in_progress"),
        (phases.Phase.SPREAD, "in_progress"),
        (phases.Phase.COMPLETE, "complete"),
        (phases.Phase.REVERTED, "reverted"),
    ],
)
def test_encodes_a_rollout_status(phase: phases.Phase, state: str) -> None:
    key, value = CODEC.status(phases.PhaseRecord("a", "v2", 9, phase))
    assertions.assert_that(key, matchers.Equals("rollout/a"))
    fields = orjson.loads(value)
    assertions.assert_that(fields["state"], matchers.Equals(state))
    assertions.assert_that(fields["target"], matchers.Equals("v2"))


def test_settings_are_converted_to_relay_units() -> None:
    fields = {
        "node_name": "edge-1",
        "zone": "bangna",
        "ip": "10.1.0.40",
        "listen": {"frontend": "10.1.0.40:1", "ready": "10.1.0.40:2"},
        "internal_port_range": [7340, 7355],
        "bounds": {
            "revoke_ms": 5000,
            "grace_s": 8,
            "retry_budget_ratio": 0.9,
            "retry_window_s": 10,
            "session_s": 5,
            "canary_share": 0.2,
            "canary_tolerance": 12,
        },
        "platform": {"address": "10.200.1.7:8223"},
        "of_the_future": 1,
    }
    found = settings.read(orjson.dumps(fields))
    assertions.assert_that(found.store, matchers.Equals("10.200.1.7:8223"))
    assertions.assert_that(found.relay.revocation, matchers.Equals(5.0))
    assertions.assert_that(
        found.relay.metrics_listen, matchers.Equals("10.1.0.40:7340")
    )
    assertions.assert_that(
        (found.relay.exposure_share, found.relay.exposure_tolerance),
        matchers.Equals((0.2, 12)),
    )
    del fields["zone"]
    with pytest.raises(errors.ConfigurationError):
        settings.read(orjson.dumps(fields))


def test_protected_headers_are_stripped_from_requests() -> None:
    for name in ("authorization", "hoistmoor-tenant", "kv-from"):
        assertions.assert_that(
            name in names.HEADERS.removed_from_requests, matchers.Is(True)
        )


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,0,8", (3, 0, 8, None)),
        ("3,0,8,250", (3, 0, 8, 2.5)),
        ("3, 0, 8, 60", (3, 0, 8, 0.6)),
        ("3,0,8,0", (3, 0, 8, None)),
        ("", None),
        ("1,2", None),
        ("a,b,c", None),
        ("3,0,8,", None),
        ("3,0,8,-5", None),
        ("3,0,8,9,9", None),
    ],
)
def test_load_reports_are_parsed_and_malformed_ones_ignored(
    text: str, expected: tuple[int, int, int, float | None] | None
) -> None:
    found = server_reports.parse_load(text)
    read = attrs.astuple(found) if found else None
    assertions.assert_that(read, matchers.Equals(expected))


def test_prompt_headers_are_parsed() -> None:
    found = header_values.parse_prompt("*", "1460,80", "5c:800,91:410,e4:250")
    assert found is not None
    assertions.assert_that(found.subject, matchers.Equals("91"))
    assertions.assert_that(found.shared_tokens, matchers.Equals(1210))
    bad = header_values.parse_prompt("*", "x", "no parts")
    assert bad is not None
    assertions.assert_that(bad.parts, matchers.Equals(()))
    request = relay_parts.make_request(relay_parts.CHAT)
    assertions.assert_that(
        request.work("large"), matchers.Equals(10 * request.work("small"))
    )


@pytest.mark.parametrize("key", ["", "i-1\r\nX-Own: 1", "i\x00", "\\xff\n"])
def test_server_entry_whose_key_is_no_header_value_is_refused(
    key: str,
) -> None:
    with pytest.raises(errors.CodecError):
        CODEC.server(record(key, SERVER))
