"""Carries out the probes of deciders that use them, bypassing the core, which has no event for a probe's end.

Probes run between a decider and the node's connections and touch no request. A probe's result reaches the
decider before its next event, as in a gateway that probes beside its requests.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from granitewell.balancing.interface import Action, Event, Outcome, Probe, ProbeEnded
from granitewell.core import LoadBalancer

if TYPE_CHECKING:
    from granitewell.lab.simulation.endpoint_host import EndpointHost
    from granitewell.lab.simulation.node import Node


class ProbingDecider:
    """A decider whose Probe actions are carried out."""

    def __init__(self, inner: LoadBalancer) -> None:
        self._inner = inner
        self._probe_results: list[ProbeEnded] = []
        self._node: Node | None = None
        self._endpoint_hosts: Mapping[bytes, EndpointHost] = {}

    def attach(self, node: Node, endpoint_hosts: Mapping[bytes, EndpointHost]) -> None:
        """Send probes from this node from now on."""
        self._node, self._endpoint_hosts = node, endpoint_hosts
        node.on_probe_result = self._on_probe_result

    def _on_probe_result(self, host: bytes, ok: bool, report: tuple[float, ...]) -> None:
        # elapsed time is not measured: no decider here uses it
        self._probe_results.append(ProbeEnded(host, Outcome.OK if ok else Outcome.ERROR, 0.0, report))

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event; returns the decider's actions without its probes, which are sent here."""
        results, self._probe_results = self._probe_results, []
        actions = [a for e in (*results, event) for a in self._inner.handle(now, e)]
        probes = [a for a in actions if isinstance(a, Probe)]
        if not probes:
            return actions
        for probe in probes:
            if self._node is not None and probe.host in self._endpoint_hosts:
                self._node.post(self._node.probe, self._endpoint_hosts[probe.host])
        return [a for a in actions if not isinstance(a, Probe)]
