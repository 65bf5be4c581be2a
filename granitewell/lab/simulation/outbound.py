"""A virtual node's outbound calls: what `granitewell.net.loop` does for them with sockets.

It holds the calls in progress, their connections, the pool and the dials. Nothing is sent twice, whatever
becomes of it, and no request state is kept here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from granitewell import core as c
from granitewell.balancing.interface import Outcome
from granitewell.lab.emulator.types import Ask
from granitewell.lab.simulation.connection_pool import ConnectionPool, NodeConnection

if TYPE_CHECKING:
    from granitewell.lab.simulation.endpoint_host import EndpointHost
    from granitewell.lab.simulation.node import Node
    from granitewell.lab.simulation.world import World

# --- Constants of granitewell.net.loop, which cannot be imported here: it needs uvloop and httptools ---
CLOCK_OFFSET_US = 3_600_000_000
IDLE_TIMEOUT_RATIO = 0.8
SWEEP_INTERVAL_US = 100_000
RESPONSE_BODY_TIMEOUT_US = 150_000
SOCKET_LIMIT = 1024
RESERVED_SOCKETS = 32
MAX_SOCKETS = SOCKET_LIMIT - RESERVED_SOCKETS
MAX_ENDPOINT_CONNECTIONS = MAX_SOCKETS - min(SOCKET_LIMIT // 3 + 8, MAX_SOCKETS // 2)
MIN_REQUEST_TIMEOUT_US = 1_000  # Request-Timeout-Ms is whole and at least 1

OUTCOME_BY_KIND = {"ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.FULL}


class Call:
    """An outbound call in progress; effect None: a probe."""

    __slots__ = ("conn", "dialing", "effect", "write_allowed", "endpoint_host")

    def __init__(self, effect: c.StartCall | None, endpoint_host: EndpointHost) -> None:
        self.effect, self.endpoint_host = effect, endpoint_host
        self.conn: NodeConnection | None = None
        self.dialing = self.write_allowed = False


class Outbound:
    """The calls of one node process."""

    def __init__(self, world: World, node: Node) -> None:
        self._world, self._engine, self._node = world, world.engine, node
        self.name: str = node.name
        self.zone: int = node.zone
        self.post: Callable[..., None] = node.post
        self._calls: dict[int, Call] = {}
        self.pending: deque[Call] = deque()  # started by the core, to run in the next loop iteration
        self._starting = False
        self.conns: dict[int, NodeConnection] = {}
        self._pool = ConnectionPool(int(world.day.conn.idle_us * IDLE_TIMEOUT_RATIO))
        self._sweeping = False
        self._dials: deque[tuple[int, NodeConnection]] = (
            deque()
        )  # (timeout, connection); some are already connected

    # --- Effects ----------------------------------------------------------------------------------------
    def start(self, effect: c.StartCall) -> None:
        """Queue a call; it starts after the core's other effects, see start_pending."""
        call = self._calls[effect.call] = Call(effect, self._world.endpoint_hosts_by_key[effect.endpoint])
        self.pending.append(call)

    def probe(self, endpoint_host: EndpointHost) -> None:
        """Send a probe to an endpoint."""
        self.pending.append(Call(None, endpoint_host))
        self.start_pending()

    def start_pending(self) -> None:
        """Start the pending calls, as the loop does in its next iteration."""
        if self._starting:
            return
        self._starting = True
        while self.pending:
            call = self.pending.popleft()
            if call.effect is None or call.effect.call in self._calls:  # not abandoned meanwhile
                self._assign_connection(call)
        self._starting = False

    def allow_write(self, effect: c.WriteCall) -> None:
        """Allow the call to be written once its connection is up."""
        self._calls[effect.call].write_allowed = True

    def abandon(self, effect: c.AbandonCall) -> None:
        """Abandon a call that nobody waits for any more.

        Its connection is closed, since a late reply would be taken for that of a later call. A dial
        continues: its cost is spent and a later call can use the connection.
        """
        call = self._calls.pop(effect.call, None)
        if call is not None and not call.dialing and call.conn is not None and call.conn.call is call:
            call.conn.call = None
            self._close(call.conn)

    def close_idle(self, effect: c.CloseIdle) -> None:
        """Close the idle connections to an endpoint that gets no more calls."""
        for conn in self._pool.drop(effect.endpoint):
            self._close(conn)

    def end(self) -> None:
        """The process ended."""
        for conn in list(self.conns.values()):
            self._close(conn)

    # --- Connections ------------------------------------------------------------------------------------
    def _assign_connection(self, call: Call) -> None:
        conn, unfit = self._pool.take(call.endpoint_host.key, self._engine.now_us)
        for old in unfit:
            self._close(old)
        if conn is not None:
            self._write(call, conn)
            return
        call.dialing = True
        if call.effect is not None:
            self._node.dispatch(c.CallDialing(call.effect.call))
        self._dial(call)

    def _dial(self, call: Call) -> None:
        if not self._has_room():
            self._node.notes["budget"] += 1
            self._finish(call, Outcome.UNCONNECTED)
            return
        conn = NodeConnection(self._world.next_connection_id(), self, call.endpoint_host)
        self.conns[conn.id] = conn
        conn.call = call
        late = self._engine.now_us + self._world.day.conn.dial_timeout_us
        self._dials.append((late, conn))
        if len(self._dials) == 1:
            self._engine.at(late, self.post, self._dial_timeout)
        call.endpoint_host.dial(conn)

    def _has_room(self) -> bool:
        held = len(self.conns)
        if held < MAX_ENDPOINT_CONNECTIONS and len(self._node.connections) + held < MAX_SOCKETS:
            return True
        return self.evict_oldest() or (held < MAX_ENDPOINT_CONNECTIONS and self._node.evict())

    def evict_oldest(self) -> bool:
        """Close the connection that has been idle longest; False if none is."""
        conn = self._pool.evict_oldest()
        if conn is not None:
            self._close(conn)
        return conn is not None

    def dialed(self, conn: NodeConnection) -> None:
        """A connection is up."""
        call = conn.call
        if call is None:
            return  # the dial timed out before the process got to it
        conn.call = None
        effect = call.effect
        if effect is not None:
            self._node.dispatch(c.CallDialed(effect.call))
        call.dialing = False
        if conn.closed:
            self._close(conn)
            self._finish(call, Outcome.UNCONNECTED)
        elif effect is None or call.write_allowed:
            self._write(call, conn)
        else:
            self._put(conn)

    def refused(self, conn: NodeConnection) -> None:
        """A connection could not be established."""
        call, conn.call = conn.call, None
        self._close(conn)
        if call is not None:
            self._finish(call, Outcome.UNCONNECTED)

    def _dial_timeout(self) -> None:
        """Give up dials that timed out. All have the same timeout, so one timer serves all."""
        dials, now, late = self._dials, self._engine.now_us, []
        while dials and (dials[0][0] <= now or not dials[0][1].dialing):
            late.append(dials.popleft()[1])
        if dials:
            self._engine.at(dials[0][0], self.post, self._dial_timeout)
        for conn in late:  # handling it may dial again
            if conn.dialing:
                self.refused(conn)

    # --- From connection to ending ----------------------------------------------------------------------
    def _write(self, call: Call, conn: NodeConnection) -> None:
        call.conn, conn.call = conn, call
        effect = call.effect
        if effect is None:
            call.endpoint_host.probe(conn)
            return
        left = (
            max(effect.due_us - CLOCK_OFFSET_US - self._engine.now_us, MIN_REQUEST_TIMEOUT_US) // 1000 * 1000
        )
        ask = effect.message
        assert isinstance(ask, Ask)
        call.endpoint_host.ask(conn, ask, left)

    def replied(self, conn: NodeConnection, rid: str, kind: str, report: tuple[float, ...] | None) -> None:
        """A reply, or only its head, has been read."""
        call = conn.call
        if call is None:
            return
        if kind == "head":
            self._engine.at(
                self._engine.now_us + RESPONSE_BODY_TIMEOUT_US, self.post, self._unfinished, conn, call
            )
        elif kind == "spoilt":
            self._unfinished(conn, call)
        else:
            conn.call = None
            self._put(conn)  # first, so that what follows from the reply can use it
            if call.effect is None:
                self._node.probe_ended(call.endpoint_host, kind == "probe_ok", report or ())
            else:
                self._finish(call, OUTCOME_BY_KIND[kind], report or (), rid if kind == "ok" else None)

    def _unfinished(self, conn: NodeConnection, call: Call) -> None:
        if conn.call is call:
            conn.call = None
            self._close(conn)
            self._finish(call, Outcome.RESET)

    def closed_by_endpoint(self, conn: NodeConnection) -> None:
        """The endpoint closed a connection, with or without a reset."""
        if not conn.open_at_node:
            return
        call, conn.call = conn.call, None
        self._pool.remove(conn.endpoint_host.key, conn)
        self._close(conn)
        if call is not None:
            self._finish(call, Outcome.UNCONNECTED if call.dialing else Outcome.RESET)

    def _finish(
        self, call: Call, outcome: Outcome, report: tuple[float, ...] = (), answer: object = None
    ) -> None:
        if call.effect is None:
            self._node.probe_ended(call.endpoint_host, False, ())
        elif self._calls.pop(call.effect.call, None) is not None:
            self._node.dispatch(c.CallEnded(call.effect.call, outcome, report, answer))

    # --- The pool ---------------------------------------------------------------------------------------
    def _put(self, conn: NodeConnection) -> None:
        self._pool.put(conn.endpoint_host.key, conn, self._engine.now_us)
        if not self._sweeping:
            self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        """Schedule the loop's next sweep that has something to close."""
        due = self._pool.due_us
        self._sweeping = due >= 0
        if self._sweeping:
            self._engine.at(due // SWEEP_INTERVAL_US * SWEEP_INTERVAL_US + SWEEP_INTERVAL_US, self._sweep)

    def _sweep(self) -> None:
        if self._node.alive:
            for conn in self._pool.expire(self._engine.now_us):
                self._close(conn)
            self._schedule_sweep()

    def _close(self, conn: NodeConnection) -> None:
        if conn.open_at_node:
            conn.open_at_node = False
            del self.conns[conn.id]
            conn.endpoint_host.close(conn)
