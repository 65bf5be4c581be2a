"""The reducer: every change of the node's state happens in Core.handle, events in and effects out.

It owns the request table, the outbound calls, the fleet, the timers, the phase and the Balancer, and it
guards the platform's rules a second time, whatever the module asks for. It must never do I/O, read a clock,
know a byte of any protocol (messages and answers pass through as opaque objects), or decide where a request
goes: that is granitewell.balancing's. Time is whole microseconds, given by the caller; the module's float
milliseconds exist only at its door (_ask and _act).
"""

from __future__ import annotations

import traceback
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any, Protocol

from granitewell.balancing import interface as t
from granitewell.balancing.interface import Effect, Outcome, Scope, State, View
from granitewell.core.tables import Call, Endpoint, Held
from granitewell.core.types import (
    AbandonCall,
    Acting,
    Answer,
    Arrived,
    BanAsked,
    BanLifted,
    BansHeard,
    Begin,
    CallBegan,
    CallDialed,
    CallDialing,
    CallEnded,
    CallPart,
    CloseIdle,
    Effects,
    Event,
    Finish,
    FleetNews,
    InboundGone,
    KeepBan,
    Leave,
    LetGo,
    Listening,
    Member,
    Note,
    Pass,
    Phase,
    Ruled,
    Ruling,
    Serving,
    Settled,
    StartCall,
    StopAsked,
    StopListening,
    Verdict,
    Whole,
    Woken,
    WriteCall,
)

# Past a request's deadline, when the core itself answers: half of the slack that the platform allows.
OVERDUE_GRACE_US = 25_000
MIN_TIMEOUT_LIMIT_US = 10_000_000  # a client may always ask for this timeout, whatever its class
# Timeout of a request whose body is still arriving; in practice its client's own timeout ends it.
STREAMED_BODY_TIMEOUT_US = 3_600_000_000
MIN_REMAINING_US = 1_000  # a call with less time left is not written to its connection
ACCEPT_AFTER_STOP_US = 500_000  # new connections still arrive for up to 400 ms after the stop signal
# Where another process shares the listener it closes at once, and the last requests may come on existing
# connections until this long before the node exits.
SHARED_LISTENER_DRAIN_US = 700_000
READ_AFTER_CLOSE_US = 100_000  # after the listener has closed, for requests on connections accepted before
MAX_DRAIN_DEADLINE_US = 3_000_000  # the longest request deadline that the platform waits for before SIGKILL
# The platform kills the process 700 ms after that deadline. The node exits by itself this long after it, and
# its process may live on for the second figure, for responses that clients are slow to read.
SHUTDOWN_MARGIN_US = 450_000
RESPONSE_FLUSH_US = 150_000
MAX_KNOWN_ENDPOINTS = 10_000  # endpoints that an operator may name although no list contains them now
ENDPOINT_RETENTION_US = 60_000_000  # how long an endpoint that is gone stays in the table
STATS_INTERVAL_US = 5_000_000  # between two log lines of statistics

NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT})


def _text(eid: bytes) -> str:
    """An endpoint's id for the log."""
    return eid.decode(errors="replace")


class Decider(Protocol):
    """What the core needs of granitewell.balancing.balancer.Balancer."""

    def handle(self, now: float, event: t.Event) -> list[t.Action]: ...


class Core:
    """The node's state. handle(now_us, event) gives the effects to run, in order."""

    def __init__(self, settings: t.Settings, balancer: Decider, most_held: int) -> None:
        self.phase = Phase.STARTING
        self.stats: Counter[str] = Counter()
        self._set, self._balancer, self._most_held = settings, balancer, most_held
        self._now = 0
        self._out: list[Effects] = []
        self._work: deque[t.Event] = deque()  # for the module, also what its own actions have brought about
        self._requests: dict[int, Held] = {}
        self._by_inbound: dict[int, Held] = {}
        self._names: set[bytes] = set()  # the clients' ids of the requests that are open
        self._calls: dict[int, Call] = {}
        self._fleet: dict[bytes, Endpoint] = {}
        self._bans: dict[bytes, int] = {}  # whatever the list says of them, and since when
        self._back_us: dict[bytes, int] = {}  # when the ban of an endpoint ended
        self._named: dict[bytes, None] = {}  # endpoints that a list has named, the last named last
        self._timers: list[tuple[int, int, str, Any]] = []
        self._last_id = self._seq = 0
        self._listening = self._beating = False
        self._nodes: t.Acting | None = None  # as the nodes see themselves; None where nobody says so
        self._module_us = -1  # when the module's timer is due; -1: none
        self.leave_by_us = -1  # once it is asked to stop: when the process must be gone

    # --- The only way in --------------------------------------------------------------------------------
    def handle(self, now_us: int, event: Event) -> list[Effects]:
        """Apply one event. No exception leaves here: a fault costs its own request, not the process."""
        self._now = max(now_us, self._now)
        self._out = []
        call = self._calls.get(getattr(event, "call", -1))  # its end takes it out of the table
        try:
            self._apply(event)
        except Exception:
            self._fault(f"the reducer failed on {type(event).__name__}")
            request = call.request if call else self._by_inbound.get(getattr(event, "inbound", -1))
            if request is not None and request.open:
                self._close(request, Verdict.FAILED)
            elif isinstance(event, Arrived) and not any(isinstance(x, Answer) for x in self._out):
                self._out.append(Answer(event.inbound, Verdict.FAILED))  # it broke before it had a place
        self._settle()
        return self._out

    def _apply(self, event: Event) -> None:
        if isinstance(event, Arrived):
            self._arrived(event)
        elif isinstance(event, CallEnded):
            call = self._calls.get(event.call)
            if call is not None:
                self._end(call, event.outcome, event.report, event.answer)
        elif isinstance(event, Woken):
            self._woken()
        elif isinstance(event, CallDialing):
            if event.call in self._calls:
                self._calls[event.call].dialing = True
        elif isinstance(event, CallDialed):
            self._dialed(event.call)
        elif isinstance(event, CallBegan):
            self._began(event)
        elif isinstance(event, CallPart):
            call = self._calls.get(event.call)
            if call is not None and call.streams:
                self._out.append(Pass(call.request.inbound, event.part))
        elif isinstance(event, InboundGone):
            self._gone(event.inbound)
        elif isinstance(event, Whole):
            self._whole(event.inbound)
        elif isinstance(event, LetGo):
            if event.inbound in self._by_inbound:
                self._by_inbound[event.inbound].let_go = True
        elif isinstance(event, FleetNews):
            self._news(event)
        elif isinstance(event, Listening):
            if self.phase is Phase.STARTING:  # else a stop has come before
                self._listening = True
        elif isinstance(event, BanAsked | BanLifted):
            self._ruled(event)
        elif isinstance(event, BansHeard):
            self._heard(event)
        elif isinstance(event, Settled):
            self._set, self._most_held = event.settings, event.most_held
            self._work.append(t.Resettled(event.settings))
            if self._nodes is not None:
                self._work.append(self._nodes)
        elif isinstance(event, Acting):
            self._nodes = t.Acting(max(event.most, 1), max(event.up, 1.0), event.parts)
            self._work.append(self._nodes)
        else:
            self._stop(event)
        self._think()

    @property
    def wake_us(self) -> int:
        """When Woken is due; -1 for never."""
        return self._timers[0][0] if self._timers else -1

    @property
    def held(self) -> int:
        """Requests that are owed an answer."""
        return len(self._requests)

    def _note(self, topic: str, line: str) -> None:
        self._out.append(Note(topic, line))

    def _fault(self, what: str) -> None:
        self.stats["faults"] += 1
        told = traceback.format_exc().partition("\nThe above exception")[0]  # the cause, where there is one
        self._note("fault", f"{what}: {' | '.join(told.strip().splitlines()[-5:])}")

    # --- Timers -----------------------------------------------------------------------------------------
    def _at(self, when_us: int, what: str, arg: Any = None) -> None:
        self._seq += 1
        heappush(self._timers, (when_us, self._seq, what, arg))

    def _woken(self) -> None:
        """Run what is due.

        Calls that end with their request are heard of before the module's own timer of the same moment, as on
        the simulator's wire.
        """
        due = []
        while self._timers and self._timers[0][0] <= self._now:
            due.append(heappop(self._timers))
        due.sort(key=lambda x: (x[2] == "module", x[0], x[1]))
        for when, _, what, arg in due:
            if what == "call":
                call = self._calls.get(arg)
                if call is not None and not call.streams:  # a stream that has begun has no time of its own
                    self._out.append(AbandonCall(call.id))
                    # nothing has been written to a connection that is not up: this one never ran
                    self._end(call, Outcome.UNCONNECTED if call.dialing else Outcome.TIMEOUT)
            elif what == "module":
                self._think()
                if when == self._module_us:
                    self._module_us = -1
                    self._ask(t.Timer(arg))
            elif what == "guard":
                self._overdue(arg)
            elif what == "beat":
                self._beat()
            elif what == "accepted":
                self._out.append(StopListening())
                self._at(self._now + READ_AFTER_CLOSE_US, "heard")
            elif what == "heard":
                self._listening = False
            elif what == "leave" and self.phase is Phase.DRAINING:
                self._note("phase", f"no time is left: leaving, {len(self._requests)} are answered unserved")
                for request in list(self._requests.values()):
                    self._close(request, Verdict.FAIL_FAST if self._harmless(request) else Verdict.FAILED)
                self.phase = Phase.STOPPED
                self._out.append(Leave())

    def _overdue(self, rid: int) -> None:
        """Rule 1, against a module that forgets or fails: the core's own last word, inside the slack."""
        request = self._requests.get(rid)
        if request is not None and not request.streams:
            self._note("overdue", f"request {rid} had no answer at its due time: answered as failed")
            self._close(request, Verdict.FAILED)
            self._work.append(t.Abandoned(rid))

    def _beat(self) -> None:
        self._at(self._now + STATS_INTERVAL_US, "beat")
        ready = sum(e.told_us < 0 for e in self._fleet.values())
        figures = " ".join(f"{k}={v}" for k, v in sorted(self.stats.items()))
        self._note("beat", f"held={len(self._requests)} calls={len(self._calls)} endpoints={ready} {figures}")

    # --- Phases -----------------------------------------------------------------------------------------
    def _settle(self) -> None:
        """Move on to the phase that the state allows."""
        able = self._listening and any(e.told_us < 0 for e in self._fleet.values())
        if self.phase is Phase.STARTING and able:
            self.phase = Phase.READY
            self._note("phase", f"ready with {len(self._fleet)} endpoints, {len(self._bans)} banned")
            self._out.append(Serving())
        if not self._beating and self._listening:
            self._beating = True
            self._at(self._now + STATS_INTERVAL_US, "beat")
        if self.phase is Phase.DRAINING and not self._listening and not self._requests:
            self._note("phase", "all is answered: leaving")
            self.phase = Phase.STOPPED
            self._out.append(Leave())

    def _stop(self, event: StopAsked) -> None:
        if self.phase in (Phase.DRAINING, Phase.STOPPED):
            return
        self.phase = Phase.DRAINING
        self._note("phase", f"asked to stop with {len(self._requests)} requests held")
        longest = max(int(c.deadline_ms * 1000) for c in self._set.classes)
        end = self._now + min(longest, MAX_DRAIN_DEADLINE_US) + SHUTDOWN_MARGIN_US
        if event.shared:  # the other process takes what comes; here clients use up the connections they hold
            self._out.append(StopListening())
            self._at(end - SHARED_LISTENER_DRAIN_US, "heard")
        else:
            self._at(self._now + ACCEPT_AFTER_STOP_US, "accepted")
        self._at(end, "leave")
        self.leave_by_us = end + RESPONSE_FLUSH_US

    # --- Requests ---------------------------------------------------------------------------------------
    def _arrived(self, event: Arrived) -> None:
        self.stats["taken"] += 1
        closing = self.phase is not Phase.READY and self.phase is not Phase.STARTING
        if self.phase is Phase.STOPPED:
            # the process ends at any moment: what it began would run, and nobody would hear how it went
            self._out.append(Answer(event.inbound, Verdict.FAIL_FAST, None, 0, closing))
            return
        if len(self._requests) >= self._most_held:
            self.stats["table_full"] += 1
            self._note("full", f"the table holds {len(self._requests)} requests: turned away")
            wait = int(self._set.max_retry_after_ms * 1000) if self._set.retry_after else 0
            self._out.append(Answer(event.inbound, Verdict.FAIL_FAST, None, wait, closing))
            return
        if event.beyond_us >= 0:
            self.stats["beyond"] += 1
            wait = min(event.beyond_us, int(self._set.max_retry_after_ms * 1000))
            wait = wait if self._set.retry_after else 0
            self._out.append(Answer(event.inbound, Verdict.FAIL_FAST, None, wait, closing))
            return
        if event.name in self._names:
            # whoever sends the id of another's open request must not be served as though its own had run
            self.stats[Verdict.SAME_ID.value] += 1
            self._note("same-id", f"a request with the id of request {event.name.decode(errors='replace')}, "
                       "which is open: not taken")  # fmt: skip
            self._out.append(Answer(event.inbound, Verdict.SAME_ID, None, 0, closing))
            return
        self._last_id += 1
        cls = self._set.classes[event.class_index]
        once = event.once and cls.effect is Effect.SAFE  # a client that has not heard of other settings
        if once:
            cls = replace(cls, effect=Effect.UNSAFE)
        # a time without end would hold its place in every table; no client of the class waits longer
        wait = min(event.timeout_us, max(int(cls.deadline_ms * 1000), MIN_TIMEOUT_LIMIT_US))
        told = self._now + wait  # the module holds it for no longer, be its body whole or not
        due = self._now + STREAMED_BODY_TIMEOUT_US if event.flows else told
        request = Held(self._last_id, event, cls, due, wait, self._set.max_attempts)
        if event.name:
            self._names.add(event.name)
        self._requests[request.id] = self._by_inbound[event.inbound] = request
        if not event.flows:
            self._at(due + OVERDUE_GRACE_US, "guard", request.id)
        self._work.append(t.Request(
            request.id, event.class_index, event.tenant, event.key, told / 1000, 0.0, event.repeat, once,
            event.flows,
        ))  # fmt: skip

    def _whole(self, inbound: int) -> None:
        """The body has come: the request's time begins, and that of the call that is out for it."""
        request = self._by_inbound.get(inbound)
        if request is None or not request.flows:
            return
        request.flows = False
        request.due_us = self._now + request.wait_us
        self._at(request.due_us + OVERDUE_GRACE_US, "guard", request.id)
        out = [call for call in request.calls if call.outcome is None]
        for call in out:
            call.at_us, call.due_us = self._now, request.due_us
            self._at(call.due_us, "call", call.id)
        number = out[-1].number if out else -1
        self._work.append(t.Uploaded(request.id, number, request.due_us / 1000))

    def _close(self, request: Held, verdict: Verdict, answer: object = None, wait_us: int = 0) -> None:
        """Give the one final answer, or end the one that has begun."""
        self._forget(request)
        self.stats[verdict.value] += 1
        closing = self.phase is Phase.DRAINING
        if request.streams:
            self._out.append(Finish(request.inbound, verdict is Verdict.SERVED, answer, closing))
        else:
            self._out.append(Answer(request.inbound, verdict, answer, wait_us, closing))

    def _forget(self, request: Held) -> None:
        request.open = False
        self._names.discard(request.name)
        del self._requests[request.id]
        del self._by_inbound[request.inbound]

    def _gone(self, inbound: int) -> None:
        request = self._by_inbound.get(inbound)
        if request is not None:
            self.stats["abandoned"] += 1
            self._forget(request)
            for call in request.calls:
                # the module let go of it when it began; a body that flows will never be whole, be the module
                # free to cancel or not; and nothing new begins for a client that has left
                lost = call.streams or request.flows or request.forgotten or call.dialing
                if lost and call.outcome is None:
                    self._out.append(AbandonCall(call.id))
                    self._end(call, Outcome.CANCELLED)
            self._work.append(t.Abandoned(request.id))

    # --- Outbound calls ---------------------------------------------------------------------------------
    def _sendable(self, endpoint: Endpoint) -> bool:
        """Rule 3 and the operators' bans: may a first byte go to this endpoint now?

        The grace that the rule leaves counts from when the agent had the news, which this node may hear late:
        none of it is used.
        """
        return endpoint.told_us < 0 and endpoint.member.id not in self._bans

    def _repeatable(self, request: Held, endpoint: Endpoint, this: Call | None = None) -> bool:
        """Rule 2: may this request go out (again) to this endpoint, given its other calls?"""
        ran = [c for c in request.calls if c.outcome not in NEVER_RAN and c is not this]
        if request.let_go or (request.one_feed and any(c.outcome is None for c in ran)):
            return False  # what has been let go can't be sent again, and one body feeds one call
        if not self._set.parallel_tries and any(c.outcome is None for c in ran):
            return False
        if not ran or request.cls.effect is Effect.SAFE:
            return True
        if request.cls.effect is Effect.UNSAFE or self._now - ran[0].at_us > request.cls.window_ms * 1000:
            return False
        was, now = ran[0].endpoint.member, endpoint.member
        scope = request.cls.scope
        return scope is Scope.ALL or (was.zone == now.zone if scope is Scope.ZONE else was.cell == now.cell)

    def _send(self, action: t.Send) -> None:
        """Start a call, or tell the module that it was moot where a rule forbids it."""
        request, endpoint = self._requests.get(action.id), self._fleet.get(action.host)
        if request is None or endpoint is None or request.streams:
            self._note("guard", f"held back a send: request {action.id} or its endpoint is not known")
            self.stats["guarded"] += 1
            return
        number = len(request.calls)
        if number >= request.attempts:
            # to call this moot would let a module that sends after every ending do so for ever
            self._note("guard", f"request {request.id} has had its {number} attempts: answered as failed")
            self.stats["guarded"] += 1
            self._close(request, Verdict.FAILED)
            self._work.append(t.Abandoned(request.id))
            return
        self._last_id += 1
        due = request.due_us
        if action.timeout_ms > 0.0 and not request.flows:
            due = min(due, self._now + round(action.timeout_ms * 1000))
        call = Call(self._last_id, request, number, endpoint, self._now, due)
        allowed = self._sendable(endpoint) and self._repeatable(request, endpoint)
        request.calls.append(call)
        self._calls[call.id] = call
        if not allowed:
            self._note("guard", f"held back a send of request {action.id}: a rule forbids it")
            self.stats["guarded"] += 1
            self._end(call, Outcome.MOOT)
            return
        self.stats["sent"] += 1
        if not request.flows:
            self._at(due, "call", call.id)
        to = endpoint.member
        self._out.append(
            StartCall(call.id, to.id, to.address, request.message, due, to.protocol, request.inbound)
        )

    def clear(self, cid: int) -> bool:
        """The last look before the first byte, where no dial lies between: is this call still to be made?"""
        call = self._calls.get(cid)
        return call is not None and self._may_write(call)

    def _may_write(self, call: Call) -> bool:
        """The one gate before a first byte, asked in the turn in which it goes, of every call.

        First or further, on an idle connection or a dialed one. An endpoint that has moved is not there: what
        answers at its old address by now may be another one, which drains or is banned.
        """
        request, endpoint = call.request, call.endpoint
        return (
            request.open and not request.streams
            and call.due_us - self._now >= MIN_REMAINING_US
            and call.address == endpoint.member.address
            and self._sendable(endpoint)
            and self._repeatable(request, endpoint, call)
        )  # fmt: skip

    def _dialed(self, cid: int) -> None:
        """A dial takes time: whatever held when it began is asked again."""
        call = self._calls.get(cid)
        if call is None:
            return
        call.dialing = False
        self.stats["dialed"] += 1
        if self._may_write(call):
            self._out.append(WriteCall(cid))
        else:
            self._out.append(AbandonCall(cid))
            self._end(call, Outcome.MOOT)

    def _began(self, event: CallBegan) -> None:
        """The first answer that begins is the request's; every other call of it is of no more use."""
        call = self._calls.get(event.call)
        if call is None:
            return
        request = call.request
        if not request.open or request.streams:
            self._out.append(AbandonCall(call.id))
            self._end(call, Outcome.CANCELLED, event.report)
            return
        request.streams = call.streams = True
        self.stats["begun"] += 1
        self._out.append(Begin(request.inbound, event.answer))
        # to the module it has ended: what counts is the first byte, and the rest goes at its client's pace
        self._work.append(t.Ended(request.id, call.number, call.endpoint.member.id, Outcome.OK,
                                  (self._now - call.at_us) / 1000, True, event.report))  # fmt: skip
        for other in request.calls:
            if other is not call and other.outcome is None:
                self._out.append(AbandonCall(other.id))
                self._end(other, Outcome.CANCELLED)

    def _end(
        self, call: Call, outcome: Outcome, report: tuple[float, ...] = (), answer: object = None
    ) -> None:
        """The one ending of a call; the first OK of an open request is its answer."""
        del self._calls[call.id]
        call.outcome = outcome
        self.stats[f"call_{outcome.value}"] += 1
        self.stats["reports"] += bool(report)
        request = call.request
        try:
            if request.open and call.streams:
                # what has begun can't begin again elsewhere: it ends here, whole or visibly not
                self._close(request, Verdict.SERVED if outcome is Outcome.OK else Verdict.FAILED, answer)
            elif outcome is Outcome.OK and request.open and not request.streams:
                self._close(request, Verdict.SERVED, answer)
            elif request.open and (request.let_go or request.forgotten) and outcome is not Outcome.OK:
                # it can go nowhere else: answered at once
                self._close(request, Verdict.FAIL_FAST if self._harmless(request) else Verdict.FAILED)
        finally:  # whatever broke: the module counts it as out until it hears of this
            if not call.streams:
                self._work.append(t.Ended(
                    request.id, call.number, call.endpoint.member.id, outcome,
                    (self._now - call.at_us) / 1000, not request.open, report,
                ))  # fmt: skip

    # --- Fleet ------------------------------------------------------------------------------------------
    def _news(self, event: FleetNews) -> None:
        named = {m.id for m in event.members}
        if event.view is not View.DELTA:
            for eid, known in self._fleet.items():
                if eid not in named:
                    self._mark(known)
        for member in event.members:
            endpoint = self._fleet.get(member.id)
            if endpoint is None:
                endpoint = self._fleet[member.id] = Endpoint(member)
            else:
                was, endpoint.member = endpoint.member, member
                if (was.address, was.started_us) != (member.address, member.started_us):
                    self._out.append(CloseIdle(member.id))  # another process answers there now
            if member.state is State.READY:
                endpoint.told_us = -1
            else:
                self._mark(endpoint)
        old = [
            k
            for k, e in self._fleet.items()
            if 0 <= e.told_us < self._now - ENDPOINT_RETENTION_US and k not in named
        ]
        for eid in old:
            del self._fleet[eid]
        self._remember(named)
        self._work.append(t.Hosts(event.view, tuple(self._host(m) for m in event.members)))

    def _remember(self, named: Iterable[bytes]) -> None:
        """An operator may name what is gone.

        Of those that are, a node that runs for long forgets the oldest: successors have new ids.
        """
        for eid in named:
            self._named.pop(eid, None)
            self._named[eid] = None
        spare = len(self._named) - MAX_KNOWN_ENDPOINTS
        if spare > 0:
            for eid in [k for k in self._named if k not in self._fleet and k not in self._bans][:spare]:
                del self._named[eid]
                self._back_us.pop(eid, None)

    def _host(self, m: Member) -> t.Host:
        """An endpoint as the module sees it: gone while it is banned, and just started when it is back."""
        state = State.GONE if m.id in self._bans else m.state
        started = max(m.started_us, self._back_us.get(m.id, 0))
        return t.Host(m.id, m.zone, m.kind, m.cell, state, m.scale, started / 1000)

    def _mark(self, endpoint: Endpoint) -> None:
        """It drains or is gone: the first such news counts, and what lies idle there is of no more use."""
        if endpoint.told_us < 0:
            endpoint.told_us = self._now
            self._out.append(CloseIdle(endpoint.member.id))

    # --- Bans -------------------------------------------------------------------------------------------
    @property
    def bans(self) -> frozenset[bytes]:
        """The endpoints that the operators have taken out."""
        return frozenset(self._bans)

    def _ruled(self, event: BanAsked | BanLifted) -> None:
        """An operator's call. A repeat changes nothing, yet is written down again: that may have failed."""
        eid, banned = event.endpoint, isinstance(event, BanAsked)
        if eid not in self._named and eid not in self._bans:
            self._out.append(Ruled(event.caller, Ruling.UNKNOWN))
            return
        was = eid in self._bans
        if banned:
            self._ban(eid)
        elif was:
            self._unban(eid, self._now)
        if banned or was:
            self._out.append(KeepBan(eid, banned))
        self._out.append(Ruled(event.caller, Ruling.DONE))

    def _heard(self, event: BansHeard) -> None:
        for eid in event.bans - self._bans.keys():
            self._ban(eid)
        for eid in self._bans.keys() - event.bans:
            # what is written down of an earlier time is no call back: the ban could not be written then. One
            # that is not written down at all may be a file that can't be read
            if event.back_us.get(eid, -1) > self._bans[eid]:
                self._unban(eid, event.back_us[eid])
        self._back_us |= {k: min(v, self._now) for k, v in event.back_us.items() if k not in self._bans}

    def _ban(self, eid: bytes) -> None:
        if eid in self._bans:
            return
        self._bans[eid] = self._now
        self.stats["bans"] += 1
        self._note("ban", f"{_text(eid)} is banned: nothing new goes there")
        self._out.append(CloseIdle(eid))
        for call in [c for c in self._calls.values() if c.endpoint.member.id == eid and c.dialing]:
            self._out.append(AbandonCall(call.id))
            self._end(call, Outcome.MOOT)
        self._retell(eid)

    def _unban(self, eid: bytes, since_us: int) -> None:
        del self._bans[eid]
        self._back_us[eid] = min(since_us, self._now)
        self._note("ban", f"{_text(eid)} is back, held for just started")
        self._retell(eid)

    def _retell(self, eid: bytes) -> None:
        endpoint = self._fleet.get(eid)
        if endpoint is not None:
            self._work.append(t.Hosts(View.DELTA, (self._host(endpoint.member),)))

    # --- The module's door ------------------------------------------------------------------------------
    def _think(self) -> None:
        while self._work:
            self._ask(self._work.popleft())

    def _ask(self, event: t.Event) -> None:
        whole = True
        try:
            actions: Iterable[t.Action] = self._balancer.handle(self._now / 1000, event)
        except Exception as error:
            whole = False
            actions = (
                error.actions if isinstance(error, t.MalformedMessageError) else ()
            )  # the module counts on those
            self._fault(f"the decisions failed on {type(event).__name__}")
        for action in actions:
            try:
                self._act(action)
            except Exception:  # one action's fault must not lose those behind it
                self._fault(f"{type(action).__name__} failed")
        request = None if whole else self._requests.get(getattr(event, "id", -1))
        if request is not None and all(c.outcome is not None for c in request.calls):
            self._close(request, Verdict.FAILED)
            self._work.append(t.Abandoned(request.id))

    def _act(self, action: t.Action) -> None:
        if isinstance(action, t.Send):
            self._send(action)
        elif isinstance(action, t.SetTimer):
            self._module_us = max(int(action.at_ms * 1000) + 1, self._now)  # an early Timer would be ignored
            self._at(self._module_us, "module", action.mark)
        elif isinstance(action, t.Refuse | t.Fail):
            request = self._requests.get(action.id)
            if request is None or request.streams:
                return
            if request.flows and any(c.outcome is None for c in request.calls):
                request.forgotten = True  # its time has not begun, and an endpoint has part of it
                return
            harmless = self._harmless(request)
            if isinstance(action, t.Refuse) and not harmless:
                self._note("guard", f"request {request.id} may have run: failed in place of a refusal")
            if isinstance(action, t.Fail) or not harmless:
                self._close(request, Verdict.FAILED)
            else:
                self._close(request, Verdict.FAIL_FAST, None, max(round(action.retry_after_ms * 1000), 0))
        elif isinstance(action, t.Cancel):
            for call in list(self._calls.values()):
                if call.request.id == action.id and call.number == action.attempt:
                    self._out.append(AbandonCall(call.id))
                    self._end(call, Outcome.CANCELLED)
        elif isinstance(action, t.Close):
            self._out.append(CloseIdle(action.host))
        elif isinstance(action, t.Log):
            self._note("module", action.line)
        elif not isinstance(action, t.Watch | t.Fetch):  # the watch on discovery never ends by itself
            self._note("guard", f"{type(action).__name__} is not something that this node does")

    def _harmless(self, request: Held) -> bool:
        """Rule 2: a refusal invites a retry, so nothing that must not run twice may have run."""
        if request.cls.effect is Effect.SAFE or all(c.outcome in NEVER_RAN for c in request.calls):
            return True
        return request.cls.effect is Effect.KEYED and request.cls.scope is Scope.ALL
