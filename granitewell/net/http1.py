"""The platform's HTTP/1.1 protocol, between bytes and the core's terms, for clients, endpoints and discovery.

Header names, paths, status codes and the JSON of discovery are known only here, so that another protocol
could serve the same core. Nothing here uses sockets or clocks, keeps state beyond one connection's parsing,
or decides what becomes of a request. The parsing itself is done by httptools.
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
from granitewell.config import Config, ConfigError, parse_address
from granitewell.core import DiscoveredEndpoint, EndpointListUpdate, ResponseStatus, SendResponse

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a larger body is forwarded as it arrives
MAX_BODY_BYTES = 40 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024  # of a request's first line and headers
MAX_LIST_BYTES = 4 * 1024 * 1024  # of a list from discovery
MAX_DISCOVERED_NAMES = 1_000  # of zones, and of server kinds
READY_PATH = b"/-/ready"
LIST_PATH = "/api/targets"
_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}\Z")
_HEX = re.compile(rb"[0-9a-fA-F]{1,16}\Z")
_IP_ADDRESS = re.compile(r"[0-9.]+\Z|[0-9A-Fa-f:.]+(%\w+)?\Z")  # an IP address, not a host name
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
# an endpoint recognises a repeat by its idempotency key, within the scope and window that the class allows
_FORWARDED_HEADERS = (
    b"request-class",
    b"tenant",
    b"affinity-key",
    b"client-retry",
    b"request-info",
    b"content-type",
    b"idempotency-key",
)
# other headers are not stored: 16 KiB may hold thousands of them
_READ_REQUEST_HEADERS = frozenset({*_SINGLE_VALUE_HEADERS, *_FORWARDED_HEADERS, b"content-length", b"expect"})
_READ_RESPONSE_HEADERS = frozenset(
    {b"content-length", b"transfer-encoding", b"content-type", b"server-load", b"not-started"}
)
MIN_PART_BYTES = 4 * 1024  # smaller parts of a body are merged with the next one
_STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable",
}  # fmt: skip


BodyParts = list[bytes | bytearray]


def append_coalesced(parts: BodyParts | deque[bytes | bytearray], data: bytes) -> None:
    """Append data to the parts of a body, merging small parts.

    As one object each, a body in chunks of two bytes would take twenty times its size.
    """
    if parts and isinstance(parts[-1], bytearray) and len(parts[-1]) < MIN_PART_BYTES:
        parts[-1] += data
    else:
        parts.append(bytearray(data) if len(data) < MIN_PART_BYTES else data)


class StreamedBody:
    """A body over 64 KiB that is forwarded as it arrives.

    Up to that size all parts are kept, so that a call that never ran can be followed by another; beyond it a
    part is discarded once it has been taken.

    Attributes:
        length: From the head; None for a chunked body.
        taken_parts: How many parts the current call has taken.
        received_bytes: All bytes so far.
        unread_bytes: Those that the current call has not taken.
        done: The body is complete.
        discarded: Parts were discarded, so that no other call can be made.
        fully_sent: The current call has written the whole body.
        connection_id: The client's connection; set by `downstream`.
        signals: Events that reader and writer wait for; set by `downstream`.
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
        self.length = length
        self.parts: deque[bytes | bytearray] = deque()
        self.taken_parts = 0
        self.received_bytes = self.unread_bytes = 0
        self.done = self.discarded = False
        self.fully_sent = False
        self.connection_id = -1
        self.signals: Any = None

    def put(self, data: bytes) -> None:
        """Add a part that has arrived."""
        if self.taken_parts < len(self.parts):
            append_coalesced(self.parts, data)
        else:  # the current call has the last part, so it can't be extended
            self.parts.append(bytearray(data) if len(data) < MIN_PART_BYTES else data)
        self.received_bytes += len(data)
        self.unread_bytes += len(data)

    def rewind(self) -> None:
        """Start over for a new call."""
        self.taken_parts, self.unread_bytes, self.fully_sent = 0, sum(map(len, self.parts)), False

    def take(self) -> bytes | None:
        """Return the next part for the current call; None if none is available."""
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
    """A request as an endpoint gets it; what the protocol calls unchanged is forwarded byte for byte."""

    method: bytes
    target: bytes
    request_id: bytes
    passed: bytes  # further header lines, each with its end
    body: bytes
    streamed_body: StreamedBody | None = None  # replaces `body` over 64 KiB
    timeout_ms: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A valid request whose head, and body up to 64 KiB, are complete."""

    class_index: int
    tenant: int
    key: int
    timeout_ms: int
    is_repeat: bool
    message: ForwardedRequest
    keep_alive: bool
    must_not_repeat: bool = False  # its method is that of requests that must not run twice
    is_http10: bool = False  # the answer can't be chunked


@dataclass(frozen=True, slots=True)
class ReadinessRequest:
    """A query whether the node is ready to serve."""

    keep_alive: bool


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """A request that is answered with an error and not forwarded."""

    status: int
    text: str
    keep_alive: bool = False
    header: str = ""


ParsedItem = Request | ReadinessRequest | RejectedRequest


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """The body of an endpoint's 200 response."""

    body: bytes
    content_type: bytes = b""


@dataclass(slots=True)
class ResponseHead:
    """The head of an endpoint's 200 response whose body is forwarded as it arrives.

    Attributes:
        length: None if it is unknown.
        content_type: As sent by the endpoint.
        connection_id: The client's connection; set by the node.
    """

    length: int | None
    content_type: bytes = b""
    connection_id: int = -1


class HeaderNames:
    """Classes and tenants by the names that headers carry.

    After `reconfigure`, new names count at once for all connections. Removed names stay valid until
    `drop_previous`, as clients change over later.
    """

    def __init__(self, config: Config) -> None:
        # by class name: its index and its method
        self._previous_classes: dict[bytes, tuple[int, bytes]] = {}
        self._classes: dict[bytes, tuple[int, bytes]] = {}
        self.reconfigure(config)

    def reconfigure(self, config: Config) -> None:
        """Apply other settings."""
        self._previous_classes |= self._classes
        self._classes = {
            n.encode(): (k, b"GET" if e is Effect.SAFE else b"POST")
            for k, (n, e) in enumerate(zip(config.class_names, config.effects, strict=True))
            if n in config.active_classes
        }
        self.tenants = {
            n.encode(): k for k, n in enumerate(config.tenant_names) if n in config.active_tenants
        }
        self.reports = config.report_names

    def drop_previous(self) -> None:
        """Forget the names that the settings no longer contain."""
        self._previous_classes = {}

    def lookup_class(self, name: bytes) -> tuple[int, tuple[bytes, ...]] | None:
        """Return a class's index and the methods that are valid now; None for an unknown class."""
        rows = [x[name] for x in (self._classes, self._previous_classes) if name in x]
        return (rows[0][0], tuple(dict.fromkeys(m for _, m in rows))) if rows else None


# --- Clients --------------------------------------------------------------------------------------------
class RequestParser:
    """Parses the requests on one client connection.

    After a `RejectedRequest` without `keep_alive` nothing more is read.

    Attributes:
        streamed_body: The body in progress, if it is over 64 KiB.
        expects_continue: The client waits for an interim response before it sends the body.
        in_body: The head of the current request is complete and its body is not.
        size: Bytes of the current body so far.
        broken: No further request can be found in the stream.
        incomplete: A request has begun and is not complete.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._parser = httptools.HttpRequestParser(self)
        self._items: list[ParsedItem] = []
        self.streamed_body: StreamedBody | None = None
        self.expects_continue = False
        self.in_body = False
        self.size = 0
        self.broken = False
        self.incomplete = False
        self._head_bytes = 0  # of the current head, as received
        self._framing_bytes = 0  # since the last byte of the body: chunk framing, trailers
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._header_bytes = 0  # of all headers, also of those that are not stored
        self._body: BodyParts = []
        self.size, self.streamed_body = 0, None
        self._in_head, self._has_duplicate = True, False
        self.in_body = self.expects_continue = False

    def feed(self, data: bytes) -> list[ParsedItem]:
        """Parse bytes and return the items that they complete, in order."""
        self._items = []
        if not self.broken:
            self._head_bytes += len(data) if self._in_head else 0
            self._framing_bytes += len(data)
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade:
                # an upgrade is not accepted: this request is served, and nothing after it
                self.broken = True
                if self._items:
                    self._items[-1] = replace(self._items[-1], keep_alive=False)
            except httptools.HttpParserError:
                self._reject(400, "malformed HTTP")
            # a header line without an end reaches no callback, so count the input
            if self._in_head and self._head_bytes > MAX_HEADER_BYTES:
                self._reject(431, "headers over 16 KiB")
            if self.in_body and self._framing_bytes > MAX_BUFFERED_BODY_BYTES + MAX_HEADER_BYTES:
                self._reject(431, "trailers over 16 KiB")
        return self._items

    def _reject(self, status: int, text: str) -> None:
        if not self.broken:
            self.broken = True
            self._items.append(RejectedRequest(status, text))

    # --- Callbacks of httptools -------------------------------------------------------------------------
    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self.incomplete = True

    def on_url(self, url: bytes) -> None:
        """Add a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header that is read later, and count all of them."""
        if not self._in_head:
            return  # trailers are ignored
        lowered = name.lower()
        self._header_bytes += len(name) + len(value) + 4
        if lowered in _READ_REQUEST_HEADERS:
            self._has_duplicate = self._has_duplicate or (
                lowered in _SINGLE_VALUE_HEADERS and lowered in self._headers
            )
            self._headers[lowered] = value.strip()

    def on_headers_complete(self) -> None:
        """Check the announced length; a long body is streamed."""
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
        """Hand out the request now; its body follows."""
        item = self._validate(self._parser.should_keep_alive())
        if isinstance(item, Request):
            self.streamed_body = StreamedBody(length)
            for part in self._body:
                self.streamed_body.put(bytes(part))
            self._body = []
            self._items.append(
                replace(item, message=replace(item.message, body=b"", streamed_body=self.streamed_body))
            )
        else:  # the body of a rejected request is not awaited
            self.broken = True
            self._items.append(replace(item, keep_alive=False))

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body, or reject a body that is too large."""
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
        """Finish the request."""
        self.incomplete = self.in_body = self.expects_continue = False
        if self.streamed_body is not None:
            self.streamed_body.done = True
            self._in_head, self._head_bytes = True, 0
        elif not self.broken:
            self._items.append(self._validate(self._parser.should_keep_alive()))
            self._in_head, self._head_bytes = True, 0

    def _validate(self, keep: bool) -> ParsedItem:
        """Return the request, or the reason why it is rejected."""
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
        # also if the header names an unknown class: served by its path, the request would seem to have run
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
    """Return the affinity key as a number that is the same on every node; 0 for none."""
    if not text:
        return 0
    return int(text, 16) if _HEX.match(text) else int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def response(status: int, body: bytes, close: bool, headers: str = "") -> bytes:
    """Return a complete response."""
    end = "Connection: close\r\n" if close else ""
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n{headers}{end}\r\n"
    return head.encode("latin-1") + body


def rejection_bytes(rejected: RejectedRequest) -> bytes:
    """Return the response to a rejected request."""
    return response(
        rejected.status, rejected.text.encode() + b"\r\n", not rejected.keep_alive, rejected.header
    )


def readiness_bytes(ready: bool, close: bool) -> bytes:
    """Return the response to a readiness request."""
    return response(200 if ready else 503, b"ready\r\n" if ready else b"not ready\r\n", close)


def final_response_bytes(answer: SendResponse, close: bool) -> bytes:
    """Return the response for the core's answer: 503 for a refusal, 502 for a failure."""
    if answer.status is ResponseStatus.SERVED and isinstance(answer.response, BufferedResponse):
        kind = answer.response.content_type.decode("latin-1")
        return response(200, answer.response.body, close, f"Content-Type: {kind}\r\n" if kind else "")
    if answer.status is ResponseStatus.DUPLICATE_ID:
        return response(409, b"", close)
    if answer.status is ResponseStatus.REJECTED:
        wait = f"Retry-After: {answer.retry_after_us / 1e6:.3f}\r\n" if answer.retry_after_us else ""
        return response(503, b"", close, wait)
    return response(502, b"", close)


# --- Endpoints ------------------------------------------------------------------------------------------
def request_bytes(message: ForwardedRequest, host: tuple[str, int], left_us: int) -> bytes:
    """Return the request as it is sent to an endpoint; a streamed body follows separately."""
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
    """Return data as one chunk of a chunked body; empty data ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def response_head_bytes(head: ResponseHead, chunked: bool, close: bool) -> bytes:
    """Return the head of a 200 response whose body follows."""
    kind = b"Content-Type: %s\r\n" % head.content_type if head.content_type else b""
    frame = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if head.length is not None:
        frame = b"Content-Length: %d\r\n" % head.length
    return b"HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (frame, kind, b"Connection: close\r\n" if close else b"")


class ResponseParser:
    """Parses one response on one connection.

    The body is gathered up to a limit. For a response that is forwarded as it arrives, `take` returns what
    has been gathered and starts over.

    Attributes:
        status: 0 until the head is complete.
        headers: Those that are used, in lower case.
        length_unknown: The length of the body is not announced.
        done: The response is complete.
        reusable: The connection may carry another call.
    """

    def __init__(self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES) -> None:
        """Create a parser whose body may have `max_body_bytes`, unless it is streamed."""
        self._parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = max_body_bytes
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self._parts: BodyParts = []
        self._size = self._head_bytes = 0
        self._framing_bytes = 0  # since the last byte of the body: chunk framing, trailers
        self._in_body = self.length_unknown = False
        self.done = False
        self.reusable = False

    @property
    def body(self) -> bytes:
        """Return what has been gathered of the body."""
        return b"".join(self._parts)

    @property
    def is_streamable(self) -> bool:
        """Return whether this is the body of a 200 response, which may be forwarded as it arrives."""
        return self._max_body_bytes == MAX_BUFFERED_BODY_BYTES and self._in_body and self.status == 200

    @property
    def exceeds_buffer(self) -> bool:
        """Return whether the body is known to be larger than what is buffered."""
        return self.is_streamable and self._size > self._max_body_bytes

    def head(self) -> ResponseHead:
        """Return the head for a response that is streamed."""
        length = self.headers.get(b"content-length")
        return ResponseHead(int(length) if length else None, self.headers.get(b"content-type", b""))

    def start_streaming(self) -> int:
        """Count only received bytes from now on, not the announced length; return those so far."""
        self._size = sum(map(len, self._parts))
        return self._size

    def take(self) -> bytes:
        """Return what has arrived of the body since the last call."""
        parts, self._parts = self._parts, []
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    def feed(self, data: bytes) -> bool:
        """Parse bytes; return True once the response is complete.

        Raises:
            ValueError: The bytes are not a valid response, or it is too large.
        """
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
                # an unrequested 101 is treated like any other 1xx: the response follows its head
                data = data.partition(b"\r\n\r\n")[2] if self.status == 101 else b""
                if not data:
                    raise ValueError(f"not valid HTTP: {error}") from None
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
        """Handle the end of the connection; return True if that is a valid end of the response."""
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        self.reusable = False
        self.done = self.done or (self._in_body and not framed)
        return self.done

    # --- Callbacks of httptools -------------------------------------------------------------------------
    def on_message_begin(self) -> None:
        """Start a response, or note bytes after a complete one."""
        if self.done:
            self.reusable = False  # bytes beyond the answer: a later response could not be told apart
            return
        self.headers, self._in_body = {}, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header that is used."""
        lowered = name.lower()
        # after the body it is a trailer, which is ignored
        if lowered in _READ_RESPONSE_HEADERS and not self.done and not self._in_body:
            self.headers[lowered] = value.strip()

    def on_headers_complete(self) -> None:
        """Take the status and the announced length."""
        if not self.done:
            self.status = self._parser.get_status_code()
            self._in_body = self.status >= 200
            length = self.headers.get(b"content-length", b"0")
            if self._in_body and int(length) > self._max_body_bytes:  # announced in the head
                self._size = int(length)
            elif self._in_body and b"content-length" not in self.headers:
                self.length_unknown = True

    def on_body(self, body: bytes) -> None:
        """Gather a piece of the body."""
        if not self.done:
            self._size += len(body)
            self._framing_bytes = 0
            append_coalesced(self._parts, body)

    def on_message_complete(self) -> None:
        """Finish the response, unless it is an interim one."""
        if not self.done and self.status >= 200:  # a 1xx is an interim response
            self.done = True
            self.reusable = self._parser.should_keep_alive()


def outcome(parser: ResponseParser) -> Outcome:
    """Return the outcome of a complete response, by the platform's protocol."""
    if parser.status == 200:
        return Outcome.OK
    if parser.status in (503, 504) and parser.headers.get(b"not-started") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


def buffered_response(parser: ResponseParser) -> BufferedResponse:
    """Return the part of a 200 response that the client gets."""
    return BufferedResponse(parser.body, parser.headers.get(b"content-type", b""))


def report(parser: ResponseParser, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load report in the order of the settings' fields; () if it is absent or malformed."""
    text = parser.headers.get(b"server-load")
    if not text or not fields:
        return ()
    try:
        load = json.loads(text)
        values = tuple(float(load[f]) for f in fields)
    except (ValueError, TypeError, KeyError, IndexError, OverflowError, RecursionError):
        return ()
    return values if all(map(math.isfinite, values)) else ()


# --- Discovery ------------------------------------------------------------------------------------------
def list_request_bytes(host: tuple[str, int], after: int | None, wait_ms: int) -> bytes:
    """Return the request for the full list, or a watch for changes after a revision."""
    query = "" if after is None else f"?after={after}&wait_ms={wait_ms}"
    return f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {host[0]}:{host[1]}\r\n\r\n".encode()


class EndpointListReader:
    """Converts discovery's JSON to the core's members.

    Names that are not in the settings get stable indices after those that are.
    """

    def __init__(self, config: Config, to_local_us: Callable[[int], int]) -> None:
        """Create a reader.

        Args:
            config: Names the known zones and server kinds.
            to_local_us: Converts Unix time to the core's clock, as the two stand now.
        """
        self._zones: dict[str, int] = {}
        self._kinds: dict[str, int] = {}
        # by endpoint: its start in Unix time, and on the core's clock
        self._known_starts: dict[bytes, tuple[float, int]] = {}
        self.reconfigure(config)
        self._to_local_us = to_local_us

    def reconfigure(self, config: Config) -> int:
        """Apply other settings; known names keep their indices. Return the index of the node's own zone."""
        for names, indices in ((config.zone_names, self._zones), (config.kind_names, self._kinds)):
            for name in names:
                indices.setdefault(name, len(indices))
        own = config.settings.zone
        return self._zones[config.zone_names[own]] if 0 <= own < len(config.zone_names) else own

    def read(self, body: bytes) -> tuple[int, EndpointListUpdate]:
        """Parse a list; return its revision and the update.

        Raises:
            ValueError: The list is malformed; the previous one stays in force.
        """
        try:
            document = json.loads(body)
        except RecursionError:
            raise ValueError("nested too deep") from None
        return self.parse(document)

    def parse(self, document: Mapping[str, Any], view: View | None = None) -> tuple[int, EndpointListUpdate]:
        """Convert a list from parsed JSON; return its revision and the update.

        Raises:
            ValueError: The list is malformed in any way.
        """
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
        return revision, EndpointListUpdate(form, members)

    def _start_time_us(self, endpoint_id: bytes, up_ms: float, starts: dict[bytes, tuple[float, int]]) -> int:
        """Return an endpoint's start on the core's clock; 0 stays 0.

        Converted once per start: a value that follows corrections of the clocks would look like a restart,
        and one offset for the whole run would, after a step of the wall clock, make each start look earlier
        or later than it was.
        """
        known = self._known_starts.get(endpoint_id)
        if known is None or known[0] != up_ms:
            known = up_ms, max(self._to_local_us(int(up_ms * 1000)), 1) if up_ms > 0 else 0
        starts[endpoint_id] = known
        return known[1]

    def _member(self, m: Mapping[str, Any], starts: dict[bytes, tuple[float, int]]) -> DiscoveredEndpoint:
        """Convert one entry."""
        up_ms, scale = float(m.get("up_since_ms") or 0), float(m.get("size") or 1.0)
        endpoint_id, where = str(m["id"]).encode(), parse_address(m["host_port"], "host_port")
        if not _IP_ADDRESS.match(where[0]):
            raise ValueError(f"host_port: {where[0]} is a name, allowed: an IP address")
        return DiscoveredEndpoint(
            endpoint_id, where,
            _index_of(self._zones, str(m.get("locality"))),
            _index_of(self._kinds, str(m.get("flavor"))),
            int(m.get("cell") or 0),
            _STATES.get(m["phase"], State.DRAINING),  # an unknown phase gets no new requests
            scale if math.isfinite(scale) else 1.0, self._start_time_us(endpoint_id, up_ms, starts),
        )  # fmt: skip


def _index_of(indices: dict[str, int], name: str) -> int:
    """Return the index of a name, adding it if needed.

    Names beyond the limit share one index, so that memory does not grow with every name ever seen.
    """
    if name not in indices and len(indices) >= MAX_DISCOVERED_NAMES:
        return MAX_DISCOVERED_NAMES
    return indices.setdefault(name, len(indices))
