r"""Plays a recorded exchange (tests/exchanges/*.txt) against the real program and compares what comes back.

A line is a step; what follows `sends: `, `gets: ` or `says: ` are its bytes, with `\n` for CRLF. In what is
expected `*` stands for anything up to the line's end; `{X*N}` is X repeated N times.
A step begins with its connection: `client`, or `endpoint a` for the first connection to endpoint a, `endpoint
a2` for the second; `client2` and so on are further connections. At the end no bytes, calls or connections may
have come that the exchange does not name.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from granitewell.net.pool import REUSE_DELAY_US

REUSE_WAIT_S = 2 * REUSE_DELAY_US / 1e6
LIMIT_S = 20.0  # timeout of one wait; only a failing exchange waits that long
DISCOVERY_CALL = re.compile(
    rb"GET /api/targets(?:\?after=(\d+)&wait_ms=(\d+))? HTTP/1\.1\r\n(?:[^\r\n]+\r\n)*\r\n"
)
FOLDER = Path(__file__).parent / "exchanges"


def settings() -> dict[str, Any]:
    return {
        "allowed": {"maxAttempts": 5, "parallelTries": True, "cancel": True, "probes": True,
                    "retryAfter": True, "maxRetryAfterMs": 1200.0, "connIdleMs": 10000.0,
                    "dialTimeoutMs": 250.0, "mostHeld": 20000},
        "balancers": 3,
        "classes": [
            {"name": "taxi-lookup", "effect": "pure", "aimMs": 500.0, "giveUpMs": 2500.0, "value": 2.0},
            {"name": "ride-assign", "effect": "side_effect", "aimMs": 600.0, "giveUpMs": 2000.0},
        ],
        "contract": {"drainGraceMs": 1000.0, "coldFrom": 0.12, "rampTimeMs": 23000.0, "fallMultiple": 3.0,
                     "fallMs": 1000.0},
        "discovery": "pushed",
        "models": ["standard", "older"],
        "stats": {"fields": ["failed_ps", "pending"], "how": "piggyback"},
        "tenants": [{"allowancePerS": 311.0, "name": "merkez-koop", "share": 0.8}],
        "zones": ["ankara-1", "istanbul-1"],
    }  # fmt: skip


def listen() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(LIMIT_S)
    return sock


def reserve_address() -> socket.socket:
    """Reserve an address for the program to listen on, for as long as the socket is open.

    The socket is bound, so that the kernel gives the port to no other process, and does not listen, so that
    the program, which sets SO_REUSEADDR too, can. Without it, a port found free could be taken by another
    test before the program uses it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class DiscoveryAgent:
    """A discovery agent at one address, with a thread for each connection.

    A call is answered at once if the list has changed; otherwise a watch is answered when its wait is over.
    """

    def __init__(self) -> None:
        self.server = listen()
        self.server.settimeout(None)
        self.address: tuple[str, int] = self.server.getsockname()
        self._lock = threading.Condition()
        self._socks: set[socket.socket] = set()
        self._entries: dict[
            str, tuple[int, dict[str, Any]]
        ] = {}  # by id: revision of the last change, and the entry
        self._revision = 0
        self._full_since = 0  # a watch from an older revision is answered with the full list
        self._next_answer, self._answered_call_count = (
            b"",
            0,
        )  # answer to the next call; number of calls when it was sent
        self._closed = False
        self.calls: list[int] = []  # in order of arrival: the revision watched from, -1 for the full list
        self.invalid_calls: list[bytes] = []  # requests that the protocol does not have
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        with self._lock:
            self._closed = True
            self._lock.notify_all()
            for sock in self._socks:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        # a pending accept would keep the listener open and accept further calls
        with contextlib.suppress(OSError):
            self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()

    def wait_until_closed(self) -> None:
        """Wait until the program has closed all its connections to this address.

        One call may still arrive; a watch that goes on makes several before its connection is renewed.
        """
        with self._lock:
            calls = len(self.calls)
            ended = self._lock.wait_for(lambda: not self._socks, LIMIT_S)
            assert ended and len(self.calls) <= calls + 1, "the watch at the old address goes on"

    def publish(self, complete: bool, endpoint_entries: list[dict[str, Any]]) -> None:
        """Publish a change, and wait until the program has read it and watches from its revision."""
        with self._lock:
            self._revision += 1
            if complete:
                self._entries, self._full_since = {}, self._revision
            self._entries |= {m["id"]: (self._revision, m) for m in endpoint_entries}
            self._lock.notify_all()
            mine = self._revision
            assert self._lock.wait_for(lambda: mine in self.calls, LIMIT_S), "nobody watches"
            assert self.calls[0] == -1 and not self.invalid_calls, (self.calls[:3], self.invalid_calls)

    def answer_next_call(self, body: bytes) -> None:
        """Answer the next call with these bytes, close its connection, and wait for another call."""
        with self._lock:
            self._next_answer = body
            self._lock.notify_all()
            assert self._lock.wait_for(lambda: not self._next_answer, LIMIT_S), "no call"
            at = self._answered_call_count
            assert self._lock.wait_for(lambda: len(self.calls) > at, LIMIT_S), "no call anew"
            assert self.calls[at] == -1 and not self.invalid_calls, "the next call is not for the whole list"

    def _accept(self) -> None:
        while not self._closed:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            with self._lock:
                self._socks.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            while head := self._head(sock):
                found = DISCOVERY_CALL.fullmatch(head)
                if found is None:
                    self.invalid_calls.append(head)
                    break
                after, wait_ms = (int(x) if x else -1 for x in found.groups())
                body, ends = self._answer(after, wait_ms)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                if ends:
                    break
        with self._lock:
            self._socks.discard(sock)
            self._lock.notify_all()

    def _answer(self, after: int, wait_ms: int) -> tuple[bytes, bool]:
        """Return the body for this call, and whether its connection is closed after it."""
        with self._lock:
            self.calls.append(after)
            self._lock.notify_all()
            self._lock.wait_for(lambda: self._closed or self._next_answer or self._revision > max(after, 0),
                                wait_ms / 1000 if after >= 0 else LIMIT_S)  # fmt: skip
            if self._next_answer:
                body, self._next_answer, self._answered_call_count = self._next_answer, b"", len(self.calls)
                self._lock.notify_all()
                return body, True
            whole = after < self._full_since
            endpoint_entries = [m for at, m in self._entries.values() if whole or at > after]
            text = {"revision": self._revision, "complete": whole, "members": endpoint_entries}
            return json.dumps(text).encode(), self._closed

    def _head(self, sock: socket.socket) -> bytes:
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            more = sock.recv(4096)
            if not more:
                return b""
            data += more
        return data


class Player:
    """Runs the program with its clients, endpoints and discovery agent."""

    def __init__(self, config: dict[str, Any] | None = None) -> None:
        self.config = config or {}
        self.servers: dict[str, socket.socket] = {}
        self.socks: dict[str, socket.socket] = {}
        self.received: dict[str, bytes] = {}
        self.agent = DiscoveryAgent()
        self.reserved_socket = reserve_address()
        self.address = self.reserved_socket.getsockname()
        self.folder = tempfile.TemporaryDirectory()
        self.program: subprocess.Popen[bytes] | None = None

    def close(self) -> None:
        if self.program is not None:
            self.program.kill()
            self.program.wait()
        self.agent.close()
        for sock in [*self.servers.values(), *self.socks.values(), self.reserved_socket]:
            sock.close()
        self.folder.cleanup()

    def endpoint_entries(self, phases: str) -> list[dict[str, Any]]:
        """Convert `a=ready b=draining` to discovery entries; a new endpoint gets a listener."""
        out = []
        for name, phase in (word.split("=") for word in phases.split()):
            if name not in self.servers:
                self.servers[name] = listen()
            host, port = self.servers[name].getsockname()
            out.append({"id": f"s-{name}", "host_port": f"{host}:{port}", "locality": "ankara-1",
                        "cell": 0, "flavor": "standard", "phase": phase, "size": 1.0, "up_since_ms": 0,
                        "new_key": 1})  # fmt: skip
        return out

    # --- steps: each takes the words after its name, and its bytes ---
    def step_start(self, words: str, _: bytes) -> None:
        """Start the program with these endpoints and wait until it is ready."""
        changes = json.loads(self.config.pop("settings", "{}"))
        text = settings()
        text["allowed"].update(changes)
        host, port = self.address
        agent = "%s:%d" % self.agent.address
        endpoint_entries = self.endpoint_entries(words)
        path = Path(self.folder.name, "config.json")
        path.write_text(json.dumps({
            "name": "n0", "listen": f"{host}:{port}", "discovery": agent, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128}, "known": {}, "settings": text,
        }))  # fmt: skip
        env = os.environ | {"LB_CONFIG": str(path), "LB_NAME": "n0", "LB_DISCOVERY": agent}
        self.program = subprocess.Popen([sys.executable, "-m", "granitewell"], env=env)
        self.agent.publish(True, endpoint_entries)
        self.until_ready()

    def until_ready(self) -> None:
        end = time.monotonic() + LIMIT_S
        while time.monotonic() < end:
            try:
                with socket.create_connection(self.address, LIMIT_S) as sock:
                    sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
                    if sock.recv(4096).startswith(b"HTTP/1.1 200"):
                        return
            except ConnectionError:
                pass
            time.sleep(0.01)
        raise AssertionError("the program never became ready")

    def step_discovery(self, words: str, body: bytes) -> None:
        """`tells` publishes a change, `lists` the full list; `says` answers a call with the given bytes."""
        verb, _, rest = words.partition(" ")
        if verb == "says":
            self.agent.answer_next_call(body)
        else:
            self.agent.publish(verb == "lists", self.endpoint_entries(rest))

    def step_client(self, words: str, body: bytes, name: str) -> None:
        if name not in self.socks:
            self.socks[name] = socket.create_connection(self.address, LIMIT_S)
        self.run_verb(name, words, body)

    def step_endpoint(self, words: str, body: bytes) -> None:
        name, _, verb = words.partition(" ")
        server = name.rstrip("0123456789")
        if verb == "refuses":
            self.servers[server].close()
            return
        if name not in self.socks:
            self.socks[name], _ = self.servers[server].accept()
        self.run_verb(name, verb, body)

    def run_verb(self, name: str, verb: str, body: bytes) -> None:
        sock = self.socks[name]
        sock.settimeout(LIMIT_S)
        if verb == "sends":
            sock.sendall(body)
        elif verb == "gets":
            self.expect_bytes(name, body)
            if name.startswith("client"):
                time.sleep(REUSE_WAIT_S)  # afterwards the pool may reuse the connection that served it
        elif verb == "is closed":
            try:
                rest = self.received.get(name, b"") + sock.recv(4096)
            except ConnectionError:
                rest = b""
            assert rest == b"", f"{name} got {rest!r} in place of the end"
        elif verb == "is reset":
            try:
                rest = sock.recv(4096)
            except ConnectionResetError:
                self.socks.pop(name).close()
                return
            raise AssertionError(f"{name} got {rest!r} in place of a reset")
        elif verb in ("closes", "resets"):
            if verb == "resets":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.socks.pop(name).close()
        else:
            raise AssertionError(f"no such verb: {verb}")

    def expect_bytes(self, name: str, body: bytes) -> None:
        """Read until the expected bytes have come; the assertion message shows any difference."""
        pattern = re.compile(re.escape(body).replace(rb"\*", rb"[^\r\n]*"))
        want = body.count(b"\n")
        data = self.received.pop(name, b"")
        while not (pattern.fullmatch(data) or (whole := pattern.match(data))):
            try:
                more = self.socks[name].recv(65536)
            except (TimeoutError, ConnectionError):
                more = b""
            assert more, f"{name}: expected {want} lines\n{body!r}\ngot\n{data!r}"
            data += more
        whole = pattern.match(data)
        assert whole is not None
        self.received[name] = data[whole.end() :]

    def step_signal(self, words: str, _: bytes) -> None:
        assert self.program is not None
        self.program.send_signal(signal.Signals[f"SIG{words}"])

    def step_reload(self, words: str, _: bytes) -> None:
        """Replace the discovery agent: write its address to the file and send SIGHUP.

        The program must ask the new agent for the full list and close its connections to the old one.
        `badly`: the file becomes invalid, and the program must keep the old agent.
        """
        assert self.program is not None
        path = Path(self.folder.name, "config.json")
        if words == "badly":
            path.write_text("{")
            self.program.send_signal(signal.SIGHUP)
            return
        old, self.agent = self.agent, DiscoveryAgent()
        text = json.loads(path.read_text())
        text["discovery"] = "%s:%d" % self.agent.address
        path.write_text(json.dumps(text))
        self.program.send_signal(signal.SIGHUP)
        self.agent.publish(True, self.endpoint_entries(words))
        old.wait_until_closed()
        old.close()

    def step_exit(self, words: str, _: bytes) -> None:
        assert self.program is not None
        assert self.program.wait(LIMIT_S) == int(words)

    def step_setting(self, words: str, _: bytes) -> None:
        self.config["settings"] = words

    def nothing_more(self) -> None:
        """Assert that nothing further has come, and that the program, if it runs, is still ready."""
        assert self.program is not None and not self.agent.invalid_calls, self.agent.invalid_calls
        for name, sock in self.socks.items():
            sock.setblocking(False)
            try:
                rest = self.received.get(name, b"") + sock.recv(65536)
            except (BlockingIOError, ConnectionError):
                rest = self.received.get(name, b"")
            assert rest == b"", f"{name} got more: {rest!r}"
        for name, server in self.servers.items():
            if server.fileno() >= 0:
                server.setblocking(False)
                try:
                    server.accept()
                except BlockingIOError:
                    continue
                raise AssertionError(f"endpoint {name} got a connection that nobody expects")
        if self.program.poll() is None:
            self.until_ready()


def play(path: Path) -> None:
    """Play one exchange from start to end."""
    player = Player()
    try:
        for words, body in parse(path.read_text()):
            verb, _, rest = words.partition(" ")
            try:
                if verb.startswith("client"):
                    player.step_client(rest, body, verb)
                else:
                    getattr(player, f"step_{verb}")(rest, body)
            except Exception as error:
                raise AssertionError(f"{path.name}: at {words!r}: {type(error).__name__}: {error}") from error
        player.nothing_more()
    finally:
        player.close()


def parse(text: str) -> list[tuple[str, bytes]]:
    """Parse an exchange into steps with their bytes; `#` begins a comment."""
    steps: list[tuple[str, bytes]] = []
    for line in text.splitlines():
        if line and not line.startswith("#"):
            found = re.match(r"(.*?(?:sends|gets|says)): (.*)", line)
            words, raw = found.groups() if found else (line, "")
            raw = re.sub(r"\{([^*}]+)\*(\d+)\}", lambda m: m[1] * int(m[2]), raw)
            steps.append((words, raw.replace("\\n", "\r\n").encode("latin-1")))
    return steps
