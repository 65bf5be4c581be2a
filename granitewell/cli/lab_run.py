"""`granitewell lab run` and `granitewell lab report`: run experiments and report on them.

Parses arguments and prints results; `granitewell.lab.experiments` runs the days and computes the figures.
"""

from __future__ import annotations

import os
import platform
from contextlib import closing
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
from rich.console import Console

import granitewell
from granitewell.cli import show
from granitewell.lab.experiments import plan as plans
from granitewell.lab.experiments import runner, store
from granitewell.lab.experiments.figures import FIGURES, Compared, compare

_SOURCE_ROOT = Path(granitewell.__file__).parent.parent


@click.command("run", epilog="Example:\n\n  granitewell lab run patience.toml --out results --jobs 4")
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), required=True,
              help="Where results are kept; a run that was cut off goes on there.")  # fmt: skip
@click.option("--jobs", type=click.IntRange(1, 256), help="Days at once; default: the cores, 1 on sockets.")
@show.as_json
def run(experiment: Path, out: Path, jobs: int | None, as_json: bool) -> None:
    """Play all days of EXPERIMENT that have no result yet, then compare the variants.

    Exit code 1: a run failed. Results of another experiment or another code are never mixed in.
    """
    plan = _plan(experiment)
    jobs_at_once = jobs or (1 if plan.shell == "sockets" else len(os.sched_getaffinity(0)))
    try:
        with closing(store.Store(out, create=True)) as results_store:
            failed = _run_missing(plan, results_store, jobs_at_once)
            results = list(results_store.all())
    except store.StoreError as error:
        raise show.UnavailableError(str(error)) from None
    _emit_comparison(plan, results, as_json, f"granitewell lab report {out}")
    if failed:
        why = _last_failure(results)
        raise show.BadOutcomeError(f"{failed} runs failed, the last: {why}; they are tried again next time")


def _run_missing(plan: plans.Plan, results_store: store.Store, jobs: int) -> int:
    results_store.claim(plan, store.fingerprint(_SOURCE_ROOT))
    done = results_store.done()
    remaining = [r for r in plan.runs() if r.key not in done]
    failed = 0
    with show.progress(plan.name, len(plan.runs())) as bar:
        bar.step(len(plan.runs()) - len(remaining))
        ended = runner.play(remaining, plan, jobs)
        with closing(ended):  # type: ignore[type-var]
            for result in ended:
                results_store.put(result)
                failed += bool(result.failed)
                bar.step()
    return failed


@click.command("report", epilog="Example:\n\n  granitewell lab report results/patience")
@click.argument("out", type=click.Path(file_okay=False, path_type=Path))
@show.as_json
def report(out: Path, as_json: bool) -> None:
    """Write report.html and its plots for the results in OUT, also while runs are missing."""
    from granitewell.lab.experiments import report as reports

    try:
        with closing(store.Store(out)) as results_store:
            plan = plans.parse(results_store.about("plan"), str(results_store.path))
            results = list(results_store.all())
            about = {"code": results_store.about("code"), "python": platform.python_version(),
                     "machine": f"{os.cpu_count()} cores, {platform.machine()}"}  # fmt: skip
        page = reports.write(out, plan, results, about)
    except (store.StoreError, plans.PlanError) as error:
        raise show.CommandError(str(error)) from None
    except OSError as error:
        raise show.UnavailableError(f"{error.filename or out}: {error.strerror}") from None
    if as_json:
        _emit_comparison(plan, results, True, "")
    else:
        click.echo(str(page))


def _plan(path: Path) -> plans.Plan:
    try:
        return plans.load(path)
    except plans.PlanError as error:
        raise show.CommandError(str(error)) from None


def _last_failure(results: list[store.Kept]) -> str:
    found = [k for k in results if k.failed]
    return f"{found[-1].variant} on {found[-1].setting}, seed {found[-1].seed}: {found[-1].failed}"


def _emit_comparison(plan: plans.Plan, results: list[store.Kept], as_json: bool, report_hint: str) -> None:
    rows = compare(results, plan.base, plan.troubles(), plan.oracle)
    data: dict[str, Any] = {
        "name": plan.name, "base": plan.base, "runs": len(plan.runs()), "figures": [asdict(r) for r in rows],
        "failed": [{"variant": k.variant, "setting": k.setting, "seed": k.seed, "why": k.failed}
                   for k in results if k.failed],
    }  # fmt: skip
    show.emit(data, as_json, lambda console: _render(console, plan, rows, report_hint))


def _render(console: Console, plan: plans.Plan, rows: list[Compared], report_hint: str) -> None:
    for figure in ("g", "worst_window", "during", "of_oracle", "after_2s", "back_s", "waste", "broken"):
        lines = [
            (f"{r.setting}  {r.variant}", r.mean, r.worst,
             "" if r.variant == plan.base else _difference_text(r))
            for r in rows if r.figure == figure
        ]  # fmt: skip
        if not lines:
            continue  # no variant is the oracle, or no day has a fault
        columns = ("scenario, variant", "mean", "worst seed", f"against {plan.base}, paired, 95%")
        console.print(show.table(f"{figure}: {FIGURES[figure]}", columns, lines))
    console.print(f"the page with all figures and plots: {report_hint}")


def _difference_text(row: Compared) -> str:
    mark = " *" if row.told_apart else ""
    return f"{row.difference:+.4f} [{row.low:+.4f}, {row.high:+.4f}]{mark}"
