"""Two processes of one node on an inherited listener.

Covers the start of the next process, the stop of the old one, and bans that both must keep.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import uvloop

from granitewell import startup_pacing
from granitewell.balancing.balancer import Balancer
from granitewell.config import load
from granitewell.core import Core
from granitewell.handover import Handover
from granitewell.net.loop import Node
from tests.exchange_player import LIMIT_S, reserve_address, settings
from tests.test_config import write

ASK = b"GET /taxi-lookup/1 HTTP/1.1\r\nHost: n\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: 2500\r\n\r\n"


def answered(sock: socket.socket, rid: bytes) -> bytes:
    """Send a request on this connection and return the answer."""
    sock.settimeout(LIMIT_S)
    sock.sendall(ASK % rid)
    return sock.recv(4096)


class Agent:
    """Discovery and one endpoint, served by threads for any number of processes."""

    def __init__(self) -> None:
        self.discovery, self.endpoint = (socket.create_server(("127.0.0.1", 0)) for _ in range(2))
        self.asked: list[int] = []  # ports that requests came from
        for server, serve in ((self.discovery, self._list), (self.endpoint, self._serve)):
            threading.Thread(target=self._accept, args=(server, serve), daemon=True).start()

    def _accept(self, server: socket.socket, serve: Any) -> None:
        while True:
            try:
                sock, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    def _list(self, sock: socket.socket) -> None:
        host, port = self.endpoint.getsockname()
        entry = {"id": "s-a", "host_port": f"{host}:{port}", "locality": "ankara-1", "cell": 0,
                 "flavor": "standard", "phase": "ready", "size": 1.0, "up_since_ms": 0}  # fmt: skip
        while (head := self._head(sock)) is not None:
            watch = b"after=" in head
            if watch:
                time.sleep(0.3)
            body = json.dumps({"revision": 1, "complete": not watch, "members": [] if watch else [entry]})
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body.encode()))

    def _serve(self, sock: socket.socket) -> None:
        while self._head(sock) is not None:
            self.asked.append(sock.getpeername()[1])
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def _head(self, sock: socket.socket) -> bytes | None:
        data = b""
        try:
            while not data.endswith(b"\r\n\r\n"):
                more = sock.recv(4096)
                if not more:
                    return None
                data += more
        except OSError:
            return None
        return data


class Site:
    """The platform: the clients' listener, the private folder, and the processes that it starts."""

    def __init__(self) -> None:
        self.agent = Agent()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.folder = tempfile.TemporaryDirectory()
        self.started: list[subprocess.Popen[bytes]] = []
        self.desks: list[socket.socket] = []  # reserve the consoles' addresses

    def start(
        self, listen: socket.socket | None = None, fd: int | None = None, passed: socket.socket | None = None,
        program: tuple[str, ...] = ("-m", "granitewell"), stderr: int = subprocess.PIPE,
    ) -> tuple[str, int]:  # fmt: skip
        """Start another process of the node, or another program with its configuration.

        Returns the console's address.
        """
        passed = passed or self.listener
        self.desks.append(reserve_address())
        console: tuple[str, int] = self.desks[-1].getsockname()
        host, port = (listen or self.listener).getsockname()
        path = Path(self.folder.name, f"config{len(self.started)}.json")
        path.write_text(json.dumps({
            "name": "n0", "listen": f"{host}:{port}",
            "discovery": "%s:%d" % self.agent.discovery.getsockname(),
            "seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": {},
            "settings": settings(), "console": "%s:%d" % console,
        }))  # fmt: skip
        inherited = passed.fileno() if fd is None else fd
        env = os.environ | {"LB_CONFIG": str(path), "LB_INHERITED_FD": str(inherited),
                            "TMPDIR": self.folder.name}  # fmt: skip
        self.started.append(subprocess.Popen(
            [sys.executable, *program], env=env, pass_fds=(passed.fileno(),), stderr=stderr,
        ))  # fmt: skip
        return console

    def call(self, console: tuple[Any, ...], path: str, body: str = "") -> int:
        """Send a request to a console; return its status, 0 if nobody listens."""
        try:
            with socket.create_connection(console, LIMIT_S) as sock:
                verb = "POST" if body else "GET"
                sock.sendall(f"{verb} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
                return int(sock.recv(4096).split()[1])
        except ConnectionError:
            return 0

    def until(self, what: Any) -> None:
        end = time.monotonic() + LIMIT_S
        while not what():
            assert time.monotonic() < end, "it never came to that"
            time.sleep(0.02)

    def ready(self, console: tuple[Any, ...]) -> None:
        self.until(lambda: self.call(console, "/ready") == 200)

    def close(self) -> None:
        for process in self.started:
            process.kill()
            process.communicate()
        for sock in (self.listener, self.agent.discovery, self.agent.endpoint, *self.desks):
            sock.close()
        self.folder.cleanup()


@pytest.fixture
def site() -> Iterator[Site]:
    made = Site()
    try:
        yield made
    finally:
        made.close()


def test_next_version_takes_over_without_refusing_clients(site: Site) -> None:
    """Guards against an old process that owns the address, so that the next one exits with 1.

    Clients keep their connections: one to the old process is answered once more and told to close, never
    reset.
    """
    old = site.start()
    site.ready(old)
    held = [socket.create_connection(site.listener.getsockname(), LIMIT_S) for _ in range(2)]
    for k, sock in enumerate(held):
        assert answered(sock, b"a%d" % k).startswith(b"HTTP/1.1 200")
    new = site.start()
    site.ready(new)
    site.started[0].send_signal(signal.SIGTERM)
    site.until(lambda: site.call(old, "/ready") in (503, 0))
    for k, sock in enumerate(held):
        got = answered(sock, b"b%d" % k)
        assert got.startswith(b"HTTP/1.1 200") and b"Connection: close" in got
        sock.close()
    for k in range(20):  # each on a new connection
        with socket.create_connection(site.listener.getsockname(), LIMIT_S) as sock:
            assert answered(sock, b"c%d" % k).startswith(b"HTTP/1.1 200")
    assert site.started[0].wait(LIMIT_S) == 0
    assert site.call(new, "/ready") == 200 and site.started[1].poll() is None


def test_ban_applies_to_both_processes_and_outlives_the_old_one(site: Site) -> None:
    old = site.start()
    site.ready(old)
    assert site.call(old, "/dispatch-servers/disable", "s-a") == 200
    new = site.start()
    site.ready(new)
    site.started[0].kill()
    site.started[0].wait(LIMIT_S)
    with socket.create_connection(site.listener.getsockname(), LIMIT_S) as sock:
        assert answered(sock, b"d").startswith(b"HTTP/1.1 503")
    third = site.start()
    site.ready(third)
    # requested at one process, applied by the other
    assert site.call(third, "/dispatch-servers/enable", "s-a") == 200

    def served() -> bool:
        with socket.create_connection(site.listener.getsockname(), LIMIT_S) as sock:
            return answered(sock, b"e").startswith(b"HTTP/1.1 200")

    site.started[2].send_signal(signal.SIGTERM)
    assert site.started[2].wait(LIMIT_S) == 0
    site.until(served)


@pytest.mark.parametrize("what", ["no socket", "does not listen", "listens at"])
def test_inherited_descriptor_that_is_not_the_listener_is_an_error(site: Site, what: str) -> None:
    """Otherwise the node would accept nobody, or answer at another address."""
    other = socket.create_server(("127.0.0.1", 0))
    idle = socket.socket()
    try:
        if what == "no socket":
            site.start(fd=1)
        elif what == "does not listen":
            idle.bind(("127.0.0.1", 0))
            site.start(listen=site.listener, passed=idle)
        else:
            site.start(listen=other)
        _, error = site.started[-1].communicate(timeout=LIMIT_S)
        assert site.started[-1].returncode == 2
        assert b"LB_INHERITED_FD" in error and what.encode() in error and error.count(b"\n") == 1
    finally:
        other.close()
        idle.close()


class FakeHandover(Handover):
    """A handover folder with claims that the test sets; notes the claim of this process."""

    def __init__(self, others: list[int]) -> None:
        super().__init__("", "n0")
        self.beside, self.claimed = others, -1

    def other_claims(self) -> list[int]:
        return self.beside

    def claim(self, descriptors: int) -> None:
        self.claimed = descriptors


def test_two_processes_share_all_descriptors_within_one_limit(tmp_path: Path) -> None:
    """Guards against dividing the descriptors in halves.

    The next process then had room for 70 clients in a crowd and accepted no more, and 74 requests of one
    upgrade failed at the listener. Only the next process ever gains: what the old one leaves.
    """
    config = load(write(tmp_path, limits={"cores": 1.0, "memory_mb": 80, "sockets": 384}))
    seen = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        files = FakeHandover([]), FakeHandover([384])
        made = [Core(config.settings, Balancer(config.settings, 1), 9) for _ in files]
        old, new = (Node(config, core, loop, x) for core, x in zip(made, files, strict=True))
        new._is_older, old.clients.listener, old.pool.open_count = False, socket.socket(), 100
        old._share_descriptors([-1])  # the next process has made no claim yet
        new._share_descriptors([files[0].claimed])
        seen.append((old._own_descriptors, new._own_descriptors))
        old.clients.listener.close()
        old.clients.listener = None  # SIGTERM
        for held in (100, 60, 70, 0):
            old.pool.open_count = held
            old._share_descriptors([new._own_descriptors])
            new._share_descriptors([files[0].claimed])
            seen.append((old._own_descriptors, new._own_descriptors))
        new._share_descriptors([])
        seen.append((0, new._own_descriptors))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())
    assert all(sum(pair) == 384 for pair in seen), seen
    olds = [old for old, _ in seen]
    assert olds == sorted(olds, reverse=True) and olds[1] < olds[0]


def test_start_next_to_another_process_pauses_between_imports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against using up the CPU limit that both processes share.

    The old process was stopped for up to 130 ms. Under load its clients then had no connection left, and
    their requests were rejected unread.
    """
    worked, rested = [0.0], list[float]()
    monkeypatch.setattr(time, "process_time", lambda: worked[0])
    monkeypatch.setattr(time, "sleep", rested.append)
    finders = list(sys.meta_path)
    startup_pacing.begin()
    try:
        for part_s in (startup_pacing.CPU_SLICE_S / 2, startup_pacing.CPU_SLICE_S / 2, 0.0, 0.05, 60.0, 60.0):
            worked[0] += part_s
            with pytest.raises(ModuleNotFoundError):
                importlib.import_module("no_such_thing")
    finally:
        startup_pacing.end()
    assert rested[:2] == pytest.approx(
        [startup_pacing.CPU_SLICE_S * startup_pacing.PAUSE_RATIO, 0.05 * startup_pacing.PAUSE_RATIO]
    )
    # a slow machine is ready in time
    assert len(rested) == 3 and sum(rested) == pytest.approx(startup_pacing.MAX_TOTAL_PAUSE_S)
    assert sys.meta_path == finders


@pytest.mark.parametrize("fd", ["4", ""])
def test_only_a_start_with_an_inherited_listener_is_paced(tmp_path: Path, fd: str) -> None:
    watch = tmp_path / "sitecustomize.py"
    watch.write_text("import sys, time\ntime.sleep = lambda s: print('rested', file=sys.stderr)\n")
    env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    env |= {"PYTHONPATH": f"{tmp_path}:{os.getcwd()}", "LB_INHERITED_FD": fd}
    done = subprocess.run([sys.executable, "-m", "granitewell"], env=env, capture_output=True, text=True)
    assert done.returncode == 2 and ("rested" in done.stderr) is bool(fd)
