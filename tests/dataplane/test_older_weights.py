"""Versions of model weights: newer ones are preferred, and a stream is resumed with its own version."""

from __future__ import annotations

from random import Random

import pytest

from granitewell.dataplane.events import EventSplitter
from granitewell.dataplane.server_selection import Pool
from granitewell.dataplane.servers import ServerRecord
from granitewell.domain.servers import LoadedModel, Server, ServerState, parse_version
from tests.dataplane.simulated_network import play_simulated
from tests.dataplane.standin import ReceivedRequest, Scene, route, scene
from tests.dataplane.standin import configuration as configured

SLOTS = 6


def pool_of(*versions: int) -> Pool:
    made = Pool("llm m1/", SLOTS, 1.0, Random(1), "m1")
    made.set_servers(
        [
            ServerRecord(
                Server(
                    f"s{number}", "llm", f"10.0.0.{number}:80", "a", SLOTS, ServerState.READY,
                    models={"m1": LoadedModel("m1", version=version)},
                )
            )
            for number, version in enumerate(versions)
        ]
    )  # fmt: skip
    return made


def picked(pool: Pool, count: int) -> list[str]:
    """Return the servers of a number of concurrent requests."""
    found: list[str] = []
    for _ in range(count):
        record = pool.pick(0.0, 1)
        assert record is not None
        pool.sent(record, 0.0)
        found.append(record.id)
    return found


def test_newest_version_is_preferred_until_its_servers_are_full() -> None:
    found = picked(pool_of(1, 2, 1, 2), 4 * SLOTS)
    assert set(found[: 2 * SLOTS]) == {"s1", "s3"}
    assert set(found[2 * SLOTS :]) == {"s0", "s2"}


@pytest.mark.parametrize("versions", [(3, 3, 3), (0, 0, 0), (0, 3, 3)])
def test_equal_or_unknown_versions_are_not_preferred(versions: tuple[int, ...]) -> None:
    pool = pool_of(*versions)
    assert set(picked(pool, 12)) == {"s0", "s1", "s2"}
    assert not pool.has_several_versions and not pool.with_other_version(7)


def test_requested_version_restricts_the_servers() -> None:
    pool = pool_of(1, 2, 0)
    assert pool.with_other_version(1) == {"s1"} and pool.with_other_version(2) == {"s0"}


def register_servers(s: Scene, *versions: int) -> None:
    """Register the stand-ins with these versions of the weights."""
    models = [{"m1": LoadedModel("m1", version=version)} for version in versions]
    s.plane.apply_servers(
        [
            Server(one.name, "engine", one.address, "a", 4, ServerState.READY, models=held)
            for one, held in zip(s.stand_ins, models, strict=True)
        ],
        [],
    )


def breaks_off(seen: ReceivedRequest, version: int, *, changes_to: int = 0) -> None:
    seen.writer.write(seen.head(Content_Type="text/event-stream", Versions=str(version)))
    seen.event(1)
    if changes_to:
        seen.chunk(b"versions: %d\nid: 2\ndata: word\n\n" % changes_to)
    seen.writer.close()


def goes_on(seen: ReceivedRequest, version: int) -> None:
    expected = seen.request.header("Expect-Version")
    if expected is not None and expected != str(version):
        return seen.refuse(421)
    seen.writer.write(seen.head(Content_Type="text/event-stream", Versions=str(version)))
    seen.event(3)
    return seen.chunk(b"")


@pytest.mark.parametrize(("changes_to", "continued_at"), [(0, "s1"), (2, "s2")])
def test_stream_is_resumed_with_its_version(changes_to: int, continued_at: str) -> None:
    """The first server closes the stream; the others have version 1 and version 2."""
    resumed: list[str] = []

    def first(seen: ReceivedRequest) -> None:
        breaks_off(seen, 1, changes_to=changes_to)

    def other(version: int) -> object:
        def behaviour(seen: ReceivedRequest) -> None:
            resumed.append(seen.server.name)
            assert seen.request.header("Expect-Version") == str(changes_to or 1)
            goes_on(seen, version)

        return behaviour

    async def run() -> None:
        async with scene(first, other(1), other(2), service="engine", models=("m1",)) as s:  # type: ignore[arg-type]
            routes = [route("r", "streaming", service="engine", resumable=True, max_attempts=3)]
            s.plane.apply_configuration(configured(2, routes))
            s.fill_retry_budget("engine")
            s.plane.apply_servers([s.server(s.stand_ins[0], "engine", ("m1",))], ["s1", "s2"])
            register_servers(s, 3, 1, 2)  # s0 has the newest version in the table and gets the request
            answer = await s.call("/r/x", Granitewell_Model="m1")
            assert answer.complete and answer.body.endswith(b"id: 3\ndata: word\n\n")

    play_simulated(run())
    assert resumed == [continued_at]


def test_event_version() -> None:
    (event,) = EventSplitter().feed(b"versions: 8\r\nid: 2\r\ndata: word\r\n\r\n")
    assert (event.version, event.id) == (8, "2")
    odd = b"versions: x\nid: 2\n\n", b"id: 2\nversions: 8\n\n", b"versions:\ndata: a\n\n"
    assert [e.version for part in odd for e in EventSplitter().feed(part)] == [0, 0, 0]


@pytest.mark.parametrize(
    ("value", "version"),
    [
        (7, 7),
        ("7", 7),
        (0, 0),
        (-1, 0),
        (True, 0),
        (None, 0),
        ("", 0),
        ("-3", 0),
        (2**53, 0),
        (1.0, 0),
        ("9" * 40, 0),
    ],
)  # fmt: skip
def test_invalid_versions_are_unknown(value: object, version: int) -> None:
    assert parse_version(value) == version
