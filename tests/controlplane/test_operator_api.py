"""The operator API over loopback sockets, against a scripted replica group."""

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
    """A clock that advances only by sleeps of at most 1 s; a test ends longer ones explicitly."""

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
    """A group of one node: applies what is proposed, unless a test sets `plan`."""

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
class ApiHarness:
    """One control node and its client."""

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


def run_scenario(scenario: Callable[[ApiHarness], Awaitable[None]], *taken: Change) -> None:
    """Run a scenario against a node whose store has accepted some changes."""

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
            await scenario(ApiHarness(store, group, time, client))

    asyncio.run(asyncio.wait_for(play(), TEST_BOUND_S))


FIRST = put_change(0, whole(5))


def test_changes_are_taken_and_read_back() -> None:
    async def scenario(harness: ApiHarness) -> None:
        first = await harness.put(0, whole(5))
        assert (first.status, await first.json()) == (200, {"version": 5})
        second = await harness.patch(5, patch(9, remove={"routes": ["b"]}))
        assert (second.status, await second.json()) == (200, {"version": 9})
        newest = await harness.get()
        assert newest.status == 200 and newest.content_type == "application/json"
        assert await newest.json() == whole(9, route("a"))
        assert [change.operation for change in harness.group.proposed] == [Operation.PUT, Operation.PATCH]

    run_scenario(scenario)


def test_before_the_first_configuration_there_is_none() -> None:
    async def scenario(harness: ApiHarness) -> None:
        answer = await harness.get()
        assert answer.status == 404 and "error" in await answer.json()

    run_scenario(scenario)


def test_stale_invalid_and_repeated_changes_are_answered_without_a_proposal() -> None:
    async def scenario(harness: ApiHarness) -> None:
        stale = await harness.put(4, whole(9))
        assert stale.status == 412 and (await stale.json())["version"] == 5
        invalid = await harness.patch(5, patch(9, {"routes": [route("c", timeout_ms=0)]}))
        assert invalid.status == 400
        assert (await invalid.json())["field"] == "upsert.routes[0].timeout-ms"
        unreadable = await harness.put(5, orjson.dumps(whole(9))[:-5])
        assert unreadable.status == 400 and (await unreadable.json())["field"] == "body"
        repeated = await harness.put(0, FIRST.body)
        assert (repeated.status, await repeated.json()) == (200, {"version": 5})
        assert harness.group.proposed == [] and harness.store.version == 5

    run_scenario(scenario, FIRST)


def test_a_change_whose_acknowledgement_was_lost_is_acknowledged_again() -> None:
    async def scenario(harness: ApiHarness) -> None:
        async def lost(data: bytes) -> object:
            harness.store.apply(1, data)
            raise ProposalLostError

        harness.group.plan = lost
        document = patch(9, {"routes": [route("c")]})
        unclear = await harness.patch(5, document)
        assert unclear.status == 503 and float(unclear.headers["Retry-After"]) > 0
        harness.group.plan = None
        assert (await harness.patch(9, patch(10))).status == 200
        again = await harness.patch(5, document)
        assert (again.status, await again.json()) == (200, {"version": 9, "current-version": 10})

    run_scenario(scenario, FIRST)


def test_a_body_that_was_taken_is_no_repeat_under_another_if_match() -> None:
    async def scenario(harness: ApiHarness) -> None:
        document = patch(9, {"routes": [route("c")]})
        assert (await harness.patch(5, document)).status == 200
        assert (await harness.patch(9, document)).status == 400
        assert (await harness.patch(9, patch(10))).status == 200
        for base in (0, 9, 4, 11):
            answer = await harness.patch(base, document)
            assert answer.status == 412 and (await answer.json())["version"] == 10
        assert (await harness.put(5, document)).status == 412
        assert (await (await harness.patch(5, document)).json())["version"] == 9

    run_scenario(scenario, FIRST)


def test_a_repeat_with_one_byte_altered_is_refused_and_changes_nothing() -> None:
    async def scenario(harness: ApiHarness) -> None:
        body = orjson.dumps(patch(9, {"routes": [route("c")]}))
        assert (await harness.patch(5, body)).status == 200
        for altered in (body + b" ", body[:-1], body.replace(b"500", b"501")):
            assert (await harness.patch(5, altered)).status == 412
        assert harness.store.version == 9 and (await harness.patch(5, body)).status == 200

    run_scenario(scenario, FIRST)


@pytest.mark.parametrize("version", [0, 4, 5, 2**63, 2**64])
def test_a_version_that_is_not_above_the_current_one_is_refused(version: int) -> None:
    async def scenario(harness: ApiHarness) -> None:
        bodies = [json.dumps(document).encode() for document in (patch(version), whole(version))]
        for answer in (await harness.patch(5, bodies[0]), await harness.put(5, bodies[1])):
            assert answer.status == 400 and (await answer.json())["field"] == "version"
        assert harness.store.version == 5 and harness.group.proposed == []

    run_scenario(scenario, FIRST)


def test_a_change_from_before_what_is_remembered_is_left_without_a_clear_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(history_module, "MAX_ACCEPTED_CHANGES", 1)

    async def scenario(harness: ApiHarness) -> None:
        assert (await harness.patch(5, patch(9))).status == 200
        for answer in (
            await harness.put(0, FIRST.body),
            await harness.put(0, whole(6)),
            await harness.patch(4, b""),
        ):
            assert answer.status == 503 and "Retry-After" in answer.headers
        assert [(await harness.patch(5, patch(9, owner=owner))).status for owner in ("me", "you")] == [
            412,
            412,
        ]
        assert (await harness.patch(5, patch(9))).status == 200

    run_scenario(scenario, FIRST)


def test_while_the_log_refuses_writes_only_what_is_certain_is_answered() -> None:
    """With full disks on a majority, nothing is committed, while the lease is still held."""

    async def scenario(harness: ApiHarness) -> None:
        async def no_room(data: bytes) -> object:
            raise ProposalLostError

        harness.group.plan = no_room
        change = patch(9, {"routes": [route("c")]})
        for answer in (
            await harness.patch(5, change),
            await harness.put(5, whole(9)),
            await harness.patch(5, change),
        ):
            assert answer.status == 503 and "Retry-After" in answer.headers
        assert await (await harness.get()).json() == whole(5)
        assert (await harness.put(0, FIRST.body)).status == 200  # accepted before
        assert (await harness.put(4, whole(9))).status == 412
        assert (await harness.put(5, whole(5))).status == 400
        harness.group.lease = False
        for answer in (
            await harness.put(0, FIRST.body),
            await harness.put(4, whole(9)),
            await harness.put(5, whole(5)),
        ):
            assert answer.status == 503
        harness.group.plan, harness.group.lease = None, True
        assert (await harness.patch(5, change)).status == 200

    run_scenario(scenario, FIRST)


def test_a_node_without_a_lease_rejects_only_what_no_node_can_accept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Other changes get a 503: they may have been accepted, or may be accepted beyond the partition."""
    monkeypatch.setattr(body_module, "MAX_BODY_BYTES", 1_000)

    async def scenario(harness: ApiHarness) -> None:
        harness.group.lease, harness.group.leader = False, None
        unreadable = [
            (428, await harness.send("PUT", whole(9), {})),
            (400, await harness.put("five", whole(9))),
            (413, await harness.put(5, b"x" * 1_001)),
            (405, await harness.client.post("/config")),
            (404, await harness.client.get("/configuration")),
        ]
        assert [answer.status for _, answer in unreadable] == [status for status, _ in unreadable]
        reader, writer = await raw(
            harness, HEAD + b"Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nabcde"
        )
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        for document in (FIRST.body[:900], b"", b"{", b"[]", patch(0), patch(2**63), patch(9), b"\xff"):
            for base in (0, 4, 5, 6, 2**63 - 1):
                assert (await harness.put(base, document)).status == 503
                assert (await harness.patch(base, document)).status == 503
        assert (await harness.get()).status == 503
        assert harness.group.proposed == []

    run_scenario(scenario, FIRST)


def test_before_the_first_configuration_a_node_without_a_lease_returns_503() -> None:
    async def scenario(harness: ApiHarness) -> None:
        harness.group.leases = [True, False]
        assert (await harness.get()).status == 503
        harness.group.lease, harness.group.leader = False, None
        assert (await harness.get()).status == 503
        harness.group.leader = f"{OTHER}:7660"
        assert (await harness.get()).status == 307

    run_scenario(scenario)


@pytest.mark.parametrize("error", [ProposalLostError(), TimeoutError()])
def test_a_proposal_without_outcome_gets_503_and_may_be_sent_again(error: Exception) -> None:
    async def scenario(harness: ApiHarness) -> None:
        async def lost(data: bytes) -> object:
            raise error

        harness.group.plan = lost
        assert (await harness.patch(5, patch(9))).status == 503
        harness.group.plan = None
        assert (await harness.patch(5, patch(9))).status == 200

    run_scenario(scenario, FIRST)


def test_the_result_of_applying_overrides_the_check() -> None:
    """Another leader's entry may be applied first."""

    async def scenario(harness: ApiHarness) -> None:
        async def raced(data: bytes) -> object:
            harness.store.apply(1, patch_change(5, patch(7)).encode())
            return harness.store.apply(2, data)

        harness.group.plan = raced
        answer = await harness.patch(5, patch(9))
        assert answer.status == 412 and (await answer.json())["version"] == 7

    run_scenario(scenario, FIRST)


def test_an_unknown_result_is_no_acknowledgement() -> None:
    async def scenario(harness: ApiHarness) -> None:
        async def strange(data: bytes) -> object:
            return None

        harness.group.plan = strange
        assert (await harness.patch(5, patch(9))).status == 503

    run_scenario(scenario, FIRST)


def test_two_changes_at_once_on_one_version() -> None:
    async def scenario(harness: ApiHarness) -> None:
        changes = [harness.patch(5, patch(9, {"routes": [route(f"r{number}")]})) for number in range(8)]
        answers = await asyncio.gather(*changes)
        assert sorted(answer.status for answer in answers) == [200] + [412] * 7
        assert len(harness.group.proposed) == 1

    run_scenario(scenario, FIRST)


def test_the_same_change_at_once_is_acknowledged_to_all() -> None:
    async def scenario(harness: ApiHarness) -> None:
        answers = await asyncio.gather(*(harness.patch(5, patch(9)) for _ in range(8)))
        assert [answer.status for answer in answers] == [200] * 8
        assert len(harness.group.proposed) == 1

    run_scenario(scenario, FIRST)


def test_a_follower_redirects_to_the_leaders_control_address() -> None:
    async def scenario(harness: ApiHarness) -> None:
        harness.group.lease, harness.group.leader = False, f"{OTHER}:7660"
        for answer in (
            await harness.get(),
            await harness.put(0, whole(5)),
            await harness.patch(1, b"nonsense"),
        ):
            assert answer.status == 307
            assert answer.headers["Location"] == f"http://{OTHER}:8146/config"
        assert harness.group.proposed == [] and harness.time.now == 0

    run_scenario(scenario, FIRST)


def test_a_node_that_loses_leadership_redirects_to_the_new_leader() -> None:
    async def scenario(harness: ApiHarness) -> None:
        async def deposed(data: bytes) -> object:
            harness.group.lease, harness.group.leader = False, f"{OTHER}:7660"
            raise NotLeaderError

        harness.group.plan = deposed
        answer = await harness.patch(5, patch(9))
        assert answer.status == 307 and answer.headers["Location"] == f"http://{OTHER}:8146/config"

    run_scenario(scenario, FIRST)


@pytest.mark.parametrize("leader", [None, f"{OWN}:7660"])
def test_without_a_leader_or_a_lease_the_answer_is_503(leader: str | None) -> None:
    """A leader without a lease does not redirect to itself."""

    async def scenario(harness: ApiHarness) -> None:
        harness.group.lease, harness.group.leader = False, leader
        for answer in (await harness.get(), await harness.put(0, whole(5)), await harness.patch(5, patch(9))):
            assert answer.status == 503 and "Retry-After" in answer.headers
        assert 2.4 <= harness.time.now < 2.6  # three waits, each under a second
        assert harness.group.proposed == []

    run_scenario(scenario, FIRST)


def test_without_a_successor_there_is_no_redirect() -> None:
    async def scenario(harness: ApiHarness) -> None:
        async def deposed(data: bytes) -> object:
            harness.group.lease = False
            raise NotLeaderError

        harness.group.plan = deposed
        assert (await harness.patch(5, patch(9))).status == 503

    run_scenario(scenario, FIRST)


@pytest.mark.parametrize(("leader", "lease", "status"), [(f"{OTHER}:7660", False, 307), (None, True, 200)])
def test_a_leader_that_becomes_known_in_time(leader: str | None, lease: bool, status: int) -> None:
    async def scenario(harness: ApiHarness) -> None:
        def elected() -> None:
            if harness.time.now > 0.5:
                harness.group.leader, harness.group.lease = leader, lease

        harness.time.on_sleep = elected
        harness.group.leader, harness.group.lease = None, False
        assert (await harness.get()).status == status
        assert 0.5 < harness.time.now < 0.6

    run_scenario(scenario, FIRST)


@pytest.mark.parametrize("method", ["get", "stale", "invalid", "repeated"])
def test_a_read_needs_the_lease_until_the_response_is_made(method: str) -> None:
    """The lease holds when the node decides to answer and has ended when the answer is made."""

    async def scenario(harness: ApiHarness) -> None:
        ways: dict[str, Callable[[], Awaitable[ClientResponse]]] = {
            "get": harness.get,
            "stale": lambda: harness.put(4, whole(9)),
            "invalid": lambda: harness.put(5, b"{"),
            "repeated": lambda: harness.put(0, FIRST.body),
        }
        asked = ways[method]
        harness.group.leases = [True, False] if method == "get" else [True, True, False]
        assert (await asked()).status == 503
        assert harness.group.leases == []
        assert (await asked()).status not in (503, 307)

    run_scenario(scenario, FIRST)


def test_a_lease_that_ends_while_a_change_is_queued() -> None:
    async def scenario(harness: ApiHarness) -> None:
        harness.group.leases = [True, False]
        assert (await harness.put(4, whole(9))).status == 503
        assert harness.group.proposed == []

    run_scenario(scenario, FIRST)


def test_one_proposal_at_a_time_and_a_bounded_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api_module, "MAX_QUEUED_CHANGES", 3)

    async def scenario(harness: ApiHarness) -> None:
        open_now, max_open = 0, 0
        go_on = asyncio.Event()

        async def slow(data: bytes) -> object:
            nonlocal open_now, max_open
            open_now += 1
            max_open = max(max_open, open_now)
            await go_on.wait()
            open_now -= 1
            return harness.store.apply(0, data)

        harness.group.plan = slow
        changes = [asyncio.create_task(harness.patch(5, patch(9 + number))) for number in range(6)]
        refused: set[asyncio.Task[ClientResponse]] = set()
        while len(refused) < 3:
            await asyncio.sleep(0)
            refused = {task for task in changes if task.done()}
        assert [task.result().status for task in refused] == [503] * 3
        go_on.set()
        others = [(await task).status for task in changes if task not in refused]
        assert sorted(others) == [200, 412, 412] and max_open == 1
        assert [(await harness.put(5, whole(9))).status for _ in range(5)] == [412] * 5

    run_scenario(scenario, FIRST)


def test_a_change_queued_for_too_long_gets_503() -> None:
    async def scenario(harness: ApiHarness) -> None:
        reached, go_on = asyncio.Event(), asyncio.Event()

        async def slow(data: bytes) -> object:
            reached.set()
            await go_on.wait()
            raise ProposalLostError

        harness.group.plan = slow
        first = asyncio.create_task(harness.patch(5, patch(9)))
        await reached.wait()
        second = asyncio.create_task(harness.patch(5, patch(10)))
        arrived = asyncio.Event()
        harness.time.on_sleep = arrived.set
        while len(harness.time.asleep) < 2:  # its body is being read
            await asyncio.sleep(0)
        while not all(ended.cancelled() for ended in harness.time.asleep):  # it has been read
            await asyncio.sleep(0)
        for _ in range(20):
            await asyncio.sleep(0)
        harness.time.now += 3
        go_on.set()
        assert ((await first).status, (await second).status) == (503, 503)
        assert len(harness.group.proposed) == 1

    run_scenario(scenario, FIRST)


@pytest.mark.parametrize("value", ["5", '"5"', 'W/"5"', " 5 ", "005"])
def test_forms_of_if_match_that_are_taken(value: str) -> None:
    async def scenario(harness: ApiHarness) -> None:
        assert (await harness.patch(value, patch(9))).status == 200

    run_scenario(scenario, FIRST)


@pytest.mark.parametrize(
    "value", ["*", "", "five", "-5", "5.0", '"5', '"5", "6"', "5,6", "\u0665", "9" * 19, "1" * 30, "0x5"]
)
def test_forms_of_if_match_that_are_refused(value: str) -> None:
    async def scenario(harness: ApiHarness) -> None:
        answer = await harness.patch(value, patch(9))
        assert answer.status == 400 and "error" in await answer.json()
        assert harness.store.version == 5

    run_scenario(scenario, FIRST)


def test_a_missing_if_match() -> None:
    async def scenario(harness: ApiHarness) -> None:
        answer = await harness.send("PUT", whole(9), {})
        assert answer.status == 428 and "error" in await answer.json()

    run_scenario(scenario, FIRST)


def test_unknown_paths_and_methods_get_json() -> None:
    async def scenario(harness: ApiHarness) -> None:
        missing = await harness.client.get("/configuration")
        assert missing.status == 404 and "error" in await missing.json()
        wrong = await harness.client.post("/config", data=b"{}")
        assert wrong.status == 405 and "error" in await wrong.json()
        assert set(wrong.headers["Allow"].split(",")) >= {"GET", "PUT", "PATCH"}

    run_scenario(scenario, FIRST)


def test_a_large_configuration_is_taken() -> None:
    """The default limit of aiohttp is 1 MiB."""

    async def scenario(harness: ApiHarness) -> None:
        routes = [route(f"r{number}", note="x" * 1_000) for number in range(2_000)]
        assert (await harness.put(5, whole(9, *routes))).status == 200
        assert len((await (await harness.get()).json())["routes"]) == 2_000

    run_scenario(scenario, FIRST)


def test_a_body_in_chunks_or_compressed_is_taken() -> None:
    async def scenario(harness: ApiHarness) -> None:
        async def chunks() -> Any:
            body = orjson.dumps(patch(9))
            yield body[:5]
            yield body[5:]

        headers = {"If-Match": "5"}
        answer = await harness.client.patch("/config", data=chunks(), headers=headers)
        assert answer.status == 200
        answer = await harness.client.patch(
            "/config", data=orjson.dumps(patch(10)), headers={"If-Match": "9"}, compress="gzip"
        )
        assert answer.status == 200

    run_scenario(scenario, FIRST)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_above_the_bound_is_refused(monkeypatch: pytest.MonkeyPatch, chunked: bool) -> None:
    monkeypatch.setattr(body_module, "MAX_BODY_BYTES", 1_000)

    async def scenario(harness: ApiHarness) -> None:
        async def chunks() -> Any:
            yield b"x" * 1_001

        data = chunks() if chunked else b"x" * 1_001
        answer = await harness.client.put("/config", data=data, headers={"If-Match": "5"})
        assert answer.status == 413 and "error" in await answer.json()
        assert (await harness.put(5, b"x" * 1_000)).status == 400

    run_scenario(scenario, FIRST)


async def raw(harness: ApiHarness, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection and send some bytes."""
    assert harness.client.server.port is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.client.server.port)
    writer.write(data)
    await writer.drain()
    return reader, writer


HEAD = b"PUT /config HTTP/1.1\r\nHost: x\r\nIf-Match: 5\r\n"


def test_an_incomplete_body_times_out_with_503() -> None:
    """It gets no clear answer.

    Operators count a 408 as a refusal at the third attempt, and the same change may have been taken when it
    was sent before.
    """

    async def scenario(harness: ApiHarness) -> None:
        reader, writer = await raw(harness, HEAD + b'Content-Length: 100\r\n\r\n{"version"')
        while not harness.time.asleep:
            await asyncio.sleep(0)
        harness.time.asleep[0].set_result(None)
        assert (await reader.readline()).split()[1] == b"503"
        writer.close()
        assert harness.store.version == 5 and harness.group.proposed == []

    run_scenario(scenario, FIRST)


def test_a_content_length_above_the_limit_is_rejected_at_once() -> None:
    async def scenario(harness: ApiHarness) -> None:
        reader, writer = await raw(harness, HEAD + b"Content-Length: 16777217\r\n\r\n")
        assert (await reader.readline()).split()[1] == b"413"
        writer.close()

    run_scenario(scenario, FIRST)


def test_more_than_one_if_match_is_refused() -> None:
    async def scenario(harness: ApiHarness) -> None:
        reader, writer = await raw(harness, HEAD + b"If-Match: 5\r\nContent-Length: 2\r\n\r\n{}")
        assert (await reader.readline()).split()[1] == b"400"
        assert b"If-Match" in await reader.read(1_000)
        writer.close()

    run_scenario(scenario, FIRST)


@pytest.mark.parametrize(
    "lines", [b"If-Match: 5\r\nIf-Match: 6\r\n", b"If-Match: \r\n", b"If-Match: " + b"5" * 100_000 + b"\r\n"]
)
def test_an_if_match_twice_empty_or_huge_is_refused_and_changes_nothing(lines: bytes) -> None:
    async def scenario(harness: ApiHarness) -> None:
        head = b"PATCH /config HTTP/1.1\r\nHost: x\r\n" + lines
        body = orjson.dumps(patch(9))
        reader, writer = await raw(harness, head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        assert harness.store.version == 5 and harness.group.proposed == []
        assert (await harness.patch(5, patch(9))).status == 200

    run_scenario(scenario, FIRST)


def test_the_memory_of_all_bodies_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BYTES", 1_500)

    async def scenario(harness: ApiHarness) -> None:
        half = HEAD + b"Content-Length: 2000\r\n\r\n" + b" " * 1_000
        _, first = await raw(harness, half)
        while not harness.time.asleep:
            await asyncio.sleep(0)
        for _ in range(20):
            await asyncio.sleep(0)
        reader, second = await raw(harness, half)
        assert (await reader.readline()).split()[1] == b"503"
        first.close()
        second.close()
        while not harness.time.asleep[0].cancelled():
            await asyncio.sleep(0)
        assert (await harness.put(5, b" " * 1_200 + orjson.dumps({}))).status == 400  # there is memory again

    run_scenario(scenario, FIRST)


def test_a_body_with_broken_framing_is_rejected() -> None:
    async def scenario(harness: ApiHarness) -> None:
        reader, writer = await raw(harness, HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n")
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        reader, writer = await raw(
            harness, HEAD + b"Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nabcde"
        )
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        assert harness.store.version == 5 and harness.group.proposed == []

    run_scenario(scenario, FIRST)


def test_a_client_that_disconnects_within_its_body_leaves_no_state() -> None:
    async def scenario(harness: ApiHarness) -> None:
        _, writer = await raw(harness, HEAD + b'Content-Length: 100\r\n\r\n{"version"')
        while not harness.time.asleep:
            await asyncio.sleep(0)
        writer.close()
        while not harness.time.asleep[0].cancelled():
            await asyncio.sleep(0)
        assert (await harness.patch(5, patch(9))).status == 200

    run_scenario(scenario, FIRST)


def test_the_check_is_not_made_a_second_time_by_the_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    read: list[Change] = []

    def counted(state: ConfigurationState, change: Change) -> ConfigurationState:
        read.append(change)
        return changed(state, change)

    monkeypatch.setattr(store_module, "changed", counted)

    async def scenario(harness: ApiHarness) -> None:
        assert (await harness.patch(5, patch(9))).status == 200
        assert read == [FIRST, patch_change(5, patch(9))]

    run_scenario(scenario, FIRST)


def test_the_result_of_a_group_is_the_stores() -> None:
    """The fake group must return the same as the real one: the result of apply."""
    store = store_of(FIRST)
    result = asyncio.run(FakeGroup(store).propose(patch_change(5, patch(9)).encode()))
    assert isinstance(result, ChangeResult) and result.version == 9
