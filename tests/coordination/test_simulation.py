"""Many short simulated scenarios, each drawn from its seed.

`python -m tests.coordination.test_simulation FIRST LAST` runs the seeds of a range, each with all faults,
with replacements only, and with five voters.
"""

from __future__ import annotations

import sys

import pytest

from tests.coordination.faults import FAULTS, Scenario, play
from tests.coordination.invariants import ViolationError

SCENARIOS = 500
SCENARIOS_PER_TEST = 50
FIVE_VOTER_SCENARIOS = 12
REPLACEMENT_SCENARIOS = 25
REPLACEMENTS = (
    Scenario.wipe,
    Scenario.replace,
    Scenario.leave_and_come_back,
    Scenario.leave_for_good,
    Scenario.slow_disk,
    Scenario.cut,
    Scenario.kill,
)


@pytest.mark.parametrize("first", range(0, SCENARIOS, SCENARIOS_PER_TEST))
def test_random_scenarios(first: int) -> None:
    acknowledged = 0
    for seed in range(first, first + SCENARIOS_PER_TEST):
        acknowledged += play(seed).invariants.last_acknowledged
    assert acknowledged > 5 * SCENARIOS_PER_TEST


def test_scenarios_with_five_voters() -> None:
    acknowledged = 0
    for seed in range(FIVE_VOTER_SCENARIOS):
        acknowledged += play(seed, voters=5).invariants.last_acknowledged
    assert acknowledged > 5 * FIVE_VOTER_SCENARIOS


def test_scenarios_with_replacements() -> None:
    for seed in range(REPLACEMENT_SCENARIOS):
        play(seed, REPLACEMENTS, pace_s=0.7)


def test_a_scenario_is_deterministic() -> None:
    first, second = play(7), play(7)
    assert first.invariants.committed == second.invariants.committed


def main(first: int, last: int) -> int:
    """Run the seeds of a range, each in three kinds of scenarios; return how many broke an invariant."""
    violations = 0
    for seed in range(first, last):
        for voters, faults, pace_s in ((3, FAULTS, 1.0), (3, REPLACEMENTS, 0.7), (5, FAULTS, 1.0)):
            try:
                play(seed, faults, pace_s=pace_s, voters=voters)
            except ViolationError as violation:
                violations += 1
                print(violation, flush=True)
    print(f"{violations} violations")
    return violations


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])) > 0)
