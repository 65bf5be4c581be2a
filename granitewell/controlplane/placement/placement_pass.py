"""Selection of servers and of evictions within one plan. No I/O.

A candidate server is rated by a cost in seconds: the expected wait until it can serve, and the waiting that
its evictions and its other work cause.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from granitewell.controlplane.placement.fleet import FleetView
from granitewell.controlplane.placement.limits import MEMORY_SLACK_MB, ModelSizes
from granitewell.controlplane.placement.orders import Operation, Order
from granitewell.controlplane.placement.values import CopyValues
from granitewell.controlplane.placement.views import ServerView, StoreView
from granitewell.domain.configuration import Model
from granitewell.domain.servers import ModelRef

# Costs of a candidate
UNLOAD_COST_S = 0.2  # of an unload, until a report shows it
BUSY_UNLOAD_COST_S = 1.5  # of an unload that waits for requests in flight to end
VALUE_COST_S = 10.0  # of an evicted value of one miss per second
STORE_LOAD_COST_S = 0.3  # of a load from the store beyond its load time: waiting for the rate and other loads
BUSY_SERVER_COST_S = 0.1  # per request per second that the server already serves for busy models
SAME_ZONE_COST_S = 0.3  # of a zone that has a copy already
ADAPTER_HOST_COST_S = 0.15  # of a server with active adapters: a load delays orders for adapters

# A load of a model takes seconds. Meanwhile the server accepts no order for an adapter, which takes some ms.
MIN_MISSES_PER_LOAD = 1.0  # expected misses of adapters during a load, from which free servers are kept
MIN_FREE_HOSTS_FRACTION = 0.5  # of a model's servers that are kept free for orders

MAX_EVICTIONS = 4  # concurrent unloads that free capacity, and servers reserved for a load that has to wait


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A server for a load, the models that must be evicted first, and the cost in seconds."""

    server: ServerView
    victims: tuple[ModelRef, ...]
    cost: float


class PlacementPass:
    """Collects the orders of one plan, at most one per server."""

    def __init__(
        self,
        fleet: FleetView,
        values: CopyValues,
        sizes: ModelSizes,
        store: StoreView,
    ) -> None:
        self.orders: list[Order] = []
        self._fleet = fleet
        self._values = values
        self._sizes = sizes
        servers = fleet.servers
        self.free = {server.id: server for server in servers if server.orderable}
        self._tokens = store.tokens
        self._warm = store.warm
        self._loading = sum(1 for s in servers if s.loading is not None and not s.loading.adapter)
        self.purposes = Counter(s.purpose for s in servers if s.purpose is not None)
        # Servers that this plan orders to load a model, or to free capacity for one.
        self.allocated: set[str] = set()
        self._reserved: set[str] = set()  # servers kept for a load that waits for the store's rate

    def has_free_servers(self) -> bool:
        """Whether an order may still be sent to any server."""
        return bool(self.free)

    def loads_in_progress(self) -> int:
        """Return the number of loads of models, and of unloads that free capacity, in progress."""
        return self._loading + self.purposes.total()

    # A model

    def place_model(self, name: str, max_value: float, max_loads: int) -> bool:
        """Order the load of a model, or the unload that it needs first.

        Returns False if neither is possible now.
        """
        ref = ModelRef(name)
        candidate = self._best_candidate(name, max_value, max_loads)
        if candidate is None:
            return False
        if candidate.victims:
            self.order(candidate.server, Operation.UNLOAD, candidate.victims[0], purpose=ref)
            self.purposes[ref] += 1
            return True
        self._order_load(candidate.server, name)
        return True

    def _may_evict(self) -> bool:
        return self.purposes.total() + len(self._reserved) < MAX_EVICTIONS

    def _order_load(self, server: ServerView, name: str) -> None:
        from_store = name not in server.loaded_before
        self._loading += 1
        self._tokens -= 1 if from_store else 0
        self.order(server, Operation.LOAD, ModelRef(name), from_store=from_store)

    def _best_candidate(self, name: str, max_value: float, max_loads: int) -> _Candidate | None:
        best: _Candidate | None = None
        rate_limited: _Candidate | None = None
        may_evict = self._may_evict()
        for server in self.free.values():
            if name in server.loaded or server.id in self._reserved:
                continue
            if not may_evict and server.free_mb < self._fleet.models[name].weights_mb + MEMORY_SLACK_MB:
                continue
            if self._is_reserved_for_another(server, name):
                continue
            candidate = self._candidate_on(server, name, max_value)
            if candidate is None:
                continue
            if candidate.victims or self._may_load(server, name, max_loads):
                best = _cheaper(best, candidate)
            else:
                rate_limited = _cheaper(rate_limited, candidate)
        if rate_limited is None or (best is not None and not best.victims):
            return best
        # The server has capacity, so nothing is evicted elsewhere while the load waits for the store's rate.
        self._reserved.add(rate_limited.server.id)
        return None

    def _is_reserved_for_another(self, server: ServerView, name: str) -> bool:
        kept_for = server.reserved_for
        if kept_for is None or kept_for.model == name:
            return False
        if kept_for.adapter:
            return not self._fleet.adapter_copies(kept_for)
        return self._fleet.copies_of(kept_for.model).count < max(
            1, self._fleet.desired.get(kept_for.model, 0)
        )

    def _may_load(self, server: ServerView, name: str, max_loads: int) -> bool:
        if self._loading >= max_loads:
            return False
        return self._tokens >= 1 or name in server.loaded_before

    def _candidate_on(self, server: ServerView, name: str, max_value: float) -> _Candidate | None:
        model = self._fleet.models[name]
        if self._delays_adapters(server, model):
            return None
        if server.free_mb == -math.inf:
            return self._candidate_replacing_unknown(server, model)
        if model.weights_mb > self._values.reclaimable_mb(server, max_value):
            return None
        need = model.weights_mb + MEMORY_SLACK_MB - server.free_mb
        victims: tuple[ModelRef, ...] = ()
        evicted_value = 0.0
        if need > 0:
            chosen = self._values.victims(server, need, max_value)
            if chosen is None:
                return None
            victims, evicted_value = chosen
        cost = self._load_duration_s(server, model) + VALUE_COST_S * evicted_value
        for victim in victims:
            cost += BUSY_UNLOAD_COST_S if self._fleet.in_flight(victim.model) else UNLOAD_COST_S
        return _Candidate(server, victims, cost + self._server_cost(server, model))

    def _delays_adapters(self, server: ServerView, model: Model) -> bool:
        """Return whether a load would leave too few servers free for orders of adapters in demand."""
        load_s = self._load_duration_s(server, model)
        for name in server.loaded:
            misses = self._fleet.demand.adapter_misses.get(name, 0.0)
            if name == model.name or misses * load_s < MIN_MISSES_PER_LOAD:
                continue
            hosts = [host for host in self._fleet.copies_of(name).servers if host.has(ModelRef(name))]
            free = sum(1 for host in hosts if host.id in self.free)
            if free - 1 < MIN_FREE_HOSTS_FRACTION * len(hosts):
                return True
        return False

    def _candidate_replacing_unknown(self, server: ServerView, model: Model) -> _Candidate | None:
        """Return a candidate that first evicts a model of unknown size, which counts as all memory."""
        unknown = [loaded for loaded in server.loaded if math.isinf(self._sizes.weights_mb(loaded))]
        if not unknown:
            return None
        return _Candidate(
            server, (ModelRef(min(unknown)),), self._load_duration_s(server, model) + BUSY_UNLOAD_COST_S
        )

    def _load_duration_s(self, server: ServerView, model: Model) -> float:
        """Return how long the load takes there, in seconds."""
        if model.name in server.loaded_before:
            return self._warm.estimate(model.load_time_s)
        return model.load_time_s

    def _server_cost(self, server: ServerView, model: Model) -> float:
        cost = BUSY_SERVER_COST_S * self._fleet.load[server.id]
        if model.name not in server.loaded_before:
            cost += STORE_LOAD_COST_S
        if server.id in self._fleet.adapter_hosts:
            cost += ADAPTER_HOST_COST_S
        if any(copy.zone == server.zone for copy in self._fleet.copies_of(model.name).servers):
            cost += SAME_ZONE_COST_S
        return cost

    # An adapter

    def place_adapter(self, ref: ModelRef, max_value: float) -> bool:
        """Order the load of an adapter, or the unload that it needs first.

        Returns False if neither is possible now.
        """
        if ref in self.purposes:
            return True
        best: tuple[float, str, ModelRef | None] | None = None
        for server in self.free.values():
            if not server.has(ModelRef(ref.model)) or server.has(ref):
                continue
            placed = self._adapter_candidate_on(server, ref, max_value)
            if placed is None:
                continue
            cost, victim = placed
            if best is None or (cost, server.id) < best[:2]:
                best = (cost, server.id, victim)
        if best is None:
            return False
        server = self.free[best[1]]
        if best[2] is None:
            self.order(server, Operation.LOAD, ref)
        else:
            self.order(server, Operation.UNLOAD, best[2], purpose=ref)
            self.purposes[ref] += 1
        return True

    def _adapter_candidate_on(
        self, server: ServerView, ref: ModelRef, max_value: float
    ) -> tuple[float, ModelRef | None] | None:
        """Return the cost of an adapter on a server, and the adapter that must be evicted first."""
        size = self._sizes.adapter_mb(ref.model) + MEMORY_SLACK_MB
        if server.free_adapters >= 1 and server.free_mb >= size:
            return 1.0 / (1.0 + server.free_adapters), None
        best: tuple[float, ModelRef] | None = None
        for loaded in server.loaded.values():
            for adapter in sorted(loaded.adapters):
                victim = ModelRef(loaded.name, adapter)
                if server.free_mb + self._fleet.freed_mb(server, victim) < size:
                    continue
                value = self._values.adapter_value(victim)
                if value <= max_value and (best is None or value < best[0]):
                    best = (value, victim)
        if best is None:
            return None
        return 1.0 + UNLOAD_COST_S + VALUE_COST_S * best[0], best[1]

    # Orders

    def order(
        self,
        server: ServerView,
        operation: Operation,
        ref: ModelRef,
        *,
        purpose: ModelRef | None = None,
        from_store: bool = False,
    ) -> None:
        """Issue an order."""
        self.orders.append(Order(server.id, operation, ref, purpose, from_store))
        del self.free[server.id]
        if purpose is not None or not (ref.adapter or operation is Operation.UNLOAD):
            self.allocated.add(server.id)
        if operation is Operation.LOAD and not ref.adapter:
            self._fleet.record_load(server, ref.model)
        if operation is Operation.UNLOAD:
            self._fleet.record_unload(server, ref)
        if operation is Operation.UNLOAD and not ref.adapter and server.schedulable:
            self._values.forget(ref.model)


def _cheaper(best: _Candidate | None, candidate: _Candidate) -> _Candidate:
    if best is None or (candidate.cost, candidate.server.id) < (best.cost, best.server.id):
        return candidate
    return best
