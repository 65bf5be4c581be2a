"""Settings of quotas and the events of their state machine.

Times are whole microseconds, amounts are in thousandths of a request per second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from granitewell.protocols.peers.frames import Keys

MILLI = 1_000
"""Amount of one request per second, in thousandths."""


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Settings of all budgets of a process.

    Attributes:
        reserve_fraction: Fraction of a node's base quota that is never lent, from 0 to 1.
        loan_us: Duration of a loan, in microseconds.
        drift_ppm: Maximum difference in speed between two clocks, in parts per million.
        burst_us: Duration whose quota may be spent at once, in microseconds.
        round_interval_us: Time between two rounds of requests to other nodes, in microseconds.
        borrow_threshold: Fraction of its quota in use above which a node requests loans, from 0 to 1.
        demand_margin: Quota that a node aims to have, as a multiple of its demand.
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
        """Time for which a borrower may use a loan, by its own clock, from its request on."""
        return self.loan_us - self.loan_us * self.drift_ppm // 1_000_000 - 1

    @property
    def lender_loan_us(self) -> int:
        """Time for which a lender counts a loan as lent, by its own clock, from its reply on."""
        return self.loan_us + self.loan_us * self.drift_ppm // 1_000_000 + 1


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class BudgetTotals:
    """The budgets from now on; others are removed.

    Attributes:
        totals: Budget of the whole fleet by key, in thousandths of a request per second.
    """

    totals: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ActiveNodes:
    """The nodes that share the budgets from now on.

    Attributes:
        max_nodes: Maximum number of nodes that can be alive, including this one.
        peers: Addresses of the other nodes that can be asked, by name.
    """

    max_nodes: int
    peers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class KeysChanged:
    """Replacement of the keys that seal and open messages.

    Attributes:
        keys: The keys.
    """

    keys: Keys
