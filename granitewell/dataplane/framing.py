"""Finds how many of a server's bytes belong to an answer. No I/O.

aiohttp's parser interprets the answer. These types follow the same bytes only to find where its head and its
body end, however the network has split them, so that no byte behind an answer is taken for a part of it.
"""

from __future__ import annotations

from typing import Protocol

HEAD_END = b"\r\n\r\n"
MAX_LINE_BYTES = 4_096  # of a chunk's size or of a trailer


class MalformedFramingError(Exception):
    """The bytes cannot be the body that the head has announced."""


class HeadFraming:
    """Finds the blank line behind a head."""

    __slots__ = ("_tail",)

    def __init__(self) -> None:
        self._tail = b""  # bytes that may be the beginning of the blank line

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
    """Follows a body."""

    @property
    def is_complete(self) -> bool:
        """Whether all of it has arrived."""

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
        self._remaining = 0  # bytes of the chunk to come, with its line end
        self._line = b""  # the beginning of a line
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
            raise MalformedFramingError("a line beyond all bounds")

    def _handle_line(self, line: bytes) -> None:
        """Handle a line without its end.

        What is not a number here is not one for the parser either, which is stricter.
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
    """A body that ends with its connection: its bytes never tell that it is complete."""

    __slots__ = ()

    @property
    def is_complete(self) -> bool:
        """See BodyFraming."""
        return False

    def consume(self, data: bytes) -> int:
        """See BodyFraming."""
        return len(data)
