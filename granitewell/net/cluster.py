"""Runs this process as a member of the cluster: membership, size estimate, peer transport and stored record.

The membership and size-estimate parts are pure state machines. This module feeds them messages and time,
sends what they produce, tells the core how many nodes may be acting, logs what has changed, and stores the
record that the node's next process continues from. It makes no decisions about members or budgets itself. A
fault in it costs the node its view of the cluster, but never a request.

During an upgrade two processes of one node run side by side. Only the one that holds the lock on the node's
folder is the member:

    WAITING -- lock acquired --> ACTIVE -- stopped, no other process ------------------> LEAVING --> STOPPED
                                   |
                                   +-- stopped, another process --> HANDING_OVER -- it died --> LEAVING

A process that starts next to the active member waits for the lock and then continues with the same
incarnation and sequence numbers. The stored record reserves a range of sequence numbers, so that messages of
the new process are newer than any that its predecessor sent, and no other node notices the change. A process
that finds the lock free starts a new incarnation. The kernel releases the lock however a process ends, so a
kill at any step leaves one of the two as the member. A process that is stopped releases the lock while it
still answers its clients. If the other process ends before it has taken the lock, the first one takes it back
and leaves the cluster for both.

The event loop never waits for the disk. What must be durable first (a new incarnation before another node
hears of it; the last sequence numbers before the lock is released) is written by a background thread, and the
next step runs when the write has completed.
"""

from __future__ import annotations

import asyncio
import os
from collections import deque
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Any

from granitewell import core as c
from granitewell.cluster import persisted_record
from granitewell.cluster.size_estimate import (
    ConfiguredCount,
    MembersObserved,
    NodeRemoved,
    Presence,
    SizeEstimate,
    SizeEstimator,
    presence_of,
)
from granitewell.cluster.types import ClusterSettings, format_address, parse_address
from granitewell.durable_folder import DurableFolder
from granitewell.membership import types as membership
from granitewell.membership.state_machine import Membership
from granitewell.membership.states import UP, Phase, State
from granitewell.membership.types import (
    Changed,
    Config,
    Died,
    DuplicateIdentity,
    ForceLeave,
    Joined,
    Leave,
    Left,
    Member,
    PhaseChanged,
    PreviousProcess,
    ReplaceKeys,
    ReplaceSeeds,
    Suspected,
    TableEntry,
)
from granitewell.net.disk_writer import DiskWriter
from granitewell.net.peers import PeerTransport
from granitewell.protocols.peers.frames import Keys, Kind, kind_of
from granitewell.protocols.peers.limits import TokenBucket
from granitewell.state_machine import LogLine, MessageReceived, SendMessage, TimerFired

if TYPE_CHECKING:
    from granitewell.net.loop import Node
    from granitewell.net.shared_counters import SharedCountersDriver
    from granitewell.shared_counters.types import CounterSettings

LOCK_RETRY_S = 0.05  # between two attempts to acquire the lock
DISK_TIMEOUT_S = 2.0  # that shutdown waits for the last record to be written
HANDOVER_CHECK_S = 0.5  # for the other process to acquire the lock before this one checks whether it is alive
MIN_RECORD_INTERVAL_US = 1_000_000  # between two records
RESERVED_SEQUENCE_NUMBERS = 1 << 20  # reserved by each record; the next record is due when half are used
SOCKETS_PER_STREAM = 16  # one descriptor in 16 may be a peer stream in each direction
# a partition is likely when at least one member in 3, and at least 2, fail within this time
PARTITION_MEMBER_DIVISOR, PARTITION_WINDOW_US, MIN_PARTITION_LOSSES = 3, 12_000_000, 2
LOG_LINES_PER_S = 3  # of one topic; bursts of twice as many are allowed
MEMBERSHIP_SETTINGS = membership.Parameters()
MAX_MEMBERS_IN_VIEW = 1_000  # unhealthy ones first: the view is built in one turn of the loop
STATE_ORDER = {State.SUSPECT: 0, State.DEAD: 1, State.ALIVE: 2, State.LEFT: 3}


class ProcessState(Enum):
    """Whether this process is the node's member, waits to be, or has been."""

    WAITING = "waiting"
    ACTIVE = "held"
    HANDING_OVER = "aside"
    LEAVING = "leaving"
    STOPPED = "over"


class Cluster:
    """The cluster membership of one process, over its whole life."""

    def __init__(self, node: Node, settings: ClusterSettings, counts: CounterSettings | None = None) -> None:
        """Try to become the member at once; otherwise keep trying in the background.

        Args:
            node: The serving node that this membership belongs to.
            settings: The `[cluster]` table of the operator file.
            counts: Settings of the counters that the nodes share; None if they share none.

        Raises:
            OSError: The address can't be bound, or the keys can't be read.
        """
        if settings.keys is None:
            raise OSError(f"cluster.keys: {settings.keys_error}")
        self._node, self._settings, self._keys = node, settings, settings.keys
        self._loop, self._clock = asyncio.get_running_loop(), node.clock
        self._durable_folder = DurableFolder(settings.folder or _default_folder(settings.name))
        self._max_streams = max(min(settings.streams, node._max_sockets // SOCKETS_PER_STREAM), 1)
        node._max_sockets = max(node._max_sockets - 2 * self._max_streams - 2, 1)
        node._divide_descriptors(node._max_sockets)
        # by topic; topics come from the program, so their number is bounded
        self._log_buckets: dict[str, TokenBucket] = {}
        self.state = ProcessState.WAITING
        self.machine: Membership | None = None
        self.size_estimate: SizeEstimator | None = None
        self.transport: PeerTransport | None = None
        self._waited = self._record_outdated = self._update_scheduled = self._logged_busy = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = -1
        self._disk_writer = DiskWriter(self._durable_folder, self._clock.now, self._on_write_error)
        self._recorded_us = self._changed_us = -1
        self._last_digest: object = None  # of the last record, without what changes by time alone
        self._reserved_seq = 0
        self._lost_times_us: deque[int] = deque(maxlen=256)  # of members that were declared dead
        self._left_cluster = asyncio.Event()
        self.duplicate_identities = 0
        self.shared_counters: SharedCountersDriver | None = None
        if counts is not None:
            from granitewell.net.shared_counters import SharedCountersDriver

            self.shared_counters = SharedCountersDriver(node, settings.name, settings.keys, counts)
        self._try_to_activate(first=True)

    # --- Which process is the member --------------------------------------------------------------------
    def _try_to_activate(self, first: bool = False) -> None:
        """Become the member if no other process is; otherwise try again later.

        Raises:
            OSError: On the first attempt only: the address can't be bound.
        """
        if self.state is not ProcessState.WAITING:
            return
        acquired, problem = self._durable_folder.try_lock()
        if problem:
            self.log_line("cluster", problem)
        if acquired:
            try:
                self._activate()
                return
            except OSError as error:
                if first and not self._node._listener_is_inherited:
                    self._durable_folder.release_lock()
                    raise OSError(f"cluster {self._settings.bind}: {error.strerror or error}") from None
                if not self._logged_busy:  # the previous process still has the address bound
                    self._logged_busy = True
                    self.log_line("cluster", f"{self._settings.bind}: {error.strerror}: trying again")
        elif not self._waited:
            self._waited = True
            self.log_line("cluster", "another process of this node is the member: waiting for its place")
        self._loop.call_later(LOCK_RETRY_S, self._try_to_activate)

    def _activate(self) -> None:
        """Bind the address and read the stored record; this process holds the lock now."""
        settings, clock = self._settings, self._clock
        rng = Random(int.from_bytes(os.urandom(16), "big"))
        transport = PeerTransport(
            self._loop, clock, self._on_message, self.log_line, self._node._spawn, self._max_streams, rng
        )
        transport.open(parse_address(settings.bind))
        record = self._read_record()
        former = None
        if record is not None and record.identity.gen:
            incarnation = record.identity
            former = PreviousProcess(
                incarnation.gen, max(incarnation.birth, 1), incarnation.inc, incarnation.seq, self._waited
            )
        known = record.known if record is not None else ()
        seeds = tuple(dict.fromkeys((*settings.seeds, *(record.addresses if record is not None else ()))))
        config = Config(
            settings.name, settings.address, self._keys, settings.role, settings.zone, seeds=seeds,
            parameters=MEMBERSHIP_SETTINGS, previous=former,
        )  # fmt: skip
        configured = self._node._config.settings.proxies
        self.size_estimate = SizeEstimator(settings.name, configured, int(settings.unheard_s * 1e6), known)
        self.transport, self.state = transport, ProcessState.ACTIVE
        machine, keys = Membership(config, rng), self._keys
        description = "going on with the life of the process before" if self._waited and former else "joining"
        self.log_line("member", f"{settings.name} at {settings.address}: {description}, {len(seeds)} seeds")
        # stored before the first message: an incarnation that other nodes know must not be reused
        self._write_record(machine, self.size_estimate)
        self._disk_writer.call_when_written(lambda: self._start_membership(machine, settings, keys))

    def _start_membership(self, machine: Membership, settings: ClusterSettings, keys: Keys) -> None:
        """Start the membership machine, if this process is still to be the member.

        Runs once the record of the new incarnation is on the disk. The settings may have been reloaded
        meanwhile.
        """
        if self.state is not ProcessState.ACTIVE or self.machine is not None:
            return
        self.machine = machine
        if self._keys != keys:
            self._handle_membership(ReplaceKeys(self._keys))
        if self._settings.seeds != settings.seeds:
            self._handle_membership(ReplaceSeeds(self._settings.seeds))
        if self.shared_counters is not None and self.transport is not None:
            self.shared_counters.start(machine.identity.gen, self.transport.send)
        self._handle_membership(TimerFired())
        self._update_size_estimate()

    def _read_record(self) -> persisted_record.PersistedRecord | None:
        """Return the stored record of this node, or None if there is no usable one."""
        raw, problem = self._durable_folder.read(persisted_record.MAX_BYTES)
        if raw:
            try:
                record = persisted_record.decode(raw)
                if record.name == self._settings.name:
                    return record
                problem = f"the folder's file is {record.name[:63]}'s"
            except ValueError as error:
                problem = f"the folder's file: {error}"
        if problem:
            self.log_line("cluster", f"passed over: {problem}")
        return None

    def stop(self) -> None:
        """Leave the cluster, or hand the membership over to another process of this node."""
        if self.state is ProcessState.WAITING:
            self.state = ProcessState.STOPPED
        elif self.state is ProcessState.ACTIVE:
            if self._durable_folder.is_persistent and self._has_other_process():
                self._hand_over()
            else:
                self._leave()

    def _has_other_process(self) -> bool:
        """Return whether another process of this node runs."""
        handover = self._node._handover
        return handover is not None and bool(handover.other_claims())

    def _leave(self) -> None:
        """Announce that this node leaves the cluster."""
        self.state = ProcessState.LEAVING
        if self.machine is None:
            self._left_cluster.set()  # no other node has heard of this one yet
        self._handle_membership(Leave())

    def _hand_over(self) -> None:
        """Store the last sequence numbers, then release the lock to the other process."""
        self._save_record(always=True)
        self.state = ProcessState.HANDING_OVER
        self._disk_writer.call_when_written(self._release_lock)

    def _release_lock(self) -> None:
        """Let the other process take over; the sequence numbers that it continues from are stored."""
        self._close()
        self._durable_folder.release_lock()
        self.log_line("member", "the process beside this one goes on as the member")
        self._loop.call_later(HANDOVER_CHECK_S, self._check_handover)

    def _check_handover(self) -> None:
        """Check whether the other process has taken over or is alive to do so.

        If it has ended without taking the lock, take the lock back in order to leave the cluster.
        """
        if self.state is not ProcessState.HANDING_OVER or self._durable_folder.holds_lock:
            return
        if self._has_other_process():
            self._loop.call_later(HANDOVER_CHECK_S, self._check_handover)
            return
        acquired, _ = self._durable_folder.try_lock()
        if not acquired:
            self.state = ProcessState.STOPPED
            return
        self.log_line("cluster", "the process beside this one has ended: leaving for both")
        self._waited = True
        try:
            self._activate()
        except OSError as error:
            self.log_line("cluster", f"{self._settings.bind}: {error.strerror}: the others will find out")
            self.state = ProcessState.STOPPED
            return
        self._disk_writer.call_when_written(self._leave)

    async def shut_down(self) -> None:
        """Finish after the last request: wait until the other nodes know, then release everything."""
        if self.state is ProcessState.HANDING_OVER:
            await self._wait_for_disk()
            self._check_handover()
            await self._wait_for_disk()
        if self.state is ProcessState.LEAVING:
            try:
                async with asyncio.timeout(2 * MEMBERSHIP_SETTINGS.leave_us / 1e6):
                    await self._left_cluster.wait()
            except TimeoutError:
                pass
        if self.state in (ProcessState.ACTIVE, ProcessState.LEAVING):
            self._save_record(always=True)
            await self._wait_for_disk()
        self.state = ProcessState.STOPPED
        self._close()
        # otherwise the kernel releases the lock when that write has ended
        if not self._disk_writer.is_writing:
            self._durable_folder.release_lock()

    async def _wait_for_disk(self) -> None:
        """Wait a limited time for pending writes: a hung disk must not keep the process from ending."""
        done = asyncio.Event()
        self._disk_writer.call_when_written(done.set)
        try:
            async with asyncio.timeout(DISK_TIMEOUT_S):
                await done.wait()
        except TimeoutError:
            self.log_line("cluster", "the disk has not taken the folder's file: ending without it")

    def _close(self) -> None:
        """Close the transport and stop the timers."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.transport is not None:
            self.transport.close()
        self.machine = None
        if self.shared_counters is not None:
            self.shared_counters.stop()

    # --- Settings ---------------------------------------------------------------------------------------
    def reconfigure(self, settings: ClusterSettings) -> None:
        """Apply reloaded settings."""
        if settings.name:
            if settings.keys is None:
                self.log_line("cluster", f"the keys stay as they are: {settings.keys_error}")
            elif settings.keys != self._keys:
                self._rekey(settings.keys)
            if self.machine is not None and settings.seeds != self._settings.seeds:
                self._handle_membership(ReplaceSeeds(settings.seeds))
            self._settings = settings
        if self.size_estimate is not None:
            self.size_estimate.unheard_us = int(self._settings.unheard_s * 1e6)
            self._handle_size_estimate(ConfiguredCount(self._node._config.settings.proxies))

    def _rekey(self, keys: Keys) -> None:
        """Use other keys for messages to peers."""
        self._keys = keys
        ids = ", ".join(k.id.hex() for k in (keys.current, keys.other) if k is not None)
        self.log_line("member", f"keys are taken up: {ids}, the first seals")
        if self.machine is not None:
            self._handle_membership(ReplaceKeys(keys))
        if self.shared_counters is not None:
            self.shared_counters.rekey(keys)

    def attach_to_status_server(self, node: Node) -> None:
        """Let the node's status server answer queries about the cluster."""
        if node.status_server is not None:
            node.status_server.cluster = self

    def log_line(self, topic: str, line: str) -> None:
        """Write a line to the node's log.

        Members often join and fail several at a time, and each of those lines is wanted: a topic may have a
        burst of lines at once, and beyond that is limited to the rate of the other topics.
        """
        bucket = self._log_buckets.setdefault(topic, TokenBucket(LOG_LINES_PER_S, self._clock.now()))
        if bucket.take(self._clock.now()):
            self._node.log.write(self._clock.now(), topic, line, always=True)
        else:
            self._node.log_line(topic, line)

    # --- Events and effects -----------------------------------------------------------------------------
    def _on_message(self, message: MessageReceived) -> None:
        """Pass a message on to the machine that its (not yet authenticated) header names."""
        if self.shared_counters is not None and kind_of(message.data) == Kind.COUNT:
            self.shared_counters.on_message(message)
        else:
            self._handle_membership(message)

    def _handle_membership(self, event: object) -> None:
        """Give the membership machine an event and run the effects that it returns."""
        machine, transport = self.machine, self.transport
        if machine is None or transport is None:
            return
        for effect in machine.handle(self._clock.now(), event):
            if isinstance(effect, SendMessage):
                transport.send(effect)
            elif isinstance(effect, LogLine):
                self._log_effect(effect)
            else:
                self._on_membership_change(effect)
        if machine.local.seq > self._reserved_seq - RESERVED_SEQUENCE_NUMBERS // 2:
            self._save_record(always=True)
        self._arm_timer()

    def _log_effect(self, line: LogLine) -> None:
        """Log a line of a machine under the topic that operators know."""
        if line.topic in ("membership-twin", "membership-name"):
            self.log_line("twin", line.text)
        elif line.topic == "lost":
            self.log_line("lost", line.text)
        else:
            self.log_line("cluster", line.text)

    def _on_membership_change(self, effect: object) -> None:
        """Log a change of membership and schedule an update of the size estimate."""
        if isinstance(effect, PhaseChanged):
            self.log_line("member", f"{self._settings.name} is {effect.phase.value}")
            if effect.phase is Phase.STOPPED:
                self._left_cluster.set()
        elif isinstance(effect, DuplicateIdentity):
            self.duplicate_identities += 1
        elif isinstance(effect, Joined | Suspected | Died | Left | Changed):
            self._changed_us = self._clock.now()
            self._log_member_change(effect, effect.member)
        self._record_outdated = True
        if not self._update_scheduled:  # several changes at a time cause one update
            self._update_scheduled = True
            self._loop.call_soon(self._update_size_estimate)

    def _log_member_change(self, effect: object, member: Member) -> None:
        """Log what has happened to one member."""
        name, at = member.name, member.about.address
        up = len(self.machine.members()) if self.machine is not None else 0
        if isinstance(effect, Joined):
            self.log_line("member", f"{name} is there, at {at}: {up} up")
        elif isinstance(effect, Left):
            self.log_line("member", f"{name} has left: {up} up")
        elif isinstance(effect, Suspected):
            self.log_line("lost", f"{name} at {at} does not answer: suspected")
        elif isinstance(effect, Died):
            self.log_line("lost", f"{name} at {at} is dead as far as this node can tell: {up} up")
            self._log_likely_partition(up)

    def _log_likely_partition(self, up: int) -> None:
        """Log when so many members fail at once that a partition is likelier than that many crashes."""
        now = self._clock.now()
        self._lost_times_us.append(now)
        lost = sum(now - at <= PARTITION_WINDOW_US for at in self._lost_times_us)
        if lost >= MIN_PARTITION_LOSSES and lost * PARTITION_MEMBER_DIVISOR >= up + lost:
            summary = f"{lost} of {up + lost} members were lost within {PARTITION_WINDOW_US // 1_000_000} s"
            self.log_line("cluster", f"{summary}: a partition is likely; all still count in budgets")

    def _update_size_estimate(self) -> None:
        """Report the state of every member with this node's role to the size estimate."""
        self._update_scheduled = False
        machine, size_estimate = self.machine, self.size_estimate
        if machine is None or size_estimate is None:
            return
        # the role of a member that failed before this node joined is unknown: it may be acting, so it counts
        role = self._settings.role
        same_role = [entry for entry in machine.entries() if entry.about is None or entry.about.role == role]
        self._handle_size_estimate(
            MembersObserved(
                {entry.name: presence_of(entry.standing.state.name.lower(), entry.by) for entry in same_role}
            )
        )
        self._update_shared_counters(same_role)

    def _update_shared_counters(self, same_role: list[TableEntry]) -> None:
        """Tell the shared counters which nodes may be acting, including those that are unreachable."""
        shared_counters, size_estimate = self.shared_counters, self.size_estimate
        if shared_counters is None or size_estimate is None:
            return
        out = {*size_estimate.names(Presence.EXCLUDED)}
        known = {entry.name: entry for entry in same_role}
        active = [
            n
            for place in (Presence.UP, Presence.UNRESPONSIVE, Presence.LEFT)
            for n in size_estimate.names(place)
        ]
        places = {}
        for name in (*active, *out):
            entry = known.get(name)
            up = entry is not None and entry.about is not None and entry.standing.state in UP
            places[name] = entry.about.address if up and entry is not None and entry.about is not None else ""
        shared_counters.set_peers(places, out, size_estimate.unseen)

    def _handle_size_estimate(self, event: object) -> None:
        """Give the size estimate an event and run the effects that it returns."""
        if self.size_estimate is None:
            return
        for effect in self.size_estimate.handle(self._clock.now(), event):
            if isinstance(effect, SizeEstimate):
                self._record_outdated = True
                self._node.dispatch(c.ActiveNodes(effect.upper_bound, effect.expected))
            elif isinstance(effect, LogLine):
                self._log_effect(effect)
        self._arm_timer()

    # --- Time -------------------------------------------------------------------------------------------
    def _arm_timer(self) -> None:
        """Set the timer to the earlier deadline of the two machines."""
        if self.machine is None or self.size_estimate is None:
            return
        wakes = [x for x in (self.machine.wake_us, self.size_estimate.wake_us) if x >= 0]
        wake = min(wakes, default=-1)
        if wake < 0 or (self._timer is not None and self._timer_us <= wake):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_us = wake
        wait_us = max(wake - self._clock.read_now(), 0)
        self._timer = self._loop.call_later(-(-wait_us // 1000) / 1000, self._on_timer)

    def _on_timer(self) -> None:
        """Wake the machines that are due, and store the record if it is out of date."""
        self._timer = None
        machine, size_estimate, now = self.machine, self.size_estimate, self._clock.now()
        if machine is None or size_estimate is None:
            return
        if 0 <= machine.wake_us <= now:
            self._handle_membership(TimerFired())
        if 0 <= size_estimate.wake_us <= now:
            self._handle_size_estimate(TimerFired())
        if self._record_outdated:
            self._save_record()
        self._arm_timer()

    # --- The stored record ------------------------------------------------------------------------------
    def _save_record(self, always: bool = False) -> None:
        """Store what the node's next process needs; without `always` at a limited rate."""
        now, machine, size_estimate = self._clock.now(), self.machine, self.size_estimate
        if machine is None or size_estimate is None or not self._durable_folder.is_persistent:
            return
        if not always and now - self._recorded_us < MIN_RECORD_INTERVAL_US and self._recorded_us >= 0:
            return
        self._recorded_us, self._record_outdated = now, False
        self._write_record(machine, size_estimate, always)

    def _write_record(self, machine: Membership, size_estimate: SizeEstimator, always: bool = True) -> None:
        """Build the record and write it if it differs from the last one."""
        if not self._durable_folder.is_persistent:
            return
        local, own = machine.local, machine.identity
        incarnation = persisted_record.ProcessIdentity(
            own.gen, local.birth, own.inc, local.seq + RESERVED_SEQUENCE_NUMBERS
        )
        peer_addresses = [m.about.address for m in machine.members() if m.name != self._settings.name]
        known, wanted = tuple(size_estimate.known()), {a for a in peer_addresses if _is_valid_address(a)}
        record = persisted_record.PersistedRecord(
            self._settings.name, incarnation, known, tuple(sorted(wanted))
        )
        digest = persisted_record.significant_content(record)
        if not always and digest == self._last_digest:
            return  # suspicions change many times a second and don't concern the next process
        # half of the reserved numbers last longer than any write takes
        self._last_digest, self._reserved_seq = digest, incarnation.seq
        self._disk_writer.write(persisted_record.encode(record))

    def _on_write_error(self, line: str) -> None:
        """Log a failed write and make sure that the record is written again."""
        self._last_digest = None  # so that the next change is written in any case
        self.log_line("cluster", line)

    # --- Queries ----------------------------------------------------------------------------------------
    def view(self) -> dict[str, Any]:
        """Return this node's view of the cluster as plain JSON."""
        machine, size_estimate, now = self.machine, self.size_estimate, self._clock.now()
        settings = self._settings
        view: dict[str, Any] = {
            "version": 1, "name": settings.name, "address": settings.address, "role": settings.role,
            "zone": settings.zone, "turn": self.state.value, "twins": self.duplicate_identities,
            "configured": self._node._config.settings.proxies, "most": None, "up": None, "unseen": None,
            "changed_s": (now - self._changed_us) / 1e6 if self._changed_us >= 0 else None,
            "phase": None, "life": None, "incarnation": None, "health": None, "stood_s": None,
            "members": [], "silent": [], "away": [], "letters": {}, "dropped": {}, "roads": {},
            "streams": None,
        }  # fmt: skip
        if machine is None or size_estimate is None or self.transport is None:
            return view
        own, local, count = machine.identity, machine.local, size_estimate.estimate
        view |= {
            "phase": machine.phase.value, "life": own.gen, "incarnation": own.inc, "health": machine.health,
            "stood_s": machine.stalled_us / 1e6, "most": count.upper_bound, "up": count.expected,
            "unseen": size_estimate.unseen,
            "silent": size_estimate.names(Presence.UNRESPONSIVE), "away": size_estimate.names(Presence.LEFT),
            "letters": {f"{kind} {way}": n for (way, kind), n in sorted(local.message_counts.items())},
            "dropped": dict(sorted(machine.drop_counts.items())),
            "roads": dict(sorted(self.transport.counts.items())),
            "streams": dict(zip(("ours", "theirs"), self.transport.streams, strict=True)),
        }  # fmt: skip
        entries = sorted(machine.entries(), key=lambda entry: STATE_ORDER[entry.standing.state])
        view["cut"] = len(entries) > MAX_MEMBERS_IN_VIEW
        for entry in entries[:MAX_MEMBERS_IN_VIEW]:
            gen, birth, inc, state = entry.standing
            about = entry.about
            view["members"].append({
                "name": entry.name, "state": state.name.lower(), "life": gen, "birth": f"{birth:016x}",
                "incarnation": inc, "by": entry.by,
                "role": about.role if about else None, "zone": about.zone if about else None,
                "address": about.address if about else None,
                "gone_s": max(local.now_us - entry.down_since_us, 0) / 1e6
                if entry.down_since_us >= 0 else None,
            })  # fmt: skip
        return view

    def explain(self, name: str) -> dict[str, Any]:
        """Return what this node believes of one member, and which node reported each change."""
        machine, size_estimate = self.machine, self.size_estimate
        rows: list[dict[str, Any]] = []
        member = None
        if machine is not None:
            member = next((m for m in self.view()["members"] if m["name"] == name), None)
            for event in machine.history(name):
                gen, birth, inc, state = event.standing
                rows.append({
                    "ago_s": max(machine.local.now_us - event.at_us, 0) / 1e6, "state": state.name.lower(),
                    "life": gen, "birth": f"{birth:016x}", "incarnation": inc, "by": event.by,
                    "told_by": event.source or self._settings.name, "road": event.transport or "own",
                })  # fmt: skip
        places = {p.value: size_estimate.names(p) for p in Presence} if size_estimate is not None else {}
        counted = next((place for place, names in places.items() if name in names), None)
        return {"version": 1, "name": name, "asked": self._settings.name, "member": member,
                "counted": counted, "history": rows}  # fmt: skip

    def counted(self, key: str) -> dict[str, Any] | None:
        """Return what the nodes have used together; None if there are no shared counters."""
        return self.shared_counters.view(key) if self.shared_counters is not None else None

    def forget(self, name: str) -> str:
        """Remove a node for good on an operator's word; return why that is refused, or ""."""
        if self.machine is None or self.size_estimate is None:
            return "this process is no member now"
        if name not in (
            *self.size_estimate.names(Presence.UNRESPONSIVE),
            *self.size_estimate.names(Presence.LEFT),
        ):
            return f"{name} is neither silent nor away here: only who is dead or has left can be called gone"
        self.log_line("member", f"{name} is called gone by an operator")
        self._handle_membership(ForceLeave(name))
        self._handle_size_estimate(NodeRemoved(name))
        self._save_record(always=True)
        return ""


def start_or_reconfigure(
    joined: list[Cluster], node: Node, settings: ClusterSettings, counts: CounterSettings | None = None
) -> None:
    """Start the membership, or apply other settings to the one that runs.

    Args:
        joined: Holds the running membership; empty before the first start, which adds it.
        node: The serving node.
        settings: The `[cluster]` table of the operator file.
        counts: Settings of the shared counters; None if there are none.

    Raises:
        OSError: The address can't be bound, or the keys can't be read.
    """
    if joined:
        joined[0].reconfigure(settings)
    else:
        joined.append(Cluster(node, settings, counts))


def _default_folder(name: str) -> str:
    """Return the folder that is used if none is configured; "" if there is none.

    It outlives a process during an upgrade if the platform names a temporary folder.
    """
    temporary = os.environ.get("TMPDIR", "")
    return os.path.join(temporary, f"granitewell-member-{name}") if temporary else ""


def _is_valid_address(text: str) -> bool:
    """Return whether an address that another node has announced may be a seed at the next start."""
    try:
        return format_address(*parse_address(text)) == text
    except ValueError:
        return False
