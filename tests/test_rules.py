"""Tests random legal days against an independent checker of the four rules, and injected violations."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import (
    Abandoned,
    Action,
    Ended,
    Event,
    Fail,
    Field,
    Host,
    Hosts,
    Outcome,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    State,
    Timer,
    View,
)
from tests import wirekit as w
from tests.checker import BrokenRuleError, Checker

IDS = [bytes([10, 0, 0, k, 0, 80]) for k in range(9)]


def listed(k: int, state: State = State.READY, started: float = 0.0) -> Host:
    return Host(IDS[k], k % 2, k % 3, k % 4, state, 1.0, started)


class Day(RuleBasedStateMachine):
    """Feeds one balancer legal events and lets the checker judge."""

    make: Callable[[Settings, int], Balancer] = Balancer

    @initialize(
        parallel=st.booleans(), cancel=st.booleans(), seed=st.integers(0, 1000), ask=st.booleans(),
        hosts=st.integers(0, 9), report=st.booleans(),
    )  # fmt: skip
    def boot(self, parallel: bool, cancel: bool, seed: int, ask: bool, hosts: int, report: bool) -> None:
        fields = (Field.UTIL, Field.QUEUE, Field.SERVED_PER_S, Field.FAILED_PER_S) if report else ()
        self.s = w.settings(parallel_tries=parallel, may_cancel=cancel, must_ask=ask, report_fields=fields)
        self.checker = Checker(self.s)
        self.balancer = type(self).make(self.s, seed)
        self.now, self.next_id = 0.0, 0
        self.timers: list[float] = []
        self.out: list[tuple[int, int, bytes, float, float]] = []
        self.count: dict[int, int] = {}
        self.feed(Hosts(View.CACHED, tuple(listed(k) for k in range(hosts))))

    def feed(self, event: Event) -> None:
        actions: list[Action] = self.balancer.handle(self.now, event)
        self.checker.step(self.now, event, actions)
        for a in actions:
            if isinstance(a, Send):
                n = self.count.get(a.id, 0)
                self.count[a.id] = n + 1
                due = self.checker.open[a.id].due_ms
                limit = min(a.timeout_ms or due, due - self.now)
                self.out.append((a.id, n, a.host, self.now, self.now + limit))
            elif isinstance(a, SetTimer):
                self.timers.append(a.at_ms)

    @rule(ms=st.sampled_from([0.0, 1.0, 7.0, 30.0, 120.0, 400.0, 900.0]))
    def wait(self, ms: float) -> None:
        end = self.now + ms
        while True:
            due = min([t for t in self.timers if t <= end], default=None)
            late = min(self.out, key=lambda o: o[4], default=None)
            if late is not None and late[4] <= min(end, due if due is not None else end):
                self.now = max(self.now, late[4])
                self.end(self.out.index(late), Outcome.TIMEOUT, ())
            elif due is not None:
                self.timers.remove(due)
                self.now = max(self.now, due)
                self.feed(Timer(0))
            else:
                break
        self.now = end

    @rule(cls=st.integers(0, 2), due=st.floats(5.0, 1000.0), burst=st.integers(1, 4))
    def request(self, cls: int, due: float, burst: int) -> None:
        for _ in range(burst):
            self.next_id += 1
            self.feed(Request(self.next_id, cls, 0, 0, self.now + due, 0.0))

    def end(self, index: int, outcome: Outcome, report: tuple[float, ...]) -> None:
        rid, leg, host, at, _ = self.out.pop(index)
        closed = rid not in self.checker.open or outcome is Outcome.OK
        self.feed(Ended(rid, leg, host, outcome, self.now - at, closed, report))

    @rule(
        which=st.integers(0, 50), outcome=st.sampled_from([Outcome.OK] * 6 + list(Outcome)),
        report=st.lists(st.floats(width=32, allow_nan=True), max_size=4),
    )  # fmt: skip
    def outcome(self, which: int, outcome: Outcome, report: list[float]) -> None:
        if self.out:
            self.end(which % len(self.out), outcome, tuple(report))

    @rule(which=st.integers(0, 50))
    def client_leaves(self, which: int) -> None:
        if self.checker.open:
            self.feed(Abandoned(list(self.checker.open)[which % len(self.checker.open)]))

    @rule(
        changes=st.lists(
            st.tuples(st.integers(0, 8), st.sampled_from([State.READY] * 3 + list(State)), st.booleans()),
            max_size=4,
        ),
        view=st.sampled_from([View.DELTA, View.DELTA, View.FULL, View.FAILED]),
    )
    def news(self, changes: list[tuple[int, State, bool]], view: View) -> None:
        if view is View.FAILED:
            self.feed(Hosts(view, ()))
            return
        hosts = {k: listed(k, s, max(self.now - 300.0, 0.0) if new else 0.0) for k, s, new in changes}
        if view is View.FULL:
            hosts = {k: h for k, h in hosts.items() if h.state is not State.GONE}
        self.feed(Hosts(view, tuple(hosts.values())))

    @rule()
    def bogus(self) -> None:
        for event in (
            Ended(10**9, 0, IDS[0], Outcome.OK, 1.0, True),
            Abandoned(10**9),
            Timer(12345),
        ):
            actions = self.balancer.handle(self.now, event)
            assert not [a for a in actions if isinstance(a, Send) and a.id == 10**9]
            self.checker.step(self.now, Timer(0), actions)
            for a in actions:
                if isinstance(a, Send):
                    n = self.count.get(a.id, 0)
                    self.count[a.id] = n + 1
                    due = self.checker.open[a.id].due_ms
                    limit = min(a.timeout_ms or due, due - self.now)
                    self.out.append((a.id, n, a.host, self.now, self.now + limit))
                elif isinstance(a, SetTimer):
                    self.timers.append(a.at_ms)

    def teardown(self) -> None:
        if hasattr(self, "checker"):
            self.wait(2000.0)
            assert not self.checker.open


QUIET = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None, database=None,
    suppress_health_check=list(HealthCheck), print_blob=False,
)  # fmt: skip


def test_random_days_keep_the_four_rules() -> None:
    run_state_machine_as_test(Day, settings=QUIET)  # type: ignore[no-untyped-call]


def test_an_update_without_a_start_time_makes_no_cold_host_warm() -> None:
    """Found by the random days: a start that was known and is told no more let three requests through."""
    s = w.settings()
    checker, balancer = Checker(s), Balancer(s, 0)
    started, untold = listed(0, State.READY, 100.0), listed(0, State.READY, 0.0)
    events: list[Event] = [Hosts(View.DELTA, (started,)), Hosts(View.DELTA, (untold,))]
    events += [Request(number, 0, 0, 0, 405.0, 0.0) for number in (1, 2, 3)]
    for event in events:
        checker.step(400.0, event, balancer.handle(400.0, event))


def _day(mutate: Callable[[float, Event, list[Action]], list[Action]], *events: tuple[float, Event]) -> None:
    s = w.settings()
    checker, balancer = Checker(s), Balancer(s, 3)
    for now, event in events:
        checker.step(now, event, mutate(now, event, balancer.handle(now, event)))


HOSTS = Hosts(View.FULL, (listed(0), listed(4)))


@pytest.mark.parametrize(
    ("says", "mutate", "events"),
    [
        (
            "rule 1: 1 has no answer",
            lambda now, e, acts: [a for a in acts if not isinstance(a, Fail | Refuse)],
            [(0.0, HOSTS), (1.0, Request(1, 0, 0, 0, 50.0, 0.0)), (90.0, Timer(0))],
        ),
        (
            "rule 1: 1 was answered twice",
            lambda now, e, acts: [*acts, Fail(1)] if now > 60.0 else acts,
            [(0.0, HOSTS), (1.0, Request(1, 0, 0, 0, 50.0, 0.0)), (50.0, Timer(0)), (61.0, Timer(0))],
        ),
        (
            "rule 2: 1 may have run at",
            lambda now, e, acts: [Send(1, IDS[0])] if isinstance(e, Ended) else acts,
            [
                (0.0, HOSTS),
                (1.0, Request(1, 1, 0, 0, 50.0, 0.0)),
                (2.0, Ended(1, 0, IDS[0], Outcome.RESET, 1.0, False)),
            ],
        ),
        (
            "rule 3",
            lambda now, e, acts: [Send(1, IDS[0])] if isinstance(e, Request) else acts,
            [
                (0.0, HOSTS),
                (1.0, Hosts(View.DELTA, (listed(0, State.DRAINING),))),
                (900.0, Request(1, 0, 0, 0, 1000.0, 0.0)),
            ],
        ),
        (
            "rule 4",
            lambda now, e, acts: [Send(e.id, IDS[0])] if isinstance(e, Request) else acts,
            [(9.0, Hosts(View.FULL, (listed(0, State.READY, 8.0),)))]
            + [(10.0 + k, Request(k, 0, 0, 0, 900.0, 0.0)) for k in range(9)],
        ),
    ],
)
def test_the_judge_catches_a_planted_violation(
    says: str,
    mutate: Callable[[float, Event, list[Action]], list[Action]],
    events: list[tuple[float, Event]],
) -> None:
    with pytest.raises(BrokenRuleError, match=says):
        _day(mutate, *events)
