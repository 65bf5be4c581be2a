"""`granitewell lab sim` and `granitewell lab hunt`: simulate days in virtual time.

Parses arguments and prints results; `granitewell.lab.simulation` runs the days and `granitewell.lab.judge`
checks them.
"""

from __future__ import annotations

import os
from dataclasses import asdict
from pathlib import Path
from typing import IO, Any

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.cli.lab_judge import render
from granitewell.lab.day import Day
from granitewell.lab.judge import Judge, Report
from granitewell.lab.scenario import ScenarioError
from granitewell.lab.simulation import hunt as hunting
from granitewell.lab.simulation.hunt import Case, Found
from granitewell.lab.simulation.play import POLICIES, Played, play
from granitewell.lab.simulation.profile import Sampler

MAX_SEEDS = 100_000

_SIZE_OPTIONS = (
    click.option("--nodes", type=click.IntRange(1, 10_000), help="So many nodes."),
    click.option("--endpoints", type=click.IntRange(1, 100_000), help="So many endpoints."),
    click.option("--rate", type=click.FloatRange(0.01, 1e6), help="First tries a second."),
    click.option("--length", "length_s", type=click.FloatRange(0.1, 86_400), help="Seconds of arrivals."),
    click.option("--policy", type=click.Choice(POLICIES), default="module", show_default=True,
                 help="What decides in the nodes."),
)  # fmt: skip


def _with_size_options(command: Any) -> Any:
    for option in reversed(_SIZE_OPTIONS):
        command = option(command)
    return command


@click.command("sim", epilog="Example:\n\n  granitewell lab sim deploy --seed 7")
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Which day is drawn.")
@_with_size_options
@click.option("--only-faults", metavar="K,K", help="Only these of the day's faults, by number; or `none`.")
@click.option("--trace", type=click.Path(dir_okay=False, path_type=Path),
              help="Write all that is observed to a file, a JSON line each.")  # fmt: skip
@click.option("--profile", is_flag=True, help="Say where the time went.")
@show.as_json
def sim(scenario: str, seed: int, nodes: int | None, endpoints: int | None, rate: float | None,
        length_s: float | None, policy: str, only_faults: str | None, trace: Path | None, profile: bool,
        as_json: bool) -> None:  # fmt: skip
    """Play one day of SCENARIO (a file or a built-in name) in virtual time.

    The same seed gives the same digest on any machine. Exit code 1: a rule was broken.
    """
    case = Case(scenario, nodes, endpoints, rate, length_s, policy)
    day = _draw_day(case, seed)
    only = _parse_fault_indices(only_faults, day)
    judge = Judge(day)
    played, sampler = _run(day, policy, judge, only, trace, profile)
    report = judge.report()
    data = {"report": played.report, **_figures(played)}
    if sampler is not None:
        data["profile"] = {"parts": sampler.parts(), "functions": sampler.functions()}
    show.emit(data, as_json, lambda console: _render(console, report, played, sampler))
    if not report.kept:
        raise show.BadOutcomeError(f"seed {seed}: {report.broken[0].rule}: {report.broken[0].text}")


@click.command("hunt", epilog="Example:\n\n  granitewell lab hunt chaos --seeds 1..200 --jobs 4")
@click.argument("scenario")
@click.option("--seeds", "span", required=True, metavar="A..B", help="First and last seed.")
@click.option("--jobs", type=click.IntRange(1, 1024), help="Processes; default: the cores of this machine.")
@click.option("--below", type=float, help="A seed whose G is below this fails too.")
@_with_size_options
@show.as_json
def hunt(scenario: str, span: str, jobs: int | None, below: float | None, nodes: int | None,
         endpoints: int | None, rate: float | None, length_s: float | None, policy: str,
         as_json: bool) -> None:  # fmt: skip
    """Play many seeds of SCENARIO in parallel and print those that fail, each with the command that plays it
    again, shrunk to the fewest faults that still fail.

    Exit code 1: some failed.
    """
    case = Case(scenario, nodes, endpoints, rate, length_s, policy, below)
    seeds = _parse_seed_range(span)
    _draw_day(case, seeds[0])  # reports an invalid scenario before any process starts
    found: list[Found] = []
    with show.progress(f"{scenario}, seeds {span}", len(seeds)) as steps:
        for one in hunting.seeds(case, seeds, jobs or os.cpu_count() or 1):
            found.append(one)
            steps.step()
    found.sort(key=lambda f: f.seed)
    failures = [f for f in found if f.failed]
    scores = [f.g for f in found]
    data = {"seeds": len(found), "failed": [asdict(f) for f in failures], "g_mean": sum(scores) / len(scores),
            "g_least": min(scores)}  # fmt: skip
    show.emit(data, as_json, lambda console: _render_hunt(console, data, failures))
    if failures:
        raise show.BadOutcomeError(f"{len(failures)} of {len(found)} seeds failed")


# --- Arguments ------------------------------------------------------------------------------------------
def _draw_day(case: Case, seed: int) -> Day:
    try:
        return case.day(seed)
    except ScenarioError as error:
        raise show.CommandError("; ".join(error.problems)) from None


def _parse_fault_indices(text: str | None, day: Day) -> tuple[int, ...] | None:
    if text is None:
        return None
    if text == "none":
        return ()
    try:
        only = tuple(int(x) for x in text.split(","))
    except ValueError:
        raise show.CommandError(
            f"--only-faults: found {text!r}, allowed are numbers as in 1,4, or none"
        ) from None
    for index in only:
        if not 0 <= index < len(day.faults):
            allowed = f"0 to {len(day.faults) - 1}" if day.faults else "none: the day has no faults"
            raise show.CommandError(f"--only-faults: found {index}, allowed is {allowed}")
    return only


def _parse_seed_range(text: str) -> range:
    first, dots, last = text.partition("..")
    if not dots or not first.isdecimal() or not last.isdecimal() or int(first) > int(last):
        raise show.CommandError(f"--seeds: found {text!r}, allowed is FIRST..LAST, as in 1..200")
    if int(last) - int(first) >= MAX_SEEDS:
        raise show.CommandError(f"--seeds: found {int(last) - int(first) + 1} seeds, allowed are {MAX_SEEDS}")
    return range(int(first), int(last) + 1)


# --- Running --------------------------------------------------------------------------------------------
def _run(day: Day, policy: str, judge: Judge, only: tuple[int, ...] | None, trace: Path | None,
         profile: bool) -> tuple[Played, Sampler | None]:  # fmt: skip
    try:
        file: IO[str] | None = trace.open("w") if trace is not None else None
    except OSError as error:
        raise show.UnavailableError(f"--trace {trace}: {error.strerror}") from None
    try:
        if not profile:
            return play(day, policy, judge, file, only=only), None
        with Sampler() as sampler:
            return play(day, policy, judge, file, only=only), sampler
    except OSError as error:  # only writing the trace does I/O
        raise show.UnavailableError(f"--trace {trace}: {error.strerror}") from None
    finally:
        if file is not None:
            file.close()


def _figures(played: Played) -> dict[str, Any]:
    plain = {name: getattr(played, name) for name in played.__slots__ if name != "report"}
    return {**plain, "speed": played.speed}


# --- Output ---------------------------------------------------------------------------------------------
def _render(console: Console, report: Report, played: Played, sampler: Sampler | None) -> None:
    render(report, console)
    lines = [
        f"{report.day}, seed {report.seed}: {played.requests} tries, {played.events} events, "
        f"{played.day_s:.1f} s in {played.seconds:.2f} s of CPU ({played.speed:.1f} times real time), "
        f"{played.memory_mb:.0f} MB",
        f"digest {played.digest}",
        *(f"node fault: {line}" for line in played.faults),
    ]
    for line in lines:
        console.print(line, markup=False, highlight=False, soft_wrap=True)
    if sampler is not None:
        console.print(show.table("time by part", ("part", "share"), sampler.parts().items()))
        functions = [(name, part, share) for part, name, share in sampler.functions()]
        console.print(show.table("functions", ("function", "part", "share"), functions))


def _render_hunt(console: Console, data: dict[str, Any], failed: list[Found]) -> None:
    for f in failed:
        console.print(f"seed {f.seed}  {f.failed}: {f.text}", markup=False, highlight=False, soft_wrap=True)
        console.print(f"  {f.command}", markup=False, highlight=False, soft_wrap=True)
    console.print(
        f"{data['seeds']} seeds, {len(failed)} failed; "
        f"G mean {data['g_mean']:.4f}, least {data['g_least']:.4f}",
        markup=False, highlight=False,
    )  # fmt: skip
