"""Settings of quotas and the events of their state machine.

This module holds no state and decides nothing. Times are whole microseconds, amounts are thousandths of a
request per second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from granitewell.protocols.peers.frames import Keys

MILLI = 1_000
"""Thousandths in one request per second."""


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Settings of all budgets of a process.

    Attributes:
        reserve_fraction: Part of a node's base quota that is never lent, from 0 to 1.
        loan_us: Duration of a loan, in microseconds.
        drift_ppm: Maximum difference in speed between two clocks, in parts per million.
        burst_us: Quota of this duration may be spent at once, in microseconds.
        round_interval_us: Time between two rounds of requests to other nodes, in microseconds.
        borrow_threshold: Part of its quota in use above which a node asks for more, from 0 to 1.
        demand_margin: How much a node wants to have, as a multiple of its demand.
    """

    reserve_fraction: float = 0.1
    loan_us: int = 4_000_000
    drift_ppm: int = 500
    burst_us: int = 1_000_000
    round_interval_us: int = 200_000
    borrow_threshold: float = 0.85
    demand_margin: float = 1.25

    @property
    def borrower_loan_us(self) -> int:
        """How long a borrower may use a loan, by its own clock, from when it sent the request."""
        return self.loan_us - self.loan_us * self.drift_ppm // 1_000_000 - 1

    @property
    def lender_loan_us(self) -> int:
        """How long a lender counts it as lent, by its own clock, from when it answered."""
        return self.loan_us + self.loan_us * self.drift_ppm // 1_000_000 + 1


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class BudgetTotals:
    """All budgets as they are from now on.

    Attributes:
        totals: Budget of the whole fleet by key, in thousandths of a request per second.
    """

    totals: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ActiveNodes:
    """Nodes that may spend, as they are from now on.

    Attributes:
        max_nodes: Maximum number of nodes that can be alive, including this one.
        peers: Addresses of the other nodes that can be asked, by name.
    """

    max_nodes: int
    peers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class KeysChanged:
    """Other keys seal and open messages from now on.

    Attributes:
        keys: The keys.
    """

    keys: Keys
