"""Tests that ``docs/proofs.md`` names existing tests, paths and mutations."""

from __future__ import annotations

import ast
import pathlib
import re

from testtools import assertions
from testtools import matchers

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "proofs.md").read_text()
_TEST_REFERENCE = re.compile(r"`(\w+\.py)::(\w+)`")
_PATH_REFERENCE = re.compile(r"`(tests/[\w/]+(?:\.py)?)`")
_MUTATION_LIST = re.compile(r"\(`broken_entry`:\s([^)]*)\)")


def _function_names(path: pathlib.Path) -> set[str]:
    tree = ast.parse(path.read_text())
    return {
        node.name
        for node in ast.walk(tree)
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }


def test_named_tests_exist() -> None:
    files = {path.name: path for path in (ROOT / "tests").rglob("test_*.py")}
    missing = [
        (file, name)
        for file, name in _TEST_REFERENCE.findall(PAGE)
        if file not in files or name not in _function_names(files[file])
    ]
    assertions.assert_that(missing, matchers.Equals([]))


def test_named_paths_exist() -> None:
    missing = [
        p for p in _PATH_REFERENCE.findall(PAGE) if not (ROOT / p).exists()
    ]
    assertions.assert_that(missing, matchers.Equals([]))


def test_named_mutations_exist_and_all_are_named() -> None:
    source = (ROOT / "tests/system/broken_entry.py").read_text()
    table = source.partition("MUTATIONS = {")[2].partition("}")[0]
    known = set(re.findall(r'"(\w+)":', table))
    named = {
        name
        for group in _MUTATION_LIST.findall(PAGE)
        for name in re.findall(r"`(\w+)`", group)
    }
    assertions.assert_that(named, matchers.Equals(known))
