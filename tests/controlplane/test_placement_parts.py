"""Units of placement: limits, demand, the wire format, resolution of orders by reports."""

from __future__ import annotations

import contextlib
import json
import math
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.controlplane.placement.demand import GAUGE_TTL_S, DemandTable
from granitewell.controlplane.placement.limits import (
    INITIAL_CONCURRENT_LOADS,
    MAX_CONCURRENT_LOADS,
    MIN_CONCURRENT_LOADS,
    Capacity,
    LoadBucket,
    LoadConcurrency,
    ModelSizes,
    Usage,
    WarmLoadTime,
    usage,
)
from granitewell.controlplane.placement.observation import (
    MAX_REPORT_AGE_S,
    ORDER_OVERDUE_S,
    ListedServer,
    OrderStage,
    PendingOrder,
    ServerRecord,
)
from granitewell.controlplane.placement.orders import (
    MalformedReportError,
    Operation,
    Order,
    OrderResult,
    OrderTicket,
    Report,
    ReportFailure,
    encode_order,
    order_result,
    parse_report,
)
from granitewell.controlplane.placement.planner import BUSY_RATE_PER_S, KEEP_RATE_PER_S
from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelDemand, ModelRef, ServerState

M = ModelRef("m")
MODELS = (Model("m", 60_000.0, 0.6, 5, 40.0), Model("n", 30_000.0, 0.5))
ENGINE = Engine(64, MODELS, 100_000.0, 2, 4.0)


# Limits


@settings(max_examples=200, deadline=None)
@given(
    rate=st.floats(0.2, 20.0),
    gaps=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=120),
    start=st.floats(0.0, 1e6),
)
def test_loads_in_any_window_stay_within_the_rate_limit(rate: float, gaps: list[float], start: float) -> None:
    bucket = LoadBucket(start)
    bucket.set_rate(start, rate)
    now = start
    taken: list[float] = []
    for gap in gaps:
        now += gap
        while bucket.take(now):
            taken.append(now)
    for index, first in enumerate(taken):
        within = sum(1 for at in taken[index:] if at <= first + 5.0)
        assert within <= rate * 5.0 * 1.1 + 3


def test_the_bucket_is_empty_at_the_start() -> None:
    bucket = LoadBucket(50.0)
    bucket.set_rate(50.0, 5.0)
    assert bucket.available(50.0) == 0
    assert not bucket.take(50.0)
    assert bucket.next_at(50.0) == pytest.approx(50.0 + 1 / (5.0 * 0.95))
    assert bucket.available(60.0) == 2


def test_a_token_given_back_is_there_again_but_never_beyond_the_burst() -> None:
    bucket = LoadBucket(0.0)
    bucket.set_rate(0.0, 1.0)
    assert bucket.take(2.0)
    bucket.give_back()
    assert bucket.available(2.0) == 1
    for _ in range(5):
        bucket.give_back()
    assert bucket.available(2.0) == 2


def test_a_store_that_permits_nothing_is_never_due() -> None:
    assert LoadBucket(0.0).next_at(5.0) == math.inf


def _sizes() -> ModelSizes:
    sizes = ModelSizes()
    sizes.learn(ENGINE)
    return sizes


def test_usage_counts_loaded_and_loading_models_once() -> None:
    held = [LoadedModel("m", frozenset({"a1"}))]
    loading = [ModelRef("n"), ModelRef("m", "a1"), ModelRef("m", "a2")]
    assert usage(held, loading, _sizes()) == Usage(60_000.0 + 40.0 + 30_000.0 + 40.0, 2)


def test_a_model_of_unknown_size_fills_the_server() -> None:
    used = usage([LoadedModel("unheard")], [], _sizes())
    assert not Capacity(1e9, 8).admits(used)


def test_sizes_of_models_that_left_the_configuration_stay_known() -> None:
    sizes = _sizes()
    sizes.learn(Engine(64, (MODELS[1],), 100_000.0, 2))
    assert sizes.weights_mb("m") == 60_000.0


def test_load_concurrency_follows_load_times() -> None:
    concurrency = LoadConcurrency()
    for concurrent_loads in (1, 2, 3, 4, 5):
        concurrency.learn(concurrent_loads, 0.75, 0.6)
    assert concurrency.concurrent_loads > INITIAL_CONCURRENT_LOADS
    concurrency.learn(6, 0.15 + 0.6 * 2, 0.6)
    assert concurrency.concurrent_loads == 3
    concurrency.learn(1, 5.0, 0.6)
    assert concurrency.concurrent_loads == 3  # a slow load without concurrent ones does not count


@pytest.mark.parametrize(
    ("loads_per_s", "load_time_s", "concurrent_loads"),
    [(5.2, 0.6, 3), (4.2, 1.5, 6), (0.1, 1.0, MIN_CONCURRENT_LOADS), (20.0, 2.4, MAX_CONCURRENT_LOADS)],
)
def test_initial_load_concurrency_follows_from_the_permitted_rate(
    loads_per_s: float, load_time_s: float, concurrent_loads: int
) -> None:
    concurrency = LoadConcurrency()
    concurrency.expect(loads_per_s, load_time_s)
    assert concurrency.concurrent_loads == concurrent_loads


def test_completed_loads_take_precedence_over_the_permitted_rate() -> None:
    concurrency = LoadConcurrency()
    concurrency.expect(10.0, 0.6)
    assert concurrency.concurrent_loads == 6
    concurrency.learn(6, 0.6, 0.6)
    concurrency.learn(6, 1.2, 0.6)
    concurrency.expect(20.0, 0.6)
    assert concurrency.concurrent_loads == 3


# Demand


def _demand(requests: int = 0, waiting: int = 0, in_flight: int = 0, ref: ModelRef = M) -> ModelDemand:
    return ModelDemand("llm", ref, requests, waiting, in_flight, 1)


def test_a_burst_shows_with_the_first_report() -> None:
    table = DemandTable()
    table.add(10.0, [_demand(requests=4)])
    assert table.view(10.0).models["m"].rate > BUSY_RATE_PER_S


def test_single_requests_are_no_burst() -> None:
    table = DemandTable()
    table.add(10.0, [_demand(requests=1)])
    table.add(11.0, [_demand(requests=1)])
    assert table.view(11.0).models["m"].rate < KEEP_RATE_PER_S


def test_a_busy_model_is_idle_after_some_seconds_without_requests() -> None:
    table = DemandTable()
    for step in range(200):
        table.add(step * 0.1, [_demand(requests=1)])
    assert table.view(20.0).models["m"].rate > 5.0
    assert table.view(26.0).models["m"].rate < BUSY_RATE_PER_S
    assert table.view(40.0).models["m"].rate < 0.05


def test_waiting_is_urgent_once_and_keeps_its_start_time() -> None:
    table = DemandTable()
    assert table.add(1.0, [_demand(requests=1, waiting=1)])
    assert not table.add(1.5, [_demand(waiting=2)])
    seen = table.view(1.6).models["m"]
    assert (seen.waiting, seen.waiting_since, seen.priority) == (2, 1.0, 1)
    assert table.view(1.6 + GAUGE_TTL_S).models["m"].waiting == 0


def test_a_zero_of_another_edge_does_not_hide_waiting_requests() -> None:
    table = DemandTable()
    table.add(1.0, [_demand(requests=1, waiting=1)], "edge-1")
    table.add(1.1, [_demand(waiting=0)], "edge-2")
    assert table.view(1.2).models["m"].waiting == 1
    assert table.view(1.6).models["m"].waiting == 1
    table.add(1.7, [_demand(waiting=0)], "edge-1")
    assert table.view(1.7).models["m"].waiting == 0


def test_gauges_of_all_edges_are_summed() -> None:
    table = DemandTable()
    table.add(1.0, [_demand(1, 2, 5)], "edge-1")
    table.add(1.0, [_demand(1, 1, 7)], "edge-2")
    table.add(1.5, [_demand(1, 0, 3)], "edge-1")
    seen = table.view(1.5).models["m"]
    assert (seen.in_flight, seen.waiting) == (10, 1)
    assert table.view(1.1 + GAUGE_TTL_S).models["m"].in_flight == 3


def test_requests_for_adapters_count_for_their_model() -> None:
    table = DemandTable()
    table.add(1.0, [_demand(3, 1, 2, ModelRef("m", "a1")), _demand(3, 0, 1)])
    view = table.view(1.0)
    assert view.models["m"].in_flight == 3
    assert view.models["m"].waiting == 1
    assert view.models["m"].rate > view.adapters[ModelRef("m", "a1")].rate
    assert view.of(ModelRef("m", "a9")).rate == 0.0


def test_models_without_requests_are_dropped() -> None:
    table = DemandTable()
    table.add(1.0, [_demand(requests=1)])
    table.add(2.0, [_demand(ref=ModelRef("never"))])
    assert set(table.view(2.0).models) == {"m"}
    assert table.view(1_000.0).models == {}
    assert not table._models and not table._entries


# Wire format

REPORT = (
    b'{"phase":"mixed","models":[{"name":"daka510000","version":1,"adapters":["a3"]}],"busy":false,'
    b'"sequence":2,"queued":1,"running":12,"kv-used":41000,"kv-total":90000,"handles":0}'
)


def test_parse_report() -> None:
    held = {"daka510000": LoadedModel("daka510000", frozenset({"a3"}), version=1)}
    assert parse_report(REPORT) == Report(2, False, held, 12, 1)


@pytest.mark.parametrize("cut", range(len(REPORT)))
def test_a_report_cut_anywhere_is_refused(cut: int) -> None:
    with pytest.raises(MalformedReportError):
        parse_report(REPORT[:cut])


@pytest.mark.parametrize(
    "body",
    [b"[]", b"3", b"{}", b'{"models":3,"busy":false,"sequence":1}',
     b'{"models":[3],"busy":false,"sequence":1}',
     b'{"models":[{"name":3}],"busy":false,"sequence":1}', b'{"models":[],"busy":false,"sequence":"x"}',
     b'{"models":[{"name":"m","adapters":7}],"busy":false,"sequence":1}', b"\xff\xfe",
     b'{"models":[],"busy":"false","sequence":1}', b'{"models":[],"busy":false,"sequence":-1}',
     b'{"models":[],"busy":false,"sequence":1e400}', b'{"models":[],"busy":false,"sequence":true}'],
)  # fmt: skip
def test_a_report_of_another_shape_is_refused(body: bytes) -> None:
    with pytest.raises(MalformedReportError):
        parse_report(body)


@pytest.mark.parametrize("number", ["-1", "1e30", '"many"', "null", "true", "1000000001"])
def test_invalid_request_counts_and_versions_are_ignored(number: str) -> None:
    version = number.replace("1000000001", "9007199254740992")
    head = f'{{"models":[{{"name":"m","adapters":[],"version":{version}}}],"busy":false,"sequence":3'
    body = f'{head},"running":{number},"queued":{number}}}'
    assert parse_report(body.encode()) == Report(3, False, {"m": LoadedModel("m")}, 0, 0)


@given(st.binary(max_size=80))
def test_any_bytes_are_a_report_or_refused(body: bytes) -> None:
    with contextlib.suppress(MalformedReportError):
        parse_report(body)


def test_encode_order() -> None:
    order = Order("i-1", Operation.LOAD, ModelRef("daka510000", "a3"))
    assert json.loads(encode_order(order, OrderTicket("node-7", 41, 2))) == {
        "operation": "load_model", "model": "daka510000", "adapter": "a3", "if-revision": 2,
        "holder": "node-7", "fence-token": 41,
    }  # fmt: skip


def test_a_model_is_ordered_without_an_adapter() -> None:
    body = json.loads(encode_order(Order("i-1", Operation.UNLOAD, M), OrderTicket("node-7", 41, 0)))
    assert "adapter" not in body and body["operation"] == "unload_model" and body["if-revision"] == 0


@pytest.mark.parametrize(
    ("status", "result"),
    [(202, OrderResult.ACCEPTED), (200, OrderResult.ALREADY_DONE), (409, OrderResult.CONFLICT),
     (412, OrderResult.FENCED),
     (400, OrderResult.INVALID), (421, OrderResult.OTHER_SERVER), (500, OrderResult.UNKNOWN),
     (504, OrderResult.UNKNOWN), (429, OrderResult.INVALID)],
)  # fmt: skip
def test_order_result_by_status(status: int, result: OrderResult) -> None:
    assert order_result(status) is result


# Resolution of orders by reports

LOAD = Order("i-1", Operation.LOAD, M)
UNLOAD = Order("i-1", Operation.UNLOAD, M)
LOADED = {"m": LoadedModel("m")}


def _record(order: Order, stage: OrderStage) -> ServerRecord:
    record = ServerRecord(ListedServer("i-1", "10.0.0.1:80", "z", ServerState.READY, 64), 0.0)
    record.pending = PendingOrder(order, 4, 7, 10.0, 0.7, 1, stage, 10.0)
    return record


@pytest.mark.parametrize(
    ("order", "stage", "asked_at", "report", "settled"),
    [
        (LOAD, OrderStage.SENDING, 20.0, Report(5, False, LOADED), False),
        (LOAD, OrderStage.ACCEPTED, 10.1, Report(4, False, {}), False),  # older than the order
        (LOAD, OrderStage.ACCEPTED, 10.3, Report(5, True, {}), False),
        (LOAD, OrderStage.ACCEPTED, 10.8, Report(5, False, LOADED), True),
        (LOAD, OrderStage.ACCEPTED, 10.8, Report(5, False, {}), False),
        (LOAD, OrderStage.ACCEPTED, 10.8 + ORDER_OVERDUE_S, Report(5, False, {}), True),
        (UNLOAD, OrderStage.ACCEPTED, 10.1, Report(5, False, LOADED), False),
        (UNLOAD, OrderStage.ACCEPTED, 10.1, Report(5, False, {}), True),
        (LOAD, OrderStage.UNKNOWN, 10.1, Report(4, False, {}), False),
        (LOAD, OrderStage.UNKNOWN, 10.1 + MAX_REPORT_AGE_S, Report(4, False, {}), True),
        (LOAD, OrderStage.UNKNOWN, 10.1 + MAX_REPORT_AGE_S, Report(5, True, {}), False),
        (LOAD, OrderStage.UNKNOWN, 10.3, Report(5, False, LOADED), True),
        (LOAD, OrderStage.SETTLING, 10.3, Report(4, False, {}), False),
        (LOAD, OrderStage.SETTLING, 10.1 + MAX_REPORT_AGE_S, Report(4, False, LOADED), True),
    ],
)
def test_when_a_report_resolves_an_order(
    order: Order, stage: OrderStage, asked_at: float, report: Report, settled: bool
) -> None:
    record = _record(order, stage)
    assert (record.apply_report(asked_at, report) is not None) is settled
    assert (record.pending is None) is settled


def test_a_server_is_unreachable_after_refusals_or_failures() -> None:
    record = ServerRecord(ListedServer("i-1", "10.0.0.1:80", "z", ServerState.READY, 64), 0.0)
    record.record_failure(1.0, ReportFailure.REFUSED)
    assert not record.is_unreachable(1.0)
    record.record_failure(1.25, ReportFailure.REFUSED)
    assert record.is_unreachable(1.25)
    record.apply_report(1.5, Report(0, False, {}))
    assert not record.is_unreachable(9.0)
    record.record_failure(2.0, ReportFailure.NO_ANSWER)
    assert not record.is_unreachable(2.85) and record.is_unreachable(2.95)


def test_a_model_being_unloaded_is_not_ready() -> None:
    record = _record(UNLOAD, OrderStage.ACCEPTED)
    record.report = Report(4, False, {"m": LoadedModel("m"), "n": LoadedModel("n")})
    assert set(record.ready()) == {"n"}
    record.pending = PendingOrder(Order("i-1", Operation.UNLOAD, ModelRef("m", "a1")), 4, 7, 0.0, 0.1)
    record.report = Report(4, False, {"m": LoadedModel("m", frozenset({"a1", "a2"}))})
    assert record.ready() == {"m": LoadedModel("m", frozenset({"a2"}))}


# Warm loads and misses of adapters


def test_warm_load_time_is_learned_and_bounded_by_the_store_load_time() -> None:
    warm = WarmLoadTime()
    assert 0.0 < warm.estimate(4.0) < 4.0
    for _ in range(20):
        warm.learn(0.6)
    assert warm.estimate(4.0) == pytest.approx(0.6)
    assert warm.estimate(0.5) == 0.5
    warm.learn(1.6)
    assert warm.estimate(4.0) == pytest.approx(0.8)


def test_misses_of_adapters_are_counted_by_model_and_fade() -> None:
    table = DemandTable()
    for number in range(10):
        table.add(1.0, [ModelDemand("llm", ModelRef("m", f"a{number}"), 1, 1, 0, 1)], "edge-1")
    view = table.view(1.0)
    assert view.adapter_misses == {"m": pytest.approx(2.0)}
    assert view.misses_per_s == 0.0
    assert table.view(11.0).adapter_misses["m"] < 0.3
    assert table.view(200.0).adapter_misses == {}


def test_models_that_an_earlier_owner_has_loaded_are_loaded_warm() -> None:
    listed = ListedServer("i", "a:1", "z", ServerState.READY, 8, models=(LoadedModel("m"),))
    record = ServerRecord(listed, 0.0)
    assert record.loaded_before == {"m"}
    record.update_listing(replace(listed, loaded_before=frozenset({"n"})))
    assert record.loaded_before == {"m", "n"}
    assert ServerRecord(replace(listed, loaded_before=frozenset({"o"})), 0.0).loaded_before == {"m", "o"}
