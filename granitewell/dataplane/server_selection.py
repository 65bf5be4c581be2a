"""The servers that may run a request, and which of them gets it. Pure; times in seconds.

A pool is all ready servers of a service, or those that hold a model. All nodes sort them by id into one order
and use the first ones, the active prefix, as many as the latency model asks for
(granitewell.balancing.prefix_sizing). A request goes to a random server of the prefix; a server with too many
requests of this node is busy and passed over, and past a prefix of busy servers the rest of the order is
used. Departures from this, each for a rule or a deployment: of two random picks the less loaded one is taken,
servers where requests wait, that look unhealthy or have older weights are passed over while others have
capacity, and a server that may have kept the leading parts of the prompt is preferred.
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

COMFORTABLE_PART = 1 / 3  # of an engine's slots: with more at once its tokens come too slowly
PATIENCE_MEANS = 8.0  # mean times to a first byte that a server may be silent,
MIN_PATIENCE_S = 0.5  # and the least: below it a pause is no sign
UNKNOWN_MEAN_S = 0.25  # mean time to a first byte until measured
SIZING_S = 1.0  # between two sizings of a pool with little traffic: a sizing costs as much as a request
SIZING_ARRIVALS = 10  # requests from which it is sized each period
REDRAWS = 6  # random draws for servers of the prefix that may be used, before all are looked at
CHOICES = 2  # of them that are compared
ALIKE = 0.5  # requests by which servers must differ to be told apart: what is known of them is old
KEPT_TOKENS_A_REQUEST = 300  # kept tokens that make up for one more request there


class Traffic:
    """Past traffic of a pool for its sizing: arrivals per period, times, and the fraction of late answers."""

    def __init__(self, setup_s: float) -> None:
        self._setup_ms = setup_s * 1000.0
        self._counts: deque[int] = deque(maxlen=FORECAST_PERIODS)
        self._arrived = 0
        self._since = -math.inf
        self.samples: deque[tuple[float, float]] = deque(
            maxlen=MAX_SAMPLES
        )  # ms to the first byte, aim in ms
        self.hold_ms = 0.0  # mean time that a request holds its slot
        self.first_ms = 0.0  # mean time to the first byte
        self.refusal_ms = INITIAL_REJECTION_MS  # mean time in which servers turn away or don't connect
        self.answers = 0
        self._best_ms = math.inf
        self._late = 0.0
        self._judged = 0.0

    def arrived(self, now: float) -> None:
        """Record that a request has arrived."""
        self.roll(now)
        self._arrived += 1

    def roll(self, now: float) -> None:
        """Close the periods that have passed."""
        if self._since == -math.inf:
            self._since = now
            return
        passed = int((now - self._since) * 1000.0 / SIZING_PERIOD_MS)
        if passed <= 0:
            return
        self._since += passed * SIZING_PERIOD_MS / 1000.0
        self._counts.append(self._arrived)
        self._counts.extend([0] * min(passed - 1, FORECAST_PERIODS))
        self._arrived = 0
        fade = 0.5 ** min(passed, 64)
        self._late, self._judged = self._late * fade, self._judged * fade

    def answered(self, first_ms: float, hold_ms: float, target_ms: float) -> None:
        """Record that an answer has ended."""
        self.answers += 1
        part = 1.0 / min(self.answers, EWMA_WINDOW_RESPONSES)
        self.hold_ms += (hold_ms - self.hold_ms) * part
        self.first_ms += (first_ms - self.first_ms) * part
        if self.answers >= EWMA_WINDOW_RESPONSES:
            self._best_ms = max(min(self._best_ms * 1.0005, self.first_ms), 0.01)
        target = target_ms or 5.0 * self.first_ms
        self.samples.append((first_ms, max(target, 1.0)))
        self._judged += 1.0
        self._late += first_ms > target

    def rejected_by_server(self, after_ms: float) -> None:
        """Record that a server has rejected a request, or that no connection could be opened."""
        self.refusal_ms += (after_ms - self.refusal_ms) * 0.05

    @property
    def rate(self) -> float:
        """Return the expected rate at this edge, one model load ahead, in requests per ms."""
        return forecast(self._counts, self._setup_ms)

    @property
    def late_fraction(self) -> float:
        """Return the fraction of recent answers that were late."""
        return self._late / max(self._judged, 3.0)

    @property
    def slow(self) -> float:
        """Return the mean time to the first byte over the best seen; infinite while too little is known."""
        return self.first_ms / self._best_ms if self.answers >= EWMA_WINDOW_RESPONSES else math.inf


class Pool:
    """One pool. `key` names it, the same at every edge."""

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
        self._versions: dict[str, int] = {}  # by server, where the servers' versions of the model differ
        self._older: frozenset[str] = frozenset()  # servers with an older version than another
        self.runs_models = engine_slots is not None
        self.traffic = Traffic(setup_s)
        self.servers: Sequence[ServerRecord] = ()
        self._rng = rng
        self._prefix = ActivePrefix(self._comfortable(engine_slots or 1) if engine_slots else math.inf)
        self._sized_at = -math.inf
        self._unsized = 0  # requests since then
        self._by_server: dict[str, int] = {}  # this node's requests of this pool there
        self._moved: dict[str, float] = {}  # servers that said 421, and until when that counts

    def _comfortable(self, slots: int) -> float:
        return max(slots * COMFORTABLE_PART, 1.0) if self.runs_models else float(slots)

    def set_servers(self, records: Sequence[ServerRecord]) -> None:
        """Set all servers that may run its requests now."""
        full = self._prefix.size >= len(self.servers)
        self.servers = sorted(records, key=lambda record: record.id)
        self._prefix.size = len(records) if full else min(self._prefix.size, len(records))
        ids = {record.id for record in records}
        self._moved = {key: until for key, until in self._moved.items() if key in ids}
        self._compare_versions()

    def _compare_versions(self) -> None:
        versions = {record.id: record.version(self._model) for record in self.servers} if self._model else {}
        known = {version for version in versions.values() if version}
        self._versions = versions if len(known) > 1 else {}
        newest = max(known, default=0)
        self._older = frozenset(key for key, version in self._versions.items() if 0 < version < newest)

    def with_other_version(self, expected: int) -> frozenset[str]:
        """Return the servers that are known to have another version of the model than the expected one."""
        return frozenset(key for key, version in self._versions.items() if version not in (0, expected))

    @property
    def has_several_versions(self) -> bool:
        """Whether its servers have different versions of the model."""
        return bool(self._versions)

    def empty(self, now: float) -> bool:
        """Whether no server may run its requests."""
        return all(self._has_moved(record, now) for record in self.servers)

    @property
    def prefix_size(self) -> int:
        """Return how many servers of the order are used."""
        return self._prefix.size

    # --- Sizing -----------------------------------------------------------------------------------------
    def arrived(self, now: float, edges: int) -> None:
        """Record that a request has arrived."""
        self.traffic.arrived(now)
        self._unsized += 1
        age = now - self._sized_at
        if age >= SIZING_S or (age >= SIZING_PERIOD_MS / 1000.0 and self._unsized >= SIZING_ARRIVALS):
            self._resize(now, edges)

    def overran(self, now: float, edges: int) -> None:
        """Record that a request took longer than its latency target."""
        if now - self._sized_at >= LATE_SIZING_INTERVAL_MS / 1000.0:
            self._resize(now, edges)

    def _resize(self, now: float, edges: int) -> None:
        self._sized_at, self._unsized = now, 0
        traffic, hosts = self.traffic, len(self.servers)
        traffic.roll(now)
        if hosts < 2:
            self._prefix.size = hosts
            return
        rate = BURST_RATIO * edges * traffic.rate
        need = slots_needed(rate, traffic.hold_ms, traffic.refusal_ms, traffic.samples, hosts, self._rng)
        self._prefix.resize(now * 1000.0, need, hosts, traffic.slow, traffic.late_fraction, self._reach)

    def _reach(self, servers: float) -> int:
        return min(max(math.ceil(servers - 1e-9), 1), len(self.servers))

    # --- Pick -------------------------------------------------------------------------------------------
    @property
    def patience(self) -> float:
        """Return how long a server may owe answers before it is suspected, in seconds."""
        mean = self.traffic.first_ms / 1000.0 if self.traffic.answers else UNKNOWN_MEAN_S
        return max(PATIENCE_MEANS * mean, MIN_PATIENCE_S)

    def pick(
        self,
        now: float,
        edges: int,
        passed_over: Collection[str] = (),
        excluded: Collection[str] = (),
        cached_tokens: Mapping[str, int] | None = None,
        has_capacity: Callable[[ServerRecord], bool] = lambda _: True,
        careful: bool = False,
    ) -> ServerRecord | None:
        """Return the server for a request; None if none may have it now.

        Args:
            now: Current time, in seconds.
            edges: How many edges share the traffic.
            passed_over: Servers that have had it, used again only if there are no others.
            excluded: Servers that are never used.
            cached_tokens: Tokens of the prompt that a server may have cached, by server id.
            has_capacity: What else must hold.
            careful: Whether it has no second attempt, so that suspected servers are used only if there are no
                others.
        """
        patience = self.patience

        def fits(record: ServerRecord) -> bool:
            if record.id in passed_over or record.id in excluded or record.id in self._older:
                return False
            if self._has_moved(record, now):
                return False
            if self._busy(record, edges) or not record.sound(now, patience, careful):
                return False
            return has_capacity(record) and not record.full(now)

        drawn = self._draw(now, fits)
        if cached_tokens:
            drawn = self._with_kept(drawn, now, cached_tokens, fits)
        if drawn is None:
            drawn = self._scan(now, edges, passed_over, excluded, has_capacity, careful)
        return drawn

    def _draw(self, now: float, fits: Callable[[ServerRecord], bool]) -> ServerRecord | None:
        """Return the better of two random eligible servers of the prefix; None if a few draws find none."""
        size = min(max(self._prefix.size, 1), len(self.servers))
        best, best_cost, seen = None, math.inf, 0
        for _ in range(REDRAWS if size else 0):
            record = self.servers[int(self._rng.random() * size)]
            if record is best or not fits(record):
                continue
            cost = record.cost(now)
            if cost < best_cost - ALIKE:
                best, best_cost = record, cost
            seen += 1
            if seen >= CHOICES:
                break
        return best

    def _with_kept(
        self,
        drawn: ServerRecord | None,
        now: float,
        cached_tokens: Mapping[str, int],
        fits: Callable[[ServerRecord], bool],
    ) -> ServerRecord | None:
        """Return a server that may have cached the prompt's prefix, unless its load is clearly higher."""
        best, best_cost = drawn, math.inf
        if drawn is not None:
            best_cost = drawn.cost(now) - cached_tokens.get(drawn.id, 0) / KEPT_TOKENS_A_REQUEST
        for record in self.servers:
            tokens = cached_tokens.get(record.id)
            if tokens is None or record is drawn or not fits(record):
                continue
            cost = record.cost(now) - tokens / KEPT_TOKENS_A_REQUEST
            if cost < best_cost:
                best, best_cost = record, cost
        return best

    def _scan(
        self,
        now: float,
        edges: int,
        passed_over: Collection[str],
        excluded: Collection[str],
        has_capacity: Callable[[ServerRecord], bool],
        careful: bool,
    ) -> ServerRecord | None:
        """Search the complete order.

        First past the prefix, then busy servers, then those with older weights, then those that look
        unhealthy or have had the request.
        """
        usable = self._usable(now, passed_over, excluded)
        open_ones = [record for record in usable if not record.full(now) and has_capacity(record)]
        if not open_ones:
            return None
        open_ones = [record for record in open_ones if record.id not in self._older] or open_ones
        if careful:
            patience = self.patience
            open_ones = [r for r in open_ones if not r.suspicion.holds(now, patience)] or open_ones
        idle = [record for record in open_ones if not self._busy(record, edges)]
        return min(idle or open_ones, key=lambda record: record.cost(now))

    def _usable(
        self, now: float, passed_over: Collection[str], excluded: Collection[str]
    ) -> Sequence[ServerRecord]:
        """Yield eligible servers by preference.

        Healthy ones, then any that has not had the request, then the rest.
        """
        here = [r for r in self.servers if r.id not in excluded and not self._has_moved(r, now)]
        fresh = [record for record in here if record.id not in passed_over]
        patience = self.patience
        sound = [record for record in fresh if record.sound(now, patience)]
        return sound or fresh or here

    def _busy(self, record: ServerRecord, edges: int) -> bool:
        """Return whether this edge uses its part of the server's slots."""
        out = self._by_server.get(record.id, 0)
        return out >= 1 and out >= self._comfortable(record.slots) / max(edges, 1)

    def _has_moved(self, record: ServerRecord, now: float) -> bool:
        return bool(self._moved) and self._moved.get(record.id, -math.inf) > now

    # --- What happens at its servers --------------------------------------------------------------------
    def sent(self, record: ServerRecord, now: float) -> None:
        """Record that a request of this pool was sent to a server."""
        record.sent(now)
        self._by_server[record.id] = self._by_server.get(record.id, 0) + 1

    def ended(self, record: ServerRecord) -> None:
        """Record that a request at a server has ended."""
        record.ended()
        left = self._by_server[record.id] - 1
        if left:
            self._by_server[record.id] = left
        else:
            del self._by_server[record.id]

    def moved(self, record: ServerRecord, now: float, for_s: float) -> None:
        """Record that the server says it cannot run this pool's requests, whatever the table says."""
        self._moved[record.id] = now + for_s

    @property
    def in_flight(self) -> int:
        """Requests of this edge at its servers."""
        return sum(self._by_server.values())
