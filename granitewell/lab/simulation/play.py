"""Plays one day in virtual time: `play(day, policy)` from its first moment until all is answered.

It owns the choice of a policy by name, when a day is over, and what is reported of a run besides the judge's
report. It must never look at the day's figures to decide anything else.
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
from granitewell.lab.simulation import policies, published
from granitewell.lab.simulation.node_host import NodeHost
from granitewell.lab.simulation.oracle import Ledger, Oracle
from granitewell.lab.simulation.probing import Probing
from granitewell.lab.simulation.world import Maker, World
from granitewell.lab.witness import Witness

STEP_US = 50_000  # between two looks whether anything is still owed
GRACE_US = 5_000_000  # past the last deadlines, when a day ends whatever is still owed

_OTHERS: dict[str, Callable[[Settings, int], LoadBalancer]] = {
    "module": Balancer,
    "random": policies.RandomChoice,
    "round-robin": policies.RoundRobin,
    "least-inflight": policies.LeastInflight,
    "envoy-outlier": published.EnvoyOutlier,
    "prequal": lambda settings, seed: Probing(published.Prequal(settings, seed)),
}
POLICIES = (*_OTHERS, "oracle")

Invariant = Callable[[World], str]  # what is wrong, or an empty text


class ViolationError(Exception):
    """An invariant does not hold; the text says when and which."""


@dataclass(slots=True)
class Played:
    """What came of a day.

    Attributes:
        report: The witness's, where it makes one.
        seconds: Of this process's CPU.
        memory_mb: The most that the process has held so far, of all that it has run.
    """

    policy: str
    report: dict[str, Any]
    digest: str
    events: int
    requests: int  # tries asked
    seconds: float
    day_s: float
    memory_mb: float
    owed: int  # tries and attempts that had no end when the day was over
    seen: Counter[str] = field(default_factory=Counter)
    notes: Counter[str] = field(default_factory=Counter)  # log lines of all nodes, by topic
    faults: tuple[str, ...] = ()  # the last lines that nodes wrote of faults of their own

    @property
    def speed(self) -> float:
        """Virtual seconds for each real one."""
        return self.day_s / max(self.seconds, 1e-9)


def maker(policy: str) -> Maker:
    """What makes each node's decider. Raises ValueError for an unknown name."""
    if policy == "oracle":
        ledger = Ledger()
        return lambda world, node_host, settings, seed: Oracle(world, node_host, ledger, settings, seed)
    if policy not in _OTHERS:
        raise ValueError(f"policy: found {policy!r}, allowed are {', '.join(POLICIES)}")
    made = _OTHERS[policy]
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

    Decider(settings, seed) makes each node's decisions in place of a named policy;

    Args:
        only: The faults that befall, by index; invariants are checked after every event (Violation says what
            failed).
    """
    make = maker(policy) if decider is None else _by(decider)
    world = World(day, make, witness, trace, only)
    begun = time.process_time()
    collecting = gc.isenabled()
    gc.disable()  # a day makes almost no cycles, and the collector would walk all of it again and again
    try:
        world.begin()
        _run(world, invariants)
    finally:
        if collecting:
            gc.enable()
    world.seen.flush()
    return _played(world, policy, witness, time.process_time() - begun)


def _by(decider: Callable[[Settings, int], LoadBalancer]) -> Maker:
    def make(world: World, node_host: NodeHost, settings: Settings, seed: int) -> LoadBalancer:
        return decider(settings, seed)

    return make


def _run(world: World, invariants: Sequence[Invariant]) -> None:
    """Until all arrivals are over and nothing is owed, but not for ever: what hangs does not end."""
    day, engine = world.day, world.engine
    end = day.length_us + 2 * max(c.deadline_us for c in day.classes) + GRACE_US
    until = day.length_us
    while True:
        if invariants:
            _step(world, until, invariants)
        else:
            engine.run(until)
        if until >= end or not world.owed:
            return
        until = min(until + STEP_US, end)


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
        owed=world.owed,
        seen=world.seen.counts,
        notes=world.notes,
        faults=tuple(world.faults_noted),
    )
