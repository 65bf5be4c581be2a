"""Connections to servers over real sockets, whose state the event loop sees with a delay."""

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
from tests.dataplane.standin import run_scene

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
RESPONSE = b"HTTP/1.1 %d Word\r\nGranitewell-Request-Id: 1\r\nKeep-Alive: timeout=9\r\n%s\r\n"


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as made:
        yield made


class Link:
    """A pool and the server's ends of its connections."""

    def __init__(self, listener: socket.socket) -> None:
        host, port = listener.getsockname()
        self.pool = UpstreamPool(time.monotonic)
        self.server = Server("i-1", "plain", f"{host}:{port}", "a", 8, ServerState.READY)
        self._listener = listener

    async def connect(self) -> tuple[UpstreamConnection, socket.socket]:
        connection = await self.pool.connection(self.server, "2")
        return connection, self._listener.accept()[0]

    async def idle_connection(
        self, fields: bytes = b"Content-Length: 0\r\n", status: int = 200
    ) -> socket.socket:
        """Return the server's end of a connection that has carried one request and was released."""
        connection, server_side = await self.connect()
        connection.write(REQUEST, method="GET", repeatable=False)
        server_side.sendall(RESPONSE % (status, fields))
        message, body = await connection.read_head("1")
        assert await connection.read_body(body) == b""
        self.pool.release(connection, message)
        return server_side


def reset(server_side: socket.socket) -> None:
    server_side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    server_side.close()


@pytest.mark.parametrize("end", ["close", "reset", "byte"])
def test_idle_connection_with_unread_data_is_not_reused(listener: socket.socket, end: str) -> None:
    """The event loop has had no time to read it."""

    async def run() -> None:
        link = Link(listener)
        server_side = await link.idle_connection()
        if end == "byte":
            server_side.sendall(b"x")
        elif end == "close":
            server_side.close()
        else:
            reset(server_side)
        connection, new = await link.connect()
        assert not connection.used_before
        new.close()
        server_side.close()
        link.pool.close()

    run_scene(run())


def test_write_refused_by_the_kernel_raises_request_not_written(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(UpstreamConnection, "has_nothing_unread", lambda self: True)

    async def run() -> None:
        link = Link(listener)
        reset(await link.idle_connection())
        connection = await link.pool.connection(link.server, "2")
        assert connection.used_before
        with pytest.raises(RequestNotWrittenError):
            connection.write(REQUEST, method="GET", repeatable=False)
        link.pool.close()

    run_scene(run())


def test_connection_with_unsent_bytes_is_not_reused(listener: socket.socket) -> None:
    """The server answers early and would take the next request for the rest of the body."""

    async def run() -> None:
        link = Link(listener)
        connection, server_side = await link.connect()
        connection.write(REQUEST + bytes(50_000_000), method="POST", repeatable=False)
        assert not connection.all_written
        server_side.sendall(RESPONSE % (200, b"Content-Length: 0\r\n"))
        message, _ = await connection.read_head("1")
        link.pool.release(connection, message)
        assert not connection.usable
        server_side.close()
        link.pool.close()

    run_scene(run())


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
def test_reuse_of_connections(listener: socket.socket, status: int, fields: bytes, kept: bool) -> None:
    async def run() -> None:
        link = Link(listener)
        server_side = await link.idle_connection(fields, status)
        connection = await link.pool.connection(link.server, "2")
        assert connection.used_before == kept
        server_side.close()
        link.pool.close()

    run_scene(run())


def test_connection_never_carries_a_request_id_twice(listener: socket.socket) -> None:
    async def run() -> None:
        link = Link(listener)
        server_side = await link.idle_connection()
        other = await link.pool.connection(link.server, "1")
        same = await link.pool.connection(link.server, "2")
        assert not other.used_before and same.used_before
        server_side.close()
        link.pool.close()

    run_scene(run())


def test_half_closed_connection_with_unsent_request_is_aborted(listener: socket.socket) -> None:
    """No response can arrive any more, so that the request must not wait for its deadline."""

    async def run() -> None:
        link = Link(listener)
        connection, server_side = await link.connect()
        connection.write(REQUEST + bytes(50_000_000), method="POST", repeatable=False)
        server_side.shutdown(socket.SHUT_WR)
        while connection.is_connected():
            await asyncio.sleep(0)
        server_side.close()
        link.pool.close()

    run_scene(run())
