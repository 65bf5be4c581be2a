"""Loads the operator file as a typed object, at the start and for each reload.

This module decides which changes a reload may use. An invalid file changes nothing: the current settings stay
complete. Applying settings is up to the caller.
"""

from __future__ import annotations

import stat
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar

from msgspec import structs

from granitewell.operator.problem import Problem
from granitewell.operator.registry import OperatorFile
from granitewell.operator.table import Table, run_checks, validate
from granitewell.operator.tree_reader import extra_metadata, struct_type

MAX_FILE_BYTES = 32 * 1024  # of an operator file: a running node reads it between two requests

T = TypeVar("T", bound=Table)


class InvalidOperatorFileError(Exception):
    """The file can't be used; `problems` lists everything that is wrong with it."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__(f"{path}: {problems[0].text()}")
        self.path, self.problems = path, problems


def read_file(path: str, max_bytes: int = MAX_FILE_BYTES) -> bytes:
    """Read a file.

    Raises:
        InvalidOperatorFileError: It can't be read, is no regular file, or is larger than `max_bytes`.
    """
    try:
        info = Path(path).stat()
        if not stat.S_ISREG(info.st_mode):  # reading a pipe could block the node forever
            raise InvalidOperatorFileError(path, [Problem((), "no regular file", "a regular file")])
        if info.st_size > max_bytes:
            raise InvalidOperatorFileError(
                path, [Problem((), f"{info.st_size} bytes", f"at most {max_bytes}")]
            )
        return Path(path).read_bytes()
    except (OSError, ValueError) as error:  # ValueError: a path with a null byte
        why = getattr(error, "strerror", None) or str(error)
        raise InvalidOperatorFileError(
            path, [Problem((), f"nothing that can be read ({why})", "a file")]
        ) from None


def parse_toml(path: str, raw: bytes) -> dict[str, Any]:
    """Parse TOML in UTF-8.

    Raises:
        InvalidOperatorFileError: It is no valid TOML; the message says where.
    """
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
    """Load a file as an object of the type; return it with the notes on it.

    Raises:
        InvalidOperatorFileError: The file is invalid; the error lists all problems.
    """
    made, problems = validate(parse_toml(path, read_file(path)), kind)
    if made is None:
        raise InvalidOperatorFileError(path, [p for p in problems if not p.note])
    return made, problems


@dataclass(frozen=True, slots=True)
class ReloadResult(Generic[T]):
    """The outcome of a reload.

    `current` holds the settings from now on, `applied` the fields that changed in them, `pending_restart` the
    fields that differ in the file but need a restart. If there are `problems`, nothing has changed.
    """

    current: T
    applied: tuple[str, ...] = ()
    pending_restart: tuple[str, ...] = ()
    problems: tuple[Problem, ...] = ()

    def log_line(self) -> str:
        """Return the outcome as one line for the log."""
        if self.problems:
            more = len(self.problems) - 1
            rest = f" (and {more} more: granitewell check lists them)" if more else ""
            return f"the operator file changes nothing: {self.problems[0].text()}{rest}"
        pending_restart = (
            f"; only a restart takes up {', '.join(self.pending_restart)}" if self.pending_restart else ""
        )
        if not self.applied:
            return f"the operator file has nothing new that can be taken now{pending_restart}"
        return f"taken from the operator file: {', '.join(self.applied)}{pending_restart}"


def reload(old: T, path: str) -> ReloadResult[T]:
    """Return what the file changes for a node with the settings `old`; an invalid file does not raise."""
    try:
        new, _ = load(path, type(old))
    except InvalidOperatorFileError as error:
        return ReloadResult(old, problems=tuple(error.problems))
    applied: list[str] = []
    pending_restart: list[str] = []
    tables: dict[str, Table] = {}
    for field in struct_type(type(old)).fields:
        name = field.name
        tables[name], taken, waiting = _merge_table(getattr(old, name), getattr(new, name))
        applied += [f"{field.encode_name}.{x}" for x in taken]
        pending_restart += [f"{field.encode_name}.{x}" for x in waiting]
    return ReloadResult(structs.replace(old, **tables), tuple(applied), tuple(pending_restart))


def _merge_table(current: Table, new: Table) -> tuple[Table, list[str], list[str]]:
    """Merge the fields that need no restart; return the table and the names applied and pending.

    If the merged table would be invalid, although the old and the new one are valid, the whole table needs a
    restart.
    """
    changed = [f for f in struct_type(type(new)).fields if getattr(current, f.name) != getattr(new, f.name)]
    pending_restart = [f.encode_name for f in changed if extra_metadata(f.type).get("restart")]
    applicable = {f.name: getattr(new, f.name) for f in changed if f.encode_name not in pending_restart}
    merged = structs.replace(current, **applicable)
    if any(not p.note for p in run_checks(merged, ())):
        return current, [], [f.encode_name for f in changed]
    return merged, [f.encode_name for f in changed if f.name in applicable], pending_restart


class LiveOperatorFile:
    """The operator file of a running node: its current settings, and their reload."""

    def __init__(self, path: str) -> None:
        """Read the file for the first time.

        Raises:
            InvalidOperatorFileError: The file is invalid; the error lists all problems.
        """
        self._path = path
        self.current, self.notes = load(path, OperatorFile)

    def reload(self) -> ReloadResult[OperatorFile]:
        """Read the file again; an invalid file leaves the current settings as they are."""
        result = reload(self.current, self._path)
        self.current = result.current
        return result
