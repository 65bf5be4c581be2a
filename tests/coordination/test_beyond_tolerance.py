"""Losses beyond what `fault-tolerance` allows at once: service may pause, nothing acknowledged is lost.

The cases: the voters are partitioned into two halves for some seconds; failures overlap while no more disks
are lost than is tolerated; a disk is lost while all other machines, including learners, lose power at the
same moment. The invariants of the world are checked after every event.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

import pytest

from tests.coordination.faults import describe
from tests.coordination.invariants import ViolationError
from tests.coordination.world import Link, Machine, World

SEEDS = range(12)
FIRST_S = 3.5
CUT_S = 6.0
RECOVERY_S = 10.0
PROPOSAL_INTERVAL_S = 0.1


def started(seed: int, machines: int) -> World:
    """Return a group with a leader and some acknowledged entries; clients propose all the time."""
    world = World(seed, machines=machines)
    world.run_until(FIRST_S)
    assert world.holder() is not None, describe(world)
    for number in range(round((CUT_S + RECOVERY_S + 5) / PROPOSAL_INTERVAL_S)):
        world.at(world.now + number * PROPOSAL_INTERVAL_S, world.propose)
    world.run_until(world.now + 1.0)
    assert world.invariants.last_acknowledged > 0
    return world


def cut_into(world: World, one: Sequence[Machine], other: Sequence[Machine]) -> None:
    """Partition the machines into two sets."""
    for left in one:
        for right in other:
            world.links[left.address, right.address] = Link(cut=True)
            world.links[right.address, left.address] = Link(cut=True)


def add_learner(world: World) -> Machine:
    """Add a machine that is not a voter."""
    machine = Machine(world, "learner", "10.0.2.1:7", world.seeds, first=False)
    world.machines.append(machine)
    machine.start()
    return machine


def acknowledges_again(world: World) -> None:
    """Return whether entries are acknowledged in time, by the intended members."""
    before = world.invariants.last_acknowledged
    world.run_until(world.now + RECOVERY_S)
    assert world.invariants.last_acknowledged > before, describe(world)


@pytest.mark.parametrize("machines", [3, 4, 5])
def test_a_partition_into_halves_loses_nothing(machines: int) -> None:
    for seed in SEEDS:
        world = started(seed, machines)
        drawn = world.rng.sample(world.machines, machines)
        cut_into(world, drawn[: machines // 2], drawn[machines // 2 :])
        world.run_until(world.now + CUT_S)
        world.links.clear()
        acknowledges_again(world)


def test_overlapping_failures_lose_nothing_with_one_lost_disk() -> None:
    """One disk is lost; before it is replaced, the others are killed, lose power and are partitioned."""
    for seed in SEEDS:
        world = started(seed, 3)
        first, second, third = world.rng.sample(world.machines, 3)
        first.wipe()
        second.stop(power=True)
        world.after(world.rng.uniform(0.0, 1.0), partial(third.stop, power=world.rng.random() < 0.5))
        cut_into(world, [second], [third])
        for machine in (first, second, third):
            world.after(world.rng.uniform(1.0, CUT_S), machine.start)
        world.run_until(world.now + CUT_S)
        world.links.clear()
        acknowledges_again(world)


def lose_one_disk_and_all_power(world: World, lost: Machine) -> None:
    """Lose one disk while all other machines, including learners, lose power."""
    for machine in world.machines:
        if machine is lost:
            machine.wipe()
        else:
            machine.stop(power=True)
        world.after(world.rng.uniform(0.05, 2.0), machine.start)


@pytest.mark.parametrize("machines", [3, 5])
def test_a_lost_disk_during_a_power_loss_of_all_others_loses_nothing(machines: int) -> None:
    """The loss comes at the moment of an acknowledgement; the learner loses power too."""
    for seed in SEEDS:
        world = started(seed, machines)
        learner = add_learner(world)
        world.run_until(world.now + 2.0)
        holder = world.holder()
        assert holder is not None
        holder.machine.disk.delay_s = 0.03
        lost = world.rng.choice(
            [machine for machine in world.machines[:machines] if machine is not holder.machine]
        )

        def strike(world: World = world, lost: Machine = lost) -> None:
            world.on_acknowledged = None
            lose_one_disk_and_all_power(world, lost)

        world.on_acknowledged = strike
        world.run_until(world.now + 1.0)
        assert world.on_acknowledged is None
        world.run_until(world.now + 2.0)
        assert learner in world.machines
        acknowledges_again(world)


def test_an_acknowledgement_before_the_sync_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the wait for the disk, the power loss destroys acknowledged entries."""
    from granitewell.coordination.consensus.persistence import Persistence

    original = Persistence.take

    def at_once(persistence: Persistence, last_index: int, term: int, now: float) -> object:
        records = original(persistence, last_index, term, now)
        persistence.stable_index = max(persistence.stable_index, last_index)
        return records

    monkeypatch.setattr(Persistence, "take", at_once)
    with pytest.raises((ViolationError, AssertionError)):
        for machines in (3, 5):
            test_a_lost_disk_during_a_power_loss_of_all_others_loses_nothing(machines)
