"""`granitewell node`: becomes the node; and `granitewell node status`: asks a running one.

It owns the step from this command to `python -m granitewell`, which takes its place in the same process, and
the client of the status socket. It must never import the node: what serves requests carries no command line.
"""

from __future__ import annotations

import http.client
import json
import os
import socket
import sys
import time
from collections.abc import Mapping
from functools import partial
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table
from rich.text import Text

import granitewell
from granitewell.cli.show import FOUND, NoMeans, Told, as_json, emit
from granitewell.status import descriptions
from granitewell.status.types import (
    ALLOWED_STATUS_ADDRESS,
    MAX_RESPONSE_BYTES,
    MAX_TABLE_ROWS,
    Snapshot,
    StatusAddress,
    parse_status_address,
)

WAIT_S = 3.0  # for a node that answers within one


def becomes(env: Mapping[str, str], operator: str | None) -> tuple[list[str], dict[str, str]]:
    """The command and the environment of the node.

    It runs the granitewell that this command belongs to, whatever stands in the current folder (-P).
    """
    root = str(Path(granitewell.__file__).resolve().parent.parent)
    paths = [root, *filter(None, [env.get("PYTHONPATH")])]
    made = {**env, "PYTHONPATH": os.pathsep.join(paths)}
    if operator is not None:
        made["LB_OPERATOR"] = operator
    return [sys.executable, "-P", "-m", "granitewell"], made


@click.group(
    invoke_without_command=True,
    epilog="Examples:\n\n  LB_CONFIG=config.json granitewell node --operator deploy/operator-example.toml\n\n"
    "  granitewell node status --operator deploy/operator-example.toml",
)
@click.option(
    "--operator", metavar="FILE", type=click.Path(),
    help="Operator file, TOML; wins over LB_OPERATOR. See docs/operate/operator-file.md.",
)  # fmt: skip
@click.pass_context
def node(ctx: click.Context, operator: str | None) -> None:
    """Run one node, as `python -m granitewell` does.

    LB_CONFIG names the platform's configuration; LB_NAME, LB_LISTEN and LB_DISCOVERY win over it. SIGTERM
    ends the node, SIGHUP makes it read both files again.
    """
    if ctx.invoked_subcommand is not None:
        ctx.obj = operator
        return
    command, env = becomes(os.environ, operator)
    sys.stdout.flush()
    try:
        os.execve(command[0], command, env)
    except OSError as error:
        raise NoMeans(f"{command[0]}: {error.strerror}") from None


# --- Asking a running node ------------------------------------------------------------------------------
@node.command(
    epilog="Examples:\n\n  granitewell node status --at /run/balancer/status.sock --watch 1\n\n"
    "  curl --unix-socket /run/balancer/status.sock http://localhost/metrics"
)
@click.option("--at", metavar="PATH|HOST:PORT", help="Where the status is; wins over the operator file.")
@click.option(
    "--operator", metavar="FILE", type=click.Path(),
    help="Operator file of the node, whose [status] says where; wins over LB_OPERATOR.",
)  # fmt: skip
@click.option("--worst", type=click.IntRange(0, MAX_TABLE_ROWS), help="Rows of each table, the worst ones.")
@click.option("--watch", metavar="S", type=click.FloatRange(0.2, 3600), help="Ask again every S seconds.")
@as_json
@click.pass_obj
def status(
    above: str | None, at: str | None, operator: str | None, worst: int | None, watch: float | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Show what a running node judges and holds: ill pairs of endpoint and class first, then the fleet.

    Exit code 0 where it is ready and nobody is ill, 1 where it is not ready or something is ill, 2 for bad
    arguments, 3 where nobody answers. What each figure means is on docs/operate/status.md.
    """
    place = where(at, operator or above or os.environ.get("LB_OPERATOR"))
    while True:
        data = ask(place, worst)
        if watch is not None and not as_json:
            click.clear()  # nothing where standard output is no terminal
        emit(data, as_json, partial(_print, data))
        if watch is None:
            break
        sys.stdout.flush()
        time.sleep(watch)
    if not descriptions.is_healthy(data):
        raise click.exceptions.Exit(FOUND)


def where(at: str | None, operator: str | None) -> StatusAddress:
    """Where a node's status is: as named, or by its operator file. Told says why that is none."""
    if at is None and not operator:
        raise Told("where is the node's status? name --at or --operator")
    if at is None:
        at = _of_file(str(operator))
    try:
        return parse_status_address(at, os.environ.get("TMPDIR") or "/tmp")
    except ValueError as error:
        raise Told(
            f"--at: found {descriptions.printable(at[:200])}, {error}, allowed: {ALLOWED_STATUS_ADDRESS}"
        ) from None


def _of_file(path: str) -> str:
    from granitewell.operator.load import InvalidOperatorFileError, load
    from granitewell.operator.registry import OperatorFile

    try:
        at = load(path, OperatorFile)[0].status.at
    except InvalidOperatorFileError as error:
        raise Told(str(error)) from None
    if not at:
        raise Told(
            f"{path}: status.at: found nothing, allowed: {ALLOWED_STATUS_ADDRESS}; this node serves no status"
        )
    return at


def ask(where: StatusAddress, worst: int | None) -> Snapshot:
    """One snapshot; NoMeans where nobody answers, or somebody else does."""
    query = "" if worst is None else f"?worst={worst}"
    try:
        code, raw = get(where, f"/status{query}")
        if code != 200:
            why = raw[:200].decode(errors="replace").strip()
            raise ValueError(f"answered {code}: {descriptions.printable(why)}")
        return descriptions.parse_snapshot(json.loads(raw))
    except (OSError, http.client.HTTPException) as error:
        why = getattr(error, "strerror", None) or str(error) or type(error).__name__
        raise NoMeans(f"{where}: nobody there: {descriptions.printable(why)}") from None
    except (ValueError, RecursionError) as error:
        raise NoMeans(f"{where}: no status of a node: {error}") from None


def get(where: StatusAddress, target: str, method: str = "GET") -> tuple[int, bytes]:
    """Status code and body of a node's answer. OSError, HTTPException: nobody answers as a node does."""
    link = http.client.HTTPConnection("127.0.0.1", where.port or None, timeout=WAIT_S)
    if where.path:
        link.sock = _connected(where.path)
    try:
        link.request(method, target)
        answer = link.getresponse()
        return answer.status, answer.read(2 * MAX_RESPONSE_BYTES)
    finally:
        link.close()


def _connected(path: str) -> socket.socket:
    """A connection to a unix socket, which turns one away at once while too many wait there."""
    end = time.monotonic() + WAIT_S
    while True:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.settimeout(WAIT_S)
            sock.connect(path)
            return sock
        except BlockingIOError:
            sock.close()
            if time.monotonic() > end:
                raise TimeoutError("too many others ask") from None
            time.sleep(0.05)
        except BaseException:
            sock.close()
            raise


def _print(data: Snapshot, console: Console) -> None:
    first, *rest = descriptions.summary_lines(data)
    console.print(Text(first, style="bold green" if descriptions.is_healthy(data) else "bold red"))
    for line in rest:
        console.print(Text(line))
    for sheet in descriptions.tables(data):
        made = Table(title=Text(sheet.title), title_justify="left")
        for k, name in enumerate(sheet.columns):
            made.add_column(Text(name), justify="right" if k else "left")
        for k, row in enumerate(sheet.rows):
            # Text, not str: a name in brackets is no markup
            made.add_row(*map(Text, row), style="red" if k in sheet.highlighted else "")
        console.print(made)
