"""Selection of the server for each request. No I/O; times in seconds.

A pool is the set of ready servers of a service, or those that have loaded a model. All nodes sort a pool by
server id into the same order and use its first servers, the active prefix; the latency model sets the size of
the prefix (granitewell.balancing.prefix_sizing).

A request goes to the less loaded of two random servers of the active prefix that are eligible. A server is
skipped while this node has too many requests there, while its requests queue, while it looks unhealthy, or if
it has older model weights than others. A server that may have cached the start of the prompt is preferred. If
a few random draws find no eligible server, the whole order is searched with fewer conditions.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random

from granitewell.balancing.prefix_sizing import (
    BURST_RATIO,
    EWMA_WINDOW_RESPONSES,
    FORECAST_PERIODS,
    INITIAL_REJECTION_MS,
    LATE_SIZING_INTERVAL_MS,
    MAX_SAMPLES,
    SIZING_PERIOD_MS,
    ActivePrefix,
    forecast,
    slots_needed,
)
from granitewell.dataplane.servers import ServerRecord

# With more requests on an engine than this fraction of its slots, its tokens come too slowly.
TARGET_SLOT_RATIO = 1 / 3
# A server is unresponsive after this many mean times to the first byte without a response, but not before
# MIN_UNRESPONSIVE_AFTER_S: shorter pauses are normal.
UNRESPONSIVE_AFTER_MEANS = 8.0
MIN_UNRESPONSIVE_AFTER_S = 0.5
DEFAULT_MEAN_FIRST_BYTE_S = 0.25  # used until there are responses
# Between two sizings of a pool with little traffic, because a sizing costs as much CPU time as a request.
MAX_SIZING_INTERVAL_S = 1.0
EARLY_SIZING_ARRIVALS = 10  # a pool with this many requests per PERIOD is sized each PERIOD
MAX_RANDOM_DRAWS = 6  # draws from the active prefix before the whole order is searched
CANDIDATES_PER_PICK = 2  # eligible servers that are compared
MIN_COST_DIFFERENCE = 0.5  # in requests; smaller differences mean nothing, as load reports are out of date
CACHED_TOKENS_PER_REQUEST = 300  # cached tokens that are worth one more request at a server


class Traffic:
    """Recent traffic of a pool, as input to its sizing: arrivals per period, times and late responses."""

    def __init__(self, setup_s: float) -> None:
        self._setup_ms = setup_s * 1000.0
        self._counts: deque[int] = deque(maxlen=FORECAST_PERIODS)
        self._arrivals = 0
        self._period_start = -math.inf
        # Time to the first byte and latency target, in ms.
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self.hold_ms = 0.0  # mean time that a request occupies its slot
        self.first_byte_ms = 0.0  # mean time to the first byte
        # mean time until a server rejects a request or a connection fails
        self.rejection_ms = INITIAL_REJECTION_MS
        self.response_count = 0
        self._best_ms = math.inf
        self._late_responses = 0.0
        self._recent_responses = 0.0

    def arrived(self, now: float) -> None:
        """Record that a request has arrived."""
        self.roll(now)
        self._arrivals += 1

    def roll(self, now: float) -> None:
        """Close the periods that have ended."""
        if self._period_start == -math.inf:
            self._period_start = now
            return
        passed = int((now - self._period_start) * 1000.0 / SIZING_PERIOD_MS)
        if passed <= 0:
            return
        self._period_start += passed * SIZING_PERIOD_MS / 1000.0
        self._counts.append(self._arrivals)
        self._counts.extend([0] * min(passed - 1, FORECAST_PERIODS))
        self._arrivals = 0
        fade = 0.5 ** min(passed, 64)
        self._late_responses, self._recent_responses = (
            self._late_responses * fade,
            self._recent_responses * fade,
        )

    def response_ended(self, first_byte_ms: float, hold_ms: float, target_ms: float) -> None:
        """Record that a response has ended."""
        self.response_count += 1
        part = 1.0 / min(self.response_count, EWMA_WINDOW_RESPONSES)
        self.hold_ms += (hold_ms - self.hold_ms) * part
        self.first_byte_ms += (first_byte_ms - self.first_byte_ms) * part
        if self.response_count >= EWMA_WINDOW_RESPONSES:
            self._best_ms = max(min(self._best_ms * 1.0005, self.first_byte_ms), 0.01)
        target = target_ms or 5.0 * self.first_byte_ms
        self.samples.append((first_byte_ms, max(target, 1.0)))
        self._recent_responses += 1.0
        self._late_responses += first_byte_ms > target

    def rejected_by_server(self, after_ms: float) -> None:
        """Record that a server has rejected a request, or that no connection could be opened."""
        self.rejection_ms += (after_ms - self.rejection_ms) * 0.05

    @property
    def expected_rate(self) -> float:
        """Return the forecast rate of this edge, one model load ahead, in requests per ms."""
        return forecast(self._counts, self._setup_ms)

    @property
    def late_fraction(self) -> float:
        """Return the fraction of recent responses that were late."""
        return self._late_responses / max(self._recent_responses, 3.0)

    @property
    def slowdown(self) -> float:
        """Return the mean time to the first byte relative to the best one; infinite with too few samples."""
        return (
            self.first_byte_ms / self._best_ms if self.response_count >= EWMA_WINDOW_RESPONSES else math.inf
        )


class Pool:
    """A pool of servers; `key` is its name, the same at every edge."""

    def __init__(
        self, key: str, engine_slots: int | None, setup_s: float, rng: Random, model: str = ""
    ) -> None:
        """Create the pool.

        Args:
            key: Name of the pool.
            model: The model that its servers have loaded, "" for none.
            rng: Source of random numbers.
            engine_slots: Slots of the service's engine, None if it runs no models.
            setup_s: Time that another server takes to become available, in seconds.
        """
        self.key = key
        self._model = model
        self._versions: dict[str, int] = {}  # by server id; empty if all have the same version
        self._outdated: frozenset[str] = frozenset()  # ids of servers that have an older version than others
        self.runs_models = engine_slots is not None
        self.traffic = Traffic(setup_s)
        self.servers: Sequence[ServerRecord] = ()
        self._rng = rng
        self._prefix = ActivePrefix(self._target_concurrency(engine_slots or 1) if engine_slots else math.inf)
        self._sized_at = -math.inf
        self._arrivals_since_sizing = 0  # requests since the last sizing
        self._by_server: dict[str, int] = {}  # requests of this node in flight, by server id
        self._misdirected_until: dict[str, float] = {}  # by id of a server that answered 421

    def _target_concurrency(self, slots: int) -> float:
        return max(slots * TARGET_SLOT_RATIO, 1.0) if self.runs_models else float(slots)

    def set_servers(self, records: Sequence[ServerRecord]) -> None:
        """Set the servers that may run requests of this pool now."""
        full = self._prefix.size >= len(self.servers)
        self.servers = sorted(records, key=lambda record: record.id)
        self._prefix.size = len(records) if full else min(self._prefix.size, len(records))
        ids = {record.id for record in records}
        self._misdirected_until = {key: until for key, until in self._misdirected_until.items() if key in ids}
        self._compare_versions()

    def _compare_versions(self) -> None:
        versions = {record.id: record.version(self._model) for record in self.servers} if self._model else {}
        known = {version for version in versions.values() if version}
        self._versions = versions if len(known) > 1 else {}
        newest = max(known, default=0)
        self._outdated = frozenset(key for key, version in self._versions.items() if 0 < version < newest)

    def with_other_version(self, expected: int) -> frozenset[str]:
        """Return the servers that are known to have another version of the model than the expected one."""
        return frozenset(key for key, version in self._versions.items() if version not in (0, expected))

    @property
    def has_several_versions(self) -> bool:
        """Whether its servers have different versions of the model."""
        return bool(self._versions)

    def empty(self, now: float) -> bool:
        """Whether no server may run requests of this pool."""
        return all(self._is_misdirected(record, now) for record in self.servers)

    @property
    def prefix_size(self) -> int:
        """Number of servers in the active prefix."""
        return self._prefix.size

    # --- Sizing -----------------------------------------------------------------------------------------
    def arrived(self, now: float, edges: int) -> None:
        """Record that a request has arrived."""
        self.traffic.arrived(now)
        self._arrivals_since_sizing += 1
        age = now - self._sized_at
        if age >= MAX_SIZING_INTERVAL_S or (
            age >= SIZING_PERIOD_MS / 1000.0 and self._arrivals_since_sizing >= EARLY_SIZING_ARRIVALS
        ):
            self._resize(now, edges)

    def latency_target_missed(self, now: float, edges: int) -> None:
        """Record that a request took longer than its latency target."""
        if now - self._sized_at >= LATE_SIZING_INTERVAL_MS / 1000.0:
            self._resize(now, edges)

    def _resize(self, now: float, edges: int) -> None:
        self._sized_at, self._arrivals_since_sizing = now, 0
        traffic, server_count = self.traffic, len(self.servers)
        traffic.roll(now)
        if server_count < 2:
            self._prefix.size = server_count
            return
        rate = BURST_RATIO * edges * traffic.expected_rate
        slots = slots_needed(
            rate, traffic.hold_ms, traffic.rejection_ms, traffic.samples, server_count, self._rng
        )
        self._prefix.resize(
            now * 1000.0, slots, server_count, traffic.slowdown, traffic.late_fraction, self._clamp_size
        )

    def _clamp_size(self, servers: float) -> int:
        return min(max(math.ceil(servers - 1e-9), 1), len(self.servers))

    # --- Selection --------------------------------------------------------------------------------------
    @property
    def unresponsive_after_s(self) -> float:
        """Time without any response after which a server is unresponsive, in seconds."""
        mean = (
            self.traffic.first_byte_ms / 1000.0 if self.traffic.response_count else DEFAULT_MEAN_FIRST_BYTE_S
        )
        return max(UNRESPONSIVE_AFTER_MEANS * mean, MIN_UNRESPONSIVE_AFTER_S)

    def pick(
        self,
        now: float,
        edges: int,
        attempted: Collection[str] = (),
        excluded: Collection[str] = (),
        cached_tokens: Mapping[str, int] | None = None,
        has_capacity: Callable[[ServerRecord], bool] = lambda _: True,
        is_final_attempt: bool = False,
    ) -> ServerRecord | None:
        """Return a server for a request; None if none is available now.

        Args:
            now: Current time, in seconds.
            edges: Number of edges that send requests to the pool.
            attempted: Ids of servers that earlier attempts were assigned to, used only if there are no
                others.
            excluded: Ids of servers that are never used.
            cached_tokens: Tokens of the prompt that a server may have cached, by server id.
            has_capacity: Further condition that a server must meet.
            is_final_attempt: Whether the request can't be retried, so that suspected servers are used only if
                there are no others.
        """
        unresponsive_after_s = self.unresponsive_after_s

        def is_eligible(record: ServerRecord) -> bool:
            if record.id in attempted or record.id in excluded or record.id in self._outdated:
                return False
            if self._is_misdirected(record, now):
                return False
            if self._busy(record, edges) or not record.is_healthy(
                now, unresponsive_after_s, is_final_attempt
            ):
                return False
            return has_capacity(record) and not record.full(now)

        candidate = self._draw_candidate(now, is_eligible)
        if cached_tokens:
            candidate = self._prefer_cached(candidate, now, cached_tokens, is_eligible)
        if candidate is None:
            candidate = self._scan(now, edges, attempted, excluded, has_capacity, is_final_attempt)
        return candidate

    def _draw_candidate(self, now: float, is_eligible: Callable[[ServerRecord], bool]) -> ServerRecord | None:
        """Return the better of two random eligible servers of the prefix; None if a few draws find none."""
        size = min(max(self._prefix.size, 1), len(self.servers))
        best, best_cost, seen = None, math.inf, 0
        for _ in range(MAX_RANDOM_DRAWS if size else 0):
            record = self.servers[int(self._rng.random() * size)]
            if record is best or not is_eligible(record):
                continue
            cost = record.cost(now)
            if cost < best_cost - MIN_COST_DIFFERENCE:
                best, best_cost = record, cost
            seen += 1
            if seen >= CANDIDATES_PER_PICK:
                break
        return best

    def _prefer_cached(
        self,
        candidate: ServerRecord | None,
        now: float,
        cached_tokens: Mapping[str, int],
        is_eligible: Callable[[ServerRecord], bool],
    ) -> ServerRecord | None:
        """Return a server that may have cached the start of the prompt, unless its load is clearly higher."""
        best, best_cost = candidate, math.inf
        if candidate is not None:
            best_cost = candidate.cost(now) - cached_tokens.get(candidate.id, 0) / CACHED_TOKENS_PER_REQUEST
        for record in self.servers:
            tokens = cached_tokens.get(record.id)
            if tokens is None or record is candidate or not is_eligible(record):
                continue
            cost = record.cost(now) - tokens / CACHED_TOKENS_PER_REQUEST
            if cost < best_cost:
                best, best_cost = record, cost
        return best

    def _scan(
        self,
        now: float,
        edges: int,
        attempted: Collection[str],
        excluded: Collection[str],
        has_capacity: Callable[[ServerRecord], bool],
        is_final_attempt: bool,
    ) -> ServerRecord | None:
        """Search the whole order, dropping conditions that no server meets.

        Idle servers outside the active prefix come first, then busy ones, then those with older weights, then
        those that look unhealthy or that earlier attempts were assigned to.
        """
        usable = self._usable(now, attempted, excluded)
        available = [record for record in usable if not record.full(now) and has_capacity(record)]
        if not available:
            return None
        available = [record for record in available if record.id not in self._outdated] or available
        if is_final_attempt:
            unresponsive_after_s = self.unresponsive_after_s
            available = [
                r for r in available if not r.suspicion.is_suspected(now, unresponsive_after_s)
            ] or available
        idle = [record for record in available if not self._busy(record, edges)]
        return min(idle or available, key=lambda record: record.cost(now))

    def _usable(
        self, now: float, attempted: Collection[str], excluded: Collection[str]
    ) -> Sequence[ServerRecord]:
        """Return the servers of the best non-empty class.

        The classes are: healthy servers without an earlier attempt, all servers without one, and all servers.
        """
        allowed = [r for r in self.servers if r.id not in excluded and not self._is_misdirected(r, now)]
        unattempted = [record for record in allowed if record.id not in attempted]
        unresponsive_after_s = self.unresponsive_after_s
        healthy = [record for record in unattempted if record.is_healthy(now, unresponsive_after_s)]
        return healthy or unattempted or allowed

    def _busy(self, record: ServerRecord, edges: int) -> bool:
        """Return whether this edge uses its share of the server's slots."""
        in_flight = self._by_server.get(record.id, 0)
        return in_flight >= 1 and in_flight >= self._target_concurrency(record.slots) / max(edges, 1)

    def _is_misdirected(self, record: ServerRecord, now: float) -> bool:
        return bool(self._misdirected_until) and self._misdirected_until.get(record.id, -math.inf) > now

    # --- Events -----------------------------------------------------------------------------------------
    def sent(self, record: ServerRecord, now: float) -> None:
        """Record that a request of this pool was sent to a server."""
        record.sent(now)
        self._by_server[record.id] = self._by_server.get(record.id, 0) + 1

    def ended(self, record: ServerRecord) -> None:
        """Record that a request at a server has ended."""
        record.ended()
        in_flight = self._by_server[record.id] - 1
        if in_flight:
            self._by_server[record.id] = in_flight
        else:
            del self._by_server[record.id]

    def misdirected(self, record: ServerRecord, now: float, for_s: float) -> None:
        """Record that the server answered 421: it can't run this pool's requests, whatever the table says."""
        self._misdirected_until[record.id] = now + for_s

    @property
    def in_flight(self) -> int:
        """Requests of this edge at its servers."""
        return sum(self._by_server.values())
