"""Splits a stream of server-sent events into complete events, byte for byte. No I/O.

An event ends at a blank line; lines end with LF, CR LF or CR. What follows the last blank line is buffered
until the rest of it arrives, so that only complete events are forwarded.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from granitewell.domain.servers import parse_version

MAX_EVENT_BYTES = 4 * 1024 * 1024  # of one event: beyond it the stream is held to be broken

_END = re.compile(rb"\r\n\r\n|\r\n\n|\n\r\n|\n\n|\r\r\n|\r\r(?!\n)|\n\r(?=[^\n])")
_VERSION_LINE = b"versions:"
_ID = re.compile(rb"(?:^|[\r\n])id(?::[ ]?([^\r\n]*))?(?=[\r\n])")


class EventTooLongError(Exception):
    """An event exceeds the size limit."""


@dataclass(frozen=True, slots=True)
class Event:
    """A complete event.

    Attributes:
        data: Its bytes, with the blank line.
        id: None if it has none.
        version: Version of the weights that changes with it, 0 if none does.
    """

    data: bytes
    id: str | None
    version: int = 0


def event_number(event_id: str | None) -> int | None:
    """Return an event's id as a number; None if it is not one."""
    if event_id is None or not event_id.isascii() or not event_id.isdigit():
        return None
    return int(event_id)


class EventSplitter:
    """Takes bytes as they arrive, returns complete events."""

    __slots__ = ("_rest", "_search_from")

    def __init__(self) -> None:
        self._rest = b""
        self._search_from = 0  # of the rest: no blank line ends before here

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not complete yet."""
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
    """Return what the first line says of the version; 0 if it says nothing."""
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
