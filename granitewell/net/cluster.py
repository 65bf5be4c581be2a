"""The shell that makes this process a member of the fleet: it joins membership, census, roads and the folder.

It owns the timer, the order in which the parts hear of each other's news, the log's words for them, and whose
turn it is where two processes of one node run. It must never judge a member, divide a budget, or hold up the
loop; what goes wrong here costs the node its view, never a request.

Theory of operation. The parts are pure machines; the shell gives them messages and time, sends what they say,
tells the core how many nodes act, and writes down what the next process has to know. One process at a time is
the member: the one that has the folder's lock.

    WAITING ── the lock is had ──▶ HELD ── a stop, nobody beside ──▶ LEAVING ──▶ OVER
       ▲                             │
       │                             └── a stop, another process beside ──▶ ASIDE ── it has failed ──▶ LEAVING

A process that begins beside one that is the member waits for the lock and then goes on with the same life:
the numbers that the other has used are written down with room to spare, so that its letters are new ones to
everybody, and no other node is told of anything. The kernel gives the lock back however a process ends, so a
kill at any step leaves either of them as the member. A process that finds the lock free begins a life of its
own. The one that stops lets go of the lock while it still answers its clients; should the other end before it
has taken it, the first takes it back and leaves for both.

Nothing waits for the disk in the loop: what has to be written down first (a new life, before anybody hears of
it; the last numbers, before the lock is let go of) is followed by what it is the condition of.
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
from granitewell.cluster.size_estimate import Census, Configured, Count, Out, Place, Seen, stands
from granitewell.cluster.types import ClusterSettings, address, spelt
from granitewell.durable_folder import Kept
from granitewell.membership import types as membership
from granitewell.membership.state_machine import Membership
from granitewell.membership.states import UP, Phase, State
from granitewell.membership.types import (
    Changed,
    Config,
    Died,
    Entry,
    Forget,
    Former,
    Joined,
    Leave,
    Left,
    Member,
    Moved,
    Rekey,
    Reseed,
    Suspected,
    Twin,
)
from granitewell.net.disk_writer import DiskWriter
from granitewell.net.peers import PeerTransport
from granitewell.protocols.peers.frames import Keys, Kind, kind_of
from granitewell.protocols.peers.limits import Bucket
from granitewell.state_machine import Heard, Line, Say, Woken

if TYPE_CHECKING:
    from granitewell.net.loop import Node
    from granitewell.net.shared_counters import SharedCounters
    from granitewell.shared_counters.types import Figures

LOCK_RETRY_S = 0.05  # between two looks whether the lock is free
DISK_TIMEOUT_S = 2.0  # for the last note of a process
HANDOVER_CHECK_S = 0.5  # for the other process to take it, before this one looks whether it still lives
MIN_RECORD_INTERVAL_US = 1_000_000  # between two notes, at least
RESERVED_SEQUENCE_NUMBERS = (
    1 << 20
)  # numbers that a note reserves; half of them used, and the next note is due
SOCKETS_PER_STREAM = 16  # one descriptor in so many may be a stream, each way
PARTITION_MEMBER_DIVISOR, PARTITION_WINDOW_US, MIN_PARTITION_LOSSES = (
    3,
    12_000_000,
    2,
)  # one in so many members lost within that time
LOG_LINES_PER_S = 3  # lines of a topic a second, twice that at once
MEMBERSHIP_SETTINGS = membership.Figures()
MAX_MEMBERS_IN_VIEW = 1_000  # members in an answer, those first who are not well: a look is made in one turn
STATE_ORDER = {State.SUSPECT: 0, State.DEAD: 1, State.ALIVE: 2, State.LEFT: 3}


class ProcessState(Enum):
    """Which of a node's processes is the member."""

    WAITING = "waiting"
    ACTIVE = "held"
    HANDING_OVER = "aside"
    LEAVING = "leaving"
    STOPPED = "over"


class Cluster:
    """The member that this process is, waits to be, or was."""

    def __init__(self, node: Node, settings: ClusterSettings, counts: Figures | None = None) -> None:
        """counts: what the nodes count together, None for nothing.

        OSError: the address can't be had, or the keys can't be read.
        """
        if settings.keys is None:
            raise OSError(f"cluster.keys: {settings.keys_why}")
        self._node, self._settings, self._keys = node, settings, settings.keys
        self._loop, self._clock = asyncio.get_running_loop(), node.clock
        self._durable_folder = Kept(settings.folder or _default_folder(settings.name))
        self._max_streams = max(min(settings.streams, node._max_sockets // SOCKETS_PER_STREAM), 1)
        node._max_sockets = max(node._max_sockets - 2 * self._max_streams - 2, 1)
        node._divide_descriptors(node._max_sockets)
        self._log_buckets: dict[str, Bucket] = {}  # topics are the program's own
        self.state = ProcessState.WAITING
        self.machine: Membership | None = None
        self.size_estimate: Census | None = None
        self.transport: PeerTransport | None = None
        self._waited = self._record_outdated = self._update_scheduled = self._logged_busy = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = -1
        self._disk_writer = DiskWriter(self._durable_folder, self._clock.now, self._on_write_error)
        self._recorded_us = self._changed_us = -1
        self._last_digest: object = None  # what the last note says, less what only time has changed
        self._reserved_seq = 0
        self._lost_times_us: deque[int] = deque(maxlen=256)  # when members were lost
        self._left_cluster = asyncio.Event()
        self.duplicate_identities = 0
        self.shared_counters: SharedCounters | None = None
        if counts is not None:
            from granitewell.net.shared_counters import SharedCounters

            self.shared_counters = SharedCounters(node, settings.name, settings.keys, counts)
        self._try_to_activate(first=True)

    # --- Whose turn it is -------------------------------------------------------------------------------
    def _try_to_activate(self, first: bool = False) -> None:
        """Be the member, if nobody else is. OSError, at the first time alone: the address can't be had."""
        if self.state is not ProcessState.WAITING:
            return
        acquired, problem = self._durable_folder.take()
        if problem:
            self.log_line("cluster", problem)
        if acquired:
            try:
                self._activate()
                return
            except OSError as error:
                if first and not self._node._listener_is_inherited:
                    self._durable_folder.release()
                    raise OSError(f"cluster {self._settings.bind}: {error.strerror or error}") from None
                if not self._logged_busy:  # the process before this one is not quite gone
                    self._logged_busy = True
                    self.log_line("cluster", f"{self._settings.bind}: {error.strerror}: trying again")
        elif not self._waited:
            self._waited = True
            self.log_line("cluster", "another process of this node is the member: waiting for its place")
        self._loop.call_later(LOCK_RETRY_S, self._try_to_activate)

    def _activate(self) -> None:
        """The lock is had: bind, read what was written down, and be a member."""
        settings, clock = self._settings, self._clock
        rng = Random(int.from_bytes(os.urandom(16), "big"))
        transport = PeerTransport(
            self._loop, clock, self._on_message, self.log_line, self._node._spawn, self._max_streams, rng
        )
        transport.open(address(settings.bind))
        record = self._read_record()
        former = None
        if record is not None and record.life.gen:
            life = record.life
            former = Former(life.gen, max(life.birth, 1), life.inc, life.seq, self._waited)
        known = record.known if record is not None else ()
        seeds = tuple(dict.fromkeys((*settings.seeds, *(record.addresses if record is not None else ()))))
        config = Config(
            settings.name, settings.address, self._keys, settings.role, settings.zone, seeds=seeds,
            figures=MEMBERSHIP_SETTINGS, former=former,
        )  # fmt: skip
        configured = self._node._config.settings.proxies
        self.size_estimate = Census(settings.name, configured, int(settings.unheard_s * 1e6), known)
        self.transport, self.state = transport, ProcessState.ACTIVE
        machine, keys = Membership(config, rng), self._keys
        description = "going on with the life of the process before" if self._waited and former else "joining"
        self.log_line("member", f"{settings.name} at {settings.address}: {description}, {len(seeds)} seeds")
        # before anything is said: a life that others know must not come again
        self._write_record(machine, self.size_estimate)
        self._disk_writer.call_when_written(lambda: self._start_membership(machine, settings, keys))

    def _start_membership(self, machine: Membership, settings: ClusterSettings, keys: Keys) -> None:
        """Its life is written down: be a member from now on, if this process is still to be one.

        The files may have been read again meanwhile.
        """
        if self.state is not ProcessState.ACTIVE or self.machine is not None:
            return
        self.machine = machine
        if self._keys != keys:
            self._handle_membership(Rekey(self._keys))
        if self._settings.seeds != settings.seeds:
            self._handle_membership(Reseed(self._settings.seeds))
        if self.shared_counters is not None and self.transport is not None:
            self.shared_counters.start(machine.own.gen, self.transport.send)
        self._handle_membership(Woken())
        self._update_size_estimate()

    def _read_record(self) -> persisted_record.Note | None:
        raw, problem = self._durable_folder.read(persisted_record.MAX_BYTES)
        if raw:
            try:
                record = persisted_record.read(raw)
                if record.name == self._settings.name:
                    return record
                problem = f"the folder's file is {record.name[:63]}'s"
            except ValueError as error:
                problem = f"the folder's file: {error}"
        if problem:
            self.log_line("cluster", f"passed over: {problem}")
        return None

    def stop(self) -> None:
        """The process is asked to stop: leave, or leave the place to the process beside this one."""
        if self.state is ProcessState.WAITING:
            self.state = ProcessState.STOPPED
        elif self.state is ProcessState.ACTIVE:
            if self._durable_folder.lasting and self._has_other_process():
                self._hand_over()
            else:
                self._leave()

    def _has_other_process(self) -> bool:
        """Does another process of this node run?"""
        handover = self._node._handover
        return handover is not None and bool(handover.others())

    def _leave(self) -> None:
        self.state = ProcessState.LEAVING
        if self.machine is None:
            self._left_cluster.set()  # nobody has heard of it yet
        self._handle_membership(Leave())

    def _hand_over(self) -> None:
        self._save_record(always=True)
        self.state = ProcessState.HANDING_OVER
        self._disk_writer.call_when_written(self._release_lock)

    def _release_lock(self) -> None:
        """The last numbers are written down: the other process may go on from there."""
        self._close()
        self._durable_folder.release()
        self.log_line("member", "the process beside this one goes on as the member")
        self._loop.call_later(HANDOVER_CHECK_S, self._check_handover)

    def _check_handover(self) -> None:
        """Has the other process taken the place, or does it still live to do so?

        Else take it back, to leave.
        """
        if self.state is not ProcessState.HANDING_OVER or self._durable_folder.held:
            return
        if self._has_other_process():
            self._loop.call_later(HANDOVER_CHECK_S, self._check_handover)
            return
        acquired, _ = self._durable_folder.take()
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
        """All is answered: end, once the others have been told."""
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
        if not self._disk_writer.is_writing:  # else the kernel gives the lock back, once that write is over
            self._durable_folder.release()

    async def _wait_for_disk(self) -> None:
        """Wait until the disk has what it was given, for a while: a disk that stands still stops nothing."""
        done = asyncio.Event()
        self._disk_writer.call_when_written(done.set)
        try:
            async with asyncio.timeout(DISK_TIMEOUT_S):
                await done.wait()
        except TimeoutError:
            self.log_line("cluster", "the disk has not taken the folder's file: ending without it")

    def _close(self) -> None:
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
        """The files have been read again."""
        if settings.name:
            if settings.keys is None:
                self.log_line("cluster", f"the keys stay as they are: {settings.keys_why}")
            elif settings.keys != self._keys:
                self._rekey(settings.keys)
            if self.machine is not None and settings.seeds != self._settings.seeds:
                self._handle_membership(Reseed(settings.seeds))
            self._settings = settings
        if self.size_estimate is not None:
            self.size_estimate.unheard_us = int(self._settings.unheard_s * 1e6)
            self._handle_size_estimate(Configured(self._node._config.settings.proxies))

    def _rekey(self, keys: Keys) -> None:
        self._keys = keys
        ids = ", ".join(k.id.hex() for k in (keys.current, keys.other) if k is not None)
        self.log_line("member", f"keys are taken up: {ids}, the first seals")
        if self.machine is not None:
            self._handle_membership(Rekey(keys))
        if self.shared_counters is not None:
            self.shared_counters.rekey(keys)

    def attach_to_status_server(self, node: Node) -> None:
        """Whoever asks the node's status may ask for the cluster, too."""
        if node.status_server is not None:
            node.status_server.cluster = self

    def log_line(self, topic: str, line: str) -> None:
        """A line of the log.

        Members come and go several at a time, and each of those lines is wanted: some of a topic are written
        at once, further ones as often as those of other topics.
        """
        bucket = self._log_buckets.setdefault(topic, Bucket(LOG_LINES_PER_S, self._clock.now()))
        if bucket.take(self._clock.now()):
            self._node.log.write(self._clock.now(), topic, line, always=True)
        else:
            self._node.log_line(topic, line)

    # --- Events and effects -----------------------------------------------------------------------------
    def _on_message(self, heard: Heard) -> None:
        """Which machine is to open it, by a head that nothing has proved yet."""
        if self.shared_counters is not None and kind_of(heard.data) == Kind.COUNT:
            self.shared_counters.on_message(heard)
        else:
            self._handle_membership(heard)

    def _handle_membership(self, event: object) -> None:
        """Give the member an event, and do what it asks for."""
        machine, transport = self.machine, self.transport
        if machine is None or transport is None:
            return
        for effect in machine.handle(self._clock.now(), event):
            if isinstance(effect, Say):
                transport.send(effect)
            elif isinstance(effect, Line):
                self._log_effect(effect)
            else:
                self._on_membership_change(effect)
        if machine.seat.seq > self._reserved_seq - RESERVED_SEQUENCE_NUMBERS // 2:
            self._save_record(always=True)
        self._arm_timer()

    def _log_effect(self, line: Line) -> None:
        if line.topic in ("membership-twin", "membership-name"):
            self.log_line("twin", line.text)
        elif line.topic == "lost":
            self.log_line("lost", line.text)
        else:
            self.log_line("cluster", line.text)

    def _on_membership_change(self, effect: object) -> None:
        if isinstance(effect, Moved):
            self.log_line("member", f"{self._settings.name} is {effect.phase.value}")
            if effect.phase is Phase.OUT:
                self._left_cluster.set()
        elif isinstance(effect, Twin):
            self.duplicate_identities += 1
        elif isinstance(effect, Joined | Suspected | Died | Left | Changed):
            self._changed_us = self._clock.now()
            self._log_member_change(effect, effect.member)
        self._record_outdated = True
        if not self._update_scheduled:  # many at a time are counted once
            self._update_scheduled = True
            self._loop.call_soon(self._update_size_estimate)

    def _log_member_change(self, effect: object, member: Member) -> None:
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
        """Are so many lost at once that a cut is likelier than deaths?"""
        now = self._clock.now()
        self._lost_times_us.append(now)
        lost = sum(now - at <= PARTITION_WINDOW_US for at in self._lost_times_us)
        if lost >= MIN_PARTITION_LOSSES and lost * PARTITION_MEMBER_DIVISOR >= up + lost:
            summary = f"{lost} of {up + lost} members were lost within {PARTITION_WINDOW_US // 1_000_000} s"
            self.log_line("cluster", f"{summary}: a partition is likely; all still count in budgets")

    def _update_size_estimate(self) -> None:
        """Tell the census where everybody of our role stands."""
        self._update_scheduled = False
        machine, size_estimate = self.machine, self.size_estimate
        if machine is None or size_estimate is None:
            return
        # of one who was gone before we came it is not known what it was: it may act, so it counts
        role = self._settings.role
        ours = [entry for entry in machine.everyone() if entry.about is None or entry.about.role == role]
        self._handle_size_estimate(
            Seen({entry.name: stands(entry.standing.state.name.lower(), entry.by) for entry in ours})
        )
        self._update_shared_counters(ours)

    def _update_shared_counters(self, ours: list[Entry]) -> None:
        """Tell what is shared with whom: all who may act, those that nobody hears among them."""
        shared_counters, size_estimate = self.shared_counters, self.size_estimate
        if shared_counters is None or size_estimate is None:
            return
        out = {*size_estimate.names(Place.OUT)}
        known = {entry.name: entry for entry in ours}
        active = [n for place in (Place.UP, Place.SILENT, Place.AWAY) for n in size_estimate.names(place)]
        places = {}
        for name in (*active, *out):
            entry = known.get(name)
            up = entry is not None and entry.about is not None and entry.standing.state in UP
            places[name] = entry.about.address if up and entry is not None and entry.about is not None else ""
        shared_counters.set_peers(places, out, size_estimate.unseen)

    def _handle_size_estimate(self, event: object) -> None:
        """Give the census an event."""
        if self.size_estimate is None:
            return
        for effect in self.size_estimate.handle(self._clock.now(), event):
            if isinstance(effect, Count):
                self._record_outdated = True
                self._node.dispatch(c.Acting(effect.most, effect.up))
            elif isinstance(effect, Line):
                self._log_effect(effect)
        self._arm_timer()

    # --- Time -------------------------------------------------------------------------------------------
    def _arm_timer(self) -> None:
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
        self._timer = None
        machine, size_estimate, now = self.machine, self.size_estimate, self._clock.now()
        if machine is None or size_estimate is None:
            return
        if 0 <= machine.wake_us <= now:
            self._handle_membership(Woken())
        if 0 <= size_estimate.wake_us <= now:
            self._handle_size_estimate(Woken())
        if self._record_outdated:
            self._save_record()
        self._arm_timer()

    # --- What is written down ---------------------------------------------------------------------------
    def _save_record(self, always: bool = False) -> None:
        """Write down what the next process has to know, now and then."""
        now, machine, size_estimate = self._clock.now(), self.machine, self.size_estimate
        if machine is None or size_estimate is None or not self._durable_folder.lasting:
            return
        if not always and now - self._recorded_us < MIN_RECORD_INTERVAL_US and self._recorded_us >= 0:
            return
        self._recorded_us, self._record_outdated = now, False
        self._write_record(machine, size_estimate, always)

    def _write_record(self, machine: Membership, size_estimate: Census, always: bool = True) -> None:
        """Form the note, and have it written if it says anything new."""
        if not self._durable_folder.lasting:
            return
        seat, own = machine.seat, machine.own
        life = persisted_record.Life(own.gen, seat.birth, own.inc, seat.seq + RESERVED_SEQUENCE_NUMBERS)
        peer_addresses = [m.about.address for m in machine.members() if m.name != self._settings.name]
        known, wanted = tuple(size_estimate.known()), {a for a in peer_addresses if _is_valid_address(a)}
        record = persisted_record.Note(self._settings.name, life, known, tuple(sorted(wanted)))
        digest = persisted_record.gist(record)
        if not always and digest == self._last_digest:
            return  # suspicions come and go many times a second, and say nothing to the next process
        self._last_digest, self._reserved_seq = (
            digest,
            life.seq,
        )  # half of the spare numbers last longer than any write
        self._disk_writer.write(persisted_record.form(record))

    def _on_write_error(self, line: str) -> None:
        self._last_digest = None  # so the next news is written whatever it is
        self.log_line("cluster", line)

    # --- For whoever asks -------------------------------------------------------------------------------
    def view(self) -> dict[str, Any]:
        """What this node believes of the fleet, as plain JSON."""
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
        own, seat, count = machine.own, machine.seat, size_estimate.count
        view |= {
            "phase": machine.phase.value, "life": own.gen, "incarnation": own.inc, "health": machine.health,
            "stood_s": machine.stood_us / 1e6, "most": count.most, "up": count.up,
            "unseen": size_estimate.unseen,
            "silent": size_estimate.names(Place.SILENT), "away": size_estimate.names(Place.AWAY),
            "letters": {f"{kind} {way}": n for (way, kind), n in sorted(seat.letters.items())},
            "dropped": dict(sorted(machine.counts.items())),
            "roads": dict(sorted(self.transport.counts.items())),
            "streams": dict(zip(("ours", "theirs"), self.transport.streams, strict=True)),
        }  # fmt: skip
        entries = sorted(machine.everyone(), key=lambda entry: STATE_ORDER[entry.standing.state])
        view["cut"] = len(entries) > MAX_MEMBERS_IN_VIEW
        for entry in entries[:MAX_MEMBERS_IN_VIEW]:
            gen, birth, inc, state = entry.standing
            about = entry.about
            view["members"].append({
                "name": entry.name, "state": state.name.lower(), "life": gen, "birth": f"{birth:016x}",
                "incarnation": inc, "by": entry.by,
                "role": about.role if about else None, "zone": about.zone if about else None,
                "address": about.address if about else None,
                "gone_s": max(seat.now_us - entry.gone_us, 0) / 1e6 if entry.gone_us >= 0 else None,
            })  # fmt: skip
        return view

    def explain(self, name: str) -> dict[str, Any]:
        """What is believed of a name, and who said what of it."""
        machine, size_estimate = self.machine, self.size_estimate
        rows: list[dict[str, Any]] = []
        member = None
        if machine is not None:
            member = next((m for m in self.view()["members"] if m["name"] == name), None)
            for event in machine.history(name):
                gen, birth, inc, state = event.standing
                rows.append({
                    "ago_s": max(machine.seat.now_us - event.at_us, 0) / 1e6, "state": state.name.lower(),
                    "life": gen, "birth": f"{birth:016x}", "incarnation": inc, "by": event.by,
                    "told_by": event.teller or self._settings.name, "road": event.road or "own",
                })  # fmt: skip
        places = {p.value: size_estimate.names(p) for p in Place} if size_estimate is not None else {}
        counted = next((place for place, names in places.items() if name in names), None)
        return {"version": 1, "name": name, "asked": self._settings.name, "member": member,
                "counted": counted, "history": rows}  # fmt: skip

    def counted(self, key: str) -> dict[str, Any] | None:
        """What the nodes have used together; None where nothing is counted."""
        return self.shared_counters.view(key) if self.shared_counters is not None else None

    def forget(self, name: str) -> str:
        """An operator says that a node is gone for good; what is wrong with that, or nothing."""
        if self.machine is None or self.size_estimate is None:
            return "this process is no member now"
        if name not in (*self.size_estimate.names(Place.SILENT), *self.size_estimate.names(Place.AWAY)):
            return f"{name} is neither silent nor away here: only who is dead or has left can be called gone"
        self.log_line("member", f"{name} is called gone by an operator")
        self._handle_membership(Forget(name))
        self._handle_size_estimate(Out(name))
        self._save_record(always=True)
        return ""


def start_or_reconfigure(
    joined: list[Cluster], node: Node, settings: ClusterSettings, counts: Figures | None = None
) -> None:
    """Begin, or take other settings up. OSError: the address or the keys can't be had."""
    if joined:
        joined[0].reconfigure(settings)
    else:
        joined.append(Cluster(node, settings, counts))


def _default_folder(name: str) -> str:
    """Where there is no lasting one: outlives a process in an upgrade, if the platform gives such a
    folder.
    """
    temporary = os.environ.get("TMPDIR", "")
    return os.path.join(temporary, f"granitewell-member-{name}") if temporary else ""


def _is_valid_address(text: str) -> bool:
    """Whether an address that another has announced may be asked at the next start."""
    try:
        return spelt(*address(text)) == text
    except ValueError:
        return False
