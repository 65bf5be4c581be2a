"""The plain front: which node a client's new connection goes to.

It owns what the front believes of the nodes: it lets one in when its ready path has answered since its start,
and goes on sending to a dead one for a while. It must never look at load, or know whether a node is alive.
Each call costs the same for three nodes as for hundreds.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

from granitewell.lab.day import Day
from granitewell.lab.engine import stream

STOPPING_DELAY_RANGE_US = (
    200_000,
    400_000,
)  # for which new connections go to a node after SIGTERM, from and to


class Front:
    """Spreads connections at random over the nodes of the client's zone, or over all where it has none.

    The shell says what befalls nodes, at times that never fall; a name that has not been up is a KeyError.
    """

    def __init__(self, day: Day) -> None:
        self._notice_us = day.front.notice_us
        self._rng = stream(day.seed, "front")
        self._nodes_by_zone: list[list[str]] = [[] for _ in day.zones]  # the nodes let in
        self._zone: dict[str, int] = {}
        self._position: dict[str, int] = {}  # of a node that is let in, in its zone's list
        self._pending_removals: dict[str, int] = {}  # which of a node's removals counts
        self._removals: list[tuple[int, int, str]] = []  # (when, number, node): removals
        self._removal_count = 0

    def node_up(self, now_us: int, name: str, zone: int) -> None:
        """Its process has started. Where the death of the one before is not noticed yet, nothing changes."""
        self._advance(now_us)
        self._zone[name] = zone

    def node_ready(self, now_us: int, name: str) -> None:
        """Its ready path has answered 200 for the first time since its start."""
        self._advance(now_us)
        self._pending_removals.pop(name, None)
        if name not in self._position:
            nodes = self._nodes_by_zone[self._zone[name]]
            self._position[name] = len(nodes)
            nodes.append(name)

    def node_down(self, now_us: int, name: str) -> None:
        """Its process is gone: left out once that has been noticed, unless it is ready again by then."""
        self._advance(now_us)
        if name not in self._pending_removals:
            self._schedule_removal(now_us + self._notice_us, name)

    def node_stopping(self, now_us: int, name: str) -> None:
        """It was sent SIGTERM, and the front knows: new connections go there for 0.2 to 0.4 s more."""
        self._advance(now_us)
        low, high = STOPPING_DELAY_RANGE_US
        self._schedule_removal(now_us + low + int(self._rng.random() * (high - low)), name)

    def pick(self, now_us: int, zone: int, rng: Random | None = None) -> str | None:
        """The node for a new connection from that zone; None: there is none at all.

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
        """Leave out whom the front has by now noticed to be gone."""
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
