"""Streaming of bodies over 64 KiB: from a client to an endpoint, and from an endpoint to a client.

Bodies are read in pieces, whose size follows from a memory budget that all streams share, and no more than a
few pieces of one body are in memory at a time. Nothing is sent twice. The core decides what becomes of a
request: it is told when a body begins, is complete, is discarded and ends.

Back-pressure is that of the two connections: what one side does not accept is not read from the other.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from granitewell.net import http1

MIN_READ_BYTES, MAX_READ_BYTES = 8 * 1024, 64 * 1024  # read from a stream at a time
# a stream may hold its read buffer, the parsed and the framed copy, and one with the kernel; a request holds
# up to 64 KiB besides, which are kept for a retry
READS_HELD_PER_STREAM = 4
BASELINE_MB = 44.0  # of the memory limit, used by the process without bodies
STREAM_MEMORY_RATIO = 0.5  # of the remaining memory, for streams
# between two pieces of a response that is not yet forwarded: faulty endpoints stop in the middle
RESPONSE_GAP_TIMEOUT_S = 0.4
MAX_RESPONSE_BUFFERING_S = 0.1  # of a response of unknown length, before it is forwarded to its client
STREAM_STALL_TIMEOUT_S = 20.0  # without progress on either side of a stream


class MemoryBudget:
    """Memory for streams. The more streams share it, the smaller their reads; none waits for another."""

    def __init__(self, memory_mb: float) -> None:
        """Derive the budget from the process's memory limit."""
        self.max_bytes = int(max(memory_mb - BASELINE_MB, memory_mb / 8) * STREAM_MEMORY_RATIO * 1024 * 1024)
        self.streams = 0
        self.buffered_bytes = 0  # of bodies up to 64 KiB; streams get what these leave

    def read_size(self) -> int:
        """Return how many bytes a stream may read at a time now."""
        share = max(self.max_bytes - self.buffered_bytes, 0) // (READS_HELD_PER_STREAM * max(self.streams, 1))
        return min(max(share, MIN_READ_BYTES), MAX_READ_BYTES)


class BodySignals:
    """Events between the reader and the writer of a request body."""

    def __init__(self) -> None:
        self.data_available, self.space_available = asyncio.Event(), asyncio.Event()

    async def wait_for_space(self, body: http1.StreamedBody) -> None:
        """Wait until less than a piece of the body is unread.

        A client that leaves meanwhile is noticed at the next read.
        """
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
    """Write a request's body to its endpoint as it arrives.

    Returns without an error if the endpoint stops reading: the task that reads the response sees how that
    ends, and `body.fully_sent` tells whether the last byte was written.

    Args:
        loop: The event loop.
        sock: The connection to the endpoint.
        body: The body.
        signals: Events that connect this task with the one that reads from the client.
        on_discard: Called once, when the first bytes are dropped, after which the request can't be retried.
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
    except Exception as error:  # on any error: nothing else would end the call, whose deadline is not set yet
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        if not isinstance(error, OSError):
            raise


class ResponseStream:
    """A response that is forwarded to its client as it arrives."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        head: http1.ResponseHead,
        is_http10: bool,
        close: bool,
    ) -> None:
        """Choose the framing.

        Args:
            loop: The event loop.
            sock: The client's connection.
            head: The head of the endpoint's response.
            is_http10: The client speaks HTTP/1.0, so that the body can't be chunked.
            close: The connection ends after this response.
        """
        self._loop, self._sock = loop, sock
        self._chunked = head.length is None and not is_http10
        # the end of the connection marks the end of the body
        self.closes_connection = close or (head.length is None and is_http10)
        self._head = http1.response_head_bytes(head, self._chunked, self.closes_connection)

    async def write(self, data: bytes) -> None:
        """Write the next piece, preceded by the head the first time."""
        if data and self._chunked:
            data = http1.chunk_bytes(data)
        data, self._head = self._head + data, b""
        if data:
            await self._send(data)

    async def end(self) -> None:
        """Finish the body."""
        if self._chunked or self._head:
            await self._send(self._head + (http1.chunk_bytes(b"") if self._chunked else b""))

    async def _send(self, data: bytes) -> None:
        async with asyncio.timeout(STREAM_STALL_TIMEOUT_S):
            await self._loop.sock_sendall(self._sock, data)
