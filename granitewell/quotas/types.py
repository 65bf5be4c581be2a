"""What budgets are set to, and their events.

It owns the figures and their bounds. It must never hold state or decide. Times are whole microseconds,
amounts whole thousandths a second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from granitewell.protocols.peers.frames import Keys

MILLI = 1_000


@dataclass(frozen=True, slots=True)
class Figures:
    """floor: part of a node's home that is never lent.

    Attributes:
        loan_us: For which rights are lent.
        drift_ppm: Parts in a million by which two clocks may differ in speed.
        burst_us: Rights of so long may be spent at once.
        every_us: Between two rounds of asking.
        ask_at: Part of its right in use from which on a node asks for more.
        more: Of its need that it wants.
    """

    floor: float = 0.1
    loan_us: int = 4_000_000
    drift_ppm: int = 500
    burst_us: int = 1_000_000
    every_us: int = 200_000
    ask_at: float = 0.85
    more: float = 1.25

    @property
    def held_us(self) -> int:
        """For which a borrower may use a loan, by its own clock, from when it asked."""
        return self.loan_us - self.loan_us * self.drift_ppm // 1_000_000 - 1

    @property
    def lent_us(self) -> int:
        """For which a lender holds it to be lent, by its own clock, from when it answered."""
        return self.loan_us + self.loan_us * self.drift_ppm // 1_000_000 + 1


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Wholes:
    """Budgets by key, thousandths a second for the whole fleet."""

    wholes: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Acting:
    """most: nodes that can be alive, this one included.

    Attributes:
        peers: Addresses of the others that can be asked, by name.
    """

    most: int
    peers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Rekey:
    """Other keys seal and open from now on."""

    keys: Keys
