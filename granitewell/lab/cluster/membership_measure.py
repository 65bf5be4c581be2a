"""Membership at size in virtual time: what is noticed when, what is believed wrongly, what it costs.

It owns the scenarios and their figures. It must never print. Members join without loss and are given time to
see each other; only then the loss begins, and what is counted.

- `cold`: all start at the same moment, and there is loss from the start
- `idle`: nothing happens; bytes and false alarms
- `deaths`: members are killed one by one over the time, and stay dead
- `stalls`: one in twenty is stopped for 2 to 8 s and runs for 0.2 to 2 s, in turns
- `slow`: the same ones are not stopped, but all that they hear and say waits for so long while their timers
  run, as in an overloaded process (after the interval experiment of Lifeguard's authors); in both, what is
  believed of those that are well is counted apart
- `partition`: two halves don't hear each other for `seconds`
- `restart`: all are killed and started again with nothing, one after the other, over the time; `leave`: the
  same, but each leaves first
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from statistics import median, quantiles

from granitewell.lab.cluster.links import Cut, Quality
from granitewell.lab.cluster.membership import Site
from granitewell.lab.cluster.membership_watch import Life, Watch, agreed, member_of, running
from granitewell.lab.cluster.world import Node
from granitewell.lab.engine import stream
from granitewell.membership.states import Phase
from granitewell.membership.types import Leave, Parameters

SCENARIOS = ("cold", "idle", "deaths", "stalls", "slow", "partition", "restart", "leave")
JOIN_US = 20_000  # between two that start
SETTLE_US = 60_000_000
TAIL_US = 120_000_000  # after the last event, at the most, for all to see it
LOOK_US = 100_000  # how often it is looked whether all see the same
DOWN_US = 1_000_000  # between a process's end and its next start
ILL = 20  # one in so many stands still or is slow
_S = 1_000_000


@dataclass(frozen=True, slots=True)
class Plan:
    """What is measured.

    Attributes:
        deaths: How many, in `deaths`.
    """

    scenario: str
    members: int = 100
    loss: float = 0.0
    seconds: int = 60
    seed: int = 1
    deaths: int = 10
    figures: Parameters = field(default_factory=Parameters)


class Run:
    """One scenario."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        joins = JOIN_US * plan.members if plan.scenario != "cold" else 0
        site = Site(plan.seed, plan.members, parameters=plan.figures, joins_us=joins)
        self.site, self.cluster, self.watch = site, site.cluster(), Watch()
        self.cluster.watches.append(self.watch.watch)
        self.rng = stream(plan.seed, "measure")
        self.found: dict[str, object] = {}
        self.ill: list[Node] = []
        self.backs_s: list[float] = []

    def play(self) -> dict[str, object]:
        """All figures; None where there was nothing to measure.

        Raises RuntimeError where the members never come to see each other, or an invariant is broken.
        """
        cluster, plan = self.cluster, self.plan
        if plan.scenario != "cold":
            self._settle()
        cluster.links.quality.loss = plan.loss
        self.watch.clear()
        start, said = cluster.now_us, self._said()
        getattr(self, f"_{plan.scenario}")(start)
        passed = (cluster.now_us - start) / _S
        self._costs(said, passed)
        self._alarms(passed)
        if cluster.broken is not None:
            raise RuntimeError(f"{cluster.broken.node}: {cluster.broken.text}")
        self.found["measured_s"] = passed
        return self.found

    def _settle(self) -> None:
        cluster, joined = self.cluster, JOIN_US * self.plan.members
        while cluster.now_us < joined + SETTLE_US:
            cluster.run(cluster.now_us + _S)
            if cluster.now_us > joined and agreed(cluster) is None:
                cluster.run(cluster.now_us + 10 * _S)  # for what is still passed on
                return
        raise RuntimeError(f"the members do not see each other: {agreed(cluster)}")

    # --- Scenarios --------------------------------------------------------------------------------------
    def _cold(self, start: int) -> None:
        self.cluster.run(start + LOOK_US)
        self._until_agreed()

    def _idle(self, start: int) -> None:
        self.cluster.run(start + self.plan.seconds * _S)

    def _deaths(self, start: int) -> None:
        nodes = self._drawn(min(self.plan.deaths, self.plan.members - 2))
        ends = [start + self.plan.seconds * _S * k // len(nodes) for k in range(len(nodes))]
        lives = []
        for node, at in zip(nodes, ends, strict=True):
            life = self.watch.life_of(node)
            assert life is not None
            lives.append(life)
            self.cluster.engine.at(at, self._kill, node)
        self.cluster.run(start + self.plan.seconds * _S)
        self._until_agreed()
        self._noticed(lives)

    def _noticed(self, lives: list[Life]) -> None:
        there = [node.id for node, _ in running(self.cluster)]
        firsts, alls, never = [], [], 0
        for life in lives:
            times = [life.noticed[node] for node in there if node in life.noticed]
            never += len(there) - len(times)
            if times:
                firsts.append((min(times) - life.ended_us) / _S)
                alls.append((max(times) - life.ended_us) / _S)
        self.found |= {"first_s": spread(firsts), "all_s": spread(alls), "never": never}

    def _stalls(self, start: int) -> None:
        self._ills(start, self._stall)

    def _slow(self, start: int) -> None:
        self._ills(start, self._slower)

    def _ills(self, start: int, call: Callable[[Node], None]) -> None:
        self.ill = self._drawn(max(self.plan.members // ILL, 1))
        for node in self.ill:
            life = self.watch.life_of(node)
            assert life is not None
            life.ill = True
            self.cluster.engine.at(start + int(self.rng.random() * 5 * _S), call, node)
        self.cluster.run(start + self.plan.seconds * _S)

    def _partition(self, start: int) -> None:
        names = self.site.names
        cut = Cut((tuple(names[: len(names) // 2]), tuple(names[len(names) // 2 :])))
        self.cluster.links.cut(cut)
        self.cluster.run(start + self.plan.seconds * _S)
        self.found["seen_while_cut"] = spread([float(m.local.member_count) for _, m in running(self.cluster)])
        self.cluster.links.heal(cut)
        self.watch.clear()
        self._until_agreed()

    def _restart(self, start: int, leaves: bool = False) -> None:
        nodes = self._drawn(self.plan.members)
        for k, node in enumerate(nodes):
            at = start + self.plan.seconds * _S * k // len(nodes)
            self.cluster.engine.at(at, self._again, node, leaves)
        self.cluster.run(start + self.plan.seconds * _S + DOWN_US)
        self._until_agreed()
        self.found["back_s"] = spread(self.backs_s)

    def _leave(self, start: int) -> None:
        self._restart(start, leaves=True)

    # --- What befalls a member --------------------------------------------------------------------------
    def _drawn(self, count: int) -> list[Node]:
        nodes = list(self.cluster.nodes.values())
        order = sorted((self.rng.random(), k) for k in range(len(nodes)))
        return [nodes[k] for _, k in order[:count]]

    def _kill(self, node: Node) -> None:
        self.watch.ended(self.cluster, node)
        self.cluster.kill(node)

    def _stall(self, node: Node) -> None:
        self.cluster.stall(node)
        self.cluster.engine.at(self.cluster.now_us + self._between(2.0, 8.0), self._go_on, node)

    def _go_on(self, node: Node) -> None:
        self.cluster.go_on(node)
        self.cluster.engine.at(self.cluster.now_us + self._between(0.2, 2.0), self._stall, node)

    def _slower(self, node: Node) -> None:
        waits = self._between(2.0, 8.0)
        self.cluster.links.worse[node.spec.address] = Quality(delay_us=waits, jitter_us=0)
        self.cluster.engine.at(self.cluster.now_us + waits, self._quick, node)

    def _quick(self, node: Node) -> None:
        self.cluster.links.worse.pop(node.spec.address, None)
        self.cluster.engine.at(self.cluster.now_us + self._between(0.2, 2.0), self._slower, node)

    def _between(self, least_s: float, most_s: float) -> int:
        return int((least_s + (most_s - least_s) * self.rng.random()) * _S)

    def _again(self, node: Node, leaves: bool) -> None:
        cluster = self.cluster
        end = cluster.now_us
        if leaves:
            cluster.tell(node, Leave())
            end += self.plan.figures.leave_us + 100_000
        cluster.engine.at(end, self._kill, node)
        cluster.engine.at(end + DOWN_US, self._start, node)

    def _start(self, node: Node) -> None:
        self.cluster.start(node)
        self._back(node, self.cluster.now_us, node.boots)

    def _back(self, node: Node, since: int, boot: int) -> None:
        """Until it is a member again."""
        machine = member_of(node)
        if machine is None or node.boots != boot:
            return
        if machine.phase is Phase.ACTIVE:
            self.backs_s.append((self.cluster.now_us - since) / _S)
        else:
            self.cluster.engine.at(self.cluster.now_us + LOOK_US // 2, self._back, node, since, boot)

    # --- Figures ----------------------------------------------------------------------------------------
    def _until_agreed(self) -> None:
        cluster, start = self.cluster, self.cluster.now_us
        while cluster.now_us < start + TAIL_US and cluster.broken is None:
            if agreed(cluster) is None:
                self.found["agreed_s"] = (cluster.now_us - start) / _S
                return
            cluster.run(cluster.now_us + LOOK_US)
        self.found["agreed_s"] = None
        self.found["not_agreed"] = agreed(cluster)

    def _said(self) -> list[tuple[int, int]]:
        return [(node.count.said_bytes, node.count.said) for node in self.cluster.nodes.values()]

    def _costs(self, before: list[tuple[int, int]], passed: float) -> None:
        now = self._said()
        rates = [(b - a) / passed for (a, _), (b, _) in zip(before, now, strict=True)]
        self.found["bytes_s"] = spread(rates)
        messages = sum(b for _, b in now) - sum(b for _, b in before)
        self.found["messages_s"] = messages / passed / len(now)

    def _alarms(self, passed: float) -> None:
        well = [life for life in self.watch.lives.values() if not life.ill]
        ill = [life for life in self.watch.lives.values() if life.ill]
        hours = passed / 3600
        for name, lives in (("", well), ("ill_", ill)):
            if name and not lives:
                continue
            suspected, died = sum(len(x.suspected) for x in lives), sum(len(x.died) for x in lives)
            self.found[f"{name}suspicions"], self.found[f"{name}deaths"] = suspected, died
            self.found[f"{name}deaths_told"] = sum(sum(x.died.values()) for x in lives)
            self.found[f"{name}suspicions_h"], self.found[f"{name}deaths_h"] = suspected / hours, died / hours
        stood = [m.stalled_us / _S for _, m in running(self.cluster)]
        self.found["health_worst"] = max(m.health for _, m in running(self.cluster))
        self.found["stood_s"] = sum(stood)


def spread(values: list[float]) -> dict[str, float] | None:
    """Least, median, 95th part in a hundred, worst; None of nothing."""
    if not values:
        return None
    tail = quantiles(values, n=20)[-1] if len(values) > 1 else values[0]
    return {"least": min(values), "median": median(values), "p95": min(tail, max(values)),
            "worst": max(values), "count": len(values)}  # fmt: skip


def measure(plan: Plan) -> dict[str, object]:
    """The figures of a plan."""
    return Run(plan).play()


def swim(figures: Parameters) -> Parameters:
    """Plain SWIM: a question once, helpers once, a fixed time for suspects, hearsay believed."""
    return replace(lifeguard(figures), lifeguard=False)


def lifeguard(figures: Parameters) -> Parameters:
    """SWIM with Lifeguard, and nothing of ours.

    No repeated questions, no last call, no noticing that it stood still.
    """
    return replace(figures, stall_us=0, pings=1, asks=1, calls=0, soften=False)


VARIANTS = {"all": lambda figures: figures, "lifeguard": lifeguard, "swim": swim}
