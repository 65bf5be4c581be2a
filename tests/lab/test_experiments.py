"""Experiments: the plan's checks, results that survive, runs that fail, and the paired comparison."""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from granitewell.cli.lab_run import report as report_command
from granitewell.cli.lab_run import run as run_command
from granitewell.lab.experiments import figures, plan, runner, store
from granitewell.lab.experiments.plan import PlanError, Run

PLAN = """
name = "tiny"
scenarios = [{ name = "calm", nodes = 1, endpoints = 2, rate = 20.0, length_s = 1.0 }]
seeds = "1..2"
[[variant]]
name = "module"
[[variant]]
name = "random"
policy = "random"
"""


@pytest.mark.parametrize(("old", "new", "says"), [
    ('name = "tiny"', 'nmae = "tiny"', "nmae: unknown key; .* did you mean name"),
    ('seeds = "1..2"', 'seeds = "2..1"', "seeds: found '2..1'"),
    ('seeds = "1..2"', "seeds = [1, 1]", "seeds: found"),
    ('policy = "random"', 'policy = "rondom"', r"variant\[1\].policy: found 'rondom'"),
    ("nodes = 1", "nodes = 0", r"scenarios\[0\].nodes: found 0"),
    ("nodes = 1", "nods = 1", r"scenarios\[0\].nods: unknown key"),
    ('"calm"', '"claim"', "scenarios 'claim.*'"),
    (
        'policy = "random"',
        'constants = { "granitewell.balancing.balancer.NOPE" = 1 }',
        "NOPE: there is no such name",
    ),
    ('policy = "random"', 'constants = { "os.path" = 1 }', "allowed are names in granitewell"),
    ('policy = "random"', 'name = "module"', "not TOML"),
    ('seeds = "1..2"', 'seeds = "1..2"\nbase = "x"', "base: found 'x'"),
    ('seeds = "1..2"', 'seeds = "1..2"\nshell = "sockets"', r"variant\[1\].policy: on sockets"),
])  # fmt: skip
def test_a_bad_plan_is_refused_before_anything_starts(old: str, new: str, says: str, tmp_path: Path) -> None:
    assert old in PLAN
    file = tmp_path / "bad.toml"
    file.write_text(PLAN.replace(old, new, 1))
    with pytest.raises(PlanError, match=says):
        plan.load(file)
    result = CliRunner().invoke(run_command, [str(file), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2 and not (tmp_path / "out").exists()


def kept(variant: str, seed: int, g: float, failed: str = "") -> store.Kept:
    report = {
        "g": g, "parts": {"whole": g, "worst_window": g}, "totals": {"late": 1}, "tries": 10, "latency": {},
        "per_request": {"tries": 1.0, "attempts": 1.0, "crossings": 0.0}, "waste": 0.0, "offences": {},
        "series": [],
    }  # fmt: skip
    return store.Kept(variant, "calm", seed, failed, 1.0, "d", "c", {"report": report})


def test_the_comparison_is_paired_by_seed() -> None:
    # seeds differ by far more than the variants do: unpaired, nothing could be told apart
    base = [kept("a", s, 0.5 + 0.05 * s) for s in range(8)]
    better = [kept("b", s, 0.5 + 0.05 * s + 0.01 + 0.001 * (s % 2)) for s in range(8)]
    rows = {r.variant: r for r in figures.compare([*base, *better], "a") if r.figure == "g"}
    assert rows["b"].difference == pytest.approx(0.0105) and rows["b"].told_apart
    assert 0.01 <= rows["b"].low < rows["b"].high <= 0.011
    assert rows["a"].difference == 0.0 and not rows["a"].told_apart
    lost = [kept("b", s, 0.9, "crashed") for s in range(4)] + better[4:]
    row = next(r for r in figures.compare([*base, *lost], "a") if (r.figure, r.variant) == ("g", "b"))
    assert row.pairs == 4 and row.difference == pytest.approx(0.0105)


def test_the_interval_holds_the_true_mean_as_often_as_it_says() -> None:
    import numpy as np

    rng = np.random.Generator(np.random.PCG64(5))
    held = 0
    for _ in range(200):
        low, high = figures.interval(list(rng.normal(0.3, 1.0, 30)))
        held += low <= 0.3 <= high
    assert 180 <= held <= 199


def crash(run: Run, shell: str) -> dict[str, Any]:
    if run.seed == 1:
        os.kill(os.getpid(), signal.SIGKILL)
    if run.variant.name == "random":
        raise ValueError("no good")
    return {"digest": "x"}


def sleep(run: Run, shell: str) -> dict[str, Any]:
    signal.pause()
    return {}


def test_a_run_that_dies_or_raises_costs_no_other(tmp_path: Path) -> None:
    made = plan.parse(PLAN)
    ended = {(k.variant, k.seed): k.failed for k in runner.play(made.runs(), made, 2, crash)}
    assert len(ended) == 4
    assert "code -9" in ended["module", 1] and "no good" in ended["random", 2]
    assert ended["module", 2] == ""


def test_a_run_out_of_time_is_ended() -> None:
    made = plan.parse(PLAN.replace('seeds = "1..2"', "seeds = [1]\ntimeout_s = 1"))
    assert [k.failed for k in runner.play(made.runs()[:1], made, 1, sleep)] == ["ran out of time"]


def test_constants_belong_to_their_variant_alone() -> None:
    import granitewell.balancing.balancer

    text = PLAN.replace(
        'policy = "random"', 'constants = { "granitewell.balancing.balancer.UNSENT_TIMEOUT_RATIO" = 0.0 }'
    )
    made = plan.parse(text)
    ended = list(runner.play(made.runs()[:2], made, 1))
    assert [k.failed for k in ended] == [
        "",
        "",
    ] and granitewell.balancing.balancer.UNSENT_TIMEOUT_RATIO != 0.0
    assert "UNSENT_TIMEOUT_RATIO = 0" in ended[1].command


def run_cli(file: Path, out: Path, **more: Any) -> subprocess.Popen[bytes]:
    words = ["-m", "granitewell.cli.main", "lab", "run", str(file), "--out", str(out), "--json", "--jobs=2"]
    return subprocess.Popen([sys.executable, *words], stdout=subprocess.PIPE, stderr=subprocess.PIPE, **more)


def test_a_killed_experiment_goes_on_where_it_stopped(tmp_path: Path) -> None:
    file, out = tmp_path / "tiny.toml", tmp_path / "out"
    file.write_text(PLAN.replace('"1..2"', '"1..16"'))
    cut = run_cli(file, out, start_new_session=True)
    path = out / store.FILE
    while cut.poll() is None:
        if path.exists():
            try:
                done = sqlite3.connect(path).execute("SELECT count(*) FROM runs").fetchone()[0]
            except sqlite3.OperationalError:
                continue
            if done >= 2:
                os.killpg(cut.pid, signal.SIGKILL)
                break
    cut.communicate()
    held = store.Store(out)
    before = {(k.variant, k.seed): k.seconds for k in held.all()}
    held.close()
    assert 2 <= len(before) < 32
    again = run_cli(file, out)
    told = json.loads(again.communicate()[0])
    assert again.returncode == 0 and told["failed"] == []
    after = {(k.variant, k.seed): k.seconds for k in store.Store(out).all()}
    assert len(after) == 32 and {k: after[k] for k in before} == before
    page = CliRunner().invoke(report_command, [str(out)])
    assert page.exit_code == 0
    text = (out / "report.html").read_text()
    assert "granitewell lab sim calm --seed 3" in text and text.count("data:image/png") == 3
    assert "http" not in text.replace("http-equiv", "")  # it needs nothing from elsewhere


def test_results_of_another_plan_or_code_or_version_are_not_mixed(tmp_path: Path) -> None:
    made = plan.parse(PLAN)
    held = store.Store(tmp_path, create=True)
    held.claim(made, "code-1")
    held.claim(made, "code-1")
    with pytest.raises(store.StoreError, match="another code"):
        held.claim(made, "code-2")
    with pytest.raises(store.StoreError, match="another experiment"):
        held.claim(plan.parse(PLAN.replace("1..2", "1..3")), "code-1")
    held.close()
    sqlite3.connect(tmp_path / store.FILE, isolation_level=None).execute("PRAGMA user_version = 99")
    with pytest.raises(store.StoreError, match="newer version"):
        store.Store(tmp_path)


def test_a_full_disk_is_told_and_finished_runs_stay(tmp_path: Path) -> None:
    held = store.Store(tmp_path, create=True)
    held.put(kept("a", 1, 0.5))
    held._db.execute("PRAGMA max_page_count = 4")
    with pytest.raises(store.StoreError, match="finished runs stay"):
        for seed in range(2, 400):
            one = kept("a", seed, 0.5)
            one.result["noise"] = os.urandom(3000).hex()
            held.put(one)
    assert 1 in {k.seed for k in store.Store(tmp_path).all()}


def test_no_results_there_says_so(tmp_path: Path) -> None:
    result = CliRunner().invoke(report_command, [str(tmp_path)])
    assert result.exit_code == 2 and "no experiment was run there" in result.output
