"""The judge of the fleet's own view.

Who lives is known by whoever started and stopped them, what each node believes by its status door; the two
are held against each other.

It owns what must hold of a view and when. It must never believe a node of what it did, do I/O, or know which
shell plays. Times are microseconds of the day, negative before it has begun. The rules, by their names:

    settle    after the last trouble all living nodes come to name exactly the living, within the bound
    buried    nobody calls a node dead that nothing has befallen, and that nothing cuts off
    budget    what all living nodes together hold for their parts is never more than the whole, but for a
              short while after a node is new to the others
    life      a name's life number never falls, and a process that was killed never goes on with its life
    upgrade   while two processes of a node change over nobody sees it die, leave, or begin another life
    leave     a node that was asked to stop is not called dead by who could not but hear that it leaves
    elder     a second process of a name does not take it from the first
    first     a node that was asked to stop says so before its clients' listener is gone
    chatter   news is passed on for a while and no more
    number, frames     see the switch
    counts    what a node says that all have used holds what clients saw; see lab/judge/counts
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

RULES = ("settle", "buried", "budget", "life", "upgrade", "leave", "elder", "first", "chatter", "number",
         "frames", "counts")  # fmt: skip
FAULT_GRACE_US = 45_000_000  # after a trouble, for which it explains what is believed
NEW_NODE_GRACE_US = 10_000_000  # for which a node that has come may count on fewer than there are
QUIET_PERIOD_US = 10_000_000  # without a trouble, after which a node hears all that is said to it
BUDGET_TOLERANCE = 1e-6
MAX_HARMLESS_PAUSE_US = 3_500_000  # a node that stands still for no longer than this must not be buried
MAX_KEPT_VIOLATIONS = 200


@dataclass(frozen=True, slots=True)
class Violation:
    """One rule broken."""

    rule: str
    at_us: int
    text: str


@dataclass(frozen=True, slots=True)
class Settled:
    """How long it took after a change until all agreed; took_us -1: not before the next change, or never."""

    at_us: int
    cause: str
    took_us: int


@dataclass(slots=True)
class NodeStatus:
    """What is known of a node's process.

    Attributes:
        up: It runs.
        held: It stands still.
        asked_us: When it was asked to stop, -1 for not.
        since_us: Of its start.
        touched_us: When something last befell it that explains a death.
    """

    name: str
    up: bool = False
    paused: bool = False
    stop_requested_us: int = -1
    started_us: int = 0
    pause_changed_us: int = -(1 << 60)
    last_fault_us: int = -(1 << 60)
    killed_incarnation: int = 0  # the life that it had when it was last killed
    incarnation: int = 0
    leave_observers: frozenset[str] = (
        frozenset()
    )  # who could not but hear that it leaves, when it was asked to


@dataclass(slots=True)
class ViewReport:
    """What came of it.

    Attributes:
        settled: By change.
        offences: The first of many.
        broken: By rule.
    """

    settled: list[Settled] = field(default_factory=list)
    offences: list[Violation] = field(default_factory=list)
    broken: Counter[str] = field(default_factory=Counter)
    looks: int = 0
    unanswered: int = 0
    false_deaths: int = 0
    budget_most: float = 0.0

    @property
    def kept(self) -> bool:
        """Whether all rules were."""
        return not self.broken


class ViewJudge:
    """Fed by whoever plays: processes, roads, looks."""

    def __init__(self, names: Iterable[str], bound_us: int) -> None:
        self.report = ViewReport()
        self._bound_us = bound_us
        self._nodes = {name: NodeStatus(name) for name in names}
        self._partitions: dict[object, tuple[frozenset[str], ...]] = {}  # cuts that are on
        self._partitioned_since_us: dict[object, int] = {}  # and since when
        self._last_partitioned_us: dict[
            frozenset[str], int
        ] = {}  # pair: when they were last cut off from each other
        self._ambiguous_faults: set[object] = set()  # troubles under which no view is expected
        self._upgrades: dict[str, tuple[int, int]] = {}  # node: since when, and the life that it had
        self._first_births: dict[str, str] = {}  # names that two processes go by: the birth of the first
        self._latest_views: dict[str, tuple[int, bool, dict[str, str], bool]] = {}
        self._last_change_us, self._last_change_cause, self._awaiting_agreement = 0, "", False
        self._reported: set[tuple[str, str, int]] = set()
        self._upper_bounds: dict[str, int] = {}

    # --- What befalls them ------------------------------------------------------------------------------
    def up(self, at_us: int, name: str) -> None:
        """A process of it has started."""
        node = self._nodes[name]
        node.up, node.paused, node.stop_requested_us, node.started_us, node.last_fault_us = (
            True,
            False,
            -1,
            at_us,
            at_us,
        )
        self._latest_views.pop(name, None)
        self._change(at_us, f"start {name}")

    def down(self, at_us: int, name: str, lost: bool = False) -> None:
        """Its process is gone; lost: and what it had written down, so that it may begin from nothing."""
        node = self._nodes[name]
        if lost:
            node.incarnation = node.killed_incarnation = 0
            self._change(at_us, f"kill {name}")
        elif node.stop_requested_us < 0:
            node.killed_incarnation = max(node.incarnation, node.killed_incarnation)
            self._change(at_us, f"kill {name}")
        node.up, node.last_fault_us = False, at_us
        self._latest_views.pop(name, None)
        self._upper_bounds.pop(name, None)

    def stop_requested(self, at_us: int, name: str) -> None:
        """It has been asked to stop."""
        node = self._nodes[name]
        node.stop_requested_us = at_us
        node.leave_observers = frozenset(n for n, x in self._nodes.items() if self._can_hear(at_us, x, node))
        self._change(at_us, f"leave {name}")

    def _can_hear(self, at_us: int, by: NodeStatus, node: NodeStatus) -> bool:
        """Is nothing in the way between them, and has nothing been for a while?"""
        is_quiet = (
            at_us - max(by.last_fault_us, node.last_fault_us, by.pause_changed_us) > QUIET_PERIOD_US
            and not self._ambiguous_faults
        )
        last_partitioned_us = self._last_partitioned_us.get(frozenset((by.name, node.name)), -(1 << 60))
        is_reachable = at_us - last_partitioned_us > QUIET_PERIOD_US and not self._are_partitioned(
            by.name, node.name
        )
        return by.up and not by.paused and is_quiet and is_reachable

    def set_paused(self, at_us: int, name: str, on: bool, span_us: int) -> None:
        """It stands still, for so long, or goes on."""
        node = self._nodes[name]
        node.paused, node.pause_changed_us = on, at_us
        if span_us > MAX_HARMLESS_PAUSE_US:
            node.last_fault_us = at_us
            self._change(at_us, f"{'stop' if on else 'go on'} {name}")

    def cut(self, at_us: int, key: object, groups: Iterable[Iterable[str]], on: bool, both: bool) -> None:
        """Some can't reach others from now on, or can again; both: neither way."""
        made = tuple(frozenset(g) for g in groups)
        self._mark_partitioned(at_us, made)
        sizes = "/".join(str(len(g)) for g in made)
        if on:
            self._partitions[key], self._partitioned_since_us[key] = made, at_us
            if not both:
                self._ambiguous_faults.add(key)
            self._change(at_us, f"cut {sizes}")
        else:
            self._partitions.pop(key, None)
            self._ambiguous_faults.discard(key)
            cut_s = (at_us - self._partitioned_since_us.pop(key, at_us)) / 1e6
            self._change(at_us, f"heal {sizes} after {cut_s:.0f} s")

    def _mark_partitioned(self, at_us: int, groups: tuple[frozenset[str], ...]) -> None:
        for k, one in enumerate(groups):
            for other in groups[k + 1 :]:
                for a in one:
                    for b in other:
                        self._last_partitioned_us[frozenset((a, b))] = at_us

    def set_ambiguous(self, at_us: int, key: object, on: bool, names: Iterable[str] = ()) -> None:
        """Something under which no view is expected to be right; it explains a death of these."""
        (self._ambiguous_faults.add if on else self._ambiguous_faults.discard)(key)
        for name in names:
            self._nodes[name].last_fault_us = at_us
        self._change(at_us, f"{'with' if on else 'without'} {key}")

    def upgrade(self, at_us: int, name: str, on: bool) -> None:
        """Two processes of it run from now on, or one again."""
        if on:
            self._upgrades[name] = at_us, self._nodes[name].incarnation
        else:
            self._upgrades.pop(name, None)

    def set_duplicate_name(self, name: str, on: bool) -> None:
        """A second process goes by the name of one that runs, or does no more."""
        births = [up[name] for _, responded, up, _ in self._latest_views.values() if responded and name in up]
        if on and births:
            self._first_births[name] = births[0]
        elif not on:
            self._first_births.pop(name, None)

    def _change(self, at_us: int, cause: str) -> None:
        if self._awaiting_agreement and self._has_expected_view:
            self.report.settled.append(Settled(self._last_change_us, self._last_change_cause, -1))
        self._last_change_us, self._last_change_cause, self._awaiting_agreement = at_us, cause, True

    def shift_times(self, by_us: int) -> None:
        """The day has begun: what was dated by a clock that ran so far ahead is dated by the day's."""
        for node in self._nodes.values():
            node.started_us += by_us
            node.last_fault_us += by_us
        self._last_change_us += by_us
        self._latest_views = {n: (at + by_us, *rest) for n, (at, *rest) in self._latest_views.items()}  # type: ignore[misc]
        self.report.settled = [Settled(s.at_us + by_us, s.cause, s.took_us) for s in self.report.settled]

    # --- What they believe ------------------------------------------------------------------------------
    def observe(
        self, at_us: int, name: str, responded: bool, up: Mapping[str, str], gone: Mapping[str, str],
        size_upper_bound: int, incarnation: int,
    ) -> str:  # fmt: skip
        """One look at a node; whole: it is a member and has answered.

        What is to be said of it: it names whom it should ("same"), too few, too many, or nobody can tell
        ("none").
        """
        report, node = self.report, self._nodes[name]
        report.looks += 1
        if not node.up or node.paused:
            return "none"
        if not responded:
            report.unanswered += 1
            self._latest_views[name] = at_us, False, {}, False
            return "none"
        self._latest_views[name] = at_us, True, dict(up), node.stop_requested_us >= 0
        self._upper_bounds[name] = size_upper_bound
        self._check_incarnation(at_us, node, incarnation)
        self._check_deaths(at_us, node, gone)
        self._check_births(at_us, node, up, gone)
        self._check_budget(at_us)
        self._check_settled(at_us)
        wanted = self.expected(name)
        if node.stop_requested_us >= 0 or up.keys() == wanted:
            return "same"
        return "few" if wanted - up.keys() else "many"

    def is_member(self, name: str) -> bool:
        """Has its process been seen to be one?"""
        seen = self._latest_views.get(name)
        return seen is not None and seen[1]

    def is_awaiting_agreement(self, at_us: int) -> bool:
        """Is there still time for all to agree, and do they not yet?"""
        return (
            self._awaiting_agreement
            and self._has_expected_view
            and at_us - self._last_change_us < self._bound_us
        )

    def _check_incarnation(self, at_us: int, node: NodeStatus, incarnation: int) -> None:
        if incarnation < node.incarnation:
            self._record_violation(
                "life",
                at_us,
                f"{node.name} says that it is in life {incarnation}, and was in {node.incarnation}",
            )
        if (
            node.killed_incarnation
            and incarnation == node.killed_incarnation
            and node.name not in self._upgrades
        ):
            self._record_violation(
                "life", at_us, f"{node.name} was killed in life {incarnation}, and goes on with it"
            )
        node.incarnation = max(incarnation, node.incarnation)

    def _check_deaths(self, at_us: int, by: NodeStatus, gone: Mapping[str, str]) -> None:
        """Who is called dead, and lives."""
        for name, state in gone.items():
            node = self._nodes.get(name)
            if node is None:
                continue
            if node.stop_requested_us >= 0 and state == "dead" and by.name in node.leave_observers:
                self._report_once(
                    "leave", at_us, by, node, f"{by.name} calls {name} dead, which was asked to stop"
                )
            if not node.up or node.stop_requested_us >= 0 or state != "dead":
                continue
            if name in self._upgrades:
                self._report_once(
                    "upgrade", at_us, by, node, f"{by.name} calls {name} dead during its upgrade"
                )
                continue
            text = f"{by.name} calls {name} dead, which lives"
            if not self._has_explanation(at_us, by, node) and self._report_once(
                "buried", at_us, by, node, text
            ):
                self.report.false_deaths += 1

    def _check_births(
        self, at_us: int, by: NodeStatus, up: Mapping[str, str], gone: Mapping[str, str]
    ) -> None:
        for name, birth in self._first_births.items():
            if up.get(name, birth) != birth:
                text = f"{by.name} takes a second process for {name}, whose first one lives"
                self._report_once("elder", at_us, by, self._nodes[name], text)
        for name in self._upgrades:
            if gone.get(name) == "left" and self._nodes[name].stop_requested_us < 0:
                node = self._nodes[name]
                self._report_once(
                    "upgrade", at_us, by, node, f"{by.name} sees {name} leave during its upgrade"
                )

    def _has_explanation(self, at_us: int, by: NodeStatus, node: NodeStatus) -> bool:
        """Has anything befallen either that accounts for a death?"""
        last = max(node.last_fault_us, by.last_fault_us)
        last = max(last, self._last_partitioned_us.get(frozenset((by.name, node.name)), -(1 << 60)))
        return (
            at_us - last < FAULT_GRACE_US
            or self._are_partitioned(by.name, node.name)
            or bool(self._ambiguous_faults)
        )

    def _are_partitioned(self, a: str, b: str) -> bool:
        return any(_group_index(groups, a) != _group_index(groups, b) for groups in self._partitions.values())

    def _report_once(self, rule: str, at_us: int, by: NodeStatus, node: NodeStatus, text: str) -> bool:
        """Break a rule once for each pair and life."""
        key = (rule + by.name, node.name, node.started_us)
        if key in self._reported:
            return False
        self._reported.add(key)
        self._record_violation(rule, at_us, text)
        return True

    def _check_budget(self, at_us: int) -> None:
        """The parts that all living nodes hold themselves to have."""
        shares = 0.0
        for name, node in self._nodes.items():
            if not node.up or node.paused or node.stop_requested_us >= 0 or name not in self._upper_bounds:
                continue
            if at_us - node.started_us < NEW_NODE_GRACE_US:
                return  # those who were there have to hear of it first
            shares += 1.0 / max(self._upper_bounds[name], 1)
        self.report.budget_most = max(self.report.budget_most, shares)
        if shares > 1.0 + BUDGET_TOLERANCE:
            text = ", ".join(f"{n} 1/{m}" for n, m in sorted(self._upper_bounds.items()))
            self._record_violation(
                "budget", at_us, f"the parts come to {shares:.2f} of the whole: {text[:300]}"
            )

    # --- Settling ---------------------------------------------------------------------------------------
    def _running_nodes(self) -> set[str]:
        return {n for n, x in self._nodes.items() if x.up and not x.paused and x.stop_requested_us < 0}

    @property
    def _has_expected_view(self) -> bool:
        """Is there a view that all should come to?"""
        return not self._ambiguous_faults and len(self._running_nodes()) > 0

    def expected(self, name: str) -> set[str]:
        """Whom this node should name as up: the living that no cut keeps from it."""
        return {n for n in self._running_nodes() if n == name or not self._are_partitioned(n, name)}

    def _check_settled(self, at_us: int) -> None:
        if not self._awaiting_agreement or not self._has_expected_view:
            return
        births: dict[str, str] = {}
        for name in self._running_nodes():
            seen = self._latest_views.get(name)
            if seen is None or not seen[1] or seen[0] <= self._last_change_us or seen[3]:
                return
            if seen[2].keys() != self.expected(name):
                return
            for other, birth in seen[2].items():
                if births.setdefault(other, birth) != birth:
                    return
        self._awaiting_agreement = False
        self.report.settled.append(
            Settled(self._last_change_us, self._last_change_cause, at_us - self._last_change_us)
        )

    def end(self, at_us: int) -> None:
        """The run is over."""
        if not self._awaiting_agreement or not self._has_expected_view:
            return
        if at_us - self._last_change_us >= self._bound_us:
            self._record_violation(
                "settle",
                at_us,
                f"not agreed {(at_us - self._last_change_us) / 1e6:.1f} s after "
                f"{self._last_change_cause}: {self._disagreement_text()}",
            )
        self.report.settled.append(Settled(self._last_change_us, self._last_change_cause, -1))

    def _disagreement_text(self) -> str:
        texts = []
        for name in sorted(self._running_nodes()):
            seen, wanted = self._latest_views.get(name), self.expected(name)
            if seen is None or not seen[1]:
                texts.append(f"{name} is no member")
            elif missing := wanted - seen[2].keys():
                texts.append(f"{name} misses {', '.join(sorted(missing)[:5])}")
            elif more := seen[2].keys() - wanted:
                texts.append(f"{name} still names {', '.join(sorted(more)[:5])}")
        return "; ".join(texts[:5]) or "births differ"

    # --- Offences ---------------------------------------------------------------------------------------
    def report_violation(self, at_us: int, rule: str, text: str) -> None:
        """A rule that somebody else has found broken: the switch, or whoever watched a listener."""
        self._record_violation(rule, at_us, text)

    def _record_violation(self, rule: str, at_us: int, text: str) -> None:
        self.report.broken[rule] += 1
        if len(self.report.offences) < MAX_KEPT_VIOLATIONS:
            self.report.offences.append(Violation(rule, at_us, text))


def _group_index(groups: tuple[frozenset[str], ...], name: str) -> int:
    return next((k for k, group in enumerate(groups) if name in group), -1)
