"""Tests of a reload while the node serves: which files are refused, and which state is kept."""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest

from granitewell import core as c
from granitewell.balancing import interface as t
from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import Effect, Outcome, State, View
from granitewell.config import Config, ConfigError, load, reload
from granitewell.net.http1 import (
    MAX_DISCOVERED_NAMES,
    EndpointListReader,
    HeaderNames,
    RejectedRequest,
    Request,
    RequestParser,
)
from granitewell.reload import MAX_NAMES, check_complete, keep_indices
from tests import wirekit as w
from tests.exchange_player import LIMIT_S, Player, settings
from tests.test_config import write
from tests.test_core import SAFE, ScriptedBalancer, calls, core, send

NEW = {"name": "taxi-lookup_b", "effect": "side_effect", "aimMs": 500.0, "giveUpMs": 900.0, "value": 2.0}


def reload_config(env: dict[str, str], old: Config) -> Config:
    return keep_indices(old, reload(env, lambda top: check_complete(old.raw, top, "")))


def test_name_keeps_its_index_over_reloads(tmp_path: Path) -> None:
    """A class inserted in front shifted the others, and the balancer mixed up the state of classes."""
    old = load(env := write(tmp_path))
    text = settings()
    text["classes"] = [NEW, text["classes"][1]]
    write(tmp_path, settings=text)
    new = reload_config(env, old)
    assert new.class_names == ("taxi-lookup", "ride-assign", "taxi-lookup_b")
    assert new.active_classes == {"taxi-lookup_b", "ride-assign"}
    assert [x.deadline_ms for x in new.settings.classes] == [2500.0, 2000.0, 900.0]
    write(tmp_path)
    back = reload_config(env, new)
    assert back.class_names == new.class_names and back.active_classes == {"taxi-lookup", "ride-assign"}


def test_number_of_names_since_the_start_is_bounded(tmp_path: Path) -> None:
    """Each name keeps its index forever; without a bound, memory and the work of each period grew."""
    config = load(env := write(tmp_path))
    for k in range(MAX_NAMES):
        text = settings()
        text["classes"].append(NEW | {"name": f"class-{k}"})
        write(tmp_path, settings=text)
        try:
            config = reload_config(env, config)
        except ConfigError as error:
            assert str(error).startswith("settings.classes: 251 names since the start")
            break
    assert len(config.class_names) == MAX_NAMES and k == MAX_NAMES - 2
    write(tmp_path)
    # a file without new names is accepted
    assert reload_config(env, config).active_classes == {"taxi-lookup", "ride-assign"}
    reader = EndpointListReader(config, lambda unix_us: unix_us)
    entry = {"id": "s", "host_port": "10.1.0.18:9000", "phase": "ready"}
    many = [entry | {"locality": f"z{k}", "flavor": f"f{k}"} for k in range(3000)]
    members = reader.parse({"revision": 1, "complete": False, "members": many})[1].members
    assert max(m.zone for m in members) == max(m.kind for m in members) == MAX_DISCOVERED_NAMES


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        yield (*path, key)
        yield from _paths(item, (*path, key))


def test_truncated_file_or_missing_key_is_refused(tmp_path: Path) -> None:
    """The platform may still be writing the file, or it may be wrong; no part of it may be applied."""
    old = load(env := write(tmp_path))
    path = Path(env["LB_CONFIG"])
    full_text = path.read_text()
    for cut in range(len(full_text)):
        path.write_text(full_text[:cut])
        with pytest.raises(ConfigError):
            reload_config(env, old)
    top = json.loads(full_text)
    for where in _paths(top["settings"]):
        if isinstance(where[-1], int):
            continue
        changed = json.loads(full_text)
        parent = changed["settings"]
        for key in where[:-1]:
            parent = parent[key]
        del parent[where[-1]]
        path.write_text(json.dumps(changed))
        with pytest.raises(ConfigError) as error:
            reload_config(env, old)
        assert where[-1] in str(error.value) and "\n" not in str(error.value), where


@pytest.mark.parametrize(
    "invalid_value", [0, -1, -0.5, True, "5", None, [], float("nan"), float("inf"), 1e400]
)
@pytest.mark.parametrize("name", ["giveUpMs", "maxAttempts"])
def test_deadline_or_attempts_that_are_not_positive_are_refused(
    tmp_path: Path, name: str, invalid_value: Any
) -> None:
    old = load(env := write(tmp_path))
    text = settings()
    (text["allowed"] if name == "maxAttempts" else text["classes"][0])[name] = invalid_value
    write(tmp_path, settings=text)
    with pytest.raises(ConfigError, match=name):
        reload_config(env, old)


def request(names: HeaderNames, method: bytes, name: bytes) -> Any:
    head = b"%s /%s/1 HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: 50\r\n\r\n"
    (item,) = RequestParser(names).feed(head % (method, name, name))
    return item


def test_previous_names_are_accepted_until_clients_have_changed_over(tmp_path: Path) -> None:
    """Clients use the new class 1.2 s after the signal; a 404 until then failed every request of a class."""
    old = load(env := write(tmp_path))
    names = HeaderNames(old)
    text = settings()
    text["classes"] = [text["classes"][1] | {"effect": "pure"}, NEW]
    write(tmp_path, settings=text)
    names.reconfigure(reload_config(env, old))
    requests = [request(names, *x) for x in ((b"GET", b"taxi-lookup"), (b"POST", b"ride-assign"),
                                         (b"GET", b"ride-assign"), (b"POST", b"taxi-lookup_b"))]  # fmt: skip
    assert all(isinstance(x, Request) for x in requests)
    assert [(x.class_index, x.must_not_repeat) for x in requests] == [
        (0, False),
        (1, True),
        (1, False),
        (2, True),
    ]
    names.drop_previous()
    rejected = [request(names, b"GET", b"taxi-lookup"), request(names, b"POST", b"ride-assign")]
    assert [x.status for x in rejected if isinstance(x, RejectedRequest)] == [404, 405]


def test_open_request_keeps_its_class_and_its_attempts() -> None:
    """The settings at its arrival apply to a request until its end.

    A request that was safe then is repeated, and gets no more attempts than the limit was then.
    """
    node = core(ScriptedBalancer(Request=send, Ended=lambda e: [] if e.final else send(e)), max_attempts=2)
    (first,) = calls(node.handle(1, c.RequestReceived(1, SAFE, 0, 0, 900_000, "m")))
    original = w.settings(parallel_tries=True, may_cancel=True, max_attempts=5)
    unsafe = (replace(original.classes[0], effect=Effect.UNSAFE), *original.classes[1:])
    node.handle(2, c.SettingsChanged(replace(original, classes=unsafe), 100))
    (second,) = calls(node.handle(3, c.CallEnded(first.call, Outcome.ERROR)))
    effects = node.handle(4, c.CallEnded(second.call, Outcome.ERROR))
    assert [e.status for e in effects if isinstance(e, c.SendResponse)] == [c.ResponseStatus.FAILED]
    (third,) = calls(node.handle(5, c.RequestReceived(2, SAFE, 0, 0, 900_000, "m")))
    assert not calls(node.handle(6, c.CallEnded(third.call, Outcome.ERROR)))  # the new settings apply to it


def test_request_that_the_client_marks_unsafe_is_not_repeated() -> None:
    script = ScriptedBalancer(Request=send, Ended=send)
    node = core(script)
    (first,) = calls(node.handle(1, c.RequestReceived(1, SAFE, 0, 0, 900_000, "m", non_idempotent=True)))
    assert not calls(node.handle(2, c.CallEnded(first.call, Outcome.RESET)))
    assert [e.non_idempotent for e in script.seen if isinstance(e, t.Request)] == [True]


def test_balancer_serves_classes_added_later_and_keeps_its_state() -> None:
    """Random requests over several reloads: each is sent once, and no class is missing in the state."""
    rng, base = Random(7), w.settings(parallel_tries=True, may_cancel=True)
    balancer = Balancer(base, 1)
    hosts = tuple(t.Host(b"s-%d" % k, 0, 0, 0, State.READY, 1.0, 0.0) for k in range(4))
    balancer.handle(0.0, t.Hosts(View.FULL, hosts))
    now, classes = 0.0, list(base.classes)
    for rid in range(1, 2001):
        now += 2.0
        if rid % 200 == 0:
            classes.append(t.RequestClass(150.0, 800.0, rng.choice([Effect.SAFE, Effect.UNSAFE])))
            classes[0] = replace(classes[0], effect=rng.choice([Effect.SAFE, Effect.UNSAFE]))
            balancer.handle(
                now, t.SettingsChanged(replace(base, classes=tuple(classes), max_attempts=rng.randint(1, 5)))
            )
        actions = balancer.handle(now, t.Request(rid, rng.randrange(len(classes)), 0, 0, now + 800.0, 0.0))
        sent = [a for a in actions if isinstance(a, t.Send)]
        assert len(sent) == 1
        outcome = Outcome.OK if rng.random() < 0.9 else Outcome.ERROR
        balancer.handle(now + 1.0, t.Ended(rid, 0, sent[0].host, outcome, 1.0, True))
        balancer.handle(now + 1.5, t.Timer(0))
    figures, full, _, rows = balancer.diagnostics()
    assert len(full) == len(classes) == 13 and all(len(row[4]) == 13 for row in rows)
    assert 0.0 < figures["mean_ms"] < 2.0


def test_signal_applies_a_new_class_and_ignores_an_invalid_file() -> None:
    player = Player()
    try:
        player.step_start("a=ready", b"")
        assert player.program is not None
        path = Path(player.folder.name, "config.json")
        top = json.loads(path.read_text())

        def asked() -> bytes:
            with socket.create_connection(player.address, LIMIT_S) as sock:
                sock.sendall(b"POST /taxi-lookup_b/1 HTTP/1.1\r\nRequest-Id: r\r\nRequest-Timeout-Ms: 1\r\n"
                             b"Content-Length: 0\r\n\r\n")  # fmt: skip
                return sock.recv(4096).split()[1]

        assert asked() == b"404"
        path.write_text("")
        player.program.send_signal(signal.SIGHUP)
        player.until_ready()
        top["settings"]["classes"].append(NEW)
        path.write_text(json.dumps(top))
        player.program.send_signal(signal.SIGHUP)
        os.kill(player.program.pid, signal.SIGHUP)
        end = time.monotonic() + LIMIT_S
        while asked() == b"404":
            assert time.monotonic() < end, "the new class was never applied"
    finally:
        player.close()


def test_new_process_estimates_the_load_of_cold_endpoints_from_the_allowances() -> None:
    """Guards against a new process that has measured no rate yet sending next to nothing to cold endpoints.

    It overloaded the warm ones instead, and if all were cold, nothing was ever sent. What is sent to the cold
    ones must stay under the allowed multiple of their share.
    """
    base = w.settings(tenants=(t.Tenant(1.0, 400.0),), cold_from=0.1, ramp_ms=20_000.0, fall_ms=1000.0)
    hosts = tuple(t.Host(b"s-%d" % k, 0, 0, 0, State.READY, 1.0, 1_000_000.0) for k in range(4))
    balancer = Balancer(base, 1)
    balancer.handle(1_000_000.0, t.Hosts(View.FULL, hosts))
    sent = 0
    for k in range(2000):  # two seconds, a request each millisecond: far more than they can serve
        now = 1_000_000.0 + k
        sent += sum(
            isinstance(a, t.Send) for a in balancer.handle(now, t.Request(k, 0, 0, 0, now + 900.0, 0.0))
        )
        sent += sum(isinstance(a, t.Send) for a in balancer.handle(now, t.Timer(0)))
    capacity_per_s = 400.0 / 2 / 2  # of all four: this gateway's part of half of the allowances
    assert 8 <= sent <= 3 * 0.19 * capacity_per_s * 2 + 4


def test_abandoned_request_gets_no_second_copy() -> None:
    """Guards against sending a parallel copy of a request at the moment when its client leaves.

    The copy was sent before the abandonment was handled. The core had no such request any more, and the
    balancer counted the copy as in flight at that host forever.
    """
    balancer = Balancer(w.settings(parallel_tries=True, may_cancel=True), 1)
    hosts = tuple(t.Host(b"s-%d" % k, 0, 0, 0, State.READY, 1.0, 0.0) for k in range(3))
    balancer.handle(0.0, t.Hosts(View.FULL, hosts))
    at: dict[int, bytes] = {}
    for rid in range(200):
        actions = balancer.handle(rid, t.Request(rid, 0, 0, 0, 9000.0, 0.0))
        at[rid] = next(a.host for a in actions if isinstance(a, t.Send))
        if rid < 150:
            balancer.handle(rid + 0.5, t.Ended(rid, 0, at[rid], Outcome.OK, 5.0, True))
    failing, abandoned = at[199], 199
    for rid in range(150, 199):
        outcome = Outcome.ERROR if at[rid] == failing else Outcome.OK
        balancer.handle(201.0, t.Ended(rid, 0, at[rid], outcome, 5.0, True))
    actions = balancer.handle(1000.0, t.Abandoned(abandoned))
    assert [a for a in actions if isinstance(a, t.Send)] == [] and t.Cancel(abandoned, 0) in actions
