"""Member states, the precedence of assertions, the events of a change, and the phases of the local process.

This module has tables and pure functions only. They follow these rules:

- A name is used by one process after another. Each process has a random birth id and a generation number. A
  higher generation overrides a lower one whatever their states. Of two processes with the same generation the
  higher birth wins: an arbitrary choice, but the same on every member. A process takes the next generation
  only once the previous process is dead, has left, or was shown not to run, so that of two running processes
  the older one keeps the name.
- Within a generation the higher incarnation wins. Only the process itself raises its incarnation, to refute a
  suspicion or to change its own description.
- Within an incarnation the worse state wins (SWIM, section 4.2), and LEFT is final.

So assertions have a total order, and merging takes the maximum: commutative, associative and idempotent.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class State(IntEnum):
    """State of a member."""

    ALIVE = 0
    SUSPECT = 1  # does not answer; still counts as a member
    DEAD = 2
    LEFT = 3  # announced by the process itself, or declared by an operator


class Standing(NamedTuple):
    """Generation, birth id, incarnation and state of a name, compared in this order."""

    gen: int
    birth: int
    inc: int
    state: State


_A, _S, _D, _L = State
GREATER, GREATER_OR_EQUAL = ">", ">="  # how the new incarnation must compare with the old one

# state of the new assertion -> state of the old one -> required comparison of incarnations
OVERRIDES: dict[State, dict[State, str]] = {
    _A: {_A: GREATER, _S: GREATER, _D: GREATER, _L: GREATER},
    _S: {_A: GREATER_OR_EQUAL, _S: GREATER, _D: GREATER, _L: GREATER},
    _D: {_A: GREATER_OR_EQUAL, _S: GREATER_OR_EQUAL, _D: GREATER, _L: GREATER},
    _L: {_A: GREATER_OR_EQUAL, _S: GREATER_OR_EQUAL, _D: GREATER_OR_EQUAL, _L: GREATER},
}


def overrides(new: Standing, old: Standing) -> bool:
    """Whether the new assertion replaces the old one."""
    if new[:2] != old[:2]:
        return new[:2] > old[:2]
    if OVERRIDES[new.state][old.state] is GREATER_OR_EQUAL:
        return new.inc >= old.inc
    return new.inc > old.inc


def merged(a: Standing, b: Standing) -> Standing:
    """Return the standing that takes precedence."""
    return b if overrides(b, a) else a


class MemberEvent(Enum):
    """Event that reports a change of a member."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    DIED = "died"
    LEFT = "left"
    CHANGED = "changed"  # its own description changed, or a suspicion was refuted


# state before (None if unknown) -> state now -> events
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
    """Phase of the local process."""

    JOINING = "joining"  # asks the seeds for their tables
    ACTIVE = "in"  # a member
    NAME_DISPUTED = "disputed"  # another process, maybe the previous one here, holds its name
    NAME_TAKEN = "taken"  # a running process holds its name; this one waits
    LEAVING = "leaving"
    STOPPED = "out"  # final


class Cause(Enum):
    """Cause of a phase transition."""

    NAME_FREE = "free"  # no other process holds the name, or no longer does
    NAME_HELD = "held"  # another process holds the name
    HOLDER_ANSWERED = "answered"  # the holder of the name is running
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
