"""Splitting of a stream of server-sent events into complete events, byte for byte. No I/O.

An event ends at a blank line; lines end with LF, CR LF or CR. Bytes after the last blank line are
buffered until their event is complete, so that only complete events are forwarded.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from granitewell.domain.servers import parse_version

MAX_EVENT_BYTES = 4 * 1024 * 1024  # of one event; a stream with a longer one is malformed

_END = re.compile(rb"\r\n\r\n|\r\n\n|\n\r\n|\n\n|\r\r\n|\r\r(?!\n)|\n\r(?=[^\n])")
_VERSION_LINE = b"versions:"
_ID = re.compile(rb"(?:^|[\r\n])id(?::[ ]?([^\r\n]*))?(?=[\r\n])")


class EventTooLongError(Exception):
    """An event exceeds the size limit."""


@dataclass(frozen=True, slots=True)
class Event:
    """A complete event.

    Attributes:
        data: Bytes of the event, including the blank line.
        id: None if it has none.
        version: Version of the model's weights from this event on, 0 if the event names none.
    """

    data: bytes
    id: str | None
    version: int = 0


def event_number(event_id: str | None) -> int | None:
    """Return an event id as a number; None if it is not a number."""
    if event_id is None or not event_id.isascii() or not event_id.isdigit():
        return None
    return int(event_id)


class EventSplitter:
    """Incremental splitter: takes bytes as they arrive and returns complete events."""

    __slots__ = ("_rest", "_search_from")

    def __init__(self) -> None:
        self._rest = b""
        self._search_from = 0  # no blank line ends before this offset of the buffer

    @property
    def rest(self) -> bytes:
        """Bytes of the incomplete event at the end."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete with these bytes."""
        rest = self._rest + data if self._rest else data
        events: list[Event] = []
        start, search = 0, self._search_from
        while (match := _END.search(rest, search)) is not None:
            event = rest[start : match.end()]
            events.append(Event(event, _id_of(event), _version_of(event)))
            start = search = match.end()
        self._rest = rest[start:]
        self._search_from = max(len(self._rest) - 3, 0)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events


def _version_of(event: bytes) -> int:
    """Return the version that the first line of an event names; 0 if it names none."""
    if not event.startswith(_VERSION_LINE):
        return 0
    line = event[len(_VERSION_LINE) :].splitlines()[0]
    return parse_version(line.strip().decode("latin-1"))


def _id_of(event: bytes) -> str | None:
    found = None
    if b"id" not in event:
        return None
    for match in _ID.finditer(event):
        found = match.group(1) or b""
    return found.decode("latin-1") if found is not None else None
