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
class Consequence:
    """What follows from the end of an attempt.

    Attributes:
        reached: Whether it counts as an arrival at a server.
        may_have_run: Whether there is no proof that it was not executed.
    """

    reached: bool
    may_have_run: bool


CONSEQUENCES: Mapping[AttemptEnd, Consequence] = MappingProxyType({
    AttemptEnd.NOT_CONNECTED: Consequence(reached=False, may_have_run=False),
    AttemptEnd.NOT_EXECUTED: Consequence(reached=True, may_have_run=False),
    AttemptEnd.FAILED: Consequence(reached=True, may_have_run=True),
    AttemptEnd.BROKEN: Consequence(reached=True, may_have_run=True),
})  # fmt: skip

PROMISES = frozenset({408, 421, 429, 503})  # statuses that promise that a request has not run


class Attempts:
    """Attempts of one request so far."""

    __slots__ = ("_max", "_out", "_repeatable", "arrivals", "may_have_run", "attempts")

    def __init__(self, route: Route) -> None:
        self._repeatable = route.repeatable
        self._max = max(route.max_attempts, 1)
        self._out = False  # one is under way, its end not known
        self.attempts = 0
        self.arrivals = 0  # of them, those that reached a server
        self.may_have_run = False

    def begin(self) -> None:
        """Begin an attempt: a server has been chosen."""
        self.attempts += 1

    def written(self) -> None:
        """Record that the request may be executed from now on."""
        self._out = True

    def end(self, end: AttemptEnd) -> None:
        """Record the end of the attempt."""
        self._out = False
        consequence = CONSEQUENCES[end]
        self.arrivals += consequence.reached
        self.may_have_run = self.may_have_run or consequence.may_have_run

    def may_repeat(self) -> bool:
        """Return whether the rules allow another attempt, apart from budget and time."""
        if self._out or self.arrivals >= self._max or self.attempts >= MAX_ATTEMPTS:
            return False
        return self._repeatable or not self.may_have_run

    @property
    def last(self) -> bool:
        """Whether a failure of the next attempt would be final."""
        return not self._repeatable or self.arrivals + 1 >= self._max

    @property
    def failure_status(self) -> int:
        """Status of a final answer of this edge, now."""
        return 502 if self.may_have_run or self._out else 503

    @property
    def overdue_status(self) -> int:
        """Status if the request's time is over, now."""
        return 504 if self.may_have_run or self._out else 503


def proves_not_executed(status: int, marked: bool) -> bool:
    """Return whether an answer proves that the request was not executed and another server may.

    Args:
        status: Status of the answer.
        marked: Whether it carries the header that says so; other failures with that header apply to every
            server.
    """
    return status == 421 or (marked and status in PROMISES)


def passes_unchanged(status: int, is_signed: bool, marked: bool) -> bool:
    """Return whether a complete answer may be forwarded to the client.

    A success needs its signature, and a promise must have been made by the server.
    """
    if 200 <= status < 300:
        return is_signed
    return marked or status not in PROMISES
