"""What the lab sees late on a busy machine and must not hold against a node: each was a verdict by chance."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from granitewell.lab.cluster.chaos import Trouble
from granitewell.lab.emulator import types as t
from granitewell.lab.emulator.front import Front
from granitewell.lab.fleet.rig import Rig
from granitewell.lab.loopback.agent import Agent
from granitewell.lab.loopback.client_traffic import ClientAttempt, ClientTraffic
from granitewell.lab.loopback.clock import Agenda, DayClock
from granitewell.lab.loopback.network_faults import NetworkFaults
from granitewell.lab.loopback.node_hosts import PROGRAM, NodeHost
from granitewell.lab.loopback.plan import NodePlace
from granitewell.lab.loopback.platform_http import reply_bytes
from granitewell.lab.recording import Recorder
from tests.lab.test_simulation_digest import small_day

LIMIT_S = 20.0  # for any one thing to happen; only a failing test waits so long
REQUEST_END = b"\r\n\r\n"


def seen(path: Path, what: str) -> list[Any]:
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return [line for line in lines if line[0] == what]


def ask(rid: str) -> t.Ask:
    return t.Ask(rid, rid, 0, 0, 0, 0, 2_000_000, 1_000.0, False)


async def received(node: socket.socket) -> bytes:
    """One whole request, as a node reads it."""
    data = b""
    async with asyncio.timeout(LIMIT_S):
        while REQUEST_END not in data:
            data += await asyncio.get_running_loop().sock_recv(node, 65536)
    return data


async def answer(node: socket.socket, attempt: ClientAttempt) -> None:
    assert attempt.ask.rid.encode() in await received(node)
    node.sendall(reply_bytes("ok", attempt.ask.rid, None))


def test_a_client_does_not_write_on_a_connection_whose_end_has_come_in(tmp_path: Path) -> None:
    """A stopping node half-closes its idle connections and takes what still comes without an answer.

    A client whose loop had not come to see that end wrote a request behind it, saw an end without a reset,
    and the node was accused of having ended the connection without an answer.
    """
    path = tmp_path / "seen-clients.jsonl"

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            day = small_day()
            place = NodePlace("n0", 0, *listener.getsockname())
            agenda, front, recorder = Agenda(DayClock(), loop), Front(day), Recorder(path)
            front.node_up(0, "n0", 0)
            front.node_ready(0, "n0")
            client_traffic = ClientTraffic(
                day, agenda, front, (place,), NetworkFaults(day, "clients"), recorder, Counter()
            )
            first, second = ClientAttempt(ask("first")), ClientAttempt(ask("second"))
            client_traffic._attempts = {attempt.ask.rid: attempt for attempt in (first, second)}
            client_traffic._send(first)
            old, _ = await loop.sock_accept(listener)
            old.setblocking(False)
            await answer(old, first)
            async with asyncio.timeout(LIMIT_S):
                while not client_traffic._idle.get(("n0", 0)):
                    await asyncio.sleep(0)
            old.shutdown(socket.SHUT_WR)
            client_traffic._send(second)  # in this turn of the loop: what has come in has not been looked at
            async with asyncio.timeout(LIMIT_S):
                new, _ = await loop.sock_accept(listener)
                new.setblocking(False)
                await answer(new, second)
                while client_traffic.owed:
                    await asyncio.sleep(0)
            assert old.recv(1) == b""  # the client has written nothing there, and closed it
            recorder.close()
            agenda.close()
            client_traffic.close()
            old.close()
            new.close()

    asyncio.run(scenario())
    assert seen(path, "lost") == [] and len(seen(path, "answered")) == 2


class Process:
    """A child whose exit is seen when the test says so."""

    def __init__(self, ended: Callable[[int], None]) -> None:
        self.ended, self.signals = ended, list[int]()

    def signal(self, number: int) -> None:
        self.signals.append(number)


class Processes:
    """Starts such children."""

    def __init__(self) -> None:
        self.started: list[Process] = []

    def start(self, *args: Any) -> Process:
        self.started.append(Process(args[4]))
        return self.started[-1]


def test_a_killed_node_is_gone_when_it_is_killed_not_when_its_exit_is_seen(tmp_path: Path) -> None:
    """The director may stand still behind a kill, for the disk that it empties or for want of a processor.

    Clients see the end of their connections meanwhile, and half a second later the node was accused of it.
    """
    path = tmp_path / "seen-director.jsonl"

    async def scenario() -> None:
        day, recorder, processes = small_day(), Recorder(path), Processes()
        clock = DayClock()
        clock.now = lambda: at_us  # type: ignore[method-assign]
        agenda = Agenda(clock, asyncio.get_running_loop())
        agent = Agent(agenda, "127.0.0.1", lambda *_: {}, lambda *_: None)
        told: list[str] = []
        node_host = NodeHost(
            day, NodePlace("n0", 0, "127.0.0.1", 1), agent, agenda, processes, tmp_path, recorder,  # type: ignore[arg-type]
            lambda **words: told.append(words["do"]), PROGRAM,
        )  # fmt: skip
        at_us = 0
        node_host.start()
        at_us = 14_000_000
        node_host.kill()
        at_us = 14_900_000
        (process,) = processes.started
        process.ended(-signal.SIGKILL)
        assert (
            process.signals == [signal.SIGKILL] and told == ["node_up", "node_down"] and not node_host.exits
        )
        at_us = 16_000_000
        node_host.start()
        at_us = 17_000_000
        processes.started[-1].ended(70)
        assert node_host.exits == [70]
        agent.close()
        recorder.close()
        agenda.close()

    asyncio.run(scenario())
    assert seen(path, "node_down") == [
        ["node_down", 14_000_000, "n0", True, -signal.SIGKILL],
        ["node_down", 17_000_000, "n0", False, 70],
    ]


class StoppedNode:
    """A node that says at once that it leaves, while the director gets no processor for half a second."""

    process = object()

    def __init__(self, stopped: Callable[[], None]) -> None:
        self.stop = stopped


def test_what_a_node_says_between_its_signal_and_the_directors_next_step_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node was accused of having closed its listener before it said that it leaves: it had said so."""
    now_us = 17_000_000

    def half_a_second() -> None:
        nonlocal now_us
        now_us += 500_000

    asked: list[int] = []
    rig = Rig.__new__(Rig)
    rig.schedule = SimpleNamespace(inherits=False, cluster=True)  # type: ignore[assignment]
    rig.judge = SimpleNamespace(is_member=lambda _: True, stop_requested=lambda at, _: asked.append(at))  # type: ignore[assignment]
    monkeypatch.setattr(rig, "now", lambda: now_us)
    monkeypatch.setattr(rig, "_node_hosts", lambda: {"n1": StoppedNode(half_a_second)})
    monkeypatch.setattr(rig, "_knock", lambda _seat, asked_us: asked.append(asked_us))
    monkeypatch.setattr(rig, "_spawn", lambda _job: None)
    rig._term(Trouble("term", 17_000_000, 20_000_000, ("n1",), 0.0, ""), True)
    assert asked == [17_000_000, 17_000_000]
