"""A processor quota: each process runs for only 10 ms of every 100 ms.

Each machine pauses at its own phase. No leader changes, no lease expires, and proposals are acknowledged.
"""

from __future__ import annotations

import pytest

from granitewell.coordination.consensus.types import Role
from tests.coordination.world import Machine, Process, World

PERIOD_S = 0.1
PAUSE_S = 0.09
ELECTED_BY_S = 5.0
SECONDS = 30.0
PROPOSAL_INTERVAL_S = 0.25


def keep_quota(world: World, machine: Machine, pause_s: float) -> None:
    """Let the machine's process pause in every period from now on."""

    def pause() -> None:
        process = machine.process
        if process is not None and not process.frozen:
            process.frozen = True
            world.after(pause_s, process.thaw)
        world.after(PERIOD_S, pause)

    world.after(world.rng.uniform(0.0, PERIOD_S), pause)


def leader_of(world: World) -> Process:
    (leader,) = (process for process in all_processes(world) if process.replica.role is Role.LEADER)
    return leader


def all_processes(world: World) -> list[Process]:
    return [machine.process for machine in world.machines if machine.process is not None]


def elected(seed: int, machines: int) -> World:
    """Return a group that has a leader."""
    world = World(seed, machines)
    world.run_until(ELECTED_BY_S)
    return world


def play(world: World, pause_s: float) -> list[float]:
    """Apply such quotas to all machines; return when a running leader held no lease."""
    leader = leader_of(world)
    without_lease: list[float] = []

    def propose() -> None:
        leader.run(lambda: leader.propose(b"change"))
        world.after(PROPOSAL_INTERVAL_S, propose)

    def check_repeatedly() -> None:
        if not leader.frozen and not leader.replica.holds_lease(leader.now):
            without_lease.append(world.now)
        world.after(0.003, check_repeatedly)

    for machine in world.machines:
        keep_quota(world, machine, pause_s)
    propose()
    check_repeatedly()
    world.run_until(ELECTED_BY_S + SECONDS)
    return without_lease


@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("seed", range(10))
def test_pauses_of_90_ms_ten_times_per_second_change_no_leader(seed: int, machines: int) -> None:
    world = elected(seed, machines)
    leader = leader_of(world)
    term, acknowledged = leader.replica.term, world.invariants.last_acknowledged
    assert play(world, PAUSE_S) == []
    assert leader_of(world) is leader
    assert {process.replica.term for process in all_processes(world)} == {term}
    assert world.invariants.last_acknowledged - acknowledged >= 0.9 * SECONDS / PROPOSAL_INTERVAL_S


def test_pauses_as_long_as_a_lease_end_leases() -> None:
    """Shows that the test above can fail: pauses of 0.6 s are detected."""
    assert any(play(elected(seed, 3), 0.6) for seed in range(3))
