"""Rules BUDGET and CONFIG: deadlines sent to servers, and the response at a request's deadline."""

from __future__ import annotations

import asyncio

import pytest

from granitewell.domain.configuration import Route
from tests.dataplane.simulated_network import play_simulated
from tests.dataplane.standin import Behaviour, Message, ReceivedRequest, Scene, configuration, route, scene

MAX_OVERRUN_S = 0.5  # beyond the deadline, for a server or a client
SEND_MARGIN_S = 0.05  # maximum reduction of the deadline, for the way of the response
KINDS = {"once": "non_idempotent", "again": "idempotent", "stream": "streaming"}


def routes(timeout_ms: float) -> list[Route]:
    """Return one route of each kind."""
    return [route(name, kind, timeout_ms=timeout_ms, max_attempts=3) for name, kind in KINDS.items()]


class DeadlineRecorder:
    """A server that records the deadlines it receives and rejects requests after a while."""

    def __init__(self, refuses_after_s: float) -> None:
        self.ends: list[float] = []
        self.sent_at: list[float] = []
        self._refuses_after_s = refuses_after_s

    async def __call__(self, seen: ReceivedRequest) -> None:
        now = asyncio.get_running_loop().time()
        told = seen.request.header("Granitewell-Deadline-Ms")
        assert told is not None and told.isdigit() and int(told) > 0
        self.sent_at.append(now)
        self.ends.append(now + int(told) / 1000.0)
        await asyncio.sleep(self._refuses_after_s)
        seen.refuse()


@pytest.mark.parametrize("stated_ms", ["", "4000", "60000", "4000.5"])
@pytest.mark.parametrize("name", KINDS)
def test_each_attempt_sends_the_remaining_time(name: str, stated_ms: str) -> None:
    """The shorter of the client's deadline and the route's timeout applies, also to a late retry."""

    async def run() -> None:
        handed = DeadlineRecorder(refuses_after_s=1.0)
        async with scene(handed, handed, handed) as s:
            s.plane.apply_configuration(configuration(2, routes(5000.0)))
            s.fill_retry_budget()
            loop = asyncio.get_running_loop()
            began = loop.time()
            await s.call(f"/{name}/x", Granitewell_Deadline_Ms=stated_ms)
            due = began + min(float(stated_ms or "5000"), 5000.0) / 1000.0
            assert len(handed.ends) == 3 and handed.sent_at[-1] - handed.sent_at[0] > 1.0
            assert all(due - SEND_MARGIN_S < end <= due for end in handed.ends), (due, handed.ends)

    play_simulated(run())


def test_resumption_sends_the_remaining_time() -> None:
    async def run() -> None:
        ends: list[float] = []
        loop = asyncio.get_running_loop()

        async def behaviour(seen: ReceivedRequest) -> None:
            ends.append(loop.time() + int(seen.request.header("Granitewell-Deadline-Ms") or 0) / 1000.0)
            seen.writer.write(seen.head(Content_Type="text/event-stream"))
            for number in range(int(seen.request.header("Last-Event-Id") or 0) + 1, 9):
                seen.event(number)
                await asyncio.sleep(0.4)
                if number == 4 and len(ends) == 1:
                    seen.writer.close()
                    return
            seen.chunk(b"")

        async with scene(behaviour, behaviour) as s:
            s.plane.apply_configuration(
                configuration(2, [route("r", "streaming", resumable=True, timeout_ms=9000.0)])
            )
            s.fill_retry_budget()
            began = loop.time()
            answer = await s.call("/r/x", Granitewell_Deadline_Ms="8000")
            assert answer.complete and answer.body.count(b"data:") == 8
            assert len(ends) == 2
            assert all(began + 8.0 - SEND_MARGIN_S < end <= began + 8.0 for end in ends)

    play_simulated(run())


# --- CONFIG: a final response at the route's timeout ----------------------------------------------------
def never_responds(seen: ReceivedRequest) -> None:
    pass


def sends_only_the_head(seen: ReceivedRequest) -> None:
    seen.writer.write(seen.head(length=10))


def stalls_in_a_body(seen: ReceivedRequest) -> None:
    seen.writer.write(seen.head(length=10) + b"half")


def stalls_in_a_stream(seen: ReceivedRequest) -> None:
    seen.events(1)


def always_rejects(seen: ReceivedRequest) -> None:
    seen.refuse()


async def answer_or_end(s: Scene, target: str) -> tuple[Message | None, float]:
    """Return the response and the time until it arrived."""
    loop = asyncio.get_running_loop()
    client = await s.connect()
    began = loop.time()
    client.send(target, Granitewell_Request_Id="1", Granitewell_Deadline_Ms="20000", Granitewell_Model="m1")
    answer = await client.answer()
    return answer, loop.time() - began


@pytest.mark.parametrize(
    "behaviour", [never_responds, sends_only_the_head, stalls_in_a_body, stalls_in_a_stream, always_rejects]
)
@pytest.mark.parametrize("name", KINDS)
def test_route_timeout_ends_in_a_final_response(name: str, behaviour: Behaviour) -> None:
    """A stream that has begun is closed in a way that shows that it is incomplete."""

    async def run() -> None:
        async with scene(behaviour, behaviour) as s:
            s.plane.apply_configuration(configuration(2, routes(1200.0)))
            s.fill_retry_budget()
            answer, after_s = await answer_or_end(s, f"/{name}/x")
            assert answer is not None and after_s < 1.2 + MAX_OVERRUN_S
            if behaviour is always_rejects:
                assert answer.status == 503
            elif behaviour is stalls_in_a_stream and name == "stream":
                assert answer.status == 200 and not answer.complete
            else:
                assert answer.status == 504 and answer.complete
                assert after_s > 1.1

    play_simulated(run())


@pytest.mark.parametrize("stage", ["no server", "no model", "connecting", "body", "resumption"])
def test_route_timeout_ends_in_a_final_response_at_each_stage(stage: str) -> None:
    async def run() -> None:
        def breaks_once(seen: ReceivedRequest) -> None:
            if not seen.request.header("Last-Event-Id"):
                seen.events(1)
                seen.writer.close()

        service = "engine" if stage == "no model" else "plain"
        async with scene(breaks_once, breaks_once, service=service) as s:
            made = route("r", "streaming", service, resumable=True, timeout_ms=1200.0)
            s.plane.apply_configuration(configuration(2, [made]))
            s.fill_retry_budget()
            if stage == "no server":
                s.plane.apply_servers([], ["s0", "s1"])
            if stage == "connecting":
                for stand_in in s.stand_ins:
                    stand_in.stop_listening()
            loop = asyncio.get_running_loop()
            client = await s.connect()
            began = loop.time()
            length = "5" if stage == "body" else "0"
            client.send("/r/x", Granitewell_Request_Id="1", Content_Length=length, Granitewell_Model="m1")
            answer = await client.answer()
            assert answer is not None and loop.time() - began < 1.2 + MAX_OVERRUN_S
            assert answer.status in ({200} if stage == "resumption" else {408, 503, 504})
            assert answer.complete is (stage != "resumption")

    play_simulated(run())


def test_shorter_timeout_applies_to_later_requests() -> None:
    """A request in progress keeps the timeout with which it was accepted."""

    async def run() -> None:
        async with scene(never_responds) as s:
            s.plane.apply_configuration(configuration(2, routes(3000.0)))
            earlier = asyncio.create_task(answer_or_end(s, "/again/x"))
            await asyncio.sleep(0.2)
            s.plane.apply_configuration(configuration(3, routes(800.0)))
            _, after_s = await answer_or_end(s, "/again/x")
            assert after_s < 0.8 + MAX_OVERRUN_S
            _, after_s = await earlier
            assert 2.9 < after_s < 3.0 + MAX_OVERRUN_S

    play_simulated(run())


# --- BUDGET: servers per request ------------------------------------------------------------------------
@pytest.mark.parametrize("most", [1, 2, 3])
def test_stream_uses_no_more_servers_than_the_route_allows(most: int) -> None:
    """Resumptions within the response count as attempts."""

    async def run() -> None:
        def behaviour(seen: ReceivedRequest) -> None:
            at = int(seen.request.header("Last-Event-Id") or 0)
            seen.events(at + 1)
            seen.writer.close()

        async with scene(*[behaviour] * 6) as s:
            s.plane.apply_configuration(
                configuration(2, [route("r", "streaming", resumable=True, max_attempts=most)])
            )
            s.fill_retry_budget()
            answer = await s.call("/r/x")
            assert not answer.complete and answer.body.count(b"data:") == most
            assert sum(len(stand_in.seen) for stand_in in s.stand_ins) == most

    play_simulated(run())
