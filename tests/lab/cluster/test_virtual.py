"""The virtual cluster itself: clocks, roads, disks and processes do what they are asked to, and no more."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.lab.cluster.chaos import Chaos, Rules, Trouble, draw
from granitewell.lab.cluster.clock import Clock
from granitewell.lab.cluster.days import Case
from granitewell.lab.cluster.disk import Fate
from granitewell.lab.cluster.hunt import look
from granitewell.lab.cluster.links import Cut, Quality
from granitewell.lab.cluster.search import search
from granitewell.lab.cluster.world import Boot, Cluster, Node, Spec
from granitewell.lab.engine import stream
from granitewell.state_machine import MessageReceived, SendMessage, Store, Stored, TimerFired, Transport

SECOND = 1_000_000
STILL = Quality(delay_us=1_000, jitter_us=0)
Script = Sequence[tuple[int, object]]
PPM = st.integers(-200_000, 200_000)


class Echo:
    """Keeps each event with the time of its clock, and plays a script: its effects when it is woken."""

    def __init__(self, boot: Boot, script: Script = ()) -> None:
        self.boot, self.seen = boot, list[tuple[int, object]]()
        self.script = [(boot.now_us + after, effect) for after, effect in script]

    @property
    def wake_us(self) -> int:
        return self.script[0][0] if self.script else -1

    def handle(self, now_us: int, event: object) -> list[object]:
        self.seen.append((now_us, event))
        effects: list[object] = []
        while isinstance(event, TimerFired) and self.script and self.script[0][0] <= now_us:
            effects.append(self.script.pop(0)[1])
        return effects


def world(*scripts: Script, quality: Quality = STILL, **more: Any) -> tuple[Cluster, list[Node]]:
    """Nodes a, b, ..., each with a script, started."""
    cluster = Cluster(7, replace(quality))
    nodes = []
    for name, script in zip("abcdef", scripts, strict=False):

        def make(boot: Boot, script: Script = script) -> list[Echo]:
            return [Echo(boot, script)]

        nodes.append(cluster.add(Spec(name, name, make, **more)))
    for node in nodes:
        cluster.start(node)
    return cluster, nodes


def heard(node: Node) -> list[bytes]:
    return [e.data for _, e in seen(node) if isinstance(e, MessageReceived)]


def seen(node: Node) -> list[tuple[int, object]]:
    machine = node.machines[0]
    assert isinstance(machine, Echo)
    return machine.seen


# --- Clocks ---------------------------------------------------------------------------------------------
@settings(max_examples=200, deadline=None)
@given(st.integers(0, 10**12), PPM, st.integers(0, 10**10), PPM)
def test_a_clock_gives_the_first_moment_that_shows_a_time(offset: int, ppm: int, at: int, later: int) -> None:
    clock = Clock(offset, ppm)
    before = clock.local(at)
    clock.drift(at, later)
    assert clock.local(at) == before
    for ahead in (1, 999, 10**9 + 7):
        real = clock.real(before + ahead)
        assert clock.local(real) >= before + ahead > clock.local(real - 1)


def test_a_machine_is_woken_by_its_own_clock() -> None:
    cluster, (a,) = world([(SECOND, SendMessage("b", b""))], offset_us=5, ppm=100_000)
    cluster.run(2 * SECOND)
    [(now, event)] = seen(a)
    assert isinstance(event, TimerFired) and now >= 5 + SECOND and now - 5 - SECOND <= 1
    assert a.count.said == 1 and cluster.engine.now_us < SECOND  # a fast clock: it is there early


# --- Roads ----------------------------------------------------------------------------------------------
def many(count: int, to: str, transport: Transport = Transport.DATAGRAM) -> list[tuple[int, object]]:
    return [(1_000 * (k + 1), SendMessage(to, b"%d" % k, transport)) for k in range(count)]


def test_datagrams_are_lost_doubled_and_overtaken_as_often_as_asked() -> None:
    cluster, (_, b) = world(many(2_000, "b"), [], quality=replace(STILL, loss=0.2, doubled=0.1, late=0.05))
    cluster.run(10 * SECOND)
    came = [int(x) for x in heard(b)]
    assert abs(len({*came}) - 1_600) < 80 and abs(len(came) - len({*came}) - 160) < 50
    assert came != sorted(came)


def test_a_stream_keeps_its_order_under_loss_and_loses_what_is_under_way_when_it_breaks() -> None:
    bad = replace(STILL, loss=0.3, jitter_us=5_000)
    cluster, (_, b) = world(many(200, "b", Transport.STREAM), [], quality=bad)
    cluster.run(100_000)
    early = len(heard(b))
    cluster.snap("a")
    cluster.run(60 * SECOND)
    came = [int(x) for x in heard(b)]
    assert came == sorted(came) and early < len(came) < 200  # the rest by a new connection


def test_cuts_are_one_way_if_asked_and_streams_wait_for_a_while() -> None:
    says = [
        (k * SECOND, SendMessage("b", b"%d" % k, transport)) for k in range(1, 12) for transport in Transport
    ]
    back = [(k * SECOND, SendMessage("a", b"%d" % k)) for k in range(1, 12)]
    cluster, (a, b) = world(says, back)
    cut = Cut((("a",), ("b",)), oneway=True)
    cluster.engine.at(2_500_000, cluster.links.cut, cut)
    cluster.engine.at(4_500_000, cluster.links.heal, cut)
    cluster.run(20 * SECOND)
    assert [int(x) for x in heard(a)] == list(range(1, 12))
    streams = [
        int(e.data) for _, e in seen(b) if isinstance(e, MessageReceived) and e.transport is Transport.STREAM
    ]
    datagrams = [
        int(e.data)
        for _, e in seen(b)
        if isinstance(e, MessageReceived) and e.transport is Transport.DATAGRAM
    ]
    assert streams == list(range(1, 12)) and datagrams == [1, 2, *range(5, 12)]


def test_a_stream_gives_up_under_a_long_cut() -> None:
    cluster, (_, b) = world(
        [(k * SECOND, SendMessage("b", b"%d" % k, Transport.STREAM)) for k in range(1, 20)], []
    )
    cut = Cut((("a",), ("b",)))
    cluster.engine.at(2_500_000, cluster.links.cut, cut)
    cluster.engine.at(12_500_000, cluster.links.heal, cut)
    cluster.run(40 * SECOND)
    came = [int(x) for x in heard(b)]
    assert came[:2] == [1, 2] and came[-1] == 19 and 3 not in came and came == sorted(came)


def test_who_is_in_no_group_of_a_cut_reaches_all() -> None:
    stops = Cut((("a", "b"), ("c",))).test()
    assert stops("a", "c") and stops("c", "b") and not stops("a", "b") and not stops("d", "c")


def test_two_processes_at_one_address_share_its_messages() -> None:
    cluster, (_, b) = world(many(100, "b"), [])
    twin = cluster.add(replace(b.spec, id="b+1"))
    cluster.start(twin)
    cluster.run(SECOND)
    assert len(heard(b)) + len(heard(twin)) == 100 and heard(b) and heard(twin)


def test_a_datagram_that_is_too_long_is_the_subjects_fault() -> None:
    cluster, _ = world([(1, SendMessage("b", bytes(1_201)))])
    with pytest.raises(ValueError, match="found 1201 bytes, allowed are 1200"):
        cluster.run(SECOND)


# --- Processes and disks --------------------------------------------------------------------------------
def test_a_stalled_process_hears_late_and_all_of_it() -> None:
    cluster, (_, b) = world(many(50, "b"), [(20_000, Store("k", b"v", 1)), (30_000, Store("k", b"w", 2))])
    cluster.engine.at(25_000, cluster.stall, b)
    cluster.engine.at(3 * SECOND, cluster.go_on, b)
    cluster.run(5 * SECOND)
    late = [now for now, event in seen(b) if isinstance(event, TimerFired)]
    assert late == [20_000, 3 * SECOND] and len(heard(b)) == 50
    assert all(now <= 25_000 or now >= 3 * SECOND for now, _ in seen(b))


def test_a_stalled_socket_holds_so_many_datagrams_and_no_more() -> None:
    cluster, (_, b) = world(many(1_000, "b"), [])
    cluster.stall(b)
    cluster.run(2 * SECOND)
    cluster.go_on(b)
    assert len(heard(b)) == 512


WRITES = [(10_000, Store("k", b"1", 1)), (20_000, Store("k", b"2", 2)), (21_000, Store("k", b"3", 3))]


@pytest.mark.parametrize(
    ("fate", "left"), [(Fate.KEPT, {b"1", b"2", b"3"}), (Fate.UNSYNCED, {b"1"}), (Fate.LOST, {None})]
)
def test_what_a_kill_leaves_of_a_disk(fate: Fate, left: set[bytes | None]) -> None:
    found = set()
    for seed in range(20):
        cluster, (a,) = world(WRITES, disk_us=8_000)
        cluster._rng = stream(seed, "kill")
        cluster.run(22_000)
        cluster.kill(a, fate)
        cluster.run(SECOND)
        cluster.start(a)
        found.add(a.disk.kept.get("k"))
        assert seen(a) == [] and dict(a.machines[0].boot.disk) == a.disk.kept  # type: ignore[attr-defined]
    assert found == left


def test_a_failing_disk_says_so_and_a_slow_one_keeps_the_order() -> None:
    cluster, (a,) = world(WRITES)
    a.disk.delay_us = 500_000
    cluster.engine.at(15_000, setattr, a.disk, "delay_us", 1_000)
    cluster.engine.at(510_500, setattr, a.disk, "failing", True)
    cluster.run(SECOND)
    done = [(now, e.token, e.ok) for now, e in seen(a) if isinstance(e, Stored)]
    assert done == [(510_000, 1, True), (510_000, 2, True), (510_000, 3, True)]
    cluster, (a,) = world(WRITES)
    a.disk.failing = True
    cluster.run(SECOND)
    assert [e.ok for _, e in seen(a) if isinstance(e, Stored)] == [False] * 3 and a.disk.kept == {}


# --- Days -----------------------------------------------------------------------------------------------
def chaotic(seed: int) -> Cluster:
    says = [many(300, to) + many(300, to, Transport.STREAM) for to in "bcda"]
    cluster, nodes = world(*(sorted(s, key=lambda x: x[0]) for s in says))
    rules = Rules(may_lose=("a",), from_us=0, until_us=30 * SECOND)
    Chaos(cluster, draw(stream(seed, "t"), [n.id for n in nodes], 1.0, rules))
    cluster.run(60 * SECOND)
    return cluster


def test_a_day_has_one_digest_and_chaos_ends_as_it_began() -> None:
    digests = [chaotic(seed).digest for seed in (1, 1, 2)]
    assert digests[0] == digests[1] != digests[2]
    for seed in range(8):
        cluster = chaotic(seed)
        for name in "abcd":
            node = cluster.nodes[name]
            assert node.up and not node.stalled and not node.disk.failing and node.disk.delay_us == 2_000
        links = cluster.links
        assert not links.stopped("a", "b") and links.quality == STILL and not links.worse
        assert not any(node.up for name, node in cluster.nodes.items() if "+" in name)


def test_troubles_may_be_aimed_at_a_role() -> None:
    cluster, nodes = world([], [])
    kills = [Trouble("kill", SECOND, 2 * SECOND, (role,)) for role in ("holder", "nobody")]
    Chaos(cluster, kills, lambda role: ["b"] if role == "holder" else [])
    cluster.run(1_500_000)
    assert [node.up for node in nodes] == [True, False]


def test_a_watch_that_finds_something_stops_the_day_there() -> None:
    cluster, (_, b) = world(many(100, "b"), [])
    cluster.watches.append(lambda c, node, event, effects: "seven: found" if b"7" in heard(b) else None)
    broken = cluster.run(SECOND)
    assert broken is not None and (broken.node, broken.text) == ("b", "seven: found")
    assert len(heard(b)) == 8 and cluster.run(2 * SECOND) is broken


def test_a_failing_seed_is_shrunk_to_few_troubles_and_its_command_plays_it_again() -> None:
    found = look("leases", Case(2, 0.5, plant="lost-disk-votes"))
    assert found.outcome.broken is not None and found.case.only is not None
    assert len(found.outcome.done) <= 2 and any(t.kind == "lose" for t in found.outcome.done)
    again = look("leases", found.case)
    assert again.outcome.digest == found.outcome.digest and again.outcome.broken == found.outcome.broken
    words = f"leases --seeds 2 --severity 0.5 --plant lost-disk-votes --only {found.case.only[0]}"
    assert words in found.case.command("leases")


def test_the_search_finds_the_shortest_way_and_knows_when_all_is_seen() -> None:
    def steps(n: int) -> list[tuple[str, int]]:
        return [("add 3", n + 3), ("double", 2 * n)] if n < 20 else []

    seen_all = search(1, steps, lambda n: "")
    assert seen_all.whole and seen_all.states == len({1, *_reach(1)})
    wrong = search(1, steps, lambda n: "eleven" if n == 11 else "")
    assert (wrong.broken, wrong.trace) == ("eleven", ("add 3", "double", "add 3"))
    assert not search(1, steps, lambda n: "", most=3).whole


def _reach(n: int) -> list[int]:
    return [x for m in (n + 3, 2 * n) for x in [m, *_reach(m)]] if n < 20 else []
