"""The judge of counts: what clients asked and heard, held against what nodes say was used.

It owns what must hold of a figure. It must never ask a node, or believe it of what it took. Times are
microseconds of the day.

A try that was answered has been taken by its node at some moment between its asking and its answer; one that
was not may have been taken at any moment since it was asked, or never. So the true sum of a window is itself
known between two bounds: `sure` counts tries that were taken inside it whatever the moment, `may` all that
can have been. A figure [low, high] is wrong if high < sure or low > may.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from statistics import median

NEVER = 1 << 62
LONGEST_US = 60_000_000  # from asking to answer; a try that took longer counts as unanswered
MAX_TEXTS = 20


@dataclass(frozen=True, slots=True)
class Told:
    """A figure as a node has told it, when it was asked; key "" for all."""

    at_us: int
    node: str
    key: str
    low: int
    high: int


@dataclass(slots=True)
class CountsReport:
    """What came of it.

    Attributes:
        figures: Looked at.
        broken: That did not hold the truth, the first in words.
        widths: Of all figures of all keys together, relative, by second of the day: the median.
    """

    figures: int = 0
    broken: int = 0
    texts: list[str] = field(default_factory=list)
    widths: dict[int, float] = field(default_factory=dict)
    slack: dict[str, float] = field(default_factory=dict)  # medians: high above sure, low below may

    @property
    def kept(self) -> bool:
        """Whether all did."""
        return not self.broken


class CountsJudge:
    """Fed with a whole day, in any order."""

    def __init__(self, window_us: int) -> None:
        self._window_us = window_us
        self._asked: dict[str, tuple[int, str]] = {}
        self._answered: dict[str, int] = {}
        self._told: list[Told] = []

    def asked(self, at_us: int, rid: str, key: str) -> None:
        """A client has sent a try."""
        self._asked[rid] = at_us, key

    def answered(self, at_us: int, rid: str) -> None:
        """It has heard the answer, whichever it was."""
        self._answered.setdefault(rid, at_us)

    def told(self, told: Told) -> None:
        """A node has told a figure."""
        self._told.append(told)

    def report(self) -> CountsReport:
        """All figures against all tries."""
        made = CountsReport()
        tries: dict[str, list[tuple[int, int]]] = {"": []}  # by key: when asked, when answered
        for rid, (at, key) in self._asked.items():
            ended = self._answered.get(rid, NEVER)
            one = at, ended if ended - at <= LONGEST_US else NEVER
            tries[""].append(one)
            tries.setdefault(key, []).append(one)
        for of_key in tries.values():
            of_key.sort()
        lost = {key: sorted(a for a, e in x if e == NEVER) for key, x in tries.items()}
        widths: dict[int, list[float]] = {}
        spread: dict[str, list[float]] = {"high_over_sure": [], "low_under_may": []}
        for told in self._told:
            sure, may = self._bounds(told, tries.get(told.key, []), lost.get(told.key, []))
            made.figures += 1
            if told.high < sure or told.low > may:
                made.broken += 1
                if len(made.texts) < MAX_TEXTS:
                    was = f"{told.key or 'all'} was {sure} to {may}"
                    when = f"{told.at_us / 1e6:.2f} s {told.node}"
                    made.texts.append(f"{when}: {was}, told {told.low} to {told.high}")
            middle = (told.low + told.high) / 2
            if not told.key and middle:
                widths.setdefault(told.at_us // 1_000_000, []).append((told.high - told.low) / middle)
            spread["high_over_sure"].append(told.high - sure)
            spread["low_under_may"].append(may - told.low)
        made.widths = {second: round(median(x), 4) for second, x in sorted(widths.items())}
        made.slack = {name: median(x) for name, x in spread.items() if x}
        return made

    def _bounds(self, told: Told, tries: list[tuple[int, int]], lost: list[int]) -> tuple[int, int]:
        """Between what the true sum lies, in the window that ends when the figure was told."""
        start, end = told.at_us - self._window_us, told.at_us
        first = bisect_left(tries, (start - LONGEST_US, 0))
        last = bisect_right(tries, (end, NEVER))
        sure = may = 0
        for asked_us, answered_us in tries[first:last]:
            if answered_us == NEVER:
                continue
            sure += asked_us >= start and answered_us <= end
            may += answered_us >= start
        return sure, may + bisect_right(lost, end)
