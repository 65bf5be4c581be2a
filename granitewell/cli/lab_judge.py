"""`granitewell lab judge`: checks a recording against the rules.

Parses arguments and prints the report; `granitewell.lab.judge` does the checking and counting.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab import day_json
from granitewell.lab.day import Day
from granitewell.lab.judge import Judge, Report
from granitewell.lab.recording import Line, RecordingError, merge, replay
from granitewell.lab.scenario import ScenarioError, draw, load

LINES_PER_STEP = 2000  # lines between two steps of the progress bar


@click.command(epilog="Example:\n\n  granitewell lab judge out/*.jsonl --day out/day.json")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--day", "day_file", type=click.Path(path_type=Path), help="The day that was played, as JSON.")
@click.option("--scenario", help="In place of a day: the scenario that it was drawn from,")
@click.option("--seed", type=int, help="and its seed.")
@show.as_json
def judge(
    files: Sequence[Path], day_file: Path | None, scenario: str | None, seed: int | None, as_json: bool
) -> None:
    """Judge what was observed of a day: FILES of JSON lines, merged by time.

    Exit code 1: a rule is broken. 2: a file that is no recording, or a day that can't be used.
    """
    day = _load_day(day_file, scenario, seed)
    day_judge = Judge(day)
    try:
        lines = sum(_count_lines(path) for path in files)
        with show.progress("judging", lines // LINES_PER_STEP + 1) as steps:
            replay(_with_progress(merge(files), steps), day_judge)
    except OSError as error:
        raise show.CommandError(f"{error.filename}: {error.strerror}") from None
    except ValueError as error:  # a RecordingError, or a name that the judge does not know
        where = "" if isinstance(error, RecordingError) else f"{files[0]}{' ...' if files[1:] else ''}: "
        raise show.CommandError(f"{where}{error}") from None
    report = day_judge.report()
    show.emit(report.as_dict(), as_json, lambda console: render(report, console))
    if not report.kept:
        raise click.exceptions.Exit(show.BAD_OUTCOME)


def _load_day(day_file: Path | None, scenario: str | None, seed: int | None) -> Day:
    if (day_file is None) == (scenario is None) or (scenario is None) != (seed is None):
        raise show.CommandError("give either --day FILE, or --scenario NAME with --seed N")
    try:
        if day_file is not None:
            return day_json.load_file(day_file)
        assert scenario is not None and seed is not None
        return draw(load(scenario), seed)
    except (day_json.DayError, ScenarioError) as error:
        raise show.CommandError(str(error)) from None


def _count_lines(path: Path) -> int:
    with path.open("rb") as data:
        return sum(chunk.count(b"\n") for chunk in iter(lambda: data.read(1 << 20), b""))


def _with_progress(lines: Iterable[Line], steps: show.Steps) -> Iterator[Line]:
    for k, line in enumerate(lines):
        if k % LINES_PER_STEP == 0:
            steps.step()
        yield line


def render(report: Report, console: Console) -> None:
    """Print a report as text and tables."""
    for line in report.lines():
        console.print(line, markup=False, highlight=False, soft_wrap=True)
    tables = {"class": report.by_class, "co-operative": report.by_tenant, "node": report.by_node}
    for title, rows in tables.items():
        kinds = [k for k in report.totals if any(row[k] for row in rows.values())]
        body = [[name, *(row[k] for k in kinds)] for name, row in rows.items()]
        console.print(show.table(f"Tries by {title}", [title, *kinds], body))
    points = ("n", "mean", "p50", "p90", "p99", "p99_9")
    times = [[name, *(h.as_dict()[p] for p in points)] for name, h in report.latency.items()]
    console.print(show.table("Served after (ms)", ["class", *points], times))
    figures = {**report.per_request(), "waste": report.waste}
    text = ", ".join(f"{k} {v:.3f}" for k, v in figures.items())
    console.print(f"For each first try: {text}; double bookings {report.double_bookings}", highlight=False)
