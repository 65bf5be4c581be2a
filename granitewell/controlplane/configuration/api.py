"""The operator API: GET, PUT and PATCH of /config.

Only the leader answers, and only while it holds its lease. The lease is checked before the state is read, and
again, without an await in between, once the response is made. A change that would be accepted is proposed to
the replica group, and the response is the result of applying it. Other nodes redirect to the leader (307), or
answer 503 if no leader is known in time. A change of unknown outcome gets a 503; sending it again is safe.

Without the lease, a change is rejected (4xx) only if no node could accept it, whatever its state: without a
version in If-Match, with a body that is too large or cannot be decoded, or for an unknown path or method.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import logbook
from aiohttp import web

from granitewell.controlplane.configuration import answers
from granitewell.controlplane.configuration.body import BodyReader
from granitewell.controlplane.configuration.change import Change, Operation
from granitewell.controlplane.configuration.if_match import base_version
from granitewell.controlplane.configuration.store import ChangeResult, ConfigurationStore
from granitewell.domain.errors import NotLeaderError, ProposalLostError

PATH = "/config"
PROPOSAL_TIMEOUT_S = 3.0  # operators have given up before a later acknowledgement
LEADER_WAIT_S = 0.8  # operators give up after a second without an answer
LEADER_POLL_S = 0.02  # an election takes some hundred ms
MAX_QUEUE_WAIT_S = 2.0  # a change that has waited longer for earlier ones gets a 503
MAX_QUEUED_CHANGES = 32  # operators have at most eight in progress

log = logbook.Logger("granitewell.configuration")


class ReplicaGroup(Protocol):
    """Interface of the replica group that the API uses."""

    async def propose(self, data: bytes, timeout_s: float = ...) -> object:
        """Return the result of applying an entry; raises NotLeaderError and ProposalLostError."""

    def holds_lease(self) -> bool:
        """Return whether this node leads, and has applied everything that may be committed."""

    @property
    def leader_address(self) -> str | None:
        """Internal address of the leader (`ip:port`), None while it is unknown."""


class Role(Enum):
    """Role of this node in its group at one moment."""

    SERVING = "serving"
    FOLLOWING = "following"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Leadership:
    """Which node leads the group.

    Attributes:
        role: Role of this node.
        address: Control address of another node that leads, if known.
    """

    role: Role
    address: str | None = None


class OperatorApi:
    """Request handlers of one control node.

    Args:
        store: The configuration.
        group: Its replica group.
        control_address: Returns the control address of the machine with an internal address.
        clock: Steady clock, in seconds.
        own_address: Control address of this node (`ip:port`).
        sleep: Waits for a time in seconds.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        group: ReplicaGroup,
        control_address: Callable[[str], str],
        clock: Callable[[], float] = time.monotonic,
        *,
        own_address: str,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._group = group
        self._control_address = control_address
        self._clock = clock
        self._own_address = own_address
        self._sleep = sleep
        self._bodies = BodyReader(sleep)
        self._change_lock = asyncio.Lock()
        self._queued_changes = 0

    def routes(self, app: web.Application) -> None:
        """Add the handlers, and typed responses for unknown paths and methods."""
        app.router.add_get(PATH, self.get)
        app.router.add_put(PATH, self.put)
        app.router.add_patch(PATH, self.patch)
        app.middlewares.append(answers.typed_failures)

    async def get(self, request: web.Request) -> web.Response:
        """Return the current configuration."""
        leadership = await self._leadership()
        if leadership.role is not Role.SERVING:
            return self._redirect_to_leader(leadership, request.path_qs)
        answer = self._current_document()
        return answer if self._group.holds_lease() else answers.unavailable("the lease has ended")

    async def put(self, request: web.Request) -> web.Response:
        """Replace the configuration."""
        return await self._change(request, Operation.PUT)

    async def patch(self, request: web.Request) -> web.Response:
        """Change parts of the configuration."""
        return await self._change(request, Operation.PATCH)

    async def _change(self, request: web.Request, operation: Operation) -> web.Response:
        version = base_version(request.headers.getall("If-Match", []))
        if isinstance(version, answers.Failure):
            return answers.failure(version)
        body = await self._bodies.read(request)
        if isinstance(body, answers.Failure):
            return answers.failure(body)
        return await self.answer(Change(operation, version, body), request.path_qs)

    async def answer(self, change: Change, path: str) -> web.Response:
        """Return the response to a change whose body has been read.

        Args:
            change: The change.
            path: Path to request at another node.
        """
        leadership = await self._leadership()
        if leadership.role is not Role.SERVING:
            return self._redirect_to_leader(leadership, path)
        if self._queued_changes >= MAX_QUEUED_CHANGES:
            return answers.unavailable("too many changes wait")
        return await self._change_in_order(change, path)

    async def _change_in_order(self, change: Change, path: str) -> web.Response:
        """Process one change at a time, so that each is checked against the newest state."""
        arrived = self._clock()
        self._queued_changes += 1
        try:
            async with self._change_lock:
                if self._clock() - arrived > MAX_QUEUE_WAIT_S:
                    return answers.unavailable("too long a wait for earlier changes")
                return await self._check_and_propose(change, path)
        finally:
            self._queued_changes -= 1

    async def _check_and_propose(self, change: Change, path: str) -> web.Response:
        leadership = self._leadership_now()
        if leadership.role is not Role.SERVING:
            return self._redirect_to_leader(leadership, path)
        result = self._store.check(change)
        if result is None:
            return await self._propose(change, path)
        answer = answers.changed(result)
        return answer if self._group.holds_lease() else answers.unavailable("the lease has ended")

    async def _propose(self, change: Change, path: str) -> web.Response:
        try:
            result = await self._group.propose(change.encode(), timeout_s=PROPOSAL_TIMEOUT_S)
        except NotLeaderError:
            return self._redirect_to_leader(self._leadership_now(), path)
        except (ProposalLostError, TimeoutError) as error:
            log.warning("change has no outcome", base_version=change.base_version, error=str(error))
            return answers.unavailable("no outcome; send it again")
        if not isinstance(result, ChangeResult):
            log.error("change gave an unexpected result", type=type(result).__name__)
            return answers.unavailable("no outcome; send it again")
        return answers.changed(result)

    def _current_document(self) -> web.Response:
        if self._store.version == 0:
            return answers.failure(answers.Failure(404, "no configuration yet"))
        return answers.document(self._store.document())

    async def _leadership(self) -> Leadership:
        """Return which node leads; wait briefly while that is unknown."""
        deadline = self._clock() + LEADER_WAIT_S
        while True:
            leadership = self._leadership_now()
            if leadership.role is not Role.UNKNOWN or self._clock() >= deadline:
                return leadership
            await self._sleep(LEADER_POLL_S)

    def _leadership_now(self) -> Leadership:
        if self._group.holds_lease():
            return Leadership(Role.SERVING)
        leader = self._group.leader_address
        if leader is None:
            return Leadership(Role.UNKNOWN)
        address = self._control_address(leader)
        if address == self._own_address:
            return Leadership(Role.UNKNOWN)  # this node leads, but has no lease yet
        return Leadership(Role.FOLLOWING, address)

    def _redirect_to_leader(self, leadership: Leadership, path: str) -> web.Response:
        if leadership.address is None:
            return answers.unavailable("no leader is known")
        return answers.redirect(f"http://{leadership.address}{path}")
