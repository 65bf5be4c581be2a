"""Events and effects exchanged between the model's parts and the drivers that run them.

Times are whole microseconds since the day began. Connections are numbers assigned by the driver, unique per
endpoint name over the whole day.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


# --- Endpoints: model.endpoint.Endpoint.handle(now_us, event) -> list[EndpointEffect] ---------------------
@dataclass(frozen=True, slots=True)
class Opened:
    """A node's connection has arrived, its handshake done on the wire."""

    conn: int
    node: str


@dataclass(frozen=True, slots=True)
class Asked:
    """A whole request has been read on a connection.

    Attributes:
        due_us: When the node says it stops waiting.
    """

    conn: int
    rid: str
    cls: int
    tenant: int
    key: int  # 0: none
    work_us: float
    due_us: int


@dataclass(frozen=True, slots=True)
class Gone:
    """The node has closed the connection or ended its sending: it waits no more."""

    conn: int


@dataclass(frozen=True, slots=True)
class ProbeAsked:
    """A probe has been read on a connection."""

    conn: int
    what: str  # healthy, load


@dataclass(frozen=True, slots=True)
class Tick:
    """The time of wake_us has come."""


class Order(Enum):
    """Orders of the day to a process."""

    START = "start"  # a new process, cold unless started long ago
    DRAIN = "drain"  # finish held requests, reject new ones; connections stay
    STOP = "stop"  # end now: connections are reset
    VANISH = "vanish"  # end now silently: the machine is cut off
    PAUSE = "pause"  # the process is paused
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class Ordered:
    """An order of the day to the process."""

    order: Order


@dataclass(frozen=True, slots=True)
class Condition:
    """A fault condition that affects matching requests. Empty tuples match all.

    effect: `hang` (taken, never answered), `slow` (work takes factor times as long), `late` (the answer is
    delayed by factor microseconds), `error` (after its work; a factor under 1: after that part of it), `full`
    (turned away), `reset` (the connection breaks in place of the answer), `spoilt` (an answer that can't be
    read), `silent_head` (the head of the answer, then nothing), `refuse` (new connections are refused),
    `mute` (answers carry no load report), `lying` (load reports say an empty queue), `speed` (the whole
    process is slower by factor, whatever matches).
    """

    index: int  # of the day's fault that it comes from
    effect: str
    classes: tuple[int, ...] = ()
    tenants: tuple[int, ...] = ()
    keys: tuple[int, ...] = ()
    nodes: tuple[str, ...] = ()
    before_us: int = -1  # only on connections opened before then; -1: on all
    share: float = 1.0  # part of the matching requests
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class ConditionChange:
    """A condition begins (on) or ends at this endpoint."""

    condition: Condition
    on: bool


EndpointEvent = Opened | Asked | Gone | ProbeAsked | Tick | Ordered | ConditionChange


@dataclass(frozen=True, slots=True)
class Accept:
    """Accept the connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse or reset the connection at once: the table is full, or nothing listens."""

    conn: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Write an answer.

    Attributes:
        kind: `ok`, `error`, `full`, `spoilt`, `head` (only the head of a 200, then nothing), `probe_ok`,
            `probe_bad`.
        report: The load report's values by the day's field names, or None.
    """

    conn: int
    rid: str
    kind: str
    report: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class Hangup:
    """Close the connection, with a reset or gracefully."""

    conn: int
    reset: bool


@dataclass(frozen=True, slots=True)
class Ran:
    """For the witness: work on an attempt has begun; work_us at speed 1, before any memory of its key."""

    rid: str
    work_us: float


@dataclass(frozen=True, slots=True)
class Done:
    """For the witness: the endpoint finished an attempt (outcomes: see Witness.ended)."""

    rid: str
    outcome: str


@dataclass(frozen=True, slots=True)
class Overloaded:
    """For the witness and the day: overloaded while cold. The process ended and stays down."""


EndpointEffect = Accept | Refuse | Reply | Hangup | Ran | Done | Overloaded


# --- Clients: model.clients.Clients.handle(now_us, event) -> list[ClientEffect] ---------------------------
@dataclass(frozen=True, slots=True)
class Replied:
    """An attempt has its complete response: verdict `served`, `refused` or `failed`."""

    rid: str
    verdict: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Broken:
    """An attempt's connection failed: it was never established, or ended without a response.

    Attributes:
        sent: The request had been written whole.
    """

    rid: str
    sent: bool


ClientEvent = Replied | Broken | Tick


@dataclass(frozen=True, slots=True)
class Ask:
    """Send an attempt now, to a node picked by the zone's front."""

    rid: str
    first: str
    cls: int
    tenant: int
    key: int
    zone: int
    timeout_us: int
    work_us: float
    retry: bool  # a retry, if clients mark retries
    rebooks: str = ""  # the first attempt of the lost booking that this request repeats


@dataclass(frozen=True, slots=True)
class Leave:
    """The client gives up the attempt: close its connection if the response is outstanding."""

    rid: str


ClientEffect = Ask | Leave


# --- Discovery: model.discovery.Discovery.handle(now_us, event) -> list[Tell] -----------------------------
# As with endpoints and clients, the shell calls handle(wake_us, Tick()) when wake_us (-1: never) has come: a
# change can only be merged, held back or dropped for a newer one until then.
@dataclass(frozen=True, slots=True)
class Line:
    """One endpoint as discovery reports it."""

    id: str
    zone: int
    kind: int
    cell: int
    state: str  # ready, draining, gone
    started_us: int  # on the day's clock, negative or 0: long ago


@dataclass(frozen=True, slots=True)
class Changed:
    """An endpoint's process changed.

    Attributes:
        how: `ready`, `draining`, `gone`, or `vanished` (gone silently, which takes discovery longer to
            notice).
    """

    line: Line
    how: str


@dataclass(frozen=True, slots=True)
class NodeBegins:
    """A node's process started: it is sent the whole list, as old as its delay, then changes."""

    node: str


DiscoveryEvent = Changed | NodeBegins | Tick


@dataclass(frozen=True, slots=True)
class Tell:
    """Send this to the node at that time: the whole list, or only the changes."""

    at_us: int
    node: str
    whole: bool
    revision: int
    lines: tuple[Line, ...]
