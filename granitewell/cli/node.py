"""`granitewell node` runs a node in this process; `granitewell node status` queries a running one.

Replaces this process with `python -m granitewell` by exec, and holds the client of the status socket. It does
not import the node, so that the process that serves requests has no command line library loaded.
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
from granitewell.cli.show import BAD_OUTCOME, CommandError, UnavailableError, as_json, emit
from granitewell.status import descriptions
from granitewell.status.types import (
    ALLOWED_STATUS_ADDRESS,
    MAX_RESPONSE_BYTES,
    MAX_TABLE_ROWS,
    Snapshot,
    StatusAddress,
    parse_status_address,
)

TIMEOUT_S = 3.0  # a node answers within one second


def node_command(env: Mapping[str, str], operator: str | None) -> tuple[list[str], dict[str, str]]:
    """Return the command line and the environment of the node.

    The node runs the granitewell package that this command belongs to; -P keeps the current folder off the
    import path.
    """
    root = str(Path(granitewell.__file__).resolve().parent.parent)
    paths = [root, *filter(None, [env.get("PYTHONPATH")])]
    node_env = {**env, "PYTHONPATH": os.pathsep.join(paths)}
    if operator is not None:
        node_env["LB_OPERATOR"] = operator
    return [sys.executable, "-P", "-m", "granitewell"], node_env


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
    command, env = node_command(os.environ, operator)
    sys.stdout.flush()
    try:
        os.execve(command[0], command, env)
    except OSError as error:
        raise UnavailableError(f"{command[0]}: {error.strerror}") from None


# --- Query of a running node ------------------------------------------------------------------------------
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
    group_operator: str | None, at: str | None, operator: str | None, worst: int | None, watch: float | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Show what a running node judges and holds: ill pairs of endpoint and class first, then the fleet.

    Exit code 0 where it is ready and nobody is ill, 1 where it is not ready or something is ill, 2 for bad
    arguments, 3 where nobody answers. What each figure means is on docs/operate/status.md.
    """
    place = status_place(at, operator or group_operator or os.environ.get("LB_OPERATOR"))
    while True:
        data = fetch_snapshot(place, worst)
        if watch is not None and not as_json:
            click.clear()  # does nothing if standard output is not a terminal
        emit(data, as_json, partial(_render, data))
        if watch is None:
            break
        sys.stdout.flush()
        time.sleep(watch)
    if not descriptions.is_healthy(data):
        raise click.exceptions.Exit(BAD_OUTCOME)


def status_place(at: str | None, operator: str | None) -> StatusAddress:
    """Return the address of a node's status socket, as given or from its operator file.

    Raises:
        CommandError: No address is given, or it is invalid.
    """
    if at is None and not operator:
        raise CommandError("where is the node's status? name --at or --operator")
    if at is None:
        at = _address_from_file(str(operator))
    try:
        return parse_status_address(at, os.environ.get("TMPDIR") or "/tmp")
    except ValueError as error:
        raise CommandError(
            f"--at: found {descriptions.printable(at[:200])}, {error}, allowed: {ALLOWED_STATUS_ADDRESS}"
        ) from None


def _address_from_file(path: str) -> str:
    from granitewell.operator.load import InvalidOperatorFileError, load
    from granitewell.operator.registry import OperatorFile

    try:
        at = load(path, OperatorFile)[0].status.at
    except InvalidOperatorFileError as error:
        raise CommandError(str(error)) from None
    if not at:
        raise CommandError(
            f"{path}: status.at: found nothing, allowed: {ALLOWED_STATUS_ADDRESS}; this node serves no status"
        )
    return at


def fetch_snapshot(place: StatusAddress, worst: int | None) -> Snapshot:
    """Fetch one snapshot.

    Raises:
        UnavailableError: Nothing answers, or what answers is not a node.
    """
    query = "" if worst is None else f"?worst={worst}"
    try:
        code, raw = fetch(place, f"/status{query}")
        if code != 200:
            reason = raw[:200].decode(errors="replace").strip()
            raise ValueError(f"answered {code}: {descriptions.printable(reason)}")
        return descriptions.parse_snapshot(json.loads(raw))
    except (OSError, http.client.HTTPException) as error:
        reason = getattr(error, "strerror", None) or str(error) or type(error).__name__
        raise UnavailableError(f"{place}: nobody there: {descriptions.printable(reason)}") from None
    except (ValueError, RecursionError) as error:
        raise UnavailableError(f"{place}: no status of a node: {error}") from None


def fetch(place: StatusAddress, target: str, method: str = "GET") -> tuple[int, bytes]:
    """Return status code and body of a node's answer.

    Raises:
        OSError: The node can't be reached or does not answer in time.
        HTTPException: The answer is not valid HTTP.
    """
    connection = http.client.HTTPConnection("127.0.0.1", place.port or None, timeout=TIMEOUT_S)
    if place.path:
        connection.sock = _connect(place.path)
    try:
        connection.request(method, target)
        response = connection.getresponse()
        return response.status, response.read(2 * MAX_RESPONSE_BYTES)
    finally:
        connection.close()


def _connect(path: str) -> socket.socket:
    """Connect to a unix socket, with retries while its backlog is full, as connect() then fails at once."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.settimeout(TIMEOUT_S)
            sock.connect(path)
            return sock
        except BlockingIOError:
            sock.close()
            if time.monotonic() > deadline:
                raise TimeoutError("too many others ask") from None
            time.sleep(0.05)
        except BaseException:
            sock.close()
            raise


def _render(data: Snapshot, console: Console) -> None:
    first, *rest = descriptions.summary_lines(data)
    console.print(Text(first, style="bold green" if descriptions.is_healthy(data) else "bold red"))
    for line in rest:
        console.print(Text(line))
    for sheet in descriptions.tables(data):
        table = Table(title=Text(sheet.title), title_justify="left")
        for k, name in enumerate(sheet.columns):
            table.add_column(Text(name), justify="right" if k else "left")
        for k, row in enumerate(sheet.rows):
            # Text instead of str, so that brackets in names are not interpreted as markup
            table.add_row(*map(Text, row), style="red" if k in sheet.highlighted else "")
        console.print(table)
