"""Two policies from published descriptions: Envoy's outlier detection, and Prequal.

Both are implemented from their descriptions, without copied code, and each constant names its source. Where a
description leaves something open, or the simulated world lacks a signal, the doc comment says what replaces
it. Nothing here is tuned.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import deque
from collections.abc import Sequence
from statistics import median

from granitewell.balancing.interface import Ended, Field, Outcome, Probe, ProbeEnded, Settings
from granitewell.lab.simulation.policies import PendingRequest, SimplePolicy

# --- Envoy: configuration reference of cluster.v3.OutlierDetection, defaults ---
CONSECUTIVE_5XX = 5
INTERVAL_MS = 10_000.0
BASE_EJECTION_MS = 30_000.0  # multiplied by the number of consecutive ejections,
MAX_EJECTION_MS = 300_000.0  # up to this
MAX_EJECTED_RATIO = 0.10  # of the hosts; one always may be
STDEV_FACTOR = 1.9
MIN_HOSTS = 5
REQUEST_VOLUME = 100
CHOICES = 2  # LEAST_REQUEST, choice_count
PANIC_THRESHOLD_RATIO = (
    0.5  # healthy_panic_threshold: with fewer healthy than this all hosts count as healthy
)

# --- Prequal: Wydra, Bartlett et al., "Load is not what you should balance", NSDI 2024, sections 4 and 5 ---
POOL_SIZE = 16  # probes kept
PROBE_RATE = 3.0  # r_probe, probes for each request
REMOVE_RATE = 1.0  # r_remove, probes removed for each request, besides those used up
DELTA = 1.0  # net rate of growth of the pool, in the formula for reuse
MAX_PROBE_AGE_MS = 1_000.0  # after which a probe is removed
Q_RIF = 0.84  # quantile of requests in flight beyond which a host is hot (2^-0.25)
RECENT_RIF_SAMPLES = (
    64  # figures of requests in flight that the quantile is taken over; the paper says only "recent"
)
MAX_ANSWER_SAMPLES = 16  # of a host, from which its latency is estimated,
NEAREST_ANSWER_SAMPLES = 5  # by the median of those that were sent at the figure nearest to the present one


class _OutlierState:
    """The detector's state of one host."""

    __slots__ = ("consecutive_failures", "ejected_ms", "ejections", "failed", "ejected", "total")

    def __init__(self) -> None:
        self.consecutive_failures = 0  # 5xx in a row
        self.total = self.failed = 0  # in this interval
        self.ejected = False
        self.ejected_ms = 0.0
        self.ejections = 0


class EnvoyOutlier(SimplePolicy):
    """Least request of two random hosts, with Envoy's outlier detection.

    Failed connections, resets and time-outs count as 5xx (split_external_local_origin_errors off), so does a
    rejection by the host. The interval ends at the first event after its time.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._outlier_states: dict[bytes, _OutlierState] = {}
        self._next_ms = -1.0

    def choose(self, pending: PendingRequest) -> bytes:
        """The one of two random hosts with fewer of this node's requests in flight."""
        self._interval()
        hosts = self.alternatives(pending)
        healthy = [h for h in hosts if not self._state_of(h.id).ejected]
        if len(healthy) < PANIC_THRESHOLD_RATIO * len(hosts):
            healthy = hosts
        drawn = [healthy[int(self.rng.random() * len(healthy))].id for _ in range(CHOICES)]
        return min(drawn, key=lambda h: self.inflight.get(h, 0))

    def on_attempt_ended(self, event: Ended) -> None:
        """Update the detector's counters."""
        if event.outcome is Outcome.CANCELLED:
            return
        state, failed = self._state_of(event.host), event.outcome is not Outcome.OK
        state.total += 1
        state.failed += failed
        state.consecutive_failures = state.consecutive_failures + 1 if failed else 0
        if state.consecutive_failures >= CONSECUTIVE_5XX:
            state.consecutive_failures = 0
            self._eject(state)

    def on_host_removed(self, host: bytes) -> None:
        """Drop the state of the host's previous process."""
        self._outlier_states.pop(host, None)

    def _state_of(self, host: bytes) -> _OutlierState:
        state = self._outlier_states.get(host)
        if state is None:
            state = self._outlier_states[host] = _OutlierState()
        return state

    def _eject(self, state: _OutlierState) -> None:
        ejected = sum(self._state_of(h.id).ejected for h in self.ready)
        if not state.ejected and (ejected == 0 or ejected + 1 <= MAX_EJECTED_RATIO * len(self.ready)):
            state.ejected, state.ejected_ms = True, self.now
            state.ejections += 1

    def _interval(self) -> None:
        if self._next_ms < 0.0:
            self._next_ms = self.now + INTERVAL_MS
        if self.now < self._next_ms:
            return
        self._next_ms = self.now + INTERVAL_MS
        for host in self.ready:
            state = self._state_of(host.id)
            if not state.ejected:
                state.ejections = max(state.ejections - 1, 0)
            elif self.now - state.ejected_ms >= min(BASE_EJECTION_MS * state.ejections, MAX_EJECTION_MS):
                state.ejected = False
        self._eject_low_success_rates()
        for host in self.ready:
            state = self._state_of(host.id)
            state.total = state.failed = 0

    def _eject_low_success_rates(self) -> None:
        """Ejects hosts whose success rate is too far below the mean of those with enough requests."""
        state = [self._state_of(h.id) for h in self.ready]
        candidates = [s for s in state if s.total >= REQUEST_VOLUME and not s.ejected]
        if len(candidates) < MIN_HOSTS:
            return
        rates = [1.0 - s.failed / s.total for s in candidates]
        mean = sum(rates) / len(rates)
        stdev = math.sqrt(sum((r - mean) ** 2 for r in rates) / len(rates))
        for s, rate in zip(candidates, rates, strict=True):
            if rate < mean - STDEV_FACTOR * stdev:
                self._eject(s)


class _PooledProbe:
    """One probe in the pool."""

    __slots__ = ("at", "host", "latency", "rif", "uses")

    def __init__(self, host: bytes, rif: float, latency: float, at: float, uses: float) -> None:
        self.host, self.rif, self.latency, self.at, self.uses = host, rif, latency, at, uses


class Prequal(SimplePolicy):
    """Prequal: asynchronous probes and the hot-cold lexicographic rule.

    Of the pool of probed hosts it takes the cold one with the least latency, else the one with the fewest
    requests in flight.

    Here answers carry load reports, and probes have a price and a cap. So a probe of a host whose last report
    is younger than a probe may get is answered from that report; only to others a real probe goes out, and
    where none may, this node's own counts take its place. Requests in flight are the report's `inflight`, or
    its `queue` and our own attempts there. Latency is estimated as the paper's servers do it, from recent
    answers by the requests in flight at their arrival, but with what this node has seen itself.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._pool: list[_PooledProbe] = []
        self._field = {f: k for k, f in enumerate(settings.report_fields)}
        self._reports: dict[bytes, tuple[float, tuple[float, ...]]] = {}  # host: when, its last report
        self._answers: dict[bytes, deque[tuple[int, float]]] = {}  # host: (in flight when sent, ms)
        self._sent: dict[tuple[int, int], int] = {}
        self._rifs: deque[float] = deque(maxlen=RECENT_RIF_SAMPLES)
        self._sorted: list[float] = []
        self._probes_due = self._removals_due = 0.0
        self._worst_next = False

    def choose(self, pending: PendingRequest) -> bytes:
        """Choose by the pool, or a random host with fewer than two usable probes, as in the paper."""
        self._update_pool()
        hosts = self.alternatives(pending)
        allowed = {h.id for h in hosts}
        pool = [s for s in self._pool if s.host in allowed]
        if len(pool) < 2:
            return hosts[int(self.rng.random() * len(hosts))].id
        limit = self._hot_threshold()
        cold = [s for s in pool if s.rif <= limit]
        best = min(cold, key=lambda s: s.latency) if cold else min(pool, key=lambda s: s.rif)
        best.uses -= 1.0
        if best.uses <= 0.0:
            self._pool.remove(best)
        for s in self._pool:
            if s.host == best.host:
                s.rif += 1.0  # we add a request there ourselves
        return best.host

    def on_sending(self, pending: PendingRequest, host: bytes) -> None:
        """Remember the requests in flight there when this attempt is sent."""
        self._sent[pending.request.id, pending.attempts] = self.inflight.get(host, 0)

    def on_attempt_ended(self, event: Ended) -> None:
        """Record an answer's latency and load report."""
        rif = self._sent.pop((event.id, event.attempt), 0)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            answers = self._answers.setdefault(event.host, deque(maxlen=MAX_ANSWER_SAMPLES))
            answers.append((rif, event.elapsed_ms))
        if event.report:
            self._reports[event.host] = self.now, event.report

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Record a probe's result; a failed probe has none."""
        if event.outcome is Outcome.OK:
            self._reports[event.host] = self.now, event.report
            self._add(event.host, event.report)

    def on_host_removed(self, host: bytes) -> None:
        """Drop everything known of the host."""
        self._pool = [s for s in self._pool if s.host != host]
        self._answers.pop(host, None)
        self._reports.pop(host, None)

    def _figure(self, report: Sequence[float], field: Field) -> float:
        k = self._field.get(field, 99)
        return report[k] if k < len(report) else math.nan

    def _add(self, host: bytes, report: tuple[float, ...]) -> None:
        own = float(self.inflight.get(host, 0))
        rif = self._figure(report, Field.INFLIGHT)
        if math.isnan(rif):
            queue = self._figure(report, Field.QUEUE)
            rif = own if math.isnan(queue) else own + queue
        if len(self._rifs) == RECENT_RIF_SAMPLES:
            self._sorted.remove(self._rifs[0])
        self._rifs.append(rif)
        insort(self._sorted, rif)
        self._pool.append(_PooledProbe(host, rif, self._latency(host, own), self.now, self._reuse()))
        if len(self._pool) > POOL_SIZE:
            self._pool.pop(0)

    def _latency(self, host: bytes, rif: float) -> float:
        """Estimated latency there with this many requests in flight; 0 if unknown."""
        nearest = sorted(self._answers.get(host, ()), key=lambda a: (abs(a[0] - rif), a[1]))[
            :NEAREST_ANSWER_SAMPLES
        ]
        return median(ms for _, ms in nearest) if nearest else 0.0

    def _reuse(self) -> float:
        """b_reuse: how often a probe may be used (equation 1 of the paper)."""
        room = (1.0 - min(POOL_SIZE / max(len(self.ready), 1), 1.0)) * PROBE_RATE - REMOVE_RATE
        return max(1.0, (1.0 + DELTA) / room) if room > 0.0 else float(POOL_SIZE)

    def _hot_threshold(self) -> float:
        """The number of requests in flight beyond which a host is hot."""
        ranked = self._sorted
        return ranked[min(int(Q_RIF * len(ranked)), len(ranked) - 1)] if ranked else math.inf

    def _update_pool(self) -> None:
        """Send and remove probes at their rates per request."""
        self._pool = [s for s in self._pool if self.now - s.at < MAX_PROBE_AGE_MS]
        self._removals_due += REMOVE_RATE
        while self._removals_due >= 1.0:
            self._removals_due -= 1.0
            self._drop_one()
        self._probes_due += PROBE_RATE
        while self._probes_due >= 1.0:
            self._probes_due -= 1.0
            self._probe(self.ready[int(self.rng.random() * len(self.ready))].id)

    def _probe(self, host: bytes) -> None:
        at, report = self._reports.get(host, (-math.inf, ()))
        if self.now - at < MAX_PROBE_AGE_MS:
            self._add(host, report)
        elif self.settings.may_probe:
            self.actions.append(Probe(host))
        else:
            self._add(host, ())

    def _drop_one(self) -> None:
        """Remove the worst and the oldest in turn; worst: hot with the most in flight, else the slowest."""
        self._worst_next = not self._worst_next
        if len(self._pool) < 2:
            return
        if not self._worst_next:
            self._pool.pop(0)
            return
        limit = self._hot_threshold()
        hot = [s for s in self._pool if s.rif > limit]
        worst = max(hot, key=lambda s: s.rif) if hot else max(self._pool, key=lambda s: s.latency)
        self._pool.remove(worst)
