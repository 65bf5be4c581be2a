"""Captured load: a trace of first tries as a CSV file, for replay and for a summary of what it was like.

It owns the file's form, `at_us,class,tenant,key,zone` with a heading, one first try a line, and the figures
of the summary. It must never draw anything or hold a whole file where a line will do. Times are microseconds
since the capture began and never fall; class, tenant and zone are names; key is a whole number, 0: none.
"""

from __future__ import annotations

import csv
import math
import os
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import asdict, dataclass
from difflib import get_close_matches
from pathlib import Path
from typing import Any, NamedTuple, TextIO

from granitewell.lab.day import Day
from granitewell.lab.emulator.arrivals import Arrivals

COLUMNS = ("at_us", "class", "tenant", "key", "zone")
MOST = 10**18 - 1  # the largest figure that a trace may hold
FITTED = 10_000  # ranks that the Zipf exponent is fitted to, from the top
_STEP = 4096  # lines between two calls of `step`


class TraceError(ValueError):
    """A trace that can't be taken: one line that names file, line, column, what was found and is allowed."""

    def __init__(self, path: Path | str, line: int, what: str) -> None:
        super().__init__(f"{path}, line {line}: {what}")


class Row(NamedTuple):
    """One first try, by names."""

    at_us: int
    cls: str
    tenant: str
    key: int
    zone: str


class Names(NamedTuple):
    """The names that a day knows; a line's place among them is the index in the day."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]

    @classmethod
    def of(cls, day: Day) -> Names:
        """A day's names; a day without tenants knows one, `-`."""
        tenants = tuple(t.name for t in day.tenants) or ("-",)
        return cls(tuple(c.name for c in day.classes), tenants, day.zones)


def read(path: Path | str, step: Callable[[int], None] | None = None) -> Iterator[Row]:
    """The trace's tries, one at a time; `step` is told how many bytes were read, about.

    Raises TraceError, or OSError where the file can't be read.
    """
    return (row for _, row in _rows(path, step))


def load(path: Path | str, names: Names) -> tuple[tuple[int, int, int, int, int], ...]:
    """The trace for `LoadDay.trace`: names as indices. Raises TraceError, also for a name that is none."""
    columns = list(zip(("class", "tenant", "zone"), names, strict=True))
    places = [{name: k for k, name in enumerate(known)} for known in names]
    tries: list[tuple[int, int, int, int, int]] = []
    for line, row in _rows(path, None):
        found = row.cls, row.tenant, row.zone
        try:
            cls, tenant, zone = (place[name] for place, name in zip(places, found, strict=True))
        except KeyError:
            wrong = next((c, n, f) for (c, n), f in zip(columns, found, strict=True) if f not in n)
            raise TraceError(path, line, _unknown(*wrong)) from None
        tries.append((row.at_us, cls, tenant, row.key, zone))
    return tuple(tries)


def write(path: Path | str, rows: Iterable[Row]) -> int:
    """Write a trace and return the number of its tries.

    A file that was there is replaced only when the new one is whole.
    """
    path, count = Path(path), 0
    part = path.with_name(f"{path.name}.{os.getpid()}.part")
    try:
        with part.open("w", encoding="utf-8", newline="") as file:
            out = csv.writer(file, lineterminator="\n")
            out.writerow(COLUMNS)
            for row in rows:
                out.writerow(row)
                count += 1
        part.replace(path)
    finally:
        part.unlink(missing_ok=True)
    return count


def of_day(day: Day) -> Iterator[Row]:
    """What a day would send, as a trace; its work is drawn anew when it is replayed."""
    names = Names.of(day)
    for a in Arrivals(day):
        yield Row(a.at_us, names.classes[a.cls], names.tenants[a.tenant], a.key, names.zones[a.zone])


# --- Reading ----------------------------------------------------------------------------------------------
def _rows(path: Path | str, step: Callable[[int], None] | None) -> Iterator[tuple[int, Row]]:
    with Path(path).open(encoding="utf-8-sig", errors="surrogateescape", newline="") as file:
        reader = csv.reader(_counted(file, step), strict=True)
        try:
            _check_heading(path, next(reader, []))
            last = 0
            for fields in reader:
                row = _row(path, reader.line_num, fields, last)
                last = row.at_us
                yield reader.line_num, row
        except csv.Error as e:
            raise TraceError(path, reader.line_num, f"found {e}, allowed: comma-separated values") from None


def _counted(file: TextIO, step: Callable[[int], None] | None) -> Iterator[str]:
    size = 0
    for number, line in enumerate(file):
        yield line
        size += len(line)
        if step is not None and number % _STEP == 0:
            step(size)
            size = 0


def _check_heading(path: Path | str, found: Sequence[str]) -> None:
    for k, name in enumerate(found):
        if name not in COLUMNS:
            raise TraceError(path, 1, f"column {k + 1}: {_unknown('name', COLUMNS, name)}")
    if tuple(found) != COLUMNS:
        raise TraceError(path, 1, f"heading: found {','.join(found)!r}, allowed: {','.join(COLUMNS)}")


def _row(path: Path | str, line: int, fields: Sequence[str], last: int) -> Row:
    if len(fields) != len(COLUMNS):
        raise TraceError(path, line, f"found {len(fields)} columns, allowed: {len(COLUMNS)}")
    at, cls, tenant, key, zone = fields
    for name, text in (("class", cls), ("tenant", tenant), ("zone", zone)):
        if not text or text != text.strip() or not text.isprintable():
            raise TraceError(path, line, f"column {name}: found {text[:40]!r}, allowed: a name")
    at_us = _whole(path, line, "at_us", at)
    if at_us < last:
        raise TraceError(
            path, line, f"column at_us: found {at_us}, allowed: {last} (the line before) or more"
        )
    return Row(at_us, cls, tenant, _whole(path, line, "key", key), zone)


def _whole(path: Path | str, line: int, column: str, text: str) -> int:
    if text.isascii() and text.isdigit() and len(text) <= len(str(MOST)):
        return int(text)
    allowed = f"a whole number, 0 to {MOST}"
    raise TraceError(path, line, f"column {column}: found {text[:40]!r}, allowed: {allowed}")


def _unknown(column: str, known: Sequence[str], found: str) -> str:
    near = get_close_matches(found, known, 1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"{column}: found {found[:40]!r}, allowed: {', '.join(known)}{hint}"


# --- The summary ------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Skew:
    """How unevenly the keys are asked for; parts are of the tries that have a key."""

    tries: int
    distinct: int
    top_1: float
    top_10: float
    zipf: float  # the exponent that fits best; a sample of few tries a key shows more than its source has


@dataclass(frozen=True, slots=True)
class Summary:
    """What a trace is like. Rates are first tries a second, over whole seconds from its first try on."""

    tries: int
    begin_us: int
    end_us: int
    mean: float
    median: float
    peak: int
    dispersion: float  # variance over mean of the seconds' counts; 1: as if by chance at an even rate
    seconds: tuple[tuple[int, int], ...]  # (second, tries) for those that have any
    classes: dict[str, float]
    tenants: dict[str, float]
    zones: dict[str, float]
    keys: Skew

    def plain(self) -> dict[str, Any]:
        """The same as plain dicts and lists, for JSON."""
        return asdict(self)


def summarise(rows: Iterable[Row]) -> Summary:
    """Read a trace once; holds counts by second, name and key, not the tries."""
    by_second, by_key = Counter[int](), Counter[int]()
    classes, tenants, zones = Counter[str](), Counter[str](), Counter[str]()
    begin = end = -1
    for at, cls, tenant, key, zone in rows:
        begin, end = (at if begin < 0 else begin), at
        by_second[(at - begin) // 1_000_000] += 1
        classes[cls] += 1
        tenants[tenant] += 1
        zones[zone] += 1
        by_key[key] += 1
    tries = by_second.total()
    mean, median, dispersion = _spread(by_second, (max(end - begin, 0)) // 1_000_000 + 1)
    return Summary(
        tries, max(begin, 0), max(end, 0), mean, median, max(by_second.values(), default=0), dispersion,
        tuple(sorted(by_second.items())), _parts(classes), _parts(tenants), _parts(zones), _skew(by_key),
    )  # fmt: skip


def _spread(counts: Counter[int], seconds: int) -> tuple[float, float, float]:
    """Mean, median, and variance over mean of the counts of so many seconds, most of which may be empty."""
    mean = counts.total() / seconds
    squares = sum(n * n for n in counts.values()) / seconds
    ranked, empty = sorted(counts.values()), seconds - len(counts)

    def at(place: int) -> int:
        return ranked[place - empty] if place >= empty else 0

    median = (at((seconds - 1) // 2) + at(seconds // 2)) / 2 if ranked else 0.0
    return mean, median, (squares - mean * mean) / mean if mean else 0.0


def _parts(counts: Counter[str]) -> dict[str, float]:
    return {name: n / counts.total() for name, n in counts.most_common()}


def _skew(counts: Counter[int]) -> Skew:
    del counts[0]
    ranked, tries = sorted(counts.values(), reverse=True), counts.total()
    if not tries:
        return Skew(0, 0, 0.0, 0.0, 0.0)
    return Skew(tries, len(ranked), ranked[0] / tries, sum(ranked[:10]) / tries, zipf_exponent(ranked))


def zipf_exponent(ranked: Sequence[int]) -> float:
    """The exponent s, 0 to 5, of the truncated Zipf law under which the counts by rank are likeliest.

    It is where the expected log of the rank equals the mean one, the score equation of an exponential family.
    """
    ranked = ranked[:FITTED]
    logs = [math.log(k) for k in range(1, len(ranked) + 1)]
    seen = sum(n * x for n, x in zip(ranked, logs, strict=True)) / sum(ranked)
    low, high = 0.0, 5.0
    for _ in range(30):
        s = (low + high) / 2
        weights = [math.exp(-s * x) for x in logs]
        expected = sum(w * x for w, x in zip(weights, logs, strict=True)) / sum(weights)
        low, high = (s, high) if expected > seen else (low, s)
    return (low + high) / 2
