"""Discovery's agents on loopback: one for each node, on what would be the node's own machine.

It owns what each agent holds and the calls that wait at it. What is told and when is `lab.model.discovery`'s
to say; an agent only keeps it and answers `GET /api/targets`, at once or when something newer comes. While
discovery is silent, so is the agent. What it holds counts as told to the node when it is written, or 6 s
after it came, should the node not ask. It must never decide what a node may know.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

import httptools

from granitewell.lab.emulator.types import Line, Tell
from granitewell.lab.loopback.clock import Agenda
from granitewell.lab.loopback.wire import Listener, Wire

PATH = "/api/targets"
MAX_WAIT_MS = 60_000
TOLD_US = 6_000_000  # after which what the agent holds counts as told
Render = Callable[[Line], dict[str, Any]]
Told = Callable[[str, str], None]  # endpoint, state


class _Call:
    """A call that waits: what it knows, and until when."""

    __slots__ = ("after", "close", "wire")

    def __init__(self, wire: Wire, after: int, close: bool) -> None:
        self.wire, self.after, self.close = wire, after, close


class Agent:
    """What one node can ask. `told(endpoint, state)` hears what has been written to it, once a change."""

    def __init__(self, agenda: Agenda, host: str, render: Render, told: Told) -> None:
        self._agenda, self._host, self._render, self._told = agenda, host, render, told
        self._loop = asyncio.get_running_loop()
        self._members: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}  # revision at which it last changed
        self._owed: dict[str, tuple[str, int]] = {}  # state and revision, not yet told
        self._since = self._revision = 0  # of the whole list, and of the newest change; 0: holds nothing
        self._calls: list[_Call] = []
        self._wires: list[Wire] = []
        self._silent = False
        self._deaf = False  # it has moved, and the node has not found it yet
        self._listener = self._listen(0)

    @property
    def address(self) -> tuple[str, int]:
        """Where the node is to ask."""
        return self._listener.address

    def held(self) -> dict[str, Any]:
        """The list in discovery's form, as the node last had it."""
        lines = [m for m in self._members.values() if m["phase"] != "gone"]
        return {"revision": self._revision, "complete": True, "members": lines}

    def take(self, tell: Tell) -> None:
        """Discovery has sent this; calls that wait for it are answered."""
        lines = {line.id: self._render(line) for line in tell.lines}
        if tell.whole:
            for lost in [m for m in self._members if m not in lines]:
                self._owe(lost, "gone", tell.revision)
            self._since = tell.revision
            self._members, self._changed = {}, {}
        for name, member in lines.items():
            self._members[name] = member
            self._changed[name] = tell.revision
            self._owe(name, str(member["phase"]), tell.revision)
        self._revision = tell.revision
        self._agenda.at(tell.at_us + TOLD_US, self._overdue, tell.revision)
        self._answer_all()

    def forget(self) -> None:
        """The node's process begins anew: the agent waits for the whole list."""
        self._members, self._changed, self._owed = {}, {}, {}
        self._since = self._revision = 0

    def silent(self, on: bool) -> None:
        """No call is answered until it is lifted."""
        self._silent = on
        self._answer_all()

    def move(self) -> None:
        """Another port; whoever asked at the old one is cut off."""
        self._deaf = True
        old, self._listener = self._listener, self._listen(0)
        old.close()
        self._drop_all()

    def close(self) -> None:
        """Nobody listens any more."""
        self._listener.close()
        self._drop_all()

    # --- What the node has been told ----------------------------------------------------------------------
    def _owe(self, name: str, state: str, revision: int) -> None:
        self._owed[name] = (state, revision)

    def _overdue(self, revision: int) -> None:
        """The node has had its time to ask. One that can't know where to ask is not held to it."""
        if not self._deaf:
            self._count(revision)

    def _count(self, revision: int) -> None:
        """What is no newer than this revision has been told now."""
        for name in [n for n, (_, r) in self._owed.items() if r <= revision]:
            self._told(name, self._owed.pop(name)[0])

    # --- Calls --------------------------------------------------------------------------------------------
    def _listen(self, port: int) -> Listener:
        listener = Listener(self._loop, self._host, port, self._connected)
        listener.set("open")
        return listener

    def _connected(self, sock: socket.socket) -> None:
        wire = Wire(self._loop, sock)
        asker = _Asker(self, wire)
        wire.on_bytes, wire.on_end = asker.feed, lambda reset: self._gone(wire)
        self._wires.append(wire)
        wire.start()

    def _gone(self, wire: Wire) -> None:
        wire.end()
        self._calls = [c for c in self._calls if c.wire is not wire]
        with contextlib.suppress(ValueError):
            self._wires.remove(wire)

    def _drop_all(self) -> None:
        for wire in list(self._wires):
            wire.end(reset=True)
            self._gone(wire)

    def ask(self, wire: Wire, target: str, close: bool) -> None:
        """A whole call has been read."""
        self._deaf = False
        path, _, query = target.partition("?")
        words = dict(parse_qsl(query))
        if path != PATH or not all(words.get(k, "0").isdigit() for k in ("after", "wait_ms")):
            return wire.write(_response(404 if path != PATH else 400, b"", close))
        call = _Call(wire, int(words.get("after", -1)), close)
        self._calls.append(call)
        wait_ms = min(int(words.get("wait_ms", 0)), MAX_WAIT_MS)
        if call.after >= 0:
            self._loop.call_later(wait_ms / 1000, self._due, call)  # also before the day has begun
        self._answer_all()
        return None

    def _due(self, call: _Call) -> None:
        """A watch has waited long enough: it is answered without news."""
        if call in self._calls and not self._silent:
            self._write(call)

    def _answer_all(self) -> None:
        for call in [c for c in self._calls if self._revision and not self._silent]:
            if call.after != self._revision:
                self._write(call)

    def _write(self, call: _Call) -> None:
        self._calls.remove(call)
        whole = not self._since <= call.after <= self._revision
        lines = [m for n, m in self._members.items() if whole or self._changed[n] > call.after]
        if whole:
            lines = [m for m in lines if m["phase"] != "gone"]
        body = json.dumps({"revision": self._revision, "complete": whole, "members": lines}).encode()
        call.wire.write(_response(200, body, call.close))
        self._count(self._revision)
        if call.close:
            call.wire.end()


class _Asker:
    """Reads calls on one connection."""

    def __init__(self, agent: Agent, wire: Wire) -> None:
        self._agent, self._wire = agent, wire
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""

    def feed(self, data: bytes) -> None:
        """Bytes from the node."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._wire.write(_response(400, b"", True))
            self._wire.end()

    # httptools calls these
    def on_message_begin(self) -> None:
        """A call's first byte."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Part of the target."""
        self._target += url

    def on_message_complete(self) -> None:
        """A call's last byte."""
        self._agent.ask(self._wire, self._target.decode("latin-1"), not self._parser.should_keep_alive())


def _response(status: int, body: bytes, close: bool) -> bytes:
    words = {200: "OK", 400: "Bad Request", 404: "Not Found"}
    end = "Connection: close\r\n" if close else ""
    head = f"HTTP/1.1 {status} {words[status]}\r\nContent-Type: application/json\r\n{end}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
