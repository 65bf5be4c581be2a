"""Whether a planner grants a request: the promise, and the verdict with its reason.

This module owns the rules of a vote. It never writes, sends, or changes a record.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.leases.incarnation_numbers import merged
from granitewell.leases.record import Record
from granitewell.leases.types import MAX_LEASE_US, Settings

ProcessIdentity = tuple[str, int]  # name and boot id of a process

NO_VOTE = "blank"  # the disk is new
INCARNATIONS = "lives"  # the requester does not know the newest disk of some planner
LENGTH = "length"  # the lease is longer than the maximum, or than the one voted for
TERM = "term"  # lower than the current term
VOTED = "voted"  # the vote of this term went to another process, or may not be given
PROMISED = "promised"  # another process may still hold a lease
GIVEN_UP = "given up"  # the requester has released this term; the request is late
BUSY = "busy"  # this planner probes too, and goes first


@dataclass(frozen=True, slots=True)
class Promise:
    """A promise not to help another planner to lead before `until_us`.

    Attributes:
        to: The planner that it was given to; None if unknown, so that it holds against everyone.
    """

    to: ProcessIdentity | None
    until_us: int

    def forbids(self, candidate: ProcessIdentity, now_us: int) -> bool:
        """Return whether the promise forbids a vote for a process."""
        return now_us < self.until_us and self.to != candidate


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A request for a vote in a term, or for an extension of the lease.

    Attributes:
        candidate: The process that asks.
        term: The term.
        lease_us: Length of the lease, in microseconds.
        incarnations: Incarnations by name, as the requester knows them.
    """

    candidate: ProcessIdentity
    term: int
    lease_us: int
    incarnations: tuple[int, ...]


def refusal_reason(
    request: VoteRequest, record: Record, promise: Promise, now_us: int, own_index: int
) -> str:
    """Return why a request is refused; "" if it is granted.

    Args:
        request: The request.
        record: This planner's record.
        promise: The promise given last.
        now_us: Current time, in microseconds.
        own_index: Index of this planner. Whether it has a vote at all is not checked here.
    """
    if (
        request.incarnations[own_index] != record.incarnation
        or merged(request.incarnations, record.incarnations) != request.incarnations
    ):
        return INCARNATIONS
    if request.term < record.term:
        return TERM
    again = request.term == record.term
    if again and record.voted != request.candidate:
        return VOTED
    if request.lease_us > (record.lease_us if again else MAX_LEASE_US):
        return LENGTH
    if not again and promise.forbids(request.candidate, now_us):
        return PROMISED
    return ""


def initial_promise(record: Record, now_us: int, settings: Settings) -> Promise:
    """Return the promise that a process starting with a record must keep.

    Every promise that may still bind the disk's former process was given to the planner that it voted for
    last: it gave none to another planner before that one had expired, and wrote each new one to disk before
    announcing it.
    """
    return Promise(record.voted, now_us + settings.promiser_lease_us(max(record.lease_us, settings.lease_us)))
