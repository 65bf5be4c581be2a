"""The operator's API: GET, PUT and PATCH of /config.

Only the leader answers, and only while it holds its lease: the lease is looked at before the state is read,
and again, in the same turn of the event loop, once the answer is made. A change that would be taken is
proposed to the replica group and answered by what applying it gave. Everybody else points at the leader
(307), or says 503 where none is known in time. A change without a clear outcome is a 503: sending it again is
safe.

A change is refused (4xx) without the lease only for what no node can read, whatever its state: no version in
If-Match, a body that is too large or can't be decoded, a path or method that is not there.
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
PROPOSAL_TIMEOUT_S = 3.0  # an acknowledgement later than this would find its operator gone
LEADER_WAIT_S = 0.8  # an operator moves on after a second without an answer
LEADER_POLL_S = 0.02  # short beside the above; an election takes some hundred milliseconds
TURN_WAIT_S = 2.0  # a change that has waited longer for its turn is told to come again
MAX_WAITING = 32  # changes that wait for their turn; operators have at most eight under way

log = logbook.Logger("granitewell.configuration")


class Replicated(Protocol):
    """What the API needs of a replica group."""

    async def propose(self, data: bytes, timeout_s: float = ...) -> object:
        """What applying gave; raises NotLeaderError, ProposalLostError."""

    def holds_lease(self) -> bool:
        """Whether nobody else can have committed anything that is not applied here."""

    @property
    def leader_address(self) -> str | None:
        """The leader's internal address (`ip:port`), None while it is unknown."""


class Standing(Enum):
    """What this node is to the group at a moment."""

    SERVING = "serving"
    FOLLOWING = "following"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Leadership:
    """Who answers.

    Attributes:
        address: The control address of another node that leads, where it is known.
    """

    standing: Standing
    address: str | None = None


class OperatorApi:
    """The handlers of one control node.

    Attributes:
        own_address: Its control address (`ip:port`).
        control_address: Turns an internal address into the control address of the same machine.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        group: Replicated,
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
        self._turn = asyncio.Lock()
        self._waiting = 0

    def routes(self, app: web.Application) -> None:
        """Adds the handlers, and typed answers for paths and methods that are not there."""
        app.router.add_get(PATH, self.get)
        app.router.add_put(PATH, self.put)
        app.router.add_patch(PATH, self.patch)
        app.middlewares.append(answers.typed_failures)

    async def get(self, request: web.Request) -> web.Response:
        """The newest configuration, whole."""
        leadership = await self._leadership()
        if leadership.standing is not Standing.SERVING:
            return self._elsewhere(leadership, request.path_qs)
        answer = self._newest()
        return answer if self._group.holds_lease() else answers.unavailable("the lease has ended")

    async def put(self, request: web.Request) -> web.Response:
        """Takes a whole configuration."""
        return await self._change(request, Operation.PUT)

    async def patch(self, request: web.Request) -> web.Response:
        """Alters the current configuration."""
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
        """Takes a change that was read whole, or says why not.

        Args:
            path: To ask for at another node.
        """
        leadership = await self._leadership()
        if leadership.standing is not Standing.SERVING:
            return self._elsewhere(leadership, path)
        if self._waiting >= MAX_WAITING:
            return answers.unavailable("too many changes wait")
        return await self._in_turn(change, path)

    async def _in_turn(self, change: Change, path: str) -> web.Response:
        """One change at a time, so that each is checked against the newest state."""
        arrived = self._clock()
        self._waiting += 1
        try:
            async with self._turn:
                if self._clock() - arrived > TURN_WAIT_S:
                    return answers.unavailable("too long a wait for earlier changes")
                return await self._judged(change, path)
        finally:
            self._waiting -= 1

    async def _judged(self, change: Change, path: str) -> web.Response:
        leadership = self._leadership_now()
        if leadership.standing is not Standing.SERVING:
            return self._elsewhere(leadership, path)
        result = self._store.check(change)
        if result is None:
            return await self._proposed(change, path)
        answer = answers.changed(result)
        return answer if self._group.holds_lease() else answers.unavailable("the lease has ended")

    async def _proposed(self, change: Change, path: str) -> web.Response:
        try:
            result = await self._group.propose(change.encode(), timeout_s=PROPOSAL_TIMEOUT_S)
        except NotLeaderError:
            return self._elsewhere(self._leadership_now(), path)
        except (ProposalLostError, TimeoutError) as error:
            log.warning("a change on version {} has no outcome: {}", change.base_version, error)
            return answers.unavailable("no outcome; send it again")
        if not isinstance(result, ChangeResult):
            log.error("applying a change gave {!r}", type(result))
            return answers.unavailable("no outcome; send it again")
        return answers.changed(result)

    def _newest(self) -> web.Response:
        if self._store.version == 0:
            return answers.failure(answers.Failure(404, "no configuration yet"))
        return answers.document(self._store.document())

    async def _leadership(self) -> Leadership:
        """Who answers, waiting a little where that is not known."""
        deadline = self._clock() + LEADER_WAIT_S
        while True:
            leadership = self._leadership_now()
            if leadership.standing is not Standing.UNKNOWN or self._clock() >= deadline:
                return leadership
            await self._sleep(LEADER_POLL_S)

    def _leadership_now(self) -> Leadership:
        if self._group.holds_lease():
            return Leadership(Standing.SERVING)
        leader = self._group.leader_address
        if leader is None:
            return Leadership(Standing.UNKNOWN)
        address = self._control_address(leader)
        if address == self._own_address:
            return Leadership(Standing.UNKNOWN)  # leading, and without a lease so far
        return Leadership(Standing.FOLLOWING, address)

    def _elsewhere(self, leadership: Leadership, path: str) -> web.Response:
        if leadership.address is None:
            return answers.unavailable("no leader is known")
        return answers.redirect(f"http://{leadership.address}{path}")
