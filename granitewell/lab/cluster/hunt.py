"""Many days of a subject in parallel, and the fewest troubles with which a failing one still fails.

It owns the spread over processes and the shrinking. It must never print.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, replace
from time import process_time

from granitewell.lab.cluster.days import Case, Outcome
from granitewell.lab.cluster.subjects import subject
from granitewell.lab.cluster.world import Broken
from granitewell.lab.simulation.hunt import ddmin

MAX_PLAYS = 200  # of one seed, shrinking included


@dataclass(frozen=True, slots=True)
class Found:
    """What came of one seed; case: shrunk, where it failed.

    Attributes:
        cpu_s: Of the first play.
    """

    case: Case
    outcome: Outcome
    cpu_s: float
    plays: int = 1


def seeds(name: str, cases: Sequence[Case], jobs: int, shrink: bool = True) -> Iterator[Found]:
    """Each case's outcome, as they come. Processes are started afresh: they share nothing with this one."""
    if jobs <= 1 or len(cases) == 1:
        yield from (look(name, case, shrink) for case in cases)
        return
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(jobs, len(cases)), mp_context=context) as pool:
        for done in as_completed([pool.submit(look, name, case, shrink) for case in cases]):
            yield done.result()


def look(name: str, case: Case, shrink: bool = True) -> Found:
    """Play one case; shrink its troubles if an invariant is broken."""
    begun = process_time()
    outcome = _play(name, case)
    took = process_time() - begun
    if outcome.broken is None or not shrink or case.only is not None:
        return Found(case, outcome, took)
    best, plays = (case, outcome), 1

    def fails(only: tuple[int, ...]) -> bool:
        nonlocal best, plays
        if plays >= MAX_PLAYS:
            return False
        plays += 1
        less = replace(case, only=only)
        again = _play(name, less)
        if again.broken is None or again.broken.text.partition(":")[0] != rule:
            return False
        best = (less, again)
        return True

    rule = outcome.broken.text.partition(":")[0]
    ddmin(tuple(range(subject(name).troubles(case))), fails)
    return Found(*best, took, plays)


def _play(name: str, case: Case) -> Outcome:
    try:
        return subject(name).play(case)
    except Exception as error:  # whatever it is, the other seeds go on, and this one is named
        return Outcome(Broken(0, "", f"error: {type(error).__name__}: {error}"), "", 0.0)
