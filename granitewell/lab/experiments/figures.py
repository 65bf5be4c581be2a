"""The figures of an experiment: what is read from each run's report, and the paired comparison of variants.

It owns which figures there are, by name, and their statistics. It must never read a file or draw a plot. A
comparison is paired: the difference to the base variant on the same scenario and seed, its mean, and the 95%
interval of that mean by the percentile bootstrap (Efron, 1979) with a fixed seed, 10,000 draws. Days without
trouble have no figures of its phases (see phases.py) and are left out there.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from granitewell.lab.experiments import phases
from granitewell.lab.experiments.phases import Trouble
from granitewell.lab.experiments.store import Kept
from granitewell.lab.judge.histogram import Histogram

DRAWS, SEED, LEVEL = 10_000, 20_261, 0.95
FIGURES = {
    "g": "service as the brief counts it",
    "whole": "worth served over worth asked, the whole day",
    "worst_window": "the same in the worst window",
    "before": "goodput before the trouble",
    "during": "goodput while it lasts",
    "of_oracle": "the same over the oracle's on the same seed",
    "after_2s": "goodput in the 2 s after its end",
    "back_s": "seconds from its end until goodput is at 99% of that before, for a second",
    "late": "share of tries served late",
    "refused": "share of tries refused",
    "failed": "share of tries failed",
    "tries": "tries for a first try",
    "attempts": "attempts for a first try",
    "waste": "share of the endpoints' work that reached no client",
    "crossings": "zones crossed for a first try",
    "p50_ms": "median of what was served, the classes' mean",
    "p99_ms": "99th percentile of what was served, the classes' mean",
    "broken": "rules broken, times",
}  # name: what it says
BETTER_HIGH = frozenset({"g", "whole", "worst_window", "before", "during", "of_oracle", "after_2s"})
BETTER_LOW = frozenset(FIGURES) - BETTER_HIGH


def read(result: dict[str, Any], trouble: Trouble | None = None) -> dict[str, float]:
    """The figures of one run, `of_oracle` aside; those of the phases where its day has any trouble."""
    report = result["report"]
    totals, tries = report["totals"], max(report["tries"], 1)
    per = report["per_request"]
    latency = [h for h in report["latency"].values() if h.get("n")]
    return {
        **(phases.figures(report["series"], trouble) if trouble else {}),
        "g": report["g"], "whole": report["parts"]["whole"], "worst_window": report["parts"]["worst_window"],
        **{k: totals.get(k, 0) / tries for k in ("late", "refused", "failed")},
        "tries": per["tries"], "attempts": per["attempts"], "waste": report["waste"],
        "crossings": per["crossings"],
        **{f"{p}_ms": _mean(h[p] for h in latency) for p in ("p50", "p99")},
        "broken": float(sum(report["offences"].values())),
    }  # fmt: skip


def _mean(values: Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found) if found else 0.0


@dataclass(frozen=True, slots=True)
class Compared:
    """One variant on one scenario, one figure.

    Its mean over the seeds, and against the base variant the mean of the differences with its interval.

    Attributes:
        pairs: Seeds that both have; low, high are nan under two pairs.
    """

    variant: str
    setting: str
    figure: str
    n: int
    mean: float
    worst: float
    pairs: int
    difference: float
    low: float
    high: float

    @property
    def told_apart(self) -> bool:
        """Whether the interval leaves out no difference at all."""
        return self.pairs > 1 and not self.low <= 0.0 <= self.high


def interval(differences: Sequence[float]) -> tuple[float, float]:
    """The 95% interval of the mean of these; (nan, nan) for fewer than two."""
    if len(differences) < 2:
        return float("nan"), float("nan")
    values = np.asarray(differences)
    picks = np.random.Generator(np.random.PCG64(SEED)).integers(0, len(values), (DRAWS, len(values)))
    means = values[picks].mean(axis=1)
    low, high = np.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


Seeds = dict[int, dict[str, float]]  # seed: figures by name
Troubles = Mapping[tuple[str, str, int], Trouble]  # by a run's key


def compare(
    kept: Iterable[Kept], base: str, troubles: Troubles | None = None, oracle: str = ""
) -> list[Compared]:
    """Every variant, scenario and figure, in the order of names; runs that failed are left out.

    Args:
        troubles: As Plan.troubles has them.
        oracle: The variant that `of_oracle` is a share of, where there is one.
    """
    spans = troubles or {}
    found: dict[tuple[str, str], Seeds] = {}
    for one in kept:
        if not one.failed:
            span = spans.get((one.variant, one.setting, one.seed))
            found.setdefault((one.setting, one.variant), {})[one.seed] = read(one.result, span)
    for (setting, _), seeds in found.items():
        _hold_against(seeds, found.get((setting, oracle), {}))
    rows = []
    for (setting, variant), seeds in sorted(found.items()):
        others = found.get((setting, base), {})
        rows += [_row(variant, setting, f, seeds, others) for f in FIGURES if _with(seeds, f)]
    return rows


def _hold_against(seeds: Seeds, best: Seeds) -> None:
    """Add `of_oracle` where the oracle has played the same seed, and earned anything."""
    for seed, figures in seeds.items():
        reached = best.get(seed, {}).get("during", 0.0)
        if "during" in figures and reached > 0.0:
            figures["of_oracle"] = figures["during"] / reached


def _with(seeds: Seeds, figure: str) -> list[int]:
    return [s for s in sorted(seeds) if figure in seeds[s]]


def _row(variant: str, setting: str, figure: str, seeds: Seeds, others: Seeds) -> Compared:
    values = [seeds[s][figure] for s in _with(seeds, figure)]
    worst = max(values) if figure in BETTER_LOW else min(values)
    shared = [s for s in _with(seeds, figure) if figure in others.get(s, {})]
    apart = [seeds[s][figure] - others[s][figure] for s in shared]
    low, high = interval(apart)
    return Compared(
        variant, setting, figure, len(values), _mean(values), worst, len(shared), _mean(apart), low, high
    )


def goodput(kept: Iterable[Kept], setting: str, variant: str) -> tuple[list[float], list[float]]:
    """Seconds, and the share of the worth asked in each 250 ms that was earned in time, over all seeds."""
    series = phases.pooled(one.result["report"]["series"] for one in _of(kept, setting, variant))
    told = [b for b in series if b["worth_asked"] > 0.0]
    return [b["at_us"] / 1e6 for b in told], [b["worth_earned"] / b["worth_asked"] for b in told]


def together(kept: Iterable[Kept], setting: str, variant: str, troubles: Troubles) -> dict[str, float]:
    """The figures of the phases of all seeds as one: a thin day shows single late answers, all of them less.

    Empty where seeds differ in the time of their trouble, or have none.
    """
    runs = _of(kept, setting, variant)
    spans = [troubles.get((variant, setting, one.seed)) for one in runs]
    if not spans or spans[0] is None or any(s != spans[0] for s in spans):
        return {}
    return phases.figures(phases.pooled(one.result["report"]["series"] for one in runs), spans[0])


def span(troubles: Troubles, setting: str) -> tuple[float, float] | None:
    """When the trouble of a scenario begins at the earliest and ends at the latest, in seconds."""
    found = [t for (_, name, _), t in troubles.items() if name == setting]
    return (min(t.begin_us for t in found) / 1e6, max(t.end_us for t in found) / 1e6) if found else None


def _of(kept: Iterable[Kept], setting: str, variant: str) -> list[Kept]:
    return [one for one in kept if not one.failed and (one.setting, one.variant) == (setting, variant)]


def latencies(kept: Iterable[Kept], setting: str, variant: str) -> dict[str, Histogram]:
    """By class: the latencies of what was served, of all seeds together."""
    found: dict[str, Histogram] = {}
    for one in _of(kept, setting, variant):
        for name, told in one.result["report"]["latency"].items():
            found.setdefault(name, Histogram()).merge(Histogram.from_dict(told))
    return found
