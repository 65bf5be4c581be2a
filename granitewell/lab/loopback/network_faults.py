"""The state of the network in one process: who is cut off, which links are bad.

It owns the faults `cut` and `link` that are on, and what they come to between two machines. It must never
touch a socket: whoever holds one asks how things stand after each change. Delays are one way, in
microseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from granitewell.lab.day import Day, EndpointDay, NodeDay
from granitewell.lab.engine import lognormal, stream


@dataclass(frozen=True, slots=True)
class Way:
    """Between a node (or a client) and the machine that it calls.

    Attributes:
        there, back: Whether bytes pass.
        more_us: On top of each leg.
        loss: Part of the exchanges that end in a reset.
        refuses: No new connections.
    """

    there: bool = True
    back: bool = True
    more_us: int = 0
    loss: float = 0.0
    refuses: bool = False


CLEAR = Way()


class NetworkFaults:
    """Cuts and bad links, and the usual delays between zones."""

    def __init__(self, day: Day, name: str) -> None:
        """name: of the stream of random numbers for jitter, one a process."""
        self._day, self._rng = day, stream(day.seed, "weather", name)
        self._into: Counter[str] = Counter()  # cuts that keep bytes from reaching a place, by its name
        self._from: Counter[str] = Counter()
        self._links: list[tuple[str, str, str, float]] = []  # node, endpoint or *, what, factor

    def leg_us(self, zone: int, other: int) -> int:
        """One way between a node and an endpoint of these zones, drawn anew."""
        figures = self._day.network
        mean = figures.same_us if zone == other else figures.cross_us
        return round(lognormal(self._rng, mean, figures.jitter))

    def client_us(self) -> int:
        """One way between a client and a node, drawn anew."""
        return round(lognormal(self._rng, self._day.network.client_us, self._day.network.jitter))

    def cut(self, target: str, way: str, on: bool) -> None:
        """Zones, endpoints or nodes are cut off, or no longer; way as seen from there."""
        for name in target.split(","):
            if way != "out":
                self._into[name] += 1 if on else -1
            if way != "in":
                self._from[name] += 1 if on else -1

    def link(self, pairs: str, what: str, factor: float, on: bool) -> None:
        """Trouble on links, named `node>endpoint` or `node>*`, begins or ends."""
        for pair in pairs.split(","):
            node, _, endpoint = pair.partition(">")
            entry = (node, endpoint, what, factor)
            (self._links.append if on else self._links.remove)(entry)

    def between(self, node: NodeDay, endpoint: EndpointDay) -> Way:
        """How things stand between these two, as the node calls the endpoint."""
        links = [(w, f) for n, e, w, f in self._links if n == node.name and e in (endpoint.id, "*")]
        silent = any(w == "silent" for w, _ in links)
        return Way(
            self._passes(node.name, node.zone, endpoint.id, endpoint.zone) and not silent,
            self._passes(endpoint.id, endpoint.zone, node.name, node.zone) and not silent,
            round(sum(f for w, f in links if w == "delay")),
            min(sum(f for w, f in links if w == "loss"), 1.0),
            any(w == "refuse" for w, _ in links),
        )

    def client(self, zone: int, node: NodeDay) -> Way:
        """How things stand between clients of a zone and a node."""
        return Way(self._passes("", zone, node.name, node.zone), self._passes(node.name, node.zone, "", zone))

    def _passes(self, start: str, start_zone: int, end: str, end_zone: int) -> bool:
        if self._from[start] or self._into[end]:
            return False
        zones = self._day.zones
        return start_zone == end_zone or not (self._from[zones[start_zone]] or self._into[zones[end_zone]])
