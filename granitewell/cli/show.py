"""Output of all commands: tables or JSON, progress, errors and exit codes.

Results go to standard output, progress and errors to standard error; progress only if that is a terminal.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any, Protocol

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from granitewell.cli.main import BAD_INPUT as BAD_INPUT  # exit codes: see docs/operate/exit-codes.md
from granitewell.cli.main import BAD_OUTCOME as BAD_OUTCOME
from granitewell.cli.main import OK as OK
from granitewell.cli.main import UNAVAILABLE as UNAVAILABLE


class CommandError(click.ClickException):
    """Ends the command with one line on standard error; by itself, for an argument or file that is wrong."""

    exit_code = BAD_INPUT

    def show(self, file: Any = None) -> None:
        """Print the message on one line of standard error."""
        click.echo(f"granitewell: {' '.join(self.message.split())}", file=file or sys.stderr)


class BadOutcomeError(CommandError):
    """The command did its work and the outcome is bad: a rule was broken, a run failed."""

    exit_code = BAD_OUTCOME


class UnavailableError(CommandError):
    """A resource is unavailable: a port is in use, a target does not answer, a disk is full."""

    exit_code = UNAVAILABLE


class Steps(Protocol):
    """Receives the progress of a command."""

    def step(self, n: int = 1) -> None:
        """Report that `n` more steps are done."""


class _NoProgress:
    def step(self, n: int = 1) -> None:
        return


class _ProgressBar:
    def __init__(self, bar: Progress, task: Any) -> None:
        self._bar, self._task = bar, task

    def step(self, n: int = 1) -> None:
        self._bar.advance(self._task, n)


@contextmanager
def progress(label: str, total: int) -> Iterator[Steps]:
    """Show a progress bar for work that takes over two seconds; none if standard error is not a terminal."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield _NoProgress()
        return
    columns = TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn()
    with Progress(*columns, console=console, transient=True) as bar:
        yield _ProgressBar(bar, bar.add_task(label, total=total))


def table(title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> Table:
    """Build a table; all columns but the first are right-aligned."""
    rendered = Table(title=title, title_justify="left")
    for k, name in enumerate(columns):
        rendered.add_column(name, justify="right" if k else "left")
    for row in rows:
        rendered.add_row(*[f"{x:.3f}" if isinstance(x, float) else str(x) for x in row])
    return rendered


def emit(data: Any, as_json: bool, render: Callable[[Console], None]) -> None:
    """Print the result of a command: `data` as one line of JSON, or what `render` prints."""
    if as_json:
        click.echo(json.dumps(data, sort_keys=True))
    else:
        render(Console(width=None if sys.stdout.isatty() else 140))


as_json = click.option("--json", "as_json", is_flag=True, help="One line of JSON in place of tables.")
