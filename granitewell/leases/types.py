"""Settings of the lease protocol, its states, and its own events and effects.

This module owns the table of states and the two allowances for clock drift. It holds no state.

A lease of length L is requested by one clock and promised by others, each of which runs at a rate between 1 -
drift and 1 + drift. The requester counts from before the request is sent to L (1 - drift) on its own clock,
which is at most L. The promiser counts from the arrival of the request to L (1 + drift) on its own clock,
which is at least L. So the promise outlasts the lease, whatever the two clocks show (Gray and Cheriton 1989,
"Leases: an efficient fault-tolerant mechanism for distributed file cache consistency").
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

from granitewell.protocols.peers.frames import Keys

PARTS_PER_MILLION = 1_000_000
MIN_PLANNERS, MAX_PLANNERS = 3, 7
# A planner with a new disk waits this long, since it does not know what it promised.
MAX_LEASE_US = 10_000_000
MIN_LEASE_US = 100_000
MAX_DRIFT_PPM = 200_000
TERMS_PER_EPOCH = 1 << 32
MAX_EPOCH = 1 << 20


class LeaseSettingsError(ValueError):
    """A setting of the lease protocol is out of its bounds. The message names the field."""


class State(Enum):
    """State of a planner."""

    BLANK = "blank"  # has a new disk, and no vote until the others have recorded that
    FOLLOWER = "follower"
    PROBING = "probing"  # sends pre-votes; no state has changed yet
    CANDIDATE = "candidate"  # has voted for itself
    HOLDER = "holder"
    REFUSED = "refused"  # another process has its name; does nothing until it is restarted
    STOPPED = "stopped"


class Cause(Enum):
    """Cause of a transition."""

    VOTE_CONFIRMED = "sworn"  # the new disk may vote
    ELECTION_TIMEOUT = "due"  # no leader was heard of in time
    MAJORITY = "enough"  # a majority has agreed
    CAMPAIGN_OVER = "over"  # no majority in time, or another planner goes first
    VOTE_GIVEN = "gave"  # voted for another planner
    LEASE_EXPIRED = "lapsed"  # the own lease has expired
    HIGHER_TERM = "outbid"  # a higher term is in use: continue to lead in one above it
    DUPLICATE_IDENTITY = "twin"
    STOP = "stop"


TRANSITIONS: dict[tuple[State, Cause], State] = {
    (State.BLANK, Cause.VOTE_CONFIRMED): State.FOLLOWER,
    (State.FOLLOWER, Cause.ELECTION_TIMEOUT): State.PROBING,
    (State.FOLLOWER, Cause.VOTE_GIVEN): State.FOLLOWER,
    (State.PROBING, Cause.MAJORITY): State.CANDIDATE,
    (State.PROBING, Cause.CAMPAIGN_OVER): State.FOLLOWER,
    (State.PROBING, Cause.VOTE_GIVEN): State.FOLLOWER,
    (State.CANDIDATE, Cause.MAJORITY): State.HOLDER,
    (State.CANDIDATE, Cause.CAMPAIGN_OVER): State.FOLLOWER,
    (State.HOLDER, Cause.LEASE_EXPIRED): State.FOLLOWER,
    (State.HOLDER, Cause.HIGHER_TERM): State.CANDIDATE,
    **{(state, Cause.DUPLICATE_IDENTITY): State.REFUSED for state in State if state is not State.STOPPED},
    **{(state, Cause.STOP): State.STOPPED for state in State},
}


# --- Events and effects of its own ----------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Stop:
    """The process is about to end: transfer leadership."""


@dataclass(frozen=True, slots=True)
class MinimumTerm:
    """A plan of this term was accepted, so this planner may lead only in a higher term."""

    term: int


@dataclass(frozen=True, slots=True)
class Leads:
    """This planner leads in a term until a time on its own clock, unless another Leads extends it.

    The term is the fencing token: no other process ever leads in it.
    """

    term: int
    until_us: int


@dataclass(frozen=True, slots=True)
class Follows:
    """Another planner claims to lead."""

    name: str
    term: int


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """This planner no longer leads in a term, and never will again."""

    term: int


@dataclass(frozen=True, slots=True)
class Halted:
    """This planner does nothing more until the process is restarted; an operator must act."""

    reason: str


# --- Settings -------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a planner. Raises LeaseSettingsError naming the field.

    Attributes:
        name: Name of this planner.
        planners: Names and addresses of all planners, including this one.
        keys: Keys that seal messages.
        epoch: Raised by the operator on all planners at once, to start over if more disks were lost than the
            protocol tolerates.
        lease_us: Length of a lease, in microseconds. A longer one needs fewer messages, and leaves a longer
            gap after the holder's death.
        drift_ppm: Maximum drift of any clock in parts per million; 100,000 covers any time daemon that slews.
    """

    name: str
    planners: tuple[tuple[str, str], ...]
    keys: Keys = field(repr=False)
    epoch: int = 1
    lease_us: int = 3_000_000
    drift_ppm: int = 100_000
    names: tuple[str, ...] = field(init=False)
    fleet: int = field(init=False)

    def __post_init__(self) -> None:
        set_field = object.__setattr__
        set_field(self, "planners", tuple(sorted(self.planners)))
        set_field(self, "names", tuple(name for name, _ in self.planners))
        addresses = {address for _, address in self.planners}
        _check_bounds("planners", len(self.planners), MIN_PLANNERS, MAX_PLANNERS)
        _check_bounds("epoch", self.epoch, 1, MAX_EPOCH)
        _check_bounds("lease_us", self.lease_us, MIN_LEASE_US, MAX_LEASE_US)
        _check_bounds("drift_ppm", self.drift_ppm, 0, MAX_DRIFT_PPM)
        if len(addresses) < len(self.planners) or len(set(self.names)) < len(self.names):
            raise LeaseSettingsError(
                f"planners: found {self.planners}, allowed are different names and addresses"
            )
        if self.name not in self.names:
            raise LeaseSettingsError(f"name: found {self.name!r}, allowed are {', '.join(self.names)}")
        text = "\n".join((str(self.epoch), *self.names)).encode()
        digest = blake2b(text, digest_size=8, person=b"granitewell flee").digest()
        set_field(self, "fleet", int.from_bytes(digest, "big") >> 2)

    @property
    def majority(self) -> int:
        """How many planners are a majority."""
        return len(self.planners) // 2 + 1

    @property
    def first_term(self) -> int:
        """A term in which no one leads.

        Every term of this epoch is higher, and lower than any term of the next.
        """
        return self.epoch * TERMS_PER_EPOCH

    def requester_lease_us(self, lease_us: int) -> int:
        """Return how long the requester of a lease may count on it, on its own clock, in microseconds.

        One less, because readings of a clock are rounded down to whole microseconds.
        """
        return lease_us * (PARTS_PER_MILLION - self.drift_ppm) // PARTS_PER_MILLION - 1

    def promiser_lease_us(self, lease_us: int) -> int:
        """Return how long the promiser of a lease must keep it, on its own clock, in microseconds."""
        return -(-lease_us * (PARTS_PER_MILLION + self.drift_ppm) // PARTS_PER_MILLION) + 1


def _check_bounds(name: str, value: int, minimum: int, maximum: int) -> None:
    if not minimum <= value <= maximum:
        raise LeaseSettingsError(f"{name}: found {value}, allowed are {minimum} to {maximum}")
