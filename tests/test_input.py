"""Invalid input at every entry: malformed, cut at every byte, oversized, endless, one byte at a time.

Traffic gets a 4xx answer or a close, files an error that names file and field; memory stays within a bound.
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
from granitewell.net.console import ConsoleRequestParser, RejectedCommandError
from granitewell.net.http1 import (
    EndpointListReader,
    HeaderNames,
    ReadinessRequest,
    RejectedRequest,
    Request,
    RequestParser,
    ResponseParser,
    outcome,
    report,
)
from granitewell.net.loop import Node
from granitewell.operator.load import InvalidOperatorFileError
from granitewell.operator.load import load as of
from granitewell.operator.registry import OperatorFile
from granitewell.status import wire
from tests.in_process_node import connect_client, let_tasks_run, run_with_node, wait_until
from tests.test_config import write

ROOT = Path(__file__).resolve().parents[1]

PIECE = 8192
MAX_FED = 400_000  # bytes of endless input that a parser may read before it rejects it
MAX_HELD = 600_000  # of memory meanwhile
ASK = b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 2000\r\n%s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def endless(feed: Callable[[bytes], object], pieces: Iterator[bytes]) -> int:
    """Feed pieces until `feed` returns true; return how many bytes that took."""
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
def test_endless_chunk_framing_and_trailers_of_clients_are_rejected(tmp_path: Path, what: str) -> None:
    """Guards against counting only the body: bytes between and after its chunks were not bounded."""
    parser, (begin, more) = RequestParser(HeaderNames(load(write(tmp_path)))), ENDLESS[what]
    got: list[object] = []

    def feed(data: bytes) -> object:
        got.extend(parser.feed(data))
        return got

    fed = endless(feed, ever(ASK % CHUNKED + begin, more))
    assert [x.status for x in got if isinstance(x, RejectedRequest)] in ([431], [400]) and fed <= MAX_FED


@pytest.mark.parametrize("what", ENDLESS)
def test_endless_chunk_framing_and_trailers_of_endpoints_and_discovery_are_rejected(what: str) -> None:
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
def test_endless_chunk_framing_and_trailers_of_operators_are_rejected(what: str) -> None:
    begin, more = ENDLESS[what]
    parser = ConsoleRequestParser()

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
def test_tiny_chunks_and_header_lines_take_no_extra_memory(tmp_path: Path, what: str, most: int) -> None:
    """Guards against bounding small chunks and short header lines by bytes only.

    A body in chunks of two bytes was stored as so many objects, twenty times its size for each of some
    hundred clients, while budgets count bytes; and a head of short lines as so many headers.
    """
    parser: Any = RequestParser(HeaderNames(load(write(tmp_path))))
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


def test_trailer_is_not_taken_for_a_header(tmp_path: Path) -> None:
    """Guards against a trailer that replaces the header of the same name.

    A request was rejected for a duplicate header, or got another's key. An endpoint's error that ended in
    Not-Started counted as one that never ran, which may be sent again.
    """
    parser = RequestParser(HeaderNames(load(write(tmp_path))))
    (ask,) = parser.feed(ASK % CHUNKED + b"1\r\nx\r\n0\r\nRequest-Id: r2\r\nAffinity-Key: 7\r\n\r\n")
    assert isinstance(ask, Request) and ask.message.request_id == b"r1" and ask.key == 0
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
def test_request_cut_at_any_byte_leaves_nothing_behind(tmp_path: Path, raw: bytes) -> None:
    """No call, no byte of the budget, no task and no request that waits for an answer may remain."""

    async def scenario(node: Node) -> None:
        agent = Answers(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        async with serving(node, agent):
            head = raw.index(b"\r\n\r\n") + 4
            for cut in [*range(min(head + 60, len(raw))), *range(head + 60, len(raw), 7919)]:
                client = connect_client(node)
                await asyncio.get_running_loop().sock_sendall(client, raw[:cut])
                if cut % 2:
                    await let_tasks_run(5)
                client.close()
            await wait_until(
                lambda: not node.clients.connections and not node._calls and not node._core.pending_count
            )
            await wait_until(lambda: not node._memory.buffered_bytes and not node._memory.streams)
            balancer = node._core._balancer
            assert isinstance(balancer, Balancer) and not balancer._pending
            await wait_until(lambda: not balancer._in_flight)
            await wait_until(lambda: node.pool.open_count == sum(map(len, node.pool.idle.values())))
            await wait_until(lambda: not node._tasks)

    assert not [line for line in run_with_node(tmp_path, scenario) if line.startswith("fault")]


ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: 1\r\n\r\n",
    b"HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
]


@pytest.mark.parametrize("raw", ANSWERS, ids=["length", "chunks", "interim"])
def test_response_cut_at_any_byte_is_served_completely_or_not_at_all(tmp_path: Path, raw: bytes) -> None:
    """The request, which may have run, is not sent again."""

    async def scenario(node: Node) -> None:
        agent = Answers(raw)
        async with serving(node, agent):
            for cut in range(len(raw) + 1):
                agent.raw, before, got = raw[:cut], agent.asked, b""
                while agent.asked == before:  # otherwise it was refused, as so many have failed
                    got = await exchanged(node, ASK % b"Connection: close\r\nContent-Length: 0\r\n")
                whole = got.startswith(b"HTTP/1.1 200 ") and got.endswith(b"\r\n\r\nhello")
                assert whole == (cut == len(raw)) and (whole or got.startswith(b"HTTP/1.1 502 ")), (cut, got)
                assert agent.asked == before + 1
            assert not node._calls and not node._core.pending_count

    assert not [line for line in run_with_node(tmp_path, scenario) if line.startswith("fault")]


async def exchanged(node: Node, raw: bytes) -> bytes:
    """Return everything that a client receives for this, on a connection of its own."""
    client, loop, got = connect_client(node), asyncio.get_running_loop(), b""
    await loop.sock_sendall(client, raw)
    while more := await loop.sock_recv(client, 4096):
        got += more
    client.close()
    return got


class Answers:
    """An endpoint that answers each request with these bytes and closes the connection."""

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
async def serving(node: Node, agent: Answers) -> AsyncIterator[None]:
    """Run the node with this endpoint."""
    server = await asyncio.start_server(agent, "127.0.0.1", 0)
    try:
        address = server.sockets[0].getsockname()
        member = c.DiscoveredEndpoint(b"s-0", address, 0, 0, 0, State.READY, 1.0, 0)
        node.dispatch(c.EndpointListUpdate(View.FULL, (member,)))
        node.dispatch(c.Listening())
        yield
    finally:
        server.close()


def test_list_cut_at_any_byte_is_rejected(tmp_path: Path) -> None:
    entry = {"id": "s-1", "host_port": "10.1.0.18:9000", "phase": "ready", "up_since_ms": 5}
    body = json.dumps({"revision": 4, "complete": True, "members": [entry, entry]}).encode()
    reader = EndpointListReader(load(write(tmp_path)), lambda unix_us: unix_us)
    raw = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for cut in range(len(raw)):
        parser = ResponseParser(4 * 1024 * 1024)
        assert not parser.feed(raw[:cut]) and not parser.end()
    for cut in range(len(body)):
        with pytest.raises(ValueError):
            reader.read(body[:cut])
    assert not reader._known_starts


def test_operators_request_cut_at_any_byte_is_incomplete() -> None:
    """A ban must not be taken from a part of an id."""
    raw = b"POST /dispatch-servers/disable HTTP/1.1\r\nContent-Length: 5\r\n\r\ns-abc"
    assert ConsoleRequestParser().feed(raw)
    assert not any(ConsoleRequestParser().feed(raw[:cut]) for cut in range(len(raw)))


# --- Random input ---------------------------------------------------------------------------------------
def mutated(rng: Random, raw: bytes) -> bytes:
    """Return the bytes with some changed, removed, doubled or inserted."""
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


def test_random_traffic_is_parsed_or_rejected(tmp_path: Path) -> None:
    rng, names = Random(7), HeaderNames(load(write(tmp_path)))
    for _ in range(6000):
        parser = RequestParser(names)
        data, step = mutated(rng, rng.choice(REQUESTS)[:400]), rng.choice([1, 3, 50, 4096])
        for at in range(0, len(data), step):
            for item in parser.feed(data[at : at + step]):
                assert isinstance(item, Request | RejectedRequest | ReadinessRequest)
        answer = ResponseParser()
        with contextlib.suppress(ValueError):
            answer.feed(mutated(rng, rng.choice(ANSWERS)))
            report(answer, ("failed_ps",))
            outcome(answer)
        call = ConsoleRequestParser()
        with contextlib.suppress(RejectedCommandError):
            call.feed(mutated(rng, b"POST /dispatch-servers/enable HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-a"))
            call.endpoint()


def test_parsing_one_byte_at_a_time_gives_the_same_result(tmp_path: Path) -> None:
    names = HeaderNames(load(write(tmp_path)))
    for raw in REQUESTS:
        whole, single = RequestParser(names), RequestParser(names)
        at_once = whole.feed(raw)
        one_by_one = [x for k in range(len(raw)) for x in single.feed(raw[k : k + 1])]
        assert len(at_once) == len(one_by_one) == 1
        assert isinstance(at_once[0], Request) and isinstance(one_by_one[0], Request)
        assert at_once[0].message.body == one_by_one[0].message.body


FILES: dict[str, tuple[str, Callable[[Path], object], type[Exception]]] = {
    "configuration": ("", lambda path: load({"LB_CONFIG": str(path)}), ConfigError),
    "operator file": (
        "deploy/operator-example.toml",
        lambda path: of(str(path), OperatorFile),
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
def test_random_file_is_read_or_rejected_with_its_name(tmp_path: Path, name: str) -> None:
    """Files are cut, changed, deeply nested or empty.

    The only exception is the error of that kind of file, with lines that name it.
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
    for data in [b"", *cuts, *(mutated(rng, raw) for _ in range(rows)), *deep]:
        path.write_bytes(data)
        try:
            reads(path)
        except refused as error:
            text = str(error)
            assert text and (str(path) in text or name == "configuration"), text


@pytest.mark.parametrize("name", ["configuration", "operator file", "scenario", "experiment", "day"])
def test_pipe_instead_of_a_file_is_rejected_with_its_name(tmp_path: Path, name: str) -> None:
    """Guards against waiting for the pipe forever, without a message."""
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


def test_random_heads_at_the_status_socket_get_a_4xx_answer() -> None:
    rng, good = Random(5), b"GET /status?worst=3 HTTP/1.1\r\nHost: localhost\r\nAccept: */*\r\n\r\n"
    for data in [good[:k] for k in range(len(good))] + [mutated(rng, good) for _ in range(4000)]:
        try:
            assert isinstance(wire.parse_request(data, 10, rng.random() < 0.5), wire.StatusRequest)
        except wire.RejectedQueryError as error:
            assert error.response.startswith(b"HTTP/1.1 4")
