"""What goes wrong in a cluster: drawn from a seed and a severity, and done to it.

It owns the odds and how each trouble begins and ends. It must never draw from anything but its own stream,
nor know a subject: which disks may be lost, and what a twin starts with, is for the caller to say.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

from granitewell.lab.cluster.disk import Fate
from granitewell.lab.cluster.links import Cut, Quality
from granitewell.lab.cluster.world import Cluster, Node

KINDS = ("kill", "lose", "power", "stall", "cut", "oneway", "alone", "link", "slow_disk", "bad_disk", "drift",
         "snap", "twin")  # fmt: skip
MAX_PER_20_S = 16.0  # troubles at severity 1
MAX_LASTS_US = 12_000_000


@dataclass(frozen=True, slots=True)
class Trouble:
    """One thing that goes wrong.

    Attributes:
        nodes: Whom it befalls (all for a link of every road).
        value: Its size, in the kind's own unit: microseconds for a slow disk, ppm for drift, a share for a
            link.
        how: Which sort of it.
    """

    kind: str
    at_us: int
    until_us: int
    nodes: tuple[str, ...] = ()
    value: float = 0.0
    how: str = ""

    def words(self) -> str:
        """In one line."""
        who = ",".join(self.nodes) or "all"
        span = f"{self.at_us / 1e6:.2f}..{self.until_us / 1e6:.2f} s"
        size = f"{self.value:g}" if self.value else ""
        return " ".join(filter(None, (span, self.kind, who, size, self.how)))


@dataclass(frozen=True, slots=True)
class Rules:
    """What chaos may do.

    Attributes:
        may_lose: Whose disk may be lost for good.
        twins: A twin starts with a copy of the disk ("copy"), an empty one ("empty"), or there are none.
        aims: Roles that may be befallen in place of names; who has one then is asked when the trouble begins.
        twin_of: Who may have one, all where nobody is named.
        drift_ppm: The most that a clock runs off.
    """

    kinds: Sequence[str] = KINDS
    may_lose: Sequence[str] = ()
    twins: Sequence[str] = ("copy", "empty")
    twin_of: Sequence[str] = ()
    aims: Sequence[str] = ()
    drift_ppm: int = 100_000
    from_us: int = 3_000_000
    until_us: int = 60_000_000


def draw(rng: Random, names: Sequence[str], severity: float, rules: Rules) -> tuple[Trouble, ...]:
    """Troubles by time; all are over by rules.until_us."""
    odds = _Odds(rng, names, severity, rules)
    length = rules.until_us - rules.from_us
    count = round(severity * MAX_PER_20_S * (0.25 + 0.75 * rng.random()) * length / 20e6)
    kinds = [k for k in rules.kinds if (k != "lose" or rules.may_lose) and (k != "twin" or rules.twins)]
    drawn = [odds.one(kinds[int(rng.random() * len(kinds))]) for _ in range(count)]
    return tuple(sorted(drawn, key=lambda t: t.at_us))


class _Odds:
    def __init__(self, rng: Random, names: Sequence[str], severity: float, rules: Rules) -> None:
        self._rng, self._names, self._severity, self._rules = rng, names, severity, rules

    def one(self, kind: str) -> Trouble:
        rng, rules = self._rng, self._rules
        at = rules.from_us + int(rng.random() * (rules.until_us - rules.from_us) * 0.95)
        lasts = 50_000 + int(self._severity * MAX_LASTS_US * rng.random() ** 2)
        until = min(at + lasts, rules.until_us)
        draws: dict[str, Callable[[], Trouble]] = {
            "lose": lambda: Trouble(kind, at, until, (self._of(rules.may_lose),)),
            "cut": lambda: Trouble(kind, at, until, self._shuffled(), float(self._split())),
            "oneway": lambda: Trouble(kind, at, until, self._shuffled(), float(self._split())),
            "link": lambda: self._link(at, until),
            "slow_disk": lambda: Trouble(kind, at, until, self._some(), 10.0 ** (3.5 + 3 * rng.random())),
            "drift": lambda: Trouble(kind, at, until, self._some(), self._ppm()),
            "twin": lambda: Trouble(
                kind, at, until, (self._of(rules.twin_of or self._names),), how=self._of(rules.twins)
            ),
        }
        return draws.get(kind, lambda: Trouble(kind, at, until, self._some()))()

    def _link(self, at: int, until: int) -> Trouble:
        how = self._of(("loss", "loss", "delay", "doubled", "late"))
        size = self._rng.random() * self._severity
        value = {"loss": 0.9 * size, "delay": 10.0 ** (3 + 3 * size)}.get(how, size)
        nodes = self._some() if self._rng.random() < 0.5 else ()
        return Trouble("link", at, until, nodes, round(value, 3), how)

    def _ppm(self) -> float:
        """As far off as may be, as often as not."""
        part = 2 * self._rng.random() - 1
        if self._rng.random() < 0.5:
            part = 1.0 if part > 0 else -1.0
        return float(round(part * self._rules.drift_ppm))

    def _split(self) -> int:
        """How many are in the first group."""
        return 1 + int(self._rng.random() * (len(self._names) - 1))

    def _of(self, words: Sequence[str]) -> str:
        return words[int(self._rng.random() * len(words))]

    def _shuffled(self) -> tuple[str, ...]:
        return tuple(name for _, name in sorted((self._rng.random(), name) for name in self._names))

    def _some(self) -> tuple[str, ...]:
        if self._rules.aims and self._rng.random() < 0.3:
            return (self._of(self._rules.aims),)
        most = max(int(2.0 * self._severity * len(self._names) * self._rng.random() + 0.5), 1)
        return self._shuffled()[:most]


class Chaos:
    """Does troubles to a cluster; node ids are the names that the troubles were drawn with.

    Attributes:
        aim: The ids of those who have a role now.
    """

    def __init__(
        self, cluster: Cluster, troubles: Sequence[Trouble], aim: Callable[[str], Sequence[str]] | None = None
    ) -> None:
        self._cluster, self._aim = cluster, aim
        self._links: list[Trouble] = []  # those of roads that are on now
        self._good_roads = replace(cluster.links.quality)
        self._held: dict[tuple[str, str], int] = {}  # kind and node: how many troubles are on now
        for number, trouble in enumerate(troubles):
            cluster.engine.at(trouble.at_us, self._begin, trouble, number)

    def _begin(self, t: Trouble, number: int) -> None:
        if self._aim is not None and t.nodes and t.nodes[0] not in self._cluster.nodes:
            t = replace(t, nodes=tuple(self._aim(t.nodes[0])))
            if not t.nodes:
                return
        self._cluster.engine.mark("trouble", t.kind, t.nodes)
        getattr(self, f"_{t.kind}")(t, number)

    def _later(self, t: Trouble, call: Callable[[], None]) -> None:
        self._cluster.engine.at(t.until_us, call)

    def _nodes(self, t: Trouble) -> list[Node]:
        return [self._cluster.nodes[name] for name in t.nodes]

    # --- Processes --------------------------------------------------------------------------------------
    def _down(self, t: Trouble, fate: Fate) -> None:
        for node in self._nodes(t):
            self._cluster.kill(node, fate)
            self._hold("down", node)
            self._later(t, lambda node=node: self._up(node))  # type: ignore[misc]

    def _up(self, node: Node) -> None:
        if self._let("down", node):
            self._cluster.start(node)

    def _kill(self, t: Trouble, number: int) -> None:
        self._down(t, Fate.KEPT)

    def _power(self, t: Trouble, number: int) -> None:
        self._down(t, Fate.UNSYNCED)

    def _lose(self, t: Trouble, number: int) -> None:
        self._down(t, Fate.LOST)

    def _stall(self, t: Trouble, number: int) -> None:
        for node in self._nodes(t):
            self._cluster.stall(node)
            self._hold("stall", node)
            self._later(t, lambda node=node: self._go_on(node))  # type: ignore[misc]

    def _go_on(self, node: Node) -> None:
        if self._let("stall", node):
            self._cluster.go_on(node)

    def _twin(self, t: Trouble, number: int) -> None:
        node = self._nodes(t)[0]
        disk = dict(node.disk.kept) if t.how == "copy" else {}
        twin = self._cluster.add(replace(node.spec, id=f"{node.id}+{number}"), disk)
        twin.clock.drift(0, node.clock.ppm)
        self._cluster.start(twin)
        self._later(t, lambda: self._cluster.kill(twin))

    # --- Roads ------------------------------------------------------------------------------------------
    def _cut(self, t: Trouble, number: int, oneway: bool = False) -> None:
        at = [node.spec.address for node in self._nodes(t)]
        first = int(t.value)
        cut = Cut((tuple(at[:first]), tuple(at[first:])), oneway)
        self._cluster.links.cut(cut)
        self._later(t, lambda: self._cluster.links.heal(cut))

    def _oneway(self, t: Trouble, number: int) -> None:
        self._cut(t, number, oneway=True)

    def _alone(self, t: Trouble, number: int) -> None:
        """Each of some by itself."""
        some = [node.spec.address for node in self._nodes(t)]
        rest = tuple(a for a in self._cluster.at if a not in some)
        cut = Cut((rest, *((a,) for a in some)))
        self._cluster.links.cut(cut)
        self._later(t, lambda: self._cluster.links.heal(cut))

    def _link(self, t: Trouble, number: int) -> None:
        self._links.append(t)
        self._roads()
        self._later(t, lambda: self._better(t))

    def _better(self, t: Trouble) -> None:
        self._links.remove(t)
        self._roads()

    def _roads(self) -> None:
        """The quality of all roads, anew from what is on: the worst of each counts."""
        links = self._cluster.links
        links.quality, links.worse = replace(self._good_roads), {}
        for t in self._links:
            worse = links.worse
            ends = [worse.setdefault(n.spec.address, Quality(0, 0)) for n in self._nodes(t)]
            for one in ends or [links.quality]:
                name = "jitter_us" if t.how == "delay" else t.how
                setattr(one, name, max(getattr(one, name), int(t.value) if t.how == "delay" else t.value))

    def _snap(self, t: Trouble, number: int) -> None:
        for node in self._nodes(t):
            self._cluster.snap(node.spec.address)

    # --- Disks and clocks -------------------------------------------------------------------------------
    def _slow_disk(self, t: Trouble, number: int) -> None:
        for node in self._nodes(t):
            node.disk.delay_us = max(int(t.value), node.disk.delay_us)
            self._hold("slow_disk", node)
            self._later(t, lambda node=node: self._quick(node))  # type: ignore[misc]

    def _quick(self, node: Node) -> None:
        if self._let("slow_disk", node):
            node.disk.delay_us = node.spec.disk_us

    def _bad_disk(self, t: Trouble, number: int) -> None:
        for node in self._nodes(t):
            node.disk.failing = True
            self._hold("bad_disk", node)
            self._later(t, lambda node=node: self._good(node))  # type: ignore[misc]

    def _good(self, node: Node) -> None:
        if self._let("bad_disk", node):
            node.disk.failing = False

    def _drift(self, t: Trouble, number: int) -> None:
        """Clocks keep the rate until another trouble changes it."""
        for node in self._nodes(t):
            node.clock.drift(self._cluster.now_us, int(t.value))

    # --- Overlaps ---------------------------------------------------------------------------------------
    def _hold(self, kind: str, node: Node) -> None:
        self._held[kind, node.id] = self._held.get((kind, node.id), 0) + 1

    def _let(self, kind: str, node: Node) -> bool:
        """Whether that was the last trouble of its kind on the node."""
        self._held[kind, node.id] -= 1
        return self._held[kind, node.id] == 0
