"""Generates the reference page of the operator file, in Markdown, from the types of its tables.

Descriptions of fields come from their `Meta`, those of tables and their checks from their docstrings.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from msgspec import NODEFAULT, inspect

from granitewell.operator.registry import OperatorFile
from granitewell.operator.table import Table
from granitewell.operator.tree_reader import (
    allowed_text,
    description,
    extra_metadata,
    struct_type,
    without_metadata,
)

PAGE_HEADER = """\
# The operator file

<!-- Made by `granitewell check --reference`; a test compares it. Change the types, not this page. -->

What an operator may set on top of what the platform says: a TOML file, named by `granitewell node --operator
FILE` or by the variable `LB_OPERATOR`. Without one the node does as the defaults below say. An example that
names every field is `deploy/operator-example.toml`.

`granitewell check FILE` lists all that is wrong, one line a problem, with the field, what was found and what
is allowed. A node does not start with a wrong file (exit code 2).

On SIGHUP the node reads the file again. It takes what the tables below mark with *yes* under *SIGHUP*, and
its `reload` line names what was taken and what waits for a restart. Where anything in the file is wrong it
changes nothing at all, and the line names the first problem.
"""


def reference_page() -> str:
    """Return the complete page in Markdown."""
    parts = [PAGE_HEADER]
    for field in struct_type(OperatorFile).fields:
        kind = without_metadata(field.type)
        assert isinstance(kind, inspect.StructType)
        parts.append("\n".join(_table_lines(field.encode_name, kind)))
    return "\n".join(parts)


def _table_lines(name: str, node: inspect.StructType) -> Iterator[str]:
    yield f"## `[{name}]`\n"
    yield f"{' '.join((node.cls.__doc__ or '').split())}\n"
    yield "| field | allowed | default | SIGHUP | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for field in node.fields:
        sighup_cell = "restart" if extra_metadata(field.type).get("restart") else "yes"
        former = "".join(f" Former name: `{old}`." for old in extra_metadata(field.type).get("was", ()))
        cells = _allowed(field.type), _default(field), sighup_cell, description(field.type) + former
        yield f"| `{field.encode_name}` | {' | '.join(_escape_cell(x) for x in cells)} |"
    yield from _check_notes(node)
    yield ""


def _check_notes(node: inspect.StructType) -> Iterator[str]:
    """Yield the docstring of the table's own checks, if it has any."""
    check = getattr(node.cls, "check", None)
    doc = getattr(check, "__doc__", None)
    if doc and check is not Table.check:
        yield f"\nAlso checked: {' '.join(doc.split())}"


def _allowed(node: inspect.Type) -> str:
    allowed_values, kind = allowed_text(node), without_metadata(node)
    if isinstance(kind, inspect.DictType) and not extra_metadata(node).get("allowed"):
        key = allowed_text(kind.key_type)
        return allowed_values if key == "text" else f"{allowed_values}; keys: {key}"
    return allowed_values


def _default(field: inspect.Field) -> str:
    if field.default is not NODEFAULT:
        return f"`{_toml(field.default)}`"
    if field.default_factory is not NODEFAULT:
        return f"`{_toml(field.default_factory())}`"
    return "none: must be given"


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{k} = {_toml(v)}" for k, v in value.items()) + "}"
    return json.dumps(list(value) if isinstance(value, tuple) else value, ensure_ascii=False)


def _escape_cell(text: str) -> str:
    return text.replace("|", "\\|").replace("\n", " ")
