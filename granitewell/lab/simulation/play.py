"""Plays one day in virtual time: `play(day, policy)` runs it until every request has ended.

It selects a policy by name, decides when a day is over, and reports the run apart from the judge's report.
"""

from __future__ import annotations

import gc
import resource
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import IO, Any

from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import Settings
from granitewell.core import LoadBalancer
from granitewell.lab.day import Day
from granitewell.lab.simulation import policies, published_policies
from granitewell.lab.simulation.node_host import NodeHost
from granitewell.lab.simulation.oracle import Oracle, SentWork
from granitewell.lab.simulation.probing import ProbingDecider
from granitewell.lab.simulation.world import DeciderFactory, World
from granitewell.lab.witness import Witness

CHECK_INTERVAL_US = 50_000  # between checks for unfinished attempts
DAY_END_GRACE_US = 5_000_000  # after the last deadline, when a day ends even with unfinished attempts

_POLICY_FACTORIES: dict[str, Callable[[Settings, int], LoadBalancer]] = {
    "module": Balancer,
    "random": policies.RandomChoice,
    "round-robin": policies.RoundRobin,
    "least-inflight": policies.LeastInflight,
    "envoy-outlier": published_policies.EnvoyOutlier,
    "prequal": lambda settings, seed: ProbingDecider(published_policies.Prequal(settings, seed)),
}
POLICIES = (*_POLICY_FACTORIES, "oracle")

Invariant = Callable[[World], str]  # returns what is wrong, or an empty text


class ViolationError(Exception):
    """An invariant does not hold; the text says when and which."""


@dataclass(slots=True)
class Played:
    """The result of a day.

    Attributes:
        report: The witness's report, if it makes one.
        seconds: CPU time of this process.
        memory_mb: Peak memory of the process over everything that it has run so far.
    """

    policy: str
    report: dict[str, Any]
    digest: str
    events: int
    requests: int  # client attempts sent
    seconds: float
    day_s: float
    memory_mb: float
    owed: int  # client and upstream attempts without an end when the day was over
    seen: Counter[str] = field(default_factory=Counter)
    notes: Counter[str] = field(default_factory=Counter)  # log lines of all nodes, by topic
    faults: tuple[str, ...] = ()  # the last log lines that nodes wrote about their own faults

    @property
    def speed(self) -> float:
        """Virtual seconds per CPU second."""
        return self.day_s / max(self.seconds, 1e-9)


def decider_factory(policy: str) -> DeciderFactory:
    """The factory of each node's decider. Raises ValueError for an unknown name."""
    if policy == "oracle":
        sent_work = SentWork()
        return lambda world, node_host, settings, seed: Oracle(world, node_host, sent_work, settings, seed)
    if policy not in _POLICY_FACTORIES:
        raise ValueError(f"policy: found {policy!r}, allowed are {', '.join(POLICIES)}")
    made = _POLICY_FACTORIES[policy]
    return lambda world, node_host, settings, seed: made(settings, seed)


def play(
    day: Day,
    policy: str = "module",
    witness: Witness | None = None,
    trace: IO[str] | None = None,
    decider: Callable[[Settings, int], LoadBalancer] | None = None,
    only: Sequence[int] | None = None,
    invariants: Sequence[Invariant] = (),
) -> Played:
    """Play the day.

    Args:
        decider: Makes each node's decider from (settings, seed), in place of a named policy.
        only: Indices of the faults to inject; None: all.
        invariants: Checked after every event; ViolationError says what failed.
    """
    make = decider_factory(policy) if decider is None else _factory_from(decider)
    world = World(day, make, witness, trace, only)
    begun = time.process_time()
    collecting = gc.isenabled()
    gc.disable()  # a day makes almost no reference cycles, and collection would scan all of it repeatedly
    try:
        world.begin()
        _run(world, invariants)
    finally:
        if collecting:
            gc.enable()
    world.observations.flush()
    return _played(world, policy, witness, time.process_time() - begun)


def _factory_from(decider: Callable[[Settings, int], LoadBalancer]) -> DeciderFactory:
    def make(world: World, node_host: NodeHost, settings: Settings, seed: int) -> LoadBalancer:
        return decider(settings, seed)

    return make


def _run(world: World, invariants: Sequence[Invariant]) -> None:
    """Run until all arrivals are over and all attempts have ended, up to a limit for those that hang."""
    day, engine = world.day, world.engine
    end = day.length_us + 2 * max(c.deadline_us for c in day.classes) + DAY_END_GRACE_US
    until = day.length_us
    while True:
        if invariants:
            _step(world, until, invariants)
        else:
            engine.run(until)
        if until >= end or not world.unfinished:
            return
        until = min(until + CHECK_INTERVAL_US, end)


def _step(world: World, until: int, invariants: Sequence[Invariant]) -> None:
    while world.engine.step(until):
        for invariant in invariants:
            wrong = invariant(world)
            if wrong:
                raise ViolationError(f"at {world.engine.now_us} us of seed {world.day.seed}: {wrong}")


def _played(world: World, policy: str, witness: Witness | None, seconds: float) -> Played:
    report = getattr(witness, "report", None)
    return Played(
        policy=policy,
        report=report().as_dict() if report is not None else {},
        digest=world.engine.digest,
        events=world.engine.events,
        requests=world.client_traffic.asked,
        seconds=seconds,
        day_s=world.engine.now_us / 1e6,
        memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        owed=world.unfinished,
        seen=world.observations.counts,
        notes=world.notes,
        faults=tuple(world.fault_lines),
    )
