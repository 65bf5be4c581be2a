"""`granitewell lab mutants`: mutation tests of the node; shows which check detects each planted defect.

Parses arguments and prints the table; `granitewell.lab.mutants` plants the defects and runs the checks.
"""

from __future__ import annotations

from collections.abc import Sequence

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab.mutants import bench
from granitewell.lab.mutants.catalogue import DEFECTS, Defect
from granitewell.lab.mutants.patch import PatchError


@click.command(epilog="Example:\n\n  granitewell lab mutants --only drain-turned --seeds 3")
@click.option("--only", multiple=True, metavar="NAME", help="Only this defect; may be given several times.")
@click.option("--seeds", type=click.IntRange(1), default=6, show_default=True, help="Days of a scenario.")
@click.option("--jobs", type=click.IntRange(1), default=2, show_default=True, help="Processes at once.")
@show.as_json
def mutants(only: Sequence[str], seeds: int, jobs: int, as_json: bool) -> None:
    """Plant defects in a copy of the node, one at a time, and show what catches each.

    The unharmed program plays the same days, and a harmless change those of the figures. Exit code 1: a
    defect was not caught, or what is unharmed was.
    """
    defects = _select_defects(only)
    harmless_change = bench.harmless() if any("figure" in d.by for d in defects) else None
    try:
        with show.progress("planting", len(defects) + 1 + (harmless_change is not None)) as steps:
            result = bench.run(defects, harmless_change, seeds, jobs, lambda _: steps.step())
    except (PatchError, RuntimeError) as error:
        raise show.CommandError(str(error)) from None
    data = {
        "outcomes": [o.as_dict() for o in result.outcomes], "control": result.control,
        "control_days": result.control_days, "control_records": result.control_records,
        "harmless": result.placebo, "harmless_days": result.placebo_days, "good": result.good,
    }  # fmt: skip
    show.emit(data, as_json, lambda console: render(result, console))
    if not result.good:
        raise click.exceptions.Exit(show.BAD_OUTCOME)


def _select_defects(only: Sequence[str]) -> list[Defect]:
    known = {d.name: d for d in DEFECTS}
    for name in only:
        if name not in known:
            raise show.CommandError(f"--only: found {name!r}, allowed: {', '.join(known)}")
    return [d for d in DEFECTS if not only or d.name in only]


def render(result: bench.Result, console: Console) -> None:
    """Print the table of defects, then the results of the unchanged program and of the harmless change."""
    rows = []
    for o in result.outcomes:
        caught_by = o.by if o.understood or not o.by else f"{o.by} (expected {', '.join(o.expected)})"
        first_day = f"{o.scenario} {o.seed}" if o.scenario else ""
        rows.append([o.name, caught_by or "NOT CAUGHT", first_day, o.days, o.text])
    console.print(show.table("Planted defects", ["defect", "caught by", "first on", "days", "how"], rows))
    caught = sum(bool(o.by) for o in result.outcomes)
    console.print(f"{caught} of {len(result.outcomes)} caught.", highlight=False)
    broken = [f"{x['scenario']} {x['seed']}: {x['rules'] or x['error']}" for x in result.control]
    broken += [f"record {x}" for x in result.control_records]
    kept = "; ".join(broken) or "all rules kept"
    console.print(f"Unharmed, {result.control_days} days: {kept}.", highlight=False)
    if result.placebo_days:
        shown = result.placebo or "not caught, as it should be"
        console.print(f"Harmless change, {result.placebo_days} days: {shown}.", highlight=False)
