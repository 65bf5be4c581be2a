"""Two events that cross, each in the order that once went wrong: see docs/crossings.md. The stand-ins hold
one event back until the other has happened, so that each test has the same verdict every time."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from granitewell.net.loop import Node
from granitewell.net.sockets import has_left
from tests.desk import GET, POST, Desk, heard, sent, serves
from tests.shell import client_of, played, turns, until


# --- A client leaves ------------------------------------------------------------------------------------
@pytest.mark.parametrize("cancel", [True, False])
def test_what_a_client_wrote_ahead_goes_nowhere_once_it_has_left(tmp_path: Path, cancel: bool) -> None:
    """Reading stops where many requests are written ahead. The end of the connection stands behind them,
    unread, and each of them was sent on in turn for a client that had long left."""

    async def scenario(node: Node) -> None:
        desk, client = Desk(), client_of(node)
        serves(node, desk)
        (inbound,) = node.clients.held.values()
        await sent(client, b"".join(GET % b"r%d" % k for k in range(9)))
        await until(lambda: desk.asked and inbound.turn is not None)
        await sent(client, GET % b"more")  # never read before an answer is out
        client.close()
        await until(lambda: has_left(inbound.sock))
        await desk.answer()
        await until(lambda: not node.clients.held)
        await turns()
        assert desk.ids == [b"r0"] and not node._core.held
        await desk.close()

    from tests.play import settings

    said = settings()
    said["allowed"]["cancel"] = cancel
    played(tmp_path, scenario, settings=said)


def test_a_client_that_leaves_while_a_connection_comes_up_has_nothing_sent_on(tmp_path: Path) -> None:
    """Where the settings do not let the module cancel, only what streamed was given up with its client."""

    async def scenario(node: Node) -> None:
        desk, client = Desk(), client_of(node)
        serves(node, desk)
        real, gate, dialed = node.pool.dial, asyncio.Event(), asyncio.Event()

        async def late(endpoint: bytes, address: tuple[str, int]) -> object:
            conn = await real(endpoint, address)
            dialed.set()
            await gate.wait()
            return conn

        node.pool.dial = late  # type: ignore[method-assign, assignment]
        (inbound,) = node.clients.held.values()
        await sent(client, POST % b"r0")
        await dialed.wait()
        client.close()
        await until(lambda: has_left(inbound.sock))
        gate.set()  # in the very turn in which its end may lie unread
        await until(lambda: not node.clients.held and not node._calls)
        await until(lambda: node.pool.idle)
        assert desk.ids == []
        await desk.close()

    from tests.play import settings

    said = settings()
    said["allowed"]["cancel"] = False
    played(tmp_path, scenario, settings=said)


def test_nor_on_a_connection_that_stands_idle(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        desk, first = Desk(), client_of(node)
        serves(node, desk)
        await sent(first, GET % b"r0")
        await until(lambda: desk.asked)
        await desk.answer()
        assert (await heard(first, b"ok")).endswith(b"ok")
        client = client_of(node)
        inbound = list(node.clients.held.values())[-1]
        real = node.pool.take

        def left(*args: object) -> object:  # it leaves between the decision and the first byte
            client.close()
            assert has_left(inbound.sock)
            return real(*args)  # type: ignore[arg-type]

        node.pool.take = left  # type: ignore[method-assign, assignment]
        await sent(client, POST % b"r1")
        await until(lambda: inbound.id not in node.clients.held and not node._calls)
        assert desk.ids == [b"r0"]
        first.close()
        await desk.close()

    played(tmp_path, scenario)
