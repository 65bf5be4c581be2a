"""What every table of a checked file has in common, and the step from data to a typed object.

It owns `Table`, the base of all tables, and `examine`, which makes an object of data or says all that is
wrong. It must never know which tables there are: `registry` does.
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
    """One table of a file; each field has a `Meta` that says what it means."""

    def check(self) -> Iterable[Problem]:
        """What is wrong between fields that are each right by themselves; paths begin in this table."""
        return ()


T = TypeVar("T", bound=Table)


def validate(data: Mapping[str, Any], kind: type[T]) -> tuple[T | None, list[Problem]]:
    """An object of the kind, or None, and all that is wrong or worth a note.

    The checks between fields run on each top table whose fields are right, whatever the other tables hold.
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
        except msgspec.ValidationError as error:  # a type that the walk does not know well enough
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
    """What the checks of a table and of all tables in it say."""
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
