"""The model on loopback sockets: real node processes among stand-ins that misbehave, and nodes that do.

Short days of `small_day`. No test looks at how long something took: what is looked at is what the recordings,
the judge and the process table say.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from granitewell.lab import day as d
from granitewell.lab.loopback import spoil
from granitewell.lab.loopback.director import Options
from granitewell.lab.loopback.plan import SocksError, share_out
from granitewell.lab.loopback.platform_http import AnswerParser, filler, reply_bytes
from granitewell.lab.loopback.play import play_on_sockets
from granitewell.lab.loopback.wire import Listener
from granitewell.lab.recording import read
from tests.lab.test_simulation_digest import small_day

ROOT = Path(__file__).resolve().parents[2]
TIMED = frozenset({"answer", "after", "drain"})  # rules that a node without a core can't keep
LIMIT_S = 30.0  # for any one thing to happen; only a failing test waits so long
FAST = Options(rough=0.2, rude=3)
HANG = (("effect", "hang"), ("classes", "assign"), ("share", 0.2))
SPOILT = (("effect", "spoilt"), ("share", 0.3))
FAULTS = (
    d.Fault(200_000, 3_000_000, "condition", "d0,d1", SPOILT),
    d.Fault(300_000, 2_500_000, "condition", "d2", HANG),
    d.Fault(400_000, 1_600_000, "node_kill", "n1"),
    d.Fault(500_000, 1_800_000, "drain", "d3"),
    d.Fault(700_000, 5_600_000, "node_term", "n2"),
    d.Fault(900_000, -1, "discovery_moved", "discovery"),
    d.Fault(1_000_000, -1, "node_hup", "n0"),
    d.Fault(1_200_000, 2_200_000, "vanish", "d4"),
    d.Fault(1_500_000, 2_400_000, "restart", "d5"),
    d.Fault(2_300_000, 2_700_000, "cut", "d1"),
    d.Fault(2_500_000, 2_800_000, "node_stall", "n0"),
)


def seen(out: Path) -> list[Any]:
    return [line for path in sorted(out.glob("seen-*.jsonl")) for line in read(path)]


def of_run(out: Path) -> list[int]:
    """Ids of all processes that have this run's place in their command or environment."""
    found = []
    for entry in Path("/proc").glob("[0-9]*"):
        try:
            text = (entry / "cmdline").read_bytes() + (entry / "environ").read_bytes()
            alive = (entry / "stat").read_text().rpartition(")")[2].split()[0] != "Z"
        except OSError:
            continue
        if alive and str(out).encode() in text and int(entry.name) != os.getpid():
            found.append(int(entry.name))
    return found


def until(done: Any) -> None:
    end = time.monotonic() + LIMIT_S
    while not done():
        assert time.monotonic() < end, "it never came to that"
        time.sleep(0.02)


# --- Bytes ------------------------------------------------------------------------------------------------
def read_script(script: spoil.Script) -> AnswerParser:
    """What a strict reader has of a script's bytes, fed as they are written."""
    parser = AnswerParser()
    for step in script:
        if step.data and not parser.answer.whole:
            parser.feed(step.data)
    if script[-1].then in ("half", "close"):
        parser.end()
    return parser


@pytest.mark.parametrize("name", spoil.SPOILT)
def test_no_spoilt_answer_can_be_read_as_the_right_one(name: str) -> None:
    rid = "a1b2"
    try:
        answer = read_script(spoil.SPOILT[name](reply_bytes("ok", rid, {"queue": 1.0}))).answer
    except ValueError:
        return
    whole = answer.whole and answer.status == 200 and len(answer.body) <= 65536
    assert not whole or bytes(answer.body) != filler(rid, "answer")
    assert not whole or name == "status", f"{name} is another answer, not a spoilt one"


@pytest.mark.parametrize("name", spoil.ROUGH)
def test_every_rough_answer_is_the_right_one(name: str) -> None:
    rid, good = "a1b2", reply_bytes("ok", "a1b2", {"queue": 1.0})
    script = spoil.ROUGH[name](good)
    if name == "leftover":
        script = (replace(script[0], data=good),)  # who reads on behind it finds what is no HTTP
    answer = read_script(script).answer
    assert answer.whole and answer.status == 200
    assert bytes(answer.body) == filler(rid, "answer")


def test_bodies_reach_the_largest_size_and_differ() -> None:
    bodies = [filler(f"{k:x}", "answer") for k in range(4000)]
    assert max(map(len, bodies)) == 65536 and len(set(bodies)) == 4000


# --- Wires ------------------------------------------------------------------------------------------------
def test_a_mute_listener_lets_nothing_come_up_and_keeps_its_port() -> None:
    import asyncio

    async def go() -> None:
        loop = asyncio.get_running_loop()
        got: list[socket.socket] = []
        door = Listener(loop, "127.77.7.7", 0, got.append)
        try:
            for state, error in (("refuses", ConnectionRefusedError), ("mute", TimeoutError),
                                 ("refuses", ConnectionRefusedError), ("mute", TimeoutError)):  # fmt: skip
                door.set(state)
                with pytest.raises(error):
                    socket.create_connection(door.address, 0.2)
            door.set("open")
            with socket.create_connection(door.address, LIMIT_S):
                while not got:
                    await asyncio.sleep(0.001)
                got[0].close()
        finally:
            door.close()

    asyncio.run(go())


def test_endpoints_at_one_address_are_in_one_process() -> None:
    day = small_day()
    heirs = [replace(day.endpoints[k], id=f"h{k}", takes_over=day.endpoints[k].id) for k in range(5)]
    heirs.append(replace(day.endpoints[0], id="hh", takes_over="h3"))
    day = replace(day, endpoints=(*day.endpoints, *heirs))
    shares = share_out(day, 3)
    assert sorted(k for share in shares for k in share) == list(range(len(day.endpoints)))
    home = {day.endpoints[k].id: j for j, share in enumerate(shares) for k in share}
    assert all(home[e.id] == home[e.takes_over] for e in heirs) and len(set(home.values())) == 3


# --- Days -------------------------------------------------------------------------------------------------
@pytest.fixture(scope="module")
def troubled(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Any]:
    """A day in which almost everything that can happen happens to the real node.

    Where the machine was too busy to say whose fault a broken rule is, it is played again.
    """
    day = replace(small_day(length_us=3_500_000, rate=120.0), faults=FAULTS)
    for k in range(3):
        played = play_on_sockets(day, tmp_path_factory.mktemp("troubled") / f"out{k}", FAST)
        if played["report"]["kept"] or not played["busy"]:
            break
    return played


def test_the_node_keeps_all_rules_through_all_of_it(troubled: dict[str, Any]) -> None:
    excused = TIMED if troubled["busy"] else frozenset()
    assert not troubled["report"]["offences"].keys() - excused, "\n".join(troubled["lines"])
    assert not troubled["exits"] and troubled["report"]["open"] == 0
    assert troubled["report"]["totals"]["served"] > 150
    offences = [n for n in troubled["notes"] if not n.startswith("rude")]
    assert not offences, f"the node broke the protocol: {offences}"


def test_all_of_it_really_happened(troubled: dict[str, Any]) -> None:
    out = Path(troubled["out"])
    lines = seen(out)
    ends = Counter(x.args[2] for x in lines if x.method == "ended")
    assert ends["spoilt"] > 3 and ends["hung"] and ends["ok"] > 150
    downs = [x.args for x in lines if x.method == "node_down"]
    assert ("n1", True, -9) in downs and ("n2", True, 0) in downs
    ups = Counter(x.args[0] for x in lines if x.method == "endpoint_up")
    assert ups["d4"] == ups["d5"] == 2 and ups["d0"] == ups["d6"] == 1
    assert {x.args[0] for x in lines if x.method == "node_ready"} == {"n0", "n1", "n2"}
    told = Counter((x.args[0], x.args[2]) for x in lines if x.method == "told")
    assert told["n0", "draining"] and told["n0", "gone"]
    assert "discovery is now" in (out / "node-n0.log").read_text()
    assert len([n for n in troubled["notes"] if n.startswith("rude")]) > 3


def test_nothing_of_it_is_left(troubled: dict[str, Any]) -> None:
    assert of_run(Path(troubled["out"])) == []


def test_a_finished_run_stays(troubled: dict[str, Any]) -> None:
    before = {p.name: p.stat().st_mtime_ns for p in Path(troubled["out"]).iterdir()}
    with pytest.raises(SocksError, match="holds a finished run"):
        play_on_sockets(small_day(), Path(troubled["out"]))
    assert before == {p.name: p.stat().st_mtime_ns for p in Path(troubled["out"]).iterdir()}


BAD_NODE = '''
"""A node that works, but for its vices by its name: n0 loses some and ends by itself, n1 sends what is unsafe
twice, n2 changes bodies of answers and now and then of requests."""
import asyncio, itertools, json, os, sys

name = os.environ["LB_NAME"]
config = json.load(open(os.environ["LB_CONFIG"]))
members = [m["host_port"] for m in config["known"]["members"]]
turn = itertools.count(1)

async def message(reader):
    head = await reader.readuntil(b"\\r\\n\\r\\n")
    size = [int(x.split(b":")[1]) for x in head.split(b"\\r\\n") if x.lower().startswith(b"content-length")]
    return head, await reader.readexactly(size[0] if size else 0)

async def call(data):
    host, port = members[next(turn) % len(members)].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        return await message(reader)
    finally:
        writer.close()

async def serve(reader, writer):
    try:
        while True:
            head, body = await message(reader)
            if b"/-/ready" in head:
                writer.write(b"HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n")
                continue
            n = next(turn)
            if name == "n0" and n > 60:
                os._exit(7)
            if name == "n0" and n % 7 == 0:
                break
            if name == "n2" and n % 9 == 0 and body:
                body = body[:-1] + bytes([body[-1] ^ 1])
            answer, made = await call(head + body)
            if name == "n1" and head.startswith(b"POST"):
                answer, made = await call(head + body)
            if name == "n2" and n % 5 == 0 and made:
                made = made[:-1] + bytes([made[-1] ^ 1])
            writer.write(answer + made)
    except (OSError, EOFError):
        pass
    writer.close()

async def main():
    host, port = os.environ["LB_LISTEN"].split(":")
    async with await asyncio.start_server(serve, host, int(port)) as server:
        await server.serve_forever()

asyncio.run(main())
'''


def test_nodes_with_vices_are_caught(tmp_path: Path) -> None:
    program = tmp_path / "bad_node.py"
    program.write_text(BAD_NODE)
    day = replace(small_day(length_us=2_000_000, rate=120.0), faults=())
    played = play_on_sockets(day, tmp_path / "out", Options(program=(sys.executable, str(program))))
    offences = played["report"]["offences"]
    assert {"lost", "unsafe", "body", "crash"} <= offences.keys()
    assert played["exits"] == {"n0": [7]} and played["notes"]["altered body"]
    broken = {(o["rule"], o["node"]) for o in played["report"]["broken"]}
    assert broken <= {("lost", "n0"), ("crash", "n0"), ("unsafe", "n1"), ("body", "n2")}, broken


# --- Means ------------------------------------------------------------------------------------------------
def test_a_node_that_does_not_start_is_named_with_its_last_words(tmp_path: Path) -> None:
    words = "import sys; sys.exit('no listener today')"
    options = Options(program=(sys.executable, "-c", words))
    with pytest.raises(SocksError, match=r"node n\d ended with code 1 before it was ready: no listener"):
        play_on_sockets(small_day(), tmp_path / "out", options)
    assert of_run(tmp_path / "out") == []


def cli(*args: str, limit: str = "") -> subprocess.Popen[str]:
    """The command line; limit: what a shell sets first."""
    shell = f'{limit} exec {sys.executable} -m granitewell.cli.main "$@"'
    return subprocess.Popen(
        ["bash", "-c", shell, "granitewell", "lab", *args], cwd=ROOT, text=True, stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )  # fmt: skip


def ended(program: subprocess.Popen[str]) -> tuple[int, str]:
    _, errors = program.communicate(timeout=LIMIT_S)
    return program.returncode, errors


@pytest.fixture
def standing(tmp_path: Path) -> Iterator[tuple[subprocess.Popen[str], dict[str, Any], Path]]:
    """`lab up` that stands."""
    out = tmp_path / "out"
    program = cli("up", "calm", "--nodes", "2", "--endpoints", "3", "--json", "--out", str(out))
    try:
        assert program.stdout is not None
        line = program.stdout.readline()
        assert line, program.communicate()[1]
        yield program, json.loads(line), out
    finally:
        program.kill()
        program.communicate()


def test_up_stands_serves_and_leaves_nothing_on_ctrl_c(standing: Any) -> None:
    program, addresses, out = standing
    assert len(addresses["nodes"]) == 2 and len(addresses["endpoints"]) == 3
    host, port = addresses["nodes"][1]["address"].split(":")
    with socket.create_connection((host, int(port)), LIMIT_S) as sock:
        sock.sendall(b"GET /taxi-lookup/r1?work_us=500&tenant=0&key=0 HTTP/1.1\r\nHost: n\r\n"
                     b"Request-Id: r1\r\nRequest-Timeout-Ms: 2000\r\n\r\n")  # fmt: skip
        parser = AnswerParser()
        while not parser.feed(sock.recv(65536)):
            pass
    assert bytes(parser.answer.body) == filler("r1", "answer")
    os.kill(addresses["nodes"][0]["pid"], signal.SIGSTOP)  # one that can't act on any signal but the last
    assert len(of_run(out)) >= 4
    program.send_signal(signal.SIGINT)
    assert ended(program) == (0, "")
    assert of_run(out) == []


def test_nothing_is_left_where_the_director_is_killed(standing: Any) -> None:
    program, _, out = standing
    program.kill()
    until(lambda: not of_run(out))


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_a_run_that_is_interrupted_leaves_nothing(number: int, tmp_path: Path) -> None:
    out = tmp_path / "out"
    program = cli("demo", "--seconds", "20", "--out", str(out))
    until(lambda: program.poll() is not None or (out / "seen-clients.jsonl").exists())
    until(lambda: program.poll() is not None or (out / "seen-clients.jsonl").stat().st_size > 10_000)
    program.send_signal(number)
    assert ended(program) == (130, "")
    assert of_run(out) == []


def test_a_port_in_use_is_exit_3(tmp_path: Path) -> None:
    with socket.create_server(("127.201.0.2", 0)) as taken:
        port = taken.getsockname()[1]
        args = ("calm", "--nodes", "2", "--endpoints", "3", "--base", "201", "--port", str(port))
        code, errors = ended(cli("up", *args, "--out", str(tmp_path / "out")))
    assert code == 3 and errors.count("\n") == 1
    assert f"127.201.0.2:{port}: Address already in use" in errors


def test_a_full_disk_is_exit_3_and_what_is_finished_stays(tmp_path: Path) -> None:
    out = tmp_path / "out"
    code, errors = ended(cli("demo", "--seconds", "5", "--out", str(out), limit="ulimit -f 64;"))
    assert code == 3 and errors.count("\n") == 1 and "File too large" in errors
    assert of_run(out) == [] and not (out / "played.json").exists()
    assert json.loads((out / "day.json").read_text())
    assert len(list(read(out / "seen-endpoints-0.jsonl"))) > 100
