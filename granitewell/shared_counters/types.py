"""What counts are set to, and their events and effects.

It owns the figures and their bounds. It must never hold state or decide. Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from granitewell.protocols.peers.counts import MAX_KEY
from granitewell.protocols.peers.frames import Keys

OVERFLOW_SLOT = 0  # the slot of keys that have none of their own


@dataclass(frozen=True, slots=True)
class CounterSettings:
    """window_us: over which use is summed; width_us: of a slice.

    Attributes:
        every_us: Between two questions to one node, at least.
        keys: That a node gives a place of their own; all others are one.
        ceiling_per_s, growth, floor_per_s: What a node can have taken unheard, see the package.
        bytes_per_s: Of letters that a node sends; asking gets slower where that is not enough.
        drift_ppm: Parts in a million by which the clocks of two nodes may differ in speed; crystals stay
            under 100.
    """

    window_us: int = 60_000_000
    width_us: int = 500_000
    poll_interval_us: int = 250_000
    keys: int = 64
    ceiling_per_s: float = 2_000.0
    growth: float = 2.0
    floor_per_s: float = 20.0
    bytes_per_s: int = 65_536
    drift_ppm: int = 500

    @property
    def slices(self) -> int:
        """Of a window, and one more that is begun."""
        return -(-self.window_us // self.width_us) + 1


@dataclass(frozen=True, slots=True)
class Peer:
    """Another node, as the view has it.

    Attributes:
        up: It can be asked.
        gone: It takes nothing any more, by its own word or an operator's.
    """

    address: str
    up: bool
    gone: bool = False


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class UsageRecorded:
    """We have taken that many of a key."""

    key: str
    count: int = 1


@dataclass(frozen=True, slots=True)
class Peers:
    """All other nodes that are known, by name; unnamed: nodes that may act and that nobody has named."""

    peers: Mapping[str, Peer]
    unnamed: int = 0


@dataclass(frozen=True, slots=True)
class Rekey:
    """Other keys seal and open from now on."""

    keys: Keys


# --- What is told ---------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class NodeUsage:
    """One node's part of a figure.

    Attributes:
        age_us: Since when it may have taken what we have no word of; -1: never heard. why: what keeps low and
            high apart: how much of each.
    """

    name: str
    low: int
    high: int
    age_us: int
    unreported: int
    window_edge: int
    untracked: int


@dataclass(frozen=True, slots=True)
class UsageBounds:
    """The true sum over all nodes in the window that ends now lies in [low, high].

    Attributes:
        unnamed: Of high, what nodes that nobody has named may have taken.
    """

    key: str
    low: int
    high: int
    parts: tuple[NodeUsage, ...]
    unnamed: int = 0

    @property
    def relative_width(self) -> float:
        """Of the middle; 0 where nothing was used."""
        middle = (self.low + self.high) / 2
        return (self.high - self.low) / middle if middle else 0.0


def key_fits(key: str) -> bool:
    """Whether this can be counted under its own name."""
    return 0 < len(key.encode()) <= MAX_KEY
