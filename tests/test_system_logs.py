"""Tests of the system's log lines: their format, their rate limits, and that logging never blocks."""

from __future__ import annotations

import logging
import os
import sys
import warnings
from collections.abc import Iterator
from dataclasses import dataclass, field

import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from granitewell import logs


@dataclass
class Sink:
    """Collects the written lines, with a clock that only the test advances."""

    now: float = 100.0
    lines: list[str] = field(default_factory=list)
    reads: bool = True

    def clock(self) -> float:
        return self.now

    def write(self, line: bytes) -> bool:
        if self.reads:
            self.lines.append(line.decode())
        return self.reads


@pytest.fixture
def sink() -> Iterator[Sink]:
    """Receive all logging of this process during a test."""
    sink, root = Sink(), logging.getLogger()
    before = root.handlers[:], root.level, sys.unraisablehook
    handler = logs.set_up(clock=sink.clock, write=sink.write)
    yield sink
    handler.pop_application()
    logging.captureWarnings(False)
    root.handlers[:], _, sys.unraisablehook = before
    root.setLevel(before[1])


log = logbook.Logger("granitewell.test")


def test_record_is_one_line_of_level_logger_message_and_values(sink: Sink) -> None:
    log.info("leader elected", group="shard-0", term=3)
    log.warning("disk of {}", "core-1", why="a b", share=1 / 3)
    log.error("node {name} is gone", name="x", after=2)
    assert sink.lines == [
        "info granitewell.test leader elected group=shard-0 term=3\n",
        'warning granitewell.test disk of core-1 why="a b" share=0.333333\n',
        "error granitewell.test node x is gone after=2\n",
    ]


def test_nothing_below_the_level_is_written(sink: Sink) -> None:
    log.debug("details")
    assert sink.lines == []


def test_exception_and_its_origin_are_on_the_same_line(sink: Sink) -> None:
    try:
        os.stat("/none\nsuch")
    except OSError:
        log.exception("no settings")
    (line,) = sink.lines
    assert line.startswith('error granitewell.test no settings error="FileNotFoundError: ')
    assert "at=test_system_logs.py:" in line and line.count("\n") == 1


def test_arguments_that_do_not_fit_the_template_lose_no_line(sink: Sink) -> None:
    log.info("share of {}: {}", 1)
    assert sink.lines == ["info granitewell.test share of {}: {}\n"]


@given(st.text(), st.text(), st.integers(0, 10**9))
def test_any_content_gives_one_line_that_a_pipe_accepts_atomically(
    message: str, value: str, suppressed: int
) -> None:
    line = logs.LogLine("info", "granitewell.test", message, {"value": value}, suppressed).encode()
    assert line.endswith(b"\n") and line.count(b"\n") == 1 and b"\r" not in line
    assert len(line) <= 4096
    assert line.decode().isprintable() or line.decode()[:-1].isprintable()


@pytest.mark.parametrize("text", ["x" * 10_000, "ü" * 10_000, "\U0001f600" * 10_000, '"' * 10_000])
def test_a_long_line_is_cut(text: str) -> None:
    for line in (
        logs.LogLine("info", "x", text, {}, 7),
        logs.LogLine("info", "x", "short", {"value": text}, 7),
    ):
        assert len(line.encode()) <= 4096 and line.encode().endswith(b" left_out=7\n")


def test_lines_of_one_template_are_limited_and_suppressed_ones_are_counted(sink: Sink) -> None:
    for number in range(1000):
        log.warning("peer {} is unreachable", number)
    assert len(sink.lines) == logs.TEMPLATE_BURST_LINES
    log.info("another template is not held up")
    assert len(sink.lines) == logs.TEMPLATE_BURST_LINES + 1
    sink.now += 1 / logs.TEMPLATE_RATE_PER_S
    log.warning("peer {} is unreachable", 1000)
    assert sink.lines[-1] == "warning granitewell.test peer 1000 is unreachable left_out=995\n"
    sink.now += 60.0
    log.warning("peer {} is unreachable", 1001)
    assert sink.lines[-1] == "warning granitewell.test peer 1001 is unreachable\n"


def test_suppressed_lines_are_reported_with_the_next_line_of_any_template(sink: Sink) -> None:
    for _ in range(20):
        log.warning("once only")
    sink.now += logs.REPORT_INTERVAL_S
    log.info("something else")
    assert sink.lines[-1] == "warning granitewell.logs lines were left out left_out=15\n"
    sink.now += logs.REPORT_INTERVAL_S
    log.info("something else")
    assert sink.lines[-1] == "info granitewell.test something else\n"


def test_templates_that_are_not_constant_are_limited_too(sink: Sink) -> None:
    for number in range(10_000):
        log.info(f"request {number}")
    assert len(sink.lines) == logs.TOTAL_BURST_LINES
    limiter = logs.RateLimiter(0.0)
    for number in range(10_000):
        limiter.admits("x", str(number), 0.0)
    assert len(limiter._buckets) == logs.MAX_TEMPLATES


@given(st.lists(st.floats(0.0, 5.0), max_size=200))
def test_token_bucket_never_exceeds_burst_and_rate(pauses: list[float]) -> None:
    bucket, now, taken = logs.TokenBucket(5.0, 0.5, 0.0), 0.0, 0
    for pause in pauses:
        now += pause
        taken += bucket.take(now)
        assert taken <= 5.0 + 0.5 * now + 1e-6


def test_token_bucket_accumulates_no_more_than_a_burst() -> None:
    bucket = logs.TokenBucket(5.0, 0.5, 0.0)
    assert sum(bucket.take(1_000_000.0) for _ in range(100)) == 5


def test_lines_that_could_not_be_written_are_counted(sink: Sink) -> None:
    sink.reads = False
    log.info("first")
    sink.reads = True
    log.info("first")
    assert sink.lines == ["info granitewell.test first left_out=1\n"]


def test_full_pipe_does_not_block_and_closed_pipe_is_no_error() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)
    write = logs.DescriptorWriter(writer)
    assert not write(b"line\n")
    os.read(reader, 65536)
    assert write(b"line\n")
    os.close(reader)
    assert not write(b"line\n")
    os.close(writer)


def test_standard_logging_and_warnings_become_the_same_lines(sink: Sink) -> None:
    logging.getLogger("asyncio").error("task %s was never awaited", 7)
    logging.getLogger("aiohttp.server").info("not worth a line")
    handlers = logging.getLogger().handlers
    handler = next(each for each in handlers if isinstance(each, logs.StandardLoggingHandler))
    handler.emit(logging.LogRecord("asyncio", logging.ERROR, "x.py", 1, "does not fit %s %s", (7,), None))
    warnings.warn("soon\ngone", UserWarning, stacklevel=1)

    assert sink.lines[0] == "error asyncio task 7 was never awaited\n"
    assert sink.lines[1] == "error asyncio does not fit %s %s\n"
    assert "soon gone" in sink.lines[2]
    assert len(sink.lines) == 3


def test_unraisable_exception_becomes_a_line(sink: Sink, monkeypatch: pytest.MonkeyPatch) -> None:
    class Broken:
        def __del__(self) -> None:
            raise ValueError("in a destructor")

    hook = logs.unraisable_hook(logs.BoundedLog(sink.clock, sink.write))
    monkeypatch.setattr(sys, "unraisablehook", hook)  # pytest has replaced the hook of set_up by its own
    Broken()
    (line,) = sink.lines
    assert line.startswith("error python exception ignored") and 'error="ValueError: in a destructor"' in line
