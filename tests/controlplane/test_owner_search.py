"""Days of three control machines that order servers, each from its seed, under troubles of all sorts.

`python -m tests.controlplane.test_owner_search FIRST LAST` plays more of them, each with and without fencing
(`0 5000` are ten thousand days), and prints what was met.
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
TROUBLE_S = 11.0
LAST_S = 4.0  # which a trouble lasts at most
CALM_S = 7.0
PACE_S = 0.9  # between troubles
RARE_S = 4.0  # where machines are to be in touch in between
MAX_STALL_S = 1.0  # a process that stands still of itself, with no fault: shorter than UNRESPONSIVE_AFTER_S

Trouble = Callable[[OwnerWorld], None]


def someone(world: OwnerWorld) -> Machine | None:
    """A machine with a process, the leader's as often as not."""
    running = [machine for machine in world.machines if machine.process is not None]
    leading = [m for m in running if m.process is not None and m.process.replica.role is Role.LEADER]
    if leading and world.rng.random() < 0.6:
        return world.rng.choice(leading)
    return world.rng.choice(running) if running else None


# What the bench does to the core


def kill(world: OwnerWorld) -> None:
    """A process is killed or its machine loses power, and comes back."""
    machine = someone(world)
    if machine is None:
        return
    span = world.troubles.core(world.now)
    machine.stop(power=world.rng.random() < 0.5)

    def back() -> None:
        span.until = world.now
        machine.start()

    world.after(world.rng.uniform(0.05, 2.5), back)


def terminate(world: OwnerWorld) -> None:
    """SIGTERM: leadership is handed over, then the process ends and starts again."""
    machine = someone(world)
    if machine is None or machine.process is None:
        return
    process = machine.process
    span = world.troubles.core(world.now)
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
    """A process stands still for seconds."""
    machine = someone(world)
    if machine is None or machine.process is None or machine.process.frozen:
        return
    machine.process.frozen = True
    span = world.troubles.core(world.now)
    world.after(world.rng.uniform(0.2, 4.0), partial(world.thaw, machine.process, span))


def freeze_before_send(world: OwnerWorld) -> None:
    """For a while, processes freeze right before an order leaves."""
    world.freeze_before_send = 0.3
    world.after(1.0, lambda: setattr(world, "freeze_before_send", 0.0))


def cut_core(world: OwnerWorld) -> None:
    """A machine is cut off from one or all others of the core, in one direction or both."""
    machine = someone(world)
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
    span = world.troubles.core(world.now)

    def heal() -> None:
        world.links.clear()
        span.until = world.now

    world.after(world.rng.uniform(0.3, 4.0), heal)


def bad_links(world: OwnerWorld) -> None:
    """Messages of the core are lost, late, out of order and twice."""
    world.default_link = Link(loss=world.rng.uniform(0, 0.4), slow_s=world.rng.uniform(0, 0.3), duplicate=0.2)
    span = world.troubles.core(world.now)

    def heal() -> None:
        world.default_link = Link()
        span.until = world.now

    world.after(world.rng.uniform(0.5, 3.0), heal)


# What the bench does to one machine, or to servers


def slow_disk(world: OwnerWorld) -> None:
    """A disk is slow or hangs: the leader there hands over while it is heard."""
    machine = someone(world)
    if machine is None:
        return
    machine.disk.delay_s = world.rng.choice((0.1, 0.5, 3.0))
    span = world.troubles.machine(machine.name, world.now)

    def heal() -> None:
        heal_disk(machine)
        span.until = world.now

    world.after(world.rng.uniform(0.5, 3.0), heal)


def cut_server(world: OwnerWorld) -> None:
    """A server is cut off from a machine or from all, in one direction or both."""
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
            world.troubles.excuse(machine.name, world.now)

    world.after(world.rng.uniform(0.2, 5.0), heal)


def slow_server(world: OwnerWorld) -> None:
    """All that goes to and from a server is late; nobody is out of touch by that."""
    server = world.rng.choice(list(world.servers))
    links = [link for ends, link in world.wire.links.items() if server in ends]
    for link in links:
        link.slow_s = 0.6

    def fast() -> None:
        for link in links:
            link.slow_s = 0.0

    world.after(world.rng.uniform(0.5, 4.0), fast)


def restart_server(world: OwnerWorld) -> None:
    """A server forgets what it holds, its sequence and its fences."""
    server = world.rng.choice(list(world.servers.values()))
    if server.up:
        server.stop()
        world.after(world.rng.uniform(0.05, 1.0), server.start)


# What nobody did


def transfer_leadership(world: OwnerWorld) -> None:
    """Leadership moves although nothing has happened."""
    for process in world.processes():
        if process.replica.role is Role.LEADER:
            process.run(partial(_transfer, process))


def stall(world: OwnerWorld) -> None:
    """A process is busy with itself for longer than its lease lasts."""
    machine = someone(world)
    if machine is None or machine.process is None or machine.process.frozen:
        return
    process = machine.process
    process.frozen = True
    world.after(world.rng.uniform(0.1, MAX_STALL_S), lambda: process.thaw() if process.alive else None)


def _transfer(process: Process) -> None:
    process.replica.transfer(process.now)


TROUBLES: Sequence[Trouble] = (
    kill, terminate, freeze, freeze_before_send, cut_core, cut_core, bad_links,
    slow_disk, cut_server, slow_server, restart_server, transfer_leadership, stall, stall,
)  # fmt: skip
QUIET: Sequence[Trouble] = (transfer_leadership, stall, slow_disk, slow_server, cut_server, restart_server)
"""What leaves the core stable: machines stay in touch, and every turn counts."""


def play(
    seed: int, fencing: bool, troubles: Sequence[Trouble] = TROUBLES, pace_s: float = PACE_S
) -> OwnerWorld:
    """One day; raises Violation, which names the seed."""
    world = OwnerWorld(seed, fencing)
    try:
        _play(world, troubles, pace_s)
    except ViolationError as error:
        name = "fencing" if fencing else "no fencing"
        raise ViolationError(f"seed {seed}, {name}, at {world.now:.3f} s: {error}") from error
    finally:
        world.abandon()
    return world


def _play(world: OwnerWorld, troubles: Sequence[Trouble], pace_s: float) -> None:
    at = START_S
    while at < START_S + TROUBLE_S:
        world.at(at, partial(world.rng.choice(troubles), world))
        at += world.rng.expovariate(1 / pace_s)
    world.run_until(START_S + TROUBLE_S + LAST_S)
    _heal(world)
    world.run_until(world.now + CALM_S)
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


Day = tuple[Sequence[Trouble], float]
DAYS: Sequence[Day] = ((TROUBLES, PACE_S), (QUIET, PACE_S), (TROUBLES, RARE_S))


@pytest.mark.parametrize("fencing", [True, False])
def test_no_rule_of_orders_breaks(fencing: bool) -> None:
    judges = [play(seed, fencing, *day).judge for seed in range(SEEDS) for day in DAYS]
    assert sum(judge.taken for judge in judges) > 50 * SEEDS
    assert sum(judge.turns for judge in judges) > 0  # else the rule was not put to the test


def play_many(first: int, last: int) -> bool:
    """Days by the thousand; prints what was met, and whether no rule broke."""
    started = time.monotonic()
    met = [0, 0, 0, 0]
    broken = 0
    for number in range(first, last):
        for fenced in (True, False):
            try:
                judge = play(number, fenced, *DAYS[number % len(DAYS)]).judge
            except ViolationError as violation:
                print(violation)
                broken += 1
                continue
            for place, count in enumerate((judge.orders, judge.taken, judge.unloads, judge.turns)):
                met[place] += count
    figures = "{} orders, {} taken, {} unloads, {} turns that counted".format(*met)
    print(f"{2 * (last - first)} days, {broken} broken: {figures}, {time.monotonic() - started:.0f} s")
    return broken == 0


if __name__ == "__main__":
    sys.exit(0 if play_many(int(sys.argv[1]), int(sys.argv[2])) else 1)
