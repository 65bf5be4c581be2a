"""The platform's HTTP/1.1 as the stand-ins speak it: requests of clients, what endpoints read and answer.

It owns bytes to terms and back for both ends that stand round a node. Every body is a function of the
request's id, so that each side can check byte for byte what came through, without telling each other
anything. What an endpoint needs to know of a request stands in its target, which is sure to pass through a
node unchanged; other headers are the node's to drop. It must never touch a socket or choose what is
answered.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from hashlib import shake_128
from typing import Any
from urllib.parse import parse_qsl, quote

import httptools

from granitewell.lab.day import Day
from granitewell.lab.emulator.types import Ask

MAX_HEAD = 64 * 1024  # bytes of a head that a stand-in reads
RUDE = "rude-"  # how ids of requests begin that belong to no client of the model


def filler(rid: str, purpose: str) -> bytes:
    """The body that this request has (`ask`) or is answered with (`answer`).

    Mostly small, seldom the largest that the platform allows.
    """
    pick = shake_128(f"size/{purpose}/{rid}".encode()).digest(2)
    size = 32 + pick[0] * 3
    if pick[1] < 4:
        size = 4096 * (1 + pick[0] % 4)
    elif pick[1] == 255 and pick[0] < 64:
        size = 65536
    return shake_128(f"{purpose}/{rid}".encode()).digest(size)


def ask_bytes(day: Day, ask: Ask, host: str) -> bytes:
    """A client's request. The query repeats what Request-Info and the headers say."""
    kind, tenant = day.classes[ask.cls], day.tenants[ask.tenant].name if day.tenants else ""
    work = f"{ask.work_us:.3f}"
    target = f"/{quote(kind.name)}/{ask.rid}?work_us={work}&tenant={ask.tenant}&key={ask.key}"
    lines = [
        f"{'POST' if kind.unsafe else 'GET'} {target} HTTP/1.1", f"Host: {host}", f"Request-Id: {ask.rid}",
        f"Request-Class: {kind.name}", f"Request-Timeout-Ms: {max(ask.timeout_us // 1000, 1)}",
        f"Request-Info: work_us={work}",
    ]  # fmt: skip
    if tenant:
        lines.append(f"Tenant: {tenant}")
    if ask.key:
        lines.append(f"Affinity-Key: {ask.key:016x}")
    if ask.retry:
        lines.append("Client-Retry: 1")
    body = filler(ask.rid, "ask") if kind.unsafe else b""
    if kind.unsafe:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass(frozen=True, slots=True)
class Heard:
    """A whole request as an endpoint has read it. `fault`: why no client can have sent it so, or ''."""

    rid: str
    path: str
    cls: int = 0
    tenant: int = 0
    key: int = 0
    work_us: float = 0.0
    wait_us: int = 0  # how long the node says it waits
    fault: str = ""


class EndpointParser:
    """One connection of a node: bytes in, whole requests out. ValueError: this is no HTTP."""

    def __init__(self, day: Day) -> None:
        self._day = day
        self._classes = {quote(c.name): k for k, c in enumerate(day.classes)}
        self._parser = httptools.HttpRequestParser(self)
        self._got: list[Heard] = []
        self.begun = False  # a request's first byte has come, its last has not
        self._reset()

    def _reset(self) -> None:
        self._target, self._body, self._head = b"", bytearray(), 0
        self._headers: dict[bytes, bytes] = {}

    def feed(self, data: bytes) -> list[Heard]:
        """The requests that these bytes complete."""
        self._got = []
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ValueError(str(error)) from None
        return self._got

    # httptools calls these
    def on_message_begin(self) -> None:
        """A request's first byte."""
        self._reset()
        self.begun = True

    def on_url(self, url: bytes) -> None:
        """Part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header line."""
        self._headers[name.lower()] = value.strip()

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """A request's last byte."""
        self.begun = False
        self._got.append(self._heard())

    def _heard(self) -> Heard:
        path, _, query = self._target.decode("latin-1").partition("?")
        rid = self._headers.get(b"request-id", b"").decode("latin-1")
        if not rid:
            return Heard("", path)
        words = dict(parse_qsl(query))
        name, _, named = path.lstrip("/").partition("/")
        cls = self._classes.get(name, -1)
        if cls < 0 or named != rid or not {"work_us", "tenant", "key"} <= words.keys():
            return Heard(rid, path, fault="target")
        unsafe = self._day.classes[cls].unsafe
        if self._parser.get_method() != (b"POST" if unsafe else b"GET"):
            return Heard(rid, path, fault="method")
        if bytes(self._body) != (filler(rid, "ask") if unsafe else b""):
            return Heard(rid, path, fault="body")
        wait = self._headers.get(b"request-timeout-ms", b"")
        wait_us = int(wait) * 1000 if wait.isdigit() else self._day.classes[cls].deadline_us
        tenant, key, work_us = int(words["tenant"]), int(words["key"]), float(words["work_us"])
        return Heard(rid, path, cls, tenant, key, work_us, wait_us)


def head_bytes(status: int, length: int, report: dict[str, float] | None, extra: str = "") -> bytes:
    """The head of an endpoint's answer."""
    words = {200: "OK", 400: "Bad Request", 404: "Not Found", 500: "Internal Server Error",
             503: "Service Unavailable", 504: "Gateway Timeout"}  # fmt: skip
    load = f"Server-Load: {json.dumps(report, separators=(',', ':'))}\r\n" if report is not None else ""
    kind = "Content-Type: application/octet-stream\r\n" if length else ""
    first = f"HTTP/1.1 {status} {words[status]}\r\n{kind}"
    return f"{first}Content-Length: {length}\r\n{load}{extra}\r\n".encode()


def reply_bytes(kind: str, rid: str, report: dict[str, float] | None) -> bytes:
    """A whole answer of one of the model's kinds that can be read: `ok`, `error`, `full`, or a probe's."""
    if kind == "ok":
        body = filler(rid, "answer")
        return head_bytes(200, len(body), report) + body
    if kind == "full":
        return head_bytes(503, 0, report, "Not-Started: 1\r\n")
    if kind in ("probe_ok", "probe_bad"):
        body = json.dumps(report).encode() if report is not None else b""
        return head_bytes(200 if kind == "probe_ok" else 503, len(body), None) + body
    return head_bytes(500, 0, report)


@dataclass(slots=True)
class Answer:
    """A client's reading of one answer; `whole` once its last byte is there."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    whole: bool = False
    keep: bool = False

    @property
    def verdict(self) -> str:
        """What PROTOCOL's table makes of it."""
        return "served" if self.status == 200 else "refused" if self.status in (429, 503) else "failed"

    @property
    def retry_after_us(self) -> int:
        """From Retry-After in seconds, whole or decimal; 0: none, or none that can be read."""
        try:
            return max(int(float(self.headers.get(b"retry-after", b"0")) * 1e6), 0)
        except (ValueError, OverflowError):
            return 0


class AnswerParser:
    """Reads one answer at a time on a client's connection. ValueError: this is no HTTP, or more than one."""

    def __init__(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self.answer = Answer()

    def next(self) -> None:
        """The next answer can come."""
        self.answer = Answer()

    def feed(self, data: bytes) -> bool:
        """True once the answer is whole."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ValueError(str(error)) from None
        return self.answer.whole

    def end(self) -> bool:
        """The node has ended its sending: True where an answer without a length ends so."""
        framed = {b"content-length", b"transfer-encoding"} & self.answer.headers.keys()
        if self.answer.status >= 200 and not framed:
            self.answer.whole, self.answer.keep = True, False
        return self.answer.whole

    # httptools calls these
    def on_message_begin(self) -> None:
        """An answer's first byte."""
        if self.answer.whole:
            raise ValueError("bytes behind the answer")
        self.answer = Answer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header line."""
        self.answer.headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self.answer.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        self.answer.body += body

    def on_message_complete(self) -> None:
        """The answer's last byte; a 1xx is not yet the answer."""
        if self.answer.status >= 200:
            self.answer.whole, self.answer.keep = True, self._parser.should_keep_alive()
