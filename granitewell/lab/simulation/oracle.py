"""The oracle: a policy that sees the true state of all endpoints, as a mark that no real one can reach.

It owns its estimate of where a request would be done first. It must never change what it looks at, nor know
what will come: no draw of work, noise or fault that lies ahead. It takes the answer's expected time from the
model's own estimate (Endpoint.expected_us: what waits and runs there, conditions, warmth, a remembered key)
and adds what is under way to that endpoint from all nodes, and the network. It keeps the cold endpoints'
budget and sheds what cannot be in time anywhere.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from granitewell.balancing.interface import Settings
from granitewell.lab.simulation.policies import Held, Plain

if TYPE_CHECKING:
    from granitewell.lab.simulation.node_host import NodeHost
    from granitewell.lab.simulation.site import Site
    from granitewell.lab.simulation.world import World

BUDGET = 0.8  # of a cold endpoint's budget that is spent: a request's work is only known in the mean
UNDER_WAY_US = 3000.0  # for which a sent attempt is not yet seen at its endpoint: about a leg and its wait


class Ledger:
    """What all oracles of a day have sent of late: they share it, as they share the sight of the world."""

    def __init__(self) -> None:
        self.sent: dict[str, deque[tuple[int, float]]] = {}  # endpoint: (when, mean work)

    def of(self, name: str, since_us: int) -> deque[tuple[int, float]]:
        """The attempts sent there since then."""
        sent = self.sent.setdefault(name, deque())
        while sent and sent[0][0] < since_us:
            sent.popleft()
        return sent


class Oracle(Plain):
    """Least expected time to the answer, over all endpoints as they truly are."""

    def __init__(
        self, world: World, node_host: NodeHost, ledger: Ledger, settings: Settings, seed: int
    ) -> None:
        super().__init__(settings, seed)
        self._world, self._node, self._zone, self._ledger = world, node_host.name, node_host.zone, ledger
        self._legs = (world.day.network.same_us, world.day.network.cross_us)

    def choose(self, held: Held) -> bytes | None:
        """The best of those that are really there; None where even that would be too late."""
        best, best_us = None, math.inf
        for host in self.others(held):
            site = self._world.sites_by_key[host.id]
            us = self._expected_us(held, site)
            if us < best_us:
                best, best_us = site, us
        if best is None or self.now * 1000.0 + best_us > held.request.due_ms * 1000.0:
            return None
        work = self._world.day.classes[held.request.class_index].work_us
        self._ledger.sent.setdefault(best.name, deque()).append((self._world.engine.now_us, work))
        return best.key

    def _expected_us(self, held: Held, site: Site) -> float:
        model, request, now = site.model, held.request, self._world.engine.now_us
        if not site.up or site.drains or site.silent:
            return math.inf
        work = self._world.day.classes[request.class_index].work_us
        if not self._has_budget(site, work, now):
            return math.inf
        us = model.expected_us(now, request.class_index, request.tenant, request.key, self._node)
        coming = sum(w for at, w in self._ledger.of(site.name, now - self._world.day.rules.fall_us)
                     if now - at < UNDER_WAY_US)  # fmt: skip
        capacity = model.capacity * max(model.warm_share(now), 0.01) * max(model.efficiency, 0.01)
        answered = model.true_condition(request.class_index, request.tenant, request.key, self._node).answered
        # an attempt that fails with some chance costs the time of the next one as well
        return (us + coming / capacity + 2 * self._legs[site.zone != self._zone]) / max(answered, 1e-6)

    def _has_budget(self, site: Site, work: float, now: int) -> bool:
        model, rules = site.model, self._world.day.rules
        warm = model.warm_share(now)
        if warm >= 1.0:
            return True
        sent = sum(w for _, w in self._ledger.of(site.name, now - rules.fall_us))
        return sent + work <= BUDGET * rules.fall_multiple * model.capacity * warm * rules.fall_us
