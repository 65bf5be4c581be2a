"""What membership is set to, what a member looks like, and the events and effects of its own.

It owns the figures and their bounds. It must never hold state or decide. Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from granitewell.membership.states import UP, Phase, Standing, State
from granitewell.protocols.peers import gossip
from granitewell.protocols.peers.frames import MAX_NAME_BYTES, VERSIONS, Keys
from granitewell.protocols.peers.gossip import About, is_printable


@dataclass(frozen=True, slots=True)
class Member:
    """A life of a name, as it is known here."""

    name: str
    gen: int
    birth: int
    inc: int
    state: State
    about: About

    @property
    def up(self) -> bool:
        """Alive or suspect."""
        return self.state in UP


@dataclass(frozen=True, slots=True)
class TableEntry:
    """A name as the table has it.

    Attributes:
        about: None where it was gone before we came.
        by: Who was the first to suspect it or call it dead.
        gone_us: Since when it is dead or has left, -1 for up.
    """

    name: str
    standing: Standing
    about: About | None
    by: str
    down_since_us: int


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Leave:
    """The process is about to end: tell the others, so that none suspects it.

    Moved(OUT) says when that is done.
    """


@dataclass(frozen=True, slots=True)
class UpdatePayload:
    """Say this of ourselves from now on."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class ForceLeave:
    """An operator says that the process of this name is gone for good: as if it had said so itself.

    Taken of the dead alone; one that lives all the same refutes it.
    """

    name: str


@dataclass(frozen=True, slots=True)
class ReplaceKeys:
    """Other keys count from now on."""

    keys: Keys


@dataclass(frozen=True, slots=True)
class ReplaceSeeds:
    """Other seeds count from now on. Raises ValueError where one is no word."""

    seeds: tuple[str, ...]


# --- Effects --------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Joined:
    """A member is there: new, another life of its name, or back from the dead."""

    member: Member


@dataclass(frozen=True, slots=True)
class Suspected:
    """It does not answer. It may refute that; until then it is a member."""

    member: Member


@dataclass(frozen=True, slots=True)
class Died:
    """It has not refuted it, or another life has taken its name."""

    member: Member


@dataclass(frozen=True, slots=True)
class Left:
    """It has said that it goes."""

    member: Member


@dataclass(frozen=True, slots=True)
class Changed:
    """What it says of itself, or it is suspected no more."""

    member: Member


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """Where we stand ourselves."""

    phase: Phase


@dataclass(frozen=True, slots=True)
class DuplicateIdentity:
    """Another living process goes by our name, at that address: an operator has to look.

    Attributes:
        holds: The name is ours, and the other waits; else it is the other way round.
    """

    birth: int
    address: str
    owns_name: bool


# --- Settings -------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Parameters:
    """How often, how long, how many. Raises ValueError naming the field.

    probe_us: a probe of one member each; timeout_us: how long it may take to answer before helpers are asked,
    of the same; pings: how often the question is put in that time; asks: how often helpers are asked in the
    rest of it; helpers: how many each time. gossip_us: while there is news it goes to `fanout` members so
    often. spread: each claim is sent spread * log10(members) times (lambda). alpha, beta, confirmations: a
    suspect dies after alpha * log10(members) * probe_us where `confirmations` others suspect it too, after
    beta times that where none does. calls: how often we ask a suspect ourselves at the end of its time,
    call_us apart. sync_us: a table is compared with a random member's. revive_us: a dead member is asked.
    forget_us: the dead are forgotten. leave_us: how long a leaving process says so. alone_us: with no answer
    of a seed for so long we are a member by ourselves. stall_us: a process that is woken later than that
    stood still, and counts that time for nothing; 0: it does not look. lifeguard: off, local health,
    shrinking time-outs, nacks and the buddy rule are; soften: a death that is heard of counts as a suspicion;
    both can be off for comparison. most: members, and as many of the dead. per_sender, in_all, raw: letters a
    second from one member, from all (strangers together a quarter of it), and frames before they are
    verified; twice that at once. syncs: tables
    compared a second on others' asking.
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
        for name, least, most in _PARAMETER_BOUNDS:
            _held(name, getattr(self, name), least, most)
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
    """The process that had the name before, as it was written down.

    Attributes:
        gen, birth, inc: Of its last claim.
        seq: Above every number that it has used.
        goes_on: It has handed its life over, to this process and to no other, and uses it no more; else it is
            over, and the next life begins above it.
    """

    gen: int
    birth: int
    inc: int
    seq: int
    handed_over: bool = False


@dataclass(frozen=True, slots=True)
class Config:
    """One process.

    Attributes:
        name and address: As others are to know it.
        seeds: Addresses, its own may be among them.
        former: Who had the name, None where that is not known. Raises ValueError naming the field.
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
        _word("name", self.name, 1, MAX_NAME_BYTES)
        _word("address", self.address, 1, gossip.MAX_ADDRESS_BYTES)
        _word("role", self.role, 1, gossip.MAX_ROLE_BYTES)
        _word("zone", self.zone, 0, gossip.MAX_ZONE_BYTES)
        for seed in self.seeds:
            _word("seeds", seed, 1, gossip.MAX_ADDRESS_BYTES)
        _held("versions", len(self.versions), 1, gossip.MAX_VERSIONS)
        check_payload(self.payload)

    @property
    def about(self) -> About:
        """What it says of itself at its start."""
        return About(self.role, self.address, self.zone, self.versions, self.payload)


def check_payload(payload: bytes) -> None:
    """Raises ValueError where it is too long."""
    _held("payload", len(payload), 0, gossip.MAX_PAYLOAD_BYTES)


def _word(name: str, text: str, least: int, most: int) -> None:
    if not (least <= len(text) <= most and is_printable(text)):
        raise ValueError(f"{name}: found {text!r}, allowed are {least} to {most} bytes of printable ASCII")


def _held(name: str, value: int, least: int, most: int) -> None:
    if not least <= value <= most:
        raise ValueError(f"{name}: found {value}, allowed are {least} to {most}")
