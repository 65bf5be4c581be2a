"""Probes for deciders that want them: the core has no event for a probe's end, so they go round it.

It owns the way of probes between a decider and the node's connections. It must never touch a request. What a
probe brings reaches the decider ahead of its next event, as in a gateway that probes beside its requests.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from granitewell.balancing.interface import Action, Event, Outcome, Probe, ProbeEnded
from granitewell.core import LoadBalancer

if TYPE_CHECKING:
    from granitewell.lab.simulation.node import Node
    from granitewell.lab.simulation.site import Site


class Probing:
    """A decider whose Probe actions are carried out."""

    def __init__(self, inner: LoadBalancer) -> None:
        self._inner = inner
        self._heard: list[ProbeEnded] = []
        self._node: Node | None = None
        self._sites: Mapping[bytes, Site] = {}

    def join(self, node: Node, sites: Mapping[bytes, Site]) -> None:
        """From now on probes go out from this node."""
        self._node, self._sites = node, sites
        node.hear = self._hear

    def _hear(self, host: bytes, ok: bool, report: tuple[float, ...]) -> None:
        # elapsed time is not measured: no decider here asks for it
        self._heard.append(ProbeEnded(host, Outcome.OK if ok else Outcome.ERROR, 0.0, report))

    def handle(self, now: float, event: Event) -> list[Action]:
        """What the decider wants done, less its probes."""
        heard, self._heard = self._heard, []
        actions = [a for e in (*heard, event) for a in self._inner.handle(now, e)]
        probes = [a for a in actions if isinstance(a, Probe)]
        if not probes:
            return actions
        for probe in probes:
            if self._node is not None and probe.host in self._sites:
                self._node.post(self._node.probe, self._sites[probe.host])
        return [a for a in actions if not isinstance(a, Probe)]
