"""A drawn day as JSON and back: what a recording is judged by, and what a failing day is kept as.

It owns that form, which is lab.day's types field by field, with its version; and must never draw, default or
repair: a file that does not say a field that has no default, says one that there is not, or says it with
another type is refused with one line that names the field. A newer version is refused too.
"""

from __future__ import annotations

import difflib
import json
import math
from collections.abc import Mapping
from dataclasses import MISSING, Field, asdict, fields, is_dataclass
from enum import Enum
from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

from granitewell.files import MAX_USER_FILE_BYTES, read_regular_file
from granitewell.lab.day import Day

VERSION = 1


class DayError(ValueError):
    """A day file can't be used; one line of text that names the field."""


def dump(day: Day) -> str:
    """The day as JSON, the same text for the same day."""
    return json.dumps({"version": VERSION, "day": _plain(asdict(day))}, sort_keys=True, allow_nan=False)


def load(text: str, source: str = "day") -> Day:
    """The day of such a text. DayError names `source`, the field, what was found and what is allowed."""
    try:
        top = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise DayError(f"{source}: not JSON: {error}") from None
    if not isinstance(top, dict) or set(top) != {"version", "day"}:
        raise DayError(f"{source}: found no object of `version` and `day`")
    if top["version"] != VERSION:
        raise DayError(f"{source}: version: found {top['version']!r}, this program reads {VERSION}")
    try:
        made: Day = _object(Day, top["day"], "")
        _cross(made)
    except DayError as error:
        raise DayError(f"{source}: {error}") from None
    return made


def load_file(path: str | Path) -> Day:
    """The day of a file. DayError where it can't be read or used."""
    try:
        text = read_regular_file(path, MAX_USER_FILE_BYTES).decode()
    except UnicodeDecodeError:
        raise DayError(f"{path}: not UTF-8") from None
    except (OSError, ValueError) as error:
        raise DayError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    return load(text, str(path))


def _plain(value: Any) -> Any:
    """Enums by their values, tuples as lists."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return {k: _plain(v) for k, v in value.items()}
    return [_plain(v) for v in value] if isinstance(value, list | tuple) else value


# --- From JSON to types -----------------------------------------------------------------------------------
def _object(cls: Any, data: Any, where: str) -> Any:
    """One of the day's types."""
    if not isinstance(data, dict):
        raise DayError(f"{where or 'day'}: found {_word(data)}, wanted an object")
    hints, known = get_type_hints(cls), {f.name: f for f in fields(cls)}
    for name in data:
        if name not in known:
            near = difflib.get_close_matches(name, known, 1)
            raise DayError(f"{_at(where, name)}: unknown" + (f"; did you mean {near[0]}?" if near else ""))
    made = {}
    for name, spec in known.items():
        if name in data:
            made[name] = _value(hints[name], data[name], _at(where, name))
        elif not _has_default(spec):
            raise DayError(f"{_at(where, name)}: missing")
    return cls(**made)


def _value(hint: Any, data: Any, where: str) -> Any:
    if is_dataclass(hint):
        return _object(hint, data, where)
    if get_origin(hint) is tuple:
        return _tuple(get_args(hint), data, where)
    if get_origin(hint) is dict:
        if not isinstance(data, dict) or not all(isinstance(v, str) for v in data.values()):
            raise DayError(f"{where}: found {_word(data)}, wanted an object of texts")
        return dict(data)
    if get_origin(hint) in (Union, UnionType):
        return data if isinstance(data, str) else _value(float, data, where)
    if isinstance(hint, type) and issubclass(hint, Enum):
        allowed = [e.value for e in hint]
        if data not in allowed:
            raise DayError(f"{where}: found {_word(data)}, allowed: {', '.join(map(str, allowed))}")
        return hint(data)
    return _scalar(hint, data, where)


def _scalar(hint: Any, data: Any, where: str) -> Any:
    if hint is float and isinstance(data, int | float) and not isinstance(data, bool):
        if not math.isfinite(data):
            raise DayError(f"{where}: found {data}, wanted a finite number")
        return float(data)
    if hint in (int, bool, str) and type(data) is hint:
        return data
    names = {int: "a whole number", float: "a number", bool: "true or false", str: "a text"}
    raise DayError(f"{where}: found {_word(data)}, wanted {names.get(hint, hint)}")


def _tuple(args: tuple[Any, ...], data: Any, where: str) -> tuple[Any, ...]:
    if not isinstance(data, list):
        raise DayError(f"{where}: found {_word(data)}, wanted a list")
    kinds = [args[0]] * len(data) if len(args) == 2 and args[1] is Ellipsis else list(args)
    if len(kinds) != len(data):
        raise DayError(f"{where}: found {len(data)} entries, wanted {len(kinds)}")
    return tuple(_value(k, v, f"{where}[{n}]") for n, (k, v) in enumerate(zip(kinds, data, strict=True)))


def _has_default(spec: Field[Any]) -> bool:
    return spec.default is not MISSING or spec.default_factory is not MISSING


def _at(where: str, name: str) -> str:
    return f"{where}.{name}" if where else name


def _word(data: Any) -> str:
    return json.dumps(data)[:60]


# --- What one field can't show ----------------------------------------------------------------------------
def _cross(day: Day) -> None:
    """Indices that point at something, names that are one's own, and times that a judge can count with."""
    if not day.zones or not day.classes or not day.nodes:
        raise DayError("zones, classes and nodes: wanted at least one of each")
    _places("endpoints", [(e.id, e.zone) for e in day.endpoints], len(day.zones))
    _places("nodes", [(n.name, n.zone) for n in day.nodes], len(day.zones))
    for k, endpoint in enumerate(day.endpoints):
        _index(f"endpoints[{k}].kind", endpoint.kind, len(day.kinds))
    for k, c in enumerate(day.classes):
        for name in ("work_us", "aim_us", "deadline_us", "worth"):
            if getattr(c, name) <= 0:
                raise DayError(f"classes[{k}].{name}: found {getattr(c, name)}, wanted more than 0")
    for name, value in (("length_us", day.length_us), ("rules.fall_us", day.rules.fall_us)):
        if value <= 0:
            raise DayError(f"{name}: found {value}, wanted more than 0")


def _places(what: str, places: list[tuple[str, int]], zones: int) -> None:
    known: dict[str, int] = {}
    for k, (name, zone) in enumerate(places):
        _index(f"{what}[{k}].zone", zone, zones)
        if known.setdefault(name, k) != k:
            raise DayError(f"{what}[{k}]: {name!r} stands at {what}[{known[name]}] already")


def _index(where: str, value: int, count: int) -> None:
    if not 0 <= value < count:
        raise DayError(f"{where}: found {value}, allowed: 0 to {count - 1}")
