"""The model's endpoint against queueing theory, and the estimate by which the two are compared."""

from __future__ import annotations

import numpy as np
import pytest

from granitewell.lab import theory
from granitewell.lab.day import ClassDay, Dist
from granitewell.lab.emulator.work import attempt_factor, draw_work, exponential
from granitewell.lab.engine import stream


def test_mean_waits_are_within_three_percent() -> None:
    found = theory.compare(seed=1, scale=1.0, jobs=2)
    assert len(found) == 9
    for one in found:  # an estimate too wide to tell would agree with anything
        assert abs(one.error) <= theory.WITHIN and one.half_us <= theory.WITHIN * one.theory_us, one


def test_closed_forms() -> None:
    assert theory.erlang_c(1, 0.7) == pytest.approx(0.7)
    assert theory.erlang_c(2, 0.75) == pytest.approx(9 / 14)  # offered 1.5: 4.5 / (1 + 1.5 + 4.5)
    assert [theory.mmc_wait(1, 0.6, 10.0), theory.mg1_wait(0.6, 10.0, 1.0)] == pytest.approx([15.0, 15.0])
    assert theory.mg1_wait(0.5, 10.0, 0.0) == pytest.approx(5.0)


@pytest.mark.parametrize("queue", theory.queues()[::3], ids=lambda queue: queue.name)
def test_controls_have_expectation_zero(queue: theory.Queue) -> None:
    rng = stream(3, queue.name)
    cls = ClassDay("w", 1.0, theory.WORK_US, queue.dist, queue.cv, 0.0, 0, 0, 1.0, 0.0, False)
    drawn = [draw_work(cls, rng) / queue.servers - exponential(rng, queue.gap_us) for _ in range(240_000)]
    excess = np.array(drawn).reshape(400, -1) - (theory.WORK_US / queue.servers - queue.gap_us)
    known = theory.controls(excess, *queue.moments)
    assert np.all(abs(known.mean(axis=0)) < 3.5 * known.std(axis=0) / 20)


@pytest.mark.parametrize("dist, cv", [(Dist.EXPONENTIAL, 1.0), (Dist.LOGNORMAL, 1.6), (Dist.PARETO, 0.4)])
def test_works_have_the_mean_and_cv_they_are_given_by(dist: Dist, cv: float) -> None:
    rng = stream(1, dist.value)
    cls = ClassDay("w", 1.0, 20.0, dist, cv, 0.3, 0, 0, 1.0, 0.0, False)
    for draw, mean, spread in ((draw_work, 20.0, cv), (attempt_factor, 1.0, 0.3)):
        drawn = np.array([draw(cls, rng) for _ in range(200_000)])
        assert drawn.mean() == pytest.approx(mean, rel=0.01)
        assert drawn.std() / mean == pytest.approx(spread, rel=0.05)
