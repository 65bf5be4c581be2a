"""The operator file: all problems at once, the example and the page kept true, reload on a started node."""

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
from granitewell.operator.load import MAX_FILE, InvalidOperatorFileError, Live, load, reload
from granitewell.operator.platform import Platform
from granitewell.operator.problem import Problem
from granitewell.operator.reference import page
from granitewell.operator.registry import Operator
from granitewell.operator.table import Table, examine
from granitewell.operator.tree_reader import MAX_PROBLEMS, type_of
from tests.exchange_player import LIMIT_S, Player
from tests.test_config import write

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "deploy" / "operator-example.toml"


def said(data: dict[str, Any], kind: type[Table] = Operator) -> list[str]:
    return [p.text() for p in examine(data, kind)[1]]


# --- the walk -------------------------------------------------------------------------------------------
WORDS = st.sampled_from([f.encode_name for f in type_of(type(Operator().log)).fields] + ["log", *TOPICS])
LEAVES = (
    st.none() | st.booleans() | st.integers() | st.just(1 << 14_000) | st.floats()
    | st.sampled_from(["lines", "json", "info", "stderr"]) | WORDS | st.text()
)  # fmt: skip
VALUES = st.recursive(
    LEAVES,
    lambda x: st.lists(x, max_size=4) | st.dictionaries(WORDS | st.text(), x, max_size=5),
    max_leaves=12,
)
FILES = st.dictionaries(WORDS | st.text(), VALUES, max_size=4) | st.fixed_dictionaries(
    {"log": st.dictionaries(WORDS, VALUES, max_size=5)}
)


def stands(data: Any, path: tuple[str | int, ...]) -> bool:
    """Does this path lead to something in the data?"""
    for part in path:
        known = data if isinstance(data, dict) else range(len(data)) if isinstance(data, list) else ()
        if part not in known:
            return False
        data = data[part]
    return True


@settings(max_examples=100, derandomize=True, deadline=None, database=None)
@given(FILES)
def test_any_data_loads_or_names_what_is_wrong_where_it_stands(data: dict[str, Any]) -> None:
    made, problems = examine(data, Operator)
    assert (made is None) == any(not p.note for p in problems)
    for problem in problems:
        assert problem.path and stands(data, problem.path)
        assert "\n" not in problem.text() and len(problem.text()) < 600
    try:
        convertible = msgspec.convert(data, Operator)
    except msgspec.ValidationError:
        convertible = None
    # msgspec is the judge of types; the checks between fields and numbers without end come on top of it
    assert made is None if convertible is None else made in (None, convertible)


def test_all_problems_are_listed_with_the_nearest_key() -> None:
    log = {"levl": 1, "rate": 0, "rates": {"dial": 10**400, "dail": 1}, "mute": ["phase", 7], "to": True}
    found = said({"form": "json", "log": log | {"fields": {"A b": "x"}}})
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
    found = said({"log": {"mute": ["dail", "phase"], "rates": {"beats": 1}, "fields": {"topic": "x"}}})
    assert [text.split(": ")[0] for text in found] == [
        "log.mute[0]", "log.mute[1]", "log.rates.beats", "log.fields.topic", "log.fields"
    ]  # fmt: skip
    assert found[0].endswith("is dial") and found[2].endswith("is beat")
    (wide,) = said({"log": {"form": "json", "fields": {f"f{k}": "\x01" * 200 for k in range(2)}}})
    assert wide.startswith("log.fields: found 2418 bytes")


def test_a_storm_of_problems_is_bounded() -> None:
    found = said({f"key{k}": k for k in range(20_000)})
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
def test_what_python_takes_for_a_number_is_none_here(wrong: dict[str, Any]) -> None:
    (found,) = said({"inner": wrong}, Outer)
    assert found.startswith(f"inner.{next(iter(wrong))}: found ")


def test_a_former_name_is_taken_with_a_note_but_not_beside_the_new_one() -> None:
    made, problems = examine({"inner": {"max": 7}}, Outer)
    assert made == Outer(inner=Inner(most=7))
    assert problems[0].text() == "inner.max: a former name of most: write most"
    twice = said({"inner": {"max": 7, "most": 7}}, Outer)
    assert twice == ["inner.max: found a former name of most, which is given too, allowed: most alone"]
    wrong = said({"inner": {"limit": 700}}, Outer)
    assert wrong[1] == "inner.limit: found 700, allowed: a whole number up to 100"


def test_the_checks_of_one_table_run_whatever_is_wrong_in_another() -> None:
    found = said({"inner": {"least": "x"}, "other": {"least": 50}}, Outer)
    assert [x.split(":")[0] for x in found] == ["inner.least", "other.least"]


# --- files and reload -----------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("raw", "says"),
    [
        (b"a = ]", "line 1"), (b"\xff", "byte 0"), (b"a = " + b"[" * 20_000, "without end"),
        (b"#" * (MAX_FILE + 1), "at most"), (b"a = 1" + b"0" * 5000, "TOML"), (b"[log]\n[log]", "line 2"),
        (b"[log]\nrate = nan", "log.rate: found NaN"), (b"[log]\nform = 2026-12-01", "2026-12-01"),
        (b"[log]\nrate = 0x" + b"f" * 5000, "a whole number of 20000 bits"),
    ],
    ids=["value", "utf8", "nested", "large", "digits", "twice", "nan", "date", "hex"],
)  # fmt: skip
def test_what_is_no_operator_file_is_refused_in_one_line(tmp_path: Path, raw: bytes, says: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_bytes(raw)
    with pytest.raises(InvalidOperatorFileError) as caught:
        load(str(path), Operator)
    assert says in str(caught.value) and "\n" not in str(caught.value) and len(str(caught.value)) < 500


def test_a_path_that_is_no_file_is_refused_and_waits_for_nobody(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "fifo")
    for name in ("fifo", "none", ".", "null\0byte"):
        with pytest.raises(InvalidOperatorFileError):
            load(f"{tmp_path}/{name}", Operator)


def test_an_empty_file_is_the_node_without_one_and_the_example_names_every_field(tmp_path: Path) -> None:
    (tmp_path / "empty.toml").write_text("")
    assert load(str(tmp_path / "empty.toml"), Operator)[0].log.settings() == DEFAULT_LOG_SETTINGS
    assert [(p.field, p.note) for p in load(str(EXAMPLE), Operator)[1]] == [("cluster.name", True)]
    data = tomllib.loads(EXAMPLE.read_text())
    for table in type_of(Operator).fields:
        made: Any = type(getattr(Operator(), table.name))
        kind = type_of(made)
        assert set(data[table.encode_name]) == {f.encode_name for f in kind.fields}


def test_the_reference_page_is_what_the_types_say() -> None:
    assert (ROOT / "docs" / "operate" / "operator-file.md").read_text() == page()


def test_a_reload_takes_what_can_be_taken_and_names_what_waits(tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    path.write_text("[inner]\nleast = 2\nsize = 20\n[other]\nmost = 5")
    plan = reload(Outer(), str(path))
    assert plan.held == Outer(inner=Inner(least=2), other=Inner(most=5))
    assert (plan.now, plan.waits) == (("inner.least", "other.most"), ("inner.size",))
    taken = "taken from the operator file: inner.least, other.most"
    assert plan.line() == f"{taken}; only a restart takes up inner.size"
    assert reload(plan.held, str(path)).waits == ("inner.size",)  # said until it is done


def test_a_table_whose_mixture_would_be_wrong_waits_whole(tmp_path: Path) -> None:
    """Least = 15 is right with the size of the file, which waits, and wrong with the one that is held."""
    path = tmp_path / "o.toml"
    path.write_text("[inner]\nleast = 15\nsize = 20\n[other]\nmost = 5")
    plan = reload(Outer(), str(path))
    assert plan.held == Outer(other=Inner(most=5))
    assert (plan.now, plan.waits) == (("other.most",), ("inner.least", "inner.size"))


def test_a_file_with_anything_wrong_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    path.write_text("[log]\nrate = 5")
    live = Live(str(path))
    for text in ("[log]\nrate = 7\nform = 'xml'\nto = 1", "[log", None):
        path.unlink() if text is None else path.write_text(text)
        plan = live.again()
        assert plan.held.log.rate == 5 and live.held is plan.held and plan.problems and not plan.now
    path.write_text("[log]\nrate = 7\nform = 'xml'\nto = 1")
    line = live.again().line()
    assert line.startswith('the operator file changes nothing: log.form: found "xml", allowed: ')
    assert "(and 1 more" in line


class Watched:
    """A started node with an operator file, and its log."""

    def __init__(
        self, folder: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
    ) -> None:
        self.path, self._capfd, self.text = folder / "operator.toml", capfd, ""
        self.path.write_text("[log]\nlevel = 'error'\nform = 'json'")
        monkeypatch.setenv("LB_OPERATOR", str(self.path))
        self.player = Player()

    def until(self, part: str) -> str:
        """The log since the last call, once this is in it."""
        end = time.monotonic() + LIMIT_S
        while part not in self.text:
            assert time.monotonic() < end, f"never wrote {part!r}, only {self.text!r}"
            time.sleep(0.01)
            self.text += self._capfd.readouterr().err
        text, self.text = self.text, ""
        return text

    def hup(self, text: str) -> None:
        self.path.write_text(text)
        assert self.player.program is not None
        self.player.program.send_signal(signal.SIGHUP)


def test_sighup_on_a_started_node(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    node = Watched(tmp_path, monkeypatch, capfd)
    try:
        node.player.step_start("a=ready", b"")
        line = json.loads(node.until("ready with 1 endpoints"))
        assert (line["topic"], "site" in line) == ("phase", False)
        node.hup("[log]\nform = 'json'\nfields = {site = 'x'}")
        got = node.until("the operator file: log.level, log.fields")
        assert "discovery is now" in got  # both files have a line of their own
        line = json.loads(got.splitlines()[-1])
        assert (line["node"], line["topic"], line["site"]) == ("n0", "reload", "x")
        node.hup("[log]\nform = 'lines'\nrate = 0")
        line = json.loads(node.until("changes nothing").splitlines()[-1])
        assert line["text"].endswith("nothing: log.rate: found 0, allowed: a number from 0.01 to 1000")
        node.hup("")
        assert "reload: taken from the operator file: log.form" in node.until("log.fields")
        node.player.nothing_more()
        assert node.player.program is not None
        node.player.program.terminate()
        assert node.player.program.wait(LIMIT_S) == 0
        assert "phase: all is answered: leaving" in node.until("leaving")
    finally:
        node.player.close()


# --- the platform's file --------------------------------------------------------------------------------
def test_check_refuses_what_the_node_refuses(tmp_path: Path) -> None:
    """Each field left out, and replaced by odd values.

    The check is never laxer than the node, and its types alone find all but what is wrong within a seed.
    """
    text = json.loads(Path(write(tmp_path)["LB_CONFIG"]).read_text())
    path, laxer, late = tmp_path / "config.json", [], set()
    assert check_file(str(path)).is_valid
    for where in list(_paths(text, ())):
        for odd in (None, "", -1, 0, True, [], {}, "x:y", [1], {"a": 1}, 1e300, float("nan")):
            changed = json.loads(json.dumps(text))
            _put(changed, where, odd)
            path.write_text(json.dumps(changed))
            try:
                node_takes({"LB_CONFIG": str(path)})
            except Exception:
                laxer += [(where, odd)] if check_file(str(path)).is_valid else []
                late |= {where} if examine(changed, Platform)[0] is not None else set()
    assert laxer == [] and late == {("seed",)}


def _paths(value: Any, path: tuple[Any, ...]) -> Iterator[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        yield (*path, key)
        yield from _paths(item, (*path, key))


def _put(value: Any, path: tuple[Any, ...], odd: Any) -> None:
    for part in path[:-1]:
        value = value[part]
    if odd is None and isinstance(value, dict):
        del value[path[-1]]
    else:
        value[path[-1]] = odd


def test_the_platform_may_add_keys_but_a_slip_in_a_known_one_is_found(tmp_path: Path) -> None:
    text = json.loads(Path(write(tmp_path)["LB_CONFIG"]).read_text())
    allowed = text["settings"]["allowed"]
    allowed["newThing"] = 1
    path = tmp_path / "config.json"
    path.write_text(json.dumps(text))
    assert check_file(str(path)).is_valid and len(check_file(str(path)).problems) == 2
    allowed["conIdleMs"] = allowed.pop("connIdleMs")  # the node would go on with its own figure, unsaid
    text["settings"]["zone"] = 9
    path.write_text(json.dumps(text))
    assert not check_file(str(path)).is_valid
    assert [p.near for p in check_file(str(path)).problems if not p.note] == ["connIdleMs"]
