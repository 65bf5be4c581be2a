"""The model's endpoint held against queueing theory: mean waits of M/M/1, M/M/c and M/G/1.

It owns the closed forms, the runs that are compared with them, and the estimate with its confidence. It must
never feed theory's mean wait back into a run: a run knows only the rates that it draws from. Times are
microseconds. Sources: Erlang C (Erlang 1917; Kleinrock, Queueing Systems I, 1975, eq. 3.40) and the formula
of Pollaczek (1930) and Khinchine (1932; Kleinrock, eq. 5.63).

The estimate is by batch means with control variates (Lavenberg and Welch 1981). What an arrival adds to the
load is x = work / servers - gap; a batch that drew more of it, or drew it in clusters, waits longer. So the
controls are a batch's mean of x, and the mean square and cube of x averaged over windows of some lengths:
functions of the draws alone, whose expectations follow exactly from the distributions drawn from.
Coefficients for the even batches are fitted on the odd ones and the other way round, which keeps the estimate
free of bias.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from granitewell.lab.day import (
    ClassDay,
    ClientsDay,
    ConnDay,
    Day,
    DiscoveryDay,
    Dist,
    EndpointDay,
    FrontDay,
    GoalDay,
    KindDay,
    LoadDay,
    NetworkDay,
    ProbeDay,
    ReportDay,
    RulesDay,
    Stops,
    Warms,
)
from granitewell.lab.emulator.endpoint import Endpoint
from granitewell.lab.emulator.types import Asked, EndpointEvent, Opened, Ran, Reply, Tick
from granitewell.lab.emulator.work import draw_work, exponential
from granitewell.lab.engine import Engine, stream

WORK_US = 10_000.0  # mean; long beside the whole microseconds that the model counts in
WITHIN = 0.03  # the relative error that is allowed
BATCHES = 200
T_95 = 1.972  # of Student's t with about 198 degrees of freedom, two-sided
WINDOWS = (3, 30, 150)  # arrivals over which clusters are looked for
Floats = NDArray[np.float64]


def erlang_c(servers: int, load: float) -> float:
    """The part of arrivals at M/M/c that must wait; `load` is for each server, under 1."""
    offered = servers * load
    blocked = 1.0  # Erlang B by its recursion over the servers, which neither overflows nor cancels
    for n in range(1, servers + 1):
        blocked = offered * blocked / (n + offered * blocked)
    return blocked / (1.0 - load * (1.0 - blocked))


def mmc_wait(servers: int, load: float, work_us: float) -> float:
    """The mean wait at M/M/c: Erlang C times the mean time between ends of work in excess of arrivals."""
    return erlang_c(servers, load) * work_us / (servers * (1.0 - load))


def mg1_wait(load: float, work_us: float, cv: float) -> float:
    """The mean wait at M/G/1 by mean and cv of the work."""
    return load * work_us * (1.0 + cv * cv) / (2.0 * (1.0 - load))


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue with Poisson arrivals. `cv` counts where dist is neither exponential nor constant."""

    name: str
    servers: int
    dist: Dist
    cv: float
    load: float  # of each server
    arrivals: int  # that its run is counted over

    @property
    def gap_us(self) -> float:
        """The mean time between arrivals."""
        return WORK_US / (self.servers * self.load)

    @property
    def work_cv(self) -> float:
        """The cv of what is drawn."""
        return {Dist.CONSTANT: 0.0, Dist.EXPONENTIAL: 1.0}.get(self.dist, self.cv)

    @property
    def moments(self) -> tuple[float, float]:
        """Variance and third central moment of work / servers - gap.

        ValueError: Pareto work, whose third may be infinite.
        """
        if self.dist is Dist.PARETO:
            raise ValueError(f"queue {self.name}: found pareto work, allowed any with a third moment")
        share, cv2 = WORK_US / self.servers, self.work_cv**2
        cube = 2.0 if self.dist is Dist.EXPONENTIAL else cv2**3 + 3.0 * cv2**2
        return share**2 * cv2 + self.gap_us**2, share**3 * cube - 2.0 * self.gap_us**3

    @property
    def wait_us(self) -> float:
        """What theory says. ValueError: no closed form is here for more than one server of general work."""
        if self.dist is Dist.EXPONENTIAL:
            return mmc_wait(self.servers, self.load, WORK_US)
        if self.servers == 1:
            return mg1_wait(self.load, WORK_US, self.work_cv)
        raise ValueError(f"queue {self.name}: found {self.servers} servers, allowed 1 for this work")


@dataclass(frozen=True, slots=True)
class Measured:
    """A run's mean wait, half the width of its 95% confidence interval, and what theory says."""

    queue: Queue
    mean_us: float
    half_us: float
    theory_us: float

    @property
    def error(self) -> float:
        """Relative to theory."""
        return self.mean_us / self.theory_us - 1.0


LOADS = (0.3, 0.6, 0.85)
_KINDS = (  # and the arrivals at each load that bring the confidence well within the error allowed
    ("M/M/1", 1, Dist.EXPONENTIAL, 1.0, (140_000, 100_000, 250_000)),
    ("M/M/2", 2, Dist.EXPONENTIAL, 1.0, (180_000, 100_000, 250_000)),
    ("M/G/1 (lognormal, cv 0.5)", 1, Dist.LOGNORMAL, 0.5, (80_000, 90_000, 150_000)),
)


def queues(scale: float = 1.0) -> tuple[Queue, ...]:
    """The nine that are compared, each with `scale` times its usual arrivals."""
    return tuple(
        Queue(name, servers, dist, cv, load, int(arrivals * scale))
        for name, servers, dist, cv, counts in _KINDS
        for load, arrivals in zip(LOADS, counts, strict=True)
    )


def plain_day(cls: ClassDay, kind: KindDay, conn: ConnDay, endpoint: EndpointDay) -> Day:
    """A day of one class and one endpoint, with nothing that stands in the way."""
    return Day(
        name="theory", seed=0, length_us=0, zones=("a",), classes=(cls,), tenants=(), kinds=(kind,),
        endpoints=(endpoint,), nodes=(), network=NetworkDay(0.0, 0.0, 0.0, 0.0), conn=conn,
        report=ReportDay((), 0, 0, 0.0), probe=ProbeDay(False, 0.0, 0.0, False, 0),
        clients=ClientsDay(0, 1.0, 0, 0.0, 0.0, 0.0, False, 0), front=FrontDay(0),
        discovery=DiscoveryDay(0, 0, 0, 0, 0), load=LoadDay((), (1.0,), 0, 0.0),
        rules=RulesDay(1_000_000, 3.0, 1_000_000), goal=GoalDay(),
    )  # fmt: skip


def _endpoint(queue: Queue) -> tuple[Endpoint, ClassDay]:
    cls = ClassDay("work", 1.0, WORK_US, queue.dist, queue.cv, 0.0, 0, 0, 1.0, 0.0, False)
    kind = KindDay("plain", queue.servers, 1, 1e6, 0.0, 1.0, 1.0, 0, Warms.TIME, 0.0, Stops.NONE, False, 0, 0,
                   0.0, 0, 0)  # fmt: skip
    spec = EndpointDay("e", 0, 0, 0, 1.0, 0)
    day = plain_day(cls, kind, ConnDay(0.0, 0.0, 0, 0, 10**9, 0.0), spec)
    return Endpoint(spec, day, stream(0, "e")), cls


class _Run:
    """One queue in virtual time: arrivals come whatever happens, each on a connection that is free."""

    def __init__(self, queue: Queue, seed: int) -> None:
        self.engine = Engine()
        self._queue = queue
        self._endpoint, self._cls = _endpoint(queue)
        self._gaps, self._works = stream(seed, queue.name, "gaps"), stream(seed, queue.name, "works")
        self._free: list[int] = []
        self._opened = self._asked = 0
        self._clock = 0.0  # of arrivals, before they are cut to whole microseconds
        self._planned = -1
        self.came: list[int] = []
        self.drawn: list[float] = []  # work / servers - gap, for each arrival
        self.waits: list[int] = []  # in the order in which work begins, which is that of arrival

    def play(self, arrivals: int) -> None:
        """Until so many have come and all are done."""
        self._next_arrival(arrivals)
        self.engine.run(2**62)

    def _next_arrival(self, left: int) -> None:
        if left:
            gap = exponential(self._gaps, self._queue.gap_us)
            self._clock += gap
            self.engine.at(int(self._clock), self._arrive, gap, left - 1)

    def _arrive(self, gap: float, left: int) -> None:
        work = draw_work(self._cls, self._works)
        self.came.append(self.engine.now_us)
        self.drawn.append(work / self._queue.servers - gap)
        if not self._free:
            self._opened += 1
            self._hand(Opened(self._opened, "n"))
            self._free.append(self._opened)
        self._asked += 1
        self._hand(Asked(self._free.pop(), str(self._asked), 0, 0, 0, work, 0))
        self._next_arrival(left)

    def _hand(self, event: EndpointEvent) -> None:
        now_us = self.engine.now_us
        for effect in self._endpoint.handle(now_us, event):
            if type(effect) is Ran:
                self.waits.append(now_us - self.came[len(self.waits)])
            elif type(effect) is Reply:
                self._free.append(effect.conn)
        wake = self._endpoint.wake_us
        if wake >= 0 and wake != self._planned:
            self._planned = wake
            self.engine.at(wake, self._wake, wake)

    def _wake(self, at_us: int) -> None:
        if at_us == self._planned:
            self._planned = -1
            self._hand(Tick())


def measure(queue: Queue, seed: int) -> Measured:
    """Drive an endpoint by Poisson arrivals; the first twentieth is left out, as it began empty.

    ValueError: too few arrivals to make batches of.
    """
    if queue.arrivals < BATCHES * 2 * WINDOWS[-1]:
        raise ValueError(f"arrivals: found {queue.arrivals}, allowed from {BATCHES * 2 * WINDOWS[-1]}")
    run = _Run(queue, seed)
    early = queue.arrivals // 20
    run.play(queue.arrivals + early)
    counted = slice(early, early + queue.arrivals // BATCHES * BATCHES)
    waits = np.array(run.waits[counted], dtype=np.float64).reshape(BATCHES, -1).mean(axis=1)
    excess = np.array(run.drawn[counted]) - (WORK_US / queue.servers - queue.gap_us)
    mean, half = controlled(waits, controls(excess.reshape(BATCHES, -1), *queue.moments))
    return Measured(queue, mean, half, queue.wait_us)


def controls(excess: Floats, spread: float, third: float) -> Floats:
    """For each batch (a row), functions of its draws with expectation 0.

    `excess` has expectation 0, variance `spread` and a third moment, so its mean over n has the variance
    spread / n and the third moment third / n^2.
    """
    sums = np.cumsum(np.pad(excess, ((0, 0), (1, 0))), axis=1)
    found = [excess.mean(axis=1)]
    for n in WINDOWS:
        means = (sums[:, n:] - sums[:, :-n]) / n
        found.append((means**2).mean(axis=1) - spread / n)
        found.append((means**3).mean(axis=1) - third / n**2)
    return np.array(found).T


def controlled(values: Floats, known: Floats) -> tuple[float, float]:
    """Return the mean of the batches' values and half the width of its 95% confidence interval.

    The mean is freed of what the controls (of expectation 0) explain.
    """
    freed = values.copy()
    for here, there in ((slice(0, None, 2), slice(1, None, 2)), (slice(1, None, 2), slice(0, None, 2))):
        fitted = np.column_stack([np.ones(len(known[there])), known[there]])
        slopes = np.linalg.lstsq(fitted, values[there], rcond=None)[0][1:]
        freed[here] -= known[here] @ slopes
    return float(freed.mean()), T_95 * math.sqrt(float(freed.var(ddof=1)) / len(freed))


def compare(seed: int, scale: float, jobs: int, step: Callable[[], None] = lambda: None) -> list[Measured]:
    """All queues, in so many processes; `step` is called after each."""
    asked = queues(scale)
    results = []
    for measured in _all(asked, seed, jobs):
        results.append(measured)
        step()
    return results


def _all(asked: Sequence[Queue], seed: int, jobs: int) -> Iterator[Measured]:
    if jobs <= 1:
        yield from (measure(queue, seed) for queue in asked)
        return
    with ProcessPoolExecutor(jobs) as pool:
        longest_first = sorted(range(len(asked)), key=lambda k: -asked[k].arrivals)
        running = {k: pool.submit(measure, asked[k], seed) for k in longest_first}
        yield from (running[k].result() for k in range(len(asked)))
