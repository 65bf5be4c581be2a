"""`granitewell lab`: the table of the lab's commands.

Holds only the table, so that listing the commands imports neither them nor their dependencies.
"""

from __future__ import annotations

import click

from granitewell.cli.main import Entry, LazyGroup

_PACKAGE = "granitewell.cli.lab"
LAB = {
    "demo": Entry(f"{_PACKAGE}_up:demo", "Three nodes and twelve endpoints on a rainy evening, on loopback."),
    "sim": Entry(f"{_PACKAGE}_sim:sim", "Play one day of a scenario in virtual time, and judge it."),
    "hunt": Entry(f"{_PACKAGE}_sim:hunt", "Play many seeds; print those that fail, shrunk to few faults."),
    "mutants": Entry(
        f"{_PACKAGE}_mutants:mutants", "Plant defects in the node; show which seed catches each."
    ),
    "judge": Entry(f"{_PACKAGE}_judge:judge", "Judge what was observed of a day."),
    "scenarios": Entry(f"{_PACKAGE}_scenario:scenarios", "List the scenarios that come with granitewell."),
    "draw": Entry(f"{_PACKAGE}_scenario:draw_day", "Print the day that a scenario and a seed give."),
    "theory": Entry(f"{_PACKAGE}_theory:theory", "Hold the model's endpoint against queueing theory."),
    "trace": Entry(f"{_PACKAGE}_trace:trace", "Turn captured traffic into a load to replay."),
    "up": Entry(f"{_PACKAGE}_up:up", "Start stand-ins on loopback and leave them running."),
    "load": Entry(f"{_PACKAGE}_load:load", "Offer an open-loop load to a target, and measure its latency."),
    "cluster": Entry(f"{_PACKAGE}_cluster:cluster", "Play leases in virtual time, or search every state."),
    "membership": Entry(
        f"{_PACKAGE}_membership:membership", "Play members in virtual time: what they notice."
    ),
    "fleet": Entry(
        f"{_PACKAGE}_fleet:fleet", "Nodes that know each other, as processes, with faults between."
    ),
    "run": Entry(f"{_PACKAGE}_run:run", "Play an experiment: variants, scenarios, seeds."),
    "report": Entry(f"{_PACKAGE}_run:report", "Write the report of an experiment that was run."),
}


@click.group(cls=LazyGroup, entries=LAB, epilog="Example:\n\n  granitewell lab sim rainy-evening --seed 7")
def lab() -> None:
    """The platform as a model: in virtual time, and on loopback sockets.

    Worked examples are in docs/operate/lab.md.
    """
