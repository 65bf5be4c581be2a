"""Bodies over 64 KiB: what is kept and let go, and the real program between slow or broken sockets."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from hashlib import blake2b
from pathlib import Path
from random import Random

import pytest

from granitewell.config import load
from granitewell.net.bodies import MAX_READ_BYTES, MIN_READ_BYTES, READS_HELD_PER_STREAM, MemoryBudget
from granitewell.net.downstream import (
    BODY_GAP_TIMEOUT_US,
    BODY_RATE_GRACE_US,
    HEAD_TIMEOUT_US,
    MIN_BODY_BYTES_PER_S,
    STREAM_STALL_TIMEOUT_US,
    DownstreamConnection,
    streams_too_slowly,
    too_slow,
)
from granitewell.net.http1 import MAX_BUFFERED_BODY_BYTES, HeaderNames, Request, RequestParser, StreamedBody
from tests.exchange_player import LIMIT_S
from tests.test_config import write
from tests.test_upgrade import Agent, Site

BIG = Random(3).randbytes(5_000_000)
HEAD = b"POST /ride-assign/1 HTTP/1.1\r\nHost: n\r\nRequest-Id: r%d\r\nRequest-Timeout-Ms: 20000\r\n%s\r\n"


def test_up_to_64_kib_a_body_may_go_again_and_beyond_it_is_let_go() -> None:
    """A call that never ran is followed by another; memory holds no more than that for it."""
    flow = StreamedBody(MAX_BUFFERED_BODY_BYTES + 1)
    for _ in range(4):
        flow.put(bytes(MAX_BUFFERED_BODY_BYTES // 4))
    flow.rewind()
    assert sum(len(flow.take() or b"") for _ in range(4)) == MAX_BUFFERED_BODY_BYTES and flow.take() is None
    assert not flow.discarded and flow.unread_bytes == 0
    flow.rewind()  # the first call did not come up
    assert sum(len(flow.take() or b"") for _ in range(4)) == MAX_BUFFERED_BODY_BYTES
    flow.put(b"x")
    assert flow.take() == b"x" and flow.discarded and len(flow.parts) == 1


@pytest.mark.parametrize("step", [1000, 70_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_is_handed_in_at_its_head_and_comes_byte_for_byte(
    tmp_path: Path, chunked: bool, step: int
) -> None:
    body = BIG[:200_000]
    frame = b"Transfer-Encoding: chunked\r\n" if chunked else b"Content-Length: 200000\r\n"
    raw = HEAD % (1, frame) + (b"30d40;ext=1\r\n%s\r\n0\r\nTrailer: x\r\n\r\n" % body if chunked else body)
    parser, items, got = RequestParser(HeaderNames(load(write(tmp_path)))), [], b""
    for at in range(0, len(raw), step):
        items += parser.feed(raw[at : at + step])
        while items and (part := items[0].message.streamed_body.take()) is not None:  # type: ignore[union-attr]
            got += part
    (ask,) = items
    assert (
        isinstance(ask, Request) and ask.message.streamed_body is not None and ask.message.streamed_body.done
    )
    assert got == body and ask.message.streamed_body.length == (None if chunked else 200_000)
    (again,) = parser.feed(HEAD % (2, b"Content-Length: 1\r\n") + b"z")  # the connection goes on in step
    assert isinstance(again, Request) and again.message.body == b"z"


def test_many_flows_share_the_budget_in_smaller_pieces_and_none_waits() -> None:
    budget = MemoryBudget(80.0)
    assert budget.read_size() == MAX_READ_BYTES
    budget.streams = 150
    assert (
        MIN_READ_BYTES <= budget.read_size() < MAX_READ_BYTES
        and budget.read_size() * READS_HELD_PER_STREAM * 150 <= budget.max_bytes
    )
    budget.streams = 10_000
    assert budget.read_size() == MIN_READ_BYTES


def test_a_client_may_send_its_body_slowly_as_long_as_it_sends(tmp_path: Path) -> None:
    """64 kB a second is a client's right; a body that stands still or trickles is given up, like a head."""
    ours, theirs = socket.socketpair()
    one = DownstreamConnection(1, ours, RequestParser(HeaderNames(load(write(tmp_path)))), 0)
    one.parser.feed(b"POST /ride-assign/1 HTTP/1.1\r\n")
    assert not too_slow(one, HEAD_TIMEOUT_US - 1) and too_slow(one, HEAD_TIMEOUT_US)
    one.parser.feed(b"Content-Length: 60000\r\n\r\n" + bytes(MIN_BODY_BYTES_PER_S))
    one.head_received_us = one.last_read_us = HEAD_TIMEOUT_US
    assert not too_slow(one, HEAD_TIMEOUT_US + BODY_GAP_TIMEOUT_US - 1) and too_slow(
        one, HEAD_TIMEOUT_US + BODY_GAP_TIMEOUT_US
    )
    one.last_read_us = late = HEAD_TIMEOUT_US + BODY_RATE_GRACE_US + 2_000_000
    assert too_slow(one, late)  # it has had time for twice as much
    one.parser.feed(bytes(MIN_BODY_BYTES_PER_S))
    assert not too_slow(one, late)
    ours.close()
    theirs.close()


def test_a_large_body_that_trickles_does_not_hold_an_endpoint_for_good(tmp_path: Path) -> None:
    """A byte each nine seconds kept a client's connection, a call and an endpoint's connection for years."""
    ours, theirs = socket.socketpair()
    one = DownstreamConnection(1, ours, RequestParser(HeaderNames(load(write(tmp_path)))), 0)
    one.parser.feed(HEAD % (1, b"Content-Length: 900000\r\n") + b"x")
    flow = one.parser.streamed_body
    assert flow is not None
    one.last_read_us = later = 2 * STREAM_STALL_TIMEOUT_US
    assert streams_too_slowly(one, flow, later)  # one byte in twenty seconds, the last one just now
    one.blocked_us = STREAM_STALL_TIMEOUT_US
    assert not streams_too_slowly(one, flow, later)  # its endpoint took nothing meanwhile
    assert streams_too_slowly(one, flow, later + STREAM_STALL_TIMEOUT_US)
    one.blocked_us = 0
    flow.put(bytes(64_000 * 20))  # the platform's slowest client
    assert not streams_too_slowly(one, flow, later)
    ours.close()
    theirs.close()


class Street(Agent):
    """An endpoint that reads a whole request and answers as its test says."""

    def __init__(self) -> None:
        self.answer = b""
        self.bodies: list[bytes] = []
        super().__init__()

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(LIMIT_S)
        try:
            while (head := self._request(sock)) is not None:
                self.bodies.append(self._body(sock, *head))
                sock.sendall(self.answer)
        except OSError:
            sock.close()

    def _request(self, sock: socket.socket) -> tuple[bytes, bytes] | None:
        data = b""
        while b"\r\n\r\n" not in data:
            more = sock.recv(65536)
            if not more:
                return None
            data += more
        head, _, rest = data.partition(b"\r\n\r\n")
        return head, rest

    def _body(self, sock: socket.socket, head: bytes, rest: bytes) -> bytes:
        chunked = b"chunked" in head
        size = 0 if chunked else int((head + b"\r\n").partition(b"Content-Length: ")[2].split()[0])
        data = bytearray(rest)
        while (not data.endswith(b"\r\n0\r\n\r\n")) if chunked else (len(data) < size):
            data += sock.recv(1 << 20)
        if not chunked:
            return bytes(data)
        body, at = bytearray(), 0
        while (n := int(data[at : (end := data.index(b"\r\n", at))], 16)) > 0:
            body += data[end + 2 : end + 2 + n]
            at = end + 4 + n
        return bytes(body)


@pytest.fixture
def site() -> Iterator[Site]:
    made = Site()
    made.agent = Street()
    try:
        made.ready(made.start())
        yield made
    finally:
        made.close()


def connect(site: Site) -> socket.socket:
    return socket.create_connection(site.listener.getsockname(), LIMIT_S)


def until_close(sock: socket.socket) -> bytes:
    data = bytearray()
    while more := sock.recv(1 << 20):
        data += more
    return bytes(data)


@pytest.mark.parametrize("chunked", [False, True])
def test_five_megabytes_pass_in_each_direction(site: Site, chunked: bool) -> None:
    street = site.agent
    assert isinstance(street, Street)
    if chunked:
        street.answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
            len(BIG), BIG)  # fmt: skip
    else:
        street.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BIG), BIG)
    with connect(site) as sock:
        frame = b"Transfer-Encoding: chunked\r\n" if chunked else b"Content-Length: %d\r\n" % len(BIG)
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BIG), BIG) if chunked else BIG
        sock.sendall(HEAD % (1, frame + b"Connection: close\r\n") + body)
        head, _, rest = until_close(sock).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and street.bodies == [BIG]
    if chunked:
        rest = b"".join(iter_chunks(rest))
    assert blake2b(rest).digest() == blake2b(BIG).digest()


def iter_chunks(data: bytes) -> Iterator[bytes]:
    at = 0
    while (n := int(data[at : (end := data.index(b"\r\n", at))], 16)) > 0:
        yield data[end + 2 : end + 2 + n]
        at = end + 4 + n


def test_memory_holds_while_many_clients_do_not_read(site: Site) -> None:
    """Twelve answers of 5 MB for clients that read nothing: what they do not take is not read either."""
    street = site.agent
    assert isinstance(street, Street)
    street.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BIG), BIG)

    def peak_kb() -> int:
        text = Path(f"/proc/{site.started[0].pid}/status").read_text()
        return int(text.partition("VmHWM:")[2].split()[0])

    before, socks = peak_kb(), [connect(site) for _ in range(12)]
    try:
        for k, sock in enumerate(socks):
            sock.sendall(HEAD % (k, b"Content-Length: 1\r\nConnection: close\r\n") + b"x")
        for sock in socks:
            sock.settimeout(LIMIT_S)
            assert sock.recv(15) == b"HTTP/1.1 200 OK"
        assert peak_kb() - before < 12_000
        assert all(until_close(sock).endswith(BIG[-1000:]) for sock in socks)
        assert peak_kb() - before < 12_000
    finally:
        for sock in socks:
            sock.close()
