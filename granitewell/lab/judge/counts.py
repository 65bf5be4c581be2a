"""Checks the usage counts that nodes report against what clients sent and received. Times are microseconds.

A client attempt that got a response was taken by its node at some moment between sending and response; one
that did not may have been taken at any moment since it was sent, or never. So the true sum of a window is
only known between two bounds: `minimum` counts attempts that were taken inside the window whatever the
moment, `maximum` all that may have been. A reading [low, high] is wrong if high < minimum or low > maximum.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from statistics import median

NEVER = 1 << 62
MAX_ATTEMPT_US = 60_000_000  # from sending to response; a longer attempt counts as unanswered
MAX_TEXTS = 20


@dataclass(frozen=True, slots=True)
class CountReading:
    """A count as a node reported it, and when it was asked; key "" is the total."""

    at_us: int
    node: str
    key: str
    low: int
    high: int


@dataclass(slots=True)
class CountsReport:
    """The result of the check.

    Attributes:
        figures: Readings checked.
        broken: Readings that cannot be true; `texts` describes the first of them.
        widths: Median relative width of the readings of the total, by second of the day.
    """

    figures: int = 0
    broken: int = 0
    texts: list[str] = field(default_factory=list)
    widths: dict[int, float] = field(default_factory=dict)
    slack: dict[str, float] = field(
        default_factory=dict
    )  # medians: high above the minimum, low below the maximum

    @property
    def kept(self) -> bool:
        """Whether all readings can be true."""
        return not self.broken


class CountsJudge:
    """Collects a whole day's observations, in any order."""

    def __init__(self, window_us: int) -> None:
        self._window_us = window_us
        self._asked: dict[str, tuple[int, str]] = {}
        self._answered: dict[str, int] = {}
        self._readings: list[CountReading] = []

    def asked(self, at_us: int, rid: str, key: str) -> None:
        """A client sent an attempt."""
        self._asked[rid] = at_us, key

    def answered(self, at_us: int, rid: str) -> None:
        """The client received a response, whatever its status."""
        self._answered.setdefault(rid, at_us)

    def add_reading(self, reading: CountReading) -> None:
        """Add a count that a node reported."""
        self._readings.append(reading)

    def report(self) -> CountsReport:
        """Check all readings against all client attempts."""
        report = CountsReport()
        tries: dict[str, list[tuple[int, int]]] = {"": []}  # by key: when sent, when answered
        for rid, (at, key) in self._asked.items():
            ended = self._answered.get(rid, NEVER)
            one = at, ended if ended - at <= MAX_ATTEMPT_US else NEVER
            tries[""].append(one)
            tries.setdefault(key, []).append(one)
        for of_key in tries.values():
            of_key.sort()
        lost = {key: sorted(a for a, e in x if e == NEVER) for key, x in tries.items()}
        widths: dict[int, list[float]] = {}
        spread: dict[str, list[float]] = {"high_over_sure": [], "low_under_may": []}
        for reading in self._readings:
            minimum, maximum = self._bounds(reading, tries.get(reading.key, []), lost.get(reading.key, []))
            report.figures += 1
            if reading.high < minimum or reading.low > maximum:
                report.broken += 1
                if len(report.texts) < MAX_TEXTS:
                    was = f"{reading.key or 'all'} was {minimum} to {maximum}"
                    when = f"{reading.at_us / 1e6:.2f} s {reading.node}"
                    report.texts.append(f"{when}: {was}, told {reading.low} to {reading.high}")
            middle = (reading.low + reading.high) / 2
            if not reading.key and middle:
                widths.setdefault(reading.at_us // 1_000_000, []).append(
                    (reading.high - reading.low) / middle
                )
            spread["high_over_sure"].append(reading.high - minimum)
            spread["low_under_may"].append(maximum - reading.low)
        report.widths = {second: round(median(x), 4) for second, x in sorted(widths.items())}
        report.slack = {name: median(x) for name, x in spread.items() if x}
        return report

    def _bounds(
        self, reading: CountReading, tries: list[tuple[int, int]], lost: list[int]
    ) -> tuple[int, int]:
        """Bounds of the true sum in the window that ends when the count was reported."""
        start, end = reading.at_us - self._window_us, reading.at_us
        first = bisect_left(tries, (start - MAX_ATTEMPT_US, 0))
        last = bisect_right(tries, (end, NEVER))
        minimum = maximum = 0
        for asked_us, answered_us in tries[first:last]:
            if answered_us == NEVER:
                continue
            minimum += asked_us >= start and answered_us <= end
            maximum += answered_us >= start
        return minimum, maximum + bisect_right(lost, end)
