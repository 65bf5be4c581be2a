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


class BanResult(Enum):
    """What becomes of an operator's call."""

    DONE = "done"
    UNKNOWN = "unknown"  # no list has ever named this endpoint


class ResponseStatus(Enum):
    """What a final answer says."""

    SERVED = "served"
    REJECTED = "fail-fast"  # refused: a retry does no harm
    FAILED = "failed"
    DUPLICATE_ID = "same_id"  # not taken: a request with this id is open


# --- Events ---
@dataclass(frozen=True, slots=True)
class RequestReceived:
    """An inbound has handed in a whole request; message is the front's own and passes unread.

    An inbound is whatever carries one request at a time: a connection of HTTP/1.1, a stream of a protocol
    that has several on a connection. Its number is unique over all fronts of the process.
    """

    downstream_id: int
    class_index: int
    tenant: int
    key: int
    timeout_us: int
    message: object
    is_retry: bool = False
    client_request_id: bytes = b""  # the client's id for it; b"" for none
    non_idempotent: bool = False  # the client holds it for unsafe to repeat, whatever its class
    body_incomplete: bool = (
        False  # its body still comes and is passed on as it does; its time begins with Whole
    )
    limit_retry_after_us: int = (
        -1
    )  # a limit's verdict: it is more than may be taken, and this is when to ask again


@dataclass(frozen=True, slots=True)
class RequestBodyComplete:
    """The body of a request that flows has come whole."""

    downstream_id: int


@dataclass(frozen=True, slots=True)
class RequestBodyReleased:
    """The beginning of such a body is held no more: it can't be sent again from here on."""

    downstream_id: int


@dataclass(frozen=True, slots=True)
class DownstreamClosed:
    """The client has closed: nothing more is owed there."""

    downstream_id: int


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
    response: object = None


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The head of a 200 has come whose body follows in parts: answer is the front's to pass on as it is."""

    call: int
    response: object = None
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ResponsePart:
    """A further part of an answer that has begun."""

    call: int
    part: object


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
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
class EndpointListUpdate:
    """A list of endpoints, or what changed in it."""

    view: View
    members: tuple[DiscoveredEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Listening:
    """Clients can connect."""


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time of Core.wake_us has come."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The platform wants this node to leave.

    Attributes:
        shared: Another process accepts from the same listener, so that nothing is lost by accepting no more
            at once.
    """

    shared: bool = False


@dataclass(frozen=True, slots=True)
class BanRequested:
    """An operator wants nothing more sent to an endpoint; caller is the console's own."""

    caller: int
    endpoint: bytes


@dataclass(frozen=True, slots=True)
class UnbanRequested:
    """An operator wants an endpoint used again."""

    caller: int
    endpoint: bytes


@dataclass(frozen=True, slots=True)
class BansLoaded:
    """What is written down of bans, by an earlier process of this node or one beside it.

    Those in force, and since when which endpoints are back.
    """

    bans: frozenset[bytes]
    back_us: Mapping[bytes, int]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings are in force. A class and a tenant keep their index for good; new ones come behind."""

    settings: Settings
    max_pending_requests: int


@dataclass(frozen=True, slots=True)
class ActiveNodes:
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
    RequestReceived
    | RequestBodyComplete
    | RequestBodyReleased
    | DownstreamClosed
    | CallDialing
    | CallDialed
    | ResponseStarted
    | ResponsePart
    | CallEnded
    | EndpointListUpdate
    | Listening
    | TimerExpired
    | StopRequested
    | BanRequested
    | UnbanRequested
    | BansLoaded
    | SettingsChanged
    | ActiveNodes
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
    downstream_id: int = -1  # whose request it is


@dataclass(frozen=True, slots=True)
class WriteCall:
    """The dialed connection is to be used now."""

    call: int


@dataclass(frozen=True, slots=True)
class AbandonCall:
    """Nobody waits for this call; its connection must not be used again unless nothing was written."""

    call: int


@dataclass(frozen=True, slots=True)
class SendResponse:
    """The one final answer of a request."""

    downstream_id: int
    status: ResponseStatus
    response: object = None
    retry_after_us: int = 0
    close: bool = False


@dataclass(frozen=True, slots=True)
class StartResponse:
    """The one final answer of a request begins; its parts follow. Nothing else can be its answer now."""

    downstream_id: int
    response: object


@dataclass(frozen=True, slots=True)
class SendResponsePart:
    """The next part of an answer that has begun."""

    downstream_id: int
    part: object


@dataclass(frozen=True, slots=True)
class EndResponse:
    """An answer that has begun ends: whole, or so that the client can tell that it is not."""

    downstream_id: int
    complete: bool
    response: object = None  # what stands behind the last part (trailers); the front's own
    close: bool = False


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line; topic limits how often such a line is written."""

    topic: str
    line: str


@dataclass(frozen=True, slots=True)
class StopListening:
    """Take what has arrived, then no more connections; close each inbound once nothing is owed there."""


@dataclass(frozen=True, slots=True)
class PersistBan:
    """Write down that an endpoint is banned, or that it is not any more."""

    endpoint: bytes
    banned: bool


@dataclass(frozen=True, slots=True)
class BanReply:
    """The answer to an operator's call, once what comes before it among the effects is done."""

    caller: int
    result: BanResult


@dataclass(frozen=True, slots=True)
class ReadyToServe:
    """Requests would be served from now on."""


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """All is answered, or no time is left: end the process."""


Effects = (
    StartCall
    | WriteCall
    | AbandonCall
    | SendResponse
    | StartResponse
    | SendResponsePart
    | EndResponse
    | CloseIdle
    | LogLine
    | StopListening
    | ExitProcess
    | PersistBan
    | BanReply
    | ReadyToServe
)
