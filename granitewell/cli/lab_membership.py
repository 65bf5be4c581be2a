"""`granitewell lab membership`: measures failure detection time, false suspicions and the cost of membership.

Parses options, prints the table and sets the exit code; `granitewell.lab.cluster.membership_measure` does the
measurement. Exit codes: 0 measured; 1 the members' views did not converge; 2 an option is wrong;
130 interrupted.
"""

from __future__ import annotations

from dataclasses import asdict, fields, replace
from time import process_time
from typing import Any

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab.cluster import membership_measure as subject
from granitewell.lab.cluster.membership_measure import SCENARIOS, VARIANTS, Plan

_DEFAULT_FIGURES: dict[str, Any] = {field.name: field.default for field in fields(type(Plan("idle").figures))}


@click.command(
    epilog="Examples:\n\n  granitewell lab membership deaths --members 500 --loss 0.1 --seconds 60\n\n"
    "  granitewell lab membership slow --members 100 --variant swim --json"
)
@click.argument("scenario", type=click.Choice(SCENARIOS), default="deaths")
@click.option("--members", type=click.IntRange(2, 10_000), default=100, show_default=True, help="How many.")
@click.option("--loss", type=click.FloatRange(0, 0.9), default=0.0, show_default=True,
              help="Part of the datagrams that is lost, and of what a stream sends at first.")  # fmt: skip
@click.option("--seconds", type=click.IntRange(1, 3600), default=60, show_default=True,
              help="Of virtual time; what has begun by then is seen to its end.")  # fmt: skip
@click.option("--deaths", type=click.IntRange(1, 1000), default=10, show_default=True,
              help="Members killed, in deaths.")  # fmt: skip
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of all draws.")
@click.option("--variant", type=click.Choice(tuple(VARIANTS)), default="all", show_default=True,
              help="All that there is, SWIM with Lifeguard, or plain SWIM.")  # fmt: skip
@click.option("--set", "sets", multiple=True, metavar="NAME=N", help="A figure of the protocol, as alpha=4.")
@show.as_json
def membership(scenario: str, members: int, loss: float, seconds: int, deaths: int, seed: int, variant: str,
               sets: tuple[str, ...], as_json: bool) -> None:  # fmt: skip
    """Play members in virtual time and measure SCENARIO.

    cold: all start at once. idle: nothing happens. deaths: some are killed. stalls: one in twenty is stopped
    now and then. slow: the messages of one in twenty wait now and then. partition: two halves are cut off
    from each other. restart: all are killed and started again with nothing, one by one. leave: the same, but
    each leaves first.

    But for cold they join without loss. 500 members take about two minutes of CPU for a minute under loss.
    """
    figures = VARIANTS[variant](replace(Plan(scenario).figures, **_parse_overrides(sets)))
    plan = Plan(scenario, members, loss, seconds, seed, deaths, figures)
    started_s = process_time()
    try:
        found = subject.measure(plan)
    except RuntimeError as error:
        raise show.BadOutcomeError(str(error)) from None
    found["cpu_s"] = process_time() - started_s
    data = {"plan": {**asdict(plan), "variant": variant}, "found": found}
    show.emit(data, as_json, lambda console: _render(console, plan, variant, found))
    if found.get("agreed_s", 0) is None:
        raise show.BadOutcomeError(f"the members did not come to see the same: {found['not_agreed']}")


def _parse_overrides(sets: tuple[str, ...]) -> dict[str, Any]:
    overrides: dict[str, Any] = {}
    for text in sets:
        name, equals, value = text.partition("=")
        if name not in _DEFAULT_FIGURES or not equals or not value.isdecimal():
            raise show.CommandError(
                f"--set: found {text!r}, allowed is NAME=N with NAME of {', '.join(_DEFAULT_FIGURES)}"
            )
        overrides[name] = type(_DEFAULT_FIGURES[name])(int(value))
    try:
        replace(Plan("idle").figures, **overrides)
    except ValueError as error:
        raise show.CommandError(f"--set: {error}") from None
    return overrides


_FIGURE_LABELS = {
    "first_s": "death noticed by the first, s", "all_s": "death noticed by all, s",
    "never": "deaths never noticed", "agreed_s": "until all see the same, s",
    "not_agreed": "what they do not agree on", "seen_while_cut": "members seen while cut off",
    "back_s": "from start to member, s", "bytes_s": "bytes a second a member",
    "messages_s": "messages a second a member", "suspicions": "false suspicions",
    "suspicions_h": "false suspicions an hour", "deaths": "false deaths",
    "deaths_told": "false deaths, times the members that believed them", "deaths_h": "false deaths an hour",
    "ill_suspicions": "suspicions of the ill", "ill_suspicions_h": "suspicions of the ill an hour",
    "ill_deaths": "deaths of the ill", "ill_deaths_told": "deaths of the ill, times who believed them",
    "ill_deaths_h": "deaths of the ill an hour", "health_worst": "worst local health (0 to 8)",
    "stood_s": "standing still that was noticed, s", "measured_s": "virtual time measured, s",
    "cpu_s": "CPU of all, joining included, s",
}  # fmt: skip
_STATISTICS = ("median", "p95", "worst")


def _render(console: Console, plan: Plan, variant: str, found: dict[str, Any]) -> None:
    title = f"{plan.scenario}, {plan.members} members, loss {plan.loss:g}, seed {plan.seed}, {variant}"
    rows = []
    for name, value in found.items():
        if isinstance(value, dict):
            rows.append((_FIGURE_LABELS[name], *(f"{value[part]:.2f}" for part in _STATISTICS)))
        else:
            rows.append((_FIGURE_LABELS[name], _format_value(value), "", ""))
    console.print(show.table(title, ("figure", *_STATISTICS), rows))


def _format_value(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else "none" if value is None else str(value)
