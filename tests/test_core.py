"""The reducer by plain events: no socket, no clock. Each test names what the core guards against."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from granitewell import core as c
from granitewell.balancing import interface as t
from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import Outcome, State, View
from tests import wirekit as w

SAFE, UNSAFE, KEYED = 0, 1, 2


def member(
    k: int, state: State = State.READY, port: int = 80, started: int = 0, cell: int = 0
) -> c.DiscoveredEndpoint:
    return c.DiscoveredEndpoint(b"s-%d" % k, ("127.0.0.1", port + k), 0, 0, cell, state, 1.0, started)


class Script:
    """A module that does what it is told: what to do with each kind of event."""

    def __init__(self, **plays: Callable[[Any], list[t.Action]]) -> None:
        self.plays, self.seen = plays, list[t.Event]()

    def handle(self, now: float, event: t.Event) -> list[t.Action]:
        self.seen.append(event)
        return self.plays.get(type(event).__name__, lambda _: [])(event)


def send(event: t.Request | t.Ended) -> list[t.Action]:
    return [t.Send(event.id, b"s-0")]


def core(script: c.LoadBalancer, most: int = 100, **changes: Any) -> c.Core:
    node = c.Core(w.settings(parallel_tries=True, may_cancel=True, **changes), script, most)
    node.handle(0, c.EndpointListUpdate(View.FULL, (member(0), member(1, cell=1))))
    node.handle(0, c.Listening())
    return node


def ask(node: c.Core, now: int, inbound: int, cls: int = UNSAFE, timeout: int = 900_000) -> list[c.Effects]:
    return node.handle(now, c.RequestReceived(inbound, cls, 0, 0, timeout, "message"))


def calls(effects: list[c.Effects]) -> list[c.StartCall]:
    return [e for e in effects if isinstance(e, c.StartCall)]


def answers(effects: list[c.Effects]) -> list[c.ResponseStatus]:
    return [e.status for e in effects if isinstance(e, c.SendResponse)]


def wake(node: c.Core, until: int) -> list[c.Effects]:
    out: list[c.Effects] = []
    while 0 <= node.wake_us <= until:
        out += node.handle(node.wake_us, c.TimerExpired())
    return out


def test_the_first_ok_is_the_answer_and_a_later_one_is_nobodys() -> None:
    node = core(Script(Request=lambda e: [*send(e), t.Send(e.id, b"s-1")]))
    first, second = calls(ask(node, 1, 7, SAFE))
    (answer,) = node.handle(2, c.CallEnded(second.call, Outcome.OK, (), "body"))
    assert answer == c.SendResponse(7, c.ResponseStatus.SERVED, "body")
    assert node.handle(3, c.CallEnded(first.call, Outcome.OK, (), "late")) == []
    assert node.handle(4, c.CallEnded(first.call, Outcome.OK, (), "twice")) == []


@pytest.mark.parametrize("outcome", list(Outcome))
def test_an_unsafe_request_goes_out_again_only_if_it_never_ran(outcome: Outcome) -> None:
    """Rule 2, against a module that would send again after anything."""
    script = Script(Request=send, Ended=lambda e: [] if e.final or e.attempt else send(e))
    node = core(script)
    (call,) = calls(ask(node, 1, 7))
    again = calls(node.handle(2, c.CallEnded(call.call, outcome)))
    assert bool(again) == (outcome in c.NEVER_RAN)


def test_a_refusal_of_what_may_have_run_becomes_a_failure() -> None:
    node = core(Script(Request=send, Ended=lambda e: [t.Refuse(e.id, 100.0)]))
    (call,) = calls(ask(node, 1, 7))
    assert answers(node.handle(2, c.CallEnded(call.call, Outcome.RESET))) == [c.ResponseStatus.FAILED]
    (call,) = calls(ask(node, 3, 8))
    assert node.handle(4, c.CallEnded(call.call, Outcome.FULL)) == [
        c.SendResponse(8, c.ResponseStatus.REJECTED, None, 100_000)
    ]


def test_a_keyed_request_stays_in_its_cell_and_window() -> None:
    script = Script(Request=send, Ended=lambda e: [t.Send(e.id, b"s-1"), t.Send(e.id, b"s-0")])
    node = core(script)
    (call,) = calls(ask(node, 1, 7, KEYED))
    (again,) = calls(node.handle(2, c.CallEnded(call.call, Outcome.ERROR)))
    assert again.endpoint == b"s-0"
    assert not calls(node.handle(500_000, c.CallEnded(again.call, Outcome.ERROR)))  # the window is 400 ms


def test_no_more_calls_than_the_site_allows() -> None:
    node = core(Script(Request=send, Ended=send))
    effects, sent = ask(node, 1, 7), 0
    while found := calls(effects):
        sent += 1
        effects = node.handle(2, c.CallEnded(found[0].call, Outcome.FULL))
    assert sent == 4


def test_an_endpoint_that_drains_gets_nothing_new_once_that_is_known() -> None:
    """Rule 3. Its grace counts from when discovery's agent had the news, which may be heard late.

    Once it is heard none of the grace is used.
    """
    node = core(Script(Request=send))
    assert calls(ask(node, 999, 7))
    news = node.handle(1000, c.EndpointListUpdate(View.DELTA, (member(0, State.DRAINING),)))
    assert c.CloseIdle(b"s-0") in news
    assert not calls(ask(node, 1000, 8))
    node.handle(300_000, c.EndpointListUpdate(View.DELTA, (member(0, State.DRAINING),)))
    assert not calls(ask(node, 300_001, 9))
    node.handle(500_000, c.EndpointListUpdate(View.DELTA, (member(0),)))
    assert calls(ask(node, 500_001, 10))
    node.handle(500_002, c.EndpointListUpdate(View.FULL, (member(1),)))  # gone by not being listed
    assert not calls(ask(node, 500_003, 11))


@pytest.mark.parametrize("dialing", [True, False])
def test_every_call_passes_one_gate_before_its_first_byte(dialing: bool) -> None:
    """First or further, pooled or dialed.

    The client is there, the endpoint may be sent to and has not moved, time is left, the class still allows
    it. Pooled calls were asked of the endpoint alone.
    """
    base = w.settings(parallel_tries=True, may_cancel=False)
    classes = (*base.classes[:KEYED], replace(base.classes[KEYED], window_ms=100.0))
    settings = replace(base, classes=classes)

    def goes(*between: tuple[int, c.Event], cls: int = UNSAFE, first_at: int = -1) -> bool:
        script = Script(Request=send, Ended=lambda e: send(e) if e.attempt == 0 and not e.final else [])
        node = c.Core(settings, script, 100)
        node.handle(0, c.EndpointListUpdate(View.FULL, (member(0), member(1, cell=1))))
        node.handle(0, c.Listening())
        (call,) = calls(ask(node, max(first_at, 10), 7, cls))
        if first_at >= 0:  # a further attempt, after one that may have run
            assert node.may_write_call(call.call)
            (call,) = calls(node.handle(first_at + 50_000, c.CallEnded(call.call, Outcome.RESET)))
        now = 50_100
        if dialing:
            node.handle(now, c.CallDialing(call.call))
        for now, event in between:
            node.handle(now, event)
        if dialing:
            return c.WriteCall(call.call) in node.handle(now, c.CallDialed(call.call))
        node.handle(now, c.Listening())  # time passes
        return node.may_write_call(call.call)

    moved = replace(member(0), address=("127.0.0.9", 9))
    assert goes()
    assert not goes((60_000, c.DownstreamClosed(7)))
    assert not goes((60_000, c.EndpointListUpdate(View.DELTA, (member(0, State.DRAINING),))))
    assert not goes((60_000, c.EndpointListUpdate(View.DELTA, (moved,))))
    assert not goes((60_000, c.BanRequested(1, b"s-0")))
    assert not goes((899_500, c.Listening()))
    assert goes((90_000, c.Listening()), cls=KEYED, first_at=10)
    assert not goes((100_011, c.Listening()), cls=KEYED, first_at=10)  # the window has closed during the dial


def test_a_dial_is_looked_at_again_before_the_first_byte() -> None:
    """A dial takes time, in which the client leaves, the time runs out or the endpoint drains."""
    script = Script(Request=send, Abandoned=lambda e: [t.Cancel(e.id, 0)])
    node = core(script)

    def dial(inbound: int, now: int) -> int:
        (call,) = calls(ask(node, now, inbound))
        assert node.handle(now, c.CallDialing(call.call)) == []
        return call.call

    one = dial(1, 0)
    assert node.handle(9, c.CallDialed(one)) == [c.WriteCall(one)]
    two = dial(2, 10)
    assert c.AbandonCall(two) in node.handle(20, c.DownstreamClosed(2))
    assert node.handle(30, c.CallDialed(two)) == []
    three = dial(3, 40)
    assert c.AbandonCall(three) in node.handle(40 + 899_500, c.CallDialed(three))
    four = dial(4, 900_000)
    node.handle(900_001, c.EndpointListUpdate(View.DELTA, (member(0, State.GONE),)))
    assert c.AbandonCall(four) in node.handle(900_001 + 400_000, c.CallDialed(four))
    moot = [e.outcome for e in script.seen if isinstance(e, t.Ended) and e.outcome is Outcome.MOOT]
    assert len(moot) == 2


@pytest.mark.parametrize(("dialing", "says"), [(True, Outcome.UNCONNECTED), (False, Outcome.TIMEOUT)])
def test_a_call_out_of_time_is_given_up(dialing: bool, says: Outcome) -> None:
    """One that was still being dialed never ran; any other may have."""
    script = Script(Request=send)
    node = core(script)
    (call,) = calls(ask(node, 1, 7))
    if dialing:
        node.handle(1, c.CallDialing(call.call))
    assert c.AbandonCall(call.call) in wake(node, 900_001)
    assert [e.outcome for e in script.seen if isinstance(e, t.Ended)] == [says]


def test_a_module_that_forgets_a_request_does_not_cost_its_answer() -> None:
    """Rule 1: the core has the last word, inside the platform's slack of 50 ms."""
    node = core(Script())
    ask(node, 0, 7)
    assert answers(wake(node, 899_999)) == []
    assert answers(wake(node, 900_000 + 49_000)) == [c.ResponseStatus.FAILED]
    assert node.pending_count == 0


@pytest.mark.parametrize("where", ["Request", "Ended", "Timer", "Hosts"])
def test_decisions_that_break_cost_their_own_request_only(where: str) -> None:
    def boom(_: Any) -> list[t.Action]:
        raise RuntimeError("no such thing")

    script = Script(Request=lambda e: [*send(e), t.SetTimer(0.5, 0)])
    node = core(script)
    script.plays[where] = boom
    effects = ask(node, 1, 7) + wake(node, 1000)
    for call in calls(effects):
        effects += node.handle(2, c.CallEnded(call.call, Outcome.ERROR))
    effects += node.handle(3, c.EndpointListUpdate(View.FULL, (member(0),))) + wake(node, 2_000_000)
    assert answers(effects) == [c.ResponseStatus.FAILED]
    assert [e for e in effects if isinstance(e, c.LogLine) and "no such thing" in e.line]


def real(start: int = 0) -> tuple[c.Core, Balancer]:
    """A node with the module itself, ready, with two endpoints, one of which has just started."""
    settings = w.settings(parallel_tries=True, may_cancel=True)
    balancer = Balancer(settings, 1)
    node = c.Core(settings, balancer, 100)
    node.handle(start, c.EndpointListUpdate(View.FULL, (member(0), member(1, started=start))))
    node.handle(start, c.Listening())
    return node, balancer


@pytest.mark.parametrize("where", ["_resize", "_update_weights", "_update_shedding", "_log_state"])
def test_a_defect_in_the_periodic_work_does_not_end_it(where: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """One exception there, and the prefix stayed as it was until the next start.

    For months, where nobody looks.
    """
    node, balancer = real()

    def boom() -> None:
        monkeypatch.undo()
        raise RuntimeError("no such thing")

    monkeypatch.setattr(balancer, where, boom)
    effects = wake(node, 3_000_000)
    assert [
        e for e in effects if isinstance(e, c.LogLine) and e.topic == "fault" and "no such thing" in e.line
    ]
    assert len(balancer._arrival_counts) >= 10
    assert calls(ask(node, 3_000_001, 7))


def test_what_was_decided_before_a_defect_stands(monkeypatch: pytest.MonkeyPatch) -> None:
    """The actions of an event were dropped with the exception.

    The module counted a call as out that nobody made, and the endpoint as busy for good; what else was due
    waited for the next request.
    """
    node, balancer = real()
    overdue = balancer._health.overdue

    def boom(now: float) -> Any:
        balancer._health.overdue = overdue  # type: ignore[method-assign]
        raise RuntimeError("no such thing")

    balancer._health.overdue = boom  # type: ignore[method-assign]
    (call,) = calls(ask(node, 1, 7))
    effects = node.handle(2000, c.CallEnded(call.call, Outcome.OK, (), "a"))
    assert answers(effects) == [c.ResponseStatus.SERVED]
    assert not balancer._in_flight and all(s.in_flight == 0 for s in balancer._servers.values())
    assert node.wake_us >= 0  # its timer runs


def test_after_years_and_a_thousand_million_requests_it_decides_as_on_its_first_day() -> None:
    """Times are whole microseconds and numbers without bound in the core, and floats at the module's door."""

    def served(start: int, last: int) -> int:
        node, balancer = real(start)
        node._last_id, node._timer_sequence, balancer._timer_sequence = last, last, last
        node.stats["taken"] = last
        seen: list[c.Effects] = []
        for k in range(600):
            now = start + 1000 + k * 7_000
            effects = wake(node, now) + ask(node, now, k, k % 2)
            for call in calls(effects):
                effects += node.handle(now + 3_000, c.CallEnded(call.call, Outcome.OK, (), "a"))
            seen += effects
        assert not [e for e in seen if isinstance(e, c.LogLine) and e.topic in ("fault", "guard", "overdue")]
        return answers(seen).count(c.ResponseStatus.SERVED)

    first = served(3_600_000_000, 0)
    assert first > 500
    for start, last in ((400 * 86_400 * 10**6, 10**9), (4 * 10**14, 10**12)):
        assert abs(served(start, last) - first) < 20


def test_a_reducer_that_breaks_answers_the_request_it_broke_on(monkeypatch: pytest.MonkeyPatch) -> None:
    node = core(Script(Request=send))
    (call,) = calls(ask(node, 1, 7))
    monkeypatch.setattr(node, "_end_call", lambda *_: 1 / 0)
    assert answers(node.handle(2, c.CallEnded(call.call, Outcome.OK))) == [c.ResponseStatus.FAILED]
    assert answers(ask(node, 3, 99, cls=77)) == [c.ResponseStatus.FAILED]  # a class that does not exist


def test_a_client_that_leaves_is_owed_nothing() -> None:
    node = core(Script(Request=send, Abandoned=lambda e: [t.Cancel(e.id, 0)]))
    (call,) = calls(ask(node, 1, 7))
    assert node.handle(2, c.DownstreamClosed(7)) == [c.AbandonCall(call.call)]
    assert node.handle(3, c.DownstreamClosed(7)) == []
    assert answers(wake(node, 2_000_000)) == []


@pytest.mark.parametrize("may_cancel", [True, False])
def test_the_call_of_a_body_that_will_never_be_whole_ends_with_its_client(may_cancel: bool) -> None:
    """Where calls may not be called off it stayed for good.

    It has no time-out of its own before its last byte.
    """
    script = Script(Request=send, Abandoned=lambda e: [t.Cancel(e.id, 0)] if may_cancel else [])
    node = core(script)
    (call,) = calls(
        node.handle(1, c.RequestReceived(7, SAFE, 0, 0, 900_000, "message", body_incomplete=True))
    )
    assert node.handle(2, c.DownstreamClosed(7)) == [c.AbandonCall(call.call)]
    assert not node._calls
    assert [e.outcome for e in script.seen if isinstance(e, t.Ended)] == [Outcome.CANCELLED]


def test_a_full_table_refuses_without_asking_the_module() -> None:
    script = Script()
    node = core(script, most=1, retry_after=True, max_retry_after_ms=1200.0)
    ask(node, 1, 7)
    effects = ask(node, 2, 8)
    assert c.SendResponse(8, c.ResponseStatus.REJECTED, None, 1_200_000) in effects
    assert sum(isinstance(e, t.Request) for e in script.seen) == 1


def test_a_time_without_end_is_cut() -> None:
    """A client that names eleven days would hold its place in every table for as long."""
    node = core(Script(Request=send))
    (call,) = calls(ask(node, 0, 1, timeout=999_999_999_000))
    assert call.due_us == c.MIN_TIMEOUT_LIMIT_US


def test_a_new_process_or_address_makes_idle_connections_useless() -> None:
    node = core(Script())
    assert node.handle(1, c.EndpointListUpdate(View.DELTA, (member(0),))) == []
    for changed in (member(0, port=90), member(0, port=90, started=5)):
        assert node.handle(2, c.EndpointListUpdate(View.DELTA, (changed,))) == [c.CloseIdle(b"s-0")]


def test_phases_from_start_to_exit() -> None:
    node = c.Core(w.settings(), Script(Request=send), 100)

    def phase() -> c.Phase:
        return node.phase

    assert phase() is c.Phase.STARTING
    node.handle(0, c.Listening())
    assert phase() is c.Phase.STARTING  # nobody to send to: not able to serve
    node.handle(0, c.EndpointListUpdate(View.CACHED, (member(0),)))
    assert phase() is c.Phase.READY
    (call,) = calls(ask(node, 1, 7, timeout=5_000_000))
    node.handle(2, c.StopRequested())
    assert phase() is c.Phase.DRAINING
    assert c.StopListening() in wake(node, 550_000)
    late = calls(ask(node, 560_000, 8))  # on a connection taken at the last moment
    assert node.handle(570_000, c.CallEnded(call.call, Outcome.OK, (), "a")) == [
        c.SendResponse(7, c.ResponseStatus.SERVED, "a", 0, True)
    ]
    assert not [e for e in wake(node, 700_000) if isinstance(e, c.ExitProcess)]
    last = node.handle(710_000, c.CallEnded(late[0].call, Outcome.OK))
    assert isinstance(last[-1], c.ExitProcess) and phase() is c.Phase.STOPPED


def test_an_idle_node_hears_the_last_connections_before_it_leaves() -> None:
    """What was in the backlog when the listener closed may hold a whole request that is not read yet."""
    node = core(Script(Request=send))
    node.handle(0, c.StopRequested())
    assert [type(e) for e in wake(node, 599_000)] == [c.StopListening]
    (call,) = calls(ask(node, 599_000, 7))
    assert not [e for e in wake(node, 700_000) if isinstance(e, c.ExitProcess)]
    assert type(node.handle(700_001, c.CallEnded(call.call, Outcome.OK))[0]) is c.SendResponse


def test_a_stop_leaves_before_the_platform_kills() -> None:
    node = core(Script())
    ask(node, 1, 7, timeout=60_000_000)
    node.handle(2, c.StopRequested())
    effects = wake(node, 1_000_000 + 700_000)  # the longest deadline is 1 s, and SIGKILL 0.7 s behind it
    assert any(isinstance(e, c.ExitProcess) for e in effects)


@pytest.mark.parametrize("seed", range(12))
def test_random_days_end_each_request_once_and_run_no_ride_twice(seed: int) -> None:
    """The real module under the core, with endpoints, clients and discovery that do as they like."""
    rng = random.Random(seed)
    settings = w.settings(parallel_tries=True, may_cancel=True)
    node = c.Core(settings, Balancer(settings, seed), 100)
    node.handle(0, c.EndpointListUpdate(View.CACHED, tuple(map(member, range(4)))))
    node.handle(0, c.Listening())
    open_calls: dict[int, int] = {}  # call: inbound
    class_of: dict[int, int] = {}
    due: dict[int, int] = {}
    ended, gone, maybe_ran = Counter[int](), set[int](), Counter[int]()
    inbound_of = {}
    now = inbound = 0

    def run(effects: list[c.Effects]) -> None:
        for e in effects:
            if isinstance(e, c.StartCall):
                inbound_of[e.call] = int(str(e.message))
                assert ended[inbound_of[e.call]] == 0 and inbound_of[e.call] not in gone
                open_calls[e.call] = inbound_of[e.call]
                maybe_ran[inbound_of[e.call]] += 1
                assert class_of[inbound_of[e.call]] != UNSAFE or maybe_ran[inbound_of[e.call]] == 1
            elif isinstance(e, c.AbandonCall):
                open_calls.pop(e.call, None)
            elif isinstance(e, c.SendResponse):
                ended[e.downstream_id] += 1
                assert now <= due[e.downstream_id] + 50_000
            elif isinstance(e, c.LogLine):
                assert e.topic not in ("fault", "overdue"), e.line

    for _ in range(600):
        now += rng.randrange(1, 20_000)
        while 0 <= node.wake_us <= now:
            at, real = node.wake_us, now
            now = at
            run(node.handle(at, c.TimerExpired()))
            now = real
        what = rng.random()
        if what < 0.4:
            inbound += 1
            class_of[inbound] = rng.randrange(3)
            timeout = rng.choice([1_000, 200_000, 900_000])
            due[inbound] = now + timeout
            key = rng.randrange(9)
            run(node.handle(now, c.RequestReceived(inbound, class_of[inbound], 0, key, timeout, inbound)))
        elif what < 0.8 and open_calls:
            call = rng.choice(sorted(open_calls))
            outcome = rng.choice([o for o in Outcome if o not in (Outcome.CANCELLED, Outcome.TIMEOUT)])
            asker = open_calls.pop(call)
            if outcome in c.NEVER_RAN:
                maybe_ran[asker] -= 1
            run(node.handle(now, c.CallEnded(call, outcome, (1.0, 2.0), "answer")))
        elif what < 0.9 and inbound:
            leaver = rng.randrange(1, inbound + 1)
            if not ended[leaver]:
                gone.add(leaver)
            run(node.handle(now, c.DownstreamClosed(leaver)))
        else:
            news = tuple(member(k, rng.choice(list(State))) for k in range(rng.randrange(5)))
            run(node.handle(now, c.EndpointListUpdate(rng.choice([View.FULL, View.DELTA]), news)))
    now += 2_000_000
    while 0 <= node.wake_us <= now and node.pending_count:
        real, now = now, node.wake_us
        run(node.handle(now, c.TimerExpired()))
        now = real
    assert node.pending_count == 0
    for k in range(1, inbound + 1):
        assert ended[k] == (k not in gone), k


def streaming(node: c.Core) -> tuple[c.StartCall, list[c.Effects]]:
    """A request whose answer has begun on its first call."""
    call = calls(ask(node, 0, 1, SAFE))[0]
    return call, node.handle(50_000, c.ResponseStarted(call.call, "head"))


def test_an_answer_in_parts_begins_once_and_ends_once_and_has_no_time_of_its_own() -> None:
    script = Script(Request=send)
    node = core(script)
    call, effects = streaming(node)
    assert effects == [c.StartResponse(1, "head")]
    # the module has its ending with the first byte: how quickly the client reads says nothing of the endpoint
    ended_for_it = [e for e in script.seen if isinstance(e, t.Ended)]
    assert [(e.outcome, e.elapsed_ms, e.final) for e in ended_for_it] == [(Outcome.OK, 50.0, True)]
    assert node.handle(60_000, c.ResponsePart(call.call, b"a")) == [c.SendResponsePart(1, b"a")]
    assert not [
        e for e in wake(node, 30_000_000) if isinstance(e, c.SendResponse | c.AbandonCall | c.EndResponse)
    ]
    assert node.handle(31_000_000, c.ResponsePart(call.call, b"b")) == [c.SendResponsePart(1, b"b")]
    ended = c.CallEnded(call.call, Outcome.OK, (), "tail")
    assert node.handle(32_000_000, ended) == [c.EndResponse(1, True, "tail")]
    assert node.pending_count == 0 and node.stats["served"] == 1
    assert len([e for e in script.seen if isinstance(e, t.Ended)]) == 1


def test_an_answer_that_breaks_off_is_seen_to_and_is_sent_nowhere_again() -> None:
    def again(event: t.Ended) -> list[t.Action]:
        return [t.Send(event.id, event.host), t.Refuse(event.id), t.Fail(event.id)]

    node = core(Script(Request=send, Ended=again))
    call, _ = streaming(node)
    effects = node.handle(60_000, c.CallEnded(call.call, Outcome.RESET))
    assert [e for e in effects if not isinstance(e, c.LogLine)] == [c.EndResponse(1, False)]
    assert node.stats["failed"] == 1 and node.pending_count == 0


def test_a_client_that_leaves_a_begun_answer_ends_its_call() -> None:
    node = core(Script(Request=send))
    call, _ = streaming(node)
    assert node.handle(60_000, c.DownstreamClosed(1)) == [c.AbandonCall(call.call)]
    assert node.handle(61_000, c.ResponsePart(call.call, b"x")) == []


def test_the_first_answer_that_begins_ends_the_second_copy() -> None:
    def twice(event: t.Request) -> list[t.Action]:
        return [t.Send(event.id, member(0).id), t.Send(event.id, member(1).id)]

    node = core(Script(Request=twice))
    first, second = calls(ask(node, 0, 1, SAFE))
    effects = node.handle(10_000, c.ResponseStarted(second.call, "head"))
    assert effects == [c.StartResponse(1, "head"), c.AbandonCall(first.call)]
    assert node.handle(11_000, c.ResponseStarted(first.call, "late head")) == []
    assert node.stats["call_cancelled"] == 1


def test_a_module_that_refuses_what_has_begun_changes_nothing() -> None:
    def late(event: t.Ended) -> list[t.Action]:
        return [t.Refuse(event.id), t.Fail(event.id), t.Send(event.id, member(1).id)]

    node = core(Script(Request=send, Ended=late))
    _, effects = streaming(node)
    assert [e for e in effects if not isinstance(e, c.LogLine)] == [c.StartResponse(1, "head")]
    assert node.pending_count == 1


def test_the_kind_of_connection_is_passed_to_the_shell() -> None:
    node = core(Script(Request=send))
    node.handle(0, c.EndpointListUpdate(View.FULL, (replace(member(0), protocol="h3"),)))
    assert calls(ask(node, 0, 1, SAFE))[0].protocol == "h3"


def told(script: Script) -> dict[bytes, tuple[State, float]]:
    """What the module was last told of each endpoint: its state and its start."""
    hosts = [h for e in script.seen if isinstance(e, t.Hosts) for h in e.hosts]
    return {h.id: (h.state, h.started_ms) for h in hosts}


def test_a_ban_outlives_the_list_and_ends_with_one_call() -> None:
    """The list says `ready` of a process that runs.

    The operators' word stands against it, however often the list comes, and one call back ends it however
    often it was called out. What is back is taken for cold.
    """
    script = Script()
    node = core(script)
    for now in (10, 20):
        effects = node.handle(now, c.BanRequested(1, b"s-0"))
        assert effects[-2:] == [c.PersistBan(b"s-0", True), c.BanReply(1, c.BanResult.DONE)]
    assert told(script)[b"s-0"] == (State.GONE, 0.0)
    node.handle(30, c.EndpointListUpdate(View.DELTA, (member(0, State.GONE),)))
    node.handle(40, c.EndpointListUpdate(View.FULL, (member(0, port=90, started=35), member(1))))
    assert told(script)[b"s-0"][0] is State.GONE and node.bans == {b"s-0"}
    effects = node.handle(5_000, c.UnbanRequested(2, b"s-0"))
    assert effects[-2:] == [c.PersistBan(b"s-0", False), c.BanReply(2, c.BanResult.DONE)]
    node.handle(6_000, c.EndpointListUpdate(View.FULL, (member(0, started=35), member(1))))
    assert told(script)[b"s-0"] == (State.READY, 5.0) and not node.bans
    node.handle(9_000, c.EndpointListUpdate(View.DELTA, (member(0, started=8_000),)))
    assert told(script)[b"s-0"] == (State.READY, 8.0)


def test_an_endpoint_that_no_list_has_named_is_owed_a_no() -> None:
    node = core(Script())
    assert node.handle(1, c.BanRequested(1, b"s-9")) == [c.BanReply(1, c.BanResult.UNKNOWN)]
    node.handle(2, c.EndpointListUpdate(View.FULL, (member(1),)))
    assert node.handle(3, c.BanRequested(1, b"s-0"))[-1] == c.BanReply(
        1, c.BanResult.DONE
    )  # gone, yet once listed


def test_nothing_is_sent_to_a_banned_endpoint_whatever_the_module_says() -> None:
    """A dial that is under way when the ban comes must not end in a first byte.

    Nor may a call that is about to use an idle connection.
    """
    script = Script(Request=send)
    node = core(script)
    (dialed,) = calls(ask(node, 1, 1))
    node.handle(2, c.CallDialing(dialed.call))
    (pooled,) = calls(ask(node, 3, 2))
    assert node.may_write_call(pooled.call)
    effects = node.handle(4, c.BanRequested(1, b"s-0"))
    assert c.AbandonCall(dialed.call) in effects and c.CloseIdle(b"s-0") in effects
    assert not node.may_write_call(pooled.call)
    assert not calls(ask(node, 5, 3)) and node.stats["guarded"] == 1


def test_bans_of_the_process_beside_this_one_bind_here() -> None:
    script = Script()
    node = core(script)
    node.handle(10, c.BansLoaded(frozenset({b"s-0", b"s-7"}), {b"s-1": 4}))
    assert node.bans == {b"s-0", b"s-7"} and told(script)[b"s-0"][0] is State.GONE
    node.handle(20, c.BansLoaded(frozenset(), {b"s-0": 15}))
    assert node.bans == {b"s-7"}  # nothing is said of it any more: a file that can't be read is no call back
    assert told(script)[b"s-0"] == (State.READY, 0.015)


def test_a_ban_that_could_not_be_written_down_is_not_lifted_by_an_older_file() -> None:
    """It was out and back before; its file still says so when the next ban finds the folder full."""
    node = core(Script())
    node.handle(50, c.BanRequested(1, b"s-0"))
    node.handle(60, c.BansLoaded(frozenset(), {b"s-0": 40}))
    assert node.bans == {b"s-0"}
    node.handle(70, c.BansLoaded(frozenset(), {b"s-0": 65}))
    assert not node.bans


def test_what_is_remembered_of_endpoints_is_bounded() -> None:
    """Successors have new ids: a node that runs for months would hold every one that there ever was."""
    node = core(Script())
    node.handle(1, c.BanRequested(1, b"s-0"))
    for k in range(2, 13_000):
        node.handle(k * 100_000, c.EndpointListUpdate(View.FULL, (member(k),)))
    assert len(node._known_endpoint_ids) < 11_000 and node.bans == {b"s-0"}
    assert node.handle(1_300_000_000, c.BanRequested(1, b"s-12500"))[-1] == c.BanReply(1, c.BanResult.DONE)
    assert node.handle(1_300_000_001, c.BanRequested(1, b"s-1")) == [c.BanReply(1, c.BanResult.UNKNOWN)]


def test_a_stop_beside_another_process_leaves_the_listener_at_once_and_its_clients_late() -> None:
    """What a client writes to a connection that it holds is turned back where that is closed.

    The listener is the other process's too, so that nothing is lost there.
    """
    node = core(Script())
    assert c.StopListening() in node.handle(1, c.StopRequested(shared=True))
    assert not any(isinstance(e, c.ExitProcess) for e in wake(node, 600_000))
    ask(node, 600_001, 5)
    assert any(isinstance(e, c.ExitProcess) for e in wake(node, 4_000_000)) and node.pending_count == 0


def flowing(node: c.Core, cls: int = UNSAFE) -> c.StartCall:
    """A request whose body still comes, out on its first call."""
    (call,) = calls(node.handle(1, c.RequestReceived(1, cls, 0, 0, 900_000, "message", body_incomplete=True)))
    return call


def test_the_time_of_a_body_that_flows_runs_from_its_last_byte() -> None:
    """A client that takes ten seconds to send is owed its whole time after that.

    Neither its request nor the endpoint that waits for it is late meanwhile.
    """
    script = Script(Request=send)
    node = core(script)
    flowing(node)
    assert not [e for e in wake(node, 10_000_000) if isinstance(e, c.SendResponse | c.AbandonCall)]
    node.handle(10_000_000, c.RequestBodyComplete(1))
    assert script.seen[-1] == t.BodyComplete(1, 0, 10_900.0)
    assert not [e for e in wake(node, 10_899_000) if isinstance(e, c.SendResponse)]
    assert answers(wake(node, 10_930_000)) == [c.ResponseStatus.FAILED]


def test_a_body_that_was_let_go_is_sent_nowhere_else() -> None:
    """What is no longer held can't be repeated; its last byte was never written, so a refusal is safe."""

    def again(event: t.Ended) -> list[t.Action]:
        return [] if event.final else send(event)

    node = core(Script(Request=send, Ended=again))
    (second,) = calls(node.handle(2, c.CallEnded(flowing(node).call, Outcome.UNCONNECTED)))
    node.handle(3, c.RequestBodyReleased(1))
    effects = node.handle(4, c.CallEnded(second.call, Outcome.UNCONNECTED))
    assert answers(effects) == [c.ResponseStatus.REJECTED] and not calls(effects) and node.pending_count == 0


def test_one_body_feeds_one_call_at_a_time() -> None:
    def twice(event: t.Request) -> list[t.Action]:
        return [t.Send(event.id, b"s-0"), t.Send(event.id, b"s-1")]

    node = core(Script(Request=twice))
    flowing(node, SAFE)
    assert node.stats["sent"] == 1 and node.stats["guarded"] == 1


def test_nor_does_it_feed_a_second_copy_once_it_is_whole() -> None:
    """Two calls took turns at the same parts: neither endpoint got the body that the client had sent."""
    node = core(Script(Request=send, BodyComplete=lambda e: [t.Send(e.id, b"s-1")]))
    flowing(node, SAFE)
    assert not calls(node.handle(2, c.RequestBodyComplete(1))) and node.stats["guarded"] == 1


def test_what_the_module_gives_up_while_its_body_comes_ends_with_its_call() -> None:
    """The module's patience counts from the head; an endpoint has part of the body, and may still answer."""
    node = core(Script(Request=lambda e: [*send(e), t.Fail(e.id)]))
    call = flowing(node)
    assert node.pending_count == 1
    assert answers(node.handle(5, c.CallEnded(call.call, Outcome.OK, (), "body"))) == [
        c.ResponseStatus.SERVED
    ]
    node = core(Script(Request=lambda e: [*send(e), t.Fail(e.id)]))
    call = flowing(node)
    assert node.handle(6, c.DownstreamClosed(1)) == [c.AbandonCall(call.call)]


def test_whatever_breaks_at_a_calls_end_the_module_hears_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """It counts its calls by that word alone.

    And the client would have heard of nothing until its time was over.
    """
    script = Script(Request=send)
    node = core(script)
    (call,) = calls(ask(node, 1, 7))

    def broken(*_: object) -> None:
        monkeypatch.undo()
        raise RuntimeError("no such thing")

    monkeypatch.setattr(node, "_finish_request", broken)
    assert answers(node.handle(2, c.CallEnded(call.call, Outcome.OK, (), "body"))) == [
        c.ResponseStatus.FAILED
    ]
    node.handle(3, c.TimerExpired())
    assert [e.outcome for e in script.seen if isinstance(e, t.Ended)] == [Outcome.OK]


def test_what_comes_once_the_node_leaves_is_not_begun() -> None:
    """While the last answers go out a client could still be heard.

    Its request ran, and the process ended without a word of it.
    """
    node = core(Script(Request=send))
    node.handle(1, c.StopRequested(True))
    out = wake(node, 10_000_000)
    assert c.ExitProcess() in out
    assert ask(node, 10_000_001, 7) == [c.SendResponse(7, c.ResponseStatus.REJECTED, None, 0, True)]
