"""The virtual network: how long a message takes from one machine to another, and which never arrive.

It owns delays, cuts and the troubles of single links. It must never hold a connection's state: what is lost
on a connection is for the connection's owner to remember. Delays are one way, in microseconds; -1: lost. A
cut says nothing to anybody: connections stay open and silent.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from granitewell.lab.day import Day
from granitewell.lab.engine import lognormal, stream

FACTORS = 4096  # jitters drawn ahead and used in turn


class Place(Protocol):
    """A machine."""

    @property
    def name(self) -> str:
        """Its node's or endpoint's name."""

    @property
    def zone(self) -> int:
        """The zone it stands in."""


class Network:
    """Delays between clients, nodes and endpoints, with the day's troubles."""

    def __init__(self, day: Day) -> None:
        rng, figures = stream(day.seed, "network"), day.network
        jitter = [lognormal(rng, 1.0, figures.jitter) for _ in range(FACTORS)]
        self._same = [round(figures.same_us * f) for f in jitter]
        self._cross = [round(figures.cross_us * f) for f in jitter]
        self._client = [round(figures.client_us * f) for f in jitter]
        self._turn = 0
        self._losses = stream(day.seed, "network", "losses")
        self._into: Counter[str] = Counter()  # cuts that keep messages from coming in, by place
        self._from: Counter[str] = Counter()  # the same for those that go out
        self._zone_into: Counter[int] = Counter()
        self._zone_from: Counter[int] = Counter()
        self._links: dict[str, list[tuple[str, str, float]]] = {}  # node: (endpoint or *, what, factor)
        self._ill = False

    # --- Delays -----------------------------------------------------------------------------------------
    def leg(self, start: Place, end: Place) -> int:
        """One way between a node and an endpoint, either way round."""
        self._turn = k = (self._turn + 1) % FACTORS
        us = (self._same if start.zone == end.zone else self._cross)[k]
        return self._troubled(start, end, us, 1.0) if self._ill else us

    def dial(self, node: Place, endpoint: Place, rtts: float) -> int:
        """From the first byte of a handshake of so many round trips to the far side's last word but one.

        The time at which the endpoint has the connection. Its answer takes one leg more.
        """
        self._turn = k = (self._turn + 1) % FACTORS
        legs = max(2.0 * rtts - 1.0, 1.0)
        us = round((self._same if node.zone == endpoint.zone else self._cross)[k] * legs)
        return self._troubled(node, endpoint, us, legs) if self._ill else us

    def client(self, zone: int, node: Place, inward: bool) -> int:
        """One way between a client of a zone and a node."""
        self._turn = k = (self._turn + 1) % FACTORS
        if self._ill and not self._client_passes(zone, node, inward):
            return -1
        return self._client[k]

    def refuses(self, node: Place, endpoint: Place) -> bool:
        """Whether the link turns new connections away."""
        return self._ill and any(what == "refuse" for what, _ in self._on(node, endpoint))

    def breaks(self, node: Place, endpoint: Place) -> bool:
        """Whether the exchange that begins now ends in a reset in place of its answer."""
        if not self._ill:
            return False
        shares = [share for what, share in self._on(node, endpoint) if what == "loss"]
        return any(self._losses.random() < share for share in shares)

    # --- Troubles ---------------------------------------------------------------------------------------
    def cut(self, name: str, way: str, on: bool) -> None:
        """A machine is cut off, or no longer; way: both, in or out, as seen from it."""
        self._shift(self._into, self._from, name, way, on)

    def cut_zone(self, zone: int, way: str, on: bool) -> None:
        """The same for a zone; what stays inside it passes."""
        self._shift(self._zone_into, self._zone_from, zone, way, on)

    def link(self, node: str, endpoint: str, what: str, factor: float, on: bool) -> None:
        """Trouble on the link of a node to an endpoint (`*`.

        To all): `delay` by so many us each way, `loss` of a part of the exchanges, `silent`, or `refuse`.
        """
        links = self._links.setdefault(node, [])
        if on:
            links.append((endpoint, what, factor))
        else:
            links.remove((endpoint, what, factor))
        self._look()

    def _shift(self, into: Counter[str] | Counter[int], out: Counter[str] | Counter[int], key: str | int,
               way: str, on: bool) -> None:  # fmt: skip
        step = 1 if on else -1
        if way != "out":
            into[key] += step  # type: ignore[index]
        if way != "in":
            out[key] += step  # type: ignore[index]
        self._look()

    def _look(self) -> None:
        counts = (self._into, self._from, self._zone_into, self._zone_from)
        self._ill = any(any(c.values()) for c in counts) or any(self._links.values())

    def _on(self, node: Place, endpoint: Place) -> list[tuple[str, float]]:
        """What is wrong with the link, with its figure."""
        links = self._links.get(node.name, ())
        return [(what, factor) for name, what, factor in links if name in (endpoint.name, "*")]

    def _troubled(self, start: Place, end: Place, us: int, legs: float) -> int:
        if self._from[start.name] or self._into[end.name]:
            return -1
        if start.zone != end.zone and (self._zone_from[start.zone] or self._zone_into[end.zone]):
            return -1
        for what, factor in self._on(start, end) + self._on(end, start):
            if what == "silent":
                return -1
            if what == "delay":
                us += round(factor * legs)
        return us

    def _client_passes(self, zone: int, node: Place, inward: bool) -> bool:
        if (self._into if inward else self._from)[node.name]:
            return False
        if zone == node.zone:
            return True
        start, end = (zone, node.zone) if inward else (node.zone, zone)
        return not (self._zone_from[start] or self._zone_into[end])
