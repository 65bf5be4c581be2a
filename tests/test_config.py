"""Tests of the configuration: values of a valid file, and one-line errors that name the field."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from granitewell.balancing.interface import State, View
from granitewell.config import ConfigError, fields_requiring_restart, load, reload
from granitewell.net.clock import Clock
from granitewell.net.http1 import EndpointListReader, HeaderNames
from tests.exchange_player import settings


def write(folder: Path, **changes: Any) -> dict[str, str]:
    top = {"name": "n1", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "8c1f",
           "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096}, "known": {},
           "settings": settings(), "a_new_key": 1}  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(top | changes))
    return {"LB_CONFIG": str(path)}


def test_valid_configuration_is_read(tmp_path: Path) -> None:
    config = load(write(tmp_path) | {"LB_NAME": "n7", "LB_LISTEN": "127.0.0.2:1"})
    assert (config.name, config.listen, config.discovery) == ("n7", ("127.0.0.2", 1), ("127.0.0.1", 8500))
    assert (config.seed, config.sockets, config.cores) == (0x8C1F, 1024, 1.0)
    assert (config.dial_timeout_us, config.idle_connection_timeout_us) == (250_000, 10_000_000)
    assert config.report_names == ("failed_ps", "pending")


def test_tenant_without_an_allowance_shifts_no_index(tmp_path: Path) -> None:
    """The balancer's list has only tenants with an allowance; the indices of the names have to match it."""
    text = settings()
    text["tenants"].insert(0, {"name": "guest", "share": 0.0, "allowancePerS": None})
    config = load(write(tmp_path, settings=text))
    assert HeaderNames(config).tenants == {b"merkez-koop": 0} and len(config.settings.tenants) == 1


def test_reload_ignores_the_discovery_variable(tmp_path: Path) -> None:
    """LB_DISCOVERY dates from the start of the process, and the node would go on polling a closed address."""
    env = write(tmp_path) | {"LB_DISCOVERY": "127.0.0.1:1"}
    old = load(env)
    write(tmp_path, discovery="127.0.0.1:2", seed="1", limits={"cores": 0.5, "sockets": 4096})
    new = reload(env)
    assert (old.discovery, new.discovery) == (("127.0.0.1", 1), ("127.0.0.1", 2))
    assert fields_requiring_restart(old, new) == ["cores", "memory_mb"]


@pytest.mark.parametrize(
    ("changes", "names"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"seed": "zebra"}, "seed"),
        ({"seed": float("inf")}, "seed"),
        ({"listen": "127.0.0.1:" + "9" * 5000}, "listen"),
        ({"listen": "127.0.0.1:" + "9" * 5}, "listen"),
        ({"listen": "\ud800:80"}, "listen"),
        ({"discovery": "a" * 64 + ".example:80"}, "discovery"),
        ({"console": "127.0.0.1\n:80"}, "console"),
        ({"settings": settings() | {"zones": ["\ud800"]}}, "settings.zones"),
        ({"settings": settings() | {"tenants": [{"name": "a\r\nb", "share": 1.0, "allowancePerS": 1.0}]}},
         "settings.tenants"),
        ({"settings": settings() | {"balancers": 10**400}}, "integer|too large|int"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": {"cores": 0}}, "limits.cores"),
        ({"known": [1]}, "known"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "allowed"),
        ({"settings": settings() | {"balancers": 0}}, "proxies"),
        ({"settings": settings() | {"zones": [1]}}, "settings.zones"),
        ({"settings": settings() | {"stats": []}}, "stats"),
        ({"settings": settings() | {"classes": [{"effect": "pure", "aimMs": 1.0, "giveUpMs": 1.0}]}},
         "settings.classes"),
    ],
)  # fmt: skip
def test_invalid_value_names_its_field(tmp_path: Path, changes: dict[str, Any], names: str) -> None:
    with pytest.raises(ConfigError, match=names) as caught:
        load(write(tmp_path, **changes))
    assert "\n" not in str(caught.value) and len(str(caught.value)) < 200


@pytest.mark.parametrize("depth", [100, 500, 900, 990, 1500, 100_000])
def test_deeply_nested_file_raises_no_other_error(tmp_path: Path, depth: int) -> None:
    """Some depths pass the JSON parser and then exceed the recursion limit when the settings are copied."""
    env = write(tmp_path)
    path = tmp_path / "config.json"
    nested = "[" * depth + "]" * depth
    path.write_text(path.read_text().replace('"a_new_key": 1', f'"a_new_key": {nested}')
                    .replace('"discovery": "pushed"', f'"discovery": "pushed", "x": {nested}'))  # fmt: skip
    try:
        load(env)
    except ConfigError as error:
        assert "\n" not in str(error)


@pytest.mark.parametrize("what", ["a pipe", "a folder", "without end", "oversized"])
def test_configuration_that_is_not_a_regular_file_is_refused_without_blocking(
    tmp_path: Path, what: str
) -> None:
    """A pipe blocked a running node forever at the next SIGHUP, and a device filled the memory."""
    path = tmp_path / "other"
    if what == "a pipe":
        os.mkfifo(path)
    elif what == "a folder":
        path.mkdir()
    elif what == "without end":
        path.symlink_to("/dev/zero")
    else:
        with path.open("wb") as file:
            file.truncate(1 << 40)  # sparse
    source = "import os, resource; resource.setrlimit(resource.RLIMIT_AS, (1 << 30, 1 << 30)); "
    source += "from granitewell.config import load; load(os.environ)"
    env = os.environ | {"LB_CONFIG": str(path)}
    finished = subprocess.run(
        [sys.executable, "-c", source], env=env, capture_output=True, text=True, timeout=20
    )
    assert "ConfigError: LB_CONFIG: " in finished.stderr, finished.stderr


@pytest.mark.parametrize("text", ["-1", "1.5", "x", "9" * 5000, "99999999"])
def test_invalid_descriptor_names_its_variable(tmp_path: Path, text: str) -> None:
    with pytest.raises(ConfigError, match="LB_INHERITED_FD"):
        load(write(tmp_path) | {"LB_INHERITED_FD": text})


def test_program_prints_the_error_and_exits(tmp_path: Path) -> None:
    wrong = write(tmp_path, listen="x")
    for variables, message in (({}, "LB_CONFIG: not set"), (wrong, "listen: 'x' is not host:port")):
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | variables
        finished = subprocess.run(
            [sys.executable, "-m", "granitewell"], env=env, capture_output=True, text=True
        )
        assert finished.returncode == 2
        assert message in finished.stderr and finished.stderr.count("\n") == 1


def test_endpoint_list_is_parsed(tmp_path: Path) -> None:
    """A repeated list gives the same start times, so that it never looks like a restart of an endpoint.

    Zones and models that the settings don't have get the indices after theirs. Anything that is not a list of
    discovery's form raises ValueError.
    """
    reader = EndpointListReader(load(write(tmp_path)), lambda unix_us: unix_us - 1_000_000)
    entry = {"id": "s-1", "host_port": "10.1.0.18:9000", "locality": "elsewhere", "flavor": "older",
             "cell": 3, "phase": "ready", "size": 1.5, "up_since_ms": 2500, "more": []}  # fmt: skip
    old = entry | {"id": "s-2", "up_since_ms": 0, "phase": "resting", "locality": "istanbul-1"}
    body = json.dumps({"revision": 4, "complete": False, "members": [entry, old]}).encode()
    revision, news = reader.read(body)
    assert (revision, news.view) == (4, View.DELTA)
    a, b = news.members
    assert (a.id, a.address, a.zone, a.kind, a.cell) == (b"s-1", ("10.1.0.18", 9000), 2, 1, 3)
    assert (a.state, a.scale, a.started_us) == (State.READY, 1.5, 1_500_000)
    assert (b.zone, b.state, b.started_us) == (1, State.DRAINING, 0)
    assert reader.read(body)[1] == news
    with pytest.raises(ValueError):  # in the field "known", this must not prevent the start of the node
        reader.parse({"revision": 1, "members": [entry | {"up_since_ms": 10**400}]}, View.CACHED)
    with pytest.raises(ValueError, match="host_port: backend.local is a name"):
        # a host name was resolved in a separate thread at each call
        named = entry | {"host_port": "backend.local:1"}
        reader.parse({"revision": 1, "complete": True, "members": [named]})
    for garbage in (b"", b"[]", b"{}", b'{"revision":1,"complete":true,"members":[{}]}',
                    b'{"revision":1,"complete":true,"members":7}', b"[" * 100_000):  # fmt: skip
        with pytest.raises(ValueError):
            reader.read(garbage)


def test_start_time_is_converted_once_with_the_clock_offset_of_that_moment(tmp_path: Path) -> None:
    """Guards against converting start times with the clock offset measured when the node started.

    If the wall clock was corrected later, each newly started endpoint looked warm and could be overloaded, or
    it looked cold for as long as the correction was.
    """
    offset = [1_000_000]
    reader = EndpointListReader(load(write(tmp_path)), lambda unix_us: unix_us - offset[0])
    entry = {"id": "s-1", "host_port": "10.1.0.18:9000", "phase": "ready", "up_since_ms": 2500}

    def started(complete: bool, *entries: dict[str, Any]) -> list[int]:
        body = {"revision": 4, "complete": complete, "members": entries}
        return [m.started_us for m in reader.parse(body)[1].members]

    assert started(True, entry) == [1_500_000]
    offset[0] = 61_000_000  # the wall clock is set ahead by a minute, and start times from now on with it
    assert started(False, entry, entry | {"id": "s-2", "up_since_ms": 62_000}) == [1_500_000, 1_000_000]
    assert started(True, entry) == [1_500_000]
    assert list(reader._known_starts) == [b"s-1"]  # the other one is not listed any more
    started(False, entry | {"phase": "gone"}, entry | {"phase": "gone"})
    assert not reader._known_starts


def test_start_time_in_the_future_counts_as_now() -> None:
    with asyncio.Runner() as runner:
        clock = Clock(runner.get_loop())
        assert clock.from_unix(time.time_ns() // 1000 + 3_600_000_000) <= clock.read_now()
        assert (
            abs(clock.from_unix(time.time_ns() // 1000 - 5_000_000) + 5_000_000 - clock.read_now())
            < 60_000_000
        )
