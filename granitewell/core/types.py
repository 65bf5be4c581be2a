"""The core's terms: phases, verdicts, events in and effects out.

It owns their shapes. It must never hold behaviour or know a byte of any protocol: messages, answers and
parts are objects of the front or carrier that made them and pass through unread. Times are whole
microseconds on the node's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from granitewell.balancing.interface import Outcome, Settings, State, View


class Phase(Enum):
    """From start to exit; Core.phase is the one object that has it."""

    STARTING = "starting"  # no listener, or no endpoint to send to
    READY = "ready"
    DRAINING = "draining"  # asked to stop: takes what still arrives, answers all, closes what it answers
    STOPPED = "stopped"


class Ruling(Enum):
    """What becomes of an operator's call."""

    DONE = "done"
    UNKNOWN = "unknown"  # no list has ever named this endpoint


class Verdict(Enum):
    """What a final answer says."""

    SERVED = "served"
    FAIL_FAST = "fail-fast"  # refused: a retry does no harm
    FAILED = "failed"
    SAME_ID = "same_id"  # not taken: a request with this id is open


# --- Events ---
@dataclass(frozen=True, slots=True)
class Arrived:
    """An inbound has handed in a whole request; message is the front's own and passes unread.

    An inbound is whatever carries one request at a time: a connection of HTTP/1.1, a stream of a protocol
    that has several on a connection. Its number is unique over all fronts of the process.
    """

    inbound: int
    class_index: int
    tenant: int
    key: int
    timeout_us: int
    message: object
    repeat: bool = False
    name: bytes = b""  # the client's id for it; b"" for none
    once: bool = False  # the client holds it for unsafe to repeat, whatever its class
    flows: bool = False  # its body still comes and is passed on as it does; its time begins with Whole
    beyond_us: int = -1  # a limit's verdict: it is more than may be taken, and this is when to ask again


@dataclass(frozen=True, slots=True)
class Whole:
    """The body of a request that flows has come whole."""

    inbound: int


@dataclass(frozen=True, slots=True)
class LetGo:
    """The beginning of such a body is held no more: it can't be sent again from here on."""

    inbound: int


@dataclass(frozen=True, slots=True)
class InboundGone:
    """The client has closed: nothing more is owed there."""

    inbound: int


@dataclass(frozen=True, slots=True)
class CallDialing:
    """No idle connection was fit for this call: one is being dialed."""

    call: int


@dataclass(frozen=True, slots=True)
class CallDialed:
    """A new connection for this call is up; nothing has been written."""

    call: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    """An outbound call has ended at the endpoint or on the way there."""

    call: int
    outcome: Outcome
    report: tuple[float, ...] = ()
    answer: object = None


@dataclass(frozen=True, slots=True)
class CallBegan:
    """The head of a 200 has come whose body follows in parts: answer is the front's to pass on as it is."""

    call: int
    answer: object = None
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CallPart:
    """A further part of an answer that has begun."""

    call: int
    part: object


@dataclass(frozen=True, slots=True)
class Member:
    """One endpoint as discovery tells it; started_us is on this node's clock, 0 for long ago.

    Protocol names the kind of connection that its calls go over; the shell has one carrier a kind.
    """

    id: bytes
    address: tuple[str, int]
    zone: int
    kind: int
    cell: int
    state: State
    scale: float
    started_us: int
    protocol: str = "http1"


@dataclass(frozen=True, slots=True)
class FleetNews:
    """A list of endpoints, or what changed in it."""

    view: View
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Listening:
    """Clients can connect."""


@dataclass(frozen=True, slots=True)
class Woken:
    """The time of Core.wake_us has come."""


@dataclass(frozen=True, slots=True)
class StopAsked:
    """The platform wants this node to leave.

    Attributes:
        shared: Another process accepts from the same listener, so that nothing is lost by accepting no more
            at once.
    """

    shared: bool = False


@dataclass(frozen=True, slots=True)
class BanAsked:
    """An operator wants nothing more sent to an endpoint; caller is the console's own."""

    caller: int
    endpoint: bytes


@dataclass(frozen=True, slots=True)
class BanLifted:
    """An operator wants an endpoint used again."""

    caller: int
    endpoint: bytes


@dataclass(frozen=True, slots=True)
class BansHeard:
    """What is written down of bans, by an earlier process of this node or one beside it.

    Those in force, and since when which endpoints are back.
    """

    bans: frozenset[bytes]
    back_us: Mapping[bytes, int]


@dataclass(frozen=True, slots=True)
class Settled:
    """Other settings are in force. A class and a tenant keep their index for good; new ones come behind."""

    settings: Settings
    most_held: int


@dataclass(frozen=True, slots=True)
class Acting:
    """How many nodes act on the same endpoints, as the nodes themselves see it.

    The most that may (budgets are divided by it), and those that share the traffic, smoothed (the forecast
    counts with them). Until it is told the settings say so; it outlives other settings.

    Attributes:
        parts: Of each tenant's allowance that this node has a right to, by index; a tenant beyond them has
            the most-th part.
    """

    most: int
    up: float
    parts: tuple[float, ...] = ()


Event = (
    Arrived
    | Whole
    | LetGo
    | InboundGone
    | CallDialing
    | CallDialed
    | CallBegan
    | CallPart
    | CallEnded
    | FleetNews
    | Listening
    | Woken
    | StopAsked
    | BanAsked
    | BanLifted
    | BansHeard
    | Settled
    | Acting
)


# --- Effects ---
@dataclass(frozen=True, slots=True)
class StartCall:
    """Write the message to the endpoint: at once on an idle connection, else dial and report CallDialed."""

    call: int
    endpoint: bytes
    address: tuple[str, int]
    message: object
    due_us: int
    protocol: str = "http1"
    inbound: int = -1  # whose request it is


@dataclass(frozen=True, slots=True)
class WriteCall:
    """The dialed connection is to be used now."""

    call: int


@dataclass(frozen=True, slots=True)
class AbandonCall:
    """Nobody waits for this call; its connection must not be used again unless nothing was written."""

    call: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a request."""

    inbound: int
    verdict: Verdict
    answer: object = None
    retry_after_us: int = 0
    close: bool = False


@dataclass(frozen=True, slots=True)
class Begin:
    """The one final answer of a request begins; its parts follow. Nothing else can be its answer now."""

    inbound: int
    answer: object


@dataclass(frozen=True, slots=True)
class Pass:
    """The next part of an answer that has begun."""

    inbound: int
    part: object


@dataclass(frozen=True, slots=True)
class Finish:
    """An answer that has begun ends: whole, or so that the client can tell that it is not."""

    inbound: int
    whole: bool
    answer: object = None  # what stands behind the last part (trailers); the front's own
    close: bool = False


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: bytes


@dataclass(frozen=True, slots=True)
class Note:
    """A log line; topic limits how often such a line is written."""

    topic: str
    line: str


@dataclass(frozen=True, slots=True)
class StopListening:
    """Take what has arrived, then no more connections; close each inbound once nothing is owed there."""


@dataclass(frozen=True, slots=True)
class KeepBan:
    """Write down that an endpoint is banned, or that it is not any more."""

    endpoint: bytes
    banned: bool


@dataclass(frozen=True, slots=True)
class Ruled:
    """The answer to an operator's call, once what comes before it among the effects is done."""

    caller: int
    ruling: Ruling


@dataclass(frozen=True, slots=True)
class Serving:
    """Requests would be served from now on."""


@dataclass(frozen=True, slots=True)
class Leave:
    """All is answered, or no time is left: end the process."""


Effects = (
    StartCall
    | WriteCall
    | AbandonCall
    | Answer
    | Begin
    | Pass
    | Finish
    | CloseIdle
    | Note
    | StopListening
    | Leave
    | KeepBan
    | Ruled
    | Serving
)
