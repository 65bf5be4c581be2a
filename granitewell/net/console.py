"""The operators' HTTP address: GET /ready, POST /dispatch-servers/disable and /enable.

Each connection carries one request. A request becomes an event of the core and is answered once the core has
processed it; nothing is decided here. The number of connections is limited, and their descriptors are
reserved apart from those of clients. If all connections are in use, the oldest one without a complete request
is closed. Nothing waits for a client, an endpoint or a file, except for one write to the private folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from typing import Protocol

import httptools

from granitewell import core as c
from granitewell.net.http1 import response
from granitewell.net.sockets import close_socket, listen_on

MAX_CONNECTIONS = 24
BACKLOG = 256
MAX_ACCEPTS_PER_TURN = 32
MAX_HEADER_BYTES = 8 * 1024  # of the request line and headers
MAX_BODY_BYTES = 1024
MAX_REQUEST_BYTES = MAX_HEADER_BYTES + 8 * MAX_BODY_BYTES  # with chunk framing and trailers
REQUEST_TIMEOUT_S = 5.0  # for a complete request
LINGER_S = 0.5  # for the caller to read its answer
READ_BYTES = 2048
READY, DISABLE, ENABLE = b"/ready", b"/dispatch-servers/disable", b"/dispatch-servers/enable"
METHODS = {READY: b"GET", DISABLE: b"POST", ENABLE: b"POST"}
_ENDPOINT_ID = re.compile(rb"[\x21-\x7e]{1,256}\Z")


class RejectedCommandError(Exception):
    """A request that is answered without the core: a status and one line of text."""

    def __init__(self, status: int, text: str, header: str = "") -> None:
        super().__init__(text)
        self.status, self.text, self.header = status, text, header


class ConsoleRequestParser:
    """Parses one operator's request; `done` once it is complete.

    Raises `RejectedCommandError` for anything that is not a valid request.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._size = 0
        self._in_head = True
        self._lengths: set[bytes] = set()
        self.body = b""
        self.path = b""
        self.done = self.expects_continue = False
        self._error: RejectedCommandError | None = None

    def feed(self, data: bytes) -> bool:
        """Parse bytes; return True once the request is complete. What follows it is ignored.

        Raises:
            RejectedCommandError: This is not a valid request.
        """
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.done:
                raise self._error or RejectedCommandError(400, "not a valid HTTP/1.1 request") from None
        if self._error is not None:
            raise self._error
        if self._size > (MAX_HEADER_BYTES if self._in_head else MAX_REQUEST_BYTES):
            raise RejectedCommandError(
                431,
                f"head over {MAX_HEADER_BYTES} bytes, or a request over {MAX_REQUEST_BYTES}",
            )
        return self.done

    # --- Callbacks of httptools -------------------------------------------------------------------------
    def on_url(self, url: bytes) -> None:
        """Add a piece of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the headers that matter."""
        lowered = name.lower()
        if lowered == b"expect" and value.strip().lower() == b"100-continue":
            self.expects_continue = True
        elif lowered == b"content-length":
            self._lengths.add(value.strip())

    def on_headers_complete(self) -> None:
        """Check path, method and length."""
        self._in_head = False
        if self.done or self._error is not None:
            return
        try:
            self.path = httptools.parse_url(self._url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            self._error = RejectedCommandError(400, "the path is malformed")
            return
        allowed = METHODS.get(self.path)
        if allowed is None:
            self._error = RejectedCommandError(
                404, "no such path: /ready, /dispatch-servers/disable, /dispatch-servers/enable"
            )
        elif self._parser.get_method() != allowed:
            self._error = RejectedCommandError(
                405, f"this call takes {allowed.decode()}", f"Allow: {allowed.decode()}\r\n"
            )
        elif any(x.isdigit() and int(x) > MAX_BODY_BYTES for x in self._lengths):
            self._error = RejectedCommandError(413, f"body over {MAX_BODY_BYTES} bytes")

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        if self.done:
            return
        self.body += body[: MAX_BODY_BYTES + 1]
        if len(self.body) > MAX_BODY_BYTES:
            self._error = self._error or RejectedCommandError(413, f"body over {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Note that the request is complete."""
        self.done = True

    def endpoint(self) -> bytes:
        """Return the id of the endpoint that the body names.

        Raises:
            RejectedCommandError: The body is not an id.
        """
        endpoint_id = self.body.strip()
        if not _ENDPOINT_ID.match(endpoint_id):
            raise RejectedCommandError(
                400, "the body is not the id of a dispatch server" if endpoint_id else "the body names no id"
            )
        return endpoint_id


def response_bytes(status: int, text: str, header: str = "") -> bytes:
    """Return a response with one line of text, after which the connection is closed."""
    return response(status, f"{text}\n".encode(), True, f"Content-Type: text/plain\r\n{header}")


class ConsoleNode(Protocol):
    """What the console needs of the node."""

    @property
    def phase(self) -> c.Phase:
        """Return where the node is between start and exit."""
        ...

    def dispatch(self, event: c.Event) -> None:
        """Give the core an event and run the effects that it returns."""
        ...

    def log_line(self, topic: str, line: str) -> None:
        """Write a line of a topic to the node's log."""
        ...


class Console:
    """The console of one node."""

    def __init__(self, node: ConsoleNode, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> None:
        """Open the console's listener.

        Args:
            node: The node.
            address: Where to listen.
            loop: The event loop.

        Raises:
            OSError: The address can't be bound.
        """
        self._node, self._loop = node, loop
        self._unfinished: dict[int, socket.socket] = {}  # requests that are not complete, oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_number = 0
        self._ban_results: dict[int, c.BanResult] = {}
        self.ban_error = ""  # why the last ban could not be stored
        self._listener = listen_on(address, BACKLOG)
        self._accepting = loop.create_task(self._accept())

    def close(self) -> None:
        """Accept no more requests."""
        self._accepting.cancel()
        self._listener.close()

    def on_ban_result(self, effect: c.BanReply) -> None:
        """Note the core's answer to a request."""
        self._ban_results[effect.caller] = effect.result

    # --- Connections ------------------------------------------------------------------------------------
    async def _accept(self) -> None:
        """Accept connections for as long as the node runs."""
        while True:
            try:
                sock, _ = await self._loop.sock_accept(self._listener)
                self._admit(sock)
                for _ in range(MAX_ACCEPTS_PER_TURN):
                    self._admit(self._listener.accept()[0])
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except Exception as error:  # any error: the console must go on
                self._node.log_line("accept", f"could not accept for the console: {error}")
                await asyncio.sleep(0.02)

    def _admit(self, sock: socket.socket) -> None:
        """Serve a connection; if there are too many, close the oldest one without a complete request."""
        sock.setblocking(False)
        self._last_number += 1
        if len(self._unfinished) >= MAX_CONNECTIONS:
            oldest = next(iter(self._unfinished))
            close_socket(self._unfinished.pop(oldest))
        self._unfinished[self._last_number] = sock
        task = self._loop.create_task(self._serve(self._last_number, sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, number: int, sock: socket.socket) -> None:
        """Serve one connection."""
        try:
            try:
                raw = await self._read_request(number, sock)
            except RejectedCommandError as error:
                raw = response_bytes(error.status, error.text, error.header)
            except OSError:
                return
            except Exception as error:  # a defect must not look like a dead node
                self._node.log_line("fault", f"the console failed: {type(error).__name__}: {error}")
                raw = response_bytes(500, "the call failed: see the node's log")
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(LINGER_S):
                    await self._loop.sock_sendall(sock, raw)
                    sock.shutdown(socket.SHUT_WR)
                    # a close with unread bytes would reset the connection and destroy the answer
                    while await self._loop.sock_recv(sock, READ_BYTES):
                        pass
        finally:
            self._unfinished.pop(number, None)
            close_socket(sock)

    async def _read_request(self, number: int, sock: socket.socket) -> bytes:
        """Read a request and return the response."""
        parser, sent_continue = ConsoleRequestParser(), False
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                while True:
                    data = await self._loop.sock_recv(sock, READ_BYTES)
                    if not data or number not in self._unfinished:
                        raise ConnectionError("closed before the request was complete")
                    if parser.feed(data):
                        break
                    if parser.expects_continue and parser.path and not sent_continue:
                        sent_continue = True
                        await self._loop.sock_sendall(sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        except TimeoutError:
            raise RejectedCommandError(
                408, f"the request was not complete within {REQUEST_TIMEOUT_S:g} s"
            ) from None
        return self._handle(number, parser)

    # --- Requests ---------------------------------------------------------------------------------------
    def _handle(self, number: int, parser: ConsoleRequestParser) -> bytes:
        """Process a complete request and return the response."""
        if parser.path == READY:
            phase = self._node.phase
            return response_bytes(200 if phase is c.Phase.READY else 503, phase.value)
        endpoint_id = parser.endpoint()
        banned = parser.path == DISABLE
        self.ban_error = ""
        self._node.dispatch(
            c.BanRequested(number, endpoint_id) if banned else c.UnbanRequested(number, endpoint_id)
        )
        result = self._ban_results.pop(number, None)
        name = endpoint_id.decode()
        if result is c.BanResult.UNKNOWN:
            return response_bytes(404, f"{name} was never listed")
        if result is None or self.ban_error:
            return response_bytes(500, self.ban_error or "the call failed: see the node's log")
        return response_bytes(200, f"{name} is {'disabled' if banned else 'enabled'}")
