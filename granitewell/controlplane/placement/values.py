"""Value of a copy, in misses per second if it were evicted, and choice of evictions. No I/O."""

from __future__ import annotations

import math

from granitewell.controlplane.placement.fleet import FleetView
from granitewell.controlplane.placement.views import ServerView
from granitewell.domain.servers import ModelRef

UNREQUESTED_VALUE = 0.02  # of a model never requested; about the rate of one of many rare models
SURPLUS_COPY_VALUE = 0.03  # of a copy beyond those desired, while its model is in use
SECOND_COPY_VALUE = 0.5  # of a desired second copy, which protects from a crash or a hot spot
RECENT_USE_VALUE = 0.5  # of the last copy of a model just requested; falls to 0 over RECENT_USE_TTL_S
RECENT_USE_TTL_S = 2.0
SURPLUS_IDLE_S = 3.0  # after the last request; then surplus copies have no value


class CopyValues:
    """Values of the copies within one plan, each computed once."""

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet
        self._values: dict[str, float] = {}
        self._ranked: dict[str, list[tuple[float, str]]] = {}  # by server: (value, model) in ascending order
        self._reclaimable: dict[tuple[str, float], float] = {}  # by server and maximum value: MB

    def _value(self, server: ServerView, name: str) -> float:
        """Return the value of a model's copy on a server; infinite if it must not be evicted."""
        value = self._values.get(name)
        if value is None:
            value = self._model_value(name)
            self._values[name] = value
        if not server.schedulable:
            return 0.0
        return value

    def _model_value(self, name: str) -> float:
        seen = self._fleet.demand.models.get(name)
        copies = self._fleet.copies_of(name)
        if name not in self._fleet.models:
            return 0.0 if seen is None or not seen.in_flight else SURPLUS_COPY_VALUE
        if copies.ready > max(1, self._fleet.desired.get(name, 0)):
            return SURPLUS_COPY_VALUE if seen is not None and seen.idle_s < SURPLUS_IDLE_S else 0.0
        if seen is None:
            return UNREQUESTED_VALUE
        if copies.ready > 1:
            return SECOND_COPY_VALUE + seen.rate / copies.ready
        if seen.waiting or seen.in_flight:
            return math.inf
        recent = RECENT_USE_VALUE * max(0.0, 1.0 - seen.idle_s / RECENT_USE_TTL_S)
        return seen.rate + recent

    def adapter_value(self, ref: ModelRef) -> float:
        """Return the value of a copy of an adapter; infinite if it must not be evicted."""
        seen = self._fleet.demand.of(ref)
        if self._fleet.adapter_copies(ref) > 1:
            return seen.rate / 2
        if seen.waiting or seen.in_flight:
            return math.inf
        return seen.rate + RECENT_USE_VALUE * max(0.0, 1.0 - seen.idle_s / RECENT_USE_TTL_S)

    def ranking(self, server: ServerView) -> list[tuple[float, str]]:
        """Return the models of a server with their values, in ascending order of value."""
        ranking = self._ranked.get(server.id)
        if ranking is None:
            ranking = sorted((self._value(server, name), name) for name in server.loaded)
            self._ranked[server.id] = ranking
        return ranking

    def reclaimable_mb(self, server: ServerView, max_value: float) -> float:
        """Return the free memory of a server after evicting all copies of at most that value, in MB."""
        reclaimable = self._reclaimable.get((server.id, max_value))
        if reclaimable is None:
            reclaimable = server.free_mb
            for value, name in self.ranking(server):
                if value > max_value:
                    break
                reclaimable += self._fleet.freed_mb(server, ModelRef(name))
            self._reclaimable[server.id, max_value] = reclaimable
        return reclaimable

    def victims(
        self, server: ServerView, need_mb: float, max_value: float
    ) -> tuple[tuple[ModelRef, ...], float] | None:
        """Return the models to evict for that much memory, and their total value.

        None if the total would exceed `max_value`.
        """
        chosen: list[tuple[float, str, float]] = []
        freed = 0.0
        for value, name in self.ranking(server):
            if freed >= need_mb or value > max_value:
                break
            size = self._fleet.freed_mb(server, ModelRef(name))
            chosen.append((value, name, size))
            freed += size
        if freed < need_mb:
            return None
        for entry in reversed(chosen[:]):
            if freed - entry[2] >= need_mb:
                chosen.remove(entry)
                freed -= entry[2]
        total = sum(value for value, _, _ in chosen)
        if total > max_value:
            return None
        return tuple(ModelRef(name) for _, name, _ in chosen), total

    def forget(self, name: str) -> None:
        """Drop cached values after an eviction, which makes the other copies more valuable."""
        self._values.pop(name, None)
        self._ranked.clear()
        self._reclaimable.clear()
