"""Client of the operator API: sends calls according to `call_plan`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum

import orjson

from granitewell.cli.system.call_plan import Answered, CallPlan, GiveUp, Reply, SendTo, Unanswered
from granitewell.cli.system.errors import (
    NoConfigurationError,
    NoControlNodeError,
    RejectedByControlError,
    VersionConflictError,
)

ANSWER_TIMEOUT_S = 1.0  # then the next node is tried
MIN_UPLOAD_BYTES_PER_S = 1e6  # extends the timeout of a call with a large body
DEFAULT_TOTAL_TIMEOUT_S = 15.0  # long enough for an election or the replacement of a leader


class Method(Enum):
    """The HTTP method of a call."""

    GET = "GET"
    PUT = "PUT"
    PATCH = "PATCH"


@dataclass(frozen=True, slots=True)
class Call:
    """One call of the operator API.

    Attributes:
        if_match: The version that the change is based on.
    """

    method: Method
    body: bytes = b""
    if_match: int | None = None

    @property
    def timeout_s(self) -> float:
        """Timeout of one attempt."""
        return ANSWER_TIMEOUT_S + len(self.body) / MIN_UPLOAD_BYTES_PER_S

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the HTTP request."""
        headers = {"Content-Type": "application/json"} if self.body else {}
        if self.if_match is not None:
            headers["If-Match"] = str(self.if_match)
        return headers


Send = Callable[[str, Call], Awaitable[Reply | Unanswered]]  # one attempt at an address
Sleep = Callable[[float], Awaitable[None]]


class ControlClient:
    """Reads and changes the configuration through whichever control node answers."""

    def __init__(
        self,
        addresses: Sequence[str],
        send: Send,
        total_timeout_s: float = DEFAULT_TOTAL_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._addresses = addresses
        self._send = send
        self._patience_s = total_timeout_s
        self._clock = clock
        self._sleep = sleep

    async def get(self) -> bytes:
        """Return the newest configuration as JSON.

        Raises:
            NoConfigurationError: No configuration has been accepted yet.
            NoControlNodeError: No control node gave a final answer in time.
            RejectedByControlError: A control node rejected the call.
        """
        reply = await self._call(Call(Method.GET))
        if reply.status == 404:
            raise NoConfigurationError
        _raise_refusal(reply)
        return reply.body

    async def version(self) -> int:
        """Return the newest version, 0 before the first.

        Raises:
            NoControlNodeError: No control node gave a final answer in time, or the answer has no version.
            RejectedByControlError: A control node rejected the call.
        """
        try:
            version = _version_in(Reply(200, await self.get()))
        except NoConfigurationError:
            return 0
        if version is None:
            raise NoControlNodeError("the configuration that was answered has no version")
        return version

    async def change(self, method: Method, body: bytes, if_match: int) -> int | None:
        """Put or patch the configuration, and return the current version if the node reports it.

        That is the version of a later change if this one had been accepted by an earlier attempt.

        Raises:
            VersionConflictError: `if_match` is no longer the current version.
            RejectedByControlError: A control node rejected the change.
            NoControlNodeError: No control node gave a final answer in time.
        """
        reply = await self._call(Call(method, body, if_match))
        if reply.status == 412:
            raise VersionConflictError(if_match, _reason(reply))
        _raise_refusal(reply)
        return _version_in(reply, "current-version") or _version_in(reply)

    async def _call(self, call: Call) -> Reply:
        plan = CallPlan(self._addresses, self._clock(), self._patience_s)
        step: SendTo | Answered | GiveUp = plan.first()
        while isinstance(step, SendTo):
            if step.delay_s:
                await self._sleep(step.delay_s)
            outcome = await self._send(step.address, call)
            step = plan.after(outcome, self._clock())
        if isinstance(step, Answered):
            return step.reply
        raise _no_control_node(call, step)


def _no_control_node(call: Call, step: GiveUp) -> NoControlNodeError:
    if call.method is Method.GET:
        return NoControlNodeError(f"no control node answers: {step.reason}")
    return NoControlNodeError(f"no clear answer, the change may have been taken: {step.reason}")


def _raise_refusal(reply: Reply) -> None:
    if not 200 <= reply.status < 300:
        raise RejectedByControlError(reply.status, _reason(reply))


def _version_in(reply: Reply, field: str = "version") -> int | None:
    try:
        document = orjson.loads(reply.body)
    except orjson.JSONDecodeError:
        return None
    version = document.get(field) if isinstance(document, dict) else None
    return version if isinstance(version, int) else None


def _reason(reply: Reply) -> str:
    """Return a control node's error message with the field if it names one; else the start of its answer."""
    try:
        document = orjson.loads(reply.body)
    except orjson.JSONDecodeError:
        return reply.reason
    if not isinstance(document, dict) or not isinstance(document.get("error"), str):
        return reply.reason
    words = [document.get("field"), document["error"], document.get("version")]
    return ": ".join(str(word) for word in words if word is not None)
