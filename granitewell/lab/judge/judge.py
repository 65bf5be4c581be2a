"""Passes each observation of a day to the rules, the counters and the score.

The judge holds the open requests and their history. To bound memory, a request is kept while one of its
client attempts is open, while an upstream attempt is outstanding (up to KEEP_OUTSTANDING_US after its last
client attempt), for KEEP_SERVED_US after that if it was served, and otherwise for as long as a client may
retry.
"""

from __future__ import annotations

from collections import Counter, deque

from granitewell.lab.day import Day
from granitewell.lab.judge.attempt_rules import AttemptRules
from granitewell.lab.judge.endpoint_rules import EndpointRules
from granitewell.lab.judge.fault_exemptions import FaultExemptions
from granitewell.lab.judge.outcome_counts import OutcomeCounts, named_counts
from granitewell.lab.judge.records import ClientAttempt, Request
from granitewell.lab.judge.report import Report
from granitewell.lab.judge.response_rules import ResponseRules
from granitewell.lab.judge.value_score import BUCKET_US, ValueScore
from granitewell.lab.judge.violations import ViolationLog

MAX_CLOCK_SKEW_US = 5_000  # by which two processes may timestamp one exchange in the wrong order
KEEP_SERVED_US = 2_000_000
KEEP_OUTSTANDING_US = 10_000_000
SWEEP_INTERVAL_US = 100_000
RETRY_MARGIN_US = 1_000_000  # beyond the longest wait of a client before a retry
VERDICTS = frozenset({"served", "refused", "failed"})
OUTCOMES = frozenset({"ok", "error", "full", "dropped", "stopped", "died", "hung", "spoilt"})
STATES = frozenset({"ready", "draining", "gone"})


class Judge:
    """Implements granitewell.lab.witness.Witness for one day.

    Observations come in the order of their times (ValueError otherwise); `report` may be asked for at any
    time and changes nothing.
    """

    def __init__(self, day: Day, order_us: int = MAX_CLOCK_SKEW_US) -> None:
        """Create a judge; `order_us` may be 0 if one process with one clock sees everything."""
        self._day = day
        self._violations = ViolationLog()
        self._exemptions = FaultExemptions(day)
        self._response_rules = ResponseRules(day, self._violations, self._exemptions, self._on_attempt_closed)
        self._attempt_rules = AttemptRules(day, self._violations, self._exemptions, order_us)
        self._endpoint_rules = EndpointRules(day, self._violations, self._exemptions)
        self._value_score, self._outcomes = ValueScore(day), OutcomeCounts(day)
        self._client_attempts: dict[str, ClientAttempt] = {}
        self._requests: dict[str, Request] = {}
        self._idle_requests: tuple[deque[tuple[int, int, Request]], ...] = (deque(), deque(), deque())
        clients = day.clients
        max_retry_wait_us = max(clients.backoff_us, clients.max_retry_after_us) + RETRY_MARGIN_US
        self._keep_us = (KEEP_SERVED_US, max(max_retry_wait_us, KEEP_SERVED_US), KEEP_OUTSTANDING_US)
        self._now = self._next_sweep_us = self._idle_count = 0
        self._unmatched: Counter[str] = Counter()
        self._node_zone = {n.name: n.zone for n in day.nodes}
        self._zone = {e.id: e.zone for e in day.endpoints}

    # --- Time and memory --------------------------------------------------------------------------------
    def _advance(self, at: int) -> None:
        """Advance time to `at`, run due checks and drop requests that have been idle long enough."""
        if at < self._now:
            raise ValueError(f"observations must come in order: found {at} us after {self._now} us")
        if at > self._violations.next_us:
            self._violations.run_due(at)
        self._now = at
        if at >= self._next_sweep_us:
            self._next_sweep_us = at + SWEEP_INTERVAL_US
            for keep, quiet in zip(self._keep_us, self._idle_requests, strict=True):
                while quiet and quiet[0][0] + keep < at:
                    _, number, request = quiet.popleft()
                    if request.idle_number == number:  # otherwise it has been active since
                        self._remove(request)

    def _schedule_removal(self, at: int, request: Request) -> None:
        """Schedule the removal of a request without open client attempts, by what may still follow."""
        self._idle_count += 1
        request.idle_number = self._idle_count
        self._idle_requests[2 if request.outstanding else 0 if request.served else 1].append(
            (at, self._idle_count, request)
        )

    def _remove(self, request: Request) -> None:
        self._value_score.close_request(request, self._now)
        del self._requests[request.first]
        for t in request.tries:
            del self._client_attempts[t.rid]
        request.tries.clear()  # breaks the reference cycle: the simulation runs without the garbage collector

    def _on_attempt_closed(self, client_attempt: ClientAttempt, at: int) -> None:
        """Count a closed client attempt."""
        request = client_attempt.request
        request.open -= 1
        self._outcomes.closed(client_attempt, at)
        if not request.open:
            self._schedule_removal(self._now, request)

    def _find_attempt(self, rid: str, what: str, *seen: object) -> ClientAttempt | None:
        """Find the client attempt and add the observation to its history; None if unknown."""
        client_attempt = self._client_attempts.get(rid)
        if client_attempt is None:
            self._unmatched[what] += 1
        else:
            client_attempt.request.add_observation((self._now, what, rid, *seen))
        return client_attempt

    # --- Witness: clients -------------------------------------------------------------------------------
    def asked(self, at: int, rid: str, first: str, cls: int, tenant: int, key: int, zone: int,
              timeout_us: int, rebooks: str = "") -> None:  # fmt: skip
        """A client sends an attempt. Raises ValueError for a class that the day does not have."""
        self._advance(at)
        if not 0 <= cls < len(self._day.classes):
            raise ValueError(f"asked: class {cls} is not one of the day's {len(self._day.classes)}")
        if rid in self._client_attempts:
            self._unmatched["asked"] += 1
            return
        request = self._requests.get(first)
        if request is None:
            request = self._requests[first] = Request(first, cls, tenant, at)
            if rid == first:
                self._value_score.add_request(request)
                self._attempt_rules.rebooked(request, self._requests.get(rebooks))
            else:
                self._unmatched["asked"] += 1
        request.add_observation((at, "asked", rid, first, cls, tenant, key, zone, timeout_us, rebooks))
        client_attempt = self._client_attempts[rid] = ClientAttempt(rid, request, at, timeout_us, zone)
        request.tries.append(client_attempt)
        request.open += 1
        request.idle_number = 0
        self._outcomes.tries += 1
        self._response_rules.asked(client_attempt)

    def taken(self, at: int, rid: str, node: str) -> None:
        """A node's machine has received the attempt."""
        self._advance(at)
        client_attempt = self._find_attempt(rid, "taken", node)
        if client_attempt is not None:
            self._response_rules.taken(at, client_attempt, node)

    def answered(self, at: int, rid: str, node: str, verdict: str, retry_after_us: int,
                 right_body: bool) -> None:  # fmt: skip
        """The client has a response. Raises ValueError for an unknown verdict."""
        self._advance(at)
        if verdict not in VERDICTS:
            raise ValueError(f"answered: verdict {verdict!r}, allowed: {', '.join(sorted(VERDICTS))}")
        client_attempt = self._find_attempt(rid, "answered", node, verdict, retry_after_us, right_body)
        if client_attempt is None:
            text = f"an answer to {rid}, which nobody asks or which was over long ago"
            self._violations.record(at, "unknown", text, node=node)
            return
        served = (
            verdict == "served"
            and right_body
            and not client_attempt.request.served
            and not client_attempt.closed
        )
        if served:  # before closing, since it decides how long the request is kept
            self._value_score.add_served(client_attempt.request, client_attempt, at)
        if (
            self._response_rules.answered(at, client_attempt, node, verdict, right_body)
            and verdict == "refused"
        ):
            self._attempt_rules.refused(at, client_attempt)

    def left(self, at: int, rid: str) -> None:
        """The client has given up the attempt."""
        self._advance(at)
        client_attempt = self._find_attempt(rid, "left")
        if client_attempt is not None:
            self._response_rules.left(at, client_attempt)

    def lost(self, at: int, rid: str, node: str, why: str) -> None:
        """The node ended the attempt's connection."""
        self._advance(at)
        client_attempt = self._find_attempt(rid, "lost", node, why)
        if client_attempt is not None:
            self._response_rules.lost(at, client_attempt, node, why)

    # --- Witness: endpoints -----------------------------------------------------------------------------
    def dialed(self, at: int, node: str, endpoint: str) -> None:
        """A connection has come up."""
        self._advance(at)
        self._value_score.dials += 1

    def sent(self, at: int, rid: str, node: str, endpoint: str, first_byte_at: int) -> None:
        """An attempt has arrived."""
        self._advance(at)
        client_attempt = self._find_attempt(rid, "sent", node, endpoint, first_byte_at)
        if client_attempt is None:
            # a stalled node reads old requests before it sees which clients have left
            if not self._exemptions.exempts_drain(node, at):
                text = f"{rid}, which nobody asks or which was over long ago, was sent"
                self._violations.record(at, "unknown", text, node=node, endpoint=endpoint)
            return
        self._outcomes.attempts += 1
        if self._node_zone.get(node) != self._zone.get(endpoint):
            self._value_score.crossings += 1
        attempt = self._attempt_rules.sent(at, client_attempt, node, endpoint, first_byte_at)
        if attempt is not None:
            self._endpoint_rules.sent(at, client_attempt, attempt, first_byte_at)
            if not client_attempt.request.open:
                self._schedule_removal(at, client_attempt.request)

    def ran(self, at: int, rid: str, endpoint: str, work_us: float) -> None:
        """Work on an attempt has begun."""
        self._advance(at)
        client_attempt = self._find_attempt(rid, "ran", endpoint, work_us)
        if client_attempt is not None:
            self._attempt_rules.ran(at, client_attempt, endpoint, work_us)

    def ended(self, at: int, rid: str, endpoint: str, outcome: str) -> None:
        """An endpoint finished an attempt. Raises ValueError for an unknown outcome."""
        self._advance(at)
        if outcome not in OUTCOMES:
            raise ValueError(f"ended: outcome {outcome!r}, allowed: {', '.join(sorted(OUTCOMES))}")
        client_attempt = self._find_attempt(rid, "ended", endpoint, outcome)
        if (
            client_attempt is not None
            and self._attempt_rules.ended(at, client_attempt, endpoint, outcome)
            and not client_attempt.request.open
        ):
            self._schedule_removal(at, client_attempt.request)

    def probed(self, at: int, node: str, endpoint: str) -> None:
        """A probe has arrived."""
        self._advance(at)
        self._value_score.probes += 1

    def endpoint_up(self, at: int, endpoint: str, inc: int, zone: int, capacity: float, cold_from: float,
                    cold_us: int) -> None:  # fmt: skip
        """An endpoint's process has started."""
        self._advance(at)
        self._zone[endpoint] = zone
        self._endpoint_rules.endpoint_up(at, endpoint, capacity, cold_from, cold_us)

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        """The process ended."""
        self._advance(at)
        self._endpoint_rules.endpoint_down(at, endpoint, why)

    # --- Witness: nodes, discovery, faults --------------------------------------------------------------
    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        """Discovery told a node an endpoint's state. Raises ValueError for an unknown state."""
        self._advance(at)
        if state not in STATES:
            raise ValueError(f"told: state {state!r}, allowed: {', '.join(sorted(STATES))}")
        self._endpoint_rules.told(at, node, endpoint, state)

    def node_up(self, at: int, node: str, zone: int) -> None:
        """A node's process has started."""
        self._advance(at)
        self._node_zone[node] = zone
        self._response_rules.node_up(node)
        self._endpoint_rules.node_up(node)

    def node_ready(self, at: int, node: str) -> None:
        """The node's ready path returned 200."""
        self._advance(at)

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM was sent to the node."""
        self._advance(at)
        self._response_rules.node_stopping(at, node)

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """The process ended."""
        self._advance(at)
        self._response_rules.node_down(at, node, planned, code)

    def fault(self, at: int, index: int, begins: bool) -> None:
        """A fault of the day begins or ends. Raises ValueError for an unknown index."""
        self._advance(at)
        self._exemptions.fault(at, index, begins)

    # --- The outcome ------------------------------------------------------------------------------------
    def report(self) -> Report:
        """The day as observed so far; attempts that have not ended are counted as open, not checked."""
        worth, outcomes, endpoint_rules, day = (
            self._value_score,
            self._outcomes,
            self._endpoint_rules,
            self._day,
        )
        late, ran, wasted = worth.late_failed, worth.work_ran, worth.wasted
        for request in self._requests.values():
            done, lost = worth.attempt_work(request, self._now)
            late, ran, wasted = late + worth.late_failure_value(request, self._now), ran + done, wasted + lost
        g, parts, prices = worth.score(late, wasted)
        names = [c.name for c in day.classes]
        return Report(
            day=day.name, seed=day.seed, g=g, parts=parts, prices=prices,
            broken=tuple(self._violations.offences), offences=dict(self._violations.counts),
            requests=worth.first_tries, tries=outcomes.tries, attempts=outcomes.attempts,
            open=sum(r.open for r in self._requests.values()), unmatched=sum(self._unmatched.values()),
            totals=named_counts(outcomes.total), by_class=outcomes.class_table(),
            by_tenant=outcomes.tenant_table(), by_node=outcomes.node_table(),
            worth_by_class=_earned_ratios(names, worth.by_class),
            worth_by_tenant=_earned_ratios([t.name for t in day.tenants], worth.by_tenant),
            latency=dict(zip(names, outcomes.latency, strict=True)), series=self._series(),
            waste=wasted / ran if ran else 0.0, dials=worth.dials, crossings=worth.crossings,
            probes=worth.probes, fell=endpoint_rules.fell, fell_untold=endpoint_rules.fell_untold,
            double_bookings=self._attempt_rules.double_bookings, end_us=self._now,
        )  # fmt: skip

    def _series(self) -> tuple[dict[str, float], ...]:
        worth, tries = self._value_score.buckets, self._outcomes.by_time
        rows: list[dict[str, float]] = []
        for k in range(max(len(worth), len(tries))):
            asked, earned = worth[k] if k < len(worth) else (0.0, 0.0)
            counts = named_counts(tries[k]) if k < len(tries) else {}
            rows.append({"at_us": k * BUCKET_US, "worth_asked": asked, "worth_earned": earned, **counts})
        return tuple(rows)


def _earned_ratios(names: list[str], sums: list[list[float]]) -> dict[str, float]:
    return {n: earned / asked if asked else 1.0 for n, (asked, earned) in zip(names, sums, strict=True)}
