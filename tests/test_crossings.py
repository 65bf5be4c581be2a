"""Two events that cross, each in the order that once went wrong: see docs/crossings.md.

The stand-ins hold one event back until the other has happened, so that each test has the same verdict every
time.
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
from granitewell.net.discovery import ASKED, PUSHED, RENEW_S, Patience
from granitewell.net.downstream import IDLE_US
from granitewell.net.loop import Node
from granitewell.net.sockets import has_left, readable
from tests.desk import GET, OK, POST, Bureau, Desk, ends_well, heard, row, sent, serves
from tests.play import settings
from tests.shell import client_of, played, turns, until


def cancelling(allowed: bool) -> dict[str, Any]:
    """Settings under which the module may cancel what is out, or not."""
    text = settings()
    text["allowed"]["cancel"] = allowed
    return text


# --- A client leaves ------------------------------------------------------------------------------------
@pytest.mark.parametrize("cancel", [True, False])
def test_what_a_client_wrote_ahead_goes_nowhere_once_it_has_left(tmp_path: Path, cancel: bool) -> None:
    """Reading stops where many requests are written ahead.

    The end of the connection stands behind them, unread, and each of them was sent on in turn for a client
    that had long left.
    """

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
        assert desk.ids == [b"r0"] and not node._core.pending_count
        await desk.close()

    played(tmp_path, scenario, settings=cancelling(cancel))


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

    played(tmp_path, scenario, settings=cancelling(False))


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


# --- Discovery ------------------------------------------------------------------------------------------
def sendable(node: Node, desk: Desk) -> bool | None:
    """Does the node hold this endpoint for one to send to? None: it does not know it."""
    endpoint = node._core._endpoints.get(desk.name)
    return None if endpoint is None else endpoint.unavailable_since_us < 0


async def ended(node: Node, *others: Desk | Bureau) -> None:
    """End the watch, then what it speaks to."""
    assert node.discovery._task is not None
    node.discovery._task.cancel()
    await turns()
    for other in others:
        await other.close()


def test_a_watch_that_goes_on_answering_with_nothing_in_it_is_not_believed_for_ever(tmp_path: Path) -> None:
    """A list that stops returning entries without an error: only the whole list, asked for anew, tells."""

    async def scenario(node: Node) -> None:
        desk, bureau = Desk(), Bureau()
        bureau.lists((desk, "ready"))
        node.discovery.at(bureau.address, PUSHED)
        await until(lambda: sendable(node, desk) and bureau.watches)
        bureau.empty, calls = True, len(bureau.watches)
        await until(lambda: len(bureau.watches) > calls + 1)  # the watch that was open is over
        bureau.lists((desk, "draining"))
        await until(lambda: sendable(node, desk) is False)
        await ended(node, bureau, desk)

    assert not [x for x in played(tmp_path, scenario) if x.startswith("discovery")]


def test_revisions_that_run_backwards_are_asked_about_from_the_start(tmp_path: Path) -> None:
    """An agent that begins anew has nothing newer than our revision for a long time."""

    async def scenario(node: Node) -> None:
        desk, bureau = Desk(), Bureau()
        bureau.lists((desk, "ready"), revision=900)
        node.discovery.at(bureau.address, PUSHED)
        await until(lambda: sendable(node, desk) and bureau.watches)
        bureau.members, bureau.revision = [row(desk, "draining")], 2
        await until(lambda: sendable(node, desk) is False and bureau.watches[-1] == 2)
        # the answer to a watch from 900 was 2, with nothing in it: the next call was for the whole list
        assert bureau.watches.count(2) == 1 and bureau.wholes == 2
        await ended(node, bureau, desk)

    played(tmp_path, scenario)


def test_a_watch_that_falls_silent_is_opened_anew_and_the_list_stands_meanwhile(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        desk, bureau = Desk(), Bureau()
        bureau.lists((desk, "ready"))
        node.discovery.at(bureau.address, PUSHED)
        await until(lambda: sendable(node, desk) and bureau.watches)
        bureau.mute, calls = True, bureau.wholes
        bureau.lists((desk, "draining"))
        await until(lambda: bureau.wholes >= calls + 2)  # asked, and asked again
        assert sendable(node, desk)
        bureau.mute = False
        await until(lambda: sendable(node, desk) is False)
        await ended(node, bureau, desk)

    assert any("stays as it is" in x for x in played(tmp_path, scenario))


@pytest.mark.parametrize("patience", [PUSHED, ASKED])
def test_from_any_silence_on_the_list_is_there_before_the_news_count(patience: Patience) -> None:
    """Reckoned, not timed.

    Pushed lists count at once where the agent answers again: the longest way from there to the next call's
    answer is under the grace of a drain. Asked or pushed, a silent watch is found out, and a call lost,
    within the 6 s; so is a watch that answers with nothing in it.
    """
    hung = patience.watch_ms / 1000 + patience.spare_s
    if patience is PUSHED:
        assert hung + patience.backoff_s[0] < 0.9
        assert patience.list_s + patience.backoff_s[1] < 0.9
    assert hung + patience.backoff_s[0] + patience.list_s < 6.0
    assert RENEW_S + patience.watch_ms / 1000 + patience.spare_s < 6.6


def test_a_list_that_comes_slowly_and_in_pieces_is_read(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        desk, bureau = Desk(), Bureau()
        bureau.piecemeal = 12
        bureau.lists((desk, "ready"))
        node.discovery.at(bureau.address, PUSHED)
        await until(lambda: sendable(node, desk))
        await ended(node, bureau, desk)

    played(tmp_path, scenario)


def begins(node: Node, bureau: Bureau) -> asyncio.Task[None]:
    """The node as the program runs it, at an address of its own."""
    node._config = replace(node._config, discovery=bureau.address, listen=("127.0.0.1", 0))
    node.clients.listener = node.clients.accepting = None
    return node._spawn(node.run())


async def leaves(node: Node, running: asyncio.Task[None], *others: Desk | Bureau) -> None:
    node._left.set()
    await running
    await ended(node, *others)


@pytest.mark.parametrize("mute", [False, True])
def test_a_start_serves_by_what_discovery_has_not_by_the_list_of_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, mute: bool
) -> None:
    """The list in the configuration is for where the agent does not answer.

    It may be old, and what the agent has counts from the process's first moment.
    """

    async def scenario(node: Node) -> None:
        old, new, bureau = Desk(b"s-0"), Desk(b"s-1"), Bureau()
        bureau.lists((old, "draining"), (new, "ready"))
        bureau.mute, bureau.hold = mute, asyncio.Event()
        if not mute:  # its word comes after a client's request, however slow this machine is
            monkeypatch.setattr(loop_module, "PUSHED", replace(PUSHED, list_s=60.0))
            monkeypatch.setattr(loop_module, "FIRST_S", 60.0)
        known = {"revision": 1, "complete": True, "members": [row(old, "ready")]}
        node._config = replace(node._config, known=known)
        running = begins(node, bureau)
        await until(lambda: node.clients.listener is not None and bureau.wholes)
        client = socket.create_connection(node.clients.listener.getsockname())  # type: ignore[union-attr]
        client.setblocking(False)
        await sent(client, GET % b"r0")
        await turns(3000)  # in which a node that takes clients too soon has sent it on
        bureau.hold.set()
        await until(lambda: old.asked or new.asked)
        assert (old.ids, new.ids) == (([b"r0"], []) if mute else ([], [b"r0"]))
        bureau.mute = False
        client.close()
        await leaves(node, running, bureau, old, new)

    played(tmp_path, scenario)


# --- Connections to endpoints -------------------------------------------------------------------------------
def test_a_second_answer_is_never_the_answer_to_a_later_request(tmp_path: Path) -> None:
    """It comes some milliseconds behind the first, on a connection that was lent again at once.

    The later request was served with what belongs to the earlier one.
    """

    async def scenario(node: Node) -> None:
        desk, one, two = Desk(), client_of(node), client_of(node)
        serves(node, desk)
        await sent(one, POST % b"r0")
        await until(lambda: desk.asked)
        late = desk.asked[0][1]
        await desk.answer(b"mine")
        assert (await heard(one, b"mine")).endswith(b"mine")
        await sent(two, POST % b"r1")
        await until(lambda: len(desk.asked) == 2)
        await desk.say(late, OK % (5, b"spare"))  # behind the later request, wherever that went
        await turns()
        await desk.answer(b"yours")
        assert (await heard(two, b"yours")).endswith(b"yours")
        one.close()
        two.close()
        await desk.close()

    # as though no time passed between the first answer and the later request
    held = pool_module.REST_US
    pool_module.REST_US = 60_000_000
    try:
        played(tmp_path, scenario)
    finally:
        pool_module.REST_US = held


def test_a_connection_rests_after_an_answer_and_serves_again_then(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        desk, client = Desk(), client_of(node)
        serves(node, desk)
        for k in range(2):
            await sent(client, GET % b"r%d" % k)
            await until(lambda k=k: len(desk.asked) > k)  # type: ignore[misc]
            await desk.answer()
            await heard(client, b"ok")
            (conn,) = node.pool.idle[desk.name]
            assert node.pool.take(desk.name, conn.address) is None and node.pool.idle[desk.name] == [conn]
            node.clock.now = lambda at=conn.fit_us: at  # type: ignore[method-assign, misc]
        assert desk.asked[0][1] is desk.asked[1][1]
        client.close()
        await desk.close()

    played(tmp_path, scenario)


# --- The stop -----------------------------------------------------------------------------------------------
def stopping(node: Node) -> None:
    """As 500 ms after the stop signal: the listener has gone, what is held is served to its end."""
    node.stop()
    node.clients.listener = None


def test_requests_written_ahead_are_answered_though_the_stop_comes_between(tmp_path: Path) -> None:
    """The answer after the stop ended the connection, and with it whole requests that had been read."""

    async def scenario(node: Node) -> None:
        desk, client = Desk(), client_of(node)
        serves(node, desk)
        (inbound,) = node.clients.held.values()
        await sent(client, b"".join(POST % b"r%d" % k for k in range(3)))
        await until(lambda: desk.asked and len(inbound.queue) == 2)
        stopping(node)
        heads = []
        for k in range(3):
            await until(lambda k=k: len(desk.asked) > k)  # type: ignore[misc]
            await desk.answer(b"%d" % k)
            heads.append(await heard(client, b"%d" % k))
        assert [b"200 OK" in head for head in heads] == [True] * 3
        assert [b"Connection: close" in head for head in heads] == [False, False, True]
        assert await heard(client) == b""  # the end
        client.close()
        await desk.close()

    played(tmp_path, scenario)


def test_what_crosses_the_end_of_an_idle_connection_is_not_sent_on(tmp_path: Path) -> None:
    """A client's request arrives in the moment in which the node ends its idle connection.

    The client hears an end without an answer, never a reset: a reset would take the answer before it away,
    where that is still under way; and it asks elsewhere, so that nothing may go on from here.
    """

    async def scenario(node: Node) -> None:
        desk, client = Desk(), client_of(node)
        serves(node, desk)
        (inbound,) = node.clients.held.values()
        await sent(client, GET % b"r0")
        await until(lambda: desk.asked)
        await desk.answer()
        await until(lambda: inbound.answered and readable(client))  # written, and not read by its client yet
        node.clients.tend(inbound, inbound.at_us + IDLE_US, False)
        await sent(client, GET % b"crosses")
        assert (await heard(client, b"ok")).endswith(b"ok")
        assert await ends_well(client)
        client.close()
        await until(lambda: not node.clients.held)
        assert desk.ids == [b"r0"]
        await desk.close()

    played(tmp_path, scenario)


def test_the_same_when_the_listener_closes(tmp_path: Path) -> None:
    async def scenario(node: Node) -> None:
        desk, client = Desk(), client_of(node)
        serves(node, desk)
        (inbound,) = node.clients.held.values()
        await sent(client, GET % b"r0")
        await until(lambda: desk.asked)
        await desk.answer()
        await until(lambda: inbound.answered and readable(client))
        node.clients.listener, listener = socket.create_server(("127.0.0.1", 0)), node.clients.listener
        node.clients.listener.setblocking(False)
        node.clients.stop_listening()
        await sent(client, GET % b"crosses")
        assert (await heard(client, b"ok")).endswith(b"ok")
        assert await ends_well(client)
        client.close()
        await until(lambda: not node.clients.held)
        assert desk.ids == [b"r0"]
        node.clients.listener = listener
        await desk.close()

    played(tmp_path, scenario)


def test_a_process_that_leaves_waits_for_the_clients_that_take_their_answers_slowly(tmp_path: Path) -> None:
    """The process ended 200 ms after its last answer was made, whatever of it was still to be written."""

    async def scenario(node: Node) -> None:
        desk, bureau = Desk(), Bureau()
        bureau.lists((desk, "ready"))
        running = begins(node, bureau)
        await until(lambda: node.phase is c.Phase.READY and node.clients.listener is not None)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(node.clients.listener.getsockname())  # type: ignore[union-attr]
        client.setblocking(False)
        await sent(client, GET % b"r0")
        await until(lambda: desk.asked)
        (inbound,) = node.clients.held.values()
        inbound.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        node.stop()
        body = bytes(60_000)
        await desk.answer(body)
        await until(lambda: node._left.is_set())
        data = await heard(client, b"nothing such")
        assert len(data) - data.index(b"\r\n\r\n") - 4 == len(body)
        client.close()
        await running
        await ended(node, bureau, desk)

    played(tmp_path, scenario)


def test_a_request_that_comes_as_the_process_leaves_is_refused_not_reset(tmp_path: Path) -> None:
    """On a connection taken at the last moment, whose request comes when all else is answered."""

    async def scenario(node: Node) -> None:
        desk, bureau = Desk(), Bureau()
        bureau.lists((desk, "ready"))
        running = begins(node, bureau)
        await until(lambda: node.phase is c.Phase.READY and node.clients.listener is not None)
        client = socket.create_connection(node.clients.listener.getsockname())  # type: ignore[union-attr]
        client.setblocking(False)
        await until(lambda: node.clients.held)
        node.stop()
        await until(lambda: node._left.is_set())
        await sent(client, POST % b"late")
        assert (await heard(client)).startswith(b"HTTP/1.1 503")
        client.close()
        await running
        assert desk.ids == []
        await ended(node, bureau, desk)

    played(tmp_path, scenario)


def test_a_stop_during_the_start_is_a_stop(tmp_path: Path) -> None:
    """The start went on, took the node for listening again, and left only when no time was left at all."""

    async def scenario(node: Node) -> None:
        desk, bureau = Desk(), Bureau()
        bureau.lists((desk, "ready"))
        bureau.mute = True
        running = begins(node, bureau)
        await until(lambda: bureau.wholes)
        node.stop()
        await until(lambda: node.phase is c.Phase.STOPPED)
        node.dispatch(c.Listening())
        assert not node._core._listening
        await running
        await ended(node, bureau, desk)

    said = played(tmp_path, scenario)
    assert "phase: all is answered: leaving" in said
