"""The types of a node's status: its settings, what a snapshot is built from, and the snapshot itself.

Every field name and bound of the snapshot is defined here; docs/operate/status.md explains each field to
operators.
"""

from __future__ import annotations

from collections.abc import Mapping, Sized
from dataclasses import dataclass
from typing import Literal, TypedDict

VERSION = 1  # of the snapshot's format; added keys don't change it
MAX_TABLE_ROWS = 500  # of either table, also if a request asks for more
MAX_NAME_CHARS = 100  # longer names are shortened in a snapshot
MAX_RESPONSE_BYTES = 1024 * 1024  # of a response's body
MAX_SOCKET_PATH_BYTES = 107  # of a unix socket on Linux: sun_path without its terminating zero
AGE_BUCKETS_MS = (10, 100, 1000, 10_000)  # upper bounds of the histogram of held requests by age
AGE_OVERFLOW_KEY = "more"  # the bucket above the last bound

ALLOWED_STATUS_ADDRESS = "the path of a unix socket, or 127.0.0.1:PORT"


@dataclass(frozen=True, slots=True)
class StatusSettings:
    """Where the status is served and its limits; the `[status]` table takes its defaults from here."""

    at: str = ""  # empty: not served
    connections: int = 4
    seconds: float = 1.0  # limit for one connection, from its first to its last byte
    worst: int = 50  # rows of each table if a request does not name a number


@dataclass(frozen=True, slots=True)
class StatusAddress:
    """Where a status is served: the path of a unix socket, or a port of 127.0.0.1."""

    path: str = ""
    port: int = 0

    def __str__(self) -> str:
        return self.path or f"127.0.0.1:{self.port}"


def parse_status_address(at: str, folder: str) -> StatusAddress:
    """Parse an address; a relative path is taken within `folder`, the private temporary directory.

    Raises:
        ValueError: It is neither a usable path nor a port of 127.0.0.1; the message says what was found.
    """
    host, colon, port = at.rpartition(":")
    if colon and "/" not in at and port.isascii() and port.isdigit():
        if host != "127.0.0.1" or len(port) > 5 or not 1 <= int(port) <= 65535:
            raise ValueError("an address that is not 127.0.0.1 with a port from 1 to 65535")
        return StatusAddress(port=int(port))
    if not at.isprintable() or at.endswith(("/", "/.", "/..")) or at in ("", ".", ".."):
        raise ValueError("what is no path of a socket")
    path = at if at.startswith("/") else f"{folder.rstrip('/')}/{at}"
    if (size := len(path.encode(errors="replace"))) > MAX_SOCKET_PATH_BYTES:
        raise ValueError(
            f"a path of {size} bytes, over the {MAX_SOCKET_PATH_BYTES} that a unix socket may have"
        )
    return StatusAddress(path=path)


@dataclass(frozen=True, slots=True)
class NodeInfo:
    """What does not change while a node runs. Times in microseconds on the node's clock."""

    name: str
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    started_us: int
    unix_offset_us: int


@dataclass(frozen=True, slots=True)
class SocketUsage:
    """Connections, descriptor limits and the state of the discovery client.

    `idle` holds the idle connections by endpoint. Times are microseconds on the node's clock, -1 for never.
    """

    idle: Mapping[bytes, Sized]
    inbound_count: int
    outbound_count: int
    max_inbound: int
    max_outbound: int
    max_total: int
    reserve: int
    discovery: tuple[str, int]
    discovery_answered_us: int
    discovery_changed_us: int
    discovery_failed_us: int
    failure: str


# --- The snapshot as JSON. Names end with their unit; null: unknown, or has not happened ----------------
HeldClass = TypedDict(
    "HeldClass", {"class": str, "total": int, "oldest_ms": float, "ages": dict[str, int]}
)  # fmt: skip
ClassState = TypedDict("ClassState", {"class": str, "ill": int, "full": bool})
PairRow = TypedDict("PairRow", {
    "endpoint": str, "class": str, "state": Literal["ill", "full", "well"], "cause": str,
    "since_s": float | None, "failures": float, "own_failures": float, "in_flight": int,
    "tried_s": float | None, "in_prefix": bool, "warm": float, "speed": float,
})  # fmt: skip


class EndpointRow(TypedDict):
    """An endpoint as discovery reports it, with this node's calls and connections to it."""

    endpoint: str
    address: str
    state: Literal["ready", "draining", "gone"]
    since_s: float | None
    started_s: float | None
    zone: str
    kind: str
    cell: int
    in_prefix: bool | None
    warm: float | None
    speed: float | None
    ill: int
    calls: int
    dialing: int
    idle: int
    oldest_ms: float | None


class HeldRequests(TypedDict):
    """Requests that have not been answered yet."""

    total: int
    classes: list[HeldClass]


class OutboundCalls(TypedDict):
    """Outbound calls in progress, and idle connections."""

    total: int
    dialing: int
    idle: int


class Usage(TypedDict):
    """The used and allowed amount of a limited resource."""

    used: int
    allowed: int


class Descriptors(TypedDict):
    """Use of the descriptor budget that clients and endpoints share."""

    clients: Usage
    endpoints: Usage
    together: Usage
    reserve: int


class DiscoveryState(TypedDict):
    """The state of the connection to the discovery agent."""

    address: str
    heard_s: float | None
    news_s: float | None
    failed_s: float | None
    failure: str


class BalancerFigures(TypedDict):
    """The balancer's figures on which its decisions depend."""

    endpoints: int
    prefix: int
    c: float
    shedding: float
    late: float
    mean_ms: float
    repeats: float


class PairCounts(TypedDict):
    """How many (endpoint, class) pairs are tracked, and how many of them count as unhealthy."""

    pairs: int
    ill: int


class EndpointCounts(TypedDict):
    """The number of endpoints by the state that discovery reports."""

    ready: int
    draining: int
    gone: int


class Snapshot(TypedDict):
    """The complete status of a node.

    `pairs` and `endpoints` hold up to `worst` rows, the worst first. `cut` says that rows were left out
    because the response would have been too large.
    """

    version: int
    name: str
    phase: str
    unix_s: float
    uptime_s: float
    took_ms: float
    counters: dict[str, int]
    held: HeldRequests
    calls: OutboundCalls
    descriptors: Descriptors
    discovery: DiscoveryState
    module: BalancerFigures
    classes: list[ClassState]
    judged: PairCounts
    fleet: EndpointCounts
    worst: int
    cut: bool
    pairs: list[PairRow]
    endpoints: list[EndpointRow]
