"""Estimates how many nodes act on the same endpoints, as far as this node can know.

A node's view of the fleet can be wrong in both directions, and the two estimates err on opposite sides:

- `upper_bound` divides what all nodes together may send, to a cold endpoint or of a tenant's allowance. An
  unresponsive node may only be partitioned from us and still serve, so it counts until it has announced that
  it leaves and stays away, an operator has removed it, or a long time has passed. A node that left may come
  back (a restart) while we are partitioned, so it counts until it has been away for some minutes in which all
  other nodes were in sight. A configured node that was never observed may be partitioned too: while any node
  is unaccounted for, `upper_bound` is not below the configured count.
- `expected` multiplies the traffic that this node sees, to forecast all of it. A dead node brings no traffic,
  so only nodes that are up count. The estimate decays slowly, as all shrinking in this program does: after a
  death, the traffic of the dead node arrives before the report of its death. Configured nodes that were never
  observed count as up, since having heard nothing of them proves nothing.

A node is up, unresponsive (declared dead), left, or excluded (left long ago, removed by an operator, or
unresponsive for too long). All but the excluded ones are persisted and read at the next start, where they
begin as unresponsive. The number of never observed nodes is the configured count less the most nodes that
were ever up or unresponsive at a time, so neither a node that left nor a new one in its place hides a node
that was never observed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import exp

from granitewell.state_machine import LogLine, TimerFired

DECAY_STEP_US = 500_000  # between two steps of the decay
DECAY_TIME_CONSTANT_US = 10_000_000  # time constant of the exponential decay
LEFT_GRACE_US = 300_000_000  # for which a node that left may come back
DECAY_END_NODES = 0.05  # a decay this close to its target ends
MAX_NAMES = 20_000  # in all states; the membership has at most half as many up


class Presence(Enum):
    """Presence of a node."""

    UP = "up"
    UNRESPONSIVE = "silent"
    LEFT = "away"
    EXCLUDED = "out"


ABSENT = (Presence.UNRESPONSIVE, Presence.LEFT)
IGNORED_UPDATES = {
    Presence.UNRESPONSIVE: (Presence.LEFT, Presence.EXCLUDED),
    Presence.LEFT: (Presence.EXCLUDED,),
}
"""Presences that an update to the key leaves unchanged."""


def presence_of(state: str, by: str) -> Presence:
    """Return the presence of a member by its state: "alive", "suspect", "dead" or "left".

    If `by` names another member, the node did not announce its leaving itself: an operator removed it.
    """
    if state == "left":
        return Presence.EXCLUDED if by else Presence.LEFT
    return Presence.UNRESPONSIVE if state == "dead" else Presence.UP


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class MembersObserved:
    """Presence of members of our role, by name; a node that is not listed keeps its presence."""

    presences: Mapping[str, Presence]


@dataclass(frozen=True, slots=True)
class NodeRemoved:
    """An operator removed a node."""

    name: str


@dataclass(frozen=True, slots=True)
class ConfiguredCount:
    """The number of nodes in the settings."""

    count: int


# --- Effects --------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """Both estimates, after a change of either.

    Attributes:
        upper_bound: Most nodes that may act.
        expected: Nodes that are expected to bring traffic.
    """

    upper_bound: int
    expected: float


@dataclass(frozen=True, slots=True)
class KnownNode:
    """A node as persisted.

    Attributes:
        name: Its name.
        absent_us: For how long it had been unresponsive or left; -1 if it was up.
    """

    name: str
    absent_us: int


@dataclass(slots=True)
class _NodeState:
    presence: Presence
    since_us: int  # when the presence changed
    in_sight_us: int = 0  # time since it left in which all other nodes were in sight


class SizeEstimator:
    """State machine of the estimates.

    Attributes:
        unheard_us: Time after which an unresponsive node is excluded.
    """

    __slots__ = (
        "_decayed_us",
        "_configured",
        "_next_decay_us",
        "_nodes",
        "_now_us",
        "_own_name",
        "_peak",
        "_last_estimate",
        "_expected",
        "unheard_us",
    )

    def __init__(
        self, own_name: str, configured: int, unheard_us: int, known: Iterable[KnownNode] = ()
    ) -> None:
        self._own_name, self._configured, self.unheard_us = own_name, max(configured, 1), unheard_us
        self._nodes: dict[str, _NodeState] = {own_name: _NodeState(Presence.UP, 0)}
        for node in known:
            if node.name != own_name and len(self._nodes) < MAX_NAMES:
                self._nodes[node.name] = _NodeState(Presence.UNRESPONSIVE, -max(node.absent_us, 0))
        self._peak = len(self._nodes)  # most nodes that were up or unresponsive at a time
        self._expected = float(self._target())
        self._decayed_us = self._next_decay_us = -1
        self._now_us = 0
        self._last_estimate: SizeEstimate | None = None

    # --- Queries ----------------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """Time at which TimerFired is wanted; -1 for never."""
        deadlines = [x.since_us + self.unheard_us for x in self._nodes.values() if x.presence in ABSENT]
        left = [x for x in self._nodes.values() if x.presence is Presence.LEFT]
        if left and self._all_in_sight:
            deadlines += [self._now_us + LEFT_GRACE_US - x.in_sight_us for x in left]
        return min((x for x in (*deadlines, self._next_decay_us) if x >= 0), default=-1)

    @property
    def estimate(self) -> SizeEstimate:
        """Both estimates now."""
        return SizeEstimate(self._upper_bound(), round(self._expected, 3))

    def names(self, presence: Presence) -> list[str]:
        """Return the names of nodes with a presence, sorted."""
        return sorted(name for name, x in self._nodes.items() if x.presence is presence)

    @property
    def unseen(self) -> int:
        """Number of configured nodes that were never observed."""
        return max(self._configured - self._peak, 0)

    def known(self) -> list[KnownNode]:
        """Return the other nodes to persist."""
        return [
            KnownNode(name, -1 if x.presence is Presence.UP else max(self._now_us - x.since_us, 0))
            for name, x in sorted(self._nodes.items())
            if name != self._own_name and x.presence is not Presence.EXCLUDED
        ]

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; return a SizeEstimate if it changed, and log lines."""
        first = self._decayed_us < 0
        passed_us = max(now_us - self._now_us, 0)
        if not first and self._all_in_sight:
            for node in self._nodes.values():
                node.in_sight_us += passed_us if node.presence is Presence.LEFT else 0
        self._now_us = max(now_us, self._now_us)
        if first:
            self._decayed_us = self._now_us
            for node in self._nodes.values():  # persisted times are relative to the start
                node.since_us += self._now_us
        out: list[object] = []
        if isinstance(event, MembersObserved):
            for name, presence in event.presences.items():
                self._update(name, presence)
        elif isinstance(event, NodeRemoved):
            self._update(event.name, Presence.EXCLUDED)
        elif isinstance(event, ConfiguredCount):
            self._configured = max(event.count, 1)
        elif not isinstance(event, TimerFired):
            raise TypeError(f"event: found {type(event).__name__}, allowed are those of size_estimate")
        self._expire(out)
        self._peak = max(self._peak, self._count_in(Presence.UP) + self._count_in(Presence.UNRESPONSIVE))
        self._decay()
        now = self.estimate
        if now != self._last_estimate:
            self._last_estimate = now
            out.append(now)
        return out

    def _update(self, name: str, presence: Presence) -> None:
        if name == self._own_name:
            return
        node = self._nodes.get(name)
        if node is not None and node.presence in IGNORED_UPDATES.get(presence, ()):
            return  # a node that left does not become unresponsive, nor leaves twice
        if node is None:
            if len(self._nodes) >= MAX_NAMES and not self._make_room():
                return
            self._nodes[name] = _NodeState(presence, self._now_us)
        elif node.presence is not presence:
            node.presence, node.since_us, node.in_sight_us = presence, self._now_us, 0

    def _make_room(self) -> bool:
        """Drop the node that has been excluded for longest; return whether there was one."""
        out = [(x.since_us, name) for name, x in self._nodes.items() if x.presence is Presence.EXCLUDED]
        if out:
            del self._nodes[min(out)[1]]
        return bool(out)

    def _expire(self, out: list[object]) -> None:
        for name, node in self._nodes.items():
            if node.presence in ABSENT and self._now_us - node.since_us >= self.unheard_us:
                if node.presence is Presence.UNRESPONSIVE:
                    hours = self.unheard_us / 3.6e9
                    out.append(
                        LogLine("lost", f"{name} has been silent for {hours:.1f} h: it counts no more")
                    )
                node.presence, node.since_us = Presence.EXCLUDED, self._now_us
            elif node.presence is Presence.LEFT and node.in_sight_us >= LEFT_GRACE_US:
                node.presence, node.since_us = Presence.EXCLUDED, self._now_us

    # --- Estimates --------------------------------------------------------------------------------------
    def _count_in(self, presence: Presence) -> int:
        return sum(x.presence is presence for x in self._nodes.values())

    def _upper_bound(self) -> int:
        unaccounted = self._count_in(Presence.UNRESPONSIVE) + self._count_in(Presence.LEFT) + self.unseen
        found = self._count_in(Presence.UP) + unaccounted
        return max(found, self._configured) if unaccounted else max(found, 1)

    @property
    def _all_in_sight(self) -> bool:
        """Whether all nodes that may act, other than those that left, are in sight."""
        return (
            not self._count_in(Presence.UNRESPONSIVE) and not self.unseen and self._count_in(Presence.UP) > 1
        )

    def _target(self) -> int:
        return max(self._count_in(Presence.UP) + self.unseen, 1)

    def _decay(self) -> None:
        """Follow the target: growth at once, a decrease by exponential decay in steps."""
        target, passed_us = self._target(), self._now_us - self._decayed_us
        if target >= self._expected:
            self._expected, self._decayed_us = float(target), self._now_us
        elif self._next_decay_us < 0:
            self._decayed_us = self._now_us  # the decay begins now
        elif passed_us > 0:
            self._expected += (target - self._expected) * (1.0 - exp(-passed_us / DECAY_TIME_CONSTANT_US))
            self._decayed_us = self._now_us
        if self._expected - target < DECAY_END_NODES:
            self._expected = float(target)
        self._next_decay_us = self._now_us + DECAY_STEP_US if self._expected > target else -1
