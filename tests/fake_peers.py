"""A fake endpoint, a fake discovery agent and client helpers for tests of a Node in the same process.

They act only when a test tells them to, so that a test can delay one event until another has happened without
sleeping or asserting times.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from typing import Any

from granitewell import core as c
from granitewell.balancing.interface import State, View
from granitewell.net.loop import Node
from tests.in_process_node import let_tasks_run

GET = b"GET /taxi-lookup/1 HTTP/1.1\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: 5000\r\n\r\n"
POST = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: 5000\r\n"
        b"Content-Length: 2\r\n\r\nhi")  # fmt: skip
OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


class FakeEndpoint:
    """An endpoint that answers only when the test calls `respond` or `write`.

    Attributes:
        requests: The ids of the requests that it has received completely, each with its connection.
    """

    def __init__(self, name: bytes = b"s-0") -> None:
        self.name = name
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.requests: list[tuple[bytes, socket.socket]] = []
        self.conns: list[socket.socket] = []
        self._tasks = [asyncio.create_task(self._accept())]

    @property
    def request_ids(self) -> list[bytes]:
        return [request_id for request_id, _ in self.requests]

    def discovered_endpoint(self, state: State = State.READY) -> c.DiscoveredEndpoint:
        return c.DiscoveredEndpoint(self.name, self.listener.getsockname(), 0, 0, 0, state, 1.0, 0)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self.listener)
            self.conns.append(conn)
            self._tasks.append(asyncio.create_task(self._read_requests(conn)))

    async def _read_requests(self, conn: socket.socket) -> None:
        loop, data = asyncio.get_running_loop(), b""
        try:
            while received := await loop.sock_recv(conn, 65536):
                data += received
                head, end, body = data.partition(b"\r\n\r\n")
                size = 2 if b"Content-Length: 2" in head else 0
                if end and len(body) >= size:
                    data = body[size:]
                    self.requests.append((head.partition(b"Request-Id: ")[2].split()[0], conn))
        except OSError:
            pass

    async def write(self, conn: socket.socket, data: bytes) -> None:
        """Write bytes to the node on this connection."""
        await asyncio.get_running_loop().sock_sendall(conn, data)

    async def respond(self, body: bytes = b"ok", which: int = -1) -> None:
        """Answer the last request, or the one with this index, with a complete 200."""
        await self.write(self.requests[which][1], OK % (len(body), body))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in (self.listener, *self.conns):
            sock.close()


def add_endpoints(node: Node, *endpoints: FakeEndpoint) -> None:
    """Give the node these endpoints as its full list, and make it ready."""
    node.dispatch(c.EndpointListUpdate(View.FULL, tuple(d.discovered_endpoint() for d in endpoints)))
    node.dispatch(c.Listening())


async def send(client: socket.socket, data: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(client, data)


async def closes_cleanly(client: socket.socket) -> bool:
    """Whether the connection ends without further bytes and without a reset."""
    async with asyncio.timeout(20.0):
        try:
            over = await asyncio.get_running_loop().sock_recv(client, 4096) == b""
        except ConnectionError:
            return False
    await let_tasks_run()
    # after the end of the stream only SO_ERROR shows a reset
    return over and client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


async def receive_until(client: socket.socket, end: bytes = b"\r\n\r\n") -> bytes:
    """Receive up to and including these bytes, or to the end of the connection."""
    loop, data = asyncio.get_running_loop(), b""
    async with asyncio.timeout(20.0):
        while end not in data:
            try:
                received = await loop.sock_recv(client, 65536)
            except ConnectionError:
                break
            if not received:
                break
            data += received
    return data


class FakeDiscovery:
    """A discovery agent whose list is set by `set_endpoints`.

    Attributes:
        unresponsive: Accept calls and never answer.
        empty_answers: Answer each watch at once without any change.
        chunks: How many pieces an answer is sent in, with a pause between them.
        answer_gate: If set, answers wait for this event.
        full_list_calls: How many calls asked for the full list.
        watched_revisions: The revisions that watches have asked to start from.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.entries: list[dict[str, Any]] = []
        self.revision = 1
        self.unresponsive = self.empty_answers = False
        self.chunks = 1
        self.full_list_calls = 0
        self.watched_revisions: list[int] = []
        self.answer_gate: asyncio.Event | None = None
        self._changed = asyncio.Event()
        self._tasks = [asyncio.create_task(self._accept())]

    def set_endpoints(self, *endpoints: tuple[FakeEndpoint, str], revision: int = -1) -> None:
        """Replace the full list: each endpoint with its phase."""
        self.entries = [discovery_entry(d, phase) for d, phase in endpoints]
        self.revision = self.revision + 1 if revision < 0 else revision
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self.listener)
            self._tasks.append(asyncio.create_task(self._serve(conn)))

    async def _serve(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with conn, contextlib.suppress(OSError):
            while (head := await receive_until(conn)).endswith(b"\r\n\r\n"):
                watch_query = re.search(rb"after=(\d+)&wait_ms=(\d+)", head)
                self.watched_revisions += [int(watch_query[1])] if watch_query else []
                self.full_list_calls += not watch_query
                body = self._body(not watch_query)
                if watch_query and not self.empty_answers and int(watch_query[1]) >= self.revision:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(watch_query[2]) / 1000):
                            await self._changed.wait()
                            body = self._body(True)
                if self.unresponsive:
                    await asyncio.Event().wait()
                if self.answer_gate is not None:
                    await self.answer_gate.wait()
                text = OK % (len(body), body)
                size = -(-len(text) // self.chunks)
                for at in range(0, len(text), size):
                    await loop.sock_sendall(conn, text[at : at + size])
                    if self.chunks > 1:
                        await asyncio.sleep(0.1)

    def _body(self, is_full: bool) -> bytes:
        entries = self.entries if is_full else []
        return json.dumps(
            {"revision": self.revision, "complete": is_full, "members": entries}, indent=1
        ).encode()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.listener.close()


def discovery_entry(endpoint: FakeEndpoint, phase: str) -> dict[str, Any]:
    """Return an endpoint in the form of the discovery protocol."""
    return {"id": endpoint.name.decode(), "host_port": "%s:%d" % endpoint.listener.getsockname(), "cell": 0,
            "locality": "ankara-1", "flavor": "standard", "phase": phase, "size": 1.0,
            "up_since_ms": 0}  # fmt: skip
