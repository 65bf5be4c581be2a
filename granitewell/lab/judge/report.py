"""The report of a day, as JSON and as text lines.

Its field names are the JSON keys. It computes nothing but ratios of what was counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from granitewell.lab.judge.histogram import Histogram
from granitewell.lab.judge.records import Violation
from granitewell.lab.judge.value_score import Deduction


@dataclass(frozen=True, slots=True)
class Report:
    """Report of one day. Counts are of client attempts unless noted; shares are fractions of 1."""

    day: str
    seed: int
    g: float  # the score (see value_score), regardless of violations
    parts: dict[str, float]  # whole, worst_window, worst_class, worst_tenant
    prices: dict[str, Deduction]
    broken: tuple[Violation, ...]  # the earliest, by time
    offences: dict[str, int]  # how many by rule
    requests: int  # first attempts
    tries: int
    attempts: int
    open: int  # client attempts still open when the observations ended
    unmatched: int  # observations without a matching start
    totals: dict[str, int]
    by_class: dict[str, dict[str, int]]
    by_tenant: dict[str, dict[str, int]]
    by_node: dict[str, dict[str, int]]
    worth_by_class: dict[str, float]  # earned over requested value
    worth_by_tenant: dict[str, float]  # within the tenant's allowance
    latency: dict[str, Histogram]  # by class
    series: tuple[dict[str, float], ...]  # per 250 ms: value requested and earned, client attempts by outcome
    waste: float  # share of all work done whose result reached no client
    dials: int
    crossings: int
    probes: int
    fell: int  # endpoints that ended from overload while cold
    fell_untold: int  # of these, overloaded by nodes not yet told of the start
    double_bookings: int  # unsafe requests that ran in two client attempts, or again as a new booking
    end_us: int  # time of the last observation

    @property
    def kept(self) -> bool:
        """Whether all rules were kept."""
        return not self.offences

    def per_request(self) -> dict[str, float]:
        """Average counts per request."""
        n = max(self.requests, 1)
        counts = {"tries": self.tries, "attempts": self.attempts, "dials": self.dials,
                  "crossings": self.crossings, "probes": self.probes}  # fmt: skip
        return {k: v / n for k, v in counts.items()}

    def as_dict(self) -> dict[str, Any]:
        """The whole report for JSON."""
        plain = {k: getattr(self, k) for k in self.__slots__}
        plain["prices"] = {k: {"share": p.share, "points": p.points} for k, p in self.prices.items()}
        plain["broken"] = [o.as_dict() for o in self.broken]
        plain["latency"] = {k: h.as_dict() for k, h in self.latency.items()}
        plain["series"] = list(self.series)
        return {**plain, "kept": self.kept, "per_request": self.per_request()}

    def lines(self) -> Iterator[str]:
        """Text lines without the tables: the score, the rules, and the first violation."""
        parts = ", ".join(f"{k.replace('_', ' ')} {v:.3f}" for k, v in self.parts.items())
        off = ", ".join(f"{k.replace('_', ' ')} {p.points:.4f}" for k, p in self.prices.items())
        yield f"G {self.g:.4f} ({parts}; off: {off})"
        if self.kept:
            yield "all rules were kept"
            return
        yield "broken: " + ", ".join(f"{k} {n} times" for k, n in sorted(self.offences.items()))
        yield from self.broken[0].lines()
