"""Every state of three planners, within stated bounds.

What must hold holds, and planted defects are found with the fewest steps that lead to them. Run with -s to
read the traces.
"""

from __future__ import annotations

import pytest

from granitewell.lab.cluster.leases_search import CATCHES, SEARCHES, Bounds, Planners, founded, look
from granitewell.lab.cluster.search import Seen

MIN_STATES = 100_000


def _text(name: str, bounds: Bounds, seen: Seen[str]) -> str:
    limits = ", ".join(f"{key} {value}" for key, value in bounds._asdict().items() if value)
    return f"{name} ({limits}): {seen.states:,} states, {seen.steps:,} steps between them, depth {seen.depth}"


def test_every_state_within_the_bounds_keeps_the_rules(capsys: pytest.CaptureFixture[str]) -> None:
    states, lines = 0, []
    for start, bounds in SEARCHES["quick"]:
        seen = look(start, bounds)
        lines.append(_text(start, bounds, seen))
        assert seen.whole and not seen.broken, "\n".join((lines[-1], seen.broken, *seen.trace))
        states += seen.states
    with capsys.disabled():
        print("", *lines, f"{states:,} states in all", sep="\n  ")
    assert states >= MIN_STATES


@pytest.mark.parametrize(
    ("plant", "rule", "steps"),
    [
        ("vote-unwritten", "voted-twice", 5), ("term-ge", "voted-twice", 5),
        ("lease-unshortened", "two-holders", 6), ("lost-disk-votes", "voted-twice", 7),
        ("oath-minority", "term-twice", 9), ("oath-unwaited", "two-holders", 9),
        ("promise-forgotten", "two-holders", 4), ("promise-broken", "two-holders", 3),
    ],
)  # fmt: skip
def test_a_planted_defect_has_a_shortest_trace(plant: str, rule: str, steps: int) -> None:
    start, bounds = CATCHES[plant]
    seen = look(start, bounds, plant)
    print(f"\n{plant}, {_text(start, bounds, seen)}")
    print(*(f"{k + 1:4} {line}" for k, line in enumerate(seen.trace)), f"     {seen.broken}", sep="\n")
    assert seen.broken.startswith(f"{rule}:") and len(seen.trace) == steps


def test_a_state_is_the_same_whichever_way_it_was_come_to() -> None:
    """Two messages to two planners, in either order."""
    world = founded(planners := Planners((0, 0, 0)), Bounds(times=1, stands=1))
    step = next(new for step, new in planners.steps(world) if planners.words(step).startswith("A stands"))
    hears = [s for s, _ in planners.steps(step) if planners.words(s).startswith(("B hears", "C hears"))]
    ends = set()
    for first, second in (hears, hears[::-1]):
        middle = dict(planners.steps(step))[first]
        ends.add(dict(planners.steps(middle))[second])
    assert len(hears) == 2 and len(ends) == 1
