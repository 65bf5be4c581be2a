"""A whole run: the steps one after the other, their verdicts, the knee and the files.

It owns the order of things. It must never start before the means are there, and never let a void figure into
the knee or the total.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from granitewell.lab.load import files, knee, verdict
from granitewell.lab.load.counts import Hist, Tally
from granitewell.lab.load.knee import Knee, Point, Sweep
from granitewell.lab.load.plan import Step
from granitewell.lab.load.processes import Crew

PARTS = (0.5, 0.9, 0.99, 0.999, 1.0)


@dataclass(slots=True)
class Result:
    """One played step.

    Attributes:
        void: Why its figures are not the target's.
    """

    step: Step
    tally: Tally
    void: tuple[str, ...]
    busy: tuple[float, ...]  # of each worker's loop
    begun_s: float  # seconds since the epoch
    took_s: float  # that requests were due for; shorter than asked for where interrupted
    stopped: bool = False

    @property
    def name(self) -> str:
        """For files."""
        return f"step-{self.step.number:02d}-rate-{self.step.rate:g}"

    @property
    def point(self) -> Point:
        """For the knee."""
        due = self.tally.due
        served = self.tally.ends["served"] / due if due else 0.0
        return Point(self.step.rate, served, self.tally.latency.at(0.99), bool(self.void))


@dataclass(slots=True)
class Outcome:
    """The whole run."""

    results: list[Result] = field(default_factory=list)
    knee: Knee | None = None
    died: bool = False
    interrupted: bool = False
    paths: list[str] = field(default_factory=list)

    @property
    def total(self) -> Tally:
        """Over the steps that stand."""
        whole = Tally()
        for result in self.results:
            if not result.void:
                whole.merge(result.tally)
        return whole

    @property
    def void(self) -> list[str]:
        """Why the figures are not all the target's: the reasons of each rate of which no play stands."""
        standing = [r.step.rate for r in self.results if not r.void]
        return [
            f"step {r.step.number} at {r.step.rate:g}/s: {reason}"
            for r in self.results
            if r.void and (self.died or r.step.rate not in standing)
            for reason in r.void
        ]


def steps(rates: Sequence[float], length_us: int) -> Iterator[Step]:
    """A step for each rate."""
    for number, rate in enumerate(rates, 1):
        yield Step(number, rate, length_us)


def sweep(plan: Sweep, length_us: int) -> Iterator[Step]:
    """Steps as the sweep asks for them; each result must be added before the next is taken."""
    number = 0
    while plan.rate is not None:
        number += 1
        yield Step(number, plan.rate, length_us)


def play(
    crew: Crew,
    todo: Iterator[Step],
    timeout_us: int,
    tick: Callable[[], None],
    seen: Callable[[Result], None],
) -> Outcome:
    """Play the steps until they are done, a worker dies or somebody interrupts.

    `seen` is told each result before the next step is asked for.
    """
    outcome = Outcome()
    for step in todo:
        if crew.stopped:
            break
        begun = time.time()
        played = crew.play(step, timeout_us, tick)
        result = _result(step, played.tallies, played.dead, begun, played.stopped)
        outcome.results.append(result)
        seen(result)
        outcome.died = bool(played.dead)
        if played.dead or played.stopped:
            break
    outcome.interrupted = crew.stopped and not outcome.died
    return outcome


def _result(step: Step, tallies: Sequence[Tally], dead: Sequence[str], begun: float, stopped: bool) -> Result:
    whole = Tally()
    for tally in tallies:
        whole.merge(tally)
    took_us = min(step.length_us, whole.span_us) if stopped else step.length_us
    void = (*dead, *verdict.reasons(tallies))
    busy = tuple(verdict.busy_part(tally) for tally in tallies)
    return Result(step, whole, void, busy, begun, took_us / 1e6, stopped)


def judge(outcome: Outcome) -> None:
    """The knee, where several rates were played."""
    points = [result.point for result in outcome.results if not result.stopped]
    if len({point.rate for point in points}) > 1:
        outcome.knee = knee.find(points)


def write(outcome: Outcome, folder: Path) -> None:
    """All files of the run: each step's and the total's. OSError: as the disk gives it."""
    for r in outcome.results:
        outcome.paths += files.write(folder, r.name, r.tally, r.begun_s, r.took_s, r.void)
    standing = [r for r in outcome.results if not r.void]
    if standing:
        took = sum(r.took_s for r in standing)
        outcome.paths += files.write(folder, "total", outcome.total, standing[0].begun_s, took, ())


def figures(outcome: Outcome) -> dict[str, Any]:
    """The run as plain values for JSON. Times in milliseconds; a void step says so itself."""
    return {
        "steps": [_step_figures(result) for result in outcome.results],
        "total": tally_figures(outcome.total, sum(r.took_s for r in outcome.results if not r.void)),
        "knee": _knee_figures(outcome.knee),
        "void": outcome.void,
        "void_rule": verdict.RULE,
        "interrupted": outcome.interrupted,
        "files": outcome.paths,
    }


def _knee_figures(found: Knee | None) -> dict[str, Any] | None:
    if found is None:
        return None
    return {"good_to": found.good_to, "breaks_from": found.breaks_from, "why": found.why, "rule": knee.RULE}


def _step_figures(result: Result) -> dict[str, Any]:
    return {
        "step": result.step.number,
        "rate": result.step.rate,
        "void": list(result.void),
        "stopped": result.stopped,
        "busy": [round(part, 3) for part in result.busy],
        **tally_figures(result.tally, result.took_s),
    }


def tally_figures(tally: Tally, took_s: float) -> dict[str, Any]:
    """One tally as plain values."""
    return {
        "seconds": round(took_s, 3),
        "due": tally.due,
        **tally.ends,
        "goodput_per_s": round(tally.ends["served"] / took_s, 1) if took_s else 0.0,
        "latency_ms": _times(tally.latency),
        "service_ms": _times(tally.service),
        "departure_lateness_ms": _times(tally.away),
        "late_part": round(verdict.late_part(tally), 5),
        "late_reads": tally.late_reads,
        "waited_at_cap": tally.waited,
        "resent": tally.resent,
        "garbage": tally.garbage,
        "dials": tally.dials,
        "own_errors": tally.own,
    }


def _times(hist: Hist) -> dict[str, float | None]:
    values = {f"p{100 * part:g}" if part < 1 else "max": hist.at(part) for part in PARTS}
    return {name: None if us is None else us / 1000 for name, us in values.items()}
