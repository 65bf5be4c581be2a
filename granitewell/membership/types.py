"""Types of the membership state machine: members, events, effects, parameters and configuration.

Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from granitewell.membership.states import UP, Phase, Standing, State
from granitewell.protocols.peers import gossip
from granitewell.protocols.peers.frames import MAX_NAME_BYTES, VERSIONS, Keys
from granitewell.protocols.peers.gossip import About, is_printable


@dataclass(frozen=True, slots=True)
class Member:
    """A process known by a member name: its standing and its own description."""

    name: str
    gen: int
    birth: int
    inc: int
    state: State
    about: About

    @property
    def up(self) -> bool:
        """Whether it is alive or suspect."""
        return self.state in UP


@dataclass(frozen=True, slots=True)
class TableEntry:
    """A name in the member table.

    Attributes:
        about: Its own description; None if it went down before this process joined.
        by: Member that first suspected it or declared it dead.
        down_since_us: When it died or left; -1 if it is up.
    """

    name: str
    standing: Standing
    about: About | None
    by: str
    down_since_us: int


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Leave:
    """The process is about to end: announce it, so that no member suspects it.

    PhaseChanged(Phase.STOPPED) follows when that is done.
    """


@dataclass(frozen=True, slots=True)
class UpdatePayload:
    """Replace the payload in our own description."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class ForceLeave:
    """An operator declares that the process of this name has left for good.

    Accepted only for a dead member. A process that is running after all refutes it.
    """

    name: str


@dataclass(frozen=True, slots=True)
class ReplaceKeys:
    """Replace the shared keys."""

    keys: Keys


@dataclass(frozen=True, slots=True)
class ReplaceSeeds:
    """Replace the seeds. Raises ValueError if one is not printable ASCII without spaces."""

    seeds: tuple[str, ...]


# --- Effects --------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Joined:
    """A member is up: a new name, a new process of a known name, or one that was taken for dead."""

    member: Member


@dataclass(frozen=True, slots=True)
class Suspected:
    """A member does not answer. It may refute the suspicion and counts as a member meanwhile."""

    member: Member


@dataclass(frozen=True, slots=True)
class Died:
    """A member did not refute a suspicion in time, or another process took its name."""

    member: Member


@dataclass(frozen=True, slots=True)
class Left:
    """A member announced that it leaves."""

    member: Member


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's own description changed, or a suspicion of it was refuted."""

    member: Member


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """The phase of the local process changed."""

    phase: Phase


@dataclass(frozen=True, slots=True)
class DuplicateIdentity:
    """Another running process uses our name; an operator has to resolve that.

    Attributes:
        birth: Birth id of the other process.
        address: Its address.
        owns_name: Whether the name is ours and the other process waits; if false, the other way round.
    """

    birth: int
    address: str
    owns_name: bool


# --- Settings -------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Parameters:
    """Protocol parameters: intervals, timeouts, counts and limits. Raises ValueError naming the field.

    Attributes:
        probe_us: Protocol period; one member is probed in each.
        timeout_us: Time for a direct answer before helpers are asked, part of probe_us.
        pings: Direct pings within timeout_us.
        asks: Rounds of indirect probes within the rest of the period.
        helpers: Members asked in each round.
        gossip_us: Interval of messages that only carry assertions, sent while there are any.
        fanout: Members that receive one of those messages in each interval.
        spread: Each assertion is sent spread * log10(members) times (SWIM's lambda).
        alpha: A suspect that `confirmations` others suspect too is declared dead after a time proportional
            to alpha * log10(members) * probe_us; see suspicion.timeout_us.
        beta: That time is longer by this factor if nobody else suspects it.
        confirmations: Further members that shorten the timeout to its minimum.
        calls: Pings sent to a suspect at the end of its timeout.
        call_us: Time between those pings.
        sync_us: Longest interval of comparing tables with a random member.
        revive_us: Interval of pinging a random dead member.
        forget_us: Age at which dead and left members are dropped from the table.
        leave_us: Time for which a leaving process announces it.
        alone_us: Without an answer of a seed for this long the process becomes a member by itself.
        stall_us: A wakeup that is later than this counts as a stall, which is left out of all timeouts; 0
            disables the detection.
        lifeguard: Enables local health, shrinking suspicion timeouts, nacks and the buddy system.
        soften: Treats a reported death as a suspicion. Like lifeguard, it can be off for comparison.
        most: Members in the table, and as many dead ones.
        per_sender: Messages per second from one member; all limits allow bursts of twice as many.
        in_all: Messages per second from all members; unknown senders together get a quarter of it.
        raw: Frames per second before verification.
        syncs: Table comparisons per second that others may start.
    """

    probe_us: int = 1_000_000
    timeout_us: int = 500_000
    pings: int = 4
    asks: int = 2
    helpers: int = 3
    gossip_us: int = 250_000
    fanout: int = 3
    spread: int = 4
    alpha: int = 3
    beta: int = 6
    confirmations: int = 3
    calls: int = 4
    call_us: int = 250_000
    sync_us: int = 30_000_000
    revive_us: int = 10_000_000
    forget_us: int = 3_600_000_000
    leave_us: int = 1_000_000
    alone_us: int = 3_000_000
    stall_us: int = 300_000
    lifeguard: bool = True
    soften: bool = True
    most: int = 10_000
    per_sender: int = 50
    in_all: int = 1_000
    raw: int = 10_000
    syncs: int = 50

    def __post_init__(self) -> None:
        for name, minimum, most in _PARAMETER_BOUNDS:
            _check_range(name, getattr(self, name), minimum, most)
        if self.timeout_us >= self.probe_us:
            raise ValueError(f"timeout_us: found {self.timeout_us}, allowed is less than probe_us")


_HOUR_US = 3_600_000_000
_PARAMETER_BOUNDS = (
    ("probe_us", 10_000, _HOUR_US), ("timeout_us", 5_000, _HOUR_US), ("pings", 1, 10), ("asks", 1, 10),
    ("helpers", 0, 20), ("gossip_us", 10_000, _HOUR_US), ("fanout", 1, 20), ("spread", 1, 20),
    ("alpha", 1, 20),
    ("beta", 1, 20), ("confirmations", 0, 20), ("calls", 0, 10), ("call_us", 1_000, _HOUR_US),
    ("sync_us", 100_000, _HOUR_US), ("revive_us", 100_000, _HOUR_US), ("forget_us", 1_000_000, 48 * _HOUR_US),
    ("leave_us", 0, 60_000_000), ("alone_us", 0, _HOUR_US), ("stall_us", 0, _HOUR_US), ("most", 2, 10_000),
    ("per_sender", 1, 1_000_000), ("in_all", 1, 1_000_000), ("raw", 1, 1_000_000), ("syncs", 1, 10_000),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class PreviousProcess:
    """The process that used the name before, from the persisted record.

    Attributes:
        gen: Generation of its last assertion.
        birth: Its birth id.
        inc: Incarnation of its last assertion.
        seq: Greater than every sequence and request number that it used.
        handed_over: It handed its identity to this process, to no other, and no longer uses it. Otherwise it
            has ended, and this process takes a higher generation.
    """

    gen: int
    birth: int
    inc: int
    seq: int
    handed_over: bool = False


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of the local process. Raises ValueError naming the field.

    Attributes:
        name: Member name.
        address: Address at which other members reach it.
        seeds: Addresses of members to join by; its own may be among them.
        previous: The process that used the name before; None if unknown.
    """

    name: str
    address: str
    keys: Keys = field(repr=False)
    role: str = "forwarder"
    zone: str = ""
    versions: tuple[int, ...] = VERSIONS
    payload: bytes = b""
    seeds: tuple[str, ...] = ()
    parameters: Parameters = field(default_factory=Parameters)
    previous: PreviousProcess | None = None

    def __post_init__(self) -> None:
        _check_text("name", self.name, 1, MAX_NAME_BYTES)
        _check_text("address", self.address, 1, gossip.MAX_ADDRESS_BYTES)
        _check_text("role", self.role, 1, gossip.MAX_ROLE_BYTES)
        _check_text("zone", self.zone, 0, gossip.MAX_ZONE_BYTES)
        for seed in self.seeds:
            _check_text("seeds", seed, 1, gossip.MAX_ADDRESS_BYTES)
        _check_range("versions", len(self.versions), 1, gossip.MAX_VERSIONS)
        check_payload(self.payload)

    @property
    def about(self) -> About:
        """Its own description at the start."""
        return About(self.role, self.address, self.zone, self.versions, self.payload)


def check_payload(payload: bytes) -> None:
    """Check the length of a payload. Raises ValueError if it is too long."""
    _check_range("payload", len(payload), 0, gossip.MAX_PAYLOAD_BYTES)


def _check_text(name: str, text: str, minimum: int, maximum: int) -> None:
    if not (minimum <= len(text) <= maximum and is_printable(text)):
        raise ValueError(
            f"{name}: found {text!r}, allowed are {minimum} to {maximum} bytes of printable ASCII"
        )


def _check_range(name: str, value: int, minimum: int, maximum: int) -> None:
    if not minimum <= value <= maximum:
        raise ValueError(f"{name}: found {value}, allowed are {minimum} to {maximum}")
