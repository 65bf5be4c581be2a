"""The roads between nodes: how long a message takes, which are lost or doubled, who can't reach whom.

It owns the draws for each message and the state of streams. It must never look into a message, nor touch a
node. Cuts are one-way where they are asked to be; a stream under a cut holds its messages back as TCP does,
and breaks where the cut lasts longer than `GIVE_UP_US`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

GIVE_UP_US = 5_000_000  # a stream that gets nothing through for so long is broken
RESEND_US = 200_000  # a segment lost costs a stream so much, and twice that the next time
MAX_QUEUED = 64  # messages that a stream holds while it can't send


@dataclass(slots=True)
class Quality:
    """Of a road, or of all. Times in microseconds, the rest shares of messages."""

    delay_us: int = 500
    jitter_us: int = 500  # more than that, evenly
    loss: float = 0.0
    doubled: float = 0.0
    late: float = 0.0  # overtaken by others: they take up to late_us more
    late_us: int = 500_000


@dataclass(frozen=True, slots=True)
class Cut:
    """Who can't reach whom: from any of one group to any of another; within a group all is well.

    Attributes:
        oneway: Only from the first group to the others.
    """

    groups: tuple[tuple[str, ...], ...]
    oneway: bool = False

    def test(self) -> Callable[[str, str], bool]:
        """Whether a message from one address to another is stopped. Who is in no group is reached by all."""
        place = {address: k for k, group in enumerate(self.groups) for address in group}
        oneway = self.oneway

        def stops(source: str, to: str) -> bool:
            a, b = place.get(source, -1), place.get(to, -1)
            return a != b and a >= 0 and b >= 0 and (a == 0 or not oneway)

        return stops


class Stream:
    """One direction between two addresses: in order while it stands.

    Attributes:
        turn: Changes when it breaks, so that what was under way is known to be lost.
    """

    __slots__ = ("last_us", "queued", "stopped_us", "turn")

    def __init__(self) -> None:
        self.turn = 0
        self.last_us = 0  # when the message before arrives
        self.stopped_us = -1  # since when a cut holds it
        self.queued: list[bytes] = []

    def snap(self) -> None:
        """It breaks: what is under way or queued is lost."""
        self.turn += 1
        self.last_us, self.stopped_us = 0, -1
        self.queued.clear()


class Links:
    """All roads.

    Attributes:
        quality: Of every road.
        worse: More for single addresses, either end.
    """

    __slots__ = ("_cuts", "_rng", "quality", "streams", "worse")

    def __init__(self, rng: Random, quality: Quality | None = None) -> None:
        self._rng = rng
        self.quality = quality or Quality()
        self.worse: dict[str, Quality] = {}
        self.streams: dict[tuple[str, str], Stream] = {}
        self._cuts: list[tuple[Cut, Callable[[str, str], bool]]] = []

    def cut(self, cut: Cut) -> None:
        """From now on."""
        self._cuts.append((cut, cut.test()))

    def heal(self, cut: Cut) -> None:
        """That cut is over; others stay."""
        for k, (other, _) in enumerate(self._cuts):
            if other is cut:
                del self._cuts[k]
                return

    def stopped(self, source: str, to: str) -> bool:
        """Whether a cut lies between them, in that direction."""
        return any(stops(source, to) for _, stops in self._cuts) if self._cuts else False

    def datagram(self, source: str, to: str) -> Sequence[int]:
        """How long it takes; none where it is lost, two where it is doubled."""
        if self._cuts and self.stopped(source, to):
            return ()
        qualities = self._of(source, to)
        for q in qualities:
            if q.loss and self._rng.random() < q.loss:
                return ()
        once = (self._takes(qualities),)
        if any(q.doubled and self._rng.random() < q.doubled for q in qualities):
            return (*once, self._takes(qualities))
        return once

    def stream(self, source: str, to: str) -> int:
        """How long a message on a stream takes that nothing cuts: a loss costs time."""
        qualities = self._of(source, to)
        takes, again = self._takes(qualities), RESEND_US
        for q in qualities:
            while q.loss and again < GIVE_UP_US and self._rng.random() < q.loss:
                takes += again
                again *= 2
        return takes

    def _of(self, source: str, to: str) -> tuple[Quality, ...]:
        if not self.worse:
            return (self.quality,)
        more = (self.worse.get(source), self.worse.get(to))
        return (self.quality, *(q for q in more if q is not None))

    def _takes(self, qualities: tuple[Quality, ...]) -> int:
        takes, rng = 0, self._rng
        for q in qualities:
            takes += q.delay_us
            if q.jitter_us:
                takes += int(rng.random() * q.jitter_us)
            if q.late and rng.random() < q.late:
                takes += int(rng.random() * q.late_us)
        return takes
