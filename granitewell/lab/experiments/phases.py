"""Before, during and after: what a day's trouble does to the goodput, and how soon that is gone again.

It owns when the trouble of a day begins and ends, by its schedule, and the figures read from the judge's
goodput in each 250 ms. It must never play a day, look at a policy, or know a scenario. Times are microseconds
of the day; goodput is worth earned over worth asked, by the time of the first try's asking, so what was asked
just before the trouble and hit by it counts as before.

    begin, end   the first and the last moment at which any fault of the day changes something: one that lasts
                 (a condition, a cut, ...) when it begins and ends, or at the day's end where it has no end;
                 an order to a process when it is given, and when the process is back
    before       goodput from 2 s into the day (nodes have learned by then) until the begin
    during       from the begin to the end
    after_2s     of the 2 s from the end on
    back_s       seconds from the end to the first whole second with at least 99% of `before`, looked at in
                 steps of 250 ms; a second with nothing asked is no second. If there is none: to the day's end
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from granitewell.lab.day import Day

WARM_US, AFTER_US, STAYS_US, STEP_US = 2_000_000, 2_000_000, 1_000_000, 250_000
BACK = 0.99  # of the level before
LASTING = frozenset({"condition", "cut", "link", "node_cpu", "discovery_silent", "discovery_late"})

Series = Sequence[Mapping[str, float]]  # the judge's: at_us, worth_asked, worth_earned, by rising time


@dataclass(frozen=True, slots=True)
class Trouble:
    """The span of a day's trouble, and the day's length."""

    begin_us: int
    end_us: int
    day_us: int


def trouble(day: Day) -> Trouble | None:
    """The span in which the day's faults change something; None on a day without any."""
    changes = [f.at_us for f in day.faults]
    for f in day.faults:
        if f.until_us >= 0:
            changes.append(min(f.until_us, day.length_us))
        elif f.kind in LASTING:
            changes.append(day.length_us)
    return Trouble(min(changes), max(changes), day.length_us) if changes else None


def goodput(series: Series, begin_us: int, end_us: int) -> float | None:
    """Worth earned over worth asked in the buckets that begin in the span; None where nothing was asked."""
    inside = [b for b in series if begin_us <= b["at_us"] < end_us]
    asked = sum(b["worth_asked"] for b in inside)
    return sum(b["worth_earned"] for b in inside) / asked if asked > 0.0 else None


def back_s(series: Series, of: Trouble, level: float) -> float:
    """Seconds from the trouble's end until goodput is at this level for a second."""
    for at in range(of.end_us, of.day_us - STAYS_US + 1, STEP_US):
        found = goodput(series, at, at + STAYS_US)
        if found is not None and found >= level:
            return (at - of.end_us) / 1e6
    return (of.day_us - of.end_us) / 1e6


def figures(series: Series, of: Trouble) -> dict[str, float]:
    """`before`, `during`, `after_2s` and `back_s`, as far as there is anything to read them from."""
    found = {
        "before": goodput(series, min(WARM_US, of.begin_us // 2), of.begin_us),
        "during": goodput(series, of.begin_us, of.end_us),
        "after_2s": goodput(series, of.end_us, min(of.end_us + AFTER_US, of.day_us)),
    }  # fmt: skip
    if found["before"] is not None and of.day_us - of.end_us >= STAYS_US:
        found["back_s"] = back_s(series, of, BACK * found["before"])
    return {name: value for name, value in found.items() if value is not None}


def pooled(many: Iterable[Series]) -> list[dict[str, float]]:
    """One series of several days: worth asked and earned added up by time."""
    sums: dict[float, list[float]] = {}
    for series in many:
        for bucket in series:
            row = sums.setdefault(bucket["at_us"], [0.0, 0.0])
            row[0] += bucket["worth_asked"]
            row[1] += bucket["worth_earned"]
    return [{"at_us": at, "worth_asked": a, "worth_earned": e} for at, (a, e) in sorted(sums.items())]
