"""Tests of the node's log: valid JSON for any text, limits, and settings that change at run time."""

from __future__ import annotations

import ast
import json
import os
import re
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.net import logs
from granitewell.net.logs import (
    CLOCK_ORIGIN_US,
    LEVELS,
    MAX_JSON_BYTES,
    TOPICS,
    Log,
    LogSettings,
    format_json,
)

ROOT = Path(__file__).resolve().parent.parent
ANY = st.text(st.characters(exclude_categories=()), max_size=1500)  # lone surrogates too


@contextmanager
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    try:
        yield reader, writer
    finally:
        os.close(reader)
        os.close(writer)


def parse_json_line(
    text: str, left_out: int = 0, name: str = "n0", fields: dict[str, str] | None = None
) -> dict[str, Any]:
    at, unix_us = CLOCK_ORIGIN_US + 5_000_250, 1_796_149_805_120_045
    raw = format_json(name, at, unix_us, "beat", text, left_out, fields or {})
    assert raw.endswith(b"\n") and raw.count(b"\n") == 1 and len(raw) <= MAX_JSON_BYTES
    parsed = json.loads(raw.decode())  # as UTF-8, strictly: from bytes, Python takes more
    assert isinstance(parsed, dict)
    return parsed


@settings(derandomize=True, deadline=None, database=None)
@given(ANY, ANY, st.integers(0, 10**9))
def test_json_line_is_valid_for_any_text(text: str, name: str, left_out: int) -> None:
    parsed = parse_json_line(text, left_out, name)
    whole = text.encode(errors="replace").decode()
    assert parsed["text"] == whole[:900] or (parsed["cut"] and whole.startswith(parsed["text"]))
    assert parsed["more"] == left_out


def test_undecodable_bytes_become_question_marks() -> None:
    assert parse_json_line(b"a\xff".decode(errors="surrogateescape"))["text"] == "a?"


def test_fields_of_a_json_line() -> None:
    parsed = parse_json_line("held=3 mean=0.25 late=-1", 2, fields={"deployment": "birlik"})
    assert parsed == {
        "time": "2026-12-01T18:30:05.120045Z", "seconds": 5.0, "node": "n0", "level": "info",
        "topic": "beat", "text": "held=3 mean=0.25 late=-1", "more": 2, "deployment": "birlik",
        "figures": {"held": 3, "mean": 0.25, "late": -1},
    }  # fmt: skip
    assert datetime.fromisoformat(parsed["time"]) == datetime(2026, 12, 1, 18, 30, 5, 120045, UTC)


@pytest.mark.parametrize("text", ["answered 400: held=9", "held=9 ok", "held=", "=3", "held=" + "9" * 400])
def test_text_that_a_client_controls_gives_no_figures(text: str) -> None:
    assert "figures" not in parse_json_line(text)


def test_json_line_is_bounded_if_every_character_is_escaped() -> None:
    parsed = parse_json_line(
        "\x01" * 5000, name="\x02" * 300, fields={f"f{k}": "\x03" * 50 for k in range(3)}
    )
    assert (
        parsed["cut"]
        and 100 < len(parsed["text"]) < 900
        and len(parsed["node"]) == 64
        and len(parsed["f0"]) == 50
    )
    # the text takes precedence over the fields
    assert "f0" not in parse_json_line("x", fields={f"f{k}": "\x03" * 200 for k in range(3)})
    many = parse_json_line(" ".join(f"{'abcdefghij' * 3}{k}={k}" for k in range(100)))
    assert many["cut"] and many["text"].startswith("abcdefghij")


def test_configured_fields_do_not_replace_built_in_keys() -> None:
    assert parse_json_line("said", fields={"topic": "forged", "more": "forged"})["topic"] == "beat"


def test_level_and_mute_never_suppress_phase_and_reload() -> None:
    with pipe() as (reader, writer):
        log = Log("n0", writer, LogSettings(level="warning", mute=("dial", "phase")))
        for topic in TOPICS:
            log.write(CLOCK_ORIGIN_US, topic, "x")
        log.write(CLOCK_ORIGIN_US, "unheard-of", "x")
        written = [line.split()[3].rstrip(b":").decode() for line in os.read(reader, 9999).splitlines()]
    info_topics = {t for t, level in TOPICS.items() if level == "info"} - {"phase", "reload"}
    assert written == [t for t in TOPICS if t not in info_topics | {"dial"}] + ["unheard-of"]


def test_rate_limits_by_topic_and_lines_that_are_always_written() -> None:
    with pipe() as (reader, writer):
        log = Log("n0", writer, LogSettings(rate=2.0, rates={"dial": 0.5}))
        for at in range(0, 2_000_000, 250_000):
            log.write(CLOCK_ORIGIN_US + at, "dial", "a")
            log.write(CLOCK_ORIGIN_US + at, "bad", "b")
        for always in (False, False, True):
            log.write(CLOCK_ORIGIN_US, "reload", "c", always)
        lines = os.read(reader, 9999).decode().splitlines()
    assert [x.split(": ")[1] for x in lines if " dial" in x] == ["a"]
    assert [x.split()[2] for x in lines if " bad" in x] == ["0.000", "0.500", "1.000", "1.500"]
    assert [x.split(": ")[1] for x in lines if " reload" in x] == ["c", "c (and 1 more like it)"]


def test_settings_change_at_run_time_and_counts_are_kept() -> None:
    with pipe() as (reader, writer):
        log = Log("n0", writer, wall_us=lambda: 0)
        for at in (0, 1, 2):
            log.write(CLOCK_ORIGIN_US + at, "dial", "a")
        log.apply_settings(LogSettings(form="json", fields={"site": "x"}))
        log.write(CLOCK_ORIGIN_US + 1_000_000, "dial", "b")
        first, second = os.read(reader, 9999).splitlines()
    assert first == b"granitewell n0 0.000 dial: a"
    parsed = json.loads(second)
    assert (parsed["more"], parsed["site"], parsed["time"]) == (2, "x", "1970-01-01T00:00:00.000000Z")


def test_json_log_that_nobody_reads_never_blocks() -> None:
    """Each line must be short enough for a pipe to accept it atomically."""
    with pipe() as (reader, writer):
        log = Log("n0", writer, LogSettings(form="json", rate=1000))
        for k in range(200):
            log.write(CLOCK_ORIGIN_US + k * 1_000_000, "module", "\x01" * 900)
        assert all(json.loads(line) for line in os.read(reader, 65536).splitlines())


def _topics_in_code() -> set[str]:
    """Return each topic that the node's code writes."""
    found = set()
    net = sorted(x.name for x in (ROOT / "granitewell" / "net").glob("*.py"))
    names = ["core/reducer.py", "__main__.py", *(f"net/{x}" for x in net)]
    for name in names:
        for node in ast.walk(ast.parse((ROOT / "granitewell" / name).read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                texts = [a.value for a in node.args if isinstance(a, ast.Constant)]
                words = [x for x in texts if isinstance(x, str)]
                if node.func.attr in ("log_line", "_log", "write") and words:
                    found.add(words[0])
    return found


def test_every_topic_has_a_level_and_is_documented() -> None:
    assert _topics_in_code() == set(TOPICS)
    page = (ROOT / "docs" / "operate" / "logs.md").read_text()
    for level in LEVELS:
        (row,) = re.findall(rf"^\| {level} \| (.*) \|$", page, re.M)
        assert re.findall(r"`([\w-]+)`", row) == [t for t, of in TOPICS.items() if of == level]
    (example,) = re.findall(r"^    (\{.*\})$", page, re.M)
    assert set(json.loads(example)) - set(logs.JSON_KEYS) == {"deployment"}
    oncall = (ROOT / "ONCALL.md").read_text()
    assert all(f"| `{topic}` |" in oncall for topic in TOPICS)
