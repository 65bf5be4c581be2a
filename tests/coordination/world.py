"""A simulated group: virtual time, a network and disks with faults, and invariants checked after each event.

All randomness comes from one seed. Replicas are the real ones; `Process` stands for the part that runs them,
and handles records instead of bytes. A broken invariant raises `ViolationError`, which names the seed.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from granitewell.coordination.consensus.identity import (
    NodeIdentity,
    first_replica_id,
    first_state,
    joining_state,
)
from granitewell.coordination.consensus.messages import Heartbeat, HeartbeatReply, Message
from granitewell.coordination.consensus.ready import Outgoing, Ready
from granitewell.coordination.consensus.replica import Replica
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.storage import replay, state_records
from granitewell.coordination.consensus.types import (
    Entry,
    Identity,
    Member,
    Membership,
    Record,
    Role,
    StoredState,
)
from granitewell.domain.errors import NotLeaderError, ProposalLostError
from tests.coordination.invariants import Invariants, ViolationError

MAX_DRIFT = 0.001
DISK_RETRY_S = 0.1
WAKE_GRID_S = 0.05
SETTINGS = ReplicaSettings(compact_entries=12)


@dataclass
class Rewrite:
    """Marks, among written records, a file that replaces all earlier ones."""

    records: list[Record]


@dataclass
class Disk:
    """Contents of a machine's disk.

    Attributes:
        unsynced: Records that were written but not synced; a power loss keeps or loses them.
    """

    synced: list[Record] = field(default_factory=list)
    unsynced: list[Record | Rewrite] = field(default_factory=list)
    delay_s: float = 0.001
    refusing: bool = False
    hanging: bool = False

    def settle(self, kept: bool) -> list[Record]:
        """Sync the unsynced records, all of them because they are one frame, or lose them.

        Returns the records that were synced.
        """
        pending, self.unsynced = self.unsynced, []
        arrived: list[Record] = []
        for record in pending if kept else []:
            if isinstance(record, Rewrite):
                self.synced = list(record.records)
                arrived += record.records
            else:
                self.synced.append(record)
                arrived.append(record)
        return arrived

    def state(self) -> StoredState | None:
        """Return the state from which a replica starts on this disk."""
        return replay(self.synced) if self.synced else None


class Process:
    """One run of a replica on a machine, in place of `ReplicatedGroup`."""

    def __init__(self, world: World, machine: Machine, state: StoredState, fresh: bool) -> None:
        self.world = world
        self.machine = machine
        self.alive = True
        self.frozen = False
        self.parked: list[Callable[[], None]] = []
        self.applied_index = 0
        self.chain = b"0"
        self.waiting: dict[int, int] = {}
        self._writing = False
        self._queue: list[tuple[int, tuple[Record | Rewrite, ...]]] = []
        self._held: list[tuple[int, int, tuple[Outgoing, ...]]] = []
        self._write = 0
        self._wake_at = float("inf")
        self._led_term = 0
        self.replica = self._replica(state, fresh)

    def _replica(self, state: StoredState, fresh: bool) -> Replica:
        return Replica(
            me=Member(state.replica_id, self.machine.name, self.machine.address),
            state=state,
            settings=self.world.settings,
            target_voters=self.world.target_voters,
            seeds=self.world.control_addresses(self.machine),
            rng=self.world.rng,
            now=self.now,
            fresh=fresh,
        )

    @property
    def now(self) -> float:
        """Time of this machine's steady clock."""
        return self.machine.clock(self.world.now)

    def run(self, work: Callable[[], None]) -> None:
        """Run work in this process, after it has thawed if it is frozen."""
        if not self.alive:
            return
        if self.frozen:
            self.parked.append(work)
            return
        work()
        if self.alive:
            self.pump()

    def thaw(self) -> None:
        """Unfreeze, and do all work that has arrived meanwhile."""
        self.frozen = False
        parked, self.parked = self.parked, []
        parked.insert(self.world.rng.randrange(len(parked) + 1), self.tick)
        for work in parked:
            self.run(work)
            self.world.check()

    def tick(self) -> None:
        """Handle expired timers."""
        self._wake_at = float("inf")
        self.replica.tick(self.now)

    def receive(self, address: str, message: Message) -> None:
        """Receive a message."""
        self.run(lambda: self.replica.receive(address, message, self.now))

    def propose(self, data: bytes) -> None:
        """Propose a client's data."""
        try:
            position = self.replica.propose(data, self.now)
        except (NotLeaderError, ProposalLostError):
            return
        self.waiting[position.index] = position.term

    def pump(self) -> None:
        """Process everything that the replica has ready."""
        replica = self.replica
        while (ready := replica.ready(self.now)) is not None:
            self._do(ready)
        if replica.removed:
            self._restart_as_new_replica()
            return
        if replica.role is Role.LEADER and self._led_term != replica.term:
            self._led_term = replica.term
            self.world.invariants.check_leader(replica)
        self._compact()
        self._schedule()

    def _do(self, ready: Ready) -> None:
        if ready.records:
            self._write += 1
            self._check_entries(ready.records)
            self._queue.append((self._write, ready.records))
            self._next_write()
        if ready.records or ready.synced_messages:
            self._hold(ready)
        self._send(ready.messages)
        self._apply(ready)

    def _hold(self, ready: Ready) -> None:
        self._held.append((self._write, ready.batch, ready.synced_messages))

    def _check_entries(self, records: tuple[Record, ...]) -> None:
        log = self.replica._core.log
        for record in records:
            if isinstance(record, Entry) and record.index > log.snapshot.index + 1:
                previous = log.term_at(record.index - 1)
                if log.term_at(record.index) == record.term and previous is not None:
                    self.world.invariants.check_log_entry(record, previous)

    def _send(self, messages: tuple[Outgoing, ...]) -> None:
        for outgoing in messages:
            if outgoing.message.sender == self.replica.replica_id:
                self.world.invariants.check_message(outgoing.message)
            self.world.send(self.machine.address, outgoing)

    def _apply(self, ready: Ready) -> None:
        world = self.world
        if ready.restore is not None:
            self.applied_index = ready.restore.index
            self.chain = ready.restore.data or b"0"
            if world.invariants.chain.get(self.applied_index) != self.chain:
                raise ViolationError(f"a snapshot at {self.applied_index} differs")
        for entry in ready.committed:
            if entry.index != self.applied_index + 1:
                raise ViolationError(f"applied {entry.index} after {self.applied_index}")
            log = self.replica._core.log
            membership = log.membership_at(entry.index)
            world.invariants.commit(entry, self.replica.term, membership, log.membership)
            self.applied_index = entry.index
            self.chain = b"%x" % crc32(b"%d %s" % (entry.term, entry.data), int(self.chain, 16))
            world.invariants.chain.setdefault(entry.index, self.chain)
            if self.waiting.pop(entry.index, None) == entry.term:
                world.invariants.last_acknowledged = max(world.invariants.last_acknowledged, entry.index)
                world.acknowledged()

    def _compact(self) -> None:
        replica = self.replica
        long = replica.log_entries > self.world.settings.compact_entries
        if long and self.applied_index > replica.snapshot_index:
            replica.compact(self.applied_index, self.chain)
            self._write += 1
            self._queue.append((self._write, (Rewrite(state_records(replica.stored_state())),)))
            self._next_write()

    def _schedule(self) -> None:
        at = self.replica.wake_at
        at += -at % WAKE_GRID_S
        if at < self._wake_at:
            self._wake_at = at
            self.world.at(self.machine.true_time(at), lambda: self._wake(at))

    def _wake(self, at: float) -> None:
        if self._wake_at == at:
            self.run(self.tick)

    # The disk

    def _next_write(self) -> None:
        if self._writing or not self._queue:
            return
        self._writing = True
        joined: list[Record | Rewrite] = []
        number = 0
        while self._queue:
            number, records = self._queue.pop(0)
            joined += records
        self._try_write(number, joined)

    def _try_write(self, number: int, records: list[Record | Rewrite]) -> None:
        disk = self.machine.disk
        if not self.alive:
            return
        if disk.refusing:
            self.run(lambda: self.replica.disk_failed(self.now))
            self.world.after(DISK_RETRY_S, lambda: self._try_write(number, records))
            return
        if disk.hanging:
            self.world.after(DISK_RETRY_S, lambda: self._try_write(number, records))
            return
        disk.unsynced = records
        self.world.after(disk.delay_s, lambda: self._synced(number, records))

    def _synced(self, number: int, records: list[Record | Rewrite]) -> None:
        disk = self.machine.disk
        if not self.alive or disk.unsynced is not records:
            return
        self.world.invariants.on_disk(self.replica.replica_id, disk.settle(kept=True))
        self.world.step()
        self.run(lambda: self._written(number))

    def _written(self, number: int) -> None:
        self._writing = False
        batch = 0
        while self._held and self._held[0][0] <= number:
            _, batch, messages = self._held.pop(0)
            self._send(messages)
        self.replica.persisted(batch, self.now)
        self._next_write()

    def _restart_as_new_replica(self) -> None:
        """Stop, and continue with a new log, because the replica was removed from the group."""
        self.alive = False
        self.machine.stop(power=False)
        self.world.after(self.machine.disk.delay_s, self.machine.forget)


class Machine:
    """A machine: an address, a drifting clock, a disk, and at most one process."""

    def __init__(self, world: World, name: str, address: str, seeds: tuple[str, ...], first: bool) -> None:
        self.world = world
        self.name = name
        self.address = address
        self.seeds = seeds
        self.first = first
        self.disk = Disk()
        self.process: Process | None = None
        self.gone = False
        self.rate = 1 + world.rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        self.offset = world.rng.uniform(0, 1000)

    def clock(self, true_time: float) -> float:
        """Return the time of this machine's steady clock."""
        return self.offset + true_time * self.rate

    def true_time(self, clock: float) -> float:
        """Return the simulated time at which this machine's clock shows a time."""
        return (clock - self.offset) / self.rate

    def forget(self) -> None:
        """Replace a removed replica's log with a new one, unless the process has died before."""
        if self.process is None:
            self.wipe()
            self.start()

    def start(self) -> None:
        """Start the process, unless it is running."""
        if self.process is not None or self.gone:
            return
        state = self.disk.state()
        fresh = state is None
        if state is None:
            state = self._first_state()
            self.disk.synced = state_records(state)
        self.process = Process(self.world, self, state, fresh)
        self.process.run(lambda: None)

    def _first_state(self) -> StoredState:
        if self.first:
            identity = NodeIdentity(self.name, self.address, first_replica_id(self.address), self.seeds)
            return first_state(identity)
        return joining_state(f"{self.world.rng.getrandbits(64):016x}")

    def stop(self, power: bool) -> None:
        """Kill the process, or cut the machine's power."""
        if self.process is None:
            return
        replica_id = self.process.replica.replica_id
        self.process.alive = False
        self.process = None
        arrived = self.disk.settle(kept=not power or self.world.rng.random() < 0.5)
        self.world.invariants.on_disk(replica_id, arrived)

    def wipe(self) -> None:
        """Lose the disk and the process."""
        state = self.disk.state()
        if state is not None:
            self.world.invariants.dead_ids.add(state.replica_id)
        self.stop(power=True)
        self.disk = Disk()
        self.first = False


@dataclass
class Link:
    """Faults of messages between two machines."""

    loss: float = 0.0
    slow_s: float = 0.0
    duplicate: float = 0.0
    cut: bool = False


class World:
    """Machines, links and simulated time."""

    def __init__(self, seed: int, machines: int = 3, settings: ReplicaSettings = SETTINGS) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.settings = settings
        self.target_voters = machines
        self.now = 0.0
        self.invariants = Invariants()
        self.beyond_tolerance = False
        self.on_acknowledged: Callable[[], None] | None = None
        self.on_step: Callable[[], None] | None = None
        self.default_link = Link()
        self.links: dict[tuple[str, str], Link] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._proposals = 0
        self.machines: list[Machine] = []
        self.seeds = tuple(f"10.0.0.{number}:7" for number in range(1, machines + 1))
        for number, address in enumerate(self.seeds):
            self.machines.append(Machine(self, f"core-{number}", address, self.seeds, first=True))
        for machine in self.machines:
            self.after(self.rng.uniform(0, 0.3), machine.start)

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (max(time, self.now), self._sequence, call))

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self.at(self.now + delay_s, call)

    def run_until(self, end: float) -> None:
        """Process events until a time, and check the invariants after each."""
        events = self._events
        while events and events[0][0] <= end:
            self.now, _, call = heapq.heappop(events)
            call()
            self.check()
        self.now = end

    def check(self) -> None:
        """Check the invariants of leases."""
        holders = [process for process in self.processes() if process.replica.holds_lease(process.now)]
        if holders:
            self.invariants.check_leases([process.applied_index for process in holders])

    def processes(self) -> list[Process]:
        """Return all processes that run and are not frozen."""
        return [
            machine.process for machine in self.machines if machine.process and not machine.process.frozen
        ]

    def send(self, sender: str, outgoing: Outgoing) -> None:
        """Send a message, which may be lost, delayed or duplicated."""
        link = self.links.get((sender, outgoing.address), self.default_link)
        rng = self.rng
        if link.cut or (link.loss and rng.random() < link.loss):
            return
        delay_s = 0.0005 + rng.random() * (0.002 + link.slow_s)
        self.after(delay_s, lambda: self._deliver(sender, outgoing))
        if link.duplicate and rng.random() < link.duplicate:
            self.after(delay_s + rng.random() * 2, lambda: self._deliver(sender, outgoing))

    def _deliver(self, sender: str, outgoing: Outgoing) -> None:
        for machine in self.machines:
            if machine.address == outgoing.address and machine.process is not None:
                machine.process.receive(sender, outgoing.message)
        if not isinstance(outgoing.message, Heartbeat | HeartbeatReply):
            self.step()

    def step(self) -> None:
        """Record a step: a write was synced, or a message other than a heartbeat has arrived."""
        if self.on_step is not None:
            self.on_step()

    def acknowledged(self) -> None:
        """Record that a client's proposal was acknowledged."""
        if self.on_acknowledged is not None:
            self.after(0.0, self.on_acknowledged)

    def control_addresses(self, machine: Machine) -> tuple[str, ...]:
        """Return the seeds in a machine's settings at its start: the present machines, or an old list."""
        if self.rng.random() < 0.3:
            return machine.seeds
        return tuple(other.address for other in self.machines if not other.gone)

    def propose(self) -> None:
        """Propose data to each replica that considers itself the leader."""
        for process in self.processes():
            if process.replica.role is Role.LEADER:
                self._proposals += 1
                data = b"%d" % self._proposals
                process.run(lambda process=process, data=data: process.propose(data))  # type: ignore[misc]

    def holder(self) -> Process | None:
        """Return the process that holds the lease."""
        for process in self.processes():
            if process.replica.holds_lease(process.now):
                return process
        return None

    def intact_voters(self) -> list[Machine]:
        """Return the machines whose disk holds a voter of the last committed membership."""
        ids = {member.replica_id for member in self.membership().all_voters()}
        return [machine for machine in self.machines if not machine.gone and replica_id(machine.disk) in ids]

    def membership(self) -> Membership:
        """Return the last committed membership."""
        if self.invariants.membership.voters:
            return self.invariants.membership
        return Membership(tuple(Member(first_replica_id(seed), "", seed) for seed in self.seeds))


def replica_id(disk: Disk) -> str:
    """Return the replica id on a disk, "" if there is none."""
    for record in disk.synced:
        if isinstance(record, Identity):
            return record.replica_id
    return ""
