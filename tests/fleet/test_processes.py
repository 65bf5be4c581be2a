"""Five processes of the program and faults between them: they settle, and every rule of the brief holds.

What is looked at is what the two judges say; no test asserts how long anything took. Rules that ask for an
answer in time are left to runs on a machine that has nothing else to do.
"""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from granitewell.lab.cluster.chaos import Trouble
from granitewell.lab.fleet import page
from granitewell.lab.fleet.play import play
from granitewell.lab.fleet.terms import Schedule, load, replayed, schedule

TIMED = frozenset({"answer", "after", "drain", "cold"})  # rules that a process without a core can't keep
BOUND_S = 60.0


def made(name: str, **changes: Any) -> Schedule:
    return replace(schedule(*load(name), 1), rate=30.0, bound_s=BOUND_S, **changes)


def trouble(kind: str, at_s: float, until_s: float, *nodes: str, value: float = 0, how: str = "") -> Trouble:
    return Trouble(kind, int(at_s * 1e6), int(until_s * 1e6), nodes, value, how)


def kept(found: dict[str, Any]) -> None:
    assert found["view"]["broken"] == {}, found["view"]["offences"]
    assert set(found["rules"]) <= TIMED, found["broken"]
    assert not found["exits"] and found["requests"] > 0 and found["in_time"] > 0.0


def causes(found: dict[str, Any]) -> dict[str, bool]:
    """What had changed, and whether all agreed before the next change."""
    return {s["cause"]: s["took_s"] is not None for s in found["view"]["settled"]}


def test_a_kill_a_start_a_cut_and_its_healing(tmp_path: Path) -> None:
    """Where the settings say three of five nodes: no half of a cut counts fewer than there are."""
    played = made("demo", seconds=60.0, configured=3, troubles=(
        trouble("kill", 3, 18, "n1"), trouble("cut", 22, 52, "n0", "n1", "n2", "n3", "n4", value=2.0),
    ))  # fmt: skip
    found = play(played, tmp_path / "out")
    kept(found)
    assert causes(found)["kill n1"] and causes(found)["start n1"] and causes(found)["heal 2/3"]
    assert found["view"]["false_deaths"] == 0 and 0.9 < found["view"]["budget_most"] <= 1.0 + 1e-6
    assert replayed(tmp_path / "out" / "schedule.json") == played
    html = page.write(played, found, "granitewell lab fleet demo", tmp_path / "out")
    assert "all rules were kept" in html.read_text()
    assert (tmp_path / "out" / "fleet.png").stat().st_size > 9_000
    assert json.loads((tmp_path / "out" / "fleet-run.json").read_text())["kept"] == found["kept"]


def test_a_second_process_takes_the_place_and_either_may_be_killed_at_any_step(tmp_path: Path) -> None:
    """One node after the other changes over; nobody sees any of them die, leave or begin another life, but
    for the last, both of whose processes end: it leaves."""
    hows = ("", "kill-old", "kill-new", "kill-old-late", "kill-new-late")
    troubles = tuple(trouble("upgrade", 2 + 6 * k, 6 + 6 * k, f"n{k}", how=how) for k, how in enumerate(hows))
    found = play(made("upgrade", seconds=42.0, troubles=troubles), tmp_path / "out")
    kept(found)
    assert causes(found)["leave n4"]
    lives = {look.node: look.life for look, _ in found["looks"] if look.whole}
    assert lives == dict.fromkeys(("n0", "n1", "n2", "n3", "n4"), 1)


def test_roads_that_tear_stand_half_open_hold_and_double(tmp_path: Path) -> None:
    link = {"loss": 0.05, "doubled": 0.1, "late": 0.1, "delay_us": 0.0, "jitter_us": 2_000.0}
    all_ = ("n0", "n1", "n2", "n3", "n4")
    found = play(made("roads", seconds=40.0, configured=5, link=link, troubles=(
        trouble("torn", 3, 3, *all_), trouble("half", 5, 5, *all_), trouble("mute", 6, 12, "n2"),
        trouble("torn", 13, 13, *all_), trouble("deaf", 16, 22, "n3"), trouble("hold", 24, 27, "n4"),
        trouble("stall", 30, 33, "n0"), trouble("noise", 30, 36, "n1", value=3_000.0, how="replay"),
        trouble("files", 31, 36, "n1"),
    )), tmp_path / "out")  # fmt: skip
    kept(found)
    assert found["switch"]["n1 noise"] > 1_000 and found["switch"].get("strangers", 0) == 0


def test_a_rolling_restart_a_lost_disk_a_move_and_a_twin(tmp_path: Path) -> None:
    found = play(made("rolling", seconds=52.0, troubles=(
        trouble("term", 2, 5, "n0"), trouble("term", 8, 11, "n1"), trouble("lose", 14, 16, "n2"),
        trouble("twin", 20, 30, "n3", how="copy"), trouble("moved", 32, 34, "n4"),
    )), tmp_path / "out")  # fmt: skip
    kept(found)
    assert causes(found)["leave n0"] and causes(found)["start n0"] and causes(found)["start n4"]
    assert any(look.twins for look, _ in found["looks"] if look.node == "n3")


@pytest.mark.parametrize(
    ("plant", "rule", "scenario"),
    [
        ("leave-late", "first", (trouble("term", 3, 8, "n1"),)),
        ("former-life", "life", (trouble("kill", 3, 5, "n1"),)),
        ("budget-up", "budget", (trouble("cut", 3, 30, "n0", "n1", "n2", value=1.0),)),
    ],
)  # fmt: skip
def test_a_planted_defect_is_caught_on_processes(
    plant: str, rule: str, scenario: tuple[Trouble, ...], tmp_path: Path
) -> None:
    names = ("n0", "n1", "n2")
    seconds = max(t.until_us for t in scenario) / 1e6 + 6.0
    played = replace(made("kill"), names=names, seconds=seconds, configured=1, troubles=scenario)
    found = play(played, tmp_path / "out", plant)
    assert rule in found["view"]["broken"], found["view"]
