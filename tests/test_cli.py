"""The command line: exit codes, one-line errors, lazy imports, and starting a node."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tomllib
from importlib.util import find_spec
from pathlib import Path
from typing import Any

import click
import pytest

from granitewell.cli import main as cli
from granitewell.cli.lab import LAB
from granitewell.cli.main import COMMANDS, DEFECT, INTERRUPTED, Entry, LazyGroup, run
from granitewell.cli.node import node_command
from granitewell.cli.show import (
    BAD_INPUT,
    BAD_OUTCOME,
    UNAVAILABLE,
    BadOutcomeError,
    CommandError,
    UnavailableError,
)
from tests.exchange_player import LIMIT_S, Player
from tests.test_config import write

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = str(ROOT / "deploy" / "operator-example.toml")
PROGRAM = [sys.executable, "-m", "granitewell.cli.main"]
CLEAN = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {"PYTHONPATH": str(ROOT)}


def run_program(*args: str, env: dict[str, str] | None = None, **kw: Any) -> subprocess.CompletedProcess[str]:
    return subprocess.run([*PROGRAM, *args], env=CLEAN | (env or {}), text=True, timeout=LIMIT_S,
                          stderr=subprocess.PIPE, **({"stdout": subprocess.PIPE} | kw))  # fmt: skip


def completion_env(words: str, at: int) -> dict[str, str]:
    """Return the variables with which bash requests completions."""
    return {"_GRANITEWELL_COMPLETE": "bash_complete", "COMP_WORDS": words, "COMP_CWORD": str(at)}


# --- commands and their help ----------------------------------------------------------------------------
@pytest.mark.parametrize("words", [[], ["lab"], *([n] for n in COMMANDS), *(["lab", n] for n in LAB)])
def test_each_command_has_help_with_an_example(words: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    if words[:1] == ["lab"] and words[1:] and find_spec(LAB[words[1]].target.partition(":")[0]) is None:
        pytest.skip("not written yet")
    assert run([*words, "--help"]) == 0
    text = capsys.readouterr().out
    assert re.search(r"Examples?:\s+.*granitewell", text), text
    if words:
        assert " ".join(words) in text.split("\n")[0]


def test_listing_and_completing_the_lab_imports_none_of_it() -> None:
    code = "import sys; from granitewell.cli.main import run; run(['lab', '--help']); print(*sys.modules)"
    for env in ({}, completion_env("granitewell lab s", 2)):
        done = subprocess.run([sys.executable, "-c", code], env=CLEAN | env, capture_output=True, text=True)
        loaded = set(done.stdout.splitlines()[-1].split())
        assert "sim" in done.stdout and "granitewell.cli.lab" in loaded
        assert not {x.split(".")[0] for x in loaded} & {"rich", "msgspec", "numpy", "hdrh", "matplotlib"}
        assert not {x for x in loaded if x.startswith(("granitewell.lab", "granitewell.net", "asyncio"))}


@pytest.mark.parametrize(
    ("args", "says"),
    [
        (["chekc"], "No such command 'chekc'. Did you mean 'check'?"),
        (["lab", "hnut"], "No such command 'hnut'. Did you mean 'hunt'?"),
        (["check", "--jsno", "x"], "No such option '--jsno'. Did you mean '--json'?"),
        (["check"], "which FILE?"),
        (["completion", "tcsh"], "'tcsh' is not one of"),
    ],
)
def test_a_typo_gets_one_line_with_the_nearest_name(
    args: list[str], says: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(args) == BAD_INPUT
    error = capsys.readouterr().err
    assert says in error and error.count("\n") == 1 and "--help" in error


def test_completion_scripts_are_accepted_by_the_shell() -> None:
    script = run_program("completion", "bash").stdout
    done = subprocess.run(["bash", "-c", f"{script}\ncomplete -p granitewell"], capture_output=True)
    assert done.returncode == 0 and b"granitewell" in done.stdout
    assert all("granitewell" in run_program("completion", shell).stdout for shell in ("zsh", "fish"))
    assert run_program(env=completion_env("granitewell check --r", 2)).stdout == "plain,--reference\n"


def test_version_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["version", "--json"]) == 0
    assert {"granitewell", "python", "uvloop"} <= set(json.loads(capsys.readouterr().out))


# --- exit codes ------------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("error", "code", "says"),
    [
        (CommandError("a\nb"), BAD_INPUT, "granitewell: a b\n"),
        (BadOutcomeError("rule 2"), BAD_OUTCOME, "granitewell: rule 2\n"),
        (UnavailableError("port"), UNAVAILABLE, "granitewell: port\n"),
        (OSError(28, "No space left", "out.db"), UNAVAILABLE, "granitewell: out.db: No space left\n"),
        (ModuleNotFoundError("x", name="hdrh.histogram"), UNAVAILABLE, "pip install 'granitewell[lab]'\n"),
        (ModuleNotFoundError("x", name="granitewell.gone"), UNAVAILABLE, "gone: install granitewell whole\n"),
        (KeyboardInterrupt(), INTERRUPTED, ""),
        (click.exceptions.Exit(7), 7, ""),
    ],
)
def test_errors_map_to_exit_codes_and_at_most_one_line(
    error: BaseException, code: int, says: str, monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:  # fmt: skip
    @click.command()
    def fails() -> int:
        raise error

    monkeypatch.setattr(cli, "_drop_output", lambda: None)  # pytest's own output is not a descriptor to close
    monkeypatch.setitem(sys.modules, "fails_here", type("M", (), {"fails": fails}))
    monkeypatch.setattr(cli.granitewell, "entries", {"fails": Entry("fails_here:fails", "")})
    assert run(["fails"]) == code
    text = capsys.readouterr().err
    assert text.endswith(says) and bool(text) == bool(says) and text.count("\n") <= 1


def test_return_values_are_ignored_and_defects_have_their_own_exit_code(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    @click.command()
    @click.option("--badly", is_flag=True)
    def five(badly: bool) -> int:
        return 5 // (0 if badly else 1)

    monkeypatch.setitem(sys.modules, "five_here", type("M", (), {"five": five}))
    monkeypatch.setattr(cli.granitewell, "entries", {"five": Entry("five_here:five", "")})
    for args, code in (["five"], 0), (["five", "--badly"], DEFECT):
        monkeypatch.setattr(sys, "argv", ["granitewell", *args])
        with pytest.raises(SystemExit) as ended:
            cli.main()
        assert ended.value.code == code
    assert "ZeroDivisionError" in capsys.readouterr().err


def test_a_command_that_is_not_installed_says_which_extra_it_needs(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    group = LazyGroup("g", entries={"away": Entry("granitewell.cli.away:x", "Away.")})
    monkeypatch.setattr(cli, "granitewell", group)
    assert run(["away"]) == UNAVAILABLE
    error = capsys.readouterr().err
    assert "granitewell away" in error and "granitewell.cli.away" in error and error.count("\n") == 1
    assert run(["--help"]) == 0 and "Away." in capsys.readouterr().out


def test_without_click_the_program_says_what_to_install() -> None:
    code = "import sys; sys.modules['click'] = None; import granitewell.cli.main"
    done = subprocess.run([sys.executable, "-c", code], env=CLEAN, capture_output=True, text=True)
    assert done.returncode == UNAVAILABLE
    assert done.stderr.startswith("granitewell: this needs click, which is not installed: pip install")
    assert done.stderr.count("\n") == 1


def test_closed_pipe_and_full_disk() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    done = run_program("check", "--reference", stdout=writer)
    os.close(writer)
    assert (done.returncode, done.stderr) == (INTERRUPTED, "")
    with Path("/dev/full").open("w") as full:
        done = run_program("version", stdout=full)
    assert (done.returncode, done.stderr) == (UNAVAILABLE, "granitewell: output: No space left on device\n")


# --- check ----------------------------------------------------------------------------------------------
def test_check_detects_the_file_kind_and_lists_all_problems(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good, bad = write(tmp_path)["LB_CONFIG"], str(tmp_path / "bad.toml")
    Path(bad).write_text("[log]\nform = 'xml'\nlevle = 1\n")
    assert run(["check", good, EXAMPLE]) == 0
    text = capsys.readouterr().out
    assert f"{good}: good, a platform configuration" in text and f"{EXAMPLE}: good, an operator file" in text
    assert run(["check", bad, good, str(tmp_path / "none")]) == BAD_INPUT
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == f'{bad}: log.form: found "xml", allowed: "json" or "lines"'
    assert lines[1].startswith(f"{bad}: log.levle: found an unknown key") and lines[1].endswith(" is level")
    assert lines[-1].startswith(f"{tmp_path}/none: found nothing that can be read")
    assert run(["check", "--json", bad, good]) == BAD_INPUT
    data = json.loads(capsys.readouterr().out)
    assert [f["good"] for f in data["files"]] == [False, True] and not data["good"]
    assert data["files"][0]["problems"][1] | {"allowed": ""} == {
        "field": "log.levle", "found": "an unknown key", "allowed": "", "near": "level", "note": False
    }  # fmt: skip


@pytest.mark.parametrize("raw", [b'{"a": ', b"{" * 100_000, b"\xff{", b'{"a": 1}\n{', b"[" * 100_000, b"\0"])
def test_check_reports_garbage_as_a_problem(
    raw: bytes, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "x"
    path.write_bytes(raw)
    assert run(["check", str(path)]) == BAD_INPUT
    assert capsys.readouterr().out.startswith(f"{path}: found ")


# --- node -----------------------------------------------------------------------------------------------
def test_the_node_command_runs_this_package(tmp_path: Path) -> None:
    command, env = node_command({"A": "b", "PYTHONPATH": "/else", "LB_OPERATOR": "old"}, "new.toml")
    assert command == [sys.executable, "-P", "-m", "granitewell"]
    assert env == {"A": "b", "PYTHONPATH": f"{ROOT}{os.pathsep}/else", "LB_OPERATOR": "new.toml"}
    (tmp_path / "granitewell").mkdir()  # a folder of that name where the command is given
    (tmp_path / "granitewell" / "__main__.py").write_text("raise SystemExit(99)")
    done = run_program("node", cwd=tmp_path)
    assert (done.returncode, done.stderr) == (2, "granitewell: bad configuration: LB_CONFIG: not set\n")


def test_a_node_does_not_start_with_an_invalid_operator_file(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("[log]\nrate = 0\nform = 1\n")
    done = run_program("node", "--operator", str(path), env=write(tmp_path))
    assert done.returncode == 2
    assert done.stderr.splitlines() == [
        f"granitewell: bad operator file: {path}: log.rate: found 0, allowed: a number from 0.01 to 1000",
        f'granitewell: bad operator file: {path}: log.form: found 1, allowed: "json" or "lines"',
    ]
    code = "import sys; sys.modules['msgspec'] = None; import granitewell.__main__ as m; sys.exit(m.main())"
    env = CLEAN | write(tmp_path) | {"LB_OPERATOR": EXAMPLE}
    done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True)
    assert (done.returncode, done.stderr.count("\n")) == (
        UNAVAILABLE,
        1,
    ) and "granitewell[cli]" in done.stderr


def test_the_plain_node_imports_only_what_it_needs(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Python reports each import of a node's process, from start over a reload to its end."""
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    monkeypatch.delenv("LB_OPERATOR", raising=False)
    player = Player()
    try:
        player.step_start("a=ready", b"")
        player.step_reload("a=ready", b"")
        player.step_signal("TERM", b"")
        player.step_exit("0", b"")
    finally:
        player.close()
    rows = re.findall(r"^import time: +\d+ \| +\d+ \| +(\S+)$", capfd.readouterr().err, re.M)
    loaded = {row for row in rows if row.split(".")[0] not in sys.stdlib_module_names}
    # an installation may hook into the start of Python, and pickle looks for a Jython that is not there
    hooks = "__editable__", "_distutils_hack", "sitecustomize", "org."
    third_party = {x for x in loaded if not x.startswith(hooks)} - {"org"}
    assert {"granitewell.net.loop", "granitewell.net.logs", "uvloop", "httptools"} <= third_party
    assert {x.split(".")[0] for x in third_party} == {"granitewell", "uvloop", "httptools"}
    packages = {x.split(".")[1] for x in third_party if x.startswith("granitewell.")}
    assert packages == {"config", "core", "files", "handover", "net", "reload", "startup_pacing", "balancing"}


# --- the project ----------------------------------------------------------------------------------------
def test_versions_agree_in_all_files() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    extras = project["optional-dependencies"]
    pinned = {}
    for name in ("requirements.txt", "requirements-dev.txt"):
        for line in (ROOT / name).read_text().splitlines():
            if line and line[0] not in "#-":
                package, version = line.split("==")
                pinned[package] = version
    asked = [x for extra in extras.values() for x in extra if not x.startswith("granitewell[")]
    assert all(pinned[package] == version for package, version in (x.split("==") for x in asked))
    serves = (ROOT / "requirements.txt").read_text()
    assert sorted(project["dependencies"]) == sorted(re.findall(r"^[^#\n].*", serves, re.M))
    module, _, name = project["scripts"]["granitewell"].partition(":")
    assert getattr(__import__(module, fromlist=["x"]), name) is cli.main


def test_the_exit_codes_page_lists_every_code() -> None:
    page = (ROOT / "docs" / "operate" / "exit-codes.md").read_text()
    codes = [int(x) for x in re.findall(r"^\| (\d+) \|", page, re.M)]
    assert codes == [cli.OK, cli.BAD_OUTCOME, cli.BAD_INPUT, cli.UNAVAILABLE, DEFECT, INTERRUPTED]
