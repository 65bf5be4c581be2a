"""Many short days of a simulated group, each from its seed. `python -m tests.coordination.test_simulation
FIRST LAST` plays more of them, and one again."""

from __future__ import annotations

import sys

import pytest

from tests.coordination.faults import play

DAYS = 500
DAYS_A_TEST = 50


@pytest.mark.parametrize("first", range(0, DAYS, DAYS_A_TEST))
def test_days(first: int) -> None:
    acknowledged = 0
    for seed in range(first, first + DAYS_A_TEST):
        acknowledged += play(seed).invariants.last_acknowledged
    assert acknowledged > 5 * DAYS_A_TEST


def test_a_day_is_the_same_whenever_it_is_played() -> None:
    first, second = play(7), play(7)
    assert first.invariants.committed == second.invariants.committed


if __name__ == "__main__":
    for number in range(int(sys.argv[1]), int(sys.argv[2])):
        play(number)
