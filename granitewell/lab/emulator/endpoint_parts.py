"""Small independent parts of one process: remembered keys, the load report, and budgets.

They touch no requests or connections, and their cost does not grow with remembered keys or open connections.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from random import Random

from granitewell.lab.day import ClassDay, KindDay, ReportDay, RulesDay
from granitewell.lab.engine import normal

OVERLOAD_TOLERANCE_STDDEVS = 3.0  # tolerance on top of the budget, for a Poisson stream of mean requests
_RATE_SMOOTHING_US = 1_000_000  # over which rates in reports are smoothed


class KeyCache:
    """The keys used last by a process: at most `memory_keys`, each for `memory_us`."""

    __slots__ = ("_keys", "_last_used", "_valid_us", "gain")

    def __init__(self, kind: KindDay) -> None:
        self._last_used: OrderedDict[int, int] = OrderedDict()
        self._keys, self._valid_us = kind.memory_keys, kind.memory_us
        self.gain = kind.memory_gain if kind.memory_keys > 0 else 0.0

    def knows(self, now_us: int, key: int) -> bool:
        """Whether a request for the key would need less work now."""
        last_used = self._last_used.get(key)
        return last_used is not None and now_us - last_used <= self._valid_us

    def touch(self, now_us: int, key: int) -> bool:
        """Remember the key as its work begins; returns whether it was known.

        The least recently used key is evicted if there are too many.
        """
        known = self.knows(now_us, key)
        self._last_used[key] = now_us
        self._last_used.move_to_end(key)
        if len(self._last_used) > self._keys:
            self._last_used.popitem(last=False)
        return known


class LoadReports:
    """The load report: sampled each `period_us` from a time of the process's own, seen `delay_us` later.

    `inflight` counts what waits, runs or hangs, `queue` what waits, `util` the share of the cores that was
    busy over the last period, `latency_ms` the mean time from begin of work to answer in the last period
    that had any, `qps` and `eps` answers and errors a second, smoothed over about a second. Noise is a
    factor of 1 + noise x normal on each figure. Samples are taken when the process is next looked at, from
    counts that have not changed since the sample's time: no wake-up is needed for them.
    """

    __slots__ = (
        "_busy",
        "_cores",
        "_eps",
        "_failed",
        "_last",
        "_latency",
        "_next",
        "_pending",
        "_qps",
        "_report",
        "_rng",
        "_served",
        "_spent",
        "_visible",
        "on",
    )

    def __init__(self, report: ReportDay, cores: int, rng: Random, start_us: int) -> None:
        self.on = bool(report.fields)
        self._report, self._cores, self._rng = report, cores, rng
        self._last = start_us
        self._next = start_us + int(rng.random() * report.period_us) + 1
        self._busy = self._qps = self._eps = self._latency = 0.0
        self._served = self._failed = self._spent = 0
        self._pending: deque[tuple[int, tuple[float, ...]]] = deque()
        self._visible: tuple[float, ...] | None = None

    def count(self, failed: bool, spent_us: int) -> None:
        """Count one request that was answered after its work."""
        self._failed += failed
        self._served += not failed
        self._spent += spent_us

    def advance(self, now_us: int, inflight: int, waiting: int, busy: int) -> None:
        """Advance time with these counts unchanged; `busy` cores were busy."""
        while self._next <= now_us:
            self._busy += busy * (self._next - self._last)
            self._last = self._next
            self._sample(inflight, waiting)
            self._next += self._report.period_us
            self._skip_samples(now_us)
        self._busy += busy * (now_us - self._last)
        self._last = now_us

    def _skip_samples(self, now_us: int) -> None:
        """Skip samples after a long idle time; only the latest ones are needed."""
        period = self._report.period_us
        spare = (now_us - self._next) // period - self._report.delay_us // period - 2
        if spare > 0:
            self._next += spare * period
            keep = max(0.0, 1.0 - period / _RATE_SMOOTHING_US) ** spare
            self._qps *= keep
            self._eps *= keep
            self._busy = 0.0
            self._last = self._next - period

    def _sample(self, inflight: int, waiting: int) -> None:
        period = self._report.period_us
        part = min(1.0, period / _RATE_SMOOTHING_US)
        answers = self._served + self._failed
        self._qps += part * (self._served * 1e6 / period - self._qps)
        self._eps += part * (self._failed * 1e6 / period - self._eps)
        if answers:
            self._latency = self._spent / answers / 1000.0
        values = {
            "inflight": float(inflight),
            "queue": float(waiting),
            "latency_ms": self._latency,
            "util": min(1.0, self._busy / (self._cores * period)),
            "qps": self._qps,
            "eps": self._eps,
        }
        self._busy = 0.0
        self._served = self._failed = self._spent = 0
        noisy = tuple(self._noise(values[name]) for name in self._report.fields)
        self._pending.append((self._next + self._report.delay_us, noisy))

    def _noise(self, value: float) -> float:
        noise = self._report.noise
        return value * max(0.0, 1.0 + noise * normal(self._rng)) if noise > 0.0 else value

    def skip(self, now_us: int) -> None:
        """Advance time over a pause, in which no samples are taken."""
        behind = now_us - self._next
        if self.on and behind >= 0:
            self._next += (behind // self._report.period_us + 1) * self._report.period_us
        self._last = now_us

    def visible(self, now_us: int, lying: bool) -> tuple[float, ...] | None:
        """The report that an answer written now carries; a lying one shows an empty queue."""
        pending = self._pending
        while pending and pending[0][0] <= now_us:
            self._visible = pending.popleft()[1]
        if not lying or self._visible is None:
            return self._visible
        fields = self._report.fields
        told = zip(fields, self._visible, strict=True)
        return tuple(0.0 if name in ("queue", "inflight") else value for name, value in told)


class OverloadGuard:
    """WIRE's fourth rule as a budget for a cold process.

    The work sent to a cold process within any `fall_us` must stay under fall_multiple x its present capacity
    x fall_us, with a slack for chance on top: that many standard deviations of a Poisson stream of mean
    requests, and one mean request of the heaviest class. Every request sent counts, also rejected ones,
    each with its class's mean, since nobody can know its draw.
    """

    __slots__ = ("_budget", "_classes", "_mean", "_slack", "_sum", "_window", "_window_us")

    def __init__(self, rules: RulesDay, classes: tuple[ClassDay, ...], capacity: float) -> None:
        self._classes, self._window_us = classes, rules.fall_us
        self._budget = rules.fall_multiple * capacity * rules.fall_us
        self._mean = sum(c.share * c.work_us for c in classes) / (sum(c.share for c in classes) or 1.0)
        self._slack = max((c.work_us for c in classes), default=0.0)
        self._window: deque[tuple[int, float]] = deque()
        self._sum = 0.0

    def over(self, now_us: int, cls: int, warm: float) -> bool:
        """Count a request that is sent now; True if that overloads the process."""
        work = self._classes[cls].work_us
        self._window.append((now_us, work))
        self._sum += work
        while self._window and self._window[0][0] <= now_us - self._window_us:
            self._sum -= self._window.popleft()[1]
        budget = self._budget * warm
        return self._sum > budget + OVERLOAD_TOLERANCE_STDDEVS * math.sqrt(budget * self._mean) + self._slack


class TokenBucket:
    """A token bucket that holds one second's tokens (at least one)."""

    __slots__ = ("_at", "_capacity", "_per_us", "_tokens")

    def __init__(self, per_s: float, start_us: int) -> None:
        self._per_us, self._at = per_s / 1e6, start_us
        self._capacity = self._tokens = max(1.0, per_s) if per_s > 0 else 0.0

    def take(self, now_us: int) -> bool:
        """Take a token if there is one; returns whether there was."""
        self._tokens = min(self._capacity, self._tokens + (now_us - self._at) * self._per_us)
        self._at = now_us
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
