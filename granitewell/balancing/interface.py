"""Settings, hosts, events and actions of the balancer, without any logic.

Times are milliseconds on a monotonic clock; host ids are opaque and sortable.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"  # idempotent
    KEYED = "keyed"  # a group of hosts ignores duplicates for some time, by an idempotency key
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """Which hosts ignore duplicates of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """State of a host in the host list."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class View(Enum):
    """How a host list relates to the previous one."""

    CACHED = "cached"  # complete list, possibly stale
    FULL = "full"  # complete list
    DELTA = "delta"  # changed hosts only
    FAILED = "failed"  # no list: a discovery call failed or the subscription ended


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # rejected by the host; never ran
    TIMEOUT = "timeout"  # no answer in time; may have run
    UNCONNECTED = "unconnected"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # cancelled by this gateway; may have run
    MOOT = "moot"  # never sent


class Field(Enum):
    """Fields of a host's load report."""

    INFLIGHT = "inflight"
    QUEUE = "queue"
    UTIL = "util"
    SERVICE_MS = "service_ms"
    SERVED_PER_S = "served_per_s"
    FAILED_PER_S = "failed_per_s"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests."""

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
    """The balancer failed while processing an event; `__cause__` has the reason.

    The actions decided before the failure must be carried out, as the balancer's state depends on them.
    """

    def __init__(self, actions: list[Action]) -> None:
        super().__init__("the decisions failed")
        self.actions = actions


@dataclass(frozen=True, slots=True)
class ActiveGateways:
    """How many gateways send to the same hosts, including this one.

    Until the first such event, and again after each SettingsChanged, both counts are Settings.proxies.

    Attributes:
        max_count: Upper bound of their number; budgets that they share are divided by it.
        active_count: Smoothed number of those that share the traffic; the forecast is multiplied by it.
        parts: Part of each tenant's allowance that belongs to this gateway, by index. A tenant without an
            entry has 1/max_count of its allowance here.
    """

    max_count: int
    active_count: float
    parts: tuple[float, ...] = ()

    def part_of(self, tenant: int, allowance: float) -> float:
        """This gateway's part of a tenant's allowance."""
        return allowance * self.parts[tenant] if tenant < len(self.parts) else allowance / self.max_count


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer."""

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
        """The presumed number of gateways, as long as it is not reported."""
        return ActiveGateways(self.proxies, float(self.proxies))


@dataclass(frozen=True, slots=True)
class Host:
    """An entry of the host list."""

    id: bytes
    zone: int
    kind: int
    cell: int
    state: State
    scale: float
    started_ms: float  # 0: long ago


@dataclass(frozen=True, slots=True)
class Hosts:
    """The host list, or changes in it."""

    view: View
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client request; it must get exactly one final response by due_ms."""

    id: int
    class_index: int
    tenant: int
    key: int
    due_ms: float
    work_hint: float  # 0: none
    is_retry: bool = False
    non_idempotent: bool = False  # must not run twice, whatever its class
    body_incomplete: bool = False  # its body is still arriving: attempts count from BodyComplete


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client has disconnected; the request needs no response."""

    id: int


@dataclass(frozen=True, slots=True)
class FirstByte:
    """A streamed response has started; the balancer no longer handles the request."""

    id: int
    attempt: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt has ended; exactly one such event follows each Send."""

    id: int
    attempt: int
    host: bytes
    outcome: Outcome
    elapsed_ms: float
    final: bool  # the request is finished, by this outcome or before
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A Probe has ended."""

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
    """New settings apply to the events that follow.

    Classes and tenants keep their index, new ones are appended; a removed one keeps its place and gets no
    more requests.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class BodyComplete:
    """The body of a request has arrived completely; its time counts from now.

    Attributes:
        attempt: The pending attempt of the request; -1 for none.
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
    """Start an attempt; attempts of a request are numbered from 0 in the order of their sends."""

    id: int
    host: bytes
    timeout_ms: float = 0.0  # 0: until the request's deadline


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final response: rejected; a retry does no harm."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final response: failed; the request may have run."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health check to a host."""

    host: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Close the idle connections to a host."""

    host: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the host list, or stop."""

    active: bool


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request the complete host list once."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a Timer event at or after a time."""

    at_ms: float
    mark: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to one gateway, or to all if target is None."""

    target: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A log line."""

    line: str


Action = Send | Refuse | Fail | Cancel | Probe | Close | Watch | Fetch | SetTimer | SendPeerMessage | Log
