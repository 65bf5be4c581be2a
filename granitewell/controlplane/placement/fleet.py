"""Copies of models on the servers, desired copies by demand, and the load of each server. No I/O.

A copy is a model (or adapter) that a server has loaded or is loading.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from granitewell.controlplane.placement.demand import DemandView
from granitewell.controlplane.placement.limits import ModelSizes
from granitewell.controlplane.placement.views import ServerView
from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import ModelRef

BUSY_RATE_PER_S = 0.4  # from here a model gets at least two copies
KEEP_RATE_PER_S = 0.25  # from here a lost last copy is loaded again before the next request
ACTIVE_ADAPTER_RATE_PER_S = 0.04  # from here an adapter counts as active
MAX_SLOTS_FRACTION = 0.2  # of a server's slots used by one model; above it another copy is desired
MAX_FAIR_SHARE_RATIO = 1.25  # of an even share of all requests; above it a copy is overloaded
TARGET_SLOTS_FRACTION = 1 / 3  # of a server's slots; with more concurrent requests, tokens come too slowly
MIN_COPY_RATE_PER_S = 1.0  # that one copy serves well on any server; prompts are processed one by one
MAX_COPIES_FRACTION = 0.7  # of the schedulable servers, for one model


@dataclass(slots=True)
class _Copies:
    """Copies of a model on schedulable servers.

    Attributes:
        servers: Servers that have loaded the model or are loading it.
        ready: How many of them have loaded it.
    """

    servers: list[ServerView] = field(default_factory=list)
    ready: int = 0

    @property
    def count(self) -> int:
        return len(self.servers)


_NO_COPIES = _Copies()


class FleetView:
    """Servers and demand at the time of one plan. Only the copies change, as the plan issues orders."""

    def __init__(
        self, servers: Sequence[ServerView], demand: DemandView, engine: Engine, sizes: ModelSizes
    ) -> None:
        self.demand = demand
        self._engine = engine
        self._sizes = sizes
        self.models: dict[str, Model] = {model.name: model for model in engine.models}
        self.servers = servers
        self.schedulable = [server for server in servers if server.schedulable]
        self._dropped: set[tuple[str, ModelRef]] = set()  # adapters that this plan unloads, by server
        self._copies = self._count_copies()
        self._active_adapters = self._count_active_adapters()
        self.adapter_hosts = {
            server.id for server in servers if not self._active_adapters.keys().isdisjoint(server.loaded)
        }
        self.max_copy_rate = self._max_copy_rate()
        self.desired = {
            name: self._count_desired_copies(name) for name in demand.models if name in self.models
        }
        self.load = {server.id: self._load_of(server) for server in servers}

    # Servers

    def _count_copies(self) -> dict[str, _Copies]:
        copies: dict[str, _Copies] = {}
        for server in self.schedulable:
            for name in server.loaded:
                if server.has(ModelRef(name)):
                    entry = copies.setdefault(name, _Copies())
                    entry.servers.append(server)
                    entry.ready += 1
            loading = server.loading
            if loading is not None and not loading.adapter and loading.model not in server.loaded:
                copies.setdefault(loading.model, _Copies()).servers.append(server)
        return copies

    def copies_of(self, model: str) -> _Copies:
        """Return the copies of a model on schedulable servers."""
        return self._copies.get(model, _NO_COPIES)

    def adapter_copies(self, ref: ModelRef) -> int:
        """Return the number of schedulable servers that keep an adapter or are loading it."""
        return sum(1 for server in self.schedulable if self._has_adapter(server, ref))

    def _has_adapter(self, server: ServerView, ref: ModelRef) -> bool:
        return (server.has(ref) and (server.id, ref) not in self._dropped) or server.loading == ref

    def is_adapter(self, ref: ModelRef) -> bool:
        """Return whether the adapter is configured: adapters are named a1 to aN."""
        model = self.models.get(ref.model)
        if model is None or not ref.adapter.startswith("a") or not ref.adapter[1:].isdecimal():
            return False
        return 1 <= int(ref.adapter[1:]) <= model.adapters

    def is_missed(self, name: str) -> bool:
        """Return whether requests wait for a model that no schedulable server has or is loading."""
        return self.demand.models[name].waiting > 0 and not self.copies_of(name).count

    def in_flight(self, name: str) -> bool:
        """Return whether requests for a model are in flight."""
        seen = self.demand.models.get(name)
        return seen is not None and seen.in_flight > 0

    def freed_mb(self, server: ServerView, ref: ModelRef) -> float:
        """Return the memory that an unload frees, in MB; 0 if the size is unknown."""
        if ref.adapter:
            return self._finite(self._sizes.adapter_mb(ref.model))
        loaded = server.loaded.get(ref.model)
        return self._finite(self._sizes.loaded_mb(loaded)) if loaded is not None else 0.0

    @staticmethod
    def _finite(mb: float) -> float:
        return mb if math.isfinite(mb) else 0.0

    def missing_sizes_mb(self) -> list[float]:
        """Return the sizes of the models without a copy on any schedulable server, in ascending order."""
        return sorted(model.weights_mb for name, model in self.models.items() if name not in self._copies)

    # Desired copies

    def _count_active_adapters(self) -> dict[str, int]:
        active: dict[str, int] = {}
        for ref, seen in self.demand.adapters.items():
            if seen.waiting or seen.in_flight or seen.rate >= ACTIVE_ADAPTER_RATE_PER_S:
                active[ref.model] = active.get(ref.model, 0) + 1
        return active

    def _max_copy_rate(self) -> float:
        """Return the rate that a copy should serve at most, in requests per second.

        It is somewhat above an even share of all requests per schedulable server.
        """
        total_rate = sum(seen.rate for seen in self.demand.models.values())
        return max(MIN_COPY_RATE_PER_S, MAX_FAIR_SHARE_RATIO * total_rate / max(1, len(self.schedulable)))

    def _count_desired_copies(self, name: str) -> int:
        seen = self.demand.models.get(name)
        if seen is None:
            return 0
        desired = 0
        if seen.waiting or seen.in_flight or seen.rate >= KEEP_RATE_PER_S:
            desired = 1
        if seen.rate >= BUSY_RATE_PER_S:
            desired = max(2, math.ceil(seen.rate / self.max_copy_rate))
            desired = max(desired, math.ceil(seen.in_flight / (MAX_SLOTS_FRACTION * self._engine.slots)))
            adapter_slots = self._engine.max_adapters
            if adapter_slots:
                desired = max(desired, math.ceil(self._active_adapters.get(name, 0) / adapter_slots))
        max_copies = max(2, int(len(self.schedulable) * MAX_COPIES_FRACTION))
        return min(desired, max_copies, len(self.schedulable))

    def excess_in_flight(self, name: str, copies: int) -> float:
        """Return how many requests in flight exceed what a number of copies can serve in time."""
        seen = self.demand.models.get(name)
        if seen is None:
            return 0.0
        return max(0.0, seen.in_flight - copies * TARGET_SLOTS_FRACTION * self._engine.slots)

    def _load_of(self, server: ServerView) -> float:
        load = 0.0
        for name in server.loaded:
            seen = self.demand.models.get(name)
            if seen is not None and seen.rate >= BUSY_RATE_PER_S:
                load += seen.rate / max(1, self.copies_of(name).count)
        return load

    # Changes by this plan

    def record_load(self, server: ServerView, name: str) -> None:
        """Record that this plan orders the load of a model."""
        self._copies.setdefault(name, _Copies()).servers.append(server)

    def record_unload(self, server: ServerView, ref: ModelRef) -> None:
        """Record that this plan orders an unload."""
        if ref.adapter:
            self._dropped.add((server.id, ref))
            return
        copies = self._copies.get(ref.model)
        if not server.schedulable or copies is None:
            return
        copies.servers = [kept for kept in copies.servers if kept.id != server.id]
        copies.ready -= 1
