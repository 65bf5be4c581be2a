"""`granitewell lab theory`: compares the simulated endpoint with queueing theory.

Parses options, prints the table and sets the exit code; `granitewell.lab.theory` computes the waiting times.
Exit codes: 0 all within the allowed error; 1 some are not; 2 an option is wrong; 130 interrupted.
"""

from __future__ import annotations

from typing import Any

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab import theory as subject
from granitewell.lab.theory import Measured

COLUMNS = ("queue", "load", "arrivals", "theory ms", "measured ms", "± ms (95%)", "error %")


def _row(one: Measured) -> tuple[object, ...]:
    queue = one.queue
    return (queue.name, f"{queue.load:g}", queue.arrivals, one.theory_us / 1000, one.mean_us / 1000,
            one.half_us / 1000, f"{100 * one.error:+.2f}")  # fmt: skip


def _data(one: Measured) -> dict[str, Any]:
    queue = one.queue
    return {
        "queue": queue.name, "servers": queue.servers, "load": queue.load, "arrivals": queue.arrivals,
        "theory_us": one.theory_us, "measured_us": one.mean_us, "half_us": one.half_us, "error": one.error,
    }  # fmt: skip


@click.command(epilog="Example:\n\n  granitewell lab theory --seed 1 --jobs 2")
@click.option("--seed", type=int, default=1, show_default=True, help="Of all draws.")
@click.option("--scale", type=click.FloatRange(0.75, 1000), default=1.0, show_default=True,
              help="Arrivals, as a multiple of the usual ones.")  # fmt: skip
@click.option("--jobs", type=click.IntRange(1, 9), default=2, show_default=True, help="Processes at once.")
@show.as_json
def theory(seed: int, scale: float, jobs: int, as_json: bool) -> None:
    """Hold the model's endpoint against queueing theory.

    Poisson arrivals drive one endpoint in virtual time; its mean waits are compared with Erlang's and
    Pollaczek's and Khinchine's formulas for M/M/1, M/M/2 and M/G/1 at three loads each. Takes about half a
    minute of two cores.
    """
    with show.progress("theory", len(subject.queues())) as bar:
        found = subject.compare(seed, scale, jobs, bar.step)
    within = subject.WITHIN
    title = f"Mean wait before work begins; allowed error {100 * within:g}%"
    data = {"seed": seed, "allowed": within, "queues": [_data(one) for one in found]}
    show.emit(data, as_json, lambda console: _render(console, title, found))
    off = [f"{one.queue.name} at {one.queue.load:g}" for one in found if abs(one.error) > within]
    if off:
        raise show.BadOutcomeError(f"over the allowed error: {', '.join(off)}")


def _render(console: Console, title: str, found: list[Measured]) -> None:
    console.print(show.table(title, COLUMNS, map(_row, found)))
