"""One endpoint's machine in virtual time: its side of the connections round its model.

It owns which connections the endpoint holds for open, whether its machine can be reached, and the carrying of
the model's effects back to the nodes. It must never decide what the process does with a request: the model
does. A dead process's machine resets what comes; a machine that has vanished says nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from granitewell.lab.day import EndpointDay
from granitewell.lab.emulator import types as t
from granitewell.lab.engine import Engine

if TYPE_CHECKING:
    from granitewell.lab.emulator.endpoint import Endpoint
    from granitewell.lab.simulation.pool import Conn
    from granitewell.lab.simulation.world import World


class Sleeper(Protocol):
    """A part of the model that wants to be woken."""

    @property
    def wake_us(self) -> int:
        """When it wants a Tick; -1: never, as things are."""


class Alarm:
    """Wakes a part of the model when it wants to be: look() after each call of the part."""

    __slots__ = ("_engine", "_part", "_run", "_set_us")

    def __init__(self, engine: Engine, part: Sleeper, run: object) -> None:
        self._engine, self._part, self._run = engine, part, run
        self._set_us = -1

    def look(self) -> None:
        """Set the alarm for an earlier time if the part wants that; a later one shows when this one rings."""
        wake = self._part.wake_us
        if wake >= 0 and (self._set_us < 0 or wake < self._set_us):
            self._set_us = wake
            self._engine.at(wake, self._ring, wake)

    def _ring(self, due_us: int) -> None:
        if due_us != self._set_us:
            return
        self._set_us = -1
        if 0 <= self._part.wake_us <= self._engine.now_us:
            self._run()  # type: ignore[operator]
        else:
            self.look()


class Site:
    """The machine of one endpoint. `inc` counts its process's starts; `held` the attempts it has at work."""

    def __init__(self, world: World, spec: EndpointDay, model: Endpoint) -> None:
        self.name, self.key, self.zone, self.spec = spec.id, spec.id.encode(), spec.zone, spec
        self.model = model
        self.inc = self.held = 0
        self.up = self.drains = False
        self.silent = False  # the machine has vanished
        self.started_us = 0
        self._world, self._engine, self._net, self._seen = world, world.engine, world.net, world.seen
        self._conn = world.day.conn
        self._conns: dict[int, Conn] = {}
        self._alarm = Alarm(world.engine, model, self._tick)
        self._do = {
            t.Reply: self._reply, t.Ran: self._ran, t.Done: self._done, t.Accept: self._accept,
            t.Refuse: self._refuse, t.Hangup: self._hang_up, t.Fell: self._fell,
        }  # fmt: skip

    def hand(self, event: t.EndpointEvent) -> None:
        """Hand an event to the model and carry what it does."""
        do = self._do
        for effect in self.model.handle(self._engine.now_us, event):
            do[type(effect)](effect)  # type: ignore[operator]
        self._alarm.look()

    def _tick(self) -> None:
        self.hand(t.Tick())

    # --- Life -------------------------------------------------------------------------------------------
    def start(self) -> None:
        """A new process."""
        self.inc += 1
        self.up, self.silent, self.drains = True, False, False
        if not self.model.up:  # one started long ago is there from the beginning
            self.hand(t.Ordered(t.Order.START))

    def end(self, order: t.Order) -> None:
        """STOP or VANISH: the process is gone; where it had connections, the model has hung them up."""
        self.up, self.silent = False, order is t.Order.VANISH
        self.hand(t.Ordered(order))
        self._end_conns()

    def _end_conns(self) -> None:
        for conn in self._conns.values():
            conn.far = False
        self._conns.clear()
        self.held = 0

    # --- From nodes -------------------------------------------------------------------------------------
    def dial(self, conn: Conn) -> None:
        """A node opens a connection."""
        now, node = self._engine.now_us, conn.out
        if self._net.refuses(node, self):
            self._engine.at(now + 2 * max(self._net.leg(node, self), 0), node.post, node.refused, conn)
            return
        us = self._net.dial(node, self, self._conn.handshake_rtts)
        if us >= 0:
            conn.out_at_us = now + us
            self._engine.at(now + us, self._opened, conn)

    def _opened(self, conn: Conn) -> None:
        if conn.near and not self.silent:
            self._conns[conn.id] = conn
            self.hand(t.Opened(conn.id, conn.out.name))

    def ask(self, conn: Conn, ask: t.Ask, left_us: int) -> None:
        """A node writes an attempt."""
        now = self._engine.now_us
        at = self._out(conn)
        conn.breaks = self._net.breaks(conn.out, self)
        if at >= 0:
            self._engine.at(at, self._asked, conn, ask, left_us, now)

    def probe(self, conn: Conn) -> None:
        """A node writes a probe."""
        at = self._out(conn)
        if at >= 0:
            self._engine.at(at, self._probed, conn)

    def left(self, conn: Conn) -> None:
        """A node closes. Where that is lost, the process closes the connection once it has been idle."""
        at = self._out(conn)
        if at >= 0:
            self._engine.at(at, self._left, conn)

    def _out(self, conn: Conn) -> int:
        """When what a node writes now arrives; -1: never, nor what follows it."""
        us = -1 if conn.silent else self._net.leg(conn.out, self)
        if us < 0:
            conn.silent = True
            return -1
        conn.out_at_us = at = max(self._engine.now_us + us, conn.out_at_us)
        return at

    def _fit(self, conn: Conn) -> bool:
        """Whether something read on this connection is heard; otherwise the machine resets it, or is mute."""
        if not conn.far and not self.silent:
            self._tell_end(conn)
        return conn.far and not self.silent

    def _asked(self, conn: Conn, ask: t.Ask, left_us: int, first_us: int) -> None:
        if not self._fit(conn):
            return
        now = self._engine.now_us
        self.held += 1
        self._seen.sent(now, ask.rid, conn.out.name, self.name, first_us)
        self.hand(t.Asked(conn.id, ask.rid, ask.cls, ask.tenant, ask.key, ask.work_us, now + left_us))

    def _probed(self, conn: Conn) -> None:
        if self._fit(conn):
            self._seen.probed(self._engine.now_us, conn.out.name, self.name)
            self.hand(t.ProbeAsked(conn.id, "load"))

    def _left(self, conn: Conn) -> None:
        conn.far = False
        if self._conns.pop(conn.id, None) is not None:
            self.hand(t.Gone(conn.id))

    # --- From the model ---------------------------------------------------------------------------------
    def _back(self, conn: Conn) -> int:
        """When what is written to the node now arrives; -1: never."""
        us = -1 if conn.silent else self._net.leg(self, conn.out)
        if us < 0:
            conn.silent = True
            return -1
        conn.in_at_us = at = max(self._engine.now_us + us, conn.in_at_us)
        return at

    def _tell_end(self, conn: Conn) -> None:
        at = self._back(conn)
        if at >= 0:
            self._engine.at(at, _end_arrives, conn)

    def _reply(self, e: t.Reply) -> None:
        conn = self._conns.get(e.conn)
        if conn is None:
            return
        if conn.breaks:
            self._tell_end(conn)
            self._engine.at(self._engine.now_us, self._left, conn)
            return
        at = self._back(conn)
        if at >= 0:
            node = conn.out
            self._engine.at(at, node.post, node.replied, conn, e.rid, e.kind, e.report)

    def _ran(self, e: t.Ran) -> None:
        self._seen.ran(self._engine.now_us, e.rid, self.name, e.work_us)

    def _done(self, e: t.Done) -> None:
        self.held -= 1
        self._seen.ended(self._engine.now_us, e.rid, self.name, e.outcome)

    def _accept(self, e: t.Accept) -> None:
        conn = self._conns[e.conn]
        conn.far = True
        self._seen.dialed(self._engine.now_us, conn.out.name, self.name)
        at = self._back(conn)
        if at >= 0:
            self._engine.at(at, conn.out.post, conn.out.dialed, conn)

    def _refuse(self, e: t.Refuse) -> None:
        conn = self._conns.pop(e.conn)
        at = self._back(conn)
        if at >= 0:
            self._engine.at(at, conn.out.post, conn.out.refused, conn)

    def _hang_up(self, e: t.Hangup) -> None:
        conn = self._conns.pop(e.conn, None)
        if conn is not None:
            conn.far = False
            self._tell_end(conn)

    def _fell(self, _: t.Fell) -> None:
        self.up = False
        self._world.endpoint_fell(self)
        self._end_conns()


def _end_arrives(conn: Conn) -> None:
    """The node's machine hears of it at once, its process when it comes to it."""
    conn.closed = True
    conn.out.post(conn.out.hung_up, conn)
