"""Types of the core: phases, response statuses, events and effects.

They hold no behaviour and know no protocol: messages, responses and their parts are objects of the protocol
code that created them and pass through unread. Times are whole microseconds on the node's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from granitewell.balancing.interface import Outcome, Settings, State, View


class Phase(Enum):
    """Life cycle of the node; only Core.phase holds it."""

    STARTING = "starting"  # no listener, or no endpoint to send to
    READY = "ready"
    DRAINING = "draining"  # stop requested: answers what still arrives, then closes each connection
    STOPPED = "stopped"


class BanResult(Enum):
    """Result of an operator's request to ban or unban an endpoint."""

    DONE = "done"
    UNKNOWN = "unknown"  # no endpoint list has contained this endpoint


class ResponseStatus(Enum):
    """Status of a final response."""

    SERVED = "served"
    REJECTED = "fail-fast"  # not executed, or safe to repeat: a retry does no harm
    FAILED = "failed"
    DUPLICATE_ID = "same_id"  # rejected: a request with this id is open


# --- Events ---
@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client has sent a request.

    Attributes:
        downstream_id: What the request came on and its response goes to, unique in the process: a connection
            of HTTP/1.1, or a stream of a protocol that multiplexes requests on a connection.
        message: The protocol code's own object; passes unread.
        client_request_id: The client's id of the request; b"" for none.
        non_idempotent: The client treats the request as unsafe to repeat, whatever its class.
        body_incomplete: The body is still arriving and is forwarded as it does; the request's timeout starts
            with RequestBodyComplete.
        limit_retry_after_us: If not negative, the request exceeds a rate limit, and this is when to retry.
    """

    downstream_id: int
    class_index: int
    tenant: int
    key: int
    timeout_us: int
    message: object
    is_retry: bool = False
    client_request_id: bytes = b""
    non_idempotent: bool = False
    body_incomplete: bool = False
    limit_retry_after_us: int = -1


@dataclass(frozen=True, slots=True)
class RequestBodyComplete:
    """The body of a request that was received incomplete has arrived completely."""

    downstream_id: int


@dataclass(frozen=True, slots=True)
class RequestBodyReleased:
    """The beginning of a streamed body is no longer buffered: it can't be sent again."""

    downstream_id: int


@dataclass(frozen=True, slots=True)
class DownstreamClosed:
    """The client has closed its connection or stream: it gets no response."""

    downstream_id: int


@dataclass(frozen=True, slots=True)
class CallDialing:
    """A new connection is being dialed for this call, as no idle one could be used."""

    call: int


@dataclass(frozen=True, slots=True)
class CallDialed:
    """A new connection for this call is established; nothing has been written."""

    call: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    """An outbound call has ended, at the endpoint or on the way there."""

    call: int
    outcome: Outcome
    report: tuple[float, ...] = ()
    response: object = None


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The head of a 200 response has arrived; its body follows in parts.

    The response is the protocol code's own object and passes unread.
    """

    call: int
    response: object = None
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ResponsePart:
    """A further part of a started response."""

    call: int
    part: object


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """One endpoint as discovery lists it.

    Attributes:
        started_us: Start of its process on this node's clock; 0 for long ago.
        protocol: Kind of connection used for its calls.
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
    """The list of endpoints, or the changes in it."""

    view: View
    members: tuple[DiscoveredEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Listening:
    """The listener is open: clients can connect."""


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time of Core.wake_us has come."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The platform asks this node to stop.

    Attributes:
        shared: Another process accepts from the same listener, so no connection is lost if this one stops
            accepting at once.
    """

    shared: bool = False


@dataclass(frozen=True, slots=True)
class BanRequested:
    """An operator bans an endpoint from further calls; caller identifies the console's request."""

    caller: int
    endpoint: bytes


@dataclass(frozen=True, slots=True)
class UnbanRequested:
    """An operator lifts the ban of an endpoint; caller identifies the console's request."""

    caller: int
    endpoint: bytes


@dataclass(frozen=True, slots=True)
class BansLoaded:
    """The persisted bans, written by an earlier process of this node or by another one next to it.

    Attributes:
        bans: The endpoints that are banned.
        unbanned_at_us: When the bans of others were lifted.
    """

    bans: frozenset[bytes]
    unbanned_at_us: Mapping[bytes, int]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply. Classes and tenants keep their index for good; new ones are appended."""

    settings: Settings
    max_pending_requests: int


@dataclass(frozen=True, slots=True)
class ActiveNodes:
    """How many nodes send to the same endpoints, as reported by the nodes themselves.

    Until the first report the settings apply; a report stays in force when the settings change.

    Attributes:
        max_count: Upper bound of the number of nodes; budgets are divided by it.
        active_count: Smoothed number of nodes that share the traffic; the forecast uses it.
        parts: Part of each tenant's allowance that belongs to this node, by index. A tenant without an entry
            has 1/max_count of its allowance here.
    """

    max_count: int
    active_count: float
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
    """Send a message to an endpoint: at once on an idle connection, else dial and report CallDialed."""

    call: int
    endpoint: bytes
    address: tuple[str, int]
    message: object
    due_us: int
    protocol: str = "http1"
    downstream_id: int = -1  # where the request came from


@dataclass(frozen=True, slots=True)
class WriteCall:
    """Write the call to its dialed connection."""

    call: int


@dataclass(frozen=True, slots=True)
class AbandonCall:
    """Give up a call; its connection must not be reused unless nothing was written to it."""

    call: int


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Send the final response of a request."""

    downstream_id: int
    status: ResponseStatus
    response: object = None
    retry_after_us: int = 0
    close: bool = False


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Start the final response of a request; its parts follow, and no other response is possible."""

    downstream_id: int
    response: object


@dataclass(frozen=True, slots=True)
class SendResponsePart:
    """Send the next part of a started response."""

    downstream_id: int
    part: object


@dataclass(frozen=True, slots=True)
class EndResponse:
    """End a started response: complete, or in a way that shows the client that it is not."""

    downstream_id: int
    complete: bool
    response: object = None  # what follows the last part (trailers); the protocol code's own object
    close: bool = False


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line; the rate of lines is limited by topic."""

    topic: str
    line: str


@dataclass(frozen=True, slots=True)
class StopListening:
    """Accept the connections that have arrived, then no more; close each client once it is answered."""


@dataclass(frozen=True, slots=True)
class PersistBan:
    """Persist that an endpoint is banned, or that its ban was lifted."""

    endpoint: bytes
    banned: bool


@dataclass(frozen=True, slots=True)
class BanReply:
    """Answer an operator's request, after the effects that precede this one."""

    caller: int
    result: BanResult


@dataclass(frozen=True, slots=True)
class ReadyToServe:
    """The node is ready to serve requests."""


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """End the process: all requests are answered, or the exit deadline is reached."""


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
