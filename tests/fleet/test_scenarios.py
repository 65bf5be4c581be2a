"""Scenario files and schedules of fleets, their virtual runs, and what is wrong with bad ones."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from granitewell.lab.cluster.counts_plants import PLANTS as COUNTS
from granitewell.lab.cluster.membership_plants import PLANTS as MACHINE
from granitewell.lab.fleet.page import picture
from granitewell.lab.fleet.planted import SHELL
from granitewell.lab.fleet.plants import CONDITIONS, PLANTS, SCENARIO
from granitewell.lab.fleet.status_polling import Look
from granitewell.lab.fleet.types import KINDS, FleetError, builtin, load, replayed, schedule
from granitewell.lab.fleet.virtual import play

ROOT = Path(__file__).resolve().parents[2]
GOOD = """
nodes = 4
seconds = 20
[[trouble]]
kind = "kill"
at_s = 5
until_s = 9
nodes = [1, "n2"]
"""


def refused(text: str, path: Path) -> str:
    path.write_text(text)
    with pytest.raises(FleetError) as caught:
        name, table = load(str(path))
        schedule(name, table, 1)
    line = str(caught.value)
    assert "\n" not in line and len(line) < 400
    return line


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("nodes = 0", "`$.nodes`"), ("nodse = 3", "nodse"), ("nodes = [", "x.toml"),
        ("seconds = 'a'", "`$.seconds`"),
        ("[[trouble]]\nkind = 'kil'\nat_s = 1", "trouble[0].kind: found 'kil', allowed: kill"),
        ("[[trouble]]\nkind = 'kill'\nat_s = 1\nnodes = [1]", "trouble[0].until_s: missing"),
        ("[[trouble]]\nkind = 'kill'\nat_s = 5\nuntil_s = 1\nnodes = [1]", "trouble[0].until_s: found 1"),
        ("[[trouble]]\nkind = 'kill'\nat_s = 1\nuntil_s = 2\nnodes = [9]", "found 'n9', which this fleet"),
        ("[[trouble]]\nkind = 'kill'\nat_s = 1\nuntil_s = 2", "found 0, kill needs 1"),
        ("[[trouble]]\nkind = 'cut'\nat_s = 1\nuntil_s = 2\nnodes = ['all']", "found all of them"),
        ("[[trouble]]\nkind = 'noise'\nat_s = 1\nuntil_s = 2\nnodes = [1]\nhow = 'x'", "[0].how: found 'x'"),
        ("[draw]\nseverity = 2", "`$.draw.severity`"),
        ("[draw]\nseverity = 0.1\nkinds = ['x']", "draw.kinds: found 'x'"),
        ("seconds = 80000\n[[trouble]]\nkind = 'snap'\nat_s = 1\nnodes = [1]\nevery_s = 1", "are 1000"),
    ],
)  # fmt: skip
def test_a_bad_scenario_is_one_line_with_its_field(text: str, says: str, tmp_path: Path) -> None:
    assert says in refused(text, tmp_path / "x.toml")


def test_a_name_that_is_none_lists_those_that_are(tmp_path: Path) -> None:
    with pytest.raises(FleetError, match="no built-in scenario; built-in: chaos, counts, counts-night"):
        load("demmo")


def test_a_schedule_is_the_same_for_a_seed_and_is_played_again_from_its_file(tmp_path: Path) -> None:
    path = tmp_path / "good.toml"
    path.write_text(GOOD)
    name, table = load(str(path))
    made = schedule(name, table, 7, severity=0.5)
    assert made == schedule(name, table, 7, severity=0.5) != schedule(name, table, 8, severity=0.5)
    assert {t.kind for t in made.troubles} <= set(KINDS) and len(made.troubles) > 1
    (kill,) = (t for t in schedule(name, table, 7).troubles)
    assert (kill.nodes, kill.at_us, kill.until_us) == (("n1", "n2"), 5_000_000, 9_000_000)
    kept = tmp_path / "schedule.json"
    kept.write_text(made.text())
    assert replayed(kept) == made
    for text in ("", "[]", "{}", json.dumps({"version": 9}), made.text().replace('"n2"', '"n9"', 1)):
        kept.write_text(text)
        with pytest.raises(FleetError, match=r"schedule\.json: "):
            replayed(kept)


@pytest.mark.parametrize("name", builtin())
def test_every_scenario_keeps_all_rules_in_virtual_time(name: str) -> None:
    """The same schedules as on processes; what only processes know is left out and named."""
    made = schedule(*load(name), 3)
    if made.seconds > 100:
        made = replace(made, seconds=100.0)
    found = play(made)
    assert found["kept"], found["view"]["offences"]
    assert set(found["skipped"]) <= {k for k, kind in KINDS.items() if not kind.virtual}


def test_days_of_drawn_troubles_settle_in_virtual_time_the_same_way_each_time() -> None:
    name, table = load("chaos")
    for seed in range(1, 9):
        made = schedule(name, table, seed, severity=0.6)
        found = play(made)
        assert found["kept"], (seed, found["view"]["offences"])
    assert play(made) == found


@pytest.mark.parametrize("seed", [112, 197, 391, 401, 464, 506, 520, 836, 967])
def test_a_seed_that_once_broke_a_rule_keeps_it(seed: int) -> None:
    """Found by `granitewell lab fleet chaos --hunt 1000 --severity 0.5`."""
    found = play(schedule(*load("chaos"), seed, severity=0.5))
    assert found["kept"], found["view"]["offences"]


def test_every_planted_defect_has_a_patch_and_a_scenario_that_there_is() -> None:
    assert set(PLANTS) == set(SHELL) | set(MACHINE) | set(COUNTS) and set(CONDITIONS) <= set(SHELL)
    assert set(SCENARIO.values()) <= set(builtin())
    assert set(PLANTS) - set(SCENARIO) == {"half-sent", "one-lane"}  # those are for test_peers


def test_the_picture_is_made_of_whatever_was_seen() -> None:
    made = schedule(*load("demo"), 1)
    looks = [(Look(k * 250_000, f"n{k % 5}", "in", up={"n0": "1"}), ("same", "few", "many", "none")[k % 4])
             for k in range(40)]  # fmt: skip
    report = {"series": [{"at_us": 0, "served": 3.0}, {"at_us": 1_000_000, "late": 1.0}]}
    done = [(t, t.at_us, True) for t in made.troubles]
    assert picture(made, looks, done, report).startswith(b"\x89PNG")
    assert picture(made, [], [], {"series": []}).startswith(b"\x89PNG")
