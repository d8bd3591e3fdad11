"""Tests call signatures: rejection, clock skew, secret rotation, replays."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.security import calls
from hoistmoor.core.security import replays

OLD, NEW = "an-old-secret-of-a-length", "a-new-secret-of-a-length"
CALLEE = "10.0.0.2:7001"
METHOD = "/hoistmoor.Peer/HoldBills"
NOW = 1_800_000_000.0
BODY = b"bills"


def _signer(*secrets: str) -> calls.Signer:
    return calls.Signer("entry-1", 5, secrets or (OLD,))


def _verifier(*secrets: str, started: float = NOW - 60) -> calls.Verifier:
    return calls.Verifier(CALLEE, secrets or (OLD,), started)


def _why(
    verdict: calls.AuthenticatedCall | calls.RejectedCall,
) -> calls.RejectionReason | None:
    return verdict.reason if isinstance(verdict, calls.RejectedCall) else None


def test_call_and_reply_are_accepted_once() -> None:
    signer, verifier = _signer(), _verifier()
    signed = signer.sign(METHOD, CALLEE, BODY, NOW)
    call = verifier.verify(METHOD, signed.header, NOW + 1)
    assert isinstance(call, calls.AuthenticatedCall)
    assert call.matches_body(BODY)
    assert not call.matches_body(BODY + b"x")
    header = call.sign_reply(b"reply")
    assert signer.verify_reply(signed, header, b"reply")
    assert not signer.verify_reply(signed, header, b"other")
    assert not signer.verify_reply(signed, None, b"reply")
    other = signer.sign(METHOD, CALLEE, BODY, NOW)
    assert not signer.verify_reply(other, header, b"reply")
    again = verifier.verify(METHOD, signed.header, NOW + 1)
    assertions.assert_that(
        _why(again), matchers.Equals(calls.RejectionReason.REPLAYED)
    )


@pytest.mark.parametrize(
    ("secret", "callee", "method", "reason"),
    [
        (NEW, CALLEE, METHOD, calls.RejectionReason.WRONG_SIGNATURE),
        (OLD, "10.0.0.3:7001", METHOD, calls.RejectionReason.MISDIRECTED),
        (
            OLD,
            CALLEE,
            "/hoistmoor.Peer/Ping",
            calls.RejectionReason.WRONG_SIGNATURE,
        ),
    ],
)
def test_call_with_other_secret_callee_or_method_is_rejected(
    secret: str, callee: str, method: str, reason: calls.RejectionReason
) -> None:
    signed = _signer(secret).sign(method, callee, BODY, NOW)
    verdict = _verifier().verify(METHOD, signed.header, NOW)
    assertions.assert_that(_why(verdict), matchers.Equals(reason))


@given(strategies.data())
@settings(derandomize=True, deadline=None, max_examples=300)
def test_altered_header_is_rejected(data: strategies.DataObject) -> None:
    header = _signer().sign(METHOD, CALLEE, BODY, NOW).header
    position = data.draw(strategies.integers(0, len(header) - 1))
    character = data.draw(strategies.characters(max_codepoint=0x2FF))
    changed = header[:position] + character + header[position + 1 :]
    verdict = _verifier().verify(METHOD, changed, NOW)
    # The signature's hexadecimal digits may be in upper case.
    is_same = changed.lower() == header.lower()
    assert isinstance(verdict, calls.RejectedCall) != is_same


@pytest.mark.parametrize("header", ["", None, "x", "a b c d e f g", "é" * 900])
def test_malformed_header_is_rejected(header: str | None) -> None:
    assert isinstance(
        _verifier().verify(METHOD, header, NOW), calls.RejectedCall
    )


@pytest.mark.parametrize("skew", [-3600.0, -10.5, 10.5, 86_400.0])
def test_skewed_call_is_accepted_after_time_correction(skew: float) -> None:
    signer, verifier = _signer(), _verifier()
    signed = signer.sign(METHOD, CALLEE, BODY, NOW + skew)
    refused = verifier.verify(METHOD, signed.header, NOW)
    assert isinstance(refused, calls.RejectedCall)
    assertions.assert_that(
        refused.reason, matchers.Equals(calls.RejectionReason.SKEWED)
    )
    time = signer.read_time(signed, refused.time_header)
    assertions.assert_that(time, matchers.Equals(NOW))
    again = signer.sign(METHOD, CALLEE, BODY, NOW)
    assert isinstance(
        verifier.verify(METHOD, again.header, NOW), calls.AuthenticatedCall
    )
    # The time is bound to one call and can't be forged without the secret.
    assert signer.read_time(again, refused.time_header) is None
    forged = f"{int(NOW * 1000)} {'0' * 32}"
    assert signer.read_time(signed, forged) is None


@pytest.mark.parametrize("skew", [-9.9, 9.9])
def test_call_within_tolerance_is_accepted(skew: float) -> None:
    signed = _signer().sign(METHOD, CALLEE, BODY, NOW + skew)
    verdict = _verifier().verify(METHOD, signed.header, NOW)
    assert isinstance(verdict, calls.AuthenticatedCall)


def test_call_sent_before_callee_start_is_rejected() -> None:
    signed = _signer().sign(METHOD, CALLEE, BODY, NOW)
    successor = _verifier(started=NOW + 1)
    verdict = successor.verify(METHOD, signed.header, NOW + 2)
    assertions.assert_that(
        _why(verdict), matchers.Equals(calls.RejectionReason.SKEWED)
    )


def test_consecutive_rotation_steps_interoperate() -> None:
    steps = [(OLD,), (OLD, NEW), (NEW, OLD), (NEW,)]
    for before, after in itertools.pairwise(steps):
        for caller, callee in ((before, after), (after, before)):
            signer = _signer(*caller)
            signed = signer.sign(METHOD, CALLEE, BODY, NOW)
            call = _verifier(*callee).verify(METHOD, signed.header, NOW)
            assert isinstance(call, calls.AuthenticatedCall), (caller, callee)
            assert signer.verify_reply(signed, call.sign_reply(b"r"), b"r")
    # Skips the intermediate steps of the rotation.
    signed = _signer(OLD).sign(METHOD, CALLEE, BODY, NOW)
    verdict = _verifier(NEW).verify(METHOD, signed.header, NOW)
    assertions.assert_that(
        _why(verdict), matchers.Equals(calls.RejectionReason.WRONG_SIGNATURE)
    )


def test_repr_contains_no_secrets() -> None:
    signed = _signer().sign(METHOD, CALLEE, BODY, NOW)
    call = _verifier().verify(METHOD, signed.header, NOW)
    assert isinstance(call, calls.AuthenticatedCall)
    for text in (repr(call), repr(signed)):
        assert OLD not in text
        assert repr(call.key) not in text


@given(strategies.lists(strategies.integers(-9_000, 9_000), max_size=200))
@settings(derandomize=True, deadline=None)
def test_serial_is_accepted_once(serials: list[int]) -> None:
    windows = replays.ReplayWindows(30.0)
    seen: set[int] = set()
    highest = 0
    for serial in serials:
        is_new = windows.record("a.1", serial, NOW)
        highest = max(highest, serial)
        in_window = highest - serial < replays.WINDOW_SIZE
        expected = serial not in seen and in_window
        # Serials below 1 are never sent, so they may be rejected.
        if serial > 0:
            assertions.assert_that(is_new, matchers.Equals(expected))
            seen.add(serial)


def test_inactive_callers_are_removed() -> None:
    windows = replays.ReplayWindows(30.0)
    for number in range(100):
        windows.record(f"a.{number}", 1, NOW + number)
    assertions.assert_that(len(windows), matchers.LessThan(40))
    assert not windows.record("a.99", 1, NOW + 99)
