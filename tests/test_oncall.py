"""ONCALL.md has every line that the edge and the control node log from level info on, and no other."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("coordination", "controlplane", "nodes", "rpc", "discovery", "dataplane", "domain", "cli/system")
LEVELS = {
    "info": "info",
    "warning": "warning",
    "error": "error",
    "exception": "error",
    "critical": "critical",
}
NOT_FIELDS = {"exc_info"}
ROW = re.compile(r"^\| (\w+) \| `([\w.]+)` \| `([^`]+)` \| ([^|]*) \| ([^|]+) \| ([^|]+) \|$", re.M)
BY_HAND = {("warning", "granitewell.logs", "lines were left out", ("left_out",))}  # written by logs.py itself


class Line(NamedTuple):
    """A log line: level, logger, message, and the names of its fields in order."""

    level: str
    logger: str
    message: str
    fields: tuple[str, ...]


def logger_of(tree: ast.Module) -> str:
    """The name of the logger that a module creates."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and ast.unparse(node.func).endswith("Logger"):
            return str(ast.literal_eval(node.args[0]))
    return ""


def logged(source: str) -> Iterator[Line]:
    """The lines that a module logs; a message that is not constant fails the test."""
    tree = ast.parse(source)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr in LEVELS and ast.unparse(node.func.value) in ("log", "_log"):
            (message,) = node.args
            assert isinstance(message, ast.Constant) and "{" not in message.value, ast.unparse(node)
            fields = tuple(str(keyword.arg) for keyword in node.keywords if keyword.arg not in NOT_FIELDS)
            yield Line(LEVELS[node.func.attr], logger_of(tree), message.value, fields)


def documented() -> list[Line]:
    """The rows of the table."""
    found = []
    for level, logger, message, fields, meaning, advice in ROW.findall((ROOT / "ONCALL.md").read_text()):
        assert meaning.strip() and advice.strip()
        found.append(Line(level, logger, message, tuple(re.findall(r"`(\w+)`", fields))))
    return found


def test_every_line_is_documented_and_every_row_is_logged() -> None:
    lines = {Line(*line) for line in BY_HAND}
    for package in PACKAGES:
        for path in (ROOT / "granitewell" / package).rglob("*.py"):
            lines.update(logged(path.read_text()))
    rows = documented()
    assert len(rows) == len(set(rows)) and set(rows) == lines


def test_a_line_without_a_row_is_noticed() -> None:
    source = 'log = Logger("granitewell.x")\n\ndef f():\n    log.warning("something new", size=1)\n'
    assert set(logged(source)) == {Line("warning", "granitewell.x", "something new", ("size",))}
    assert not set(logged(source)) <= set(documented())
