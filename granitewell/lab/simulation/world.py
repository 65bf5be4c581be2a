"""The world of one day in virtual time: joins the parts of the model and virtual nodes by a virtual network.

It holds the engine and the parts and notifies them of each other: the start or end of a process is reported
here to the front, to discovery and to the witness. It makes no decisions of its own. The day's faults come in
through `fault_injection`.
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
from granitewell.lab.simulation.endpoint_host import EndpointHost, WakeTimer
from granitewell.lab.simulation.fault_injection import FaultInjector
from granitewell.lab.simulation.network import Network
from granitewell.lab.simulation.node import Node
from granitewell.lab.simulation.node_host import EndpointLists, NodeHost
from granitewell.lab.simulation.observation_recorder import ObservationRecorder
from granitewell.lab.witness import Witness

MAX_FAULT_LINES = 20  # log lines kept that nodes write about their own faults

DeciderFactory = Callable[
    ["World", NodeHost, Settings, int], LoadBalancer
]  # world, node host, settings, seed


class World:
    """One day, ready to run with `engine.run`.

    Attributes:
        only: Indices of the faults to inject; None: all.
    """

    def __init__(
        self, day: Day, decider_factory: DeciderFactory, witness: Witness | None = None,
        trace: IO[str] | None = None, only: Sequence[int] | None = None,
    ) -> None:  # fmt: skip
        self.day, self._decider_factory = day, decider_factory
        self.engine = Engine()
        self.observations = ObservationRecorder(self.engine, witness, trace)
        self.net = Network(day)
        self.client_rtt_us = round(2 * day.network.client_us)
        self._number = 0
        self.endpoint_lists = EndpointLists()
        # nodes know only tenants with an allowance and count the others as one
        told = [k for k, x in enumerate(day.tenants) if x.allowance_per_s]
        self.tenants = [told.index(k) if k in told else len(told) for k in range(len(day.tenants))]
        self.notes: Counter[str] = Counter()
        self.fault_lines: deque[str] = deque(maxlen=MAX_FAULT_LINES)
        self.endpoint_hosts: dict[str, EndpointHost] = {}
        self.endpoint_hosts_by_key: dict[bytes, EndpointHost] = {}
        for spec in day.endpoints:
            endpoint_host = EndpointHost(
                self, spec, Endpoint(spec, day, stream(day.seed, "endpoint", spec.id))
            )
            self.endpoint_hosts[endpoint_host.name] = self.endpoint_hosts_by_key[endpoint_host.key] = (
                endpoint_host
            )
        self.node_hosts = {n.name: NodeHost(self, n, k) for k, n in enumerate(day.nodes)}
        self.front = Front(day)
        self.stopping_nodes: list[Node] = []  # asked to stop and still running
        self.client_traffic = ClientTraffic(self, Clients(day, day.seed))
        self.discovery = Discovery(day)
        self._discovery_timer = WakeTimer(self.engine, self.discovery, self._on_discovery_due)
        self.fault_injector = FaultInjector(self, only)

    def begin(self) -> None:
        """Set up the start of the day; everything else follows from scheduled events."""
        for endpoint_host in self.endpoint_hosts.values():
            if endpoint_host.spec.started_us <= 0:
                self.start_endpoint(endpoint_host)
            else:
                self.engine.at(endpoint_host.spec.started_us, self.start_endpoint, endpoint_host)
        for node_host in self.node_hosts.values():
            node_host.start(already_listening=True)
        self.fault_injector.schedule()
        self.client_traffic.tick()

    def next_connection_id(self) -> int:
        """A connection id that is unique in the day."""
        self._number += 1
        return self._number

    @property
    def unfinished(self) -> int:
        """Client attempts that have not ended, and upstream attempts that endpoints have not finished."""
        return self.client_traffic.unfinished + sum(
            s.attempts_in_progress for s in self.endpoint_hosts.values()
        )

    def decider(self, node_host: NodeHost, settings: Settings, seed: int) -> LoadBalancer:
        """The decider of a node's new process."""
        return self._decider_factory(self, node_host, settings, seed)

    def process(self, name: str) -> Node | None:
        """The listening process of a node, if any."""
        node = self.node_hosts[name].process
        return node if node is not None and node.listening else None

    def note(self, node: str, topic: str, line: str) -> None:
        """Count a node's log line; those about its own faults are kept for the report."""
        self.notes[topic] += 1
        if topic == "fault":
            self.fault_lines.append(f"{self.engine.now_us / 1e6:.3f} {node}: {line}")

    # --- Nodes ------------------------------------------------------------------------------------------
    def node_up(self, node_host: NodeHost) -> None:
        """A process of the node has started."""
        self.observations.node_up(self.engine.now_us, node_host.name, node_host.zone)
        self.front.node_up(self.engine.now_us, node_host.name, node_host.zone)

    def node_ready(self, node: Node) -> None:
        """The node's ready path returned 200."""
        self.observations.node_ready(self.engine.now_us, node.name)
        self.front.node_ready(self.engine.now_us, node.name)

    def node_ends(self, node: Node, planned: bool, code: int) -> None:
        """The node's process ended."""
        self.node_hosts[node.name].process = None
        self.stopping_nodes = [x for x in self.stopping_nodes if x is not node]
        node.end()
        self.client_traffic.on_node_ended(node)
        self.observations.node_down(self.engine.now_us, node.name, planned, code)
        self.front.node_down(self.engine.now_us, node.name)

    def node_stopping(self, node: Node) -> None:
        """SIGTERM was sent to the node, and the front is notified."""
        self.stopping_nodes.append(node)
        self.observations.node_stopping(self.engine.now_us, node.name)
        self.front.node_stopping(self.engine.now_us, node.name)

    # --- Endpoints --------------------------------------------------------------------------------------
    def start_endpoint(self, endpoint_host: EndpointHost) -> None:
        """Start the process on that machine, unless it runs or ended from overload."""
        if endpoint_host.up or endpoint_host.model.fallen:
            return
        now, kind = self.engine.now_us, self.day.kinds[endpoint_host.spec.kind]
        endpoint_host.started_us = now
        cold_us = kind.cold_us if now > 0 else 0
        self.observations.endpoint_up(
            now, endpoint_host.name, endpoint_host.inc + 1, endpoint_host.zone,
            kind.cores * endpoint_host.spec.speed, kind.cold_from, cold_us,
        )  # fmt: skip
        endpoint_host.start()
        if now > 0:
            self.announce(endpoint_host, "ready")

    def drain_endpoint(self, endpoint_host: EndpointHost) -> None:
        """Announce that the endpoint will leave; its process still accepts requests."""
        if endpoint_host.up and not endpoint_host.draining:
            endpoint_host.draining = True
            self.announce(endpoint_host, "draining")

    def close_endpoint(self, endpoint_host: EndpointHost) -> None:
        """End the drain period.

        The endpoint rejects new requests, and ends after the longest deadline.
        """
        if endpoint_host.up:
            endpoint_host.handle(t.Ordered(t.Order.DRAIN))
            longest = max(c.deadline_us for c in self.day.classes)
            self.engine.at(self.engine.now_us + longest, self._closed, endpoint_host, endpoint_host.inc)

    def _closed(self, endpoint_host: EndpointHost, inc: int) -> None:
        if endpoint_host.inc == inc:
            self.end_endpoint(endpoint_host, t.Order.STOP)

    def end_endpoint(self, endpoint_host: EndpointHost, order: t.Order) -> None:
        """End the process by STOP or VANISH."""
        if endpoint_host.up:
            vanishes = order is t.Order.VANISH
            self.observations.endpoint_down(
                self.engine.now_us, endpoint_host.name, "cut" if vanishes else "stopped"
            )
            endpoint_host.end(order)
            self.announce(endpoint_host, "vanished" if vanishes else "gone")

    def endpoint_fell(self, endpoint_host: EndpointHost) -> None:
        """The endpoint ended from overload while cold."""
        self.observations.endpoint_down(self.engine.now_us, endpoint_host.name, "fell")
        self.announce(endpoint_host, "gone")

    # --- Discovery --------------------------------------------------------------------------------------
    def announce(self, endpoint_host: EndpointHost, how: str) -> None:
        """Report an endpoint's change to discovery."""
        spec = endpoint_host.spec
        state = how if how in ("ready", "draining") else "gone"
        line = t.Line(spec.id, spec.zone, spec.kind, spec.cell, state, endpoint_host.started_us)
        self.discover(t.Changed(line, how))

    def discover(self, event: t.DiscoveryEvent) -> None:
        """Pass an event to discovery and deliver its updates to the nodes."""
        for tell in self.discovery.handle(self.engine.now_us, event):
            self.node_hosts[tell.node].deliver(tell)
        self._discovery_timer.update()

    def _on_discovery_due(self) -> None:
        self.discover(t.Tick())

    def move_discovery(self) -> None:
        """Move discovery to another address, which a node learns by a reload or a restart."""
        for node_host in self.node_hosts.values():
            node_host.lose_discovery()
        self.discovery.moved(self.engine.now_us)
        self.discover(t.Tick())
