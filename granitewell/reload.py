"""Validation of a reloaded configuration against the one in force, and its indices.

An index belongs to the same name for the life of the process: new names are appended, and removed names keep
their index without being active. A configuration is accepted or refused as a whole; ConfigError names the
first field that is wrong.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any, TypeVar

from granitewell.config import Config, ConfigError

# keys that the platform documents as optional, and keys that are not settings
OPTIONAL_KEYS = frozenset({
    "aimStretch", "familyInfo", "passesDeadline", "warmKeys", "known", "seed", "console", "limits",
})  # fmt: skip

MAX_NAMES = 250  # of classes, or of tenants, since the start; removed ones still cost memory and CPU

T = TypeVar("T")


def check_complete(old: Any, new: Any, field: str) -> None:
    """Check that a new value has every key of the old one, with values of the same type.

    A list entry is compared with the old entry of the same name, or else with the keys that all old entries
    have.

    Args:
        old: The value in force.
        new: The value that replaces it.
        field: Path of the value in the file, for the message; empty for the whole file.

    Raises:
        ConfigError: A key is missing or has another type, or a number is not finite.
    """
    kind = _type_name(old)
    if kind != _type_name(new) and old is not None and new is not None:
        raise ConfigError(f"{field or 'LB_CONFIG'}: {_abbreviate(new)} is not {kind}")
    if isinstance(new, float) and not math.isfinite(new):
        raise ConfigError(f"{field}: {new!r} is not a finite number")
    prefix = f"{field}." if field else ""
    if isinstance(old, dict) and isinstance(new, dict):
        for key in old:
            if key in OPTIONAL_KEYS:
                continue
            if key not in new:
                raise ConfigError(f"{prefix}{key}: missing")
            check_complete(old[key], new[key], f"{prefix}{key}")
    elif isinstance(old, list) and isinstance(new, list) and old:
        if not new and field == "settings.classes":
            raise ConfigError(f"{field}: empty")
        shared = _common_part(old)
        named = {x["name"]: x for x in old if isinstance(x, dict) and isinstance(x.get("name"), str)}
        for k, item in enumerate(new):
            name = item.get("name") if isinstance(item, dict) else None
            check_complete(
                named.get(name, shared) if isinstance(name, str) else shared, item, f"{field}[{k}]"
            )


def keep_indices(old: Config, new: Config) -> Config:
    """Return the new configuration with its classes and tenants at the indices of the old one.

    Raises:
        ConfigError: There are too many names since the start.
    """
    classes, class_indices = _append_new_names(old.class_names, new.class_names, "settings.classes")
    tenants, tenant_indices = _append_new_names(old.tenant_names, new.tenant_names, "settings.tenants")
    settings = replace(
        new.settings,
        classes=_merge_by_index(old.settings.classes, new.settings.classes, class_indices, len(classes)),
        tenants=_merge_by_index(old.settings.tenants, new.settings.tenants, tenant_indices, len(tenants)),
    )
    return replace(
        new, settings=settings, class_names=classes, active_classes=frozenset(new.class_names),
        effects=tuple(c.effect for c in settings.classes), tenant_names=tenants,
        active_tenants=frozenset(new.tenant_names),
    )  # fmt: skip


def _append_new_names(
    old: tuple[str, ...], new: tuple[str, ...], field: str
) -> tuple[tuple[str, ...], list[int]]:
    """Return the old names followed by the new ones, and the index of each name in `new`."""
    names = (*old, *(n for n in new if n not in old))
    if len(names) > max(MAX_NAMES, len(old)):
        many = f"{len(names)} names since the start, {MAX_NAMES} are allowed"
        raise ConfigError(f"{field}: {many}: restart the node")
    return names, [names.index(n) for n in new]


def _merge_by_index(old: Sequence[T], new: Sequence[T], indices: Sequence[int], size: int) -> tuple[T, ...]:
    rows = dict(enumerate(old)) | dict(zip(indices, new, strict=True))
    return tuple(rows[k] for k in range(size))


def _common_part(items: Sequence[Any]) -> Any:
    """Return the keys that all entries of a list have, which a new entry must have too."""
    first = items[0]
    if isinstance(first, dict) and all(isinstance(x, dict) for x in items):
        return {k: v for k, v in first.items() if all(k in x for x in items)}
    return first


def _type_name(value: Any) -> str:
    if isinstance(value, bool):
        return "true or false"
    if isinstance(value, int | float):
        return "a number"
    if isinstance(value, str):
        return "a string"
    if isinstance(value, Mapping):
        return "an object"
    return "a list" if isinstance(value, list) else "null"


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
