"""Tests of the endpoint model: every request ends exactly once.

Waits, paces and books against plain models; each condition and order against what it must do.
"""

from __future__ import annotations

import dataclasses as d
from collections import Counter
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from granitewell.lab import day as world
from granitewell.lab.day import ConnDay, EndpointDay, KindDay, ProbeDay, ReportDay, Stops, Warms
from granitewell.lab.emulator import types as t
from granitewell.lab.emulator.conditions import EFFECTS
from granitewell.lab.emulator.endpoint import Endpoint
from granitewell.lab.emulator.types import Asked, Done, Gone, Hangup, Opened, Order, Ran, Reply
from granitewell.lab.engine import stream
from granitewell.lab.theory import plain_day

CLS = world.ClassDay("a", 1.0, 1000.0, world.Dist.CONSTANT, 0.0, 0.0, 0, 0, 1.0, 0.0, False)
KIND = KindDay("k", 1, 1, 50.0, 0.0, 1.0, 1.0, 0, Warms.TIME, 0.0, Stops.ALL, False, 0, 0, 0.0, 0, 0)
CONN = ConnDay(0.0, 0.0, 0, 0, 10_000, 0.0)
LONG = 10**9


class Rig:
    """An endpoint that is woken in time; `log` has all effects, with their times."""

    def __init__(
        self,
        kind: KindDay = KIND,
        conn: ConnDay = CONN,
        ticks: bool = True,
        started: int = 0,
        speed: float = 1.0,
        **day: Any,
    ) -> None:
        spec = EndpointDay("e", 0, 0, 0, speed, started)
        self.day = d.replace(plain_day(CLS, kind, conn, spec), **day)
        self.end = Endpoint(spec, self.day, stream(1, "e"))
        self.log: list[tuple[int, t.EndpointEffect]] = []
        self.ticks, self.now, self.conns = ticks, 0, 0

    def until(self, at: int) -> None:
        while self.ticks and 0 <= self.end.wake_us <= at:
            self.now = max(self.now, self.end.wake_us)
            self._hand(t.Tick())
        self.now = at

    def give(self, at: int, event: t.EndpointEvent) -> list[t.EndpointEffect]:
        self.until(at)
        return self._hand(event)

    def _hand(self, event: t.EndpointEvent) -> list[t.EndpointEffect]:
        out = self.end.handle(self.now, event)
        self.log += [(self.now, e) for e in out]
        kind = self.day.kinds[0]
        assert self.end.held <= kind.cores * kind.slots_per_core + int(kind.cores * kind.queue_per_core)
        return out

    def open(self, at: int, node: str = "n") -> int:
        self.conns += 1
        self.give(at, Opened(self.conns, node))
        return self.conns

    def ask(
        self,
        at: int,
        rid: str,
        work: float = 1000.0,
        key: int = 0,
        conn: int = 0,
        node: str = "n",
        due: int = 0,
        tenant: int = 0,
    ) -> int:
        conn = conn or self.open(at, node)
        self.give(at, Asked(conn, rid, 0, tenant, key, work, due))
        return conn

    def when(self, kind: type, rid: str) -> int:
        """The time of the one such effect for the request."""
        found = [at for at, e in self.log if type(e) is kind and getattr(e, "rid", "") == rid]
        assert len(found) == 1
        return found[0]

    def outcomes(self) -> dict[str, str]:
        return {e.rid: e.outcome for _, e in self.log if type(e) is Done}

    def order(self, at: int, order: Order) -> list[t.EndpointEffect]:
        return self.give(at, t.Ordered(order))

    def fall(self, at: int, effect: str, on: bool = True, **more: Any) -> None:
        self.give(at, t.ConditionChange(t.Condition(0, effect, **more), on))


CONDITIONS = st.builds(
    t.Condition, st.just(0), st.sampled_from(EFFECTS), keys=st.sampled_from(((), (1, 2))),
    nodes=st.sampled_from(((), ("n",))), before_us=st.sampled_from((-1, 5000)),
    share=st.sampled_from((1.0, 0.5)), factor=st.sampled_from((1.0, 3.0)),
)  # fmt: skip
SOME, WORKS = st.integers(0, 7), st.sampled_from((0.0, 1.0, 700.0, 4000.0))
SCRIPT = st.lists(st.tuples(st.integers(0, 1500), st.one_of(
    st.tuples(st.just("open"), st.sampled_from("nm")),
    st.tuples(st.just("ask"), SOME, SOME, WORKS, st.sampled_from((0, 900, 6000))),
    st.tuples(st.just("ask"), SOME, SOME, st.just(2000.0), st.just(0)),
    st.tuples(st.just("gone"), SOME), st.tuples(st.just("probe"), SOME),
    st.tuples(st.just("fall"), CONDITIONS, st.booleans()),
    st.tuples(st.just("order"), st.sampled_from(list(Order))),
)), max_size=60)  # fmt: skip
KINDS = st.builds(
    KindDay, st.just("k"), st.integers(1, 2), st.integers(1, 2), st.sampled_from((0.0, 1.5, 3.0)),
    st.sampled_from((0.0, 0.3)), st.just(1.0), st.sampled_from((0.2, 1.0)), st.sampled_from((0, 9000)),
    st.sampled_from(list(Warms)), st.sampled_from((0.0, 0.3)), st.sampled_from(list(Stops)), st.booleans(),
    st.sampled_from((0, 800)), st.just(5000), st.sampled_from((0.0, 0.5)), st.just(6000), st.just(2),
)  # fmt: skip
CONNS = st.builds(
    ConnDay, st.just(0.0), st.sampled_from((0.0, 300.0)), st.sampled_from((0, 3000)), st.just(0),
    st.integers(1, 6), st.sampled_from((0.0, 0.4)),
)  # fmt: skip


def play(rig: Rig, script: list[tuple[int, tuple[Any, ...]]]) -> list[str]:
    """Play it out; the requests that a vanished machine has taken along or never got are returned."""
    at, asked, lost, silent, ills = 0, [], [], False, [t.Condition(0, "mute")]
    for k, (gap, (what, *args)) in enumerate(script):
        at += gap
        if what == "open":
            rig.open(at, args[0])
        elif what == "ask":
            rid = str(k)
            asked.append(rid)
            lost += [rid] if silent else []
            rig.ask(at, rid, args[2], args[1], conn=args[0] + 1, due=at + args[3] if args[3] else 0)
        elif what == "order":
            rig.until(at)
            if args[0] is Order.VANISH:
                ended = rig.outcomes()
                lost += [rid for rid in asked if rid not in ended and rid not in lost]
            out = rig.order(at, args[0])
            silent = args[0] is Order.VANISH or (silent and (args[0] is not Order.START or rig.end.fallen))
            assert not (silent and out)
        elif what == "fall":
            ills += [args[0]] if args[1] else []
            rig.give(at, t.ConditionChange(ills[-1], args[1]))  # an end is that of the last that began
        else:
            rig.give(at, Gone(args[0] + 1) if what == "gone" else t.ProbeAsked(args[0] + 1, "load"))
    rig.order(at + 100_000, Order.STOP)
    return lost


@settings(max_examples=400, deadline=None, derandomize=True)
@given(KINDS, CONNS, st.booleans(), SCRIPT)
def test_each_request_ends_once_and_is_answered_at_most_once(kind, conn, deep, script):  # type: ignore[no-untyped-def]
    noisy, probe = d.replace(CLS, attempt_noise=0.5), ProbeDay(True, 200.0, 100.0, deep, 0)
    rig = Rig(kind, conn, classes=(noisy,), probe=probe, report=ReportDay(("queue",), 700, 300, 0.2))
    lost = play(rig, script)
    ends = Counter(e.rid for _, e in rig.log if type(e) is Done)
    asked = [str(k) for k, (_, (what, *_)) in enumerate(script) if what == "ask"]
    assert {rid: ends[rid] for rid in asked} == {rid: int(rid not in lost) for rid in asked}
    answers = Counter(e.rid for _, e in rig.log if type(e) is Reply and e.rid)
    assert all(n == 1 for n in answers.values()) and set(answers) <= set(ends)
    ran = {e.rid: (at, e.work_us) for at, e in rig.log if type(e) is Ran}
    for at, e in rig.log:
        if type(e) is Done and e.outcome == "ok":
            assert at - ran[e.rid][0] >= ran[e.rid][1] * (1.0 - kind.memory_gain) - 1.0


@settings(max_examples=150, deadline=None, derandomize=True)
@given(KINDS, CONNS, SCRIPT)
def test_late_ticks_give_the_same_effects(kind, conn, script):  # type: ignore[no-untyped-def]
    assume(("order", Order.VANISH) not in [what for _, what in script])  # what was due before is never told
    logs = []
    for ticks in (True, False):
        rig = Rig(kind, conn, ticks=ticks, report=ReportDay(("queue", "util", "qps"), 700, 300, 0.2))
        play(rig, script)
        logs.append([e for _, e in rig.log])
    assert logs[0] == logs[1]


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(1, 3), st.lists(st.tuples(st.integers(0, 900), st.integers(1, 3000), st.booleans())))
def test_waiting_is_in_order_of_arrival_and_slots_are_never_idle(cores, script):  # type: ignore[no-untyped-def]
    rig = Rig(d.replace(KIND, cores=cores, stops=Stops.QUEUED))
    at, free, expect = 0, [0.0] * cores, []
    for k, (gap, work, leaves) in enumerate(script):
        at += gap
        conn = rig.ask(at, str(k), work)
        begin = max(at, min(free))
        if leaves and begin > at:  # gone while it waits: it takes no slot
            rig.give(at, Gone(conn))
            continue
        free[free.index(min(free))] = begin + work
        expect.append((str(k), begin))
    rig.until(LONG)
    assert [(e.rid, at) for at, e in rig.log if type(e) is Ran] == expect


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.floats(0.05, 0.9), st.integers(1000, 10**7), st.integers(0, 10**7), st.floats(1.0, 10**7),
       st.lists(st.integers(1, 10**7), max_size=5))  # fmt: skip
def test_a_cold_process_works_at_the_closed_form_pace(cold_from, cold_us, begin, work, looks):  # type: ignore[no-untyped-def]
    rig = Rig(d.replace(KIND, cold_from=cold_from, cold_us=cold_us), started=50, speed=0.8)
    rig.order(50, Order.START)
    rig.ask(50 + begin, "r", work)
    for at in sorted(looks):  # looking at it in between must change nothing
        rig.give(max(rig.now, 50 + begin + at), t.Tick())
    rig.until(LONG)

    def done(at: float) -> float:  # work done from the start of the process, by the integral of the ramp
        ramp = min(at, cold_us)
        return float(0.8 * (cold_from * ramp + (1 - cold_from) * ramp * ramp / (2 * cold_us) + at - ramp))

    took = rig.when(Reply, "r") - 50
    assert done(took - 1) - done(begin) <= work + 1e-3
    assert done(took) - done(begin) >= work - 1e-3


def test_work_warms_sooner_than_time_and_never_later() -> None:
    shares: dict[bool, list[float]] = {}
    for busy in (False, True):
        rig = Rig(d.replace(KIND, cold_from=0.2, cold_us=100_000, warms=Warms.WORK), started=1)
        rig.order(1, Order.START)
        if busy:
            rig.ask(1, "r", 10**6)
        shares[busy] = []
        for at in range(1, 100_002, 5000):
            rig.until(at)
            shares[busy].append(rig.end.warm_share(at))
    line = [0.2 + 0.8 * k / 20 for k in range(21)]
    assert shares[False] == pytest.approx(line)
    assert all(b >= a - 1e-9 for a, b in zip(line, shares[True], strict=True))
    assert 0.55 < next(k for k, share in enumerate(shares[True]) if share >= 1.0) / 20 < 0.75


def test_crowding_connections_and_handshakes_cost_capacity() -> None:
    rig = Rig(d.replace(KIND, thrash=0.5, thrash_at=2.0))
    rig.ask(0, "a", 1000.0)
    rig.ask(0, "b", 1000.0)  # two held: not crowded yet
    rig.ask(400, "c", 1000.0)  # three: 1 / (1 + 0.5 * (3 / 2 - 1)) of the pace while all are there
    rig.until(LONG)
    assert (rig.when(Done, "a"), rig.when(Done, "b"), rig.when(Done, "c")) == (1150, 2150, 3150)
    rig = Rig(conn=d.replace(CONN, cap=4, full_tax=0.4))
    for _ in range(3):
        rig.open(0)
    rig.ask(0, "a", 600.0)  # four of four open: 0.6 of the pace
    rig.until(LONG)
    assert rig.when(Done, "a") == 1000
    assert rig.give(rig.now, Opened(99, "n")) == [t.Refuse(99)]
    rig.give(rig.now, Gone(1))
    assert rig.give(rig.now, Opened(100, "n")) == [t.Accept(100)]
    rig = Rig(conn=d.replace(CONN, handshake_us=200.0))
    rig.ask(0, "a", 1000.0)  # its own handshake first
    rig.ask(300, "b", 100.0)  # whose handshake shares the core with a, and which waits for a's slot
    rig.until(LONG)
    assert (rig.when(Ran, "a"), rig.when(Done, "a"), rig.when(Done, "b")) == (200, 1400, 1500)
    rig = Rig(d.replace(KIND, slots_per_core=2))  # which share the core
    rig.ask(0, "a", 1000.0)
    rig.ask(0, "b", 300.0)
    rig.until(LONG)
    assert (rig.when(Done, "b"), rig.when(Done, "a")) == (600, 1300)


def test_the_expected_time_is_the_time_it_takes() -> None:
    rig = Rig(speed=0.5)
    for k in range(4):
        rig.ask(100 * k, str(k), 700.0)
    rig.until(1000)
    expected = rig.end.expected_us(1000, 0)
    rig.ask(1000, "r", 1000.0)
    rig.until(LONG)
    assert rig.when(Done, "r") - 1000 == pytest.approx(expected, abs=2)
    rig.order(LONG, Order.DRAIN)
    assert rig.end.expected_us(LONG, 0) == float("inf")


@pytest.mark.parametrize("stops, drops, by_gone, by_time", [
    (Stops.NONE, False, ("ok", "ok"), ("ok", "ok")),
    (Stops.QUEUED, False, ("ok", "dropped"), ("ok", "dropped")),
    (Stops.ALL, False, ("stopped", "dropped"), ("stopped", "dropped")),
    (Stops.NONE, True, ("ok", "ok"), ("ok", "full")),
    (Stops.ALL, True, ("stopped", "dropped"), ("stopped", "full")),
])  # fmt: skip
def test_what_a_cancel_and_lateness_stop(stops: Any, drops: bool, by_gone: Any, by_time: Any) -> None:
    for due, expected in ((0, by_gone), (500, by_time)):
        rig = Rig(d.replace(KIND, stops=stops, drops_expired=drops))
        conns = [rig.ask(0, rid, due=due) for rid in ("runs", "waits")]
        for conn in reversed(conns) if not due else ():
            rig.give(500, Gone(conn))
        rig.until(LONG)
        ends = rig.outcomes()
        assert (ends["runs"], ends["waits"]) == expected
        answered = {e.rid: e.kind for _, e in rig.log if type(e) is Reply}
        assert answered == ({rid: end for rid, end in ends.items() if end in ("ok", "full")} if due else {})
        if ends["waits"] != "ok":
            assert rig.when(Done, "waits") == 500


def test_idle_connections_are_closed_in_good_order_and_busy_ones_are_not() -> None:
    rig = Rig(conn=d.replace(CONN, idle_us=5000))
    never, used, long = rig.open(0), rig.open(0), rig.open(0)
    rig.ask(1000, "a", 500.0, conn=used)
    rig.ask(4000, "b", 8000.0, conn=long)
    rig.until(LONG)
    closed = [(at, e.conn, e.reset) for at, e in rig.log if type(e) is Hangup]
    assert closed == [(5000, never, False), (6500, used, False), (17_000, long, False)]
    assert rig.give(LONG, Asked(used, "c", 0, 0, 0, 1.0, 0)) == [Hangup(used, True), Done("c", "died")]


def test_a_second_request_on_a_busy_connection_breaks_it() -> None:
    rig = Rig()
    conn = rig.ask(0, "a")
    out = rig.give(100, Asked(conn, "b", 0, 0, 0, 1.0, 0))
    assert out == [Hangup(conn, True), Done("a", "stopped"), Done("b", "died")]
    assert rig.give(101, Gone(conn)) == [] and rig.end.connections == 0


@pytest.mark.parametrize("effect, factor, at, answer, outcome", [
    ("hang", 1.0, None, None, None), ("slow", 3.0, 3000, "ok", "ok"), ("late", 700.0, 1700, "ok", "ok"),
    ("error", 1.0, 1000, "error", "error"), ("error", 0.25, 250, "error", "error"),
    ("full", 1.0, 0, "full", "full"), ("reset", 1.0, 1000, None, "spoilt"),
    ("spoilt", 1.0, 1000, "spoilt", "spoilt"), ("silent_head", 1.0, 1000, "head", "spoilt"),
    ("speed", 4.0, 4000, "ok", "ok"),
])  # fmt: skip
def test_the_effect_of_each_condition(effect: str, factor: float, at: Any, answer: Any, outcome: Any) -> None:
    rig = Rig()
    rig.fall(0, effect, factor=factor)
    conn = rig.ask(0, "r")
    assert effect in rig.end.true_condition(0, 0, 0, "n").effects
    rig.until(50_000)
    assert [(when, e.kind) for when, e in rig.log if type(e) is Reply] == [(at, answer)] * bool(answer)
    assert [(when, e.outcome) for when, e in rig.log if type(e) is Done] == [(at, outcome)] * bool(outcome)
    hung_up = [e for _, e in rig.log if type(e) is Hangup]
    assert hung_up == ([Hangup(conn, True)] if effect == "reset" else [])
    rig.fall(50_000, effect, on=False, factor=factor)
    rig.ask(50_000, "well")
    rig.until(60_000)
    assert rig.when(Done, "well") == 51_000
    if effect == "hang":  # it stays hung, in nobody's way, until its connection goes
        assert rig.end.hung == 1 and "r" not in rig.outcomes()
        assert rig.give(60_000, Gone(conn)) == [Done("r", "hung")]


@pytest.mark.parametrize("matcher, hit, missed", [
    ({"tenants": (1,)}, {"tenant": 1}, {"tenant": 0}), ({"keys": (5, 6)}, {"key": 6}, {"key": 7}),
    ({"nodes": ("x",)}, {"node": "x"}, {"node": "n"}), ({"classes": (0,), "keys": (1,)}, {"key": 1}, {}),
    ({"classes": (1,)}, None, {}), ({"before_us": 100}, {"conn": 1}, {}),
])  # fmt: skip
def test_conditions_match(matcher: Any, hit: Any, missed: Any) -> None:
    rig = Rig()
    rig.open(0)
    rig.fall(100, "error", **matcher)
    if hit is not None:
        rig.ask(100, "hit", **hit)
    rig.ask(100, "missed", **missed)
    rig.until(LONG)
    assert rig.outcomes() == ({"hit": "error"} if hit is not None else {}) | {"missed": "ok"}


def test_conditions_combine_and_affect_running_work() -> None:
    rig = Rig(report=ReportDay(("queue",), 100, 0, 0.0))
    rig.ask(0, "r", 1000.0)
    rig.fall(200, "slow", factor=3.0)  # 800 left, at a third
    rig.fall(500, "speed", factor=2.0)  # 700 left, at a sixth
    rig.fall(1100, "slow", on=False, factor=3.0)  # 600 left, at a half
    rig.fall(1100, "late", factor=50.0)
    rig.fall(1100, "mute")
    rig.until(LONG)
    assert rig.when(Reply, "r") == 2350
    assert [e.report for _, e in rig.log if type(e) is Reply] == [None]
    rig.fall(LONG, "hang")
    rig.ask(LONG, "h", 1000.0)
    assert rig.end.hung == 1 and rig.end.held == 0


def test_a_share_of_the_requests_and_refused_connections() -> None:
    rig = Rig()
    rig.fall(0, "error", share=0.3)
    rig.fall(0, "refuse", nodes=("x",))
    conn = rig.open(0)
    for k in range(400):
        rig.ask(2000 * k, str(k), conn=conn)
    rig.until(LONG)
    assert 90 <= Counter(rig.outcomes().values())["error"] <= 150
    assert rig.give(LONG, Opened(77, "x")) == [t.Refuse(77)]
    assert rig.give(LONG, Opened(78, "n")) == [t.Accept(78)]
    assert rig.end.true_condition(0, 0, 0, "n").answered == pytest.approx(0.7)
    with pytest.raises(ValueError, match=r"condition effect: found 'sloth', allowed hang, slow"):
        rig.fall(LONG, "sloth")


def test_orders() -> None:
    rig = Rig()
    first, second = rig.ask(0, "a"), rig.ask(0, "b")
    rig.order(10, Order.DRAIN)
    late = rig.open(20)
    assert rig.give(30, Asked(late, "c", 0, 0, 0, 1.0, 0)) == [Reply(late, "c", "full"), Done("c", "full")]
    rig.until(1500)
    assert rig.outcomes() == {"c": "full", "a": "ok"}
    out = rig.order(1500, Order.STOP)
    assert out == [Hangup(first, True), Hangup(second, True), Hangup(late, True), Done("b", "died")]
    assert rig.give(1600, Opened(50, "n")) == [t.Refuse(50)] and not rig.end.up
    assert rig.order(2000, Order.START) == [] and rig.end.up and not rig.end.draining
    conn = rig.ask(2000, "d")
    assert rig.order(2100, Order.START) == [Hangup(conn, True), Done("d", "died")]
    conn = rig.ask(2200, "e")
    assert rig.order(2300, Order.VANISH) == [] and rig.end.wake_us == -1
    assert rig.give(2400, Opened(60, "n")) == [] and rig.give(2400, Asked(conn, "f", 0, 0, 0, 1.0, 0)) == []
    rig.order(5000, Order.START)
    assert rig.give(5001, Asked(conn, "g", 0, 0, 0, 1.0, 0)) == [Hangup(conn, True), Done("g", "died")]


def test_a_pause_stops_work_and_queues_events_in_order() -> None:
    rig = Rig(conn=d.replace(CONN, idle_us=3000))
    idle = rig.open(0)
    rig.ask(0, "a", 1000.0)
    rig.order(400, Order.PAUSE)
    assert rig.give(500, Opened(90, "n")) == [] == rig.give(500, Opened(91, "n"))
    rig.give(600, Gone(91))  # came and went unseen
    assert rig.ask(700, "b", 100.0, conn=idle) == idle
    rig.until(10_000)
    assert rig.end.wake_us == -1 and not rig.outcomes()
    assert rig.order(10_000, Order.RESUME) == [t.Accept(90)]
    rig.until(LONG)
    assert (rig.when(Done, "a"), rig.when(Done, "b")) == (10_600, 10_700)
    rig = Rig()
    rig.order(0, Order.PAUSE)
    rig.give(1, Opened(1, "n"))
    rig.give(2, Asked(1, "a", 0, 0, 0, 1.0, 0))
    assert rig.order(3, Order.STOP) == [t.Refuse(1), Hangup(1, True), Done("a", "died")]


def test_a_kind_that_pauses_now_and_then() -> None:
    rig = Rig(d.replace(KIND, pause_us=5000, pause_every_us=50_000))
    conn = rig.open(0)
    took = []
    for k in range(400):
        rig.ask(rig.now, str(k), 1000.0, conn=conn)
        asked = rig.now
        while str(k) not in rig.outcomes():
            rig.until(rig.end.wake_us)
        took.append(rig.now - asked)
    assert set(took) == {1000, 6000}
    assert 4 <= took.count(6000) <= 16  # 400 ms of work, one pause to each 50 ms in the mean


COLD = d.replace(KIND, cold_from=0.2, cold_us=10_000_000, queue_per_core=1000.0)


@pytest.mark.parametrize("gap, at", [(0, 674), (900, 873), (1100, -1)])
def test_a_cold_process_ends_when_overloaded_in_any_window(gap: int, at: int) -> None:
    # Requests of 1 ms within 1 s, while it is cold: the one numbered k (from 0) makes it fall where
    # k + 1 > b + 3 sqrt(b) + 1, b = 3 x (0.2 + 0.8 x gap x k / 10 s) x 1000, the last two for chance.
    rig = Rig(COLD, started=1)
    rig.order(1, Order.START)
    for k in range(3000 if gap else 675):
        if not rig.end.fallen:
            rig.ask(1 + gap * k, str(k))
    assert rig.end.fallen == (at >= 0) == any(type(e) is t.Overloaded for _, e in rig.log)
    if at >= 0:
        assert max(map(int, rig.outcomes())) == at and rig.outcomes()[str(at)] == "died"
        assert rig.order(rig.now + 1, Order.START) == [] and not rig.end.up
        assert rig.give(rig.now + 2, Opened(10**6, "n")) == [t.Refuse(10**6)]


def test_a_warm_process_never_ends_from_overload_and_a_new_one_is_cold() -> None:
    rig = Rig(COLD)
    assert rig.end.warm_share(0) == 1.0
    for k in range(900):
        rig.ask(0, str(k))
    assert rig.end.up
    rig.order(500, Order.START)
    assert rig.end.warm_share(500) == 0.2
    rig.ask(500, "one", 10**8)  # one draw from the tail is nobody's fault
    assert rig.end.up


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 4000)), max_size=60))
def test_keys_are_remembered_as_a_plain_list_would(script):  # type: ignore[no-untyped-def]
    rig = Rig(d.replace(KIND, memory_gain=0.5, memory_us=9000, memory_keys=3))
    conn, at = rig.open(0), 0
    met: list[tuple[int, int]] = []
    for k, (key, gap) in enumerate(script):
        at += gap + 1000
        known = any(m == key and at - when <= 9000 for m, when in met)
        rig.ask(at, str(k), 1000.0, key, conn)
        rig.until(at + 1000)
        assert rig.when(Done, str(k)) - at == (500 if key and known else 1000)
        if key:
            met = [(m, when) for m, when in met if m != key][-2:] + [(key, at)]


def test_reports_are_as_old_as_the_day_says() -> None:
    report = ReportDay(("inflight", "queue"), 1000, 300, 0.0)
    rig = Rig(d.replace(KIND, queue_per_core=10_000.0), report=report)
    rig.ask(0, "long", 10**8)
    probe, seen = rig.open(0), []
    for k in range(1, 100):  # the queue grows by one each 100 us: its length is the time of the sample
        rig.ask(100 * k, str(k))
        rig.fall(100 * k + 50, "full")
        rig.ask(100 * k + 50, f"p{k}", conn=probe)
        rig.fall(100 * k + 50, "full", on=False)
        seen.append((100 * k + 50, next(e.report for _, e in reversed(rig.log) if type(e) is Reply)))
    assert seen[1][1] is None
    told = [(at, report) for at, report in seen if report is not None]
    assert told[0][0] <= 1450
    for at, (inflight, queue) in told:
        assert inflight == queue + 1
        assert at - 300 - 1000 - 100 < 100 * queue <= at - 300
    fresh = [at for (_, old), (at, new) in pairwise(told) if old != new]
    assert {b - a for a, b in pairwise(fresh)} == {1000}
    rig.fall(LONG, "lying")
    rig.fall(LONG, "full")
    assert rig.give(LONG, Asked(probe, "x", 0, 0, 0, 1.0, 0))[0] == Reply(probe, "x", "full", (0.0, 0.0))


def test_figures_of_a_report() -> None:
    report = ReportDay(("util", "latency_ms", "qps", "eps"), 10**6, 0, 0.0)
    rig = Rig(d.replace(KIND, cores=2, error_rate=0.25), report=report)
    conn = rig.open(0)
    for k in range(800):  # 100 a second of 4 ms: 0.4 of one core of two
        rig.ask(10_000 * k, str(k), 4000.0, conn=conn)
    rig.until(8 * 10**6)
    util, latency, qps, eps = next(e.report for _, e in reversed(rig.log) if type(e) is Reply) or ()
    assert [util, latency, qps + eps] == pytest.approx([0.2, 4.0, 100.0], rel=0.01)
    assert 15 < eps < 35


@pytest.mark.parametrize("deep, at", [(False, 400), (True, 1200)])
def test_shallow_probes_bypass_the_queue_and_deep_ones_wait_in_it(deep: bool, at: int) -> None:
    rig = Rig(probe=ProbeDay(True, 200.0, 2.0, deep, 0))
    rig.ask(0, "r")
    conn = rig.open(0)
    rig.give(0, t.ProbeAsked(conn, "healthy"))
    rig.until(5000)
    assert [(when, e.kind) for when, e in rig.log if type(e) is Reply and e.rid == ""] == [(at, "probe_ok")]
    assert rig.when(Done, "r") == (1000 if deep else 1200)
    assert rig.give(5000, t.ProbeAsked(conn, "load")) == []
    rig.until(6000)
    assert rig.give(6000, t.ProbeAsked(conn, "load")) == [Reply(conn, "", "probe_bad")]  # two a second
    rig.order(10**7, Order.DRAIN)
    assert rig.give(10**7, t.ProbeAsked(conn, "load")) == [Reply(conn, "", "probe_bad")]


def test_impossible_values_are_rejected() -> None:
    with pytest.raises(ValueError, match="endpoint e: cores: found 0, allowed from 1"):
        Rig(d.replace(KIND, cores=0))
