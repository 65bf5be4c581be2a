"""Compares two whole configurations."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

LIST_FIELDS = (
    "routes",
    "services",
)  # their items are matched by name; other values are compared directly
ABSENT = object()


class Change(Enum):
    """What happened to an item or value."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference.

    Attributes:
        path: The place of the value, such as `routes[r-1].timeout-ms`.
    """

    change: Change
    path: str
    before: object = None
    after: object = None

    def text(self) -> str:
        """Return the difference as one line."""
        if self.change is not Change.CHANGED:
            return f"{self.change.value} {self.path}"
        return f"{self.change.value} {self.path}: {_json(self.before)} -> {_json(self.after)}"


def differences(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[Difference]:
    """Return all differences, in the order of the keys of `before`, then of those new in `after`."""
    found: list[Difference] = []
    for key in _keys(before, after):
        if key in LIST_FIELDS:
            found += _fields(_by_name(before.get(key)), _by_name(after.get(key)), key)
        else:
            found += _values(key, before.get(key, ABSENT), after.get(key, ABSENT))
    return found


def _fields(before: Mapping[str, Any], after: Mapping[str, Any], group: str) -> Iterator[Difference]:
    for name in _keys(before, after):
        yield from _values(f"{group}[{name}]", before.get(name, ABSENT), after.get(name, ABSENT))


def _values(path: str, before: object, after: object) -> Iterator[Difference]:
    """Compare objects field by field, other values directly."""
    if before is ABSENT:
        yield Difference(Change.ADDED, path)
    elif after is ABSENT:
        yield Difference(Change.REMOVED, path)
    elif isinstance(before, dict) and isinstance(after, dict):
        for key in _keys(before, after):
            yield from _values(f"{path}.{key}", before.get(key, ABSENT), after.get(key, ABSENT))
    elif not _same(before, after):
        yield Difference(Change.CHANGED, path, before, after)


def _same(before: object, after: object) -> bool:
    """Compare as JSON: 1 equals 1.0, 1 does not equal true."""
    if isinstance(before, bool) or isinstance(after, bool):
        return before is after
    if isinstance(before, list) and isinstance(after, list):
        return len(before) == len(after) and all(map(_same, before, after))
    if isinstance(before, dict) and isinstance(after, dict):
        return before.keys() == after.keys() and all(_same(before[key], after[key]) for key in before)
    return before == after


def _keys(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    return [*before, *(key for key in after if key not in before)]


def _by_name(items: object) -> dict[str, Any]:
    """Index items by name; an item without a name by its position."""
    named: dict[str, Any] = {}
    for index, item in enumerate(items if isinstance(items, list) else ()):
        name = item.get("name") if isinstance(item, dict) else None
        named[name if isinstance(name, str) else str(index)] = item
    return named


def _json(value: object) -> str:
    return json.dumps(value, separators=(",", ":"))
