"""`granitewell lab scenarios` and `granitewell lab draw`: list scenarios and print the day of a seed.

Prints scenarios and drawn days; `granitewell.lab.scenario` loads and draws them.
"""

from __future__ import annotations

import click
import msgspec
from rich.console import Console

from granitewell.cli.show import CommandError, as_json, emit, table
from granitewell.lab.day import Day, Fault
from granitewell.lab.scenario import Scenario, ScenarioError, builtin, draw, load, schedule
from granitewell.lab.scenarios.text import toml


class InvalidScenarioError(CommandError):
    """A scenario can't be used; prints one line on standard error for each problem."""

    def __init__(self, error: ScenarioError) -> None:
        super().__init__("\n".join(error.problems))

    def show(self, file: object = None) -> None:
        """Print each problem on its own line, prefixed with the program's name."""
        for line in self.message.splitlines():
            CommandError(line).show()


def load_scenario(name: str) -> Scenario:
    """Load the scenario that an argument names; any problem ends the command with exit code 2."""
    try:
        return load(name)
    except ScenarioError as error:
        raise InvalidScenarioError(error) from None


@click.command("scenarios")
@click.argument("name", required=False)
@as_json
def scenarios(name: str | None, as_json: bool) -> None:
    """List the built-in scenarios, or show one (built-in or a file) with all defaults written out.

    \b
    Example: granitewell lab scenarios
             granitewell lab scenarios wide > mine.toml
    """
    if name is not None:
        one = load_scenario(name)
        emit(msgspec.to_builtins(one.table), as_json, lambda _: click.echo(toml(one), nl=False))
        return
    rows = [(n, load(n).table.about) for n in builtin()]
    data = [{"name": n, "about": about} for n, about in rows]
    emit(data, as_json, lambda _: click.echo("\n".join(f"{n:<24} {about}" for n, about in rows)))


@click.command("draw")
@click.argument("scenario")
@click.option("--seed", type=int, default=1, show_default=True, help="The day's seed.")
@click.option("--nodes", type=int, help="Number of nodes, in place of the file's.")
@click.option("--endpoints", type=int, help="Number of endpoints, in place of the file's.")
@click.option("--rate", type=float, help="First tries a second, in place of the file's.")
@click.option("--length", "length_s", type=float, help="Length of the day in seconds.")
@click.option("--source", "only", type=int, multiple=True, help="Only this line of the schedule; repeatable.")
@as_json
def draw_day(
    scenario: str,
    seed: int,
    nodes: int | None,
    endpoints: int | None,
    rate: float | None,
    length_s: float | None,
    only: tuple[int, ...],
    as_json: bool,
) -> None:
    """Show the day that a seed draws from SCENARIO: its figures, and its faults one by one.

    \b
    Example: granitewell lab draw chaos --seed 7
             granitewell lab draw busy --endpoints 30 --nodes 6 --json
    """
    found = load_scenario(scenario)
    try:
        day = draw(
            found, seed, nodes=nodes, endpoints=endpoints, rate=rate, length_s=length_s,
            only_faults=only or None,
        )  # fmt: skip
        planned = schedule(found, seed, nodes=nodes, endpoints=endpoints, rate=rate, length_s=length_s)
    except ScenarioError as error:
        raise InvalidScenarioError(error) from None
    data = {"day": msgspec.to_builtins(day), "schedule": msgspec.to_builtins(planned)}
    emit(data, as_json, lambda console: _render_day(console, day, planned))


def _render_day(console: Console, day: Day, planned: tuple[Fault, ...]) -> None:
    console.print(_summary(day), highlight=False)
    console.print(table("Endpoints", ("id", "kind", "zone", "cell", "speed", "starts s"), [
        (e.id, day.kinds[e.kind].name, day.zones[e.zone], e.cell, e.speed, f"{e.started_us / 1e6:.3f}")
        for e in day.endpoints
    ]))  # fmt: skip
    if planned:
        columns = ("source", *COLUMNS[1:])
        console.print(table("Schedule", columns, [_fault_row(k, f) for k, f in enumerate(planned)]))
    if day.faults:
        console.print(
            table("Elementary faults", COLUMNS, [_fault_row(k, f) for k, f in enumerate(day.faults)])
        )
    drawn = sorted(day.notes.items())
    console.print(table("Drawn", ("field", "figure"), drawn))


COLUMNS = ("fault", "at s", "until s", "kind", "target", "params")


def _fault_row(index: int, fault: Fault) -> tuple[object, ...]:
    until = f"{fault.until_us / 1e6:.3f}" if fault.until_us >= 0 else "-"
    shown = [(k, v) for k, v in fault.params if v or k == "source"]
    params = " ".join(f"{k}={v:.6g}" if isinstance(v, float) else f"{k}={v}" for k, v in shown)
    return index, f"{fault.at_us / 1e6:.3f}", until, fault.kind, fault.target or "-", params


def _summary(day: Day) -> str:
    rates = [rate for _, rate in day.load.rate]
    load = f"{min(rates):.0f} to {max(rates):.0f} first tries a second" if rates else ""
    if day.load.trace:
        load = f"{len(day.load.trace)} first tries, one by one" + (f" (from {load})" if load else "")
    cores = sum(day.kinds[e.kind].cores * e.speed for e in day.endpoints if e.started_us <= 0)
    return (
        f"{day.name}, seed {day.seed}: {day.length_us / 1e6:g} s, {len(day.nodes)} nodes, "
        f"{len(day.endpoints)} endpoints ({cores:.1f} cores of speed 1 at the start), {load}"
    )
