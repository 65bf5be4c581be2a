"""Validates data from a file against types and collects all problems, where msgspec stops at the first.

Types are described by `msgspec.inspect`. Reading continues after each problem, whatever the data holds.

A field's `Meta` has bounds, a description, and under `extra`: `allowed` (a description of allowed values in
place of a pattern), `was` (former names, still accepted, with a note), `restart` (a change takes effect only
after a restart). For a type that does not forbid unknown fields, an unknown key is a note; it is a problem
only if it looks like a misspelt name of a missing field.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Mapping
from difflib import SequenceMatcher
from functools import cache
from typing import Any

import msgspec
from msgspec import inspect as t

from granitewell.operator.problem import (
    MAX_SHOWN_CHARS,
    Path,
    Problem,
    dotted_path,
    format_value,
    unknown_key,
)

SizedType = t.StrType | t.ListType | t.VarTupleType | t.DictType

MAX_PROBLEMS = 200  # listed for one file, which also bounds the time that an invalid file takes
# similarity from which an unknown key of a type that allows them counts as a misspelt known one
MIN_TYPO_SIMILARITY = 0.8


@cache
def struct_type(kind: type[msgspec.Struct]) -> t.StructType:
    """Return msgspec's description of a Struct; cached."""
    made = t.type_info(kind)
    assert isinstance(made, t.StructType)
    return made


def without_metadata(node: t.Type) -> t.Type:
    """Return the type without its `Meta`."""
    return node.type if isinstance(node, t.Metadata) else node


def extra_metadata(node: t.Type) -> Mapping[str, Any]:
    """Return `extra` of the type's `Meta`, or an empty mapping."""
    return (node.extra or {}) if isinstance(node, t.Metadata) else {}


def description(node: t.Type) -> str:
    """Return the description in the type's `Meta`, or an empty string."""
    return str((node.extra_json_schema or {}).get("description", "")) if isinstance(node, t.Metadata) else ""


def allowed_text(node: t.Type) -> str:
    """Describe the values that a type allows."""
    if allowed_values := extra_metadata(node).get("allowed"):
        return str(allowed_values)
    node = without_metadata(node)
    if isinstance(node, t.LiteralType):
        return " or ".join(json.dumps(x) for x in node.values)
    if isinstance(node, t.IntType | t.FloatType):
        return ("a whole number" if isinstance(node, t.IntType) else "a number") + _bounds_text(node)
    if isinstance(node, t.StrType):
        pattern = f" that matches {node.pattern}" if node.pattern else ""
        return f"text{pattern}{_length_bounds_text(node, 'characters')}"
    if isinstance(node, t.ListType | t.VarTupleType):
        return f"a list of {allowed_text(node.item_type)}{_length_bounds_text(node, 'entries')}"
    if isinstance(node, t.DictType):
        return f"a table of {allowed_text(node.value_type)}{_length_bounds_text(node, 'entries')}"
    if isinstance(node, t.UnionType):
        return " or ".join(allowed_text(x) for x in node.types)
    return _TYPE_NAMES.get(type(node), type(node).__name__)


_TYPE_NAMES = {
    t.BoolType: "true or false",
    t.NoneType: "null",
    t.AnyType: "anything",
    t.StructType: "a table",
}


def _bounds_text(node: t.IntType | t.FloatType) -> str:
    least, most = node.ge, node.le
    if node.gt is not None:
        return f" above {node.gt:g}" + (f" up to {most:g}" if most is not None else "")
    if least is not None and most is not None:
        return f" from {least:g} to {most:g}"
    return f" from {least:g}" if least is not None else f" up to {most:g}" if most is not None else ""


def _length_bounds_text(node: SizedType, unit: str) -> str:
    least, most = node.min_length, node.max_length
    return (f", at least {least} {unit}" if least else "") + (f", at most {most} {unit}" if most else "")


class TreeReader:
    """Reads the data of one file; `problems` lists what is wrong, in the file's order."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def read(self, value: Any, node: t.Type, path: Path) -> Any:
        """Return the value with former names replaced; problems with it are added to `problems`."""
        kind, allowed_values = without_metadata(node), allowed_text(node)
        if isinstance(kind, t.StructType):
            return self._read_struct(value, kind, path)
        if isinstance(kind, t.DictType):
            return self._read_dict(value, kind, path, allowed_values)
        if isinstance(kind, t.ListType | t.VarTupleType):
            return self._read_list(value, kind, path, allowed_values)
        if isinstance(kind, t.UnionType):
            return self._read_union(value, kind, path, allowed_values)
        if not _is_valid(value, kind):
            self._add(Problem(path, format_value(value), allowed_values))
        return value

    def has_problem(self, top: str) -> bool:
        """Return whether a problem was found in this top-level table."""
        return any(not p.note and p.path[:1] == (top,) for p in self.problems)

    def _add(self, problem: Problem) -> None:
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(problem)
        elif len(self.problems) == MAX_PROBLEMS:
            self.problems.append(Problem((), f"over {MAX_PROBLEMS} problems", "the rest is not listed"))

    def _read_struct(self, value: Any, node: t.StructType, path: Path) -> Any:
        if not isinstance(value, dict):
            self._add(Problem(path, format_value(value), "a table"))
            return value
        fields = {f.encode_name: f for f in node.fields}
        former = {old: f.encode_name for f in node.fields for old in extra_metadata(f.type).get("was", ())}
        cleaned: dict[str, Any] = {}
        for key, item in value.items():
            name = former.get(key, key)
            if name not in fields:
                self._add_unknown_key(key, node, value, path)
            elif key not in former or self._accept_former_name(key, name, value, path):
                cleaned[name] = self.read(item, fields[name].type, (*path, key))
        for name, field in fields.items():
            if field.required and name not in cleaned:
                self._add(Problem((*path, name), "nothing", allowed_text(field.type)))
        return cleaned

    def _accept_former_name(self, key: str, name: str, value: Mapping[str, Any], path: Path) -> bool:
        """Return whether a field under its former name is accepted; adds a note, or a problem if not."""
        twice = name in value
        found = f"a former name of {name}" + (", which is given too" if twice else "")
        self._add(Problem((*path, key), found, f"{name} alone" if twice else f"write {name}", note=not twice))
        return not twice

    def _add_unknown_key(self, key: str, node: t.StructType, value: Mapping[str, Any], path: Path) -> None:
        if len(self.problems) > MAX_PROBLEMS:
            return
        known = tuple(f.encode_name for f in node.fields)
        if node.forbid_unknown_fields:
            self._add(unknown_key((*path, key), key, known, near=_path_in_nested_table(key, node)))
            return
        absent = tuple(k for k in known if k not in value)
        likeness = {
            k: SequenceMatcher(None, key[:MAX_SHOWN_CHARS].lower(), k.lower()).ratio() for k in absent
        }
        near = max(likeness, key=lambda k: likeness[k], default="")
        if near and likeness[near] >= MIN_TYPO_SIMILARITY:
            self._add(unknown_key((*path, key), key, absent, near=near))
        else:
            self._add(Problem((*path, key), "an unknown key", "it is disregarded", note=True))

    def _read_dict(self, value: Any, node: t.DictType, path: Path, allowed_values: str) -> Any:
        if not isinstance(value, dict) or not _length_in_bounds(value, node):
            self._add(Problem(path, _describe_found(value), allowed_values))
            return value
        for key in value:
            if not _is_valid(key, without_metadata(node.key_type)):
                self._add(Problem((*path, key), "such a key", f"keys: {allowed_text(node.key_type)}"))
        return {key: self.read(item, node.value_type, (*path, key)) for key, item in value.items()}

    def _read_list(
        self, value: Any, node: t.ListType | t.VarTupleType, path: Path, allowed_values: str
    ) -> Any:
        if not isinstance(value, list) or not _length_in_bounds(value, node):
            self._add(Problem(path, _describe_found(value), allowed_values))
            return value
        return [self.read(item, node.item_type, (*path, k)) for k, item in enumerate(value)]

    def _read_union(self, value: Any, node: t.UnionType, path: Path, allowed_values: str) -> Any:
        for kind in node.types:
            attempt = TreeReader()
            cleaned = attempt.read(value, kind, path)
            if not any(not p.note for p in attempt.problems):
                return cleaned
        self._add(Problem(path, format_value(value), allowed_values))
        return value


def _describe_found(value: Any) -> str:
    return f"a table of {len(value)}" if isinstance(value, dict) else format_value(value)


def _path_in_nested_table(key: str, node: t.StructType) -> str:
    """Return the path of a key that belongs in a nested table; empty if it belongs in none."""
    for field in node.fields:
        inner = without_metadata(field.type)
        if isinstance(inner, t.StructType) and any(f.encode_name == key for f in inner.fields):
            return dotted_path((field.encode_name, key))
    return ""


def _length_in_bounds(value: Any, node: SizedType) -> bool:
    least, most = node.min_length, node.max_length
    return (least is None or len(value) >= least) and (most is None or len(value) <= most)


def _in_bounds(value: float, node: t.IntType | t.FloatType) -> bool:
    return (
        (node.ge is None or value >= node.ge)
        and (node.le is None or value <= node.le)
        and (node.gt is None or value > node.gt)
        and (node.lt is None or value < node.lt)
    )


def _is_int(value: Any, node: t.IntType) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and _in_bounds(value, node)


def _is_float(value: Any, node: t.FloatType) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(float(value)) and _in_bounds(float(value), node)
    except OverflowError:  # an integer too large for a float
        return False


def _is_str(value: Any, node: t.StrType) -> bool:
    if not isinstance(value, str) or not _length_in_bounds(value, node):
        return False
    return node.pattern is None or re.search(node.pattern, value) is not None


def _is_literal(value: Any, node: t.LiteralType) -> bool:
    return any(type(value) is type(x) and value == x for x in node.values)


_VALIDATORS: dict[type[t.Type], Callable[[Any, Any], bool]] = {
    t.IntType: _is_int,
    t.FloatType: _is_float,
    t.StrType: _is_str,
    t.LiteralType: _is_literal,
    t.BoolType: lambda value, node: isinstance(value, bool),
    t.NoneType: lambda value, node: value is None,
}


def _is_valid(value: Any, node: t.Type) -> bool:
    """Return whether a scalar is valid for a type; types without a validator accept any value."""
    validator = _VALIDATORS.get(type(node))
    return validator is None or validator(value, node)
