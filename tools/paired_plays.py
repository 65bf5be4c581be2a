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

DEFAULT_JOBS = 3
MAX_LISTED_PAIRS = 3
T_QUANTILES_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13)
"""Two-sided 95% quantiles of Student's t for 1 to 15 degrees of freedom."""
T_QUANTILE_95_LARGE = 2.0  # for more degrees of freedom


@dataclass(frozen=True, slots=True)
class Pair:
    """One day with one seed, to be run with both programs.

    Attributes:
        repeat: The number of a run without a seed; 0 for a run with one.
    """

    day: str
    seed: int | None
    repeat: int = 0

    @property
    def stem(self) -> str:
        """The stem of the names of its files."""
        variant = f"repeat-{self.repeat}" if self.seed is None else f"seed-{self.seed}"
        return f"{Path(self.day).stem}.{variant}"


@dataclass(frozen=True, slots=True)
class Bench:
    """The bench's program, the output folder and the site."""

    program: Path
    out: Path
    site: Path
    why: str = ""

    def play(self, item: tuple[str, Path, Pair]) -> Mapping[str, float]:
        """Run one side of a pair unless its files exist; return its measures, none if it has no report."""
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
    """Return the measures to compare: score, worth, its parts, all prices and broken rules."""
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
        half_width: Half the width of the 95% interval.
    """

    before: float
    after: float
    mean: float
    error: float
    half_width: float

    @classmethod
    def of(cls, pairs: Sequence[tuple[float, float]]) -> Difference:
        """Compute the difference, after minus before."""
        differences = [after - before for before, after in pairs]
        count = len(differences)
        error = stdev(differences) / sqrt(count) if count > 1 else 0.0
        quantile = T_QUANTILES_95[count - 2] if 2 <= count <= len(T_QUANTILES_95) + 1 else T_QUANTILE_95_LARGE
        before = fmean(before for before, _after in pairs)
        after = fmean(after for _before, after in pairs)
        return cls(before, after, fmean(differences), error, quantile * error)


Played = Mapping[Pair, tuple[Mapping[str, float], Mapping[str, float]]]


def table(title: str, played: Played) -> Iterator[str]:
    """Yield the table of these pairs; pairs without both reports are listed first."""
    complete = {pair: sides for pair, sides in played.items() if all(sides)}
    for pair in played.keys() - complete.keys():
        yield f"{pair.stem}: no report"
    yield f"## {title}: {len(complete)} pairs"
    if not complete:
        return
    yield "| measure | before | after | difference | standard error | 95% interval |"
    yield "|---|---|---|---|---|---|"
    for name in next(iter(complete.values()))[0]:
        row = Difference.of(
            [(before.get(name, 0.0), after.get(name, 0.0)) for before, after in complete.values()]
        )
        low, high = row.mean - row.half_width, row.mean + row.half_width
        interval = f"{low:+.3f} to {high:+.3f}" if len(complete) > 1 else "one pair"
        means = f"{row.before:.3f} | {row.after:.3f} | {row.mean:+.3f} | {row.error:.3f}"
        yield f"| {name} | {means} | {interval} |"
    ranked = sorted(complete, key=lambda pair: -abs(complete[pair][1]["score"] - complete[pair][0]["score"]))
    for pair in ranked[:MAX_LISTED_PAIRS]:
        before, after = complete[pair]
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
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--why", default="")
    options = parser.parse_args(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    bench = Bench(options.bench.resolve(), options.out.resolve(), options.site.resolve(), options.why)
    pairs = [Pair(day, seed) for day in options.days for seed in options.seeds]
    pairs += [Pair(day, None, repeat) for day in options.days for repeat in range(1, options.repeats + 1)]
    sides = (("before", options.before.resolve()), ("after", options.after.resolve()))
    items = [(side, checkout, pair) for pair in pairs for side, checkout in sides]
    found = {(side, pair): done for (side, _, pair), done in each_done(bench.play, items, options.jobs)}
    played = {pair: (found["before", pair], found["after", pair]) for pair in pairs}
    for day in options.days:
        print("\n".join(table(Path(day).stem, {pair: played[pair] for pair in pairs if pair.day == day})))
    if len(options.days) > 1:
        print("\n".join(table("all days", played)))
    return int(not all(all(sides) for sides in played.values()))


if __name__ == "__main__":
    sys.exit(main())
