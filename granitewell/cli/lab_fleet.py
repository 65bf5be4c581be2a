"""`granitewell lab fleet`: runs many node processes under injected faults and writes a report page.

Parses options, prints tables and sets the exit code; `granitewell.lab.fleet` starts processes and checks
rules. Exit codes: 0 all rules kept; 1 a rule was broken; 2 a scenario or option can't be used; 3 the
machine lacks a resource, or was too busy for a reliable result.
"""

from __future__ import annotations

import signal
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab.fleet.types import FleetError, Schedule, builtin, load, replayed, schedule
from granitewell.lab.loopback.plan import SocksError


@click.command(
    epilog="Examples:\n\n  granitewell lab fleet demo --out demo\n\n"
    "  granitewell lab fleet partition --nodes 12 --seed 3 --json\n\n"
    "  granitewell lab fleet round --night 20 --jobs 4 --out night\n\n"
    "  granitewell lab fleet --replay demo/schedule.json"
)
@click.argument("scenario", required=False)
@click.option("--nodes", type=click.IntRange(1, 100), help="In place of the scenario's number.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of all draws.")
@click.option("--seconds", type=click.FloatRange(1, 86_400), help="Of load, in place of the scenario's.")
@click.option("--rate", type=click.FloatRange(0, 100_000), help="First tries a second; 0: no clients.")
@click.option("--severity", type=click.FloatRange(0, 1), help="Of troubles that the seed draws.")
@click.option("--replay", type=click.Path(dir_okay=False, path_type=Path), help="Play this schedule again.")
@click.option("--plant", default="", help="Start the nodes with this planted defect; `list` names them.")
@click.option("--without", is_flag=True, help="The same load on nodes without [cluster].")
@click.option("--virtual", is_flag=True, help="The same schedule in virtual time, without load.")
@click.option("--hunt", type=click.IntRange(1, 1_000_000), help="So many seeds from --seed on, virtual.")
@click.option("--night", type=click.IntRange(1, 10_000), help="So many seeds from --seed on, processes.")
@click.option("--jobs", type=click.IntRange(1, 16), default=2, show_default=True, help="Of a night, at once.")
@click.option("--turns", is_flag=True, help="Time the turns of each node's loop.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="For page, files and logs.")
@click.option("--keep", is_flag=True, help="Keep files and logs of a run whose rules were kept, too.")
@show.as_json
def fleet(
    scenario: str | None, nodes: int | None, seed: int, seconds: float | None, rate: float | None,
    severity: float | None, replay: Path | None, plant: str, without: bool, virtual: bool, hunt: int | None,
    night: int | None, jobs: int, turns: bool, out: Path | None, keep: bool, as_json: bool,
) -> None:  # fmt: skip
    """Start many nodes that know each other, play SCENARIO's troubles between them, and judge what they
    believe and what they serve. Without SCENARIO the built-in ones are listed.

    A run writes the schedule that it played, and a page with a strip a node.
    """
    if plant == "list" or (scenario is None and replay is None):
        _list_choices(plant, as_json)
        return
    if hunt is not None:
        _run_hunt(scenario or "", hunt, seed, nodes, seconds, severity, as_json)
        return
    if night is not None:
        schedules = [
            _load_schedule(scenario, replay, seed + k, nodes, seconds, severity, rate) for k in range(night)
        ]
        _run_batch(schedules, plant, without, jobs, out, as_json)
        return
    run_schedule = _load_schedule(scenario, replay, seed, nodes, seconds, severity, rate)
    if without:
        run_schedule = replace(run_schedule, cluster=False)
    if virtual:
        _run_virtual(run_schedule, as_json)
        return
    _run_processes(run_schedule, plant, turns, out, keep, as_json)


def _list_choices(plant: str, as_json: bool) -> None:
    if plant:
        from granitewell.lab.fleet.plants import PLANTS

        rows = list(PLANTS.items())
    else:
        rows = [(name, load(name)[1].about) for name in builtin()]
    columns = ("plant" if plant else "scenario", "about")
    show.emit(dict(rows), as_json, lambda console: console.print(show.table("", columns, rows)))


def _load_schedule(
    scenario: str | None, replay: Path | None, seed: int, nodes: int | None, seconds: float | None,
    severity: float | None, rate: float | None,
) -> Schedule:  # fmt: skip
    try:
        if replay is not None:
            return replayed(replay)
        name, table = load(scenario or "")
        return schedule(name, table, seed, nodes=nodes, seconds=seconds, severity=severity, rate=rate)
    except FleetError as error:
        raise show.CommandError(str(error)) from None


def _run_hunt(
    scenario: str, count: int, seed: int, nodes: int | None, seconds: float | None, severity: float | None,
    as_json: bool,
) -> None:  # fmt: skip
    from granitewell.lab.fleet.hunt import Case, Hunt, hunt

    try:
        name, table = load(scenario)
        schedule(name, table, seed, nodes=nodes, seconds=seconds, severity=severity)
    except FleetError as error:
        raise show.CommandError(str(error)) from None
    cases = [Case(name, table, seed + k, nodes, seconds, severity) for k in range(count)]
    found = Hunt()
    with show.progress("playing", count) as bar:
        for so_far in hunt(cases):
            found = so_far
            bar.step()
    data = found.as_dict()
    show.emit(data, as_json, lambda console: _render_hunt(console, scenario, data))
    if found.broken:
        which = ", ".join(map(str, list(found.broken)[:50]))
        raise show.BadOutcomeError(f"{len(found.broken)} of {count} seeds broke a rule: {which}")


def _run_batch(
    schedules: list[Schedule], plant: str, without: bool, jobs: int, out: Path | None, as_json: bool
) -> None:
    from granitewell.lab.fleet.batch_run import BatchResult, Shift, night

    _check_plant(plant)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # as SIGINT, so that no run outlives the batch
    folder = out if out is not None else Path(tempfile.mkdtemp(prefix="granitewell-night-"))
    with_cluster = not without
    runs = [
        Shift(replace(s, cluster=with_cluster), folder / f"seed-{s.seed}", plant, with_cluster)
        for s in schedules
    ]
    found = BatchResult()
    try:
        with show.progress("playing", len(runs)) as bar:
            for so_far in night(runs, folder, jobs):
                found = so_far
                bar.step()
    except OSError as error:
        raise show.UnavailableError(f"{folder}: {error.strerror or error}") from None
    data = found.as_dict() | {"out": str(folder)}
    show.emit(data, as_json, lambda console: _render_batch(console, schedules[0], data))
    if found.broken:
        raise show.BadOutcomeError(f"{len(found.broken)} of {len(schedules)} runs broke a rule: seeds "
                         f"{', '.join(map(str, found.broken[:50]))}; see {folder}")  # fmt: skip
    if found.failed:
        raise show.UnavailableError(f"{len(found.failed)} runs failed: {next(iter(found.failed.values()))}")


def _render_batch(console: Console, run_schedule: Schedule, data: dict[str, Any]) -> None:
    titles = {"processes": "on processes", "busy": "on processes, machine too busy", "virtual": "virtual"}
    for what, title in titles.items():
        if data[what]["seeds"]:
            _render_hunt(console, f"{run_schedule.name}, {len(run_schedule.names)} nodes", data[what], title)
    if data["in_time"]:
        parts = data["in_time"]
        console.print(f"tries in time: median {parts['median']:.2%}, worst {parts['worst']:.2%}")
    for seed, why in data["failed"].items():
        console.print(f"seed {seed}: {why}", markup=False, highlight=False)


def _render_hunt(
    console: Console, scenario: str, data: dict[str, Any], where: str = "in virtual time"
) -> None:
    rows = [(c, t["count"], f"{t['median']:.2f}", f"{t['worst']:.2f}") for c, t in data["took_s"].items()]
    title = f"{scenario}, {data['seeds']} seeds {where}: until all agreed"
    console.print(show.table(title, ("what had changed", "times", "median s", "worst s"), rows))
    budgets = f"budgets at most {data['budget_most']:.2f} of the whole"
    console.print(f"false deaths {data['false_deaths']}; {budgets}; {data['unsettled']} changes came before "
                  "all had agreed on the one before")  # fmt: skip
    for seed, what in list(data["broken"].items())[:20]:
        console.print(f"seed {seed}: {what['first']}", markup=False, highlight=False)


def _run_virtual(run_schedule: Schedule, as_json: bool) -> None:
    from granitewell.lab.fleet.virtual import play

    try:
        found = play(run_schedule)
    except FleetError as error:
        raise show.CommandError(str(error)) from None
    show.emit(found, as_json, lambda console: _render_view(console, run_schedule, found))
    if not found["kept"]:
        raise show.BadOutcomeError(f"rules were broken: {found['view']['broken']}")


def _check_plant(plant: str) -> None:
    from granitewell.lab.fleet.plants import PLANTS

    if plant and plant not in PLANTS:
        raise show.CommandError(f"--plant: found {plant!r}, allowed: {', '.join(PLANTS)}")


def _run_processes(
    run_schedule: Schedule, plant: str, turns: bool, out: Path | None, keep: bool, as_json: bool
) -> None:
    from granitewell.cli.lab_up import progress_watcher
    from granitewell.lab.fleet import page
    from granitewell.lab.fleet.play import play

    _check_plant(plant)
    if plant and turns:
        raise show.CommandError("--turns: not together with --plant")
    folder = out if out is not None else Path(tempfile.mkdtemp(prefix="granitewell-fleet-"))
    command = f"granitewell lab fleet --replay {folder}/schedule.json"
    try:
        with show.progress("playing", int(run_schedule.seconds)) as bar:
            found = play(run_schedule, folder, plant, progress_watcher(bar), turns)
        html = page.write(run_schedule, found, command, folder)
    except SocksError as error:
        raise show.UnavailableError(str(error)) from None
    except OSError as error:
        raise show.UnavailableError(f"{folder}: {error.strerror or error}") from None
    data = {k: v for k, v in found.items() if k not in ("looks", "done", "day", "played")}
    data["html"] = str(html)
    show.emit(data, as_json, lambda console: _render(console, run_schedule, data))
    if out is None and not keep and found["kept"]:
        _delete_all_but_report(folder)
    if not found["kept"]:
        broken = f"rules were broken: {found['view']['broken']} {found['rules']}; see {html}"
        if found["busy"]:
            raise show.UnavailableError(f"this machine was too busy to say whose fault it is: {broken}")
        raise show.BadOutcomeError(broken)


def _delete_all_but_report(folder: Path) -> None:
    """Delete the files of a run except for the report page and the schedule."""
    for path in folder.iterdir():
        if path.is_file() and path.name not in ("fleet.html", "fleet.png", "schedule.json"):
            path.unlink()


def _render_view(console: Console, run_schedule: Schedule, found: dict[str, Any]) -> None:
    view = found["view"]
    rows = [
        (s["cause"], f"{s['at_s']:.2f}", "-" if s["took_s"] is None else f"{s['took_s']:.2f}")
        for s in view["settled"][:60]
    ]
    title = (
        f"{run_schedule.name}, {len(run_schedule.names)} nodes, seed {run_schedule.seed}: until all agreed"
    )
    console.print(show.table(title, ("what had changed", "at s", "took s"), rows))
    if view["settled_s"]:
        s = view["settled_s"]
        console.print(f"settled {s['count']} times: median {s['median']:.2f} s, worst {s['worst']:.2f} s")
    budgets = f"budgets at most {view['budget_most']:.2f} of the whole"
    console.print(f"false deaths {view['false_deaths']}; {budgets}")
    for o in view["offences"][:10]:
        console.print(f"{o['at_us'] / 1e6:.2f} s {o['rule']}: {o['text']}", markup=False, highlight=False)


def _render(console: Console, run_schedule: Schedule, found: dict[str, Any]) -> None:
    _render_view(console, run_schedule, found)
    console.print(f"{found['requests']} requests, {found['in_time']:.2%} of the tries in time, rules broken: "
                  f"{found['rules'] or 'none'}; busy: {found['busy']}", highlight=False)  # fmt: skip
    for name, node_turns in found["turns"].items():
        highest = max((x["work_ms"] for x in node_turns["longest"]), default=0.0)
        turns = f"{node_turns['looks']} looks, {node_turns['long']} turns of over 5 ms"
        console.print(f"{name}: {turns}, most own work {highest:.1f} ms", highlight=False)
    console.print(f"Page: {found['html']}", highlight=False, soft_wrap=True)
