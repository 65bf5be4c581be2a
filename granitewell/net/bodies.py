"""Bodies over 64 KiB on their way through: from a client to an endpoint, and from an endpoint to a client.

It owns the pieces in which they are read, how long either side may stand still, and the budget that sets the
size of the pieces. It must never hold more of a body than a few pieces, send anything twice, or decide what
becomes of a request: the core hears where a body begins, is whole, is let go, and ends.

Back-pressure is that of the two connections: what one side does not take is not read from the other.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from granitewell.net import http1

MIN_PIECE, MAX_PIECE = 8 * 1024, 64 * 1024  # bytes read at a time
COPIES = 4  # pieces that a flow may hold at once: its buffer, parsed, framed, and with the kernel. A request
# holds up to 64 KiB besides, which are kept so that it may go again
BASE_MB = 44.0  # of the memory limit, what the process takes without bodies
PART = 0.5  # of what is left, that flows may hold
GAP_S = 0.4  # between two pieces of an answer that has not begun for its client: spoilt ones stand still
HOLD_S = 0.1  # for which an answer of unknown length may be gathered before it begins for its client
STILL_S = 20.0  # for either side of a body that is under way


class Budget:
    """Bytes that flows hold together. Where many share it the pieces get smaller; none waits for another."""

    def __init__(self, memory_mb: float) -> None:
        self.most = int(max(memory_mb - BASE_MB, memory_mb / 8) * PART * 1024 * 1024)
        self.flows = 0
        self.kept = 0  # bytes of bodies up to 64 KiB that are held whole; what flows gives way to them

    def piece(self) -> int:
        """The bytes that a flow may read at a time now."""
        fair = max(self.most - self.kept, 0) // (COPIES * max(self.flows, 1))
        return min(max(fair, MIN_PIECE), MAX_PIECE)


class Waits:
    """What the two ends of a request body wait with: for more of it, and for room to read on."""

    def __init__(self) -> None:
        self.more, self.room = asyncio.Event(), asyncio.Event()

    async def until_room(self, flow: http1.Flow) -> None:
        """Until less than a piece is unread. A client that leaves meanwhile is seen once it is read again."""
        while flow.unread > http1.MAX_KEPT and not flow.done:
            self.room.clear()
            await self.room.wait()


async def pump(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    flow: http1.Flow,
    waits: Waits,
    let_go: Callable[[], None],
) -> None:
    """Write a request's body as it comes.

    Ends quietly where the endpoint takes no more: whoever reads the answer there sees how that ends, and
    `flow.sent` whether the last byte was written.
    """
    chunked, gone = flow.length is None, False
    try:
        while True:
            part = flow.take()
            if flow.let_go and not gone:
                gone = True
                let_go()
            waits.room.set()
            if part is None and not flow.done:
                waits.more.clear()
                await waits.more.wait()
                continue
            data = http1.chunk_bytes(part or b"") if chunked else part or b""
            async with asyncio.timeout(STILL_S):
                await loop.sock_sendall(sock, data)
            if part is None:
                flow.sent = True
                return
    except Exception as error:  # whatever it is, nothing else would end the call, which has no time yet
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        if not isinstance(error, OSError):
            raise


class Pour:
    """An answer that has begun, on its way to its client."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, head: http1.Head, old: bool, close: bool
    ) -> None:
        self._loop, self._sock = loop, sock
        self._chunked = head.length is None and not old
        self.closes = close or (head.length is None and old)  # its end is the connection's
        self._head = http1.begin_bytes(head, self._chunked, self.closes)

    async def write(self, data: bytes) -> None:
        """The next piece, and the head before the first one."""
        if data and self._chunked:
            data = http1.chunk_bytes(data)
        data, self._head = self._head + data, b""
        if data:
            await self._send(data)

    async def end(self) -> None:
        """All of it has been written."""
        if self._chunked or self._head:
            await self._send(self._head + (http1.chunk_bytes(b"") if self._chunked else b""))

    async def _send(self, data: bytes) -> None:
        async with asyncio.timeout(STILL_S):
            await self._loop.sock_sendall(self._sock, data)
