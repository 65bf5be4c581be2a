"""Every point at which the process can be stopped, and each byte at which a connection can.

Stop there, start again, and hold what was promised before against what is there after.

A child is the program with one function wrapped: at its so-many-th call the process kills itself, or gets a
signal, before or after. The next process is always the plain program, on the same listener and folder.
"""

from __future__ import annotations

import os
import select
import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.play import LIMIT_S
from tests.test_upgrade import ASK, Agent, Site

CHILD = """
import importlib, os, signal, sys
from granitewell import __main__ as program
target, when, count, signals = sys.argv[1:5]
module, _, path = target.partition(":")
owner = importlib.import_module(module)
*owners, name = path.split(".")
for part in owners:
    owner = getattr(owner, part)
real, left = getattr(owner, name), int(count)
def wrapped(*args, **kwargs):
    global left
    left -= 1
    if when == "after":
        result = real(*args, **kwargs)
    if left == 0:
        for number in signals.split(","):
            os.kill(os.getpid(), int(number))
    return result if when == "after" else real(*args, **kwargs)
setattr(owner, name, wrapped)
sys.exit(program.main())
"""
# A signal that comes at the very end: the interpreter has given all handlers back, and a worker thread that
# blocks no signal is still there. libc calls kill(0, SIGNAL) then, as the process leaves with 0: to the
# process's own group.
CHILD_AT_ITS_END = """
import ctypes, os, sys, threading
from granitewell import __main__ as program
os.setpgid(0, 0)
libc = ctypes.CDLL(None)
libc.on_exit(libc.kill, ctypes.c_void_p(int(sys.argv[1])))
threading.Thread(target=threading.Event().wait, daemon=True).start()
sys.exit(program.main())
"""
BOOK = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: 1500\r\n"
        b"Content-Length: 2\r\n\r\nhi")  # fmt: skip
KILL = signal.SIGKILL


def at(target: str, when: str = "before", count: int = 1, *signals: int) -> tuple[str, ...]:
    """A program that stops at this point."""
    return "-c", CHILD, target, when, str(count), ",".join(str(int(x)) for x in signals or (KILL,))


def named(program: object) -> str:
    """For the list of tests."""
    return f"{program[2]}-{program[3]}" if isinstance(program, tuple) else ""


class Ledger(Agent):
    """An endpoint that counts how often each request has come whole."""

    def __init__(self) -> None:
        self.ran = Counter[bytes]()
        super().__init__()

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        try:
            while more := sock.recv(4096):
                data += more
                head, end, body = data.partition(b"\r\n\r\n")
                if not end or (b"Content-Length: 2" in head and len(body) < 2):
                    continue
                self.ran[head.partition(b"Request-Id: ")[2].split()[0]] += 1
                data = b""
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except ConnectionError:
            sock.close()


@pytest.fixture
def site() -> Iterator[Site]:
    made = Site()
    made.agent = Ledger()
    try:
        yield made
    finally:
        made.close()


def asked(site: Site, raw: bytes) -> bytes:
    """What one client gets for this on a connection of its own; empty where it ends without an answer."""
    with socket.create_connection(site.listener.getsockname(), LIMIT_S) as sock:
        sock.settimeout(LIMIT_S)
        try:
            sock.sendall(raw)
            return sock.recv(4096)
        except ConnectionError:
            return b""


def booked(site: Site, rid: bytes) -> bytes:
    return asked(site, BOOK % rid)


def called(site: Site, console: Any, what: str) -> int:
    try:
        return site.call(console, f"/dispatch-servers/{what}", "s-a")
    except (OSError, IndexError):
        return 0


def said(site: Site, text: bytes) -> bool:
    """Whether the process that was started last writes such a line, in a test's time."""
    process = site.started[-1]
    assert process.stderr is not None
    limit = threading.Timer(LIMIT_S, process.kill)
    limit.start()
    try:
        return any(text in line for line in iter(process.stderr.readline, b""))
    finally:
        limit.cancel()


def ended(site: Site) -> int:
    """The exit code of the process that was started last."""
    return site.started[-1].wait(LIMIT_S)


# --- Killed ------------------------------------------------------------------------------------------------
AT_THE_START = [
    at("granitewell.__main__:load", "after"),
    at("granitewell.__main__:Handover.enter"),
    at("os:rename"),  # its file is there and locked, and not yet named
    at("os:rename", "after"),
    at("granitewell.net.loop:open_listener"),
    at("granitewell.net.loop:open_listener", "after"),
    at("granitewell.net.loop:Console", "after"),
    at("granitewell.net.loop:Node._check_handover", "after"),
    at("granitewell.net.loop:Discovery.watch", "after"),
]


@pytest.mark.parametrize("program", AT_THE_START, ids=named)
def test_killed_at_the_start_the_next_one_keeps_the_bans(site: Site, program: tuple[str, ...]) -> None:
    console = site.start()
    site.ready(console)
    assert called(site, console, "disable") == 200
    site.start(program=program)  # the next version, beside it
    assert ended(site) == -KILL
    assert site.call(console, "/ready") == 200 and booked(site, b"r1").startswith(b"HTTP/1.1 503")
    site.started[0].kill()
    site.started[0].wait(LIMIT_S)
    again = site.start()
    site.ready(again)
    assert booked(site, b"r2").startswith(b"HTTP/1.1 503")  # the ban had its yes
    assert called(site, again, "enable") == 200
    site.until(lambda: booked(site, os.urandom(4).hex().encode()).startswith(b"HTTP/1.1 200"))
    site.until(lambda: len([x for x in os.scandir(next(folders(site))) if x.name.startswith("run-")
                            and not x.name.endswith(".new")]) == 1)  # fmt: skip


def folders(site: Site) -> Iterator[Path]:
    yield from Path(site.folder.name).glob("granitewell-*")


IN_A_CALL = [
    at("granitewell.net.console:Console._handle"),  # read
    at("granitewell.net.loop:Node._keep_ban"),  # in force
    at("os:rename", "before", 2),  # written, not yet named
    at("os:rename", "after", 2),
    at("granitewell.net.loop:Node._keep_ban", "after"),
    at("granitewell.net.console:response_bytes", "after"),  # written down, not yet said
]


@pytest.mark.parametrize("what", ["disable", "enable"])
@pytest.mark.parametrize("program", IN_A_CALL, ids=named)
def test_killed_in_an_operators_call_either_word_holds_and_no_half_one(
    site: Site, program: tuple[str, ...], what: str
) -> None:
    """The call got no yes: the next process may know of it or not. What had its yes before, holds."""
    first = site.start()
    site.ready(first)
    if what == "enable":
        assert called(site, first, "disable") == 200
    console = site.start(program=program)
    # its /ready is an answer, too, and must not be the one that it stops at
    assert said(site, b"ready with")
    assert called(site, console, what) == 0
    assert ended(site) == -KILL
    site.started[0].kill()
    site.started[0].wait(LIMIT_S)
    last = site.start()
    site.ready(last)
    assert booked(site, b"r1")[:12] in (b"HTTP/1.1 503", b"HTTP/1.1 200")
    for word, says in (("disable", b"HTTP/1.1 503"), ("enable", b"HTTP/1.1 200")):
        assert called(site, last, word) == 200
        site.until(lambda says=says: booked(site, os.urandom(4).hex().encode()).startswith(says))


WHILE_SERVING = [
    at("granitewell.net.http1:RequestParser.feed"),
    at("granitewell.net.downstream:Downstream._start_next_request"),
    at("granitewell.net.loop:Node.dispatch", "after", 5),
    at("granitewell.net.http1:request_bytes"),
    at("granitewell.net.http1:ResponseParser.feed", "before", 3),  # discovery's come first
    at("granitewell.net.http1:final_response_bytes"),
    at("granitewell.net.downstream:Downstream.write_response"),
    at("granitewell.net.downstream:Downstream.write_response", "after"),
    at("granitewell.net.downstream:Downstream.on_answer_written"),
]


@pytest.mark.parametrize("program", WHILE_SERVING, ids=named)
def test_killed_while_serving_nothing_runs_again(site: Site, program: tuple[str, ...]) -> None:
    """What a killed process had taken is lost, and its client hears that at once; no other sends it again."""
    site.start(program=program)
    got = booked(site, b"r1")
    assert got in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") and ended(site) == -KILL
    console = site.start()
    site.ready(console)
    assert booked(site, b"r2").startswith(b"HTTP/1.1 200")
    ran = site.agent.ran  # type: ignore[attr-defined]
    assert ran[b"r1"] <= 1 and ran[b"r2"] == 1
    assert ran[b"r1"] == 1 or got == b""


IN_AN_UPGRADE = [
    (0, at("granitewell.net.loop:Node.stop"), "old, asked to stop"),
    (0, at("granitewell.net.loop:Node.stop", "after"), "old, stopping"),
    (0, at("granitewell.net.downstream:Downstream._release", "after"), "old, off the listener"),
    (1, at("granitewell.net.loop:Node.dispatch", "after", 2), "new, about to be ready"),
    (1, at("granitewell.net.console:Console._handle"), "new, asked whether it is"),
    (1, at("granitewell.net.console:Console._handle", "after"), "new, before its yes is out"),
]


@pytest.mark.parametrize(("which", "program", "name"), IN_AN_UPGRADE, ids=[x[2] for x in IN_AN_UPGRADE])
def test_killed_in_an_upgrade_the_other_one_serves(
    site: Site, which: int, program: tuple[str, ...], name: str
) -> None:
    plain = ("-m", "granitewell")
    old = site.start(program=plain if which else program)
    site.until(lambda: asked(site, ASK % b"x").startswith(b"HTTP/1.1 200"))
    new = site.start(program=program if which else plain)
    if which:
        site.until(lambda: (ready(site, new), site.started[1].poll())[1] is not None)
        left = old
    else:
        site.ready(new)
        site.started[0].send_signal(signal.SIGTERM)
        assert site.started[0].wait(LIMIT_S) == -KILL
        left = new
    assert site.started[which].returncode == -KILL
    assert site.call(left, "/ready") == 200
    for k in range(5):
        assert booked(site, b"u%d" % k).startswith(b"HTTP/1.1 200")
    assert max(site.agent.ran.values()) == 1  # type: ignore[attr-defined]
    again = site.start()  # and the platform may try once more
    site.ready(again)


def ready(site: Site, console: Any) -> bool:
    try:
        return site.call(console, "/ready") == 200
    except (OSError, IndexError):
        return False


IN_A_RELOAD = [
    at("granitewell.__main__:reload", "after"),
    at("granitewell.net.loop:Node._apply_settings"),
    at("granitewell.net.loop:Node._apply_settings", "after"),
]


@pytest.mark.parametrize("program", IN_A_RELOAD, ids=named)
def test_killed_in_a_reload_the_next_one_has_the_file(site: Site, program: tuple[str, ...]) -> None:
    site.ready(site.start(program=program))
    path = Path(site.folder.name, "config0.json")
    path.write_text(path.read_text().replace('"taxi-lookup"', '"taxi-look"'))
    site.started[0].send_signal(signal.SIGHUP)
    assert ended(site) == -KILL
    site.ready(site.start())
    assert booked(site, b"r1").startswith(b"HTTP/1.1 200")


# --- Signals -----------------------------------------------------------------------------------------------
def test_a_reload_asked_for_while_it_starts_is_taken_up(site: Site) -> None:
    """SIGHUP was ignored until the loop ran, and the file had been read before.

    The node kept the old settings, without a line, until the next SIGHUP.
    """
    site.start(program=at("granitewell.__main__:load", "after", 1, signal.SIGHUP))
    assert said(site, b"discovery is now")


TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
EARLY_AND_LATE = [
    (at("granitewell.__main__:load", "before", 1, TERM), b""),
    (at("granitewell.__main__:load", "before", 1, INT), b""),
    (at("granitewell.__main__:Handover.enter", "after", 1, TERM), b""),
    (at("uvloop:new_event_loop", "after", 1, TERM), b""),
    (at("granitewell.net.loop:Node._check_handover", "after", 1, TERM, TERM, HUP), b"phase"),
    (at("granitewell.net.loop:Node.stop", "after", 1, TERM, HUP), b"phase"),
    (at("asyncio:Runner.close", "after", 1, TERM, INT, HUP), b"phase"),
]


@pytest.mark.parametrize(("program", "says"), EARLY_AND_LATE, ids=named)
def test_asked_to_stop_at_any_time_it_leaves_with_0(site: Site, program: Any, says: bytes) -> None:
    """SIGTERM and SIGHUP must not end the process by themselves, at any moment.

    They did before its handlers were there, and once the loop was closed, with another code than that of a
    stop that was asked for.
    """
    console = site.start(program=program)
    if "Runner.close" in program[2] or "Node.stop" in program[2]:
        site.ready(console)
        site.started[0].send_signal(signal.SIGTERM)
    _, error = site.started[0].communicate(timeout=LIMIT_S)
    assert site.started[0].returncode == 0, error
    assert says in error and b"Traceback" not in error


@pytest.mark.parametrize("number", [TERM, INT, HUP], ids=lambda number: number.name)
def test_a_signal_behind_the_interpreters_end_changes_no_exit_code(
    site: Site, number: signal.Signals
) -> None:
    """The default action ended the process, where a worker thread took what the main one blocks."""
    site.ready(site.start(program=("-c", CHILD_AT_ITS_END, str(int(number)))))
    site.started[0].send_signal(signal.SIGTERM)
    assert ended(site) == 0


# --- Shortages ---------------------------------------------------------------------------------------------
def full_pipe() -> tuple[int, int]:
    """A pipe that takes no more, and blocks who writes."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, bytes(4096))
    except BlockingIOError:
        os.set_blocking(writer, True)
    return reader, writer


def test_a_full_log_pipe_stops_neither_the_node_nor_its_end(site: Site) -> None:
    """Nobody reads what it writes, from its first line on."""
    reader, writer = full_pipe()
    console = site.start(stderr=writer)
    site.ready(console)
    assert called(site, console, "disable") == 200 and booked(site, b"r1").startswith(b"HTTP/1.1 503")
    site.started[0].send_signal(signal.SIGTERM)
    assert ended(site) == 0
    os.close(reader)
    os.close(writer)


ODD = """
import sys, warnings
from granitewell import __main__ as program
from granitewell.net.loop import Node
sweep = Node._sweep
class Odd:
    def __del__(self):
        raise RuntimeError("no such thing")
def odd(node):
    Odd()
    warnings.warn("no such thing", RuntimeWarning)
    sweep(node)
Node._sweep = odd
sys.exit(program.main())
"""


def test_what_python_itself_has_to_say_waits_for_nobody(site: Site) -> None:
    """A finaliser's exception, or a warning, went to a pipe that nobody read, and the node stood still."""
    reader, writer = full_pipe()
    console = site.start(program=("-W", "always", "-c", ODD), stderr=writer)
    site.until(lambda: ready(site, console))
    for k in range(30):  # for some sweeps
        assert booked(site, b"r%d" % k).startswith(b"HTTP/1.1 200")
        time.sleep(0.02)
    while select.select([reader], [], [], 0)[0]:
        os.read(reader, 65536)
    site.until(lambda: b"RuntimeError: no such thing" in os.read(reader, 65536))
    os.close(reader)
    os.close(writer)


def test_without_room_in_the_folder_a_ban_gets_no_yes_and_the_node_serves(site: Site) -> None:
    """The shortage is a limit on the size of the files that this child writes."""
    limit = "import resource, runpy; resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0)); "
    console = site.start(program=("-c", limit + "runpy.run_module('granitewell', run_name='__main__')"))
    site.ready(console)
    assert called(site, console, "disable") == 500
    assert site.call(console, "/ready") == 200
    site.started[0].send_signal(signal.SIGTERM)
    assert ended(site) == 0
