"""Tests of the judge: each rule at its exact limit, and the score against a brute-force count."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.lab import day as d
from granitewell.lab.judge import RULES, Histogram, Judge, Report
from granitewell.lab.mutants import bench
from granitewell.lab.mutants.catalogue import DEFECTS, Defect
from granitewell.lab.mutants.patch import Patch, PatchError

SAFE, UNSAFE = 0, 1
T, SLACK, GRACE = 1_000_000, 50_000, 1_000_000
DUE = 1 + T + SLACK  # of what is taken at 1
LATER = (9_000_000, "node_ready", "n0")  # lets time pass
Seen = tuple[Any, ...]  # (at, method, *args)

DAY = d.Day(
    name="plain", seed=1, length_us=12_000_000, zones=("a", "b"),
    classes=(
        d.ClassDay("look", 0.7, 10_000.0, d.Dist.CONSTANT, 0.0, 0.0, 400_000, 1_500_000, 2.0, 0.5, False),
        d.ClassDay("book", 0.3, 50_000.0, d.Dist.CONSTANT, 0.0, 0.0, 500_000, 1_200_000, 10.0, 0.25, True),
    ),
    tenants=(d.TenantDay("big", 0.8, 0.5, 3.0), d.TenantDay("free", 0.2, 0.5, 0.0)),
    kinds=(d.KindDay("k", 2, 1, 9.0, 0.0, 4.0, 0.2, 10_000_000, d.Warms.TIME, 0.0, d.Stops.NONE, False, 0, 0,
                     0.0, 0, 0),),
    endpoints=tuple(d.EndpointDay(f"e{k}", 0, k % 2, 0, 0.5 + k, 0) for k in range(6)),
    nodes=(d.NodeDay("n0", 0), d.NodeDay("n1", 1)),
    network=d.NetworkDay(1.0, 1.0, 1.0, 0.0), conn=d.ConnDay(2.0, 0.0, 1, 1, 1, 0.0),
    report=d.ReportDay((), 0, 0, 0.0), probe=d.ProbeDay(True, 0.0, 1.0, False, 1),
    clients=d.ClientsDay(2, 0.5, 1000, 0.0, 0.0, 0.0, True, 100_000), front=d.FrontDay(0),
    discovery=d.DiscoveryDay(0, 0, 0, 0, 0), load=d.LoadDay(((0, 1.0),), (0.5, 0.5), 1, 1.0),
    rules=d.RulesDay(GRACE, 3.0, 1_000_000), goal=d.GoalDay(window_us=2_000_000),
    faults=(d.Fault(0, 1, "node_stall", "n0"), d.Fault(0, 1, "cut", "a"), d.Fault(0, 1, "cut", "n0")),
)  # fmt: skip


def ask(cls: int = UNSAFE, rid: str = "r", at: int = 0, zone: int = 0) -> list[Seen]:
    return [(at, "asked", rid, rid, cls, 0, 0, zone, T), (at + 1, "taken", rid, "n0")]


def answer(at: int, verdict: str = "served", right: bool = True) -> Seen:
    return at, "answered", "r", "n0", verdict, 0, right


def sent(at: int, endpoint: str = "e0", first: int = -1, rid: str = "r") -> Seen:
    return at, "sent", rid, "n0", endpoint, at if first < 0 else first


def ended(at: int, outcome: str, endpoint: str = "e0") -> Seen:
    return at, "ended", "r", endpoint, outcome


def told(at: int, state: str, endpoint: str = "e0") -> Seen:
    return at, "told", "n0", endpoint, state


def judged(seen: list[Seen], day: d.Day = DAY, **changes: Any) -> Report:
    judge = Judge(day, **changes)
    for at, method, *args in sorted(seen, key=lambda x: x[0]):
        getattr(judge, method)(at, *args)
    return judge.report()


def cold(count: int, known: bool) -> list[Seen]:
    """A process from 1 s on at 20% of 1 unit, sent so many requests of 50 ms within 100 ms.

    Its budget is 3 x 0.208 s in 1 s, and three deviations of chance are 0.530 s.
    """
    seen: list[Seen] = [(1_000_000, "endpoint_up", "e0", 2, 0, 1.0, 0.2, 10_000_000)]
    seen += [told(1_000_001, "ready")] if known else []
    for k in range(count):
        rid = f"r{k}"
        seen += [*ask(rid=rid, at=1_000_000), sent(1_100_000 + k * 100, rid=rid)]
        seen += [(1_100_000 + k * 100, "answered", rid, "n0", "failed", 0, True)]
    return seen


def later(seen: list[Seen], by: int) -> list[Seen]:
    """The same story that much later, of other requests."""
    return [(x[0] + by, *(f"later-{v}" if str(v)[0] == "r" and str(v)[1:].isdigit() else v for v in x[1:-1]),
             x[-1] + by if x[1] == "sent" else x[-1]) for x in seen]  # fmt: skip


STOP = (5, "node_stopping", "n0")
END, KILL = (200, "node_down", "n0", True, 0), (200, "node_down", "n0", True, -9)
LOST = (150, "lost", "r", "n0", "reset")
# rule: (what breaks it, the same kept just inside the limit)
BOTH: list[tuple[str, list[Seen], list[Seen]]] = [
    ("answer", [*ask(), answer(DUE + 1)], [*ask(), answer(DUE)]),
    ("answer", [*ask(), LATER], [*ask(), (T - 1, "left", "r"), LATER]),
    ("answer", [*ask(), (T, "left", "r"), LATER], [*ask()[:1], LATER]),
    ("answer", [*ask(), (60, "taken", "r", "n1"), LATER],
     [*ask(), (60, "taken", "r", "n1"), answer(DUE + 50)]),
    ("answer", [*ask(), answer(100), answer(101)], [*ask(), (99, "left", "r"), answer(100)]),
    ("answer", [*ask(), (DUE + 1, "fault", 0, True), LATER], [*ask(), (DUE, "fault", 0, True), LATER]),
    ("answer", [*ask(), (5, "fault", 1, True), LATER], [*ask(zone=1), (5, "fault", 1, True), LATER]),
    ("answer", [(0, "fault", 0, True), (1, "fault", 0, False), *ask(at=100_002), LATER],
     [(0, "fault", 0, True), (1, "fault", 0, False), *ask(at=100_001), LATER]),
    ("answer", [*ask(), (60, "taken", "r", "n1"), (70, "fault", 0, True), LATER],
     [*ask(), (70, "fault", 2, True), LATER]),
    ("answer", [*ask(), answer(100), answer(2_000_100)], [*ask(), answer(100)]),
    ("lost", [*ask(), LOST, LATER], [*ask(), LOST, KILL, LATER]),
    ("lost", [*ask(), LOST, (500_151, "node_down", "n0", True, -9)],
     [*ask(), LOST, (500_150, "node_down", "n0", True, -9)]),
    ("lost", [*ask(), STOP, END, LATER], [*ask(), STOP, KILL]),
    ("lost", [*ask(), STOP, END, answer(500_201)], [*ask(), STOP, END, answer(500_200)]),
    ("lost", [STOP, *ask(at=700_005), (800_000, "node_down", "n0", True, -9), LATER],
     [STOP, *ask(at=700_004), (800_000, "node_down", "n0", True, -9)]),
    ("lost", [STOP, *ask(at=800_000), (900_000, "node_down", "n0", True, -9), LATER],
     [STOP, END, (250, "node_up", "n0", 0), *ask(at=800_000), (900_000, "node_down", "n0", True, -9)]),
    ("lost", [STOP, END, *ask(at=300)], [STOP, END, (250, "node_up", "n0", 0), *ask(at=300), answer(400)]),
    ("lost", [*ask(), STOP, END, LATER], [*ask(), (100, "taken", "r", "n1"), STOP, END, answer(300)]),
    ("crash", [(200, "node_down", "n0", False, 1)], [KILL]),
    ("body", [*ask(), answer(100, right=False)], [*ask(), answer(100, "failed", right=False)]),
    ("unsafe", [*ask(), sent(20), sent(40, "e1"), LATER, answer(50)],
     [*ask(SAFE), sent(20), sent(40, "e1"), LATER, answer(50)]),
    ("unsafe", [*ask(), sent(20), sent(40, "e1"), ended(5041, "full"), answer(50_000)],
     [*ask(), sent(20), sent(40, "e1"), ended(5040, "full"), answer(50_000)]),
    ("unsafe", [*ask(), sent(20), ended(30, "dropped"), sent(40, "e1"), answer(50), LATER],
     [*ask(), sent(20), ended(30, "full"), sent(40, "e1"), answer(50), LATER]),
    ("unsafe", [*ask(), sent(20), *[(30 + k, "ran", "r", "e0", 9.0) for k in (0, 1)], answer(50)],
     [*ask(SAFE), sent(20), *[(30 + k, "ran", "r", "e0", 9.0) for k in (0, 1)], answer(50)]),
    ("refusal", [*ask(), sent(20), ended(30, "died"), answer(40, "refused"), LATER],
     [*ask(), sent(20), ended(30, "died"), answer(40, "failed"), LATER]),
    ("refusal", [*ask(), sent(20), answer(40, "refused"), LATER],
     [*ask(), sent(20), ended(41, "full"), answer(40, "refused"), LATER]),
    ("refusal", [*ask(), answer(40, "refused"), sent(41), ended(42, "full")],
     [*ask(SAFE), answer(40, "refused"), sent(41), ended(42, "full")]),
    ("attempts", [*ask(SAFE), *map(sent, range(20, 26)), answer(90)], [*ask(SAFE), *map(sent, range(20, 25)),
                                                                      answer(90)]),
    ("after", [*ask(SAFE), answer(90), sent(99_999, first=91 + SLACK)],
     [*ask(SAFE), answer(90), sent(99_999, first=90 + SLACK)]),
    ("after", [*ask(SAFE), (90, "left", "r"), sent(99_999, first=91 + SLACK)],
     [*ask(SAFE), (90, "left", "r"), sent(99_999, first=90 + SLACK)]),
    ("unknown", [sent(20)], [*ask(), sent(20), answer(30)]),
    ("unknown", [answer(20)], [*ask(), answer(20)]),
    ("drain", [told(0, "draining"), *ask(at=GRACE), sent(GRACE + SLACK + 9, first=GRACE + SLACK + 1),
               answer(GRACE + SLACK + 10)],
     [told(0, "draining"), *ask(at=GRACE), sent(GRACE + SLACK + 9, first=GRACE + SLACK),
      answer(GRACE + SLACK + 10)]),
    ("drain", [told(0, "draining"), told(900_000, "gone"), *ask(at=GRACE), sent(1_060_000),
               answer(1_060_010)],
     [told(0, "draining"), told(900_000, "ready"), *ask(at=GRACE), sent(1_060_000), answer(1_060_010)]),
    ("drain", [told(0, "gone"), *ask(at=GRACE), told(1_070_000, "ready"), sent(1_080_000, first=1_060_000),
               answer(1_090_000)],
     [told(0, "gone"), (9, "node_up", "n0", 0), *ask(at=GRACE), sent(1_080_000), answer(1_090_000)]),
    ("drain", [told(0, "gone"), *ask(at=GRACE), sent(1_060_000), answer(1_090_000)],
     [told(0, "gone"), (9, "fault", 0, True), *ask(at=GRACE), sent(1_060_000), answer(1_090_000)]),
    ("cold", cold(24, True), cold(23, True)),
    ("cold", [*cold(15, True), *later(cold(15, True)[2:], 998_000)],  # 30 in a window, where 29.8 may be
     [*cold(15, True), *later(cold(15, True)[2:], 1_001_500)]),
    ("cold", cold(24, True), cold(24, False)),
    ("cold", [*cold(3, True), (1_200_000, "endpoint_down", "e0", "fell")],
     [*cold(3, False), (1_200_000, "endpoint_down", "e0", "fell")]),
]  # fmt: skip


@pytest.mark.parametrize("rule, broken, kept", BOTH, ids=[f"{k}-{x[0]}" for k, x in enumerate(BOTH)])
def test_each_rule_is_broken_and_kept_at_its_limit(rule: str, broken: list[Seen], kept: list[Seen]) -> None:
    assert set(judged(broken).offences) == {rule}
    assert judged(kept).offences == {}


def test_each_rule_has_a_case() -> None:
    assert {rule for rule, _, _ in BOTH} == set(RULES)


def test_violations_are_ordered_by_time_with_the_request_history() -> None:
    story = [*ask(), sent(20), ended(30, "error"), sent(40, "e1"), answer(50)]
    other = [*ask(SAFE, "s", 60), (70, "answered", "s", "n0", "served", 0, False), LATER]
    report = judged([*story, *other])
    first = report.broken[0]
    assert (first.at, first.rule, first.rid, first.endpoint) == (40, "unsafe", "r", "e1")
    assert [x[:2] for x in first.history] == [(at, method) for at, method, *_ in story]
    assert [o.rule for o in report.broken] == ["unsafe", "body"]


def test_kept_violations_and_histories_are_bounded() -> None:
    story = [*ask(SAFE), *(sent(100 + k) for k in range(2000)), answer(900_000), LATER]
    report = judged(story)
    assert report.offences == {"attempts": 1995}
    assert len(report.broken) == 20 and len(report.broken[0].history) <= 400


def test_the_earliest_violations_are_kept_even_if_found_later() -> None:
    story = [x for k in range(30) for x in ask(SAFE, f"r{k}")]
    story += [(1000 + k, "lost", f"r{k}", "n0", "reset") for k in range(25)]
    bodies = [x for k in range(25) for x in ask(SAFE, f"b{k}")]
    bodies += [(2000, "answered", f"b{k}", "n0", "served", 0, False) for k in range(25)]
    report = judged([*story, *bodies, LATER])
    assert report.offences == {"lost": 25, "body": 25, "answer": 5}
    assert [(o.at, o.rule) for o in report.broken] == [(1000 + k, "lost") for k in range(20)]


def test_finished_requests_are_removed() -> None:
    judge = Judge(DAY)
    for k in range(300):
        for at, method, *args in (*ask(SAFE, f"r{k}", k * 50_000), sent(k * 50_000 + 20, rid=f"r{k}")):
            getattr(judge, method)(at, *args)
        if k % 3:  # every third goes without an answer, and all hang at the endpoint for good
            judge.answered(k * 50_000 + 30, f"r{k}", "n0", ("refused", "served")[k % 2], 0, True)
    judge.node_ready(40_000_000, "n0")
    judge.node_ready(40_200_000, "n0")
    assert not judge._client_attempts and not judge._requests and not judge._violations._scheduled


def test_falling_times_and_unknown_words_are_rejected() -> None:
    judge = Judge(DAY)
    judge.node_ready(7, "n0")
    with pytest.raises(ValueError, match="found 6 us after 7 us"):
        judge.node_ready(6, "n0")
    with pytest.raises(ValueError, match="class 2 is not one"):
        judge.asked(8, "r", "r", 2, 0, 0, 0, T)
    with pytest.raises(ValueError, match="verdict 'sorry'"):
        judge.answered(8, "r", "n0", "sorry", 0, True)


def test_a_booking_that_runs_in_two_client_attempts_is_no_violation() -> None:
    again = [(50, "asked", "r2", "r", UNSAFE, 0, 0, 0, T), (60, "taken", "r2", "n1")]
    ran = [(21, "ran", "r", "e0", 9.0), (71, "ran", "r2", "e1", 9.0)]
    story = [*ask(), sent(20), answer(40, "failed"), *again, (70, "sent", "r2", "n1", "e1", 70), *ran]
    done = (80, "answered", "r2", "n1", "served", 0, True)
    anew = (50, "asked", "r2", "r2", UNSAFE, 0, 0, 0, T, "r")
    assert (judged([*story, done]).offences, judged([*story, done]).double_bookings) == ({}, 1)
    assert judged([anew if x[1:3] == ("asked", "r2") else x for x in [*story, done]]).double_bookings == 1
    assert judged([x for x in [*story, done] if x != ran[0]]).double_bookings == 0
    safe = [(*x[:4], SAFE, *x[5:]) if x[1] == "asked" else x for x in [*story, done]]
    assert judged(safe).double_bookings == 0


def test_a_stalled_node_may_send_attempts_that_are_long_over() -> None:
    stood: list[Seen] = [(5, "fault", 0, True), (10, "fault", 0, False)]
    for node, offences in (("n0", {}), ("n1", {"unknown": 1})):
        assert judged([*stood, (12, "sent", "long-over", node, "e0", 12)]).offences == offences


# --- Legal histories --------------------------------------------------------------------------------------
def legal(rng: Random) -> list[Seen]:
    """A random day in which all rules are kept, by how much it may be."""
    seen: list[Seen] = []
    for k in range(rng.randrange(1, 40)):
        first, at, cls = f"r{k}", rng.randrange(DAY.length_us), rng.randrange(2)
        for number in range(3):
            rid = first if not number else f"{first}.{number}"
            seen.append((at, "asked", rid, first, cls, k % 2, 0, rng.randrange(2), T))
            fate = rng.choice(("served",) * 6 + ("refused", "failed", "left", "unreached", "cut"))
            at = _try(rng, seen, rid, cls, at, fate)
            if fate in ("served", "left") or (cls == UNSAFE and fate == "failed"):
                break
    return sorted(seen, key=lambda x: x[0])


def _try(rng: Random, seen: list[Seen], rid: str, cls: int, at: int, fate: str) -> int:
    """One try; when the next may come."""
    if fate == "unreached":
        return at + T
    node, taken = f"n{rng.randrange(2)}", at + rng.randrange(20_000)
    at, due = taken, taken + (T - 20_001 if fate == "left" else T + SLACK)
    seen.append((taken, "taken", rid, node))
    outcomes, slow = ["full"] * rng.choice((0, 0, 1, 3)), rng.choice((20_000, 100_000, 300_000))
    if fate != "refused" or cls == SAFE:
        ends = ("error", "died", "stopped", "hung", "dropped")
        outcomes += ["ok"] if fate == "served" else rng.choices(ends)
    for k, outcome in enumerate(outcomes):
        at = min(at + rng.randrange(slow), due)
        endpoint = f"e{k}"
        seen.append((at, "sent", rid, node, endpoint, at))
        if outcome not in ("full", "dropped"):
            seen.append((at, "ran", rid, endpoint, float(rng.randrange(90_000))))
        end = min(at + rng.randrange(slow), due)
        seen.append((end, "ended", rid, endpoint, outcome))
        at = end
    if fate == "left":
        seen.append((at, "left", rid))
        return at
    if fate == "cut":
        seen += [(at, "node_down", node, True, -9), (at, "node_up", node, 0)]
        seen += [(at, "lost", rid, node, "reset")]
        return at
    at = rng.choice((at, at, due, rng.randrange(at, due + 1)))
    seen.append((at, "answered", rid, node, fate, 0, True))
    return at + rng.randrange(50_000)


def _without_kills(seen: list[Seen]) -> list[Seen]:
    """A kill takes every request of its node with it; what is answered after that is the story's mistake."""
    cut = [x[2] for x in seen if x[1] == "lost"]
    return [x for x in seen if x[1] not in ("node_down", "node_up", "lost") and x[2] not in cut]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 40))
def test_any_legal_history_passes(seed: int) -> None:
    story = legal(Random(seed))
    for seen in (story, _without_kills(story)):
        report = judged([*seen, (30_000_000, "node_ready", "n0")])
        assert report.offences == {} and report.open == 0
        assert sum(report.totals.values()) == report.tries == sum(x[1] == "asked" for x in seen)


# --- Worth ------------------------------------------------------------------------------------------------
def brute(seen: list[Seen]) -> float:
    """G by its definition, over the whole list again and again."""
    firsts = {x[2]: x for x in seen if x[1] == "asked" and x[2] == x[3]}
    tries = {x[2]: x for x in seen if x[1] == "asked"}
    tokens: dict[int, tuple[float, int]] = {0: (3.0, 0)}
    rows = []  # at, class, tenant, within, worth asked, earned, failed late
    for rid, x in firsts.items():
        at, cls, tenant, within = x[0], DAY.classes[x[4]], x[5], True
        if tenant == 0:
            have = min(tokens[0][0] + (at - tokens[0][1]) * 3.0 / 1e6, 3.0)
            within = have >= 1.0
            tokens[0] = have - within, at
        worth = cls.worth * (1.0 if within else 0.2)
        mine = [t for t in tries.values() if t[3] == rid]
        hits = [a[0] for a in seen for t in mine if a[1] == "answered" and a[2] == t[2] and a[4] == "served"
                and a[0] <= t[0] + T and a[0] - at <= cls.deadline_us]  # fmt: skip
        earned = 0.0 if not hits else worth * (1.0 if min(hits) - at <= cls.aim_us else cls.late_worth)
        last = max(_end(seen, t) for t in mine)
        rows.append((at, x[4], tenant, within, worth, earned, worth * (not hits and last - at > cls.aim_us)))
    n, asked = max(len(rows), 1), sum(r[4] for r in rows)
    windows = [[r for r in rows if b <= r[0] < b + 2_000_000] for b in range(0, 10_000_001, 250_000)]
    parts = [
        (0.4, [rows]), (0.15, windows), (0.2, [[r for r in rows if r[1] == k] for k in (0, 1)]),
        (0.25, [[r for r in rows if r[2] == k and r[3]] for k in (0, 1)]),
    ]  # fmt: skip
    g = sum(w * min((sum(r[5] for r in of) / sum(r[4] for r in of) for of in ofs if of), default=1.0)
            for w, ofs in parts)  # fmt: skip
    work = sum(DAY.classes[r[1]].work_us for r in rows)
    crossed = sum(x[3][1] != str(int(x[4][1]) % 2) for x in seen if x[1] == "sent")
    g -= 0.04 * _wasted(seen) / work + 0.03 * sum(r[6] for r in rows) / asked + 0.02 * crossed / n
    return g


def _end(seen: list[Seen], of: Seen) -> int:
    for x in seen:
        if x[1] in ("answered", "left", "lost") and x[2] == of[2]:
            return int(x[0])
    return int(of[0])  # no node has taken it: refused at once


def _wasted(seen: list[Seen]) -> float:
    served = {x[2] for x in seen if x[1] == "answered" and x[4] == "served"}
    wasted = 0.0
    for at, method, rid, endpoint, *rest in (x for x in seen if x[1] == "ran"):
        assert method == "ran"
        end, _, _, _, outcome = next(x for x in seen if x[1:4] == ("ended", rid, endpoint))
        work = float(rest[0])
        if outcome in ("stopped", "died", "hung"):
            work = min(work, (end - at) * (0.5 + int(endpoint[1])))
        wasted += 0.0 if rid in served and outcome == "ok" else work
    return wasted


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 40))
def test_the_score_matches_a_brute_force_count(seed: int) -> None:
    story = _without_kills(legal(Random(seed)))
    if story:
        report = judged([*story, (30_000_000, "node_ready", "n0")])
        g = sum(v * getattr(DAY.goal, k) for k, v in report.parts.items())
        assert g - sum(p.points for p in report.prices.values()) == pytest.approx(brute(story), abs=1e-9)
        assert report.g == pytest.approx(max(brute(story), 0.0), abs=1e-9)


def test_the_latency_target_is_exact_and_value_is_earned_once() -> None:
    again = [(500, "asked", "s", "r", SAFE, 0, 0, 0, T), (501, "taken", "s", "n1")]
    for at, served, earned in ((400_000, 1, 1.0), (400_001, 0, 0.5)):
        report = judged([*ask(SAFE), *again, answer(at), (500_000, "answered", "s", "n1", "served", 0, True)])
        assert (report.parts["whole"], report.by_class["look"]["served"]) == (earned, served)
    gone = judged([*ask(SAFE), (50, "left", "r"), answer(60)])
    assert (gone.parts["whole"], gone.totals["left"], gone.totals["served"]) == (0.0, 1, 0)


def test_of_two_good_attempts_one_is_wasted() -> None:
    ran = [(21, "ran", "r", "e0", 700.0), (31, "ran", "r", "e1", 300.0)]
    ends = [ended(40, "ok"), answer(45), ended(50, "ok", "e1"), LATER]
    report = judged([*ask(SAFE), sent(20), sent(30, "e1"), *ran, *ends])
    assert report.waste == 0.3 and report.prices["waste"].share == pytest.approx(300 / 10_000)


def test_dials_and_probes_are_deducted_per_request() -> None:
    story = [*ask(), answer(20), (30, "dialed", "n0", "e0"), *[(40, "probed", "n0", "e0")] * 3]
    assert judged(story).g == pytest.approx(1.0 - 0.08 - 3 * 0.01)
    assert judged([]).g == 1.0


def test_report_is_json_and_changes_nothing() -> None:
    judge = Judge(DAY)
    for at, method, *args in [*ask(), sent(20), (25, "ran", "r", "e0", 9_000.0)]:
        getattr(judge, method)(at, *args)
    halfway = judge.report()
    assert halfway.as_dict() == judge.report().as_dict() and halfway.open == 1
    judge.ended(9_000, "r", "e0", "ok")
    judge.answered(10_000, "r", "n0", "served", 0, True)
    assert (judge.report().waste, judge.report().by_node["n0"]["served"]) == (0.0, 1)


@given(st.lists(st.integers(0, 1 << 40), min_size=1), st.sampled_from((0.5, 0.9, 0.99, 0.999)))
@settings(deadline=None, derandomize=True)
def test_percentiles_are_within_a_64th_and_histograms_merge(values: list[int], part: float) -> None:
    whole, halves = Histogram(), [Histogram(), Histogram()]
    for k, value in enumerate(values):
        whole.add(value)
        halves[k % 2].add(value)
    halves[0].merge(Histogram.from_dict(halves[1].as_dict()))
    true = sorted(values)[max(-int(-part * len(values) // 1), 1) - 1]
    assert halves[0].percentile(part) == whole.percentile(part)
    assert true <= whole.percentile(part) <= true * (1 + 1 / 64)


def test_a_day_shorter_than_its_window_counts_whole() -> None:
    day = replace(DAY, length_us=1_000_000)
    report = judged([*ask(SAFE), answer(20), *ask(SAFE, "s", 500_000), LATER], day)
    assert report.parts["worst_window"] == report.parts["whole"] == 0.5


# --- Planted defects: the bench's own parts; `granitewell lab mutants` plays them -------------------------
def test_every_source_text_that_a_mutant_changes_occurs_once() -> None:
    """A change of the node that moves such a piece has to think its defect anew."""
    root = Path(__file__).resolve().parents[2]
    for defect in (*DEFECTS, bench.harmless()):
        for patch in defect.patches:
            assert patch.on((root / patch.file).read_text()) != patch.old, defect.name
        records = defect.on if defect.shell == "exchanges" else ()
        assert all((root / "tests" / "exchanges" / f"{name}.txt").exists() for name in records), defect.name
    assert len({d.name for d in DEFECTS}) == len(DEFECTS) >= 14


@pytest.mark.parametrize("old, problem", [("a", "'a' 2 times"), ("z", "'z' 0 times")])
def test_a_source_text_that_does_not_occur_once_is_reported(old: str, problem: str, tmp_path: Path) -> None:
    with pytest.raises(PatchError, match=f"^core.py: found {problem}, wanted once"):
        Patch("core.py", old, "b").on("a a")
    with pytest.raises(PatchError, match="defect odd: granitewell/none.py: no such file"):
        bench.run([Defect("odd", "", (), (), (Patch("granitewell/none.py", "a", "b"),))], None, 1, 1, print)


def test_a_score_detects_only_what_is_clearly_worse_on_each_day() -> None:
    def days(*g: float) -> list[dict[str, Any]]:
        same = {"scenario": "s", "waste": 0.1, "attempts": 1.0, "failed": 0.0}
        return [{**same, "seed": k, "g": x} for k, x in enumerate(g)]

    plain = days(0.9, 0.8, 0.9, 0.8)
    assert bench.worse(days(0.89, 0.75, 0.89, 0.79), plain)[0] == "g"
    assert bench.worse(days(0.60, 0.60, 0.60, 0.81), plain) == ("", "")
    assert bench.worse(days(0.89, 0.79, 0.89, 0.79), plain) == ("", "")
    assert bench.worse(days(0.10, 0.10, 0.10), plain) == ("", "")
