"""The platform's protocol: HTTP/1.1 bytes to and from the core's terms, for clients, endpoints and discovery.

This is the only file that knows header names, paths, status codes and the JSON of discovery, so that another
front can reach the same core without it. It must never open or touch a socket, read a clock, keep state
beyond one connection's parsing, or decide what becomes of a request. Parsing itself is httptools'.
"""

from __future__ import annotations

import json
import math
import re
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any

import httptools

from granitewell.balancing.interface import Effect, Outcome, State, View
from granitewell.config import Config, ConfigError, address
from granitewell.core import DiscoveredEndpoint, EndpointListUpdate, ResponseStatus, SendResponse

MAX_KEPT = 64 * 1024  # bytes of a body that are kept whole; a larger one is passed on as it comes
MAX_BODY = 40 * 1024 * 1024  # bytes of any body
MAX_HEAD = 16 * 1024  # bytes of request line and headers
MAX_LIST = 4 * 1024 * 1024  # bytes of a list from discovery
MAX_PLACES = 1_000  # zones, or kinds, that discovery can name
READY_PATH = b"/-/ready"
LIST_PATH = "/api/targets"
_ID = re.compile(rb"[\x21-\x7e]{1,128}\Z")
_HEX = re.compile(rb"[0-9a-fA-F]{1,16}\Z")
_NUMBERS = re.compile(r"[0-9.]+\Z|[0-9A-Fa-f:.]+(%\w+)?\Z")  # an address that is no name
_MS = re.compile(rb"[0-9]{1,9}\Z")
_SINGLE = frozenset({b"request-id", b"request-class", b"tenant", b"affinity-key", b"request-timeout-ms",
                     b"client-retry", b"idempotency-key"})  # fmt: skip
# by its idempotency key an endpoint knows a repeat, where a class may be repeated in its scope and window
_PASSED = (b"request-class", b"tenant", b"affinity-key", b"client-retry", b"request-info", b"content-type",
           b"idempotency-key")  # fmt: skip
# all that is read of a head: what is not is not held, as a head of 16 KiB may name thousands
_ASKED = frozenset({*_SINGLE, *_PASSED, b"content-length", b"expect"})
_TOLD = frozenset({b"content-length", b"transfer-encoding", b"content-type", b"server-load", b"not-started"})
MIN_PART = 4 * 1024  # bytes of a part of a body, under which the next goes with it
_STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable",
}  # fmt: skip


Parts = list[bytes | bytearray]


def gather(parts: Parts | deque[bytes | bytearray], data: bytes) -> None:
    """Put it behind these parts.

    Small ones go together: a body in chunks of two bytes would be twenty times as large as an object each.
    """
    if parts and isinstance(parts[-1], bytearray) and len(parts[-1]) < MIN_PART:
        parts[-1] += data
    else:
        parts.append(bytearray(data) if len(data) < MIN_PART else data)


class Flow:
    """A body over 64 KiB, passed on as it comes.

    Up to that size what has come is kept, so that a call that never ran may be followed by another; from then
    on a part is let go once it has been taken.
    """

    __slots__ = ("came", "done", "inbound", "length", "let_go", "owner", "parts", "sent", "taken", "unread")

    def __init__(self, length: int | None) -> None:
        self.length = length  # as its head says; None: it comes in chunks
        self.parts: deque[bytes | bytearray] = deque()
        self.taken = 0  # parts that the call under way has
        self.came = self.unread = 0  # bytes
        self.done = self.let_go = False  # done: all has come
        self.sent = False  # the call under way has written all of it
        self.inbound = -1  # whose it is; the shell's, like
        self.owner: Any = None  # what it waits with

    def put(self, data: bytes) -> None:
        """A further part has come."""
        if self.taken < len(self.parts):
            gather(self.parts, data)
        else:  # the last one is with the call under way
            self.parts.append(bytearray(data) if len(data) < MIN_PART else data)
        self.came += len(data)
        self.unread += len(data)

    def begin(self) -> None:
        """A call begins to take it, from the first byte."""
        self.taken, self.unread, self.sent = 0, sum(map(len, self.parts)), False

    def take(self) -> bytes | None:
        """The next part for the call under way; None where no further one has come."""
        if self.came > MAX_KEPT and self.taken:
            for _ in range(self.taken):
                self.parts.popleft()
            self.taken, self.let_go = 0, True
        if self.taken >= len(self.parts):
            return None
        part = self.parts[self.taken]
        self.taken += 1
        self.unread -= len(part)
        return bytes(part)


@dataclass(frozen=True, slots=True)
class Message:
    """A request as it goes on to an endpoint, byte for byte where the protocol says unchanged."""

    method: bytes
    target: bytes
    request_id: bytes
    passed: bytes  # further header lines, whole
    body: bytes
    flow: Flow | None = None  # in place of a body over 64 KiB
    timeout_ms: int = 0


@dataclass(frozen=True, slots=True)
class Ask:
    """A whole, valid request."""

    class_index: int
    tenant: int
    key: int
    timeout_ms: int
    repeat: bool
    message: Message
    keep_alive: bool
    once: bool = False  # asked for by the method of what must not run twice
    old: bool = False  # by HTTP/1.0: its answer can't come in chunks


@dataclass(frozen=True, slots=True)
class ReadyAsk:
    """Somebody asks whether the node is able to serve."""

    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Bad:
    """A request that is answered here and goes nowhere."""

    status: int
    text: str
    keep_alive: bool = False
    header: str = ""


Item = Ask | ReadyAsk | Bad


@dataclass(frozen=True, slots=True)
class Served:
    """The body of an endpoint's 200."""

    body: bytes
    content_type: bytes = b""


@dataclass(slots=True)
class Head:
    """The head of an endpoint's 200 whose body is passed on as it comes; inbound is the shell's."""

    length: int | None
    content_type: bytes = b""
    inbound: int = -1


class Names:
    """The deployment's names as they stand in headers, by index.

    `take` has other settings count at once for all connections; what they name no more counts until `forget`,
    as clients change over later.
    """

    def __init__(self, config: Config) -> None:
        self._before: dict[bytes, tuple[int, bytes]] = {}  # by class: its index and the method it is asked by
        self._classes: dict[bytes, tuple[int, bytes]] = {}
        self.take(config)

    def take(self, config: Config) -> None:
        """Other settings are in force."""
        self._before |= self._classes
        self._classes = {
            n.encode(): (k, b"GET" if e is Effect.SAFE else b"POST")
            for k, (n, e) in enumerate(zip(config.class_names, config.effects, strict=True))
            if n in config.live
        }
        self.tenants = {n.encode(): k for k, n in enumerate(config.tenant_names) if n in config.live_tenants}
        self.reports = config.report_names

    def forget(self) -> None:
        """What the settings no longer name is unknown from now on."""
        self._before = {}

    def asked(self, name: bytes) -> tuple[int, tuple[bytes, ...]] | None:
        """The index of the class, and the methods by which it may be asked now; None: there is no such."""
        rows = [x[name] for x in (self._classes, self._before) if name in x]
        return (rows[0][0], tuple(dict.fromkeys(m for _, m in rows))) if rows else None


# --- Clients ---
class InboundParser:
    """One client connection: bytes in, items out. After a Bad without keep_alive nothing more is read."""

    def __init__(self, names: Names) -> None:
        self._names = names
        self._parser = httptools.HttpRequestParser(self)
        self._items: list[Item] = []
        self.flow: Flow | None = None  # the body under way, where it is over 64 KiB
        self.expecting = False  # the client waits for a word before it sends its body
        self.in_body = False
        self.size = 0  # bytes of the body so far
        self.broken = False  # no further request can be told from these bytes
        self.partial = False  # a request has begun and is not whole
        self._head = 0  # bytes of the head so far; begun anew where a request ends
        self._between = 0  # bytes since the last one of the body: frames, trailers
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._lines = 0  # bytes of those headers
        self._body: Parts = []
        self.size, self.flow = 0, None
        self._in_head, self._twice = True, False
        self.in_body = self.expecting = False

    def feed(self, data: bytes) -> list[Item]:
        """What these bytes complete, in order."""
        self._items = []
        if not self.broken:
            self._head += len(data) if self._in_head else 0
            self._between += len(data)
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade:
                # the offer of another protocol is not taken up: this request is served, nothing behind it
                self.broken = True
                if self._items:
                    self._items[-1] = replace(self._items[-1], keep_alive=False)
            except httptools.HttpParserError:
                self._refuse(400, "malformed HTTP")
            # a header line that never ends reaches no callback: count what has come in
            if self._in_head and self._head > MAX_HEAD:
                self._refuse(431, "headers over 16 KiB")
            if self.in_body and self._between > MAX_KEPT + MAX_HEAD:
                self._refuse(431, "trailers over 16 KiB")
        return self._items

    def _refuse(self, status: int, text: str) -> None:
        if not self.broken:
            self.broken = True
            self._items.append(Bad(status, text))

    # httptools calls these
    def on_message_begin(self) -> None:
        self._reset()
        self.partial = True

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # a trailer is no header, and nothing here reads it
        low = name.lower()
        self._lines += len(name) + len(value) + 4
        if low in _ASKED:
            self._twice = self._twice or (low in _SINGLE and low in self._headers)
            self._headers[low] = value.strip()

    def on_headers_complete(self) -> None:
        self._in_head = False
        if len(self._target) + self._lines > MAX_HEAD:
            self._refuse(431, "headers over 16 KiB")
        length = self._headers.get(b"content-length", b"0")
        self.in_body, self._between = True, 0
        if length.isdigit() and (len(length) > 9 or int(length) > MAX_BODY):
            self._refuse(413, f"body over {MAX_BODY >> 20} MiB")
        elif length.isdigit() and int(length) > MAX_KEPT and not self.broken:
            self._begin_flow(int(length))
        self.expecting = not self.broken and self._headers.get(b"expect", b"").lower() == b"100-continue"

    def _begin_flow(self, length: int | None) -> None:
        """The request is handed in now; its body follows."""
        item = self._judge(self._parser.should_keep_alive())
        if isinstance(item, Ask):
            self.flow = Flow(length)
            for part in self._body:
                self.flow.put(bytes(part))
            self._body = []
            self._items.append(replace(item, message=replace(item.message, body=b"", flow=self.flow)))
        else:  # what is refused is not waited for
            self.broken = True
            self._items.append(replace(item, keep_alive=False))

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        self._between = 0
        self.expecting = False
        if self.broken:
            return
        if self.size > MAX_BODY:
            self._refuse(413, f"body over {MAX_BODY >> 20} MiB")
        elif self.flow is not None:
            self.flow.put(body)
        else:
            gather(self._body, body)
            if self.size > MAX_KEPT:
                self._begin_flow(None)

    def on_message_complete(self) -> None:
        self.partial = self.in_body = self.expecting = False
        if self.flow is not None:
            self.flow.done = True
            self._in_head, self._head = True, 0
        elif not self.broken:
            self._items.append(self._judge(self._parser.should_keep_alive()))
            self._in_head, self._head = True, 0

    def _judge(self, keep: bool) -> Item:
        names, headers, method = self._names, self._headers, self._parser.get_method()
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            return Bad(400, "not HTTP/1.1")
        path = self._target.partition(b"?")[0]
        if path == READY_PATH:
            return ReadyAsk(keep) if method == b"GET" else Bad(405, "GET only", keep, "Allow: GET\r\n")
        name = path.split(b"/")[1] if path.startswith(b"/") else b""
        asked = names.asked(name)
        if asked is None:
            return Bad(404, "no class has this path", keep)
        index, methods = asked
        if method not in methods:
            allow = methods[0].decode()
            return Bad(405, f"this class takes {allow}", keep, f"Allow: {allow}\r\n")
        if self._twice:
            return Bad(400, "a header came twice", keep)
        request_id = headers.get(b"request-id", b"")
        if not _ID.match(request_id):
            return Bad(400, "Request-Id is missing or malformed", keep)
        # a class that does not exist differs, too: served by its path it would look as though it had run
        if headers.get(b"request-class", name) != name:
            return Bad(400, "Request-Class and path differ", keep)
        timeout = headers.get(b"request-timeout-ms", b"")
        if not _MS.match(timeout) or int(timeout) == 0:
            return Bad(400, "Request-Timeout-Ms is missing or malformed", keep)
        tenant = names.tenants.get(headers.get(b"tenant", b""), len(names.tenants))
        passed = b"".join(b"%s: %s\r\n" % (k, headers[k]) for k in _PASSED if k in headers)
        message = Message(method, self._target, request_id, passed, b"".join(self._body), None, int(timeout))
        return Ask(
            index, tenant, _key(headers.get(b"affinity-key", b"")), int(timeout),
            headers.get(b"client-retry") == b"1", message, keep, method != b"GET",
            self._parser.get_http_version() == "1.0",
        )  # fmt: skip


def _key(text: bytes) -> int:
    """The key as a number that is the same at every node; 0 for none."""
    if not text:
        return 0
    return int(text, 16) if _HEX.match(text) else int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def response(status: int, body: bytes, close: bool, headers: str = "") -> bytes:
    """A whole answer."""
    end = "Connection: close\r\n" if close else ""
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n{headers}{end}\r\n"
    return head.encode("latin-1") + body


def bad_bytes(bad: Bad) -> bytes:
    """The answer to a request that goes nowhere."""
    return response(bad.status, bad.text.encode() + b"\r\n", not bad.keep_alive, bad.header)


def ready_bytes(ready: bool, close: bool) -> bytes:
    """The answer of the ready path."""
    return response(200 if ready else 503, b"ready\r\n" if ready else b"not ready\r\n", close)


def answer_bytes(answer: SendResponse, close: bool) -> bytes:
    """A final answer. A refusal is a 503, a failure a 502: the protocol reads no more into them."""
    if answer.status is ResponseStatus.SERVED and isinstance(answer.response, Served):
        kind = answer.response.content_type.decode("latin-1")
        return response(200, answer.response.body, close, f"Content-Type: {kind}\r\n" if kind else "")
    if answer.status is ResponseStatus.DUPLICATE_ID:
        return response(409, b"", close)
    if answer.status is ResponseStatus.REJECTED:
        wait = f"Retry-After: {answer.retry_after_us / 1e6:.3f}\r\n" if answer.retry_after_us else ""
        return response(503, b"", close, wait)
    return response(502, b"", close)


# --- Endpoints ---
def call_bytes(message: Message, host: tuple[str, int], left_us: int) -> bytes:
    """The request as an endpoint gets it."""
    bodied = message.body or message.method != b"GET"
    length = b"Content-Length: %d\r\n" % len(message.body) if bodied else b""
    if message.flow is not None:
        size = message.flow.length
        length = b"Transfer-Encoding: chunked\r\n" if size is None else b"Content-Length: %d\r\n" % size
        left_us = min(left_us, message.timeout_ms * 1000)
    return b"%s %s HTTP/1.1\r\nHost: %s:%d\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\n%s%s\r\n%s" % (
        message.method, message.target, host[0].encode(), host[1], message.request_id,
        max(left_us // 1000, 1), message.passed, length, message.body,
    )  # fmt: skip


def chunk_bytes(data: bytes) -> bytes:
    """A part of a body of unknown length, as HTTP/1.1 frames it; of no bytes: its end."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def begin_bytes(head: Head, chunked: bool, close: bool) -> bytes:
    """The head of a 200 whose body follows."""
    kind = b"Content-Type: %s\r\n" % head.content_type if head.content_type else b""
    frame = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if head.length is not None:
        frame = b"Content-Length: %d\r\n" % head.length
    return b"HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (frame, kind, b"Connection: close\r\n" if close else b"")


class ResponseParser:
    """One answer on one connection.

    What comes is gathered up to `most` bytes; `take` hands out what is there and begins anew, for one that is
    passed on as it comes.
    """

    def __init__(self, most: int = MAX_KEPT) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._most = most
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self._parts: Parts = []
        self._size = self._head = 0
        self._between = 0  # bytes since the last one of the body: frames, trailers
        self._in_body = self.endless = False  # endless: its length is not told beforehand
        self.done = False
        self.reusable = False

    @property
    def body(self) -> bytes:
        return b"".join(self._parts)

    @property
    def flows(self) -> bool:
        """Is this the body of a 200, which may be passed on as it comes?"""
        return self._most == MAX_KEPT and self._in_body and self.status == 200

    @property
    def large(self) -> bool:
        """Is it sure that the body is over what is kept whole?"""
        return self.flows and self._size > self._most

    def head(self) -> Head:
        """The head of an answer that flows."""
        length = self.headers.get(b"content-length")
        return Head(int(length) if length else None, self.headers.get(b"content-type", b""))

    def pour(self) -> int:
        """It is passed on from now on: from here its bytes count as they come. Those that have come."""
        self._size = sum(map(len, self._parts))
        return self._size

    def take(self) -> bytes:
        """What has come of the body since the last time."""
        parts, self._parts = self._parts, []
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    def feed(self, data: bytes) -> bool:
        """True once the answer is whole. ValueError: this is no answer."""
        self._head += 0 if self._in_body else len(data)
        self._between += len(data)
        while data:
            try:
                self._parser.feed_data(data)
                break
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
                self.reusable = False
                if self.done:
                    break
                # a 101 that nobody asked for is a 1xx like any other: the answer comes behind its head
                data = data.partition(b"\r\n\r\n")[2] if self.status == 101 else b""
                if not data:
                    raise ValueError(f"no HTTP: {error}") from None
                self._parser, self.status = httptools.HttpResponseParser(self), 0
        if self._size > (MAX_BODY if self.flows else self._most):
            raise ValueError("the body is too large")
        if not self._in_body and self._head > 2 * MAX_HEAD:
            raise ValueError("the headers are too large")
        if self._in_body and not self.done and self._between > MAX_KEPT + MAX_HEAD:
            raise ValueError("the trailers are too large")
        return self.done

    def end(self) -> bool:
        """The other side has ended the connection: True where that is how its answer ends."""
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        self.reusable = False
        self.done = self.done or (self._in_body and not framed)
        return self.done

    # httptools calls these
    def on_message_begin(self) -> None:
        if self.done:
            self.reusable = False  # bytes beyond the answer: nothing can be trusted to follow in step
            return
        self.headers, self._in_body = {}, False

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low in _TOLD and not self.done and not self._in_body:  # behind the body it is a trailer, and
            self.headers[low] = value.strip()  # counts for nothing

    def on_headers_complete(self) -> None:
        if not self.done:
            self.status = self._parser.get_status_code()
            self._in_body = self.status >= 200
            length = self.headers.get(b"content-length", b"0")
            if self._in_body and int(length) > self._most:  # known before a byte of it has come
                self._size = int(length)
            elif self._in_body and b"content-length" not in self.headers:
                self.endless = True

    def on_body(self, body: bytes) -> None:
        if not self.done:
            self._size += len(body)
            self._between = 0
            gather(self._parts, body)

    def on_message_complete(self) -> None:
        if not self.done and self.status >= 200:  # a 1xx is not yet the answer
            self.done = True
            self.reusable = self._parser.should_keep_alive()


def outcome(parser: ResponseParser) -> Outcome:
    """PROTOCOL's table for an answer that came back whole."""
    if parser.status == 200:
        return Outcome.OK
    if parser.status in (503, 504) and parser.headers.get(b"not-started") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


def served(parser: ResponseParser) -> Served:
    """What a client gets of a 200."""
    return Served(parser.body, parser.headers.get(b"content-type", b""))


def report(parser: ResponseParser, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The load report in the order of the settings' fields; absent or malformed is no report."""
    text = parser.headers.get(b"server-load")
    if not text or not fields:
        return ()
    try:
        load = json.loads(text)
        values = tuple(float(load[f]) for f in fields)
    except (ValueError, TypeError, KeyError, IndexError, OverflowError, RecursionError):
        return ()
    return values if all(map(math.isfinite, values)) else ()


# --- Discovery ---
def list_bytes(host: tuple[str, int], after: int | None, wait_ms: int) -> bytes:
    """The call for the whole list, or the watch for what is newer than a revision."""
    query = "" if after is None else f"?after={after}&wait_ms={wait_ms}"
    return f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {host[0]}:{host[1]}\r\n\r\n".encode()


class FleetReader:
    """Discovery's JSON to the core's members.

    Names not in the settings get stable indices behind theirs.

    Attributes:
        ours: A moment of Unix time on the core's clock, as the two stand now.
    """

    def __init__(self, config: Config, ours: Callable[[int], int]) -> None:
        self._zones: dict[str, int] = {}
        self._kinds: dict[str, int] = {}
        self._starts: dict[bytes, tuple[float, int]] = {}  # of the listed: Unix time as told, and ours
        self.take(config)
        self._ours = ours

    def take(self, config: Config) -> int:
        """Other settings: the names known so far keep their indices. The index of the node's own zone."""
        for names, places in ((config.zone_names, self._zones), (config.kind_names, self._kinds)):
            for name in names:
                places.setdefault(name, len(places))
        own = config.settings.zone
        return self._zones[config.zone_names[own]] if 0 <= own < len(config.zone_names) else own

    def read(self, body: bytes) -> tuple[int, EndpointListUpdate]:
        """Revision and news. ValueError: not discovery's form, and the old list must stay."""
        try:
            top = json.loads(body)
        except RecursionError:
            raise ValueError("nested too deep") from None
        return self.parsed(top)

    def parsed(self, top: Mapping[str, Any], view: View | None = None) -> tuple[int, EndpointListUpdate]:
        """The same from parsed JSON; every way in which it can be malformed is a ValueError."""
        try:
            form = view or (View.FULL if top["complete"] is True else View.DELTA)
            starts: dict[bytes, tuple[float, int]] = {}
            revision = int(top["revision"])
            members = tuple(self._member(m, starts) for m in top["members"])
        except (TypeError, KeyError, AttributeError, ConfigError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        self._starts = self._starts | starts if form is View.DELTA else starts
        for m in members:
            if m.state is State.GONE:
                self._starts.pop(m.id, None)
        return revision, EndpointListUpdate(form, members)

    def _started(self, eid: bytes, up_ms: float, starts: dict[bytes, tuple[float, int]]) -> int:
        """On the core's clock; 0 stays 0. Reckoned once for each start.

        A value that moves with the clocks would read as a restart, and one offset for the whole run would
        make each start after a step of the wall clock look colder or warmer than it is.
        """
        known = self._starts.get(eid)
        if known is None or known[0] != up_ms:
            known = up_ms, max(self._ours(int(up_ms * 1000)), 1) if up_ms > 0 else 0
        starts[eid] = known
        return known[1]

    def _member(self, m: Mapping[str, Any], starts: dict[bytes, tuple[float, int]]) -> DiscoveredEndpoint:
        up_ms, scale = float(m.get("up_since_ms") or 0), float(m.get("size") or 1.0)
        eid, where = str(m["id"]).encode(), address(m["host_port"], "host_port")
        if not _NUMBERS.match(where[0]):
            raise ValueError(f"host_port: {where[0]} is a name, and nobody here looks names up")
        return DiscoveredEndpoint(
            eid, where,
            _place(self._zones, str(m.get("locality"))),
            _place(self._kinds, str(m.get("flavor"))),
            int(m.get("cell") or 0),
            _STATES.get(m["phase"], State.DRAINING),  # an unknown phase wants no new work from us
            scale if math.isfinite(scale) else 1.0, self._started(eid, up_ms, starts),
        )  # fmt: skip


def _place(places: dict[str, int], name: str) -> int:
    """The index of a name; those beyond all bounds share one, as memory must not grow with names ever
    heard.
    """
    if name not in places and len(places) >= MAX_PLACES:
        return MAX_PLACES
    return places.setdefault(name, len(places))
