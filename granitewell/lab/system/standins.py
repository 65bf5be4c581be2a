"""Stand-ins for the platform and for servers that run models, over HTTP on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

REQUEST_ID = "Granitewell-Request-Id"
SEAL = "Granitewell-Response-Seal"
EXPECT_INSTANCE = "Granitewell-Expect-Instance"
MODEL = "Granitewell-Model"
NOT_EXECUTED = "Granitewell-Not-Executed"
INSTANCE_ID = "Granitewell-Instance-Id"

EVENTS = 4  # of each answer
EVENT_PAUSE_S = 0.01  # between two events
SLOTS = 16  # requests at once that a server lists
SHUTDOWN_S = 0.2  # for connections that are still open at the end


def event(model: str, request_id: str, number: int) -> bytes:
    """One event of the answer to a request."""
    return f"id: {number}\ndata: {model} {request_id} {number}\n\n".encode()


def whole_answer(model: str, request_id: str) -> bytes:
    """The whole body that a server gives to a request."""
    return b"".join(event(model, request_id, number) for number in range(1, EVENTS + 1))


async def listen(app: web.Application, ip: str) -> tuple[web.AppRunner, str]:
    """Serve on a free port; the runner and its `ip:port`."""
    runner = web.AppRunner(app, access_log=None, handle_signals=False, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    await web.TCPSite(runner, ip, 0).start()
    return runner, f"{ip}:{runner.addresses[0][1]}"


@dataclass
class ModelServer:
    """Stand-in for a server that runs models.

    Attributes:
        id: Instance id.
        service: Service that it belongs to.
        load_time_s: Duration of a load, in seconds.
        models: Models that it has now.
        runs: How often each request id was run.
        loads: Models that it has loaded, in order.
        sequence: Number of orders taken.
        open_streams: Answers that are being written.
        address: `ip:port` once it listens.
    """

    id: str
    service: str
    load_time_s: float
    models: set[str] = field(default_factory=set)
    runs: Counter[str] = field(default_factory=Counter)
    loads: list[str] = field(default_factory=list)
    sequence: int = 0
    open_streams: int = 0
    address: str = ""
    _fence: int = 0
    _busy: bool = False
    _work: set[asyncio.Task[None]] = field(default_factory=set)
    _runner: web.AppRunner | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner, self.address = await listen(app, ip)

    async def stop(self) -> None:
        """End all work and listen no longer."""
        for task in self._work:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def seal(self, request_id: str) -> str:
        """The stamp on this server's answer to a request."""
        return f"{self.id}.{request_id}"

    def model_entries(self) -> list[dict[str, Any]]:
        """The models held, as reports and the platform's list show them."""
        return [{"name": name, "version": 1, "adapters": []} for name in sorted(self.models)]

    def _meant_for_another(self, request: web.Request) -> bool:
        return request.headers.get(EXPECT_INSTANCE, self.id) != self.id

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(headers={INSTANCE_ID: self.id})

    async def _report(self, request: web.Request) -> web.Response:
        if self._meant_for_another(request):
            return web.Response(status=421)
        return web.json_response(
            {
                "phase": "mixed",
                "models": self.model_entries(),
                "busy": self._busy,
                "sequence": self.sequence,
                "queued": 0,
                "running": 0,
                "kv-used": 0,
                "kv-total": 100_000,
                "handles": 0,
            }
        )

    # --- Orders -------------------------------------------------------------------------------------------
    async def _order(self, request: web.Request) -> web.Response:
        if self._meant_for_another(request):
            return web.Response(status=421)
        return web.Response(status=self._take_order(await request.json()))

    def _take_order(self, order: Mapping[str, Any]) -> int:
        """Begin the order where it may be done; the status of the answer."""
        operation, model, fence = order.get("operation"), order.get("model"), order.get("fence-token")
        if operation not in ("load_model", "unload_model") or not isinstance(model, str):
            return 400
        if not order.get("holder") or not isinstance(fence, int) or order.get("adapter"):
            return 400
        if fence < self._fence:
            return 412
        self._fence = fence
        if self._busy or order.get("if-revision", self.sequence) != self.sequence:
            return 409
        loading = operation == "load_model"
        if loading == (model in self.models):
            return 200
        self.sequence += 1
        self._busy = True
        self._begin(model, loading)
        return 202

    def _begin(self, model: str, loading: bool) -> None:
        task = asyncio.create_task(self._carry_out(model, loading))
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    async def _carry_out(self, model: str, loading: bool) -> None:
        if loading:
            await asyncio.sleep(self.load_time_s)
            self.models.add(model)
            self.loads.append(model)
        else:
            self.models.discard(model)
        self._busy = False

    # --- Requests -----------------------------------------------------------------------------------------
    async def _run(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID)
        if request_id is None:
            return web.Response(status=400, headers={NOT_EXECUTED: "1"})
        model = request.headers.get(MODEL, "")
        if self._meant_for_another(request) or model not in self.models:
            return web.Response(status=421, headers={REQUEST_ID: request_id, NOT_EXECUTED: "1"})
        await request.read()
        self.runs[request_id] += 1
        self.open_streams += 1
        try:
            return await self._stream(request, model, request_id)
        finally:
            self.open_streams -= 1

    async def _stream(self, request: web.Request, model: str, request_id: str) -> web.StreamResponse:
        answer = web.StreamResponse(headers={REQUEST_ID: request_id, SEAL: self.seal(request_id)})
        answer.content_type = "text/event-stream"
        with contextlib.suppress(ConnectionResetError):  # the edge has left, as its own client has
            await answer.prepare(request)
            for number in range(1, EVENTS + 1):
                await answer.write(event(model, request_id, number))
                await asyncio.sleep(EVENT_PAUSE_S)
            await answer.write_eof()
        return answer


class Platform:
    """The platform's list of servers."""

    def __init__(self, servers: Sequence[ModelServer], zone: str) -> None:
        self._servers = servers
        self._zone = zone
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get("/instances", self._instances)
        self._runner, self.address = await listen(app, ip)

    async def stop(self) -> None:
        """Listen no longer."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _instances(self, request: web.Request) -> web.Response:
        entries = [self._entry(server) for server in self._servers]
        return web.json_response({"instances": entries, "next-page-token": None})

    def _entry(self, server: ModelServer) -> dict[str, Any]:
        return {
            "id": server.id,
            "service": server.service,
            "address": server.address,
            "zone": self._zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold-remaining-ms": 0,
            "phase": "mixed",
            "models": server.model_entries(),
        }
