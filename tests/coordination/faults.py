"""Days of a simulated group: faults drawn from the seed, then a calm end in which all must be well."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from granitewell.coordination.consensus.quorum import quorum_of
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.types import Role
from tests.coordination.invariants import ViolationError
from tests.coordination.world import SETTINGS, Link, Machine, Process, World, replica_id

TROUBLE_S = 9.0
CALM_S = 7.0
LEAVE_LOOK_S = 0.05
PROGRESS_S = 5.0
"""After the trouble's end, all are voters and a leader commits by this time."""


@dataclass
class Day:
    """A world and its seed of troubles."""

    world: World
    machine_number: int = 100

    # Who

    def someone(self) -> Machine | None:
        """A machine with a process, the leader's as often as not."""
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
        """Whether the disks that are left hold a quorum of the voters."""
        left = [other for other in self.world.intact_voters() if other is not machine]
        allowed = quorum_of(self.world.membership()).satisfied_by({replica_id(other.disk) for other in left})
        if allowed and not all(self._in_touch(other) for other in left):
            self.world.beyond_tolerance = True
        return allowed

    def _in_touch(self, machine: Machine) -> bool:
        cut = any(link.cut and machine.address in ends for ends, link in self.world.links.items())
        return machine.process is not None and not machine.process.frozen and not cut

    # Troubles

    def kill(self) -> None:
        """A process is killed, and comes back."""
        machine = self.someone()
        if machine is not None:
            machine.stop(power=False)
            self.world.after(self.world.rng.uniform(0.05, 2.0), machine.start)

    def power_off(self) -> None:
        """A machine loses power, and comes back."""
        machine = self.someone()
        if machine is not None:
            machine.stop(power=True)
            self.world.after(self.world.rng.uniform(0.2, 2.0), machine.start)

    def kill_all(self) -> None:
        """All processes are killed at once."""
        for machine in self.world.machines:
            machine.stop(power=False)
            self.world.after(self.world.rng.uniform(0.05, 1.0), machine.start)

    def power_off_all(self) -> None:
        """All machines lose power at once."""
        for machine in self.world.machines:
            machine.stop(power=True)
            self.world.after(self.world.rng.uniform(0.05, 1.0), machine.start)

    def wipe(self) -> None:
        """A disk is lost."""
        machine = self.someone()
        if machine is not None and self.may_lose(machine):
            machine.wipe()
            self.world.after(self.world.rng.uniform(0.05, 1.0), machine.start)

    def wipe_and_power_off_all(self) -> None:
        """A disk is lost while all others lose power."""
        machine = self.someone()
        if machine is None or not self.may_lose(machine):
            return
        machine.wipe()
        self.power_off_all()

    def wipe_after_acknowledgement(self) -> None:
        """The same, right after the next acknowledgement."""

        def strike() -> None:
            self.world.on_acknowledged = None
            self.world.after(self.world.rng.choice((0.0, 0.005, 0.1, 0.4)), self.wipe_and_power_off_all)

        self.world.on_acknowledged = strike

    def replace(self) -> None:
        """A machine leaves for good; another with an empty disk comes, at a new address."""
        machine = self.someone()
        if machine is None or not self.may_lose(machine):
            return
        machine.wipe()
        machine.gone = True
        self._add_machine(machine.address)

    def _add_machine(self, *old_seeds: str) -> None:
        """A machine with an empty disk comes, at a new address."""
        world = self.world
        self.machine_number += 1
        address = f"10.0.1.{self.machine_number}:7"
        seeds = (*(other.address for other in world.machines if not other.gone), *old_seeds)
        new = Machine(world, f"core-{self.machine_number}", address, seeds, first=False)
        world.machines.append(new)
        world.after(world.rng.uniform(0.0, 1.0), new.start)

    def leave_and_come_back(self) -> None:
        """A process gets SIGTERM, and is started again."""
        machine = self.someone()
        if machine is not None:
            self._leave(machine, lambda: self._restart(machine))

    def _restart(self, machine: Machine) -> None:
        machine.stop(power=False)
        self.world.after(self.world.rng.uniform(0.05, 1.0), machine.start)

    def leave_for_good(self) -> None:
        """Another machine comes; then one gets SIGTERM and goes for good."""
        machine = self.someone()
        if machine is not None:
            self._add_machine()
            go = partial(self._leave, machine, lambda: self._go(machine))
            self.world.after(self.world.rng.uniform(0.0, 2.0), go)

    def _go(self, machine: Machine) -> None:
        if not machine.gone and self.may_lose(machine):
            machine.wipe()
            machine.gone = True

    def _leave(self, machine: Machine, then: Callable[[], None]) -> None:
        """What a process does on SIGTERM, and what comes when it is done, or when its time is over."""
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
                self.world.after(LEAVE_LOOK_S, step)
                return
            process.run(partial(_transfer, process))
            self.world.after(LEAVE_LOOK_S, then)

        step()

    def freeze(self) -> None:
        """A process stands still for seconds."""
        machine = self.someone()
        if machine is None or machine.process is None:
            return
        process = machine.process
        if not process.frozen:
            process.frozen = True
            self.world.after(self.world.rng.uniform(0.2, 4.0), process.thaw)

    def cut(self) -> None:
        """A machine is cut off, in both directions or in one."""
        machine = self.someone()
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
        """Two machines don't reach each other, or one not the other; all else is well."""
        rng = self.world.rng
        machine = self.someone()
        if machine is None:
            return
        other = rng.choice(self.world.machines)
        self.world.links[machine.address, other.address] = Link(cut=True)
        if rng.random() < 0.7:
            self.world.links[other.address, machine.address] = Link(cut=True)
        self.world.after(rng.uniform(0.5, 4.0), self.world.links.clear)

    def bad_links(self) -> None:
        """Messages are lost, late, out of order and twice."""
        link = Link(loss=self.world.rng.uniform(0, 0.4), slow_s=self.world.rng.uniform(0, 0.3), duplicate=0.2)
        self.world.quiet = link
        self.world.after(self.world.rng.uniform(0.5, 3.0), self.good_links)

    def good_links(self) -> None:
        """All links are well."""
        self.world.quiet = Link()

    def slow_disk(self) -> None:
        """A disk turns slow, hangs or refuses writes."""
        machine = self.someone()
        if machine is None:
            return
        disk = machine.disk
        kind = self.world.rng.randrange(3)
        disk.delay_s = (0.2, 3.0, 0.001)[kind]
        disk.refusing = kind == 2
        self.world.after(self.world.rng.uniform(0.5, 3.0), lambda: good_disk(machine))

    def transfer(self) -> None:
        """A leader is told to stop: it hands over first."""
        for process in self.world.processes():
            if process.replica.role is Role.LEADER:
                process.run(partial(_transfer, process))

    def heal(self) -> None:
        """The end of all troubles."""
        world = self.world
        world.links.clear()
        world.on_acknowledged = None
        self.good_links()
        for machine in world.machines:
            good_disk(machine)
            if machine.process is not None and machine.process.frozen:
                machine.process.thaw()
            machine.start()


def _transfer(process: Process) -> None:
    process.replica.transfer(process.now)


def good_disk(machine: Machine) -> None:
    """A disk is well again."""
    machine.disk.delay_s = 0.001
    machine.disk.refusing = False
    machine.disk.hanging = False


Trouble = Callable[[Day], None]

TROUBLES: Sequence[Trouble] = (
    Day.kill,
    Day.power_off,
    Day.kill_all,
    Day.power_off_all,
    Day.wipe,
    Day.wipe_and_power_off_all,
    Day.wipe_after_acknowledgement,
    Day.replace,
    Day.freeze,
    Day.freeze,
    Day.cut,
    Day.cut_pair,
    Day.bad_links,
    Day.slow_disk,
    Day.transfer,
    Day.leave_and_come_back,
    Day.leave_for_good,
)


def play(
    seed: int,
    troubles: Sequence[Trouble] = TROUBLES,
    settings: ReplicaSettings = SETTINGS,
    pace_s: float = 1.0,
    progress: bool = True,
    voters: int = 3,
) -> World:
    """One day; raises Violation, which names the seed."""
    world = World(seed, machines=voters, settings=settings)
    day = Day(world)
    try:
        _trouble(day, troubles, pace_s)
        _calm(day, progress)
    except ViolationError as error:
        raise ViolationError(f"seed {seed} at {world.now:.3f} s: {error}") from error
    return world


def _trouble(day: Day, troubles: Sequence[Trouble], pace_s: float) -> None:
    world = day.world
    rng = world.rng
    at = rng.uniform(0, 3)
    while at < TROUBLE_S:
        world.at(at, partial(rng.choice(troubles), day))
        at += rng.expovariate(1 / pace_s)
    at = 0.0
    while at < TROUBLE_S:
        at += rng.uniform(0.02, 0.4)
        world.at(at, world.propose)
    world.run_until(TROUBLE_S)


def _calm(day: Day, progress: bool) -> None:
    world = day.world
    day.heal()
    committed = world.invariants.last_acknowledged
    for _ in range(10):
        world.run_until(world.now + CALM_S / 10)
        world.propose()
        if progress and _is_well(day, committed):
            return
    world.run_until(world.now + 0.5)
    if progress and not world.beyond_tolerance and not _is_well(day, committed):
        raise ViolationError(f"no progress: {describe(world)}")


def _is_well(day: Day, committed: int) -> bool:
    """A leader commits, and there are as many voters as there should be, all of them alive."""
    world = day.world
    holder = world.holder()
    if holder is None or world.invariants.last_acknowledged <= committed:
        return False
    members = {member.replica_id for member in holder.replica.members}
    alive = {process.replica.replica_id for process in world.processes()}
    return len(members) >= world.target_voters and members <= alive


def describe(world: World) -> str:
    """The state of all replicas, for who looks for a cause."""
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
