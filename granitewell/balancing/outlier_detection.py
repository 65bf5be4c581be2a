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
_NONE = (0.0, 0.0)
_LOST = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.UNCONNECTED})


class Cause(Enum):
    """What speaks most against a class at a host."""

    WELL = "well"
    SLOW = "slow"  # answers come, far later than the class's mean
    SILENT = "silent"  # answers do not come
    FAILING = "failing"
    RESETTING = "resetting"
    REFUSING = "refusing"  # connections do not come up
    FULL = "turning away"


_CAUSES = {
    Outcome.ERROR: Cause.FAILING, Outcome.RESET: Cause.RESETTING, Outcome.UNCONNECTED: Cause.REFUSING,
    Outcome.FULL: Cause.FULL, Outcome.TIMEOUT: Cause.SILENT,
}  # fmt: skip


class Pair:
    """One class at one host."""

    __slots__ = ("cause", "fail", "fail_at", "inflight", "quiet", "since", "tried")

    def __init__(self) -> None:
        self.inflight = 0
        self.tried = -math.inf  # when it last got a request
        self.forget()

    def forget(self) -> None:
        """A new process: what was learned of the old one does not count."""
        self.fail = self.fail_at = 0.0  # share of attempts that failed, and when that was so
        self.quiet = 0.0  # since when it owes an answer and has given none
        self.cause, self.since = Cause.WELL, 0.0

    def own(self, now: float) -> float:
        """Its share of failures as far as it is still remembered."""
        return self.fail * math.exp((self.fail_at - now) / FAILURE_DECAY_MS) if self.fail else 0.0


class Call:
    """An outbound call as far as health is concerned; the caller adds to it what else it keeps of one."""

    __slots__ = ("at", "cls", "out", "over", "pairs", "zone")

    def __init__(self, pairs: list[Pair], cls: int, zone: int, at: float) -> None:
        self.pairs, self.cls, self.zone, self.at = pairs, cls, zone, at
        self.out, self.over = True, False


C = TypeVar("C", bound=Call)


class Health(Generic[C]):
    """The evidence of one gateway.

    `mean[k]` is the mean time in ms of class k's answers, `known[k]` their number, as the caller learns them
    from hosts that are well.
    """

    def __init__(self, safe: Iterable[bool], least: Iterable[float] = ()) -> None:
        """safe: by class, whether it may be repeated; least: ms, the patience that each has at least."""
        self.mean: list[float] = []
        self.known: list[float] = []
        self.full: list[bool] = []  # so many hosts look ill that the fleet must be full
        self._recent: list[deque[C]] = []  # not yet over their patience
        self._zones: dict[int, tuple[float, float]] = {}
        self.take(safe, least, ())

    def take(self, safe: Iterable[bool], least: Iterable[float], hosts: Iterable[list[Pair]]) -> None:
        """Other classes: new ones come behind, in the rows of these hosts too."""
        self._safe, was = tuple(safe), len(self.mean)
        self._least = tuple(least) or (0.0,) * len(self._safe)
        new = len(self._safe) - was
        for row in (self.mean, self.known):
            row += [0.0] * new
        self.full += [False] * new
        self._recent += (deque() for _ in range(new))
        for pairs in hosts:
            pairs += (Pair() for _ in self._safe[len(pairs) :])

    def pairs(self) -> list[Pair]:
        """The rows of a new host, by class."""
        return [Pair() for _ in self._safe]

    # --- Judgement --------------------------------------------------------------------------------------
    def fails(self, pairs: list[Pair], cls: int, zone: int, now: float) -> float:
        """A class's share of failures at a host, forgotten with time.

        Where most of a zone's attempts go unanswered, its hosts count as failing before each has cost a
        request.
        """
        fail = pairs[cls].own(now)
        share, at = self._zones.get(zone, _NONE)
        return (
            max(fail, share * math.exp((at - now) / FAILURE_DECAY_MS))
            if share > UNHEALTHY_ZONE_RATIO
            else fail
        )

    def shares(self, hosts: list[tuple[list[Pair], int]], cls: int, now: float) -> list[float]:
        """`fails` of a class at all of these (pairs, zone), at little cost where nothing fails."""
        if any(share > UNHEALTHY_ZONE_RATIO for share, _ in self._zones.values()):
            return [self.fails(pairs, cls, zone, now) for pairs, zone in hosts]
        return [pairs[cls].own(now) if pairs[cls].fail else 0.0 for pairs, _ in hosts]

    def sick(self, pairs: list[Pair], cls: int, zone: int, now: float) -> bool:
        """Does the class there say nothing of the fleet, as it is the host that is ill?"""
        return not self.full[cls] and self.fails(pairs, cls, zone, now) > UNHEALTHY_FAILURE_RATIO

    def review(self, hosts: list[tuple[list[Pair], int]], now: float) -> list[tuple[int, int, Pair]]:
        """Now and then, over (pairs, zone) of all ready hosts.

        Whether the fleet is full, and whose state has changed since the last review (host's index, class,
        row).
        """
        changed = []
        for k in range(len(self._safe)):
            ill = 0
            for n, fail in enumerate(self.shares(hosts, k, now)):
                pair, bad = hosts[n][0][k], fail > UNHEALTHY_FAILURE_RATIO
                ill += bad
                if bad == (pair.since == 0.0):
                    pair.since = now if bad else 0.0
                    pair.cause = pair.cause if bad else Cause.WELL
                    changed.append((n, k, pair))
            self.full[k] = ill > MAX_UNHEALTHY_RATIO * len(hosts)
        return changed

    # --- Evidence ---------------------------------------------------------------------------------------
    def sent(self, call: C) -> None:
        """A request goes there."""
        pair = call.pairs[call.cls]
        if not pair.inflight:
            pair.quiet = call.at
        pair.inflight += 1
        pair.tried = call.at
        self._recent[call.cls].append(call)

    def ended(self, call: Call, outcome: Outcome, now: float) -> None:
        """It has ended there, by itself or by us."""
        call.out = False
        pair = call.pairs[call.cls]
        pair.inflight -= 1
        if outcome in (Outcome.CANCELLED, Outcome.MOOT):
            return
        if outcome is not Outcome.TIMEOUT:
            pair.quiet = now
        if outcome is Outcome.OK:
            self._cleared(call, now)
        elif outcome is Outcome.UNCONNECTED:
            for k in range(len(call.pairs)):
                self._blame(call, k, 1.0, Cause.REFUSING, now)
        else:
            bad = REJECTION_FAILURE_WEIGHT if outcome is Outcome.FULL else 1.0
            self._blame(call, call.cls, bad, _CAUSES[outcome], now)
        fail, at = self._zones.get(call.zone, _NONE)
        zone = fail * math.exp((at - now) / FAILURE_DECAY_MS)
        self._zones[call.zone] = (zone * (1 - ZONE_EWMA_WEIGHT) + (outcome in _LOST) * ZONE_EWMA_WEIGHT, now)

    def overdue(self, now: float) -> list[C]:
        """The calls that have now been out beyond all patience, each of them told once.

        They speak against their hosts long before their time is up.
        """
        found: list[C] = []
        for k, recent in enumerate(self._recent):
            until = now - max(PATIENCE_LATENCY_RATIO * self.mean[k], self._least[k])
            while recent and (recent[0].at < until or not recent[0].out):
                call = recent.popleft()
                if call.out and self.known[k] >= MIN_RESPONSES:
                    call.over = True
                    self._blame(call, k, OVERDUE_FAILURE_WEIGHT, Cause.SILENT, now)
                    found.append(call)
        return found

    def _cleared(self, call: Call, now: float) -> None:
        """An answer speaks for its host; one that came too late says that it is slow."""
        pair = call.pairs[call.cls]
        if call.over:
            pair.cause = Cause.SLOW
            return
        was_ill = pair.own(now) > UNHEALTHY_FAILURE_RATIO
        self._blame(call, call.cls, 0.0, pair.cause, now)
        if was_ill and self._safe[call.cls]:
            # what was ill as a whole comes back as a whole: found out with a safe request, never with one
            # that must not run twice
            for k, other in enumerate(call.pairs):
                if not self._safe[k] and other.fail_at < call.at:
                    other.fail *= RECOVERY_FAILURE_RATIO
                    other.fail_at = now

    def _blame(self, call: Call, cls: int, bad: float, cause: Cause, now: float) -> None:
        pair = call.pairs[cls]
        pair.fail, pair.fail_at = pair.own(now) * (1 - FAILURE_EWMA_WEIGHT) + bad * FAILURE_EWMA_WEIGHT, now
        if bad:
            pair.cause = cause

    # --- For on call ------------------------------------------------------------------------------------
    def judged(
        self, pairs: list[Pair], zone: int, now: float
    ) -> list[tuple[Cause, float, float, float, int, float]]:
        """A host's rows by class, changing nothing.

        Cause, since when it is ill (0: it is not), its share of failures, what of that is its own and not its
        zone's, requests in flight, when it got the last.
        """
        return [
            (p.cause, p.since, self.fails(pairs, k, zone, now), p.own(now), p.inflight, p.tried)
            for k, p in enumerate(pairs)
        ]
