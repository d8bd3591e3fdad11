"""Log lines: the prefix, the JSON format and redacted keys."""

from __future__ import annotations

import io
import logging
from typing import TYPE_CHECKING

from absl import logging as absl_logging
import orjson
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.config import settings as settings_lib
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    """Captures the output of the absl handler during a test."""
    root = logging.getLogger()
    root_handlers = list(root.handlers)
    handler = absl_logging.get_absl_handler()
    original_stream = handler.python_handler.stream
    buffer = io.StringIO()
    handler.python_handler.stream = buffer
    yield buffer
    handler.python_handler.stream = original_stream
    handler.setFormatter(absl_logging.PythonFormatter())
    root.handlers[:] = root_handlers


@pytest.mark.parametrize("log_format", list(settings_lib.LogFormat))
def test_lines_contain_the_part_and_no_key(
    stream: io.StringIO, log_format: settings_lib.LogFormat
) -> None:
    logs.configure(settings_lib.CommonSettings(log_format=log_format))
    logs.PartLogger("entry").warning("refused %s", "Bearer taemsuk-key")
    text = stream.getvalue()
    assertions.assert_that(text, matchers.Contains("entry"))
    assertions.assert_that(text, matchers.Contains("[hidden]"))
    assertions.assert_that(text, matchers.Not(matchers.Contains("taemsuk-key")))


def test_json_lines_contain_part_level_and_error(stream: io.StringIO) -> None:
    logs.configure(
        settings_lib.CommonSettings(log_format=settings_lib.LogFormat.JSON)
    )
    try:
        raise ValueError("wrong")
    except ValueError:
        logs.PartLogger("table").exception("record %d skipped", 7)
    line = orjson.loads(stream.getvalue())
    assertions.assert_that(line["part"], matchers.Equals("table"))
    assertions.assert_that(line["level"], matchers.Equals("error"))
    assertions.assert_that(line["message"], matchers.Equals("record 7 skipped"))
    assertions.assert_that(line["error"], matchers.Contains("ValueError"))
