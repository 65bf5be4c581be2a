"""The day's figure G: the worth that was served in time over the worth that was asked for, less deductions.

It owns that count and must never hold a rule. How each part is counted:

    first try     every `asked` whose rid is its `first`. Retries belong to it: the first served answer to any
                  of its tries is its answer, and its time runs from the first try's asking.
    worth asked   the class's worth; times over_share_worth where the first try is beyond its tenant's share
    share         a bucket of tokens for each tenant, filled at allowance_per_s, holding one second of it (at
                  least one token) and full at the start; a first try without a token left is beyond the
                  share. No allowance stated (0): all are within.
    worth served  the worth asked, within the class's aim; times late_worth where the answer comes later, and
                  none where its try's time is over or the class's deadline (of the first try) has passed
    whole         served over asked, of all first tries
    worst window  the least such part of any window of window_us that lies in the day, in steps of 250 ms, by
                  the first tries' asking; the whole where the day is shorter. Empty windows don't count.
    worst class   the least part of any class; worst tenant: of any tenant, of first tries within its share

What goes off, each a price times a share (all of the day, none capped):

    handshake     connections dialed to endpoints, per first try
    waste         work that endpoints did on attempts whose answer reached no client, over the work asked for.
                  An attempt's work is what `ran` said; of one that was stopped, died or never ended no more
                  than its endpoint can have done by then at the speed of one core. Of several `ok` attempts
                  of a served try the first is the answer. Asked for: each first try's class's mean work.
    late_fail     worth of first tries never served whose last try ended after the aim, over the worth asked;
                  a try that no node has taken was refused when it was asked
    cross_zone    attempts to an endpoint of another zone than their node's, per first try
    probe         probes that arrived, per first try

G is at least 0. A part of nothing (no first try at all) is 1.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.lab.day import Day
from granitewell.lab.judge.records import ClientAttempt, Request, UpstreamAttempt

BUCKET_US = 250_000
PARTIAL_OUTCOMES = frozenset(
    {"stopped", "died", "hung", ""}
)  # outcomes of which it is not known how much was done


@dataclass(frozen=True, slots=True)
class Deduction:
    """One deduction: what it is counted from, and what it takes off G."""

    share: float
    points: float


class ValueScore:
    """Counts first tries, their answers, and what goes off."""

    def __init__(self, day: Day) -> None:
        self._day, self._goal = day, day.goal
        self.first_tries = self.dials = self.crossings = self.probes = 0
        self.asked, self.earned, self.late_failed = 0.0, 0.0, 0.0
        self.work_asked, self.work_ran, self.wasted = 0.0, 0.0, 0.0  # microseconds of work
        self.by_class = [[0.0, 0.0] for _ in day.classes]  # asked, earned
        self.by_tenant = [[0.0, 0.0] for _ in day.tenants]  # within the share
        self.buckets: list[list[float]] = []  # asked, earned by BUCKET_US of asking
        self._tokens = [[max(t.allowance_per_s, 1.0), 0.0] for t in day.tenants]  # tokens, and since when
        self._speed = {e.id: e.speed for e in day.endpoints}

    def add_request(self, request: Request) -> None:
        """A first try has been asked."""
        cls = self._day.classes[request.cls]
        request.within_share = self._within(request.tenant, request.asked_at)
        request.value = cls.worth if request.within_share else cls.worth * self._goal.over_share_worth
        self.first_tries += 1
        self.work_asked += cls.work_us
        self._add_to_sums(request, 0, request.value)
        self.asked += request.value

    def add_served(self, request: Request, client_attempt: ClientAttempt, at: int) -> None:
        """A try of a request not yet served has a right answer."""
        cls = self._day.classes[request.cls]
        took = at - request.asked_at
        if at > client_attempt.asked_at + client_attempt.timeout_us or took > cls.deadline_us:
            return  # the client has given up, though the rule's slack may not be over
        request.served = True
        request.earned = request.value if took <= cls.aim_us else request.value * cls.late_worth
        self._add_to_sums(request, 1, request.earned)
        self.earned += request.earned

    def close_request(self, request: Request, at: int) -> None:
        """Nothing more will be seen of this request: count what failed late and what was wasted."""
        self.late_failed += self.late_failure_value(request, at)
        ran, wasted = self.attempt_work(request, at)
        self.work_ran += ran
        self.wasted += wasted

    def late_failure_value(self, request: Request, at: int) -> float:
        """The worth that failed only after the aim; 0 where it was served, or failed before."""
        if request.served or not request.value:
            return 0.0
        last = max((_closed_at(t, at) for t in request.tries), default=at)
        return request.value if last - request.asked_at > self._day.classes[request.cls].aim_us else 0.0

    def attempt_work(self, request: Request, at: int) -> tuple[float, float]:
        """Work done on all its attempts, and the part of it whose answer no client got."""
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
        """G, its parts, and its deductions. The sums are given with what is open counted in."""
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
    """When its client knew how it ended. That of one `unreached` was not seen until its time was over."""
    if t.closed == "unreached":
        return t.asked_at
    return t.closed_at if t.closed else at


def _ratio(asked: float, earned: float) -> float:
    return earned / asked if asked > 0.0 else 1.0
