"""Headers of requests and responses: which ones are forwarded, and how they are parsed. No I/O.

Headers are pairs of bytes, as they arrived; names are compared in lower case.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

RawHeaders = Iterable[tuple[bytes, bytes]]

REQUEST_ID = "Granitewell-Request-Id"
DEADLINE_MS = "Granitewell-Deadline-Ms"
EXPECT_INSTANCE = "Granitewell-Expect-Instance"
MODEL = "Granitewell-Model"
PROMPT_PREFIX = "Granitewell-Prompt-Prefix"
SIGNATURE = "Granitewell-Response-Seal"
NOT_EXECUTED = "Granitewell-Not-Executed"
SERVER_LOAD = "Granitewell-Server-Load"
LAST_EVENT_ID = "Last-Event-Id"
PRIORITY = "Priority"
EXPECT_VERSION = "Expect-Version"
VERSIONS = "Versions"

_HOP_BY_HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization", b"te",
    b"trailer", b"transfer-encoding", b"upgrade",
})  # fmt: skip
_REWRITTEN = frozenset({
    b"content-length", b"expect", b"granitewell-deadline-ms", b"granitewell-expect-instance", b"priority",
})  # fmt: skip
"""Request headers that are set anew for each attempt."""
_PROTECTED = frozenset({b"host", b"content-type", b"last-event-id"})
"""Headers that a `Connection` header may not remove, in addition to the system's own."""

MAX_LOAD_VALUE = 1_000_000  # larger values in a load report are invalid


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a server reports: requests in progress, requests waiting, slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may have in common."""

    id: str
    tokens: int


def end_to_end(headers: RawHeaders) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers, without the hop-by-hop ones."""
    pairs = list(headers)
    named = {name for key, value in pairs if key.lower() == b"connection" for name in _tokens(value)}
    dropped = _HOP_BY_HOP | {name for name in named if not _is_protected(name)} if named else _HOP_BY_HOP
    return [pair for pair in pairs if pair[0].lower() not in dropped]


def forwarded_headers(headers: RawHeaders) -> list[tuple[bytes, bytes]]:
    """Return the headers of a client's request that are forwarded unchanged to every server."""
    return [pair for pair in end_to_end(headers) if pair[0].lower() not in _REWRITTEN]


def without_header(headers: RawHeaders, name: str) -> list[tuple[bytes, bytes]]:
    """Return all headers except those with a name."""
    dropped = name.lower().encode()
    return [pair for pair in headers if pair[0].lower() != dropped]


def request_head(
    method: str,
    target: str,
    headers: Iterable[tuple[bytes, bytes]],
    extra: Iterable[tuple[str, str]],
    body_length: int | None,
) -> bytes:
    """Return the head of a request to a server.

    `target` is path and query, byte for byte as the client sent them.
    """
    lines = [method.encode("ascii"), b" ", target.encode("utf-8", "surrogateescape"), b" HTTP/1.1\r\n"]
    for name, value in headers:
        lines += (name, b": ", value, b"\r\n")
    for key, text in extra:
        lines.append(f"{key}: {text}\r\n".encode("latin-1"))
    if body_length is not None:
        lines.append(b"Content-Length: %d\r\n" % body_length)
    lines.append(b"\r\n")
    return b"".join(lines)


def parse_milliseconds(value: str | None) -> float | None:
    """Parse a number of milliseconds above 0; None for anything else."""
    if value is None or len(value) > 20:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 < number < 1e12 else None


def parse_server_load(value: str | None) -> ServerLoad | None:
    """Parse `running,waiting,slots`."""
    if value is None:
        return None
    parts = value.split(",")
    if len(parts) != 3:
        return None
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    if min(running, waiting, slots) < 0 or max(running, waiting, slots) > MAX_LOAD_VALUE:
        return None
    return ServerLoad(running, waiting, slots)


def parse_keep_alive(value: str | None) -> float | None:
    """Return the seconds after which the server closes an idle connection."""
    for parameter in (value or "").split(","):
        key, _, number = parameter.partition("=")
        if key.strip().lower() in ("timeout", "") or not number:
            text = (number or key).strip()
            if text.isascii() and text.isdigit() and len(text) < 9:
                return float(text)
    return None


def parse_prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    """Parse `ID:TOKENS,...` in order; an invalid entry ends the list."""
    parts: list[PromptPart] = []
    for entry in (value or "").split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if not part_id or not (tokens.isascii() and tokens.isdigit()) or len(tokens) > 9:
            break
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _tokens(value: bytes) -> Iterator[bytes]:
    return (token.strip().lower() for token in value.split(b","))


def _is_protected(name: bytes) -> bool:
    return name in _PROTECTED or name in _REWRITTEN or name.startswith(b"granitewell-")
