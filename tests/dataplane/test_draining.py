"""Rules LOST and DRAIN: a process between SIGTERM and its end, and during changes, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from granitewell.dataplane.edge import DataPlane
from granitewell.domain.configuration import Configuration, Limits
from tests.dataplane.simulated_network import SimulatedTransport, play_simulated
from tests.dataplane.standin import (
    Behaviour,
    Client,
    Message,
    ReceivedRequest,
    Scene,
    answer_normally,
    configuration,
    read_message,
    route,
    scene,
)

GRACE_S = 8.0  # between SIGTERM and SIGKILL
MAX_DRAIN_S = 4.0  # after SIGTERM, within which a process must be out of service
READINESS_INTERVAL_S = 1.0  # of the platform, which needs two failed checks


async def readiness_status(s: Scene) -> int:
    """Return the status of the readiness check, 0 if nothing listens."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", s.plane.ready_port)
    except ConnectionError:
        return 0
    writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await read_message(reader)
    writer.close()
    return answer.status if answer is not None else 0


def answers_after(answer_after_s: float) -> Behaviour:
    """Return the behaviour of a server that answers after a delay."""

    async def behaviour(seen: ReceivedRequest) -> None:
        await asyncio.sleep(answer_after_s)
        seen.answer()

    return behaviour


# --- DRAIN: readiness -----------------------------------------------------------------------------------
def test_drain_ends_readiness_for_good() -> None:
    """Updates of the configuration, the servers or the edges must not make the node ready again."""

    async def run() -> None:
        async with scene(answers_after(7.0)) as s:
            assert await readiness_status(s) == 200
            kept = await s.connect()
            kept.send("/again/x", Granitewell_Request_Id="1")
            loop = asyncio.get_running_loop()
            began = loop.time()
            s.plane.begin_drain()
            assert await readiness_status(s) == 503
            end = asyncio.create_task(s.plane.finish(GRACE_S))
            told = []
            version = 2
            while not end.done():
                s.plane.apply_configuration(configuration(version))
                s.plane.set_edges(version, version)
                s.register_servers()
                version += 1
                told.append(await readiness_status(s))
                await asyncio.sleep(READINESS_INTERVAL_S / 4)
            assert set(told) <= {0, 503} and len(told) > 4
            assert loop.time() - began < GRACE_S

    play_simulated(run())


def test_listener_stays_open_for_two_readiness_checks() -> None:
    """The platform checks each second and sends clients until two checks have failed."""

    async def run() -> None:
        async with scene(answer_normally) as s:
            loop = asyncio.get_running_loop()
            began = loop.time()
            s.plane.begin_drain()
            end = asyncio.create_task(s.plane.finish(GRACE_S))
            while loop.time() - began < 2 * READINESS_INTERVAL_S + 0.2:
                assert (await s.call("/once/x")).status == 200
                await asyncio.sleep(0.1)
            await end
            assert loop.time() - began < MAX_DRAIN_S

    play_simulated(run())


# --- LOST: every request that was read is answered ------------------------------------------------------
@pytest.mark.parametrize("sent_after_s", [-3.0, -0.5, 0.5, 2.0, 2.4])
@pytest.mark.parametrize("answer_after_s", [0.0, 0.3, 1.0, 4.5])
def test_requests_around_sigterm_are_answered(sent_after_s: float, answer_after_s: float) -> None:
    async def run() -> None:
        async with scene(answers_after(answer_after_s)) as s:
            s.plane.apply_configuration(configuration(2, [route("long", timeout_ms=15_000.0)]))
            clients = [await s.connect() for _ in range(4)]
            loop = asyncio.get_running_loop()
            end_at = loop.time() + 3.0 + GRACE_S

            async def sends(client: Client, number: int) -> Message | None:
                await asyncio.sleep(3.0 + sent_after_s)
                client.send("/long/x", Granitewell_Request_Id=str(number), Granitewell_Deadline_Ms="15000")
                return await client.answer()

            calls = [asyncio.create_task(sends(client, k)) for k, client in enumerate(clients)]
            await asyncio.sleep(3.0)
            s.plane.begin_drain()
            await s.plane.finish(GRACE_S)
            answers = [await call for call in calls]
            assert [a is not None and (a.status, a.complete) for a in answers] == [(200, True)] * 4
            assert loop.time() < end_at

    play_simulated(run())


def test_body_is_read_completely_when_the_listener_closes() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            s.plane.begin_drain()
            end = asyncio.create_task(s.plane.finish(GRACE_S))
            await asyncio.sleep(2.4)
            client.send("/once/x", Content_Length="8", Granitewell_Request_Id="1")
            client.writer.write(b"half")
            await asyncio.sleep(0.2)  # the listener closes in between
            client.writer.write(b"rest")
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            assert answer.header("Connection") == "close"
            assert s.stand_ins[0].seen[0].body == b"halfrest"
            await end

    play_simulated(run())


def test_drain_waits_for_a_slow_client() -> None:
    """The last response is written but not sent, because the client's window is full."""

    async def run() -> None:
        body = b"a" * 400_000
        async with scene(lambda seen: seen.answer(body=body)) as s:
            client = await s.connect()
            transport = client.writer.transport
            assert isinstance(transport, SimulatedTransport)
            transport.pause_reading()
            client.send("/once/x", Granitewell_Request_Id="1")
            await asyncio.sleep(0.1)
            s.plane.begin_drain()
            end = asyncio.create_task(s.plane.finish(GRACE_S))
            await asyncio.sleep(3.0)
            transport.resume_reading()
            answer = await client.answer()
            assert answer is not None and answer.complete and answer.body == body
            await end
            assert asyncio.get_running_loop().time() < GRACE_S

    play_simulated(run())


def test_stream_completes_late_in_the_grace_period() -> None:
    async def behaviour(seen: ReceivedRequest) -> None:
        seen.events()
        for number in range(1, 13):
            seen.event(number)
            await asyncio.sleep(0.5)
        seen.chunk(b"")

    async def run() -> None:
        async with scene(behaviour) as s:
            s.plane.apply_configuration(configuration(2, [route("s", "streaming", timeout_ms=15_000.0)]))
            call = asyncio.create_task(s.call("/s/x", Granitewell_Deadline_Ms="15000"))
            await asyncio.sleep(0.1)
            s.plane.begin_drain()
            await s.plane.finish(GRACE_S)
            answer = await call
            assert answer.complete and answer.body.count(b"data:") == 12

    play_simulated(run())


def test_unresponsive_server_does_not_end_a_request_before_its_deadline() -> None:
    """Neither a drain nor a new configuration ends it, only the deadline or the end of the process."""

    async def run() -> None:
        async with scene(lambda seen: seen.events(1)) as s:
            loop = asyncio.get_running_loop()
            s.plane.apply_configuration(configuration(2, [route("s", "streaming", timeout_ms=15_000.0)]))
            began = loop.time()
            call = asyncio.create_task(s.call("/s/x", Granitewell_Deadline_Ms="6000"))
            await asyncio.sleep(0.1)
            s.plane.begin_drain()
            s.plane.apply_configuration(configuration(3))
            end = asyncio.create_task(s.plane.finish(GRACE_S))
            answer = await call
            assert not answer.complete and 5.9 < loop.time() - began <= 6.0
            await end

    play_simulated(run())


def test_configuration_and_server_changes_interrupt_no_request() -> None:
    async def run() -> None:
        async with scene(answers_after(1.0)) as s:
            call = asyncio.create_task(s.call("/once/x"))
            waits = asyncio.create_task(s.call("/model/x", Granitewell_Model="m1"))
            await asyncio.sleep(0.1)
            s.plane.apply_configuration(configuration(2, []))
            s.plane.apply_servers([], ["s0"])
            s.plane.set_edges(5, 9)
            assert (await call).status == 200
            assert (await waits).status == 503

    play_simulated(run())


# --- LOST: a connection that a client may still reuse is not closed -------------------------------------
def limited(version: int, idle_ms: float) -> Configuration:
    made = configuration(version)
    limits = Limits(
        max_header_bytes=4096, max_body_bytes=100_000, header_timeout_ms=300, idle_timeout_ms=idle_ms
    )
    return Configuration(made.version, made.routes, made.services, limits)


@pytest.mark.parametrize(("before_ms", "after_ms"), [(5_000, 20_000), (20_000, 5_000)])
def test_idle_connection_is_kept_for_the_longer_limit(before_ms: float, after_ms: float) -> None:
    """Clients reuse connections within four fifths of the idle timeout that they know."""

    async def run() -> None:
        async with scene(answer_normally) as s:
            s.plane.apply_configuration(limited(2, before_ms))
            client = await s.connect()
            client.send("/once/x", Granitewell_Request_Id="1")
            assert await client.answer() is not None
            await asyncio.sleep(1.0)
            s.plane.apply_configuration(limited(3, after_ms))
            await asyncio.sleep(15.0)
            client.send("/once/x", Granitewell_Request_Id="2")
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            fresh = await s.connect()
            await asyncio.sleep(after_ms / 1000.0 + 1.0)
            assert await fresh.reader.read() == b""  # but it is closed eventually

    play_simulated(run())


def test_finished_data_plane_accepts_no_connection() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            plane: DataPlane = s.plane
            await plane.finish(GRACE_S)
            for port in (plane.client_port, plane.ready_port):
                with pytest.raises(ConnectionError):
                    await asyncio.open_connection("127.0.0.1", port)

    play_simulated(run())


def test_pipelined_requests_are_answered_in_a_drain() -> None:
    """Two requests on one connection, of which the second waits when the listener closes."""

    async def run() -> None:
        async with scene(answers_after(2.0)) as s:
            s.plane.apply_configuration(configuration(2, [route("long", timeout_ms=15_000.0)]))
            client = await s.connect()
            s.plane.begin_drain()
            end = asyncio.create_task(s.plane.finish(GRACE_S))
            await asyncio.sleep(1.0)
            for number in ("1", "2"):
                client.send("/long/x", Granitewell_Request_Id=number, Granitewell_Deadline_Ms="15000")
            answers = [await client.answer(), await client.answer()]
            assert [a.status for a in answers if a is not None] == [200, 200]
            assert [a.header("Connection") for a in answers if a is not None] == [None, "close"]
            assert await client.reader.read() == b""
            await end

    play_simulated(run())
