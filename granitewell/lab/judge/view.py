"""Checks the membership view of each node against what really happened to the nodes.

Whoever starts and stops the nodes reports which of them run; the nodes' status pages give their views. The
checks do no I/O and do not depend on how the nodes run. Times are microseconds of the day, negative before it
begins. The rules, by name:

    settle    after the last fault all running nodes agree on exactly the running nodes, within the bound
    buried    no node is called dead that suffered no fault and is not partitioned away
    budget    the shares that all running nodes claim never exceed the whole, except shortly after a node is
              new
    life      a name's incarnation never falls, and a killed process never resumes its incarnation
    upgrade   while two processes of a node change over nobody sees it die, leave, or start a new incarnation
    leave     a node that was asked to stop is not called dead by a node that must have heard that it leaves
    elder     a second process of a name does not take the name from the first
    first     a node that was asked to stop announces it before its client listener closes
    chatter   gossip about a change stops after a while
    number, frames     see the switch
    counts    the usage that a node reports for all nodes fits what clients saw; see lab/judge/counts
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

RULES = ("settle", "buried", "budget", "life", "upgrade", "leave", "elder", "first", "chatter", "number",
         "frames", "counts")  # fmt: skip
FAULT_GRACE_US = 45_000_000  # after a fault, during which it explains a wrong view
NEW_NODE_GRACE_US = 10_000_000  # during which a new node may know too few members
QUIET_PERIOD_US = 10_000_000  # without a fault, after which a node receives everything sent to it
BUDGET_TOLERANCE = 1e-6
MAX_HARMLESS_PAUSE_US = 3_500_000  # a node paused no longer than this must not be declared dead
MAX_KEPT_VIOLATIONS = 200


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule."""

    rule: str
    at_us: int
    text: str


@dataclass(frozen=True, slots=True)
class Settled:
    """Time from a change until all nodes agreed; took_us -1: not before the next change, or never."""

    at_us: int
    cause: str
    took_us: int


@dataclass(slots=True)
class NodeStatus:
    """The state of a node's process.

    Attributes:
        up: Whether it runs.
        paused: Whether it is paused.
        stop_requested_us: When it was asked to stop; -1: not asked.
        started_us: When it started.
        last_fault_us: When it last suffered a fault that explains a reported death.
    """

    name: str
    up: bool = False
    paused: bool = False
    stop_requested_us: int = -1
    started_us: int = 0
    pause_changed_us: int = -(1 << 60)
    last_fault_us: int = -(1 << 60)
    killed_incarnation: int = 0  # its incarnation when it was last killed
    incarnation: int = 0
    leave_observers: frozenset[str] = frozenset()  # nodes that must have heard that it leaves


@dataclass(slots=True)
class ViewReport:
    """The result of the checks.

    Attributes:
        settled: One entry per change.
        offences: The first violations.
        broken: Violations by rule.
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
        """Whether all rules were kept."""
        return not self.broken


class ViewJudge:
    """Takes process changes, partitions and observed views, and checks the rules."""

    def __init__(self, names: Iterable[str], bound_us: int) -> None:
        self.report = ViewReport()
        self._bound_us = bound_us
        self._nodes = {name: NodeStatus(name) for name in names}
        self._partitions: dict[object, tuple[frozenset[str], ...]] = {}  # active partitions
        self._partitioned_since_us: dict[object, int] = {}  # when they began
        # pair of nodes: when they were last partitioned from each other
        self._last_partitioned_us: dict[frozenset[str], int] = {}
        self._ambiguous_faults: set[object] = (
            set()
        )  # active faults under which no particular view is expected
        self._upgrades: dict[str, tuple[int, int]] = {}  # node: start time, and its incarnation then
        self._first_births: dict[str, str] = {}  # names used by two processes: the birth of the first
        self._latest_views: dict[str, tuple[int, bool, dict[str, str], bool]] = {}
        self._last_change_us, self._last_change_cause, self._awaiting_agreement = 0, "", False
        self._reported: set[tuple[str, str, int]] = set()
        self._upper_bounds: dict[str, int] = {}

    # --- Processes and faults ---------------------------------------------------------------------------
    def up(self, at_us: int, name: str) -> None:
        """A process of the node started."""
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
        """The node's process ended; `lost`: its stored state is gone too, so it may start from nothing."""
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
        """The node was asked to stop."""
        node = self._nodes[name]
        node.stop_requested_us = at_us
        node.leave_observers = frozenset(n for n, x in self._nodes.items() if self._can_hear(at_us, x, node))
        self._change(at_us, f"leave {name}")

    def _can_hear(self, at_us: int, by: NodeStatus, node: NodeStatus) -> bool:
        """Whether nothing has separated the two nodes or disturbed either of them for a while."""
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
        """The node is paused for `span_us`, or resumes."""
        node = self._nodes[name]
        node.paused, node.pause_changed_us = on, at_us
        if span_us > MAX_HARMLESS_PAUSE_US:
            node.last_fault_us = at_us
            self._change(at_us, f"{'stop' if on else 'go on'} {name}")

    def cut(self, at_us: int, key: object, groups: Iterable[Iterable[str]], on: bool, both: bool) -> None:
        """Begin or heal a partition; `both`: it blocks both directions."""
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
        """Begin or end a fault without an expected view; it explains a reported death of these nodes."""
        (self._ambiguous_faults.add if on else self._ambiguous_faults.discard)(key)
        for name in names:
            self._nodes[name].last_fault_us = at_us
        self._change(at_us, f"{'with' if on else 'without'} {key}")

    def upgrade(self, at_us: int, name: str, on: bool) -> None:
        """Begin or end an upgrade, during which two processes of the node run."""
        if on:
            self._upgrades[name] = at_us, self._nodes[name].incarnation
        else:
            self._upgrades.pop(name, None)

    def set_duplicate_name(self, name: str, on: bool) -> None:
        """A second process starts or stops using the name of a running one."""
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
        """Shift all recorded times by `by_us`, from the clock before the day to the day's clock."""
        for node in self._nodes.values():
            node.started_us += by_us
            node.last_fault_us += by_us
        self._last_change_us += by_us
        self._latest_views = {n: (at + by_us, *rest) for n, (at, *rest) in self._latest_views.items()}  # type: ignore[misc]
        self.report.settled = [Settled(s.at_us + by_us, s.cause, s.took_us) for s in self.report.settled]

    # --- Observed views ---------------------------------------------------------------------------------
    def observe(
        self, at_us: int, name: str, responded: bool, up: Mapping[str, str], gone: Mapping[str, str],
        size_upper_bound: int, incarnation: int,
    ) -> str:  # fmt: skip
        """Check the view that a node reported; `responded`: it is a member and has answered.

        Returns "same" if it names the expected nodes, "few" or "many" if too few or too many, and "none" if
        that cannot be told.
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
        """Whether its current process has been seen to be a member."""
        seen = self._latest_views.get(name)
        return seen is not None and seen[1]

    def is_awaiting_agreement(self, at_us: int) -> bool:
        """Whether the nodes do not agree yet and still have time to."""
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
        """Check for nodes that are called dead although they run."""
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
        """Whether a recent fault of either node explains a reported death."""
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
        """Record a violation once for each rule, pair of nodes and process; returns whether it is new."""
        key = (rule + by.name, node.name, node.started_us)
        if key in self._reported:
            return False
        self._reported.add(key)
        self._record_violation(rule, at_us, text)
        return True

    def _check_budget(self, at_us: int) -> None:
        """Check that the shares that all running nodes claim do not exceed the whole."""
        shares = 0.0
        for name, node in self._nodes.items():
            if not node.up or node.paused or node.stop_requested_us >= 0 or name not in self._upper_bounds:
                continue
            if at_us - node.started_us < NEW_NODE_GRACE_US:
                return  # the others have to learn of it first
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
        """Whether there is a view that all nodes should agree on."""
        return not self._ambiguous_faults and len(self._running_nodes()) > 0

    def expected(self, name: str) -> set[str]:
        """The nodes that this one should name as up: the running ones in its partition."""
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
        """Finish the run: report a change on which the nodes did not agree."""
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

    # --- Violations -------------------------------------------------------------------------------------
    def report_violation(self, at_us: int, rule: str, text: str) -> None:
        """Record a violation found elsewhere, such as by the switch or a listener's observer."""
        self._record_violation(rule, at_us, text)

    def _record_violation(self, rule: str, at_us: int, text: str) -> None:
        self.report.broken[rule] += 1
        if len(self.report.offences) < MAX_KEPT_VIOLATIONS:
            self.report.offences.append(Violation(rule, at_us, text))


def _group_index(groups: tuple[frozenset[str], ...], name: str) -> int:
    return next((k for k, group in enumerate(groups) if name in group), -1)
