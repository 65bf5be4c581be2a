"""Reads the platform's list of servers, page by page."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from granitewell.discovery.instances import ListedInstance, MalformedListError, parse_page
from granitewell.domain.errors import GranitewellError

MAX_PAGES = 200
PAGE_TIMEOUT_S = 0.8
STATUS_TOO_MANY_REQUESTS = 429


@dataclass(frozen=True, slots=True)
class TimestampedList:
    """The platform's list, and the time of its request.

    Attributes:
        asked_at: Time on the monotonic clock, in seconds.
    """

    instances: list[ListedInstance]
    asked_at: float


class ListUnavailableError(GranitewellError):
    """The platform returned no list: it is down, slow, or its rate limit is exceeded."""


class SharedReader:
    """Shares the list between all readers on a node: one younger than `max_age_s` is reused."""

    def __init__(self, reader: InstanceReader, max_age_s: float, clock: Callable[[], float]) -> None:
        self._reader = reader
        self._max_age_s = max_age_s
        self._clock = clock
        self._lock = asyncio.Lock()
        self._newest: TimestampedList | None = None

    async def read(self) -> TimestampedList:
        """Return the list and the time of its request; raises ListUnavailableError and MalformedListError."""
        async with self._lock:
            now = self._clock()
            if self._newest is None or now - self._newest.asked_at >= self._max_age_s:
                self._newest = TimestampedList(await self._reader.read(), now)
            return self._newest


class InstanceReader:
    """Requests the list from the platform at `address` (`ip:port`)."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._url = f"http://{address}/instances"
        self._session = session

    async def read(self) -> list[ListedInstance]:
        """Return the complete list; raises ListUnavailableError and MalformedListError."""
        instances: list[ListedInstance] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = parse_page(await self._page(token))
            instances += page.instances
            token = page.next_token
            if token is None:
                return instances
        raise MalformedListError(f"over {MAX_PAGES} pages")

    async def _page(self, token: str | None) -> object:
        query = {"page-token": token} if token else {}
        timeout = aiohttp.ClientTimeout(total=PAGE_TIMEOUT_S)
        try:
            async with self._session.get(self._url, params=query, timeout=timeout) as response:
                body = await response.read()
                if response.status != 200:
                    raise ListUnavailableError(f"status {response.status}")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ListUnavailableError(f"{type(error).__name__}: {error}") from error
        try:
            return json.loads(body)
        except ValueError as error:
            raise MalformedListError(f"not JSON: {error}") from error
