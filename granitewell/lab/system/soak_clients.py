"""Clients of a soak, each of which keeps its connection to an edge until that process is gone."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import aiohttp

from granitewell.lab.system.standins import MODEL, REQUEST_ID, SEAL, ModelServer, whole_answer

DEADLINE_MS = 6_000
LOSS_SLACK_S = 0.2  # loss-slack-ms: a request that has been sent for longer gets an answer
PAUSE_S = (0.01, 0.15)  # between two requests of a client
MAX_FAULTS = 20  # that are kept


@dataclass
class SoakTally:
    """What the clients of a soak have seen.

    Attributes:
        once: Ids of requests that must not run twice.
        answers: Number of answers by status; 0 counts requests without an answer.
        faults: Answers that are wrong.
    """

    once: list[str] = field(default_factory=list)
    answers: Counter[int] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)

    def fault(self, text: str) -> None:
        """Keep a wrong answer."""
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(text)


class SoakClient:
    """One client with one connection.

    Args:
        number: Number of the client, part of its request ids.
        host: Host of the routes.
        model: Model that each request needs.
        edges: Returns the addresses of the edges.
        was_killed: Returns whether the process at an address has been killed lately, so that it may cut
            answers.
        servers: Model servers, which know what they ran.
    """

    def __init__(
        self,
        number: int,
        host: str,
        model: str,
        edges: Callable[[], Sequence[str]],
        was_killed: Callable[[str], bool],
        servers: Sequence[ModelServer],
        tally: SoakTally,
        rng: Random,
    ) -> None:
        self._number = number
        self._host = host
        self._model = model
        self._edges = edges
        self._was_killed = was_killed
        self._servers = servers
        self._tally = tally
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            edge = self._rng.choice(self._edges())
            async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1)) as session:
                is_open = True
                while is_open:
                    is_open = await self._ask(session, edge)
                    await self._pause()

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _ask(self, session: aiohttp.ClientSession, edge: str) -> bool:
        """Send one request; return whether the connection can still be used."""
        once = self._rng.random() < 0.5
        request_id = f"s{self._number:05x}{next(self._numbers):010x}"
        if once:
            self._tally.once.append(request_id)
        headers = {
            "Host": self._host,
            REQUEST_ID: request_id,
            MODEL: self._model,
            "Granitewell-Token-Usage": "100,4",
            "Granitewell-Prompt-Prefix": f"{request_id[-8:]}:100",
            "Granitewell-Deadline-Ms": str(DEADLINE_MS),
        }
        path = "/once/" if once else "/chat/"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1_000)
        sent_at = time.monotonic()
        try:
            async with session.post(
                f"http://{edge}{path}", headers=headers, data=b"hello", timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._tally.answers[0] += 1
            if self._is_lost(error, time.monotonic() - sent_at) and not self._was_killed(edge):
                self._tally.fault(f"{request_id}: lost at {edge}, which was not killed: {error!r}")
            return False
        self._tally.answers[response.status] += 1
        if response.status == 200:
            self._check(request_id, response.headers.get(REQUEST_ID), response.headers.get(SEAL), body)
        return True

    def _is_lost(self, error: Exception, after_s: float) -> bool:
        """Return whether the edge must have read the request, and has ended it without a whole answer."""
        if isinstance(error, aiohttp.ClientPayloadError):
            return True
        if isinstance(error, aiohttp.ClientConnectorError | TimeoutError):
            return False
        if isinstance(error, aiohttp.ClientOSError) and error.errno is None:
            return False  # the connection closed before the whole request was written
        return after_s > LOSS_SLACK_S

    def _check(self, request_id: str, answered_id: str | None, seal: str | None, body: bytes) -> None:
        if answered_id != request_id:
            self._tally.fault(f"{request_id}: answer with id {answered_id}")
        if seal not in [server.seal(request_id) for server in self._servers if server.runs[request_id]]:
            self._tally.fault(f"{request_id}: seal {seal} of a server that did not run it")
        if body != whole_answer(self._model, request_id):
            self._tally.fault(f"{request_id}: body {body[:80]!r}")
