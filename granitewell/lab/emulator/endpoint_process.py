"""One process of a dispatch server, from start to end: the requests that it reads and its answers.

Each request that was read ends exactly once, with one `Done`, and is answered at most once. Starts, stops and
pauses are handled in `endpoint`, the speed of work in `endpoint_slots`. After each event `settle` fills free
slots, sets the pace from the held requests and open connections, and finds the next time of an internal
event.

    READ -> WAITING -> WORKING -> (KEPT ->) OVER    READ, WAITING -> OVER when rejected or dropped
                          |                         WORKING -> OVER when stopped
                          +-----> HUNG -> OVER      KEPT, HUNG -> OVER when the connection goes
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from random import Random

from granitewell.lab.day import Day, EndpointDay, Stops
from granitewell.lab.emulator import conditions, types
from granitewell.lab.emulator.conditions import ActiveConditions, ExpectedEffects
from granitewell.lab.emulator.endpoint_parts import KeyCache, LoadReports, OverloadGuard, TokenBucket
from granitewell.lab.emulator.endpoint_slots import Slots
from granitewell.lab.emulator.endpoint_table import Conn, Stage, Table, Task, TaskKind
from granitewell.lab.emulator.types import Asked, Condition, Done, EndpointEffect, Hangup, Reply
from granitewell.lab.emulator.work import attempt_factor

READ, WAITING, WORKING, KEPT, HUNG, OVER = Stage  # module-level names are faster than enum attribute lookups
REQUEST, DEEP, SHALLOW, HANDSHAKE = TaskKind
Effects = list[EndpointEffect]

# Kind of an answer -> outcome for the witness. A head alone and a broken connection count as spoilt.
_WITNESS_OUTCOME = {
    "ok": "ok",
    "error": "error",
    "full": "full",
    "spoilt": "spoilt",
    "head": "spoilt",
    "reset": "spoilt",
}
_PROBE_REPLY = {"ok": "probe_ok", "error": "probe_bad", "full": "probe_bad"}


class Process:
    """One process.

    Methods with `now_us` expect it never to fall, and `turn` to have been called for each `wake_us` up to
    then; after any of them, `settle`. Effects are appended to `out`.
    """

    __slots__ = (
        "_day",
        "_overload_guard",
        "_held",
        "_idle_due",
        "_conditions",
        "_kind",
        "_key_cache",
        "_probes",
        "_load_reports",
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
        self,
        spec: EndpointDay,
        day: Day,
        active_conditions: ActiveConditions,
        rng: Random,
        start_us: int,
        cold: bool,
    ) -> None:
        kind = day.kinds[spec.kind]
        self._kind, self._day, self._conditions, self._rng = kind, day, active_conditions, rng
        self.slots = Slots(spec, kind, day.conn, start_us, cold)
        self.table = Table(day.conn.idle_us)
        self._overload_guard = OverloadGuard(day.rules, day.classes, kind.cores * spec.speed)
        self._key_cache = KeyCache(kind)
        self._load_reports = LoadReports(day.report, kind.cores, rng, start_us)
        self._probes = TokenBucket(day.probe.cap_per_s, start_us)
        self.draining = False
        self.wake_us = self._idle_due = -1
        self.hung = 0
        self._seq = 0
        self._held: dict[int, Task] = {}  # unfinished requests in order of arrival
        self._timers: list[
            tuple[int, int, bool, Task]
        ] = []  # (at, task number, answer delayed until then, task)

    # --- Time ---
    def _advance(self, now_us: int) -> None:
        """Advance time with the state unchanged."""
        slots = self.slots
        slots.pace.advance(now_us)
        if self._load_reports.on:
            self._load_reports.advance(now_us, slots.held + self.hung, len(slots.waiting), slots.busy_cores)

    def skip(self, now_us: int) -> None:
        """Advance time over a pause."""
        self.slots.pace.skip(now_us)
        self._load_reports.skip(now_us)

    def process_due(self, now_us: int, effects: Effects) -> None:
        """Process what is due: finished work, attempt timeouts, delayed answers, idle connections."""
        self._advance(now_us)
        while (task := self.slots.finished()) is not None:
            self._on_work_done(now_us, task, effects)
        timers = self._timers
        while timers and timers[0][0] <= now_us:
            _, _, kept, task = heappop(timers)
            if not kept:
                self._on_attempt_timeout(now_us, task, effects)
            elif task.stage is KEPT:
                self._respond(now_us, task, task.end, effects)
        if -1 < self._idle_due <= now_us:
            while (conn := self.table.overdue(now_us)) is not None:
                self.table.remove(conn)
                effects.append(Hangup(conn.id, reset=False))

    def settle(self, now_us: int, effects: Effects) -> None:
        """Fill free slots, set the pace, and find the time of the next internal event."""
        slots, timers = self.slots, self._timers
        while slots.waiting and (task := slots.dequeue()) is not None:
            self._begin(now_us, task, effects)
        slots.set_pace(self._conditions.pace, len(self.table.open))
        while timers and timers[0][3].stage is OVER:
            heappop(timers)
        due = slots.due_us()
        if timers and (due < 0 or timers[0][0] < due):
            due = timers[0][0]
        self._idle_due = idle = self.table.due_us()
        self.wake_us = idle if idle >= 0 and (due < 0 or idle < due) else due

    def _schedule_check(self, at_us: int, task: Task, kept: bool) -> None:
        """Schedule a check of the task; entries of finished tasks are purged so that they do not pile up."""
        if len(self._timers) > 64 + 4 * len(self._held):
            self._timers = [entry for entry in self._timers if entry[3].stage is not OVER]
            heapify(self._timers)
        heappush(self._timers, (at_us, task.seq, kept, task))

    # --- Connections ---
    def opened(self, now_us: int, event: types.Opened, effects: Effects) -> None:
        """A connection arrived: it is accepted, and its handshake costs work ahead of its first request."""
        self._advance(now_us)
        if len(self.table.open) >= self._day.conn.cap or self._conditions.refuses(event.node):
            effects.append(types.Refuse(event.conn))
            return
        conn = self.table.open[event.conn] = Conn(event.conn, event.node, now_us)
        effects.append(types.Accept(conn.id))
        if self._day.conn.handshake_us > 0:
            conn.handshake = self._task(HANDSHAKE, conn, _no_request(conn))
            self.slots.work(conn.handshake, self._day.conn.handshake_us, unslotted=True)
        else:
            self.table.idles(now_us, conn)

    def gone(self, now_us: int, number: int, effects: Effects) -> None:
        """The node closed the connection or stopped waiting; no effect if it is not open."""
        self._advance(now_us)
        conn = self.table.open.get(number)
        if conn is not None:
            self._close_connection(now_us, conn, effects)

    def _close_connection(self, now_us: int, conn: Conn, effects: Effects) -> None:
        self.table.remove(conn)
        if conn.handshake is not None:
            self.slots.remove(conn.handshake)
        if conn.task is not None and conn.task.stage is not OVER:
            self._on_connection_lost(now_us, conn.task, effects)

    def _reset_connection(self, now_us: int, number: int, effects: Effects) -> None:
        """Reset a connection that is not open, or busy, when something arrives on it."""
        effects.append(Hangup(number, reset=True))
        self.gone(now_us, number, effects)

    def _on_handshake_done(self, now_us: int, conn: Conn, effects: Effects) -> None:
        conn.handshake = None
        if conn.task is None:
            self.table.idles(now_us, conn)
        elif conn.task.stage is READ:
            self._admit(now_us, conn.task, effects)

    # --- Requests and probes ---
    def asked(self, now_us: int, event: Asked, effects: Effects) -> bool:
        """A request was read. False: it overloads the process, which is still cold."""
        self._advance(now_us)
        conn = self.table.open.get(event.conn)
        if conn is None or conn.task is not None:
            self._reset_connection(now_us, event.conn, effects)
            effects.append(Done(event.rid, "died"))
            return True
        task = self._task(REQUEST, conn, event)
        self._held[task.seq] = conn.task = task
        conn.idle_us = -1
        pace = self.slots.pace
        stands = not pace.cold or not self._overload_guard.over(now_us, event.cls, pace.warm)
        if stands and conn.handshake is None:
            self._admit(now_us, task, effects)
        return stands

    def probed(self, now_us: int, event: types.ProbeAsked, effects: Effects) -> None:
        """A probe was read. One over the cap, or when probes are off, is answered as bad at no cost."""
        self._advance(now_us)
        conn, probe = self.table.open.get(event.conn), self._day.probe
        if conn is None or conn.task is not None:
            self._reset_connection(now_us, event.conn, effects)
            return
        task = conn.task = self._task(DEEP if probe.deep else SHALLOW, conn, _no_request(conn))
        conn.idle_us = -1
        if not probe.allowed or self.draining or not self._probes.take(now_us):
            self._respond(now_us, task, "full", effects)
        elif conn.handshake is None:
            self._admit(now_us, task, effects)

    def _task(self, kind: TaskKind, conn: Conn, asked: Asked) -> Task:
        self._seq += 1
        return Task(self._seq, kind, conn, asked)

    def _admit(self, now_us: int, task: Task, effects: Effects) -> None:
        """Start, queue or reject a task."""
        slots, kind, due_us = self.slots, self._kind, task.asked.due_us
        if task.kind is SHALLOW:
            slots.work(task, self._day.probe.work_us, unslotted=True)
            return
        late = kind.drops_expired and 0 < due_us <= now_us
        if self.draining or late or (self._conditions.on and self._is_rejected(task)):
            self._respond(now_us, task, "full", effects)
        elif len(slots.working) < slots.count and not slots.waiting:
            self._begin(now_us, task, effects)
        elif not slots.enqueue(task):
            self._respond(now_us, task, "full", effects)
        stops = kind.drops_expired or kind.stops is not Stops.NONE
        if stops and due_us > now_us and task.stage is not OVER:
            self._schedule_check(due_us, task, kept=False)

    def _is_rejected(self, task: Task) -> bool:
        asked, conn = task.asked, task.conn
        return self._conditions.applies("full", asked.cls, asked.tenant, asked.key, conn.node, conn.opened_us)

    def _matching_conditions(self, task: Task, only: Condition | None = None) -> tuple[Condition, ...]:
        asked, conn = task.asked, task.conn
        return self._conditions.matching(asked.cls, asked.tenant, asked.key, conn.node, conn.opened_us, only)

    def _begin(self, now_us: int, task: Task, effects: Effects) -> None:
        """Work on a request or a deep probe begins."""
        asked = task.asked
        task.began_us = now_us
        if task.kind is DEEP:
            work = self._day.probe.work_us
        else:
            cls = self._day.classes[asked.cls]
            work = asked.work_us * attempt_factor(cls, self._rng) if cls.attempt_noise else asked.work_us
            effects.append(types.Ran(asked.rid, work))
            if asked.key and self._key_cache.gain and self._key_cache.touch(now_us, asked.key):
                work *= 1.0 - self._key_cache.gain
        if self._conditions.on:
            task.matched = self._matching_conditions(task)
            work *= conditions.work_fraction(task.matched) * conditions.slowdown_factor(task.matched)
        self.slots.work(task, work)
        if task.matched and conditions.has(task.matched, "hang"):
            self._hang(task, effects)

    # --- Ends ---
    def _on_work_done(self, now_us: int, task: Task, effects: Effects) -> None:
        """Handle a task whose work is done."""
        if task.kind is HANDSHAKE:
            self._on_handshake_done(now_us, task.conn, effects)
            return
        if task.kind is SHALLOW:
            self._respond(now_us, task, "ok", effects)
            return
        task.end = conditions.failure_kind(task.matched) if task.matched else ""
        if not task.end:
            rate = self._kind.error_rate
            task.end = "error" if rate > 0.0 and self._rng.random() < rate else "ok"
        if task.kind is REQUEST and self._load_reports.on:
            self._load_reports.count(task.end != "ok", now_us - task.began_us)
        kept = conditions.response_delay_us(task.matched) if task.matched else 0
        if kept > 0 and task.conn.open:
            task.stage = KEPT
            self._schedule_check(now_us + kept, task, kept=True)
        else:
            self._respond(now_us, task, task.end, effects)

    def _finish(self, task: Task, outcome: str, effects: Effects) -> None:
        """Finish a task; called exactly once for each."""
        task.stage = OVER
        if task.kind is REQUEST:
            del self._held[task.seq]
            effects.append(Done(task.asked.rid, outcome))

    def _respond(self, now_us: int, task: Task, end: str, effects: Effects) -> None:
        """Answer a task if its connection is open, and finish it."""
        conn = task.conn
        if conn.open and end == "reset":
            self.table.remove(conn)
            effects.append(Hangup(conn.id, reset=True))
        elif conn.open:
            kind = end if task.kind is REQUEST else _PROBE_REPLY.get(end, end)
            report = None if end in ("head", "spoilt") else self._report(now_us, task)
            effects.append(Reply(conn.id, task.asked.rid, kind, report))
            if end != "head":  # after a head alone the connection stays busy until the node closes it
                conn.task = None
                if conn.handshake is None:
                    self.table.idles(now_us, conn)
        self._finish(task, _WITNESS_OUTCOME[end], effects)

    def _report(self, now_us: int, task: Task) -> tuple[float, ...] | None:
        if not self._load_reports.on:
            return None
        # Tasks that never began have no conditions yet; rejections may be mute or lying like other answers.
        matched = (
            self._matching_conditions(task) if self._conditions.on and task.began_us < 0 else task.matched
        )
        if matched and conditions.has(matched, "mute"):
            return None
        return self._load_reports.visible(now_us, bool(matched) and conditions.has(matched, "lying"))

    def _hang(self, task: Task, effects: Effects) -> None:
        """Hang a running task; its slot becomes free."""
        self.slots.remove(task)
        task.stage = HUNG
        self.hung += 1
        if not task.conn.open:
            self._unhang(task, effects)

    def _unhang(self, task: Task, effects: Effects) -> None:
        self.hung -= 1
        self._finish(task, "hung", effects)

    def _on_connection_lost(self, now_us: int, task: Task, effects: Effects) -> None:
        """Handle a task whose connection has closed."""
        if task.stage is HUNG:
            self._unhang(task, effects)
        elif task.stage is KEPT:
            self._finish(task, _WITNESS_OUTCOME[task.end], effects)
        elif task.kind is SHALLOW:
            self.slots.remove(task)
            self._finish(task, "", effects)
        elif task.stage is READ and self._kind.stops is Stops.NONE:
            self._admit(now_us, task, effects)
        else:
            self._stop(task, effects)

    def _stop(self, task: Task, effects: Effects) -> None:
        """Stop a task that nobody waits for or that timed out, if this kind of endpoint does so."""
        stops = self._kind.stops
        if task.stage is WORKING and stops is Stops.ALL:
            self.slots.remove(task)
            self._finish(task, "stopped", effects)
        elif task.stage in (READ, WAITING) and stops is not Stops.NONE:
            self.slots.remove(task)
            self._finish(task, "dropped", effects)

    def _on_attempt_timeout(self, now_us: int, task: Task, effects: Effects) -> None:
        """The attempt's timeout, as given by the node, is over.

        A stopped task is not answered, since the node no longer waits; its connection stays busy until the
        node closes it.
        """
        if task.stage is WAITING and self._kind.drops_expired:
            self.slots.remove(task)
            self._respond(now_us, task, "full", effects)
        else:
            self._stop(task, effects)

    def condition_changed(self, now_us: int, change: types.ConditionChange, effects: Effects) -> None:
        """A condition began or ended; it also affects running work."""
        self._advance(now_us)
        for task in list(self.slots.working.values()):
            was = conditions.slowdown_factor(task.matched)
            if change.on:
                task.matched += self._matching_conditions(task, change.condition)
            else:
                task.matched = tuple(c for c in task.matched if c != change.condition)
            slow = conditions.slowdown_factor(task.matched)
            if conditions.has(task.matched, "hang"):
                self._hang(task, effects)
            elif slow != was:
                self.slots.continue_work(task, max(0.0, task.finish - self.slots.pace.done) * slow / was)

    def end(self, effects: Effects) -> None:
        """End the process at once: reset its connections and fail its requests."""
        effects.extend(Hangup(number, reset=True) for number in self.table.open)
        effects.extend(Done(task.asked.rid, "died") for task in self._held.values())

    def expected_us(self, now_us: int, cls: int, key: int, expected_effects: ExpectedEffects) -> float:
        """See Endpoint.expected_us."""
        if self.draining:
            return float("inf")
        work = self._day.classes[cls].work_us * expected_effects.slow
        if key and self._key_cache.gain and self._key_cache.knows(now_us, key):
            work *= 1.0 - self._key_cache.gain
        return self.slots.expected_us(now_us, work) + expected_effects.late_us


def _no_request(conn: Conn) -> Asked:
    """The placeholder request of a task that has none."""
    return Asked(conn.id, "", -1, -1, 0, 0.0, 0)
