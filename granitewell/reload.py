"""Two configurations of one node: is the newer one whole, and which index has each name in it?

It owns the rule that an index belongs to a name for the life of the process: what is new comes behind what
was known, and what has been dropped keeps its place without being named. It must never read a file, change a
Config, or take a part of one that is refused: ConfigError names the first field that is wrong.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any, TypeVar

from granitewell.config import Config, ConfigError

# keys of which the platform says that they may be absent, and what is data rather than a setting
MAY_GO = frozenset({
    "aimStretch", "familyInfo", "passesDeadline", "warmKeys", "known", "seed", "console", "limits",
})  # fmt: skip

MAX_NAMES = 250  # classes, or tenants, that a process can have known: each costs its work for good

T = TypeVar("T")


def complete(was: Any, now: Any, field: str) -> None:
    """Raise ConfigError where a key that is in force is missing, is of another kind, or is no number."""
    kind = _kind(was)
    if kind != _kind(now) and was is not None and now is not None:
        raise ConfigError(f"{field or 'LB_CONFIG'}: {_short(now)} is not {kind}")
    if isinstance(now, float) and not math.isfinite(now):
        raise ConfigError(f"{field}: {now!r} is not a number that can be used")
    dot = f"{field}." if field else ""
    if isinstance(was, dict) and isinstance(now, dict):
        for key in was:
            if key in MAY_GO:
                continue
            if key not in now:
                raise ConfigError(f"{dot}{key}: missing")
            complete(was[key], now[key], f"{dot}{key}")
    elif isinstance(was, list) and isinstance(now, list) and was:
        if not now and field == "settings.classes":
            raise ConfigError(f"{field}: empty")
        shared = _shared(was)
        named = {x["name"]: x for x in was if isinstance(x, dict) and isinstance(x.get("name"), str)}
        for k, item in enumerate(now):
            name = item.get("name") if isinstance(item, dict) else None
            complete(named.get(name, shared) if isinstance(name, str) else shared, item, f"{field}[{k}]")


def follow(old: Config, new: Config) -> Config:
    """The newer configuration in the indices of the older one."""
    classes, class_at = _behind(old.class_names, new.class_names, "settings.classes")
    tenants, tenant_at = _behind(old.tenant_names, new.tenant_names, "settings.tenants")
    settings = replace(
        new.settings,
        classes=_placed(old.settings.classes, new.settings.classes, class_at, len(classes)),
        tenants=_placed(old.settings.tenants, new.settings.tenants, tenant_at, len(tenants)),
    )
    return replace(
        new, settings=settings, class_names=classes, live=frozenset(new.class_names),
        effects=tuple(c.effect for c in settings.classes), tenant_names=tenants,
        live_tenants=frozenset(new.tenant_names),
    )  # fmt: skip


def _behind(old: tuple[str, ...], new: tuple[str, ...], field: str) -> tuple[tuple[str, ...], list[int]]:
    """The names in their places for good, and the place of each of the newer ones."""
    names = (*old, *(n for n in new if n not in old))
    if len(names) > max(MAX_NAMES, len(old)):
        many = f"{len(names)} names since the start, {MAX_NAMES} are allowed"
        raise ConfigError(f"{field}: {many}: restart the node")
    return names, [names.index(n) for n in new]


def _placed(old: Sequence[T], new: Sequence[T], at: Sequence[int], size: int) -> tuple[T, ...]:
    rows = dict(enumerate(old)) | dict(zip(at, new, strict=True))
    return tuple(rows[k] for k in range(size))


def _shared(items: Sequence[Any]) -> Any:
    """What all entries of a list have: a further one must have it too."""
    first = items[0]
    if isinstance(first, dict) and all(isinstance(x, dict) for x in items):
        return {k: v for k, v in first.items() if all(k in x for x in items)}
    return first


def _kind(value: Any) -> str:
    if isinstance(value, bool):
        return "true or false"
    if isinstance(value, int | float):
        return "a number"
    if isinstance(value, str):
        return "a text"
    if isinstance(value, Mapping):
        return "an object"
    return "a list" if isinstance(value, list) else "null"


def _short(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
