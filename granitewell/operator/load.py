"""From a path to a typed object, at the start and again for each reload.

It owns reading the file and what a reload may take up. A file with anything wrong must never change anything:
the operator that was held stays whole. Nothing here applies a setting.
"""

from __future__ import annotations

import stat
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar

from msgspec import structs

from granitewell.operator.problem import Problem
from granitewell.operator.registry import Operator
from granitewell.operator.table import Table, checked, examine
from granitewell.operator.tree_reader import extra, type_of

MAX_FILE = 32 * 1024  # bytes of an operator file: a running node reads it between two requests

T = TypeVar("T", bound=Table)


class InvalidOperatorFileError(Exception):
    """The file can't be used; `problems` holds all that is wrong with it, each of them one line."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__(f"{path}: {problems[0].text()}")
        self.path, self.problems = path, problems


def read(path: str, most: int = MAX_FILE) -> bytes:
    """The file's bytes; Refused where there is no such file, it is no file, or it is larger than that."""
    try:
        about = Path(path).stat()
        if not stat.S_ISREG(about.st_mode):  # a pipe could make a running node wait for ever
            raise InvalidOperatorFileError(path, [Problem((), "no regular file", "a regular file")])
        if about.st_size > most:
            raise InvalidOperatorFileError(path, [Problem((), f"{about.st_size} bytes", f"at most {most}")])
        return Path(path).read_bytes()
    except (OSError, ValueError) as error:  # ValueError: a path with a null byte
        why = getattr(error, "strerror", None) or str(error)
        raise InvalidOperatorFileError(
            path, [Problem((), f"nothing that can be read ({why})", "a file")]
        ) from None


def data_of(path: str, raw: bytes) -> dict[str, Any]:
    """What TOML in UTF-8 holds; Refused where it is none, with the line."""
    try:
        return tomllib.loads(raw.decode())
    except RecursionError:
        why = "lists within lists without end"
    except UnicodeDecodeError as error:
        why = f"byte {error.start} that is not UTF-8"
    except ValueError as error:
        why = " ".join(str(error).split())[:200]
    raise InvalidOperatorFileError(path, [Problem((), why, "TOML 1.0")])


def load(path: str, kind: type[T]) -> tuple[T, list[Problem]]:
    """The object that the file gives, and notes on it; Refused with all that is wrong."""
    made, problems = examine(data_of(path, read(path)), kind)
    if made is None:
        raise InvalidOperatorFileError(path, [p for p in problems if not p.note])
    return made, problems


@dataclass(frozen=True, slots=True)
class Plan(Generic[T]):
    """What a reload comes to: what is held from now on, which fields of it are new (`now`), which differ in
    the file and wait for a restart (`waits`), and the problems for which all stays as it was.
    """

    held: T
    now: tuple[str, ...] = ()
    waits: tuple[str, ...] = ()
    problems: tuple[Problem, ...] = ()

    def line(self) -> str:
        """All of it in one line of the log."""
        if self.problems:
            more = len(self.problems) - 1
            rest = f" (and {more} more: granitewell check lists them)" if more else ""
            return f"the operator file changes nothing: {self.problems[0].text()}{rest}"
        waits = f"; only a restart takes up {', '.join(self.waits)}" if self.waits else ""
        if not self.now:
            return f"the operator file has nothing new that can be taken now{waits}"
        return f"taken from the operator file: {', '.join(self.now)}{waits}"


def reload(old: T, path: str) -> Plan[T]:
    """What the file as it is now changes for a node that holds `old`. Never raises."""
    try:
        new, _ = load(path, type(old))
    except InvalidOperatorFileError as error:
        return Plan(old, problems=tuple(error.problems))
    now: list[str] = []
    waits: list[str] = []
    tables: dict[str, Table] = {}
    for field in type_of(type(old)).fields:
        name = field.name
        tables[name], taken, waiting = _mixed(getattr(old, name), getattr(new, name))
        now += [f"{field.encode_name}.{x}" for x in taken]
        waits += [f"{field.encode_name}.{x}" for x in waiting]
    return Plan(structs.replace(old, **tables), tuple(now), tuple(waits))


def _mixed(held: Table, new: Table) -> tuple[Table, list[str], list[str]]:
    """One table with what can be taken now, and the names of what was and of what waits.

    Where the mixture of new fields and held ones would be wrong though each file is right, the whole table
    waits.
    """
    differ = [f for f in type_of(type(new)).fields if getattr(held, f.name) != getattr(new, f.name)]
    waits = [f.encode_name for f in differ if extra(f.type).get("restart")]
    fresh = {f.name: getattr(new, f.name) for f in differ if f.encode_name not in waits}
    mixed = structs.replace(held, **fresh)
    if any(not p.note for p in checked(mixed, ())):
        return held, [], [f.encode_name for f in differ]
    return mixed, [f.encode_name for f in differ if f.name in fresh], waits


class Live:
    """The operator file of a running node: what is held now, and the reload of it."""

    def __init__(self, path: str) -> None:
        """Reads it for the first time; Refused with all that is wrong."""
        self._path = path
        self.held, self.notes = load(path, Operator)

    def again(self) -> Plan[Operator]:
        """Read it again; what is held afterwards is whole, whatever the file says."""
        plan = reload(self.held, self._path)
        self.held = plan.held
        return plan
