"""The connections to endpoints: dialed, lent to one call at a time, kept while idle, and closed.

It owns them and their count. It must never write to one, send anything again, or decide whether there is a
descriptor for one more: that is the loop's, which has the one budget.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from granitewell.net.clock import Clock
from granitewell.net.sockets import READ_BUFFER_BYTES, close_socket, is_readable, new_tcp_socket

# A spoilt endpoint may send a second answer some milliseconds behind the first: on a connection that has been
# lent again by then it would be taken for the answer to somebody else's request. All that were seen came
# within 6 ms (docs/measurements/standing.md).
REUSE_DELAY_US = 12_000


class EndpointConnection:
    """One connection to an endpoint; it carries one call at a time.

    Attributes:
        fit_us: From when on it may be lent.
    """

    __slots__ = ("address", "buffer", "endpoint", "reusable_from_us", "idle_since_us", "sock")

    def __init__(self, endpoint: bytes, address: tuple[str, int], sock: socket.socket) -> None:
        self.endpoint, self.address, self.sock = endpoint, address, sock
        self.buffer = bytearray(READ_BUFFER_BYTES)
        self.idle_since_us = self.reusable_from_us = 0


class Pool:
    """All connections of one node to its endpoints."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, log_line: Callable[[str, str], None],
        may_dial: Callable[[], bool],
    ) -> None:  # fmt: skip
        self._loop, self._clock, self.log_line, self._may_dial = loop, clock, log_line, may_dial
        self.idle: dict[bytes, list[EndpointConnection]] = {}  # by endpoint, the most recently used last
        self.open_count = 0  # idle, busy or being dialed
        self.idle_timeout_us = self.dial_timeout_us = (
            0  # for how long one may stand idle, and take to come up
        )

    def close_idle(self, endpoint: bytes) -> None:
        """What stands idle to an endpoint is of no more use."""
        for conn in self.idle.pop(endpoint, []):
            self.close(conn)

    def sweep(self, now_us: int, idle_us: int) -> None:
        """Close what has been idle for so long, or has been closed by the far side."""
        for endpoint, conns in list(self.idle.items()):
            old = [conn for conn in conns if now_us - conn.idle_since_us >= idle_us or is_readable(conn.sock)]
            for conn in old:
                conns.remove(conn)
                self.close(conn)
            if not conns:
                del self.idle[endpoint]

    def close_longest_idle(self) -> bool:
        """Close the connection to an endpoint that has been idle longest; False if none is."""
        idle = [conn for conns in self.idle.values() for conn in conns]
        if idle:
            oldest = min(idle, key=lambda conn: conn.idle_since_us)
            self.idle[oldest.endpoint].remove(oldest)
            self.close(oldest)
        return bool(idle)

    def acquire(self, endpoint: bytes, address: tuple[str, int]) -> EndpointConnection | None:
        """The most recently idle connection that is fit for use."""
        conns, now = self.idle.get(endpoint, []), self._clock.now()
        for conn in conns[::-1]:
            if now < conn.reusable_from_us:
                continue
            conns.remove(conn)
            # readable while idle means closed by the far side, or bytes left over: neither is of use
            if (
                conn.address == address
                and now - conn.idle_since_us < self.idle_timeout_us
                and not is_readable(conn.sock)
            ):
                return conn
            self.close(conn)
        return None

    def release(self, conn: EndpointConnection, answered: bool = True) -> None:
        """Nothing is out on it any more.

        Args:
            answered: An answer has come on it, behind which more may.
        """
        conn.idle_since_us = self._clock.now()
        conn.reusable_from_us = conn.idle_since_us + REUSE_DELAY_US if answered else 0
        self.idle.setdefault(conn.endpoint, []).append(conn)

    def close(self, conn: EndpointConnection) -> None:
        """It is of no more use."""
        self.open_count -= 1
        close_socket(conn.sock)

    async def dial(self, endpoint: bytes, address: tuple[str, int]) -> EndpointConnection | None:
        """A new connection; None where there is no room for one or it does not come up."""
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
            if conn is None:  # there may be no socket, for want of a descriptor or of an address family
                self.open_count -= 1
                if sock is not None:
                    close_socket(sock)
