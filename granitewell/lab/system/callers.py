"""Those who call the system: the operator and a client. All calls are bounded and repeated with pauses."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from granitewell.lab.system.standins import MODEL, REQUEST_ID, SEAL, ModelServer, whole_answer

CALL_S = 3.0  # one call of the operator
FIRST_PAUSE_S, MAX_PAUSE_S = 0.02, 0.2  # after a failure, growing
REDIRECTS = 2
DEADLINE_MS = 6_000  # one try of the client
MAX_FAULTS = 20  # that are kept for the report


class RejectedChangeError(Exception):
    """The system said no to what it should have taken."""


@dataclass(frozen=True)
class Reply:
    """An answer of the operator API."""

    status: int
    body: Any


class Operator:
    """Changes the configuration, by whichever control node answers."""

    def __init__(self, session: aiohttp.ClientSession, addresses: Sequence[str]) -> None:
        self._session = session
        self._addresses = list(addresses)

    async def leader(self) -> str:
        """The control address of the node that leads: the only one that answers without a redirect."""
        pause = FIRST_PAUSE_S
        while True:
            for address in self._addresses:
                reply = await self._call("GET", address, {}, None, redirects=0)
                if reply is not None and reply.status in (200, 404):
                    return address
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_PAUSE_S)

    async def configuration(self) -> Any:
        """The newest configuration."""
        return (await self._ask("GET", {}, None)).body

    async def change(self, method: str, base_version: int, document: Mapping[str, Any]) -> None:
        """Send a change until it is acknowledged; raises Refused."""
        headers = {"If-Match": str(base_version), "Content-Type": "application/json"}
        reply = await self._ask(method, headers, json.dumps(document).encode())
        if reply.status != 200:
            raise RejectedChangeError(f"{method} on {base_version}: {reply.status} {reply.body}")

    async def _ask(self, method: str, headers: Mapping[str, str], body: bytes | None) -> Reply:
        pause = FIRST_PAUSE_S
        for address in itertools.cycle(self._addresses):
            reply = await self._call(method, address, headers, body, redirects=REDIRECTS)
            if reply is not None and reply.status < 500 and reply.status not in (307, 408, 429):
                return reply
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_PAUSE_S)
        raise RejectedChangeError("nobody to ask")

    async def _call(
        self, method: str, address: str, headers: Mapping[str, str], body: bytes | None, redirects: int
    ) -> Reply | None:
        """One call; None where there was no answer."""
        try:
            async with self._session.request(
                method,
                f"http://{address}/config",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=CALL_S),
                allow_redirects=redirects > 0,
                max_redirects=redirects + 1,
            ) as response:
                return Reply(response.status, await response.json())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None


@dataclass
class Client:
    """Sends requests and checks every answer.

    Attributes:
        served: Answers by edge.
        faults: Answers that are wrong.
    """

    session: aiohttp.ClientSession
    host: str
    servers: Sequence[ModelServer]
    served: Counter[str] = field(default_factory=Counter)
    turned_away: int = 0
    faults: list[str] = field(default_factory=list)
    _numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def ask_until_served(self, edge: str, path: str, model: str) -> None:
        """Try until a whole answer has come; each try has an id of its own."""
        pause = FIRST_PAUSE_S
        while not await self.ask(edge, path, model):
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_PAUSE_S)

    async def ask(self, edge: str, path: str, model: str) -> bool:
        """One try; whether it was served."""
        request_id = f"demo{next(self._numbers):012x}"
        headers = {
            "Host": self.host,
            REQUEST_ID: request_id,
            MODEL: model,
            "Granitewell-Token-Usage": "100,4",
            "Granitewell-Prompt-Prefix": f"{request_id[-8:]}:100",
            "Granitewell-Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            async with self.session.post(
                f"http://{edge}{path}",
                headers=headers,
                data=b"hello",
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1_000),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.turned_away += 1
            return False
        if response.status != 200:
            self.turned_away += 1
            return False
        self._check(response.headers, body, model, request_id)
        self.served[edge] += 1
        return True

    def _check(self, headers: Mapping[str, str], body: bytes, model: str, request_id: str) -> None:
        ran = [server for server in self.servers if server.runs[request_id]]
        if headers.get(REQUEST_ID) != request_id:
            self._fault(f"{request_id}: answer with id {headers.get(REQUEST_ID)}")
        if headers.get(SEAL) not in [server.seal(request_id) for server in ran]:
            self._fault(f"{request_id}: seal {headers.get(SEAL)}, run by {[server.id for server in ran]}")
        if body != whole_answer(model, request_id):
            self._fault(f"{request_id}: body {body[:80]!r}")

    def _fault(self, text: str) -> None:
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(text)
