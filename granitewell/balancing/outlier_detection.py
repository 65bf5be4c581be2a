"""Passive health checks: how healthy each request class is at each host, judged from its calls.

The evidence is kept by (host, class) and by zone. Hosts are selected, and requests retried or rejected, in
balancer.py. There is no I/O and no clock. Times are in milliseconds.

Evidence counts against the smallest set that explains it. An error, a reset or an overdue call counts against
its class at its host; a failed connection against all classes of the host; and if most calls of a zone remain
unanswered, that counts against all hosts of the zone. If most hosts look unhealthy, the fleet is overloaded
and no host counts as unhealthy.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import Generic, TypeVar

from granitewell.balancing.interface import Outcome

FAILURE_DECAY_MS = 6000.0  # time constant with which failures are forgotten, so that a host is tried again
FAILURE_EWMA_WEIGHT = 0.3  # of the newest outcome in a failure ratio
REJECTION_FAILURE_WEIGHT = 0.2  # of a rejection as a failure: it never ran, and another attempt costs little
PATIENCE_LATENCY_RATIO = 6.0  # times its class's mean latency after which a call is overdue
MIN_RESPONSES = 20  # of a class before its mean latency is used
OVERDUE_FAILURE_WEIGHT = 0.6  # of an overdue call as a failure
# Failure ratio from which a class at a host is unhealthy and says nothing about other hosts or the fleet.
UNHEALTHY_FAILURE_RATIO = 0.3
MAX_UNHEALTHY_RATIO = 0.6  # of the hosts: if more look unhealthy, the fleet is overloaded instead
# Part of its failures that an unsafe class keeps after a safe request to the host has succeeded.
RECOVERY_FAILURE_RATIO = 0.5
ZONE_EWMA_WEIGHT = 0.2  # of the newest outcome in a zone's ratio of unanswered attempts
UNHEALTHY_ZONE_RATIO = 0.5  # of unanswered attempts, from which a zone counts as cut off or lost
_NO_FAILURES = (0.0, 0.0)
_UNANSWERED = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.UNCONNECTED})


class Cause(Enum):
    """Main evidence against a class at a host."""

    HEALTHY = "well"
    SLOW = "slow"  # responses come, but much later than the class's mean
    UNRESPONSIVE = "silent"  # no responses
    FAILING = "failing"
    RESETTING = "resetting"
    REFUSING = "refusing"  # connections fail
    FULL = "turning away"


_CAUSE_BY_OUTCOME = {
    Outcome.ERROR: Cause.FAILING, Outcome.RESET: Cause.RESETTING, Outcome.UNCONNECTED: Cause.REFUSING,
    Outcome.FULL: Cause.FULL, Outcome.TIMEOUT: Cause.UNRESPONSIVE,
}  # fmt: skip


class ClassHealth:
    """Health of one class at one host."""

    __slots__ = (
        "cause",
        "failure_ratio",
        "failure_ratio_at_ms",
        "in_flight",
        "waiting_since_ms",
        "unhealthy_since_ms",
        "last_sent_ms",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.last_sent_ms = -math.inf  # when the last request was sent
        self.forget()

    def forget(self) -> None:
        """Forget the evidence: the host has a new process."""
        # moving average of failed attempts, and the time of its last update
        self.failure_ratio = self.failure_ratio_at_ms = 0.0
        self.waiting_since_ms = 0.0  # since when calls are pending without any response
        self.cause, self.unhealthy_since_ms = Cause.HEALTHY, 0.0

    def current_failure_ratio(self, now: float) -> float:
        """The failure ratio, decayed since its last update."""
        return (
            self.failure_ratio * math.exp((self.failure_ratio_at_ms - now) / FAILURE_DECAY_MS)
            if self.failure_ratio
            else 0.0
        )


class Call:
    """What health needs to know about an outbound call; the caller may subclass it."""

    __slots__ = ("started_at_ms", "class_index", "pending", "was_overdue", "class_health", "zone")

    def __init__(
        self, class_health: list[ClassHealth], class_index: int, zone: int, started_at_ms: float
    ) -> None:
        self.class_health, self.class_index, self.zone, self.started_at_ms = (
            class_health,
            class_index,
            zone,
            started_at_ms,
        )
        self.pending, self.was_overdue = True, False


CallT = TypeVar("CallT", bound=Call)


class HealthTracker(Generic[CallT]):
    """Health of all hosts, from the calls of one gateway.

    The caller keeps `mean_ms[k]`, the mean latency of class k's responses from healthy hosts, and
    `response_counts[k]`, their number.
    """

    def __init__(self, safe: Iterable[bool], min_patience_ms: Iterable[float] = ()) -> None:
        """Start without hosts.

        Args:
            safe: By class, whether its requests are safe to repeat.
            min_patience_ms: By class, the least time after which a call is overdue.
        """
        self.mean_ms: list[float] = []
        self.response_counts: list[float] = []
        self.fleet_overloaded: list[bool] = []  # by class: most hosts look unhealthy
        self._recent_calls: list[deque[CallT]] = []  # by class, not yet overdue, oldest first
        self._zone_failure_ratios: dict[int, tuple[float, float]] = {}
        self.set_classes(safe, min_patience_ms, ())

    def set_classes(
        self, safe: Iterable[bool], min_patience_ms: Iterable[float], hosts: Iterable[list[ClassHealth]]
    ) -> None:
        """Apply new settings of the classes; new classes are appended, also to the rows of these hosts."""
        self._is_safe, known_classes = tuple(safe), len(self.mean_ms)
        self._min_patience_ms = tuple(min_patience_ms) or (0.0,) * len(self._is_safe)
        new = len(self._is_safe) - known_classes
        for row in (self.mean_ms, self.response_counts):
            row += [0.0] * new
        self.fleet_overloaded += [False] * new
        self._recent_calls += (deque() for _ in range(new))
        for class_health in hosts:
            class_health += (ClassHealth() for _ in self._is_safe[len(class_health) :])

    def new_host(self) -> list[ClassHealth]:
        """Return the health of a new host, by class."""
        return [ClassHealth() for _ in self._is_safe]

    # --- Judgement --------------------------------------------------------------------------------------
    def failure_ratio(
        self, class_health: list[ClassHealth], class_index: int, zone: int, now: float
    ) -> float:
        """The failure ratio of a class at a host, decayed with time.

        If most attempts in a zone remain unanswered, the zone's ratio applies to all of its hosts, so that
        not each of them has to fail a request first.
        """
        failure_ratio = class_health[class_index].current_failure_ratio(now)
        zone_ratio, at = self._zone_failure_ratios.get(zone, _NO_FAILURES)
        return (
            max(failure_ratio, zone_ratio * math.exp((at - now) / FAILURE_DECAY_MS))
            if zone_ratio > UNHEALTHY_ZONE_RATIO
            else failure_ratio
        )

    def failure_ratios(
        self, hosts: list[tuple[list[ClassHealth], int]], class_index: int, now: float
    ) -> list[float]:
        """The failure ratio of a class at each of these (class_health, zone); cheap without failures."""
        if any(zone_ratio > UNHEALTHY_ZONE_RATIO for zone_ratio, _ in self._zone_failure_ratios.values()):
            return [self.failure_ratio(class_health, class_index, zone, now) for class_health, zone in hosts]
        return [
            class_health[class_index].current_failure_ratio(now)
            if class_health[class_index].failure_ratio
            else 0.0
            for class_health, _ in hosts
        ]

    def is_unhealthy(self, class_health: list[ClassHealth], class_index: int, zone: int, now: float) -> bool:
        """Whether a class is unhealthy at a host, in a fleet that is not overloaded."""
        return (
            not self.fleet_overloaded[class_index]
            and self.failure_ratio(class_health, class_index, zone, now) > UNHEALTHY_FAILURE_RATIO
        )

    def review(
        self, hosts: list[tuple[list[ClassHealth], int]], now: float
    ) -> list[tuple[int, int, ClassHealth]]:
        """Update which hosts are unhealthy, and whether the fleet is overloaded.

        Called periodically with (class_health, zone) of all ready hosts.

        Returns:
            The changes since the last review: index of the host, class, its health there.
        """
        changed = []
        for k in range(len(self._is_safe)):
            unhealthy_count = 0
            for n, failure_ratio in enumerate(self.failure_ratios(hosts, k, now)):
                health, unhealthy = hosts[n][0][k], failure_ratio > UNHEALTHY_FAILURE_RATIO
                unhealthy_count += unhealthy
                if unhealthy == (health.unhealthy_since_ms == 0.0):
                    health.unhealthy_since_ms = now if unhealthy else 0.0
                    health.cause = health.cause if unhealthy else Cause.HEALTHY
                    changed.append((n, k, health))
            self.fleet_overloaded[k] = unhealthy_count > MAX_UNHEALTHY_RATIO * len(hosts)
        return changed

    # --- Evidence ---------------------------------------------------------------------------------------
    def sent(self, call: CallT) -> None:
        """Record that a call was sent."""
        health = call.class_health[call.class_index]
        if not health.in_flight:
            health.waiting_since_ms = call.started_at_ms
        health.in_flight += 1
        health.last_sent_ms = call.started_at_ms
        self._recent_calls[call.class_index].append(call)

    def ended(self, call: Call, outcome: Outcome, now: float) -> None:
        """Record that a call has ended, by itself or cancelled."""
        call.pending = False
        health = call.class_health[call.class_index]
        health.in_flight -= 1
        if outcome in (Outcome.CANCELLED, Outcome.MOOT):
            return
        if outcome is not Outcome.TIMEOUT:
            health.waiting_since_ms = now
        if outcome is Outcome.OK:
            self._record_success(call, now)
        elif outcome is Outcome.UNCONNECTED:
            for k in range(len(call.class_health)):
                self._record_failure(call, k, 1.0, Cause.REFUSING, now)
        else:
            weight = REJECTION_FAILURE_WEIGHT if outcome is Outcome.FULL else 1.0
            self._record_failure(call, call.class_index, weight, _CAUSE_BY_OUTCOME[outcome], now)
        zone_ratio, at = self._zone_failure_ratios.get(call.zone, _NO_FAILURES)
        decayed = zone_ratio * math.exp((at - now) / FAILURE_DECAY_MS)
        self._zone_failure_ratios[call.zone] = (
            decayed * (1 - ZONE_EWMA_WEIGHT) + (outcome in _UNANSWERED) * ZONE_EWMA_WEIGHT,
            now,
        )

    def overdue(self, now: float) -> list[CallT]:
        """Return the calls that have become overdue, each of them once.

        They count as failures of their hosts long before they time out.
        """
        found: list[CallT] = []
        for k, recent in enumerate(self._recent_calls):
            until = now - max(PATIENCE_LATENCY_RATIO * self.mean_ms[k], self._min_patience_ms[k])
            while recent and (recent[0].started_at_ms < until or not recent[0].pending):
                call = recent.popleft()
                if call.pending and self.response_counts[k] >= MIN_RESPONSES:
                    call.was_overdue = True
                    self._record_failure(call, k, OVERDUE_FAILURE_WEIGHT, Cause.UNRESPONSIVE, now)
                    found.append(call)
        return found

    def _record_success(self, call: Call, now: float) -> None:
        """Record a response: it lowers the failure ratio, unless the call was overdue."""
        health = call.class_health[call.class_index]
        if call.was_overdue:
            health.cause = Cause.SLOW
            return
        was_unhealthy = health.current_failure_ratio(now) > UNHEALTHY_FAILURE_RATIO
        self._record_failure(call, call.class_index, 0.0, health.cause, now)
        if was_unhealthy and self._is_safe[call.class_index]:
            # A host that was unhealthy for all classes recovers for all. This is tested with a safe request,
            # never with one that must not run twice.
            for k, other in enumerate(call.class_health):
                if not self._is_safe[k] and other.failure_ratio_at_ms < call.started_at_ms:
                    other.failure_ratio *= RECOVERY_FAILURE_RATIO
                    other.failure_ratio_at_ms = now

    def _record_failure(self, call: Call, class_index: int, weight: float, cause: Cause, now: float) -> None:
        health = call.class_health[class_index]
        health.failure_ratio, health.failure_ratio_at_ms = (
            health.current_failure_ratio(now) * (1 - FAILURE_EWMA_WEIGHT) + weight * FAILURE_EWMA_WEIGHT,
            now,
        )
        if weight:
            health.cause = cause

    # --- Diagnostics ------------------------------------------------------------------------------------
    def diagnostics(
        self, class_health: list[ClassHealth], zone: int, now: float
    ) -> list[tuple[Cause, float, float, float, int, float]]:
        """Describe a host's health by class; changes nothing.

        Returns:
            By class: cause, time since which it is unhealthy (0 if it is not), failure ratio, the host's own
            failure ratio without its zone's, requests in flight, time of the last request.
        """
        return [
            (
                health.cause,
                health.unhealthy_since_ms,
                self.failure_ratio(class_health, k, zone, now),
                health.current_failure_ratio(now),
                health.in_flight,
                health.last_sent_ms,
            )
            for k, health in enumerate(class_health)
        ]
