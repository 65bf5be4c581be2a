"""Builds a snapshot of a running node in short steps, so that it does not block the event loop.

This is the only module outside the core that reads the core's own tables, and it changes nothing there. The
node serves requests between two steps: a table that may change in place is copied before it is iterated over,
and the parts of one snapshot may be some milliseconds apart. Each step is a bounded piece of work.
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

ITEMS_PER_STEP = 100  # endpoints, calls or requests
ROWS_PER_STEP = 25

T = TypeVar("T")
R = TypeVar("R")
Steps = Generator[None, None, T]

# cause, unhealthy since (ms, 0: healthy), failure ratio, own failure ratio, in flight, last tried (ms)
PairDiagnostics = tuple[Cause, float, float, float, int, float]
# endpoint, in the prefix, warm ratio, speed ratio, diagnostics by class
HostDiagnostics = tuple[bytes, bool, float, float, list[PairDiagnostics]]
# endpoint, class, in the prefix, warm ratio, speed ratio, diagnostics
RankedPair = tuple[bytes, int, bool, float, float, PairDiagnostics]


@runtime_checkable
class DiagnosticsSource(Protocol):
    """What a snapshot needs of granitewell.balancing.balancer.Balancer.

    In order: the balancer's figures, for each class whether the fleet is overloaded, for each held request
    its class and arrival (ms), and the diagnostics of each ready endpoint.
    """

    def diagnostics(
        self,
    ) -> tuple[dict[str, float], list[bool], Iterable[tuple[int, float]], Iterable[HostDiagnostics]]: ...


class TopRanked(Generic[T]):
    """A bounded heap of the highest-ranked items; of equal ranks the first are kept."""

    def __init__(self, capacity: int) -> None:
        self._capacity, self._seq = capacity, 0
        self._heap: list[tuple[Any, int, T]] = []

    def accepts(self, rank: Any) -> bool:
        """Return whether an item of this rank would be kept; asked first, so most items need not be built."""
        return len(self._heap) < self._capacity or (self._capacity > 0 and rank > self._heap[0][0])

    def add(self, rank: Any, item: T) -> None:
        """Add an item whose rank is accepted; if the heap is full, it replaces the lowest one."""
        self._seq -= 1  # of equal ranks the later one is the smaller
        if len(self._heap) < self._capacity:
            heappush(self._heap, (rank, self._seq, item))
        else:
            heapreplace(self._heap, (rank, self._seq, item))

    def descending(self) -> list[T]:
        """Return the items, the highest rank first."""
        return [item for _, _, item in sorted(self._heap, key=lambda x: x[:2], reverse=True)]


def shorten_name(text: str) -> str:
    """Shorten a long name; a hash keeps names apart that begin alike."""
    if len(text) <= MAX_NAME_CHARS:
        return text
    return (
        f"{text[: MAX_NAME_CHARS - 13]}~{blake2b(text.encode(errors='replace'), digest_size=6).hexdigest()}"
    )


def take_snapshot(
    core: Core, sockets: SocketUsage, node_info: NodeInfo, now_us: int, worst: int
) -> Steps[Snapshot]:
    """Build a snapshot with up to `worst` rows in each table; the caller runs the generator to its end."""
    return _SnapshotBuilder(core, sockets, node_info, now_us, worst).steps()


class _SnapshotBuilder:
    """Builds one snapshot. Each `_count` and `_rank` method goes over one table in steps."""

    def __init__(
        self, core: Core, sockets: SocketUsage, node_info: NodeInfo, now_us: int, worst: int
    ) -> None:
        self._core, self._sockets, self._node_info, self._now_us = core, sockets, node_info, now_us
        self._worst = worst
        self._ages = [[0] * (len(AGE_BUCKETS_MS) + 1) for _ in node_info.classes]
        self._oldest = [0.0] * len(node_info.classes)
        # Arrays, indexed by the numbers in `_call_index` and `_host_index`, hold one value for each endpoint.
        # An object for each would start the garbage collector, whose pass takes longer than any step.
        self._call_index: dict[bytes, int] = {}
        self._call_counts, self._dialing_counts, self._first_started_us = (
            array("q"),
            array("q"),
            array("q"),
        )  # calls; when one began
        self._host_index: dict[bytes, int] = {}
        self._in_prefix, self._warm, self._speed = bytearray(), array("d"), array("d")
        self._unhealthy_by_endpoint: Counter[bytes] = Counter()
        self._unhealthy_by_class = [0] * len(node_info.classes)
        self._pairs: TopRanked[RankedPair] = TopRanked(worst)
        self._judged_pairs = self._idle = 0
        self._states: Counter[str] = Counter()
        self._endpoints: TopRanked[Endpoint] = TopRanked(worst)

    def steps(self) -> Steps[Snapshot]:
        """Build the snapshot: requests and calls first, as the ranking of endpoints depends on calls."""
        figures: dict[str, float] = {}
        overloaded = [False] * len(self._node_info.classes)
        pending_requests: Iterable[tuple[int, float]] = ()
        host_diagnostics: Iterable[HostDiagnostics] = ()
        if isinstance(self._core._balancer, DiagnosticsSource):
            figures, overloaded, pending_requests, host_diagnostics = self._core._balancer.diagnostics()
        yield from self._count_pending(pending_requests)
        yield from self._count_calls()
        yield from self._rank_pairs(host_diagnostics, overloaded)
        yield from self._rank_endpoints()
        pairs = yield from _build_rows(
            self._pairs.descending(), lambda ranked: self._pair_row(ranked, overloaded)
        )
        endpoints = yield from _build_rows(self._endpoints.descending(), self._endpoint_row)
        return self._snapshot(figures, overloaded, pairs, endpoints)

    def _count_pending(self, pending_requests: Iterable[tuple[int, float]]) -> Steps[None]:
        now, ages, first = self._now_us / 1000, self._ages, [math.inf] * len(self._ages)
        for n, (class_index, received_ms) in enumerate(pending_requests, 1):
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

    def _rank_pairs(self, host_diagnostics: Iterable[HostDiagnostics], overloaded: list[bool]) -> Steps[None]:
        accepts, add = self._pairs.accepts, self._pairs.add
        for n, (endpoint_id, in_prefix, warm, speed, rows) in enumerate(host_diagnostics, 1):
            self._host_index[endpoint_id] = len(self._in_prefix)
            self._in_prefix.append(in_prefix)
            self._warm.append(warm)
            self._speed.append(speed)
            for k, row in enumerate(rows):
                is_unhealthy = row[1] > 0.0
                if is_unhealthy:
                    self._unhealthy_by_endpoint[endpoint_id] += 1
                    self._unhealthy_by_class[k] += 1
                # unhealthy pairs rank above those that fail only because the fleet is overloaded
                rank = is_unhealthy + (is_unhealthy and not overloaded[k]), row[2], row[4]
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
            rank = self._unhealthy_by_endpoint.get(endpoint_id, 0), state != "ready", calls, idle
            if self._endpoints.accepts(rank):
                self._endpoints.add(rank, endpoint)
            if not n % ITEMS_PER_STEP:
                yield

    # --- Rows of the tables -----------------------------------------------------------------------------
    def _ago_s(self, at_us: float) -> float | None:
        """Return the seconds since a time; None if it has not happened (zero or below)."""
        return round(max(self._now_us - at_us, 0) / 1e6, 3) if at_us > 0 else None

    def _pair_row(self, ranked: RankedPair, overloaded: list[bool]) -> PairRow:
        (
            endpoint_id,
            k,
            in_prefix,
            warm,
            speed,
            (cause, unhealthy_since_ms, failures, own_failures, in_flight, last_tried_ms),
        ) = ranked
        unhealthy_state: Literal["ill", "full"] = "full" if overloaded[k] else "ill"
        return {
            "endpoint": shorten_name(_decode_id(endpoint_id)),
            "class": shorten_name(self._node_info.classes[k]),
            "state": unhealthy_state if unhealthy_since_ms > 0.0 else "well",
            "cause": _cause_label(cause, unhealthy_since_ms, failures, own_failures),
            "since_s": self._ago_s(unhealthy_since_ms * 1000),
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
            "ill": self._unhealthy_by_endpoint.get(endpoint_id, 0),
            "calls": 0 if n is None else self._call_counts[n],
            "dialing": 0 if n is None else self._dialing_counts[n],
            "idle": len(self._sockets.idle.get(endpoint_id, ())),
            "oldest_ms": None
            if n is None
            else round(max(self._now_us - self._first_started_us[n], 0) / 1000, 3),
        }

    # --- Parts of the snapshot --------------------------------------------------------------------------
    def _snapshot(
        self,
        figures: dict[str, float],
        overloaded: list[bool],
        pairs: list[PairRow],
        endpoints: list[EndpointRow],
    ) -> Snapshot:
        s, node_info, names = self._sockets, self._node_info, self._node_info.classes
        states: list[ClassState] = [
            {"class": shorten_name(name), "ill": self._unhealthy_by_class[k], "full": overloaded[k]}
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
            "judged": {"pairs": self._judged_pairs, "ill": sum(self._unhealthy_by_class)},
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
        made = {
            k: round(float(v), 6) for k, v in figures.items() if math.isfinite(v)
        }  # JSON has no NaN or infinity
        made |= {"endpoints": len(self._host_index), "prefix": int(figures.get("prefix", 0))}
        return cast(BalancerFigures, {key: made.get(key, 0.0) for key in BalancerFigures.__annotations__})


def _build_rows(ranked: list[T], make: Callable[[T], R]) -> Steps[list[R]]:
    """Build the rows of a table in steps."""
    rows: list[R] = []
    for n, item in enumerate(ranked, 1):
        rows.append(make(item))
        if not n % ROWS_PER_STEP:
            yield
    return rows


def _decode_id(endpoint_id: bytes) -> str:
    return endpoint_id.decode(errors="replace")


def _name_or_number(names: tuple[str, ...], k: int) -> str:
    """Return the configured name, or the number if discovery reports one without a name."""
    return shorten_name(names[k]) if 0 <= k < len(names) else f"#{k}"


def _discovery_state(endpoint: Endpoint) -> Literal["ready", "draining", "gone"]:
    """Return the state that discovery last reported; an endpoint missing from its list counts as gone."""
    if endpoint.unavailable_since_us < 0:
        return "ready"
    return "draining" if endpoint.member.state is State.DRAINING else "gone"


def _cause_label(cause: Cause, unhealthy_since_ms: float, failures: float, own_failures: float) -> str:
    """Return the main cause; a pair that is unhealthy without enough failures of its own has its zone's."""
    return (
        "zone"
        if unhealthy_since_ms > 0.0 and cause is Cause.HEALTHY and own_failures < failures
        else cause.value
    )
