"""One budget at one process: a token bucket whose rate is the process's quota.

This module decides whether one more request may be admitted. Times are in microseconds, by the process's
clock, and are passed in.
"""

from __future__ import annotations

from math import exp

from granitewell.quotas.quota_transfer import Quota
from granitewell.quotas.types import MILLI, QuotaSettings

DEMAND_SMOOTHING_US = 1_000_000


class Budget:
    """The quota, tokens and demand of one budget.

    Attributes:
        quota: What may be spent per second.
        tokens: Requests that may be admitted at once, as of updated_us.
        updated_us: Time of the last update, in microseconds.
        demand: Recent rate of requests per second, admitted or not.
        admitted: Number of requests admitted.
        rejected: Number of requests rejected.
        next_peer: Counter that selects the next peer to ask, modulo the number of peers.
    """

    __slots__ = (
        "_rate",
        "_settings",
        "admitted",
        "demand",
        "next_peer",
        "quota",
        "rejected",
        "tokens",
        "updated_us",
    )

    def __init__(self, settings: QuotaSettings, quota: Quota, now_us: int) -> None:
        self._settings = settings
        self.quota = quota
        self.tokens = 0.0
        self.updated_us = now_us
        self._rate = quota.available(now_us) / MILLI  # requests per second, as of updated_us
        self.demand = 0.0
        self.admitted = 0
        self.rejected = 0
        self.next_peer = 0

    def advance(self, now_us: int) -> None:
        """Add the tokens of the time that has passed.

        They accrue at the lower of the previous and the current rate, up to the burst of the current rate, so
        that a process that was paused can't spend loans that expired meanwhile.
        """
        passed_us = max(now_us - self.updated_us, 0)
        rate = self.quota.available(now_us) / MILLI
        max_tokens = rate * self._settings.burst_us / 1e6
        self.tokens = min(self.tokens + min(rate, self._rate) * passed_us / 1e6, max_tokens)
        self._rate = rate
        self.demand *= exp(-passed_us / DEMAND_SMOOTHING_US)
        self.updated_us = max(now_us, self.updated_us)

    def try_acquire(self, now_us: int) -> int:
        """Admit one more request if the budget allows it.

        Returns:
            -1 if it is admitted, else the time until one might be, in microseconds.
        """
        self.advance(now_us)
        self.demand += 1e6 / DEMAND_SMOOTHING_US
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            self.admitted += 1
            return -1
        self.rejected += 1
        rate = self.quota.available(now_us) / MILLI
        return int((1.0 - self.tokens) / rate * 1e6) if rate > 0 else self._settings.round_interval_us
