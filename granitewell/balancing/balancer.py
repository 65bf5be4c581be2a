"""Load balancing decisions; types, events and actions are in granitewell/balancing/interface.py.

The balancer selects hosts, retries, sheds load and answers requests that no host can serve. A gateway passes
each event to Balancer.handle and carries out the actions that it returns. There is no I/O and no clock, and
instances share nothing. Times are in milliseconds. Numbers such as 4.5 are sections of the algorithm's
description; rules are the platform's.
"""

from __future__ import annotations

import math
from bisect import bisect, bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import accumulate
from operator import mul
from random import Random
from typing import Any
from zlib import crc32

from granitewell.balancing.interface import (
    Abandoned,
    Action,
    ActiveGateways,
    BodyComplete,
    Cancel,
    DecisionError,
    Effect,
    Ended,
    Event,
    Fail,
    Field,
    FirstByte,
    Host,
    Hosts,
    Log,
    Outcome,
    PeerMessage,
    ProbeEnded,
    Refuse,
    Request,
    RequestClass,
    Scope,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    State,
    Timer,
    View,
    Watch,
)
from granitewell.balancing.outlier_detection import (
    REJECTION_FAILURE_WEIGHT,
    UNHEALTHY_FAILURE_RATIO,
    Call,
    ClassHealth,
    HealthTracker,
)
from granitewell.balancing.prefix_sizing import (
    BURST_RATIO,
    EWMA_WINDOW_RESPONSES,
    FORECAST_PERIODS,
    INITIAL_REJECTION_MS,
    LATE_SIZING_INTERVAL_MS,
    MAX_SAMPLES,
    MIN_RETRY_INTERVAL_MS,
    ActivePrefix,
    forecast,
    slots_needed,
)
from granitewell.balancing.prefix_sizing import (
    SCALE_IN_INTERVAL_MS as SCALE_IN_INTERVAL_MS,
)
from granitewell.balancing.prefix_sizing import (
    SIZING_PERIOD_MS as SIZING_PERIOD_MS,
)
from granitewell.balancing.settings_validation import validate

CANDIDATE_COUNT = 3  # hosts compared for a request (power of d choices, 4.5)
MAX_DRAWS = 6  # random draws in search of usable hosts, inside the prefix and again outside it
# Part of its time after which a request that no host has received is rejected. From half of the time on a
# late rejection costs more than an early one, and the client's next attempt still has time left.
UNSENT_TIMEOUT_RATIO = 0.45
HOST_WAIT_MS = 50.0  # between two searches for a host while none may be used
SPEED_DECAY_MS = 8000.0  # time constant with which older latencies of a host lose weight
MIN_OUTLIER_RATIO = 2.5  # from which one slow response counts although the host reports service times
PRIOR_WEIGHT = 2.0  # responses that the ratio of a host's kind counts for, until the host has shown its own
# Bounds of a host's latency ratio: latencies include queueing, and the weights must not swing with it.
MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.4, 10.0
# Part of the latency target that a call may be pending before its host is suspected, however fast others are.
MIN_PATIENCE_RATIO = 0.2
# Between two safe requests that test whether an unhealthy host has recovered, whichever host it is. A lost
# zone has many unhealthy hosts, every gateway tests them, and each test waits for a connection that fails.
TRIAL_INTERVAL_MS = 500.0
FAILURE_COST_RATIO = 12.0  # a host that always fails looks this many times slower
UNRESPONSIVE_LATENCY_RATIO = 2.0  # mean latencies without any response that double a host's score
HASH_RING_POINTS = 8  # points of each host on the hash ring of keys, which evens out the arcs
MAX_AFFINITY_CANDIDATES = 6  # points of the hash ring that a key tries in turn
AFFINITY_SCORE_RATIO = 0.5  # of its score that counts for a key's own host, which has the key cached
MAX_AFFINITY_LOAD_RATIO = 1.1  # times a typical host's score, beyond which a key's own host is skipped
CROSS_ZONE_SCORE_RATIO = 3.0  # how many times better a host of another zone must be if crossing has a price
# Upper bound of that penalty, in service times: a queue in the own zone must not grow on its account.
MAX_CROSS_ZONE_PENALTY = 6.0
REPORT_WEIGHT = 0.5  # of a reported service time against one response: it is a noisy mean of few
REPORT_DECAY_MS = 800.0  # time constant with which a load report loses weight
TOLERATED_LATE_RATIO = 0.1  # of late responses that causes no shedding; lower if what is shed is worth little
# Share of the work shed for each excess late ratio, per latency target: the lateness seen is that old.
SHED_GAIN = 0.4
SHED_DECAY_RATIO = 0.06  # of the shedding that ends each period; a recovery takes about four seconds
# The same while the late ratio is so far under the tolerated one that there must be capacity: requests that
# are shed needlessly come back as retries. Late ratios decide, as the mean latency lags by seconds.
FAST_SHED_DECAY_RATIO = 0.25
FAST_DECAY_LATE_RATIO = 0.5  # of the tolerated late ratio, up to which the fast decay applies
IN_FLIGHT_TARGET_RATIO = 0.4  # of the latency target that requests in flight may fill; reacts before lateness
MAX_SHED_RATIO = 0.9  # of any class: the rest shows when there is capacity again and starves no class
ALLOWANCE_BURST_MS = 2000.0  # of a tenant's allowance that may arrive at once
RETRY_BUDGET_RATIO = 0.2  # retries for each request, counted if a host had to handle the first attempt
MAX_RETRY_TOKENS = 20.0  # retries that may be saved up
WARMUP_BUDGET_RATIO = 0.8  # of the slow start budget that is spent; the rest covers chance and misjudgement
LOG_INTERVAL_MS = 2000.0  # least time between two log lines about the prefix and shedding
RATE_DECAY_MS = 4000.0  # time constant of the measured rate of a warm host
PRESUMED_ALLOWANCE_RATIO = 0.5  # of its share of the allowances that a host is presumed to serve at first
PEAK_RATE_DECAY_MS = 120000.0  # time constant with which the highest measured rate is forgotten


def _ignore(_: Event) -> None: ...  # results of probes and messages between gateways, which are not used


class _HostState:
    """What this gateway knows about one host."""

    __slots__ = ("id", "zone", "kind", "cell", "ready", "listed", "started_ms", "in_flight", "tokens",
                 "tokens_at_ms", "ratio_sum", "weight_sum", "ratio_at_ms", "latency_ratio", "class_health",
                 "reported_load", "reported_load_at_ms", "reports_service_time", "rank")  # fmt: skip

    def __init__(self, host: Host, class_health: list[ClassHealth]) -> None:
        self.id, self.in_flight, self.tokens, self.tokens_at_ms = host.id, 0, 0.0, 0.0
        self.class_health = class_health  # by index of the class
        self.zone, self.kind, self.cell = host.zone, host.kind, host.cell
        self.started_ms, self.rank, self.listed, self.ready = -1.0, 0, True, False
        self.forget()

    def forget(self) -> None:
        """Forget what was learned about the host: it has a new process."""
        # weighted sums behind the ratio, and when they were last decayed
        self.ratio_sum = self.weight_sum = self.ratio_at_ms = 0.0
        self.latency_ratio = 1.0  # its latencies relative to the means of their classes
        for health in self.class_health:
            health.forget()
        # requests of other gateways by its last report, and the time of the report
        self.reported_load = self.reported_load_at_ms = 0.0
        self.reports_service_time = False


class _Attempt(Call):
    """One attempt of a request at a host."""

    __slots__ = ("server", "may_have_run", "late", "request_id")

    def __init__(self, server: _HostState, at: float, req: _PendingRequest) -> None:
        super().__init__(server.class_health, req.class_index, server.zone, at)
        self.server, self.may_have_run, self.late, self.request_id = server, True, False, req.id


class _ServiceTime:
    """Running mean of a class's response times in ms."""

    __slots__ = ("n", "ms")

    def __init__(self) -> None:
        self.n = self.ms = 0.0

    def add(self, ms: float) -> None:
        self.n = min(self.n + 1, 2 * EWMA_WINDOW_RESPONSES)
        self.ms += (ms - self.ms) / self.n


class _PendingRequest:
    """A request without a final response."""

    __slots__ = (
        "id",
        "class_index",
        "request_class",
        "tenant",
        "key",
        "due_ms",
        "received_at_ms",
        "attempts",
        "reached_host",
        "body_incomplete",
    )

    def __init__(self, event: Request, cls: RequestClass, now: float) -> None:
        self.id, self.request_class, self.tenant, self.key = event.id, cls, event.tenant, event.key
        self.class_index = event.class_index
        self.due_ms = event.due_ms if event.due_ms == event.due_ms else now
        self.received_at_ms, self.body_incomplete = now, event.body_incomplete
        self.attempts: list[_Attempt] = []
        self.reached_host = False  # a host has received it, even if it rejected it


class Balancer:
    """Load balancer of one gateway."""

    def __init__(self, settings: Settings, seed: int) -> None:
        validate(settings)
        self._settings, self._rng = settings, Random(seed)
        self._now = -math.inf
        self._actions: list[Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            Request: self._request, Ended: self._ended, Timer: self._timer, Abandoned: self._abandoned,
            Hosts: self._hosts, ProbeEnded: _ignore, BodyComplete: self._body_complete,
            ActiveGateways: self._gateways_changed, FirstByte: self._first_byte, PeerMessage: _ignore,
            SettingsChanged: self._settings_changed,
        }  # fmt: skip
        self._pending: dict[int, _PendingRequest] = {}
        self._in_flight: dict[tuple[int, int], _Attempt] = {}
        self._health: HealthTracker[_Attempt] = HealthTracker((), ())
        # by class: hosts where a safe request may test their health; then when the next test may start
        self._trial_hosts: list[list[_HostState]] = []
        self._next_trial_at_ms = -math.inf
        self._timers: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._timer_sequence, self._armed_at_ms = 0, math.inf
        # rate forecast
        self._arrival_counts: deque[int] = deque(maxlen=FORECAST_PERIODS)
        # latency model
        self._latency_samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self._mean_latency_ms, self._mean_rejection_ms, self._response_count = 0.0, INITIAL_REJECTION_MS, 0
        self._sized_at_ms, self._prefix = -math.inf, ActivePrefix()
        # hosts
        self._service_times: list[_ServiceTime] = []
        # mean over the classes' response times, and mean of the reported service times
        self._mean_service_ms = self._mean_reported_ms = 0.0
        self._kind_ratio_sums: dict[int, list[float]] = {}  # by kind of host: ratio_sum and weight_sum
        self._report_index = {f: k for k, f in enumerate(settings.report_fields)}
        self._hosts_by_cell: dict[int, list[_HostState]] = {}
        self._hash_ring: list[_HostState] = []  # hosts by their points on the hash ring of keys
        self._hash_ring_positions: list[int] = []
        # running sums over the ready hosts in order. By class: weights of the random selection, and health
        # from 0 to 1; then the health of each host for the class that it serves best.
        self._cumulative_weights: list[list[float]] = []
        self._cumulative_health: list[list[float]] = []
        self._cumulative_best_health: list[float] = []
        # the ready hosts in order, in the form that the health tracker takes
        self._health_rows: list[tuple[list[ClassHealth], int]] = []
        self._servers: dict[bytes, _HostState] = {}
        self._ready_hosts: list[_HostState] = []
        self._best_latency_ms, self._late_ratio = math.inf, 0.0
        self._served_in_period, self._max_ready_hosts, self._peak_host_rate, self._host_rate = (
            0,
            0,
            0.0,
            0.0,
        )
        # requests of other gateways at a mean host; least rate that a warm host is presumed to serve
        self._others_in_flight = self._min_host_rate = 0.0
        self._discovery_failures, self._arrived_in_period, self._started = 0, 0, False
        self._logged_state, self._logged_at_ms = (0, 0.0), -math.inf
        # admission
        self._late_count = self._judged_count = self._shed_level = self._completion_rate = 0.0
        self._in_flight_limit = math.inf  # applies while load is shed
        self._marginal_worth = 1.0  # worth per work of what is shed next, relative to the mean
        # by class, for requests within and beyond their tenant's allowance: arrivals, and shedding
        # probability
        self._arrival_mix: list[list[float]] = []
        self._shed_ratios: list[list[float]] = []
        self._allowance_buckets: list[list[float]] = []  # by tenant: tokens, and when they were counted
        self._retry_tokens = MAX_RETRY_TOKENS
        self._settings_changed(SettingsChanged(settings))

    def _settings_changed(self, event: SettingsChanged) -> None:
        """Apply new settings: what is known about the classes stays, new classes are appended."""
        self._settings, self._active_gateways, kinds = (
            event.settings,
            event.settings.acting,
            event.settings.classes,
        )
        for row in (self._arrival_mix, self._shed_ratios):
            row += ([0.0, 0.0] for _ in kinds[len(row) :])
        self._allowance_buckets += (
            [0.0, 0.0] for _ in event.settings.tenants[len(self._allowance_buckets) :]
        )
        self._service_times += (_ServiceTime() for _ in kinds[len(self._service_times) :])
        self._trial_hosts = [[] for _ in kinds]
        self._cumulative_weights, self._cumulative_health = [[] for _ in kinds], [[] for _ in kinds]
        # a call well within the latency target does no harm, however fast the others are
        self._health.set_classes(
            [c.effect is Effect.SAFE for c in kinds],
            [MIN_PATIENCE_RATIO * c.latency_target_ms for c in kinds],
            (s.class_health for s in self._servers.values()),
        )  # fmt: skip
        self._update_weights()

    def _gateways_changed(self, event: ActiveGateways) -> None:
        self._active_gateways = event

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out.

        Args:
            now: Time in ms. If it goes back, the latest time so far is used.
            event: What has happened.

        Raises:
            DecisionError: Processing failed; it carries the actions that were decided before and must be
                carried out.
        """
        self._now = max(now, self._now)
        self._actions = []
        if not self._started:
            self._started = True
            self._schedule(self._now + SIZING_PERIOD_MS * self._rng.random(), self._period, None)
            if self._settings.must_ask:
                self._schedule(
                    self._now + self._settings.must_ask_in_ms / 2 * self._rng.random(), self._subscribe, None
                )
        try:
            self._handlers[type(event)](event)
            for late in self._health.overdue(self._now):  # after the event, which may end an overdue call
                self._send_hedge(late)
        except Exception as error:  # a defect: what was decided stands, and other due timers run soon
            self._armed_at_ms = self._now + MIN_RETRY_INTERVAL_MS
            raise DecisionError([*self._actions, SetTimer(self._armed_at_ms, 0)]) from error
        return self._actions

    # --- Timers: one queue, of which only the next one is armed ------------------------------------------
    def _schedule(self, when: float, what: Callable[[Any], None], arg: Any) -> None:
        self._timer_sequence += 1
        heappush(self._timers, (when, self._timer_sequence, what, arg))
        if when < self._armed_at_ms:
            self._armed_at_ms = when
            self._actions.append(SetTimer(when, 0))

    def _timer(self, _: Timer) -> None:
        if self._now < self._armed_at_ms:
            return  # superseded by an earlier timer; arming another one here would multiply timers
        timers = self._timers
        self._armed_at_ms = math.inf
        while timers and (timers[0][0] <= self._now or self._is_obsolete(timers[0])):
            _when, _timer_sequence, what, arg = heappop(timers)
            what(arg)
        if timers and timers[0][0] < self._armed_at_ms:
            self._armed_at_ms = timers[0][0]
            self._actions.append(SetTimer(self._armed_at_ms, 0))

    def _is_obsolete(self, entry: tuple[float, int, Callable[[Any], None], Any]) -> bool:
        """Whether a timer is the deadline of a request that has its response."""
        return entry[2] == self._deadline_reached and entry[3].id not in self._pending

    # --- Size of the prefix (4.2 to 4.4), see prefix_sizing.py ------------------------------------------
    @property
    def _prefix_size(self) -> int:
        return self._prefix.size

    def _forecast(self) -> float:
        """Forecast of requests per ms at this gateway, one host set-up time ahead."""
        return forecast(self._arrival_counts)

    def _slots_needed(self, rate: float) -> int:
        """The number of slots that serve such a rate within the latency targets."""
        return slots_needed(
            rate,
            self._mean_latency_ms,
            self._mean_rejection_ms,
            self._latency_samples,
            len(self._ready_hosts),
            self._rng,
        )

    def _resize(self) -> None:
        """Recompute the size of the prefix: it grows at once and shrinks slowly."""
        self._sized_at_ms = self._now
        need = self._slots_needed(BURST_RATIO * self._active_gateways.active_count * self._forecast())
        latency_ratio = (
            self._mean_latency_ms / self._best_latency_ms
            if self._response_count >= EWMA_WINDOW_RESPONSES
            else math.inf
        )
        self._prefix.resize(
            self._now, need, len(self._ready_hosts), latency_ratio, self._late_ratio, self._healthy_prefix
        )

    def _healthy_prefix(self, healthy_hosts: float) -> int:
        """The smallest prefix with so many healthy hosts for every class; unhealthy ones count for little."""
        return min(
            max(bisect_left(sums, healthy_hosts - 1e-9) for sums in self._cumulative_health) + 1,
            len(self._ready_hosts),
        )

    def _period(self, _: None) -> None:
        # scheduled first, so that an exception below does not end the periodic work
        self._schedule(self._now + SIZING_PERIOD_MS, self._period, None)
        self._arrival_counts.append(self._arrived_in_period)
        healthy_hosts = (
            self._cumulative_best_health[self._prefix_size - 1]
            if 0 < self._prefix_size <= len(self._cumulative_best_health)
            else 0.0
        )
        if healthy_hosts > 0.0:
            self._host_rate += (
                self._served_in_period / SIZING_PERIOD_MS / healthy_hosts - self._host_rate
            ) * min(SIZING_PERIOD_MS / RATE_DECAY_MS, 1.0)
            # A warm host can serve at least what hosts have served, all of them counted as warm. This does
            # not fall with the demand, nor while unhealthy hosts or shedding reduce the responses: otherwise
            # hosts that warm up, whose budget depends on it, would get less and less.
            self._peak_host_rate = max(
                self._host_rate, self._peak_host_rate * (1.0 - SIZING_PERIOD_MS / PEAK_RATE_DECAY_MS)
            )
        self._completion_rate += (self._served_in_period / SIZING_PERIOD_MS - self._completion_rate) * 0.2
        self._arrived_in_period = self._served_in_period = 0
        self._others_in_flight = (
            (self._active_gateways.max_count - 1) * len(self._in_flight) / max(self._prefix_size, 1)
        )
        for n, k, health in self._health.review(self._health_rows, self._now):
            name = self._ready_hosts[n].id
            text = name.decode() if name.isascii() and name.decode().isprintable() else name.hex()
            self._actions.append(
                Log(f"class {k} at {text} is {health.cause.value}: {health.failure_ratio:.0%} of its calls")
            )
        self._resize()
        self._update_weights()
        self._update_shedding()
        self._log_state()

    def _log_state(self) -> None:
        """Log the state if the prefix or the shedding has changed, at most once per LOG_INTERVAL_MS."""
        state = (self._prefix_size, round(self._shed_level, 1))
        if state != self._logged_state and self._now - self._logged_at_ms >= LOG_INTERVAL_MS:
            self._logged_state, self._logged_at_ms = state, self._now
            unhealthy = sum(
                health.unhealthy_since_ms > 0.0 for s in self._ready_hosts for health in s.class_health
            )
            self._actions.append(Log(
                f"prefix {self._prefix_size} of {len(self._ready_hosts)} hosts, {unhealthy} sick pairs, "
                f"c {self._prefix.slots:.2f}; late {self._late_ratio:.0%}, shedding {self._shed_level:.0%}, "
                f"mean {self._mean_latency_ms:.0f} ms"
            ))  # fmt: skip

    # --- Host selection (4.5) ---------------------------------------------------------------------------
    def _update_weights(self) -> None:
        """Recompute the weights of the random selection: speed, warm capacity and health of each host.

        This differs from the uniform selection of 4.5, which assumes one service rate for all hosts and so
        overloads the slow ones of a mixed fleet. With equal hosts the selection is uniform.
        """
        for s in self._ready_hosts:
            self._update_latency_ratio(s)
        capacity_shares = [self._capacity_share(s) for s in self._ready_hosts]
        speeds = [
            min(share, 1.0 / s.latency_ratio)
            for share, s in zip(capacity_shares, self._ready_hosts, strict=True)
        ]
        best = [0.0] * len(capacity_shares)
        for k, cls in enumerate(self._settings.classes):
            failure_ratios = self._health.failure_ratios(self._health_rows, k, self._now)
            health = [1.0 / (1.0 + FAILURE_COST_RATIO * fail) for fail in failure_ratios]
            best = list(map(max, best, health))
            self._cumulative_health[k] = list(accumulate(health))
            self._cumulative_weights[k] = list(accumulate(map(mul, speeds, health)))
            if (
                self._settings.parallel_tries
                and cls.effect is Effect.SAFE
                and not self._health.fleet_overloaded[k]
            ):
                trial_hosts = [
                    s for s, fail in zip(self._ready_hosts, failure_ratios, strict=True)
                    if (fail > UNHEALTHY_FAILURE_RATIO
                        and s.class_health[k].last_sent_ms < self._now - TRIAL_INTERVAL_MS)
                    or s.class_health[k].last_sent_ms < s.started_ms > self._now - self._settings.ramp_ms
                ]  # fmt: skip
                # the host that has waited longest comes last, as hosts are taken from the end
                self._trial_hosts[k] = sorted(trial_hosts, key=lambda s: -s.class_health[k].last_sent_ms)
        self._cumulative_best_health = list(accumulate(best))
        # even without measurements a warm host can serve one request after the other, and its part of the
        # tenants' allowances
        target_ms, self._max_ready_hosts = (
            max(c.latency_target_ms for c in self._settings.classes),
            max(self._max_ready_hosts, len(self._ready_hosts)),
        )
        presumed_rate = (
            sum(t.allowance_per_s for t in self._settings.tenants)
            / 1000
            * PRESUMED_ALLOWANCE_RATIO
            / max(self._max_ready_hosts, 1)
        )
        self._min_host_rate = (
            max(1.0 / (self._mean_latency_ms or target_ms or 500.0), presumed_rate)
            / self._active_gateways.max_count
        )

    def _draw_host(self, low: int, high: int, cumulative_weights: list[float]) -> _HostState:
        """Draw a random host from a range of the ready hosts, by their weights."""
        base = cumulative_weights[low - 1] if low else 0.0
        at = base + self._rng.random() * (cumulative_weights[high - 1] - base)
        return self._ready_hosts[min(bisect(cumulative_weights, at, low, high), high - 1)]

    def _pick_host(self, req: _PendingRequest) -> _HostState | None:
        """Pick the best of a few random hosts of the prefix, or of the other hosts if those are busy."""
        if (
            self._trial_hosts[req.class_index]
            and self._now >= self._next_trial_at_ms
            and not req.attempts
            and self._retry_tokens >= 1.0
        ):
            # test an unhealthy or new host with this safe request; a hedged copy follows if it hangs
            trial_host = self._trial_hosts[req.class_index].pop()
            self._next_trial_at_ms = self._now + TRIAL_INTERVAL_MS
            if (
                not trial_host.class_health[req.class_index].in_flight
                and self._may_send(req, trial_host)
                and self._has_warmup_budget(trial_host)
            ):
                return trial_host
        n = self._prefix_size
        best, best_score = (
            self._pick_by_key(req) if self._hash_ring and req.key and not req.attempts else (None, math.inf)
        )
        if best is not None and best_score <= 0.0:
            return best
        # a host with no more than the mean number of requests in flight is not busy
        busy = max(len(self._in_flight) / max(n, 1), 1.0)
        for low, high in ((0, n), (n, len(self._ready_hosts))):
            seen = 0
            for _ in range(MAX_DRAWS if high > low else 0):
                server = self._draw_host(low, high, self._cumulative_weights[req.class_index])
                if server is best or not self._may_send(req, server) or not self._has_warmup_budget(server):
                    continue
                score = self._score(server, req.class_index)
                if score < best_score:
                    best, best_score = server, score
                seen += server.in_flight < busy
                if seen >= CANDIDATE_COUNT:
                    break
            if best is not None and best.in_flight <= busy:
                return best
        if best is None and req.attempts:  # a retry may be limited to a small group: check all of it
            ran = next((t.server for t in req.attempts if t.may_have_run), None)
            group = self._hosts_by_cell.get(ran.cell, []) if ran is not None else []
            usable = [s for s in group if self._may_send(req, s) and self._has_warmup_budget(s)]
            best = min(usable, key=lambda s: self._score(s, req.class_index)) if usable else None
        return best

    def _pick_by_key(self, req: _PendingRequest) -> tuple[_HostState | None, float]:
        """Pick a host by consistent hashing, if hosts cache keys and the request has one.

        The key's point on the hash ring selects the same host at every gateway. While that host is loaded,
        the next one on the ring is used, so that a hot key does not overload one host.

        Returns:
            A host with score 0.0 if one is not loaded; else the first possible one with its reduced score,
            which competes with random hosts, or None.
        """
        at = bisect(self._hash_ring_positions, (req.key * 0x9E3779B97F4A7C15 & (1 << 64) - 1) >> 32)
        max_score = MAX_AFFINITY_LOAD_RATIO * (
            1.0 + len(self._in_flight) / max(self._prefix_size, 1) + self._others_in_flight
        )
        first, first_score = None, math.inf
        for k in range(MAX_AFFINITY_CANDIDATES):
            s = self._hash_ring[(at + k) % len(self._hash_ring)]
            if (
                s is not first
                and s.rank < self._prefix_size
                and self._may_send(req, s)
                and self._has_warmup_budget(s)
            ):
                score = self._score(s, req.class_index)
                if score <= max_score:
                    return s, 0.0
                if first is None:
                    first, first_score = s, score * AFFINITY_SCORE_RATIO
        return first, first_score

    def _score(self, s: _HostState, class_index: int) -> float:
        """Expected time of a request at a host in mean service times, from its queue, speed and health."""
        report_weight = (
            math.exp((s.reported_load_at_ms - self._now) / REPORT_DECAY_MS) if s.reported_load_at_ms else 0.0
        )
        health, in_flight = s.class_health[class_index], s.in_flight
        # calls of another class that hang there do not delay this class
        for k, other in enumerate(s.class_health):
            if other is not health and other.in_flight and self._is_unhealthy(s, k):
                in_flight -= other.in_flight
        # Other gateways also prefer fast hosts. If their load were presumed to be even, speed would count
        # twice and fast hosts would be overloaded. At a host that warms up they stay within its budget;
        # presuming as long a queue as elsewhere would leave it idle.
        slowness = max(s.latency_ratio, 1.0 / self._capacity_share(s))
        queue = (
            in_flight
            + report_weight * s.reported_load
            + (1.0 - report_weight) * self._others_in_flight * s.latency_ratio / (slowness * slowness)
        )
        score = (1.0 + queue) * slowness * self._failure_cost(s, class_index)
        if s.zone != self._settings.zone and self._settings.cross_zone_price > 0.0:
            score += min((CROSS_ZONE_SCORE_RATIO - 1.0) * score, MAX_CROSS_ZONE_PENALTY * s.latency_ratio)
        if health.in_flight and self._mean_latency_ms:
            # unresponsive: calls are in flight and none returns. Grows smoothly, so a short pause costs
            # little
            unanswered_ratio = (self._now - health.waiting_since_ms) / (
                UNRESPONSIVE_LATENCY_RATIO * self._mean_latency_ms * max(s.latency_ratio, 1.0)
            )
            score *= 1.0 + unanswered_ratio**3
        return score

    # --- Health, speed and slow start of hosts ----------------------------------------------------------
    def _failure_cost(self, s: _HostState, class_index: int) -> float:
        """Factor by which the failures of a class at a host raise its score."""
        return 1.0 + FAILURE_COST_RATIO * self._health.failure_ratio(
            s.class_health, class_index, s.zone, self._now
        )

    def _is_unhealthy(self, s: _HostState, class_index: int) -> bool:
        return self._health.is_unhealthy(s.class_health, class_index, s.zone, self._now)

    def _update_latency_ratio(self, s: _HostState) -> None:
        """Update a host's latency ratio from its recent responses, else from those of its kind."""
        kind = self._kind_ratio_sums.setdefault(s.kind, [0.0, 0.0])
        keep = math.exp((s.ratio_at_ms - self._now) / SPEED_DECAY_MS)
        s.ratio_sum, s.weight_sum, s.ratio_at_ms = s.ratio_sum * keep, s.weight_sum * keep, self._now
        prior = (kind[0] + PRIOR_WEIGHT) / (kind[1] + PRIOR_WEIGHT)
        s.latency_ratio = min(
            max((s.ratio_sum + PRIOR_WEIGHT * prior) / (s.weight_sum + PRIOR_WEIGHT), MIN_LATENCY_RATIO),
            MAX_LATENCY_RATIO,
        )

    def _record_latency(self, t: _Attempt, ms: float) -> None:
        """Record the latency of one response relative to the mean of its class."""
        if not self._service_times[t.class_index].n:
            return  # the first response of the class has nothing to compare with
        expected_ms = max(self._service_times[t.class_index].ms, 0.1)
        self._mean_service_ms += (expected_ms - self._mean_service_ms) / min(
            self._response_count + 1, EWMA_WINDOW_RESPONSES
        )
        latency_ratio = min(ms / expected_ms, MAX_LATENCY_RATIO)
        # reported service times are better, as they exclude queueing, but they come late
        if not t.server.reports_service_time or latency_ratio > MIN_OUTLIER_RATIO:
            self._add_latency_sample(t.server, latency_ratio, min(expected_ms / self._mean_service_ms, 5.0))

    def _add_latency_sample(self, s: _HostState, latency_ratio: float, weight: float) -> None:
        self._update_latency_ratio(s)
        s.ratio_sum, s.weight_sum = s.ratio_sum + latency_ratio * weight, s.weight_sum + weight
        if s.started_ms <= 0.0 or self._now - s.started_ms >= self._settings.ramp_ms:
            # only warm hosts describe their kind, which is then presumed of those that warm up
            kind, keep = self._kind_ratio_sums[s.kind], 1 - 1 / EWMA_WINDOW_RESPONSES
            kind[0], kind[1] = kind[0] * keep + latency_ratio * weight, kind[1] * keep + weight

    def _record_load_report(self, s: _HostState, report: tuple[float, ...]) -> None:
        """Record a load report, which is late and noisy: the load by other gateways and the service time."""

        def get(field: Field) -> float:
            k = self._report_index.get(field, 99)
            value = report[k] if k < len(report) else math.nan
            return value if 0.0 <= value < 1e6 else math.nan

        in_flight = get(Field.INFLIGHT)
        in_flight = get(Field.QUEUE) if math.isnan(in_flight) else in_flight
        if not math.isnan(in_flight):
            s.reported_load, s.reported_load_at_ms = max(in_flight - s.in_flight, 0.0), self._now
        service = get(Field.SERVICE_MS)
        if service > 0.0:
            s.reports_service_time = True
            self._mean_reported_ms += (service - self._mean_reported_ms) * (
                1 / EWMA_WINDOW_RESPONSES if self._mean_reported_ms else 1.0
            )
            self._add_latency_sample(
                s, min(service / self._mean_reported_ms, MAX_LATENCY_RATIO), REPORT_WEIGHT
            )

    def _capacity_share(self, server: _HostState) -> float:
        """The part of its capacity that a host is guaranteed to have now: it grows while it warms up."""
        if server.started_ms <= 0.0 or self._settings.ramp_ms <= 0:
            return 1.0
        age = min(max((self._now - server.started_ms) / self._settings.ramp_ms, 0.0), 1.0)
        return self._settings.cold_from + (1.0 - self._settings.cold_from) * age

    def _has_warmup_budget(self, server: _HostState) -> bool:
        """Rule 4: whether a host that warms up may get another request, by a token bucket.

        The tokens accrue at the platform's multiple of the host's capacity share, times the rate that a warm
        host serves for this gateway, times WARMUP_BUDGET_RATIO. All gateways together so stay under the
        multiple of its capacity. The first fill is random, so that gateways that learn of a start at the same
        time do not all send at once.
        """
        if server.started_ms <= 0.0 or self._now - server.started_ms >= self._settings.ramp_ms:
            return True
        if server.tokens_at_ms <= 0.0:
            server.tokens, server.tokens_at_ms = self._rng.random(), self._now
        rate = (
            self._settings.fall_multiple
            * WARMUP_BUDGET_RATIO
            * self._capacity_share(server)
            * max(self._peak_host_rate, self._min_host_rate)
        )
        server.tokens += (self._now - server.tokens_at_ms) * rate
        server.tokens = min(server.tokens, max(1.0, rate * self._settings.fall_ms / 2))
        server.tokens_at_ms = self._now
        return server.tokens >= 1.0

    # --- Admission --------------------------------------------------------------------------------------
    def _request(self, event: Request) -> None:
        self._arrived_in_period += 1
        if event.id in self._pending:
            return
        if not 0 <= event.class_index < len(self._settings.classes):
            self._actions.append(Fail(event.id))
            return
        cls = self._settings.classes[event.class_index]
        req = _PendingRequest(
            event, replace(cls, effect=Effect.UNSAFE) if event.non_idempotent else cls, self._now
        )
        self._pending[req.id] = req
        self._retry_tokens = min(self._retry_tokens + RETRY_BUDGET_RATIO, MAX_RETRY_TOKENS)
        over = self._is_over_allowance(event.tenant)
        self._arrival_mix[req.class_index][over] += 1.0
        shed = (
            self._shed_ratios[req.class_index][over]
            if len(self._in_flight) < self._in_flight_limit
            else MAX_SHED_RATIO
        )
        if self._shed_level > 0.0 and self._rng.random() < shed:
            self._reject_or_fail(req)
            return
        self._schedule(req.due_ms, self._deadline_reached, req)
        self._dispatch(req)

    def _is_over_allowance(self, tenant: int) -> bool:
        """Whether a request exceeds this gateway's part of its tenant's allowance."""
        if tenant >= len(self._settings.tenants):
            return False
        rate = self._active_gateways.part_of(tenant, self._settings.tenants[tenant].allowance_per_s / 1000)
        bucket = self._allowance_buckets[tenant]
        tokens = min(bucket[0] + (self._now - bucket[1]) * rate, max(rate * ALLOWANCE_BURST_MS, 1.0))
        over = tokens < 1.0
        bucket[0], bucket[1] = tokens - (not over), self._now
        return over

    def _update_shedding(self) -> None:
        """Adapt load shedding to the ratio of late and overdue responses.

        Without it, queues in front of the hosts would make every response late, and clients' retries would
        keep it so after the cause has ended. Requests worth least for their work are rejected first.
        """
        targets_ms = [c.latency_target_ms for c in self._settings.classes]
        stuck = 0  # overdue attempts at unhealthy hosts, which do not queue at the other hosts
        for t in self._in_flight.values():
            if not t.late and self._now - t.started_at_ms > targets_ms[t.class_index]:
                t.late = True  # counted once: a few unresponsive hosts hold many, while others have capacity
                if not self._is_unhealthy(t.server, t.class_index):
                    self._late_count += 1.0
                    self._judged_count += 1.0
            stuck += t.late and self._is_unhealthy(t.server, t.class_index)
        late_ratio = self._late_ratio = self._late_count / max(self._judged_count, 3.0)
        self._late_count, self._judged_count = self._late_count / 2, self._judged_count / 2
        gain = SHED_GAIN * min(SIZING_PERIOD_MS / max(min(targets_ms), 1.0), 1.0)
        fast = late_ratio <= FAST_DECAY_LATE_RATIO * TOLERATED_LATE_RATIO * self._marginal_worth
        level = self._shed_level * (1 - (FAST_SHED_DECAY_RATIO if fast else SHED_DECAY_RATIO)) - 0.002
        level += gain * max(late_ratio - TOLERATED_LATE_RATIO * self._marginal_worth, 0.0)
        self._shed_level = min(max(level, 0.0), MAX_SHED_RATIO)
        arrivals = max(sum(map(sum, self._arrival_mix)), 1.0)
        target_ms = sum(sum(m) * a for m, a in zip(self._arrival_mix, targets_ms, strict=True)) / arrivals
        # by Little's law so many requests in flight complete within that part of the latency target
        capacity = self._completion_rate * IN_FLIGHT_TARGET_RATIO * target_ms
        self._in_flight_limit = capacity + 2 * math.sqrt(capacity) + 2.0 + stuck
        ranks = []
        for k, cls in enumerate(self._settings.classes):
            ms = max(self._service_times[k].ms, 0.1)
            for over in (0, 1):
                worth = cls.worth * (self._settings.over_share_worth if over else 1.0)
                worth /= 1.0 if self._settings.worth_by_work else ms
                ranks.append((worth, k, over, self._arrival_mix[k][over] * ms))
                self._arrival_mix[k][over] *= 0.8
        ranks.sort()
        total = sum(r[3] for r in ranks)
        mean = sum(r[0] * r[3] for r in ranks) / max(total, 0.1)
        remaining, margin = self._shed_level * total, 0.0
        for worth, k, over, work in ranks:
            if work > 0.05 * total and (remaining > 0.001 * total or not margin):  # shed next
                margin = min(max(worth / max(mean, 1e-9), 0.2), 1.0)
            self._shed_ratios[k][over] = min(remaining / work, MAX_SHED_RATIO) if work > 0.0 else 0.0
            remaining -= self._shed_ratios[k][over] * work
        self._marginal_worth = margin or 1.0

    # --- Attempts and retries ---------------------------------------------------------------------------
    def _may_send(self, req: _PendingRequest, server: _HostState) -> bool:
        """Rules 2 and 3: may this request be sent to this host now?"""
        if not server.ready:
            return False
        first = None
        for t in req.attempts:
            if t.pending and not self._settings.parallel_tries:
                return False
            if t.may_have_run and first is None:
                first = t
        if first is None or req.request_class.effect is Effect.SAFE:
            return True
        if (
            req.request_class.effect is Effect.UNSAFE
            or self._now - first.started_at_ms >= req.request_class.window_ms
        ):
            return False
        was, zone = first.server, req.request_class.scope is Scope.ZONE
        return req.request_class.scope is Scope.ALL or (
            server.zone == was.zone if zone else server.cell == was.cell
        )

    def _may_reject(self, req: _PendingRequest) -> bool:
        """Rule 2: whether a retry by the client certainly does no harm."""
        ran = [t for t in req.attempts if t.may_have_run]
        if not ran or req.request_class.effect is Effect.SAFE:
            return True
        keyed_all = req.request_class.effect is Effect.KEYED and req.request_class.scope is Scope.ALL
        return keyed_all and self._now - ran[0].started_at_ms < req.request_class.window_ms

    def _reject_or_fail(self, req: _PendingRequest) -> None:
        """End a pending request: rejected if that is safe, otherwise failed."""
        del self._pending[req.id]
        wait = (
            self._settings.max_retry_after_ms
            if self._settings.retry_after and self._shed_level > 0.0
            else 0.0
        )
        self._actions.append(Refuse(req.id, wait) if self._may_reject(req) else Fail(req.id))

    def _deadline_reached(self, req: _PendingRequest) -> None:
        """Rule 1: a request that is still pending at its deadline gets its final response."""
        if req.id in self._pending and self._now >= req.due_ms:
            self._reject_or_fail(req)

    def _dispatch(self, req: _PendingRequest) -> None:
        """Send a pending request to a host, wait for a host, or end the request."""
        if req.id not in self._pending:
            return
        server = (
            self._pick_host(req)
            if len(req.attempts) < self._settings.max_attempts and self._now < req.due_ms
            else None
        )
        if server is not None:
            self._send(req, server)
        elif not any(t.pending for t in req.attempts):
            attempts_left = len(req.attempts) < self._settings.max_attempts
            end = (
                req.due_ms
                if req.reached_host
                else req.received_at_ms + UNSENT_TIMEOUT_RATIO * (req.due_ms - req.received_at_ms)
            )
            if (
                attempts_left
                and self._ready_hosts
                and self._now + HOST_WAIT_MS < end
                and self._may_reject(req)
            ):
                self._schedule(self._now + HOST_WAIT_MS, self._dispatch, req)
            else:
                # Rejections count as late only once a request has used up its attempts: a host may reject
                # requests with an empty queue, which does not show that all hosts are overloaded.
                self._late_count += 1.0
                self._judged_count += 1.0
                self._reject_or_fail(req)

    def _send_hedge(self, late: _Attempt) -> None:
        """Send a hedged copy of a safe request whose attempt is overdue at an unhealthy host.

        An overloaded fleet gets none, as no host counts as unhealthy then. Copies use the retry budget.
        """
        req, unhealthy = self._pending.get(late.request_id), self._is_unhealthy(late.server, late.class_index)
        if req is None or not unhealthy or not self._settings.parallel_tries or self._retry_tokens < 1.0:
            return
        if (
            req.request_class.effect is Effect.SAFE
            and len(req.attempts) < self._settings.max_attempts
            and self._now < req.due_ms
        ):
            server = self._pick_host(req)
            if server is not None and all(t.server is not server for t in req.attempts):
                self._retry_tokens -= 1.0
                self._send(req, server)

    def _send(self, req: _PendingRequest, server: _HostState) -> None:
        t = _Attempt(server, math.inf if req.body_incomplete else self._now, req)
        if not req.body_incomplete:
            self._health.sent(t)
        self._in_flight[req.id, len(req.attempts)] = t
        req.attempts.append(t)
        server.in_flight += 1
        mean = max(self._mean_latency_ms, 0.1)  # also the cost of a class without any response yet
        server.tokens -= min(max((self._service_times[req.class_index].ms or mean) / mean, 0.2), 5.0)
        self._actions.append(Send(req.id, server.id, max(req.due_ms - self._now, 0.001)))

    def _ended(self, event: Ended) -> None:
        t = self._in_flight.pop((event.id, event.attempt), None)
        if t is None:
            return
        t.may_have_run = event.outcome not in (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT)
        server = t.server
        server.in_flight -= 1
        if not server.listed and server.in_flight <= 0:
            self._servers.pop(server.id, None)
        req = self._pending.get(event.id)
        unhealthy = self._is_unhealthy(server, t.class_index)
        if t.started_at_ms < math.inf:  # else it ended before the body was complete, which is no evidence
            self._health.ended(t, event.outcome, self._now)
        if not unhealthy and event.outcome is Outcome.OK:  # a call that hung is no measure of speed
            self._record_latency(t, event.elapsed_ms)
        t.pending, uncounted = False, (Outcome.CANCELLED, Outcome.MOOT, Outcome.FULL)  # FULL: see _dispatch
        if not t.late and t.started_at_ms < math.inf and not unhealthy and event.outcome not in uncounted:
            self._judged_count += 1.0
            late = event.elapsed_ms > self._settings.classes[t.class_index].latency_target_ms
            self._late_count += late or event.outcome is Outcome.TIMEOUT
        if event.report:
            self._record_load_report(server, event.report)
        if event.outcome is Outcome.OK:
            self._served_in_period += 1
            if not unhealthy:
                self._service_times[t.class_index].add(event.elapsed_ms)
                work, health = self._service_times[t.class_index], self._health
                health.mean_ms[t.class_index], health.response_counts[t.class_index] = work.ms, work.n
                self._update_latency_model(event, req)
        elif (
            event.outcome in (Outcome.FULL, Outcome.UNCONNECTED)
            and event.elapsed_ms < self._mean_latency_ms / 2
        ):
            self._mean_rejection_ms += (event.elapsed_ms - self._mean_rejection_ms) * 0.05
        if req is None:
            return
        req.reached_host = req.reached_host or event.outcome not in (Outcome.UNCONNECTED, Outcome.MOOT)
        if event.final:
            self._abandon(req)
        elif event.outcome is not Outcome.OK and not any(x.pending for x in req.attempts):
            if event.outcome not in (Outcome.UNCONNECTED, Outcome.MOOT):  # the host had to handle it
                self._retry_tokens -= REJECTION_FAILURE_WEIGHT if event.outcome is Outcome.FULL else 1.0
            if self._retry_tokens < 0.0:
                self._reject_or_fail(req)
            else:
                self._schedule(self._now + MIN_RETRY_INTERVAL_MS, self._dispatch, req)

    def _update_latency_model(self, event: Ended, req: _PendingRequest | None) -> None:
        """Feed a response into the latency model; a late one triggers a new sizing of the prefix."""
        self._response_count += 1
        self._mean_latency_ms += (event.elapsed_ms - self._mean_latency_ms) / min(
            self._response_count, EWMA_WINDOW_RESPONSES
        )
        # the best mean so far rises slowly, so that a lucky one does not stay
        if self._response_count >= EWMA_WINDOW_RESPONSES:
            self._best_latency_ms = max(min(self._best_latency_ms * 1.0005, self._mean_latency_ms), 0.01)
        if req is None:
            return
        target_ms = req.request_class.latency_target_ms or 5 * self._mean_latency_ms
        self._latency_samples.append((event.elapsed_ms, max(target_ms, 1.0)))
        if (
            self._now - req.received_at_ms > target_ms
            and self._now - self._sized_at_ms >= LATE_SIZING_INTERVAL_MS
        ):
            self._resize()

    def _abandon(self, req: _PendingRequest) -> None:
        """Drop a request that needs no further response, and cancel its pending attempts."""
        del self._pending[req.id]
        if self._settings.may_cancel:
            self._actions += [Cancel(req.id, k) for k, t in enumerate(req.attempts) if t.pending]

    def _abandoned(self, event: Abandoned) -> None:
        if event.id in self._pending:
            self._abandon(self._pending[event.id])

    def _body_complete(self, event: BodyComplete) -> None:
        """The body of a request is complete: its pending attempt counts from now."""
        req = self._pending.get(event.id)
        if req is not None:
            req.body_incomplete, req.due_ms = False, event.due_ms
            self._schedule(event.due_ms, self._deadline_reached, req)
        t = self._in_flight.get((event.id, event.attempt))
        if t is not None:
            t.started_at_ms = self._now
            self._health.sent(t)

    def _first_byte(self, event: FirstByte) -> None:
        """A streamed response has started: the request needs no deadline and no response from here."""
        self._pending.pop(event.id, None)

    # --- Discovery --------------------------------------------------------------------------------------
    def _hosts(self, event: Hosts) -> None:
        if event.view is View.FAILED:
            self._discovery_failures += 1
            wait = self._settings.must_ask_in_ms * min(0.1 * 2**self._discovery_failures, 1.0)
            self._schedule(self._now + wait * (0.5 + 0.5 * self._rng.random()), self._subscribe, None)
            return
        self._discovery_failures = self._discovery_failures if event.view is View.CACHED else 0
        if event.view is not View.DELTA:
            for server in self._servers.values():
                server.listed = server.ready = False
        for host in event.hosts:
            self._update_host(host)
        for server in [s for s in self._servers.values() if not s.listed and s.in_flight <= 0]:
            del self._servers[server.id]
        order = sorted((s for s in self._servers.values() if s.ready), key=lambda s: s.id)
        uses_all_hosts = self._prefix_size >= len(self._ready_hosts)
        self._ready_hosts, self._prefix.size = (
            order,
            len(order) if uses_all_hosts else min(self._prefix_size, len(order)),
        )
        self._health_rows = [(s.class_health, s.zone) for s in order]
        self._hosts_by_cell = {}
        if self._settings.warm_keys:
            ring = sorted((crc32(s.id + bytes([k])), s.id) for s in order for k in range(HASH_RING_POINTS))
            self._hash_ring_positions = [at for at, _ in ring]
            self._hash_ring = [self._servers[hid] for _, hid in ring]
        for rank, server in enumerate(order):
            server.rank = rank
            self._hosts_by_cell.setdefault(server.cell, []).append(server)
        self._update_weights()

    def _update_host(self, host: Host) -> None:
        server = self._servers.get(host.id)
        if server is None:
            server = self._servers[host.id] = _HostState(host, self._health.new_host())
        server.zone, server.kind, server.cell = host.zone, host.kind, host.cell
        server.listed, server.ready = host.state is not State.GONE, host.state is State.READY
        # an update without a start time (0) does not replace a known start time
        if host.started_ms != server.started_ms and not host.started_ms <= 0.0 < server.started_ms:
            if server.started_ms >= 0.0:
                server.forget()
            server.started_ms, server.tokens_at_ms = host.started_ms, 0.0

    def _subscribe(self, _: None) -> None:
        self._actions.append(Watch(True))

    def diagnostics(self) -> tuple[dict[str, float], list[bool], Any, Any]:
        """The balancer's state for the status page; changes nothing.

        Returns:
            Figures by name; by class, whether the fleet is overloaded; an iterator over the pending requests
            (class, time received); an iterator over the ready hosts (id, in the prefix, capacity share,
            latency ratio, HealthTracker.diagnostics).
        """
        figures = {"prefix": self._prefix_size, "c": self._prefix.slots, "shedding": self._shed_level,
                   "late": self._late_ratio, "mean_ms": self._mean_latency_ms,
                   "repeats": self._retry_tokens}  # fmt: skip
        pending, rows = list(self._pending.values()), self._health.diagnostics
        return (
            figures,
            list(self._health.fleet_overloaded),
            ((r.class_index, r.received_at_ms) for r in pending),
            (
                (s.id, s.rank < self._prefix_size, self._capacity_share(s), s.latency_ratio,
                 rows(s.class_health, s.zone, self._now))
                for s in self._ready_hosts
            ),
        )  # fmt: skip
