"""Days of planners in the virtual cluster: three to seven of them, chaos, and a quiet end.

It owns how a day is made of a seed and which disks may be lost: those of a minority, as often as may be,
since more than that needs an operator (docs/design/leases.md). What must hold is in `leases_rules`.
"""

from __future__ import annotations

from collections.abc import Callable

from granitewell.lab.cluster.chaos import KINDS, Chaos, Trouble, draw
from granitewell.lab.cluster.chaos import Rules as ChaosRules
from granitewell.lab.cluster.days import Case, Outcome, Subject
from granitewell.lab.cluster.leases_plants import PLANTS, planted
from granitewell.lab.cluster.leases_rules import QUIET_US, Rules, holds, planner_of
from granitewell.lab.cluster.links import Quality
from granitewell.lab.cluster.world import Boot, Broken, Cluster, Node, Spec
from granitewell.lab.engine import stream
from granitewell.leases.state_machine import Leases
from granitewell.leases.types import Settings, Stop
from granitewell.protocols.peers.frames import Key, Keys

FOUNDED_US = 8_000_000  # by then all have come to their votes, where nothing is in the way
CHAOS_UNTIL_US = 60_000_000
CALM_US = 15_000_000  # at the end, for whoever leads to be found and kept
LEASES_US = (3_000_000, 1_000_000)  # a day has one of them
DRIFT_PPM = 100_000
AIMS = ("holder", "voters")  # whoever leads; those who have promised it
KEYS = Keys(Key(b"a key for virtual time alone"))


def planners(count: int) -> tuple[tuple[str, str], ...]:
    """Names and addresses; in the lab they are the same."""
    return tuple((f"p{k}", f"p{k}") for k in range(1, count + 1))


def size_of(case: Case) -> int:
    """How many planners the day has."""
    return case.size or (3, 3, 4, 5, 5, 6, 7)[int(stream(case.seed, "size").random() * 7)]


def troubles(case: Case) -> tuple[Trouble, ...]:
    """All of the day's."""
    names = [name for name, _ in planners(size_of(case))]
    rng = stream(case.seed, "chaos")
    few = tuple(sorted(names, key=lambda _: rng.random())[: (len(names) - 1) // 2])
    early = case.seed % 4 == 0  # from the first moment, but then no disk is lost
    kinds = [kind for kind in KINDS if not early or kind not in ("lose", "twin")]
    return draw(rng, names, case.severity, ChaosRules(
        kinds, may_lose=few, twins=("empty",), twin_of=few, aims=AIMS, drift_ppm=DRIFT_PPM,
        from_us=0 if early else FOUNDED_US, until_us=CHAOS_UNTIL_US,
    ))  # fmt: skip


def cluster_of(seed: int, count: int, lease_us: int = 3_000_000) -> Cluster:
    """Planners with new disks, clocks anywhere and as far off as is allowed; not started yet."""
    cluster = Cluster(seed, Quality(delay_us=300, jitter_us=1_500))
    rng = stream(seed, "clocks")

    def spec(name: str) -> Spec:
        settings = Settings(name, planners(count), KEYS, lease_us=lease_us, drift_ppm=DRIFT_PPM)

        def make(boot: Boot) -> list[Leases]:
            return [Leases(settings, boot.rng, boot.now_us, boot.disk)]

        ppm = (-DRIFT_PPM, DRIFT_PPM, round((2 * rng.random() - 1) * DRIFT_PPM))[int(rng.random() * 3)]
        return Spec(name, name, make, offset_us=int(rng.random() * 1e12), ppm=ppm)

    for name, _ in planners(count):
        cluster.add(spec(name))
    return cluster


def aim(cluster: Cluster, role: str) -> list[str]:
    """Who has that role now."""
    machines = {node.id: planner_of(node) for node in cluster.nodes.values()}
    up = {name: machine.participant for name, machine in machines.items() if machine is not None}
    holders = [name for name in up if holds(cluster, cluster.nodes[name])]
    if role == "holder":
        return holders
    who = [up[name].identity for name in holders]
    return [name for name in up if up[name].promise.to in who and name not in holders]


def play(case: Case) -> Outcome:
    """One day."""
    with planted(case.plant):
        return _play(case)


def _play(case: Case) -> Outcome:
    done = tuple(t for k, t in enumerate(troubles(case)) if case.only is None or k in case.only)
    lease_us = LEASES_US[int(stream(case.seed, "lease").random() * len(LEASES_US))]
    cluster = cluster_of(case.seed, size_of(case), lease_us)
    rules = Rules(tuple(cluster.nodes))
    end = CHAOS_UNTIL_US + QUIET_US + CALM_US
    rules.begin(cluster, end)
    Chaos(cluster, done, lambda role: aim(cluster, role))
    for node in list(cluster.nodes.values()):
        cluster.start(node)
    broken = cluster.run(CHAOS_UNTIL_US + QUIET_US)
    if broken is None and not any(holds(cluster, node) for node in cluster.nodes.values()):
        broken = Broken(cluster.now_us, "", f"no-holder: all has been quiet for {QUIET_US / 1e6:g} s")
    broken = broken or cluster.run(end)
    return Outcome(broken, cluster.digest, cluster.now_us / 1e6, _figures(cluster, rules), done)


# --- Days with one kind of trouble alone ----------------------------------------------------------------
EVERY_US = 15_000_000  # whoever leads goes so often, and is back 5 s later
BACK_US = 5_000_000


def _gone(case: Case, go: Callable[[Cluster, Node], None]) -> Outcome:
    """A day on which nothing happens but that the holder goes. severity: the loss of all datagrams."""
    with planted(case.plant):
        cluster = cluster_of(case.seed, case.size or 3)
        cluster.links.quality.loss = case.severity
        rules, end = Rules(tuple(cluster.nodes)), 20 * EVERY_US
        rules.begin(cluster, end)
        for node in list(cluster.nodes.values()):
            cluster.start(node)

        def leave() -> None:
            for name in aim(cluster, "holder"):
                go(cluster, cluster.nodes[name])
                cluster.engine.at(cluster.now_us + BACK_US, _back, cluster, cluster.nodes[name])

        for k in range(1, 20):
            cluster.engine.at(k * EVERY_US, leave)
        broken = cluster.run(end)
        return Outcome(broken, cluster.digest, cluster.now_us / 1e6, _figures(cluster, rules))


def _back(cluster: Cluster, node: Node) -> None:
    cluster.kill(node)
    cluster.start(node)


def _stop(cluster: Cluster, node: Node) -> None:
    cluster.tell(node, Stop())


def killed(case: Case) -> Outcome:
    """The holder is killed, again and again."""
    return _gone(case, lambda cluster, node: cluster.kill(node))


def stopped(case: Case) -> Outcome:
    """The holder is stopped in good order, again and again."""
    return _gone(case, _stop)


def _figures(cluster: Cluster, rules: Rules) -> dict[str, float | list[float]]:
    counts = [node.count for node in cluster.nodes.values()]
    return {
        "gaps_s": rules.gaps_s,
        "terms": len(rules.terms),
        "lost": rules.lost,
        "refused": rules.refused,
        "messages": sum(c.said for c in counts),
        "message_bytes": sum(c.said_bytes for c in counts),
        "handled": sum(c.handled for c in counts),
        "member_s": len(rules.names) * cluster.now_us / 1e6,
    }


SUBJECT = Subject(play, lambda case: len(troubles(case)), PLANTS)
KILLED = Subject(killed, lambda case: 0, PLANTS)
STOPPED = Subject(stopped, lambda case: 0, PLANTS)
