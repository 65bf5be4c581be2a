"""The pool of connections to endpoints: dialed, lent to one call at a time, kept while idle, and closed.

The pool does not write to its connections and never repeats a call. Whether there is a descriptor for one
more connection is decided by the node, which holds the common budget.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from granitewell.net.clock import Clock
from granitewell.net.sockets import READ_BUFFER_BYTES, close_socket, is_readable, new_tcp_socket

# A faulty endpoint may send a second response some milliseconds after the first. If the connection were lent
# again by then, it would be taken for the response to another request. All that were seen came within 6 ms
# (docs/measurements/standing.md).
REUSE_DELAY_US = 12_000


class EndpointConnection:
    """A connection to an endpoint, which carries one call at a time.

    Attributes:
        reusable_from_us: When it may be lent again at the earliest.
    """

    __slots__ = ("address", "buffer", "endpoint", "reusable_from_us", "idle_since_us", "sock")

    def __init__(self, endpoint: bytes, address: tuple[str, int], sock: socket.socket) -> None:
        self.endpoint, self.address, self.sock = endpoint, address, sock
        self.buffer = bytearray(READ_BUFFER_BYTES)
        self.idle_since_us = self.reusable_from_us = 0


class Pool:
    """All connections of this node to its endpoints."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, log_line: Callable[[str, str], None],
        may_dial: Callable[[], bool],
    ) -> None:  # fmt: skip
        """Create an empty pool.

        Args:
            loop: The event loop.
            clock: The node's clock.
            log_line: Writes a line of a topic to the node's log.
            may_dial: Returns whether one more connection may be opened.
        """
        self._loop, self._clock, self.log_line, self._may_dial = loop, clock, log_line, may_dial
        self.idle: dict[bytes, list[EndpointConnection]] = {}  # by endpoint, the most recently used last
        self.open_count = 0  # idle, in use or being dialed
        self.idle_timeout_us = self.dial_timeout_us = 0  # set from the configuration

    def close_idle(self, endpoint: bytes) -> None:
        """Close all idle connections to an endpoint."""
        for conn in self.idle.pop(endpoint, []):
            self.close(conn)

    def sweep(self, now_us: int, idle_us: int) -> None:
        """Close connections that have been idle for so long or were closed by the other side."""
        for endpoint, conns in list(self.idle.items()):
            old = [conn for conn in conns if now_us - conn.idle_since_us >= idle_us or is_readable(conn.sock)]
            for conn in old:
                conns.remove(conn)
                self.close(conn)
            if not conns:
                del self.idle[endpoint]

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return False if none is idle."""
        idle = [conn for conns in self.idle.values() for conn in conns]
        if idle:
            oldest = min(idle, key=lambda conn: conn.idle_since_us)
            self.idle[oldest.endpoint].remove(oldest)
            self.close(oldest)
        return bool(idle)

    def acquire(self, endpoint: bytes, address: tuple[str, int]) -> EndpointConnection | None:
        """Return the most recently used idle connection that is usable, or None."""
        conns, now = self.idle.get(endpoint, []), self._clock.now()
        for conn in conns[::-1]:
            if now < conn.reusable_from_us:
                continue
            conns.remove(conn)
            # readable while idle: closed by the other side, or unexpected bytes; either makes it unusable
            if (
                conn.address == address
                and now - conn.idle_since_us < self.idle_timeout_us
                and not is_readable(conn.sock)
            ):
                return conn
            self.close(conn)
        return None

    def release(self, conn: EndpointConnection, answered: bool = True) -> None:
        """Return a connection to the pool after a call.

        Args:
            conn: The connection.
            answered: It has carried a response, after which stray bytes may arrive.
        """
        conn.idle_since_us = self._clock.now()
        conn.reusable_from_us = conn.idle_since_us + REUSE_DELAY_US if answered else 0
        self.idle.setdefault(conn.endpoint, []).append(conn)

    def close(self, conn: EndpointConnection) -> None:
        """Close a connection for good."""
        self.open_count -= 1
        close_socket(conn.sock)

    async def dial(self, endpoint: bytes, address: tuple[str, int]) -> EndpointConnection | None:
        """Open a new connection; return None if there is no descriptor for it or the dial fails."""
        if not self._may_dial():
            return None
        self.open_count += 1
        sock, conn = None, None
        try:
            sock = new_tcp_socket(address)
            async with asyncio.timeout(self.dial_timeout_us / 1e6):
                await self._loop.sock_connect(sock, address)
            conn = EndpointConnection(endpoint, address, sock)
            return conn
        except (OSError, TimeoutError) as error:
            self.log_line("dial", f"{address[0]}:{address[1]} did not come up: {str(error) or 'timed out'}")
            return None
        finally:
            if conn is None:  # there may be no socket: no descriptor, or no such address family
                self.open_count -= 1
                if sock is not None:
                    close_socket(sock)
