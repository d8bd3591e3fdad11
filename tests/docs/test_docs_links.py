"""Tests that relative links in the docs resolve to files."""

from __future__ import annotations

import pathlib
import re

import pytest
from testtools import assertions
from testtools import matchers

ROOT = pathlib.Path(__file__).parents[2]
_LINK_TARGET = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")], key=str)


@pytest.mark.parametrize(
    "page", PAGES, ids=[str(page.relative_to(ROOT)) for page in PAGES]
)
def test_links_resolve_to_files(page: pathlib.Path) -> None:
    targets = _LINK_TARGET.findall(page.read_text())
    missing = [path for path in targets if not (page.parent / path).exists()]
    assertions.assert_that(missing, matchers.Equals([]))
