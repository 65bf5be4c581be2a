"""Tests of health by host and class. Each test fails without the code that it guards."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from granitewell.balancing.interface import Outcome
from granitewell.balancing.outlier_detection import (
    MAX_UNHEALTHY_RATIO,
    MIN_RESPONSES,
    PATIENCE_LATENCY_RATIO,
    UNHEALTHY_FAILURE_RATIO,
    Call,
    Cause,
    ClassHealth,
    HealthTracker,
)

SAFE, UNSAFE = 0, 1
OUTCOMES = [o for o in Outcome]


def health() -> HealthTracker[Call]:
    made: HealthTracker[Call] = HealthTracker((True, False))
    made.mean_ms, made.response_counts = [10.0, 30.0], [100.0, 100.0]
    return made


def send_and_end(
    h: HealthTracker[Call], pairs: list[ClassHealth], cls: int, outcome: Outcome, now: float, n: int = 1
) -> None:
    for _ in range(n):
        call = Call(pairs, cls, 0, now)
        h.sent(call)
        h.ended(call, outcome, now + 1.0)


def test_a_class_that_fails_leaves_the_other_class_healthy() -> None:
    h = health()
    pairs = h.new_host()
    for k in range(8):  # keeps the zone itself healthy
        send_and_end(h, pairs, SAFE, Outcome.ERROR, 10.0 * k)
        send_and_end(h, pairs, UNSAFE, Outcome.OK, 10.0 * k)
    assert h.is_unhealthy(pairs, SAFE, 0, 100.0) and not h.is_unhealthy(pairs, UNSAFE, 0, 100.0)
    assert h.failure_ratio(pairs, UNSAFE, 0, 100.0) == 0.0


def test_a_failed_connection_counts_against_all_classes() -> None:
    h = health()
    pairs = h.new_host()
    send_and_end(h, pairs, SAFE, Outcome.UNCONNECTED, 0.0, 3)
    assert h.is_unhealthy(pairs, UNSAFE, 0, 5.0) and pairs[UNSAFE].cause is Cause.REFUSING


def test_overdue_calls_count_once_and_before_they_time_out() -> None:
    h = health()
    pairs = h.new_host()
    calls = [Call(pairs, SAFE, 0, 0.0) for _ in range(4)]
    for call in calls:
        h.sent(call)
    assert h.overdue(PATIENCE_LATENCY_RATIO * 10.0 - 1.0) == []
    assert h.overdue(PATIENCE_LATENCY_RATIO * 10.0 + 1.0) == calls
    assert h.overdue(PATIENCE_LATENCY_RATIO * 10.0 + 500.0) == []
    assert h.is_unhealthy(pairs, SAFE, 0, 70.0) and pairs[SAFE].cause is Cause.UNRESPONSIVE
    for call in calls:  # late responses do not clear the host
        h.ended(call, Outcome.OK, 80.0)
    assert h.is_unhealthy(pairs, SAFE, 0, 80.0) and pairs[SAFE].cause is Cause.SLOW


def test_fast_classes_have_a_minimum_patience() -> None:
    # with responses of 1 ms a call pending for 7 ms would otherwise count: a busy machine is enough for that
    h: HealthTracker[Call] = HealthTracker((True, False), (100.0, 0.0))
    h.mean_ms, h.response_counts = [1.0, 1.0], [100.0, 100.0]
    pairs = h.new_host()
    quick, other = Call(pairs, SAFE, 0, 0.0), Call(pairs, UNSAFE, 0, 0.0)
    h.sent(quick)
    h.sent(other)
    assert h.overdue(50.0) == [other]
    assert h.overdue(101.0) == [quick]


def test_a_class_without_enough_responses_is_not_suspected() -> None:
    h = health()
    h.response_counts[SAFE] = MIN_RESPONSES - 1
    call = Call(h.new_host(), SAFE, 0, 0.0)
    h.sent(call)
    assert h.overdue(1e6) == []


def test_if_most_hosts_look_unhealthy_the_fleet_is_overloaded_and_none_is() -> None:
    h = health()
    hosts = [(h.new_host(), zone) for zone in range(10)]
    for n, (pairs, _) in enumerate(hosts):
        send_and_end(h, pairs, SAFE, Outcome.ERROR if n < 6 else Outcome.OK, 0.0, 6)
    assert len(h.review(hosts, 5.0)) == 6 and not h.fleet_overloaded[SAFE]
    assert h.is_unhealthy(*hosts[0][:1], SAFE, 0, 5.0)
    send_and_end(h, hosts[6][0], SAFE, Outcome.ERROR, 6.0, 6)
    assert [(n, k) for n, k, _ in h.review(hosts, 10.0)] == [(6, SAFE)]
    assert h.fleet_overloaded[SAFE] and not h.is_unhealthy(hosts[0][0], SAFE, 0, 10.0)
    assert not h.fleet_overloaded[UNSAFE] and 6 <= MAX_UNHEALTHY_RATIO * 10 < 7


def test_a_host_unhealthy_for_all_classes_recovers_by_safe_requests() -> None:
    h = health()
    pairs = h.new_host()
    for cls in (SAFE, UNSAFE):
        send_and_end(h, pairs, cls, Outcome.TIMEOUT, 0.0, 8)
    assert h.is_unhealthy(pairs, UNSAFE, 0, 10.0)
    before = pairs[UNSAFE].failure_ratio
    send_and_end(h, pairs, SAFE, Outcome.OK, 20.0)
    assert pairs[UNSAFE].failure_ratio < 0.6 * before
    send_and_end(h, pairs, SAFE, Outcome.OK, 30.0, 12)
    assert not h.is_unhealthy(pairs, UNSAFE, 0, 40.0)


def test_a_class_that_alone_is_unhealthy_is_not_cleared_by_another() -> None:
    h = health()
    pairs = h.new_host()
    send_and_end(h, pairs, UNSAFE, Outcome.TIMEOUT, 0.0, 8)
    send_and_end(h, pairs, SAFE, Outcome.OK, 10.0, 40)
    assert h.failure_ratio(pairs, UNSAFE, 9, 20.0) > 0.8


def test_a_mostly_unanswered_zone_counts_against_all_its_hosts() -> None:
    h = health()
    pairs, other = h.new_host(), h.new_host()
    send_and_end(h, pairs, SAFE, Outcome.RESET, 0.0, 12)
    assert h.failure_ratio(other, UNSAFE, 0, 5.0) > UNHEALTHY_FAILURE_RATIO
    assert h.failure_ratio(other, UNSAFE, 1, 5.0) == 0.0


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 1), st.sampled_from(OUTCOMES), st.integers(0, 400)),
        max_size=80,
    )
)
def test_failure_ratios_stay_in_range_and_calls_are_counted(
    events: list[tuple[int, int, Outcome, int]],
) -> None:
    h = health()
    hosts = [(h.new_host(), zone % 2) for zone in range(3)]
    now, out = 0.0, list[Call]()
    overdue: list[Call] = []
    for host, cls, outcome, step in events:
        now += step
        overdue += h.overdue(now)
        pairs, zone = hosts[host]
        out.append(Call(pairs, cls, zone, now))
        h.sent(out[-1])
        if step % 3 == 0:
            h.ended(out.pop(0), outcome, now)
        for row, at in hosts:
            for k in range(2):
                assert 0.0 <= h.failure_ratio(row, k, at, now) <= 1.0
        h.review(hosts, now)
    assert len({id(c) for c in overdue}) == len(overdue)
    for pairs, _ in hosts:
        for k in range(2):
            assert pairs[k].in_flight == sum(c.class_health is pairs and c.class_index == k for c in out)
