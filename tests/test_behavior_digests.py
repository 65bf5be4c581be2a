"""The simulated worlds behave as recorded, and a change of behavior shows in their digests.

`STORED` was written by the program as it stood on 2026-12-02 (7ee4f05), before its types and fields were
renamed. A commit that changes behavior on purpose writes it anew and says why the new behavior is right:

    python -m tools.behavior_digests --seeds 3 --write tests/recorded/data/behavior-digests.txt
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from granitewell.balancing.prefix_sizing import ActivePrefix
from granitewell.controlplane.placement import limits
from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.election import Election
from granitewell.dataplane.request import Attempts
from tools.behavior_digests import HASH_SEED, WORLDS, Recorder, Row, play_seed

ROOT = Path(__file__).resolve().parent.parent
STORED = ROOT / "tests" / "recorded" / "data" / "behavior-digests.txt"
SEEDS = 3


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "tools.behavior_digests", *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": HASH_SEED},
        capture_output=True,
        text=True,
        check=False,
    )


def test_all_worlds_behave_as_recorded() -> None:
    done = run("--seeds", str(SEEDS), "--jobs", "2", "--check", str(STORED))
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    assert [line.split()[0] for line in STORED.read_text().splitlines()] == list(WORLDS)


def test_another_table_is_noticed(tmp_path: Path) -> None:
    other = tmp_path / "other.txt"
    other.write_text(Row("raft", 1, 1, "0" * 32).text() + "\n")
    done = run("--seeds", "1", "--only", "raft", "--check", str(other))
    assert done.returncode == 1 and "differs from raft" in done.stdout


def newer_logs_lose(patch: pytest.MonkeyPatch) -> None:
    """A comparison turned: votes go to candidates with an older log."""
    patch.setattr(
        Core,
        "up_to_date",
        lambda core, term, index: (term, index) <= (core.log.last_term, core.log.last_index),
    )


def loads_are_rarer(patch: pytest.MonkeyPatch) -> None:
    """The bucket of loads from the store always has one token less."""
    original = limits.LoadBucket.available
    patch.setattr(limits.LoadBucket, "available", lambda bucket, now: max(0, original(bucket, now) - 1))


def no_retries(patch: pytest.MonkeyPatch) -> None:
    """No request is sent a second time."""
    patch.setattr(Attempts, "may_retry", lambda attempts: False)


def prefixes_are_larger(patch: pytest.MonkeyPatch) -> None:
    """The active prefix has one server more than it needs."""
    original = ActivePrefix.resize

    def larger(prefix: ActivePrefix, *given: Any, **more: Any) -> None:
        original(prefix, *given, **more)
        prefix.size += 1

    patch.setattr(ActivePrefix, "resize", larger)


def leaders_are_not_followed(patch: pytest.MonkeyPatch) -> None:
    """A comparison turned: a replica votes exactly while it hears a leader."""
    original = Election.sticky
    patch.setattr(Election, "sticky", lambda election, now: not original(election, now))


PLANTED: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "raft": newer_logs_lose,
    "group-process": leaders_are_not_followed,
    "placement": loads_are_rarer,
    "edge": no_retries,
    "upstream-bytes": no_retries,
    "balancing": prefixes_are_larger,
}


@pytest.mark.parametrize("world", PLANTED)
def test_a_planted_change_alters_the_digest(world: str, monkeypatch: pytest.MonkeyPatch) -> None:
    before = play_seed(world, 1)
    assert play_seed(world, 1) == before
    PLANTED[world](monkeypatch)
    try:
        after = play_seed(world, 1)
    except (AssertionError, TimeoutError):
        return  # the world itself has noticed
    assert after != before


def test_a_digest_takes_plain_values_only() -> None:
    recorder = Recorder()
    with pytest.raises(TypeError):
        recorder.add(object())
    recorder.add(1, 2.5, "text", b"bytes", None, True)
    assert recorder.events == 1
