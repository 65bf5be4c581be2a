"""Settings, events and results of the shared counters. Times are whole microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from granitewell.protocols.peers.counts import MAX_KEY
from granitewell.protocols.peers.frames import Keys

OVERFLOW_SLOT = 0  # slot of all keys that have none of their own


@dataclass(frozen=True, slots=True)
class CounterSettings:
    """Settings of the shared counters.

    Attributes:
        window_us: Length of the window over which usage is summed, in microseconds.
        width_us: Length of a slice, in microseconds.
        poll_interval_us: Minimum time between two requests to one node, in microseconds.
        keys: Maximum number of keys that a node counts separately; all others share the overflow slot.
        ceiling_per_s: Assumed maximum usage of a node over all keys, per second.
        growth: Assumed maximum ratio of a node's unreported usage of a key to that in its busiest slice.
        floor_per_s: Unreported usage of a key that is assumed possible in any case, per second.
        bytes_per_s: Maximum rate of the messages that a node sends; if it does not suffice, nodes are polled
            less often.
        drift_ppm: Maximum difference in rate between the clocks of two nodes, in parts per million; crystal
            oscillators stay below 100.
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
        """How many slices a window can overlap: those that fill it, and one that is only partly within it."""
        return -(-self.window_us // self.width_us) + 1


@dataclass(frozen=True, slots=True)
class Peer:
    """Another node, according to the membership.

    Attributes:
        address: Its address.
        up: Whether it can be polled.
        gone: Whether it uses nothing any more, because it has left or an operator has removed it.
    """

    address: str
    up: bool
    gone: bool = False


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class UsageRecorded:
    """This process has used so much of a key."""

    key: str
    count: int = 1


@dataclass(frozen=True, slots=True)
class Peers:
    """The other nodes have changed.

    Attributes:
        peers: All known nodes by name.
        unnamed: How many further nodes may be active whose names are unknown.
    """

    peers: Mapping[str, Peer]
    unnamed: int = 0


@dataclass(frozen=True, slots=True)
class Rekey:
    """Messages are sealed and opened with other keys from now on."""

    keys: Keys


# --- Results --------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class NodeUsage:
    """Bounds of one node's usage, and the reasons for which they differ.

    Attributes:
        name: Name of the node.
        low: Lower bound.
        high: Upper bound.
        age_us: Time since the end of its known usage, in microseconds; -1 if the node was never heard.
        unreported: Part of `high` that the node may have used in time that no report covers.
        window_edge: Part of `high` in slices that may lie outside the window.
        untracked: Part of `high` that may belong to other keys, which had no known slot of their own.
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
    """Bounds of the usage of a key by all nodes in the window that ends now: it is in [low, high].

    Attributes:
        key: The key; "" for all keys.
        low: Lower bound.
        high: Upper bound.
        parts: Bounds of each node.
        unnamed: Part of `high` that nodes of unknown names may have used.
    """

    key: str
    low: int
    high: int
    parts: tuple[NodeUsage, ...]
    unnamed: int = 0

    @property
    def relative_width(self) -> float:
        """Difference of the bounds relative to their mean; 0 if nothing was used."""
        middle = (self.low + self.high) / 2
        return (self.high - self.low) / middle if middle else 0.0


def key_fits(key: str) -> bool:
    """Return whether a key can be counted separately: it is not empty and not longer than `MAX_KEY` bytes."""
    return 0 < len(key.encode()) <= MAX_KEY
