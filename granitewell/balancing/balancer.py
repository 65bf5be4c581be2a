"""Every decision of the balancer. Types, events and actions: granitewell/balancing/interface.py.

A gateway gives Balancer.handle each event and carries out the actions it returns. Nothing here does
I/O or reads a clock, and instances share nothing. Times are in milliseconds.
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
    Health,
    Pair,
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
# Part of the latency target that a call may be out before its host is suspected, however fast the others are.
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


def _never_asked_for(_: Event) -> None: ...  # probes, and messages between gateways


class _Server:
    """What this gateway knows of one host."""

    __slots__ = ("id", "zone", "kind", "cell", "ready", "listed", "started", "inflight", "tokens",
                 "tokens_at", "num", "den", "at", "ratio", "pairs", "load", "load_at", "reported",
                 "rank")  # fmt: skip

    def __init__(self, host: Host, pairs: list[Pair]) -> None:
        self.id, self.inflight, self.tokens, self.tokens_at = host.id, 0, 0.0, 0.0
        self.pairs = pairs  # its health, by class
        self.zone, self.kind, self.cell = host.zone, host.kind, host.cell
        self.started, self.rank, self.listed, self.ready = -1.0, 0, True, False
        self.forget()

    def forget(self) -> None:
        """A new process: what was learned of the old one does not count."""
        self.num = self.den = self.at = 0.0  # sums behind the ratio, and when they last decayed
        self.ratio = 1.0  # service time against the tier's
        for pair in self.pairs:
            pair.forget()
        self.load = self.load_at = 0.0  # others' requests there by its report, and since when
        self.reported = False  # whether it reports service times


class _Try(Call):
    """One attempt: where and when, and whether it may have run."""

    __slots__ = ("server", "ran", "late", "rid")

    def __init__(self, server: _Server, at: float, req: _Held) -> None:
        super().__init__(server.pairs, req.index, server.zone, at)
        self.server, self.ran, self.late, self.rid = server, True, False, req.id


class _Work:
    """The mean time in ms that a class's answers take."""

    __slots__ = ("n", "ms")

    def __init__(self) -> None:
        self.n = self.ms = 0.0

    def add(self, ms: float) -> None:
        self.n = min(self.n + 1, 2 * EWMA_WINDOW_RESPONSES)
        self.ms += (ms - self.ms) / self.n


class _Held:
    """A request that is still owed its final answer."""

    __slots__ = ("id", "index", "cls", "tenant", "key", "due", "came", "tries", "met", "body_incomplete")

    def __init__(self, event: Request, cls: RequestClass, now: float) -> None:
        self.id, self.cls, self.tenant, self.key = event.id, cls, event.tenant, event.key
        self.index = event.class_index
        self.due = event.due_ms if event.due_ms == event.due_ms else now
        self.came, self.body_incomplete = now, event.body_incomplete  # flows: its body has not come whole
        self.tries: list[_Try] = []
        self.met = False  # a host has had it, even if only to turn it away


class Balancer:
    """The decisions of one gateway: handle(now, event) gives the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        validate(settings)
        self._set, self._rng = settings, Random(seed)
        self._now = -math.inf
        self._do: list[Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            Request: self._request, Ended: self._ended, Timer: self._timer, Abandoned: self._abandoned,
            Hosts: self._hosts, ProbeEnded: _never_asked_for, BodyComplete: self._uploaded,
            ActiveGateways: self._acting, FirstByte: self._first_byte, PeerMessage: _never_asked_for,
            SettingsChanged: self._resettled,
        }  # fmt: skip
        self._held: dict[int, _Held] = {}
        self._out: dict[tuple[int, int], _Try] = {}
        self._health: Health[_Try] = Health((), ())
        self._ill: list[list[_Server]] = []  # by class, where a safe request may find out,
        self._trial_at = -math.inf  # and from when on the next one may
        self._agenda: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._seq, self._armed = 0, math.inf
        # rate forecast
        self._bins: deque[int] = deque(maxlen=FORECAST_PERIODS)
        # latency model
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self._latency, self._rtt, self._answers = 0.0, INITIAL_REJECTION_MS, 0
        self._sized_at, self._prefix = -math.inf, ActivePrefix()
        # hosts
        self._work: list[_Work] = []
        self._unit = self._report_mean = 0.0  # ms, mean part of an answer's time that depends on its host
        self._kinds: dict[int, list[float]] = {}  # kind: sums as for a host
        self._field = {f: k for k, f in enumerate(settings.report_fields)}
        self._cells: dict[int, list[_Server]] = {}
        self._ring: list[_Server] = []  # hosts by their places on the ring of keys
        self._ring_at: list[int] = []
        self._cum: list[list[float]] = []  # by class, odds of the hosts in order, summed up
        self._sound: list[list[float]] = []  # and their health
        self._worth: list[float] = []  # and the hosts that are well for some class, summed up
        self._rows: list[tuple[list[Pair], int]] = []  # the hosts in order, as health takes them
        self._servers: dict[bytes, _Server] = {}
        self._order: list[_Server] = []
        self._floor, self._share_late = math.inf, 0.0
        self._served, self._most, self._warm_rate, self._rate_now = 0, 0, 0.0, 0.0  # most hosts at a time
        self._others = self._least = 0.0  # requests of others at a mean host; what a warm one bears at least
        self._asks, self._arrived, self._started = 0, 0, False
        self._told, self._told_at = (0, 0.0), -math.inf
        # admission
        self._late = self._judged = self._level = self._rate_ok = 0.0
        self._limit = math.inf  # answers a ms, and most in flight while shedding
        self._margin = 1.0  # worth per work of what is shed next, against the mean
        self._mix: list[list[float]] = []  # arrivals inside and beyond allowances
        self._shed: list[list[float]] = []  # odds of being refused
        self._allow: list[list[float]] = []  # by tenant: tokens, and since when
        self._retries = MAX_RETRY_TOKENS
        self._resettled(SettingsChanged(settings))

    def _resettled(self, event: SettingsChanged) -> None:
        """Other settings: what is known of the classes stays, rows for new ones come behind."""
        self._set, self._nodes, kinds = event.settings, event.settings.acting, event.settings.classes
        for row in (self._mix, self._shed):
            row += ([0.0, 0.0] for _ in kinds[len(row) :])
        self._allow += ([0.0, 0.0] for _ in event.settings.tenants[len(self._allow) :])
        self._work += (_Work() for _ in kinds[len(self._work) :])
        self._ill = [[] for _ in kinds]
        self._cum, self._sound = [[] for _ in kinds], [[] for _ in kinds]
        # what keeps well inside the aim hurts nobody, however quick the others are
        self._health.take(
            [c.effect is Effect.SAFE for c in kinds],
            [MIN_PATIENCE_RATIO * c.latency_target_ms for c in kinds],
            (s.pairs for s in self._servers.values()),
        )  # fmt: skip
        self._weigh()

    def _acting(self, event: ActiveGateways) -> None:
        self._nodes = event

    def handle(self, now: float, event: Event) -> list[Action]:
        """The only way in. The clock may stand still; where it steps back, the latest time counts."""
        self._now = max(now, self._now)
        self._do = []
        if not self._started:
            self._started = True
            self._at(self._now + SIZING_PERIOD_MS * self._rng.random(), self._period, None)
            if self._set.must_ask:
                self._at(self._now + self._set.must_ask_in_ms / 2 * self._rng.random(), self._ask, None)
        try:
            self._handlers[type(event)](event)
            for late in self._health.overdue(self._now):  # behind the event: it may end the wait for it
                self._copy(late)
        except Exception as error:  # a defect: what was decided stands, what else is due has its turn soon
            self._armed = self._now + MIN_RETRY_INTERVAL_MS
            raise DecisionError([*self._do, SetTimer(self._armed, 0)]) from error
        return self._do

    # --- Timers: one agenda, one armed timer ------------------------------------------------------------
    def _at(self, when: float, what: Callable[[Any], None], arg: Any) -> None:
        self._seq += 1
        heappush(self._agenda, (when, self._seq, what, arg))
        if when < self._armed:
            self._armed = when
            self._do.append(SetTimer(when, 0))

    def _timer(self, _: Timer) -> None:
        if self._now < self._armed:
            return  # a superseded timer: arming anew here would multiply timers without end
        agenda = self._agenda
        self._armed = math.inf
        while agenda and (agenda[0][0] <= self._now or self._answered(agenda[0])):
            _when, _seq, what, arg = heappop(agenda)
            what(arg)
        if agenda and agenda[0][0] < self._armed:
            self._armed = agenda[0][0]
            self._do.append(SetTimer(self._armed, 0))

    def _answered(self, entry: tuple[float, int, Callable[[Any], None], Any]) -> bool:
        """A deadline whose request has its answer needs no timer."""
        return entry[2] == self._due and entry[3].id not in self._held

    # --- Size of the prefix (4.2 to 4.4): sizing.py -----------------------------------------------------
    @property
    def _size(self) -> int:
        return self._prefix.size

    def _forecast(self) -> float:
        """Requests a ms at this gateway a set-up time ahead."""
        return forecast(self._bins)

    def _model(self, rate: float) -> int:
        """The slots that bear such a rate within the aims."""
        return slots_needed(rate, self._latency, self._rtt, self._samples, len(self._order), self._rng)

    def _resize(self) -> None:
        """Grow the prefix at once, shrink it seldom."""
        self._sized_at = self._now
        need = self._model(BURST_RATIO * self._nodes.up * self._forecast())
        slow = self._latency / self._floor if self._answers >= EWMA_WINDOW_RESPONSES else math.inf
        self._prefix.resize(self._now, need, len(self._order), slow, self._share_late, self._reach)

    def _reach(self, want: float) -> int:
        """The least prefix that holds so many healthy hosts, for each class: a sick one counts for little."""
        return min(max(bisect_left(sound, want - 1e-9) for sound in self._sound) + 1, len(self._order))

    def _period(self, _: None) -> None:
        self._at(
            self._now + SIZING_PERIOD_MS, self._period, None
        )  # first: no defect below may end this for good
        self._bins.append(self._arrived)
        worth = self._worth[self._size - 1] if 0 < self._size <= len(self._worth) else 0.0
        if worth > 0.0:
            self._rate_now += (self._served / SIZING_PERIOD_MS / worth - self._rate_now) * min(
                SIZING_PERIOD_MS / RATE_DECAY_MS, 1.0
            )
            # a warm host bears at least what hosts were seen to bear, each held for warm. It does not fall
            # with the demand, nor where the ill or shedding keep answers away: the cold would get ever less
            self._warm_rate = max(
                self._rate_now, self._warm_rate * (1.0 - SIZING_PERIOD_MS / PEAK_RATE_DECAY_MS)
            )
        self._rate_ok += (self._served / SIZING_PERIOD_MS - self._rate_ok) * 0.2
        self._arrived = self._served = 0
        self._others = (self._nodes.most - 1) * len(self._out) / max(self._size, 1)
        for n, k, pair in self._health.review(self._rows, self._now):
            name = self._order[n].id
            text = name.decode() if name.isascii() and name.decode().isprintable() else name.hex()
            self._do.append(Log(f"class {k} at {text} is {pair.cause.value}: {pair.fail:.0%} of its calls"))
        self._resize()
        self._weigh()
        self._control()
        self._tell()

    def _tell(self) -> None:
        """A line for on call when the prefix or the shedding has changed, once in a while."""
        state = (self._size, round(self._level, 1))
        if state != self._told and self._now - self._told_at >= LOG_INTERVAL_MS:
            self._told, self._told_at = state, self._now
            sick = sum(pair.since > 0.0 for s in self._order for pair in s.pairs)
            self._do.append(Log(
                f"prefix {self._size} of {len(self._order)} hosts, {sick} sick pairs, "
                f"c {self._prefix.slots:.2f}; late {self._share_late:.0%}, shedding {self._level:.0%}, "
                f"mean {self._latency:.0f} ms"
            ))  # fmt: skip

    # --- Pick (4.5) -------------------------------------------------------------------------------------
    def _weigh(self) -> None:
        """The odds of a draw: a host's speed, less its failures, by the share of it that is warm.

        Departure from uniform picks: one mu for all overloads the slow hosts of an unlike fleet. All alike:
        uniform.
        """
        for s in self._order:
            self._refresh(s)
        shares = [self._share(s) for s in self._order]
        speeds = [min(share, 1.0 / s.ratio) for share, s in zip(shares, self._order, strict=True)]
        best = [0.0] * len(shares)
        for k, cls in enumerate(self._set.classes):
            fails = self._health.shares(self._rows, k, self._now)
            well = [1.0 / (1.0 + FAILURE_COST_RATIO * fail) for fail in fails]
            best = list(map(max, best, well))
            self._sound[k] = list(accumulate(well))
            self._cum[k] = list(accumulate(map(mul, speeds, well)))
            if self._set.parallel_tries and cls.effect is Effect.SAFE and not self._health.full[k]:
                ill = [
                    s for s, fail in zip(self._order, fails, strict=True)
                    if (fail > UNHEALTHY_FAILURE_RATIO and s.pairs[k].tried < self._now - TRIAL_INTERVAL_MS)
                    or s.pairs[k].tried < s.started > self._now - self._set.ramp_ms
                ]  # fmt: skip
                self._ill[k] = sorted(ill, key=lambda s: -s.pairs[k].tried)  # last: the longest ago
        self._worth = list(accumulate(best))
        # known or not, a warm host bears one request after the other, and its part of the allowances
        aim, self._most = (
            max(c.latency_target_ms for c in self._set.classes),
            max(self._most, len(self._order)),
        )
        allowed = (
            sum(t.allowance_per_s for t in self._set.tenants)
            / 1000
            * PRESUMED_ALLOWANCE_RATIO
            / max(self._most, 1)
        )
        self._least = max(1.0 / (self._latency or aim or 500.0), allowed) / self._nodes.most

    def _draw(self, low: int, high: int, cum: list[float]) -> _Server:
        """A host of the order's part, by its odds."""
        base = cum[low - 1] if low else 0.0
        at = base + self._rng.random() * (cum[high - 1] - base)
        return self._order[min(bisect(cum, at, low, high), high - 1)]

    def _pick(self, req: _Held) -> _Server | None:
        """The better of a few random hosts of the prefix; behind it when those are busy."""
        if self._ill[req.index] and self._now >= self._trial_at and not req.tries and self._retries >= 1.0:
            ill = self._ill[req.index].pop()  # one safe request finds out; a second copy soon stands in
            self._trial_at = self._now + TRIAL_INTERVAL_MS
            if not ill.pairs[req.index].inflight and self._may_send(req, ill) and self._cold_room(ill):
                return ill
        n = self._size
        best, best_score = self._home(req) if self._ring and req.key and not req.tries else (None, math.inf)
        if best is not None and best_score <= 0.0:
            return best
        busy = max(len(self._out) / max(n, 1), 1.0)  # no more than a mean share of what is out is not busy
        for low, high in ((0, n), (n, len(self._order))):
            seen = 0
            for _ in range(MAX_DRAWS if high > low else 0):
                server = self._draw(low, high, self._cum[req.index])
                if server is best or not self._may_send(req, server) or not self._cold_room(server):
                    continue
                score = self._score(server, req.index)
                if score < best_score:
                    best, best_score = server, score
                seen += server.inflight < busy
                if seen >= CANDIDATE_COUNT:
                    break
            if best is not None and best.inflight <= busy:
                return best
        if best is None and req.tries:  # a repeat may be tied to a small group: look at all of it
            ran = next((t.server for t in req.tries if t.ran), None)
            group = self._cells.get(ran.cell, []) if ran is not None else []
            left = [s for s in group if self._may_send(req, s) and self._cold_room(s)]
            best = min(left, key=lambda s: self._score(s, req.index)) if left else None
        return best

    def _home(self, req: _Held) -> tuple[_Server | None, float]:
        """Departure from random picks, where hosts remember keys and the request has one.

        Its place on a ring of hosts, the same at every gateway, or a next one while that is crowded: no hot
        key makes a hot host.
        """
        at = bisect(self._ring_at, (req.key * 0x9E3779B97F4A7C15 & (1 << 64) - 1) >> 32)
        most = MAX_AFFINITY_LOAD_RATIO * (1.0 + len(self._out) / max(self._size, 1) + self._others)
        first, least = None, math.inf
        for k in range(MAX_AFFINITY_CANDIDATES):
            s = self._ring[(at + k) % len(self._ring)]
            if s is not first and s.rank < self._size and self._may_send(req, s) and self._cold_room(s):
                score = self._score(s, req.index)
                if score <= most:
                    return s, 0.0
                if first is None:
                    first, least = s, score * AFFINITY_SCORE_RATIO
        return first, least

    def _score(self, s: _Server, index: int) -> float:
        """How long a request would take there, in mean service times: the queue and the health as known."""
        fresh = math.exp((s.load_at - self._now) / REPORT_DECAY_MS) if s.load_at else 0.0
        pair, held = s.pairs[index], s.inflight
        for k, other in enumerate(s.pairs):  # what hangs there in another class is no queue before this one
            if other is not pair and other.inflight and self._sick(s, k):
                held -= other.inflight
        # others send by speed too: held for even, their load would count speed twice and swamp fast hosts. At
        # a cold one they keep to its budget: held for as long as elsewhere, the queue would leave it idle
        slow = max(s.ratio, 1.0 / self._share(s))
        queue = held + fresh * s.load + (1.0 - fresh) * self._others * s.ratio / (slow * slow)
        score = (1.0 + queue) * slow * self._cost(s, index)
        if s.zone != self._set.zone and self._set.cross_zone_price > 0.0:
            score += min((CROSS_ZONE_SCORE_RATIO - 1.0) * score, MAX_CROSS_ZONE_PENALTY * s.ratio)
        if pair.inflight and self._latency:
            # hung: it owes answers and gives none. Grows smoothly, so that a short pause costs little
            silent = (self._now - pair.quiet) / (
                UNRESPONSIVE_LATENCY_RATIO * self._latency * max(s.ratio, 1.0)
            )
            score *= 1.0 + silent**3
        return score

    # --- Host health and cold budget --------------------------------------------------------------------
    def _cost(self, s: _Server, index: int) -> float:
        """How many times slower its failures make a host look to a class."""
        return 1.0 + FAILURE_COST_RATIO * self._health.fails(s.pairs, index, s.zone, self._now)

    def _sick(self, s: _Server, index: int) -> bool:
        return self._health.sick(s.pairs, index, s.zone, self._now)

    def _refresh(self, s: _Server) -> None:
        """Its service time against the tier's: what it showed lately, else what its kind shows."""
        kind = self._kinds.setdefault(s.kind, [0.0, 0.0])
        keep = math.exp((s.at - self._now) / SPEED_DECAY_MS)
        s.num, s.den, s.at = s.num * keep, s.den * keep, self._now
        prior = (kind[0] + PRIOR_WEIGHT) / (kind[1] + PRIOR_WEIGHT)
        s.ratio = min(
            max((s.num + PRIOR_WEIGHT * prior) / (s.den + PRIOR_WEIGHT), MIN_LATENCY_RATIO), MAX_LATENCY_RATIO
        )

    def _observe(self, t: _Try, ms: float) -> None:
        """One attempt's time against what its class lets expect."""
        if not self._work[t.cls].n:
            return  # nothing to hold the class's first answer against
        part = max(self._work[t.cls].ms, 0.1)
        self._unit += (part - self._unit) / min(self._answers + 1, EWMA_WINDOW_RESPONSES)
        ratio = min(ms / part, MAX_LATENCY_RATIO)
        if (
            not t.server.reported or ratio > MIN_OUTLIER_RATIO
        ):  # a reported service time is free of the queue, but late
            self._sample(t.server, ratio, min(part / self._unit, 5.0))

    def _sample(self, s: _Server, ratio: float, weight: float) -> None:
        self._refresh(s)
        s.num, s.den = s.num + ratio * weight, s.den + weight
        if s.started <= 0.0 or self._now - s.started >= self._set.ramp_ms:
            kind, keep = (
                self._kinds[s.kind],
                1 - 1 / EWMA_WINDOW_RESPONSES,
            )  # known by its warm hosts: it tells the cold
            kind[0], kind[1] = kind[0] * keep + ratio * weight, kind[1] * keep + weight

    def _hear(self, s: _Server, report: tuple[float, ...]) -> None:
        """A load report, late and noisy: what others have there, and how long it serves."""

        def get(field: Field) -> float:
            k = self._field.get(field, 99)
            value = report[k] if k < len(report) else math.nan
            return value if 0.0 <= value < 1e6 else math.nan

        held = get(Field.INFLIGHT)
        held = get(Field.QUEUE) if math.isnan(held) else held
        if not math.isnan(held):
            s.load, s.load_at = max(held - s.inflight, 0.0), self._now
        service = get(Field.SERVICE_MS)
        if service > 0.0:
            s.reported = True
            self._report_mean += (service - self._report_mean) * (
                1 / EWMA_WINDOW_RESPONSES if self._report_mean else 1.0
            )
            self._sample(s, min(service / self._report_mean, MAX_LATENCY_RATIO), REPORT_WEIGHT)

    def _share(self, server: _Server) -> float:
        """The part of its capacity that a host is sure to have now."""
        if server.started <= 0.0 or self._set.ramp_ms <= 0:
            return 1.0
        age = min(max((self._now - server.started) / self._set.ramp_ms, 0.0), 1.0)
        return self._set.cold_from + (1.0 - self._set.cold_from) * age

    def _cold_room(self, server: _Server) -> bool:
        """Rule 4: a cold host gets tokens at a part of the multiple of its share of what a warm host bears
        from this gateway, so the gateways together stay under the multiple of its capacity. The first fill is
        random: gateways that hear of a start together do not spend together.
        """
        if server.started <= 0.0 or self._now - server.started >= self._set.ramp_ms:
            return True
        if server.tokens_at <= 0.0:
            server.tokens, server.tokens_at = self._rng.random(), self._now
        rate = (
            self._set.fall_multiple
            * WARMUP_BUDGET_RATIO
            * self._share(server)
            * max(self._warm_rate, self._least)
        )
        server.tokens += (self._now - server.tokens_at) * rate
        server.tokens = min(server.tokens, max(1.0, rate * self._set.fall_ms / 2))
        server.tokens_at = self._now
        return server.tokens >= 1.0

    # --- Admission --------------------------------------------------------------------------------------
    def _request(self, event: Request) -> None:
        self._arrived += 1
        if event.id in self._held:
            return
        if not 0 <= event.class_index < len(self._set.classes):
            self._do.append(Fail(event.id))
            return
        cls = self._set.classes[event.class_index]
        req = _Held(event, replace(cls, effect=Effect.UNSAFE) if event.non_idempotent else cls, self._now)
        self._held[req.id] = req
        self._retries = min(self._retries + RETRY_BUDGET_RATIO, MAX_RETRY_TOKENS)
        over = self._over(event.tenant)
        self._mix[req.index][over] += 1.0
        shed = self._shed[req.index][over] if len(self._out) < self._limit else MAX_SHED_RATIO
        if self._level > 0.0 and self._rng.random() < shed:
            self._finish(req)
            return
        self._at(req.due, self._due, req)
        self._dispatch(req)

    def _over(self, tenant: int) -> bool:
        """Is the request beyond its tenant's allowance, by this gateway's part of it?"""
        if tenant >= len(self._set.tenants):
            return False
        rate = self._nodes.share(tenant, self._set.tenants[tenant].allowance_per_s / 1000)
        bucket = self._allow[tenant]
        tokens = min(bucket[0] + (self._now - bucket[1]) * rate, max(rate * ALLOWANCE_BURST_MS, 1.0))
        over = tokens < 1.0
        bucket[0], bucket[1] = tokens - (not over), self._now
        return over

    def _control(self) -> None:
        """Load shedding, when more than a few answers are late or overdue.

        Queues in front of the hosts would make every answer late, and clients' retries would keep it so after
        the cause has gone. What is worth least for its work is refused first.
        """
        aims = [c.latency_target_ms for c in self._set.classes]
        stuck = 0  # overdue attempts, held by ill hosts: not a queue before the others
        for t in self._out.values():
            if not t.late and self._now - t.at > aims[t.cls]:
                t.late = True  # counts once: hung hosts hold many for long, and the others have room
                if not self._sick(t.server, t.cls):
                    self._late += 1.0
                    self._judged += 1.0
            stuck += t.late and self._sick(t.server, t.cls)
        late = self._share_late = self._late / max(self._judged, 3.0)
        self._late, self._judged = self._late / 2, self._judged / 2
        gain = SHED_GAIN * min(SIZING_PERIOD_MS / max(min(aims), 1.0), 1.0)
        quick = late <= FAST_DECAY_LATE_RATIO * TOLERATED_LATE_RATIO * self._margin
        level = self._level * (1 - (FAST_SHED_DECAY_RATIO if quick else SHED_DECAY_RATIO)) - 0.002
        level += gain * max(late - TOLERATED_LATE_RATIO * self._margin, 0.0)
        self._level = min(max(level, 0.0), MAX_SHED_RATIO)
        seen = max(sum(map(sum, self._mix)), 1.0)
        aim = sum(sum(m) * a for m, a in zip(self._mix, aims, strict=True)) / seen
        room = (
            self._rate_ok * IN_FLIGHT_TARGET_RATIO * aim
        )  # Little: so many in flight leave within that part of the aim
        self._limit = room + 2 * math.sqrt(room) + 2.0 + stuck
        ranks = []
        for k, cls in enumerate(self._set.classes):
            ms = max(self._work[k].ms, 0.1)
            for over in (0, 1):
                worth = cls.worth * (self._set.over_share_worth if over else 1.0)
                worth /= 1.0 if self._set.worth_by_work else ms
                ranks.append((worth, k, over, self._mix[k][over] * ms))
                self._mix[k][over] *= 0.8
        ranks.sort()
        total = sum(r[3] for r in ranks)
        mean = sum(r[0] * r[3] for r in ranks) / max(total, 0.1)
        left, margin = self._level * total, 0.0
        for worth, k, over, work in ranks:
            if work > 0.05 * total and (left > 0.001 * total or not margin):  # what is shed next
                margin = min(max(worth / max(mean, 1e-9), 0.2), 1.0)
            self._shed[k][over] = min(left / work, MAX_SHED_RATIO) if work > 0.0 else 0.0
            left -= self._shed[k][over] * work
        self._margin = margin or 1.0

    # --- Attempts and repeats ---------------------------------------------------------------------------
    def _may_send(self, req: _Held, server: _Server) -> bool:
        """Rules 2 and 3: may this request be sent to this host now?"""
        if not server.ready:
            return False
        first = None
        for t in req.tries:
            if t.out and not self._set.parallel_tries:
                return False
            if t.ran and first is None:
                first = t
        if first is None or req.cls.effect is Effect.SAFE:
            return True
        if req.cls.effect is Effect.UNSAFE or self._now - first.at >= req.cls.window_ms:
            return False
        was, zone = first.server, req.cls.scope is Scope.ZONE
        return req.cls.scope is Scope.ALL or (server.zone == was.zone if zone else server.cell == was.cell)

    def _may_refuse(self, req: _Held) -> bool:
        """Rule 2: is it sure that the client's retry does no harm?"""
        ran = [t for t in req.tries if t.ran]
        if not ran or req.cls.effect is Effect.SAFE:
            return True
        keyed_all = req.cls.effect is Effect.KEYED and req.cls.scope is Scope.ALL
        return keyed_all and self._now - ran[0].at < req.cls.window_ms

    def _finish(self, req: _Held) -> None:
        """The final answer of a request that is still held: refused where that is safe, else failed."""
        del self._held[req.id]
        wait = self._set.max_retry_after_ms if self._set.retry_after and self._level > 0.0 else 0.0
        self._do.append(Refuse(req.id, wait) if self._may_refuse(req) else Fail(req.id))

    def _due(self, req: _Held) -> None:
        """Rule 1: whatever else happens, the final answer is given when the client gives up."""
        if req.id in self._held and self._now >= req.due:
            self._finish(req)

    def _dispatch(self, req: _Held) -> None:
        """Send a held request on, wait for a host, or end it."""
        if req.id not in self._held:
            return
        server = self._pick(req) if len(req.tries) < self._set.max_attempts and self._now < req.due else None
        if server is not None:
            self._send(req, server)
        elif not any(t.out for t in req.tries):
            tries_left = len(req.tries) < self._set.max_attempts
            end = req.due if req.met else req.came + UNSENT_TIMEOUT_RATIO * (req.due - req.came)
            if tries_left and self._order and self._now + HOST_WAIT_MS < end and self._may_refuse(req):
                self._at(self._now + HOST_WAIT_MS, self._dispatch, req)
            else:
                # to be turned away is late once it has cost a request its tries: a host that does so with an
                # empty queue shows no want of room at all of them
                self._late += 1.0
                self._judged += 1.0
                self._finish(req)

    def _copy(self, late: _Try) -> None:
        """A second copy of a safe request that is out beyond all patience, where its host is to blame.

        A full fleet gets none. The budget is that of the repeats.
        """
        req, ill = self._held.get(late.rid), self._sick(late.server, late.cls)
        if req is None or not ill or not self._set.parallel_tries or self._retries < 1.0:
            return
        if req.cls.effect is Effect.SAFE and len(req.tries) < self._set.max_attempts and self._now < req.due:
            server = self._pick(req)
            if server is not None and all(t.server is not server for t in req.tries):
                self._retries -= 1.0
                self._send(req, server)

    def _send(self, req: _Held, server: _Server) -> None:
        t = _Try(server, math.inf if req.body_incomplete else self._now, req)
        if not req.body_incomplete:
            self._health.sent(t)
        self._out[req.id, len(req.tries)] = t
        req.tries.append(t)
        server.inflight += 1
        mean = max(self._latency, 0.1)  # a class that has shown nothing yet costs as much as a mean request
        server.tokens -= min(max((self._work[req.index].ms or mean) / mean, 0.2), 5.0)
        self._do.append(Send(req.id, server.id, max(req.due - self._now, 0.001)))

    def _ended(self, event: Ended) -> None:
        t = self._out.pop((event.id, event.attempt), None)
        if t is None:
            return
        t.ran = event.outcome not in (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT)
        server = t.server
        server.inflight -= 1
        if not server.listed and server.inflight <= 0:
            self._servers.pop(server.id, None)
        req = self._held.get(event.id)
        sick = self._sick(server, t.cls)
        if t.at < math.inf:  # else it ended before its body was whole: no word on its host's health
            self._health.ended(t, event.outcome, self._now)
        if not sick and event.outcome is Outcome.OK:  # a call that hung says nothing of its host's speed
            self._observe(t, event.elapsed_ms)
        t.out, uncounted = False, (Outcome.CANCELLED, Outcome.MOOT, Outcome.FULL)  # FULL: see _dispatch
        if not t.late and t.at < math.inf and not sick and event.outcome not in uncounted:
            self._judged += 1.0
            late = event.elapsed_ms > self._set.classes[t.cls].latency_target_ms
            self._late += late or event.outcome is Outcome.TIMEOUT
        if event.report:
            self._hear(server, event.report)
        if event.outcome is Outcome.OK:
            self._served += 1
            if not sick:
                self._work[t.cls].add(event.elapsed_ms)
                work, health = self._work[t.cls], self._health
                health.mean[t.cls], health.known[t.cls] = work.ms, work.n
                self._learn(event, req)
        elif event.outcome in (Outcome.FULL, Outcome.UNCONNECTED) and event.elapsed_ms < self._latency / 2:
            self._rtt += (event.elapsed_ms - self._rtt) * 0.05
        if req is None:
            return
        req.met = req.met or event.outcome not in (Outcome.UNCONNECTED, Outcome.MOOT)
        if event.final:
            self._drop(req)
        elif event.outcome is not Outcome.OK and not any(x.out for x in req.tries):
            if event.outcome not in (Outcome.UNCONNECTED, Outcome.MOOT):  # the host had work with it
                self._retries -= REJECTION_FAILURE_WEIGHT if event.outcome is Outcome.FULL else 1.0
            if self._retries < 0.0:
                self._finish(req)
            else:
                self._at(self._now + MIN_RETRY_INTERVAL_MS, self._dispatch, req)

    def _learn(self, event: Ended, req: _Held | None) -> None:
        """An answer feeds the model; one past its aim asks for a new size."""
        self._answers += 1
        self._latency += (event.elapsed_ms - self._latency) / min(self._answers, EWMA_WINDOW_RESPONSES)
        if (
            self._answers >= EWMA_WINDOW_RESPONSES
        ):  # the best mean seen, let go slowly so that a lucky one does not stay
            self._floor = max(min(self._floor * 1.0005, self._latency), 0.01)
        if req is None:
            return
        aim = req.cls.latency_target_ms or 5 * self._latency
        self._samples.append((event.elapsed_ms, max(aim, 1.0)))
        if self._now - req.came > aim and self._now - self._sized_at >= LATE_SIZING_INTERVAL_MS:
            self._resize()

    def _drop(self, req: _Held) -> None:
        """Nobody waits for it any more: what is still out for it is of no use."""
        del self._held[req.id]
        if self._set.may_cancel:
            self._do += [Cancel(req.id, k) for k, t in enumerate(req.tries) if t.out]

    def _abandoned(self, event: Abandoned) -> None:
        if event.id in self._held:
            self._drop(self._held[event.id])

    def _uploaded(self, event: BodyComplete) -> None:
        """The body of a request is whole: what is out for it begins now."""
        req = self._held.get(event.id)
        if req is not None:
            req.body_incomplete, req.due = False, event.due_ms
            self._at(event.due_ms, self._due, req)
        t = self._out.get((event.id, event.attempt))
        if t is not None:
            t.at = self._now
            self._health.sent(t)

    def _first_byte(self, event: FirstByte) -> None:
        """The stream has the request now: no deadline, no answer of ours."""
        self._held.pop(event.id, None)

    # --- Discovery --------------------------------------------------------------------------------------
    def _hosts(self, event: Hosts) -> None:
        if event.view is View.FAILED:
            self._asks += 1
            wait = self._set.must_ask_in_ms * min(0.1 * 2**self._asks, 1.0)
            self._at(self._now + wait * (0.5 + 0.5 * self._rng.random()), self._ask, None)
            return
        self._asks = self._asks if event.view is View.CACHED else 0
        if event.view is not View.DELTA:
            for server in self._servers.values():
                server.listed = server.ready = False
        for host in event.hosts:
            self._list(host)
        for server in [s for s in self._servers.values() if not s.listed and s.inflight <= 0]:
            del self._servers[server.id]
        order = sorted((s for s in self._servers.values() if s.ready), key=lambda s: s.id)
        full = self._size >= len(self._order)
        self._order, self._prefix.size = order, len(order) if full else min(self._size, len(order))
        self._rows = [(s.pairs, s.zone) for s in order]
        self._cells = {}
        if self._set.warm_keys:
            ring = sorted((crc32(s.id + bytes([k])), s.id) for s in order for k in range(HASH_RING_POINTS))
            self._ring_at = [at for at, _ in ring]
            self._ring = [self._servers[hid] for _, hid in ring]
        for rank, server in enumerate(order):
            server.rank = rank
            self._cells.setdefault(server.cell, []).append(server)
        self._weigh()

    def _list(self, host: Host) -> None:
        server = self._servers.get(host.id)
        if server is None:
            server = self._servers[host.id] = _Server(host, self._health.pairs())
        server.zone, server.kind, server.cell = host.zone, host.kind, host.cell
        server.listed, server.ready = host.state is not State.GONE, host.state is State.READY
        # A start is never taken back: an update without one (0) says nothing of a start that is known.
        if host.started_ms != server.started and not host.started_ms <= 0.0 < server.started:
            if server.started >= 0.0:
                server.forget()
            server.started, server.tokens_at = host.started_ms, 0.0

    def _ask(self, _: None) -> None:
        self._do.append(Watch(True))

    def judged(self) -> tuple[dict[str, float], list[bool], Any, Any]:
        """For on call, changing nothing.

        Figures, full classes, each held request (class, came) and each ready host (id, in the prefix, warm
        share, speed ratio, Health.judged), the last two one by one.
        """
        figures = {"prefix": self._size, "c": self._prefix.slots, "shedding": self._level,
                   "late": self._share_late, "mean_ms": self._latency,
                   "repeats": self._retries}  # fmt: skip
        held, rows = list(self._held.values()), self._health.judged
        return figures, list(self._health.full), ((r.index, r.came) for r in held), (
            (s.id, s.rank < self._size, self._share(s), s.ratio, rows(s.pairs, s.zone, self._now))
            for s in self._order)  # fmt: skip
