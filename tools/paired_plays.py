"""Plays the same days and seeds with two checkouts of the program, and compares them pair by pair.

    python -m tools.paired_plays BENCH OUT BEFORE AFTER SITE DAY... [--seeds 1 2] [--repeats 8] [--jobs N]
        [--why TEXT]

BEFORE and AFTER are roots of clones; the bench builds and measures what stands there and leaves its journal
entries there. DAY is the name of a standard day of the site, or a TOML file. Each seed is one pair;
--repeats N adds N pairs without a seed, as the days stand in the site's file. OUT takes the bench's reports
and what it printed; a play whose files are there isn't played again, so a run that was stopped goes on;
take another OUT after a change of a program.

For each day, and for all together: the mean of each measure before and after, the mean difference with its
standard error and the 95% interval of Student's t, and the pairs that differ most.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import sqrt
from pathlib import Path
from statistics import fmean, stdev
from typing import Any

from tools.bench_days import each_done, result_of

JOBS = 3
MOST_DIFFERENT = 3
T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13)
"""Two-sided 95% quantiles of Student's t for 1 to 15 degrees of freedom."""
T_95_NORMAL = 2.0  # for more


@dataclass(frozen=True, slots=True)
class Pair:
    """One day under one seed, to be played with both programs.

    Attributes:
        repeat: Which of the plays without a seed; 0 for a play with one.
    """

    day: str
    seed: int | None
    repeat: int = 0

    @property
    def stem(self) -> str:
        """Of the names of its files."""
        which = f"repeat-{self.repeat}" if self.seed is None else f"seed-{self.seed}"
        return f"{Path(self.day).stem}.{which}"


@dataclass(frozen=True, slots=True)
class Bench:
    """Where to play, and what."""

    program: Path
    out: Path
    site: Path
    why: str = ""

    def play(self, item: tuple[str, Path, Pair]) -> Mapping[str, float]:
        """Play one side of a pair, unless it was played; its measures, none if it has no report."""
        side, checkout, pair = item
        report = self.out / f"{side}.{pair.stem}.json"
        printed = self.out / f"{side}.{pair.stem}.log"
        if not (report.exists() and printed.exists()):
            seed = [] if pair.seed is None else ["--seed", str(pair.seed)]
            why = ["--why", self.why] if self.why else []
            command = [
                str(self.program),
                "run",
                str(self.site),
                pair.day,
                "--jobs",
                "1",
                "--report",
                str(report),
            ]
            done = subprocess.run(
                [*command, *seed, *why], cwd=checkout, capture_output=True, text=True, check=False
            )
            printed.write_text(done.stdout + done.stderr)
        if not report.exists():
            return {}
        return measures(json.loads(report.read_text()), printed.read_text(), Path(pair.day).stem)


def measures(report: Mapping[str, Any], output: str, day: str) -> Mapping[str, float]:
    """What is compared: score, worth, each part of the worth, all prices and the broken rules."""
    result = result_of(report, output, day)
    found = {"score": result.score if result.score is not None else 0.0, "worth": result.worth}
    found |= {str(name): float(value) for name, _weight, value in report["parts"]}
    found["prices"] = sum(float(price) for _name, _amount, price in report["prices"])
    found["broken rules"] = float(len(result.broken) + bool(result.fault))
    return found


@dataclass(frozen=True, slots=True)
class Difference:
    """A measure of several pairs.

    Attributes:
        error: Standard error of the mean difference; 0 of a single pair.
        half_width: Of the 95% interval.
    """

    before: float
    after: float
    mean: float
    error: float
    half_width: float

    @classmethod
    def of(cls, pairs: Sequence[tuple[float, float]]) -> Difference:
        """The difference, after less before."""
        differences = [after - before for before, after in pairs]
        count = len(differences)
        error = stdev(differences) / sqrt(count) if count > 1 else 0.0
        quantile = T_95[count - 2] if 2 <= count <= len(T_95) + 1 else T_95_NORMAL
        before = fmean(before for before, _after in pairs)
        after = fmean(after for _before, after in pairs)
        return cls(before, after, fmean(differences), error, quantile * error)


Played = Mapping[Pair, tuple[Mapping[str, float], Mapping[str, float]]]


def table(title: str, played: Played) -> Iterator[str]:
    """Lines on these pairs; those without both reports are named."""
    whole = {pair: sides for pair, sides in played.items() if all(sides)}
    for pair in played.keys() - whole.keys():
        yield f"{pair.stem}: no report"
    yield f"## {title}: {len(whole)} pairs"
    if not whole:
        return
    yield "| measure | before | after | difference | standard error | 95% interval |"
    yield "|---|---|---|---|---|---|"
    for name in next(iter(whole.values()))[0]:
        row = Difference.of(
            [(before.get(name, 0.0), after.get(name, 0.0)) for before, after in whole.values()]
        )
        low, high = row.mean - row.half_width, row.mean + row.half_width
        interval = f"{low:+.3f} to {high:+.3f}" if len(whole) > 1 else "one pair"
        means = f"{row.before:.3f} | {row.after:.3f} | {row.mean:+.3f} | {row.error:.3f}"
        yield f"| {name} | {means} | {interval} |"
    ranked = sorted(whole, key=lambda pair: -abs(whole[pair][1]["score"] - whole[pair][0]["score"]))
    for pair in ranked[:MOST_DIFFERENT]:
        before, after = whole[pair]
        yield f"{pair.stem}: {before['score']:.2f} before, {after['score']:.2f} after"


def main(arguments: Sequence[str] | None = None) -> int:
    """Play all pairs and print the tables; 1 if a play of any side has no report."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name in ("bench", "out", "before", "after", "site"):
        parser.add_argument(name, type=Path)
    parser.add_argument("days", nargs="+")
    parser.add_argument("--seeds", nargs="*", type=int, default=[])
    parser.add_argument("--repeats", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("--why", default="")
    given = parser.parse_args(arguments)
    given.out.mkdir(parents=True, exist_ok=True)
    bench = Bench(given.bench.resolve(), given.out.resolve(), given.site.resolve(), given.why)
    pairs = [Pair(day, seed) for day in given.days for seed in given.seeds]
    pairs += [Pair(day, None, repeat) for day in given.days for repeat in range(1, given.repeats + 1)]
    sides = (("before", given.before.resolve()), ("after", given.after.resolve()))
    items = [(side, checkout, pair) for pair in pairs for side, checkout in sides]
    found = {(side, pair): done for (side, _, pair), done in each_done(bench.play, items, given.jobs)}
    played = {pair: (found["before", pair], found["after", pair]) for pair in pairs}
    for day in given.days:
        print("\n".join(table(Path(day).stem, {pair: played[pair] for pair in pairs if pair.day == day})))
    if len(given.days) > 1:
        print("\n".join(table("all days", played)))
    return int(not all(all(sides) for sides in played.values()))


if __name__ == "__main__":
    sys.exit(main())
