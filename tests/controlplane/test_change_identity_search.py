"""Exhaustive and random search over event orders: repeats, lost answers, elections, snapshots, timeouts.

In CI: all event orders of a few small models, and some hundred random ones of a larger model. The long form
also searches larger models exhaustively, and 10,000 random event orders:

    GRANITEWELL_CHANGE_SEEDS=10000 python -m pytest tests/controlplane/test_change_identity_search.py
"""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

import pytest

from granitewell.controlplane.configuration import api as api_module
from granitewell.controlplane.configuration import history as history_module
from granitewell.controlplane.configuration.api import OperatorApi
from granitewell.controlplane.configuration.store import Operation
from tests.controlplane import change_defects as defects
from tests.controlplane.change_world import Action, Bounds, Step, ViolationError, World

PUT, PATCH = Operation.PUT, Operation.PATCH
SHORT_SEEDS = 200
SEEDS = int(os.environ.get("GRANITEWELL_CHANGE_SEEDS", SHORT_SEEDS))
MAX_DEFECT_SEEDS = 400
MAX_ACTIONS = 70  # of one random event order

Plant = Callable[[pytest.MonkeyPatch], None]

X, Y, Z = Step(PUT, 2, "x"), Step(PATCH, 2, "y"), Step(PATCH, 1, "z")
X_AGAIN = Step(PUT, 2, "x", again=True)


@dataclass(frozen=True)
class Case:
    """A small model that is searched exhaustively.

    Attributes:
        states: Expected number of reachable states, which shows if the search loses some.
    """

    name: str
    plans: Sequence[Sequence[Step]]
    bounds: Bounds
    states: int


NO_FAULTS = Bounds(elections=0, restores=0, timeouts=0, strays=0)
SHORT_CASES = [
    Case("race", [[X], [Y]], replace(NO_FAULTS, elections=1, timeouts=1), 1600),
    Case("lapse", [[X], [Y]], replace(NO_FAULTS, lapses=1, elections=1, copies=1), 299),
    Case("restored", [[X, Z]], replace(NO_FAULTS, elections=1, restores=1, strays=1), 347),
    Case("restarted", [[X], [Y]], replace(NO_FAULTS, elections=1, restarts=1, copies=1), 562),
    Case("same change", [[X], [X]], replace(NO_FAULTS, elections=1, timeouts=1, copies=1), 155),
    Case("other If-Match", [[X, X_AGAIN], [Y]], replace(NO_FAULTS, elections=1), 719),
    Case("forgotten", [[X, Z], [Y]], replace(NO_FAULTS, timeouts=1, remembered=1), 408),
]
LONG_CASES = [
    Case("race, all troubles", [[X], [Y]], Bounds(lapses=1), 17651),
    Case("race, two elections", [[X], [Y]], Bounds(elections=2, timeouts=2), 29715),
    Case("chain", [[X, Z]], Bounds(elections=2, restarts=1), 20653),
    Case("race and chain", [[X, Z], [Y]], Bounds(), 23925),
    Case("forgotten, all troubles", [[X, Z], [Y]], Bounds(strays=0, remembered=1), 10797),
]
CASES = SHORT_CASES if SEEDS <= SHORT_SEEDS else SHORT_CASES + LONG_CASES


@pytest.fixture(autouse=True)
def _no_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api_module, "LEADER_WAIT_S", 0.0)


async def search(new_world: Callable[[], World]) -> int:
    """Visit every reachable state once, check the recovery from it, and return the number of states."""
    seen: set[object] = set()
    paths: list[list[Action]] = [[]]
    while paths:
        path = paths.pop()
        world = new_world()
        for action in path:
            await world.act(action)
        while (state := world.fingerprint()) not in seen:
            seen.add(state)
            actions = world.actions()
            if not actions:
                break
            paths += [[*path, action] for action in actions[1:]]
            path = [*path, actions[0]]
            await world.act(actions[0])
        await world.heal()
        await world.close()
    return len(seen)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_all_event_orders(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(history_module, "MAX_ACCEPTED_CHANGES", case.bounds.remembered)
    found = asyncio.run(search(lambda: World(case.plans, case.bounds, OperatorApi)))
    print(f"{case.name}: {found} states")
    assert found == case.states


def scenario_of(seed: int) -> tuple[Sequence[Sequence[Step]], Bounds]:
    """Return the plans of three operators with four changes each, some equal, and the bounds."""
    rng = Random(seed)

    def step() -> Step:
        operation = rng.choice((PUT, PATCH))
        return Step(operation, rng.randint(1, 3), rng.choice("xy"), again=rng.random() < 0.2)

    plans = [[step() for _ in range(4)] for _ in range(3)]
    remembered = rng.choice((10_000, 10_000, 1, 2, 3))
    return plans, Bounds(
        nodes=3, copies=3, elections=3, lapses=2, restores=3, restarts=2, timeouts=4, strays=3,
        remembered=remembered,
    )  # fmt: skip


async def play(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Play one random event order, and check the recovery."""
    plans, bounds = scenario_of(seed)
    monkeypatch.setattr(history_module, "MAX_ACCEPTED_CHANGES", bounds.remembered)
    rng = Random(seed)
    world = World(plans, bounds, OperatorApi)
    try:
        for _ in range(rng.randint(1, MAX_ACTIONS)):
            actions = world.actions()
            if not actions:
                break
            name = rng.choice(sorted({action.name for action in actions}))
            await world.act(rng.choice([action for action in actions if action.name == name]))
        await world.heal()
    except ViolationError as violation:
        raise ViolationError(f"seed {seed}: {violation}") from violation
    finally:
        await world.close()


async def play_all(seeds: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Play random event orders."""
    for seed in range(seeds):
        await play(seed, monkeypatch)


def test_random_event_orders(monkeypatch: pytest.MonkeyPatch) -> None:
    asyncio.run(play_all(SEEDS, monkeypatch))


DEFECTS: dict[Plant, str] = {
    defects.identity_without_base: "confirmed, and not in force",
    defects.identity_without_body: "confirmed, and not in force",
    defects.history_not_in_snapshot: "412 for what was taken",
    defects.stale_before_repeated: "412 for what was taken",
    defects.repeat_gets_the_current_version: "confirmed as .*, taken as",
    defects.forgotten_is_refused: "412 for what was taken",
    defects.forgotten_version_not_in_snapshot: "412 for what was taken",
    defects.lease_not_checked: "4.. for|refused, and then taken",
    defects.lost_proposal_is_refused: "412 for|refused, and then taken",
    defects.lost_proposal_is_confirmed: "confirmed, and not in force",
    defects.result_of_another_entry: "confirmed|412 for",
    defects.restore_keeps_waiters: "confirmed",
}


@pytest.mark.parametrize("plant", DEFECTS, ids=lambda plant: getattr(plant, "__name__", ""))
def test_defect_is_detected(plant: Plant, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    with pytest.raises(ViolationError) as raised:
        asyncio.run(play_all(MAX_DEFECT_SEEDS, monkeypatch))
    print(raised.value)
    assert re.search(DEFECTS[plant], str(raised.value))
