"""RPC between nodes: calls, failures, malformed frames and lost connections."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from granitewell.domain.errors import MalformedFrameError, PeerUnreachableError, RpcError, RpcTimeoutError
from granitewell.rpc.messages import DemandReport, GroupMessage, WatchReply, decode, encode
from granitewell.rpc.transport import (
    HEADER,
    MAGIC,
    MAX_PAYLOAD_BYTES,
    VERSION,
    Kind,
    Method,
    RpcClient,
    RpcPeers,
    RpcServer,
    _ClientProtocol,
)

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]  # production uses uvloop


def run_with_server(handler: Any, use: Callable[[RpcPeers, str, RpcServer], Awaitable[Any]]) -> None:
    async def run() -> Any:
        server = RpcServer({Method.WATCH: handler})
        await server.start("127.0.0.1", 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        peers = RpcPeers()
        try:
            return await use(peers, f"127.0.0.1:{port}", server)
        finally:
            peers.close()
            await server.stop()

    for make_loop in LOOPS:
        with asyncio.Runner(loop_factory=make_loop) as runner:
            runner.run(run())


async def echo(payload: bytes, peer: str) -> bytes:
    return payload + peer.encode()


def test_calls_share_a_connection_and_get_their_own_replies() -> None:
    async def use(peers: RpcPeers, address: str, server: RpcServer) -> None:
        replies = await asyncio.gather(*(peers[address].call(Method.WATCH, b"%d " % n, 5) for n in range(50)))
        assert replies == [b"%d 127.0.0.1" % n for n in range(50)]
        assert len(server.connections) == 1

    run_with_server(echo, use)


def test_handler_errors_reach_the_caller() -> None:
    async def broken(payload: bytes, peer: str) -> bytes:
        raise ValueError("no such thing")

    async def use(peers: RpcPeers, address: str, server: RpcServer) -> None:
        with pytest.raises(RpcError, match="ValueError: no such thing"):
            await peers[address].call(Method.WATCH, b"", 5)
        with pytest.raises(RpcError, match="no method"):
            await peers[address].call(Method.DEMAND, b"", 5)

    run_with_server(broken, use)


def test_missing_reply_is_a_timeout_and_closed_port_unreachable() -> None:
    async def never(payload: bytes, peer: str) -> bytes:
        await asyncio.Event().wait()
        return b""

    async def use(peers: RpcPeers, address: str, server: RpcServer) -> None:
        with pytest.raises(RpcTimeoutError):
            await peers[address].call(Method.WATCH, b"", 0.01)
        with pytest.raises(PeerUnreachableError):
            await peers["127.0.0.1:1"].call(Method.WATCH, b"", 5)

    run_with_server(never, use)


def test_one_way_messages_are_sent_after_connecting() -> None:
    async def run() -> None:
        heard: asyncio.Queue[bytes] = asyncio.Queue()

        async def hear(payload: bytes, peer: str) -> bytes:
            heard.put_nowait(payload)
            return b""

        server = RpcServer({Method.GROUP: hear})
        await server.start("127.0.0.1", 0)
        assert server._server is not None
        peers = RpcPeers()
        address = f"127.0.0.1:{server._server.sockets[0].getsockname()[1]}"
        for n in range(3):
            peers[address].send(Method.GROUP, b"%d" % n)
        async with asyncio.timeout(5):
            assert [await heard.get() for _ in range(3)] == [b"0", b"1", b"2"]
        peers.close()
        await server.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    "head",
    [
        HEADER.pack(MAGIC + 1, VERSION, Kind.CALL, Method.WATCH, 1, 0),
        HEADER.pack(MAGIC, VERSION + 1, Kind.CALL, Method.WATCH, 1, 0),
        HEADER.pack(MAGIC, VERSION, Kind.CALL, Method.WATCH, 1, MAX_PAYLOAD_BYTES + 1),
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
def test_malformed_frame_ends_only_its_connection(head: bytes) -> None:
    async def use(peers: RpcPeers, address: str, server: RpcServer) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head)
        async with asyncio.timeout(5):
            with pytest.raises(ConnectionResetError):
                if not await reader.read():
                    raise ConnectionResetError
        writer.close()
        assert await peers[address].call(Method.WATCH, b"x", 5) == b"x127.0.0.1"

    run_with_server(echo, use)


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected_or_decoded(data: bytes) -> None:
    for kind in (WatchReply, DemandReport, GroupMessage):
        try:
            decode(kind, data)
        except MalformedFrameError:
            continue


def test_false_counts_are_rejected_before_decoding() -> None:
    long_list = bytes([15, 0, 3, 12]) + (2**31 - 1).to_bytes(4, "big")
    long_text = bytes([11, 0, 1]) + (2**31 - 1).to_bytes(4, "big") + b"x"
    negative = bytes([11, 0, 1]) + b"\xff\xff\xff\xff" + b"\0"
    long_map = bytes([13, 0, 1, 2, 2]) + (2**31 - 1).to_bytes(4, "big")
    deep = bytes([12, 0, 1]) * 50 + b"\0" * 51
    for data in (long_list, long_text, negative, long_map, deep, b"", b"\x0c", b"\x63\0\1"):
        with pytest.raises(MalformedFrameError):
            decode(WatchReply, data)


def test_truncated_message_is_rejected() -> None:
    whole = encode(GroupMessage(group="g", sender_address="10.0.0.1:7660", payload=b"payload"))
    for length in range(len(whole)):
        with pytest.raises(MalformedFrameError):
            decode(GroupMessage, whole[:length])


@given(st.text(max_size=20), st.binary(max_size=300))
def test_messages_round_trip(group: str, payload: bytes) -> None:
    message = GroupMessage(group=group, sender_address="10.0.0.1:7660", payload=payload)
    back = decode(GroupMessage, encode(message))
    assert (back.group, back.payload) == (group, payload)


# Matching of replies to calls


def frame(kind: int, method: int, call: int, payload: bytes = b"") -> bytes:
    return HEADER.pack(MAGIC, VERSION, kind, method, call, len(payload)) + payload


class Pipe(asyncio.Transport):
    """A transport that discards all data."""

    def __init__(self, protocol: _ClientProtocol) -> None:
        super().__init__()
        self._protocol = protocol
        self.aborted = False

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True
        self._protocol.connection_lost(None)


REPLIES = {
    "first": frame(Kind.REPLY, Method.WATCH, 1, b"one"),
    "second": frame(Kind.FAILURE, Method.EDGES, 2, b"two"),
    "late": frame(Kind.REPLY, Method.WATCH, 99, b"none"),
    "first again": frame(Kind.REPLY, Method.WATCH, 1, b"one more"),
}


def receive_replies(data: bytes, cut: int) -> tuple[Any, Any, bool]:
    """Feed bytes in two parts; return the outcomes of two calls, and whether the connection was aborted."""

    async def run() -> tuple[Any, Any, bool]:
        protocol = _ClientProtocol()
        pipe = Pipe(protocol)
        protocol.connection_made(pipe)
        first, second = protocol.expect(1, Method.WATCH), protocol.expect(2, Method.EDGES)
        for part in (data[:cut], data[cut:]):
            if not pipe.aborted:
                protocol.data_received(part)
        return outcome(first), outcome(second), pipe.aborted

    return asyncio.run(run())


def outcome(future: asyncio.Future[bytes]) -> Any:
    if not future.done():
        return None
    return future.exception() or future.result()


def test_replies_match_their_calls_in_every_order_and_split() -> None:
    for names in itertools.permutations(REPLIES):
        data = b"".join(REPLIES[name] for name in names)
        expected = b"one" if names.index("first") < names.index("first again") else b"one more"
        for cut in range(0, len(data) + 1, 3):
            first, second, ended = receive_replies(data, cut)
            assert first == expected and not ended
            assert isinstance(second, RpcError) and "two" in str(second)


@pytest.mark.parametrize("length", range(len(REPLIES["first"])))
def test_truncated_reply_answers_no_call(length: int) -> None:
    assert receive_replies(REPLIES["first"][:length], 0)[:2] == (None, None)


@pytest.mark.parametrize(
    "foreign",
    [
        frame(Kind.REPLY, Method.EDGES, 1, b"of another method"),
        frame(Kind.FAILURE, Method.DEMAND, 2),
        frame(Kind.CALL, Method.WATCH, 1),
        frame(Kind.ONE_WAY, Method.WATCH, 1),
        frame(77, Method.WATCH, 1),
        frame(77, Method.WATCH, 99),
    ],
)
def test_unexpected_frame_ends_the_connection(foreign: bytes) -> None:
    first, second, ended = receive_replies(foreign + REPLIES["first"] + REPLIES["second"], 0)
    assert isinstance(first, PeerUnreachableError) and isinstance(second, PeerUnreachableError) and ended


@pytest.mark.parametrize("kind", [Kind.REPLY, Kind.FAILURE, 0, 77])
def test_server_ignores_frames_that_are_no_call(kind: int) -> None:
    ran: list[bytes] = []

    async def handler(payload: bytes, peer: str) -> bytes:
        ran.append(payload)
        return b""

    async def use(peers: RpcPeers, address: str, server: RpcServer) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(frame(kind, Method.WATCH, 1, b"not for you"))
        async with asyncio.timeout(5):
            with pytest.raises(ConnectionResetError):
                if not await reader.read():
                    raise ConnectionResetError
        writer.close()
        assert ran == []

    run_with_server(handler, use)


async def reconnect() -> None:
    """Lose the connection of a call, then receive its reply on the connection of the next call."""
    calls: asyncio.Queue[tuple[int, asyncio.StreamWriter]] = asyncio.Queue()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readexactly(HEADER.size + 1)
        calls.put_nowait((HEADER.unpack_from(head)[4], writer))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    client = RpcClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    async with asyncio.timeout(5):
        first = asyncio.create_task(client.call(Method.WATCH, b"a", 1))
        old_call, old = await calls.get()
        old.transport.abort()
        await asyncio.wait({first}, timeout=0.2)
        second = asyncio.create_task(client.call(Method.WATCH, b"b", 1))
        new_call, new = await calls.get()
        new.write(frame(Kind.REPLY, Method.WATCH, old_call, b"old"))
        new.write(frame(Kind.REPLY, Method.WATCH, new_call, b"new"))
        with pytest.raises(PeerUnreachableError):
            await first
        assert await second == b"new"
    client.close()
    server.close()


def test_reply_on_a_new_connection_does_not_match_an_old_call() -> None:
    asyncio.run(reconnect())


def test_planted_defect_matching_without_the_connection_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    of_all: dict[int, Any] = {}
    real = _ClientProtocol.__init__

    def init(self: _ClientProtocol) -> None:
        real(self)
        self._pending = of_all

    def connection_lost(self: _ClientProtocol, error: Exception | None) -> None:
        self.closed = True

    monkeypatch.setattr(_ClientProtocol, "__init__", init)
    monkeypatch.setattr(_ClientProtocol, "connection_lost", connection_lost)
    with pytest.raises(pytest.fail.Exception):
        asyncio.run(reconnect())


def test_planted_defect_matching_without_the_method_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    real = _ClientProtocol.frame

    def any_method(self: _ClientProtocol, kind: int, method: int, call: int, payload: bytes) -> None:
        pending = self._pending.get(call)
        real(self, kind, method if pending is None else pending.method, call, payload)

    monkeypatch.setattr(_ClientProtocol, "frame", any_method)
    first, _, ended = receive_replies(frame(Kind.REPLY, Method.EDGES, 1, b"of another method"), 0)
    assert first == b"of another method" and not ended


def test_client_closed_while_connecting_leaves_no_connection() -> None:
    async def use(peers: RpcPeers, address: str, server: RpcServer) -> None:
        client = RpcClient(address)
        call = asyncio.create_task(client.call(Method.WATCH, b"", 5))
        await asyncio.sleep(0)
        client.close()
        with pytest.raises(PeerUnreachableError):
            await call
        async with asyncio.timeout(5):
            while server.connections:
                await asyncio.sleep(0.001)
        with pytest.raises(PeerUnreachableError):
            await client.call(Method.WATCH, b"", 5)

    run_with_server(echo, use)
