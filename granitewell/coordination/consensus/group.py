"""Run a replica on the event loop, with a durable log, a state machine and a way to send messages.

Contract (ready.py gives the reasons): the records of a batch are handed to the disk before its messages are
sent. Messages that claim something is on disk are sent only after the disk has synced the batch. Committed
entries are applied in order, once each. A replica that was removed, or whose log is corrupt, starts again
under a new id, and only after that id is on disk.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random

import logbook

from granitewell.coordination.consensus import codec
from granitewell.coordination.consensus.identity import NodeIdentity, fresh_replica_id, joining_state
from granitewell.coordination.consensus.join_wait import JoinWait
from granitewell.coordination.consensus.log_compaction import LogFileSize, is_compaction_due
from granitewell.coordination.consensus.pending_messages import PendingMessages
from granitewell.coordination.consensus.proposals import Proposals
from granitewell.coordination.consensus.ready import Outgoing, Ready
from granitewell.coordination.consensus.recovery import Recovery, with_first_members
from granitewell.coordination.consensus.replica import Replica
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.state_machine import (
    AppliedState,
    StateMachine,
    StateMachineHaltedError,
)
from granitewell.coordination.consensus.storage import encode_records, state_records
from granitewell.coordination.consensus.types import (
    Member,
    Role,
    StoredState,
)
from granitewell.coordination.consensus.wake_timer import WAKE_GRID_S, WakeTimer
from granitewell.coordination.disk_files import Files, OsFiles
from granitewell.coordination.disk_thread import DiskThread, Executor
from granitewell.coordination.durable_log import DurableLog, WriteFailed
from granitewell.coordination.log_file import LogFile
from granitewell.domain.errors import (
    MalformedFrameError,
    NotLeaderError,
    ProposalLostError,
)

log = logbook.Logger("granitewell.consensus")

SUCCESSOR_WAIT_S = 0.5
"""How long to wait after a leadership transfer until the next leader is known, in seconds."""


@dataclass(frozen=True, slots=True)
class _View:
    """Values whose change is reported by `on_change`."""

    role: Role
    term: int
    leader_address: str | None
    members: tuple[Member, ...]
    applied_index: int


_INITIAL_VIEW = _View(Role.FOLLOWER, 0, None, (), 0)


class ReplicatedGroup:
    """One replica group on this node.

    `granitewell.coordination.consensus.replica` describes what it guarantees. All callbacks run on the event
    loop.

    Args:
        name: Name of the group, the same on all nodes.
        directory: Folder of this group's log, used by no one else.
        identity: Identity of this disk.
        bootstrap: Whether the system starts for the first time.
        seeds: Internal addresses to ask while no member is known.
        target_voters: How many voters the group should have.
        machine: The replicated state machine.
        send: Sends a payload to a peer: (internal address, group name, payload). Delivery is not guaranteed.
        rng: Source of random numbers.
        clock: Steady clock, in seconds.
        settings: Timeouts and limits.
        on_change: Called after the leader, the term, the members or the applied index have changed.
        executor: Runs disk work.
        files: File operations.
    """

    def __init__(
        self,
        *,
        name: str,
        directory: Path,
        identity: NodeIdentity,
        bootstrap: bool,
        seeds: Sequence[str],
        target_voters: int,
        machine: StateMachine,
        send: Callable[[str, str, bytes], None],
        rng: Random,
        clock: Callable[[], float] = time.monotonic,
        settings: ReplicaSettings | None = None,
        on_change: Callable[[], None] | None = None,
        executor: Executor | None = None,
        files: Files | None = None,
    ) -> None:
        self.name = name
        self._directory = directory
        self._identity = with_first_members(identity, bootstrap, seeds)
        self._seeds = tuple(seeds)
        self._target_voters = target_voters
        self._send = send
        self._rng = rng
        self._clock = clock
        self._settings = settings or ReplicaSettings()
        self._on_change = on_change or _do_nothing
        self._executor = executor or DiskThread.shared()
        self._file = LogFile(files or OsFiles(), str(directory), name, lambda: rng.getrandbits(64))
        self._log: DurableLog | None = None
        self._replica: Replica | None = None
        self._view = _INITIAL_VIEW
        self._write = 0
        self._file_size = LogFileSize()
        self._pending = PendingMessages()
        self._proposals = Proposals()
        self._applied = AppliedState(machine, self._proposals)
        self._timer = WakeTimer(clock, lambda: self._tick())
        self._pump_scheduled = False
        self._stopped = False
        self._changed = asyncio.Event()
        self._after_write: dict[int, Callable[[], None]] = {}
        self._disk_failing = False
        self._join_wait = JoinWait(clock())
        self.halted_by: Exception | None = None
        """Error with which the state machine refused a snapshot or an entry; the replica has halted then."""

    # Views

    @property
    def term(self) -> int:
        """Highest term known to this replica."""
        return self._replica.term if self._replica else 0

    @property
    def is_leader(self) -> bool:
        """Whether this replica considers itself the leader; see `holds_lease` for certainty."""
        return self._replica is not None and self._replica.role is Role.LEADER

    @property
    def leader_address(self) -> str | None:
        """Internal address of the leader, if known."""
        return self._replica.leader_address if self._replica else None

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters in force."""
        return self._replica.members if self._replica else ()

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the state machine has applied."""
        return self._applied.index

    @property
    def replica_id(self) -> str:
        """Id of this replica; "" before it is loaded."""
        return self._replica.replica_id if self._replica else ""

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote, as far as it knows."""
        return any(member.replica_id == self.replica_id for member in self.members)

    def holds_lease(self) -> bool:
        """Return whether this replica is the only possible leader and has applied every committed entry."""
        replica = self._replica
        return (
            replica is not None
            and replica.holds_lease(self._clock())
            and self._applied.index >= replica.commit_index
        )

    def read_staleness_s(self) -> float:
        """Return an upper bound on the age of the local state, in seconds.

        The state contains every entry that was committed that many seconds ago. The bound is 0 while this
        replica holds the lease.
        """
        return self._replica.read_staleness(self._clock()) if self._replica else math.inf

    def seconds_since_contact(self, address: str) -> float:
        """Return the seconds since this leader heard from the member at an internal address.

        Infinite if this replica does not lead or no member has that address.
        """
        return self._replica.seconds_since_contact(address, self._clock()) if self._replica else math.inf

    # Lifecycle

    async def start(self) -> None:
        """Load the log, or create and sync it, and join the group.

        Waits for the disk as long as necessary.
        """
        loop = asyncio.get_running_loop()
        self._applied.remember_empty()
        recovery = Recovery(self.name, self._identity, self._file, self._executor)
        loaded = await recovery.load()
        self._log = DurableLog(
            self._file,
            self._executor,
            lambda call: _ignore(loop.call_soon_threadsafe(call)),
            lambda delay_s, call: _ignore(loop.call_later(delay_s, call)),
            self._on_synced,
            self._on_failed,
        )
        self._file_size.grow(self._file.length)
        if loaded is not None:
            self._begin(loaded, fresh=False)
            return
        made = asyncio.Event()
        self._make(recovery.new_state(), made.set)
        await made.wait()

    def _make(self, state: StoredState, made: Callable[[], None]) -> None:
        """Create a new log in place of the existing one; join the group once it is on disk."""
        assert self._log is not None
        self._write += 1

        def begin() -> None:
            self._begin(state, fresh=True)
            made()

        self._after_write[self._write] = begin
        payload = encode_records(state_records(state))
        self._log.rewrite(self._write, payload, optional=False)
        self._file_size.rewrite(len(payload))

    def _begin(self, state: StoredState, *, fresh: bool) -> None:
        identity = self._identity
        self._join_wait = JoinWait(self._clock())
        self._replica = Replica(
            me=Member(state.replica_id, identity.node_name, identity.address),
            state=state,
            settings=self._settings,
            target_voters=self._target_voters,
            seeds=self._seeds,
            rng=self._rng,
            now=self._clock(),
            fresh=fresh,
        )
        self._pump()

    async def stop(self) -> None:
        """Leave the group's work at once. Pending proposals are not answered."""
        self._stopped = True
        self._replica = None
        self._timer.cancel()
        if self._log is not None:
            self._log.close()
        self._proposals.lose(math.inf)

    async def transfer(self) -> None:
        """Transfer leadership if this replica leads; return once another replica leads or none can."""
        replica = self._replica
        if replica is None or not replica.transfer(self._clock()):
            return
        self._pump()
        with suppress(TimeoutError):
            async with asyncio.timeout(self._settings.transfer_s + SUCCESSOR_WAIT_S):
                while self.is_leader or self.leader_address is None:
                    self._changed.clear()
                    await self._changed.wait()

    async def leave(self) -> None:
        """Prepare for a shutdown.

        A learner takes this voter's place, or others copy what only this replica has. Returns once that is
        done, once it is impossible, or after `leave_s`.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(self._settings.leave_s):
                while (replica := self._replica) is not None and replica.leave(self._clock()):
                    self._pump()
                    await asyncio.sleep(WAKE_GRID_S)

    def set_seeds(self, addresses: Sequence[str]) -> None:
        """Set the internal addresses to ask while no member is known."""
        self._seeds = tuple(addresses)
        if self._replica is not None:
            self._replica.seeds = self._seeds

    # Events

    def receive(self, sender_address: str, payload: bytes) -> None:
        """Handle a message of this group. Malformed messages are dropped."""
        replica = self._replica
        if replica is None:
            return
        try:
            message = codec.decode(payload)
        except MalformedFrameError as error:
            log.debug("malformed message", group=self.name, sender=sender_address, error=str(error))
            return
        replica.receive(sender_address, message, self._clock())
        self._pump()

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        """Replicate an entry and return the state machine's result for it on this node.

        Raises:
            NotLeaderError: This replica does not lead; the entry was not appended.
            ProposalLostError: The outcome is unknown; the entry may be committed or not.
        """
        replica = self._replica
        if replica is None:
            raise NotLeaderError(None)
        future = self._proposals.wait(replica.propose(data, self._clock()))
        self._pump_soon()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise ProposalLostError(f"no outcome in {timeout_s} s") from error

    def _tick(self) -> None:
        if self._replica is not None:
            self._replica.tick(self._clock())
            self._pump()
            self._warn_if_not_joined()

    def _warn_if_not_joined(self) -> None:
        waiting_s = self._join_wait.overdue_s(bool(self.members), self._clock())
        if waiting_s is not None:
            log.warning(
                "replica waits to join its group",
                group=self.name,
                waiting_s=waiting_s,
                asked=",".join(self._seeds),
            )

    def _on_synced(self, write: int) -> None:
        self._disk_failing = False
        released = self._pending.release(write)
        for done in [number for number in self._after_write if number <= write]:
            self._after_write.pop(done)()
        if self._replica is None:
            return
        self._send_all(released.messages)
        self._replica.persisted(released.batch, self._clock())
        self._pump()

    def _on_failed(self, failure: WriteFailed) -> None:
        if not self._disk_failing:
            log.warning("disk refuses to write", group=self.name, reason=failure.reason)
        self._disk_failing = True
        if self._replica is not None:
            self._replica.disk_failed(self._clock())
            self._schedule()

    # Work

    def _pump_soon(self) -> None:
        """Process the replica's output after this turn of the loop.

        That batches the proposals of one turn.
        """
        if not self._pump_scheduled:
            self._pump_scheduled = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        """Process everything that the replica has ready."""
        self._pump_scheduled = False
        while (replica := self._replica) is not None:
            ready = replica.ready(self._clock())
            if ready is not None:
                self._process(ready)
            elif replica.removed:
                self._restart_as_new_replica()
            else:
                break
        self._compact()
        self._schedule()
        self._report_change()

    def _process(self, ready: Ready) -> None:
        try:
            if ready.restore is not None:
                self._applied.restore(ready.restore)
            self._persist(ready)
            self._send_all(ready.messages)
            self._applied.apply(ready.committed)
        except StateMachineHaltedError as halted:
            self._halt(halted)

    def _persist(self, ready: Ready) -> None:
        if ready.records:
            assert self._log is not None
            payload = encode_records(ready.records)
            self._write += 1
            self._file_size.grow(len(payload))
            self._log.append(self._write, payload)
        if ready.records or ready.synced_messages:
            self._pending.add(self._write, ready.batch, ready.synced_messages)

    def _send_all(self, messages: Sequence[Outgoing]) -> None:
        for outgoing in messages:
            self._send(outgoing.address, self.name, codec.encode(outgoing.message))

    def _halt(self, halted: StateMachineHaltedError) -> None:
        """Take no further part until the process is restarted."""
        log.error("replica halted", group=self.name, reason=halted.reason, error=str(halted.error))
        self.halted_by = halted.error
        self._replica = None
        self._proposals.lose(math.inf)

    def _restart_as_new_replica(self) -> None:
        """Forget all state after a removal, and join the group under a new id."""
        log.info("replica was removed; joins under a new id", group=self.name, replica_id=self.replica_id)
        self._replica = None
        self._pending.clear()
        self._proposals.lose(math.inf)
        self._applied.reset()
        self._make(joining_state(fresh_replica_id()), _do_nothing)

    def _compact(self) -> None:
        """Compact the log and its file if they are long."""
        replica = self._replica
        if replica is None or self._log is None:
            return
        now = self._clock()
        if not is_compaction_due(replica, self._file_size, self._applied.index, self._settings, now):
            return
        replica.compact(self._applied.index, self._applied.snapshot())
        payload = encode_records(state_records(replica.stored_state()))
        self._log.rewrite(self._write, payload, optional=True)
        self._file_size.rewrite(len(payload))

    def _schedule(self) -> None:
        if self._replica is not None and not self._stopped:
            self._timer.schedule(self._replica.wake_at)

    def _report_change(self) -> None:
        replica = self._replica
        if replica is None:
            return
        view = _View(replica.role, replica.term, replica.leader_address, replica.members, self._applied.index)
        if view != self._view:
            self._view = view
            self._changed.set()
            self._on_change()


def _do_nothing() -> None:
    """Default `on_change`: report to no one."""


def _ignore(value: object) -> None:
    """Discard a result."""
