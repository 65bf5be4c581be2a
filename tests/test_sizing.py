"""Tests of the prefix sizing that the balancer and the data plane share."""

from __future__ import annotations

import math
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.balancing.prefix_sizing import (
    HOST_SETUP_MS,
    PREFIX_SHRINK_RATIO,
    SCALE_IN_INTERVAL_MS,
    SIZING_PERIOD_MS,
    SLOTS_GROWTH_RATIO,
    ActivePrefix,
    forecast,
    slots_needed,
)


@given(st.lists(st.integers(0, 1000), max_size=20), st.floats(0.0, 10_000.0))
def test_a_forecast_stays_between_zero_and_twice_the_maximum(counts: list[int], setup: float) -> None:
    assert 0.0 <= forecast(counts, setup) <= 2 * max(counts, default=0) / SIZING_PERIOD_MS


def test_a_forecast_looks_a_set_up_time_ahead() -> None:
    line = list(range(100, 140, 2))  # too steep for chance
    assert math.isclose(forecast(line), (138 + 2 * HOST_SETUP_MS / SIZING_PERIOD_MS) / SIZING_PERIOD_MS)
    assert math.isclose(forecast(line, 500.0), 142 / SIZING_PERIOD_MS)
    assert math.isclose(
        forecast(list(range(100, 120))), 109.5 / SIZING_PERIOD_MS
    )  # a slope that chance would show
    assert forecast([]) == 0.0 and forecast([5]) == 5 / SIZING_PERIOD_MS


@settings(max_examples=50)
@given(st.floats(0.0, 0.5), st.floats(2.0, 200.0), st.integers(0, 1000))
def test_more_traffic_never_needs_fewer_slots(rate: float, latency: float, seed: int) -> None:
    samples = [(latency, 1000.0)] * 50
    needs = [slots_needed(k * rate, latency, 1.0, samples, 10, Random(seed)) for k in (1, 2, 4)]
    assert needs == sorted(needs)
    assert needs[0] * 1.0 > rate * (latency - 1.0) - 1e-9  # rho stays under 1


def test_eq_1_by_hand() -> None:
    """d1 = 0.5, d1 + d2 + delta = 6, u at its 99th percentile: the wait just meets the latency target."""

    class FixedRandom(Random):
        def random(self) -> float:
            return 0.99

    samples = [(11.0, 60.0)] * 100
    need = slots_needed(0.4, 11.0, 1.0, samples, 40, FixedRandom())

    def wait(n: int) -> float:
        return 0.5 + (math.log(0.01) / math.log(0.4 / (n * 0.1)) - 1.0) * 6.0

    assert wait(need) + 11.0 < 60.0 <= wait(need - 1) + 11.0


def prefix_for(most: int) -> object:
    return lambda servers: min(max(math.ceil(servers - 1e-9), 1), most)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 5000.0), st.integers(1, 60), st.floats(1.0, 3.0), st.floats(0.0, 0.3)),
        max_size=40,
    ),
    st.integers(1, 30),
)
def test_a_prefix_grows_at_once_and_shrinks_slowly(
    steps: list[tuple[float, int, float, float]], hosts: int
) -> None:
    prefix, now, shrunk_at = ActivePrefix(21.0), 0.0, -math.inf
    prefix_for_size = prefix_for(hosts)
    for gap, need, slow, late in steps:
        now += gap
        before = prefix.size
        prefix.resize(now, need, hosts, slow, late, prefix_for_size)  # type: ignore[arg-type]
        assert 1 <= prefix.size <= hosts
        assert prefix.slots <= 21.0
        if prefix.size < before:
            assert prefix.size >= int(before * PREFIX_SHRINK_RATIO)
            assert now - shrunk_at >= SCALE_IN_INTERVAL_MS
        if now - shrunk_at >= SCALE_IN_INTERVAL_MS:
            shrunk_at = now


def test_slots_grow_while_latency_is_low_and_are_reset_when_it_is_not() -> None:
    prefix = ActivePrefix()
    for k in range(60):
        prefix.resize(k * SCALE_IN_INTERVAL_MS, 4, 10, 1.0, 0.0, prefix_for(10))  # type: ignore[arg-type]
    assert prefix.size < 4 and prefix.slots > 0.4 * SLOTS_GROWTH_RATIO
    prefix.resize(60 * SCALE_IN_INTERVAL_MS + 1.0, 4, 10, 1.0, 0.2, prefix_for(10))  # type: ignore[arg-type]
    assert prefix.size == 10


def test_slots_stay_under_the_known_slots_of_the_hosts() -> None:
    prefix = ActivePrefix(max_slots=2.0)
    for k in range(60):
        prefix.resize(k * SCALE_IN_INTERVAL_MS, 40, 10, 1.0, 0.0, prefix_for(10))  # type: ignore[arg-type]
    assert prefix.slots == 2.0 and prefix.size == 10
