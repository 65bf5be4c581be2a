"""Arrivals of requests: their times, classes, tenants, zones, keys and work.

The load is an open loop: no arrival depends on a response. Each property has its own random stream, so a day
with one more tenant otherwise has the same arrivals. Arrivals are drawn lazily, so memory holds only the
day's parameters and the key table.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_right
from collections.abc import Iterator, Sequence
from itertools import accumulate, pairwise
from typing import NamedTuple

from granitewell.lab.day import Day, LoadDay
from granitewell.lab.emulator.work import draw_work
from granitewell.lab.engine import lognormal, stream

_MEAN_TURN = (
    math.sqrt(5.0) - 1.0
) / 2.0  # multiples of it modulo 1 are evenly spread, however many there are


class Arrival(NamedTuple):
    """One new request; class, tenant and zone are indices into the day's, key 0: none."""

    at_us: int
    cls: int
    tenant: int
    key: int
    zone: int
    work_us: float


class Keys:
    """Keys by Zipf's law.

    The k-th most popular key is drawn with a weight of k to the power -key_zipf, exactly, by bisection of
    the cumulative weights. Where keys churn, the key of each popularity is replaced every `key_churn_us`,
    each at a time of its own; no key comes back.
    """

    def __init__(self, load: LoadDay) -> None:
        weights = (k**-load.key_zipf for k in range(1, load.keys + 1))
        self._table = array("d", accumulate(weights))
        self._count, self._churn_us = load.keys, load.key_churn_us

    def pick(self, now_us: int, uniform: float) -> int:
        """The key for a uniform draw in [0, 1) at that time; 0 if the day has no keys."""
        if not self._count:
            return 0
        rank = min(bisect_right(self._table, uniform * self._table[-1]), self._count - 1)
        if not self._churn_us:
            return rank + 1
        shift = int(rank * _MEAN_TURN % 1.0 * self._churn_us)
        return rank + 1 + self._count * ((now_us + shift) // self._churn_us)


def pieces(day: Day) -> Iterator[tuple[float, float, float, float]]:
    """Return the day's rate as linear pieces, rising in time without a gap.

    Each piece is (from_us, until_us, rate at the start, rate at the end), in attempts a microsecond. Before
    its first point the rate is that point's, after its last the last's. A burst factor of mean 1 multiplies
    whole bursts.

    Raises:
        ValueError: Points are out of order, or a rate is below 0.
    """
    points = _points(day.load.rate, day.length_us)
    burst_us = day.load.burst_us if day.load.burst_cv > 0.0 else 0
    rng = stream(day.seed, "arrivals", "burst")
    factor, burst_end = 1.0, 0
    for (begin, low), (end, high) in pairwise(points):
        at = begin
        while at < end:
            if burst_us and at >= burst_end:
                factor, burst_end = lognormal(rng, 1.0, day.load.burst_cv), burst_end + burst_us
            until = min(end, burst_end) if burst_us else end
            slope = (high - low) / (end - begin)
            first, last = low + slope * (at - begin), low + slope * (until - begin)
            yield at, until, factor * first / 1e6, factor * last / 1e6
            at = until


def _points(rate: Sequence[tuple[int, float]], length_us: int) -> list[tuple[int, float]]:
    """The points between 0 and the day's end, with one at each end."""
    for k, (at, per_s) in enumerate(rate):
        if k and at <= rate[k - 1][0]:
            raise ValueError(f"load.rate, point {k}: found time {at}, allowed: over {rate[k - 1][0]}")
        if not 0.0 <= per_s < math.inf:
            raise ValueError(f"load.rate, point {k}: found {per_s} a second, allowed: 0 or more")
    if not rate:
        return []
    inner = [p for p in rate if 0 < p[0] < length_us]
    return [(0, _at(rate, 0)), *inner, (length_us, _at(rate, length_us))]


def _at(rate: Sequence[tuple[int, float]], at_us: int) -> float:
    """The rate at a time."""
    for (begin, low), (end, high) in pairwise(rate):
        if begin <= at_us <= end:
            return low + (high - low) * (at_us - begin) / (end - begin)
    return rate[0][1] if at_us < rate[0][0] else rate[-1][1]


def times(day: Day) -> Iterator[int]:
    """Times of a Poisson process with the day's rate, by inversion of its integral: exact, one draw each.

    Of each unit exponential, what the present piece has left is used up before the next begins; within a
    piece the time x at which its integral is e solves low x + slope x^2 / 2 = e.
    """
    rng = stream(day.seed, "arrivals", "times").random
    log, sqrt = math.log, math.sqrt
    need = -log(1.0 - rng())
    for begin, end, low, high in pieces(day):
        slope = (high - low) / (end - begin)
        used, whole = 0.0, (low + high) / 2.0 * (end - begin)
        while used + need < whole:
            used += need
            root = sqrt(max(0.0, low * low + 2.0 * slope * used))
            yield int(min(begin + 2.0 * used / (low + root), end - 1.0))
            need = -log(1.0 - rng())
        need -= whole - used


def _chances(shares: Sequence[float]) -> list[float]:
    """Cumulative shares, scaled to end at 1; none, or all 0: one choice."""
    total = sum(shares)
    return [x / total for x in accumulate(shares)][:-1] if total > 0.0 else []


def _drawn(day: Day) -> Iterator[Arrival]:
    load, classes = day.load, day.classes
    mix = stream(day.seed, "arrivals", "mix").random
    tenant_of = stream(day.seed, "arrivals", "tenants").random
    zone_of = stream(day.seed, "arrivals", "zones").random
    key_of = stream(day.seed, "arrivals", "keys").random
    works = [stream(day.seed, "arrivals", "work", c.name) for c in classes]
    by_class = _chances([c.share for c in classes])
    by_tenant = _chances([t.traffic for t in day.tenants])
    by_zone = _chances(load.zone_share)
    keys = Keys(load)
    for at in times(day):
        cls = bisect_right(by_class, mix())
        tenant, zone = bisect_right(by_tenant, tenant_of()), bisect_right(by_zone, zone_of())
        yield Arrival(at, cls, tenant, keys.pick(at, key_of()), zone, draw_work(classes[cls], works[cls]))


def _replayed(day: Day) -> Iterator[Arrival]:
    """The captured requests up to the day's end; only their work is drawn."""
    works = [stream(day.seed, "arrivals", "work", c.name) for c in day.classes]
    limits = len(day.classes), max(1, len(day.tenants)), math.inf, max(1, len(day.zones))
    last = 0
    for k, (at, *what) in enumerate(day.load.trace):
        if at < last:
            raise ValueError(f"load.trace, try {k}: found at_us {at}, allowed: {last} or more")
        for name, value, limit in zip(("class", "tenant", "key", "zone"), what, limits, strict=True):
            if not 0 <= value < limit:
                raise ValueError(f"load.trace, try {k}: found {name} {value}, allowed: 0 to {limit - 1}")
        if at >= day.length_us:
            return
        cls, tenant, key, zone = what
        yield Arrival(at, cls, tenant, key, zone, draw_work(day.classes[cls], works[cls]))
        last = at


class Arrivals:
    """The requests of a day in order of time, drawn lazily."""

    def __init__(self, day: Day) -> None:
        self._next = (_replayed(day) if day.load.trace else _drawn(day)).__next__

    def __iter__(self) -> Iterator[Arrival]:
        return self

    def __next__(self) -> Arrival:
        return self._next()
