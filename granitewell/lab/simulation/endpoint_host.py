"""The machine of one endpoint in virtual time: its connections around the endpoint model.

It tracks which connections the endpoint holds open and whether the machine can be reached, and carries the
model's effects back to the nodes. What the process does with a request is decided by the model. The machine
of a dead process resets incoming traffic; a machine that has vanished stays silent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from granitewell.lab.day import EndpointDay
from granitewell.lab.emulator import types as t
from granitewell.lab.engine import Engine

if TYPE_CHECKING:
    from granitewell.lab.emulator.endpoint import Endpoint
    from granitewell.lab.simulation.connection_pool import NodeConnection
    from granitewell.lab.simulation.world import World


class Wakeable(Protocol):
    """A part of the model that can ask to be woken."""

    @property
    def wake_us(self) -> int:
        """When it needs a Tick; -1: never, as things are."""


class WakeTimer:
    """Wakes a part of the model at its `wake_us`; call update() after each call of the part."""

    __slots__ = ("_engine", "_part", "_run", "_armed_us")

    def __init__(self, engine: Engine, part: Wakeable, run: object) -> None:
        self._engine, self._part, self._run = engine, part, run
        self._armed_us = -1

    def update(self) -> None:
        """Arm the timer for an earlier time if needed; a later time is noticed when the timer fires."""
        wake = self._part.wake_us
        if wake >= 0 and (self._armed_us < 0 or wake < self._armed_us):
            self._armed_us = wake
            self._engine.at(wake, self._on_timer, wake)

    def _on_timer(self, due_us: int) -> None:
        if due_us != self._armed_us:
            return
        self._armed_us = -1
        if 0 <= self._part.wake_us <= self._engine.now_us:
            self._run()  # type: ignore[operator]
        else:
            self.update()


class EndpointHost:
    """The machine of one endpoint. `inc` counts the starts of its process."""

    def __init__(self, world: World, spec: EndpointDay, model: Endpoint) -> None:
        self.name, self.key, self.zone, self.spec = spec.id, spec.id.encode(), spec.zone, spec
        self.model = model
        self.inc = self.attempts_in_progress = 0
        self.up = self.draining = False
        self.silent = False  # the machine has vanished
        self.started_us = 0
        self._world, self._engine, self._net, self._observations = (
            world,
            world.engine,
            world.net,
            world.observations,
        )
        self._conn = world.day.conn
        self._conns: dict[int, NodeConnection] = {}
        self._wake_timer = WakeTimer(world.engine, model, self._on_wake)
        self._do = {
            t.Reply: self._reply, t.Ran: self._ran, t.Done: self._done, t.Accept: self._accept,
            t.Refuse: self._refuse, t.Hangup: self._hang_up, t.Overloaded: self._on_overloaded,
        }  # fmt: skip

    def handle(self, event: t.EndpointEvent) -> None:
        """Pass an event to the model and carry out its effects."""
        do = self._do
        for effect in self.model.handle(self._engine.now_us, event):
            do[type(effect)](effect)  # type: ignore[operator]
        self._wake_timer.update()

    def _on_wake(self) -> None:
        self.handle(t.Tick())

    # --- Lifecycle --------------------------------------------------------------------------------------
    def start(self) -> None:
        """Start a new process."""
        self.inc += 1
        self.up, self.silent, self.draining = True, False, False
        if not self.model.up:  # an endpoint started before the day is up from the beginning
            self.handle(t.Ordered(t.Order.START))

    def end(self, order: t.Order) -> None:
        """End the process by STOP or VANISH; the model closes its connections on STOP."""
        self.up, self.silent = False, order is t.Order.VANISH
        self.handle(t.Ordered(order))
        self._end_conns()

    def _end_conns(self) -> None:
        for conn in self._conns.values():
            conn.open_at_endpoint = False
        self._conns.clear()
        self.attempts_in_progress = 0

    # --- From nodes -------------------------------------------------------------------------------------
    def dial(self, conn: NodeConnection) -> None:
        """A node opens a connection."""
        now, node = self._engine.now_us, conn.outbound
        if self._net.refuses(node, self):
            self._engine.at(now + 2 * max(self._net.one_way_us(node, self), 0), node.post, node.refused, conn)
            return
        us = self._net.dial(node, self, self._conn.handshake_rtts)
        if us >= 0:
            conn.request_arrives_us = now + us
            self._engine.at(now + us, self._on_opened, conn)

    def _on_opened(self, conn: NodeConnection) -> None:
        if conn.open_at_node and not self.silent:
            self._conns[conn.id] = conn
            self.handle(t.Opened(conn.id, conn.outbound.name))

    def ask(self, conn: NodeConnection, ask: t.Ask, left_us: int) -> None:
        """A node sends an attempt."""
        now = self._engine.now_us
        at = self._request_arrival(conn)
        conn.resets_reply = self._net.resets_reply(conn.outbound, self)
        if at >= 0:
            self._engine.at(at, self._on_request, conn, ask, left_us, now)

    def probe(self, conn: NodeConnection) -> None:
        """A node sends a probe."""
        at = self._request_arrival(conn)
        if at >= 0:
            self._engine.at(at, self._on_probe, conn)

    def close(self, conn: NodeConnection) -> None:
        """A node closes a connection. If that is lost, the endpoint closes it after its idle timeout."""
        at = self._request_arrival(conn)
        if at >= 0:
            self._engine.at(at, self._on_closed, conn)

    def _request_arrival(self, conn: NodeConnection) -> int:
        """When data that a node writes now arrives; -1: never, and neither does later data."""
        us = -1 if conn.silent else self._net.one_way_us(conn.outbound, self)
        if us < 0:
            conn.silent = True
            return -1
        conn.request_arrives_us = at = max(self._engine.now_us + us, conn.request_arrives_us)
        return at

    def _check_readable(self, conn: NodeConnection) -> bool:
        """Whether the endpoint can read from it; if not, its machine resets it or stays silent."""
        if not conn.open_at_endpoint and not self.silent:
            self._send_close(conn)
        return conn.open_at_endpoint and not self.silent

    def _on_request(self, conn: NodeConnection, ask: t.Ask, left_us: int, first_us: int) -> None:
        if not self._check_readable(conn):
            return
        now = self._engine.now_us
        self.attempts_in_progress += 1
        self._observations.sent(now, ask.rid, conn.outbound.name, self.name, first_us)
        self.handle(t.Asked(conn.id, ask.rid, ask.cls, ask.tenant, ask.key, ask.work_us, now + left_us))

    def _on_probe(self, conn: NodeConnection) -> None:
        if self._check_readable(conn):
            self._observations.probed(self._engine.now_us, conn.outbound.name, self.name)
            self.handle(t.ProbeAsked(conn.id, "load"))

    def _on_closed(self, conn: NodeConnection) -> None:
        conn.open_at_endpoint = False
        if self._conns.pop(conn.id, None) is not None:
            self.handle(t.Gone(conn.id))

    # --- From the model ---------------------------------------------------------------------------------
    def _reply_arrival(self, conn: NodeConnection) -> int:
        """When data written to the node now arrives; -1: never."""
        us = -1 if conn.silent else self._net.one_way_us(self, conn.outbound)
        if us < 0:
            conn.silent = True
            return -1
        conn.reply_arrives_us = at = max(self._engine.now_us + us, conn.reply_arrives_us)
        return at

    def _send_close(self, conn: NodeConnection) -> None:
        at = self._reply_arrival(conn)
        if at >= 0:
            self._engine.at(at, _on_close_arrived, conn)

    def _reply(self, e: t.Reply) -> None:
        conn = self._conns.get(e.conn)
        if conn is None:
            return
        if conn.resets_reply:
            self._send_close(conn)
            self._engine.at(self._engine.now_us, self._on_closed, conn)
            return
        at = self._reply_arrival(conn)
        if at >= 0:
            node = conn.outbound
            self._engine.at(at, node.post, node.replied, conn, e.rid, e.kind, e.report)

    def _ran(self, e: t.Ran) -> None:
        self._observations.ran(self._engine.now_us, e.rid, self.name, e.work_us)

    def _done(self, e: t.Done) -> None:
        self.attempts_in_progress -= 1
        self._observations.ended(self._engine.now_us, e.rid, self.name, e.outcome)

    def _accept(self, e: t.Accept) -> None:
        conn = self._conns[e.conn]
        conn.open_at_endpoint = True
        self._observations.dialed(self._engine.now_us, conn.outbound.name, self.name)
        at = self._reply_arrival(conn)
        if at >= 0:
            self._engine.at(at, conn.outbound.post, conn.outbound.dialed, conn)

    def _refuse(self, e: t.Refuse) -> None:
        conn = self._conns.pop(e.conn)
        at = self._reply_arrival(conn)
        if at >= 0:
            self._engine.at(at, conn.outbound.post, conn.outbound.refused, conn)

    def _hang_up(self, e: t.Hangup) -> None:
        conn = self._conns.pop(e.conn, None)
        if conn is not None:
            conn.open_at_endpoint = False
            self._send_close(conn)

    def _on_overloaded(self, _: t.Overloaded) -> None:
        self.up = False
        self._world.endpoint_fell(self)
        self._end_conns()


def _on_close_arrived(conn: NodeConnection) -> None:
    """The node's machine learns of the close at once, its process when it gets to it."""
    conn.closed = True
    conn.outbound.post(conn.outbound.closed_by_endpoint, conn)
