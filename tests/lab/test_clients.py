"""Tests of arrivals against their parameters, of clients against a reference model, and of trace files."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count, pairwise
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.cli.lab_trace import trace
from granitewell.lab import capture
from granitewell.lab import day as d
from granitewell.lab.emulator import arrivals as drawn
from granitewell.lab.emulator.arrivals import Arrivals, Keys, pieces
from granitewell.lab.emulator.clients import MIN_ATTEMPT_US, Clients
from granitewell.lab.emulator.types import Ask, Broken, ClientEvent, Leave, Replied, Tick

S = 1_000_000
EVEN = d.LoadDay(((0, 20.0),), (0.5, 0.3, 0.2), 50, 1.0)


def a_day(seed: int = 7, length_us: int = 20 * S, load: d.LoadDay = EVEN, **clients: Any) -> d.Day:
    """A small day: a safe and an unsafe class, two tenants, three zones."""
    wants = dict(retries=3, try_share=0.4, backoff_us=0, honour=0.0, impatient=0.0, rebook=0.0)
    lookup = d.ClassDay("lookup", 0.7, 15e3, d.Dist.LOGNORMAL, 1.0, 0.1, S // 2, 2 * S, 2.0, 0.5, False)
    assign = d.ClassDay("assign", 0.3, 90e3, d.Dist.EXPONENTIAL, 1.0, 0.1, S // 2, S, 10.0, 0.5, True)
    return d.Day(
        "test", seed, length_us, ("a", "b", "c"), (lookup, assign),
        (d.TenantDay("most", 0.8, 0.75, 0.0), d.TenantDay("some", 0.2, 0.25, 0.0)), (), (), (),
        d.NetworkDay(200.0, 2000.0, 500.0, 0.2), d.ConnDay(2.0, 1000.0, 10 * S, 250_000, 900, 0.1),
        d.ReportDay((), 0, 0, 0.0), d.ProbeDay(False, 0.0, 0.0, False, 0),
        d.ClientsDay(**{**wants, **clients}, marks_retry=True, max_retry_after_us=S), d.FrontDay(2_000),
        d.DiscoveryDay(750, 9_000, 1_110, 100, 250), load, d.RulesDay(S, 3.0, S), d.GoalDay(),
    )  # fmt: skip


def chi2(found: Counter[int], expected: list[float], first: int = 0) -> float:
    return sum((found[k] - e) ** 2 / e for k, e in enumerate(expected, first) if e > 0.0)


# --- Arrivals ---------------------------------------------------------------------------------------------
@pytest.mark.parametrize("points", [
    ((0, 900.0),),
    ((0, 0.0), (6 * S, 2000.0), (7 * S, 100.0), (16 * S, 900.0), (20 * S, 0.0)),
    ((2 * S, 900.0), (8 * S, 900.0), (8 * S + 1, 0.0), (12 * S, 0.0), (14 * S, 1500.0), (30 * S, 0.0)),
])  # fmt: skip
def test_counts_follow_the_integral_of_the_rate(points: tuple[tuple[int, float], ...]) -> None:
    grid = [(k + (j + 0.5) / 50) * S / 20 for k in range(400) for j in range(50)]
    rates = np.interp(grid, [t for t, _ in points], [r for _, r in points])
    expected = [float(x) for x in rates.reshape(400, 50).sum(axis=1) / 1000]
    load = replace(EVEN, rate=points, burst_cv=1e-9, burst_us=10_000)  # many pieces, to cross their ends
    times = [a.at_us for a in Arrivals(a_day(1, load=load))]
    counts = Counter(t // (S // 20) for t in times)
    assert times == sorted(times) and all(counts[k] == 0 for k in range(400) if expected[k] == 0.0)
    freedom = sum(e > 0.0 for e in expected)
    assert abs(chi2(counts, expected) - freedom) < 3.5 * math.sqrt(2 * freedom)  # nor too even: no clock


def test_bursts_have_a_factor_of_mean_one_and_the_given_spread() -> None:
    load = replace(EVEN, rate=((0, 100.0), (2000 * S, 300.0)), burst_cv=0.8, burst_us=S)
    got = list(pieces(a_day(length_us=2000 * S, load=load)))
    factors = [low / (100.0 + b / 1e7) * 1e6 for b, _, low, _ in got]
    assert [(b, e) for b, e, _, _ in got] == [(k * S, (k + 1) * S) for k in range(2000)]
    mean = sum(factors) / 2000
    assert abs(mean - 1.0) < 0.06 and abs(math.sqrt(sum((f - mean) ** 2 for f in factors) / 2000) - 0.8) < 0.1


def test_the_mix_and_the_keys_are_as_the_shares_say() -> None:
    load = replace(EVEN, rate=((0, 1000.0),), keys=100, key_zipf=0.9)
    got = list(Arrivals(a_day(load=load)))
    n, weights = len(got), [k**-0.9 for k in range(1, 101)]
    for k, shares in ((1, (0.7, 0.3)), (2, (0.75, 0.25)), (4, load.zone_share)):
        assert chi2(Counter(int(a[k]) for a in got), [n * s for s in shares]) < 13.8
    keys = Counter(a.key for a in got)
    assert set(keys) <= set(range(1, 101))
    assert chi2(keys, [n * w / sum(weights) for w in weights], 1) < 149.4  # 99 degrees of freedom
    assert sum(a.work_us for a in got) / n == pytest.approx(0.7 * 15e3 + 0.3 * 90e3, rel=0.05)


def test_each_key_ends_at_its_own_time_and_never_comes_back() -> None:
    keys = Keys(replace(EVEN, keys=20, key_churn_us=1000))
    turns = set()
    for u in (0.1, 0.3, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.99):
        seen = [keys.pick(now, u) for now in range(0, 5000, 10)]
        changes = [k for k, (x, y) in enumerate(pairwise(seen)) if x != y]
        assert len(set(seen)) == len(changes) + 1 and {b - a for a, b in pairwise(changes)} == {100}
        assert len({k % 20 for k in seen}) == 1  # the same popularity all the time
        turns.add(changes[0])
    assert len(turns) > 5  # not all at once


def test_arrivals_are_drawn_one_ahead(monkeypatch: pytest.MonkeyPatch) -> None:
    made = count()
    monkeypatch.setattr(drawn, "draw_work", lambda cls, rng: float(next(made)))
    clients = Clients(a_day(length_us=10**15), 1)
    asked = [e for _ in range(5) for e in clients.handle(clients.wake_us, Tick())]
    assert len(asked) == 5 and next(made) == 6


def test_an_impossible_load_is_rejected() -> None:
    for figures, what in (
        ({"rate": ((5, 1.0), (5, 2.0))}, "load.rate, point 1: found time 5, allowed: over 5"),
        ({"rate": ((0, -1.0),)}, "load.rate, point 0: found -1.0 a second"),
        ({"trace": ((9, 0, 0, 0, 0), (8, 0, 0, 0, 0))}, "try 1: found at_us 8, allowed: 9"),
        ({"trace": ((9, 2, 0, 0, 0),)}, "try 0: found class 2, allowed: 0 to 1"),
    ):
        with pytest.raises(ValueError, match=what):
            list(Arrivals(a_day(load=replace(EVEN, **figures))))


# --- Clients ----------------------------------------------------------------------------------------------
ANSWERS = "served", "refused", "failed"


@dataclass
class Fate:
    """What becomes of a try, and after how long: an answer, `sent` or `unsent` (broken), or `silence`."""

    how: str
    after_us: int = 0
    retry_after_us: int = 0


@dataclass
class Seen:
    """One try.

    Attributes:
        end: How its client saw it end.
        closed: Whether its connection has ended.
    """

    ask: Ask
    at: int
    end: str = "given up"
    end_at: int = 0
    retry_after_us: int = 0
    closed: bool = False


class World:
    """Plays fates to clients, each twice, and notes every try. The shell's ticks come `lag_us` late."""

    def __init__(self, day: d.Day, fates: list[Fate], lag_us: int = 0, seed: int = 3) -> None:
        self.day, self.clients, self.fates = day, Clients(day, seed), fates
        self.tries: dict[str, Seen] = {}
        self.wants: defaultdict[str, list[Seen]] = defaultdict(list)  # tries by first try
        self.agenda: list[tuple[int, int, str, Fate]] = []
        self.most = 0
        while (wake := self.clients.wake_us) >= 0 or self.agenda:
            if self.agenda and (wake < 0 or self.agenda[0][0] <= wake + lag_us):
                now, _, rid, fate = heappop(self.agenda)
                self.end(now, self.tries[rid], fate)
            else:
                self.hand(wake + lag_us, Tick())
        assert self.clients.over and all(s.closed for s in self.tries.values()), "a try without an end"

    def end(self, now: int, seen: Seen, fate: Fate) -> None:
        if not seen.closed and now < seen.at + seen.ask.timeout_us:
            seen.end, seen.end_at, seen.retry_after_us = fate.how, now, fate.retry_after_us
        seen.closed, rid = True, seen.ask.rid
        broken = None if fate.how in ANSWERS else Broken(rid, fate.how == "sent")
        self.hand(now, broken or Replied(rid, fate.how, fate.retry_after_us))

    def hand(self, now: int, event: ClientEvent) -> None:
        for effect in self.clients.handle(now, event):
            if isinstance(effect, Leave):
                seen = self.tries[effect.rid]
                assert not seen.closed, "it had ended"
                seen.closed, due = True, seen.at + seen.ask.timeout_us
                if now < due:
                    seen.end, seen.end_at = "early", now
                    assert self.day.clients.impatient
                else:
                    assert now > due + self.day.rules.slack_us, "an answer too late must still be seen"
            else:
                self.asked(now, effect)
        assert not self.clients.over or self.clients.wake_us == -1
        self.most = max(self.most, len(self.clients._timers), len(self.clients._open_attempts))

    def asked(self, now: int, ask: Ask) -> None:
        assert ask.rid not in self.tries and len(ask.rid) == 16 and int(ask.rid, 16) >= 0
        seen = self.tries[ask.rid] = Seen(ask, now, end_at=now + ask.timeout_us)
        self.wants[ask.first].append(seen)
        fate, number = self.fates[len(self.tries) % len(self.fates)], len(self.tries)
        for at in (now + fate.after_us, now + 2 * fate.after_us + 1):
            if fate.how != "silence":
                heappush(self.agenda, (at, number, ask.rid, fate))


def expected_next(day: d.Day, first: Seen, seen: Seen, number: int) -> tuple[str, int]:
    """What must follow the end of this try of that number: (again, rebook or nothing, when)."""
    figures, cls, end = day.clients, day.classes[seen.ask.cls], seen.end_at
    if seen.end in ("served", "early") or (cls.unsafe and seen.end == "failed"):
        return "", -1
    if cls.unsafe and seen.end in ("sent", "given up"):
        books = figures.rebook and not first.ask.rebooks and end < day.length_us
        return ("rebook", end) if books else ("", -1)
    heeded = seen.retry_after_us if seen.end == "refused" and figures.honour else 0
    when = end + max(figures.backoff_us, min(heeded, figures.max_retry_after_us))
    left = number <= figures.retries and when + MIN_ATTEMPT_US <= first.at + cls.deadline_us
    return ("again", when) if left else ("", -1)


HOWS = st.sampled_from([*ANSWERS, "sent", "unsent", "silence"])
FATE = st.builds(Fate, HOWS, st.integers(1, 900_000) | st.integers(1, 30_000), st.integers(0, 2 * S))
FIGURES = st.fixed_dictionaries({
    "retries": st.integers(0, 3), "try_share": st.sampled_from([0.001, 0.3, 0.55, 1.0]),
    "backoff_us": st.sampled_from([0, 50_000, 600_000]), "honour": st.sampled_from([0.0, 1.0]),
    "impatient": st.sampled_from([0.0, 0.4]), "rebook": st.sampled_from([0.0, 1.0]),
})  # fmt: skip


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(FATE, min_size=1, max_size=12), FIGURES, st.sampled_from([0, 0, 3_000, 400_000]))
def test_clients_match_a_reference_model(fates: list[Fate], figures: dict[str, Any], lag: int) -> None:
    day = a_day(length_us=2 * S, **figures)
    world = World(day, fates, lag)
    rebooked = {w[0].ask.rebooks: w[0] for w in world.wants.values() if w[0].ask.rebooks}
    assert len(world.wants) - len(rebooked) == sum(1 for _ in Arrivals(day))
    assert len(rebooked) == world.clients.rebooked
    for rid, tries in world.wants.items():
        first, kept = tries[0], replace(tries[0].ask, rid="", timeout_us=0, retry=False, rebooks="")
        limit = first.at + day.classes[first.ask.cls].deadline_us
        assert first.ask.rid == rid and len(tries) <= figures["retries"] + 1
        for number, (seen, then) in enumerate(zip(tries, [*tries[1:], None], strict=True), 1):
            assert seen.at + seen.ask.timeout_us <= limit and seen.ask.timeout_us >= MIN_ATTEMPT_US
            assert not day.classes[kept.cls].unsafe or seen.at + seen.ask.timeout_us == limit
            assert seen.end != "early" or seen is first
            assert seen.ask.retry == (seen is not first)
            assert replace(seen.ask, rid="", timeout_us=0, retry=False, rebooks="") == kept
            what, when = expected_next(day, first, seen, number)
            assert lag or ((what == "again") == (then is not None) and (then is None or then.at == when))
        anew = rebooked.get(rid)
        assert lag or (what == "rebook") == (anew is not None)
        assert anew is None or lag or (anew.at, anew.ask.cls, anew.ask.key) == (when, kept.cls, kept.key)


def test_shares_of_clients_that_honour_retry_after_leave_early_and_rebook() -> None:
    load = replace(EVEN, rate=((0, 200.0),))
    world = World(a_day(load=load, honour=0.3, retries=2), [Fate("refused", 1000, 300_000)])
    waits = Counter(tuple(b.at - a.end_at for a, b in pairwise(w)) for w in world.wants.values())
    assert set(waits) == {(0, 0), (300_000,) * 2} and 0.27 < waits[300_000, 300_000] / waits.total() < 0.33
    world = World(a_day(impatient=1.0), [Fate("silence")], lag_us=400_000)
    assert all(len(w) == 1 for w in world.wants.values())
    world = World(a_day(load=load, impatient=0.2), [Fate("silence")])
    early = [(s.end_at - s.at) / s.ask.timeout_us for s in world.tries.values() if s.end == "early"]
    assert 0.17 < len(early) / len(world.wants) < 0.23
    assert abs(sum(early) / len(early) - 0.5) < 0.05 and min(early) < 0.05 and max(early) > 0.95
    world = World(a_day(load=load, rebook=0.5), [Fate("sent", 1000)])
    unsafe = sum(w[0].ask.cls == 1 and not w[0].ask.rebooks for w in world.wants.values())
    assert 0.45 < world.clients.rebooked / unsafe < 0.55


def test_client_memory_is_bounded_by_open_requests() -> None:
    fates = [Fate("refused", 2_000, 100_000), Fate("served", 9_000), Fate("silence")]
    short, long = (World(a_day(length_us=n * S, honour=0.5, rebook=0.5), fates).most for n in (20, 200))
    assert long < 1.6 * short


def test_seeds_are_reproducible_and_give_distinct_request_ids() -> None:
    seeds, fates = ((1, 1), (1, 1), (1, 2), (2, 1)), [Fate("served", 9)]
    one, again, own, other = (World(a_day(seed), fates, 0, mine).tries for seed, mine in seeds)
    assert list(one) == list(again) and not set(one) & {*own, *other}


# --- Traces -----------------------------------------------------------------------------------------------
def test_a_day_goes_through_a_file_and_back(tmp_path: Path) -> None:
    day, path = a_day(load=replace(EVEN, rate=((0, 100.0),))), tmp_path / "t.csv"
    count = capture.write(path, capture.of_day(day))
    tries = capture.load(path, capture.Names.of(day))
    again = replace(day, load=replace(day.load, rate=(), trace=tries))
    assert list(Arrivals(again)) == list(Arrivals(day)) and count == len(tries) > 1500
    assert capture.summarise([capture.Row(0, "x", "y", 0, "z")]).keys.tries == 0
    with pytest.raises(ZeroDivisionError):  # a write that fails leaves the old file, and nothing else
        capture.write(path, (capture.Row(1 // k, "x", "y", 0, "z") for k in (1, 0)))
    assert capture.load(path, capture.Names.of(day)) == tries and list(tmp_path.iterdir()) == [path]
    (old := tmp_path / "old").hardlink_to(path)
    capture.write(path, [])  # never writes into a file that somebody reads
    assert (len(list(capture.read(old))), list(capture.read(path))) == (count, [])


def test_a_bad_trace_is_named_by_line_and_column(tmp_path: Path) -> None:
    path = tmp_path / "t.csv"
    for lines, what in (
        ("\n1,lookup,most,0,a\n0,lookup,most,0,a", "line 3: column at_us: found 0, allowed: 1 "),
        ("\n-1,lookup,most,0,a", "line 2: column at_us: found '-1', allowed: a whole number"),
        ("\n1,,most,0,a", "line 2: column class: found '', allowed: a name"),
        ("\n1,lookup,most,0", "line 2: found 4 columns, allowed: 5"),
        ('\n1,lookup,"most,0,a', "line 2: found unexpected end of data"),
        ("\n1,lookup,most,0,b\n1,lokup,most,0,b", "line 3: class: found 'lokup', .* mean 'lookup'"),
        ("s\n", "line 1: column 5: name: found 'zones', .*; did you mean 'zone'"),
    ):
        path.write_text("at_us,class,tenant,key,zone" + lines)
        with pytest.raises(capture.TraceError, match=what):
            capture.load(path, capture.Names.of(a_day()))


def test_the_summary_finds_the_figures_that_a_trace_was_drawn_with(tmp_path: Path) -> None:
    load = replace(EVEN, rate=((0, 0.0), (20 * S, 1000.0)), keys=200, key_zipf=0.8)
    path = tmp_path / "t.csv"
    capture.write(path, capture.of_day(a_day(load=load)))
    found = capture.summarise(capture.read(path))
    assert found.mean == pytest.approx(500.0, rel=0.05) and found.peak == pytest.approx(975, rel=0.1)
    assert found.median == pytest.approx(500.0, rel=0.08) and found.dispersion > 100
    assert found.classes["lookup"] == pytest.approx(0.7, abs=0.02) and list(found.zones) == ["a", "b", "c"]
    assert found.keys.zipf == pytest.approx(0.8, abs=0.04) and found.keys.distinct == 200
    calls = [str(path), "--json"], [str(path)], ["none"]
    as_json, table, none = (CliRunner().invoke(trace, x) for x in calls)
    assert f'"tries": {found.tries}' in as_json.output and "fitted Zipf exponent" in table.output
    assert (as_json.exit_code, none.exit_code, len(none.output.splitlines())) == (0, 2, 1)
