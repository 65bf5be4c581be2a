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
    AGES_MS,
    MAX_TEXT,
    OLDER,
    VERSION,
    About,
    ClassState,
    Discovery,
    EndpointRow,
    Fleet,
    HeldClass,
    Module,
    PairRow,
    Snapshot,
    Sockets,
)  # fmt: skip

STEP = 100  # endpoints, calls or requests looked at in one step
ROWS = 25  # rows made in one step

T = TypeVar("T")
R = TypeVar("R")
Steps = Generator[None, None, T]

# cause, since when ill (0: it is not), share of failures, its own part, in flight, last tried; ms
Row = tuple[Cause, float, float, float, int, float]
# endpoint, in the prefix, warm share, speed ratio, rows by class
Host = tuple[bytes, bool, float, float, list[Row]]
# a pair's rank; endpoint, class, in the prefix, warm share, speed ratio, row
Found = tuple[bytes, int, bool, float, float, Row]


@runtime_checkable
class Judging(Protocol):
    """What the look needs of granitewell.balancing.balancer.Balancer.

    Figures, by class whether its fleet is full, by held request its class and when it came (ms), and by ready
    endpoint what is known of it.
    """

    def diagnostics(
        self,
    ) -> tuple[dict[str, float], list[bool], Iterable[tuple[int, float]], Iterable[Host]]: ...


class Worst(Generic[T]):
    """The items of the highest ranks, the first of equals kept."""

    def __init__(self, most: int) -> None:
        self._most, self._seq = most, 0
        self._heap: list[tuple[Any, int, T]] = []

    def takes(self, rank: Any) -> bool:
        """Is there room for this rank? Asked first, so that most items need never be made."""
        return len(self._heap) < self._most or (self._most > 0 and rank > self._heap[0][0])

    def add(self, rank: Any, item: T) -> None:
        """Keep an item that it takes, in place of the lowest."""
        self._seq -= 1  # of equal ranks the later one is the smaller
        if len(self._heap) < self._most:
            heappush(self._heap, (rank, self._seq, item))
        else:
            heapreplace(self._heap, (rank, self._seq, item))

    def rows(self) -> list[T]:
        """The highest first."""
        return [item for _, _, item in sorted(self._heap, key=lambda x: x[:2], reverse=True)]


def short(text: str) -> str:
    """A name, bounded, and still its own where it is cut: two of them never look alike."""
    if len(text) <= MAX_TEXT:
        return text
    return f"{text[: MAX_TEXT - 13]}~{blake2b(text.encode(errors='replace'), digest_size=6).hexdigest()}"


def look(core: Core, sockets: Sockets, about: About, now_us: int, worst: int) -> Steps[Snapshot]:
    """A snapshot with so many rows in each table; to be driven to its end, one step at a time."""
    return _Look(core, sockets, about, now_us, worst).steps()


class _Look:
    """One look. Each `_see` method is a run of steps over one table."""

    def __init__(self, core: Core, sockets: Sockets, about: About, now_us: int, worst: int) -> None:
        self._core, self._sockets, self._about, self._now_us = core, sockets, about, now_us
        self._worst = worst
        self._ages = [[0] * (len(AGES_MS) + 1) for _ in about.classes]
        self._oldest = [0.0] * len(about.classes)
        # Of each endpoint with calls, and of each ready one, at its number. No object for each: thousands of
        # new ones would call the collector, whose walk is longer than any step.
        self._calls: dict[bytes, int] = {}
        self._out, self._dialing, self._first = array("q"), array("q"), array("q")  # calls; when one began
        self._hosts: dict[bytes, int] = {}
        self._inside, self._warm, self._speed = bytearray(), array("d"), array("d")
        self._ill: Counter[bytes] = Counter()
        self._ill_of = [0] * len(about.classes)
        self._pairs: Worst[Found] = Worst(worst)
        self._judged_pairs = self._idle = 0
        self._states: Counter[str] = Counter()
        self._endpoints: Worst[Endpoint] = Worst(worst)

    def steps(self) -> Steps[Snapshot]:
        """All of it, in order: what is asked of endpoints first, then the endpoints."""
        figures: dict[str, float] = {}
        full = [False] * len(self._about.classes)
        held: Iterable[tuple[int, float]] = ()
        hosts: Iterable[Host] = ()
        if isinstance(self._core._balancer, Judging):
            figures, full, held, hosts = self._core._balancer.diagnostics()
        yield from self._see_held(held)
        yield from self._see_calls()
        yield from self._see_hosts(hosts, full)
        yield from self._see_fleet()
        pairs = yield from _made(self._pairs.rows(), lambda found: self._pair(found, full))
        endpoints = yield from _made(self._endpoints.rows(), self._endpoint)
        return self._snapshot(figures, full, pairs, endpoints)

    def _see_held(self, held: Iterable[tuple[int, float]]) -> Steps[None]:
        now, ages, first = self._now_us / 1000, self._ages, [math.inf] * len(self._ages)
        for n, (cls, came) in enumerate(held, 1):
            ages[cls][bisect_right(AGES_MS, now - came)] += 1
            if came < first[cls]:
                first[cls] = came
            if not n % STEP:
                yield
        self._oldest = [max(now - came, 0.0) if came < math.inf else 0.0 for came in first]

    def _see_calls(self) -> Steps[None]:
        for n, call in enumerate(list(self._core._calls.values()), 1):
            k = self._calls.setdefault(call.endpoint.member.id, len(self._out))
            if k == len(self._out):
                self._out.append(0)
                self._dialing.append(0)
                self._first.append(call.started_at_us)
            self._out[k] += 1
            self._dialing[k] += call.dialing
            self._first[k] = min(self._first[k], call.started_at_us)
            if not n % STEP:
                yield

    def _see_hosts(self, hosts: Iterable[Host], full: list[bool]) -> Steps[None]:
        takes, add = self._pairs.takes, self._pairs.add
        for n, (eid, inside, warm, speed, rows) in enumerate(hosts, 1):
            self._hosts[eid] = len(self._inside)
            self._inside.append(inside)
            self._warm.append(warm)
            self._speed.append(speed)
            for k, row in enumerate(rows):
                ill = row[1] > 0.0
                if ill:
                    self._ill[eid] += 1
                    self._ill_of[k] += 1
                # what counts as ill comes before what only looks so in a full fleet
                rank = ill + (ill and not full[k]), row[2], row[4]
                if takes(rank):
                    add(rank, (eid, k, inside, warm, speed, row))
            self._judged_pairs += len(rows)
            if not n % STEP:
                yield

    def _see_fleet(self) -> Steps[None]:
        for n, endpoint in enumerate(list(self._core._endpoints.values()), 1):
            eid, state = endpoint.member.id, _told(endpoint)
            self._states[state] += 1
            idle = len(self._sockets.idle.get(eid, ()))
            self._idle += idle
            calls = self._out[self._calls[eid]] if eid in self._calls else 0
            rank = self._ill.get(eid, 0), state != "ready", calls, idle
            if self._endpoints.takes(rank):
                self._endpoints.add(rank, endpoint)
            if not n % STEP:
                yield

    # --- The rows that are kept -------------------------------------------------------------------------
    def _ago_s(self, at_us: float) -> float | None:
        """Seconds since then; None for what has not been (at or below 0)."""
        return round(max(self._now_us - at_us, 0) / 1e6, 3) if at_us > 0 else None

    def _pair(self, found: Found, full: list[bool]) -> PairRow:
        eid, k, inside, warm, speed, (cause, since, failures, own, in_flight, tried) = found
        ill: Literal["ill", "full"] = "full" if full[k] else "ill"
        return {
            "endpoint": short(_text(eid)), "class": short(self._about.classes[k]),
            "state": ill if since > 0.0 else "well", "cause": _cause(cause, since, failures, own),
            "since_s": self._ago_s(since * 1000), "failures": round(failures, 4),
            "own_failures": round(own, 4), "in_flight": in_flight, "tried_s": self._ago_s(tried * 1000),
            "in_prefix": inside, "warm": round(warm, 4), "speed": round(speed, 4),
        }  # fmt: skip

    def _endpoint(self, endpoint: Endpoint) -> EndpointRow:
        member, eid = endpoint.member, endpoint.member.id
        k, n = self._hosts.get(eid), self._calls.get(eid)
        return {
            "endpoint": short(_text(eid)), "address": short("%s:%d" % member.address),
            "state": _told(endpoint), "since_s": self._ago_s(endpoint.unavailable_since_us),
            "started_s": self._ago_s(member.started_us), "zone": _named(self._about.zones, member.zone),
            "kind": _named(self._about.kinds, member.kind), "cell": member.cell,
            "in_prefix": None if k is None else bool(self._inside[k]),
            "warm": None if k is None else round(self._warm[k], 4),
            "speed": None if k is None else round(self._speed[k], 4), "ill": self._ill.get(eid, 0),
            "calls": 0 if n is None else self._out[n], "dialing": 0 if n is None else self._dialing[n],
            "idle": len(self._sockets.idle.get(eid, ())),
            "oldest_ms": None if n is None else round(max(self._now_us - self._first[n], 0) / 1000, 3),
        }  # fmt: skip

    # --- The parts of the snapshot ----------------------------------------------------------------------
    def _snapshot(
        self, figures: dict[str, float], full: list[bool], pairs: list[PairRow], endpoints: list[EndpointRow]
    ) -> Snapshot:
        s, about, names = self._sockets, self._about, self._about.classes
        states: list[ClassState] = [
            {"class": short(name), "ill": self._ill_of[k], "full": full[k]} for k, name in enumerate(names)
        ]
        return {
            "version": VERSION, "name": short(about.name), "phase": self._core.phase.value,
            "unix_s": round((self._now_us + about.unix_offset_us) / 1e6, 3),
            "uptime_s": round((self._now_us - about.began_us) / 1e6, 3), "took_ms": 0.0,
            "counters": dict(sorted(self._core.stats.items())),
            "held": {"total": sum(map(sum, self._ages)),
                     "classes": [self._held_class(k) for k in range(len(names))]},
            "calls": {"total": sum(self._out), "dialing": sum(self._dialing), "idle": self._idle},
            "descriptors": {
                "clients": {"used": s.inbounds, "allowed": s.most_inbounds},
                "endpoints": {"used": s.outbounds, "allowed": s.most_outbounds},
                "together": {"used": s.inbounds + s.outbounds, "allowed": s.most}, "reserve": s.reserve,
            },
            "discovery": self._discovery(), "module": self._module(figures), "classes": states,
            "judged": {"pairs": self._judged_pairs, "ill": sum(self._ill_of)},
            "fleet": cast(Fleet, {state: self._states[state] for state in ("ready", "draining", "gone")}),
            "worst": self._worst, "cut": False, "pairs": pairs, "endpoints": endpoints,
        }  # fmt: skip

    def _held_class(self, k: int) -> HeldClass:
        keys = [*map(str, AGES_MS), OLDER]
        ages = dict(zip(keys, self._ages[k], strict=True))
        return {
            "class": short(self._about.classes[k]), "total": sum(ages.values()),
            "oldest_ms": round(self._oldest[k], 3), "ages": ages,
        }  # fmt: skip

    def _discovery(self) -> Discovery:
        s = self._sockets
        return {
            "address": short("%s:%d" % s.discovery), "heard_s": self._ago_s(s.heard_us),
            "news_s": self._ago_s(s.news_us), "failed_s": self._ago_s(s.failed_us),
            "failure": s.failure[: 2 * MAX_TEXT],
        }  # fmt: skip

    def _module(self, figures: dict[str, float]) -> Module:
        made = {k: round(float(v), 6) for k, v in figures.items() if math.isfinite(v)}  # JSON has no others
        made |= {"endpoints": len(self._hosts), "prefix": int(figures.get("prefix", 0))}
        return cast(Module, {key: made.get(key, 0.0) for key in Module.__annotations__})


def _made(found: list[T], make: Callable[[T], R]) -> Steps[list[R]]:
    """The rows of a table, some at a time."""
    rows: list[R] = []
    for n, item in enumerate(found, 1):
        rows.append(make(item))
        if not n % ROWS:
            yield
    return rows


def _text(eid: bytes) -> str:
    return eid.decode(errors="replace")


def _named(names: tuple[str, ...], k: int) -> str:
    """A name that the settings hold, or its number: discovery may tell of others."""
    return short(names[k]) if 0 <= k < len(names) else f"#{k}"


def _told(endpoint: Endpoint) -> Literal["ready", "draining", "gone"]:
    """What discovery last said: ready, draining, or that it is gone, be it by leaving it out of its list."""
    if endpoint.unavailable_since_us < 0:
        return "ready"
    return "draining" if endpoint.member.state is State.DRAINING else "gone"


def _cause(cause: Cause, since: float, failures: float, own: float) -> str:
    """What speaks most against the pair. Ill without failures enough of its own, it is ill with its zone."""
    return "zone" if since > 0.0 and cause is Cause.HEALTHY and own < failures else cause.value
