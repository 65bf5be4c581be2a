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

MIN_READ_BYTES, MAX_READ_BYTES = 8 * 1024, 64 * 1024  # bytes read at a time
READS_HELD_PER_STREAM = (
    4  # pieces that a flow may hold at once: its buffer, parsed, framed, and with the kernel. A request
)
# holds up to 64 KiB besides, which are kept so that it may go again
BASELINE_MB = 44.0  # of the memory limit, what the process takes without bodies
STREAM_MEMORY_RATIO = 0.5  # of what is left, that flows may hold
RESPONSE_GAP_TIMEOUT_S = (
    0.4  # between two pieces of an answer that has not begun for its client: spoilt ones stand still
)
MAX_RESPONSE_BUFFERING_S = (
    0.1  # for which an answer of unknown length may be gathered before it begins for its client
)
STREAM_STALL_TIMEOUT_S = 20.0  # for either side of a body that is under way


class MemoryBudget:
    """Bytes that flows hold together. Where many share it the pieces get smaller; none waits for another."""

    def __init__(self, memory_mb: float) -> None:
        self.max_bytes = int(max(memory_mb - BASELINE_MB, memory_mb / 8) * STREAM_MEMORY_RATIO * 1024 * 1024)
        self.streams = 0
        self.buffered_bytes = (
            0  # bytes of bodies up to 64 KiB that are held whole; what flows gives way to them
        )

    def read_size(self) -> int:
        """The bytes that a flow may read at a time now."""
        share = max(self.max_bytes - self.buffered_bytes, 0) // (READS_HELD_PER_STREAM * max(self.streams, 1))
        return min(max(share, MIN_READ_BYTES), MAX_READ_BYTES)


class BodySignals:
    """What the two ends of a request body wait with: for more of it, and for room to read on."""

    def __init__(self) -> None:
        self.data_available, self.space_available = asyncio.Event(), asyncio.Event()

    async def wait_for_space(self, body: http1.StreamedBody) -> None:
        """Until less than a piece is unread. A client that leaves meanwhile is seen once it is read again."""
        while body.unread_bytes > http1.MAX_BUFFERED_BODY_BYTES and not body.done:
            self.space_available.clear()
            await self.space_available.wait()


async def forward_request_body(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    body: http1.StreamedBody,
    signals: BodySignals,
    on_discard: Callable[[], None],
) -> None:
    """Write a request's body as it comes.

    Ends quietly where the endpoint takes no more: whoever reads the answer there sees how that ends, and
    `flow.sent` whether the last byte was written.
    """
    chunked, notified = body.length is None, False
    try:
        while True:
            part = body.take()
            if body.discarded and not notified:
                notified = True
                on_discard()
            signals.space_available.set()
            if part is None and not body.done:
                signals.data_available.clear()
                await signals.data_available.wait()
                continue
            data = http1.chunk_bytes(part or b"") if chunked else part or b""
            async with asyncio.timeout(STREAM_STALL_TIMEOUT_S):
                await loop.sock_sendall(sock, data)
            if part is None:
                body.fully_sent = True
                return
    except Exception as error:  # whatever it is, nothing else would end the call, which has no time yet
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        if not isinstance(error, OSError):
            raise


class ResponseStream:
    """An answer that has begun, on its way to its client."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        head: http1.ResponseHead,
        is_http10: bool,
        close: bool,
    ) -> None:
        self._loop, self._sock = loop, sock
        self._chunked = head.length is None and not is_http10
        self.closes_connection = close or (head.length is None and is_http10)  # its end is the connection's
        self._head = http1.response_head_bytes(head, self._chunked, self.closes_connection)

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
        async with asyncio.timeout(STREAM_STALL_TIMEOUT_S):
            await self._loop.sock_sendall(self._sock, data)
