"""`granitewell check`: all that is wrong with a platform configuration or an operator file.

It owns how a file's kind is told and how problems are listed. What is allowed stands in
`granitewell.operator`'s types; the last word on a platform configuration is the node's own.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import click
from rich.console import Console

from granitewell.cli.show import BAD_INPUT, as_json, emit
from granitewell.config import ConfigError
from granitewell.config import load as load_node_config
from granitewell.operator.load import MAX_FILE, InvalidOperatorFileError, data_of, read
from granitewell.operator.platform import Platform
from granitewell.operator.problem import Problem
from granitewell.operator.reference import page
from granitewell.operator.registry import Operator
from granitewell.operator.table import examine

MAX_PLATFORM_FILE_BYTES = 16 * 1024 * 1024  # bytes; the list of the last known endpoints is in it


@dataclass(frozen=True, slots=True)
class FileReport:
    """What there is to say of one file."""

    path: str
    kind: str
    problems: tuple[Problem, ...]

    @property
    def is_valid(self) -> bool:
        """Can it be used? Notes alone do no harm."""
        return all(p.note for p in self.problems)

    def lines(self) -> list[str]:
        """For a person: one line a problem."""
        found = [f"{self.path}: {'note: ' if p.note else ''}{p.text()}" for p in self.problems]
        return found + ([f"{self.path}: good, {self.kind}"] if self.is_valid else [])

    def as_dict(self) -> dict[str, Any]:
        """For a program."""
        keys = ("field", "found", "allowed", "near", "note")
        problems = [{k: getattr(p, k) for k in keys} for p in self.problems]
        return {"file": self.path, "kind": self.kind, "good": self.is_valid, "problems": problems}


def check_file(path: str) -> FileReport:
    """Look at one file, told apart by what is in it: JSON begins with a brace, which no TOML does."""
    kind = "a file"
    try:
        raw = read(path, MAX_PLATFORM_FILE_BYTES)
        if raw.removeprefix(b"\xef\xbb\xbf").lstrip()[:1] == b"{":
            kind = "a platform configuration"
            return FileReport(path, kind, tuple(_check_platform(path, raw)))
        kind = "an operator file"
        read(path, MAX_FILE)
        return FileReport(path, kind, tuple(examine(data_of(path, raw), Operator)[1]))
    except InvalidOperatorFileError as error:
        return FileReport(path, kind, tuple(error.problems))


def _check_platform(path: str, raw: bytes) -> list[Problem]:
    try:
        document = json.loads(raw)
    except RecursionError:
        return [Problem((), "lists within lists without end", "JSON")]
    except ValueError as error:
        return [Problem((), " ".join(str(error).split()), "JSON")]
    _, problems = examine(document, Platform)
    if all(p.note for p in problems):
        problems += _check_with_node(path)
    return problems


def _check_with_node(path: str) -> list[Problem]:
    """What the node itself says of a file that looks right."""
    try:
        load_node_config({"LB_CONFIG": path})
    except ConfigError as error:
        where, _, why = str(error).partition(": ")
        return [Problem((where,), why, "what the node takes")]
    except Exception as error:  # the node would end with a traceback
        return [Problem((), f"{type(error).__name__}: {error}", "what the node takes")]
    return []


@click.command(
    epilog="Example:\n\n  granitewell check /run/balancer/config.json deploy/operator-example.toml\n\n"
    "  granitewell check --reference > docs/operate/operator-file.md"
)
@click.argument("files", nargs=-1, metavar="FILE...")
@click.option("--reference", is_flag=True, help="Print the reference page of the operator file.")
@as_json
def check(files: tuple[str, ...], reference: bool, as_json: bool) -> None:
    """Say all that is wrong with platform configurations (JSON) and operator files (TOML).

    One line a problem, with the file, the field, what was found and what is allowed. Exit code 0, or 2 where
    a file can't be used; notes do no harm.
    """
    if reference:
        click.echo(page(), nl=False)
        return
    if not files:
        raise click.UsageError("which FILE?")
    reports = [check_file(path) for path in files]
    emit({"good": all(v.is_valid for v in reports), "files": [v.as_dict() for v in reports]}, as_json,
         lambda console: _print_reports(console, reports))  # fmt: skip
    if not all(v.is_valid for v in reports):
        raise click.exceptions.Exit(BAD_INPUT)


def _print_reports(console: Console, reports: list[FileReport]) -> None:
    for report in reports:
        for line in report.lines():
            click.echo(line)  # not the console's: a line is one line, and brackets stay
