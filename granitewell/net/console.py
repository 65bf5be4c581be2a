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
from granitewell.net.sockets import bound, end

SEATS = 24  # connections held at once
BACKLOG = 256
MAX_TAKEN = 32  # connections taken in one turn of the loop
MAX_HEAD = 8 * 1024  # bytes of a call's line and headers,
MAX_BODY = 1024  # of its body,
MAX_CALL = MAX_HEAD + 8 * MAX_BODY  # and of all of it, frames and trailers too
WAIT_S = 5.0  # for a whole call
LINGER_S = 0.5  # for the caller to take its answer
CHUNK = 2048
READY, DISABLE, ENABLE = b"/ready", b"/dispatch-servers/disable", b"/dispatch-servers/enable"
METHODS = {READY: b"GET", DISABLE: b"POST", ENABLE: b"POST"}
_ID = re.compile(rb"[\x21-\x7e]{1,256}\Z")


class RejectedCommandError(Exception):
    """A call that is answered without the core: status and one line of text."""

    def __init__(self, status: int, text: str, header: str = "") -> None:
        super().__init__(text)
        self.status, self.text, self.header = status, text, header


class CallParser:
    """One operator's call: bytes in; `done` once it is whole. Raises No on what is no call."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._size = 0
        self._in_head = True
        self._lengths: set[bytes] = set()
        self.body = b""
        self.path = b""
        self.done = self.expects = False
        self._wrong: RejectedCommandError | None = None

    def feed(self, data: bytes) -> bool:
        """True once the call is whole; what follows it is not read."""
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.done:
                raise self._wrong or RejectedCommandError(400, "this is no HTTP/1.1 call") from None
        if self._wrong is not None:
            raise self._wrong
        if self._size > (MAX_HEAD if self._in_head else MAX_CALL):
            raise RejectedCommandError(
                431, f"line and headers over {MAX_HEAD} bytes, or a call over {MAX_CALL}"
            )
        return self.done

    # httptools calls these
    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low == b"expect" and value.strip().lower() == b"100-continue":
            self.expects = True
        elif low == b"content-length":
            self._lengths.add(value.strip())

    def on_headers_complete(self) -> None:
        self._in_head = False
        if self.done or self._wrong is not None:
            return
        try:
            self.path = httptools.parse_url(self._url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            self._wrong = RejectedCommandError(400, "the path is malformed")
            return
        allowed = METHODS.get(self.path)
        if allowed is None:
            self._wrong = RejectedCommandError(
                404, "no such call: /ready, /dispatch-servers/disable, /dispatch-servers/enable"
            )
        elif self._parser.get_method() != allowed:
            self._wrong = RejectedCommandError(
                405, f"this call takes {allowed.decode()}", f"Allow: {allowed.decode()}\r\n"
            )
        elif any(x.isdigit() and int(x) > MAX_BODY for x in self._lengths):
            self._wrong = RejectedCommandError(413, f"body over {MAX_BODY} bytes")

    def on_body(self, body: bytes) -> None:
        if self.done:
            return
        self.body += body[: MAX_BODY + 1]
        if len(self.body) > MAX_BODY:
            self._wrong = self._wrong or RejectedCommandError(413, f"body over {MAX_BODY} bytes")

    def on_message_complete(self) -> None:
        self.done = True

    def endpoint(self) -> bytes:
        """The id that the body names."""
        eid = self.body.strip()
        if not _ID.match(eid):
            raise RejectedCommandError(
                400, "the body is not the id of a dispatch server" if eid else "the body names no id"
            )
        return eid


def answer(status: int, text: str, header: str = "") -> bytes:
    """An answer with one line of text; the connection ends behind it."""
    return response(status, f"{text}\n".encode(), True, f"Content-Type: text/plain\r\n{header}")


class Asked(Protocol):
    """What the console speaks to: the node."""

    @property
    def phase(self) -> c.Phase: ...

    def dispatch(self, event: c.Event) -> None: ...

    def say(self, topic: str, line: str) -> None: ...


class Console:
    """The console of one node."""

    def __init__(self, node: Asked, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> None:
        self._node, self._loop = node, loop
        self._seats: dict[int, socket.socket] = {}  # callers whose call is not whole yet, the oldest first
        self._held: set[asyncio.Task[None]] = set()
        self._last = 0
        self._rulings: dict[int, c.BanResult] = {}
        self.unkept = ""  # why the last ban could not be written down
        self._listener = bound(address, BACKLOG)
        self._accepting = loop.create_task(self._accept())

    def close(self) -> None:
        """Take no more calls."""
        self._accepting.cancel()
        self._listener.close()

    def ruled(self, effect: c.BanReply) -> None:
        """The core has taken a call."""
        self._rulings[effect.caller] = effect.result

    # --- Connections ------------------------------------------------------------------------------------
    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self._loop.sock_accept(self._listener)
                self._admit(sock)
                for _ in range(MAX_TAKEN):
                    self._admit(self._listener.accept()[0])
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except Exception as error:  # whatever it is, the console goes on
                self._node.say("accept", f"could not accept for the console: {error}")
                await asyncio.sleep(0.02)

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self._last += 1
        if len(self._seats) >= SEATS:
            oldest = next(iter(self._seats))
            end(self._seats.pop(oldest))
        self._seats[self._last] = sock
        task = self._loop.create_task(self._serve(self._last, sock))
        self._held.add(task)
        task.add_done_callback(self._held.discard)

    async def _serve(self, number: int, sock: socket.socket) -> None:
        try:
            try:
                raw = await self._heard(number, sock)
            except RejectedCommandError as error:
                raw = answer(error.status, error.text, error.header)
            except OSError:
                return
            except Exception as error:  # whoever calls must not take a defect for a dead node
                self._node.say("fault", f"the console failed: {type(error).__name__}: {error}")
                raw = answer(500, "the call failed: see the node's log")
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(LINGER_S):
                    await self._loop.sock_sendall(sock, raw)
                    sock.shutdown(socket.SHUT_WR)
                    while await self._loop.sock_recv(sock, CHUNK):  # unread bytes would reset the answer away
                        pass
        finally:
            self._seats.pop(number, None)
            end(sock)

    async def _heard(self, number: int, sock: socket.socket) -> bytes:
        """The answer to the call that comes here."""
        parser, told = CallParser(), False
        try:
            async with asyncio.timeout(WAIT_S):
                while True:
                    data = await self._loop.sock_recv(sock, CHUNK)
                    if not data or number not in self._seats:
                        raise ConnectionError("left, or made room, before the call was whole")
                    if parser.feed(data):
                        break
                    if parser.expects and parser.path and not told:
                        told = True
                        await self._loop.sock_sendall(sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        except TimeoutError:
            raise RejectedCommandError(408, f"the call did not come whole within {WAIT_S:g} s") from None
        return self._taken(number, parser)

    # --- Calls ------------------------------------------------------------------------------------------
    def _taken(self, number: int, parser: CallParser) -> bytes:
        if parser.path == READY:
            phase = self._node.phase
            return answer(200 if phase is c.Phase.READY else 503, phase.value)
        eid = parser.endpoint()
        banned = parser.path == DISABLE
        self.unkept = ""
        self._node.dispatch(c.BanRequested(number, eid) if banned else c.UnbanRequested(number, eid))
        ruling = self._rulings.pop(number, None)
        name = eid.decode()
        if ruling is c.BanResult.UNKNOWN:
            return answer(404, f"{name} was never listed")
        if ruling is None or self.unkept:
            return answer(500, self.unkept or "the call failed: see the node's log")
        return answer(200, f"{name} is {'disabled' if banned else 'enabled'}")
