"""The same seed gives the same digest: in another process, under other hash seeds, on other Pythons.

`python -m tests.lab.test_simulation_digest` plays the handcrafted day with no more than the standard library,
with a plain policy and with the module, and prints both digests. STORED is the plain policy's as it was when
it last changed on purpose: changes of the module leave it alone, those of the model, the shells or the core
move it. After such a change run the command above, look at what the change was meant to do, and store the new
digest in the same commit, with the reason in its message. A change that was meant to change no behaviour must
leave it as it is.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

from granitewell.lab import day as d
from granitewell.lab.judge import Judge
from granitewell.lab.simulation.play import play

STORED = "b8760ce314b884bfcee44bd2cd8a255d"
ROOT = Path(__file__).resolve().parents[2]


def small_day(seed: int = 1, length_us: int = 6_000_000, rate: float = 200.0) -> d.Day:
    """Three nodes, six endpoints, every figure written down: a day that no scenario file has to draw."""
    zones = ("a", "b", "c")
    classes = (
        d.ClassDay("lookup", 0.7, 15_000.0, d.Dist.LOGNORMAL, 1.0, 0.1, 500_000, 2_500_000, 2.0, 0.5, False),
        d.ClassDay("assign", 0.3, 40_000.0, d.Dist.EXPONENTIAL, 1.0, 0.0, 600_000, 2_000_000, 9.0, 0.5, True),
    )  # fmt: skip
    kinds = (
        d.KindDay("new", 2, 2, 20.0, 0.02, 4.0, 0.2, 4_000_000, d.Warms.TIME, 0.002, d.Stops.QUEUED, True,
                  0, 0, 0.4, 8_000_000, 200),
        d.KindDay("old", 2, 2, 20.0, 0.02, 4.0, 0.2, 4_000_000, d.Warms.WORK, 0.002, d.Stops.ALL, True,
                  40_000, 3_000_000, 0.4, 8_000_000, 200),
    )  # fmt: skip
    endpoints = tuple(d.EndpointDay(f"d{k}", k % 2, k % 3, k // 3, (0.7, 1.0)[k % 2], 0) for k in range(6))
    return d.Day(
        name="small", seed=seed, length_us=length_us, zones=zones, classes=classes,
        tenants=(d.TenantDay("big", 0.8, 0.7, 160.0), d.TenantDay("small", 0.2, 0.3, 40.0)),
        kinds=kinds, endpoints=(*endpoints, d.EndpointDay("d6", 0, 0, 0, 0.9, 2_000_000)),
        nodes=tuple(d.NodeDay(f"n{k}", k) for k in range(3)),
        network=d.NetworkDay(300.0, 2000.0, 500.0, 0.2),
        conn=d.ConnDay(2.0, 1500.0, 4_000_000, 250_000, 400, 0.1),
        report=d.ReportDay(("queue", "eps"), 200_000, 20_000, 0.05),
        probe=d.ProbeDay(True, 300.0, 50.0, False, 500_000),
        clients=d.ClientsDay(3, 0.4, 100_000, 0.5, 0.02, 0.3, True, 1_200_000),
        front=d.FrontDay(1_500_000),
        discovery=d.DiscoveryDay(400_000, 3_000_000, 800_000, 250_000, 500_000),
        load=d.LoadDay(((0, rate),), (0.4, 0.3, 0.3), 300, 1.0),
        rules=d.RulesDay(1_000_000, 3.0, 1_000_000), goal=d.GoalDay(window_us=2_000_000),
        faults=FAULTS,
    )  # fmt: skip


FAULTS = (  # each kind but one, several at a time
    d.Fault(
        500_000, 1_500_000, "condition", "d0,d1", (("effect", "slow"), ("factor", 3.0), ("classes", "lookup"))
    ),
    d.Fault(1_000_000, 2_500_000, "drain", "d2"),
    d.Fault(1_500_000, 3_000_000, "restart", "d3"),
    d.Fault(2_000_000, 3_500_000, "node_kill", "n1"),
    d.Fault(2_500_000, 3_200_000, "cut", "c", (("way", "in"),)),
    d.Fault(3_000_000, 5_000_000, "vanish", "d4"),
    d.Fault(3_500_000, 3_700_000, "node_stall", "n0"),
    d.Fault(3_600_000, -1, "node_hup", "n0"),
    d.Fault(4_000_000, 4_600_000, "link", "n2>*", (("what", "loss"), ("factor", 0.1))),
    d.Fault(4_200_000, 9_000_000, "node_term", "n2"),
    d.Fault(4_300_000, 5_000_000, "pause", "d5"),
    d.Fault(4_500_000, 5_500_000, "discovery_late", "discovery", (("factor", 700_000.0),)),
)


PLAIN = "least-inflight"


def digest(policy: str = "module") -> str:
    """Of the handcrafted day, judged: the judge must change nothing."""
    day = small_day()
    return play(day, policy, Judge(day)).digest


def _elsewhere(python: str, hash_seed: str) -> tuple[str, ...]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(
        [python, "-m", "tests.lab.test_simulation_digest"], cwd=ROOT, env=env, capture_output=True, text=True,
        check=False,
    )  # fmt: skip
    assert done.returncode == 0, done.stderr
    return tuple(done.stdout.split())


def _pythons() -> list[str]:
    """Other Pythons of this machine, from 3.11.

    Beside this one where a version manager keeps them, or else on the path.
    """
    home, versions = Path(os.path.realpath(sys.executable)).parents[2], ("3.11", "3.12", "3.13")
    beside = [str(p) for v in versions for p in sorted(home.glob(f"{v}.*/bin/python"))]
    return beside or [p for v in versions if (p := shutil.which(f"python{v}"))]


def test_the_day_has_the_digest_that_is_stored() -> None:
    assert digest(PLAIN) == STORED, "see this file's first lines before storing another"


def test_a_second_run_in_this_process_and_other_witnesses_change_nothing() -> None:
    day = small_day()
    assert play(day).digest == play(day, invariants=[lambda world: ""]).digest == digest()


def test_another_seed_and_one_fault_less_are_other_days() -> None:
    day = small_day()
    others = {play(small_day(seed=2)).digest, play(day, only=range(1, len(FAULTS))).digest, digest()}
    assert len(others) == 3


def test_hash_seeds_and_processes_change_nothing() -> None:
    here = (digest(PLAIN), digest())
    assert {_elsewhere(sys.executable, seed) for seed in ("0", "12345")} == {here}


def test_other_pythons_give_the_same_digests() -> None:
    here = (digest(PLAIN), digest())
    runs = [(python, _elsewhere(python, "1")) for python in _pythons() if _starts(python)]
    assert runs and [x for x in runs if x[1] != here] == []


def _starts(python: str) -> bool:
    """Shims of a version manager stand in the path for versions that it does not run."""
    return subprocess.run([python, "-c", ""], capture_output=True, check=False).returncode == 0


if __name__ == "__main__":
    print(digest(PLAIN), digest())
