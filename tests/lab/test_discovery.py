"""Tests of discovery's updates under random changes, node starts and faults, and of the front's choices."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from granitewell.lab.day import EndpointDay
from granitewell.lab.emulator.discovery import Discovery
from granitewell.lab.emulator.front import STOPPING_DELAY_RANGE_US, Front
from granitewell.lab.emulator.types import Changed, Line, NodeBegins, Tell, Tick
from tests.lab.test_clients import a_day

PERIOD, SPREAD = 100, 250
DELAYS = {"ready": 1_110, "draining": 0, "gone": 750, "vanished": 9_000, "": 0}


def line(name: str, state: str = "ready", started: int = 0) -> Line:
    return Line(name, 0, 0, 0, state, started)


class Rig:
    """A shell of discovery; keeps what is true and what each node's process holds, and checks each Tell."""

    def __init__(self, endpoints: int = 2) -> None:
        fleet = tuple(EndpointDay(f"e{k}", 0, 0, 0, 1.0, 0) for k in range(endpoints))
        self.model = Discovery(replace(a_day(), endpoints=fleet))
        self.now, self.hushed = 0, False
        self.lates = [(0, 0)]  # (since when, how much later)
        self.true = {e.id: line(e.id) for e in fleet}
        self.causes = [(0, "", x) for x in self.true.values()]  # (when, how, the line told)
        self.held: dict[str, dict[str, Line]] = {}
        self.last: dict[str, tuple[bool, int]] = {}  # whether this process was told the whole, last revision
        self.told: list[Tell] = []

    def run(self, until: int) -> None:
        while 0 <= (wake := self.model.wake_us) <= until:
            self.now = max(self.now, wake)
            self.take(self.model.handle(self.now, Tick()))
        self.now = until

    def take(self, tells: list[Tell]) -> None:
        self.told += tells
        for tell in tells:
            begun, revision = self.last[tell.node]
            assert tell.at_us == self.now and not self.hushed and (tell.whole or begun)
            assert tell.revision > revision or (not begun and tell.revision == revision)
            self.last[tell.node] = True, tell.revision
            held = {} if tell.whole else self.held[tell.node]
            for new in tell.lines:
                cause, old = self.cause(new), held.get(new.id)
                early = self.published(cause) + self.model._offset(tell.node) if self.causes[cause][1] else 0
                assert early <= self.now, "told too early"
                assert old != new and (old or new.state != "gone"), "nothing has changed"
                assert old is None or self.cause(old) < cause, "a later state was overtaken"
                held[new.id] = new
            assert tell.whole or len({x.id for x in tell.lines}) == len(tell.lines) > 0
            self.held[tell.node] = {k: x for k, x in held.items() if x.state != "gone"}

    def published(self, cause: int) -> int:
        """When a node without an offset would hear of it."""
        when, how, _ = self.causes[cause]
        at = -(-(when + DELAYS[how]) // PERIOD) * PERIOD
        return at + [extra for since, extra in self.lates if since < max(at, 1)][-1]

    def cause(self, told: Line) -> int:
        return next(k for k, (_, _, x) in enumerate(self.causes) if x == told)

    def change(self, name: str, how: str) -> None:
        """Where it can happen: only what runs drains or dies, only what does not run starts."""
        old = self.true.pop(name, None)
        if (old is None) == (how == "ready") and not (old and old.state == how):
            new = line(name, "gone" if how == "vanished" else how, old.started_us if old else self.now)
            self.causes.append((self.now, how, new))
            self.take(self.model.handle(self.now, Changed(new, how)))
            old = new
        if old and old.state != "gone":
            self.true[name] = old

    def begin(self, node: str) -> None:
        self.last[node], self.held[node] = (False, self.last.get(node, (False, 0))[1]), {}
        self.take(self.model.handle(self.now, NodeBegins(node)))
        assert self.hushed or self.last[node][0], "it is told the whole list at once"

    def hush(self, on: bool) -> None:
        self.hushed = on
        self.model.silent(self.now, on)
        self.run(self.now)

    def late(self, extra: int) -> None:
        self.lates.append((self.now, extra))
        self.model.late(self.now, extra)

    def moved(self) -> None:
        self.model.moved(self.now)

    def check_not_late(self) -> None:
        """What was long enough ago is held by every node, or something newer."""
        newest, latest = {}, max(extra for _, extra in self.lates)
        for k, (when, how, new) in enumerate(self.causes):
            if when + DELAYS[how] + PERIOD + latest + SPREAD < self.now:
                newest[new.id] = k
        for held in self.held.values():
            for name, k in newest.items():
                if name in held:
                    assert self.cause(held[name]) >= k
                else:
                    assert any(x.id == name and x.state == "gone" for _, _, x in self.causes[k:])


HOWS = st.sampled_from(sorted(DELAYS)[1:])
CHANGE = st.tuples(st.just("change"), st.sampled_from(["e0", "e1", "e2"]), HOWS)
STEP = CHANGE | CHANGE | st.one_of(
    st.tuples(st.just("begin"), st.sampled_from(["n0", "n1", "n2"])), st.tuples(st.just("moved")),
    st.tuples(st.just("hush"), st.booleans()), st.tuples(st.just("late"), st.sampled_from([0, 400, 5_000])),
)  # fmt: skip


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 2_500), STEP), max_size=40))
@example([(1, ("hush", True)), (9, ("change", "e2", "ready")), (2_000, ("change", "e2", "gone")),
          (2_000, ("hush", False))])  # fmt: skip
@example([(1, ("change", "e0", "draining")), (99, ("change", "e1", "draining")), (850, ("begin", "n0"))])
def test_nodes_get_correct_updates_late_and_in_order(steps: list[tuple[int, tuple[str, ...]]]) -> None:
    rig = Rig()
    rig.begin("n8")
    for wait, (what, *args) in steps:
        rig.run(rig.now + wait)
        if not rig.hushed:
            rig.check_not_late()
        getattr(rig, what)(*args)
    rig.hush(False)
    rig.run(rig.now + 60_000)
    assert rig.model.wake_us == -1 and all(held == rig.true for held in rig.held.values())


def test_a_restart_seen_before_the_death_is_a_new_start_time_and_a_replacement_a_new_line() -> None:
    rig = Rig()
    rig.begin("n0")
    rig.change("e0", "vanished")
    rig.change("e1", "gone")
    rig.change("new", "ready")
    rig.run(2_000)
    rig.change("e0", "ready")
    rig.run(60_000)
    lines = (line("e1", "gone"),), (line("new"),), (line("e0", started=2_000),)
    assert tuple(x.lines for x in rig.told[1:]) == lines


def test_a_period_is_one_tell_and_nodes_have_offsets_of_their_own() -> None:
    rig = Rig(6)
    for k in range(40):
        rig.begin(f"n{k}")
    for k in range(4):
        rig.change(f"e{k}", "gone")
    rig.model.handle(0, Changed(line("e5"), "ready"))  # as the list says already
    rig.run(30_000)
    rig.moved()
    rig.run(60_000)
    assert [(x.whole, x.revision, len(x.lines)) for x in rig.told] == (
        [(True, 1, 6)] * 40 + [(False, 2, 4)] * 40 + [(True, 3, 2)] * 40
    )
    times = [x.at_us for x in rig.told[40:80]]
    assert min(times) >= 800 and max(times) <= 800 + SPREAD and len(set(times)) > 25


def test_memory_is_bounded_and_an_unknown_change_is_rejected() -> None:
    rig = Rig()
    rig.begin("n0")
    for k in range(300):
        rig.change(f"e{k + 9}", "ready")
        rig.change(f"e{k}", "vanished")
        rig.run(rig.now + 400)
        m = rig.model
        assert (
            max(len(x) for x in (m._log, m._unpublished, m._tells, m._unpublished_count, m._newest_published))
            < 80
        )
    with pytest.raises(ValueError, match=r"Changed\.how: found 'lost', allowed: ready, draining, gone"):
        rig.model.handle(rig.now, Changed(line("e0"), "lost"))


# --- Front ------------------------------------------------------------------------------------------------
def test_the_front_prefers_live_nodes_of_its_own_zone() -> None:
    f = Front(a_day())

    def picks(now: int, zone: int) -> set[str | None]:
        return {f.pick(now, zone) for _ in range(200)}

    for name, zone in (("a0", 0), ("a1", 0), ("b0", 1)):
        f.node_up(0, name, zone)
    assert picks(0, 0) == {None}  # none is ready
    f.node_ready(1, "b0")
    assert picks(1, 0) == {"b0"}  # another zone's, for want of one
    f.node_ready(2, "a0")
    f.node_ready(2, "a1")
    assert (picks(2, 0), picks(2, 1), picks(2, 2)) == ({"a0", "a1"}, {"b0"}, {"a0", "a1", "b0"})
    f.node_down(1_000, "a0")
    f.node_down(1_000, "a1")
    f.node_up(1_500, "a0", 0)
    f.node_up(1_500, "a1", 0)
    f.node_ready(1_600, "a1")
    assert picks(2_999, 0) == {"a0", "a1"}  # nothing noticed yet
    assert picks(3_000, 0) == {"a1"}  # the other was not ready again by then
    f.node_ready(9_000, "a0")
    assert picks(9_000, 0) == {"a0", "a1"}
    f.node_stopping(10_000, "b0")
    f.node_down(10_001, "b0")
    assert picks(9_999 + STOPPING_DELAY_RANGE_US[0], 1) == {"b0"} and "b0" not in picks(
        10_000 + STOPPING_DELAY_RANGE_US[1], 1
    )


def test_connections_spread_evenly_over_hundreds_of_nodes() -> None:
    f = Front(a_day())
    for k in range(300):
        f.node_up(0, f"n{k}", 0)
        f.node_ready(0, f"n{k}")
    for k in range(0, 300, 3):
        f.node_down(0, f"n{k}")
    got = Counter(f.pick(2_000, 0) for _ in range(40_000))
    spread = sum((n - 200.0) ** 2 / 200.0 for n in got.values())
    assert len(got) == 200 and 130 < spread < 280  # 199 degrees of freedom: mean 199, sd 20
