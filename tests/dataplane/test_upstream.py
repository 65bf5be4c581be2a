"""Connections to servers over real sockets, where the kernel knows more than the event loop."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Iterator

import pytest

from granitewell.dataplane.upstream import RequestNotWrittenError, UpstreamConnection
from granitewell.dataplane.upstream_pool import UpstreamPool
from granitewell.domain.servers import Server, ServerState
from tests.dataplane.standin import play

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER = b"HTTP/1.1 %d Word\r\nGranitewell-Request-Id: 1\r\nKeep-Alive: timeout=9\r\n%s\r\n"


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as made:
        yield made


class Link:
    """A pool, one connection of it, and the server's end of that."""

    def __init__(self, listener: socket.socket) -> None:
        host, port = listener.getsockname()
        self.pool = UpstreamPool(time.monotonic)
        self.server = Server("i-1", "plain", f"{host}:{port}", "a", 8, ServerState.READY)
        self._listener = listener

    async def connect(self) -> tuple[UpstreamConnection, socket.socket]:
        connection = await self.pool.connection(self.server, "2")
        return connection, self._listener.accept()[0]

    async def answered(self, fields: bytes = b"Content-Length: 0\r\n", status: int = 200) -> socket.socket:
        """The server's end of a connection that has carried one request and is idle, if it is kept."""
        connection, far = await self.connect()
        connection.write(REQUEST, method="GET", repeatable=False)
        far.sendall(ANSWER % (status, fields))
        message, body = await connection.read_head("1")
        assert await connection.read_body(body) == b""
        self.pool.release(connection, message)
        return far


def reset(far: socket.socket) -> None:
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    far.close()


@pytest.mark.parametrize("end", ["close", "reset", "byte"])
def test_an_idle_connection_on_which_something_has_come_is_not_used(
    listener: socket.socket, end: str
) -> None:
    """Although the loop has had no moment to read it."""

    async def run() -> None:
        link = Link(listener)
        far = await link.answered()
        if end == "byte":
            far.sendall(b"x")
        elif end == "close":
            far.close()
        else:
            reset(far)
        connection, new = await link.connect()
        assert not connection.used_before
        new.close()
        far.close()
        link.pool.close()

    play(run())


def test_a_write_that_the_kernel_refuses_is_proof(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(UpstreamConnection, "has_nothing_unread", lambda self: True)

    async def run() -> None:
        link = Link(listener)
        reset(await link.answered())
        connection = await link.pool.connection(link.server, "2")
        assert connection.used_before
        with pytest.raises(RequestNotWrittenError):
            connection.write(REQUEST, method="GET", repeatable=False)
        link.pool.close()

    play(run())


def test_a_connection_is_not_kept_while_bytes_of_its_request_are_left(listener: socket.socket) -> None:
    """The server answers early, and would read what comes next as the rest of the body."""

    async def run() -> None:
        link = Link(listener)
        connection, far = await link.connect()
        connection.write(REQUEST + bytes(50_000_000), method="POST", repeatable=False)
        assert not connection.all_written
        far.sendall(ANSWER % (200, b"Content-Length: 0\r\n"))
        message, _ = await connection.read_head("1")
        link.pool.release(connection, message)
        assert not connection.usable
        far.close()
        link.pool.close()

    play(run())


@pytest.mark.parametrize(
    ("status", "fields", "kept"),
    [
        (200, b"Content-Length: 0\r\n", True),
        (204, b"", True),
        (304, b"Content-Length: 70\r\n", True),
        (200, b"Content-Length: 0\r\nConnection: close\r\n", False),
        (200, b"Content-Length: 0\r\n\r\nx", False),
        (200, b"Transfer-Encoding: chunked\r\n\r\n0\r\n", True),
        (200, b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1", False),
    ],
)
def test_which_connections_are_kept(listener: socket.socket, status: int, fields: bytes, kept: bool) -> None:
    async def run() -> None:
        link = Link(listener)
        far = await link.answered(fields, status)
        connection = await link.pool.connection(link.server, "2")
        assert connection.used_before == kept
        far.close()
        link.pool.close()

    play(run())


def test_a_connection_never_carries_an_id_twice(listener: socket.socket) -> None:
    async def run() -> None:
        link = Link(listener)
        far = await link.answered()
        other = await link.pool.connection(link.server, "1")
        same = await link.pool.connection(link.server, "2")
        assert not other.used_before and same.used_before
        far.close()
        link.pool.close()

    play(run())


def test_a_server_that_ends_its_side_before_it_has_taken_a_request(listener: socket.socket) -> None:
    """No answer can come any more: it isn't waited for until the request's time is over."""

    async def run() -> None:
        link = Link(listener)
        connection, far = await link.connect()
        connection.write(REQUEST + bytes(50_000_000), method="POST", repeatable=False)
        far.shutdown(socket.SHUT_WR)
        while connection.is_connected():
            await asyncio.sleep(0)
        far.close()
        link.pool.close()

    play(run())
