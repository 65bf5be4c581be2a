"""The node's log: one line per entry, as text or as a JSON object.

Lines are limited in length, and lines of a topic in rate. Topics that the operator does not want are left
out, and so is everything while nobody reads the log: a write never waits for the reader and never fails its
caller. No third-party package is needed. `LogSettings` holds the defaults of the operator file's `[log]`
table, which is built from it.
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

# the node's clock starts at one hour, so that earlier starts of endpoints fit
CLOCK_ORIGIN_US = 3_600_000_000
MAX_LINE_CHARS = 900  # a pipe takes such a line completely or not at all
MAX_JSON_BYTES = 4096  # of a JSON line with its end, for the same reason (PIPE_BUF)
MAX_NODE_NAME_CHARS = 64
MAX_FIELDS_BYTES = 1024  # of a JSON line, for the operator's own fields

LogFormat = Literal["lines", "json"]
Level = Literal["info", "warning", "error"]
LogTarget = Literal["stderr", "stdout"]
LEVELS: tuple[Level, ...] = ("info", "warning", "error")  # ascending; a level includes those after it
TOPICS: dict[str, Level] = {
    "phase": "info", "reload": "info", "beat": "info", "module": "info", "ban": "info", "start": "info",
    "discovery": "warning", "known": "warning", "handover": "warning", "dial": "warning", "budget": "warning",
    "accept": "warning", "stall": "warning", "full": "warning", "bad": "warning", "same-id": "warning",
    "spoilt": "warning", "inbound": "warning",
    "member": "info", "cluster": "warning", "lost": "warning",
    "guard": "error", "overdue": "error", "fault": "error", "twin": "error",
}  # fmt: skip
UNMUTABLE_TOPICS = ("phase", "reload")  # written whatever `level` and `mute` say: they answer operators
JSON_KEYS = ("time", "seconds", "node", "level", "topic", "text", "more", "figures", "cut")  # of a JSON line
_FIGURE = r"([A-Za-z][\w-]{0,31})=(-?[0-9]{1,15}(?:\.[0-9]{1,9})?)"  # compiled on use: only JSON needs it


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How the log is written; the defaults apply to a node without an operator file."""

    form: LogFormat = "lines"
    level: Level = "info"
    mute: tuple[str, ...] = ()  # topics to leave out
    rate: float = 1.0  # lines per second and topic
    rates: Mapping[str, float] = field(default_factory=dict)  # by topic, instead of `rate`
    to: LogTarget = "stderr"
    fields: Mapping[str, str] = field(default_factory=dict)  # added to each JSON line


DEFAULT_LOG_SETTINGS = LogSettings()


def format_text(name: str, now_us: int, topic: str, line: str, suppressed: int) -> bytes:
    """Return the form for people: one line with its end, whatever the text contains."""
    more = f" (and {suppressed} more like it)" if suppressed else ""
    seconds = (now_us - CLOCK_ORIGIN_US) / 1e6
    text = f"granitewell {name[:MAX_NODE_NAME_CHARS]} {seconds:.3f} {topic}: {line[:MAX_LINE_CHARS]}{more}"
    return text.replace("\n", " ").encode(errors="replace") + b"\n"


def format_json(
    name: str, now_us: int, unix_us: int, topic: str, line: str, suppressed: int, fields: Mapping[str, str]
) -> bytes:
    """Return the form for programs: one JSON object (RFC 8259) with its end, `MAX_JSON_BYTES` at most.

    A text that is too long is cut, which `cut` indicates. The time is RFC 3339 in UTC.
    """
    record: dict[str, Any] = dict(fields) if fields_bytes(fields) <= MAX_FIELDS_BYTES else {}
    record |= {  # the operator's fields come first, so that they override nothing
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
    """Return the bytes that the operator's own fields take in a JSON line."""
    return len(_encode_json(fields))


def _encode_json(record: Mapping[str, Any]) -> bytes:
    """Return a record as one line of compact JSON."""
    # a lone surrogate, left by undecodable bytes, becomes a question mark: UTF-8 can't encode it
    return json.dumps(record, ensure_ascii=False, separators=(",", ":")).encode(errors="replace") + b"\n"


def parse_figures(line: str) -> dict[str, int | float]:
    """Return the figures of a line that consists of them alone (`held=3 mean=0.25`).

    Empty if any word is not a figure, so that a client's bytes within a sentence never become one.
    """
    found = [re.fullmatch(_FIGURE, word) for word in line.split()]
    if not all(found):
        return {}
    return {m[1]: float(m[2]) if "." in m[2] else int(m[2]) for m in found if m}


def rfc3339(unix_us: int) -> str:
    """Return microseconds since 1970 as RFC 3339 (section 5.6) in UTC."""
    seconds, us = divmod(unix_us, 1_000_000)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))}.{us:06d}Z"


class Log:
    """Writes lines to a descriptor at a limited rate per topic; suppressed lines are counted."""

    def __init__(
        self, name: str, descriptor: int = 2, settings: LogSettings = DEFAULT_LOG_SETTINGS,
        wall_us: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:  # fmt: skip
        """Create a log.

        Args:
            name: The node's name.
            descriptor: Where to write unless the settings name standard output.
            settings: How to write.
            wall_us: Returns Unix time in microseconds.
        """
        self._name, self._default_descriptor, self._wall_us = name, descriptor, wall_us
        # by topic: when last written, and lines suppressed since
        self._last_written: dict[str, tuple[int, int]] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: LogSettings) -> None:
        """Write by these settings from now on; the counts of suppressed lines are kept."""
        self._settings = settings
        self._every_us = int(1e6 / settings.rate)
        self._rates_us = {topic: int(1e6 / rate) for topic, rate in settings.rates.items()}
        min_level = LEVELS.index(settings.level)
        muted_by_level = {topic for topic, level in TOPICS.items() if LEVELS.index(level) < min_level}
        self._mute = (muted_by_level | set(settings.mute)).difference(UNMUTABLE_TOPICS)
        # if standard output was closed at start, its descriptor may belong to a client's connection by now
        self._descriptor = (
            1 if settings.to == "stdout" and sys.__stdout__ is not None else self._default_descriptor
        )
        self._ready = select.poll()
        self._ready.register(self._descriptor, select.POLLOUT)

    def write(self, now_us: int, topic: str, line: str, always: bool = False) -> None:
        """Write a line unless its topic is muted, comes too fast, or nobody reads the log.

        Args:
            now_us: The time on the node's clock.
            topic: The line's topic.
            line: The text.
            always: Ignore the rate, for a line that answers an operator.
        """
        if topic in self._mute:
            return
        every_us = self._rates_us.get(topic, self._every_us)
        written_us, suppressed = self._last_written.get(topic, (-every_us, 0))
        if now_us - written_us < every_us and topic != "phase" and not always:
            self._last_written[topic] = written_us, suppressed + 1
            return
        if not self._ready.poll(0):
            # nobody reads the log: a write would block every request
            self._last_written[topic] = written_us, suppressed + 1
            return
        self._last_written[topic] = now_us, 0
        with contextlib.suppress(OSError):  # serve on without a log
            os.write(self._descriptor, self._format(now_us, topic, line, suppressed))

    def _format(self, now_us: int, topic: str, line: str, suppressed: int) -> bytes:
        """Return the line in the configured form."""
        if self._settings.form == "json":
            unix_us = self._wall_us()
            return format_json(self._name, now_us, unix_us, topic, line, suppressed, self._settings.fields)
        return format_text(self._name, now_us, topic, line, suppressed)
