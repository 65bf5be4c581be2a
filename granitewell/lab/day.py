"""One day of the model: every figure of the world, drawn and fixed, for both shells of the lab.

It owns the types that the endpoints, clients, front, discovery, network and judge are built from. A `Day` is
what `scenario` draws from a file of ranges and one seed; it holds no range and no randomness. It must never
hold behaviour, read a file, or know which shell plays it. Times are whole microseconds, work is microseconds
of one core of speed 1.0, shares are parts of 1.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Dist(Enum):
    """Shape of a work distribution; all are given by mean and coefficient of variation."""

    CONSTANT = "constant"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"
    PARETO = "pareto"


class Stops(Enum):
    """What a cancel or the end of an attempt's time stops at an endpoint."""

    NONE = "none"
    QUEUED = "queued"  # waiting work is dropped, running work goes on
    ALL = "all"


class Warms(Enum):
    """By what a cold endpoint gets warm."""

    TIME = "time"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ClassDay:
    """One class of requests, as clients, endpoints and the judge see it."""

    name: str
    share: float  # of first tries
    work_us: float  # mean
    dist: Dist
    cv: float
    attempt_noise: float  # cv of a lognormal factor drawn anew for each attempt
    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float  # part of the worth that an answer after the aim still earns
    unsafe: bool  # must never run twice


@dataclass(frozen=True, slots=True)
class TenantDay:
    """One co-operative: its share of the service, what it sends of the traffic, and its allowance."""

    name: str
    share: float
    traffic: float  # part of the first tries; over all tenants these sum to 1
    allowance_per_s: float  # requests a second over all nodes; 0: none stated


@dataclass(frozen=True, slots=True)
class KindDay:
    """One kind of endpoint. `speed` and `speed_cv` are drawn into each EndpointDay."""

    name: str
    cores: int
    slots_per_core: int
    queue_per_core: float  # waiting room
    thrash: float  # efficiency is 1 / (1 + thrash * (held / knee - 1)) beyond a knee of thrash_at x cores
    thrash_at: float
    cold_from: float  # capacity at the start, as a part
    cold_us: int
    warms: Warms
    error_rate: float
    stops: Stops
    drops_expired: bool  # whether waiting work whose time is over is dropped unrun (turned away)
    pause_us: int  # length of a pause of the process now and then; 0: none
    pause_every_us: int
    memory_gain: float  # part of the work that a remembered key saves; 0: none
    memory_us: int
    memory_keys: int


@dataclass(frozen=True, slots=True)
class ConnDay:
    """Connections to endpoints."""

    handshake_rtts: float  # round trips until the first request can be written
    handshake_us: float  # of work at the endpoint, ahead of the first request
    idle_us: int  # after which the endpoint's machine closes
    dial_timeout_us: int
    cap: int  # open connections that an endpoint takes
    full_tax: float  # part of its capacity that a full table takes, growing linearly with what is open


@dataclass(frozen=True, slots=True)
class ReportDay:
    """Load reports in answers; fields empty: none."""

    fields: tuple[str, ...]  # of inflight, queue, util, latency_ms, qps, eps
    period_us: int
    delay_us: int
    noise: float


@dataclass(frozen=True, slots=True)
class ProbeDay:
    """Probes: their cost at an endpoint, and whether they wait with requests."""

    allowed: bool
    work_us: float
    cap_per_s: float
    deep: bool
    timeout_us: int


@dataclass(frozen=True, slots=True)
class EndpointDay:
    """One dispatch server of the fleet, at the day's start or switched on later by a fault."""

    id: str
    kind: int
    zone: int
    cell: int
    speed: float
    started_us: int  # 0: long ago; else when its process starts in the day, cold
    takes_over: str = ""  # id of the endpoint whose address it has; "": an address of its own


@dataclass(frozen=True, slots=True)
class NodeDay:
    """One balancing node."""

    name: str
    zone: int
    cpu: float = 1.0  # of one core, that it may use
    call_us: float = 0.0  # CPU that one event costs it in virtual time; 0: none is booked


@dataclass(frozen=True, slots=True)
class NetworkDay:
    """One-way delays: mean, and the cv of a lognormal jitter. Connections keep the order of bytes."""

    same_us: float
    cross_us: float
    client_us: float
    jitter: float


@dataclass(frozen=True, slots=True)
class ClientsDay:
    """What clients do with what they get."""

    retries: int  # further tries after the first
    try_share: float  # of a safe class's deadline, after which a try is given up; unsafe ones wait it out
    backoff_us: int  # wait before a retry; 0: at once
    honour: float  # part of the clients that heed Retry-After
    impatient: float  # part of the requests whose client leaves early, at a random part of its try's time
    rebook: float  # part of the clients of an unsafe class that book anew (a new first try) when the answer
    # of a request that was sent is lost to them
    marks_retry: bool
    max_retry_after_us: int


@dataclass(frozen=True, slots=True)
class FrontDay:
    """The plain front that spreads clients' connections over the nodes of their zone."""

    notice_us: int  # for which it goes on sending to a dead node


@dataclass(frozen=True, slots=True)
class DiscoveryDay:
    """How late each node hears what. Every node has its own offset, up to spread_us."""

    notice_us: int  # a stop or a death with a reset; a drain is announced, and told with the next batch
    silent_us: int  # a death that nobody tells
    add_us: int  # a new endpoint
    period_us: int  # changes are told in batches of this period
    spread_us: int


@dataclass(frozen=True, slots=True)
class LoadDay:
    """Arrivals of first tries over the whole system: piecewise linear rate, drawn ahead."""

    rate: tuple[tuple[int, float], ...]  # (time_us, first tries a second), rising times, linear between
    zone_share: tuple[float, ...]
    keys: int
    key_zipf: float
    key_churn_us: int = 0  # after which a key's holder is replaced by a new key; 0: never
    burst_cv: float = 0.0  # cv of a factor on the rate that changes each burst_us
    burst_us: int = 0
    trace: tuple[tuple[int, int, int, int, int], ...] = ()  # (at_us, class, tenant, key, zone): replaces rate


@dataclass(frozen=True, slots=True)
class RulesDay:
    """The rules' figures."""

    drain_grace_us: int
    fall_multiple: float
    fall_us: int
    slack_us: int = 50_000
    max_attempts: int = 5
    second_copies: bool = True
    cancel: bool = True
    retry_after: bool = True
    cold_from: float = 0.0  # what nodes are told: no endpoint starts with less of its capacity; 0: not told
    ramp_us: int = 0  # and none takes longer to get warm


@dataclass(frozen=True, slots=True)
class GoalDay:
    """Weights of a day's figure, and its deductions (worth of one, in parts of 1)."""

    whole: float = 0.4
    worst_window: float = 0.15
    worst_class: float = 0.2
    worst_tenant: float = 0.25
    window_us: int = 10_000_000
    over_share_worth: float = 0.2
    cross_zone: float = 0.02
    waste: float = 0.04
    probe: float = 0.01
    late_fail: float = 0.03
    handshake: float = 0.08


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that happens to the day's world; `kind` and `params` are explained in `faults`.

    `target` names whom it befalls: an endpoint, node or zone by name, `part:0.4` of those there at the time,
    `count:3`, or `all`. `until_us` is -1 where the fault has no end of its own.
    """

    at_us: int
    until_us: int
    kind: str
    target: str
    params: tuple[tuple[str, float | str], ...] = ()

    def get(self, name: str, default: float = 0.0) -> float:
        """A figure among the params."""
        for key, value in self.params:
            if key == name:
                return float(value)
        return default

    def text(self, name: str, default: str = "") -> str:
        """A word among the params."""
        for key, value in self.params:
            if key == name:
                return str(value)
        return default


@dataclass(frozen=True, slots=True)
class Day:
    """Everything that one seed has drawn from one scenario."""

    name: str
    seed: int
    length_us: int  # arrivals end here; the day runs on until all is answered
    zones: tuple[str, ...]
    classes: tuple[ClassDay, ...]
    tenants: tuple[TenantDay, ...]
    kinds: tuple[KindDay, ...]
    endpoints: tuple[EndpointDay, ...]
    nodes: tuple[NodeDay, ...]
    network: NetworkDay
    conn: ConnDay
    report: ReportDay
    probe: ProbeDay
    clients: ClientsDay
    front: FrontDay
    discovery: DiscoveryDay
    load: LoadDay
    rules: RulesDay
    goal: GoalDay
    faults: tuple[Fault, ...] = ()
    notes: dict[str, str] = field(default_factory=dict)  # for reports: what was drawn from which range
