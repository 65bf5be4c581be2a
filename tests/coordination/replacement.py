"""A replacement of a voter, with one more loss at a chosen step of it.

A step is a write that is synced or a message (no heartbeat) that has come. `play` plays one case: a group of
three or five, one kind of replacement, a disk in trouble, and a loss at step n of the replacement. Of every
event the invariants of world.py must hold; on top of them:

- Where the group has lost no more than it tolerates, it commits again while the lost machine is still lost.
- After the end of all troubles it commits, no change is under way, and all voters are alive and as many as
  there should be.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import product

from granitewell.coordination.consensus.types import Role
from tests.coordination.faults import Day, describe
from tests.coordination.invariants import ViolationError
from tests.coordination.world import Link, Machine, Process, World

SETTLED_S = 4.0
"""By this time of a day there is a leader, and a spare has caught up."""

PROPOSE_EVERY_S = 0.2
REPLACEMENT_S = 8.0
"""A replacement without any loss takes less than this."""

AVAILABLE_S = 4.0
"""A group that has lost no more than it tolerates commits again within this time.

An election, and a leader whose disk hangs (`disk_stall_s`).
"""

CATCH_UP_S = 4.0
"""As `catch-up-s` of the small sites."""

WELL_S = 10.0
SLOW_DISK_S = 0.2
LEAVE_AGAIN_S = 0.15


class Kind(Enum):
    """What is replaced by what."""

    WIPED = "the same machine with an empty disk"
    NEW = "a new machine for one that is gone"
    LEAVING = "a spare for one that asks to leave and still answers"


class Victim(Enum):
    """Who is lost at the step."""

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


class DiskTrouble(Enum):
    """What a disk does during the replacement."""

    NONE = "none"
    SLOW = "slow"
    FULL = "full"
    STALLED = "stalled"


@dataclass(frozen=True)
class Plan:
    """All of a case but its step.

    Attributes:
        leads: Whether the voter that is replaced leads.
        disk_of: Whose disk is in trouble.
        paused: The loss comes `catch-up-s` after the successor's start, whatever the step.
    """

    voters: int
    kind: Kind
    leads: bool
    victim: Victim
    loss: Loss
    disk: DiskTrouble
    disk_of: Victim
    paused: bool = False

    def __str__(self) -> str:
        who = "leader" if self.leads else "follower"
        disk = "" if self.disk is DiskTrouble.NONE else f", {self.disk.value} disk of {self.disk_of.value}"
        when = ", after catch-up-s" if self.paused else ""
        return (
            f"{self.voters} voters, {self.kind.name} {who}{disk}, {self.loss.value} of {self.victim.value}"
            f"{when}"
        )


def plans(paused: bool = False) -> Iterator[Plan]:
    """All of them."""
    disks = [(DiskTrouble.NONE, Victim.LEADER)]
    disks += product(
        (DiskTrouble.SLOW, DiskTrouble.FULL, DiskTrouble.STALLED),
        (Victim.LEADER, Victim.FOLLOWER, Victim.INCOMING),
    )
    for voters, kind, leads, victim, loss, disk in product((3, 5), Kind, (True, False), Victim, Loss, disks):
        if victim is not Victim.OUTGOING or (kind is Kind.LEAVING and not paused):
            yield Plan(voters, kind, leads, victim, loss, *disk, paused)


class Outcome(Enum):
    """What came of a case."""

    PLAYED = "played"
    NOT_ALLOWED = "not allowed"
    """The disks that are left would be no quorum, or nobody plays that part at that step."""

    OVER = "over"
    """The replacement has fewer steps."""


class Replacement:
    """One day with a replacement in it."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.world = World(seed, machines=plan.voters)
        self.day = Day(self.world)
        self.steps = 0
        self.incoming: Machine | None = None
        self.outgoing: Machine | None = None
        self._strike_at: int | None = None
        self.struck = False
        self.lost: Machine | None = None
        self.allowed = True

    # The replacement

    def begin(self) -> None:
        """Come to a group that is well, and begin."""
        world = self.world
        spare = self._add_machine("spare", 0.0) if self.plan.kind is Kind.LEAVING else None
        world.run_until(SETTLED_S)
        self._propose()
        world.run_until(world.now + 0.5)
        holder = world.holder()
        if holder is None:
            raise ViolationError("no leader on a quiet day")
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
        """The outgoing voter asks until it is let go."""
        process = self.outgoing.process if self.outgoing is not None else None
        if process is not None and process.alive:
            process.run(lambda: _leave(process))
            self.world.after(LEAVE_AGAIN_S, self._leave)

    def _propose(self) -> None:
        self.world.propose()
        self.world.after(PROPOSE_EVERY_S, self._propose)

    def _trouble_disk(self) -> None:
        machine = self.player(self.plan.disk_of)
        if machine is None:
            return
        disk = machine.disk
        disk.delay_s = SLOW_DISK_S if self.plan.disk is DiskTrouble.SLOW else disk.delay_s
        disk.refusing = self.plan.disk is DiskTrouble.FULL
        disk.hanging = self.plan.disk is DiskTrouble.STALLED

    def player(self, part: Victim) -> Machine | None:
        """Who plays a part now."""
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
        """The loss comes after this step."""
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
        if machine is None or machine.process is None or (loses_disk and not self.day.may_lose(machine)):
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
        """Whether the group must go on with the machines that run.

        A planned replacement loses nobody, so one loss is tolerated at each step; so is one more of five, and
        one after `catch-up-s`.
        """
        plan = self.plan
        if plan.disk is not DiskTrouble.NONE:
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
        """Whether something more is acknowledged."""
        before = self.world.invariants.last_acknowledged
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.run_until(self.world.now + PROPOSE_EVERY_S)
            if self.world.invariants.last_acknowledged > before:
                return True
        return False

    def heal(self) -> None:
        """All is well again; a machine that is gone has a successor."""
        if self.lost is not None and self.lost.gone:
            self._add_machine("successor", 0.2)
        self.day.heal()

    def is_over(self) -> bool:
        """Whether no change is under way, and all voters are alive and as many as there should be."""
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
        """Where nothing was lost on the way, the successor is a voter."""
        if self.lost is not None or self.incoming is None or self.incoming.process is None:
            return True
        return self.incoming.process.replica.replica_id in members

    def until_over(self, seconds: float) -> bool:
        """Whether the group gets well in time, and commits."""
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.run_until(self.world.now + 0.1)
            if self.is_over() and self.commits_within(1.0):
                return True
        return False


def _leave(process: Process) -> None:
    process.replica.leave(process.now)


def steps_of(plan: Plan, seed: int) -> int:
    """How many steps the replacement has, without any loss. Disks are well again after a while."""
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
    """One case; raises Violation, which names it."""
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
    if not replacement.until_over(WELL_S):
        raise ViolationError(f"not well: {describe(world)}")
    return Outcome.PLAYED
