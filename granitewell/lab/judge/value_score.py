"""The day's score G: the value served in time over the value requested, less deductions.

    request       every `asked` whose rid is its `first`. Retries belong to it: the first served response to
                  any of its attempts is its response, and its time runs from the first attempt's sending.
    requested     the class's worth; times over_share_worth if the request is beyond its tenant's allowance
    allowance     a token bucket for each tenant, filled at allowance_per_s, holding one second of it (at
                  least one token) and full at the start; a request without a token is beyond the allowance.
                  No allowance stated (0): all requests are within.
    earned        the requested value if served within the class's latency target; times late_worth if later,
                  and none if the attempt's timeout or the class's deadline (from the first attempt) has
                  passed
    whole         earned over requested, of all requests
    worst window  the lowest such ratio of any window of window_us that lies in the day, in steps of 250 ms,
                  by the requests' sending times; the whole if the day is shorter. Empty windows don't count.
    worst class   the lowest ratio of any class; worst tenant: of any tenant, of requests within its allowance

Each deduction is a weight times a share of the whole day, uncapped:

    handshake     connections dialed to endpoints, per request
    waste         work that endpoints did on attempts whose response reached no client, over the work
                  requested. An attempt's work is what `ran` said; for one that was stopped, died or never
                  ended it is at most what its endpoint can have done by then at the speed of one core. Of
                  several `ok` attempts of a served request the first is the response. Requested: each
                  request's class mean.
    late_fail     value of requests never served whose last attempt ended after the
                  latency target, over the value requested; an attempt that no node has taken was refused when
                  it was sent
    cross_zone    attempts to an endpoint of another zone than their node's, per request
    probe         probes that arrived, per request

G is at least 0. A ratio of nothing (no request at all) is 1.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.lab.day import Day
from granitewell.lab.judge.records import ClientAttempt, Request, UpstreamAttempt

BUCKET_US = 250_000
PARTIAL_OUTCOMES = frozenset(
    {"stopped", "died", "hung", ""}
)  # outcomes that do not tell how much work was done


@dataclass(frozen=True, slots=True)
class Deduction:
    """One deduction: the share it is computed from, and the points it takes off G."""

    share: float
    points: float


class ValueScore:
    """Sums up requests, their responses, and deductions."""

    def __init__(self, day: Day) -> None:
        self._day, self._goal = day, day.goal
        self.first_tries = self.dials = self.crossings = self.probes = 0
        self.asked, self.earned, self.late_failed = 0.0, 0.0, 0.0
        self.work_asked, self.work_ran, self.wasted = 0.0, 0.0, 0.0  # microseconds of work
        self.by_class = [[0.0, 0.0] for _ in day.classes]  # asked, earned
        self.by_tenant = [[0.0, 0.0] for _ in day.tenants]  # within the share
        self.buckets: list[
            list[float]
        ] = []  # requested, earned, indexed by sending time in units of BUCKET_US
        self._tokens = [
            [max(t.allowance_per_s, 1.0), 0.0] for t in day.tenants
        ]  # tokens, and when they were last updated
        self._speed = {e.id: e.speed for e in day.endpoints}

    def add_request(self, request: Request) -> None:
        """Add the value of a new request."""
        cls = self._day.classes[request.cls]
        request.within_share = self._within(request.tenant, request.asked_at)
        request.value = cls.worth if request.within_share else cls.worth * self._goal.over_share_worth
        self.first_tries += 1
        self.work_asked += cls.work_us
        self._add_to_sums(request, 0, request.value)
        self.asked += request.value

    def add_served(self, request: Request, client_attempt: ClientAttempt, at: int) -> None:
        """Add the value earned by the first correct response of a request."""
        cls = self._day.classes[request.cls]
        took = at - request.asked_at
        if at > client_attempt.asked_at + client_attempt.timeout_us or took > cls.deadline_us:
            return  # the client has given up, although the slack of the rules may not be over
        request.served = True
        request.earned = request.value if took <= cls.aim_us else request.value * cls.late_worth
        self._add_to_sums(request, 1, request.earned)
        self.earned += request.earned

    def close_request(self, request: Request, at: int) -> None:
        """Finish a request that will not be seen again: add its late failure and wasted work."""
        self.late_failed += self.late_failure_value(request, at)
        ran, wasted = self.attempt_work(request, at)
        self.work_ran += ran
        self.wasted += wasted

    def late_failure_value(self, request: Request, at: int) -> float:
        """The value that failed only after the latency target; 0 if served or failed earlier."""
        if request.served or not request.value:
            return 0.0
        last = max((_closed_at(t, at) for t in request.tries), default=at)
        return request.value if last - request.asked_at > self._day.classes[request.cls].aim_us else 0.0

    def attempt_work(self, request: Request, at: int) -> tuple[float, float]:
        """Work done on all its attempts, and the part whose response no client received."""
        done = wasted = 0.0
        for t in request.tries:
            useful = t.closed == "served"
            for attempt in sorted(t.attempts, key=_end_time):
                attempt_work = self._work_done(attempt, at) if attempt.ran_at >= 0 else 0.0
                done += attempt_work
                if useful and attempt.outcome == "ok":
                    useful = False
                else:
                    wasted += attempt_work
        return done, wasted

    def score(
        self, late_failed: float, wasted: float
    ) -> tuple[float, dict[str, float], dict[str, Deduction]]:
        """G, its components and its deductions, for sums that include open requests."""
        goal = self._goal
        components = {
            "whole": _ratio(self.asked, self.earned), "worst_window": self._worst_window(),
            "worst_class": min((_ratio(*x) for x in self.by_class if x[0]), default=1.0),
            "worst_tenant": min((_ratio(*x) for x in self.by_tenant if x[0]), default=1.0),
        }  # fmt: skip
        n = max(self.first_tries, 1)
        shares = {
            "handshake": self.dials / n, "waste": wasted / max(self.work_asked, 1e-9),
            "late_fail": late_failed / max(self.asked, 1e-9), "cross_zone": self.crossings / n,
            "probe": self.probes / n,
        }  # fmt: skip
        if not self.first_tries:
            shares = dict.fromkeys(shares, 0.0)
        prices = {k: Deduction(v, v * float(getattr(goal, k))) for k, v in shares.items()}
        g = sum(v * float(getattr(goal, k)) for k, v in components.items())
        return max(g - sum(p.points for p in prices.values()), 0.0), components, prices

    def _within(self, tenant: int, at: int) -> bool:
        if not 0 <= tenant < len(self._tokens):
            return True
        rate = self._day.tenants[tenant].allowance_per_s
        if rate <= 0.0:
            return True
        bucket = self._tokens[tenant]
        tokens = min(bucket[0] + (at - bucket[1]) * rate / 1e6, max(rate, 1.0))
        within_share = tokens >= 1.0
        bucket[0], bucket[1] = tokens - within_share, float(at)
        return within_share

    def _add_to_sums(self, request: Request, k: int, value: float) -> None:
        number = request.asked_at // BUCKET_US
        while len(self.buckets) <= number:
            self.buckets.append([0.0, 0.0])
        self.buckets[number][k] += value
        self.by_class[request.cls][k] += value
        if request.within_share and 0 <= request.tenant < len(self.by_tenant):
            self.by_tenant[request.tenant][k] += value

    def _worst_window(self) -> float:
        size, last = self._goal.window_us // BUCKET_US, self._day.length_us // BUCKET_US
        if last < size or size < 1:
            return _ratio(self.asked, self.earned)
        buckets = self.buckets + [[0.0, 0.0]] * (last - len(self.buckets))
        worst, asked, earned = 1.0, 0.0, 0.0
        for k, (a, e) in enumerate(buckets[:last]):
            asked, earned = asked + a, earned + e
            if k >= size:
                asked, earned = asked - buckets[k - size][0], earned - buckets[k - size][1]
            if k >= size - 1 and asked > 1e-9:
                worst = min(worst, earned / asked)
        return max(worst, 0.0)

    def _work_done(self, attempt: UpstreamAttempt, at: int) -> float:
        if attempt.outcome not in PARTIAL_OUTCOMES:
            return attempt.work_us
        until = attempt.ended_at if attempt.outcome else at
        return min(attempt.work_us, (until - attempt.ran_at) * self._speed.get(attempt.endpoint, 1.0))


def _end_time(attempt: UpstreamAttempt) -> int:
    return attempt.ended_at if attempt.outcome else 1 << 62


def _closed_at(t: ClientAttempt, at: int) -> int:
    """When its client knew the outcome; an `unreached` attempt counts from when it was sent."""
    if t.closed == "unreached":
        return t.asked_at
    return t.closed_at if t.closed else at


def _ratio(asked: float, earned: float) -> float:
    return earned / asked if asked > 0.0 else 1.0
