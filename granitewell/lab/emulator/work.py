"""Random work of requests: draws from a class's distribution, and the noise of each attempt.

Draws are computed from mean and coefficient of variation (cv) with the caller's stream and only by
`random()`, so that a seed gives the same day on any machine. Work is in microseconds of one core of speed
1.0.
"""

from __future__ import annotations

import math
from random import Random

from granitewell.lab.day import ClassDay, Dist
from granitewell.lab.engine import lognormal


def exponential(rng: Random, mean: float) -> float:
    """An exponential draw, by inversion."""
    return -mean * math.log(1.0 - rng.random())


def pareto(rng: Random, mean: float, cv: float) -> float:
    """A Pareto draw (type I) by mean and cv, which fix its shape.

    From cv^2 = 1 / (a (a - 2)) follows a = 1 + sqrt(1 + 1 / cv^2) > 2, so mean and variance are finite; its
    least value is mean (a - 1) / a.
    """
    if cv <= 0.0:
        return mean
    shape = 1.0 + math.sqrt(1.0 + 1.0 / (cv * cv))
    return float(mean * (shape - 1.0) / shape * (1.0 - rng.random()) ** (-1.0 / shape))


def draw_work(cls: ClassDay, rng: Random) -> float:
    """The work of one request of the class; an exponential has a cv of 1, whatever the class says."""
    if cls.dist is Dist.CONSTANT:
        return cls.work_us
    if cls.dist is Dist.EXPONENTIAL:
        return exponential(rng, cls.work_us)
    if cls.dist is Dist.LOGNORMAL:
        return lognormal(rng, cls.work_us, cls.cv)
    return pareto(rng, cls.work_us, cls.cv)


def attempt_factor(cls: ClassDay, rng: Random) -> float:
    """What one attempt's work is multiplied by: lognormal of mean 1, drawn anew for each attempt."""
    return lognormal(rng, 1.0, cls.attempt_noise)
