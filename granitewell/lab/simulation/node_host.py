"""The host of one node in virtual time: starts and stops its processes and keeps its agent's endpoint list.

It starts, kills and stops the node's processes and converts discovery updates to the core's form. What a
process does is up to `node.Node`.
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
from granitewell.lab.simulation.outbound import CLOCK_OFFSET_US
from granitewell.lab.simulation.probing import ProbingDecider

if TYPE_CHECKING:
    from granitewell.lab.simulation.world import World

START_DELAY_US = 300_000  # from process start to listening, as the real program takes
MIN_KILL_DELAY_US = 3_000_000  # lower bound of the longest deadline, after which SIGKILL follows SIGTERM
KILL_MARGIN_US = 700_000  # added to that deadline

STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class EndpointLists:
    """Converts discovery lines to the core's form. All nodes share the objects to save memory."""

    def __init__(self) -> None:
        self._endpoints: dict[t.Line, c.DiscoveredEndpoint] = {}
        self._last: tuple[tuple[t.Line, ...], View, c.EndpointListUpdate] | None = None

    def update(self, lines: tuple[t.Line, ...], view: View) -> c.EndpointListUpdate:
        """The update for these lines."""
        last = self._last
        if last is not None and last[0] is lines and last[1] is view:
            return last[2]
        update = c.EndpointListUpdate(view, tuple(self._endpoint(x) for x in lines))
        self._last = lines, view, update
        return update

    def _endpoint(self, line: t.Line) -> c.DiscoveredEndpoint:
        made = self._endpoints.get(line)
        if made is None:
            # on sockets discovery sends whole milliseconds, and 0 for long ago
            started = line.started_us // 1000 * 1000 + CLOCK_OFFSET_US if line.started_us > 0 else 0
            made = self._endpoints[line] = c.DiscoveredEndpoint(
                line.id.encode(), (line.id, 1), line.zone, line.kind, line.cell, STATES[line.state], 1.0,
                started,
            )  # fmt: skip
        return made


class NodeHost:
    """The host of one node.

    Attributes:
        process: The running process; None if there is none.
    """

    def __init__(self, world: World, spec: NodeDay, index: int) -> None:
        self.name, self.zone, self.spec, self.index = spec.name, spec.zone, spec, index
        self._world, self._engine = world, world.engine
        self.process: Node | None = None
        self.starts = 0
        self.known: dict[str, t.Line] = {}  # the endpoint list as last sent to a process here
        self._cpu = spec.cpu
        self._lost_discovery = False  # discovery has moved, and the process still uses its old address

    def start(self, already_listening: bool) -> None:
        """Start a process; with `already_listening` its listener opens at once."""
        self.starts += 1
        self._lost_discovery = False
        seed = stream(self._world.day.seed, "node", self.name, self.starts).getrandbits(64)
        told = settings(self._world.day, self.index)
        decider = self._world.decider(self, told, seed)
        core = c.Core(told, decider, MAX_HELD)
        self.process = node = Node(self._world, self.spec, core)
        if isinstance(decider, ProbingDecider):
            decider.attach(node, self._world.endpoint_hosts_by_key)
        node.limit_cpu(self._cpu)
        self._world.node_up(self)
        if self.known:
            node.endpoints_updated(self._world.endpoint_lists.update(tuple(self.known.values()), View.CACHED))
        if already_listening:
            self._begin(node)
        else:
            self._engine.at(self._engine.now_us + START_DELAY_US, node.post, self._begin, node)

    def _begin(self, node: Node) -> None:
        self._world.discover(t.NodeBegins(self.name))
        node.listen()

    def deliver(self, tell: t.Tell) -> None:
        """Deliver a discovery update; without a process it is dropped, as the next gets the full list."""
        node, now, observations = self.process, self._engine.now_us, self._world.observations
        if node is None or self._lost_discovery:
            return
        if tell.whole:
            there = {x.id for x in tell.lines}
            for name in [k for k in self.known if k not in there]:
                observations.told(now, self.name, name, "gone")
            self.known = {x.id: x for x in tell.lines}
        for line in tell.lines:
            observations.told(now, self.name, line.id, line.state)
            if line.state == "gone":
                self.known.pop(line.id, None)
            else:
                self.known[line.id] = line
        view = View.FULL if tell.whole else View.DELTA
        node.post(node.endpoints_updated, self._world.endpoint_lists.update(tell.lines, view))

    # --- Faults and signals -----------------------------------------------------------------------------
    def kill(self) -> None:
        """SIGKILL."""
        if self.process is not None:
            self._world.node_ends(self.process, True, -9)

    def stop(self) -> None:
        """SIGTERM, followed by SIGKILL after a delay."""
        node = self.process
        if node is None:
            return
        now, longest = self._engine.now_us, max(x.deadline_us for x in self._world.day.classes)
        self._world.node_stopping(node)
        node.post(node.stop)
        self._engine.at(now + max(longest, MIN_KILL_DELAY_US) + KILL_MARGIN_US, self._kill, node)

    def _kill(self, node: Node) -> None:
        if self.process is node:
            self.kill()

    def reload(self) -> None:
        """SIGHUP: the node requests the full list from discovery."""
        self._lost_discovery = False
        if self.process is not None:
            self._world.discover(t.NodeBegins(self.name))

    def lose_discovery(self) -> None:
        """Discovery closed the address that the process uses."""
        self._lost_discovery = True

    def stall(self, until_us: int) -> None:
        """Stall the process until then."""
        if self.process is not None:
            self.process.stall(until_us)

    def limit_cpu(self, cores: float) -> None:
        """Limit this process and later ones to a share of one core."""
        self._cpu = cores
        if self.process is not None:
            self.process.limit_cpu(cores)
