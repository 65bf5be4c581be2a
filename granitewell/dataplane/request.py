"""Retry rules of one request: whether it may be retried, and the status of a local reply. No I/O.

A request that is not idempotent is retried only if it was certainly not executed. Status 503 (like 429, 408
and 421) promises that a request was not executed and never will be, so it is returned only if that is certain
of every attempt.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from types import MappingProxyType

from granitewell.domain.configuration import Route

MAX_ATTEMPTS = 6  # per request, including failed connections, each of which costs time


class AttemptEnd(Enum):
    """Result of an attempt that gave no response for the client."""

    NOT_CONNECTED = auto()  # no connection, or no byte was written to it
    NOT_EXECUTED = auto()  # the server says that it did not execute the request
    FAILED = auto()  # a complete error response
    BROKEN = auto()  # a reset, a close, a malformed response, or a response to another request


@dataclass(frozen=True, slots=True)
class AttemptEffect:
    """Effect of the end of an attempt on further attempts.

    Attributes:
        reached: Whether it counts as received by a server.
        may_have_run: Whether the server may have executed the request.
    """

    reached: bool
    may_have_run: bool


ATTEMPT_EFFECTS: Mapping[AttemptEnd, AttemptEffect] = MappingProxyType({
    AttemptEnd.NOT_CONNECTED: AttemptEffect(reached=False, may_have_run=False),
    AttemptEnd.NOT_EXECUTED: AttemptEffect(reached=True, may_have_run=False),
    AttemptEnd.FAILED: AttemptEffect(reached=True, may_have_run=True),
    AttemptEnd.BROKEN: AttemptEffect(reached=True, may_have_run=True),
})  # fmt: skip

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})  # each promises that the request was not executed


class Attempts:
    """Attempts of one request."""

    __slots__ = ("_max_attempts", "_in_flight", "_repeatable", "servers_reached", "may_have_run", "attempts")

    def __init__(self, route: Route) -> None:
        self._repeatable = route.repeatable
        self._max_attempts = max(route.max_attempts, 1)
        self._in_flight = False  # an attempt was written and has not ended
        self.attempts = 0
        self.servers_reached = 0  # attempts that a server received
        self.may_have_run = False

    def begin(self) -> None:
        """Record that a server was selected for an attempt."""
        self.attempts += 1

    def written(self) -> None:
        """Record that the request was written, so that the server may execute it."""
        self._in_flight = True

    def end(self, end: AttemptEnd) -> None:
        """Record the end of the attempt."""
        self._in_flight = False
        effect = ATTEMPT_EFFECTS[end]
        self.servers_reached += effect.reached
        self.may_have_run = self.may_have_run or effect.may_have_run

    def may_retry(self) -> bool:
        """Return whether the rules allow a retry, retry budget and deadline aside."""
        if self._in_flight or self.servers_reached >= self._max_attempts or self.attempts >= MAX_ATTEMPTS:
            return False
        return self._repeatable or not self.may_have_run

    @property
    def next_is_final(self) -> bool:
        """Whether a failure of the next attempt would be final."""
        return not self._repeatable or self.servers_reached + 1 >= self._max_attempts

    @property
    def failure_status(self) -> int:
        """Status of a local reply if the request fails now."""
        return 502 if self.may_have_run or self._in_flight else 503

    @property
    def timeout_status(self) -> int:
        """Status of a local reply if the deadline passes now."""
        return 504 if self.may_have_run or self._in_flight else 503


def proves_not_executed(status: int, marked_not_executed: bool) -> bool:
    """Return whether a response proves that the request was not executed, and another server may run it.

    Args:
        status: Status of the response.
        marked_not_executed: Whether it carries the Not-Executed header. With that header, other failures
            would be the same at every server.
    """
    return status == 421 or (marked_not_executed and status in NOT_EXECUTED_STATUSES)


def may_forward(status: int, is_signed: bool, marked_not_executed: bool) -> bool:
    """Return whether a complete response may be forwarded to the client.

    A success needs a signature. A status that promises that the request was not executed needs the
    Not-Executed header.
    """
    if 200 <= status < 300:
        return is_signed
    return marked_not_executed or status not in NOT_EXECUTED_STATUSES
