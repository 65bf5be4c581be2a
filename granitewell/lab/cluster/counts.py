"""Days of counts in virtual time: nodes that use keys, troubles between them, the true sum beside figures.

It owns the use that is drawn, what was truly used when, and the one invariant: that sum lies within the
bounds of whichever node is asked, at any moment. It must never know how a bound comes about.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import replace
from random import Random

from granitewell.lab.cluster.chaos import Chaos, Rules, Trouble, draw
from granitewell.lab.cluster.counts_plants import PLANTS, planted
from granitewell.lab.cluster.days import Case, Outcome, Subject
from granitewell.lab.cluster.links import Quality
from granitewell.lab.cluster.world import Boot, Cluster, Node, Spec
from granitewell.lab.engine import stream
from granitewell.protocols.peers.frames import Key, Keys
from granitewell.shared_counters.state_machine import SharedCounters
from granitewell.shared_counters.types import CounterSettings, Peer, Peers, UsageBounds, UsageRecorded

KEYS = Keys(Key(b"a key for virtual time alone"))
KINDS = ("kill", "lose", "stall", "cut", "oneway", "alone", "link", "snap")
DRIFTS = ("drift", 100_000, 250_000)  # on every third day: the kind, how much off, and what is allowed for
CALM_US = 12_000_000  # from the start; by then all have been counting for a whole window
CHAOS_UNTIL_US = 32_000_000
END_US = 48_000_000
LOOK_US = 97_000  # between two looks
ONCE = 0.1  # of the uses have a key that comes never again
NAMED, MANY = 8, 60  # keys that come again; on every other day many, so that one letter does not hold all
RATE = 40.0  # uses a second of the busiest node; the next three have a half each, then it begins anew
FIGURES = CounterSettings(
    window_us=8_000_000, width_us=250_000, ceiling_per_s=200.0, floor_per_s=60.0, growth=4.0, keys=6
)
LOSSES = (0.0, 0.0, 0.2, 0.4)
ROADS_US = ((300, 2_000), (40_000, 150_000))  # delay and jitter


def names_of(case: Case) -> tuple[str, ...]:
    """Of the day's nodes; their addresses are the same."""
    count = case.size or 3 + int(stream(case.seed, "size").random() * 5)
    return tuple(f"n{k}" for k in range(count))


def drifts(case: Case) -> bool:
    """Whether clocks run far off on this day."""
    return case.seed % 3 == 0


def troubles(case: Case) -> tuple[Trouble, ...]:
    """All of the day's."""
    names = names_of(case)
    kinds = (*KINDS, DRIFTS[0]) if drifts(case) else KINDS
    rules = Rules(kinds=kinds, may_lose=names, drift_ppm=DRIFTS[1], from_us=CALM_US, until_us=CHAOS_UNTIL_US)
    return draw(stream(case.seed, "chaos"), names, case.severity, rules)


class World:
    """One day.

    Attributes:
        broken: The first figure that did not hold the truth, in words.
        widths: Relative, of all figures of the key of most use.
        calm: Those of before the first trouble.
    """

    def __init__(self, case: Case, done: tuple[Trouble, ...]) -> None:
        self.case, self.names = case, names_of(case)
        rng = stream(case.seed, "day")
        many = rng.random() < 0.5
        self.keys = [f"{'a-long-name-of-a-key-' * 3 * many}{k}" for k in range(MANY if many else NAMED)]
        self.figures = replace(FIGURES, keys=MANY if many else FIGURES.keys)
        if drifts(case):
            self.figures = replace(self.figures, drift_ppm=DRIFTS[2])
        loss = LOSSES[int(rng.random() * len(LOSSES))]
        delay_us, jitter_us = ROADS_US[int(rng.random() * len(ROADS_US))]
        self.cluster = Cluster(case.seed, Quality(loss=loss, delay_us=delay_us, jitter_us=jitter_us))
        self.used: dict[str | None, list[int]] = {None: []}  # by key, None for all: when, in real time
        self.looks, self.broken = 0, ""
        self.widths: list[float] = []
        self.calm: list[float] = []
        self._rng = rng
        for name in self.names:
            offset, ppm = int(rng.random() * 1e12), int((2 * rng.random() - 1) * 200)
            self.cluster.add(Spec(name, name, self._make, offset_us=offset, ppm=ppm))
        Chaos(self.cluster, done)
        for k, name in enumerate(self.names):
            node = self.cluster.nodes[name]
            self.cluster.start(node)
            self._next_use(node, RATE / 2 ** (k % 4), stream(case.seed, "use", name))
        self.cluster.engine.at(1_000_000, self._look)

    def _make(self, boot: Boot) -> list[SharedCounters]:
        birth = 1 + int(boot.rng.random() * (1 << 50))
        machine = SharedCounters(boot.id, boot.count + 1, birth, KEYS, self.figures, boot.rng, boot.now_us)
        machine.handle(boot.now_us, Peers({n: Peer(n, True) for n in self.names}))
        return [machine]

    def _use(self, node: Node, rate: float, rng: Random) -> None:
        """A node that runs uses a key, now and again."""
        engine = self.cluster.engine
        self._next_use(node, rate, rng)
        if not node.up or node.stalled:
            return
        once = rng.random() < ONCE
        key = f"once-{engine.now_us}" if once else self.keys[int(rng.random() ** 3 * len(self.keys))]
        for one in (key, None):
            self.used.setdefault(one, []).append(engine.now_us)
        self.cluster.tell(node, UsageRecorded(key))

    def _next_use(self, node: Node, rate: float, rng: Random) -> None:
        wait_us = 1 + int(rng.expovariate(rate) * 1e6)
        self.cluster.engine.at(self.cluster.now_us + wait_us, self._use, node, rate, rng)

    def _look(self) -> None:
        """Ask one node of one key or all, and of the one of most use."""
        cluster = self.cluster
        cluster.engine.at(cluster.now_us + LOOK_US, self._look)
        up = [n for n in cluster.nodes.values() if n.up and not n.stalled]
        if not up:
            return
        node = up[int(self._rng.random() * len(up))]
        which = int(self._rng.random() * 1.4 * len(self.keys))
        self._judge(node, None if which > len(self.keys) else [*self.keys, "never"][which])
        figure = self._judge(node, self.keys[0])
        self.widths.append(figure.relative_width)
        if FIGURES.window_us + 2_000_000 < cluster.now_us < CALM_US:
            self.calm.append(figure.relative_width)

    def _judge(self, node: Node, key: str | None) -> UsageBounds:
        machine = node.machines[0]
        assert isinstance(machine, SharedCounters)
        figure, true = machine.bounds(node.clock.local(self.cluster.now_us), key), self.true(node, key)
        self.looks += 1
        if not figure.low <= true <= figure.high and not self.broken:
            parts = [
                f"{p.name} {p.low}..{p.high} {p.unreported}/{p.window_edge}/{p.untracked}"
                for p in figure.parts
            ]
            told = f"{key or 'all'} is {true}, told was {figure.low} to {figure.high}"
            self.broken = f"{self.cluster.now_us / 1e6:.3f} s {node.id}: {told}: {', '.join(parts)}"
        return figure

    def true(self, node: Node, key: str | None) -> int:
        """What was used of it in the window that ends now, by the node's clock."""
        start = node.clock.real(node.clock.local(self.cluster.now_us) - self.figures.window_us)
        used = self.used.get(key, [])
        return bisect_right(used, self.cluster.now_us) - bisect_left(used, start + 1)


def play(case: Case) -> Outcome:
    """One day."""
    with planted(case.plant):
        done = tuple(t for k, t in enumerate(troubles(case)) if case.only is None or k in case.only)
        world = World(case, done)
        cluster = world.cluster
        cluster.watches.append(lambda *_: f"bounds: {world.broken}" if world.broken else None)
        broken = cluster.run(END_US)
    nodes = cluster.nodes.values()
    figures: dict[str, float | list[float]] = {
        "looks": world.looks, "widths": world.widths, "calm_widths": world.calm,
        "bytes_a_node_s": [sum(n.count.said_bytes for n in nodes) / len(nodes) / END_US * 1e6],
        "bound_max": max(world.widths, default=0.0),
    }  # fmt: skip
    return Outcome(broken, cluster.digest, cluster.now_us / 1e6, figures, done)


SUBJECT = Subject(play, lambda case: len(troubles(case)), PLANTS)
