"""Idle timeout of clients, and the Retry-After of rejections."""

from __future__ import annotations

import math

import pytest

from granitewell.dataplane import client_timeouts
from granitewell.dataplane.client_timeouts import (
    max_wait_for_model_s,
    retry_after_missing_model_s,
    stream_idle_timeout_s,
)
from granitewell.domain.configuration import Route


def route(kind: str = "streaming", target_ms: float = 250, gap_ms: float = 0) -> Route:
    return Route.from_dict(
        {
            "name": "r",
            "host": "h.example",
            "prefix": "/p/",
            "kind": kind,
            "timeout-ms": 10_000,
            "target-ms": target_ms,
            "service": "s",
            "gap_aim_ms": gap_ms,
        }
    )


@pytest.mark.parametrize(
    ("made", "longest"),
    [
        (route(), 2.0),
        (route(target_ms=1_200), 4.8),
        (route(gap_ms=400), 3.2),
        (route(target_ms=0), 40.0),
        (route(kind="non_idempotent"), math.inf),
    ],
)
def test_stream_idle_timeout(made: Route, longest: float) -> None:
    assert stream_idle_timeout_s(made) == pytest.approx(longest)


def test_wait_for_a_model_ends_before_the_client_s_idle_timeout() -> None:
    assert max_wait_for_model_s(route(), 0.0, 4.5) == pytest.approx(1.8)
    assert max_wait_for_model_s(route(), 0.5, 4.5) == pytest.approx(1.3)
    assert max_wait_for_model_s(route(), 0.0, 1.0) == 1.0
    assert max_wait_for_model_s(route(kind="idempotent"), 0.0, 4.5) == 4.5


def test_retry_after_a_missing_model_is_shortly_before_it_is_loaded() -> None:
    assert retry_after_missing_model_s(4.3, 1.8, 8.2) == pytest.approx(1.5)
    assert retry_after_missing_model_s(0.0, 1.8, 8.2) == client_timeouts.MIN_RETRY_AFTER_S
    assert retry_after_missing_model_s(30.0, 1.8, 30.0) == client_timeouts.MAX_RETRY_AFTER_S


def test_retry_after_is_within_a_third_of_the_client_s_time() -> None:
    assert retry_after_missing_model_s(4.3, 1.8, 2.2) == pytest.approx(2.2 / 3)
    assert retry_after_missing_model_s(4.3, 1.8, 0.3) == client_timeouts.MIN_RETRY_AFTER_S
