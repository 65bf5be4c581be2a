"""Publication: tables of watchers converge to the owner's table, and long-polls."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from random import Random
from typing import Any

import pytest

from granitewell.controlplane.ownership.processes import ANNOUNCEMENT_INTERVAL_S
from granitewell.controlplane.publication import table as table_module
from granitewell.controlplane.publication.publisher import (
    EdgeCounter,
    Publisher,
    StaleReplicaError,
    members_digest,
    update_from_message,
)
from granitewell.controlplane.publication.table import ServerTable, Update, Version
from granitewell.domain.servers import LoadedModel, Server, ServerState
from granitewell.rpc.messages import TableVersion, WatchReply, WatchRequest, decode, encode


def server(name: str, *models: str) -> Server:
    return Server(
        name, "svc", "10.0.0.1:80", "z", 4, ServerState.READY, -1, {m: LoadedModel(m) for m in models}
    )


def random_servers(rng: Random) -> list[Server]:
    return [server(f"s{n}", *rng.sample("abcd", rng.randrange(3))) for n in range(8) if rng.random() < 0.7]


class Watcher:
    """Applies updates to its servers, like an edge."""

    def __init__(self) -> None:
        self.version = Version()
        self.servers: dict[str, Server] = {}

    def take(self, update: Update) -> None:
        if update.is_complete:
            self.servers = {}
        for key in update.removed:
            self.servers.pop(key, None)
        self.servers.update({one.id: one for one in update.changed})
        self.version = update.version


def play(seed: int, max_removed: int = 2_000) -> None:
    """Play an owner, a copy, and watchers that poll either of them at random; owners change."""
    rng = Random(seed)
    owner, copy, watchers = ServerTable(), ServerTable(), [Watcher() for _ in range(3)]
    epoch = 1
    owner.begin(epoch)
    for step in range(120):
        if rng.random() < 0.05:
            epoch += rng.random() < 0.5  # otherwise the lease ends and is renewed within the term
            owner.begin(epoch)
        if rng.random() < 0.5:
            owner.replace(random_servers(rng), float(step))
        if rng.random() < 0.5:
            copy.update(owner.since(copy.version), owner.listed_at)
        watcher = rng.choice(watchers)
        source = rng.choice([owner, copy])
        if source.version >= watcher.version and source.version != Version():
            watcher.take(source.since(watcher.version))
            assert watcher.servers == dict(source.servers), f"seed {seed}, step {step}"
            assert watcher.version == source.version


@pytest.mark.parametrize("block", range(8))
def test_watchers_converge_to_the_owners_table(block: int) -> None:
    for seed in range(block * 50, block * 50 + 50):
        play(seed)


def test_removals_are_bounded_and_an_older_watcher_gets_the_complete_table(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(table_module, "MAX_REMEMBERED_REMOVALS", 2)
    for seed in range(100):
        play(seed)


def test_a_table_that_forgets_removals_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ServerTable.since

    def since(self: ServerTable, version: Version) -> Update:
        update = real(self, version)
        return Update(update.version, update.is_complete, update.changed, ())

    monkeypatch.setattr(ServerTable, "since", since)
    with pytest.raises(AssertionError):
        for seed in range(100):
            play(seed)


def test_an_owner_that_regains_its_lease_continues_the_epoch() -> None:
    owner, copy = ServerTable(), ServerTable()
    owner.begin(3)
    for number in range(5):
        owner.replace([server(f"s{number}")], 1.0)
    copy.update(owner.since(copy.version), 1.0)
    owner.begin(3)
    owner.replace([server("new")], 2.0)
    copy.update(owner.since(copy.version), 2.0)
    assert set(copy.servers) == {"new"} and copy.version == owner.version


def test_a_copy_remembers_the_models_of_each_server_for_a_later_owner() -> None:
    owner, copy = ServerTable(), ServerTable()
    owner.begin(3)
    for models in (("m", "n"), ("n",), ("o",)):
        owner.replace([server("a", *models)], 1.0)
        copy.update(owner.since(copy.version), 1.0)
    assert copy.models_before("a") == {"m", "n", "o"}
    copy.begin(4)
    assert copy.models_before("a") == {"m", "n", "o"}
    copy.replace([], 2.0)
    assert copy.models_before("a") == frozenset()


def test_an_unchanged_list_is_no_change() -> None:
    table = ServerTable()
    table.begin(3)
    assert table.replace([server("a", "m")], 1.0)
    version = table.version
    assert not table.replace([server("a", "m")], 2.0)
    assert table.version == version
    assert table.listed_at == 2.0


# --- Long-polls ---------------------------------------------------------------------------------------------


@dataclass
class Delta:
    version: int
    is_complete: bool = True
    documents: tuple[bytes, ...] = (b"{}",)


class FakeStore:
    version = 0

    def changes_since(self, version: int) -> Delta:
        return Delta(self.version)


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def publisher(contact: float = 0.0) -> tuple[Publisher, FakeStore, ServerTable, EdgeCounter, Clock]:
    store, table, edges, clock = FakeStore(), ServerTable(), EdgeCounter(), Clock()
    made = Publisher(store, {0: table}, lambda: ["10.0.0.1:7660"], lambda: contact, edges, clock)
    return made, store, table, edges, clock


def request(edge: bool = True, version: int = 0, hold_ms: int = 0, **more: Any) -> Any:
    return WatchRequest(
        node="e1", zone="z", edge=edge, configuration_version=version, hold_ms=hold_ms,
        tables=more.get("tables", []), members_digest=more.get("digest", 0),
        members_only=more.get("members_only", False),
    )  # fmt: skip


def over_the_wire(reply: Any) -> Any:
    return decode(WatchReply, encode(reply))


def test_a_new_watcher_gets_everything_at_once() -> None:
    made, store, table, _, clock = publisher()
    store.version = 7
    table.begin(2)
    table.replace([server("a", "m")], clock.now - 0.25)
    reply = over_the_wire(asyncio.run(made.watch(request(hold_ms=1000))))
    assert reply.configuration.version == 7
    assert reply.control_nodes == ["10.0.0.1:7660"]
    update = update_from_message(reply.tables[0])
    assert update.is_complete and [one.id for one in update.changed] == ["a"]
    assert reply.tables[0].list_age_ms == 250
    assert reply.edges == 1


def test_a_current_watcher_waits_for_a_change() -> None:
    made, _, table, _, clock = publisher()
    table.begin(2)
    table.replace([server("a")], clock.now)
    version = TableVersion(shard=0, epoch=2, sequence=table.version.sequence)
    asked = request(hold_ms=1000, tables=[version], digest=members_digest(["10.0.0.1:7660"]))

    async def play_it() -> Any:
        task = asyncio.create_task(made.watch(asked))
        await asyncio.sleep(0)
        assert not task.done()
        table.replace([server("a"), server("b")], clock.now)
        made.changed()
        return await task

    reply = asyncio.run(play_it())
    assert [one.id for one in update_from_message(reply.tables[0]).changed] == ["b"]
    assert not reply.tables[0].is_complete


def test_a_members_only_watcher_gets_members_and_is_not_counted_as_an_edge() -> None:
    made, store, table, edges, clock = publisher()
    store.version = 7
    table.begin(2)
    table.replace([server("a")], clock.now)
    reply = over_the_wire(asyncio.run(made.watch(request(edge=False, hold_ms=1000, members_only=True))))
    assert reply.control_nodes == ["10.0.0.1:7660"]
    assert reply.configuration is None and not reply.tables
    assert edges.local_count(clock.now) == 0


def test_a_replica_that_has_not_joined_answers_no_watcher() -> None:
    """An empty list of control nodes looked like an answer to gateways, which then stayed at the new node."""
    store, clock = FakeStore(), Clock()
    made = Publisher(store, {}, lambda: [], lambda: math.inf, EdgeCounter(), clock)
    for asked in (request(), request(edge=False, members_only=True, hold_ms=1000)):
        with pytest.raises(StaleReplicaError):
            asyncio.run(made.watch(asked))


def test_a_node_says_that_it_may_count_too_few_edges_until_others_have_reported() -> None:
    """It has just started, joined, or been cut off; others report each second once they know of it."""
    store, clock, contact = FakeStore(), Clock(), [0.0]
    made = Publisher(store, {}, lambda: ["10.0.0.1:7660"], lambda: contact[0], EdgeCounter(), clock)

    def partial() -> bool:
        return bool(over_the_wire(asyncio.run(made.watch(request()))).edges_partial)

    def assert_partial_for_two_reports() -> None:
        assert partial()
        clock.now += 2 * ANNOUNCEMENT_INTERVAL_S
        assert partial()  # reports take time to arrive
        clock.now += ANNOUNCEMENT_INTERVAL_S
        assert not partial()

    assert_partial_for_two_reports()
    contact[0] = 5.0
    with pytest.raises(StaleReplicaError):
        asyncio.run(made.watch(request()))
    contact[0] = 0.0
    assert_partial_for_two_reports()


def test_without_a_change_the_reply_after_the_hold_has_the_list_age() -> None:
    made, _, table, _, clock = publisher()
    table.begin(2)
    table.replace([server("a")], clock.now - 1.0)
    version = TableVersion(shard=0, epoch=2, sequence=table.version.sequence)
    reply = asyncio.run(made.watch(request(tables=[version], digest=members_digest(["10.0.0.1:7660"]))))
    assert reply.tables[0].list_age_ms == 1000
    assert not reply.tables[0].changed and not reply.control_nodes


def test_a_current_control_node_waits_too() -> None:
    made, _, table, _, clock = publisher()
    table.begin(2)
    table.replace([server("a")], clock.now)
    version = TableVersion(shard=0, epoch=2, sequence=table.version.sequence)
    asked = request(edge=False, hold_ms=1000, tables=[version])

    async def play_it() -> Any:
        task = asyncio.create_task(made.watch(asked))
        await asyncio.sleep(0)
        assert not task.done()
        table.replace([], clock.now)
        made.changed()
        return await task

    assert update_from_message(asyncio.run(play_it()).tables[0]).removed == ("a",)


def test_a_stale_replica_sends_edges_elsewhere() -> None:
    made, *_ = publisher(contact=5.0)
    with pytest.raises(StaleReplicaError):
        asyncio.run(made.watch(request()))


def test_a_copy_older_than_its_watcher_sends_no_update() -> None:
    made, _, table, _, clock = publisher()
    table.begin(2)
    table.replace([server("a")], clock.now)
    reply = asyncio.run(made.watch(request(tables=[TableVersion(shard=0, epoch=3, sequence=1)])))
    assert reply.tables == []


def test_edges_are_counted_over_control_nodes_and_expire() -> None:
    edges = EdgeCounter()
    edges.record_request("e1", 0.0)
    edges.record_request("e2", 0.0)
    edges.record_report("core-2", 3, 0.0)
    assert edges.total(1.0) == 5
    edges.record_request("e1", 5.0)
    assert edges.total(5.0) == 1
    assert edges.recent_maximum(5.0) == 1


def test_the_peak_of_edges_divides_shared_budgets() -> None:
    edges = EdgeCounter()
    edges.record_report("core-2", 8, 0.0)
    assert edges.recent_maximum(0.0) == 8
    assert edges.total(10.0) == 1
    assert edges.recent_maximum(10.0) == 8
