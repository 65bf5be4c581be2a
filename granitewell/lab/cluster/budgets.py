"""Days of budgets in virtual time: nodes whose demand moves about, troubles between them, and the sum of all.

It owns the demand that is drawn, what was truly spent when, and two invariants: at no moment do the rights of
all that run come to more than the whole, and in no window is more spent than the whole allows in it and in a
burst, and one request a process. It must never know how a right comes about.
"""

from __future__ import annotations

from bisect import bisect_right
from random import Random

from granitewell.lab.cluster.budgets_plants import PLANTS, planted
from granitewell.lab.cluster.chaos import Chaos, Rules, Trouble, draw
from granitewell.lab.cluster.days import Case, Outcome, Subject
from granitewell.lab.cluster.links import Quality
from granitewell.lab.cluster.world import Boot, Cluster, Node, Spec
from granitewell.lab.engine import stream
from granitewell.protocols.peers.frames import Key, Keys
from granitewell.quotas.state_machine import QuotaManager
from granitewell.quotas.types import MILLI, ActiveNodes, BudgetTotals, QuotaSettings

KEYS = Keys(Key(b"a key for virtual time alone"))
KINDS = ("kill", "lose", "stall", "cut", "oneway", "alone", "link")
KEY, WHOLE = "gold", 100  # requests a second for the whole fleet
SETTINGS = QuotaSettings()
CALM_US, CHAOS_UNTIL_US, END_US = 20_000_000, 40_000_000, 50_000_000
STEP_US = 5_000_000  # after which the demand moves to other nodes
WINDOWS_US = (100_000, 1_000_000, 5_000_000)
LOOK_US = 20_000
LOSSES = (0.0, 0.0, 0.2, 0.4)
SETTLED_US = 3_000_000  # from a step of demand until what is there should be usable


def names_of(case: Case) -> tuple[str, ...]:
    """Of the day's nodes; their addresses are the same."""
    count = case.size or 3 + int(stream(case.seed, "size").random() * 5)
    return tuple(f"n{k}" for k in range(count))


def troubles(case: Case) -> tuple[Trouble, ...]:
    """All of the day's."""
    names = names_of(case)
    rules = Rules(kinds=KINDS, may_lose=names, from_us=CALM_US, until_us=CHAOS_UNTIL_US)
    return draw(stream(case.seed, "chaos"), names, case.severity, rules)


class World:
    """One day.

    The demand is a third more than the whole; most of it at one node, which changes.

    Attributes:
        spent: When, in real time.
        used: By second of the calm part, the part of the whole that was spent.
    """

    def __init__(self, case: Case, done: tuple[Trouble, ...]) -> None:
        self.case, self.names = case, names_of(case)
        rng = self._rng = stream(case.seed, "day")
        self.loss = LOSSES[int(rng.random() * len(LOSSES))]
        self.cluster = Cluster(case.seed, Quality(loss=self.loss, delay_us=300, jitter_us=2_000))
        self.spent: list[int] = []
        self.broken, self.most_right = "", 0.0
        self.processes = 0
        for name in self.names:
            offset, ppm = int(rng.random() * 1e12), int((2 * rng.random() - 1) * 200)
            self.cluster.add(Spec(name, name, self._make, offset_us=offset, ppm=ppm))
        Chaos(self.cluster, done)
        for name in self.names:
            node = self.cluster.nodes[name]
            self.cluster.start(node)
            self._next(node, stream(case.seed, "use", name))
        self.cluster.engine.at(LOOK_US, self._look)

    def _make(self, boot: Boot) -> list[QuotaManager]:
        self.processes += 1
        birth = 1 + int(boot.rng.random() * (1 << 50))
        machine = QuotaManager(boot.id, birth, KEYS, SETTINGS, boot.rng, boot.now_us, first=boot.count == 0)
        machine.handle(boot.now_us, ActiveNodes(len(self.names), {n: n for n in self.names if n != boot.id}))
        machine.handle(boot.now_us, BudgetTotals({KEY: WHOLE * MILLI}))
        return [machine]

    def busy(self) -> str:
        """The node at which most of the demand is now."""
        return self.names[self.cluster.now_us // STEP_US * 2 % len(self.names)]

    def _next(self, node: Node, rng: Random) -> None:
        rate = WHOLE * 1.2 if self.busy() == node.id else WHOLE * 0.13 / len(self.names)
        wait_us = 1 + int(rng.expovariate(rate) * 1e6)
        # looked at again soon, as the demand may move here meanwhile
        self.cluster.engine.at(
            self.cluster.now_us + min(wait_us, 200_000), self._use, node, rng, wait_us <= 200_000
        )

    def _use(self, node: Node, rng: Random, comes: bool) -> None:
        self._next(node, rng)
        if not comes or not node.up or node.stalled:
            return
        machine = node.machines[0]
        assert isinstance(machine, QuotaManager)
        if machine.try_acquire(node.clock.local(self.cluster.now_us), KEY) < 0:
            self.spent.append(self.cluster.now_us)
            self._windows()

    def _windows(self) -> None:
        """After each request: no window that ends now holds too much."""
        now = self.cluster.now_us
        for window_us in WINDOWS_US:
            found = len(self.spent) - bisect_right(self.spent, now - window_us)
            allowed = WHOLE * (window_us + SETTINGS.burst_us) / 1e6 + self.processes
            if found > allowed and not self.broken:
                self.broken = f"spent: {found} in {window_us / 1e6:g} s, allowed are {allowed:.0f}"

    def _look(self) -> None:
        cluster = self.cluster
        cluster.engine.at(cluster.now_us + LOOK_US, self._look)
        total = 0
        for node in cluster.nodes.values():
            if node.up:
                machine = node.machines[0]
                assert isinstance(machine, QuotaManager)
                total += machine.budgets[KEY].quota.available(node.clock.local(cluster.now_us))
        self.most_right = max(self.most_right, total / MILLI / WHOLE)
        if total > WHOLE * MILLI and not self.broken:
            self.broken = (
                f"rights: all may spend {total / MILLI:.2f} of {WHOLE} at {cluster.now_us / 1e6:.2f} s"
            )

    def used(self) -> list[float]:
        """Of the calm part, in each second of which the demand has been where it is for a while."""
        found = []
        for second in range(CALM_US // 1_000_000):
            at = second * 1_000_000
            if at % STEP_US >= SETTLED_US:
                count = bisect_right(self.spent, at + 1_000_000) - bisect_right(self.spent, at)
                found.append(count / WHOLE)
        return found


def play(case: Case) -> Outcome:
    """One day."""
    with planted(case.plant):
        done = tuple(t for k, t in enumerate(troubles(case)) if case.only is None or k in case.only)
        world = World(case, done)
        cluster = world.cluster
        cluster.watches.append(lambda *_: world.broken or None)
        broken = cluster.run(END_US)
    nodes = cluster.nodes.values()
    figures: dict[str, float | list[float]] = {
        "used_calm": world.used(), "right_max": world.most_right, "spent": len(world.spent),
        "bytes_a_node_s": [sum(n.count.said_bytes for n in nodes) / len(nodes) / END_US * 1e6],
    }  # fmt: skip
    return Outcome(broken, cluster.digest, cluster.now_us / 1e6, figures, done)


SUBJECT = Subject(play, lambda case: len(troubles(case)), PLANTS)
