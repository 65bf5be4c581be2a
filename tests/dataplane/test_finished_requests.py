"""A finished request and its body are freed at once, without the cyclic collector, which runs rarely."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable, Iterator

import pytest

from granitewell.dataplane.dispatch import DispatchRequest
from granitewell.dataplane.request_forwarder import ClientRequest, RequestForwarder
from granitewell.domain.servers import ServerState
from tests.dataplane.standin import Behaviour, ReceivedRequest, Scene, answer_normally, run_scene, scene

BODY = b"b" * 50_000
REQUESTS = 5
KEPT_TYPES = (ClientRequest, DispatchRequest, RequestForwarder)


def parts_of_requests() -> list[object]:
    """Return the parts of requests that are alive in this process."""
    return [one for one in gc.get_objects() if isinstance(one, KEPT_TYPES)]


@pytest.fixture
def of_earlier_tests() -> Iterator[list[object]]:
    """Turn the collector off; return the parts of requests that earlier tests still hold."""
    gc.collect()
    gc.disable()
    try:
        yield parts_of_requests()
    finally:
        gc.enable()


def kept(before: list[object]) -> list[str]:
    """Return the types of the parts of this test's requests that are alive."""
    old = {id(one) for one in before}
    return sorted(type(one).__name__ for one in parts_of_requests() if id(one) not in old)


async def keep_silent(_seen: ReceivedRequest) -> None:
    await asyncio.get_running_loop().create_future()


def refuse(seen: ReceivedRequest) -> None:
    seen.refuse()


def break_off(seen: ReceivedRequest) -> None:
    seen.writer.write(seen.head(length=10) + b"half")
    seen.reset()


def stream(seen: ReceivedRequest) -> None:
    seen.events(1, 2, 3)
    seen.chunk(b"")


def break_stream_off(seen: ReceivedRequest) -> None:
    seen.events(1, 2)
    seen.reset()


async def call(s: Scene, target: str = "/once/x", **headers: str) -> None:
    assert (await s.call(target, body=BODY, **headers)).status in (200, 502, 503, 504)


async def call_until_model_comes(s: Scene) -> None:
    """A request waits for a server, and then gets one."""
    s.plane.apply_servers([s.server(s.stand_ins[0], state=ServerState.DRAINING)], [])
    waiting = asyncio.create_task(s.call("/once/x", body=BODY))
    while not any(state.queue for state in s.plane._dispatcher._services.values()):
        await asyncio.sleep(0)
    s.register_servers()
    assert (await waiting).status == 200


async def leave_early(s: Scene) -> None:
    """The client leaves while the server is at work."""
    client = await s.connect()
    client.send("/once/x", body=BODY, Granitewell_Request_Id="7")
    while not s.stand_ins[0].seen:
        await asyncio.sleep(0.001)
    client.close()
    s.stand_ins[0].seen.clear()


Calls = Callable[[Scene], Awaitable[None]]
CASES: list[tuple[str, list[Behaviour], Calls]] = [
    ("answered", [answer_normally], call),
    ("unknown route", [answer_normally], lambda s: call_unknown(s)),
    ("refused and retried", [refuse, answer_normally], lambda s: call(s, "/again/x")),
    ("refused by all", [refuse, refuse], call),
    ("broken off", [break_off], call),
    ("streamed", [stream], lambda s: call(s, "/stream/x")),
    ("stream broken off and resumed", [break_stream_off, stream], lambda s: call(s, "/resume/x")),
    ("timed out at the server", [keep_silent], lambda s: call(s, "/short/x")),
    ("waited and served", [answer_normally], call_until_model_comes),
    ("client left", [keep_silent], leave_early),
]


async def call_unknown(s: Scene) -> None:
    assert (await s.call("/nowhere/x", body=BODY)).status == 404


async def no_request_in_progress(s: Scene) -> None:
    async with asyncio.timeout(5):
        while s.plane._forwarders or s.plane._http_server._in_progress:
            await asyncio.sleep(0.001)


@pytest.mark.parametrize(
    ("behaviours", "calls"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_a_finished_request_is_freed_without_the_collector(
    behaviours: list[Behaviour], calls: Calls, of_earlier_tests: list[object]
) -> None:
    """Each was part of a reference cycle with its body, so bursts of large bodies ended edges (review/2)."""

    async def run() -> None:
        async with scene(*behaviours) as s:
            s.fill_retry_budget()
            for _ in range(REQUESTS):
                await calls(s)
            await no_request_in_progress(s)
            await asyncio.sleep(0.01)  # the tasks of closed connections end
            assert kept(of_earlier_tests) == []

    run_scene(run())
