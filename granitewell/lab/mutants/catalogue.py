"""The planted defects: what each does to the node, where, and on which days it should show.

It owns the list and must never run anything. A defect that the core and the module both guard against removes
both guards: one alone is mended by the other, as it should be. `shell` says what can show it: `sim`, days in
virtual time; or `exchanges`, recorded exchanges on sockets, for what virtual time has no bytes for.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.lab.mutants.patch import Patch

CORE, POLICY, HEALTH = (
    "granitewell/core/reducer.py",
    "granitewell/balancing/balancer.py",
    "granitewell/balancing/outlier_detection.py",
)
HTTP1, LOOP = "granitewell/net/http1.py", "granitewell/net/loop.py"
POOL = "granitewell/net/pool.py"


@dataclass(frozen=True, slots=True)
class Defect:
    """One defect.

    Attributes:
        by: What must catch it: rules of the judge, `figure` for one that costs worth or work and breaks no
            rule, or `record`.
        on: Scenarios, in the order in which a seed's days are played, built-in ones with the changes that
            `child` knows; or the names of recorded exchanges.
    """

    name: str
    what: str
    by: tuple[str, ...]
    on: tuple[str, ...]
    patches: tuple[Patch, ...]
    shell: str = "sim"


def _core(old: str, new: str) -> Patch:
    return Patch(CORE, old, new)


def _policy(old: str, new: str) -> Patch:
    return Patch(POLICY, old, new)


def _record(name: str, what: str, on: str, *patches: Patch) -> Defect:
    return Defect(name, what, ("record",), (on,), patches, "exchanges")


# --- Pieces that several defects change -------------------------------------------------------------------
_GUARD = _core('self._schedule(due + OVERDUE_GRACE_US, "guard", request.id)', "pass")
_MODULE_DUE = _policy("self._schedule(req.due_ms, self._deadline_reached, req)", "pass")
_CALL_DUE = _core('self._schedule(due, "call", call.id)', "pass")
_ANSWER = (
    "self._effects.append(\n                "
    "SendResponse(request.downstream_id, status, response, retry_after_us, closing)\n            )"
)
_DRAINING_IS_READY = _policy(
    "server.listed, server.ready = host.state is not State.GONE, host.state is State.READY",
    "server.listed = server.ready = host.state is not State.GONE",
)
_NOT_TOLD = "return endpoint.unavailable_since_us < 0 and"
_TRUE = "if True:\n            return True"
_COLD = _TRUE.replace(
    "True:", "server.started_ms <= 0.0 or self._now - server.started_ms >= self._settings.ramp_ms:"
)
_RAN = _TRUE.replace("True:", "not ran or req.request_class.effect is Effect.SAFE:")

ONE_ANSWER = (
    Defect(
        "deadlines-lost", "neither the call's, nor the module's, nor the core's own timer ends a request",
        ("answer",), ("grey-class-hang-unsafe", "chaos"), (_GUARD, _MODULE_DUE, _CALL_DUE),
    ),
    Defect(
        "failure-forgotten", "the module does not say that a request has failed, and no guard timer runs",
        ("answer",), ("grey-class-hang-unsafe", "deploy"),
        (_GUARD, _policy("if self._may_reject(req) else Fail(req.id))",
                         'if self._may_reject(req) else Log(""))')),
    ),
    Defect(
        "time-doubled", "the client's time is read as twice as long",
        ("answer",), ("grey-class-hang-unsafe", "overload"),
        (_core("wait = min(event.timeout_us,", "wait = min(2 * event.timeout_us,"),),
    ),
    Defect(
        "answers-swapped", "an answer goes to the inbound that has waited longest",
        ("answer", "body"), ("calm",),
        (_core(_ANSWER, _ANSWER.replace("request.downstream_id",
                                        "min(self._requests_by_downstream, default=0)")),),
    ),
    _record("answer-twice", "every final answer is given twice", "served",
            _core(_ANSWER, "self._effects += [SendResponse(request.downstream_id, status, response, "
                           "retry_after_us, closing)] * 2")),
    Defect(
        "leaves-early", "asked to stop, the node ends without waiting for what it still holds",
        ("lost",), ("grey-class-hang-unsafe+term",),
        (_core("if self.phase is Phase.DRAINING and not self._listening and not self._requests:",
               "if self.phase is Phase.DRAINING and not self._listening:"),),
    ),
    Defect(
        "stops-at-once", "asked to stop, the node does not hear who is still coming",
        ("lost",), ("node-loss",),
        (_core('self._schedule(self._now + ACCEPT_AFTER_STOP_US, "accepted")', "self._listening = False"),),
    ),
)  # fmt: skip

NOTHING_TWICE = (
    Defect(
        "unsafe-guard", "an unsafe request that may have run goes out again",
        ("unsafe",), ("deploy", "chaos"),
        (_core("request.request_class.effect is Effect.UNSAFE\n            or self._now - ran[0]",
               "request.request_class.effect is not Effect.UNSAFE\n            and self._now - ran[0]"),
         _policy("req.request_class.effect is Effect.UNSAFE\n            or self._now - first",
                 "req.request_class.effect is not Effect.UNSAFE\n            and self._now - first")),
    ),
    Defect(
        "reset-never-ran", "a connection that broke counts as proof that the request never ran",
        ("unsafe", "refusal"), ("deploy", "chaos"),
        (_core("frozenset({Outcome.FULL,", "frozenset({Outcome.RESET, Outcome.FULL,"),
         _policy("t.may_have_run = event.outcome not in (",
                 "t.may_have_run = event.outcome not in (Outcome.RESET, ")),
    ),
    Defect(
        "timeout-never-ran", "a call whose time is over counts as one that never connected",
        ("unsafe", "refusal"), ("grey-class-hang-unsafe",),
        (_core("Outcome.UNCONNECTED if call.dialing else Outcome.TIMEOUT", "Outcome.UNCONNECTED"),),
    ),
    Defect(
        "refuses-what-ran", "a request that may have run is refused, which invites a retry",
        ("refusal",), ("grey-class-hang-unsafe", "deploy"),
        (_core("all(c.outcome in NEVER_RAN for c in request.calls)", "True"),
         _policy(f"{_RAN}\n        keyed_all", f"{_TRUE}\n        keyed_all")),
    ),
    Defect(
        "attempts-unbounded", "neither a count nor a budget bounds the attempts of a request",
        ("attempts",), ("overload", "grey-class-error"),
        (_core("if number >= request.attempts:", "if False:"),
         _policy("self._pick_host(req)\n            if len(req.attempts) < self._settings.max_attempts and",
                 "self._pick_host(req)\n            if"),
         _policy("attempts_left = len(req.attempts) < self._settings.max_attempts", "attempts_left = True"),
         _policy("if self._retry_tokens < 0.0:", "if False:")),
    ),
    Defect(
        "dialed-unchecked", "a connection that comes up is written to, whether or not anyone waits still",
        ("after",), ("busy+impatient+far",),
        (_core("if self._may_write(call):", "if True:"),
         _core(" or request.given_up or call.dialing", " or request.given_up"),
         _policy("self._abandon(self._pending[event.id])", "del self._pending[event.id]")),
    ),
    _record("same-id", "a second request with an open request's id is taken", "same_id",
            _core("if event.client_request_id in self._open_request_ids:", "if False:")),
    _record("bare-503", "a 503 counts as proof that the request never ran, whoever worded it",
            "unsafe_bare_503",
            Patch(HTTP1, ' and parser.headers.get(b"not-started") == b"1":', ":")),
)  # fmt: skip

ENDPOINTS = (
    Defect(
        "drain-turned", "what drains is spared for the time of its grace, and sent to after it",
        ("drain",), ("deploy", "shrink"),
        (_DRAINING_IS_READY,
         _core(_NOT_TOLD, "return (endpoint.unavailable_since_us < 0 or "
                          "self._now - endpoint.unavailable_since_us > 1e6) and")),
    ),
    Defect(
        "drain-margin-added", "what drains is sent to for its grace and a little longer",
        ("drain",), ("deploy", "shrink"),
        (_DRAINING_IS_READY,
         _core(_NOT_TOLD, "return (endpoint.unavailable_since_us < 0 or "
                          "self._now - endpoint.unavailable_since_us < 1.1e6) and")),
    ),
    Defect(
        "drain-unheeded", "what drains is sent to as long as it is there", ("drain",), ("deploy", "shrink"),
        (_DRAINING_IS_READY, _core(_NOT_TOLD, "return")),
    ),
    Defect(
        "cold-as-warm", "an endpoint that has just started is sent as much as any other",
        ("cold",), ("deploy",),
        (_policy(_COLD, _TRUE),
         _policy("if server.started_ms <= 0.0 or self._settings.ramp_ms <= 0:", "if True:")),
    ),
    _record("leftover-bytes", "bytes behind an answer are taken for the next call's answer", "leftover_bytes",
            Patch(HTTP1, "self.reusable = False  # bytes beyond", "pass  # bytes beyond")),
    _record("closed-reused", "a connection that its endpoint has closed is used again", "idle_closed",
            Patch(POOL,
                  """
                and now - conn.idle_since_us < self.idle_timeout_us
                and not is_readable(conn.sock)
""", "\n")),
    _record("cut-answer-served", "an answer that ends before its length is served", "unsafe_ended_short",
            Patch(LOOP, "if not parser.end():", "if not parser.end() and not parser.status:")),
)  # fmt: skip

NO_RULE = (
    Defect(
        "full-as-ran", "an endpoint's turning away counts as a request that may have run",
        ("figure",), ("deploy",),
        (_policy("t.may_have_run = event.outcome not in (Outcome.FULL, ",
                 "t.may_have_run = event.outcome not in ("),),
    ),
    Defect(
        "delta-as-full", "what changed in the list is taken for the whole list",
        ("cold", "figure"), ("deploy",),
        (_core("if event.view is not View.DELTA:", "if True:"),
         _policy("if event.view is not View.DELTA:", "if True:")),
    ),
    Defect(
        "failures-unseen", "failures leave no mark on the endpoint where they happened",
        ("figure",), ("grey-class-error",),
        (Patch(HEALTH,
               "health.current_failure_ratio(now) * (1 - FAILURE_EWMA_WEIGHT) + weight * FAILURE_EWMA_WEIGHT",
               "0.0"),),
    ),
    Defect(
        "never-sheds", "nothing is turned away however late all answers are", ("figure",), ("overload",),
        (_policy("self._shed_level = min(max(level, 0.0), MAX_SHED_RATIO)", "self._shed_level = 0.0"),),
    ),
    Defect(
        "abandoned-kept", "a request whose client has left goes on as if it had not",
        ("after", "figure"), ("overload+impatient",),
        (_core("            self._balancer_events.append(t.Abandoned(request.id))\n\n    # --- Outbound",
               "            pass\n\n    # --- Outbound"),),
    ),
)  # fmt: skip

DEFECTS = (*ONE_ANSWER, *NOTHING_TWICE, *ENDPOINTS, *NO_RULE)
