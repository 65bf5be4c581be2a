"""What the judge says of a day, in a form for programs and one for people.

It owns the report's fields and must never compute more than shares of what was counted.
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
    """One day. Counts are of tries unless they say otherwise; shares are parts of 1, times seconds."""

    day: str
    seed: int
    g: float  # as worth counts it, whatever was broken
    parts: dict[str, float]  # whole, worst_window, worst_class, worst_tenant
    prices: dict[str, Deduction]
    broken: tuple[Violation, ...]  # the earliest, by time
    offences: dict[str, int]  # how many by rule
    requests: int  # first tries
    tries: int
    attempts: int
    open: int  # tries that were not over when the observations ended
    unmatched: int  # observations of what was never seen to begin
    totals: dict[str, int]
    by_class: dict[str, dict[str, int]]
    by_tenant: dict[str, dict[str, int]]
    by_node: dict[str, dict[str, int]]
    worth_by_class: dict[str, float]  # served over asked
    worth_by_tenant: dict[str, float]  # within the share
    latency: dict[str, Histogram]  # by class
    series: tuple[dict[str, float], ...]  # by 250 ms: worth asked and earned, tries by outcome
    waste: float  # of all work done, what reached no client
    dials: int
    crossings: int
    probes: int
    fell: int  # endpoints pushed over
    fell_untold: int  # of these, by nodes that could not know of the start
    double_bookings: int  # unsafe requests that ran for two tries, or as lost and as made anew
    end_us: int  # of the last observation

    @property
    def kept(self) -> bool:
        """Whether all rules were kept."""
        return not self.offences

    def per_request(self) -> dict[str, float]:
        """What one first try brought about, on average."""
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
        """For a person, without the tables: the figure, the rules, and the first offence."""
        parts = ", ".join(f"{k.replace('_', ' ')} {v:.3f}" for k, v in self.parts.items())
        off = ", ".join(f"{k.replace('_', ' ')} {p.points:.4f}" for k, p in self.prices.items())
        yield f"G {self.g:.4f} ({parts}; off: {off})"
        if self.kept:
            yield "all rules were kept"
            return
        yield "broken: " + ", ".join(f"{k} {n} times" for k, n in sorted(self.offences.items()))
        yield from self.broken[0].lines()
