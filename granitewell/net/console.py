"""The operators' address: GET /ready, POST /dispatch-servers/disable and /enable, one call to a connection.

It owns its listener, its connections with their parsers and timers, and a cap on them; the descriptors are
kept apart from those of clients. It must never decide anything or change the node: a call becomes an event of
the core and is answered once the core has taken it. Nothing here waits for a client, an endpoint or a file
longer than a write to the private folder takes. Where all seats are held, the caller that has been unfinished
for longest makes room.
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

MAX_CONNECTIONS = 24  # connections held at once
BACKLOG = 256
MAX_ACCEPTS_PER_TURN = 32  # connections taken in one turn of the loop
MAX_HEADER_BYTES = 8 * 1024  # bytes of a call's line and headers,
MAX_BODY_BYTES = 1024  # of its body,
MAX_REQUEST_BYTES = MAX_HEADER_BYTES + 8 * MAX_BODY_BYTES  # and of all of it, frames and trailers too
REQUEST_TIMEOUT_S = 5.0  # for a whole call
LINGER_S = 0.5  # for the caller to take its answer
READ_BYTES = 2048
READY, DISABLE, ENABLE = b"/ready", b"/dispatch-servers/disable", b"/dispatch-servers/enable"
METHODS = {READY: b"GET", DISABLE: b"POST", ENABLE: b"POST"}
_ENDPOINT_ID = re.compile(rb"[\x21-\x7e]{1,256}\Z")


class RejectedCommandError(Exception):
    """A call that is answered without the core: status and one line of text."""

    def __init__(self, status: int, text: str, header: str = "") -> None:
        super().__init__(text)
        self.status, self.text, self.header = status, text, header


class ConsoleRequestParser:
    """One operator's call: bytes in; `done` once it is whole. Raises No on what is no call."""

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
        """True once the call is whole; what follows it is not read."""
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.done:
                raise self._error or RejectedCommandError(400, "this is no HTTP/1.1 call") from None
        if self._error is not None:
            raise self._error
        if self._size > (MAX_HEADER_BYTES if self._in_head else MAX_REQUEST_BYTES):
            raise RejectedCommandError(
                431, f"line and headers over {MAX_HEADER_BYTES} bytes, or a call over {MAX_REQUEST_BYTES}"
            )
        return self.done

    # httptools calls these
    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        lowered = name.lower()
        if lowered == b"expect" and value.strip().lower() == b"100-continue":
            self.expects_continue = True
        elif lowered == b"content-length":
            self._lengths.add(value.strip())

    def on_headers_complete(self) -> None:
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
                404, "no such call: /ready, /dispatch-servers/disable, /dispatch-servers/enable"
            )
        elif self._parser.get_method() != allowed:
            self._error = RejectedCommandError(
                405, f"this call takes {allowed.decode()}", f"Allow: {allowed.decode()}\r\n"
            )
        elif any(x.isdigit() and int(x) > MAX_BODY_BYTES for x in self._lengths):
            self._error = RejectedCommandError(413, f"body over {MAX_BODY_BYTES} bytes")

    def on_body(self, body: bytes) -> None:
        if self.done:
            return
        self.body += body[: MAX_BODY_BYTES + 1]
        if len(self.body) > MAX_BODY_BYTES:
            self._error = self._error or RejectedCommandError(413, f"body over {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        self.done = True

    def endpoint(self) -> bytes:
        """The id that the body names."""
        endpoint_id = self.body.strip()
        if not _ENDPOINT_ID.match(endpoint_id):
            raise RejectedCommandError(
                400, "the body is not the id of a dispatch server" if endpoint_id else "the body names no id"
            )
        return endpoint_id


def response_bytes(status: int, text: str, header: str = "") -> bytes:
    """An answer with one line of text; the connection ends behind it."""
    return response(status, f"{text}\n".encode(), True, f"Content-Type: text/plain\r\n{header}")


class ConsoleNode(Protocol):
    """What the console speaks to: the node."""

    @property
    def phase(self) -> c.Phase: ...

    def dispatch(self, event: c.Event) -> None: ...

    def log_line(self, topic: str, line: str) -> None: ...


class Console:
    """The console of one node."""

    def __init__(self, node: ConsoleNode, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> None:
        self._node, self._loop = node, loop
        self._unfinished: dict[
            int, socket.socket
        ] = {}  # callers whose call is not whole yet, the oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_number = 0
        self._rulings: dict[int, c.Ruling] = {}
        self.ban_error = ""  # why the last ban could not be written down
        self._listener = listen_on(address, BACKLOG)
        self._accepting = loop.create_task(self._accept())

    def close(self) -> None:
        """Take no more calls."""
        self._accepting.cancel()
        self._listener.close()

    def on_ruling(self, effect: c.Ruled) -> None:
        """The core has taken a call."""
        self._rulings[effect.caller] = effect.ruling

    # --- Connections ------------------------------------------------------------------------------------
    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self._loop.sock_accept(self._listener)
                self._admit(sock)
                for _ in range(MAX_ACCEPTS_PER_TURN):
                    self._admit(self._listener.accept()[0])
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except Exception as error:  # whatever it is, the console goes on
                self._node.log_line("accept", f"could not accept for the console: {error}")
                await asyncio.sleep(0.02)

    def _admit(self, sock: socket.socket) -> None:
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
        try:
            try:
                raw = await self._read_request(number, sock)
            except RejectedCommandError as error:
                raw = response_bytes(error.status, error.text, error.header)
            except OSError:
                return
            except Exception as error:  # whoever calls must not take a defect for a dead node
                self._node.log_line("fault", f"the console failed: {type(error).__name__}: {error}")
                raw = response_bytes(500, "the call failed: see the node's log")
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(LINGER_S):
                    await self._loop.sock_sendall(sock, raw)
                    sock.shutdown(socket.SHUT_WR)
                    while await self._loop.sock_recv(
                        sock, READ_BYTES
                    ):  # unread bytes would reset the answer away
                        pass
        finally:
            self._unfinished.pop(number, None)
            close_socket(sock)

    async def _read_request(self, number: int, sock: socket.socket) -> bytes:
        """The answer to the call that comes here."""
        parser, sent_continue = ConsoleRequestParser(), False
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                while True:
                    data = await self._loop.sock_recv(sock, READ_BYTES)
                    if not data or number not in self._unfinished:
                        raise ConnectionError("left, or made room, before the call was whole")
                    if parser.feed(data):
                        break
                    if parser.expects_continue and parser.path and not sent_continue:
                        sent_continue = True
                        await self._loop.sock_sendall(sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        except TimeoutError:
            raise RejectedCommandError(
                408, f"the call did not come whole within {REQUEST_TIMEOUT_S:g} s"
            ) from None
        return self._handle(number, parser)

    # --- Calls ------------------------------------------------------------------------------------------
    def _handle(self, number: int, parser: ConsoleRequestParser) -> bytes:
        if parser.path == READY:
            phase = self._node.phase
            return response_bytes(200 if phase is c.Phase.READY else 503, phase.value)
        endpoint_id = parser.endpoint()
        banned = parser.path == DISABLE
        self.ban_error = ""
        self._node.dispatch(c.BanAsked(number, endpoint_id) if banned else c.BanLifted(number, endpoint_id))
        ruling = self._rulings.pop(number, None)
        name = endpoint_id.decode()
        if ruling is c.Ruling.UNKNOWN:
            return response_bytes(404, f"{name} was never listed")
        if ruling is None or self.ban_error:
            return response_bytes(500, self.ban_error or "the call failed: see the node's log")
        return response_bytes(200, f"{name} is {'disabled' if banned else 'enabled'}")
