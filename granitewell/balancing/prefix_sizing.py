"""How many hosts of an ordered list are used: the rate forecast, the latency model (Eq. 1) and the prefix.

Shared by the balancer's decisions (policy.py) and the data plane of the whole system. Everything is pure: the
time and the random numbers are parameters. Times are in milliseconds, rates in requests a millisecond.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from random import Random

SIZING_PERIOD_MS = 250.0  # between sizings; short against the set-up time of a host, long against requests
FORECAST_PERIODS = 20  # periods of history that the forecast uses
MIN_SLOPE_SIGMAS = 2.5  # standard errors of a Poisson count, below which a slope is taken for chance
HOST_SETUP_MS = 2000.0  # how far ahead the forecast looks: a new host joins the list about this late
BURST_RATIO = 2.0  # U: growth within a set-up time that must do no harm
SLOTS_GROWTH_RATIO = 1.15  # growth of c, the presumed slots of a host, each scale-in while responses are fast
PREFIX_SHRINK_RATIO = 0.93  # of the prefix that one scale-in leaves at least
# Late ratio, and mean latency over the best seen: up to the first pair c may grow, beyond the second pair the
# prefix is too small for the load.
CALM_LATE_RATIO, CALM_LATENCY_RATIO = 0.015, 1.2
BUSY_LATE_RATIO, BUSY_LATENCY_RATIO = 0.05, 1.5
MIN_RETRY_INTERVAL_MS = 5.0  # least wait between two attempts of a request
MAX_SAMPLES = 100  # recent service times that the model uses; the second largest is the 99th percentile
EWMA_WINDOW_RESPONSES = 100.0  # responses that the running means look back on
SCALE_IN_INTERVAL_MS = 3000.0  # least time between two reductions of the prefix
LATE_SIZING_INTERVAL_MS = 100.0  # least time between two sizings that late responses cause
INITIAL_REJECTION_MS = 1.0  # d1 + d2, mean time of a rejection, until measured


def forecast(counts: Sequence[int], setup: float = HOST_SETUP_MS) -> float:
    """Requests a ms, a set-up time ahead: a line through the arrivals of the recent periods (4.2)."""
    n = len(counts)
    if n < 2:
        return sum(counts) / SIZING_PERIOD_MS
    mean, mid = sum(counts) / n, (n - 1) / 2
    spread = n * (n * n - 1) / 12
    slope = sum((i - mid) * c for i, c in enumerate(counts)) / spread
    if abs(slope) < MIN_SLOPE_SIGMAS * math.sqrt(mean / spread):
        slope = 0.0  # thin counts: what chance alone would show must not scatter the gateways' prefixes
    return (
        min(max(mean + slope * (n - 1 - mid + setup / SIZING_PERIOD_MS), 0.0), 2 * max(counts))
        / SIZING_PERIOD_MS
    )


def slots_needed(
    rate: float, latency: float, rtt: float, samples: Sequence[tuple[float, float]], hosts: int, rng: Random
) -> int:
    """The least number of slots whose 99th percentile of wait plus service, over the aim, is under 1 (4.3).

    latency: mean time that a request holds a slot; rtt: d1 + d2, mean time of being turned away; samples:
    recent (service time, aim); hosts: how many there are.
    """
    mu = 1.0 / max(latency - rtt, 0.1)
    draws = [(math.log(1.0 - rng.random()), *s) for s in samples]
    rank = max(len(draws) - 1 - len(draws) // 100, 0)
    # where the service times alone pass the aim no n would do: then their own percentile is the bound
    bound = max(1.0, 1.1 * sorted(ms / aim for _, ms, aim in draws)[rank]) if draws else 1.0
    step, d1 = rtt + MIN_RETRY_INTERVAL_MS, rtt / 2

    def passes(n: int) -> bool:
        rho = rate / (n * mu)
        if rho >= 1.0:
            return False
        log_rho = math.log(rho) if rho > 0 else -math.inf
        ratios = [(d1 + max(0.0, u / log_rho - 1.0) * step + ms) / aim for u, ms, aim in draws]
        return not ratios or sorted(ratios)[rank] < bound

    low, high = 1, max(int(4 * rate / mu), 4 * hosts, 1)
    if not passes(high):
        return high
    while low < high:
        mid = (low + high) // 2
        low, high = (low, mid) if passes(mid) else (mid + 1, high)
    return low


class ActivePrefix:
    """The first hosts of the order that are used: grown at once, shrunk seldom (4.4).

    `slots` is c, the slots that a host is held to have: learned, as nobody tells. It grows while answers stay
    quick and falls back to what spreads the load over all hosts once they don't.
    """

    __slots__ = ("even", "most_slots", "shrunk_at", "size", "slots")

    def __init__(self, most_slots: float = math.inf) -> None:
        """most_slots: bound of c, where the hosts' slots are known."""
        self.size, self.most_slots = 0, most_slots
        self.slots = 0.0  # 0: nothing learned yet, all hosts are used
        self.even = 0.0  # the c at which the model asks for all hosts, smoothed: forecasts are noisy
        self.shrunk_at = -math.inf

    def resize(
        self, now: float, need: int, hosts: int, slow: float, share_late: float, reach: Callable[[float], int]
    ) -> None:
        """need: slots that the model asks for.

        Slow: mean latency over the best seen (inf: not known); reach(k): the least prefix that is as good as
        k healthy hosts.
        """
        even = need / max(hosts, 1)
        self.even += (even - self.even) * (0.1 if self.even else 1.0)
        if share_late > BUSY_LATE_RATIO or slow > BUSY_LATENCY_RATIO:
            # guards against packing more on hosts than they bear
            self.slots = min(even, self.even, self.most_slots)
        want = reach(need / self.slots) if self.slots > 0.0 else hosts
        if want >= self.size:
            self.size = want
        if now - self.shrunk_at >= SCALE_IN_INTERVAL_MS:
            self.shrunk_at = now
            self.size = max(want, int(self.size * PREFIX_SHRINK_RATIO))
            if share_late < CALM_LATE_RATIO and slow < CALM_LATENCY_RATIO:
                self.slots = min(max(self.slots, self.even) * SLOTS_GROWTH_RATIO, self.most_slots)
