"""Client and wire format of engine servers: GET /report and POST /order."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import aiohttp

from granitewell.domain.errors import GranitewellError
from granitewell.domain.servers import LoadedModel, ModelRef

EXPECT_INSTANCE = "Granitewell-Expect-Instance"
REPORT_TIMEOUT_S = 0.5  # a report takes some ms, and some 200 ms more if a packet is lost
ORDER_TIMEOUT_S = 0.8  # for the acceptance, which takes some ms; the work itself is not awaited
MAX_REPORT_BYTES = 256 * 1024  # far above a report with all models and adapters of a server

STATUS_MISDIRECTED = 421

MAX_COUNT = 10**9  # of orders or requests; a larger number is invalid


class MalformedReportError(GranitewellError):
    """A server's report cannot be read."""


class Operation(Enum):
    """What an order asks a server to do."""

    LOAD = "load_model"
    UNLOAD = "unload_model"


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one server.

    Attributes:
        purpose: For an unload, the model or adapter that it frees capacity for.
        from_store: Whether the load counts against the weight store's rate.
    """

    server_id: str
    operation: Operation
    ref: ModelRef
    purpose: ModelRef | None = None
    from_store: bool = False

    @property
    def loads_model(self) -> bool:
        """Whether this loads a complete model, not an adapter."""
        return self.operation is Operation.LOAD and not self.ref.adapter


@dataclass(frozen=True, slots=True)
class OrderTicket:
    """Conditions of an order: the holder, its fencing token, and the server's revision."""

    holder: str
    fencing_token: int
    revision: int


class OrderResult(Enum):
    """What is known of an order after it was sent."""

    ACCEPTED = "taken"  # 202: in progress
    ALREADY_DONE = "held"  # 200: the result holds already
    CONFLICT = "conflict"  # 409: another order is in progress, or the revision has changed
    FENCED = "fenced"  # 412: the server has seen a higher fencing token
    INVALID = "invalid"  # 400 and every other refusal
    OTHER_SERVER = "other server"  # 421
    NOT_SENT = "not sent"  # the body was not sent: no connection, or the lease had ended
    UNKNOWN = "unknown"  # it may have been accepted


class ReportFailure(Enum):
    """Why there is no report."""

    REFUSED = "refused"  # connection refused
    NO_ANSWER = "no answer"
    BAD_ANSWER = "bad answer"
    OTHER_SERVER = "other server"


@dataclass(frozen=True, slots=True)
class Report:
    """A server's report about itself, some hundred ms old.

    Attributes:
        sequence: Number of orders accepted.
        busy: Whether an order is in progress.
        models: Loaded models by name.
    """

    sequence: int
    busy: bool
    models: Mapping[str, LoadedModel]
    running: int = 0
    queued: int = 0


class ServerClient(Protocol):
    """Calls to servers."""

    async def report(self, server_id: str, address: str) -> Report | ReportFailure:
        """Return the server's report."""

    async def send(
        self, address: str, order: Order, ticket: OrderTicket, may_send: Callable[[], bool]
    ) -> OrderResult:
        """Send an order; `may_send` is called in the event loop iteration in which its body is sent."""


def parse_report(body: bytes) -> Report:
    """Parse a report; raises MalformedReportError."""
    try:
        document = json.loads(body)
        models = [LoadedModel.parse(entry) for entry in document["models"]]
        sequence, busy = document["sequence"], document["busy"]
        if not _is_count(sequence):
            raise ValueError(f"sequence: {sequence!r} is not a number of orders")
        if not isinstance(busy, bool):
            raise ValueError(f"busy: {busy!r} is neither true nor false")
        return Report(
            sequence=sequence,
            busy=busy,
            models={model.name: model for model in models},
            running=_count(document.get("running", 0)),
            queued=_count(document.get("queued", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedReportError(f"not a report: {error!r}") from error


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_COUNT


def _count(value: Any) -> int:
    """Return a number of requests, or 0 if it is invalid: it is informative only."""
    return int(value) if _is_count(value) else 0


def encode_order(order: Order, ticket: OrderTicket) -> bytes:
    """Return the body of an order."""
    fields: dict[str, object] = {"operation": order.operation.value, "model": order.ref.model}
    if order.ref.adapter:
        fields["adapter"] = order.ref.adapter
    fields["if-revision"] = ticket.revision
    fields["holder"] = ticket.holder
    fields["fence-token"] = ticket.fencing_token
    return json.dumps(fields, separators=(",", ":")).encode()


_RESULTS = {
    200: OrderResult.ALREADY_DONE,
    202: OrderResult.ACCEPTED,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    STATUS_MISDIRECTED: OrderResult.OTHER_SERVER,
}


def order_result(status: int) -> OrderResult:
    """Return the result of an order by HTTP status. After a 5xx the outcome is unknown."""
    if status >= 500:
        return OrderResult.UNKNOWN
    return _RESULTS.get(status, OrderResult.INVALID)


class _GuardedBody:
    """Body of an order that checks the lease at the moment when it is written.

    That is later than the call if a connection has to be opened first.
    """

    def __init__(self, body: bytes, may_send: Callable[[], bool]) -> None:
        self._body = body
        self._may_send = may_send
        self.was_sent = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises OSError if it may no longer be sent."""
        if not self._may_send():
            raise OSError("the lease ended before the order left")
        self.was_sent = True
        yield self._body


class HttpServerClient:
    """Calls to servers over HTTP.

    The caller makes one call at a time per server, so one connection each suffices.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        report_timeout_s: float = REPORT_TIMEOUT_S,
        order_timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        self._session = session
        self._report_timeout = aiohttp.ClientTimeout(total=report_timeout_s)
        self._order_timeout = aiohttp.ClientTimeout(total=order_timeout_s)

    async def report(self, server_id: str, address: str) -> Report | ReportFailure:
        """Return the server's report."""
        try:
            async with self._session.get(
                f"http://{address}/report",
                headers={EXPECT_INSTANCE: server_id},
                timeout=self._report_timeout,
                allow_redirects=False,
            ) as response:
                if response.status == STATUS_MISDIRECTED:
                    return ReportFailure.OTHER_SERVER
                if response.status != 200:
                    return ReportFailure.BAD_ANSWER
                body = await response.content.read(MAX_REPORT_BYTES)
                while not response.content.at_eof() and len(body) < MAX_REPORT_BYTES:
                    body += await response.content.read(MAX_REPORT_BYTES)
                return parse_report(body)
        except aiohttp.ClientConnectorError:
            return ReportFailure.REFUSED
        except MalformedReportError:
            return ReportFailure.BAD_ANSWER
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ReportFailure.NO_ANSWER

    async def send(
        self, address: str, order: Order, ticket: OrderTicket, may_send: Callable[[], bool]
    ) -> OrderResult:
        """Send an order. Without an answer, its outcome is unknown if the body was sent."""
        body = encode_order(order, ticket)
        guarded = _GuardedBody(body, may_send)
        headers = {
            EXPECT_INSTANCE: order.server_id,
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        try:
            async with self._session.post(
                f"http://{address}/order",
                data=guarded.chunks(),
                headers=headers,
                timeout=self._order_timeout,
                allow_redirects=False,
            ) as response:
                return order_result(response.status)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderResult.UNKNOWN if guarded.was_sent else OrderResult.NOT_SENT
