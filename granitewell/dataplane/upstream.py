"""Connection to a server: aiohttp's client protocol (parser and body streams), used request by request.

`aiohttp.ClientSession` is not used because it doesn't tell whether a byte of a request was written (otherwise
the request was not executed), whether bytes arrived that belong to no request, which incarnation of a server
a connection leads to, and how long that server keeps it open. Path, query and headers are written byte for
byte as the client sent them.

Effect of an event in each state. "Not executed": the request was certainly not executed. "Broken": it may
have been executed. "Reused": the connection may carry another request; otherwise it is reset.

    state                  reset or close          bytes from the server                    left or timed out
    ---------------------  ----------------------  ---------------------------------------  -----------------
    connecting             not executed            -                                        abandoned
    idle, nothing written  dropped; a write that   belong to no request: reset              -
                           the kernel refuses is
                           "not executed"
    partly written         broken                  handled as usual; not reused while       reset
                                                   bytes of the request are unsent
    completely written     broken                  the head                                 reset
    head                   broken                  1xx is skipped, 101 is broken; one late  reset
                                                   response to an earlier request is
                                                   dropped, and the connection not reused;
                                                   another id, two ids, codings other than
                                                   chunked: broken
    body with length or    broken                  the body, to its end                     reset
    in chunks
    body without length    close: complete;        the body                                 reset
                           reset: broken
    complete               the response counts     belong to no request: not reused         response counts

A head with `Granitewell-Not-Executed` (503, 429, 408) or a 421 proves "not executed" once it has arrived,
whatever follows. Only the request id distinguishes a late response from the pending one, so a connection
never carries the same id twice.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections import deque
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import EofStream, StreamReader

from granitewell.dataplane.framing import (
    BodyFraming,
    ChunkedFraming,
    CloseFraming,
    HeadFraming,
    LengthFraming,
    MalformedFramingError,
)
from granitewell.dataplane.headers import REQUEST_ID, parse_keep_alive
from granitewell.domain.errors import GranitewellError

DEFAULT_KEEP_ALIVE_S = 0.4  # reuse of an idle connection whose server doesn't announce its idle timeout
KEEP_ALIVE_MARGIN_S = 0.5  # before the server's idle timeout, so that a request doesn't cross with the close
KEEP_ALIVE_RATIO = 0.6  # of the server's idle timeout, where that is short
MAX_EARLIER_REQUESTS = 8  # per connection, of which a late second response is recognized
MAX_HEAD_BYTES = 65_536  # per line or header of a response
MAX_HEADERS = 256
SWITCHING_PROTOCOLS = 101
BODYLESS_STATUSES = frozenset({204, 304})
MAX_BODY_BYTES = 32 * 1024 * 1024  # of a response that is buffered
PEER_TIMEOUT_MS = 1_500  # without acknowledgement of bytes or probes: the server's machine is gone
KEEPALIVE_PROBE_INTERVAL_S = 1  # of TCP keepalive


READ_ERRORS = (ClientError, HttpProcessingError, OSError, EofStream)
"""Errors that aiohttp raises when a response does not arrive completely."""


class RequestNotWrittenError(GranitewellError):
    """There is no connection, or it was closed before a byte of the request was written."""


class BrokenResponseError(GranitewellError):
    """The server sent no complete response to this request."""


class UpstreamConnection(ResponseHandler):
    """One connection to one incarnation of a server, with one request at a time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_lost: Callable[[UpstreamConnection], None]
    ) -> None:
        super().__init__(loop)
        self._on_lost = on_lost
        self.server_id = ""
        self.idle_since = 0.0
        self.max_idle_s = DEFAULT_KEEP_ALIVE_S
        self._idle = True  # no request is pending, so that any byte received is unexpected
        self._no_body = False
        self._malformed = ""  # why the bytes received are no response; "" if they are one
        self._extra_bytes = b""  # bytes after a complete response
        self._closed_by_server = False
        self._detects_dead_peer = False
        self._earlier_ids: deque[str] = deque(maxlen=MAX_EARLIER_REQUESTS)  # of requests
        self._head = HeadFraming()
        self._body: BodyFraming = LengthFraming(0)
        self._in_head = True

    # --- Bytes from the server --------------------------------------------------------------------------
    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark the connection as unusable."""
        super().connection_lost(exc)
        self._on_lost(self)

    def eof_received(self) -> None:
        """Handle a close by the server, which will not read the rest of a request."""
        self._closed_by_server = True
        super().eof_received()
        if not self.all_written and self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser with the bytes of the response and none after it.

        A stray byte would invalidate the complete response before it. With empty data the parser continues
        with the bytes that it has.
        """
        if not data:
            super().data_received(data)
        elif self._idle:
            self.abort()
        elif not self._in_head:
            self._body_received(data)
        elif rest := self._head_received(data):
            self._body_received(rest)

    def _head_received(self, data: bytes) -> bytes:
        """Feed the parser with the head; return the bytes after it."""
        while data and self._in_head:
            taken, ended = self._head.consume(data)
            super().data_received(data[:taken])
            data = data[taken:]
            if not ended and not self._in_head:
                self._malformed = "a head without a blank line at its end"
        return data

    def _body_received(self, data: bytes) -> None:
        try:
            taken = self._body.consume(data)
        except MalformedFramingError as error:
            self._malformed, taken = str(error), len(data)  # the parser reports the error
            self.force_close()
        if taken < len(data):
            self._extra_bytes += data[taken:]
            data = data[:taken]
        if data:
            super().data_received(data)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Handle a parsed head: select the framing of its body."""
        message = data[0]
        if message.code >= 200:
            self._in_head = False
            self._body = _body_framing(message, self._no_body)
        super().feed_data(data, size)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused.

        Otherwise aiohttp would run its parser for each read of a body.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    # --- Requests ---------------------------------------------------------------------------------------
    @property
    def usable(self) -> bool:
        """Whether a request may be written to it."""
        return self.is_connected() and not self.should_close

    @property
    def all_written(self) -> bool:
        """Whether all bytes of its requests have been passed to the kernel."""
        return self.transport is None or not self.transport.get_write_buffer_size()

    @property
    def used_before(self) -> bool:
        """Whether a response has arrived on it before."""
        return bool(self._earlier_ids)

    def has_carried(self, request_id: str) -> bool:
        """Return whether it has carried an attempt of this request, whose response may still arrive late."""
        return request_id in self._earlier_ids

    def has_nothing_unread(self) -> bool:
        """Return whether the socket has no unread bytes and no unread close.

        The event loop reads both a moment after they have arrived.
        """
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def write(self, request: bytes, *, method: str, repeatable: bool) -> None:
        """Write a complete request.

        Raises:
            RequestNotWrittenError: No byte of it can have reached the server.
        """
        if not self.usable or self.transport is None:
            raise RequestNotWrittenError("the connection had ended")
        self._idle = False
        self._no_body = method == "HEAD"
        self._expect_head()
        self.set_response_params(
            skip_payload=self._no_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEADERS,
        )
        self._set_dead_peer_detection(repeatable)
        self.transport.write(request)
        if self.transport.is_closing():
            raise RequestNotWrittenError("the kernel refused the first byte")

    def _expect_head(self) -> None:
        self._head = HeadFraming()
        self._in_head = True

    def _set_dead_peer_detection(self, wanted: bool) -> None:
        """Set whether the connection is closed when the server's machine stops acknowledging.

        It is set for idempotent requests. Others can't be retried then, and a broken link may recover.
        """
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or wanted == self._detects_dead_peer:
            return
        self._detects_dead_peer = wanted
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, PEER_TIMEOUT_MS if wanted else 0)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_INTERVAL_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(wanted))

    async def read_head(self, request_id: str) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the response to this request; raises BrokenResponseError.

        One late response to an earlier request may arrive first: it is read and dropped, and the connection
        is not reused.
        """
        message, body = await self._next_head()
        announced = message.headers.get(REQUEST_ID)
        if announced != request_id and announced in self._earlier_ids:
            self.force_close()
            await self.read_body(body)
            self._expect_head()
            extra_bytes, self._extra_bytes = self._extra_bytes, b""
            if extra_bytes:
                self.data_received(extra_bytes)
            message, body = await self._next_head()
        if message.headers.getall(REQUEST_ID, ()) != [request_id]:
            raise BrokenResponseError("a response to another request")
        self._earlier_ids.append(request_id)
        return message, body

    async def _next_head(self) -> tuple[RawResponseMessage, StreamReader]:
        while True:
            try:
                message, body = await self.read()
            except READ_ERRORS as error:
                raise BrokenResponseError(repr(error)) from error
            if self._malformed or message.code == SWITCHING_PROTOCOLS or not _coding_is_known(message):
                raise BrokenResponseError(self._malformed or "a malformed response")
            if message.code >= 200:
                return message, body

    async def read_body(self, body: StreamReader) -> bytes:
        """Return a complete body; raises BrokenResponseError."""
        parts: list[bytes] = []
        size = 0
        while part := await self.read_part(body):
            parts.append(part)
            size += len(part)
            if size > MAX_BODY_BYTES:
                raise BrokenResponseError("a body that is too large")
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def read_part(self, body: StreamReader) -> bytes:
        """Return the next bytes of a body, empty at its end; raises BrokenResponseError."""
        try:
            part = await body.readany()
        except READ_ERRORS as error:
            raise BrokenResponseError(repr(error)) from error
        if not part and self.ends_with_connection and not self._closed_by_server:
            raise BrokenResponseError("a response without length was reset")
        return part

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body ends when the connection is closed."""
        return isinstance(self._body, CloseFraming)

    def mark_idle(self, message: RawResponseMessage, now: float) -> None:
        """Record that the response is complete and how long the connection may stay idle."""
        self._idle = True
        self.idle_since = now
        announced = parse_keep_alive(message.headers.get("Keep-Alive"))
        if announced is None:
            self.max_idle_s = DEFAULT_KEEP_ALIVE_S
        else:
            self.max_idle_s = max(announced - KEEP_ALIVE_MARGIN_S, announced * KEEP_ALIVE_RATIO)
        if self._extra_bytes or not self._body.is_complete or not self.all_written:
            self.force_close()


def _body_framing(message: RawResponseMessage, no_body: bool) -> BodyFraming:
    if no_body or message.code in BODYLESS_STATUSES:
        return LengthFraming(0)
    if message.chunked:
        return ChunkedFraming()
    length = message.headers.get("Content-Length")
    if length is not None and length.isdigit():
        return LengthFraming(int(length))
    return CloseFraming()


def _coding_is_known(message: RawResponseMessage) -> bool:
    codings = message.headers.getall("Transfer-Encoding", ())
    return not codings or [coding.strip().lower() for coding in codings] == ["chunked"]
