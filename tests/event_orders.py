"""Drives the core with the balancer event by event and checks its inputs and outputs with tests/checker.py.

Holds the small fleets, computes which events may come next from those so far, and translates the core's terms
into the checker's. It does not look into the core or the balancer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from granitewell import core as c
from granitewell.balancing import interface as t
from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import Effect, Host, Hosts, Outcome, State, View
from tests import wirekit as w
from tests.checker import BrokenRuleError, Checker

EVENT_INTERVAL_US = 1_000  # time between two events
LONG_WAIT_US = 550_000  # of `wait`: longer than the 500 ms after which a draining endpoint gets no requests
SETTLE_US = 5_000_000  # after which every request must have been answered
SAFE, UNSAFE = 0, 1
CLIENT_TIMEOUT_US = 900_000  # how long clients wait
ENDPOINT_IDS = (b"s-0", b"s-1")
ANSWER_TIME_US = 20_000  # how long the answers to a burst take
WARM_CAPACITY_REQUESTS = 200  # requests that a warm endpoint of two cores serves in the 2 s window of rule 4
BURST_REQUESTS = 100

Event = tuple[str, int]  # kind, and index of the endpoint, request or outstanding call
Order = tuple[Event, ...]


@dataclass(slots=True)
class OutstandingCall:
    """A call to an endpoint that has not ended."""

    inbound: int
    endpoint: bytes
    at_us: int
    address: tuple[str, int]
    attempt: int = -1  # -1: no byte of it has been written
    dialing_reported: bool = False  # the core has been told that it is being dialed


class World:
    """Runs one order of events.

    Args:
        nodes: How many nodes share the fleet; one checker checks the requests of all of them.
        core: The class of the core.
        balancer: The class of the balancer.
        parallel: Whether parallel attempts are allowed.
    """

    def __init__(
        self, nodes: int = 1, core: type[c.Core] = c.Core, balancer: type[Balancer] = Balancer,
        parallel: bool = True,
    ) -> None:  # fmt: skip
        self.settings = w.settings(parallel_tries=parallel, may_cancel=True, proxies=nodes)
        self.cores = [core(self.settings, balancer(self.settings, k + 1), 500) for k in range(nodes)]
        self.checker = Checker(self.settings)
        self.checker.peak = WARM_CAPACITY_REQUESTS
        self.now = 10_000_000
        self.members = [
            c.DiscoveredEndpoint(x, ("127.0.0.1", 80 + k), 0, 0, k, State.READY, 1.0, 0)
            for k, x in enumerate(ENDPOINT_IDS)
        ]
        self.calls_by_node: dict[int, dict[int, OutstandingCall]] = {
            k: {} for k in range(nodes)
        }  # by node, by call
        self.answers: dict[int, int] = {}
        self.incomplete_requests: set[int] = set()  # requests whose body is not complete yet
        self.started_answers: set[int] = set()  # requests whose answer has started
        self.banned: set[bytes] = set()
        self.request_count = 0
        self.released: set[int] = set()
        self._departed: set[int] = set()
        self.report_hosts(View.FULL, self.members)
        for k in range(nodes):
            self.feed(k, c.EndpointListUpdate(View.FULL, tuple(self.members)))
            self.feed(k, c.Listening())

    # --- Reports to the checker -------------------------------------------------------------------------
    def check_rules(self, event: t.Event, *actions: t.Action) -> None:
        self.checker.step(self.now / 1000, event, actions)

    def report_hosts(self, view: View, members: list[c.DiscoveredEndpoint]) -> None:
        """Report the endpoint list, with banned endpoints as gone."""
        hosts = [Host(m.id, m.zone, m.kind, m.cell, State.GONE if m.id in self.banned else m.state, 1.0,
                      m.started_us / 1000) for m in members]  # fmt: skip
        self.check_rules(Hosts(view, tuple(hosts)))

    def feed(self, node: int, event: c.Event) -> None:
        for effect in self.cores[node].handle(self.now, event):
            self.run_effect(node, effect)
        for number, call in list(self.calls_by_node[node].items()):
            if call.attempt < 0 and not call.dialing_reported:
                call.dialing_reported = True
                self.feed(node, c.CallDialing(number))

    def run_effect(self, node: int, effect: c.Effects) -> None:
        calls = self.calls_by_node[node]
        if isinstance(effect, c.StartCall):
            inbound = int(str(effect.message))
            calls[effect.call] = OutstandingCall(inbound, effect.endpoint, self.now, effect.address)
            if not self.dials:
                self.call_written(calls[effect.call])
        elif isinstance(effect, c.WriteCall):
            self.call_written(calls[effect.call])
        elif isinstance(effect, c.AbandonCall):
            call = calls.pop(effect.call, None)
            if call is not None:
                self.call_ended(call, Outcome.CANCELLED)
        elif isinstance(effect, c.SendResponse):
            self.count_answer(effect.downstream_id)
            if effect.status is c.ResponseStatus.SERVED:
                if effect.downstream_id in self.checker.open:
                    raise BrokenRuleError(
                        f"rule 1: {effect.downstream_id} was served without an answer of an endpoint"
                    )
            else:
                refused = effect.status is c.ResponseStatus.REJECTED
                self.check_rules(
                    t.Timer(0), t.Refuse(effect.downstream_id) if refused else t.Fail(effect.downstream_id)
                )
        elif isinstance(effect, c.StartResponse):
            self.count_answer(effect.downstream_id)
            self.started_answers.add(effect.downstream_id)
            self.check_rules(t.FirstByte(effect.downstream_id, 0, 0.0))
        elif isinstance(effect, c.LogLine) and effect.topic in ("fault", "overdue", "guard"):
            raise BrokenRuleError(f"the node says {effect.topic}: {effect.line}")

    dials = True  # a call needs a new connection; False: an idle connection takes it at once

    def call_written(self, call: OutstandingCall) -> None:
        call.attempt = len(self.checker.tries[call.inbound])
        if call.inbound in self.released:
            raise BrokenRuleError(f"rule 2: {call.inbound} goes out again, and its beginning is held no more")
        if call.address != self.members[ENDPOINT_IDS.index(call.endpoint)].address:
            raise BrokenRuleError(f"rule 3: {call.inbound} goes to an address that the list has taken back")
        self.check_rules(t.Timer(0), t.Send(call.inbound, call.endpoint))

    def call_ended(self, call: OutstandingCall, outcome: Outcome) -> None:
        if call.attempt >= 0:
            final = outcome is Outcome.OK or call.inbound not in self.checker.open
            self.check_rules(t.Ended(call.inbound, call.attempt, call.endpoint, outcome, 1.0, final))

    def count_answer(self, inbound: int) -> None:
        self.answers[inbound] = self.answers.get(inbound, 0) + 1
        if self.answers[inbound] > 1:
            raise BrokenRuleError(f"rule 1: {inbound} has two answers")

    # --- Time -------------------------------------------------------------------------------------------
    def advance(self, us: int) -> None:
        until = self.now + us
        while True:
            due = [(x.wake_us, k) for k, x in enumerate(self.cores) if 0 <= x.wake_us <= until]
            if not due:
                break
            at, node = min(due)
            self.now = max(at, self.now)
            self.feed(node, c.TimerExpired())
            self.check_rules(t.Timer(0))
        self.now = until
        self.check_rules(t.Timer(0))

    def end(self) -> None:
        """Let time pass without further events; every request must be answered in time."""
        for inbound in list(self.incomplete_requests):
            self.play(("gone", inbound))
        self.advance(SETTLE_US)
        if unanswered := set(self.checker.open) | {k for k in self.started_answers if self.answers[k] != 1}:
            raise BrokenRuleError(f"rule 1: {unanswered} have no answer")

    # --- Events -----------------------------------------------------------------------------------------
    def play(self, event: Event) -> None:
        self.advance(EVENT_INTERVAL_US)
        what, which = event
        getattr(self, f"on_{what}")(which)
        self.check_rules(t.Timer(0))

    def arrive(self, node: int, cls: int, body_incomplete: bool = False) -> None:
        self.request_count += 1
        inbound = self.request_count
        due = 1e12 if body_incomplete else (self.now + CLIENT_TIMEOUT_US) / 1000
        self.check_rules(t.Request(inbound, cls, 0, 0, due, 0.0))
        if body_incomplete:
            self.incomplete_requests.add(inbound)
        self.feed(
            node,
            c.RequestReceived(
                inbound, cls, 0, 0, CLIENT_TIMEOUT_US, str(inbound), body_incomplete=body_incomplete
            ),
        )

    def on_safe(self, node: int) -> None:
        self.arrive(node, SAFE)

    def on_unsafe(self, node: int) -> None:
        self.arrive(node, UNSAFE)

    def on_large(self, node: int) -> None:
        self.arrive(node, UNSAFE, True)

    def on_burst(self, node: int) -> None:
        for _ in range(BURST_REQUESTS):
            self.arrive(node, SAFE)

    def call(self, which: int) -> tuple[int, int, OutstandingCall]:
        """Return the outstanding call with this index, over all nodes."""
        return [(node, k, x) for node, calls in self.calls_by_node.items() for k, x in calls.items()][which]

    def on_connected(self, which: int) -> None:
        node, number, _ = self.call(which)
        self.feed(node, c.CallDialed(number))

    def end_call(self, which: int, outcome: Outcome) -> None:
        node, number, call = self.call(which)
        del self.calls_by_node[node][number]
        self.call_ended(call, outcome)
        self.feed(node, c.CallEnded(number, outcome, (), "answer"))
        if outcome is Outcome.OK and call.inbound in self.waiting and self.answers.get(call.inbound, 0) != 1:
            raise BrokenRuleError(
                f"rule 1: {call.inbound} was served by an endpoint, and its client has no answer"
            )

    @property
    def waiting(self) -> set[int]:
        """The requests whose clients have not left."""
        return set(range(1, self.request_count + 1)) - self.departed

    def on_refused(self, which: int) -> None:
        self.end_call(which, Outcome.UNCONNECTED)

    def on_ok(self, which: int) -> None:
        self.end_call(which, Outcome.OK)

    def on_error(self, which: int) -> None:
        self.end_call(which, Outcome.ERROR)

    def on_reset(self, which: int) -> None:
        self.end_call(which, Outcome.RESET)

    def on_full(self, which: int) -> None:
        self.end_call(which, Outcome.FULL)

    def on_all_ok(self, _: int) -> None:
        self.advance(ANSWER_TIME_US)
        for node, calls in self.calls_by_node.items():
            for number in list(calls):
                if number in calls:
                    call = calls.pop(number)
                    self.call_ended(call, Outcome.OK)
                    self.feed(node, c.CallEnded(number, Outcome.OK, (), "answer"))

    def on_began(self, which: int) -> None:
        node, number, _ = self.call(which)
        self.feed(node, c.ResponseStarted(number, "head"))

    @property
    def departed(self) -> set[int]:
        return self._departed

    def on_gone(self, inbound: int) -> None:
        self._departed = self._departed | {inbound}
        self.incomplete_requests.discard(inbound)
        self.check_rules(t.Abandoned(inbound))
        for node in range(len(self.cores)):
            self.feed(node, c.DownstreamClosed(inbound))

    def on_whole(self, inbound: int) -> None:
        self.incomplete_requests.discard(inbound)
        if inbound in self.checker.open:
            due = (self.now + CLIENT_TIMEOUT_US) / 1000
            self.checker.open[inbound] = replace(self.checker.open[inbound], due_ms=due)
        self.feed(0, c.RequestBodyComplete(inbound))

    def on_let_go(self, inbound: int) -> None:
        self.released.add(inbound)
        self.feed(0, c.RequestBodyReleased(inbound))

    def update_endpoint(self, which: int, **changes: Any) -> None:
        self.members[which] = replace(self.members[which], **changes)
        for node in range(len(self.cores)):
            self.feed(node, c.EndpointListUpdate(View.DELTA, (self.members[which],)))
        self.report_hosts(View.DELTA, [self.members[which]])

    def on_drain(self, which: int) -> None:
        self.update_endpoint(which, state=State.DRAINING)

    def on_drain_other(self, _: int) -> None:
        self.update_endpoint(1, state=State.DRAINING)

    def on_vanish(self, which: int) -> None:
        """Send a full list without this endpoint."""
        self.members[which] = replace(self.members[which], state=State.GONE)
        there = [m for m in self.members if m.state is not State.GONE]
        self.report_hosts(View.FULL, there)
        for node in range(len(self.cores)):
            self.feed(node, c.EndpointListUpdate(View.FULL, tuple(there)))

    def on_back(self, which: int) -> None:
        self.update_endpoint(which, state=State.READY)

    def on_restart(self, which: int) -> None:
        self.update_endpoint(which, state=State.READY, started_us=self.now)

    def on_move(self, which: int) -> None:
        host, port = self.members[which].address
        self.update_endpoint(which, address=(host, port + 10), started_us=self.now)

    def on_ban(self, which: int) -> None:
        self.banned.add(ENDPOINT_IDS[which])
        self.report_hosts(View.DELTA, [self.members[which]])
        self.feed(0, c.BanRequested(1, ENDPOINT_IDS[which]))

    def on_lift(self, which: int) -> None:
        self.banned.discard(ENDPOINT_IDS[which])
        self.report_hosts(View.DELTA, [replace(self.members[which], started_us=self.now)])
        self.feed(0, c.UnbanRequested(1, ENDPOINT_IDS[which]))

    def on_reload(self, _: int) -> None:
        """Make the safe class unsafe from now on; open requests keep the settings that they came with."""
        classes = tuple(replace(x, effect=Effect.UNSAFE) for x in self.settings.classes)
        later = replace(self.settings, classes=classes, max_attempts=2)
        self.feed(0, c.SettingsChanged(later, 500))

    def on_stop(self, _: int) -> None:
        self.feed(0, c.StopRequested())

    def on_wait(self, _: int) -> None:
        self.advance(LONG_WAIT_US)

    # --- Possible events -----------------------------------------------------------------------------
    def possible(self, kinds: tuple[str, ...], order: Order) -> Iterator[Event]:
        """Return the events that can happen now, once for each call or request that they apply to."""
        past_kinds = {what for what, _ in order}
        calls = [x for each in self.calls_by_node.values() for x in each.values()]
        for kind in kinds:
            rule = PREREQUISITES.get(kind)
            if kind in CALL_EVENTS:
                yield from ((kind, k) for k, x in enumerate(calls) if CALL_EVENTS[kind](self, x))
            elif kind in REQUEST_EVENTS:
                yield from ((kind, k) for k in sorted(self.waiting) if REQUEST_EVENTS[kind](self, k))
            elif kind == "burst":
                yield from ((kind, k) for k in range(len(self.cores)))
            elif kind == "wait" or (kind not in past_kinds and (rule is None or rule & past_kinds)):
                yield kind, 0


# For events that happen at most once: one of these must have happened before.
PREREQUISITES = {"back": {"drain", "vanish"}, "lift": {"ban"}}
CALL_EVENTS: dict[str, Callable[[World, OutstandingCall], bool]] = {
    "connected": lambda _, x: x.attempt < 0,
    "refused": lambda _, x: x.attempt < 0,
    "ok": lambda world, x: x.attempt >= 0 and x.inbound not in world.incomplete_requests,
    "error": lambda _, x: x.attempt >= 0,
    "reset": lambda _, x: x.attempt >= 0,
    "full": lambda world, x: x.attempt >= 0 and x.inbound not in world.started_answers,
    "began": lambda world, x: x.attempt >= 0
    and x.inbound not in world.started_answers | world.incomplete_requests,
}
REQUEST_EVENTS: dict[str, Callable[[World, int], bool]] = {
    "gone": lambda _world, _k: True,
    "whole": lambda world, k: k in world.incomplete_requests,
    "let_go": lambda world, k: k in world.incomplete_requests
    and any(
        x.inbound == k and x.attempt >= 0 for calls in world.calls_by_node.values() for x in calls.values()
    ),  # its beginning has been written, and more
}
