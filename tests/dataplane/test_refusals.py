"""Rule DENIED: which local replies a node may send.

A valid request gets a 3xx or 4xx only on the basis of a configuration in force; a node without one answers
503 to every request.
"""

from __future__ import annotations

import asyncio

import pytest

from granitewell.dataplane.http_server import MAX_HEAD_BYTES
from granitewell.domain.configuration import Configuration, Limits
from tests.dataplane.simulated_network import play_simulated
from tests.dataplane.standin import ROUTES, ReceivedRequest, Scene, answer_normally, configuration, scene

NOT_COUNTED = (408, 421, 429)  # 4xx that promise that a request was not executed
LONG_BODY = b"a" * (Limits().max_body_bytes + 1)
LONG_FIELD = "a" * (Limits().max_header_bytes + 1)


def without_configuration(s: Scene) -> None:
    """Put the node into its state at process start."""
    s.plane._configuration = s.plane._routes = None
    s.plane._configured.clear()


def limited(version: int, limits: Limits) -> Configuration:
    """Return the usual routes with other limits."""
    made = configuration(version)
    return Configuration(version, made.routes, made.services, limits)


@pytest.mark.parametrize("target", ["/once/x", "/stream/x", "/nowhere/x", "/"])
@pytest.mark.parametrize("host", ["shop.example", "elsewhere.example"])
def test_node_without_configuration_answers_503(target: str, host: str) -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            without_configuration(s)
            answer = await s.call(target, Host=host)
            assert answer.status == 503 and answer.header("Retry-After")
            assert s.stand_ins[0].seen == [] and not s.plane.ready

    play_simulated(run())


@pytest.mark.parametrize(("body", "field"), [(LONG_BODY, "1"), (b"", LONG_FIELD)], ids=["body", "head"])
def test_default_limits_reject_no_request_finally(body: bytes, field: str) -> None:
    """The default limits protect a node without a configuration, but the configured ones may be higher."""

    async def run() -> None:
        async with scene(answer_normally) as s:
            without_configuration(s)
            assert (await s.call("/once/x", body=body, X_Long=field)).status == 503

    play_simulated(run())


def test_raised_limits_apply_to_open_connections() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            small = Limits(max_header_bytes=1_000, max_body_bytes=1_000, header_timeout_ms=300)
            s.plane.apply_configuration(limited(2, small))
            client = await s.connect()
            client.send("/once/x", Granitewell_Request_Id="1")
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            s.plane.apply_configuration(limited(3, Limits(max_header_bytes=100_000, max_body_bytes=100_000)))
            client.send("/once/x", body=b"a" * 50_000, X_Long="b" * 50_000, Granitewell_Request_Id="2")
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            assert s.stand_ins[0].seen[1].header("X-Long") == "b" * 50_000

    play_simulated(run())


def test_endless_head_is_bounded_in_memory() -> None:
    """Each header is within the limit, but not all together."""

    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            client.writer.write(b"POST /once/x HTTP/1.1\r\n")
            sent = 0
            while sent < 4 * MAX_HEAD_BYTES and not client.reader.at_eof():
                field = b"X-%d: " % sent + b"a" * 1_000 + b"\r\n"
                client.writer.write(field)
                sent += len(field)
                await asyncio.sleep(0.001)
            assert await client.reader.read() == b""
            assert MAX_HEAD_BYTES < sent < 1.2 * MAX_HEAD_BYTES

    play_simulated(run())


@pytest.mark.parametrize("told", [True, False], ids=["length", "chunks"])
def test_rest_of_a_rejected_body_is_discarded(told: bool) -> None:
    """Otherwise a reset could discard the response."""

    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            length, coding = ("200000", "") if told else ("", "chunked")
            client.send(
                "/once/x", Content_Length=length, Transfer_Encoding=coding, Granitewell_Request_Id="1"
            )
            for _ in range(20):
                client.writer.write(b"a" * 10_000 if told else b"2710\r\n" + b"a" * 10_000 + b"\r\n")
                await asyncio.sleep(0.01)
            answer = await client.answer()
            assert answer is not None and (answer.status, answer.complete) == (413, True)

    play_simulated(run())


def test_common_route_is_never_rejected_during_changes() -> None:
    """Guards against rejections while configurations change in quick succession."""

    async def run() -> None:
        async with scene(answer_normally) as s:
            for version in range(2, 30):
                other = ROUTES if version % 2 else ROUTES[:1]
                call = asyncio.create_task(s.call("/once/x"))
                s.plane.apply_configuration(configuration(version, other))
                assert (await call).status == 200

    play_simulated(run())


@pytest.mark.parametrize("target", [f"/{route.name}/x" for route in ROUTES])
def test_server_faults_are_not_client_errors(target: str) -> None:
    """Full or missing servers and models give a 5xx, or a status that promises no execution."""

    async def run() -> None:
        async with scene(ReceivedRequest.refuse, ReceivedRequest.refuse) as s:
            for _ in range(2):
                status = (await s.call(target, Granitewell_Model="m1")).status
                assert status >= 500 or status in NOT_COUNTED
                s.plane.apply_servers([], ["s0", "s1"])

    play_simulated(run())
