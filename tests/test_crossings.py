"""Two events that cross, each in the order that once led to a fault: see docs/crossings.md.

The stand-ins delay one event until the other has happened, so that each test has the same result every time.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from granitewell import core as c
from granitewell.net import loop as loop_module
from granitewell.net import pool as pool_module
from granitewell.net.discovery import FULL_LIST_INTERVAL_S, POLLED_TIMEOUTS, PUSHED_TIMEOUTS, WatchTimeouts
from granitewell.net.downstream import KEEPALIVE_TIMEOUT_US
from granitewell.net.loop import Node
from granitewell.net.sockets import is_readable, peer_closed
from tests.exchange_player import settings
from tests.fake_peers import (
    GET,
    OK,
    POST,
    FakeDiscovery,
    FakeEndpoint,
    add_endpoints,
    closes_cleanly,
    discovery_entry,
    receive_until,
    send,
)
from tests.in_process_node import connect_client, let_tasks_run, run_with_node, wait_until


def cancelling(allowed: bool) -> dict[str, Any]:
    """Return settings under which the balancer may, or may not, cancel calls in progress."""
    text = settings()
    text["allowed"]["cancel"] = allowed
    return text


# --- Clients that leave ---------------------------------------------------------------------------------
@pytest.mark.parametrize("cancel", [True, False])
def test_pipelined_requests_of_a_client_that_has_left_are_not_forwarded(tmp_path: Path, cancel: bool) -> None:
    """Guards against forwarding pipelined requests after their client has left.

    Reading pauses when many requests are pipelined, so the end of the connection is unread behind them, and
    each was forwarded in turn.
    """

    async def scenario(node: Node) -> None:
        endpoint, client = FakeEndpoint(), connect_client(node)
        add_endpoints(node, endpoint)
        (connection,) = node.clients.connections.values()
        await send(client, b"".join(GET % b"r%d" % k for k in range(9)))
        await wait_until(lambda: endpoint.requests and connection.resume_reading is not None)
        await send(client, GET % b"more")  # not read before an answer is written
        client.close()
        await wait_until(lambda: peer_closed(connection.sock))
        await endpoint.respond()
        await wait_until(lambda: not node.clients.connections)
        await let_tasks_run()
        assert endpoint.request_ids == [b"r0"] and not node._core.pending_count
        await endpoint.close()

    run_with_node(tmp_path, scenario, settings=cancelling(cancel))


def test_request_of_a_client_that_leaves_during_the_dial_is_not_forwarded(tmp_path: Path) -> None:
    """Guards against dropping only streamed requests where the settings forbid cancelling."""

    async def scenario(node: Node) -> None:
        endpoint, client = FakeEndpoint(), connect_client(node)
        add_endpoints(node, endpoint)
        real, gate, dialed = node.pool.dial, asyncio.Event(), asyncio.Event()

        async def late(endpoint: bytes, address: tuple[str, int]) -> object:
            conn = await real(endpoint, address)
            dialed.set()
            await gate.wait()
            return conn

        node.pool.dial = late  # type: ignore[method-assign, assignment]
        (connection,) = node.clients.connections.values()
        await send(client, POST % b"r0")
        await dialed.wait()
        client.close()
        await wait_until(lambda: peer_closed(connection.sock))
        gate.set()  # in the turn in which the end of the connection may be unread
        await wait_until(lambda: not node.clients.connections and not node._calls)
        await wait_until(lambda: node.pool.idle)
        assert endpoint.request_ids == []
        await endpoint.close()

    run_with_node(tmp_path, scenario, settings=cancelling(False))


def test_request_of_a_client_that_leaves_is_not_forwarded_on_an_idle_connection(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        endpoint, first = FakeEndpoint(), connect_client(node)
        add_endpoints(node, endpoint)
        await send(first, GET % b"r0")
        await wait_until(lambda: endpoint.requests)
        await endpoint.respond()
        assert (await receive_until(first, b"ok")).endswith(b"ok")
        client = connect_client(node)
        connection = list(node.clients.connections.values())[-1]
        real = node.pool.acquire

        def left(*args: object) -> object:  # the client stop_node between the decision and the first byte
            client.close()
            assert peer_closed(connection.sock)
            return real(*args)  # type: ignore[arg-type]

        node.pool.acquire = left  # type: ignore[method-assign, assignment]
        await send(client, POST % b"r1")
        await wait_until(lambda: connection.id not in node.clients.connections and not node._calls)
        assert endpoint.request_ids == [b"r0"]
        first.close()
        await endpoint.close()

    run_with_node(tmp_path, scenario)


# --- Discovery ------------------------------------------------------------------------------------------
def may_send_to(node: Node, endpoint: FakeEndpoint) -> bool | None:
    """Return whether the node may send to this endpoint; None if it does not know it."""
    known = node._core._endpoints.get(endpoint.name)
    return None if known is None else known.unavailable_since_us < 0


async def end_watch(node: Node, *others: FakeEndpoint | FakeDiscovery) -> None:
    """End the watch, then close the stand-ins."""
    assert node.discovery._task is not None
    node.discovery._task.cancel()
    await let_tasks_run()
    for other in others:
        await other.close()


def test_watch_with_empty_answers_is_replaced_by_a_full_list(tmp_path: Path) -> None:
    """A watch that stops returning changes raises no error; only a new full list shows them."""

    async def scenario(node: Node) -> None:
        endpoint, discovery = FakeEndpoint(), FakeDiscovery()
        discovery.set_endpoints((endpoint, "ready"))
        node.discovery.watch(discovery.address, PUSHED_TIMEOUTS)
        await wait_until(lambda: may_send_to(node, endpoint) and discovery.watched_revisions)
        discovery.empty_answers, calls = True, len(discovery.watched_revisions)
        await wait_until(
            lambda: len(discovery.watched_revisions) > calls + 1
        )  # the watch that was open has ended
        discovery.set_endpoints((endpoint, "draining"))
        await wait_until(lambda: may_send_to(node, endpoint) is False)
        await end_watch(node, discovery, endpoint)

    assert not [x for x in run_with_node(tmp_path, scenario) if x.startswith("discovery")]


def test_decreasing_revision_causes_a_request_for_the_full_list(tmp_path: Path) -> None:
    """A restarted agent has nothing newer than the known revision for a long time."""

    async def scenario(node: Node) -> None:
        endpoint, discovery = FakeEndpoint(), FakeDiscovery()
        discovery.set_endpoints((endpoint, "ready"), revision=900)
        node.discovery.watch(discovery.address, PUSHED_TIMEOUTS)
        await wait_until(lambda: may_send_to(node, endpoint) and discovery.watched_revisions)
        discovery.entries, discovery.revision = [discovery_entry(endpoint, "draining")], 2
        await wait_until(
            lambda: may_send_to(node, endpoint) is False and discovery.watched_revisions[-1] == 2
        )
        # the watch from 900 was answered with an empty 2: the next request was for the full list
        assert discovery.watched_revisions.count(2) == 1 and discovery.full_list_calls == 2
        await end_watch(node, discovery, endpoint)

    run_with_node(tmp_path, scenario)


def test_silent_watch_is_reopened_and_the_list_stays(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        endpoint, discovery = FakeEndpoint(), FakeDiscovery()
        discovery.set_endpoints((endpoint, "ready"))
        node.discovery.watch(discovery.address, PUSHED_TIMEOUTS)
        await wait_until(lambda: may_send_to(node, endpoint) and discovery.watched_revisions)
        discovery.unresponsive, calls = True, discovery.full_list_calls
        discovery.set_endpoints((endpoint, "draining"))
        await wait_until(lambda: discovery.full_list_calls >= calls + 2)  # requested, and requested again
        assert may_send_to(node, endpoint)
        discovery.unresponsive = False
        await wait_until(lambda: may_send_to(node, endpoint) is False)
        await end_watch(node, discovery, endpoint)

    assert any("stays as it is" in x for x in run_with_node(tmp_path, scenario))


@pytest.mark.parametrize("timeouts", [PUSHED_TIMEOUTS, POLLED_TIMEOUTS])
def test_timeouts_read_the_list_again_before_changes_count(timeouts: WatchTimeouts) -> None:
    """Calculated, not timed.

    Pushed lists count as soon as the agent answers again: the longest delay from there to the answer to the
    next request is below the grace of a drain. Polled or pushed, a silent watch, a lost request and a watch
    with empty answers are detected within the 6 s.
    """
    hung = timeouts.watch_ms / 1000 + timeouts.watch_grace_s
    if timeouts is PUSHED_TIMEOUTS:
        assert hung + timeouts.backoff_s[0] < 0.9
        assert timeouts.list_timeout_s + timeouts.backoff_s[1] < 0.9
    assert hung + timeouts.backoff_s[0] + timeouts.list_timeout_s < 6.0
    assert FULL_LIST_INTERVAL_S + timeouts.watch_ms / 1000 + timeouts.watch_grace_s < 6.6


def test_list_that_arrives_slowly_in_pieces_is_read(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        endpoint, discovery = FakeEndpoint(), FakeDiscovery()
        discovery.chunks = 12
        discovery.set_endpoints((endpoint, "ready"))
        node.discovery.watch(discovery.address, PUSHED_TIMEOUTS)
        await wait_until(lambda: may_send_to(node, endpoint))
        await end_watch(node, discovery, endpoint)

    run_with_node(tmp_path, scenario)


def start_node(node: Node, discovery: FakeDiscovery) -> asyncio.Task[None]:
    """Start the node as the program does, at an address of its own."""
    node._config = replace(node._config, discovery=discovery.address, listen=("127.0.0.1", 0))
    node.clients.listener = node.clients.accept_task = None
    return node._spawn(node.run())


async def stop_node(node: Node, running: asyncio.Task[None], *others: FakeEndpoint | FakeDiscovery) -> None:
    node._stopped.set()
    await running
    await end_watch(node, *others)


@pytest.mark.parametrize("mute", [False, True])
def test_start_prefers_discovery_to_the_list_in_the_configuration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, mute: bool
) -> None:
    """The list in the configuration is used only if the agent does not answer.

    It may be old, and what the agent knows counts from the start of the process.
    """

    async def scenario(node: Node) -> None:
        old, new, discovery = FakeEndpoint(b"s-0"), FakeEndpoint(b"s-1"), FakeDiscovery()
        discovery.set_endpoints((old, "draining"), (new, "ready"))
        discovery.unresponsive, discovery.answer_gate = mute, asyncio.Event()
        if not mute:  # discovery answers after a client's request, however slow the machine is
            monkeypatch.setattr(loop_module, "PUSHED_TIMEOUTS", replace(PUSHED_TIMEOUTS, list_timeout_s=60.0))
            monkeypatch.setattr(loop_module, "FIRST_LIST_TIMEOUT_S", 60.0)
        known = {"revision": 1, "complete": True, "members": [discovery_entry(old, "ready")]}
        node._config = replace(node._config, known=known)
        running = start_node(node, discovery)
        await wait_until(lambda: node.clients.listener is not None and discovery.full_list_calls)
        client = socket.create_connection(node.clients.listener.getsockname())  # type: ignore[union-attr]
        client.setblocking(False)
        await send(client, GET % b"r0")
        await let_tasks_run(3000)  # a node that accepts clients too soon would have forwarded it by now
        discovery.answer_gate.set()
        await wait_until(lambda: old.requests or new.requests)
        assert (old.request_ids, new.request_ids) == (([b"r0"], []) if mute else ([], [b"r0"]))
        discovery.unresponsive = False
        client.close()
        await stop_node(node, running, discovery, old, new)

    run_with_node(tmp_path, scenario)


# --- Connections to endpoints ---------------------------------------------------------------------------
def test_second_response_is_not_taken_for_that_of_a_later_request(tmp_path: Path) -> None:
    """Guards against lending a connection again at once after a response.

    A second response arrived some milliseconds after the first, and a later request was answered with it.
    """

    async def scenario(node: Node) -> None:
        endpoint, one, two = FakeEndpoint(), connect_client(node), connect_client(node)
        add_endpoints(node, endpoint)
        await send(one, POST % b"r0")
        await wait_until(lambda: endpoint.requests)
        late = endpoint.requests[0][1]
        await endpoint.respond(b"mine")
        assert (await receive_until(one, b"mine")).endswith(b"mine")
        await send(two, POST % b"r1")
        await wait_until(lambda: len(endpoint.requests) == 2)
        await endpoint.write(late, OK % (5, b"spare"))  # after the later request, wherever that was sent
        await let_tasks_run()
        await endpoint.respond(b"yours")
        assert (await receive_until(two, b"yours")).endswith(b"yours")
        one.close()
        two.close()
        await endpoint.close()

    # as if no time passed between the first response and the later request
    held = pool_module.REUSE_DELAY_US
    pool_module.REUSE_DELAY_US = 60_000_000
    try:
        run_with_node(tmp_path, scenario)
    finally:
        pool_module.REUSE_DELAY_US = held


def test_connection_is_reused_after_a_delay(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        endpoint, client = FakeEndpoint(), connect_client(node)
        add_endpoints(node, endpoint)
        for k in range(2):
            await send(client, GET % b"r%d" % k)
            await wait_until(lambda k=k: len(endpoint.requests) > k)  # type: ignore[misc]
            await endpoint.respond()
            await receive_until(client, b"ok")
            (conn,) = node.pool.idle[endpoint.name]
            assert node.pool.acquire(endpoint.name, conn.address) is None and node.pool.idle[
                endpoint.name
            ] == [conn]
            node.clock.now = lambda at=conn.reusable_from_us: at  # type: ignore[method-assign, misc]
        assert endpoint.requests[0][1] is endpoint.requests[1][1]
        client.close()
        await endpoint.close()

    run_with_node(tmp_path, scenario)


# --- Stop -----------------------------------------------------------------------------------------------
def stopping(node: Node) -> None:
    """Bring the node to 500 ms after the stop signal: no listener, requests are served to their end."""
    node.stop()
    node.clients.listener = None


def test_pipelined_requests_are_answered_after_a_stop(tmp_path: Path) -> None:
    """Guards against closing after the first answer, which lost complete requests that had been read."""

    async def scenario(node: Node) -> None:
        endpoint, client = FakeEndpoint(), connect_client(node)
        add_endpoints(node, endpoint)
        (connection,) = node.clients.connections.values()
        await send(client, b"".join(POST % b"r%d" % k for k in range(3)))
        await wait_until(lambda: endpoint.requests and len(connection.queue) == 2)
        stopping(node)
        heads = []
        for k in range(3):
            await wait_until(lambda k=k: len(endpoint.requests) > k)  # type: ignore[misc]
            await endpoint.respond(b"%d" % k)
            heads.append(await receive_until(client, b"%d" % k))
        assert [b"200 OK" in head for head in heads] == [True] * 3
        assert [b"Connection: close" in head for head in heads] == [False, False, True]
        assert await receive_until(client) == b""  # the end
        client.close()
        await endpoint.close()

    run_with_node(tmp_path, scenario)


def test_request_that_crosses_the_close_of_an_idle_connection_is_not_forwarded(tmp_path: Path) -> None:
    """A request arrives at the moment at which the node closes its idle connection.

    The client must see an end without an answer, not a reset, which could destroy the previous answer while
    that is on its way. As the client asks again elsewhere, nothing may be forwarded.
    """

    async def scenario(node: Node) -> None:
        endpoint, client = FakeEndpoint(), connect_client(node)
        add_endpoints(node, endpoint)
        (connection,) = node.clients.connections.values()
        await send(client, GET % b"r0")
        await wait_until(lambda: endpoint.requests)
        await endpoint.respond()
        # written, but not read by the client yet
        await wait_until(lambda: connection.answer_count and is_readable(client))
        node.clients.check_timeouts(connection, connection.last_activity_us + KEEPALIVE_TIMEOUT_US, False)
        await send(client, GET % b"crosses")
        assert (await receive_until(client, b"ok")).endswith(b"ok")
        assert await closes_cleanly(client)
        client.close()
        await wait_until(lambda: not node.clients.connections)
        assert endpoint.request_ids == [b"r0"]
        await endpoint.close()

    run_with_node(tmp_path, scenario)


def test_request_that_crosses_the_close_of_the_listener_is_not_forwarded(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        endpoint, client = FakeEndpoint(), connect_client(node)
        add_endpoints(node, endpoint)
        (connection,) = node.clients.connections.values()
        await send(client, GET % b"r0")
        await wait_until(lambda: endpoint.requests)
        await endpoint.respond()
        await wait_until(lambda: connection.answer_count and is_readable(client))
        node.clients.listener, listener = socket.create_server(("127.0.0.1", 0)), node.clients.listener
        node.clients.listener.setblocking(False)
        node.clients.stop_listening()
        await send(client, GET % b"crosses")
        assert (await receive_until(client, b"ok")).endswith(b"ok")
        assert await closes_cleanly(client)
        client.close()
        await wait_until(lambda: not node.clients.connections)
        assert endpoint.request_ids == [b"r0"]
        node.clients.listener = listener
        await endpoint.close()

    run_with_node(tmp_path, scenario)


def test_shutdown_waits_for_clients_that_read_slowly(tmp_path: Path) -> None:
    """Guards against ending 200 ms after the last answer was built, whether or not it was written."""

    async def scenario(node: Node) -> None:
        endpoint, discovery = FakeEndpoint(), FakeDiscovery()
        discovery.set_endpoints((endpoint, "ready"))
        running = start_node(node, discovery)
        await wait_until(lambda: node.phase is c.Phase.READY and node.clients.listener is not None)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(node.clients.listener.getsockname())  # type: ignore[union-attr]
        client.setblocking(False)
        await send(client, GET % b"r0")
        await wait_until(lambda: endpoint.requests)
        (connection,) = node.clients.connections.values()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        node.stop()
        body = bytes(60_000)
        await endpoint.respond(body)
        await wait_until(lambda: node._stopped.is_set())
        data = await receive_until(client, b"nothing such")
        assert len(data) - data.index(b"\r\n\r\n") - 4 == len(body)
        client.close()
        await running
        await end_watch(node, discovery, endpoint)

    run_with_node(tmp_path, scenario)


def test_request_during_shutdown_is_refused_not_reset(tmp_path: Path) -> None:
    """On a connection accepted last, whose request arrives when everything else is answered."""

    async def scenario(node: Node) -> None:
        endpoint, discovery = FakeEndpoint(), FakeDiscovery()
        discovery.set_endpoints((endpoint, "ready"))
        running = start_node(node, discovery)
        await wait_until(lambda: node.phase is c.Phase.READY and node.clients.listener is not None)
        client = socket.create_connection(node.clients.listener.getsockname())  # type: ignore[union-attr]
        client.setblocking(False)
        await wait_until(lambda: node.clients.connections)
        node.stop()
        await wait_until(lambda: node._stopped.is_set())
        await send(client, POST % b"late")
        assert (await receive_until(client)).startswith(b"HTTP/1.1 503")
        client.close()
        await running
        assert endpoint.request_ids == []
        await end_watch(node, discovery, endpoint)

    run_with_node(tmp_path, scenario)


def test_stop_during_the_start_is_not_lost(tmp_path: Path) -> None:
    """Guards against a start that goes on, counts as listening again, and ends only at the last deadline."""

    async def scenario(node: Node) -> None:
        endpoint, discovery = FakeEndpoint(), FakeDiscovery()
        discovery.set_endpoints((endpoint, "ready"))
        discovery.unresponsive = True
        running = start_node(node, discovery)
        await wait_until(lambda: discovery.full_list_calls)
        node.stop()
        await wait_until(lambda: node.phase is c.Phase.STOPPED)
        node.dispatch(c.Listening())
        assert not node._core._listening
        await running
        await end_watch(node, discovery, endpoint)

    said = run_with_node(tmp_path, scenario)
    assert "phase: all is answered: leaving" in said
