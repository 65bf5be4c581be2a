"""The system reads only the monotonic clock, so changes of the wall clock have no effect."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2] / "granitewell"
PACKAGES = ("coordination", "controlplane", "dataplane", "discovery", "domain", "nodes", "rpc")
STEADY = {"monotonic", "monotonic_ns", "perf_counter", "perf_counter_ns", "process_time", "sleep"}


def other_clocks(source: str) -> list[str]:
    """Return the names that a module uses of `datetime`, and of `time` beside the monotonic clock."""
    found: list[str] = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "time":
            found += [] if node.attr in STEADY else [f"time.{node.attr}"]
        if isinstance(node, ast.ImportFrom) and node.module == "time":
            found += [f"time.{alias.name}" for alias in node.names if alias.name not in STEADY]
        if isinstance(node, ast.ImportFrom | ast.Import):
            names = [node.module or ""] if isinstance(node, ast.ImportFrom) else [n.name for n in node.names]
            found += [name for name in names if name.partition(".")[0] == "datetime"]
    return found


@pytest.mark.parametrize("package", PACKAGES)
def test_only_the_steady_clock_is_read(package: str) -> None:
    modules = sorted((ROOT / package).rglob("*.py"))
    assert modules
    found = {str(path): clocks for path in modules if (clocks := other_clocks(path.read_text()))}
    assert found == {}


@pytest.mark.parametrize(
    "source",
    [
        "import time\nx = time.time()",
        "from time import time_ns",
        "import datetime",
        "from datetime import UTC",
    ],
)
def test_a_module_that_reads_the_time_of_day_shows(source: str) -> None:
    assert other_clocks(source)
