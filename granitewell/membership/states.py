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
MORE, AS_MUCH = ">", ">="  # what the incarnation of a new claim must be beside the old one's

# new claim: by the state of the old one
OVERRIDES: dict[State, dict[State, str]] = {
    _A: {_A: MORE, _S: MORE, _D: MORE, _L: MORE},
    _S: {_A: AS_MUCH, _S: MORE, _D: MORE, _L: MORE},
    _D: {_A: AS_MUCH, _S: AS_MUCH, _D: MORE, _L: MORE},
    _L: {_A: AS_MUCH, _S: AS_MUCH, _D: AS_MUCH, _L: MORE},
}


def overrides(new: Standing, old: Standing) -> bool:
    """Whether the new claim takes the old one's place."""
    if new[:2] != old[:2]:
        return new[:2] > old[:2]
    if OVERRIDES[new.state][old.state] is AS_MUCH:
        return new.inc >= old.inc
    return new.inc > old.inc


def merged(a: Standing, b: Standing) -> Standing:
    """The one of two that holds."""
    return b if overrides(b, a) else a


class News(Enum):
    """What a change of a member is told as."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    DIED = "died"
    LEFT = "left"
    CHANGED = "changed"  # what it says of itself, or it is suspected no more


# state before, None for not there: by the state now
TELLS: dict[State | None, dict[State, tuple[News, ...]]] = {
    None: {_A: (News.JOINED,), _S: (News.JOINED, News.SUSPECTED), _D: (), _L: ()},
    _A: {_A: (News.CHANGED,), _S: (News.SUSPECTED,), _D: (News.DIED,), _L: (News.LEFT,)},
    _S: {_A: (News.CHANGED,), _S: (), _D: (News.DIED,), _L: (News.LEFT,)},
    _D: {_A: (News.JOINED,), _S: (News.JOINED, News.SUSPECTED), _D: (), _L: (News.LEFT,)},
    _L: {_A: (News.JOINED,), _S: (News.JOINED, News.SUSPECTED), _D: (), _L: ()},
}
UP = (_A, _S)
GONE = (_D, _L)


class Phase(Enum):
    """Where a process itself stands."""

    JOINING = "joining"  # asks the seeds who is there
    IN = "in"  # a member
    DISPUTED = "disputed"  # its name is another process's, which may be its former self
    TAKEN = "taken"  # its name is held by another that lives: it waits
    LEAVING = "leaving"
    OUT = "out"  # for good


class Cause(Enum):
    """What moves it."""

    FREE = "free"  # nobody holds its name, or nobody any more
    HELD = "held"  # another process does
    ANSWERED = "answered"  # and lives
    LEAVE = "leave"
    OVER = "over"


PHASES: dict[tuple[Phase, Cause], Phase] = {
    (Phase.JOINING, Cause.FREE): Phase.IN,
    (Phase.JOINING, Cause.HELD): Phase.DISPUTED,
    (Phase.DISPUTED, Cause.FREE): Phase.IN,
    (Phase.DISPUTED, Cause.ANSWERED): Phase.TAKEN,
    (Phase.TAKEN, Cause.FREE): Phase.IN,
    (Phase.TAKEN, Cause.ANSWERED): Phase.TAKEN,
    (Phase.IN, Cause.HELD): Phase.DISPUTED,
    (Phase.IN, Cause.LEAVE): Phase.LEAVING,
    (Phase.JOINING, Cause.LEAVE): Phase.OUT,
    (Phase.DISPUTED, Cause.LEAVE): Phase.OUT,
    (Phase.TAKEN, Cause.LEAVE): Phase.OUT,
    (Phase.LEAVING, Cause.LEAVE): Phase.LEAVING,
    (Phase.LEAVING, Cause.OVER): Phase.OUT,
}
