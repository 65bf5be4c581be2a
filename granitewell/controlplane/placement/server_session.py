"""Connections to servers, for reports and orders: what aiohttp's own would do wrong is mended here.

- Bytes that come while nothing is asked belong to no call: the connection ends at once. The library would
  keep an answer that comes late and hand it to the next call.
- Closing resets. An order that got no answer is thus taken off the wire: what a cut or a slow link still
  holds of it can't arrive seconds later, when another machine orders that server.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
import struct

import aiohttp
from aiohttp.client_proto import ResponseHandler

GIVE_UP_MS = 800  # of bytes that a server's machine does not acknowledge: no order lasts longer
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ServerConnection(ResponseHandler):
    """A connection that carries one call at a time and nothing between two."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._asked = False

    def set_response_params(self, *args: object, **options: object) -> None:
        """A call begins; the library says so before it writes anything."""
        super().set_response_params(*args, **options)  # type: ignore[arg-type]
        self._asked = True

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer, or of none."""
        if data and not self._asked:
            self.abort()
            return
        super().data_received(data)

    def rest(self) -> None:
        """The answer was read whole."""
        self._asked = False


class ServerConnector(aiohttp.TCPConnector):
    """The pool of such connections."""

    def __init__(self) -> None:
        super().__init__(socket_factory=_open_socket, use_dns_cache=False)
        self._factory = functools.partial(ServerConnection, loop=self._loop)  # type: ignore[assignment]

    def _release(self, key: object, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        """A call has ended."""
        if isinstance(protocol, ServerConnection):
            protocol.rest()
        super()._release(key, protocol, should_close=should_close)  # type: ignore[arg-type]


def open_server_session() -> aiohttp.ClientSession:
    """A session for calls to servers."""
    return aiohttp.ClientSession(connector=ServerConnector(), auto_decompress=False)


def _open_socket(address: tuple[object, ...]) -> socket.socket:
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)  # type: ignore[arg-type]
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, GIVE_UP_MS)
    return sock
