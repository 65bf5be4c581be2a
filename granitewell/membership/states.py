"""What may be said of a member, which claim wins, what a change is told as, where a process itself stands.

It owns the tables and nothing else: whoever merges, tells or moves looks here. It must never hold state.

Rules that the tables live by:

- A name has lives; each is a process, known by its random birth. A later life wins over an earlier one
  whatever is said of either; of two with the same number the higher birth does, which is nobody's merit, but
  the same everywhere. A process takes a new life's number only once the former is dead, has left, or has
  shown to be gone, so that of two living ones the older keeps the name.
- Within a life the higher incarnation wins; only the process itself makes a new one, to refute what is said
  of it or to change what it says of itself.
- Within an incarnation the worse news wins (SWIM, section 4.2), and having left is final.

So claims are in one total order, and the merge is its maximum: commutative, associative, idempotent.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class State(IntEnum):
    """Of a member."""

    ALIVE = 0
    SUSPECT = 1  # does not answer; still a member
    DEAD = 2
    LEFT = 3  # by itself


class Standing(NamedTuple):
    """What is said of a name, in the order in which its fields count."""

    gen: int
    birth: int
    inc: int
    state: State


_A, _S, _D, _L = State
GREATER, GREATER_OR_EQUAL = ">", ">="  # what the incarnation of a new claim must be beside the old one's

# new claim: by the state of the old one
OVERRIDES: dict[State, dict[State, str]] = {
    _A: {_A: GREATER, _S: GREATER, _D: GREATER, _L: GREATER},
    _S: {_A: GREATER_OR_EQUAL, _S: GREATER, _D: GREATER, _L: GREATER},
    _D: {_A: GREATER_OR_EQUAL, _S: GREATER_OR_EQUAL, _D: GREATER, _L: GREATER},
    _L: {_A: GREATER_OR_EQUAL, _S: GREATER_OR_EQUAL, _D: GREATER_OR_EQUAL, _L: GREATER},
}


def overrides(new: Standing, old: Standing) -> bool:
    """Whether the new claim takes the old one's place."""
    if new[:2] != old[:2]:
        return new[:2] > old[:2]
    if OVERRIDES[new.state][old.state] is GREATER_OR_EQUAL:
        return new.inc >= old.inc
    return new.inc > old.inc


def merged(a: Standing, b: Standing) -> Standing:
    """The one of two that holds."""
    return b if overrides(b, a) else a


class MemberEvent(Enum):
    """What a change of a member is told as."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    DIED = "died"
    LEFT = "left"
    CHANGED = "changed"  # what it says of itself, or it is suspected no more


# state before, None for not there: by the state now
MEMBER_EVENTS: dict[State | None, dict[State, tuple[MemberEvent, ...]]] = {
    None: {_A: (MemberEvent.JOINED,), _S: (MemberEvent.JOINED, MemberEvent.SUSPECTED), _D: (), _L: ()},
    _A: {
        _A: (MemberEvent.CHANGED,),
        _S: (MemberEvent.SUSPECTED,),
        _D: (MemberEvent.DIED,),
        _L: (MemberEvent.LEFT,),
    },
    _S: {_A: (MemberEvent.CHANGED,), _S: (), _D: (MemberEvent.DIED,), _L: (MemberEvent.LEFT,)},
    _D: {
        _A: (MemberEvent.JOINED,),
        _S: (MemberEvent.JOINED, MemberEvent.SUSPECTED),
        _D: (),
        _L: (MemberEvent.LEFT,),
    },
    _L: {_A: (MemberEvent.JOINED,), _S: (MemberEvent.JOINED, MemberEvent.SUSPECTED), _D: (), _L: ()},
}
UP = (_A, _S)
DOWN = (_D, _L)


class Phase(Enum):
    """Where a process itself stands."""

    JOINING = "joining"  # asks the seeds who is there
    ACTIVE = "in"  # a member
    NAME_DISPUTED = "disputed"  # its name is another process's, which may be its former self
    NAME_TAKEN = "taken"  # its name is held by another that lives: it waits
    LEAVING = "leaving"
    STOPPED = "out"  # for good


class Cause(Enum):
    """What moves it."""

    NAME_FREE = "free"  # nobody holds its name, or nobody any more
    NAME_HELD = "held"  # another process does
    HOLDER_ANSWERED = "answered"  # and lives
    LEAVE_REQUESTED = "leave"
    LEAVE_COMPLETED = "over"


TRANSITIONS: dict[tuple[Phase, Cause], Phase] = {
    (Phase.JOINING, Cause.NAME_FREE): Phase.ACTIVE,
    (Phase.JOINING, Cause.NAME_HELD): Phase.NAME_DISPUTED,
    (Phase.NAME_DISPUTED, Cause.NAME_FREE): Phase.ACTIVE,
    (Phase.NAME_DISPUTED, Cause.HOLDER_ANSWERED): Phase.NAME_TAKEN,
    (Phase.NAME_TAKEN, Cause.NAME_FREE): Phase.ACTIVE,
    (Phase.NAME_TAKEN, Cause.HOLDER_ANSWERED): Phase.NAME_TAKEN,
    (Phase.ACTIVE, Cause.NAME_HELD): Phase.NAME_DISPUTED,
    (Phase.ACTIVE, Cause.LEAVE_REQUESTED): Phase.LEAVING,
    (Phase.JOINING, Cause.LEAVE_REQUESTED): Phase.STOPPED,
    (Phase.NAME_DISPUTED, Cause.LEAVE_REQUESTED): Phase.STOPPED,
    (Phase.NAME_TAKEN, Cause.LEAVE_REQUESTED): Phase.STOPPED,
    (Phase.LEAVING, Cause.LEAVE_REQUESTED): Phase.LEAVING,
    (Phase.LEAVING, Cause.LEAVE_COMPLETED): Phase.STOPPED,
}
