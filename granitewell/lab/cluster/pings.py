"""Many members that do next to nothing: what the virtual cluster itself costs.

It owns the load: each member says something to a random other once a second, and is answered, as in SWIM
(Das, Gupta and Motivala 2002) without any of its work. It must never be taken for a protocol.
"""

from __future__ import annotations

from granitewell.lab.cluster.days import Case, Outcome, Subject
from granitewell.lab.cluster.links import Quality
from granitewell.lab.cluster.world import Boot, Cluster, Spec
from granitewell.lab.engine import stream
from granitewell.state_machine import MessageReceived, SendMessage

PERIOD_US, DAY_US, LENGTH = 1_000_000, 60_000_000, 60
MEMBERS = 500
_PING, _ACK = b"p" * LENGTH, b"a" * LENGTH


class Pinger:
    """Says _PING to a random other once a period, and _ACK to who has said _PING."""

    __slots__ = ("_names", "_rng", "wake_us")

    def __init__(self, boot: Boot, names: tuple[str, ...]) -> None:
        self._names, self._rng = names, boot.rng
        self.wake_us = boot.now_us + int(boot.rng.random() * PERIOD_US)

    def handle(self, now_us: int, event: object) -> list[object]:
        """See the class."""
        if isinstance(event, MessageReceived):
            return [SendMessage(event.sender, _ACK)] if event.data == _PING else []
        self.wake_us = now_us + PERIOD_US
        return [SendMessage(self._names[int(self._rng.random() * len(self._names))], _PING)]


def play(case: Case) -> Outcome:
    """A minute, with 10% loss and clocks that drift."""
    cluster, rng = Cluster(case.seed, Quality(loss=0.1)), stream(case.seed, "clocks")
    names = tuple(f"n{k}" for k in range(case.size or MEMBERS))
    for name in names:
        spec = Spec(name, name, lambda boot: [Pinger(boot, names)], offset_us=int(rng.random() * 1e12),
                    ppm=int(rng.random() * 200) - 100)  # fmt: skip
        cluster.start(cluster.add(spec))
    broken = cluster.run(DAY_US)
    figures: dict[str, float | list[float]] = {"events": cluster.engine.events, "members": len(names)}
    return Outcome(broken, cluster.digest, DAY_US / 1e6, figures)


SUBJECT = Subject(play, lambda case: 0, {})
