"""Runs a Node on a real event loop in the test's process, to test state that its tasks share."""

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

LOOP_TURNS = 200  # enough for anything in transit between two tasks to arrive
LIMIT_S = 20.0  # timeout of one wait; only a failing test waits that long


class ManualClock(Clock):
    """A clock for a node that moves only when the test advances it."""

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


def add_silent_endpoint(node: Node) -> socket.socket:
    """Add an endpoint that accepts requests and never answers, and make the node ready."""
    server = socket.create_server(("127.0.0.1", 0), backlog=64)
    endpoint = c.DiscoveredEndpoint(b"s-0", server.getsockname(), 0, 0, 0, State.READY, 1.0, 0)
    node.dispatch(c.EndpointListUpdate(View.FULL, (endpoint,)))
    node.dispatch(c.Listening())
    return server


async def let_tasks_run(count: int = LOOP_TURNS) -> None:
    """Yield to the other tasks for so many turns of the loop."""
    for _ in range(count):
        await asyncio.sleep(0)


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until the condition is true."""
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.002)


def connect_client(node: Node) -> socket.socket:
    """Return the client's end of a new connection that the node has accepted."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        node.clients.admit(server.accept()[0])
    client.setblocking(False)
    return client


def run_with_node(folder: Path, scenario: Callable[[Node], Awaitable[None]], **changes: Any) -> list[str]:
    """Run a scenario with a node and return the node's log lines."""
    config, log_lines = load(write(folder, **changes)), list[str]()

    async def run_scenario() -> None:
        core = Core(config.settings, Balancer(config.settings, 1), 99)
        node = Node(config, core, asyncio.get_running_loop())
        node.log_line = lambda topic, line: log_lines.append(f"{topic}: {line}")  # type: ignore[method-assign]
        node.pool.log_line = node.discovery.log_line = node.clients.log_line = node.log_line
        accept_task, listener = asyncio.create_task(asyncio.sleep(3600.0)), socket.socket()
        # without a listener the node ends each connection after its answer; nothing accepts from this one
        node.clients.listener, node.clients.accept_task = listener, accept_task
        try:
            await scenario(node)
        finally:
            listener.close()
            accept_task.cancel()
            for inbound in list(node.clients.connections.values()):
                node.clients.drop(inbound)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_scenario())
    return log_lines
