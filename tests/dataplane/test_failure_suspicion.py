"""Suspicion of servers, which requests that can't be retried avoid."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from granitewell.dataplane.failure_suspicion import (
    MAX_MISSING_SUCCESSES,
    SUCCESSES_AFTER_CONNECTION_FAILURE,
    SUSPICION_TIMEOUT_S,
    FailureSuspicion,
)
from granitewell.dataplane.server_selection import Pool
from granitewell.dataplane.servers import BASE_EJECTION_S, ServerRecord
from granitewell.domain.servers import Server, ServerState

UNRESPONSIVE_AFTER_S = 0.5


# --- Suspicion ------------------------------------------------------------------------------------------
def test_no_suspicion_before_a_failure() -> None:
    suspicion = FailureSuspicion()
    suspicion.written("a", 0.0)
    suspicion.response_started("a")
    suspicion.succeeded(0.0)
    assert not suspicion.is_suspected(100.0, UNRESPONSIVE_AFTER_S)


def test_suspicion_after_a_connection_failure_ends_with_consecutive_successes() -> None:
    suspicion = FailureSuspicion()
    suspicion.connection_failed(1.0)
    for _ in range(SUCCESSES_AFTER_CONNECTION_FAILURE):
        assert suspicion.is_suspected(2.0, UNRESPONSIVE_AFTER_S)
        suspicion.succeeded(1.5)
    assert not suspicion.is_suspected(2.0, UNRESPONSIVE_AFTER_S)


def test_responses_to_earlier_requests_do_not_end_suspicion() -> None:
    suspicion = FailureSuspicion()
    suspicion.error_received(1.0)
    suspicion.succeeded(0.9)
    assert suspicion.is_suspected(1.1, UNRESPONSIVE_AFTER_S)
    suspicion.succeeded(1.0)
    assert not suspicion.is_suspected(1.1, UNRESPONSIVE_AFTER_S)


def test_suspicion_is_bounded_in_successes_and_time() -> None:
    suspicion = FailureSuspicion()
    for _ in range(50):
        suspicion.connection_failed(1.0)
    for _ in range(MAX_MISSING_SUCCESSES):
        suspicion.succeeded(1.0)
    assert not suspicion.is_suspected(1.0, UNRESPONSIVE_AFTER_S)
    suspicion.connection_failed(2.0)
    assert suspicion.is_suspected(2.0 + SUSPICION_TIMEOUT_S - 0.1, UNRESPONSIVE_AFTER_S)
    assert not suspicion.is_suspected(2.0 + SUSPICION_TIMEOUT_S, UNRESPONSIVE_AFTER_S)


def test_overdue_response_causes_suspicion_despite_later_responses() -> None:
    suspicion = FailureSuspicion()
    suspicion.written("mute", 0.0)
    for k in range(10):
        suspicion.written(k, k * 0.1)
        suspicion.response_started(k)
    assert not suspicion.is_suspected(UNRESPONSIVE_AFTER_S, UNRESPONSIVE_AFTER_S)
    assert suspicion.is_suspected(1.0, UNRESPONSIVE_AFTER_S)
    suspicion.response_started("mute")
    assert not suspicion.is_suspected(1.0, UNRESPONSIVE_AFTER_S)


def test_suspicion_remains_after_an_overdue_request_is_abandoned() -> None:
    suspicion = FailureSuspicion()
    suspicion.written("left soon", 0.0)
    suspicion.abandoned("left soon", 0.1, UNRESPONSIVE_AFTER_S)
    assert not suspicion.is_suspected(0.1, UNRESPONSIVE_AFTER_S)
    suspicion.written("mute", 0.0)
    suspicion.abandoned("mute", 1.0, UNRESPONSIVE_AFTER_S)
    suspicion.abandoned("mute", 1.0, UNRESPONSIVE_AFTER_S)
    assert suspicion.is_suspected(1.0, UNRESPONSIVE_AFTER_S) and not suspicion.is_suspected(
        1.0 + SUSPICION_TIMEOUT_S, UNRESPONSIVE_AFTER_S
    )


# --- Selection ------------------------------------------------------------------------------------------
def pool(count: int) -> Pool:
    made = Pool("p", None, 2.0, Random(1))
    servers = [Server(f"s{k}", "plain", f"10.0.0.1:{k + 1}", "a", 6, ServerState.READY) for k in range(count)]
    made.set_servers([ServerRecord(server) for server in servers])
    return made


def picks(made: Pool, now: float, is_final_attempt: bool) -> Counter[str]:
    found = [made.pick(now, 1, is_final_attempt=is_final_attempt) for _ in range(200)]
    return Counter(record.id for record in found if record is not None)


def test_without_failures_final_attempts_are_spread_like_others() -> None:
    assert picks(pool(4), 0.0, is_final_attempt=True) == picks(pool(4), 0.0, is_final_attempt=False)


def test_after_ejection_a_server_gets_only_retryable_requests() -> None:
    made = pool(3)
    made.servers[0].failed(0.0)
    now = BASE_EJECTION_S
    assert set(picks(made, now, is_final_attempt=True)) == {"s1", "s2"}
    assert set(picks(made, now, is_final_attempt=False)) == {"s0", "s1", "s2"}
    for _ in range(SUCCESSES_AFTER_CONNECTION_FAILURE):
        made.servers[0].response_completed(now)
    assert set(picks(made, now, is_final_attempt=True)) == {"s0", "s1", "s2"}


def test_a_server_is_picked_even_if_all_are_suspected() -> None:
    made = pool(3)
    for record in made.servers:
        record.failed(0.0)
    assert picks(made, 0.1, is_final_attempt=True) and picks(made, BASE_EJECTION_S, is_final_attempt=True)


def test_suspected_server_is_used_if_the_others_are_full() -> None:
    """The alternative would be to wait."""
    made = pool(2)
    made.servers[0].failed(0.0)
    made.servers[1].rejected(BASE_EJECTION_S)
    assert set(picks(made, BASE_EJECTION_S, is_final_attempt=True)) == {"s0"}


def test_response_to_an_earlier_request_does_not_end_ejection() -> None:
    made = pool(2)
    made.servers[0].failed(1.0)
    made.servers[0].response_completed(0.5)
    assert set(picks(made, 1.1, is_final_attempt=False)) == {"s1"}
    made.servers[0].response_completed(1.0)
    assert set(picks(made, 1.1, is_final_attempt=False)) == {"s0", "s1"}


@pytest.mark.parametrize("share", [0.2, 0.45, 0.7])
def test_final_attempts_fail_less_often_than_retryable_requests(share: float) -> None:
    """Simulates a service in which some servers fail a fraction of their requests.

    Final attempts see far fewer failures than random selection gives, and all servers stay in use.
    """
    rng = Random(7)
    made = pool(8)
    faulty = {"s0", "s1"}
    failures: Counter[bool] = Counter()
    sent: Counter[bool] = Counter()
    used: set[str] = set()
    now = 0.0
    for _ in range(4000):
        now += 0.02
        is_final_attempt = rng.random() < 0.3
        record = made.pick(now, 1, is_final_attempt=is_final_attempt)
        assert record is not None
        used.add(record.id)
        sent[is_final_attempt] += 1
        if record.id in faulty and rng.random() < share:
            failures[is_final_attempt] += 1
            record.failed(now)
        else:
            record.response_completed(now)
    average_failure_ratio = share * len(faulty) / 8
    assert failures[True] / sent[True] < average_failure_ratio / 4
    assert failures[True] / sent[True] < failures[False] / sent[False]
    assert len(used) == 8
