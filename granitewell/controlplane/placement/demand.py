"""Demand for each model and adapter: decayed rates, and the requests that wait now. No I/O.

A rate rises with the first report of a burst and falls within seconds of inactivity, because demand can move
to other models abruptly. A model that is requested rarely keeps its low rate.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from granitewell.domain.servers import ModelDemand, ModelRef

FAST_TIME_CONSTANT_S = 2.0  # of the decayed count that detects a burst
SLOW_TIME_CONSTANT_S = 20.0  # of the decayed count for rarely requested models
MIN_FAST_REQUESTS = 2.5  # decayed count below which a burst may be chance
INACTIVITY_SCALE_S = 10.0  # upper bound of a rate: this / (idle time)^2
MISS_TIME_CONSTANT_S = 5.0  # of the decayed count of misses
GAUGE_TTL_S = 2.0  # edges report at least every second; an older value counts as zero
DEMAND_TTL_S = 90.0  # after the last request, for a model or adapter
NEVER = -math.inf


@dataclass(frozen=True, slots=True)
class RefDemand:
    """Demand for one model (including its adapters) or one adapter.

    Attributes:
        rate: Requests per second.
        idle_s: Seconds since the last request.
        in_flight: Requests in flight.
        waiting: Requests that wait.
        waiting_since: Time at which requests began to wait, on the monotonic clock.
        priority: Priority of the most urgent waiting request; 0 is the most urgent.
    """

    rate: float = 0.0
    idle_s: float = math.inf
    in_flight: int = 0
    waiting: int = 0
    waiting_since: float = math.inf
    priority: int = 9


NO_DEMAND = RefDemand()


@dataclass(frozen=True, slots=True)
class DemandView:
    """Demand at one point in time.

    Attributes:
        models: Demand by model, including its adapters.
        adapters: Demand by adapter.
        at: Time of the view, on the monotonic clock.
        misses_per_s: Rate at which requests began to wait for a model.
        adapter_misses: Rate at which requests began to wait for an adapter, per second, by model.
    """

    models: Mapping[str, RefDemand] = field(default_factory=dict)
    adapters: Mapping[ModelRef, RefDemand] = field(default_factory=dict)
    misses_per_s: float = 0.0
    at: float = 0.0
    adapter_misses: Mapping[str, float] = field(default_factory=dict)

    def of(self, ref: ModelRef) -> RefDemand:
        """Return the demand for a model with its adapters, or for one adapter."""
        if ref.adapter:
            return self.adapters.get(ref, NO_DEMAND)
        return self.models.get(ref.model, NO_DEMAND)


class _Gauge:
    """Sum of the values that several edges reported last."""

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: dict[str, tuple[int, float]] = {}

    def set(self, now: float, source: str, value: int) -> None:
        if value > 0:
            self._parts[source] = (value, now)
        else:
            self._parts.pop(source, None)

    def read(self, now: float) -> int:
        old = [source for source, (_, at) in self._parts.items() if now - at > GAUGE_TTL_S]
        for source in old:
            del self._parts[source]
        return sum(value for value, _ in self._parts.values())


class _Misses:
    """Exponentially decayed count of misses."""

    __slots__ = ("_at", "_count")

    def __init__(self) -> None:
        self._count = 0.0
        self._at = NEVER

    def add(self, now: float) -> None:
        self._count = self._read(now) + 1.0
        self._at = now

    def per_s(self, now: float) -> float:
        return self._read(now) / MISS_TIME_CONSTANT_S

    def _read(self, now: float) -> float:
        if self._at == NEVER:
            return 0.0
        return self._count * math.exp(-max(0.0, now - self._at) / MISS_TIME_CONSTANT_S)


class _Arrivals:
    """Two exponentially decayed counts of requests, and the time of the last request."""

    __slots__ = ("_at", "_fast", "_slow", "last_at")

    def __init__(self) -> None:
        self._fast = 0.0
        self._slow = 0.0
        self._at = NEVER
        self.last_at = NEVER

    def add(self, now: float, requests: int) -> None:
        if requests <= 0:
            return
        if self._at != NEVER:
            elapsed_s = max(0.0, now - self._at)
            self._fast *= math.exp(-elapsed_s / FAST_TIME_CONSTANT_S)
            self._slow *= math.exp(-elapsed_s / SLOW_TIME_CONSTANT_S)
        self._fast += requests
        self._slow += requests
        self._at = now
        self.last_at = now

    def rate(self, now: float) -> float:
        if self.last_at == NEVER:
            return 0.0
        elapsed_s = max(0.0, now - self._at)
        fast = self._fast * math.exp(-elapsed_s / FAST_TIME_CONSTANT_S)
        rate = self._slow * math.exp(-elapsed_s / SLOW_TIME_CONSTANT_S) / SLOW_TIME_CONSTANT_S
        if fast >= MIN_FAST_REQUESTS:
            rate = max(rate, fast / FAST_TIME_CONSTANT_S)
        if elapsed_s > 1.0:
            rate = min(rate, INACTIVITY_SCALE_S / (elapsed_s * elapsed_s))
        return rate


class _Entry:
    """Reported demand for one model or adapter."""

    __slots__ = ("arrivals", "in_flight", "priority", "waiting", "waiting_since")

    def __init__(self) -> None:
        self.arrivals = _Arrivals()
        self.in_flight = _Gauge()
        self.waiting = _Gauge()
        self.waiting_since = math.inf
        self.priority = 9


class DemandTable:
    """Aggregates the demand reports of all edges.

    Only models that were requested recently are stored.
    """

    def __init__(self) -> None:
        self._entries: dict[ModelRef, _Entry] = {}
        self._models: dict[str, _Arrivals] = {}
        self._misses = _Misses()
        self._adapter_misses: dict[str, _Misses] = {}

    def add(self, now: float, demands: Iterable[ModelDemand], source: str = "") -> bool:
        """Record a report of the edge named `source`.

        Returns whether requests have begun to wait for a model or an adapter.
        """
        urgent = False
        for demand in demands:
            urgent |= self._add_one(now, demand, source)
        return urgent

    def _add_one(self, now: float, demand: ModelDemand, source: str) -> bool:
        if demand.requests <= 0 and demand.waiting <= 0 and demand.in_flight <= 0:
            entry = self._entries.get(demand.ref)
            if entry is None:
                return False
        else:
            entry = self._entries.setdefault(demand.ref, _Entry())
        entry.arrivals.add(now, demand.requests)
        if demand.requests > 0:
            self._models.setdefault(demand.ref.model, _Arrivals()).add(now, demand.requests)
        entry.in_flight.set(now, source, demand.in_flight)
        waited = entry.waiting.read(now) > 0
        entry.waiting.set(now, source, demand.waiting)
        return self._record_waiting(now, entry, demand, waited)

    def _record_waiting(self, now: float, entry: _Entry, demand: ModelDemand, waited: bool) -> bool:
        if demand.waiting <= 0:
            return False
        if waited:
            entry.priority = min(entry.priority, demand.priority)
            return False
        entry.priority = demand.priority
        entry.waiting_since = now
        if demand.ref.adapter == "":
            self._misses.add(now)
        else:
            self._adapter_misses.setdefault(demand.ref.model, _Misses()).add(now)
        return True

    def view(self, now: float) -> DemandView:
        """Return the current demand, and drop entries that have expired."""
        adapters: dict[ModelRef, RefDemand] = {}
        by_model: dict[str, list[RefDemand]] = {}
        with_adapters: set[str] = set()
        for ref, entry in list(self._entries.items()):
            seen = _read(now, entry)
            if seen.idle_s > DEMAND_TTL_S and not seen.waiting and not seen.in_flight:
                del self._entries[ref]
                continue
            by_model.setdefault(ref.model, []).append(seen)
            if ref.adapter:
                adapters[ref] = seen
                with_adapters.add(ref.model)
        models = {
            name: self._model(now, name, parts) if name in with_adapters else parts[0]
            for name, parts in by_model.items()
        }
        for name in [known for known in self._models if known not in by_model]:
            del self._models[name]
        for name in [known for known in self._adapter_misses if known not in by_model]:
            del self._adapter_misses[name]
        adapter_misses = {name: misses.per_s(now) for name, misses in self._adapter_misses.items()}
        return DemandView(models, adapters, self._misses.per_s(now), now, adapter_misses)

    def _model(self, now: float, name: str, parts: Sequence[RefDemand]) -> RefDemand:
        arrivals = self._models.get(name)
        waiting = [part for part in parts if part.waiting]
        return RefDemand(
            rate=arrivals.rate(now) if arrivals else 0.0,
            idle_s=now - arrivals.last_at if arrivals else math.inf,
            in_flight=sum(part.in_flight for part in parts),
            waiting=sum(part.waiting for part in waiting),
            waiting_since=min((part.waiting_since for part in waiting), default=math.inf),
            priority=min((part.priority for part in waiting), default=9),
        )


def _read(now: float, entry: _Entry) -> RefDemand:
    waiting = entry.waiting.read(now)
    return RefDemand(
        rate=entry.arrivals.rate(now),
        idle_s=now - entry.arrivals.last_at,
        in_flight=entry.in_flight.read(now),
        waiting=waiting,
        waiting_since=entry.waiting_since if waiting else math.inf,
        priority=entry.priority if waiting else 9,
    )
