"""When requests are due, and what each of them is: the open loop's arrivals.

It owns the random draws. It must never know what has become of an earlier request: the schedule is a function
of the plan, the step and the worker alone, so a slow target can't thin it out. Each arrival is drawn before
the one ahead of it has left; nothing is kept of those that have gone, so a day's run takes no more memory
than a second's.
"""

from __future__ import annotations

import math
from bisect import bisect
from collections.abc import Iterator, Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

from granitewell.lab.engine import stream
from granitewell.lab.load.plan import Plan, Step


class Arrival(NamedTuple):
    """One request that is due: microseconds since the step's start, and indices into the plan."""

    due_us: int
    cls: int
    tenant: int
    key: int  # 1 to plan.keys; 0: none


def arrivals(plan: Plan, step: Step, worker: int) -> Iterator[Arrival]:
    """This worker's arrivals of the step, in order, all before its end; the same for the same arguments."""
    rng = stream(plan.seed, "load", step.number, worker)
    dues = _poisson if plan.arrivals == "poisson" else _uniform
    classes, tenants = _picker([c.share for c in plan.classes]), _picker([t.share for t in plan.tenants])
    # the mix has a stream of its own, so that another class or tenant doesn't move the times
    mix = stream(plan.seed, "mix", step.number, worker)
    draw, keys = mix.random, plan.keys
    for due in dues(rng, step, worker, plan.workers):
        key = 1 + int(draw() * keys) if keys else 0
        cls = bisect(classes, draw()) if classes else 0
        yield Arrival(due, cls, bisect(tenants, draw()) if tenants else 0, key)


def _poisson(rng: Random, step: Step, worker: int, workers: int) -> Iterator[int]:
    """Exponential gaps. Independent Poisson streams of a part of the rate each add up to one of the whole."""
    at, mean_us, end, draw = 0.0, 1e6 * workers / step.rate, step.length_us, rng.random
    while True:
        at -= mean_us * math.log(1.0 - draw())
        if at >= end:
            return
        yield int(at)


def _uniform(rng: Random, step: Step, worker: int, workers: int) -> Iterator[int]:
    """Even gaps over all workers together: each takes every workers-th arrival."""
    gap_us, k = 1e6 / step.rate, worker
    while (at := int(k * gap_us)) < step.length_us:
        yield at
        k += workers


def _picker(shares: Sequence[float]) -> list[float]:
    """Inner bounds of the shares in 0..1 for `bisect`; empty where there is nothing to choose."""
    total = sum(shares)
    return [bound / total for bound in accumulate(shares)][:-1]
