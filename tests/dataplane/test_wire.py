"""Requests to servers, byte by byte: a sample of all fault cases.

`python -m tests.dataplane.test_wire all` runs all of them, `python -m tests.dataplane.test_wire FIRST LAST`
the random sequences of these seeds.
"""

from __future__ import annotations

import re
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

import pytest

from tests.dataplane import wire_defects as defects
from tests.dataplane.wire_faults import (
    FaultCase,
    answer_length,
    cut_answers,
    cut_requests,
    extra_bytes,
    play_fault_sequence,
)
from tests.dataplane.wire_world import (
    Continuation,
    ExtraBytes,
    Runner,
    ServerAction,
    ViolationError,
    When,
    answer_status,
)

FaultCases = Callable[[], Iterator[FaultCase]]

CASE_STEP = 61  # one in so many split points is tested; a prime, so that each kind gets different ones
FAULT_SEQUENCES = 400
MAX_CASES_PER_DEFECT = 4_000  # within which a planted defect must be found


@pytest.fixture
def runner() -> Iterator[Runner]:
    made = Runner()
    yield made
    made.close()


def play_all(runner: Runner, fault_cases: Iterable[FaultCase]) -> int:
    count = 0
    for fault_case in fault_cases:
        try:
            fault_case.play(runner)
        except ViolationError as violation:
            raise ViolationError(f"{violation}: {fault_case}") from violation
        count += 1
    return count


@pytest.mark.parametrize("fault_cases", [cut_answers, cut_requests])
def test_cut_at_any_byte_violates_no_rule(runner: Runner, fault_cases: FaultCases) -> None:
    assert play_all(runner, islice(fault_cases(), 0, None, CASE_STEP)) > 300


def test_bytes_after_a_response_reach_no_client(runner: Runner) -> None:
    assert play_all(runner, islice(extra_bytes(), 0, None, 2)) > 600


def test_random_sequences_of_faults_violate_no_rule(runner: Runner) -> None:
    for seed in range(FAULT_SEQUENCES):
        play_fault_sequence(runner, seed)


# --- Cases that the search has found --------------------------------------------------------------------
@pytest.mark.parametrize("extra", [ExtraBytes.SAME_ANSWER, ExtraBytes.HALF_ANSWER])
def test_duplicate_rejection_does_not_count_for_the_retry(runner: Runner, extra: ExtraBytes) -> None:
    """The only server rejects a request, executes its retry, and sends the rejection twice."""
    world = FaultCase("once", ServerAction("refused", extra=extra, when=When.NEXT_REQUEST), servers=1).play(
        runner
    )
    assert [arrival.ran for arrival in world.arrivals[:2]] == [False, True]


@pytest.mark.parametrize("answer", ["length", "chunked", "refused", "until-close"])
def test_response_in_single_bytes_is_forwarded(runner: Runner, answer: str) -> None:
    FaultCase("once", ServerAction(answer, sends=0, piece=1)).play(runner)


def test_rejection_counts_without_its_body(runner: Runner) -> None:
    act = ServerAction("refused", sends=answer_length("refused") - 5, then=Continuation.SILENCE)
    world = FaultCase("once", act).play(runner)
    world.check_served(0)


@pytest.mark.parametrize("kind", ["once", "again"])
def test_closed_idle_connection_is_replaced(runner: Runner, kind: str) -> None:
    """No byte of the request has arrived, so it is sent to the same server over another connection."""
    world = FaultCase(kind, ServerAction(extra=ExtraBytes.UNSEEN_RESET), servers=1).play(runner)
    assert world.connections == 2 and len(world.arrivals) == 3


def test_silently_dropped_idle_connection_is_no_proof(runner: Runner) -> None:
    """The reset arrives after the request was written, which may have been executed."""
    world = FaultCase("once", ServerAction(extra=ExtraBytes.DROPPED), servers=1).play(runner)
    answers = [caller.answer for caller in world.callers.values()]
    assert [answer_status(answer) for answer in answers] == [200, 502, 200]


# --- Planted defects ------------------------------------------------------------------------------------
@dataclass(frozen=True)
class Defect:
    """A disabled guard, the cases that must find it, and a pattern for the violation."""

    plant: Callable[[pytest.MonkeyPatch], None]
    fault_cases: FaultCases
    violation_pattern: str
    step: int = 7  # one in so many cases is tested


def of(fault_cases: FaultCases, kind: str, *answers: str) -> FaultCases:
    """Return the cases of one kind of route, with these responses."""

    def chosen() -> Iterator[FaultCase]:
        return (t for t in fault_cases() if t.kind == kind and (not answers or t.act.answer in answers))

    return chosen


DEFECTS = (
    Defect(defects.reuse_after_extra_bytes, of(extra_bytes, "once"), "met no fault", step=1),
    Defect(defects.idle_bytes_taken_for_next_response, of(extra_bytes, "once"), "met no fault", step=1),
    Defect(defects.request_id_not_checked, of(extra_bytes, "once"), "MIXED: no server sent", step=1),
    Defect(defects.request_id_reused_on_a_connection, of(extra_bytes, "once", "refused"), "TWICE", step=1),
    Defect(defects.reuse_with_unsent_bytes, of(cut_requests, "once"), "the rest of another", step=31),
    Defect(defects.reset_completes_response_without_length, of(cut_answers, "once", "until-close"), "MIXED"),
    Defect(
        defects.reset_completes_response_without_length,
        of(cut_answers, "stream", "stream-until-close"),
        "ORDER",
    ),
    Defect(defects.broken_taken_for_not_executed, of(cut_answers, "once"), "TWICE"),
    Defect(defects.partly_written_taken_for_not_executed, of(cut_requests, "once"), "TWICE", step=31),
    Defect(defects.unmarked_503_taken_for_not_executed, of(cut_answers, "once", "busy"), "TWICE"),
    Defect(defects.unmarked_503_forwarded, of(cut_answers, "once", "busy"), "REFUSED"),
    Defect(defects.unsigned_success_forwarded, of(cut_answers, "once", "unsealed"), "without its signature"),
    Defect(defects.partial_events_forwarded, of(cut_answers, "resume", "stream"), "ORDER"),
    Defect(defects.resumption_without_last_event_id, of(cut_answers, "resume", "stream"), "ORDER"),
    Defect(defects.head_end_only_within_one_segment, of(cut_answers, "once", "length"), "met no fault"),
)


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.plant.__name__)
def test_search_finds_planted_defect(defect: Defect, runner: Runner, monkeypatch: pytest.MonkeyPatch) -> None:
    defect.plant(monkeypatch)
    for fault_case in islice(defect.fault_cases(), 0, MAX_CASES_PER_DEFECT, defect.step):
        try:
            fault_case.play(runner)
        except ViolationError as violation:
            assert re.search(defect.violation_pattern, str(violation)), violation
            return
    pytest.fail("no violation")


# --- Command line ---------------------------------------------------------------------------------------
def main(arguments: list[str]) -> None:
    """Run all fault cases, or the random sequences of some seeds."""
    runner, began = Runner(), time.monotonic()
    if arguments == ["all"]:
        for fault_cases in (cut_answers, cut_requests, extra_bytes):
            count = play_all(runner, fault_cases())
            print(f"{fault_cases.__name__}: {count} played, {time.monotonic() - began:.0f} s so far")
        return
    first, last = map(int, arguments)
    for seed in range(first, last):
        try:
            play_fault_sequence(runner, seed)
        except ViolationError as violation:
            raise ViolationError(f"{violation}: seed {seed}") from violation
    print(f"courses {first} to {last - 1}: {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main(sys.argv[1:])
