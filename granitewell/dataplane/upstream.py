"""Connections to servers: aiohttp's client protocol (its parser and body streams) under a pool of our own.

`aiohttp.ClientSession` is not used, as it doesn't tell what the rules ask of a connection: whether a byte of
a request was written (else it has not run), whether bytes came while it was idle (they belong to no
request), which incarnation of a server it leads to, and how long that server keeps it open. Path, query and
headers are written byte for byte as they came.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import EofStream, StreamReader

from granitewell.dataplane.headers import REQUEST_ID, parse_keep_alive
from granitewell.model.errors import GranitewellError
from granitewell.model.servers import Server

CONNECT_TIMEOUT_S = 0.4  # a lost opening packet is sent again after seconds: another server is sooner
SILENT_KEEP_ALIVE_S = 0.4  # use of an idle connection whose server doesn't say how long it keeps it
KEEP_ALIVE_MARGIN_S = 0.5  # before the server closes an idle connection: a request must not cross that
KEEP_ALIVE_PART = 0.6  # of the server's time, where that is short
MOST_IDLE_A_SERVER = 32
EARLIER_REQUESTS = 8  # of a connection, of which a second answer may come late
MOST_HEAD_BYTES = 65_536  # of an answer's line or header
MOST_HEADERS = 256
MOST_BODY_BYTES = 32 * 1024 * 1024  # of an answer that is read whole
DEAD_AFTER_MS = 1_500  # unacknowledged bytes or probes for so long: the server's machine is gone
PROBE_EVERY_S = 1  # of a silent connection, by the kernel

BREAKS = (ClientError, HttpProcessingError, OSError, EofStream)
"""What aiohttp raises when an answer doesn't come whole."""


class NotWritten(GranitewellError):
    """No connection, or it ended before a byte of the request was written."""


class BrokenAnswer(GranitewellError):
    """What came is no whole answer to this request."""


class UpstreamConnection(ResponseHandler):
    """One connection to one incarnation of a server; one request at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, forget: Callable[[UpstreamConnection], None]) -> None:
        super().__init__(loop)
        self._forget = forget
        self.server_id = ""
        self.idle_since = 0.0
        self.idle_for = SILENT_KEEP_ALIVE_S
        self._idle = True  # no request is out: whatever comes belongs to none
        self._body_left = -1  # bytes of the answer's body to come, -1: not known, or not by length
        self._in_head = True
        self._no_body = False
        self._surplus = b""  # what came behind a whole answer
        self._notices_death = False
        self._earlier: deque[str] = deque(maxlen=EARLIER_REQUESTS)  # ids of requests that it has carried

    # --- Bytes from the server --------------------------------------------------------------------------
    def connection_lost(self, exc: BaseException | None) -> None:
        """The pool must not give it out again."""
        super().connection_lost(exc)
        self._forget(self)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser no byte beyond an answer whose length is known: one stray byte there would spoil
        the whole answer before it."""
        if self._idle and data:
            self.abort()
            return
        while self._in_head and (end := data.find(b"\r\n\r\n")) >= 0 and end + 4 < len(data):
            super().data_received(data[: end + 4])
            data = data[end + 4 :]
        if not self._in_head and 0 <= self._body_left < len(data):
            self._surplus += data[self._body_left :]
            data = data[: self._body_left]
            if not data:
                return
        super().data_received(data)
        if not self._in_head and self._body_left > 0:
            self._body_left -= len(data)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """A head has come: note how long its body is."""
        message = data[0]
        if message.code >= 200:
            self._in_head = False
            self._body_left = _body_length(message, self._no_body)
        super().feed_data(data, size)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Each read of a body asks for this, paused or not; the library would run its parser each time."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    # --- A request --------------------------------------------------------------------------------------
    @property
    def usable(self) -> bool:
        """Whether a request may be written to it."""
        return self.is_connected() and not self.should_close

    def write(self, request: bytes, *, method: str, repeatable: bool) -> None:
        """Write a whole request; raises NotWritten, after which nothing of it can have arrived."""
        if not self.usable or self.transport is None:
            raise NotWritten("the connection had ended")
        self._idle = False
        self._no_body = method == "HEAD"
        self._expect_head()
        self.set_response_params(
            skip_payload=self._no_body,
            read_until_eof=False,
            auto_decompress=False,
            max_line_size=MOST_HEAD_BYTES,
            max_field_size=MOST_HEAD_BYTES,
            max_headers=MOST_HEADERS,
        )
        self._notice_death(repeatable)
        self.transport.write(request)

    def _expect_head(self) -> None:
        self._in_head, self._body_left = True, -1

    def _notice_death(self, wanted: bool) -> None:
        """Whether the connection ends when the server's machine says nothing at all. Only where the request
        may be repeated: else nothing is won by an early end, and a cut link may heal."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or wanted == self._notices_death:
            return
        self._notices_death = wanted
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_AFTER_MS if wanted else 0)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_EVERY_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(wanted))

    async def read_head(self, request_id: str) -> tuple[RawResponseMessage, StreamReader]:
        """The head of the answer to this request; raises BrokenAnswer. One late answer to an earlier request
        may come in its place: it is read and dropped, and the connection not used again."""
        message, body = await self._next_head()
        told = message.headers.get(REQUEST_ID)
        if told != request_id and told in self._earlier:
            self.force_close()
            await self.read_body(body)
            self._expect_head()
            surplus, self._surplus = self._surplus, b""
            if surplus:
                self.data_received(surplus)
            message, body = await self._next_head()
        if message.headers.get(REQUEST_ID) != request_id:
            raise BrokenAnswer("an answer to another request")
        self._earlier.append(request_id)
        if not _ends_by_itself(message, self._no_body):
            raise BrokenAnswer("an answer whose end can't be told")
        return message, body

    async def _next_head(self) -> tuple[RawResponseMessage, StreamReader]:
        while True:
            try:
                message, body = await self.read()
            except BREAKS as error:
                raise BrokenAnswer(repr(error)) from error
            if message.code >= 200:
                return message, body

    async def read_body(self, body: StreamReader) -> bytes:
        """A whole body; raises BrokenAnswer."""
        parts: list[bytes] = []
        size = 0
        while part := await self.read_part(body):
            parts.append(part)
            size += len(part)
            if size > MOST_BODY_BYTES:
                raise BrokenAnswer("a body beyond all bounds")
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def read_part(self, body: StreamReader) -> bytes:
        """What has come of a body; empty at its proper end; raises BrokenAnswer."""
        try:
            return await body.readany()
        except BREAKS as error:
            raise BrokenAnswer(repr(error)) from error

    def rest(self, message: RawResponseMessage, now: float) -> None:
        """The answer has come whole."""
        self._idle = True
        self.idle_since = now
        told = parse_keep_alive(message.headers.get("Keep-Alive"))
        if told is None:
            self.idle_for = SILENT_KEEP_ALIVE_S
        else:
            self.idle_for = max(told - KEEP_ALIVE_MARGIN_S, told * KEEP_ALIVE_PART)
        if self._surplus:
            self.force_close()


def _body_length(message: RawResponseMessage, no_body: bool) -> int:
    """Bytes of its body; -1 where it has chunks or does not tell."""
    if no_body or message.code in (204, 304):
        return 0
    length = message.headers.get("Content-Length")
    if message.chunked or length is None or not length.isdigit():
        return -1
    return int(length)


def _ends_by_itself(message: RawResponseMessage, no_body: bool) -> bool:
    return message.chunked or _body_length(message, no_body) >= 0


class UpstreamPool:
    """Idle connections by server, and new ones."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self._busy: set[UpstreamConnection] = set()

    async def connection(self, server: Server) -> UpstreamConnection:
        """An idle connection that its server keeps open, or a new one; raises NotWritten."""
        connection = self._take_idle(server.id)
        if connection is None:
            connection = await self._connect(server)
        self._busy.add(connection)
        return connection

    def _take_idle(self, server_id: str) -> UpstreamConnection | None:
        idle = self._idle.get(server_id)
        now = self._clock()
        while idle:
            connection = idle.pop()
            if connection.usable and now - connection.idle_since < connection.idle_for:
                return connection
            connection.close()
        return None

    async def _connect(self, server: Server) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        host, _, port = server.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(loop, self._forget), host, int(port)
                )
        except (OSError, ValueError) as error:  # a TimeoutError is an OSError
            raise NotWritten(f"{server.address}: {error!r}") from error
        connection.server_id = server.id
        return connection

    def release(self, connection: UpstreamConnection, message: RawResponseMessage | None) -> None:
        """A request has ended on it; message: the head of its whole answer, None for any other end."""
        self._busy.discard(connection)
        if message is None:
            connection.abort()
            return
        connection.rest(message, self._clock())
        idle = self._idle.setdefault(connection.server_id, deque())
        if not connection.usable or len(idle) >= MOST_IDLE_A_SERVER:
            connection.close()
            if not idle:
                self._idle.pop(connection.server_id, None)
            return
        idle.append(connection)

    def _forget(self, connection: UpstreamConnection) -> None:
        idle = self._idle.get(connection.server_id)
        if idle is None:
            return
        with contextlib.suppress(ValueError):
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.server_id, None)

    def close_server(self, server_id: str) -> None:
        """The server is gone: its idle connections are of no use."""
        for connection in list(self._idle.pop(server_id, ())):
            connection.close()

    def close(self) -> None:
        """Close them all."""
        for server_id in list(self._idle):
            self.close_server(server_id)
        for connection in list(self._busy):
            connection.abort()
