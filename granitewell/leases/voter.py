"""Whether a planner grants a request: the promise, and the verdict with its reason.

This module owns the rules of a vote. It never writes, sends, or changes a record.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.leases.incarnation_numbers import merged
from granitewell.leases.record import Record
from granitewell.leases.types import MAX_LEASE_US, Settings

Who = tuple[str, int]  # name and boot of a process

NO_VOTE = "blank"  # the disk is new
INCARNATIONS = "lives"  # the two know different disks of some planner
LENGTH = "length"  # a longer lease than there are, or than was voted for
TERM = "term"  # lower than the one we are in
VOTED = "voted"  # for another in this term, or for nobody
PROMISED = "promised"  # another may still lead
GIVEN_UP = "given up"  # by whoever asks: a question that came late
BUSY = "busy"  # we ask for votes ourselves, and go first


@dataclass(frozen=True, slots=True)
class Promise:
    """A promise not to help another planner to lead before `until_us`.

    Attributes:
        to: The planner that it was given to; None if unknown, so that it holds against everyone.
    """

    to: Who | None
    until_us: int

    def against(self, who: Who, now_us: int) -> bool:
        """Return whether the promise forbids a vote for a process."""
        return now_us < self.until_us and self.to != who


@dataclass(frozen=True, slots=True)
class Question:
    """A request: a vote in a term, or an extension of the lease.

    Attributes:
        incarnations: Incarnations by name, as the requester knows them.
    """

    who: Who
    term: int
    lease_us: int
    incarnations: tuple[int, ...]


def verdict(asked: Question, record: Record, promise: Promise, now_us: int, me: int) -> str:
    """Return why a request is refused; "" if it is granted.

    Args:
        asked: The request.
        record: This planner's record.
        promise: The promise given last.
        now_us: Current time, in microseconds.
        me: Index of this planner. Whether it has a vote at all is not checked here.
    """
    if (
        asked.incarnations[me] != record.incarnation
        or merged(asked.incarnations, record.incarnations) != asked.incarnations
    ):
        return INCARNATIONS
    if asked.term < record.term:
        return TERM
    again = asked.term == record.term
    if again and record.voted != asked.who:
        return VOTED
    if asked.lease_us > (record.lease_us if again else MAX_LEASE_US):
        return LENGTH
    if not again and promise.against(asked.who, now_us):
        return PROMISED
    return ""


def at_start(record: Record, now_us: int, settings: Settings) -> Promise:
    """Return the promise that a process starting with a record must keep.

    Every promise that may still bind the disk's former process was given to the planner that it voted for
    last: it gave none to another planner before that one had expired, and wrote each new one to disk before
    announcing it.
    """
    return Promise(record.voted, now_us + settings.promiser_lease_us(max(record.lease_us, settings.lease_us)))
