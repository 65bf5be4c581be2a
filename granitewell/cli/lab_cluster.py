"""`granitewell lab cluster`: simulates a cluster of state machines, and searches their states exhaustively.

Parses options, prints the table and sets the exit code; the subjects check their invariants themselves.
Exit codes: 0 all invariants held; 1 an invariant was violated; 2 an option is wrong.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from typing import Any

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab.cluster.days import Case
from granitewell.lab.cluster.hunt import Found, seeds
from granitewell.lab.cluster.subjects import NAMES, subject

MAX_SEEDS = 100_000
_HELP = "\n\n".join((
    "Play days of SUBJECT in virtual time, and print those on which an invariant does not hold, each with "
    "the command that plays it again, shrunk to the fewest troubles that still fail.",
    *(f"{name}: {text}." for name, text in NAMES.items()),
    "With --search, every state of a small world is visited instead.",
))  # fmt: skip


@click.command(
    help=_HELP,
    epilog="Examples:\n\n  granitewell lab cluster leases --seeds 1..200 --jobs 2\n\n"
    "  granitewell lab cluster leases --search quick",
)
@click.argument("name", metavar="SUBJECT", type=click.Choice(tuple(NAMES)))
@click.option("--seeds", "span", default="1..20", show_default=True, metavar="A..B", help="Seeds.")
@click.option("--jobs", type=click.IntRange(1, 1024), help="Processes; default: the cores of this machine.")
@click.option("--severity", type=click.FloatRange(0, 1), default=0.5, show_default=True, help="Of the chaos.")
@click.option("--size", type=click.IntRange(3, 10_000), help="Members; default: as the day has.")
@click.option("--plant", metavar="NAME", help="Put a defect in place; `list` names them.")
@click.option("--only", metavar="K,K", help="Only these of a day's troubles, by number; or `none`.")
@click.option("--search", "wanted", type=click.Choice(("quick", "long")), help="How much is searched.")
@show.as_json
def cluster(name: str, span: str, jobs: int | None, severity: float, size: int | None, plant: str | None,
            only: str | None, wanted: str | None, as_json: bool) -> None:  # fmt: skip
    """Run days or the search; the help text is `_HELP`, which lists the subjects."""
    plants = subject(name).plants
    if plant == "list":
        show.emit(dict(plants), as_json, lambda console: console.print(
            show.table(name, ("plant", "about"), list(plants.items()))))  # fmt: skip
        return
    if plant and plant not in plants:
        raise show.CommandError(f"--plant: found {plant!r}, allowed: {', '.join(plants) or 'none'}")
    if wanted is not None:
        _search(wanted, plant or "", as_json)
        return
    chosen = _parse_trouble_indices(only)
    cases = [Case(seed, severity, size or 0, plant or "", chosen) for seed in _parse_seed_range(span)]
    found: list[Found] = []
    with show.progress(f"{name}, seeds {span}", len(cases)) as steps:
        for one in seeds(name, cases, jobs or os.cpu_count() or 1):
            found.append(one)
            steps.step()
    found.sort(key=lambda f: f.case.seed)
    bad = [f for f in found if f.outcome.broken is not None]
    broken = [_broken_day(name, f) for f in bad]
    data = {"subject": name, "seeds": len(found), "severity": severity, "plant": plant or "",
            **_figures(found), "broken": broken}  # fmt: skip
    show.emit(data, as_json, lambda console: _render(console, name, data, bad))
    if bad:
        raise show.BadOutcomeError(f"{len(bad)} of {len(found)} days did not hold")


def _parse_trouble_indices(text: str | None) -> tuple[int, ...] | None:
    if text is None or text == "none":
        return None if text is None else ()
    try:
        return tuple(int(x) for x in text.split(","))
    except ValueError:
        raise show.CommandError(f"--only: found {text!r}, allowed are numbers as in 1,4, or none") from None


def _parse_seed_range(text: str) -> range:
    first, _, last = text.partition("..")
    last = last or first
    if not first.isdecimal() or not last.isdecimal() or not 0 <= int(last) - int(first) < MAX_SEEDS:
        raise show.CommandError(f"--seeds: found {text!r}, allowed is FIRST..LAST, as in 1..200")
    return range(int(first), int(last) + 1)


# --- Days -----------------------------------------------------------------------------------------------
def _figures(found: list[Found]) -> dict[str, Any]:
    """Aggregate the figures of all days: numbers as sums, lists as median, 95th percentile and worst."""
    days = [f.outcome for f in found]
    data: dict[str, Any] = {"day_s": sum(o.day_s for o in days), "cpu_s": sum(f.cpu_s for f in found)}
    for name in dict.fromkeys(n for o in days for n in o.figures):
        values = [o.figures[name] for o in days if name in o.figures]
        lists = [v for v in values if isinstance(v, list)]
        numbers = [v for v in values if not isinstance(v, list)]
        data[name] = _percentiles(x for v in lists for x in v) if lists else _aggregate(name, numbers)
    return data


def _aggregate(name: str, numbers: list[float]) -> float:
    return max(numbers) if name.endswith("_max") else sum(numbers)


def _percentiles(values: Iterable[float]) -> dict[str, float]:
    ordered = sorted(values)
    if not ordered:
        return {"count": 0}
    at = {"median": 0.5, "p95": 0.95, "worst": 1.0}
    points = {name: ordered[round(part * (len(ordered) - 1))] for name, part in at.items()}
    return {"count": len(ordered), "sum": sum(ordered), **points}


def _broken_day(name: str, f: Found) -> dict[str, Any]:
    broken = f.outcome.broken
    assert broken is not None
    return {"seed": f.case.seed, "at_s": broken.at_us / 1e6, "node": broken.node, "text": broken.text,
            "command": f.case.command(name), "troubles": [t.words() for t in f.outcome.done]}  # fmt: skip


def _render(console: Console, name: str, data: dict[str, Any], bad: list[Found]) -> None:
    for one in data["broken"]:
        _print_line(console, f"seed {one['seed']}, {one['at_s']:.3f} s, {one['node']}: {one['text']}")
        for line in one["troubles"]:
            _print_line(console, f"    {line}")
        _print_line(console, f"    {one['command']}")
    if len(data["broken"]) == 1 and data["seeds"] == 1:
        _print_line(console, f"digest {bad[0].outcome.digest}")
    rows = [(k, v) for k, v in data.items() if isinstance(v, int | float) and k not in ("seeds", "severity")]
    rows += [(f"{k} {part}", x) for k, v in data.items() if isinstance(v, dict) for part, x in v.items()]
    title = f"{name}: {data['seeds']} days, {len(bad)} did not hold"
    console.print(show.table(title, ("figure", "all days"), rows))


def _print_line(console: Console, line: str) -> None:
    console.print(line, markup=False, highlight=False, soft_wrap=True)


# --- The search -----------------------------------------------------------------------------------------
def _search(wanted: str, plant: str, as_json: bool) -> None:
    from granitewell.lab.cluster.leases_search import CATCHES, SEARCHES, look

    if plant and plant not in CATCHES:
        raise show.CommandError(f"--plant: found {plant}, allowed with --search are {', '.join(CATCHES)}")
    rows, broken = [], ""
    for start, bounds in (CATCHES[plant],) if plant else SEARCHES[wanted]:
        seen = look(start, bounds, plant)
        rows.append({
            "start": start, **bounds._asdict(), "states": seen.states, "steps": seen.steps,
            "depth": seen.depth, "whole": seen.whole, "broken": seen.broken, "trace": seen.trace,
        })  # fmt: skip
        broken = broken or seen.broken
    show.emit(rows, as_json, lambda console: _render_search(console, rows))
    if broken:
        raise show.BadOutcomeError(broken)


def _render_search(console: Console, rows: list[dict[str, Any]]) -> None:
    columns = [name for name in rows[0] if name not in ("trace", "broken")]
    table = show.table("every state of three planners", columns, [[row[c] for c in columns] for row in rows])
    console.print(table)
    for row in rows:
        for k, line in enumerate(row["trace"]):
            _print_line(console, f"{k + 1:4} {line}")
        if row["broken"]:
            _print_line(console, f"     {row['broken']}")
