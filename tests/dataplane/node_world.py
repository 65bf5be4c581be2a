"""Random simulation of one edge node for some seconds of virtual time, by seed.

Clients connect and disconnect, servers fail and drain, configurations change, and the node gets a SIGTERM.
`check` then compares what clients and servers have seen with the rules.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from granitewell.domain.configuration import Route
from granitewell.domain.servers import ServerState
from tests.dataplane.simulated_network import SimulatedTransport
from tests.dataplane.standin import Message, ReceivedRequest, Scene, configuration, route, scene

GRACE_S = 8.0
TOLERANCE_S = 0.5  # after a client's disconnect, after a deadline
TRAVEL_TIME_S = 0.01  # of a message both ways, with some turns of the event loop
MIN_LISTEN_S = 2.0  # after SIGTERM, for which every connection must be accepted
POLL_INTERVAL_S = 0.02  # in which a busy server checks for the end of its connection
CLIENTS = 24
ARRIVAL_SPAN_S = 6.0  # in which clients connect
EVENTS = 4
KINDS = ("once", "again", "stream", "resume", "model")


class ViolationError(AssertionError):
    """A rule is violated."""


@dataclass
class SentRequest:
    """A client's request, as the client saw it.

    Attributes:
        deadline_s: Deadline that the client sent, None if it sent none.
        timeout_s: Longest timeout of the route that was in force during the request.
        min_timeout_s: Shortest timeout of the route that was in force during the request.
    """

    id: str
    name: str
    deadline_s: float | None
    sent_at: float = 0.0
    left_at: float | None = None
    answer: Message | None = None
    ended_at: float | None = None
    timeout_s: float = 0.0
    min_timeout_s: float = 0.0

    @property
    def due_at(self) -> float:
        """Latest possible deadline."""
        return self.sent_at + min(self.deadline_s or self.timeout_s, self.timeout_s)

    @property
    def soonest_due_at(self) -> float:
        """Earliest possible deadline, whichever configuration applies."""
        return self.sent_at + min(self.deadline_s or self.min_timeout_s, self.min_timeout_s)


@dataclass
class Arrival:
    """A request received by a server, as the server saw it."""

    id: str
    server: str
    at: float
    remaining_s: float
    ran: bool = True
    faulty: bool = False  # the server closed the connection or did not respond
    ended_at: float = 0.0


@dataclass
class World:
    """State and log of one simulation."""

    rng: Random
    sent: list[SentRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    sigterm_at: float = 0.0
    exited_at: float = 0.0
    timeout_s: float = 2.0

    # --- Servers ----------------------------------------------------------------------------------------
    async def serve(self, seen: ReceivedRequest) -> None:
        """Serve one request, with a random fault or none."""
        loop = asyncio.get_running_loop()
        handed = seen.request.header("Granitewell-Deadline-Ms")
        if handed is None:
            raise ViolationError(f"{seen.id} without a deadline")
        arrival = Arrival(seen.id, seen.server.name, loop.time(), int(handed) / 1000.0)
        self.arrivals.append(arrival)
        fault = self.rng.choice(("none", "none", "none", "refuse", "silent", "close", "error", "late"))
        works_s = self.rng.choice((0.0, 0.01, 0.2, 1.5)) + (3.0 if fault == "late" else 0.0)
        if not await self._work(seen, works_s):
            fault = "left"
        await self._answer(seen, arrival, fault)
        arrival.ended_at = loop.time()

    async def _work(self, seen: ReceivedRequest, for_s: float) -> bool:
        """Wait; return whether the connection is still open."""
        loop = asyncio.get_running_loop()
        end = loop.time() + for_s
        while loop.time() < end:
            if seen.reader.at_eof() or seen.reader.exception() is not None:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def _answer(self, seen: ReceivedRequest, arrival: Arrival, fault: str) -> None:
        if fault == "left":
            return
        arrival.faulty = fault in ("silent", "close")
        if fault == "refuse":
            arrival.ran = False
            seen.refuse()
        elif fault == "silent":
            await self._work(seen, 60.0)
        elif fault == "error":
            seen.answer(500, seen.id.encode())
        elif "stream" in seen.request.target or "resume" in seen.request.target:
            await self._stream(seen, fault)
        elif fault == "close":
            seen.writer.close()
        else:
            seen.answer(body=seen.id.encode())

    async def _stream(self, seen: ReceivedRequest, fault: str) -> None:
        seen.writer.write(seen.head(Content_Type="text/event-stream"))
        first = int(seen.request.header("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            seen.event(number, seen.id)
            if not await self._work(seen, self.rng.choice((0.0, 0.1, 0.6))):
                return
            if fault == "close" and number == first + 1:
                seen.chunk(b"id: 9\nda")
                seen.writer.close()
                return
        seen.chunk(b"")

    # --- Clients ----------------------------------------------------------------------------------------
    async def client(self, s: Scene, number: int) -> None:
        """Run one client with one request; some disconnect before the response."""
        rng, loop = self.rng, asyncio.get_running_loop()
        deadline_s = rng.choice((None, 0.4, 1.0, 3.0, 30.0))
        request = SentRequest(f"{number:016x}", rng.choice(KINDS), deadline_s)
        leaves_after_s, how = rng.random() * 2.0, rng.choice(("", "", "close", "reset"))
        await asyncio.sleep(rng.random() * ARRIVAL_SPAN_S)
        try:
            client = await s.connect()
        except ConnectionError:
            if loop.time() < self.sigterm_at + MIN_LISTEN_S or not self.sigterm_at:
                raise ViolationError(f"{request.id} is refused a connection at {loop.time():.3f}") from None
            return
        self.sent.append(request)
        request.sent_at = loop.time()
        request.timeout_s = request.min_timeout_s = self.timeout_s
        client.send(
            f"/{request.name}/x",
            body=b"b" * rng.choice((0, 10, 90_000)),
            Granitewell_Request_Id=request.id,
            Granitewell_Deadline_Ms="" if deadline_s is None else str(int(deadline_s * 1000)),
            Granitewell_Model=rng.choice(("m1", "m2")),
        )
        answer = asyncio.create_task(client.answer())
        await asyncio.wait([answer], timeout=leaves_after_s if how else None)
        request.ended_at = loop.time()
        if answer.done():
            request.answer = answer.result()
        else:
            request.left_at = loop.time()
            answer.cancel()
        transport = client.writer.transport
        assert isinstance(transport, SimulatedTransport)
        if how == "reset":
            transport.reset()
        else:
            transport.close()

    # --- The operator and the platform ------------------------------------------------------------------
    async def operator(self, s: Scene) -> None:
        """Change configurations and servers; a request may be subject to any timeout in force meanwhile."""
        for version in range(2, 9):
            await asyncio.sleep(self.rng.random() * 1.5)
            timeout_s = self.rng.choice((0.5, 1.0, 2.0, 15.0))
            for request in self.sent:
                if request.ended_at is None:
                    request.timeout_s = max(request.timeout_s, timeout_s)
                    request.min_timeout_s = min(request.min_timeout_s, timeout_s)
            self.timeout_s = timeout_s
            s.plane.apply_configuration(configuration(version, routes(timeout_s, version % 2 == 0)))
            s.plane.set_edges(version % 3 + 1, 4)
            stand_in = self.rng.choice(s.stand_ins[1:])
            state = self.rng.choice((ServerState.READY, ServerState.DRAINING))
            plain = stand_in is not s.stand_ins[-1]
            service, models = ("plain", ()) if plain else ("engine", ("m1",))
            s.plane.apply_servers([s.server(stand_in, service, models, state=state)], [])

    async def platform(self, s: Scene) -> None:
        """Send the SIGTERM and wait for the end of the process."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2.0 + self.rng.random() * 3.0)
        self.sigterm_at = loop.time()
        s.plane.begin_drain()
        await s.plane.finish(GRACE_S)
        self.exited_at = loop.time()


def routes(timeout_s: float, more: bool) -> Sequence[Route]:
    """Return one route of each kind, and one that only some configurations have."""
    fields: dict[str, Any] = {"timeout_ms": timeout_s * 1000.0}
    made = [
        route("once", **fields),
        route("again", "idempotent", max_attempts=3, **fields),
        route("stream", "streaming", **fields),
        route("resume", "streaming", resumable=True, max_attempts=3, **fields),
        route("model", service="engine", priority=1, **fields),
    ]
    return [*made, route("more")] if more else made


async def play(seed: int) -> World:
    """Run the simulation of a seed; raises ViolationError."""
    world = World(Random(seed))
    async with scene(*[world.serve] * 4) as s:
        s.plane.apply_configuration(configuration(1, routes(world.timeout_s, True)))
        s.plane.apply_servers([s.server(s.stand_ins[-1], "engine", ("m1",))], [])
        s.fill_retry_budget()
        tasks = [asyncio.create_task(world.client(s, k + 1)) for k in range(CLIENTS)]
        tasks += [asyncio.create_task(world.operator(s)), asyncio.create_task(world.platform(s))]
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        check(world)
        check_no_request_left(s)
    return world


# --- The rules ------------------------------------------------------------------------------------------
def check(world: World) -> None:
    """Check all rules; raises ViolationError."""
    if world.exited_at - world.sigterm_at > GRACE_S:
        raise ViolationError(f"the process takes {world.exited_at - world.sigterm_at:.3f} s to end")
    for request in world.sent:
        arrivals = [arrival for arrival in world.arrivals if arrival.id == request.id]
        _check_arrivals(request, arrivals)
        if request.left_at is None:
            _check_answer(world, request, arrivals)
        else:
            _check_after_leaving(request, arrivals)


def _check_arrivals(request: SentRequest, arrivals: list[Arrival]) -> None:
    most = 3 if request.name in ("again", "resume") else 2
    if len(arrivals) > most:
        raise ViolationError(f"{request} on {len(arrivals)} servers")
    ran = [arrival for arrival in arrivals if arrival.ran]
    if request.name in ("once", "stream", "model") and len(ran) > 1:
        raise ViolationError(f"{request} runs twice")
    for arrival in arrivals:
        if arrival.at + arrival.remaining_s > request.due_at + TRAVEL_TIME_S:
            raise ViolationError(f"{arrival} is given more time than is left of {request}")


def _check_after_leaving(request: SentRequest, arrivals: list[Arrival]) -> None:
    assert request.left_at is not None
    for arrival in arrivals:
        if arrival.at > request.left_at + TOLERANCE_S:
            raise ViolationError(f"{arrival} after its client left: {request}")
        if arrival.ended_at > request.left_at + TOLERANCE_S:
            raise ViolationError(f"{arrival} is still executed after its client left: {request}")


def _check_answer(world: World, request: SentRequest, arrivals: list[Arrival]) -> None:
    answer, ended_at = request.answer, request.ended_at
    assert ended_at is not None
    if ended_at > request.due_at + TOLERANCE_S:
        raise ViolationError(f"{request} has no response at {request.due_at:.3f}")
    if answer is None:
        if arrivals or not world.sigterm_at or request.sent_at < world.sigterm_at + MIN_LISTEN_S:
            raise ViolationError(f"{request} is lost")
        return
    if answer.status not in (200, 500, 502, 503, 504):
        raise ViolationError(f"{request} gets an unexpected status: {answer}")
    if answer.status == 503 and any(arrival.ran for arrival in arrivals):
        raise ViolationError(f"{request} was executed, but gets 503")
    if answer.status in (200, 500):
        _check_passed_answer(world, request, answer, arrivals)
    elif not answer.complete:
        raise ViolationError(f"{request} gets an incomplete local reply: {answer}")


def _check_passed_answer(
    world: World, request: SentRequest, answer: Message, arrivals: list[Arrival]
) -> None:
    is_signed = answer.header("Granitewell-Response-Seal") is not None
    if answer.header("Granitewell-Request-Id") != request.id or not is_signed:
        raise ViolationError(f"{request} gets the response to another request: {answer}")
    events = [b"id: %d\ndata: %s\n\n" % (k, request.id.encode()) for k in range(1, EVENTS + 1)]
    streams = answer.status == 200 and request.name in ("stream", "resume")
    whole = b"".join(events) if streams else request.id.encode()
    if answer.complete and answer.body != whole:
        raise ViolationError(f"{request} gets a wrong body: {answer}")
    if not answer.complete and not _may_be_cut(world, request, arrivals):
        raise ViolationError(f"{request} is cut off by the node itself: {arrivals}")
    if streams and answer.body not in [b"".join(events[:k]) for k in range(EVENTS + 1)]:
        raise ViolationError(f"{request} gets incomplete or unordered events: {answer}")


def _may_be_cut(world: World, request: SentRequest, arrivals: list[Arrival]) -> bool:
    """Return whether the deadline or the grace period had passed, or a server had failed."""
    assert request.ended_at is not None
    overdue = request.ended_at >= request.soonest_due_at - TOLERANCE_S / 4
    graceless = bool(world.sigterm_at) and request.ended_at > world.sigterm_at + GRACE_S / 2
    return overdue or graceless or any(arrival.faulty for arrival in arrivals)


def check_no_request_left(s: Scene) -> None:
    """Check that no request is queued, counted at a server, or in progress."""
    for state in s.plane._dispatcher._services.values():
        counts = [(record.in_flight, record.unanswered) for record in state.records.values()]
        if state.queue or any(count != (0, 0) for count in counts):
            raise ViolationError(f"{len(state.queue)} queued, {counts} at servers")
    if s.plane._forwarders or s.plane._http_server._in_progress or s.plane._upstreams._busy:
        raise ViolationError("requests or connections are left over")
