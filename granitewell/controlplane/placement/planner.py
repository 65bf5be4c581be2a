"""Plans orders from servers and demand. Level-triggered, no I/O: each call plans from the current state.

Each call issues at most one order per server, in this order of priority:

1. Load adapters that requests wait for, on a server that has their model; this takes some ms, a model
   seconds.
2. Load models that requests wait for and no schedulable server has, and scale out overloaded models.
3. Load models and adapters with fewer copies than their demand needs.
4. Replace copies with an older version of the weights than another copy, one copy of a model at a time.
5. Free capacity ahead of the next miss.

If a load needs capacity, the copies of the lowest value are evicted first. The value of a copy is roughly the
rate of requests that would miss it. Nothing is evicted without need.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from granitewell.controlplane.placement.demand import DemandView, RefDemand
from granitewell.controlplane.placement.fleet import BUSY_RATE_PER_S, KEEP_RATE_PER_S, FleetView
from granitewell.controlplane.placement.limits import MEMORY_SLACK_MB, ModelSizes
from granitewell.controlplane.placement.orders import Operation, Order
from granitewell.controlplane.placement.placement_pass import PlacementPass
from granitewell.controlplane.placement.values import CopyValues
from granitewell.controlplane.placement.views import ServerView, StoreView
from granitewell.domain.configuration import Engine
from granitewell.domain.servers import ModelRef

__all__ = ["BUSY_RATE_PER_S", "KEEP_RATE_PER_S", "ServerView", "StoreView", "plan"]

BUSY_ADAPTER_RATE_PER_S = 1.5  # from here an adapter gets two copies; one is reloaded in some ms

# Value that may be evicted, in misses per second
SCALE_OUT_VALUE = 0.3  # per request per second that an additional copy takes off each existing one
MAX_VALUE_FOR_WAITING = 1.2  # for a model or adapter that requests wait for
MAX_VALUE_FOR_NEW_WAITING = 0.3  # for one that requests have only begun to wait for
MAX_VALUE_FOR_SPARE = 0.25  # for a copy that no request waits for
MAX_VALUE_FOR_CAPACITY = 0.12  # to free capacity ahead of need

# Urgency
PRIORITY_WEIGHTS = (3.0, 2.0, 1.0, 0.7, 0.5)  # of one request, by priority
WAIT_OFFSET_S = 0.5  # added to the time waited, so that long waits outweigh higher priorities
SCALE_OUT_WEIGHT = 2.0  # per request per second that an additional copy takes off each existing one
EXCESS_WEIGHT = 3.0  # of a request in flight beyond those served in time; equals a wait of 2.5 s

# Limits
MAX_SCALE_OUT_FRACTION = 1 / 6  # of the servers that may add copies while other models are missed
MAX_SPARE_LOADS = 2  # concurrent loads that no request waits for
MAX_FAILED_PLACEMENTS = 12  # per plan; then the remaining urgent models are left for the next plan
EVICTION_HORIZON_S = 0.9  # for expected misses; about the time of an unload, its report and a load
MAX_SPARE_SERVERS_FRACTION = 0.34  # of the servers, on which capacity is freed ahead of need


def plan(
    servers: Sequence[ServerView],
    demand: DemandView,
    engine: Engine,
    sizes: ModelSizes,
    store: StoreView,
) -> list[Order]:
    """Return the orders to send now."""
    if not servers:
        return []
    planning = _Planning(servers, demand, engine, sizes, store)
    planning.load_waiting_adapters()
    planning.load_urgent_models()
    planning.load_spare_models()
    planning.load_spare_adapters()
    planning.replace_outdated_models()
    planning.evict_for_capacity()
    return planning.orders


class _Planning:
    """One call of plan()."""

    def __init__(
        self,
        servers: Sequence[ServerView],
        demand: DemandView,
        engine: Engine,
        sizes: ModelSizes,
        store: StoreView,
    ) -> None:
        self._demand = demand
        self._fleet = FleetView(servers, demand, engine, sizes)
        self._values = CopyValues(self._fleet)
        self._placing = PlacementPass(self._fleet, self._values, sizes, store)
        self._concurrent_loads = store.concurrent_loads
        self._blocked_waiting = False
        self._max_scale_outs = len(servers)

    @property
    def orders(self) -> list[Order]:
        """Orders issued so far."""
        return self._placing.orders

    # 1. Adapters that requests wait for

    def load_waiting_adapters(self) -> None:
        """Load adapters that requests wait for, on servers that have their model."""
        waiting = [
            (ref, seen)
            for ref, seen in self._demand.adapters.items()
            if seen.waiting and self._fleet.is_adapter(ref) and not self._fleet.adapter_copies(ref)
        ]
        now = self._demand.at
        waiting.sort(key=lambda item: (-_urgency(item[1], now), item[0].model, item[0].adapter))
        for ref, _ in waiting:
            self._placing.place_adapter(ref, MAX_VALUE_FOR_WAITING)

    # 2. Models that requests wait for

    def load_urgent_models(self) -> None:
        """Load models that requests wait for and no schedulable server has, or whose copies are overloaded.

        Each step adds one copy of the most urgent model.
        """
        urgent = {name: urgency for name in self._fleet.desired if (urgency := self._urgency_of(name)) > 0}
        if any(self._fleet.is_missed(name) for name in urgent):
            self._max_scale_outs = max(1, int(len(self._fleet.schedulable) * MAX_SCALE_OUT_FRACTION))
        failures = 0
        while urgent and self._placing.free and failures < MAX_FAILED_PLACEMENTS:
            name = min(urgent, key=lambda other: (-urgent[other], other))
            if not self._place_urgent(name):
                failures += 1
                del urgent[name]
                continue
            urgency = self._urgency_of(name)
            if urgency > 0:
                urgent[name] = urgency
            else:
                del urgent[name]
        self._blocked_waiting = failures > 0 or not self._placing.free

    def _urgency_of(self, name: str) -> float:
        """Return the urgency of one more copy of a model; 0 if it is not urgent."""
        seen = self._demand.models[name]
        if self._fleet.is_missed(name):
            return 0.0 if ModelRef(name) in self._placing.purposes else _urgency(seen, self._demand.at)
        copies = self._expected_copies(name)
        if copies >= self._fleet.desired[name]:
            return 0.0
        excess_in_flight = self._fleet.excess_in_flight(name, copies)
        if not excess_in_flight and seen.rate <= self._fleet.max_copy_rate * copies:
            return 0.0
        return SCALE_OUT_WEIGHT * self._scale_out_gain(name) + EXCESS_WEIGHT * excess_in_flight

    def _scale_out_gain(self, name: str) -> float:
        """Return the rate that an additional copy takes off each existing one, in requests per second."""
        copies = self._expected_copies(name)
        return self._demand.models[name].rate / (copies * (copies + 1))

    def _expected_copies(self, name: str) -> int:
        """Return the number of copies, including those for which capacity is being freed; at least 1."""
        return max(1, self._fleet.copies_of(name).count + self._placing.purposes[ModelRef(name)])

    def _place_urgent(self, name: str) -> bool:
        if self._fleet.is_missed(name):
            max_value = self._max_value_for_waiting(self._demand.models[name])
            return self._placing.place_model(name, max_value, self._concurrent_loads)
        if self._scale_outs_in_progress() >= self._max_scale_outs:
            return False
        max_value = max(
            MAX_VALUE_FOR_SPARE, min(MAX_VALUE_FOR_WAITING, SCALE_OUT_VALUE * self._scale_out_gain(name))
        )
        return self._placing.place_model(name, max_value, self._concurrent_loads)

    def _scale_outs_in_progress(self) -> int:
        """Return the number of loads, and unloads for them, that add a copy to a model with a ready copy."""
        loading = sum(1 for server in self._fleet.schedulable if self._is_scale_out(server.loading))
        freeing = sum(count for ref, count in self._placing.purposes.items() if self._is_scale_out(ref))
        ordered = sum(
            1 for order in self.orders if order.operation is Operation.LOAD and self._is_scale_out(order.ref)
        )
        return loading + freeing + ordered

    def _is_scale_out(self, ref: ModelRef | None) -> bool:
        return ref is not None and not ref.adapter and self._fleet.copies_of(ref.model).ready > 0

    def _max_value_for_waiting(self, seen: RefDemand) -> float:
        """Return the value that may be evicted: low at first, because a better server may soon be free."""
        waited = max(0.0, self._demand.at - seen.waiting_since)
        return min(MAX_VALUE_FOR_WAITING, MAX_VALUE_FOR_NEW_WAITING + round(waited, 1))

    # 3. Copies that demand needs

    def load_spare_models(self) -> None:
        """Load models with fewer copies than desired, those with the fewest copies first."""
        short = [
            (name, self._demand.models[name])
            for name, desired in self._fleet.desired.items()
            if desired > self._fleet.copies_of(name).count + self._placing.purposes[ModelRef(name)]
            and not self._fleet.is_missed(name)
        ]
        short.sort(key=lambda item: (self._fleet.copies_of(item[0]).count, -item[1].rate, item[0]))
        for name, _ in short:
            lost = not self._fleet.copies_of(name).count
            max_loads = self._concurrent_loads if lost else min(MAX_SPARE_LOADS, self._concurrent_loads)
            if self._placing.loads_in_progress() < max_loads:
                self._placing.place_model(name, MAX_VALUE_FOR_SPARE, max_loads)

    def load_spare_adapters(self) -> None:
        """Load adapters in use that have too few copies."""
        for ref, seen in self._demand.adapters.items():
            if seen.waiting or seen.rate < KEEP_RATE_PER_S or not self._fleet.is_adapter(ref):
                continue
            desired = 2 if seen.rate >= BUSY_ADAPTER_RATE_PER_S else 1
            desired = min(desired, max(1, self._fleet.copies_of(ref.model).ready))
            if self._fleet.adapter_copies(ref) < desired:
                self._placing.place_adapter(ref, MAX_VALUE_FOR_SPARE)

    # 4. Newer versions

    def replace_outdated_models(self) -> None:
        """Replace copies with older weights of models in demand; a load brings the newest version.

        At most one copy of a model changes at a time. A further copy is loaded before an older one is
        unloaded. Only if no server can take one, an older copy is unloaded first and loaded again.
        """
        outdated = {name for server in self._fleet.schedulable for name in server.outdated}
        for name in sorted(outdated & self._fleet.desired.keys()):
            if self._fleet.desired[name] and not self._is_changing(name):
                self._replace_outdated(name)

    def _is_changing(self, name: str) -> bool:
        """Return whether a copy of a model is being loaded or unloaded, or capacity is being freed for it."""
        ref = ModelRef(name)
        if ref in self._placing.purposes or any(order.ref == ref for order in self.orders):
            return True
        return any(ref in (server.loading, server.unloading) for server in self._fleet.schedulable)

    def _replace_outdated(self, name: str) -> None:
        ref = ModelRef(name)
        copies = [server for server in self._fleet.copies_of(name).servers if server.has(ref)]
        is_spare = len(copies) > self._fleet.desired[name]
        has_current = any(name not in server.outdated for server in copies)
        if not (is_spare and has_current):
            max_loads = min(MAX_SPARE_LOADS, self._concurrent_loads)
            has_room = self._placing.loads_in_progress() < max_loads
            if has_room and self._placing.place_model(name, MAX_VALUE_FOR_SPARE, max_loads):
                return
        older = [server for server in copies if name in server.outdated and server.id in self._placing.free]
        if older and has_current:
            self._placing.order(older[0], Operation.UNLOAD, ref, purpose=None if is_spare else ref)
            self._placing.purposes[ref] += not is_spare

    # 5. Capacity ahead of need

    def evict_for_capacity(self) -> None:
        """Evict the models of the lowest value on a few servers, so that the next miss needs no unload."""
        if self._blocked_waiting or not self._demand.misses_per_s:
            return
        most = int(len(self._fleet.schedulable) * MAX_SPARE_SERVERS_FRACTION)
        desired = min(most, int(self._demand.misses_per_s * EVICTION_HORIZON_S + 0.5))
        size = self._typical_mb()
        with_spare_capacity = [
            server for server in self._fleet.schedulable if self._has_spare_capacity(server, size)
        ]
        missing = desired - len(with_spare_capacity)
        for _ in range(missing):
            if not self._evict_once(size):
                return

    def _typical_mb(self) -> float:
        """Return the 90th percentile of the sizes of models without a copy, in MB."""
        away = self._fleet.missing_sizes_mb()
        return away[int(len(away) * 0.9)] if away else math.inf

    def _has_spare_capacity(self, server: ServerView, size: float) -> bool:
        """Return whether a server has, or is freeing, capacity that is not reserved."""
        is_reserved = server.purpose or server.reserved_for or server.id in self._placing.allocated
        return not is_reserved and self._has_capacity(server, size)

    def _has_capacity(self, server: ServerView, size: float) -> bool:
        freed = 0.0
        if server.unloading is not None:
            freed = self._fleet.freed_mb(server, server.unloading)
        return server.free_mb + freed - MEMORY_SLACK_MB >= size

    def _evict_once(self, size: float) -> bool:
        best: tuple[float, str, str] | None = None
        for server in self._placing.free.values():
            if server.reserved_for is not None or self._has_capacity(server, size):
                continue
            for value, name in self._values.ranking(server):
                if value > MAX_VALUE_FOR_CAPACITY or (best is not None and (value, server.id) >= best[:2]):
                    break
                if self._fleet.in_flight(name) or not self._evicts(server, name, size):
                    continue
                best = (value, server.id, name)
                break
        if best is None:
            return False
        self._placing.order(self._placing.free[best[1]], Operation.UNLOAD, ModelRef(best[2]))
        return True

    def _evicts(self, server: ServerView, name: str, size: float) -> bool:
        return server.free_mb + self._fleet.freed_mb(server, ModelRef(name)) - MEMORY_SLACK_MB >= size


def _urgency(seen: RefDemand, now: float) -> float:
    """Return the urgency of waiting requests, by number, rate, priority and time waited."""
    weight = PRIORITY_WEIGHTS[min(max(seen.priority, 0), len(PRIORITY_WEIGHTS) - 1)]
    waited = max(0.0, now - seen.waiting_since)
    return weight * (seen.waiting + seen.rate) * (WAIT_OFFSET_S + waited)
