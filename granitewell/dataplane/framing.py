"""Framing of responses: how many of a server's bytes belong to a response. No I/O.

aiohttp's parser interprets the response. These classes only follow the same bytes to find the end of the head
and of the body, however the network splits them, so that bytes after a response are never taken for part of
it.
"""

from __future__ import annotations

from typing import Protocol

HEAD_END = b"\r\n\r\n"
MAX_LINE_BYTES = 4_096  # of a chunk size line or a trailer line


class MalformedFramingError(Exception):
    """The bytes can't be a body of the announced length or coding."""


class HeadFraming:
    """Finds the blank line at the end of a head."""

    __slots__ = ("_tail",)

    def __init__(self) -> None:
        self._tail = b""  # last bytes, which may begin the blank line

    def consume(self, data: bytes) -> tuple[int, bool]:
        """Return how many of these bytes belong to the head, and whether it ends with them."""
        window = self._tail + data
        start = window.find(HEAD_END)
        if start < 0:
            self._tail = window[1 - len(HEAD_END) :]
            return len(data), False
        taken = start + len(HEAD_END) - len(self._tail)
        self._tail = b""
        return taken, True


class BodyFraming(Protocol):
    """Finds the end of a body."""

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived."""

    def consume(self, data: bytes) -> int:
        """Return how many of these bytes belong to the body; raises MalformedFramingError."""


class LengthFraming:
    """A body with a Content-Length."""

    __slots__ = ("_remaining",)

    def __init__(self, length: int) -> None:
        self._remaining = length

    @property
    def is_complete(self) -> bool:
        """See BodyFraming."""
        return self._remaining == 0

    def consume(self, data: bytes) -> int:
        """See BodyFraming."""
        taken = min(self._remaining, len(data))
        self._remaining -= taken
        return taken


class ChunkedFraming:
    """A chunked body."""

    __slots__ = ("_in_trailer", "_remaining", "_line", "is_complete")

    def __init__(self) -> None:
        self._remaining = 0  # bytes left of the current chunk, with its line end
        self._line = b""  # incomplete line
        self._in_trailer = False
        self.is_complete = False

    def consume(self, data: bytes) -> int:
        """See BodyFraming."""
        offset, size = 0, len(data)
        while offset < size and not self.is_complete:
            if self._remaining:
                step = min(self._remaining, size - offset)
                self._remaining -= step
                offset += step
                continue
            end = data.find(b"\n", offset)
            if end < 0:
                self._buffer_line(data[offset:])
                return size
            self._handle_line(self._line + data[offset:end])
            offset = end + 1
        return offset

    def _buffer_line(self, data: bytes) -> None:
        self._line += data
        if len(self._line) > MAX_LINE_BYTES:
            raise MalformedFramingError("a chunk size or trailer line is too long")

    def _handle_line(self, line: bytes) -> None:
        """Handle a chunk size line or a trailer line, without its line end.

        A size that is not a number here is not one for aiohttp's parser either, which is stricter.
        """
        self._line = b""
        if self._in_trailer:
            self.is_complete = line in (b"", b"\r")
            return
        try:
            length = int(line.partition(b";")[0] if b";" in line else line, 16)
        except ValueError as error:
            raise MalformedFramingError("a chunk without a size") from error
        if length < 0:
            raise MalformedFramingError("a chunk of a negative size")
        self._in_trailer = length == 0
        self._remaining = length + 2 if length else 0


class CloseFraming:
    """A body that ends when the connection is closed; its bytes don't show that it is complete."""

    __slots__ = ()

    @property
    def is_complete(self) -> bool:
        """See BodyFraming."""
        return False

    def consume(self, data: bytes) -> int:
        """See BodyFraming."""
        return len(data)
