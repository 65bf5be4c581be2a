"""Many short days of a simulated group, each from its seed.

`python -m tests.coordination.test_simulation FIRST LAST` plays more of them, and one again, each also with
replacements only and with five voters.
"""

from __future__ import annotations

import sys

import pytest

from tests.coordination.faults import TROUBLES, Day, play
from tests.coordination.invariants import ViolationError

DAYS = 500
DAYS_A_TEST = 50
DAYS_OF_FIVE = 12
DAYS_OF_REPLACEMENTS = 25
REPLACEMENTS = (
    Day.wipe,
    Day.replace,
    Day.leave_and_come_back,
    Day.leave_for_good,
    Day.slow_disk,
    Day.cut,
    Day.kill,
)


@pytest.mark.parametrize("first", range(0, DAYS, DAYS_A_TEST))
def test_days(first: int) -> None:
    acknowledged = 0
    for seed in range(first, first + DAYS_A_TEST):
        acknowledged += play(seed).invariants.last_acknowledged
    assert acknowledged > 5 * DAYS_A_TEST


def test_days_of_five_voters() -> None:
    acknowledged = 0
    for seed in range(DAYS_OF_FIVE):
        acknowledged += play(seed, voters=5).invariants.last_acknowledged
    assert acknowledged > 5 * DAYS_OF_FIVE


def test_days_of_replacements() -> None:
    for seed in range(DAYS_OF_REPLACEMENTS):
        play(seed, REPLACEMENTS, pace_s=0.7)


def test_a_day_is_the_same_whenever_it_is_played() -> None:
    first, second = play(7), play(7)
    assert first.invariants.committed == second.invariants.committed


def main(first: int, last: int) -> int:
    """Play seeds from first to below last, each in three kinds of days; how many broke an invariant."""
    violations = 0
    for seed in range(first, last):
        for voters, troubles, pace_s in ((3, TROUBLES, 1.0), (3, REPLACEMENTS, 0.7), (5, TROUBLES, 1.0)):
            try:
                play(seed, troubles, pace_s=pace_s, voters=voters)
            except ViolationError as violation:
                violations += 1
                print(violation, flush=True)
    print(f"{violations} violations")
    return violations


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])) > 0)
