"""The table of losses from a report of a play."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tools import report_losses


def group(name: str, worth: float) -> dict[str, Any]:
    return {
        "name": name,
        "n": 100,
        "in_aim": 90,
        "late": 5,
        "refused": 3,
        "failed": 2,
        "worth": worth,
        "p99_ms": 1234.0,
    }


REPORT: dict[str, Any] = {
    "G": 0.7,
    "served": 0.9,
    "failed": 0.02,
    "parts": [["whole day", 0.4, 0.9], ["nines", 0.35, 0.5]],
    "prices": [["orders", 900, 0.0001], ["memory", 200.5, 0.02], ["machines", 5, 0.03]],
    "classes": [group("form-read", 0.93)],
    "windows": [group(str(2 * number), 0.9 - 0.01 * number) for number in range(9)],
    "unserved_by": [["503", 7, ["1.0 s sent", "2.0 s the client gets 503"]], ["deadline", 1, []]],
}


def test_each_part_says_what_it_loses() -> None:
    assert list(report_losses.parts(REPORT))[1].endswith("loses 0.175")


def test_prices_come_highest_first_and_small_ones_are_left_out() -> None:
    assert [line.split()[1] for line in report_losses.prices(REPORT)] == ["machines", "memory"]


def test_the_worst_windows_come_in_the_order_of_time() -> None:
    names = [window["name"] for window in report_losses.worst_windows(REPORT)]
    assert names == ["8", "10", "12", "14", "16"]


def test_ends_show_their_last_step() -> None:
    assert next(iter(report_losses.ends(REPORT))) == "     7  503: 2.0 s the client gets 503"


def test_the_command_prints_each_report(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    for name in ("a", "b"):
        (tmp_path / f"{name}.json").write_text(json.dumps(REPORT))
    assert report_losses.main([str(tmp_path / "a.json"), str(tmp_path / "b.json")]) == 0
    out = capsys.readouterr().out
    assert "== a: worth 0.700" in out and "== b:" in out and "form-read" in out
