"""Simulated scenarios: random faults drawn from a seed, then a period without faults for recovery."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from granitewell.coordination.consensus.quorum import quorum_of
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.types import Role
from tests.coordination.invariants import ViolationError
from tests.coordination.world import SETTINGS, Link, Machine, Process, World, replica_id

FAULTS_S = 9.0
RECOVERY_S = 7.0
LEAVE_POLL_S = 0.05
PROGRESS_S = 5.0
"""Time after the end of all faults by which all are voters and a leader commits, in seconds."""


@dataclass
class Scenario:
    """A simulated group and the faults that can be injected into it."""

    world: World
    machine_number: int = 100

    # Selection

    def random_machine(self) -> Machine | None:
        """Return a machine with a running process; half of the time the leader's."""
        running = [machine for machine in self.world.machines if machine.process is not None]
        leading = [
            machine
            for machine in running
            if machine.process is not None and machine.process.replica.role is Role.LEADER
        ]
        rng = self.world.rng
        if leading and rng.random() < 0.5:
            return rng.choice(leading)
        return rng.choice(running) if running else None

    def may_lose(self, machine: Machine) -> bool:
        """Return whether the remaining disks hold a quorum of the voters."""
        left = [other for other in self.world.intact_voters() if other is not machine]
        allowed = quorum_of(self.world.membership()).satisfied_by({replica_id(other.disk) for other in left})
        if allowed and not all(self._in_touch(other) for other in left):
            self.world.beyond_tolerance = True
        return allowed

    def _in_touch(self, machine: Machine) -> bool:
        cut = any(link.cut and machine.address in ends for ends, link in self.world.links.items())
        return machine.process is not None and not machine.process.frozen and not cut

    # Faults

    def kill(self) -> None:
        """Kill a process; it restarts later."""
        machine = self.random_machine()
        if machine is not None:
            machine.stop(power=False)
            self.world.after(self.world.rng.uniform(0.05, 2.0), machine.start)

    def power_off(self) -> None:
        """Cut the power of a machine; it restarts later."""
        machine = self.random_machine()
        if machine is not None:
            machine.stop(power=True)
            self.world.after(self.world.rng.uniform(0.2, 2.0), machine.start)

    def kill_all(self) -> None:
        """Kill all processes at once."""
        for machine in self.world.machines:
            machine.stop(power=False)
            self.world.after(self.world.rng.uniform(0.05, 1.0), machine.start)

    def power_off_all(self) -> None:
        """Cut the power of all machines at once."""
        for machine in self.world.machines:
            machine.stop(power=True)
            self.world.after(self.world.rng.uniform(0.05, 1.0), machine.start)

    def wipe(self) -> None:
        """Lose a disk."""
        machine = self.random_machine()
        if machine is not None and self.may_lose(machine):
            machine.wipe()
            self.world.after(self.world.rng.uniform(0.05, 1.0), machine.start)

    def wipe_and_power_off_all(self) -> None:
        """Lose a disk while all other machines lose power."""
        machine = self.random_machine()
        if machine is None or not self.may_lose(machine):
            return
        machine.wipe()
        self.power_off_all()

    def wipe_after_acknowledgement(self) -> None:
        """Lose a disk and all power right after the next acknowledgement."""

        def strike() -> None:
            self.world.on_acknowledged = None
            self.world.after(self.world.rng.choice((0.0, 0.005, 0.1, 0.4)), self.wipe_and_power_off_all)

        self.world.on_acknowledged = strike

    def replace(self) -> None:
        """Remove a machine for good; another one with an empty disk joins at a new address."""
        machine = self.random_machine()
        if machine is None or not self.may_lose(machine):
            return
        machine.wipe()
        machine.gone = True
        self._add_machine(machine.address)

    def _add_machine(self, *old_seeds: str) -> None:
        """Add a machine with an empty disk at a new address."""
        world = self.world
        self.machine_number += 1
        address = f"10.0.1.{self.machine_number}:7"
        seeds = (*(other.address for other in world.machines if not other.gone), *old_seeds)
        new = Machine(world, f"core-{self.machine_number}", address, seeds, first=False)
        world.machines.append(new)
        world.after(world.rng.uniform(0.0, 1.0), new.start)

    def leave_and_come_back(self) -> None:
        """Send SIGTERM to a process, and restart it afterwards."""
        machine = self.random_machine()
        if machine is not None:
            self._leave(machine, lambda: self._restart(machine))

    def _restart(self, machine: Machine) -> None:
        machine.stop(power=False)
        self.world.after(self.world.rng.uniform(0.05, 1.0), machine.start)

    def leave_for_good(self) -> None:
        """Add a machine, then send SIGTERM to another one, which leaves for good."""
        machine = self.random_machine()
        if machine is not None:
            self._add_machine()
            go = partial(self._leave, machine, lambda: self._go(machine))
            self.world.after(self.world.rng.uniform(0.0, 2.0), go)

    def _go(self, machine: Machine) -> None:
        if not machine.gone and self.may_lose(machine):
            machine.wipe()
            machine.gone = True

    def _leave(self, machine: Machine, then: Callable[[], None]) -> None:
        """Do what a process does on SIGTERM; call `then` when that is done or has timed out."""
        process = machine.process
        if process is None:
            return
        end = self.world.now + self.world.settings.leave_s
        waits = True

        def ask() -> None:
            nonlocal waits
            waits = process.replica.leave(process.now)

        def step() -> None:
            process.run(ask)
            if waits and process.alive and self.world.now < end:
                self.world.after(LEAVE_POLL_S, step)
                return
            process.run(partial(_transfer, process))
            self.world.after(LEAVE_POLL_S, then)

        step()

    def freeze(self) -> None:
        """Freeze a process for up to a few seconds."""
        machine = self.random_machine()
        if machine is None or machine.process is None:
            return
        process = machine.process
        if not process.frozen:
            process.frozen = True
            self.world.after(self.world.rng.uniform(0.2, 4.0), process.thaw)

    def cut(self) -> None:
        """Partition a machine from all others, in one direction or both."""
        machine = self.random_machine()
        if machine is None:
            return
        kind = self.world.rng.randrange(3)
        for other in self.world.machines:
            if kind in (0, 1):
                self.world.links[machine.address, other.address] = Link(cut=True)
            if kind in (0, 2):
                self.world.links[other.address, machine.address] = Link(cut=True)
        self.world.after(self.world.rng.uniform(0.3, 4.0), self.world.links.clear)

    def cut_pair(self) -> None:
        """Partition two machines from each other, in one direction or both; all other links work."""
        rng = self.world.rng
        machine = self.random_machine()
        if machine is None:
            return
        other = rng.choice(self.world.machines)
        self.world.links[machine.address, other.address] = Link(cut=True)
        if rng.random() < 0.7:
            self.world.links[other.address, machine.address] = Link(cut=True)
        self.world.after(rng.uniform(0.5, 4.0), self.world.links.clear)

    def bad_links(self) -> None:
        """Lose, delay, reorder and duplicate messages on all links."""
        link = Link(loss=self.world.rng.uniform(0, 0.4), slow_s=self.world.rng.uniform(0, 0.3), duplicate=0.2)
        self.world.default_link = link
        self.world.after(self.world.rng.uniform(0.5, 3.0), self.heal_links)

    def heal_links(self) -> None:
        """Restore all links."""
        self.world.default_link = Link()

    def slow_disk(self) -> None:
        """Make a disk slow, stall, or refuse writes."""
        machine = self.random_machine()
        if machine is None:
            return
        disk = machine.disk
        kind = self.world.rng.randrange(3)
        disk.delay_s = (0.2, 3.0, 0.001)[kind]
        disk.refusing = kind == 2
        self.world.after(self.world.rng.uniform(0.5, 3.0), lambda: heal_disk(machine))

    def transfer(self) -> None:
        """Tell the leader to stop, so that it transfers its leadership."""
        for process in self.world.processes():
            if process.replica.role is Role.LEADER:
                process.run(partial(_transfer, process))

    def heal(self) -> None:
        """End all faults."""
        world = self.world
        world.links.clear()
        world.on_acknowledged = None
        self.heal_links()
        for machine in world.machines:
            heal_disk(machine)
            if machine.process is not None and machine.process.frozen:
                machine.process.thaw()
            machine.start()


def _transfer(process: Process) -> None:
    process.replica.transfer(process.now)


def heal_disk(machine: Machine) -> None:
    """Restore a disk."""
    machine.disk.delay_s = 0.001
    machine.disk.refusing = False
    machine.disk.hanging = False


Fault = Callable[[Scenario], None]

FAULTS: Sequence[Fault] = (
    Scenario.kill,
    Scenario.power_off,
    Scenario.kill_all,
    Scenario.power_off_all,
    Scenario.wipe,
    Scenario.wipe_and_power_off_all,
    Scenario.wipe_after_acknowledgement,
    Scenario.replace,
    Scenario.freeze,
    Scenario.freeze,
    Scenario.cut,
    Scenario.cut_pair,
    Scenario.bad_links,
    Scenario.slow_disk,
    Scenario.transfer,
    Scenario.leave_and_come_back,
    Scenario.leave_for_good,
)


def play(
    seed: int,
    faults: Sequence[Fault] = FAULTS,
    settings: ReplicaSettings = SETTINGS,
    pace_s: float = 1.0,
    progress: bool = True,
    voters: int = 3,
) -> World:
    """Run one scenario.

    Raises:
        ViolationError: An invariant is broken; the message names the seed.
    """
    world = World(seed, machines=voters, settings=settings)
    scenario = Scenario(world)
    try:
        _inject_faults(scenario, faults, pace_s)
        _recover(scenario, progress)
    except ViolationError as error:
        raise ViolationError(f"seed {seed} at {world.now:.3f} s: {error}") from error
    return world


def _inject_faults(scenario: Scenario, faults: Sequence[Fault], pace_s: float) -> None:
    world = scenario.world
    rng = world.rng
    at = rng.uniform(0, 3)
    while at < FAULTS_S:
        world.at(at, partial(rng.choice(faults), scenario))
        at += rng.expovariate(1 / pace_s)
    at = 0.0
    while at < FAULTS_S:
        at += rng.uniform(0.02, 0.4)
        world.at(at, world.propose)
    world.run_until(FAULTS_S)


def _recover(scenario: Scenario, progress: bool) -> None:
    world = scenario.world
    scenario.heal()
    committed = world.invariants.last_acknowledged
    for _ in range(10):
        world.run_until(world.now + RECOVERY_S / 10)
        world.propose()
        if progress and _is_healthy(scenario, committed):
            return
    world.run_until(world.now + 0.5)
    if progress and not world.beyond_tolerance and not _is_healthy(scenario, committed):
        raise ViolationError(f"no progress: {describe(world)}")


def _is_healthy(scenario: Scenario, committed: int) -> bool:
    """Return whether a leader commits, and the group has enough voters, all of them alive."""
    world = scenario.world
    holder = world.holder()
    if holder is None or world.invariants.last_acknowledged <= committed:
        return False
    members = {member.replica_id for member in holder.replica.members}
    alive = {process.replica.replica_id for process in world.processes()}
    return len(members) >= world.target_voters and members <= alive


def describe(world: World) -> str:
    """Return the state of all replicas, for debugging."""
    lines = [f"committed {world.invariants.last_committed}"]
    for machine in world.machines:
        if machine.process is None:
            lines.append(f"{machine.name}: {'gone' if machine.gone else 'down'}")
            continue
        replica = machine.process.replica
        voters = ",".join(member.replica_id[:4] for member in replica.members)
        lines.append(
            f"{machine.name} {replica.replica_id[:4]} {replica.role.name} term {replica.term} "
            f"commit {replica.commit_index} of {replica._core.log.last_index} voters {voters}"
        )
    return "\n".join(lines)
