"""Before, during and after: the span of a day's trouble, the figures read from a series, and their use."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from granitewell.lab.day import Fault
from granitewell.lab.experiments import figures, phases, plan, report, store
from granitewell.lab.experiments.phases import Trouble, trouble
from tests.lab.test_simulation_digest import small_day

S = 1_000_000
SPAN = Trouble(4 * S, 8 * S, 16 * S)


def series(*levels: tuple[float, float], asked: float = 10.0) -> list[dict[str, float]]:
    """(until second, level): a bucket each 250 ms."""
    rows, at = [], 0
    for until, level in levels:
        while at < until * S:
            rows.append({"at_us": float(at), "worth_asked": asked, "worth_earned": asked * level})
            at += S // 4
    return rows


@pytest.mark.parametrize(("faults", "span"), [
    ([], None),
    ([Fault(3 * S, 5 * S, "pause", "d0"), Fault(4 * S, 6 * S, "condition", "d0")], (3, 6)),
    ([Fault(3 * S, -1, "condition", "d0")], (3, 10)),  # ill to the end of the day: there is no after
    ([Fault(3 * S, 4 * S, "cut", "a"), Fault(5 * S, -1, "stop", "d0")], (3, 5)),  # it stays gone
    ([Fault(3 * S, 90 * S, "vanish", "d0")], (3, 10)),
])  # fmt: skip
def test_the_trouble_lasts_from_the_first_change_to_the_last(faults: list[Fault], span: Any) -> None:
    found = trouble(replace(small_day(), length_us=10 * S, faults=tuple(faults)))
    assert (found and (found.begin_us // S, found.end_us // S)) == span


def test_figures_of_the_phases_and_when_it_is_over() -> None:
    # the first 2 s, in which nodes learn, do not count as before; a second is back with one bucket below 0.99
    rows = series((2, 0.1), (4, 1.0), (8, 0.5), (9.5, 0.7), (11, 0.985), (16, 0.992))
    found = phases.figures(rows, SPAN)
    assert found == pytest.approx({"before": 1.0, "during": 0.5, "after_2s": 0.77125, "back_s": 2.75})


def test_back_is_when_a_whole_second_is_well() -> None:
    rows = series((4, 1.0), (8, 0.5), (8.5, 1.0), (8.75, 0.0), (16, 1.0))  # well for half a second at first
    assert phases.back_s(rows, SPAN, 0.99) == 0.75
    assert phases.back_s(series((8, 1.0), (16, 0.9)), SPAN, 0.99) == 8.0  # never: to the day's end
    idle = series((8, 1.0)) + series((11, 0.0), asked=0.0)[32:] + series((16, 1.0))[44:]
    assert phases.back_s(idle, SPAN, 0.99) == 2.25  # silence is no service; its first second with any is


def test_what_can_not_be_told_is_left_out() -> None:
    assert "back_s" not in phases.figures(series((16, 1.0)), replace(SPAN, end_us=16 * S))
    assert phases.figures([], SPAN) == {}


def test_days_are_pooled_by_worth_not_by_share() -> None:
    both = phases.pooled([series((1, 1.0), asked=30.0), series((2, 0.0))])
    assert [phases.goodput(both, at * S, (at + 1) * S) for at in (0, 1, 2)] == [0.75, 0.0, None]


PLAN = """
name = "tiny"
scenarios = ["grey-class-hang", "calm"]
seeds = "1..2"
[[variant]]
name = "module"
[[variant]]
name = "best"
policy = "oracle"
"""


def kept(variant: str, seed: int, during: float, setting: str = "grey-class-hang") -> store.Kept:
    told = {
        "g": 1.0, "parts": {"whole": 1.0, "worst_window": 1.0}, "totals": {}, "tries": 10, "latency": {},
        "per_request": {"tries": 1.0, "attempts": 1.0, "crossings": 0.0}, "waste": 0.0, "offences": {},
        "series": series((8, 1.0), (18, during), (30, 1.0)),
    }  # fmt: skip
    return store.Kept(variant, setting, seed, "", 1.0, "d", "c", {"report": told})


def test_the_share_of_the_oracle_is_of_the_same_seed(tmp_path: Path) -> None:
    made = plan.parse(PLAN)
    spans = made.troubles()
    assert made.oracle == "best" and spans["module", "grey-class-hang", 2] == Trouble(8 * S, 18 * S, 30 * S)
    assert not any(setting == "calm" for _, setting, _ in spans)
    runs = [kept("module", 1, 0.4), kept("module", 2, 0.9), kept("best", 1, 0.5), kept("best", 2, 0.9)]
    runs += [kept("module", 1, 0.0, "calm"), kept("best", 3, 0.1)]  # seed 3 has no module beside it
    rows = {(r.setting, r.variant, r.figure): r for r in figures.compare(runs, "module", spans, made.oracle)}
    share = rows["grey-class-hang", "module", "of_oracle"]
    assert (share.mean, share.worst, share.n) == pytest.approx((0.9, 0.8, 2))
    assert rows["grey-class-hang", "best", "during"].difference == pytest.approx(0.05)
    assert ("calm", "module", "during") not in rows and ("calm", "module", "g") in rows
    page = report.write(tmp_path, made, runs, {}).read_text()
    assert "<h2>Before, during and after</h2>" in page and "<td>0.65<td>1<td>0<td>0.9<td>0" in page
