"""Forwarding of one client request: selects servers, sends the request, retries, returns the response.

It applies the rules of request.py and dispatch.py to connections of upstream.py.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from granitewell.balancing.prefix_sizing import MIN_RETRY_INTERVAL_MS
from granitewell.dataplane.client_timeouts import (
    MAX_RETRY_AFTER_S,
    max_wait_for_model_s,
    retry_after_missing_model_s,
)
from granitewell.dataplane.dispatch import Dispatcher, DispatchRequest
from granitewell.dataplane.events import Event, EventSplitter, EventTooLongError, event_number
from granitewell.dataplane.headers import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    PRIORITY,
    SERVER_LOAD,
    SIGNATURE,
    VERSIONS,
    PromptPart,
    end_to_end,
    parse_server_load,
    request_head,
    without_header,
)
from granitewell.dataplane.request import AttemptEnd, Attempts, may_forward, proves_not_executed
from granitewell.dataplane.request_queue import QueueFullError
from granitewell.dataplane.servers import MISDIRECTED_BACKOFF_S, ServerRecord
from granitewell.dataplane.upstream import BrokenResponseError, RequestNotWrittenError, UpstreamConnection
from granitewell.dataplane.upstream_pool import UpstreamPool
from granitewell.domain.configuration import Route, RouteKind
from granitewell.domain.errors import GranitewellError
from granitewell.domain.servers import ModelRef, parse_version

# A server is given a deadline that is earlier by this, so that its last response still reaches the client.
SERVER_DEADLINE_MARGIN_S = 0.010
# Fraction of its remaining time that a request waits for a model. A rejection after half of a request's time
# costs more.
MAX_MODEL_WAIT_RATIO = 0.45
# Fraction of its latency target that a request waits for a slot. If it is rejected within a quarter of the
# target, a retry of the client may still meet the target.
MAX_SLOT_WAIT_TARGET_RATIO = 0.22
MIN_WAIT_S = 0.01
RETRY_AFTER_TARGET_RATIO = 0.25  # of the latency target: Retry-After of a rejection for lack of slots
REJECTION_BODY_TIMEOUT_S = 0.05  # a connection whose rejection body takes longer is not kept
EVENT_STREAM_TYPE = "text/event-stream"


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request of a client.

    Attributes:
        target: Path and query.
        headers: Headers to forward.
        body: None if there is none.
        deadline: Time by which it must be answered, on the monotonic clock.
        expected_version: Version of the model's weights that the client asks for, 0 for any.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    request_id: str
    last_event_id: str | None
    body: bytes | None
    parts: tuple[PromptPart, ...]
    arrived_at: float
    deadline: float
    expected_version: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response of a server, to be forwarded unchanged."""

    status: int
    reason: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class LocalReply:
    """A response that this edge generates itself."""

    status: int
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """End of a response that was streamed to the client.

    Attributes:
        is_complete: Whether it was forwarded up to its proper end.
    """

    is_complete: bool


ForwardResult = UpstreamResponse | LocalReply | StreamEnd


class ClientStream(Protocol):
    """The client's side of a streamed response."""

    @property
    def began(self) -> bool:
        """Whether the head has been forwarded."""

    async def begin(self, status: int, reason: str, headers: list[tuple[bytes, bytes]]) -> None:
        """Forward the head; it is sent together with the first part."""

    async def write(self, data: bytes) -> None:
        """Forward a part immediately."""

    async def end(self) -> None:
        """Complete the response."""


class NoServerError(GranitewellError):
    """No server is available for the request in time."""


class RequestForwarder:
    """Forwards one request on its route."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        upstreams: UpstreamPool,
        clock: Callable[[], float],
        on_wait: Callable[[], None],
        request: ClientRequest,
        route: Route,
        service: str,
        ref: ModelRef | None,
        stream: ClientStream,
    ) -> None:
        """Create the forwarder; `on_wait` is called when the request has to wait for a server."""
        self.dispatcher, self.upstreams, self.clock, self._on_wait = dispatcher, upstreams, clock, on_wait
        self.request, self.route, self.stream = request, route, stream
        self.attempts = Attempts(route)
        self._paid_retries = 0  # retries that were taken from the retry budget
        self.failure: UpstreamResponse | None = None  # last error response that may be forwarded
        self.last_forwarded_id: str | None = None  # id of the last forwarded event, None if it has none
        self._timeout: asyncio.Timeout | None = None
        self.dispatch_request = DispatchRequest(
            service,
            ref,
            route.priority,
            self.target_s,
            request.parts,
            expected_version=request.expected_version,
        )
        self._assignment: asyncio.Future[ServerRecord] | None = None
        self._waited_for_model = False

    @property
    def target_s(self) -> float:
        """Latency target, or the timeout of a route without one, in seconds."""
        return (self.route.target_ms or self.route.timeout_ms) / 1000.0

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, in seconds."""
        return self.request.deadline - self.clock()

    # --- Attempts ---------------------------------------------------------------------------------------
    async def run(self) -> ForwardResult:
        """Return the final response, at the deadline at the latest."""
        self.dispatcher.arrived(self.dispatch_request, self.clock())
        try:
            async with asyncio.timeout(max(self.remaining_s, 0.0)) as self._timeout:
                return await self._attempt_until_answered()
        except TimeoutError:
            if self.stream.began:
                return StreamEnd(is_complete=False)
            return LocalReply(self.attempts.timeout_status, "no answer in time")

    def expects_version(self) -> bool:
        """Return whether the next server must have a certain version of the model's weights.

        Before the stream begins, this is a version that the client asked for. Afterwards, it is that of the
        part already forwarded, if servers have different versions.
        """
        if not self.dispatch_request.expected_version:
            return False
        if not self.stream.began:
            return True
        pool = self.dispatcher.pool(self.dispatch_request.service, self.dispatch_request.ref, self.clock())
        return pool.has_several_versions

    def expire(self) -> None:
        """Let the deadline pass now."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def _attempt_until_answered(self) -> ForwardResult:
        self.dispatcher.budget(self.dispatch_request.service).earn()
        while True:
            try:
                record = await self._acquire_server()
            except NoServerError as error:
                return self._final_failure(str(error))
            result = await self._attempt(record)
            if result is not None:
                return result
            if self.stream.began and self.last_forwarded_id is None:
                return self._final_failure("the stream can't be continued")
            if not self.attempts.may_retry():
                return self._final_failure("no further attempt is allowed")
            if not self._pay_for_retry():
                return self._final_failure("no repeats left")
            await asyncio.sleep(MIN_RETRY_INTERVAL_MS / 1000.0)

    def _pay_for_retry(self) -> bool:
        """Return whether the retry budget allows a retry. Attempts that reached no server cost nothing."""
        if self.attempts.servers_reached <= self._paid_retries:
            return True
        if not self.dispatcher.budget(self.dispatch_request.service).try_spend():
            return False
        self._paid_retries += 1
        return True

    def _final_failure(self, why: str) -> ForwardResult:
        if self.stream.began:
            return StreamEnd(is_complete=False)
        if self.failure is not None:
            return self.failure
        status = self.attempts.failure_status
        return LocalReply(status, why, self._retry_after_s if status == 503 else None)

    @property
    def _retry_after_s(self) -> float:
        if self._waited_for_model:
            waited_s = self.clock() - self.request.arrived_at
            return retry_after_missing_model_s(self._missing_model_load_s(), waited_s, self.remaining_s)
        return min(self.target_s * RETRY_AFTER_TARGET_RATIO, MAX_RETRY_AFTER_S)

    def _missing_model_load_s(self) -> float:
        """Return the time to load the model, in seconds; 0 if a server has it."""
        service, ref, now = self.dispatch_request.service, self.dispatch_request.ref, self.clock()
        if ref is None or not self.dispatcher.pool(service, ModelRef(ref.model), now).empty(now):
            return 0.0
        return self.dispatcher.load_time_s(service, ref)

    # --- Server assignment ------------------------------------------------------------------------------
    def _server_assigned(self, record: ServerRecord) -> None:
        assignment = self._assignment
        if assignment is not None and not assignment.done():
            assignment.set_result(record)
        else:
            self.dispatcher.release_unsent(self.dispatch_request, record, self.clock())

    async def _acquire_server(self) -> ServerRecord:
        """Assign the request to a server, waiting for one if needed. Raises NoServerError."""
        now = self.clock()
        self.dispatch_request.is_final_attempt = self.attempts.next_is_final
        record = self.dispatcher.choose(self.dispatch_request, now)
        if record is not None:
            return record
        if not self.dispatcher.is_configured(self.dispatch_request.service, self.dispatch_request.ref):
            raise NoServerError("no such model")
        if self.dispatch_request.excluded:
            raise NoServerError("no other server")
        try:
            position = self.dispatcher.wait(self.dispatch_request, now, self._server_assigned)
        except QueueFullError as error:
            raise NoServerError("too many requests wait") from error
        self._waited_for_model = self.dispatch_request.waits_for_model
        assignment = self._assignment = asyncio.get_running_loop().create_future()
        self._on_wait()
        is_taken = False
        try:
            async with asyncio.timeout(self._max_wait_s()):
                record = await assignment
                is_taken = True
                return record
        except TimeoutError as error:
            raise NoServerError("no server has room") from error
        finally:
            self._assignment = None
            self.dispatcher.leave(position)
            if not is_taken and assignment.done() and not assignment.cancelled():
                self.dispatcher.release_unsent(self.dispatch_request, assignment.result(), self.clock())

    def _max_wait_s(self) -> float:
        """Return how long the request may wait for a server, in seconds."""
        remaining_s = self.remaining_s
        if self.dispatch_request.waits_for_model or self.attempts.servers_reached:
            waited_s = self.clock() - self.request.arrived_at
            return max(
                max_wait_for_model_s(self.route, waited_s, remaining_s * MAX_MODEL_WAIT_RATIO), MIN_WAIT_S
            )
        waited_s = self.clock() - self.request.arrived_at
        return min(
            max(self.target_s * MAX_SLOT_WAIT_TARGET_RATIO - waited_s, MIN_WAIT_S),
            max(remaining_s * MAX_MODEL_WAIT_RATIO, MIN_WAIT_S),
        )

    # --- One attempt ------------------------------------------------------------------------------------
    async def _attempt(self, record: ServerRecord) -> ForwardResult | None:
        """Make one attempt; return the final response, or None if there is none yet."""
        attempt = _Attempt(self, record)
        self.attempts.begin()
        self.dispatch_request.attempted.add(record.id)
        try:
            return await attempt.run()
        finally:
            attempt.close()


class _Attempt:
    """One attempt: a request to one server, on one connection."""

    def __init__(self, forwarder: RequestForwarder, record: ServerRecord) -> None:
        self._forwarder, self._record = forwarder, record
        self._started_at = forwarder.clock()
        self._first_byte_at = math.inf  # when the first byte arrived
        # Requests that waited at the server before this one.
        self._waiting_before = max(record.waiting(self._started_at) - 1.0, 0.0)
        self._connection: UpstreamConnection | None = None
        self._complete_response: RawResponseMessage | None = None
        # Events up to this number were forwarded by earlier attempts.
        self._resumes_after = event_number(forwarder.last_forwarded_id)
        self._expects_version = forwarder.expects_version()

    async def run(self) -> ForwardResult | None:
        """Return the final response; None if there is none yet, after recording the end of the attempt."""
        try:
            await self._send_request()
        except RequestNotWrittenError:
            self._record_end(AttemptEnd.NOT_CONNECTED)
            self._record.failed(self._forwarder.clock())
            return None
        try:
            return await self._read_response()
        except BrokenResponseError:
            self._record_end(AttemptEnd.BROKEN)
            self._record.failed(self._forwarder.clock())
            return None

    def _record_end(self, end: AttemptEnd) -> None:
        self._forwarder.attempts.end(end)

    def close(self) -> None:
        """Release the connection and the server, however the attempt ended."""
        forwarder, record, now = self._forwarder, self._record, self._forwarder.clock()
        if self._connection is not None:
            forwarder.upstreams.release(self._connection, self._complete_response)
        pool = forwarder.dispatcher.pool(
            forwarder.dispatch_request.service, forwarder.dispatch_request.ref, now
        )
        if self._first_byte_at == math.inf:
            record.abandoned(now, pool.unresponsive_after_s)
            record.suspicion.abandoned(self, now, pool.unresponsive_after_s)
        forwarder.dispatcher.ended(forwarder.dispatch_request, record, now)

    async def _send_request(self) -> None:
        """Write the request; raises RequestNotWrittenError.

        A reused connection that accepts no byte was closed while idle, which is no failure of the server: the
        request is written to another connection.
        """
        forwarder = self._forwarder
        while True:
            connection = await forwarder.upstreams.connection(
                self._record.server, forwarder.request.request_id
            )
            self._connection = connection
            try:
                connection.write(
                    self._request_bytes(),
                    method=forwarder.request.method,
                    repeatable=forwarder.route.repeatable,
                )
            except RequestNotWrittenError:
                if not connection.used_before:
                    raise
                forwarder.upstreams.release(connection, None)
                self._connection = None
            else:
                forwarder.attempts.written()
                self._record.suspicion.written(self, forwarder.clock())
                return

    def _request_bytes(self) -> bytes:
        forwarder, request = self._forwarder, self._forwarder.request
        left_ms = max(int((forwarder.remaining_s - SERVER_DEADLINE_MARGIN_S) * 1000.0), 1)
        extra = [
            (DEADLINE_MS, str(left_ms)),
            (EXPECT_INSTANCE, self._record.id),
            (PRIORITY, str(min(max(forwarder.route.priority, 0), 9))),
        ]
        headers = request.headers
        if forwarder.last_forwarded_id is not None:
            headers = without_header(headers, LAST_EVENT_ID)
            extra.append((LAST_EVENT_ID, forwarder.last_forwarded_id))
            if self._expects_version:
                headers = without_header(headers, EXPECT_VERSION)
                extra.append((EXPECT_VERSION, str(forwarder.dispatch_request.expected_version)))
        body = request.body
        head = request_head(
            request.method, request.target, headers, extra, len(body) if body is not None else None
        )
        return head + (body or b"")

    # --- The response -----------------------------------------------------------------------------------
    async def _read_response(self) -> ForwardResult | None:
        forwarder, connection = self._forwarder, self._connection
        assert connection is not None  # set by _send_request
        message, body = await connection.read_head(forwarder.request.request_id)
        self._handle_response_start(message)
        status, marked_not_executed = message.code, NOT_EXECUTED in message.headers
        if proves_not_executed(status, marked_not_executed):
            await self._handle_rejection(message, body)
            return None
        if status == 200 and SIGNATURE in message.headers and self._is_event_stream(message):
            return await self._forward_stream(message, body)
        data = await connection.read_body(body)
        self._complete_response = message
        return self._handle_complete_response(message, data, marked_not_executed)

    def _handle_response_start(self, message: RawResponseMessage) -> None:
        now = self._first_byte_at = self._forwarder.clock()
        self._record.response_started(now)
        self._record.suspicion.response_started(self)
        self._record.first_byte_received(now - self._started_at, self._waiting_before)
        load = parse_server_load(message.headers.get(SERVER_LOAD))
        if load is not None:
            self._record.load_reported(load, now)

    def _is_event_stream(self, message: RawResponseMessage) -> bool:
        kind = message.headers.get("Content-Type", "").partition(";")[0].strip().lower()
        return self._forwarder.route.kind is RouteKind.STREAMING and kind == EVENT_STREAM_TYPE

    async def _handle_rejection(self, message: RawResponseMessage, body: StreamReader) -> None:
        """Handle a rejection: the server has not executed the request and will not."""
        forwarder, now = self._forwarder, self._forwarder.clock()
        pool = forwarder.dispatcher.pool(
            forwarder.dispatch_request.service, forwarder.dispatch_request.ref, now
        )
        self._record_end(AttemptEnd.NOT_EXECUTED)
        pool.traffic.rejected_by_server((now - self._started_at) * 1000.0)
        if message.code == 421 and self._expects_version:  # requests for other versions may still go there
            forwarder.dispatch_request.excluded.add(self._record.id)
        elif message.code == 421:
            pool.misdirected(self._record, now, MISDIRECTED_BACKOFF_S)
        else:
            self._record.rejected(now)
        try:
            assert self._connection is not None
            async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
                await self._connection.read_body(body)
            self._complete_response = message
        except (BrokenResponseError, TimeoutError):
            self._complete_response = None  # the rejection counts, but the connection is closed

    def _handle_complete_response(
        self, message: RawResponseMessage, data: bytes, marked_not_executed: bool
    ) -> UpstreamResponse | None:
        forwarder, status = self._forwarder, message.code
        is_signed = SIGNATURE in message.headers
        is_forwardable = may_forward(status, is_signed, marked_not_executed)
        result = UpstreamResponse(status, message.reason, end_to_end(message.raw_headers), data)
        if status >= 500 or not is_forwardable:
            self._record_end(AttemptEnd.FAILED)
            self._record.error_received(forwarder.clock())
            forwarder.failure = result if is_forwardable else forwarder.failure
            forwarder.dispatch_request.excluded.add(self._record.id)
            return None
        if forwarder.stream.began:
            self._record_end(AttemptEnd.FAILED)
            return None
        self._record_success()
        return result

    def _record_success(self) -> None:
        """Record a complete response, also for the sizing of the pool."""
        forwarder, now = self._forwarder, self._forwarder.clock()
        self._record.response_completed(self._started_at)
        pool = forwarder.dispatcher.pool(
            forwarder.dispatch_request.service, forwarder.dispatch_request.ref, now
        )
        first_byte_ms, hold_ms = (
            (self._first_byte_at - self._started_at) * 1000.0,
            (now - self._started_at) * 1000.0,
        )
        pool.traffic.response_ended(first_byte_ms, hold_ms, forwarder.route.target_ms)
        if self._first_byte_at - forwarder.request.arrived_at > forwarder.target_s:
            forwarder.dispatcher.latency_target_missed(forwarder.dispatch_request, now)

    # --- Streams ----------------------------------------------------------------------------------------
    async def _forward_stream(self, message: RawResponseMessage, body: StreamReader) -> StreamEnd | None:
        """Forward complete events as they arrive, up to the end of the response."""
        forwarder, connection = self._forwarder, self._connection
        assert connection is not None
        if not forwarder.stream.began and (version := parse_version(message.headers.get(VERSIONS))):
            forwarder.dispatch_request.expected_version = version
        splitter = EventSplitter()
        while part := await connection.read_part(body):
            try:
                events = splitter.feed(part)
            except EventTooLongError as error:
                raise BrokenResponseError(str(error)) from error
            if events:
                await self._forward_events(message, events)
        if splitter.rest and connection.ends_with_connection:
            raise BrokenResponseError("a stream that ends within an event")
        await self._forward_bytes(message, splitter.rest)
        self._complete_response = message
        await forwarder.stream.end()
        self._record_success()
        return StreamEnd(is_complete=True)

    async def _forward_events(self, message: RawResponseMessage, events: list[Event]) -> None:
        forwarded: list[bytes] = []
        for event in events:
            number = event_number(event.id)
            if self._resumes_after is not None and number is not None and number <= self._resumes_after:
                continue  # an earlier attempt has forwarded it
            forwarded.append(event.data)
            self._forwarder.last_forwarded_id = event.id
            if event.version:
                self._forwarder.dispatch_request.expected_version = event.version
        await self._forward_bytes(message, b"".join(forwarded))

    async def _forward_bytes(self, message: RawResponseMessage, data: bytes) -> None:
        stream = self._forwarder.stream
        if not stream.began:
            await stream.begin(message.code, message.reason, end_to_end(message.raw_headers))
        if data:
            await stream.write(data)
