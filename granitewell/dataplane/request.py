"""What the end of an attempt allows: another attempt, or which final answer. Pure; a table and its rules.

A request that may run once is sent again only after proof that it has not run. 503 (as 429, 408 and 421) is
a promise that a request has not run and never will, so it is given only with such proof for every attempt.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from types import MappingProxyType

from granitewell.domain.configuration import Route

MAX_ATTEMPTS = 6  # of a request, those that reached no server included: each costs a connection's time


class AttemptEnd(Enum):
    """How an attempt ended that gave the client nothing."""

    NOT_CONNECTED = auto()  # no connection, or nothing was written to it
    NOT_EXECUTED = auto()  # the server says that it has not run it
    FAILED = auto()  # a failure of the server's own, whole
    BROKEN = auto()  # a reset, a close, bytes that are no answer, or an answer to another request


@dataclass(frozen=True, slots=True)
class Consequence:
    """reached: it counts as an arrival at a server; may_have_run: there is no proof that it hasn't."""

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
    """The attempts of one request so far."""

    __slots__ = ("_max", "_out", "_repeatable", "arrivals", "may_have_run", "attempts")

    def __init__(self, route: Route) -> None:
        self._repeatable = route.repeatable
        self._max = max(route.max_attempts, 1)
        self._out = False  # one is under way, its end not known
        self.attempts = 0
        self.arrivals = 0  # of them, those that reached a server
        self.may_have_run = False

    def begin(self) -> None:
        """One more begins: a server has been chosen."""
        self.attempts += 1

    def written(self) -> None:
        """From now on it may run."""
        self._out = True

    def end(self, end: AttemptEnd) -> None:
        """It has ended."""
        self._out = False
        consequence = CONSEQUENCES[end]
        self.arrivals += consequence.reached
        self.may_have_run = self.may_have_run or consequence.may_have_run

    def may_repeat(self) -> bool:
        """Whether the rules allow one more attempt, budget and time aside."""
        if self._out or self.arrivals >= self._max or self.attempts >= MAX_ATTEMPTS:
            return False
        return self._repeatable or not self.may_have_run

    @property
    def last(self) -> bool:
        """Whether a failure of the next attempt would be final."""
        return not self._repeatable or self.arrivals + 1 >= self._max

    @property
    def failure_status(self) -> int:
        """The status of a final answer of our own, now."""
        return 502 if self.may_have_run or self._out else 503

    @property
    def overdue_status(self) -> int:
        """The status when the request's time is over, now."""
        return 504 if self.may_have_run or self._out else 503


def proves_not_executed(status: int, marked: bool) -> bool:
    """Whether an answer says that the request has not run, and that another server may run it.

    Args:
        marked: It carries the header that says so; other failures with that header hold wherever it is sent.
    """
    return status == 421 or (marked and status in PROMISES)


def passes_unchanged(status: int, is_signed: bool, marked: bool) -> bool:
    """Whether a whole answer may go to the client.

    A success only with its seal, and no promise that the server hasn't given.
    """
    if 200 <= status < 300:
        return is_signed
    return marked or status not in PROMISES
