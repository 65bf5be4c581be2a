"""What all tests begin with, wherever they are started."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
"""Tests that fail for a real fault which is not mended yet: `test | cause | issue`, one a line."""

# A shell has what it starts in the background ignore SIGINT, and so would each program that a test starts and
# interrupts: the verdict must not hang on who started the tests.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)


def known_red() -> dict[str, str]:
    """Cause by test."""
    if not KNOWN_RED.exists():
        return {}
    rows = (line.split(" | ") for line in KNOWN_RED.read_text().splitlines() if line.strip())
    return {test: cause for test, cause, _issue in rows}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the tests of KNOWN-RED.txt without letting their failure fail the run."""
    causes = known_red()
    assert len(causes) <= 3, "KNOWN-RED.txt has three lines at most"
    for item in items:
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print the tests whose failure is passed over."""
    for test, cause in known_red().items():
        terminalreporter.write_line(f"KNOWN-RED: {test}: {cause}")
