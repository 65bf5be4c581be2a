"""Replacements of a voter x one more loss at each step x faulty disks. CI runs a part of the cases.

`python -m tests.coordination.test_replacement_search` runs every case without a faulty disk, at every step;
`--disks` runs those with one; `--cases N` draws N of all cases; `--part 1/2` runs one of two parts.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from collections.abc import Iterator
from random import Random

import pytest

from tests.coordination import defects
from tests.coordination.invariants import ViolationError
from tests.coordination.replacement import (
    DiskFault,
    Kind,
    Loss,
    Outcome,
    Plan,
    Victim,
    plans,
    play,
    steps_of,
)

DRAWN_IN_CI = 40
MAX_STEP_DRAWN = 60

PLANNED = Plan(3, Kind.LEAVING, False, Victim.LEADER, Loss.GONE, DiskFault.NONE, Victim.LEADER)
"""A planned replacement in a group of three, and the leader is lost for good."""


def all_plans() -> list[Plan]:
    """Return plans with the loss at a step, and with the loss `catch-up-s` later."""
    return [*plans(), *plans(paused=True)]


def drawn_cases(count: int, seed: int = 0) -> Iterator[tuple[Plan, int, int]]:
    """Draw cases from all plans: plan, step, seed."""
    rng = Random(seed)
    among = all_plans()
    for number in range(count):
        yield rng.choice(among), rng.randint(1, MAX_STEP_DRAWN), number


def all_cases(disks: bool) -> Iterator[tuple[Plan, int, int]]:
    """Return all steps of all plans, with or without a faulty disk."""
    for plan in all_plans():
        if disks == (plan.disk is not DiskFault.NONE):
            last = 1 if plan.paused else steps_of(plan, 0)
            for step in range(1, last + 1):
                yield plan, step, 0


def test_a_planned_replacement_tolerates_a_loss_at_every_step() -> None:
    for step in range(1, steps_of(PLANNED, 0) + 1):
        assert play(PLANNED, step, 0) is not Outcome.OVER


def test_replacements_with_one_more_loss() -> None:
    outcomes = Counter(play(*case) for case in drawn_cases(DRAWN_IN_CI))
    assert outcomes[Outcome.PLAYED] > DRAWN_IN_CI / 2, outcomes


def test_removing_before_adding_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    defects.change_removes_first(monkeypatch)
    with pytest.raises(ViolationError, match="not available"):
        for step in range(1, steps_of(PLANNED, 0) + 1):
            play(PLANNED, step, 0)


LOST_INCOMING_VOTER = Plan(3, Kind.LEAVING, False, Victim.INCOMING, Loss.GONE, DiskFault.NONE, Victim.LEADER)

SLOW_FOLLOWER = Plan(3, Kind.WIPED, False, Victim.LEADER, Loss.KILL, DiskFault.SLOW, Victim.FOLLOWER)


@pytest.mark.parametrize(
    ("plant", "plan", "shows"),
    [
        (defects.change_ends_before_arrival, LOST_INCOMING_VOTER, "ends without"),
        (defects.change_is_never_rolled_back, LOST_INCOMING_VOTER, "not well"),
        (defects.commit_counts_old_voters_only, PLANNED, "disks"),
        (defects.commit_counts_new_voters_only, SLOW_FOLLOWER, "disks"),
    ],
    ids=lambda value: getattr(value, "__name__", "-"),
)
def test_planted_defects_are_detected(
    plant: defects.Plant, plan: Plan, shows: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(ViolationError, match=shows):
        for step in range(1, 40):
            play(plan, step, 0)


def main() -> None:
    """Run many cases, and print a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--disks", action="store_true")
    parser.add_argument("--cases", type=int)
    parser.add_argument("--part", default="1/1")
    arguments = parser.parse_args()
    part, parts = map(int, arguments.part.split("/"))
    cases = drawn_cases(arguments.cases) if arguments.cases else all_cases(arguments.disks)
    started = time.monotonic()
    outcomes: Counter[str] = Counter()
    for number, case in enumerate(cases):
        if number % parts != part - 1:
            continue
        try:
            outcomes[play(*case).value] += 1
        except ViolationError as violation:
            outcomes["violation"] += 1
            print(violation, flush=True)
    print(f"{dict(outcomes)} in {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
