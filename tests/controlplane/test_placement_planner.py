"""The planner: limits for any servers and any demand, and its choices by example."""

from __future__ import annotations

import time
from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from granitewell.controlplane.placement.demand import DemandView, RefDemand
from granitewell.controlplane.placement.limits import Capacity, ModelSizes, WarmLoadTime, usage
from granitewell.controlplane.placement.orders import Operation, Order
from granitewell.controlplane.placement.planner import ServerView, StoreView, plan
from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelRef

MODELS = tuple(
    Model(f"m{i}", (60_000.0, 34_000.0, 72_000.0)[i % 3], 0.6, 10 if i < 4 else 0, 40.0) for i in range(20)
)
ENGINE = Engine(64, MODELS, 200_000.0, 4, 5.0)
SIZES = ModelSizes()
SIZES.learn(ENGINE)
STORE = StoreView(2, 4)
WAITING = RefDemand(0.05, 0.1, 0, 1, 99.9, 0)


def server(
    number: int,
    *held: LoadedModel | str,
    zone: str = "z",
    loading: ModelRef | None = None,
    unloading: ModelRef | None = None,
    schedulable: bool = True,
    orderable: bool = True,
    before: frozenset[str] = frozenset(),
    purpose: ModelRef | None = None,
) -> ServerView:
    models = {
        model.name: model for model in (LoadedModel(one) if isinstance(one, str) else one for one in held)
    }
    used = usage(models.values(), () if loading is None else (loading,), SIZES)
    return ServerView(
        f"i-{number}", zone, 64, schedulable, orderable and loading is None and unloading is None, models,
        ENGINE.weights_mb - used.mb, ENGINE.max_adapters - used.adapters, unloading, loading, purpose,
        loaded_before=before | set(models),
    )  # fmt: skip


def planned(
    servers: list[ServerView], models: dict[str, RefDemand], store: StoreView = STORE, misses: float = 0.0
) -> list[Order]:
    return plan(servers, DemandView(models, {}, misses, 100.0), ENGINE, SIZES, store)


def test_a_waiting_model_is_loaded_where_there_is_capacity() -> None:
    (order,) = planned([server(1, "m0", "m3", "m6"), server(2, "m1")], {"m9": WAITING})
    assert order == Order("i-2", Operation.LOAD, ModelRef("m9"), None, True)


def test_a_server_that_has_loaded_the_model_before_is_preferred() -> None:
    (order,) = planned([server(1), server(2, before=frozenset({"m9"}))], {"m9": WAITING})
    assert (order.server_id, order.from_store) == ("i-2", False)


def test_a_warm_load_needs_no_token() -> None:
    servers = [server(1), server(2, before=frozenset({"m9"}))]
    (order,) = planned(servers, {"m9": WAITING}, StoreView(0, 4))
    assert order.server_id == "i-2"
    assert planned([server(1)], {"m9": WAITING}, StoreView(0, 4)) == []


def test_no_more_loads_than_the_store_has_tokens() -> None:
    servers = [server(number) for number in range(6)]
    orders = planned(servers, {f"m{i}": WAITING for i in range(6)}, StoreView(2, 9))
    assert [order.operation for order in orders] == [Operation.LOAD, Operation.LOAD]


def test_nothing_is_evicted_while_a_load_waits_for_the_store() -> None:
    servers = [server(1), server(2, "m0", "m3", "m6")]
    assert planned(servers, {"m9": WAITING}, StoreView(0, 4)) == []


def test_a_model_that_is_loading_is_not_loaded_twice() -> None:
    servers = [server(1, loading=ModelRef("m9")), server(2)]
    assert planned(servers, {"m9": WAITING}) == []


def test_capacity_for_a_model_is_freed_once() -> None:
    servers = [
        server(1, "m0", "m3", "m6", unloading=ModelRef("m0"), purpose=ModelRef("m9")),
        server(2, "m1", "m2", "m5"),
    ]
    assert planned(servers, {"m9": WAITING}) == []


def test_a_copy_on_a_draining_server_does_not_count() -> None:
    (order,) = planned([server(1, "m9", schedulable=False, orderable=False), server(2)], {"m9": WAITING})
    assert order.server_id == "i-2"


def test_longer_and_larger_waits_come_first() -> None:
    models = {
        "m6": RefDemand(0.0, 0.1, 0, 1, 99.9, 0),
        "m9": RefDemand(4.0, 0.1, 0, 10, 99.0, 1),
    }
    orders = planned([server(1)], models)
    assert [order.ref.model for order in orders] == ["m9"]


def test_an_unknown_model_is_unloaded_first() -> None:
    stuck = ServerView("i-1", "z", 64, True, True, {"unheard": LoadedModel("unheard")}, float("-inf"), 4)
    (order,) = planned([stuck], {"m9": WAITING})
    assert (order.operation, order.ref) == (Operation.UNLOAD, ModelRef("unheard"))


def test_capacity_is_freed_ahead_of_misses() -> None:
    servers = [server(number, "m0", "m3", "m6") for number in range(6)]
    orders = planned(servers, {"m0": RefDemand(3.0, 0.1, 2)}, misses=2.5)
    assert len(orders) == 2
    assert all(order.operation is Operation.UNLOAD and order.ref.model != "m0" for order in orders)
    assert planned(servers, {"m0": RefDemand(3.0, 0.1, 2)}, misses=0.2) == []


_NAMES = [model.name for model in MODELS]


def test_a_model_with_a_large_share_of_all_requests_gets_several_copies_at_once() -> None:
    servers = [server(1, "m0"), *(server(number, "m4") for number in range(2, 10))]
    asked = {"m0": RefDemand(12.0, 0.1, 8), "m4": RefDemand(1.0, 0.1, 1)}
    orders = planned(servers, asked, StoreView(4, 6))
    assert [order.ref for order in orders] == [ModelRef("m0")] * 4  # one model has nearly all requests
    assert len({order.server_id for order in orders}) == 4


def test_copies_that_get_an_even_share_of_all_requests_are_enough() -> None:
    busy = [f"m{number}" for number in range(6)]
    servers = [server(number, f"m{number % 6}", f"m{(number + 3) % 6}") for number in range(9)]
    assert not planned(servers, {name: RefDemand(3.3, 0.1, 2) for name in busy})


def test_scale_out_of_an_overloaded_model_comes_before_a_rare_miss() -> None:
    servers = [server(1, "m0"), server(2, "m4")]
    servers.extend(server(number, orderable=False) for number in range(3, 10))
    asked = {"m0": RefDemand(25.0, 0.1, 8), "m9": WAITING}
    (order,) = planned(servers, asked, StoreView(1, 4))
    assert order.ref == ModelRef("m0")


def test_a_rare_miss_comes_before_one_more_of_many_copies() -> None:
    servers = [server(number, "m0") for number in range(1, 5)] + [server(5)]
    servers.extend(server(number, orderable=False) for number in range(6, 10))
    asked = {"m0": RefDemand(12.0, 0.1, 8), "m9": WAITING}
    (order, *_) = planned(servers, asked, StoreView(1, 4))
    assert order.ref == ModelRef("m9")


def test_capacity_freed_for_a_scale_out_is_reserved_for_it() -> None:
    kept = replace(server(2), reserved_for=ModelRef("m0"))
    servers = [server(1, "m0", "m3", "m6"), kept]
    asked = {"m0": RefDemand(25.0, 0.1, 8), "m9": WAITING}
    loads = [order for order in planned(servers, asked) if order.operation is Operation.LOAD]
    assert [(order.server_id, order.ref) for order in loads] == [("i-2", ModelRef("m0"))]


def test_an_adapter_that_is_waited_for_does_not_wait_for_a_load() -> None:
    ref = ModelRef("m0", "a1")
    demand = DemandView({"m0": WAITING, "m9": WAITING}, {ref: WAITING}, 0.0, 100.0)
    (order,) = plan([server(1, "m0")], demand, ENGINE, SIZES, STORE)
    assert order == Order("i-1", Operation.LOAD, ref, None, False)


@st.composite
def _servers(draw: st.DrawFn) -> list[ServerView]:
    views = []
    for number in range(draw(st.integers(1, 6))):
        names = draw(st.lists(st.sampled_from(_NAMES), max_size=5, unique=True))
        held: list[LoadedModel] = []
        for name in names:
            adapters = frozenset(draw(st.lists(st.sampled_from(["a1", "a2", "a3"]), max_size=2)))
            model = LoadedModel(name, adapters if name in _NAMES[:4] else frozenset())
            if Capacity(ENGINE.weights_mb, ENGINE.max_adapters).admits(usage([*held, model], (), SIZES)):
                held.append(model)
        loading = draw(st.none() | st.sampled_from([ModelRef(name) for name in _NAMES]))
        if loading is not None and loading.model in {model.name for model in held}:
            loading = None
        before = frozenset(draw(st.lists(st.sampled_from(_NAMES), max_size=3)))
        zone = draw(st.sampled_from(["za", "zb"]))
        schedulable = draw(st.booleans())
        views.append(
            server(
                number,
                *held,
                zone=zone,
                loading=loading,
                schedulable=schedulable,
                orderable=schedulable,
                before=before,
            )
        )
    return views


_DEMAND = st.builds(
    RefDemand,
    rate=st.sampled_from((0.0, 0.05, 0.3, 1.0, 8.0)),
    idle_s=st.sampled_from((0.1, 1.0, 5.0, 60.0)),
    in_flight=st.sampled_from((0, 0, 1, 40)),
    waiting=st.sampled_from((0, 0, 1, 5)),
    waiting_since=st.floats(90.0, 100.0),
    priority=st.integers(0, 2),
)


@settings(max_examples=120, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    servers=_servers(),
    models=st.dictionaries(st.sampled_from(_NAMES), _DEMAND, max_size=10),
    adapters=st.dictionaries(
        st.builds(ModelRef, st.sampled_from(_NAMES[:4]), st.sampled_from(("a1", "a4", "a9", "a99"))),
        _DEMAND,
        max_size=5,
    ),
    tokens=st.integers(0, 3),
    misses=st.sampled_from((0.0, 1.0, 4.0)),
)
def test_orders_keep_every_limit(
    servers: list[ServerView],
    models: dict[str, RefDemand],
    adapters: dict[ModelRef, RefDemand],
    tokens: int,
    misses: float,
) -> None:
    view = DemandView(models, adapters, misses, 100.0)
    orders = plan(servers, view, ENGINE, SIZES, StoreView(tokens, 4))
    assert orders == plan(servers, view, ENGINE, SIZES, StoreView(tokens, 4))
    by_id = {server.id: server for server in servers}
    assert len({order.server_id for order in orders}) == len(orders)
    assert sum(order.from_store for order in orders) <= tokens
    for order in orders:
        _check(order, by_id[order.server_id])
    _check_last_copies(orders, servers, models)
    _check_last_adapters(orders, servers, adapters)


def _check(order: Order, target: ServerView) -> None:
    assert target.orderable and target.schedulable
    if order.operation is Operation.LOAD:
        assert not target.has(order.ref)
        assert not order.ref.adapter or target.has(ModelRef(order.ref.model))
        after = usage(target.loaded.values(), (order.ref,), SIZES)
        assert Capacity(ENGINE.weights_mb, ENGINE.max_adapters).admits(after)
        expected = not order.ref.adapter and order.ref.model not in target.loaded_before
        assert order.from_store is expected
    else:
        assert target.has(order.ref)


def _check_last_copies(orders: list[Order], servers: list[ServerView], models: dict[str, RefDemand]) -> None:
    """Assert that the last schedulable copy of a model in use or waited for is not unloaded."""
    gone = {(order.server_id, order.ref.model) for order in orders
            if order.operation is Operation.UNLOAD and not order.ref.adapter}  # fmt: skip
    for _, name in gone:
        seen = models.get(name)
        if seen is None or not (seen.in_flight or seen.waiting):
            continue
        left = [s for s in servers if s.schedulable and name in s.loaded and (s.id, name) not in gone]
        assert left


def _check_last_adapters(
    orders: list[Order], servers: list[ServerView], adapters: dict[ModelRef, RefDemand]
) -> None:
    """Assert the same for adapters that are unloaded alone."""
    gone = {(order.server_id, order.ref) for order in orders
            if order.operation is Operation.UNLOAD and order.ref.adapter}  # fmt: skip
    for _, ref in gone:
        seen = adapters.get(ref)
        if seen is None or not (seen.in_flight or seen.waiting):
            continue
        assert [s for s in servers if s.schedulable and s.has(ref) and (s.id, ref) not in gone]


def test_a_plan_for_many_servers_and_models_is_quick() -> None:
    models = tuple(Model(f"m{i}", 60_000.0, 0.6, 5, 40.0) for i in range(178))
    engine = Engine(64, models, 200_000.0, 8, 17.0)
    sizes = ModelSizes()
    sizes.learn(engine)
    views = []
    for n in range(30):
        held = {name: LoadedModel(name) for name in (f"m{(3 * n + k) % 178}" for k in range(3))}
        views.append(ServerView(f"i-{n}", f"z{n % 4}", 64, True, True, held, 20_000.0, 8))
    demand = {f"m{i}": RefDemand(3.0, 0.2, 1) for i in range(15)}
    demand.update({f"m{i}": RefDemand(0.05, i / 10) for i in range(15, 150)})
    demand.update({f"m{i}": WAITING for i in range(170, 175)})
    view = DemandView(demand, {}, 2.0, 100.0)
    started = time.process_time()
    for _ in range(20):
        plan(views, view, engine, sizes, StoreView(2, 4))
    assert (time.process_time() - started) / 20 < 0.02  # about 2 ms; the bound is for a slow machine


# --- Free servers for adapters, overload, warm loads


def with_adapter_misses(misses_per_s: float, servers: list[ServerView]) -> list[Order]:
    view = DemandView({"m9": WAITING}, {}, 0.0, 100.0, {"m0": misses_per_s})
    return plan(servers, view, ENGINE, SIZES, STORE)


def test_a_load_does_not_block_the_only_free_server_for_adapters_in_demand() -> None:
    only = [server(1, "m0")]
    assert with_adapter_misses(5.0, only) == []
    (order,) = with_adapter_misses(0.5, only)  # less than one miss during a load of 0.6 s
    assert order.ref == ModelRef("m9")


def test_a_load_leaves_half_of_the_servers_of_a_model_free() -> None:
    one_free = [server(1, "m0"), server(2, "m0", loading=ModelRef("m8"))]
    assert with_adapter_misses(5.0, one_free) == []
    (order,) = with_adapter_misses(5.0, [server(1, "m0"), server(2, "m0")])
    assert order.ref == ModelRef("m9")


def test_a_load_goes_to_a_server_without_adapters_in_demand() -> None:
    servers = [server(1, "m0"), server(2, "m5"), server(3, "m0", loading=ModelRef("m8"))]
    (order,) = with_adapter_misses(5.0, servers)
    assert order.server_id == "i-2"


def test_excess_requests_in_flight_come_before_a_long_miss() -> None:
    servers = [server(number, "m0") for number in range(1, 4)] + [server(4)]
    servers.extend(server(number, orderable=False) for number in range(5, 10))
    long_miss = RefDemand(0.1, 0.1, 0, 3, 95.0, 0)
    late = {"m0": RefDemand(80.0, 0.1, 100), "m9": long_miss}  # 64 of them in time
    assert planned(servers, late, StoreView(1, 4))[0].ref == ModelRef("m0")
    in_time = {"m0": RefDemand(12.0, 0.1, 30), "m9": long_miss}
    assert planned(servers, in_time, StoreView(1, 4))[0].ref == ModelRef("m9")


def test_a_warm_load_is_preferred_by_what_it_saves() -> None:
    busy = {"m9": WAITING, "m0": RefDemand(5.0, 0.1, 1), "m1": RefDemand(5.0, 0.1, 1)}
    servers = [server(1, "m0", "m1", before=frozenset({"m9"})), server(2), server(3, "m0", "m1")]
    warm = WarmLoadTime()
    warm.learn(0.6)  # as long as from the store, and i-1 has other requests to serve
    assert [order.server_id for order in planned(servers, busy, StoreView(2, 4, warm))] == ["i-2"]
    quick = WarmLoadTime()
    quick.learn(0.1)
    assert [order.server_id for order in planned(servers, busy, StoreView(2, 4, quick))] == ["i-1"]


def test_further_replicas_leave_loads_to_models_that_are_missed() -> None:
    servers = [server(number, "m0") for number in range(1, 4)] + [server(number) for number in range(4, 13)]
    hot = {"m0": RefDemand(200.0, 0.1, 400)}
    assert len(planned(servers, hot, StoreView(12, 12))) > 2
    missed = {name: RefDemand(0.1, 0.1, 0, 1, 99.9, 0) for name in ("m9", "m10", "m11")}
    orders = planned(servers, hot | missed, StoreView(12, 12))
    assert sum(order.ref == ModelRef("m0") for order in orders) == 2  # a sixth of twelve servers
    assert {"m9", "m10", "m11"} <= {order.ref.model for order in orders}
