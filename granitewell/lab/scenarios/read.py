"""From files to one checked scenario: TOML, `extends`, and every key held against its type.

It owns where scenarios are found, how a file and the one that it extends become one, and the wording of what
is wrong. It must never draw a number or stop at the first problem: a `ScenarioError` holds one line for each,
with the file, the field, what was found and what is allowed.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_args, get_origin

import msgspec

from granitewell.files import MAX_USER_FILE_BYTES, read_regular_file
from granitewell.lab.scenarios.check import combinations
from granitewell.lab.scenarios.trace import Row, TraceFileError, read_trace
from granitewell.lab.scenarios.types import ScenarioTable, Spec, Table, fields_of, spec_of
from granitewell.lab.scenarios.values import allowed, fits, nearest, shown, unknown

BUILTIN = Path(__file__).parent
_BY_NAME = ("class", "tenant", "kind")  # lists whose entries are merged by their name
_ONE_OF = ("rate_per_s", "utilisation", "trace")


class ScenarioError(Exception):
    """A scenario can't be used; `problems` has one line for each thing that is wrong."""

    def __init__(self, problems: Iterable[str]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(self.problems))


@dataclass(frozen=True, slots=True)
class Scenario:
    """A checked scenario. `trace` has the rows of its trace file, if it names one."""

    file: str
    table: ScenarioTable
    trace: tuple[Row, ...] = ()

    @property
    def name(self) -> str:
        """Its own name, or that of its file."""
        return self.table.name or Path(self.file).stem


def builtin() -> tuple[str, ...]:
    """The names of the built-in scenarios, sorted."""
    return tuple(sorted(p.stem for p in BUILTIN.glob("*.toml")))


def load(path: str | Path) -> Scenario:
    """The scenario of a file, or of a built-in name.

    ScenarioError: whatever is wrong with it, or with what it extends.
    """
    found = _find(str(path), Path())
    if found is None:
        like = nearest(str(path), builtin())
        hint = f"; nearest built-in: {like}" if like else f"; built-in: {', '.join(builtin())}"
        raise ScenarioError([f"{path}: no such file and no built-in scenario{hint}"])
    label, where = found
    problems: list[str] = []
    raw = _whole(label, where, problems, ())
    return parse(raw, label, problems)


def parse(raw: Mapping[str, Any], label: str, problems: Iterable[str] = ()) -> Scenario:
    """The scenario of tables that have been read already; `label` stands for the file in what is wrong."""
    told = list(problems)
    if not told:
        Walk(label, told).table(raw, ScenarioTable, "", whole=True)
    if told:
        raise ScenarioError(told)
    try:
        table = msgspec.convert(dict(raw), ScenarioTable)
    except msgspec.ValidationError as error:  # a form that Walk should have named
        raise ScenarioError([f"{label}: {error}"]) from None
    told += [f"{label}: {line}" for line in combinations(table)]
    rows: tuple[Row, ...] = ()
    if table.load.trace and not told:
        try:
            rows = read_trace(Path(table.load.trace), table)
        except TraceFileError as error:
            told.append(f"{label}: load.trace: {error}")
    if told:
        raise ScenarioError(told)
    return Scenario(label, table, rows)


def _find(name: str, beside: Path) -> tuple[str, Path] | None:
    """The label and place of a scenario: a file beside another, or a built-in one."""
    path = beside / name
    if path.is_file():
        return name if beside == Path() else str(path), path
    kept = BUILTIN / f"{name}.toml"
    return (kept.name, kept) if re.fullmatch(r"[\w-]+", name) and kept.is_file() else None


def _whole(label: str, path: Path, problems: list[str], above: tuple[Path, ...]) -> dict[str, Any]:
    """A file's tables over those of what it extends."""
    try:
        raw = tomllib.loads(read_regular_file(path, MAX_USER_FILE_BYTES).decode())
    except (OSError, ValueError, RecursionError) as error:
        problems.append(f"{label}: {' '.join(str(error).split())}")
        return {}
    before = len(problems)
    Walk(label, problems).table(raw, ScenarioTable, "", whole=False)
    if len(problems) > before:
        return {}
    if raw.get("load", {}).get("trace"):
        raw["load"]["trace"] = str(path.parent / raw["load"]["trace"])
    name = raw.pop("extends", "")
    if not name:
        return raw
    found = _find(name, path.parent)
    if found is None or found[1].resolve() in (p.resolve() for p in (*above, path)):
        right = "a built-in name or a file beside this one, and no circle"
        problems.append(f"{label}: extends: found {name!r}; allowed: {right}")
        return {}
    return merged(_whole(*found, problems, (*above, path)), raw)


def merged(base: Mapping[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    """Tables of one file over those of another.

    Tables key by key, classes, co-operatives and kinds by their names; anything else, the list of faults too,
    is replaced.
    """
    out = dict(base)
    if any(k in over for k in _ONE_OF):
        out = {k: v for k, v in out.items() if k not in _ONE_OF}
    for key, value in over.items():
        was = base.get(key)
        if isinstance(value, dict) and isinstance(was, dict):
            out[key] = merged(was, value)
        elif key in _BY_NAME and was:
            out[key] = _by_name(was, value)
        else:
            out[key] = value
    return out


def _by_name(base: list[dict[str, Any]], over: list[dict[str, Any]]) -> list[dict[str, Any]]:
    new = {entry.get("name"): entry for entry in over}
    kept = [merged(entry, new.pop(entry.get("name"), {})) for entry in base]
    return kept + list(new.values())


class Walk:
    """Holds what was read against the types, and notes one line for each thing that is wrong."""

    def __init__(self, label: str, problems: list[str]) -> None:
        self._label, self._problems = label, problems

    def wrong(self, path: str, found: Any, right: str) -> None:
        """Note one line."""
        self._problems.append(f"{self._label}: {path}: found {shown(found)}; allowed: {right}")

    def table(self, raw: Any, kind: type[Table], path: str, whole: bool) -> None:
        """One table; whole: nothing may be missing."""
        if not isinstance(raw, Mapping):
            self.wrong(path.rstrip("."), raw, "a table")
            return
        known = {f.encode_name: f for f in fields_of(kind)}
        for key, value in raw.items():
            if key not in known:
                self._problems.append(unknown(f"{self._label}: {path}{key}", "unknown key", key, known))
            else:
                self._field(value, known[key].type, f"{path}{key}", whole)
        for key, spec in known.items():
            if whole and spec.required and key not in raw:
                self._problems.append(f"{self._label}: {path}{key}: missing; allowed: {_allowed(spec.type)}")

    def _field(self, value: Any, kind: Any, path: str, whole: bool) -> None:
        inner = get_args(kind)[0] if get_origin(kind) is tuple else None
        if isinstance(kind, type) and issubclass(kind, Table):
            self.table(value, kind, f"{path}.", whole)
        elif inner is not None:
            if not isinstance(value, list | tuple) or not value and path != "fault":
                self.wrong(path, value, f"one or more tables [[{path}]]")
                return
            for k, entry in enumerate(value):
                self.table(entry, inner, f"{path}[{k}].", whole)
        else:
            self.value(value, spec_of(kind), path)

    def value(self, value: Any, spec: Spec, path: str) -> None:
        """One value against what its key takes."""
        if not fits(value, spec):
            self.wrong(path, value, allowed(value, spec))


def _allowed(kind: Any) -> str:
    if get_origin(kind) is tuple:
        return "one or more such tables"
    return "a table" if isinstance(kind, type) else spec_of(kind).allowed
