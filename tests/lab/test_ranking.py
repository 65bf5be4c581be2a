"""Four policies rank in virtual time as they do on the platform's simulator, on short days of like figures.

And what that comparison showed of an endpoint that leaves.

The figures of LIKE are the module's G there, on whole days (docs/measurements/lab-against-bench.md). The days
here have half of the fleet and begin their trouble sooner, or this would take minutes. Seeds are fixed, and
the same seed plays the same day. Module and least in flight lie close, there as here (0.005 to 0.011), so
which of the two is better is asked of all four days together.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from statistics import mean

import msgspec
import pytest

from granitewell.balancing.interface import Hosts
from granitewell.core import Core
from granitewell.lab.day import Day, Fault
from granitewell.lab.judge import Judge
from granitewell.lab.scenario import draw, load
from granitewell.lab.simulation.play import play
from granitewell.lab.simulation.policies import RandomChoice
from tests.lab.test_simulation_digest import small_day

# scenario: length, begin and span of its fault, the module's G there, by how much the blind ones are worse
LIKE = {
    "like-quiet": (12.0, 0.0, 0.0, 0.989, 0.0),
    "like-busy": (8.0, 0.0, 0.0, 0.987, 0.05),
    "like-deploy": (18.0, 3.0, 14.0, 0.984, 0.03),
    "like-shrink": (14.0, 2.0, 7.0, 0.988, 0.03),
}
POLICIES = ("module", "least-inflight", "round-robin", "random")


def short(name: str, seed: int = 2) -> Day:
    length, at, span, _, _ = LIKE[name]
    scenario, put = load(name), msgspec.structs.replace
    faults = tuple(put(f, at_s=at, for_s=span) for f in scenario.table.faults)
    sooner = replace(scenario, table=put(scenario.table, faults=faults))
    return draw(sooner, seed, endpoints=6, length_s=length)


def figures(day: Day) -> dict[str, float]:
    """G by policy."""
    out = {}
    for policy in POLICIES:
        judge = Judge(day)
        play(day, policy, judge)
        report = judge.report()
        assert report.requests > 700 and (policy != "module" or report.kept)
        out[policy] = report.g
    return out


def test_policies_rank_as_on_the_platforms_simulator() -> None:
    table = {name: figures(short(name)) for name in LIKE}
    for name, g in table.items():
        there, worse = LIKE[name][3:]
        assert abs(g["module"] - there) < 0.05, (name, g)
        assert g["module"] > g["least-inflight"] - 0.01, (name, g)
        assert min(g["module"], g["least-inflight"]) > max(g["round-robin"], g["random"]) + worse, (name, g)
    first, second = (mean(g[policy] for g in table.values()) for policy in POLICIES[:2])
    assert first > second + 0.002, table


class Deaf(RandomChoice):
    """Goes on sending to who drains."""

    def _hosts_updated(self, event: Hosts) -> None:
        super()._hosts_updated(event)
        self.ready = sorted(self._hosts.values(), key=lambda h: h.id)


class Leaver(Judge):
    """What becomes of attempts at d2, by when they arrive."""

    def __init__(self, day: Day) -> None:
        super().__init__(day)
        self.arrived: dict[str, int] = {}
        self.became: defaultdict[str, list[int]] = defaultdict(list)
        self.down_at = self.told_at = -1

    def sent(self, at: int, rid: str, node: str, endpoint: str, first_byte_at: int) -> None:
        super().sent(at, rid, node, endpoint, first_byte_at)
        self.arrived[rid] = at

    def ended(self, at: int, rid: str, endpoint: str, outcome: str) -> None:
        super().ended(at, rid, endpoint, outcome)
        if endpoint == "d2":
            self.became[outcome].append(self.arrived[rid])

    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        super().told(at, node, endpoint, state)
        if state == "draining" and self.told_at < 0:
            self.told_at = at

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        super().endpoint_down(at, endpoint, why)
        self.down_at = at


def test_one_that_leaves_serves_to_the_end_of_its_drain_and_stays_for_what_it_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Core, "_is_available", lambda *_: True)  # nodes that send to what drains
    begin, end, longest = 2_000_001, 4_000_000, 2_500_000
    day = small_day(length_us=8_000_000)
    slow = replace(day.discovery, notice_us=3_000_000)
    day = replace(day, faults=(Fault(begin, end, "drain", "d2"),), discovery=slow)
    judge = Leaver(day)
    play(day, witness=judge, decider=Deaf)
    assert sum(begin < at < end for at in judge.became["ok"]) > 40 and max(judge.became["ok"]) < end
    assert len(judge.became["full"]) > 40 and min(judge.became["full"]) >= end
    assert judge.down_at == end + longest >= max(judge.became["full"]) and not judge.became["died"]
    assert 0 <= judge.told_at - begin <= day.discovery.period_us + day.discovery.spread_us  # not its notice
