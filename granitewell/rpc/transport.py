"""RPC between nodes over TCP: calls with a reply, and one-way messages.

A reply belongs to the call with its id and method on the same connection. A client does not reuse ids, and a
call ends with its connection. A frame that cannot be a reply ends the connection.

A frame is a header of 14 bytes (magic, version, kind, method, call id, length) and a payload. Unknown
versions and lengths beyond the limit end the connection. There is one connection per pair of nodes and
direction, opened when needed. TCP_USER_TIMEOUT closes the connection to an unresponsive peer. Queues are
bounded: one-way messages to a peer that does not read are dropped.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import cast

from granitewell.domain.errors import MalformedFrameError, PeerUnreachableError, RpcError, RpcTimeoutError

HEADER = struct.Struct("!HBBHII")
MAGIC = 0x6757
VERSION = 1
MAX_PAYLOAD_BYTES = 32 * 1024 * 1024
MAX_BUFFERED_BYTES = 8 * 1024 * 1024  # per peer; beyond it one-way messages are dropped
CONNECT_TIMEOUT_S = 0.4
USER_TIMEOUT_MS = 1_500


class Kind(IntEnum):
    """Kind of a frame."""

    CALL = 1
    REPLY = 2
    FAILURE = 3
    ONE_WAY = 4


class Method(IntEnum):
    """Method of a call or message."""

    WATCH = 1
    DEMAND = 2
    GROUP = 3
    EDGES = 4


Handler = Callable[[bytes, str], Awaitable[bytes]]
"""Takes a payload and the peer's IP address; returns the reply's payload, ignored for one-way messages."""


def _set_socket_options(transport: asyncio.BaseTransport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class _FrameProtocol(asyncio.Protocol):
    """Splits the bytes of a connection into frames."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are not a subclass of it
        _set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        try:
            self._split_frames()
        except MalformedFrameError:
            self.close()

    def _split_frames(self) -> None:
        buffer = self._buffer
        while len(buffer) >= HEADER.size:
            magic, version, kind, method, call, length = HEADER.unpack_from(buffer)
            if magic != MAGIC or version != VERSION or length > MAX_PAYLOAD_BYTES:
                raise MalformedFrameError(f"magic {magic:#x}, version {version}, length {length}")
            end = HEADER.size + length
            if len(buffer) < end:
                return
            payload = bytes(buffer[HEADER.size : end])
            del buffer[:end]
            self.frame(kind, method, call, payload)

    def frame(self, kind: int, method: int, call: int, payload: bytes) -> None:
        """Handle one complete frame."""
        raise NotImplementedError

    def write(self, kind: Kind, method: int, call: int, payload: bytes) -> None:
        """Send one frame."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(HEADER.pack(MAGIC, VERSION, kind, method, call, len(payload)) + payload)

    def buffered(self) -> int:
        """Return the number of unsent bytes."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


class _ServerProtocol(_FrameProtocol):
    def __init__(self, server: RpcServer) -> None:
        super().__init__()
        self._server = server
        self._tasks: set[asyncio.Task[None]] = set()
        self._peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._peer = (transport.get_extra_info("peername") or ("",))[0]
        self._server.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        self._server.connections.discard(self)
        for task in self._tasks:
            task.cancel()

    def frame(self, kind: int, method: int, call: int, payload: bytes) -> None:
        if kind not in (Kind.CALL, Kind.ONE_WAY):
            raise MalformedFrameError(f"a frame of kind {kind} at a server")
        task = asyncio.get_running_loop().create_task(self._answer(kind, method, call, payload))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, kind: int, method: int, call: int, payload: bytes) -> None:
        handler = self._server.handlers.get(method)
        try:
            if handler is None:
                raise MalformedFrameError(f"no method {method}")
            reply = await handler(payload, self._peer)
        except Exception as error:  # noqa: BLE001  a failed call doesn't end the connection
            if kind == Kind.CALL:
                self.write(Kind.FAILURE, method, call, f"{type(error).__name__}: {error}".encode()[:500])
            return
        if kind == Kind.CALL:
            self.write(Kind.REPLY, method, call, reply)


class RpcServer:
    """Server for the calls and messages of other nodes.

    Args:
        handlers: Handlers by method.
    """

    def __init__(self, handlers: dict[int, Handler]) -> None:
        self.handlers = handlers
        self.connections: set[_ServerProtocol] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen; raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _ServerProtocol(self), host, port, backlog=512)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """A call whose reply is pending."""

    method: int
    future: asyncio.Future[bytes]


class _ClientProtocol(_FrameProtocol):
    def __init__(self) -> None:
        super().__init__()
        self._pending: dict[int, _PendingCall] = {}
        self.closed = False

    def expect(self, call: int, method: int) -> asyncio.Future[bytes]:
        """Return a future for a reply; raises PeerUnreachableError if none can arrive."""
        if self.closed:
            raise PeerUnreachableError("connection lost")
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending[call] = _PendingCall(method, future)
        return future

    def forget(self, call: int) -> None:
        """Stop expecting the reply to a call; a late one is dropped."""
        self._pending.pop(call, None)

    def frame(self, kind: int, method: int, call: int, payload: bytes) -> None:
        if kind not in (Kind.REPLY, Kind.FAILURE):
            raise MalformedFrameError(f"a frame of kind {kind} at a client")
        pending = self._pending.get(call)
        if pending is None:
            return
        if pending.method != method:
            raise MalformedFrameError(f"a reply of method {method} to a call of {pending.method}")
        del self._pending[call]
        if pending.future.done():
            return
        if kind == Kind.REPLY:
            pending.future.set_result(payload)
        else:
            pending.future.set_exception(RpcError(payload.decode(errors="replace")))

    def connection_lost(self, _error: Exception | None) -> None:
        self.closed = True
        for pending in self._pending.values():
            if not pending.future.done():
                pending.future.set_exception(PeerUnreachableError("connection lost"))
        self._pending.clear()


class RpcClient:
    """Client of one node, which connects when needed.

    Args:
        address: `ip:port`.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._protocol: _ClientProtocol | None = None
        self._connecting: asyncio.Task[_ClientProtocol] | None = None
        self._next_call = 0
        self._is_closed = False

    async def _connect(self) -> _ClientProtocol:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(_ClientProtocol, self._host, self._port)
        except (OSError, TimeoutError) as error:
            raise PeerUnreachableError(f"{self.address}: {error!r}") from error
        if self._is_closed:
            protocol.close()
            raise PeerUnreachableError(f"{self.address}: no longer wanted")
        self._protocol = protocol
        return protocol

    async def _connected_protocol(self) -> _ClientProtocol:
        if self._protocol is not None and not self._protocol.closed:
            return self._protocol
        if self._connecting is None or self._connecting.done():
            self._connecting = asyncio.get_running_loop().create_task(self._connect())
        return await asyncio.shield(self._connecting)

    async def call(self, method: Method, payload: bytes, timeout_s: float) -> bytes:
        """Make a call and return its reply.

        Raises:
            RpcTimeoutError: There was no reply in time.
            PeerUnreachableError: There is no connection.
            RpcError: The peer reported an error.
        """
        call = self._next_call = (self._next_call + 1) & 0xFFFFFFFF
        protocol: _ClientProtocol | None = None
        try:
            async with asyncio.timeout(timeout_s):
                protocol = await self._connected_protocol()
                future = protocol.expect(call, method)
                protocol.write(Kind.CALL, method, call, payload)
                return await future
        except TimeoutError as error:
            raise RpcTimeoutError(f"{self.address}: no reply in {timeout_s} s") from error
        finally:
            if protocol is not None:
                protocol.forget(call)

    def send(self, method: Method, payload: bytes) -> None:
        """Send a one-way message; it is lost if there is no connection or the peer does not read."""
        if self._protocol is None or self._protocol.closed:
            if self._connecting is None or self._connecting.done():
                self._connecting = asyncio.get_running_loop().create_task(self._connect())
                self._connecting.add_done_callback(lambda task: task.exception())
            connecting = self._connecting
            connecting.add_done_callback(lambda task: self._send_after(task, method, payload))
            return
        if self._protocol.buffered() < MAX_BUFFERED_BYTES:
            self._protocol.write(Kind.ONE_WAY, method, 0, payload)

    def _send_after(self, task: asyncio.Task[_ClientProtocol], method: Method, payload: bytes) -> None:
        if not task.cancelled() and task.exception() is None:
            task.result().write(Kind.ONE_WAY, method, 0, payload)

    def close(self) -> None:
        """Close the connection and open no other."""
        self._is_closed = True
        if self._protocol is not None:
            self._protocol.close()


class RpcPeers:
    """Clients of other nodes, one per address."""

    def __init__(self) -> None:
        self._clients: dict[str, RpcClient] = {}

    def __getitem__(self, address: str) -> RpcClient:
        """Return the client for an address; create it when it is first used."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address)
        return client

    def keep(self, addresses: set[str]) -> None:
        """Close the clients of all other addresses."""
        for address in set(self._clients) - addresses:
            self._clients.pop(address).close()

    def close(self) -> None:
        """Close all connections."""
        self.keep(set())
