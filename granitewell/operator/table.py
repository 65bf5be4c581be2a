"""The base class of all tables of a validated file, and the conversion of data to a typed object.

`validate` converts data, or lists all problems. Nothing here depends on which tables exist: `registry` lists
them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace
from functools import cache
from typing import Any, TypeVar, get_type_hints

import msgspec

from granitewell.operator.problem import Path, Problem, format_value
from granitewell.operator.tree_reader import TreeReader, struct_type


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of a file; the `Meta` of each field describes it."""

    def check(self) -> Iterable[Problem]:
        """Return problems between fields that are each valid; paths are relative to this table."""
        return ()


T = TypeVar("T", bound=Table)


def validate(data: Mapping[str, Any], kind: type[T]) -> tuple[T | None, list[Problem]]:
    """Convert data to an object of the type, or to None, and list all problems and notes.

    The checks between fields run on each top-level table whose fields are valid, also if others are not.
    """
    reader = TreeReader()
    cleaned = reader.read(dict(data), struct_type(kind), ())
    problems = reader.problems
    converted: dict[str, Any] = {}
    for field in struct_type(kind).fields:
        name = field.encode_name
        if name not in cleaned or reader.has_problem(name):
            continue
        try:
            converted[field.name] = msgspec.convert(cleaned[name], _hints(kind)[field.name])
        except msgspec.ValidationError as error:  # a constraint that the tree reader does not check
            problems.append(Problem((name,), format_value(cleaned[name]), str(error)))
            continue
        problems += run_checks(converted[field.name], (name,))
    if any(not p.note for p in problems):
        return None, problems
    whole = kind(**converted)
    return whole, [*problems, *whole.check()]


@cache
def _hints(kind: type[Table]) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


def run_checks(converted: object, path: Path) -> Iterator[Problem]:
    """Yield the problems that the checks of a table and of all nested tables find."""
    if isinstance(converted, Table):
        for problem in converted.check():
            yield replace(problem, path=(*path, *problem.path))
        for field in struct_type(type(converted)).fields:
            yield from run_checks(getattr(converted, field.name), (*path, field.encode_name))
    elif isinstance(converted, tuple | list):
        for k, item in enumerate(converted):
            yield from run_checks(item, (*path, k))
    elif isinstance(converted, dict):
        for key, item in converted.items():
            yield from run_checks(item, (*path, key))
