"""The shell of a replica: runs it on the event loop, with a durable log, a state machine and a way to send.

The contract (ready.py says why): what a batch has to persist is handed to the disk before anything of the
batch is sent; what claims to be on the disk is sent only once the disk has synced the batch; committed
entries are applied in order, once each. A replica that was removed, or whose log is damaged, starts anew
under a fresh id, and only once that id is on the disk.
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
from typing import Protocol

import logbook

from granitewell.coordination.consensus import codec
from granitewell.coordination.consensus.identity import NodeIdentity, fresh_replica_id, joining_state
from granitewell.coordination.consensus.pending_messages import PendingMessages
from granitewell.coordination.consensus.proposals import Proposals
from granitewell.coordination.consensus.ready import Outgoing, Ready
from granitewell.coordination.consensus.recovery import Recovery, with_first_members
from granitewell.coordination.consensus.replica import Replica
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.storage import encode_records, state_records
from granitewell.coordination.consensus.types import (
    Entry,
    EntryKind,
    Member,
    Role,
    Snapshot,
    StoredState,
)
from granitewell.coordination.disk_files import Files, OsFiles
from granitewell.coordination.disk_thread import DiskThread, Executor
from granitewell.coordination.durable_log import DurableLog, WriteFailed
from granitewell.coordination.log_file import LogFile
from granitewell.domain.errors import (
    MalformedFrameError,
    NotLeaderError,
    ProposalLostError,
    UnknownFormatError,
)

log = logbook.Logger("granitewell.consensus")

WAKE_GRID_S = 0.05
"""Timers of all groups fire on common multiples of this, so that one wake-up serves them all."""

MIN_DELAY_S = 0.01
"""Of a timer: event loops may fire a moment early, and must not be asked again at once."""

SUCCESSOR_KNOWN_S = 0.5
"""After a hand-over, how long to wait until the next leader is known."""


CATCH_UP_PATIENCE = 4
"""How many times longer the log may get while a peer catches up.

Compacted at once, it would lose the entries that the peer needs after its snapshot, and the transfer would
begin again.
"""


class StateMachine(Protocol):
    """What a group replicates. Must be deterministic; starts empty."""

    def apply(self, index: int, data: bytes) -> object:
        """Take a committed entry; the result goes to who proposed it, on this node."""

    def snapshot(self) -> bytes:
        """All of the state."""

    def restore(self, data: bytes) -> None:
        """Replace the state."""


@dataclass(frozen=True, slots=True)
class _View:
    """What on_change is about."""

    role: Role
    term: int
    leader_address: str | None
    members: tuple[Member, ...]
    applied_index: int


_NOTHING_YET = _View(Role.FOLLOWER, 0, None, (), 0)


class ReplicatedGroup:
    """One replica group on this node.

    See `granitewell.coordination.consensus.replica` for what it guarantees.

    directory: this group's own. send: (peer's internal address, group name, payload), fire and forget.
    on_change: leader, term, members or the applied index have changed. All calls are made on the event loop.
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
        self._machine = machine
        self._send = send
        self._rng = rng
        self._clock = clock
        self._settings = settings or ReplicaSettings()
        self._on_change = on_change or _nothing
        self._executor = executor or DiskThread.shared()
        self._file = LogFile(files or OsFiles(), str(directory), name, lambda: rng.getrandbits(64))
        self._log: DurableLog | None = None
        self._replica: Replica | None = None
        self._empty_machine = b""
        self._applied_index = 0
        self._view = _NOTHING_YET
        self._write = 0
        self._written_bytes = 0
        self._rewritten_bytes = 0
        self._pending = PendingMessages()
        self._proposals = Proposals()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self._pump_scheduled = False
        self._stopped = False
        self._changed = asyncio.Event()
        self._after_write: dict[int, Callable[[], None]] = {}
        self._disk_failing = False
        self.halted_by: Exception | None = None
        """What the state machine said of a snapshot that it can't take; this replica is out of work then."""

    # Views

    @property
    def term(self) -> int:
        """The newest term known here."""
        return self._replica.term if self._replica else 0

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows; `holds_lease` says whether it surely does."""
        return self._replica is not None and self._replica.role is Role.LEADER

    @property
    def leader_address(self) -> str | None:
        """The leader's internal address, where one is known."""
        return self._replica.leader_address if self._replica else None

    @property
    def members(self) -> tuple[Member, ...]:
        """The voters in force here."""
        return self._replica.members if self._replica else ()

    @property
    def applied_index(self) -> int:
        """The last entry that the state machine has taken."""
        return self._applied_index

    @property
    def replica_id(self) -> str:
        """This replica's id in this group, "" before it is loaded."""
        return self._replica.replica_id if self._replica else ""

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote, as far as it knows."""
        return any(member.replica_id == self.replica_id for member in self.members)

    def holds_lease(self) -> bool:
        """Whether this replica leads, no other can now, and its state machine has all that was ever
        committed.
        """
        replica = self._replica
        return (
            replica is not None
            and replica.holds_lease(self._clock())
            and self._applied_index >= replica.commit_index
        )

    def read_staleness_s(self) -> float:
        """The state here holds all that was committed this many seconds ago.

        0 where this replica holds the lease.
        """
        return self._replica.read_staleness(self._clock()) if self._replica else math.inf

    def seconds_since_contact(self, address: str) -> float:
        """Seconds since this leader heard a member at an internal address.

        Infinite where it leads nobody there.
        """
        return self._replica.seconds_since_contact(address, self._clock()) if self._replica else math.inf

    # Life

    async def start(self) -> None:
        """Load the log, or make it and sync it, and take part. Waits for the disk as long as it takes."""
        loop = asyncio.get_running_loop()
        self._empty_machine = self._machine.snapshot()
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
        self._written_bytes = self._file.length
        if loaded is not None:
            self._begin(loaded, fresh=False)
            return
        made = asyncio.Event()
        self._make(recovery.new_state(), made.set)
        await made.wait()

    def _make(self, state: StoredState, made: Callable[[], None]) -> None:
        """Make a new log in place of what is there; take part once it is on the disk."""
        assert self._log is not None
        self._write += 1

        def begin() -> None:
            self._begin(state, fresh=True)
            made()

        self._after_write[self._write] = begin
        payload = encode_records(state_records(state))
        self._log.rewrite(self._write, payload, optional=False)
        self._written_bytes = self._rewritten_bytes = len(payload)

    def _begin(self, state: StoredState, *, fresh: bool) -> None:
        identity = self._identity
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
        """Take no part any more. Nothing that is under way is answered."""
        self._stopped = True
        self._replica = None
        if self._timer is not None:
            self._timer.cancel()
        if self._log is not None:
            self._log.close()
        self._proposals.lose(math.inf)

    async def transfer(self) -> None:
        """Hand leadership over, where this replica has it; returns once another leads or none can."""
        replica = self._replica
        if replica is None or not replica.transfer(self._clock()):
            return
        self._pump()
        with suppress(TimeoutError):
            async with asyncio.timeout(self._settings.transfer_s + SUCCESSOR_KNOWN_S):
                while self.is_leader or self.leader_address is None:
                    self._changed.clear()
                    await self._changed.wait()

    async def leave(self) -> None:
        """Before a stop: have this replica's place filled by a learner that is ready, or what it holds copied
        by the others. Returns once that is so, once nobody can, or after `leave_s`.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(self._settings.leave_s):
                while (replica := self._replica) is not None and replica.leave(self._clock()):
                    self._pump()
                    await asyncio.sleep(WAKE_GRID_S)

    def set_seeds(self, addresses: Sequence[str]) -> None:
        """Internal addresses to ask, where no member is known."""
        self._seeds = tuple(addresses)
        if self._replica is not None:
            self._replica.seeds = self._seeds

    # Events

    def receive(self, sender_address: str, payload: bytes) -> None:
        """A message of this group has come. Bytes that are none are dropped."""
        replica = self._replica
        if replica is None:
            return
        try:
            message = codec.decode(payload)
        except MalformedFrameError as error:
            log.debug("group {}: from {}: {}", self.name, sender_address, error)
            return
        replica.receive(sender_address, message, self._clock())
        self._pump()

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        """Replicate an entry; the state machine's result for it on this node.

        Raises NotLeaderError (the entry is nowhere) and ProposalLostError (it may be committed or not).
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
        self._timer = None
        self._timer_at = math.inf
        if self._replica is not None:
            self._replica.tick(self._clock())
            self._pump()

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
            log.warning("group {}: the disk refuses to write: {}", self.name, failure.reason)
        self._disk_failing = True
        if self._replica is not None:
            self._replica.disk_failed(self._clock())
            self._schedule()

    # Work

    def _pump_soon(self) -> None:
        """Join what is proposed in one turn of the loop."""
        if not self._pump_scheduled:
            self._pump_scheduled = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        """Do all that the replica has ready."""
        self._pump_scheduled = False
        while (replica := self._replica) is not None:
            ready = replica.ready(self._clock())
            if ready is not None:
                self._do(ready)
            elif replica.removed:
                self._start_anew()
            else:
                break
        self._compact()
        self._schedule()
        self._report_change()

    def _do(self, ready: Ready) -> None:
        if ready.restore is not None and not self._restore(ready.restore):
            return
        self._persist(ready)
        self._send_all(ready.messages)
        self._apply(ready)

    def _persist(self, ready: Ready) -> None:
        if ready.records:
            assert self._log is not None
            payload = encode_records(ready.records)
            self._write += 1
            self._written_bytes += len(payload)
            self._log.append(self._write, payload)
        if ready.records or ready.synced_messages:
            self._pending.add(self._write, ready.batch, ready.synced_messages)

    def _send_all(self, messages: Sequence[Outgoing]) -> None:
        for outgoing in messages:
            self._send(outgoing.address, self.name, codec.encode(outgoing.message))

    def _apply(self, ready: Ready) -> None:
        for entry in ready.committed:
            if not self._apply_entry(entry):
                return
            self._applied_index = entry.index

    def _restore(self, snapshot: Snapshot) -> bool:
        """Have the state machine take a snapshot, before the disk does.

        Where it can't, this replica takes no part any more, and its disk stays as it is; says whether it
        could.
        """
        try:
            self._machine.restore(snapshot.data or self._empty_machine)
        except Exception as error:  # whatever it is, entries must not be applied to an older state
            self._halt(f"its snapshot {snapshot.index} is refused", error)
            return False
        self._applied_index = snapshot.index
        self._proposals.lose(self._applied_index)
        return True

    def _halt(self, reason: str, error: Exception) -> None:
        """Take no part any more, until the process is started anew."""
        log.error("group {}: halted, {}: {}", self.name, reason, error)
        self.halted_by = error
        self._replica = None
        self._proposals.lose(math.inf)

    def _apply_entry(self, entry: Entry) -> bool:
        """Have the state machine take an entry.

        Where it needs a newer program, the other replicas may have taken it, and this one takes no part any
        more; says whether it does.
        """
        result: object = None
        failure: Exception | None = None
        if entry.kind is EntryKind.DATA:
            try:
                result = self._machine.apply(entry.index, entry.data)
            except UnknownFormatError as error:
                self._halt(f"its entry {entry.index} is not known", error)
                return False
            except Exception as error:  # the same on all replicas: it goes to who proposed the entry
                failure = error
        self._proposals.applied(entry, result, failure)
        return True

    def _start_anew(self) -> None:
        """This replica is out of the group: forget all and join under a fresh id."""
        log.info("group {}: removed as {}; joining anew", self.name, self.replica_id)
        self._replica = None
        self._pending.clear()
        self._proposals.lose(math.inf)
        self._machine.restore(self._empty_machine)
        self._applied_index = 0
        self._make(joining_state(fresh_replica_id()), _nothing)

    def _compact(self) -> None:
        """Shorten the log and its file where they are long."""
        replica = self._replica
        if replica is None or self._log is None or not self._is_long(replica):
            return
        replica.compact(self._applied_index, self._machine.snapshot())
        payload = encode_records(state_records(replica.stored_state()))
        self._log.rewrite(self._write, payload, optional=True)
        self._written_bytes = self._rewritten_bytes = len(payload)

    def _is_long(self, replica: Replica) -> bool:
        settings = self._settings
        max_bytes = settings.compact_bytes + 2 * replica.snapshot_bytes
        if self._written_bytes > 2 * max(max_bytes, self._rewritten_bytes):
            return True
        if self._applied_index <= replica.snapshot_index:
            return False
        length = max(replica.log_entries / settings.compact_entries, replica.log_bytes / max_bytes)
        return length > CATCH_UP_PATIENCE or (length > 1 and not replica.has_peer_behind(self._clock()))

    def _schedule(self) -> None:
        replica = self._replica
        if replica is None or self._stopped:
            return
        at = math.ceil(replica.wake_at / WAKE_GRID_S) * WAKE_GRID_S
        if at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(MIN_DELAY_S, at - self._clock())
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)
        self._timer_at = at

    def _report_change(self) -> None:
        replica = self._replica
        if replica is None:
            return
        view = _View(replica.role, replica.term, replica.leader_address, replica.members, self._applied_index)
        if view != self._view:
            self._view = view
            self._changed.set()
            self._on_change()


def _nothing() -> None:
    """Nobody wants to know."""


def _ignore(value: object) -> None:
    """A result that nobody wants."""
