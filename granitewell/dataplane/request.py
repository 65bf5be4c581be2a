"""What the end of an attempt allows: another attempt, or a final answer. A table and its rules; no I/O.

A request that is not idempotent is sent again only with proof that it was not executed. Status 503 (like 429,
408 and 421) promises that a request was not executed and never will be, so it is returned only with such
proof for every attempt.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from types import MappingProxyType

from granitewell.domain.configuration import Route

MAX_ATTEMPTS = 6  # of a request, those that reached no server included: each costs a connection's time


class AttemptEnd(Enum):
    """How an attempt without an answer for the client ended."""

    NOT_CONNECTED = auto()  # no connection, or nothing was written to it
    NOT_EXECUTED = auto()  # the server says that it has not run it
    FAILED = auto()  # a failure of the server's own, whole
    BROKEN = auto()  # a reset, a close, bytes that are no answer, or an answer to another request


@dataclass(frozen=True, slots=True)
class AttemptEffect:
    """What follows from the end of an attempt.

    Attributes:
        reached: Whether it counts as an arrival at a server.
        may_have_run: Whether there is no proof that it was not executed.
    """

    reached: bool
    may_have_run: bool


ATTEMPT_EFFECTS: Mapping[AttemptEnd, AttemptEffect] = MappingProxyType({
    AttemptEnd.NOT_CONNECTED: AttemptEffect(reached=False, may_have_run=False),
    AttemptEnd.NOT_EXECUTED: AttemptEffect(reached=True, may_have_run=False),
    AttemptEnd.FAILED: AttemptEffect(reached=True, may_have_run=True),
    AttemptEnd.BROKEN: AttemptEffect(reached=True, may_have_run=True),
})  # fmt: skip

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})  # statuses that promise that a request has not run


class Attempts:
    """Attempts of one request so far."""

    __slots__ = ("_max_attempts", "_in_flight", "_repeatable", "servers_reached", "may_have_run", "attempts")

    def __init__(self, route: Route) -> None:
        self._repeatable = route.repeatable
        self._max_attempts = max(route.max_attempts, 1)
        self._in_flight = False  # one is under way, its end not known
        self.attempts = 0
        self.servers_reached = 0  # of them, those that reached a server
        self.may_have_run = False

    def begin(self) -> None:
        """Begin an attempt: a server has been chosen."""
        self.attempts += 1

    def written(self) -> None:
        """Record that the request may be executed from now on."""
        self._in_flight = True

    def end(self, end: AttemptEnd) -> None:
        """Record the end of the attempt."""
        self._in_flight = False
        effect = ATTEMPT_EFFECTS[end]
        self.servers_reached += effect.reached
        self.may_have_run = self.may_have_run or effect.may_have_run

    def may_retry(self) -> bool:
        """Return whether the rules allow another attempt, apart from budget and time."""
        if self._in_flight or self.servers_reached >= self._max_attempts or self.attempts >= MAX_ATTEMPTS:
            return False
        return self._repeatable or not self.may_have_run

    @property
    def next_is_final(self) -> bool:
        """Whether a failure of the next attempt would be final."""
        return not self._repeatable or self.servers_reached + 1 >= self._max_attempts

    @property
    def failure_status(self) -> int:
        """Status of a final answer of this edge, now."""
        return 502 if self.may_have_run or self._in_flight else 503

    @property
    def timeout_status(self) -> int:
        """Status if the request's time is over, now."""
        return 504 if self.may_have_run or self._in_flight else 503


def proves_not_executed(status: int, marked_not_executed: bool) -> bool:
    """Return whether an answer proves that the request was not executed and another server may.

    Args:
        status: Status of the answer.
        marked_not_executed: Whether it carries the header that says so; other failures with that header apply
            to every server.
    """
    return status == 421 or (marked_not_executed and status in NOT_EXECUTED_STATUSES)


def may_forward(status: int, is_signed: bool, marked_not_executed: bool) -> bool:
    """Return whether a complete answer may be forwarded to the client.

    A success needs its signature, and a promise must have been made by the server.
    """
    if 200 <= status < 300:
        return is_signed
    return marked_not_executed or status not in NOT_EXECUTED_STATUSES
