"""Planners in the virtual cluster: restarts, lost disks, days of chaos and planted defects.

The exhaustive search of small states is in test_leases_search.py.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from granitewell.lab.cluster.days import Case
from granitewell.lab.cluster.disk import Fate
from granitewell.lab.cluster.leases import KEYS, SUBJECT, cluster_of, planners
from granitewell.lab.cluster.leases_plants import planted
from granitewell.lab.cluster.leases_rules import Rules, holds, planner_of
from granitewell.lab.cluster.links import Cut
from granitewell.lab.cluster.world import Boot, Cluster, Node
from granitewell.leases.record import BLANK, FOUNDED, RECOVERED
from granitewell.leases.state_machine import Leases
from granitewell.leases.types import (
    MAX_LEASE_US,
    Halted,
    Settings,
    State,
    Stop,
)
from granitewell.protocols.peers.leases import (
    Here,
)
from tests.leases import test_state_machine
from tests.leases.planner import (
    FIRST,
    SECOND,
    SteppedPlanner,
)


def running(seed: int, count: int = 3, until_us: int = 12 * SECOND) -> tuple[Cluster, Rules]:
    cluster = cluster_of(seed, count)
    rules = Rules(tuple(cluster.nodes))
    rules.begin(cluster, 10**12)
    for node in list(cluster.nodes.values()):
        cluster.start(node)
    assert cluster.run(until_us) is None
    return cluster, rules


def starts(settings: Settings) -> Callable[[Boot], list[Leases]]:
    return lambda boot: [Leases(settings, boot.rng, boot.now_us, boot.disk)]


def holder(cluster: Cluster) -> Node:
    [node] = [node for node in cluster.nodes.values() if holds(cluster, node)]
    return node


def until(cluster: Cluster, true: Callable[[], bool], at_most_s: int = 60) -> None:
    """Let time pass until something is so; all that must hold holds meanwhile."""
    end = cluster.now_us + at_most_s * SECOND
    cluster.engine.at(end, lambda: None)
    while not true():
        assert cluster.now_us < end, "it never came to be"
        assert cluster.run(min(cluster.now_us + SECOND // 10, end)) is None, cluster.broken


def machines(cluster: Cluster) -> Iterator[Leases]:
    for node in cluster.nodes.values():
        machine = planner_of(node)
        if machine is not None:
            yield machine


@pytest.mark.parametrize("count", [3, 4, 5, 7])
def test_new_planners_found_themselves_and_one_leads(count: int) -> None:
    cluster, rules = running(1, count)
    first = holder(cluster)
    assert {m.participant.record.vote_status for m in machines(cluster)} == {FOUNDED}
    assert len({m.follows for m in machines(cluster)} - {("", -1)}) == 1
    cluster.kill(first)
    until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values()))
    assert holder(cluster) is not first and len(rules.terms) >= 2


def test_half_of_new_planners_do_not_found_themselves_and_a_minority_never_leads() -> None:
    cluster = cluster_of(1, 4)
    for name in ("p1", "p2", "p3"):
        cluster.start(cluster.nodes[name])
    cluster.run(60 * SECOND)
    assert {m.participant.record.vote_status for m in machines(cluster)} == {BLANK}
    cluster, _ = running(2, 4)
    cut = Cut((("p1", "p2"), ("p3", "p4")))
    cluster.links.cut(cut)
    cluster.run(30 * SECOND)
    assert not any(holds(cluster, n) for n in cluster.nodes.values())
    cluster.links.heal(cut)
    until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values()))


def test_a_lost_disk_comes_back_by_oath_waits_and_votes_in_higher_terms_only() -> None:
    cluster, _ = running(3)
    term = next(iter(machines(cluster))).term
    lost = next(n for n in cluster.nodes.values() if not holds(cluster, n))
    cluster.kill(lost, Fate.LOST)
    cluster.run(20 * SECOND)
    cluster.start(lost)
    machine = planner_of(lost)
    assert machine is not None and machine.state is State.BLANK
    until(cluster, lambda: machine.state is not State.BLANK)
    sworn_at = lost.clock.local(cluster.now_us)
    assert machine.participant.record.vote_status == RECOVERED and machine.term >= term
    assert machine.participant.promise.to is None
    assert machine.participant.promise.until_us >= sworn_at + MAX_LEASE_US
    until(cluster, lambda: machine.participant.record.voted is not None)
    assert machine.term > term


def test_a_founder_that_loses_its_disk_founds_nothing_again() -> None:
    cluster, _ = running(4)
    first = cluster.nodes["p1"]
    incarnation = first.machines[0].participant.record.incarnation  # type: ignore[attr-defined]
    cluster.kill(first, Fate.LOST)
    cluster.start(first)
    machine = planner_of(first)
    assert machine is not None
    until(cluster, lambda: machine.state is not State.BLANK)
    assert (
        machine.participant.record.vote_status == RECOVERED
        and machine.participant.record.incarnation > incarnation
    )


def test_a_lost_majority_stays_without_a_leader_until_the_operator_begins_a_new_epoch() -> None:
    cluster, rules = running(5)
    for name in ("p1", "p2"):
        cluster.kill(cluster.nodes[name], Fate.LOST)
        cluster.start(cluster.nodes[name])
    cluster.run(cluster.now_us + 60 * SECOND)
    assert not any(holds(cluster, n) for n in cluster.nodes.values())
    for node in cluster.nodes.values():
        cluster.kill(node)
        node.spec = replace(node.spec, make=starts(Settings(node.id, planners(3), KEYS, epoch=2)))
        cluster.start(node)
    until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values()))
    assert max(rules.terms) > FIRST + FIRST > min(rules.terms)


def test_a_holder_that_is_stopped_for_longer_than_its_lease_wakes_up_as_nobody() -> None:
    cluster, _ = running(6)
    first, machine = holder(cluster), planner_of(holder(cluster))
    cluster.stall(first)
    until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values() if n is not first))
    assert machine is not None and machine.candidacy.state is State.HOLDER  # as it still believes
    cluster.go_on(first)
    assert machine.state is not State.HOLDER


def test_handing_over_takes_a_moment_and_nobody_leads_in_between() -> None:
    cluster, rules = running(7)
    for _ in range(4):
        first = holder(cluster)
        cluster.tell(first, Stop())
        until(cluster, lambda: any(holds(cluster, n) for n in cluster.nodes.values()), at_most_s=1)
        cluster.kill(first)
        cluster.start(first)
        cluster.run(cluster.now_us + 8 * SECOND)
    assert len(rules.terms) == 5


@pytest.mark.parametrize("disk", ["copy", "empty"])
def test_a_second_process_of_a_name_refuses_itself_and_the_first_goes_on(disk: str) -> None:
    for seed in range(5):
        cluster, _ = running(seed + 10)
        first = holder(cluster)
        spec = replace(first.spec, id="twin")
        twin = cluster.add(spec, dict(first.disk.kept) if disk == "copy" else None)
        cluster.start(twin)
        until(cluster, lambda twin=twin: twin.machines[0].state is State.REFUSED, at_most_s=10)  # type: ignore[misc]
        assert first.machines[0].state is not State.REFUSED  # type: ignore[attr-defined]
        cluster.kill(twin)
        until(cluster, lambda cluster=cluster: any(holds(cluster, n) for n in cluster.nodes.values()))  # type: ignore[misc]


def test_a_former_self_that_is_dead_is_not_taken_for_a_twin() -> None:
    planner = SteppedPlanner()
    old = planner.machine.participant.boot
    planner.wait(SECOND)
    planner.start()
    effects = planner.hear("p2", old, Here(50 * SECOND))
    assert planner.state() == "follower" and not any(isinstance(e, Halted) for e in effects)
    planner.hear("p2", old, Here(50 * SECOND, planner.machine.participant.boot))  # it answers us: it is alive
    assert planner.state() == "refused"


@pytest.mark.parametrize("severity", [0.4, 1.0])
def test_days_of_chaos(severity: float) -> None:
    led = 0.0
    for seed in range(1, 6):
        outcome = SUBJECT.play(Case(seed, severity))
        assert outcome.broken is None, f"{outcome.broken}: {Case(seed, severity).command('leases')}"
        terms = outcome.figures["terms"]
        led += terms if isinstance(terms, float | int) else 0
    assert led >= 5  # somebody led on each day, or the days show nothing


@pytest.mark.parametrize(
    ("plant", "seed", "severity", "rule"),
    [
        ("vote-unwritten", 1, 0.5, "unwritten"), ("lease-unshortened", 1, 0.5, "outlived"),
        ("lost-disk-votes", 2, 0.5, "term-fell"), ("counted-late", 1, 1.0, "outlived"),
        ("disk-trusted", 1, 1.0, "unwritten"), ("promise-forgotten", 20, 1.0, "two-holders"),
        ("promise-broken", 27, 1.0, "two-holders"), ("term-ge", 49, 1.0, "voted-twice"),
    ],
)  # fmt: skip
def test_days_that_find_what_was_planted(plant: str, seed: int, severity: float, rule: str) -> None:
    assert SUBJECT.play(Case(seed, severity)).broken is None
    broken = SUBJECT.play(Case(seed, severity, plant=plant)).broken
    assert broken is not None and broken.text.startswith(f"{rule}:")


def test_a_clock_that_is_not_read_is_found_by_the_case_of_a_late_waking() -> None:
    with planted("clock-unread"), pytest.raises(AssertionError):
        test_state_machine.test_the_lease_counts_from_the_request_and_a_late_process_sees_its_expiry()
