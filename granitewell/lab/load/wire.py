"""The bytes: requests in the platform's protocol or as a plain GET, and answers read by httptools.

It owns header names and status codes. It must never touch a socket or read a clock.
"""

from __future__ import annotations

import httptools

from granitewell.lab.load.counts import End
from granitewell.lab.load.flow import Request
from granitewell.lab.load.plan import LoadClass, Plan, Target

MAX_HEAD = 64 * 1024  # bytes of an answer before its body begins


class Heads:
    """A run's requests. What is the same in many is put together once, here."""

    def __init__(self, plan: Plan, worker: int) -> None:
        self._ids = f"{plan.run}{worker:02x}".encode()
        self._plain = not plan.classes
        self._plains = [f"GET {plan.path} HTTP/1.1\r\nHost: {t}\r\n\r\n".encode() for t in plan.targets]
        self._keyed = plan.keys > 0
        tenants = [t.name for t in plan.tenants]
        self._forms = [[[self._form(t, c, n) for n in tenants] for c in plan.classes] for t in plan.targets]

    def _form(self, target: Target, cls: LoadClass, tenant: str) -> bytes:
        key = "Affinity-Key: %016x\r\n" if self._keyed else ""
        length = f"Content-Length: {cls.body_bytes}\r\n" if cls.method == "POST" else ""
        head = (
            f"{cls.method} /{cls.name} HTTP/1.1\r\nHost: {target}\r\nRequest-Id: %b%08x\r\n"
            f"Request-Class: {cls.name}\r\nTenant: {tenant}\r\n{key}Request-Timeout-Ms: %d\r\n{length}\r\n"
        )
        return head.encode() + b"x" * cls.body_bytes

    def bytes_of(self, request: Request, left_us: int) -> bytes:
        """The whole request; left_us: how long its client still waits."""
        if self._plain:
            return self._plains[request.target]
        form = self._forms[request.target][request.cls][request.tenant]
        left_ms = max(-(-left_us // 1000), 1)
        if self._keyed:
            # keys spread over the 64 bits, as real ones do: neighbours must not look alike to a hash
            key = request.key * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
            return form % (self._ids, request.number, key, left_ms)
        return form % (self._ids, request.number, left_ms)


class Answer:
    """Answers on one connection, one after the other. `began`: bytes of the present one have come."""

    __slots__ = ("_framed", "_head", "_in_body", "_parser", "began", "keep", "status", "whole")

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.next()

    def next(self) -> None:
        """Another request is written on the connection."""
        self.began = self.whole = self._framed = self._in_body = False
        self.status = self._head = 0
        self.keep = True

    def feed(self, data: bytes) -> bool:
        """True once the answer is whole. ValueError: these bytes are none."""
        self.began = True
        self._head += 0 if self._in_body else len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.whole:
                raise ValueError(f"no HTTP answer: {error}") from None
            self.keep = False  # the answer stands; what followed it does not
        if self._head > MAX_HEAD and not self._in_body:
            raise ValueError("the head is too large")
        return self.whole

    def end(self) -> bool:
        """The connection has ended: True where that is how an answer without a stated length ends."""
        self.keep = False
        self.whole = self.whole or (self._in_body and not self._framed)
        return self.whole

    def release(self) -> None:
        """Nothing more is read: without the parser, which refers back here, this is freed at once."""
        del self._parser

    # httptools calls these
    def on_message_begin(self) -> None:
        if self.whole:
            self.keep = False  # bytes beyond the answer: what follows can't be told apart

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(name) in (14, 17) and name.lower() in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        if not self.whole:
            self.status = self._parser.get_status_code()
            self._in_body = self.status >= 200

    def on_message_complete(self) -> None:
        if not self.whole and self._in_body:  # a 1xx is not yet the answer
            self.whole = True
            self.keep = self._parser.should_keep_alive()


def end_of(status: int) -> End:
    """PROTOCOL's table of what a node answers."""
    return End.SERVED if status == 200 else End.REFUSED if status in (429, 503) else End.FAILED
