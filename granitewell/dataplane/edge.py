"""The data plane of one edge: accepts client requests and forwards them to servers.

It stores no durable state. Configuration, servers and the number of edges are set by `apply_configuration`,
`apply_servers` and `set_edges`; demand is read by `take_demand`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from random import Random

import logbook
from aiohttp import web
from aiohttp.web_request import BaseRequest

from granitewell.dataplane.dispatch import Dispatcher
from granitewell.dataplane.headers import (
    DEADLINE_MS,
    EXPECT_VERSION,
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PREFIX,
    REQUEST_ID,
    forwarded_headers,
    parse_milliseconds,
    parse_prompt_parts,
)
from granitewell.dataplane.http_server import (
    HttpServer,
    RejectedRequestError,
    StreamedResponse,
    check_head,
    forwarded_response,
    has_more_requests,
    local_response,
    peer_has_closed,
    read_body,
)
from granitewell.dataplane.readiness import ReadinessServer
from granitewell.dataplane.request_forwarder import (
    ClientRequest,
    LocalReply,
    RequestForwarder,
    StreamEnd,
    UpstreamResponse,
)
from granitewell.dataplane.routes import RouteTable, choose_service, host_name, path_of
from granitewell.dataplane.upstream_pool import UpstreamPool
from granitewell.domain.configuration import Configuration, Limits, Route
from granitewell.domain.servers import ModelDemand, ModelRef, Server, parse_version
from granitewell.domain.settings import Settings

DEADLINE_MARGIN_S = 0.020  # time for the last response to reach the client before its deadline
WAKE_INTERVAL_S = 0.05  # between searches for servers for waiting requests: other nodes free slots unseen
NO_CONFIGURATION_RETRY_AFTER_S = 0.5
MAX_CONFIGURATION_WAIT_S = 1.5  # covers an election and a long poll
MAX_CONFIGURATION_WAIT_RATIO = 0.4  # of a request's time, which leaves time for a retry at another node
MAX_WAITING_FOR_CONFIGURATION = 256  # requests, which are kept with their bodies
LIMIT_EXCEEDED_STATUSES = frozenset({413, 431})  # returned only if a configuration sets the limits
# After SIGTERM: the platform checks readiness every second and removes a node after two failed checks.
LISTEN_AFTER_DRAIN_S = 2.5
SHUTDOWN_MARGIN_S = 0.6  # before SIGKILL
EXPIRE_MARGIN_S = 0.2  # before that, pending requests get a local reply: 503 only if not executed

_log = logbook.Logger("granitewell.dataplane")


def _ignore_demand() -> None: ...


class DataPlane:
    """The data plane of one edge."""

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        clock: Callable[[], float] = time.monotonic,
        on_demand: Callable[[], None] = _ignore_demand,
    ) -> None:
        """Create the data plane.

        Args:
            settings: Settings of the process.
            rng: Source of random numbers.
            clock: Monotonic clock, in seconds.
            on_demand: Called when a request waits for a model that no server has loaded, at most every 30 ms.
        """
        self._settings, self._rng, self._clock, self._on_demand = settings, rng, clock, on_demand
        self._configuration: Configuration | None = None
        self._routes: RouteTable | None = None
        self._dispatcher = Dispatcher(settings.bounds, rng)
        self._upstreams = UpstreamPool(clock)
        self._http_server = HttpServer(self._answer, Limits())
        self._readiness = ReadinessServer(lambda: self.ready)
        self._configured = asyncio.Event()
        self._waiting_for_configuration = 0
        self._servers_known = False
        self._draining_since: float | None = None
        self._wake_timer: asyncio.TimerHandle | None = None
        self._forwarders: set[RequestForwarder] = set()

    # --- Updates from the control plane -----------------------------------------------------------------
    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration if it is newer; requests in progress continue."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._routes = RouteTable(configuration)
        self._configured.set()
        self._dispatcher.apply_configuration(configuration)
        self._http_server.set_limits(configuration.limits)
        _log.info("configuration in force", version=configuration.version, routes=len(configuration.routes))

    def apply_servers(self, changed: Sequence[Server], removed: Sequence[str]) -> None:
        """Apply changes of the table of servers."""
        self._servers_known = True
        for server_id in self._dispatcher.apply_servers(changed, removed, self._clock()):
            self._upstreams.close_server(server_id)

    def set_edges(self, alive: int, max_edges: int) -> None:
        """Set the number of edges.

        Args:
            alive: Edges that divide the traffic.
            max_edges: Maximum number of edges that divide the retry budget.
        """
        self._dispatcher.set_edges(alive, max_edges)

    def take_demand(self) -> list[ModelDemand]:
        """Return the demand since the last call."""
        return self._dispatcher.take_demand()

    # --- Lifecycle --------------------------------------------------------------------------------------
    @property
    def ready(self) -> bool:
        """Whether this edge reports that it is ready for clients."""
        draining = self._draining_since is not None
        return self._configuration is not None and self._servers_known and not draining

    @property
    def client_port(self) -> int:
        """Port for clients."""
        return self._http_server.port

    @property
    def ready_port(self) -> int:
        """Port of the readiness check."""
        return self._readiness.port

    async def start(self) -> None:
        """Listen for clients and for the readiness check."""
        listen = self._settings.listen
        if listen.ready is not None:
            await self._readiness.start(listen.ready)
        if listen.front is not None:
            await self._http_server.start(listen.front)

    def begin_drain(self) -> None:
        """Begin a graceful shutdown: report not ready, but still accept clients."""
        if self._draining_since is None:
            self._draining_since = self._clock()
            _log.info("draining")

    async def finish(self, grace_s: float) -> None:
        """Finish accepted requests and close; returns within `grace_s` of the beginning of the drain."""
        self.begin_drain()
        began = self._draining_since or 0.0
        end = began + grace_s - SHUTDOWN_MARGIN_S
        await asyncio.sleep(max(min(began + LISTEN_AFTER_DRAIN_S, end) - self._clock(), 0.0))
        self._http_server.stop_listening()
        if not await self._wait_idle_until(end - EXPIRE_MARGIN_S):
            _log.warning("requests cut off at the end of the grace period", requests=len(self._forwarders))
            for forwarder in list(self._forwarders):
                forwarder.expire()
            await self._wait_idle_until(end)
        self._http_server.abort()
        self._upstreams.close()
        self._readiness.close()
        if self._wake_timer is not None:
            self._wake_timer.cancel()

    async def _wait_idle_until(self, when: float) -> bool:
        """Wait until all responses have been sent or a time is reached; return whether all were sent."""
        try:
            async with asyncio.timeout(max(when - self._clock(), 0.0)):
                await self._http_server.wait_idle()
        except TimeoutError:
            return False
        return True

    # --- Waiting requests -------------------------------------------------------------------------------
    def _request_waits(self) -> None:
        self._report_demand()
        if self._wake_timer is None:
            self._wake_timer = asyncio.get_running_loop().call_later(WAKE_INTERVAL_S, self._wake)

    def _wake(self) -> None:
        self._wake_timer = None
        if self._dispatcher.wake_all(self._clock()):
            self._request_waits()

    def _report_demand(self) -> None:
        if self._dispatcher.urgent_report_due(self._clock()):
            self._on_demand()

    # --- Requests ---------------------------------------------------------------------------------------
    async def _answer(self, request: BaseRequest) -> web.StreamResponse:
        """Return the response to one request of a client."""
        arrived_at = self._clock()
        try:
            response = await self._handle_request(request, arrived_at)
        except RejectedRequestError as rejection:
            response = local_response(LocalReply(rejection.status, rejection.message))
            if rejection.status != 404:
                response.force_close()
        if not response.prepared and self._should_close(request):
            response.force_close()
        return response

    def _should_close(self, request: BaseRequest) -> bool:
        """Return whether the response should close the connection.

        A drain closes connections, except while pipelined requests that have been read are pending.
        """
        return self._draining_since is not None and not has_more_requests(request)

    async def _handle_request(self, request: BaseRequest, arrived_at: float) -> web.StreamResponse:
        body = await self._read(request)
        if self._routes is None:
            await self._wait_for_configuration(request)
        routes = self._routes
        if routes is None:
            return local_response(LocalReply(503, "no configuration yet", NO_CONFIGURATION_RETRY_AFTER_S))
        route = routes.find(host_name(request.headers["Host"]), path_of(request.raw_path))
        if route is None:
            raise RejectedRequestError(404, "no such route")
        request_ids = request.headers.getall(REQUEST_ID, [])
        if len(request_ids) != 1 or not request_ids[0]:
            raise RejectedRequestError(400, f"one {REQUEST_ID} is needed")
        if peer_has_closed(request.transport):
            raise RejectedRequestError(503, "the client has left")
        return await self._forward(request, self._client_request(request, route, body, arrived_at), route)

    async def _read(self, request: BaseRequest) -> bytes | None:
        """Read the body of a request within the limits in force.

        Without a configuration, the default limits protect this process. A request that exceeds them gets a
        503 in place of a final rejection.
        """
        configuration = self._configuration
        limits = configuration.limits if configuration is not None else Limits()
        try:
            check_head(request, limits)
            return await read_body(request, limits)
        except RejectedRequestError as rejection:
            if configuration is None and rejection.status in LIMIT_EXCEEDED_STATUSES:
                raise RejectedRequestError(503, "no configuration yet") from rejection
            raise

    async def _wait_for_configuration(self, request: BaseRequest) -> None:
        """Wait for the first configuration, for a limited time.

        A process that has just started receives it at once if the control plane is available, and a rejection
        would use up a retry of the client.
        """
        stated_ms = parse_milliseconds(request.headers.get(DEADLINE_MS))
        max_wait_s = MAX_CONFIGURATION_WAIT_S
        if stated_ms is not None:
            max_wait_s = min(max_wait_s, MAX_CONFIGURATION_WAIT_RATIO * stated_ms / 1000.0)
        if self._waiting_for_configuration >= MAX_WAITING_FOR_CONFIGURATION:
            return
        self._waiting_for_configuration += 1
        try:
            async with asyncio.timeout(max_wait_s):
                await self._configured.wait()
        except TimeoutError:
            pass
        finally:
            self._waiting_for_configuration -= 1

    def _client_request(
        self, request: BaseRequest, route: Route, body: bytes | None, arrived_at: float
    ) -> ClientRequest:
        headers = request.headers
        stated_ms = parse_milliseconds(headers.get(DEADLINE_MS))
        max_ms = min(stated_ms, route.timeout_ms) if stated_ms is not None else route.timeout_ms
        return ClientRequest(
            method=request.method,
            target=request.raw_path,
            headers=forwarded_headers(request.raw_headers),
            request_id=headers[REQUEST_ID],
            last_event_id=headers.get(LAST_EVENT_ID),
            body=body,
            parts=parse_prompt_parts(headers.get(PROMPT_PREFIX)),
            arrived_at=arrived_at,
            deadline=arrived_at + max_ms / 1000.0 - DEADLINE_MARGIN_S,
            expected_version=parse_version(headers.get(EXPECT_VERSION)),
        )

    async def _forward(
        self, request: BaseRequest, client_request: ClientRequest, route: Route
    ) -> web.StreamResponse:
        service = choose_service(route, self._rng)
        stream = StreamedResponse(request, lambda: self._should_close(request))
        forwarder = RequestForwarder(
            self._dispatcher,
            self._upstreams,
            self._clock,
            self._request_waits,
            client_request,
            route,
            service,
            self._model(request, service),
            stream,
        )
        self._forwarders.add(forwarder)
        try:
            result = await forwarder.run()
        finally:
            self._forwarders.discard(forwarder)
        match result:
            case UpstreamResponse():
                return forwarded_response(result)
            case LocalReply():
                return local_response(result)
            case StreamEnd(is_complete=True):
                assert stream.response is not None
                return stream.response
            case StreamEnd():
                return stream.abort_response()

    def _model(self, request: BaseRequest, service: str) -> ModelRef | None:
        """Return the model that a request names; None if it names none or its service runs none."""
        configured = self._dispatcher.service(service)
        if configured is None or configured.engine is None:
            return None
        name = request.headers.get(MODEL)
        return ModelRef.parse(name) if name else None
