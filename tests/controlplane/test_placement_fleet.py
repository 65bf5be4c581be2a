"""Placement against a small simulated fleet of engine servers in virtual time.

The fleet simulates loaded models, loads, the age of reports, and lost answers. It checks the rules ONE
(orders only with the lease), LIMIT (memory and adapters) and CEILING (rate of loads from the store). The
tests here and in test_placement_faults.py apply demand and faults to it.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from granitewell.controlplane.placement.observation import ListedServer
from granitewell.controlplane.placement.orders import (
    Operation,
    Order,
    OrderResult,
    OrderTicket,
    Report,
    ReportFailure,
)
from granitewell.controlplane.placement.reconciler import PlacementReconciler
from granitewell.controlplane.placement.steps import Poll, Send
from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelDemand, ModelRef, ServerState

SERVICE = "llm"
NETWORK_S = 0.002  # one way
LIST_S = 0.5  # between reads of the platform's list
LIST_LAG_S = 0.8
PUBLISH_S = 0.05  # until edges know of a change
DEMAND_S = 0.25
ADAPTER_S = 0.01
ZONES = ("za", "zb", "zc", "zd")


def engine_of(models: Sequence[Model], weights_mb: float = 200_000.0, loads_per_s: float = 5.2) -> Engine:
    return Engine(
        slots=64, models=tuple(models), weights_mb=weights_mb, max_adapters=8, loads_per_s=loads_per_s
    )


def typical_models(count: int = 66) -> list[Model]:
    """Return models with the sizes of the deployments: about 72.7, 65.5 and 34.3 GB."""
    sizes = (65_100.0, 72_700.0, 72_700.0, 65_500.0, 72_700.0, 34_300.0)
    adapters = {0: 28, 2: 13, 4: 10, 6: 11}
    return [
        Model(f"m{i}", sizes[i % len(sizes)], 0.6, adapters.get(i, 0), 40.0 if i in adapters else 0.0)
        for i in range(count)
    ]


class EngineServer:
    """State of one simulated server.

    Attributes:
        snapshots: Its reports, with the time from which each is valid.
    """

    def __init__(self, server_id: str, address: str, zone: str, now: float) -> None:
        self.id = server_id
        self.address = address
        self.zone = zone
        self.state = ServerState.READY
        self.remaining_ms = -1
        self.up = True
        self.unresponsive = False
        self.held: dict[str, set[str]] = {}
        self.versions: dict[str, int] = {}
        self.sequence = 0
        self.fencing_token = 0
        self.order: Order | None = None
        self.running: Counter[str] = Counter()
        self.on_disk: set[str] = set()
        self.snapshots: deque[tuple[float, Report]] = deque(maxlen=64)
        self.note(now)

    def hold(self, now: float, *names: str) -> None:
        for name in names:
            self.held[name] = set()
            self.on_disk.add(name)
        self.snapshots.clear()  # they are loaded from its start on
        self.note(now)

    def models(self) -> tuple[LoadedModel, ...]:
        return tuple(
            LoadedModel(name, frozenset(adapters), self.versions.get(name, 0))
            for name, adapters in self.held.items()
        )

    def note(self, now: float) -> None:
        models = {model.name: model for model in self.models()}
        self.snapshots.append((now, Report(self.sequence, self.order is not None, models)))

    def snapshot(self, at: float) -> Report:
        found = self.snapshots[0][1]
        for since, report in self.snapshots:
            if since <= at:
                found = report
        return found


@dataclass
class Observations:
    """Recorded events and rule violations."""

    store_loads: list[float] = field(default_factory=list)
    over_limit: list[str] = field(default_factory=list)
    orders: Counter[str] = field(default_factory=Counter)
    statuses: Counter[OrderResult] = field(default_factory=Counter)
    served: list[tuple[float, ModelRef, float]] = field(
        default_factory=list
    )  # time of the request, model, time waited
    given_up: list[tuple[float, ModelRef]] = field(default_factory=list)
    misdirected: int = 0
    polls: int = 0
    unfenced: int = 0
    unloads: list[tuple[float, str, ModelRef]] = field(default_factory=list)

    def max_loads(self, window_s: float) -> int:
        most = 0
        for index, start in enumerate(self.store_loads):
            most = max(most, sum(1 for at in self.store_loads[index:] if at <= start + window_s))
        return most


@dataclass
class _Waiting:
    ref: ModelRef
    asked_at: float
    deadline: float
    run_s: float
    priority: int


class Fleet:
    """Servers, the platform's list, edges as one, the network, and the reconciler under test."""

    def __init__(self, engine: Engine, servers: int, seed: int = 1, concurrent_loads: int = 3) -> None:
        self.now = 100.0
        self.rng = Random(seed)
        self.engine = engine
        self.sizes = {model.name: model for model in engine.models}
        self.concurrent_loads = concurrent_loads
        self.report_lag_s = 0.1
        self.lose_answers = 0.0
        self.lose_orders = 0.0
        self.delay_orders = 0.0
        self.check_revision = True
        self.may_order = True
        self.fencing_token = 7
        self.newest: dict[str, int] = {}  # by model: version that a load brings
        self.observed = Observations()
        self.servers: dict[str, EngineServer] = {}
        self._names = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._lists: deque[tuple[float, list[ListedServer]]] = deque(maxlen=64)
        self._edge_table: dict[str, dict[str, LoadedModel]] = {}
        self._waiting: list[_Waiting] = []
        self._requests: Counter[ModelRef] = Counter()
        self._in_flight: Counter[ModelRef] = Counter()
        self._told: set[ModelRef] = set()
        self._loads = 0
        self.reconciler = PlacementReconciler(Random(seed + 1))
        for _ in range(servers):
            self.add_server()

    # Time

    def at(self, when: float, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (max(when, self.now), self._count, what))

    def after(self, delay: float, what: Callable[[], None]) -> None:
        self.at(self.now + delay, what)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            wake = self.reconciler.next_at()
            first = self._heap[0][0] if self._heap else end
            if min(wake, first) > end:
                break
            if first <= wake:
                when, _, what = heapq.heappop(self._heap)
                self.now = max(self.now, when)
                what()
            else:
                self.now = max(self.now, wake)
            self._step()
        self.now = end

    def start(self) -> None:
        self.reconciler.set_engine(self.now, self.engine, 1.0)
        self._read_list()
        self.reconciler.start(self.now)
        self._publish()
        self.after(DEMAND_S, self._report_demand)

    def _step(self) -> None:
        if self.now < self.reconciler.next_at():
            self._publish()
            return
        for step in self.reconciler.due(self.now, "node-1", self.fencing_token, self.may_order):
            if isinstance(step, Poll):
                self._poll(step)
            else:
                self._send(step)
        self._publish()

    # The platform

    def add_server(self, address: str = "") -> EngineServer:
        self._names += 1
        zone = ZONES[self._names % len(ZONES)]
        server = EngineServer(f"i-{self._names}", address or f"10.0.0.{self._names}:80", zone, self.now)
        self.servers[server.id] = server
        return server

    def crash(self, server_id: str, back_after: float | None = None) -> None:
        """Crash a server; the list still shows it for some seconds. Its successor starts empty."""
        server = self.servers[server_id]
        server.up = False
        self.after(3.0, partial(self._remove, server_id))
        if back_after is not None:
            self.after(back_after, partial(self._restart, server.address))

    def _remove(self, server_id: str) -> None:
        self.servers.pop(server_id, None)

    def _restart(self, address: str) -> None:
        self.add_server(address)

    def listed(self) -> list[ListedServer]:
        """Return the platform's list with its usual lag."""
        entries = [
            ListedServer(s.id, s.address, s.zone, s.state, 64, s.remaining_ms, s.models())
            for s in self.servers.values()
        ]
        self._lists.append((self.now, entries))
        seen = self._lists[0][1]
        for at, listed in self._lists:
            if at <= self.now - LIST_LAG_S:
                seen = listed
        return seen

    def _read_list(self) -> None:
        self.reconciler.set_servers(self.now, self.listed())
        self.after(LIST_S, self._read_list)

    # The network

    def _by_address(self, address: str) -> EngineServer | None:
        live = [s for s in self.servers.values() if s.address == address and s.up]
        return live[0] if live else None

    def _poll(self, step: Poll) -> None:
        self.observed.polls += 1
        asker, asked_at = self.reconciler, self.now

        def arrive() -> None:
            server = self._by_address(step.address)
            answer: Report | ReportFailure
            delay = NETWORK_S
            if server is None:
                answer = ReportFailure.REFUSED
            elif server.unresponsive:
                answer, delay = ReportFailure.NO_ANSWER, 0.5
            elif server.id != step.server_id:
                answer = ReportFailure.OTHER_SERVER
            else:
                answer = server.snapshot(self.now - self.report_lag_s)
            self.after(delay, lambda: asker.on_report(self.now, step.server_id, asked_at, answer))

        self.after(NETWORK_S, arrive)

    def _send(self, step: Send) -> None:
        if not self.may_order:
            self.observed.unfenced += 1
        if self.rng.random() < self.lose_orders:
            self._answer_order(step, OrderResult.UNKNOWN, 0.8)
            return
        if self.rng.random() < self.delay_orders:
            self._answer_order(step, OrderResult.UNKNOWN, 0.8)
            self.after(self.rng.uniform(0.3, 3.0), lambda: self._arrive_late(step))
            return

        def arrive() -> None:
            server = self._by_address(step.address)
            if server is None:
                self._answer_order(step, OrderResult.NOT_SENT, NETWORK_S)
                return
            if server.unresponsive:
                self._answer_order(step, OrderResult.UNKNOWN, 0.8)
                return
            if not self.delay_orders:
                self._check_limit(server, step.order)
            result = self._take(server, step.order, step.ticket)
            if result is OrderResult.ACCEPTED:
                self._check_limit(server, step.order)
            self.observed.statuses[result] += 1
            if self.rng.random() < self.lose_answers:
                self._answer_order(step, OrderResult.UNKNOWN, self.rng.choice((0.01, 0.8)))
            else:
                self._answer_order(step, result, NETWORK_S)

        self.after(NETWORK_S, arrive)

    def _arrive_late(self, step: Send) -> None:
        server = self._by_address(step.address)
        if server is not None and self._take(server, step.order, step.ticket) is OrderResult.ACCEPTED:
            self._check_limit(server, step.order)

    def _answer_order(self, step: Send, result: OrderResult, delay: float) -> None:
        asker, token = self.reconciler, step.ticket.fencing_token
        self.after(delay, lambda: asker.on_order(self.now, step.order, token, result))

    # Execution of orders

    def _take(self, server: EngineServer, order: Order, ticket: OrderTicket) -> OrderResult:
        if server.id != order.server_id:
            return OrderResult.OTHER_SERVER
        if ticket.fencing_token < server.fencing_token:
            return OrderResult.FENCED
        server.fencing_token = ticket.fencing_token
        if server.order is not None or (self.check_revision and server.sequence != ticket.revision):
            return OrderResult.CONFLICT
        held = server.held.get(order.ref.model)
        if order.ref.adapter and held is None:
            return OrderResult.INVALID
        present = held is not None and (not order.ref.adapter or order.ref.adapter in held)
        if present is (order.operation is Operation.LOAD):
            return OrderResult.ALREADY_DONE
        server.sequence += 1
        server.order = order
        server.note(self.now)
        self.observed.orders[f"{order.operation.value}{'/a' if order.ref.adapter else ''}"] += 1
        if order.operation is Operation.LOAD:
            self._begin_load(server, order)
        else:
            self.observed.unloads.append((self.now, server.id, order.ref))
            self._unload(server, order)
        return OrderResult.ACCEPTED

    def _begin_load(self, server: EngineServer, order: Order) -> None:
        if order.ref.adapter:
            self.after(ADAPTER_S, lambda: self._done(server, order))
            return
        nominal = self.sizes[order.ref.model].load_time_s
        if order.ref.model in server.on_disk:
            self.after(nominal * 0.9, lambda: self._done(server, order))
            return
        self.observed.store_loads.append(self.now)
        self._loads += 1
        slowness = max(1.0, self._loads / self.concurrent_loads)

        def done() -> None:
            self._loads -= 1
            self._done(server, order)

        self.after(nominal * slowness, done)

    def _check_limit(self, server: EngineServer, order: Order) -> None:
        """Check the memory and the adapters of a server with this order and the load in progress.

        An order is checked on arrival, accepted or not. With late orders it is checked only on acceptance,
        because two orders with one revision may then both arrive.
        """
        loads = {
            found.ref
            for found in (order, server.order)
            if found is not None and found.operation is Operation.LOAD and not _has_loaded(server, found.ref)
        }
        if order.operation is not Operation.LOAD:
            return
        mb = sum(self._ref_mb(ref) for ref in loads)
        count = sum(1 for ref in loads if ref.adapter)
        for name, adapters in server.held.items():
            mb += self.sizes[name].weights_mb + len(adapters) * self.sizes[name].adapter_mb
            count += len(adapters)
        if mb > self.engine.weights_mb or count > self.engine.max_adapters:
            self.observed.over_limit.append(f"{server.id} {order} {mb} {count}")

    def _ref_mb(self, ref: ModelRef) -> float:
        model = self.sizes[ref.model]
        return model.adapter_mb if ref.adapter else model.weights_mb

    def _unload(self, server: EngineServer, order: Order) -> None:
        if server.running[order.ref.model]:
            self.after(0.05, lambda: self._unload(server, order))
        else:
            self.after(0.01, lambda: self._done(server, order))

    def _done(self, server: EngineServer, order: Order) -> None:
        if not server.up:
            return
        server.order = None
        ref = order.ref
        if order.operation is Operation.LOAD:
            server.held.setdefault(ref.model, set())
            if not ref.adapter and ref.model in self.newest:
                server.versions[ref.model] = self.newest[ref.model]
            if ref.adapter:
                server.held[ref.model].add(ref.adapter)
            server.on_disk.add(ref.model)
        elif ref.adapter:
            server.held[ref.model].discard(ref.adapter)
        else:
            del server.held[ref.model]
        server.note(self.now)

    # Edges

    def _publish(self) -> None:
        changed = self.reconciler.take_changes()
        if not changed:
            return
        news = {server_id: dict(self.reconciler.ready_models(server_id)) for server_id in changed}

        def learn() -> None:
            self._edge_table.update(news)
            waiting, self._waiting = self._waiting, []
            for request in waiting:
                self._dispatch(request)

        self.after(PUBLISH_S, learn)

    def ask(self, ref: ModelRef, deadline_s: float = 6.0, run_s: float = 0.3, priority: int = 5) -> None:
        self._requests[ref] += 1
        self._dispatch(_Waiting(ref, self.now, self.now + deadline_s, run_s, priority))

    def _dispatch(self, request: _Waiting) -> None:
        if self.now >= request.deadline:
            self.observed.given_up.append((request.asked_at, request.ref))
            return
        server = self._server_for(request.ref)
        if server is None:
            self._wait(request)
            return
        held = server.held.get(request.ref.model)
        if held is None or (request.ref.adapter and request.ref.adapter not in held):
            self.observed.misdirected += 1
            self._wait(request)
            return
        self.observed.served.append((request.asked_at, request.ref, self.now - request.asked_at))
        server.running[request.ref.model] += 1
        self._in_flight[request.ref] += 1

        def ended() -> None:
            server.running[request.ref.model] -= 1
            self._in_flight[request.ref] -= 1

        self.after(request.run_s, ended)

    def _server_for(self, ref: ModelRef) -> EngineServer | None:
        able = [
            self.servers[server_id]
            for server_id, ready in self._edge_table.items()
            if server_id in self.servers and _has(ready, ref)
        ]
        able = [s for s in able if s.up and not s.unresponsive and s.state is ServerState.READY]
        return self.rng.choice(able) if able else None

    def _wait(self, request: _Waiting) -> None:
        self._waiting.append(request)
        waiting = sum(1 for other in self._waiting if other.ref == request.ref)
        demand = ModelDemand(SERVICE, request.ref, self._requests.pop(request.ref, 0), waiting,
                             self._in_flight[request.ref], request.priority)  # fmt: skip
        self.after(0.005, lambda: self.reconciler.add_demand(self.now, [demand]))
        self.after(max(0.0, request.deadline - self.now), lambda: self._expire(request))

    def _expire(self, request: _Waiting) -> None:
        if request in self._waiting:
            self._waiting.remove(request)
            self.observed.given_up.append((request.asked_at, request.ref))

    def _report_demand(self) -> None:
        waiting = Counter(request.ref for request in self._waiting)
        refs = {ref for ref in (*self._requests, *waiting, *self._in_flight) if _is_any_positive(
            self._requests[ref], waiting[ref], self._in_flight[ref])}  # fmt: skip
        demands = [
            ModelDemand(SERVICE, ref, self._requests[ref], waiting[ref], self._in_flight[ref])
            for ref in refs | self._told
        ]
        self._told = refs
        self._requests.clear()
        self.reconciler.add_demand(self.now, demands)
        self.after(DEMAND_S, self._report_demand)

    def poisson(self, rate: float, seconds: float, what: Callable[[], None]) -> None:
        """Schedule an event at random times, as a Poisson process."""
        at = self.now + self.rng.expovariate(rate)
        end = self.now + seconds
        while at < end:
            self.at(at, what)
            at += self.rng.expovariate(rate)

    def copies(self, name: str) -> int:
        return sum(1 for server in self.servers.values() if server.up and name in server.held)

    def assert_rules(self) -> None:
        """Assert the rules that placement must keep."""
        assert self.observed.over_limit == []
        window = 5.0
        assert self.observed.max_loads(window) <= self.engine.loads_per_s * window * 1.1 + 3
        assert self.observed.unfenced == 0


def _has_loaded(server: EngineServer, ref: ModelRef) -> bool:
    held = server.held.get(ref.model)
    return held is not None and (not ref.adapter or ref.adapter in held)


def _is_any_positive(*figures: int) -> bool:
    return any(figures)


def _has(ready: dict[str, LoadedModel], ref: ModelRef) -> bool:
    held = ready.get(ref.model)
    return held is not None and (not ref.adapter or ref.adapter in held.adapters)


def typical_fleet(seed: int = 1, servers: int = 9, models: int = 66) -> Fleet:
    """Return a fleet with busy models on two servers each, and others on one each as far as they fit."""
    fleet = Fleet(engine_of(typical_models(models)), servers, seed)
    spread = list(fleet.servers.values())
    room = {server.id: fleet.engine.weights_mb for server in spread}
    wanted = [f"m{i}" for i in range(6)] * 2 + [f"m{i}" for i in range(6, models)]
    for name in wanted:
        size = fleet.sizes[name].weights_mb
        able = [s for s in spread if room[s.id] >= size and name not in s.held]
        if able:
            server = max(able, key=lambda s: (room[s.id], s.id))
            server.hold(fleet.now, name)
            room[server.id] -= size
    return fleet


def play_typical(fleet: Fleet, seconds: float, busy: Sequence[str]) -> None:
    """Play traffic as in the deployments: six busy models, some with adapters, and many rare ones."""
    rng = fleet.rng

    def busy_request() -> None:
        fleet.ask(ModelRef(rng.choice(busy)), 5.0, 0.35, 1)

    def adapter_request() -> None:
        name = rng.choice(busy)
        count = fleet.sizes[name].adapters
        adapter = f"a{rng.randint(1, count)}" if count and rng.random() < 0.5 else ""
        fleet.ask(ModelRef(name, adapter), 15.0, 1.8, 2)

    def rare_request() -> None:
        fleet.ask(ModelRef(f"m{rng.randint(15, len(fleet.engine.models) - 1)}"), 6.0, 0.35, 0)

    fleet.poisson(20.6, seconds, busy_request)
    fleet.poisson(5.65, seconds, adapter_request)
    fleet.poisson(2.87, seconds, rare_request)


# Idle fleet and typical traffic


def tiny_fleet(*held: Sequence[str], models: int = 12, adapters: int = 0) -> Fleet:
    """Return a fleet with one server per argument, with models of 60 GB, of which three fit on a server."""
    listed = [Model(f"m{i}", 60_000.0, 0.6, adapters, 40.0) for i in range(models)]
    fleet = Fleet(engine_of(listed), 0)
    for names in held:
        fleet.add_server().hold(fleet.now, *names)
    return fleet


def test_a_rare_model_is_loaded_where_there_is_capacity() -> None:
    fleet = tiny_fleet(("m0", "m1"), ("m2",), ("m3", "m4", "m5"))
    fleet.start()
    fleet.run(2.0)
    fleet.ask(ModelRef("m9"))
    fleet.run(2.0)
    ((_, ref, waited),) = fleet.observed.served
    assert ref == ModelRef("m9") and waited < 0.6 + 0.1 + PUBLISH_S + 0.1
    assert fleet.observed.unloads == []
    fleet.assert_rules()


def test_without_capacity_the_least_requested_model_is_evicted() -> None:
    fleet = tiny_fleet(("m0", "m1", "m2"), ("m3", "m4", "m5"))
    fleet.start()
    fleet.run(2.0)
    for name in ("m0", "m1", "m2", "m3", "m5"):
        fleet.ask(ModelRef(name))
    fleet.run(8.0)
    fleet.ask(ModelRef("m9"))
    fleet.run(2.0)
    assert fleet.observed.served[-1][1] == ModelRef("m9")
    assert fleet.observed.served[-1][2] < 0.6 + 0.1 + PUBLISH_S + 0.4
    assert [ref.model for _, _, ref in fleet.observed.unloads] == ["m4"]
    fleet.assert_rules()


def test_a_model_in_use_is_not_unloaded() -> None:
    fleet = tiny_fleet(("m0", "m1", "m2"))
    fleet.start()
    fleet.run(2.0)
    for name in ("m0", "m1", "m2"):
        fleet.ask(ModelRef(name), run_s=6.0)
    fleet.run(0.5)
    fleet.ask(ModelRef("m9"), deadline_s=10.0)
    fleet.run(4.0)
    assert fleet.observed.unloads == []
    fleet.run(5.0)
    assert fleet.observed.served[-1][1] == ModelRef("m9")
    fleet.assert_rules()


def test_an_adapter_is_loaded_beside_its_model() -> None:
    fleet = tiny_fleet(("m0",), ("m1",), adapters=20)
    fleet.start()
    fleet.run(2.0)
    fleet.ask(ModelRef("m1", "a3"))
    fleet.run(1.0)
    ((_, ref, waited),) = fleet.observed.served
    assert ref == ModelRef("m1", "a3") and waited < 0.3
    fleet.assert_rules()


def test_adapters_replace_each_other() -> None:
    fleet = tiny_fleet(("m0",), adapters=20)
    fleet.start()
    fleet.run(2.0)
    for number in range(1, 21):
        fleet.at(fleet.now + 0.7 * number, partial(fleet.ask, ModelRef("m0", f"a{number}")))
    fleet.run(18.0)
    assert len(fleet.observed.served) == 20
    assert max(waited for _, _, waited in fleet.observed.served) < 0.8
    fleet.assert_rules()


def test_an_adapter_that_the_model_does_not_have_is_not_ordered() -> None:
    fleet = tiny_fleet(("m0",), adapters=3)
    fleet.start()
    fleet.run(2.0)
    for adapter in ("a4", "a0", "b1", "a", "a-1"):
        fleet.ask(ModelRef("m0", adapter))
    fleet.ask(ModelRef("unheard"))
    fleet.run(3.0)
    assert not fleet.observed.statuses
    fleet.assert_rules()


def test_a_busy_model_gets_a_second_copy_in_another_zone() -> None:
    fleet = tiny_fleet(("m0",), ("m1",), ("m2",), ("m3",))
    fleet.start()
    fleet.run(1.0)
    fleet.poisson(6.0, 4.0, lambda: fleet.ask(ModelRef("m0")))
    fleet.run(3.0)
    holders = [server for server in fleet.servers.values() if "m0" in server.held]
    assert len(holders) == 2
    assert len({server.zone for server in holders}) == 2
    fleet.assert_rules()


def test_copies_grow_with_the_work_in_flight() -> None:
    fleet = tiny_fleet(*[("m0",)], (), (), (), (), ())
    fleet.start()
    fleet.run(1.0)
    fleet.poisson(20.0, 8.0, lambda: fleet.ask(ModelRef("m0"), run_s=2.5))
    fleet.run(8.0)
    assert fleet.copies("m0") >= 4
    fleet.assert_rules()


def test_nothing_is_ordered_without_need() -> None:
    fleet = typical_fleet()
    fleet.start()
    number = count()
    fleet.poisson(20.0, 10.0, lambda: fleet.ask(ModelRef(f"m{next(number) % 6}")))
    fleet.run(10.0)
    assert not fleet.observed.statuses


def test_one_model_with_nearly_all_requests_gets_copies_on_most_servers() -> None:
    fleet = typical_fleet()
    fleet.start()
    fleet.poisson(20.0, 10.0, lambda: fleet.ask(ModelRef("m0")))
    fleet.run(6.0)
    assert fleet.copies("m0") >= 5
    fleet.assert_rules()


def test_an_adapter_is_served_soon_while_its_model_gets_more_copies() -> None:
    fleet = typical_fleet(3)
    fleet.start()
    fleet.poisson(20.0, 10.0, lambda: fleet.ask(ModelRef("m0")))
    for number in range(1, 7):
        fleet.at(fleet.now + 0.5 * number, partial(fleet.ask, ModelRef("m0", f"a{number}")))
    fleet.run(8.0)
    waits = [waited for _, ref, waited in fleet.observed.served if ref.adapter]
    assert len(waits) == 6 and max(waits) < 0.5
    fleet.assert_rules()


def test_typical_traffic_is_served_and_a_shift_is_followed() -> None:
    for seed in (1, 2):
        fleet = typical_fleet(seed)
        fleet.start()
        fleet.run(1.0)
        play_typical(fleet, 12.0, [f"m{i}" for i in range(6)])
        fleet.run(12.0)
        shift_at = fleet.now
        play_typical(fleet, 12.0, ["m0", "m1", "m2", "m6", "m7", "m8"])
        fleet.run(18.0)
        fleet.assert_rules()
        observed = fleet.observed
        assert len(observed.given_up) <= len(observed.served) * 0.005
        rare = sorted(waited for _, ref, waited in observed.served if int(ref.model[1:]) >= 15)
        assert rare[len(rare) // 2] < 1.0
        assert rare[int(len(rare) * 0.9)] < 2.0
        new = ("m6", "m7", "m8")
        shifted = [(at, waited) for at, ref, waited in observed.served if ref.model in new and at > shift_at]
        assert max(waited for at, waited in shifted if at > shift_at + 3.0) < 0.8
        assert all(fleet.copies(name) >= 2 for name in ("m0", "m6", "m7", "m8"))
        assert observed.misdirected <= 3


def test_a_burst_of_rare_models_starves_none() -> None:
    fleet = typical_fleet(3)
    fleet.start()
    fleet.run(1.0)
    play_typical(fleet, 20.0, [f"m{i}" for i in range(6)])
    fleet.run(4.0)
    for number in range(15, 45):
        fleet.at(fleet.now + 0.05 * number, partial(fleet.ask, ModelRef(f"m{number}"), 10.0, 0.3, 0))
    fleet.run(20.0)
    fleet.assert_rules()
    served = {ref.model for _, ref, _ in fleet.observed.served}
    assert len([f"m{number}" for number in range(15, 45) if f"m{number}" not in served]) <= 3
