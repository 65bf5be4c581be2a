"""What a trouble on the roads means to the judge of views, whichever shell plays it.

It owns that one translation. It must never do anything to a road.
"""

from __future__ import annotations

from granitewell.lab.cluster.chaos import Trouble
from granitewell.lab.fleet.types import Schedule
from granitewell.lab.judge.view import ViewJudge

CLEAR_LOSS = 0.35  # of messages, up to which all have to be seen as they are


def tell(judge: ViewJudge, schedule: Schedule, t: Trouble, on: bool, now_us: int) -> None:
    """The trouble begins or ends."""
    key, first = (t.kind, t.at_us, t.nodes), int(t.value)
    rest = [n for n in schedule.names if n not in t.nodes]
    if t.kind in ("cut", "oneway"):
        judge.cut(now_us, key, (t.nodes[:first], t.nodes[first:]), on, t.kind == "cut")
    elif t.kind in ("alone", "mute", "deaf"):
        judge.cut(now_us, key, (rest, *((n,) for n in t.nodes)), on, t.kind == "alone")
    elif t.kind == "hold" or (t.kind == "link" and not (t.how == "loss" and t.value <= CLEAR_LOSS)):
        judge.set_ambiguous(now_us, key, on, t.nodes or schedule.names)
