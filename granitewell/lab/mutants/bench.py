"""Plants each defect in a copy, plays its days there, and says what has caught it.

It owns the copies, the processes that play them, and when a defect counts as caught:

    by a rule      a day on which the judge finds a rule broken, or which the simulator can't play to its end
    by a figure    no rule is broken, but on each of the defect's days (four at least) a figure is worse than
                   with the unharmed program on the same day, in the mean by its bound in FIGURES
    by a record    a recorded exchange is not kept (defects that have no bytes to show in virtual time)

The unharmed program plays every day that any defect has played and must keep all rules; a harmless change of
the random numbers plays the figures' days and must not be caught. It must never change the sources.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from granitewell.lab.mutants.catalogue import Defect
from granitewell.lab.mutants.patch import Patch, PatchError, plant

# What a mean change must reach, with its sign: G, the part of work that reached no client, and attempts and
# failed tries for each first try
FIGURES = {"g": -0.02, "waste": 0.02, "attempts": 0.05, "failed": 0.005}
MIN_DAYS = 4  # for a figure
DAY_S = 300.0  # real time after which a day is held to hang
EXCHANGES_S = 300.0
SAID = "standard-error.txt"  # of the process that plays a copy, in the copy

Day = tuple[str, int]  # scenario, seed
Found = dict[str, Any]  # as child.one says it
Tell = Callable[[str], None]  # called with a name when one piece of work is done


@dataclass(slots=True)
class Outcome:
    """What became of one defect.

    Attributes:
        by: A rule, `error`, `hang`, `figure NAME` or `record NAME`; "" if nothing caught it.
        days: How many were played, up to the one that caught it.
    """

    name: str
    what: str
    expected: tuple[str, ...]
    by: str = ""
    scenario: str = ""
    seed: int = -1
    days: int = 0
    text: str = ""
    history: list[list[Any]] = field(default_factory=list)

    @property
    def understood(self) -> bool:
        """Whether it was caught by what should catch it."""
        return self.by.partition(" ")[0] in self.expected

    def as_dict(self) -> dict[str, Any]:
        """For JSON."""
        return {**asdict(self), "understood": self.understood}


@dataclass(slots=True)
class Result:
    """Play all mutants.

    Returns:
        All outcomes; the days of the unchanged program on which a rule was broken (none, if all is well);
        how many days it has played; and what caught the harmless change ("" for nothing).
    """

    outcomes: list[Outcome] = field(default_factory=list)
    control: list[Found] = field(default_factory=list)
    control_days: int = 0
    control_records: list[str] = field(default_factory=list)
    placebo: str = ""
    placebo_days: int = 0

    @property
    def good(self) -> bool:
        """Whether each defect was caught, and nothing else."""
        caught = all(o.by for o in self.outcomes)
        return caught and not self.control and not self.control_records and not self.placebo


def run(defects: Sequence[Defect], placebo: Defect | None, seeds: int, jobs: int, tell: Tell) -> Result:
    """Plant and play them all, with so many seeds (1 to seeds) and processes at once.

    PatchError: a defect can't be planted, before anything is played.
    """
    work = _Work(seeds, tell)
    with tempfile.TemporaryDirectory(prefix="granitewell-mutants-") as folder:
        homes = {d.name: Path(folder) / d.name for d in defects}
        for defect in defects:
            _plant(defect, homes[defect.name])
        if placebo is not None:
            _plant(placebo, Path(folder) / placebo.name)
        plant(Path(folder) / "unharmed", (), any(d.shell == "exchanges" for d in defects))
        with ThreadPoolExecutor(jobs) as pool:
            played = list(pool.map(lambda d: work.defect(d, homes[d.name]), defects))
            figured = sorted({day for d, (_, found) in zip(defects, played, strict=True) if "figure" in d.by
                              for day in map(_day, found)})  # fmt: skip
            shown = pool.submit(work.days, Path(folder) / placebo.name, figured) if placebo else None
            control = work.control(pool, jobs, Path(folder) / "unharmed", played, defects)
            result = _compared(defects, played, control)
            if shown is not None:
                found = shown.result()
                result.placebo, result.placebo_days = _placebo(found, control[0]), len(found)
        return result


def _plant(defect: Defect, home: Path) -> None:
    try:
        plant(home, defect.patches, tests=defect.shell == "exchanges")
    except PatchError as error:
        raise PatchError(f"defect {defect.name}: {error}") from None


class _Work:
    """Plays copies. Children are ended by their own handles alone."""

    def __init__(self, seeds: int, tell: Tell) -> None:
        self._seeds, self._tell = seeds, tell

    def defect(self, defect: Defect, home: Path) -> tuple[Outcome, list[Found]]:
        """Play a defect's days until one catches it; all of them where only a figure can."""
        outcome, found = Outcome(defect.name, defect.what, defect.by), []
        if defect.shell == "exchanges":
            broken = exchanges(home, defect.on)
            outcome.by = f"record {broken[0]}" if broken else ""
            outcome.days = len(defect.on)
        else:
            days = [(s, k) for k in range(1, self._seeds + 1) for s in defect.on]
            for one in play(home, days):
                found.append(one)
                outcome.days += 1
                if _broke(one):
                    _caught(outcome, one)
                    break
        self._tell(defect.name)
        return outcome, found

    def days(self, home: Path, days: Sequence[Day]) -> list[Found]:
        """Play these days to the last."""
        found = list(play(home, days))
        self._tell(home.name)
        return found

    def control(
        self, pool: ThreadPoolExecutor, jobs: int, home: Path,
        played: Sequence[tuple[Outcome, list[Found]]], defects: Sequence[Defect],
    ) -> tuple[list[Found], list[str], int]:  # fmt: skip
        """The unharmed program on every day and record that any defect has had."""
        days = sorted({_day(one) for _, found in played for one in found})
        records = sorted({s for d in defects if d.shell == "exchanges" for s in d.on})
        parts = [days[k::jobs] for k in range(jobs)]
        found = [one for part in pool.map(lambda p: list(play(home, p)), parts) for one in part]
        broken = exchanges(home, records) if records else []
        self._tell("unharmed")
        return found, broken, len(records)


def play(home: Path, days: Sequence[Day]) -> Iterator[Found]:
    """Play days in the copy, one after the other; what came of each. A day that hangs ends the rest."""
    if not days:
        return
    env = {**os.environ, "PYTHONPATH": str(home), "PYTHONDONTWRITEBYTECODE": "1"}
    command, io = [sys.executable, "-m", "granitewell.lab.mutants.child"], subprocess.PIPE
    with (
        (home / SAID).open("w") as said,
        subprocess.Popen(command, cwd=home, env=env, stdin=io, stdout=io, stderr=said, text=True) as child,
    ):
        assert child.stdin is not None
        child.stdin.write(json.dumps(days))
        child.stdin.close()
        try:
            where = json.loads(_line(child) or "{}").get("home", "")
            if where and Path(where).resolve() != (home / "granitewell").resolve():
                raise RuntimeError(f"{where} was played in place of {home}")
            for scenario, seed in days if where else ():
                line = _line(child)
                if not line:
                    yield _ended(scenario, seed, child.wait(), home)
                    return
                yield json.loads(line)
            if not where:
                yield _ended(*days[0], child.wait(), home)
        finally:
            child.kill()


def _line(child: subprocess.Popen[str]) -> str:
    """Its next line; empty where it has ended, or has taken too long and is ended."""
    timer = threading.Timer(DAY_S, child.kill)
    timer.start()
    try:
        assert child.stdout is not None
        return child.stdout.readline()
    finally:
        timer.cancel()


def _ended(scenario: str, seed: int, code: int, home: Path) -> Found:
    """What is said of a day that gave no line, its process having ended with this code."""
    said = (home / SAID).read_text(errors="replace").strip().splitlines()[-1:]
    error = f"hang: took over {DAY_S:g} s" if code == -9 else f"error: code {code} {' '.join(said)}"
    figures = dict.fromkeys(FIGURES, 0.0)
    return {"scenario": scenario, "seed": seed, "rules": {}, "first": None, "error": error, **figures}


def exchanges(home: Path, names: Sequence[str]) -> list[str]:
    """The recorded exchanges of these names that are not kept in the copy."""
    env = {**os.environ, "PYTHONPATH": str(home), "PYTHONDONTWRITEBYTECODE": "1"}
    chosen = [f"tests/test_exchanges.py::test_exchange[{name}]" for name in names]
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *chosen]
    done = subprocess.run(command, cwd=home, env=env, capture_output=True, text=True, timeout=EXCHANGES_S)
    failed = re.findall(r"^FAILED .*test_exchange\[([^\]]+)\]", done.stdout, re.MULTILINE)
    if done.returncode not in (0, 1):
        raise RuntimeError(f"the recorded exchanges could not be played: {done.stdout.strip()[-300:]}")
    return failed


# --- Verdicts ---------------------------------------------------------------------------------------------
def _day(one: Found) -> Day:
    return one["scenario"], one["seed"]


def _broke(one: Found) -> bool:
    return bool(one["rules"] or one["error"])


def _caught(outcome: Outcome, one: Found) -> None:
    outcome.scenario, outcome.seed = _day(one)
    if one["first"] is not None:
        first = one["first"]
        outcome.by, outcome.text, outcome.history = first["rule"], first["text"], first["history"]
    else:
        outcome.by, _, outcome.text = one["error"].partition(": ")
        outcome.by = outcome.by if outcome.by == "hang" else "error"


def worse(found: Sequence[Found], control: Sequence[Found]) -> tuple[str, str]:
    """The figure that is worse on all of these days, by enough in the mean, and by how much; or two empty."""
    plain = {_day(one): one for one in control}
    if len(found) < MIN_DAYS:
        return "", ""
    for name, bound in FIGURES.items():
        changes = [one[name] - plain[_day(one)][name] for one in found]
        signed = [c / bound for c in changes]
        if min(signed) > 0.0 and sum(signed) / len(signed) >= 1.0:
            mean, span = sum(changes) / len(changes), f"{min(changes):+.3f} to {max(changes):+.3f}"
            return name, f"{name} {mean:+.3f} in the mean of {len(found)} days ({span})"
    return "", ""


def _compared(
    defects: Sequence[Defect], played: Sequence[tuple[Outcome, list[Found]]],
    control: tuple[list[Found], list[str], int],
) -> Result:  # fmt: skip
    found, records, _ = control
    result = Result(control_days=len(found), control_records=records)
    result.control = [one for one in found if _broke(one)]
    for defect, (outcome, days) in zip(defects, played, strict=True):
        if not outcome.by and defect.shell == "sim":
            name, outcome.text = worse(days, found)
            if name:
                outcome.by, (outcome.scenario, outcome.seed) = f"figure {name}", _day(days[0])
        result.outcomes.append(outcome)
    return result


def _placebo(found: Sequence[Found], control: Sequence[Found]) -> str:
    """What caught the harmless change."""
    for one in found:
        if _broke(one):
            return f"{one['scenario']} {one['seed']}: {one['rules'] or one['error']}"
    return worse(found, control)[1]


def harmless() -> Defect:
    """A change that no figure may show: other random numbers in the module."""
    patch = Patch("granitewell/balancing/balancer.py", "self._settings, self._rng = settings, Random(seed)",
                  "self._settings, self._rng = settings, Random(seed + 1)")  # fmt: skip
    return Defect("harmless", "other random numbers in the module", (), (), (patch,))
