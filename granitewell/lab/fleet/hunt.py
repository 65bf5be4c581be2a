"""Many schedules in virtual time: which seeds break a rule, and how soon all agreed over all of them.

It owns the spread over processes and the joining of figures. It must never print.
"""

from __future__ import annotations

import multiprocessing
import os
from collections import defaultdict
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from statistics import median
from typing import Any

from granitewell.lab.fleet.types import FleetTable, schedule
from granitewell.lab.fleet.virtual import play


@dataclass(frozen=True, slots=True)
class Case:
    """One schedule to draw."""

    name: str
    table: FleetTable
    seed: int
    nodes: int | None = None
    seconds: float | None = None
    severity: float | None = None


@dataclass(slots=True)
class Hunt:
    """What came of it.

    Attributes:
        broken: By seed, what was broken and the first offence.
        took_s: By what had changed.
        unsettled: Changes before whose successor nobody had the time to agree.
    """

    seeds: int = 0
    broken: dict[int, tuple[dict[str, int], str]] = field(default_factory=dict)
    took_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    unsettled: int = 0
    false_deaths: int = 0
    budget_most: float = 0.0

    def as_dict(self) -> dict[str, Any]:
        """Plain JSON."""
        took = {
            cause: {"median": median(x), "worst": max(x), "count": len(x)}
            for cause, x in sorted(self.took_s.items())
        }
        broken = {str(seed): {"rules": rules, "first": first} for seed, (rules, first) in self.broken.items()}
        return {"seeds": self.seeds, "broken": broken, "took_s": took, "unsettled": self.unsettled,
                "false_deaths": self.false_deaths, "budget_most": self.budget_most}  # fmt: skip


HEALED_S = (10, 100, 1000)  # lengths of cuts that are told apart


def label(cause: str) -> str:
    """What had changed, of which times are joined: its sort, and of a cut that has healed how long it was."""
    sort, *words = cause.split()
    if sort != "heal" or "after" not in words:
        return sort
    cut_s = float(words[words.index("after") + 1])
    most = next((x for x in HEALED_S if cut_s <= x), None)
    return f"heal, cut up to {most} s" if most else "heal, cut longer"


def one(case: Case) -> dict[str, Any]:
    """One schedule's figures; what fails in the lab itself is a finding, too."""
    try:
        made = schedule(case.name, case.table, case.seed, nodes=case.nodes, seconds=case.seconds,
                        severity=case.severity)  # fmt: skip
        return play(made)
    except Exception as error:  # the other seeds go on, and this one is named
        return {"error": f"{type(error).__name__}: {error}"}


def hunt(cases: list[Case], jobs: int | None = None) -> Iterator[Hunt]:
    """The joined figures after each seed, the last ones whole."""
    found = Hunt()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1, mp_context=context) as pool:
        for case, made in zip(cases, pool.map(one, cases, chunksize=4), strict=True):
            take(found, case.seed, made)
            yield found


def take(found: Hunt, seed: int, made: dict[str, Any]) -> None:
    """Add one seed's figures."""
    found.seeds += 1
    if "error" in made:
        found.broken[seed] = {"error": 1}, made["error"]
        return
    view = made["view"]
    if view["broken"]:
        first = view["offences"][0]
        text = f"{first['at_us'] / 1e6:.2f} s {first['rule']}: {first['text']}"
        found.broken[seed] = view["broken"], text
    for s in view["settled"]:
        if s["took_s"] is None:
            found.unsettled += 1
        elif s["at_s"] > 0:
            found.took_s[label(s["cause"])].append(s["took_s"])
    found.false_deaths += view["false_deaths"]
    found.budget_most = max(found.budget_most, view["budget_most"])
