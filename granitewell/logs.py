"""Logs of the system's processes: logbook's records as bounded lines on standard error.

One record is one line: `level logger message key=value ...`. A message is a constant template; what changes
goes into keyword arguments, which follow it as `key=value` or fill its braces:

    log = Logger("granitewell.control")
    log.info("leader elected", group="shard-0", term=3)
    -> info granitewell.control leader elected group=shard-0 term=3

The lines of one logger and template are limited by a token bucket, and so are all lines together. Suppressed
lines are counted, and the count is logged. Logging never blocks: while no one reads standard error, lines are
suppressed too. Lines have no timestamp: the log collector adds it, and a machine's wall clock may be wrong.
"""

from __future__ import annotations

import contextlib
import logging
import os
import re
import select
import sys
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from types import TracebackType
from typing import Any

import logbook

TEMPLATE_BURST_LINES = 5.0
TEMPLATE_RATE_PER_S = 0.5
TOTAL_BURST_LINES = 40.0  # of all templates together; also bounds messages that are not constant templates
TOTAL_RATE_PER_S = 10.0
MAX_TEMPLATES = 256  # buckets that are kept; the least recently used one is evicted
REPORT_INTERVAL_S = 10.0  # between two reports of suppressed lines
MAX_LINE_CHARS = 900  # keeps a line below what a pipe writes atomically (PIPE_BUF, 4,096 bytes)
MAX_FRAMES = 4  # of a traceback, the innermost
STDERR_DESCRIPTOR = 2

Clock = Callable[[], float]  # seconds on a monotonic clock
Write = Callable[[bytes], bool]  # writes a line; returns False if it could not
ExceptionInfo = tuple[type[BaseException] | None, BaseException | None, TracebackType | None]


class TokenBucket:
    """Limits a rate: a burst at once, and a number per second in the long run."""

    __slots__ = ("_refilled_at", "_burst", "_rate", "_tokens", "suppressed")

    def __init__(self, burst: float, rate: float, now: float) -> None:
        self._burst = burst
        self._rate = rate
        self._tokens = burst
        self._refilled_at = now
        self.suppressed = 0  # lines since the last that was written

    def take(self, now: float) -> bool:
        """Return whether a line may be written now."""
        self._tokens = min(self._burst, self._tokens + max(0.0, now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimiter:
    """Decides which lines are written, by logger and template, and over all."""

    def __init__(self, now: float) -> None:
        self._total = TokenBucket(TOTAL_BURST_LINES, TOTAL_RATE_PER_S, now)
        self._buckets: OrderedDict[tuple[str, str], TokenBucket] = OrderedDict()
        self._suppressed = 0
        self._reported_at = now

    def admits(self, logger: str, template: str, now: float) -> bool:
        """Return whether this line may be written; count it as suppressed otherwise."""
        bucket = self._bucket((logger, template), now)
        if bucket.take(now) and self._total.take(now):
            return True
        self.count_suppressed(logger, template, now)
        return False

    def count_suppressed(self, logger: str, template: str, now: float, lines: int = 1) -> None:
        """Count lines that were not written."""
        self._bucket((logger, template), now).suppressed += lines
        self._suppressed += lines

    def take_template_suppressed(self, logger: str, template: str, now: float) -> int:
        """Return how many lines of this template were suppressed since the last one written."""
        bucket = self._bucket((logger, template), now)
        count, bucket.suppressed = bucket.suppressed, 0
        self._suppressed = max(0, self._suppressed - count)
        return count

    def take_unreported(self, now: float) -> int:
        """Return how many suppressed lines are unreported, once per report interval; otherwise 0."""
        if not self._suppressed or now - self._reported_at < REPORT_INTERVAL_S:
            return 0
        count, self._suppressed, self._reported_at = self._suppressed, 0, now
        for bucket in self._buckets.values():
            bucket.suppressed = 0
        return count

    def _bucket(self, key: tuple[str, str], now: float) -> TokenBucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(TEMPLATE_BURST_LINES, TEMPLATE_RATE_PER_S, now)
            if len(self._buckets) > MAX_TEMPLATES:
                self._buckets.popitem(last=False)
        else:
            self._buckets.move_to_end(key)
        return bucket


@dataclass(frozen=True, slots=True)
class LogLine:
    """Contents of a line before it is formatted.

    Attributes:
        values: Values that the message does not show already.
    """

    level: str
    logger: str
    message: str
    values: Mapping[str, object]
    suppressed: int = 0

    def encode(self) -> bytes:
        """Return the line with its end, bounded; whatever it contains, it stays one line."""
        parts = [self.level, self.logger, self.message.strip()]
        parts += [f"{key}={_value(value)}" for key, value in self.values.items()]
        text = _one_line(" ".join(parts))[:MAX_LINE_CHARS]
        if self.suppressed:
            text += f" left_out={self.suppressed}"
        return text.encode(errors="replace") + b"\n"


def _one_line(text: str) -> str:
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else " " if c.isspace() else "?" for c in text)


def _value(value: object) -> str:
    """Return the text of a value, in quotes if its end would otherwise be ambiguous."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not re.search(r"[\s\"=]", text):
        return text
    return '"' + text[:MAX_LINE_CHARS].replace("\\", "\\\\").replace('"', '\\"') + '"'


def _traceback(error: ExceptionInfo) -> Iterator[tuple[str, str]]:
    """Yield the error and where it was raised, as values of a line."""
    kind, raised, trace = error
    if kind is None:
        return
    yield "error", f"{kind.__name__}: {raised}"
    frames = []
    while trace is not None:
        code = trace.tb_frame.f_code
        frames.append(f"{Path(code.co_filename).name}:{trace.tb_lineno}:{code.co_name}")
        trace = trace.tb_next
    yield "at", "<".join(reversed(frames[-MAX_FRAMES:]))


class BoundedLog:
    """Writes lines as far as the rate limit admits them."""

    def __init__(self, clock: Clock, write: Write) -> None:
        self._clock = clock
        self._write = write
        self._limiter = RateLimiter(clock())

    def admits(self, logger: str, template: str) -> bool:
        """Return whether a line may be written.

        This is asked before the line is formatted, so that suppressed lines are cheap.
        """
        return self._limiter.admits(logger, template, self._clock())

    def write(self, line: LogLine, template: str) -> None:
        """Write a line that was admitted."""
        now = self._clock()
        suppressed = self._limiter.take_template_suppressed(line.logger, template, now)
        if self._write(replace(line, suppressed=suppressed).encode()):
            self._report_suppressed(now)
        else:
            self._limiter.count_suppressed(line.logger, template, now, suppressed + 1)

    def _report_suppressed(self, now: float) -> None:
        count = self._limiter.take_unreported(now)
        if count:
            line = LogLine("warning", "granitewell.logs", "lines were left out", {"left_out": count})
            self._write(line.encode())


class LogLineHandler(logbook.Handler):  # type: ignore[misc]  # logbook has no type information
    """Writes logbook's records as bounded lines."""

    def __init__(self, lines: BoundedLog, level: int = logbook.INFO) -> None:
        super().__init__(level=level)
        self._lines = lines

    def emit(self, record: Any) -> None:
        """Write a record as a line; called by logbook."""
        logger, template = record.channel or "-", str(record.msg)
        if not self._lines.admits(logger, template):
            return
        values = {key: value for key, value in record.kwargs.items() if f"{{{key}" not in template}
        if record.exc_info:
            values.update(_traceback(record.exc_info))
        level = logbook.get_level_name(record.level).lower()
        self._lines.write(LogLine(level, logger, _message(record, template), values), template)


def _message(record: Any, template: str) -> str:
    try:
        return str(record.message)
    except Exception:  # noqa: BLE001  its arguments do not fit its template
        return template


class StandardLoggingHandler(logging.Handler):
    """Writes records of libraries that use Python's logging (asyncio, aiohttp) as the same lines."""

    def __init__(self, lines: BoundedLog) -> None:
        super().__init__(logging.WARNING)
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line; called by Python's logging."""
        template = str(record.msg)
        if not self._lines.admits(record.name, template):
            return
        try:
            message = record.getMessage()
        except (TypeError, ValueError):  # its arguments don't fit its template
            message = template
        values = dict(_traceback(record.exc_info)) if record.exc_info else {}
        self._lines.write(LogLine(record.levelname.lower(), record.name, message, values), template)


class DescriptorWriter:
    """Writes lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int = STDERR_DESCRIPTOR) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def __call__(self, line: bytes) -> bool:
        """Return whether the line was accepted."""
        if not self._poll.poll(0):
            return False
        with contextlib.suppress(OSError):  # a closed log is no reason to stop serving
            os.write(self._descriptor, line)
            return True
        return False


def set_up(
    level: int = logbook.INFO, clock: Clock = time.monotonic, write: Write | None = None
) -> LogLineHandler:
    """Send all records of this process, and Python's own logs and warnings, to bounded lines.

    `clock` is monotonic. Returns the handler, which a test removes with `pop_application`.
    """
    lines = BoundedLog(clock, write or DescriptorWriter())
    handler = LogLineHandler(lines, level)
    handler.push_application()
    root = logging.getLogger()
    root.handlers[:] = [StandardLoggingHandler(lines)]
    root.setLevel(logging.WARNING)
    logging.captureWarnings(True)
    sys.unraisablehook = unraisable_hook(lines)
    return handler


def unraisable_hook(lines: BoundedLog) -> Callable[[sys.UnraisableHookArgs], None]:
    """Log what Python would write to standard error itself, where it would wait for the reader."""

    def log_unraisable(unraisable: sys.UnraisableHookArgs) -> None:
        if not lines.admits("python", "unraisable"):
            return
        values = dict(_traceback((unraisable.exc_type, unraisable.exc_value, unraisable.exc_traceback)))
        lines.write(
            LogLine("error", "python", unraisable.err_msg or "exception ignored", values), "unraisable"
        )

    return log_unraisable
