"""Which servers a request without a second attempt avoids, and who finds out about them."""

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

PATIENCE_S = 0.5


# --- The evidence -----------------------------------------------------------------------------------------
def test_nothing_is_doubted_before_a_failure() -> None:
    doubt = FailureSuspicion()
    doubt.written("a", 0.0)
    doubt.response_started("a")
    doubt.succeeded(0.0)
    assert not doubt.is_suspected(100.0, PATIENCE_S)


def test_a_break_is_doubted_until_whole_answers_in_a_row() -> None:
    doubt = FailureSuspicion()
    doubt.connection_failed(1.0)
    for _ in range(SUCCESSES_AFTER_CONNECTION_FAILURE):
        assert doubt.is_suspected(2.0, PATIENCE_S)
        doubt.succeeded(1.5)
    assert not doubt.is_suspected(2.0, PATIENCE_S)


def test_answers_to_requests_from_before_the_failure_prove_nothing() -> None:
    doubt = FailureSuspicion()
    doubt.error_received(1.0)
    doubt.succeeded(0.9)
    assert doubt.is_suspected(1.1, PATIENCE_S)
    doubt.succeeded(1.0)
    assert not doubt.is_suspected(1.1, PATIENCE_S)


def test_doubt_is_bounded_in_proofs_and_in_time() -> None:
    doubt = FailureSuspicion()
    for _ in range(50):
        doubt.connection_failed(1.0)
    for _ in range(MAX_MISSING_SUCCESSES):
        doubt.succeeded(1.0)
    assert not doubt.is_suspected(1.0, PATIENCE_S)
    doubt.connection_failed(2.0)
    assert doubt.is_suspected(2.0 + SUSPICION_TIMEOUT_S - 0.1, PATIENCE_S)
    assert not doubt.is_suspected(2.0 + SUSPICION_TIMEOUT_S, PATIENCE_S)


def test_one_silent_request_counts_whatever_is_answered_since() -> None:
    doubt = FailureSuspicion()
    doubt.written("mute", 0.0)
    for k in range(10):
        doubt.written(k, k * 0.1)
        doubt.response_started(k)
    assert not doubt.is_suspected(PATIENCE_S, PATIENCE_S)
    assert doubt.is_suspected(1.0, PATIENCE_S)
    doubt.response_started("mute")
    assert not doubt.is_suspected(1.0, PATIENCE_S)


def test_silence_is_remembered_once_its_request_is_given_up() -> None:
    doubt = FailureSuspicion()
    doubt.written("left soon", 0.0)
    doubt.abandoned("left soon", 0.1, PATIENCE_S)
    assert not doubt.is_suspected(0.1, PATIENCE_S)
    doubt.written("mute", 0.0)
    doubt.abandoned("mute", 1.0, PATIENCE_S)
    doubt.abandoned("mute", 1.0, PATIENCE_S)
    assert doubt.is_suspected(1.0, PATIENCE_S) and not doubt.is_suspected(
        1.0 + SUSPICION_TIMEOUT_S, PATIENCE_S
    )


# --- The pick ---------------------------------------------------------------------------------------------
def pool(count: int) -> Pool:
    made = Pool("p", None, 2.0, Random(1))
    servers = [Server(f"s{k}", "plain", f"10.0.0.1:{k + 1}", "a", 6, ServerState.READY) for k in range(count)]
    made.set_servers([ServerRecord(server) for server in servers])
    return made


def picks(made: Pool, now: float, is_final_attempt: bool) -> Counter[str]:
    found = [made.pick(now, 1, is_final_attempt=is_final_attempt) for _ in range(200)]
    return Counter(record.id for record in found if record is not None)


def test_without_failures_careful_requests_are_spread_as_all_others() -> None:
    assert picks(pool(4), 0.0, is_final_attempt=True) == picks(pool(4), 0.0, is_final_attempt=False)


def test_after_its_avoidance_a_failed_server_is_tried_only_by_what_may_be_repeated() -> None:
    made = pool(3)
    made.servers[0].failed(0.0)
    now = BASE_EJECTION_S
    assert set(picks(made, now, is_final_attempt=True)) == {"s1", "s2"}
    assert set(picks(made, now, is_final_attempt=False)) == {"s0", "s1", "s2"}
    for _ in range(SUCCESSES_AFTER_CONNECTION_FAILURE):
        made.servers[0].response_completed(now)
    assert set(picks(made, now, is_final_attempt=True)) == {"s0", "s1", "s2"}


def test_with_doubt_of_all_servers_there_is_still_a_pick() -> None:
    made = pool(3)
    for record in made.servers:
        record.failed(0.0)
    assert picks(made, 0.1, is_final_attempt=True) and picks(made, BASE_EJECTION_S, is_final_attempt=True)


def test_a_doubted_server_is_used_rather_than_none_with_room() -> None:
    """The others are full: waiting would be no better."""
    made = pool(2)
    made.servers[0].failed(0.0)
    made.servers[1].rejected(BASE_EJECTION_S)
    assert set(picks(made, BASE_EJECTION_S, is_final_attempt=True)) == {"s0"}


def test_an_answer_from_before_the_failure_does_not_end_the_avoidance() -> None:
    made = pool(2)
    made.servers[0].failed(1.0)
    made.servers[0].response_completed(0.5)
    assert set(picks(made, 1.1, is_final_attempt=False)) == {"s1"}
    made.servers[0].response_completed(1.0)
    assert set(picks(made, 1.1, is_final_attempt=False)) == {"s0", "s1"}


@pytest.mark.parametrize("share", [0.2, 0.45, 0.7])
def test_what_has_one_attempt_fares_no_worse_than_what_may_be_repeated(share: float) -> None:
    """A model of a service: some servers break off a share of their requests, both kinds come at once.

    The careful kind sees far fewer failures than by luck, and all servers stay in use.
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
    by_luck = share * len(faulty) / 8
    assert failures[True] / sent[True] < by_luck / 4
    assert failures[True] / sent[True] < failures[False] / sent[False]
    assert len(used) == 8
