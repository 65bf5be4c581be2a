"""The same schedule in virtual time: the pure machines, `lab/cluster`'s roads, and the same judge.

It owns how a schedule's troubles are done there, and the looks at what each member believes, as often as at
processes. It must never play load: there are no requests. Troubles that only processes know are left out, and
named in what is returned.
"""

from __future__ import annotations

from dataclasses import asdict, replace
from statistics import median
from typing import Any

from granitewell.cluster.persisted_record import MAX_ADDRESSES
from granitewell.cluster.size_estimate import (
    KnownNode,
    MembersObserved,
    SizeEstimate,
    SizeEstimator,
    presence_of,
)
from granitewell.lab.cluster.chaos import Chaos, Trouble
from granitewell.lab.cluster.links import Cut, Quality
from granitewell.lab.cluster.membership import KEYS
from granitewell.lab.cluster.membership_watch import member_of
from granitewell.lab.cluster.world import Boot, Cluster, Node, Spec
from granitewell.lab.fleet import fault_effects
from granitewell.lab.fleet.types import KINDS, Schedule
from granitewell.lab.judge.view import ViewJudge
from granitewell.membership.state_machine import Membership
from granitewell.membership.states import UP, Phase
from granitewell.membership.types import Config, Leave, Parameters, PreviousProcess

EVERY_US = 250_000  # between two looks, as at processes
LEAD_US = 2_000_000  # before the day, in which all start
DAY_US = 10_000_000  # of virtual time at which the day begins
OWN = ("term", "mute", "deaf")  # done here, beside what chaos knows


class World:
    """One run."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.judge = ViewJudge(schedule.names, int(schedule.bound_s * 1e6))
        base = {k: int(v) if k.endswith("_us") else v for k, v in schedule.link.items()}
        given = {"delay_us": 100, "jitter_us": 200} | {k: v for k, v in base.items() if v}
        self.cluster = Cluster(schedule.seed, Quality(**given))  # type: ignore[arg-type]
        self._census: dict[str, SizeEstimator] = {}
        self._count: dict[str, SizeEstimate] = {}
        self._kept: dict[
            str, tuple[PreviousProcess | None, list[KnownNode], tuple[str, ...]]
        ] = {}  # as notes have it
        self._skipped: list[str] = []
        self._cuts: dict[Trouble, Cut] = {}
        for k, name in enumerate(schedule.names):
            node = self.cluster.add(Spec(name, name, self._make, other=self._news))
            self._at(k * 10_000 - LEAD_US, self._start, node)

    @property
    def now_us(self) -> int:
        """Of the day."""
        return self.cluster.now_us - DAY_US

    def _at(self, day_us: int, call: Any, *args: Any) -> None:
        self.cluster.engine.at(day_us + DAY_US, call, *args)

    # --- Processes --------------------------------------------------------------------------------------
    def _make(self, boot: Boot) -> list[Membership]:
        """What the program's shell does at a start."""
        schedule, name = self.schedule, boot.id
        nothing: tuple[PreviousProcess | None, list[KnownNode], tuple[str, ...]] = (None, [], ())
        former, known, there = self._kept.get(name, nothing) if schedule.lasting else nothing
        seeds = tuple(dict.fromkeys((*schedule.names[: schedule.seeds], *there)))
        config = Config(name, name, KEYS, seeds=seeds, parameters=Parameters(), previous=former)
        self._census[name] = SizeEstimator(name, schedule.configured, 86_400_000_000, known)
        self._count[name] = self._census[name].estimate
        return [Membership(config, boot.rng)]

    def _news(self, cluster: Cluster, node: Node, effect: object) -> None:
        """Members have changed: the census hears where all stand, as the shell tells it."""
        machine = member_of(node)
        if machine is None:
            return
        there = {e.name: presence_of(e.standing.state.name.lower(), e.by) for e in machine.entries()}
        self._counted(node, MembersObserved(there))
        own = machine.identity
        former = PreviousProcess(own.gen, machine.local.birth, own.inc, machine.local.seq)
        near = tuple(m.about.address for m in machine.members() if m.name != node.id)
        self._kept[node.id] = former, self._census[node.id].known(), near[:MAX_ADDRESSES]

    def _counted(self, node: Node, event: object) -> None:
        for effect in self._census[node.id].handle(node.clock.local(self.cluster.now_us), event):
            if isinstance(effect, SizeEstimate):
                self._count[node.id] = effect

    def _start(self, node: Node) -> None:
        if not node.up:
            self.judge.up(self.now_us, node.id)
            self.cluster.start(node)

    # --- Troubles ---------------------------------------------------------------------------------------
    def plan(self) -> None:
        """All of the schedule that there is here."""
        done = []
        for t in self.schedule.troubles:
            if not (KINDS[t.kind].virtual or t.kind in OWN):
                self._skipped.append(t.kind)
                continue
            self._at(t.at_us - 1, self._told, t, True)
            if KINDS[t.kind].ends:
                self._at(t.until_us - 1, self._told, t, False)
            if t.kind not in OWN:
                done.append(replace(t, at_us=t.at_us + DAY_US, until_us=t.until_us + DAY_US))
        Chaos(self.cluster, done)

    def _told(self, t: Trouble, on: bool) -> None:
        """To the judge, just before it happens; what chaos does not know happens here."""
        now = self.now_us + 1
        fault_effects.tell(self.judge, self.schedule, t, on, now)
        for name in t.nodes:
            node = self.cluster.nodes[name]
            if t.kind in ("kill", "lose"):
                if on:
                    self.judge.down(now, name, t.kind == "lose" or not self.schedule.lasting)
                    if t.kind == "lose":
                        self._kept.pop(name, None)
                else:
                    self.judge.up(now, name)
            elif t.kind == "stall":
                self.judge.set_paused(now, name, on, t.until_us - t.at_us)
            elif t.kind == "term" and on and node.up:
                self.judge.stop_requested(now, name)
                self.cluster.tell(node, Leave())
                self._at(now + Parameters().leave_us, self._end, node)
            elif t.kind == "term" and not on:
                self._again(node)
        if t.kind in ("mute", "deaf"):
            rest = tuple(n for n in self.schedule.names if n not in t.nodes)
            groups = (t.nodes, rest) if t.kind == "mute" else (rest, t.nodes)
            if on:
                self._cuts[t] = Cut(groups, oneway=True)
                self.cluster.links.cut(self._cuts[t])
            else:
                self.cluster.links.heal(self._cuts.pop(t))

    def _again(self, node: Node) -> None:
        """Start it, once the process before is gone."""
        if node.up:
            self._at(self.now_us + 10_000, self._again, node)
        else:
            self._start(node)

    def _end(self, node: Node) -> None:
        self.judge.down(self.now_us, node.id)
        self.cluster.kill(node)

    # --- Looks ------------------------------------------------------------------------------------------
    def look(self) -> None:
        """At all members, as their doors would tell."""
        now = self.now_us
        for name in self.schedule.names:
            node = self.cluster.nodes[name]
            machine = member_of(node)
            if machine is None or node.stalled:
                continue
            census = self._census[name]
            if 0 <= census.wake_us <= node.clock.local(self.cluster.now_us):
                self._counted(node, MembersObserved({}))
            everyone = machine.entries()
            up = {e.name: f"{e.standing.birth:016x}" for e in everyone if e.standing.state in UP and e.about}
            gone = {e.name: e.standing.state.name.lower() for e in everyone if e.standing.state not in UP}
            whole = machine.phase is Phase.ACTIVE
            self.judge.observe(
                now, name, whole, up, gone, self._count[name].upper_bound, machine.identity.gen
            )

    def run(self) -> None:
        """The whole schedule, and then until all agree or have had their time."""
        self.plan()
        now = DAY_US - LEAD_US
        end = DAY_US + int(self.schedule.seconds * 1e6)
        while now < end or self.judge.is_awaiting_agreement(self.now_us):
            now += EVERY_US
            self.cluster.run(now)
            self.look()
        self.judge.end(self.now_us)

    def figures(self) -> dict[str, Any]:
        """As of a run of processes, where there is such a thing here."""
        view = self.judge.report
        took = [s.took_us / 1e6 for s in view.settled if s.took_us >= 0]
        spread = {"median": median(took), "worst": max(took), "count": len(took)} if took else None
        return {
            "scenario": self.schedule.name, "seed": self.schedule.seed, "nodes": len(self.schedule.names),
            "virtual": True, "kept": view.kept, "skipped": sorted(set(self._skipped)),
            "view": {
                "broken": dict(sorted(view.broken.items())),
                "offences": [asdict(o) for o in view.offences[:20]], "looks": view.looks,
                "false_deaths": view.false_deaths, "budget_most": round(view.budget_most, 4),
                "settled": [{"at_s": s.at_us / 1e6, "cause": s.cause,
                             "took_s": s.took_us / 1e6 if s.took_us >= 0 else None} for s in view.settled],
                "settled_s": spread,
            },
        }  # fmt: skip


def play(schedule: Schedule) -> dict[str, Any]:
    """Play it; its figures, plain JSON."""
    world = World(schedule)
    world.run()
    return world.figures()
