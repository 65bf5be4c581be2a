"""`granitewell lab load`: sends an open-loop load to a target and reports the results.

Parses options, prints tables and sets the exit code; `granitewell.lab.load` measures and validates the
figures. Exit codes: 0 the figures are valid; 1 the load generator was the bottleneck, or a worker died; 2 an
option is wrong; 3 the target can't be reached, or the machine lacks a resource; 130 interrupted.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace
from types import FrameType
from typing import Any

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab.load import knee, preflight, run, verdict
from granitewell.lab.load.counts import End
from granitewell.lab.load.knee import Sweep
from granitewell.lab.load.plan import (
    LoadTenant,
    OptionError,
    Plan,
    Step,
    read_class,
    read_rates,
    read_targets,
    read_tenant,
    within,
)
from granitewell.lab.load.processes import Crew, Stands
from granitewell.lab.load.run import Outcome, Result

INTERRUPTED = 130

EXAMPLES = """
\b
Examples:
  granitewell lab load --target 127.0.0.1:8080 --rate 500 --duration 10
  granitewell lab load --target 127.0.0.1:8080,127.0.0.1:8081 --rate 100..2000 --sweep --duration 5 \\
      --class taxi-lookup:70:GET --class ride-assign:30:POST:212 --tenant merkez-koop:8 --tenant liman-koop:2
  granitewell lab load --against-bare 2 --processes 2 --rate 20000 --duration 10
"""


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """The parsed and validated options, before names are resolved and processes started."""

    plan: Plan  # with unresolved targets, and connections not yet divided among processes
    rates: tuple[float, ...]
    sweep: bool
    length_us: int
    connections: int | None
    bare: int
    pin: bool
    nice: int
    hdr: str | None


def _parse_options(options: dict[str, Any]) -> LoadOptions:
    rates = read_rates(options["rate"], options["steps"], options["sweep"])
    within("--duration", options["duration"], 0.1, 86_400)
    within("--processes", options["processes"], 1, 64)
    within("--timeout-ms", options["timeout_ms"], 1, 600_000)
    within("--nice", options["nice"], -20, 19)
    within("--keys", options["keys"], 0, 1e9)
    if bool(options["target"]) == (options["against_bare"] is not None):
        allowed = "HOST:PORT[,HOST:PORT...], or --against-bare in its place"
        raise OptionError("--target", options["target"] or "nothing", allowed)
    if options["against_bare"] is not None:
        within("--against-bare", options["against_bare"], 1, 16)
    plan = _build_plan(options)
    if options["connections"] is not None:
        targets = len(plan.targets) or options["against_bare"]
        within("--connections", options["connections"], plan.workers * targets, 1_000_000)
    if (
        not options["path"].startswith("/")
        or not options["path"].isascii()
        or any(c <= " " for c in options["path"])
    ):
        raise OptionError("--path", options["path"], "a path that starts with / and holds no space")
    length_us, bare = int(options["duration"] * 1e6), options["against_bare"] or 0
    return LoadOptions(
        plan,
        rates,
        options["sweep"],
        length_us,
        options["connections"],
        bare,
        options["pin"],
        options["nice"],
        options["hdr"],
    )


def _build_plan(options: dict[str, Any]) -> Plan:
    return Plan(
        targets=read_targets(options["target"]) if options["target"] else (),
        classes=tuple(map(read_class, options["classes"])),
        tenants=tuple(map(read_tenant, options["tenants"])) or (LoadTenant("load", 1.0),),
        path=options["path"],
        keys=options["keys"],
        timeout_us=options["timeout_ms"] * 1000,
        connections=0,
        workers=options["processes"],
        arrivals=options["arrivals"],
        seed=options["seed"],
        run=os.urandom(4).hex(),
    )


@contextmanager
def _interruptible(crew: Crew) -> Iterator[None]:
    """Let SIGINT and SIGTERM end the run early; what was measured until then is reported."""

    def stop(_signal: int, _frame: FrameType | None) -> None:
        crew.stop()

    previous_handlers = {number: signal.signal(number, stop) for number in (signal.SIGINT, signal.SIGTERM)}
    try:
        yield
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)


def _run_load(options: LoadOptions) -> Outcome:
    plan = options.plan
    share = preflight.connections(options.connections, plan.workers)
    folder = preflight.folder(options.hdr)
    # the least busy CPUs for the workers, then for the stand-ins; if there are too few, nothing is pinned
    cpus: Sequence[int | None] = preflight.quiet_cpus() if options.pin else []
    if len(cpus) < plan.workers + options.bare:
        cpus = [None] * (plan.workers + options.bare)
    stand_ins = Stands(options.bare, cpus[plan.workers :]) if options.bare else None
    try:
        targets = stand_ins.targets if stand_ins else preflight.resolved(plan.targets)
        outcome = _run_workers(options, replace(plan, targets=targets, connections=share), cpus)
    finally:
        if stand_ins:
            stand_ins.close()
    run.judge(outcome)
    if folder is not None:
        try:
            run.write(outcome, folder)
        except OSError as error:
            raise show.UnavailableError(f"--hdr: can't write in {options.hdr}: {error.strerror}") from None
    return outcome


def _run_workers(options: LoadOptions, plan: Plan, cpus: Sequence[int | None]) -> Outcome:
    crew = Crew(plan, cpus, options.nice)
    try:
        with _interruptible(crew):
            if not options.sweep:
                steps = run.steps(options.rates, options.length_us)
                return _run_with_progress(options, crew, steps, len(options.rates), lambda _: None)
            sweep = Sweep(*options.rates)
            steps = run.sweep(sweep, options.length_us)
            return _run_with_progress(
                options, crew, steps, sweep.most_plays, lambda result: sweep.add(result.point)
            )
    finally:
        crew.close()


def _run_with_progress(
    options: LoadOptions,
    crew: Crew,
    steps: Iterator[Step],
    max_steps: int,
    on_result: Callable[[Result], None],
) -> Outcome:
    """Run the steps with a progress bar in seconds of load; a sweep may end before the bar is full."""
    each_s = max(options.length_us // 1_000_000, 1)
    with show.progress("load, seconds", max_steps * each_s) as bar:
        started, shown_s = time.monotonic(), 0

        def advance_to(seconds: int) -> None:
            nonlocal shown_s
            bar.step(max(min(seconds, each_s) - shown_s, 0))
            shown_s = max(min(seconds, each_s), shown_s)

        def done(result: Result) -> None:
            nonlocal started, shown_s
            advance_to(each_s)
            started, shown_s = time.monotonic(), 0
            on_result(result)

        return run.play(
            crew, steps, options.plan.timeout_us, lambda: advance_to(int(time.monotonic() - started)), done
        )


# --- Output ---
_OUTCOME_COLUMNS = (
    "rate/s", "due", "served", "refused", "failed", "timed out", "reset", "not connected", "cut",
    "served/s", "left late", "busiest worker", "",
)  # fmt: skip
_LATENCY_COLUMNS = ("rate/s", "p50", "p90", "p99", "p99.9", "max", "service p50", "p99", "p99.9", "max", "")


def _outcome_row(result: Result) -> list[object]:
    f = run.tally_figures(result.tally, result.took_s)
    counts = [f[end.value] for end in End]
    own = [f"{f['late_part']:.2%}", f"{max(result.busy, default=0.0):.0%}", _status(result)]
    return [f"{result.step.rate:g}", f["due"], *counts, f"{f['goodput_per_s']:g}", *own]


def _latency_row(result: Result) -> list[object]:
    f = run.tally_figures(result.tally, result.took_s)
    latency = _latencies(f["latency_ms"], "p50", "p90", "p99", "p99.9", "max")
    service = _latencies(f["service_ms"], "p50", "p99", "p99.9", "max")
    return [f"{result.step.rate:g}", *latency, *service, _status(result)]


def _status(result: Result) -> str:
    return "VOID" if result.void else "cut short" if result.stopped else ""


def _latencies(times: dict[str, float | None], *names: str) -> list[object]:
    return [times[name] if times[name] is not None else "-" for name in names]


def _render(outcome: Outcome) -> Callable[[Console], None]:
    def render(console: Console) -> None:
        console.print(
            show.table("What became of the requests", _OUTCOME_COLUMNS, map(_outcome_row, outcome.results))
        )
        title = "Milliseconds from when a request was due, and (service) from when it left"
        console.print(show.table(title, _LATENCY_COLUMNS, map(_latency_row, outcome.results)))
        if outcome.knee is not None:
            found = outcome.knee
            console.print(f"knee: {_knee_text(found)} ({found.why})\nrule: {knee.RULE}", soft_wrap=True)
        if outcome.void:
            console.print(f"VOID, not the target's figures ({verdict.RULE}):", soft_wrap=True)
        for line in outcome.void:
            console.print(f"  {line}", soft_wrap=True)
        if outcome.interrupted:
            console.print("interrupted: the figures are of the time until then")
        for path in outcome.paths:
            console.print(f"wrote {path}", soft_wrap=True)

    return render


def _knee_text(found: knee.Knee) -> str:
    if found.good_to is None:
        return "none can be told"
    if found.breaks_from is None:
        return f"none up to {found.good_to:g}/s"
    return f"between {found.good_to:g}/s and {found.breaks_from:g}/s"


@click.command("load", epilog=EXAMPLES)
@click.option("--target", metavar="HOST:PORT[,...]", help="Whom to ask; requests go round in turn.")
@click.option(
    "--against-bare",
    type=int,
    is_flag=False,
    flag_value=1,
    default=None,
    metavar="[N]",
    help="Start N bare stand-ins (1) and ask those: a measure of this tool.",
)
@click.option("--rate", required=True, metavar="R|A..B", help="Requests a second, over all processes.")
@click.option("--steps", type=int, metavar="K", help="Hold K evenly spaced rates from A to B.")
@click.option("--sweep", is_flag=True, help="Climb from A towards B and close in on the knee.")
@click.option("--duration", type=float, required=True, metavar="S", help="Seconds for each rate.")
@click.option("--processes", type=int, default=1, show_default=True, help="Workers; each wants a CPU.")
@click.option(
    "--class",
    "classes",
    multiple=True,
    metavar="NAME:SHARE:GET|POST[:BYTES]",
    help="A class in the platform's protocol; repeat. Without any: plain GET requests of --path.",
)
@click.option("--tenant", "tenants", multiple=True, metavar="NAME[:SHARE]", help="Repeat. Without any: load.")
@click.option("--keys", type=int, default=1000, show_default=True, help="Distinct Affinity-Keys; 0: none.")
@click.option("--path", default="/", show_default=True, help="Of plain GET requests.")
@click.option("--timeout-ms", type=int, default=2000, show_default=True, help="From when a request was due.")
@click.option("--connections", type=int, metavar="MAX", help="Most open, over all processes.  [4096]")
@click.option("--arrivals", default="poisson", show_default=True, help="poisson or uniform.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of the arrivals.")
@click.option("--pin/--no-pin", help="Each process to a CPU of its own; for a machine left alone.")
@click.option("--nice", type=int, default=0, show_default=True, help="Of the workers; below 0: a privilege.")
@click.option("--hdr", metavar="DIR", help="Write HdrHistogram logs (V2 compressed, microseconds) there.")
@show.as_json
def load(as_json: bool, **options: Any) -> None:
    """Offer load at a steady rate, whatever the target does, and report what came of it.

    Requests leave when they are due, not when earlier ones are answered. Figures that the tool itself has
    spoilt are marked VOID, and the exit code is then 1.
    """
    try:
        outcome = _run_load(_parse_options(options))
    except OptionError as error:
        raise show.CommandError(str(error)) from None
    except preflight.PreflightError as error:
        raise show.UnavailableError(str(error)) from None
    show.emit(run.figures(outcome), as_json, _render(outcome))
    if outcome.void:
        raise show.BadOutcomeError(f"the tool was the bottleneck, or broke: {'; '.join(outcome.void)}")
    if outcome.interrupted:
        raise SystemExit(INTERRUPTED)
