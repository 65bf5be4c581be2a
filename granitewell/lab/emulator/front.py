"""The front: a simple load balancer that picks the node for each new client connection.

It adds a node when its ready path has answered since its start, and keeps sending to a dead node for a while.
It knows neither load nor whether a node is really alive. Each call costs the same for three nodes as for
hundreds.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

from granitewell.lab.day import Day
from granitewell.lab.engine import stream

STOPPING_DELAY_RANGE_US = (
    200_000,
    400_000,
)  # range of the time for which a node still gets connections after SIGTERM


class Front:
    """Spreads connections at random over the nodes of the client's zone, or over all if it has none.

    The caller reports node changes at times that never fall; a name that has not been up raises KeyError.
    """

    def __init__(self, day: Day) -> None:
        self._notice_us = day.front.notice_us
        self._rng = stream(day.seed, "front")
        self._nodes_by_zone: list[list[str]] = [[] for _ in day.zones]  # nodes in service
        self._zone: dict[str, int] = {}
        self._position: dict[str, int] = {}  # index of a node in its zone's list
        self._pending_removals: dict[str, int] = {}  # number of a node's valid removal
        self._removals: list[tuple[int, int, str]] = []  # heap of (when, number, node)
        self._removal_count = 0

    def node_up(self, now_us: int, name: str, zone: int) -> None:
        """The node's process started. If its predecessor's death is not noticed yet, nothing changes."""
        self._advance(now_us)
        self._zone[name] = zone

    def node_ready(self, now_us: int, name: str) -> None:
        """The node's ready path returned 200 for the first time since its start."""
        self._advance(now_us)
        self._pending_removals.pop(name, None)
        if name not in self._position:
            nodes = self._nodes_by_zone[self._zone[name]]
            self._position[name] = len(nodes)
            nodes.append(name)

    def node_down(self, now_us: int, name: str) -> None:
        """The node's process ended: it is removed once that is noticed, unless it is ready again by then."""
        self._advance(now_us)
        if name not in self._pending_removals:
            self._schedule_removal(now_us + self._notice_us, name)

    def node_stopping(self, now_us: int, name: str) -> None:
        """The node was sent SIGTERM: it gets new connections for 0.2 to 0.4 s more."""
        self._advance(now_us)
        low, high = STOPPING_DELAY_RANGE_US
        self._schedule_removal(now_us + low + int(self._rng.random() * (high - low)), name)

    def pick(self, now_us: int, zone: int, rng: Random | None = None) -> str | None:
        """The node for a new connection from that zone; None if no node is in service.

        It draws from `rng` or from a stream of its own.
        """
        self._advance(now_us)
        draw = (rng or self._rng).random()
        nodes = self._nodes_by_zone[zone]
        if nodes:
            return nodes[int(draw * len(nodes))]
        k = int(draw * len(self._position))
        for nodes in self._nodes_by_zone:
            if k < len(nodes):
                return nodes[k]
            k -= len(nodes)
        return None

    def _schedule_removal(self, when_us: int, name: str) -> None:
        if name in self._position:
            self._removal_count += 1
            self._pending_removals[name] = self._removal_count
            heappush(self._removals, (when_us, self._removal_count, name))

    def _advance(self, now_us: int) -> None:
        """Remove the nodes whose end the front has noticed by now."""
        removals = self._removals
        while removals and removals[0][0] <= now_us:
            _, number, name = heappop(removals)
            if self._pending_removals.get(name) == number:
                del self._pending_removals[name]
                self._remove(name)

    def _remove(self, name: str) -> None:
        nodes, position = self._nodes_by_zone[self._zone[name]], self._position.pop(name)
        last = nodes.pop()
        if last != name:
            nodes[position] = last
            self._position[last] = position
