"""Byte faults: ways in which an answer can arrive that a node must live with.

It owns scripts of writes and endings. `SPOILT` answers can't be read as the answer that they were to be,
and a node has to see that; `ROUGH` ones are right and only come oddly, and a node has to take them. Which
of them an answer gets depends on its request's id alone. It must never touch a socket or a clock: a
script's waits are microseconds for the shell to keep.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

MORE = 41 * 1024 * 1024  # bytes of a body that is over the platform's limit; a small part of them comes


@dataclass(frozen=True, slots=True)
class Step:
    """Wait so long, then write, and then end: `half`, `close`, `reset`, or go on (``)."""

    wait_us: int
    data: bytes = b""
    then: str = ""


Script = tuple[Step, ...]


def _cut(good: bytes) -> tuple[bytes, bytes]:
    """Head (with its empty line) and body."""
    head, _, body = good.partition(b"\r\n\r\n")
    return head + b"\r\n\r\n", body


def _with(good: bytes, old: bytes, new: bytes) -> bytes:
    """The answer with one line of its head replaced."""
    head, body = _cut(good)
    lines = [new if x.lower().startswith(old) else x for x in head.split(b"\r\n")]
    return b"\r\n".join(lines) + body


def _half(good: bytes) -> bytes:
    head, body = _cut(good)
    return head + body[: len(body) // 2]


def _chunked(good: bytes, size: int, last: bytes) -> bytes:
    head, body = _cut(good)
    parts = [body[k : k + size] for k in range(0, len(body), size)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    return _with(head, b"content-length:", b"Transfer-Encoding: chunked") + chunks + last


def _endless(good: bytes) -> Script:
    """A head that never ends, 4 KiB at a time."""
    pad = b"X-Pad: " + b"x" * 4087 + b"\r\n"
    first = Step(0, b"HTTP/1.1 200 OK\r\n")
    return (first, *[Step(1000, pad) for _ in range(40)], Step(0, b"", "close"))


def _overlong(good: bytes) -> Script:
    head = _with(_cut(good)[0], b"content-length:", b"Content-Length: %d" % MORE)
    return Step(0, head), Step(500, b"y" * 70_000, "close")


def _double(good: bytes) -> bytes:
    head, body = _cut(good)
    return head[:-2] + b"Content-Length: %d\r\n\r\n" % (len(body) + 7) + body


SPOILT: dict[str, Callable[[bytes], Script]] = {
    "status": lambda g: (Step(0, b"HTTP/1.1 2x0 OK\r\n" + _with(g, b"http/1.1", b"X: y"), "close"),),
    "noise": lambda g: (Step(0, blake2b(g).digest() * 8, "close"),),
    "binary head": lambda g: (Step(0, _with(g, b"content-type:", b"Content\0-Type: x"), "close"),),
    "length word": lambda g: (Step(0, _with(g, b"content-length:", b"Content-Length: many"), "close"),),
    "two lengths": lambda g: (Step(0, _double(g), "close"),),
    "ends short": lambda g: (Step(0, _half(g), "close"),),
    "half-closed": lambda g: (Step(0, _half(g), "half"),),
    "reset inside": lambda g: (Step(0, _half(g)), Step(2000, b"", "reset")),
    "stands inside": lambda g: (Step(0, _half(g)),),
    "chunk size": lambda g: (Step(0, _chunked(g, 64, b"zz\r\n"), "close"),),
    "chunks end": lambda g: (Step(0, _chunked(g, 64, b""), "close"),),
    "endless head": _endless,
    "too long": _overlong,
}


def _trickle(good: bytes) -> Script:
    """The first 48 bytes one at a time, the rest at once."""
    return (*[Step(300, good[k : k + 1]) for k in range(48)], Step(300, good[48:]))


_INTERIM = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\nX: y\r\n\r\n"
ROUGH: dict[str, Callable[[bytes], Script]] = {
    "interim": lambda g: (Step(0, _INTERIM + g),),
    "early hints": lambda g: (Step(0, b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"), Step(2000, g)),
    "trickle": _trickle,
    "split": lambda g: (Step(0, g[:20]), Step(1000, g[20:-1]), Step(1000, g[-1:])),
    "chunked": lambda g: (Step(0, _chunked(g, 37, b"0\r\n\r\n")),),
    "leftover": lambda g: (Step(0, g + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold", "close"),),
    "says close": lambda g: (Step(0, _with(g, b"content-type:", b"Connection: close"), "close"),),
    "until end": lambda g: (Step(0, _with(g, b"content-length:", b"X-Length: none"), "close"),),
    "small case": lambda g: (Step(0, _cut(g)[0].lower().replace(b"http/1.1 200 ok", b"HTTP/1.1 200 ok")
                                  + _cut(g)[1]),),
}  # fmt: skip


def _draw(rid: str, purpose: str) -> int:
    return int.from_bytes(blake2b(f"{purpose}/{rid}".encode(), digest_size=4).digest(), "big")


def spoilt(rid: str, good: bytes) -> tuple[str, Script]:
    """How this answer is spoilt: the way's name, and its script."""
    name = list(SPOILT)[_draw(rid, "spoilt") % len(SPOILT)]
    return name, SPOILT[name](good)


def rough(rid: str, good: bytes, share: float) -> tuple[str, Script] | None:
    """The odd way in which this right answer comes, for this share of all; None: in the plain way."""
    if _draw(rid, "whether") >= share * 2**32:
        return None
    name = list(ROUGH)[_draw(rid, "rough") % len(ROUGH)]
    return name, ROUGH[name](good)
