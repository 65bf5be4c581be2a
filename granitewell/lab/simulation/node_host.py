"""One node's place in virtual time: its processes one after another, and what its agent holds of the list.

It owns starts, kills and stops of the process there, and turns what discovery tells into what the core takes.
It must never know what a process does: that is node.Node's.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitewell import core as c
from granitewell.balancing.interface import State, View
from granitewell.lab.day import NodeDay
from granitewell.lab.emulator import types as t
from granitewell.lab.engine import stream
from granitewell.lab.platform import MAX_HELD, settings
from granitewell.lab.simulation.node import Node
from granitewell.lab.simulation.outbound import HEAD_START_US
from granitewell.lab.simulation.probing import Probing

if TYPE_CHECKING:
    from granitewell.lab.simulation.world import World

START_US = 300_000  # from the start of a process to its listener, as the real program takes it
KILL_US = 3_000_000  # SIGKILL follows SIGTERM after the longest deadline, counted as this at least,
KILL_SPARE_US = 700_000  # and so much more

STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class Members:
    """Discovery's lines as the core takes them. All nodes share the objects: there are many of them."""

    def __init__(self) -> None:
        self._made: dict[t.Line, c.DiscoveredEndpoint] = {}
        self._last: tuple[tuple[t.Line, ...], View, c.EndpointListUpdate] | None = None

    def news(self, lines: tuple[t.Line, ...], view: View) -> c.EndpointListUpdate:
        """These lines as news."""
        last = self._last
        if last is not None and last[0] is lines and last[1] is view:
            return last[2]
        news = c.EndpointListUpdate(view, tuple(self._member(x) for x in lines))
        self._last = lines, view, news
        return news

    def _member(self, line: t.Line) -> c.DiscoveredEndpoint:
        made = self._made.get(line)
        if made is None:
            # on sockets discovery says whole milliseconds, and 0 for long ago
            started = line.started_us // 1000 * 1000 + HEAD_START_US if line.started_us > 0 else 0
            made = self._made[line] = c.DiscoveredEndpoint(
                line.id.encode(), (line.id, 1), line.zone, line.kind, line.cell, STATES[line.state], 1.0,
                started,
            )  # fmt: skip
        return made


class NodeHost:
    """The place of one node.

    Attributes:
        process: None while none runs.
    """

    def __init__(self, world: World, spec: NodeDay, index: int) -> None:
        self.name, self.zone, self.spec, self.index = spec.name, spec.zone, spec, index
        self._world, self._engine = world, world.engine
        self.process: Node | None = None
        self.starts = 0
        self.known: dict[str, t.Line] = {}  # the list as last told to a process here
        self._cpu = spec.cpu
        self._deaf = False  # discovery has moved, and the process asks at its old address

    def start(self, at_once: bool) -> None:
        """A process begins; with at_once it listens already."""
        self.starts += 1
        self._deaf = False
        seed = stream(self._world.day.seed, "node", self.name, self.starts).getrandbits(64)
        told = settings(self._world.day, self.index)
        decider = self._world.decider(self, told, seed)
        core = c.Core(told, decider, MAX_HELD)
        self.process = node = Node(self._world, self.spec, core)
        if isinstance(decider, Probing):
            decider.join(node, self._world.sites_by_key)
        node.limit_cpu(self._cpu)
        self._world.node_up(self)
        if self.known:
            node.news(self._world.members.news(tuple(self.known.values()), View.CACHED))
        if at_once:
            self._begin(node)
        else:
            self._engine.at(self._engine.now_us + START_US, node.post, self._begin, node)

    def _begin(self, node: Node) -> None:
        self._world.discover(t.NodeBegins(self.name))
        node.listen()

    def take(self, tell: t.Tell) -> None:
        """Discovery writes to the node; what comes while no process runs, the next one is told anew."""
        node, now, seen = self.process, self._engine.now_us, self._world.seen
        if node is None or self._deaf:
            return
        if tell.whole:
            there = {x.id for x in tell.lines}
            for name in [k for k in self.known if k not in there]:
                seen.told(now, self.name, name, "gone")
            self.known = {x.id: x for x in tell.lines}
        for line in tell.lines:
            seen.told(now, self.name, line.id, line.state)
            if line.state == "gone":
                self.known.pop(line.id, None)
            else:
                self.known[line.id] = line
        view = View.FULL if tell.whole else View.DELTA
        node.post(node.news, self._world.members.news(tell.lines, view))

    # --- What the day does to it ------------------------------------------------------------------------
    def kill(self) -> None:
        """SIGKILL."""
        if self.process is not None:
            self._world.node_ends(self.process, True, -9)

    def stop(self) -> None:
        """SIGTERM, and SIGKILL in its time."""
        node = self.process
        if node is None:
            return
        now, longest = self._engine.now_us, max(x.deadline_us for x in self._world.day.classes)
        self._world.node_stopping(node)
        node.post(node.stop)
        self._engine.at(now + max(longest, KILL_US) + KILL_SPARE_US, self._kill, node)

    def _kill(self, node: Node) -> None:
        if self.process is node:
            self.kill()

    def reload(self) -> None:
        """SIGHUP: the node asks discovery for the whole list."""
        self._deaf = False
        if self.process is not None:
            self._world.discover(t.NodeBegins(self.name))

    def deafen(self) -> None:
        """Discovery has closed the address that the process knows."""
        self._deaf = True

    def stall(self, until_us: int) -> None:
        """The process stands still until then."""
        if self.process is not None:
            self.process.stall(until_us)

    def limit_cpu(self, cores: float) -> None:
        """The process, and those that follow it, get so much of one core."""
        self._cpu = cores
        if self.process is not None:
            self.process.limit_cpu(cores)
