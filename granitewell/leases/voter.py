"""Whether a planner grants what another asks for: the promise, and the verdict with its reason.

It owns the rules of a vote. It must never write, say or change a record.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.leases.incarnations import joined
from granitewell.leases.record import Record
from granitewell.leases.types import LONGEST_US, Settings

Who = tuple[str, int]  # name and boot of a process

NO_VOTE = "blank"  # the disk is new
LIVES = "lives"  # the two know different disks of some planner
LENGTH = "length"  # a longer lease than there are, or than was voted for
TERM = "term"  # lower than the one we are in
VOTED = "voted"  # for another in this term, or for nobody
PROMISED = "promised"  # another may still lead
GIVEN_UP = "given up"  # by whoever asks: a question that came late
BUSY = "busy"  # we ask for votes ourselves, and go first


@dataclass(frozen=True, slots=True)
class Promise:
    """Not to help another to lead before until_us.

    Attributes:
        to: Whom it was given; None: not known, so it holds against everyone.
    """

    to: Who | None
    until_us: int

    def against(self, who: Who, now_us: int) -> bool:
        """Whether it keeps us from voting for that process."""
        return now_us < self.until_us and self.to != who


@dataclass(frozen=True, slots=True)
class Question:
    """What is asked: a vote in a term, or to lead on in one.

    Attributes:
        lives: By name, as who asks knows them.
    """

    who: Who
    term: int
    lease_us: int
    lives: tuple[int, ...]


def verdict(asked: Question, record: Record, promise: Promise, now_us: int, me: int) -> str:
    """Why not; empty for yes.

    Args:
        me: Our own place among the planners. Whether we have a vote at all is not asked here.
    """
    if asked.lives[me] != record.life or joined(asked.lives, record.lives) != asked.lives:
        return LIVES
    if asked.term < record.term:
        return TERM
    again = asked.term == record.term
    if again and record.voted != asked.who:
        return VOTED
    if asked.lease_us > (record.lease_us if again else LONGEST_US):
        return LENGTH
    if not again and promise.against(asked.who, now_us):
        return PROMISED
    return ""


def at_start(record: Record, now_us: int, settings: Settings) -> Promise:
    """What a process that starts with this record must keep to.

    Every promise that its disk's former process can still be bound by was given to whom it voted for last: it
    gave none to another before that one was over, and wrote each new one down before it said it.
    """
    return Promise(record.voted, now_us + settings.promised(max(record.lease_us, settings.lease_us)))
