"""The system's command line: imports, exit codes, calls of the operator API, and the examples of its page.

The control nodes are the real handlers of the operator API over a replica group of one, on loopback.
"""

from __future__ import annotations

import ast
import asyncio
import json
import os
import re
import shlex
import signal
import subprocess
import sys
import threading
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from graphlib import TopologicalSorter
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from granitewell.cli.system import __main__ as start
from granitewell.cli.system import programs
from granitewell.cli.system.call_plan import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_REDIRECTS,
    Answered,
    CallPlan,
    GiveUp,
    Reply,
    SendTo,
    Unanswered,
)
from granitewell.cli.system.control_client import Call, ControlClient, Method
from granitewell.cli.system.differences import differences
from granitewell.cli.system.errors import (
    CommandError,
    NoControlNodeError,
    RejectedByControlError,
    VersionConflictError,
)
from granitewell.cli.system.exit_codes import ExitCode
from granitewell.cli.system.exit_handling import run_to_exit_code
from granitewell.controlplane.configuration.api import OperatorApi
from granitewell.controlplane.configuration.store import ConfigurationStore
from granitewell.domain.errors import InvalidSettingsError
from tests.test_system_settings import MINIMAL

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "operate" / "system.md").read_text()
ONCALL = (ROOT / "ONCALL.md").read_text()
CLEAN = {k: v for k, v in os.environ.items() if k != "GRANITEWELL_NODE_FILE"} | {"PYTHONPATH": str(ROOT)}
PROGRAM = [sys.executable, "-m", "granitewell.cli.system"]

ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "timeout-ms": 1000,
    "service": "s-1",
}
WHOLE = {"version": 7, "routes": [ROUTE], "services": [{"name": "s-1"}]}
PATCH = {"version": 9, "upsert": {"routes": [ROUTE | {"timeout-ms": 500}]}, "remove": {"routes": ["r-old"]}}


# --- what is imported when --------------------------------------------------------------------------------
def test_the_programs_start_without_the_command_line_parser() -> None:
    code = (
        "import sys, types\n"
        "fake = types.ModuleType('granitewell.cli.system.edge')\n"
        "fake.main = lambda: print(*sys.modules) or 0\n"
        "import granitewell.cli.system\n"
        "granitewell.cli.system.edge = sys.modules[fake.__name__] = fake\n"
        "from granitewell.cli.system.__main__ import main\n"
        "sys.exit(main(['edge']))\n"
    )
    done = subprocess.run([sys.executable, "-c", code], env=CLEAN, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    loaded = {name.partition(".")[0] for name in done.stdout.split()}
    assert not loaded & {"cappa", "rich", "aiohttp", "mashumaro", "orjson", "asyncio"}


def imports_in(package: str) -> dict[str, set[str]]:
    """Return which modules of a package each of its modules imports, inside functions too."""
    folder = ROOT / package.replace(".", "/")
    modules = {path.stem: ast.parse(path.read_text()) for path in folder.glob("*.py")}
    return {name: set(modules) & imported_names(tree, package) for name, tree in modules.items()}


def imported_names(tree: ast.AST, package: str) -> set[str]:
    """Return the names of modules of the package that this source imports."""
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module == package:
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith(f"{package}."):
            names.add((node.module or "").removeprefix(f"{package}."))
        elif isinstance(node, ast.Import):
            names |= {alias.name.removeprefix(f"{package}.") for alias in node.names}
    return names


def test_the_modules_of_the_command_line_import_each_other_in_one_direction() -> None:
    imports = imports_in("granitewell.cli.system")
    assert imports["__main__"] == {"commands", "exit_handling", "programs"}
    assert len(tuple(TopologicalSorter(imports).static_order())) == len(imports)


def test_a_check_imports_no_http_client() -> None:
    code = "import sys; from granitewell.cli.system import commands; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], env=CLEAN, capture_output=True, text=True, check=True)
    assert "aiohttp" not in done.stdout.split()


def test_a_stop_signal_during_startup_exits_with_code_0(monkeypatch: pytest.MonkeyPatch) -> None:
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = [signal.getsignal(sign) for sign in signals]
    exit_codes: list[int] = []
    monkeypatch.setattr(os, "_exit", exit_codes.append)
    try:
        programs._install_startup_signal_handlers()
        for sign in signals:
            os.kill(os.getpid(), sign)
        assert exit_codes == [0, 0]
    finally:
        for sign, handler in zip(signals, before, strict=True):
            signal.signal(sign, handler)


# --- exit codes ------------------------------------------------------------------------------------------
def raising(error: BaseException) -> Callable[[], int]:
    def run() -> int:
        raise error

    return run


@pytest.mark.parametrize(
    ("error", "code", "says"),
    [
        (CommandError("a\nb"), 2, "granitewell: a b\n"),
        (InvalidSettingsError("seeds", "missing"), 2, "granitewell: seeds: missing\n"),
        (VersionConflictError(5, "7"), 1, "granitewell: version 5 is not the current one any more: 7\n"),
        (NoControlNodeError("gone"), 3, "granitewell: gone\n"),
        (OSError(98, "Address in use"), 1, "granitewell: address or output: Address in use\n"),
        (OSError(28, "No space left", "log"), 3, "granitewell: log: No space left\n"),
        (ModuleNotFoundError("x", name="cappa.arg"), 3, "not installed: pip install 'granitewell[system]'\n"),
        (ModuleNotFoundError("x", name="granitewell.gone"), 3, "install granitewell whole\n"),
        (KeyboardInterrupt(), 130, ""),
        (BrokenPipeError(), 130, ""),
    ],
)
def test_errors_map_to_exit_codes_and_at_most_one_line(
    error: BaseException,
    code: int,
    says: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr("granitewell.cli.system.exit_handling._drop_output", lambda: None)
    assert run_to_exit_code(raising(error)) == code
    text = capsys.readouterr().err
    assert text.endswith(says) and bool(text) == bool(says) and text.count("\n") <= 1


def test_a_defect_has_its_own_exit_code(capsys: pytest.CaptureFixture[str]) -> None:
    assert run_to_exit_code(raising(ZeroDivisionError())) == ExitCode.DEFECT
    assert "Traceback" in capsys.readouterr().err


def test_exit_codes_match_the_page() -> None:
    page = (ROOT / "docs" / "operate" / "exit-codes.md").read_text()
    assert [int(x) for x in re.findall(r"^\| (\d+) \|", page, re.M)] == [*ExitCode]


@pytest.mark.parametrize(
    ("args", "code", "says"),
    [
        ([], 2, "A command is required: {edge, control, config}; see --help"),
        (["cofnig"], 2, "Invalid command 'cofnig'"),
        (["config", "put"], 2, "'FILE'"),
        (["config", "get", "--control", "somewhere"], 2, "--control: 'somewhere' is no ip:port"),
        (["config", "get", "--control", "127.0.0.1:0"], 2, "is no ip:port"),
        (["config", "get", "--control", "127.0.0.1:1,"], 2, "'' is no ip:port"),
        (["config", "get"], 2, "no --control, and no settings to take seeds from: "),
        (["config", "check", "none.json"], 2, "none.json: No such file or directory"),
        (["config", "get", "--wait", "long"], 2, "--wait"),
    ],
)
def test_a_usage_error_prints_one_line(
    args: list[str], code: int, says: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:  # fmt: skip
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("GRANITEWELL_NODE_FILE", str(tmp_path / "none"))
    assert exit_code(args) == code
    text = capsys.readouterr().err
    assert says in text and text.count("\n") == 1 and text.startswith("granitewell: ")


COMMANDS = ("config get", "config put", "config patch", "config check", "config diff")


@pytest.mark.parametrize("words", ["", "edge", "control", "config", *COMMANDS])
def test_each_command_has_help(words: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert exit_code([*words.split(), "--help"]) == 0
    assert f"python -m granitewell.cli.system {words}" in capsys.readouterr().out


def exit_code(arguments: Sequence[str]) -> int:
    """Return the exit code of the process."""
    try:
        return start.main(arguments)
    except SystemExit as error:
        assert isinstance(error.code, int)
        return error.code


# --- a call over several addresses ------------------------------------------------------------------------
A, B = "10.0.0.1:80", "10.0.0.2:80"


def test_a_final_answer_ends_the_call_at_once() -> None:
    for status in (200, 204, 400, 409, 412, 413, 422):
        assert CallPlan([A, B], 0.0, 10.0).after(Reply(status), 0.1) == Answered(Reply(status))


@pytest.mark.parametrize(
    "outcome", [Unanswered("x"), Reply(503), Reply(500), Reply(408), Reply(429), Reply(302)]
)
def test_after_a_failure_the_next_address_is_tried_with_growing_delays(outcome: Reply | Unanswered) -> None:
    plan, delays, addresses, now = CallPlan([A, B], 0.0, 60.0), [], [], 0.0
    assert plan.first() == SendTo(A, 0.0)
    while isinstance(step := plan.after(outcome, now), SendTo):
        now += step.delay_s
        delays.append(step.delay_s)
        addresses.append(step.address)
    assert isinstance(step, GiveUp) and 58.0 < now <= 60.0
    assert addresses[:4] == [B, A, B, A]
    assert delays == sorted(delays) and delays[0] == INITIAL_BACKOFF_S and delays[-1] == MAX_BACKOFF_S


def test_other_refusals_end_the_call_at_the_third_time() -> None:
    plan = CallPlan([A], 0.0, 60.0)
    assert isinstance(plan.after(Reply(404), 0.0), SendTo)
    assert isinstance(plan.after(Reply(403), 0.0), SendTo)
    assert plan.after(Reply(404), 0.0) == Answered(Reply(404))


def test_a_redirect_is_followed_twice_without_a_pause() -> None:
    plan, reply = CallPlan([A, B], 0.0, 60.0), Reply(307, b"", "http://10.0.0.9:8080/config")
    for _ in range(MAX_REDIRECTS):
        assert plan.after(reply, 0.0) == SendTo("10.0.0.9:8080", 0.0)
    assert plan.after(reply, 0.0) == SendTo(B, INITIAL_BACKOFF_S)
    assert plan.after(reply, 0.0) == SendTo("10.0.0.9:8080", 0.0)


@pytest.mark.parametrize(
    "location", [None, "", "/config", "http://", "http://x:99999/", "ftp://x/", "http://[", "//x"]
)
def test_a_redirect_to_nowhere_is_a_failure(location: str | None) -> None:
    assert CallPlan([A, B], 0.0, 60.0).after(Reply(307, b"", location), 0.0) == SendTo(B, INITIAL_BACKOFF_S)


OUTCOMES = st.one_of(
    st.builds(Reply, st.integers(100, 599), st.binary(max_size=9), st.sampled_from([None, f"http://{B}/x"])),
    st.builds(Unanswered, st.text(max_size=3)),
)


@given(st.lists(OUTCOMES, max_size=100), st.floats(0.0, 30.0), st.floats(0.0, 2.0))
def test_a_call_ends_within_its_timeout(
    outcomes: list[Reply | Unanswered], patience: float, takes: float
) -> None:
    plan, now, redirects = CallPlan([A, B], 0.0, patience), 0.0, 0
    for outcome in outcomes:
        now += takes
        step = plan.after(outcome, now)
        if not isinstance(step, SendTo):
            break
        redirects = redirects + 1 if step.delay_s == 0.0 else 0
        assert redirects <= MAX_REDIRECTS
        now += step.delay_s
        assert redirects or now <= patience


@dataclass
class ScriptedNodes:
    """Control nodes with scripted outcomes, and a clock that `sleep` advances."""

    outcomes: list[Reply | Unanswered]
    now: float = 0.0
    sent: list[tuple[str, Call]] = field(default_factory=list)

    async def send(self, address: str, call: Call) -> Reply | Unanswered:
        self.sent.append((address, call))
        return self.outcomes.pop(0)

    async def sleep(self, seconds: float) -> None:
        self.now += seconds

    def ask(self, ask: Callable[[ControlClient], Awaitable[Any]]) -> Any:
        client = ControlClient([A, B], self.send, 15.0, lambda: self.now, self.sleep)

        async def run() -> Any:
            return await ask(client)

        return asyncio.run(run())


def test_a_change_is_sent_again_unchanged_until_it_has_an_answer() -> None:
    nodes = ScriptedNodes([Unanswered("lost"), Reply(503), Reply(307, b"", f"http://{A}/config"), Reply(200)])
    nodes.ask(lambda client: client.change(Method.PUT, b"{}", 5))
    assert [address for address, _ in nodes.sent] == [A, B, A, A]
    assert {call for _, call in nodes.sent} == {Call(Method.PUT, b"{}", 5)}
    assert nodes.sent[0][1].headers == {"Content-Type": "application/json", "If-Match": "5"}
    assert nodes.now == pytest.approx(0.3)


def test_a_change_without_a_final_answer_is_not_reported_as_rejected() -> None:
    nodes = ScriptedNodes([Reply(503, b"no quorum")] * 50)
    with pytest.raises(NoControlNodeError, match="the change may have been taken: answered 503 no quorum"):
        nodes.ask(lambda client: client.change(Method.PATCH, b"{}", 5))
    assert nodes.now <= 15.0


@pytest.mark.parametrize(
    ("body", "says"),
    [
        (b'{"error": "is not above 0", "field": "routes[0].x"}', "routes[0].x: is not above 0"),
        (b'{"error": "other", "version": 9}', "other: 9"),
        (b"not\njson", "not json"),
        (b"[1]", "[1]"),
        (b"", "no reason given"),
    ],
)
def test_a_rejection_includes_the_reason_of_the_node(body: bytes, says: str) -> None:
    nodes = ScriptedNodes([Reply(400, body)])
    with pytest.raises(RejectedByControlError) as raised:
        nodes.ask(lambda client: client.change(Method.PUT, b"{}", 5))
    assert str(raised.value) == f"refused with 400: {says}"


def test_a_large_body_is_given_more_time() -> None:
    assert Call(Method.PUT, b"x" * 5_000_000).timeout_s == pytest.approx(6.0)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"version": "7"}'])
def test_a_configuration_without_a_version_can_not_be_changed(body: bytes) -> None:
    with pytest.raises(NoControlNodeError):
        ScriptedNodes([Reply(200, body)]).ask(lambda client: client.version())


# --- what differs -----------------------------------------------------------------------------------------
def test_differences_name_what_was_added_removed_and_changed() -> None:
    after = {
        "version": 9,
        "routes": [ROUTE | {"service": "s-2", "sticky": True}, ROUTE | {"name": "r-2"}],
        "services": [{"name": "s-2", "engine": {"slots": 4}}],
        "limits": {"max-body-bytes": 5},
    }
    assert [difference.text() for difference in differences(WHOLE, after)] == [
        "~ version: 7 -> 9",
        '~ routes[r-1].service: "s-1" -> "s-2"',
        "+ routes[r-1].sticky",
        "+ routes[r-2]",
        "- services[s-1]",
        "+ services[s-2]",
        "+ limits",
    ]


@pytest.mark.parametrize(
    ("before", "after", "differs"),
    [
        (1, 1.0, False),
        (1, True, True),
        (False, 0, True),
        (None, False, True),
        ([1, 2], [1, 2], False),
        ([1, 2], [2, 1], True),
        ([1], [1, 2], True),
        ([1], [True], True),
        ([{"a": 1, "b": 2}], [{"b": 2, "a": 1}], False),
        ([{"a": 1}], [{"a": True}], True),
        ([{"a": 1}], [{"b": 1}], True),
    ],
)
def test_values_are_compared_as_json(before: Any, after: Any, differs: bool) -> None:
    assert bool(differences({"limits": before}, {"limits": after})) is differs


JSON: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.booleans() | st.integers(0, 2) | st.text("ab", max_size=2),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text("ab", max_size=2), inner, max_size=2),
    max_leaves=5,
)
ITEMS: st.SearchStrategy[dict[str, Any]] = st.fixed_dictionaries(
    {"name": st.sampled_from("xyz")}, optional={"a": JSON}
)
NAMED: st.SearchStrategy[Any] = st.lists(
    ITEMS,
    unique_by=lambda item: str(item["name"]),
)
CONFIGURATIONS: st.SearchStrategy[Any] = st.fixed_dictionaries(
    {"routes": NAMED, "services": NAMED}, optional={"limits": JSON, "b": JSON}
)


@given(CONFIGURATIONS, CONFIGURATIONS)
def test_there_are_no_differences_exactly_if_both_are_equal(before: Any, after: Any) -> None:
    def canonical(document: Any) -> str:
        lists = {key: sorted(document[key], key=lambda item: item["name"]) for key in ("routes", "services")}
        return json.dumps(document | lists, sort_keys=True)

    assert differences(before, before) == []
    assert bool(differences(before, after)) == (canonical(before) != canonical(after))


# --- the commands against control nodes ---------------------------------------------------------------------
class GroupOfOne:
    """A replica group of one member that commits every proposal at once."""

    def __init__(self, store: ConfigurationStore) -> None:
        self.store = store
        self.index = 0
        self.leads = True
        self.leader_address: str | None = None
        self.lose_answers = 0

    async def propose(self, data: bytes, timeout_s: float = 0.0) -> object:
        self.index += 1
        return self.store.apply(self.index, data)

    def holds_lease(self) -> bool:
        return self.leads


@dataclass
class ControlNodes:
    """A follower and a leader on loopback."""

    leader: str
    follower: str
    store: ConfigurationStore
    group: GroupOfOne


def _application(group: GroupOfOne, name: str) -> web.Application:
    @web.middleware
    async def lossy(request: web.Request, handler: Any) -> web.StreamResponse:
        answer: web.StreamResponse = await handler(request)
        if request.method != "GET" and group.lose_answers:
            group.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return answer

    app = web.Application(middlewares=[lossy])
    OperatorApi(group.store, group, str, own_address=name).routes(app)
    return app


async def _listen(app: web.Application, port: int = 0) -> str:
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    assert site._server is not None
    sockets: Any = site._server.sockets  # type: ignore[attr-defined]
    return f"127.0.0.1:{sockets[0].getsockname()[1]}"


async def _start_nodes() -> ControlNodes:
    store = ConfigurationStore()
    leading, following = GroupOfOne(store), GroupOfOne(store)
    following.leads = False
    leader = await _listen(_application(leading, "leader"))
    following.leader_address = leader
    follower = await _listen(_application(following, "follower"))
    return ControlNodes(leader, follower, store, leading)


@pytest.fixture
def nodes() -> Iterator[ControlNodes]:
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield asyncio.run_coroutine_threadsafe(_start_nodes(), loop).result(10.0)
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10.0)
        loop.close()


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Change to a folder with files to send."""
    (tmp_path / "whole.json").write_text(json.dumps(WHOLE))
    (tmp_path / "patch.json").write_text(json.dumps(PATCH))
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv("GRANITEWELL_NODE_FILE", raising=False)
    return tmp_path


def run_command(capsys: pytest.CaptureFixture[str], *args: str) -> tuple[int, str]:
    """Run a command; return its exit code and its output."""
    code = exit_code(args)
    out, err = capsys.readouterr()
    return code, out + err


def test_a_configuration_is_put_patched_and_read(
    nodes: ControlNodes, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    control = ("--control", f"{nodes.follower},{nodes.leader}")  # the follower points at the leader
    code, text = run_command(capsys, "config", "put", "whole.json", *control, "--if-match", "0")
    assert (code, text) == (0, "taken: version 7, on top of 0\n")
    code, text = run_command(capsys, "config", "diff", "patch.json", *control)
    assert (code, text) == (1, "~ version: 7 -> 9\n~ routes[r-1].timeout-ms: 1000 -> 500\n")
    code, text = run_command(capsys, "config", "patch", "patch.json", *control)
    assert (code, text) == (0, "taken: version 9, on top of 7\n")
    code, text = run_command(capsys, "config", "get", *control)
    assert code == 0 and json.loads(text)["routes"] == [ROUTE | {"timeout-ms": 500}]
    (folder / "now.json").write_text(text)
    assert run_command(capsys, "config", "diff", "now.json", *control) == (0, "")


def test_the_seeds_of_the_settings_file_are_asked_where_no_address_is_given(
    nodes: ControlNodes, folder: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (folder / "node.json").write_text(json.dumps(MINIMAL | {"seeds": [nodes.leader]}))
    monkeypatch.setenv("GRANITEWELL_NODE_FILE", "node.json")
    assert run_command(capsys, "config", "get") == (1, "granitewell: no configuration has been taken yet\n")
    assert run_command(capsys, "config", "put", "whole.json") == (0, "taken: version 7, on top of 0\n")
    (folder / "node.json").write_text(json.dumps(MINIMAL | {"seeds": []}))
    code, text = run_command(capsys, "config", "get")
    assert code == 2 and "no seeds in node.json" in text


def test_a_change_whose_answer_was_lost_is_acknowledged_once_more(
    nodes: ControlNodes, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    nodes.group.lose_answers = 1
    control = ("--control", f"{nodes.leader},{nodes.follower}")
    assert run_command(capsys, "config", "put", "whole.json", *control)[0] == 0
    assert nodes.group.index == 1 and nodes.store.version == 7


def test_a_rejected_change_states_the_reason(
    nodes: ControlNodes, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    control = ("--control", nodes.leader)
    assert run_command(capsys, "config", "put", "whole.json", *control)[0] == 0
    code, text = run_command(capsys, "config", "patch", "patch.json", *control, "--if-match", "5")
    assert code == 1 and text.startswith("granitewell: version 5 is not the current one any more: ")
    (folder / "same.json").write_text(json.dumps(WHOLE | {"services": [{"name": "s-1"}, {"name": "s-2"}]}))
    code, text = run_command(capsys, "config", "put", "same.json", *control)
    assert code == 2 and "refused with 400: version: 7 is not above 7" in text
    gone = {"version": 11, "remove": {"services": ["s-1"]}}
    (folder / "gone.json").write_text(json.dumps(gone))
    code, text = run_command(capsys, "config", "patch", "gone.json", *control)
    assert code == 2 and "refused with 400: remove.services: " in text
    assert nodes.store.version == 7


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"version": 0}, "version"),
        ({"routes": [ROUTE | {"service": "s-9"}]}, "routes[0].service"),
        ({"routes": [ROUTE, ROUTE | {"name": "r-2"}]}, "routes[1].prefix"),
        ({"routes": [ROUTE | {"timeout-ms": 0}]}, "routes[0].timeout-ms"),
        ({"routes": [ROUTE | {"kind": "odd"}]}, "routes[0].kind"),
        ({"services": 5}, "services"),
    ],
)
def test_an_invalid_file_is_not_sent(
    change: dict[str, Any], field: str, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (folder / "bad.json").write_text(json.dumps(WHOLE | change))
    for words in (["check", "bad.json"], ["put", "bad.json", "--control", "127.0.0.1:9"]):
        code, text = run_command(capsys, "config", *words)
        assert code == 2 and text.startswith(f"granitewell: bad.json: {field}: ")


def test_a_patch_is_checked_by_itself_or_on_a_whole(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    code, text = run_command(capsys, "config", "check", "whole.json")
    assert (code, text) == (0, "whole.json: good, version 7: 1 routes, 1 services\n")
    code, text = run_command(capsys, "config", "check", "patch.json")
    assert code == 0 and text.startswith("patch.json: good by itself, a patch to version 9; ")
    code, text = run_command(capsys, "config", "check", "patch.json", "--on", "whole.json")
    assert (code, text) == (0, "patch.json: good, version 9: 1 routes, 1 services\n")
    (folder / "patch.json").write_text(json.dumps({"version": 9, "remove": {"services": ["s-1"]}}))
    code, text = run_command(capsys, "config", "check", "patch.json", "--on", "whole.json")
    assert code == 2 and text.startswith("granitewell: patch.json: remove.services: ")


@pytest.mark.parametrize("raw", [b"", b"{", b"[]", b"\xff", b"null", b"[" * 5000], ids=lambda x: repr(x[:6]))
@pytest.mark.parametrize(
    "words",
    [
        "check bad.json",
        "check whole.json --on bad.json",
        "check bad.json --on whole.json",
        "diff bad.json --against whole.json",
        "diff whole.json --against bad.json",
    ],
)
def test_garbage_is_bad_input(
    raw: bytes, words: str, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (folder / "bad.json").write_bytes(raw)
    code, text = run_command(capsys, "config", *words.split())
    assert code == 2 and "bad.json: " in text and text.count("\n") == 1


def test_an_unreachable_control_node_has_its_own_exit_code(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    code, text = run_command(capsys, "config", "get", "--control", "127.0.0.1:9", "--wait", "0")
    assert code == 3 and text.startswith("granitewell: no control node answers: 127.0.0.1:9: ")


# --- the page's examples ------------------------------------------------------------------------------------
def test_the_commands_of_the_page_print_what_it_shows(
    nodes: ControlNodes, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for name, content in re.findall(r"^`(\S+\.json)`:\n\n```json\n(.*?)```", PAGE, re.M | re.S):
        (folder / name).write_text(content)
    ran = 0
    for example in re.findall(r"^```console\n(.*?)```", PAGE, re.M | re.S):
        for command, shows in re.findall(r"^\$ (.*)\n((?:(?!\$ ).*\n)*)", example, re.M):
            words = shlex.split(command.replace("10.1.0.14:8146", nodes.leader))
            assert words[:3] == ["python", "-m", "granitewell.cli.system"]
            assert run_command(capsys, *words[3:])[1] == shows, command
            ran += 1
    assert ran >= 6


def test_the_page_has_each_log_line_of_the_system() -> None:
    templates: set[str] = set()
    for part in ("nodes", "controlplane", "dataplane", "coordination", "discovery", "rpc"):
        for path in (ROOT / "granitewell" / part).rglob("*.py"):
            templates |= set(log_templates(path.read_text()))
    assert len(templates) >= 5
    _, _, table = ONCALL.partition("## Lines of the edge and the control node\n")
    rows = set(re.findall(r"^\| \w+ \| `granitewell\.\w+` \| `(.+?)` \| ", table, re.M))
    assert rows == templates | {"lines were left out"}


LEVELS = ("info", "notice", "warn", "warning", "error", "exception", "critical")


def log_templates(source: str) -> Iterator[str]:
    """Yield the templates of the log messages of a module, except for debug messages."""
    tree = ast.parse(source)
    constants = {
        target.id: node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    }
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        logger = node.func.value
        if isinstance(logger, ast.Name) and logger.id in ("log", "_log") and node.func.attr in LEVELS:
            template = node.args[0]
            if isinstance(template, ast.Name):
                template = constants[template.id]
            assert isinstance(template, ast.Constant), f"{ast.unparse(node)}: a template is a constant"
            yield str(template.value)


def test_the_settings_of_the_page_are_valid() -> None:
    from granitewell.domain.settings import parse_settings

    (example,) = re.findall(r"<!-- settings -->\n\n```json\n(.*?)```", PAGE, re.S)
    settings = parse_settings(example.encode())
    assert settings.listen.front and settings.seeds
