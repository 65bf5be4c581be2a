"""Servers and demand in, orders out. Pure and level-triggered: each call plans from what is seen now.

In this order, at most one order a server and call:
1. models that requests wait for and no lasting server has;
2. adapters that requests wait for, on a server that holds their model;
3. models and adapters with fewer copies than their demand wants;
4. room made ahead of the next miss.
Where a load needs room, the copies of the least value are unloaded first. The value of a copy is roughly the
requests a second that would miss it; nothing is unloaded without need.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from granitewell.controlplane.placement.demand import DemandView, RefDemand
from granitewell.controlplane.placement.limits import MEMORY_SLACK_MB, SizeBook
from granitewell.controlplane.placement.orders import Operation, Order
from granitewell.model.configuration import Engine, Model
from granitewell.model.servers import HeldModel, ModelRef

# How many copies
BUSY_RATE = 0.4  # requests a second from which a model has two copies
BUSY_ADAPTER_RATE = 1.5  # the same for an adapter, which comes back in some ms
KEEP_RATE = 0.25  # from here a lost last copy is loaded again before it is asked for
ACTIVE_ADAPTER_RATE = 0.04  # adapters asked for this often want a place of their own
SLOTS_SHARE = 0.2  # of a server's slots in use by one model, beyond which another copy is wanted
MOST_COPIES_SHARE = 0.7  # of the servers, for one model

# Value of a copy, in misses a second
UNSEEN_VALUE = 0.02  # of a model not asked for yet: about the rate of one of many rare models
EXTRA_VALUE = 0.03  # of a copy beyond those wanted, while its model is in use
SECOND_VALUE = 0.5  # of a wanted second copy: a crash or a hot spot away from being the only one
RECENT_VALUE = 0.5  # of the last copy of a model asked for just now, falling to 0 over RECENT_S
RECENT_S = 2.0
SILENT_S = 3.0  # without a request, a model's extra copies are worth nothing
MOST_FOR_WAITING = 1.2  # value that may be given up for a request that waits
MOST_FOR_JUST_WAITING = 0.3  # the same when it has only begun to wait
MOST_FOR_SPARE = 0.25  # value that may be given up for a copy that nobody waits for
MOST_FOR_ROOM = 0.12  # value that may be given up for room ahead of need

# Cost of a place, in seconds of waiting
UNLOAD_S = 0.2  # until a report shows an unload
RUNS_S = 1.5  # the same where runs must end first
VALUE_S = 10.0  # seconds for one miss a second
COLD_S = 0.3  # beyond the load time: a token of the store, a place among its loads
BUSY_LOAD_S = 0.1  # for each request a second that the server already has of busy models
SAME_ZONE_S = 0.3
ADAPTER_HOST_S = 0.15  # a load holds up orders for adapters on this server

# Who comes first
PRIORITY_WEIGHTS = (3.0, 2.0, 1.0, 0.7, 0.5)  # of one request, by its priority
WAITED_S = 0.5  # added to the time waited: what has waited long passes what is merely urgent

# How much at once
MOST_SPARE_LOADS = 2  # loads that nobody waits for, at once
MOST_MAKING_ROOM = 4  # unloads for a waiting load, at once, beyond the loads that may begin
MOST_TRIED = 12  # models that could not be placed, after which the rest of the queue is left for later
ROOM_S = 0.9  # of misses that find free room: about an unload, its report and a load
ROOM_SERVERS_SHARE = 0.34  # of the servers, at most, with room made ahead


@dataclass(frozen=True, slots=True)
class ServerView:
    """A server as the planner sees it. free_mb and free_adapters: with all that may be loading counted.
    going, coming: the unload and the load under way. purpose: what the unload makes room for.
    reserved_for: what its free room was made for."""

    id: str
    zone: str
    slots: int
    lasting: bool
    orderable: bool
    held: Mapping[str, HeldModel]
    free_mb: float
    free_adapters: int
    going: ModelRef | None = None
    coming: ModelRef | None = None
    purpose: ModelRef | None = None
    reserved_for: ModelRef | None = None
    held_before: frozenset[str] | set[str] = frozenset()

    def has(self, ref: ModelRef) -> bool:
        """Whether it holds that and keeps it."""
        held = self.held.get(ref.model)
        if held is None or self.going == ref or self.going == ModelRef(ref.model):
            return False
        return not ref.adapter or ref.adapter in held.adapters


@dataclass(frozen=True, slots=True)
class StoreView:
    """What the weight store allows now. tokens: loads that may begin; at_once: loads at full speed."""

    tokens: int
    at_once: int


@dataclass(frozen=True, slots=True)
class _Place:
    """A server for a load, what must go first, and what it costs."""

    server: ServerView
    victims: tuple[ModelRef, ...]
    cost: float


@dataclass(slots=True)
class _Copies:
    """Lasting copies of a model: the servers that have or load it, and how many of them hold it."""

    servers: list[ServerView] = field(default_factory=list)
    ready: int = 0

    @property
    def count(self) -> int:
        return len(self.servers)


_NO_COPIES = _Copies()


def plan(
    servers: Sequence[ServerView],
    demand: DemandView,
    engine: Engine,
    sizes: SizeBook,
    store: StoreView,
) -> list[Order]:
    """The orders to send now."""
    if not servers:
        return []
    planning = _Planning(servers, demand, engine, sizes, store)
    planning.load_waiting_models()
    planning.load_waiting_adapters()
    planning.load_spare_models()
    planning.load_spare_adapters()
    planning.make_room()
    return planning.orders


class _Planning:
    """One call of plan()."""

    def __init__(
        self,
        servers: Sequence[ServerView],
        demand: DemandView,
        engine: Engine,
        sizes: SizeBook,
        store: StoreView,
    ) -> None:
        self.orders: list[Order] = []
        self._demand = demand
        self._engine = engine
        self._sizes = sizes
        self._models: dict[str, Model] = {model.name: model for model in engine.models}
        self._servers = servers
        self._lasting = [server for server in servers if server.lasting]
        self._free = {server.id: server for server in servers if server.orderable}
        self._tokens = store.tokens
        self._at_once = store.at_once
        self._loading = sum(1 for s in servers if s.coming is not None and not s.coming.adapter)
        self._purposes = {s.purpose for s in servers if s.purpose is not None}
        self._copies = self._count_copies()
        self._active_adapters = self._count_active_adapters()
        self._adapter_hosts = {
            server.id for server in servers if not self._active_adapters.keys().isdisjoint(server.held)
        }
        self._wanted = {name: self._wanted_copies(name) for name in demand.models if name in self._models}
        self._load = {server.id: self._load_of(server) for server in servers}
        self._dropped: set[tuple[str, ModelRef]] = set()  # adapters that this plan unloads
        self._values: dict[str, float] = {}
        self._ranked: dict[str, list[tuple[float, str]]] = {}  # by server: what it holds, by value
        self._reach: dict[tuple[str, float], float] = {}  # by server and value: memory that may be had
        self._blocked_waiting = False
        self._taken: set[str] = set()  # servers ordered to load a model or to make room for one, in this plan
        self._reserved: set[str] = set()  # servers with room for a load that the store holds up

    # What there is

    def _count_copies(self) -> dict[str, _Copies]:
        copies: dict[str, _Copies] = {}
        for server in self._lasting:
            for name in server.held:
                if server.has(ModelRef(name)):
                    entry = copies.setdefault(name, _Copies())
                    entry.servers.append(server)
                    entry.ready += 1
            coming = server.coming
            if coming is not None and not coming.adapter and coming.model not in server.held:
                copies.setdefault(coming.model, _Copies()).servers.append(server)
        return copies

    def _copies_of(self, model: str) -> _Copies:
        return self._copies.get(model, _NO_COPIES)

    def _adapter_copies(self, ref: ModelRef) -> int:
        return sum(1 for server in self._lasting if self._has_adapter(server, ref))

    def _has_adapter(self, server: ServerView, ref: ModelRef) -> bool:
        return (server.has(ref) and (server.id, ref) not in self._dropped) or server.coming == ref

    def _count_active_adapters(self) -> dict[str, int]:
        active: dict[str, int] = {}
        for ref, seen in self._demand.adapters.items():
            if seen.waiting or seen.in_flight or seen.rate >= ACTIVE_ADAPTER_RATE:
                active[ref.model] = active.get(ref.model, 0) + 1
        return active

    def _wanted_copies(self, name: str) -> int:
        seen = self._demand.models.get(name)
        if seen is None:
            return 0
        wanted = 0
        if seen.waiting or seen.in_flight or seen.rate >= KEEP_RATE:
            wanted = 1
        if seen.rate >= BUSY_RATE:
            wanted = 2
            wanted = max(wanted, math.ceil(seen.in_flight / (SLOTS_SHARE * self._engine.slots)))
            places = self._engine.max_adapters
            if places:
                wanted = max(wanted, math.ceil(self._active_adapters.get(name, 0) / places))
        most = max(2, int(len(self._lasting) * MOST_COPIES_SHARE))
        return min(wanted, most, len(self._lasting))

    def _load_of(self, server: ServerView) -> float:
        load = 0.0
        for name in server.held:
            seen = self._demand.models.get(name)
            if seen is not None and seen.rate >= BUSY_RATE:
                load += seen.rate / max(1, self._copies_of(name).count)
        return load

    def _is_adapter(self, ref: ModelRef) -> bool:
        model = self._models.get(ref.model)
        if model is None or not ref.adapter.startswith("a") or not ref.adapter[1:].isdecimal():
            return False
        return 1 <= int(ref.adapter[1:]) <= model.adapters

    # 1. Models that are waited for

    def load_waiting_models(self) -> None:
        """Models that requests wait for and no lasting server has or loads."""
        waiting = [
            (name, seen)
            for name, seen in self._demand.models.items()
            if name in self._models and self._is_missed(name)
        ]
        waiting.sort(key=lambda item: _urgency(item[0], item[1], self._demand.at))
        failures = 0
        for name, seen in waiting:
            if not self._free or failures >= MOST_TRIED:
                break
            if not self._place_model(name, self._most_for_waiting(seen), self._at_once):
                failures += 1
        self._blocked_waiting = failures > 0 or not self._free

    def _is_missed(self, name: str) -> bool:
        return self._demand.models[name].waiting > 0 and not self._copies_of(name).count

    def _most_for_waiting(self, seen: RefDemand) -> float:
        """Value that may be given up: little at first, as a better server may be free soon."""
        waited = max(0.0, self._demand.at - seen.waiting_since)
        return min(MOST_FOR_WAITING, MOST_FOR_JUST_WAITING + round(waited, 1))

    # 2. Adapters that are waited for

    def load_waiting_adapters(self) -> None:
        """Adapters that requests wait for, where their model is held."""
        waiting = [
            (ref, seen)
            for ref, seen in self._demand.adapters.items()
            if seen.waiting and self._is_adapter(ref) and not self._adapter_copies(ref)
        ]
        now = self._demand.at
        waiting.sort(key=lambda item: _urgency(f"{item[0].model}/{item[0].adapter}", item[1], now))
        for ref, _ in waiting:
            self._place_adapter(ref, MOST_FOR_WAITING)

    # 3. Copies that demand wants

    def load_spare_models(self) -> None:
        """Models with fewer lasting copies than wanted, the worst off first."""
        short = [
            (name, self._demand.models[name])
            for name, wanted in self._wanted.items()
            if wanted > self._copies_of(name).count and not self._is_missed(name)
        ]
        short.sort(key=lambda item: (self._copies_of(item[0]).count, -item[1].rate, item[0]))
        for name, _ in short:
            lost = not self._copies_of(name).count
            most_loads = self._at_once if lost else min(MOST_SPARE_LOADS, self._at_once)
            if ModelRef(name) not in self._purposes and self._loading + len(self._purposes) < most_loads:
                self._place_model(name, MOST_FOR_SPARE, most_loads)

    def load_spare_adapters(self) -> None:
        """Adapters in use that have too few copies."""
        for ref, seen in self._demand.adapters.items():
            if seen.waiting or seen.rate < KEEP_RATE or not self._is_adapter(ref):
                continue
            wanted = 2 if seen.rate >= BUSY_ADAPTER_RATE else 1
            wanted = min(wanted, max(1, self._copies_of(ref.model).ready))
            if self._adapter_copies(ref) < wanted:
                self._place_adapter(ref, MOST_FOR_SPARE)

    # 4. Room

    def make_room(self) -> None:
        """Unload what is worth least on a few servers, so that the next miss needs no unload first."""
        if self._blocked_waiting or not self._demand.misses_per_s:
            return
        most = int(len(self._lasting) * ROOM_SERVERS_SHARE)
        wanted = min(most, int(self._demand.misses_per_s * ROOM_S + 0.5))
        size = self._typical_mb()
        roomy = [server for server in self._lasting if self._is_roomy(server, size)]
        missing = wanted - len(roomy)
        for _ in range(missing):
            if not self._make_room_once(size):
                return

    def _typical_mb(self) -> float:
        """Size that fits most models that are on no server."""
        away = sorted(model.weights_mb for name, model in self._models.items() if name not in self._copies)
        return away[int(len(away) * 0.9)] if away else math.inf

    def _is_roomy(self, server: ServerView, size: float) -> bool:
        """Whether it has or gets room that nothing is to take."""
        spoken_for = server.purpose or server.reserved_for or server.id in self._taken
        return not spoken_for and self._has_room(server, size)

    def _has_room(self, server: ServerView, size: float) -> bool:
        freed = 0.0
        if server.going is not None:
            freed = self._freed_mb(server, server.going)
        return server.free_mb + freed - MEMORY_SLACK_MB >= size

    def _make_room_once(self, size: float) -> bool:
        best: tuple[float, str, str] | None = None
        for server in self._free.values():
            if server.reserved_for is not None or self._has_room(server, size):
                continue
            for value, name in self._ranking(server):
                if value > MOST_FOR_ROOM or (best is not None and (value, server.id) >= best[:2]):
                    break
                if self._in_flight(name) or not self._makes_room(server, name, size):
                    continue
                best = (value, server.id, name)
                break
        if best is None:
            return False
        self._order(self._free[best[1]], Operation.UNLOAD, ModelRef(best[2]))
        return True

    def _makes_room(self, server: ServerView, name: str, size: float) -> bool:
        return server.free_mb + self._freed_mb(server, ModelRef(name)) - MEMORY_SLACK_MB >= size

    # Values

    def _value(self, server: ServerView, name: str) -> float:
        """What the copy of a model on a server is worth; infinite where it must stay."""
        value = self._values.get(name)
        if value is None:
            value = self._model_value(name)
            self._values[name] = value
        if not server.lasting:
            return 0.0
        return value

    def _model_value(self, name: str) -> float:
        seen = self._demand.models.get(name)
        copies = self._copies_of(name)
        if name not in self._models:
            return 0.0 if seen is None or not seen.in_flight else EXTRA_VALUE
        if copies.ready > max(1, self._wanted.get(name, 0)):
            return EXTRA_VALUE if seen is not None and seen.idle_s < SILENT_S else 0.0
        if seen is None:
            return UNSEEN_VALUE
        if copies.ready > 1:
            return SECOND_VALUE + seen.rate / copies.ready
        if seen.waiting or seen.in_flight:
            return math.inf
        recent = RECENT_VALUE * max(0.0, 1.0 - seen.idle_s / RECENT_S)
        return seen.rate + recent

    def _adapter_value(self, ref: ModelRef) -> float:
        seen = self._demand.of(ref)
        if self._adapter_copies(ref) > 1:
            return seen.rate / 2
        if seen.waiting or seen.in_flight:
            return math.inf
        return seen.rate + RECENT_VALUE * max(0.0, 1.0 - seen.idle_s / RECENT_S)

    def _in_flight(self, name: str) -> bool:
        seen = self._demand.models.get(name)
        return seen is not None and seen.in_flight > 0

    def _freed_mb(self, server: ServerView, ref: ModelRef) -> float:
        if ref.adapter:
            return self._finite(self._sizes.adapter_mb(ref.model))
        held = server.held.get(ref.model)
        return self._finite(self._sizes.held_mb(held)) if held is not None else 0.0

    @staticmethod
    def _finite(mb: float) -> float:
        return mb if math.isfinite(mb) else 0.0

    # Placing a model

    def _place_model(self, name: str, most_value: float, most_loads: int) -> bool:
        """Order the load of a model, or the unload that it needs first. False where neither can be now."""
        ref = ModelRef(name)
        if ref in self._purposes:
            return True
        place = self._best_place(name, most_value, most_loads)
        if place is None:
            return False
        if place.victims:
            self._order(place.server, Operation.UNLOAD, place.victims[0], purpose=ref)
            self._purposes.add(ref)
            return True
        self._order_load(place.server, name)
        return True

    def _may_make_room(self) -> bool:
        return len(self._purposes) + len(self._reserved) < MOST_MAKING_ROOM

    def _order_load(self, server: ServerView, name: str) -> None:
        cold = name not in server.held_before
        self._loading += 1
        self._tokens -= 1 if cold else 0
        self._order(server, Operation.LOAD, ModelRef(name), from_store=cold)

    def _best_place(self, name: str, most_value: float, most_loads: int) -> _Place | None:
        best: _Place | None = None
        held_up: _Place | None = None
        may_make_room = self._may_make_room()
        for server in self._free.values():
            if name in server.held or server.id in self._reserved:
                continue
            if not may_make_room and server.free_mb < self._models[name].weights_mb + MEMORY_SLACK_MB:
                continue
            if self._kept_for_another(server, name):
                continue
            place = self._place_on(server, name, most_value)
            if place is None:
                continue
            if place.victims or self._may_load(server, name, most_loads):
                best = _cheaper(best, place)
            else:
                held_up = _cheaper(held_up, place)
        if held_up is None or (best is not None and not best.victims):
            return best
        self._reserved.add(held_up.server.id)  # it has room: nothing need be unloaded while the store is busy
        return None

    def _kept_for_another(self, server: ServerView, name: str) -> bool:
        kept_for = server.reserved_for
        if kept_for is None or kept_for.model == name:
            return False
        if kept_for.adapter:
            return not self._adapter_copies(kept_for)
        return not self._copies_of(kept_for.model).count

    def _may_load(self, server: ServerView, name: str, most_loads: int) -> bool:
        if self._loading >= most_loads:
            return False
        return self._tokens >= 1 or name in server.held_before

    def _place_on(self, server: ServerView, name: str, most_value: float) -> _Place | None:
        model = self._models[name]
        if server.free_mb == -math.inf:
            return self._place_beside_unknown(server, model)
        if model.weights_mb > self._reach_mb(server, most_value):
            return None
        need = model.weights_mb + MEMORY_SLACK_MB - server.free_mb
        victims: tuple[ModelRef, ...] = ()
        given_up = 0.0
        if need > 0:
            chosen = self._victims(server, need, most_value)
            if chosen is None:
                return None
            victims, given_up = chosen
        cost = model.load_time_s + VALUE_S * given_up
        for victim in victims:
            cost += RUNS_S if self._in_flight(victim.model) else UNLOAD_S
        return _Place(server, victims, cost + self._standing_cost(server, model))

    def _place_beside_unknown(self, server: ServerView, model: Model) -> _Place | None:
        """What has no size that is known counts as all memory until it is gone, so it goes first."""
        unknown = [held for held in server.held if math.isinf(self._sizes.weights_mb(held))]
        if not unknown:
            return None
        return _Place(server, (ModelRef(min(unknown)),), model.load_time_s + RUNS_S)

    def _reach_mb(self, server: ServerView, most_value: float) -> float:
        """Memory that a server has after giving up all copies of at most that value."""
        reach = self._reach.get((server.id, most_value))
        if reach is None:
            reach = server.free_mb
            for value, name in self._ranking(server):
                if value > most_value:
                    break
                reach += self._freed_mb(server, ModelRef(name))
            self._reach[server.id, most_value] = reach
        return reach

    def _standing_cost(self, server: ServerView, model: Model) -> float:
        cost = BUSY_LOAD_S * self._load[server.id]
        if model.name not in server.held_before:
            cost += COLD_S
        if server.id in self._adapter_hosts:
            cost += ADAPTER_HOST_S
        if any(copy.zone == server.zone for copy in self._copies_of(model.name).servers):
            cost += SAME_ZONE_S
        return cost

    def _ranking(self, server: ServerView) -> list[tuple[float, str]]:
        ranking = self._ranked.get(server.id)
        if ranking is None:
            ranking = sorted((self._value(server, name), name) for name in server.held)
            self._ranked[server.id] = ranking
        return ranking

    def _victims(
        self, server: ServerView, need_mb: float, most_value: float
    ) -> tuple[tuple[ModelRef, ...], float] | None:
        """Models whose unload frees that much, at the least value; None where the value is too high."""
        chosen: list[tuple[float, str, float]] = []
        freed = 0.0
        for value, name in self._ranking(server):
            if freed >= need_mb or value > most_value:
                break
            size = self._freed_mb(server, ModelRef(name))
            chosen.append((value, name, size))
            freed += size
        if freed < need_mb:
            return None
        for entry in reversed(chosen[:]):
            if freed - entry[2] >= need_mb:
                chosen.remove(entry)
                freed -= entry[2]
        total = sum(value for value, _, _ in chosen)
        if total > most_value:
            return None
        return tuple(ModelRef(name) for _, name, _ in chosen), total

    # Placing an adapter

    def _place_adapter(self, ref: ModelRef, most_value: float) -> bool:
        if ref in self._purposes:
            return True
        best: tuple[float, str, ModelRef | None] | None = None
        for server in self._free.values():
            if not server.has(ModelRef(ref.model)) or server.has(ref):
                continue
            placed = self._adapter_place_on(server, ref, most_value)
            if placed is None:
                continue
            cost, victim = placed
            if best is None or (cost, server.id) < best[:2]:
                best = (cost, server.id, victim)
        if best is None:
            return False
        server = self._free[best[1]]
        if best[2] is None:
            self._order(server, Operation.LOAD, ref)
        else:
            self._order(server, Operation.UNLOAD, best[2], purpose=ref)
            self._purposes.add(ref)
        return True

    def _adapter_place_on(
        self, server: ServerView, ref: ModelRef, most_value: float
    ) -> tuple[float, ModelRef | None] | None:
        """Cost of an adapter on a server, and the adapter that must go first."""
        size = self._sizes.adapter_mb(ref.model) + MEMORY_SLACK_MB
        if server.free_adapters >= 1 and server.free_mb >= size:
            return 1.0 / (1.0 + server.free_adapters), None
        best: tuple[float, ModelRef] | None = None
        for held in server.held.values():
            for adapter in sorted(held.adapters):
                victim = ModelRef(held.name, adapter)
                if server.free_mb + self._freed_mb(server, victim) < size:
                    continue
                value = self._adapter_value(victim)
                if value <= most_value and (best is None or value < best[0]):
                    best = (value, victim)
        if best is None:
            return None
        return 1.0 + UNLOAD_S + VALUE_S * best[0], best[1]

    def _order(
        self,
        server: ServerView,
        operation: Operation,
        ref: ModelRef,
        *,
        purpose: ModelRef | None = None,
        from_store: bool = False,
    ) -> None:
        self.orders.append(Order(server.id, operation, ref, purpose, from_store))
        del self._free[server.id]
        if operation is Operation.UNLOAD and ref.adapter:
            self._dropped.add((server.id, ref))
        if purpose is not None or not (ref.adapter or operation is Operation.UNLOAD):
            self._taken.add(server.id)
        if operation is Operation.LOAD and not ref.adapter:
            copies = self._copies.setdefault(ref.model, _Copies())
            copies.servers.append(server)
        if operation is Operation.UNLOAD and not ref.adapter and server.lasting:
            self._forget_copy(server, ref.model)

    def _forget_copy(self, server: ServerView, name: str) -> None:
        copies = self._copies.get(name)
        if copies is None:
            return
        copies.servers = [kept for kept in copies.servers if kept.id != server.id]
        copies.ready -= 1
        self._values.pop(name, None)
        self._ranked.clear()
        self._reach.clear()


def _cheaper(best: _Place | None, place: _Place) -> _Place:
    if best is None or (place.cost, place.server.id) < (best.cost, best.server.id):
        return place
    return best


def _urgency(name: str, seen: RefDemand, now: float) -> tuple[float, str]:
    """Sort key, the most urgent first: by what waits and will soon, its priority, and for how long."""
    weight = PRIORITY_WEIGHTS[min(max(seen.priority, 0), len(PRIORITY_WEIGHTS) - 1)]
    waited = max(0.0, now - seen.waiting_since)
    return (-weight * (seen.waiting + seen.rate) * (WAITED_S + waited), name)
