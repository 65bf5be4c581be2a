"""How many hosts of an ordered list are used: the rate forecast, the latency model (Eq. 1) and the prefix.

Shared by balancer.py and the data plane of the whole system. Everything is deterministic: time and random
numbers are parameters. Times are in milliseconds, rates in requests per millisecond.
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


def forecast(counts: Sequence[int], setup_ms: float = HOST_SETUP_MS) -> float:
    """Forecast the rate one host set-up time ahead, by linear regression over recent periods (4.2)."""
    n = len(counts)
    if n < 2:
        return sum(counts) / SIZING_PERIOD_MS
    mean, mid = sum(counts) / n, (n - 1) / 2
    spread = n * (n * n - 1) / 12
    slope = sum((i - mid) * c for i, c in enumerate(counts)) / spread
    if abs(slope) < MIN_SLOPE_SIGMAS * math.sqrt(mean / spread):
        slope = 0.0  # with few requests, chance alone would make the gateways' prefixes differ
    return (
        min(max(mean + slope * (n - 1 - mid + setup_ms / SIZING_PERIOD_MS), 0.0), 2 * max(counts))
        / SIZING_PERIOD_MS
    )


def slots_needed(
    rate: float,
    latency_ms: float,
    rejection_ms: float,
    samples: Sequence[tuple[float, float]],
    hosts: int,
    rng: Random,
) -> int:
    """The least number of slots for which latency meets its target at the 99th percentile (4.3).

    Latency is waiting plus service time, relative to the target of each sample.

    Args:
        rate: Arrivals per ms.
        latency_ms: Mean time that a request holds a slot.
        rejection_ms: Mean time until a host rejects a request; d1 + d2 of the model.
        samples: Recent pairs of service time and latency target.
        hosts: Number of hosts there are.
        rng: Source of the model's random waits.
    """
    service_rate = 1.0 / max(latency_ms - rejection_ms, 0.1)
    draws = [(math.log(1.0 - rng.random()), *s) for s in samples]
    rank = max(len(draws) - 1 - len(draws) // 100, 0)
    # if the service times alone miss the target no n is enough: then their own percentile is the bound
    bound = max(1.0, 1.1 * sorted(ms / target_ms for _, ms, target_ms in draws)[rank]) if draws else 1.0
    step, d1 = rejection_ms + MIN_RETRY_INTERVAL_MS, rejection_ms / 2

    def passes(n: int) -> bool:
        utilization = rate / (n * service_rate)
        if utilization >= 1.0:
            return False
        log_utilization = math.log(utilization) if utilization > 0 else -math.inf
        ratios = [
            (d1 + max(0.0, u / log_utilization - 1.0) * step + ms) / target_ms for u, ms, target_ms in draws
        ]
        return not ratios or sorted(ratios)[rank] < bound

    low, high = 1, max(int(4 * rate / service_rate), 4 * hosts, 1)
    if not passes(high):
        return high
    while low < high:
        mid = (low + high) // 2
        low, high = (low, mid) if passes(mid) else (mid + 1, high)
    return low


class ActivePrefix:
    """The first hosts of the order, which are used: grows at once and shrinks slowly (4.4).

    `slots` is c, the presumed number of slots of a host. It is learned, as hosts don't report it: it grows
    while responses are fast, and falls back to the value that spreads the load over all hosts once they are
    not.
    """

    __slots__ = ("even_slots", "max_slots", "shrunk_at_ms", "size", "slots")

    def __init__(self, max_slots: float = math.inf) -> None:
        """Start with an empty prefix.

        Args:
            max_slots: Upper bound of c, if the hosts' slots are known.
        """
        self.size, self.max_slots = 0, max_slots
        self.slots = 0.0  # 0: not learned yet, so all hosts are used
        self.even_slots = 0.0  # the c at which the model asks for all hosts, smoothed: forecasts are noisy
        self.shrunk_at_ms = -math.inf

    def resize(
        self,
        now: float,
        need: int,
        hosts: int,
        latency_ratio: float,
        late_ratio: float,
        prefix_for: Callable[[float], int],
    ) -> None:
        """Recompute the size of the prefix.

        Args:
            now: Time in ms.
            need: Number of slots that the model asks for.
            hosts: Number of hosts.
            latency_ratio: Mean latency over the best seen; inf if not known.
            late_ratio: Ratio of late responses.
            prefix_for: Returns the smallest prefix that is as good as so many healthy hosts.
        """
        even = need / max(hosts, 1)
        self.even_slots += (even - self.even_slots) * (0.1 if self.even_slots else 1.0)
        if late_ratio > BUSY_LATE_RATIO or latency_ratio > BUSY_LATENCY_RATIO:
            # guards against more load on the hosts than they can serve
            self.slots = min(even, self.even_slots, self.max_slots)
        wanted_size = prefix_for(need / self.slots) if self.slots > 0.0 else hosts
        if wanted_size >= self.size:
            self.size = wanted_size
        if now - self.shrunk_at_ms >= SCALE_IN_INTERVAL_MS:
            self.shrunk_at_ms = now
            self.size = max(wanted_size, int(self.size * PREFIX_SHRINK_RATIO))
            if late_ratio < CALM_LATE_RATIO and latency_ratio < CALM_LATENCY_RATIO:
                self.slots = min(max(self.slots, self.even_slots) * SLOTS_GROWTH_RATIO, self.max_slots)
