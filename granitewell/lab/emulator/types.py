"""The terms between the model's parts and the shells that run them.

It owns the events and effects of endpoints, clients and discovery and must never hold behaviour. Times are
whole microseconds since the day began; connections are numbers given by the shell, unique at one endpoint's
name over the whole day.
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
    """What the day does to a process."""

    START = "start"  # a new process, cold unless started long ago
    DRAIN = "drain"  # finish what is held, turn away the rest; connections stay
    STOP = "stop"  # end now: connections are reset
    VANISH = "vanish"  # end now without a word: the machine is cut off
    PAUSE = "pause"  # the process stands still
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class Ordered:
    """The day orders the process to do something."""

    order: Order


@dataclass(frozen=True, slots=True)
class Condition:
    """A way of being ill that befalls matching requests. Empty tuples match all.

    effect: `hang` (taken, never answered), `slow` (work takes factor times as long), `late` (the answer is
    kept back factor microseconds), `error` (after its work; a factor under 1: after that part of it), `full`
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
    """The connection stands."""

    conn: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """The connection is refused or reset at once: the table is full, or nobody listens."""

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
    """Close the connection; with a reset, or in good order."""

    conn: int
    reset: bool


@dataclass(frozen=True, slots=True)
class Ran:
    """For the witness: work on an attempt has begun; work_us at speed 1, before any memory of its key."""

    rid: str
    work_us: float


@dataclass(frozen=True, slots=True)
class Done:
    """For the witness: the endpoint is done with an attempt (outcomes: see Witness.ended)."""

    rid: str
    outcome: str


@dataclass(frozen=True, slots=True)
class Overloaded:
    """For the witness and the day: pushed over while cold. The process is gone and stays down."""


EndpointEffect = Accept | Refuse | Reply | Hangup | Ran | Done | Overloaded


# --- Clients: model.clients.Clients.handle(now_us, event) -> list[ClientEffect] ---------------------------
@dataclass(frozen=True, slots=True)
class Replied:
    """A try has its whole answer: verdict `served`, `refused` or `failed`."""

    rid: str
    verdict: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Broken:
    """A try's connection failed: it never came up, or ended without an answer.

    Attributes:
        sent: The request had been written whole.
    """

    rid: str
    sent: bool


ClientEvent = Replied | Broken | Tick


@dataclass(frozen=True, slots=True)
class Ask:
    """Send a try now, to a node of the zone's front."""

    rid: str
    first: str
    cls: int
    tenant: int
    key: int
    zone: int
    timeout_us: int
    work_us: float
    retry: bool  # a further try, where clients mark those
    rebooks: str = ""  # the first try of the lost booking that this new first try repeats


@dataclass(frozen=True, slots=True)
class Leave:
    """The client gives the try up: close its connection if the answer is still out."""

    rid: str


ClientEffect = Ask | Leave


# --- Discovery: model.discovery.Discovery.handle(now_us, event) -> list[Tell] -----------------------------
# As with endpoints and clients, the shell calls handle(wake_us, Tick()) when wake_us (-1: never) has come: a
# change can only be merged, held back or dropped for a newer one until then.
@dataclass(frozen=True, slots=True)
class Line:
    """One endpoint as discovery tells it."""

    id: str
    zone: int
    kind: int
    cell: int
    state: str  # ready, draining, gone
    started_us: int  # on the day's clock, negative or 0: long ago


@dataclass(frozen=True, slots=True)
class Changed:
    """Something has happened to an endpoint's process.

    Attributes:
        how: `ready`, `draining`, `gone`, or `vanished` (gone without a word, which takes discovery longer to
            see).
    """

    line: Line
    how: str


@dataclass(frozen=True, slots=True)
class NodeBegins:
    """A node's process has begun: it is told the whole list, as old as its delay, then changes."""

    node: str


DiscoveryEvent = Changed | NodeBegins | Tick


@dataclass(frozen=True, slots=True)
class Tell:
    """Write this to the node at that time: the whole list, or only what has changed."""

    at_us: int
    node: str
    whole: bool
    revision: int
    lines: tuple[Line, ...]
