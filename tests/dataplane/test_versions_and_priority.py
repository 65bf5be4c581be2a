"""Handling of the headers `Priority`, `Expect-Version` and `Versions`."""

from __future__ import annotations

import pytest

from granitewell.dataplane.events import EventSplitter
from tests.dataplane.simulated_network import play_simulated
from tests.dataplane.standin import ReceivedRequest, answer_normally, configuration, route, scene


@pytest.mark.parametrize(("ranked", "told"), [(0, "0"), (3, "3"), (9, "9"), (12, "9"), (-1, "0")])
def test_route_priority_is_sent_within_bounds(ranked: int, told: str) -> None:
    """The client's own Priority header is ignored."""

    async def run() -> None:
        async with scene(answer_normally) as s:
            s.plane.apply_configuration(configuration(2, [route("r", priority=ranked)]))
            assert (await s.call("/r/x", Priority="4")).status == 200
            assert s.stand_ins[0].seen[0].header("Priority") == told

    play_simulated(run())


def test_resumption_skips_servers_with_another_version() -> None:
    def old(seen: ReceivedRequest) -> None:
        assert seen.request.header("Expect-Version") == "7"
        seen.refuse(421)

    def new(seen: ReceivedRequest) -> None:
        seen.answer(Versions="7")

    async def run() -> None:
        async with scene(old, new) as s:
            s.fill_retry_budget()
            for _ in range(6):
                answer = await s.call("/once/x", Expect_Version="7")
                assert (answer.status, answer.header("Versions")) == (200, "7")

    play_simulated(run())


def test_version_line_is_forwarded_within_its_event() -> None:
    changed = b"versions: 8\nid: 2\ndata: word\n\n"

    def behaviour(seen: ReceivedRequest) -> None:
        seen.writer.write(seen.head(Content_Type="text/event-stream", Versions="7"))
        seen.event(1)
        seen.chunk(changed)
        seen.event(3)
        seen.chunk(b"")

    async def run() -> None:
        async with scene(behaviour) as s:
            answer = await s.call("/stream/x")
            assert answer.complete and answer.header("Versions") == "7"
            assert answer.body == b"id: 1\ndata: word\n\n" + changed + b"id: 3\ndata: word\n\n"

    play_simulated(run())


def test_event_with_a_version_line_keeps_its_id() -> None:
    (event,) = EventSplitter().feed(b"versions: 8\nid: 41\ndata: id: 5\n\n")
    assert event.id == "41"
