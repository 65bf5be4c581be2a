"""Connections to servers, for reports and orders, with two changes of aiohttp's behavior.

- If bytes arrive while no call is in progress, the connection is closed at once. aiohttp would keep a late
  answer and return it to the next call.
- Closing a connection sends a RST. An unanswered order that a partition or a slow link holds back can then no
  longer arrive seconds later, when another machine sends orders to that server.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
import struct

import aiohttp
from aiohttp.client_proto import ResponseHandler

ACK_TIMEOUT_MS = 800  # TCP_USER_TIMEOUT; unacknowledged bytes of an order are dropped after it
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ServerConnection(ResponseHandler):
    """A connection that carries one call at a time and nothing between two calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._call_in_progress = False

    def set_response_params(self, *args: object, **options: object) -> None:
        """Begin a call; aiohttp calls this before it writes a request."""
        super().set_response_params(*args, **options)  # type: ignore[arg-type]
        self._call_in_progress = True

    def data_received(self, data: bytes) -> None:
        """Handle bytes of an answer; abort the connection if no call is in progress."""
        if data and not self._call_in_progress:
            self.abort()
            return
        super().data_received(data)

    def end_call(self) -> None:
        """Record that the answer has been read completely."""
        self._call_in_progress = False


class ServerConnector(aiohttp.TCPConnector):
    """Connection pool of `ServerConnection`."""

    def __init__(self) -> None:
        super().__init__(socket_factory=_open_socket, use_dns_cache=False)
        self._factory = functools.partial(ServerConnection, loop=self._loop)  # type: ignore[assignment]

    def _release(self, key: object, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        """Return a connection to the pool at the end of its call."""
        if isinstance(protocol, ServerConnection):
            protocol.end_call()
        super()._release(key, protocol, should_close=should_close)  # type: ignore[arg-type]


def open_server_session() -> aiohttp.ClientSession:
    """Open a session for calls to servers."""
    return aiohttp.ClientSession(connector=ServerConnector(), auto_decompress=False)


def _open_socket(address: tuple[object, ...]) -> socket.socket:
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)  # type: ignore[arg-type]
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS)
    return sock
