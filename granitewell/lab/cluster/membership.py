"""Days of members in the virtual cluster: a few of them, chaos, and a quiet end at which all have to agree.

It owns how a day is made of a seed. What must hold is in `membership_watch`; sizes and times are measured in
`membership_measure`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from granitewell.lab.cluster.chaos import Chaos, Trouble, draw
from granitewell.lab.cluster.chaos import Rules as ChaosRules
from granitewell.lab.cluster.days import Case, Outcome, Subject
from granitewell.lab.cluster.links import Quality
from granitewell.lab.cluster.membership_plants import PLANTS, planted
from granitewell.lab.cluster.membership_watch import Watch, agreed
from granitewell.lab.cluster.world import Boot, Broken, Cluster, Make, Spec
from granitewell.lab.engine import stream
from granitewell.membership.state_machine import Membership
from granitewell.membership.types import Config, Parameters
from granitewell.protocols.peers.frames import Key, Keys

KEYS = Keys(Key(b"a key for virtual time alone"))
KINDS = ("kill", "stall", "cut", "oneway", "alone", "link", "drift", "snap", "twin")
CHAOS_UNTIL_US = 60_000_000
QUIET_US = 120_000_000  # a suspicion that nobody shares, a round over the dead, and a comparison of tables
DRIFT_PPM = 100_000
SEEDS = 3


@dataclass(frozen=True, slots=True)
class Site:
    """Members m0000, m0001, ...; the first three are the seeds.

    Attributes:
        joins_us: They start evenly over so long.
    """

    seed: int
    count: int
    quality: Quality = field(default_factory=lambda: Quality(delay_us=300, jitter_us=1_500))
    parameters: Parameters = field(default_factory=Parameters)
    joins_us: int = 0

    @property
    def names(self) -> Sequence[str]:
        """Of all members; their addresses are the same."""
        return [f"m{k:04d}" for k in range(self.count)]

    def cluster(self) -> Cluster:
        """With clocks anywhere and as far off as is allowed; the members start from its beginning."""
        cluster = Cluster(self.seed, self.quality)
        rng = stream(self.seed, "clocks")
        for k, name in enumerate(self.names):
            ppm = round((2 * rng.random() - 1) * DRIFT_PPM)
            offset = int(rng.random() * 1e12)
            node = cluster.add(Spec(name, name, self._make(name), offset_us=offset, ppm=ppm))
            cluster.engine.at(self.joins_us * k // self.count, cluster.start, node)
        return cluster

    def _make(self, name: str) -> Make:
        config = Config(name, name, KEYS, seeds=tuple(self.names[:SEEDS]), parameters=self.parameters)

        def make(boot: Boot) -> list[Membership]:
            return [Membership(config, boot.rng)]

        return make


def size_of(case: Case) -> int:
    """How many members the day has."""
    return case.size or 2 + int(stream(case.seed, "size").random() * 11)


def troubles(case: Case) -> tuple[Trouble, ...]:
    """All of the day's."""
    names = Site(case.seed, size_of(case)).names
    rules = ChaosRules(kinds=KINDS, twins=("empty",), drift_ppm=DRIFT_PPM, until_us=CHAOS_UNTIL_US)
    return draw(stream(case.seed, "chaos"), names, case.severity, rules)


def play(case: Case) -> Outcome:
    """One day."""
    with planted(case.plant):
        return _play(case)


def _play(case: Case) -> Outcome:
    done = tuple(t for k, t in enumerate(troubles(case)) if case.only is None or k in case.only)
    cluster, watch = Site(case.seed, size_of(case)).cluster(), Watch()
    cluster.watches.append(watch.watch)
    Chaos(cluster, done)
    broken = cluster.run(CHAOS_UNTIL_US + QUIET_US)
    text = agreed(cluster) if broken is None else None
    broken = broken or (Broken(cluster.now_us, "", text) if text is not None else None)
    return Outcome(broken, cluster.digest, cluster.now_us / 1e6, _figures(cluster, watch), done)


def _figures(cluster: Cluster, watch: Watch) -> dict[str, float | list[float]]:
    counts = [node.count for node in cluster.nodes.values()]
    lives = watch.lives.values()
    return {
        "lives": len(lives),
        "false_suspicions": sum(len(life.suspected) for life in lives),
        "false_deaths": sum(len(life.died) for life in lives),
        "twins": watch.twins,
        "messages": sum(c.said for c in counts),
        "message_bytes": sum(c.said_bytes for c in counts),
        "handled": sum(c.handled for c in counts),
        "member_s": len(counts) * cluster.now_us / 1e6,
    }


SUBJECT = Subject(play, lambda case: len(troubles(case)), PLANTS)
