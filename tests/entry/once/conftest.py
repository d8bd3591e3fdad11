"""Fixtures for the tests of claims, tickets and bills."""

from __future__ import annotations

import once_fake_log
import pytest


@pytest.fixture
def log() -> once_fake_log.FakeLog:
    return once_fake_log.FakeLog()
