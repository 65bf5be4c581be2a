"""One process of a dispatch server, from its start to its end: what it has read and how it answers.

It owns every request that it has read: each ends exactly once, by one `Done`, and is answered at most once.
It must never know of what happens outside a process's life (starts, stops, pauses: `endpoint`), nor how fast
work goes (`endpoint_slots`). After each event `settle` fills free slots, sets the pace from what is held and
open, and finds the next time at which something happens by itself.

    READ -> WAITING -> WORKING -> (KEPT ->) OVER    READ, WAITING -> OVER when turned away or dropped
                          |                         WORKING -> OVER when stopped
                          +-----> HUNG -> OVER      KEPT, HUNG -> OVER when the connection goes
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from random import Random

from granitewell.lab.day import Day, EndpointDay, Stops
from granitewell.lab.emulator import conditions, types
from granitewell.lab.emulator.conditions import Ills, Outlook
from granitewell.lab.emulator.endpoint_parts import Allowance, FallGuard, Memory, Reports
from granitewell.lab.emulator.endpoint_slots import Slots
from granitewell.lab.emulator.endpoint_table import Conn, Kind, Stage, Table, Task
from granitewell.lab.emulator.types import Asked, Condition, Done, EndpointEffect, Hangup, Reply
from granitewell.lab.emulator.work import attempt_factor

READ, WAITING, WORKING, KEPT, HUNG, OVER = Stage  # looking a member up by its name each time is slow
REQUEST, DEEP, SHALLOW, HANDSHAKE = Kind
Out = list[EndpointEffect]

# How an answer ends -> what the witness is told. A head alone and a broken connection are spoilt answers.
_OUTCOME = {
    "ok": "ok",
    "error": "error",
    "full": "full",
    "spoilt": "spoilt",
    "head": "spoilt",
    "reset": "spoilt",
}
_TO_PROBE = {"ok": "probe_ok", "error": "probe_bad", "full": "probe_bad"}


class Process:
    """One process.

    Methods with `now_us` expect it never to fall, and `turn` to have been called for each `wake_us` up to
    then; after any of them, `settle`. Effects are appended to `out`.
    """

    __slots__ = (
        "_day",
        "_guard",
        "_held",
        "_idle_due",
        "_ills",
        "_kind",
        "_memory",
        "_probes",
        "_reports",
        "_rng",
        "_seq",
        "_timers",
        "draining",
        "hung",
        "slots",
        "table",
        "wake_us",
    )

    def __init__(
        self, spec: EndpointDay, day: Day, ills: Ills, rng: Random, start_us: int, cold: bool
    ) -> None:
        kind = day.kinds[spec.kind]
        self._kind, self._day, self._ills, self._rng = kind, day, ills, rng
        self.slots = Slots(spec, kind, day.conn, start_us, cold)
        self.table = Table(day.conn.idle_us)
        self._guard = FallGuard(day.rules, day.classes, kind.cores * spec.speed)
        self._memory = Memory(kind)
        self._reports = Reports(day.report, kind.cores, rng, start_us)
        self._probes = Allowance(day.probe.cap_per_s, start_us)
        self.draining = False
        self.wake_us = self._idle_due = -1
        self.hung = 0
        self._seq = 0
        self._held: dict[int, Task] = {}  # every request that is not over, in the order of arrival
        self._timers: list[tuple[int, int, bool, Task]] = []  # (at, number, kept until then, task)

    # --- Time ---
    def _pass(self, now_us: int) -> None:
        """Time has passed until now with everything as it was."""
        slots = self.slots
        slots.pace.advance(now_us)
        if self._reports.on:
            self._reports.advance(now_us, slots.held + self.hung, len(slots.waiting), slots.busy_cores)

    def skip(self, now_us: int) -> None:
        """The process has stood still until now."""
        self.slots.pace.skip(now_us)
        self._reports.skip(now_us)

    def turn(self, now_us: int, out: Out) -> None:
        """Whatever is due by now: ends of work, ends of attempts' times, kept answers, idle connections."""
        self._pass(now_us)
        while (task := self.slots.finished()) is not None:
            self._worked(now_us, task, out)
        timers = self._timers
        while timers and timers[0][0] <= now_us:
            _, _, kept, task = heappop(timers)
            if not kept:
                self._out_of_time(now_us, task, out)
            elif task.stage is KEPT:
                self._conclude(now_us, task, task.end, out)
        if -1 < self._idle_due <= now_us:
            while (conn := self.table.overdue(now_us)) is not None:
                self.table.remove(conn)
                out.append(Hangup(conn.id, reset=False))

    def settle(self, now_us: int, out: Out) -> None:
        """Fill free slots, set the pace, find the next time at which something happens by itself."""
        slots, timers = self.slots, self._timers
        while slots.waiting and (task := slots.next()) is not None:
            self._begin(now_us, task, out)
        slots.set_pace(self._ills.pace, len(self.table.open))
        while timers and timers[0][3].stage is OVER:
            heappop(timers)
        due = slots.due_us()
        if timers and (due < 0 or timers[0][0] < due):
            due = timers[0][0]
        self._idle_due = idle = self.table.due_us()
        self.wake_us = idle if idle >= 0 and (due < 0 or idle < due) else due

    def _remind(self, at_us: int, task: Task, kept: bool) -> None:
        """Look at the task again at that time. Entries of tasks that are over must not pile up."""
        if len(self._timers) > 64 + 4 * len(self._held):
            self._timers = [entry for entry in self._timers if entry[3].stage is not OVER]
            heapify(self._timers)
        heappush(self._timers, (at_us, task.seq, kept, task))

    # --- Connections ---
    def opened(self, now_us: int, event: types.Opened, out: Out) -> None:
        """A connection has arrived: it stands, and its handshake costs work ahead of its first request."""
        self._pass(now_us)
        if len(self.table.open) >= self._day.conn.cap or self._ills.refuses(event.node):
            out.append(types.Refuse(event.conn))
            return
        conn = self.table.open[event.conn] = Conn(event.conn, event.node, now_us)
        out.append(types.Accept(conn.id))
        if self._day.conn.handshake_us > 0:
            conn.shake = self._task(HANDSHAKE, conn, _no_request(conn))
            self.slots.work(conn.shake, self._day.conn.handshake_us, beside=True)
        else:
            self.table.idles(now_us, conn)

    def gone(self, now_us: int, number: int, out: Out) -> None:
        """The node has closed the connection or waits no more; harmless for one that is not open."""
        self._pass(now_us)
        conn = self.table.open.get(number)
        if conn is not None:
            self._drop(now_us, conn, out)

    def _drop(self, now_us: int, conn: Conn, out: Out) -> None:
        self.table.remove(conn)
        if conn.shake is not None:
            self.slots.leave(conn.shake)
        if conn.task is not None and conn.task.stage is not OVER:
            self._forsaken(now_us, conn.task, out)

    def _break(self, now_us: int, number: int, out: Out) -> None:
        """Reset a connection on which something came that can't be taken: one not open, or busy."""
        out.append(Hangup(number, reset=True))
        self.gone(now_us, number, out)

    def _shaken(self, now_us: int, conn: Conn, out: Out) -> None:
        conn.shake = None
        if conn.task is None:
            self.table.idles(now_us, conn)
        elif conn.task.stage is READ:
            self._admit(now_us, conn.task, out)

    # --- Requests and probes ---
    def asked(self, now_us: int, event: Asked, out: Out) -> bool:
        """A request has been read. False: with it the process, still cold, has been sent too much."""
        self._pass(now_us)
        conn = self.table.open.get(event.conn)
        if conn is None or conn.task is not None:
            self._break(now_us, event.conn, out)
            out.append(Done(event.rid, "died"))
            return True
        task = self._task(REQUEST, conn, event)
        self._held[task.seq] = conn.task = task
        conn.idle_us = -1
        pace = self.slots.pace
        stands = not pace.cold or not self._guard.over(now_us, event.cls, pace.warm)
        if stands and conn.shake is None:
            self._admit(now_us, task, out)
        return stands

    def probed(self, now_us: int, event: types.ProbeAsked, out: Out) -> None:
        """A probe has been read. One over the cap, or where there are none, is answered bad at no cost."""
        self._pass(now_us)
        conn, probe = self.table.open.get(event.conn), self._day.probe
        if conn is None or conn.task is not None:
            self._break(now_us, event.conn, out)
            return
        task = conn.task = self._task(DEEP if probe.deep else SHALLOW, conn, _no_request(conn))
        conn.idle_us = -1
        if not probe.allowed or self.draining or not self._probes.take(now_us):
            self._conclude(now_us, task, "full", out)
        elif conn.shake is None:
            self._admit(now_us, task, out)

    def _task(self, kind: Kind, conn: Conn, asked: Asked) -> Task:
        self._seq += 1
        return Task(self._seq, kind, conn, asked)

    def _admit(self, now_us: int, task: Task, out: Out) -> None:
        """To a slot, to the waiting room, or away."""
        slots, kind, due_us = self.slots, self._kind, task.asked.due_us
        if task.kind is SHALLOW:
            slots.work(task, self._day.probe.work_us, beside=True)
            return
        late = kind.drops_expired and 0 < due_us <= now_us
        if self.draining or late or (self._ills.on and self._turned_away(task)):
            self._conclude(now_us, task, "full", out)
        elif len(slots.working) < slots.count and not slots.waiting:
            self._begin(now_us, task, out)
        elif not slots.wait(task):
            self._conclude(now_us, task, "full", out)
        stops = kind.drops_expired or kind.stops is not Stops.NONE
        if stops and due_us > now_us and task.stage is not OVER:
            self._remind(due_us, task, kept=False)

    def _turned_away(self, task: Task) -> bool:
        asked, conn = task.asked, task.conn
        return self._ills.strikes("full", asked.cls, asked.tenant, asked.key, conn.node, conn.opened_us)

    def _hits(self, task: Task, only: Condition | None = None) -> tuple[Condition, ...]:
        asked, conn = task.asked, task.conn
        return self._ills.strike(asked.cls, asked.tenant, asked.key, conn.node, conn.opened_us, only)

    def _begin(self, now_us: int, task: Task, out: Out) -> None:
        """Work on a request or a deep probe begins."""
        asked = task.asked
        task.began_us = now_us
        if task.kind is DEEP:
            work = self._day.probe.work_us
        else:
            cls = self._day.classes[asked.cls]
            work = asked.work_us * attempt_factor(cls, self._rng) if cls.attempt_noise else asked.work_us
            out.append(types.Ran(asked.rid, work))
            if asked.key and self._memory.gain and self._memory.meet(now_us, asked.key):
                work *= 1.0 - self._memory.gain
        if self._ills.on:
            task.hits = self._hits(task)
            work *= conditions.work_part(task.hits) * conditions.slowness(task.hits)
        self.slots.work(task, work)
        if task.hits and conditions.has(task.hits, "hang"):
            self._hang(task, out)

    # --- Ends ---
    def _worked(self, now_us: int, task: Task, out: Out) -> None:
        """A task's work is done."""
        if task.kind is HANDSHAKE:
            self._shaken(now_us, task.conn, out)
            return
        if task.kind is SHALLOW:
            self._conclude(now_us, task, "ok", out)
            return
        task.end = conditions.bad_end(task.hits) if task.hits else ""
        if not task.end:
            rate = self._kind.error_rate
            task.end = "error" if rate > 0.0 and self._rng.random() < rate else "ok"
        if task.kind is REQUEST and self._reports.on:
            self._reports.count(task.end != "ok", now_us - task.began_us)
        kept = conditions.lateness_us(task.hits) if task.hits else 0
        if kept > 0 and task.conn.open:
            task.stage = KEPT
            self._remind(now_us + kept, task, kept=True)
        else:
            self._conclude(now_us, task, task.end, out)

    def _over(self, task: Task, outcome: str, out: Out) -> None:
        """The one end of every task."""
        task.stage = OVER
        if task.kind is REQUEST:
            del self._held[task.seq]
            out.append(Done(task.asked.rid, outcome))

    def _conclude(self, now_us: int, task: Task, end: str, out: Out) -> None:
        """Answer a task, if anybody still listens, and be done with it."""
        conn = task.conn
        if conn.open and end == "reset":
            self.table.remove(conn)
            out.append(Hangup(conn.id, reset=True))
        elif conn.open:
            kind = end if task.kind is REQUEST else _TO_PROBE.get(end, end)
            report = None if end in ("head", "spoilt") else self._report(now_us, task)
            out.append(Reply(conn.id, task.asked.rid, kind, report))
            if end != "head":  # after a head alone the connection stays busy until the node closes it
                conn.task = None
                if conn.shake is None:
                    self.table.idles(now_us, conn)
        self._over(task, _OUTCOME[end], out)

    def _report(self, now_us: int, task: Task) -> tuple[float, ...] | None:
        if not self._reports.on:
            return None
        # What never began has met no condition yet; what is turned away is mute or lying like the rest.
        hits = self._hits(task) if self._ills.on and task.began_us < 0 else task.hits
        if hits and conditions.has(hits, "mute"):
            return None
        return self._reports.visible(now_us, bool(hits) and conditions.has(hits, "lying"))

    def _hang(self, task: Task, out: Out) -> None:
        """A running task goes no further; it leaves its slot to others."""
        self.slots.leave(task)
        task.stage = HUNG
        self.hung += 1
        if not task.conn.open:
            self._unhang(task, out)

    def _unhang(self, task: Task, out: Out) -> None:
        self.hung -= 1
        self._over(task, "hung", out)

    def _forsaken(self, now_us: int, task: Task, out: Out) -> None:
        """Nobody waits for the task any more: its connection is gone."""
        if task.stage is HUNG:
            self._unhang(task, out)
        elif task.stage is KEPT:
            self._over(task, _OUTCOME[task.end], out)
        elif task.kind is SHALLOW:
            self.slots.leave(task)
            self._over(task, "", out)
        elif task.stage is READ and self._kind.stops is Stops.NONE:
            self._admit(now_us, task, out)
        else:
            self._stop(task, out)

    def _stop(self, task: Task, out: Out) -> None:
        """Stop a task that nobody waits for or whose time is over, as far as this kind of endpoint does."""
        stops = self._kind.stops
        if task.stage is WORKING and stops is Stops.ALL:
            self.slots.leave(task)
            self._over(task, "stopped", out)
        elif task.stage in (READ, WAITING) and stops is not Stops.NONE:
            self.slots.leave(task)
            self._over(task, "dropped", out)

    def _out_of_time(self, now_us: int, task: Task, out: Out) -> None:
        """The time is over that the node gave the attempt.

        What is stopped is not answered, since the node waits no more; its connection stays busy until the
        node closes it.
        """
        if task.stage is WAITING and self._kind.drops_expired:
            self.slots.leave(task)
            self._conclude(now_us, task, "full", out)
        else:
            self._stop(task, out)

    def struck(self, now_us: int, fall: types.Fall, out: Out) -> None:
        """A condition has begun or ended, which bears on running work too."""
        self._pass(now_us)
        for task in list(self.slots.working.values()):
            was = conditions.slowness(task.hits)
            if fall.on:
                task.hits += self._hits(task, fall.condition)
            else:
                task.hits = tuple(c for c in task.hits if c != fall.condition)
            slow = conditions.slowness(task.hits)
            if conditions.has(task.hits, "hang"):
                self._hang(task, out)
            elif slow != was:
                self.slots.goes_on(task, max(0.0, task.finish - self.slots.pace.done) * slow / was)

    def end(self, out: Out) -> None:
        """The process ends at once: its connections are reset, what it held dies."""
        out.extend(Hangup(number, reset=True) for number in self.table.open)
        out.extend(Done(task.asked.rid, "died") for task in self._held.values())

    def expected_us(self, now_us: int, cls: int, key: int, outlook: Outlook) -> float:
        """See Endpoint.expected_us."""
        if self.draining:
            return float("inf")
        work = self._day.classes[cls].work_us * outlook.slow
        if key and self._memory.gain and self._memory.knows(now_us, key):
            work *= 1.0 - self._memory.gain
        return self.slots.expected_us(now_us, work) + outlook.late_us


def _no_request(conn: Conn) -> Asked:
    """What stands in a task that is no request: no class, tenant or key."""
    return Asked(conn.id, "", -1, -1, 0, 0.0, 0)
