"""Bad input on each door: malformed, cut at every byte, oversized, endless, one byte at a time.

Traffic gets its 4xx or a close, files a line that names file and field; memory stays within a figure.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import threading
import tracemalloc
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest

from granitewell import core as c
from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import Outcome, State, View
from granitewell.config import ConfigError, load
from granitewell.lab import capture, day_json, recording
from granitewell.lab.experiments import plan
from granitewell.lab.experiments.store import Kept, Store, StoreError
from granitewell.lab.scenario import ScenarioError, draw
from granitewell.lab.scenario import load as scenario_file
from granitewell.net.console import CallParser, RejectedCommandError
from granitewell.net.http1 import (
    Ask,
    Bad,
    FleetReader,
    InboundParser,
    Names,
    ReadyAsk,
    ResponseParser,
    outcome,
    report,
)
from granitewell.net.loop import Node
from granitewell.operator.load import InvalidOperatorFileError
from granitewell.operator.load import load as of
from granitewell.operator.registry import Operator
from granitewell.status import wire
from tests.shell import client_of, played, turns, until
from tests.test_config import write

ROOT = Path(__file__).resolve().parents[1]

PIECE = 8192
MAX_FED = 400_000  # bytes that a parser may take of something endless before it says no
MAX_HELD = 600_000  # and what may be held of it meanwhile
ASK = b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 2000\r\n%s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def endless(feed: Callable[[bytes], object], pieces: Iterator[bytes]) -> int:
    """Feed it until `feed` says that it is enough; how many bytes that took."""
    fed = 0
    tracemalloc.start()
    try:
        for piece in pieces:
            fed += len(piece)
            if feed(piece) or fed > MAX_FED:
                break
        assert tracemalloc.get_traced_memory()[1] < MAX_HELD
    finally:
        tracemalloc.stop()
    return fed


def ever(head: bytes, more: bytes) -> Iterator[bytes]:
    yield head
    while True:
        yield more


ENDLESS = {
    "one trailer": (b"1\r\nx\r\n0\r\nX: ", b"y" * PIECE),
    "many trailers": (b"1\r\nx\r\n0\r\n", b"".join(b"X%d: y\r\n" % k for k in range(900))),
    "a chunk's extension": (b"1;", b"e" * PIECE),
}


@pytest.mark.parametrize("what", ENDLESS)
def test_what_never_ends_behind_a_body_is_refused_from_clients(tmp_path: Path, what: str) -> None:
    """Only the body was counted: what stands between its chunks or behind it could grow without bound."""
    parser, (begin, more) = InboundParser(Names(load(write(tmp_path)))), ENDLESS[what]
    got: list[object] = []

    def feed(data: bytes) -> object:
        got.extend(parser.feed(data))
        return got

    fed = endless(feed, ever(ASK % CHUNKED + begin, more))
    assert [x.status for x in got if isinstance(x, Bad)] in ([431], [400]) and fed <= MAX_FED


@pytest.mark.parametrize("what", ENDLESS)
def test_and_from_endpoints_and_discovery(what: str) -> None:
    begin, more = ENDLESS[what]
    for most in (65536, 4 * 1024 * 1024):
        parser, said = ResponseParser(most), list[str]()

        def feed(data: bytes, parser: ResponseParser = parser, said: list[str] = said) -> object:
            try:
                return parser.feed(data)
            except ValueError as error:
                said.append(str(error))
                return said

        fed = endless(feed, ever(b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n" + begin, more))
        assert said and fed <= MAX_FED


@pytest.mark.parametrize("what", ENDLESS)
def test_and_from_operators(what: str) -> None:
    begin, more = ENDLESS[what]
    parser = CallParser()

    def feed(data: bytes) -> bool:
        try:
            return parser.feed(data)
        except RejectedCommandError:
            return True

    head = b"POST /dispatch-servers/disable HTTP/1.1\r\n" + CHUNKED + b"\r\n"
    assert endless(feed, ever(head + begin, more)) <= 40_000


TINY = b"2\r\nhi\r\n" * 30_000
MANY = b"".join(b"%x:\r\n" % k for k in range(0x100, 0xB00))


@pytest.mark.parametrize(("what", "most"), [
    ("body", 2), ("large body", 3), ("answer", 2), ("list", 2), ("head", 2), ("answer's head", 2),
])  # fmt: skip
def test_what_comes_in_tiny_pieces_takes_no_more_memory(tmp_path: Path, what: str, most: int) -> None:
    """Small chunks and short header lines are bounded by count, not only by bytes.

    A body in chunks of two bytes was held as so many objects, twenty times its size for each of some
    hundred clients, where budgets count bytes; and a head of short lines as so many headers.
    """
    parser: Any = InboundParser(Names(load(write(tmp_path))))
    raw = ASK % CHUNKED
    if what in ("answer", "list", "answer's head"):
        parser = ResponseParser(*[4 << 20] if what == "list" else [])
        raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    raw = raw[:-2] + MANY if "head" in what else raw + TINY * (2 if what == "large body" else 1)
    parser.feed(b"")
    gc.collect()
    tracemalloc.start()
    try:
        for at in range(0, len(raw), 8192):
            parser.feed(raw[at : at + 8192])
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert held < most * 65_536, held


def test_a_trailer_is_no_header(tmp_path: Path) -> None:
    """One named like a header took its place.

    A request was refused as one that came twice, or got another's key; and an endpoint's error that ended in
    Not-Started counted as one that never ran, which may be sent again.
    """
    parser = InboundParser(Names(load(write(tmp_path))))
    (ask,) = parser.feed(ASK % CHUNKED + b"1\r\nx\r\n0\r\nRequest-Id: r2\r\nAffinity-Key: 7\r\n\r\n")
    assert isinstance(ask, Ask) and ask.message.request_id == b"r1" and ask.key == 0
    answer = ResponseParser()
    assert answer.feed(b"HTTP/1.1 503 X\r\n" + CHUNKED + b"\r\n1\r\nx\r\n0\r\nNot-Started: 1\r\n\r\n")
    assert outcome(answer) is Outcome.ERROR


# --- Cut at every byte, on real sockets
# ------------------------------------------------------------------------
REQUESTS = [
    b"GET /taxi-lookup/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 2000\r\n\r\n",
    ASK % b"Content-Length: 5\r\n" + b"hello",
    ASK % CHUNKED + b"2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: 1\r\n\r\n",
    ASK % b"Expect: 100-continue\r\nContent-Length: 70000\r\n" + bytes(70_000),
]


@pytest.mark.parametrize("raw", REQUESTS, ids=["get", "body", "chunks", "large"])
def test_a_request_cut_at_any_byte_leaves_nothing_behind(tmp_path: Path, raw: bytes) -> None:
    """No call that stays, no byte of the budget, no task, and no request that is still owed an answer."""

    async def scenario(node: Node) -> None:
        agent = Answers(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        async with at_work(node, agent):
            head = raw.index(b"\r\n\r\n") + 4
            for cut in [*range(min(head + 60, len(raw))), *range(head + 60, len(raw), 7919)]:
                client = client_of(node)
                await asyncio.get_running_loop().sock_sendall(client, raw[:cut])
                if cut % 2:
                    await turns(5)
                client.close()
            await until(lambda: not node.clients.held and not node._calls and not node._core.pending_count)
            await until(lambda: not node._budget.kept and not node._budget.flows)
            balancer = node._core._balancer
            assert isinstance(balancer, Balancer) and not balancer._pending
            await until(lambda: not balancer._in_flight)
            await until(lambda: node.pool.held == sum(map(len, node.pool.idle.values())))
            assert len(node._tasks) == 0

    assert not [line for line in played(tmp_path, scenario) if line.startswith("fault")]


ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: 1\r\n\r\n",
    b"HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
]


@pytest.mark.parametrize("raw", ANSWERS, ids=["length", "chunks", "interim"])
def test_an_answer_cut_at_any_byte_is_served_whole_or_not_at_all(tmp_path: Path, raw: bytes) -> None:
    """And the request, which may have run, goes nowhere again."""

    async def scenario(node: Node) -> None:
        agent = Answers(raw)
        async with at_work(node, agent):
            for cut in range(len(raw) + 1):
                agent.raw, before, got = raw[:cut], agent.asked, b""
                while agent.asked == before:  # else it was turned away: so many have failed
                    got = await exchanged(node, ASK % b"Connection: close\r\nContent-Length: 0\r\n")
                whole = got.startswith(b"HTTP/1.1 200 ") and got.endswith(b"\r\n\r\nhello")
                assert whole == (cut == len(raw)) and (whole or got.startswith(b"HTTP/1.1 502 ")), (cut, got)
                assert agent.asked == before + 1
            assert not node._calls and not node._core.pending_count

    assert not [line for line in played(tmp_path, scenario) if line.startswith("fault")]


async def exchanged(node: Node, raw: bytes) -> bytes:
    """What a client gets for this on a connection of its own, until that ends."""
    client, loop, got = client_of(node), asyncio.get_running_loop(), b""
    await loop.sock_sendall(client, raw)
    while more := await loop.sock_recv(client, 4096):
        got += more
    client.close()
    return got


class Answers:
    """An endpoint that answers each request with these bytes and then ends the connection."""

    def __init__(self, raw: bytes) -> None:
        self.raw, self.asked = raw, 0

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.asked += 1
            if b"Content-Length: 70000" in head:
                await reader.readexactly(70_000)
            writer.write(self.raw)
            await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def at_work(node: Node, agent: Answers) -> AsyncIterator[None]:
    """The node with this one endpoint."""
    server = await asyncio.start_server(agent, "127.0.0.1", 0)
    try:
        address = server.sockets[0].getsockname()
        member = c.DiscoveredEndpoint(b"s-0", address, 0, 0, 0, State.READY, 1.0, 0)
        node.dispatch(c.EndpointListUpdate(View.FULL, (member,)))
        node.dispatch(c.Listening())
        yield
    finally:
        server.close()


def test_a_list_cut_at_any_byte_is_no_list(tmp_path: Path) -> None:
    entry = {"id": "s-1", "host_port": "10.1.0.18:9000", "phase": "ready", "up_since_ms": 5}
    body = json.dumps({"revision": 4, "complete": True, "members": [entry, entry]}).encode()
    reader = FleetReader(load(write(tmp_path)), lambda unix_us: unix_us)
    raw = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for cut in range(len(raw)):
        parser = ResponseParser(4 * 1024 * 1024)
        assert not parser.feed(raw[:cut]) and not parser.end()
    for cut in range(len(body)):
        with pytest.raises(ValueError):
            reader.read(body[:cut])
    assert not reader._starts


def test_an_operators_call_cut_at_any_byte_is_no_call() -> None:
    """A ban must not be taken from half an id."""
    raw = b"POST /dispatch-servers/disable HTTP/1.1\r\nContent-Length: 5\r\n\r\ns-abc"
    assert CallParser().feed(raw)
    assert not any(CallParser().feed(raw[:cut]) for cut in range(len(raw)))


# --- Anything at all ---------------------------------------------------------------------------------------
def spoilt(rng: Random, raw: bytes) -> bytes:
    """Some bytes changed, left out, doubled or put elsewhere."""
    data = bytearray(raw)
    for _ in range(rng.randrange(1, 6)):
        at = rng.randrange(len(data) + 1)
        what = rng.randrange(4)
        if what == 0:
            data[at:at] = rng.randbytes(rng.randrange(1, 9))
        elif what == 1:
            del data[at : at + rng.randrange(1, 9)]
        elif what == 2:
            data[at:at] = data[at : at + rng.randrange(1, 40)]
        elif data:
            data[at % len(data)] = rng.randrange(256)
    return bytes(data)


def test_spoilt_traffic_is_an_item_a_refusal_or_a_value_error(tmp_path: Path) -> None:
    rng, names = Random(7), Names(load(write(tmp_path)))
    for _ in range(6000):
        parser = InboundParser(names)
        data, step = spoilt(rng, rng.choice(REQUESTS)[:400]), rng.choice([1, 3, 50, 4096])
        for at in range(0, len(data), step):
            for item in parser.feed(data[at : at + step]):
                assert isinstance(item, Ask | Bad | ReadyAsk)
        answer = ResponseParser()
        with contextlib.suppress(ValueError):
            answer.feed(spoilt(rng, rng.choice(ANSWERS)))
            report(answer, ("failed_ps",))
            outcome(answer)
        call = CallParser()
        with contextlib.suppress(RejectedCommandError):
            call.feed(spoilt(rng, b"POST /dispatch-servers/enable HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-a"))
            call.endpoint()


def test_a_byte_at_a_time_is_the_same(tmp_path: Path) -> None:
    names = Names(load(write(tmp_path)))
    for raw in REQUESTS:
        whole, single = InboundParser(names), InboundParser(names)
        at_once = whole.feed(raw)
        one_by_one = [x for k in range(len(raw)) for x in single.feed(raw[k : k + 1])]
        assert len(at_once) == len(one_by_one) == 1
        assert isinstance(at_once[0], Ask) and isinstance(one_by_one[0], Ask)
        assert at_once[0].message.body == one_by_one[0].message.body


FILES: dict[str, tuple[str, Callable[[Path], object], type[Exception]]] = {
    "configuration": ("", lambda path: load({"LB_CONFIG": str(path)}), ConfigError),
    "operator file": (
        "deploy/operator-example.toml",
        lambda path: of(str(path), Operator),
        InvalidOperatorFileError,
    ),
    "scenario": ("granitewell/lab/scenarios/chaos.toml", lambda path: scenario_file(path), ScenarioError),
    "experiment": ("deploy/experiments/cold-share.toml", lambda path: plan.load(path), plan.PlanError),
    "day": ("", day_json.load_file, day_json.DayError),
    "trace": ("", lambda path: list(capture.read(path)), capture.TraceError),
    "results": ("", lambda path: list(Store(path.parent).all()), StoreError),
    "recording": ("", lambda path: list(recording.read(path)), recording.RecordingError),
}


@pytest.mark.parametrize("name", FILES)
def test_a_spoilt_file_is_taken_or_refused_with_its_name(tmp_path: Path, name: str) -> None:
    """Cut, with bytes changed, nested, empty.

    Never anything but the error of that file, in lines that name it.
    """
    source, reads, refused = FILES[name]
    path, rng = tmp_path / "file", Random(11)
    rows = 150
    if name == "results":
        path, rows = tmp_path / "runs.sqlite", 30
        store = Store(tmp_path, create=True)
        store.put(Kept("a", "calm", 1, "", 1.0, "x", "command", {"report": 1}))
        store.close()
        raw = path.read_bytes()
    elif name == "day":
        raw = day_json.dump(draw(scenario_file("calm"), 1, length_s=5.0)).encode()
    elif name == "trace":
        raw = b"at_us,class,tenant,key,zone\n5,a,b,0,z\n9,a,b,7,z\n"
    elif name == "configuration":
        raw = Path(write(tmp_path)["LB_CONFIG"]).read_bytes()
    elif name == "recording":
        raw = b'["node_up",5,"n0",0]\n["taken",6,"r1","n0"]\n["answered",9,"r1","n0","served",0,true]\n'
    else:
        raw = (ROOT / source).read_bytes()
    path.write_bytes(raw)
    reads(path)
    cuts = [raw[:k] for k in range(0, len(raw), max(len(raw) // rows, 1))]
    deep = [b"[" * 100_000, b"\x00" * 5000, b"\xff\xfe", b"a = " + b"[" * 5000, b"{" * 900, b"9" * 6000]
    for data in [b"", *cuts, *(spoilt(rng, raw) for _ in range(rows)), *deep]:
        path.write_bytes(data)
        try:
            reads(path)
        except refused as error:
            text = str(error)
            assert text and (str(path) in text or name == "configuration"), text


@pytest.mark.parametrize("name", ["configuration", "operator file", "scenario", "experiment", "day"])
def test_a_pipe_in_a_files_place_is_refused_with_its_name(tmp_path: Path, name: str) -> None:
    """It was waited for, without a word and without end."""
    _, reads, refused = FILES[name]
    path, told = tmp_path / "file", list[str]()
    os.mkfifo(path)

    def read() -> None:
        with pytest.raises(refused) as error:
            reads(path)
        told.append(str(error.value))

    reading = threading.Thread(target=read, daemon=True)
    reading.start()
    reading.join(20.0)
    assert told and (str(path) in told[0] or "LB_CONFIG" in told[0])


def test_spoilt_heads_at_the_status_door_get_an_answer_of_its_own() -> None:
    rng, good = Random(5), b"GET /status?worst=3 HTTP/1.1\r\nHost: localhost\r\nAccept: */*\r\n\r\n"
    for data in [good[:k] for k in range(len(good))] + [spoilt(rng, good) for _ in range(4000)]:
        try:
            assert isinstance(wire.asked(data, 10, rng.random() < 0.5), wire.Asked)
        except wire.RejectedQueryError as error:
            assert error.raw.startswith(b"HTTP/1.1 4")
