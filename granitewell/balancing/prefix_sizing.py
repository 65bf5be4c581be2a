"""How many hosts of an ordered list are used: the rate forecast, the latency model (Eq. 1) and the prefix.

Shared by the balancer's decisions (policy.py) and the data plane of the whole system. Everything is pure: the
time and the random numbers are parameters. Times are in milliseconds, rates in requests a millisecond.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from random import Random

# --- Constants: unit, reason ----------------------------------------------------------------------------
PERIOD = 250.0  # ms between sizings; short against a set-up time, long against most requests
BINS = 20  # periods of history under the forecast
SIGMAS = 2.5  # standard errors of a Poisson count from which a slope is believed
SETUP = 2000.0  # ms ahead that the forecast looks; a new host joins the list about so late
BURST = 2.0  # U: growth within a set-up time that must not hurt
SLOTS_UP = 1.15  # growth of c, the slots a server is held to have, each SCALE_IN while answers stay quick
SHRINK = 0.93  # of the prefix, the most that one shrinking takes
CALM_LATE, CALM_SLOW = 0.015, 1.2  # late share and mean latency over the best seen, up to which c may grow
BUSY_LATE, BUSY_SLOW = 0.05, 1.5  # the same, from which the prefix has packed too much
DELTA = 5.0  # ms, least wait between two tries of a request
SAMPLES = 100  # recent service times under the model; its second largest is the 99th percentile
EWMA_N = 100.0  # answers that the running means look back on
SCALE_IN = 3000.0  # ms, least time between two shrinkings of the prefix
OVERRUN = 100.0  # ms, least time between two sizings that late answers ask for
RTT = 1.0  # ms, d1 + d2 until measured


def forecast(counts: Sequence[int], setup: float = SETUP) -> float:
    """Requests a ms, a set-up time ahead: a line through the arrivals of the recent periods (4.2)."""
    n = len(counts)
    if n < 2:
        return sum(counts) / PERIOD
    mean, mid = sum(counts) / n, (n - 1) / 2
    spread = n * (n * n - 1) / 12
    slope = sum((i - mid) * c for i, c in enumerate(counts)) / spread
    if abs(slope) < SIGMAS * math.sqrt(mean / spread):
        slope = 0.0  # thin counts: what chance alone would show must not scatter the gateways' prefixes
    return min(max(mean + slope * (n - 1 - mid + setup / PERIOD), 0.0), 2 * max(counts)) / PERIOD


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
    step, d1 = rtt + DELTA, rtt / 2

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
        if share_late > BUSY_LATE or slow > BUSY_SLOW:
            # guards against packing more on hosts than they bear
            self.slots = min(even, self.even, self.most_slots)
        want = reach(need / self.slots) if self.slots > 0.0 else hosts
        if want >= self.size:
            self.size = want
        if now - self.shrunk_at >= SCALE_IN:
            self.shrunk_at = now
            self.size = max(want, int(self.size * SHRINK))
            if share_late < CALM_LATE and slow < CALM_SLOW:
                self.slots = min(max(self.slots, self.even) * SLOTS_UP, self.most_slots)
