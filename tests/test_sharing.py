"""What the tasks of one node share: each test is one way in which that sharing went wrong, or could have."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from granitewell.net.loop import Node
from tests.shell import client_of, played, turns, until

LONG = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r%d\r\nRequest-Timeout-Ms: 2000\r\n"
        b"Content-Length: 900000\r\n\r\n")  # fmt: skip


async def pushed(client: socket.socket, data: bytes) -> None:
    """Write as much as the other side takes."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(0.5):
            await loop.sock_sendall(client, data)
    except TimeoutError:
        pass


def test_a_client_dropped_while_its_body_has_no_room_leaves_nothing_behind(tmp_path: Path) -> None:
    """Its reading task waited for room that nobody would make: the task, its buffers and up to 128 KiB of the
    body stayed for as long as the process."""

    async def scenario(node: Node) -> None:
        client = client_of(node)
        (inbound,) = node._inbounds.values()
        held = inbound.parser.feed(LONG % 1)  # as though another request were out: it waits in the queue
        inbound.queue.extend(held)
        inbound.busy = True
        await pushed(client, bytes(400_000))
        flow = inbound.parser.flow
        assert flow is not None
        await until(lambda: flow.unread > 65536)
        node._drop(inbound)
        await turns()
        assert not node._tasks and client.fileno() >= 0
        client.close()

    assert played(tmp_path, scenario) == []


SMALL = b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r%d\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s"


def test_requests_written_ahead_are_neither_lost_nor_held_by_the_megabyte(tmp_path: Path) -> None:
    """More than four closed the connection, and with it requests that had been taken; and each of the four
    might hold 64 KiB that no budget counted, 300 KiB for each client."""

    async def scenario(node: Node) -> None:
        client = client_of(node)
        (inbound,) = node._inbounds.values()
        await pushed(client, b"".join(SMALL % (k, 60_000, bytes(60_000)) for k in range(40)))
        await turns()
        assert inbound.id in node._inbounds
        assert 0 < node._budget.kept <= 2 * 65536
        answers = b""  # there is no endpoint, and each gets its 503 in its turn
        while answers.count(b"HTTP/1.1 503") < 3:
            answers += await asyncio.get_running_loop().sock_recv(client, 4096)
        client.close()
        await until(lambda: not node._inbounds)
        assert node._budget.kept == 0

    assert {line.partition(":")[0] for line in played(tmp_path, scenario)} <= {"inbound"}
