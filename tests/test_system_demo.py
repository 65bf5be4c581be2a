"""The demo of the whole system, as processes on loopback; and its stand-ins and checks by themselves."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import aiohttp
import pytest

from granitewell.lab.system.__main__ import report
from granitewell.lab.system.callers import Client
from granitewell.lab.system.demo import (
    ABSENT_MODEL,
    HELD_MODEL,
    HOST,
    SERVED_AFTER_KILL,
    SERVICE,
    STANDIN_IP,
    Seen,
    run_scene,
)
from granitewell.lab.system.processes import CONTROL_IPS, EDGE_IPS
from granitewell.lab.system.standins import ModelServer

LIMIT_S = 33.0  # of the scene: with the start of the stand-ins and the end of all processes below 40 s
MAX_S = 10.0  # of any other test here
CONTROLS = {f"control-{number}" for number in range(1, len(CONTROL_IPS) + 1)}
EDGES = {f"edge-{number}" for number in range(1, len(EDGE_IPS) + 1)}
T = TypeVar("T")


# --- The scene ------------------------------------------------------------------------------------------
@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> Seen:
    return asyncio.run(run_scene(tmp_path_factory.mktemp("system"), LIMIT_S))


def test_changes_are_acknowledged_and_in_force_on_both_edges(seen: Seen) -> None:
    assert seen.leader in CONTROLS
    assert 0 < seen.acknowledged_ms <= seen.in_force_ms
    assert 0 < seen.changed_ms <= seen.change_in_force_ms


def test_every_answer_has_the_right_seal_and_body(seen: Seen) -> None:
    assert seen.faults == []
    assert set(seen.served) == EDGES
    assert all(seen.served.values())


def test_no_request_ran_twice(seen: Seen) -> None:
    assert seen.ran_twice == []


def test_a_model_that_nobody_held_is_loaded_on_demand(seen: Seen) -> None:
    assert seen.loaded_by
    assert seen.loaded_ms > 0


def test_after_the_leaders_kill_the_next_change_is_taken_and_no_older_one_is_lost(seen: Seen) -> None:
    assert seen.killed in CONTROLS
    assert seen.next_leader in CONTROLS - {seen.killed}
    assert seen.acknowledged_after_kill_ms > 0
    assert seen.configuration["version"] == 3
    prefixes = {route["name"]: route["prefix"] for route in seen.configuration["routes"]}
    assert prefixes == {"chat": "/chat/", "drafts": "/sketches/", "notes": "/notes/"}


def test_requests_go_on_after_the_kill(seen: Seen) -> None:
    assert set(seen.served_after_kill) == EDGES
    assert min(seen.served_after_kill.values()) >= SERVED_AFTER_KILL


def test_all_processes_have_ended_and_only_the_leader_by_a_kill(seen: Seen) -> None:
    assert seen.exit_codes == {name: -9 if name == seen.killed else 0 for name in CONTROLS | EDGES}


def test_the_report_names_what_was_seen(seen: Seen) -> None:
    text = report(seen)
    assert f"killed: {seen.killed}, the leader; now leads: {seen.next_leader}" in text
    assert "wrong answers: 0; run twice: 0" in text


# --- The stand-ins and the checks -----------------------------------------------------------------------
def play(scene: Coroutine[Any, Any, T]) -> T:
    return asyncio.run(asyncio.wait_for(scene, MAX_S))


async def asked(server: ModelServer, model: str, known: list[ModelServer]) -> Client:
    await server.start(STANDIN_IP)
    try:
        async with aiohttp.ClientSession() as session:
            client = Client(session, HOST, known)
            await client.ask(server.address, "/chat/", model)
            return client
    finally:
        await server.stop()


def test_a_right_answer_is_no_fault() -> None:
    server = ModelServer("i-1", SERVICE, 0.0, {HELD_MODEL})
    client = play(asked(server, HELD_MODEL, [server]))
    assert (client.faults, client.turned_away, client.served.total()) == ([], 0, 1)


def test_an_answer_of_a_server_that_did_not_run_it_is_a_fault() -> None:
    server = ModelServer("i-1", SERVICE, 0.0, {HELD_MODEL})
    client = play(asked(server, HELD_MODEL, [ModelServer("i-2", SERVICE, 0.0)]))
    assert len(client.faults) == 1


def test_a_model_that_the_server_lacks_is_not_run() -> None:
    server = ModelServer("i-1", SERVICE, 0.0, {HELD_MODEL})
    client = play(asked(server, ABSENT_MODEL, [server]))
    assert (client.turned_away, server.runs.total()) == (1, 0)


def order(fence: int, revision: int, model: str = ABSENT_MODEL) -> dict[str, object]:
    return {
        "operation": "load_model",
        "model": model,
        "holder": "control-1",
        "fence-token": fence,
        "if-revision": revision,
    }


def test_orders_are_fenced_and_conditional() -> None:
    async def scene() -> list[int]:
        server = ModelServer("i-1", SERVICE, 0.0, {HELD_MODEL})
        answers = [server._take_order(order(5, 1)), server._take_order(order(5, 0))]
        answers += [server._take_order(order(5, 1, "other")), server._take_order(order(4, 1))]
        answers += [server._take_order({**order(5, 1), "holder": ""})]
        await asyncio.gather(*server._work)
        answers.append(server._take_order(order(6, 1)))
        return answers

    assert play(scene()) == [409, 202, 409, 412, 400, 200]


def test_what_is_meant_for_another_server_gets_421() -> None:
    async def scene() -> int:
        server = ModelServer("i-1", SERVICE, 0.0, {HELD_MODEL})
        await server.start(STANDIN_IP)
        headers = {"Granitewell-Expect-Instance": "i-2", "Granitewell-Request-Id": "a"}
        try:
            async with (
                aiohttp.ClientSession(headers=headers) as session,
                session.post(f"http://{server.address}/chat/") as response,
            ):
                return response.status
        finally:
            await server.stop()

    assert play(scene()) == 421


def test_a_caller_that_leaves_in_the_middle_of_a_stream_is_no_error(caplog: pytest.LogCaptureFixture) -> None:
    async def scene() -> int:
        server = ModelServer("i-1", SERVICE, 0.0, {HELD_MODEL})
        await server.start(STANDIN_IP)
        host, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /chat/ HTTP/1.1\r\nHost: a\r\nGranitewell-Model: {HELD_MODEL}\r\n"
        writer.write(f"{head}Granitewell-Request-Id: a\r\nContent-Length: 0\r\n\r\n".encode())
        await reader.readuntil(b"data:")
        writer.transport.abort()
        try:
            async with asyncio.timeout(MAX_S):
                while server.open_streams:
                    await asyncio.sleep(0.001)
        finally:
            await server.stop()
        return server.runs.total()

    assert play(scene()) == 1
    assert [record.getMessage() for record in caplog.records] == []
