"""A control process without replicas lets the edge of its machine start first."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from granitewell.cli.system import deferred_start
from granitewell.cli.system.deferred_start import MAX_DEFERRAL_S, defer_start, deferral_s
from granitewell.domain.process_settings import PATH_VARIABLE, peek

GATEWAY: dict[str, Any] = {
    "machine-class": "edge", "data-dir": None, "counts-for-quorum": False,
    "limits": {"cpu-share": 0.535, "cores": 2},
}  # fmt: skip


def test_it_waits_longer_on_a_slower_machine_and_not_for_ever() -> None:
    full_s = deferral_s(GATEWAY | {"limits": {"cpu-share": 1.0, "cores": 1}})
    assert full_s == deferred_start.EDGE_START_CPU_S
    assert deferral_s(GATEWAY) == pytest.approx(full_s / 1.07)
    assert deferral_s(GATEWAY | {"limits": {"cpu-share": 0.5, "cores": 1}}) == pytest.approx(2 * full_s)
    assert deferral_s(GATEWAY | {"limits": {"cpu-share": 0.01, "cores": 1}}) == MAX_DEFERRAL_S


@pytest.mark.parametrize(
    "changed",
    [
        {"machine-class": "core"},
        {"data-dir": "/data", "counts-for-quorum": True},
        {"data-dir": "/data", "counts-for-quorum": None},
    ],
)
def test_a_process_that_may_vote_or_has_no_edge_beside_it_starts_at_once(changed: dict[str, Any]) -> None:
    assert deferral_s(GATEWAY | changed) == 0.0


@pytest.mark.parametrize("limits", [None, 7, {}, {"cpu-share": "much"}, {"cores": None}])
def test_limits_that_are_not_stated_count_as_one_core(limits: object) -> None:
    assert deferral_s(GATEWAY | {"limits": limits}) == deferred_start.EDGE_START_CPU_S


@pytest.mark.parametrize("limits", [{"cpu-share": 0}, {"cpu-share": -1.0}])
def test_a_share_of_nothing_waits_its_bound(limits: object) -> None:
    assert deferral_s(GATEWAY | {"limits": limits}) == MAX_DEFERRAL_S


def test_it_sleeps_once_as_its_settings_say(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(GATEWAY))
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    slept: list[float] = []
    defer_start(slept.append)
    assert slept == [deferral_s(GATEWAY)]


@pytest.mark.parametrize("text", ["", "[]", "3", "{"])
def test_settings_that_cannot_be_read_are_refused_later_not_here(text: str, tmp_path: Path) -> None:
    path = tmp_path / "boot.json"
    path.write_text(text)
    assert peek(path) == {} and peek(tmp_path / "missing") == {}
    assert deferral_s(peek(path)) == 0.0
