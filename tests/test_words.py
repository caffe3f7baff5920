"""The platform's words, names and formats stay in one folder."""

import ast
import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "lagoonlatch"
FOLDERS = ("entry", "steering")
WORDS = (
    "affinity-key|api_keys|cold_left|cold-ms|cold_per_s|cold_start_s|deadline-ms|"
    "expect-instance|goal_s|instance-id|kv-|max_conns|not-run|op/|path_prefix=|"
    "rate_per_s|readyz|request-id|resolve\\?|resource_kind|server-load|server-stamp|"
    "servers/|store_revision|timeout_s|tenant|ttl_s|\\bnode\\b|\\bzone\\b|\\bedge\\b|"
    "back end|tombstone"
)
ALLOWED = re.compile(r"cold_left\b|store_revision")
"""Field names of this project's own types and metrics."""

FILES = sorted(
    path
    for folder in FOLDERS
    for path in (PACKAGE / folder).rglob("*.py")
    if "generated" not in path.parts
)


@pytest.mark.parametrize("path", FILES, ids=lambda p: str(p.relative_to(PACKAGE)))
def test_no_word_of_the_platform_outside_its_folder(path):
    found = {
        word
        for word in re.findall(WORDS, path.read_text(), re.IGNORECASE)
        if not ALLOWED.fullmatch(word)
    }
    assert found == set()


def test_decisions_import_no_network():
    for path in (PACKAGE / "steering").glob("*.py"):
        names = {
            alias.name if isinstance(node, ast.Import) else node.module or ""
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Import | ast.ImportFrom)
            for alias in node.names
        }
        assert not {n for n in names if n.startswith(("gevent", "socket", "h11"))}
        assert not {n for n in names if n.startswith("lagoonlatch.platform")}
        assert not {n for n in names if n.startswith("lagoonlatch.entry")}
