"""Two policies from published descriptions: Envoy's outlier detection, and Prequal.

It owns these two and their figures, each with its source. They are written anew from the descriptions, with
no code taken over. Where a description leaves something open, or our world lacks a signal, the docstring says
what was put in its place. Nothing here is tuned.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import deque
from collections.abc import Sequence
from statistics import median

from granitewell.balancing.interface import Ended, Field, Outcome, Probe, ProbeEnded, Settings
from granitewell.lab.simulation.policies import Held, Plain

# --- Envoy: configuration reference of cluster.v3.OutlierDetection, defaults ---
CONSECUTIVE_5XX = 5
INTERVAL_MS = 10_000.0
BASE_EJECTION_MS = 30_000.0  # times the number of ejections in a row,
MAX_EJECTION_MS = 300_000.0  # up to this
MAX_EJECTED = 0.10  # of the hosts; one always may be
STDEV_FACTOR = 1.9
MIN_HOSTS = 5
REQUEST_VOLUME = 100
CHOICES = 2  # LEAST_REQUEST, choice_count
PANIC = 0.5  # healthy_panic_threshold: with fewer healthy than this all hosts count as healthy

# --- Prequal: Wydra, Bartlett et al., "Load is not what you should balance", NSDI 2024, sections 4 and 5 ---
POOL = 16  # probes kept
PROBE_RATE = 3.0  # r_probe, probes for each request
REMOVE_RATE = 1.0  # r_remove, probes removed for each request, besides those used up
DELTA = 1.0  # net rate of growth of the pool, in the formula for reuse
AGE_MS = 1_000.0  # after which a probe is removed
Q_RIF = 0.84  # quantile of requests in flight beyond which a host is hot (2^-0.25)
RECENT = 64  # figures of requests in flight that the quantile is taken over; the paper says only "recent"
ANSWERS = 16  # of a host, from which its latency is estimated,
NEAREST = 5  # by the median of those that were sent at the figure nearest to the present one


class _Outlier:
    """What the detector knows of one host."""

    __slots__ = ("bad", "ejected_ms", "ejections", "failed", "out", "total")

    def __init__(self) -> None:
        self.bad = 0  # 5xx in a row
        self.total = self.failed = 0  # in this interval
        self.out = False
        self.ejected_ms = 0.0
        self.ejections = 0


class EnvoyOutlier(Plain):
    """Least request of two random hosts, with Envoy's outlier detection.

    Failed connections, resets and time-outs count as 5xx (split_external_local_origin_errors off), so does a
    host that turns away. The interval's work is done at the first event after its end.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._seen: dict[bytes, _Outlier] = {}
        self._next_ms = -1.0

    def choose(self, held: Held) -> bytes:
        """The one of two with fewer requests of ours."""
        self._interval()
        hosts = self.others(held)
        healthy = [h for h in hosts if not self._of(h.id).out]
        if len(healthy) < PANIC * len(hosts):
            healthy = hosts
        drawn = [healthy[int(self.rng.random() * len(healthy))].id for _ in range(CHOICES)]
        return min(drawn, key=lambda h: self.inflight.get(h, 0))

    def saw(self, event: Ended) -> None:
        """Counts what the detector counts."""
        if event.outcome is Outcome.CANCELLED:
            return
        seen, failed = self._of(event.host), event.outcome is not Outcome.OK
        seen.total += 1
        seen.failed += failed
        seen.bad = seen.bad + 1 if failed else 0
        if seen.bad >= CONSECUTIVE_5XX:
            seen.bad = 0
            self._eject(seen)

    def gone(self, host: bytes) -> None:
        """Forgets what was another process's."""
        self._seen.pop(host, None)

    def _of(self, host: bytes) -> _Outlier:
        seen = self._seen.get(host)
        if seen is None:
            seen = self._seen[host] = _Outlier()
        return seen

    def _eject(self, seen: _Outlier) -> None:
        out = sum(self._of(h.id).out for h in self.ready)
        if not seen.out and (out == 0 or out + 1 <= MAX_EJECTED * len(self.ready)):
            seen.out, seen.ejected_ms = True, self.now
            seen.ejections += 1

    def _interval(self) -> None:
        if self._next_ms < 0.0:
            self._next_ms = self.now + INTERVAL_MS
        if self.now < self._next_ms:
            return
        self._next_ms = self.now + INTERVAL_MS
        for host in self.ready:
            seen = self._of(host.id)
            if not seen.out:
                seen.ejections = max(seen.ejections - 1, 0)
            elif self.now - seen.ejected_ms >= min(BASE_EJECTION_MS * seen.ejections, MAX_EJECTION_MS):
                seen.out = False
        self._judge_success()
        for host in self.ready:
            seen = self._of(host.id)
            seen.total = seen.failed = 0

    def _judge_success(self) -> None:
        """Ejects hosts whose success rate is too far below the mean of those with enough requests."""
        seen = [self._of(h.id) for h in self.ready]
        judged = [s for s in seen if s.total >= REQUEST_VOLUME and not s.out]
        if len(judged) < MIN_HOSTS:
            return
        rates = [1.0 - s.failed / s.total for s in judged]
        mean = sum(rates) / len(rates)
        stdev = math.sqrt(sum((r - mean) ** 2 for r in rates) / len(rates))
        for s, rate in zip(judged, rates, strict=True):
            if rate < mean - STDEV_FACTOR * stdev:
                self._eject(s)


class _Sample:
    """One probe in the pool."""

    __slots__ = ("at", "host", "latency", "rif", "uses")

    def __init__(self, host: bytes, rif: float, latency: float, at: float, uses: float) -> None:
        self.host, self.rif, self.latency, self.at, self.uses = host, rif, latency, at, uses


class Prequal(Plain):
    """Prequal: probes ahead of need, and the hot-cold lexicographic rule.

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
        self._pool: list[_Sample] = []
        self._field = {f: k for k, f in enumerate(settings.report_fields)}
        self._heard: dict[bytes, tuple[float, tuple[float, ...]]] = {}  # host: when, its last report
        self._answers: dict[bytes, deque[tuple[int, float]]] = {}  # host: (in flight when sent, ms)
        self._sent: dict[tuple[int, int], int] = {}
        self._rifs: deque[float] = deque(maxlen=RECENT)
        self._sorted: list[float] = []
        self._due = self._remove = 0.0
        self._worst_next = False

    def choose(self, held: Held) -> bytes:
        """By the pool; with fewer than two usable probes in it, a random host, as the paper has it."""
        self._tend()
        hosts = self.others(held)
        allowed = {h.id for h in hosts}
        pool = [s for s in self._pool if s.host in allowed]
        if len(pool) < 2:
            return hosts[int(self.rng.random() * len(hosts))].id
        limit = self._limit()
        cold = [s for s in pool if s.rif <= limit]
        best = min(cold, key=lambda s: s.latency) if cold else min(pool, key=lambda s: s.rif)
        best.uses -= 1.0
        if best.uses <= 0.0:
            self._pool.remove(best)
        for s in self._pool:
            if s.host == best.host:
                s.rif += 1.0  # we add a request there ourselves
        return best.host

    def sending(self, held: Held, host: bytes) -> None:
        """How many are there when this attempt arrives."""
        self._sent[held.request.id, held.attempts] = self.inflight.get(host, 0)

    def saw(self, event: Ended) -> None:
        """An answer's time, and its report."""
        rif = self._sent.pop((event.id, event.attempt), 0)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            answers = self._answers.setdefault(event.host, deque(maxlen=ANSWERS))
            answers.append((rif, event.elapsed_ms))
        if event.report:
            self._heard[event.host] = self.now, event.report

    def probed(self, event: ProbeEnded) -> None:
        """A probe's end: one that failed brings nothing."""
        if event.outcome is Outcome.OK:
            self._heard[event.host] = self.now, event.report
            self._add(event.host, event.report)

    def gone(self, host: bytes) -> None:
        """What was known of it is of no more use."""
        self._pool = [s for s in self._pool if s.host != host]
        self._answers.pop(host, None)
        self._heard.pop(host, None)

    def _figure(self, report: Sequence[float], field: Field) -> float:
        k = self._field.get(field, 99)
        return report[k] if k < len(report) else math.nan

    def _add(self, host: bytes, report: tuple[float, ...]) -> None:
        own = float(self.inflight.get(host, 0))
        rif = self._figure(report, Field.INFLIGHT)
        if math.isnan(rif):
            queue = self._figure(report, Field.QUEUE)
            rif = own if math.isnan(queue) else own + queue
        if len(self._rifs) == RECENT:
            self._sorted.remove(self._rifs[0])
        self._rifs.append(rif)
        insort(self._sorted, rif)
        self._pool.append(_Sample(host, rif, self._latency(host, own), self.now, self._reuse()))
        if len(self._pool) > POOL:
            self._pool.pop(0)

    def _latency(self, host: bytes, rif: float) -> float:
        """What an answer takes there with so many in flight; 0 while nothing is known."""
        nearest = sorted(self._answers.get(host, ()), key=lambda a: (abs(a[0] - rif), a[1]))[:NEAREST]
        return median(ms for _, ms in nearest) if nearest else 0.0

    def _reuse(self) -> float:
        """b_reuse: how often a probe may be used (equation 1 of the paper)."""
        room = (1.0 - min(POOL / max(len(self.ready), 1), 1.0)) * PROBE_RATE - REMOVE_RATE
        return max(1.0, (1.0 + DELTA) / room) if room > 0.0 else float(POOL)

    def _limit(self) -> float:
        """The figure of requests in flight beyond which a host is hot."""
        ranked = self._sorted
        return ranked[min(int(Q_RIF * len(ranked)), len(ranked) - 1)] if ranked else math.inf

    def _tend(self) -> None:
        """Probes go out and probes leave the pool, both at their rates for each request."""
        self._pool = [s for s in self._pool if self.now - s.at < AGE_MS]
        self._remove += REMOVE_RATE
        while self._remove >= 1.0:
            self._remove -= 1.0
            self._drop_one()
        self._due += PROBE_RATE
        while self._due >= 1.0:
            self._due -= 1.0
            self._probe(self.ready[int(self.rng.random() * len(self.ready))].id)

    def _probe(self, host: bytes) -> None:
        at, report = self._heard.get(host, (-math.inf, ()))
        if self.now - at < AGE_MS:
            self._add(host, report)
        elif self.settings.may_probe:
            self.do.append(Probe(host))
        else:
            self._add(host, ())

    def _drop_one(self) -> None:
        """The worst and the oldest in turn. Worst: the hot one with the most in flight, else the slowest."""
        self._worst_next = not self._worst_next
        if len(self._pool) < 2:
            return
        if not self._worst_next:
            self._pool.pop(0)
            return
        limit = self._limit()
        hot = [s for s in self._pool if s.rif > limit]
        worst = max(hot, key=lambda s: s.rif) if hot else max(self._pool, key=lambda s: s.latency)
        self._pool.remove(worst)
