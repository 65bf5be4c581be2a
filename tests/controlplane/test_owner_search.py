"""Simulations of three control machines that send orders to servers, under random faults.

`python -m tests.controlplane.test_owner_search FIRST LAST` plays the seeds of a range, each with and without
fencing (`0 5000` are ten thousand simulations), and prints totals.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence
from functools import partial

import pytest

from granitewell.coordination.consensus.types import Role
from tests.controlplane.owner_world import OwnerWorld
from tests.coordination.faults import heal_disk
from tests.coordination.invariants import ViolationError
from tests.coordination.world import Link, Machine, Process

SEEDS = 1
START_S = 3.0
FAULTS_S = 11.0
MAX_FAULT_S = 4.0  # maximum duration of a fault
RECOVERY_S = 7.0
FAULT_INTERVAL_S = 0.9  # mean time between faults
RARE_FAULT_INTERVAL_S = 4.0  # the same, long enough for machines to be in contact in between
MAX_STALL_S = 1.0  # pause of a healthy process: shorter than UNRESPONSIVE_AFTER_S

Fault = Callable[[OwnerWorld], None]


def pick_machine(world: OwnerWorld) -> Machine | None:
    """Return a machine with a process, often the leader's."""
    running = [machine for machine in world.machines if machine.process is not None]
    leading = [m for m in running if m.process is not None and m.process.replica.role is Role.LEADER]
    if leading and world.rng.random() < 0.6:
        return world.rng.choice(leading)
    return world.rng.choice(running) if running else None


# Faults of the core


def kill(world: OwnerWorld) -> None:
    """Kill a process or cut its machine's power, and start it again."""
    machine = pick_machine(world)
    if machine is None:
        return
    span = world.faults.core(world.now)
    machine.stop(power=world.rng.random() < 0.5)

    def back() -> None:
        span.until = world.now
        machine.start()

    world.after(world.rng.uniform(0.05, 2.5), back)


def terminate(world: OwnerWorld) -> None:
    """SIGTERM: a process transfers leadership, ends, and starts again."""
    machine = pick_machine(world)
    if machine is None or machine.process is None:
        return
    process = machine.process
    span = world.faults.core(world.now)
    process.run(lambda: _transfer(process))

    def end() -> None:
        if machine.process is process:
            machine.stop(power=False)

    def back() -> None:
        span.until = world.now
        machine.start()

    end_s = world.rng.uniform(0.1, 1.5)
    world.after(end_s, end)
    world.after(end_s + world.rng.uniform(0.05, 1.0), back)


def freeze(world: OwnerWorld) -> None:
    """Suspend a process for some seconds."""
    machine = pick_machine(world)
    if machine is None or machine.process is None or machine.process.frozen:
        return
    machine.process.frozen = True
    span = world.faults.core(world.now)
    world.after(world.rng.uniform(0.2, 4.0), partial(world.thaw, machine.process, span))


def freeze_before_send(world: OwnerWorld) -> None:
    """For 1 s, suspend processes at random right before they send an order."""
    world.freeze_before_send = 0.3
    world.after(1.0, lambda: setattr(world, "freeze_before_send", 0.0))


def cut_core(world: OwnerWorld) -> None:
    """Cut a machine off from one or all others of the core, in one direction or both."""
    machine = pick_machine(world)
    if machine is None:
        return
    others = [other for other in world.machines if other is not machine]
    cut = others if world.rng.random() < 0.6 else [world.rng.choice(others)]
    kind = world.rng.randrange(3)
    for other in cut:
        if kind in (0, 1):
            world.links[machine.address, other.address] = Link(cut=True)
        if kind in (0, 2):
            world.links[other.address, machine.address] = Link(cut=True)
    span = world.faults.core(world.now)

    def heal() -> None:
        world.links.clear()
        span.until = world.now

    world.after(world.rng.uniform(0.3, 4.0), heal)


def bad_links(world: OwnerWorld) -> None:
    """Lose, delay, reorder and duplicate messages of the core."""
    world.default_link = Link(loss=world.rng.uniform(0, 0.4), slow_s=world.rng.uniform(0, 0.3), duplicate=0.2)
    span = world.faults.core(world.now)

    def heal() -> None:
        world.default_link = Link()
        span.until = world.now

    world.after(world.rng.uniform(0.5, 3.0), heal)


# Faults of one machine, or of servers


def slow_disk(world: OwnerWorld) -> None:
    """Slow down or stall a disk: a leader there transfers leadership while its process still runs."""
    machine = pick_machine(world)
    if machine is None:
        return
    machine.disk.delay_s = world.rng.choice((0.1, 0.5, 3.0))
    span = world.faults.machine(machine.name, world.now)

    def heal() -> None:
        heal_disk(machine)
        span.until = world.now

    world.after(world.rng.uniform(0.5, 3.0), heal)


def cut_server(world: OwnerWorld) -> None:
    """Cut a server off from one machine or all, in one direction or both."""
    server = world.rng.choice(list(world.servers))
    kind = world.rng.randrange(3)
    machines = world.machines if world.rng.random() < 0.5 else [world.rng.choice(world.machines)]
    ends = [(m.address, server) for m in machines if kind in (0, 1)]
    ends += [(server, m.address) for m in machines if kind in (0, 2)]
    for pair in ends:
        world.wire.link(*pair).cut = True

    def heal() -> None:
        for pair in ends:
            world.wire.heal(pair)
        for machine in machines:
            world.faults.record_recovery(machine.name, world.now)

    world.after(world.rng.uniform(0.2, 5.0), heal)


def slow_server(world: OwnerWorld) -> None:
    """Slow down the links of a server; machines still count as in contact."""
    server = world.rng.choice(list(world.servers))
    links = [link for ends, link in world.wire.links.items() if server in ends]
    for link in links:
        link.slow_s = 0.6

    def fast() -> None:
        for link in links:
            link.slow_s = 0.0

    world.after(world.rng.uniform(0.5, 4.0), fast)


def restart_server(world: OwnerWorld) -> None:
    """Restart a server, which loses its models, its sequence and its fencing token."""
    server = world.rng.choice(list(world.servers.values()))
    if server.up:
        server.stop()
        world.after(world.rng.uniform(0.05, 1.0), server.start)


# Events without a fault


def transfer_leadership(world: OwnerWorld) -> None:
    """Transfer leadership without a fault."""
    for process in world.processes():
        if process.replica.role is Role.LEADER:
            process.run(partial(_transfer, process))


def stall(world: OwnerWorld) -> None:
    """Pause a process, possibly for longer than its lease."""
    machine = pick_machine(world)
    if machine is None or machine.process is None or machine.process.frozen:
        return
    process = machine.process
    process.frozen = True
    world.after(world.rng.uniform(0.1, MAX_STALL_S), lambda: process.thaw() if process.alive else None)


def _transfer(process: Process) -> None:
    process.replica.transfer(process.now)


FAULTS: Sequence[Fault] = (
    kill, terminate, freeze, freeze_before_send, cut_core, cut_core, bad_links,
    slow_disk, cut_server, slow_server, restart_server, transfer_leadership, stall, stall,
)  # fmt: skip
CORE_STABLE_FAULTS: Sequence[Fault] = (
    transfer_leadership,
    stall,
    slow_disk,
    slow_server,
    cut_server,
    restart_server,
)
"""Faults that leave the core stable: machines stay in contact, and every change of owner is checked."""


def play(
    seed: int, fencing: bool, faults: Sequence[Fault] = FAULTS, fault_interval_s: float = FAULT_INTERVAL_S
) -> OwnerWorld:
    """Play one simulation; raises ViolationError with the seed."""
    world = OwnerWorld(seed, fencing)
    try:
        _play(world, faults, fault_interval_s)
    except ViolationError as error:
        name = "fencing" if fencing else "no fencing"
        raise ViolationError(f"seed {seed}, {name}, at {world.now:.3f} s: {error}") from error
    finally:
        world.abandon()
    return world


def _play(world: OwnerWorld, faults: Sequence[Fault], fault_interval_s: float) -> None:
    at = START_S
    while at < START_S + FAULTS_S:
        world.at(at, partial(world.rng.choice(faults), world))
        at += world.rng.expovariate(1 / fault_interval_s)
    world.run_until(START_S + FAULTS_S + MAX_FAULT_S)
    _heal(world)
    world.run_until(world.now + RECOVERY_S)
    owners = [process for process in world.owner_processes() if process.ownership.may_order()]
    if len(owners) != 1:
        raise ViolationError(f"{len(owners)} owners may order at the end")


def _heal(world: OwnerWorld) -> None:
    world.links.clear()
    world.default_link = Link()
    world.freeze_before_send = 0.0
    for machine in world.machines:
        heal_disk(machine)
        if machine.process is not None and machine.process.frozen:
            machine.process.thaw()
        machine.start()


Scenario = tuple[Sequence[Fault], float]
SCENARIOS: Sequence[Scenario] = (
    (FAULTS, FAULT_INTERVAL_S),
    (CORE_STABLE_FAULTS, FAULT_INTERVAL_S),
    (FAULTS, RARE_FAULT_INTERVAL_S),
)


@pytest.mark.parametrize("fencing", [True, False])
def test_orders_keep_all_rules(fencing: bool) -> None:
    checkers = [play(seed, fencing, *day).order_checker for seed in range(SEEDS) for day in SCENARIOS]
    assert sum(order_checker.taken for order_checker in checkers) > 50 * SEEDS
    assert (
        sum(order_checker.owner_changes for order_checker in checkers) > 0
    )  # otherwise the rule was not tested


def search(first: int, last: int) -> bool:
    """Play a range of seeds and print totals; return whether no rule was violated."""
    started = time.monotonic()
    totals = [0, 0, 0, 0]
    broken = 0
    for number in range(first, last):
        for fenced in (True, False):
            try:
                order_checker = play(number, fenced, *SCENARIOS[number % len(SCENARIOS)]).order_checker
            except ViolationError as violation:
                print(violation)
                broken += 1
                continue
            for place, count in enumerate(
                (
                    order_checker.orders,
                    order_checker.taken,
                    order_checker.unloads,
                    order_checker.owner_changes,
                )
            ):
                totals[place] += count
    figures = "{} orders, {} taken, {} unloads, {} turns that counted".format(*totals)
    print(f"{2 * (last - first)} days, {broken} broken: {figures}, {time.monotonic() - started:.0f} s")
    return broken == 0


if __name__ == "__main__":
    sys.exit(0 if search(int(sys.argv[1]), int(sys.argv[2])) else 1)
