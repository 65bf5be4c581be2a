"""Scenario files: every error names its field, what is written is what is read, and a seed draws one day."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from granitewell import config
from granitewell.cli.lab_scenario import draw_day, scenarios
from granitewell.lab import platform
from granitewell.lab.day import Day, Fault
from granitewell.lab.faults import CATALOGUE, ELEMENTARY, fault
from granitewell.lab.scenario import Scenario, ScenarioError, builtin, draw, expand, load, parse, schedule
from granitewell.lab.scenarios.fleet import label
from granitewell.lab.scenarios.load import arrivals, swollen, value
from granitewell.lab.scenarios.text import EFFECT_TEXTS, reference, toml
from granitewell.lab.scenarios.types import ScenarioTable, Spec, fields_of, spec_of

ROOT = Path(__file__).parents[2]
PLAIN: dict[str, Any] = {
    "class": [
        {"name": "look", "share": 0.7, "work_ms": 15, "aim_ms": 500, "deadline_ms": 2500},
        {"name": "book", "share": 0.3, "work_ms": 90, "aim_ms": 600, "deadline_ms": 2000},
    ],
    "tenant": [{"name": "big", "share": 0.8}, {"name": "small", "share": 0.2}],
    "kind": [
        {"name": "new", "share": 0.5, "cores": 2},
        {"name": "old", "share": 0.5, "cores": 2, "speed": 0.6},
    ],
    "endpoints": {"count": [9, 12]},
    "load": {"utilisation": 0.5},
}


def put(raw: dict[str, Any], path: str, what: Any) -> None:
    at: Any = raw
    *way, last = path.split("__")
    for step in way:
        at = at[int(step)] if step.isdigit() else at.setdefault(step, {})
    at[last] = what


def plain(**changes: Any) -> dict[str, Any]:
    raw: dict[str, Any] = json.loads(json.dumps(PLAIN))
    for path, what in changes.items():
        put(raw, path, what)
    return raw


def wrong(raw: dict[str, Any]) -> list[str]:
    try:
        parse(raw, "x.toml")
    except ScenarioError as error:
        return list(error.problems)
    return []


def with_faults(*faults: dict[str, Any], **changes: Any) -> Scenario:
    return parse(plain(fault=list(faults), **changes), "x.toml")


# --- What is wrong ---
HANG: dict[str, Any] = {"effect": "hang"}
LOSS = {"loss": 0.1}
CONDITION = {"kind": "condition", "at_s": 8, "for_s": 5, "params": HANG}


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({"class__1__aim_ms": 2100}, "class[1].aim_ms: found up to 2100; allowed: up to its deadline"),
        ({"class__1__aim_ms": [100, 2100]}, "class[1].aim_ms: found up to 2100"),
        ({"class__0__share": 0.2}, "class[].share: found a sum of 0.5"),
        ({"kind__0__share": [0.8, 1]}, "kind[].share: found a sum of 1.4"),
        ({"tenant__1__name": "big"}, "tenant[1].name: found 'big' twice"),
        ({"zones": ["n1"]}, "zones[0]: found 'n1'"),
        ({"zones": []}, "zones: found []"),
        ({"load": {}}, "load: found none; allowed: one of rate_per_s, utilisation, trace"),
        ({"load__rate_per_s": 5}, "load: found rate_per_s and utilisation"),
        ({"load__steps": [[1, 2]]}, "load.steps: found steps"),
        ({"load__shape": ["steady", "steps"]}, "load.steps: found no factor above 0"),
        ({"load__shape": "stedy"}, 'load.shape: found "stedy"; allowed: one of steady, wave'),
        ({"goal__whole": 0.9}, "goal: found weights with a sum of 1.5"),
        ({"nodes__count": 2.5}, "nodes.count: found 2.5; allowed: a whole number"),
        ({"nodes__count": [3, 2]}, "nodes.count: found [3, 2]; allowed: a range whose low end"),
        ({"nodes__cout": 3}, "nodes.cout: unknown key; nearest known: count"),
        ({"zzz": 3}, "zzz: unknown key; allowed: name"),
        ({"class": []}, "class: found []; allowed: one or more tables"),
        ({"endpoints": {}}, "endpoints.count: missing; allowed: a whole number"),
        ({"network": 3}, "network: found 3; allowed: a table"),
        ({"report__fields": ["eps", "ques"]}, 'report.fields: found ["eps", "ques"]'),
        ({"chaos__kinds": ["kil"]}, "chaos.kinds: found 'kil'"),
        ({"chaos__until_s": 2}, "chaos.until_s: found 2; allowed: after from_s, 3"),
    ],
)  # fmt: skip
def test_an_error_names_its_field(changes: dict[str, Any], told: str) -> None:
    lines = wrong(plain(**changes))
    assert any(line.startswith(f"x.toml: {told}") for line in lines), lines
    assert all("\n" not in line for line in lines)


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({"kind": "condtion"}, "kind: found 'condtion'; nearest known: condition"),
        ({"target": "zone:izmir-2"}, "target: found zone 'izmir-2'; nearest known: izmir-1"),
        ({"target": "d1,d10"}, "target: found 'd10'; allowed: d1 to d9"),
        ({"target": "n1"}, "target: found 'n1'; allowed: d1 to d9"),
        ({"target": "part:1.5"}, "target: found 'part:1.5'"),
        ({"target": "part:0.5..0.4"}, "target: found 'part:0.5..0.4'"),
        ({"target": "same:1"}, "target: found 'same:1'"),
        ({"target": "most:3"}, "target: found 'most:3'"),
        ({"at_s": 31}, "at_s: found 31; allowed: before length_s, 30"),
        ({"until_s": 9}, "until_s: found besides for_s"),
        ({"for_s": None, "until_s": 7}, "until_s: found 7; allowed: after at_s, 8"),
        ({"kind": "pause", "for_s": None, "params": {}}, "for_s: missing; allowed: for_s or until_s"),
        ({"kind": "kill", "params": {}}, "for_s: found though kill has no span"),
        ({"kind": "surge", "params": {}, "target": "all"}, "target: found 'all'; allowed: none"),
        ({"kind": "node_cpu", "params": {}, "target": "kind:new"}, "target: found 'kind:new'"),
        ({"kind": "link", "params": LOSS, "target": "n1"}, "target: found 'n1'; allowed: nodes>endpoints"),
        ({"kind": "link", "params": LOSS, "target": "n9>d1"}, "target: found 'n9'; allowed: n1 to n3"),
        ({"kind": "link", "params": {}, "target": "n1>d1"}, "params: found none of them above 0"),
        ({"params": {}}, "params.effect: missing"),
        ({"params": {"effect": "hung"}}, 'params.effect: found "hung"'),
        ({"params": HANG | {"clases": ["look"]}}, "params.clases: unknown key; nearest known: classes"),
        ({"params": HANG | {"classes": ["lok"]}}, "params.classes: found 'lok'; allowed: look, book"),
        ({"params": HANG | {"nodes": ["n4"]}}, "params.nodes: found 'n4'; allowed: n1, n2, n3"),
        ({"params": HANG | {"share": [0.5, 1.5]}}, "params.share: found [0.5, 1.5]"),
        ({"params": {"effect": "slow"}}, "params.factor: found 1"),
        ({"params": {"effect": "late"}}, "params.late_ms: found 0"),
        ({"kind": "tenant_surge", "params": {"tenant": "bigg"}}, "params.tenant: found 'bigg'"),
    ],
)  # fmt: skip
def test_an_error_in_a_fault_names_its_field(changes: dict[str, Any], told: str) -> None:
    entry = {k: v for k, v in (CONDITION | changes).items() if v is not None}
    lines = wrong(plain(fault=[CONDITION, entry]))
    assert any(line.startswith(f"x.toml: fault[1].{told}") for line in lines), lines


def every_key() -> list[tuple[str, str, Spec]]:
    """Path as for `plain`, path as errors name it, and what the key takes."""
    keys = []
    for top in fields_of(ScenarioTable):
        inner = top.type if isinstance(top.type, type) else getattr(top.type, "__args__", [None])[0]
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct) and top.encode_name != "fault":
            many = not isinstance(top.type, type)
            for f in fields_of(inner):
                path = f"{top.encode_name}__0__" if many else f"{top.encode_name}__"
                shown = f"{top.encode_name}[0]." if many else f"{top.encode_name}."
                keys.append((path + f.encode_name, shown + f.encode_name, spec_of(f.type)))
    return keys


@pytest.mark.parametrize(("path", "shown", "spec"), every_key(), ids=[k[1] for k in every_key()])
def test_every_key_refuses_what_it_does_not_take(path: str, shown: str, spec: Spec) -> None:
    bad: list[Any] = [{"a": 1}, [[1]]]
    if spec.form in ("figure", "whole"):
        bad += [True, "1", [1], [1, 2, 3], float("nan"), spec.low - 1, [spec.high, spec.low], [0, "x"]]
    for found in bad:
        lines = wrong(plain(**{path: found}))
        assert any(line.startswith(f"x.toml: {shown}: found ") for line in lines), (found, lines)


def test_all_problems_are_told_at_once() -> None:
    assert len(wrong(plain(nodes__count=0, conn__cap="x", nodes__cpus=1))) == 3


def test_files_extend_one_another(tmp_path: Path) -> None:
    def write(name: str, text: str) -> str:
        (tmp_path / name).write_text(text)
        return str(tmp_path / name)

    own = '[load]\nrate_per_s = 70\n[[class]]\nname = "taxi-lookup"\naim_ms = 99\n'
    write("base.toml", f'extends = "wide"\n{own}')
    top = load(write("top.toml", 'extends = "base.toml"\nfault = []\n[nodes]\ncount = 5\n'))
    assert top.name == "top" and top.table.load.utilisation is None and top.table.load.rate_per_s == 70
    assert [(c.name, c.aim_ms, c.deadline_ms) for c in top.table.classes] == [
        ("taxi-lookup", 99, 840), ("ride-assign", 180, 670),
    ]  # fmt: skip
    assert (top.table.nodes.count, top.table.faults, len(top.table.zones)) == (5, (), 2)
    for name, text, told in (
        ("a.toml", 'extends = "b.toml"', "b.toml: extends: found 'a.toml'"),
        ("b.toml", 'extends = "a.toml"', "a.toml: extends: found 'b.toml'"),
        ("c.toml", 'extends = "calmm"', "c.toml: extends: found 'calmm'"),
        ("e.toml", "name = 3 = 4", "e.toml: Expected"),
        ("f.toml", 'extends = "base.toml"\n[load]\nkeyz = 1', "f.toml: load.keyz: unknown key; nearest"),
    ):
        write("a.toml", 'extends = "b.toml"')
        write("b.toml", 'extends = "a.toml"')
        with pytest.raises(ScenarioError) as error:
            load(write(name, text))
        assert told in str(error.value) and len(error.value.problems) == 1
    with pytest.raises(ScenarioError, match="nearest built-in: rainy-evening"):
        load("rany-evening")


HEADER = "at_s,class,tenant,key,zone"


@pytest.mark.parametrize(
    ("lines", "told"),
    [
        (None, "t.csv: "),
        (["at_s,class,tenant,key"], f"line 1: allowed: the header {HEADER}"),
        ([HEADER], "no arrivals"),
        ([HEADER, "1,look,big,7"], "line 2: found 4 fields; allowed: 5"),
        ([HEADER, "1,look,big,7,izmir-1", "0.9,look,big,7,izmir-1"], "line 3: at_s: found 0.9"),
        ([HEADER, "1,lok,big,7,izmir-1"], "line 2: class: found 'lok'; allowed: look, book"),
        ([HEADER, "x,look,big,7,izmir-1"], "line 2: at_s: found 'x'"),
        ([HEADER, "1,look,big,0.5,izmir-1"], "line 2: key: found 0.5"),
    ],
)  # fmt: skip
def test_a_trace_is_read_before_anything_starts(tmp_path: Path, lines: list[str] | None, told: str) -> None:
    if lines is not None:
        (tmp_path / "t.csv").write_text("\n".join(lines))
    raw = plain(load={"trace": str(tmp_path / "t.csv")})
    assert len(wrong(raw)) == 1 and told in wrong(raw)[0] and "load.trace: t.csv" in wrong(raw)[0]


def test_a_trace_takes_the_place_of_a_rate(tmp_path: Path) -> None:
    lines = [HEADER, "0.5,book,small,9007199254740993,izmir-1", "29,look,big,0,ankara-1"]
    (tmp_path / "t.csv").write_text("\n".join(lines))
    found = parse(plain(load={"trace": str(tmp_path / "t.csv")}), "x.toml")
    assert draw(found, 1).load.trace == ((500_000, 1, 1, 9007199254740993, 2), (29_000_000, 0, 0, 0, 0))
    assert len(draw(found, 1, length_s=20).load.trace) == 1
    with pytest.raises(ScenarioError, match="rate: found 5; allowed: none"):
        draw(found, 1, rate=5)


# --- Round trips ---
def values(spec: Spec) -> st.SearchStrategy[Any]:
    high = min(spec.high, spec.low + 1000)
    single: dict[str, st.SearchStrategy[Any]] = {
        "figure": st.floats(spec.low, high),
        "whole": st.integers(int(spec.low), int(high)),
        "word": st.sampled_from(spec.words or ("x",)),
        "flag": st.booleans(),
    }
    one = single[spec.form]
    many = st.lists(one, min_size=1, max_size=3) if spec.form in ("word", "flag") else st.tuples(one, one)
    return one | many.map(lambda pair: sorted(pair) if spec.form in ("figure", "whole") else list(pair))


FIXED = ("share", "aim_ms", "deadline_ms", "usage", "shape", "count", "until_s", "from_s", "severity")


@st.composite
def files(pick: st.DrawFn) -> dict[str, Any]:
    """Files with any of the keys whose bounds are their own."""
    raw = plain()
    for path, _, spec in every_key():
        table, *_, key = path.split("__")
        free = spec.form in ("figure", "whole", "word", "flag") and table not in ("goal", "load")
        if free and key not in FIXED and pick(st.booleans()):
            put(raw, path, pick(values(spec)))
    raw["about"] = pick(st.text(st.characters(codec="utf-8", exclude_categories=["Cs"]), max_size=20))
    return raw


@settings(max_examples=60, deadline=None, derandomize=True, phases=[Phase.generate],
          suppress_health_check=list(HealthCheck))  # fmt: skip
@given(raw=files(), seed=st.integers(0, 2**63))
def test_what_is_written_out_is_what_was_read(raw: dict[str, Any], seed: int) -> None:
    found = parse(raw, "x.toml")
    again = parse(tomllib.loads(toml(found)), "x.toml")
    assert msgspec.structs.replace(again.table, name="") == found.table
    day = draw(found, seed)
    assert day == draw(again, seed)
    assert 9 <= len(day.endpoints) <= 12 and day.clients.retries == int(day.clients.retries)
    for name, told in day.notes.items():
        drawn, _, ends = told.partition(" of ")
        if " to " in ends:
            low, high = map(float, ends.split(" to "))
            assert low * 0.9999 - 1e-9 <= float(drawn) <= high * 1.0001 + 1e-9, (name, told)


# --- Built-in scenarios and drawing ---
def check(day: Day) -> None:
    """What holds for every day: sums, ids, and that only elementary faults on known names are left."""
    names = [e.id for e in day.endpoints]
    assert len({*names}) == len(names) and all(e.takes_over in ("", *names) for e in day.endpoints)
    for total in (
        sum(c.share for c in day.classes), sum(t.share for t in day.tenants),
        sum(t.traffic for t in day.tenants), sum(day.load.zone_share),
    ):  # fmt: skip
        assert total == pytest.approx(1.0)
    assert all(c.aim_us <= c.deadline_us for c in day.classes)
    assert all(a < b for (a, _), (b, _) in zip(day.load.rate, day.load.rate[1:], strict=False))
    known = {*names, *day.zones, "discovery", "*", *(n.name for n in day.nodes)}
    for f in day.faults:
        assert {k for k, _ in f.params} <= {"source", *ELEMENTARY[f.kind]} and 0 <= f.at_us < day.length_us
        assert f.until_us == -1 or f.until_us >= f.at_us
        assert f.kind in ("condition", "link") or "," not in f.target
        assert {part for x in f.target.split(",") for part in x.split(">")} <= known
    orders(day)


def orders(day: Day) -> None:
    """Orders to the process of one endpoint or node come one at a time; who leaves never comes back."""
    spans: dict[str, list[Fault]] = {}
    for f in day.faults:
        if f.kind in ("pause", "stop", "vanish", "restart", "drain", "node_kill", "node_term", "node_stall"):
            spans.setdefault(f.target, []).append(f)
    for name, faults in spans.items():
        for k, a in enumerate(faults):
            for b in faults[k + 1 :]:
                apart = 0 <= a.until_us <= b.at_us
                hit = a.kind == "drain" and b.kind in ("pause", "stop", "vanish")
                still = a.kind in ("pause", "node_stall") and b.kind != a.kind
                assert apart or hit or still, (name, a, b)
        leave = [f.at_us for f in faults if f.kind in ("drain", "stop") or f.until_us < 0]
        backs = [f.until_us for f in faults if f.kind in ("vanish", "restart")]
        assert not leave or all(back < min(leave) for back in backs), name


@pytest.mark.parametrize("name", builtin())
def test_every_built_in_scenario_draws(name: str) -> None:
    found = load(name)
    assert found.table.about and not found.table.extends
    assert draw(found, 7) == draw(found, 7)
    for seed in range(20):
        day = draw(found, seed)
        check(day)
        assert day.length_us <= 50_000_000
        if name.startswith("grey-") and name != "grey-none":
            assert all(f.at_us >= 6_000_000 and f.until_us <= 18_000_000 for f in day.faults) and day.faults
    check(draw(found, 3, endpoints=30, nodes=10))


@pytest.mark.parametrize("name", ["grey-half-slow-10", "chaos", "deploy", "grey-cold-half"])
def test_a_day_grows_with_its_fleet(name: str) -> None:
    small, large = draw(load(name), 5, endpoints=10), draw(load(name), 5, endpoints=300, nodes=30)
    check(large)
    grown = large.load.rate[0][1] / small.load.rate[0][1]
    assert 27 < grown < 33 and len(large.nodes) == 30
    assert sum(e.started_us == 0 for e in large.endpoints) == 300


def test_a_day_is_the_same_whatever_the_hash_seed() -> None:
    code = (
        "from hashlib import sha256; from granitewell.lab.scenario import *\n"
        "days = [draw(load(n), 11) for n in ('chaos', 'match-night', 'deploy', 'grey-cold-half', 'wide')]\n"
        "days.append(draw(load('chaos'), 12, endpoints=60))\n"
        "print(sha256(repr(days).encode()).hexdigest())"
    )
    told = {
        subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, check=True, capture_output=True, text=True,
            env=os.environ | {"PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT)},
        ).stdout
        for seed in ("1", "2", "3")
    }  # fmt: skip
    assert len(told) == 1 and len(told.pop().strip()) == 64


def test_one_more_figure_shifts_no_other() -> None:
    """Each figure has a stream of its own: a range in one place must not move what is drawn elsewhere."""
    day, other = (draw(parse(plain(conn__cap=cap), "x.toml"), 4) for cap in (700, [700, 701]))
    assert replace(day, conn=other.conn, notes={}) == replace(other, notes={})


def test_overrides_take_the_place_of_the_file() -> None:
    day = draw(load("today"), 1, rate=50, length_s=5, nodes=1, endpoints=2)
    assert (day.load.rate[0][1], day.length_us, len(day.nodes), len(day.endpoints)) == (50, 5_000_000, 1, 2)
    assert draw(load("grey-flap"), 1, length_s=9).faults[-1].at_us < 9_000_000
    assert draw(load("grey-flap"), 1, length_s=7).faults == ()
    named = with_faults(CONDITION | {"target": "d9"})
    with pytest.raises(ScenarioError, match=r"fault\[0\].target: found 'd9'; allowed: d1 to d4"):
        draw(named, 1, endpoints=4)
    for bad in ({"nodes": 0}, {"rate": -1.0}, {"only_faults": [7]}):
        with pytest.raises(ScenarioError, match=f"{next(iter(bad))}: found"):
            draw(named, 1, **bad)


def test_a_fault_that_is_left_out_changes_no_other() -> None:
    found = load("chaos")
    for seed in range(15):
        whole = draw(found, seed, endpoints=20, rate=20)
        planned = schedule(found, seed, endpoints=20, rate=20)
        for k in range(len(planned)):
            rest = [i for i in range(len(planned)) if i != k]
            day = draw(found, seed, endpoints=20, rate=20, only_faults=rest)
            check(day)
            assert all(f.get("source") != k for f in day.faults)
            same = [f for f in whole.faults if f.get("source") != k]
            gone = {e.id for e in whole.endpoints} - {e.id for e in day.endpoints}
            kept = [f for f in same if not any(x in f.target for x in gone)]
            assert [f for f in day.faults if f in same] == kept


# --- Expansion ---
def test_a_deploy_replaces_batch_by_batch() -> None:
    params = {"part": 0.5, "batch": 0.2, "drain_s": 2, "down_s": 0.5}
    found = with_faults({"kind": "deploy", "at_s": 4, "for_s": 20, "params": params}, endpoints__count=10)
    day = draw(found, 3)
    check(day)
    new = {e.takes_over: e for e in day.endpoints if e.takes_over}
    begins = [f.at_us for f in day.faults]
    assert sorted(begins) == [4_000_000] * 2 + [12_750_000] * 2 + [21_500_000]
    for f in day.faults:
        old = next(e for e in day.endpoints if e.id == f.target)
        assert f.kind == "drain" and f.until_us == f.at_us + 2_000_000
        assert new[f.target].started_us == f.until_us + 500_000 <= 24_000_000
        assert (new[f.target].zone, new[f.target].kind) == (old.zone, old.kind)


def test_traffic_and_fleet_shrink_together() -> None:
    params = {"to": 0.4, "drain_s": 1}
    found = with_faults({"kind": "shrink", "at_s": 5, "for_s": 10, "params": params}, endpoints__count=10)
    day = draw(found, 1)
    rate = day.load.rate
    assert len(day.faults) == 6 and {f.kind for f in day.faults} == {"drain"}
    assert value(rate, 20_000_000) == pytest.approx(0.4 * value(rate, 0))
    for k, f in enumerate(day.faults):  # who is left can always carry what is left
        assert value(rate, f.at_us) / value(rate, 0) <= (10 - k - 1) / 10 + 1e-6


def test_conditions_stagger_flap_and_choose_the_same_or_the_others() -> None:
    ill = {"effect": "late", "late_ms": 30, "classes": ["book"], "keys": [1, 2], "before": True, "share": 0.5}
    found = with_faults(
        CONDITION | {"target": "part:0.5", "params": ill | {"stagger_ms": 2000}},
        CONDITION | {"target": "same:0", "params": {"effect": "mute", "flap_ms": 2000}},
        CONDITION | {"target": "others:0", "params": {"effect": "lying"}},
        endpoints__count=10,
    )
    day = draw(found, 1)
    late, mute, lying = ([f for f in day.faults if f.text("effect") == x] for x in ("late", "mute", "lying"))
    assert [f.at_us for f in late] == [8_000_000, 10_000_000, 12_000_000]  # a fourth would be too late
    assert dict(late[0].params) == {
        "effect": "late", "classes": "book", "keys": "1,2", "before": 1.0, "share": 0.5, "factor": 30_000.0,
        "source": 0.0,
    }  # fmt: skip
    spans = [(f.at_us, f.until_us) for f in mute]
    assert spans == [(8_000_000, 10_000_000), (12_000_000, 13_000_000)]
    ids = sorted(mute[0].target.split(",") + lying[0].target.split(","))
    assert ids == sorted(e.id for e in day.endpoints)
    assert {f.target for f in late} < {*mute[0].target.split(",")}
    half = with_faults(*[CONDITION | {"target": "part:0.5"}] * 2, endpoints__count=10)
    chosen = {",".join(map(label, f.target.split(","))) for k in range(9) for f in draw(half, k).faults}
    assert len(chosen) > 12  # another fault or seed, others


def test_who_is_to_leave_does_not_come_back() -> None:
    day = replace(draw(parse(plain(), "x.toml"), 1), length_us=60_000_000)
    name = day.endpoints[0].id
    deploy = fault("deploy", 1_000_000, 21_000_000, name, part=1.0, batch=1.0, drain_s=10.0)
    plan = (deploy, fault("kill", 2_000_000, -1, name, silent=1.0, back_s=5.0))
    assert [(f.kind, f.until_us) for f in expand(day, plan).faults] == [("drain", 11_000_000), ("vanish", -1)]
    early = (fault("restart", 500_000, -1, name, down_s=5.0), deploy)
    assert [f.kind for f in expand(day, early).faults] == ["restart"]  # away when the deploy begins
    twice = (fault("replace", 0, -1, name), fault("replace", 9_000_000, -1, "all"))
    lone = expand(day, twice, [1])  # without the first, nobody is there whom its successor could follow
    assert all(not e.id.endswith("d1.3") for e in lone.endpoints)
    assert len(lone.faults) == len(day.endpoints) - 1


def test_links_cuts_and_nodes() -> None:
    day = draw(parse(plain(endpoints__count=9), "x.toml"), 1)
    plan = (
        fault("link", 1, 1_000_001, "n1,n2>d1", delay_ms=50.0, jitter=0.5, loss=0.1),
        fault("link", 1, 5, "all>all", silent=1.0),
        fault("cut", 1, 5, "zone:izmir-1", way="in"),
        fault("cut", 1, 5, "n2"),
        fault("cut", 1, 5, "part:0.34"),
        fault("node_term", 1, -1, "n1", back_s=0.5),
        fault("node_kill", 2, -1, "all", back_s=-1.0),
        fault("discovery_moved", 3, -1, hup_s=1.0),
    )
    done = expand(day, plan).faults
    d1 = day.endpoints[0].id
    link = [f for f in done if f.kind == "link"]
    assert {f.target for f in link if f.get("source") == 0} == {f"n1>{d1},n2>{d1}"}
    delays = [f for f in link if f.text("what") == "delay"]
    assert [f.at_us for f in delays] == [1, 250_001, 500_001, 750_001]
    assert len({f.get("factor") for f in delays}) == 4
    assert [f.target for f in link if f.text("what") == "silent"] == ["n1>*,n2>*,n3>*"]
    cuts = [f for f in done if f.kind == "cut"]
    assert [f.target for f in cuts][:2] == ["izmir-1", "n2"] and len(cuts) == 5
    assert [f.text("way") for f in cuts] == ["in"] + 4 * ["both"]
    assert [f.until_us for f in done if f.kind == "node_term"] == [3_700_001]  # when SIGKILL may come
    assert {f.target for f in done if f.kind == "node_kill"} == {"n2", "n3"}  # n1 has ended
    assert not [f for f in done if f.kind == "node_hup"]  # nobody is there to be told


def test_surges_are_in_the_load() -> None:
    day = draw(parse(plain(load={"rate_per_s": 200}), "x.toml"), 1)
    surge = fault("surge", 10_000_000, 20_000_000, factor=3.0, ramp_s=1.0)
    rate = expand(day, [surge]).load.rate
    found = [round(value(rate, t * 1_000_000)) for t in (9, 10, 11, 15, 20, 21, 30)]
    assert found == [200, 200, 600, 600, 600, 200, 200]
    assert swollen(day.load.rate, [], day.length_us)[0] == (0, 200)

    plan = (fault("tenant_surge", 10_000_000, 20_000_000, tenant="small", factor=4.0),
            fault("hot_key", 10_000_000, 20_000_000, share=0.5))  # fmt: skip
    rows = expand(day, plan).load.trace
    inside = [r for r in rows if 10_200_000 < r[0] < 19_800_000]
    before = [r for r in rows if r[0] < 9_800_000]
    small = [sum(r[2] == 1 for r in part) / len(part) for part in (before, inside)]
    assert small[0] == pytest.approx(0.2, abs=0.03) and small[1] == pytest.approx(0.5, abs=0.04)
    hot = max(r[3] for r in rows)
    assert sum(r[3] == hot for r in inside) / len(inside) == pytest.approx(0.5, abs=0.04)
    assert all(r[3] <= 1000 for r in before) and list(rows) == sorted(rows, key=lambda r: r[0])
    quiet = expand(day, plan, [])
    assert quiet.load.trace == arrivals(day) and quiet.faults == ()  # and none has moved


@pytest.mark.parametrize(("shape", "factors"), [
    ({"shape": "wave", "swing": 0.2, "period_s": 20}, {0: 1.0, 5: 1.2, 15: 0.8, 20: 1.0}),
    ({"shape": "steps", "steps": [[5, 0.5], [10, 2]]}, {0: 1.0, 4: 1.0, 6: 0.5, 9: 0.5, 11: 2.0, 29: 2.0}),
    ({"shape": "match_night", "peak": 2}, {0: 1.0, 15: 0.5, 23: 2.0, 30: 1.0}),
])  # fmt: skip
def test_shapes(shape: dict[str, Any], factors: dict[int, float]) -> None:
    rate = draw(parse(plain(load={"rate_per_s": 100, **shape}), "x.toml"), 1).load.rate
    for at, factor in factors.items():
        assert value(rate, at * 1_000_000) == pytest.approx(100 * factor, rel=0.01)


# --- The platform's configuration, the page, the commands ---
def test_a_node_accepts_its_configuration(tmp_path: Path) -> None:
    day = draw(load("chaos"), 2)
    day = replace(day, tenants=(replace(day.tenants[0], allowance_per_s=0.0), *day.tenants[1:]))
    member = {"id": "s-1", "host_port": "127.0.0.1:7", "locality": day.zones[1], "flavor": day.kinds[0].name,
              "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0}  # fmt: skip
    known = {"revision": 4, "complete": True, "members": [member]}
    raw = platform.node_config(day, "n2", "127.0.0.1:9000", "127.0.0.2:8500", known)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    found = config.load({"LB_CONFIG": str(path)})
    assert found.settings == platform.settings(day, 1)
    assert (found.name, found.listen, found.discovery) == ("n2", ("127.0.0.1", 9000), ("127.0.0.2", 8500))
    assert (found.class_names, found.zone_names) == (("taxi-lookup", "ride-assign"), day.zones)
    assert found.tenant_names == ("liman-koop",) and found.report_names == ("failed_ps", "pending")
    assert [e.value for e in found.effects] == ["safe", "unsafe"] and found.known == known
    s = found.settings
    assert (s.proxies, s.index, s.zone, s.cold_from, s.ramp_ms) == (3, 1, day.nodes[1].zone, 0.12, 23_000.0)
    assert (s.fall_multiple, s.drain_grace_ms, s.max_attempts) == (3.0, 1000.0, 5)
    assert s.warm_keys and s.parallel_tries and s.may_cancel and s.may_probe and s.retry_after
    again = platform.node_config(day, "n2", "127.0.0.1:9000", "127.0.0.2:8500", known, start=1)
    assert again["seed"] != raw["seed"] and again | {"seed": 0} == raw | {"seed": 0}
    with pytest.raises(ValueError, match="node: found 'n9'; allowed: n1, n2, n3"):
        platform.node_config(day, "n9", "127.0.0.1:1", "127.0.0.1:2")


def test_the_reference_page_is_up_to_date() -> None:
    page = (ROOT / "docs/operate/scenarios.md").read_text()
    assert page == reference(), "run python -m granitewell.lab.scenarios.text > docs/operate/scenarios.md"
    assert all(f"**`{kind}`**" in page for kind in CATALOGUE) and len(EFFECT_TEXTS) == 12
    block = page.split("```toml\n")[1].split("```")[0]
    raw = tomllib.loads(block)
    assert raw.pop("extends") == "busy" and raw["fault"][1]["target"] == "zone:izmir-1"


def test_commands(tmp_path: Path) -> None:
    run = CliRunner().invoke
    listed = run(scenarios, ["--json"])
    assert [x["name"] for x in json.loads(listed.output)] == list(builtin())
    (tmp_path / "whole.toml").write_text(run(scenarios, ["chaos"]).output)
    path = str(tmp_path / "whole.toml")
    one, other = (run(draw_day, [x, "--seed", "3", "--json"]) for x in (path, "chaos"))
    assert one.exit_code == 0 and one.output == other.output
    data = json.loads(one.output)
    assert data["day"]["seed"] == 3 and len(data["schedule"]) == len(schedule(load("chaos"), 3))
    assert "Elementary faults" in run(draw_day, ["wide", "--endpoints", "40"]).output
    (tmp_path / "bad.toml").write_text("[nodes]\ncount = 0\ncpus = 1\n")
    for args in ([str(tmp_path / "bad.toml")], ["wide", "--nodes", "0"], ["wde"]):
        bad = run(draw_day, args)
        assert bad.exit_code == 2 and bad.output.startswith("granitewell: ")
    assert run(draw_day, [str(tmp_path / "bad.toml")]).output.count("granitewell: ") == 2
