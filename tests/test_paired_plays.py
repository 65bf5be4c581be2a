"""What the comparison of two programs says of its pairs."""

from __future__ import annotations

import pytest

from tools.paired_plays import Difference, Pair, measures, table

REPORT = {
    "G": 0.5, "breaks": {}, "fault": "", "short": [], "exits_n": 0, "wall_s": 1.0,
    "parts": [["served", 0.6, 0.8]], "prices": [["memory", 3.0, 0.02], ["loads", 1.0, 0.01]],
}  # fmt: skip


def test_a_difference_is_after_less_before_with_the_interval_of_students_t() -> None:
    found = Difference.of([(0.5, 0.6), (0.7, 0.7), (0.6, 0.8)])
    assert found.mean == pytest.approx(0.1) and found.before == pytest.approx(0.6)
    assert found.error == pytest.approx(0.1 / 3**0.5)
    assert found.half_width == pytest.approx(4.30 * found.error)


def test_a_single_pair_has_no_interval() -> None:
    assert Difference.of([(0.5, 0.6)]).half_width == 0.0


def test_measures_are_score_worth_parts_prices_and_broken_rules() -> None:
    output = "day own/srv score\nscale-1                11/22   0.83  0.678\n"
    found = measures(REPORT | {"breaks": {"LOST": 2}}, output, "scale-1")
    assert found == {
        "score": 0.83, "worth": 0.5, "served": 0.8, "prices": pytest.approx(0.03), "broken rules": 1.0,
    }  # fmt: skip


def test_the_table_names_what_was_not_played_and_the_pairs_that_differ_most() -> None:
    played = {
        Pair("d", 1): ({"score": 0.5}, {"score": 0.6}),
        Pair("d", 2): ({"score": 0.5}, {"score": 0.2}),
        Pair("d", None, 1): ({"score": 0.5}, {}),
    }
    lines = list(table("d", played))
    assert "d.repeat-1: no report" in lines and "## d: 2 pairs" in lines
    assert "| score | 0.500 | 0.400 | -0.100 | 0.200 | -2.642 to +2.442 |" in lines
    assert lines[-2:] == ["d.seed-2: 0.50 before, 0.20 after", "d.seed-1: 0.50 before, 0.60 after"]
