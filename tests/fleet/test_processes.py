"""Five processes of the program and faults between them: they settle, and every rule of the brief holds."""

from __future__ import annotations

import json
from pathlib import Path

from granitewell.lab.fleet import page
from granitewell.lab.fleet.play import play
from granitewell.lab.fleet.types import replayed
from tests.fleet.played import causes, kept, made, trouble


def test_a_kill_a_start_a_cut_and_its_healing(tmp_path: Path) -> None:
    """Where the settings say three of five nodes: no half of a cut counts fewer than there are."""
    played = made("demo", seconds=60.0, configured=3, troubles=(
        trouble("kill", 3, 18, "n1"), trouble("cut", 22, 52, "n0", "n1", "n2", "n3", "n4", value=2.0),
    ))  # fmt: skip
    found = play(played, tmp_path / "out")
    kept(found)
    assert causes(found)["kill n1"] and causes(found)["start n1"] and causes(found)["heal 2/3 after 30 s"]
    assert found["view"]["false_deaths"] == 0 and 0.9 < found["view"]["budget_most"] <= 1.0 + 1e-6
    assert replayed(tmp_path / "out" / "schedule.json") == played
    html = page.write(played, found, "granitewell lab fleet demo", tmp_path / "out")
    assert "all rules were kept" in html.read_text()
    assert (tmp_path / "out" / "fleet.png").stat().st_size > 9_000
    assert json.loads((tmp_path / "out" / "fleet-run.json").read_text())["kept"] == found["kept"]


def test_what_all_have_used_lies_within_what_each_says_whoever_is_cut_off_killed_or_stopped(
    tmp_path: Path,
) -> None:
    """A fifth of the messages is lost besides. Clients' own records are the truth."""
    found = play(made("counts", seconds=36.0, troubles=(
        trouble("cut", 10, 20, "n0", "n1", "n2", "n3", "n4", value=2.0), trouble("kill", 14, 16, "n3"),
        trouble("stall", 24, 27, "n2"), trouble("lose", 29, 30, "n4"),
    )), tmp_path / "out")  # fmt: skip
    kept(found)
    counts = found["counts"]
    assert counts["figures"] > 300 and counts["broken"] == 0, counts["texts"]
    calm, cut = min(counts["widths"].values()), max(counts["widths"][s] for s in range(15, 20))
    assert calm < cut  # what is not heard widens the figures


def test_a_disk_that_stands_still_holds_up_nobody(tmp_path: Path) -> None:
    """Each write of a member's file takes 2 s.

    A start, a leave and a kill settle all the same, and a new life is written down before anybody hears of
    it.
    """
    found = play(made("kill", seconds=24.0, troubles=(
        trouble("kill", 6, 8, "n1"), trouble("term", 14, 17, "n2"),
    )), tmp_path / "out", "slow-disk")  # fmt: skip
    kept(found)
    assert causes(found)["start n1"] and causes(found)["start n2"]
    lives = {look.node: look.life for look, _ in found["looks"] if look.whole}
    assert lives["n1"] == 2 and lives["n2"] == 2 and lives["n3"] == 1


def test_a_second_process_takes_the_place_and_either_may_be_killed_at_any_step(tmp_path: Path) -> None:
    """One node after the other changes over.

    Nobody sees any of them die, leave or begin another life, but for the last, both of whose processes end:
    it leaves.
    """
    hows = ("", "kill-old", "kill-new", "kill-old-late", "kill-new-late")
    troubles = tuple(trouble("upgrade", 2 + 6 * k, 6 + 6 * k, f"n{k}", how=how) for k, how in enumerate(hows))
    found = play(made("upgrade", seconds=42.0, troubles=troubles), tmp_path / "out")
    kept(found)
    assert causes(found)["leave n4"]
    lives = {look.node: look.life for look, _ in found["looks"] if look.whole}
    assert lives == dict.fromkeys(("n0", "n1", "n2", "n3", "n4"), 1)
