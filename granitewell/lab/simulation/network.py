"""The virtual network: how long a message takes between two machines, and which messages are lost.

It holds delays, partitions and faults of single links. Delays are one way, in microseconds; -1: lost. Whoever
holds a connection remembers what was lost on it. A partition notifies nobody: connections stay open and
silent.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from granitewell.lab.day import Day
from granitewell.lab.engine import lognormal, stream

JITTER_SAMPLES = 4096  # jitter factors drawn ahead and used in rotation


class Machine(Protocol):
    """A machine on the network."""

    @property
    def name(self) -> str:
        """Its node's or endpoint's name."""

    @property
    def zone(self) -> int:
        """Its zone."""


class Network:
    """Delays between clients, nodes and endpoints, including the day's network faults."""

    def __init__(self, day: Day) -> None:
        rng, figures = stream(day.seed, "network"), day.network
        jitter = [lognormal(rng, 1.0, figures.jitter) for _ in range(JITTER_SAMPLES)]
        self._same = [round(figures.same_us * f) for f in jitter]
        self._cross = [round(figures.cross_us * f) for f in jitter]
        self._client = [round(figures.client_us * f) for f in jitter]
        self._jitter_index = 0
        self._losses = stream(day.seed, "network", "losses")
        self._cut_inbound: Counter[str] = Counter()  # active cuts of incoming messages, by machine
        self._cut_outbound: Counter[str] = Counter()  # active cuts of outgoing messages, by machine
        self._zone_cut_inbound: Counter[int] = Counter()
        self._zone_cut_outbound: Counter[int] = Counter()
        self._links: dict[str, list[tuple[str, str, float]]] = {}  # node: (endpoint or *, what, factor)
        self._has_faults = False

    # --- Delays -----------------------------------------------------------------------------------------
    def one_way_us(self, start: Machine, end: Machine) -> int:
        """One-way delay between a node and an endpoint, in either direction."""
        self._jitter_index = k = (self._jitter_index + 1) % JITTER_SAMPLES
        us = (self._same if start.zone == end.zone else self._cross)[k]
        return self._delay_with_faults(start, end, us, 1.0) if self._has_faults else us

    def dial(self, node: Machine, endpoint: Machine, rtts: float) -> int:
        """Delay of a handshake of `rtts` round trips until the endpoint has the connection.

        The endpoint's answer takes one more one-way delay.
        """
        self._jitter_index = k = (self._jitter_index + 1) % JITTER_SAMPLES
        legs = max(2.0 * rtts - 1.0, 1.0)
        us = round((self._same if node.zone == endpoint.zone else self._cross)[k] * legs)
        return self._delay_with_faults(node, endpoint, us, legs) if self._has_faults else us

    def client(self, zone: int, node: Machine, inward: bool) -> int:
        """One-way delay between a client of a zone and a node."""
        self._jitter_index = k = (self._jitter_index + 1) % JITTER_SAMPLES
        if self._has_faults and not self._client_passes(zone, node, inward):
            return -1
        return self._client[k]

    def refuses(self, node: Machine, endpoint: Machine) -> bool:
        """Whether the link refuses new connections."""
        return self._has_faults and any(what == "refuse" for what, _ in self._link_faults(node, endpoint))

    def resets_reply(self, node: Machine, endpoint: Machine) -> bool:
        """Whether the exchange that begins now ends in a reset instead of a reply."""
        if not self._has_faults:
            return False
        shares = [share for what, share in self._link_faults(node, endpoint) if what == "loss"]
        return any(self._losses.random() < share for share in shares)

    # --- Faults -----------------------------------------------------------------------------------------
    def cut(self, name: str, way: str, on: bool) -> None:
        """Begin or end cutting off a machine; way: both, in or out, as seen from it."""
        self._count_cut(self._cut_inbound, self._cut_outbound, name, way, on)

    def cut_zone(self, zone: int, way: str, on: bool) -> None:
        """Begin or end cutting off a zone; traffic inside it passes."""
        self._count_cut(self._zone_cut_inbound, self._zone_cut_outbound, zone, way, on)

    def link(self, node: str, endpoint: str, what: str, factor: float, on: bool) -> None:
        """Begin or end a fault of the link from a node to an endpoint (`*`: to all).

        `what` is `delay` (by `factor` us each way), `loss` (of this share of the exchanges), `silent` or
        `refuse`.
        """
        links = self._links.setdefault(node, [])
        if on:
            links.append((endpoint, what, factor))
        else:
            links.remove((endpoint, what, factor))
        self._update_has_faults()

    def _count_cut(self, into: Counter[str] | Counter[int], out: Counter[str] | Counter[int], key: str | int,
               way: str, on: bool) -> None:  # fmt: skip
        step = 1 if on else -1
        if way != "out":
            into[key] += step  # type: ignore[index]
        if way != "in":
            out[key] += step  # type: ignore[index]
        self._update_has_faults()

    def _update_has_faults(self) -> None:
        counts = (self._cut_inbound, self._cut_outbound, self._zone_cut_inbound, self._zone_cut_outbound)
        self._has_faults = any(any(c.values()) for c in counts) or any(self._links.values())

    def _link_faults(self, node: Machine, endpoint: Machine) -> list[tuple[str, float]]:
        """The active faults of the link, each with its factor."""
        links = self._links.get(node.name, ())
        return [(what, factor) for name, what, factor in links if name in (endpoint.name, "*")]

    def _delay_with_faults(self, start: Machine, end: Machine, us: int, legs: float) -> int:
        if self._cut_outbound[start.name] or self._cut_inbound[end.name]:
            return -1
        if start.zone != end.zone and (
            self._zone_cut_outbound[start.zone] or self._zone_cut_inbound[end.zone]
        ):
            return -1
        for what, factor in self._link_faults(start, end) + self._link_faults(end, start):
            if what == "silent":
                return -1
            if what == "delay":
                us += round(factor * legs)
        return us

    def _client_passes(self, zone: int, node: Machine, inward: bool) -> bool:
        if (self._cut_inbound if inward else self._cut_outbound)[node.name]:
            return False
        if zone == node.zone:
            return True
        start, end = (zone, node.zone) if inward else (node.zone, zone)
        return not (self._zone_cut_outbound[start] or self._zone_cut_inbound[end])
