"""A virtual node's outbound calls: what `granitewell.net.loop` does for them with sockets.

It owns the calls under way, the connections they go over, the pool and the dials. It must never resend
anything, or change the state of a request. Nothing here is sent twice, whatever becomes of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from granitewell import core as c
from granitewell.balancing.interface import Outcome
from granitewell.lab.emulator.types import Ask
from granitewell.lab.simulation.pool import Conn, Pool

if TYPE_CHECKING:
    from granitewell.lab.simulation.node import Node
    from granitewell.lab.simulation.site import Site
    from granitewell.lab.simulation.world import World

# --- The figures of granitewell.net.loop, which can't be imported here: it needs uvloop and httptools ---
HEAD_START_US = 3_600_000_000
IDLE_PART = 0.8
SWEEP_US = 100_000
WHOLE_US = 150_000
SOCKETS = 1024
RESERVE = 32
MOST = SOCKETS - RESERVE
MAX_CONNS = MOST - min(SOCKETS // 3 + 8, MOST // 2)
MIN_LEFT_US = 1_000  # Request-Timeout-Ms is whole and at least 1

ENDINGS = {"ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.FULL}


class Call:
    """An outbound call that is under way; effect None: it is a probe."""

    __slots__ = ("conn", "dialing", "effect", "go", "site")

    def __init__(self, effect: c.StartCall | None, site: Site) -> None:
        self.effect, self.site = effect, site
        self.conn: Conn | None = None
        self.dialing = self.go = False


class Outbound:
    """The calls of one node process."""

    def __init__(self, world: World, node: Node) -> None:
        self._world, self._engine, self._node = world, world.engine, node
        self.name: str = node.name
        self.zone: int = node.zone
        self.post: Callable[..., None] = node.post
        self._calls: dict[int, Call] = {}
        self.begun: deque[Call] = deque()  # started by the core, for the next turn of the loop
        self._turning = False
        self.conns: dict[int, Conn] = {}
        self._pool = Pool(int(world.day.conn.idle_us * IDLE_PART))
        self._sweeping = False
        self._dials: deque[tuple[int, Conn]] = deque()  # by when they are given up; some are long up

    # --- Effects ----------------------------------------------------------------------------------------
    def start(self, effect: c.StartCall) -> None:
        """The call begins once the core's other effects of this moment are run: see turn."""
        call = self._calls[effect.call] = Call(effect, self._world.sites_by_key[effect.endpoint])
        self.begun.append(call)

    def probe(self, site: Site) -> None:
        """Write a probe to an endpoint."""
        self.begun.append(Call(None, site))
        self.turn()

    def turn(self) -> None:
        """Carry what has begun, as the loop does in its next turn."""
        if self._turning:
            return
        self._turning = True
        while self.begun:
            call = self.begun.popleft()
            if call.effect is None or call.effect.call in self._calls:  # not called off in the meantime
                self._carry(call)
        self._turning = False

    def go(self, effect: c.WriteCall) -> None:
        """The dialed connection is to be used."""
        self._calls[effect.call].go = True

    def abandon(self, effect: c.AbandonCall) -> None:
        """Abandon a call that nobody waits for any more.

        Its connection is closed, as its answer would be out of step with a later call. A dial goes on: it
        has been paid for and serves a later call.
        """
        call = self._calls.pop(effect.call, None)
        if call is not None and not call.dialing and call.conn is not None and call.conn.call is call:
            call.conn.call = None
            self._close(call.conn)

    def close_idle(self, effect: c.CloseIdle) -> None:
        """Nothing more goes to that endpoint."""
        for conn in self._pool.drop(effect.endpoint):
            self._close(conn)

    def end(self) -> None:
        """The process is gone."""
        for conn in list(self.conns.values()):
            self._close(conn)

    # --- From call to connection ------------------------------------------------------------------------
    def _carry(self, call: Call) -> None:
        conn, unfit = self._pool.take(call.site.key, self._engine.now_us)
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
        if not self._room():
            self._node.notes["budget"] += 1
            self._finish(call, Outcome.UNCONNECTED)
            return
        conn = Conn(self._world.number(), self, call.site)
        self.conns[conn.id] = conn
        conn.call = call
        late = self._engine.now_us + self._world.day.conn.dial_timeout_us
        self._dials.append((late, conn))
        if len(self._dials) == 1:
            self._engine.at(late, self.post, self._dial_timeout)
        call.site.dial(conn)

    def _room(self) -> bool:
        held = len(self.conns)
        if held < MAX_CONNS and len(self._node.connections) + held < MOST:
            return True
        return self.shed() or (held < MAX_CONNS and self._node.evict())

    def shed(self) -> bool:
        """Close the connection that has been idle longest; False if none is."""
        conn = self._pool.shed()
        if conn is not None:
            self._close(conn)
        return conn is not None

    def dialed(self, conn: Conn) -> None:
        """A connection is up."""
        call = conn.call
        if call is None:
            return  # the dial's time was over before the process came to it
        conn.call = None
        effect = call.effect
        if effect is not None:
            self._node.dispatch(c.CallDialed(effect.call))
        call.dialing = False
        if conn.closed:
            self._close(conn)
            self._finish(call, Outcome.UNCONNECTED)
        elif effect is None or call.go:
            self._write(call, conn)
        else:
            self._put(conn)

    def refused(self, conn: Conn) -> None:
        """A connection did not come up."""
        call, conn.call = conn.call, None
        self._close(conn)
        if call is not None:
            self._finish(call, Outcome.UNCONNECTED)

    def _dial_timeout(self) -> None:
        """Give up what has not come up in its time. All dials have the same, so one alarm does for all."""
        dials, now, late = self._dials, self._engine.now_us, []
        while dials and (dials[0][0] <= now or not dials[0][1].dialing):
            late.append(dials.popleft()[1])
        if dials:
            self._engine.at(dials[0][0], self.post, self._dial_timeout)
        for conn in late:  # what this brings about may dial anew
            if conn.dialing:
                self.refused(conn)

    # --- From connection to ending ----------------------------------------------------------------------
    def _write(self, call: Call, conn: Conn) -> None:
        call.conn, conn.call = conn, call
        effect = call.effect
        if effect is None:
            call.site.probe(conn)
            return
        left = max(effect.due_us - HEAD_START_US - self._engine.now_us, MIN_LEFT_US) // 1000 * 1000
        ask = effect.message
        assert isinstance(ask, Ask)
        call.site.ask(conn, ask, left)

    def replied(self, conn: Conn, rid: str, kind: str, report: tuple[float, ...] | None) -> None:
        """An answer, or only its head, has been read."""
        call = conn.call
        if call is None:
            return
        if kind == "head":
            self._engine.at(self._engine.now_us + WHOLE_US, self.post, self._unfinished, conn, call)
        elif kind == "spoilt":
            self._unfinished(conn, call)
        else:
            conn.call = None
            self._put(conn)  # first of all, so that what the answer brings about can use it
            if call.effect is None:
                self._node.probed(call.site, kind == "probe_ok", report or ())
            else:
                self._finish(call, ENDINGS[kind], report or (), rid if kind == "ok" else None)

    def _unfinished(self, conn: Conn, call: Call) -> None:
        if conn.call is call:
            conn.call = None
            self._close(conn)
            self._finish(call, Outcome.RESET)

    def hung_up(self, conn: Conn) -> None:
        """The far side has closed a connection, with or without a reset."""
        if not conn.near:
            return
        call, conn.call = conn.call, None
        self._pool.remove(conn.site.key, conn)
        self._close(conn)
        if call is not None:
            self._finish(call, Outcome.UNCONNECTED if call.dialing else Outcome.RESET)

    def _finish(
        self, call: Call, outcome: Outcome, report: tuple[float, ...] = (), answer: object = None
    ) -> None:
        if call.effect is None:
            self._node.probed(call.site, False, ())
        elif self._calls.pop(call.effect.call, None) is not None:
            self._node.dispatch(c.CallEnded(call.effect.call, outcome, report, answer))

    # --- The pool ---------------------------------------------------------------------------------------
    def _put(self, conn: Conn) -> None:
        self._pool.put(conn.site.key, conn, self._engine.now_us)
        if not self._sweeping:
            self._look()

    def _look(self) -> None:
        """Sweep at the loop's next sweep at which something is due."""
        due = self._pool.due_us
        self._sweeping = due >= 0
        if self._sweeping:
            self._engine.at(due // SWEEP_US * SWEEP_US + SWEEP_US, self._sweep)

    def _sweep(self) -> None:
        if self._node.alive:
            for conn in self._pool.expire(self._engine.now_us):
                self._close(conn)
            self._look()

    def _close(self, conn: Conn) -> None:
        if conn.near:
            conn.near = False
            del self.conns[conn.id]
            conn.site.left(conn)
