"""The node's log: one line for each thing worth saying, as text or as a JSON object.

It owns the forms of a line, its length, and what is left out: lines of a topic that come too fast, topics
that the operator does not want, and everything while nobody reads. A write must never wait for the reader,
fail its caller, or need a third-party package; nothing here decides what is worth saying. `LogSettings` holds
the defaults of the operator file's `[log]` table, which is made from it, and no other room repeats them.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import select
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

CLOCK_ORIGIN_US = 3_600_000_000  # the core's clock begins at an hour, so that earlier starts of endpoints fit
MAX_LINE_CHARS = 900  # characters of a log line: what a pipe takes whole as soon as it takes anything
MAX_JSON_BYTES = 4096  # of a JSON line with its end, for the same reason (PIPE_BUF)
MAX_NODE_NAME_CHARS = 64  # characters of the node's name in a line
MAX_FIELDS_BYTES = 1024  # bytes that the operator's own fields may take of a JSON line

LogFormat = Literal["lines", "json"]
Level = Literal["info", "warning", "error"]
LogTarget = Literal["stderr", "stdout"]
LEVELS: tuple[Level, ...] = ("info", "warning", "error")  # each stands for itself and those behind it
TOPICS: dict[str, Level] = {
    "phase": "info", "reload": "info", "beat": "info", "module": "info", "ban": "info", "start": "info",
    "discovery": "warning", "known": "warning", "handover": "warning", "dial": "warning", "budget": "warning",
    "accept": "warning", "stall": "warning", "full": "warning", "bad": "warning", "same-id": "warning",
    "spoilt": "warning", "inbound": "warning",
    "member": "info", "cluster": "warning", "lost": "warning",
    "guard": "error", "overdue": "error", "fault": "error", "twin": "error",
}  # fmt: skip
UNMUTABLE_TOPICS = ("phase", "reload")  # written whatever `level` and `mute` say: what was asked of the node
JSON_KEYS = ("time", "seconds", "node", "level", "topic", "text", "more", "figures", "cut")  # of a JSON line
_FIGURE = r"([A-Za-z][\w-]{0,31})=(-?[0-9]{1,15}(?:\.[0-9]{1,9})?)"  # compiled only where JSON is written


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How the log is written; the defaults are what a node without an operator file does."""

    form: LogFormat = "lines"
    level: Level = "info"
    mute: tuple[str, ...] = ()  # topics that are not written
    rate: float = 1.0  # lines a second and topic
    rates: Mapping[str, float] = field(default_factory=dict)  # by topic, in place of `rate`
    to: LogTarget = "stderr"
    fields: Mapping[str, str] = field(default_factory=dict)  # added to each JSON line


DEFAULT_LOG_SETTINGS = LogSettings()


def format_text(name: str, now_us: int, topic: str, line: str, suppressed: int) -> bytes:
    """The form for people: one line with its end, whatever the text holds."""
    more = f" (and {suppressed} more like it)" if suppressed else ""
    seconds = (now_us - CLOCK_ORIGIN_US) / 1e6
    text = f"granitewell {name[:MAX_NODE_NAME_CHARS]} {seconds:.3f} {topic}: {line[:MAX_LINE_CHARS]}{more}"
    return text.replace("\n", " ").encode(errors="replace") + b"\n"


def format_json(
    name: str, now_us: int, unix_us: int, topic: str, line: str, suppressed: int, fields: Mapping[str, str]
) -> bytes:
    """The form for programs: one object (RFC 8259) with its end, of `MAX_BYTES` at most.

    The text is what gives way, and `cut` says so. The time is RFC 3339 in UTC.
    """
    record: dict[str, Any] = dict(fields) if fields_bytes(fields) <= MAX_FIELDS_BYTES else {}
    record |= {  # the fields came first, so that they can take the place of nothing
        "time": rfc3339(unix_us),
        "seconds": round((now_us - CLOCK_ORIGIN_US) / 1e6, 3),
        "node": name[:MAX_NODE_NAME_CHARS],
        "level": TOPICS.get(topic, "info"),
        "topic": topic,
        "text": line[:MAX_LINE_CHARS],
        "more": suppressed,
    }
    if numbers := parse_figures(line[:MAX_LINE_CHARS]):
        record["figures"] = numbers
    if len(line) > MAX_LINE_CHARS:
        record["cut"] = True
    while len(raw := _encode_json(record)) > MAX_JSON_BYTES and record["text"]:
        record["cut"] = True
        if not record.pop("figures", None):
            record["text"] = record["text"][: len(record["text"]) * 3 // 4]
    return raw


def fields_bytes(fields: Mapping[str, str]) -> int:
    """What the operator's own fields take of a JSON line."""
    return len(_encode_json(fields))


def _encode_json(record: Mapping[str, Any]) -> bytes:
    # half of a surrogate pair, as undecodable bytes leave it, is a question mark: UTF-8 has no form for it
    return json.dumps(record, ensure_ascii=False, separators=(",", ":")).encode(errors="replace") + b"\n"


def parse_figures(line: str) -> dict[str, int | float]:
    """The figures of a line that holds nothing else (`held=3 mean=0.25`).

    None where a word is no figure, so that bytes of a client within a sentence never turn into one.
    """
    found = [re.fullmatch(_FIGURE, word) for word in line.split()]
    if not all(found):
        return {}
    return {m[1]: float(m[2]) if "." in m[2] else int(m[2]) for m in found if m}


def rfc3339(unix_us: int) -> str:
    """Microseconds since 1970 as RFC 3339, section 5.6, in UTC."""
    seconds, us = divmod(unix_us, 1_000_000)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))}.{us:06d}Z"


class Log:
    """Lines on a descriptor, at most so many a topic and second; what is left out is counted."""

    def __init__(
        self, name: str, descriptor: int = 2, settings: LogSettings = DEFAULT_LOG_SETTINGS,
        wall_us: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:  # fmt: skip
        self._name, self._default_descriptor, self._wall_us = name, descriptor, wall_us
        self._last_written: dict[str, tuple[int, int]] = {}  # topic: when written, left out since
        self.apply_settings(settings)

    def apply_settings(self, settings: LogSettings) -> None:
        """Write as these settings say from now on; what has been counted as left out stays counted."""
        self._settings = settings
        self._every_us = int(1e6 / settings.rate)
        self._rates_us = {topic: int(1e6 / rate) for topic, rate in settings.rates.items()}
        min_level = LEVELS.index(settings.level)
        muted_by_level = {topic for topic, level in TOPICS.items() if LEVELS.index(level) < min_level}
        self._mute = (muted_by_level | set(settings.mute)).difference(UNMUTABLE_TOPICS)
        # a standard output that was closed at the start may be a client's connection by now
        self._descriptor = (
            1 if settings.to == "stdout" and sys.__stdout__ is not None else self._default_descriptor
        )
        self._ready = select.poll()
        self._ready.register(self._descriptor, select.POLLOUT)

    def write(self, now_us: int, topic: str, line: str, always: bool = False) -> None:
        """Write the line unless its topic is muted, it comes too fast, or nobody reads.

        `always`: however fast, as the answer to something that was asked of the node.
        """
        if topic in self._mute:
            return
        every_us = self._rates_us.get(topic, self._every_us)
        written_us, suppressed = self._last_written.get(topic, (-every_us, 0))
        if now_us - written_us < every_us and topic != "phase" and not always:
            self._last_written[topic] = written_us, suppressed + 1
            return
        if not self._ready.poll(0):
            # nobody takes the log: a write would block, and all requests with it
            self._last_written[topic] = written_us, suppressed + 1
            return
        self._last_written[topic] = now_us, 0
        with contextlib.suppress(OSError):  # nor is a log that has gone a reason to stop serving
            os.write(self._descriptor, self._format(now_us, topic, line, suppressed))

    def _format(self, now_us: int, topic: str, line: str, suppressed: int) -> bytes:
        if self._settings.form == "json":
            unix_us = self._wall_us()
            return format_json(self._name, now_us, unix_us, topic, line, suppressed, self._settings.fields)
        return format_text(self._name, now_us, topic, line, suppressed)
