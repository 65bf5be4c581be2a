"""The platform's list: parsing of entries, paging, and sharing."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from granitewell.discovery.instances import ListedInstance, MalformedListError, parse_page
from granitewell.discovery.reader import InstanceReader, ListUnavailableError, SharedReader
from granitewell.domain.servers import LoadedModel, ServerState

ENTRY: dict[str, Any] = {
    "id": "i-1", "service": "svc", "address": "10.0.0.9:80", "zone": "z1", "version": "v1", "slots": 64,
    "state": "ready", "cold-remaining-ms": 0, "phase": "mixed",
    "models": [{"name": "m1", "version": 1, "adapters": ["a1"]}],
}  # fmt: skip


def test_an_entry_is_read_whole() -> None:
    page = parse_page({"instances": [ENTRY], "next-page-token": None})
    (one,) = page.instances
    assert (one.id, one.slots, one.state, one.remaining_ms) == ("i-1", 64, ServerState.READY, -1)
    assert one.models == (LoadedModel("m1", frozenset({"a1"}), version=1),)
    assert page.next_token is None


def test_a_draining_server_has_a_remaining_lifetime() -> None:
    entry = ENTRY | {"state": "draining", "remaining-ms": 1600}
    (one,) = parse_page({"instances": [entry]}).instances
    assert one.state is ServerState.DRAINING and one.remaining_ms == 1600


@pytest.mark.parametrize(
    "document", [None, [], {}, {"instances": 3}, {"instances": [3]}, {"instances": [{}]}]
)
def test_malformed_lists_are_rejected(document: object) -> None:
    with pytest.raises(MalformedListError):
        parse_page(document)


def read(handler: Any) -> Any:
    async def play() -> Any:
        app = web.Application()
        app.router.add_get("/instances", handler)
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            return await InstanceReader(f"{server.host}:{server.port}", session).read()

    return asyncio.run(play())


def test_pages_are_followed_to_the_last() -> None:
    async def handler(request: web.Request) -> web.Response:
        token = request.query.get("page-token")
        entry = ENTRY | {"id": f"i-{token or 0}"}
        return web.json_response({"instances": [entry], "next-page-token": None if token == "2" else "2"})

    assert [one.id for one in read(handler)] == ["i-0", "i-2"]


def test_a_fresh_list_is_shared_by_all_readers() -> None:
    class Reader:
        calls = 0

        async def read(self) -> list[ListedInstance]:
            self.calls += 1
            return []

    async def play() -> None:
        now = 10.0
        reader = Reader()
        shared = SharedReader(reader, 0.4, lambda: now)  # type: ignore[arg-type]
        first, second = await asyncio.gather(shared.read(), shared.read())
        assert first is second and first.asked_at == 10.0
        now = 10.4
        assert (await shared.read()).asked_at == 10.4
        assert reader.calls == 2

    asyncio.run(play())


def test_above_the_rate_limit_there_is_no_list() -> None:
    async def handler(request: web.Request) -> web.Response:
        return web.Response(status=429)

    with pytest.raises(ListUnavailableError):
        read(handler)


def test_an_answer_that_is_not_json_is_a_malformed_list() -> None:
    async def handler(request: web.Request) -> web.Response:
        return web.Response(body=b"{")

    with pytest.raises(MalformedListError):
        read(handler)
