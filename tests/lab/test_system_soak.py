"""The soak's own checks notice what they are there for; the days themselves are started by hand."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import aiohttp
import pytest
from aiohttp import web

from granitewell.lab.system.soak import report
from granitewell.lab.system.soak_clients import SoakClient, SoakTally
from granitewell.lab.system.soak_day import SoakDay, SoakResult
from granitewell.lab.system.soak_fleet import SoakError
from granitewell.lab.system.standins import REQUEST_ID, SEAL, ModelServer, listen, whole_answer

MODEL = "harbour"
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


async def ask(answer: Handler, server: ModelServer, *, killed: bool = False) -> SoakTally:
    """Return what a client has seen of one request to an edge that answers so."""
    tally = SoakTally()

    async def run_and_answer(request: web.Request) -> web.StreamResponse:
        server.runs[request.headers[REQUEST_ID]] += 1
        return await answer(request)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", run_and_answer)
    runner, address = await listen(app, "127.0.0.1")
    client = SoakClient(
        1, "dispatch.example", MODEL, lambda: [address], lambda _: killed, [server], tally, Random(1)
    )
    try:
        async with aiohttp.ClientSession() as session:
            await client._ask(session, address)
    finally:
        await runner.cleanup()
    return tally


def answered(server: ModelServer, **more: str) -> Handler:
    async def answer(request: web.Request) -> web.StreamResponse:
        request_id = request.headers[REQUEST_ID]
        headers = {REQUEST_ID: request_id, SEAL: server.seal(request_id)} | more
        return web.Response(body=whole_answer(MODEL, request_id), headers=headers)

    return answer


async def cut(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"id: 1\n")
    assert request.transport is not None
    request.transport.abort()
    return response


def test_a_right_answer_is_no_fault() -> None:
    server = ModelServer("i-1", "writers", 0.1)
    tally = asyncio.run(ask(answered(server), server))
    assert tally.faults == [] and tally.answers == {200: 1}


def test_a_foreign_seal_is_a_fault() -> None:
    server = ModelServer("i-1", "writers", 0.1)
    (fault,) = asyncio.run(ask(answered(server, **{SEAL: "i-2.other"}), server)).faults
    assert "seal i-2.other" in fault


@pytest.mark.parametrize(("killed", "faults"), [(False, 1), (True, 0)])
def test_a_cut_answer_is_a_fault_unless_the_edge_was_killed(killed: bool, faults: int) -> None:
    tally = asyncio.run(ask(cut, ModelServer("i-1", "writers", 0.1), killed=killed))
    assert len(tally.faults) == faults and tally.answers == {0: 1}


def test_a_request_that_ran_twice_fails_the_day(tmp_path: Path) -> None:
    day = SoakDay(1, tmp_path, large=False)
    day.tally.answers[200] = 2
    day.tally.once += ["a", "b"]
    day.servers[0].runs.update(["a", "b"])
    day.check_requests()
    day.servers[1].runs["b"] += 1
    with pytest.raises(SoakError, match=r"run twice: \['b'\]"):
        day.check_requests()


def test_the_report_names_the_faults_of_a_day_that_failed_only() -> None:
    held = SoakResult(7, changes=3, faults=["SIGTERM edge-1"])
    assert "held" in report(held) and "SIGTERM" not in report(held)
    failed = SoakResult(7, error="edge-1 is not ready", faults=["SIGTERM edge-1"])
    assert "edge-1 is not ready" in report(failed) and "SIGTERM edge-1" in report(failed)
