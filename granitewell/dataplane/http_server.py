"""HTTP server for clients: aiohttp's low-level server, with one handler call per request.

A request is read completely, within the limits of the configuration in force, before it is routed.
"""

from __future__ import annotations

import asyncio
import json
import math
import select
import socket
import struct
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import logbook
from aiohttp import web
from aiohttp.http import HttpVersion11
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from multidict import CIMultiDict

from granitewell.dataplane.addresses import host_and_port
from granitewell.dataplane.request_forwarder import LocalReply, UpstreamResponse
from granitewell.dataplane.server_log import QUIET_LOGGER
from granitewell.domain.configuration import Limits
from granitewell.domain.errors import GranitewellError

SWEEP_INTERVAL_S = 0.5  # between checks of the header timeout and the idle timeout
LISTEN_BACKLOG = 1_024  # connections that wait for accept; a dropped one is retried only after seconds
MAX_HEADERS = 512  # per request, besides the limit in bytes
DEFECT_LOG_INTERVAL_S = 5.0  # between log lines about internal errors
LINGERING_TIME_S = 2.0  # for which a rejected body is read, as a reset could discard the response
MAX_HEAD_BYTES = 65_536  # of a head that is parsed at all, or the limit in force if that is higher
AIOHTTP_KEEP_ALIVE_S = 86_400.0  # disables aiohttp's own timeout; see HttpServer._sweep
UNSENT_POLL_INTERVAL_S = 0.02  # between checks whether the last responses have been sent

_log = logbook.Logger("granitewell.dataplane")

Handler = Callable[[BaseRequest], Awaitable[web.StreamResponse]]


def has_more_requests(request: BaseRequest) -> bool:
    """Return whether further pipelined requests of the connection have been read."""
    connection = request.protocol
    return isinstance(connection, ClientConnection) and connection.has_more_requests


def peer_has_closed(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer has closed a connection, even if the event loop has not read that yet.

    After a stall of the process, requests are read whose clients have disconnected long ago.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return False
    descriptor = sock.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


class RejectedRequestError(GranitewellError):
    """A request is rejected.

    Attributes:
        status: HTTP status code of the response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class DefectLog:
    """Logs internal errors, at a limited rate."""

    def __init__(self) -> None:
        self._logged_at = -math.inf
        self._unlogged = 0

    def record(self, error: BaseException, now: float) -> None:
        """Log that a request ended in an unexpected error."""
        if now - self._logged_at < DEFECT_LOG_INTERVAL_S:
            self._unlogged += 1
            return
        _log.error("request failed by a defect", not_logged=self._unlogged, exc_info=error)
        self._logged_at, self._unlogged = now, 0


_defects = DefectLog()


class ClientConnection(RequestHandler):
    """A connection of a client, with the times needed for the header timeout and the idle timeout."""

    def __init__(self, *args: Any, idle_timeout_s: float, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.head_started_at: float | None = None
        self._active_at = asyncio.get_running_loop().time()
        self._idle_timeout_s = idle_timeout_s  # as of its start, which its client may rely on
        self._head_bytes = 0  # bytes of an incomplete head

    def data_received(self, data: bytes) -> None:
        """Pass bytes to aiohttp; bytes that complete no head and belong to no body are part of a head."""
        self.mark_active()
        before = self._request_count
        super().data_received(data)
        if self._request_count != before or self._request_in_progress or self._messages:
            self.head_started_at, self._head_bytes = None, 0
        elif data:
            self._count_head_bytes(len(data))

    def _count_head_bytes(self, count: int) -> None:
        if self.head_started_at is None:
            self.head_started_at = asyncio.get_running_loop().time()
        if not self.idle:
            return  # the rest of a rejected body is being discarded
        self._head_bytes += count
        server = self._manager
        if isinstance(server, ClientServer) and self._head_bytes > server.max_head_bytes:
            self.force_close()

    def mark_active(self) -> None:
        """Record that bytes have arrived or a response has ended."""
        self._active_at = asyncio.get_running_loop().time()

    @property
    def idle(self) -> bool:
        """Whether it waits for the next request."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_more_requests(self) -> bool:
        """Whether pipelined requests have been read and wait for the current one."""
        return bool(self._messages)

    def idle_too_long(self, now: float, idle_timeout_s: float) -> bool:
        """Return whether it is idle for longer than the limit in force and the limit at its start."""
        return self.idle and now - self._active_at > max(idle_timeout_s, self._idle_timeout_s)

    def close_if_idle(self) -> None:
        """Close it if it waits for a request."""
        if self.idle:
            self.force_close()

    def close_after_response(self) -> None:
        """Close it once the current response is written.

        It can't be closed sooner, because aiohttp reads no more of a body after `close`.
        """
        if not self.has_more_requests:
            self.close()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,  # noqa: ARG002  aiohttp's signature
    ) -> web.StreamResponse:
        """Return the response to a malformed request or to one that failed with an internal error.

        It gives no details. Only internal errors are logged.
        """
        if exc is not None and status >= 500:
            _defects.record(exc, asyncio.get_running_loop().time())
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun")
        if isinstance(exc, LineTooLong):
            status = 431
        response = local_response(
            LocalReply(status, "malformed request" if status < 500 else "internal error")
        )
        response.force_close()
        return response


class ClientServer(web.Server):
    """Creates connections with the limits in force."""

    def __init__(self, handler: Handler, limits: Limits) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.limits = limits

    @property
    def max_head_bytes(self) -> int:
        """Maximum size of a head that aiohttp parses.

        `check_head` applies the limit in force, also to older connections.
        """
        return max(self.limits.max_header_bytes, MAX_HEAD_BYTES)

    @property
    def transports(self) -> dict[ClientConnection, asyncio.Transport]:
        """Transports by connection, including those that are closing."""
        return {c: t for c, t in self._connections.items() if isinstance(c, ClientConnection)}

    def __call__(self) -> RequestHandler:
        """Create a connection."""
        limits = self.limits
        return ClientConnection(
            self,
            loop=self._loop,
            access_log=None,
            logger=QUIET_LOGGER,
            idle_timeout_s=limits.idle_timeout_ms / 1000.0,
            keepalive_timeout=AIOHTTP_KEEP_ALIVE_S,
            max_line_size=self.max_head_bytes,
            max_field_size=self.max_head_bytes,
            max_headers=MAX_HEADERS,
            lingering_time=LINGERING_TIME_S,
            auto_decompress=False,
        )


class HttpServer:
    """Listens for clients and counts the requests in progress."""

    def __init__(self, handler: Handler, limits: Limits) -> None:
        self._handler = handler
        self._limits = limits
        self._server: ClientServer | None = None
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self.port = 0  # actual port, once it listens
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._stopping = False

    async def start(self, address: str) -> None:
        """Listen on `ip:port`."""
        host, port = host_and_port(address)
        loop = asyncio.get_running_loop()
        self._server = ClientServer(self._handle_counted, self._limits)
        self._listener = await loop.create_server(
            self._server, host, port, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        self.port = int(self._listener.sockets[0].getsockname()[1])
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def set_limits(self, limits: Limits) -> None:
        """Set the limits for new connections and requests."""
        self._limits = limits
        if self._server is not None:
            self._server.limits = limits

    async def _handle_counted(self, request: BaseRequest) -> web.StreamResponse:
        self._in_progress += 1
        self._idle.clear()
        try:
            return await self._handler(request)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()
            connection = request.protocol
            if isinstance(connection, ClientConnection):
                connection.mark_active()
                if self._stopping:
                    connection.close_after_response()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = loop.time()
        latest = now - self._limits.header_timeout_ms / 1000.0
        idle_timeout_s = self._limits.idle_timeout_ms / 1000.0
        for connection in self._connections():
            if connection.head_started_at is not None:
                if connection.head_started_at < latest:
                    connection.force_close()
            elif connection.idle_too_long(now, idle_timeout_s):
                connection.force_close()

    def _connections(self) -> list[ClientConnection]:
        return list(self._server.transports) if self._server is not None else []

    # --- Shutdown ---------------------------------------------------------------------------------------
    def stop_listening(self) -> None:
        """Accept no new connections; close idle ones now and the others after their response."""
        self._stopping = True
        if self._listener is not None:
            self._listener.close()
        for connection in self._connections():
            connection.close_if_idle()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress and all responses have been sent.

        What a slow client has not read when `abort` is called is lost.
        """
        while self._in_progress or self._unsent():
            await self._idle.wait()
            await asyncio.sleep(UNSENT_POLL_INTERVAL_S)

    def _unsent(self) -> bool:
        if self._server is None:
            return False
        connections = self._server.transports.items()
        return any(c.has_more_requests or t.get_write_buffer_size() for c, t in connections)

    def abort(self) -> None:
        """Abort the remaining connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in self._connections():
            if connection.transport is not None:
                connection.transport.abort()


# --- Reading a request ----------------------------------------------------------------------------------
def check_head(request: BaseRequest, limits: Limits) -> None:
    """Raise RejectedRequestError for a head beyond the limits or with an ambiguous host."""
    size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers) + len(request.raw_path)
    if size > limits.max_header_bytes:
        raise RejectedRequestError(431, "headers beyond the limit")
    if len(request.headers.getall("Host", ())) != 1:
        raise RejectedRequestError(400, "one Host header is needed")
    if not request.raw_path.startswith("/"):
        raise RejectedRequestError(400, "a path is needed")


async def read_body(request: BaseRequest, limits: Limits) -> bytes | None:
    """Return the complete body, None if there is none; raises RejectedRequestError."""
    if not request.body_exists and request.content_length is None:
        return None
    max_bytes = limits.max_body_bytes
    if (request.content_length or 0) > max_bytes:
        raise RejectedRequestError(413, "a body beyond the limit")
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
    try:
        async with asyncio.timeout(limits.header_timeout_ms / 1000.0):
            return await _read_parts(request, max_bytes)
    except TimeoutError as error:
        raise RejectedRequestError(408, "the body took too long") from error
    except (web.RequestPayloadError, ValueError) as error:
        raise RejectedRequestError(400, "a malformed body") from error


async def _read_parts(request: BaseRequest, max_bytes: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while part := await request.content.readany():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            raise RejectedRequestError(413, "a body beyond the limit")
    return parts[0] if len(parts) == 1 else b"".join(parts)


# --- Responses ------------------------------------------------------------------------------------------
def local_response(reply: LocalReply) -> web.Response:
    """Convert a local reply to a JSON response."""
    headers = {"Content-Type": "application/json"}
    if reply.retry_after_s is not None:
        headers["Retry-After"] = f"{reply.retry_after_s:.2f}"
    body = json.dumps({"error": reply.message}).encode()
    return web.Response(status=reply.status, headers=headers, body=body)


def forwarded_response(reply: UpstreamResponse) -> web.Response:
    """Convert a server's response, unchanged."""
    headers = _headers(reply.headers)
    length = headers.pop("Content-Length", None)
    response = web.Response(
        status=reply.status, reason=_reason(reply.status, reply.reason), headers=headers, body=reply.body
    )
    if length is not None and not reply.body:
        response.headers["Content-Length"] = length  # kept in a response to HEAD, which has no body
    return response


def _headers(raw: list[tuple[bytes, bytes]]) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in raw:
        headers.add(name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
    return headers


def _reason(status: int, reason: str) -> str | None:
    """Return the server's reason phrase; None if it is the standard one."""
    try:
        usual = HTTPStatus(status).phrase
    except ValueError:
        usual = ""
    return None if reason == usual else reason


class StreamedResponse:
    """Streams a response to the client; see request_forwarder.ClientStream."""

    def __init__(self, request: BaseRequest, closing: Callable[[], bool]) -> None:
        """Create the response.

        Args:
            request: The client's request.
            closing: Returns whether the connection must not be reused.
        """
        self._request, self._closing = request, closing
        self.response: web.StreamResponse | None = None

    @property
    def began(self) -> bool:
        """Whether the head has been forwarded."""
        return self.response is not None

    async def begin(self, status: int, reason: str, headers: list[tuple[bytes, bytes]]) -> None:
        """Forward the head; it is sent together with the first part."""
        passed = _headers(headers)
        passed.pop("Content-Length", None)
        response = web.StreamResponse(status=status, reason=_reason(status, reason), headers=passed)
        if self._request.version == HttpVersion11:
            response.enable_chunked_encoding()
        else:
            response.force_close()
        if self._closing():
            response.force_close()
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Forward a part immediately."""
        assert self.response is not None
        await self.response.write(data)

    async def end(self) -> None:
        """Complete the response."""
        assert self.response is not None
        await self.response.write_eof()

    def abort_response(self) -> web.StreamResponse:
        """End the response so that the client sees that it is incomplete.

        A chunked response lacks its last chunk, and what has been forwarded still arrives. Without chunks,
        only a reset of the connection shows it.
        """
        assert self.response is not None
        transport = self._request.transport
        if transport is not None:
            if self._request.version != HttpVersion11:
                _reset_on_close(transport)
            transport.close()
        return self.response


def _reset_on_close(transport: asyncio.Transport) -> None:
    """Reset the connection on close, so that a response without a length is seen to be incomplete."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
