"""The rules on endpoints: drains are kept, and no cold endpoint is overloaded.

The module tracks what each node was told of each endpoint and the present capacity of cold processes.

Drains: the first byte of an attempt must not come later than grace + slack after the node was told `draining`
or `gone`. The first notice counts until the node is told `ready` again; a new process of the node has been
told nothing.

Cold endpoints: a process of age a has the share `cold_from + (1 - cold_from) * a / cold_us` of its capacity.
`fell` (an overloaded process ended) is a violation if at least two thirds of the work sent in the window
before came from nodes that had been told `ready` since its start (WIRE's fourth rule). Besides, the work that
those nodes sent within any window of fall_us must stay under fall_multiple * present capacity * window, with
a tolerance of three standard deviations of a Poisson stream of such requests. Work is counted as its class's
mean, since a node knows nothing more precise when it sends.
"""

from __future__ import annotations

import math
from collections import deque

from granitewell.lab.day import Day
from granitewell.lab.judge.fault_exemptions import FaultExemptions
from granitewell.lab.judge.records import ClientAttempt, UpstreamAttempt
from granitewell.lab.judge.violations import ViolationLog

CHANCE_STANDARD_DEVIATIONS = 3.0  # tolerance for random clustering
MIN_INFORMED_SHARE = 2 / 3  # of the work, from nodes that knew of the start


class _KnownState:
    """What one node was told of one endpoint; times are -1 if unset."""

    __slots__ = ("unavailable_since", "ready_told_at", "previous_unavailable_since")

    def __init__(self) -> None:
        self.unavailable_since = -1  # when it was told `draining` or `gone`; -1: ready
        self.ready_told_at = -1  # when `ready` was last told
        self.previous_unavailable_since = -1  # the value before the last `ready`


class _ColdEndpoint:
    """An endpoint process that has not reached its full capacity."""

    __slots__ = ("capacity", "cold_from", "cold_us", "recent_work", "informed_us", "total_us", "up_at")

    def __init__(self, up_at: int, capacity: float, cold_from: float, cold_us: int) -> None:
        self.up_at, self.capacity, self.cold_from, self.cold_us = up_at, capacity, cold_from, cold_us
        self.recent_work: deque[tuple[int, float, bool]] = (
            deque()
        )  # (at, work, from a node that knew of the start)
        self.total_us = self.informed_us = 0.0

    def present_capacity(self, at: int) -> float:
        """Present capacity, in work units per microsecond."""
        age = min(max((at - self.up_at) / self.cold_us, 0.0), 1.0)
        return self.capacity * (self.cold_from + (1.0 - self.cold_from) * age)

    def add(self, at: int, work: float, told: bool) -> None:
        """Add the work of an attempt that arrived."""
        self.recent_work.append((at, work, told))
        self.total_us += work
        self.informed_us += work if told else 0.0

    def drop_before(self, before: int) -> None:
        """Drop work that arrived at or before this time."""
        while self.recent_work and self.recent_work[0][0] <= before:
            _, work, told = self.recent_work.popleft()
            self.total_us -= work
            self.informed_us -= work if told else 0.0


class EndpointRules:
    """Checks to which endpoints attempts go."""

    def __init__(self, day: Day, violations: ViolationLog, exemptions: FaultExemptions) -> None:
        self._violations, self._exemptions, self._rules = violations, exemptions, day.rules
        self._limit_us = day.rules.drain_grace_us + day.rules.slack_us
        self._mean_work_us = [c.work_us for c in day.classes]
        self._max_mean_work_us = max(self._mean_work_us, default=0.0)
        self._known_states: dict[str, dict[str, _KnownState]] = {}
        self._cold: dict[str, _ColdEndpoint] = {}
        self.fell = 0  # endpoints that ended from overload while cold
        self.fell_untold = 0  # of these, overloaded by nodes not yet told of the start

    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        """Discovery told the node the state of an endpoint."""
        known_state = self._known_states.setdefault(node, {}).setdefault(endpoint, _KnownState())
        if state == "ready":
            if known_state.unavailable_since >= 0:
                known_state.previous_unavailable_since, known_state.unavailable_since = (
                    known_state.unavailable_since,
                    -1,
                )
            known_state.ready_told_at = at
        elif known_state.unavailable_since < 0:
            known_state.unavailable_since = at

    def node_up(self, node: str) -> None:
        """A new node process has been told nothing."""
        self._known_states.pop(node, None)

    def endpoint_up(self, at: int, endpoint: str, capacity: float, cold_from: float, cold_us: int) -> None:
        """An endpoint process started."""
        self._cold.pop(endpoint, None)
        if cold_us > 0 and cold_from < 1.0:
            self._cold[endpoint] = _ColdEndpoint(at, capacity, cold_from, cold_us)

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        """The endpoint process ended."""
        cold = self._cold.pop(endpoint, None)
        if why != "fell":
            return
        self.fell += 1
        if cold is None:
            self._violations.record(at, "cold", "an endpoint was pushed over", endpoint=endpoint)
            return
        cold.drop_before(at - self._rules.fall_us)
        if (
            cold.recent_work and cold.informed_us >= MIN_INFORMED_SHARE * cold.total_us - 1e-6
        ):  # floating-point sums drift
            text = (
                f"pushed over {(at - cold.up_at) / 1e6:.3f} s after its start, {self._work_summary(cold, at)}"
            )
            self._violations.record(at, "cold", text, endpoint=endpoint)
        else:
            self.fell_untold += 1

    def sent(
        self, at: int, client_attempt: ClientAttempt, attempt: UpstreamAttempt, first_byte_at: int
    ) -> None:
        """An attempt arrived at an endpoint."""
        known_state = self._known_states.get(attempt.node, {}).get(attempt.endpoint)
        if known_state is not None and (
            known_state.unavailable_since >= 0 or known_state.previous_unavailable_since >= 0
        ):
            self._check_drain(at, client_attempt, attempt, first_byte_at, known_state)
        cold = self._cold.get(attempt.endpoint)
        if cold is not None:
            self._check_budget(at, client_attempt, attempt, cold, known_state)

    def _check_drain(
        self,
        at: int,
        client_attempt: ClientAttempt,
        attempt: UpstreamAttempt,
        first_byte_at: int,
        known_state: _KnownState,
    ) -> None:
        since = known_state.unavailable_since
        if since < 0 or first_byte_at < since:  # it may belong to the previous notice
            since = (
                known_state.previous_unavailable_since if first_byte_at <= known_state.ready_told_at else -1
            )
        if since < 0 or first_byte_at - since <= self._limit_us:
            return
        if not self._exemptions.exempts_drain(attempt.node, first_byte_at):
            late = (first_byte_at - since - self._limit_us) / 1000
            text = f"first byte {late:.3f} ms past the limit; told at {since / 1e6:.6f} s"
            self._violations.record(at, "drain", text, client_attempt, attempt)

    def _check_budget(
        self,
        at: int,
        client_attempt: ClientAttempt,
        attempt: UpstreamAttempt,
        cold: _ColdEndpoint,
        known_state: _KnownState | None,
    ) -> None:
        if at >= cold.up_at + cold.cold_us:
            del self._cold[attempt.endpoint]
            return
        rules = self._rules
        told = known_state is not None and known_state.ready_told_at >= cold.up_at
        work = self._mean_work_us[client_attempt.request.cls]
        cold.drop_before(at - rules.fall_us)
        cold.add(at, work, told)
        if not told:
            return
        budget = rules.fall_multiple * cold.present_capacity(at) * rules.fall_us
        if cold.informed_us > budget + CHANCE_STANDARD_DEVIATIONS * math.sqrt(
            budget * self._max_mean_work_us
        ):
            text = f"{(at - cold.up_at) / 1e6:.3f} s after its start, {self._work_summary(cold, at)}"
            self._violations.record(at, "cold", text, client_attempt, attempt)

    def _work_summary(self, cold: _ColdEndpoint, at: int) -> str:
        budget_us = self._rules.fall_multiple * cold.present_capacity(at) * self._rules.fall_us
        return (
            f"{cold.informed_us / 1000:.1f} ms of work (mean) in {self._rules.fall_us / 1e6:g} s "
            f"from nodes that knew, {cold.total_us / 1000:.1f} ms from all, "
            f"{budget_us / 1000:.1f} ms of budget"
        )
