"""Takes a snapshot of a running node in short steps, so that the loop never stands still for it.

It owns which figures are read from where, and which rows are the worst. It is the one module outside the
core that reads the core's own tables, and must never change anything there, go on over a table that may have
changed between two steps, or read a clock. Each step is a bounded piece of work; between two the node goes
on, so the parts of one snapshot may be some milliseconds apart.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Generator, Iterable
from hashlib import blake2b
from heapq import heappush, heapreplace
from typing import Any, Generic, Literal, Protocol, TypeVar, cast, runtime_checkable

from granitewell.balancing.interface import State
from granitewell.balancing.outlier_detection import Cause
from granitewell.core import Core
from granitewell.core.tables import Endpoint
from granitewell.status.types import (
    AGE_BUCKETS_MS,
    AGE_OVERFLOW_KEY,
    MAX_NAME_CHARS,
    VERSION,
    BalancerFigures,
    ClassState,
    DiscoveryState,
    EndpointCounts,
    EndpointRow,
    HeldClass,
    NodeInfo,
    PairRow,
    Snapshot,
    SocketUsage,
)  # fmt: skip

ITEMS_PER_STEP = 100  # endpoints, calls or requests looked at in one step
ROWS_PER_STEP = 25  # rows made in one step

T = TypeVar("T")
R = TypeVar("R")
Steps = Generator[None, None, T]

# cause, since when ill (0: it is not), share of failures, its own part, in flight, last tried; ms
PairDiagnostics = tuple[Cause, float, float, float, int, float]
# endpoint, in the prefix, warm share, speed ratio, rows by class
HostDiagnostics = tuple[bytes, bool, float, float, list[PairDiagnostics]]
# a pair's rank; endpoint, class, in the prefix, warm share, speed ratio, row
RankedPair = tuple[bytes, int, bool, float, float, PairDiagnostics]


@runtime_checkable
class DiagnosticsSource(Protocol):
    """What the look needs of granitewell.balancing.balancer.Balancer.

    Figures, by class whether its fleet is full, by held request its class and when it came (ms), and by ready
    endpoint what is known of it.
    """

    def diagnostics(
        self,
    ) -> tuple[dict[str, float], list[bool], Iterable[tuple[int, float]], Iterable[HostDiagnostics]]: ...


class TopRanked(Generic[T]):
    """The items of the highest ranks, the first of equals kept."""

    def __init__(self, capacity: int) -> None:
        self._capacity, self._seq = capacity, 0
        self._heap: list[tuple[Any, int, T]] = []

    def accepts(self, rank: Any) -> bool:
        """Is there room for this rank? Asked first, so that most items need never be made."""
        return len(self._heap) < self._capacity or (self._capacity > 0 and rank > self._heap[0][0])

    def add(self, rank: Any, item: T) -> None:
        """Keep an item that it takes, in place of the lowest."""
        self._seq -= 1  # of equal ranks the later one is the smaller
        if len(self._heap) < self._capacity:
            heappush(self._heap, (rank, self._seq, item))
        else:
            heapreplace(self._heap, (rank, self._seq, item))

    def descending(self) -> list[T]:
        """The highest first."""
        return [item for _, _, item in sorted(self._heap, key=lambda x: x[:2], reverse=True)]


def shorten_name(text: str) -> str:
    """A name, bounded, and still its own where it is cut: two of them never look alike."""
    if len(text) <= MAX_NAME_CHARS:
        return text
    return (
        f"{text[: MAX_NAME_CHARS - 13]}~{blake2b(text.encode(errors='replace'), digest_size=6).hexdigest()}"
    )


def take_snapshot(
    core: Core, sockets: SocketUsage, node_info: NodeInfo, now_us: int, worst: int
) -> Steps[Snapshot]:
    """A snapshot with so many rows in each table; to be driven to its end, one step at a time."""
    return _SnapshotBuilder(core, sockets, node_info, now_us, worst).steps()


class _SnapshotBuilder:
    """One look. Each `_see` method is a run of steps over one table."""

    def __init__(
        self, core: Core, sockets: SocketUsage, node_info: NodeInfo, now_us: int, worst: int
    ) -> None:
        self._core, self._sockets, self._node_info, self._now_us = core, sockets, node_info, now_us
        self._worst = worst
        self._ages = [[0] * (len(AGE_BUCKETS_MS) + 1) for _ in node_info.classes]
        self._oldest = [0.0] * len(node_info.classes)
        # Of each endpoint with calls, and of each ready one, at its number. No object for each: thousands of
        # new ones would call the collector, whose walk is longer than any step.
        self._call_index: dict[bytes, int] = {}
        self._call_counts, self._dialing_counts, self._first_started_us = (
            array("q"),
            array("q"),
            array("q"),
        )  # calls; when one began
        self._host_index: dict[bytes, int] = {}
        self._in_prefix, self._warm, self._speed = bytearray(), array("d"), array("d")
        self._ill_by_endpoint: Counter[bytes] = Counter()
        self._ill_by_class = [0] * len(node_info.classes)
        self._pairs: TopRanked[RankedPair] = TopRanked(worst)
        self._judged_pairs = self._idle = 0
        self._states: Counter[str] = Counter()
        self._endpoints: TopRanked[Endpoint] = TopRanked(worst)

    def steps(self) -> Steps[Snapshot]:
        """All of it, in order: what is asked of endpoints first, then the endpoints."""
        figures: dict[str, float] = {}
        full = [False] * len(self._node_info.classes)
        held: Iterable[tuple[int, float]] = ()
        hosts: Iterable[HostDiagnostics] = ()
        if isinstance(self._core._balancer, DiagnosticsSource):
            figures, full, held, hosts = self._core._balancer.diagnostics()
        yield from self._count_held(held)
        yield from self._count_calls()
        yield from self._rank_pairs(hosts, full)
        yield from self._rank_endpoints()
        pairs = yield from _build_rows(self._pairs.descending(), lambda ranked: self._pair_row(ranked, full))
        endpoints = yield from _build_rows(self._endpoints.descending(), self._endpoint_row)
        return self._snapshot(figures, full, pairs, endpoints)

    def _count_held(self, held: Iterable[tuple[int, float]]) -> Steps[None]:
        now, ages, first = self._now_us / 1000, self._ages, [math.inf] * len(self._ages)
        for n, (class_index, received_ms) in enumerate(held, 1):
            ages[class_index][bisect_right(AGE_BUCKETS_MS, now - received_ms)] += 1
            if received_ms < first[class_index]:
                first[class_index] = received_ms
            if not n % ITEMS_PER_STEP:
                yield
        self._oldest = [
            max(now - received_ms, 0.0) if received_ms < math.inf else 0.0 for received_ms in first
        ]

    def _count_calls(self) -> Steps[None]:
        for n, call in enumerate(list(self._core._calls.values()), 1):
            k = self._call_index.setdefault(call.endpoint.member.id, len(self._call_counts))
            if k == len(self._call_counts):
                self._call_counts.append(0)
                self._dialing_counts.append(0)
                self._first_started_us.append(call.started_at_us)
            self._call_counts[k] += 1
            self._dialing_counts[k] += call.dialing
            self._first_started_us[k] = min(self._first_started_us[k], call.started_at_us)
            if not n % ITEMS_PER_STEP:
                yield

    def _rank_pairs(self, hosts: Iterable[HostDiagnostics], full: list[bool]) -> Steps[None]:
        accepts, add = self._pairs.accepts, self._pairs.add
        for n, (endpoint_id, in_prefix, warm, speed, rows) in enumerate(hosts, 1):
            self._host_index[endpoint_id] = len(self._in_prefix)
            self._in_prefix.append(in_prefix)
            self._warm.append(warm)
            self._speed.append(speed)
            for k, row in enumerate(rows):
                ill = row[1] > 0.0
                if ill:
                    self._ill_by_endpoint[endpoint_id] += 1
                    self._ill_by_class[k] += 1
                # what counts as ill comes before what only looks so in a full fleet
                rank = ill + (ill and not full[k]), row[2], row[4]
                if accepts(rank):
                    add(rank, (endpoint_id, k, in_prefix, warm, speed, row))
            self._judged_pairs += len(rows)
            if not n % ITEMS_PER_STEP:
                yield

    def _rank_endpoints(self) -> Steps[None]:
        for n, endpoint in enumerate(list(self._core._endpoints.values()), 1):
            endpoint_id, state = endpoint.member.id, _discovery_state(endpoint)
            self._states[state] += 1
            idle = len(self._sockets.idle.get(endpoint_id, ()))
            self._idle += idle
            calls = self._call_counts[self._call_index[endpoint_id]] if endpoint_id in self._call_index else 0
            rank = self._ill_by_endpoint.get(endpoint_id, 0), state != "ready", calls, idle
            if self._endpoints.accepts(rank):
                self._endpoints.add(rank, endpoint)
            if not n % ITEMS_PER_STEP:
                yield

    # --- The rows that are kept -------------------------------------------------------------------------
    def _ago_s(self, at_us: float) -> float | None:
        """Seconds since then; None for what has not been (at or below 0)."""
        return round(max(self._now_us - at_us, 0) / 1e6, 3) if at_us > 0 else None

    def _pair_row(self, ranked: RankedPair, full: list[bool]) -> PairRow:
        (
            endpoint_id,
            k,
            in_prefix,
            warm,
            speed,
            (cause, ill_since_ms, failures, own_failures, in_flight, last_tried_ms),
        ) = ranked
        ill: Literal["ill", "full"] = "full" if full[k] else "ill"
        return {
            "endpoint": shorten_name(_decode_id(endpoint_id)),
            "class": shorten_name(self._node_info.classes[k]),
            "state": ill if ill_since_ms > 0.0 else "well",
            "cause": _cause_label(cause, ill_since_ms, failures, own_failures),
            "since_s": self._ago_s(ill_since_ms * 1000),
            "failures": round(failures, 4),
            "own_failures": round(own_failures, 4),
            "in_flight": in_flight,
            "tried_s": self._ago_s(last_tried_ms * 1000),
            "in_prefix": in_prefix,
            "warm": round(warm, 4),
            "speed": round(speed, 4),
        }

    def _endpoint_row(self, endpoint: Endpoint) -> EndpointRow:
        member, endpoint_id = endpoint.member, endpoint.member.id
        k, n = self._host_index.get(endpoint_id), self._call_index.get(endpoint_id)
        return {
            "endpoint": shorten_name(_decode_id(endpoint_id)),
            "address": shorten_name("%s:%d" % member.address),
            "state": _discovery_state(endpoint),
            "since_s": self._ago_s(endpoint.unavailable_since_us),
            "started_s": self._ago_s(member.started_us),
            "zone": _name_or_number(self._node_info.zones, member.zone),
            "kind": _name_or_number(self._node_info.kinds, member.kind),
            "cell": member.cell,
            "in_prefix": None if k is None else bool(self._in_prefix[k]),
            "warm": None if k is None else round(self._warm[k], 4),
            "speed": None if k is None else round(self._speed[k], 4),
            "ill": self._ill_by_endpoint.get(endpoint_id, 0),
            "calls": 0 if n is None else self._call_counts[n],
            "dialing": 0 if n is None else self._dialing_counts[n],
            "idle": len(self._sockets.idle.get(endpoint_id, ())),
            "oldest_ms": None
            if n is None
            else round(max(self._now_us - self._first_started_us[n], 0) / 1000, 3),
        }

    # --- The parts of the snapshot ----------------------------------------------------------------------
    def _snapshot(
        self, figures: dict[str, float], full: list[bool], pairs: list[PairRow], endpoints: list[EndpointRow]
    ) -> Snapshot:
        s, node_info, names = self._sockets, self._node_info, self._node_info.classes
        states: list[ClassState] = [
            {"class": shorten_name(name), "ill": self._ill_by_class[k], "full": full[k]}
            for k, name in enumerate(names)
        ]
        return {
            "version": VERSION,
            "name": shorten_name(node_info.name),
            "phase": self._core.phase.value,
            "unix_s": round((self._now_us + node_info.unix_offset_us) / 1e6, 3),
            "uptime_s": round((self._now_us - node_info.started_us) / 1e6, 3),
            "took_ms": 0.0,
            "counters": dict(sorted(self._core.stats.items())),
            "held": {
                "total": sum(map(sum, self._ages)),
                "classes": [self._held_class(k) for k in range(len(names))],
            },
            "calls": {
                "total": sum(self._call_counts),
                "dialing": sum(self._dialing_counts),
                "idle": self._idle,
            },
            "descriptors": {
                "clients": {"used": s.inbound_count, "allowed": s.max_inbound},
                "endpoints": {"used": s.outbound_count, "allowed": s.max_outbound},
                "together": {"used": s.inbound_count + s.outbound_count, "allowed": s.max_total},
                "reserve": s.reserve,
            },
            "discovery": self._discovery(),
            "module": self._module(figures),
            "classes": states,
            "judged": {"pairs": self._judged_pairs, "ill": sum(self._ill_by_class)},
            "fleet": cast(
                EndpointCounts, {state: self._states[state] for state in ("ready", "draining", "gone")}
            ),
            "worst": self._worst,
            "cut": False,
            "pairs": pairs,
            "endpoints": endpoints,
        }

    def _held_class(self, k: int) -> HeldClass:
        keys = [*map(str, AGE_BUCKETS_MS), AGE_OVERFLOW_KEY]
        ages = dict(zip(keys, self._ages[k], strict=True))
        return {
            "class": shorten_name(self._node_info.classes[k]),
            "total": sum(ages.values()),
            "oldest_ms": round(self._oldest[k], 3),
            "ages": ages,
        }

    def _discovery(self) -> DiscoveryState:
        s = self._sockets
        return {
            "address": shorten_name("%s:%d" % s.discovery),
            "heard_s": self._ago_s(s.discovery_answered_us),
            "news_s": self._ago_s(s.discovery_changed_us),
            "failed_s": self._ago_s(s.discovery_failed_us),
            "failure": s.failure[: 2 * MAX_NAME_CHARS],
        }

    def _module(self, figures: dict[str, float]) -> BalancerFigures:
        made = {k: round(float(v), 6) for k, v in figures.items() if math.isfinite(v)}  # JSON has no others
        made |= {"endpoints": len(self._host_index), "prefix": int(figures.get("prefix", 0))}
        return cast(BalancerFigures, {key: made.get(key, 0.0) for key in BalancerFigures.__annotations__})


def _build_rows(ranked: list[T], make: Callable[[T], R]) -> Steps[list[R]]:
    """The rows of a table, some at a time."""
    rows: list[R] = []
    for n, item in enumerate(ranked, 1):
        rows.append(make(item))
        if not n % ROWS_PER_STEP:
            yield
    return rows


def _decode_id(endpoint_id: bytes) -> str:
    return endpoint_id.decode(errors="replace")


def _name_or_number(names: tuple[str, ...], k: int) -> str:
    """A name that the settings hold, or its number: discovery may tell of others."""
    return shorten_name(names[k]) if 0 <= k < len(names) else f"#{k}"


def _discovery_state(endpoint: Endpoint) -> Literal["ready", "draining", "gone"]:
    """What discovery last said: ready, draining, or that it is gone, be it by leaving it out of its list."""
    if endpoint.unavailable_since_us < 0:
        return "ready"
    return "draining" if endpoint.member.state is State.DRAINING else "gone"


def _cause_label(cause: Cause, ill_since_ms: float, failures: float, own_failures: float) -> str:
    """What speaks most against the pair. Ill without failures enough of its own, it is ill with its zone."""
    return (
        "zone" if ill_since_ms > 0.0 and cause is Cause.HEALTHY and own_failures < failures else cause.value
    )
