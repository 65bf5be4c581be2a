"""The types of a node's status: what may be set of it, what the sockets tell it, and the snapshot itself.

It owns every name and bound of the snapshot; what each field means to a person is on docs/operate/status.md.
Nothing here computes anything but where the status is served.
"""

from __future__ import annotations

from collections.abc import Mapping, Sized
from dataclasses import dataclass
from typing import Literal, TypedDict

VERSION = 1  # of the snapshot's shape; keys may be added without a new one
MAX_TABLE_ROWS = 500  # rows of either table, whatever is asked for
MAX_NAME_CHARS = 100  # characters of a name in it
MAX_RESPONSE_BYTES = 1024 * 1024  # bytes of a body
MAX_SOCKET_PATH_BYTES = 107  # bytes of a unix socket's path on Linux: sun_path less its end
AGE_BUCKETS_MS = (10, 100, 1000, 10_000)  # upper ends of the ages by which held requests are counted
AGE_OVERFLOW_KEY = "more"  # and the name of what lies beyond

ALLOWED_STATUS_ADDRESS = "the path of a unix socket, or 127.0.0.1:PORT"


@dataclass(frozen=True, slots=True)
class StatusSettings:
    """Where the status is served and what it may cost; the defaults are those of the `[status]` table."""

    at: str = ""  # "" for nowhere
    connections: int = 4
    seconds: float = 1.0  # for one connection, from its first to its last byte
    worst: int = 50  # rows of each table where a request does not say


@dataclass(frozen=True, slots=True)
class StatusAddress:
    """Where a status is served: a path, or a port of 127.0.0.1."""

    path: str = ""
    port: int = 0

    def __str__(self) -> str:
        return self.path or f"127.0.0.1:{self.port}"


def parse_status_address(at: str, folder: str) -> StatusAddress:
    """What `at` names; a path that begins with no slash is in `folder`, the private temporary directory.

    ValueError says what was found.
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
    """What stays as it is for a node's whole life. Times in microseconds on its clock."""

    name: str
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    started_us: int
    unix_offset_us: int


@dataclass(frozen=True, slots=True)
class SocketUsage:
    """What the socket side holds.

    `idle`: idle connections by endpoint. Times in microseconds on the node's clock, -1 for never.
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


# --- The snapshot: plain JSON. Names end with their unit; a null is what is not known or has not been ---
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
    """One endpoint as discovery tells it, and what this node has there."""

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
    """Requests that are owed an answer."""

    total: int
    classes: list[HeldClass]


class OutboundCalls(TypedDict):
    """Outbound calls, and what lies idle."""

    total: int
    dialing: int
    idle: int


class Usage(TypedDict):
    """Of something bounded."""

    used: int
    allowed: int


class Descriptors(TypedDict):
    """The budget that both sides share."""

    clients: Usage
    endpoints: Usage
    together: Usage
    reserve: int


class DiscoveryState(TypedDict):
    """The agent that tells of endpoints."""

    address: str
    heard_s: float | None
    news_s: float | None
    failed_s: float | None
    failure: str


class BalancerFigures(TypedDict):
    """The figures behind the decisions."""

    endpoints: int
    prefix: int
    c: float
    shedding: float
    late: float
    mean_ms: float
    repeats: float


class PairCounts(TypedDict):
    """How many (endpoint, class) pairs are judged, and how many of them are held to be ill."""

    pairs: int
    ill: int


class EndpointCounts(TypedDict):
    """Endpoints by what discovery tells of them."""

    ready: int
    draining: int
    gone: int


class Snapshot(TypedDict):
    """All of it.

    `pairs` and `endpoints` hold the `worst` rows, the worst first; `cut`: fewer, as the answer would have
    been too large.
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
