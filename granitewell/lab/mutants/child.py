"""The process in which one copy of the packages is played: days in, a line of JSON for each out.

It owns that exchange and must never compare or judge beyond what the judge reports. It is started inside the
copy as `python -m granitewell.lab.mutants.child`, reads `[[scenario, seed], ...]` from standard input, and
writes first which granitewell it is, then what came of each day, as soon as it is known. A scenario's name
may carry changes of its days that no built-in scenario has: `busy+impatient`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import granitewell
from granitewell.lab.day import Day, Fault
from granitewell.lab.judge import Judge
from granitewell.lab.scenario import draw, load
from granitewell.lab.simulation.play import play


def drawn(name: str, seed: int) -> Day:
    """The day of a scenario's name, with changes behind plus signs where it has any.

    KeyError, ScenarioError: there is no such change or scenario.
    """
    scenario, *changes = name.split("+")
    day = draw(load(scenario), seed)
    for change in changes:
        day = CHANGES[change](day)
    return day


def _impatient(day: Day) -> Day:
    """Half of the clients leave early."""
    return replace(day, clients=replace(day.clients, impatient=0.5))


def _far(day: Day) -> Day:
    """Endpoints are so far that a new connection takes over a tenth of a second to come up."""
    return replace(day, network=replace(day.network, same_us=20_000, cross_us=20_000))


def _term(day: Day) -> Day:
    """Each node is asked to stop once, one after the other, while faults are on."""
    first, step = 10_000_000, 2_000_000
    stops = [Fault(first + k * step, first + k * step + 5_000_000, "node_term", n.name) for k, n in
             enumerate(day.nodes)]  # fmt: skip
    return replace(day, faults=tuple(sorted((*day.faults, *stops), key=lambda f: f.at_us)))


CHANGES: dict[str, Callable[[Day], Day]] = {"impatient": _impatient, "far": _far, "term": _term}


def one(scenario: str, seed: int) -> dict[str, Any]:
    """Play a day; its figures and what was broken. What the shell can't run is a finding, too."""
    day = drawn(scenario, seed)
    judge = Judge(day, order_us=0)  # one clock and one process see everything
    found: dict[str, Any] = {"scenario": scenario, "seed": seed, "error": ""}
    try:
        play(day, witness=judge)
    except Exception as error:
        found["error"] = f"{type(error).__name__}: {error}"
    report = judge.report()
    requests = max(report.requests, 1)
    return {
        **found, "rules": report.offences, "first": report.broken[0].as_dict() if report.broken else None,
        "g": report.g, "waste": report.waste, "attempts": report.attempts / requests,
        "failed": report.totals["failed"] / requests,
    }  # fmt: skip


def main() -> None:
    """Read the days, play them, write a line for each."""
    days = json.load(sys.stdin)
    print(json.dumps({"home": str(Path(str(granitewell.__file__)).parent)}), flush=True)
    for scenario, seed in days:
        print(json.dumps(one(scenario, seed)), flush=True)


if __name__ == "__main__":
    main()
