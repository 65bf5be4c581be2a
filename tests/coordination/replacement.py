"""A replacement of a voter, with one more loss at a chosen step of it.

A step is a synced write or a received message other than a heartbeat. `play` runs one case: a group of three
or five, one kind of replacement, a faulty disk, and a loss at step n of the replacement. The invariants of
world.py are checked after every event. In addition:

- A group that has lost no more than it tolerates commits again while the lost machine is still lost.
- After the end of all faults it commits, no change is in progress, and it has the intended number of voters,
  all of them alive.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import product

from granitewell.coordination.consensus.types import Role
from tests.coordination.faults import Scenario, describe
from tests.coordination.invariants import ViolationError
from tests.coordination.world import Link, Machine, Process, World

SETTLED_S = 4.0
"""Time by which there is a leader and a spare has caught up, in seconds."""

PROPOSAL_INTERVAL_S = 0.2
REPLACEMENT_S = 8.0
"""Maximum duration of a replacement without any loss, in seconds."""

AVAILABLE_S = 4.0
"""A group that has lost no more than it tolerates commits again within this time.

An election, and a leader whose disk hangs (`disk_stall_s`).
"""

CATCH_UP_S = 4.0
"""As `catch-up-s` of the small sites."""

HEALTHY_S = 10.0
SLOW_DISK_S = 0.2
LEAVE_AGAIN_S = 0.15


class Kind(Enum):
    """What is replaced, and by what."""

    WIPED = "the same machine with an empty disk"
    NEW = "a new machine for one that is gone"
    LEAVING = "a spare for one that asks to leave and still answers"


class Victim(Enum):
    """Which replica is lost at the step."""

    LEADER = "leader"
    FOLLOWER = "follower"
    INCOMING = "incoming"
    OUTGOING = "outgoing"


class Loss(Enum):
    """How it is lost."""

    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"
    CUT = "cut"
    GONE = "gone"


class DiskFault(Enum):
    """Fault of a disk during the replacement."""

    NONE = "none"
    SLOW = "slow"
    FULL = "full"
    STALLED = "stalled"


@dataclass(frozen=True)
class Plan:
    """A case without its step.

    Attributes:
        leads: Whether the voter that is replaced leads.
        disk_of: Whose disk is faulty.
        paused: Whether the loss comes `catch-up-s` after the successor's start instead of at a step.
    """

    voters: int
    kind: Kind
    leads: bool
    victim: Victim
    loss: Loss
    disk: DiskFault
    disk_of: Victim
    paused: bool = False

    def __str__(self) -> str:
        who = "leader" if self.leads else "follower"
        disk = "" if self.disk is DiskFault.NONE else f", {self.disk.value} disk of {self.disk_of.value}"
        when = ", after catch-up-s" if self.paused else ""
        return (
            f"{self.voters} voters, {self.kind.name} {who}{disk}, {self.loss.value} of {self.victim.value}"
            f"{when}"
        )


def plans(paused: bool = False) -> Iterator[Plan]:
    """Return all plans."""
    disks = [(DiskFault.NONE, Victim.LEADER)]
    disks += product(
        (DiskFault.SLOW, DiskFault.FULL, DiskFault.STALLED),
        (Victim.LEADER, Victim.FOLLOWER, Victim.INCOMING),
    )
    for voters, kind, leads, victim, loss, disk in product((3, 5), Kind, (True, False), Victim, Loss, disks):
        if victim is not Victim.OUTGOING or (kind is Kind.LEAVING and not paused):
            yield Plan(voters, kind, leads, victim, loss, *disk, paused)


class Outcome(Enum):
    """Result of a case."""

    PLAYED = "played"
    NOT_ALLOWED = "not allowed"
    """The remaining disks would be no quorum, or no machine has that part at that step."""

    OVER = "over"
    """The replacement has fewer steps."""


class Replacement:
    """One run with a replacement in it."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.world = World(seed, machines=plan.voters)
        self.scenario = Scenario(self.world)
        self.steps = 0
        self.incoming: Machine | None = None
        self.outgoing: Machine | None = None
        self._strike_at: int | None = None
        self.struck = False
        self.lost: Machine | None = None
        self.allowed = True

    # The replacement

    def begin(self) -> None:
        """Wait until the group is healthy, and begin the replacement."""
        world = self.world
        spare = self._add_machine("spare", 0.0) if self.plan.kind is Kind.LEAVING else None
        world.run_until(SETTLED_S)
        self._propose()
        world.run_until(world.now + 0.5)
        holder = world.holder()
        if holder is None:
            raise ViolationError("no leader without faults")
        followers = [machine for machine in world.machines if machine not in (holder.machine, spare)]
        replaced = holder.machine if self.plan.leads else followers[0]
        world.on_step = self._step
        if self.plan.kind is Kind.LEAVING:
            self.incoming, self.outgoing = spare, replaced
            self._leave()
        elif self.plan.kind is Kind.WIPED:
            self.incoming = replaced
            replaced.wipe()
            world.after(0.2, replaced.start)
        else:
            replaced.wipe()
            replaced.gone = True
            self.incoming = self._add_machine("new", 0.2)
        self._trouble_disk()

    def _add_machine(self, name: str, after_s: float) -> Machine:
        world = self.world
        machine = Machine(world, name, f"10.0.{len(world.machines)}.1:7", world.seeds, first=False)
        world.machines.append(machine)
        world.after(after_s, machine.start)
        return machine

    def _leave(self) -> None:
        """Let the outgoing voter ask to leave until it may."""
        process = self.outgoing.process if self.outgoing is not None else None
        if process is not None and process.alive:
            process.run(lambda: _leave(process))
            self.world.after(LEAVE_AGAIN_S, self._leave)

    def _propose(self) -> None:
        self.world.propose()
        self.world.after(PROPOSAL_INTERVAL_S, self._propose)

    def _trouble_disk(self) -> None:
        machine = self.player(self.plan.disk_of)
        if machine is None:
            return
        disk = machine.disk
        disk.delay_s = SLOW_DISK_S if self.plan.disk is DiskFault.SLOW else disk.delay_s
        disk.refusing = self.plan.disk is DiskFault.FULL
        disk.hanging = self.plan.disk is DiskFault.STALLED

    def player(self, part: Victim) -> Machine | None:
        """Return the machine that has a part at present."""
        if part is Victim.INCOMING:
            return self.incoming
        if part is Victim.OUTGOING:
            return self.outgoing
        running = [process for process in self.world.processes() if process.machine is not self.incoming]
        leaders = [process for process in running if process.replica.role is Role.LEADER]
        leader = max(leaders, key=lambda process: process.replica.term, default=None)
        if part is Victim.LEADER:
            return leader.machine if leader is not None else None
        others = [process.machine for process in running if process is not leader]
        return next((machine for machine in others if machine is not self.outgoing), None)

    # The loss

    def strike_at(self, step: int) -> None:
        """Schedule the loss after a step."""
        self._strike_at = step

    def _step(self) -> None:
        self.steps += 1
        if self._strike_at is not None and self.steps == self._strike_at:
            self.world.after(0.0, self.strike)

    def strike(self) -> None:
        """Lose the victim."""
        self.struck = True
        machine = self.player(self.plan.victim)
        loses_disk = self.plan.loss in (Loss.WIPE, Loss.GONE)
        if machine is None or machine.process is None or (loses_disk and not self.scenario.may_lose(machine)):
            self.allowed = False
            return
        self.lost = machine
        if self.plan.loss is Loss.CUT:
            for other in self.world.machines:
                self.world.links[machine.address, other.address] = Link(cut=True)
                self.world.links[other.address, machine.address] = Link(cut=True)
        elif loses_disk:
            machine.wipe()
            machine.gone = self.plan.loss is Loss.GONE
        else:
            machine.stop(power=self.plan.loss is Loss.POWER)

    def tolerated(self) -> bool:
        """Return whether the group must continue with the machines that run.

        A planned replacement loses no replica, so one loss is tolerated at each step. So is one more loss in
        a group of five, and one after `catch-up-s`.
        """
        plan = self.plan
        if plan.disk is not DiskFault.NONE:
            return False
        if plan.kind is Kind.LEAVING or plan.voters > 3 or plan.paused:
            return True
        running = {
            process.replica.replica_id
            for process in self.world.processes()
            if process.machine is not self.lost
        }
        membership = self.world.membership()
        groups = (membership.voters, membership.outgoing_voters)
        return all(
            2 * sum(member.replica_id in running for member in group) > len(group)
            for group in groups
            if group
        )

    # The end

    def commits_within(self, seconds: float) -> bool:
        """Return whether something more is acknowledged within a time."""
        before = self.world.invariants.last_acknowledged
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.run_until(self.world.now + PROPOSAL_INTERVAL_S)
            if self.world.invariants.last_acknowledged > before:
                return True
        return False

    def heal(self) -> None:
        """End all faults; a machine that has gone is replaced."""
        if self.lost is not None and self.lost.gone:
            self._add_machine("successor", 0.2)
        self.scenario.heal()

    def is_over(self) -> bool:
        """Return whether no change is in progress and the group has all its voters, each of them alive."""
        holder = self.world.holder()
        if holder is None or self.world.membership().is_joint:
            return False
        log = holder.replica._core.log
        if log.membership.is_joint or log.last_change_index > holder.replica.commit_index:
            return False
        members = {member.replica_id for member in holder.replica.members}
        alive = {process.replica.replica_id for process in self.world.processes()}
        return len(members) == self.plan.voters and members <= alive and self._replaced(members)

    def _replaced(self, members: set[str]) -> bool:
        """Return whether the successor is a voter, if nothing else was lost."""
        if self.lost is not None or self.incoming is None or self.incoming.process is None:
            return True
        return self.incoming.process.replica.replica_id in members

    def until_over(self, seconds: float) -> bool:
        """Return whether the group becomes healthy in time, and commits."""
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.run_until(self.world.now + 0.1)
            if self.is_over() and self.commits_within(1.0):
                return True
        return False


def _leave(process: Process) -> None:
    process.replica.leave(process.now)


def steps_of(plan: Plan, seed: int) -> int:
    """Return how many steps the replacement takes without any loss. A faulty disk recovers meanwhile."""
    replacement = Replacement(plan, seed)
    replacement.begin()
    world = replacement.world
    end = world.now + REPLACEMENT_S
    world.at(world.now + REPLACEMENT_S / 2, replacement.heal)
    while not replacement.is_over():
        if world.now > end:
            raise ViolationError(f"{plan}, seed {seed}: not over in time: {describe(world)}")
        world.run_until(world.now + 0.05)
    return replacement.steps


def play(plan: Plan, step: int, seed: int) -> Outcome:
    """Run one case.

    Raises:
        ViolationError: An invariant is broken; the message names the case.
    """
    replacement = Replacement(plan, seed)
    try:
        return _play(replacement, step)
    except ViolationError as error:
        now = replacement.world.now
        raise ViolationError(f"{plan}, step {step}, seed {seed}, at {now:.3f} s: {error}") from error


def _play(replacement: Replacement, step: int) -> Outcome:
    world = replacement.world
    replacement.begin()
    if replacement.plan.paused:
        world.run_until(world.now + 0.2 + CATCH_UP_S)
        replacement.strike()
    else:
        replacement.strike_at(step)
        end = world.now + REPLACEMENT_S
        while not replacement.struck:
            if world.now > end or (replacement.is_over() and replacement.steps < step):
                return Outcome.OVER
            world.run_until(world.now + 0.05)
    if not replacement.allowed:
        return Outcome.NOT_ALLOWED
    if replacement.tolerated() and not replacement.commits_within(AVAILABLE_S):
        raise ViolationError(f"not available: {describe(world)}")
    world.run_until(world.now + 0.5)
    replacement.heal()
    if not replacement.until_over(HEALTHY_S):
        raise ViolationError(f"not well: {describe(world)}")
    return Outcome.PLAYED
