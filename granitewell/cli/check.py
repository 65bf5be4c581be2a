"""`granitewell check`: lists every problem of platform configurations and operator files.

Detects the kind of a file and prints its problems. The types in `granitewell.operator` define what is
allowed; a platform configuration is also loaded by the node's own parser.
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
from granitewell.operator.load import MAX_FILE_BYTES, InvalidOperatorFileError, parse_toml, read_file
from granitewell.operator.platform import Platform
from granitewell.operator.problem import Problem
from granitewell.operator.reference import reference_page
from granitewell.operator.registry import OperatorFile
from granitewell.operator.table import validate

MAX_PLATFORM_FILE_BYTES = 16 * 1024 * 1024  # includes the list of the last known endpoints


@dataclass(frozen=True, slots=True)
class FileReport:
    """The result of checking one file."""

    path: str
    kind: str
    problems: tuple[Problem, ...]

    @property
    def is_valid(self) -> bool:
        """Whether the file can be used; notes do not make it invalid."""
        return all(p.note for p in self.problems)

    def lines(self) -> list[str]:
        """Return the report as text, one line for each problem."""
        found = [f"{self.path}: {'note: ' if p.note else ''}{p.text()}" for p in self.problems]
        return found + ([f"{self.path}: good, {self.kind}"] if self.is_valid else [])

    def as_dict(self) -> dict[str, Any]:
        """Return the report in the form that `--json` prints."""
        keys = ("field", "found", "allowed", "near", "note")
        problems = [{k: getattr(p, k) for k in keys} for p in self.problems]
        return {"file": self.path, "kind": self.kind, "good": self.is_valid, "problems": problems}


def check_file(path: str) -> FileReport:
    """Check one file; its kind is detected by content, as JSON begins with a brace and TOML never does."""
    kind = "a file"
    try:
        raw = read_file(path, MAX_PLATFORM_FILE_BYTES)
        if raw.removeprefix(b"\xef\xbb\xbf").lstrip()[:1] == b"{":
            kind = "a platform configuration"
            return FileReport(path, kind, tuple(_check_platform(path, raw)))
        kind = "an operator file"
        read_file(path, MAX_FILE_BYTES)
        return FileReport(path, kind, tuple(validate(parse_toml(path, raw), OperatorFile)[1]))
    except InvalidOperatorFileError as error:
        return FileReport(path, kind, tuple(error.problems))


def _check_platform(path: str, raw: bytes) -> list[Problem]:
    try:
        document = json.loads(raw)
    except RecursionError:
        return [Problem((), "lists within lists without end", "JSON")]
    except ValueError as error:
        return [Problem((), " ".join(str(error).split()), "JSON")]
    _, problems = validate(document, Platform)
    if all(p.note for p in problems):
        problems += _check_with_node(path)
    return problems


def _check_with_node(path: str) -> list[Problem]:
    """Load a file that passed the type checks with the node's own parser."""
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
        click.echo(reference_page(), nl=False)
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
            click.echo(line)  # rich would wrap lines and interpret brackets as markup
