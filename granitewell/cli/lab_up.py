"""`granitewell lab up` and `granitewell lab demo`: run nodes and emulated endpoints on loopback sockets.

Parses options, prints tables and sets the exit code; `granitewell.lab.loopback` starts the processes and
`granitewell.lab.scenario` draws the day. Exit codes: 0 done, and in the demo all rules kept; 1 a rule was
broken; 2 a scenario or option can't be used; 3 the machine lacks a resource.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab.day import Day
from granitewell.lab.judge import RULES
from granitewell.lab.loopback.director import Director, Options
from granitewell.lab.loopback.plan import SocksError
from granitewell.lab.loopback.play import play_on_sockets, run
from granitewell.lab.scenario import ScenarioError, draw, load

DEMO_SCENARIO = "rainy-evening"
OUTCOMES = ("served", "late", "refused", "failed")


def _draw_day(scenario: str, seed: int, **overrides: Any) -> Day:
    """Draw a day; an invalid scenario or option ends the command with exit code 2."""
    try:
        return draw(load(scenario), seed, **overrides)
    except ScenarioError as error:
        raise show.CommandError(str(error)) from None


def _output_folder(out: Path | None) -> Path:
    return out if out is not None else Path(tempfile.mkdtemp(prefix="granitewell-"))


@contextmanager
def _resource_errors() -> Iterator[None]:
    """Turn a resource that the machine lacks into one line and exit code 3."""
    try:
        yield
    except SocksError as error:
        raise show.UnavailableError(str(error)) from None


# --- up ---------------------------------------------------------------------------------------------------
@click.command(epilog="Example:\n\n  granitewell lab up rainy-evening --nodes 2 --endpoints 6 --json")
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, help="Of the day that is drawn.")
@click.option("--nodes", type=click.IntRange(1, 250), help="In place of the scenario's number.")
@click.option("--endpoints", type=click.IntRange(1, 10_000), help="In place of the scenario's number.")
@click.option("--clients", is_flag=True, help="Play the scenario's load, too.")
@click.option("--faults", is_flag=True, help="Let the scenario's faults happen, too.")
@click.option(
    "--rough",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Part of the right answers that come oddly: 1xx ahead, a byte at a time, bytes behind.",
)
@click.option(
    "--rude",
    type=click.IntRange(0, 1000),
    default=0,
    show_default=True,
    help="Clients that break the protocol: silence, halves, floods, windows that never open.",
)
@click.option(
    "--port",
    type=click.IntRange(0, 65535),
    default=0,
    show_default=True,
    help="Of all nodes; 0: any that is free.",
)
@click.option("--base", type=click.IntRange(16, 250), help="Second number of all addresses, 127.BASE.0.0.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="For files and logs.")
@show.as_json
def up(scenario: str, seed: int, nodes: int | None, endpoints: int | None, clients: bool, faults: bool,
       rough: float, rude: int, port: int, base: int | None, out: Path | None,
       as_json: bool) -> None:  # fmt: skip
    """Start nodes, endpoints and discovery on loopback, print their addresses, and leave them running until
    Ctrl-C or SIGTERM.

    SCENARIO is the name of one that comes with granitewell, or a file.
    """
    day = _draw_day(scenario, seed, nodes=nodes, endpoints=endpoints)
    if not faults:
        initial_endpoints = tuple(e for e in day.endpoints if e.started_us <= 0)
        day = replace(day, faults=(), endpoints=initial_endpoints)
    options = Options(clients=clients or rude > 0, port=port, base=base, rough=rough, rude=rude)
    if not clients:
        day = replace(day, load=replace(day.load, rate=((0, 0.0),), trace=()))

    async def serve_until_stopped(director: Director) -> None:
        _emit_up(director.addresses(), as_json)
        stop = asyncio.Event()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
        await stop.wait()

    with _resource_errors():
        run(day, _output_folder(out), options, serve_until_stopped)


def _emit_up(addresses: dict[str, Any], as_json: bool) -> None:
    def render(console: Console) -> None:
        columns = ("node", "zone", "address", "discovery", "pid")
        rows = [[n[c] for c in ("name", "zone", "address", "discovery", "pid")] for n in addresses["nodes"]]
        console.print(show.table("Nodes", columns, rows))
        first = addresses["nodes"][0]["name"]
        shown = [(e["id"], e["zone"], e["kind"], e["addresses"][first]) for e in addresses["endpoints"]]
        title, names = f"Endpoints, as {first} finds them", ("id", "zone", "kind", "address")
        console.print(show.table(title, names, shown))
        console.print(f"Files and logs: {addresses['out']}\nCtrl-C ends all of it.")

    show.emit(addresses, as_json, render)
    with contextlib.suppress(AttributeError):
        sys.stdout.flush()  # the reader waits for the addresses while the command keeps running


# --- demo -------------------------------------------------------------------------------------------------
@click.command(epilog="Example:\n\n  granitewell lab demo --seconds 10 --out demo")
@click.option("--seed", default=7, show_default=True, help="Of the evening that is drawn.")
@click.option("--seconds", type=click.FloatRange(3, 600), default=30.0, show_default=True, help="Of load.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="For report, files and logs.")
@show.as_json
def demo(seed: int, seconds: float, out: Path | None, as_json: bool) -> None:
    """Play a rainy evening with a rolling deploy on loopback.

    Three nodes, twelve endpoints, a discovery agent for each node. Prints what was served, late, refused and
    failed, judges the rules, and writes a report. The deploy begins after 6 s.
    """
    from granitewell.lab.loopback import demo_report

    folder = _output_folder(out)
    day = _draw_day(DEMO_SCENARIO, seed, nodes=3, endpoints=12, length_s=seconds)
    with _resource_errors(), show.progress("playing", int(seconds)) as bar:
        played = play_on_sockets(day, folder, Options(rough=0.02, watch=progress_watcher(bar)))
    path = folder / "report.html"
    command = f"granitewell lab demo --seed {seed} --seconds {seconds:g}"
    try:
        demo_report.write(day, played, command, path)
    except OSError as error:
        raise show.UnavailableError(f"{path}: {error.strerror}") from None
    played["html"] = str(path)
    show.emit(played, as_json, lambda console: _render_demo(console, day, played))
    if not played["report"]["kept"]:
        broken = f"rules were broken: {json.dumps(played['report']['offences'])}"
        if played["busy"]:
            raise show.UnavailableError(f"this machine was too busy to say whose fault it is: {broken}")
        raise show.BadOutcomeError(broken)


def progress_watcher(bar: show.Steps) -> Any:
    """Return a callback that advances the progress bar with the seconds of the day."""
    done = 0

    def watch(now_us: int) -> None:
        nonlocal done
        if now_us // 1_000_000 > done:
            bar.step(now_us // 1_000_000 - done)
            done = now_us // 1_000_000

    return watch


def _render_demo(console: Console, day: Day, played: dict[str, Any]) -> None:
    report = played["report"]
    columns = ("in time", "late", "refused", "failed", "no answer")
    for title, what, key in (("Tries by class", "class", "by_class"),
                             ("Tries by co-operative", "co-operative", "by_tenant")):  # fmt: skip
        rows = [(n, *_counts(r)) for n, r in report[key].items()]
        console.print(show.table(title, (what, *columns), rows))
    rules = [(r, report["offences"].get(r, 0)) for r in RULES]
    console.print(show.table("Rules", ("rule", "times broken"), rules))
    console.print("\n".join(played["lines"]), highlight=False, markup=False)
    if played["busy"]:
        console.print("This machine was too busy: latencies are in part its own. See the report.")
    console.print(f"Report: {played['html']}", highlight=False, soft_wrap=True)


def _counts(row: dict[str, int]) -> tuple[int, ...]:
    return (*(row[c] for c in OUTCOMES), sum(n for c, n in row.items() if c not in OUTCOMES))
