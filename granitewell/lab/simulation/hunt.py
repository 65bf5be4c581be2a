"""Runs many seeds of one scenario in parallel and shrinks the faults of those that fail.

A seed fails if a rule is broken, if its score G is below a bound, or if the day cannot be played. Shrinking
only leaves faults out; nothing else of a day changes. Nothing is printed here.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from typing import Any

from granitewell.lab import scenario as scenarios
from granitewell.lab.day import Day
from granitewell.lab.judge import Judge
from granitewell.lab.simulation.play import play

MAX_PLAYS = 60  # per seed, including shrinking
BELOW, BROKEN_RUN = "below", "error"  # failure kinds besides rule names


@dataclass(frozen=True, slots=True)
class Case:
    """What to play: a scenario (built-in name or file), its sizes, a policy, and the lowest allowed G."""

    scenario: str
    nodes: int | None = None
    endpoints: int | None = None
    rate: float | None = None
    length_s: float | None = None
    policy: str = "module"
    below: float | None = None

    def day(self, seed: int) -> Day:
        """Draw the day of a seed. Raises scenarios.ScenarioError."""
        return scenarios.draw(
            scenarios.load(self.scenario), seed, nodes=self.nodes, endpoints=self.endpoints, rate=self.rate,
            length_s=self.length_s,
        )  # fmt: skip

    def command(self, seed: int, only: Sequence[int] | None) -> str:
        """The command that replays this seed, with only the given faults if `only` is set."""
        figures = (("nodes", self.nodes), ("endpoints", self.endpoints), ("rate", self.rate),
                   ("length", self.length_s))  # fmt: skip
        words = ["granitewell lab sim", _quoted(self.scenario), f"--seed {seed}"]
        words += [f"--{name} {value:g}" for name, value in figures if value is not None]
        if self.policy != "module":
            words.append(f"--policy {self.policy}")
        if only is not None:
            words.append(f"--only-faults {','.join(map(str, only)) or 'none'}")
        return " ".join(words)


@dataclass(slots=True)
class Found:
    """The result of one seed.

    Attributes:
        failed: Empty if all is well, else the rule broken first, `below` or `error`.
    """

    seed: int
    g: float = 0.0
    failed: str = ""
    text: str = ""
    digest: str = ""
    only: tuple[int, ...] | None = None  # the smallest failing set of faults found; None: all of the day's
    plays: int = 0
    command: str = ""
    offence: dict[str, Any] = field(default_factory=dict)


def seeds(case: Case, wanted: Sequence[int], jobs: int) -> Iterator[Found]:
    """Yield each seed's result as it completes. Worker processes are spawned and share no state."""
    if jobs <= 1:
        yield from (look(case, seed) for seed in wanted)
        return
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(jobs, len(wanted)), mp_context=context) as pool:
        for done in as_completed([pool.submit(look, case, seed) for seed in wanted]):
            yield done.result()


def look(case: Case, seed: int) -> Found:
    """Play one seed, and shrink its faults if it fails."""
    day = case.day(seed)
    found = _play(case, day, None)
    found.plays = 1
    if found.failed and day.faults:
        found = _shrunk(case, day, found)
    found.command = case.command(seed, found.only)
    return found


def _shrunk(case: Case, day: Day, whole: Found) -> Found:
    """The failing run with the fewest faults.

    Faults from one entry of the schedule are first removed together, then one by one. A run counts as failing
    only if it fails in the same way as the whole day.
    """
    found, plays = whole, 1

    def fails(only: tuple[int, ...]) -> bool:
        nonlocal found, plays
        if plays >= MAX_PLAYS:
            return False
        plays += 1
        again = _play(case, day, only)
        again.only = only
        found = again if again.failed == whole.failed else found
        return again is found

    groups: dict[float, list[int]] = {}
    for index, fault in enumerate(day.faults):
        groups.setdefault(fault.get("source", -1.0 - index), []).append(index)
    entries = list(groups.values())

    def faults_of(part: tuple[int, ...]) -> tuple[int, ...]:
        return tuple(sorted(x for k in part for x in entries[k]))

    least = faults_of(ddmin(tuple(range(len(entries))), lambda part: fails(faults_of(part))))
    if len(least) > 1:
        ddmin(least, fails)
    found.plays = plays
    return found


def _play(case: Case, day: Day, only: tuple[int, ...] | None) -> Found:
    judge = Judge(day)
    try:
        played = play(day, case.policy, judge, only=only)
    except Exception as error:  # the other seeds continue, and this one is reported
        return Found(day.seed, failed=BROKEN_RUN, text=f"{type(error).__name__}: {error}")
    report = judge.report()
    found = Found(day.seed, report.g, digest=played.digest)
    if report.broken:
        first = report.broken[0]
        found.failed, found.text, found.offence = first.rule, first.text, first.as_dict()
    elif case.below is not None and report.g < case.below:
        found.failed, found.text = BELOW, f"G {report.g:.4f} is below {case.below:g}"
    return found


def ddmin(items: tuple[int, ...], fails: Callable[[tuple[int, ...]], bool]) -> tuple[int, ...]:
    """A subset that still fails and from which no single item can be removed.

    Ddmin of Zeller and Hildebrandt 2002, "Simplifying and isolating failure-inducing input". The full
    set is assumed to fail.
    """
    if fails(()):
        return ()
    parts = 2
    while len(items) >= 2:
        size = -(-len(items) // parts)
        chunks = [items[k : k + size] for k in range(0, len(items), size)]
        rest = [tuple(x for x in items if x not in chunk) for chunk in chunks]
        smaller = next((c for c in chunks if fails(c)), None)
        if smaller is not None:
            items, parts = smaller, 2
            continue
        smaller = next((c for c in rest if len(chunks) > 2 and fails(c)), None)
        if smaller is not None:
            items, parts = smaller, max(parts - 1, 2)
        elif parts >= len(items):
            break
        else:
            parts = min(len(items), 2 * parts)
    return items


def _quoted(text: str) -> str:
    return f"'{text}'" if " " in text else text
