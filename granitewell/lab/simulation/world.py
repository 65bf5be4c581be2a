"""The world of one day in virtual time: all parts of the model joined to virtual nodes by a virtual network.

It owns the engine, the parts, and who hears of what: a process that starts or ends is told to the front, to
discovery and to the witness here. It must never decide anything itself, nor know how a part does its work.
The day's faults come in through `troubles`.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import IO

from granitewell.balancing.interface import Settings
from granitewell.core import LoadBalancer
from granitewell.lab.day import Day
from granitewell.lab.emulator import types as t
from granitewell.lab.emulator.clients import Clients
from granitewell.lab.emulator.discovery import Discovery
from granitewell.lab.emulator.endpoint import Endpoint
from granitewell.lab.emulator.front import Front
from granitewell.lab.engine import Engine, stream
from granitewell.lab.simulation.client_traffic import ClientTraffic
from granitewell.lab.simulation.net import Network
from granitewell.lab.simulation.node import Node
from granitewell.lab.simulation.node_host import Members, NodeHost
from granitewell.lab.simulation.observations import Seen
from granitewell.lab.simulation.site import Alarm, Site
from granitewell.lab.simulation.troubles import Troubles
from granitewell.lab.witness import Witness

MAX_NOTES = 20  # kept of the lines that nodes write of their own faults

Maker = Callable[["World", NodeHost, Settings, int], LoadBalancer]  # world, seat, settings, seed


class World:
    """One day, ready to be run: `engine.run` makes it pass.

    Attributes:
        only: The faults that befall, by index.
    """

    def __init__(self, day: Day, maker: Maker, witness: Witness | None = None, trace: IO[str] | None = None,
                 only: Sequence[int] | None = None) -> None:  # fmt: skip
        self.day, self._maker = day, maker
        self.engine = Engine()
        self.seen = Seen(self.engine, witness, trace)
        self.net = Network(day)
        self.client_rtt_us = round(2 * day.network.client_us)
        self._number = 0
        self.members = Members()
        # nodes are told only of tenants with an allowance, and count the others as one
        told = [k for k, x in enumerate(day.tenants) if x.allowance_per_s]
        self.tenants = [told.index(k) if k in told else len(told) for k in range(len(day.tenants))]
        self.notes: Counter[str] = Counter()
        self.faults_noted: deque[str] = deque(maxlen=MAX_NOTES)
        self.sites: dict[str, Site] = {}
        self.sites_by_key: dict[bytes, Site] = {}
        for spec in day.endpoints:
            site = Site(self, spec, Endpoint(spec, day, stream(day.seed, "endpoint", spec.id)))
            self.sites[site.name] = self.sites_by_key[site.key] = site
        self.node_hosts = {n.name: NodeHost(self, n, k) for k, n in enumerate(day.nodes)}
        self.front = Front(day)
        self.leaving: list[Node] = []  # asked to stop, and still there
        self.client_traffic = ClientTraffic(self, Clients(day, day.seed))
        self.discovery = Discovery(day)
        self._telling = Alarm(self.engine, self.discovery, self._tell_due)
        self.troubles = Troubles(self, only)

    def begin(self) -> None:
        """What holds at the day's first moment; everything else follows from the agenda."""
        for site in self.sites.values():
            if site.spec.started_us <= 0:
                self.start_endpoint(site)
            else:
                self.engine.at(site.spec.started_us, self.start_endpoint, site)
        for node_host in self.node_hosts.values():
            node_host.start(at_once=True)
        self.troubles.plan()
        self.client_traffic.tick()

    def number(self) -> int:
        """A number for a connection, unique in the day."""
        self._number += 1
        return self._number

    @property
    def owed(self) -> int:
        """Tries that have not ended, and attempts that an endpoint has not done with."""
        return self.client_traffic.owed + sum(s.held for s in self.sites.values())

    def decider(self, node_host: NodeHost, settings: Settings, seed: int) -> LoadBalancer:
        """The decisions of a node's new process."""
        return self._maker(self, node_host, settings, seed)

    def process(self, name: str) -> Node | None:
        """The process that listens at a node."""
        node = self.node_hosts[name].process
        return node if node is not None and node.listening else None

    def note(self, node: str, topic: str, line: str) -> None:
        """A node's log line: counted; those of its own faults are kept for the report."""
        self.notes[topic] += 1
        if topic == "fault":
            self.faults_noted.append(f"{self.engine.now_us / 1e6:.3f} {node}: {line}")

    # --- Nodes ------------------------------------------------------------------------------------------
    def node_up(self, node_host: NodeHost) -> None:
        """A process has started there."""
        self.seen.node_up(self.engine.now_us, node_host.name, node_host.zone)
        self.front.node_up(self.engine.now_us, node_host.name, node_host.zone)

    def node_ready(self, node: Node) -> None:
        """Its ready path says 200."""
        self.seen.node_ready(self.engine.now_us, node.name)
        self.front.node_ready(self.engine.now_us, node.name)

    def node_ends(self, node: Node, planned: bool, code: int) -> None:
        """Its process is gone."""
        self.node_hosts[node.name].process = None
        self.leaving = [x for x in self.leaving if x is not node]
        node.end()
        self.client_traffic.ends(node)
        self.seen.node_down(self.engine.now_us, node.name, planned, code)
        self.front.node_down(self.engine.now_us, node.name)

    def node_stopping(self, node: Node) -> None:
        """It is sent SIGTERM, which the front knows of."""
        self.leaving.append(node)
        self.seen.node_stopping(self.engine.now_us, node.name)
        self.front.node_stopping(self.engine.now_us, node.name)

    # --- Endpoints --------------------------------------------------------------------------------------
    def start_endpoint(self, site: Site) -> None:
        """A process starts on that machine; one that is there already stays, one that fell stays down."""
        if site.up or site.model.fallen:
            return
        now, kind = self.engine.now_us, self.day.kinds[site.spec.kind]
        site.started_us = now
        cold_us = kind.cold_us if now > 0 else 0
        self.seen.endpoint_up(now, site.name, site.inc + 1, site.zone, kind.cores * site.spec.speed,
                              kind.cold_from, cold_us)  # fmt: skip
        site.start()
        if now > 0:
            self.tell(site, "ready")

    def drain_endpoint(self, site: Site) -> None:
        """It is about to leave, which is announced; its process still takes what comes."""
        if site.up and not site.drains:
            site.drains = True
            self.tell(site, "draining")

    def close_endpoint(self, site: Site) -> None:
        """The time of its drain is over.

        It turns away what comes, and ends when all that it holds has had its time.
        """
        if site.up:
            site.hand(t.Ordered(t.Order.DRAIN))
            longest = max(c.deadline_us for c in self.day.classes)
            self.engine.at(self.engine.now_us + longest, self._closed, site, site.inc)

    def _closed(self, site: Site, inc: int) -> None:
        if site.inc == inc:
            self.end_endpoint(site, t.Order.STOP)

    def end_endpoint(self, site: Site, order: t.Order) -> None:
        """Its process is gone: STOP, or VANISH."""
        if site.up:
            vanishes = order is t.Order.VANISH
            self.seen.endpoint_down(self.engine.now_us, site.name, "cut" if vanishes else "stopped")
            site.end(order)
            self.tell(site, "vanished" if vanishes else "gone")

    def endpoint_fell(self, site: Site) -> None:
        """It was pushed over while cold."""
        self.seen.endpoint_down(self.engine.now_us, site.name, "fell")
        self.tell(site, "gone")

    # --- Discovery --------------------------------------------------------------------------------------
    def tell(self, site: Site, how: str) -> None:
        """Discovery is told of an endpoint."""
        spec = site.spec
        state = how if how in ("ready", "draining") else "gone"
        line = t.Line(spec.id, spec.zone, spec.kind, spec.cell, state, site.started_us)
        self.discover(t.Changed(line, how))

    def discover(self, event: t.DiscoveryEvent) -> None:
        """Hand discovery an event and its nodes what it tells."""
        for tell in self.discovery.handle(self.engine.now_us, event):
            self.node_hosts[tell.node].take(tell)
        self._telling.look()

    def _tell_due(self) -> None:
        self.discover(t.Tick())

    def move_discovery(self) -> None:
        """It has another address, which a node learns by a reload or a new start."""
        for node_host in self.node_hosts.values():
            node_host.deafen()
        self.discovery.moved(self.engine.now_us)
        self.discover(t.Tick())
