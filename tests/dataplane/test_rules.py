"""Parts of the data plane without I/O: routes, events, headers, attempts, retry budget, queue, demand."""

from __future__ import annotations

from itertools import pairwise
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from granitewell.dataplane.affinity import MAX_PREFIXES, MAX_SERVERS, PrefixAffinity
from granitewell.dataplane.demand import MIN_REPORT_INTERVAL_S, Demand
from granitewell.dataplane.events import MAX_EVENT_BYTES, EventSplitter, EventTooLongError, event_number
from granitewell.dataplane.headers import (
    PromptPart,
    ServerLoad,
    end_to_end,
    forwarded_headers,
    parse_keep_alive,
    parse_milliseconds,
    parse_prompt_parts,
    parse_server_load,
    request_head,
    without_header,
)
from granitewell.dataplane.request import (
    ATTEMPT_EFFECTS,
    MAX_ATTEMPTS,
    NOT_EXECUTED_STATUSES,
    AttemptEnd,
    Attempts,
    may_forward,
    proves_not_executed,
)
from granitewell.dataplane.request_queue import QueueFullError, RequestQueue
from granitewell.dataplane.retry_budget import RetryBudget
from granitewell.dataplane.routes import RouteTable, choose_service, host_name, path_of
from granitewell.domain.configuration import Configuration, Route, RouteKind, WeightedService
from granitewell.domain.servers import ModelRef


def a_route(prefix: str = "/", host: str = "h", **fields: Any) -> Route:
    values: dict[str, Any] = {"kind": RouteKind.NON_IDEMPOTENT, "timeout_ms": 1000.0, "service": "s"}
    values.update(fields)
    return Route(name=f"{host}{prefix}", host=host, prefix=prefix, **values)


def table(*routes: Route) -> RouteTable:
    return RouteTable(Configuration(1, {route.name: route for route in routes}, {}))


# --- Routes ---------------------------------------------------------------------------------------------
SEGMENTS = st.lists(st.sampled_from(["a", "b", "ab", "%2F", ""]), max_size=4)


@given(st.lists(SEGMENTS, min_size=1, max_size=8), SEGMENTS, st.sampled_from(["", "/", "/x"]))
def test_longest_matching_prefix_wins(known: list[list[str]], path: list[str], end: str) -> None:
    prefixes = {"/" + "".join(f"{segment}/" for segment in segments) for segments in known}
    found = table(*(a_route(prefix) for prefix in prefixes)).find("h", "/" + "/".join(path) + end)
    wanted = max((p for p in prefixes if ("/" + "/".join(path) + end).startswith(p)), key=len, default=None)
    assert (found.prefix if found else None) == wanted


def test_host_matching_ignores_case_and_port() -> None:
    routes = table(a_route("/a/", "Shop.Example"))
    assert routes.find(host_name("SHOP.example:8080"), "/a/b")
    assert not routes.find(host_name("example"), "/a/b")
    assert host_name("[::1]:80") == "[::1]"


def test_path_excludes_the_query() -> None:
    assert path_of("/a/b?c=/d?e#f") == "/a/b"
    assert path_of("/a/%3Fb#c?d") == "/a/%3Fb"


def test_services_are_chosen_by_weight() -> None:
    rng = Random(1)
    both = (WeightedService("a", 90), WeightedService("b", 10), WeightedService("c", 0))
    drawn = [choose_service(a_route(weighted_services=both), rng) for _ in range(2000)]
    assert 120 < drawn.count("b") < 290 and "c" not in drawn
    state = rng.getstate()
    assert choose_service(a_route(), rng) == "s" and rng.getstate() == state


# --- Events ---------------------------------------------------------------------------------------------
LINE_ENDS = st.sampled_from([b"\n", b"\r\n"])
WORDS = st.sampled_from([b"data: x", b"id: 7", b"versions: 2", b": c", b"identity: 9"])
LINES = st.lists(WORDS, min_size=1, max_size=4)
EVENTS = st.tuples(LINE_ENDS, LINES).map(lambda e: e[0].join(e[1]) + e[0] * 2)


RESTS = st.binary(max_size=5).filter(lambda rest: not set(b"\r\n") & set(rest))


@given(st.lists(EVENTS, max_size=6), RESTS, st.data())
def test_events_are_complete_wherever_the_bytes_are_split(
    events: list[bytes], rest: bytes, data: st.DataObject
) -> None:
    stream = b"".join(events) + rest
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=8)))
    splitter = EventSplitter()
    got = [
        event
        for start, end in pairwise([0, *cuts, len(stream)])
        for event in splitter.feed(stream[start:end])
    ]
    assert [event.data for event in got] == events
    assert splitter.rest == rest
    assert [event.id for event in got] == ["7" if b"id: 7" in event else None for event in events]


@given(st.binary(max_size=60), st.lists(st.integers(0, 60), max_size=6))
def test_no_byte_is_lost_or_changed(stream: bytes, cuts: list[int]) -> None:
    splitter = EventSplitter()
    got = b""
    for start, end in pairwise([0, *sorted(cuts), len(stream)]):
        got += b"".join(event.data for event in splitter.feed(stream[start : max(start, end)]))
    assert got + splitter.rest == b"".join(
        stream[start : max(start, end)] for start, end in pairwise([0, *sorted(cuts), len(stream)])
    )


@pytest.mark.parametrize(
    ("event", "found"),
    [
        (b"id:5\n\n", "5"),
        (b"id: 5 \n\n", "5 "),
        (b"id\n\n", ""),
        (b"data: id: 5\n\n", None),
        (b"id: 1\nid: 2\n\n", "2"),
    ],
)
def test_event_ids(event: bytes, found: str | None) -> None:
    assert EventSplitter().feed(event)[0].id == found


def test_numeric_event_ids() -> None:
    assert event_number("12") == 12
    assert [event_number(text) for text in ("", "-1", "x", None, "\u0663")] == [None] * 5


def test_endless_event_raises() -> None:
    splitter = EventSplitter()
    with pytest.raises(EventTooLongError):
        for _ in range(MAX_EVENT_BYTES // 65536 + 2):
            splitter.feed(b"x" * 65536)


# --- Headers --------------------------------------------------------------------------------------------
def test_end_to_end_headers() -> None:
    pairs = [(b"Host", b"h"), (b"TE", b"t"), (b"X", b"1"), (b"Connection", b"close, X"), (b"X-B", b"2")]
    assert end_to_end(pairs) == [(b"Host", b"h"), (b"X-B", b"2")]
    own = [(b"CONTENT-length", b"1"), (b"Granitewell-Deadline-Ms", b"5"), (b"Priority", b"1"), (b"Y", b"2")]
    assert forwarded_headers(own) == [(b"Y", b"2")]
    assert without_header([(b"LAST-event-id", b"1"), (b"Y", b"2")], "Last-Event-Id") == [(b"Y", b"2")]


def test_request_head_is_written_byte_for_byte() -> None:
    target = b"/a/\xff%2f//..;?x".decode("utf-8", "surrogateescape")
    head = request_head("POST", target, [(b"X", b"\xe9")], [("Priority", "1")], 0)
    assert head == b"POST /a/\xff%2f//..;?x HTTP/1.1\r\nX: \xe9\r\nPriority: 1\r\nContent-Length: 0\r\n\r\n"
    assert b"Content-Length" not in request_head("GET", "/", [], [], None)


def test_parsed_header_values() -> None:
    assert parse_server_load("3, 0,8") == ServerLoad(3, 0, 8)
    assert parse_milliseconds("1500") == 1500.0
    assert parse_keep_alive("timeout=5, max=100") == parse_keep_alive("max=9,timeout=5") == 5.0
    assert parse_keep_alive("5") == 5.0
    assert parse_prompt_parts("5c:800, 91:410") == (PromptPart("5c", 800), PromptPart("91", 410))
    assert parse_prompt_parts("5c:800,x,91:410") == (PromptPart("5c", 800),)


@given(st.text(max_size=30))
def test_header_parsers_accept_any_text(text: str) -> None:
    parse_server_load(text)
    parse_milliseconds(text)
    parse_keep_alive(text)
    parse_prompt_parts(text)


@pytest.mark.parametrize("text", ["1,2", "1,2,3,4", "-1,2,3", "a,b,c", "", None, "1,2,99999999999"])
def test_invalid_server_load(text: str | None) -> None:
    assert parse_server_load(text) is None


@pytest.mark.parametrize("text", ["nan", "inf", "-1", "0", "", None, "1e300"])
def test_invalid_milliseconds(text: str | None) -> None:
    assert parse_milliseconds(text) is None


# --- Attempts -------------------------------------------------------------------------------------------
ENDS = st.lists(st.sampled_from(list(AttemptEnd)), max_size=8)
KINDS = st.sampled_from([
    {"kind": RouteKind.NON_IDEMPOTENT}, {"kind": RouteKind.IDEMPOTENT}, {"kind": RouteKind.STREAMING},
    {"kind": RouteKind.STREAMING, "resumable": True},
])  # fmt: skip


@given(KINDS, st.integers(1, 4), ENDS)
def test_attempts_follow_the_retry_rules(kind: dict[str, Any], most: int, ends: list[AttemptEnd]) -> None:
    """Rules TWICE, BUDGET and REFUSED, for any sequence of attempts."""
    route = a_route(max_attempts=most, **kind)
    attempts = Attempts(route)
    runs = arrivals = 0
    for end in ends:
        if attempts.attempts and not attempts.may_retry():
            break
        attempts.begin()
        if end is not AttemptEnd.NOT_CONNECTED:
            attempts.written()
            assert not attempts.may_retry()
            assert attempts.timeout_status == 504 and attempts.failure_status == 502
        attempts.end(end)
        arrivals += end is not AttemptEnd.NOT_CONNECTED
        runs += end in (AttemptEnd.FAILED, AttemptEnd.BROKEN)
    assert runs <= 1 or route.repeatable
    assert arrivals <= most
    assert attempts.attempts <= MAX_ATTEMPTS
    promised = (
        attempts.failure_status in NOT_EXECUTED_STATUSES or attempts.timeout_status in NOT_EXECUTED_STATUSES
    )
    assert promised == (runs == 0)


def test_every_attempt_end_has_an_effect() -> None:
    assert set(ATTEMPT_EFFECTS) == set(AttemptEnd)
    may_have_run = [end for end in AttemptEnd if ATTEMPT_EFFECTS[end].may_have_run]
    assert may_have_run == [AttemptEnd.FAILED, AttemptEnd.BROKEN]


@given(st.integers(100, 599), st.booleans(), st.booleans())
def test_forwarded_responses_are_signed_or_make_no_false_promise(
    status: int, is_signed: bool, marked: bool
) -> None:
    if may_forward(status, is_signed, marked):
        assert is_signed or not 200 <= status < 300
        assert marked or status not in (408, 421, 429, 503)
    if proves_not_executed(status, marked):
        assert status == 421 or marked


# --- Retry budget ---------------------------------------------------------------------------------------
@given(
    st.integers(1, 12), st.floats(0.0, 1.0), st.floats(0.0, 100.0),
    st.lists(st.tuples(st.integers(0, 11), st.booleans()), max_size=400),
)  # fmt: skip
def test_all_nodes_stay_within_the_shared_retry_budget(
    edges: int, ratio: float, slack: float, steps: list[tuple[int, bool]]
) -> None:
    """In any window, retries <= ratio x requests + slack."""
    budgets = [RetryBudget(ratio, slack, edges) for _ in range(edges)]
    requests = repeats = 0
    for node, sends in steps:
        budget = budgets[node % edges]
        if sends:
            budget.earn()
            requests += 1
        elif budget.try_spend():
            repeats += 1
    assert repeats <= ratio * requests + 1e-6
    saved = [RetryBudget(ratio, slack, edges) for _ in range(edges)]
    for budget in saved:
        for _ in range(100_000 if ratio > 0.01 else 0):
            budget.earn()
            if budget._tokens >= budget._max_tokens:
                break
    assert sum(budget._tokens for budget in saved) <= max(slack / 2, min(edges, 0.9 * slack)) + 1e-6


def test_retry_budget_starts_empty_and_shrinks_with_its_share() -> None:
    budget = RetryBudget(0.2, 56, 1)
    assert not budget.try_spend()
    for _ in range(1000):
        budget.earn()
    budget.set_max_edges(56, 14)
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]


def test_no_retries_if_the_slack_is_below_one_per_node() -> None:
    budgets = [RetryBudget(0.2, 198, 350) for _ in range(350)]
    for budget in budgets:
        for _ in range(1000):
            budget.earn()
    assert not any(budget.try_spend() for budget in budgets)


# --- Queue and demand -----------------------------------------------------------------------------------
@given(st.lists(st.integers(0, 9), max_size=30))
def test_queue_order_is_priority_then_arrival(priorities: list[int]) -> None:
    line: RequestQueue[int] = RequestQueue(max_size=20)
    for number, priority in enumerate(priorities[:20]):
        line.join(priority, number)
    got = [(position.priority, position.request) for position in line]
    assert got == sorted((priority, number) for number, priority in enumerate(priorities[:20]))
    if len(priorities) > 20:
        with pytest.raises(QueueFullError):
            line.join(0, 99)
    for position in line:
        line.leave(position)
        line.leave(position)
    assert not line


def test_demand_is_reported_once() -> None:
    demand, ref = Demand(), ModelRef("m")
    assert not demand.urgent_report_due(1.0)
    demand.arrived("s", ref)
    demand.wait_started("s", ref, 4)
    demand.wait_started("s", ref, 2)
    assert demand.urgent_report_due(1.0) and not demand.urgent_report_due(9.0)
    demand.wait_started("s", ref, 3)
    assert not demand.urgent_report_due(1.0 + MIN_REPORT_INTERVAL_S / 2) and demand.urgent_report_due(
        1.0 + MIN_REPORT_INTERVAL_S
    )
    (told,) = demand.take()
    assert (told.requests, told.waiting, told.priority) == (1, 3, 2)
    for priority in (4, 2, 3):
        demand.wait_ended("s", ref, priority)
    demand.sent("s", ref)
    assert demand.take()[0].in_flight == 1
    demand.ended("s", ref)
    assert len(demand.take()) == 1 and demand.take() == []


# --- Affinity -------------------------------------------------------------------------------------------
def test_affinity_is_by_pool_and_prefix_order() -> None:
    memory = PrefixAffinity()
    one, two, three = PromptPart("1", 100), PromptPart("2", 10), PromptPart("3", 1)
    memory.sent("p", [one, two], "s1")
    memory.sent("p", [one, three], "s2")
    assert memory.cached_tokens("p", [one, two, three]) == {"s1": 110, "s2": 100}
    assert memory.cached_tokens("p", [two]) == memory.cached_tokens("other", [one]) == {}


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9)), max_size=50))
def test_affinity_keeps_few_servers_per_prefix(sends: list[tuple[int, int]]) -> None:
    memory = PrefixAffinity()
    for part, server in sends:
        memory.sent("p", [PromptPart(str(part), 1)], str(server))
    for part, _ in sends:
        assert len(memory.cached_tokens("p", [PromptPart(str(part), 1)])) <= MAX_SERVERS


def test_affinity_is_bounded() -> None:
    memory = PrefixAffinity()
    for k in range(MAX_PREFIXES + 10):
        memory.sent("p", [PromptPart(str(k), 1)], "s")
    assert len(memory._servers) == MAX_PREFIXES
    assert not memory.cached_tokens("p", [PromptPart("0", 1)])
