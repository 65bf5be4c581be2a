"""Where a day loses its worth, from the report of one or more plays.

    python -m tools.report_losses REPORT.json...

For each report: the parts of the score and what each loses, prices, kinds of request with what became of
them, worst windows, and the ends of tries. The reports are those of the bench's `run --report`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

WORST_WINDOWS = 5
MIN_PRICE = 0.0005
HEAD = f"{'':16}{'asked':>7}{'in aim':>8}{'late':>7}{'refused':>8}{'failed':>7}{'worth':>7}{'p99 ms':>9}"


def parts(report: Mapping[str, Any]) -> Iterator[str]:
    """Yield what each part of the score loses."""
    for name, weight, value in report["parts"]:
        yield f"{name:16} {value:.3f} x {weight:<5} loses {weight * (1.0 - value):.3f}"


def prices(report: Mapping[str, Any]) -> Iterator[str]:
    """Yield the prices, the highest first."""
    for name, amount, price in sorted(report["prices"], key=lambda row: -float(row[2])):
        if price >= MIN_PRICE:
            yield f"{price:.4f}  {name} ({amount:g})"


def rows(groups: Sequence[Mapping[str, Any]]) -> Iterator[str]:
    """Yield one line for each kind of request, zone or window."""
    for one in groups:
        counts = f"{one['n']:7}{one['in_aim']:8}{one['late']:7}{one['refused']:8}{one['failed']:7}"
        yield f"{one['name']:16}{counts}{one['worth']:7.3f}{one['p99_ms']:9.0f}"


def worst_windows(report: Mapping[str, Any]) -> list[Mapping[str, Any]]:
    """Return the windows of the lowest worth, in the order of time."""
    worst = sorted(report["windows"], key=lambda window: float(window["worth"]))[:WORST_WINDOWS]
    return sorted(worst, key=lambda window: float(window["name"]))


def ends(report: Mapping[str, Any]) -> Iterator[str]:
    """Yield how often requests that were not served ended in each way, with the last step of an example."""
    for end, count, steps in report["unserved_by"]:
        yield f"{count:6}  {end}: {steps[-1] if steps else ''}"


def lines(name: str, report: Mapping[str, Any]) -> Iterator[str]:
    """Yield all lines of one report."""
    yield f"== {name}: worth {report['G']:.3f}, served {report['served']:.3f}, failed {report['failed']:.3f}"
    yield from parts(report)
    yield "-- prices"
    yield from prices(report)
    yield f"-- kinds of request\n{HEAD}"
    yield from rows(report["classes"])
    yield f"-- worst windows, by the second at which they begin\n{HEAD}"
    yield from rows(worst_windows(report))
    yield "-- not served"
    yield from ends(report)


def main(paths: Sequence[str]) -> int:
    """Print the lines of each report."""
    for path in paths:
        print("\n".join(lines(Path(path).stem, json.loads(Path(path).read_text()))))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
