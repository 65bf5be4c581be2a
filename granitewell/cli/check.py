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
from granitewell.config import load as node_takes
from granitewell.operator.load import MAX_FILE_BYTES, InvalidOperatorFileError, parse_toml, read_file
from granitewell.operator.platform import Platform
from granitewell.operator.problem import Problem
from granitewell.operator.reference import reference_page
from granitewell.operator.registry import OperatorFile
from granitewell.operator.table import validate

MAX_PLATFORM = 16 * 1024 * 1024  # bytes; the list of the last known endpoints is in it


@dataclass(frozen=True, slots=True)
class Verdict:
    """What there is to say of one file."""

    path: str
    kind: str
    problems: tuple[Problem, ...]

    @property
    def good(self) -> bool:
        """Can it be used? Notes alone do no harm."""
        return all(p.note for p in self.problems)

    def lines(self) -> list[str]:
        """For a person: one line a problem."""
        found = [f"{self.path}: {'note: ' if p.note else ''}{p.text()}" for p in self.problems]
        return found + ([f"{self.path}: good, {self.kind}"] if self.good else [])

    def data(self) -> dict[str, Any]:
        """For a program."""
        keys = ("field", "found", "allowed", "near", "note")
        problems = [{k: getattr(p, k) for k in keys} for p in self.problems]
        return {"file": self.path, "kind": self.kind, "good": self.good, "problems": problems}


def judge(path: str) -> Verdict:
    """Look at one file, told apart by what is in it: JSON begins with a brace, which no TOML does."""
    kind = "a file"
    try:
        raw = read_file(path, MAX_PLATFORM)
        if raw.removeprefix(b"\xef\xbb\xbf").lstrip()[:1] == b"{":
            kind = "a platform configuration"
            return Verdict(path, kind, tuple(_platform(path, raw)))
        kind = "an operator file"
        read_file(path, MAX_FILE_BYTES)
        return Verdict(path, kind, tuple(validate(parse_toml(path, raw), OperatorFile)[1]))
    except InvalidOperatorFileError as error:
        return Verdict(path, kind, tuple(error.problems))


def _platform(path: str, raw: bytes) -> list[Problem]:
    try:
        data = json.loads(raw)
    except RecursionError:
        return [Problem((), "lists within lists without end", "JSON")]
    except ValueError as error:
        return [Problem((), " ".join(str(error).split()), "JSON")]
    _, problems = validate(data, Platform)
    if all(p.note for p in problems):
        problems += _last_word(path)
    return problems


def _last_word(path: str) -> list[Problem]:
    """What the node itself says of a file that looks right."""
    try:
        node_takes({"LB_CONFIG": path})
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
    verdicts = [judge(path) for path in files]
    emit({"good": all(v.good for v in verdicts), "files": [v.data() for v in verdicts]}, as_json,
         lambda console: _print(console, verdicts))  # fmt: skip
    if not all(v.good for v in verdicts):
        raise click.exceptions.Exit(BAD_INPUT)


def _print(console: Console, verdicts: list[Verdict]) -> None:
    for verdict in verdicts:
        for line in verdict.lines():
            click.echo(line)  # not the console's: a line is one line, and brackets stay
