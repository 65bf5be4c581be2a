"""Tests of the reducer by events alone, without sockets or a clock."""

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


class ScriptedBalancer:
    """A balancer that follows a script: a function for each type of event."""

    def __init__(self, **actions_by_event: Callable[[Any], list[t.Action]]) -> None:
        self.actions_by_event, self.seen = actions_by_event, list[t.Event]()

    def handle(self, now: float, event: t.Event) -> list[t.Action]:
        self.seen.append(event)
        return self.actions_by_event.get(type(event).__name__, lambda _: [])(event)


def send(event: t.Request | t.Ended) -> list[t.Action]:
    return [t.Send(event.id, b"s-0")]


def core(script: c.LoadBalancer, most: int = 100, **changes: Any) -> c.Core:
    node = c.Core(w.settings(parallel_tries=True, may_cancel=True, **changes), script, most)
    node.handle(0, c.EndpointListUpdate(View.FULL, (member(0), member(1, cell=1))))
    node.handle(0, c.Listening())
    return node


def send_request(
    node: c.Core, now: int, inbound: int, cls: int = UNSAFE, timeout: int = 900_000
) -> list[c.Effects]:
    return node.handle(now, c.RequestReceived(inbound, cls, 0, 0, timeout, "message"))


def calls(effects: list[c.Effects]) -> list[c.StartCall]:
    return [e for e in effects if isinstance(e, c.StartCall)]


def answers(effects: list[c.Effects]) -> list[c.ResponseStatus]:
    return [e.status for e in effects if isinstance(e, c.SendResponse)]


def run_timers(node: c.Core, until: int) -> list[c.Effects]:
    out: list[c.Effects] = []
    while 0 <= node.wake_us <= until:
        out += node.handle(node.wake_us, c.TimerExpired())
    return out


def test_the_first_successful_call_is_the_response_and_later_ones_are_dropped() -> None:
    node = core(ScriptedBalancer(Request=lambda e: [*send(e), t.Send(e.id, b"s-1")]))
    first, second = calls(send_request(node, 1, 7, SAFE))
    (answer,) = node.handle(2, c.CallEnded(second.call, Outcome.OK, (), "body"))
    assert answer == c.SendResponse(7, c.ResponseStatus.SERVED, "body")
    assert node.handle(3, c.CallEnded(first.call, Outcome.OK, (), "late")) == []
    assert node.handle(4, c.CallEnded(first.call, Outcome.OK, (), "twice")) == []


@pytest.mark.parametrize("outcome", list(Outcome))
def test_an_unsafe_request_is_retried_only_if_it_never_ran(outcome: Outcome) -> None:
    """Rule 2, with a balancer that retries after any outcome."""
    script = ScriptedBalancer(Request=send, Ended=lambda e: [] if e.final or e.attempt else send(e))
    node = core(script)
    (call,) = calls(send_request(node, 1, 7))
    again = calls(node.handle(2, c.CallEnded(call.call, outcome)))
    assert bool(again) == (outcome in c.NEVER_RAN)


def test_rejecting_a_request_that_may_have_run_becomes_a_failure() -> None:
    node = core(ScriptedBalancer(Request=send, Ended=lambda e: [t.Refuse(e.id, 100.0)]))
    (call,) = calls(send_request(node, 1, 7))
    assert answers(node.handle(2, c.CallEnded(call.call, Outcome.RESET))) == [c.ResponseStatus.FAILED]
    (call,) = calls(send_request(node, 3, 8))
    assert node.handle(4, c.CallEnded(call.call, Outcome.FULL)) == [
        c.SendResponse(8, c.ResponseStatus.REJECTED, None, 100_000)
    ]


def test_a_keyed_request_is_retried_only_in_its_cell_and_window() -> None:
    script = ScriptedBalancer(Request=send, Ended=lambda e: [t.Send(e.id, b"s-1"), t.Send(e.id, b"s-0")])
    node = core(script)
    (call,) = calls(send_request(node, 1, 7, KEYED))
    (again,) = calls(node.handle(2, c.CallEnded(call.call, Outcome.ERROR)))
    assert again.endpoint == b"s-0"
    assert not calls(node.handle(500_000, c.CallEnded(again.call, Outcome.ERROR)))  # the window is 400 ms


def test_a_request_makes_no_more_calls_than_allowed() -> None:
    node = core(ScriptedBalancer(Request=send, Ended=send))
    effects, sent = send_request(node, 1, 7), 0
    while found := calls(effects):
        sent += 1
        effects = node.handle(2, c.CallEnded(found[0].call, Outcome.FULL))
    assert sent == 4


def test_a_draining_endpoint_gets_no_new_calls_once_that_is_known() -> None:
    """Rule 3. Its grace period counts from when the discovery agent was notified.

    The node may learn of it late, so it uses none of the grace period.
    """
    node = core(ScriptedBalancer(Request=send))
    assert calls(send_request(node, 999, 7))
    news = node.handle(1000, c.EndpointListUpdate(View.DELTA, (member(0, State.DRAINING),)))
    assert c.CloseIdle(b"s-0") in news
    assert not calls(send_request(node, 1000, 8))
    node.handle(300_000, c.EndpointListUpdate(View.DELTA, (member(0, State.DRAINING),)))
    assert not calls(send_request(node, 300_001, 9))
    node.handle(500_000, c.EndpointListUpdate(View.DELTA, (member(0),)))
    assert calls(send_request(node, 500_001, 10))
    node.handle(500_002, c.EndpointListUpdate(View.FULL, (member(1),)))  # gone, as it is not listed
    assert not calls(send_request(node, 500_003, 11))


@pytest.mark.parametrize("dialing", [True, False])
def test_every_call_passes_one_gate_before_its_first_byte(dialing: bool) -> None:
    """First attempts and retries, on pooled and on new connections.

    Each must be checked for its client, its endpoint's state and address, its remaining time and its class.
    Calls on pooled connections were once checked for the endpoint only.
    """
    base = w.settings(parallel_tries=True, may_cancel=False)
    classes = (*base.classes[:KEYED], replace(base.classes[KEYED], window_ms=100.0))
    settings = replace(base, classes=classes)

    def is_written(*between: tuple[int, c.Event], cls: int = UNSAFE, first_at: int = -1) -> bool:
        script = ScriptedBalancer(
            Request=send, Ended=lambda e: send(e) if e.attempt == 0 and not e.final else []
        )
        node = c.Core(settings, script, 100)
        node.handle(0, c.EndpointListUpdate(View.FULL, (member(0), member(1, cell=1))))
        node.handle(0, c.Listening())
        (call,) = calls(send_request(node, max(first_at, 10), 7, cls))
        if first_at >= 0:  # a retry, after an attempt that may have run
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
    assert is_written()
    assert not is_written((60_000, c.DownstreamClosed(7)))
    assert not is_written((60_000, c.EndpointListUpdate(View.DELTA, (member(0, State.DRAINING),))))
    assert not is_written((60_000, c.EndpointListUpdate(View.DELTA, (moved,))))
    assert not is_written((60_000, c.BanRequested(1, b"s-0")))
    assert not is_written((899_500, c.Listening()))
    assert is_written((90_000, c.Listening()), cls=KEYED, first_at=10)
    assert not is_written(
        (100_011, c.Listening()), cls=KEYED, first_at=10
    )  # the window has closed during the dial


def test_a_dialed_call_is_checked_again_before_its_first_byte() -> None:
    """During a dial the client may leave, the time may run out, or the endpoint may start to drain."""
    script = ScriptedBalancer(Request=send, Abandoned=lambda e: [t.Cancel(e.id, 0)])
    node = core(script)

    def dial(inbound: int, now: int) -> int:
        (call,) = calls(send_request(node, now, inbound))
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
def test_a_call_that_times_out_is_abandoned(dialing: bool, says: Outcome) -> None:
    """A call that was still being dialed never ran; any other may have run."""
    script = ScriptedBalancer(Request=send)
    node = core(script)
    (call,) = calls(send_request(node, 1, 7))
    if dialing:
        node.handle(1, c.CallDialing(call.call))
    assert c.AbandonCall(call.call) in run_timers(node, 900_001)
    assert [e.outcome for e in script.seen if isinstance(e, t.Ended)] == [says]


def test_a_request_that_the_balancer_forgets_is_answered_as_failed() -> None:
    """Rule 1: the core itself responds within the 50 ms of slack that the platform allows."""
    node = core(ScriptedBalancer())
    send_request(node, 0, 7)
    assert answers(run_timers(node, 899_999)) == []
    assert answers(run_timers(node, 900_000 + 49_000)) == [c.ResponseStatus.FAILED]
    assert node.pending_count == 0


@pytest.mark.parametrize("where", ["Request", "Ended", "Timer", "Hosts"])
def test_an_exception_in_the_balancer_fails_only_its_own_request(where: str) -> None:
    def raise_error(_: Any) -> list[t.Action]:
        raise RuntimeError("no such thing")

    script = ScriptedBalancer(Request=lambda e: [*send(e), t.SetTimer(0.5, 0)])
    node = core(script)
    script.actions_by_event[where] = raise_error
    effects = send_request(node, 1, 7) + run_timers(node, 1000)
    for call in calls(effects):
        effects += node.handle(2, c.CallEnded(call.call, Outcome.ERROR))
    effects += node.handle(3, c.EndpointListUpdate(View.FULL, (member(0),))) + run_timers(node, 2_000_000)
    assert answers(effects) == [c.ResponseStatus.FAILED]
    assert [e for e in effects if isinstance(e, c.LogLine) and "no such thing" in e.line]


def node_with_balancer(start: int = 0) -> tuple[c.Core, Balancer]:
    """A ready node with the real balancer and two endpoints, one of which has just started."""
    settings = w.settings(parallel_tries=True, may_cancel=True)
    balancer = Balancer(settings, 1)
    node = c.Core(settings, balancer, 100)
    node.handle(start, c.EndpointListUpdate(View.FULL, (member(0), member(1, started=start))))
    node.handle(start, c.Listening())
    return node, balancer


@pytest.mark.parametrize("where", ["_resize", "_update_weights", "_update_shedding", "_log_state"])
def test_an_exception_in_the_periodic_work_does_not_stop_it(
    where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After one exception the prefix was no longer resized until the process restarted."""
    node, balancer = node_with_balancer()

    def raise_error() -> None:
        monkeypatch.undo()
        raise RuntimeError("no such thing")

    monkeypatch.setattr(balancer, where, raise_error)
    effects = run_timers(node, 3_000_000)
    assert [
        e for e in effects if isinstance(e, c.LogLine) and e.topic == "fault" and "no such thing" in e.line
    ]
    assert len(balancer._arrival_counts) >= 10
    assert calls(send_request(node, 3_000_001, 7))


def test_actions_decided_before_an_exception_are_carried_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """An exception must not drop the actions that were decided before it.

    Otherwise the balancer counts a call as in flight that was never made, its endpoint stays busy for good,
    and other due work waits for the next request.
    """
    node, balancer = node_with_balancer()
    overdue = balancer._health.overdue

    def raise_error(now: float) -> Any:
        balancer._health.overdue = overdue  # type: ignore[method-assign]
        raise RuntimeError("no such thing")

    balancer._health.overdue = raise_error  # type: ignore[method-assign]
    (call,) = calls(send_request(node, 1, 7))
    effects = node.handle(2000, c.CallEnded(call.call, Outcome.OK, (), "a"))
    assert answers(effects) == [c.ResponseStatus.SERVED]
    assert not balancer._in_flight and all(s.in_flight == 0 for s in balancer._servers.values())
    assert node.wake_us >= 0  # its timer runs


def test_years_of_uptime_and_billions_of_requests_do_not_change_decisions() -> None:
    """The core uses integers without bound, but the balancer's times are floats, which lose precision."""

    def served(start: int, last: int) -> int:
        node, balancer = node_with_balancer(start)
        node._last_id, node._timer_sequence, balancer._timer_sequence = last, last, last
        node.stats["taken"] = last
        seen: list[c.Effects] = []
        for k in range(600):
            now = start + 1000 + k * 7_000
            effects = run_timers(node, now) + send_request(node, now, k, k % 2)
            for call in calls(effects):
                effects += node.handle(now + 3_000, c.CallEnded(call.call, Outcome.OK, (), "a"))
            seen += effects
        assert not [e for e in seen if isinstance(e, c.LogLine) and e.topic in ("fault", "guard", "overdue")]
        return answers(seen).count(c.ResponseStatus.SERVED)

    first = served(3_600_000_000, 0)
    assert first > 500
    for start, last in ((400 * 86_400 * 10**6, 10**9), (4 * 10**14, 10**12)):
        assert abs(served(start, last) - first) < 20


def test_an_exception_in_the_reducer_answers_the_request_as_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    node = core(ScriptedBalancer(Request=send))
    (call,) = calls(send_request(node, 1, 7))
    monkeypatch.setattr(node, "_end_call", lambda *_: 1 / 0)
    assert answers(node.handle(2, c.CallEnded(call.call, Outcome.OK))) == [c.ResponseStatus.FAILED]
    assert answers(send_request(node, 3, 99, cls=77)) == [
        c.ResponseStatus.FAILED
    ]  # a class that does not exist


def test_a_client_that_disconnects_gets_no_response() -> None:
    node = core(ScriptedBalancer(Request=send, Abandoned=lambda e: [t.Cancel(e.id, 0)]))
    (call,) = calls(send_request(node, 1, 7))
    assert node.handle(2, c.DownstreamClosed(7)) == [c.AbandonCall(call.call)]
    assert node.handle(3, c.DownstreamClosed(7)) == []
    assert answers(run_timers(node, 2_000_000)) == []


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_call_with_an_incomplete_body_ends_when_its_client_disconnects(may_cancel: bool) -> None:
    """Such a call has no timeout before the body's last byte.

    Where calls may not be cancelled it stayed for good.
    """
    script = ScriptedBalancer(Request=send, Abandoned=lambda e: [t.Cancel(e.id, 0)] if may_cancel else [])
    node = core(script)
    (call,) = calls(
        node.handle(1, c.RequestReceived(7, SAFE, 0, 0, 900_000, "message", body_incomplete=True))
    )
    assert node.handle(2, c.DownstreamClosed(7)) == [c.AbandonCall(call.call)]
    assert not node._calls
    assert [e.outcome for e in script.seen if isinstance(e, t.Ended)] == [Outcome.CANCELLED]


def test_a_full_request_table_rejects_without_the_balancer() -> None:
    script = ScriptedBalancer()
    node = core(script, most=1, retry_after=True, max_retry_after_ms=1200.0)
    send_request(node, 1, 7)
    effects = send_request(node, 2, 8)
    assert c.SendResponse(8, c.ResponseStatus.REJECTED, None, 1_200_000) in effects
    assert sum(isinstance(e, t.Request) for e in script.seen) == 1


def test_an_excessive_timeout_is_limited() -> None:
    """A client that asks for a timeout of eleven days would keep its table entries for as long."""
    node = core(ScriptedBalancer(Request=send))
    (call,) = calls(send_request(node, 0, 1, timeout=999_999_999_000))
    assert call.due_us == c.MIN_TIMEOUT_LIMIT_US


def test_a_new_process_or_address_closes_idle_connections() -> None:
    node = core(ScriptedBalancer())
    assert node.handle(1, c.EndpointListUpdate(View.DELTA, (member(0),))) == []
    for changed in (member(0, port=90), member(0, port=90, started=5)):
        assert node.handle(2, c.EndpointListUpdate(View.DELTA, (changed,))) == [c.CloseIdle(b"s-0")]


def test_phases_from_start_to_exit() -> None:
    node = c.Core(w.settings(), ScriptedBalancer(Request=send), 100)

    def phase() -> c.Phase:
        return node.phase

    assert phase() is c.Phase.STARTING
    node.handle(0, c.Listening())
    assert phase() is c.Phase.STARTING  # no endpoint yet: unable to serve
    node.handle(0, c.EndpointListUpdate(View.CACHED, (member(0),)))
    assert phase() is c.Phase.READY
    (call,) = calls(send_request(node, 1, 7, timeout=5_000_000))
    node.handle(2, c.StopRequested())
    assert phase() is c.Phase.DRAINING
    assert c.StopListening() in run_timers(node, 550_000)
    late = calls(send_request(node, 560_000, 8))  # on a connection taken at the last moment
    assert node.handle(570_000, c.CallEnded(call.call, Outcome.OK, (), "a")) == [
        c.SendResponse(7, c.ResponseStatus.SERVED, "a", 0, True)
    ]
    assert not [e for e in run_timers(node, 700_000) if isinstance(e, c.ExitProcess)]
    last = node.handle(710_000, c.CallEnded(late[0].call, Outcome.OK))
    assert isinstance(last[-1], c.ExitProcess) and phase() is c.Phase.STOPPED


def test_an_idle_node_reads_the_last_connections_before_it_exits() -> None:
    """A connection in the backlog when the listener closed may hold a complete request, not read yet."""
    node = core(ScriptedBalancer(Request=send))
    node.handle(0, c.StopRequested())
    assert [type(e) for e in run_timers(node, 599_000)] == [c.StopListening]
    (call,) = calls(send_request(node, 599_000, 7))
    assert not [e for e in run_timers(node, 700_000) if isinstance(e, c.ExitProcess)]
    assert type(node.handle(700_001, c.CallEnded(call.call, Outcome.OK))[0]) is c.SendResponse


def test_a_stopped_node_exits_before_the_platform_kills_it() -> None:
    node = core(ScriptedBalancer())
    send_request(node, 1, 7, timeout=60_000_000)
    node.handle(2, c.StopRequested())
    effects = run_timers(
        node, 1_000_000 + 700_000
    )  # the longest deadline is 1 s, and SIGKILL 0.7 s behind it
    assert any(isinstance(e, c.ExitProcess) for e in effects)


@pytest.mark.parametrize("seed", range(12))
def test_random_events_end_each_request_once_and_run_no_unsafe_request_twice(seed: int) -> None:
    """The core with the real balancer, and random events of endpoints, clients and discovery."""
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
            at, resume_at = node.wake_us, now
            now = at
            run(node.handle(at, c.TimerExpired()))
            now = resume_at
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
        resume_at, now = now, node.wake_us
        run(node.handle(now, c.TimerExpired()))
        now = resume_at
    assert node.pending_count == 0
    for k in range(1, inbound + 1):
        assert ended[k] == (k not in gone), k


def streamed_response(node: c.Core) -> tuple[c.StartCall, list[c.Effects]]:
    """A request whose response has started on its first call."""
    call = calls(send_request(node, 0, 1, SAFE))[0]
    return call, node.handle(50_000, c.ResponseStarted(call.call, "head"))


def test_a_streamed_response_starts_and_ends_once_and_has_no_timeout() -> None:
    script = ScriptedBalancer(Request=send)
    node = core(script)
    call, effects = streamed_response(node)
    assert effects == [c.StartResponse(1, "head")]
    # for the balancer the call ends with the first byte: how fast the client reads is not the endpoint's
    # doing
    ended_for_it = [e for e in script.seen if isinstance(e, t.Ended)]
    assert [(e.outcome, e.elapsed_ms, e.final) for e in ended_for_it] == [(Outcome.OK, 50.0, True)]
    assert node.handle(60_000, c.ResponsePart(call.call, b"a")) == [c.SendResponsePart(1, b"a")]
    assert not [
        e
        for e in run_timers(node, 30_000_000)
        if isinstance(e, c.SendResponse | c.AbandonCall | c.EndResponse)
    ]
    assert node.handle(31_000_000, c.ResponsePart(call.call, b"b")) == [c.SendResponsePart(1, b"b")]
    ended = c.CallEnded(call.call, Outcome.OK, (), "tail")
    assert node.handle(32_000_000, ended) == [c.EndResponse(1, True, "tail")]
    assert node.pending_count == 0 and node.stats["served"] == 1
    assert len([e for e in script.seen if isinstance(e, t.Ended)]) == 1


def test_a_streamed_response_that_breaks_off_is_not_retried() -> None:
    def again(event: t.Ended) -> list[t.Action]:
        return [t.Send(event.id, event.host), t.Refuse(event.id), t.Fail(event.id)]

    node = core(ScriptedBalancer(Request=send, Ended=again))
    call, _ = streamed_response(node)
    effects = node.handle(60_000, c.CallEnded(call.call, Outcome.RESET))
    assert [e for e in effects if not isinstance(e, c.LogLine)] == [c.EndResponse(1, False)]
    assert node.stats["failed"] == 1 and node.pending_count == 0


def test_a_client_that_disconnects_during_a_response_ends_its_call() -> None:
    node = core(ScriptedBalancer(Request=send))
    call, _ = streamed_response(node)
    assert node.handle(60_000, c.DownstreamClosed(1)) == [c.AbandonCall(call.call)]
    assert node.handle(61_000, c.ResponsePart(call.call, b"x")) == []


def test_the_first_response_to_start_abandons_the_other_call() -> None:
    def twice(event: t.Request) -> list[t.Action]:
        return [t.Send(event.id, member(0).id), t.Send(event.id, member(1).id)]

    node = core(ScriptedBalancer(Request=twice))
    first, second = calls(send_request(node, 0, 1, SAFE))
    effects = node.handle(10_000, c.ResponseStarted(second.call, "head"))
    assert effects == [c.StartResponse(1, "head"), c.AbandonCall(first.call)]
    assert node.handle(11_000, c.ResponseStarted(first.call, "late head")) == []
    assert node.stats["call_cancelled"] == 1


def test_rejecting_a_started_response_has_no_effect() -> None:
    def late(event: t.Ended) -> list[t.Action]:
        return [t.Refuse(event.id), t.Fail(event.id), t.Send(event.id, member(1).id)]

    node = core(ScriptedBalancer(Request=send, Ended=late))
    _, effects = streamed_response(node)
    assert [e for e in effects if not isinstance(e, c.LogLine)] == [c.StartResponse(1, "head")]
    assert node.pending_count == 1


def test_the_protocol_of_an_endpoint_is_passed_on_with_the_call() -> None:
    node = core(ScriptedBalancer(Request=send))
    node.handle(0, c.EndpointListUpdate(View.FULL, (replace(member(0), protocol="h3"),)))
    assert calls(send_request(node, 0, 1, SAFE))[0].protocol == "h3"


def last_reported(script: ScriptedBalancer) -> dict[bytes, tuple[State, float]]:
    """State and start of each endpoint as last reported to the balancer."""
    hosts = [h for e in script.seen if isinstance(e, t.Hosts) for h in e.hosts]
    return {h.id: (h.state, h.started_ms) for h in hosts}


def test_a_ban_outlasts_list_updates_and_ends_with_one_request() -> None:
    """The list shows a running process as ready, but the ban takes precedence over every update.

    One request lifts a ban, however often it was repeated. The endpoint then counts as newly started.
    """
    script = ScriptedBalancer()
    node = core(script)
    for now in (10, 20):
        effects = node.handle(now, c.BanRequested(1, b"s-0"))
        assert effects[-2:] == [c.PersistBan(b"s-0", True), c.BanReply(1, c.BanResult.DONE)]
    assert last_reported(script)[b"s-0"] == (State.GONE, 0.0)
    node.handle(30, c.EndpointListUpdate(View.DELTA, (member(0, State.GONE),)))
    node.handle(40, c.EndpointListUpdate(View.FULL, (member(0, port=90, started=35), member(1))))
    assert last_reported(script)[b"s-0"][0] is State.GONE and node.bans == {b"s-0"}
    effects = node.handle(5_000, c.UnbanRequested(2, b"s-0"))
    assert effects[-2:] == [c.PersistBan(b"s-0", False), c.BanReply(2, c.BanResult.DONE)]
    node.handle(6_000, c.EndpointListUpdate(View.FULL, (member(0, started=35), member(1))))
    assert last_reported(script)[b"s-0"] == (State.READY, 5.0) and not node.bans
    node.handle(9_000, c.EndpointListUpdate(View.DELTA, (member(0, started=8_000),)))
    assert last_reported(script)[b"s-0"] == (State.READY, 8.0)


def test_banning_an_endpoint_that_was_never_listed_is_an_error() -> None:
    node = core(ScriptedBalancer())
    assert node.handle(1, c.BanRequested(1, b"s-9")) == [c.BanReply(1, c.BanResult.UNKNOWN)]
    node.handle(2, c.EndpointListUpdate(View.FULL, (member(1),)))
    assert node.handle(3, c.BanRequested(1, b"s-0"))[-1] == c.BanReply(
        1, c.BanResult.DONE
    )  # gone, but listed before


def test_nothing_is_sent_to_a_banned_endpoint_whatever_the_balancer_decides() -> None:
    """A call that is being dialed when the ban comes must not be written.

    Nor may a call that is about to use an idle connection.
    """
    script = ScriptedBalancer(Request=send)
    node = core(script)
    (dialed,) = calls(send_request(node, 1, 1))
    node.handle(2, c.CallDialing(dialed.call))
    (pooled,) = calls(send_request(node, 3, 2))
    assert node.may_write_call(pooled.call)
    effects = node.handle(4, c.BanRequested(1, b"s-0"))
    assert c.AbandonCall(dialed.call) in effects and c.CloseIdle(b"s-0") in effects
    assert not node.may_write_call(pooled.call)
    assert not calls(send_request(node, 5, 3)) and node.stats["guarded"] == 1


def test_bans_of_another_process_of_the_node_apply() -> None:
    script = ScriptedBalancer()
    node = core(script)
    node.handle(10, c.BansLoaded(frozenset({b"s-0", b"s-7"}), {b"s-1": 4}))
    assert node.bans == {b"s-0", b"s-7"} and last_reported(script)[b"s-0"][0] is State.GONE
    node.handle(20, c.BansLoaded(frozenset(), {b"s-0": 15}))
    assert node.bans == {b"s-7"}  # a missing entry may be an unreadable file, which lifts no ban
    assert last_reported(script)[b"s-0"] == (State.READY, 0.015)


def test_a_ban_that_could_not_be_persisted_is_not_lifted_by_an_older_file() -> None:
    """The endpoint was banned and unbanned before, and the disk is full when the next ban is written.

    Its file then still has the older entry.
    """
    node = core(ScriptedBalancer())
    node.handle(50, c.BanRequested(1, b"s-0"))
    node.handle(60, c.BansLoaded(frozenset(), {b"s-0": 40}))
    assert node.bans == {b"s-0"}
    node.handle(70, c.BansLoaded(frozenset(), {b"s-0": 65}))
    assert not node.bans


def test_the_memory_of_known_endpoints_is_bounded() -> None:
    """Successors have new ids: a node that runs for months must not remember all of them."""
    node = core(ScriptedBalancer())
    node.handle(1, c.BanRequested(1, b"s-0"))
    for k in range(2, 13_000):
        node.handle(k * 100_000, c.EndpointListUpdate(View.FULL, (member(k),)))
    assert len(node._known_endpoint_ids) < 11_000 and node.bans == {b"s-0"}
    assert node.handle(1_300_000_000, c.BanRequested(1, b"s-12500"))[-1] == c.BanReply(1, c.BanResult.DONE)
    assert node.handle(1_300_000_001, c.BanRequested(1, b"s-1")) == [c.BanReply(1, c.BanResult.UNKNOWN)]


def test_a_stop_with_a_shared_listener_stops_listening_at_once_and_serves_open_connections() -> None:
    """Another process accepts from the same listener, so closing it at once loses no connection.

    Requests on open connections would be lost if these were closed, so they are still served.
    """
    node = core(ScriptedBalancer())
    assert c.StopListening() in node.handle(1, c.StopRequested(shared=True))
    assert not any(isinstance(e, c.ExitProcess) for e in run_timers(node, 600_000))
    send_request(node, 600_001, 5)
    assert any(isinstance(e, c.ExitProcess) for e in run_timers(node, 4_000_000)) and node.pending_count == 0


def incomplete_request(node: c.Core, cls: int = UNSAFE) -> c.StartCall:
    """A request whose body is still arriving, with its first call pending."""
    (call,) = calls(node.handle(1, c.RequestReceived(1, cls, 0, 0, 900_000, "message", body_incomplete=True)))
    return call


def test_the_timeout_of_a_streamed_request_starts_at_its_last_byte() -> None:
    """A client that takes ten seconds to send its body still has its full timeout after that.

    Until then neither the request nor the endpoint counts as late.
    """
    script = ScriptedBalancer(Request=send)
    node = core(script)
    incomplete_request(node)
    assert not [e for e in run_timers(node, 10_000_000) if isinstance(e, c.SendResponse | c.AbandonCall)]
    node.handle(10_000_000, c.RequestBodyComplete(1))
    assert script.seen[-1] == t.BodyComplete(1, 0, 10_900.0)
    assert not [e for e in run_timers(node, 10_899_000) if isinstance(e, c.SendResponse)]
    assert answers(run_timers(node, 10_930_000)) == [c.ResponseStatus.FAILED]


def test_a_request_whose_body_was_released_is_not_retried() -> None:
    """A released body can't be sent again. Its last byte was never written, so a rejection is safe."""

    def again(event: t.Ended) -> list[t.Action]:
        return [] if event.final else send(event)

    node = core(ScriptedBalancer(Request=send, Ended=again))
    (second,) = calls(node.handle(2, c.CallEnded(incomplete_request(node).call, Outcome.UNCONNECTED)))
    node.handle(3, c.RequestBodyReleased(1))
    effects = node.handle(4, c.CallEnded(second.call, Outcome.UNCONNECTED))
    assert answers(effects) == [c.ResponseStatus.REJECTED] and not calls(effects) and node.pending_count == 0


def test_a_streamed_body_goes_to_one_call_at_a_time() -> None:
    def twice(event: t.Request) -> list[t.Action]:
        return [t.Send(event.id, b"s-0"), t.Send(event.id, b"s-1")]

    node = core(ScriptedBalancer(Request=twice))
    incomplete_request(node, SAFE)
    assert node.stats["sent"] == 1 and node.stats["guarded"] == 1


def test_a_streamed_body_goes_to_no_second_call_once_it_is_complete() -> None:
    """Two calls would take alternate parts, and neither endpoint would get the complete body."""
    node = core(ScriptedBalancer(Request=send, BodyComplete=lambda e: [t.Send(e.id, b"s-1")]))
    incomplete_request(node, SAFE)
    assert not calls(node.handle(2, c.RequestBodyComplete(1))) and node.stats["guarded"] == 1


def test_a_request_given_up_during_its_body_ends_with_its_call() -> None:
    """The balancer's deadline counts from the head; an endpoint with a part of the body may still respond."""
    node = core(ScriptedBalancer(Request=lambda e: [*send(e), t.Fail(e.id)]))
    call = incomplete_request(node)
    assert node.pending_count == 1
    assert answers(node.handle(5, c.CallEnded(call.call, Outcome.OK, (), "body"))) == [
        c.ResponseStatus.SERVED
    ]
    node = core(ScriptedBalancer(Request=lambda e: [*send(e), t.Fail(e.id)]))
    call = incomplete_request(node)
    assert node.handle(6, c.DownstreamClosed(1)) == [c.AbandonCall(call.call)]


def test_an_exception_at_the_end_of_a_call_still_notifies_the_balancer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without it the balancer would count the call as in flight for good.

    The client would have got no response until its timeout.
    """
    script = ScriptedBalancer(Request=send)
    node = core(script)
    (call,) = calls(send_request(node, 1, 7))

    def broken(*_: object) -> None:
        monkeypatch.undo()
        raise RuntimeError("no such thing")

    monkeypatch.setattr(node, "_finish_request", broken)
    assert answers(node.handle(2, c.CallEnded(call.call, Outcome.OK, (), "body"))) == [
        c.ResponseStatus.FAILED
    ]
    node.handle(3, c.TimerExpired())
    assert [e.outcome for e in script.seen if isinstance(e, t.Ended)] == [Outcome.OK]


def test_a_request_that_arrives_while_the_node_exits_is_rejected() -> None:
    """While the last responses are sent, a client could still send a request.

    It ran, but the process ended before the response.
    """
    node = core(ScriptedBalancer(Request=send))
    node.handle(1, c.StopRequested(True))
    out = run_timers(node, 10_000_000)
    assert c.ExitProcess() in out
    assert send_request(node, 10_000_001, 7) == [c.SendResponse(7, c.ResponseStatus.REJECTED, None, 0, True)]
