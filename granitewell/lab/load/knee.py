"""From which rate a target breaks away, and which rate a sweep tries next.

It owns the rule of the knee. It must never use a void figure for it: where the tool itself was the limit, no
knee is reported beyond the last rate that stands.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

P99_FACTOR = 3.0
P99_FLOOR_US = 1000  # what p99 must have grown by at least: microseconds of noise are no knee
SERVED_DROP = 0.01
MIN_SERVED = 0.9  # a base that serves less has no knee above it
CLIMB = 1.5
NEAR = 1.05

RULE = (
    f"the knee is the lowest rate from which on every rate has a p99 over {P99_FACTOR:g} times that of the "
    f"lowest rate and {P99_FLOOR_US / 1000:g} ms above it, or serves a part of the requests that is lower by "
    f"over {SERVED_DROP:g}; void figures are left out; of a rate played twice, the better play counts"
)


@dataclass(frozen=True, slots=True)
class Point:
    """One play of one rate: part of the requests that were served, p99 from due time in microseconds."""

    rate: float
    served: float
    p99_us: int | None
    void: bool = False


@dataclass(frozen=True, slots=True)
class Knee:
    """good_to: the highest rate below the knee.

    Breaks_from: the lowest at or above it, None where no rate broke away; why: what broke there, or why no
    knee can be told.
    """

    good_to: float | None
    breaks_from: float | None
    why: str


def breaks(base: Point, point: Point) -> str:
    """How this rate breaks away from the base, or nothing."""
    if point.served < base.served - SERVED_DROP:
        return f"{point.served:.1%} served, {base.served:.1%} at {base.rate:g}/s"
    p99, calm = point.p99_us or 0, base.p99_us or 0
    if p99 > P99_FACTOR * calm and p99 > calm + P99_FLOOR_US:
        return f"p99 {p99 / 1000:.3f} ms, {calm / 1000:.3f} ms at {base.rate:g}/s"
    return ""


def find(points: Sequence[Point]) -> Knee:
    """The knee by `RULE`."""
    valid = sorted((p for p in points if not p.void), key=lambda p: p.rate)
    if not valid:
        return Knee(None, None, "every figure is void")
    base = valid[0]
    if base.served < MIN_SERVED:
        return Knee(None, None, f"already at {base.rate:g}/s only {base.served:.1%} are served")
    good, from_rate, why = base.rate, None, "no rate broke away"
    for rate in sorted({p.rate for p in valid}, reverse=True):
        ways = [breaks(base, p) for p in valid if p.rate == rate]
        if not all(ways):
            good = rate
            break
        from_rate, why = rate, ways[-1]
    return Knee(good, from_rate, why)


class Sweep:
    """Climbs from the first rate by half as much again until a rate breaks or is void, or the last stands.

    Then halves the span between the highest that stands and the lowest that breaks, until they are within 5%.
    A rate that breaks or is void is played once more, since a moment's noise must not end the climb.
    """

    def __init__(self, first: float, last: float) -> None:
        self.points: list[Point] = []
        self._last = last
        self._low: float | None = None
        self._high: float | None = None
        self.rate: float | None = first  # to be played next; None at the end

    @property
    def most_plays(self) -> int:
        """No sweep takes more."""
        first = self.points[0].rate if self.points else self.rate or self._last
        climb = math.ceil(math.log(self._last / first, CLIMB)) + 1
        return 2 * (climb + math.ceil(math.log2(math.log(CLIMB, NEAR))) + 1)

    def add(self, point: Point) -> None:
        """The play of `rate` is over."""
        self.points.append(point)
        plays = [p for p in self.points if p.rate == point.rate]
        standing = [p for p in self.points if not p.void]
        bad = [p.void or bool(breaks(standing[0], p)) for p in plays]
        if all(bad) and len(plays) < 2:
            return
        if not all(bad):
            self._low = point.rate
        elif any(p.void for p in plays):
            self.rate = None
            return
        else:
            self._high = point.rate
        self.rate = self._next()

    def _next(self) -> float | None:
        if self._low is None:
            return None
        if self._high is None:
            return None if self._low >= self._last else round(min(self._low * CLIMB, self._last), 1)
        return round(math.sqrt(self._low * self._high), 1) if self._high > self._low * NEAR else None
