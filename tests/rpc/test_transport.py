"""Frames between nodes: calls, failures, garbage, peers that are gone."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from granitewell.model.errors import BadFrame, PeerUnreachable, RpcError, RpcTimeout
from granitewell.rpc.messages import DemandReport, GroupMessage, WatchReply, decode, encode
from granitewell.rpc.transport import HEAD, MAGIC, MOST_PAYLOAD, VERSION, Kind, Method, RpcPeers, RpcServer

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]  # what runs in service is uvloop


def play(handler: Any, use: Callable[[RpcPeers, str, RpcServer], Awaitable[Any]]) -> None:
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

    play(echo, use)


def test_what_a_handler_raises_reaches_the_caller_as_a_type() -> None:
    async def broken(payload: bytes, peer: str) -> bytes:
        raise ValueError("no such thing")

    async def use(peers: RpcPeers, address: str, server: RpcServer) -> None:
        with pytest.raises(RpcError, match="ValueError: no such thing"):
            await peers[address].call(Method.WATCH, b"", 5)
        with pytest.raises(RpcError, match="no method"):
            await peers[address].call(Method.DEMAND, b"", 5)

    play(broken, use)


def test_no_reply_in_time_is_a_timeout_and_a_dead_port_unreachable() -> None:
    async def never(payload: bytes, peer: str) -> bytes:
        await asyncio.Event().wait()
        return b""

    async def use(peers: RpcPeers, address: str, server: RpcServer) -> None:
        with pytest.raises(RpcTimeout):
            await peers[address].call(Method.WATCH, b"", 0.01)
        with pytest.raises(PeerUnreachable):
            await peers["127.0.0.1:1"].call(Method.WATCH, b"", 5)

    play(never, use)


def test_one_way_messages_arrive_though_the_connection_is_not_up_yet() -> None:
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
        HEAD.pack(MAGIC + 1, VERSION, Kind.CALL, Method.WATCH, 1, 0),
        HEAD.pack(MAGIC, VERSION + 1, Kind.CALL, Method.WATCH, 1, 0),
        HEAD.pack(MAGIC, VERSION, Kind.CALL, Method.WATCH, 1, MOST_PAYLOAD + 1),
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
def test_bytes_that_are_no_frame_end_the_connection_and_nothing_else(head: bytes) -> None:
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

    play(echo, use)


@given(st.binary(max_size=200))
def test_garbage_is_a_bad_frame_or_a_message(data: bytes) -> None:
    for kind in (WatchReply, DemandReport, GroupMessage):
        try:
            decode(kind, data)
        except BadFrame:
            continue


def test_counts_beyond_the_bytes_are_refused_before_the_library_reads_them() -> None:
    long_list = bytes([15, 0, 3, 12]) + (2**31 - 1).to_bytes(4, "big")
    long_text = bytes([11, 0, 1]) + (2**31 - 1).to_bytes(4, "big") + b"x"
    negative = bytes([11, 0, 1]) + b"\xff\xff\xff\xff" + b"\0"
    long_map = bytes([13, 0, 1, 2, 2]) + (2**31 - 1).to_bytes(4, "big")
    deep = bytes([12, 0, 1]) * 50 + b"\0" * 51
    for data in (long_list, long_text, negative, long_map, deep, b"", b"\x0c", b"\x63\0\1"):
        with pytest.raises(BadFrame):
            decode(WatchReply, data)


def test_a_message_cut_anywhere_is_refused() -> None:
    whole = encode(GroupMessage(group="g", sender_address="10.0.0.1:7660", payload=b"payload"))
    for length in range(len(whole)):
        with pytest.raises(BadFrame):
            decode(GroupMessage, whole[:length])


@given(st.text(max_size=20), st.binary(max_size=300))
def test_messages_come_back_as_they_went(group: str, payload: bytes) -> None:
    message = GroupMessage(group=group, sender_address="10.0.0.1:7660", payload=payload)
    back = decode(GroupMessage, encode(message))
    assert (back.group, back.payload) == (group, payload)
