"""`granitewell cluster`: shows a running node's view of the fleet, and passes on an operator's decision.

Queries the status socket of nodes and shows what they answer, without evaluating membership itself.
Exit codes: 0 the node is a member and no member that it counts is missing; 1 a member is missing, or the
nodes queried disagree; 2 bad arguments; 3 no node answers.
"""

from __future__ import annotations

import http.client
import json
import os
import re
import sys
import time
from collections.abc import Callable
from functools import partial, wraps
from typing import Any
from urllib.parse import quote

import click
from rich.console import Console
from rich.table import Table
from rich.text import Text

from granitewell.cli.main import BAD_OUTCOME, OK
from granitewell.cli.node import fetch, status_place
from granitewell.cli.show import CommandError, UnavailableError, as_json, emit
from granitewell.status import fleet, shared_counts
from granitewell.status.descriptions import TextTable, printable
from granitewell.status.types import StatusAddress

MEMBER_NAME_PATTERN, TENANT_KEY_PATTERN = "[!-%'-~]{1,63}", "[!-%'-~]{1,96}"


def node_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that select the nodes to query, and pass them on as `places`."""

    @click.option(
        "--at",
        "ats",
        multiple=True,
        metavar="PATH|HOST:PORT",
        help="Where a node's status is; wins over the operator file. May be given several times.",
    )
    @click.option(
        "--operator",
        metavar="FILE",
        type=click.Path(),
        help="Operator file of the node, whose [status] says where; wins over LB_OPERATOR.",
    )
    @wraps(command)
    def with_places(ats: tuple[str, ...], operator: str | None, **more: Any) -> Any:
        operator_file = operator or os.environ.get("LB_OPERATOR")
        places = [status_place(at, operator_file) for at in ats] or [status_place(None, operator_file)]
        return command(places=places, **more)

    return with_places


@click.group(epilog="Example:\n\n  granitewell cluster members --operator deploy/operator-example.toml")
def cluster() -> None:
    """What running nodes believe of their fleet.

    How to read it is in docs/operate/cluster.md.
    """


def query_node(at: StatusAddress, target: str, method: str = "GET") -> Any:
    """Send a request to a node's status socket and return the answer, JSON decoded or one line of text.

    Raises:
        UnavailableError: No node answers, or it does not serve this target.
        CommandError: The node rejects the request.
    """
    try:
        code, raw = fetch(at, target, method)
    except (OSError, http.client.HTTPException) as error:
        reason = getattr(error, "strerror", None) or str(error) or type(error).__name__
        raise UnavailableError(f"{at}: nobody there: {printable(reason)}") from None
    line = printable(raw[:300].decode(errors="replace").strip())
    if code == 404:
        raise UnavailableError(f"{at}: {line}")
    if code != 200:
        raise CommandError(f"{at}: {line}")
    try:
        return json.loads(raw) if raw[:1] == b"{" else line
    except (ValueError, RecursionError) as error:
        raise UnavailableError(f"{at}: no answer of a node: {printable(error)}") from None


def fetch_view(at: StatusAddress) -> dict[str, Any]:
    """Return one node's view of the cluster."""
    try:
        return fleet.parse_view(query_node(at, "/cluster"))
    except ValueError as error:
        raise UnavailableError(f"{at}: {error}") from None


def _build_table(sheet: TextTable) -> Table:
    table = Table(title=Text(sheet.title), title_justify="left")
    for k, name in enumerate(sheet.columns):
        table.add_column(Text(name), justify="left" if k < 2 else "right")
    for k, row in enumerate(sheet.rows):
        table.add_row(*map(Text, row), style="red" if k in sheet.highlighted else "")
    return table


# --- members, status, watch -----------------------------------------------------------------------------
@cluster.command(epilog="Example:\n\n  granitewell cluster members --at /run/balancer/status.sock --json")
@node_options
@as_json
def members(places: list[StatusAddress], as_json: bool) -> None:
    """Show all members as a node has them, who is not well first."""
    view = fetch_view(places[0])
    emit(view, as_json, partial(_render_members, view))
    raise click.exceptions.Exit(OK if fleet.is_healthy(view) else BAD_OUTCOME)


def _render_members(view: dict[str, Any], console: Console) -> None:
    first, *rest = fleet.summary_lines(view)
    console.print(Text(first, style="bold green" if fleet.is_healthy(view) else "bold red"))
    for line in rest:
        console.print(Text(line))
    if view["members"]:
        console.print(_build_table(fleet.members_table(view)))


@cluster.command(epilog="Example:\n\n  granitewell cluster status --at n1/status.sock --at n2/status.sock")
@node_options
@as_json
def status(places: list[StatusAddress], as_json: bool) -> None:
    """Show the views of several nodes beside each other, and whether they agree on who is up."""
    views = [fetch_view(at) for at in places]
    data = {"agree": views_agree(views), "views": views}
    emit(data, as_json, partial(_render_status, data))
    good = data["agree"] and all(map(fleet.is_healthy, views))
    raise click.exceptions.Exit(OK if good else BAD_OUTCOME)


def views_agree(views: list[dict[str, Any]]) -> bool:
    """Whether all nodes that are members list the same processes (name and birth) as up."""
    ups = [
        {(m["name"], m["birth"]) for m in v["members"] if m["state"] in ("alive", "suspect")}
        for v in views if v["phase"] == "in"
    ]  # fmt: skip
    return all(up == ups[0] for up in ups)


def _render_status(data: dict[str, Any], console: Console) -> None:
    for view in data["views"]:
        for line in fleet.summary_lines(view):
            console.print(Text(line, style="" if fleet.is_healthy(view) else "red"))
    if len(data["views"]) > 1:
        verdict = "agree" if data["agree"] else "do not agree"
        style = "bold green" if data["agree"] else "bold red"
        console.print(Text(f"these nodes {verdict} on who is up", style=style))


@cluster.command(epilog="Example:\n\n  granitewell cluster watch --at /run/balancer/status.sock --every 1")
@node_options
@click.option("--every", type=click.FloatRange(0.1, 3600), default=1.0, show_default=True, help="Seconds.")
@click.option("--times", type=click.IntRange(1), help="Looks, after which it ends; without it Ctrl-C does.")
@as_json
def watch(places: list[StatusAddress], every: float, times: int | None, as_json: bool) -> None:
    """Print a line for each change of a member, as a node comes to see it."""
    before: dict[str, tuple[str, str]] = {}
    polls = 0
    while times is None or polls < times:
        if polls:
            time.sleep(every)
        polls += 1
        view = fetch_view(places[0])
        now = {m["name"]: (m["state"], m["birth"]) for m in view["members"]}
        for name in sorted(now.keys() | before.keys()):
            previous, current = before.get(name), now.get(name)
            if previous != current:
                change = {"name": name, "was": previous and previous[0], "now": current and current[0]}
                change["other_life"] = bool(previous and current and previous[1] != current[1])
                emit(change, as_json, partial(_render_change, change))
        before = now
        sys.stdout.flush()


def _render_change(change: dict[str, Any], console: Console) -> None:
    life = ", another process" if change["other_life"] else ""
    words = f"{change['was'] or 'unknown'} -> {change['now'] or 'forgotten'}{life}"
    console.print(Text(f"{time.strftime('%H:%M:%S')} {printable(change['name'])}: {words}"))


# --- counts ---------------------------------------------------------------------------------------------
@cluster.command(epilog="Example:\n\n  granitewell cluster counts --explain gold --at n1/status.sock")
@click.option("--explain", "key", metavar="TENANT", help="Each node's part of it, and why it is that wide.")
@node_options
@as_json
def counts(key: str | None, places: list[StatusAddress], as_json: bool) -> None:
    """Show what all nodes together have taken in the window that ends now, by tenant: at least, at most."""
    if key is not None and not re.fullmatch(TENANT_KEY_PATTERN, key):
        raise CommandError(f"--explain: found {printable(key[:80])!r}, allowed: 1 to 96 of printable ASCII")
    target = f"/cluster/counts?key={quote(key, safe='.-_~')}" if key else "/cluster/counts"
    data = query_node(places[0], target)
    try:
        lines, sheets = shared_counts.describe_counts(data)
    except ValueError as error:
        raise UnavailableError(f"{places[0]}: {error}") from None

    def render(console: Console) -> None:
        for line in lines:
            console.print(Text(line))
        for sheet in sheets:
            console.print(_build_table(sheet))

    emit(data, as_json, render)


# --- explain, forget ------------------------------------------------------------------------------------
def _target(path: str, name: str) -> str:
    if not re.fullmatch(MEMBER_NAME_PATTERN, name):
        raise CommandError(
            f"NAME: found {printable(name[:80])!r}, allowed: 1 to 63 characters of printable ASCII"
        )
    return f"{path}?name={quote(name, safe='.-_~')}"


@cluster.command(epilog="Example:\n\n  granitewell cluster explain n3 --at /run/balancer/status.sock")
@click.argument("name")
@node_options
@as_json
def explain(name: str, places: list[StatusAddress], as_json: bool) -> None:
    """Show what a node believes of the member NAME: who said what of it, when, by which road, of which
    life.
    """
    data = query_node(places[0], _target("/cluster/explain", name))
    try:
        lines, sheet = fleet.describe_explanation(data)
    except ValueError as error:
        raise UnavailableError(f"{places[0]}: {error}") from None

    def render(console: Console) -> None:
        for line in lines:
            console.print(Text(line))
        if sheet.rows:
            console.print(_build_table(sheet))

    emit(data, as_json, render)


@cluster.command(epilog="Example:\n\n  granitewell cluster forget n3 --at /run/balancer/status.sock")
@click.argument("name")
@node_options
def forget(name: str, places: list[StatusAddress]) -> None:
    """Tell the fleet that the node NAME is gone for good, and counts in no budget any more.

    Only of a node that is silent, and only over a unix socket. The node asked tells the others; should NAME
    live all the same, it says so and counts again.
    """
    click.echo(query_node(places[0], _target("/cluster/forget", name), "POST"))
