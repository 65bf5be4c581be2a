"""Tests of the simulation: connections, node processes, faults, policies, seed search and command line.

Days are small and written by hand (test_sim_digest.small_day); deciders are scripted where the point is what
the shell does with what they ask for.
"""

from __future__ import annotations

import io
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from granitewell.balancing import interface as t
from granitewell.balancing.interface import Outcome, Settings
from granitewell.cli.lab_sim import hunt as hunt_command
from granitewell.cli.lab_sim import sim as sim_command
from granitewell.core import LoadBalancer
from granitewell.lab import day as d
from granitewell.lab.judge import Judge
from granitewell.lab.simulation import hunt as hunting
from granitewell.lab.simulation import policies, published_policies
from granitewell.lab.simulation.connection_pool import ConnectionPool, NodeConnection
from granitewell.lab.simulation.fault_injection import FaultError
from granitewell.lab.simulation.hunt import Case, Found, ddmin, look, seeds
from granitewell.lab.simulation.outbound import CLOCK_OFFSET_US, RESPONSE_BODY_TIMEOUT_US
from granitewell.lab.simulation.play import POLICIES, Played, ViolationError, play
from granitewell.lab.simulation.world import World
from tests.lab.test_simulation_digest import small_day

S = 1_000_000
NET_MS = 2.0  # one way between zones; all delays are fixed


def calm(*faults: d.Fault, arrivals: Sequence[float] = (), **changes: Any) -> d.Day:
    """One node, one endpoint and clients of the first zone that ask at these seconds, 10 ms of work each."""
    day = small_day()
    cls = replace(day.classes[0], work_us=10_000.0, dist=d.Dist.CONSTANT, attempt_noise=0.0)
    kind = replace(day.kinds[0], error_rate=0.0, memory_gain=0.0)
    trace = tuple((round(at * S), 0, 0, 0, 0) for at in arrivals)
    plain: dict[str, Any] = dict(
        length_us=10 * S, classes=(cls, replace(cls, name="assign", unsafe=True)), kinds=(kind,),
        endpoints=(d.EndpointDay("d0", 0, 1, 0, 1.0, 0),), nodes=(d.NodeDay("n0", 0),),
        network=d.NetworkDay(300.0, NET_MS * 1000, 500.0, 0.0), conn=replace(day.conn, handshake_us=0.0),
        clients=replace(day.clients, retries=0, impatient=0.0, rebook=0.0),
        load=replace(day.load, rate=((0, 0.001),), trace=trace), faults=faults,
    )  # fmt: skip
    return replace(day, **{**plain, **changes})


@dataclass
class Script:
    """A decider that sends each request once, to the first host, and writes down what it hears."""

    heard: list[tuple[float, t.Event]] = field(default_factory=list)
    views: list[t.View] = field(default_factory=list)
    hosts: list[bytes] = field(default_factory=list)

    def handle(self, now: float, event: t.Event) -> list[t.Action]:
        at = round(now - CLOCK_OFFSET_US / 1000, 3)
        self.heard.append((at, event))
        if isinstance(event, t.Hosts):
            self.views.append(event.view)
            self.hosts += [h.id for h in event.hosts if h.state is t.State.READY]
        if isinstance(event, t.Request):
            return [t.Send(event.id, self.hosts[0], event.due_ms - now)]
        if isinstance(event, t.Ended) and not event.final:
            return [t.Fail(event.id)]
        return []

    def ended(self) -> list[tuple[Outcome, float]]:
        return [(e.outcome, e.elapsed_ms) for _, e in self.heard if isinstance(e, t.Ended)]


def scripted(day: d.Day, only: Sequence[int] | None = None) -> tuple[list[Script], Judge, Played]:
    """Play it with a Script in each process, in the order of their starts."""
    scripts: list[Script] = []
    judge = Judge(day)

    def made(settings: Settings, seed: int) -> LoadBalancer:
        scripts.append(Script())
        return scripts[-1]

    return scripts, judge, play(day, witness=judge, decider=made, only=only)


def outcomes(day: d.Day) -> list[tuple[Outcome, float]]:
    return scripted(day)[0][0].ended()


def fault(kind: str, at: float, until: float = -1.0, target: str = "d0", **params: float | str) -> d.Fault:
    return d.Fault(round(at * S), round(until * S) if until >= 0 else -1, kind, target, tuple(params.items()))


# --- Connections ----------------------------------------------------------------------------------------
def test_a_dial_takes_its_round_trips_and_a_kept_connection_none() -> None:
    first, second = outcomes(calm(arrivals=(1.0, 1.1)))
    dial = 4 * NET_MS  # two round trips
    assert first[0] is second[0] is Outcome.OK
    assert (first[1], second[1]) == pytest.approx((dial + 2 * NET_MS + 10.0, 2 * NET_MS + 10.0), abs=0.01)


def test_an_idle_connection_is_closed_well_before_the_endpoint_does() -> None:
    day = calm(arrivals=(1.0, 1.02 + 0.79 * 4, 1.04 + (0.79 + 0.9) * 4))
    _, judge, played = scripted(day)
    assert played.seen["dialed"] == 2  # kept just under 0.8 of 4 s, not just over it
    assert judge.report().totals["served"] == 3


CASES: dict[str, tuple[d.Fault, Outcome, float]] = {
    "dies under it": (fault("stop", 1.03), Outcome.RESET, 30.0 - 0.5 + NET_MS),
    "vanishes": (fault("vanish", 1.03), Outcome.TIMEOUT, 1000.0),
    "cut off": (fault("cut", 1.03, 9.0), Outcome.TIMEOUT, 1000.0),
    "cut one way": (fault("cut", 1.03, 9.0, "n0", way="in"), Outcome.TIMEOUT, 1000.0),
    "zone cut": (fault("cut", 1.03, 9.0, "b"), Outcome.TIMEOUT, 1000.0),
    "dead before": (fault("stop", 0.5), Outcome.UNCONNECTED, 4 * NET_MS),
    "gone before": (fault("vanish", 0.5), Outcome.UNCONNECTED, 250.0),
    "link refuses": (fault("link", 0.5, 9.0, "n0>d0", what="refuse"), Outcome.UNCONNECTED, 2 * NET_MS),
    "link silent": (fault("link", 0.5, 9.0, "n0>*", what="silent"), Outcome.UNCONNECTED, 250.0),
    "link loses": (fault("link", 0.5, 9.0, "n0>d0", what="loss", factor=1.0), Outcome.RESET, 62.0),
    "link slow": (fault("link", 0.5, 9.0, "n0>d0", what="delay", factor=5000.0), Outcome.OK, 92.0),
    "spoilt": (fault("condition", 0.5, effect="spoilt"), Outcome.RESET, 62.0),
    "head alone": (
        fault("condition", 0.5, effect="silent_head"),
        Outcome.RESET,
        62.0 + RESPONSE_BODY_TIMEOUT_US / 1000,
    ),
    "hangs": (fault("condition", 0.5, effect="hang"), Outcome.TIMEOUT, 1000.0),
    "refuses": (fault("condition", 0.5, effect="refuse"), Outcome.UNCONNECTED, 4 * NET_MS),
}


@pytest.mark.parametrize("case", CASES)
def test_the_outcome_of_a_call(case: str) -> None:
    trouble, outcome, ms = CASES[case]
    day = calm(trouble, arrivals=(1.0,))
    slow = tuple(replace(c, work_us=50_000.0) for c in day.classes)  # under way from 1.0125 to 1.0625
    ((found, elapsed),) = outcomes(replace(day, classes=slow))
    assert found is outcome and elapsed == pytest.approx(ms, abs=1.0)


def test_a_connection_cut_by_a_partition_stays_silent_and_a_new_one_serves() -> None:
    """The request lost in the cut never arrives behind it, and nothing more is written to its connection."""
    day = calm(fault("cut", 1.5, 2.0, "d0"), arrivals=(1.0, 1.6, 2.9))
    _, judge, played = scripted(day)
    assert [x[0] for x in scripted(day)[0][0].ended()] == [Outcome.OK, Outcome.TIMEOUT, Outcome.OK]
    assert played.seen["dialed"] == 2 and played.seen["sent"] == 2 and judge.report().kept
    looks: list[tuple[int, int]] = []

    def watch(world: World) -> str:
        looks.append((world.engine.now_us, world.endpoint_hosts["d0"].model.connections))
        return ""

    play(day, decider=lambda settings, seed: Script(), invariants=[watch])
    held = [[n for at, n in looks if at < until * S][-1] for until in (2.8, 3.5, 6.0)]
    # the node has closed the first one by 2.6 s, and TCP brings the endpoint nothing behind what was lost: it
    # holds it until its own idle time is over
    assert held == [1, 2, 1]


def test_a_call_abandoned_at_once_is_never_sent() -> None:
    class Fickle(Script):
        def handle(self, now: float, event: t.Event) -> list[t.Action]:
            actions = super().handle(now, event)
            if isinstance(event, t.Request):
                actions += [t.Cancel(event.id, 0), t.Fail(event.id)]
            return actions

    day = calm(arrivals=(1.0, 1.1))
    played = play(day, decider=lambda settings, seed: Fickle())
    assert (played.seen["answered"], played.seen["sent"], played.seen["dialed"]) == (2, 0, 0)


def test_a_late_response_is_dropped() -> None:
    """Its connection was closed with the call: the next request gets its own answer, on another one."""
    late = fault("condition", 0.5, 1.5, effect="late", factor=1_300_000.0)
    day = calm(late, arrivals=(1.0, 2.2))
    _, judge, played = scripted(day)
    assert judge.report().totals["served"] == 1 and judge.report().kept and played.seen["dialed"] == 2


def test_the_pool_reuses_the_latest_and_closes_the_oldest() -> None:
    class At:
        key = b"d0"

    pool, endpoint_host = ConnectionPool(1000), At()
    a, b, c = (NodeConnection(k, None, endpoint_host) for k in range(3))  # type: ignore[arg-type]
    for at, conn in ((0, a), (10, b), (20, c)):
        pool.put(b"d0", conn, at)
    assert pool.take(b"d0", 100) == (c, [])
    pool.put(b"d0", c, 200)
    assert pool.due_us == 1000 and pool.expire(1015) == [a, b] and pool.due_us == 1200
    c.closed = True
    assert pool.take(b"d0", 300) == (None, [c]) and pool.evict_oldest() is None


# --- Nodes ----------------------------------------------------------------------------------------------
def test_a_stalled_process_handles_its_backlog_in_order() -> None:
    """Its timer and what has arrived wait; the call's time is over by then, and its answer comes too late."""
    day = calm(fault("node_stall", 1.005, 2.5, "n0"), arrivals=(1.0, 1.5))
    (script,), _, _ = scripted(day)
    events = [(at, type(e).__name__) for at, e in script.heard if at > 1000.0]
    assert not [e for e in events if 1005.0 < e[0] < 2500.0]
    assert (2500.0, "Request") in events


def test_cpu_cost_delays_later_events() -> None:
    arrivals = [1.0 + k / 1000 for k in range(100)]
    quick = calm(arrivals=arrivals)
    slow = replace(quick, nodes=(d.NodeDay("n0", 0, 0.5, 2000.0),))  # 4 ms for an event
    at = {}
    for name, day in (("quick", quick), ("slow", slow)):
        at[name] = [at for at, e in scripted(day)[0][0].heard if isinstance(e, t.Request)][-1]
    assert at["quick"] < 1110.0 and at["slow"] > 1390.0


TWO = (d.EndpointDay("d0", 0, 1, 0, 1.0, 0), d.EndpointDay("d1", 0, 1, 0, 1.0, 0))


def test_a_new_process_starts_with_the_last_endpoint_list() -> None:
    """The whole list of the reload leaves d0 out, which had ended while discovery was at another address."""
    day = calm(
        fault("discovery_moved", 0.1, -1.0, "discovery"), fault("stop", 0.5),
        fault("node_hup", 5.0, -1.0, "n0"), fault("discovery_silent", 6.0, 9.5, "discovery"),
        fault("node_kill", 6.1, 7.0, "n0"), endpoints=TWO,
    )  # fmt: skip
    (first, second), _, _ = scripted(day)
    lists = [[h.id for h in e.hosts] for _, e in (*first.heard, *second.heard) if isinstance(e, t.Hosts)]
    assert lists[0] == [b"d0", b"d1"] and lists[-2:] == [[b"d1"], [b"d1"]]
    assert second.views[0] is t.View.CACHED


def test_a_killed_node_resets_its_clients_and_starts_again_with_its_last_list() -> None:
    day = calm(fault("node_kill", 1.01, 2.0, "n0"), fault("discovery_silent", 0.5, 9.0, "discovery"),
               arrivals=(1.0, 1.2, 2.5))  # fmt: skip
    (_, second), judge, played = scripted(day)
    assert second.views[0] is t.View.CACHED and second.hosts[0] == b"d0"
    assert [at >= 9000.0 for at, e in second.heard if isinstance(e, t.Hosts)] == [False, True]
    totals = judge.report().totals
    assert (totals["cut"], totals["unreached"], totals["served"]) == (1, 1, 1)
    assert played.seen["node_up"] == 2 and played.seen["lost"] == 1 and judge.report().kept


def test_a_stopping_node_serves_late_requests_and_loses_none() -> None:
    day = calm(fault("node_term", 1.01, 9.0, "n0"), arrivals=(1.0, 1.05, 1.1, 1.15, 7.0))
    _, judge, played = scripted(day)
    report = judge.report()
    assert report.kept and (report.totals["served"], report.totals["unreached"]) == (4, 1)
    assert played.seen["node_down"] == 1 and played.notes["phase"] >= 4


def test_a_request_in_flight_during_a_close_is_sent_again_once() -> None:
    """The stopping node closes what it has read nothing on, half a second after SIGTERM.

    A request that is on its way there goes to the other node of the zone.
    """
    arrivals = [1.0 + k / 100_000 for k in range(200)] + [2.3995 + k / 50_000 for k in range(100)]
    nodes = (d.NodeDay("n0", 0), d.NodeDay("n1", 0))
    day = calm(fault("node_term", 1.9, 9.0, "n0"), arrivals=arrivals, nodes=nodes)
    quick = tuple(replace(c, work_us=100.0) for c in day.classes)
    _, judge, played = scripted(replace(day, classes=quick))
    assert played.seen["taken"] > played.requests == len(arrivals)
    assert judge.report().kept and played.seen["answered"] == len(arrivals)


def test_a_node_gets_no_updates_from_moved_discovery_until_it_reloads() -> None:
    moved = fault("discovery_moved", 1.0, -1.0, "discovery")
    day = calm(moved, fault("drain", 1.1, 6.0), fault("node_hup", 5.0, -1.0, "n0"))
    (script,), _, _ = scripted(day)
    late = [(at, e.view) for at, e in script.heard if isinstance(e, t.Hosts) and at > 1.0]
    assert late[0] == (5000.0, t.View.FULL)
    (script,), _, _ = scripted(day, only=(1,))
    assert [at for at, e in script.heard if isinstance(e, t.Hosts) and 1.0 < at < 5000.0]


def test_the_socket_budget_holds() -> None:
    """Far more clients at once than a node may hold connections: they wait, and neither side takes it all."""
    most = {"lines": 0, "all": 0}

    def watch(world: World) -> str:
        node = world.node_hosts["n0"].process
        if node is not None:
            most["lines"] = max(most["lines"], len(node.connections))
            most["all"] = max(most["all"], len(node.connections) + len(node.outbound.conns))
        return ""

    day = calm(arrivals=[1.0 + k / 1e5 for k in range(1500)], conn=replace(small_day().conn, cap=5000))
    play(day, decider=lambda settings, seed: Script(), invariants=[watch])
    assert most["all"] == 992 and 300 < most["lines"] <= 662


def test_clients_keep_their_connections_for_as_long_as_the_node_does() -> None:
    trace = io.StringIO()
    play(calm(arrivals=(1.0, 2.9, 5.0)), trace=trace)
    seen = [json.loads(line) for line in trace.getvalue().splitlines()]
    asked, taken = ([x[1] for x in seen if x[0] == what] for what in ("asked", "taken"))
    assert [b - a for a, b in zip(asked, taken, strict=True)] == [1000, 0, 1000]  # a round trip for a new one


def test_an_invariant_is_checked_after_every_event() -> None:
    day = calm(arrivals=(1.0,))
    looks: list[int] = []
    played = play(day, invariants=[lambda world: looks.append(world.engine.now_us) or ""])  # type: ignore[func-returns-value]
    assert len(looks) == played.events
    with pytest.raises(ViolationError, match=r"at 1000\d+ us of seed 1: a request is there"):
        play(day, invariants=[lambda world: "a request is there" if world.client_traffic.asked else ""])


def test_a_fault_that_cannot_be_injected_is_reported() -> None:
    with pytest.raises(FaultError, match="fault 0: found kind 'flood', allowed are condition, cut"):
        play(calm(fault("flood", 1.0)))
    with pytest.raises(FaultError, match=r"fault 1 \(pause\): found target 'd9'"):
        play(calm(fault("stop", 1.0), fault("pause", 1.0, 2.0, "d9")))


# --- Policies -------------------------------------------------------------------------------------------
HOSTS = tuple(t.Host(b"h%d" % k, 0, 0, 0, t.State.READY, 1.0, 0.0) for k in range(10))


def settings(**changes: Any) -> Settings:
    classes = (t.RequestClass(500.0, 2500.0, t.Effect.SAFE), t.RequestClass(600.0, 2000.0, t.Effect.UNSAFE))
    plain = Settings(classes, 3, 3, 1000.0, 0.1, 1000.0, 3.0, 1000.0, may_cancel=True,
                     report_fields=(t.Field.QUEUE,))  # fmt: skip
    return replace(plain, **changes)


def ask(rid: int, cls: int = 0) -> t.Request:
    return t.Request(rid, cls, 0, 0, 1000.0, 0.0)


def end(send: t.Action, outcome: Outcome, attempt: int = 0, report: tuple[float, ...] = ()) -> t.Ended:
    assert isinstance(send, t.Send)
    return t.Ended(send.id, attempt, send.host, outcome, 20.0, outcome is Outcome.OK, report)


PLAIN: tuple[Callable[[Settings, int], policies.SimplePolicy], ...] = (
    policies.RandomChoice, policies.RoundRobin, policies.LeastInflight, published_policies.EnvoyOutlier,
    published_policies.Prequal,
)  # fmt: skip


@pytest.mark.parametrize("make", PLAIN)
def test_a_simple_policy_keeps_the_rule_on_retries(
    make: Callable[[Settings, int], policies.SimplePolicy],
) -> None:
    policy = make(settings(), 1)
    assert policy.handle(0.0, ask(1)) == [t.Refuse(1)]  # nobody is there
    policy.handle(0.0, t.Hosts(t.View.FULL, HOSTS[:3]))
    sends = policy.handle(0.0, ask(2, 1))
    for outcome, attempt in ((Outcome.FULL, 0), (Outcome.UNCONNECTED, 1)):  # neither ran: on to another
        before = next(a for a in sends if isinstance(a, t.Send))
        sends = policy.handle(1.0, end(before, outcome, attempt))
        assert [a.host != before.host for a in sends if isinstance(a, t.Send)] == [True]
    last = next(a for a in sends if isinstance(a, t.Send))
    assert policy.handle(2.0, end(last, Outcome.RESET, 2)) == [t.Fail(2)]
    safe = next(a for a in policy.handle(3.0, ask(3)) if isinstance(a, t.Send))
    again = policy.handle(4.0, end(safe, Outcome.TIMEOUT))
    assert [a.id for a in again if isinstance(a, t.Send)] == [3]  # a safe one may have run
    late = policy.handle(1001.0, end(next(a for a in again if isinstance(a, t.Send)), Outcome.ERROR, 1))
    assert late == [t.Refuse(3)]
    policy.handle(0.0, t.Hosts(t.View.DELTA, tuple(replace(h, state=t.State.DRAINING) for h in HOSTS[:3])))
    assert policy.handle(5.0, ask(4)) == [t.Refuse(4)]


def test_least_inflight_and_round_robin_choose_as_they_say() -> None:
    least, turn = policies.LeastInflight(settings(), 1), policies.RoundRobin(settings(), 1)
    for policy in (least, turn):
        policy.handle(0.0, t.Hosts(t.View.FULL, HOSTS))
        sends = [a for k in range(10) for a in policy.handle(0.0, ask(k)) if isinstance(a, t.Send)]
        assert {a.host for a in sends} == {h.id for h in HOSTS}
    free = end(next(a for a in least.handle(1.0, ask(20)) if isinstance(a, t.Send)), Outcome.OK)
    least.handle(1.0, free)
    policies_choice = {least.handle(1.0, ask(30 + k))[0].host for k in range(10)}  # type: ignore[union-attr]
    assert len(policies_choice) == 10


def test_envoy_ejects_after_five_in_a_row_one_in_ten_for_thirty_seconds() -> None:
    policy = published_policies.EnvoyOutlier(settings(max_attempts=1), 1)
    policy.handle(0.0, t.Hosts(t.View.FULL, HOSTS))

    def fail(host: bytes, at: float, times: int) -> None:
        for k in range(times):
            policy.inflight[host] = 1
            policy.handle(at, t.Ended(9000 + k, 0, host, Outcome.ERROR, 5.0, True))

    def chosen(at: float) -> set[bytes]:
        got = (
            [policy.choose(policies.PendingRequest(ask(k))) for k in range(400)]
            if policy.handle(at, ask(1))
            else []
        )
        return set(got)

    fail(b"h3", 10.0, 4)
    assert b"h3" in chosen(11.0)
    fail(b"h3", 12.0, 1)
    fail(b"h4", 12.0, 5)  # a tenth of ten hosts is out already
    assert b"h3" not in chosen(13.0) and b"h4" in chosen(13.0)
    assert b"h3" not in chosen(29_000.0)
    assert b"h3" in chosen(41_000.0)


def test_prequal_takes_the_quickest_of_the_cold_ones() -> None:
    policy = published_policies.Prequal(settings(), 1)
    policy.handle(0.0, t.Hosts(t.View.FULL, HOSTS[:4]))
    policy._probes_due = policy._removals_due = -99.0  # the pool stays as it is
    for host, rif, ms in ((b"h0", 0.0, 40.0), (b"h1", 1.0, 10.0), (b"h2", 9.0, 1.0), (b"h3", 0.0, 80.0)):
        policy._pool.append(published_policies._PooledProbe(host, rif, ms, 0.0, 9.0))
        policy._rifs.append(rif)
    policy._sorted = [0.0] * 70 + [1.0] * 20 + [9.0] * 10
    assert policy.choose(policies.PendingRequest(ask(1))) == b"h1"  # h2 is quicker, but hot
    policy._sorted = [0.0] * 100
    assert policy.choose(policies.PendingRequest(ask(2))) == b"h0"


def test_probes_bypass_the_core() -> None:
    probe = d.ProbeDay(True, 300.0, 1000.0, False, 500_000)
    day = calm(arrivals=[1.0 + k / 10 for k in range(20)], probe=probe)
    played = play(day, "prequal", Judge(day))
    assert played.seen["probed"] >= 3 and played.report["offences"] == {}


def test_the_oracle_sees_fault_conditions() -> None:
    day = small_day(length_us=4 * S)
    ill = replace(day, faults=(fault("condition", 0.0, -1.0, "d0,d2,d4", effect="hang"),))
    worth = {p: play(ill, p, Judge(ill)).report["g"] for p in ("random", "oracle")}
    assert worth["oracle"] > 0.9 > worth["random"]


def test_the_oracle_keeps_the_budget_of_cold_endpoints(tmp_path: Path) -> None:
    path = tmp_path / "cold.toml"
    path.write_text(COLD)
    offences = {}
    for policy in ("round-robin", "oracle"):
        day = Case(str(path)).day(1)
        offences[policy] = play(day, policy, Judge(day)).report["offences"]
    assert offences == {"round-robin": {"cold": 1}, "oracle": {}}


@pytest.mark.parametrize("policy", POLICIES)
def test_every_policy_keeps_all_rules_except_on_cold_endpoints(policy: str) -> None:
    day = small_day()
    played = play(day, policy, Judge(day))
    assert set(played.report["offences"]) <= {"cold"} and played.owed == 0
    assert not played.faults and not played.notes["guard"]


# --- Hunting and the command line -----------------------------------------------------------------------
def test_ddmin_finds_a_minimal_failing_subset() -> None:
    tried: list[tuple[int, ...]] = []

    def both(part: tuple[int, ...]) -> bool:
        tried.append(part)
        return {3, 11} <= set(part)

    assert ddmin(tuple(range(16)), both) == (3, 11)
    assert len(tried) < 60
    assert ddmin(tuple(range(5)), lambda part: True) == ()
    assert ddmin(tuple(range(5)), lambda part: len(part) == 5) == tuple(range(5))


def test_a_different_failure_does_not_count_when_shrinking(monkeypatch: pytest.MonkeyPatch) -> None:
    """Either fault alone breaks another rule: both are needed for this one."""

    def played(case: Case, day: d.Day, only: tuple[int, ...] | None) -> Found:
        rules: dict[tuple[int, ...] | None, str] = {None: "cold", (0, 1, 2): "cold", (0, 2): "cold",
                                                    (0,): "answer", (2,): "lost"}  # fmt: skip
        return Found(day.seed, failed=rules.get(only, ""))

    monkeypatch.setattr(hunting, "_play", played)
    monkeypatch.setattr(Case, "day", lambda self, seed: calm(*[fault("stop", 1.0, -1.0, "d0")] * 3))
    found = look(Case("any"), 5)
    assert (found.failed, found.only) == ("cold", (0, 2)) and "--only-faults 0,2" in found.command


SCENARIO = """
extends = "calm"
length_s = 6
[endpoints]
count = 6
[[fault]]
kind = "pause"
at_s = 1
for_s = 0.1
target = "part:0.2"
[[fault]]
kind = "condition"
at_s = 2
target = "all"
params = { effect = "hang" }
[[fault]]
kind = "node_hup"
at_s = 3
target = "n1"
"""


@pytest.fixture
def ill(tmp_path: Path) -> str:
    path = tmp_path / "ill.toml"
    path.write_text(SCENARIO)
    return str(path)


def test_a_failing_seed_is_shrunk_to_its_cause_and_its_command_fails_again(ill: str) -> None:
    case = Case(ill, length_s=5.0, policy="least-inflight", below=0.8)
    found = look(case, 4)
    faults = case.day(4).faults
    assert found.failed == "below" and found.only is not None
    assert {faults[k].text("effect") for k in found.only} == {"hang"} and len(found.only) < len(faults)
    words = found.command.removeprefix("granitewell lab sim ").split()
    done = CliRunner().invoke(sim_command, [*words, "--json"])
    again = json.loads(done.output)
    assert again["digest"] == found.digest and again["report"]["g"] == found.g < 0.8


def test_worker_processes_give_the_same_results(ill: str) -> None:
    case = Case(ill, endpoints=3, length_s=1.0, below=0.5)
    apart = {f.seed: f.digest for f in seeds(case, range(1, 4), 2)}
    assert apart == {f.seed: f.digest for f in seeds(case, range(1, 4), 1)} and len(set(apart.values())) == 3


def test_a_day_that_cannot_be_played_fails_alone(ill: str) -> None:
    assert look(Case(ill, policy="none", length_s=1.0), 1).failed == "error"


BAD = (
    (["nowhere"], "no such file"),
    (["calm", "--only-faults", "1,x"], "--only-faults: found '1,x'"),
    (["calm", "--only-faults", "4"], "--only-faults: found 4, allowed is none"),
    (["calm", "--policy", "best"], "'best' is not one of"),
    (["calm", "--nodes", "0"], "--nodes"),
)


@pytest.mark.parametrize(("words", "text"), BAD)
def test_bad_arguments_are_one_line_and_exit_2(words: list[str], text: str) -> None:
    done = CliRunner().invoke(sim_command, words)
    assert done.exit_code == 2 and text in done.output and "Traceback" not in done.output


COLD = """
extends = "calm"
length_s = 7
[endpoints]
count = 2
[load]
utilisation = 2.0
[rules]
fall_multiple = 1.0
[[fault]]
kind = "switch_on"
at_s = 0.5
params = { count = 1 }
"""


def test_a_broken_rule_is_exit_1_with_the_first_violation(tmp_path: Path) -> None:
    """Round robin knows nothing of cold endpoints: half of the load pushes one over."""
    path = tmp_path / "cold.toml"
    path.write_text(COLD)
    done = CliRunner().invoke(sim_command, [str(path), "--policy", "round-robin"])
    assert done.exit_code == 1 and "s  cold: pushed over" in done.output
    assert done.output.splitlines()[-1].startswith("granitewell: seed 1: cold: ")


def test_the_trace_is_complete_and_a_full_disk_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    done = CliRunner().invoke(sim_command, ["calm", "--length", "1", "--trace", str(path), "--json"])
    seen = [json.loads(line) for line in path.read_text().splitlines()]
    assert len(seen) == sum(json.loads(done.output)["seen"].values())
    assert [x[1] for x in seen] == sorted(x[1] for x in seen)
    full = CliRunner().invoke(sim_command, ["calm", "--length", "1", "--trace", "/dev/full"])
    assert full.exit_code == 3 and "No space left" in full.output


@pytest.mark.parametrize("span", ["3", "5..1", "a..b", "1..999999"])
def test_a_span_of_seeds_is_checked(span: str) -> None:
    done = CliRunner().invoke(hunt_command, ["calm", "--seeds", span])
    assert done.exit_code == 2 and "--seeds: found" in done.output
