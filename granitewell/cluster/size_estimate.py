"""How many nodes act on the same endpoints, as far as this one can know.

It owns two counts and the names behind them. It must never know how a member is found dead, speak to anybody,
or decide what a count is used for.

Theory of operation. A view of a fleet can be wrong both ways, and the two uses of a count have their safe
sides on different ends:

- `most` divides what all nodes together may push: at a cold endpoint, of a tenant's allowance. A node that we
  hear nothing of may only be cut off from us and go on serving, so it counts until it has left by its own
  word and stays away, an operator has said that it is gone, or a long time has passed. One that has left may
  come back (a restart) while we are cut off, so it counts until it has been away for some minutes in which we
  had everybody else in sight. And a node that the settings count
  and nobody has ever named may be cut off as well: while any is unaccounted for, `most` is never below what
  the settings say.
- `up` multiplies what this node sees of the traffic, for a forecast of all of it. Who is dead brings no
  traffic of its own any more, so only those count that are up; but a fall comes slowly, as all shrinking in
  this program does, since after a death the traffic of the dead comes to us first and the news of it later.
  Those whom nobody has ever named are held to be up: that nothing was heard of them proves nothing.

Each name is up, silent (dead as far as we know), away (has left), or out (has left for long enough, was
called gone, or was silent for too long). What names are not out is written down and read again at the next
start, where all begin as silent. Nodes that nobody has named are those that the settings count beyond the
most that were ever up or silent at a time: so neither a name that has gone nor a new one in its place hides
one that was never seen.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import exp

from granitewell.state_machine import LogLine, TimerFired

DECAY_STEP_US = 500_000  # between two steps of a fall
DECAY_TIME_CONSTANT_US = 10_000_000  # in which a fall has done two thirds of its way
LEFT_GRACE_US = 300_000_000  # for which one that has left may come back
DECAY_END_NODES = 0.05  # of a node; a fall that is so near its end is over
MAX_NAMES = 20_000  # in all states; the membership shows half as many at a time


class Presence(Enum):
    """Where a name stands."""

    UP = "up"
    UNRESPONSIVE = "silent"
    LEFT = "away"
    EXCLUDED = "out"


ABSENT = (Presence.UNRESPONSIVE, Presence.LEFT)
IGNORED_UPDATES = {
    Presence.UNRESPONSIVE: (Presence.LEFT, Presence.EXCLUDED),
    Presence.LEFT: (Presence.EXCLUDED,),
}  # what such news leaves as it is


def presence_of(state: str, by: str) -> Presence:
    """Where a member of that state stands: alive, suspect, dead or left, as it is said by somebody.

    Whom another has called gone did not say so itself: an operator knows that it stays away.
    """
    if state == "left":
        return Presence.EXCLUDED if by else Presence.LEFT
    return Presence.UNRESPONSIVE if state == "dead" else Presence.UP


# --- Events ---------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class MembersObserved:
    """Where those of our role stand in the view, all that it names; whom it does not name stays where it
    is.
    """

    presences: Mapping[str, Presence]


@dataclass(frozen=True, slots=True)
class NodeRemoved:
    """An operator says that it is gone."""

    name: str


@dataclass(frozen=True, slots=True)
class ConfiguredCount:
    """So many nodes act by the settings."""

    count: int


# --- Effects --------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """Both counts, after a change of either."""

    upper_bound: int
    expected: float


@dataclass(frozen=True, slots=True)
class KnownNode:
    """A name as it is written down.

    Attributes:
        silent_us: For how long it had been silent or away; -1 for up.
    """

    name: str
    absent_us: int


@dataclass(slots=True)
class _NodeState:
    presence: Presence
    since_us: int  # when it fell silent, or when it went
    in_sight_us: int = 0  # since it left, with everybody else in sight


class SizeEstimator:
    """own: our name, which is up for as long as we run.

    Attributes:
        unheard_us: Silence after which a name is out.
        known: Of the process before.
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
        self._peak = len(self._nodes)  # most names that were up or silent at a time
        self._expected = float(self._target())
        self._decayed_us = self._next_decay_us = -1
        self._now_us = 0
        self._last_estimate: SizeEstimate | None = None

    # --- What others see --------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When TimerFired is wanted; -1 for never."""
        deadlines = [x.since_us + self.unheard_us for x in self._nodes.values() if x.presence in ABSENT]
        left = [x for x in self._nodes.values() if x.presence is Presence.LEFT]
        if left and self._all_in_sight:
            deadlines += [self._now_us + LEFT_GRACE_US - x.in_sight_us for x in left]
        return min((x for x in (*deadlines, self._next_decay_us) if x >= 0), default=-1)

    @property
    def estimate(self) -> SizeEstimate:
        """Both counts now."""
        return SizeEstimate(self._upper_bound(), round(self._expected, 3))

    def names(self, presence: Presence) -> list[str]:
        """Those that stand there."""
        return sorted(name for name, x in self._nodes.items() if x.presence is presence)

    @property
    def unseen(self) -> int:
        """Nodes that the settings count and nobody has named."""
        return max(self._configured - self._peak, 0)

    def known(self) -> list[KnownNode]:
        """To be written down; not ourselves."""
        return [
            KnownNode(name, -1 if x.presence is Presence.UP else max(self._now_us - x.since_us, 0))
            for name, x in sorted(self._nodes.items())
            if name != self._own_name and x.presence is not Presence.EXCLUDED
        ]

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; a Count where one has changed, and lines."""
        first = self._decayed_us < 0
        passed_us = max(now_us - self._now_us, 0)
        if not first and self._all_in_sight:
            for node in self._nodes.values():
                node.in_sight_us += passed_us if node.presence is Presence.LEFT else 0
        self._now_us = max(now_us, self._now_us)
        if first:
            self._decayed_us = self._now_us
            for node in self._nodes.values():  # what was read is dated from the start on
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
            raise TypeError(f"event: found {type(event).__name__}, allowed are those of census")
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
            return  # who went does not come back silent, nor leaves twice
        if node is None:
            if len(self._nodes) >= MAX_NAMES and not self._make_room():
                return
            self._nodes[name] = _NodeState(presence, self._now_us)
        elif node.presence is not presence:
            node.presence, node.since_us, node.in_sight_us = presence, self._now_us, 0

    def _make_room(self) -> bool:
        """Let go of the name that has been out for longest; whether there was one."""
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

    # --- Counts -----------------------------------------------------------------------------------------
    def _count_in(self, presence: Presence) -> int:
        return sum(x.presence is presence for x in self._nodes.values())

    def _upper_bound(self) -> int:
        unaccounted = self._count_in(Presence.UNRESPONSIVE) + self._count_in(Presence.LEFT) + self.unseen
        found = self._count_in(Presence.UP) + unaccounted
        return max(found, self._configured) if unaccounted else max(found, 1)

    @property
    def _all_in_sight(self) -> bool:
        """Is everybody who may act in sight, but for those who have left?"""
        return (
            not self._count_in(Presence.UNRESPONSIVE) and not self.unseen and self._count_in(Presence.UP) > 1
        )

    def _target(self) -> int:
        return max(self._count_in(Presence.UP) + self.unseen, 1)

    def _decay(self) -> None:
        """Growth at once; a fall by steps, each a part of what is left."""
        target, passed_us = self._target(), self._now_us - self._decayed_us
        if target >= self._expected:
            self._expected, self._decayed_us = float(target), self._now_us
        elif self._next_decay_us < 0:
            self._decayed_us = self._now_us  # it begins now
        elif passed_us > 0:
            self._expected += (target - self._expected) * (1.0 - exp(-passed_us / DECAY_TIME_CONSTANT_US))
            self._decayed_us = self._now_us
        if self._expected - target < DECAY_END_NODES:
            self._expected = float(target)
        self._next_decay_us = self._now_us + DECAY_STEP_US if self._expected > target else -1
