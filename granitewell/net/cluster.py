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
from granitewell.net.disk_writer import Notebook
from granitewell.net.peers import Roads
from granitewell.protocols.peers.frames import Keys, Kind, kind_of
from granitewell.protocols.peers.limits import Bucket
from granitewell.state_machine import Heard, Line, Say, Woken

if TYPE_CHECKING:
    from granitewell.net.loop import Node
    from granitewell.net.shared_counters import Shared
    from granitewell.shared_counters.types import CounterSettings

TRY_S = 0.05  # between two looks whether the lock is free
DISK_S = 2.0  # for the last note of a process
ASIDE_S = 0.5  # for the other process to take it, before this one looks whether it still lives
NOTE_US = 1_000_000  # between two notes, at least
SPARE = 1 << 20  # numbers that a note reserves; half of them used, and the next note is due
PART_OF_SOCKETS = 16  # one descriptor in so many may be a stream, each way
MANY_PART, MANY_US, MANY_LEAST = 3, 12_000_000, 2  # one in so many members lost within that time
LINES = 3  # lines of a topic a second, twice that at once
FIGURES = membership.Figures()
MAX_ROWS = 1_000  # members in an answer, those first who are not well: a look is made in one turn
ORDER = {State.SUSPECT: 0, State.DEAD: 1, State.ALIVE: 2, State.LEFT: 3}


class Turn(Enum):
    """Which of a node's processes is the member."""

    WAITING = "waiting"
    HELD = "held"
    ASIDE = "aside"
    LEAVING = "leaving"
    OVER = "over"


class Cluster:
    """The member that this process is, waits to be, or was."""

    def __init__(self, node: Node, settings: ClusterSettings, counts: CounterSettings | None = None) -> None:
        """counts: what the nodes count together, None for nothing.

        OSError: the address can't be had, or the keys can't be read.
        """
        if settings.keys is None:
            raise OSError(f"cluster.keys: {settings.keys_why}")
        self._node, self._settings, self._keys = node, settings, settings.keys
        self._loop, self._clock = asyncio.get_running_loop(), node.clock
        self._kept = Kept(settings.folder or _folder(settings.name))
        self._streams = max(min(settings.streams, node._sockets // PART_OF_SOCKETS), 1)
        node._sockets = max(node._sockets - 2 * self._streams - 2, 1)
        node._divide(node._sockets)
        self._lines: dict[str, Bucket] = {}  # topics are the program's own
        self.turn = Turn.WAITING
        self.machine: Membership | None = None
        self.census: Census | None = None
        self.roads: Roads | None = None
        self._waited = self._dirty = self._counting = self._said_busy = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = -1
        self._book = Notebook(self._kept, self._clock.now, self._unwritten)
        self._noted_us = self._changed_us = -1
        self._gist: object = None  # what the last note says, less what only time has changed
        self._reserved = 0
        self._lost: deque[int] = deque(maxlen=256)  # when members were lost
        self._out = asyncio.Event()
        self.twins = 0
        self.shared: Shared | None = None
        if counts is not None:
            from granitewell.net.shared_counters import Shared

            self.shared = Shared(node, settings.name, settings.keys, counts)
        self._try(first=True)

    # --- Whose turn it is -------------------------------------------------------------------------------
    def _try(self, first: bool = False) -> None:
        """Be the member, if nobody else is. OSError, at the first time alone: the address can't be had."""
        if self.turn is not Turn.WAITING:
            return
        had, wrong = self._kept.take()
        if wrong:
            self.say("cluster", wrong)
        if had:
            try:
                self._begin()
                return
            except OSError as error:
                if first and not self._node._shared:
                    self._kept.release()
                    raise OSError(f"cluster {self._settings.bind}: {error.strerror or error}") from None
                if not self._said_busy:  # the process before this one is not quite gone
                    self._said_busy = True
                    self.say("cluster", f"{self._settings.bind}: {error.strerror}: trying again")
        elif not self._waited:
            self._waited = True
            self.say("cluster", "another process of this node is the member: waiting for its place")
        self._loop.call_later(TRY_S, self._try)

    def _begin(self) -> None:
        """The lock is had: bind, read what was written down, and be a member."""
        settings, clock = self._settings, self._clock
        rng = Random(int.from_bytes(os.urandom(16), "big"))
        roads = Roads(self._loop, clock, self._heard, self.say, self._node._spawn, self._streams, rng)
        roads.open(address(settings.bind))
        note = self._read()
        former = None
        if note is not None and note.life.gen:
            life = note.life
            former = Former(life.gen, max(life.birth, 1), life.inc, life.seq, self._waited)
        known = note.known if note is not None else ()
        seeds = tuple(dict.fromkeys((*settings.seeds, *(note.addresses if note is not None else ()))))
        config = Config(
            settings.name, settings.address, self._keys, settings.role, settings.zone, seeds=seeds,
            figures=FIGURES, former=former,
        )  # fmt: skip
        configured = self._node._config.settings.proxies
        self.census = Census(settings.name, configured, int(settings.unheard_s * 1e6), known)
        self.roads, self.turn = roads, Turn.HELD
        machine, keys = Membership(config, rng), self._keys
        how = "going on with the life of the process before" if self._waited and former else "joining"
        self.say("member", f"{settings.name} at {settings.address}: {how}, {len(seeds)} seeds")
        # before anything is said: a life that others know must not come again
        self._write(machine, self.census)
        self._book.then(lambda: self._join(machine, settings, keys))

    def _join(self, machine: Membership, settings: ClusterSettings, keys: Keys) -> None:
        """Its life is written down: be a member from now on, if this process is still to be one.

        The files may have been read again meanwhile.
        """
        if self.turn is not Turn.HELD or self.machine is not None:
            return
        self.machine = machine
        if self._keys != keys:
            self._tell(Rekey(self._keys))
        if self._settings.seeds != settings.seeds:
            self._tell(Reseed(self._settings.seeds))
        if self.shared is not None and self.roads is not None:
            self.shared.begin(machine.own.gen, self.roads.say)
        self._tell(Woken())
        self._count()

    def _read(self) -> persisted_record.Note | None:
        raw, wrong = self._kept.read(persisted_record.MAX_BYTES)
        if raw:
            try:
                note = persisted_record.read(raw)
                if note.name == self._settings.name:
                    return note
                wrong = f"the folder's file is {note.name[:63]}'s"
            except ValueError as error:
                wrong = f"the folder's file: {error}"
        if wrong:
            self.say("cluster", f"passed over: {wrong}")
        return None

    def stop(self) -> None:
        """The process is asked to stop: leave, or leave the place to the process beside this one."""
        if self.turn is Turn.WAITING:
            self.turn = Turn.OVER
        elif self.turn is Turn.HELD:
            if self._kept.lasting and self._others():
                self._hand_over()
            else:
                self._leave()

    def _others(self) -> bool:
        """Does another process of this node run?"""
        handover = self._node._handover
        return handover is not None and bool(handover.others())

    def _leave(self) -> None:
        self.turn = Turn.LEAVING
        if self.machine is None:
            self._out.set()  # nobody has heard of it yet
        self._tell(Leave())

    def _hand_over(self) -> None:
        self._note(always=True)
        self.turn = Turn.ASIDE
        self._book.then(self._let_go)

    def _let_go(self) -> None:
        """The last numbers are written down: the other process may go on from there."""
        self._close()
        self._kept.release()
        self.say("member", "the process beside this one goes on as the member")
        self._loop.call_later(ASIDE_S, self._back)

    def _back(self) -> None:
        """Has the other process taken the place, or does it still live to do so?

        Else take it back, to leave.
        """
        if self.turn is not Turn.ASIDE or self._kept.held:
            return
        if self._others():
            self._loop.call_later(ASIDE_S, self._back)
            return
        had, _ = self._kept.take()
        if not had:
            self.turn = Turn.OVER
            return
        self.say("cluster", "the process beside this one has ended: leaving for both")
        self._waited = True
        try:
            self._begin()
        except OSError as error:
            self.say("cluster", f"{self._settings.bind}: {error.strerror}: the others will find out")
            self.turn = Turn.OVER
            return
        self._book.then(self._leave)

    async def gone(self) -> None:
        """All is answered: end, once the others have been told."""
        if self.turn is Turn.ASIDE:
            await self._written()
            self._back()
            await self._written()
        if self.turn is Turn.LEAVING:
            try:
                async with asyncio.timeout(2 * FIGURES.leave_us / 1e6):
                    await self._out.wait()
            except TimeoutError:
                pass
        if self.turn in (Turn.HELD, Turn.LEAVING):
            self._note(always=True)
            await self._written()
        self.turn = Turn.OVER
        self._close()
        if not self._book.at_work:  # else the kernel gives the lock back, once that write is over
            self._kept.release()

    async def _written(self) -> None:
        """Wait until the disk has what it was given, for a while: a disk that stands still stops nothing."""
        done = asyncio.Event()
        self._book.then(done.set)
        try:
            async with asyncio.timeout(DISK_S):
                await done.wait()
        except TimeoutError:
            self.say("cluster", "the disk has not taken the folder's file: ending without it")

    def _close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.roads is not None:
            self.roads.close()
        self.machine = None
        if self.shared is not None:
            self.shared.end()

    # --- Settings ---------------------------------------------------------------------------------------
    def take(self, settings: ClusterSettings) -> None:
        """The files have been read again."""
        if settings.name:
            if settings.keys is None:
                self.say("cluster", f"the keys stay as they are: {settings.keys_why}")
            elif settings.keys != self._keys:
                self._rekey(settings.keys)
            if self.machine is not None and settings.seeds != self._settings.seeds:
                self._tell(Reseed(settings.seeds))
            self._settings = settings
        if self.census is not None:
            self.census.unheard_us = int(self._settings.unheard_s * 1e6)
            self._ask(Configured(self._node._config.settings.proxies))

    def _rekey(self, keys: Keys) -> None:
        self._keys = keys
        ids = ", ".join(k.id.hex() for k in (keys.current, keys.other) if k is not None)
        self.say("member", f"keys are taken up: {ids}, the first seals")
        if self.machine is not None:
            self._tell(Rekey(keys))
        if self.shared is not None:
            self.shared.rekey(keys)

    def tell(self, node: Node) -> None:
        """Whoever asks the node's status may ask for the cluster, too."""
        if node.door is not None:
            node.door.cluster = self

    def say(self, topic: str, line: str) -> None:
        """A line of the log.

        Members come and go several at a time, and each of those lines is wanted: some of a topic are written
        at once, further ones as often as those of other topics.
        """
        bucket = self._lines.setdefault(topic, Bucket(LINES, self._clock.now()))
        if bucket.take(self._clock.now()):
            self._node.log.write(self._clock.now(), topic, line, always=True)
        else:
            self._node.say(topic, line)

    # --- Events and effects -----------------------------------------------------------------------------
    def _heard(self, heard: Heard) -> None:
        """Which machine is to open it, by a head that nothing has proved yet."""
        if self.shared is not None and kind_of(heard.data) == Kind.COUNT:
            self.shared.heard(heard)
        else:
            self._tell(heard)

    def _tell(self, event: object) -> None:
        """Give the member an event, and do what it asks for."""
        machine, roads = self.machine, self.roads
        if machine is None or roads is None:
            return
        for effect in machine.handle(self._clock.now(), event):
            if isinstance(effect, Say):
                roads.say(effect)
            elif isinstance(effect, Line):
                self._line(effect)
            else:
                self._news(effect)
        if machine.seat.seq > self._reserved - SPARE // 2:
            self._note(always=True)
        self._arm()

    def _line(self, line: Line) -> None:
        if line.topic in ("membership-twin", "membership-name"):
            self.say("twin", line.text)
        elif line.topic == "lost":
            self.say("lost", line.text)
        else:
            self.say("cluster", line.text)

    def _news(self, effect: object) -> None:
        if isinstance(effect, Moved):
            self.say("member", f"{self._settings.name} is {effect.phase.value}")
            if effect.phase is Phase.OUT:
                self._out.set()
        elif isinstance(effect, Twin):
            self.twins += 1
        elif isinstance(effect, Joined | Suspected | Died | Left | Changed):
            self._changed_us = self._clock.now()
            self._said_of(effect, effect.member)
        self._dirty = True
        if not self._counting:  # many at a time are counted once
            self._counting = True
            self._loop.call_soon(self._count)

    def _said_of(self, effect: object, member: Member) -> None:
        name, at = member.name, member.about.address
        up = len(self.machine.members()) if self.machine is not None else 0
        if isinstance(effect, Joined):
            self.say("member", f"{name} is there, at {at}: {up} up")
        elif isinstance(effect, Left):
            self.say("member", f"{name} has left: {up} up")
        elif isinstance(effect, Suspected):
            self.say("lost", f"{name} at {at} does not answer: suspected")
        elif isinstance(effect, Died):
            self.say("lost", f"{name} at {at} is dead as far as this node can tell: {up} up")
            self._many(up)

    def _many(self, up: int) -> None:
        """Are so many lost at once that a cut is likelier than deaths?"""
        now = self._clock.now()
        self._lost.append(now)
        lost = sum(now - at <= MANY_US for at in self._lost)
        if lost >= MANY_LEAST and lost * MANY_PART >= up + lost:
            within = f"{lost} of {up + lost} members were lost within {MANY_US // 1_000_000} s"
            self.say("cluster", f"{within}: a partition is likely; all still count in budgets")

    def _count(self) -> None:
        """Tell the census where everybody of our role stands."""
        self._counting = False
        machine, census = self.machine, self.census
        if machine is None or census is None:
            return
        # of one who was gone before we came it is not known what it was: it may act, so it counts
        role = self._settings.role
        ours = [e for e in machine.everyone() if e.about is None or e.about.role == role]
        self._ask(Seen({e.name: stands(e.standing.state.name.lower(), e.by) for e in ours}))
        self._share(ours)

    def _share(self, ours: list[Entry]) -> None:
        """Tell what is shared with whom: all who may act, those that nobody hears among them."""
        shared, census = self.shared, self.census
        if shared is None or census is None:
            return
        out = {*census.names(Place.OUT)}
        known = {e.name: e for e in ours}
        acting = [n for place in (Place.UP, Place.SILENT, Place.AWAY) for n in census.names(place)]
        places = {}
        for name in (*acting, *out):
            entry = known.get(name)
            up = entry is not None and entry.about is not None and entry.standing.state in UP
            places[name] = entry.about.address if up and entry is not None and entry.about is not None else ""
        shared.members(places, out, census.unseen)

    def _ask(self, event: object) -> None:
        """Give the census an event."""
        if self.census is None:
            return
        for effect in self.census.handle(self._clock.now(), event):
            if isinstance(effect, Count):
                self._dirty = True
                self._node.dispatch(c.Acting(effect.most, effect.up))
            elif isinstance(effect, Line):
                self._line(effect)
        self._arm()

    # --- Time -------------------------------------------------------------------------------------------
    def _arm(self) -> None:
        if self.machine is None or self.census is None:
            return
        wakes = [x for x in (self.machine.wake_us, self.census.wake_us) if x >= 0]
        wake = min(wakes, default=-1)
        if wake < 0 or (self._timer is not None and self._timer_us <= wake):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_us = wake
        wait_us = max(wake - self._clock.fresh(), 0)
        self._timer = self._loop.call_later(-(-wait_us // 1000) / 1000, self._woken)

    def _woken(self) -> None:
        self._timer = None
        machine, census, now = self.machine, self.census, self._clock.now()
        if machine is None or census is None:
            return
        if 0 <= machine.wake_us <= now:
            self._tell(Woken())
        if 0 <= census.wake_us <= now:
            self._ask(Woken())
        if self._dirty:
            self._note()
        self._arm()

    # --- What is written down ---------------------------------------------------------------------------
    def _note(self, always: bool = False) -> None:
        """Write down what the next process has to know, now and then."""
        now, machine, census = self._clock.now(), self.machine, self.census
        if machine is None or census is None or not self._kept.lasting:
            return
        if not always and now - self._noted_us < NOTE_US and self._noted_us >= 0:
            return
        self._noted_us, self._dirty = now, False
        self._write(machine, census, always)

    def _write(self, machine: Membership, census: Census, always: bool = True) -> None:
        """Form the note, and have it written if it says anything new."""
        if not self._kept.lasting:
            return
        seat, own = machine.seat, machine.own
        life = persisted_record.Life(own.gen, seat.birth, own.inc, seat.seq + SPARE)
        there = [m.about.address for m in machine.members() if m.name != self._settings.name]
        known, wanted = tuple(census.known()), {a for a in there if _fits(a)}
        note = persisted_record.Note(self._settings.name, life, known, tuple(sorted(wanted)))
        gist = persisted_record.gist(note)
        if not always and gist == self._gist:
            return  # suspicions come and go many times a second, and say nothing to the next process
        self._gist, self._reserved = gist, life.seq  # half of the spare numbers last longer than any write
        self._book.write(persisted_record.form(note))

    def _unwritten(self, line: str) -> None:
        self._gist = None  # so the next news is written whatever it is
        self.say("cluster", line)

    # --- For whoever asks -------------------------------------------------------------------------------
    def view(self) -> dict[str, Any]:
        """What this node believes of the fleet, as plain JSON."""
        machine, census, now = self.machine, self.census, self._clock.now()
        settings = self._settings
        made: dict[str, Any] = {
            "version": 1, "name": settings.name, "address": settings.address, "role": settings.role,
            "zone": settings.zone, "turn": self.turn.value, "twins": self.twins,
            "configured": self._node._config.settings.proxies, "most": None, "up": None, "unseen": None,
            "changed_s": (now - self._changed_us) / 1e6 if self._changed_us >= 0 else None,
            "phase": None, "life": None, "incarnation": None, "health": None, "stood_s": None,
            "members": [], "silent": [], "away": [], "letters": {}, "dropped": {}, "roads": {},
            "streams": None,
        }  # fmt: skip
        if machine is None or census is None or self.roads is None:
            return made
        own, seat, count = machine.own, machine.seat, census.count
        made |= {
            "phase": machine.phase.value, "life": own.gen, "incarnation": own.inc, "health": machine.health,
            "stood_s": machine.stood_us / 1e6, "most": count.most, "up": count.up, "unseen": census.unseen,
            "silent": census.names(Place.SILENT), "away": census.names(Place.AWAY),
            "letters": {f"{kind} {way}": n for (way, kind), n in sorted(seat.letters.items())},
            "dropped": dict(sorted(machine.counts.items())), "roads": dict(sorted(self.roads.counts.items())),
            "streams": dict(zip(("ours", "theirs"), self.roads.streams, strict=True)),
        }  # fmt: skip
        everyone = sorted(machine.everyone(), key=lambda e: ORDER[e.standing.state])
        made["cut"] = len(everyone) > MAX_ROWS
        for e in everyone[:MAX_ROWS]:
            gen, birth, inc, state = e.standing
            about = e.about
            made["members"].append({
                "name": e.name, "state": state.name.lower(), "life": gen, "birth": f"{birth:016x}",
                "incarnation": inc, "by": e.by,
                "role": about.role if about else None, "zone": about.zone if about else None,
                "address": about.address if about else None,
                "gone_s": max(seat.now_us - e.gone_us, 0) / 1e6 if e.gone_us >= 0 else None,
            })  # fmt: skip
        return made

    def explain(self, name: str) -> dict[str, Any]:
        """What is believed of a name, and who said what of it."""
        machine, census = self.machine, self.census
        rows: list[dict[str, Any]] = []
        member = None
        if machine is not None:
            member = next((m for m in self.view()["members"] if m["name"] == name), None)
            for told in machine.history(name):
                gen, birth, inc, state = told.standing
                rows.append({
                    "ago_s": max(machine.seat.now_us - told.at_us, 0) / 1e6, "state": state.name.lower(),
                    "life": gen, "birth": f"{birth:016x}", "incarnation": inc, "by": told.by,
                    "told_by": told.teller or self._settings.name, "road": told.road or "own",
                })  # fmt: skip
        places = {p.value: census.names(p) for p in Place} if census is not None else {}
        counted = next((p for p, there in places.items() if name in there), None)
        return {"version": 1, "name": name, "asked": self._settings.name, "member": member,
                "counted": counted, "history": rows}  # fmt: skip

    def counted(self, key: str) -> dict[str, Any] | None:
        """What the nodes have used together; None where nothing is counted."""
        return self.shared.view(key) if self.shared is not None else None

    def forget(self, name: str) -> str:
        """An operator says that a node is gone for good; what is wrong with that, or nothing."""
        if self.machine is None or self.census is None:
            return "this process is no member now"
        if name not in (*self.census.names(Place.SILENT), *self.census.names(Place.AWAY)):
            return f"{name} is neither silent nor away here: only who is dead or has left can be called gone"
        self.say("member", f"{name} is called gone by an operator")
        self._tell(Forget(name))
        self._ask(Out(name))
        self._note(always=True)
        return ""


def join(
    joined: list[Cluster], node: Node, settings: ClusterSettings, counts: CounterSettings | None = None
) -> None:
    """Begin, or take other settings up. OSError: the address or the keys can't be had."""
    if joined:
        joined[0].take(settings)
    else:
        joined.append(Cluster(node, settings, counts))


def _folder(name: str) -> str:
    """Where there is no lasting one: outlives a process in an upgrade, if the platform gives such a
    folder.
    """
    temporary = os.environ.get("TMPDIR", "")
    return os.path.join(temporary, f"granitewell-member-{name}") if temporary else ""


def _fits(text: str) -> bool:
    """Whether an address that another has announced may be asked at the next start."""
    try:
        return spelt(*address(text)) == text
    except ValueError:
        return False
