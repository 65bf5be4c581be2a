"""The reducer: Core.handle takes an event, changes the node's state and returns the effects to carry out.

Core holds the request table, the outbound calls, the endpoints, the timers, the phase and the balancer. It
checks the platform's rules a second time, whatever the balancer asks for. It does no I/O, reads no clock and
knows no protocol: messages and responses pass through as opaque objects. Where a request goes is decided by
granitewell.balancing. Times are whole microseconds, given by the caller. The balancer uses float
milliseconds, which are converted in _call_balancer and _apply_action.
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
from granitewell.core.tables import Call, Endpoint, PendingRequest
from granitewell.core.types import (
    AbandonCall,
    ActiveNodes,
    BanReply,
    BanRequested,
    BanResult,
    BansLoaded,
    CallDialed,
    CallDialing,
    CallEnded,
    CloseIdle,
    DiscoveredEndpoint,
    DownstreamClosed,
    Effects,
    EndpointListUpdate,
    EndResponse,
    Event,
    ExitProcess,
    Listening,
    LogLine,
    PersistBan,
    Phase,
    ReadyToServe,
    RequestBodyComplete,
    RequestBodyReleased,
    RequestReceived,
    ResponsePart,
    ResponseStarted,
    ResponseStatus,
    SendResponse,
    SendResponsePart,
    SettingsChanged,
    StartCall,
    StartResponse,
    StopListening,
    StopRequested,
    TimerExpired,
    UnbanRequested,
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


def _printable_id(endpoint_id: bytes) -> str:
    """Return an endpoint's id as text for the log."""
    return endpoint_id.decode(errors="replace")


class LoadBalancer(Protocol):
    """What the core needs of granitewell.balancing.balancer.Balancer."""

    def handle(self, now: float, event: t.Event) -> list[t.Action]: ...


class Core:
    """The node's state and the rules by which events change it."""

    def __init__(self, settings: t.Settings, balancer: LoadBalancer, max_pending_requests: int) -> None:
        self.phase = Phase.STARTING
        self.stats: Counter[str] = Counter()
        self._settings, self._balancer, self._max_pending_requests = settings, balancer, max_pending_requests
        self._now = 0
        self._effects: list[Effects] = []
        # events for the balancer, including those that its own actions cause
        self._balancer_events: deque[t.Event] = deque()
        self._requests: dict[int, PendingRequest] = {}
        self._requests_by_downstream: dict[int, PendingRequest] = {}
        self._open_request_ids: set[bytes] = set()  # the clients' ids of the open requests
        self._calls: dict[int, Call] = {}
        self._endpoints: dict[bytes, Endpoint] = {}
        self._bans: dict[bytes, int] = {}  # banned endpoints, listed or not, and when they were banned
        self._unbanned_at_us: dict[bytes, int] = {}  # when the ban of an endpoint ended
        # endpoints that a list has contained, the most recently listed last
        self._known_endpoint_ids: dict[bytes, None] = {}
        self._timers: list[tuple[int, int, str, Any]] = []
        self._last_id = self._timer_sequence = 0
        self._listening = self._stats_timer_started = False
        # as reported by the nodes themselves; None if there is no such report
        self._active_nodes: t.ActiveGateways | None = None
        self._balancer_timer_us = -1  # when the balancer's timer is due; -1: none
        self.exit_deadline_us = -1  # after a stop request: when the process must have ended; -1 before

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: Event) -> list[Effects]:
        """Apply one event and return the effects to carry out, in order.

        Raises no exception: a defect fails the request that it happened on, not the process.
        """
        self._now = max(now_us, self._now)
        self._effects = []
        call = self._calls.get(getattr(event, "call", -1))  # looked up now: applying CallEnded removes it
        try:
            self._apply(event)
        except Exception:
            self._log_exception(f"the reducer failed on {type(event).__name__}")
            request = (
                call.request
                if call
                else self._requests_by_downstream.get(getattr(event, "downstream_id", -1))
            )
            if request is not None and request.open:
                self._finish_request(request, ResponseStatus.FAILED)
            elif isinstance(event, RequestReceived) and not any(
                isinstance(x, SendResponse) for x in self._effects
            ):
                # the exception came before the request was in the table
                self._effects.append(SendResponse(event.downstream_id, ResponseStatus.FAILED))
        self._update_phase()
        return self._effects

    def _apply(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            self._request_received(event)
        elif isinstance(event, CallEnded):
            call = self._calls.get(event.call)
            if call is not None:
                self._end_call(call, event.outcome, event.report, event.response)
        elif isinstance(event, TimerExpired):
            self._run_timers()
        elif isinstance(event, CallDialing):
            if event.call in self._calls:
                self._calls[event.call].dialing = True
        elif isinstance(event, CallDialed):
            self._call_dialed(event.call)
        elif isinstance(event, ResponseStarted):
            self._begin_response(event)
        elif isinstance(event, ResponsePart):
            call = self._calls.get(event.call)
            if call is not None and call.response_started:
                self._effects.append(SendResponsePart(call.request.downstream_id, event.part))
        elif isinstance(event, DownstreamClosed):
            self._downstream_closed(event.downstream_id)
        elif isinstance(event, RequestBodyComplete):
            self._body_complete(event.downstream_id)
        elif isinstance(event, RequestBodyReleased):
            if event.downstream_id in self._requests_by_downstream:
                self._requests_by_downstream[event.downstream_id].body_released = True
        elif isinstance(event, EndpointListUpdate):
            self._update_endpoints(event)
        elif isinstance(event, Listening):
            if self.phase is Phase.STARTING:  # otherwise a stop was requested before
                self._listening = True
        elif isinstance(event, BanRequested | UnbanRequested):
            self._change_ban(event)
        elif isinstance(event, BansLoaded):
            self._load_bans(event)
        elif isinstance(event, SettingsChanged):
            self._settings, self._max_pending_requests = event.settings, event.max_pending_requests
            self._balancer_events.append(t.SettingsChanged(event.settings))
            if self._active_nodes is not None:
                self._balancer_events.append(self._active_nodes)
        elif isinstance(event, ActiveNodes):
            self._active_nodes = t.ActiveGateways(
                max(event.max_count, 1), max(event.active_count, 1.0), event.parts
            )
            self._balancer_events.append(self._active_nodes)
        else:
            self._stop(event)
        self._run_balancer()

    @property
    def wake_us(self) -> int:
        """When TimerExpired is due; -1 for never."""
        return self._timers[0][0] if self._timers else -1

    @property
    def pending_count(self) -> int:
        """Number of requests without a final response."""
        return len(self._requests)

    def _log(self, topic: str, line: str) -> None:
        self._effects.append(LogLine(topic, line))

    def _log_exception(self, what: str) -> None:
        self.stats["faults"] += 1
        trace = traceback.format_exc().partition("\nThe above exception")[0]  # the cause, if there is one
        self._log("fault", f"{what}: {' | '.join(trace.strip().splitlines()[-5:])}")

    # --- Timers -----------------------------------------------------------------------------------------
    def _schedule(self, when_us: int, what: str, arg: Any = None) -> None:
        self._timer_sequence += 1
        heappush(self._timers, (when_us, self._timer_sequence, what, arg))

    def _run_timers(self) -> None:
        """Run the timers that are due.

        At the same time, calls that time out are reported to the balancer before its own timer, as the
        platform's simulator does.
        """
        due = []
        while self._timers and self._timers[0][0] <= self._now:
            due.append(heappop(self._timers))
        due.sort(key=lambda x: (x[2] == "module", x[0], x[1]))
        for when, _, what, arg in due:
            if what == "call":
                call = self._calls.get(arg)
                if call is not None and not call.response_started:  # a started response has no timeout
                    self._effects.append(AbandonCall(call.id))
                    # nothing was written to a connection that is still being dialed: the call never ran
                    self._end_call(call, Outcome.UNCONNECTED if call.dialing else Outcome.TIMEOUT)
            elif what == "module":
                self._run_balancer()
                if when == self._balancer_timer_us:
                    self._balancer_timer_us = -1
                    self._call_balancer(t.Timer(arg))
            elif what == "guard":
                self._fail_overdue(arg)
            elif what == "beat":
                self._log_stats()
            elif what == "accepted":
                self._effects.append(StopListening())
                self._schedule(self._now + READ_AFTER_CLOSE_US, "heard")
            elif what == "heard":
                self._listening = False
            elif what == "leave" and self.phase is Phase.DRAINING:
                self._log(
                    "phase",
                    f"no time is left: leaving, {len(self._requests)} are answered unserved",
                )
                for request in list(self._requests.values()):
                    self._finish_request(
                        request,
                        ResponseStatus.REJECTED
                        if self._is_safe_to_reject(request)
                        else ResponseStatus.FAILED,
                    )
                self.phase = Phase.STOPPED
                self._effects.append(ExitProcess())

    def _fail_overdue(self, request_id: int) -> None:
        """Rule 1: fail a request that the balancer has not answered by its deadline.

        Guards against a balancer that loses a request or raises; still inside the slack that the platform
        allows.
        """
        request = self._requests.get(request_id)
        if request is not None and not request.response_started:
            self._log("overdue", f"request {request_id} had no answer at its due time: answered as failed")
            self._finish_request(request, ResponseStatus.FAILED)
            self._balancer_events.append(t.Abandoned(request_id))

    def _log_stats(self) -> None:
        self._schedule(self._now + STATS_INTERVAL_US, "beat")
        ready = sum(e.unavailable_since_us < 0 for e in self._endpoints.values())
        figures = " ".join(f"{k}={v}" for k, v in sorted(self.stats.items()))
        self._log("beat", f"held={len(self._requests)} calls={len(self._calls)} endpoints={ready} {figures}")

    # --- Phases -----------------------------------------------------------------------------------------
    def _update_phase(self) -> None:
        """Enter the next phase if the state allows it."""
        can_serve = self._listening and any(e.unavailable_since_us < 0 for e in self._endpoints.values())
        if self.phase is Phase.STARTING and can_serve:
            self.phase = Phase.READY
            self._log("phase", f"ready with {len(self._endpoints)} endpoints, {len(self._bans)} banned")
            self._effects.append(ReadyToServe())
        if not self._stats_timer_started and self._listening:
            self._stats_timer_started = True
            self._schedule(self._now + STATS_INTERVAL_US, "beat")
        if self.phase is Phase.DRAINING and not self._listening and not self._requests:
            self._log("phase", "all is answered: leaving")
            self.phase = Phase.STOPPED
            self._effects.append(ExitProcess())

    def _stop(self, event: StopRequested) -> None:
        if self.phase in (Phase.DRAINING, Phase.STOPPED):
            return
        self.phase = Phase.DRAINING
        self._log("phase", f"asked to stop with {len(self._requests)} requests held")
        longest = max(int(c.deadline_ms * 1000) for c in self._settings.classes)
        end = self._now + min(longest, MAX_DRAIN_DEADLINE_US) + SHUTDOWN_MARGIN_US
        # Another process accepts new connections if the listener is shared. This one only serves requests on
        # the connections that it has.
        if event.shared:
            self._effects.append(StopListening())
            self._schedule(end - SHARED_LISTENER_DRAIN_US, "heard")
        else:
            self._schedule(self._now + ACCEPT_AFTER_STOP_US, "accepted")
        self._schedule(end, "leave")
        self.exit_deadline_us = end + RESPONSE_FLUSH_US

    # --- Requests ---------------------------------------------------------------------------------------
    def _request_received(self, event: RequestReceived) -> None:
        self.stats["taken"] += 1
        closing = self.phase is not Phase.READY and self.phase is not Phase.STARTING
        if self.phase is Phase.STOPPED:
            # the process may end at any moment: the request might run without the client learning the result
            self._effects.append(SendResponse(event.downstream_id, ResponseStatus.REJECTED, None, 0, closing))
            return
        if len(self._requests) >= self._max_pending_requests:
            self.stats["table_full"] += 1
            self._log("full", f"the table holds {len(self._requests)} requests: turned away")
            wait = int(self._settings.max_retry_after_ms * 1000) if self._settings.retry_after else 0
            self._effects.append(
                SendResponse(event.downstream_id, ResponseStatus.REJECTED, None, wait, closing)
            )
            return
        if event.limit_retry_after_us >= 0:
            self.stats["beyond"] += 1
            wait = min(event.limit_retry_after_us, int(self._settings.max_retry_after_ms * 1000))
            wait = wait if self._settings.retry_after else 0
            self._effects.append(
                SendResponse(event.downstream_id, ResponseStatus.REJECTED, None, wait, closing)
            )
            return
        if event.client_request_id in self._open_request_ids:
            # a client that reuses the id of an open request must not get that request's response
            self.stats[ResponseStatus.DUPLICATE_ID.value] += 1
            self._log(
                "same-id",
                "a request with the id of request "
                f"{event.client_request_id.decode(errors='replace')}, which is open: not taken",
            )
            self._effects.append(
                SendResponse(event.downstream_id, ResponseStatus.DUPLICATE_ID, None, 0, closing)
            )
            return
        self._last_id += 1
        request_class = self._settings.classes[event.class_index]
        # the client may not know yet that the settings have changed
        non_idempotent = event.non_idempotent and request_class.effect is Effect.SAFE
        if non_idempotent:
            request_class = replace(request_class, effect=Effect.UNSAFE)
        # an unbounded timeout would keep its entry in every table; no client of the class waits longer
        wait = min(event.timeout_us, max(int(request_class.deadline_ms * 1000), MIN_TIMEOUT_LIMIT_US))
        balancer_due_us = self._now + wait  # the balancer's deadline, whether the body is complete or not
        due = self._now + STREAMED_BODY_TIMEOUT_US if event.body_incomplete else balancer_due_us
        request = PendingRequest(self._last_id, event, request_class, due, wait, self._settings.max_attempts)
        if event.client_request_id:
            self._open_request_ids.add(event.client_request_id)
        self._requests[request.id] = self._requests_by_downstream[event.downstream_id] = request
        if not event.body_incomplete:
            self._schedule(due + OVERDUE_GRACE_US, "guard", request.id)
        self._balancer_events.append(t.Request(
            request.id, event.class_index, event.tenant, event.key, balancer_due_us / 1000, 0.0,
            event.is_retry, non_idempotent, event.body_incomplete,
        ))  # fmt: skip

    def _body_complete(self, downstream_id: int) -> None:
        """The body is complete: start the timeouts of the request and of its pending call."""
        request = self._requests_by_downstream.get(downstream_id)
        if request is None or not request.body_incomplete:
            return
        request.body_incomplete = False
        request.due_us = self._now + request.timeout_us
        self._schedule(request.due_us + OVERDUE_GRACE_US, "guard", request.id)
        out = [call for call in request.calls if call.outcome is None]
        for call in out:
            call.started_at_us, call.due_us = self._now, request.due_us
            self._schedule(call.due_us, "call", call.id)
        number = out[-1].number if out else -1
        self._balancer_events.append(t.BodyComplete(request.id, number, request.due_us / 1000))

    def _finish_request(
        self,
        request: PendingRequest,
        status: ResponseStatus,
        response: object = None,
        retry_after_us: int = 0,
    ) -> None:
        """Send the final response, or end one that was started."""
        self._remove_request(request)
        self.stats[status.value] += 1
        closing = self.phase is Phase.DRAINING
        if request.response_started:
            self._effects.append(
                EndResponse(request.downstream_id, status is ResponseStatus.SERVED, response, closing)
            )
        else:
            self._effects.append(
                SendResponse(request.downstream_id, status, response, retry_after_us, closing)
            )

    def _remove_request(self, request: PendingRequest) -> None:
        request.open = False
        self._open_request_ids.discard(request.client_request_id)
        del self._requests[request.id]
        del self._requests_by_downstream[request.downstream_id]

    def _downstream_closed(self, downstream_id: int) -> None:
        request = self._requests_by_downstream.get(downstream_id)
        if request is not None:
            self.stats["abandoned"] += 1
            self._remove_request(request)
            for call in request.calls:
                # The balancer does not cancel a call whose response has started. A body that was still
                # arriving will never be complete, even if the balancer may not cancel calls. And no new
                # connection is used for a client that has left.
                lost = call.response_started or request.body_incomplete or request.given_up or call.dialing
                if lost and call.outcome is None:
                    self._effects.append(AbandonCall(call.id))
                    self._end_call(call, Outcome.CANCELLED)
            self._balancer_events.append(t.Abandoned(request.id))

    # --- Outbound calls ---------------------------------------------------------------------------------
    def _is_available(self, endpoint: Endpoint) -> bool:
        """Rule 3 and the operators' bans: may a call be written to this endpoint now?

        The rule allows a grace period after an endpoint starts to drain. It counts from when the discovery
        agent was notified, which this node may learn late, so none of it is used.
        """
        return endpoint.unavailable_since_us < 0 and endpoint.member.id not in self._bans

    def _may_run_at(self, request: PendingRequest, endpoint: Endpoint, this: Call | None = None) -> bool:
        """Rule 2: may this request be sent (again) to this endpoint, given its other calls?"""
        ran = [c for c in request.calls if c.outcome not in NEVER_RAN and c is not this]
        if request.body_released or (request.body_streamed and any(c.outcome is None for c in ran)):
            return (
                False  # a released body can't be sent again, and a streamed body goes to one call at a time
            )
        if not self._settings.parallel_tries and any(c.outcome is None for c in ran):
            return False
        if not ran or request.request_class.effect is Effect.SAFE:
            return True
        if (
            request.request_class.effect is Effect.UNSAFE
            or self._now - ran[0].started_at_us > request.request_class.window_ms * 1000
        ):
            return False
        was, now = ran[0].endpoint.member, endpoint.member
        scope = request.request_class.scope
        return scope is Scope.ALL or (was.zone == now.zone if scope is Scope.ZONE else was.cell == now.cell)

    def _send(self, action: t.Send) -> None:
        """Start a call, or report it to the balancer as moot if a rule forbids it."""
        request, endpoint = self._requests.get(action.id), self._endpoints.get(action.host)
        if request is None or endpoint is None or request.response_started:
            self._log("guard", f"held back a send: request {action.id} or its endpoint is not known")
            self.stats["guarded"] += 1
            return
        number = len(request.calls)
        if number >= request.attempts:
            # a moot call would let a balancer that retries after every call do so forever
            self._log("guard", f"request {request.id} has had its {number} attempts: answered as failed")
            self.stats["guarded"] += 1
            self._finish_request(request, ResponseStatus.FAILED)
            self._balancer_events.append(t.Abandoned(request.id))
            return
        self._last_id += 1
        due = request.due_us
        if action.timeout_ms > 0.0 and not request.body_incomplete:
            due = min(due, self._now + round(action.timeout_ms * 1000))
        call = Call(self._last_id, request, number, endpoint, self._now, due)
        allowed = self._is_available(endpoint) and self._may_run_at(request, endpoint)
        request.calls.append(call)
        self._calls[call.id] = call
        if not allowed:
            self._log("guard", f"held back a send of request {action.id}: a rule forbids it")
            self.stats["guarded"] += 1
            self._end_call(call, Outcome.MOOT)
            return
        self.stats["sent"] += 1
        if not request.body_incomplete:
            self._schedule(due, "call", call.id)
        to = endpoint.member
        self._effects.append(
            StartCall(call.id, to.id, to.address, request.message, due, to.protocol, request.downstream_id)
        )

    def may_write_call(self, call_id: int) -> bool:
        """Whether a call on an idle connection may still be written; asked just before its first byte."""
        call = self._calls.get(call_id)
        return call is not None and self._may_write(call)

    def _may_write(self, call: Call) -> bool:
        """Whether a call may be written to its connection.

        Every call passes this check right before its first byte: first attempts and retries, on idle
        connections and new ones. A call to an endpoint that has moved is not written: its old address may now
        belong to another endpoint, which drains or is banned.
        """
        request, endpoint = call.request, call.endpoint
        return (
            request.open and not request.response_started
            and call.due_us - self._now >= MIN_REMAINING_US
            and call.address == endpoint.member.address
            and self._is_available(endpoint)
            and self._may_run_at(request, endpoint, call)
        )  # fmt: skip

    def _call_dialed(self, call_id: int) -> None:
        """Write the call, or abandon it if it may no longer be written: dialing takes time."""
        call = self._calls.get(call_id)
        if call is None:
            return
        call.dialing = False
        self.stats["dialed"] += 1
        if self._may_write(call):
            self._effects.append(WriteCall(call_id))
        else:
            self._effects.append(AbandonCall(call_id))
            self._end_call(call, Outcome.MOOT)

    def _begin_response(self, event: ResponseStarted) -> None:
        """Start the response from the first call that has one, and abandon the request's other calls."""
        call = self._calls.get(event.call)
        if call is None:
            return
        request = call.request
        if not request.open or request.response_started:
            self._effects.append(AbandonCall(call.id))
            self._end_call(call, Outcome.CANCELLED, event.report)
            return
        request.response_started = call.response_started = True
        self.stats["begun"] += 1
        self._effects.append(StartResponse(request.downstream_id, event.response))
        # For the balancer the call has ended: the time to the first byte depends on the endpoint, the rest on
        # how fast the client reads.
        self._balancer_events.append(t.Ended(
            request.id, call.number, call.endpoint.member.id, Outcome.OK,
            (self._now - call.started_at_us) / 1000, True, event.report,
        ))  # fmt: skip
        for other in request.calls:
            if other is not call and other.outcome is None:
                self._effects.append(AbandonCall(other.id))
                self._end_call(other, Outcome.CANCELLED)

    def _end_call(
        self, call: Call, outcome: Outcome, report: tuple[float, ...] = (), response: object = None
    ) -> None:
        """End a call; the first OK of an open request becomes its response."""
        del self._calls[call.id]
        call.outcome = outcome
        self.stats[f"call_{outcome.value}"] += 1
        self.stats["reports"] += bool(report)
        request = call.request
        try:
            if request.open and call.response_started:
                # a started response can't be restarted elsewhere: it ends here, complete or visibly cut off
                self._finish_request(
                    request,
                    ResponseStatus.SERVED if outcome is Outcome.OK else ResponseStatus.FAILED,
                    response,
                )
            elif outcome is Outcome.OK and request.open and not request.response_started:
                self._finish_request(request, ResponseStatus.SERVED, response)
            elif request.open and (request.body_released or request.given_up) and outcome is not Outcome.OK:
                # it can't be sent to another endpoint: answer at once
                self._finish_request(
                    request,
                    ResponseStatus.REJECTED if self._is_safe_to_reject(request) else ResponseStatus.FAILED,
                )
        finally:  # also after an exception: the balancer counts the call as in flight until notified
            if not call.response_started:
                self._balancer_events.append(t.Ended(
                    request.id, call.number, call.endpoint.member.id, outcome,
                    (self._now - call.started_at_us) / 1000, not request.open, report,
                ))  # fmt: skip

    # --- Endpoints --------------------------------------------------------------------------------------
    def _update_endpoints(self, event: EndpointListUpdate) -> None:
        named = {m.id for m in event.members}
        if event.view is not View.DELTA:
            for endpoint_id, known in self._endpoints.items():
                if endpoint_id not in named:
                    self._mark_unavailable(known)
        for member in event.members:
            endpoint = self._endpoints.get(member.id)
            if endpoint is None:
                endpoint = self._endpoints[member.id] = Endpoint(member)
            else:
                was, endpoint.member = endpoint.member, member
                if (was.address, was.started_us) != (member.address, member.started_us):
                    self._effects.append(CloseIdle(member.id))  # another process answers there now
            if member.state is State.READY:
                endpoint.unavailable_since_us = -1
            else:
                self._mark_unavailable(endpoint)
        old = [
            k
            for k, e in self._endpoints.items()
            if 0 <= e.unavailable_since_us < self._now - ENDPOINT_RETENTION_US and k not in named
        ]
        for endpoint_id in old:
            del self._endpoints[endpoint_id]
        self._remember_endpoint_ids(named)
        self._balancer_events.append(
            t.Hosts(event.view, tuple(self._host_for_balancer(m) for m in event.members))
        )

    def _remember_endpoint_ids(self, named: Iterable[bytes]) -> None:
        """Remember the listed ids: an operator may also ban an endpoint that is gone.

        Successors have new ids, so a node that runs for long forgets the oldest ids of those that are gone.
        """
        for endpoint_id in named:
            self._known_endpoint_ids.pop(endpoint_id, None)
            self._known_endpoint_ids[endpoint_id] = None
        excess = len(self._known_endpoint_ids) - MAX_KNOWN_ENDPOINTS
        if excess > 0:
            for endpoint_id in [
                k for k in self._known_endpoint_ids if k not in self._endpoints and k not in self._bans
            ][:excess]:
                del self._known_endpoint_ids[endpoint_id]
                self._unbanned_at_us.pop(endpoint_id, None)

    def _host_for_balancer(self, m: DiscoveredEndpoint) -> t.Host:
        """An endpoint as the balancer sees it: gone while banned, newly started when the ban ends."""
        state = State.GONE if m.id in self._bans else m.state
        started = max(m.started_us, self._unbanned_at_us.get(m.id, 0))
        return t.Host(m.id, m.zone, m.kind, m.cell, state, m.scale, started / 1000)

    def _mark_unavailable(self, endpoint: Endpoint) -> None:
        """Record when an endpoint started to drain or was gone, and close its idle connections."""
        if endpoint.unavailable_since_us < 0:
            endpoint.unavailable_since_us = self._now
            self._effects.append(CloseIdle(endpoint.member.id))

    # --- Bans -------------------------------------------------------------------------------------------
    @property
    def bans(self) -> frozenset[bytes]:
        """The endpoints that operators have banned."""
        return frozenset(self._bans)

    def _change_ban(self, event: BanRequested | UnbanRequested) -> None:
        """Handle an operator's request to ban or unban an endpoint.

        A repeated request changes nothing but is persisted again, as the earlier write may have failed.
        """
        endpoint_id, banned = event.endpoint, isinstance(event, BanRequested)
        if endpoint_id not in self._known_endpoint_ids and endpoint_id not in self._bans:
            self._effects.append(BanReply(event.caller, BanResult.UNKNOWN))
            return
        was = endpoint_id in self._bans
        if banned:
            self._ban(endpoint_id)
        elif was:
            self._unban(endpoint_id, self._now)
        if banned or was:
            self._effects.append(PersistBan(endpoint_id, banned))
        self._effects.append(BanReply(event.caller, BanResult.DONE))

    def _load_bans(self, event: BansLoaded) -> None:
        for endpoint_id in event.bans - self._bans.keys():
            self._ban(endpoint_id)
        for endpoint_id in self._bans.keys() - event.bans:
            # An entry older than the ban does not lift it: the ban itself could not be written. Nor does a
            # missing entry, as the file may be unreadable.
            if event.unbanned_at_us.get(endpoint_id, -1) > self._bans[endpoint_id]:
                self._unban(endpoint_id, event.unbanned_at_us[endpoint_id])
        self._unbanned_at_us |= {
            k: min(v, self._now) for k, v in event.unbanned_at_us.items() if k not in self._bans
        }

    def _ban(self, endpoint_id: bytes) -> None:
        if endpoint_id in self._bans:
            return
        self._bans[endpoint_id] = self._now
        self.stats["bans"] += 1
        self._log("ban", f"{_printable_id(endpoint_id)} is banned: nothing new goes there")
        self._effects.append(CloseIdle(endpoint_id))
        for call in [c for c in self._calls.values() if c.endpoint.member.id == endpoint_id and c.dialing]:
            self._effects.append(AbandonCall(call.id))
            self._end_call(call, Outcome.MOOT)
        self._update_balancer_host(endpoint_id)

    def _unban(self, endpoint_id: bytes, since_us: int) -> None:
        del self._bans[endpoint_id]
        self._unbanned_at_us[endpoint_id] = min(since_us, self._now)
        self._log("ban", f"{_printable_id(endpoint_id)} is back, held for just started")
        self._update_balancer_host(endpoint_id)

    def _update_balancer_host(self, endpoint_id: bytes) -> None:
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            self._balancer_events.append(t.Hosts(View.DELTA, (self._host_for_balancer(endpoint.member),)))

    # --- Balancer ---------------------------------------------------------------------------------------
    def _run_balancer(self) -> None:
        while self._balancer_events:
            self._call_balancer(self._balancer_events.popleft())

    def _call_balancer(self, event: t.Event) -> None:
        succeeded = True
        try:
            actions: Iterable[t.Action] = self._balancer.handle(self._now / 1000, event)
        except Exception as error:
            succeeded = False
            # the balancer relies on the actions that it decided on before it failed
            actions = error.actions if isinstance(error, t.DecisionError) else ()
            self._log_exception(f"the decisions failed on {type(event).__name__}")
        for action in actions:
            try:
                self._apply_action(action)
            except Exception:  # a defect in one action must not lose the later ones
                self._log_exception(f"{type(action).__name__} failed")
        request = None if succeeded else self._requests.get(getattr(event, "id", -1))
        if request is not None and all(c.outcome is not None for c in request.calls):
            self._finish_request(request, ResponseStatus.FAILED)
            self._balancer_events.append(t.Abandoned(request.id))

    def _apply_action(self, action: t.Action) -> None:
        if isinstance(action, t.Send):
            self._send(action)
        elif isinstance(action, t.SetTimer):
            # rounded up: the balancer ignores a Timer that comes early
            self._balancer_timer_us = max(int(action.at_ms * 1000) + 1, self._now)
            self._schedule(self._balancer_timer_us, "module", action.mark)
        elif isinstance(action, t.Refuse | t.Fail):
            request = self._requests.get(action.id)
            if request is None or request.response_started:
                return
            if request.body_incomplete and any(c.outcome is None for c in request.calls):
                # its timeout has not started, and an endpoint already has a part of the body
                request.given_up = True
                return
            harmless = self._is_safe_to_reject(request)
            if isinstance(action, t.Refuse) and not harmless:
                self._log("guard", f"request {request.id} may have run: failed in place of a refusal")
            if isinstance(action, t.Fail) or not harmless:
                self._finish_request(request, ResponseStatus.FAILED)
            else:
                self._finish_request(
                    request, ResponseStatus.REJECTED, None, max(round(action.retry_after_ms * 1000), 0)
                )
        elif isinstance(action, t.Cancel):
            for call in list(self._calls.values()):
                if call.request.id == action.id and call.number == action.attempt:
                    self._effects.append(AbandonCall(call.id))
                    self._end_call(call, Outcome.CANCELLED)
        elif isinstance(action, t.Close):
            self._effects.append(CloseIdle(action.host))
        elif isinstance(action, t.Log):
            self._log("module", action.line)
        elif not isinstance(action, t.Watch | t.Fetch):  # discovery is always watched
            self._log("guard", f"{type(action).__name__} is not something that this node does")

    def _is_safe_to_reject(self, request: PendingRequest) -> bool:
        """Rule 2: a rejection invites a retry, so no request that must not run twice may have run."""
        if request.request_class.effect is Effect.SAFE or all(c.outcome in NEVER_RAN for c in request.calls):
            return True
        return request.request_class.effect is Effect.KEYED and request.request_class.scope is Scope.ALL
