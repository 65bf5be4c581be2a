"""How an edge applies the control plane's replies and the platform's list."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Any

import pytest

from granitewell.controlplane.publication.publisher import members_digest
from granitewell.coordination.rendezvous import shard_of
from granitewell.discovery.instances import ListedInstance
from granitewell.domain.configuration import Configuration
from granitewell.domain.errors import PeerUnreachableError
from granitewell.domain.servers import LoadedModel, Server, ServerState
from granitewell.domain.settings import Settings
from granitewell.nodes.control_nodes import ControlNodes
from granitewell.nodes.control_watch import RETRY_S, ControlWatch, FallbackListReader
from granitewell.nodes.layout import SHARD_COUNT
from granitewell.nodes.shards import list_interval_s
from granitewell.rpc.messages import (
    ConfigurationUpdate,
    TableUpdate,
    TableVersion,
    WatchReply,
    decode,
    encode,
)
from granitewell.rpc.translation import server_to_message
from tests.coordination import virtual_loop

FIELDS: dict[str, Any] = {
    "node-name": "edge-1",
    "ip": "10.0.0.9",
    "zone": "z",
    "region": "r",
    "listen": {},
    "internal-ports": [7660, 7675],
    "seeds": ["10.0.0.1:8146", "10.0.0.2:8146"],
    "cloud": {"address": "10.0.0.200:80"},
}
SETTINGS = Settings.from_dict(FIELDS)


class FakePlane:
    """Data plane that records what it is given."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        self.configurations: list[Configuration] = []
        self.edges = (0, 0)

    def apply_servers(self, changed: Sequence[Server], removed: Sequence[str]) -> None:
        for key in removed:
            self.servers.pop(key, None)
        self.servers.update({server.id: server for server in changed})

    def apply_configuration(self, configuration: Configuration) -> None:
        self.configurations.append(configuration)

    def set_edges(self, alive: int, most: int) -> None:
        self.edges = (alive, most)


def service_of_shard(shard: int) -> str:
    return next(name for name in map("svc{}".format, range(100)) if shard_of(name, SHARD_COUNT) == shard)


def server(key: str, shard: int = 0, state: ServerState = ServerState.READY) -> Server:
    return Server(key, service_of_shard(shard), "10.0.1.1:80", "z", 4, state, -1, {"m": LoadedModel("m")})


def listed(key: str, shard: int = 0, state: ServerState = ServerState.READY) -> ListedInstance:
    return ListedInstance(key, service_of_shard(shard), "10.0.1.1:80", "z", 4, state, -1, (LoadedModel("m"),))


def reply(*updates: Any, **more: Any) -> Any:
    made = WatchReply(tables=list(updates), control_nodes=[], members_digest=0, edges=3, max_edges=8, **more)
    return decode(WatchReply, encode(made))


def table(shard: int, epoch: int, sequence: int, *servers: Server, **more: Any) -> Any:
    return TableUpdate(
        version=TableVersion(shard=shard, epoch=epoch, sequence=sequence),
        is_complete=more.get("is_complete", False),
        changed=[server_to_message(one) for one in servers],
        removed=more.get("removed", []),
        list_age_ms=more.get("age_ms", 0),
    )


@pytest.fixture
def plane() -> FakePlane:
    return FakePlane()


@pytest.fixture
def watch(plane: FakePlane) -> ControlWatch:
    return ControlWatch(SETTINGS, plane)  # type: ignore[arg-type]


def test_tables_are_updated_completely_and_by_changes(watch: ControlWatch, plane: FakePlane) -> None:
    watch._apply_reply(reply(table(0, 1, 5, server("a"), server("b"), is_complete=True)))
    watch._apply_reply(reply(table(0, 1, 6, server("c"), removed=["a"])))
    assert sorted(plane.servers) == ["b", "c"]
    assert plane.edges == (3, 8)


def test_another_epoch_replaces_the_table(watch: ControlWatch, plane: FakePlane) -> None:
    watch._apply_reply(reply(table(0, 1, 5, server("a"), server("b"), is_complete=True)))
    watch._apply_reply(reply(table(0, 2, 1, server("b"), is_complete=True)))
    assert sorted(plane.servers) == ["b"]


def test_older_updates_change_nothing(watch: ControlWatch, plane: FakePlane) -> None:
    watch._apply_reply(reply(table(0, 2, 5, server("a"), is_complete=True)))
    watch._apply_reply(reply(table(0, 1, 9, server("z"), is_complete=True)))
    assert sorted(plane.servers) == ["a"]


def test_before_the_first_table_the_platforms_list_is_used(watch: ControlWatch, plane: FakePlane) -> None:
    watch.apply_fallback_list([listed("a"), listed("b", shard=1)])
    assert sorted(plane.servers) == ["a", "b"]
    watch._apply_reply(reply(table(0, 1, 1, server("a2"), is_complete=True)))
    assert sorted(plane.servers) == ["a2", "b"]
    watch._apply_reply(reply(table(1, 1, 1, server("b", shard=1), is_complete=True)))
    assert sorted(plane.servers) == ["a2", "b"]


def test_a_server_draining_or_missing_in_the_platforms_list_is_not_used(
    watch: ControlWatch, plane: FakePlane
) -> None:
    watch._apply_reply(reply(table(0, 1, 5, server("a"), server("b"), server("c"), is_complete=True)))
    watch.apply_fallback_list([listed("a", state=ServerState.DRAINING), listed("b")])
    assert plane.servers["a"].state is ServerState.DRAINING
    assert sorted(plane.servers) == ["a", "b"]
    assert watch.list_age_s() < 1.0


def test_after_a_mismatched_change_the_complete_configuration_is_requested(
    watch: ControlWatch, plane: FakePlane
) -> None:
    broken = ConfigurationUpdate(version=9, is_complete=False, documents=[b"garbage"])
    watch._apply_reply(reply(configuration=broken))
    assert plane.configurations == []
    assert watch._request().configuration_version == 0
    is_complete = ConfigurationUpdate(
        version=9, is_complete=True, documents=[b'{"version":9,"routes":[],"services":[]}']
    )
    watch._apply_reply(reply(configuration=is_complete))
    assert [one.version for one in plane.configurations] == [9]


def test_a_control_node_that_fails_is_followed_by_another() -> None:
    nodes = ControlNodes("edge-1")
    nodes.set_seeds(["a:1", "b:1", "c:1"])
    seen = []
    for _ in range(3):
        seen.append(nodes.current)
        nodes.failed()
    assert sorted(seen, key=str) == ["a:1", "b:1", "c:1"]


def test_a_new_list_of_control_nodes_keeps_the_current_one() -> None:
    nodes = ControlNodes("edge-1")
    nodes.set_seeds(["a:1", "b:1", "c:1"])
    nodes.failed()
    current = nodes.current
    nodes.set_known(["b:1", "c:1", "a:1", "d:1"])
    assert nodes.current == current
    assert nodes.digest == members_digest(["a:1", "b:1", "c:1", "d:1"])


def test_unreachable_seeds_do_not_hide_known_nodes() -> None:
    nodes = ControlNodes("edge-1")
    nodes.set_seeds(["dead:1"])
    nodes.set_known(["a:1"])
    seen = set()
    for _ in range(2):
        seen.add(nodes.current)
        nodes.failed()
    assert seen == {"dead:1", "a:1"}


def test_a_control_node_that_knows_few_edges_makes_no_shared_budget_larger(
    watch: ControlWatch, plane: FakePlane
) -> None:
    watch._apply_reply(reply())
    watch._apply_reply(decode(WatchReply, encode(WatchReply(tables=[], edges=1, max_edges=1))))
    assert plane.edges == (1, 8)


def test_a_control_node_that_has_just_started_makes_no_share_of_connections_larger(
    watch: ControlWatch, plane: FakePlane
) -> None:
    """Each edge opens its share of a server's connections; for a second the new node counted one edge."""

    def counted(edges: int, max_edges: int, partial: bool | None) -> Any:
        made = WatchReply(tables=[], edges=edges, max_edges=max_edges, edges_partial=partial)
        return decode(WatchReply, encode(made))

    watch._apply_reply(counted(1, 1, partial=True))
    assert plane.edges == (1, 1)
    watch._apply_reply(counted(5, 8, partial=None))
    watch._apply_reply(counted(1, 1, partial=True))
    assert plane.edges == (5, 8)
    watch._apply_reply(counted(6, 6, partial=True))
    assert plane.edges == (6, 8)
    watch._apply_reply(counted(2, 8, partial=None))  # others have gone
    assert plane.edges == (2, 8)


def test_intervals_follow_from_the_bounds_of_the_deployment(plane: FakePlane) -> None:
    tight = Settings.from_dict(FIELDS | {"bounds": {"config-apply-ms": 500, "drain-ms": 600}})
    watch = ControlWatch(tight, plane)  # type: ignore[arg-type]
    assert watch._request().hold_ms == 200
    assert FallbackListReader(tight, watch, plane, Random(1))._max_age_s == 0.3  # type: ignore[arg-type]
    assert list_interval_s(tight) == pytest.approx(0.1)
    assert list_interval_s(SETTINGS) == 0.5


def test_all_edges_together_stay_below_the_platforms_rate(watch: ControlWatch, plane: FakePlane) -> None:
    own = FallbackListReader(SETTINGS, watch, plane, Random(1))  # type: ignore[arg-type]
    watch.max_edges = 300
    assert 300 / own._pause_s() <= SETTINGS.cloud.rate_per_s / 2


GATEWAY = "10.0.0.7:7660"
LOST_NODES = ["10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"]
NEW_NODE = "10.0.0.4:7660"
REFERRAL = WatchReply(
    tables=[],
    control_nodes=LOST_NODES,
    members_digest=members_digest(LOST_NODES),
    edges=1,
    max_edges=1,
    is_referral=True,
)


class ReferringPeers:
    """A gateway whose list is out of date, lost control nodes, and a new one."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self._address = ""

    def __getitem__(self, address: str) -> ReferringPeers:
        self._address = address
        return self

    async def call(self, method: object, payload: bytes, timeout_s: float) -> bytes:
        self.asked.append(self._address)
        if self._address == GATEWAY:
            return encode(REFERRAL)
        if self._address == NEW_NODE:
            reply = WatchReply(tables=[], control_nodes=[NEW_NODE], members_digest=1, edges=5, max_edges=8)
            await asyncio.sleep(1.0)
            return encode(reply)
        raise PeerUnreachableError(self._address)


def test_an_edge_asks_its_other_seeds_when_a_gateway_names_lost_nodes(plane: FakePlane) -> None:
    """It went back to the first of the lost nodes each time, and had no configuration for good."""
    seeds = [f"{address.partition(':')[0]}:8146" for address in (GATEWAY, NEW_NODE)]
    peers = ReferringPeers()

    async def run_edge(name: str) -> list[str]:
        fields = FIELDS | {"node-name": name, "seeds": seeds}
        watch = ControlWatch(Settings.from_dict(fields), plane, asyncio.get_running_loop().time)  # type: ignore[arg-type]
        watch.peers = peers  # type: ignore[assignment]
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(3.0)
        task.cancel()
        return watch.nodes.known

    async def run_edges() -> None:
        for number in range(8):
            peers.asked.clear()
            assert await run_edge(f"edge-{number}") == [NEW_NODE], peers.asked

    virtual_loop.run(run_edges())


def test_a_referral_changes_no_budget_and_is_asked_for_at_most_each_pause(plane: FakePlane) -> None:
    """A gateway counts no edges; its reply made an edge take itself for the only one."""
    peers = ReferringPeers()

    async def run_edge() -> None:
        fields = FIELDS | {"seeds": [f"{GATEWAY.partition(':')[0]}:8146"]}
        watch = ControlWatch(Settings.from_dict(fields), plane, asyncio.get_running_loop().time)  # type: ignore[arg-type]
        watch.peers = peers  # type: ignore[assignment]
        watch._apply_reply(reply())
        edges = plane.edges
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(5.0)
        task.cancel()
        assert plane.edges == edges and peers.asked.count(GATEWAY) >= 2
        first, after_new_addresses = 1, 1  # polls that follow no pause
        assert len(peers.asked) <= 5.0 / RETRY_S + first + after_new_addresses

    virtual_loop.run(run_edge())


class DelayedPeers:
    """Answers each call after the edge was suspended for a time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.frozen_s: list[float] = []
        self.calls = 0

    def clock(self) -> float:
        return self.now

    def __getitem__(self, address: str) -> DelayedPeers:
        return self

    async def call(self, method: object, payload: bytes, timeout_s: float) -> bytes:
        self.calls += 1
        if not self.frozen_s:
            raise asyncio.CancelledError
        self.now += self.frozen_s.pop(0)
        document = b'{"version":%d,"routes":[],"services":[]}' % self.calls
        is_complete = ConfigurationUpdate(version=self.calls, is_complete=True, documents=[document])
        made = WatchReply(
            configuration=is_complete, tables=[], control_nodes=[], members_digest=0, edges=1, max_edges=1
        )
        return encode(made)


@pytest.mark.parametrize(("frozen_s", "taken"), [((0.1,), [1]), ((30.0,), []), ((30.0, 0.1), [2])])
def test_a_reply_delayed_at_a_suspended_edge_is_not_accepted(
    plane: FakePlane, frozen_s: Sequence[float], taken: list[int]
) -> None:
    peers = DelayedPeers()
    peers.frozen_s = list(frozen_s)
    watch = ControlWatch(SETTINGS, plane, peers.clock)  # type: ignore[arg-type]
    watch.peers = peers  # type: ignore[assignment]
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(watch.run())
    assert [one.version for one in plane.configurations] == taken
