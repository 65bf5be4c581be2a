"""What is known of the health of each class at each host, from what passes: the judgement, not the choice.

It owns the evidence by (host, class) and by zone, and the state that is judged from it. It must never pick a
host, repeat or refuse a request (that is policy.py's), do I/O or read a clock. Times are in milliseconds.

The smallest set that explains the evidence is blamed: a call that errs, is reset or stays out too long speaks
against its class at its host alone; a connection that does not come up, against all classes there; most of a
zone's calls unanswered, against the zone. If most hosts look ill, none is: then the fleet is full, and calls
that stay out say so.
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
    """What speaks most against a class at a host."""

    HEALTHY = "well"
    SLOW = "slow"  # answers come, far later than the class's mean
    UNRESPONSIVE = "silent"  # answers do not come
    FAILING = "failing"
    RESETTING = "resetting"
    REFUSING = "refusing"  # connections do not come up
    FULL = "turning away"


_CAUSE_BY_OUTCOME = {
    Outcome.ERROR: Cause.FAILING, Outcome.RESET: Cause.RESETTING, Outcome.UNCONNECTED: Cause.REFUSING,
    Outcome.FULL: Cause.FULL, Outcome.TIMEOUT: Cause.UNRESPONSIVE,
}  # fmt: skip


class ClassHealth:
    """One class at one host."""

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
        self.last_sent_ms = -math.inf  # when it last got a request
        self.forget()

    def forget(self) -> None:
        """A new process: what was learned of the old one does not count."""
        self.failure_ratio = self.failure_ratio_at_ms = (
            0.0  # share of attempts that failed, and when that was so
        )
        self.waiting_since_ms = 0.0  # since when it owes an answer and has given none
        self.cause, self.unhealthy_since_ms = Cause.HEALTHY, 0.0

    def current_failure_ratio(self, now: float) -> float:
        """Its share of failures as far as it is still remembered."""
        return (
            self.failure_ratio * math.exp((self.failure_ratio_at_ms - now) / FAILURE_DECAY_MS)
            if self.failure_ratio
            else 0.0
        )


class Call:
    """An outbound call as far as health is concerned; the caller adds to it what else it keeps of one."""

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
    """The evidence of one gateway.

    `mean[k]` is the mean time in ms of class k's answers, `known[k]` their number, as the caller learns them
    from hosts that are well.
    """

    def __init__(self, safe: Iterable[bool], min_patience_ms: Iterable[float] = ()) -> None:
        """safe: by class, whether it may be repeated; least: ms, the patience that each has at least."""
        self.mean_ms: list[float] = []
        self.response_counts: list[float] = []
        self.fleet_overloaded: list[bool] = []  # so many hosts look ill that the fleet must be full
        self._recent_calls: list[deque[CallT]] = []  # not yet over their patience
        self._zone_failure_ratios: dict[int, tuple[float, float]] = {}
        self.set_classes(safe, min_patience_ms, ())

    def set_classes(
        self, safe: Iterable[bool], min_patience_ms: Iterable[float], hosts: Iterable[list[ClassHealth]]
    ) -> None:
        """Other classes: new ones come behind, in the rows of these hosts too."""
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
        """The rows of a new host, by class."""
        return [ClassHealth() for _ in self._is_safe]

    # --- Judgement --------------------------------------------------------------------------------------
    def failure_ratio(
        self, class_health: list[ClassHealth], class_index: int, zone: int, now: float
    ) -> float:
        """A class's share of failures at a host, forgotten with time.

        Where most of a zone's attempts go unanswered, its hosts count as failing before each has cost a
        request.
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
        """`fails` of a class at all of these (pairs, zone), at little cost where nothing fails."""
        if any(zone_ratio > UNHEALTHY_ZONE_RATIO for zone_ratio, _ in self._zone_failure_ratios.values()):
            return [self.failure_ratio(class_health, class_index, zone, now) for class_health, zone in hosts]
        return [
            class_health[class_index].current_failure_ratio(now)
            if class_health[class_index].failure_ratio
            else 0.0
            for class_health, _ in hosts
        ]

    def is_unhealthy(self, class_health: list[ClassHealth], class_index: int, zone: int, now: float) -> bool:
        """Does the class there say nothing of the fleet, as it is the host that is ill?"""
        return (
            not self.fleet_overloaded[class_index]
            and self.failure_ratio(class_health, class_index, zone, now) > UNHEALTHY_FAILURE_RATIO
        )

    def review(
        self, hosts: list[tuple[list[ClassHealth], int]], now: float
    ) -> list[tuple[int, int, ClassHealth]]:
        """Now and then, over (pairs, zone) of all ready hosts.

        Whether the fleet is full, and whose state has changed since the last review (host's index, class,
        row).
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
        """A request goes there."""
        health = call.class_health[call.class_index]
        if not health.in_flight:
            health.waiting_since_ms = call.started_at_ms
        health.in_flight += 1
        health.last_sent_ms = call.started_at_ms
        self._recent_calls[call.class_index].append(call)

    def ended(self, call: Call, outcome: Outcome, now: float) -> None:
        """It has ended there, by itself or by us."""
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
        """The calls that have now been out beyond all patience, each of them told once.

        They speak against their hosts long before their time is up.
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
        """An answer speaks for its host; one that came too late says that it is slow."""
        health = call.class_health[call.class_index]
        if call.was_overdue:
            health.cause = Cause.SLOW
            return
        was_unhealthy = health.current_failure_ratio(now) > UNHEALTHY_FAILURE_RATIO
        self._record_failure(call, call.class_index, 0.0, health.cause, now)
        if was_unhealthy and self._is_safe[call.class_index]:
            # what was ill as a whole comes back as a whole: found out with a safe request, never with one
            # that must not run twice
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

    # --- For on call ------------------------------------------------------------------------------------
    def diagnostics(
        self, class_health: list[ClassHealth], zone: int, now: float
    ) -> list[tuple[Cause, float, float, float, int, float]]:
        """A host's rows by class, changing nothing.

        Cause, since when it is ill (0: it is not), its share of failures, what of that is its own and not its
        zone's, requests in flight, when it got the last.
        """
        return [
            (
                p.cause,
                p.unhealthy_since_ms,
                self.failure_ratio(class_health, k, zone, now),
                p.current_failure_ratio(now),
                p.in_flight,
                p.last_sent_ms,
            )
            for k, p in enumerate(class_health)
        ]
