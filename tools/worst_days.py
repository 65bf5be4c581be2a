"""Writes and plays the worst days: five points x deployments x seeds x moments.

    python -m tools.worst_days BENCH OUT SITE... [--seeds 1 2] [--moments 3 9] [--points 1 4]
        [--mixed N] [--only WORD] [--most N] [--slot scale] [--jobs N] [--why TEXT] [--write-only]
        [--table FILE]

Run it at the root of a clone: the bench builds and measures what stands there, and leaves its journal
entries there. OUT takes each day's file, the bench's report and what it printed; a day that is there with
its report, unaltered, isn't played again, so that a run which was stopped goes on where it was; after a
change of the program, take another OUT. --most N spreads N plays evenly over all of them.
"""

from __future__ import annotations

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from statistics import fmean

from tools.bench_days import Bench, Day, Listing, Play, Result, Site, each_done
from tools.worst_day_points import MIXED, POINTS, mixed

DEFAULT_START_TIMES_S = (3.0, 8.0)
DEFAULT_SEEDS = (1,)
DEFAULT_JOBS = 3


@dataclass(frozen=True, slots=True)
class Choice:
    """Selects days.

    Attributes:
        points: Prefixes of the names of points.
        mixed: Days of two points, for each seed and moment.
        only: A text that the day's name must contain.
    """

    seeds: Sequence[int] = DEFAULT_SEEDS
    moments_s: Sequence[float] = DEFAULT_START_TIMES_S
    points: Sequence[str] = ("",)
    mixed: int = 0
    only: str = ""
    most: int | None = None


def all_plays(sites: Mapping[Site, Listing], choice: Choice) -> list[Play]:
    """Return the selected runs, of days that their site allows."""
    plays = [
        Play(site, day, seed)
        for seed in choice.seeds
        for moment_s in choice.moments_s
        for site, listing in sites.items()
        for day in (
            *days_of_points(site, listing, choice.points, moment_s),
            *mixed_days(site, listing, choice.mixed, seed, moment_s),
        )
        if choice.only in day.name
    ]
    return spread(plays, choice.most)


def days_of_points(site: Site, listing: Listing, points: Sequence[str], moment_s: float) -> Iterator[Day]:
    """Yield a day for each scenario of the selected points."""
    for point, scenarios in POINTS.items():
        if point.startswith(tuple(points)):
            allowed = filter(None, (scenario.on(listing) for scenario in scenarios(site)))
            yield from (scenario.day(point, moment_s) for scenario in allowed)


def mixed_days(site: Site, listing: Listing, count: int, seed: int, moment_s: float) -> Iterator[Day]:
    """Yield random days of two points each, drawn from site, seed and moment."""
    draw = Random(f"{site.name} {seed} {moment_s:g}")
    for number in range(1, count + 1):
        yield mixed(site, listing, draw).day(f"{MIXED}-{number}", moment_s)


def spread(plays: Sequence[Play], most: int | None) -> list[Play]:
    """Select at most this many, evenly spread over all."""
    if most is None or most >= len(plays):
        return list(plays)
    return [plays[number * len(plays) // most] for number in range(most)]


# --- results ----------------------------------------------------------------------------------
Outcomes = Sequence[tuple[Play, Result]]


def point_of(play: Play) -> str:
    """Return the point of a day."""
    return next(point for point in (*POINTS, MIXED) if play.day.name.startswith(point))


def by_point_and_site(outcomes: Outcomes) -> dict[tuple[str, str], Outcomes]:
    """Group outcomes by point and deployment, sorted."""
    groups: dict[tuple[str, str], list[tuple[Play, Result]]] = defaultdict(list)
    for play, result in outcomes:
        groups[point_of(play), play.site.name].append((play, result))
    return dict(sorted(groups.items()))


def row(cells: Iterable[object]) -> str:
    """Format a row of a Markdown table."""
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def summary_table(outcomes: Outcomes) -> Iterator[str]:
    """Yield a row for each point and deployment, and one for the total."""
    yield row(
        ["point", "deployment", "scenarios", "seeds", "plays", "broken rules", "faults", "short of the gate",
         "lowest, mean score", "lowest, mean worth"]
    )  # fmt: skip
    yield row(["---"] * 10)
    for (point, site), group in by_point_and_site(outcomes).items():
        yield row([point, site, *summary_cells(group)])
    if outcomes:
        yield row(["all", "all", *summary_cells(outcomes)])


def summary_cells(group: Outcomes) -> list[object]:
    """Return the figures of a group of outcomes."""
    results = [result for _, result in group]
    scores = [result.score for result in results if result.score is not None]
    return [
        len({play.day.name.rpartition("-")[0] for play, _ in group}),
        " ".join(str(seed) for seed in sorted({play.seed or 0 for play, _ in group})),
        len(group),
        sum(bool(result.broken) for result in results),
        sum(bool(result.fault) for result in results),
        sum(bool(result.short) for result in results),
        lowest_and_mean(scores),
        lowest_and_mean([result.worth for result in results]),
    ]


def lowest_and_mean(values: Sequence[float]) -> str:
    """Format minimum and mean, or a dash if there are no values."""
    return f"{min(values):.2f}, {fmean(values):.2f}" if values else "-"


def kinds_table(plays: Sequence[Play]) -> Iterator[str]:
    """Yield a table of the kinds of events on each point's days."""
    kinds: dict[str, set[str]] = defaultdict(set)
    for play in plays:
        kinds[point_of(play)] |= {str(entry["kind"]) for entry in play.day.entries()}
        if play.day.closing is not None:
            kinds[point_of(play)].add(f"{play.day.closing['kind']} at the end")
    yield row(["point", "kinds"])
    yield row(["---"] * 2)
    for point, names in sorted(kinds.items()):
        yield row([point, ", ".join(f"`{name}`" for name in sorted(names))])


def findings(outcomes: Outcomes) -> Iterator[str]:
    """Yield a line for each broken rule, fault or missed bound, in the bench's words."""
    for play, result in outcomes:
        for rule, notes in result.broken.items():
            yield f"- `{play.stem}`: {rule}: {notes}"
        for account in result.first:
            yield f"- `{play.stem}`: {account}"
        if result.fault:
            yield f"- `{play.stem}`: fault: {result.fault}"
        for part in result.short:
            yield f"- `{play.stem}`: short of the gate: {part}"


def lowest(outcomes: Outcomes, count: int = 10) -> Iterator[str]:
    """Yield a table of the runs with the lowest scores, their weakest part and largest price."""
    scored = [(play, result) for play, result in outcomes if result.score is not None]
    yield row(["day", "score", "worth", "weakest part; largest price", "short of the gate"])
    yield row(["---"] * 5)
    for play, result in sorted(scored, key=lambda item: (item[1].score, item[1].worth))[:count]:
        cells = [f"`{play.stem}`", f"{result.score:.2f}", f"{result.worth:.2f}", result.weakest]
        yield row([*cells, "; ".join(result.short) or "-"])


def page(outcomes: Outcomes) -> str:
    """Format all tables as Markdown, independent of the order in which runs ended."""
    ordered = sorted(outcomes, key=lambda item: item[0].stem)
    parts = [
        summary_table(ordered),
        kinds_table([play for play, _ in ordered]),
        lowest(ordered),
        list(findings(ordered)) or ["No rule was broken, there was no fault, and each day passed the gate."],
    ]
    return "\n\n".join("\n".join(part) for part in parts) + "\n"


def line(play: Play, result: Result) -> str:
    """Format the line that is printed when a run is done."""
    score = "-" if result.score is None else f"{result.score:.2f}"
    notes = [*result.broken, *([result.fault] if result.fault else []), *result.short]
    figures = f"score {score}  worth {result.worth:.2f}  {result.wall_s:4.0f} s"
    return f"{play.stem:70} {figures}  {' | '.join(notes)}".rstrip()


# --- the command --------------------------------------------------------------------------------------
def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Parse the arguments."""
    parser = argparse.ArgumentParser("tools.worst_days", description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("bench", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--seeds", type=int, nargs="+", default=DEFAULT_SEEDS)
    parser.add_argument("--moments", type=float, nargs="+", default=DEFAULT_START_TIMES_S)
    parser.add_argument("--points", nargs="+", default=("",))
    parser.add_argument("--mixed", type=int, default=0, help="days of two points, a site, seed and moment")
    parser.add_argument("--only", default="")
    parser.add_argument("--most", type=int)
    parser.add_argument("--slot", default="trouble", help="the standard day whose traffic is taken over")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--why", default="the worst days: five points, written by tools/worst_days.py")
    parser.add_argument("--write-only", action="store_true")
    parser.add_argument("--table", type=Path)
    return parser.parse_args(arguments)


def sites_of(options: argparse.Namespace) -> list[Site]:
    """Read the selected deployments."""
    return [Site.read(path, options.slot) for path in options.sites]


def main(arguments: Sequence[str]) -> int:
    """Run the command line; return 1 if a rule was broken or there was a fault."""
    options = parse_arguments(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    bench = Bench(options.bench.resolve(), options.out.resolve(), options.why)
    sites = {site: bench.listing(site) for site in sites_of(options)}
    choice = Choice(options.seeds, options.moments, options.points, options.mixed, options.only, options.most)
    plays = all_plays(sites, choice)
    print(f"{len(plays)} plays", flush=True)
    if options.write_only:
        for play in plays:
            print(bench.write(play))
        return 0
    outcomes = []
    for play, result in each_done(bench.play, plays, options.jobs):
        print(line(play, result), flush=True)
        outcomes.append((play, result))
    text = page(outcomes)
    print(text)
    if options.table:
        options.table.write_text(text)
    return 0 if all(result.sound for _, result in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
