"""The status of a running node: its contents, the bounds on its cost, and which requests are accepted."""

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
from granitewell.net import status as status_server
from granitewell.net.loop import Node
from granitewell.operator.registry import OperatorFile
from granitewell.operator.table import validate
from granitewell.status import descriptions, metrics, types, wire
from granitewell.status.snapshot import ITEMS_PER_STEP, Steps, T, take_snapshot
from tests.exchange_player import LIMIT_S
from tests.test_config import write
from tests.test_operator import NodeWithOperatorFile

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "operate" / "status.md").read_text()
HOUR_US = 3_600_000_000
CLASS_NAMES = "taxi-lookup", "ride-assign"


# --- A running node -------------------------------------------------------------------------------------
@contextmanager
def started(
    folder: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], table: str, fleet: str
) -> Iterator[tuple[NodeWithOperatorFile, str]]:
    """Run a node with this operator file; yield it with the path that `at = "s"` means."""
    monkeypatch.setenv("TMPDIR", str(folder))
    node = NodeWithOperatorFile(folder, monkeypatch, capfd)
    node.path.write_text(table)
    try:
        node.player.step_start(fleet, b"")
        yield node, f"{folder}/s"
    finally:
        node.player.close()


def send_request(path: str, target: str = "/status", raw: bytes | None = None) -> socket.socket:
    """Open a connection and send a request, or these bytes."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(LIMIT_S)
    sock.connect(path)
    sock.sendall(f"GET {target} HTTP/1.1\r\nHost: n\r\n\r\n".encode() if raw is None else raw)
    return sock


def read_response(sock: socket.socket) -> tuple[int, bytes]:
    """Read to the end; return the announced length of the body, and the body received."""
    raw = b""
    with closing(sock):
        while more := sock.recv(65536):
            raw += more
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(re.search(rb"Content-Length: (\d+)", head)[1]) if head else 0, body  # type: ignore[index]


def status(path: str, **query: int) -> Any:
    promised, body = read_response(
        send_request(path, "/status?" + "&".join(f"{k}={v}" for k, v in query.items()))
    )
    assert len(body) == promised
    return json.loads(body)


class FakeEndpoints:
    """Endpoints that answer after 40 ms, but never the requests that `hang` names."""

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
        """Send one client's requests, one after the other."""
        with socket.create_connection(address, LIMIT_S) as sock, suppress(ConnectionError):
            k = 0
            while not self.over.is_set():
                k += 1
                sock.sendall(b"%s HTTP/1.1\r\nHost: n\r\nRequest-Id: %s-%d\r\nRequest-Timeout-Ms: 2000\r\n"
                             b"Content-Length: 0\r\n\r\n" % (line, name.encode(), k))  # fmt: skip
                if not sock.recv(4096):
                    return


def test_a_class_that_hangs_at_one_endpoint_is_the_one_unhealthy_pair(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    with started(tmp_path, monkeypatch, capfd, "[status]\nat='s'", "a=ready b=ready c=ready") as (node, path):
        at = ["node", "status", "--at", path]
        assert run([*at, "--json"]) == 0
        assert json.loads(capfd.readouterr().out)["judged"] == {"pairs": 6, "ill": 0}
        fake_endpoints = FakeEndpoints(node.player.servers, ("b", b"/taxi-lookup"))
        try:
            for k, line in enumerate([b"GET /taxi-lookup"] * 12 + [b"POST /ride-assign"] * 4):
                args = node.player.address, line, f"c{k}"
                threading.Thread(target=fake_endpoints.ask, args=args, daemon=True).start()
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
            fake_endpoints.over.set()


def test_sighup_opens_moves_and_closes_the_status_socket(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    path, other = tmp_path / "s", tmp_path / "t"
    with started(tmp_path, monkeypatch, capfd, "", "a=ready") as (node, _):
        assert not path.exists()
        node.reload_with("[status]\nat = 's'\nconnections = 2")
        assert f"the status is at {path}" in node.wait_for_log(
            "taken from the operator file: status.at, status.con"
        )
        assert path.stat().st_mode & 0o777 == 0o600
        assert status(str(path))["phase"] == "ready"
        other.write_text("mine")
        node.reload_with(f"[status]\nat = '{other}'")
        assert "something that is no socket stands there" in node.wait_for_log("taken from")
        assert other.read_text() == "mine" and not path.exists()
        other.unlink()  # the path in the file is free now
        node.reload_with(f"[status]\nat = '{other}'\nconnections = 1")
        assert "the status is at" in node.wait_for_log("taken from")
        assert status(str(other), worst=0)["pairs"] == []
        node.reload_with("")
        assert "the status is served no longer" in node.wait_for_log("taken from")
        assert not other.exists()
        node.reload_with("[status]\nat = 's'")
        node.wait_for_log("taken from")
        assert node.player.program is not None
        node.player.program.terminate()
        assert node.player.program.wait(LIMIT_S) == 0 and not path.exists()


def test_discovery_times_and_a_socket_path_replaced_by_a_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    with started(tmp_path, monkeypatch, capfd, "[status]\nat = 's'", "a=ready") as (node, path):
        node.player.step_discovery("says", b"garbage")
        discovery = status(path)["discovery"]
        # the agent answers the next call with the same list: an answer, but no change
        assert discovery["news_s"] >= discovery["failed_s"] >= 0
        assert discovery["news_s"] >= discovery["heard_s"] >= 0
        assert "Expecting value" in discovery["failure"]
        os.unlink(path)
        Path(path).write_text("mine")
        node.reload_with("")
        node.wait_for_log("taken from")
        assert Path(path).read_text() == "mine"


def test_clients_that_do_not_send_or_read_are_disconnected_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    table = "[status]\nat='s'\nseconds=0.5\nconnections=4"
    with started(tmp_path, monkeypatch, capfd, table, "a=ready") as (node, path):
        one = node.player.endpoint_entries("a=ready")[0]
        node.player.agent.publish(True, [one, *({**one, "id": f"{k}".rjust(90, "x")} for k in range(1000))])
        slow_clients = [
            send_request(path, "/status?worst=500"),
            *(send_request(path, raw=b"x" * n) for n in (0, 10, 10_000)),
        ]
        fds = f"/proc/{node.player.program.pid}/fd"  # type: ignore[union-attr]
        assert len(status(path, worst=3)["endpoints"]) == 3  # accepted once another connection has timed out
        node.player.until_ready()
        promised, body = read_response(slow_clients[0])
        assert (
            200_000 < len(body) < promised
        )  # more than a socket's buffer, but incomplete: the node did not wait
        assert [read_response(sock)[1][:8] for sock in slow_clients[1:]] == [b"", b"", b"the head"]
        before = len(os.listdir(fds))
        for sock in [send_request(path) for _ in range(12)]:
            assert read_response(sock)[1].endswith(b"}\n")
        assert len(os.listdir(fds)) <= before + 4


def test_only_a_stale_socket_of_the_same_user_is_replaced(tmp_path: Path) -> None:
    path = str(tmp_path / "s")

    def bound(at: str = path) -> socket.socket:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        status_server.bind_path(sock, at)
        return sock

    bound().close()
    with bound() as first, socket.socket(socket.AF_UNIX) as asker:
        first.listen(0)
        asker.connect(path)  # its backlog is full now, but it is still listening
        with pytest.raises(OSError, match="somebody listens"):
            bound()
    Path(f"{path}0").mkdir()
    os.mkfifo(f"{path}1")
    os.symlink(path, f"{path}2")
    for at in (f"{path}{n}" for n in range(3)):
        with pytest.raises(OSError, match="no socket"):
            bound(at)
        assert os.path.lexists(at)


def test_responses_come_from_one_snapshot_during_the_rest(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    config, snapshots = load(write(tmp_path)), []

    def counted(*args: Any) -> Steps[types.Snapshot]:
        snapshots.append(1)
        return take_snapshot(*args)

    async def scenario() -> list[int]:
        loop = asyncio.get_running_loop()
        server = status_server.StatusServer(
            Node(config, c.Core(config.settings, Balancer(config.settings, 1), 9), loop)
        )
        seen = []
        for n in (5, 5, *range(20)):
            assert f'"worst":{n},'.encode() in await server._answer(wire.StatusRequest(wire.STATUS_PATH, n))
            seen.append(len(snapshots))
        assert server._rest_until_us - server._snapshot_done_us == status_server.MAX_REST_US
        server._settings = types.StatusSettings(seconds=0.2)  # waiting requests must have time left
        await server._answer(wire.StatusRequest(wire.STATUS_PATH, 20))
        assert server._rest_until_us - server._snapshot_done_us == 100_000
        return seen

    monkeypatch.setattr(status_server, "take_snapshot", counted)
    monkeypatch.setattr(status_server, "REST_RATIO", 10**9)
    assert asyncio.run(scenario()) == [1] * 10 + [2] * 8 + [3] * 4


# --- Without sockets ------------------------------------------------------------------------------------
NODE_INFO = types.NodeInfo("n0", CLASS_NAMES, ("z0", "z1"), ("k0",), HOUR_US, 0)
NO_SOCKETS = types.SocketUsage({}, 0, 0, 0, 0, 0, 32, ("127.0.0.1", 1), -1, -1, -1, "")


def core_of(ids: list[str], requests: int = 0) -> c.Core:
    classes = tuple(RequestClass(500.0, 60_000.0, effect) for effect in (Effect.SAFE, Effect.UNSAFE))
    made = Settings(classes, 3, 5, 1000.0, 0.12, 23_000.0, 3.0, 1000.0, parallel_tries=True)
    core = c.Core(made, Balancer(made, 7), 20_000)
    core.handle(HOUR_US, c.Listening())
    core.handle(HOUR_US, c.EndpointListUpdate(View.FULL, tuple(
        c.DiscoveredEndpoint(x.encode(), ("10.0.0.1", 9), k % 2, 0, 0, State.READY, 1.0, 0)
        for k, x in enumerate(ids)
    )))  # fmt: skip
    for k in range(requests):
        core.handle(HOUR_US + k, c.RequestReceived(k, k % 2, 0, 0, 60_000_000, None))
    return core


def mark_unhealthy(core: c.Core, n: int, k: int, share: float) -> None:
    """Mark a pair as unhealthy since 2 s ago."""
    pair = core._balancer._ready_hosts[n].class_health[k]  # type: ignore[attr-defined]
    pair.failure_ratio, pair.failure_ratio_at_ms, pair.unhealthy_since_ms = (
        share,
        HOUR_US / 1000,
        HOUR_US / 1000 - 2000,
    )


def state_digest(core: c.Core) -> str:
    """Return a digest of the state that a snapshot must not change."""
    balancer: Any = core._balancer
    pairs = [
        [getattr(pair, x) for x in pair.__slots__] for s in balancer._ready_hosts for pair in s.class_health
    ]
    found = repr([vars(core), vars(balancer), balancer._rng.getstate(), pairs])
    return sha256(found.encode()).hexdigest()  # a difference in megabytes would take minutes to show


def run_steps(steps: Steps[T]) -> tuple[T, int]:
    """Run a generator to its end; return the result and the number of steps."""
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
        mark_unhealthy(core, 7 * n, n % 2, 0.4 + n / 2000)
    before = state_digest(core)
    snap, steps = run_steps(take_snapshot(core, NO_SOCKETS, NODE_INFO, HOUR_US + 250_000, 50))
    assert steps >= (12_000 + 12_000 + 5000 + 5000) / ITEMS_PER_STEP
    assert state_digest(core) == before
    assert snap["judged"] == {"pairs": 24_000, "ill": 700} and snap["fleet"]["ready"] == 12_000
    assert [(p["endpoint"], p["state"]) for p in snap["pairs"]] == [
        (f"e{7 * n:05}", "ill") for n in range(699, 649, -1)
    ]  # fmt: skip
    assert snap["pairs"][0]["since_s"] == 2.25 and [e["ill"] for e in snap["endpoints"]] == [1] * 50
    assert [(h["total"], h["ages"]["1000"]) for h in snap["held"]["classes"]] == [(2500, 2500)] * 2
    assert snap["calls"]["total"] == 5000 and sum(x["calls"] for x in snap["endpoints"]) <= 5000


def test_a_snapshot_completes_while_the_fleet_and_the_calls_change() -> None:
    core = core_of([f"e{k}" for k in range(1000)], 1000)
    steps, n, state = take_snapshot(core, NO_SOCKETS, NODE_INFO, HOUR_US, 500), 0, State.READY
    with pytest.raises(StopIteration) as done:
        for n in range(10_000):
            next(steps)
            state = State.DRAINING if state is State.READY else State.READY
            news = tuple(
                c.DiscoveredEndpoint(b"n%d" % (n + k), ("h", k), 0, 0, 0, state, 1.0, 0) for k in range(50)
            )
            core.handle(HOUR_US + n, c.EndpointListUpdate(View.FULL if n % 2 else View.DELTA, news))
            core.handle(HOUR_US + n, c.DownstreamClosed(n))
            core.handle(HOUR_US + n, c.RequestReceived(10_000 + n, 0, 0, 0, 1000, None))
    assert n > 20 and done.value.value["fleet"]["gone"] > 500


def test_an_overloaded_fleet_is_not_unhealthy_and_a_zone_is_named_as_cause() -> None:
    core = core_of(["a", "b", "c"])
    mark_unhealthy(core, 0, 0, 0.9)
    mark_unhealthy(core, 1, 1, 0.99)
    health = core._balancer._health  # type: ignore[attr-defined]
    health.fleet_overloaded[1] = True
    health._zone_failure_ratios[0] = 0.95, HOUR_US / 1000
    snap, _ = run_steps(take_snapshot(core, NO_SOCKETS, NODE_INFO, HOUR_US, 6))
    states = {(p["endpoint"], p["class"]): (p["state"], p["cause"]) for p in snap["pairs"]}
    assert states["a", "taxi-lookup"] == ("ill", "zone") and states["b", "ride-assign"] == ("full", "well")
    assert [p["state"] for p in snap["pairs"]] == ["ill", "full", *["well"] * 4]
    assert not descriptions.is_healthy(snap) and "the fleet is full for ride-assign" in "".join(
        descriptions.summary_lines(snap)
    )


ANY_TEXT = st.text(st.characters(exclude_categories=()), max_size=120)  # lone surrogates too


UNESCAPED = {"\\\\": "\\", '\\"': '"', "\\n": "\n"}


def parsed(text: str) -> dict[tuple[str, frozenset[tuple[str, str]]], float]:
    """Parse samples of the text exposition format 0.0.4; an AssertionError shows an invalid line."""
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
                frozenset((k, re.sub(r"\\.", lambda m: UNESCAPED[str(m[0])], v)) for k, v in labels),
            )
            assert key not in found, line
            found[key] = float(match[3])
    return found


@sets(derandomize=True, deadline=None, database=None, max_examples=60)
@given(st.lists(ANY_TEXT, min_size=1, max_size=4, unique=True), ANY_TEXT)
def test_metrics_and_json_encode_any_name(names: list[str], name: str) -> None:
    ids = sorted({x.encode(errors="replace").decode() for x in names})
    about = types.NodeInfo(name, (name[:90], "b"), (name,), (name,), HOUR_US, 0)
    snap, _ = run_steps(take_snapshot(core_of(ids, 3), NO_SOCKETS, about, HOUR_US, 9))
    got = parsed(run_steps(wire.response_body(wire.StatusRequest(wire.METRICS_PATH, 9), snap))[0].decode())
    rows = {dict(key[1])["endpoint"]: v for key, v in got.items() if key[0] == "granitewell_endpoint_calls"}
    assert len(rows) == len(ids) and {x for x in ids if len(x) <= types.MAX_NAME_CHARS} <= {*rows}
    assert sum(rows.values()) == sum(e["calls"] for e in snap["endpoints"])
    raw, _ = run_steps(wire.response_body(wire.StatusRequest(wire.STATUS_PATH, 9), snap))
    assert descriptions.parse_snapshot(json.loads(raw))["pairs"] == snap["pairs"]
    for sheet in descriptions.tables(snap):
        assert all(cell.isprintable() for row in sheet.rows for cell in row)
    assert all(line.isprintable() for line in descriptions.summary_lines(snap))


def test_long_names_with_the_same_start_stay_distinct() -> None:
    ids = ["x" * types.MAX_NAME_CHARS + end for end in "ab"]
    snap, _ = run_steps(take_snapshot(core_of(ids), NO_SOCKETS, NODE_INFO, HOUR_US, 9))
    assert len({e["endpoint"] for e in snap["endpoints"]}) == 2
    assert all(len(e["endpoint"]) == types.MAX_NAME_CHARS for e in snap["endpoints"])


def test_responses_are_bounded_whatever_the_names() -> None:
    core = core_of([f"{k}".rjust(80, "\x01") for k in range(600)])
    for path in wire.CONTENT_TYPES:
        snap, _ = run_steps(take_snapshot(core, NO_SOCKETS, NODE_INFO, HOUR_US, types.MAX_TABLE_ROWS))
        raw, _ = run_steps(wire.response_body(wire.StatusRequest(path, types.MAX_TABLE_ROWS), snap))
        rows = raw.count(b'"own_failures"') + raw.count(b"granitewell_pair_ill{")
        assert len(raw) <= types.MAX_RESPONSE_BYTES and 100 < rows < len(snap["pairs"]) == 500
        assert path != wire.STATUS_PATH or json.loads(raw)["cut"]


@sets(derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_are_a_request_or_are_rejected(raw: bytes, local: bool) -> None:
    for head in (raw, b"GET /status?" + raw + b" HTTP/1.1\r\nHost: localhost\r\n\r\n"):
        try:
            got = wire.parse_request(head, 50, local)
            assert got.path in wire.CONTENT_TYPES and 0 <= got.worst <= types.MAX_TABLE_ROWS
        except wire.RejectedQueryError as error:
            assert re.match(rb"HTTP/1\.1 4\d\d ", error.response)


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("GET /status?worst=501 HTTP/1.1", 400), ("GET /status?worst=-1 HTTP/1.1", 400),
        ("GET /status?best=1 HTTP/1.1", 400), ("GET /status HTTP/2", 400), ("POST /status HTTP/1.1", 405),
        ("GET /statu HTTP/1.1", 404), ("GET /metrics HTTP/1.1\r\nHost: evil.example:80", 421),
        ("GET /metrics HTTP/1.1\r\nHost: localhost\r\nHost: localhost", 421),
        ("GET /metrics HTTP/1.1\r\nX: " + "y" * wire.MAX_HEAD_BYTES, 431),
    ],
)  # fmt: skip
def test_invalid_requests_get_their_status_code(line: str, code: int) -> None:
    with pytest.raises(wire.RejectedQueryError) as caught:
        wire.parse_request(f"{line}\r\n\r\n".encode(), 50, "Host" in line)
    assert caught.value.response.startswith(f"HTTP/1.1 {code} ".encode())


@pytest.mark.parametrize(
    ("at", "where"),
    [
        ("s.sock", "/tmp/s.sock"), ("/run/s", "/run/s"), ("./a:b/c", "/tmp/./a:b/c"), ("a:b", "/tmp/a:b"),
        ("127.0.0.1:9100", "127.0.0.1:9100"), ("0.0.0.0:9100", ""), ("localhost:9100", ""), (":9100", ""),
        ("[::1]:9100", ""), ("127.0.0.1:0", ""), ("127.0.0.1:70000", ""), ("127.0.0.1:99999999", ""),
        ("/run/", ""), ("..", ""), ("a\nb", ""), ("a\0b", ""), ("/" + "x" * 107, ""), ("/" + "x" * 106, None),
    ],
)  # fmt: skip
def test_which_status_addresses_are_valid(at: str, where: str | None) -> None:
    made, problems = validate({"status": {"at": at}}, OperatorFile)
    assert bool(problems) == (where == "") and (made is None) == bool(problems)
    if where == "":
        assert problems[0].field == "status.at" and "127.0.0.1:PORT" in problems[0].text()
    else:
        assert str(types.parse_status_address(at, "/tmp/")) == (where or at)


def test_exit_codes_of_the_status_command(
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
def test_an_invalid_response_ends_the_command_with_one_line(
    said: bytes, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
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
        assert f"| `{metrics.METRIC_PREFIX}{family.name}` |" in PAGE, family.name
    snap, _ = run_steps(take_snapshot(core_of(["a"], 1), NO_SOCKETS, NODE_INFO, HOUR_US, 9))
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
