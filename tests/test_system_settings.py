"""Tests of the settings file of the system's processes: accepted values, and fields that errors name."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from granitewell.domain.errors import InvalidSettingsError
from granitewell.domain.settings import (
    DEFAULT_PATH,
    PATH_VARIABLE,
    Settings,
    parse_settings,
    read_settings,
    settings_path,
)

MINIMAL: dict[str, Any] = {
    "node-name": "edge-1",
    "ip": "127.0.0.1",
    "zone": "z1",
    "region": "r1",
    "listen": {"front": "127.0.0.1:8144", "ready": "127.0.0.1:8140"},
    "internal-ports": [7660, 7675],
    "seeds": ["127.0.0.1:8146"],
    "cloud": {"address": "127.0.0.1:8142"},
}
FULL: dict[str, Any] = MINIMAL | {
    "role": "edge",
    "machine-class": "edge",
    "zones": {"z1": "r1"},
    "bootstrap": True,
    "counts-for-quorum": True,
    "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": 300, "max-fds": 4100, "disk-mb": 128},
    "data-dir": "/data",
    "heartbeat-ms": 1200,
    "contracts": ["base", "drain"],
    "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
    "bounds": {"seed-lag-s": 3, "retry-budget-ratio": 0.2, "lease-ms": 3000, "fencing": True, "new": 1},
    "cloud": {"address": "127.0.0.1:8142", "rate-per-s": 44.0, "duties": [], "lag-ms": 800},
    "a-field-of-a-later-release": {"x": [1]},
}


def parse(document: Any) -> Settings:
    return parse_settings(json.dumps(document).encode())


def test_minimal_file_is_accepted_and_the_rest_has_defaults() -> None:
    settings = parse(MINIMAL)
    assert settings.listen.front == "127.0.0.1:8144" and settings.listen.control is None
    assert settings.seeds == ("127.0.0.1:8146",) and settings.internal_ports == (7660, 7675)
    assert not settings.bootstrap and settings.counts_for_quorum is None and settings.data_dir is None


def test_full_file_is_read_and_unknown_fields_are_ignored() -> None:
    settings = parse(FULL)
    assert settings.bootstrap and settings.counts_for_quorum and settings.data_dir == "/data"
    assert settings.limits.cpu_share == 0.537 and settings.limits.max_fds == 4100
    assert settings.bounds.lease_ms == 3000 and settings.bounds.seed_lag_s == 3
    assert settings.cloud.rate_per_s == 44.0 and settings.contracts == ("base", "drain")


def test_control_rpc_uses_the_first_internal_port() -> None:
    settings = parse(MINIMAL)
    first, last = settings.internal_ports
    assert settings.control_rpc_port == first <= last


@pytest.mark.parametrize("name", MINIMAL)
def test_missing_required_field_is_named(name: str) -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        parse({key: value for key, value in MINIMAL.items() if key != name})
    assert raised.value.field == name and raised.value.reason == "missing"


@pytest.mark.parametrize(
    ("name", "value", "field"),
    [
        ("bounds", {"lease-ms": "soon"}, "bounds.lease-ms"),
        ("bounds", None, "bounds"),
        ("limits", {"max-fds": []}, "limits.max-fds"),
        ("fault-tolerance", {"machines": "one"}, "fault-tolerance.machines"),
        ("cloud", {}, "cloud.address"),
        ("cloud", {"address": "127.0.0.1:1", "rate-per-s": "fast"}, "cloud.rate-per-s"),
        ("listen", 8144, "listen"),
        ("seeds", "127.0.0.1:8146", "seeds"),
        ("seeds", None, "seeds"),
        ("internal-ports", [7660], "internal-ports"),
        ("internal-ports", ["first", "last"], "internal-ports"),
        ("internal-ports", "77", "internal-ports"),
        ("zones", [], "zones"),
        ("heartbeat-ms", "often", "heartbeat-ms"),
    ],
)
def test_field_of_a_wrong_type_is_named_by_its_path(name: str, value: Any, field: str) -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        parse(MINIMAL | {name: value})
    assert raised.value.field == field


@pytest.mark.parametrize(
    "text",
    [b"", b"{", b"[]", b"null", b"\xff\xfe", b"7", b'{"a": NaN', b"[" * 100_000],
    ids=lambda text: repr(text[:9]),
)
def test_file_that_is_not_an_object_is_refused(text: bytes) -> None:
    with pytest.raises(InvalidSettingsError):
        parse_settings(text)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


@given(st.sampled_from(sorted(FULL)), JSON)
def test_any_value_is_accepted_or_its_field_is_named(name: str, value: Any) -> None:
    try:
        parse(FULL | {name: value})
    except InvalidSettingsError as error:
        assert error.field.split(".")[0].split("[")[0] in (name, "file")


@given(st.integers(0, len(json.dumps(FULL)) - 1))
def test_truncated_file_is_refused(length: int) -> None:
    with pytest.raises(InvalidSettingsError):
        parse_settings(json.dumps(FULL).encode()[:length])


def test_path_of_the_file(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.delenv(PATH_VARIABLE, raising=False)
    assert settings_path() == Path(DEFAULT_PATH)
    path = tmp_path / "node.json"
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    with pytest.raises(InvalidSettingsError) as raised:
        read_settings(settings_path())
    assert raised.value.field == str(path)
    path.write_text(json.dumps(MINIMAL))
    assert read_settings(settings_path()) == parse(MINIMAL)
