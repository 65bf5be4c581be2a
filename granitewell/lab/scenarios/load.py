"""The load of a drawn day: the shapes of its rate, and what surges make of it.

It owns rates as points (time in us, first tries a second; linear between, rising times) and recorded arrivals
as rows. It must never know a scenario file: figures come in drawn. What a rate can't say (one key or one
co-operative that sends more) is said by drawing the arrivals ahead, as `model.arrivals` would, and changing
the rows.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from random import Random

from granitewell.lab.day import Day
from granitewell.lab.emulator.arrivals import Arrivals

Points = tuple[tuple[int, float], ...]
Row = tuple[int, int, int, int, int]  # at_us, class, tenant, key, zone

WAVE_POINTS = 24  # a wave of straight lines is nowhere off by 1% of its swing
RAMP_POINTS = 4  # a product of two slopes is a curve, drawn by so many lines
# A match night, in parts of the day: on the way there, the match, the final whistle, the night. A height of 1
# is the peak, 0 the usual rate.
MATCH = ((0.0, 0.0), (0.15, 0.0), (0.3, 0.6), (0.38, 0.6), (0.42, -0.5), (0.65, -0.5), (0.7, 1.0),
         (0.82, 1.0), (0.92, 0.2), (1.0, 0.0))  # fmt: skip


def steady(rate: float) -> Points:
    """The same all day."""
    return ((0, rate),)


def wave(rate: float, length_us: int, swing: float, period_us: int) -> Points:
    """A sine that begins at the mean rate and goes up first."""
    step = max(period_us // WAVE_POINTS, 1)
    times = [*range(0, length_us, step), length_us]
    return tuple((t, rate * (1.0 + swing * math.sin(math.tau * t / period_us))) for t in times)


def match_night(rate: float, length_us: int, peak: float) -> Points:
    """Up on the way to the stadium, half as much as usual during the match, and the peak when it is over."""
    return tuple((int(x * length_us), rate * (1.0 + y * (peak - 1.0 if y > 0 else 1.0))) for x, y in MATCH)


def steps(rate: float, pairs: Sequence[tuple[float, float]]) -> Points:
    """The rate times each factor from its second on; before the first, the rate itself."""
    points = [(0, rate)] if not pairs or pairs[0][0] > 0 else []
    for at_s, factor in pairs:
        at = round(1e6 * at_s)
        if points and at - 1 > points[-1][0]:
            points.append((at - 1, points[-1][1]))
        points.append((at, rate * factor))
    return tuple(points)


def value(points: Points, at_us: int) -> float:
    """The rate at a time; beyond its ends it stays as there."""
    for (begin, low), (end, high) in pairwise(points):
        if begin <= at_us <= end:
            return low + (high - low) * (at_us - begin) / (end - begin)
    return points[0][1] if at_us < points[0][0] else points[-1][1]


@dataclass(frozen=True, slots=True)
class Swell:
    """A factor on the load from a time on, rising over ramp_us and falling as slowly after until_us (-1.

    It stays).

    Attributes:
        tenant: Of whom alone; -1: of all.
    """

    at_us: int
    until_us: int
    ramp_us: int
    factor: float
    tenant: int = -1

    def at(self, now_us: int) -> float:
        """The factor at a time."""
        ramp = max(self.ramp_us, 1)
        up = min(max((now_us - self.at_us) / ramp, 0.0), 1.0)
        down = min(max((now_us - self.until_us) / ramp, 0.0), 1.0) if self.until_us >= 0 else 0.0
        return 1.0 + (self.factor - 1.0) * min(up, 1.0 - down)

    def marks(self) -> list[int]:
        """The times between which it is nearly a straight line."""
        begins = [self.at_us] if self.until_us < 0 else [self.at_us, self.until_us]
        return [b + max(self.ramp_us, 1) * k // RAMP_POINTS for b in begins for k in range(RAMP_POINTS + 1)]


@dataclass(frozen=True, slots=True)
class Hot:
    """One key takes a part of the requests for a span (until_us -1: to the end)."""

    at_us: int
    until_us: int
    key: int
    share: float


def swollen(points: Points, swells: Iterable[Swell], length_us: int) -> Points:
    """The rate under all these factors."""
    swells = tuple(swells)
    times = {t for t, _ in points} | {0, length_us}
    times |= {t for s in swells for t in s.marks() if 0 < t < length_us}
    return tuple((t, value(points, t) * math.prod(s.at(t) for s in swells)) for t in sorted(times))


def arrivals(day: Day) -> tuple[Row, ...]:
    """The first tries that the day's load gives, as rows."""
    return tuple((a.at_us, a.cls, a.tenant, a.key, a.zone) for a in Arrivals(day))


def resampled(rows: Iterable[Row], swell: Swell, rng: Random) -> tuple[Row, ...]:
    """Rows under a factor: thinned, or with copies up to 0.1 s earlier or later that have other keys."""
    out: list[Row] = []
    rows = tuple(rows)
    for row in rows:
        factor = swell.at(row[0]) if swell.tenant in (-1, row[2]) else 1.0
        copies = int(factor) + (rng.random() < factor - int(factor))
        out += [row] if copies else []
        for _ in range(copies - 1):
            like = rows[int(rng.random() * len(rows))]
            at = max(0, row[0] + int((rng.random() - 0.5) * 200_000))
            out.append((at, row[1], row[2], like[3], row[4]))
    return tuple(sorted(out))


def heated(rows: Iterable[Row], hot: Hot, rng: Random) -> tuple[Row, ...]:
    """Rows of which a part has the hot key for a while. One draw a row: other spans change nothing else."""
    end = hot.until_us if hot.until_us >= 0 else math.inf
    return tuple(
        (at, cls, tenant, hot.key if rng.random() < hot.share and hot.at_us <= at < end else key, zone)
        for at, cls, tenant, key, zone in rows
    )
