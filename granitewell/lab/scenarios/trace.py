"""A trace: recorded arrivals in a CSV file, with the lines that are wrong named.

It owns the file's form: a header `at_s,class,tenant,key,zone` and one line for each first try, with rising
times in seconds since the day began, names as in the scenario, and a key as a whole number (0: none). It must
never decide what the arrivals mean.
"""

from __future__ import annotations

import csv
from collections.abc import Mapping
from pathlib import Path

from granitewell.lab.scenarios.types import ScenarioTable

Row = tuple[int, int, int, int, int]  # at_us, class, tenant, key, zone
HEADER = ["at_s", "class", "tenant", "key", "zone"]
MAX_KEY = 2**63


class TraceFileError(Exception):
    """The trace can't be used; the text names the line, what was found and what is allowed."""


def read_trace(path: Path, table: ScenarioTable) -> tuple[Row, ...]:
    """Return all rows of the file.

    Raises:
        TraceFileError: A line is malformed (the first one is named), or there is no such file.
    """
    names: list[Mapping[str, int]] = [
        {c.name: k for k, c in enumerate(table.classes)},
        {t.name: k for k, t in enumerate(table.tenants)},
        {z: k for k, z in enumerate(table.zones)},
    ]
    rows: list[Row] = []
    try:
        with path.open(newline="", encoding="utf-8") as file:
            reader = csv.reader(file)
            if next(reader, None) != HEADER:
                raise TraceFileError(f"{path.name}: line 1: allowed: the header {','.join(HEADER)}")
            for line in reader:
                rows.append(_row(f"{path.name}: line {reader.line_num}", line, names, rows))
    except (OSError, UnicodeDecodeError, csv.Error) as error:
        raise TraceFileError(f"{path.name}: {' '.join(str(error).split())}") from None
    if not rows:
        raise TraceFileError(f"{path.name}: no arrivals; allowed: one line or more after the header")
    return tuple(rows)


def _row(where: str, line: list[str], names: list[Mapping[str, int]], before: list[Row]) -> Row:
    if len(line) != len(HEADER):
        raise TraceFileError(f"{where}: found {len(line)} fields; allowed: {len(HEADER)}")
    at_us = round(1e6 * _number(where, "at_s", line[0], 86_400))
    if before and at_us < before[-1][0]:
        raise TraceFileError(f"{where}: at_s: found {line[0]}; allowed: no earlier than the line before")
    key = _number(where, "key", line[3], MAX_KEY)
    if key != int(key):
        raise TraceFileError(f"{where}: key: found {line[3]}; allowed: a whole number")
    cls, tenant, zone = (
        _name(where, field, line[column], known)
        for field, column, known in (("class", 1, names[0]), ("tenant", 2, names[1]), ("zone", 4, names[2]))
    )
    return at_us, cls, tenant, int(line[3]) if line[3].isdigit() else int(key), zone


def _number(where: str, field: str, text: str, most: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 <= value <= most:
        raise TraceFileError(f"{where}: {field}: found {text!r}; allowed: a number of 0 to {most:g}")
    return value


def _name(where: str, field: str, text: str, known: Mapping[str, int]) -> int:
    if text not in known:
        raise TraceFileError(f"{where}: {field}: found {text!r}; allowed: {', '.join(known)}")
    return known[text]
