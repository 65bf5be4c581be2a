"""The operator's API over real sockets on loopback, against a group that does what a test says."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
import pytest
from aiohttp import ClientResponse, web
from aiohttp.test_utils import TestClient, TestServer

from granitewell.controlplane.configuration import api as api_module
from granitewell.controlplane.configuration import body as body_module
from granitewell.controlplane.configuration import history as history_module
from granitewell.controlplane.configuration import store as store_module
from granitewell.controlplane.configuration.api import OperatorApi
from granitewell.controlplane.configuration.state import ConfigurationState, changed
from granitewell.controlplane.configuration.store import Change, ChangeResult, ConfigurationStore, Operation
from granitewell.domain.errors import NotLeaderError, ProposalLostError
from tests.controlplane.test_configuration_examples import (
    patch,
    patch_change,
    put_change,
    route,
    store_of,
    whole,
)

OWN = "10.0.0.1"
OTHER = "10.0.0.2"
TEST_BOUND_S = 10.0

Client = TestClient[web.Request, web.Application]


class FakeTime:
    """A clock that moves only by sleeping, and only for those who sleep for short.

    Longer sleeps never end unless a test ends them.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.asleep: list[asyncio.Future[None]] = []
        self.on_sleep: Callable[[], None] = lambda: None

    def __call__(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        if seconds > 1:
            ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.asleep.append(ended)
            await ended
            return
        self.now += seconds
        self.on_sleep()
        await asyncio.sleep(0)


@dataclass
class FakeGroup:
    """A group of one: what is proposed is applied, unless a test has other plans."""

    store: ConfigurationStore
    leader: str | None = f"{OWN}:7660"
    leases: list[bool] = field(default_factory=list)
    lease: bool = True
    proposed: list[Change] = field(default_factory=list)
    plan: Callable[[bytes], Awaitable[object]] | None = None

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        self.proposed.append(Change.decode(data))
        await asyncio.sleep(0)
        return await self.plan(data) if self.plan else self.store.apply(len(self.proposed), data)

    def holds_lease(self) -> bool:
        return self.leases.pop(0) if self.leases else self.lease

    @property
    def leader_address(self) -> str | None:
        return self.leader


@dataclass
class Rig:
    """One control node and a client of it."""

    store: ConfigurationStore
    group: FakeGroup
    time: FakeTime
    client: Client

    async def put(self, base: object, document: Any, **headers: str) -> ClientResponse:
        return await self.send("PUT", document, {"If-Match": str(base)} | headers)

    async def patch(self, base: object, document: Any) -> ClientResponse:
        return await self.send("PATCH", document, {"If-Match": str(base)})

    async def get(self) -> ClientResponse:
        return await self.client.get("/config", allow_redirects=False)

    async def send(self, method: str, document: Any, headers: dict[str, str]) -> ClientResponse:
        body = document if isinstance(document, bytes) else orjson.dumps(document)
        return await self.client.request(method, "/config", data=body, headers=headers, allow_redirects=False)


def played(story: Callable[[Rig], Awaitable[None]], *taken: Change) -> None:
    """Plays a story against a node whose store has taken some changes."""

    async def play() -> None:
        store = store_of(*taken)
        group, time = FakeGroup(store), FakeTime()
        app = web.Application()
        api = OperatorApi(
            store,
            group,
            lambda internal: internal.replace(":7660", ":8146"),
            time,
            own_address=f"{OWN}:8146",
            sleep=time.sleep,
        )
        api.routes(app)
        async with TestClient(TestServer(app)) as client:
            await story(Rig(store, group, time, client))

    asyncio.run(asyncio.wait_for(play(), TEST_BOUND_S))


FIRST = put_change(0, whole(5))


def test_changes_are_taken_and_read_back() -> None:
    async def story(rig: Rig) -> None:
        first = await rig.put(0, whole(5))
        assert (first.status, await first.json()) == (200, {"version": 5})
        second = await rig.patch(5, patch(9, remove={"routes": ["b"]}))
        assert (second.status, await second.json()) == (200, {"version": 9})
        newest = await rig.get()
        assert newest.status == 200 and newest.content_type == "application/json"
        assert await newest.json() == whole(9, route("a"))
        assert [change.operation for change in rig.group.proposed] == [Operation.PUT, Operation.PATCH]

    played(story)


def test_before_the_first_configuration_there_is_none() -> None:
    async def story(rig: Rig) -> None:
        answer = await rig.get()
        assert answer.status == 404 and "error" in await answer.json()

    played(story)


def test_stale_invalid_and_repeated_changes_are_answered_without_a_proposal() -> None:
    async def story(rig: Rig) -> None:
        stale = await rig.put(4, whole(9))
        assert stale.status == 412 and (await stale.json())["version"] == 5
        invalid = await rig.patch(5, patch(9, {"routes": [route("c", timeout_ms=0)]}))
        assert invalid.status == 400
        assert (await invalid.json())["field"] == "upsert.routes[0].timeout-ms"
        unreadable = await rig.put(5, orjson.dumps(whole(9))[:-5])
        assert unreadable.status == 400 and (await unreadable.json())["field"] == "body"
        repeated = await rig.put(0, FIRST.body)
        assert (repeated.status, await repeated.json()) == (200, {"version": 5})
        assert rig.group.proposed == [] and rig.store.version == 5

    played(story, FIRST)


def test_a_change_whose_acknowledgement_was_lost_is_acknowledged_again() -> None:
    async def story(rig: Rig) -> None:
        async def lost(data: bytes) -> object:
            rig.store.apply(1, data)
            raise ProposalLostError

        rig.group.plan = lost
        document = patch(9, {"routes": [route("c")]})
        unclear = await rig.patch(5, document)
        assert unclear.status == 503 and float(unclear.headers["Retry-After"]) > 0
        rig.group.plan = None
        assert (await rig.patch(9, patch(10))).status == 200
        again = await rig.patch(5, document)
        assert (again.status, await again.json()) == (200, {"version": 9, "current-version": 10})

    played(story, FIRST)


def test_a_body_that_was_taken_is_no_repeat_under_another_if_match() -> None:
    async def story(rig: Rig) -> None:
        document = patch(9, {"routes": [route("c")]})
        assert (await rig.patch(5, document)).status == 200
        assert (await rig.patch(9, document)).status == 400
        assert (await rig.patch(9, patch(10))).status == 200
        for base in (0, 9, 4, 11):
            answer = await rig.patch(base, document)
            assert answer.status == 412 and (await answer.json())["version"] == 10
        assert (await rig.put(5, document)).status == 412
        assert (await (await rig.patch(5, document)).json())["version"] == 9

    played(story, FIRST)


def test_a_repeat_with_one_byte_altered_is_refused_and_changes_nothing() -> None:
    async def story(rig: Rig) -> None:
        body = orjson.dumps(patch(9, {"routes": [route("c")]}))
        assert (await rig.patch(5, body)).status == 200
        for altered in (body + b" ", body[:-1], body.replace(b"500", b"501")):
            assert (await rig.patch(5, altered)).status == 412
        assert rig.store.version == 9 and (await rig.patch(5, body)).status == 200

    played(story, FIRST)


@pytest.mark.parametrize("version", [0, 4, 5, 2**63, 2**64])
def test_a_version_that_is_not_above_the_current_one_is_refused(version: int) -> None:
    async def story(rig: Rig) -> None:
        bodies = [json.dumps(document).encode() for document in (patch(version), whole(version))]
        for answer in (await rig.patch(5, bodies[0]), await rig.put(5, bodies[1])):
            assert answer.status == 400 and (await answer.json())["field"] == "version"
        assert rig.store.version == 5 and rig.group.proposed == []

    played(story, FIRST)


def test_a_change_from_before_what_is_remembered_is_left_without_a_clear_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(history_module, "MAX_ACCEPTED_CHANGES", 1)

    async def story(rig: Rig) -> None:
        assert (await rig.patch(5, patch(9))).status == 200
        for answer in (await rig.put(0, FIRST.body), await rig.put(0, whole(6)), await rig.patch(4, b"")):
            assert answer.status == 503 and "Retry-After" in answer.headers
        assert [(await rig.patch(5, patch(9, owner=owner))).status for owner in ("me", "you")] == [412, 412]
        assert (await rig.patch(5, patch(9))).status == 200

    played(story, FIRST)


def test_while_the_log_refuses_writes_only_what_is_certain_is_answered() -> None:
    """The disks of a majority are full: nothing is committed, and the lease is held as before."""

    async def story(rig: Rig) -> None:
        async def no_room(data: bytes) -> object:
            raise ProposalLostError

        rig.group.plan = no_room
        change = patch(9, {"routes": [route("c")]})
        for answer in (await rig.patch(5, change), await rig.put(5, whole(9)), await rig.patch(5, change)):
            assert answer.status == 503 and "Retry-After" in answer.headers
        assert await (await rig.get()).json() == whole(5)
        assert (await rig.put(0, FIRST.body)).status == 200  # taken before
        assert (await rig.put(4, whole(9))).status == 412
        assert (await rig.put(5, whole(5))).status == 400
        rig.group.lease = False
        for answer in (await rig.put(0, FIRST.body), await rig.put(4, whole(9)), await rig.put(5, whole(5))):
            assert answer.status == 503
        rig.group.plan, rig.group.lease = None, True
        assert (await rig.patch(5, change)).status == 200

    played(story, FIRST)


def test_a_node_that_leads_nobody_refuses_only_what_no_node_can_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All else is left without a clear answer: it may have been taken, or be taken on the other side."""
    monkeypatch.setattr(body_module, "MAX_BODY_BYTES", 1_000)

    async def story(rig: Rig) -> None:
        rig.group.lease, rig.group.leader = False, None
        unreadable = [
            (428, await rig.send("PUT", whole(9), {})),
            (400, await rig.put("five", whole(9))),
            (413, await rig.put(5, b"x" * 1_001)),
            (405, await rig.client.post("/config")),
            (404, await rig.client.get("/configuration")),
        ]
        assert [answer.status for _, answer in unreadable] == [status for status, _ in unreadable]
        reader, writer = await raw(rig, HEAD + b"Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nabcde")
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        for document in (FIRST.body[:900], b"", b"{", b"[]", patch(0), patch(2**63), patch(9), b"\xff"):
            for base in (0, 4, 5, 6, 2**63 - 1):
                assert (await rig.put(base, document)).status == 503
                assert (await rig.patch(base, document)).status == 503
        assert (await rig.get()).status == 503
        assert rig.group.proposed == []

    played(story, FIRST)


def test_before_the_first_configuration_a_node_without_a_lease_says_nothing_of_it() -> None:
    async def story(rig: Rig) -> None:
        rig.group.leases = [True, False]
        assert (await rig.get()).status == 503
        rig.group.lease, rig.group.leader = False, None
        assert (await rig.get()).status == 503
        rig.group.leader = f"{OTHER}:7660"
        assert (await rig.get()).status == 307

    played(story)


@pytest.mark.parametrize("error", [ProposalLostError(), TimeoutError()])
def test_a_proposal_without_outcome_is_unclear_and_may_be_sent_again(error: Exception) -> None:
    async def story(rig: Rig) -> None:
        async def lost(data: bytes) -> object:
            raise error

        rig.group.plan = lost
        assert (await rig.patch(5, patch(9))).status == 503
        rig.group.plan = None
        assert (await rig.patch(5, patch(9))).status == 200

    played(story, FIRST)


def test_what_applying_says_is_the_answer_even_if_the_check_said_otherwise() -> None:
    """Another leader's entry may come first."""

    async def story(rig: Rig) -> None:
        async def raced(data: bytes) -> object:
            rig.store.apply(1, patch_change(5, patch(7)).encode())
            return rig.store.apply(2, data)

        rig.group.plan = raced
        answer = await rig.patch(5, patch(9))
        assert answer.status == 412 and (await answer.json())["version"] == 7

    played(story, FIRST)


def test_an_unknown_result_is_no_acknowledgement() -> None:
    async def story(rig: Rig) -> None:
        async def strange(data: bytes) -> object:
            return None

        rig.group.plan = strange
        assert (await rig.patch(5, patch(9))).status == 503

    played(story, FIRST)


def test_two_changes_at_once_on_one_version() -> None:
    async def story(rig: Rig) -> None:
        changes = [rig.patch(5, patch(9, {"routes": [route(f"r{number}")]})) for number in range(8)]
        answers = await asyncio.gather(*changes)
        assert sorted(answer.status for answer in answers) == [200] + [412] * 7
        assert len(rig.group.proposed) == 1

    played(story, FIRST)


def test_the_same_change_at_once_is_acknowledged_to_all() -> None:
    async def story(rig: Rig) -> None:
        answers = await asyncio.gather(*(rig.patch(5, patch(9)) for _ in range(8)))
        assert [answer.status for answer in answers] == [200] * 8
        assert len(rig.group.proposed) == 1

    played(story, FIRST)


def test_a_follower_points_at_the_leaders_control_address() -> None:
    async def story(rig: Rig) -> None:
        rig.group.lease, rig.group.leader = False, f"{OTHER}:7660"
        for answer in (await rig.get(), await rig.put(0, whole(5)), await rig.patch(1, b"nonsense")):
            assert answer.status == 307
            assert answer.headers["Location"] == f"http://{OTHER}:8146/config"
        assert rig.group.proposed == [] and rig.time.now == 0

    played(story, FIRST)


def test_a_node_that_ceases_to_lead_points_at_the_new_leader() -> None:
    async def story(rig: Rig) -> None:
        async def deposed(data: bytes) -> object:
            rig.group.lease, rig.group.leader = False, f"{OTHER}:7660"
            raise NotLeaderError

        rig.group.plan = deposed
        answer = await rig.patch(5, patch(9))
        assert answer.status == 307 and answer.headers["Location"] == f"http://{OTHER}:8146/config"

    played(story, FIRST)


@pytest.mark.parametrize("leader", [None, f"{OWN}:7660"])
def test_without_a_leader_or_a_lease_the_answer_is_to_come_again(leader: str | None) -> None:
    """Also where this node leads without a lease: nobody is pointed at the node that they asked."""

    async def story(rig: Rig) -> None:
        rig.group.lease, rig.group.leader = False, leader
        for answer in (await rig.get(), await rig.put(0, whole(5)), await rig.patch(5, patch(9))):
            assert answer.status == 503 and "Retry-After" in answer.headers
        assert 2.4 <= rig.time.now < 2.6  # three waits, each under a second
        assert rig.group.proposed == []

    played(story, FIRST)


def test_a_node_that_stops_leading_without_a_successor_points_at_nobody() -> None:
    async def story(rig: Rig) -> None:
        async def deposed(data: bytes) -> object:
            rig.group.lease = False
            raise NotLeaderError

        rig.group.plan = deposed
        assert (await rig.patch(5, patch(9))).status == 503

    played(story, FIRST)


@pytest.mark.parametrize(("leader", "lease", "status"), [(f"{OTHER}:7660", False, 307), (None, True, 200)])
def test_a_leader_that_becomes_known_in_time(leader: str | None, lease: bool, status: int) -> None:
    async def story(rig: Rig) -> None:
        def elected() -> None:
            if rig.time.now > 0.5:
                rig.group.leader, rig.group.lease = leader, lease

        rig.time.on_sleep = elected
        rig.group.leader, rig.group.lease = None, False
        assert (await rig.get()).status == status
        assert 0.5 < rig.time.now < 0.6

    played(story, FIRST)


@pytest.mark.parametrize("method", ["get", "stale", "invalid", "repeated"])
def test_an_answer_from_state_needs_the_lease_to_its_end(method: str) -> None:
    """The lease holds when the node decides to answer and has ended when the answer is made."""

    async def story(rig: Rig) -> None:
        ways: dict[str, Callable[[], Awaitable[ClientResponse]]] = {
            "get": rig.get,
            "stale": lambda: rig.put(4, whole(9)),
            "invalid": lambda: rig.put(5, b"{"),
            "repeated": lambda: rig.put(0, FIRST.body),
        }
        asked = ways[method]
        rig.group.leases = [True, False] if method == "get" else [True, True, False]
        assert (await asked()).status == 503
        assert rig.group.leases == []
        assert (await asked()).status not in (503, 307)

    played(story, FIRST)


def test_a_lease_that_ends_while_a_change_waits_for_its_turn() -> None:
    async def story(rig: Rig) -> None:
        rig.group.leases = [True, False]
        assert (await rig.put(4, whole(9))).status == 503
        assert rig.group.proposed == []

    played(story, FIRST)


def test_one_proposal_at_a_time_and_a_bound_on_those_that_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api_module, "MAX_QUEUED_CHANGES", 3)

    async def story(rig: Rig) -> None:
        open_now, max_open = 0, 0
        go_on = asyncio.Event()

        async def slow(data: bytes) -> object:
            nonlocal open_now, max_open
            open_now += 1
            max_open = max(max_open, open_now)
            await go_on.wait()
            open_now -= 1
            return rig.store.apply(0, data)

        rig.group.plan = slow
        changes = [asyncio.create_task(rig.patch(5, patch(9 + number))) for number in range(6)]
        refused: set[asyncio.Task[ClientResponse]] = set()
        while len(refused) < 3:
            await asyncio.sleep(0)
            refused = {task for task in changes if task.done()}
        assert [task.result().status for task in refused] == [503] * 3
        go_on.set()
        others = [(await task).status for task in changes if task not in refused]
        assert sorted(others) == [200, 412, 412] and max_open == 1
        assert [(await rig.put(5, whole(9))).status for _ in range(5)] == [412] * 5

    played(story, FIRST)


def test_a_change_that_waited_too_long_for_its_turn_is_sent_away() -> None:
    async def story(rig: Rig) -> None:
        reached, go_on = asyncio.Event(), asyncio.Event()

        async def slow(data: bytes) -> object:
            reached.set()
            await go_on.wait()
            raise ProposalLostError

        rig.group.plan = slow
        first = asyncio.create_task(rig.patch(5, patch(9)))
        await reached.wait()
        second = asyncio.create_task(rig.patch(5, patch(10)))
        arrived = asyncio.Event()
        rig.time.on_sleep = arrived.set
        while len(rig.time.asleep) < 2:  # its body is being read
            await asyncio.sleep(0)
        while not all(ended.cancelled() for ended in rig.time.asleep):  # it has been read
            await asyncio.sleep(0)
        for _ in range(20):
            await asyncio.sleep(0)
        rig.time.now += 3
        go_on.set()
        assert ((await first).status, (await second).status) == (503, 503)
        assert len(rig.group.proposed) == 1

    played(story, FIRST)


@pytest.mark.parametrize("value", ["5", '"5"', 'W/"5"', " 5 ", "005"])
def test_forms_of_if_match_that_are_taken(value: str) -> None:
    async def story(rig: Rig) -> None:
        assert (await rig.patch(value, patch(9))).status == 200

    played(story, FIRST)


@pytest.mark.parametrize(
    "value", ["*", "", "five", "-5", "5.0", '"5', '"5", "6"', "5,6", "\u0665", "9" * 19, "1" * 30, "0x5"]
)
def test_forms_of_if_match_that_are_refused(value: str) -> None:
    async def story(rig: Rig) -> None:
        answer = await rig.patch(value, patch(9))
        assert answer.status == 400 and "error" in await answer.json()
        assert rig.store.version == 5

    played(story, FIRST)


def test_a_missing_if_match() -> None:
    async def story(rig: Rig) -> None:
        answer = await rig.send("PUT", whole(9), {})
        assert answer.status == 428 and "error" in await answer.json()

    played(story, FIRST)


def test_unknown_paths_and_methods_get_json() -> None:
    async def story(rig: Rig) -> None:
        missing = await rig.client.get("/configuration")
        assert missing.status == 404 and "error" in await missing.json()
        wrong = await rig.client.post("/config", data=b"{}")
        assert wrong.status == 405 and "error" in await wrong.json()
        assert set(wrong.headers["Allow"].split(",")) >= {"GET", "PUT", "PATCH"}

    played(story, FIRST)


def test_a_large_configuration_is_taken() -> None:
    """Above the library's own bound of 1 MiB."""

    async def story(rig: Rig) -> None:
        routes = [route(f"r{number}", note="x" * 1_000) for number in range(2_000)]
        assert (await rig.put(5, whole(9, *routes))).status == 200
        assert len((await (await rig.get()).json())["routes"]) == 2_000

    played(story, FIRST)


def test_a_body_in_chunks_or_compressed_is_taken() -> None:
    async def story(rig: Rig) -> None:
        async def chunks() -> Any:
            body = orjson.dumps(patch(9))
            yield body[:5]
            yield body[5:]

        headers = {"If-Match": "5"}
        answer = await rig.client.patch("/config", data=chunks(), headers=headers)
        assert answer.status == 200
        answer = await rig.client.patch(
            "/config", data=orjson.dumps(patch(10)), headers={"If-Match": "9"}, compress="gzip"
        )
        assert answer.status == 200

    played(story, FIRST)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_above_the_bound_is_refused(monkeypatch: pytest.MonkeyPatch, chunked: bool) -> None:
    monkeypatch.setattr(body_module, "MAX_BODY_BYTES", 1_000)

    async def story(rig: Rig) -> None:
        async def chunks() -> Any:
            yield b"x" * 1_001

        data = chunks() if chunked else b"x" * 1_001
        answer = await rig.client.put("/config", data=data, headers={"If-Match": "5"})
        assert answer.status == 413 and "error" in await answer.json()
        assert (await rig.put(5, b"x" * 1_000)).status == 400

    played(story, FIRST)


async def raw(rig: Rig, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection on which some bytes were sent."""
    assert rig.client.server.port is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.client.server.port)
    writer.write(data)
    await writer.drain()
    return reader, writer


HEAD = b"PUT /config HTTP/1.1\r\nHost: x\r\nIf-Match: 5\r\n"


def test_half_a_body_is_waited_for_only_so_long() -> None:
    """It gets no clear answer.

    Operators count a 408 as a refusal at the third attempt, and the same change may have been taken when it
    was sent before.
    """

    async def story(rig: Rig) -> None:
        reader, writer = await raw(rig, HEAD + b'Content-Length: 100\r\n\r\n{"version"')
        while not rig.time.asleep:
            await asyncio.sleep(0)
        rig.time.asleep[0].set_result(None)
        assert (await reader.readline()).split()[1] == b"503"
        writer.close()
        assert rig.store.version == 5 and rig.group.proposed == []

    played(story, FIRST)


def test_a_body_that_is_announced_too_large_is_not_waited_for() -> None:
    async def story(rig: Rig) -> None:
        reader, writer = await raw(rig, HEAD + b"Content-Length: 16777217\r\n\r\n")
        assert (await reader.readline()).split()[1] == b"413"
        writer.close()

    played(story, FIRST)


def test_more_than_one_if_match_is_refused() -> None:
    async def story(rig: Rig) -> None:
        reader, writer = await raw(rig, HEAD + b"If-Match: 5\r\nContent-Length: 2\r\n\r\n{}")
        assert (await reader.readline()).split()[1] == b"400"
        assert b"If-Match" in await reader.read(1_000)
        writer.close()

    played(story, FIRST)


@pytest.mark.parametrize(
    "lines", [b"If-Match: 5\r\nIf-Match: 6\r\n", b"If-Match: \r\n", b"If-Match: " + b"5" * 100_000 + b"\r\n"]
)
def test_an_if_match_twice_empty_or_huge_is_refused_and_changes_nothing(lines: bytes) -> None:
    async def story(rig: Rig) -> None:
        head = b"PATCH /config HTTP/1.1\r\nHost: x\r\n" + lines
        body = orjson.dumps(patch(9))
        reader, writer = await raw(rig, head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        assert rig.store.version == 5 and rig.group.proposed == []
        assert (await rig.patch(5, patch(9))).status == 200

    played(story, FIRST)


def test_bodies_together_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BYTES", 1_500)

    async def story(rig: Rig) -> None:
        half = HEAD + b"Content-Length: 2000\r\n\r\n" + b" " * 1_000
        _, first = await raw(rig, half)
        while not rig.time.asleep:
            await asyncio.sleep(0)
        for _ in range(20):
            await asyncio.sleep(0)
        reader, second = await raw(rig, half)
        assert (await reader.readline()).split()[1] == b"503"
        first.close()
        second.close()
        while not rig.time.asleep[0].cancelled():
            await asyncio.sleep(0)
        assert (await rig.put(5, b" " * 1_200 + orjson.dumps({}))).status == 400  # there is room again

    played(story, FIRST)


def test_a_body_that_breaks_its_framing_is_no_change() -> None:
    async def story(rig: Rig) -> None:
        reader, writer = await raw(rig, HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n")
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        reader, writer = await raw(rig, HEAD + b"Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nabcde")
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        assert rig.store.version == 5 and rig.group.proposed == []

    played(story, FIRST)


def test_a_client_that_goes_away_within_its_body_leaves_nothing_behind() -> None:
    async def story(rig: Rig) -> None:
        _, writer = await raw(rig, HEAD + b'Content-Length: 100\r\n\r\n{"version"')
        while not rig.time.asleep:
            await asyncio.sleep(0)
        writer.close()
        while not rig.time.asleep[0].cancelled():
            await asyncio.sleep(0)
        assert (await rig.patch(5, patch(9))).status == 200

    played(story, FIRST)


def test_the_check_is_not_made_a_second_time_by_the_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    read: list[Change] = []

    def counted(state: ConfigurationState, change: Change) -> ConfigurationState:
        read.append(change)
        return changed(state, change)

    monkeypatch.setattr(store_module, "changed", counted)

    async def story(rig: Rig) -> None:
        assert (await rig.patch(5, patch(9))).status == 200
        assert read == [FIRST, patch_change(5, patch(9))]

    played(story, FIRST)


def test_the_result_of_a_group_is_the_stores() -> None:
    """The fake group must give what the real one gives: the result of apply."""
    store = store_of(FIRST)
    result = asyncio.run(FakeGroup(store).propose(patch_change(5, patch(9)).encode()))
    assert isinstance(result, ChangeResult) and result.version == 9
