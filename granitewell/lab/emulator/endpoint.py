"""One dispatch server by name, across all of its processes: `Endpoint.handle(now_us, event)`.

It models starts, stops, silence, pauses and the end from overload. It does no I/O and reads no clock. Nothing
of a process carries over to the next one, except the conditions, which belong to the name. Connections and
requests of a process are in `endpoint_process`, queueing and pace in `endpoint_slots` and `endpoint_pace`;
keys, reports and budgets in `endpoint_parts`.

    down   --START-->  up      --DRAIN-->  up, rejecting requests
    up     --STOP-->   down (connections reset)      --VANISH-->  silent (no effect at all until a START)
    up     --overload while cold-->  fallen (connections reset; stays down, no START brings it back)
    up     --PAUSE or its kind's own pause-->  paused: time stands still for all work, incoming events are
                                       queued and processed in order at the end

The caller runs `handle` with each event, and with `Tick` at `wake_us`. Late calls are compensated: what was
due earlier happens first, in order and at its own time.
"""

from __future__ import annotations

from random import Random

from granitewell.lab.day import Day, EndpointDay
from granitewell.lab.emulator.conditions import ActiveConditions, ExpectedEffects
from granitewell.lab.emulator.endpoint_process import Effects, Process
from granitewell.lab.emulator.types import (
    Asked,
    ConditionChange,
    Done,
    EndpointEffect,
    EndpointEvent,
    Gone,
    Hangup,
    Opened,
    Order,
    Ordered,
    Overloaded,
    ProbeAsked,
    Refuse,
    Tick,
)


class Endpoint:
    """A dispatch server.

    One started long ago (`spec.started_us` <= 0) is up and warm from the start of the day; any other is down
    until it is ordered to START. A process started after the start of the day is cold.

    `wake_us`: when to call with a Tick, -1: not until something else happens. Raises ValueError for a value
    of the day that no endpoint can have.
    """

    __slots__ = (
        "_day",
        "_deferred",
        "_conditions",
        "_kind",
        "_now",
        "_paused_by_order",
        "_next_pause_us",
        "_pause_end_us",
        "_process",
        "_rng",
        "_silent",
        "fallen",
        "paused",
        "spec",
        "wake_us",
    )

    def __init__(self, spec: EndpointDay, day: Day, rng: Random) -> None:
        _check(spec, day)
        self.spec, self._day, self._kind = spec, day, day.kinds[spec.kind]
        self._rng = Random(int(rng.random() * 2**53))
        self._conditions = ActiveConditions(Random(int(rng.random() * 2**53)))
        self._now = 0
        self._silent = self.fallen = False
        self._process: Process | None = None
        self._deferred: list[EndpointEvent] = []
        self.paused = False  # by order or by its kind's own pause
        self._paused_by_order = False
        self._next_pause_us = (
            self._pause_end_us
        ) = -1  # the kind's own pauses: the next one's start, the present one's end
        self.wake_us = -1
        if spec.started_us <= 0:
            self._start(0, [])
            self._update_wake()

    def handle(self, now_us: int, event: EndpointEvent) -> list[EndpointEffect]:
        """Advance time, then handle the event. Effects are returned in the order in which they happen."""
        effects: list[EndpointEffect] = []
        now = max(self._now, now_us)
        while -1 < self.wake_us <= now:
            self._now = max(self._now, self.wake_us)  # what becomes due in a pause happens at its end
            self._process_due(self._now, effects)
            self._update_wake()
        self._now = now
        if type(event) is not Tick:
            self._handle_event(now, event, effects)
            self._update_wake()
        return effects

    # --- Time ---
    def _process_due(self, now_us: int, effects: Effects) -> None:
        """Process what is due at wake_us."""
        if self.paused:
            self._pause_end_us = -1
            self._resume(now_us, effects)
        elif self._process is not None:
            self._process.process_due(now_us, effects)
            self._process.settle(now_us, effects)
            if -1 < self._next_pause_us <= now_us:
                self.paused = True
                self._pause_end_us = now_us + self._kind.pause_us
                self._next_pause_us = self._pause_end_us + self._pause_interval()

    def _update_wake(self) -> None:
        process = self._process
        if process is None:
            self.wake_us = -1
        elif self.paused:
            self.wake_us = self._pause_end_us
        elif self._next_pause_us >= 0 and (process.wake_us < 0 or self._next_pause_us <= process.wake_us):
            self.wake_us = self._next_pause_us
        else:
            self.wake_us = process.wake_us

    def _pause_interval(self) -> int:
        """Return the time until the next pause of its own, in microseconds.

        It is a half to one and a half times what the kind says, so that endpoints of one kind do not pause
        in step.
        """
        return int(self._kind.pause_every_us * (0.5 + self._rng.random()))

    def _resume(self, now_us: int, effects: Effects) -> None:
        """Resume the process unless another pause holds it, and handle queued events in order."""
        self.paused = self._paused_by_order or self._pause_end_us >= 0
        if self.paused or self._process is None:
            return
        if -1 < self._next_pause_us <= now_us:  # became due during an ordered pause
            self._next_pause_us = now_us + self._pause_interval()
        self._process.skip(now_us)
        self._process.settle(now_us, effects)
        for event in self._take_deferred():
            self._handle_event(now_us, event, effects)

    def _take_deferred(self) -> list[EndpointEvent]:
        """Take the events queued in a pause, without connections that opened and closed during it."""
        kept, self._deferred = self._deferred, []
        gone = frozenset(event.conn for event in kept if type(event) is Gone)
        return [event for event in kept if type(event) is not Opened or event.conn not in gone]

    # --- Events ---
    def _handle_event(self, now_us: int, event: EndpointEvent, effects: Effects) -> None:
        process = self._process
        if type(event) is Ordered and event.order is not Order.DRAIN:
            self._execute_order(now_us, event.order, effects)
        elif process is None:
            self._handle_without_process(event, effects)
        elif self.paused:
            self._deferred.append(event)
        elif type(event) is not Asked:
            self._dispatch(process, now_us, event, effects)
            process.settle(now_us, effects)
        elif process.asked(now_us, event, effects):
            process.settle(now_us, effects)
        else:
            self._end(effects)
            self.fallen = True
            effects.append(Overloaded())

    def _dispatch(self, process: Process, now_us: int, event: EndpointEvent, effects: Effects) -> None:
        if type(event) is Gone:
            process.gone(now_us, event.conn, effects)
        elif type(event) is Opened:
            process.opened(now_us, event, effects)
        elif type(event) is ProbeAsked:
            process.probed(now_us, event, effects)
        elif type(event) is ConditionChange:
            if self._conditions.apply_change(event):
                process.condition_changed(now_us, event, effects)
        elif type(event) is Ordered:
            process.draining = True

    def _handle_without_process(self, event: EndpointEvent, effects: Effects) -> None:
        """Handle an event without a process: the machine resets it, unless it is silent."""
        if type(event) is ConditionChange:
            self._conditions.apply_change(event)
        elif self._silent:
            return
        elif type(event) is Opened:
            effects.append(Refuse(event.conn))
        elif type(event) is Asked:
            effects.append(Hangup(event.conn, reset=True))
            effects.append(Done(event.rid, "died"))
        elif type(event) is ProbeAsked:
            effects.append(Hangup(event.conn, reset=True))

    # --- Orders ---
    def _execute_order(self, now_us: int, order: Order, effects: Effects) -> None:
        if order is Order.START and not self.fallen:
            self._end(effects)
            self._start(now_us, effects)
        elif order is Order.STOP:
            self._end(effects)
        elif order is Order.VANISH:
            self._end([])
            self._silent = True
        elif order is Order.PAUSE and self._process is not None:
            if not self.paused:
                self._process.process_due(now_us, effects)
                self._process.settle(now_us, effects)
            self._paused_by_order = self.paused = True
        elif order is Order.RESUME and self._paused_by_order:
            self._paused_by_order = False
            self._resume(now_us, effects)

    def _start(self, now_us: int, effects: Effects) -> None:
        cold = now_us > 0 or self.spec.started_us > 0
        self._silent = False
        self._process = Process(self.spec, self._day, self._conditions, self._rng, now_us, cold)
        self._process.settle(now_us, effects)
        if self._kind.pause_us > 0 and self._kind.pause_every_us > 0:
            self._next_pause_us = now_us + int(self._kind.pause_every_us * self._rng.random())

    def _end(self, effects: Effects) -> None:
        """End the process; events queued in a pause find no process."""
        process, self._process = self._process, None
        self.paused = self._paused_by_order = False
        self._next_pause_us = self._pause_end_us = -1
        if process is not None:
            process.end(effects)
        for event in self._take_deferred():
            self._handle_without_process(event, effects)

    # --- State ---
    @property
    def up(self) -> bool:
        """Whether a process runs."""
        return self._process is not None

    @property
    def draining(self) -> bool:
        """Whether it rejects new requests and finishes those it holds."""
        return self._process is not None and self._process.draining

    @property
    def held(self) -> int:
        """Requests (and deep probes) queued or in work; never above slots plus queue capacity."""
        return self._process.slots.held if self._process else 0

    @property
    def waiting(self) -> int:
        """Requests that are queued."""
        return len(self._process.slots.waiting) if self._process else 0

    @property
    def hung(self) -> int:
        """Hung requests whose connections are still open."""
        return self._process.hung if self._process else 0

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._process.table.open) if self._process else 0

    @property
    def efficiency(self) -> float:
        """The share of capacity left by crowding; 0 if down."""
        return self._process.slots.efficiency if self._process else 0.0

    @property
    def capacity(self) -> float:
        """Work per microsecond of the whole warm process without faults."""
        return self._kind.cores * self.spec.speed

    def warm_share(self, now_us: int) -> float:
        """Present share of the capacity, from cold_from to 1; 0 if down."""
        return self._process.slots.pace.at(now_us)[1] if self._process else 0.0

    def expected_us(self, now_us: int, cls: int, tenant: int = -1, key: int = 0, node: str = "") -> float:
        """Estimate how long a request read now would take until its answer if nothing changed.

        The estimate counts what is ahead of it on an open connection, its mean work, conditions, and a
        remembered key. It is infinite if the request would get no answer. It is for policies that may
        know the true state (see Slots.expected_us).
        """
        expected_effects = self.true_condition(cls, tenant, key, node, now_us)
        if self._process is None or self._paused_by_order or expected_effects.answered <= 0.0:
            return float("inf")
        at_us = self._pause_end_us - self._kind.pause_us if self._pause_end_us >= 0 else now_us
        left_us = max(0, self._pause_end_us - now_us)  # remaining pause, in which no work is done
        return left_us + self._process.expected_us(at_us, cls, key, expected_effects)

    def true_condition(
        self, cls: int, tenant: int, key: int, node: str, opened_us: int = -1
    ) -> ExpectedEffects:
        """What conditions would do now to a request on a connection opened then (-1: just now)."""
        opened = self._now if opened_us < 0 else opened_us
        return self._conditions.expected_effects(cls, tenant, key, node, opened)


def _check(spec: EndpointDay, day: Day) -> None:
    kind = day.kinds[spec.kind]
    least: tuple[tuple[str, float, float], ...] = (
        ("speed", spec.speed, 1e-9),
        ("cores", kind.cores, 1),
        ("slots_per_core", kind.slots_per_core, 1),
        ("queue_per_core", kind.queue_per_core, 0),
        ("conn.cap", day.conn.cap, 1),
        ("report.period_us", day.report.period_us, 1 if day.report.fields else 0),
    )
    for name, found, lowest in least:
        if not found >= lowest:
            raise ValueError(f"endpoint {spec.id}: {name}: found {found}, allowed from {lowest}")
