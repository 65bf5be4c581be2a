"""A Node on a real loop without a process of its own, for what is shared between its tasks."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from granitewell import core as c
from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import State, View
from granitewell.config import load
from granitewell.core import Core
from granitewell.net.clock import Clock
from granitewell.net.loop import Node
from tests.test_config import write

TURNS = 200  # of the loop, in which whatever is on its way between two tasks has arrived
LIMIT_S = 20.0  # for any one thing to happen; only a failing test waits so long


class StandingClock(Clock):
    """A node's clock that moves only when the test moves it, however long the machine takes for anything."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._now_us = super().read_now()

    def read_now(self) -> int:
        """Return the test's time in microseconds."""
        return self._now_us

    def now(self) -> int:
        """Return the test's time, which is that of each turn."""
        return self._now_us

    def advance(self, by_us: int) -> None:
        """Let time pass."""
        self._now_us += by_us


def silent(node: Node) -> socket.socket:
    """An endpoint that takes requests and never answers; the node knows of it and is ready."""
    server = socket.create_server(("127.0.0.1", 0), backlog=64)
    member = c.DiscoveredEndpoint(b"s-0", server.getsockname(), 0, 0, 0, State.READY, 1.0, 0)
    node.dispatch(c.EndpointListUpdate(View.FULL, (member,)))
    node.dispatch(c.Listening())
    return server


async def turns(count: int = TURNS) -> None:
    """Let the other tasks run."""
    for _ in range(count):
        await asyncio.sleep(0)


async def until(what: Callable[[], object]) -> None:
    """Wait until it has come to that."""
    async with asyncio.timeout(LIMIT_S):
        while not what():
            await asyncio.sleep(0.002)


def client_of(node: Node) -> socket.socket:
    """The far end of a connection that the node has just taken."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        node.clients.admit(server.accept()[0])
    client.setblocking(False)
    return client


def played(folder: Path, scenario: Callable[[Node], Awaitable[None]], **changes: Any) -> list[str]:
    """Run this with a node; what the node has said."""
    config, said = load(write(folder, **changes)), list[str]()

    async def whole() -> None:
        core = Core(config.settings, Balancer(config.settings, 1), 99)
        node = Node(config, core, asyncio.get_running_loop())
        node.log_line = lambda topic, line: said.append(f"{topic}: {line}")  # type: ignore[method-assign]
        node.pool.log_line = node.discovery.log_line = node.clients.log_line = node.log_line
        nobody, listener = asyncio.create_task(asyncio.sleep(3600.0)), socket.socket()
        # as while it serves: without one each answer ends its connection, and nobody is to accept from it
        node.clients.listener, node.clients.accept_task = listener, nobody
        try:
            await scenario(node)
        finally:
            listener.close()
            nobody.cancel()
            for inbound in list(node.clients.connections.values()):
                node.clients.drop(inbound)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(whole())
    return said
