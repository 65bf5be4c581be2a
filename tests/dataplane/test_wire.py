"""Calls to servers, byte by byte: a part of all troubles.

`python -m tests.dataplane.test_wire all` plays all of them, `python -m tests.dataplane.test_wire FIRST LAST`
the courses of these seeds.
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
    Trouble,
    answer_length,
    cut_answers,
    cut_requests,
    extra_bytes,
    play_course,
)
from tests.dataplane.wire_world import Act, Extra, Runner, Then, ViolationError, When, answer_status

Troubles = Callable[[], Iterator[Trouble]]

PART = 61  # of all split points, one in so many is tried here: prime, so that each kind gets others
COURSES = 400
MAX_TRIED = 4_000  # of a planted defect's troubles


@pytest.fixture
def runner() -> Iterator[Runner]:
    made = Runner()
    yield made
    made.close()


def play_all(runner: Runner, troubles: Iterable[Trouble]) -> int:
    count = 0
    for trouble in troubles:
        try:
            trouble.play(runner)
        except ViolationError as violation:
            raise ViolationError(f"{violation}: {trouble}") from violation
        count += 1
    return count


@pytest.mark.parametrize("troubles", [cut_answers, cut_requests])
def test_a_cut_at_any_byte_breaks_no_rule(runner: Runner, troubles: Troubles) -> None:
    assert play_all(runner, islice(troubles(), 0, None, PART)) > 300


def test_bytes_behind_an_answer_reach_nobody(runner: Runner) -> None:
    assert play_all(runner, islice(extra_bytes(), 0, None, 2)) > 600


def test_courses_of_several_troubles_break_no_rule(runner: Runner) -> None:
    for seed in range(COURSES):
        play_course(runner, seed)


# --- Found by the search, each by itself ----------------------------------------------------------------
@pytest.mark.parametrize("extra", [Extra.SAME_ANSWER, Extra.HALF_ANSWER])
def test_a_late_second_refusal_is_no_word_on_the_next_send(runner: Runner, extra: Extra) -> None:
    """The only server turns a request away, runs it when it comes again, and says its refusal twice."""
    world = Trouble("once", Act("refused", extra=extra, when=When.NEXT_REQUEST), servers=1).play(runner)
    assert [arrival.ran for arrival in world.arrivals[:2]] == [False, True]


@pytest.mark.parametrize("answer", ["length", "chunked", "refused", "until-close"])
def test_an_answer_in_single_bytes_is_served(runner: Runner, answer: str) -> None:
    Trouble("once", Act(answer, sends=0, piece=1)).play(runner)


def test_a_refusal_counts_although_its_body_never_comes(runner: Runner) -> None:
    act = Act("refused", sends=answer_length("refused") - 5, then=Then.SILENCE)
    world = Trouble("once", act).play(runner)
    world.check_served(0)


@pytest.mark.parametrize("kind", ["once", "again"])
def test_an_idle_connection_that_takes_no_byte_is_replaced(runner: Runner, kind: str) -> None:
    """Nothing of the request has arrived, so it goes to the same server over another connection."""
    world = Trouble(kind, Act(extra=Extra.UNSEEN_RESET), servers=1).play(runner)
    assert world.connections == 2 and len(world.arrivals) == 3


def test_an_idle_connection_that_was_dropped_silently_is_no_proof(runner: Runner) -> None:
    """The reset comes only after the request was written: it may have run."""
    world = Trouble("once", Act(extra=Extra.DROPPED), servers=1).play(runner)
    answers = [caller.answer for caller in world.callers.values()]
    assert [answer_status(answer) for answer in answers] == [200, 502, 200]


# --- Planted defects ------------------------------------------------------------------------------------
@dataclass(frozen=True)
class Defect:
    """A guard that is taken out, the troubles that show it, and what the violation says: an expression."""

    plant: Callable[[pytest.MonkeyPatch], None]
    troubles: Troubles
    shows: str
    step: int = 7  # one in so many is tried


def of(troubles: Troubles, kind: str, *answers: str) -> Troubles:
    """Those of one kind of route, with these answers."""

    def chosen() -> Iterator[Trouble]:
        return (t for t in troubles() if t.kind == kind and (not answers or t.act.answer in answers))

    return chosen


DEFECTS = (
    Defect(defects.reuse_after_extra_bytes, of(extra_bytes, "once"), "met no trouble", step=1),
    Defect(defects.idle_bytes_wait_for_the_next_answer, of(extra_bytes, "once"), "met no trouble", step=1),
    Defect(defects.id_not_checked, of(extra_bytes, "once"), "MIXED: nobody gave", step=1),
    Defect(defects.same_id_twice_on_a_connection, of(extra_bytes, "once", "refused"), "TWICE", step=1),
    Defect(defects.reuse_after_early_answer, of(cut_requests, "once"), "the rest of another", step=31),
    Defect(defects.reset_without_length_is_whole, of(cut_answers, "once", "until-close"), "MIXED"),
    Defect(defects.reset_without_length_is_whole, of(cut_answers, "stream", "stream-until-close"), "ORDER"),
    Defect(defects.broken_is_taken_for_not_run, of(cut_answers, "once"), "TWICE"),
    Defect(defects.written_part_is_taken_for_not_run, of(cut_requests, "once"), "TWICE", step=31),
    Defect(defects.not_executed_not_needed, of(cut_answers, "once", "busy"), "TWICE"),
    Defect(defects.bare_promise_passes, of(cut_answers, "once", "busy"), "REFUSED"),
    Defect(defects.seal_not_needed, of(cut_answers, "once", "unsealed"), "without its seal"),
    Defect(defects.pieces_pass_as_they_come, of(cut_answers, "resume", "stream"), "ORDER"),
    Defect(defects.resumed_from_the_start, of(cut_answers, "resume", "stream"), "ORDER"),
    Defect(defects.head_end_within_one_segment, of(cut_answers, "once", "length"), "met no trouble"),
)


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.plant.__name__)
def test_the_search_notices(defect: Defect, runner: Runner, monkeypatch: pytest.MonkeyPatch) -> None:
    defect.plant(monkeypatch)
    for trouble in islice(defect.troubles(), 0, MAX_TRIED, defect.step):
        try:
            trouble.play(runner)
        except ViolationError as violation:
            assert re.search(defect.shows, str(violation)), violation
            return
    pytest.fail("no violation")


# --- The long form --------------------------------------------------------------------------------------
def main(arguments: list[str]) -> None:
    """Play all troubles of one connection, or the courses of some seeds."""
    runner, began = Runner(), time.monotonic()
    if arguments == ["all"]:
        for troubles in (cut_answers, cut_requests, extra_bytes):
            count = play_all(runner, troubles())
            print(f"{troubles.__name__}: {count} played, {time.monotonic() - began:.0f} s so far")
        return
    first, last = map(int, arguments)
    for seed in range(first, last):
        try:
            play_course(runner, seed)
        except ViolationError as violation:
            raise ViolationError(f"{violation}: seed {seed}") from violation
    print(f"courses {first} to {last - 1}: {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main(sys.argv[1:])
