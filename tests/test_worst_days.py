"""Days that are written for the operators' bench: what they hold, their files, and how results are read.

The bench isn't run; where a play is needed, a program that only writes a report stands in for it.
"""

from __future__ import annotations

import json
import re
import tomllib
from collections.abc import Mapping
from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from tools.bench_days import (
    Bench,
    Day,
    Listing,
    Play,
    Result,
    Site,
    each_done,
    failed_play,
    result_of,
    toml_of,
)
from tools.worst_day_points import POINTS, Scenario, event
from tools.worst_days import DEFAULT_START_TIMES_S, Choice, all_plays, main, page, spread

TRAFFIC_S = 34.0
LISTING = """Each entry has 'at' and 'kind'. For machines, 'how' may hold leader, reader
or seed. After these may stand race, hard, drain.

core_cut: count (1) counted machines are cut off; how: one_way, seeds
node_kill: share (.1) of the machines: SIGKILL; how: power (dark for for_s)
config_change: how: route weights timeout tenant
config_race: count (1) pairs of changes on the same version, each gap_s
roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s; how: remove (they leave)

these may come too:
ack_lost: a share x (.7) of the acks to the operator is lost
after_ack_kill: the machine that acknowledges loses power; how: kill, timed (5 to 400 ms after)
"""
SITE = """
name = "small"
troubles = [{ kind = "big_config", count = 350 }, { kind = "ack_lost", x = 0.6, for_s = 8.0 }]
[tolerate]
machines = 1
[timing]
catch_up_s = 4.0
[[day]]
name = "quiet-1"
slot = "quiet"
[[day]]
name = "trouble-1"
slot = "trouble"
seed = 5
one = 0.7
closing = { kind = "kill_all", down_s = 1.5 }
plan = [{ at = 1.0, kind = "model_shift", count = 3 }]
faults = []
traffic = [{ zone = "z-a", mix = { chat = 4.5 }, shape = { kind = "wave" } }]
[[day]]
name = "scale-1"
slot = "scale"
"""


@pytest.fixture
def site(tmp_path: Path) -> Site:
    path = tmp_path / "small.toml"
    path.write_text(SITE)
    return Site.read(path)


@pytest.fixture
def listing() -> Listing:
    return Listing.parse(LISTING)


# --- what may happen --------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("entry", "allowed"),
    [
        (event("core_cut", how=""), True),
        (event("core_cut", how="leader one_way race hard"), True),
        (event("after_ack_kill", how="timed"), True),
        (event("core_cut", how="power"), False),  # another kind's variant
        (event("node_kill", how="sideways"), False),
        (event("disk_full"), False),
        (event("these"), False),
    ],
)
def test_a_listing_allows_its_kinds_and_their_variants(
    entry: Mapping[str, Any], allowed: bool, listing: Listing
) -> None:
    assert listing.allows(entry) is allowed


def test_a_scenario_with_something_that_may_not_happen_is_left_out(listing: Listing) -> None:
    assert Scenario("a", (event("core_cut"), event("disk_full"))).on(listing) is None
    both = Scenario("b", (event("core_cut"), event("ack_lost")))
    assert both.on(listing) == both


def test_single_changes_stand_in_for_a_storm_where_there_is_none(listing: Listing) -> None:
    counted = Scenario("a", (event("config_storm", 1.0, count=300, gap_s=0.03),)).on(listing)
    timed = Scenario("b", (event("config_storm", 1.0, for_s=4.0, gap_s=0.25),)).on(listing)
    assert counted is not None and timed is not None
    assert (len(counted.entries), len(timed.entries)) == (300, 16)
    assert {entry["kind"] for entry in counted.entries + timed.entries} == {"config_change"}
    assert [entry["at"] for entry in timed.entries[:3]] == [1.0, 1.25, 1.5]
    stormy = Listing.parse(LISTING + "config_storm: a change each gap_s for for_s, or count of them\n")
    storm = Scenario("c", (event("config_storm", count=300),))
    assert storm.on(stormy) == storm


# --- days -------------------------------------------------------------------------------------------------
def test_a_scenario_begins_at_its_moment_and_planned_work_stands_apart() -> None:
    entries = (event("node_kill", 2.5, on="core"), event("config_race", 1.0, count=2), event("core_cut"))
    day = Scenario("cut", entries, {"kind": "kill_all"}).day("1-cut-off", 3.0)
    assert day.name == "1-cut-off-cut-3"
    assert day.plan == ({"at": 4.0, "kind": "config_race", "count": 2},)
    assert [(entry["kind"], entry["at"]) for entry in day.faults] == [("core_cut", 3.0), ("node_kill", 5.5)]
    assert day.closing == {"kind": "kill_all"}


def test_a_day_takes_its_traffic_from_the_site_and_nothing_else_that_happens(site: Site) -> None:
    cut = event("core_cut", 3.0, for_s=20.0, how="leader race")
    text = tomllib.loads(toml_of(Day.of("a", [cut]), site.day))
    assert (text["name"], text["plan"], text["faults"]) == ("a", [], [cut])
    assert (text["traffic"], text["one"]) == (site.day["traffic"], 0.7)
    assert "closing" not in text
    closing = {"kind": "wipe_after_ack", "down_s": 1.2, "how": "aimed"}
    assert tomllib.loads(toml_of(Day.of("a", [cut], closing), site.day))["closing"] == closing


def test_a_site_is_read_with_what_the_days_need(site: Site) -> None:
    assert (site.name, site.losses, site.catch_up_s, site.routes) == ("small", 1, 4.0, 350)
    assert site.day["name"] == "trouble-1"
    assert Site.read(site.path, "scale").day["name"] == "scale-1"


@pytest.mark.parametrize("point", POINTS)
def test_the_scenarios_of_a_point_have_names_of_their_own_and_happen_while_there_is_traffic(
    point: str, site: Site
) -> None:
    scenarios = list(POINTS[point](site))
    assert len({scenario.name for scenario in scenarios}) == len(scenarios) >= 10
    for scenario in scenarios:
        for moment_s in DEFAULT_START_TIMES_S:
            day = scenario.day(point, moment_s)
            assert all(moment_s <= entry["at"] < TRAFFIC_S for entry in day.entries()), day.name
            assert len({json.dumps(entry) for entry in day.entries()}) == len([*day.entries()]), day.name


COUNTED = {
    "core_cut", "node_kill", "node_freeze", "after_ack_kill", "after_ack_wipe", "disk_slow", "disk_full",
    "disk_stall",
}  # fmt: skip


@pytest.mark.parametrize("losses", [1, 2])
def test_no_event_loses_more_counted_machines_than_tolerated(losses: int, site: Site) -> None:
    tolerant_site = replace(site, losses=losses)
    hit = [
        entry["count"]
        for scenarios in POINTS.values()
        for scenario in scenarios(tolerant_site)
        for entry in scenario.entries
        if entry["kind"] in COUNTED
    ]
    assert max(hit) == losses and min(hit) == 1


@pytest.mark.parametrize("end", ["-in-a-row", "-then-power", "gone-then-wiped", "oldest-wiped"])
def test_a_second_loss_comes_when_the_first_machine_has_caught_up(end: str, site: Site) -> None:
    scenarios = [each for each in POINTS["3-second-losses"](site) if each.name.endswith(end)]
    assert scenarios
    for scenario in scenarios:
        lost = sorted(span_of_loss(entry, site) for entry in scenario.entries if is_loss(entry))
        assert len(lost) >= 3
        assert all(over <= next_at for (_, over), (next_at, _) in pairwise(lost)), scenario.name


def is_loss(entry: Mapping[str, Any]) -> bool:
    return entry["kind"] in COUNTED or entry["kind"] == "replace_core"


def span_of_loss(entry: Mapping[str, Any], site: Site) -> tuple[float, float]:
    """From the loss until the machine, or the one in its place, has had its time to catch up."""
    down_s = entry["x"] if entry["kind"] == "replace_core" else entry["for_s"]
    return entry["at"], entry["at"] + down_s + site.catch_up_s


def test_plays_are_points_by_deployments_by_seeds_by_moments(site: Site, listing: Listing) -> None:
    plays = all_plays({site: listing}, Choice(seeds=(1, 2), moments_s=(3.0, 8.0)))
    assert len({play.stem for play in plays}) == len(plays)
    days = {play.day.name for play in plays}
    assert len(plays) == 2 * len(days)
    assert {name.rpartition("-")[2] for name in days} == {"3", "8"}
    assert {play.day.name[0] for play in plays} >= {"1", "2"}
    wanted = all_plays({site: listing}, Choice(points=("2",), only="races", moments_s=(3.0,)))
    assert wanted and all("races" in play.day.name and play.day.name[0] == "2" for play in wanted)


def test_mixed_days_hold_two_points_and_are_drawn_by_site_seed_and_moment(
    site: Site, listing: Listing
) -> None:
    def drawn(seed: int, moment_s: float) -> list[Day]:
        choice = Choice(seeds=(seed,), moments_s=(moment_s,), points=("none",), mixed=4)
        return [play.day for play in all_plays({site: listing}, choice)]

    days = drawn(1, 3.0)
    assert len(days) == 4 and days == drawn(1, 3.0)
    assert days != drawn(2, 3.0)
    for day in days:
        found = re.fullmatch(r"mixed-\d-(\d)-[a-z_-]+\+(\d)-[a-z_-]+-3", day.name)
        assert found and found[1] != found[2]
        assert all(3.0 <= entry["at"] < TRAFFIC_S and listing.allows(entry) for entry in day.entries())


def test_fewer_plays_are_spread_over_all() -> None:
    plays = [Play(None, Day(str(n), (), ())) for n in range(10)]  # type: ignore[arg-type]
    assert [play.day.name for play in spread(plays, 4)] == ["0", "2", "5", "7"]
    assert spread(plays, None) == spread(plays, 99) == plays


# --- results ----------------------------------------------------------------------------------------------
REPORT: dict[str, Any] = {
    "G": 0.612,
    "breaks": {},
    "fault": None,
    "short": [],
    "exits_n": 0,
    "wall_s": 16.2,
    "parts": [["whole day", 0.6, 0.93], ["worst windows", 0.4, 0.41]],
    "prices": [["machine-seconds", 616.0, 0.088], ["orders", 65.0, 0.004]],
}
PRINTED = """snapshot 0d49f311
day                  own/srv  score  worth served refused failed  weakest part
1-cut-off-cut-3     11/22   0.86  0.612  0.930   0.000  0.003  worst windows 0.41; prices 0.092

what happened
"""


def test_a_sound_day_is_read() -> None:
    result = result_of(REPORT, PRINTED, "1-cut-off-cut-3")
    assert (result.score, result.worth, result.sound) == (0.86, 0.612, True)
    assert result.weakest == "worst windows 0.41; machine-seconds 0.088"


@pytest.mark.parametrize(
    ("change", "broken", "fault"),
    [
        ({"breaks": {"TWICE": 2}}, {"TWICE": "2"}, ""),
        ({"breaks": {"LOST": ["version 7", "gone"]}}, {"LOST": '["version 7", "gone"]'}, ""),
        ({"fault": "core-a ended by itself"}, {}, "core-a ended by itself"),
    ],
)
def test_a_broken_rule_and_a_fault_are_told_apart(
    change: dict[str, Any], broken: dict[str, str], fault: str
) -> None:
    result = result_of(REPORT | change, PRINTED.replace("0.86", "-"), "1-cut-off-cut-3")
    assert (result.broken, result.fault, result.sound, result.score) == (broken, fault, False, None)


def test_another_days_line_is_not_taken_for_the_score() -> None:
    assert result_of(REPORT, PRINTED, "2-confirmations-races-3").score is None


def outcome(name: str, seed: int, result: Result, site: Site) -> tuple[Play, Result]:
    return Play(site, Day.of(name, [event("core_cut")]), seed), result


def test_the_page_counts_by_point_and_deployment_and_names_each_finding(site: Site) -> None:
    good = result_of(REPORT, PRINTED, "1-cut-off-cut-3")
    report = REPORT | {"breaks": {"TWICE": 2}, "short": ["chat"], "first": ["r-7 ran on a and b"]}
    broken = result_of(report, "", "1-cut-off-cut-3")
    outcomes = [
        outcome("5-calls-lost-3", 1, failed_play("killed"), site),
        outcome("1-cut-off-cut-3", 2, broken, site),
        outcome("1-cut-off-cut-3", 1, good, site),
        outcome("1-cut-off-cut-8", 1, good, site),
    ]
    text = page(outcomes)
    assert "| 1-cut-off | small | 1 | 1 2 | 3 | 1 | 0 | 1 | 0.86, 0.86 | 0.61, 0.61 |" in text
    assert "| 5-calls | small | 1 | 1 | 1 | 0 | 1 | 0 | - | 0.00, 0.00 |" in text
    assert "| all | all | 2 | 1 2 | 4 | 1 | 1 | 1 | 0.86, 0.86 | 0.00, 0.46 |" in text
    assert "| 1-cut-off | `core_cut` |" in text
    assert "- `small.1-cut-off-cut-3.seed-2`: TWICE: 2" in text
    assert "- `small.1-cut-off-cut-3.seed-2`: r-7 ran on a and b" in text
    assert "- `small.1-cut-off-cut-3.seed-2`: short of the gate: chat" in text
    assert "- `small.5-calls-lost-3.seed-1`: fault: no report: killed" in text
    assert page(outcomes[::-1]) == text
    assert "No rule was broken" in page([outcome("1-cut-off-cut-3", 1, good, site)])


# --- plays, with a stand-in for the bench -----------------------------------------------------------------
STAND_IN = """#!/bin/sh
[ "$1" = kinds ] && cat "$(dirname "$0")/kinds" && exit
echo "$@" >> "$(dirname "$0")/calls"
while [ "$1" != --report ]; do shift; done
[ -e "$(dirname "$0")/report" ] || { echo "the day took too long"; exit 1; }
cp "$(dirname "$0")/report" "$2"
echo "1-cut-off-cut-silent-3 11/22 0.75 0.612"
"""


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    program = tmp_path / "bench"
    program.write_text(STAND_IN)
    program.chmod(0o755)
    (tmp_path / "kinds").write_text(LISTING)
    (tmp_path / "report").write_text(json.dumps(REPORT))
    (tmp_path / "out").mkdir()
    return Bench(program, tmp_path / "out", "a trial")


def test_a_day_is_played_once_and_again_only_when_it_has_changed(
    bench: Bench, site: Site, tmp_path: Path
) -> None:
    play = Play(site, Day.of("1-cut-off-cut-silent-3", [event("core_cut", 3.0)]), 7)
    assert [result.score for _, result in each_done(bench.play, [play, play], 1)] == [0.75, 0.75]
    calls = (tmp_path / "calls").read_text().splitlines()
    assert len(calls) == 1 and "--seed 7 --why a trial" in calls[0]
    bench.play(Play(site, Day.of("1-cut-off-cut-silent-3", [event("core_cut", 4.0)]), 7))
    assert len((tmp_path / "calls").read_text().splitlines()) == 2


def test_a_play_without_a_report_is_a_fault_and_is_played_again(
    bench: Bench, site: Site, tmp_path: Path
) -> None:
    (tmp_path / "report").unlink()
    play = Play(site, Day.of("1-cut-off-cut-silent-3", [event("core_cut", 3.0)]), 7)
    assert "the day took too long" in bench.play(play).fault
    (tmp_path / "report").write_text(json.dumps(REPORT))
    assert bench.play(play).sound


def test_the_command_plays_all_and_says_by_its_exit_code_whether_all_was_sound(
    bench: Bench, site: Site, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    words = [str(bench.program), str(bench.out), str(site.path), "--points", "1", "--only", "silent"]
    table = tmp_path / "table.md"
    assert main([*words, "--moments", "3", "--table", str(table)]) == 0
    assert capsys.readouterr().out.startswith("1 plays\nsmall.1-cut-off-cut-silent-3.seed-1 ")
    assert "| 1-cut-off | small | 1 | 1 | 1 | 0 | 0 | 0 | 0.75, 0.75 | 0.61, 0.61 |" in table.read_text()
    (tmp_path / "report").write_text(json.dumps(REPORT | {"breaks": {"TWICE": 2}}))
    assert main([*words, "--moments", "9"]) == 1
