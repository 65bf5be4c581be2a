"""Stops the process at every step, and connections at every byte; then starts it again.

What was promised before is compared with what holds after. A child process is the program with one function
wrapped: before or after its n-th call it kills itself or gets a signal. The next process is always the plain
program, on the same listener and folder.
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

from tests.exchange_player import LIMIT_S
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
# A signal at the very end: the interpreter has restored all default handlers, and a worker thread that
# blocks no signal still runs. As the process exits with 0, libc calls kill(0, SIGNAL), which signals the
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
    """Return the arguments of a program that stops at this point."""
    return "-c", CHILD, target, when, str(count), ",".join(str(int(x)) for x in signals or (KILL,))


def case_name(program: object) -> str:
    """Return the name of a case in the list of tests."""
    return f"{program[2]}-{program[3]}" if isinstance(program, tuple) else ""


class Ledger(Agent):
    """An endpoint that counts how often it has received each complete request."""

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


def answer_to(site: Site, raw: bytes) -> bytes:
    """Send a request on a connection of its own; return the answer, empty if there is none."""
    with socket.create_connection(site.listener.getsockname(), LIMIT_S) as sock:
        sock.settimeout(LIMIT_S)
        try:
            sock.sendall(raw)
            return sock.recv(4096)
        except ConnectionError:
            return b""


def booking_answer(site: Site, rid: bytes) -> bytes:
    return answer_to(site, BOOK % rid)


def console_status(site: Site, console: Any, what: str) -> int:
    try:
        return site.call(console, f"/dispatch-servers/{what}", "s-a")
    except (OSError, IndexError):
        return 0


def has_logged(site: Site, text: bytes) -> bool:
    """Return whether the process that was started last logs such a line within the time limit."""
    process = site.started[-1]
    assert process.stderr is not None
    limit = threading.Timer(LIMIT_S, process.kill)
    limit.start()
    try:
        return any(text in line for line in iter(process.stderr.readline, b""))
    finally:
        limit.cancel()


def exit_code(site: Site) -> int:
    """Return the exit code of the process that was started last."""
    return site.started[-1].wait(LIMIT_S)


# --- Kills ----------------------------------------------------------------------------------------------
DURING_START = [
    at("granitewell.__main__:load", "after"),
    at("granitewell.__main__:Handover.register"),
    at("os:rename"),  # its file is locked, but not renamed yet
    at("os:rename", "after"),
    at("granitewell.net.loop:open_listener"),
    at("granitewell.net.loop:open_listener", "after"),
    at("granitewell.net.loop:Console", "after"),
    at("granitewell.net.loop:Node._check_handover", "after"),
    at("granitewell.net.loop:Discovery.watch", "after"),
]


@pytest.mark.parametrize("program", DURING_START, ids=case_name)
def test_bans_survive_a_kill_during_the_start(site: Site, program: tuple[str, ...]) -> None:
    console = site.start()
    site.ready(console)
    assert console_status(site, console, "disable") == 200
    site.start(program=program)  # the next version, next to it
    assert exit_code(site) == -KILL
    assert site.call(console, "/ready") == 200 and booking_answer(site, b"r1").startswith(b"HTTP/1.1 503")
    site.started[0].kill()
    site.started[0].wait(LIMIT_S)
    again = site.start()
    site.ready(again)
    assert booking_answer(site, b"r2").startswith(b"HTTP/1.1 503")  # the ban was confirmed
    assert console_status(site, again, "enable") == 200
    site.until(lambda: booking_answer(site, os.urandom(4).hex().encode()).startswith(b"HTTP/1.1 200"))
    site.until(lambda: len([x for x in os.scandir(next(folders(site))) if x.name.startswith("run-")
                            and not x.name.endswith(".new")]) == 1)  # fmt: skip


def folders(site: Site) -> Iterator[Path]:
    yield from Path(site.folder.name).glob("granitewell-*")


DURING_CONSOLE_REQUEST = [
    at("granitewell.net.console:Console._handle"),  # read
    at("granitewell.net.loop:Node._keep_ban"),  # in force
    at("os:rename", "before", 2),  # written, not renamed yet
    at("os:rename", "after", 2),
    at("granitewell.net.loop:Node._keep_ban", "after"),
    at("granitewell.net.console:response_bytes", "after"),  # stored, not confirmed yet
]


@pytest.mark.parametrize("what", ["disable", "enable"])
@pytest.mark.parametrize("program", DURING_CONSOLE_REQUEST, ids=case_name)
def test_ban_is_stored_completely_or_not_at_all_if_the_process_is_killed(
    site: Site, program: tuple[str, ...], what: str
) -> None:
    """The call was not confirmed, so the next process may know of it or not. Confirmed calls hold."""
    first = site.start()
    site.ready(first)
    if what == "enable":
        assert console_status(site, first, "disable") == 200
    console = site.start(program=program)
    # the answer to /ready must not be the one at which it stops
    assert has_logged(site, b"ready with")
    assert console_status(site, console, what) == 0
    assert exit_code(site) == -KILL
    site.started[0].kill()
    site.started[0].wait(LIMIT_S)
    last = site.start()
    site.ready(last)
    assert booking_answer(site, b"r1")[:12] in (b"HTTP/1.1 503", b"HTTP/1.1 200")
    for word, says in (("disable", b"HTTP/1.1 503"), ("enable", b"HTTP/1.1 200")):
        assert console_status(site, last, word) == 200
        site.until(lambda says=says: booking_answer(site, os.urandom(4).hex().encode()).startswith(says))


WHILE_SERVING = [
    at("granitewell.net.http1:RequestParser.feed"),
    at("granitewell.net.downstream:Downstream._start_next_request"),
    at("granitewell.net.loop:Node.dispatch", "after", 5),
    at("granitewell.net.http1:request_bytes"),
    at("granitewell.net.http1:ResponseParser.feed", "before", 3),  # discovery's responses come first
    at("granitewell.net.http1:final_response_bytes"),
    at("granitewell.net.downstream:Downstream.write_response"),
    at("granitewell.net.downstream:Downstream.write_response", "after"),
    at("granitewell.net.downstream:Downstream.on_answer_written"),
]


@pytest.mark.parametrize("program", WHILE_SERVING, ids=case_name)
def test_requests_of_a_killed_process_are_not_repeated(site: Site, program: tuple[str, ...]) -> None:
    """What a killed process had accepted is lost; its client notices at once, and no process repeats it."""
    site.start(program=program)
    got = booking_answer(site, b"r1")
    assert got in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") and exit_code(site) == -KILL
    console = site.start()
    site.ready(console)
    assert booking_answer(site, b"r2").startswith(b"HTTP/1.1 200")
    ran = site.agent.ran  # type: ignore[attr-defined]
    assert ran[b"r1"] <= 1 and ran[b"r2"] == 1
    assert ran[b"r1"] == 1 or got == b""


DURING_UPGRADE = [
    (0, at("granitewell.net.loop:Node.stop"), "old, asked to stop"),
    (0, at("granitewell.net.loop:Node.stop", "after"), "old, stopping"),
    (0, at("granitewell.net.downstream:Downstream._release", "after"), "old, off the listener"),
    (1, at("granitewell.net.loop:Node.dispatch", "after", 2), "new, about to be ready"),
    (1, at("granitewell.net.console:Console._handle"), "new, asked whether it is"),
    (1, at("granitewell.net.console:Console._handle", "after"), "new, before its yes is out"),
]


@pytest.mark.parametrize(("which", "program", "name"), DURING_UPGRADE, ids=[x[2] for x in DURING_UPGRADE])
def test_other_process_serves_if_one_is_killed_during_an_upgrade(
    site: Site, which: int, program: tuple[str, ...], name: str
) -> None:
    plain = ("-m", "granitewell")
    old = site.start(program=plain if which else program)
    site.until(lambda: answer_to(site, ASK % b"x").startswith(b"HTTP/1.1 200"))
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
        assert booking_answer(site, b"u%d" % k).startswith(b"HTTP/1.1 200")
    assert max(site.agent.ran.values()) == 1  # type: ignore[attr-defined]
    again = site.start()  # the platform may try again
    site.ready(again)


def ready(site: Site, console: Any) -> bool:
    try:
        return site.call(console, "/ready") == 200
    except (OSError, IndexError):
        return False


DURING_RELOAD = [
    at("granitewell.__main__:reload", "after"),
    at("granitewell.net.loop:Node._apply_settings"),
    at("granitewell.net.loop:Node._apply_settings", "after"),
]


@pytest.mark.parametrize("program", DURING_RELOAD, ids=case_name)
def test_next_process_uses_the_new_file_after_a_kill_during_a_reload(
    site: Site, program: tuple[str, ...]
) -> None:
    site.ready(site.start(program=program))
    path = Path(site.folder.name, "config0.json")
    path.write_text(path.read_text().replace('"taxi-lookup"', '"taxi-look"'))
    site.started[0].send_signal(signal.SIGHUP)
    assert exit_code(site) == -KILL
    site.ready(site.start())
    assert booking_answer(site, b"r1").startswith(b"HTTP/1.1 200")


# --- Signals --------------------------------------------------------------------------------------------
def test_reload_requested_during_the_start_is_applied(site: Site) -> None:
    """Guards against ignoring SIGHUP between reading the file and starting the loop.

    The node kept the old settings, without a line in the log, until the next SIGHUP.
    """
    site.start(program=at("granitewell.__main__:load", "after", 1, signal.SIGHUP))
    assert has_logged(site, b"discovery is now")


TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
STOP_TIMES = [
    (at("granitewell.__main__:load", "before", 1, TERM), b""),
    (at("granitewell.__main__:load", "before", 1, INT), b""),
    (at("granitewell.__main__:Handover.register", "after", 1, TERM), b""),
    (at("uvloop:new_event_loop", "after", 1, TERM), b""),
    (at("granitewell.net.loop:Node._check_handover", "after", 1, TERM, TERM, HUP), b"phase"),
    (at("granitewell.net.loop:Node.stop", "after", 1, TERM, HUP), b"phase"),
    (at("asyncio:Runner.close", "after", 1, TERM, INT, HUP), b"phase"),
]


@pytest.mark.parametrize(("program", "says"), STOP_TIMES, ids=case_name)
def test_stop_at_any_time_exits_with_0(site: Site, program: Any, says: bytes) -> None:
    """Guards against a default action of SIGTERM or SIGHUP that ends the process.

    Before the handlers were installed, and after the loop was closed, the process ended with an exit code
    other than that of a requested stop.
    """
    console = site.start(program=program)
    if "Runner.close" in program[2] or "Node.stop" in program[2]:
        site.ready(console)
        site.started[0].send_signal(signal.SIGTERM)
    _, error = site.started[0].communicate(timeout=LIMIT_S)
    assert site.started[0].returncode == 0, error
    assert says in error and b"Traceback" not in error


@pytest.mark.parametrize("number", [TERM, INT, HUP], ids=lambda number: number.name)
def test_signal_after_the_interpreters_shutdown_keeps_the_exit_code(
    site: Site, number: signal.Signals
) -> None:
    """Guards against the default action where a worker thread receives what the main thread blocks."""
    site.ready(site.start(program=("-c", CHILD_AT_ITS_END, str(int(number)))))
    site.started[0].send_signal(signal.SIGTERM)
    assert exit_code(site) == 0


# --- Shortages ------------------------------------------------------------------------------------------
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


def test_full_log_pipe_blocks_neither_requests_nor_the_exit(site: Site) -> None:
    """Nobody reads the log, from the first line on."""
    reader, writer = full_pipe()
    console = site.start(stderr=writer)
    site.ready(console)
    assert console_status(site, console, "disable") == 200 and booking_answer(site, b"r1").startswith(
        b"HTTP/1.1 503"
    )
    site.started[0].send_signal(signal.SIGTERM)
    assert exit_code(site) == 0
    os.close(reader)
    os.close(writer)


NOISY_PROGRAM = """
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


def test_warnings_and_unraisable_exceptions_do_not_block(site: Site) -> None:
    """Guards against Python's own output to a pipe that nobody reads, which blocked the node."""
    reader, writer = full_pipe()
    console = site.start(program=("-W", "always", "-c", NOISY_PROGRAM), stderr=writer)
    site.until(lambda: ready(site, console))
    for k in range(30):  # during several sweeps
        assert booking_answer(site, b"r%d" % k).startswith(b"HTTP/1.1 200")
        time.sleep(0.02)
    while select.select([reader], [], [], 0)[0]:
        os.read(reader, 65536)
    site.until(lambda: b"RuntimeError: no such thing" in os.read(reader, 65536))
    os.close(reader)
    os.close(writer)


def test_ban_is_not_confirmed_without_disk_space_and_the_node_serves(site: Site) -> None:
    """The shortage is a limit on the size of files that this child writes."""
    limit = "import resource, runpy; resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0)); "
    console = site.start(program=("-c", limit + "runpy.run_module('granitewell', run_name='__main__')"))
    site.ready(console)
    assert console_status(site, console, "disable") == 500
    assert site.call(console, "/ready") == 200
    site.started[0].send_signal(signal.SIGTERM)
    assert exit_code(site) == 0
