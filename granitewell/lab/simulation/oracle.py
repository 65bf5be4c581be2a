"""The oracle: a policy that sees the true state of all endpoints, as an upper bound for real policies.

It sends each request to the endpoint with the earliest expected response. It changes nothing that it reads
and knows nothing of the future: no draw of work, noise or fault that lies ahead. The expected time comes from
the model's own estimate (Endpoint.expected_us: queued and running work, conditions, warm-up, a remembered
key) plus the attempts in transit to that endpoint from all nodes, and the network. It keeps the budget of
cold endpoints and sheds requests that cannot finish in time anywhere.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from granitewell.balancing.interface import Settings
from granitewell.lab.simulation.policies import PendingRequest, SimplePolicy

if TYPE_CHECKING:
    from granitewell.lab.simulation.endpoint_host import EndpointHost
    from granitewell.lab.simulation.node_host import NodeHost
    from granitewell.lab.simulation.world import World

BUDGET_RATIO = 0.8  # share of a cold endpoint's budget to use: only the mean work of a request is known
IN_TRANSIT_US = 3000.0  # until a sent attempt shows at its endpoint: about the one-way delay and its wait


class SentWork:
    """The work that all oracles of a day sent recently, shared between them."""

    def __init__(self) -> None:
        self.sent: dict[str, deque[tuple[int, float]]] = {}  # endpoint: (when, mean work)

    def recent(self, name: str, since_us: int) -> deque[tuple[int, float]]:
        """The attempts sent there since then."""
        sent = self.sent.setdefault(name, deque())
        while sent and sent[0][0] < since_us:
            sent.popleft()
        return sent


class Oracle(SimplePolicy):
    """Lowest expected time to the response, from the true state of all endpoints."""

    def __init__(
        self, world: World, node_host: NodeHost, sent_work: SentWork, settings: Settings, seed: int
    ) -> None:
        super().__init__(settings, seed)
        self._world, self._node, self._zone, self._sent_work = (
            world,
            node_host.name,
            node_host.zone,
            sent_work,
        )
        self._legs = (world.day.network.same_us, world.day.network.cross_us)

    def choose(self, pending: PendingRequest) -> bytes | None:
        """The best endpoint that is really up; None if even that would be too late."""
        best, best_us = None, math.inf
        for host in self.alternatives(pending):
            endpoint_host = self._world.endpoint_hosts_by_key[host.id]
            us = self._expected_us(pending, endpoint_host)
            if us < best_us:
                best, best_us = endpoint_host, us
        if best is None or self.now * 1000.0 + best_us > pending.request.due_ms * 1000.0:
            return None
        work = self._world.day.classes[pending.request.class_index].work_us
        self._sent_work.sent.setdefault(best.name, deque()).append((self._world.engine.now_us, work))
        return best.key

    def _expected_us(self, pending: PendingRequest, endpoint_host: EndpointHost) -> float:
        model, request, now = endpoint_host.model, pending.request, self._world.engine.now_us
        if not endpoint_host.up or endpoint_host.draining or endpoint_host.silent:
            return math.inf
        work = self._world.day.classes[request.class_index].work_us
        if not self._has_budget(endpoint_host, work, now):
            return math.inf
        us = model.expected_us(now, request.class_index, request.tenant, request.key, self._node)
        in_transit_work = sum(
            w for at, w in self._sent_work.recent(endpoint_host.name, now - self._world.day.rules.fall_us)
            if now - at < IN_TRANSIT_US
        )  # fmt: skip
        capacity = model.capacity * max(model.warm_share(now), 0.01) * max(model.efficiency, 0.01)
        answered = model.true_condition(request.class_index, request.tenant, request.key, self._node).answered
        # an attempt that may fail costs the time of a retry as well
        return (us + in_transit_work / capacity + 2 * self._legs[endpoint_host.zone != self._zone]) / max(
            answered, 1e-6
        )

    def _has_budget(self, endpoint_host: EndpointHost, work: float, now: int) -> bool:
        model, rules = endpoint_host.model, self._world.day.rules
        warm = model.warm_share(now)
        if warm >= 1.0:
            return True
        sent = sum(w for _, w in self._sent_work.recent(endpoint_host.name, now - rules.fall_us))
        return sent + work <= BUDGET_RATIO * rules.fall_multiple * model.capacity * warm * rules.fall_us
