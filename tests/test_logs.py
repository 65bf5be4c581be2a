"""The log: JSON that parses whatever the text, limits, and settings that change while it runs."""

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


def made(
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
def test_a_json_line_parses_whatever_the_text(text: str, name: str, left_out: int) -> None:
    got = made(text, left_out, name)
    whole = text.encode(errors="replace").decode()
    assert got["text"] == whole[:900] or (got["cut"] and whole.startswith(got["text"]))
    assert got["more"] == left_out


def test_bytes_that_are_no_text_are_question_marks() -> None:
    assert made(b"a\xff".decode(errors="surrogateescape"))["text"] == "a?"


def test_a_json_line_for_a_program() -> None:
    got = made("held=3 mean=0.25 late=-1", 2, fields={"deployment": "birlik"})
    assert got == {
        "time": "2026-12-01T18:30:05.120045Z", "seconds": 5.0, "node": "n0", "level": "info",
        "topic": "beat", "text": "held=3 mean=0.25 late=-1", "more": 2, "deployment": "birlik",
        "figures": {"held": 3, "mean": 0.25, "late": -1},
    }  # fmt: skip
    assert datetime.fromisoformat(got["time"]) == datetime(2026, 12, 1, 18, 30, 5, 120045, UTC)


@pytest.mark.parametrize("text", ["answered 400: held=9", "held=9 ok", "held=", "=3", "held=" + "9" * 400])
def test_what_a_client_can_write_is_no_figure(text: str) -> None:
    assert "figures" not in made(text)


def test_the_bound_holds_where_every_character_grows() -> None:
    got = made("\x01" * 5000, name="\x02" * 300, fields={f"f{k}": "\x03" * 50 for k in range(3)})
    assert got["cut"] and 100 < len(got["text"]) < 900 and len(got["node"]) == 64 and len(got["f0"]) == 50
    assert "f0" not in made("x", fields={f"f{k}": "\x03" * 200 for k in range(3)})  # the line goes first
    many = made(" ".join(f"{'abcdefghij' * 3}{k}={k}" for k in range(100)))
    assert many["cut"] and many["text"].startswith("abcdefghij")


def test_fields_take_the_place_of_nothing() -> None:
    assert made("said", fields={"topic": "forged", "more": "forged"})["topic"] == "beat"


def test_level_and_mute_leave_out_all_but_what_was_asked_of_the_node() -> None:
    with pipe() as (reader, writer):
        log = Log("n0", writer, LogSettings(level="warning", mute=("dial", "phase")))
        for topic in TOPICS:
            log.write(CLOCK_ORIGIN_US, topic, "x")
        log.write(CLOCK_ORIGIN_US, "unheard-of", "x")
        got = [line.split()[3].rstrip(b":").decode() for line in os.read(reader, 9999).splitlines()]
    low = {t for t, level in TOPICS.items() if level == "info"} - {"phase", "reload"}
    assert got == [t for t in TOPICS if t not in low | {"dial"}] + ["unheard-of"]


def test_rates_by_topic_and_lines_that_are_written_however_fast() -> None:
    with pipe() as (reader, writer):
        log = Log("n0", writer, LogSettings(rate=2.0, rates={"dial": 0.5}))
        for at in range(0, 2_000_000, 250_000):
            log.write(CLOCK_ORIGIN_US + at, "dial", "a")
            log.write(CLOCK_ORIGIN_US + at, "bad", "b")
        for always in (False, False, True):
            log.write(CLOCK_ORIGIN_US, "reload", "c", always)
        got = os.read(reader, 9999).decode().splitlines()
    assert [x.split(": ")[1] for x in got if " dial" in x] == ["a"]
    assert [x.split()[2] for x in got if " bad" in x] == ["0.000", "0.500", "1.000", "1.500"]
    assert [x.split(": ")[1] for x in got if " reload" in x] == ["c", "c (and 1 more like it)"]


def test_settings_change_while_it_runs_and_counts_stay() -> None:
    with pipe() as (reader, writer):
        log = Log("n0", writer, wall_us=lambda: 0)
        for at in (0, 1, 2):
            log.write(CLOCK_ORIGIN_US + at, "dial", "a")
        log.apply_settings(LogSettings(form="json", fields={"site": "x"}))
        log.write(CLOCK_ORIGIN_US + 1_000_000, "dial", "b")
        first, second = os.read(reader, 9999).splitlines()
    assert first == b"granitewell n0 0.000 dial: a"
    got = json.loads(second)
    assert (got["more"], got["site"], got["time"]) == (2, "x", "1970-01-01T00:00:00.000000Z")


def test_a_json_log_that_nobody_reads_blocks_nothing() -> None:
    """Each line must fit into what a pipe takes whole once it takes anything."""
    with pipe() as (reader, writer):
        log = Log("n0", writer, LogSettings(form="json", rate=1000))
        for k in range(200):
            log.write(CLOCK_ORIGIN_US + k * 1_000_000, "module", "\x01" * 900)
        assert all(json.loads(line) for line in os.read(reader, 65536).splitlines())


def _said() -> set[str]:
    """Each topic that the node's own code writes."""
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


def test_every_topic_has_a_level_and_stands_on_the_pages() -> None:
    assert _said() == set(TOPICS)
    page = (ROOT / "docs" / "operate" / "logs.md").read_text()
    for level in LEVELS:
        (row,) = re.findall(rf"^\| {level} \| (.*) \|$", page, re.M)
        assert re.findall(r"`([\w-]+)`", row) == [t for t, of in TOPICS.items() if of == level]
    (example,) = re.findall(r"^    (\{.*\})$", page, re.M)
    assert set(json.loads(example)) - set(logs.JSON_KEYS) == {"deployment"}
    oncall = (ROOT / "ONCALL.md").read_text()
    assert all(f"| `{topic}` |" in oncall for topic in TOPICS)
