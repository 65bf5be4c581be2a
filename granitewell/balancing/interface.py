"""Settings, hosts, events and actions of the balancer. No logic lives here.

Times are milliseconds on one clock that only advances; hosts are opaque, sortable ids.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What repeating a request does."""

    SAFE = "safe"  # may be repeated at will
    KEYED = "keyed"  # a group of hosts drops repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """Which hosts drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What the host list says of a host."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class View(Enum):
    """How a host list relates to the one before."""

    CACHED = "cached"  # whole list, possibly stale
    FULL = "full"  # whole list
    DELTA = "delta"  # changed hosts only
    FAILED = "failed"  # a call to discovery failed or the subscription dropped


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # turned away unseen; never ran
    TIMEOUT = "timeout"  # no answer in time; may have run
    UNCONNECTED = "unconnected"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # called off by us; may have run
    MOOT = "moot"  # never sent


class Field(Enum):
    """What a host's load report can hold."""

    INFLIGHT = "inflight"
    QUEUE = "queue"
    UTIL = "util"
    SERVICE_MS = "service_ms"
    SERVED_PER_S = "served_per_s"
    FAILED_PER_S = "failed_per_s"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    latency_target_ms: float
    deadline_ms: float
    effect: Effect
    worth: float = 1.0
    late_share: float = 0.0
    scope: Scope = Scope.ALL
    window_ms: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant's share of the service."""

    share: float
    allowance_per_s: float


class DecisionError(Exception):
    """The decisions have failed on an event, for the reason behind this (`__cause__`).

    What they had decided by then stands and has to be carried out: they count on it.
    """

    def __init__(self, actions: list[Action]) -> None:
        super().__init__("the decisions failed")
        self.actions = actions


@dataclass(frozen=True, slots=True)
class ActiveGateways:
    """How many gateways act on the same hosts, this one included.

    Attributes:
        most: The most that may; every budget that they share is divided by it.
        up: Those that share the traffic, smoothed; the forecast is multiplied by it.
        parts: Of each tenant's allowance that is this gateway's, by index; a tenant beyond them has the
            most-th part. Until it is told both counts are Settings.proxies, and again from each Resettled on.
    """

    most: int
    up: float
    parts: tuple[float, ...] = ()

    def share(self, tenant: int, whole: float) -> float:
        """What of a tenant's whole allowance is this gateway's."""
        return whole * self.parts[tenant] if tenant < len(self.parts) else whole / self.most


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    proxies: int
    max_attempts: int
    drain_grace_ms: float
    cold_from: float
    ramp_ms: float
    fall_multiple: float
    fall_ms: float
    tenants: tuple[Tenant, ...] = ()
    index: int = 0
    zone: int = 0
    must_ask: bool = False
    must_ask_in_ms: float = 10000.0
    parallel_tries: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    report_fields: tuple[Field, ...] = ()
    warm_keys: bool = False
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0
    connection_price: float = 0.0
    weights_live: bool = False

    @property
    def acting(self) -> ActiveGateways:
        """The gateways that act, where nobody tells."""
        return ActiveGateways(self.proxies, float(self.proxies))


@dataclass(frozen=True, slots=True)
class Host:
    """One line of the host list."""

    id: bytes
    zone: int
    kind: int
    cell: int
    state: State
    scale: float
    started_ms: float  # 0: a long time back


@dataclass(frozen=True, slots=True)
class Hosts:
    """News of the host list."""

    view: View
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client request; it must get exactly one final answer by due_ms."""

    id: int
    class_index: int
    tenant: int
    key: int
    due_ms: float
    work_hint: float  # 0: none
    is_retry: bool = False
    non_idempotent: bool = False  # unsafe to repeat whatever its class
    body_incomplete: bool = False  # its body still comes: a try of it begins with Uploaded


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client left; nothing more is owed."""

    id: int


@dataclass(frozen=True, slots=True)
class FirstByte:
    """A streamed answer has begun; the request belongs to the stream now."""

    id: int
    attempt: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """One attempt has ended; exactly one for each Send."""

    id: int
    attempt: int
    host: bytes
    outcome: Outcome
    elapsed_ms: float
    final: bool  # the request is finished, by this outcome or before
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of one Probe."""

    host: bytes
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway."""

    author: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set by SetTimer has come due."""

    mark: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings count for what comes from now on.

    Classes and tenants keep their index, new ones come behind; one that has been dropped keeps its place and
    gets no more requests.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class BodyComplete:
    """The body of a request has come whole, from which its time counts.

    Attempt: the one that is out for it, -1 for none.
    """

    id: int
    attempt: int
    due_ms: float


Event = (
    SettingsChanged
    | ActiveGateways
    | BodyComplete
    | Hosts
    | Request
    | Abandoned
    | FirstByte
    | Ended
    | ProbeEnded
    | PeerMessage
    | Timer
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a request count 0, 1, 2 in the order of their sends."""

    id: int
    host: bytes
    timeout_ms: float = 0.0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, a retry does no harm."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, no promise about effects."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a host."""

    host: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Close idle connections to a host."""

    host: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the host list, or stop."""

    active: bool


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask once for the whole host list."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event at or past a time."""

    at_ms: float
    mark: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to one gateway, or to all where target is None."""

    target: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    line: str


Action = Send | Refuse | Fail | Cancel | Probe | Close | Watch | Fetch | SetTimer | SendPeerMessage | Log
