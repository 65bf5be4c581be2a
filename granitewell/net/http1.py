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
from granitewell.core import Answer, FleetNews, Member, Verdict

MAX_BUFFERED_BODY_BYTES = (
    64 * 1024
)  # bytes of a body that are kept whole; a larger one is passed on as it comes
MAX_BODY_BYTES = 40 * 1024 * 1024  # bytes of any body
MAX_HEADER_BYTES = 16 * 1024  # bytes of request line and headers
MAX_LIST_BYTES = 4 * 1024 * 1024  # bytes of a list from discovery
MAX_DISCOVERED_NAMES = 1_000  # zones, or kinds, that discovery can name
READY_PATH = b"/-/ready"
LIST_PATH = "/api/targets"
_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}\Z")
_HEX = re.compile(rb"[0-9a-fA-F]{1,16}\Z")
_IP_ADDRESS = re.compile(r"[0-9.]+\Z|[0-9A-Fa-f:.]+(%\w+)?\Z")  # an address that is no name
_TIMEOUT_MS = re.compile(rb"[0-9]{1,9}\Z")
_SINGLE_VALUE_HEADERS = frozenset(
    {
        b"request-id",
        b"request-class",
        b"tenant",
        b"affinity-key",
        b"request-timeout-ms",
        b"client-retry",
        b"idempotency-key",
    }
)
# by its idempotency key an endpoint knows a repeat, where a class may be repeated in its scope and window
_FORWARDED_HEADERS = (
    b"request-class",
    b"tenant",
    b"affinity-key",
    b"client-retry",
    b"request-info",
    b"content-type",
    b"idempotency-key",
)
# all that is read of a head: what is not is not held, as a head of 16 KiB may name thousands
_READ_REQUEST_HEADERS = frozenset({*_SINGLE_VALUE_HEADERS, *_FORWARDED_HEADERS, b"content-length", b"expect"})
_READ_RESPONSE_HEADERS = frozenset(
    {b"content-length", b"transfer-encoding", b"content-type", b"server-load", b"not-started"}
)
MIN_PART_BYTES = 4 * 1024  # bytes of a part of a body, under which the next goes with it
_STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable",
}  # fmt: skip


BodyParts = list[bytes | bytearray]


def append_coalesced(parts: BodyParts | deque[bytes | bytearray], data: bytes) -> None:
    """Put it behind these parts.

    Small ones go together: a body in chunks of two bytes would be twenty times as large as an object each.
    """
    if parts and isinstance(parts[-1], bytearray) and len(parts[-1]) < MIN_PART_BYTES:
        parts[-1] += data
    else:
        parts.append(bytearray(data) if len(data) < MIN_PART_BYTES else data)


class StreamedBody:
    """A body over 64 KiB, passed on as it comes.

    Up to that size what has come is kept, so that a call that never ran may be followed by another; from then
    on a part is let go once it has been taken.
    """

    __slots__ = (
        "received_bytes",
        "done",
        "connection_id",
        "length",
        "discarded",
        "signals",
        "parts",
        "fully_sent",
        "taken_parts",
        "unread_bytes",
    )

    def __init__(self, length: int | None) -> None:
        self.length = length  # as its head says; None: it comes in chunks
        self.parts: deque[bytes | bytearray] = deque()
        self.taken_parts = 0  # parts that the call under way has
        self.received_bytes = self.unread_bytes = 0  # bytes
        self.done = self.discarded = False  # done: all has come
        self.fully_sent = False  # the call under way has written all of it
        self.connection_id = -1  # whose it is; the shell's, like
        self.signals: Any = None  # what it waits with

    def put(self, data: bytes) -> None:
        """A further part has come."""
        if self.taken_parts < len(self.parts):
            append_coalesced(self.parts, data)
        else:  # the last one is with the call under way
            self.parts.append(bytearray(data) if len(data) < MIN_PART_BYTES else data)
        self.received_bytes += len(data)
        self.unread_bytes += len(data)

    def rewind(self) -> None:
        """A call begins to take it, from the first byte."""
        self.taken_parts, self.unread_bytes, self.fully_sent = 0, sum(map(len, self.parts)), False

    def take(self) -> bytes | None:
        """The next part for the call under way; None where no further one has come."""
        if self.received_bytes > MAX_BUFFERED_BODY_BYTES and self.taken_parts:
            for _ in range(self.taken_parts):
                self.parts.popleft()
            self.taken_parts, self.discarded = 0, True
        if self.taken_parts >= len(self.parts):
            return None
        part = self.parts[self.taken_parts]
        self.taken_parts += 1
        self.unread_bytes -= len(part)
        return bytes(part)


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it goes on to an endpoint, byte for byte where the protocol says unchanged."""

    method: bytes
    target: bytes
    request_id: bytes
    passed: bytes  # further header lines, whole
    body: bytes
    streamed_body: StreamedBody | None = None  # in place of a body over 64 KiB
    timeout_ms: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A whole, valid request."""

    class_index: int
    tenant: int
    key: int
    timeout_ms: int
    is_repeat: bool
    message: ForwardedRequest
    keep_alive: bool
    must_not_repeat: bool = False  # asked for by the method of what must not run twice
    is_http10: bool = False  # by HTTP/1.0: its answer can't come in chunks


@dataclass(frozen=True, slots=True)
class ReadinessRequest:
    """Somebody asks whether the node is able to serve."""

    keep_alive: bool


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """A request that is answered here and goes nowhere."""

    status: int
    text: str
    keep_alive: bool = False
    header: str = ""


ParsedItem = Request | ReadinessRequest | RejectedRequest


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """The body of an endpoint's 200."""

    body: bytes
    content_type: bytes = b""


@dataclass(slots=True)
class ResponseHead:
    """The head of an endpoint's 200 whose body is passed on as it comes; inbound is the shell's."""

    length: int | None
    content_type: bytes = b""
    connection_id: int = -1


class HeaderNames:
    """The deployment's names as they stand in headers, by index.

    `take` has other settings count at once for all connections; what they name no more counts until `forget`,
    as clients change over later.
    """

    def __init__(self, config: Config) -> None:
        self._previous_classes: dict[
            bytes, tuple[int, bytes]
        ] = {}  # by class: its index and the method it is asked by
        self._classes: dict[bytes, tuple[int, bytes]] = {}
        self.reconfigure(config)

    def reconfigure(self, config: Config) -> None:
        """Other settings are in force."""
        self._previous_classes |= self._classes
        self._classes = {
            n.encode(): (k, b"GET" if e is Effect.SAFE else b"POST")
            for k, (n, e) in enumerate(zip(config.class_names, config.effects, strict=True))
            if n in config.live
        }
        self.tenants = {n.encode(): k for k, n in enumerate(config.tenant_names) if n in config.live_tenants}
        self.reports = config.report_names

    def drop_previous(self) -> None:
        """What the settings no longer name is unknown from now on."""
        self._previous_classes = {}

    def lookup_class(self, name: bytes) -> tuple[int, tuple[bytes, ...]] | None:
        """The index of the class, and the methods by which it may be asked now; None: there is no such."""
        rows = [x[name] for x in (self._classes, self._previous_classes) if name in x]
        return (rows[0][0], tuple(dict.fromkeys(m for _, m in rows))) if rows else None


# --- Clients ---
class RequestParser:
    """One client connection: bytes in, items out. After a Bad without keep_alive nothing more is read."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._parser = httptools.HttpRequestParser(self)
        self._items: list[ParsedItem] = []
        self.streamed_body: StreamedBody | None = None  # the body under way, where it is over 64 KiB
        self.expects_continue = False  # the client waits for a word before it sends its body
        self.in_body = False
        self.size = 0  # bytes of the body so far
        self.broken = False  # no further request can be told from these bytes
        self.incomplete = False  # a request has begun and is not whole
        self._head_bytes = 0  # bytes of the head so far; begun anew where a request ends
        self._framing_bytes = 0  # bytes since the last one of the body: frames, trailers
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._header_bytes = 0  # bytes of those headers
        self._body: BodyParts = []
        self.size, self.streamed_body = 0, None
        self._in_head, self._has_duplicate = True, False
        self.in_body = self.expects_continue = False

    def feed(self, data: bytes) -> list[ParsedItem]:
        """What these bytes complete, in order."""
        self._items = []
        if not self.broken:
            self._head_bytes += len(data) if self._in_head else 0
            self._framing_bytes += len(data)
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade:
                # the offer of another protocol is not taken up: this request is served, nothing behind it
                self.broken = True
                if self._items:
                    self._items[-1] = replace(self._items[-1], keep_alive=False)
            except httptools.HttpParserError:
                self._reject(400, "malformed HTTP")
            # a header line that never ends reaches no callback: count what has come in
            if self._in_head and self._head_bytes > MAX_HEADER_BYTES:
                self._reject(431, "headers over 16 KiB")
            if self.in_body and self._framing_bytes > MAX_BUFFERED_BODY_BYTES + MAX_HEADER_BYTES:
                self._reject(431, "trailers over 16 KiB")
        return self._items

    def _reject(self, status: int, text: str) -> None:
        if not self.broken:
            self.broken = True
            self._items.append(RejectedRequest(status, text))

    # httptools calls these
    def on_message_begin(self) -> None:
        self._reset()
        self.incomplete = True

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # a trailer is no header, and nothing here reads it
        lowered = name.lower()
        self._header_bytes += len(name) + len(value) + 4
        if lowered in _READ_REQUEST_HEADERS:
            self._has_duplicate = self._has_duplicate or (
                lowered in _SINGLE_VALUE_HEADERS and lowered in self._headers
            )
            self._headers[lowered] = value.strip()

    def on_headers_complete(self) -> None:
        self._in_head = False
        if len(self._target) + self._header_bytes > MAX_HEADER_BYTES:
            self._reject(431, "headers over 16 KiB")
        length = self._headers.get(b"content-length", b"0")
        self.in_body, self._framing_bytes = True, 0
        if length.isdigit() and (len(length) > 9 or int(length) > MAX_BODY_BYTES):
            self._reject(413, f"body over {MAX_BODY_BYTES >> 20} MiB")
        elif length.isdigit() and int(length) > MAX_BUFFERED_BODY_BYTES and not self.broken:
            self._begin_streaming(int(length))
        self.expects_continue = (
            not self.broken and self._headers.get(b"expect", b"").lower() == b"100-continue"
        )

    def _begin_streaming(self, length: int | None) -> None:
        """The request is handed in now; its body follows."""
        item = self._validate(self._parser.should_keep_alive())
        if isinstance(item, Request):
            self.streamed_body = StreamedBody(length)
            for part in self._body:
                self.streamed_body.put(bytes(part))
            self._body = []
            self._items.append(
                replace(item, message=replace(item.message, body=b"", streamed_body=self.streamed_body))
            )
        else:  # what is refused is not waited for
            self.broken = True
            self._items.append(replace(item, keep_alive=False))

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        self._framing_bytes = 0
        self.expects_continue = False
        if self.broken:
            return
        if self.size > MAX_BODY_BYTES:
            self._reject(413, f"body over {MAX_BODY_BYTES >> 20} MiB")
        elif self.streamed_body is not None:
            self.streamed_body.put(body)
        else:
            append_coalesced(self._body, body)
            if self.size > MAX_BUFFERED_BODY_BYTES:
                self._begin_streaming(None)

    def on_message_complete(self) -> None:
        self.incomplete = self.in_body = self.expects_continue = False
        if self.streamed_body is not None:
            self.streamed_body.done = True
            self._in_head, self._head_bytes = True, 0
        elif not self.broken:
            self._items.append(self._validate(self._parser.should_keep_alive()))
            self._in_head, self._head_bytes = True, 0

    def _validate(self, keep: bool) -> ParsedItem:
        names, headers, method = self._names, self._headers, self._parser.get_method()
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            return RejectedRequest(400, "not HTTP/1.1")
        path = self._target.partition(b"?")[0]
        if path == READY_PATH:
            return (
                ReadinessRequest(keep)
                if method == b"GET"
                else RejectedRequest(405, "GET only", keep, "Allow: GET\r\n")
            )
        name = path.split(b"/")[1] if path.startswith(b"/") else b""
        known_class = names.lookup_class(name)
        if known_class is None:
            return RejectedRequest(404, "no class has this path", keep)
        index, methods = known_class
        if method not in methods:
            allow = methods[0].decode()
            return RejectedRequest(405, f"this class takes {allow}", keep, f"Allow: {allow}\r\n")
        if self._has_duplicate:
            return RejectedRequest(400, "a header came twice", keep)
        request_id = headers.get(b"request-id", b"")
        if not _REQUEST_ID.match(request_id):
            return RejectedRequest(400, "Request-Id is missing or malformed", keep)
        # a class that does not exist differs, too: served by its path it would look as though it had run
        if headers.get(b"request-class", name) != name:
            return RejectedRequest(400, "Request-Class and path differ", keep)
        timeout = headers.get(b"request-timeout-ms", b"")
        if not _TIMEOUT_MS.match(timeout) or int(timeout) == 0:
            return RejectedRequest(400, "Request-Timeout-Ms is missing or malformed", keep)
        tenant = names.tenants.get(headers.get(b"tenant", b""), len(names.tenants))
        passed = b"".join(b"%s: %s\r\n" % (k, headers[k]) for k in _FORWARDED_HEADERS if k in headers)
        message = ForwardedRequest(
            method, self._target, request_id, passed, b"".join(self._body), None, int(timeout)
        )
        return Request(
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


def rejection_bytes(rejected: RejectedRequest) -> bytes:
    """The answer to a request that goes nowhere."""
    return response(
        rejected.status, rejected.text.encode() + b"\r\n", not rejected.keep_alive, rejected.header
    )


def readiness_bytes(ready: bool, close: bool) -> bytes:
    """The answer of the ready path."""
    return response(200 if ready else 503, b"ready\r\n" if ready else b"not ready\r\n", close)


def final_response_bytes(answer: Answer, close: bool) -> bytes:
    """A final answer. A refusal is a 503, a failure a 502: the protocol reads no more into them."""
    if answer.verdict is Verdict.SERVED and isinstance(answer.answer, BufferedResponse):
        kind = answer.answer.content_type.decode("latin-1")
        return response(200, answer.answer.body, close, f"Content-Type: {kind}\r\n" if kind else "")
    if answer.verdict is Verdict.SAME_ID:
        return response(409, b"", close)
    if answer.verdict is Verdict.FAIL_FAST:
        wait = f"Retry-After: {answer.retry_after_us / 1e6:.3f}\r\n" if answer.retry_after_us else ""
        return response(503, b"", close, wait)
    return response(502, b"", close)


# --- Endpoints ---
def request_bytes(message: ForwardedRequest, host: tuple[str, int], left_us: int) -> bytes:
    """The request as an endpoint gets it."""
    bodied = message.body or message.method != b"GET"
    length = b"Content-Length: %d\r\n" % len(message.body) if bodied else b""
    if message.streamed_body is not None:
        size = message.streamed_body.length
        length = b"Transfer-Encoding: chunked\r\n" if size is None else b"Content-Length: %d\r\n" % size
        left_us = min(left_us, message.timeout_ms * 1000)
    return b"%s %s HTTP/1.1\r\nHost: %s:%d\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\n%s%s\r\n%s" % (
        message.method, message.target, host[0].encode(), host[1], message.request_id,
        max(left_us // 1000, 1), message.passed, length, message.body,
    )  # fmt: skip


def chunk_bytes(data: bytes) -> bytes:
    """A part of a body of unknown length, as HTTP/1.1 frames it; of no bytes: its end."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def response_head_bytes(head: ResponseHead, chunked: bool, close: bool) -> bytes:
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

    def __init__(self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = max_body_bytes
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self._parts: BodyParts = []
        self._size = self._head_bytes = 0
        self._framing_bytes = 0  # bytes since the last one of the body: frames, trailers
        self._in_body = self.length_unknown = False  # endless: its length is not told beforehand
        self.done = False
        self.reusable = False

    @property
    def body(self) -> bytes:
        return b"".join(self._parts)

    @property
    def is_streamable(self) -> bool:
        """Is this the body of a 200, which may be passed on as it comes?"""
        return self._max_body_bytes == MAX_BUFFERED_BODY_BYTES and self._in_body and self.status == 200

    @property
    def exceeds_buffer(self) -> bool:
        """Is it sure that the body is over what is kept whole?"""
        return self.is_streamable and self._size > self._max_body_bytes

    def head(self) -> ResponseHead:
        """The head of an answer that flows."""
        length = self.headers.get(b"content-length")
        return ResponseHead(int(length) if length else None, self.headers.get(b"content-type", b""))

    def start_streaming(self) -> int:
        """It is passed on from now on: from here its bytes count as they come. Those that have come."""
        self._size = sum(map(len, self._parts))
        return self._size

    def take(self) -> bytes:
        """What has come of the body since the last time."""
        parts, self._parts = self._parts, []
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    def feed(self, data: bytes) -> bool:
        """True once the answer is whole. ValueError: this is no answer."""
        self._head_bytes += 0 if self._in_body else len(data)
        self._framing_bytes += len(data)
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
        if self._size > (MAX_BODY_BYTES if self.is_streamable else self._max_body_bytes):
            raise ValueError("the body is too large")
        if not self._in_body and self._head_bytes > 2 * MAX_HEADER_BYTES:
            raise ValueError("the headers are too large")
        if (
            self._in_body
            and not self.done
            and self._framing_bytes > MAX_BUFFERED_BODY_BYTES + MAX_HEADER_BYTES
        ):
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
        lowered = name.lower()
        if (
            lowered in _READ_RESPONSE_HEADERS and not self.done and not self._in_body
        ):  # behind the body it is a trailer, and
            self.headers[lowered] = value.strip()  # counts for nothing

    def on_headers_complete(self) -> None:
        if not self.done:
            self.status = self._parser.get_status_code()
            self._in_body = self.status >= 200
            length = self.headers.get(b"content-length", b"0")
            if self._in_body and int(length) > self._max_body_bytes:  # known before a byte of it has come
                self._size = int(length)
            elif self._in_body and b"content-length" not in self.headers:
                self.length_unknown = True

    def on_body(self, body: bytes) -> None:
        if not self.done:
            self._size += len(body)
            self._framing_bytes = 0
            append_coalesced(self._parts, body)

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


def buffered_response(parser: ResponseParser) -> BufferedResponse:
    """What a client gets of a 200."""
    return BufferedResponse(parser.body, parser.headers.get(b"content-type", b""))


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
def list_request_bytes(host: tuple[str, int], after: int | None, wait_ms: int) -> bytes:
    """The call for the whole list, or the watch for what is newer than a revision."""
    query = "" if after is None else f"?after={after}&wait_ms={wait_ms}"
    return f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {host[0]}:{host[1]}\r\n\r\n".encode()


class EndpointListReader:
    """Discovery's JSON to the core's members.

    Names not in the settings get stable indices behind theirs.

    Attributes:
        ours: A moment of Unix time on the core's clock, as the two stand now.
    """

    def __init__(self, config: Config, to_local_us: Callable[[int], int]) -> None:
        self._zones: dict[str, int] = {}
        self._kinds: dict[str, int] = {}
        self._known_starts: dict[bytes, tuple[float, int]] = {}  # of the listed: Unix time as told, and ours
        self.reconfigure(config)
        self._to_local_us = to_local_us

    def reconfigure(self, config: Config) -> int:
        """Other settings: the names known so far keep their indices. The index of the node's own zone."""
        for names, indices in ((config.zone_names, self._zones), (config.kind_names, self._kinds)):
            for name in names:
                indices.setdefault(name, len(indices))
        own = config.settings.zone
        return self._zones[config.zone_names[own]] if 0 <= own < len(config.zone_names) else own

    def read(self, body: bytes) -> tuple[int, FleetNews]:
        """Revision and news. ValueError: not discovery's form, and the old list must stay."""
        try:
            document = json.loads(body)
        except RecursionError:
            raise ValueError("nested too deep") from None
        return self.parse(document)

    def parse(self, document: Mapping[str, Any], view: View | None = None) -> tuple[int, FleetNews]:
        """The same from parsed JSON; every way in which it can be malformed is a ValueError."""
        try:
            form = view or (View.FULL if document["complete"] is True else View.DELTA)
            starts: dict[bytes, tuple[float, int]] = {}
            revision = int(document["revision"])
            members = tuple(self._member(m, starts) for m in document["members"])
        except (TypeError, KeyError, AttributeError, ConfigError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        self._known_starts = self._known_starts | starts if form is View.DELTA else starts
        for m in members:
            if m.state is State.GONE:
                self._known_starts.pop(m.id, None)
        return revision, FleetNews(form, members)

    def _start_time_us(self, endpoint_id: bytes, up_ms: float, starts: dict[bytes, tuple[float, int]]) -> int:
        """On the core's clock; 0 stays 0. Reckoned once for each start.

        A value that moves with the clocks would read as a restart, and one offset for the whole run would
        make each start after a step of the wall clock look colder or warmer than it is.
        """
        known = self._known_starts.get(endpoint_id)
        if known is None or known[0] != up_ms:
            known = up_ms, max(self._to_local_us(int(up_ms * 1000)), 1) if up_ms > 0 else 0
        starts[endpoint_id] = known
        return known[1]

    def _member(self, m: Mapping[str, Any], starts: dict[bytes, tuple[float, int]]) -> Member:
        up_ms, scale = float(m.get("up_since_ms") or 0), float(m.get("size") or 1.0)
        endpoint_id, where = str(m["id"]).encode(), address(m["host_port"], "host_port")
        if not _IP_ADDRESS.match(where[0]):
            raise ValueError(f"host_port: {where[0]} is a name, and nobody here looks names up")
        return Member(
            endpoint_id, where,
            _index_of(self._zones, str(m.get("locality"))),
            _index_of(self._kinds, str(m.get("flavor"))),
            int(m.get("cell") or 0),
            _STATES.get(m["phase"], State.DRAINING),  # an unknown phase wants no new work from us
            scale if math.isfinite(scale) else 1.0, self._start_time_us(endpoint_id, up_ms, starts),
        )  # fmt: skip


def _index_of(indices: dict[str, int], name: str) -> int:
    """The index of a name; those beyond all bounds share one, as memory must not grow with names ever
    heard.
    """
    if name not in indices and len(indices) >= MAX_DISCOVERED_NAMES:
        return MAX_DISCOVERED_NAMES
    return indices.setdefault(name, len(indices))
