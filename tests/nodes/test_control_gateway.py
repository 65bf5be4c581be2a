"""The control role without replicas: it redirects its callers, and answers nothing itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import logbook
import pytest
from aiohttp import ClientSession, web

from granitewell.controlplane.configuration import answers
from granitewell.controlplane.publication.publisher import members_digest
from granitewell.domain.errors import InvalidSettingsError, PeerUnreachableError
from granitewell.domain.settings import Settings
from granitewell.nodes.control import ControlNode
from granitewell.nodes.control_gateway import (
    CONTACT_TTL_S,
    NO_LIST_DIGEST,
    ControlGateway,
    NoControlNodeError,
)
from granitewell.nodes.control_nodes import MAX_SEEDS, ControlNodes
from granitewell.rpc.messages import (
    DemandReport,
    EdgeCount,
    GroupMessage,
    WatchReply,
    WatchRequest,
    decode,
    encode,
)
from granitewell.rpc.transport import Method

FIELDS: dict[str, Any] = {
    "node-name": "edge-1",
    "ip": "10.0.0.9",
    "zone": "z",
    "region": "r",
    "listen": {"control": "10.0.0.9:8146"},
    "internal-ports": [7660, 7675],
    "seeds": ["10.0.0.9:8146", "10.0.0.8:8146"],
    "cloud": {"address": "10.0.0.200:80"},
}
VOTERS = ["10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"]


class FakePeers:
    """Records what is sent, and replies to long-polls with a list of control nodes."""

    def __init__(self, members: list[str]) -> None:
        self.members = members
        self.sent: list[tuple[str, Method, bytes]] = []
        self.asked: list[tuple[str, Any]] = []

    def __getitem__(self, address: str) -> FakePeer:
        return FakePeer(self, address)


class FakePeer:
    """A fake peer."""

    def __init__(self, peers: FakePeers, address: str) -> None:
        self._peers = peers
        self._address = address

    def send(self, method: Method, payload: bytes) -> None:
        self._peers.sent.append((self._address, method, payload))

    async def call(self, method: Method, payload: bytes, timeout_s: float) -> bytes:
        assert method is Method.WATCH and timeout_s > 0
        self._peers.asked.append((self._address, decode(WatchRequest, payload)))
        members = self._peers.members
        return encode(
            WatchReply(tables=[], control_nodes=members, members_digest=members_digest(members), edges=1)
        )


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def gateway(members: list[str] | None = None) -> tuple[ControlGateway, FakePeers, Clock]:
    clock = Clock()
    made = ControlGateway(Settings.from_dict(FIELDS), clock)
    peers = FakePeers(VOTERS if members is None else members)
    made.peers = peers  # type: ignore[assignment]
    return made, peers, clock


async def learn(made: ControlGateway) -> None:
    node = made.nodes.current
    assert node is not None
    await made._poll(node)


def watch(**more: Any) -> bytes:
    return encode(
        WatchRequest(node="e", zone="z", edge=True, configuration_version=0, tables=[], hold_ms=0, **more)
    )


def test_its_own_address_is_no_seed_and_it_asks_for_members_only() -> None:
    made, peers, _ = gateway()
    asyncio.run(learn(made))
    ((address, request),) = peers.asked
    assert address == "10.0.0.8:7660"
    assert request.members_only and not request.edge
    assert made.current() in VOTERS


def test_a_new_list_is_logged_once_with_the_node_that_returned_it() -> None:
    made, _, _ = gateway()
    with logbook.TestHandler() as log:
        for _ in range(2):
            asyncio.run(learn(made))
    (line,) = (r.kwargs for r in log.records if r.message == "control nodes known")
    assert line == {"nodes": ",".join(VOTERS), "named_by": "10.0.0.8:7660"}


def test_an_edge_that_asks_is_told_the_control_nodes_and_goes_on_to_one() -> None:
    made, _, _ = gateway()
    asyncio.run(learn(made))
    reply = decode(WatchReply, asyncio.run(made._watch(watch(members_digest=0), "")))
    assert reply.control_nodes == VOTERS and reply.configuration is None and not reply.tables
    edge = ControlNodes("edge-2")
    edge.set_seeds(["10.0.0.9:7660"])
    assert edge.current == "10.0.0.9:7660"
    edge.set_known(reply.control_nodes)
    assert edge.current in VOTERS


def test_a_node_that_is_known_stays_the_one_asked_when_the_list_changes() -> None:
    edge = ControlNodes("edge-2")
    edge.set_known(VOTERS)
    asked = edge.current
    assert asked is not None
    edge.set_known([asked, "10.0.0.7:7660"])
    assert edge.current == asked
    edge.set_known(["10.0.0.7:7660"])
    assert edge.current == "10.0.0.7:7660"


def test_a_watcher_gets_an_error_while_no_control_node_is_known() -> None:
    made, _, _ = gateway()
    with pytest.raises(NoControlNodeError):
        asyncio.run(made._watch(watch(members_digest=0), ""))


@pytest.mark.parametrize(
    ("method", "payload"),
    [
        (Method.GROUP, encode(GroupMessage(group="g", sender_address="10.0.0.7:7660", payload=b"join"))),
        (Method.DEMAND, encode(DemandReport(node="e", zone="z", demands=[], forwarded=False))),
    ],
)
def test_messages_are_passed_on_unchanged_once_a_control_node_is_known(
    method: Method, payload: bytes
) -> None:
    made, peers, _ = gateway()
    asyncio.run(made.handlers[method](payload, ""))  # type: ignore[arg-type]
    assert peers.sent == []
    asyncio.run(learn(made))
    asyncio.run(made.handlers[method](payload, ""))  # type: ignore[arg-type]
    ((address, sent_method, sent),) = peers.sent
    assert address in VOTERS and (sent_method, sent) == (method, payload)


def test_a_forwarded_report_is_not_forwarded_again() -> None:
    made, peers, _ = gateway()
    asyncio.run(learn(made))
    report = encode(DemandReport(node="e", zone="z", demands=[], forwarded=True))
    asyncio.run(made.handlers[Method.DEMAND](report, ""))  # type: ignore[arg-type]
    assert peers.sent == []


def test_gateways_that_are_each_others_only_seeds_learn_from_an_announcement() -> None:
    made, peers, _ = gateway(members=[])
    asyncio.run(learn(made))
    assert made.current() is None
    announced = EdgeCount(node="core-1", edges=0, incarnation="i", address="10.0.0.1:7660")
    asyncio.run(made.handlers[Method.EDGES](encode(announced), ""))  # type: ignore[arg-type]
    made.nodes.failed()
    peers.members = VOTERS
    asyncio.run(learn(made))
    assert made.current() in VOTERS


def announce(made: ControlGateway, address: str, has_members: bool | None = None) -> None:
    announced = EdgeCount(node="core-1", edges=0, incarnation="i", address=address, has_members=has_members)
    asyncio.run(made.handlers[Method.EDGES](encode(announced), ""))  # type: ignore[arg-type]


def named(made: ControlGateway, **more: Any) -> list[str]:
    request = WatchRequest(
        node="e", zone="z", configuration_version=0, tables=[], **({"edge": True, "hold_ms": 0} | more)
    )
    reply = decode(WatchReply, asyncio.run(made._watch(encode(request), "")))
    assert reply.members_digest == members_digest(reply.control_nodes)
    return list(reply.control_nodes)


def test_announced_nodes_are_named_until_one_returns_the_complete_list() -> None:
    """After a power loss of all machines edges depend on it, because all seeds may be gateways."""
    made, _, clock = gateway()
    announce(made, "10.0.0.1:7660")
    clock.now += 1.0
    announce(made, "10.0.0.2:7660")
    assert named(made) == ["10.0.0.1:7660", "10.0.0.2:7660"]
    assert named(made, edge=False, hold_ms=60_000, members_digest=0) == named(
        made
    )  # the watcher lacks this list
    clock.now += CONTACT_TTL_S - 0.5
    assert named(made) == ["10.0.0.2:7660"]
    asyncio.run(learn(made))
    assert named(made) == VOTERS
    assert made.current() in VOTERS


def test_announcements_take_bounded_memory_and_operators_are_not_redirected_by_one_alone() -> None:
    made, _, _ = gateway()
    for number in range(2 * MAX_SEEDS):
        announce(made, f"10.1.0.{number}:7660")
    assert len(named(made)) == MAX_SEEDS and made.current() is None


@pytest.mark.parametrize("has_members", [True, None])
def test_a_node_that_says_it_has_not_joined_is_named_to_no_one(has_members: bool | None) -> None:
    """A node with an empty disk announces itself as often as one that has just started with its log."""
    made, _, _ = gateway()
    announce(made, "10.0.0.1:7660", has_members)  # older versions leave it out
    announce(made, "10.0.0.4:7660", has_members=False)
    assert named(made) == ["10.0.0.1:7660"]
    announce(made, "10.0.0.1:7660", has_members=False)  # it has lost its disk
    with pytest.raises(NoControlNodeError):
        asyncio.run(made._watch(watch(members_digest=0), ""))
    made.nodes.failed()
    assert made.nodes.current != "10.0.0.4:7660"


class GatewayPeers(FakePeers):
    """Peers of which some are gateways that name control nodes, and the others do not answer."""

    def __init__(self, named_by: dict[str, list[str]]) -> None:
        super().__init__([])
        self._named_by = named_by

    def __getitem__(self, address: str) -> FakePeer:
        return GatewayPeer(self, address, self._named_by.get(address))


class GatewayPeer(FakePeer):
    """A fake gateway, or a node that does not answer."""

    def __init__(self, peers: FakePeers, address: str, named: list[str] | None) -> None:
        super().__init__(peers, address)
        self._named = named

    async def call(self, method: Method, payload: bytes, timeout_s: float) -> bytes:
        self._peers.asked.append((self._address, decode(WatchRequest, payload)))
        if self._named is None:
            raise PeerUnreachableError(self._address)
        reply = WatchReply(
            tables=[],
            control_nodes=self._named,
            members_digest=members_digest(self._named),
            edges=1,
            max_edges=1,
            is_referral=True,
        )
        return encode(reply)


def poll_times(made: ControlGateway, times: int) -> None:
    for _ in range(times):
        node = made.nodes.current
        assert node is not None
        asyncio.run(made._poll_or_move_on(node))


def test_two_gateways_that_name_the_same_lost_node_do_not_keep_a_third_from_asking_others() -> None:
    """Each took the other's list for the control plane's, and went back to its first node for ever."""
    made, _, _ = gateway()
    lost = ["10.0.0.4:7660"]
    made.apply_settings(Settings.from_dict(FIELDS | {"seeds": ["10.0.0.7:8146", "10.0.0.8:8146"]}))
    for address in VOTERS:
        announce(made, address, has_members=True)
    peers = GatewayPeers({"10.0.0.7:7660": lost, "10.0.0.8:7660": lost})
    made.peers = peers  # type: ignore[assignment]
    poll_times(made, 2 * len(VOTERS) + 3)
    asked = [address for address, _ in peers.asked]
    assert {*VOTERS, *lost, "10.0.0.7:7660", "10.0.0.8:7660"} == set(asked)
    assert made.current() is None and made.nodes.known == []


@pytest.mark.parametrize("named_nodes", [0, 1, MAX_SEEDS, MAX_SEEDS + 1, 5 * MAX_SEEDS])
def test_a_referral_of_any_length_takes_bounded_memory_and_is_followed(named_nodes: int) -> None:
    """One that named more nodes than are remembered ended the gateway's polls for good."""
    made, _, _ = gateway()
    referred = [f"10.2.{number // 200}.{number % 200}:7660" for number in range(named_nodes)]
    peers = GatewayPeers({"10.0.0.8:7660": referred})
    made.peers = peers  # type: ignore[assignment]
    poll_times(made, 2)
    asked = [address for address, _ in peers.asked]
    assert asked[0] == "10.0.0.8:7660"
    assert asked[1] in (referred or ["10.0.0.8:7660"])
    assert len(made.nodes._order) <= MAX_SEEDS + 1


def test_a_referral_is_followed_and_makes_no_list_of_its_own() -> None:
    made, _, _ = gateway()
    made.peers = GatewayPeers({"10.0.0.8:7660": VOTERS})  # type: ignore[assignment]
    poll_times(made, 1)
    assert made.nodes.current in VOTERS
    assert made.current() is None
    with pytest.raises(NoControlNodeError):
        asyncio.run(made._watch(watch(members_digest=0), ""))
    peers = FakePeers(VOTERS)
    made.peers = peers  # type: ignore[assignment]
    poll_times(made, 1)
    assert made.current() in VOTERS and named(made) == VOTERS


def test_a_reply_that_names_no_members_is_no_contact() -> None:
    """A control node of an older version answers so before it has joined."""
    made, _, _ = gateway(members=[])
    announce(made, "10.0.0.1:7660")
    first = made.nodes.current
    poll_times(made, 1)
    assert made.nodes.current != first and made.current() is None


class ReplicaPeers(FakePeers):
    """Control nodes that all know the members, of which some do not answer."""

    def __init__(self, members: list[str], silent: set[str]) -> None:
        super().__init__(members)
        self.silent = silent

    def __getitem__(self, address: str) -> FakePeer:
        return ReplicaPeer(self, address)


class ReplicaPeer(FakePeer):
    """A fake control node, which leaves the list out where the watcher has it."""

    _peers: ReplicaPeers

    async def call(self, method: Method, payload: bytes, timeout_s: float) -> bytes:
        request = decode(WatchRequest, payload)
        self._peers.asked.append((self._address, request))
        if self._address in self._peers.silent:
            raise PeerUnreachableError(self._address)
        members = self._peers.members
        has_list = request.members_digest == members_digest(members)
        return encode(
            WatchReply(
                tables=[],
                control_nodes=[] if has_list else members,
                members_digest=members_digest(members),
                edges=1,
            )
        )


def test_a_gateway_returns_from_a_replica_without_a_vote_to_the_members() -> None:
    """It stayed there, as the replica confirmed the list, and had no node for operators and joins."""
    made, _, clock = gateway()
    made.apply_settings(Settings.from_dict(FIELDS | {"seeds": ["10.0.0.8:8146"]}))  # has no vote
    peers = ReplicaPeers(VOTERS, silent=set())
    made.peers = peers  # type: ignore[assignment]
    poll_times(made, 2)
    assert made.current() in VOTERS
    peers.silent = set(VOTERS)
    poll_times(made, len(VOTERS))
    assert made.nodes.current == "10.0.0.8:7660"
    peers.silent = set()
    clock.now += CONTACT_TTL_S + 0.1
    poll_times(made, 2)
    assert made.current() in VOTERS


def test_after_a_failure_a_control_node_is_asked_for_its_list_at_once() -> None:
    """It held the poll, so that a gateway counted it as silent for another second."""
    made, _, _ = gateway()
    peers = ReplicaPeers(VOTERS, silent=set())
    made.peers = peers  # type: ignore[assignment]
    poll_times(made, 2)
    assert peers.asked[-1][1].members_digest == members_digest(VOTERS)
    peers.silent = set(VOTERS)
    poll_times(made, 1)
    peers.silent = set()
    poll_times(made, 2)
    assert peers.asked[-2][1].members_digest == NO_LIST_DIGEST
    assert peers.asked[-1][1].members_digest == members_digest(VOTERS)


def test_a_list_with_the_gateways_own_address_is_confirmed_like_any_other() -> None:
    """Where the machine had a vote once, its digest never fitted, and polls followed without a pause."""
    own = "10.0.0.9:7660"
    members = [*VOTERS, own]
    made, _, _ = gateway()
    peers = ReplicaPeers(members, silent=set())
    made.peers = peers  # type: ignore[assignment]
    poll_times(made, 3)
    assert peers.asked[-1][1].members_digest == members_digest(members)
    assert made.nodes.known == VOTERS and own not in named(made)


async def called(made: ControlGateway, call: Callable[[ClientSession, str], Awaitable[Any]]) -> Any:
    app = web.Application()
    made.routes(app)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        async with ClientSession() as session:
            return await call(session, f"http://{host}:{port}")
    finally:
        await runner.cleanup()


def assert_operators_are_redirected() -> None:
    made, _, _ = gateway()

    async def play() -> None:
        await learn(made)

        async def call(session: ClientSession, base: str) -> None:
            for method in ("GET", "PUT", "PATCH"):
                async with session.request(
                    method, f"{base}/config", data=b"x" * 200_000, allow_redirects=False
                ) as answer:
                    assert answer.status == 307
                    location = answer.headers["Location"]
                    assert location in {f"http://{voter.split(':')[0]}:8146/config" for voter in VOTERS}

        await called(made, call)

    asyncio.run(play())


def test_operators_are_redirected_and_nothing_is_acknowledged() -> None:
    assert_operators_are_redirected()


def test_a_gateway_that_answers_itself_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def answer_itself(_gateway: ControlGateway, _request: web.Request) -> web.Response:
        return answers.document(b'{"version": 1}')

    monkeypatch.setattr(ControlGateway, "redirect", answer_itself)
    with pytest.raises(AssertionError):
        assert_operators_are_redirected()


def test_replicas_without_a_disk_are_refused_even_if_the_machine_was_taken_for_a_voter(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Settings, "may_vote", property(lambda _settings: True))
    with pytest.raises(InvalidSettingsError) as raised:
        ControlNode(Settings.from_dict(FIELDS), Random(1))
    assert raised.value.field == "data-dir"


def test_operators_get_503_with_retry_after_when_no_control_node_has_replied_lately() -> None:
    made, _, clock = gateway()

    async def play() -> None:
        await learn(made)
        clock.now += CONTACT_TTL_S + 0.1
        ticks = iter(range(1000))
        made._clock = lambda: clock.now + next(ticks)

        async def call(session: ClientSession, base: str) -> None:
            async with session.get(f"{base}/config", allow_redirects=False) as answer:
                assert answer.status == 503 and answer.headers["Retry-After"]

        await called(made, call)

    asyncio.run(play())


def test_an_address_for_operators_is_needed() -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        ControlGateway(Settings.from_dict(FIELDS | {"listen": {}}))
    assert raised.value.field == "listen.control"


@pytest.mark.parametrize(
    ("more", "may_vote"),
    [
        ({}, False),
        ({"data-dir": "/data"}, True),
        ({"data-dir": "/data", "counts-for-quorum": True}, True),
        ({"data-dir": "/data", "counts-for-quorum": False}, False),
        ({"data-dir": None, "counts-for-quorum": True}, False),
    ],
)
def test_voting_takes_a_disk_and_a_machine_that_counts_for_the_quorum(
    more: dict[str, object], may_vote: bool
) -> None:
    assert Settings.from_dict(FIELDS | more).may_vote is may_vote
