"""Sends calls of the operator API over HTTP, on behalf of `control_client`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import aiohttp

from granitewell.cli.system.call_plan import Reply, Unanswered
from granitewell.cli.system.control_client import Call, ControlClient

PATH = "/config"

Result = TypeVar("Result")


class HttpSender:
    """Sends each call over a new HTTP connection."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def __call__(self, address: str, call: Call) -> Reply | Unanswered:
        """Make one attempt; any network or protocol error gives Unanswered."""
        timeout = aiohttp.ClientTimeout(total=call.timeout_s)
        url = f"http://{address}{PATH}"
        try:
            async with self._session.request(
                call.method.value, url, data=call.body or None, headers=call.headers,
                timeout=timeout, allow_redirects=False,
            ) as response:  # fmt: skip
                body = await response.read()
                return Reply(response.status, body, response.headers.get("Location"))
        except TimeoutError:
            return Unanswered(f"{address}: no answer in {call.timeout_s:g} s")
        except aiohttp.ClientConnectorError as error:
            return Unanswered(f"{address}: {error.os_error.strerror or error.os_error}")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unanswered(f"{address}: {error}")


async def ask_control(
    addresses: Sequence[str], total_timeout_s: float, ask: Callable[[ControlClient], Awaitable[Result]]
) -> Result:
    """Run one or more calls to the control nodes and return their result."""
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await ask(ControlClient(addresses, HttpSender(session), total_timeout_s))
