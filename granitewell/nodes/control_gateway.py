"""The control role on a machine that may not vote: without a disk, or not counted for the quorum.

A gateway stores and decides nothing, so it can neither acknowledge a change nor return an old configuration.
It knows the control nodes with replicas from the control plane, from its seeds and from their announcements.
It redirects operators to them, returns their list to edges that long-poll, and forwards the messages of
replicas that join and reports of demand.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

import logbook
from aiohttp import web

from granitewell.controlplane.configuration import answers
from granitewell.controlplane.configuration.api import PATH
from granitewell.controlplane.publication.publisher import members_digest
from granitewell.domain.errors import GranitewellError, InvalidSettingsError, RpcError
from granitewell.domain.settings import Settings
from granitewell.nodes.control_nodes import MAX_SEEDS, ControlNodes
from granitewell.nodes.operator_server import OperatorServer
from granitewell.nodes.process import SettingsFile, Signals, follow_settings
from granitewell.rpc.messages import (
    DemandReport,
    EdgeCount,
    GroupMessage,
    WatchReply,
    WatchRequest,
    decode,
    encode,
)
from granitewell.rpc.transport import Handler, Method, RpcPeers, RpcServer

NO_LIST_DIGEST = 0  # of no list of control nodes
LONG_POLL_HOLD_S = 1.0  # of a long-poll; a lost voter is noticed after it at the latest
REPLY_SLACK_S = 0.4
RETRY_S = 0.2
CONTACT_TTL_S = 2.5  # after a reply or an announcement, a control node counts as available
NODE_WAIT_S = 0.8  # operators give up after a second without an answer
NODE_POLL_S = 0.02
BODY_CHUNK_BYTES = 65_536

log = logbook.Logger("granitewell.control")


class NoControlNodeError(GranitewellError):
    """No control node with replicas is known; the caller should ask another node."""


class ControlGateway:
    """One process of the control role without replicas.

    Attributes:
        nodes: The control nodes with replicas, and which of them is polled.
    """

    def __init__(self, settings: Settings, clock: Callable[[], float] = time.monotonic) -> None:
        if settings.listen.control is None:
            raise InvalidSettingsError("listen.control", "missing: operators call there")
        self._settings = settings
        self._clock = clock
        self._control_port = settings.listen.control.rpartition(":")[2]
        self._address = f"{settings.ip}:{settings.control_rpc_port}"
        self._replied_at = -float("inf")
        self._in_contact = False  # the polled node has returned the list of control nodes
        self._announced_at: dict[str, float] = {}  # by internal address of a control node with members
        self.nodes = ControlNodes(settings.node_name, own_address=self._address)
        self.peers = RpcPeers()
        self.handlers: dict[int, Handler] = {
            Method.WATCH: self._watch,
            Method.DEMAND: self._demand,
            Method.GROUP: self._group_message,
            Method.EDGES: self._announcement,
        }
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings: the seeds."""
        self._settings = settings
        port = settings.control_rpc_port
        self.nodes.set_seeds([f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seeds])

    # --- Control nodes with replicas

    async def run(self) -> None:
        """Keep the list of control nodes up to date, until cancelled."""
        while True:
            node = self.nodes.current
            if node is None or not await self._poll_or_move_on(node):
                await asyncio.sleep(RETRY_S)

    async def _poll_or_move_on(self, node: str) -> bool:
        """Poll a node; return whether the next poll may follow at once."""
        try:
            return await self._poll(node)
        except RpcError as error:
            log.debug("control node does not answer", node=node, error=str(error))
            self._in_contact = False
            self.nodes.failed()
            return False

    async def _poll(self, node: str) -> bool:
        """Long-poll one node, and move on unless it has replicas and knows their members.

        Returns:
            Whether the next poll may follow at once.

        Raises:
            RpcError: The node does not reply, or its data may be outdated.
        """
        request = self._watch_request()
        reply = decode(
            WatchReply,
            await self.peers[node].call(Method.WATCH, encode(request), LONG_POLL_HOLD_S + REPLY_SLACK_S),
        )
        if reply.is_referral:
            self._in_contact = False
            return self.nodes.follow_referral(reply.control_nodes or [])
        if not self._names_members(request, reply):
            self._in_contact = False
            self.nodes.failed()  # a replica of an older version that has not joined yet
            return False
        self._in_contact = True
        self._replied_at = self._clock()
        if reply.control_nodes:
            self._set_known(node, reply.control_nodes)
        return True

    def _names_members(self, request: Any, reply: Any) -> bool:
        """Return whether the reply names the members, or confirms the list that this gateway has."""
        if reply.control_nodes:
            return True
        return bool(self.nodes.known) and reply.members_digest == request.members_digest

    def _watch_request(self) -> Any:
        """Return a request for the list of control nodes.

        Only a node that has returned the list holds the poll until it changes. Any other one is asked for the
        list, so that a node without replicas, or with replicas but no vote, says at once whom to poll.
        """
        return WatchRequest(
            node=self._settings.node_name,
            zone=self._settings.zone,
            edge=False,
            configuration_version=0,
            tables=[],
            hold_ms=int(LONG_POLL_HOLD_S * 1000),
            members_digest=self.nodes.digest if self._in_contact else NO_LIST_DIGEST,
            members_only=True,
        )

    def _set_known(self, named_by: str, addresses: Sequence[str]) -> None:
        """Take up the list of control nodes that a control node with replicas has returned."""
        before = set(self.nodes.known)
        self.nodes.set_known(addresses)
        if set(self.nodes.known) != before:
            log.info("control nodes known", nodes=",".join(sorted(self.nodes.known)), named_by=named_by)

    def current(self) -> str | None:
        """Return the internal address of a control node with replicas that has replied recently, or None."""
        if not self._has_recent_reply():
            return None
        node = self.nodes.current
        return node if node in self.nodes.known else None

    def _has_recent_reply(self) -> bool:
        return self._clock() - self._replied_at <= CONTACT_TTL_S

    def advertised_nodes(self) -> list[str]:
        """Return the control nodes that are named to edges and other gateways.

        While none of them replies, for example after a power loss, these are also the nodes that have
        announced themselves recently and know the members of the control plane.
        """
        if self.nodes.known and self._has_recent_reply():
            return self.nodes.known
        now = self._clock()
        announced = [node for node, at in self._announced_at.items() if now - at <= CONTACT_TTL_S]
        return sorted({*self.nodes.known, *announced})

    # --- Messages of other nodes

    async def _watch(self, payload: bytes, _peer: str) -> bytes:
        """Return the list of control nodes; the watcher then polls one of them."""
        request = decode(WatchRequest, payload)
        known = self.advertised_nodes()
        if not known:
            raise NoControlNodeError(self._settings.node_name)
        if not request.edge and request.members_digest == members_digest(known):
            await asyncio.sleep(min(max(request.hold_ms, 0) / 1000.0, LONG_POLL_HOLD_S))
        return encode(
            WatchReply(
                tables=[],
                control_nodes=known,
                members_digest=members_digest(known),
                edges=1,
                max_edges=1,
                is_referral=True,
            )
        )

    async def _demand(self, payload: bytes, _peer: str) -> bytes:
        report = decode(DemandReport, payload)
        node = self.current()
        if node is not None and not report.forwarded:
            self.peers[node].send(Method.DEMAND, payload)
        return b""

    async def _group_message(self, payload: bytes, _peer: str) -> bytes:
        """Forward a message; the reply goes directly to the sender that it names."""
        decode(GroupMessage, payload)
        node = self.current()
        if node is not None:
            self.peers[node].send(Method.GROUP, payload)
        return b""

    async def _announcement(self, payload: bytes, _peer: str) -> bytes:
        count = decode(EdgeCount, payload)
        if count.address and count.has_members is False:
            self._announced_at.pop(count.address, None)
        elif count.address:
            self.nodes.add_seed(count.address)
            self._record_announcement(count.address)
        return b""

    def _record_announcement(self, address: str) -> None:
        self._announced_at.pop(address, None)
        self._announced_at[address] = self._clock()
        while len(self._announced_at) > MAX_SEEDS:
            del self._announced_at[next(iter(self._announced_at))]

    # --- Operators

    def routes(self, app: web.Application) -> None:
        """Add the handlers, and typed responses for unknown paths and methods."""
        app.router.add_get(PATH, self.redirect)
        app.router.add_put(PATH, self.redirect)
        app.router.add_patch(PATH, self.redirect)
        app.middlewares.append(answers.typed_failures)

    async def redirect(self, request: web.Request) -> web.Response:
        """Redirect to a control node with replicas, or return 503 if none is known in time."""
        async for _ in request.content.iter_chunked(BODY_CHUNK_BYTES):
            pass  # discard the body, so that the connection can be reused
        deadline = self._clock() + NODE_WAIT_S
        while (node := self.current()) is None:
            if self._clock() >= deadline:
                return answers.unavailable("no control node with replicas is known")
            await asyncio.sleep(NODE_POLL_S)
        host = node.rpartition(":")[0]
        return answers.redirect(f"http://{host}:{self._control_port}{request.path_qs}")


async def serve(file: SettingsFile, signals: Signals) -> None:
    """Run a control process without replicas until it is stopped."""
    settings = file.settings
    gateway = ControlGateway(settings)
    log.info(
        "control without replicas",
        data_dir=settings.data_dir,
        counts_for_quorum=settings.counts_for_quorum,
    )
    rpc_server = RpcServer(gateway.handlers)
    await rpc_server.start(settings.ip, settings.control_rpc_port)
    operator_server = OperatorServer(gateway, settings.listen.control or "")
    await operator_server.start()
    tasks = [
        asyncio.create_task(gateway.run()),
        asyncio.create_task(follow_settings(file, signals, gateway.apply_settings)),
    ]
    await signals.stop.wait()
    for task in tasks:
        task.cancel()
    await operator_server.stop()
    await rpc_server.stop()
    gateway.peers.close()
