"""Selection of servers: pools, active prefix, health and queues, with an explicit clock."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.dataplane.dispatch import MAX_POOLS, Dispatcher, DispatchRequest, QueuedRequest
from granitewell.dataplane.headers import PromptPart, ServerLoad
from granitewell.dataplane.request_queue import QueueFullError, QueuePosition
from granitewell.dataplane.server_selection import TARGET_SLOT_RATIO, Pool
from granitewell.dataplane.servers import MAX_EJECTION_S, REJECTION_BACKOFF_S, ServerRecord
from granitewell.domain.configuration import Configuration, Engine, Model, Service
from granitewell.domain.servers import LoadedModel, ModelRef, Server, ServerState
from granitewell.domain.settings import Bounds

M1 = ModelRef("m1")


def server(
    name: str,
    service: str = "plain",
    models: tuple[str, ...] = (),
    slots: int = 6,
    state: ServerState = ServerState.READY,
) -> Server:
    held = {model: LoadedModel(model, frozenset({"a1"})) for model in models}
    return Server(name, service, f"10.0.0.1:{len(name)}", "a", slots, state, models=held)


def records(count: int, slots: int = 6) -> list[ServerRecord]:
    return [ServerRecord(server(f"s{k:02}", slots=slots)) for k in range(count)]


def pool(count: int, slots: int = 6, engine: bool = False) -> Pool:
    made = Pool("p", slots if engine else None, 2.0, Random(1))
    made.set_servers(records(count, slots))
    return made


def picks(made: Pool, count: int, now: float = 0.0, edges: int = 1) -> list[str]:
    found = [made.pick(now, edges) for _ in range(count)]
    return [record.id for record in found if record is not None]


# --- Pool -----------------------------------------------------------------------------------------------
def test_new_pool_uses_all_servers() -> None:
    counted = Counter(picks(pool(5), 500))
    assert len(counted) == 5 and min(counted.values()) > 60


def test_server_order_is_independent_of_update_order() -> None:
    one, other = pool(6), pool(0)
    other.set_servers(list(reversed(records(6))))
    assert [r.id for r in one.servers] == [r.id for r in other.servers]


def test_empty_pool_returns_no_server() -> None:
    assert pool(0).pick(0.0, 1) is None


def test_servers_outside_the_prefix_are_used_only_if_it_is_busy() -> None:
    made = pool(6)
    made._prefix.size = 2
    assert set(picks(made, 100)) == {"s00", "s01"}
    for record in made.servers[:2]:
        for _ in range(6):
            made.sent(record, 0.0)
    assert set(picks(made, 100)) <= {"s02", "s03", "s04", "s05"}


def test_server_is_busy_at_this_node_s_share_of_its_slots() -> None:
    made = pool(2)
    made.sent(made.servers[0], 0.0)
    assert set(picks(made, 50, edges=6)) == {"s01"}
    made.sent(made.servers[1], 0.0)
    assert picks(made, 1, edges=6)  # all busy, none full
    engine = pool(2, 60, engine=True)
    for _ in range(int(60 * TARGET_SLOT_RATIO / 4)):
        engine.sent(engine.servers[0], 0.0)
    assert set(picks(engine, 50, edges=4)) == {"s01"}


def test_full_servers_get_no_requests() -> None:
    made = pool(2, slots=2)
    for record in made.servers:
        made.sent(record, 0.0)
        made.sent(record, 0.0)
    assert made.pick(0.0, 1) is None
    made.servers[1].abandoned(0.0, 1.0)
    made.ended(made.servers[1])
    assert set(picks(made, 5)) == {"s01"}


def test_reported_load_decays() -> None:
    made = pool(2)
    made.servers[0].load_reported(ServerLoad(6, 3, 6), 0.0)
    assert set(picks(made, 50)) == {"s01"}
    assert set(picks(made, 50, now=20.0)) == {"s00", "s01"}


def test_server_is_skipped_briefly_after_a_rejection() -> None:
    made = pool(2)
    made.servers[0].rejected(0.0)
    assert set(picks(made, 50)) == {"s01"}
    assert set(picks(made, 50, now=REJECTION_BACKOFF_S)) == {"s00", "s01"}


def test_ejection_time_grows_and_the_only_server_is_still_used() -> None:
    made = pool(2)
    faulty_server = made.servers[0]
    now, waits = 0.0, []
    for _ in range(6):
        faulty_server.failed(now)
        faulty_server.failed(now)  # concurrent failures count once
        assert set(picks(made, 30, now=now)) == {"s01"}
        waits.append(faulty_server.ejected_until - now)
        now = faulty_server.ejected_until
    assert waits == [1.0, 2.0, 4.0, MAX_EJECTION_S, MAX_EJECTION_S, MAX_EJECTION_S]
    faulty_server.failed(now)
    made.servers[1].failed(now)
    assert set(picks(made, 30, now=now)) <= {"s00", "s01"} and picks(made, 1, now=now)
    faulty_server.response_completed(now)
    assert faulty_server.is_healthy(now, 1.0)


def test_consecutive_errors_eject_a_server() -> None:
    record = records(1)[0]
    for _ in range(2):
        record.error_received(0.0)
    record.response_completed(0.0)
    for _ in range(2):
        record.error_received(0.0)
    assert record.is_healthy(0.0, 1.0)
    record.error_received(0.0)
    assert not record.is_healthy(0.0, 1.0)


def test_unresponsive_server_is_unhealthy_until_it_responds() -> None:
    made = pool(2)
    faulty_server = made.servers[0]
    made.sent(faulty_server, 0.0)
    assert "s00" in picks(made, 50, now=1.0)
    assert set(picks(made, 50, now=5.0)) == {"s01"}
    faulty_server.response_started(5.0)
    made.ended(faulty_server)
    assert "s00" in picks(made, 50, now=5.0)
    made.sent(faulty_server, 5.0)
    faulty_server.abandoned(10.0, made.unresponsive_after_s)  # its deadline passed without a response
    assert set(picks(made, 50, now=10.5)) == {"s01"}


def test_retry_prefers_other_servers_and_skips_excluded_ones() -> None:
    made = pool(2)
    assert {made.pick(0.0, 1, attempted={"s00"}) for _ in range(30)} == {made.servers[1]}
    only = pool(1)
    assert only.pick(0.0, 1, attempted={"s00"}) is only.servers[0]
    assert only.pick(0.0, 1, excluded={"s00"}) is None


def test_misdirected_server_is_skipped_for_a_while() -> None:
    made = pool(1)
    made.misdirected(made.servers[0], 0.0, 1.0)
    assert made.pick(0.5, 1) is None
    assert made.pick(1.0, 1) is not None


def test_cached_prompt_attracts_a_request_unless_load_is_much_higher() -> None:
    made = pool(6, 60, engine=True)
    home = made.servers[4]
    assert {made.pick(0.0, 1, cached_tokens={"s04": 1200}) for _ in range(30)} == {home}
    for _ in range(3):
        made.sent(home, 0.0)
    assert home not in {made.pick(0.0, 1, cached_tokens={"s04": 1200}) for _ in range(30)}


def test_prefix_size_follows_traffic() -> None:
    made, now = pool(10, 60, engine=True), 0.0
    for k in range(20_000):
        now += 0.01
        made.arrived(now, 1)
        if k % 5 == 0:
            made.traffic.response_ended(20.0, 50.0, 1000.0)
    assert made.prefix_size < 10
    for _ in range(30):
        made.traffic.response_ended(5000.0, 5000.0, 1000.0)
    made.latency_target_missed(now + 1.0, 1)
    assert made.prefix_size == 10


STEPS = st.sampled_from(["send", "end", "fail", "refuse", "time"])


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(STEPS, st.integers(0, 3)), max_size=60))
def test_full_servers_are_never_picked_and_counts_are_consistent(steps: list[tuple[str, int]]) -> None:
    made, now = pool(4, slots=3), 0.0
    out: list[ServerRecord] = []
    for what, k in steps:
        if what == "send":
            record = made.pick(now, 1 + k)
            if record is not None:
                assert not record.full(now)
                made.sent(record, now)
                out.append(record)
            else:
                healthy = [r for r in made.servers if r.is_healthy(now, made.unresponsive_after_s)]
                assert all(r.full(now) for r in healthy or made.servers)
        elif what == "end" and out:
            record = out.pop(k % len(out))
            record.response_started(now)
            made.ended(record)
        elif what == "fail":
            made.servers[k].failed(now)
        elif what == "refuse":
            made.servers[k].rejected(now)
        else:
            now += k * 0.3
        assert made.in_flight == len(out)
        assert all(r.in_flight == out.count(r) == r.unanswered for r in made.servers)


# --- Dispatcher -----------------------------------------------------------------------------------------
ENGINE = Engine(slots=6, models=(Model("m1", 1.0, adapters=2), Model("m2", 1.0)), weights_mb=10.0)
SERVICES = {"plain": Service("plain"), "engine": Service("engine", engine=ENGINE)}


def dispatcher() -> Dispatcher:
    made = Dispatcher(Bounds(retry_budget_slack=56), Random(1))
    made.apply_configuration(Configuration(1, {}, SERVICES))
    return made


class WaitingRequest(DispatchRequest):
    """A request that records the servers assigned to it."""

    def __init__(self, priority: int, service: str = "engine", ref: ModelRef | None = M1) -> None:
        self.got: list[ServerRecord] = []
        super().__init__(service, ref, priority, 1.0, ())

    def wait(self, dispatcher: Dispatcher) -> QueuePosition[QueuedRequest]:
        return dispatcher.wait(self, 0.0, self.got.append)


def test_pools_contain_ready_servers_with_the_model() -> None:
    made = dispatcher()
    made.apply_servers(
        [
            server("a", "engine", ("m1",)),
            server("b", "engine", ("m2",)),
            server("c", "engine", ("m1",), state=ServerState.DRAINING),
            server("d"),
        ],
        [], 0.0,
    )  # fmt: skip
    assert [r.id for r in made.pool("engine", M1, 0.0).servers] == ["a"]
    assert [r.id for r in made.pool("engine", ModelRef("m1", "a1"), 0.0).servers] == ["a"]
    assert [r.id for r in made.pool("engine", ModelRef("m1", "a2"), 0.0).servers] == []
    assert [r.id for r in made.pool("engine", None, 0.0).servers] == ["a", "b"]
    assert [r.id for r in made.pool("plain", None, 0.0).servers] == ["d"]


def test_server_updates_add_change_and_remove() -> None:
    made = dispatcher()
    made.apply_servers([server("a"), server("b"), server("e", "engine")], [], 0.0)
    assert made.apply_servers([server("c")], ["a", "nobody"], 0.0) == ["a", "nobody"]
    assert [r.id for r in made.pool("plain", None, 0.0).servers] == ["b", "c"]
    assert made.apply_servers([server("c")], ["b", "c"], 0.0) == ["b"]
    assert [r.id for r in made.pool("plain", None, 0.0).servers] == ["c"]
    assert made.apply_servers([], ["e"], 0.0) == ["e"]
    made.apply_servers([server("c", "engine")], [], 0.0)
    assert [r.id for r in made.pool("plain", None, 0.0).servers] == []
    assert [r.id for r in made.pool("engine", None, 0.0).servers] == ["c"]


def test_server_state_is_kept_when_models_change() -> None:
    made = dispatcher()
    made.apply_servers([server("a", "engine", ("m1",))], [], 0.0)
    record = made.choose(WaitingRequest(0), 0.0)
    assert record is not None
    made.apply_servers([server("a", "engine", ("m2",))], [], 0.0)
    (same,) = made.pool("engine", ModelRef("m2"), 0.0).servers
    assert same is record and record.in_flight == 1


def test_requests_of_a_removed_server_end_cleanly() -> None:
    made, waiter = dispatcher(), WaitingRequest(0)
    made.apply_servers([server("a", "engine", ("m1",))], [], 0.0)
    record = made.choose(waiter, 0.0)
    assert record is not None
    made.apply_servers([], ["a"], 0.0)
    made.ended(waiter, record, 0.0)
    assert record.in_flight == 0 and made.choose(WaitingRequest(0), 0.0) is None


def test_queue_is_served_by_priority() -> None:
    made = dispatcher()
    waiters = [WaitingRequest(priority) for priority in (5, 0, 5, 1)]
    for waiter in waiters:
        assert made.choose(waiter, 0.0) is None
        waiter.wait(made)
    assert made.urgent_report_due(0.0)
    (demand,) = made.take_demand()
    assert (demand.ref, demand.waiting, demand.priority) == (M1, 4, 0)
    made.apply_servers([server("a", "engine", ("m1",), slots=2)], [], 0.0)
    assert [len(w.got) for w in waiters] == [0, 1, 0, 1]
    assert made.choose(WaitingRequest(9), 0.0) is None  # behind the queue
    done = waiters[1]
    done.got[0].response_started(0.0)
    made.ended(done, done.got[0], 0.0)
    assert [len(w.got) for w in waiters] == [1, 1, 0, 1]


def test_higher_priority_request_overtakes_the_queue() -> None:
    made = dispatcher()
    made.apply_servers([server("a", "engine", ("m1",), slots=1)], [], 0.0)
    first = WaitingRequest(5)
    record = made.choose(first, 0.0)
    assert record is not None
    WaitingRequest(5).wait(made)
    record.response_started(0.0)
    made.pool("engine", M1, 0.0).ended(record)  # the queue has not been served yet
    assert made.choose(WaitingRequest(5), 0.0) is None
    assert made.choose(WaitingRequest(4), 0.0) is record


def test_request_that_leaves_the_queue_is_not_assigned() -> None:
    made, waiter = dispatcher(), WaitingRequest(3)
    position = waiter.wait(made)
    made.leave(position)
    made.leave(position)
    assert made.take_demand()[0].waiting == 0
    made.apply_servers([server("a", "engine", ("m1",))], [], 0.0)
    assert waiter.got == []


def test_queue_is_bounded() -> None:
    made = dispatcher()
    with pytest.raises(QueueFullError):
        for _ in range(10_000):
            WaitingRequest(5).wait(made)


def test_connections_of_all_nodes_stay_within_the_server_limit() -> None:
    made = Dispatcher(Bounds(), Random(1))
    made.apply_configuration(Configuration(1, {}, {"plain": Service("plain", max_connections=20)}))
    made.set_edges(3, 3)
    made.apply_servers([server("a", slots=100)], [], 0.0)
    got = [made.choose(WaitingRequest(5, "plain", None), 0.0) for _ in range(30)]
    assert sum(record is not None for record in got) == 6  # 20 * 0.9 / 3


def test_engine_gets_only_requests_that_it_can_begin_in_time() -> None:
    made = dispatcher()
    made.apply_servers([server("a", "engine", ("m1",), slots=100)], [], 0.0)
    (record,) = made.pool("engine", M1, 0.0).servers
    record.first_byte_received(0.25, 0.0)
    got = [made.choose(WaitingRequest(5), 0.0) for _ in range(30)]
    assert sum(r is not None for r in got) == 6  # the seventh would wait 1.75 s, more than 1.5 targets


def test_configured_models() -> None:
    made = dispatcher()
    assert made.is_configured("engine", M1) and made.is_configured("engine", ModelRef("m1", "a2"))
    assert made.is_configured("plain", None)
    for name in ("m3", "m1/a3", "m2/a1", "m1/x1", ""):
        assert not made.is_configured("engine", ModelRef.parse(name))
    assert not made.is_configured("other", None)


def test_pools_are_bounded_and_active_ones_are_kept() -> None:
    made = dispatcher()
    made.apply_servers([server("a", "engine", ("m1",))], [], 0.0)
    waiter = WaitingRequest(5)
    record = made.choose(waiter, 0.0)
    assert record is not None
    for k in range(3 * MAX_POOLS):
        made.pool("engine", ModelRef(f"x{k}"), float(k + 1))
        assert len(made._pools) <= MAX_POOLS
    made.ended(waiter, record, 0.0)


def test_requests_of_a_session_go_to_the_same_server() -> None:
    made = dispatcher()
    made.apply_servers([server(f"s{k}", "engine", ("m1",), slots=60) for k in range(9)], [], 0.0)
    parts = (PromptPart("shared", 500), PromptPart("session", 900))
    got = set()
    for _ in range(20):
        waiter = WaitingRequest(5)
        waiter.parts = parts
        record = made.choose(waiter, 0.0)
        assert record is not None
        got.add(record.id)
        record.response_started(0.0)
        made.ended(waiter, record, 0.0)
    assert len(got) == 1
