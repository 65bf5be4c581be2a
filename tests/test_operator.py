"""The operator file: listing of all problems, the example and reference page, reload on a running node."""

from __future__ import annotations

import json
import os
import signal
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Meta

from granitewell.cli.check import check_file
from granitewell.config import load as node_takes
from granitewell.net.logs import DEFAULT_LOG_SETTINGS, TOPICS
from granitewell.operator.load import MAX_FILE_BYTES, InvalidOperatorFileError, LiveOperatorFile, load, reload
from granitewell.operator.platform import Platform
from granitewell.operator.problem import Problem
from granitewell.operator.reference import reference_page
from granitewell.operator.registry import OperatorFile
from granitewell.operator.table import Table, validate
from granitewell.operator.tree_reader import MAX_PROBLEMS, struct_type
from tests.exchange_player import LIMIT_S, Player
from tests.test_config import write

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "deploy" / "operator-example.toml"


def problem_texts(data: dict[str, Any], kind: type[Table] = OperatorFile) -> list[str]:
    return [p.text() for p in validate(data, kind)[1]]


# --- The tree reader ------------------------------------------------------------------------------------
KEYS = st.sampled_from(
    [f.encode_name for f in struct_type(type(OperatorFile().log)).fields] + ["log", *TOPICS]
)
SCALARS = (
    st.none() | st.booleans() | st.integers() | st.just(1 << 14_000) | st.floats()
    | st.sampled_from(["lines", "json", "info", "stderr"]) | KEYS | st.text()
)  # fmt: skip
VALUES = st.recursive(
    SCALARS,
    lambda x: st.lists(x, max_size=4) | st.dictionaries(KEYS | st.text(), x, max_size=5),
    max_leaves=12,
)
FILES = st.dictionaries(KEYS | st.text(), VALUES, max_size=4) | st.fixed_dictionaries(
    {"log": st.dictionaries(KEYS, VALUES, max_size=5)}
)


def path_exists(data: Any, path: tuple[str | int, ...]) -> bool:
    """Return whether this path leads to something in the data."""
    for part in path:
        known = data if isinstance(data, dict) else range(len(data)) if isinstance(data, list) else ()
        if part not in known:
            return False
        data = data[part]
    return True


@settings(max_examples=100, derandomize=True, deadline=None, database=None)
@given(FILES)
def test_any_data_loads_or_each_problem_names_an_existing_path(data: dict[str, Any]) -> None:
    made, problems = validate(data, OperatorFile)
    assert (made is None) == any(not p.note for p in problems)
    for problem in problems:
        assert problem.path and path_exists(data, problem.path)
        assert "\n" not in problem.text() and len(problem.text()) < 600
    try:
        convertible = msgspec.convert(data, OperatorFile)
    except msgspec.ValidationError:
        convertible = None
    # msgspec decides about types; checks between fields and of infinite numbers come on top of it
    assert made is None if convertible is None else made in (None, convertible)


def test_all_problems_are_listed_with_the_nearest_key() -> None:
    log = {"levl": 1, "rate": 0, "rates": {"dial": 10**400, "dail": 1}, "mute": ["phase", 7], "to": True}
    found = problem_texts({"form": "json", "log": log | {"fields": {"A b": "x"}}})
    for text in (
        "form: found an unknown key, allowed: log, status, cluster, counts; the nearest known one is "
        "log.form",
        "log.levl: found an unknown key, allowed: form, level, mute, rate, rates, to, fields; "
        "the nearest known one is level",
        "log.rate: found 0, allowed: a number from 0.01 to 1000",
        "log.rates.dial: found a whole number of 1329 bits, allowed: a number from 0.01 to 1000",
        "log.mute[1]: found 7, allowed: text",
        'log.to: found true, allowed: "stderr" or "stdout"',
    ):
        assert text in found
    assert len(found) == 7 and 'log.fields."A b"' in found[-1]


def test_checks_between_fields_name_the_topic_and_the_field() -> None:
    found = problem_texts(
        {"log": {"mute": ["dail", "phase"], "rates": {"beats": 1}, "fields": {"topic": "x"}}}
    )
    assert [text.split(": ")[0] for text in found] == [
        "log.mute[0]", "log.mute[1]", "log.rates.beats", "log.fields.topic", "log.fields"
    ]  # fmt: skip
    assert found[0].endswith("is dial") and found[2].endswith("is beat")
    (wide,) = problem_texts({"log": {"form": "json", "fields": {f"f{k}": "\x01" * 200 for k in range(2)}}})
    assert wide.startswith("log.fields: found 2418 bytes")


def test_the_number_of_listed_problems_is_bounded() -> None:
    found = problem_texts({f"key{k}": k for k in range(20_000)})
    assert len(found) == MAX_PROBLEMS + 1 and "the rest is not listed" in found[-1]


class Inner(Table, frozen=True, kw_only=True):
    least: Annotated[int, Meta(ge=0)] = 1
    most: Annotated[int, Meta(le=100, extra={"was": ("max", "limit")})] = 10
    size: Annotated[int, Meta(extra={"restart": True})] = 10
    part: float = 0.0
    kind: Literal[1, 2] = 1

    def check(self) -> Iterator[Problem]:
        if self.least > self.size:
            yield Problem(("least",), str(self.least), f"at most size, {self.size}")


class Outer(Table, frozen=True, kw_only=True):
    inner: Inner = Inner()
    other: Inner = Inner()


@pytest.mark.parametrize(
    "wrong",
    [{"least": True}, {"least": 1.0}, {"part": float("inf")}, {"part": float("nan")}, {"part": False},
     {"kind": True}, {"kind": 2.0}],
)  # fmt: skip
def test_values_that_python_converts_to_numbers_are_rejected(wrong: dict[str, Any]) -> None:
    (found,) = problem_texts({"inner": wrong}, Outer)
    assert found.startswith(f"inner.{next(iter(wrong))}: found ")


def test_a_former_name_is_accepted_with_a_note_unless_the_new_one_is_given_too() -> None:
    made, problems = validate({"inner": {"max": 7}}, Outer)
    assert made == Outer(inner=Inner(most=7))
    assert problems[0].text() == "inner.max: a former name of most: write most"
    twice = problem_texts({"inner": {"max": 7, "most": 7}}, Outer)
    assert twice == ["inner.max: found a former name of most, which is given too, allowed: most alone"]
    wrong = problem_texts({"inner": {"limit": 700}}, Outer)
    assert wrong[1] == "inner.limit: found 700, allowed: a whole number up to 100"


def test_checks_of_one_table_run_even_if_another_is_invalid() -> None:
    found = problem_texts({"inner": {"least": "x"}, "other": {"least": 50}}, Outer)
    assert [x.split(":")[0] for x in found] == ["inner.least", "other.least"]


# --- Files and reload -----------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("raw", "says"),
    [
        (b"a = ]", "line 1"),
        (b"\xff", "byte 0"),
        (b"a = " + b"[" * 20_000, "without end"),
        (b"#" * (MAX_FILE_BYTES + 1), "at most"),
        (b"a = 1" + b"0" * 5000, "TOML"),
        (b"[log]\n[log]", "line 2"),
        (b"[log]\nrate = nan", "log.rate: found NaN"),
        (b"[log]\nform = 2026-12-01", "2026-12-01"),
        (b"[log]\nrate = 0x" + b"f" * 5000, "a whole number of 20000 bits"),
    ],
    ids=["value", "utf8", "nested", "large", "digits", "twice", "nan", "date", "hex"],
)
def test_an_invalid_operator_file_is_rejected_with_one_line(tmp_path: Path, raw: bytes, says: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_bytes(raw)
    with pytest.raises(InvalidOperatorFileError) as caught:
        load(str(path), OperatorFile)
    assert says in str(caught.value) and "\n" not in str(caught.value) and len(str(caught.value)) < 500


def test_a_path_that_is_no_regular_file_is_rejected_without_blocking(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "fifo")
    for name in ("fifo", "none", ".", "null\0byte"):
        with pytest.raises(InvalidOperatorFileError):
            load(f"{tmp_path}/{name}", OperatorFile)


def test_an_empty_file_means_defaults_and_the_example_names_every_field(tmp_path: Path) -> None:
    (tmp_path / "empty.toml").write_text("")
    assert load(str(tmp_path / "empty.toml"), OperatorFile)[0].log.settings() == DEFAULT_LOG_SETTINGS
    assert [(p.field, p.note) for p in load(str(EXAMPLE), OperatorFile)[1]] == [("cluster.name", True)]
    data = tomllib.loads(EXAMPLE.read_text())
    for table in struct_type(OperatorFile).fields:
        made: Any = type(getattr(OperatorFile(), table.name))
        kind = struct_type(made)
        assert set(data[table.encode_name]) == {f.encode_name for f in kind.fields}


def test_the_reference_page_matches_the_types() -> None:
    assert (ROOT / "docs" / "operate" / "operator-file.md").read_text() == reference_page()


def test_a_reload_applies_what_it_can_and_names_what_needs_a_restart(tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    path.write_text("[inner]\nleast = 2\nsize = 20\n[other]\nmost = 5")
    plan = reload(Outer(), str(path))
    assert plan.current == Outer(inner=Inner(least=2), other=Inner(most=5))
    assert (plan.applied, plan.pending_restart) == (("inner.least", "other.most"), ("inner.size",))
    taken = "taken from the operator file: inner.least, other.most"
    assert plan.log_line() == f"{taken}; only a restart takes up inner.size"
    assert reload(plan.current, str(path)).pending_restart == ("inner.size",)  # reported until the restart


def test_a_table_whose_merge_would_be_invalid_needs_a_restart(tmp_path: Path) -> None:
    """`least = 15` is valid with the file's `size`, which needs a restart, but not with the current one."""
    path = tmp_path / "o.toml"
    path.write_text("[inner]\nleast = 15\nsize = 20\n[other]\nmost = 5")
    plan = reload(Outer(), str(path))
    assert plan.current == Outer(other=Inner(most=5))
    assert (plan.applied, plan.pending_restart) == (("other.most",), ("inner.least", "inner.size"))


def test_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    path.write_text("[log]\nrate = 5")
    live = LiveOperatorFile(str(path))
    for text in ("[log]\nrate = 7\nform = 'xml'\nto = 1", "[log", None):
        path.unlink() if text is None else path.write_text(text)
        plan = live.reload()
        assert (
            plan.current.log.rate == 5 and live.current is plan.current and plan.problems and not plan.applied
        )
    path.write_text("[log]\nrate = 7\nform = 'xml'\nto = 1")
    line = live.reload().log_line()
    assert line.startswith('the operator file changes nothing: log.form: found "xml", allowed: ')
    assert "(and 1 more" in line


class NodeWithOperatorFile:
    """A running node with an operator file, and its log."""

    def __init__(
        self, folder: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
    ) -> None:
        self.path, self._capfd, self.text = folder / "operator.toml", capfd, ""
        self.path.write_text("[log]\nlevel = 'error'\nform = 'json'")
        monkeypatch.setenv("LB_OPERATOR", str(self.path))
        self.player = Player()

    def wait_for_log(self, part: str) -> str:
        """Return the log since the last call, once it contains this text."""
        end = time.monotonic() + LIMIT_S
        while part not in self.text:
            assert time.monotonic() < end, f"never wrote {part!r}, only {self.text!r}"
            time.sleep(0.01)
            self.text += self._capfd.readouterr().err
        text, self.text = self.text, ""
        return text

    def reload_with(self, text: str) -> None:
        self.path.write_text(text)
        assert self.player.program is not None
        self.player.program.send_signal(signal.SIGHUP)


def json_line_with(part: str, log: str) -> dict[str, Any]:
    """Return the one JSON line of a log that contains this text; lines of other topics may come behind it."""
    (line,) = (line for line in log.splitlines() if part in line)
    fields: dict[str, Any] = json.loads(line)
    return fields


def test_sighup_on_a_started_node(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    node = NodeWithOperatorFile(tmp_path, monkeypatch, capfd)
    try:
        node.player.step_start("a=ready", b"")
        line = json.loads(node.wait_for_log("ready with 1 endpoints"))
        assert (line["topic"], "site" in line) == ("phase", False)
        node.reload_with("[log]\nform = 'json'\nfields = {site = 'x'}")
        got = node.wait_for_log("the operator file: log.level, log.fields")
        assert "discovery is now" in got  # each of the two files has its own line
        line = json_line_with("the operator file: log.level, log.fields", got)
        assert (line["node"], line["topic"], line["site"]) == ("n0", "reload", "x")
        node.reload_with("[log]\nform = 'lines'\nrate = 0")
        line = json_line_with("changes nothing", node.wait_for_log("changes nothing"))
        assert line["text"].endswith("nothing: log.rate: found 0, allowed: a number from 0.01 to 1000")
        node.reload_with("")
        assert "reload: taken from the operator file: log.form" in node.wait_for_log("log.fields")
        node.player.nothing_more()
        assert node.player.program is not None
        node.player.program.terminate()
        assert node.player.program.wait(LIMIT_S) == 0
        assert "phase: all is answered: leaving" in node.wait_for_log("leaving")
    finally:
        node.player.close()


# --- The platform's file --------------------------------------------------------------------------------
def test_check_rejects_what_the_node_rejects(tmp_path: Path) -> None:
    """Each field is left out, and replaced by invalid values.

    The check accepts nothing that the node rejects, and its types alone find everything but an invalid seed.
    """
    text = json.loads(Path(write(tmp_path)["LB_CONFIG"]).read_text())
    path, accepted_wrongly, found_by_node_only = tmp_path / "config.json", [], set()
    assert check_file(str(path)).is_valid
    for field_path in list(_paths(text, ())):
        for bad_value in (None, "", -1, 0, True, [], {}, "x:y", [1], {"a": 1}, 1e300, float("nan")):
            changed = json.loads(json.dumps(text))
            _put(changed, field_path, bad_value)
            path.write_text(json.dumps(changed))
            try:
                node_takes({"LB_CONFIG": str(path)})
            except Exception:
                accepted_wrongly += [(field_path, bad_value)] if check_file(str(path)).is_valid else []
                found_by_node_only |= {field_path} if validate(changed, Platform)[0] is not None else set()
    assert accepted_wrongly == [] and found_by_node_only == {("seed",)}


def _paths(value: Any, path: tuple[Any, ...]) -> Iterator[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        yield (*path, key)
        yield from _paths(item, (*path, key))


def _put(value: Any, path: tuple[Any, ...], bad_value: Any) -> None:
    for part in path[:-1]:
        value = value[part]
    if bad_value is None and isinstance(value, dict):
        del value[path[-1]]
    else:
        value[path[-1]] = bad_value


def test_unknown_platform_keys_are_notes_but_a_misspelt_one_is_a_problem(tmp_path: Path) -> None:
    text = json.loads(Path(write(tmp_path)["LB_CONFIG"]).read_text())
    allowed = text["settings"]["allowed"]
    allowed["newThing"] = 1
    path = tmp_path / "config.json"
    path.write_text(json.dumps(text))
    assert check_file(str(path)).is_valid and len(check_file(str(path)).problems) == 2
    allowed["conIdleMs"] = allowed.pop("connIdleMs")  # the node would silently use its default
    text["settings"]["zone"] = 9
    path.write_text(json.dumps(text))
    assert not check_file(str(path)).is_valid
    assert [p.near for p in check_file(str(path)).problems if not p.note] == ["connIdleMs"]
