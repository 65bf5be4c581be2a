"""The status of a running node: what it says is ill, what it costs at most, and who may ask."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from hashlib import sha256
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as sets
from hypothesis import strategies as st

from granitewell import core as c
from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import Effect, RequestClass, Settings, State, View
from granitewell.cli.main import run
from granitewell.config import load
from granitewell.net import status as status_door
from granitewell.net.loop import Node
from granitewell.operator.registry import Operator
from granitewell.operator.table import examine
from granitewell.status import descriptions, metrics, types, wire
from granitewell.status.snapshot import STEP, Steps, T, look
from tests.exchange_player import LIMIT_S
from tests.test_config import write
from tests.test_operator import Watched

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "operate" / "status.md").read_text()
HOUR = 3_600_000_000
NAMES = "taxi-lookup", "ride-assign"


# --- A node that runs -----------------------------------------------------------------------------------
@contextmanager
def started(
    folder: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], table: str, fleet: str
) -> Iterator[tuple[Watched, str]]:
    """A node with this operator file, and the path that `at = "s"` means."""
    monkeypatch.setenv("TMPDIR", str(folder))
    node = Watched(folder, monkeypatch, capfd)
    node.path.write_text(table)
    try:
        node.player.step_start(fleet, b"")
        yield node, f"{folder}/s"
    finally:
        node.player.close()


def asks(path: str, target: str = "/status", raw: bytes | None = None) -> socket.socket:
    """A connection that has asked, or said these bytes."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(LIMIT_S)
    sock.connect(path)
    sock.sendall(f"GET {target} HTTP/1.1\r\nHost: n\r\n\r\n".encode() if raw is None else raw)
    return sock


def rest(sock: socket.socket) -> tuple[int, bytes]:
    """All that comes on it: how long a body was promised, and what came of it."""
    raw = b""
    with closing(sock):
        while more := sock.recv(65536):
            raw += more
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(re.search(rb"Content-Length: (\d+)", head)[1]) if head else 0, body  # type: ignore[index]


def status(path: str, **query: int) -> Any:
    promised, body = rest(asks(path, "/status?" + "&".join(f"{k}={v}" for k, v in query.items())))
    assert len(body) == promised
    return json.loads(body)


class StandIns:
    """Endpoints that answer after 40 ms, and never what `hang` names."""

    def __init__(self, servers: dict[str, socket.socket], hang: tuple[str, bytes]) -> None:
        self.over, self.hang = threading.Event(), hang
        for name, server in servers.items():
            threading.Thread(target=self.accept, args=(name, server), daemon=True).start()

    def accept(self, name: str, server: socket.socket) -> None:
        while not self.over.is_set():
            try:
                sock, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(name, sock), daemon=True).start()

    def serve(self, name: str, sock: socket.socket) -> None:
        with closing(sock), suppress(ConnectionError):
            while head := sock.recv(4096):
                if self.hang[0] == name and self.hang[1] in head.split(b"\r\n")[0]:
                    self.over.wait()
                    return
                time.sleep(0.04)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def ask(self, address: tuple[str, int], line: bytes, name: str) -> None:
        """One client, request after request."""
        with socket.create_connection(address, LIMIT_S) as sock, suppress(ConnectionError):
            k = 0
            while not self.over.is_set():
                k += 1
                sock.sendall(b"%s HTTP/1.1\r\nHost: n\r\nRequest-Id: %s-%d\r\nRequest-Timeout-Ms: 2000\r\n"
                             b"Content-Length: 0\r\n\r\n" % (line, name.encode(), k))  # fmt: skip
                if not sock.recv(4096):
                    return


def test_a_class_that_hangs_at_one_endpoint_is_the_one_ill_pair(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    with started(tmp_path, monkeypatch, capfd, "[status]\nat='s'", "a=ready b=ready c=ready") as (node, path):
        at = ["node", "status", "--at", path]
        assert run([*at, "--json"]) == 0
        assert json.loads(capfd.readouterr().out)["judged"] == {"pairs": 6, "ill": 0}
        stands = StandIns(node.player.servers, ("b", b"/taxi-lookup"))
        try:
            for k, line in enumerate([b"GET /taxi-lookup"] * 12 + [b"POST /ride-assign"] * 4):
                args = node.player.address, line, f"c{k}"
                threading.Thread(target=stands.ask, args=args, daemon=True).start()
            end = time.monotonic() + LIMIT_S
            while (seen := status(path))["judged"]["ill"] == 0:
                assert time.monotonic() < end
            ill = [p for p in seen["pairs"] if p["state"] != "well"]
            found = [(p["endpoint"], p["class"], p["cause"]) for p in ill]
            assert found == [("s-b", "taxi-lookup", "silent")]
            assert ill[0]["failures"] > 0.3 and seen["pairs"][0] == ill[0] and seen["judged"]["ill"] == 1
            assert [(e["endpoint"], e["ill"]) for e in seen["endpoints"][:1]] == [("s-b", 1)]
            assert seen["counters"]["served"] >= 20 and seen["held"]["total"] <= 16
            assert run(at) == 1
            out = capfd.readouterr().out
            assert "1 of 6 pairs ill" in out and re.search(r"s-b +│ taxi-lookup │ +silent", out)
        finally:
            stands.over.set()


def test_sighup_opens_moves_and_closes_the_door(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    path, other = tmp_path / "s", tmp_path / "t"
    with started(tmp_path, monkeypatch, capfd, "", "a=ready") as (node, _):
        assert not path.exists()
        node.hup("[status]\nat = 's'\nconnections = 2")
        assert f"the status is at {path}" in node.until("taken from the operator file: status.at, status.con")
        assert path.stat().st_mode & 0o777 == 0o600
        assert status(str(path))["phase"] == "ready"
        other.write_text("mine")
        node.hup(f"[status]\nat = '{other}'")
        assert "something that is no socket stands there" in node.until("taken from")
        assert other.read_text() == "mine" and not path.exists()
        other.unlink()  # the file says the same, and now it can be had
        node.hup(f"[status]\nat = '{other}'\nconnections = 1")
        assert "the status is at" in node.until("taken from")
        assert status(str(other), worst=0)["pairs"] == []
        node.hup("")
        assert "the status is served no longer" in node.until("taken from")
        assert not other.exists()
        node.hup("[status]\nat = 's'")
        node.until("taken from")
        assert node.player.program is not None
        node.player.program.terminate()
        assert node.player.program.wait(LIMIT_S) == 0 and not path.exists()


def test_news_of_discovery_and_a_path_that_has_become_somebody_elses(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    with started(tmp_path, monkeypatch, capfd, "[status]\nat = 's'", "a=ready") as (node, path):
        node.player.step_discovery("says", b"garbage")
        discovery = status(path)["discovery"]
        # the agent answers the call that follows, with the same list: heard again, and no news
        assert discovery["news_s"] >= discovery["failed_s"] >= 0
        assert discovery["news_s"] >= discovery["heard_s"] >= 0
        assert "Expecting value" in discovery["failure"]
        os.unlink(path)
        Path(path).write_text("mine")
        node.hup("")
        node.until("taken from")
        assert Path(path).read_text() == "mine"


def test_who_does_not_ask_or_read_holds_nothing_for_long(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    table = "[status]\nat='s'\nseconds=0.5\nconnections=4"
    with started(tmp_path, monkeypatch, capfd, table, "a=ready") as (node, path):
        one = node.player.endpoint_entries("a=ready")[0]
        node.player.agent.publish(True, [one, *({**one, "id": f"{k}".rjust(90, "x")} for k in range(1000))])
        lazy = [asks(path, "/status?worst=500"), *(asks(path, raw=b"x" * n) for n in (0, 10, 10_000))]
        fds = f"/proc/{node.player.program.pid}/fd"  # type: ignore[union-attr]
        assert len(status(path, worst=3)["endpoints"]) == 3  # there is a seat once one has lost its own
        node.player.until_ready()
        promised, body = rest(lazy[0])
        assert 200_000 < len(body) < promised  # more than a socket's buffer: the node did not wait
        assert [rest(sock)[1][:8] for sock in lazy[1:]] == [b"", b"", b"the head"]
        before = len(os.listdir(fds))
        for sock in [asks(path) for _ in range(12)]:
            assert rest(sock)[1].endswith(b"}\n")
        assert len(os.listdir(fds)) <= before + 4


def test_a_path_is_taken_only_from_a_dead_socket_of_our_own(tmp_path: Path) -> None:
    path = str(tmp_path / "s")

    def bound(at: str = path) -> socket.socket:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        status_door.bind_path(sock, at)
        return sock

    bound().close()
    with bound() as first, socket.socket(socket.AF_UNIX) as asker:
        first.listen(0)
        asker.connect(path)  # its backlog is full now, and still somebody listens there
        with pytest.raises(OSError, match="somebody listens"):
            bound()
    Path(f"{path}0").mkdir()
    os.mkfifo(f"{path}1")
    os.symlink(path, f"{path}2")
    for at in (f"{path}{n}" for n in range(3)):
        with pytest.raises(OSError, match="no socket"):
            bound(at)
        assert os.path.lexists(at)


def test_answers_come_from_one_look_while_the_node_rests_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    config, looks = load(write(tmp_path)), []

    def counted(*args: Any) -> Steps[types.Snapshot]:
        looks.append(1)
        return look(*args)

    async def scenario() -> list[int]:
        loop = asyncio.get_running_loop()
        door = status_door.StatusServer(
            Node(config, c.Core(config.settings, Balancer(config.settings, 1), 9), loop)
        )
        seen = []
        for n in (5, 5, *range(20)):
            assert f'"worst":{n},'.encode() in await door._answer(wire.Asked(wire.STATUS, n))
            seen.append(len(looks))
        assert door._rest_until_us - door._snapshot_done_us == status_door.MAX_REST_US
        door._settings = types.StatusSettings(seconds=0.2)  # who waits must have time left
        await door._answer(wire.Asked(wire.STATUS, 20))
        assert door._rest_until_us - door._snapshot_done_us == 100_000
        return seen

    monkeypatch.setattr(status_door, "look", counted)
    monkeypatch.setattr(status_door, "REST_RATIO", 10**9)
    assert asyncio.run(scenario()) == [1] * 10 + [2] * 8 + [3] * 4


# --- The pure part --------------------------------------------------------------------------------------
ABOUT = types.About("n0", NAMES, ("z0", "z1"), ("k0",), HOUR, 0)
NONE = types.Sockets({}, 0, 0, 0, 0, 0, 32, ("127.0.0.1", 1), -1, -1, -1, "")


def core_of(ids: list[str], requests: int = 0) -> c.Core:
    classes = tuple(RequestClass(500.0, 60_000.0, effect) for effect in (Effect.SAFE, Effect.UNSAFE))
    made = Settings(classes, 3, 5, 1000.0, 0.12, 23_000.0, 3.0, 1000.0, parallel_tries=True)
    core = c.Core(made, Balancer(made, 7), 20_000)
    core.handle(HOUR, c.Listening())
    core.handle(HOUR, c.EndpointListUpdate(View.FULL, tuple(
        c.DiscoveredEndpoint(x.encode(), ("10.0.0.1", 9), k % 2, 0, 0, State.READY, 1.0, 0)
        for k, x in enumerate(ids)
    )))  # fmt: skip
    for k in range(requests):
        core.handle(HOUR + k, c.RequestReceived(k, k % 2, 0, 0, 60_000_000, None))
    return core


def spoil(core: c.Core, n: int, k: int, share: float) -> None:
    """The module's review has found this pair ill 2 s ago."""
    pair = core._balancer._ready_hosts[n].class_health[k]  # type: ignore[attr-defined]
    pair.failure_ratio, pair.failure_ratio_at_ms, pair.unhealthy_since_ms = (
        share,
        HOUR / 1000,
        HOUR / 1000 - 2000,
    )


def inside(core: c.Core) -> str:
    """What a look must leave as it was."""
    balancer: Any = core._balancer
    pairs = [
        [getattr(pair, x) for x in pair.__slots__] for s in balancer._ready_hosts for pair in s.class_health
    ]
    found = repr([vars(core), vars(balancer), balancer._rng.getstate(), pairs])
    return sha256(found.encode()).hexdigest()  # a difference in megabytes would take minutes to show


def taken(steps: Steps[T]) -> tuple[T, int]:
    """The result, and how many steps it took."""
    n = 1
    while True:
        try:
            next(steps)
            n += 1
        except StopIteration as done:
            return done.value, n


def test_the_worst_of_twelve_thousand_endpoints_in_short_steps() -> None:
    core = core_of([f"e{k:05}" for k in range(12_000)], 5000)
    for n in range(700):
        spoil(core, 7 * n, n % 2, 0.4 + n / 2000)
    before = inside(core)
    snap, steps = taken(look(core, NONE, ABOUT, HOUR + 250_000, 50))
    assert steps >= (12_000 + 12_000 + 5000 + 5000) / STEP
    assert inside(core) == before
    assert snap["judged"] == {"pairs": 24_000, "ill": 700} and snap["fleet"]["ready"] == 12_000
    assert [(p["endpoint"], p["state"]) for p in snap["pairs"]] == [
        (f"e{7 * n:05}", "ill") for n in range(699, 649, -1)
    ]  # fmt: skip
    assert snap["pairs"][0]["since_s"] == 2.25 and [e["ill"] for e in snap["endpoints"]] == [1] * 50
    assert [(h["total"], h["ages"]["1000"]) for h in snap["held"]["classes"]] == [(2500, 2500)] * 2
    assert snap["calls"]["total"] == 5000 and sum(x["calls"] for x in snap["endpoints"]) <= 5000


def test_a_look_goes_on_while_the_fleet_and_the_calls_change_under_it() -> None:
    core = core_of([f"e{k}" for k in range(1000)], 1000)
    steps, n, state = look(core, NONE, ABOUT, HOUR, 500), 0, State.READY
    with pytest.raises(StopIteration) as done:
        for n in range(10_000):
            next(steps)
            state = State.DRAINING if state is State.READY else State.READY
            news = tuple(
                c.DiscoveredEndpoint(b"n%d" % (n + k), ("h", k), 0, 0, 0, state, 1.0, 0) for k in range(50)
            )
            core.handle(HOUR + n, c.EndpointListUpdate(View.FULL if n % 2 else View.DELTA, news))
            core.handle(HOUR + n, c.DownstreamClosed(n))
            core.handle(HOUR + n, c.RequestReceived(10_000 + n, 0, 0, 0, 1000, None))
    assert n > 20 and done.value.value["fleet"]["gone"] > 500


def test_a_full_fleet_is_not_ill_endpoints_and_a_zone_is_named() -> None:
    core = core_of(["a", "b", "c"])
    spoil(core, 0, 0, 0.9)
    spoil(core, 1, 1, 0.99)
    health = core._balancer._health  # type: ignore[attr-defined]
    health.fleet_overloaded[1] = True
    health._zone_failure_ratios[0] = 0.95, HOUR / 1000
    snap, _ = taken(look(core, NONE, ABOUT, HOUR, 6))
    states = {(p["endpoint"], p["class"]): (p["state"], p["cause"]) for p in snap["pairs"]}
    assert states["a", "taxi-lookup"] == ("ill", "zone") and states["b", "ride-assign"] == ("full", "well")
    assert [p["state"] for p in snap["pairs"]] == ["ill", "full", *["well"] * 4]
    assert not descriptions.good(snap) and "the fleet is full for ride-assign" in "".join(
        descriptions.head(snap)
    )


ANY = st.text(st.characters(exclude_categories=()), max_size=120)  # lone surrogates too


PLAIN = {"\\\\": "\\", '\\"': '"', "\\n": "\n"}


def parsed(text: str) -> dict[tuple[str, frozenset[tuple[str, str]]], float]:
    """Samples of the text exposition format 0.0.4; an AssertionError says what is none."""
    found: dict[tuple[str, frozenset[tuple[str, str]]], float] = {}
    family, seen = "", set()
    assert text.endswith("\n")
    for line in text.split("\n")[:-1]:
        if line.startswith("# HELP "):
            family = line.split(" ")[2]
            assert family not in seen, line
            seen.add(family)
        elif line.startswith("# TYPE "):
            assert re.fullmatch(rf"# TYPE {family} (gauge|counter)", line), line
        else:
            match = re.fullmatch(r'([a-z_]+)(?:\{((?:[a-z_]+="(?:[^"\\]|\\[\\n"])*",?)+)\})? (\S+)', line)
            assert match and match[1] == family, line
            labels = re.findall(r'([a-z_]+)="((?:[^"\\]|\\.)*)"', match[2] or "")
            key = (
                match[1],
                frozenset((k, re.sub(r"\\.", lambda m: PLAIN[str(m[0])], v)) for k, v in labels),
            )
            assert key not in found, line
            found[key] = float(match[3])
    return found


@sets(derandomize=True, deadline=None, database=None, max_examples=60)
@given(st.lists(ANY, min_size=1, max_size=4, unique=True), ANY)
def test_metrics_hold_any_name_and_json_too(names: list[str], name: str) -> None:
    ids = sorted({x.encode(errors="replace").decode() for x in names})
    about = types.About(name, (name[:90], "b"), (name,), (name,), HOUR, 0)
    snap, _ = taken(look(core_of(ids, 3), NONE, about, HOUR, 9))
    got = parsed(taken(wire.body(wire.Asked(wire.METRICS, 9), snap))[0].decode())
    rows = {dict(key[1])["endpoint"]: v for key, v in got.items() if key[0] == "granitewell_endpoint_calls"}
    assert len(rows) == len(ids) and {x for x in ids if len(x) <= types.MAX_TEXT} <= {*rows}
    assert sum(rows.values()) == sum(e["calls"] for e in snap["endpoints"])
    raw, _ = taken(wire.body(wire.Asked(wire.STATUS, 9), snap))
    assert descriptions.taken(json.loads(raw))["pairs"] == snap["pairs"]
    for sheet in descriptions.sheets(snap):
        assert all(cell.isprintable() for row in sheet.rows for cell in row)
    assert all(line.isprintable() for line in descriptions.head(snap))


def test_long_names_that_begin_alike_are_two() -> None:
    ids = ["x" * types.MAX_TEXT + end for end in "ab"]
    snap, _ = taken(look(core_of(ids), NONE, ABOUT, HOUR, 9))
    assert len({e["endpoint"] for e in snap["endpoints"]}) == 2
    assert all(len(e["endpoint"]) == types.MAX_TEXT for e in snap["endpoints"])


def test_an_answer_is_bounded_whatever_the_names() -> None:
    core = core_of([f"{k}".rjust(80, "\x01") for k in range(600)])
    for path in wire.KINDS:
        snap, _ = taken(look(core, NONE, ABOUT, HOUR, types.MAX_WORST))
        raw, _ = taken(wire.body(wire.Asked(path, types.MAX_WORST), snap))
        rows = raw.count(b'"own_failures"') + raw.count(b"granitewell_pair_ill{")
        assert len(raw) <= types.MAX_ANSWER and 100 < rows < len(snap["pairs"]) == 500
        assert path != wire.STATUS or json.loads(raw)["cut"]


@sets(derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_are_a_request_or_are_refused(raw: bytes, local: bool) -> None:
    for head in (raw, b"GET /status?" + raw + b" HTTP/1.1\r\nHost: localhost\r\n\r\n"):
        try:
            got = wire.asked(head, 50, local)
            assert got.path in wire.KINDS and 0 <= got.worst <= types.MAX_WORST
        except wire.RejectedQueryError as error:
            assert re.match(rb"HTTP/1\.1 4\d\d ", error.raw)


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("GET /status?worst=501 HTTP/1.1", 400), ("GET /status?worst=-1 HTTP/1.1", 400),
        ("GET /status?best=1 HTTP/1.1", 400), ("GET /status HTTP/2", 400), ("POST /status HTTP/1.1", 405),
        ("GET /statu HTTP/1.1", 404), ("GET /metrics HTTP/1.1\r\nHost: evil.example:80", 421),
        ("GET /metrics HTTP/1.1\r\nHost: localhost\r\nHost: localhost", 421),
        ("GET /metrics HTTP/1.1\r\nX: " + "y" * wire.MAX_HEAD, 431),
    ],
)  # fmt: skip
def test_what_is_refused(line: str, code: int) -> None:
    with pytest.raises(wire.RejectedQueryError) as caught:
        wire.asked(f"{line}\r\n\r\n".encode(), 50, "Host" in line)
    assert caught.value.raw.startswith(f"HTTP/1.1 {code} ".encode())


@pytest.mark.parametrize(
    ("at", "where"),
    [
        ("s.sock", "/tmp/s.sock"), ("/run/s", "/run/s"), ("./a:b/c", "/tmp/./a:b/c"), ("a:b", "/tmp/a:b"),
        ("127.0.0.1:9100", "127.0.0.1:9100"), ("0.0.0.0:9100", ""), ("localhost:9100", ""), (":9100", ""),
        ("[::1]:9100", ""), ("127.0.0.1:0", ""), ("127.0.0.1:70000", ""), ("127.0.0.1:99999999", ""),
        ("/run/", ""), ("..", ""), ("a\nb", ""), ("a\0b", ""), ("/" + "x" * 107, ""), ("/" + "x" * 106, None),
    ],
)  # fmt: skip
def test_where_a_status_may_be(at: str, where: str | None) -> None:
    made, problems = examine({"status": {"at": at}}, Operator)
    assert bool(problems) == (where == "") and (made is None) == bool(problems)
    if where == "":
        assert problems[0].field == "status.at" and "127.0.0.1:PORT" in problems[0].text()
    else:
        assert str(types.place(at, "/tmp/")) == (where or at)


def test_ends_of_the_command(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("LB_OPERATOR", raising=False)
    (tmp_path / "off.toml").write_text("")
    off, gone = str(tmp_path / "off.toml"), str(tmp_path / "gone")
    for args, code in (
        ([], 2), (["--at", "0.0.0.0:1"], 2), (["--operator", gone], 2), (["--operator", off], 2),
        (["--at", gone, "--worst", "501"], 2), (["--at", gone, "--watch", "0"], 2), (["--at", gone], 3),
    ):  # fmt: skip
        assert run(["node", "status", *args]) == code, args
        assert capsys.readouterr().err.count("\n") == 1


OK = b"HTTP/1.1 200 OK\r\n\r\n"


@pytest.mark.parametrize(
    "said",
    [
        b"",
        OK + b"{}",
        b"\0" * 100,
        b"HTTP/1.1 500 x\r\n\r\n\x1b",
        OK + json.dumps(dict.fromkeys(types.Snapshot.__annotations__, 1)).encode(),
        OK + b"[" * 100_000,
    ],
    ids=["nothing", "other", "zeros", "error", "kinds", "nested"],
)
def test_somebody_who_is_no_node(said: bytes, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = str(tmp_path / "s")
    with socket.socket(socket.AF_UNIX) as server:
        server.bind(path)
        server.listen(1)

        def answer() -> None:
            sock, _ = server.accept()
            with closing(sock):
                sock.recv(4096)
                sock.sendall(said)

        threading.Thread(target=answer, daemon=True).start()
        assert run(["node", "status", "--at", path]) == 3
    error = capsys.readouterr().err
    assert error.count("\n") == 1 and path in error and error.strip().isprintable()


# --- The page -------------------------------------------------------------------------------------------
def test_the_page_has_every_field_and_every_metric() -> None:
    for family in metrics.FAMILIES:
        assert f"| `{metrics.PREFIX}{family.name}` |" in PAGE, family.name
    snap, _ = taken(look(core_of(["a"], 1), NONE, ABOUT, HOUR, 9))
    for field in _fields(snap, ""):
        assert f"| `{field}` |" in PAGE, field


def _fields(value: Any, path: str) -> Iterator[str]:
    if isinstance(value, list) and value:
        yield from _fields(value[0], f"{path}[]")
    elif isinstance(value, dict) and path not in ("counters", "held.classes[].ages"):
        for key, item in value.items():
            yield from _fields(item, f"{path}.{key}".lstrip("."))
    else:
        yield path
