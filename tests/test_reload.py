"""Settings that change while the node serves: which files are refused, and what stays of what was known."""

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
from granitewell.reload import MAX_NAMES, complete, follow
from tests import wirekit as w
from tests.exchange_player import LIMIT_S, Player, settings
from tests.test_config import write
from tests.test_core import SAFE, ScriptedBalancer, calls, core, send

NEW = {"name": "taxi-lookup_b", "effect": "side_effect", "aimMs": 500.0, "giveUpMs": 900.0, "value": 2.0}


def again(env: dict[str, str], old: Config) -> Config:
    return follow(old, reload(env, lambda top: complete(old.raw, top, "")))


def test_an_index_belongs_to_a_name_for_good(tmp_path: Path) -> None:
    """A class added in front moved the others: the module's rows of one class went on for another."""
    old = load(env := write(tmp_path))
    text = settings()
    text["classes"] = [NEW, text["classes"][1]]
    write(tmp_path, settings=text)
    new = again(env, old)
    assert new.class_names == ("taxi-lookup", "ride-assign", "taxi-lookup_b")
    assert new.live == {"taxi-lookup_b", "ride-assign"}
    assert [x.deadline_ms for x in new.settings.classes] == [2500.0, 2000.0, 900.0]
    write(tmp_path)
    back = again(env, new)
    assert back.class_names == new.class_names and back.live == {"taxi-lookup", "ride-assign"}


def test_names_that_come_and_go_for_months_are_bounded(tmp_path: Path) -> None:
    """Each kept its place for good, in the module's rows and the work of each period, without any bound."""
    held = load(env := write(tmp_path))
    for k in range(MAX_NAMES):
        text = settings()
        text["classes"].append(NEW | {"name": f"class-{k}"})
        write(tmp_path, settings=text)
        try:
            held = again(env, held)
        except ConfigError as error:
            assert str(error).startswith("settings.classes: 251 names since the start")
            break
    assert len(held.class_names) == MAX_NAMES and k == MAX_NAMES - 2
    write(tmp_path)
    assert again(env, held).live == {"taxi-lookup", "ride-assign"}  # what needs no new place is taken
    reader = EndpointListReader(held, lambda unix_us: unix_us)
    entry = {"id": "s", "host_port": "10.1.0.18:9000", "phase": "ready"}
    many = [entry | {"locality": f"z{k}", "flavor": f"f{k}"} for k in range(3000)]
    members = reader.parse({"revision": 1, "complete": False, "members": many})[1].members
    assert max(m.zone for m in members) == max(m.kind for m in members) == MAX_DISCOVERED_NAMES


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        yield (*path, key)
        yield from _paths(item, (*path, key))


def test_a_file_cut_anywhere_or_with_a_key_missing_is_refused(tmp_path: Path) -> None:
    """The platform may be writing it, or have written nonsense: nothing may be taken of it."""
    old = load(env := write(tmp_path))
    path = Path(env["LB_CONFIG"])
    whole = path.read_text()
    for cut in range(len(whole)):
        path.write_text(whole[:cut])
        with pytest.raises(ConfigError):
            again(env, old)
    top = json.loads(whole)
    for where in _paths(top["settings"]):
        if isinstance(where[-1], int):
            continue
        changed = json.loads(whole)
        spot = changed["settings"]
        for key in where[:-1]:
            spot = spot[key]
        del spot[where[-1]]
        path.write_text(json.dumps(changed))
        with pytest.raises(ConfigError) as error:
            again(env, old)
        assert where[-1] in str(error.value) and "\n" not in str(error.value), where


@pytest.mark.parametrize("odd", [0, -1, -0.5, True, "5", None, [], float("nan"), float("inf"), 1e400])
@pytest.mark.parametrize("name", ["giveUpMs", "maxAttempts"])
def test_a_deadline_or_attempts_that_are_no_positive_number_are_refused(
    tmp_path: Path, name: str, odd: Any
) -> None:
    old = load(env := write(tmp_path))
    text = settings()
    (text["allowed"] if name == "maxAttempts" else text["classes"][0])[name] = odd
    write(tmp_path, settings=text)
    with pytest.raises(ConfigError, match=name):
        again(env, old)


def request(names: HeaderNames, method: bytes, name: bytes) -> Any:
    head = b"%s /%s/1 HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: 50\r\n\r\n"
    (item,) = RequestParser(names).feed(head % (method, name, name))
    return item


def test_the_names_of_before_count_until_clients_have_changed_over(tmp_path: Path) -> None:
    """Clients name the new class 1.2 s after the signal; a 404 until then failed all of a class."""
    old = load(env := write(tmp_path))
    names = HeaderNames(old)
    text = settings()
    text["classes"] = [text["classes"][1] | {"effect": "pure"}, NEW]
    write(tmp_path, settings=text)
    names.reconfigure(again(env, old))
    asks = [request(names, *x) for x in ((b"GET", b"taxi-lookup"), (b"POST", b"ride-assign"),
                                         (b"GET", b"ride-assign"), (b"POST", b"taxi-lookup_b"))]  # fmt: skip
    assert all(isinstance(x, Request) for x in asks)
    assert [(x.class_index, x.must_not_repeat) for x in asks] == [
        (0, False),
        (1, True),
        (1, False),
        (2, True),
    ]
    names.drop_previous()
    bad = [request(names, b"GET", b"taxi-lookup"), request(names, b"POST", b"ride-assign")]
    assert [x.status for x in bad if isinstance(x, RejectedRequest)] == [404, 405]


def test_an_open_request_keeps_its_class_and_its_attempts() -> None:
    """Its client was promised the rules that it came under.

    One that was safe is repeated, one more attempt than before is not made.
    """
    node = core(ScriptedBalancer(Request=send, Ended=lambda e: [] if e.final else send(e)), max_attempts=2)
    (first,) = calls(node.handle(1, c.RequestReceived(1, SAFE, 0, 0, 900_000, "m")))
    was = w.settings(parallel_tries=True, may_cancel=True, max_attempts=5)
    unsafe = (replace(was.classes[0], effect=Effect.UNSAFE), *was.classes[1:])
    node.handle(2, c.SettingsChanged(replace(was, classes=unsafe), 100))
    (second,) = calls(node.handle(3, c.CallEnded(first.call, Outcome.ERROR)))
    effects = node.handle(4, c.CallEnded(second.call, Outcome.ERROR))
    assert [e.status for e in effects if isinstance(e, c.SendResponse)] == [c.ResponseStatus.FAILED]
    (third,) = calls(node.handle(5, c.RequestReceived(2, SAFE, 0, 0, 900_000, "m")))
    assert not calls(node.handle(6, c.CallEnded(third.call, Outcome.ERROR)))  # it came under the new rules


def test_a_client_that_holds_it_for_unsafe_is_believed() -> None:
    script = ScriptedBalancer(Request=send, Ended=send)
    node = core(script)
    (first,) = calls(node.handle(1, c.RequestReceived(1, SAFE, 0, 0, 900_000, "m", non_idempotent=True)))
    assert not calls(node.handle(2, c.CallEnded(first.call, Outcome.RESET)))
    assert [e.non_idempotent for e in script.seen if isinstance(e, t.Request)] == [True]


def test_the_module_serves_a_class_that_came_later_and_keeps_what_it_knew() -> None:
    """Played at random over reloads: each request is sent or answered, and no row is missing."""
    rng, base = Random(7), w.settings(parallel_tries=True, may_cancel=True)
    one = Balancer(base, 1)
    hosts = tuple(t.Host(b"s-%d" % k, 0, 0, 0, State.READY, 1.0, 0.0) for k in range(4))
    one.handle(0.0, t.Hosts(View.FULL, hosts))
    now, kinds = 0.0, list(base.classes)
    for rid in range(1, 2001):
        now += 2.0
        if rid % 200 == 0:
            kinds.append(t.RequestClass(150.0, 800.0, rng.choice([Effect.SAFE, Effect.UNSAFE])))
            kinds[0] = replace(kinds[0], effect=rng.choice([Effect.SAFE, Effect.UNSAFE]))
            one.handle(
                now, t.SettingsChanged(replace(base, classes=tuple(kinds), max_attempts=rng.randint(1, 5)))
            )
        actions = one.handle(now, t.Request(rid, rng.randrange(len(kinds)), 0, 0, now + 800.0, 0.0))
        sent = [a for a in actions if isinstance(a, t.Send)]
        assert len(sent) == 1
        outcome = Outcome.OK if rng.random() < 0.9 else Outcome.ERROR
        one.handle(now + 1.0, t.Ended(rid, 0, sent[0].host, outcome, 1.0, True))
        one.handle(now + 1.5, t.Timer(0))
    figures, full, _, rows = one.diagnostics()
    assert len(full) == len(kinds) == 13 and all(len(row[4]) == 13 for row in rows)
    assert 0.0 < figures["mean_ms"] < 2.0


def test_a_signal_brings_a_new_class_and_a_broken_file_nothing() -> None:
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
            assert time.monotonic() < end, "the new class was never taken"
    finally:
        player.close()


def test_a_process_that_has_served_nothing_uses_the_cold_by_the_allowances() -> None:
    """A new version under load knew no rate yet: it sent the cold next to nothing and swamped what was warm.

    Where all were cold, nothing was ever sent. What it may send stays under the multiple of their share.
    """
    base = w.settings(tenants=(t.Tenant(1.0, 400.0),), cold_from=0.1, ramp_ms=20_000.0, fall_ms=1000.0)
    hosts = tuple(t.Host(b"s-%d" % k, 0, 0, 0, State.READY, 1.0, 1_000_000.0) for k in range(4))
    one = Balancer(base, 1)
    one.handle(1_000_000.0, t.Hosts(View.FULL, hosts))
    sent = 0
    for k in range(2000):  # two seconds, a request each millisecond: far more than they bear
        now = 1_000_000.0 + k
        sent += sum(isinstance(a, t.Send) for a in one.handle(now, t.Request(k, 0, 0, 0, now + 900.0, 0.0)))
        sent += sum(isinstance(a, t.Send) for a in one.handle(now, t.Timer(0)))
    bears = 400.0 / 2 / 2  # a second: this gateway's part of half of the allowances, of all four
    assert 8 <= sent <= 3 * 0.19 * bears * 2 + 4


def test_a_client_that_leaves_gets_no_second_copy_in_that_moment() -> None:
    """The copy came before the news was taken.

    The core knew of no such request, and the module held that host for busy with it for ever.
    """
    one = Balancer(w.settings(parallel_tries=True, may_cancel=True), 1)
    hosts = tuple(t.Host(b"s-%d" % k, 0, 0, 0, State.READY, 1.0, 0.0) for k in range(3))
    one.handle(0.0, t.Hosts(View.FULL, hosts))
    at: dict[int, bytes] = {}
    for rid in range(200):
        actions = one.handle(rid, t.Request(rid, 0, 0, 0, 9000.0, 0.0))
        at[rid] = next(a.host for a in actions if isinstance(a, t.Send))
        if rid < 150:
            one.handle(rid + 0.5, t.Ended(rid, 0, at[rid], Outcome.OK, 5.0, True))
    ill, late = at[199], 199
    for rid in range(150, 199):
        outcome = Outcome.ERROR if at[rid] == ill else Outcome.OK
        one.handle(201.0, t.Ended(rid, 0, at[rid], outcome, 5.0, True))
    actions = one.handle(1000.0, t.Abandoned(late))
    assert [a for a in actions if isinstance(a, t.Send)] == [] and t.Cancel(late, 0) in actions
