"""The clients' side in virtual time: tries on connections to nodes, round the model of the clients.

It owns the clients' connections (kept open, one try at a time on each, a new one when all to that node are
busy) and the way of each try from its asking to its end. It must never decide what a client does next: the
model does. Nor does it know what a node thinks: it sees what comes back.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from granitewell import core as c
from granitewell.lab.emulator import types as t
from granitewell.lab.engine import stream
from granitewell.lab.simulation.site import Alarm

if TYPE_CHECKING:
    from granitewell.lab.emulator.clients import Clients
    from granitewell.lab.simulation.node import Node
    from granitewell.lab.simulation.world import World

IDLE_US = 2_000_000  # after which a node closes a client's idle connection (granitewell.net.loop)
ADMIT_AGAIN_US = 20_000  # and after which it looks again whether it has room for one more
VERDICTS = {
    c.Verdict.SERVED: "served", c.Verdict.FAIL_FAST: "refused", c.Verdict.FAILED: "failed",
    c.Verdict.SAME_ID: "failed",
}  # fmt: skip


class Line:
    """One client connection to one node process.

    Attributes:
        trip: What is asked on it; None: it is idle.
    """

    __slots__ = ("done", "id", "idle_us", "node", "open", "read", "trip", "zone")

    def __init__(self, number: int, node: Node, zone: int) -> None:
        self.id, self.node, self.zone = number, node, zone
        self.open = True
        self.read = False  # whether the node's machine has something on it that is not answered
        self.done = True  # whether the node has written its answer
        self.idle_us = 0
        self.trip: Trip | None = None


class Trip:
    """One try on its way.

    Attributes:
        taken: Its last byte went to a connection that a node's machine had accepted.
    """

    __slots__ = ("again", "ask", "line", "taken")

    def __init__(self, ask: t.Ask) -> None:
        self.ask = ask
        self.line: Line | None = None
        self.taken = self.again = False


class Street:
    """All clients. `owed` counts the tries that have not ended."""

    def __init__(self, world: World, clients: Clients) -> None:
        self._world, self._engine, self._net, self._seen = world, world.engine, world.net, world.seen
        self.clients = clients
        self._trips: dict[str, Trip] = {}
        self._rng = stream(world.day.seed, "street")
        self._beside = Counter(n.zone for n in world.day.nodes)
        self.asked = 0
        self._alarm = Alarm(world.engine, clients, self.tick)
        self._do = {t.Ask: self._ask, t.Leave: self._leave}

    @property
    def owed(self) -> int:
        """Tries without an end, and a try that a client is waiting to make."""
        return len(self._trips) + (self.clients.wake_us >= 0)

    def tick(self) -> None:
        """The clients' time has come."""
        self._hand(t.Tick())

    def _hand(self, event: t.ClientEvent) -> None:
        for effect in self.clients.handle(self._engine.now_us, event):
            self._do[type(effect)](effect)  # type: ignore[operator]
        self._alarm.look()

    # --- There ------------------------------------------------------------------------------------------
    def _ask(self, ask: t.Ask) -> None:
        trip = self._trips[ask.rid] = Trip(ask)
        self.asked += 1
        self._seen.asked(self._engine.now_us, ask.rid, ask.first, ask.cls, ask.tenant, ask.key, ask.zone,
                         ask.timeout_us, ask.rebooks)  # fmt: skip
        self._send(trip)

    def _send(self, trip: Trip) -> None:
        zone, now = trip.ask.zone, self._engine.now_us
        for old in self._world.leaving:  # new connections no longer go there, but what is open is used
            line = self._kept(old, zone) if self._rng.random() * self._beside[old.zone] < 1.0 else None
            if line is not None:
                self._write(trip, line)
                return
        name = self._world.front.pick(now, zone)
        node = self._world.process(name) if name is not None else None
        if node is None:
            # a dead process's machine refuses; so does the front where it has no node
            self._engine.at(now + self._world.client_rtt_us, self._broken, trip)
            return
        line = self._kept(node, zone)
        if line is not None:
            self._write(trip, line)
            return
        there, back = self._net.client(zone, node, True), self._net.client(zone, node, False)
        if there >= 0 and back >= 0:  # else it never comes up, and the client leaves in its time
            self._engine.at(now + there + back, self._up, trip, node)

    def _kept(self, node: Node, zone: int) -> Line | None:
        """The connection used last to that node, if the node has not closed it for idleness."""
        lines = node.kept.get(zone)
        while lines:
            line = lines.pop()
            if line.open and self._engine.now_us - line.idle_us < IDLE_US:
                return line
            node.drop(line)
        return None

    def _up(self, trip: Trip, node: Node) -> None:
        if trip.ask.rid not in self._trips:
            return
        if not node.alive or not node.listening:
            self._broken(trip)
            return
        line = Line(self._world.number(), node, trip.ask.zone)
        line.open = True
        self._write(trip, line, new=True)

    def _write(self, trip: Trip, line: Line, new: bool = False) -> None:
        trip.line, line.trip, line.done = line, trip, False
        now, name = self._engine.now_us, line.node.name
        self._seen.taken(now, trip.ask.rid, name)
        trip.taken = True
        us = self._net.client(line.zone, line.node, True)
        if us >= 0:
            self._engine.at(now + us, self._arrive, trip, line, new)

    def _arrive(self, trip: Trip, line: Line, new: bool) -> None:
        node = line.node
        if not node.alive:
            if new:  # its end did not know of this connection
                self._reset(trip, line)
            return
        if new and trip.line is not line:
            return  # left before the node came to it
        if new and not node.admit(line):
            self._engine.at(self._engine.now_us + ADMIT_AGAIN_US, self._arrive, trip, line, new)
        elif line.open:
            line.read = True
            node.post(node.arrived, line, trip.ask)
        elif trip.line is line:
            # closed by the node between requests, which crossed this one: sent once more on a new connection
            us = max(self._net.client(line.zone, node, False), 0)
            self._engine.at(self._engine.now_us + us, self._crossed, trip, line)

    def _crossed(self, trip: Trip, line: Line) -> None:
        if trip.line is not line:
            return
        if trip.again:
            self._reset(trip, line)
        else:
            trip.again, trip.line, line.trip = True, None, None
            self._send(trip)

    # --- And back ---------------------------------------------------------------------------------------
    def answer(self, line: Line, effect: c.Answer, close: bool) -> None:
        """A node writes a final answer."""
        line.done, line.read = True, False
        us = self._net.client(line.zone, line.node, False)
        if us >= 0:
            self._engine.at(self._engine.now_us + us, self._answered, line, line.trip, effect, close)

    def _answered(self, line: Line, trip: Trip | None, effect: c.Answer, close: bool) -> None:
        if trip is None or trip.line is not line:
            return  # the client has left
        rid, now = trip.ask.rid, self._engine.now_us
        verdict = VERDICTS[effect.verdict]
        self._seen.answered(now, rid, line.node.name, verdict, effect.retry_after_us, effect.answer == rid)
        trip.line = line.trip = None
        if line.open and not close:
            line.idle_us = now
            lines = line.node.kept.get(line.zone)
            if lines is None:
                lines = line.node.kept[line.zone] = deque()
            lines.append(line)
        del self._trips[rid]
        self._hand(t.Replied(rid, verdict, effect.retry_after_us))

    def _leave(self, effect: t.Leave) -> None:
        trip = self._trips.pop(effect.rid, None)
        if trip is None:
            return
        self._seen.left(self._engine.now_us, effect.rid)
        line, trip.line = trip.line, None
        if line is not None:
            line.trip, line.open = None, False
            us = self._net.client(line.zone, line.node, True)
            if us >= 0:
                self._engine.at(self._engine.now_us + us, line.node.post, line.node.client_gone, line)

    def ends(self, node: Node) -> None:
        """A node's process is gone, and its machine resets its connections."""
        for line in list(node.lines.values()):
            line.open = False
            if not line.done and line.trip is not None:
                us = self._net.client(line.zone, node, False)
                if us >= 0:
                    self._engine.at(self._engine.now_us + us, self._reset, line.trip, line)
        node.lines.clear()
        node.kept.clear()

    def _reset(self, trip: Trip, line: Line) -> None:
        if trip.line is line:
            line.trip = None
            self._seen.lost(self._engine.now_us, trip.ask.rid, line.node.name, "reset")
            self._broken(trip)

    def _broken(self, trip: Trip) -> None:
        rid = trip.ask.rid
        if self._trips.pop(rid, None) is not None:
            trip.line = None
            self._hand(t.Broken(rid, trip.taken))
