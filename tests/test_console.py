"""The operators' HTTP console: its request parser, and requests to the real program on real sockets."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator

import pytest

from granitewell.net.console import (
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    MAX_HEADER_BYTES,
    ConsoleRequestParser,
    RejectedCommandError,
)
from tests.exchange_player import LIMIT_S, Player, reserve_address


def feed(parser: ConsoleRequestParser, raw: bytes, step: int) -> bool:
    """Feed a request in pieces of so many bytes; return whether it was complete at the end."""
    done = False
    for at in range(0, len(raw), step):
        done = parser.feed(raw[at : at + step])
    return done


@pytest.mark.parametrize("step", [1, 7, 4096])
@pytest.mark.parametrize(
    "body",
    [b"Content-Length: 7\r\n\r\n s-a7\r\n",
     b"Transfer-Encoding: chunked\r\n\r\n2;x=1\r\ns-\r\n2\r\na7\r\n0\r\n\r\n",
     b"expect: 100-Continue\r\nCONTENT-LENGTH: 4\r\n\r\ns-a7"],
)  # fmt: skip
def test_the_endpoint_id_is_read_in_any_framing(body: bytes, step: int) -> None:
    """Operators use various HTTP tools: the id may come in pieces, chunked, or surrounded by blanks."""
    parser = ConsoleRequestParser()
    assert feed(parser, b"POST /dispatch-servers/disable HTTP/1.1\r\nHost: n\r\n" + body, step)
    assert parser.endpoint() == b"s-a7" and parser.path == b"/dispatch-servers/disable"


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /status HTTP/1.1\r\n\r\n", 404),
        (b"POST /ready HTTP/1.1\r\n\r\n", 405),
        (b"GET /dispatch-servers/enable HTTP/1.1\r\n\r\n", 405),
        (b"POST /dispatch-servers/enable HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (b"\x16\x03\x01 no http\r\n\r\n", 400),
        (b"GET /ready HTTP/1.1\r\nX: " + b"x" * MAX_HEADER_BYTES, 431),
    ],
)
def test_invalid_requests_get_their_status_code(raw: bytes, status: int) -> None:
    with pytest.raises(RejectedCommandError) as error:
        feed(ConsoleRequestParser(), raw, 512)
    assert error.value.status == status and "\n" not in error.value.text


@pytest.mark.parametrize("body", [b"", b" \r\n", b"two ids", b"\xff", b"x" * 300])
def test_a_body_that_is_no_endpoint_id_is_rejected(body: bytes) -> None:
    parser = ConsoleRequestParser()
    head = b"POST /dispatch-servers/disable HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
    assert feed(parser, head + body, 4096)
    with pytest.raises(RejectedCommandError) as error:
        parser.endpoint()
    assert error.value.status == 400


class OperatorPlayer(Player):
    """A player with a console, and a private folder for state that outlives the process."""

    def __init__(self) -> None:
        self.console_socket = reserve_address()
        self.console = self.console_socket.getsockname()
        super().__init__()
        self.env = {"LB_CONSOLE": "%s:%d" % self.console, "TMPDIR": self.folder.name}

    def close(self) -> None:
        super().close()
        self.console_socket.close()

    def ask(self, method: str, path: str, body: str = "") -> tuple[int, str]:
        with socket.create_connection(self.console, LIMIT_S) as sock:
            head = f"{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: {len(body)}\r\n\r\n{body}"
            sock.sendall(head.encode())
            raw = b""
            while more := sock.recv(4096):
                raw += more
        return int(raw.split()[1]), raw.partition(b"\r\n\r\n")[2].decode().strip()


@pytest.fixture
def player() -> Iterator[OperatorPlayer]:
    player = OperatorPlayer()
    try:
        with contextlib.ExitStack() as undo:
            for key, value in player.env.items():
                undo.callback(os.environ.pop, key, None)
                os.environ[key] = value
            player.step_start("a=ready b=ready", b"")
        yield player
    finally:
        player.close()


def test_operator_commands(player: OperatorPlayer) -> None:
    assert player.ask("GET", "/ready") == (200, "ready")
    assert player.ask("POST", "/dispatch-servers/disable", "s-nobody") == (404, "s-nobody was never listed")
    assert player.ask("POST", "/dispatch-servers/enable", "s-b") == (200, "s-b is enabled")
    for _ in range(2):
        assert player.ask("POST", "/dispatch-servers/disable", " s-a\n") == (200, "s-a is disabled")
    assert player.ask("POST", "/dispatch-servers/disable", "s-b")[0] == 200
    with socket.create_connection(player.address, LIMIT_S) as client:  # all are banned: rejected at once
        client.sendall(b"GET /taxi-lookup/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 2500\r\n\r\n")
        assert client.recv(4096).startswith(b"HTTP/1.1 503")
    assert player.ask("POST", "/dispatch-servers/enable", "s-a") == (200, "s-a is enabled")


def test_idle_connections_do_not_block_new_ones(player: OperatorPlayer) -> None:
    """Three times the allowed connections send half a request: the oldest are closed for new ones."""
    idle_connections = []
    try:
        for _ in range(3 * MAX_CONNECTIONS):
            idle_connections.append(socket.create_connection(player.console, LIMIT_S))
            idle_connections[-1].sendall(b"GET /rea")
        assert player.ask("GET", "/ready") == (200, "ready")
    finally:
        for sock in idle_connections:
            sock.close()


def test_a_ban_that_cannot_be_stored_is_reported_as_an_error(player: OperatorPlayer) -> None:
    """After a success the caller would shut the endpoint down, and a process after an upgrade send to it."""
    (folder,) = (x.path for x in os.scandir(player.folder.name) if x.name.startswith("granitewell-"))
    for entry in os.scandir(folder):
        os.unlink(entry.path)
    os.rmdir(folder)
    with open(folder, "w"):
        pass  # a file takes the place of the folder
    status, text = player.ask("POST", "/dispatch-servers/disable", "s-a")
    assert status == 500 and "could not be written down" in text
